// Leaving endpoints, news between nodes, links and duties.
#include "support/choices.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodes = 3;

// Every pair linked, hellos and what they carry delivered.
world linked_world()
{
    auto w = make_world(nodes);
    link_all(w);
    deliver_all_messages(w);
    return w;
}

// A sign that endpoint r1 is leaving reaches one node.
void give_sign(world& w, std::size_t node, int kind)
{
    if (kind % 2 == 0)
        give(w, node, core::instance_list{{{"r1", "1", true}}});
    else
        give(w, node, core::endpoint_report{"r1", "1", true, 0, 0});
}

bool knows(world const& w, std::size_t node)
{
    return w.nodes[node].known_leaving.contains({"r1", "1"});
}

} // namespace

TEST_CASE("an endpoint known to be leaving gets no new work")
{
    REQUIRE(rc::check("leaving", [](std::vector<choice> const& choices) {
        auto w = linked_world();
        for (auto const& c : choices) {
            auto const node = static_cast<std::size_t>(c.which) % nodes;
            auto const before = w.all_dispatches.size();
            bool const known = knows(w, node);
            switch (c.what % 6) {
            case 0:
                give_sign(w, node, c.which / 3);
                break;
            case 1: // the lagging list brings nothing back
                give(w, node, core::instance_list{{{"r1", "1", false}}});
                give(w, node, core::endpoint_report{"r1", "1", false, 0, 0});
                break;
            case 2:
                deliver_message(w, static_cast<std::size_t>(c.which));
                break;
            case 3:
                pass_time(w, 100ms);
                break;
            default:
                ask_chat(w, node);
            }
            for (auto i = before; known && i < w.all_dispatches.size(); ++i)
                if (w.all_dispatches[i].first == node)
                    RC_ASSERT(w.all_dispatches[i].second.endpoint != "r1");
            RC_ASSERT(!known || knows(w, node));
        }
        bool any = false;
        for (std::size_t i = 0; i < nodes; ++i)
            any = any || knows(w, i);
        deliver_all_messages(w);
        for (std::size_t i = 0; i < nodes; ++i)
            RC_ASSERT(knows(w, i) == any);
    }));
}

TEST_CASE("the same address with a new incarnation gets work again")
{
    auto w = make_world(1);
    give_sign(w, 0, 0);
    core::endpoint again = w.nodes[0].config.endpoints.at("r1").value;
    again.incarnation = "2";
    publish(w, again);
    read_log(w, 0);
    CHECK_FALSE(w.nodes[0].known_leaving.contains({"r1", "2"}));
    give(w, 0, core::instance_list{{{"r2", "1", true}}});
    ask_chat(w, 0);
    REQUIRE(w.dispatches.size() == 1);
    CHECK(w.dispatches[0].what.endpoint == "r1");
}

TEST_CASE("after many reclaims a leaving endpoint is still believed")
{
    auto w = make_world(1);
    constexpr int reclaims = 10'000;
    for (int i = 0; i < reclaims; ++i)
        give(w, 0,
             core::instance_list{{{"gone" + std::to_string(i), "1", true}}});
    give_sign(w, 0, 0);
    CHECK(knows(w, 0));
    CHECK(w.nodes[0].known_leaving.size() < reclaims);
}

TEST_CASE("what other nodes may be sending holds no request back")
{
    auto w = make_world(1);
    for (int i = 2; i <= 330; ++i) {
        auto& it = w.nodes[0].members["n" + std::to_string(i)];
        it.node = "n" + std::to_string(i);
        it.up = true;
    }
    for (int i = 0; i < 8; ++i)
        ask_chat(w, 0);
    CHECK(w.dispatches.size() == 8);
    // A report is no guess: a full runner gets nothing.
    give(w, 0, core::endpoint_report{"r1", "1", false, 100, 0});
    ask_chat(w, 0);
    REQUIRE(w.dispatches.size() == 9);
    CHECK(w.dispatches.back().what.endpoint == "r2");
}

TEST_CASE("a peer of another protocol version is refused")
{
    auto w = make_world(1);
    give(w, 0, core::peer_opened{2});
    core::hello it;
    it.protocol = core::protocol_version + 1;
    it.node = "n2";
    core::effects out;
    core::reduce(w.nodes[0], {w.now, core::peer_received{2, it}}, out);
    CHECK(std::ranges::any_of(out, [](auto const& e) {
        return std::holds_alternative<core::close_peer>(e);
    }));
}

TEST_CASE("nothing counts on a link before its hello")
{
    auto w = make_world(1);
    give(w, 0, core::peer_opened{2});
    core::news it;
    it.leaving.push_back({"r1", "1"});
    give(w, 0, core::peer_received{2, it});
    CHECK_FALSE(knows(w, 0));
}

TEST_CASE("a silent link is closed and its node is said to be down")
{
    auto w = linked_world();
    w.messages.clear();
    for (int i = 0; i < 50; ++i) {
        pass_time(w, 100ms);
        std::erase_if(w.messages, [](auto const& it) { return it.node == 2; });
        deliver_all_messages(w);
    }
    CHECK_FALSE(w.nodes[0].members.at("n3").up);
    CHECK(w.nodes[0].members.at("n2").up);
    CHECK(w.nodes[0].peers.size() == 1);
}

TEST_CASE("the links of a large fleet form one connected graph")
{
    constexpr int count = 330;
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i)
        names.push_back("n" + std::to_string(i));
    std::map<std::string, std::set<std::string>> graph;
    for (auto const& self : names) {
        auto others = names;
        std::erase(others, self);
        auto const dialled = core::links_to_dial(self, others, 6);
        CHECK(dialled.size() <= 3);
        for (auto const& it : dialled) {
            graph[self].insert(it);
            graph[it].insert(self);
        }
    }
    std::map<std::string, int> hops{{names[0], 0}};
    std::deque<std::string> open{names[0]};
    int farthest = 0;
    while (!open.empty()) {
        auto const at = open.front();
        open.pop_front();
        for (auto const& next : graph[at])
            if (hops.emplace(next, hops[at] + 1).second)
                open.push_back(next);
        farthest = std::max(farthest, hops[at]);
    }
    CHECK(hops.size() == names.size());
    CHECK(farthest <= 8); // 8 hops of less than a second each: target 8 s
}
