// Streams: the calls of a request, from the dispatch to an endpoint to the last
// byte sent to the caller.
#include "core/internal.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr int failures_before_pause = 3;
// Calls without a connection that do not count as attempts of a request: they
// reach no endpoint.
constexpr int max_free_connects = 4;
constexpr std::size_t max_out_of_order_chunks = 4096;
// Longest wait for the check of an endpoint. A check of one that has ended
// takes a round trip, unless its instance is gone.
constexpr auto max_check_wait = 150ms;

void close_call(node_state& s, request_state& r)
{
    if (r.call == 0)
        return;
    s.calls.erase(r.call);
    end_prefill(s, r, false);
    s.endpoints[r.endpoint].in_flight--;
    s.limits[{r.pool, r.version}].in_flight--;
    r.call = 0;
    r.paused = false;
}

// Chunks are retained so that a stream can be resumed or re-attached, and so
// that an answer can be shared. A plain body is retained only until it is sent.
bool retains_chunks(request_state const& r)
{
    return !r.passes_on_only &&
           (r.request.via_model_path || !r.claim_key.empty());
}

// Memory that a chunk takes: the string and its block of the heap.
std::size_t memory_of(std::string const& chunk)
{
    constexpr std::size_t inline_capacity = 15;
    constexpr std::size_t block_overhead = 24; // header, end and rounding
    return sizeof(std::string) +
           (chunk.size() > inline_capacity ? chunk.size() + block_overhead : 0);
}

void drop_first_chunk(request_state& r)
{
    r.held_bytes -= memory_of(r.chunks.front());
    r.chunks.pop_front();
    r.dropped_chunks++;
}

void drop_sent_chunks(request_state& r)
{
    while (r.dropped_chunks < r.sent_chunks)
        drop_first_chunk(r);
}

void drop_early_chunks(request_state& r)
{
    r.early_chunks.clear();
    r.early_bytes = 0;
}

void hold_early_chunk(node_state const& s, request_state& r,
                      answer_chunk const& e)
{
    auto const bytes = memory_of(e.data);
    if (r.early_chunks.size() >= max_out_of_order_chunks ||
        r.early_bytes + bytes > s.settings.max_backlog_bytes)
        return;
    if (r.early_chunks.emplace(e.index, e.data).second)
        r.early_bytes += bytes;
}

// An ended request is not routed again.
void drop_prompt(request_arrived& it)
{
    it.prefix_blocks = {};
    it.block_tokens = {};
    it.shared_parts = {};
}

// Moves the chunks that follow the received ones without a gap.
void take_early_chunks(request_state& r)
{
    for (auto it = r.early_chunks.find(chunk_count(r));
         it != r.early_chunks.end(); it = r.early_chunks.find(chunk_count(r))) {
        r.early_bytes -= memory_of(it->second);
        hold_chunk(r, std::move(it->second));
        r.early_chunks.erase(it);
    }
}

void drop_all_chunks(request_state& r)
{
    r.sent_chunks = chunk_count(r);
    drop_sent_chunks(r);
}

void send_pending(node_state& s, request_state& r, effects& out)
{
    if (!r.caller_present) {
        if (r.passes_on_only)
            drop_all_chunks(r); // nobody can fetch the answer
        return;
    }
    if (!r.head_sent) {
        r.head_sent = true;
        out.push_back(
            send_head{r.request.id, r.status, r.content_type, r.headers});
    }
    for (; r.sent_chunks < chunk_count(r); ++r.sent_chunks) {
        auto const& data = r.chunks[r.sent_chunks - r.dropped_chunks];
        out.push_back(send_chunk{r.request.id, r.sent_chunks, data});
        r.undrained_bytes += data.size();
    }
    if (!retains_chunks(r))
        drop_sent_chunks(r);
    bool const backlogged =
        r.sent_chunks > r.drained_chunks + s.settings.max_backlog ||
        r.undrained_bytes > s.settings.max_backlog_bytes;
    if (backlogged && r.call != 0 && !r.paused) {
        r.paused = true;
        out.push_back(pause_call{r.call});
    }
}

