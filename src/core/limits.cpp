// Concurrency limits: how many calls a node keeps open at the endpoints of a
// version, and how long a request may wait for a call.
//
// Load reports lag, so that several nodes send to the same free slots. The
// calls in excess then wait inside the runners, where they can be neither
// ordered nor refused. Each node therefore also adjusts a limit by its own
// answers: late first tokens lower the limit by a factor, timely ones raise it
// by a step. The nodes converge to even shares without communicating.
#include "core/internal.hpp"

#include <algorithm>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr auto adjust_period = 500ms;
constexpr int min_samples = 5;             // first tokens per adjustment
constexpr double late_smoothing = 0.05;    // weight of a new sample
constexpr double max_late_fraction = 0.05; // above: too many calls in flight
constexpr double decrease_factor = 0.93;
constexpr double full_fraction = 0.85;     // of the slots, by load reports
constexpr double increase_fraction = 0.03; // of the limit; at least one call
constexpr double min_share_fraction = 0.5; // of an even share of the slots
// Fractions of the first-token target: the longest wait in this node's queue if
// the organisation is above its share, the longest wait if it is within its
// share, and the time at the endpoint.
constexpr double wait_fraction = 0.2;
constexpr double wait_fraction_in_share = 0.35;
constexpr double endpoint_fraction = 0.45;
// A queue that has not been empty for `standing_time` is no burst. One without
// an entry newer than `recent_join_time` only drains.
constexpr auto standing_time = 500ms;
constexpr auto recent_join_time = 250ms;

bool runs_on_model_runner(node_state const& s, request_state const& r)
{
    auto const it = s.config.endpoints.find(r.endpoint);
    return it != s.config.endpoints.end() &&
           it->second.value.kind == endpoint_kind::model_runner;
}

struct version_load
{
    int slots = 0;          // of the version's endpoints
    int reported_slots = 0; // of the endpoints with a recent report
    int reported = 0;       // running and waiting calls in these reports
};

version_load load_of_version(node_state const& s, std::string const& pool,
                             std::string const& version)
{
    version_load out;
    for (auto const& [name, it] : s.config.endpoints) {
        auto const& e = it.value;
        if (e.pool != pool || e.version != version || is_leaving(s, e))
            continue;
        out.slots += e.slots;
        auto const known = s.endpoints.find(name);
        bool const is_recent =
            known != s.endpoints.end() &&
            known->second.reported_at != time_point{} &&
            s.now < known->second.reported_at + s.settings.report_horizon;
        if (!is_recent)
            continue;
        out.reported_slots += e.slots;
        out.reported += known->second.reported;
    }
    return out;
}

// First tokens may be late for other reasons, such as long prompts that arrive
// at one runner together; fewer calls help only if the slots are scarce.
bool is_full(version_load const& it)
{
    return it.reported_slots == 0 ||
           it.reported >= full_fraction * it.reported_slots;
}

void adjust(node_state const& s, version_load const& load,
            concurrency_limit& it)
{
    int const slots = load.slots;
    auto const nodes =
        static_cast<double>(std::max<std::ptrdiff_t>(1, live_members(s)));
    double const min_limit = std::max(1.0, min_share_fraction * slots / nodes);
    double const current = it.limit == 0 ? slots : it.limit;
    if (it.late_mean > max_late_fraction && is_full(load)) {
        it.limit =
            std::max(min_limit,
                     decrease_factor * std::min<double>(current, it.in_flight));
        // The same samples count only once.
        it.late_mean = max_late_fraction / 2;
    }
    else if (it.reached && it.limit != 0) {
        it.limit += std::max(1.0, increase_fraction * it.limit);
    }
    if (it.limit >= slots)
        it.limit = 0;
}

// Open requests and weight of one organisation, or their sums over several.
struct usage
{
    double open = 0;
    double weight = 0;
};

double per_weight(usage const& it)
{
    return it.weight <= 0 ? 0 : it.open / it.weight;
}

// All organisations with open requests, the lowest use per weight first.
std::vector<usage> open_usages(node_state const& s)
{
    std::vector<usage> out;
    for (auto const& [name, n] : s.in_flight) {
        auto const it = s.config.organisations.find(name);
        if (n > 0 && it != s.config.organisations.end())
            out.push_back({static_cast<double>(n), it->second.value.weight});
    }
    std::ranges::sort(out, {}, per_weight);
    return out;
}

usage sum_of(std::vector<usage> const& all)
{
    usage out;
    for (auto const& it : all) {
        out.open += it.open;
        out.weight += it.weight;
    }
    return out;
}

