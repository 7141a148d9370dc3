// The reducer: dispatches each event to the subsystem that handles it.
#include "core/internal.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_decisions = 512;
constexpr auto tick_period = 50ms; // of a node that runs
// A node that has no tick for longer did not run.
constexpr auto max_tick_gap = 500ms;

void on_append_done(node_state& s, append_done const& e, effects& out)
{
    auto const it = s.appends.find(e.append);
    if (it == s.appends.end())
        return;
    if (e.ok) {
        bool const is_claims_append = s.claim_log.open_append == e.append;
        s.appends.erase(it);
        if (is_claims_append)
            s.claim_log.open_append = 0;
        flush_claims(s, out);
        return;
    }
    if (e.in_doubt)
        emit_log_event(out, events::append_in_doubt, it->second.request.id,
                       "log", it->second.request.stream);
    // Duplicates of a record on the log fold to the same state, so a retry is
    // safe whether or not this append took effect.
    it->second.in_flight = false;
    it->second.retry_at = s.now + s.settings.append_retry;
}

void retry_appends(node_state& s, effects& out)
{
    for (auto& [number, it] : s.appends) {
        if (it.in_flight || it.retry_at > s.now)
            continue;
        it.in_flight = true;
        out.push_back(it.request);
    }
}

void on_log_reachable(node_state& s, log_reachable const& e, effects& out)
{
    if (e.reachable)
        update_store_age(s, e.data_age, out);
    else
        s.store_failed_at = s.now;
    report_registry_read(s, e.reachable, out);
    if (s.log_reachable == e.reachable)
        return;
    s.log_reachable = e.reachable;
    emit_log_event(out, e.reachable ? events::log_back : events::log_lost,
                   "log", "", "");
}

void on_log_read(node_state& s, log_read const& e, effects& out)
{
    if (e.stream == "config")
        on_config_read(s, e, out);
    else if (e.stream == "claims")
        on_claims_read(s, e, out);
}

void on_settings(node_state& s, settings_changed const& e)
{
    auto updated = e.settings;
    updated.name = s.settings.name;
    updated.zone = s.settings.zone;
    updated.incarnation = s.settings.incarnation;
    updated.caller_address = s.settings.caller_address;
    updated.peer_address = s.settings.peer_address;
    updated.capacity = s.settings.capacity;
    updated.hello_proof = s.settings.hello_proof;
    s.settings = std::move(updated);
}

void on_shutdown(node_state& s, effects& out)
{
    if (s.leaving)
        return;
    s.leaving = true;
    s.leaving_since = s.now;
    emit_log_event(out, events::node_leaving, s.settings.name, "",
                   "shutdown requested");
    s.last_heartbeat_at = {};
    send_heartbeats(s, out);
}

// Ends the requests that are still open shortly before the process exits, so
// that their callers get an answer and learn whether they may have run.
void end_open_requests(node_state& s, effects& out)
{
    auto const open = requests_where(s, [](auto const& r) {
        return r.phase != request_phase::done &&
               r.phase != request_phase::handed_over;
    });
    for (auto const& id : open) {
        auto& r = s.requests.at(id);
        if (r.phase != request_phase::done)
            refuse_request(s, r,
                           {502, outcome::not_run, step::shutdown, r.endpoint,
                            "this node stopped before the answer was complete",
                            0s},
                           out);
    }
}

void end_when_idle(node_state& s, effects& out)
{
    if (!s.leaving)
        return;
    if (s.now + s.settings.exit_linger >=
        s.leaving_since + s.settings.drain_timeout)
        end_open_requests(s, out);
    bool const in_progress =
        std::ranges::any_of(s.requests, [](auto const& it) {
            return it.second.phase != request_phase::done;
        });
    bool const callers_informed =
        s.now >= s.leaving_since + s.settings.drain_accept_time;
    // The last answer has ended, but its bytes may still be in transit.
    bool const flushed = s.now >= s.last_ended_at + s.settings.exit_linger;
    bool const out_of_time =
        s.now >= s.leaving_since + s.settings.drain_timeout;
    bool const holds_lease = s.duties.fencing != 0; // until it is released
    bool const is_idle = callers_informed && flushed && !in_progress &&
                         !holds_lease && !waits_for_peer(s) &&
                         s.appends.empty() && s.claim_log.batch.empty();
    if (is_idle || out_of_time)
        out.push_back(exit_process{});
}