void record_answer(node_state& s, request_state& r, effects& out)
{
    if (!r.claim_key.empty())
        record_outcome(s, r, claim_kind::answered, out);
}

void complete_answer(node_state& s, request_state& r, effects& out)
{
    r.phase = request_phase::answering;
    send_pending(s, r, out);
    if (r.caller_present)
        out.push_back(finish_answer{r.request.id});
    emit_log_event(out, events::request_answered, r.request.id, r.endpoint,
                   "status " + std::to_string(r.status) + ", " +
                       std::to_string(chunk_count(r)) + " chunks, after " +
                       milliseconds_text(s.now - r.arrived) + ", calls " +
                       std::to_string(r.attempts));
    count_answer(s, r, r.status >= 500);
    record_latency(s.latency.last_byte, s.now - r.arrived);
    constexpr int first_redirect = 300;
    bool const is_proof = r.framed && r.status < first_redirect &&
                          r.answering_since != time_point{};
    if (is_proof)
        clear_parts(s, r, out);
    s.endpoints[r.endpoint].failures = 0;
    s.counts.answered++;
    record_answer(s, r, out);
    end_request(s, r);
    drain_queues(s, out);
}

// Retry burst of this node: an even part of the burst where the nodes share it.
double own_retry_burst(node_state const& s)
{
    if (s.settings.retry_burst_nodes == 0)
        return s.settings.retry_burst;
    auto const sharers =
        std::max({static_cast<std::size_t>(s.settings.retry_burst_nodes),
                  s.listed_nodes, s.members.size()});
    return s.settings.retry_burst / static_cast<double>(sharers);
}

double& retry_tokens(node_state& s, request_state const& r)
{
    return s.retry_tokens.try_emplace(pool_of(s, r), own_retry_burst(s))
        .first->second;
}

bool take_retry_token(node_state& s, request_state const& r)
{
    auto& tokens = retry_tokens(s, r);
    if (tokens < 1)
        return false;
    tokens -= 1;
    return true;
}

// Whether another dispatch is allowed: it must not run a request twice that is
// not repeatable.
bool may_call_again(node_state const& s, request_state const& r)
{
    auto const& it = route_of(s, r);
    int const max_attempts =
        it.max_attempts == 0 ? s.settings.max_attempts : it.max_attempts;
    auto const free_connects = std::min(r.failed_connects, max_free_connects);
    if (r.attempts - free_connects >= max_attempts)
        return false;
#if PAPAYAHOOK_MUTATION_RETRY_ANYTHING
    return true;
#endif
    if (!r.repeatable && r.may_have_run)
        return false;
    return can_be_continued(r);
}

// The content type without parameters such as the character set.
std::string_view media_type(std::string_view content_type)
{
    return content_type.substr(0, content_type.find(';'));
}

void fail_call(node_state& s, request_state& r, step where, bool may_have_run,
               std::string detail, effects& out)
{
    auto const endpoint = r.endpoint;
    auto& e = s.endpoints[endpoint];
    emit_log_event(out, events::call_failed, r.request.id, endpoint,
                   std::string(to_string(where)) + ": " + detail);
    // This node could not send it, which says nothing about the endpoint, and
    // would happen again at another.
    if (where == step::send && !may_have_run) {
        close_call(s, r);
        refuse_request(s, r,
                       {503, outcome::not_run, where, "", std::move(detail),
                        s.settings.endpoint_pause},
                       out);
        return;
    }
    if (++e.failures >= failures_before_pause || where == step::connect)
        pause_endpoint(s, endpoint, s.settings.endpoint_pause, detail, out);
    r.may_have_run = r.may_have_run || may_have_run;
    r.failed_connects += where == step::connect ? 1 : 0;
    r.failed_endpoints.push_back(endpoint);
    count_answer(s, r, true);
    close_call(s, r);
    // A new version that failed is not tried again for this request, unless
    // part of its answer has already been received.
    if (chunk_count(r) == 0)
        r.version.clear();
    bool const in_time = r.deadline > s.now || r.head_sent;
    if (in_time && may_call_again(s, r) && take_retry_token(s, r)) {
        s.counts.retries++;
        emit_log_event(out, events::request_retried, r.request.id, endpoint,
                       detail);
        record_decision(s, r.request.id, "retry", detail);
        extend_deadline(s, r);
        enqueue(s, r, out);
        return;
    }
    refuse_request(s, r,
                   {502, outcome::not_run, where, endpoint, std::move(detail),
                    time_until_unpaused(s, r)},
                   out);
}

