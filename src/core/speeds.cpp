// Speeds of endpoints: how slow each endpoint is in comparison with its pool,
// and how long a pool takes for a prompt token.
//
// A node of a large fleet sees too few answers to tell the endpoints apart, so
// the nodes share the times that they measure. A node sends its samples to its
// hub with its heartbeats, hubs send those of their subtrees to one another and
// evaluate them, and each hub sends its subtree a part of the result with each
// heartbeat. A sample that is lost with a link is replaced by the next ones.
//
// Samples and results travel as speed_figure:
//   sample of an endpoint  its key, kind of time, microseconds
//   sample of a pool       its key, tokens, microseconds to the first token
//   result of an endpoint  its key, slowness in percent, number of samples
//   result of a pool       its key, nanoseconds per token, fixed microseconds
// The key of an endpoint covers its incarnation, so that nothing is known of a
// new one.
#include "core/internal.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Kinds of times at an endpoint; only quotients of the same kind are compared.
constexpr int pause_kind = 0;   // between events, or until a plain answer
constexpr int prefill_kind = 1; // first token, in 1/1,000 of the expected time
constexpr int pool_kind = 2;

// Quantile of the times that counts as the endpoint's own. Waiting behind
// prompts and noisy moments lengthen less than half of them.
constexpr double own_quantile = 0.4;
constexpr std::size_t max_endpoint_samples = 16;
constexpr std::size_t max_pool_samples = 256;
// Samples of a pool that a node sends with one heartbeat.
constexpr int max_pool_samples_sent = 1;
constexpr std::size_t max_keys = 4096;
constexpr std::size_t max_unsent = 512;
constexpr std::size_t min_samples = 4; // of one kind, for any conclusion
constexpr std::size_t max_pauses = 12; // of a stream in one sample
constexpr std::size_t min_pauses = 2;
// A shorter pause means that events arrived together.
constexpr auto min_pause = 200us;
constexpr auto horizon = 30s; // age from which a sample does not count
constexpr auto evaluation_period = 500ms;
constexpr double max_us = 60e6;
constexpr double max_slowness = 16;
// Weight of the assumption that an endpoint is as fast as the mean, in samples.
constexpr double prior_samples = 1;
// An endpoint with that many samples is known; only a part of its further
// samples is sent.
constexpr int known_samples = 12;
constexpr unsigned pause_thinning = 2;
constexpr unsigned pool_thinning = 4;
constexpr unsigned prefill_thinning = 8;
// Results sent to the subtree with one heartbeat.
constexpr std::size_t max_speeds_sent = 20;
constexpr auto resend_after = 4s;
constexpr double resend_change = 0.05;
// The line of a pool is fitted only to samples whose prompts differ as much.
constexpr double min_fit_stddev_tokens = 400;
constexpr std::size_t min_fit_samples = 6;
constexpr double min_us_per_token = 1;
constexpr double max_us_per_token = 1'000'000;
constexpr int fit_rounds = 12;

std::uint32_t pool_key(std::string const& pool)
{
    return static_cast<std::uint32_t>(hash_of("pool/" + pool));
}

bool is_hub(node_state const& s)
{
    return s.hub_link == 0;
}

std::int32_t to_int(double it)
{
    return static_cast<std::int32_t>(std::lround(it));
}

bool is_sane(speed_figure const& it)
{
    return it.first >= 0 && it.second > 0 && it.second < max_us;
}

void keep_sample(node_state& s, speed_figure const& it)
{
    // Pool samples have their tokens in the place of the kind.
    bool const is_pool = it.first > prefill_kind;
    std::pair const key{it.key, is_pool ? pool_kind : it.first};
    auto known = s.speeds.samples.find(key);
    if (known == s.speeds.samples.end()) {
        if (s.speeds.samples.size() >= max_keys)
            return;
        known = s.speeds.samples.try_emplace(key).first;
    }
    auto& ring = known->second;
    speed_sample const sample{static_cast<double>(it.first),
                              static_cast<double>(it.second), s.now};
    auto const limit = is_pool ? max_pool_samples : max_endpoint_samples;
    if (ring.newest.size() < limit)
        ring.newest.push_back(sample);
    else
        ring.newest[ring.next] = sample;
    ring.next = (ring.next + 1) % limit;
}

void add_sample(node_state& s, speed_figure const& it)
{
    if (!is_sane(it))
        return;
    if (is_hub(s))
        keep_sample(s, it);
    if (s.speeds.unsent.size() < max_unsent)
        s.speeds.unsent.push_back(it);
    evaluate_speeds(s);
}

