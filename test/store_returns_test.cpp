// Nodes as separate processes on a store that comes back from an older copy.
#include "platform/store.hpp"
#include "platform/wire.hpp"
#include "support/fleet.hpp"
#include "support/platform_nodes.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;
namespace wire = platform::wire;

namespace {

constexpr auto config_limit = 2s;
constexpr auto drain_limit = 2s;
constexpr auto usage_window = 1s;
constexpr auto slack = 500ms; // of a busy machine

void publish(platform_fake& fake, int version, std::string const& prefix,
             std::string const& service = "app")
{
    std::string text = configuration;
    text.replace(text.find("\"version\":1"), 11,
                 "\"version\":" + std::to_string(version));
    text.replace(text.find("/p/"), 3, prefix);
    text.replace(text.find("\"service\":\"app\""), 15,
                 "\"service\":\"" + service + "\"");
    fake.put(wire::operator_topic, wire::configuration_key, text);
}

int status_of(platform_node const& n, std::string const& path)
{
    static int number = 0;
    return run_call(request(n, path, "id-" + std::to_string(++number))).status;
}

// The runner that ran a request of this node.
std::string runner_of(platform_fake& fake, platform_node const& n)
{
    return status_of(n, "/p/x") == 200 ? fake.last_runner() : std::string{};
}

void stop_and_start(platform_node& n)
{
    n.run->signal(SIGTERM);
    n.run->wait(9s);
    start(n);
    eventually(10s, [&] { return is_ready(n); });
}

std::size_t count_reported_windows(platform_fake& fake)
{
    std::set<std::int64_t> windows;
    for (auto const& it : fake.api_calls())
        if (it.path == wire::usage)
            windows.insert(nlohmann::json::parse(it.body)
                               .at("window_id")
                               .get<std::int64_t>());
    return windows.size();
}

// Whether tokens never fall, and each window is reported with the same counts.
void check_reports(platform_fake& fake)
{
    std::uint64_t highest = 0;
    std::map<std::int64_t, nlohmann::json> counts;
    for (auto const& it : fake.api_calls()) {
        if (it.path != wire::usage)
            continue;
        auto const token = std::stoull(it.fencing);
        CHECK(token >= highest);
        highest = std::max<std::uint64_t>(highest, token);
        auto const report = nlohmann::json::parse(it.body);
        auto const [known, is_new] =
            counts.emplace(report.at("window_id"), report.at("counts"));
        CHECK(known->second == report.at("counts"));
    }
    CHECK(counts.size() > 3);
}

// A rewriting of what the copy lacks: at once or later, all or the newest.
store_drill any_drill(std::mt19937& random)
{
    store_drill out;
    out.copy_age = std::chrono::milliseconds(1'000 + random() % 9'000);
    out.away = std::chrono::milliseconds(random() % 2'500);
    out.rewritten_after =
        std::chrono::milliseconds(random() % 2 == 0 ? 0 : random() % 2'500);
    out.only_newest = random() % 2 == 0;
    return out;
}

} // namespace

// review/11
TEST_CASE("tokens rise and windows are reported once across a return of the "
          "store and planned restarts")
{
    small_platform p;
    std::atomic<bool> ends{false};
    std::thread callers([&] {
        while (!ends) {
            for (auto const& n : p.nodes)
                status_of(n, "/p/x");
            std::this_thread::sleep_for(20ms);
        }
    });
    std::this_thread::sleep_for(5s);
    p.nodes[0].run->signal(SIGTERM);
    std::this_thread::sleep_for(1s);
    p.fake.begin({2'500ms, 500ms, 0ms, true});
    for (auto& n : p.nodes) {
        n.run->wait(&n == &p.nodes[0] ? 9s : 0s);
        stop_and_start(n);
        std::this_thread::sleep_for(1s);
    }
    std::this_thread::sleep_for(8s);
    ends = true;
    callers.join();
    check_reports(p.fake);
}

// review/14
TEST_CASE("versions of the configuration that follow a return of the store are "
          "in force in time, older ones never")
{
    small_platform p;
    for (int version = 2; version < 10; ++version) {
        publish(p.fake, version, version < 9 ? "/old/" : "/q/");
        std::this_thread::sleep_for(100ms);
    }
    std::this_thread::sleep_for(1s);
    bool const late = GENERATE(false, true);
    bool const only_newest = GENERATE(true, false);
    CAPTURE(late, only_newest);
    p.fake.begin({2'000ms, 300ms, late ? 2'500ms : 0ms, only_newest});
    auto const until = std::chrono::steady_clock::now() + 4s;
    while (std::chrono::steady_clock::now() < until) {
        for (auto const& n : p.nodes) {
            CHECK(status_of(n, "/q/x") == 200);
            CHECK(status_of(n, "/old/x") == 404);
        }
        std::this_thread::sleep_for(50ms);
    }
    publish(p.fake, 20, "/r/");
    std::this_thread::sleep_for(config_limit + slack);
    for (auto const& n : p.nodes) {
        CHECK(status_of(n, "/r/x") == 200);
        CHECK(status_of(n, "/q/x") == 404);
        CHECK(gauge_of(n, "papayahook_store_era") == 2);
    }
}

// The topic is longer than a reader's cursor before the reader asks again.
TEST_CASE(
    "a version below the cursor of a reader is in force when the topic has "
    "grown past it")
{
    small_platform p;
    publish(p.fake, 2, "/old/");
    std::this_thread::sleep_for(1s);
    for (int version = 3; version < 6; ++version)
        publish(p.fake, version, "/old/");
    std::this_thread::sleep_for(500ms);
    p.fake.begin({1'000ms, 0ms, 0ms, true});
    eventually(1s, [&] { return !p.fake.is_away(); });
    publish(p.fake, 6, "/q/");
    for (int n = 0; n < 10; ++n)
        p.fake.put(wire::operator_topic, "other", "{}");
    std::this_thread::sleep_for(config_limit + slack);
    for (auto const& n : p.nodes)
        CHECK(status_of(n, "/q/x") == 200);
}

// review/13
TEST_CASE("a runner that drains after a return of the store gets no requests")
{
    small_platform p;
    p.fake.add_runner({"i-2", "app"});
    for (int n = 0; n < 8; ++n) {
        p.fake.beat("i-1");
        p.fake.beat("i-2");
        std::this_thread::sleep_for(200ms);
    }
    p.fake.begin({1'000ms, 500ms, 0ms, true});
    std::this_thread::sleep_for(1'500ms);
    p.fake.beat("i-1", true);
    std::this_thread::sleep_for(drain_limit + slack);
    for (auto const& n : p.nodes)
        for (int left = 20; left > 0; --left)
            CHECK(runner_of(p.fake, n) == "i-2");
}

TEST_CASE("a runner that drained before a return of the store gets no requests "
          "while that is not written again")
{
    small_platform p;
    p.fake.add_runner({"i-2", "app"});
    std::this_thread::sleep_for(1'500ms);
    p.fake.beat("i-1", true);
    std::this_thread::sleep_for(drain_limit);
    p.fake.begin({3'000ms, 300ms, 2'500ms, true});
    auto const until = std::chrono::steady_clock::now() + 5s;
    bool const restarts = GENERATE(false, true);
    CAPTURE(restarts);
    std::this_thread::sleep_for(500ms);
    if (restarts)
        stop_and_start(p.nodes[0]);
    while (std::chrono::steady_clock::now() < until)
        for (auto const& n : p.nodes) {
            CHECK(runner_of(p.fake, n) == "i-2");
            std::this_thread::sleep_for(20ms);
        }
}

// review/12
TEST_CASE("the only version that is left is served when all nodes are killed "
          "beside a return of the store")
{
    small_platform p;
    p.fake.add_runner({"i-2", "app", "v2"});
    p.fake.put(wire::operator_topic, std::string(wire::move_order_key) + "app",
               R"({"service":"app","target":"v2","duration_s":8})");
    std::atomic<bool> ends{false};
    std::thread callers([&] {
        while (!ends) {
            for (auto const& n : p.nodes)
                status_of(n, "/p/x");
            std::this_thread::sleep_for(10ms);
        }
    });
    auto const state = [&] {
        return p.fake.newest(wire::status_topic,
                             std::string(wire::move_order_key) + "app");
    };
    bool const completed = eventually(
        10s, [&] { return state().find("completed") != std::string::npos; });
    CHECK(completed);
    p.fake.put(wire::endpoint_topic, "i-1", "");
    for (auto& n : p.nodes)
        n.run->signal(SIGKILL);
    p.fake.begin({3'000ms, 500ms, 0ms, true});
    for (auto& n : p.nodes)
        n.run->wait(5s);
    ends = true;
    callers.join();
    std::this_thread::sleep_for(600ms);
    for (auto& n : p.nodes)
        start(n);
    for (auto const& n : p.nodes) {
        CHECK(eventually(10s, [&] { return is_ready(n); }));
        CHECK(eventually(10s, [&] { return status_of(n, "/p/x") == 200; }));
    }
    std::this_thread::sleep_for(6s);
    for (auto const& n : p.nodes)
        CHECK(status_of(n, "/p/x") == 200);
    CHECK(eventually(
        10s, [&] { return state().find("completed") != std::string::npos; }));
}

// A store without the header, and one whose header is no number, are read as
// stores that never come back from a copy.
TEST_CASE("an era is a number above zero")
{
    std::string wrong;
    auto const era_of = [&](char const* text) {
        wrong.clear();
        return platform::decode_era({{"store-era", text}}, wrong);
    };
    CHECK(platform::decode_era({}, wrong) == 0);
    CHECK(wrong.empty());
    CHECK(era_of("1") == 1);
    CHECK(era_of("4097") == 4097);
    for (auto const* const odd :
         {"", "0", "-1", "1.5", "1 2", "x", "99999999999999999999999"}) {
        CHECK(era_of(odd) == 0);
        CHECK_FALSE(wrong.empty());
    }
}

// Requests do not notice returns of the store, one after the other, beside
// planned restarts, configurations and runners that write.
TEST_CASE("requests are served across returns of the store")
{
    auto const seed = GENERATE(range(1u, 4u));
    CAPTURE(seed);
    std::mt19937 random(seed);
    small_platform p;
    std::atomic<bool> ends{false};
    std::atomic<int> bad{0};
    std::vector<std::thread> callers;
    for (auto const& n : p.nodes)
        callers.emplace_back([&] {
            while (!ends) {
                bad += status_of(n, "/s/x") == 200 ? 0 : 1;
                std::this_thread::sleep_for(20ms);
            }
        });
    int version = 1;
    for (int round = 0; round < 4; ++round) {
        for (int n = static_cast<int>(random() % 4); n > 0; --n)
            publish(p.fake, ++version, "/p/");
        p.fake.beat("i-1");
        std::this_thread::sleep_for(
            std::chrono::milliseconds(random() % 1'500));
        p.fake.begin(any_drill(random));
        if (random() % 2 == 0) {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(random() % 900));
            p.fake.begin(any_drill(random));
        }
    }
    CHECK(eventually(10s, [&] { return !p.fake.is_away(); }));
    std::this_thread::sleep_for(3s);
    publish(p.fake, ++version, "/last/");
    std::this_thread::sleep_for(config_limit + slack);
    // A return within a window costs the rest of it.
    eventually(usage_window + slack,
               [&] { return count_reported_windows(p.fake) > 3; });
    ends = true;
    for (auto& it : callers)
        it.join();
    CHECK(bad == 0);
    for (auto const& n : p.nodes)
        CHECK(status_of(n, "/last/x") == 200);
    check_reports(p.fake);
}
