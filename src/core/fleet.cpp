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
//
// A pool with much load (large_load) is planned from what its callers' targets
// allow instead: see docs/design/fleet.md.
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

// Pools with a load of this many endpoints are planned as large ones. With
// fewer, whole endpoints per zone leave nothing to save.
constexpr double large_load = 8;
// Fraction of the requests of a large pool that may wait for too long.
constexpr double late_fraction = 0.02;
// Lengths of prompts vary widely, which makes waits longer by this factor than
// with exponentially distributed ones.
constexpr double wait_factor = 2;
// Nodes choose endpoints by loads that are a heartbeat old.
constexpr double max_utilisation = 0.8;
// The reserve bears a burst of this factor and length. What lasts longer than a
// boot is answered by ordered endpoints.
constexpr double burst_factor = 1.7;
constexpr auto burst_time = 3s;
// The plan follows the largest load of this many boots, so that endpoints that
// a wave needs again are not given back.
constexpr int planned_boots = 10;
constexpr auto large_observation = 6s; // time of measured load
// Longest wait for the learned time per token, before which the load is
// overstated.
constexpr auto learning_time = 15s;
constexpr auto large_scale_down_delay = 2s;

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

struct order_delays
{
    duration scale_down = scale_down_delay;
    duration reorder = reorder_delay;
};

void order_if_due(node_state& s, std::string const& pool_name,
                  std::string const& zone, bool reclaimable, int wanted,
                  int present, effects& out, order_delays const& after = {})
{
    auto& it = s.endpoint_orders[{pool_name, zone, reclaimable}];
    int const ordered = it.accepted < 0 ? present : it.accepted;
    if (wanted >= ordered)
        it.surplus_since = {};
    else if (it.surplus_since == time_point{})
        it.surplus_since = s.now;
    bool const scale_down =
        wanted < ordered && s.now >= it.surplus_since + after.scale_down;
    bool const missing = it.accepted > 0 && present < it.accepted &&
                         s.now >= it.accepted_at + after.reorder;
    bool const due = wanted > ordered || scale_down || missing;
    if (!due || s.now < it.not_before)
        return;
    it.requested = wanted;
    it.not_before = s.now + duration(order_retry_delay);
    emit_log_event(
        out, events::endpoints_ordered, pool_name, zone,
        std::string(reclaimable ? "reclaimable" : "lasting") + ", wanted " +
            std::to_string(wanted) + ", there " + std::to_string(present) +
            ", work " + std::to_string(total_load(s, pool_name)) +
            " endpoints at " +
            std::to_string(prefill_us_per_token(s, pool_name)) +
            " us a token, fencing " + std::to_string(s.duties.fencing));
    out.push_back(order_endpoints{s.duties.fencing, pool_name, zone,
                                  reclaimable, wanted});
}

bool is_scarce(node_state const& s, pool const& p)
{
    auto const refused = s.reclaimable_refused_at.find(p.name);
    return refused != s.reclaimable_refused_at.end() &&
           s.now < refused->second + duration(scarcity_period);
}

duration boot_time_of(pool const& p)
{
    return std::max<duration>(p.scaling->boot_time, 1s);
}

// Returns the largest load of the last planned_boots.
double recent_load(node_state& s, pool const& p)
{
    // The moving average begins at zero.
    double const samples = static_cast<double>((s.now - s.work_since) /
                                               duration(load_sample_period));
    auto const load =
        total_load(s, p.name) / (1 - std::pow(1 - load_smoothing, samples));
    auto& recent = s.recent_loads[p.name];
    while (!recent.empty() && recent.back().load <= load)
        recent.pop_back();
    recent.push_back({s.now, load});
    auto const oldest = s.now - planned_boots * boot_time_of(p);
    while (recent.front().at < oldest)
        recent.pop_front();
    return recent.front().load;
}

// What the callers of a pool bear.
struct patience
{
    double wait = 0;    // in seconds, beyond the time that an answer takes
    double service = 0; // time of a typical answer, in seconds
};

