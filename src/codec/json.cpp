#include "codec/json.hpp"

#include "codec/deflate.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <stdexcept>

// Serializers of standard types that the library does not provide.
namespace nlohmann {

template <class Rep, class Period>
struct adl_serializer<std::chrono::duration<Rep, Period>>
{
    using type = std::chrono::duration<Rep, Period>;
    static void to_json(json& j, type it) { j = it.count(); }
    static void from_json(json const& j, type& it) { it = type(j.get<Rep>()); }
};

template <>
struct adl_serializer<papayahook::core::time_point>
{
    using type = papayahook::core::time_point;
    static void to_json(json& j, type it) { j = it.time_since_epoch().count(); }
    static void from_json(json const& j, type& it)
    {
        it = type(papayahook::core::duration(j.get<std::int64_t>()));
    }
};

template <class T>
struct adl_serializer<std::optional<T>>
{
    static void to_json(json& j, std::optional<T> const& it)
    {
        j = it ? json(*it) : json(nullptr);
    }
    static void from_json(json const& j, std::optional<T>& it)
    {
        it = j.is_null() ? std::optional<T>{} : j.get<T>();
    }
};

} // namespace nlohmann

namespace papayahook::core {

NLOHMANN_JSON_SERIALIZE_ENUM(endpoint_kind,
                             {{endpoint_kind::model_runner, "model_runner"},
                              {endpoint_kind::plain_service, "plain_service"}})
NLOHMANN_JSON_SERIALIZE_ENUM(priority_class, {{priority_class::order, "order"},
                                              {priority_class::chat, "chat"},
                                              {priority_class::check, "check"},
                                              {priority_class::job, "job"}})
NLOHMANN_JSON_SERIALIZE_ENUM(outcome,
                             {{outcome::not_run, "not_run"},
                              {outcome::outcome_unknown, "outcome_unknown"}})
NLOHMANN_JSON_SERIALIZE_ENUM(step, {{step::authenticate, "authenticate"},
                                    {step::admit, "admit"},
                                    {step::queue, "queue"},
                                    {step::claim, "claim"},
                                    {step::route, "route"},
                                    {step::connect, "connect"},
                                    {step::send, "send"},
                                    {step::receive, "receive"},
                                    {step::answer, "answer"},
                                    {step::shutdown, "shutdown"}})
NLOHMANN_JSON_SERIALIZE_ENUM(move_end, {{move_end::finished, "finished"},
                                        {move_end::taken_back, "taken_back"}})
NLOHMANN_JSON_SERIALIZE_ENUM(part_status,
                             {{part_status::suspected, "suspected"},
                              {part_status::quarantined, "quarantined"},
                              {part_status::cleared, "cleared"}})
NLOHMANN_JSON_SERIALIZE_ENUM(claim_kind, {{claim_kind::claim, "claim"},
                                          {claim_kind::answered, "answered"},
                                          {claim_kind::released, "released"},
                                          {claim_kind::unknown, "unknown"}})

// PAPAYAHOOK_JSON(type, element...) defines to_json() and from_json() of a type
// as NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT does. An element is a
// member, whose key is its name, a pair (member, "key"), or (member, "key",
// sparse), which is left out while it holds its default. Keys stand in messages
// between nodes, in records of the log, in dumps and in recorded sessions, so a
// renamed member keeps its key.
#define PAPAYAHOOK_JSON(type, ...)                                             \
    inline void to_json(nlohmann::json& j, type const& it)                     \
    {                                                                          \
        NLOHMANN_JSON_EXPAND(                                                  \
            NLOHMANN_JSON_PASTE(PAPAYAHOOK_WRITE, __VA_ARGS__))                \
    }                                                                          \
    inline void from_json(nlohmann::json const& j, type& it)                   \
    {                                                                          \
        type defaults;                                                         \
        NLOHMANN_JSON_EXPAND(                                                  \
            NLOHMANN_JSON_PASTE(PAPAYAHOOK_READ, __VA_ARGS__))                 \
    }
#define PAPAYAHOOK_WRITE(element)                                              \
    PAPAYAHOOK_JOIN(PAPAYAHOOK_WRITE_, PAPAYAHOOK_FORM(element))(element)
#define PAPAYAHOOK_WRITE_MEMBER(member) j[#member] = it.member;
#define PAPAYAHOOK_WRITE_PAIR(pair) PAPAYAHOOK_WRITE_KEY pair
#define PAPAYAHOOK_WRITE_KEY(member, key, ...)                                 \
    __VA_OPT__(if (it.member != std::remove_cvref_t<decltype(it)>{}.member))   \
    j[key] = it.member;
#define PAPAYAHOOK_READ(element)                                               \
    PAPAYAHOOK_JOIN(PAPAYAHOOK_READ_, PAPAYAHOOK_FORM(element))(element)
#define PAPAYAHOOK_READ_MEMBER(member)                                         \
    it.member = j.value(#member, defaults.member);
#define PAPAYAHOOK_READ_PAIR(pair) PAPAYAHOOK_READ_KEY pair
#define PAPAYAHOOK_READ_KEY(member, key, ...)                                  \
    it.member = j.value(key, defaults.member);
// PAIR for an element in parentheses, else MEMBER.
#define PAPAYAHOOK_FORM(element)                                               \
    PAPAYAHOOK_SECOND(PAPAYAHOOK_IS_PAIR element, MEMBER, ~)
#define PAPAYAHOOK_IS_PAIR(...) ~, PAIR
#define PAPAYAHOOK_SECOND(...) PAPAYAHOOK_SECOND_OF(__VA_ARGS__)
#define PAPAYAHOOK_SECOND_OF(first, second, ...) second
#define PAPAYAHOOK_JOIN(a, b) PAPAYAHOOK_JOIN_OF(a, b)
#define PAPAYAHOOK_JOIN_OF(a, b) a##b

PAPAYAHOOK_JSON(refusal, status, (known_outcome, "what"),
                (failed_step, "where"), peer, detail, retry_after)
PAPAYAHOOK_JSON(organisation, name, key_digests, weight, max_in_flight, klass,
                quota_rate, quota_burst, counts_tokens,
                (default_tokens, "plain_tokens"))
PAPAYAHOOK_JSON(pool_scaling, (min_per_zone, "least"), (max_per_zone, "most"),
                (boot_time, "boot"), reclaimable_price, zone_cost)
PAPAYAHOOK_JSON(pool, name, health_path, max_connections, memory_tokens,
                scaling, (cold_time, "cold_time", sparse),
                (cold_rate, "cold_rate", sparse))
PAPAYAHOOK_JSON(weighted_pool, pool, weight)
PAPAYAHOOK_JSON(endpoint, name, kind, pool, address, zone, version,
                schema_versions, slots, checks_fencing, incarnation,
                reclaimable)
PAPAYAHOOK_JSON(route, name, pool, version, klass, repeatable, deadline,
                progress_timeout, (deadline_covers_body, "whole_deadline"),
                host, path_prefix, splits, (anonymous, "open"), streams,
                resumable, max_attempts, (first_byte_target, "target"),
                (cancel_on_disconnect, "stops_with_caller"))
PAPAYAHOOK_JSON(version_move, name, route, to, deadline, canary_share,
                min_samples, max_bad_excess, max_latency_ratio)
PAPAYAHOOK_JSON(move_step, move, stage, end, reason, node)
PAPAYAHOOK_JSON(revisioned<organisation>, value, revision)
PAPAYAHOOK_JSON(revisioned<endpoint>, value, revision)
PAPAYAHOOK_JSON(revisioned<route>, value, revision)
PAPAYAHOOK_JSON(move_snapshot, spec, from, stage, end, reason, started,
                revision, stage_since)
PAPAYAHOOK_JSON(config_snapshot, applied, (version, "version", sparse),
                lists_endpoints, pools, organisations, endpoints, routes, moves)
PAPAYAHOOK_JSON(endpoint_entry, at, name, present, draining, (value, "what"),
                (sequence, "sequence", sparse), (missing, "missing", sparse),
                (cold_left, "cold_left", sparse))
PAPAYAHOOK_JSON(usage_report, window, counts)
PAPAYAHOOK_JSON(pool_move, order, pool, to, deadline, stage, end, reason)
PAPAYAHOOK_JSON(recent_holder, holder, idle_for)
PAPAYAHOOK_JSON(duty_record, holder, incarnation, fencing,
                (era, "store_era", sparse),
                (next_window, "next_window", sparse), release, intent, move,
                earlier_holders)
PAPAYAHOOK_JSON(duty_entry, at, record)

// JSON text must be UTF-8, so other bodies are written as hexadecimal digits.
inline bool is_utf8(std::string const& text)
{
    try {
        return !nlohmann::json(text).dump().empty();
    }
    catch (nlohmann::json::exception const&) {
        return false;
    }
}

inline std::string to_hex(std::string const& text)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string out;
    for (unsigned char const byte : text) {
        out += digits[byte >> 4];
        out += digits[byte & 0xf];
    }
    return out;
}

inline std::string from_hex(std::string const& text)
{
    std::string out;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2)
        out += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
    return out;
}

