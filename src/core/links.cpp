// Selects the nodes that a node keeps links with.
//
// In a fleet of up to `max_full_mesh` nodes every pair is linked. In a larger
// fleet some nodes are hubs: all hubs are linked with each other, and each
// other node is linked with one hub. The hubs are the first live nodes by
// capacity and hash, so that all nodes select the same ones without
// coordination. Nodes choose a hub of their zone while its hubs have the
// capacity for them. While their views differ, a node that others use as their
// hub relays their messages even if it does not consider itself a hub.
#include "core/internal.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_full_mesh = 8; // nodes; up to here, all are linked
constexpr std::size_t min_hubs = 8;      // in a larger fleet
// In a fleet of about 300 nodes, a hub has about as many links to hubs as to
// other nodes.
constexpr std::size_t nodes_per_hub = 18;
// Least capacity of a zone's hubs for its nodes, as a fraction of what the
// nodes of all zones have on the mean.
constexpr double min_zone_hub_share = 0.5;
constexpr auto plan_period = 500ms;
// Of two hubs, the one with the lower name dials. The other hub dials after
// this time.
constexpr auto dial_grace = 1'500ms;
// Time before a node is dialled again. After a failed dial, the node counts as
// gone for this time.
constexpr auto redial_delay = 3s;

bool has_failed_dial(node_state const& s, std::string const& node)
{
    auto const it = s.dials.find(node);
    return it != s.dials.end() && s.now < it->second.not_before;
}

bool has_link(node_state const& s, std::string const& node)
{
    return std::ranges::any_of(
        s.peers, [&](auto const& it) { return it.second.node == node; });
}

using ranked_nodes = std::vector<member_news const*>;

// Returns the live nodes by descending capacity. A node without any link cannot
// know which nodes are alive, and assumes that all known nodes are.
ranked_nodes rank_nodes(node_state const& s)
{
    bool const isolated = s.peers.empty();
    ranked_nodes out;
    for (auto const& [name, it] : s.members) {
        bool const self = name == s.settings.name;
        bool const alive = (it.up || isolated) && !has_failed_dial(s, name);
        if (self || alive)
            out.push_back(&it);
    }
    std::ranges::sort(out, {}, [](auto const* it) {
        return std::tuple(-it->capacity, hash_of("hub/" + it->node), it->node);
    });
    return out;
}

void dial(node_state& s, member_news const& to, effects& out)
{
    auto& it = s.dials[to.node];
    bool const in_progress = it.tried_at != time_point{} &&
                             s.now < it.tried_at + duration(redial_delay);
    if (in_progress || s.now < it.not_before || to.peer_address.empty())
        return;
    it.tried_at = s.now;
    out.push_back(dial_peer{to.node, to.peer_address});
}

void link_hubs(node_state& s, ranked_nodes const& hubs, effects& out)
{
    for (auto const* it : hubs) {
        if (it->node == s.settings.name || has_link(s, it->node))
            continue;
        auto& known = s.dials[it->node];
        if (known.wanted_since == time_point{})
            known.wanted_since = s.now;
        bool const first = s.settings.name < it->node;
        if (first || s.now >= known.wanted_since + duration(dial_grace))
            dial(s, *it, out);
    }
}

int capacity_of(ranked_nodes const& nodes)
{
    return std::accumulate(
        nodes.begin(), nodes.end(), 0,
        [](int sum, auto const* it) { return sum + it->capacity; });
}

ranked_nodes in_own_zone(node_state const& s, ranked_nodes nodes)
{
    std::erase_if(nodes,
                  [&](auto const* it) { return it->zone != s.settings.zone; });
    return nodes;
}

// Returns the hubs of this node's zone, or all hubs if those of the zone have
// too little capacity: after the loss of its large nodes a zone may be left
// with one small hub.
ranked_nodes eligible_hubs(node_state const& s, ranked_nodes const& nodes,
                           ranked_nodes const& hubs)
{
    auto const of_zone = in_own_zone(s, hubs);
    double const nodes_share =
        static_cast<double>(in_own_zone(s, nodes).size()) /
        static_cast<double>(nodes.size());
    double const needed = min_zone_hub_share * nodes_share * capacity_of(hubs);
    return of_zone.empty() || capacity_of(of_zone) < needed ? hubs : of_zone;
}

