// Quotas: an organisation's units a second, shared among the nodes.
//
// Two ways to be admitted. A node's own share of the rate follows the demand
// that the nodes tell one another; the shares never add up to more than the
// rate, whatever each node knows. Beside it every node keeps an account of
// what all nodes have spent; while more than half of the allowance stands on
// it, a request may go whatever the share says, so that an organisation within
// its limit is not refused for having come to the wrong node.
#include "core/internal.hpp"

#include <algorithm>
#include <cmath>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr auto demand_period = 500ms; // of one sample of the moving mean
constexpr double demand_step = 0.3;   // of the moving mean, per sample
// Part of the rate that is split evenly, so that a node whose first requests
// have just come has something to spend.
constexpr double even_part = 0.25;
// Parts of what may be spent in any window: what is used of it, and how much
// of that may be saved up and spent at once. The rest sets the rate.
constexpr double used_part = 0.92;
constexpr double burst_part = 0.25;
constexpr double least_burst_part = 0.1; // where the rate asks for more
// Parts of the burst: what shares may save up, and what the common account
// must hold for a request to go without a share.
constexpr double saved_part = 0.25;
constexpr double common_part = 0.5;
constexpr double most_hidden = 0.25; // part of the nodes, out of sight
constexpr double most_late = 0.06;   // part of the nodes: none of a few
constexpr auto fresh_beats = 1.5;
// Even shares and requests of a node, until its peers know.
constexpr double untold_shares = 2;
constexpr double untold_requests = 1.5;
constexpr int silent_beats = 3; // heartbeats missed by a peer out of sight

double node_count(node_state const& s)
{
    return static_cast<double>(
        std::max({s.members.size(), s.listed_nodes, std::size_t{1}}));
}

// Of a peer that has been silent for longer nothing is known any more.
bool is_visible(node_state const& s, peer_state const& p)
{
    return !p.node.empty() &&
           s.now <=
               p.heard + silent_beats * duration(s.settings.heartbeat_period);
}

double visible_peers(node_state const& s)
{
    double out = 0;
    for (auto const& [link, p] : s.peers)
        if (is_visible(s, p))
            out += static_cast<double>(nodes_in(s, p));
    return out;
}

// Nearly all nodes are in sight and next to none of them has missed a
// heartbeat: they hear this node as well.
bool hears_all(node_state const& s)
{
    double const hidden = node_count(s) - 1 - visible_peers(s);
    if (hidden > most_hidden * node_count(s))
        return false;
    auto const late = std::chrono::duration_cast<duration>(
        fresh_beats * duration(s.settings.heartbeat_period));
    double late_nodes = 0;
    for (auto const& [link, p] : s.peers)
        if (is_visible(s, p) && s.now > p.heard + late)
            late_nodes += static_cast<double>(nodes_in(s, p));
    return late_nodes <= std::floor(most_late * node_count(s));
}

// Nodes that are known and out of sight may spend their even part as well.
double part_of(node_state const& s, std::string const& name, double own)
{
    double const nodes = node_count(s);
    double const seen = std::min(nodes, 1 + visible_peers(s));
    double all = own;
    for (auto const& [link, p] : s.peers) {
        auto const it = p.last.demand.find(name);
        bool const counts = is_visible(s, p) && it != p.last.demand.end();
        all += counts ? it->second : 0;
    }
    double const by_demand = all <= 0 ? 1 / seen : own / all;
    return even_part / nodes + (1 - even_part) * seen / nodes * by_demand;
}

// A bucket that never lets more through in any window than is allowed.
struct bucket
{
    double size = 0; // units that all nodes may spend at once
    double rate = 0; // units a second
};

bucket bucket_of(node_state const& s, organisation const& org)
{
    double const window =
        std::chrono::duration<double>(s.settings.quota_window).count();
    double const allowed = (1 + s.settings.quota_overshoot) *
                               (window * org.quota_rate + org.quota_burst) +
                           s.settings.quota_slack;
    double const used = used_part * allowed;
    // One who sends steadily at its rate is refused nothing. What nodes spend
    // before they notice that they are cut off needs the larger reserve.
    double const careful = used * (1 - burst_part) / window;
    double const most = used * (1 - least_burst_part) / window;
    double const rate = hears_all(s)
                            ? std::min(std::max(careful, org.quota_rate), most)
                            : careful;
    return {used - rate * window, rate};
}

void sample_demand(node_state const& s, quota_state& q)
{
    if (q.counted_at == time_point{})
        q.counted_at = s.now;
    auto const passed = s.now - q.counted_at;
    if (passed < demand_period)
        return;
    double const rate = q.asked / std::chrono::duration<double>(passed).count();
    q.demand += demand_step * (rate - q.demand);
    q.asked = 0;
    q.counted_at = s.now;
}

double seconds_since(node_state const& s, time_point at)
{
    return at == time_point{}
               ? 0
               : std::chrono::duration<double>(s.now - at).count();
}

// What peers are taken to have spent since their last word.
double untold_by_peers(node_state const& s, std::string const& name)
{
    double out = 0;
    for (auto const& [link, p] : s.peers) {
        auto const it = p.spending.find(name);
        bool const counts = is_visible(s, p) && it != p.spending.end();
        out += counts ? it->second * seconds_since(s, p.spending_at) : 0;
    }
    return out;
}