// Omits fields that hold their default: most claims need only three fields.
inline void to_json(nlohmann::json& j, claim_record const& it)
{
    j = {{"kind", it.kind}, {"key", it.key}, {"request", it.request}};
    if (!it.body_digest.empty())
        j["body_digest"] = it.body_digest;
    if (it.status != 0)
        j["status"] = it.status;
    if (!it.content_type.empty())
        j["content_type"] = it.content_type;
    if (!it.body.empty() && is_utf8(it.body))
        j["body"] = it.body;
    else if (!it.body.empty())
        j["body_hex"] = to_hex(it.body);
}

inline void from_json(nlohmann::json const& j, claim_record& it)
{
    it.kind = j.at("kind");
    it.key = j.at("key");
    it.request = j.at("request");
    it.body_digest = j.value("body_digest", "");
    it.status = j.value("status", 0);
    it.content_type = j.value("content_type", "");
    it.body = j.contains("body_hex")
                  ? from_hex(j.at("body_hex").get<std::string>())
                  : j.value("body", "");
}

PAPAYAHOOK_JSON(hello, protocol, node, incarnation, zone, caller_address,
                peer_address, capacity, proof)

// Written as an array, because a heartbeat may hold hundreds of endpoints: each
// takes three numbers, including its key.
inline void to_json(nlohmann::json& j, endpoint_load const& it)
{
    j = {it.calls, it.tokens};
}

