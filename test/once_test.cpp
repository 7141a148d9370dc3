// Requests that are not repeatable run at most once, and a request that is
// reported as "not run" has not run.
#include "support/choices.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr int key_count = 3;

void step(world& w, choice const& c)
{
    auto const which = static_cast<std::size_t>(c.which);
    auto const node = which % w.nodes.size();
    switch (c.what % 16) {
    case 0:
    case 1:
    case 2:
        ask_order(w, node, "k" + std::to_string(c.which / 7 % key_count));
        break;
    case 3:
    case 4:
        take_append(w, which, true);
        break;
    case 5:
        take_append(w, which, false);
        break;
    case 6:
        fail_append(w, which);
        break;
    case 7:
        take_late_append(w, which);
        break;
    case 8:
    case 9:
        read_log(w, node);
        break;
    case 10:
        run_dispatch(w, which, true, which % 3 == 0);
        break;
    case 11:
        run_dispatch(w, which, false, which % 3 == 0);
        break;
    case 12:
        refuse_connection(w, which);
        break;
    case 13:
        deliver_late_event(w, which);
        break;
    case 14:
        pass_time(w, std::chrono::milliseconds(c.which * 3));
        break;
    default:
        if (which % 3 == 0)
            restart(w, node);
        else
            give(w, node, core::log_reachable{which % 2 == 0});
    }
}

world play(std::vector<choice> const& choices)
{
    auto w = make_world(3);
    for (auto const& it : choices)
        step(w, it);
    settle(w);
    return w;
}

void check_invariants(world const& w)
{
    for (auto const& [key, n] : w.runs_by_key)
        RC_ASSERT(n <= 1);
    for (auto const& [id, end] : w.ends) {
        bool const said_not_run =
            !end.whole && end.outcome == core::outcome::not_run;
        if (said_not_run)
            RC_ASSERT(w.runs_by_request.count(id) == 0u);
        if (end.whole)
            RC_ASSERT(end.body == end.key + " run 1");
        RC_ASSERT(w.end_count.at(id) == 1);
    }
}

} // namespace

TEST_CASE(
    "orders run at most once and 'not run' is true in any order of events")
{
    REQUIRE(rc::check("once", [](std::vector<choice> const& choices) {
        check_invariants(play(choices));
    }));
}

TEST_CASE("every order on a running node ends")
{
    REQUIRE(rc::check("ends", [](std::vector<choice> const& choices) {
        auto const w = play(choices);
        for (auto const& node : w.nodes)
            for (auto const& [id, r] : node.requests)
                RC_ASSERT(r.phase == core::request_phase::done);
    }));
}

TEST_CASE("the same key sent through two nodes at once runs one order")
{
    auto w = make_world(2);
    auto const a = ask_order(w, 0, "k");
    auto const b = ask_order(w, 1, "k");
    settle(w);
    CHECK(w.runs_by_key["k"] == 1);
    CHECK(w.ends[a].body == "k run 1");
    CHECK(w.ends[b].body == "k run 1");
}

TEST_CASE(
    "the same key with another body is refused 'not run' and does not run")
{
    auto w = make_world(2);
    ask_order(w, 0, "k", "one");
    settle(w);
    auto const b = ask_order(w, 1, "k", "two");
    settle(w);
    CHECK_FALSE(w.ends[b].whole);
    CHECK(w.ends[b].outcome == core::outcome::not_run);
    CHECK(w.runs_by_request.count(b) == 0);
}

TEST_CASE("with the log down an order is refused 'not run'")
{
    auto w = make_world(1);
    give(w, 0, core::log_reachable{false});
    auto const a = ask_order(w, 0, "k");
    CHECK(w.ends[a].outcome == core::outcome::not_run);
    settle(w);
    CHECK(w.runs_by_key.count("k") == 0);
}

TEST_CASE("a claim whose caller was told 'not run' is released")
{
    auto w = make_world(2);
    auto const a = ask_order(w, 0, "k");
    take_late_append(w, 1); // in doubt, not in the log yet
    pass_time(w, 6s);       // past the order's deadline
    CHECK(w.ends[a].outcome == core::outcome::not_run);
    settle(w); // the late append is written now
    CHECK(w.runs_by_key.count("k") == 0);
    auto const b = ask_order(w, 1, "k");
    settle(w);
    CHECK(w.ends[b].whole);
    CHECK(w.runs_by_key["k"] == 1);
}

TEST_CASE("a holder's restart leaves the outcome unknown and causes no rerun")
{
    auto w = make_world(2);
    ask_order(w, 0, "k");
    take_append(w, 0, true);
    read_log(w, 0);
    REQUIRE(w.dispatches.size() == 1);
    restart(w, 0);
    auto const b = ask_order(w, 1, "k");
    settle(w);
    CHECK(w.ends[b].outcome == core::outcome::outcome_unknown);
    CHECK(w.runs_by_key["k"] == 1);
}

TEST_CASE("a key whose time is before the oldest known claim is refused")
{
    auto w = make_world(1);
    w.now = core::time_point(std::chrono::hours(24 * 365 * 55));
    pass_time(w, 1ms);
    // A UUID of version 7 whose time is 1 s after the epoch.
    auto const a = ask_order(w, 0, "00000000-03e8-7000-8000-000000000000");
    CHECK_FALSE(w.ends[a].whole);
    CHECK(w.ends[a].outcome == core::outcome::outcome_unknown);
}

TEST_CASE("a request without a key is not resent if a byte may have been sent")
{
    auto w = make_world(1);
    auto const a = ask_order(w, 0, "");
    REQUIRE(w.dispatches.size() == 1);
    run_dispatch(w, 0, false, false);
    CHECK(w.ends[a].outcome == core::outcome::outcome_unknown);
    CHECK(w.dispatches.empty());
    auto const b = ask_order(w, 0, "");
    refuse_connection(w, 0); // no byte was sent: another desk may run it
    pass_time(w, 10ms);
    REQUIRE(w.dispatches.size() == 1);
    run_dispatch(w, 0, true, false);
    CHECK(w.ends[b].whole);
}

TEST_CASE("claims that wait for an append are batched in the next one")
{
    auto w = make_world(1);
    for (int i = 0; i < 100; ++i)
        ask_order(w, 0, "k" + std::to_string(i));
    REQUIRE(w.appends.size() == 1);
    take_append(w, 0, true);
    pass_time(w, 10ms);
    REQUIRE(w.appends.size() == 1);
    CHECK(w.appends[0].what.records.size() == 99);
}

TEST_CASE("all nodes together stay within the append rate of the log")
{
    constexpr std::size_t nodes = 6;
    auto w = make_world(nodes);
    link_all(w);
    deliver_all_messages(w);
    int appends = 0;
    constexpr int orders = 1'000; // within one second, one per millisecond
    for (int i = 0; i < orders; ++i) {
        ask_order(w, static_cast<std::size_t>(i) % nodes, std::to_string(i));
        pass_time(w, 1ms);
        while (!w.appends.empty()) {
            take_append(w, 0, true);
            appends++;
        }
        read_log(w, static_cast<std::size_t>(i) % nodes);
        while (!w.dispatches.empty())
            run_dispatch(w, 0, true, false);
    }
    auto const budget = w.nodes[0].settings.append_budget;
    CHECK(appends <= budget + static_cast<int>(nodes));
}
