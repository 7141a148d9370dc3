// Duties: calls that one node makes for all, under a lease.
//
// The lease is the newest record of the "duties" stream. Each record is
// appended only if the stream still ends where its writer believes, so of two
// writers one wins. A holder counts its time from before it sent the record;
// the others count from when they read it and wait longer, so that clocks need
// not agree. The offset of the record that took the lease is the fencing
// number.
#include "core/internal.hpp"

#include <algorithm>
#include <utility>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Parts of the lease. A holder stops well before a successor may start, so
// that its last call has arrived by then.
constexpr double held_part = 0.9;
constexpr double renew_part = 0.4;
constexpr double successor_part = 1.4;
constexpr auto successor_step = 300ms; // per rank, so that one node asks first
constexpr auto append_patience = 1s;   // then the stream is asked again
constexpr std::int64_t kept_windows = 8;
constexpr auto report_retry = 700ms;
constexpr std::size_t max_windows_per_beat = 4;

duration part(node_state const& s, double of)
{
    return std::chrono::duration_cast<duration>(duration(s.settings.lease) *
                                                of);
}

std::int64_t window_of(node_state const& s, time_point at)
{
    return at.time_since_epoch() / duration(s.settings.usage_window);
}

time_point end_of(node_state const& s, std::int64_t window)
{
    return time_point(duration(s.settings.usage_window) * (window + 1));
}

bool append(node_state& s, duty_record record, effects& out)
{
    auto& d = s.duties;
    bool const open = d.append_sent != time_point{} &&
                      s.now < d.append_sent + append_patience;
    if (open)
        return false;
    record.holder = s.settings.name;
    record.incarnation = s.settings.incarnation;
    record.fencing = d.fencing;
    d.asked_at = s.now;
    d.append_sent = s.now;
    out.push_back(append_duty{d.end, std::move(record)});
    return true;
}

bool is_own(node_state const& s, duty_record const& it)
{
    return it.holder == s.settings.name &&
           it.incarnation == s.settings.incarnation;
}

void take_lease(node_state& s, effects& out)
{
    auto& d = s.duties;
    if (!d.read_once || s.leaving || !may_hold_duties(s))
        return;
    auto const rank = s.rank;
    auto const free_at =
        d.newest.holder.empty() || d.newest.release
            ? d.newest_seen + rank * successor_step
            : d.newest_seen + part(s, successor_part) + rank * successor_step;
    if (s.now >= free_at)
        append(s, {}, out);
}

usage_report counted(node_state const& s, std::int64_t window)
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
    add(s.duties.own);
    add(s.duties.fresh);
    for (auto const& [node, counts] : s.duties.others)
        add(counts);
    return out;
}

void send_report(node_state& s, usage_report const& it, effects& out)
{
    auto& d = s.duties;
    d.reporting = it.window;
    d.report_at = s.now + report_retry;
    remember(s, "usage", "duty.report", std::to_string(it.window));
    out.push_back(report_usage{d.fencing, it});
}

// Oldest first: what an earlier holder meant to report, then the windows that
// have ended since.
void report_next(node_state& s, effects& out)
{
    auto& d = s.duties;
    if (d.reporting != 0 || s.now < d.report_at)
        return;
    if (!d.intents.empty()) {
        send_report(s, d.intents.begin()->second, out);
        return;
    }
    auto const newest = window_of(s, s.now);
    if (d.reported_to == 0)
        d.reported_to = newest; // windows before this node's time
    if (end_of(s, d.reported_to) + s.settings.usage_delay > s.now)
        return;
    duty_record record;
    record.intent = counted(s, d.reported_to);
    append(s, std::move(record), out);
}

void hold(node_state& s, effects& out)
{
    auto& d = s.duties;
    if (s.now >= d.held_until) {
        note(out, events::lease_lost, s.settings.name, "log",
             "not renewed in time, fencing " + std::to_string(d.fencing));
        d.fencing = 0;
        d.reporting = 0;
        return;
    }
    if (s.leaving) {
        duty_record record;
        record.release = true;
        append(s, std::move(record), out);
        return;
    }
    report_next(s, out);
    plan_fleet(s, out);
    report_pool_moves(s, out);
    if (auto step = due_pool_step(s)) {
        duty_record record;
        record.move = std::move(step);
        append(s, std::move(record), out);
    }
    auto const renew_at =
        d.held_until - part(s, held_part) + part(s, renew_part);
    if (s.now >= renew_at)
        append(s, {}, out);
}

