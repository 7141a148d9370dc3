// Connections of callers: receives requests and sends answers.
#include "runtime/gateway.hpp"
#include "runtime/heap.hpp"
#include "runtime/logging.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace papayahook::runtime {

namespace {

constexpr std::chrono::seconds retry_after{1};
// A request that is served at once has the whole of its time.
constexpr std::chrono::milliseconds short_wait{1};

// Callers may use an id more than once; a number makes it unique here.
std::string sent_part(core::request_id const& it)
{
    return it.substr(0, it.rfind('#'));
}

bool is_ready(core::node_state const& s)
{
    bool const has_endpoints = !s.config.endpoints.empty();
    return s.config.applied != 0 && has_endpoints && !s.leaving;
}

} // namespace

// A node serves without its metrics.
void gateway::open_metrics(node& n, address const& at)
{
    constexpr auto retry = std::chrono::milliseconds(250);
    auto options = listener_options(n);
    options.address = at.ip;
    options.port = at.port;
    try {
        metrics_ =
            listen(n, "metrics", options, [&n](auto const& in, auto out) {
                on_admin_request(n, in, out);
            });
    }
    catch (std::system_error const& e) {
        log_awaited_address(n, e.what());
        run_after(n, retry, [this, &n, at] {
            if (!n.has_stopped_listening)
                open_metrics(n, at);
        });
    }
}

void gateway::open(node& n, address const& front, address const& readiness,
                   address const& metrics)
{
    auto options = listener_options(n);
    auto const open = [&](auto& out, char const* name, address const& at,
                          auto handler) {
        options.address = at.ip;
        options.port = at.port;
        if (!out)
            out = listen(n, name, options, std::move(handler));
    };
    open(readiness_, "readiness", readiness,
         [this, &n](auto const&, auto out) { on_readiness(n, out); });
    if (!std::exchange(has_begun_metrics_, true))
        open_metrics(n, metrics);
    options = caller_listener_options(n);
    options.on_close = [this, &n](auto id) {
        asio::post(n.io, [this, &n, id, why = end_of_connection()] {
            on_caller_closed(n, id, why);
        });
    };
    open(front_, "front", front, [this, &n](auto in, auto out) {
        on_request(n, std::move(in), std::move(out));
    });
}

