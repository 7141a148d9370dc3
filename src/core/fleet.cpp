// Fleet plan: how many endpoints of each kind a pool has in each availability
// zone. The lease holder orders them according to the load that all nodes
// measure.
//
// Reclaimable endpoints are cheap, but all of a zone may be lost at once. Both
// kinds together can therefore carry the load without one zone, and lasting
// (non-reclaimable) endpoints can carry it without any reclaimable ones, at a
// higher utilisation. When so many reclaimable endpoints are lost that the rest
// cannot carry the load, lasting ones are ordered until reclaimable ones are
// available again.
#include "core/internal.hpp"

#include <algorithm>
#include <cmath>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Planned utilisation, as a fraction of an endpoint's time: without one zone,
// while lost endpoints are being replaced, and when all reclaimable ones are
// lost.
constexpr double zone_loss_utilisation = 0.45;
constexpr double replacement_utilisation = 0.7;
constexpr double reclaim_utilisation = 0.7;
// Slots may be utilised by this factor more than an endpoint's time: concurrent
// calls share its decoding steps at little cost, while prompts wait for each
// other.
constexpr double slot_utilisation_factor = 1.5;
// Interval and weight of the samples of the moving average.
constexpr auto load_sample_period = 500ms;
constexpr double load_smoothing = 0.1;
constexpr auto plan_period = 500ms;
constexpr auto min_observation = 3s; // time of measured load before any order
// Time for which fewer endpoints must be enough before fewer are ordered.
constexpr auto scale_down_delay = 6s;
constexpr auto order_retry_delay = 2s; // after a refusal or without a reply
// Time after which an accepted order is repeated if endpoints are missing.
constexpr auto reorder_delay = 20s;
// After a refusal of reclaimable endpoints, only a part of the remaining ones
// is counted: a platform that takes some back may take more.
constexpr auto scarcity_period = 10s;
constexpr double scarcity_utilisation = 0.5;
constexpr double scarcity_weight = 0.5; // counted fraction of the remaining

constexpr double seconds_per_us = 1e-6;

struct endpoint_counts
{
    int lasting = 0;
    int reclaimable = 0;
};

std::map<std::string, endpoint_counts> count_endpoints(node_state const& s,
                                                       pool const& p)
{
    std::map<std::string, endpoint_counts> out;
    for (auto const& [name, it] : s.config.endpoints) {
        auto const& e = it.value;
        if (e.pool != p.name)
            continue;
        auto& zone = out[e.zone];
        if (!is_leaving(s, e))
            (e.reclaimable ? zone.reclaimable : zone.lasting)++;
    }
    return out;
}

// Returns the zones in which endpoints are ordered: not the evacuated ones. If
// no other zone has any, all other zones that the pool states costs for are.
std::map<std::string, endpoint_counts> zones_to_plan(node_state const& s,
                                                     pool const& p)
{
    auto out = count_endpoints(s, p);
    auto const removed = std::erase_if(
        out, [&](auto const& it) { return is_evacuated(s, it.first); });
    if (removed == 0 || !out.empty() || !p.scaling)
        return out;
    for (auto const& [zone, cost] : p.scaling->zone_cost)
        if (!is_evacuated(s, zone))
            out[zone];
    return out;
}

// Returns the number of endpoints that the calls and prompts of all nodes would
// keep busy.
double total_load(node_state const& s, std::string const& pool)
{
    auto const own = s.work.find(pool);
    auto sum = own == s.work.end() ? pool_work{} : own->second.mean_work;
    for (auto const& [link, p] : s.peers) {
        auto const it = p.last_heartbeat.work.find(pool);
        if (it == p.last_heartbeat.work.end())
            continue;
        sum.prefill += it->second.prefill;
        sum.decode += it->second.decode;
    }
    return std::max(sum.prefill, sum.decode / slot_utilisation_factor);
}

double own_slot_load(node_state const& s, std::string const& pool)
{
    double out = 0;
    for (auto const& [name, known] : s.endpoints) {
        auto const it = s.config.endpoints.find(name);
        if (it != s.config.endpoints.end() && it->second.value.pool == pool)
            out += static_cast<double>(known.in_flight) /
                   std::max(1, it->second.value.slots);
    }
    return out;
}

int round_up(double it)
{
    return static_cast<int>(std::ceil(it - 1e-6));
}

