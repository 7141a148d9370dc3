// Quotas: an organisation's units per second, shared among the nodes.
//
// A request can be admitted in two ways. Each node has a share of the rate,
// which follows the demand that the nodes publish to one another; the shares
// never add up to more than the rate, whatever each node knows. In addition,
// every node keeps a common balance, which is charged with what all nodes
// spend. While more than half of the burst is left on it, a request is admitted
// regardless of the share, so that an organisation within its limit is not
// refused because its request reached a node with too small a share.
#include "core/internal.hpp"

#include <algorithm>
#include <cmath>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr auto demand_sample_period = 500ms;
constexpr double demand_smoothing = 0.3; // weight of a new demand sample
// Fraction of the rate that is split evenly, so that a node that has just
// received its first requests has something to spend.
constexpr double even_fraction = 0.25;
// Fraction of the allowance of a window that is used, and fraction of the used
// part that may be saved up and spent at once. The rest sets the rate.
constexpr double used_fraction = 0.92;
constexpr double burst_fraction = 0.25;
constexpr double min_burst_fraction = 0.1; // if the quota rate needs the rest
// Fractions of the burst: what the shares may save up, and what must be left on
// the common balance to admit a request regardless of the share.
constexpr double share_burst_fraction = 0.25;
constexpr double common_reserve_fraction = 0.5;
constexpr double max_hidden_fraction = 0.25; // of the nodes: not visible
constexpr double max_late_fraction = 0.06;   // of the nodes; few nodes: none
constexpr auto late_after_heartbeats = 1.5;
// What a node may spend of the common balance before its peers know of it: even
// shares of what is above the reserve, or multiples of the request's cost.
constexpr double unreported_shares = 2;
constexpr double unreported_requests = 1.5;
constexpr int silent_after_heartbeats = 3; // older: the peer is not visible

double node_count(node_state const& s)
{
    return static_cast<double>(
        std::max({s.members.size(), s.listed_nodes, std::size_t{1}}));
}

// The figures of a peer that has been silent for longer are not used.
bool is_visible(node_state const& s, peer_state const& p)
{
    return !p.node.empty() &&
           s.now <= p.heard_at + silent_after_heartbeats *
                                     duration(s.settings.heartbeat_period);
}

double visible_peers(node_state const& s)
{
    double out = 0;
    for (auto const& [link, p] : s.peers)
        if (is_visible(s, p))
            out += static_cast<double>(nodes_covered(s, p));
    return out;
}

// Whether nearly all nodes are visible and almost none of them has missed a
// heartbeat. The others are then taken to receive this node's heartbeats too.
bool is_well_connected(node_state const& s)
{
    double const hidden = node_count(s) - 1 - visible_peers(s);
    if (hidden > max_hidden_fraction * node_count(s))
        return false;
    auto const late_after = std::chrono::duration_cast<duration>(
        late_after_heartbeats * duration(s.settings.heartbeat_period));
    double late_nodes = 0;
    for (auto const& [link, p] : s.peers)
        if (is_visible(s, p) && s.now > p.heard_at + late_after)
            late_nodes += static_cast<double>(nodes_covered(s, p));
    return late_nodes <= std::floor(max_late_fraction * node_count(s));
}

// Fraction of the rate that is this node's share. Known nodes that are not
// visible may spend their even parts too.
double share_of_rate(node_state const& s, std::string const& name,
                     double own_demand)
{
    double const nodes = node_count(s);
    double const visible = std::min(nodes, 1 + visible_peers(s));
    double total_demand = own_demand;
    for (auto const& [link, p] : s.peers) {
        auto const it = p.last_heartbeat.demand.find(name);
        bool const is_counted =
            is_visible(s, p) && it != p.last_heartbeat.demand.end();
        total_demand += is_counted ? it->second : 0;
    }
    double const by_demand =
        total_demand <= 0 ? 1 / visible : own_demand / total_demand;
    return even_fraction / nodes +
           (1 - even_fraction) * visible / nodes * by_demand;
}