// Places a call that was not sent at another endpoint.
void place_again(node_state& s, request_state& r, std::string detail,
                 effects& out)
{
    emit_log_event(out, events::call_withheld, r.request.id, r.endpoint,
                   detail + ", after " +
                       milliseconds_text(s.now - r.call_started) +
                       describe_entry(s, s.endpoints[r.endpoint]));
    s.counts.withheld_calls++;
    close_call(s, r);
    r.failed_connects++;
    if (chunk_count(r) == 0)
        r.version.clear();
    if (may_call_again(s, r)) {
        enqueue(s, r, out);
        return;
    }
    refuse_request(s, r,
                   {503, outcome::not_run, step::route, "", std::move(detail),
                    short_retry_after},
                   out);
}

// Callers send a request that is not repeatable again after these.
bool promises_not_run(int status)
{
    constexpr std::array statuses{408, 421, 425, 429, 503};
    return std::ranges::find(statuses, status) != statuses.end();
}

std::string describe_broken_call(node_state const& s, request_state const& r,
                                 call_failed const& e)
{
    auto out = "incarnation " + r.incarnation + ", status " +
               std::to_string(e.status) + ", after " +
               milliseconds_text(s.now - r.call_started) + ", answering for " +
               (r.answering_since == time_point{}
                    ? std::string("0 ms")
                    : milliseconds_text(s.now - r.answering_since)) +
               ", parts";
    for (auto const part : r.request.shared_parts)
        out += " " + part_text(part);
    return out;
}

// Whether the endpoint has not been replaced since the call began.
bool is_current_incarnation(node_state const& s, request_state const& r)
{
    auto const it = s.config.endpoints.find(r.endpoint);
    return it != s.config.endpoints.end() &&
           it->second.value.incarnation == r.incarnation;
}

} // namespace

void hold_chunk(request_state& r, std::string data)
{
    r.held_bytes += memory_of(data);
    r.chunks.push_back(std::move(data));
}

// The pause holds for this node alone: the endpoint may have room for others.
void pause_endpoint(node_state& s, std::string const& endpoint,
                    std::chrono::milliseconds pause, std::string why,
                    effects& out)
{
    auto& until = s.endpoints[endpoint].paused_until;
    until = std::max(until, s.now + duration(pause));
    emit_log_event(out, events::endpoint_paused, endpoint, "", std::move(why));
}

bool holds_whole_answer(request_state const& r)
{
    return retains_chunks(r) || r.sent_chunks == 0;
}

bool resumes_streams(node_state const& s, request_state const& r,
                     endpoint_kind kind)
{
    return r.request.via_model_path && (kind == endpoint_kind::model_runner ||
                                        s.settings.resumes_plain_streams);
}

bool can_be_continued(request_state const& r)
{
    return !r.head_sent ||
           (r.endpoint_resumes && r.has_position && !r.passes_on_only);
}

bool may_send_call(node_state const& s, call_id call, time_point at)
{
    auto const it = s.calls.find(call);
    if (it == s.calls.end())
        return false;
    auto const& r = s.requests.at(it->second);
    auto const e = s.config.endpoints.find(r.endpoint);
    return e != s.config.endpoints.end() &&
           e->second.value.incarnation == r.incarnation &&
           !is_leaving(s, e->second.value) && may_rely_on_registry(s, at);
}

void stop_call(node_state& s, request_state& r, effects& out)
{
    remove_from_queue(s, r);
    if (r.call != 0)
        out.push_back(cancel_call{r.call});
    close_call(s, r);
    drop_early_chunks(r);
}

