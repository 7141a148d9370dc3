// Leaving endpoints, news between nodes, links and configuration.
#include "support/choices.hpp"
#include "support/fabric.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

core::endpoints_listed list_endpoints(std::size_t count)
{
    core::endpoints_listed out;
    for (std::size_t i = 1; i <= count; ++i)
        out.entries.push_back(listed(i, "e" + std::to_string(i)));
    return out;
}

constexpr std::size_t nodes = 3;

// Links every pair of nodes and delivers the hellos and all messages after
// them.
world linked_world()
{
    auto w = make_world(nodes);
    link_all(w);
    deliver_all_messages(w);
    return w;
}

// Tells one node by one of two ways that endpoint r1 is leaving.
void report_leaving(world& w, std::size_t node, int kind)
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

TEST_CASE("an endpoint that is known to be leaving gets no new requests")
{
    REQUIRE(rc::check("leaving", [](std::vector<choice> const& choices) {
        auto w = linked_world();
        for (auto const& c : choices) {
            auto const node = static_cast<std::size_t>(c.which) % nodes;
            auto const before = w.all_dispatches.size();
            bool const known = knows(w, node);
            switch (c.what % 6) {
            case 0:
                report_leaving(w, node, c.which / 3);
                break;
            case 1: // an outdated list doesn't revoke the notice
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
        bool any_knows = false;
        for (std::size_t i = 0; i < nodes; ++i)
            any_knows = any_knows || knows(w, i);
        deliver_all_messages(w);
        for (std::size_t i = 0; i < nodes; ++i)
            RC_ASSERT(knows(w, i) == any_knows);
    }));
}

TEST_CASE("a new incarnation at the same address gets requests again")
{
    auto w = make_world(1);
    report_leaving(w, 0, 0);
    core::endpoint restarted = w.nodes[0].config.endpoints.at("r1").value;
    restarted.incarnation = "2";
    publish(w, restarted);
    read_log(w, 0);
    CHECK_FALSE(w.nodes[0].known_leaving.contains({"r1", "2"}));
    give(w, 0, core::instance_list{{{"r2", "1", true}}});
    ask_chat(w, 0);
    REQUIRE(w.dispatches.size() == 1);
    CHECK(w.dispatches[0].what.endpoint == "r1");
}

TEST_CASE("a leaving endpoint is still recognised after many reclaims")
{
    auto w = make_world(1);
    constexpr int reclaims = 10'000;
    for (int i = 0; i < reclaims; ++i)
        give(w, 0,
             core::instance_list{{{"gone" + std::to_string(i), "1", true}}});
    report_leaving(w, 0, 0);
    CHECK(knows(w, 0));
    CHECK(w.nodes[0].known_leaving.size() < reclaims);
}

TEST_CASE("assumed calls of other nodes delay no request")
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
    // Reported calls count, unlike assumed ones: a full runner gets nothing.
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

TEST_CASE("messages on a link before its hello are ignored")
{
    auto w = make_world(1);
    give(w, 0, core::peer_opened{2});
    core::news it;
    it.leaving.push_back({"r1", "1"});
    give(w, 0, core::peer_received{2, it});
    CHECK_FALSE(knows(w, 0));
}

TEST_CASE("a silent link is closed and its node is marked as down")
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
    constexpr std::size_t node_count = 330;
    constexpr std::size_t large_nodes = 15;
    constexpr std::size_t zones = 5;
    auto f = make_fabric(node_count, zones, large_nodes);
    run(f, 5s);
    auto const hubs = core::hub_count(node_count);
    auto const farthest = reach(f);
    REQUIRE(farthest);
    CHECK(*farthest <= 4); // from the first node over two hubs to any other
    std::size_t one_link = 0;
    std::size_t own_zone = 0;
    for (std::size_t i = 0; i < node_count; ++i) {
        auto const linked = linked_with(f, i);
        CHECK(linked.size() <= 2 * hubs + 30);
        if (linked.size() != 1)
            continue;
        one_link++;
        own_zone += *linked.begin() % zones == i % zones ? 1 : 0;
    }
    CHECK(one_link == node_count - hubs);
    CHECK(own_zone == one_link); // each zone has hubs among the large nodes
    // The nodes of the highest capacity are the hubs of the others.
    for (std::size_t i = 0; i < large_nodes; ++i)
        CHECK(linked_with(f, i).size() >= hubs - 1);
}

TEST_CASE("a small fleet forms a full mesh")
{
    auto f = make_fabric(8, 3);
    run(f, 3s);
    for (std::size_t i = 0; i < 8; ++i)
        CHECK(linked_with(f, i).size() == 7);
}

TEST_CASE("nodes whose hub dies choose another one and return when it restarts")
{
    auto f = make_fabric(60, 3, 9);
    run(f, 5s);
    REQUIRE(reach(f));
    kill(f, 0);
    kill(f, 3);
    run(f, 3s);
    for (std::size_t i = 1; i < 60; ++i)
        if (i != 3)
            CHECK_FALSE(linked_with(f, i).empty());
    restart(f, 0);
    restart(f, 3);
    run(f, 6s);
    CHECK(reach(f));
    CHECK(linked_with(f, 0).size() >= core::hub_count(60) - 1);
}

TEST_CASE("a node that moves to another hub is not reported as down")
{
    auto f = make_fabric(60, 3, 9);
    run(f, 5s);
    kill(f, 0);
    run(f, 3s);
    restart(f, 0);
    for (auto& it : f.others)
        it.clear();
    run(f, 6s); // nodes that prefer it move back
    auto const downs = [](auto const& effects) {
        return std::ranges::any_of(effects, [](auto const& it) {
            auto const* const e = std::get_if<core::log_event>(&it);
            return e != nullptr && e->number == 604 && e->detail == "down";
        });
    };
    CHECK(std::ranges::none_of(f.others, downs));
}

TEST_CASE("a fleet that was cut into single nodes reconnects")
{
    auto f = make_fabric(40, 3, 6);
    run(f, 5s);
    for (std::size_t i = 0; i < 40; ++i)
        f.cut.insert(i);
    run(f, 5s);
    f.cut.clear();
    run(f, 10s);
    CHECK(reach(f));
}

TEST_CASE("a node asks only one peer for a new configuration")
{
    auto f = make_fabric(8, 3);
    run(f, 3s);
    core::config_snapshot doc;
    doc.applied = 100;
    give(f, 0, core::config_published{doc});
    f.messages_sent = 0;
    deliver(f);
    run(f, 100ms);
    for (auto const& it : f.nodes)
        CHECK(it.config.applied == 100);
    // Per node one question, its answer, and the notice to all peers that the
    // node has the configuration.
    CHECK(f.messages_sent <= 8 * (2 + 2 * 7));
    // Many versions in quick succession cost only a few questions.
    f.messages_sent = 0;
    for (core::offset at = 101; at < 150; ++at) {
        doc.applied = at;
        give(f, 0, core::config_published{doc});
        deliver(f);
    }
    run(f, 500ms);
    for (auto const& it : f.nodes)
        CHECK(it.config.applied == 149);
}

TEST_CASE("a new link carries only what the peer does not know")
{
    constexpr std::size_t endpoints = 250;
    auto f = make_fabric(100, 5, 5);
    run(f, 5s);
    give(f, 0, list_endpoints(endpoints));
    run(f, 1s);
    std::size_t hub = 0;
    while (f.nodes[hub].hub_link != 0)
        hub++;
    auto const moved = linked_with(f, hub).size();
    SECTION("nodes whose hub was lost take another one")
    {
        f.entries_sent = 0;
        kill(f, hub);
        run(f, 5s);
        // One report of the loss travels over each link.
        CHECK(f.entries_sent < 4 * f.nodes.size());
        CHECK(f.entries_sent < moved * endpoints);
    }
    SECTION("a node that starts gets each entry once")
    {
        std::size_t const last = f.nodes.size() - 1;
        REQUIRE(f.nodes[last].hub_link != 0);
        kill(f, last);
        run(f, 5s);
        f.entries_sent = 0;
        restart(f, last);
        run(f, 5s);
        CHECK(f.nodes[last].endpoints.size() == endpoints);
        CHECK(f.entries_sent < endpoints + 5 * f.nodes.size());
    }
}

TEST_CASE(
    "nodes of a zone that lost its large hubs do not crowd on a small one")
{
    // All large nodes of "zone-0" are lost; a small one of it becomes a hub.
    auto f = make_fabric(295, 5, 15);
    run(f, 5s);
    for (std::size_t i = 0; i < 15; i += 5)
        kill(f, i);
    run(f, 5s);
    for (std::size_t i = 0; i < f.nodes.size(); ++i) {
        auto const& n = f.nodes[i];
        bool const is_small_hub = f.running[i] && i >= 15 && n.hub_link == 0;
        if (!is_small_hub)
            continue;
        // A hub has a link to each other one, and its nodes.
        auto const below = linked_with(f, i).size() - core::hub_count(292) + 1;
        CAPTURE(i);
        CHECK(below <= 292 / core::hub_count(292));
    }
}
