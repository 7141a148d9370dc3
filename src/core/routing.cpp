// Routing: the endpoint with the least expected time to the first token.
#include "core/internal.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>

namespace papayahook::core {

namespace {

constexpr std::size_t max_prefixes = 8192; // per endpoint
constexpr std::size_t max_leaving = 4096;
constexpr double queue_cost_us = 100'000; // a full endpoint against an idle one
constexpr double fit_decay = 0.97;        // of older samples, by each new one
constexpr double fit_weight = 6;    // of the samples: before, nothing is said
constexpr double fit_spread = 400;  // tokens: standard deviation, likewise
constexpr double least_us = 1;      // a token
constexpr double waited_factor = 4; // longer than this x expected: it waited

// Many nodes that know the same loads, some tenths of a second old, would all
// send to the one endpoint that looks best. Beyond this number of nodes each
// request looks at a few endpoints only, which differ from request to request.
constexpr std::ptrdiff_t few_nodes = 8;
constexpr std::size_t looked_at = 3;
constexpr std::size_t most_homes = 2;
// Calls that come and go until their number is known, as a part of the slots:
// nodes differ by so much in what they take an endpoint's load for.
constexpr double load_doubt = 1.5;

bool has_many_nodes(node_state const& s)
{
    return live_members(s) > few_nodes;
}

// What is known of the load on a pool, for endpoints without a fresh report.
struct pool_load
{
    double others_mean = 0; // calls of all other nodes, per endpoint
};

// Other nodes are taken to send what this one sends, spread evenly; of many
// nodes hubs tell what they send.
pool_load load_of_pool(node_state const& s, std::string const& pool)
{
    if (has_many_nodes(s) && hears_of_most(s))
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
    double seen = 0;     // own calls and those of others by the last report
    double expected = 0; // with what others may be sending besides
};

// A report counts for less the older it is. What it leaves open is filled
// with a guess, which may rank endpoints but never holds a request back.
load_estimate estimate_load(node_state const& s, endpoint const& e,
                            endpoint_state const& known, pool_load const& pool)
{
    double trust = 0;
    if (known.reported_at != time_point{})
        trust = std::max(0.0, 1.0 - std::chrono::duration<double>(
                                        s.now - known.reported_at) /
                                        duration(s.settings.report_horizon));
    double const reported = std::max(0, known.reported - known.own_at_report);
    double const guess = std::min<double>(pool.others_mean, e.slots);
    load_estimate out;
    double const told =
        has_many_nodes(s) ? told_calls(s, e.name) : told_load(s, e.name).calls;
    double const others = std::max<double>(trust * reported, told);
    out.seen = known.in_flight + others;
    out.expected = out.seen + (told > 0 ? 0 : (1 - trust) * guess);
    return out;
}

// The part that requests about the same thing share; the last part of a prompt
// is a request's own. All nodes take the same endpoint for its home.
std::optional<std::uint64_t> home_key(request_arrived const& asked)
{
    auto const& blocks = asked.prefix_blocks;
    if (asked.block_tokens.empty() || blocks.empty())
        return std::nullopt;
    return blocks.size() > 1 ? blocks[blocks.size() - 2] : blocks.back();
}

// Bits of both, spread over the whole number (the finalizer of MurmurHash3).
std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t out = a ^ b;
    out = (out ^ out >> 33) * 0xff51afd7ed558ccdULL;
    out = (out ^ out >> 33) * 0xc4ceb9fe1a85ec53ULL;
    return out ^ out >> 33;
}

int shared_tokens(request_arrived const& asked)
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

bool takes_schema(endpoint const& e, std::string const& schema)
{
    return schema.empty() || e.schema_versions.empty() ||
           std::ranges::find(e.schema_versions, schema) !=
               e.schema_versions.end();
}

bool serves(node_state const& s, endpoint const& e, std::string const& pool,
            std::string const& version, std::string const& schema)
{
    bool const fits = version.empty() ? !is_withheld(s, pool, e.version)
                                      : e.version == version;
    return e.pool == pool && fits && takes_schema(e, schema) &&
           !is_leaving(s, e);
}

int uncached_tokens(request_state const& r, endpoint_state const& known,
                    bool is_home)
{
    int const prompt =
        r.asked.prompt_tokens + static_cast<int>(r.chunks.size());
    int cached = cached_tokens(known, r.asked);
    // Other nodes send what is about the same thing to its home as well.
    if (is_home)
        cached = std::max(cached, shared_tokens(r.asked));
    return std::max(0, prompt - cached);
}

// Microseconds to the first token at this endpoint, as far as is known here.
double expected_cost(node_state const& s, request_state const& r,
                     endpoint const& e, endpoint_state const& known,
                     double load, bool is_home)
{
    double const hop =
        e.zone == s.settings.zone
            ? 0.0
            : static_cast<double>(duration(s.settings.hop_cost).count());
    int const ahead = known.tokens + told_load(s, e.name).tokens;
    double const prefill = e.kind == endpoint_kind::model_runner
                               ? (uncached_tokens(r, known, is_home) + ahead) *
                                     prefill_us(s, e.pool)
                               : 0.0;
    double const fill = load / std::max(1, e.slots);
    return hop + prefill + fill * fill * queue_cost_us;
}

// Endpoints where requests about the same thing go, the first one first. One
// thing may be asked for more often than a single endpoint can bear; with many
// nodes a second one takes the rest.
std::vector<std::string> homes_of(node_state const& s, request_state const& r,
                                  std::string const& pool,
                                  std::string const& version)
{
    auto const key = home_key(r.asked);
    if (!key)
        return {};
    std::array<std::pair<std::uint64_t, std::string const*>, most_homes> best{};
    for (auto const& [name, it] : s.config.endpoints) {
        auto const rank = mix(hash_of(name), *key);
        bool const fits =
            serves(s, it.value, pool, version, r.asked.schema_version);
        if (!fits || rank < best.back().first)
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
// within theirs, who then find room at once beside a flood.
double usable_slots(endpoint const& e, bool in_share)
{
    return in_share ? e.slots : (1 - share_reserve) * e.slots;
}

// Between 0 and 1; bits that the draw for looking and the jitter leave over.
double part_of_draw(std::uint64_t draw)
{
    constexpr double steps = 1 << 20;
    return static_cast<double>(draw >> 44) / steps;
}

// What a choice is made by, the same for all endpoints.
struct choice_inputs
{
    std::string pool;
    std::string version;
    bool in_share = false;
    pool_load load;
    std::vector<std::string> homes;
    std::uint64_t request = 0; // hash
    // What may have changed since loads were told, as a part of the slots.
    double doubt = 0;
    // Of 1,000 endpoints so many are looked at, beside the homes.
    std::uint64_t per_thousand = 1'000;
};

struct choice
{
    std::string endpoint; // empty: none has room
    double cost = std::numeric_limits<double>::max();
    bool untried = false;
};

choice best_choice(node_state& s, request_state const& r,
                   choice_inputs const& in)
{
    choice best;
    for (auto const& [name, rec] : s.config.endpoints) {
        auto const& e = rec.value;
        if (!serves(s, e, in.pool, in.version, r.asked.schema_version))
            continue;
        auto const draw = mix(hash_of(name), in.request);
        bool const is_home = contains(in.homes, name);
        if (!is_home && draw / 1'000 % 1'000 >= in.per_thousand)
            continue;
        auto const& known = s.endpoints[name];
        auto load = estimate_load(s, e, known, in.load);
        load.expected += in.doubt * e.slots * part_of_draw(draw);
        bool const has_room = load.seen < usable_slots(e, in.in_share);
        if (known.paused_until > s.now || !has_room)
            continue;
        bool const untried = !contains(r.tried, name);
        // Ties are broken by request, or all nodes would pick the same one.
        double const jitter = static_cast<double>(draw % 1'000);
        double const cost =
            expected_cost(s, r, e, known, load.expected, is_home) + jitter;
        bool const better =
            untried != best.untried ? untried : cost < best.cost;
        if (best.endpoint.empty() || better)
            best = {name, cost, untried};
    }
    return best;
}

} // namespace

namespace {

// Signs of incarnations that are not configured (any more) say nothing that
// routing needs; the newest is kept, its record may still come.
void forget_gone(node_state& s, endpoint_leaving const& newest)
{
    std::erase_if(s.known_leaving, [&](auto const& it) {
        auto const known = s.config.endpoints.find(it.endpoint);
        bool const configured =
            known != s.config.endpoints.end() &&
            known->second.value.incarnation == it.incarnation;
        return !configured && it != newest;
    });
}

} // namespace

bool is_leaving(node_state const& s, endpoint const& e)
{
#if PAPAYAHOOK_MUTATION_KEEP_LEAVING
    return false;
#endif
    auto const known = s.endpoints.find(e.name);
    if (known != s.endpoints.end() && is_out_of_use(s, known->second))
        return true;
    return s.known_leaving.contains({e.name, e.incarnation});
}

double prefill_us(node_state const& s, std::string const& pool)
{
    auto const it = s.prefill_us.find(pool);
    return it != s.prefill_us.end()
               ? it->second
               : static_cast<double>(s.settings.prefill_per_token.count());
}

bool has_endpoint(node_state const& s, std::string const& pool,
                  std::string const& version, std::string const& schema)
{
    return std::ranges::any_of(s.config.endpoints, [&](auto const& it) {
        return serves(s, it.second.value, pool, version, schema);
    });
}

void note_prefill(node_state& s, request_state& r, endpoint const& e)
{
    if (e.kind != endpoint_kind::model_runner)
        return;
    auto& known = s.endpoints[e.name];
    auto const homes = homes_of(s, r, e.pool, r.version);
    r.prefill_tokens = uncached_tokens(r, known, contains(homes, e.name));
    r.prefill_ahead = known.tokens + told_load(s, e.name).tokens;
    known.tokens += r.prefill_tokens;
    count_work(s, r);
}

namespace {

void add_sample(prefill_fit& it, double tokens, double us)
{
    for (auto* const sum :
         {&it.weight, &it.tokens, &it.us, &it.tokens_squared, &it.tokens_us})
        *sum *= fit_decay;
    it.weight += 1;
    it.tokens += tokens;
    it.us += us;
    it.tokens_squared += tokens * tokens;
    it.tokens_us += tokens * us;
}

// Microseconds a token; nullopt while the samples do not tell.
std::optional<double> slope_of(prefill_fit const& it)
{
    double const mean = it.tokens / it.weight;
    double const variance = it.tokens_squared / it.weight - mean * mean;
    if (it.weight < fit_weight || variance < fit_spread * fit_spread)
        return std::nullopt;
    double const covariance =
        it.tokens_us / it.weight - mean * it.us / it.weight;
    return std::max(least_us, covariance / variance);
}

} // namespace

// A first token tells how long its prompt took where none was ahead of it.
void end_prefill(node_state& s, request_state& r, bool answered)
{
    if (r.prefill_tokens == 0)
        return;
    auto& known = s.endpoints[r.endpoint];
    known.tokens = std::max(0, known.tokens - r.prefill_tokens);
    auto const us = static_cast<double>((s.now - r.call_started).count());
    bool const waited =
        r.prefill_ahead > 0 ||
        us > waited_factor * r.prefill_tokens * prefill_us(s, r.pool);
    if (answered && !waited) {
        auto& fit = s.prefill_fits[r.pool];
        add_sample(fit, r.prefill_tokens, us);
        if (auto const it = slope_of(fit))
            s.prefill_us[r.pool] = *it;
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
    in.load = load_of_pool(s, in.pool);
    in.homes = homes_of(s, r, in.pool, version);
    in.request = hash_of(r.asked.id);
    choice best;
    if (has_many_nodes(s)) {
        in.doubt = load_doubt;
        auto const count =
            std::ranges::count_if(s.config.endpoints, [&](auto const& it) {
                return it.second.value.pool == in.pool;
            });
        in.per_thousand =
            1'000 * looked_at /
            std::max<std::size_t>(looked_at, static_cast<std::size_t>(count));
        best = best_choice(s, r, in);
        in.per_thousand = 1'000;
    }
    if (best.endpoint.empty())
        best = best_choice(s, r, in);
    if (!best.endpoint.empty())
        remember(s, r.asked.id, "route.least_first_token",
                 best.endpoint + " at " +
                     std::to_string(std::llround(best.cost)) + " us, version " +
                     version);
    return best.endpoint;
}

void note_prefixes(node_state& s, request_state const& r)
{
    auto& e = s.endpoints[r.endpoint];
    for (auto const block : r.asked.prefix_blocks)
        if (e.prefixes.insert(block).second)
            e.prefix_order.push_back(block);
    while (e.prefix_order.size() > max_prefixes) {
        e.prefixes.erase(e.prefix_order.front());
        e.prefix_order.pop_front();
    }
}

void on_report(node_state& s, endpoint_report const& e, effects& out)
{
    auto const it = s.config.endpoints.find(e.endpoint);
    if (it == s.config.endpoints.end())
        return;
    auto& known = s.endpoints[e.endpoint];
    known.reported = e.running + e.waiting;
    known.own_at_report = known.in_flight;
    known.reported_at = s.now;
    if (e.leaving)
        learn_leaving(s, {e.endpoint, it->second.value.incarnation}, out);
}

void on_instance_list(node_state& s, instance_list const& e, effects& out)
{
    // Only "leaving" is taken from the list: it lags, so that its "live"
    // says nothing against a sign that came by another way.
    for (auto const& it : e.instances)
        if (it.leaving)
            learn_leaving(s, {it.endpoint, it.incarnation}, out);
}

bool learn_leaving(node_state& s, endpoint_leaving const& e, effects& out)
{
    if (!s.known_leaving.insert(e).second)
        return false;
    if (s.known_leaving.size() > max_leaving)
        forget_gone(s, e);
    remember(s, e.endpoint, "endpoint.leaving", e.incarnation);
    note(out, events::endpoint_leaving, e.endpoint, "", e.incarnation);
    news item;
    item.leaving.push_back(e);
    spread(s, item, 0, out);
    return true;
}

} // namespace papayahook::core
