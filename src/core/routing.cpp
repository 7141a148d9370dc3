// Routing: selects the endpoint with the least expected time to the first
// token.
#include "core/internal.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_prefixes_per_endpoint = 8192;
constexpr std::size_t max_known_leaving = 4096;
// Added cost of a full endpoint over an idle one.
constexpr double full_endpoint_cost_us = 100'000;
constexpr double sample_decay = 0.97; // factor on older samples per new sample
// The prefill time per token is estimated only from samples with at least this
// total weight and this standard deviation of their prompt lengths.
constexpr double min_fit_weight = 6;
constexpr double min_fit_stddev_tokens = 400;
constexpr double min_us_per_token = 1;
// A first token later than this multiple of the expected prefill time means
// that the prompt was queued.
constexpr double queued_factor = 4;

// Many nodes with the same load figures, a few tenths of a second old, would
// all send to the one endpoint that looks best. Above this number of nodes each
// request considers only a few endpoints, a different sample per request.
constexpr std::ptrdiff_t max_nodes_unsampled = 8;
constexpr std::size_t sampled_endpoints = 3;
constexpr std::size_t max_homes = 2;
// Uncertainty of an endpoint's load, as a multiple of its slots: calls begin
// and end before their number is propagated, so that the nodes' views of the
// load differ by this much.
constexpr double load_uncertainty = 1.5;

bool has_many_nodes(node_state const& s)
{
    return live_members(s) > max_nodes_unsampled;
}

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
};

// The weight of a report falls with its age. The rest of the weight goes to the
// pool's assumed mean, which may affect the order of endpoints but never holds
// a request back.
load_estimate estimate_load(node_state const& s, endpoint const& e,
                            endpoint_state const& state, pool_load const& pool)
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
    load_estimate out;
    double const peer_calls = has_many_nodes(s) ? mean_remote_calls(s, e.name)
                                                : remote_load(s, e.name).calls;
    double const others =
        std::max<double>(report_weight * reported, peer_calls);
    out.known = state.in_flight + others;
    out.expected =
        out.known + (peer_calls > 0 ? 0 : (1 - report_weight) * assumed);
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
    bool const has_version = version.empty() ? !is_withheld(s, pool, e.version)
                                             : e.version == version;
    return e.pool == pool && has_version && accepts_schema(e, schema);
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
        r.request.prompt_tokens + static_cast<int>(chunk_count(r));
    int cached = cached_tokens(state, r.request);
    // Other nodes send related requests to the same home, so that its cache
    // holds the shared prefix.
    if (is_home)
        cached = std::max(cached, shared_prefix_tokens(r.request));
    return std::max(0, prompt - cached);
}

// Expected time to the first token at this endpoint in microseconds, from the
// load known to this node.
double expected_cost(node_state const& s, request_state const& r,
                     endpoint const& e, endpoint_state const& state,
                     double load, bool is_home)
{
    double const hop =
        e.zone == s.settings.zone
            ? 0.0
            : static_cast<double>(duration(s.settings.hop_cost).count());
    int const tokens_ahead =
        state.prefill_tokens + remote_load(s, e.name).tokens;
    double const prefill =
        e.kind == endpoint_kind::model_runner
            ? (uncached_tokens(r, state, is_home) + tokens_ahead) *
                  prefill_us_per_token(s, e.pool)
            : 0.0;
    double const utilization = load / std::max(1, e.slots);
    return hop + prefill + utilization * utilization * full_endpoint_cost_us;
}

// Home endpoints of related requests, the preferred one first (rendezvous
// hashing). Related requests may be more than a single endpoint can serve; with
// many nodes a second endpoint takes the rest.
std::vector<std::string> homes_of(node_state const& s, request_state const& r,
                                  std::string const& pool,
                                  std::string const& version)
{
    auto const key = home_key(r.request);
    if (!key)
        return {};
    std::array<std::pair<std::uint64_t, std::string const*>, max_homes> best{};
    for (auto const& [name, it] : s.config.endpoints) {
        auto const rank = mix(hash_of(name), *key);
        bool const is_candidate =
            serves(s, it.value, pool, version, r.request.schema_version);
        if (!is_candidate || rank < best.back().first)
            continue;
        best.back() = {rank, &name};
        if (best.back().first >= best.front().first)
            std::swap(best.front(), best.back());
    }
    std::vector<std::string> out;
    for (auto const& [rank, name] : best)
        if (name != nullptr && (out.empty() || has_many_nodes(s)))
            out.push_back(*name);
    return out;
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
    std::string pool;
    std::string version;
    bool in_share = false;
    pool_load load;
    std::vector<std::string> homes;
    std::uint64_t request_hash = 0;
    // Possible change of a load since it was propagated, as a multiple of the
    // endpoint's slots.
    double uncertainty = 0;
    // Endpoints per 1,000 that are considered in addition to the homes.
    std::uint64_t sampled_per_thousand = 1'000;
};

