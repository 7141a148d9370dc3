// Connections of callers: receives requests and sends answers.
#include "runtime/heap.hpp"
#include "runtime/node.hpp"

#include <algorithm>
#include <asio/post.hpp>

namespace papayahook::runtime {

namespace {

core::request_id new_request_id(node& n)
{
    return n.options.core.name + "." +
           std::to_string(n.state.settings.incarnation) + "." +
           std::to_string(n.next_request++);
}

std::string content_type_of(open_request const& r)
{
    if (is_raw(r))
        return r.content_type;
    return is_stream(r.form) ? "text/event-stream" : "application/json";
}

std::string encode_chunk(open_request const& r, core::request_id const& id,
                         std::uint64_t index, std::string const& data)
{
    return is_raw(r) ? data : token_event(r.form, id, index, data);
}

// Chunks that arrive in one iteration of the event loop are sent in one write.
// A short answer that ends in the same iteration is sent whole, with its
// length.
void post_flush(node& n, core::request_id const& id, open_request& r)
{
    if (r.flush_posted)
        return;
    r.flush_posted = true;
    asio::post(n.io, [&n, id] {
        auto const it = n.requests.find(id);
        if (it == n.requests.end())
            return;
        it->second.flush_posted = false;
        flush_pending(n, id, it->second);
    });
}

void send_whole(core::request_id const& id, open_request& r)
{
    std::string body;
    if (is_raw(r))
        for (auto const& it : r.pending)
            body += it;
    else if (!is_stream(r.form))
        body = whole_answer(r.form, id, r.pending);
    else {
        auto index = r.next_index - r.pending.size();
        for (auto const& it : r.pending)
            body += token_event(r.form, id, index++, it);
        body += end_event();
    }
    r.out->send(r.status,
                {{"Content-Type", content_type_of(r)}, {"X-Request-Id", id}},
                std::move(body));
}

// Answers 202 with the request id, unless the request was refused at once and
// so has been answered.
void send_accepted(node& n, core::request_id const& id)
{
    auto const it = n.requests.find(id);
    if (it == n.requests.end() || it->second.out == nullptr)
        return;
    it->second.out->send(202,
                         {{"Content-Type", "application/json"},
                          {"X-Request-Id", id},
                          {"Location", std::string(requests_prefix) + id}},
                         "{\"request_id\":\"" + id + "\"}");
    detach_caller(it->second);
    handle(n, core::caller_gone{id});
}

} // namespace

bool is_raw(open_request const& r)
{
    return r.form == answer_form::plain || r.status != 200;
}

void send_problem(responder_ptr const& out, core::request_id const& id,
                  core::refusal const& why)
{
    out->send(why.status, problem_headers(id, why), problem_document(id, why));
}

void flush_pending(node& n, core::request_id const& id, open_request& r)
{
    bool const buffered = !is_raw(r) && !is_stream(r.form);
    if (r.out == nullptr || r.status == 0 || buffered)
        return;
    if (!r.streaming) {
        r.streaming = true;
        r.out->start(r.status, {{"Content-Type", content_type_of(r)},
                                {"X-Request-Id", id}});
    }
    auto index = r.next_index - r.pending.size();
    std::string bytes;
    for (auto const& it : r.pending)
        bytes += encode_chunk(r, id, index++, it);
    r.pending.clear();
    if (bytes.empty())
        return;
    r.out->write(std::move(bytes), [&n, id, index](std::error_code ec) {
        if (!ec)
            handle(n, core::caller_drained{id, index});
    });
}

void detach_caller(open_request& r)
{
    r.relay_transfer = 0;
    r.out.reset();
    r.pending.clear();
    r.streaming = false;
    r.status = 0;
    r.connection_id = 0;
}

void on_caller_request(node& n, http_request in, responder_ptr out)
{
    if (in.path.starts_with(requests_prefix) && in.method == "GET") {
        on_reattach_request(n, in, out);
        return;
    }
    auto const id = new_request_id(n);
    if (heap_excess(n.options.max_intake_heap_bytes) != 0) {
        send_problem(out, id,
                     {503, core::outcome::not_run, core::step::admit, "",
                      "this node is short of memory", std::chrono::seconds(1)});
        return;
    }
    auto parsed = parse_request(in, id);
    if (auto const* const bad = std::get_if<bad_request>(&parsed)) {
        send_problem(out, id,
                     {bad->status, core::outcome::not_run, core::step::admit,
                      "", bad->detail, std::chrono::seconds(0)});
        return;
    }
    auto& it = std::get<parsed_request>(parsed);
    bool const async = prefers_async(in);
    open_request r;
    r.connection_id = in.connection_id;
    r.request = std::move(in);
    r.key_digest = it.event.key_digest;
    r.form = it.form;
    r.path = std::move(it.path);
    r.out = std::move(out);
    n.requests.emplace(id, std::move(r));
    handle(n, std::move(it.event));
    if (async)
        send_accepted(n, id);
}

void on_caller_closed(node& n, std::uint64_t connection_id)
{
    std::vector<core::request_id> gone;
    for (auto& [id, r] : n.requests) {
        if (r.out == nullptr || r.connection_id != connection_id)
            continue;
        if (r.relay_transfer != 0)
            n.client.cancel(r.relay_transfer);
        detach_caller(r);
        gone.push_back(id);
    }
    for (auto const& id : gone)
        handle(n, core::caller_gone{id});
}

void perform(node& n, core::refuse const& it)
{
    auto const found = n.requests.find(it.id);
    if (found == n.requests.end() || found->second.out == nullptr)
        return;
    send_problem(found->second.out, it.id, it.why);
    detach_caller(found->second);
}

void perform(node& n, core::send_head const& it)
{
    auto const found = n.requests.find(it.id);
    if (found == n.requests.end())
        return;
    found->second.status = it.status;
    found->second.content_type = it.content_type;
}

void perform(node& n, core::send_chunk const& it)
{
    auto const found = n.requests.find(it.id);
    if (found == n.requests.end() || found->second.out == nullptr)
        return;
    auto& r = found->second;
    r.pending.push_back(it.data);
    r.next_index = it.index + 1;
    bool const buffered = !is_raw(r) && !is_stream(r.form);
    if (buffered)
        handle(n, core::caller_drained{it.id, it.index + 1});
    else
        post_flush(n, it.id, r);
}

void perform(node& n, core::finish_answer const& it)
{
    auto const found = n.requests.find(it.id);
    if (found == n.requests.end() || found->second.out == nullptr)
        return;
    auto& r = found->second;
    if (!r.streaming) {
        send_whole(it.id, r);
    }
    else {
        flush_pending(n, it.id, r);
        if (!is_raw(r))
            r.out->write(end_event(), nullptr);
        r.out->finish();
    }
    detach_caller(r);
}

void perform(node& n, core::fail_answer const& it)
{
    auto const found = n.requests.find(it.id);
    if (found == n.requests.end() || found->second.out == nullptr)
        return;
    auto& r = found->second;
    if (!r.streaming && !is_stream(r.form)) {
        send_problem(r.out, it.id, it.why);
        detach_caller(r);
        return;
    }
    flush_pending(n, it.id, r);
    // A plain body cannot carry an error event. The connection is closed before
    // the terminating chunk, which every client reports as a broken answer.
    if (!is_raw(r)) {
        r.out->write(error_event(it.id, it.why), nullptr);
        r.out->finish();
    }
    else {
        r.out->abort();
    }
    detach_caller(r);
}

void erase_ended_requests(node& n)
{
    std::erase_if(n.requests, [&](auto const& it) {
        return it.second.out == nullptr && !n.state.requests.contains(it.first);
    });
    // Nothing sends the body of an answered request again. Without its caller
    // it may still be handed over.
    for (auto& [id, r] : n.requests) {
        auto const known = n.state.requests.find(id);
        if (known != n.state.requests.end() &&
            known->second.phase == core::request_phase::done &&
            known->second.caller_present)
            r.request.body = shared_text{};
    }
}

} // namespace papayahook::runtime
