// Moves of a whole pool to another version, ordered by an operator.
//
// Evidence, veto and the counting of the share are those of moves.cpp. These
// moves have two stages: a small share, so that a version that is bad or
// becomes bad gets few requests, and then all requests, so that calls at the
// old version have ended when the move finishes and its endpoints are stopped.
// The lease holder writes each step to the "duties" stream. Peers relay steps
// to nodes that cannot read it.
//
// When the store comes back from an older copy, the order and the steps may be
// gone. The operator writes the order again, at another place; whoever
// remembers the steps writes them again when it holds the lease. Where nobody
// does, the end may have been lost together with the endpoints of the old
// version: a version without a rival gets all requests, because nothing else
// can serve them.
#include "core/internal.hpp"

#include <algorithm>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Stays below the tenth of a pool's requests that a bad version may get.
constexpr double first_stage_share = 0.07;
constexpr int min_answers = 10; // answers before a version counts as good
// Fractions of the time until the deadline: a version that becomes bad later
// shows it within the first one, and a move that is undecided after the second
// one cannot finish in time.
constexpr double watch_fraction = 0.55;
constexpr double decide_fraction = 0.75;
constexpr auto end_margin = 1'500ms; // before the deadline
constexpr std::size_t max_earlier_orders = 16;
constexpr auto settle_time = 1s;        // until the calls of peers are known
constexpr auto report_retry_delay = 1s; // without a reply
// A delayed report of an earlier lease holder could overwrite the end of a
// move. The end is therefore reported once more after this time.
constexpr auto end_confirm_delay = 7s;
constexpr int end_reports = 2;
// From then on an endpoint that has ended is not expected to start again.
constexpr auto rival_timeout = 5s;

int progress(int stage, std::optional<move_end> const& end)
{
    constexpr int after_last_stage = 2;
    return end ? after_last_stage : stage;
}

pool_move to_pool_move(move_state const& m)
{
    return {m.started, m.pool, m.spec.to, m.spec.deadline,
            m.stage,   m.end,  m.reason};
}

void flood_pool_move(node_state& s, pool_move const& what, effects& out)
{
    for (auto const& [link, p] : s.peers)
        if (!p.node.empty())
            send_to_peer(s, link, pool_moves{{what}}, out);
}

// Returns a version of the pool other than the new one; the old version is
// stopped when the move finishes.
std::string old_version(node_state const& s, move_state const& m)
{
    auto const it = std::ranges::find_if(s.config.endpoints, [&](auto& e) {
        return e.second.value.pool == m.pool &&
               e.second.value.version != m.spec.to;
    });
    return it == s.config.endpoints.end() ? std::string{}
                                          : it->second.value.version;
}

// Whether the pool has an endpoint of another version that takes requests.
bool has_rival(node_state const& s, move_state const& m)
{
    return std::ranges::any_of(s.config.endpoints, [&](auto const& it) {
        auto const& e = it.second.value;
        return e.pool == m.pool && e.version != m.spec.to && !is_leaving(s, e);
    });
}

void start_move(node_state& s, move_state& m, pool_move const& e, effects& out)
{
    auto earlier = std::move(m.earlier_orders);
    for (auto const place : m.former_places)
        earlier[place] = m.spec.to;
    if (m.started != 0)
        earlier[m.started] = m.spec.to;
    while (earlier.size() > max_earlier_orders)
        earlier.erase(earlier.begin());
    m = {};
    m.earlier_orders = std::move(earlier);
    m.rival_seen_at = s.now;
    m.pool = e.pool;
    m.spec.name = e.pool;
    m.spec.to = e.to;
    m.spec.deadline = e.deadline;
    m.spec.canary_share = first_stage_share;
    m.spec.min_samples = min_answers;
    m.started = e.order;
    m.revision = e.order;
    m.stage_since = s.now;
    m.reports_left = 1;
    emit_log_event(out, events::move_stage, e.pool, "operator",
                   "to version " + e.to + ", order " + std::to_string(e.order));
}

