// Answers are complete and belong to their request in any order of tokens.
#include "support/choices.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t token_count = 8;

// Tokens that a runner still has to send for one call.
struct generation
{
    core::request_id id;
    core::call_id call = 0;
    std::string version;
    std::vector<std::uint64_t> unsent; // token indices
    bool end_sent = false;
};

struct session
{
    world w = make_world(1);
    std::vector<generation> running;
    std::map<core::request_id, std::string> version_of;
};

void start_generations(session& s)
{
    for (auto const& it : s.w.dispatches) {
        generation g{it.what.id, it.what.call, it.what.version, {}, false};
        for (auto i = it.what.resume_chunks.size(); i < token_count; ++i)
            g.unsent.push_back(i);
        if (!it.what.resume_chunks.empty())
            RC_ASSERT(s.version_of[g.id] == g.version);
        s.version_of[g.id] = g.version;
        give(s.w, 0,
             core::answer_head{g.call, 200, "text/event-stream", false, false});
        s.running.push_back(std::move(g));
    }
    s.w.dispatches.clear();
}

void send_token(session& s, generation& g, std::size_t skip)
{
    if (g.unsent.empty())
        return;
    auto const at = std::min(skip, g.unsent.size() - 1);
    auto const index = g.unsent[at];
    g.unsent.erase(g.unsent.begin() + static_cast<std::ptrdiff_t>(at));
    give(s.w, 0, core::answer_chunk{g.call, index, token(g.id, index)});
}

void send_end(session& s, generation& g)
{
    g.end_sent = true;
    give(s.w, 0, core::answer_end{g.call, token_count});
}

void step(session& s, choice const& c)
{
    start_generations(s);
    auto const which = static_cast<std::size_t>(c.which);
    if (c.what % 12 == 0 || s.running.empty()) {
        ask_chat(s.w, 0);
        return;
    }
    auto& g = s.running[which % s.running.size()];
    switch (c.what % 12) {
    case 1:
    case 2:
    case 3:
        send_token(s, g, 0);
        break;
    case 4:
        send_token(s, g, which / 8 % 4); // token out of order
        break;
    case 5: // duplicate token
        give(s.w, 0,
             core::answer_chunk{g.call, which % token_count,
                                token(g.id, which % token_count)});
        break;
    case 6:
        send_end(s, g); // may overtake tokens
        break;
    case 7:
        give(s.w, 0,
             core::call_failed{g.call, core::step::receive, true, "cut off"});
        break;
    case 8:
        pass_time(s.w, std::chrono::milliseconds(which * 3));
        break;
    case 9:
        give(s.w, 0, core::caller_drained{g.id, which % (token_count + 1)});
        break;
    case 10:
        give(s.w, 0, core::answer_head{g.call, 500, "", false, false});
        break;
    default:
        pass_time(s.w, 50ms);
    }
}

void finish(session& s)
{
    for (int round = 0; round < 200; ++round) {
        start_generations(s);
        for (auto& g : s.running) {
            while (!g.unsent.empty())
                send_token(s, g, 0);
            if (!g.end_sent)
                send_end(s, g);
        }
        s.running.clear();
        pass_time(s.w, 500ms);
    }
}

} // namespace

TEST_CASE(
    "an answer is complete, in order and of its request, or ends in an error")
{
    REQUIRE(rc::check("streams", [](std::vector<choice> const& choices) {
        session s;
        for (auto const& it : choices)
            step(s, it);
        finish(s);
        for (auto const& [id, key] : s.w.keys) {
            RC_ASSERT(s.w.end_count[id] == 1);
            auto const whole = whole_text(id, token_count);
            auto const& body = s.w.bodies[id];
            RC_ASSERT(whole.starts_with(body));
            if (s.w.ends[id].whole)
                RC_ASSERT(body == whole);
        }
        RC_ASSERT(s.w.nodes[0].calls.empty());
    }));
}

TEST_CASE("a stream resumes at another runner of the same version")
{
    session s;
    auto const id = ask_chat(s.w, 0);
    start_generations(s);
    auto const first = s.w.all_dispatches.back().second.endpoint;
    for (int i = 0; i < 3; ++i)
        send_token(s, s.running[0], 0);
    give(
        s.w, 0,
        core::call_failed{s.running[0].call, core::step::receive, true, "cut"});
    REQUIRE(s.w.dispatches.size() == 1);
    auto const& resumed = s.w.dispatches[0].what;
    CHECK(resumed.endpoint != first);
    CHECK(resumed.resume_chunks.size() == 3);
    CHECK(resumed.version == "v1");
    CHECK(s.w.nodes[0].counts.tokens_recomputed == 13);
    finish(s);
    CHECK(s.w.bodies[id] == whole_text(id, token_count));
}

