// The whole path in separate processes, and its failures.
#include "support/client.hpp"
#include "support/fleet.hpp"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr auto config_limit = 8s;  // target: in force everywhere
constexpr auto leaving_limit = 3s; // target: last dispatch after a sign

call_plan chat(fleet& f, std::size_t node, int tokens)
{
    return completion(f.node(node % f.nodes.size()).caller, test_key, "chat",
                      "hello there", tokens, true);
}

call_plan tap(fleet& f, std::size_t node, std::string const& name)
{
    return order(f.node(node).caller, test_key, "orders", name, "key-" + name);
}

std::vector<call_plan> chats(fleet& f, int n, int per_second, int tokens)
{
    std::vector<call_plan> out;
    for (int i = 0; i < n; ++i) {
        out.push_back(chat(f, static_cast<std::size_t>(i), tokens));
        out.back().start = i * 1000ms / per_second;
    }
    return out;
}

void check_all_whole(std::vector<call_outcome> const& got, int tokens)
{
    for (auto const& it : got)
        CHECK(stream_fault(it, tokens) == "");
}

nlohmann::json state(fleet& f, std::size_t node)
{
    return nlohmann::json::parse(get(f.node(node).admin, "/state"));
}

std::string version_at(fleet& f, std::size_t node, std::string const& route)
{
    return state(f, node).at("config").at("routes").at(route).at("value").at(
        "version");
}

std::uint64_t requests_at(fleet const& f, std::string const& endpoint)
{
    return nlohmann::json::parse(get(f.endpoint(endpoint).address, "/counts"))
        .at("requests");
}

// Sends the node its notice, and takes its machine away after `notice`.
void reclaim(fleet& f, std::size_t node, std::chrono::milliseconds notice)
{
    f.node(node).run->signal(SIGTERM);
    std::this_thread::sleep_for(notice);
    f.node(node).run->signal(SIGKILL);
}

call_outcome rest_at(fleet& f, std::size_t node, std::string const& id,
                     int from)
{
    return fetch_rest(f.node(node).caller, test_key, id, from);
}

// Every stream is whole, the part that its caller got and the rest at `node`.
void check_whole_with_rest(fleet& f, std::size_t node, int tokens,
                           std::vector<call_outcome> const& got)
{
    for (auto const& it : got) {
        if (stream_fault(it, tokens).empty())
            continue;
        auto const held = tokens_in(it);
        auto const rest = rest_at(f, node, it.request_id, held);
        CHECK(stream_fault(rest, tokens, held) == "");
    }
}

std::vector<call_outcome> accept_jobs(fleet& f, std::size_t node, int n,
                                      int tokens)
{
    auto job = chat(f, node, tokens);
    job.headers.emplace_back("Prefer", "respond-async");
    return run_calls(std::vector<call_plan>(static_cast<std::size_t>(n), job));
}

void check_jobs(fleet& f, std::size_t node, int tokens,
                std::vector<call_outcome> const& jobs)
{
    for (auto const& it : jobs) {
        CHECK(it.status == 202);
        auto const got = rest_at(f, node, it.request_id, 0);
        CHECK(stream_fault(got, tokens) == "");
    }
}

// Runs `act` beside the calls, `delay` after they begin.
template <class F>
std::vector<call_outcome> run_beside(std::vector<call_plan> const& plans,
                                     std::chrono::milliseconds delay, F act)
{
    std::thread beside([&] {
        std::this_thread::sleep_for(delay);
        act();
    });
    auto got = run_calls(plans);
    beside.join();
    return got;
}

} // namespace

TEST_CASE("a streamed answer comes whole through a node")
{
    auto f = start_fleet({});
    CHECK(stream_fault(run_call(chat(f, 0, 20)), 20) == "");
    auto whole = chat(f, 1, 5);
    whole.body = R"({"model":"chat","prompt":"a","max_tokens":5})";
    auto const got = run_call(whole);
    auto const text = nlohmann::json::parse(got.body)
                          .at("choices")
                          .at(0)
                          .at("text")
                          .get<std::string>();
    CHECK(text.ends_with(got.request_id + "#4 "));
}

