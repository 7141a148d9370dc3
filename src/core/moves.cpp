// Version moves: share per stage, evidence, veto, and deadline.
#include "core/internal.hpp"

#include <algorithm>
#include <cmath>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Error rates of the sequential tests: a good version is vetoed in one of two
// thousand stages. A bad version may pass an early stage more easily than a
// late one, because the next stage tests it again at a share that is still
// bounded.
constexpr double false_veto_rate = 0.0005;
constexpr double false_pass_rate[] = {0.05, 0.05, 0.02, 0.02}; // by stage
// Lowest rate of failed or slow answers that is assumed for the old version.
constexpr double min_baseline_rate = 0.02;
constexpr double first_token_smoothing = 0.1;
constexpr double min_baseline_smoothing = 0.02;
constexpr double min_slow_us = 5'000; // faster first tokens never count as slow
constexpr auto step_rank_delay = 500ms; // per rank, before the next node asks
constexpr auto step_retry_delay = 3s;
// A stage lasts the time left to the deadline, divided by this.
constexpr double stages_in_time_left = 8;
constexpr auto max_stage_length = 600s;

// Upper bound of the old version's rate, from n answers: using the mean as the
// exact rate would veto good versions while n is small.
double upper_rate(std::uint64_t hits, std::uint64_t n)
{
    constexpr double standard_deviations = 1.5;
    double const size = static_cast<double>(n) + 10;
    double const mean = (static_cast<double>(hits) + 0.2) / size;
    double const upper =
        mean + standard_deviations * std::sqrt(mean * (1 - mean) / size);
    return std::clamp(upper, min_baseline_rate, 0.5);
}

// Wald's sequential probability ratio test over the new version's answers: the
// old version's rate against that rate plus `excess`.
verdict test_rate(double old_rate, double excess, std::uint64_t hits,
                  std::uint64_t n, double false_pass)
{
    double const p1 = std::min(0.95, old_rate + excess);
    auto const bad = static_cast<double>(hits);
    auto const good = static_cast<double>(n) - bad;
    double const ratio = bad * std::log(p1 / old_rate) +
                         good * std::log((1 - p1) / (1 - old_rate));
    if (ratio >= std::log((1 - false_pass) / false_veto_rate))
        return verdict::bad;
    return ratio <= std::log(false_pass / (1 - false_veto_rate))
               ? verdict::good
               : verdict::undecided;
}

bool is_deadline_near(node_state const& s, move_state const& m)
{
#if PAPAYAHOOK_MUTATION_NO_DEADLINE
    return false;
#endif
    return s.now + s.settings.move_margin >= m.spec.deadline;
}

// Stages last longer if the deadline allows it, so that a version that becomes
// bad only later is still detected.
duration stage_length(node_state const& s, move_state const& m)
{
    auto const time_left = m.spec.deadline - m.stage_since;
    auto const stage_time = std::chrono::duration_cast<duration>(
        time_left / static_cast<int>(stages_in_time_left));
    return std::clamp(stage_time, duration(s.settings.stage_time),
                      duration(max_stage_length));
}

void request_step(node_state& s, move_state& m, move_step step, effects& out)
{
    if (m.step_due_since == time_point{})
        m.step_due_since = s.now;
    auto const delay = duty_rank(s, "move/" + m.spec.name) * step_rank_delay;
    if (s.now < m.step_due_since + delay)
        return;
    bool const requested_recently =
        m.step_appended_at != time_point{} &&
        s.now < m.step_appended_at + step_retry_delay;
    if (requested_recently || !s.log_reachable)
        return;
    m.step_appended_at = s.now;
    step.move = m.spec.name;
    step.node = s.settings.name;
    record_decision(s, m.spec.name, "move.ask_step", step.reason);
    config_record rec;
    rec.replaces = m.revision;
    rec.body = std::move(step);
    rec.id = next_record_id(s);
    append_records(s, "config", {std::move(rec)}, out);
}

