// Quotas: an organisation's units per second, shared among the nodes.
//
// A request can be admitted in two ways. Each node has a share of the rate,
// which follows the demand that the nodes publish to one another; the shares
// never add up to more than the rate, whatever each node knows. In addition,
// every node keeps a common balance and the sum of the newest window, which are
// charged with what all nodes spend. What both leave may be spent regardless of
// the share, so that an organisation within its limit is not refused because
// its requests reached a node with too small a share. What the other nodes
// spend without this node's knowledge is estimated; docs/design/quotas.md.
#include "core/internal.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr auto demand_sample_period = 500ms;
// Least weight of a new demand sample. Callers stay at a node for long, but one
// that sends a few large requests a minute is seen rarely.
constexpr double demand_smoothing = 0.04;
// Fraction of the rate that is split evenly, so that a node that has just
// received its first requests has something to spend.
constexpr double even_fraction = 0.25;
// Fraction of the allowance of a window that is used, and fraction of the used
// part that may be saved up and spent at once. The rest sets the rate.
constexpr double used_fraction = 0.92;
constexpr double burst_fraction = 0.25;
constexpr double min_burst_fraction = 0.1; // if the quota rate needs the rest
constexpr double share_burst_fraction = 0.25; // of the burst: saved by shares
// The common balance: the fraction of the allowance of a window that all nodes
// may spend, and the rate of its refill as a multiple of the quota's rate. The
// rest of the allowance may be spent at once.
constexpr double common_fraction = 0.97;
constexpr double common_rate_factor = 1.05;
// Part of the estimate of unknown spending that a node subtracts after its
// start while the demand is within the quota.
constexpr double start_unknown = 0.3;
constexpr double start_gap_heartbeats = 1;
constexpr double min_common_burst_fraction = 0.1; // of the allowance
constexpr double max_hidden_fraction = 0.25;      // of the nodes: not visible
constexpr double max_late_fraction = 0.06; // of the nodes; few nodes: none
constexpr auto late_after_heartbeats = 1.5;
// Spending that a report does not cover yet: the heartbeats that it takes from
// one node to the others, and the factor by which an organisation's demand may
// grow meanwhile.
constexpr double report_heartbeats = 2.5;
constexpr double flood_factor = 7.5;
constexpr double flood_fraction = 0.6; // of what is left: for such requests
// What a node may spend before its peers know of it: this multiple of its part
// of the demand, or a fraction of all that is left.
constexpr double unreported_shares = 3;
constexpr double surge_shares = 0.4; // while the demand is above the quota
constexpr double surge_factor = 2;
constexpr double unreported_even_shares = 0.25;
constexpr double unreported_fraction = 0.125;
constexpr double unreported_requests = 2.5;
constexpr double spend_rate_smoothing = 0.4; // weight of a new report
constexpr auto window_part = 250ms;          // parts of the window's sum
constexpr int silent_after_heartbeats = 3;   // older: the peer is not visible

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

// Units per second that all visible nodes request.
double total_demand(node_state const& s, std::string const& name,
                    double own_demand)
{
    double out = own_demand;
    for (auto const& [link, p] : s.peers) {
        auto const it = p.last_heartbeat.demand.find(name);
        bool const is_counted =
            is_visible(s, p) && it != p.last_heartbeat.demand.end();
        out += is_counted ? it->second : 0;
    }
    return out;
}

// Fraction of the rate that is this node's share. Known nodes that are not
// visible may spend their even parts too.
double share_of_rate(node_state const& s, std::string const& name,
                     double own_demand)
{
    double const nodes = node_count(s);
    double const visible = std::min(nodes, 1 + visible_peers(s));
    double const total = total_demand(s, name, own_demand);
    double const by_demand = total <= 0 ? 1 / visible : own_demand / total;
    return even_fraction / nodes +
           (1 - even_fraction) * visible / nodes * by_demand;
}

// A token bucket that never lets more through in any window than is allowed.
struct bucket
{
    double size = 0; // units that all nodes may spend at once
    double rate = 0; // units per second
};

double heartbeat_seconds(node_state const& s)
{
    return std::chrono::duration<double>(s.settings.heartbeat_period).count();
}

double window_seconds(node_state const& s)
{
    return std::chrono::duration<double>(s.settings.quota_window).count();
}

// Units that may be spent in any window.
double window_allowance(node_state const& s, organisation const& org)
{
    return (1 + s.settings.quota_overshoot) *
               (window_seconds(s) * org.quota_rate + org.quota_burst) +
           s.settings.quota_slack;
}

// Seconds for which nodes that restart together admit nothing.
double start_gap(node_state const& s)
{
    return start_gap_heartbeats * heartbeat_seconds(s);
}

// The common balance. It may grow faster than the organisation spends, and
// begins empty, so that nodes which restart together and know nothing of
// earlier spending stay within the allowance.
bucket common_bucket(node_state const& s, organisation const& org)
{
    double const window = window_seconds(s);
    double const used = common_fraction * window_allowance(s, org);
    double const rate =
        std::min(common_rate_factor * org.quota_rate,
                 used * (1 - min_common_burst_fraction) / window);
    return {used - rate * (window - start_gap(s)), rate};
}