// Open requests per unit of weight up to which an organisation is within its
// share. Organisations below an even share leave the rest to the others
// (max-min fairness over all but the reserve), so that one with a few requests
// more than its mean is not treated as the source of a flood.
double fair_level(node_state const& s)
{
    auto const all = open_usages(s);
    auto remaining = sum_of(all);
    double const even = per_weight(remaining);
    remaining.open *= 1 - fair_share_reserve;
    for (auto const& it : all) {
        if (per_weight(it) > per_weight(remaining))
            break;
        remaining.open -= it.open;
        remaining.weight -= it.weight;
    }
    return std::max(even, per_weight(remaining));
}

// Whether one organisation has far more than an even share of the open
// requests.
bool is_flooded(node_state const& s)
{
    constexpr double flood_factor = 2;
    auto const all = open_usages(s);
    return !all.empty() &&
           per_weight(all.back()) > flood_factor * per_weight(sum_of(all));
}

} // namespace

bool is_within_fair_share(node_state const& s, std::string const& organisation)
{
    auto const it = s.config.organisations.find(organisation);
    auto const own = s.in_flight.find(organisation);
    if (it == s.config.organisations.end() || own == s.in_flight.end())
        return false;
    return own->second <= fair_level(s) * it->second.value.weight;
}

bool limit_allows_call(node_state& s, std::string const& pool,
                       std::string const& version, bool in_share)
{
    auto& it = s.limits[{pool, version}];
    // During a flood the limit falls because of the calls of the flooding
    // organisation, so organisations within their share may exceed the limit by
    // the reserve.
    double const reserve = std::max(1.0, fair_share_reserve * it.limit);
    double const max_calls = !in_share       ? it.limit - reserve
                             : is_flooded(s) ? it.limit + reserve
                                             : it.limit;
    bool const allowed =
        it.limit == 0 || it.in_flight == 0 || it.in_flight < max_calls;
    it.reached = it.reached || !allowed;
    return allowed;
}

void sample_first_token_latency(node_state& s, request_state const& r,
                                duration first_token)
{
    if (!runs_on_model_runner(s, r) || r.on_cold_endpoint)
        return;
    auto const prefill = r.request.prompt_tokens * s.settings.prefill_per_token;
    auto const target = duration(s.settings.first_token_target);
    auto const allowed = std::chrono::duration_cast<duration>(
        target * endpoint_fraction + prefill);
    auto& it = s.limits[{r.pool, r.version}];
    it.first_tokens++;
    it.late_mean +=
        late_smoothing * ((first_token > allowed ? 1 : 0) - it.late_mean);
}

void adjust_limits(node_state& s)
{
#if PAPAYAHOOK_MUTATION_NO_LIMITS
    return;
#endif
    for (auto& [name, it] : s.limits) {
        bool const due = it.first_tokens >= min_samples &&
                         s.now >= it.judged_at + adjust_period;
        if (!due)
            continue;
        auto const old_limit = it.limit;
        adjust(s, load_of_version(s, name.first, name.second), it);
        if (it.limit < old_limit || (old_limit == 0 && it.limit != 0))
            record_decision(
                s, name.first, "limit.lower",
                "first tokens late, version " + name.second + ": at most " +
                    std::to_string(static_cast<int>(it.limit)) + " calls");
        it.first_tokens = 0;
        it.reached = false;
        it.judged_at = s.now;
    }
}

void record_empty_queues(node_state& s)
{
    for (auto const& [pool, queues] : s.queues) {
        bool const empty = std::ranges::all_of(
            queues, [](auto const& it) { return it.second.empty(); });
        auto const [at, inserted] = s.queue_empty_at.try_emplace(pool, s.now);
        if (empty)
            at->second = s.now;
    }
}

bool is_standing_queue(node_state const& s, std::string const& pool)
{
#if PAPAYAHOOK_MUTATION_NO_SHEDDING
    return false;
#endif
    auto const it = s.queue_empty_at.find(pool);
    auto const joined = s.queue_joined_at.find(pool);
    // A queue without recent entries is a burst that is being served.
    bool const is_growing = joined != s.queue_joined_at.end() &&
                            s.now < joined->second + recent_join_time;
    return is_growing && it != s.queue_empty_at.end() &&
           it->second + standing_time <= s.now;
}

wait_limits max_queue_wait(node_state const& s, std::string const& organisation)
{
    auto const fraction = is_within_fair_share(s, organisation)
                              ? wait_fraction_in_share
                              : wait_fraction;
    return {std::chrono::duration_cast<duration>(
                duration(s.settings.first_token_target) * fraction),
            duration(s.settings.service_wait)};
}

bool exceeds_queue_wait(node_state const& s, request_state const& r,
                        wait_limits const& longest)
{
    bool const is_exempt = r.klass == priority_class::job ||
                           r.klass == priority_class::order || r.head_sent ||
                           r.attempts > 0;
    auto const limit =
        r.request.via_model_path ? longest.model : longest.service;
    return !is_exempt && r.arrived + limit <= s.now;
}

} // namespace papayahook::core
