// Moves of a whole pool to another version, ordered from outside.
//
// Evidence, veto and the count of the share are those of moves.cpp. Here there
// are two stages: a small share, of which a version that is bad or turns bad
// gets little, and all requests, so that calls at the old version have ended
// when the move finishes and its endpoints are stopped. The holder of the
// duties writes each step to the "duties" stream; peers pass steps on to nodes
// that cannot read it.
#include "core/internal.hpp"

#include <algorithm>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Below the tenth of a pool's requests that a bad version may get.
constexpr double small_share = 0.07;
constexpr int least_samples = 10; // answers before a version counts as good
// Parts of the time: a version that turns bad later shows it in the first; a
// move that is not decided in the second cannot finish in time.
constexpr double watch_part = 0.55;
constexpr double decide_part = 0.75;
constexpr auto end_margin = 1'500ms; // before the deadline
constexpr auto settle = 1s;          // peers' calls are known by then
constexpr auto report_again = 1s;    // without an answer
// A report of a holder before may be carried out late and would stand over an
// end; told once more after that, the end stands.
constexpr auto confirm_after = 7s;
constexpr int end_reports = 2;

int progress(int stage, std::optional<move_end> const& end)
{
    constexpr int ended = 2;
    return end ? ended : stage;
}

pool_move known_of(move_state const& m)
{
    return {m.started, m.pool, m.spec.to, m.spec.deadline,
            m.stage,   m.end,  m.reason};
}

void pass_on(node_state& s, pool_move const& what, effects& out)
{
    for (auto const& [link, p] : s.peers)
        if (!p.node.empty())
            send_to_peer(s, link, pool_moves{{what}}, out);
}

// Another version of the pool; one is stopped when a move finishes.
std::string old_version(node_state const& s, move_state const& m)
{
    auto const it = std::ranges::find_if(s.config.endpoints, [&](auto& e) {
        return e.second.value.pool == m.pool &&
               e.second.value.version != m.spec.to;
    });
    return it == s.config.endpoints.end() ? std::string{}
                                          : it->second.value.version;
}

void begin(node_state& s, move_state& m, pool_move const& e, effects& out)
{
    m = {};
    m.pool = e.pool;
    m.spec.name = e.pool;
    m.spec.to = e.to;
    m.spec.deadline = e.deadline;
    m.spec.canary_share = small_share;
    m.spec.min_samples = least_samples;
    m.started = e.order;
    m.revision = e.order;
    m.stage_since = s.now;
    m.reports_left = 1;
    note(out, events::move_stage, e.pool, "operator",
         "to version " + e.to + ", order " + std::to_string(e.order));
}

// Calls at other versions, of all nodes.
int old_calls(node_state const& s, move_state const& m)
{
    int out = 0;
    for (auto const& [name, it] : s.config.endpoints) {
        auto const known = s.endpoints.find(name);
        bool const old =
            it.value.pool == m.pool && it.value.version != m.spec.to;
        if (old && known != s.endpoints.end())
            out += known->second.in_flight + told_load(s, known->first).calls;
    }
    return out;
}

pool_move ended(move_state const& m, move_end how, std::string why)
{
    auto out = known_of(m);
    out.end = how;
    out.reason = std::move(why);
    return out;
}

std::optional<pool_move> next_step(node_state const& s, move_state const& m)
{
    if (m.vetoed)
        return ended(m, move_end::taken_back,
                     "bad: " + s.vetoes.at({m.pool, m.started}));
    if (m.stage > 0) {
        bool const calm =
            s.now >= m.stage_since + duration(settle) && old_calls(s, m) == 0;
        bool const due = s.now + duration(end_margin) >= m.spec.deadline;
        if (calm || due)
            return ended(m, move_end::finished, "good: " + evidence(m));
        return std::nullopt;
    }
    auto const whole = m.spec.deadline - m.stage_since;
    auto const at = [&](double part) {
        return m.stage_since +
               std::chrono::duration_cast<duration>(whole * part);
    };
    if (judge(m) == verdict::good && s.now >= at(watch_part)) {
        auto out = known_of(m);
        out.stage = 1;
        out.reason = "good: " + evidence(m);
        return out;
    }
    if (s.now >= at(decide_part))
        return ended(m, move_end::taken_back,
                     "not shown good in time: " + evidence(m));
    return std::nullopt;
}

} // namespace

