// Sums over all nodes: demand and spending of organisations, usage, work, and
// calls open at endpoints.
//
// Figures go up from a node to its hub, from each hub to each other one, and
// down from a hub to the nodes below it. A hub tells other hubs what it and the
// nodes below it have, and tells a node below what all others have, so that no
// figure comes back to where it came from. What adds up over time goes up as
// what is new since the last heartbeat and stands in the hub's own totals from
// then on: a node that moves to another hub is neither counted twice nor lost.
// Lost are at most the heartbeats that were on a link when it broke.
#include "core/internal.hpp"

#include <algorithm>
#include <utility>

namespace papayahook::core {

namespace {

constexpr double told_step = 0.3;   // of the mean, by each heartbeat
constexpr double told_least = 0.01; // calls: as good as none

// How a peer stands to this node.
enum class standing
{
    equal, // a hub, as this node is
    above, // the hub of this node
    below, // takes this node for its hub
    apart, // neither; its figures come by the hub
};

standing standing_of(node_state const& s, peer_state const& p)
{
    if (p.link == s.hub)
        return standing::above;
    if (p.last.under)
        return standing::below;
    return s.hub == 0 ? standing::equal : standing::apart;
}

using figures = std::map<std::string, double>;

void add(figures& to, figures const& from, double sign = 1)
{
    for (auto const& [name, it] : from)
        to[name] += sign * it;
}

void add(std::map<std::string, pool_work>& to,
         std::map<std::string, pool_work> const& from)
{
    for (auto const& [name, it] : from) {
        to[name].reading += it.reading;
        to[name].writing += it.writing;
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

endpoint_loads sorted(load_table const& from)
{
    endpoint_loads out;
    std::ranges::copy_if(from, std::back_inserter(out), [](auto const& it) {
        return it.second.calls > 0 || it.second.tokens > 0;
    });
    std::ranges::sort(out, {}, &endpoint_loads::value_type::first);
    return out;
}

load_table own_calls(node_state const& s)
{
    load_table out;
    for (auto const& [name, it] : s.endpoints)
        if (it.in_flight > 0)
            out[endpoint_key(name)] = {it.in_flight, it.tokens};
    return out;
}

template <class F>
void for_each_below(node_state const& s, F act)
{
    for (auto const& [link, p] : s.peers)
        if (standing_of(s, p) == standing::below)
            act(p);
}

// What every link is told.
heartbeat basic_beat(node_state const& s)
{
    heartbeat out;
    out.config = s.config.applied;
    out.in_flight = static_cast<int>(s.calls.size());
    out.leaving = s.leaving;
    out.nodes = 0;
    out.listed_nodes = s.listed_nodes;
    out.store_age =
        std::chrono::ceil<std::chrono::milliseconds>(s.now - s.store_as_of);
    return out;
}

// Of this node and those below it, for hubs.
heartbeat sum_up(node_state& s)
{
    auto out = basic_beat(s);
    out.nodes = 1;
    tell_quotas(s, out);
    out.work = own_work(s);
    auto calls = own_calls(s);
    for_each_below(s, [&](auto const& p) {
        out.nodes += p.last.nodes;
        add(out.demand, p.last.demand);
        add(out.work, p.last.work);
        add(calls, p.last.calls, 1);
    });
    out.calls = sorted(calls);
    return out;
}

// Of all nodes, for those below; each takes off what is its own.
heartbeat sum_of_all(node_state& s, heartbeat const& up)
{
    auto out = basic_beat(s);
    out.nodes = up.nodes;
    out.demand = up.demand;
    auto calls = s.told;
    for (auto const& [key, it] : own_calls(s)) {
        calls[key].calls += it.calls;
        calls[key].tokens += it.tokens;
    }
    for (auto const& [link, p] : s.peers) {
        if (standing_of(s, p) != standing::equal)
            continue;
        out.nodes += p.last.nodes;
        add(out.demand, p.last.demand);
    }
    for (auto const& [name, q] : s.quotas)
        out.spent[name] = q.seen;
    out.calls = sorted(calls);
    return out;
}

heartbeat without(heartbeat all, peer_state const& p)
{
    all.nodes -= std::min(all.nodes, p.last.nodes);
    add(all.demand, p.last.demand, -1);
    add(all.spent, p.handed, -1);
    load_table own;
    add(own, p.last.calls, 1);
    for (auto& [key, it] : all.calls) {
        auto const mine = own.find(key);
        if (mine == own.end())
            continue;
        it.calls = std::max(0, it.calls - mine->second.calls);
        it.tokens = std::max(0, it.tokens - mine->second.tokens);
    }
    std::erase_if(all.calls, [](auto const& it) {
        return it.second.calls == 0 && it.second.tokens == 0;
    });
    return all;
}

// What adds up over time: as totals between hubs, else what is new.
void add_totals(node_state& s, heartbeat& up)
{
    up.under = s.hub != 0;
    for (auto& [name, q] : s.quotas) {
        q.spent += up.under ? 0 : q.fresh;
        up.spent[name] = up.under ? q.fresh : q.spent;
        q.fresh = 0;
    }
    up.usage = up.under ? std::exchange(s.duties.fresh, {}) : own_usage(s);
}

} // namespace

std::uint32_t endpoint_key(std::string_view endpoint)
{
    return static_cast<std::uint32_t>(hash_of(endpoint));
}

// Moves the means on by one heartbeat.
void sample_told(node_state& s)
{
    for (auto& [key, mean] : s.told_mean)
        mean *= 1 - told_step;
    for (auto const& [key, it] : s.told)
        s.told_mean[key] += told_step * it.calls;
    std::erase_if(s.told_mean,
                  [](auto const& it) { return it.second < told_least; });
}

double told_calls(node_state const& s, std::string const& endpoint)
{
    auto const it = s.told_mean.find(endpoint_key(endpoint));
    return it == s.told_mean.end() ? 0 : it->second;
}

endpoint_load told_load(node_state const& s, std::string const& endpoint)
{
    auto const it = s.told.find(endpoint_key(endpoint));
    return it == s.told.end() ? endpoint_load{} : it->second;
}

bool hears_of_most(node_state const& s)
{
    std::size_t heard = 1;
    for (auto const& [link, p] : s.peers)
        heard += nodes_in(s, p);
    return 4 * heard >= 3 * static_cast<std::size_t>(live_members(s));
}

std::size_t nodes_in(node_state const& s, peer_state const& p)
{
    return standing_of(s, p) == standing::apart ? 0 : p.last.nodes;
}

void send_heartbeats(node_state& s, effects& out)
{
    if (s.now < s.heartbeat_at + s.settings.heartbeat_period)
        return;
    s.heartbeat_at = s.now;
    sample_told(s);
    auto up = sum_up(s);
    // Nobody hears totals that a node adds up while it is alone.
    bool const heard = std::ranges::any_of(s.peers, [&](auto const& it) {
        auto const to = standing_of(s, it.second);
        return !it.second.node.empty() &&
               (to == standing::equal || to == standing::above);
    });
    if (heard)
        add_totals(s, up);
    std::optional<heartbeat> all;
    for (auto const& [link, p] : s.peers) {
        if (p.node.empty())
            continue;
        switch (standing_of(s, p)) {
        case standing::equal:
        case standing::above:
            send_to_peer(s, link, up, out);
            break;
        case standing::below:
            if (!all)
                all = sum_of_all(s, up);
            send_to_peer(s, link, without(*all, p), out);
            break;
        case standing::apart:
            send_to_peer(s, link, basic_beat(s), out);
        }
    }
    news counts;
    counts.counts = own_counts(s);
    spread(s, counts, 0, out);
}

void greet(node_state& s, peer_state const& p, effects& out)
{
    send_to_peer(s, p.link, basic_beat(s), out);
}

void say_goodbye(node_state& s, peer_state const& p, effects& out)
{
    auto it = basic_beat(s);
    it.parting = true;
    send_to_peer(s, p.link, std::move(it), out);
}

void replace_figures(node_state& s, peer_state& p, heartbeat e)
{
    bool const is_hub_of_other =
        standing_of(s, p) == standing::apart && !e.under;
    if (is_hub_of_other || e.nodes == 0) {
        e.nodes = 0;
        e.demand.clear();
        e.spent.clear();
        e.work.clear();
        e.calls.clear();
        e.usage.clear();
    }
    add(s.told, p.last.calls, -1);
    add(s.told, e.calls, 1);
    std::erase_if(s.told, [](auto const& it) {
        return it.second.calls == 0 && it.second.tokens == 0;
    });
    if (e.nodes != 0) {
        learn_spending(s, p, e);
        learn_usage(s, p, e);
    }
    s.listed_nodes = std::max(s.listed_nodes, e.listed_nodes);
    p.last = std::move(e);
}

void drop_figures(node_state& s, peer_state const& p)
{
    add(s.told, p.last.calls, -1);
}

void add_usage(usage_counts& to, usage_counts const& from)
{
    add(to, from);
}

} // namespace papayahook::core
