// Concurrency limits: calls per node, queueing, shares of organisations.
#include "support/choices.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr int slots_of_v1 = 32; // two runners of 16

core::request_arrived request_of(world const& w, int number,
                                 std::string const& organisation,
                                 core::priority_class klass)
{
    core::request_arrived it;
    it.id = "n1." + std::to_string(w.nodes[0].settings.incarnation) + "." +
            std::to_string(number);
    it.key_digest = organisation;
    it.route = "chat";
    it.via_model_path = true;
    it.klass = klass;
    return it;
}

// Organisations "a" and "b" with keys of the same names.
world two_organisations()
{
    auto w = make_world(1);
    for (auto const* name : {"a", "b"}) {
        core::organisation org;
        org.name = name;
        org.key_digests = {name};
        publish(w, org);
    }
    read_log(w, 0);
    return w;
}

void send_requests(world& w, int from, int n, std::string const& organisation,
                   core::priority_class klass = core::priority_class::chat)
{
    for (int i = 0; i < n; ++i)
        give(w, 0, request_of(w, from + i, organisation, klass));
}

core::concurrency_limit& limit(world& w)
{
    return w.nodes[0].limits[{"lm", "v1"}];
}

// Both runners report that all their slots are taken.
void report_full(world& w)
{
    for (auto const* name : {"r1", "r2"})
        give(w, 0, core::endpoint_report{name, "1", false, 16, 0});
}

// Sends the first tokens of all open calls, `delay` after their dispatch.
void first_tokens(world& w, std::chrono::milliseconds delay)
{
    w.now += delay;
    auto const open = std::exchange(w.dispatches, {});
    for (auto const& it : open) {
        give(w, 0, core::answer_head{it.what.call, 200, "text/event-stream"});
        give(w, 0, core::answer_chunk{it.what.call, 0, "t"});
    }
}

void end_all(world& w)
{
    auto const calls = w.nodes[0].calls;
    for (auto const& [call, id] : calls)
        give(w, 0, core::answer_end{call, 1});
}

std::size_t queued(world const& w)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(w.nodes[0].requests, [](auto const& it) {
            return it.second.phase == core::request_phase::queued;
        }));
}

} // namespace

TEST_CASE(
    "the limit falls only if first tokens are late and the runners are full")
{
    auto w = two_organisations();
    send_requests(w, 0, slots_of_v1, "a");
    SECTION("late first tokens, full runners")
    {
        report_full(w);
        first_tokens(w, 600ms);
        pass_time(w, 500ms);
        CHECK(limit(w).limit > 0);
        CHECK(limit(w).limit < slots_of_v1);
    }
    SECTION("late first tokens, free slots: caused by long prompts, not load")
    {
        for (auto const* name : {"r1", "r2"})
            give(w, 0, core::endpoint_report{name, "1", false, 5, 0});
        first_tokens(w, 600ms);
        pass_time(w, 500ms);
        CHECK(limit(w).limit == 0);
    }
    SECTION("first tokens in time, full runners")
    {
        report_full(w);
        first_tokens(w, 100ms);
        pass_time(w, 500ms);
        CHECK(limit(w).limit == 0);
    }
}

TEST_CASE("a limit never falls below half of an even share of the slots")
{
    auto w = two_organisations();
    int number = 0;
    for (int round = 0; round < 60; ++round) {
        send_requests(w, number, slots_of_v1, "a");
        number += slots_of_v1;
        first_tokens(w, 600ms);
        report_full(w);
        pass_time(w, 500ms);
        end_all(w);
    }
    CHECK(limit(w).limit >= slots_of_v1 / 2);
    CHECK(limit(w).limit < slots_of_v1);
    // First tokens are in time again: the limit grows until it is lifted.
    for (int round = 0; round < 60 && limit(w).limit != 0; ++round) {
        send_requests(w, number, slots_of_v1, "a");
        number += slots_of_v1;
        first_tokens(w, 10ms);
        pass_time(w, 500ms);
        first_tokens(w, 10ms); // for calls admitted by a higher limit
        end_all(w);
    }
    CHECK(limit(w).limit == 0);
}

TEST_CASE("requests in a standing queue are refused 'not run', a burst is not")
{
    auto w = two_organisations();
    send_requests(w, 0, slots_of_v1 + 5, "a");
    REQUIRE(queued(w) == 5);
    pass_time(w, 50ms);
    pass_time(w, 400ms); // a burst: the requests may still wait
    CHECK(queued(w) == 5);
    send_requests(w, 100, 1, "a", core::priority_class::job);
    pass_time(w, 200ms);
    CHECK(queued(w) == 1); // jobs wait until their deadline
    CHECK(w.ends.size() == 5);
    for (auto const& [id, end] : w.ends) {
        CHECK_FALSE(end.whole);
        CHECK(end.outcome == core::outcome::not_run);
    }
}

TEST_CASE("requests that take the room freed by a refusal are not cut off")
{
    auto w = two_organisations();
    // The runners report calls of other nodes too.
    for (auto const* name : {"r1", "r2"})
        give(w, 0, core::endpoint_report{name, "1", false, 16, 4});
    send_requests(w, 0, 10, "a");
    pass_time(w, 300ms);
    REQUIRE(queued(w) == 10);
    send_requests(w, 10, 1, "a");
    pass_time(w, 4s); // the reports are stale now
    CHECK(w.dispatches.size() + w.ends.size() == 11);
    for (auto const& [id, end] : w.ends)
        CHECK(end.outcome == core::outcome::not_run);
}