// Unless it covers the whole answer, the deadline applies to the head. A caller
// that already reads the stream waits for a full deadline again when the stream
// continues elsewhere.
void extend_deadline(node_state const& s, request_state& r)
{
    auto const& it = route_of(s, r);
    if (r.head_sent && !it.deadline_covers_body)
        r.deadline = std::max(r.deadline, s.now + it.deadline);
}

void end_request(node_state& s, request_state& r)
{
    remove_from_queue(s, r);
    close_call(s, r);
    r.phase = request_phase::done;
    r.ended_at = s.now;
    s.last_ended_at = s.now;
    drop_early_chunks(r);
    count_closed(s, r);
    drop_prompt(r.request);
}

namespace {

// Keeps the answer so far if the endpoint continues it.
void begin_answer(node_state const& s, request_state& r, endpoint_kind kind)
{
    drop_early_chunks(r);
    r.total_chunks.reset();
    r.endpoint_resumes = resumes_streams(s, r, kind);
    if (!r.endpoint_resumes || !r.has_position) {
        r.chunks.clear(); // the new answer replaces one that nobody has seen
        r.dropped_chunks = 0;
        r.held_bytes = 0;
    }
    r.has_position = true;
}

} // namespace

void start_call(node_state& s, request_state& r, std::string const& endpoint,
                std::string const& version, effects& out)
{
    auto const& e = s.config.endpoints.at(endpoint).value;
    bool const is_first = r.attempts == 0;
    r.attempts++;
    r.endpoint = endpoint;
    r.incarnation = e.incarnation;
    r.pool = e.pool;
    r.version = version;
    r.phase = r.head_sent ? request_phase::answering : request_phase::calling;
    r.call = s.next_call++;
    r.call_started = s.now;
    r.progress_at = s.now;
    r.answering_since = {};
    s.calls[r.call] = r.request.id;
    begin_answer(s, r, e.kind);
    begin_prefill(s, r, e);
    count_cold_call(s, r, e);
    s.endpoints[endpoint].in_flight++;
    s.endpoints[endpoint].called_at = s.now;
    if (s.settings.max_store_age > 0ms)
        s.max_call_data_age = std::max(s.max_call_data_age, registry_age(s));
    s.limits[{e.pool, version}].in_flight++;
    s.counts.dispatches++;
    count_dispatch(s, r);
    if (is_first) {
        auto& tokens = retry_tokens(s, r);
        tokens = std::min(own_retry_burst(s), tokens + s.settings.retry_budget);
        record_latency(s.latency.first_call, s.now - r.arrived);
    }
    if (chunk_count(r) != 0) {
        s.counts.resumed_streams++;
        s.counts.tokens_recomputed +=
            static_cast<std::uint64_t>(r.request.prompt_tokens) +
            chunk_count(r);
    }
    record_prefixes(s, r);
    dispatch it;
    it.id = r.request.id;
    it.call = r.call;
    it.endpoint = endpoint;
    it.address = e.address;
    it.kind = e.kind;
    it.version = version;
    it.incarnation = e.incarnation;
    it.organisation = r.organisation;
    it.klass = r.klass;
    emit_log_event(out, events::request_sent, r.request.id, endpoint,
                   "attempt " + std::to_string(r.attempts) + ", route " +
                       r.request.route + ", organisation " + r.organisation +
                       ", version " + version + ", configuration " +
                       std::to_string(s.config.applied) + ", waited " +
                       milliseconds_text(s.now - r.arrived) +
                       describe_entry(s, s.endpoints[endpoint]));
    it.resume_chunks.assign(r.chunks.begin(), r.chunks.end());
    // HTTP libraries resend a request on their own when a reused idle
    // connection breaks; on a new connection they do not.
    it.fresh_connection = !r.repeatable || !r.failed_endpoints.empty();
    it.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
        r.deadline - s.now);
    out.push_back(std::move(it));
}

