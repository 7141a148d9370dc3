// Compares version moves with canaries in fixed steps, for several kinds of
// faulty versions and many seeds. moves_bench [MOVES] prints one table.
#include "fixture.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <mutex>
#include <random>
#include <thread>

namespace {

using namespace papayahook;
using namespace papayahook::bench;

constexpr core::time_point start{std::chrono::hours(1)};
constexpr auto deadline = 600s;

// Behaviour of the new version; share is its part of the traffic.
struct behaviour
{
    char const* name;
    bool good;
    int per_second;
    std::function<double(double seconds, double share)> fail_rate;
    std::function<double(double seconds, double share)> slowness;
};

double none(double, double)
{
    return 0.01;
}
double even(double, double)
{
    return 1;
}

std::vector<behaviour> const kinds{
    {"good", true, 100, none, even},
    {"good, 30 a second", true, 30, none, even},
    {"good, 10 a second", true, 10, none, even},
    {"fails at once", false, 100, [](double, double) { return 0.25; }, even},
    {"fails later", false, 100,
     [](double s, double) { return s > 60 ? 0.25 : 0.01; }, even},
    {"fails under load", false, 100,
     [](double, double share) { return share > 0.3 ? 0.25 : 0.01; }, even},
    {"slow at once", false, 100, none,
     [](double, double) {
         return 4.0;
     }},
    {"slow later", false, 100, none,
     [](double s, double) {
         return s > 60 ? 4.0 : 1.0;
     }},
    {"slow under load", false, 100, none,
     [](double, double share) {
         return share > 0.3 ? 4.0 : 1.0;
     }},
};

struct result
{
    bool finished = false;
    bool ended = false;
    double ended_at = 0; // seconds
    int bad_answers = 0; // answers of the new version while faulty
    int canary = 0;      // requests to the new version in stage 0
    int canary_of = 0;
};

struct source
{
    std::mt19937_64 random;
    behaviour const& kind;