// Counts the calls of all nodes in flight at other versions.
int calls_at_old_versions(node_state const& s, move_state const& m)
{
    int out = 0;
    for (auto const& [name, it] : s.config.endpoints) {
        auto const known = s.endpoints.find(name);
        bool const old =
            it.value.pool == m.pool && it.value.version != m.spec.to;
        if (old && known != s.endpoints.end())
            out += known->second.in_flight + remote_load(s, known->first).calls;
    }
    return out;
}

pool_move with_end(move_state const& m, move_end end, std::string why)
{
    auto out = to_pool_move(m);
    out.end = end;
    out.reason = std::move(why);
    return out;
}

std::optional<pool_move> next_step(node_state const& s, move_state const& m)
{
    if (m.vetoed)
        return with_end(m, move_end::taken_back,
                        "bad: " + s.vetoes.at({m.pool, m.started}));
    if (m.stage > 0) {
        bool const is_drained =
            s.now >= m.stage_since + duration(settle_time) &&
            calls_at_old_versions(s, m) == 0;
        bool const is_due = s.now + duration(end_margin) >= m.spec.deadline;
        if (is_drained || is_due)
            return with_end(m, move_end::finished,
                            "good: " + describe_evidence(m));
        return std::nullopt;
    }
    auto const total = m.spec.deadline - m.stage_since;
    auto const after_fraction = [&](double fraction) {
        return m.stage_since +
               std::chrono::duration_cast<duration>(total * fraction);
    };
    if (assess_versions(m) == verdict::good &&
        s.now >= after_fraction(watch_fraction)) {
        auto out = to_pool_move(m);
        out.stage = 1;
        out.reason = "good: " + describe_evidence(m);
        return out;
    }
    if (s.now < after_fraction(decide_fraction))
        return std::nullopt;
    if (has_no_rival(s, m))
        return with_end(m, move_end::finished,
                        "no other version is left: " + describe_evidence(m));
    // It may have ended already, and its record may be gone.
    if (is_settling(s) || !has_rival(s, m))
        return std::nullopt;
    return with_end(m, move_end::taken_back,
                    "not shown good in time: " + describe_evidence(m));
}

enum class order_age
{
    older,
    same,
    newer,
};

// Across a return of the store, places do not order. An order that was written
// again, or that was in the copy, is the one that is known by its version.
order_age compare_orders(move_state const& m, pool_move const& e)
{
    if (m.started == 0)
        return order_age::newer;
    if (is_order_of(m, e.order))
        return order_age::same;
    if (same_era(e.order, m.started))
        return e.order < m.started ? order_age::older : order_age::newer;
    constexpr offset offsets = (offset{1} << era_shift) - 1;
    bool const is_earlier =
        std::ranges::any_of(m.earlier_orders, [&](auto const& it) {
            return (it.first & offsets) == (e.order & offsets) &&
                   it.second == e.to;
        });
    if (is_earlier)
        return order_age::older;
    if (e.to == m.spec.to)
        return order_age::same;
    return e.order < m.started ? order_age::older : order_age::newer;
}

// Takes the place at which an order was written again.
void adopt_place(node_state& s, move_state& m, offset place)
{
    auto const veto = s.vetoes.find({m.pool, m.started});
    if (veto != s.vetoes.end())
        s.vetoes.emplace(std::pair(m.pool, place), veto->second);
    m.former_places.push_back(m.started);
    m.started = place;
    m.revision = place;
}

} // namespace

move_state* open_pool_move(node_state& s, std::string const& pool)
{
    auto const it = s.config.moves.find(pool);
    bool const open = it != s.config.moves.end() && !it->second.pool.empty() &&
                      !it->second.end;
    return open ? &it->second : nullptr;
}

bool is_order_of(move_state const& m, offset place)
{
    return place == m.started ||
           std::ranges::find(m.former_places, place) != m.former_places.end();
}