void gateway::on_readiness(node& n, responder_ptr const& out)
{
    bool const ready = is_ready(n.state);
    out->send(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
}

void gateway::on_request(node& n, http_request in, responder_ptr out)
{
    auto id = std::string(header_value(in.headers, codec_.request_id)) + "#" +
              std::to_string(next_request_++);
    auto& connection = connections_[in.connection_id];
    if (connection.closes)
        return; // it crossed the close, and its answer could not be sent
    connection.newest = id;
    waiting_request it{std::move(id), std::move(in), std::move(out),
                       std::chrono::steady_clock::now()};
    bool const is_first = !connection.open && connection.waiting.empty();
    // Without any that wait, the core decides on its share.
    bool const is_counted_here = !is_first || waiting_ != 0;
    if (heap_excess(n.options.max_intake_heap_bytes) != 0) {
        refuse_for_memory(n, it, "this node is short of memory");
        return;
    }
    if (is_counted_here && !has_memory_for(n, it.request)) {
        refuse_for_memory(
            n, it, "open requests take the memory that this node has for them");
        return;
    }
    if (is_first) {
        begin(n, std::move(it));
        return;
    }
    waiting_ += it.request.memory;
    connection.waiting.push_back(std::move(it));
}

// Counts what waits here as the core counts what it has admitted.
bool gateway::has_memory_for(node const& n, http_request const& in) const
{
    return n.state.request_bytes + waiting_ + in.memory <=
           n.state.settings.max_request_bytes;
}

void gateway::refuse_for_memory(node& n, waiting_request const& it,
                                std::string const& detail)
{
    core::refusal const why{
        503,        core::outcome::not_run, core::step::admit, "", detail,
        retry_after};
    write_log({events::request_refused, it.id, "", "admit: " + detail});
    refuse_now(n, it, codec_.refusal_answer(sent_part(it.id), why));
}

void gateway::begin(node& n, waiting_request it)
{
    using std::chrono::milliseconds;

    auto const& in = it.request;
    auto const sent_id = sent_part(it.id);
    if (sent_id.empty()) {
        refuse_now(n, it, {400, {}, "the request has no id\n"});
        return;
    }
    auto event = codec_.decode_request(in, it.id, n.state.config);
    event.body_bytes = in.memory + core::memory_of(event);
    open_caller c;
    c.request_id = sent_id;
    auto const route = n.state.config.routes.find(event.route);
    if (route != n.state.config.routes.end()) {
        auto const& r = route->second.value;
        auto const waited = std::chrono::ceil<milliseconds>(
            std::chrono::steady_clock::now() - it.arrived);
        auto const limit = std::chrono::floor<milliseconds>(r.deadline);
        c.streams = r.streams;
        if (waited > short_wait)
            event.deadline = std::max(
                milliseconds(0),
                std::min(event.deadline.value_or(limit), limit) - waited);
    }
    connections_[in.connection_id].open = it.id;
    c.request = std::move(it.request);
    c.out = std::move(it.out);
    callers_.emplace(it.id, std::move(c));
    handle(n, std::move(event));
}

void gateway::begin_next(node& n, std::uint64_t connection)
{
    auto const found = connections_.find(connection);
    if (found == connections_.end())
        return;
    auto& c = found->second;
    if (c.open || c.broke_off || c.waiting.empty())
        return;
    auto it = std::move(c.waiting.front());
    c.waiting.pop_front();
    waiting_ -= it.request.memory;
    begin(n, std::move(it));
}

void gateway::refuse_now(node& n, waiting_request const& it,
                         generated_answer answer)
{
    auto const connection = it.request.connection_id;
    announce_close(n, it.id, connection, *it.out);
    it.out->send(answer.status, answer.headers, std::move(answer.body));
    asio::post(n.io, [this, &n, connection] { begin_next(n, connection); });
}

void gateway::on_caller_closed(node& n, std::uint64_t connection,
                               std::string const& why)
{
    auto const node = connections_.extract(connection);
    if (node.empty())
        return;
    for (auto const& it : node.mapped().waiting) {
        waiting_ -= it.request.memory;
        write_log({events::caller_ended, it.id, "", why});
    }
    auto const& open = node.mapped().open;
    if (open && callers_.erase(*open) != 0) {
        write_log({events::caller_ended, *open, "", why});
        handle(n, core::caller_gone{*open});
    }
}

// The HTTP server closes the connection after the answer that announces it, and
// drops the answers to later requests.
void gateway::announce_close(node& n, core::request_id const& id,
                             std::uint64_t connection, http_responder& out)
{
    auto const it = connections_.find(connection);
    if (!n.state.leaving || it == connections_.end() || it->second.newest != id)
        return;
    it->second.closes = true;
    out.close_after_answer();
}

std::optional<open_caller> gateway::take_caller(node& n,
                                                core::request_id const& id)
{
    auto node = callers_.extract(id);
    if (node.empty())
        return std::nullopt;
    auto const connection = node.mapped().request.connection_id;
    auto const it = connections_.find(connection);
    if (it != connections_.end()) {
        it->second.open.reset();
        asio::post(n.io, [this, &n, connection] { begin_next(n, connection); });
    }
    return std::move(node.mapped());
}

void gateway::carry_out(node& n, core::refuse const& it)
{
    auto c = take_caller(n, it.id);
    if (!c)
        return;
    auto answer = codec_.refusal_answer(c->request_id, it.why);
    announce_close(n, it.id, c->request.connection_id, *c->out);
    c->out->send(answer.status, answer.headers, std::move(answer.body));
}

void gateway::carry_out(node&, core::send_head const& it)
{
    auto const found = callers_.find(it.id);
    if (found == callers_.end())
        return;
    found->second.status = it.status;
    found->second.headers = it.headers;
}

void gateway::carry_out(node& n, core::send_chunk const& it)
{
    auto const found = callers_.find(it.id);
    if (found == callers_.end())
        return;
    auto& c = found->second;
    c.pending += it.data;
    c.next_index = it.index + 1;
    if (c.streams)
        post_flush(n, it.id, c);
}

// Events that arrive in one iteration of the event loop are sent in one write.
void gateway::post_flush(node& n, core::request_id const& id, open_caller& c)
{
    if (c.flush_posted)
        return;
    c.flush_posted = true;
    asio::post(n.io, [this, &n, id] { flush(n, id); });
}

void gateway::flush(node& n, core::request_id const& id)
{
    auto const found = callers_.find(id);
    if (found == callers_.end())
        return;
    auto& c = found->second;
    c.flush_posted = false;
    if (!c.started) {
        c.started = true;
        announce_close(n, id, c.request.connection_id, *c.out);
        c.out->start(c.status, c.headers);
    }
    if (c.pending.empty())
        return;
    c.out->write(std::move(c.pending),
                 [this, &n, id, index = c.next_index](auto ec) {
                     if (!ec && callers_.contains(id))
                         handle(n, core::caller_drained{id, index});
                 });
    c.pending.clear();
}

void gateway::carry_out(node& n, core::finish_answer const& it)
{
    auto const found = callers_.find(it.id);
    if (found == callers_.end())
        return;
    if (found->second.started)
        flush(n, it.id);
    auto c = take_caller(n, it.id);
    if (c->started) {
        c->out->finish();
        return;
    }
    announce_close(n, it.id, c->request.connection_id, *c->out);
    c->out->send(c->status, c->headers, std::move(c->pending));
}

void gateway::carry_out(node& n, core::fail_answer const& it)
{
    auto const found = callers_.find(it.id);
    if (found == callers_.end())
        return;
    bool const nothing_sent = !found->second.started;
    if (nothing_sent) {
        carry_out(n, core::refuse{it.id, it.why});
        return;
    }
    flush(n, it.id);
    auto const c = take_caller(n, it.id);
    if (!c)
        return;
    auto const connection = connections_.find(c->request.connection_id);
    if (connection != connections_.end())
        connection->second.broke_off = true;
    c->out->abort();
}

} // namespace papayahook::runtime
