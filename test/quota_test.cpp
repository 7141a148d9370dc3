// Quotas: all nodes together stay within the limit, however little they know of
// one another, and no node refuses requests that are well within it.
#include "support/choices.hpp"
#include "support/fabric.hpp"

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

namespace {

// Organisations whose callers stay at a few nodes each and send clumps of
// requests of very different sizes.
struct caller_organisation
{
    std::string name;
    double rate = 0;                  // units per second
    double load = 0;                  // fraction of `rate` that it sends
    std::vector<std::size_t> callers; // nodes
    std::deque<admitted> spent;
    double in_window = 0;
    double peak = 0; // of in_window, since `measured_from`
    int sent = 0;
    int refused = 0;
};

constexpr auto fleet_overshoot = 0.1;
constexpr auto fleet_slack = 110'000.0;
constexpr int clump = 3;

struct quota_fleet
{
    fabric f;
    std::mt19937 random{20261206};
    std::vector<caller_organisation> organisations;
    core::time_point measured_from{};
    int next_id = 0;
    core::offset applied = 0;
};

double allowed_units(double units_per_second)
{
    double const seconds = std::chrono::duration<double>(window).count();
    return (seconds + 1) * units_per_second * (1 + fleet_overshoot) +
           fleet_slack;
}

core::config_snapshot config_of(quota_fleet& s)
{
    auto out = token_quota(0);
    out.applied = 100 + ++s.applied;
    out.organisations.clear();
    for (auto const& it : s.organisations) {
        core::organisation org;
        org.name = it.name;
        org.key_digests = {it.name};
        org.max_in_flight = 1'000'000;
        org.quota_rate = it.rate;
        org.quota_burst = it.rate;
        org.counts_tokens = true;
        out.organisations.push_back({org, out.applied});
    }
    return out;
}

void configure_all(quota_fleet& s)
{
    auto const config = config_of(s);
    for (std::size_t i = 0; i < s.f.nodes.size(); ++i)
        give(s.f, i, core::config_published{config});
}

void set_quota_settings(core::node_settings& s)
{
    s.quota_overshoot = fleet_overshoot;
    s.quota_slack = fleet_slack;
    s.quota_window = window;
}

quota_fleet make_quota_fleet(std::size_t node_count)
{
    constexpr std::size_t callers_per_organisation = 12;
    quota_fleet out{make_fabric(node_count, 3)};
    for (auto& it : out.f.nodes)
        set_quota_settings(it.settings);
    for (auto const& [units_per_second, load] : {std::pair{29'000.0, 0.55},
                                                 {60'000.0, 0.7},
                                                 {120'000.0, 0.85},
                                                 {290'000.0, 0.95},
                                                 {290'000.0, 0.6}}) {
        caller_organisation org;
        org.name = "org" + std::to_string(out.organisations.size());
        org.rate = units_per_second;
        org.load = load;
        for (std::size_t i = 0; i < callers_per_organisation; ++i)
            org.callers.push_back(out.random() % node_count);
        out.organisations.push_back(org);
    }
    configure_all(out);
    return out;
}

int random_units(std::mt19937& random)
{
    std::lognormal_distribution<> tokens(8.66, 0.85); // mean about 8,000
    return std::clamp(static_cast<int>(tokens(random)), 200, 40'000);
}

void send_request(quota_fleet& s, caller_organisation& org, std::size_t node)
{
    core::request_arrived e;
    e.id = "r" + std::to_string(s.next_id++);
    e.key_digest = org.name;
    e.route = "chat";
    e.prompt_tokens = random_units(s.random);
    give(s.f, node, e);
    bool const is_admitted = s.f.nodes[node].requests.contains(e.id);
    org.sent++;
    org.refused += is_admitted ? 0 : 1;
    if (!is_admitted)
        return;
    give(s.f, node, core::caller_gone{e.id});
    org.spent.push_back({s.f.now, static_cast<double>(e.prompt_tokens)});
    org.in_window += e.prompt_tokens;
    while (org.spent.front().at + window <= s.f.now) {
        org.in_window -= org.spent.front().units;
        org.spent.pop_front();
    }
    if (s.f.now >= s.measured_from)
        org.peak = std::max(org.peak, org.in_window);
}

// `factor` times the usual rate. Above it, the requests reach all nodes.
void run(quota_fleet& s, std::chrono::milliseconds time, double factor)
{
    constexpr auto step = 50ms;
    constexpr double mean_units = 8'000;
    for (auto t = 0ms; t < time; t += step) {
        for (auto& org : s.organisations) {
            double const mean = factor * org.load * org.rate *
                                std::chrono::duration<double>(step).count() /
                                mean_units / clump;
            auto const n = std::poisson_distribution<>(mean)(s.random);
            for (int i = 0; i < n; ++i) {
                auto const any = s.random();
                // A few callers send most of an organisation's requests.
                auto const node =
                    factor > 1 ? any % s.f.nodes.size()
                               : org.callers[std::min(any % 12, any / 12 % 12)];
                for (int k = 0; k < clump && s.f.running[node]; ++k)
                    send_request(s, org, node);
            }
        }
        support::run(s.f, step);
        for (auto& it : s.f.others)
            it.clear();
    }
}

void start_counting(quota_fleet& s)
{
    s.measured_from = s.f.now;
    for (auto& it : s.organisations)
        it.sent = it.refused = 0;
}

// Adds nodes that the others learn of together with the first of them.
void add_nodes(quota_fleet& s, std::size_t n)
{
    auto& f = s.f;
    for (std::size_t i = 0; i < n; ++i) {
        auto settings = f.nodes[i].settings;
        settings.name = "n" + std::to_string(f.nodes.size());
        settings.peer_address = settings.name;
        f.nodes.emplace_back().settings = settings;
        f.running.push_back(true);
    }
    f.follows.resize(f.nodes.size());
    f.others.resize(f.nodes.size());
    core::nodes_listed all;
    for (auto const& it : f.nodes) {
        core::member_news node;
        node.node = it.settings.name;
        node.zone = it.settings.zone;
        node.peer_address = it.settings.peer_address;
        node.capacity = it.settings.capacity;
        all.nodes.push_back(node);
    }
    for (std::size_t i = 0; i < f.nodes.size(); ++i)
        give(f, i, all);
    configure_all(s);
}

void check_peaks(quota_fleet const& s)
{
    for (auto const& it : s.organisations) {
        CAPTURE(it.name, it.sent, it.refused);
        CHECK(it.peak <= allowed_units(it.rate));
    }
}

} // namespace

TEST_CASE("organisations within their quotas are not refused at many nodes",
          "[!mayfail]")
{
    auto const node_count = GENERATE(62U, 91U, 295U);
    auto s = make_quota_fleet(node_count);
    run(s, 15s, 1);
    start_counting(s);
    run(s, 40s, 1);
    for (auto const& it : s.organisations) {
        CAPTURE(node_count, it.name, it.sent, it.refused);
        CHECK(it.refused * 50 < it.sent);
    }
    check_peaks(s);
}

TEST_CASE("a flood at all nodes at once stays within the quota")
{
    auto const node_count = GENERATE(62U, 91U, 295U);
    auto s = make_quota_fleet(node_count);
    run(s, 15s, 1);
    run(s, 12s, 7.5);
    check_peaks(s);
    SECTION("a limit is lowered")
    {
        for (auto& it : s.organisations) {
            it.rate /= 2;
            it.load *= 2; // the flood goes on
            it.peak = 0;
        }
        configure_all(s);
        s.measured_from = s.f.now + window;
        run(s, 12s, 7.5);
        check_peaks(s);
    }
    SECTION("a tenth of the nodes are cut off")
    {
        for (std::size_t i = 0; i < node_count; i += 10)
            s.f.cut.insert(i);
        run(s, 12s, 7.5);
        s.f.cut.clear();
        run(s, 6s, 7.5);
        check_peaks(s);
    }
    SECTION("all nodes are restarted at once")
    {
        for (std::size_t i = 0; i < node_count; ++i)
            kill(s.f, i);
        s.f.messages.clear();
        run(s, 500ms, 7.5); // until the processes are up again
        for (std::size_t i = 0; i < node_count; ++i)
            restart(s.f, i);
        run(s, 300ms, 7.5); // until they have read the configuration
        configure_all(s);
        run(s, 12s, 7.5);
        check_peaks(s);
    }
    SECTION("nodes are added")
    {
        add_nodes(s, node_count / 5);
        run(s, 12s, 7.5);
        check_peaks(s);
    }
}

TEST_CASE("organisations within their quotas are served soon after all nodes "
          "were restarted",
          "[!mayfail]")
{
    constexpr std::size_t node_count = 62;
    auto s = make_quota_fleet(node_count);
    run(s, 15s, 1);
    for (std::size_t i = 0; i < node_count; ++i)
        kill(s.f, i);
    s.f.messages.clear();
    run(s, 1'600ms, 1);
    for (std::size_t i = 0; i < node_count; ++i)
        restart(s.f, i);
    run(s, 500ms, 1); // until they have read the configuration
    configure_all(s);
    auto const refused = [&](std::chrono::milliseconds time) {
        start_counting(s);
        run(s, time, 1);
        double sent = 0;
        double n = 0;
        for (auto const& it : s.organisations) {
            sent += it.sent;
            n += it.refused;
        }
        check_peaks(s);
        return n / sent;
    };
    auto const first = refused(1'500ms); // 2 s after the start
    auto const then = refused(4s);
    CAPTURE(first, then);
    CHECK(first < 0.25);
    CHECK(then < 0.05);
}
