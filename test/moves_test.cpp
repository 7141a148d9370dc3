// Version moves: bounded share of requests, veto, and an end by the deadline.
#include "support/choices.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodes = 3;
constexpr auto deadline = 60s;

struct move_world
{
    world w = make_world(nodes);
    std::uint64_t requests = 0;
    std::uint64_t to_new = 0;
    core::time_point ends_at;
};

void start_move(move_world& m, std::string const& to = "v2")
{
    link_all(m.w);
    core::version_move it;
    it.name = "m";
    it.route = "chat";
    it.to = to;
    it.deadline = m.w.now + deadline;
    m.ends_at = it.deadline;
    publish(m.w, it);
    for (std::size_t i = 0; i < nodes; ++i)
        read_log(m.w, i);
    deliver_all_messages(m.w);
}

// Sends one request to a node and answers it at once. The new version fails if
// `bad` and is slow if `slow`.
void serve(move_world& m, std::size_t node, bool bad, bool slow)
{
    m.requests++;
    ask_chat(m.w, node);
    while (!m.w.dispatches.empty()) {
        auto const it = m.w.dispatches.front();
        m.w.dispatches.erase(m.w.dispatches.begin());
        bool const is_new = it.what.version == "v2";
        m.to_new += is_new ? 1 : 0;
        auto const call = it.what.call;
        m.w.now += is_new && slow ? 100ms : 10ms;
        if (is_new && bad) {
            give(m.w, it.node, core::answer_head{call, 500, "", false, false});
            continue;
        }
        give(m.w, it.node, core::answer_head{call, 200, "t", false, false});
        give(m.w, it.node, core::answer_chunk{call, 0, "x"});
        give(m.w, it.node, core::answer_end{call, 1});
    }
}

void exchange(move_world& m)
{
    deliver_all_messages(m.w);
    while (!m.w.appends.empty())
        take_append(m.w, 0, true);
    for (std::size_t i = 0; i < nodes; ++i)
        read_log(m.w, i);
}

core::move_state const& move_at(move_world const& m, std::size_t node)
{
    return m.w.nodes[node].config.moves.at("m");
}

void run(move_world& m, int rounds, bool bad, bool slow)
{
    for (int i = 0; i < rounds && !move_at(m, 0).end; ++i) {
        serve(m, static_cast<std::size_t>(i) % nodes, bad, slow);
        if (i % 10 == 0) {
            pass_time(m.w, 1ms);
            exchange(m);
        }
    }
}

} // namespace

TEST_CASE("a good version is finished before the deadline")
{
    move_world m;
    start_move(m);
    run(m, 6'000, false, false);
    REQUIRE(move_at(m, 0).end == core::move_end::finished);
    CHECK(m.w.now < m.ends_at);
    CHECK(m.w.nodes[0].config.routes.at("chat").value.version == "v2");
}

TEST_CASE("a failing version is taken back after a small share of requests")
{
    move_world m;
    start_move(m);
    run(m, 3'000, true, false);
    REQUIRE(move_at(m, 0).end == core::move_end::taken_back);
    CHECK(m.to_new * 50 <= m.requests);
    CHECK(m.w.nodes[0].config.routes.at("chat").value.version == "v1");
}

TEST_CASE("a slow version is taken back")
{
    move_world m;
    start_move(m);
    run(m, 3'000, false, true);
    CHECK(move_at(m, 0).end == core::move_end::taken_back);
    CHECK(m.to_new * 50 <= m.requests);
}

TEST_CASE("without traffic a move is taken back by its deadline")
{
    move_world m;
    start_move(m);
    while (m.w.now < m.ends_at) {
        pass_time(m.w, 500ms);
        exchange(m);
    }
    CHECK(move_at(m, 0).end == core::move_end::taken_back);
}

TEST_CASE(
    "while the log is down the new version gets nothing after the deadline")
{
    move_world m;
    start_move(m);
    for (std::size_t i = 0; i < nodes; ++i)
        give(m.w, i, core::log_reachable{false});
    m.w.now = m.ends_at;
    pass_time(m.w, 1ms);
    auto const before = m.to_new;
    for (int i = 0; i < 600; ++i)
        serve(m, static_cast<std::size_t>(i) % nodes, false, false);
    CHECK(m.to_new == before);
    // A step that is appended too late, by the log's time stamp, doesn't count.
    core::config_record late;
    late.id = "late";
    late.replaces = move_at(m, 0).revision;
    late.body = core::move_step{"m", 3, core::move_end::finished, "", "n1"};
    m.w.now += 1s;
    put(m.w, "config", late);
    for (std::size_t i = 0; i < nodes; ++i) {
        read_log(m.w, i);
        CHECK(m.w.nodes[i].config.routes.at("chat").value.version == "v1");
        CHECK_FALSE(move_at(m, i).end);
    }
}

TEST_CASE("a veto propagates without the log and stops the share at once")
{
    move_world m;
    start_move(m);
    give(m.w, 0,
         core::peer_received{
             2, core::news{
                    {}, {{"m", move_at(m, 0).started, "seen bad"}}, {}, {}}});
    deliver_all_messages(m.w);
    auto const before = m.to_new;
    for (int i = 0; i < 600; ++i)
        serve(m, static_cast<std::size_t>(i) % nodes, false, false);
    CHECK(m.to_new == before);
}

TEST_CASE("an opposite move on the same route is refused")
{
    move_world m;
    start_move(m);
    core::version_move other;
    other.name = "other";
    other.route = "chat";
    other.to = "v3";
    other.deadline = m.ends_at;
    publish(m.w, other);
    read_log(m.w, 0);
    CHECK_FALSE(m.w.nodes[0].config.moves.contains("other"));
    auto const& why = m.w.nodes[0].config.verdicts.back().reason;
    CHECK(why.find("move m is open") != std::string::npos);
}

TEST_CASE("the canary share is kept and every move ends in any order of events")
{
    REQUIRE(
        rc::check("moves", [](std::vector<choice> const& choices, bool bad) {
            move_world m;
            start_move(m);
            auto const check_canary_share = [&] {
                bool const first_stage =
                    std::ranges::all_of(m.w.nodes, [](auto const& it) {
                        return it.config.moves.at("m").stage == 0;
                    });
                RC_ASSERT(!first_stage || m.to_new * 50 <= m.requests);
            };
            for (auto const& c : choices) {
                auto const which = static_cast<std::size_t>(c.which);
                auto const node = which % nodes;
                switch (c.what % 6) {
                case 0:
                case 1:
                    for (int i = 0; i < 60; ++i) {
                        serve(m, node, bad, false);
                        check_canary_share();
                    }
                    break;
                case 2:
                    deliver_message(m.w, which);
                    break;
                case 3:
                    take_append(m.w, which, which % 2 == 0);
                    break;
                case 4:
                    read_log(m.w, node);
                    break;
                default:
                    pass_time(m.w, std::chrono::milliseconds(which));
                }
            }
            // All faults end here; then the deadline passes.
            for (std::size_t i = 0; i < nodes; ++i)
                give(m.w, i, core::log_reachable{true});
            while (m.w.now < m.ends_at + 10s) {
                pass_time(m.w, 500ms);
                exchange(m);
            }
            for (std::size_t i = 0; i < nodes; ++i) {
                RC_ASSERT(static_cast<bool>(move_at(m, i).end));
                RC_ASSERT(move_at(m, i).end == move_at(m, 0).end);
                if (bad)
                    RC_ASSERT(*move_at(m, i).end == core::move_end::taken_back);
            }
        }));
}