// Where endpoints do not continue streams, the pieces of a second answer were
// taken for those of the first one that have the same index.
TEST_CASE(
    "an answer holds the pieces of one run where no endpoint continues it")
{
    auto w = make_world(1);
    bool const resumes = GENERATE(false, true);
    w.nodes[0].settings.resumes_plain_streams = resumes;
    auto& endpoints = w.nodes[0].config.endpoints;
    for (auto& [name, it] : endpoints)
        it.value.kind = core::endpoint_kind::plain_service;
    auto const id = ask_chat(w, 0);
    auto const first = w.dispatches.at(0).what.call;
    w.dispatches.clear();
    SECTION("the caller has a part of it")
    {
        give(w, 0, core::answer_head{first, 200, "text/event-stream"});
        give(w, 0, core::answer_chunk{first, 0, token(id, 0)});
        give(w, 0, core::answer_chunk{first, 3, "of the first run"});
        bool const has_position = GENERATE(false, true);
        give(w, 0, core::answer_chunk{first, 1, token(id, 1), has_position});
        give(w, 0,
             core::call_failed{first, core::step::receive, true, "cut off"});
        if (!resumes || !has_position) {
            CHECK(w.dispatches.empty());
            REQUIRE(w.ends.contains(id));
            CHECK_FALSE(w.ends.at(id).whole);
            return;
        }
    }
    SECTION("the caller has nothing of it")
    {
        give(w, 0, core::answer_end{first, 2}); // overtakes the first chunks
        give(w, 0,
             core::call_failed{first, core::step::receive, true, "cut off"});
    }
    REQUIRE(w.dispatches.size() == 1);
    auto const& second = w.dispatches.at(0).what;
    give(w, 0, core::answer_head{second.call, 200, "text/event-stream"});
    for (auto i = second.resume_chunks.size(); i < token_count; ++i)
        give(w, 0, core::answer_chunk{second.call, i, token(id, i)});
    give(w, 0, core::answer_end{second.call, token_count});
    CHECK(w.bodies[id] == whole_text(id, token_count));
}

TEST_CASE("an error of the resuming runner does not enter the stream")
{
    auto w = make_world(1);
    w.nodes[0].settings.max_attempts = 2; // no attempt after the failure
    auto const id = ask_chat(w, 0);
    auto const first = w.dispatches.at(0).what.call;
    w.dispatches.clear();
    give(w, 0, core::answer_head{first, 200, "text/event-stream"});
    give(w, 0, core::answer_chunk{first, 0, token(id, 0)});
    give(
        w, 0,
        core::call_failed{first, core::step::receive, true, "connection lost"});
    REQUIRE(w.dispatches.size() == 1);
    auto const second = w.dispatches.at(0).what.call;
    core::answer_head head;
    head.call = second;
    SECTION("error status")
    {
        head.status = 500;
        head.content_type = "text/event-stream";
    }
    SECTION("answer that is not an event stream")
    {
        head.status = 200;
        head.content_type = "application/json";
    }
    give(w, 0, head);
    give(w, 0, core::answer_chunk{second, 1, "error"});
    give(w, 0, core::answer_end{second, 2});
    REQUIRE(w.ends.contains(id));
    CHECK_FALSE(w.ends.at(id).whole);
    CHECK(w.bodies[id] == token(id, 0));
}

// A caller that is told 503 sends its order again, though it has run.
TEST_CASE("an endpoint's failure promises nothing that it did not state")
{
    auto const status = GENERATE(408, 421, 429, 500, 503);
    bool const is_stated = GENERATE(false, true);
    CAPTURE(status, is_stated);
    auto w = make_world(1);
    configure(w);
    auto const id = ask_order(w, 0, "");
    auto const call = w.dispatches.at(0).what.call;
    w.dispatches.clear();
    core::answer_head head;
    head.call = call;
    head.status = status;
    head.not_run = is_stated;
    give(w, 0, head);
    give(w, 0, core::answer_chunk{call, 0, "failed"});
    give(w, 0, core::answer_end{call, 1});
    if (is_stated) {
        CHECK_FALSE(w.nodes[0].requests.at(id).may_have_run);
        return;
    }
    CHECK(w.dispatches.empty());
    REQUIRE(w.ends.contains(id));
    bool const is_passed_on = status == 500;
    CHECK(w.ends.at(id).whole == is_passed_on);
    if (!is_passed_on)
        CHECK(w.ends.at(id).outcome == core::outcome::outcome_unknown);
}

