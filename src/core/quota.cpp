// Quotas: an organisation's units a second, shared among the nodes.
//
// Each node spends a part of the rate; the parts follow the demand that the
// nodes tell one another with their heartbeats. A part is never larger than
// what the nodes known leave over, so that the sum stays within the limit
// whatever each of them knows.
#include "core/internal.hpp"

#include <algorithm>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr auto demand_period = 500ms; // of one sample of the moving mean
constexpr double demand_step = 0.3;   // of the moving mean, per sample
// Part of the rate that is split evenly, so that a node whose first requests
// have just come has something to spend.
constexpr double even_part = 0.25;
// Units that may be saved up, in seconds of the node's share: the burst
// belongs to all nodes together.
constexpr double spare_seconds = 1.0;

double part_of(node_state const& s, std::string const& name, double own)
{
    double all = own;
    double nodes = 1;
    for (auto const& [link, p] : s.peers) {
        if (p.node.empty())
            continue;
        nodes += 1;
        auto const it = p.last.demand.find(name);
        all += it == p.last.demand.end() ? 0 : it->second;
    }
    // Nodes that are known and out of sight may spend as well.
    nodes = std::max(nodes, static_cast<double>(s.members.size()));
    auto const by_demand = all <= 0 ? 1 / nodes : own / all;
    return even_part / nodes + (1 - even_part) * by_demand;
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

void fill(node_state const& s, organisation const& org, quota_state& q)
{
    double const passed =
        q.filled_at == time_point{}
            ? 0
            : std::chrono::duration<double>(s.now - q.filled_at).count();
    q.filled_at = s.now;
    q.share = part_of(s, org.name, q.demand);
    double const most =
        q.share * std::max(org.quota_burst, spare_seconds * org.quota_rate);
    q.left = std::min(most, q.left + passed * q.share * org.quota_rate);
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
    if (org.quota_rate <= 0)
        return std::nullopt;
    auto& q = s.quotas[org.name];
    double const cost = quota_cost(org, e);
    q.asked += cost;
    sample_demand(s, q);
    fill(s, org, q);
    // A request larger than all that can be saved up goes when that is full.
    double const needed =
        std::min(cost, q.share * std::max(org.quota_burst,
                                          spare_seconds * org.quota_rate));
    if (q.left >= needed && q.left > 0) {
        q.left -= cost;
        return std::nullopt;
    }
    double const rate = std::max(1e-6, q.share * org.quota_rate);
    auto const wait = std::chrono::duration<double>((needed - q.left) / rate);
    return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(wait),
                      std::chrono::milliseconds(50),
                      std::chrono::milliseconds(60'000));
}

std::map<std::string, double> own_demand(node_state& s)
{
    std::map<std::string, double> out;
    for (auto& [name, q] : s.quotas) {
        sample_demand(s, q);
        out[name] = q.demand;
    }
    return out;
}

} // namespace papayahook::core