bucket bucket_of(node_state const& s, organisation const& org)
{
    double const window = window_seconds(s);
    double const used = used_fraction * window_allowance(s, org);
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
    q.demand_samples++;
    q.demand +=
        std::max(demand_smoothing, 1.0 / q.demand_samples) * (rate - q.demand);
    q.requested = 0;
    q.sampled_at = s.now;
}

double seconds_since(node_state const& s, time_point at)
{
    return at == time_point{}
               ? 0
               : std::chrono::duration<double>(s.now - at).count();
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
    auto const common = common_bucket(s, org);
    q.common_balance = std::min(
        common.size,
        q.common_balance + passed * (1 - hidden_fraction(s)) * common.rate);
    while (!q.window_parts.empty() &&
           q.window_parts.front().first + window_part +
                   duration(s.settings.quota_window) <=
               s.now) {
        q.window_spent -= q.window_parts.front().second;
        q.window_parts.pop_front();
    }
    if (q.window_parts.empty())
        q.window_spent = 0;
}

// Charges what this node or others have spent. Spending that becomes known
// late stays in the window's sum longer, which is safe.
void charge(node_state const& s, quota_state& q, double units)
{
    q.common_balance -= units;
    q.total_spent += units;
    q.window_spent += units;
    if (q.window_parts.empty() ||
        s.now >= q.window_parts.back().first + window_part)
        q.window_parts.emplace_back(s.now, 0);
    q.window_parts.back().second += units;
}

bool has_just_started(node_state const& s)
{
    return s.now < s.awaits_store_since + duration(s.settings.quota_window);
}

bool is_over_quota(node_state const& s, organisation const& org,
                   quota_state const& q)
{
    return total_demand(s, org.name, q.published_demand) > org.quota_rate;
}

// Whether the organisation suddenly sends more. The known demand follows
// slowly, the known spending at once.
bool is_surge(node_state const& s, organisation const& org,
              quota_state const& q)
{
    double const total = total_demand(s, org.name, q.published_demand);
    return is_over_quota(s, org, q) ||
           q.others_rate > surge_factor * std::max(total, org.quota_rate / 2);
}

// What may still be spent, less what the others are assumed to have spent
// without this node's knowledge.
struct quota_left
{
    double window = 0; // of the allowance of the newest window
    double now = 0;    // of the common balance too
};

quota_left left_of(node_state const& s, organisation const& org,
                   quota_state const& q)
{
    double const unknown =
        q.others_rate * report_heartbeats * heartbeat_seconds(s);
    double const allowance =
        common_fraction * window_allowance(s, org) * (1 - hidden_fraction(s));
    quota_left out;
    out.window = allowance - q.window_spent - unknown;
    out.now = std::min(out.window, q.common_balance);
    // A node that has just started does not know the window before its start;
    // only the common balance accounts for it, if no flood overdraws it.
    if (has_just_started(s) || is_over_quota(s, org, q))
        out.now = out.window = std::min(
            out.window,
            q.common_balance -
                (is_over_quota(s, org, q) ? 1 : start_unknown) * unknown);
    return out;
}

// Returns whether a flood that began at all nodes at once would leave room for
// the request before the nodes know of it. If it would leave room for a part of
// its requests, the id decides which are in that part.
bool survives_flood(node_state const& s, organisation const& org,
                    quota_state const& q, request_arrived const& e, double left)
{
#if PAPAYAHOOK_MUTATION_NO_FLOOD_MARGIN
    return true;
#endif
    double const total = total_demand(s, org.name, q.published_demand);
    double const usual =
        total > 0 ? std::min(total, org.quota_rate) : org.quota_rate;
    double const flood = std::max(total, flood_factor * usual) *
                         report_heartbeats * heartbeat_seconds(s);
    constexpr std::uint64_t steps = 1'000;
    return static_cast<double>(hash_of(e.id) % steps) * flood <=
           static_cast<double>(steps) * flood_fraction * left;
}

// Whether a request may be admitted from what all nodes have left. Until its
// peers know of it, a node spends its part, by its demand, of what is left.
// Beyond that it spends as if all others did the same in a flood.
bool fits_common(node_state const& s, organisation const& org,
                 quota_state const& q, request_arrived const& e, double cost)
{
    auto const left = left_of(s, org, q);
    if (left.now < cost)
        return false;
    double const total = total_demand(s, org.name, q.published_demand);
    double const by_demand = total <= 0 ? 0 : q.published_demand / total;
    double const part = std::max(
        (is_surge(s, org, q) ? surge_shares : unreported_shares) * by_demand,
        unreported_even_shares / node_count(s));
    if (q.unreported + cost <= part * left.window)
        return true;
    bool const is_small =
        q.unreported + cost <=
        std::max(unreported_fraction * left.window, unreported_requests * cost);
    return is_small && hidden_fraction(s) <= max_hidden_fraction &&
           survives_flood(s, org, q, e, left.window);
}