void look_for_rivals(node_state const& s, move_state& m)
{
    if (has_rival(s, m))
        m.rival_seen_at = s.now;
}

bool has_no_rival(node_state const& s, move_state const& m)
{
    return !m.pool.empty() &&
           s.now >= m.rival_seen_at + duration(rival_timeout);
}

void forget_recorded_moves(node_state& s)
{
    for (auto& [name, m] : s.config.moves) {
        if (m.pool.empty())
            continue;
        m.recorded = false;
        m.reports_left = std::max(m.reports_left, 1);
        m.report_not_before = {};
    }
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
    bool const may_serve = !m.end && !m.vetoed && has_no_rival(s, m);
    return version == m.spec.to && !may_serve;
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

// Applies what is new in an order, a record of the stream, or a peer's message.
void learn_pool_move(node_state& s, pool_move const& e, effects& out)
{
    auto& m = s.config.moves[e.pool];
    auto const age = compare_orders(m, e);
    if (age == order_age::older)
        return;
    bool const is_new = age == order_age::newer;
    bool const is_moved = !is_new && e.order > m.started;
    if (is_new)
        start_move(s, m, e, out);
    else if (is_moved)
        adopt_place(s, m, e.order);
    // A node that read the order later computed a later deadline.
    m.spec.deadline = std::min(m.spec.deadline, e.deadline);
    bool const advances = progress(e.stage, e.end) > progress(m.stage, m.end);
    if (advances && e.end) {
        m.end = e.end;
        m.from = old_version(s, m);
    }
    else if (advances) {
        enter_stage(m, e.stage, s.now);
    }
    if (advances) {
        m.reason = e.reason;
        m.reports_left = e.end ? end_reports : 1;
        m.report_not_before = {};
        emit_log_event(out, e.end ? events::move_ended : events::move_stage,
                       e.pool, "",
                       (e.end ? to_string(*e.end) : std::to_string(e.stage)) +
                           std::string(": ") + e.reason);
    }
    if (!is_new && !is_moved && !advances)
        return;
    flood_pool_move(s, to_pool_move(m), out);
    drain_queues(s, out);
}

void learn_recorded_pool_move(node_state& s, pool_move const& e, effects& out)
{
    learn_pool_move(s, e, out);
    auto& m = s.config.moves[e.pool];
    bool const is_newest = compare_orders(m, e) == order_age::same &&
                           progress(e.stage, e.end) == progress(m.stage, m.end);
    m.recorded = m.recorded || is_newest;
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
            out.moves.push_back(to_pool_move(m));
    return out;
}

// The order is written before any step: its record holds the deadline, for
// later lease holders.
std::optional<pool_move> due_pool_step(node_state& s)
{
    for (auto& [name, m] : s.config.moves) {
        if (m.pool.empty())
            continue;
        if (!m.recorded)
            return to_pool_move(m);
        if (m.end)
            continue;
        if (auto step = next_step(s, m))
            return step;
    }
    return std::nullopt;
}

// Reports a state only after it was recorded on the stream, since another lease
// holder could otherwise decide differently.
void report_pool_moves(node_state& s, effects& out)
{
    for (auto& [name, m] : s.config.moves) {
        bool const is_due = !m.pool.empty() && m.recorded &&
                            m.reports_left > 0 && s.now >= m.report_not_before;
        if (!is_due)
            continue;
        m.report_not_before = s.now + duration(report_retry_delay);
        out.push_back(report_pool_move{to_pool_move(m)});
    }
}

void on_pool_move_reported(node_state& s, pool_move_reported const& e)
{
    auto const it = s.config.moves.find(e.move.pool);
    if (!e.ok || it == s.config.moves.end())
        return;
    auto& m = it->second;
    if (m.started != e.move.order || m.end != e.move.end)
        return; // the move has advanced since
    m.reports_left--;
    m.report_not_before = s.now + duration(end_confirm_delay);
}

} // namespace papayahook::core