TEST_CASE("a call without progress is aborted and retried on a new connection")
{
    session s;
    ask_chat(s.w, 0);
    s.w.dispatches.clear(); // the runner sends nothing for the call
    pass_time(s.w, 2'100ms);
    REQUIRE(s.w.dispatches.size() == 1);
    CHECK(s.w.dispatches[0].what.fresh_connection);
}

// What endpoints sent meanwhile is not read yet.
TEST_CASE("time in which the node does not run is not an endpoint's silence")
{
    session s;
    auto const id = ask_chat(s.w, 0);
    start_generations(s);
    run_for(s.w, 1s);
    s.w.now += 5s;
    give(s.w, 0, core::tick{});
    run_for(s.w, 900ms);
    CHECK(s.w.dispatches.empty());
    CHECK(s.w.nodes[0].requests.at(id).attempts == 1);
    run_for(s.w, 200ms);
    CHECK(s.w.dispatches.size() == 1);
}

TEST_CASE("a slow caller pauses the endpoint, so that buffers stay bounded")
{
    session s;
    auto const id = ask_chat(s.w, 0);
    auto const call = s.w.dispatches[0].what.call;
    give(s.w, 0, core::answer_head{call, 200, "text/event-stream"});
    core::effects out;
    auto& node = s.w.nodes[0];
    bool paused = false;
    for (std::uint64_t i = 0; i < 2 * node.settings.max_backlog; ++i) {
        out.clear();
        core::reduce(node, {s.w.now, core::answer_chunk{call, i, "x"}}, out);
        paused = paused || std::ranges::any_of(out, [](auto const& it) {
                     return std::holds_alternative<core::pause_call>(it);
                 });
    }
    CHECK(paused);
    out.clear();
    core::reduce(
        node,
        {s.w.now, core::caller_drained{id, 2 * node.settings.max_backlog}},
        out);
    REQUIRE(out.size() == 1);
    CHECK(std::holds_alternative<core::resume_call>(out[0]));
}

// Events without end were held whole for a continuation elsewhere.
TEST_CASE("answers without end take bounded memory and stay open")
{
    auto w = make_world(1);
    auto& n = w.nodes[0];
    n.settings.max_held_bytes = 1'000'000;
    n.settings.max_backlog_bytes = 100'000;
    std::vector<core::request_id> ids;
    for (int i = 0; i < 5; ++i)
        ids.push_back(ask_chat(w, 0));
    auto const calls = w.dispatches;
    for (auto const& it : calls)
        give(w, 0, core::answer_head{it.what.call, 200, "text/event-stream"});
    std::string const event(1'000, 'x');
    std::size_t held = 0;
    std::size_t most = 0;
    for (std::uint64_t i = 0; i < 2'000; ++i) {
        for (auto const& it : calls) {
            // The last one is sound: it has few events.
            if (i < 10 || it.what.call != calls.back().what.call)
                give(w, 0, core::answer_chunk{it.what.call, i, event});
            give(w, 0, core::caller_drained{it.what.id, i + 1});
        }
        if (i % 50 == 0)
            pass_time(w, 50ms);
        held = 0;
        for (auto const& [id, r] : n.requests)
            for (auto const& chunk : r.chunks)
                held += chunk.size();
        most = std::max(most, held);
    }
    // Limits are applied at ticks, and 4 kB arrive between two of these.
    CHECK(most <= 1'000'000 + 50 * 4 * 1'000);
    CHECK(n.calls.size() == 5);
    // The sound one is still continued elsewhere.
    w.dispatches.clear();
    give(w, 0,
         core::call_failed{calls.back().what.call, core::step::receive, true,
                           "cut off"});
    REQUIRE(w.dispatches.size() == 1);
    CHECK(w.dispatches[0].what.resume_chunks.size() == 10);
    // One that is not held is seen to break off.
    give(w, 0,
         core::call_failed{calls.front().what.call, core::step::receive, true,
                           "cut off"});
    CHECK(w.dispatches.size() == 1);
    CHECK_FALSE(w.ends.at(calls.front().what.id).whole);
}

TEST_CASE("a slow caller of large events pauses the endpoint")
{
    auto w = make_world(1);
    ask_chat(w, 0);
    auto const call = w.dispatches.at(0).what.call;
    give(w, 0, core::answer_head{call, 200, "text/event-stream"});
    core::effects out;
    for (std::uint64_t i = 0; i < 3; ++i)
        core::reduce(
            w.nodes[0],
            {w.now, core::answer_chunk{call, i, std::string(600'000, 'x')}},
            out);
    auto const count = [&](auto const& is) {
        return std::ranges::count_if(out, is);
    };
    CHECK(count([](auto const& it) {
              return std::holds_alternative<core::pause_call>(it);
          }) == 1);
    out.clear();
    core::reduce(w.nodes[0],
                 {w.now, core::caller_drained{w.dispatches.at(0).what.id, 3}},
                 out);
    CHECK(count([](auto const& it) {
              return std::holds_alternative<core::resume_call>(it);
          }) == 1);
}

TEST_CASE("an answer is sent again from the index that the caller asks for")
{
    session s;
    s.w.nodes[0].settings.answer_linger = 1h;
    auto const id = ask_chat(s.w, 0);
    finish(s);
    s.w.bodies[id].clear();
    give(s.w, 0, core::reattach{id, 5});
    CHECK(s.w.bodies[id] == token(id, 5) + token(id, 6) + token(id, 7));
    CHECK(s.w.end_count[id] == 2);
}

TEST_CASE("work is cancelled when its caller leaves unless it asked to keep it")
{
    auto w = make_world(1);
    auto const id = ask_chat(w, 0);
    give(w, 0, core::caller_gone{id});
    CHECK(w.nodes[0].calls.empty());
    auto const kept = ask_order(w, 0, "");
    give(w, 0, core::caller_gone{kept});
    CHECK(w.nodes[0].calls.size() == 1);
}

TEST_CASE("a stream that may not be resumed still stops with its caller")
{
    auto w = make_world(1);
    configure(w);
    core::route r;
    r.name = "advice";
    r.pool = w.nodes[0].config.routes.at("chat").value.pool;
    r.version = "v1";
    r.repeatable = false;
    r.cancel_on_disconnect = true;
    publish(w, r);
    read_log(w, 0);
    core::request_arrived asked;
    asked.id = "n1.1.advice";
    asked.key_digest = "key";
    asked.route = "advice";
    give(w, 0, asked);
    REQUIRE(w.nodes[0].calls.size() == 1);
    give(w, 0, core::caller_gone{asked.id});
    CHECK(w.nodes[0].calls.empty());
}

TEST_CASE("a queued order is dropped when its caller leaves")
{
    auto w = make_world(1);
    configure(w);
    // All slots of both desks are taken.
    std::vector<core::request_id> orders;
    for (int i = 0; i < 200; ++i) {
        core::request_arrived asked;
        asked.id = "n1.1.o" + std::to_string(i);
        asked.key_digest = "key";
        asked.route = "orders";
        give(w, 0, asked);
        orders.push_back(asked.id);
    }
    auto const& waiting = w.nodes[0].requests.at(orders.back());
    REQUIRE(waiting.attempts == 0);
    give(w, 0, core::caller_gone{orders.back()});
    CHECK(w.nodes[0].requests.at(orders.back()).phase ==
          core::request_phase::done);
}

TEST_CASE("an endpoint whose answer says that it leaves gets no more requests")
{
    auto w = make_world(1);
    ask_chat(w, 0);
    auto const first = w.dispatches.at(0).what;
    core::answer_head head;
    head.call = first.call;
    head.leaving = true;
    head.content_type = "text/event-stream";
    give(w, 0, head);
    for (int i = 0; i < 20; ++i)
        ask_chat(w, 0);
    CHECK(std::ranges::none_of(
        w.dispatches.begin() + 1, w.dispatches.end(),
        [&](auto const& it) { return it.what.endpoint == first.endpoint; }));
    CHECK(w.nodes[0].calls.contains(first.call)); // it ends as usual
}

TEST_CASE("an endpoint that asks for a pause gets no requests until its end")
{
    constexpr auto pause = 3s;
    auto w = make_world(1);
    auto const id = ask_chat(w, 0);
    auto const first = w.dispatches.at(0).what;
    w.dispatches.clear();
    core::answer_head head;
    head.call = first.call;
    head.status = 503;
    head.not_run = true;
    head.pause = pause;
    give(w, 0, head);
    // The request goes to another endpoint.
    REQUIRE(w.dispatches.size() == 1);
    CHECK(w.dispatches[0].what.id == id);
    auto const calls_there = [&] {
        return std::ranges::count_if(w.dispatches, [&](auto const& it) {
            return it.what.endpoint == first.endpoint;
        });
    };
    // Failures of other calls there do not shorten the pause.
    for (auto t = 0ms; t < pause - 100ms; t += 100ms) {
        ask_chat(w, 0);
        pass_time(w, 100ms);
    }
    CHECK(calls_there() == 0);
    pass_time(w, 200ms);
    for (int i = 0; i < 20; ++i)
        ask_chat(w, 0);
    CHECK(calls_there() > 0);
}

TEST_CASE("a request is refused at once if all endpoints pause beyond its "
          "deadline")
{
    auto w = make_world(1);
    auto const pause = [&](char const* name, std::chrono::milliseconds time) {
        w.nodes[0].endpoints[name].paused_until = w.now + time;
    };
    pause("d1", 1s);
    pause("d2", 1s);
    core::request_arrived asked; // "orders" has a deadline of 5 s
    asked.id = "n1.1.paused";
    asked.key_digest = "key";
    asked.route = "orders";
    give(w, 0, asked);
    CHECK_FALSE(w.nodes[0].requests.at(asked.id).failure);
    pause("d1", 7s);
    pause("d2", 6s);
    pass_time(w, 50ms);
    auto const& r = w.nodes[0].requests.at(asked.id);
    REQUIRE(r.failure);
    CHECK(r.failure->known_outcome == core::outcome::not_run);
    CHECK(r.failure->retry_after == 5'950ms);
    // One that can still be served waits.
    w.nodes[0].endpoints["d2"].paused_until = w.now + 1s;
    asked.id = "n1.1.waiting";
    give(w, 0, asked);
    pass_time(w, 50ms);
    CHECK_FALSE(w.nodes[0].requests.at(asked.id).failure);
    pass_time(w, 1s);
    CHECK(w.nodes[0].requests.at(asked.id).phase ==
          core::request_phase::calling);
}

TEST_CASE("a resumed stream ends at its route's deadline if that covers the "
          "whole answer")
{
    auto w = make_world(1);
    auto chat = w.nodes[0].config.routes.at("chat").value;
    chat.deadline = 5s;
    chat.deadline_covers_body = true;
    w.nodes[0].config.routes.at("chat").value = chat;
    auto const id = ask_chat(w, 0);
    auto const first = w.dispatches.at(0).what.call;
    give(w, 0, core::answer_head{first, 200, "text/event-stream"});
    give(w, 0, core::answer_chunk{first, 0, token(id, 0)});
    pass_time(w, 4s);
    give(w, 0, core::call_failed{first, core::step::receive, true, "cut"});
    REQUIRE(w.nodes[0].requests.at(id).call != 0); // resumed elsewhere
    pass_time(w, 1s);
    CHECK(w.ends.contains(id));
}

namespace {

// Starts a stream, then removes its route. Returns the request's id.
core::request_id start_stream_of_removed_route(world& w)
{
    auto const& chat = w.nodes[0].config.routes.at("chat");
    core::config_record const removal{"x", chat.revision, true, chat.value};
    auto const id = ask_chat(w, 0);
    auto const call = w.dispatches.at(0).what.call;
    w.dispatches.clear();
    give(w, 0, core::answer_head{call, 200, "text/event-stream"});
    give(w, 0, core::answer_chunk{call, 0, token(id, 0)});
    put(w, "config", removal);
    read_log(w, 0);
    REQUIRE_FALSE(w.nodes[0].config.routes.contains("chat"));
    return id;
}

} // namespace

// The route may be gone while the stream runs.
TEST_CASE("a stream whose route is removed keeps its bounds")
{
    auto w = make_world(1);
    auto& chat = w.nodes[0].config.routes.at("chat").value;
    SECTION("a silent call is retried")
    {
        auto const id = start_stream_of_removed_route(w);
        pass_time(w, 2'100ms);
        REQUIRE(w.dispatches.size() == 1);
        CHECK(w.dispatches[0].what.id == id);
        CHECK(w.dispatches[0].what.resume_chunks.size() == 1);
    }
    SECTION("a stream ends at the deadline that covers its whole answer")
    {
        chat.deadline = 5s;
        chat.progress_timeout = 6s;
        chat.deadline_covers_body = true;
        auto const id = start_stream_of_removed_route(w);
        pass_time(w, 4'900ms);
        CHECK_FALSE(w.ends.contains(id));
        pass_time(w, 100ms);
        CHECK(w.ends.contains(id));
    }
    SECTION("a stream that breaks off is resumed")
    {
        auto const id = start_stream_of_removed_route(w);
        auto const call = w.nodes[0].requests.at(id).call;
        give(w, 0,
             core::call_failed{call, core::step::receive, true, "cut off"});
        CHECK(w.dispatches.size() == 1);
    }
    SECTION("a call stops with its caller if the route says so")
    {
        chat.repeatable = false;
        chat.cancel_on_disconnect = true;
        auto const id = start_stream_of_removed_route(w);
        give(w, 0, core::caller_gone{id});
        CHECK(w.nodes[0].requests.at(id).phase == core::request_phase::done);
    }
}

// An object was kept for each chunk until the end of the request.
TEST_CASE("chunks that are sent and need not be held leave nothing behind")
{
    auto w = make_world(1);
    auto& n = w.nodes[0];
    n.settings.max_held_bytes = 100'000;
    auto const id = ask_chat(w, 0);
    auto const call = w.dispatches[0].what.call;
    give(w, 0, core::answer_head{call, 200, "text/event-stream"});
    std::size_t most = 0;
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        give(w, 0, core::answer_chunk{call, i, "\n\n"});
        give(w, 0, core::caller_drained{id, i + 1});
        if (i % 50 == 0)
            pass_time(w, 50ms);
        most = std::max(most, n.requests.at(id).chunks.size());
    }
    CHECK(most * sizeof(std::string) <= 100'000 + 50 * sizeof(std::string));
    CHECK(n.requests.at(id).chunks.size() <= 1);
    CHECK(n.requests.at(id).held_bytes <= 100'000);
    give(w, 0, core::answer_end{call, 20'000});
    CHECK(w.ends.at(id).whole);
}

TEST_CASE("an answer whose caller has gone takes bounded memory")
{
    auto w = make_world(1);
    auto& n = w.nodes[0];
    n.settings.max_held_bytes = 100'000;
    auto const id = ask_chat(w, 0);
    auto const call = w.dispatches[0].what.call;
    n.requests.at(id).request.run_without_caller = true;
    give(w, 0, core::answer_head{call, 200, "text/event-stream"});
    give(w, 0, core::caller_gone{id});
    std::string const event(1'000, 'x');
    std::size_t most = 0;
    for (std::uint64_t i = 0; i < 2'000; ++i) {
        give(w, 0, core::answer_chunk{call, i, event});
        if (i % 50 == 0)
            pass_time(w, 50ms);
        most = std::max(most, n.requests.at(id).held_bytes);
    }
    CHECK(most <= 100'000 + 2 * 50 * event.size());
    give(w, 0, core::answer_end{call, 2'000});
    CHECK(n.requests.at(id).phase == core::request_phase::done);
}

TEST_CASE("a stream that waits to be continued keeps what it has so far")
{
    auto w = make_world(1);
    auto& n = w.nodes[0];
    n.settings.max_held_bytes = 100;
    auto const id = ask_chat(w, 0);
    auto const call = w.dispatches[0].what.call;
    w.dispatches.clear();
    for (auto const* const name : {"r1", "r2"})
        n.endpoints[name].paused_until = w.now + 1s;
    give(w, 0, core::answer_head{call, 200, "text/event-stream"});
    for (std::uint64_t i = 0; i < 10; ++i)
        give(w, 0, core::answer_chunk{call, i, token(id, i)});
    give(w, 0, core::call_failed{call, core::step::receive, true, "cut off"});
    REQUIRE(w.dispatches.empty());
    pass_time(w, 2s);
    REQUIRE(w.dispatches.size() == 1);
    CHECK(w.dispatches[0].what.resume_chunks.size() == 10);
}