void evaluate(node_state& s, move_state& m, effects& out)
{
    move_step step;
    step.stage = m.stage;
    auto const result = assess_versions(m);
    check_veto(s, m, out);
    if (m.vetoed) {
        step.end = move_end::taken_back;
        step.reason = "bad: " + s.vetoes.at({m.spec.name, m.started});
    }
    else if (is_deadline_near(s, m)) {
        step.end = move_end::taken_back;
        step.reason = "not shown good by the deadline: " + describe_evidence(m);
    }
    else if (result == verdict::good &&
             s.now >= m.stage_since + stage_length(s, m)) {
        step.reason = "good: " + describe_evidence(m);
        if (m.stage == last_stage)
            step.end = move_end::finished;
        else
            step.stage = m.stage + 1;
    }
    else {
        m.step_due_since = {};
        return;
    }
    request_step(s, m, std::move(step), out);
}

move_state* open_move_of_request(node_state& s, request_state const& r)
{
    auto const it = s.config.moves.find(r.move);
    bool const open = it != s.config.moves.end() && !it->second.end;
    return open ? &it->second : nullptr;
}

double allowed_share(node_state const& s, move_state const& m)
{
    bool const takes_all =
        !m.pool.empty() && (m.stage > 0 || has_no_rival(s, m));
    if (takes_all && !m.vetoed)
        return 1;
    if (m.vetoed || is_deadline_near(s, m))
        return 0;
    return m.stage == 0 ? m.spec.canary_share : stage_shares[m.stage];
}

} // namespace

version_counts total_counts(move_state const& m, bool new_version)
{
    auto out = new_version ? m.own_new : m.own_old;
    for (auto const& [node, it] : m.remote_counts) {
        auto const& add = new_version ? it.to : it.from;
        out.answers += add.answers;
        out.failed += add.failed;
        out.slow += add.slow;
    }
    return out;
}

// Failures and slowness are tested separately: slow answers are common in any
// version, and in a combined test they would hide failures, which are rare.
verdict assess_versions(move_state const& m)
{
    auto const from = total_counts(m, false);
    auto const to = total_counts(m, true);
    auto const test = [&](auto field) {
        return test_rate(upper_rate(from.*field, from.answers),
                         m.spec.max_bad_excess, to.*field, to.answers,
                         false_pass_rate[m.stage]);
    };
    auto const failed = test(&version_counts::failed);
    auto const slow = test(&version_counts::slow);
    if (failed == verdict::bad || slow == verdict::bad)
        return verdict::bad;
    bool const enough =
        to.answers >= static_cast<std::uint64_t>(m.spec.min_samples);
    bool const good = failed == verdict::good && slow == verdict::good;
    return good && enough ? verdict::good : verdict::undecided;
}

std::string describe_evidence(move_state const& m)
{
    auto const describe = [](version_counts const& it) {
        return std::to_string(it.failed) + " failed and " +
               std::to_string(it.slow) + " slow of " +
               std::to_string(it.answers);
    };
    return "new " + describe(total_counts(m, true)) + ", old " +
           describe(total_counts(m, false));
}

void check_veto(node_state& s, move_state& m, effects& out)
{
#if PAPAYAHOOK_MUTATION_NO_VETO
    if (false)
#else
    if (assess_versions(m) == verdict::bad && !m.vetoed)
#endif
        learn_veto(s, {m.spec.name, m.started, describe_evidence(m)}, out);
    m.vetoed = s.vetoes.contains({m.spec.name, m.started});
}

void enter_stage(move_state& m, int stage, time_point now)
{
    m.stage = stage;
    m.stage_since = now;
    m.own_new = {};
    m.remote_counts.clear();
    m.stage_requests = 0;
    m.sent_to_new = 0;
    m.step_due_since = {};
    m.step_appended_at = {};
}

// The share is enforced by counting instead of random draws: no node ever
// exceeds it, so neither does the sum over all nodes.
std::string pick_version(node_state& s, request_state& r, route const& it)
{
    auto const pool = pool_of(s, r);
    auto* m = open_pool_move(s, pool);
    // A stream continues at another version if its own is withheld by now: a
    // version that was taken back, or the old one after a finished move.
    if (m == nullptr && is_withheld(s, pool, r.version))
        r.version.clear();
    if (!r.version.empty())
        return r.version;
    if (m == nullptr)
        m = open_move_of(s.config, it.name);
    if (m == nullptr)
        return it.version;
    auto const& schema = r.request.schema_version;
    bool const new_takes = has_endpoint(s, pool, m->spec.to, schema);
    bool const first_offer = r.move.empty();
    r.move = m->spec.name;
    if (first_offer)
        m->stage_requests++;
    bool const failed_before =
        !r.failed_endpoints.empty() && has_endpoint(s, pool, m->from, schema);
    double const allowed =
        allowed_share(s, *m) * static_cast<double>(m->stage_requests);
    bool const in_share = static_cast<double>(m->sent_to_new) + 1 <= allowed;
    r.on_new_version = new_takes && in_share && !failed_before;
#if PAPAYAHOOK_MUTATION_NO_CANARY_BOUND
    r.on_new_version = new_takes && !failed_before;
#endif
    return r.on_new_version ? m->spec.to : m->from;
}

