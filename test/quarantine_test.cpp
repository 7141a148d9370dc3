// Prompts that end the endpoints that answer them.
#include "support/runners.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t node_count = 6;
constexpr std::size_t runner_count = 12;
constexpr std::uint64_t first_part = 1;
constexpr std::uint64_t ending_part = 0xbad;

// Requests with the ending part come all the time, beside others with the same
// first part and documents.
void run_with_ending_part(runner_site& s, std::chrono::milliseconds time)
{
    constexpr unsigned documents = 20;
    auto const nodes = s.f.nodes.size();
    for (auto t = 0ms; t < time; t += 50ms) {
        auto const node = [&] {
            return s.random() % nodes;
        };
        auto const document = [&] {
            return 100 + s.random() % documents;
        };
        ask(s, node(), {first_part, document()});
        if (t % 300ms == 0ms)
            ask(s, node(), {first_part, ending_part, document()});
        run(s, 50ms);
    }
}

std::ptrdiff_t quarantines(runner_site const& s, std::uint64_t part)
{
    return std::ranges::count_if(s.f.nodes, [&](auto const& n) {
        auto const it = n.parts.find(part);
        return it != n.parts.end() && it->second.quarantined;
    });
}

// Sends a request and ends each runner that gets it.
void end_runners_under(runner_site& s, std::size_t node,
                       std::vector<std::uint64_t> const& parts)
{
    auto const id = ask(s, node, parts);
    auto const call = [&] {
        return std::ranges::find_if(
            s.calls, [&](auto const& c) { return c.what.id == id; });
    };
    for (auto it = call(); it != s.calls.end(); it = call())
        end_runner(s, it->what.endpoint, 400ms);
    run(s, 500ms);
}

// Ends runners under requests with the part until it is quarantined.
void quarantine_part(runner_site& s, std::uint64_t part)
{
    ask(s, 0, {first_part}); // proves the first part to be sound
    run(s, 1s);
    for (std::size_t i = 0; i < 5 && quarantines(s, part) == 0; ++i)
        end_runners_under(s, i % node_count, {first_part, part});
    REQUIRE(quarantines(s, part) == node_count);
}

simulated_request const& asked(runner_site const& s, core::request_id const& id)
{
    return s.requests.at(id);
}

// Share of the requests without the ending part that were answered.
double share_answered(runner_site const& s, core::time_point since)
{
    double sent = 0;
    double answered = 0;
    for (auto const& [id, it] : s.requests) {
        bool const ends_runners =
            std::ranges::find(it.parts, ending_part) != it.parts.end();
        if (ends_runners || it.sent < since)
            continue;
        sent += 1;
        answered += it.answered ? 1 : 0;
    }
    return answered / sent;
}

} // namespace

TEST_CASE("requests with a part under which five runners ended reach at most "
          "three more")
{
    constexpr auto stable_window = 3s;
    for (unsigned seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        auto s = make_runner_site(node_count, runner_count, seed);
        s.ending_parts = {ending_part};
        run_with_ending_part(s, 20s);
        auto const last_seconds = s.f.now;
        run_with_ending_part(s, 5s);
        run(s, 1s); // until the last ones are answered
        REQUIRE(s.ends.size() >= 3);
        auto const bound =
            s.ends[std::min<std::size_t>(s.ends.size(), 5) - 1] + stable_window;
        CHECK(std::ranges::count_if(s.ending_calls,
                                    [&](auto at) { return at > bound; }) <= 3);
        CHECK(share_answered(s, last_seconds) > 0.95);
    }
}

TEST_CASE("a part is quarantined at all nodes of a fleet with hubs")
{
    constexpr std::size_t many_nodes = 120;
    auto s = make_runner_site(many_nodes, 4 * runner_count);
    s.ending_parts = {ending_part};
    run_with_ending_part(s, 10s);
    run(s, 1s);
    CHECK(quarantines(s, ending_part) == many_nodes);
    CHECK(s.ending_calls.size() <= 8);
    CHECK(share_answered(s, s.f.now - 5s) > 0.95);
}

// A call broke off and the request was sent again before it was known that the
// third endpoint had ended.
TEST_CASE("the attempts of one request end at most three runners")
{
    auto s = make_runner_site(node_count, runner_count, 1, 6);
    s.check_time = GENERATE(0ms, 50ms);
    s.ending_parts = {ending_part};
    auto const id = ask(s, 0, {ending_part});
    run(s, 3s);
    CHECK(s.ends.size() <= 3);
    CHECK(quarantines(s, ending_part) == node_count);
    REQUIRE(asked(s, id).refused);
    CHECK(asked(s, id).refused->known_outcome ==
          core::outcome::outcome_unknown);
}

TEST_CASE("no part is quarantined when runners end for other reasons")
{
    constexpr unsigned documents = 200;
    for (unsigned seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        auto s = make_runner_site(node_count, runner_count, seed);
        for (auto t = 0ms; t < 60s; t += 50ms) {
            ask(s, s.random() % node_count,
                {first_part, 100 + s.random() % documents});
            run(s, 50ms);
            if (t % 500ms == 0ms)
                end_runner(s, "r" + std::to_string(s.random() % runner_count),
                           1s);
            if (t % 5s == 0ms) // several at once
                for (auto const* name : {"r0", "r1", "r2", "r3"})
                    end_runner(s, name, 2s);
        }
        for (auto const& n : s.f.nodes)
            CHECK(core::quarantined_parts(n).empty());
    }
}

