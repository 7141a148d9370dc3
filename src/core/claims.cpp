// Requests that may run at most once: claims of idempotency keys on the
// platform's log.
//
// The claim of a key with the lowest offset wins, and only its writer ever
// dispatches; a claim is never taken over. A node that was suspended, or whose
// append took effect after its acknowledgement was lost, is therefore harmless:
// either it alone holds the claim, or every reader ignores its records.
#include "core/internal.hpp"

#include <algorithm>
#include <charconv>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Timestamp of a version 7 UUID (RFC 9562); nullopt for other keys.
std::optional<time_point> uuid_v7_time(std::string const& key)
{
    constexpr std::size_t uuid_length = 36;
    bool const is_uuid_v7 = key.size() == uuid_length && key[8] == '-' &&
                            key[13] == '-' && key[14] == '7';
    if (!is_uuid_v7)
        return std::nullopt;
    auto const digits = key.substr(0, 8) + key.substr(9, 4);
    std::uint64_t ms = 0;
    auto const [end, ec] =
        std::from_chars(digits.data(), digits.data() + digits.size(), ms, 16);
    if (ec != std::errc{} || end != digits.data() + digits.size())
        return std::nullopt;
    return time_point(std::chrono::milliseconds(ms));
}

refusal claim_refusal(int status, outcome what, std::string detail,
                      std::chrono::seconds retry_after = 0s)
{
    return {status, what, step::claim, "log", std::move(detail), retry_after};
}

// Resolves a request by the existing claim on its key: the request waits for
// the claim's outcome, gets the stored answer or is refused.
void follow_claim(node_state& s, request_state& r, claim_state& claim,
                  effects& out)
{
    if (claim.body_digest != r.request.body_digest) {
        r.claim_key.clear();
        refuse_request(s, r,
                       claim_refusal(422, outcome::not_run,
                                     "the key was used with another body"),
                       out);
        return;
    }
    r.phase = request_phase::following;
    if (claim.kind == claim_kind::claim) {
        claim.followers.push_back(r.request.id);
        return;
    }
    bool const has_body =
        claim.kind == claim_kind::answered && (claim.status != 0);
    if (has_body) {
        send_stored_answer(s, r, claim, out);
        return;
    }
    refuse_request(s, r,
                   claim_refusal(409, outcome::outcome_unknown,
                                 "a request with this key may have run; its "
                                 "answer is not held"),
                   out);
}

void wake_followers(node_state& s, std::string const& key, effects& out)
{
    auto waiting = std::move(s.claim_log.claims.at(key).followers);
    s.claim_log.claims.at(key).followers.clear();
    for (auto const& id : waiting) {
        auto* const r = find_request(s, id);
        if (r == nullptr || r->phase != request_phase::following)
            continue;
        if (s.claim_log.claims.at(key).kind == claim_kind::released)
            start_claim(s, *r, out);
        else
            follow_claim(s, *r, s.claim_log.claims.at(key), out);
    }
}

bool batch_has_outcome(claim_log_state const& log)
{
    return std::ranges::any_of(
        log.batch, [](auto const& it) { return it.kind != claim_kind::claim; });
}

bool batch_has_claim(claim_log_state const& log)
{
    return std::ranges::any_of(
        log.batch, [](auto const& it) { return it.kind == claim_kind::claim; });
}

// Divides the log's append budget evenly among the live nodes. Outcomes are not
// urgent, because only a second caller of the key waits for them: they are
// appended together with the next claims, or alone after `outcome_linger`.
time_point next_flush_at(node_state const& s)
{
    auto const live = live_members(s);
    auto const spacing = duration(std::chrono::seconds(1)) *
                         std::max<std::ptrdiff_t>(1, live) /
                         s.settings.append_budget;
    auto const earliest = s.claim_log.flushed_at + spacing;
    if (batch_has_claim(s.claim_log))
        return earliest;
    return std::max(earliest, s.claim_log.oldest_outcome_at +
                                  duration(s.settings.outcome_linger));
}

// Discards a stored body. Status 0 marks that the answer is no longer held for
// later callers of the key.
void drop_body(claim_log_state& log, claim_state& claim)
{
    log.shared_bytes -= claim.body.size();
    claim.body.clear();
    claim.status = 0;
}