move_state* open_pool_move(node_state& s, std::string const& pool)
{
    auto const it = s.config.moves.find(pool);
    bool const open = it != s.config.moves.end() && !it->second.pool.empty() &&
                      !it->second.end;
    return open ? &it->second : nullptr;
}

bool is_withheld(node_state const& s, std::string const& pool,
                 std::string const& version)
{
    auto const it = s.config.moves.find(pool);
    if (it == s.config.moves.end() || it->second.pool.empty())
        return false;
    auto const& m = it->second;
    if (m.end == move_end::finished)
        return !m.from.empty() && version == m.from;
    return version == m.spec.to;
}

void on_pool_move_ordered(node_state& s, pool_move_ordered const& e,
                          effects& out)
{
    pool_move it;
    it.order = e.at;
    it.pool = e.pool;
    it.to = e.to;
    it.deadline = s.now + duration(e.within);
    learn_pool_move(s, it, out);
}

// Taken from whoever brings it: the order, the stream, or a peer.
void learn_pool_move(node_state& s, pool_move const& e, effects& out)
{
    auto& m = s.config.moves[e.pool];
    if (e.order < m.started)
        return;
    bool const fresh = e.order > m.started;
    if (fresh)
        begin(s, m, e, out);
    // Who read the order later counted its time from then.
    m.spec.deadline = std::min(m.spec.deadline, e.deadline);
    bool const further = progress(e.stage, e.end) > progress(m.stage, m.end);
    if (further && e.end) {
        m.end = e.end;
        m.from = old_version(s, m);
    }
    else if (further) {
        enter_stage(m, e.stage, s.now);
    }
    if (further) {
        m.reason = e.reason;
        m.reports_left = e.end ? end_reports : 1;
        m.report_at = {};
        note(out, e.end ? events::move_ended : events::move_stage, e.pool, "",
             (e.end ? to_string(*e.end) : std::to_string(e.stage)) +
                 std::string(": ") + e.reason);
    }
    if (!fresh && !further)
        return;
    pass_on(s, known_of(m), out);
    drain_queues(s, out);
}

void learn_pool_record(node_state& s, pool_move const& e, effects& out)
{
    learn_pool_move(s, e, out);
    auto& m = s.config.moves[e.pool];
    m.recorded = m.recorded || m.started == e.order;
}

void learn_pool_moves(node_state& s, pool_moves const& e, effects& out)
{
    for (auto const& it : e.moves)
        learn_pool_move(s, it, out);
}

pool_moves all_pool_moves(node_state const& s)
{
    pool_moves out;
    for (auto const& [name, m] : s.config.moves)
        if (!m.pool.empty())
            out.moves.push_back(known_of(m));
    return out;
}

// The first record holds the order's deadline, for holders that come later.
std::optional<pool_move> due_pool_step(node_state& s)
{
    for (auto& [name, m] : s.config.moves) {
        if (m.pool.empty() || m.end)
            continue;
        if (!m.recorded)
            return known_of(m);
        if (auto step = next_step(s, m))
            return step;
    }
    return std::nullopt;
}

// A state is told only when it stands on the stream, since another holder
// could otherwise decide differently.
void report_pool_moves(node_state& s, effects& out)
{
    for (auto& [name, m] : s.config.moves) {
        bool const due = !m.pool.empty() && m.recorded && m.reports_left > 0 &&
                         s.now >= m.report_at;
        if (!due)
            continue;
        m.report_at = s.now + duration(report_again);
        out.push_back(report_pool_move{known_of(m)});
    }
}

void on_pool_move_reported(node_state& s, pool_move_reported const& e)
{
    auto const it = s.config.moves.find(e.what.pool);
    if (!e.ok || it == s.config.moves.end())
        return;
    auto& m = it->second;
    if (m.started != e.what.order || m.end != e.what.end)
        return; // it has gone on since
    m.reports_left--;
    m.report_at = s.now + duration(confirm_after);
}

} // namespace papayahook::core