void expire_answers(node_state& s)
{
    std::erase_if(s.requests, [&](auto const& it) {
        auto const& r = it.second;
        return r.phase == request_phase::done &&
               r.ended_at + s.settings.answer_linger <= s.now;
    });
}

// Time in which this node did not run is not the silence of others: what they
// sent meanwhile is not read yet. The time of one tick counts, so that silence
// ends also on a node whose ticks are always late.
void discount_standstill(node_state& s)
{
    auto const gap = s.now - std::exchange(s.ticked_at, s.now);
    if (gap <= duration(max_tick_gap) || gap == s.now.time_since_epoch())
        return;
    auto const lost = gap - duration(tick_period);
    auto const shift = [&](time_point& it) {
        it = std::min(s.now, it + lost);
    };
    for (auto& [id, r] : s.requests) {
        shift(r.progress_at);
        if (r.offered_to != 0)
            shift(r.offered_at);
    }
    // Quotas and readers of the store go by the true time.
    for (auto& [link, p] : s.peers)
        p.not_running += lost;
}

void on_tick(node_state& s, effects& out)
{
    discount_standstill(s);
    choose_cold_senders(s);
    expire_requests(s, out);
    adjust_limits(s);
    shed_queued_requests(s, out);
    refuse_paused_requests(s, out);
    refuse_evacuated_requests(s, out);
    check_progress_timeouts(s, out);
    release_held_failures(s, out);
    limit_held_answers(s, out);
    retry_appends(s, out);
    flush_claims(s, out);
    expire_claims(s);
    check_peers(s, out);
    plan_links(s, out);
    plan_store_reads(s, out);
    evaluate_moves(s, out);
    write_checkpoint(s, out);
    send_heartbeats(s, out);
    expire_answers(s);
    forget_endpoints(s);
    maintain_parts(s, out);
    run_duties(s, out);
    drain_queues(s, out);
    if (s.settings.hand_over_enabled)
        hand_over_requests(s, out);
    end_when_idle(s, out);
}

} // namespace

void reduce(node_state& s, event const& e, effects& out)
{
    s.now = std::max(s.now, e.at);
    std::visit(
        overloaded{
            [&](request_arrived const& it) { on_request_arrived(s, it, out); },
            [&](caller_gone const& it) { on_caller_gone(s, it, out); },
            [&](caller_drained const& it) { on_caller_drained(s, it, out); },
            [&](reattach const& it) { on_reattach(s, it, out); },
            [&](answer_head const& it) { on_answer_head(s, it, out); },
            [&](answer_chunk const& it) { on_answer_chunk(s, it, out); },
            [&](answer_end const& it) { on_answer_end(s, it, out); },
            [&](call_failed const& it) { on_call_failed(s, it, out); },
            [&](log_read const& it) { on_log_read(s, it, out); },
            [&](append_done const& it) { on_append_done(s, it, out); },
            [&](log_reachable const& it) { on_log_reachable(s, it, out); },
            [&](store_era_seen const& it) { learn_era(s, it.era, out); },
            [&](peer_opened const& it) { on_peer_opened(s, it, out); },
            [&](peer_received const& it) { on_peer_message(s, it, out); },
            [&](peer_closed const& it) { on_peer_closed(s, it, out); },
            [&](endpoint_report const& it) { on_endpoint_report(s, it, out); },
            [&](instance_list const& it) { on_instance_list(s, it, out); },
            [&](relay_ended const& it) { on_relay_ended(s, it); },
            [&](config_published const& it) {
                on_config_published(s, it, out);
            },
            [&](endpoints_listed const& it) {
                on_endpoints_listed(s, it, out);
            },
            [&](zones_evacuated const& it) { on_zones_evacuated(s, it, out); },
            [&](nodes_listed const& it) { on_nodes_listed(s, it); },
            [&](dial_failed const& it) { on_dial_failed(s, it); },
            [&](duties_read const& it) { on_duties_read(s, it, out); },
            [&](duty_append_done const& it) { on_duty_append_done(s, it); },
            [&](endpoints_ordered const& it) {
                on_endpoints_ordered(s, it, out);
            },
            [&](endpoint_checked const& it) {
                on_endpoint_checked(s, it, out);
            },
            [&](usage_reported const& it) { on_usage_reported(s, it, out); },
            [&](pool_move_ordered const& it) {
                on_pool_move_ordered(s, it, out);
            },
            [&](pool_move_reported const& it) { on_pool_move_reported(s, it); },
            [&](settings_changed const& it) { on_settings(s, it); },
            [&](shutdown_requested const&) { on_shutdown(s, out); },
            [&](tick const&) { on_tick(s, out); },
        },
        e.body);
}