inline void from_json(nlohmann::json const& j, endpoint_load& it)
{
    it = {j.at(0), j.at(1)};
}

PAPAYAHOOK_JSON(pool_work, (prefill, "reading"), (decode, "writing"))
PAPAYAHOOK_JSON(news_digests, members, endpoints)
PAPAYAHOOK_JSON(heartbeat, config, (config_version, "config_version", sparse),
                in_flight, leaving, (receiver_is_hub, "under"),
                (closing_link, "parting"), nodes, listed_nodes, store_age,
                (era, "store_era", sparse), sent_at, echoed_at, known, demand,
                spent, work, calls, usage)
PAPAYAHOOK_JSON(endpoint_leaving, endpoint, incarnation)
PAPAYAHOOK_JSON(version_veto, move, started, reason)
PAPAYAHOOK_JSON(member_news, node, incarnation, sequence, up, zone,
                caller_address, peer_address, capacity)
PAPAYAHOOK_JSON(version_counts, answers, failed, slow)
PAPAYAHOOK_JSON(move_counts, move, node, incarnation, started, stage, from, to)
PAPAYAHOOK_JSON(successor_news, node, incarnation, successor)
PAPAYAHOOK_JSON(part_news, part, status, incarnation, independent, age, probes)
PAPAYAHOOK_JSON(zone_evacuation, at, zone, active)
PAPAYAHOOK_JSON(news, leaving, vetoes, members, counts, successors, endpoints,
                parts, (evacuations, "evacuations", sparse))
PAPAYAHOOK_JSON(pool_moves, moves)
PAPAYAHOOK_JSON(config_request, from, (version, "version", sparse))

// A variant is written as the object of its alternative, with the name of the
// alternative as the member "type".
template <class T>
constexpr char const* type_name = nullptr;
#define PAPAYAHOOK_NAME(type)                                                  \
    template <>                                                                \
    constexpr char const* type_name<type> = #type;