// Whether a request may be admitted from the node's own share. One that is
// larger than what the share can save up is admitted when the share is full,
// unless many nodes may do so at once. A node that is cut off can't know that;
// one that was never linked admits none.
bool fits_share(node_state const& s, organisation const& org,
                quota_state const& q, request_arrived const& e, double cost)
{
    auto const left = left_of(s, org, q);
    double const full = q.share * share_burst_fraction * bucket_of(s, org).size;
    // Nodes that did not know of one another yet may have overspent. No node
    // spends until that is made up for.
    bool const is_filled = q.share_balance >= std::min(cost, full) &&
                           q.share_balance > 0 && left.now > 0;
    if (!is_filled || q.share_balance >= cost)
        return is_filled;
    return hidden_fraction(s) > max_hidden_fraction
               ? q.published_demand > 0
               : survives_flood(s, org, q, e, left.window);
}

// Time after which what is missing is refilled.
std::chrono::milliseconds retry_after_quota(node_state const& s,
                                            organisation const& org,
                                            quota_state const& q, double cost)
{
    constexpr auto min_wait = 50ms;
    constexpr auto max_wait = 60'000ms;
    auto const own = bucket_of(s, org);
    auto const left = left_of(s, org, q);
    double const needed =
        std::min(cost, q.share * share_burst_fraction * own.size);
    double const from_share =
        (needed - q.share_balance) / std::max(1.0, q.share * own.rate);
    double const owed = std::max(0.0, -left.now) / common_bucket(s, org).rate;
    auto const wait = std::chrono::duration<double>(std::max(owed, from_share));
    return std::clamp<std::chrono::milliseconds>(
        std::chrono::ceil<std::chrono::milliseconds>(wait), min_wait, max_wait);
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
    if (org.quota_rate <= 0)
        return std::nullopt;
    auto& q = s.quotas[org.name];
    double const cost = quota_cost(org, e);
    q.requested += cost;
    sample_demand(s, q);
    refill(s, org, q);
    bool const from_share = fits_share(s, org, q, e, cost);
    bool const from_common = !from_share && fits_common(s, org, q, e, cost);
    if (from_share)
        q.share_balance -= cost;
    else if (from_common)
        q.unreported += cost;
    if (from_share || from_common) {
        charge(s, q, cost);
        q.unpublished_spent += cost;
        return std::nullopt;
    }
    return retry_after_quota(s, org, q, cost);
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
    auto const left = left_of(s, org, q);
    auto oldest = duration(0);
    for (auto const& [link, p] : s.peers)
        if (is_visible(s, p))
            oldest = std::max(oldest, s.now - p.heard_at);
    return "the quota of " + org.name +
           " is used up: " + text(quota_cost(org, e)) + " units asked, " +
           text(q.share_balance) + " left of the own share of " +
           text(100 * q.share) + " in 100, " + text(left.now) +
           " left of all nodes' " + text(common_bucket(s, org).size) + ", " +
           text(left.window) + " of the window's " +
           text(common_fraction * window_allowance(s, org)) + ", " +
           text(q.unreported) + " unreported, rate " + text(org.quota_rate) +
           " a second, figures " +
           text(std::chrono::duration<double, std::milli>(oldest).count()) +
           " ms old from " + text(1 + visible_peers(s)) + " of " +
           text(node_count(s)) + " nodes";
}

// The balances of an organisation begin to fill with the start of the node:
// what was spent before it is assumed to have emptied them.
void init_quotas(node_state& s)
{
    for (auto const& [name, it] : s.config.organisations) {
        auto& q = s.quotas[name];
        if (q.refilled_at != time_point{})
            continue;
        q.refilled_at =
            s.awaits_store_since == time_point{} ? s.now : s.awaits_store_since;
        q.common_balance -=
            start_gap(s) * common_rate_factor * it.value.quota_rate;
    }
}

// Fills in the demand of a heartbeat. Shares are computed from this published
// demand from then on.
void publish_demand(node_state& s, heartbeat& out)
{
    bool const connected = is_well_connected(s);
    double const period = heartbeat_seconds(s);
    for (auto& [name, q] : s.quotas) {
        sample_demand(s, q);
        q.others_rate +=
            spend_rate_smoothing *
            (std::exchange(q.others_spent, 0) / period - q.others_rate);
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
    // The first totals of a peer are only the baseline for its later ones.
    bool const is_baseline = !e.receiver_is_hub && !p.spent_totals;
    auto const& totals = p.spent_totals;
    for (auto const& [name, spent] : e.spent) {
        double const base =
            !totals || !totals->contains(name) ? 0 : totals->at(name);
        double const delta = is_baseline ? 0 : std::max(0.0, spent - base);
        auto& q = s.quotas[name];
        charge(s, q, delta);
        q.others_spent += delta;
        if (e.receiver_is_hub) {
            q.unpublished_spent += delta;
            p.subtree_spent[name] += delta;
        }
    }
    if (e.receiver_is_hub)
        p.spent_totals.reset();
    else
        p.spent_totals = e.spent;
}

} // namespace papayahook::core