std::uint64_t hash_of(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::string digest_of(std::string_view text)
{
    constexpr char digits[] = "0123456789abcdef";
    auto const hash = XXH3_128bits(text.data(), text.size());
    std::string out;
    for (auto const half : std::array{hash.high64, hash.low64})
        for (int shift = 60; shift >= 0; shift -= 4)
            out += digits[(half >> shift) & 0xf];
    return out;
}

request_state* find_request(node_state& s, request_id const& id)
{
    auto const it = s.requests.find(id);
    return it == s.requests.end() ? nullptr : &it->second;
}

request_state* request_of_call(node_state& s, call_id call)
{
    auto const it = s.calls.find(call);
    if (it == s.calls.end())
        return nullptr;
    auto* const r = find_request(s, it->second);
    return r != nullptr && r->call == call ? r : nullptr;
}

void record_latency(latency_histogram& it, duration passed)
{
    auto const bucket = std::ranges::lower_bound(latency_bounds, passed);
    it.counts.at(static_cast<std::size_t>(bucket - latency_bounds.begin()))++;
    it.sum += passed;
}

void emit_log_event(effects& out, int number, std::string subject,
                    std::string peer, std::string detail)
{
    out.push_back(log_event{number, std::move(subject), std::move(peer),
                            std::move(detail)});
}

std::string milliseconds_text(duration d)
{
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(d)
                   .count()) +
           " ms";
}

std::string part_text(std::uint64_t part)
{
    constexpr int base = 16;
    std::array<char, 2 * sizeof part> digits{};
    auto const end =
        std::to_chars(digits.data(), digits.data() + digits.size(), part, base);
    return {digits.data(), end.ptr};
}

void record_decision(node_state& s, std::string subject, std::string rule,
                     std::string detail)
{
    s.decisions.push_back(
        {s.now, std::move(subject), std::move(rule), std::move(detail)});
    if (s.decisions.size() > max_decisions)
        s.decisions.pop_front();
}

std::string next_record_id(node_state& s)
{
    return s.settings.name + "." + std::to_string(s.settings.incarnation) +
           ".a" + std::to_string(s.next_append++);
}

std::uint64_t
append_records(node_state& s, std::string stream,
               std::vector<std::variant<config_record, claim_record>> records,
               effects& out)
{
    append it;
    it.id = next_record_id(s);
    it.append = s.next_append;
    it.stream = std::move(stream);
    it.records = std::move(records);
    s.appends[it.append] = pending_append{it, true, {}};
    s.counts.appends++;
    auto const number = it.append;
    out.push_back(std::move(it));
    return number;
}

char const* to_string(outcome it)
{
    return it == outcome::not_run ? "not_run" : "outcome_unknown";
}

char const* to_string(step it)
{
    constexpr std::array names{"authenticate", "admit",   "queue", "claim",
                               "route",        "connect", "send",  "receive",
                               "answer",       "shutdown"};
    return names.at(static_cast<std::size_t>(it));
}

char const* to_string(endpoint_kind it)
{
    return it == endpoint_kind::model_runner ? "model_runner" : "plain_service";
}

char const* to_string(priority_class it)
{
    constexpr std::array names{"order", "chat", "check", "job"};
    return names.at(static_cast<std::size_t>(it));
}

char const* to_string(move_end it)
{
    return it == move_end::finished ? "finished" : "taken_back";
}

char const* to_string(claim_kind it)
{
    constexpr std::array names{"claim", "answered", "released", "unknown"};
    return names.at(static_cast<std::size_t>(it));
}

char const* to_string(request_phase it)
{
    constexpr std::array names{"queued",  "claiming",  "following",
                               "calling", "answering", "handed_over",
                               "done"};
    return names.at(static_cast<std::size_t>(it));
}

} // namespace papayahook::core
