// Simulates a fleet of nodes that dial one another. Messages on a link arrive
// in order. Nodes can be killed, restarted, cut off and frozen.
#pragma once

#include "papayahook/papayahook.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayahook::support {

struct fabric_link
{
    std::size_t a = 0; // the node that dialled
    std::size_t b = 0;
};

struct fabric_message
{
    std::size_t to = 0;
    std::uint64_t link = 0;
    core::peer_message message;
    core::time_point due{};
};

struct fabric
{
    std::vector<core::node_state> nodes;
    std::vector<bool> running;
    std::set<std::size_t> cut;    // nodes that neither send nor receive
    std::set<std::size_t> frozen; // nodes that handle no events
    // Nodes that run a landing whose heartbeats state no era of the store.
    std::set<std::size_t> without_eras;
    // Delay of messages on their way to a node.
    std::map<std::size_t, std::chrono::milliseconds> delays;
    core::time_point now{std::chrono::hours(1)};
    std::map<std::uint64_t, fabric_link> links;
    std::uint64_t next_link = 1;
    std::deque<fabric_message> messages;
    std::uint64_t messages_sent = 0;
    // Nodes and endpoints in the news that were sent.
    std::uint64_t entries_sent = 0;
    // Effects that the nodes produced, by node.
    std::vector<core::follow_store> follows;       // the last one
    std::vector<std::vector<core::effect>> others; // not carried out here
};

// Makes nodes "n0", "n1", ... in `zones` zones, which are all listed to one
// another. The first `large` nodes have more capacity.
fabric make_fabric(std::size_t nodes, std::size_t zones, std::size_t large = 0);

void give(fabric& f, std::size_t node, decltype(core::event::body) what);
void deliver(fabric& f);
// Ticks all nodes every 50 ms and delivers their messages.
void run(fabric& f, std::chrono::milliseconds time);
void kill(fabric& f, std::size_t node);
void restart(fabric& f, std::size_t node);

// A configuration with the route "chat" to the pool "model", open to anybody.
core::config_snapshot chat_configuration(core::offset applied);

// Returns the nodes that a node has links with, once their hellos have arrived.
std::set<std::size_t> linked_with(fabric const& f, std::size_t node);
// Returns the number of links between the first node and the farthest node, or
// nullopt if a node cannot be reached.
std::optional<int> reach(fabric const& f);

} // namespace papayahook::support