void apply_outcome(node_state& s, claim_record const& rec, effects& out)
{
    auto const it = s.claim_log.claims.find(rec.key);
    if (it == s.claim_log.claims.end() || it->second.request != rec.request ||
        it->second.kind != claim_kind::claim)
        return;
    auto& claim = it->second;
    claim.kind = rec.kind;
    claim.status = rec.status;
    claim.content_type = rec.content_type;
    claim.body = rec.body;
    s.claim_log.shared_bytes += rec.body.size();
    wake_followers(s, rec.key, out);
}

void add_to_batch(node_state& s, claim_record rec, effects& out)
{
    bool const first_outcome =
        rec.kind != claim_kind::claim && !batch_has_outcome(s.claim_log);
    if (first_outcome)
        s.claim_log.oldest_outcome_at = s.now;
    s.claim_log.batch.push_back(std::move(rec));
    flush_claims(s, out);
}

void release_claim(node_state& s, claim_record const& rec, effects& out)
{
    auto it = rec;
    it.kind = claim_kind::released;
    add_to_batch(s, std::move(it), out);
}

// Called when the claim of `rec` comes into force: its writer may dispatch.
void grant_claim(node_state& s, claim_record const& rec, effects& out)
{
    if (!rec.request.starts_with(s.settings.name + "." +
                                 std::to_string(s.settings.incarnation) + "."))
        return;
    auto* const r = find_request(s, rec.request);
    if (r == nullptr || r->phase == request_phase::done) {
        // The caller was answered "not run" while the append was in doubt.
        release_claim(s, rec, out);
        return;
    }
    if (r->phase == request_phase::claiming)
        enqueue(s, *r, out);
}

// Another request holds the key: the writer of `rec` waits for its outcome.
void reject_claim(node_state& s, claim_record const& rec, claim_state& claim,
                  effects& out)
{
    auto* const r = find_request(s, rec.request);
    if (r != nullptr && r->phase == request_phase::claiming) {
        record_decision(s, rec.request, "claim.lost", claim.request);
#if PAPAYAHOOK_MUTATION_LOSER_DISPATCHES
        enqueue(s, *r, out);
        return;
#endif
        follow_claim(s, *r, claim, out);
    }
}

bool key_too_old(node_state const& s, request_state const& r)
{
    auto const created = uuid_v7_time(r.request.idempotency_key);
    if (!created)
        return false;
    auto const oldest = std::max(s.claim_log.complete_since,
                                 s.now - duration(s.settings.claim_horizon));
    return *created < oldest;
}

} // namespace

void start_claim(node_state& s, request_state& r, effects& out)
{
    // The organisation is part of the key in plain text, so that keys of two
    // organisations can never be equal.
    auto const key =
        r.organisation + ":" +
        digest_of(r.request.route + "\n" + r.request.idempotency_key);
    auto const found = s.claim_log.claims.find(key);
    bool const is_claimed = found != s.claim_log.claims.end() &&
                            found->second.kind != claim_kind::released;
    if (is_claimed) {
        r.claim_key = key;
        follow_claim(s, r, found->second, out);
        return;
    }
    if (!s.log_reachable || !s.claim_log.caught_up) {
        refuse_request(s, r,
                       claim_refusal(503, outcome::not_run,
                                     "the log cannot be used now",
                                     short_retry_after),
                       out);
        return;
    }
    if (key_too_old(s, r)) {
        refuse_request(s, r,
                       claim_refusal(409, outcome::outcome_unknown,
                                     "the key is older than the claims that "
                                     "are known"),
                       out);
        return;
    }
    r.claim_key = key;
    r.phase = request_phase::claiming;
    s.counts.claims++;
#if PAPAYAHOOK_MUTATION_NO_CLAIMS
    enqueue(s, r, out);
    return;
#endif
    add_to_batch(s,
                 {claim_kind::claim, key, r.request.id, r.request.body_digest,
                  0, "", ""},
                 out);
}

