// Compares routing policies on a simulated runner at the core's interface:
// slots, serial prefill, decode gap by batch size, LRU prefix cache.
// routing_bench prints one table from one run, with one seed for all.
#include "fixture.hpp"
#include "schedule.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <thread>
#include <unordered_map>
#include <unordered_set>

namespace {

using namespace papayahook;
using namespace papayahook::bench;

constexpr int routers = 6;
constexpr int slots = 16;
constexpr double prefill_ms = 0.25;         // per uncached token
constexpr std::size_t cache_blocks = 2'500; // of 16 tokens, per runner
constexpr double requests_per_second = 60;
constexpr double seconds = 60;
constexpr double warm_up = 10; // seconds that are not counted

enum class policy
{
    round_robin,
    least_requests,
    two_choices,
    prefix_hash,
    papayahook,
    exact, // knows every cache and queue
};

constexpr char const* names[] = {"round robin", "least requests",
                                 "two choices", "prefix hash",
                                 "papayahook",  "exact knowledge"};

struct job
{
    int router = 0;
    core::request_arrived asked;
    int tokens = 0;
    double arrived = 0; // seconds
    core::call_id call = 0;
    double gap_ms = 0;
};

using job_ptr = std::shared_ptr<job>;

struct runner_model
{
    int running = 0;
    double prefill_free = 0;
    std::list<job_ptr> waiting;
    std::list<std::uint64_t> order; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        cached;