void learn_record(node_state& s, duty_entry const& e, effects& out)
{
    auto& d = s.duties;
    d.newest = e.record;
    d.newest_seen = s.now;
    if (e.record.move)
        learn_pool_record(s, *e.record.move, out);
    if (e.record.intent) {
        d.intents[e.record.intent->window] = *e.record.intent;
        d.reported_to = std::max(d.reported_to, e.record.intent->window + 1);
    }
    if (!is_own(s, e.record) || e.record.release) {
        if (d.fencing != 0)
            note(out, events::lease_lost, s.settings.name, e.record.holder,
                 "offset " + std::to_string(e.at));
        d.fencing = 0;
        d.reporting = 0;
        return;
    }
    if (d.fencing == 0) {
        // An append that was carried out late finds its time already over.
        d.fencing = e.at + 1;
        note(out, events::lease_taken, s.settings.name, "log",
             "fencing " + std::to_string(d.fencing));
    }
    d.held_until = d.asked_at + part(s, held_part);
    d.append_sent = {};
}

} // namespace

void on_duties_read(node_state& s, duties_read const& e, effects& out)
{
    auto& d = s.duties;
    if (!d.read_once)
        d.newest_seen = s.now; // a lease that stands may be new
    d.read_once = true;
    for (auto const& it : e.entries)
        if (it.at >= d.end)
            learn_record(s, it, out);
    if (e.end != d.end)
        d.append_sent = {}; // the condition of an open append has failed
    d.end = std::max(d.end, e.end);
    tend_duties(s, out);
}

void on_duty_append(node_state& s, duty_append_done const& e)
{
    // The stream tells what became of it. A refusal at once may be tried
    // again as soon as the end of the stream is known.
    if (!e.ok)
        s.duties.append_sent = std::min(s.duties.append_sent,
                                        s.now - duration(append_patience / 2));
}

void on_usage_reported(node_state& s, usage_reported const& e, effects& out)
{
    auto& d = s.duties;
    if (d.reporting == e.window)
        d.reporting = 0;
    if (!e.ok)
        return;
    d.intents.erase(e.window);
    d.report_at = s.now;
    note(out, events::usage_reported, std::to_string(e.window), "cloud", "");
}

void tend_duties(node_state& s, effects& out)
{
    if (!s.settings.holds_duties)
        return;
    auto& d = s.duties;
    if (d.reporting != 0 && s.now >= d.report_at)
        d.reporting = 0; // no word of the call: it may be repeated as it was
    if (d.fencing != 0)
        hold(s, out);
    else
        take_lease(s, out);
    auto const is_over = [&](auto const& it) {
        return it.first + kept_windows < window_of(s, s.now);
    };
    std::erase_if(d.own, is_over);
    std::erase_if(d.fresh, is_over);
}

void count_usage(node_state& s, std::string const& organisation)
{
    if (s.settings.holds_duties && !organisation.empty())
        s.duties.fresh[window_of(s, s.now)][organisation]++;
}

// The newest windows of this node and those below it, for the other hubs.
usage_counts own_usage(node_state& s)
{
    usage_counts out;
    auto& own = s.duties.own;
    add_usage(own, std::exchange(s.duties.fresh, {}));
    auto it = own.rbegin();
    for (std::size_t n = 0; n < max_windows_per_beat && it != own.rend();
         ++n, ++it)
        out.insert(*it);
    return out;
}

void learn_usage(node_state& s, peer_state const& p, heartbeat const& e)
{
    if (!s.settings.holds_duties)
        return;
    if (e.under) {
        add_usage(s.duties.fresh, e.usage);
        return;
    }
    // Counts of a process that has ended stay beside those of its successor.
    auto& known = s.duties.others[p.node + "/" + std::to_string(p.incarnation)];
    for (auto const& [window, counts] : e.usage)
        known[window] = counts;
    auto const oldest = window_of(s, s.now) - kept_windows;
    std::erase_if(known, [&](auto const& it) { return it.first < oldest; });
    std::erase_if(s.duties.others,
                  [](auto const& it) { return it.second.empty(); });
}

} // namespace papayahook::core
