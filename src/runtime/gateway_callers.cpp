// Connections of callers: receives requests and sends answers.
#include "runtime/gateway.hpp"
#include "runtime/logging.hpp"

#include <asio/post.hpp>

namespace papayahook::runtime {

namespace {

bool is_ready(core::node_state const& s)
{
    bool const has_endpoints = !s.config.endpoints.empty();
    return s.config.applied != 0 && has_endpoints && !s.leaving;
}

} // namespace

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
    open(metrics_, "metrics", metrics,
         [&n](auto const& in, auto out) { on_admin_request(n, in, out); });
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
    auto const sent_id =
        std::string(header_value(in.headers, codec_.request_id));
    // Callers may use an id more than once; the number makes it unique here.
    auto const id = sent_id + "#" + std::to_string(next_request_++);
    auto& connection = connections_[in.connection_id];
    if (connection.closes)
        return; // it crossed the close, and its answer could not be sent
    connection.newest = id;
    if (sent_id.empty()) {
        announce_close(n, id, in.connection_id, *out);
        out->send(400, {}, "the request has no id\n");
        return;
    }
    auto event = codec_.decode_request(in, id, n.state.config);
    event.body_bytes = in.memory + core::memory_of(event);
    open_caller c;
    c.request_id = sent_id;
    auto const route = n.state.config.routes.find(event.route);
    c.streams =
        route != n.state.config.routes.end() && route->second.value.streams;
    connection.open.push_back(id);
    c.request = std::move(in);
    c.out = std::move(out);
    callers_.emplace(id, std::move(c));
    handle(n, std::move(event));
}

void gateway::on_caller_closed(node& n, std::uint64_t connection,
                               std::string const& why)
{
    auto const node = connections_.extract(connection);
    if (node.empty())
        return;
    for (auto const& id : node.mapped().open)
        if (callers_.erase(id) != 0) {
            write_log({events::caller_ended, id, "", why});
            handle(n, core::caller_gone{id});
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

std::optional<open_caller> gateway::take_caller(core::request_id const& id)
{
    auto node = callers_.extract(id);
    if (node.empty())
        return std::nullopt;
    auto const it = connections_.find(node.mapped().request.connection_id);
    if (it != connections_.end())
        std::erase(it->second.open, id);
    return std::move(node.mapped());
}

void gateway::carry_out(node& n, core::refuse const& it)
{
    auto c = take_caller(it.id);
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
    auto c = take_caller(it.id);
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
    if (auto const c = take_caller(it.id))
        c->out->abort();
}

} // namespace papayahook::runtime