// Selects a hub by hash, in proportion to the hubs' capacity (weighted
// rendezvous hashing).
member_news const* preferred_hub(node_state const& s, ranked_nodes const& hubs)
{
    auto const cost = [&](auto const* it) {
        constexpr double steps = 1ULL << 53;
        auto const hash = hash_of(s.settings.name + "/" + it->node);
        double const draw = (static_cast<double>(hash >> 11) + 0.5) / steps;
        return -std::log(draw) / std::max(1, it->capacity);
    };
    auto const it = std::ranges::min_element(hubs, {}, cost);
    return it == hubs.end() ? nullptr : *it;
}

// Closes a link so that neither end reports the other as down.
void close_link(node_state& s, std::uint64_t link, effects& out)
{
    auto const it = s.peers.find(link);
    if (it == s.peers.end() || it->second.closing)
        return;
    it->second.closing = true;
    send_last_heartbeat(s, it->second, out);
    out.push_back(close_peer{link});
}

void leave_hub(node_state& s, effects& out)
{
    if (s.hub_link != 0)
        close_link(s, s.hub_link, out);
    s.hub_link = 0;
}

bool is_silent(node_state const& s, std::string const& node)
{
    return std::ranges::any_of(s.peers, [&](auto const& it) {
        return it.second.node == node &&
               it.second.heard_at + s.settings.hub_timeout <= s.now;
    });
}

void link_to_hub(node_state& s, ranked_nodes const& nodes, ranked_nodes hubs,
                 effects& out)
{
    std::erase_if(hubs, [&](auto const* it) { return is_silent(s, it->node); });
    auto const* const hub = preferred_hub(s, eligible_hubs(s, nodes, hubs));
    if (hub == nullptr)
        return;
    auto const link = std::ranges::find_if(
        s.peers, [&](auto const& it) { return it.second.node == hub->node; });
    if (link == s.peers.end()) {
        dial(s, *hub, out);
        return;
    }
    if (link->first == s.hub_link)
        return;
    leave_hub(s, out);
    s.hub_link = link->first;
    emit_log_event(out, events::hub_chosen, hub->node, hub->zone,
                   "rank " + std::to_string(s.rank) + " of " +
                       std::to_string(s.members.size()));
}

// Closes links that neither end needs. Links to the subtree stay open.
void close_unneeded_links(node_state& s, effects& out)
{
    for (auto& [link, p] : s.peers) {
        bool const unneeded = s.hub_link != 0 && link != s.hub_link &&
                              !p.node.empty() &&
                              !p.last_heartbeat.receiver_is_hub &&
                              s.now >= p.hello_at + duration(dial_grace);
        if (unneeded)
            close_link(s, link, out);
    }
}

} // namespace

std::size_t hub_count(std::size_t nodes)
{
    if (nodes <= max_full_mesh)
        return nodes;
    return std::max(min_hubs, (nodes + nodes_per_hub - 1) / nodes_per_hub);
}

void plan_links(node_state& s, effects& out)
{
    if (s.now < s.links_planned_at + duration(plan_period))
        return;
    s.links_planned_at = s.now;
    s.members.try_emplace(
        s.settings.name,
        member_news{s.settings.name, s.settings.incarnation, 0, true,
                    s.settings.zone, s.settings.caller_address,
                    s.settings.peer_address, s.settings.capacity});
    auto const all = rank_nodes(s);
    auto const self = std::ranges::find(
        all, s.settings.name, [](auto const* it) { return it->node; });
    if (self == all.end() || s.leaving)
        return;
    s.rank = static_cast<std::size_t>(self - all.begin());
    auto const count = hub_count(all.size());
    ranked_nodes const hubs(
        all.begin(),
        all.begin() + static_cast<std::ptrdiff_t>(std::min(count, all.size())));
    if (s.rank < count) {
        leave_hub(s, out);
        link_hubs(s, hubs, out);
    }
    else {
        link_to_hub(s, all, hubs, out);
        close_unneeded_links(s, out);
    }
}

void on_nodes_listed(node_state& s, nodes_listed const& e)
{
    for (auto const& it : e.nodes) {
        auto& known = s.members[it.node];
        if (!known.node.empty())
            continue;
        known = it;
        known.up = true; // assumed until it is known to be down
        known.incarnation = 0;
    }
    s.listed_nodes = std::max(s.listed_nodes, s.members.size());
    s.links_planned_at = {};
}

void on_dial_failed(node_state& s, dial_failed const& e)
{
    auto& it = s.dials[e.node];
    it = {};
    it.not_before = s.now + duration(redial_delay);
    s.links_planned_at = {}; // plans again at once, without that node
}

void on_link_established(node_state& s, peer_state& p)
{
    s.dials.erase(p.node);
    p.hello_at = s.now;
    s.links_planned_at = {};
}

} // namespace papayahook::core
