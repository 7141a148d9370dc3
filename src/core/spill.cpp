// Decides which requests of this node's zone use endpoints of other zones.
//
// A zone serves its own callers while that meets their targets. When its
// endpoints have more work waiting than those of other zones, a share of its
// requests leaves. All nodes of the zone derive the share from the figures that
// the hubs aggregate, and a request leaves by the hash of its prefix, so that
// the zone acts as one and requests with the same prefix stay together. The
// share moves by small steps, because the figures are some tenths of a second
// old: 90 nodes that leave at once would overload the other zones and return at
// once.
#include "core/internal.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace papayahook::core {

namespace {

// A zone with fewer endpoints cannot absorb clumps of requests by itself.
constexpr int min_zone_endpoints = 3;
constexpr double wait_smoothing = 0.3; // weight of a new sample
// Fractions of the target that the mean wait may take: above the first one
// requests begin to leave, below the second one they return. 95 of 100 waits
// are shorter than three times the mean, which is then half of the target; the
// other half is for reading the prompt and for stalls.
constexpr double leave_fraction = 1.0 / 6;
constexpr double return_fraction = 1.0 / 12;
// Largest change of the share per plan, below what the figures' age allows.
constexpr double share_step = 0.1;
constexpr double max_utilisation = 0.99;
constexpr int hops_of_a_call = 2;
constexpr double bytes_per_kib = 1024;

struct zone_figures
{
    int endpoints = 0;
    double slots = 0;
    double calls = 0;
    double tokens = 0;    // prompt tokens whose first token is pending
    double answer_us = 0; // least mean answer time of a plain endpoint
    bool runs_models = false;
};

using pool_figures = std::map<std::string, zone_figures>; // by zone

void add_endpoint(node_state const& s, endpoint const& e,
                  endpoint_state const& known, zone_figures& to)
{
    to.endpoints++;
    to.slots += e.slots;
    auto const others = mean_remote_load(s, e.name);
    to.calls += known.in_flight + others.calls;
    to.tokens += known.prefill_tokens + others.tokens;
    to.runs_models = to.runs_models || e.kind == endpoint_kind::model_runner;
    if (known.first_token_us > 0)
        to.answer_us = to.answer_us == 0
                           ? known.first_token_us
                           : std::min(to.answer_us, known.first_token_us);
}

std::map<std::string, pool_figures> collect_figures(node_state const& s)
{
    static endpoint_state const unknown;
    std::map<std::string, pool_figures> out;
    for (auto const& [name, it] : s.config.endpoints) {
        auto const& e = it.value;
        auto& zone = out[e.pool][e.zone];
        auto const known = s.endpoints.find(name);
        auto const& state =
            known == s.endpoints.end() ? unknown : known->second;
        bool const is_usable = !is_leaving(s, e) &&
                               state.paused_until <= s.now &&
                               state.cold_until <= s.now;
        if (is_usable)
            add_endpoint(s, e, state, zone);
    }
    return out;
}

// Expected wait in microseconds before an endpoint of the zone begins to work
// on a request. Prompts wait for the tokens ahead of them; requests to plain
// services wait for a slot (Sakasegawa's approximation of M/M/c).
double expected_wait(node_state const& s, std::string const& pool,
                     zone_figures const& it)
{
    if (it.endpoints == 0)
        return std::numeric_limits<double>::infinity();
    if (it.runs_models)
        return it.tokens / it.endpoints * prefill_us_per_token(s, pool);
    double const use = std::min(max_utilisation, it.calls / it.slots);
    double const excess = std::max(0.0, it.calls - it.slots) / it.slots;
    double const queued =
        std::pow(use, std::sqrt(2 * (it.slots + 1))) / (it.slots * (1 - use));
    return it.answer_us * (excess + queued);
}

// The strictest target counts: the zone must meet the targets of all routes.
duration target_of(node_state const& s, std::string const& pool)
{
    auto out = duration::max();
    for (auto const& [name, it] : s.config.routes) {
        auto const& r = it.value;
        bool const uses_pool =
            r.pool == pool || std::ranges::any_of(r.splits, [&](auto& part) {
                return part.pool == pool;
            });
        if (uses_pool && r.first_byte_target > r.first_byte_target.zero())
            out = std::min(out, duration(r.first_byte_target));
    }
    return out == duration::max() ? duration(s.settings.first_token_target)
                                  : out;
}

double hop_us(node_state const& s)
{
    return static_cast<double>(hops_of_a_call *
                               duration(s.settings.hop_cost).count());
}

void smooth_waits(node_state const& s, std::string const& pool,
                  pool_figures const& zones, spill_state& it)
{
    std::erase_if(it.wait_us,
                  [&](auto const& n) { return !zones.contains(n.first); });
    for (auto const& [zone, figures] : zones) {
        double const now = expected_wait(s, pool, figures);
        auto const [known, is_new] = it.wait_us.try_emplace(zone, now);
        bool const blends =
            !is_new && std::isfinite(known->second) && std::isfinite(now);
        known->second =
            blends ? known->second + wait_smoothing * (now - known->second)
                   : now;
    }
}

// Splits what leaves over the zones with less work, by what they save.
void choose_targets(node_state const& s, pool_figures const& zones,
                    double own_wait, spill_state& it)
{
    it.targets.clear();
    double total = 0;
    for (auto const& [zone, figures] : zones) {
        if (zone == s.settings.zone || figures.endpoints == 0)
            continue;
        double const saved =
            it.zone_usable ? own_wait - it.wait_us[zone] - hop_us(s) : 1;
        if (saved > 0)
            total += it.targets[zone] = saved * figures.endpoints;
    }
    for (auto& [zone, part] : it.targets)
        part /= total;
}

// Returns the next share. Between the two thresholds it stays as it is.
double next_share(spill_state const& it, double own_wait, double best_wait,
                  double hop)
{
#if PAPAYAHOOK_MUTATION_NO_SPILL
    return 0;
#endif
    auto const target = static_cast<double>(it.target.count());
    double const gain = own_wait - best_wait - hop;
    if (own_wait > leave_fraction * target && gain > 0)
        return std::min(1.0,
                        it.share + share_step * std::min(1.0, gain / target));
    if (own_wait < return_fraction * target || gain <= 0)
        return std::max(0.0, it.share - share_step);
    return it.share;
}

void plan_pool(node_state const& s, std::string const& pool,
               pool_figures const& zones, spill_state& it)
{
    if (it.target_as_of != s.config.applied || it.target == duration{}) {
        it.target = target_of(s, pool);
        it.target_as_of = s.config.applied;
    }
    smooth_waits(s, pool, zones, it);
    auto const own = zones.find(s.settings.zone);
    int const endpoints = own == zones.end() ? 0 : own->second.endpoints;
    it.zone_usable = endpoints > 0;
    it.prefers_zone = endpoints == 0 || endpoints >= min_zone_endpoints;
    double const own_wait = it.zone_usable ? it.wait_us[s.settings.zone] : 0;
    choose_targets(s, zones, own_wait, it);
    if (!it.zone_usable || !it.prefers_zone || it.targets.empty()) {
        it.share = it.zone_usable ? 0 : 1;
        return;
    }
    double best = std::numeric_limits<double>::infinity();
    for (auto const& [zone, part] : it.targets)
        best = std::min(best, it.wait_us[zone]);
    it.share = next_share(it, own_wait, best, hop_us(s));
}

std::string describe(spill_state const& it)
{
    std::string out = "share " + std::to_string(it.share) + ", expected waits";
    for (auto const& [zone, us] : it.wait_us)
        out += " " + zone + " " +
               (std::isfinite(us) ? std::to_string(std::llround(us)) + " us"
                                  : std::string("no endpoint"));
    return out + ", target " + std::to_string(it.target.count()) + " us";
}

// Requests with the same prefix leave or stay together, so that their prefix
// stays cached in one zone.
double position_of(request_arrived const& asked)
{
    auto const& blocks = asked.prefix_blocks;
    bool const has_parts = !asked.block_tokens.empty() && blocks.size() > 1;
    auto const key =
        has_parts ? std::to_string(blocks[blocks.size() - 2]) : asked.id;
    constexpr double steps = 1 << 20;
    constexpr int low_bits = 44;
    return static_cast<double>(hash_of("spill" + key) >> low_bits) / steps;
}

bool pays_for_bytes(node_state const& s, request_state const& r,
                    spill_state const& it, std::string const& zone)
{
    auto const price = s.settings.hop_cost_per_kib;
    auto const own = it.wait_us.find(s.settings.zone);
    auto const other = it.wait_us.find(zone);
    if (price <= price.zero() || own == it.wait_us.end() ||
        other == it.wait_us.end())
        return true;
    double const cost = static_cast<double>(price.count()) *
                        static_cast<double>(r.request.body_bytes) /
                        bytes_per_kib;
    return own->second - other->second - hop_us(s) > cost;
}

} // namespace