    int hit_tokens(core::request_arrived const& it) const
    {
        auto const miss = std::ranges::find_if(
            it.prefix_blocks, [&](auto b) { return !cached.contains(b); });
        return static_cast<int>(miss - it.prefix_blocks.begin()) *
               core::prefix_block_tokens;
    }
    void touch(core::request_arrived const& it)
    {
        for (auto const block : it.prefix_blocks) {
            if (auto const found = cached.find(block); found != cached.end())
                order.erase(found->second);
            order.push_front(block);
            cached[block] = order.begin();
        }
        while (order.size() > cache_blocks) {
            cached.erase(order.back());
            order.pop_back();
        }
    }
};

struct scored
{
    double share_first = 0; // percent with first token within 0.52 s
    double share_gap = 0;   // percent with at most 71 ms between tokens
    double recomputed = 0;  // tokens that a runner had prefilled before
};

struct simulation
{
    policy how;
    std::vector<runner_model> runners;
    std::vector<core::node_state> nodes;
    std::vector<std::vector<int>> own; // calls in flight, by router and runner
    std::vector<std::size_t> turn;
    std::mt19937_64 random{7};
    schedule clock;
    std::unordered_set<std::uint64_t> prefilled_before;
    std::unordered_map<std::string, job_ptr> asked;
    long counted = 0;
    long first_ok = 0;
    long gap_ok = 0;
    double recomputed = 0;
};

void deliver(simulation& s, int router, decltype(core::event::what) what);

void start_job(simulation& s, std::size_t i, job_ptr const& j);

void end_job(simulation& s, std::size_t i, job_ptr const& j)
{
    auto& r = s.runners[i];
    r.running--;
    s.own[static_cast<std::size_t>(j->router)][i]--;
    if (!r.waiting.empty()) {
        auto const next = r.waiting.front();
        r.waiting.pop_front();
        start_job(s, i, next);
    }
    if (s.how == policy::papayahook)
        deliver(s, j->router, core::answer_end{j->call, 1});
}

void start_job(simulation& s, std::size_t i, job_ptr const& j)
{
    auto& r = s.runners[i];
    r.running++;
    int const uncached = j->asked.prompt_tokens - r.hit_tokens(j->asked);
    int fresh = 0;
    for (auto const b : j->asked.prefix_blocks)
        fresh +=
            s.prefilled_before.insert(b).second ? core::prefix_block_tokens : 0;
    r.touch(j->asked);
    double const begin = std::max(s.clock.now, r.prefill_free);
    r.prefill_free = begin + uncached * prefill_ms / 1e3;
    j->gap_ms = 20 + 2.5 * r.running;
    double const first = r.prefill_free + j->gap_ms / 1e3;
    if (j->arrived > warm_up) {
        s.counted++;
        s.first_ok += first - j->arrived <= 0.52 ? 1 : 0;
        s.gap_ok += j->gap_ms <= 71 ? 1 : 0;
        s.recomputed += std::max(0, uncached - fresh);
    }
    s.clock.at(first, [&s, j] {
        if (s.how == policy::papayahook)
            deliver(s, j->router, core::answer_chunk{j->call, 0, "x"});
    });
    s.clock.at(first + j->tokens * j->gap_ms / 1e3,
               [&s, i, j] { end_job(s, i, j); });
}

void send(simulation& s, std::size_t i, job_ptr const& j)
{
    s.own[static_cast<std::size_t>(j->router)][i]++;
    auto& r = s.runners[i];
    if (r.running < slots)
        start_job(s, i, j);
    else
        r.waiting.push_back(j);
}

void deliver(simulation& s, int router, decltype(core::event::what) what)
{
    core::effects out;
    auto& node = s.nodes[static_cast<std::size_t>(router)];
    core::reduce(node, {s.clock.time(), std::move(what)}, out);
    for (auto const& it : out) {
        auto const* const d = std::get_if<core::dispatch>(&it);
        if (d == nullptr)
            continue;
        auto const j = s.asked.at(d->id);
        j->call = d->call;
        send(s, std::stoul(d->endpoint.substr(1)), j);
    }
}

std::size_t least(simulation& s, std::function<double(std::size_t)> const& cost)
{
    std::size_t best = 0;
    for (std::size_t i = 1; i < s.runners.size(); ++i)
        if (cost(i) < cost(best))
            best = i;
    return best;
}

void route(simulation& s, job_ptr const& j)
{
    auto const at = static_cast<std::size_t>(j->router);
    auto const& own = s.own[at];
    auto const n = s.runners.size();
    switch (s.how) {
    case policy::round_robin:
        send(s, s.turn[at]++ % n, j);
        return;
    case policy::least_requests:
        send(s,
             least(s,
                   [&](auto i) {
                       return own[i] +
                              static_cast<double>((i + at * 7) % n) / 1e3;
                   }),
             j);
        return;
    case policy::two_choices: {
        auto const a = s.random() % n;
        auto const b = s.random() % n;
        send(s, own[a] <= own[b] ? a : b, j);
        return;
    }
    case policy::prefix_hash:
        send(s, j->asked.prefix_blocks.front() * 0x9e3779b97f4a7c15 % n, j);
        return;
    case policy::papayahook:
        deliver(s, j->router, j->asked);
        return;
    case policy::exact:
        send(s,
             least(s,
                   [&](auto i) {
                       auto const& r = s.runners[i];
                       double const busy =
                           std::max(0.0, r.prefill_free - s.clock.now);
                       double const uncached =
                           j->asked.prompt_tokens - r.hit_tokens(j->asked);
                       double const full =
                           r.running >= slots
                               ? 1 + 0.3 * static_cast<double>(r.waiting.size())
                               : 0;
                       return busy * 1e3 + uncached * prefill_ms +
                              2.5 * r.running + full * 1e3;
                   }),
             j);
    }
}

std::vector<std::uint64_t> blocks(std::string const& name, int shared, int own,
                                  int id)
{
    std::vector<std::uint64_t> out;
    for (int i = 0; i < shared; ++i)
        out.push_back(core::hash_of(name + "/" + std::to_string(i)));
    for (int i = 0; i < own; ++i)
        out.push_back(
            core::hash_of(std::to_string(id) + "-" + std::to_string(i)));
    return out;
}

// Makes chats with shared system prompts, long checks against shared standards,
// and quote jobs that share nothing.
job_ptr make_job(simulation& s, int id)
{
    auto j = std::make_shared<job>();
    j->router = static_cast<int>(s.random() % routers);
    j->arrived = s.clock.now;
    j->asked =
        request("n" + std::to_string(j->router) + ".1." + std::to_string(id));
    auto const kind = s.random() % 10;
    auto const which = std::to_string(s.random() % 20);
    if (kind < 7)
        j->asked.prefix_blocks = blocks("chat" + which, 30, 4, id);
    else if (kind < 9)
        j->asked.prefix_blocks =
            blocks("standard" + std::to_string(s.random() % 6), 100, 12, id);
    else
        j->asked.prefix_blocks = blocks("", 0, 20, id);
    j->tokens = kind < 7 ? 60 : kind < 9 ? 100 : 300;
    j->asked.prompt_tokens = static_cast<int>(j->asked.prefix_blocks.size()) *
                             core::prefix_block_tokens;
    return j;
}

void poll(simulation& s, int router, std::size_t n)
{
    auto const i = n % s.runners.size();
    auto const& r = s.runners[i];
    deliver(s, router,
            core::endpoint_report{"r" + std::to_string(i), "1", false,
                                  r.running,
                                  static_cast<int>(r.waiting.size())});
    s.clock.at(s.clock.now + 0.25, [&s, router, n] { poll(s, router, n + 1); });
}

scored run(policy how, int n)
{
    simulation s;
    s.how = how;
    s.runners.resize(static_cast<std::size_t>(n));
    s.turn.resize(routers);
    s.own.assign(routers, std::vector<int>(s.runners.size()));
    for (int i = 0; i < routers; ++i)
        s.turn[static_cast<std::size_t>(i)] = static_cast<std::size_t>(i) * 5;
    if (how == policy::papayahook)
        for (int i = 0; i < routers; ++i) {
            s.nodes.push_back(make_node(
                "n" + std::to_string(i),
                {.runners = n, .zones = 1, .slots = slots}, schedule::start));
            s.nodes.back().settings.prefill_per_token = 250us;
            for (int k = 0; k < routers; ++k)
                s.nodes.back().members["n" + std::to_string(k)].up = true;
            s.clock.at(0.01 * i, [&s, i, n] {
                poll(s, i, static_cast<std::size_t>(i * n / routers));
            });
        }
    std::exponential_distribution<> gap(requests_per_second);
    int id = 0;
    std::function<void()> arrive = [&] {
        auto const j = make_job(s, ++id);
        s.asked[j->asked.id] = j;
        route(s, j);
        s.clock.at(s.clock.now + gap(s.random), arrive);
    };
    s.clock.at(0, arrive);
    for (int i = 0; i < static_cast<int>(seconds * 20) && !s.nodes.empty(); ++i)
        s.clock.at(i * 0.05, [&s] {
            for (int r = 0; r < routers; ++r)
                deliver(s, r, core::tick{});
        });
    s.clock.run_until(seconds);
    // Requests that still wait count as misses.
    long unserved = 0;
    for (auto const& [name, j] : s.asked)
        unserved +=
            j->arrived > warm_up && j->arrived < seconds - 1 && j->gap_ms == 0
                ? 1
                : 0;
    auto const all = static_cast<double>(s.counted + unserved);
    return {100 * static_cast<double>(s.first_ok) / all,
            100 * static_cast<double>(s.gap_ok) / all, s.recomputed};
}

int runners_needed(policy how)
{
    for (int n = 12; n < 60; ++n) {
        auto const it = run(how, n);
        if (it.share_first >= 95 && it.share_gap >= 95)
            return n;
    }
    return 60;
}

} // namespace

int main()
{
    constexpr int runners = 24;
    std::printf("%d runners, %.0f requests/s, 6 nodes, %.0f s\n%-16s %14s "
                "%14s %18s %15s\n",
                runners, requests_per_second, seconds, "policy",
                "first <= 0.52 s", "gap <= 71 ms", "recomputed tokens",
                "runners for 95%");
    constexpr std::size_t policies = std::size(names);
    std::vector<scored> results(policies);
    std::vector<int> needed(policies);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < policies; ++i)
        threads.emplace_back([&, i] {
            results[i] = run(static_cast<policy>(i), runners);
            needed[i] = runners_needed(static_cast<policy>(i));
        });
    for (auto& it : threads)
        it.join();
    for (std::size_t i = 0; i < policies; ++i)
        std::printf("%-16s %13.1f%% %13.1f%% %18.0f %15d\n", names[i],
                    results[i].share_first, results[i].share_gap,
                    results[i].recomputed, needed[i]);
    return 0;
}
