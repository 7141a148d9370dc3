// Duties: calls that one node makes for all nodes, under a lease.
//
// The lease is the newest record of the "duties" stream. A record is appended
// only if the stream still ends at the offset that its writer expects, so that
// one of two concurrent writers succeeds. The holder measures its lease from
// before it sent the record. The other nodes measure from when they read it and
// wait longer, so that clocks need not be synchronised. The fencing token is
// the place of the record that took the lease, so that tokens rise also when
// the store comes back from an older copy and gives offsets out again.
//
// Such a copy lacks the newest records. Whoever sees the new era takes the
// lease only when a holder that it may not know of has lost it; a holder whose
// lease has not ended goes on, and writes it again. A record that was written
// by the knowledge of another era says nothing about the lease: it stood in the
// copy, or its append was carried out late.
//
// Nodes of landings that know no eras keep the end of the stream that the copy
// lacks. They pass over what stands below it and would take the lease when the
// stream has grown to it again. The first record of a holder is therefore
// written so often that they read it.
//
// The receiver of the calls may not see an instance act, then another one, then
// the first one again within one lease. Records therefore name the instances
// that held the lease a short time ago: the store retains only the newest
// records, and a process that starts knows nothing of what its instance did.
#include "core/internal.hpp"

#include <algorithm>
#include <utility>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Fractions of the lease. The holder stops well before a successor may start,
// so that the holder's last call has arrived by then. On a link that is cut,
// TCP may send a call again seconds later, so that none begins unless the log
// has been reached a short time ago.
constexpr double call_fraction = 0.33;
constexpr double held_fraction = 0.9;
constexpr double renew_fraction = 0.4;
constexpr double successor_fraction = 1.4;
constexpr auto rank_delay = 300ms; // per rank, so that one node tries first
// Time after which an append without a known outcome is retried.
constexpr auto append_timeout = 1s;
constexpr std::int64_t retained_windows = 8;
constexpr auto report_retry_delay = 700ms;
constexpr std::size_t max_windows_per_heartbeat = 4;
// Longest difference between the clocks of two nodes.
constexpr auto clock_slack = 1s;
// Records before a return that another node may have read and this one not.
constexpr offset unread_records = 8;
constexpr offset max_copies = 256;

duration fraction_of_lease(node_state const& s, double fraction)
{
    return std::chrono::duration_cast<duration>(duration(s.settings.lease) *
                                                fraction);
}

std::int64_t window_of(node_state const& s, time_point at)
{
    return at.time_since_epoch() / duration(s.settings.usage_window);
}

time_point end_of(node_state const& s, std::int64_t window)
{
    return time_point(duration(s.settings.usage_window) * (window + 1));
}

std::vector<recent_holder> earlier_holders(node_state const& s)
{
    std::vector<recent_holder> out;
    for (auto const& [holder, last_call] : s.duties.last_calls)
        if (s.now < last_call + duration(s.settings.lease))
            out.push_back(
                {holder, std::chrono::floor<std::chrono::milliseconds>(
                             s.now - last_call)});
    return out;
}

// Replaces what is known of holders by what the newest record states. Its
// writer may act until it releases the lease or the lease ends.
void learn_holders(node_state& s, duty_record const& it)
{
    auto& last_calls = s.duties.last_calls;
    last_calls.clear();
    for (auto const& [holder, idle_for] : it.earlier_holders)
        last_calls[holder] = s.now - duration(idle_for);
    last_calls[it.holder] =
        it.release ? s.now : s.now + duration(s.settings.lease);
}

// Returns when this instance may act again if others have acted since it did.
time_point end_of_own_pause(node_state const& s)
{
    auto const& d = s.duties;
    auto const it = d.last_calls.find(s.settings.name);
    bool const others_acted = d.newest_record.holder != s.settings.name;
    return it != d.last_calls.end() && others_acted
               ? it->second + duration(s.settings.lease)
               : time_point{};
}