// Whether one of `parts` samples of an endpoint is left out because enough of
// them are known.
bool is_left_out(node_state const& s, endpoint const& e, request_state const& r,
                 unsigned parts)
{
    auto const it = s.speeds.learned.find(speed_key(e));
    bool const is_known = it != s.speeds.learned.end() &&
                          it->second.samples >= known_samples &&
                          s.now < it->second.at + duration(horizon);
    return is_known && hash_of(r.request.id) % parts != 0;
}

endpoint const* endpoint_of(node_state const& s, request_state const& r)
{
    auto const it = s.config.endpoints.find(r.endpoint);
    return it != s.config.endpoints.end() &&
                   it->second.value.incarnation == r.incarnation
               ? &it->second.value
               : nullptr;
}

double low_quantile(std::vector<double>& of)
{
    auto const at =
        of.begin() + static_cast<std::ptrdiff_t>(
                         own_quantile * static_cast<double>(of.size() - 1));
    std::ranges::nth_element(of, at);
    return *at;
}

void take_pauses(node_state& s, request_state& r)
{
    auto const pauses = std::exchange(r.pauses, {});
    auto const* const e = endpoint_of(s, r);
    if (e == nullptr || pauses.size() < min_pauses ||
        is_left_out(s, *e, r, pause_thinning))
        return;
    std::vector<double> us;
    std::ranges::transform(pauses, std::back_inserter(us), [](duration it) {
        return static_cast<double>(it.count());
    });
    add_sample(s, {speed_key(*e), pause_kind, to_int(low_quantile(us))});
}

// Newest times of one kind at an endpoint: their low quantile and number.
struct own_time
{
    double us = 0;
    std::size_t samples = 0;
};

own_time time_at(node_state const& s, std::uint32_t key, int kind)
{
    auto const it = s.speeds.samples.find({key, kind});
    if (it == s.speeds.samples.end())
        return {};
    std::vector<double> us;
    for (auto const& sample : it->second.newest)
        if (s.now < sample.at + duration(horizon))
            us.push_back(sample.us);
    if (us.size() < min_samples)
        return {};
    return {low_quantile(us), us.size()};
}

// Mean of a pool over the endpoints with known times.
struct pool_mean
{
    double sum = 0;
    int endpoints = 0;
};

void learn_slowness(node_state& s, int kind)
{
    std::map<std::string, pool_mean> means;
    std::vector<std::pair<endpoint const*, own_time>> times;
    for (auto const& [name, rec] : s.config.endpoints) {
        auto const it = time_at(s, speed_key(rec.value), kind);
        if (it.samples == 0)
            continue;
        times.emplace_back(&rec.value, it);
        auto& mean = means[rec.value.pool];
        mean.sum += it.us;
        mean.endpoints++;
    }
    for (auto const& [e, it] : times) {
        auto const& mean = means[e->pool];
        auto& known = s.speeds.learned[speed_key(*e)];
        // Pauses tell more than first tokens, which may have waited.
        if (kind == prefill_kind && known.at == s.now)
            continue;
        auto const n = static_cast<double>(it.samples);
        double const ratio = std::clamp(it.us * mean.endpoints / mean.sum,
                                        1 / max_slowness, max_slowness);
        known.slowness = std::pow(ratio, n / (n + prior_samples));
        known.samples = static_cast<int>(it.samples);
        known.at = s.now;
    }
}

struct fit_sums
{
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
};

void add(fit_sums& to, speed_sample const& it, double weight)
{
    to.weight += weight;
    to.x += weight * it.tokens;
    to.y += weight * it.us;
    to.xx += weight * it.tokens * it.tokens;
    to.xy += weight * it.tokens * it.us;
}

prefill_line line_of(fit_sums const& it)
{
    double const variance = it.xx * it.weight - it.x * it.x;
    double const slope =
        variance <= 0 ? 0 : (it.xy * it.weight - it.x * it.y) / variance;
    prefill_line out;
    out.us_per_token = std::clamp(slope, min_us_per_token, max_us_per_token);
    out.fixed_us = std::max(0.0, (it.y - out.us_per_token * it.x) / it.weight);
    return out;
}

