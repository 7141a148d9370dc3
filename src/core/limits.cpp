// Limits: calls that a node keeps open at a version's endpoints, and how long
// a request may wait for one.
//
// Reports of load lag, so several nodes send to the room that one of them has
// seen, and the surplus waits in the engines where no one can order or refuse
// it. So each node also judges by its own answers: first tokens that are late
// lower its limit by a factor, those in time raise it by a step, and the nodes
// come to even shares without a word between them.
#include "core/internal.hpp"

#include <algorithm>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr auto judge_period = 500ms;
constexpr int least_seen = 5;       // first tokens for a judgement
constexpr double late_step = 0.05;  // of the moving share
constexpr double late_share = 0.05; // more than this: too much is in flight
constexpr double decrease = 0.93;
constexpr double full_part = 0.85; // of the slots, by reports
constexpr double increase = 0.03;  // of the limit, at least one call
constexpr double least_part = 0.5; // of an even share of the slots
// Parts of the target that a request may spend waiting here, when its
// organisation has more than its share and when not, and at the endpoint.
constexpr double wait_part = 0.2;
constexpr double wait_part_in_share = 0.35;
constexpr double endpoint_part = 0.45;
constexpr auto standing = 500ms;      // never empty for so long: no burst
constexpr auto joined_lately = 250ms; // else it only drains

bool is_model(node_state const& s, request_state const& r)
{
    auto const it = s.config.endpoints.find(r.endpoint);
    return it != s.config.endpoints.end() &&
           it->second.value.kind == endpoint_kind::model_runner;
}

struct fill
{
    int slots = 0;          // of the version's endpoints
    int reported_slots = 0; // of those with a fresh report
    int reported = 0;       // calls that these have, waiting ones too
};

fill fill_of(node_state const& s, std::string const& pool,
             std::string const& version)
{
    fill out;
    for (auto const& [name, it] : s.config.endpoints) {
        auto const& e = it.value;
        if (e.pool != pool || e.version != version || is_leaving(s, e))
            continue;
        out.slots += e.slots;
        auto const known = s.endpoints.find(name);
        bool const fresh =
            known != s.endpoints.end() &&
            known->second.reported_at != time_point{} &&
            s.now < known->second.reported_at + s.settings.report_horizon;
        if (!fresh)
            continue;
        out.reported_slots += e.slots;
        out.reported += known->second.reported;
    }
    return out;
}

// First tokens may be late for other reasons, such as long prompts that met at
// one runner; fewer calls help only where the slots are what is short.
bool is_full(fill const& it)
{
    return it.reported_slots == 0 ||
           it.reported >= full_part * it.reported_slots;
}

void adjust(node_state const& s, fill const& f, concurrency_limit& it)
{
    int const slots = f.slots;
    auto const nodes =
        static_cast<double>(std::max<std::ptrdiff_t>(1, live_members(s)));
    double const least = std::max(1.0, least_part * slots / nodes);
    double const now = it.limit == 0 ? slots : it.limit;
    if (it.late > late_share && is_full(f)) {
        it.limit =
            std::max(least, decrease * std::min<double>(now, it.in_flight));
        it.late = late_share / 2; // the same evidence counts once
    }
    else if (it.reached && it.limit != 0) {
        it.limit += std::max(1.0, increase * it.limit);
    }
    if (it.limit >= slots)
        it.limit = 0;
}

// Open requests and weights, of one organisation or of several.
struct usage
{
    double open = 0;
    double weight = 0;
};

double per_weight(usage const& it)
{
    return it.weight <= 0 ? 0 : it.open / it.weight;
}

// Of all organisations with open requests, the lightest user first.
std::vector<usage> usages(node_state const& s)
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
// share. Organisations that use less than an even part leave the rest to the
// others (max-min fairness over all but the reserve), so one with a few
// requests more than its mean is not taken for the one that floods.
double fair_level(node_state const& s)
{
    auto const all = usages(s);
    auto left = sum_of(all);
    double const even = per_weight(left);
    left.open *= 1 - share_reserve;
    for (auto const& it : all) {
        if (per_weight(it) > per_weight(left))
            break;
        left.open -= it.open;
        left.weight -= it.weight;
    }
    return std::max(even, per_weight(left));
}

