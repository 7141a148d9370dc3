// Callers' connections: requests in, answers out, re-attaching.
#include "runtime/node.hpp"

#include <algorithm>
#include <asio/post.hpp>

namespace papayahook::runtime {

namespace {

constexpr std::string_view requests_prefix = "/v1/requests/";
constexpr char const* forwarded_header = "X-Forwarded-By-Node";

core::request_id new_request_id(node& n)
{
    return n.set.core.name + "." +
           std::to_string(n.state.settings.incarnation) + "." +
           std::to_string(n.next_request++);
}

void send_problem(responder_ptr const& out, core::request_id const& id,
                  core::refusal const& why)
{
    out->send(why.status, problem_headers(id, why), problem_document(id, why));
}

core::refusal unknown_answer(std::string detail)
{
    return {404,
            core::outcome::outcome_unknown,
            core::step::answer,
            "",
            std::move(detail),
            std::chrono::seconds(0)};
}

bool is_raw(open_request const& r)
{
    return r.form == answer_form::plain || r.status != 200;
}

std::string content_type_of(open_request const& r)
{
    if (is_raw(r))
        return r.content_type;
    return is_stream(r.form) ? "text/event-stream" : "application/json";
}

std::string written_form(open_request const& r, core::request_id const& id,
                         std::uint64_t index, std::string const& data)
{
    return is_raw(r) ? data : token_event(r.form, id, index, data);
}

// Puts the pending chunks on the wire; begins the stream with the first.
void flush(node& n, core::request_id const& id, open_request& r)
{
    bool const collects = !is_raw(r) && !is_stream(r.form);
    if (r.out == nullptr || r.status == 0 || collects)
        return;
    if (!r.streaming) {
        r.streaming = true;
        r.out->start(r.status, {{"Content-Type", content_type_of(r)},
                                {"X-Request-Id", id}});
    }
    auto index = r.next_index - r.pending.size();
    std::string bytes;
    for (auto const& it : r.pending)
        bytes += written_form(r, id, index++, it);
    r.pending.clear();
    if (bytes.empty())
        return;
    r.out->write(std::move(bytes), [&n, id, index](std::error_code ec) {
        if (!ec)
            handle(n, core::caller_drained{id, index});
    });
}

// Chunks that come in one turn of the loop leave in one write, and a short
// answer that ends in the same turn leaves whole, with its length.
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
        flush(n, id, it->second);
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

void detach(open_request& r)
{
    r.relay = 0;
    r.out.reset();
    r.pending.clear();
    r.streaming = false;
    r.status = 0;
    r.connection_id = 0;
}

// Answers 202 with the id; a request that was refused at once has had its
// answer already.
void accept_for_later(node& n, core::request_id const& id)
{
    auto const it = n.requests.find(id);
    if (it == n.requests.end() || it->second.out == nullptr)
        return;
    it->second.out->send(202,
                         {{"Content-Type", "application/json"},
                          {"X-Request-Id", id},
                          {"Location", std::string(requests_prefix) + id}},
                         "{\"request_id\":\"" + id + "\"}");
    detach(it->second);
    handle(n, core::caller_gone{id});
}

// Candidates that may hold an answer, asked one after the other.
struct reattach_forward
{
    core::request_id id;
    std::string path; // with the query
    std::string authorization;
    std::vector<std::string> holders; // addresses left to ask
    responder_ptr out;
    bool started = false; // an answer is being passed on
};

void ask_next_holder(node& n, std::shared_ptr<reattach_forward> const& f)
{
    http_call call;
    call.url = "http://" + f->holders.front() + f->path;
    f->holders.erase(f->holders.begin());
    call.connect_timeout = n.set.connect_timeout;
    call.headers = {{forwarded_header, n.set.core.name},
                    {"Authorization", f->authorization}};
    call.on_head = [f](int status, header_list const& headers) {
        bool const asks_on = status == 404 && !f->holders.empty();
        if (asks_on)
            return;
        f->started = true;
        f->out->start(status,
                      {{"Content-Type",
                        std::string(header_value(headers, "Content-Type"))},
                       {"X-Request-Id",
                        std::string(header_value(headers, "X-Request-Id"))}});
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

// Asked by a caller of a node that does not hold the answer.
void reattach_elsewhere(node& n, core::request_id const& id,
                        http_request const& in, responder_ptr const& out)
{
    auto holders = core::holders_of(n.state, id);
    bool const forwarded = !header_value(in.headers, forwarded_header).empty();
    bool const other_node = !id.starts_with(n.set.core.name + ".");
    if (forwarded || (holders.empty() && !other_node))
        send_problem(out, id, unknown_answer("no such request here"));
    else if (holders.empty())
        send_problem(out, id,
                     {503, core::outcome::outcome_unknown, core::step::answer,
                      "", "the node that holds the answer is not known here",
                      std::chrono::seconds(1)});
    else
        forward_reattach(n, std::move(holders), id, in, out);
}

// Address of the peer that took a request over from this node.
std::string taken_to(node const& n, core::request_id const& id)
{
    auto const it = n.state.requests.find(id);
    if (it == n.state.requests.end() || it->second.taken_by.empty())
        return {};
    auto const member = n.state.members.find(it->second.taken_by);
    return member == n.state.members.end() ? std::string{}
                                           : member->second.caller_address;
}

void on_reattach(node& n, http_request const& in, responder_ptr const& out)
{
    auto const id = in.path.substr(requests_prefix.size());
    auto const it = n.requests.find(id);
    if (it == n.requests.end()) {
        reattach_elsewhere(n, id, in, out);
        return;
    }
    if (caller_key_digest(in.headers) != it->second.key_digest) {
        send_problem(out, id, unknown_answer("no such request here"));
        return;
    }
    if (auto const address = taken_to(n, id); !address.empty()) {
        forward_reattach(n, {address}, id, in, out);
        return;
    }
    auto const from_text = query_value(in.query, "from");
    std::uint64_t from = 0;
    for (char const c : from_text)
        from = c >= '0' && c <= '9'
                   ? from * 10 + static_cast<std::uint64_t>(c - '0')
                   : from;
    detach(it->second);
    it->second.out = out;
    it->second.connection_id = in.connection_id;
    it->second.next_index = from;
    handle(n, core::reattach{id, from});
}

// Passes on what a peer sends of an answer whose head this node may have sent.
void relay_head(node& n, core::request_id const& id, int status,
                header_list const& headers)
{
    auto const it = n.requests.find(id);
    if (it == n.requests.end() || it->second.out == nullptr)
        return;
    auto& r = it->second;
    flush(n, id, r);
    r.status = status;
    if (r.streaming)
        return;
    r.streaming = true;
    r.out->start(status, {{"Content-Type",
                           std::string(header_value(headers, "Content-Type"))},
                          {"X-Request-Id", id}});
}

void relay_data(node& n, core::request_id const& id, bool begun_here,
                std::string_view data)
{
    auto const it = n.requests.find(id);
    if (it == n.requests.end() || it->second.out == nullptr)
        return;
    // A problem document cannot follow tokens; relay_done() ends the stream.
    bool const refused = begun_here && it->second.status != 200;
    if (!refused)
        it->second.out->write(std::string(data), nullptr);
}

void relay_done(node& n, core::request_id const& id, bool begun_here,
                http_result const& result)
{
    auto const it = n.requests.find(id);
    if (it != n.requests.end() && it->second.out != nullptr) {
        auto& r = it->second;
        bool const broken =
            result.error || (begun_here && result.status != 200);
        auto const why =
            unknown_answer("the node that took the request over is gone; "
                           "ask any node for the rest");
        if (!r.streaming)
            send_problem(r.out, id, why);
        else if (broken && is_raw(r) && !begun_here)
            r.out->abort();
        else {
            if (broken)
                r.out->write(error_event(id, why), nullptr);
            r.out->finish();
        }
        detach(r);
    }
    handle(n, core::relay_ended{id});
}

} // namespace

void on_caller_request(node& n, http_request in, responder_ptr out)
{
    if (in.path.starts_with(requests_prefix) && in.method == "GET") {
        on_reattach(n, in, out);
        return;
    }
    auto const id = new_request_id(n);
    auto parsed = parse_request(in, id);
    if (auto const* const bad = std::get_if<bad_request>(&parsed)) {
        send_problem(out, id,
                     {bad->status, core::outcome::not_run, core::step::admit,
                      "", bad->detail, std::chrono::seconds(0)});
        return;
    }
    auto& it = std::get<parsed_request>(parsed);
    bool const id_only = wants_id_only(in);
    open_request r;
    r.connection_id = in.connection_id;
    r.asked = std::move(in);
    r.key_digest = it.event.key_digest;
    r.form = it.form;
    r.path = std::move(it.path);
    r.out = std::move(out);
    n.requests.emplace(id, std::move(r));
    handle(n, std::move(it.event));
    if (id_only)
        accept_for_later(n, id);
}

void on_caller_closed(node& n, std::uint64_t connection_id)
{
    std::vector<core::request_id> gone;
    for (auto& [id, r] : n.requests) {
        if (r.out == nullptr || r.connection_id != connection_id)
            continue;
        if (r.relay != 0)
            n.client.cancel(r.relay);
        detach(r);
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
    detach(found->second);
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
    bool const collects = !is_raw(r) && !is_stream(r.form);
    if (collects)
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
        flush(n, it.id, r);
        if (!is_raw(r))
            r.out->write(end_event(), nullptr);
        r.out->finish();
    }
    detach(r);
}

void perform(node& n, core::fail_answer const& it)
{
    auto const found = n.requests.find(it.id);
    if (found == n.requests.end() || found->second.out == nullptr)
        return;
    auto& r = found->second;
    if (!r.streaming && !is_stream(r.form)) {
        send_problem(r.out, it.id, it.why);
        detach(r);
        return;
    }
    flush(n, it.id, r);
    // A plain body has no place for an error event: the connection is closed
    // before the last chunk mark, which every client reports as broken.
    if (!is_raw(r)) {
        r.out->write(error_event(it.id, it.why), nullptr);
        r.out->finish();
    }
    else {
        r.out->abort();
    }
    detach(r);
}

void perform(node& n, core::relay const& it)
{
    auto const found = n.requests.find(it.id);
    if (found == n.requests.end() || found->second.out == nullptr) {
        handle(n, core::relay_ended{it.id});
        return;
    }
    auto& r = found->second;
    flush(n, it.id, r);
    bool const begun = r.streaming;
    http_call call;
    call.url = "http://" + it.address + std::string(requests_prefix) + it.id +
               "?from=" + std::to_string(begun ? it.from : 0);
    call.connect_timeout = n.set.connect_timeout;
    call.headers = {{forwarded_header, n.set.core.name},
                    {"Authorization", std::string(header_value(
                                          r.asked.headers, "Authorization"))}};
    call.on_head = [&n, id = it.id](int status, header_list const& headers) {
        relay_head(n, id, status, headers);
    };
    call.on_data = [&n, id = it.id, begun](std::string_view data) {
        relay_data(n, id, begun, data);
    };
    call.on_done = [&n, id = it.id, begun](http_result const& result) {
        relay_done(n, id, begun, result);
    };
    r.relay = n.client.start(std::move(call));
}

core::caller_message message_of(node const& n, core::request_id const& id)
{
    auto const it = n.requests.find(id);
    if (it == n.requests.end())
        return {};
    auto const& in = it->second.asked;
    core::caller_message out{in.method, in.path, in.query, {}, in.body};
    // The caller's key stays here; its digest goes with the request.
    std::ranges::copy_if(
        in.headers, std::back_inserter(out.headers), [](auto const& field) {
            return header_value({field}, "Authorization").data() == nullptr;
        });
    return out;
}

void take_message(node& n, core::hand_over const& it)
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
    r.asked = std::move(in);
    n.requests.emplace(id, std::move(r));
}

void forget_old_requests(node& n)
{
    std::erase_if(n.requests, [&](auto const& it) {
        return it.second.out == nullptr && !n.state.requests.contains(it.first);
    });
}

} // namespace papayahook::runtime