std::size_t copies_to_append(duty_state const& d, duty_record const& it)
{
    bool const is_renewal = !it.intent && !it.move && !it.release;
    if (!is_renewal || d.stream_end >= d.lost_end)
        return 1;
    return std::min(max_copies, d.lost_end + unread_records - d.stream_end);
}

bool append(node_state& s, duty_record record, effects& out)
{
    auto& d = s.duties;
    bool const in_flight = d.open_append_at != time_point{} &&
                           s.now < d.open_append_at + append_timeout;
    if (in_flight || !d.has_read_stream)
        return false;
    record.holder = s.settings.name;
    record.incarnation = s.settings.incarnation;
    record.fencing = d.fencing;
    record.era = s.era;
    record.next_window = d.next_window;
    record.earlier_holders = earlier_holders(s);
    d.last_append_at = s.now;
    d.open_append_at = s.now;
    d.wants_renewal = false;
    auto const copies = copies_to_append(d, record);
    out.push_back(append_duty{d.stream_end, std::move(record), copies});
    return true;
}

// Returns when the append that the own lease counts from was sent.
time_point renewed_at(node_state const& s)
{
    return s.duties.held_until - fraction_of_lease(s, held_fraction);
}

bool is_own(node_state const& s, duty_record const& it)
{
    return it.holder == s.settings.name &&
           it.incarnation == s.settings.incarnation;
}

void take_lease(node_state& s, effects& out)
{
    auto& d = s.duties;
    if (!d.has_read_stream || s.leaving || !can_hold_lease(s))
        return;
    // After a return of the store, the record of a holder may be gone.
    bool const knows_holders = s.era <= 1 || d.newest_record.era == s.era;
    bool const is_free = knows_holders && (d.newest_record.holder.empty() ||
                                           d.newest_record.release);
    auto const wait =
        is_free ? duration{} : fraction_of_lease(s, successor_fraction);
    time_point const free_at = d.newest_read_at + wait + s.rank * rank_delay;
    if (s.now >= std::max(free_at, end_of_own_pause(s)))
        append(s, {}, out);
}

std::string describe_token(node_state const& s)
{
    return "fencing " + std::to_string(s.duties.fencing) + ", era " +
           std::to_string(s.era);
}

usage_report usage_in_window(node_state const& s, std::int64_t window)
{
    usage_report out;
    out.window = window;
    auto const add = [&](usage_counts const& from) {
        auto const it = from.find(window);
        if (it == from.end())
            return;
        for (auto const& [name, n] : it->second)
            out.counts[name] += n;
    };
    add(s.duties.subtree_totals);
    add(s.duties.unpublished_usage);
    for (auto const& [node, counts] : s.duties.hub_usage)
        add(counts);
    return out;
}

void send_report(node_state& s, usage_report const& it, effects& out)
{
    auto& d = s.duties;
    d.open_report = it.window;
    d.report_not_before = s.now + report_retry_delay;
    record_decision(s, "usage", "duty.report", std::to_string(it.window));
    emit_log_event(out, events::usage_sent, std::to_string(it.window), "cloud",
                   describe_token(s));
    out.push_back(report_usage{d.fencing, it});
}

// Reports the oldest window first: those that an earlier holder intended to
// report, then those that have ended since.
void report_next_window(node_state& s, effects& out)
{
    auto& d = s.duties;
    if (d.open_report != 0 || s.now < d.report_not_before)
        return;
    if (!d.intents.empty()) {
        if (begins_duty_call(s))
            send_report(s, d.intents.begin()->second, out);
        return;
    }
    auto const newest = window_of(s, s.now);
    if (d.next_window == 0)
        d.next_window = newest; // skips the windows before this node started
    if (end_of(s, d.next_window) + s.settings.usage_delay > s.now)
        return;
    duty_record record;
    record.intent = usage_in_window(s, d.next_window);
    append(s, std::move(record), out);
}

