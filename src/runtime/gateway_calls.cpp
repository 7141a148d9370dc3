// Calls to endpoints and their answers.
#include "runtime/gateway.hpp"

#include "codec/text.hpp"
#include "runtime/heap.hpp"

#include <algorithm>
#include <limits>

namespace papayahook::runtime {

namespace {

constexpr std::string_view event_stream_type = "text/event-stream";
// Answers that are not streamed are buffered until they are complete.
constexpr std::size_t max_answer_bytes = 16UL * 1024 * 1024;
// Smaller answers are never given up for want of memory.
constexpr std::size_t min_bytes_given_up = 64UL * 1024;

std::size_t max_buffered_bytes(gateway_call const& it)
{
    return it.streams ? codec::max_event_bytes : max_answer_bytes;
}

std::size_t buffered_bytes(gateway_call const& it)
{
    return it.body.size() + it.events.held.size();
}

void note_passed_ids(gateway_call& out, std::vector<std::string> const& events)
{
    codec::event_splitter s;
    for (auto const& bytes : events)
        for (auto& it : codec::split_events(s, bytes))
            if (!it.id.empty()) {
                out.passed_ids.push_back(core::hash_of(it.id));
                out.last_id = std::move(it.id);
            }
    std::ranges::sort(out.passed_ids);
}

// Whether an event precedes the position at which the answer continues: the
// endpoint does not know the position, and its events are of another run.
bool is_repeated(gateway_call const& r, std::string const& id)
{
    if (!r.last_id || id.empty())
        return false;
    auto const n = codec::parse_number<std::uint64_t>(id);
    auto const last = codec::parse_number<std::uint64_t>(*r.last_id);
    if (n && last)
        return *n <= *last;
    return std::ranges::binary_search(r.passed_ids, core::hash_of(id));
}

} // namespace

void gateway::carry_out(node& n, core::dispatch const& it)
{
    auto const found = callers_.find(it.id);
    if (found == callers_.end()) {
        handle(n, core::call_failed{it.call, core::step::send, false,
                                    "its caller has gone"});
        return;
    }
    auto const& c = found->second;
    gateway_call r;
    r.request = it.id;
    r.streams = c.streams;
    r.next_index = it.resume_chunks.size();
    note_passed_ids(r, it.resume_chunks);
    http_call call;
    call.method = c.request.method;
    call.url = "http://" + it.address + c.request.target;
    call.headers = codec_.call_headers(c.request, it, r.last_id);
    call.body = c.request.body;
    call.connection_group = it.endpoint + "/" + it.incarnation;
    call.echoed_header = {codec_.request_id, c.request_id};
    call.connect_timeout = n.options.connect_timeout;
    call.fresh_connection = it.fresh_connection;
    call.limited = true;
    // A stream may have any length; on_call_data() limits what is buffered.
    call.max_body_bytes = std::numeric_limits<std::size_t>::max();
    auto const id = it.call;
    call.may_send = [&n, id] {
        return core::may_send_call(n.state, id, now(n));
    };
    call.on_head = [this, id](int status, header_list const& headers) {
        on_call_head(id, status, headers);
    };
    call.on_data = [this, &n, id](std::string_view data) {
        on_call_data(n, id, data);
    };
    call.on_done = [this, &n, id](http_result const& result) {
        on_call_done(n, id, result);
    };
    start_call(n.client, calls_, id, std::move(r), std::move(call));
}

void gateway::carry_out(node& n, core::cancel_call const& it)
{
    if (auto const call = take_call(it.call))
        n.client.cancel(call->transfer);
}

void gateway::carry_out(node& n, core::pause_call const& it)
{
    auto const found = calls_.find(it.call);
    if (found != calls_.end())
        n.client.pause(found->second.transfer);
}

void gateway::carry_out(node& n, core::resume_call const& it)
{
    auto const found = calls_.find(it.call);
    if (found != calls_.end())
        n.client.resume(found->second.transfer);
}

void gateway::on_call_head(core::call_id call, int status,
                           header_list const& headers)
{
    auto const found = calls_.find(call);
    if (found == calls_.end())
        return;
    auto& r = found->second;
    r.head = codec_.decode_head(call, status, headers);
    // Where the answer is sent whole, nothing is written before its end, and a
    // stream that waits for its events to be read would never continue.
    r.streams = r.streams && status == 200 && !r.head.not_run &&
                r.head.content_type.starts_with(event_stream_type);
}

void gateway::on_call_data(node& n, core::call_id call, std::string_view data)
{
    auto found = calls_.find(call);
    if (found == calls_.end())
        return;
    if (buffered_bytes(found->second) + data.size() >
        max_buffered_bytes(found->second)) {
        fail_call(n, call, "bytes without end that are no answer");
        return;
    }
    if (!make_room(n, call, data.size()))
        return;
    if (!found->second.streams) {
        found->second.body += data;
        buffered_ += data.size();
        return;
    }
    auto const before = buffered_bytes(found->second);
    auto const events = codec::split_events(found->second.events, data);
    buffered_ += buffered_bytes(found->second) - before;
    for (auto const& it : events) {
        found = calls_.find(call);
        if (found == calls_.end())
            return; // handling an earlier event ended the call
        auto& r = found->second;
        if (is_repeated(r, it.id)) {
            fail_call(n, call,
                      "event " + it.id + ", but the stream continues after " +
                          *r.last_id);
            return;
        }
        // Receivers do not count comments, which therefore may be repeated.
        if (it.has_data)
            r.has_position = !it.id.empty();
        auto const index = r.next_index++;
        bool const first = !std::exchange(r.head_reported, true);
        auto const head = r.head;
        if (first)
            handle(n, head);
        handle(n, core::answer_chunk{call, index, it.bytes, r.has_position});
    }
}

std::optional<gateway_call> gateway::take_call(core::call_id call)
{
    auto node = calls_.extract(call);
    if (node.empty())
        return std::nullopt;
    buffered_ -= buffered_bytes(node.mapped());
    return std::move(node.mapped());
}

void gateway::fail_call(node& n, core::call_id call, std::string why)
{
    if (auto const it = take_call(call))
        n.client.cancel(it->transfer);
    handle(n,
           core::call_failed{call, core::step::receive, true, std::move(why)});
}

bool gateway::make_room(node& n, core::call_id call, std::size_t bytes)
{
    bool const fits =
        buffered_ + *n.unwritten + bytes <= n.options.max_answer_bytes &&
        heap_excess(n.options.max_heap_bytes) == 0;
    if (fits)
        return true;
    auto const largest = std::ranges::max_element(
        calls_, {}, [](auto const& it) { return buffered_bytes(it.second); });
    if (buffered_bytes(largest->second) < min_bytes_given_up)
        return true;
    auto const given_up = largest->first;
    fail_call(n, given_up, "answers take more memory than this node has");
    return given_up != call;
}

void gateway::on_call_done(node& n, core::call_id call,
                           http_result const& result)
{
    auto call_state = take_call(call);
    if (!call_state)
        return;
    auto& r = *call_state;
    if (result.error) {
        handle(n, core::call_failed{call, step_of(result.step),
                                    result.may_have_run, result.error.message(),
                                    result.closed_by_server, result.status});
        return;
    }
    if (r.streams && codec::holds_event(r.events)) {
        core::call_failed cut{call, core::step::receive, true,
                              "the stream ended inside an event"};
        cut.closed_by_endpoint = true;
        cut.status = result.status;
        handle(n, cut);
        return;
    }
    if (!r.head_reported)
        handle(n, r.head);
    // Answers that are not streamed are sent whole or not at all.
    auto rest = r.streams ? std::move(r.events.held) : std::move(r.body);
    if (!r.streams || !rest.empty())
        handle(n, core::answer_chunk{call, r.next_index++, std::move(rest)});
    handle(n, core::answer_end{call, r.next_index, result.framed});
}

bool gateway::perform(node& n, core::effect const& effect)
{
    auto const act = [&](auto const& it) -> decltype(this->carry_out(n, it)) {
        carry_out(n, it);
    };
    return perform_if_callable(effect, act);
}

} // namespace papayahook::runtime