void count_dispatch(node_state& s, request_state const& r)
{
    auto* const m = open_move_of_request(s, r);
    if (m != nullptr && r.on_new_version)
        m->sent_to_new++;
}

void record_first_token(node_state& s, request_state const& r,
                        duration first_token)
{
    // What a cold endpoint takes says nothing about its version.
    if (r.on_cold_endpoint)
        return;
    auto const us = static_cast<double>(first_token.count());
    auto& mean = s.endpoints[r.endpoint].first_token_us;
    mean = mean == 0 ? us : mean + first_token_smoothing * (us - mean);
    auto* const m = open_move_of_request(s, r);
    if (m == nullptr || r.on_new_version)
        return;
    // A plain mean at first, then a moving average that is slow enough that its
    // own noise does not make the new version look slow.
    auto& base = m->baseline_first_token_us;
    double const n = static_cast<double>(m->own_old.answers) + 1;
    base += std::max(min_baseline_smoothing, 1 / n) * (us - base);
}

bool is_slow(node_state const& s, request_state const& r, duration first_token)
{
    auto const it = s.config.moves.find(r.move);
    if (r.on_cold_endpoint || it == s.config.moves.end() ||
        it->second.baseline_first_token_us == 0)
        return false;
    double const limit =
        std::max(min_slow_us, it->second.baseline_first_token_us *
                                  it->second.spec.max_latency_ratio);
    return static_cast<double>(first_token.count()) > limit;
}

void count_answer(node_state& s, request_state const& r, bool bad)
{
    auto* const m = open_move_of_request(s, r);
    if (m == nullptr)
        return;
    auto& counts = r.on_new_version ? m->own_new : m->own_old;
    counts.answers++;
    counts.failed += bad ? 1 : 0;
    counts.slow += r.first_chunk_slow ? 1 : 0;
}

void evaluate_moves(node_state& s, effects& out)
{
    for (auto& [name, m] : s.config.moves)
        if (!m.end && m.pool.empty())
            evaluate(s, m, out);
        else if (!m.end) {
            look_for_rivals(s, m);
            check_veto(s, m, out);
        }
}

bool learn_veto(node_state& s, version_veto const& e, effects& out)
{
    if (!s.vetoes.emplace(std::pair(e.move, e.started), e.reason).second)
        return false;
    auto const it = s.config.moves.find(e.move);
    if (it != s.config.moves.end() && is_order_of(it->second, e.started)) {
        it->second.vetoed = true;
        s.vetoes.emplace(std::pair(e.move, it->second.started), e.reason);
    }
    record_decision(s, e.move, "move.veto", e.reason);
    emit_log_event(out, events::move_vetoed, e.move, "", e.reason);
    news item;
    item.vetoes.push_back(e);
    flood_news(s, item, 0, out);
    return true;
}

bool learn_counts(node_state& s, move_counts const& e)
{
    auto const it = s.config.moves.find(e.move);
    if (it == s.config.moves.end() || it->second.end ||
        !is_order_of(it->second, e.started) || it->second.stage != e.stage ||
        e.node == s.settings.name)
        return false;
    auto& known = it->second.remote_counts[e.node];
    bool const newer =
        e.incarnation > known.incarnation ||
        (e.incarnation == known.incarnation &&
         e.from.answers + e.to.answers > known.from.answers + known.to.answers);
    if (newer)
        known = e;
    return newer;
}

std::vector<move_counts> own_counts(node_state const& s)
{
    std::vector<move_counts> out;
    for (auto const& [name, m] : s.config.moves) {
        bool const any = m.own_old.answers + m.own_new.answers != 0;
        if (m.end || !any)
            continue;
        out.push_back({name, s.settings.name, s.settings.incarnation, m.started,
                       m.stage, m.own_old, m.own_new});
    }
    return out;
}

} // namespace papayahook::core
