// Quotas: all nodes together stay within the limit, however little they know of
// one another, and no node refuses requests that are well within it.
#include "support/choices.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr double rate = 10'000; // units per second
constexpr double slack = 4'000;
constexpr double overshoot = 0.1;
constexpr auto window = 8s;
constexpr std::size_t nodes = 7;

struct admitted
{
    core::time_point at;
    double units = 0;
};

struct quota_world
{
    world w = make_world(nodes);
    std::mt19937 random{20261204};
    std::deque<admitted> spent;
    double peak = 0; // units in any window
    int sent = 0;
    int refused = 0;
};

quota_world make_quota_world()
{
    quota_world out;
    for (auto& n : out.w.nodes) {
        n.settings.quota_overshoot = overshoot;
        n.settings.quota_slack = slack;
        n.settings.quota_window = window;
        n.settings.heartbeat_period = 250ms;
    }
    link_all(out.w);
    deliver_all_messages(out.w);
    for (std::size_t i = 0; i < nodes; ++i)
        give(out.w, i, core::config_published{token_quota(rate)});
    deliver_all_messages(out.w);
    return out;
}

void send_request(quota_world& s, std::size_t node, int units)
{
    core::request_arrived e;
    e.id = "r" + std::to_string(s.sent++);
    e.key_digest = "key";
    e.route = "chat";
    e.prompt_tokens = units;
    give(s.w, node, e);
    bool const is_admitted = s.w.nodes[node].requests.contains(e.id);
    s.refused += is_admitted ? 0 : 1;
    if (!is_admitted)
        return;
    give(s.w, node, core::caller_gone{e.id});
    s.spent.push_back({s.w.now, static_cast<double>(units)});
    while (s.spent.front().at + window < s.w.now)
        s.spent.pop_front();
    double sum = 0;
    for (auto const& it : s.spent)
        sum += it.units;
    s.peak = std::max(s.peak, sum);
}

// `demand` is in units per second; node 0 gets the fraction `first_fraction` of
// it.
void run(quota_world& s, std::chrono::milliseconds time, double demand,
         double first_fraction, bool linked)
{
    constexpr auto step = 10ms;
    constexpr int units = 200;
    double due = 0;
    std::uniform_real_distribution<> fraction(0, 1);
    for (auto t = 0ms; t < time; t += step) {
        due += demand * std::chrono::duration<double>(step).count();
        for (; due >= units; due -= units) {
            auto const other = 1 + s.random() % (nodes - 1);
            send_request(s, fraction(s.random) < first_fraction ? 0 : other,
                         units);
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

TEST_CASE("an organisation that exceeds its quota gets no more than the quota")
{
    auto s = make_quota_world();
    run(s, 10s, rate / 2, 0.2, true);
    run(s, 20s, 8 * rate, 0.2, true);
    CHECK(s.peak <= allowed);
    CHECK(s.peak >= 8 * rate);
}

TEST_CASE("nodes that are cut off spend at most an even share each")
{
    auto s = make_quota_world();
    run(s, 5s, rate / 2, 0.2, true);
    run(s, 20s, 8 * rate, 0.2, false);
    CHECK(s.peak <= allowed);
}

TEST_CASE("an organisation within its quota is not refused at a busy node")
{
    auto s = make_quota_world();
    run(s, 5s, 0.1 * rate, 0.2, true);
    s.sent = 0;
    s.refused = 0;
    run(s, 20s, 0.8 * rate, 0.7, true);
    CHECK(s.refused * 100 <= s.sent);
}

TEST_CASE("an organisation that sends steadily at its rate is not refused")
{
    auto s = make_quota_world();
    run(s, 5s, 0.1 * rate, 0.2, true);
    s.sent = 0;
    s.refused = 0;
    run(s, 30s, rate, 0.2, true);
    CHECK(s.refused * 20 <= s.sent); // shares lag slightly behind demand
    CHECK(s.peak <= allowed);
}