void record_outcome(node_state& s, request_state& r, claim_kind kind,
                    effects& out)
{
    auto const it = s.claim_log.claims.find(r.claim_key);
    bool const is_holder =
        it != s.claim_log.claims.end() && it->second.request == r.request.id;
    if (!is_holder)
        return; // claim not read back yet; grant_claim() settles it when read
    claim_record rec{kind, r.claim_key, r.request.id, r.request.body_digest, 0,
                     "",   ""};
    if (kind == claim_kind::answered) {
        for (auto const& chunk : r.chunks)
            rec.body += chunk;
        rec.status = r.status;
        rec.content_type = r.content_type;
        bool const is_held = holds_whole_answer(r);
        if (!is_held || rec.body.size() > s.settings.max_shared_body) {
            rec.body.clear();
            rec.status = 0;
        }
    }
    add_to_batch(s, std::move(rec), out);
}

void drop_unsent_claim(node_state& s, request_state const& r)
{
    std::erase_if(s.claim_log.batch, [&](claim_record const& it) {
        return it.request == r.request.id && it.kind == claim_kind::claim;
    });
}

// Group commit: one append is in flight, and the next one carries all records
// that were added since.
void flush_claims(node_state& s, effects& out)
{
    auto& log = s.claim_log;
    if (log.open_append != 0 || log.batch.empty())
        return;
    auto const due = next_flush_at(s);
    if (due > s.now) {
        out.push_back(wake{due});
        return;
    }
    log.flushed_at = s.now;
    auto const n = std::min(log.batch.size(),
                            static_cast<std::size_t>(s.settings.claim_batch));
    auto const last = log.batch.begin() + static_cast<std::ptrdiff_t>(n);
    std::vector<std::variant<config_record, claim_record>> records(
        std::make_move_iterator(log.batch.begin()),
        std::make_move_iterator(last));
    log.batch.erase(log.batch.begin(), last);
    log.open_append = append_records(s, "claims", std::move(records), out);
}

void apply_claim(node_state& s, log_entry const& entry, effects& out)
{
    if (entry.at <= s.claim_log.applied)
        return;
    s.claim_log.applied = entry.at;
    auto const* const rec = std::get_if<claim_record>(&entry.record);
    if (rec == nullptr)
        return;
    if (rec->kind != claim_kind::claim) {
        apply_outcome(s, *rec, out);
        return;
    }
    auto& claim = s.claim_log.claims[rec->key];
    bool const is_free = claim.at == 0 || claim.kind == claim_kind::released;
    if (!is_free && claim.request != rec->request) {
        reject_claim(s, *rec, claim, out);
        return;
    }
    if (!is_free)
        return; // repeated append of the same claim
    claim.at = entry.at;
    claim.request = rec->request;
    claim.body_digest = rec->body_digest;
    claim.written = entry.written;
    claim.kind = claim_kind::claim;
    s.claim_log.by_age.emplace_back(entry.written, rec->key);
    grant_claim(s, *rec, out);
}

void on_claims_read(node_state& s, log_read const& e, effects& out)
{
    if (e.start > s.claim_log.applied + 1) {
        // Records left the log before they were read: whether older keys were
        // claimed cannot be decided.
        emit_log_event(out, events::claims_gap, "claims", "log",
                       std::to_string(s.claim_log.applied) + " to " +
                           std::to_string(e.start));
        s.claim_log.applied = e.start - 1;
        s.claim_log.complete_since =
            e.entries.empty() ? s.now : e.entries.front().written;
    }
    for (auto const& it : e.entries)
        apply_claim(s, it, out);
    // An end below the applied offset comes from a log that answers with a
    // stale view; nothing is rolled back.
    if (s.claim_log.applied >= e.end)
        s.claim_log.caught_up = true;
}

void expire_claims(node_state& s)
{
    auto& log = s.claim_log;
    auto const oldest = s.now - duration(s.settings.claim_horizon);
    while (!log.by_age.empty() && log.by_age.front().first < oldest) {
        auto const [written, key] = log.by_age.front();
        log.by_age.pop_front();
        auto const it = log.claims.find(key);
        if (it == log.claims.end() || it->second.written != written)
            continue;
        drop_body(log, it->second);
        log.claims.erase(it);
    }
    for (auto const& [written, key] : log.by_age) {
        if (log.shared_bytes <= s.settings.max_shared_bytes)
            break;
        auto const it = log.claims.find(key);
        if (it != log.claims.end() && it->second.status != 0)
            drop_body(log, it->second);
    }
}

} // namespace papayahook::core