bool uses_pool(route const& it, std::string const& pool)
{
    return it.pool == pool ||
           std::ranges::any_of(it.splits, [&](auto const& split) {
               return split.pool == pool;
           });
}

// Returns the mean time to the first token at the pool's endpoints; zero if
// none is known.
std::chrono::duration<double> mean_first_token(node_state const& s,
                                               std::string const& pool)
{
    double sum = 0;
    int n = 0;
    for (auto const& [name, known] : s.endpoints) {
        auto const it = s.config.endpoints.find(name);
        bool const counts = it != s.config.endpoints.end() &&
                            it->second.value.pool == pool &&
                            known.first_token_us > 0;
        sum += counts ? known.first_token_us : 0;
        n += counts ? 1 : 0;
    }
    return std::chrono::duration<double>(n == 0 ? 0 : seconds_per_us * sum / n);
}

// From the shortest target of the pool's routes, and the mean time until the
// first token.
patience patience_of(node_state const& s, std::string const& pool)
{
    using seconds = std::chrono::duration<double>;
    seconds target = s.settings.first_token_target;
    for (auto const& [name, it] : s.config.routes)
        if (uses_pool(it.value, pool) && it.value.first_byte_target > 0ms)
            target = std::min<seconds>(target, it.value.first_byte_target);
    auto const first_token = mean_first_token(s, pool);
    double const service =
        first_token > 0s ? first_token.count() : target.count() / 2;
    // Requests that take longer than their target are late anyway.
    return {std::max(target.count() - service, target.count() / 4),
            std::max(service, 1e-3)};
}

// Returns the fewest endpoints with which at most late_fraction of the requests
// waits longer than callers bear (Erlang's formula for a queue with many
// servers). The more endpoints, the higher is their utilisation.
int staffed_for(double load, patience const& callers)
{
    double const rate = callers.wait / callers.service / wait_factor;
    double blocked = 1; // Erlang B
    for (int n = 1;; ++n) {
        blocked = load * blocked / (n + load * blocked);
        if (n * max_utilisation < load)
            continue;
        double const waits = blocked / (1 - load / n * (1 - blocked));
        if (waits * std::exp((load - n) * rate) <= late_fraction)
            return n;
    }
}

// Numbers of a large pool, over all zones.
struct large_plan
{
    int carrying = 0; // carry the load within the targets
    int all = 0;      // and do so without a zone, or in a burst
    int per_zone = 0;
    std::vector<std::string> zones; // cheapest first
};

large_plan plan_of(node_state& s, pool const& p,
                   std::map<std::string, endpoint_counts> const& zones)
{
    auto const& limits = *p.scaling;
    auto const callers = patience_of(s, p.name);
    auto const load = recent_load(s, p);
    auto const n = static_cast<int>(zones.size());
    large_plan out;
    out.carrying = staffed_for(load, callers);
    using seconds = std::chrono::duration<double>;
    double const burst = std::min<seconds>(burst_time, boot_time_of(p)).count();
    double const bears = load * burst_factor / (1 + callers.wait / burst);
    out.all = std::max(out.carrying, round_up(bears));
    bool const zone_loss = n > 1 && limits.min_per_zone > 0;
    int const zone = (out.carrying + n - 2) / std::max(1, n - 1);
    if (zone_loss)
        out.all = std::max(out.all, out.carrying + zone);
    out.per_zone =
        std::clamp((out.all + n - 1) / n, std::max(1, limits.min_per_zone),
                   std::max(1, limits.max_per_zone));
    for (auto const& [name, counts] : zones)
        out.zones.push_back(name);
    std::ranges::stable_sort(out.zones, {}, [&](auto const& name) {
        auto const it = limits.zone_cost.find(name);
        return it == limits.zone_cost.end() ? 1.0 : it->second;
    });
    return out;
}

