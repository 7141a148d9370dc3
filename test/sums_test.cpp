// Figures of all nodes: each node knows the whole, nothing is counted twice.
#include "support/fabric.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr auto usage_window = 5s;

core::config_snapshot configuration(double rate)
{
    core::config_snapshot out;
    out.applied = 100;
    out.lists_endpoints = false;
    core::organisation org;
    org.name = "acme";
    org.key_digests = {"key"};
    org.max_in_flight = 1'000'000;
    org.quota_rate = rate;
    org.quota_burst = rate;
    org.counts_tokens = true;
    out.organisations.push_back({org, 1});
    core::route r;
    r.name = "chat";
    r.pool = "none";
    out.routes.push_back({r, 1});
    return out;
}

fabric fleet(std::size_t nodes, double rate = 1'000'000)
{
    auto f = make_fabric(nodes, 5, nodes / 20);
    for (auto& it : f.nodes) {
        it.settings.quota_window = 8s;
        it.settings.quota_overshoot = 0.1;
        it.settings.quota_slack = rate / 10;
    }
    run(f, 5s);
    give(f, 0, core::config_published{configuration(rate)});
    deliver(f);
    run(f, 1s);
    return f;
}

// Whether the request was let in.
bool ask(fabric& f, std::size_t node, int number, int units)
{
    core::request_arrived e;
    e.id = "r" + std::to_string(number);
    e.key_digest = "key";
    e.route = "chat";
    e.prompt_tokens = units;
    give(f, node, e);
    bool const in = f.nodes[node].requests.contains(e.id);
    if (in)
        give(f, node, core::caller_gone{e.id});
    return in;
}

std::uint64_t counted(core::node_state const& s, std::int64_t window)
{
    std::uint64_t out = 0;
    auto const add = [&](core::usage_counts const& from) {
        auto const it = from.find(window);
        if (it != from.end() && it->second.contains("acme"))
            out += it->second.at("acme");
    };
    add(s.duties.own);
    add(s.duties.fresh);
    for (auto const& [node, counts] : s.duties.others)
        add(counts);
    return out;
}

// A request of the organisation has begun to run at the node.
void begin(fabric& f, std::size_t node)
{
    auto const window = f.now.time_since_epoch() / usage_window;
    f.nodes[node].duties.fresh[window]["acme"]++;
}

std::size_t first_hub(fabric const& f)
{
    for (std::size_t i = 0; i < f.nodes.size(); ++i)
        if (f.running[i] && f.nodes[i].rank == 0)
            return i;
    return 0;
}

} // namespace

TEST_CASE("hubs know the usage of all nodes of a large fleet")
{
    auto f = fleet(295);
    std::mt19937 random{20261204};
    auto const window = f.now.time_since_epoch() / usage_window + 1;
    while (f.now.time_since_epoch() / usage_window < window)
        run(f, 50ms);
    int truth = 0;
    for (auto t = 0ms; t < 5s; t += 50ms) {
        for (int i = 0; i < 60; ++i, ++truth)
            begin(f, random() % f.nodes.size());
        run(f, 50ms);
    }
    run(f, 2'500ms);
    CHECK(counted(f.nodes[first_hub(f)], window) ==
          static_cast<std::uint64_t>(truth));
}

TEST_CASE("usage is counted once while nodes move between hubs")
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        auto f = fleet(60);
        std::mt19937 random{seed};
        auto const window = f.now.time_since_epoch() / usage_window + 1;
        while (f.now.time_since_epoch() / usage_window < window)
            run(f, 50ms);
        int truth = 0;
        int lost = 0; // by the killed, in their last heartbeat period or two
        std::set<std::size_t> killed;
        for (auto t = 0ms; t < 5s; t += 50ms) {
            for (int i = 0; i < 20; ++i) {
                auto const node = random() % f.nodes.size();
                if (f.running[node])
                    begin(f, node), ++truth;
            }
            if (t == 1s || t == 2s || t == 3s) {
                auto const victim = first_hub(f);
                killed.insert(victim);
                kill(f, victim);
                lost += 20; // a hub tells what is below it within 250 ms
            }
            if (t == 2'500ms)
                restart(f, *killed.begin());
            run(f, 50ms);
        }
        run(f, 2'500ms);
        auto const sum = counted(f.nodes[first_hub(f)], window);
        CHECK(sum <= static_cast<std::uint64_t>(truth));
        CHECK(sum + static_cast<std::uint64_t>(lost) >=
              static_cast<std::uint64_t>(truth));
    }
}

TEST_CASE("an organisation within its quota is let in at each of 295 nodes")
{
    constexpr double rate = 1'000'000;
    constexpr int units = 5'000;
    auto f = fleet(295, rate);
    std::mt19937 random{1};
    int asked = 0;
    int refused = 0;
    for (auto t = 0ms; t < 12s; t += 50ms) {
        int const due = static_cast<int>(0.8 * rate / units / 20);
        for (int i = 0; i < due; ++i, ++asked)
            refused += ask(f, random() % 295, asked, units) ? 0 : 1;
        run(f, 50ms);
    }
    CHECK(refused * 50 <= asked); // 98 of 100 are let in
}

TEST_CASE("a flood at 295 nodes spends no more than the quota")
{
    constexpr double rate = 1'000'000;
    constexpr int units = 5'000;
    constexpr double allowed = (8 * rate + rate) * 1.1 + rate / 10;
    auto f = fleet(295, rate);
    std::mt19937 random{1};
    int asked = 0;
    double most = 0;
    std::deque<core::time_point> spent;
    for (auto t = 0ms; t < 20s; t += 50ms) {
        int const due =
            static_cast<int>((t < 3s ? 0.5 : 5) * rate / units / 20);
        for (int i = 0; i < due; ++i, ++asked)
            if (ask(f, random() % 295, asked, units))
                spent.push_back(f.now);
        while (!spent.empty() && spent.front() + 8s < f.now)
            spent.pop_front();
        most = std::max(most, static_cast<double>(spent.size()) * units);
        run(f, 50ms);
    }
    CHECK(most <= allowed);
    CHECK(most >= 0.6 * allowed);
}

TEST_CASE("each node knows the calls of all others at an endpoint")
{
    auto f = fleet(100);
    core::endpoints_listed list;
    core::endpoint_entry e;
    e.at = 1;
    e.name = "e1";
    e.present = true;
    e.what.name = "e1";
    list.entries.push_back(e);
    give(f, 0, list);
    deliver(f);
    for (auto& it : f.nodes)
        it.endpoints["e1"].in_flight = 2;
    run(f, 1s);
    auto const key = core::endpoint_key("e1");
    for (auto const& it : f.nodes) {
        REQUIRE(it.told.contains(key));
        CHECK(it.told.at(key).calls == 2 * 99);
    }
    kill(f, 42);
    run(f, 4s);
    for (std::size_t i = 0; i < 100; ++i)
        if (i != 42)
            CHECK(f.nodes[i].told.at(key).calls == 2 * 98);
}

TEST_CASE("a node tells and hears little in a large fleet")
{
    auto f = fleet(295);
    f.messages_sent = 0;
    run(f, 10s);
    // A heartbeat each way, 4 a second, over a link; hubs have some 35 links.
    CHECK(f.messages_sent / 295 / 10 <= 16);
}