// A token bucket that never lets more through in any window than is allowed.
struct bucket
{
    double size = 0; // units that all nodes may spend at once
    double rate = 0; // units per second
};

bucket bucket_of(node_state const& s, organisation const& org)
{
    double const window =
        std::chrono::duration<double>(s.settings.quota_window).count();
    double const allowed = (1 + s.settings.quota_overshoot) *
                               (window * org.quota_rate + org.quota_burst) +
                           s.settings.quota_slack;
    double const used = used_fraction * allowed;
    // A well-connected node uses at least the quota rate if the window allows
    // it, so that an organisation that sends steadily at its rate is refused
    // nothing. The lower rate of other nodes leaves a larger burst, which
    // covers what nodes spend before they notice that they are disconnected.
    double const safe_rate = used * (1 - burst_fraction) / window;
    double const max_rate = used * (1 - min_burst_fraction) / window;
    double const rate =
        is_well_connected(s)
            ? std::min(std::max(safe_rate, org.quota_rate), max_rate)
            : safe_rate;
    return {used - rate * window, rate};
}

void sample_demand(node_state const& s, quota_state& q)
{
    if (q.sampled_at == time_point{})
        q.sampled_at = s.now;
    auto const passed = s.now - q.sampled_at;
    if (passed < demand_sample_period)
        return;
    double const rate =
        q.requested / std::chrono::duration<double>(passed).count();
    q.demand += demand_smoothing * (rate - q.demand);
    q.requested = 0;
    q.sampled_at = s.now;
}

double seconds_since(node_state const& s, time_point at)
{
    return at == time_point{}
               ? 0
               : std::chrono::duration<double>(s.now - at).count();
}

// Units that peers are assumed to have spent since their last report.
double unreported_by_peers(node_state const& s, std::string const& name)
{
    double out = 0;
    for (auto const& [link, p] : s.peers) {
        auto const it = p.spend_rates.find(name);
        bool const is_counted = is_visible(s, p) && it != p.spend_rates.end();
        out += is_counted ? it->second * seconds_since(s, p.spend_rates_at) : 0;
    }
    return out;
}

// Fraction of the rate that nodes that are not visible may spend: their even
// parts.
double hidden_fraction(node_state const& s)
{
    double const nodes = node_count(s);
    return std::max(0.0, nodes - 1 - visible_peers(s)) / nodes;
}

void refill(node_state const& s, organisation const& org, quota_state& q)
{
    double const passed = seconds_since(s, q.refilled_at);
    q.refilled_at = s.now;
    // Uses the demand that peers know; with a newer one the shares could add up
    // to more than the rate.
    q.share = share_of_rate(s, org.name, q.published_demand);
    auto const b = bucket_of(s, org);
    q.share_balance = std::min(q.share * share_burst_fraction * b.size,
                               q.share_balance + passed * q.share * b.rate);
    q.common_balance = std::min(
        b.size, q.common_balance + passed * (1 - hidden_fraction(s)) * b.rate);
}

} // namespace

double quota_cost(organisation const& org, request_arrived const& e)
{
    if (!org.counts_tokens)
        return 1;
    int const tokens = e.prompt_tokens + e.max_answer_tokens;
    return tokens > 0 ? tokens : org.default_tokens;
}

