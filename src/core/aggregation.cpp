// Aggregates figures over all nodes: demand and spending of organisations,
// usage, pool work, and calls in flight at endpoints.
//
// Each node sends its figures to its hub, each hub sends them to all other
// hubs, and a hub sends them down to the nodes of its subtree. Other hubs get
// the aggregate of the hub and its subtree. A node of the subtree gets the
// aggregate of all other nodes, so that no figure returns to its origin.
// Counters go up as increments since the last heartbeat, which the hub adds to
// its own totals: a node that moves to another hub is neither counted twice nor
// lost. A link that breaks loses at most the heartbeats in flight on it.
#include "core/internal.hpp"

#include <algorithm>
#include <utility>

namespace papayahook::core {

namespace {

// Weight of each heartbeat's sample in the moving average of remote calls.
constexpr double remote_calls_smoothing = 0.3;
constexpr double min_mean_calls = 0.01; // lower averages are dropped as zero

// Place of a peer in the topology, as seen from this node.
enum class relation
{
    peer_hub,  // this node and the peer are both hubs
    own_hub,   // the hub of this node
    subtree,   // uses this node as its hub
    unrelated, // none of these; its figures arrive through the hub
};

relation relation_to(node_state const& s, peer_state const& p)
{
    if (p.link == s.hub_link)
        return relation::own_hub;
    if (p.last_heartbeat.receiver_is_hub)
        return relation::subtree;
    return s.hub_link == 0 ? relation::peer_hub : relation::unrelated;
}

using amounts = std::map<std::string, double>;

void add(amounts& to, amounts const& from, double sign = 1)
{
    for (auto const& [name, it] : from)
        to[name] += sign * it;
}

void add(std::map<std::string, pool_work>& to,
         std::map<std::string, pool_work> const& from)
{
    for (auto const& [name, it] : from) {
        to[name].prefill += it.prefill;
        to[name].decode += it.decode;
    }
}

void add(usage_counts& to, usage_counts const& from)
{
    for (auto const& [window, counts] : from)
        for (auto const& [name, n] : counts)
            to[window][name] += n;
}

using load_table = std::unordered_map<std::uint32_t, endpoint_load>;

void add(load_table& to, endpoint_loads const& from, int sign)
{
    for (auto const& [key, it] : from) {
        auto& sum = to[key];
        sum.calls = std::max(0, sum.calls + sign * it.calls);
        sum.tokens = std::max(0, sum.tokens + sign * it.tokens);
    }
}

endpoint_loads nonzero_loads(load_table const& from)
{
    endpoint_loads out;
    std::ranges::copy_if(from, std::back_inserter(out), [](auto const& it) {
        return it.second.calls > 0 || it.second.tokens > 0;
    });
    std::ranges::sort(out, {}, &endpoint_loads::value_type::first);
    return out;
}

load_table own_loads(node_state const& s)
{
    load_table out;
    for (auto const& [name, it] : s.endpoints)
        if (it.in_flight > 0)
            out[endpoint_key(name)] = {it.in_flight, it.prefill_tokens};
    return out;
}

template <class F>
void for_each_in_subtree(node_state const& s, F visit)
{
    for (auto const& [link, p] : s.peers)
        if (relation_to(s, p) == relation::subtree)
            visit(p);
}

// Fields that are sent on every link; contains no aggregated figures.
heartbeat base_heartbeat(node_state const& s)
{
    heartbeat out;
    out.config = s.config.applied;
    out.config_version = s.config.version;
    out.in_flight = static_cast<int>(s.calls.size());
    out.leaving = s.leaving;
    out.nodes = 0;
    out.listed_nodes = s.listed_nodes;
    out.store_age = store_age(s);
    out.era = s.era;
    out.sent_at = s.now;
    return out;
}

// Aggregates this node and its subtree, for the hubs that are linked.
heartbeat aggregate_subtree(node_state& s)
{
    auto out = base_heartbeat(s);
    out.nodes = 1;
    publish_demand(s, out);
    out.work = own_work(s);
    auto calls = own_loads(s);
    for_each_in_subtree(s, [&](auto const& p) {
        out.nodes += p.last_heartbeat.nodes;
        add(out.demand, p.last_heartbeat.demand);
        add(out.work, p.last_heartbeat.work);
        add(calls, p.last_heartbeat.calls, 1);
    });
    out.calls = nonzero_loads(calls);
    return out;
}

// Aggregates all nodes, for the subtree. subtract_peer() removes the figures
// of the receiver.
heartbeat aggregate_all(node_state& s, heartbeat const& subtree)
{
    auto out = base_heartbeat(s);
    out.nodes = subtree.nodes;
    out.demand = subtree.demand;
    auto calls = s.remote_loads;
    for (auto const& [key, it] : own_loads(s)) {
        calls[key].calls += it.calls;
        calls[key].tokens += it.tokens;
    }
    for (auto const& [link, p] : s.peers) {
        if (relation_to(s, p) != relation::peer_hub)
            continue;
        out.nodes += p.last_heartbeat.nodes;
        add(out.demand, p.last_heartbeat.demand);
    }
    for (auto const& [name, q] : s.quotas)
        out.spent[name] = q.total_spent;
    out.calls = nonzero_loads(calls);
    return out;
}

heartbeat subtract_peer(heartbeat all, peer_state const& p)
{
    all.nodes -= std::min(all.nodes, p.last_heartbeat.nodes);
    add(all.demand, p.last_heartbeat.demand, -1);
    add(all.spent, p.subtree_spent, -1);
    load_table peer_loads;
    add(peer_loads, p.last_heartbeat.calls, 1);
    for (auto& [key, it] : all.calls) {
        auto const subtracted = peer_loads.find(key);
        if (subtracted == peer_loads.end())
            continue;
        it.calls = std::max(0, it.calls - subtracted->second.calls);
        it.tokens = std::max(0, it.tokens - subtracted->second.tokens);
    }
    std::erase_if(all.calls, [](auto const& it) {
        return it.second.calls == 0 && it.second.tokens == 0;
    });
    return all;
}

// Counters: totals between hubs, increments from a node to its hub.
void add_counters(node_state& s, heartbeat& subtree)
{
    subtree.receiver_is_hub = s.hub_link != 0;
    for (auto& [name, q] : s.quotas) {
        q.published_spent += subtree.receiver_is_hub ? 0 : q.unpublished_spent;
        subtree.spent[name] =
            subtree.receiver_is_hub ? q.unpublished_spent : q.published_spent;
        q.unpublished_spent = 0;
    }
    subtree.usage = subtree.receiver_is_hub
                        ? std::exchange(s.duties.unpublished_usage, {})
                        : subtree_usage(s);
}

void send_heartbeat(node_state& s, peer_state const& p, heartbeat it,
                    effects& out)
{
    it.echoed_at = p.last_heartbeat.sent_at;
    send_to_peer(s, p.link, std::move(it), out);
}

} // namespace

std::uint32_t endpoint_key(std::string_view endpoint)
{
    return static_cast<std::uint32_t>(hash_of(endpoint));
}

// Updates the moving averages once per heartbeat.
void sample_remote_calls(node_state& s)
{
    for (auto& [key, mean] : s.remote_call_means)
        mean *= 1 - remote_calls_smoothing;
    for (auto const& [key, it] : s.remote_loads)
        s.remote_call_means[key] += remote_calls_smoothing * it.calls;
    std::erase_if(s.remote_call_means,
                  [](auto const& it) { return it.second < min_mean_calls; });
}

double mean_remote_calls(node_state const& s, std::string const& endpoint)
{
    auto const it = s.remote_call_means.find(endpoint_key(endpoint));
    return it == s.remote_call_means.end() ? 0 : it->second;
}

endpoint_load remote_load(node_state const& s, std::string const& endpoint)
{
    auto const it = s.remote_loads.find(endpoint_key(endpoint));
    return it == s.remote_loads.end() ? endpoint_load{} : it->second;
}

bool covers_most_nodes(node_state const& s)
{
    std::size_t covered = 1;
    for (auto const& [link, p] : s.peers)
        covered += nodes_covered(s, p);
    return 4 * covered >= 3 * static_cast<std::size_t>(live_members(s));
}

std::size_t nodes_covered(node_state const& s, peer_state const& p)
{
    return relation_to(s, p) == relation::unrelated ? 0
                                                    : p.last_heartbeat.nodes;
}

void send_heartbeats(node_state& s, effects& out)
{
    if (s.now < s.last_heartbeat_at + s.settings.heartbeat_period)
        return;
    s.last_heartbeat_at = s.now;
    sample_remote_calls(s);
    auto subtree = aggregate_subtree(s);
    // Increments stay unreported while no hub is linked: totals that are added
    // up now would reach no other node.
    bool const has_receiver = std::ranges::any_of(s.peers, [&](auto const& it) {
        auto const to = relation_to(s, it.second);
        return !it.second.node.empty() &&
               (to == relation::peer_hub || to == relation::own_hub);
    });
    if (has_receiver)
        add_counters(s, subtree);
    std::optional<heartbeat> all;
    for (auto const& [link, p] : s.peers) {
        if (p.node.empty())
            continue;
        switch (relation_to(s, p)) {
        case relation::peer_hub:
        case relation::own_hub:
            send_heartbeat(s, p, subtree, out);
            break;
        case relation::subtree:
            if (!all)
                all = aggregate_all(s, subtree);
            send_heartbeat(s, p, subtract_peer(*all, p), out);
            break;
        case relation::unrelated:
            send_heartbeat(s, p, base_heartbeat(s), out);
        }
    }
    news counts;
    counts.counts = own_counts(s);
    flood_news(s, counts, 0, out);
}

void send_first_heartbeat(node_state& s, peer_state const& p, effects& out)
{
    auto it = base_heartbeat(s);
    it.known = digest_news(s);
    send_to_peer(s, p.link, std::move(it), out);
}

void send_last_heartbeat(node_state& s, peer_state const& p, effects& out)
{
    auto it = base_heartbeat(s);
    it.closing_link = true;
    send_to_peer(s, p.link, std::move(it), out);
}

void replace_figures(node_state& s, peer_state& p, heartbeat e)
{
    bool const is_unrelated_hub =
        relation_to(s, p) == relation::unrelated && !e.receiver_is_hub;
    if (is_unrelated_hub || e.nodes == 0) {
        e.nodes = 0;
        e.demand.clear();
        e.spent.clear();
        e.work.clear();
        e.calls.clear();
        e.usage.clear();
    }
    add(s.remote_loads, p.last_heartbeat.calls, -1);
    add(s.remote_loads, e.calls, 1);
    std::erase_if(s.remote_loads, [](auto const& it) {
        return it.second.calls == 0 && it.second.tokens == 0;
    });
    if (e.nodes != 0) {
        apply_peer_spending(s, p, e);
        learn_usage(s, p, e);
    }
    s.listed_nodes = std::max(s.listed_nodes, e.listed_nodes);
    p.last_heartbeat = std::move(e);
}

void remove_figures(node_state& s, peer_state const& p)
{
    add(s.remote_loads, p.last_heartbeat.calls, -1);
}

void add_usage(usage_counts& to, usage_counts const& from)
{
    add(to, from);
}

} // namespace papayahook::core
