// Routing: selects the endpoint with the least expected time to the first
// token.
#include "core/internal.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <limits>
#include <numeric>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_prefixes_per_endpoint = 8192;
constexpr std::size_t max_known_leaving = 4096;
// Added cost of a full endpoint over an idle one.
constexpr double full_endpoint_cost_us = 100'000;
// A first token later than this multiple of the expected prefill time means
// that the prompt was queued.
constexpr double queued_factor = 4;

// Many nodes with the same load figures, a few tenths of a second old, would
// all send to the one endpoint that looks best. Above this number of nodes each
// request considers only a few endpoints, a different sample per attempt. One
// that none of them would answer in time considers more.
constexpr std::ptrdiff_t max_nodes_unsampled = 8;
constexpr std::size_t sampled_endpoints = 4;
constexpr std::size_t sampled_if_late = 8;
// Endpoints that hold the prefix of related requests, as a multiple of what
// their part of the calls would take of the endpoints.
constexpr double homes_per_demand = 1.5;
constexpr double min_homes = 2;
constexpr double max_homes = 16;
constexpr double max_demand_calls = 200; // then older calls count half
constexpr double min_demand_calls = 0.5; // fewer are forgotten
// Part of the first-token target that an expected time may take without being
// worse than a shorter one. The rest covers noise.
constexpr double comfortable_fraction = 0.5;
// Weight of the time beyond it.
constexpr double excess_weight = 3;
// Calls begin and end before their number is propagated, so that a number says
// less of the present than the mean of the pool. Nodes that all trusted it
// would fill the endpoints that were the emptiest.
constexpr double trust_in_calls = 0.3;
constexpr double trust_in_tokens = 0.4;
// Uncertainty of the wait behind the prompts of others, as a multiple of its
// mean.
constexpr double wait_uncertainty = 4;
// Uncertainty of a load, as a multiple of its standard deviation.
constexpr double load_uncertainty = 2;
// Up to eight nodes, smaller differences of speed do not change the order.
constexpr double min_speed_difference = 1.25;

// Estimated load of a pool, for endpoints without a recent report.
struct pool_load
{
    double others_mean = 0; // calls of all other nodes per endpoint
};

// Assumes that every other node sends as much as this one, spread evenly over
// the endpoints. With many nodes the hubs propagate the nodes' calls, and no
// assumption is needed.
pool_load estimate_pool_load(node_state const& s, std::string const& pool)
{
    if (has_many_nodes(s) && covers_most_nodes(s))
        return {};
    int own = 0;
    int endpoints = 0;
    for (auto const& [name, it] : s.config.endpoints) {
        if (it.value.pool != pool || is_leaving(s, it.value))
            continue;
        auto const known = s.endpoints.find(name);
        own += known == s.endpoints.end() ? 0 : known->second.in_flight;
        endpoints++;
    }
    auto const live = live_members(s);
    auto const others =
        static_cast<double>(std::max<std::ptrdiff_t>(0, live - 1));
    return {endpoints == 0 ? 0 : others * own / endpoints};
}

struct load_estimate
{
    double known = 0;    // own calls and the reported calls of other nodes
    double expected = 0; // `known` plus assumed calls that are not reported
    double tokens = 0;   // expected prompt tokens before their first token
};

// The weight of a report falls with its age. The rest of the weight goes to the
// pool's assumed mean, which may affect the order of endpoints but never holds
// a request back.
load_estimate estimate_load(node_state const& s, endpoint const& e,
                            endpoint_state const& state, pool_load const& pool,
                            bool many_nodes)
{
    double report_weight = 0;
    if (state.reported_at != time_point{})
        report_weight = std::max(
            0.0,
            1.0 - std::chrono::duration<double>(s.now - state.reported_at) /
                      duration(s.settings.report_horizon));
    double const reported =
        std::max(0, state.reported - state.in_flight_at_report);
    double const assumed = std::min<double>(pool.others_mean, e.slots);
    mean_load peers;
    if (many_nodes)
        peers = mean_remote_load(s, e.name);
    else if (auto const it = remote_load(s, e.name); true)
        peers = {static_cast<double>(it.calls), static_cast<double>(it.tokens)};
    double const others =
        std::max<double>(report_weight * reported, peers.calls);
    load_estimate out;
    out.known = state.in_flight + others;
    out.expected =
        out.known + (peers.calls > 0 ? 0 : (1 - report_weight) * assumed);
    out.tokens = state.prefill_tokens + peers.tokens;
    return out;
}

