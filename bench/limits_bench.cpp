// Limits under overload: six reducers before runners with slots, callers that
// come back after a refusal. limits_bench prints one table per scenario, all
// from one run with one seed.
//
//   load 0.8 ... 3   steady load, five organisations alike
//   flood            one organisation sends three times the capacity
//   surge            3 x for 20 s, then 0.6 x: is the target met again?
//   runners lost     a third of the runners goes at 0.8 x, and comes back
#include "fixture.hpp"
#include "schedule.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <random>
#include <unordered_map>
#include <utility>

namespace {

using namespace papayahook;
using namespace papayahook::bench;

constexpr std::size_t nodes = 6;
constexpr std::size_t runners = 9;
constexpr std::size_t organisations = 5;
constexpr int slots = 16;
constexpr int answer_tokens = 60;
constexpr double prefill_seconds = 0.05;
constexpr double first_token_target = 0.52; // seconds, from the letter
constexpr double patience = 5;              // of a caller, to the first token
constexpr int tries = 4;                    // of a caller, after refusals

// Seconds between tokens at a batch size; 60 ms when full.
double gap_at(int batch)
{
    return 0.02 + 0.0025 * batch;
}

// Requests a second that all slots together serve.
constexpr double capacity = runners * slots / (answer_tokens * 0.06);

struct bench_runner
{
    int running = 0;
    double prefill_free = 0;
    bool gone = false;
};

struct ask
{
    std::size_t organisation = 0;
    std::size_t node = 0;
    int tries_left = tries;
    double asked = 0; // seconds, first try
    double sent = 0;  // this try
    bool answered = false;
    core::call_id call = 0;
    std::size_t runner = 0;
};

// Counted by the second in which the caller first asked.
struct tally
{
    long asked = 0;
    long in_time = 0; // first token within the target, of the try that got it
    long at_once = 0; // the same, counted from the first try
    long answered = 0;
    long tried = 0; // requests that nodes saw
    long refused = 0;
};

struct simulation
{
    schedule clock;
    std::vector<core::node_state> node;
    std::vector<bench_runner> runner{runners};
    std::unordered_map<core::request_id, ask> asks;
    std::mt19937_64 random{7};
    std::array<double, organisations> load{}; // requests a second
    int next_id = 0;
    std::vector<std::array<tally, organisations>> seconds;