// Part of the rate that nodes out of sight may spend: their even parts.
double hidden_part(node_state const& s)
{
    double const nodes = node_count(s);
    return std::max(0.0, nodes - 1 - visible_peers(s)) / nodes;
}

void fill(node_state const& s, organisation const& org, quota_state& q)
{
    double const passed = seconds_since(s, q.filled_at);
    q.filled_at = s.now;
    // The demand that peers know counts, or the shares would add up to more.
    q.share = part_of(s, org.name, q.told_demand);
    auto const b = bucket_of(s, org);
    q.left = std::min(q.share * saved_part * b.size,
                      q.left + passed * q.share * b.rate);
    q.common =
        std::min(b.size, q.common + passed * (1 - hidden_part(s)) * b.rate);
}

} // namespace

double quota_cost(organisation const& org, request_arrived const& e)
{
    if (!org.counts_tokens)
        return 1;
    int const tokens = e.prompt_tokens + e.answer_tokens;
    return tokens > 0 ? tokens : org.plain_tokens;
}

// Nothing when the request is within the quota, and then it is charged;
// otherwise the time after which it would be.
std::optional<std::chrono::milliseconds>
charge_quota(node_state& s, organisation const& org, request_arrived const& e)
{
    constexpr auto soonest = 50ms;
    constexpr auto latest = 60'000ms;
    if (org.quota_rate <= 0)
        return std::nullopt;
    auto& q = s.quotas[org.name];
    double const cost = quota_cost(org, e);
    q.asked += cost;
    sample_demand(s, q);
    fill(s, org, q);
    double const most = bucket_of(s, org).size;
    // A request larger than all that can be saved up goes when that is full.
    double const needed = std::min(cost, q.share * saved_part * most);
    double const common = q.common - untold_by_peers(s, org.name);
    // Nodes that had not yet heard of one another have spent too much: nobody
    // spends until that is made up for.
    bool const in_share = q.left >= needed && q.left > 0 && common > 0;
    // Until its peers know what it has spent, a node takes a request or two,
    // or a part of the common account that most nodes could take at once.
    double const spare = common - common_part * most;
    bool const little =
        q.untold + cost <= untold_shares * spare / node_count(s);
    bool const few = q.untold < untold_requests * cost;
    bool const in_common = spare >= cost && (little || few);
    if (in_share)
        q.left -= cost;
    else if (in_common)
        q.untold += cost;
    if (in_share || in_common) {
        q.common -= cost;
        q.fresh += cost;
        q.seen += cost;
        return std::nullopt;
    }
    double const rate = std::max(1.0, q.share * bucket_of(s, org).rate);
    double const owed = std::max(0.0, -common) / bucket_of(s, org).rate;
    auto const wait =
        std::chrono::duration<double>(std::max(owed, (needed - q.left) / rate));
    return std::clamp<std::chrono::milliseconds>(
        std::chrono::ceil<std::chrono::milliseconds>(wait), soonest, latest);
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
           text(q.left) + " left of the own share of " + text(100 * q.share) +
           " in 100, " + text(q.common) + " left of all nodes' " +
           text(bucket_of(s, org).size) + ", rate " + text(org.quota_rate) +
           " a second";
}

// The account of an organisation begins to fill when it becomes known.
void open_quotas(node_state& s)
{
    for (auto const& [name, it] : s.config.organisations) {
        auto& q = s.quotas[name];
        if (q.filled_at == time_point{})
            q.filled_at = s.now;
    }
}

// What this node tells its peers; shares are reckoned with it from then on.
void tell_quotas(node_state& s, heartbeat& out)
{
    bool const heard = hears_all(s);
    for (auto& [name, q] : s.quotas) {
        sample_demand(s, q);
        auto const org = s.config.organisations.find(name);
        if (org != s.config.organisations.end())
            fill(s, org->second.value, q);
        if (heard) {
            q.told_demand = q.demand;
            q.untold = 0;
        }
        out.demand[name] = q.told_demand;
    }
}

// What a peer has spent since its last word.
void learn_spending(node_state& s, peer_state& p, heartbeat const& e)
{
    double const passed = seconds_since(s, p.spending_at);
    bool const first = p.spending_at == time_point{};
    p.spending_at = s.now;
    // The first totals that a peer tells are where its later ones begin.
    bool const begins = !e.under && !p.spent_totals;
    auto const& totals = p.spent_totals;
    for (auto const& [name, spent] : e.spent) {
        double const base =
            !totals || !totals->contains(name) ? 0 : totals->at(name);
        double const delta = begins ? 0 : std::max(0.0, spent - base);
        double& rate = p.spending[name];
        auto& q = s.quotas[name];
        q.common -= delta;
        q.seen += delta;
        if (e.under) {
            q.fresh += delta;
            p.handed[name] += delta;
        }
        rate = first || passed <= 0 ? 0 : delta / passed;
    }
    if (e.under)
        p.spent_totals.reset();
    else
        p.spent_totals = e.spent;
}

} // namespace papayahook::core
