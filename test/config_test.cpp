// Configuration: the first valid record wins, and no change is ever reverted.
#include "support/choices.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodes = 3;

core::route route_of(int version)
{
    core::route r;
    r.name = "chat";
    r.pool = "lm";
    r.version = "v" + std::to_string(version);
    return r;
}

// Publishes a change as an operator who saw the configuration of `node`.
void publish_change(world& w, std::size_t node, int version)
{
    core::config_record rec;
    rec.id = "op" + std::to_string(w.log["config"].size());
    rec.body = route_of(version);
    rec.replaces = core::revision_in_force(w.nodes[node].config, rec.body);
    put(w, "config", rec);
}

// Reads a part of the new entries, or an old part again.
void read_part(world& w, std::size_t node, std::size_t which)
{
    auto const applied = w.nodes[node].config.applied;
    auto const after =
        which % 3 == 0 ? applied - std::min<core::offset>(applied, which % 7)
                       : applied;
    auto read = read_of(w, "config", after);
    read.end -= std::min<core::offset>(read.end, which % 5);
    auto const keep = which % 4 + 1;
    if (read.entries.size() > keep)
        read.entries.resize(keep);
    give(w, node, read);
}

// Returns what is in force for routing, to compare nodes.
std::map<std::string, std::pair<std::string, core::offset>>
in_force(core::node_state const& s)
{
    std::map<std::string, std::pair<std::string, core::offset>> out;
    for (auto const& [name, it] : s.config.routes)
        out["route/" + name] = {it.value.version, it.revision};
    for (auto const& [name, it] : s.config.endpoints)
        out["endpoint/" + name] = {it.value.version, it.revision};
    for (auto const& [name, it] : s.config.organisations)
        out["organisation/" + name] = {"", it.revision};
    return out;
}

} // namespace

TEST_CASE("nodes at the same offset agree, and no node goes back")
{
    REQUIRE(rc::check("config", [](std::vector<choice> const& choices) {
        auto w = make_world(nodes);
        link_all(w);
        std::map<core::offset, decltype(in_force(w.nodes[0]))> seen;
        std::vector<core::offset> highest(nodes);
        for (auto const& c : choices) {
            auto const which = static_cast<std::size_t>(c.which);
            auto const node = which % nodes;
            switch (c.what % 8) {
            case 0:
            case 1:
                publish_change(w, node, c.which % 5);
                break;
            case 2:
            case 3:
                read_part(w, node, which / 3);
                break;
            case 4:
                deliver_message(w, which);
                break;
            case 5:
                pass_time(w, 400ms);
                break;
            case 6:
                if (!w.messages.empty())
                    w.messages.erase(w.messages.begin());
                break;
            default:
                if (which % 5 == 0) {
                    restart(w, node);
                    highest[node] = 0;
                }
            }
            for (std::size_t i = 0; i < nodes; ++i) {
                auto const& s = w.nodes[i];
                RC_ASSERT(s.config.applied >= highest[i]);
                highest[i] = s.config.applied;
                auto const now = in_force(s);
                auto const first = seen.emplace(s.config.applied, now).first;
                RC_ASSERT(first->second == now);
            }
        }
    }));
}

TEST_CASE(
    "of two concurrent changes exactly one wins, and the other gets the reason")
{
    auto w = make_world(1);
    publish_change(w, 0, 2);
    publish_change(w, 0, 3);
    read_log(w, 0);
    auto const& verdicts = w.nodes[0].config.verdicts;
    REQUIRE(verdicts.size() >= 2);
    auto const& first = verdicts[verdicts.size() - 2];
    auto const& second = verdicts.back();
    CHECK(first.accepted);
    CHECK_FALSE(second.accepted);
    CHECK(second.reason.find("in force is") != std::string::npos);
    CHECK(w.nodes[0].config.routes.at("chat").value.version == "v2");
}

TEST_CASE("a node that starts while the log is down gets the state from a peer")
{
    auto w = make_world(nodes);
    restart(w, 0);
    give(w, 0, core::log_reachable{false});
    link_all(w);
    pass_time(w, 1s);
    deliver_all_messages(w);
    CHECK(in_force(w.nodes[0]) == in_force(w.nodes[1]));
    CHECK(w.nodes[0].config.applied == w.nodes[1].config.applied);
}

TEST_CASE("a checkpoint holds what retention removed from the log")
{
    auto w = make_world(2);
    auto& settings = w.nodes[1].settings;
    settings.checkpoint_every = 4;
    publish_change(w, 1, 2);
    read_log(w, 1);
    pass_time(w, 50ms);
    REQUIRE_FALSE(w.appends.empty());
    take_append(w, 0, true); // appends the checkpoint of node 2
    publish_change(w, 1, 3);
    read_log(w, 1);
    publish_change(w, 1, 4);
    read_log(w, 1);
    // Retention keeps the log from the checkpoint on.
    w.log_start["config"] = w.log["config"].size() - 2;
    restart(w, 0);
    read_log(w, 0);
    read_log(w, 0);
    CHECK(in_force(w.nodes[0]) == in_force(w.nodes[1]));
}

TEST_CASE("every node refuses an invalid record for the same reason")
{
    auto w = make_world(2);
    core::endpoint bad;
    bad.name = "x";
    bad.pool = "lm";
    bad.address = "no port";
    publish(w, bad);
    for (std::size_t i = 0; i < 2; ++i) {
        read_log(w, i);
        CHECK_FALSE(w.nodes[i].config.endpoints.contains("x"));
        CHECK(w.nodes[i].config.verdicts.back().reason.starts_with("address"));
    }
}