void on_answer_head(node_state& s, answer_head const& e, effects& out)
{
    auto* const r = request_of_call(s, e.call);
    if (r == nullptr)
        return;
    r->progress_at = s.now;
    if (!e.malformed_header.empty())
        emit_log_event(out, events::header_ignored, r->request.id, r->endpoint,
                       e.malformed_header);
    if (e.leaving)
        learn_leaving(s, {r->endpoint, r->incarnation}, out);
    if (e.pause > 0ms && is_current_incarnation(s, *r))
        pause_endpoint(s, r->endpoint, e.pause,
                       "asked for a pause of " + milliseconds_text(e.pause) +
                           " in its answer to " + r->request.id,
                       out);
    // A failure status of the endpoint is passed on as the answer if no other
    // call is allowed, unless it would promise what the endpoint did not state.
    bool const retryable_failure = e.status >= 500 && r->repeatable &&
                                   may_call_again(s, *r) &&
                                   retry_tokens(s, *r) >= 1;
    bool const misleads = !r->repeatable && promises_not_run(e.status);
    if (e.not_run || retryable_failure || misleads) {
        auto const call = e.call;
        out.push_back(cancel_call{call});
        fail_call(s, *r, step::answer, !e.not_run,
                  "status " + std::to_string(e.status), out);
        return;
    }
    // The rest of a resumed stream comes as events with the same status and
    // media type; any other answer is not part of the stream.
    bool const continues_stream =
        !r->head_sent ||
        (e.status == r->status &&
         media_type(e.content_type) == media_type(r->content_type));
    if (!continues_stream) {
        out.push_back(cancel_call{e.call});
        fail_call(s, *r, step::answer, true,
                  "status " + std::to_string(e.status) +
                      " where the rest of a stream was asked for",
                  out);
        return;
    }
    if (!r->head_sent) {
        r->status = e.status;
        r->content_type = e.content_type;
        r->headers = e.headers;
    }
}

void on_answer_chunk(node_state& s, answer_chunk const& e, effects& out)
{
    auto* const r = request_of_call(s, e.call);
    if (r == nullptr)
        return;
    r->progress_at = s.now;
    if (r->answering_since == time_point{})
        r->answering_since = s.now;
    auto const next = chunk_count(*r);
#if !PAPAYAHOOK_MUTATION_ACCEPT_ANY_ORDER
    if (e.index < next)
        return; // late or duplicate
#endif
    if (e.index > next) {
        hold_early_chunk(s, *r, e);
        return;
    }
    if (!r->first_chunk_seen) {
        r->first_chunk_seen = true;
        r->first_chunk_slow = is_slow(s, *r, s.now - r->call_started);
        record_first_token(s, *r, s.now - r->call_started);
        record_latency(s.latency.first_chunk, s.now - r->arrived);
        sample_first_token_latency(s, *r, s.now - r->call_started);
        end_prefill(s, *r, true);
        count_usage(s, r->organisation);
    }
    hold_chunk(*r, e.data);
    r->has_position = e.has_position;
    take_early_chunks(*r);
    clear_parts_if_harmless(s, *r, out);
    r->phase = request_phase::answering;
    send_pending(s, *r, out);
    if (r->total_chunks && chunk_count(*r) >= *r->total_chunks)
        complete_answer(s, *r, out);
}

void on_answer_end(node_state& s, answer_end const& e, effects& out)
{
    auto* const r = request_of_call(s, e.call);
    if (r == nullptr)
        return;
    r->progress_at = s.now;
    r->total_chunks = e.chunks;
    r->framed = e.framed;
    if (chunk_count(*r) >= e.chunks)
        complete_answer(s, *r, out);
    // Otherwise the progress timeout ends the wait for missing chunks.
}

void on_call_failed(node_state& s, call_failed const& e, effects& out)
{
    auto* const r = request_of_call(s, e.call);
    if (r == nullptr)
        return;
    if (e.failed_step == step::route) {
        place_again(s, *r, e.detail, out);
        return;
    }
    if (e.closed_by_endpoint && !r->request.shared_parts.empty()) {
        emit_log_event(out, events::call_broken_off, r->request.id, r->endpoint,
                       describe_broken_call(s, *r, e));
        suspect_endpoint(s, *r, out);
        if (r->call != e.call)
            return; // refused with the parts that are quarantined now
        if (awaits_quarantine(s, *r)) {
            s.held_failures.push_back({e, s.now});
            out.push_back(wake{s.now + duration(max_check_wait)});
            return;
        }
    }
    fail_call(s, *r, e.failed_step, e.may_have_run, e.detail, out);
}