// Key of the prefix that related requests share; the last block of a prompt
// belongs to one request only. All nodes derive the same home endpoint from it.
std::optional<std::uint64_t> home_key(request_arrived const& asked)
{
    auto const& blocks = asked.prefix_blocks;
    if (asked.block_tokens.empty() || blocks.empty())
        return std::nullopt;
    return blocks.size() > 1 ? blocks[blocks.size() - 2] : blocks.back();
}

// Combines two hashes and spreads their bits over the whole result (finalizer
// of MurmurHash3).
std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t out = a ^ b;
    out = (out ^ out >> 33) * 0xff51afd7ed558ccdULL;
    out = (out ^ out >> 33) * 0xc4ceb9fe1a85ec53ULL;
    return out ^ out >> 33;
}

int shared_prefix_tokens(request_arrived const& asked)
{
    auto const& tokens = asked.block_tokens;
    return tokens.empty()
               ? 0
               : std::accumulate(tokens.begin(), std::prev(tokens.end()), 0);
}

int cached_tokens(endpoint_state const& e, request_arrived const& asked)
{
    auto const miss =
        std::ranges::find_if(asked.prefix_blocks, [&](std::uint64_t it) {
            return !e.prefixes.contains(it);
        });
    auto const blocks = std::distance(asked.prefix_blocks.begin(), miss);
    if (asked.block_tokens.empty())
        return static_cast<int>(blocks) * prefix_block_tokens;
    return std::accumulate(asked.block_tokens.begin(),
                           asked.block_tokens.begin() + blocks, 0);
}

bool accepts_schema(endpoint const& e, std::string const& schema)
{
    return schema.empty() || e.schema_versions.empty() ||
           std::ranges::find(e.schema_versions, schema) !=
               e.schema_versions.end();
}

bool fits(node_state const& s, endpoint const& e, std::string const& pool,
          std::string const& version, std::string const& schema)
{
    if (e.pool != pool)
        return false;
    bool const has_version = version.empty() ? !is_withheld(s, pool, e.version)
                                             : e.version == version;
    return has_version && accepts_schema(e, schema);
}

bool serves(node_state const& s, endpoint const& e, std::string const& pool,
            std::string const& version, std::string const& schema)
{
    return fits(s, e, pool, version, schema) && !is_leaving(s, e);
}

int uncached_tokens(request_state const& r, endpoint_state const& state,
                    bool is_home)
{
    int const prompt =
        r.request.prompt_tokens + static_cast<int>(r.chunks.size());
    int cached = cached_tokens(state, r.request);
    // Other nodes send related requests to the same home, so that its cache
    // holds the shared prefix.
    if (is_home)
        cached = std::max(cached, shared_prefix_tokens(r.request));
    return std::max(0, prompt - cached);
}

// An endpoint that serves a request.
struct candidate
{
    endpoint const* value = nullptr;
    std::uint64_t hash = 0; // of its name
    bool is_home = false;
    bool in_zones = true; // in a zone that the request may use
};

std::vector<candidate> find_candidates(node_state const& s,
                                       request_state const& r,
                                       std::string const& pool,
                                       std::string const& version)
{
    std::vector<candidate> out;
    for (auto const& [name, it] : s.config.endpoints)
        if (serves(s, it.value, pool, version, r.request.schema_version))
            out.push_back({&it.value, hash_of(name)});
    return out;
}

mean_load mean_of_others(node_state const& s, std::vector<candidate> const& all)
{
    mean_load out;
    auto const n = static_cast<double>(std::max<std::size_t>(1, all.size()));
    for (auto const& it : all) {
        auto const load = mean_remote_load(s, it.value->name);
        out.calls += load.calls / n;
        out.tokens += load.tokens / n;
    }
    return out;
}

// Number of endpoints, of `n`, that hold a prefix: by its part of the calls.
std::size_t home_count(node_state const& s, std::string const& pool,
                       std::uint64_t key, std::size_t n)
{
    auto const demand = s.prefix_demands.find(pool);
    double part = 0;
    if (demand != s.prefix_demands.end()) {
        auto const it = demand->second.calls.find(key);
        if (it != demand->second.calls.end())
            part = it->second / demand->second.total;
    }
    double const homes = homes_per_demand * part * static_cast<double>(n);
    return static_cast<std::size_t>(std::clamp(homes, min_homes, max_homes));
}