struct choice
{
    std::string endpoint; // empty: none has a free slot
    double cost = std::numeric_limits<double>::max();
    bool untried = false;
};

choice best_choice(node_state& s, request_state const& r,
                   choice_inputs const& in)
{
    choice best;
    for (auto const& [name, rec] : s.config.endpoints) {
        auto const& e = rec.value;
        if (!serves(s, e, in.pool, in.version, r.request.schema_version))
            continue;
        if (r.head_sent && !resumes_streams(s, r, e.kind))
            continue;
        auto const draw = mix(hash_of(name), in.request_hash);
        bool const is_home = contains(in.homes, name);
        if (!is_home && draw / 1'000 % 1'000 >= in.sampled_per_thousand)
            continue;
        auto const& state = s.endpoints[name];
        auto load = estimate_load(s, e, state, in.load);
        load.expected += in.uncertainty * e.slots * fraction_of_draw(draw);
        bool const has_free_slot = load.known < usable_slots(e, in.in_share);
        if (state.paused_until > s.now || !has_free_slot ||
            !warm_up_allows_call(s, e))
            continue;
        bool const untried = !contains(r.failed_endpoints, name);
        // Jitter per request breaks ties; without it all nodes would pick the
        // same endpoint.
        double const jitter = static_cast<double>(draw % 1'000);
        double const cost =
            expected_cost(s, r, e, state, load.expected, is_home) + jitter;
        bool const better =
            untried != best.untried ? untried : cost < best.cost;
        if (best.endpoint.empty() || better)
            best = {name, cost, untried};
    }
    return best;
}

// Returns the version that must serve the request; empty while a move is open.
std::string fixed_version(node_state const& s, request_state const& r,
                          std::string const& pool)
{
    if (!r.version.empty())
        return r.version;
    bool const moves = std::ranges::any_of(s.config.moves, [&](auto const& m) {
        auto const& move = m.second;
        return !move.end &&
               (move.pool == pool || move.spec.route == r.request.route);
    });
    return moves ? std::string{} : route_of(s, r).version;
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

void begin_prefill(node_state& s, request_state& r, endpoint const& e)
{
    if (e.kind != endpoint_kind::model_runner)
        return;
    auto& state = s.endpoints[e.name];
    auto const homes = homes_of(s, r, e.pool, r.version);
    r.prefill_tokens = uncached_tokens(r, state, contains(homes, e.name));
    r.prefill_ahead = state.prefill_tokens + remote_load(s, e.name).tokens;
    state.prefill_tokens += r.prefill_tokens;
    count_work(s, r);
}

namespace {

void add_sample(prefill_fit& it, double tokens, double us)
{
    for (auto* const sum :
         {&it.weight, &it.tokens, &it.us, &it.tokens_squared, &it.tokens_us})
        *sum *= sample_decay;
    it.weight += 1;
    it.tokens += tokens;
    it.us += us;
    it.tokens_squared += tokens * tokens;
    it.tokens_us += tokens * us;
}

// Microseconds per token; nullopt while the samples do not allow an estimate.
std::optional<double> slope_of(prefill_fit const& it)
{
    double const mean = it.tokens / it.weight;
    double const variance = it.tokens_squared / it.weight - mean * mean;
    if (it.weight < min_fit_weight ||
        variance < min_fit_stddev_tokens * min_fit_stddev_tokens)
        return std::nullopt;
    double const covariance =
        it.tokens_us / it.weight - mean * it.us / it.weight;
    return std::max(min_us_per_token, covariance / variance);
}

} // namespace

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
    if (answered && !queued && !r.on_cold_endpoint) {
        auto& fit = s.prefill_fits[r.pool];
        add_sample(fit, r.prefill_tokens, us);
        if (auto const it = slope_of(fit))
            s.prefill_us_per_token[r.pool] = *it;
    }
    r.prefill_tokens = 0;
}

std::string choose_endpoint(node_state& s, request_state const& r,
                            std::string const& version, bool in_share)
{
    choice_inputs in;
    in.pool = pool_of(s, r);
    in.version = version;
    in.in_share = in_share;
    in.load = estimate_pool_load(s, in.pool);
    in.homes = homes_of(s, r, in.pool, version);
    in.request_hash = hash_of(r.request.id);
    choice best;
    if (has_many_nodes(s)) {
        in.uncertainty = load_uncertainty;
        auto const pool_size =
            std::ranges::count_if(s.config.endpoints, [&](auto const& it) {
                return it.second.value.pool == in.pool;
            });
        in.sampled_per_thousand =
            1'000 * sampled_endpoints /
            std::max<std::size_t>(sampled_endpoints,
                                  static_cast<std::size_t>(pool_size));
        best = best_choice(s, r, in);
        in.sampled_per_thousand = 1'000;
    }
    if (best.endpoint.empty())
        best = best_choice(s, r, in);
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