void plan_spill(node_state& s, effects& out)
{
    if (s.now < s.spill_planned_at + duration(s.settings.heartbeat_period))
        return;
    s.spill_planned_at = s.now;
    // Without the figures of the others a node sees only its own calls. A few
    // nodes know the load well enough to place each request by its cost alone.
    if (!s.settings.prefers_own_zone || !has_many_nodes(s) ||
        !covers_most_nodes(s)) {
        s.spill.clear();
        return;
    }
    auto const figures = collect_figures(s);
    std::erase_if(s.spill,
                  [&](auto const& it) { return !figures.contains(it.first); });
    for (auto const& [pool, zones] : figures) {
        auto& it = s.spill[pool];
        bool const spilled = it.share > 0;
        plan_pool(s, pool, zones, it);
        if (spilled != (it.share > 0))
            emit_log_event(
                out, spilled ? events::spill_ended : events::spill_started,
                pool, s.settings.zone, describe(it));
    }
}

zone_choice zones_for(node_state const& s, request_state const& r,
                      std::string const& pool)
{
    auto const known = s.spill.find(pool);
    // A retry takes the best endpoint of all: its caller has waited already.
    if (known == s.spill.end() || !known->second.prefers_zone || r.attempts > 0)
        return {};
    auto const& it = known->second;
    double position = position_of(r.request);
    if (position >= it.share)
        return {s.settings.zone, zone_reason::own};
    auto const reason =
        it.zone_usable ? zone_reason::spill : zone_reason::no_endpoint;
    position /= it.share;
    for (auto const& [zone, part] : it.targets) {
        position -= part;
        if (position < 0)
            return pays_for_bytes(s, r, it, zone)
                       ? zone_choice{zone, reason}
                       : zone_choice{s.settings.zone, zone_reason::own};
    }
    return {};
}

void count_zone_call(node_state& s, request_state const& r, endpoint const& e,
                     std::string const& pool)
{
    auto const choice = zones_for(s, r, pool);
    auto const reason = e.zone == s.settings.zone ? zone_reason::own
                        : choice.zone.empty()     ? zone_reason::any
                        : choice.zone != e.zone   ? zone_reason::no_room
                                                  : choice.reason;
    s.counts.zone_calls[{e.zone, reason}]++;
}

} // namespace papayahook::core
