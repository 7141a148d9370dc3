// Aggregated figures: each node gets the figures of the whole fleet, and
// nothing is counted twice.
#include "support/fabric.hpp"
#include "support/world.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr auto usage_window = 5s;

fabric make_fleet(std::size_t nodes, double rate = 1'000'000)
{
    auto f = make_fabric(nodes, 5, nodes / 20);
    for (auto& it : f.nodes) {
        it.settings.quota_window = 8s;
        it.settings.quota_overshoot = 0.1;
        it.settings.quota_slack = rate / 10;
    }
    run(f, 5s);
    give(f, 0, core::config_published{token_quota(rate)});
    deliver(f);
    run(f, 1s);
    return f;
}

// Returns whether the request was admitted.
bool send_request(fabric& f, std::size_t node, int number, int units)
{
    core::request_arrived e;
    e.id = "r" + std::to_string(number);
    e.key_digest = "key";
    e.route = "chat";
    e.prompt_tokens = units;
    give(f, node, e);
    bool const admitted = f.nodes[node].requests.contains(e.id);
    if (admitted)
        give(f, node, core::caller_gone{e.id});
    return admitted;
}

std::uint64_t counted_usage(core::node_state const& s, std::int64_t window)
{
    std::uint64_t out = 0;
    auto const add = [&](core::usage_counts const& from) {
        auto const it = from.find(window);
        if (it != from.end() && it->second.contains("acme"))
            out += it->second.at("acme");
    };
    add(s.duties.subtree_totals);
    add(s.duties.unpublished_usage);
    for (auto const& [node, counts] : s.duties.hub_usage)
        add(counts);
    return out;
}

// Counts a request of the organisation as started at the node.
void start_request(fabric& f, std::size_t node)
{
    auto const window = f.now.time_since_epoch() / usage_window;
    f.nodes[node].duties.unpublished_usage[window]["acme"]++;
}

std::size_t first_hub(fabric const& f)
{
    for (std::size_t i = 0; i < f.nodes.size(); ++i)
        if (f.running[i] && f.nodes[i].rank == 0)
            return i;
    return 0;
}

} // namespace

TEST_CASE("a hub knows the usage of all nodes of a large fleet")
{
    auto f = make_fleet(295);
    std::mt19937 random{20261204};
    auto const window = f.now.time_since_epoch() / usage_window + 1;
    while (f.now.time_since_epoch() / usage_window < window)
        run(f, 50ms);
    int expected = 0;
    for (auto t = 0ms; t < 5s; t += 50ms) {
        for (int i = 0; i < 60; ++i, ++expected)
            start_request(f, random() % f.nodes.size());
        run(f, 50ms);
    }
    run(f, 2'500ms);
    CHECK(counted_usage(f.nodes[first_hub(f)], window) ==
          static_cast<std::uint64_t>(expected));
}

TEST_CASE("usage is counted once while nodes move between hubs")
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        auto f = make_fleet(60);
        std::mt19937 random{seed};
        auto const window = f.now.time_since_epoch() / usage_window + 1;
        while (f.now.time_since_epoch() / usage_window < window)
            run(f, 50ms);
        int expected = 0;
        // Upper bound of the requests whose counts the killed hubs lose: those
        // of their last one or two heartbeat periods.
        int max_lost = 0;
        std::set<std::size_t> killed;
        for (auto t = 0ms; t < 5s; t += 50ms) {
            for (int i = 0; i < 20; ++i) {
                auto const node = random() % f.nodes.size();
                if (f.running[node])
                    start_request(f, node), ++expected;
            }
            if (t == 1s || t == 2s || t == 3s) {
                auto const victim = first_hub(f);
                killed.insert(victim);
                kill(f, victim);
                max_lost += 20; // a hub reports its subtree within 250 ms
            }
            if (t == 2'500ms)
                restart(f, *killed.begin());
            run(f, 50ms);
        }
        run(f, 2'500ms);
        auto const sum = counted_usage(f.nodes[first_hub(f)], window);
        CHECK(sum <= static_cast<std::uint64_t>(expected));
        CHECK(sum + static_cast<std::uint64_t>(max_lost) >=
              static_cast<std::uint64_t>(expected));
    }
}

TEST_CASE("an organisation within its quota is admitted at each of 295 nodes")
{
    constexpr double rate = 1'000'000;
    constexpr int units = 5'000;
    auto f = make_fleet(295, rate);
    std::mt19937 random{1};
    int sent = 0;
    int refused = 0;
    for (auto t = 0ms; t < 12s; t += 50ms) {
        int const due = static_cast<int>(0.8 * rate / units / 20);
        for (int i = 0; i < due; ++i, ++sent)
            refused += send_request(f, random() % 295, sent, units) ? 0 : 1;
        run(f, 50ms);
    }
    CHECK(refused * 50 <= sent); // at least 98 % are admitted
}

TEST_CASE("a flood of requests at 295 nodes spends at most the quota")
{
    constexpr double rate = 1'000'000;
    constexpr int units = 5'000;
    constexpr double allowed = (8 * rate + rate) * 1.1 + rate / 10;
    auto f = make_fleet(295, rate);
    std::mt19937 random{1};
    int sent = 0;
    double peak = 0;
    std::deque<core::time_point> spent;
    for (auto t = 0ms; t < 20s; t += 50ms) {
        int const due =
            static_cast<int>((t < 3s ? 0.5 : 5) * rate / units / 20);
        for (int i = 0; i < due; ++i, ++sent)
            if (send_request(f, random() % 295, sent, units))
                spent.push_back(f.now);
        while (!spent.empty() && spent.front() + 8s < f.now)
            spent.pop_front();
        peak = std::max(peak, static_cast<double>(spent.size()) * units);
        run(f, 50ms);
    }
    CHECK(peak <= allowed);
    CHECK(peak >= 0.6 * allowed);
}

TEST_CASE("each node knows the calls of all other nodes at an endpoint")
{
    auto f = make_fleet(100);
    core::endpoints_listed list;
    core::endpoint_entry e;
    e.at = 1;
    e.name = "e1";
    e.present = true;
    e.value.name = "e1";
    list.entries.push_back(e);
    give(f, 0, list);
    deliver(f);
    for (auto& it : f.nodes)
        it.endpoints["e1"].in_flight = 2;
    run(f, 1s);
    auto const key = core::endpoint_key("e1");
    for (auto const& it : f.nodes) {
        REQUIRE(it.remote_loads.contains(key));
        CHECK(it.remote_loads.at(key).calls == 2 * 99);
    }
    kill(f, 42);
    run(f, 4s);
    for (std::size_t i = 0; i < 100; ++i)
        if (i != 42)
            CHECK(f.nodes[i].remote_loads.at(key).calls == 2 * 98);
}

TEST_CASE("a node of a large fleet sends few messages")
{
    auto f = make_fleet(295);
    f.messages_sent = 0;
    run(f, 10s);
    // Each link carries 4 heartbeats per second in each direction. Hubs have
    // about 35 links.
    CHECK(f.messages_sent / 295 / 10 <= 16);
}