void release_held_failures(node_state& s, effects& out)
{
    for (auto const& it : std::exchange(s.held_failures, {})) {
        auto* const r = request_of_call(s, it.what.call);
        if (r == nullptr)
            continue; // ended meanwhile
        bool const in_time = s.now < it.since + duration(max_check_wait);
        if (in_time && awaits_quarantine(s, *r))
            s.held_failures.push_back(it);
        else
            fail_call(s, *r, it.what.failed_step, it.what.may_have_run,
                      it.what.detail, out);
    }
}

void on_caller_gone(node_state& s, caller_gone const& e, effects& out)
{
    auto* const r = find_request(s, e.id);
    if (r == nullptr || r->phase == request_phase::done)
        return;
    r->caller_present = false;
    if (r->phase == request_phase::handed_over) {
        on_relay_ended(s, {e.id});
        return;
    }
    bool const stops_with_caller = route_of(s, *r).cancel_on_disconnect;
    bool const outlives_caller =
        !r->repeatable || r->klass == priority_class::job;
    // A request that was neither sent nor claimed ends with its caller, because
    // nobody else would learn its outcome. Jobs continue.
    bool const never_sent = r->attempts == 0 && r->claim_key.empty() &&
                            r->klass != priority_class::job;
    bool const continues =
        r->request.run_without_caller ||
        (outlives_caller && !stops_with_caller && !never_sent);
    if (continues) {
        r->drained_chunks = r->sent_chunks; // no caller to wait for
        r->undrained_bytes = 0;
        if (r->paused && r->call != 0)
            out.push_back(resume_call{r->call});
        r->paused = false;
        return;
    }
    if (r->call != 0)
        out.push_back(cancel_call{r->call});
    emit_log_event(out, events::caller_left, e.id, r->endpoint,
                   "after " + milliseconds_text(s.now - r->arrived) + ", " +
                       std::to_string(r->sent_chunks) + " chunks sent");
    // The retained chunks are not the whole answer; a caller that re-attaches
    // must be told so.
    r->failure = refusal{410,
                         outcome::outcome_unknown,
                         step::answer,
                         "",
                         "given up when its caller went away",
                         0s};
    end_request(s, *r);
    drain_queues(s, out);
}

void on_caller_drained(node_state& s, caller_drained const& e, effects& out)
{
    auto* const r = find_request(s, e.id);
    if (r == nullptr)
        return;
    r->drained_chunks = std::max(r->drained_chunks, e.index);
    if (r->drained_chunks >= r->sent_chunks)
        r->undrained_bytes = 0;
    bool const caught_up =
        r->sent_chunks <= r->drained_chunks + s.settings.max_backlog / 2 &&
        r->undrained_bytes <= s.settings.max_backlog_bytes;
    if (r->paused && caught_up && r->call != 0) {
        r->paused = false;
        out.push_back(resume_call{r->call});
    }
}

void on_reattach(node_state& s, reattach const& e, effects& out)
{
    auto* const r = find_request(s, e.id);
    bool const retained = r != nullptr && holds_whole_answer(*r);
    if (!retained || e.from > chunk_count(*r)) {
        out.push_back(refuse{e.id,
                             {404, outcome::outcome_unknown, step::answer, "",
                              "this node holds no such answer", 0s}});
        return;
    }
    r->caller_present = true;
    r->sent_chunks = e.from;
    r->drained_chunks = e.from;
    r->undrained_bytes = 0;
    if (r->failure) {
        out.push_back(refuse{e.id, *r->failure});
        return;
    }
    bool const has_head =
        r->head_sent || chunk_count(*r) != 0 || r->phase == request_phase::done;
    if (!has_head)
        return; // the head is sent with the first chunk
    r->head_sent = false;
    send_pending(s, *r, out);
    if (r->phase == request_phase::done)
        out.push_back(finish_answer{e.id});
}