void order_if_due(node_state& s, std::string const& pool_name,
                  std::string const& zone, bool reclaimable, int wanted,
                  int present, effects& out)
{
    auto& it = s.endpoint_orders[{pool_name, zone, reclaimable}];
    int const ordered = it.accepted < 0 ? present : it.accepted;
    if (wanted >= ordered)
        it.surplus_since = {};
    else if (it.surplus_since == time_point{})
        it.surplus_since = s.now;
    bool const scale_down =
        wanted < ordered &&
        s.now >= it.surplus_since + duration(scale_down_delay);
    bool const missing = it.accepted > 0 && present < it.accepted &&
                         s.now >= it.accepted_at + duration(reorder_delay);
    bool const due = wanted > ordered || scale_down || missing;
    if (!due || s.now < it.not_before)
        return;
    if (!begins_duty_call(s)) {
        s.fleet_planned_at = {}; // again as soon as it may
        return;
    }
    it.requested = wanted;
    it.not_before = s.now + duration(order_retry_delay);
    emit_log_event(
        out, events::endpoints_ordered, pool_name, zone,
        std::string(reclaimable ? "reclaimable" : "lasting") + ", wanted " +
            std::to_string(wanted) + ", there " + std::to_string(present) +
            ", work " + std::to_string(total_load(s, pool_name)) +
            " endpoints at " +
            std::to_string(prefill_us_per_token(s, pool_name)) +
            " us a token, fencing " + std::to_string(s.duties.fencing) +
            ", era " + std::to_string(s.era));
    out.push_back(order_endpoints{s.duties.fencing, pool_name, zone,
                                  reclaimable, wanted});
}

void plan_pool(node_state& s, pool const& p, effects& out)
{
    auto const zones = zones_to_plan(s, p);
    if (zones.empty() || !p.scaling)
        return;
    auto const& limits = *p.scaling;
    double const load = total_load(s, p.name);
    auto const n = static_cast<double>(zones.size());
    double const zones_left = std::max(1.0, n - 1);
    int const per_zone = std::clamp(
        round_up(load / zone_loss_utilisation / zones_left),
        std::max(1, limits.min_per_zone), std::max(1, limits.max_per_zone));
    int const lasting = std::clamp(round_up(load / reclaim_utilisation / n),
                                   std::max(1, limits.min_per_zone), per_zone);
    int reclaimable = 0;
    for (auto const& [zone, counts] : zones)
        reclaimable += counts.reclaimable;
    auto const refused = s.reclaimable_refused_at.find(p.name);
    bool const scarce = refused != s.reclaimable_refused_at.end() &&
                        s.now < refused->second + duration(scarcity_period);
    double const needed =
        scarce ? load / scarcity_utilisation - scarcity_weight * reclaimable
               : load / replacement_utilisation - reclaimable;
    int const lasting_wanted =
        std::clamp(round_up(needed / n), lasting, per_zone);
    for (auto const& [zone, counts] : zones) {
        int const reclaimable_wanted = per_zone - lasting;
        order_if_due(s, p.name, zone, true, reclaimable_wanted,
                     counts.reclaimable, out);
        int const ordered = std::max(
            counts.lasting, s.endpoint_orders[{p.name, zone, false}].accepted);
        order_if_due(s, p.name, zone, false,
                     scarce ? std::max(lasting_wanted, ordered)
                            : lasting_wanted,
                     counts.lasting, out);
    }
}

void sample_work(node_state const& s, std::string const& pool, work_rate& it)
{
    if (it.sampled_at == time_point{})
        it.sampled_at = s.now;
    auto const passed = s.now - it.sampled_at;
    if (passed < duration(load_sample_period))
        return;
    double const prefill_load =
        it.prefill_seconds / std::chrono::duration<double>(passed).count();
    it.mean_work.prefill +=
        load_smoothing * (prefill_load - it.mean_work.prefill);
    it.mean_work.decode +=
        load_smoothing * (own_slot_load(s, pool) - it.mean_work.decode);
    it.prefill_seconds = 0;
    it.sampled_at = s.now;
}

} // namespace

void count_work(node_state& s, request_state const& r)
{
    s.work[r.pool].prefill_seconds +=
        seconds_per_us * r.prefill_tokens * prefill_us_per_token(s, r.pool);
    if (s.work_since == time_point{})
        s.work_since = s.now;
}

void count_unserved(node_state& s, request_state const& r)
{
    if (!r.request.block_tokens.empty())
        s.work[r.pool].prefill_seconds += seconds_per_us *
                                          r.request.block_tokens.back() *
                                          prefill_us_per_token(s, r.pool);
}

std::map<std::string, pool_work> own_work(node_state& s)
{
    std::map<std::string, pool_work> out;
    for (auto& [name, it] : s.work) {
        sample_work(s, name, it);
        out[name] = it.mean_work;
    }
    return out;
}

void plan_fleet(node_state& s, effects& out)
{
    bool const known = s.work_since != time_point{} &&
                       s.now >= s.work_since + duration(min_observation);
    if (!s.settings.fleet_planning_enabled || !known ||
        s.now < s.fleet_planned_at + duration(plan_period))
        return;
    s.fleet_planned_at = s.now;
    for (auto const& [name, it] : s.config.pools)
        plan_pool(s, it, out);
}

void on_endpoints_ordered(node_state& s, endpoints_ordered const& e,
                          effects& out)
{
    s.duties.open_calls--;
    auto& it = s.endpoint_orders[{e.pool, e.zone, e.reclaimable}];
    if (e.ok) {
        it.accepted = e.count;
        it.accepted_at = s.now;
        it.surplus_since = {};
        it.not_before = s.now;
        return;
    }
    if (e.reclaimable)
        s.reclaimable_refused_at[e.pool] = s.now;
    emit_log_event(out, events::order_refused, e.pool, e.zone, e.reason);
}

} // namespace papayahook::core