TEST_CASE("an order sent twice through two nodes runs once")
{
    auto f = start_fleet({.nodes = 2, .desks = 3});
    std::vector<call_plan> plans;
    for (int i = 0; i < 100; ++i)
        for (std::size_t node = 0; node < 2; ++node)
            plans.push_back(tap(f, node, "kit-" + std::to_string(i)));
    auto const got = run_calls(plans);
    for (std::size_t i = 0; i < got.size(); i += 2) {
        CHECK(got[i].status == 200);
        CHECK(got[i].body == got[i + 1].body);
        CHECK(times_run(f, "kit-" + std::to_string(i / 2)) == 1);
    }
}

TEST_CASE("a runner that fails is replaced under the request, without a crash")
{
    auto f = start_fleet({.nodes = 2, .runners = 3});
    post(f.endpoint("r1").address, "/fault", R"({"fail_rate": 0.5})");
    check_all_whole(run_calls(chats(f, 100, 100, 6)), 6);
    CHECK(f.node(0).run->runs());
    CHECK(f.node(1).run->runs());
}

TEST_CASE("streams survive a runner that is killed or goes silent")
{
    auto f = start_fleet({.nodes = 2, .runners = 4});
    SECTION("killed")
    {
        auto const got = run_beside(chats(f, 40, 400, 60), 300ms, [&] {
            f.endpoints.at("r1")->signal(SIGKILL);
        });
        check_all_whole(got, 60);
    }
    SECTION("silent in mid-stream")
    {
        post(f.endpoint("r1").address, "/fault", R"({"silent_after": 5})");
        check_all_whole(run_calls(chats(f, 40, 400, 20)), 20);
    }
    SECTION("frozen")
    {
        auto const got = run_beside(chats(f, 40, 400, 60), 200ms, [&] {
            f.endpoints.at("r1")->signal(SIGSTOP);
        });
        check_all_whole(got, 60);
    }
}

TEST_CASE("an order whose answer is lost is unknown, and never run again")
{
    auto f = start_fleet({.nodes = 2});
    post(f.endpoint("d1").address, "/fault", R"({"lose_answers": 1})");
    auto const first = run_call(tap(f, 0, "kit"));
    CHECK(first.status == 502);
    CHECK(first.outcome == "outcome_unknown");
    auto const second = run_call(tap(f, 1, "kit"));
    CHECK(second.status == 409);
    CHECK(second.outcome == "outcome_unknown");
    CHECK(times_run(f, "kit") == 1);
}

// libcurl sends a request again by itself when an idle connection that it
// took up again dies without an answer.
TEST_CASE("an order is not sent again when a used connection dies under it")
{
    auto f = start_fleet({});
    for (int i = 0; i < 5; ++i) {
        auto const name = std::to_string(i);
        CHECK(run_call(tap(f, 0, "warm-" + name)).status == 200);
        post(f.endpoint("d1").address, "/fault", R"({"lose_answers": 1})");
        CHECK(run_call(tap(f, 0, "kit-" + name)).outcome == "outcome_unknown");
        CHECK(times_run(f, "kit-" + name) == 1);
    }
}

TEST_CASE("an order that the desk did not run can be sent again")
{
    auto f = start_fleet({.nodes = 2});
    post(f.endpoint("d1").address, "/fault", R"({"refuse": true})");
    auto const first = run_call(tap(f, 0, "kit"));
    CHECK(first.outcome == "not_run");
    CHECK(times_run(f, "kit") == 0);
    post(f.endpoint("d1").address, "/fault", R"({"refuse": false})");
    REQUIRE(eventually(
        5s, [&] { return run_call(tap(f, 1, "kit")).status == 200; }));
    CHECK(times_run(f, "kit") == 1);
}

TEST_CASE("with the log down orders are refused 'not run' and chats go on")
{
    auto f = start_fleet({.nodes = 2});
    post(f.log, "/fault", R"({"down": true})");
    REQUIRE(eventually(10s, [&] {
        return state(f, 0).at("log_reachable") == false &&
               state(f, 1).at("log_reachable") == false;
    }));
    auto const refused = run_call(tap(f, 0, "kit"));
    CHECK(refused.status == 503);
    CHECK(refused.outcome == "not_run");
    check_all_whole(run_calls(chats(f, 10, 100, 6)), 6);
    post(f.log, "/fault", R"({"down": false})");
    REQUIRE(eventually(
        5s, [&] { return run_call(tap(f, 0, "kit")).status == 200; }));
    CHECK(times_run(f, "kit") == 1);
}