TEST_CASE("a request that waited past its deadline is never started")
{
    auto w = two_organisations();
    send_requests(w, 0, slots_of_v1 + 8, "a");
    REQUIRE(queued(w) == 8);
    SECTION("the calls before it end at their own deadline")
    {
        pass_time(w, 31s); // the route's deadline is 30 s
    }
    SECTION("a call ends between the request's deadline and the next tick")
    {
        w.now += 31s;
        end_all(w);
        pass_time(w, 50ms);
    }
    CHECK(w.dispatches.size() == slots_of_v1);
    CHECK(queued(w) == 0);
    auto const not_run = std::ranges::count_if(w.ends, [](auto const& it) {
        return it.second.outcome == core::outcome::not_run && !it.second.whole;
    });
    CHECK(not_run == 8);
}

TEST_CASE("many chats of one organisation do not delay checks of another")
{
    auto w = two_organisations();
    send_requests(w, 0, slots_of_v1 + 100, "a");
    send_requests(w, 1000, 1, "b", core::priority_class::check);
    auto const call = w.dispatches.front().what.call;
    w.dispatches.clear();
    give(w, 0, core::answer_head{call, 200, "text/event-stream"});
    give(w, 0, core::answer_chunk{call, 0, "t"});
    give(w, 0, core::answer_end{call, 1});
    REQUIRE(w.dispatches.size() == 1);
    CHECK(w.dispatches[0].what.id == "n1.1.1000");
}

TEST_CASE("urgent requests of a flooding organisation do not delay another one "
          "where endpoints have a single slot")
{
    // No slot of such an endpoint can be kept free for the other organisation.
    auto w = two_organisations();
    for (auto const* name : {"r1", "r2"}) {
        auto single = w.nodes[0].config.endpoints.at(name).value;
        single.slots = 1;
        publish(w, single);
    }
    read_log(w, 0);
    send_requests(w, 0, 20, "a", core::priority_class::order);
    send_requests(w, 20, 1, "b", core::priority_class::check);
    REQUIRE(w.nodes[0].calls.size() == 2);
    auto const open = std::exchange(w.dispatches, {});
    auto const call = open.at(0).what.call;
    give(w, 0, core::answer_head{call, 200, "text/event-stream"});
    give(w, 0, core::answer_chunk{call, 0, "t"});
    give(w, 0, core::answer_end{call, 1});
    REQUIRE(w.dispatches.size() == 1);
    CHECK(w.dispatches[0].what.organisation == "b");
}

TEST_CASE("a full queue of one organisation refuses no request of another")
{
    auto w = two_organisations();
    w.nodes[0].settings.max_queue = 10;
    send_requests(w, 0, slots_of_v1 + 11, "a");
    CHECK(w.ends.size() == 1);
    send_requests(w, 1000, 1, "b");
    CHECK(w.ends.size() == 1);
}

TEST_CASE("every organisation makes progress at the smallest limit")
{
    auto w = two_organisations();
    limit(w).limit = 1;
    send_requests(w, 0, 1, "b");
    send_requests(w, 10, 3, "a"); // above its share
    REQUIRE(w.dispatches.size() == 1);
    give(w, 0, core::caller_gone{w.dispatches[0].what.id});
    CHECK(w.dispatches.size() == 2);
    give(w, 0, core::caller_gone{w.dispatches[1].what.id});
    CHECK(w.dispatches.size() == 3);
}

TEST_CASE("calls of an organisation in another pool block no free slot")
{
    auto w = two_organisations();
    limit(w).limit = 1;
    w.nodes[0].in_flight["b"] = 1; // in another pool
    send_requests(w, 0, 4, "a");
    REQUIRE(w.dispatches.size() == 1);
    give(w, 0, core::caller_gone{w.dispatches[0].what.id});
    CHECK(w.dispatches.size() == 2); // "a" gets more than its share
}

TEST_CASE("a node's counts of calls in flight are right in any order of events")
{
    REQUIRE(rc::check("calls", [](std::vector<choice> const& choices) {
        auto w = two_organisations();
        int number = 0;
        for (auto const& c : choices) {
            auto const which = static_cast<std::size_t>(c.which);
            switch (c.what % 8) {
            case 0:
            case 1:
                send_requests(w, number++, 1, which % 2 == 0 ? "a" : "b");
                break;
            case 2:
                refuse_connection(w, which);
                break;
            case 3:
                run_dispatch(w, which, false, false);
                break;
            case 4:
                run_dispatch(w, which, true, which % 2 == 0);
                break;
            case 5:
                if (number > 0)
                    give(w, 0,
                         core::caller_gone{"n1.1." +
                                           std::to_string(c.which % number)});
                break;
            case 6:
                report_full(w);
                break;
            default:
                pass_time(w, 700ms);
            }
            int open = 0;
            for (auto const& [name, it] : w.nodes[0].limits) {
                RC_ASSERT(it.in_flight >= 0);
                open += it.in_flight;
            }
            RC_ASSERT(open == static_cast<int>(w.nodes[0].calls.size()));
        }
    }));
}