// A successor may act from now on, so that no call may arrive after it.
void end_lease(node_state& s, std::string peer, std::string const& why,
               effects& out)
{
    auto& d = s.duties;
    emit_log_event(out, events::lease_lost, s.settings.name, std::move(peer),
                   why + ", " + describe_token(s) + ", " +
                       std::to_string(d.open_calls) + " calls open");
    if (d.open_calls != 0)
        out.push_back(cancel_duty_calls{});
    d.fencing = 0;
    d.open_report = 0;
}

void perform_duties(node_state& s, effects& out)
{
    report_next_window(s, out);
    plan_fleet(s, out);
    report_pool_moves(s, out);
    if (auto step = due_pool_step(s)) {
        duty_record record;
        record.move = std::move(step);
        append(s, std::move(record), out);
    }
}

void run_as_holder(node_state& s, effects& out)
{
    auto& d = s.duties;
    if (s.now >= d.held_until) {
        end_lease(s, "log", "not renewed in time", out);
        return;
    }
    // The next holder acts as soon as it has read of the release.
    if (s.leaving && d.open_calls == 0) {
        duty_record record;
        record.release = true;
        append(s, std::move(record), out);
        return;
    }
    if (!s.leaving)
        perform_duties(s, out);
    auto const renew_at = renewed_at(s) + fraction_of_lease(s, renew_fraction);
    bool const is_written = !d.newest_record.holder.empty();
    if (d.wants_renewal || !is_written || s.now >= renew_at)
        append(s, {}, out);
}

// Whether a record was written by the knowledge of this era of the store.
// Records of older nodes state none.
bool is_current(node_state const& s, duty_record const& it)
{
    return it.era == 0 || it.era == s.era;
}

void learn_windows(node_state& s, duty_record const& it)
{
    auto& d = s.duties;
    if (it.intent) {
        // An append that was carried out after a return must not replace an
        // intent that may have been reported since.
        bool const is_late =
            !is_current(s, it) && it.intent->window < d.next_window;
        if (!is_late)
            d.intents[it.intent->window] = *it.intent;
        d.next_window = std::max(d.next_window, it.intent->window + 1);
    }
    d.next_window = std::max(d.next_window, it.next_window);
}

// Leaves out windows that an earlier holder, whose records are gone, may have
// reported with other counts.
void skip_doubtful_windows(node_state& s)
{
    auto& d = s.duties;
    bool const is_known =
        s.era <= 1 || d.fencing != 0 || d.newest_record.era == s.era;
    if (!is_known)
        d.next_window = std::max(
            d.next_window,
            window_of(s, s.now - s.settings.usage_delay + clock_slack));
}

void apply_duty_record(node_state& s, duty_entry const& e, effects& out)
{
    auto& d = s.duties;
    if (e.record.move)
        learn_recorded_pool_move(s, *e.record.move, out);
    learn_windows(s, e.record);
    if (!is_current(s, e.record))
        return;
    d.newest_record = e.record;
    d.newest_read_at = s.now;
    learn_holders(s, e.record);
    if (!is_own(s, e.record) || e.record.release) {
        if (d.fencing != 0)
            end_lease(s, e.record.holder, "offset " + std::to_string(e.at),
                      out);
        return;
    }
    if (d.fencing == 0) {
        // The lease counts from when the append was sent, so that one that
        // took effect late may have expired already.
        d.fencing = place_in(s.era, e.at);
        emit_log_event(out, events::lease_taken, s.settings.name, "log",
                       describe_token(s));
    }
    d.held_until = d.last_append_at + fraction_of_lease(s, held_fraction);
    d.open_append_at = {};
}

} // namespace

bool begins_duty_call(node_state& s)
{
    auto& d = s.duties;
    d.wants_renewal =
        s.now >= renewed_at(s) + fraction_of_lease(s, call_fraction);
    d.open_calls += d.wants_renewal ? 0 : 1;
    return !d.wants_renewal;
}