TEST_CASE("lost answers and slowness of the log run no order twice")
{
    auto f = start_fleet({.nodes = 2});
    post(f.log, "/fault", R"({"lose_answers": 3, "slow_ms": 30})");
    std::vector<call_plan> plans;
    for (int i = 0; i < 20; ++i)
        for (std::size_t node = 0; node < 2; ++node)
            plans.push_back(tap(f, node, "kit-" + std::to_string(i)));
    auto const got = run_calls(plans);
    for (auto const& it : got)
        CHECK(it.status == 200);
    for (int i = 0; i < 20; ++i)
        CHECK(times_run(f, "kit-" + std::to_string(i)) == 1);
}

TEST_CASE("orders run once while two versions of the desk stand side by side")
{
    auto f = start_fleet({.nodes = 2, .desks = 2, .new_desks = 2});
    publish_text(f, "[[move]]\nname = \"desk-v2\"\nroute = \"orders\"\n"
                    "to = \"v2\"\ndeadline_in_s = 60\n"
                    "min_samples = 1000\n");
    REQUIRE(eventually(config_limit, [&] {
        return state(f, 0).at("config").contains("moves") &&
               state(f, 1).at("config").contains("moves");
    }));
    std::vector<call_plan> plans;
    for (int i = 0; i < 300; ++i)
        for (std::size_t node = 0; node < 2; ++node) {
            plans.push_back(tap(f, node, "kit-" + std::to_string(i)));
            plans.back().start = i * 10ms;
        }
    auto const got = run_calls(plans);
    for (std::size_t i = 0; i < got.size(); i += 2) {
        CHECK(got[i].status == 200);
        CHECK(got[i].body == got[i + 1].body);
        CHECK(times_run(f, "kit-" + std::to_string(i / 2)) == 1);
    }
    // Both versions had orders.
    CHECK(get(f.endpoint("d1").address, "/counts") != "{}");
    CHECK(get(f.endpoint("e1").address, "/counts") +
              get(f.endpoint("e2").address, "/counts") !=
          "{}{}");
}