// The cheapest zones are filled first, lasting endpoints first; each zone has
// one of these.
std::map<std::string, endpoint_counts> spread(large_plan const& plan,
                                              int lasting)
{
    std::map<std::string, endpoint_counts> out;
    auto const n = static_cast<int>(plan.zones.size());
    int rest = std::max(plan.all, lasting);
    int extra = std::max(0, lasting - n);
    for (auto const& zone : plan.zones) {
        int const all = std::clamp(rest, 1, plan.per_zone);
        int const more = std::clamp(extra, 0, all - 1);
        out[zone] = {1 + more, all - 1 - more};
        rest -= all;
        extra -= more;
    }
    return out;
}

// Reclaimable endpoints are lasting ones' substitute as far as those of one
// zone can go at once.
int least_lasting(large_plan const& plan)
{
    auto const n = static_cast<int>(plan.zones.size());
    int const lost = std::min(plan.per_zone, plan.all - plan.carrying);
    return std::max(n, plan.all - n * lost);
}

// Returns the lasting endpoints that are needed beside the reclaimable ones
// that are there. Between the two bounds the present number stays.
int lasting_for(node_state const& s, pool const& p, large_plan const& plan,
                std::map<std::string, endpoint_counts> const& zones)
{
    endpoint_counts there;
    int largest = 0; // reclaimable ones of a zone
    for (auto const& [zone, counts] : zones) {
        there.lasting +=
            std::max(counts.lasting,
                     s.endpoint_orders.contains({p.name, zone, false})
                         ? s.endpoint_orders.at({p.name, zone, false}).accepted
                         : 0);
        there.reclaimable += counts.reclaimable;
        largest = std::max(largest, counts.reclaimable);
    }
    int const least = least_lasting(plan);
    int low = std::max(least, plan.carrying - there.reclaimable);
    // Another zone may lose its reclaimable endpoints before these are back.
    if (is_scarce(s, p))
        low = std::max(low, round_up(total_load(s, p.name)) -
                                (there.reclaimable - largest));
    int const high = std::max(low, plan.all - there.reclaimable);
    return std::clamp(there.lasting, low, high);
}

void plan_large_pool(node_state& s, pool const& p,
                     std::map<std::string, endpoint_counts> const& zones,
                     effects& out)
{
    auto const plan = plan_of(s, p, zones);
    auto const standing = spread(plan, least_lasting(plan));
    auto const lasting = spread(plan, lasting_for(s, p, plan, zones));
    order_delays const after{
        large_scale_down_delay,
        std::max<duration>(2 * boot_time_of(p), order_retry_delay)};
    for (auto const& [zone, counts] : zones) {
        order_if_due(s, p.name, zone, true, standing.at(zone).reclaimable,
                     counts.reclaimable, out, after);
        order_if_due(s, p.name, zone, false, lasting.at(zone).lasting,
                     counts.lasting, out, after);
    }
}

// A large pool keeps what it has until its load is known.
bool is_load_known(node_state const& s, std::string const& pool)
{
    auto const known_for = s.now - s.work_since;
    return known_for >= duration(large_observation) &&
           (s.prefill_us_per_token.contains(pool) ||
            known_for >= duration(learning_time));
}

bool is_large(node_state const& s, pool const& p)
{
#if PAPAYAHOOK_MUTATION_CONSTANT_UTILISATION
    return false;
#endif
    auto const recent = s.recent_loads.find(p.name);
    return total_load(s, p.name) >= large_load ||
           (recent != s.recent_loads.end() && !recent->second.empty() &&
            recent->second.front().load >= large_load &&
            s.now - recent->second.front().at <
                planned_boots * boot_time_of(p));
}

void plan_pool(node_state& s, pool const& p, effects& out)
{
    auto const zones = zones_to_plan(s, p);
    if (zones.empty() || !p.scaling)
        return;
    if (is_large(s, p)) {
        if (is_load_known(s, p.name))
            plan_large_pool(s, p, zones, out);
        return;
    }
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
    bool const scarce = is_scarce(s, p);
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
