// What endpoints say of themselves in their answers: that they are leaving, or
// that they want no requests for a time.
#include "support/choices.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

using incarnation_key = std::pair<std::string, std::string>;

core::answer_head refused(core::call_id call, std::chrono::milliseconds pause)
{
    core::answer_head out;
    out.call = call;
    out.status = 503;
    out.not_run = true;
    out.pause = pause;
    return out;
}

core::answer_head answer(core::call_id call, bool leaving)
{
    core::answer_head out;
    out.call = call;
    out.status = 200;
    out.content_type = "text/event-stream";
    out.leaving = leaving;
    return out;
}

void restart_endpoint(world& w, std::string const& name)
{
    auto it = w.nodes[0].config.endpoints.at(name).value;
    it.incarnation = std::to_string(std::stoi(it.incarnation) + 1);
    publish(w, it);
    for (std::size_t i = 0; i < w.nodes.size(); ++i)
        read_log(w, i);
}

std::ptrdiff_t calls_at(world const& w, std::string const& endpoint)
{
    return std::ranges::count_if(w.dispatches, [&](auto const& it) {
        return it.what.endpoint == endpoint;
    });
}

// What nodes have passed on to callers, as seen from outside.
struct observer
{
    // By node; the incarnations that said they were leaving.
    std::map<std::size_t, std::set<incarnation_key>> left;
    // By node; the end of the pause that an incarnation asked it for.
    std::map<std::size_t, std::map<incarnation_key, core::time_point>> pauses;
};

void answer_call(world& w, observer& o, choice const& c)
{
    if (w.dispatches.empty())
        return;
    auto const at = static_cast<std::size_t>(c.which) % w.dispatches.size();
    auto const it = w.dispatches[at];
    w.dispatches.erase(w.dispatches.begin() + static_cast<std::ptrdiff_t>(at));
    if (!w.nodes[it.node].calls.contains(it.what.call))
        return; // the node has closed the connection
    incarnation_key const key{it.what.endpoint, it.what.incarnation};
    auto const pause = 100ms * (1 + c.which % 30);
    switch (c.which % 4) {
    case 0:
        o.left[it.node].insert(key);
        give(w, it.node, answer(it.what.call, true));
        break;
    case 1: {
        auto& end = o.pauses[it.node][key];
        end = std::max(end, w.now + pause);
        give(w, it.node, refused(it.what.call, pause));
        break;
    }
    case 2:
        give(w, it.node,
             core::call_failed{it.what.call, core::step::receive, true, "cut"});
        break;
    default:
        give(w, it.node, answer(it.what.call, false));
        give(w, it.node, core::answer_chunk{it.what.call, 0, "a"});
        give(w, it.node, core::answer_end{it.what.call, 1});
    }
}

} // namespace

TEST_CASE("no request goes to an endpoint that has said that it leaves, or "
          "before the end of a pause")
{
    constexpr std::size_t nodes = 2;
    REQUIRE(rc::check("signals", [](std::vector<choice> const& choices) {
        auto w = make_world(nodes);
        link_all(w);
        observer o;
        for (auto const& c : choices) {
            auto const before = w.all_dispatches.size();
            auto const node = static_cast<std::size_t>(c.which) % nodes;
            // An answer may itself cause a dispatch: what it says holds at
            // once.
            switch (c.what % 6) {
            case 0:
            case 1:
                ask_chat(w, node);
                break;
            case 2:
                answer_call(w, o, c);
                break;
            case 3:
                pass_time(w, 50ms * (c.which % 20));
                break;
            case 4:
                deliver_message(w, static_cast<std::size_t>(c.which));
                break;
            default:
                restart_endpoint(w, c.which % 2 == 0 ? "r1" : "r2");
            }
            for (auto i = before; i < w.all_dispatches.size(); ++i) {
                auto const& [sender, it] = w.all_dispatches[i];
                incarnation_key const key{it.endpoint, it.incarnation};
                RC_ASSERT(!o.left[sender].contains(key));
                RC_ASSERT(o.pauses[sender][key] <= w.now);
            }
        }
    }));
}

TEST_CASE("a late answer of an earlier incarnation says nothing about the "
          "present one")
{
    auto w = make_world(1);
    give(w, 0, core::instance_list{{{"r2", "1", true}}});
    bool const pauses = GENERATE(false, true);
    ask_chat(w, 0);
    auto const first = w.dispatches.at(0).what;
    REQUIRE(first.endpoint == "r1");
    w.dispatches.clear();
    restart_endpoint(w, "r1");
    give(w, 0, pauses ? refused(first.call, 3s) : answer(first.call, true));
    ask_chat(w, 0);
    CHECK(calls_at(w, "r1") > 0);
    CHECK(w.nodes[0].known_leaving.contains({"r1", "1"}) == !pauses);
}

TEST_CASE("an answer of an endpoint that is no longer configured is handled")
{
    auto w = make_world(1);
    auto const id = ask_chat(w, 0);
    auto const first = w.dispatches.at(0).what;
    w.nodes[0].config.endpoints.erase(first.endpoint);
    give(w, 0, answer(first.call, true));
    give(w, 0, core::answer_chunk{first.call, 0, token(id, 0)});
    give(w, 0, core::answer_end{first.call, 1});
    CHECK(w.ends.at(id).whole);
}

TEST_CASE("a caller is not asked back before an endpoint takes requests again")
{
    auto w = make_world(1);
    // The first two calls are rejected; no third one is allowed.
    w.nodes[0].settings.max_attempts = 2;
    auto const id = ask_chat(w, 0);
    for (auto const pause : {7s, 4s}) {
        auto const call = w.dispatches.at(0).what.call;
        w.dispatches.clear();
        give(w, 0, refused(call, pause));
    }
    auto const& r = w.nodes[0].requests.at(id);
    REQUIRE(r.failure);
    CHECK(r.failure->known_outcome == core::outcome::not_run);
    CHECK(r.failure->retry_after == 4s);
}

TEST_CASE("a request that arrives while all endpoints pause beyond its "
          "deadline is refused at once")
{
    auto w = make_world(1);
    for (auto const* name : {"d1", "d2"})
        w.nodes[0].endpoints[name].paused_until = w.now + 7s;
    core::request_arrived asked; // "orders" has a deadline of 5 s
    asked.id = "n1.1.order";
    asked.key_digest = "key";
    asked.route = "orders";
    give(w, 0, asked);
    auto const& r = w.nodes[0].requests.at(asked.id);
    REQUIRE(r.failure);
    CHECK(r.failure->retry_after == 7s);
}

TEST_CASE("endpoints that leave are remembered as long as they are configured")
{
    auto w = make_world(1);
    ask_chat(w, 0);
    auto const first = w.dispatches.at(0).what;
    give(w, 0, answer(first.call, true));
    constexpr int others = 10'000; // more than a node remembers
    for (int i = 0; i < others; ++i)
        give(w, 0,
             core::instance_list{{{"gone" + std::to_string(i), "1", true}}});
    CHECK(w.nodes[0].known_leaving.size() < others);
    w.dispatches.clear();
    for (int i = 0; i < 20; ++i)
        ask_chat(w, 0);
    CHECK(calls_at(w, first.endpoint) == 0);
}