TEST_CASE("calls that runners break off without ending are no evidence against "
          "a part")
{
    auto s = make_runner_site(node_count, runner_count);
    for (std::size_t i = 0; i < 10; ++i) {
        auto const id = ask(s, i % node_count, {9});
        auto const call = [&] {
            return std::ranges::find_if(
                s.calls, [&](auto const& c) { return c.what.id == id; });
        };
        for (auto it = call(); it != s.calls.end(); it = call()) {
            core::call_failed failed{it->what.call, core::step::receive, true,
                                     "Connection reset by peer"};
            failed.closed_by_endpoint = true;
            s.calls.erase(it);
            run(s, 50ms);
            give(s.f, i % node_count, failed);
            run(s, 50ms);
        }
        run(s, 500ms);
    }
    CHECK(quarantines(s, 9) == 0);
}

TEST_CASE("a request with a quarantined part is refused at once and truly")
{
    auto s = make_runner_site(node_count, runner_count);
    s.ending_parts = {ending_part};
    quarantine_part(s, 5);
    auto const before = ask(s, 3, {first_part, ending_part});
    REQUIRE(asked(s, before).calls == 1);
    quarantine_part(s, ending_part);
    // It was at a runner that ended, or was about to end.
    REQUIRE(asked(s, before).refused);
    CHECK(asked(s, before).refused->status == 502);
    CHECK(asked(s, before).refused->known_outcome ==
          core::outcome::outcome_unknown);
    for (std::size_t node = 0; node < node_count; ++node) {
        auto const id = ask(s, node, {7, ending_part, 8});
        REQUIRE(asked(s, id).refused);
        CHECK(asked(s, id).calls == 0);
        CHECK(asked(s, id).refused->status == 422);
        CHECK(asked(s, id).refused->known_outcome == core::outcome::not_run);
        CHECK(asked(s, id).refused->retry_after == 0ms);
    }
    auto const sound = ask(s, 0, {first_part, 8});
    run(s, 1s);
    CHECK(asked(s, sound).answered);
}

TEST_CASE("a request that waits for an endpoint is refused when a part of its "
          "prompt is quarantined")
{
    auto s = make_runner_site(node_count, runner_count);
    quarantine_part(s, 5);
    for (auto& [name, e] : s.f.nodes[0].endpoints)
        e.paused_until = s.f.now + 3s;
    auto const id = ask(s, 0, {first_part, ending_part});
    REQUIRE(s.f.nodes[0].requests.at(id).phase == core::request_phase::queued);
    auto const link = s.f.nodes[0].peers.begin()->first;
    core::news item;
    item.parts = {{ending_part, core::part_status::quarantined}};
    give(s.f, 0, core::peer_received{link, item});
    run(s, 50ms);
    CHECK(asked(s, id).refused);
    CHECK(asked(s, id).calls == 0);
}

TEST_CASE("a node that starts later knows which parts are quarantined")
{
    auto s = make_runner_site(node_count, runner_count);
    quarantine_part(s, ending_part);
    restart(s.f, 2);
    run(s, 2s);
    CHECK(quarantines(s, ending_part) == node_count);
}

TEST_CASE("a part that was quarantined wrongly is released by an answer")
{
    auto s = make_runner_site(node_count, runner_count);
    quarantine_part(s, 42); // ends no runner
    run(s, 31s);
    std::ptrdiff_t sent = 0;
    for (std::size_t node = 0; node < node_count; ++node)
        sent += asked(s, ask(s, node, {first_part, 42})).calls;
    CHECK(sent == 1);
    run(s, 1s);
    CHECK(quarantines(s, 42) == 0);
    auto const id = ask(s, 4, {first_part, 42});
    run(s, 1s);
    CHECK(asked(s, id).answered);
}

TEST_CASE("a part that still ends runners stays quarantined after a probe")
{
    auto s = make_runner_site(node_count, runner_count);
    s.ending_parts = {ending_part};
    quarantine_part(s, ending_part);
    auto const before = s.ending_calls.size();
    for (auto t = 0s; t < 600s; t += 1s) {
        ask(s, s.random() % node_count, {first_part, ending_part});
        run(s, 1s);
    }
    CHECK(quarantines(s, ending_part) == node_count);
    CHECK(s.ending_calls.size() - before <= 3);
}

TEST_CASE("an answer that ends with its connection proves no part harmless")
{
    bool const framed = GENERATE(true, false);
    auto s = make_runner_site(1, 2);
    end_runners_under(s, 0, {9});
    REQUIRE_FALSE(s.f.nodes[0].parts.at(9).ends.empty());
    auto const id = ask(s, 0, {9});
    auto const call = s.f.nodes[0].requests.at(id).call;
    give(s.f, 0, core::answer_head{call, 200, "text/event-stream"});
    give(s.f, 0, core::answer_chunk{call, 0, "a"});
    give(s.f, 0, core::answer_end{call, 1, framed});
    CHECK(s.f.nodes[0].parts.at(9).ends.empty() == framed);
}

TEST_CASE("the parts that a node remembers are bounded, and quarantined ones "
          "are kept")
{
    auto s = make_runner_site(1, 2);
    auto const link = std::uint64_t{1};
    give(s.f, 0, core::peer_opened{link});
    core::hello hello;
    hello.node = "n9";
    give(s.f, 0, core::peer_received{link, hello});
    core::news item;
    item.parts = {{ending_part, core::part_status::quarantined}};
    constexpr std::uint64_t others = 20'000;
    for (std::uint64_t part = 0; part < others; ++part)
        if (part != ending_part)
            item.parts.push_back({part, core::part_status::suspected, 1});
    give(s.f, 0, core::peer_received{link, item});
    CHECK(s.f.nodes[0].parts.size() <= 4096);
    CHECK(quarantines(s, ending_part) == 1);
}
