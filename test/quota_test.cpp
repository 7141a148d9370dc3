// Quotas: all nodes together stay within the limit, whatever they know of one
// another, and none refuses what is well within it.
#include "support/choices.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr double rate = 10'000; // units a second
constexpr double slack = 4'000;
constexpr double overshoot = 0.1;
constexpr auto window = 8s;
constexpr std::size_t nodes = 7;

struct admitted
{
    core::time_point at;
    double units = 0;
};

struct shop
{
    world w = make_world(nodes);
    std::mt19937 random{20261204};
    std::deque<admitted> spent;
    double most = 0; // in any window
    int asked = 0;
    int refused = 0;
};

core::config_snapshot configuration()
{
    core::config_snapshot out;
    out.applied = 100; // above what the world was made with
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

shop open_shop()
{
    shop out;
    for (auto& n : out.w.nodes) {
        n.settings.quota_overshoot = overshoot;
        n.settings.quota_slack = slack;
        n.settings.quota_window = window;
        n.settings.heartbeat_period = 250ms;
    }
    link_all(out.w);
    deliver_all_messages(out.w);
    for (std::size_t i = 0; i < nodes; ++i)
        give(out.w, i, core::config_published{configuration()});
    deliver_all_messages(out.w);
    return out;
}

void ask(shop& s, std::size_t node, int units)
{
    core::request_arrived e;
    e.id = "r" + std::to_string(s.asked++);
    e.key_digest = "key";
    e.route = "chat";
    e.prompt_tokens = units;
    give(s.w, node, e);
    bool const in = s.w.nodes[node].requests.contains(e.id);
    s.refused += in ? 0 : 1;
    if (!in)
        return;
    give(s.w, node, core::caller_gone{e.id});
    s.spent.push_back({s.w.now, static_cast<double>(units)});
    while (s.spent.front().at + window < s.w.now)
        s.spent.pop_front();
    double sum = 0;
    for (auto const& it : s.spent)
        sum += it.units;
    s.most = std::max(s.most, sum);
}

// `demand` in units a second; node 0 gets `first_part` of it.
void run(shop& s, std::chrono::milliseconds time, double demand,
         double first_part, bool linked)
{
    constexpr auto step = 10ms;
    constexpr int units = 200;
    double due = 0;
    std::uniform_real_distribution<> part(0, 1);
    for (auto t = 0ms; t < time; t += step) {
        due += demand * std::chrono::duration<double>(step).count();
        for (; due >= units; due -= units) {
            auto const other = 1 + s.random() % (nodes - 1);
            ask(s, part(s.random) < first_part ? 0 : other, units);
        }
        s.w.now += step;
        for (std::size_t i = 0; i < nodes; ++i)
            give(s.w, i, core::tick{});
        if (linked)
            deliver_all_messages(s.w);
        else
            s.w.messages.clear();
    }
}

constexpr double allowed = (8 * rate + rate) * (1 + overshoot) + slack;

} // namespace

TEST_CASE("an organisation that floods gets no more than its quota")
{
    auto s = open_shop();
    run(s, 10s, rate / 2, 0.2, true);
    run(s, 20s, 8 * rate, 0.2, true);
    CHECK(s.most <= allowed);
    CHECK(s.most >= 8 * rate);
}

TEST_CASE("nodes that are cut off spend no more than their even parts")
{
    auto s = open_shop();
    run(s, 5s, rate / 2, 0.2, true);
    run(s, 20s, 8 * rate, 0.2, false);
    CHECK(s.most <= allowed);
}

TEST_CASE("an organisation within its quota is not refused at a busy node")
{
    auto s = open_shop();
    run(s, 5s, 0.1 * rate, 0.2, true);
    s.asked = 0;
    s.refused = 0;
    run(s, 20s, 0.8 * rate, 0.7, true);
    CHECK(s.refused * 100 <= s.asked);
}

TEST_CASE("an organisation that sends steadily at its rate is not refused")
{
    auto s = open_shop();
    run(s, 5s, 0.1 * rate, 0.2, true);
    s.asked = 0;
    s.refused = 0;
    run(s, 30s, rate, 0.2, true);
    CHECK(s.refused * 20 <= s.asked); // shares lag behind demand a little
    CHECK(s.most <= allowed);
}