void count_demand(node_state& s, request_state const& r,
                  std::string const& pool)
{
    auto const key = home_key(r.request);
    if (!key)
        return;
    auto& it = s.prefix_demands[pool];
    it.calls[*key]++;
    it.total++;
    if (it.total < max_demand_calls)
        return;
    it.total = 0;
    for (auto& [prefix, calls] : it.calls)
        it.total += calls /= 2;
    std::erase_if(it.calls, [](auto const& prefix) {
        return prefix.second <= min_demand_calls;
    });
}

// Marks the home endpoints of related requests (rendezvous hashing). With many
// nodes each zone has homes of its own, and as many as the requests need.
void mark_homes(node_state const& s, request_state const& r,
                std::string const& pool, bool many_nodes,
                std::vector<candidate>& all)
{
    auto const key = home_key(r.request);
    if (!key)
        return;
    // The zone that the request is sent to, or else the own zone.
    bool const is_limited =
        std::ranges::any_of(all, [](auto const& it) { return !it.in_zones; });
    auto const may_be_home = [&](auto const* it) {
        return is_limited ? it->in_zones : it->value->zone == s.settings.zone;
    };
    std::vector<candidate*> ranked;
    std::ranges::transform(all, std::back_inserter(ranked),
                           [](auto& it) { return &it; });
    if (many_nodes && std::ranges::any_of(ranked, may_be_home))
        std::erase_if(ranked, [&](auto const* it) { return !may_be_home(it); });
    auto const homes =
        many_nodes ? home_count(s, pool, *key, ranked.size()) : 1;
    auto const end = ranked.begin() + static_cast<std::ptrdiff_t>(
                                          std::min(homes, ranked.size()));
    std::ranges::partial_sort(ranked, end, std::greater{}, [&](auto const* it) {
        return std::pair(mix(it->hash, *key), it->value->name);
    });
    std::for_each(ranked.begin(), end, [](auto* it) { it->is_home = true; });
}

bool contains(std::vector<std::string> const& names, std::string const& name)
{
    return std::ranges::find(names, name) != names.end();
}

// Organisations above their share leave some slots of each endpoint to those
// within theirs, which then find a free slot at once during a flood.
double usable_slots(endpoint const& e, bool in_share)
{
    return in_share ? e.slots : (1 - fair_share_reserve) * e.slots;
}

// A fraction between 0 and 1 from the bits of the draw that neither the
// sampling of endpoints nor the jitter uses.
double fraction_of_draw(std::uint64_t draw)
{
    constexpr double steps = 1 << 20;
    return static_cast<double>(draw >> 44) / steps;
}

// Inputs of a choice that are the same for all endpoints.
struct choice_inputs
{
    bool in_share = false;
    bool many_nodes = false;
    pool_load load;
    prefill_line prefill;
    std::vector<candidate> candidates;
    // Considers the candidates of all zones, not only those `in_zones`.
    bool all_zones = false;
    std::uint64_t request_hash = 0;
    // Load of an endpoint by other nodes, on the mean of the pool. The time for
    // its tokens is also about how much the wait of a new prompt varies.
    mean_load mean_of_others;
    // Expected time to the first token up to which a shorter one is no better.
    double comfortable_us = 0;
    // Endpoints per 1,000 that are considered in addition to the homes.
    std::uint64_t sampled_per_thousand = 1'000;
};

struct choice
{
    std::string endpoint; // empty: none has a free slot
    double cost = std::numeric_limits<double>::max(); // microseconds
    double excess = 0; // of the expected time over the comfortable one
    bool untried = false;
};

double slowness_for_choice(node_state const& s, endpoint const& e,
                           bool many_nodes)
{
    double const it = slowness_of(s, e);
    bool const differs =
        it > min_speed_difference || it < 1 / min_speed_difference;
    return many_nodes || differs ? it : 1;
}