TEST_CASE("a node that is killed or frozen with an order in hand")
{
    auto f = start_fleet({.nodes = 2, .work_ms = 1'000});
    auto const first = tap(f, 0, "kit");
    SECTION("killed: the second caller learns that the outcome is unknown")
    {
        run_beside({first}, 300ms, [&] { f.node(0).run->signal(SIGKILL); });
        CHECK(run_call(tap(f, 1, "kit")).outcome == "outcome_unknown");
    }
    SECTION("frozen past the deadline, then woken")
    {
        call_outcome second;
        run_beside({first}, 300ms, [&] {
            f.node(0).run->signal(SIGSTOP);
            second = run_call(tap(f, 1, "kit"));
            f.node(0).run->signal(SIGCONT);
        });
        CHECK(second.outcome == "outcome_unknown");
    }
    CHECK(eventually(3s, [&] { return times_run(f, "kit") == 1; }));
    std::this_thread::sleep_for(1s);
    CHECK(times_run(f, "kit") == 1);
}

TEST_CASE("an accepted configuration is in force at every node in time")
{
    auto f = start_fleet({.nodes = 3, .new_runners = 1});
    publish_text(f, "[[route]]\nname = \"chat\"\npool = \"lm\"\n"
                    "version = \"v2\"\n");
    auto const in_force = [&] {
        for (std::size_t i = 0; i < f.nodes.size(); ++i)
            if (version_at(f, i, "chat") != "v2")
                return false;
        return true;
    };
    CHECK(eventually(config_limit, in_force));
    SECTION("and stays in force while all nodes are replaced one by one")
    {
        for (auto& n : f.nodes) {
            n.run->signal(SIGTERM);
            CHECK(n.run->wait(10s) == 0);
            start_node(f, n);
            REQUIRE(wait_ready(f, 10s));
            CHECK(in_force());
        }
    }
    SECTION("and reaches a node that starts while the log is down")
    {
        f.node(0).run->signal(SIGKILL);
        f.node(0).run->wait(2s);
        post(f.log, "/fault", R"({"down": true})");
        start_node(f, f.node(0));
        REQUIRE(wait_ready(f, config_limit));
        CHECK(in_force());
        CHECK(stream_fault(run_call(chat(f, 0, 5)), 5) == "");
    }
    SECTION("and an old view of the log takes nothing back")
    {
        post(f.log, "/fault", R"({"stale_by": 3})");
        std::this_thread::sleep_for(1s);
        CHECK(in_force());
    }
}

TEST_CASE("a leaving endpoint gets no new work at any node")
{
    auto f = start_fleet({.nodes = 3, .runners = 3});
    run_calls(chats(f, 30, 300, 4));
    post(f.instances, "/set",
         R"({"endpoint": "r1", "incarnation": "", "leaving": true})");
    std::this_thread::sleep_for(leaving_limit);
    // The lagging list says "live" again.
    post(f.instances, "/set",
         R"({"endpoint": "r1", "incarnation": "", "leaving": false})");
    auto const before = requests_at(f, "r1");
    check_all_whole(run_calls(chats(f, 60, 100, 4)), 4);
    CHECK(requests_at(f, "r1") == before);
}

TEST_CASE("a node that stops cuts off nothing, with the log down too")
{
    auto f = start_fleet({.nodes = 2, .runners = 8, .slots = 32});
    std::vector<call_plan> plans(
        200, completion(f.node(0).caller, test_key, "chat", "x", 100, true));
    auto const got = run_beside(plans, 0ms, [&] {
        CHECK(eventually(
            10s, [&] { return state(f, 0)["counts"]["requests"] == 200; }));
        post(f.log, "/fault", R"({"down": true})");
        f.node(0).run->signal(SIGTERM);
        std::this_thread::sleep_for(100ms);
        CHECK(get(f.node(0).admin, "/readyz") == "not ready\n");
    });
    check_all_whole(got, 100);
    CHECK(f.node(0).run->wait(10s) == 0);
}

TEST_CASE("accepted requests survive the reclaim of their entry node")
{
    constexpr int tokens = 500; // 5 s, longer than the notice
    auto f = start_fleet({.nodes = 3, .runners = 4, .slots = 32});
    auto const ended = accept_jobs(f, 0, 2, 3);
    auto const jobs = accept_jobs(f, 0, 10, tokens);
    std::vector<call_plan> const plans(
        20, completion(f.node(0).caller, test_key, "chat", "x", tokens, true));
    SECTION("with two seconds of notice")
    {
        auto const got = run_beside(plans, 500ms, [&] { reclaim(f, 0, 2s); });
        check_whole_with_rest(f, 1, tokens, got);
        check_jobs(f, 2, tokens, jobs);
        check_jobs(f, 2, 3, ended);
    }
    SECTION("with a second notice while the first is being carried out")
    {
        std::thread second;
        auto const got = run_beside(plans, 500ms, [&] {
            second = std::thread([&] {
                std::this_thread::sleep_for(1'020ms);
                reclaim(f, 1, 2s);
            });
            reclaim(f, 0, 2s);
        });
        second.join();
        check_whole_with_rest(f, 2, tokens, got);
        check_jobs(f, 2, tokens, jobs);
        check_jobs(f, 2, 3, ended);
    }
    SECTION("and are found by the node that comes back under its name")
    {
        auto const got = run_beside(plans, 500ms, [&] { reclaim(f, 0, 2s); });
        f.node(0).run->wait(2s);
        start_node(f, f.node(0));
        REQUIRE(wait_ready(f, 10s));
        check_whole_with_rest(f, 0, tokens, got);
        check_jobs(f, 0, tokens, jobs);
    }
}

TEST_CASE("accepted requests survive the reclaim of a whole zone")
{
    constexpr int tokens = 500; // 5 s, longer than the notice
    constexpr auto notice = 2s;
    auto f = start_fleet({.nodes = 6, .runners = 6, .slots = 32});
    auto const jobs = accept_jobs(f, 0, 10, tokens);
    std::vector<call_plan> plans;
    for (std::size_t i = 0; i < 36; ++i)
        plans.push_back(chat(f, i, tokens));
    // n1 and n4 share a zone; a third of the runners goes with it.
    auto const got = run_beside(plans, 500ms, [&] {
        for (auto const* name : {"r1", "r2"})
            post(f.endpoint(name).address, "/fault", R"({"leaving": true})");
        std::thread other([&] { reclaim(f, 3, notice); });
        reclaim(f, 0, notice);
        for (auto const* name : {"r1", "r2"})
            f.endpoints.at(name)->signal(SIGKILL);
        other.join();
    });
    check_whole_with_rest(f, 1, tokens, got);
    check_jobs(f, 2, tokens, jobs);
}

TEST_CASE("a stream given up when its caller left is never shown as whole")
{
    auto f = start_fleet({.nodes = 1});
    auto plan = chat(f, 0, 40);
    plan.cut_after = 900;
    auto const cut = run_call(plan);
    REQUIRE(cut.broken);
    std::this_thread::sleep_for(200ms);
    auto const rest = rest_at(f, 0, cut.request_id, 0);
    CHECK(rest.body.find("[DONE]") == rest.body.npos);
    CHECK(rest.outcome == "outcome_unknown");
}

TEST_CASE("a caller that was cut off re-attaches at any node")
{
    auto f = start_fleet({.nodes = 2});
    auto plan = chat(f, 0, 40);
    plan.headers.emplace_back("X-Keep-Answer", "1");
    plan.cut_after = 900;
    auto const cut = run_call(plan);
    REQUIRE(cut.broken);
    call_plan again;
    again.method = "GET";
    again.address = f.node(1).caller;
    again.path = "/v1/requests/" + cut.request_id + "?from=3";
    again.key = test_key;
    CHECK(stream_fault(run_call(again), 40, 3) == "");
    again.key = "another organisation's key";
    CHECK(run_call(again).status == 404);
}

TEST_CASE("bad input gets a clear error and disturbs nothing")
{
    auto f = start_fleet({.nodes = 1});
    auto bad = chat(f, 0, 5);
    bad.body = "{not json";
    auto const unread = run_call(bad);
    CHECK(unread.status == 400);
    CHECK(unread.outcome == "not_run");
    bad = chat(f, 0, 5);
    bad.key = "wrong";
    CHECK(run_call(bad).status == 401);
    bad = chat(f, 0, 5);
    bad.headers.emplace_back("X-Deadline-Ms", "soon");
    CHECK(run_call(bad).status == 400);
    bad = chat(f, 0, 5);
    bad.body = std::string(5 * 1024 * 1024, ' ');
    auto const large = run_call(bad);
    CHECK((large.broken || large.status >= 400));
    CHECK(stream_fault(run_call(chat(f, 0, 5)), 5) == "");
}

TEST_CASE("settings that are wrong are named by file, line and key")
{
    auto const folder = make_folder("papayahook-settings");
    auto const file = folder + "/bad.toml";
    std::ofstream(file) << "[node]\nname = \"n1\"\nzone = \"a\"\ncolour = 1\n";
    process run({program("papayahookd"), "--config", file}, folder + "/out");
    CHECK(run.wait(5s) == 2);
    std::ifstream in(folder + "/out");
    std::string line;
    std::getline(in, line);
    CHECK(line == file + ":4: node.colour: unknown key");
}

TEST_CASE("a session recorded by a live node replays to the same effects")
{
    auto f = start_fleet({.nodes = 1});
    auto const file = f.folder + "/events";
    std::ofstream(f.node(0).settings_file, std::ios::app)
        << "[logging]\nrecord_events = \"" << file << "\"\n";
    f.node(0).run->signal(SIGTERM);
    REQUIRE(f.node(0).run->wait(10s) == 0);
    start_node(f, f.node(0));
    REQUIRE(wait_ready(f, 10s));
    auto const got = run_call(chat(f, 0, 5));
    CHECK(stream_fault(got, 5) == "");
    f.node(0).run->signal(SIGTERM);
    REQUIRE(f.node(0).run->wait(10s) == 0);
    std::string first;
    std::string second;
    CHECK(ctl(f, {"replay", file}, &first) == 0);
    CHECK(ctl(f, {"replay", file}, &second) == 0);
    CHECK(first == second);
    CHECK(first.find("\"type\":\"finish_answer\"") != first.npos);
    CHECK(first.find(got.request_id + "#4 ") != first.npos);
}
