// Nodes that link themselves: dials are carried out, messages arrive in the
// order of their link, nodes can be killed, started again, cut off and frozen.
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
    std::size_t a = 0; // dialled
    std::size_t b = 0;
};

struct fabric
{
    std::vector<core::node_state> nodes;
    std::vector<bool> running;
    std::set<std::size_t> cut;    // neither sends nor receives
    std::set<std::size_t> frozen; // does nothing
    core::time_point now{std::chrono::hours(1)};
    std::map<std::uint64_t, fabric_link> links;
    std::uint64_t next_link = 1;
    std::deque<std::tuple<std::size_t, std::uint64_t, core::peer_message>>
        messages; // to a node, on a link
    std::uint64_t messages_sent = 0;
    // Seen outside, by node.
    std::vector<core::follow_store> follows;
    std::vector<std::vector<core::effect>> others;
};

// Nodes "n0", "n1", ... in `zones` zones, all listed by one another. The first
// `large` of them have more capacity.
fabric make_fabric(std::size_t nodes, std::size_t zones, std::size_t large = 0);

void give(fabric& f, std::size_t node, decltype(core::event::what) what);
void deliver(fabric& f);
// Ticks all nodes each 50 ms and delivers what they send.
void run(fabric& f, std::chrono::milliseconds time);
void kill(fabric& f, std::size_t node);
void restart(fabric& f, std::size_t node);

// Nodes that a node has links with, after their hellos.
std::set<std::size_t> linked_with(fabric const& f, std::size_t node);
// Links to be passed from the first node to the farthest; nullopt: some node
// is not to be reached at all.
std::optional<int> reach(fabric const& f);

} // namespace papayahook::support