// Fits a line to the low quantile of the times (quantile regression by weighted
// least squares, relative to the size of the times): prompts that waited behind
// others, unnoticed, would make the mean too long.
prefill_line fit_prefill(std::vector<speed_sample> const& samples)
{
    constexpr double min_residual = 0.02;
    fit_sums sums;
    for (auto const& it : samples)
        add(sums, it, 1 / (it.us * it.us));
    auto line = line_of(sums);
    for (int round = 0; round < fit_rounds; ++round) {
        sums = {};
        for (auto const& it : samples) {
            double const expected =
                std::max(1.0, line.fixed_us + line.us_per_token * it.tokens);
            double const residual = (it.us - expected) / expected;
            double const side = residual > 0 ? own_quantile : 1 - own_quantile;
            add(sums, it,
                side / std::max(min_residual, std::abs(residual)) /
                    (expected * expected));
        }
        line = line_of(sums);
    }
    return line;
}

bool allows_fit(std::vector<speed_sample> const& samples)
{
    auto const n = static_cast<double>(samples.size());
    double sum = 0;
    double squares = 0;
    for (auto const& it : samples) {
        sum += it.tokens;
        squares += it.tokens * it.tokens;
    }
    double const variance = squares / n - sum * sum / (n * n);
    return samples.size() >= min_fit_samples &&
           variance >= min_fit_stddev_tokens * min_fit_stddev_tokens;
}

void set_prefill(node_state& s, std::string const& pool, prefill_line line)
{
    s.speeds.prefill[pool] = line;
    s.prefill_us_per_token[pool] = line.us_per_token;
}

std::set<std::string> pools_of_endpoints(node_state const& s)
{
    std::set<std::string> out;
    for (auto const& [name, it] : s.config.endpoints)
        out.insert(it.value.pool);
    return out;
}

void learn_prefill(node_state& s)
{
    for (auto const& pool : pools_of_endpoints(s)) {
        auto const it = s.speeds.samples.find({pool_key(pool), pool_kind});
        if (it == s.speeds.samples.end())
            continue;
        std::vector<speed_sample> recent;
        std::ranges::copy_if(
            it->second.newest, std::back_inserter(recent),
            [&](auto const& n) { return s.now < n.at + duration(horizon); });
        if (allows_fit(recent))
            set_prefill(s, pool, fit_prefill(recent));
    }
}

// Drops what is too old to count, such as that of ended incarnations.
void forget_speeds(node_state& s)
{
    auto const is_old = [&](time_point at) {
        return at + duration(horizon) <= s.now;
    };
    std::erase_if(s.speeds.samples, [&](auto const& it) {
        return std::ranges::all_of(it.second.newest,
                                   [&](auto const& n) { return is_old(n.at); });
    });
    std::erase_if(s.speeds.learned,
                  [&](auto const& it) { return is_old(it.second.at); });
}

bool is_due(node_state const& s, learned_speed const& it)
{
    return s.now >= it.sent_at + duration(resend_after) ||
           std::abs(it.slowness - it.sent_slowness) >
               resend_change * it.sent_slowness;
}

} // namespace

std::uint32_t speed_key(endpoint const& e)
{
    auto const name = hash_of(e.name);
    return static_cast<std::uint32_t>((name ^ name >> 32) * 31 +
                                      hash_of(e.incarnation));
}

double slowness_of(node_state const& s, endpoint const& e)
{
#if PAPAYAHOOK_MUTATION_NO_SPEEDS
    return 1;
#endif
    auto const it = s.speeds.learned.find(speed_key(e));
    bool const is_known = it != s.speeds.learned.end() &&
                          s.now < it->second.at + duration(horizon);
    return is_known ? it->second.slowness : 1;
}

std::vector<endpoint_speed> endpoint_speeds(node_state const& s)
{
    std::vector<endpoint_speed> out;
    for (auto const& [name, rec] : s.config.endpoints) {
        auto& speed = out.emplace_back();
        speed.endpoint = name;
        speed.slowness = slowness_of(s, rec.value);
        auto const it = s.speeds.learned.find(speed_key(rec.value));
        if (it == s.speeds.learned.end())
            continue;
        speed.samples = it->second.samples;
        speed.age = s.now - it->second.at;
    }
    return out;
}

void sample_pause(node_state& s, request_state& r)
{
    // A paused call is read late, whenever its endpoint wrote.
    if (r.paused) {
        r.chunk_at = {};
        return;
    }
    auto const pause = s.now - r.chunk_at;
    if (r.chunk_at != time_point{} && pause >= duration(min_pause))
        r.pauses.push_back(pause);
    r.chunk_at = s.now;
    if (r.pauses.size() >= max_pauses)
        take_pauses(s, r);
}