namespace {

// The call that is to continue the answer needs what it has so far.
bool awaits_rest(request_state const& r)
{
    return r.call == 0 && r.head_sent && r.phase != request_phase::done;
}

} // namespace

void limit_held_answers(node_state& s, effects& out)
{
    std::size_t sum = 0;
    for (auto const& [id, r] : s.requests)
        sum += r.held_bytes;
    if (sum <= s.settings.max_held_bytes)
        return;
    std::vector<std::pair<std::size_t, request_id>> held;
    for (auto const& [id, r] : s.requests)
        if (r.held_bytes > 0 && !r.passes_on_only && !awaits_rest(r))
            held.emplace_back(r.held_bytes, id);
    std::ranges::sort(held, std::greater{});
    for (auto const& [bytes, id] : held) {
        if (sum <= s.settings.max_held_bytes)
            break;
        auto& r = s.requests.at(id);
        r.passes_on_only = true;
        if (r.caller_present)
            drop_sent_chunks(r);
        else
            drop_all_chunks(r);
        sum -= bytes - r.held_bytes;
        emit_log_event(out, events::answer_not_held, id, r.endpoint,
                       std::to_string(bytes) + " bytes, " +
                           std::to_string(held.size()) + " answers held");
    }
}

// Ends an admitted request without its whole answer, whatever the cause. "Not
// run" is reported only if no call may have run and none is open.
void refuse_request(node_state& s, request_state& r, refusal why, effects& out)
{
    bool const open = r.call != 0;
    if (open)
        out.push_back(cancel_call{r.call});
#if !PAPAYAHOOK_MUTATION_ALWAYS_NOT_RUN
    if (open || r.may_have_run)
        why.known_outcome = outcome::outcome_unknown;
#endif
    bool const not_run = why.known_outcome == outcome::not_run;
    (not_run ? s.counts.refused_not_run : s.counts.refused_unknown)++;
    emit_log_event(out,
                   not_run ? events::request_refused : events::outcome_unknown,
                   r.request.id, why.peer,
                   std::string(to_string(why.failed_step)) + ": " + why.detail);
    if (!r.claim_key.empty() && r.phase != request_phase::following) {
        drop_unsent_claim(s, r);
        record_outcome(
            s, r, not_run ? claim_kind::released : claim_kind::unknown, out);
    }
    r.failure = why;
    if (r.caller_present && r.head_sent) {
        s.counts.failed_answers++;
        emit_log_event(out, events::answer_failed, r.request.id, why.peer,
                       why.detail);
        out.push_back(fail_answer{r.request.id, why});
    }
    else if (r.caller_present) {
        out.push_back(refuse{r.request.id, why});
    }
    end_request(s, r);
    drain_queues(s, out);
}

void send_stored_answer(node_state& s, request_state& r,
                        claim_state const& claim, effects& out)
{
    r.status = claim.status;
    r.content_type = claim.content_type;
    hold_chunk(r, claim.body);
    r.sent_chunks = 0;
    send_pending(s, r, out);
    if (r.caller_present)
        out.push_back(finish_answer{r.request.id});
    s.counts.answered++;
    end_request(s, r);
}

// Cancels calls without progress and retries them on a new connection: the old
// one may have been dropped somewhere between the two ends.
void check_progress_timeouts(node_state& s, effects& out)
{
    auto const stalled = requests_where(s, [&](auto const& r) {
        if (r.call == 0 || r.paused)
            return false;
        // A request that is not repeatable gains nothing if its call is
        // cancelled before the deadline.
        bool const waits_for_deadline = !r.repeatable && r.deadline > s.now;
        return !waits_for_deadline &&
               r.progress_at + route_of(s, r).progress_timeout <= s.now;
    });
    for (auto const& id : stalled) {
        auto& r = s.requests.at(id);
        emit_log_event(out, events::connection_silent, id, r.endpoint, "");
        // Slowness of a cold endpoint is no reason to pause it.
        if (r.on_cold_endpoint)
            s.endpoints[r.endpoint].failures = 0;
        out.push_back(cancel_call{r.call});
        fail_call(s, r, step::receive, true, "no progress in time", out);
    }
}

} // namespace papayahook::core