// Cost of an endpoint from the load known to this node. With few nodes it is
// the expected time to the first token. With many, an endpoint's speed counts
// where the request would be late, and otherwise through the work ahead: small
// prompts leave the fast endpoints to those that need them.
choice cost_at(node_state const& s, request_state const& r, candidate const& at,
               endpoint_state const& state, load_estimate const& load,
               choice_inputs const& in, std::uint64_t draw)
{
    auto const& e = *at.value;
    bool const is_runner = e.kind == endpoint_kind::model_runner;
    double const hop =
        e.zone == s.settings.zone
            ? 0.0
            : static_cast<double>(duration(s.settings.hop_cost).count());
    double const slowness = slowness_for_choice(s, e, in.many_nodes);
    double const us_per_token = is_runner ? in.prefill.us_per_token : 0;
    double const own = uncached_tokens(r, state, at.is_home) * us_per_token;
    double tokens = load.tokens;
    if (in.many_nodes)
        tokens += (1 - trust_in_tokens) *
                  (in.mean_of_others.tokens - (tokens - state.prefill_tokens));
    double const ahead = tokens * us_per_token * slowness;
    // Jitter per request breaks ties; without it all nodes would pick the same
    // endpoint.
    double const jitter = static_cast<double>(draw % 1'000);
    choice out;
    out.endpoint = e.name;
    out.untried = !contains(r.failed_endpoints, e.name);
    double const others_calls = load.expected - state.in_flight;
    double calls = load.expected;
    if (in.many_nodes)
        calls +=
            (1 - trust_in_calls) * (in.mean_of_others.calls - others_calls) +
            load_uncertainty * fraction_of_draw(draw) *
                std::sqrt(in.mean_of_others.calls);
    double const utilization = calls / std::max(1, e.slots);
    double const batch = utilization * utilization * full_endpoint_cost_us *
                         (is_runner ? 1 : slowness);
    if (!in.many_nodes) {
        out.cost = hop + own * slowness + ahead + batch + jitter;
        return out;
    }
    double const doubt = wait_uncertainty * fraction_of_draw(draw) *
                         in.mean_of_others.tokens * us_per_token * slowness;
    double const others = hop + ahead + batch + doubt;
    out.excess = std::max(0.0, in.prefill.fixed_us + own * slowness + others -
                                   in.comfortable_us);
    out.cost = own + others + jitter + excess_weight * out.excess;
    return out;
}

bool is_better(choice const& a, choice const& b)
{
    if (b.endpoint.empty())
        return true;
    return a.untried != b.untried ? a.untried : a.cost < b.cost;
}

bool is_considered(candidate const& it, choice_inputs const& in)
{
    return it.in_zones || in.all_zones;
}

choice best_choice(node_state& s, request_state const& r,
                   choice_inputs const& in)
{
    choice best;
    for (auto const& at : in.candidates) {
        if (!is_considered(at, in))
            continue;
        auto const& e = *at.value;
        auto const draw = mix(at.hash, in.request_hash);
        if (!at.is_home && draw / 1'000 % 1'000 >= in.sampled_per_thousand)
            continue;
        if (r.head_sent && !resumes_streams(s, r, e.kind))
            continue;
        auto const& state = s.endpoints[e.name];
        auto const load = estimate_load(s, e, state, in.load, in.many_nodes);
        bool const has_free_slot = load.known < usable_slots(e, in.in_share);
        if (state.paused_until > s.now || !has_free_slot ||
            !warm_up_allows_call(s, e))
            continue;
        auto it = cost_at(s, r, at, state, load, in, draw);
        if (is_better(it, best))
            best = std::move(it);
    }
    return best;
}

// Draws `n` endpoints in addition to the homes.
choice best_of_sample(node_state& s, request_state const& r, choice_inputs& in,
                      std::size_t n)
{
    auto const size = static_cast<std::size_t>(std::ranges::count_if(
        in.candidates, [&](auto const& it) { return is_considered(it, in); }));
    in.sampled_per_thousand = 1'000 * n / std::max({n, size, std::size_t{1}});
    return best_choice(s, r, in);
}

choice choose_among_many(node_state& s, request_state const& r,
                         choice_inputs& in)
{
    auto best = best_of_sample(s, r, in, sampled_endpoints);
    if (best.excess > 0)
        best = best_of_sample(s, r, in, sampled_if_late);
    if (best.endpoint.empty() || !best.untried)
        best = best_of_sample(s, r, in, in.candidates.size());
    return best;
}

// Uses other zones than those of the candidates `in_zones` only if these have
// no room.
choice choose_in_zones(node_state& s, request_state const& r, choice_inputs& in)
{
    auto const choose = [&] {
        return in.many_nodes ? choose_among_many(s, r, in)
                             : best_choice(s, r, in);
    };
    auto best = choose();
    bool const is_limited = std::ranges::any_of(
        in.candidates, [](auto const& it) { return !it.in_zones; });
    if (best.endpoint.empty() && is_limited) {
        in.all_zones = true;
        best = choose();
    }
    return best;
}

double comfortable_time(node_state const& s, request_state const& r)
{
    auto const it = s.config.routes.find(r.request.route);
    auto target = s.settings.first_token_target;
    if (it != s.config.routes.end() &&
        it->second.value.first_byte_target.count() > 0)
        target = it->second.value.first_byte_target;
    return comfortable_fraction *
               static_cast<double>(duration(target).count()) -
           static_cast<double>((s.now - r.arrived).count());
}

prefill_line prefill_of(node_state const& s, std::string const& pool)
{
    auto const it = s.speeds.prefill.find(pool);
    return it == s.speeds.prefill.end()
               ? prefill_line{0, prefill_us_per_token(s, pool)}
               : it->second;
}

// Returns the version that must serve the request; empty while a move is open.
std::string fixed_version(node_state const& s, request_state const& r,
                          std::string const& pool)
{
    if (!r.version.empty())
        return r.version;
    auto const it = s.config.routes.find(r.request.route);
    bool const moves = std::ranges::any_of(s.config.moves, [&](auto const& m) {
        auto const& move = m.second;
        return !move.end &&
               (move.pool == pool || move.spec.route == r.request.route);
    });
    return moves || it == s.config.routes.end() ? std::string{}
                                                : it->second.value.version;
}

// Drops leaving incarnations that are not, or no longer, configured: routing
// does not need them. The newest is kept because its record may still arrive.
void forget_unconfigured(node_state& s, endpoint_leaving const& newest)
{
    std::erase_if(s.known_leaving, [&](auto const& it) {
        auto const known = s.config.endpoints.find(it.endpoint);
        bool const configured =
            known != s.config.endpoints.end() &&
            known->second.value.incarnation == it.incarnation;
        return !configured && it != newest;
    });
}

bool leaves_itself(node_state const& s, endpoint const& e)
{
#if PAPAYAHOOK_MUTATION_KEEP_LEAVING
    return false;
#endif
    auto const known = s.endpoints.find(e.name);
    if (known != s.endpoints.end() && is_out_of_use(s, known->second))
        return true;
    return s.known_leaving.contains({e.name, e.incarnation});
}

} // namespace

