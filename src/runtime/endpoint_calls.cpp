// Calls to endpoints and their answers.
#include "codec/text.hpp"
#include "runtime/node.hpp"

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <limits>
#include <nlohmann/json.hpp>

namespace papayahook::runtime {

namespace {

using namespace std::chrono_literals;

constexpr auto load_poll_timeout = 1s;
// These headers apply to one connection or to this node.
constexpr std::array excluded_headers{"Host",
                                      "Connection",
                                      "Authorization",
                                      "Content-Length",
                                      "Keep-Alive",
                                      "Transfer-Encoding",
                                      "TE",
                                      "Trailer",
                                      "Upgrade",
                                      "Expect"};

header_list forwarded_headers(http_request const& in)
{
    header_list out;
    std::ranges::copy_if(
        in.headers, std::back_inserter(out), [](auto const& it) {
            header_list const one{it};
            return std::ranges::none_of(
                excluded_headers, [&](char const* name) {
                    return header_value(one, name).data() != nullptr;
                });
        });
    return out;
}

void on_head(node& n, core::call_id call, int status,
             header_list const& headers)
{
    auto const it = n.calls.find(call);
    if (it == n.calls.end())
        return;
    auto const type = header_value(headers, "Content-Type");
    bool const event_stream = type.starts_with("text/event-stream");
    it->second.raw = !it->second.model || status != 200 || !event_stream;
    core::answer_head head;
    head.call = call;
    head.status = status;
    head.content_type = type;
    head.not_run = header_value(headers, "X-Not-Run") == "1";
    head.leaving = header_value(headers, "X-Leaving") == "1";
    auto const pause = header_value(headers, "Retry-After");
    if (status == 503 && pause.data() != nullptr) {
        auto const time = codec::parse_seconds(pause, core::max_endpoint_pause);
        head.pause = time.value_or(0ms);
        head.malformed_header = time ? "" : "Retry-After";
    }
    handle(n, head);
}

// Handles one line of a runner's event stream.
void on_line(node& n, core::call_id call, std::string_view line)
{
    auto const token = parse_runner_line(line);
    auto const it = n.calls.find(call);
    if (!token || it == n.calls.end())
        return;
    auto& c = it->second;
    if (token->done) {
        c.done_seen = true;
        return;
    }
    auto const index = token->index.value_or(c.next_index);
    c.next_index = std::max(c.next_index, index + 1);
    handle(n, core::answer_chunk{call, index, token->text});
}

void on_data(node& n, core::call_id call, std::string_view data)
{
    auto it = n.calls.find(call);
    if (it == n.calls.end())
        return;
    if (it->second.raw) {
        auto const index = it->second.next_index++;
        handle(n, core::answer_chunk{call, index, std::string(data)});
        return;
    }
    it->second.partial_line += data;
    auto lines = std::move(it->second.partial_line);
    std::string_view rest = lines;
    for (auto end = rest.find('\n'); end != rest.npos; end = rest.find('\n')) {
        auto line = rest.substr(0, end);
        rest.remove_prefix(end + 1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        on_line(n, call, line);
    }
    it = n.calls.find(call); // handling a line may have ended the call
    if (it != n.calls.end())
        it->second.partial_line = std::string(rest);
}

void on_done(node& n, core::call_id call, http_result const& result)
{
    auto const node = n.calls.extract(call);
    if (node.empty())
        return;
    auto const& c = node.mapped();
    bool const whole = c.raw || c.done_seen;
    if (!result.error && whole)
        handle(n, core::answer_end{call, c.next_index, result.framed});
    else if (result.error)
        handle(n, core::call_failed{call, step_of(result.step),
                                    result.may_have_run, result.error.message(),
                                    result.closed_by_server, result.status});
    else
        handle(n, core::call_failed{call, core::step::receive, true,
                                    "the stream ended without its end mark"});
}

void on_load(node& n, std::string const& endpoint,
             std::string const& incarnation, std::string const& body)
{
    auto const j = nlohmann::json::parse(body, nullptr, false);
    if (!j.is_object())
        return;
    core::endpoint_report report;
    report.endpoint = endpoint;
    report.incarnation = incarnation;
    try {
        report.leaving = j.value("leaving", false);
        report.running = j.value("running", 0);
        report.waiting = j.value("waiting", 0);
    }
    catch (nlohmann::json::exception const&) {
        return;
    }
    handle(n, report);
}

void poll(node& n, core::endpoint const& e)
{
    http_call call;
    call.url = "http://" + e.address + "/load";
    call.connect_timeout = n.options.connect_timeout;
    call.total_timeout = load_poll_timeout;
    auto body = std::make_shared<std::string>();
    call.on_data = [body](std::string_view data) {
        *body += data;
    };
    call.on_done = [&n, body, name = e.name,
                    incarnation = e.incarnation](http_result const& result) {
        if (!result.error && result.status == 200)
            on_load(n, name, incarnation, *body);
    };
    n.client.start(std::move(call));
}

} // namespace

core::step step_of(std::string const& name)
{
    if (name == "connect")
        return core::step::connect;
    if (name == "route")
        return core::step::route;
    if (name == "send")
        return core::step::send;
    return core::step::receive;
}

void perform(node& n, core::dispatch const& it)
{
    auto const found = n.requests.find(it.id);
    if (found == n.requests.end())
        return;
    auto const& r = found->second;
    bool const model = it.kind == core::endpoint_kind::model_runner;
    http_call call;
    call.method = r.request.method;
    call.headers = forwarded_headers(r.request);
    call.headers.emplace_back("X-Request-Id", it.id);
    call.url = "http://" + it.address + (model ? r.request.path : r.path);
    call.body =
        model
            ? shared_text(runner_body(r.request.body, it.id, it.resume_chunks))
            : r.request.body;
    call.connect_timeout = n.options.connect_timeout;
    call.fresh_connection = it.fresh_connection;
    call.limited = true;
    // No limit: the body is forwarded as it arrives, at the caller's pace.
    call.max_body_bytes = std::numeric_limits<std::size_t>::max();
    auto const id = it.call;
    call.may_send = [&n, id] {
        return core::may_send_call(n.state, id, now(n));
    };
    call.on_head = [&n, id](int status, header_list const& headers) {
        on_head(n, id, status, headers);
    };
    call.on_data = [&n, id](std::string_view data) {
        on_data(n, id, data);
    };
    call.on_done = [&n, id](http_result const& result) {
        on_done(n, id, result);
    };
    open_call c;
    c.model = model;
    c.next_index = it.resume_chunks.size();
    start_call(n.client, n.calls, id, std::move(c), std::move(call));
}

void perform(node& n, core::cancel_call const& it)
{
    auto const node = n.calls.extract(it.call);
    if (!node.empty())
        n.client.cancel(node.mapped().transfer);
}

void perform(node& n, core::pause_call const& it)
{
    auto const found = n.calls.find(it.call);
    if (found != n.calls.end())
        n.client.pause(found->second.transfer);
}

void perform(node& n, core::resume_call const& it)
{
    auto const found = n.calls.find(it.call);
    if (found != n.calls.end())
        n.client.resume(found->second.transfer);
}

namespace {

// Time for which a connection must stay open: a process that ends may accept
// connections until its listener is closed.
constexpr auto check_hold_time = 100ms;
constexpr int max_check_connects = 3;

struct endpoint_check
{
    node& n;
    core::check_endpoint what;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    int connects = 0;
    std::array<char, 1> buf{};
};
using endpoint_check_ptr = std::shared_ptr<endpoint_check>;

void report(endpoint_check& c, bool refuses)
{
    std::error_code ec; // ignored: the connection is given up anyway
    c.timer.cancel();
    c.socket.close(ec);
    handle(c.n, core::endpoint_checked{c.what.endpoint, c.what.incarnation,
                                       refuses});
}

// The operation on the socket ends with an error after this time.
void close_after(endpoint_check_ptr const& c, std::chrono::milliseconds time)
{
    c->timer.expires_after(time);
    c->timer.async_wait([c](auto ec) {
        std::error_code ignored; // the connection is given up anyway
        if (!ec)
            c->socket.close(ignored);
    });
}

void connect_to_endpoint(endpoint_check_ptr const& c, address const& at);

void watch_connection(endpoint_check_ptr const& c, address const& at)
{
    close_after(c, check_hold_time);
    c->socket.async_read_some(asio::buffer(c->buf), [c, at](auto ec, auto) {
        bool const is_closed_by_peer =
            ec && ec != asio::error::operation_aborted;
        if (!is_closed_by_peer || c->connects >= max_check_connects) {
            report(*c, false);
            return;
        }
        std::error_code ignored; // a new connection follows
        c->socket.close(ignored);
        connect_to_endpoint(c, at);
    });
}

void connect_to_endpoint(endpoint_check_ptr const& c, address const& at)
{
    c->connects++;
    close_after(c, c->n.options.connect_timeout);
    c->socket.async_connect(
        {asio::ip::make_address(at.ip), at.port}, [c, at](auto ec) {
            if (ec)
                report(*c, ec == asio::error::connection_refused);
            else
                watch_connection(c, at);
        });
}

} // namespace

void perform(node& n, core::check_endpoint const& it)
{
    auto const at = parse_address(it.address);
    if (!at)
        return;
    connect_to_endpoint(
        std::make_shared<endpoint_check>(endpoint_check{
            n, it, asio::ip::tcp::socket(n.io), asio::steady_timer(n.io)}),
        *at);
}

// Each node polls a few endpoints per second and starts at an endpoint chosen
// by the hash of its name, so that all nodes together poll every endpoint often
// at any fleet size.
void poll_endpoints(node& n)
{
    auto const period = std::chrono::milliseconds(
        static_cast<int>(1000 / n.options.polls_per_second));
    run_after(n, period, [&n] { poll_endpoints(n); });
    auto const& all = n.state.config.endpoints;
    if (!all.empty()) {
        auto const start = core::hash_of(n.options.core.name);
        auto const at = (start + n.next_poll++) % all.size();
        poll(n, std::next(all.begin(), static_cast<long>(at))->second.value);
    }
}

} // namespace papayahook::runtime