    bool fails(bool is_new, double s, double share)
    {
        double const rate = is_new ? kind.fail_rate(s, share) : 0.01;
        return std::uniform_real_distribution<>(0, 1)(random) < rate;
    }
    std::chrono::microseconds latency(bool is_new, double s, double share)
    {
        constexpr double median_us = 80'000;
        constexpr double spread = 0.5;
        double const factor = is_new ? kind.slowness(s, share) : 1;
        double const it =
            std::lognormal_distribution<>(std::log(median_us), spread)(random);
        return std::chrono::microseconds(static_cast<long>(it * factor));
    }
    bool is_bad_now(double s, double share) const
    {
        return kind.fail_rate(s, share) > 0.02 || kind.slowness(s, share) > 1.5;
    }
};

double seconds_of(core::time_point at)
{
    return std::chrono::duration<double>(at - start).count();
}

// Confirms the node's appends and lets it read them immediately.
void confirm_appends(core::node_state& s, core::effects& out)
{
    core::effects const pending = std::move(out);
    out.clear();
    for (auto const& it : pending) {
        auto const* const a = std::get_if<core::append>(&it);
        if (a == nullptr || a->stream != "config")
            continue;
        core::log_read read;
        read.stream = "config";
        read.start = 1;
        for (auto const& rec : a->records) {
            core::log_entry e;
            e.at = s.config.applied + 1 + read.entries.size();
            e.written = s.now;
            e.record = std::get<core::config_record>(rec);
            read.entries.push_back(e);
        }
        read.end = s.config.applied + read.entries.size();
        core::effects more;
        core::reduce(s, {s.now, core::append_done{a->append, true, false}},
                     more);
        core::reduce(s, {s.now, read}, more);
    }
}

result run_move(behaviour const& kind, std::uint64_t seed)
{
    source from{std::mt19937_64(seed), kind};
    auto s = make_node("n1",
                       {.runners = 4,
                        .slots = 1'000'000,
                        .new_version = "v2",
                        .new_runners = 4},
                       start);
    core::version_move m;
    m.name = "m";
    m.route = "chat";
    m.to = "v2";
    m.deadline = start + deadline;
    core::effects out;
    core::log_read read;
    read.stream = "config";
    read.start = 1;
    read.entries.push_back(entry(s.config.applied + 1, start, m));
    read.end = s.config.applied + 1;
    core::reduce(s, {start, read}, out);
    out.clear();
    result r;
    auto const& move = s.config.moves.at("m");
    std::uint64_t number = 0;
    auto now = start;
    for (; now < start + deadline && !move.end; now += 50ms) {
        double const due = seconds_of(now) * kind.per_second;
        int const n = static_cast<int>(due - static_cast<double>(number));
        for (int i = 0; i < n; ++i) {
            double const t = seconds_of(now);
            double const share =
                static_cast<double>(move.sent_to) /
                static_cast<double>(std::max<std::uint64_t>(1, move.offered));
            core::reduce(s, {now, request("n1.1." + std::to_string(++number))},
                         out);
            r.canary_of += move.stage == 0 ? 1 : 0;
            for (std::size_t k = 0; k < out.size(); ++k) {
                auto const* const d = std::get_if<core::dispatch>(&out[k]);
                if (d == nullptr)
                    continue;
                bool const is_new = d->version == "v2";
                auto const call = d->call;
                r.canary += is_new && move.stage == 0 ? 1 : 0;
                r.bad_answers += is_new && from.is_bad_now(t, share) ? 1 : 0;
                bool const fails = from.fails(is_new, t, share);
                auto const at =
                    now + (fails ? 1ms : from.latency(is_new, t, share));
                // The answer is reduced now, with its own later time.
                auto const saved_now = s.now;
                if (fails)
                    core::reduce(s, {at, core::answer_head{call, 500}}, out);
                else {
                    core::reduce(s, {at, core::answer_chunk{call, 0, "x"}},
                                 out);
                    core::reduce(s, {at, core::answer_end{call, 1}}, out);
                }
                s.now = saved_now;
            }
            out.clear();
        }
        core::reduce(s, {now, core::tick{}}, out);
        confirm_appends(s, out);
        core::effects sweep;
        if (number % 5'000 < 5)
            std::erase_if(s.requests, [](auto const& it) {
                return it.second.phase == core::request_phase::done;
            });
    }
    r.ended = move.end.has_value();
    r.finished = move.end == core::move_end::finished;
    r.ended_at = seconds_of(now);
    return r;
}

// Baseline: a canary with fixed steps in time. Rolls back when the error rate
// or the mean latency of a step passes a threshold.
result run_fixed(behaviour const& kind, std::uint64_t seed)
{
    constexpr std::array shares{0.02, 0.1, 0.5, 0.9};
    constexpr double step_seconds = 140;
    constexpr double max_error_rate = 0.05;
    constexpr int min_samples = 20;
    source from{std::mt19937_64(seed), kind};
    result r;
    double sent = 0;
    double offered = 0;
    int answers = 0;
    int errors = 0;
    double slow_sum = 0;
    double old_sum = 0;
    int old_answers = 0;
    int step = 0;
    double const total = std::chrono::duration<double>(deadline).count();
    double const gap = 1.0 / kind.per_second;
    for (double t = 0; t < total; t += gap) {
        auto const now = std::min<int>(3, static_cast<int>(t / step_seconds));
        if (now != step) {
            step = now;
            sent = offered = answers = errors = 0;
            slow_sum = 0;
        }
        if (t >= 4 * step_seconds) {
            r.finished = true;
            r.ended = true;
            r.ended_at = t;
            return r;
        }
        offered++;
        auto const at = static_cast<std::size_t>(step);
        bool const is_new = sent + 1 <= shares.at(at) * offered;
        double const share = sent / offered;
        bool const fails = from.fails(is_new, t, share);
        auto const ms =
            static_cast<double>(from.latency(is_new, t, share).count()) / 1e3;
        if (!is_new) {
            old_sum += ms;
            old_answers++;
            continue;
        }
        sent++;
        answers++;
        errors += fails ? 1 : 0;
        slow_sum += ms;
        r.bad_answers += from.is_bad_now(t, share) ? 1 : 0;
        bool const enough = answers >= min_samples;
        bool const slow =
            old_answers > 0 && slow_sum / answers > 2 * old_sum / old_answers;
        if (enough && (errors > max_error_rate * answers || slow)) {
            r.ended = true;
            r.ended_at = t;
            return r;
        }
    }
    return r;
}

using policy = std::function<result(behaviour const&, std::uint64_t)>;

std::vector<result> run_all(behaviour const& kind, policy const& run, int moves)
{
    std::vector<result> out(static_cast<std::size_t>(moves));
    std::vector<std::thread> threads;
    constexpr std::size_t workers = 8;
    for (std::size_t w = 0; w < workers; ++w)
        threads.emplace_back([&, w] {
            for (auto i = w; i < out.size(); i += workers)
                out[i] = run(kind, i + 1);
        });
    for (auto& it : threads)
        it.join();
    return out;
}

void print(char const* name, behaviour const& kind,
           std::vector<result> const& all)
{
    double const n = static_cast<double>(all.size());
    double const right =
        static_cast<double>(std::ranges::count_if(all, [&](auto const& it) {
            return it.ended && it.finished == kind.good;
        }));
    double bad = 0;
    double time = 0;
    int over = 0;
    for (auto const& it : all) {
        bad += it.bad_answers;
        time += it.ended_at;
        over += it.canary * 50 > it.canary_of ? 1 : 0;
    }
    std::printf("%-20s %-12s %7.1f %% %12.1f %10.1f s %6d\n", kind.name, name,
                100 * right / n, bad / n, time / n, over);
}

} // namespace

int main(int argc, char** argv)
{
    int const moves = argc > 1 ? std::stoi(argv[1]) : 1'000;
    std::printf("%d moves a kind, deadline 600 s\n%-20s %-12s %9s %12s %12s "
                "%6s\n",
                moves, "new version", "policy", "right", "bad answers",
                "ended after", "over 2%");
    for (auto const& kind : kinds) {
        print("papayahook", kind, run_all(kind, run_move, moves));
        print("fixed steps", kind, run_all(kind, run_fixed, moves));
    }
    return 0;
}