bool has_many_nodes(node_state const& s)
{
    return live_members(s) > max_nodes_unsampled;
}

bool is_leaving(node_state const& s, endpoint const& e)
{
    return is_evacuated(s, e.zone) || leaves_itself(s, e);
}

bool waits_for_evacuated_zone(node_state const& s, request_state const& r)
{
    auto const pool = pool_of(s, r);
    auto const version = fixed_version(s, r, pool);
    bool found = false;
    for (auto const& [name, it] : s.config.endpoints) {
        auto const& e = it.value;
        bool const may_serve =
            fits(s, e, pool, version, r.request.schema_version) &&
            !leaves_itself(s, e);
        if (may_serve && !is_evacuated(s, e.zone))
            return false;
        found = found || may_serve;
    }
    return found;
}

double prefill_us_per_token(node_state const& s, std::string const& pool)
{
    auto const it = s.prefill_us_per_token.find(pool);
    return it != s.prefill_us_per_token.end()
               ? it->second
               : static_cast<double>(s.settings.prefill_per_token.count());
}

bool has_endpoint(node_state const& s, std::string const& pool,
                  std::string const& version, std::string const& schema)
{
    return std::ranges::any_of(s.config.endpoints, [&](auto const& it) {
        return serves(s, it.second.value, pool, version, schema) &&
               warm_up_allows_call(s, it.second.value);
    });
}

std::chrono::milliseconds time_until_unpaused(node_state const& s,
                                              request_state const& r)
{
    auto const pool = pool_of(s, r);
    auto const version = fixed_version(s, r, pool);
    auto end = time_point::max();
    for (auto const& [name, it] : s.config.endpoints) {
        if (!serves(s, it.value, pool, version, r.request.schema_version))
            continue;
        auto const known = s.endpoints.find(name);
        auto until = warm_up_allows_from(s, it.value);
        if (known != s.endpoints.end())
            until = std::max(until, known->second.paused_until);
        if (until <= s.now)
            return 0ms;
        end = std::min(end, until);
    }
    return end == time_point::max()
               ? 0ms
               : std::chrono::ceil<std::chrono::milliseconds>(end - s.now);
}

namespace {

bool is_home(node_state const& s, request_state const& r, endpoint const& e)
{
    auto all = find_candidates(s, r, e.pool, r.version);
    mark_homes(s, r, e.pool, has_many_nodes(s), all);
    return std::ranges::any_of(all, [&](auto const& it) {
        return it.is_home && it.value->name == e.name;
    });
}

} // namespace

