// Selects the nodes that read the platform's store. A few nodes read for all;
// the others get the store's data from peers, together with its age. A node
// whose data is stale reads the store itself. One more node starts with each
// step of staleness, up to a limit, so that readers that are dead,
// disconnected, frozen or rejected are replaced without coordination. Nodes
// whose reads fail repeat them at a rate that falls with their rank, so that a
// store that is down is not queried by all nodes again and again.
#include "core/internal.hpp"

#include <utility>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t reader_count = 2; // in normal operation
constexpr auto reader_step = 60ms;      // additional staleness per rank
// Fractions of the limit. Together with the limit they leave a tenth of the
// time in which a change must be in force for a call's way to its endpoint.
constexpr double max_reader_wait = 1.0 / 6; // additional staleness by rank
constexpr double own_read_time = 1.0 / 3;   // in which a node repeats its reads
constexpr double longest_use = 1 + max_reader_wait + own_read_time;
// A node that received no message from a peer for longer is isolated.
constexpr auto isolated_after = 1'000ms;
// Entries expire after some three seconds without a write, one of which may
// precede the outage.
constexpr auto min_outage = 2'500ms;
// Time of a read, and of its way to the other nodes.
constexpr auto read_allowance = 1'000ms;
// Age of a copy from which the store may come back.
constexpr auto longest_copy_age = 30s;

duration part_of_limit(node_state const& s, double fraction)
{
    return std::chrono::duration_cast<duration>(
        fraction * duration(s.settings.max_store_age));
}

// The time as of which the data are complete. A node that starts waits for its
// peers' data before it reads the store.
time_point fresh_at(node_state const& s)
{
    return std::max(s.store_as_of, s.awaits_store_since);
}

bool has_tried_own_read(node_state const& s)
{
    return s.registry_tried_at > fresh_at(s);
}

// Single reads fail also at a node that the store answers.
bool is_own_read_due(node_state const& s, time_point at)
{
    return has_tried_own_read(s) &&
           at < s.registry_tried_at + part_of_limit(s, own_read_time);
}

// Leaves time for a read before a store that answers again counts as stable.
duration longest_read_pause(node_state const& s)
{
    return std::max(duration{}, duration(s.settings.stable_window) -
                                    part_of_limit(s, own_read_time));
}

bool has_live_peer(node_state const& s)
{
    return std::ranges::any_of(s.peers, [&](auto const& it) {
        return it.second.heard_at + duration(isolated_after) > s.now;
    });
}

bool should_read_registry(node_state const& s)
{
    if (s.rank < reader_count)
        return true;
    auto const age = registry_age(s);
    auto const limit = duration(s.settings.max_store_age);
    if (!has_live_peer(s))
        return age >= limit;
    if (is_own_read_due(s, s.now) && age >= limit / 2)
        return true;
    auto const rank_delay =
        static_cast<int>(s.rank - reader_count) * duration(reader_step);
    // A store that is down must not be queried by all nodes again and again.
    // Failures from before the data were fresh say nothing of it.
    auto const pause = std::min(rank_delay, longest_read_pause(s));
    if (has_tried_own_read(s) && s.now < s.store_failed_at + pause)
        return false;
    // Its rank must not keep a node from reading in time: fresher data may be
    // late on their way here.
    auto const wait = std::min(rank_delay, part_of_limit(s, max_reader_wait));
    // Hysteresis: a node that reads already continues until peers deliver
    // fresher data again.
    auto const threshold = s.store_reads.registry ? limit / 2 : limit;
    return age >= threshold + wait;
}

// Longest age of the data while the store answers some node.
duration longest_age(node_state const& s)
{
    return part_of_limit(s, 1 + max_reader_wait) + duration(read_allowance);
}

} // namespace

// This node has tried to read the store, and no node that it hears of has read
// it either for so long that entries may have expired. A node that reads for
// the first time, or that alone is refused, knows of no outage.
bool is_store_away(node_state const& s, time_point until)
{
    auto const away_after = std::max(duration(min_outage), longest_age(s));
    return s.store_reached_at != time_point{} &&
           s.store_failed_at >= s.store_reached_at &&
           s.store_reached_at + away_after < until;
}

bool can_hold_lease(node_state const& s)
{
    return s.settings.max_store_age == 0ms || s.store_reads.duties;
}

duration registry_age(node_state const& s)
{
    return s.now - fresh_at(s);
}