void forget_duty_stream(node_state& s)
{
    auto& d = s.duties;
    d.has_read_stream = false;
    d.lost_end = std::max(d.lost_end, std::exchange(d.stream_end, 0));
    d.newest_record = {};
    d.open_append_at = {};
}

void on_duties_read(node_state& s, duties_read const& e, effects& out)
{
    auto& d = s.duties;
    if (e.era != 0 && e.era < s.era)
        return; // read before the store returned
    learn_era(s, e.era, out);
    bool const is_first = !d.has_read_stream;
    if (is_first)
        d.newest_read_at = s.now; // a lease in force may just have been taken
    d.has_read_stream = true;
    for (auto const& it : e.entries)
        if (it.at >= d.stream_end)
            apply_duty_record(s, it, out);
    if (is_first)
        skip_doubtful_windows(s);
    if (e.end != d.stream_end)
        // The condition of an append in flight has failed.
        d.open_append_at = {};
    d.stream_end = std::max(d.stream_end, e.end);
    run_duties(s, out);
}

void on_duty_append_done(node_state& s, duty_append_done const& e)
{
    // The outcome is read from the stream. An append that was refused at once
    // may be retried as soon as the end of the stream is known.
    if (!e.ok)
        s.duties.open_append_at = std::min(
            s.duties.open_append_at, s.now - duration(append_timeout / 2));
}

void on_usage_reported(node_state& s, usage_reported const& e, effects& out)
{
    auto& d = s.duties;
    d.open_calls--;
    if (d.open_report == e.window)
        d.open_report = 0;
    if (!e.ok)
        return;
    d.intents.erase(e.window);
    d.report_not_before = s.now;
    emit_log_event(out, events::usage_reported, std::to_string(e.window),
                   "cloud", "");
}

void run_duties(node_state& s, effects& out)
{
    if (!s.settings.duties_enabled)
        return;
    auto& d = s.duties;
    if (d.open_report != 0 && s.now >= d.report_not_before)
        d.open_report = 0; // no reply: the same report may be sent again
    if (d.fencing != 0)
        run_as_holder(s, out);
    else
        take_lease(s, out);
    auto const is_expired = [&](auto const& it) {
        return it.first + retained_windows < window_of(s, s.now);
    };
    std::erase_if(d.subtree_totals, is_expired);
    std::erase_if(d.unpublished_usage, is_expired);
    std::erase_if(d.intents, is_expired);
}

void count_usage(node_state& s, std::string const& organisation)
{
    if (s.settings.duties_enabled && !organisation.empty())
        s.duties.unpublished_usage[window_of(s, s.now)][organisation]++;
}

// Returns the newest windows of this node and its subtree, for other hubs.
usage_counts subtree_usage(node_state& s)
{
    usage_counts out;
    auto& own = s.duties.subtree_totals;
    add_usage(own, std::exchange(s.duties.unpublished_usage, {}));
    auto it = own.rbegin();
    for (std::size_t n = 0; n < max_windows_per_heartbeat && it != own.rend();
         ++n, ++it)
        out.insert(*it);
    return out;
}

void learn_usage(node_state& s, peer_state const& p, heartbeat const& e)
{
    if (!s.settings.duties_enabled)
        return;
    if (e.receiver_is_hub) {
        add_usage(s.duties.unpublished_usage, e.usage);
        return;
    }
    // Counts of a process that has ended are kept beside those of its
    // successor.
    auto& totals_of_peer =
        s.duties.hub_usage[p.node + "/" + std::to_string(p.incarnation)];
    for (auto const& [window, counts] : e.usage)
        totals_of_peer[window] = counts;
    auto const oldest = window_of(s, s.now) - retained_windows;
    std::erase_if(totals_of_peer,
                  [&](auto const& it) { return it.first < oldest; });
    std::erase_if(s.duties.hub_usage,
                  [](auto const& it) { return it.second.empty(); });
}

} // namespace papayahook::core