    tally& count(ask const& a)
    {
        return seconds.at(static_cast<std::size_t>(a.asked)).at(a.organisation);
    }
};

void give(simulation& s, std::size_t node, decltype(core::event::what) what);

core::request_id id_of(simulation& s, std::size_t node)
{
    return "n" + std::to_string(node) + ".1." + std::to_string(++s.next_id);
}

void send_request(simulation& s, ask a)
{
    a.sent = s.clock.now;
    auto it = request(id_of(s, a.node));
    it.key_digest = "key" + std::to_string(a.organisation);
    s.count(a).tried++;
    s.asks[it.id] = a;
    s.clock.at(s.clock.now + patience, [&s, id = it.id, node = a.node] {
        auto const found = s.asks.find(id);
        if (found != s.asks.end() && !found->second.answered) {
            s.asks.erase(found);
            give(s, node, core::caller_gone{id});
        }
    });
    give(s, a.node, it);
}

// A refused caller comes back a little after the time that it was told.
void come_back(simulation& s, core::request_id const& id,
               core::refusal const& why)
{
    auto const found = s.asks.find(id);
    if (found == s.asks.end())
        return;
    auto a = found->second;
    s.asks.erase(found);
    s.count(a).refused++;
    if (--a.tries_left == 0)
        return;
    double const told =
        std::max<double>(0.05, static_cast<double>(why.retry_after.count()));
    double const wait = told * std::uniform_real_distribution<>(1, 2)(s.random);
    a.node = s.random() % nodes;
    s.clock.at(s.clock.now + wait, [&s, a] { send_request(s, a); });
}

void end_call(simulation& s, core::request_id const& id, core::call_id call)
{
    auto const found = s.asks.find(id);
    if (found == s.asks.end() || found->second.call != call)
        return;
    auto const a = found->second;
    s.runner[a.runner].running--;
    s.count(a).answered++;
    s.asks.erase(found);
    give(s, a.node, core::answer_end{call, 1});
}

void first_token(simulation& s, core::request_id const& id, core::call_id call)
{
    auto const found = s.asks.find(id);
    if (found == s.asks.end() || found->second.call != call)
        return;
    auto& a = found->second;
    a.answered = true;
    s.count(a).in_time += s.clock.now - a.sent <= first_token_target ? 1 : 0;
    s.count(a).at_once += s.clock.now - a.asked <= first_token_target ? 1 : 0;
    give(s, a.node, core::answer_chunk{call, 0, "x"});
}

void start_call(simulation& s, std::size_t node, core::dispatch const& it)
{
    auto const i = std::stoul(it.endpoint.substr(1));
    auto& r = s.runner[i];
    auto const found = s.asks.find(it.id);
    if (r.gone || found == s.asks.end()) {
        s.clock.at(s.clock.now, [&s, node, call = it.call] {
            give(s, node,
                 core::call_failed{call, core::step::connect, false, "gone"});
        });
        return;
    }
    found->second.call = it.call;
    found->second.runner = i;
    r.running++;
    // A batch that is overfull waits in the engine.
    double const begin =
        std::max(s.clock.now, r.prefill_free) +
        std::max(0, r.running - slots) * answer_tokens * gap_at(slots) / slots;
    r.prefill_free = std::max(s.clock.now, r.prefill_free) + prefill_seconds;
    double const gap = gap_at(std::min(r.running, slots));
    double const first = begin + prefill_seconds + gap;
    s.clock.at(first,
               [&s, id = it.id, call = it.call] { first_token(s, id, call); });
    s.clock.at(first + answer_tokens * gap,
               [&s, id = it.id, call = it.call] { end_call(s, id, call); });
}

void give(simulation& s, std::size_t node, decltype(core::event::what) what)
{
    core::effects out;
    core::reduce(s.node[node], {s.clock.time(), std::move(what)}, out);
    for (auto const& it : out) {
        if (auto const* const d = std::get_if<core::dispatch>(&it))
            start_call(s, node, *d);
        else if (auto const* const r = std::get_if<core::refuse>(&it))
            come_back(s, r->id, r->why);
    }
}

void arrive(simulation& s, std::size_t organisation)
{
    double const rate = s.load[organisation];
    double const wait =
        rate == 0 ? 1 : std::exponential_distribution<>(rate)(s.random);
    s.clock.at(s.clock.now + std::min(wait, 1.0), [&s, organisation, wait] {
        if (wait <= 1.0) {
            ask a;
            a.organisation = organisation;
            a.node = s.random() % nodes;
            a.asked = s.clock.now;
            s.count(a).asked++;
            send_request(s, a);
        }
        arrive(s, organisation);
    });
}

void poll(simulation& s, std::size_t node, std::size_t n)
{
    auto const i = n % runners;
    if (!s.runner[i].gone)
        give(s, node,
             core::endpoint_report{"r" + std::to_string(i), "1", false,
                                   s.runner[i].running, 0});
    s.clock.at(s.clock.now + 0.25, [&s, node, n] { poll(s, node, n + 1); });
}

void tick(simulation& s)
{
    for (std::size_t i = 0; i < nodes; ++i)
        give(s, i, core::tick{});
    s.clock.at(s.clock.now + 0.05, [&s] { tick(s); });
}

simulation make_simulation(double seconds)
{
    simulation s;
    s.seconds.resize(static_cast<std::size_t>(seconds) + 1);
    for (std::size_t i = 0; i < nodes; ++i) {
        s.node.push_back(make_node("n" + std::to_string(i),
                                   {.runners = runners, .slots = slots},
                                   schedule::start));
        auto& node = s.node.back();
        for (std::size_t k = 0; k < organisations; ++k) {
            auto const name = "org" + std::to_string(k);
            core::organisation org;
            org.name = name;
            org.max_in_flight = 1'000'000;
            node.config.organisations[name].value = org;
            node.config.organisation_by_key["key" + std::to_string(k)] = name;
        }
        for (std::size_t k = 0; k < nodes; ++k)
            node.members["n" + std::to_string(k)].up = true;
    }
    return s;
}

struct phase
{
    double until = 0;
    std::array<double, organisations> load; // times the capacity
    std::size_t gone = 0;                   // runners
};

std::array<double, organisations> even(double factor)
{
    std::array<double, organisations> out;
    out.fill(factor / organisations);
    return out;
}

// Lets runners go: their calls fail, and new ones are refused a connection.
void set_gone(simulation& s, std::size_t gone)
{
    for (std::size_t i = 0; i < runners; ++i) {
        bool const goes = i < gone && !s.runner[i].gone;
        s.runner[i].gone = i < gone;
        if (!goes)
            continue;
        s.runner[i].running = 0;
        std::vector<std::pair<std::size_t, core::call_id>> lost;
        for (auto& [id, a] : s.asks)
            if (a.call != 0 && a.runner == i)
                lost.emplace_back(a.node, std::exchange(a.call, 0));
        std::ranges::sort(lost);
        for (auto const& [node, call] : lost)
            give(s, node,
                 core::call_failed{call, core::step::receive, true,
                                   "runner gone"});
    }
}

simulation run(std::vector<phase> const& phases)
{
    auto s = make_simulation(phases.back().until);
    for (std::size_t i = 0; i < nodes; ++i)
        s.clock.at(0.01 * static_cast<double>(i),
                   [&s, i] { poll(s, i, i * 2); });
    s.clock.at(0, [&s] { tick(s); });
    for (std::size_t i = 0; i < organisations; ++i)
        s.clock.at(0, [&s, i] { arrive(s, i); });
    for (auto const& it : phases) {
        for (std::size_t i = 0; i < organisations; ++i)
            s.load[i] = it.load[i] * capacity;
        set_gone(s, it.gone);
        s.clock.run_until(it.until);
    }
    return s;
}

tally sum(simulation const& s, double from, double to, std::size_t first,
          std::size_t last)
{
    tally out;
    for (auto at = static_cast<std::size_t>(from);
         at < static_cast<std::size_t>(to); ++at)
        for (auto i = first; i <= last; ++i) {
            auto const& it = s.seconds[at][i];
            out.asked += it.asked;
            out.in_time += it.in_time;
            out.at_once += it.at_once;
            out.answered += it.answered;
            out.tried += it.tried;
            out.refused += it.refused;
        }
    return out;
}

void print(char const* what, tally const& it, double seconds)
{
    auto const share = [](long n, long of) {
        return of == 0 ? 0.0
                       : 100 * static_cast<double>(n) / static_cast<double>(of);
    };
    std::printf("%-26s %7.1f %7.1f %8.1f %9.1f%% %8.1f%%\n", what,
                static_cast<double>(it.asked) / seconds,
                static_cast<double>(it.tried) / seconds,
                static_cast<double>(it.in_time) / seconds,
                share(it.in_time, it.tried - it.refused),
                share(it.at_once, it.asked));
}

void steady()
{
    for (double const factor : {0.8, 1.0, 1.5, 3.0}) {
        auto const s = run({{70, even(factor), 0}});
        char name[32];
        std::snprintf(name, sizeof name, "load %.1f", factor);
        print(name, sum(s, 20, 60, 0, 4), 40);
    }
}

void flood()
{
    auto load = even(0.6);
    load[0] = 3;
    auto const s = run({{70, load, 0}});
    print("flood: the one that floods", sum(s, 20, 60, 0, 0), 40);
    print("flood: the other four", sum(s, 20, 60, 1, 4), 40);
}

void surge()
{
    auto const s =
        run({{20, even(0.6), 0}, {40, even(3), 0}, {90, even(0.6), 0}});
    print("surge: before", sum(s, 10, 20, 0, 4), 10);
    print("surge: in it", sum(s, 25, 40, 0, 4), 15);
    print("surge: 0 to 10 s after", sum(s, 40, 50, 0, 4), 10);
    print("surge: 30 to 40 s after", sum(s, 70, 80, 0, 4), 10);
}

void runners_lost()
{
    auto const s =
        run({{20, even(0.8), 0}, {40, even(0.8), 3}, {90, even(0.8), 0}});
    print("runners lost: before", sum(s, 10, 20, 0, 4), 10);
    print("runners lost: 6 of 9 left", sum(s, 25, 40, 0, 4), 15);
    print("runners lost: 0 to 10 s", sum(s, 40, 50, 0, 4), 10);
    print("runners lost: 30 to 40 s", sum(s, 70, 80, 0, 4), 10);
}

} // namespace

int main()
{
    std::printf("capacity %.1f requests/s; a second: asked by callers, tried "
                "at nodes, first token in time; shares in time: of tries not "
                "refused, of callers from their first try\n",
                capacity);
    std::printf("%-26s %7s %7s %8s %10s %9s\n", "", "asked", "tried", "in time",
                "of kept", "at once");
    steady();
    flood();
    surge();
    runners_lost();
    return 0;
}
