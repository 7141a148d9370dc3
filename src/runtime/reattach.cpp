// Re-attached answers, and answers that a peer continues: finds the node that
// holds an answer and forwards what it sends.
#include "runtime/node.hpp"

#include <algorithm>

namespace papayahook::runtime {

namespace {

constexpr char const* forwarded_header = "X-Forwarded-By-Node";

core::refusal unknown_answer(std::string detail)
{
    return {404,
            core::outcome::outcome_unknown,
            core::step::answer,
            "",
            std::move(detail),
            std::chrono::seconds(0)};
}

// Returns the call that fetches an answer from a peer. `path` contains the
// request id and the query.
http_call make_peer_call(node const& n, std::string const& address,
                         std::string const& path, std::string authorization)
{
    http_call call;
    call.url = "http://" + address + path;
    call.connect_timeout = n.set.connect_timeout;
    call.headers = {{forwarded_header, n.set.core.name},
                    {"Authorization", std::move(authorization)}};
    return call;
}

void start_answer(responder_ptr const& out, int status,
                  header_list const& headers, std::string_view id)
{
    out->start(status, {{"Content-Type",
                         std::string(header_value(headers, "Content-Type"))},
                        {"X-Request-Id", std::string(id)}});
}

// Returns the request, or null if no caller is attached to it.
open_request* find_attached(node& n, core::request_id const& id)
{
    auto const it = n.requests.find(id);
    bool const attached = it != n.requests.end() && it->second.out != nullptr;
    return attached ? &it->second : nullptr;
}

// A forwarded re-attach. The nodes that may hold the answer are asked in turn.
struct reattach_forward
{
    core::request_id id;
    std::string path; // path and query
    std::string authorization;
    std::vector<std::string> holders; // addresses not yet asked
    responder_ptr out;
    bool started = false; // an answer is being forwarded
};

void ask_next_holder(node& n, std::shared_ptr<reattach_forward> const& f)
{
    auto call =
        make_peer_call(n, f->holders.front(), f->path, f->authorization);
    f->holders.erase(f->holders.begin());
    call.on_head = [f](int status, header_list const& headers) {
        bool const tries_next = status == 404 && !f->holders.empty();
        if (tries_next)
            return;
        f->started = true;
        start_answer(f->out, status, headers,
                     header_value(headers, "X-Request-Id"));
    };
    call.on_data = [f](std::string_view data) {
        if (f->started)
            f->out->write(std::string(data), nullptr);
    };
    call.on_done = [&n, f](http_result const& result) {
        auto const why =
            unknown_answer("the node that holds the answer is gone");
        if (!f->started && !f->holders.empty()) {
            ask_next_holder(n, f);
            return;
        }
        if (!f->started) {
            send_problem(f->out, f->id, why);
            return;
        }
        if (result.error)
            f->out->write(error_event(f->id, why), nullptr);
        f->out->finish();
    };
    n.client.start(std::move(call));
}

void forward_reattach(node& n, std::vector<std::string> holders,
                      core::request_id const& id, http_request const& in,
                      responder_ptr const& out)
{
    auto f = std::make_shared<reattach_forward>();
    f->id = id;
    f->path = in.path + (in.query.empty() ? "" : "?" + in.query);
    f->authorization = header_value(in.headers, "Authorization");
    f->holders = std::move(holders);
    f->out = out;
    ask_next_holder(n, f);
}

// Handles a re-attach on a node that does not hold the answer.
void reattach_at_peer(node& n, core::request_id const& id,
                      http_request const& in, responder_ptr const& out)
{
    auto holders = core::holders_of(n.state, id);
    bool const forwarded = !header_value(in.headers, forwarded_header).empty();
    bool const from_other_node = !id.starts_with(n.set.core.name + ".");
    if (forwarded || (holders.empty() && !from_other_node))
        send_problem(out, id, unknown_answer("no such request here"));
    else if (holders.empty())
        send_problem(out, id,
                     {503, core::outcome::outcome_unknown, core::step::answer,
                      "", "the node that holds the answer is not known here",
                      std::chrono::seconds(1)});
    else
        forward_reattach(n, std::move(holders), id, in, out);
}

// Address of the peer that took a request over from this node; empty if none.
std::string successor_address(node const& n, core::request_id const& id)
{
    auto const it = n.state.requests.find(id);
    if (it == n.state.requests.end() || it->second.taken_by.empty())
        return {};
    auto const member = n.state.members.find(it->second.taken_by);
    return member == n.state.members.end() ? std::string{}
                                           : member->second.caller_address;
}

// Forwards the head of a peer's answer, unless this node has sent one already.
void relay_head(node& n, core::request_id const& id, int status,
                header_list const& headers)
{
    auto* const r = find_attached(n, id);
    if (r == nullptr)
        return;
    flush_pending(n, id, *r);
    r->status = status;
    if (r->streaming)
        return;
    r->streaming = true;
    start_answer(r->out, status, headers, id);
}

void relay_data(node& n, core::request_id const& id, bool started_here,
                std::string_view data)
{
    auto* const r = find_attached(n, id);
    if (r == nullptr)
        return;
    // A problem document cannot follow tokens; relay_done() ends the stream.
    bool const refused = started_here && r->status != 200;
    if (!refused)
        r->out->write(std::string(data), nullptr);
}

// Ends a relayed answer when the peer's answer or its connection has ended.
void end_relayed_answer(core::request_id const& id, open_request& r,
                        bool started_here, http_result const& result)
{
    bool const broken = result.error || (started_here && result.status != 200);
    auto const why =
        unknown_answer("the node that took the request over is gone; "
                       "ask any node for the rest");
    if (!r.streaming) {
        send_problem(r.out, id, why);
    }
    else if (broken && is_raw(r) && !started_here) {
        r.out->abort();
    }
    else {
        if (broken)
            r.out->write(error_event(id, why), nullptr);
        r.out->finish();
    }
    detach_caller(r);
}

void relay_done(node& n, core::request_id const& id, bool started_here,
                http_result const& result)
{
    if (auto* const r = find_attached(n, id))
        end_relayed_answer(id, *r, started_here, result);
    handle(n, core::relay_ended{id});
}

} // namespace

void on_reattach_request(node& n, http_request const& in,
                         responder_ptr const& out)
{
    auto const id = in.path.substr(requests_prefix.size());
    auto const it = n.requests.find(id);
    if (it == n.requests.end()) {
        reattach_at_peer(n, id, in, out);
        return;
    }
    if (caller_key_digest(in.headers) != it->second.key_digest) {
        send_problem(out, id, unknown_answer("no such request here"));
        return;
    }
    if (auto const address = successor_address(n, id); !address.empty()) {
        forward_reattach(n, {address}, id, in, out);
        return;
    }
    auto const from_text = query_value(in.query, "from");
    std::uint64_t from = 0;
    for (char const c : from_text)
        from = c >= '0' && c <= '9'
                   ? from * 10 + static_cast<std::uint64_t>(c - '0')
                   : from;
    detach_caller(it->second);
    it->second.out = out;
    it->second.connection_id = in.connection_id;
    it->second.next_index = from;
    handle(n, core::reattach{id, from});
}

void perform(node& n, core::relay const& it)
{
    auto* const r = find_attached(n, it.id);
    if (r == nullptr) {
        handle(n, core::relay_ended{it.id});
        return;
    }
    flush_pending(n, it.id, *r);
    bool const started_here = r->streaming;
    auto const from = std::to_string(started_here ? it.from : 0);
    auto call = make_peer_call(
        n, it.address, std::string(requests_prefix) + it.id + "?from=" + from,
        std::string(header_value(r->request.headers, "Authorization")));
    call.on_head = [&n, id = it.id](int status, header_list const& headers) {
        relay_head(n, id, status, headers);
    };
    call.on_data = [&n, id = it.id, started_here](std::string_view data) {
        relay_data(n, id, started_here, data);
    };
    call.on_done = [&n, id = it.id, started_here](http_result const& result) {
        relay_done(n, id, started_here, result);
    };
    r->relay_transfer = n.client.start(std::move(call));
}

core::caller_message caller_message_of(node const& n,
                                       core::request_id const& id)
{
    auto const it = n.requests.find(id);
    if (it == n.requests.end())
        return {};
    auto const& in = it->second.request;
    core::caller_message out{in.method, in.path, in.query, {}, in.body};
    // The caller's key is not sent; hand_over::asked contains its digest.
    std::ranges::copy_if(
        in.headers, std::back_inserter(out.headers), [](auto const& field) {
            return header_value({field}, "Authorization").data() == nullptr;
        });
    return out;
}

void add_handed_over_request(node& n, core::hand_over const& it)
{
    auto const& id = it.asked.id;
    http_request in;
    in.method = it.message.method;
    in.path = it.message.path;
    in.query = it.message.query;
    in.headers = it.message.headers;
    in.body = it.message.body;
    auto const parsed = parse_request(in, id);
    auto const* const good = std::get_if<parsed_request>(&parsed);
    if (good == nullptr || n.requests.contains(id))
        return;
    open_request r;
    r.key_digest = it.asked.key_digest;
    r.form = good->form;
    r.path = good->path;
    r.request = std::move(in);
    n.requests.emplace(id, std::move(r));
}

} // namespace papayahook::runtime