PAPAYAHOOK_NAME(organisation)
PAPAYAHOOK_NAME(endpoint)
PAPAYAHOOK_NAME(route)
PAPAYAHOOK_NAME(version_move)
PAPAYAHOOK_NAME(move_step)
PAPAYAHOOK_NAME(config_snapshot)
PAPAYAHOOK_NAME(config_record)
PAPAYAHOOK_NAME(claim_record)
PAPAYAHOOK_NAME(hello)
PAPAYAHOOK_NAME(heartbeat)
PAPAYAHOOK_NAME(news)
PAPAYAHOOK_NAME(config_request)
PAPAYAHOOK_NAME(config_records)
PAPAYAHOOK_NAME(hand_over)
PAPAYAHOOK_NAME(hand_over_answer)
PAPAYAHOOK_NAME(pool_moves)
PAPAYAHOOK_NAME(request_arrived)
PAPAYAHOOK_NAME(caller_gone)
PAPAYAHOOK_NAME(caller_drained)
PAPAYAHOOK_NAME(reattach)
PAPAYAHOOK_NAME(answer_head)
PAPAYAHOOK_NAME(answer_chunk)
PAPAYAHOOK_NAME(answer_end)
PAPAYAHOOK_NAME(call_failed)
PAPAYAHOOK_NAME(log_read)
PAPAYAHOOK_NAME(append_done)
PAPAYAHOOK_NAME(log_reachable)
PAPAYAHOOK_NAME(store_era_seen)
PAPAYAHOOK_NAME(peer_opened)
PAPAYAHOOK_NAME(peer_received)
PAPAYAHOOK_NAME(peer_closed)
PAPAYAHOOK_NAME(endpoint_report)
PAPAYAHOOK_NAME(instance_list)
PAPAYAHOOK_NAME(relay_ended)
PAPAYAHOOK_NAME(config_published)
PAPAYAHOOK_NAME(endpoints_listed)
PAPAYAHOOK_NAME(zones_evacuated)
PAPAYAHOOK_NAME(nodes_listed)
PAPAYAHOOK_NAME(dial_failed)
PAPAYAHOOK_NAME(duties_read)
PAPAYAHOOK_NAME(duty_append_done)
PAPAYAHOOK_NAME(usage_reported)
PAPAYAHOOK_NAME(endpoints_ordered)
PAPAYAHOOK_NAME(pool_move_ordered)
PAPAYAHOOK_NAME(pool_move_reported)
PAPAYAHOOK_NAME(settings_changed)
PAPAYAHOOK_NAME(shutdown_requested)
PAPAYAHOOK_NAME(tick)
PAPAYAHOOK_NAME(refuse)
PAPAYAHOOK_NAME(dispatch)
PAPAYAHOOK_NAME(cancel_call)
PAPAYAHOOK_NAME(pause_call)
PAPAYAHOOK_NAME(resume_call)
PAPAYAHOOK_NAME(send_head)
PAPAYAHOOK_NAME(send_chunk)
PAPAYAHOOK_NAME(finish_answer)
PAPAYAHOOK_NAME(fail_answer)
PAPAYAHOOK_NAME(relay)
PAPAYAHOOK_NAME(append)
PAPAYAHOOK_NAME(send_peer)
PAPAYAHOOK_NAME(close_peer)
PAPAYAHOOK_NAME(dial_peer)
PAPAYAHOOK_NAME(follow_store)
PAPAYAHOOK_NAME(append_duty)
PAPAYAHOOK_NAME(report_usage)
PAPAYAHOOK_NAME(order_endpoints)
PAPAYAHOOK_NAME(cancel_duty_calls)
PAPAYAHOOK_NAME(report_pool_move)
PAPAYAHOOK_NAME(check_endpoint)
PAPAYAHOOK_NAME(announce_node)
PAPAYAHOOK_NAME(endpoint_checked)
PAPAYAHOOK_NAME(log_event)
PAPAYAHOOK_NAME(wake)
PAPAYAHOOK_NAME(exit_process)

} // namespace papayahook::core

namespace nlohmann {

template <class... T>
struct adl_serializer<std::variant<T...>>
{
    static void to_json(json& j, std::variant<T...> const& it)
    {
        std::visit(
            [&]<class U>(U const& value) {
                j = value;
                if (j.is_null())
                    j = json::object();
                j["type"] = papayahook::core::type_name<U>;
            },
            it);
    }
    static void from_json(json const& j, std::variant<T...>& it)
    {
        auto const type = j.at("type").template get<std::string>();
        bool const known = (read<T>(j, type, it) || ...);
        if (!known)
            throw std::invalid_argument("unknown type " + type);
    }

private:
    template <class U>
    static bool read(json const& j, std::string const& type,
                     std::variant<T...>& it)
    {
        if (type != papayahook::core::type_name<U>)
            return false;
        it = j.get<U>();
        return true;
    }
};

} // namespace nlohmann

