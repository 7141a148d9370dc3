// Duties: one holder at a time, and one word on each window of usage.
#include "support/choices.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodes = 3;

struct open_append
{
    std::size_t node = 0;
    core::append_duty what;
    core::time_point carried_out_at{};
};

struct report
{
    core::time_point at;
    std::size_t node = 0;
    core::report_usage what;
};

// A store whose appends may come late or lose their answer, nodes that may be
// frozen, and the calls that the platform sees.
struct duty_world
{
    std::vector<core::node_state> node = std::vector<core::node_state>(nodes);
    std::vector<core::time_point> frozen_until =
        std::vector<core::time_point>(nodes);
    core::time_point now{std::chrono::hours(1)};
    std::vector<core::duty_entry> stream;
    std::vector<open_append> appends;
    std::vector<report> reports;
    std::mt19937 random;
    double lost = 0; // part of the answers of appends
    double late = 0; // part of the appends that are carried out later
};

duty_world make(unsigned seed)
{
    duty_world w;
    w.random.seed(seed);
    for (std::size_t i = 0; i < nodes; ++i) {
        w.node[i].settings.name = "n" + std::to_string(i);
        w.node[i].settings.incarnation = 1;
        w.node[i].settings.holds_duties = true;
    }
    return w;
}

bool chance(duty_world& w, double p)
{
    return std::uniform_real_distribution<>(0, 1)(w.random) < p;
}

void give(duty_world& w, std::size_t i, decltype(core::event::what) what)
{
    core::effects out;
    core::reduce(w.node[i], {w.now, std::move(what)}, out);
    for (auto const& it : out) {
        if (auto const* const a = std::get_if<core::append_duty>(&it)) {
            auto const delay = chance(w, w.late) ? 2'500ms : 5ms;
            w.appends.push_back({i, *a, w.now + delay});
        }
        if (auto const* const r = std::get_if<core::report_usage>(&it)) {
            w.reports.push_back({w.now, i, *r});
            give(w, i, core::usage_reported{r->what.window, true});
        }
    }
}

void carry_out_appends(duty_world& w)
{
    auto const due = [&](auto const& it) {
        return it.carried_out_at <= w.now;
    };
    std::vector<open_append> now;
    std::ranges::copy_if(w.appends, std::back_inserter(now), due);
    std::erase_if(w.appends, due);
    for (auto const& it : now) {
        bool const ok = it.what.at == w.stream.size();
        if (ok)
            w.stream.push_back({it.what.at, it.what.record});
        bool const frozen = w.frozen_until[it.node] > w.now;
        if (!chance(w, w.lost) && !frozen)
            give(w, it.node, core::duty_append_done{ok});
    }
}

void read_stream(duty_world& w, std::size_t i)
{
    core::duties_read read;
    read.end = w.stream.size();
    auto const known = w.node[i].duties.end;
    for (auto const& it : w.stream)
        if (it.at >= known)
            read.entries.push_back(it);
    if (!read.entries.empty() || !w.node[i].duties.read_once)
        give(w, i, std::move(read));
}

void run(duty_world& w, std::chrono::milliseconds time)
{
    for (auto t = 0ms; t < time; t += 50ms) {
        w.now += 50ms;
        carry_out_appends(w);
        for (std::size_t i = 0; i < nodes; ++i) {
            if (w.frozen_until[i] > w.now)
                continue;
            w.node[i].duties.own[w.now.time_since_epoch() / 5s]["acme"]++;
            read_stream(w, i);
            give(w, i, core::tick{});
        }
    }
}

// A, B, A within the lease, or a token below one that was seen.
bool is_one_at_a_time(duty_world const& w)
{
    auto const lease = w.node[0].settings.lease;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < w.reports.size(); ++i) {
        auto const& it = w.reports[i];
        if (it.what.fencing < highest)
            return false;
        highest = it.what.fencing;
        for (std::size_t j = 0; j < i; ++j)
            for (std::size_t k = j + 1; k < i; ++k)
                if (w.reports[j].node == it.node &&
                    w.reports[k].node != it.node &&
                    it.at - w.reports[j].at < lease)
                    return false;
    }
    return true;
}

bool says_one_thing_a_window(duty_world const& w)
{
    std::map<std::int64_t, std::map<std::string, std::uint64_t>> said;
    return std::ranges::all_of(w.reports, [&](auto const& it) {
        auto const [at, added] =
            said.emplace(it.what.what.window, it.what.what.counts);
        return at->second == it.what.what.counts;
    });
}

std::size_t windows_reported(duty_world const& w)
{
    std::set<std::int64_t> out;
    for (auto const& it : w.reports)
        out.insert(it.what.what.window);
    return out.size();
}

} // namespace

TEST_CASE("usage of each window is reported by one holder")
{
    auto w = make(1);
    run(w, 60s);
    CHECK(windows_reported(w) >= 10);
    CHECK(is_one_at_a_time(w));
    CHECK(says_one_thing_a_window(w));
}

TEST_CASE("lost answers and late appends make no second holder")
{
    for (unsigned seed = 1; seed <= 100; ++seed) {
        INFO("seed " << seed);
        auto w = make(seed);
        w.lost = 0.4;
        w.late = 0.1;
        run(w, 60s);
        CHECK(is_one_at_a_time(w));
        CHECK(says_one_thing_a_window(w));
    }
}

TEST_CASE("a holder that was suspended acts no more when it wakes")
{
    for (unsigned seed = 1; seed <= 100; ++seed) {
        INFO("seed " << seed);
        auto w = make(seed);
        run(w, 12s);
        for (int round = 0; round < 3; ++round) {
            auto const holder = std::ranges::find_if(
                w.node, [](auto& it) { return it.duties.fencing != 0; });
            auto const i =
                static_cast<std::size_t>(std::distance(w.node.begin(), holder));
            if (i < nodes)
                w.frozen_until[i] =
                    w.now + std::chrono::milliseconds(w.random() % 9'000);
            run(w, 15s);
        }
        CHECK(is_one_at_a_time(w));
        CHECK(says_one_thing_a_window(w));
        CHECK(windows_reported(w) >= 8);
    }
}