// One organisation has far more than an even part of what is open.
bool is_flooded(node_state const& s)
{
    constexpr double far_more = 2;
    auto const all = usages(s);
    return !all.empty() &&
           per_weight(all.back()) > far_more * per_weight(sum_of(all));
}

} // namespace

bool is_in_share(node_state const& s, std::string const& organisation)
{
    auto const it = s.config.organisations.find(organisation);
    auto const own = s.in_flight.find(organisation);
    if (it == s.config.organisations.end() || own == s.in_flight.end())
        return false;
    return own->second <= fair_level(s) * it->second.value.weight;
}

bool has_room(node_state& s, std::string const& pool,
              std::string const& version, bool in_share)
{
    auto& it = s.limits[{pool, version}];
    // Beside a flood a limit falls for what the flood has open, so those within
    // their share may exceed it by the reserve.
    double const kept = std::max(1.0, share_reserve * it.limit);
    double const most = !in_share       ? it.limit - kept
                        : is_flooded(s) ? it.limit + kept
                                        : it.limit;
    bool const room = it.limit == 0 || it.in_flight == 0 || it.in_flight < most;
    it.reached = it.reached || !room;
    return room;
}

void judge_first_token(node_state& s, request_state const& r,
                       duration first_token)
{
    if (!is_model(s, r))
        return;
    auto const prefill = r.asked.prompt_tokens * s.settings.prefill_per_token;
    auto const target = duration(s.settings.first_token_target);
    auto const allowed =
        std::chrono::duration_cast<duration>(target * endpoint_part + prefill);
    auto& it = s.limits[{r.pool, r.version}];
    it.seen++;
    it.late += late_step * ((first_token > allowed ? 1 : 0) - it.late);
}

void adjust_limits(node_state& s)
{
#if PAPAYAHOOK_MUTATION_NO_LIMITS
    return;
#endif
    for (auto& [name, it] : s.limits) {
        bool const due =
            it.seen >= least_seen && s.now >= it.judged_at + judge_period;
        if (!due)
            continue;
        auto const before = it.limit;
        adjust(s, fill_of(s, name.first, name.second), it);
        if (it.limit < before || (before == 0 && it.limit != 0))
            remember(s, name.first, "limit.lower",
                     "first tokens late, version " + name.second +
                         ": at most " +
                         std::to_string(static_cast<int>(it.limit)) + " calls");
        it.seen = 0;
        it.reached = false;
        it.judged_at = s.now;
    }
}

void note_empty_queues(node_state& s)
{
    for (auto const& [pool, queues] : s.queues) {
        bool const empty = std::ranges::all_of(
            queues, [](auto const& it) { return it.second.empty(); });
        auto const [at, added] = s.queue_empty.try_emplace(pool, s.now);
        if (empty)
            at->second = s.now;
    }
}

bool queue_stands(node_state const& s, std::string const& pool)
{
#if PAPAYAHOOK_MUTATION_NO_SHEDDING
    return false;
#endif
    auto const it = s.queue_empty.find(pool);
    auto const joined = s.queue_joined.find(pool);
    // A queue that nothing joins any more is a burst that is being served.
    bool const grows = joined != s.queue_joined.end() &&
                       s.now < joined->second + joined_lately;
    return grows && it != s.queue_empty.end() && it->second + standing <= s.now;
}

wait_limits longest_wait(node_state const& s, std::string const& organisation)
{
    auto const part =
        is_in_share(s, organisation) ? wait_part_in_share : wait_part;
    return {std::chrono::duration_cast<duration>(
                duration(s.settings.first_token_target) * part),
            duration(s.settings.service_wait)};
}

bool has_waited(node_state const& s, request_state const& r,
                wait_limits const& longest)
{
    bool const may_wait = r.klass == priority_class::job ||
                          r.klass == priority_class::order || r.head_sent ||
                          r.attempts > 0;
    auto const limit = r.asked.model ? longest.model : longest.service;
    return !may_wait && r.arrived + limit <= s.now;
}

} // namespace papayahook::core