void begin_prefill(node_state& s, request_state& r, endpoint const& e)
{
    if (e.kind != endpoint_kind::model_runner)
        return;
    auto& state = s.endpoints[e.name];
    count_demand(s, r, e.pool);
    auto const known = uncached_tokens(r, state, false);
    r.prefill_tokens = known;
    if (cached_tokens(state, r.request) < shared_prefix_tokens(r.request) &&
        is_home(s, r, e))
        r.prefill_tokens = uncached_tokens(r, state, true);
    r.assumes_prefix = r.prefill_tokens != known;
    r.prefill_ahead = state.prefill_tokens + remote_load(s, e.name).tokens;
    state.prefill_tokens += r.prefill_tokens;
    count_work(s, r);
}

// The time to a first token is a sample of the prefill time, unless the prompt
// waited behind others.
void end_prefill(node_state& s, request_state& r, bool answered)
{
    if (r.prefill_tokens == 0)
        return;
    auto& state = s.endpoints[r.endpoint];
    state.prefill_tokens = std::max(0, state.prefill_tokens - r.prefill_tokens);
    auto const us = static_cast<double>((s.now - r.call_started).count());
    bool const queued =
        r.prefill_ahead > 0 ||
        us > queued_factor * r.prefill_tokens * prefill_us_per_token(s, r.pool);
    if (answered && !queued && !r.on_cold_endpoint)
        sample_prefill(s, r, us);
    r.prefill_tokens = 0;
}

std::string choose_endpoint(node_state& s, request_state const& r,
                            std::string const& version, bool in_share)
{
    auto const pool = pool_of(s, r);
    choice_inputs in;
    in.in_share = in_share;
    in.many_nodes = has_many_nodes(s);
    in.load = estimate_pool_load(s, pool);
    in.prefill = prefill_of(s, pool);
    in.candidates = find_candidates(s, r, pool, version);
    if (in.candidates.empty())
        return {};
    in.request_hash = hash_of(r.request.id);
    auto const zones = zones_for(s, r, pool);
    for (auto& it : in.candidates)
        it.in_zones = zones.zone.empty() || it.value->zone == zones.zone;
    mark_homes(s, r, pool, in.many_nodes, in.candidates);
    if (in.many_nodes) {
        in.request_hash += static_cast<std::uint64_t>(r.attempts);
        in.comfortable_us = comfortable_time(s, r);
        in.mean_of_others = mean_of_others(s, in.candidates);
    }
    auto const best = choose_in_zones(s, r, in);
    if (!best.endpoint.empty())
        record_decision(s, r.request.id, "route.least_first_token",
                        best.endpoint + " at " +
                            std::to_string(std::llround(best.cost)) +
                            " us, version " + version);
    return best.endpoint;
}

void record_prefixes(node_state& s, request_state const& r)
{
    auto& e = s.endpoints[r.endpoint];
    for (auto const block : r.request.prefix_blocks)
        if (e.prefixes.insert(block).second)
            e.prefix_order.push_back(block);
    while (e.prefix_order.size() > max_prefixes_per_endpoint) {
        e.prefixes.erase(e.prefix_order.front());
        e.prefix_order.pop_front();
    }
}

void on_endpoint_report(node_state& s, endpoint_report const& e, effects& out)
{
    auto const it = s.config.endpoints.find(e.endpoint);
    if (it == s.config.endpoints.end())
        return;
    auto& state = s.endpoints[e.endpoint];
    state.reported = e.running + e.waiting;
    state.in_flight_at_report = state.in_flight;
    state.reported_at = s.now;
    if (e.leaving)
        learn_leaving(s, {e.endpoint, it->second.value.incarnation}, out);
}

void on_instance_list(node_state& s, instance_list const& e, effects& out)
{
    // Only "leaving" is taken from the list. The list lags, so that its "live"
    // does not refute a notice that came from another source.
    for (auto const& it : e.instances)
        if (it.leaving)
            learn_leaving(s, {it.endpoint, it.incarnation}, out);
}

bool learn_leaving(node_state& s, endpoint_leaving const& e, effects& out)
{
    if (!s.known_leaving.insert(e).second)
        return false;
    if (s.known_leaving.size() > max_known_leaving)
        forget_unconfigured(s, e);
    record_decision(s, e.endpoint, "endpoint.leaving", e.incarnation);
    emit_log_event(out, events::endpoint_leaving, e.endpoint, "",
                   e.incarnation);
    news item;
    item.leaving.push_back(e);
    flood_news(s, item, 0, out);
    return true;
}

} // namespace papayahook::core