namespace papayahook::core {

// Types without fields are written as empty objects.
#define PAPAYAHOOK_EMPTY(type)                                                 \
    inline void to_json(nlohmann::json& j, type const&)                        \
    {                                                                          \
        j = nlohmann::json::object();                                          \
    }                                                                          \
    inline void from_json(nlohmann::json const&, type&) {}
PAPAYAHOOK_EMPTY(shutdown_requested)
PAPAYAHOOK_EMPTY(tick)
PAPAYAHOOK_EMPTY(announce_node)
PAPAYAHOOK_EMPTY(exit_process)
PAPAYAHOOK_EMPTY(cancel_duty_calls)

PAPAYAHOOK_JSON(config_record, id, replaces, remove, body)
PAPAYAHOOK_JSON(log_entry, at, written, id, record)
PAPAYAHOOK_JSON(config_records, entries)
PAPAYAHOOK_JSON(request_arrived, id, key_digest, route,
                (via_model_path, "model"), (run_without_caller, "keep"),
                idempotency_key, body_digest, schema_version, klass, deadline,
                prompt_tokens, (max_answer_tokens, "answer_tokens"),
                prefix_blocks, block_tokens, shared_parts, body_bytes)
PAPAYAHOOK_JSON(caller_message, method, path, query, headers, body)
PAPAYAHOOK_JSON(hand_over, offer, (request, "asked"), message, organisation,
                klass, (time_left, "left"), endpoint, version, status,
                content_type, head_sent, chunks, ended, failure)
PAPAYAHOOK_JSON(hand_over_answer, id, offer, (accepted, "taken"))
PAPAYAHOOK_JSON(caller_gone, id)
PAPAYAHOOK_JSON(caller_drained, id, index)
PAPAYAHOOK_JSON(reattach, id, from)
PAPAYAHOOK_JSON(answer_head, call, status, content_type, headers, not_run,
                leaving, pause, malformed_header)
PAPAYAHOOK_JSON(answer_chunk, call, index, data, has_position)
PAPAYAHOOK_JSON(answer_end, call, chunks, framed)
PAPAYAHOOK_JSON(call_failed, call, (failed_step, "where"), may_have_run, detail,
                closed_by_endpoint, status)
PAPAYAHOOK_JSON(log_read, stream, start, end, entries)
PAPAYAHOOK_JSON(append_done, append, ok, in_doubt)
PAPAYAHOOK_JSON(log_reachable, reachable, data_age)
PAPAYAHOOK_JSON(store_era_seen, era)
PAPAYAHOOK_JSON(peer_opened, link)
PAPAYAHOOK_JSON(peer_received, link, message)
PAPAYAHOOK_JSON(peer_closed, link)
PAPAYAHOOK_JSON(endpoint_report, endpoint, incarnation, leaving, running,
                waiting)
PAPAYAHOOK_JSON(listed_instance, endpoint, incarnation, leaving)
PAPAYAHOOK_JSON(instance_list, instances)
PAPAYAHOOK_JSON(relay_ended, id)
PAPAYAHOOK_JSON(config_published, (snapshot, "what"))
PAPAYAHOOK_JSON(endpoints_listed, entries, (complete_at, "whole_at"))
PAPAYAHOOK_JSON(zones_evacuated, entries, complete_at)
PAPAYAHOOK_JSON(nodes_listed, nodes)
PAPAYAHOOK_JSON(dial_failed, node)
PAPAYAHOOK_JSON(duties_read, end, (era, "store_era", sparse), entries)
PAPAYAHOOK_JSON(duty_append_done, ok)
PAPAYAHOOK_JSON(usage_reported, window, ok)
PAPAYAHOOK_JSON(endpoints_ordered, pool, zone, reclaimable, count, ok,
                (reason, "why"))
PAPAYAHOOK_JSON(pool_move_ordered, at, pool, to, within)
PAPAYAHOOK_JSON(pool_move_reported, (move, "what"), ok)
PAPAYAHOOK_JSON(
    node_settings, name, zone, incarnation, caller_address, peer_address,
    capacity, max_queue, max_backlog, max_backlog_bytes, max_held_bytes,
    max_request_bytes, max_attempts, resumes_plain_streams, retry_budget,
    retry_burst, (retry_burst_nodes, "retry_sharers"), claim_batch,
    append_budget, outcome_linger, max_shared_body, max_shared_bytes,
    first_token_target, service_wait, hop_cost, prefill_per_token,
    endpoint_pause, report_horizon, heartbeat_period, peer_timeout, hub_timeout,
    (max_store_age, "store_word_age"), stage_time, move_margin, answer_linger,
    hand_over_after, (hand_over_enabled, "hands_over"),
    (drain_accept_time, "accept_while_leaving"),
    (drain_timeout, "leave_within"), exit_linger, quota_overshoot, quota_slack,
    quota_window, cold_overshoot, cold_slack, (duties_enabled, "holds_duties"),
    (fleet_planning_enabled, "plans_fleet"), lease, usage_window, usage_delay,
    relist_grace, claim_horizon, append_retry, checkpoint_every,
    checkpoint_period)
PAPAYAHOOK_JSON(settings_changed, (settings, "what"))
PAPAYAHOOK_JSON(event, at, (body, "what"))
PAPAYAHOOK_JSON(refuse, id, why)
PAPAYAHOOK_JSON(dispatch, id, call, endpoint, address, kind, version,
                incarnation, organisation, klass, resume_chunks,
                fresh_connection, timeout)
PAPAYAHOOK_JSON(cancel_call, call)
PAPAYAHOOK_JSON(pause_call, call)
PAPAYAHOOK_JSON(resume_call, call)
PAPAYAHOOK_JSON(send_head, id, status, content_type, headers)
PAPAYAHOOK_JSON(send_chunk, id, index, data)
PAPAYAHOOK_JSON(finish_answer, id)
PAPAYAHOOK_JSON(fail_answer, id, why)
PAPAYAHOOK_JSON(relay, id, address, from)
PAPAYAHOOK_JSON(append, append, stream, id, records)
PAPAYAHOOK_JSON(send_peer, link, message)
PAPAYAHOOK_JSON(close_peer, link)
PAPAYAHOOK_JSON(dial_peer, node, address)
PAPAYAHOOK_JSON(follow_store, registry, duties)
PAPAYAHOOK_JSON(append_duty, at, record, copies)
PAPAYAHOOK_JSON(report_usage, fencing, (report, "what"))
PAPAYAHOOK_JSON(order_endpoints, fencing, pool, zone, reclaimable, count)
PAPAYAHOOK_JSON(report_pool_move, (move, "what"))
PAPAYAHOOK_JSON(check_endpoint, endpoint, incarnation, address)
PAPAYAHOOK_JSON(endpoint_checked, endpoint, incarnation, refuses)
PAPAYAHOOK_JSON(wake, at)
PAPAYAHOOK_JSON(log_event, number, subject, peer, detail)
PAPAYAHOOK_JSON(totals, requests, answered, refused_not_run, refused_unknown,
                failed_answers, dispatches, retries, resumed_streams,
                tokens_recomputed, appends, claims, peer_messages, handed_over,
                taken_over, quarantines, refused_quarantined, store_returns,
                withheld_calls)
PAPAYAHOOK_JSON(concurrency_limit, in_flight, limit, (first_tokens, "seen"),
                (late_mean, "late"), reached, judged_at)
PAPAYAHOOK_JSON(decision, at, subject, rule, detail)
PAPAYAHOOK_JSON(record_verdict, id, at, accepted, reason)

} // namespace papayahook::core