void sample_prefill(node_state& s, request_state const& r, double us)
{
    auto const* const e = endpoint_of(s, r);
    if (e == nullptr || r.assumes_prefix)
        return;
    auto const key = pool_key(e->pool);
    auto const own =
        std::ranges::count(s.speeds.unsent, key, &speed_figure::key);
    if ((is_hub(s) || own < max_pool_samples_sent) &&
        !is_left_out(s, *e, r, pool_thinning))
        add_sample(s, {key,
                       std::max(pool_kind,
                                to_int(r.prefill_tokens * slowness_of(s, *e))),
                       to_int(std::min(us, max_us))});
    auto const line = s.speeds.prefill.find(e->pool);
    if (line == s.speeds.prefill.end() ||
        is_left_out(s, *e, r, prefill_thinning))
        return;
    double const expected =
        line->second.fixed_us + line->second.us_per_token * r.prefill_tokens;
    add_sample(s, {speed_key(*e), prefill_kind,
                   to_int(std::min(1'000 * us / expected, max_us))});
}

void sample_answer(node_state& s, request_state& r)
{
    auto const* const e = endpoint_of(s, r);
    if (e == nullptr)
        return;
    if (e->kind == endpoint_kind::model_runner) {
        take_pauses(s, r);
        return;
    }
    r.pauses.clear();
    auto const us = static_cast<double>((s.now - r.call_started).count());
    // An error may be answered without any work.
    constexpr int first_error = 400;
    if (r.status < first_error && !is_left_out(s, *e, r, pause_thinning))
        add_sample(s,
                   {speed_key(*e), pause_kind, to_int(std::min(us, max_us))});
}

speed_figures take_speed_samples(node_state& s)
{
    return std::exchange(s.speeds.unsent, {});
}

void learn_speed_samples(node_state& s, speed_figures const& from,
                         bool forwards)
{
    for (auto const& it : from) {
        if (!is_sane(it))
            continue;
        keep_sample(s, it);
        if (forwards && s.speeds.unsent.size() < max_unsent)
            s.speeds.unsent.push_back(it);
    }
}

void evaluate_speeds(node_state& s)
{
    if (!is_hub(s) || s.now < s.speeds.learned_at + duration(evaluation_period))
        return;
    s.speeds.learned_at = s.now;
    learn_slowness(s, pause_kind);
    learn_slowness(s, prefill_kind);
    learn_prefill(s);
    forget_speeds(s);
}

speed_figures next_speeds(node_state& s)
{
    speed_figures out;
    for (auto const& [pool, line] : s.speeds.prefill)
        out.push_back({pool_key(pool), to_int(1'000 * line.us_per_token),
                       std::max(1, to_int(line.fixed_us))});
    auto& learned = s.speeds.learned;
    auto const begin = learned.upper_bound(s.speeds.sent_up_to);
    auto const add = [&](auto from, auto to) {
        for (auto it = from; it != to && out.size() < max_speeds_sent; ++it) {
            s.speeds.sent_up_to = it->first;
            auto& known = it->second;
            if (!is_due(s, known))
                continue;
            known.sent_slowness = known.slowness;
            known.sent_at = s.now;
            out.push_back(
                {it->first, to_int(100 * known.slowness), known.samples});
        }
    };
    auto const end_of_first = learned.end();
    add(begin, end_of_first);
    add(learned.begin(), begin);
    return out;
}

void learn_speeds(node_state& s, speed_figures const& from)
{
    if (from.empty())
        return;
    std::map<std::uint32_t, std::string> pools;
    for (auto const& pool : pools_of_endpoints(s))
        pools[pool_key(pool)] = pool;
    for (auto const& it : from) {
        auto const pool = pools.find(it.key);
        if (!is_sane(it))
            continue;
        if (pool != pools.end()) {
            set_prefill(s, pool->second,
                        {static_cast<double>(it.second),
                         std::max(min_us_per_token, it.first / 1'000.0)});
            continue;
        }
        if (s.speeds.learned.size() >= max_keys)
            continue;
        auto& known = s.speeds.learned[it.key];
        known.slowness =
            std::clamp(it.first / 100.0, 1 / max_slowness, max_slowness);
        known.samples = it.second;
        known.at = s.now;
    }
    forget_speeds(s);
}

} // namespace papayahook::core