// A node whose own reads fail cannot tell a store that is away from one that
// turns it away, and serves on.
bool may_rely_on_registry(node_state const& s, time_point at)
{
    bool const reads = s.settings.max_store_age != 0ms && s.listed_nodes != 0;
    if (!reads || at < fresh_at(s) + part_of_limit(s, longest_use))
        return true;
    return has_tried_own_read(s) && !is_own_read_due(s, at);
}

std::string describe_store_age(node_state const& s)
{
    auto const age = store_age(s);
    return age == unknown_store_age
               ? std::string("data unknown")
               : "data " + std::to_string(age.count()) + " ms old";
}

void report_registry_read(node_state& s, bool succeeded, effects& out)
{
    if (!s.registry_read_begun)
        return;
    auto const begun = *std::exchange(s.registry_read_begun, std::nullopt);
    emit_log_event(out, events::registry_read, s.settings.name, "",
                   std::string(succeeded ? "answered" : "failed") + " after " +
                       milliseconds_text(s.now - begun) + ", " +
                       describe_store_age(s));
}

std::chrono::milliseconds store_age(node_state const& s)
{
    return std::min(
        unknown_store_age,
        std::chrono::ceil<std::chrono::milliseconds>(s.now - s.store_as_of));
}

void update_store_age(node_state& s, std::chrono::milliseconds age,
                      effects& out)
{
    if (age >= unknown_store_age)
        return;
    auto const limit = duration(s.settings.max_store_age);
    bool const was_stale = registry_age(s) >= limit;
    s.store_as_of = std::max(s.store_as_of, s.now - duration(age));
    // Nodes that wait for fresher data need not read the store themselves.
    if (was_stale && registry_age(s) < limit / 2)
        s.last_heartbeat_at = {};
    learn_store_reached(s, age, out);
}

void learn_store_reached(node_state& s, std::chrono::milliseconds age,
                         effects& out)
{
    auto const reached_at = s.now - duration(age);
    if (reached_at <= s.store_reached_at || age >= unknown_store_age)
        return;
    bool const was_outage = is_store_away(s, reached_at);
    s.store_reached_at = reached_at;
    if (!was_outage)
        return;
    s.log_restored_at = s.now;
    emit_log_event(out, events::log_back, "log", "",
                   "its data had become stale");
}

bool is_settling(node_state const& s)
{
    return s.era > 1 && s.now < s.era_seen_at + duration(rewrite_time);
}

void learn_era(node_state& s, store_era era, effects& out)
{
    if (era <= s.era || era > max_store_era)
        return;
    auto const earlier = std::exchange(s.era, era);
    s.era_seen_at = s.now;
    // A process that knows nothing yet has lost nothing.
    bool const knows_data = s.config.applied != 0 || s.duties.has_read_stream;
    if (earlier == 0 && (era == 1 || !knows_data))
        return;
    s.counts.store_returns++;
    s.log_restored_at = s.now;
    forget_duty_stream(s);
    forget_recorded_moves(s);
    if (s.now < s.awaits_store_since + duration(longest_copy_age))
        out.push_back(announce_node{});
    emit_log_event(out, events::store_returned, s.settings.name, "",
                   "era " + std::to_string(era) + " after " +
                       std::to_string(earlier));
}

void plan_store_reads(node_state& s, effects& out)
{
    if (s.settings.max_store_age == 0ms)
        return;
    if (s.awaits_store_since == time_point{})
        s.awaits_store_since = s.now;
    follow_store next;
    // The list of nodes is read first: it tells whether other nodes read.
    bool const listed = s.listed_nodes != 0;
    next.registry = listed && should_read_registry(s);
    if (next.registry && !has_tried_own_read(s))
        s.registry_tried_at = s.now;
    next.duties = !listed || s.rank < reader_count || s.duties.fencing != 0;
    bool const unchanged = next.registry == s.store_reads.registry &&
                           next.duties == s.store_reads.duties;
    if (unchanged)
        return;
    if (next.duties && !s.store_reads.duties)
        // Another node may hold the lease by now.
        s.duties.has_read_stream = false;
    if (next.registry != s.store_reads.registry)
        s.registry_read_begun =
            next.registry ? std::optional(s.now) : std::nullopt;
    s.store_reads = next;
    emit_log_event(out, events::store_followed, s.settings.name, "",
                   std::string(next.registry ? "registry" : "") +
                       (next.duties ? " duties" : "") + ", rank " +
                       std::to_string(s.rank) + ", " + describe_store_age(s));
    out.push_back(next);
}

} // namespace papayahook::core