namespace papayahook::codec {

namespace {

using nlohmann::json;

// Rethrows exceptions as std::invalid_argument with the prefix `what`.
template <class F>
auto with_context(char const* what, F&& read)
{
    try {
        return read();
    }
    catch (std::exception const& e) {
        throw std::invalid_argument(std::string(what) + ": " + e.what());
    }
}

std::string hex(unsigned char const* data, std::size_t n)
{
    return core::to_hex({reinterpret_cast<char const*>(data), n});
}

json move_json(core::move_state const& m)
{
    json out =
        core::move_snapshot{m.spec,   m.from,    m.stage,    m.end,
                            m.reason, m.started, m.revision, m.stage_since};
    out["pool"] = m.pool;
    out["vetoed"] = m.vetoed;
    out["own_from"] = m.own_old;
    out["own_to"] = m.own_new;
    out["offered"] = m.stage_requests;
    out["sent_to"] = m.sent_to_new;
    out["others"] = m.remote_counts;
    return out;
}

json config_json(core::configuration const& c)
{
    json out;
    out["applied"] = c.applied;
    out["checkpoint"] = c.checkpoint_applied;
    for (auto const& [name, it] : c.organisations) {
        out["organisations"][name] = it;
        out["organisations"][name]["value"].erase("key_digests");
    }
    out["endpoints"] = c.endpoints;
    out["routes"] = c.routes;
    for (auto const& [name, m] : c.moves)
        out["moves"][name] = move_json(m);
    out["verdicts"] = c.verdicts;
    return out;
}

json request_json(core::request_state const& r)
{
    return {{"route", r.request.route},
            {"organisation", r.organisation},
            {"class", core::to_string(r.klass)},
            {"phase", core::to_string(r.phase)},
            {"endpoint", r.endpoint},
            {"version", r.version},
            {"attempts", r.attempts},
            {"may_have_run", r.may_have_run},
            {"chunks", core::chunk_count(r)},
            {"sent", r.sent_chunks},
            {"taken_by", r.taken_by},
            {"deadline", r.deadline}};
}

json endpoint_json(core::endpoint_state const& e)
{
    return {
        {"in_flight", e.in_flight},       {"reported", e.reported},
        {"reported_at", e.reported_at},   {"failures", e.failures},
        {"paused_until", e.paused_until}, {"first_token_us", e.first_token_us},
        {"prefixes", e.prefixes.size()},  {"cold_until", e.cold_until},
        {"cold_sender", e.cold_sender}};
}

} // namespace

std::string document_text(json const& it, int indent)
{
    return it.dump(indent, ' ', false, json::error_handler_t::replace);
}

std::string event_to_line(core::event const& it)
{
    return document_text(json(it));
}

core::event event_from_line(std::string const& line)
{
    return with_context("event",
                        [&] { return json::parse(line).get<core::event>(); });
}

std::string effect_to_line(core::effect const& it)
{
    return document_text(json(it));
}

std::string_view effect_name(core::effect const& it)
{
    return std::visit(
        []<class T>(T const&) -> std::string_view {
            static_assert(core::type_name<T> != nullptr);
            return core::type_name<T>;
        },
        it);
}

// Compresses only large messages. A configuration of 1,800 routes takes 450 KB
// and is sent to each node of a hub's subtree; deflate reduces it to a tenth.
constexpr std::size_t min_bytes_to_deflate = 16 * 1024;
constexpr std::size_t max_inflated_bytes = 16 * 1024 * 1024;

std::string message_to_cbor(core::peer_message const& it)
{
    std::string out;
    json::to_cbor(json(it), out);
    bool const use_deflate =
        out.size() >= min_bytes_to_deflate && out.size() <= max_inflated_bytes;
    return use_deflate ? deflate(out) : out;
}

namespace {

// The library decodes nested items, and pieces of items without a length,
// recursively.
constexpr std::size_t max_cbor_depth = 64;

// Reads the argument of a CBOR item (RFC 8949, section 3) and moves `at` behind
// it; nullopt if the item has none.
std::optional<std::uint64_t> read_cbor_argument(std::string_view bytes,
                                                std::size_t& at)
{
    constexpr unsigned first_with_bytes = 24;
    constexpr unsigned last_with_bytes = 27;
    auto const info = static_cast<unsigned char>(bytes[at++]) & 0x1fU;
    if (info < first_with_bytes)
        return info;
    auto const n = std::size_t{1} << (info - first_with_bytes);
    if (info > last_with_bytes || n > bytes.size() - at)
        return std::nullopt;
    std::uint64_t out = 0;
    for (auto const byte : bytes.substr(at, n))
        out = out << 8U | static_cast<unsigned char>(byte);
    at += n;
    return out;
}

// Whether the bytes can be decoded without deep recursion. Bytes that are cut
// off can; the decoder reports them.
bool has_bounded_depth(std::string_view bytes)
{
    enum major_type
    {
        byte_string = 2,
        text_string = 3,
        array = 4,
        map = 5,
    };
    std::vector<std::uint64_t> items_left{1}; // of each open item
    std::size_t at = 0;
    while (!items_left.empty() && at < bytes.size()) {
        if (items_left.back() == 0) {
            items_left.pop_back();
            continue;
        }
        items_left.back()--;
        auto const major = static_cast<unsigned char>(bytes[at]) >> 5U;
        auto const n = read_cbor_argument(bytes, at);
        if (!n)
            return false;
        if (major == byte_string || major == text_string)
            at += std::min<std::uint64_t>(*n, bytes.size() - at);
        else if (major == array || major == map)
            items_left.push_back(*n);
        if (major == map && *n > 0)
            items_left.push_back(*n); // keys and values
        if (items_left.size() > 2 * max_cbor_depth)
            return false;
    }
    return true;
}

} // namespace

core::peer_message message_from_cbor(std::string const& bytes)
{
    return with_context("peer message", [&] {
        auto const plain =
            is_deflated(bytes) ? inflate(bytes, max_inflated_bytes) : bytes;
        if (!has_bounded_depth(plain))
            throw std::invalid_argument("nested too deeply");
        return json::from_cbor(plain).get<core::peer_message>();
    });
}

std::string append_to_json(core::append const& it)
{
    json out{{"id", it.id}, {"records", it.records}};
    return document_text(out);
}

core::log_read read_from_json(std::string const& stream,
                              std::string const& text)
{
    return with_context("log read", [&] {
        auto const j = json::parse(text);
        core::log_read out;
        out.stream = stream;
        out.start = j.at("start");
        out.end = j.at("end");
        for (auto const& it : j.at("records")) {
            core::log_entry entry;
            entry.at = it.at("offset");
            entry.written = core::time_point(
                std::chrono::milliseconds(it.at("time_ms").get<long>()));
            entry.id = it.at("id");
            // A record that this version cannot decode keeps its offset, as an
            // empty record that changes nothing.
            try {
                entry.record = it.at("data").get<decltype(entry.record)>();
            }
            catch (std::exception const&) {
                entry.record = core::config_record{};
            }
            out.entries.push_back(std::move(entry));
        }
        return out;
    });
}

std::string duty_to_json(core::duty_record const& it)
{
    return document_text(json(it));
}

core::duty_record duty_from_json(std::string const& text)
{
    return with_context("duty", [&] {
        auto const j = json::parse(text);
        j.at("holder"); // required: the other fields mean nothing without it
        return j.get<core::duty_record>();
    });
}

std::string settings_to_line(core::node_settings const& it)
{
    return document_text(json(it));
}

core::node_settings settings_from_line(std::string const& line)
{
    return with_context("settings", [&] {
        return json::parse(line).get<core::node_settings>();
    });
}

std::string config_to_json(core::configuration const& it)
{
    return document_text(config_json(it), 2);
}

std::string state_to_json(core::node_state const& s)
{
    json out;
    out["node"] = s.settings;
    out["now"] = s.now;
    out["leaving"] = s.leaving;
    out["log_reachable"] = s.log_reachable;
    out["config"] = config_json(s.config);
    out["counts"] = s.counts;
    out["decisions"] = s.decisions;
    for (auto const& [name, it] : s.endpoints)
        out["endpoints"][name] = endpoint_json(it);
    for (auto const& [id, it] : s.requests)
        out["requests"][id] = request_json(it);
    for (auto const& [pool, queues] : s.queues)
        for (auto const& [name, it] : queues)
            out["queues"][pool][name] = it.size();
    for (auto const& [name, it] : s.limits)
        out["limits"][name.first + "/" + name.second] = it;
    for (auto const& [link, it] : s.peers)
        out["peers"].push_back({{"node", it.node},
                                {"zone", it.zone},
                                {"heard", it.heard_at},
                                {"last", it.last_heartbeat}});
    out["members"] = s.members;
    out["hub"] = s.hub_link;
    out["rank"] = s.rank;
    out["store_as_of"] = s.store_as_of;
    out["follows"] = s.store_reads;
    out["successors"] = s.successors;
    for (auto const& it : core::quarantined_parts(s))
        out["quarantined_parts"].push_back(it);
    out["leaving_endpoints"] = s.known_leaving;
    for (auto const& [zone, it] : s.evacuations)
        out["evacuations"][zone] = {{"at", it.entry.at},
                                    {"active", it.entry.active},
                                    {"since", it.since}};
    out["organisation_in_flight"] = s.in_flight;
    out["once"] = {{"applied", s.claim_log.applied},
                   {"caught_up", s.claim_log.caught_up},
                   {"known_since", s.claim_log.complete_since},
                   {"claims", s.claim_log.claims.size()},
                   {"shared_bytes", s.claim_log.shared_bytes},
                   {"batch", s.claim_log.batch.size()}};
    out["appends_open"] = s.appends.size();
    return document_text(out, 2);
}

std::string sha256(std::string const& text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> out{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(),
           out.data());
    return hex(out.data(), out.size());
}

std::string keyed_digest(std::string const& key, std::string const& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
    unsigned int n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<unsigned char const*>(text.data()), text.size(),
         out.data(), &n);
    return hex(out.data(), n);
}

std::string hello_proof(std::string const& key, core::hello const& it)
{
    return keyed_digest(key, std::to_string(it.protocol) + "\n" + it.node +
                                 "\n" + std::to_string(it.incarnation) + "\n" +
                                 it.zone + "\n" + it.caller_address + "\n" +
                                 it.peer_address);
}

} // namespace papayahook::codec