// Charges the request and returns nullopt if it is within the quota. Otherwise
// returns the time after which it would be.
std::optional<std::chrono::milliseconds>
charge_quota(node_state& s, organisation const& org, request_arrived const& e)
{
    constexpr auto min_wait = 50ms;
    constexpr auto max_wait = 60'000ms;
    if (org.quota_rate <= 0)
        return std::nullopt;
    auto& q = s.quotas[org.name];
    double const cost = quota_cost(org, e);
    q.requested += cost;
    sample_demand(s, q);
    refill(s, org, q);
    double const burst = bucket_of(s, org).size;
    // A request larger than what the share can save up is admitted when the
    // share is full.
    double const needed =
        std::min(cost, q.share * share_burst_fraction * burst);
    double const common = q.common_balance - unreported_by_peers(s, org.name);
    // Nodes that did not know of one another yet may have overspent. No node
    // spends until the common balance has made up for it.
    bool const from_share =
        q.share_balance >= needed && q.share_balance > 0 && common > 0;
    // Until its peers know what it has spent, a node admits one or two requests
    // from the common balance, or spends a part of it that most nodes could
    // spend at the same time.
    double const spare = common - common_reserve_fraction * burst;
    bool const fits_unreported_share =
        q.unreported + cost <= unreported_shares * spare / node_count(s);
    bool const fits_unreported_requests =
        q.unreported < unreported_requests * cost;
    bool const from_common =
        spare >= cost && (fits_unreported_share || fits_unreported_requests);
    if (from_share)
        q.share_balance -= cost;
    else if (from_common)
        q.unreported += cost;
    if (from_share || from_common) {
        q.common_balance -= cost;
        q.unpublished_spent += cost;
        q.total_spent += cost;
        return std::nullopt;
    }
    double const rate = std::max(1.0, q.share * bucket_of(s, org).rate);
    double const owed = std::max(0.0, -common) / bucket_of(s, org).rate;
    auto const wait = std::chrono::duration<double>(
        std::max(owed, (needed - q.share_balance) / rate));
    return std::clamp<std::chrono::milliseconds>(
        std::chrono::ceil<std::chrono::milliseconds>(wait), min_wait, max_wait);
}

std::string describe_quota(node_state const& s, organisation const& org,
                           request_arrived const& e)
{
    auto const it = s.quotas.find(org.name);
    if (it == s.quotas.end())
        return "no quota is kept of " + org.name;
    auto const& q = it->second;
    auto const text = [](double units) {
        return std::to_string(static_cast<std::int64_t>(units));
    };
    return "the quota of " + org.name +
           " is used up: " + text(quota_cost(org, e)) + " units asked, " +
           text(q.share_balance) + " left of the own share of " +
           text(100 * q.share) + " in 100, " + text(q.common_balance) +
           " left of all nodes' " + text(bucket_of(s, org).size) + ", rate " +
           text(org.quota_rate) + " a second";
}

// The balances of an organisation begin to fill when it becomes known.
void init_quotas(node_state& s)
{
    for (auto const& [name, it] : s.config.organisations) {
        auto& q = s.quotas[name];
        if (q.refilled_at == time_point{})
            q.refilled_at = s.now;
    }
}

// Fills in the demand of a heartbeat. Shares are computed from this published
// demand from then on.
void publish_demand(node_state& s, heartbeat& out)
{
    bool const connected = is_well_connected(s);
    for (auto& [name, q] : s.quotas) {
        sample_demand(s, q);
        auto const org = s.config.organisations.find(name);
        if (org != s.config.organisations.end())
            refill(s, org->second.value, q);
        if (connected) {
            q.published_demand = q.demand;
            q.unreported = 0;
        }
        out.demand[name] = q.published_demand;
    }
}

// Charges the common balances with what a peer has spent since its last report.
void apply_peer_spending(node_state& s, peer_state& p, heartbeat const& e)
{
    double const passed = seconds_since(s, p.spend_rates_at);
    bool const is_first = p.spend_rates_at == time_point{};
    p.spend_rates_at = s.now;
    // The first totals of a peer are only the baseline for its later ones.
    bool const is_baseline = !e.receiver_is_hub && !p.spent_totals;
    auto const& totals = p.spent_totals;
    for (auto const& [name, spent] : e.spent) {
        double const base =
            !totals || !totals->contains(name) ? 0 : totals->at(name);
        double const delta = is_baseline ? 0 : std::max(0.0, spent - base);
        double& rate = p.spend_rates[name];
        auto& q = s.quotas[name];
        q.common_balance -= delta;
        q.total_spent += delta;
        if (e.receiver_is_hub) {
            q.unpublished_spent += delta;
            p.subtree_spent[name] += delta;
        }
        rate = is_first || passed <= 0 ? 0 : delta / passed;
    }
    if (e.receiver_is_hub)
        p.spent_totals.reset();
    else
        p.spent_totals = e.spent;
}

} // namespace papayahook::core
