// Existing clients do not fit: libcurl resends a request by itself when a
// reused connection closes without an answer, and no client distinguishes bytes
// that arrived before a request was sent from the answer to it.
#include "runtime/http_client.hpp"

#include "codec/text.hpp"
#include "runtime/answer_reader.hpp"
#include "runtime/guard.hpp"
#include "runtime/refused_connection.hpp"

#include <algorithm>
#include <array>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <list>
#include <map>
#include <netinet/tcp.h>

namespace papayahook::runtime {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr std::size_t receive_buffer_bytes = 8 * 1024;
constexpr std::size_t max_idle_per_key = 8;
// Calls after which a connection is not used again.
constexpr std::size_t max_calls_per_connection = 256;
// Idle connections are closed before the server closes them. Most servers keep
// them for at least a few seconds; a Keep-Alive header may announce less.
constexpr auto max_idle_time = 4s;
constexpr auto keep_alive_margin = 500ms;
// A connection whose data is not acknowledged for this long is lost.
constexpr unsigned unacknowledged_timeout_ms = 4'000;

enum class fault
{
    premature_end = 1,
    given_up,
    timed_out,
    unsolicited_bytes,
    wrong_echo,
    bad_url,
    bad_header,
    too_long,
    no_connection_left,
    withheld,
};

class fault_category_type final : public std::error_category
{
public:
    char const* name() const noexcept override { return "http"; }
    std::string message(int code) const override
    {
        switch (static_cast<fault>(code)) {
        case fault::given_up:
            return "the answer could not be handled";
        case fault::premature_end:
            return "the connection ended before the answer did";
        case fault::timed_out:
            return "no answer in time";
        case fault::unsolicited_bytes:
            return "bytes came that no request had asked for";
        case fault::wrong_echo:
            return "the answer belongs to another request";
        case fault::bad_url:
            return "http://ip:port/path is expected";
        case fault::bad_header:
            return "a header has bytes that none may have";
        case fault::too_long:
            return "the answer is longer than any that is expected";
        case fault::no_connection_left:
            return "this node has no connection left";
        case fault::withheld:
            return "the endpoint may be called no more";
        }
        return "unknown";
    }
};

std::error_code make_error(fault it)
{
    static fault_category_type const category;
    return {static_cast<int>(it), category};
}

struct target
{
    tcp::endpoint address;
    std::string authority;
    std::string path;
};

std::optional<target> parse_url(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme))
        return std::nullopt;
    url.remove_prefix(scheme.size());
    auto const slash = std::min(url.find('/'), url.size());
    auto const authority = url.substr(0, slash);
    auto const colon = authority.rfind(':');
    if (colon == authority.npos)
        return std::nullopt;
    std::uint16_t port = 0;
    auto const digits = authority.substr(colon + 1);
    auto const [end, failed] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    std::error_code ec;
    auto const ip =
        asio::ip::make_address(std::string(authority.substr(0, colon)), ec);
    if (failed != std::errc{} || end != digits.data() + digits.size() || ec)
        return std::nullopt;
    auto path = std::string(url.substr(slash));
    if (!codec::is_visible(path))
        return std::nullopt;
    return target{{ip, port},
                  std::string(authority),
                  path.empty() ? std::string("/") : std::move(path)};
}

// Names and values come from callers, endpoints and the operator. A line end in
// them would begin another header, or another request.
bool is_sendable(std::pair<std::string, std::string> const& header)
{
    auto const& [name, value] = header;
    auto const is_allowed = [](unsigned char it) {
        return it == '\t' || (it >= ' ' && it != 0x7f);
    };
    return !name.empty() && codec::is_visible(name) &&
           name.find(':') == name.npos &&
           std::ranges::all_of(value, is_allowed);
}

// Returns all that precedes the body.
std::string serialize_head(http_call const& call, target const& to)
{
    std::string out;
    auto const add = [&](auto const&... parts) {
        ((out += parts), ...);
    };
    add(call.method, " ", to.path, " HTTP/1.1\r\n");
    if (header_value(call.headers, "Host").data() == nullptr)
        add("Host: ", to.authority, "\r\n");
    for (auto const& [name, value] : call.headers)
        add(name, ": ", value, "\r\n");
    bool const has_length = !call.body.empty() || call.method == "POST" ||
                            call.method == "PUT" || call.method == "PATCH";
    if (has_length)
        add("Content-Length: ", std::to_string(call.body.size()), "\r\n");
    add("\r\n");
    return out;
}

struct transfer
{
    std::uint64_t id = 0;
    http_call call;
    std::string head_bytes;
    int status = 0;
    bool sent_any = false;
    bool paused = false;
};

} // namespace

namespace {

struct connection;
using connection_ptr = std::shared_ptr<connection>;
using clock = std::chrono::steady_clock;

} // namespace

struct http_client::impl : std::enable_shared_from_this<impl>
{
    impl(asio::io_context& it, std::size_t max) : io(it), max_limited(max) {}

    asio::io_context& io;
    std::size_t max_limited;
    refusal_counts refused_answers;
    std::size_t limited = 0; // connections of limited calls, also idle ones
    std::map<std::uint64_t, connection_ptr> open;          // by transfer id
    std::map<std::string, std::list<connection_ptr>> idle; // newest first
    std::uint64_t next_id = 1;
};

namespace {

using client_ptr = std::shared_ptr<http_client::impl>;

// A connection and the call that uses it. Reading continues while it is idle,
// so that its end or unsolicited bytes are noticed before the next use.
struct connection : std::enable_shared_from_this<connection>
{
    connection(client_ptr it, std::string k, bool is_limited)
        : client(std::move(it)), key(std::move(k)), limited(is_limited),
          socket(client->io), timer(client->io)
    {
        client->limited += limited ? 1 : 0;
    }

    client_ptr client; // reset when closed
    std::string key;
    bool limited;
    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, receive_buffer_bytes> buf{};
    std::unique_ptr<transfer> call;      // empty while idle
    std::optional<answer_reader> answer; // to the newest call
    bool connected = false;
    bool reading = false;
    bool writing = false;
    std::error_code send_error;
    bool end_awaits_send = false; // see ends_unclearly()
    bool complete = false;        // the answer is complete
    bool is_last = false;         // no call may follow on this connection
    std::size_t body_bytes = 0;   // received bytes of the answer's body
    clock::time_point usable_until{};
    // Hashes of the echoed values of its calls. A server may repeat an earlier
    // answer, which would pass for the answer to a call with the same value.
    std::vector<std::size_t> echoed_values;
};

std::size_t echo_hash(http_call const& call)
{
    return std::hash<std::string>{}(call.echoed_header->second);
}

// In the ordinary way the kernel goes on sending what the server has not
// acknowledged, for as long as unacknowledged_timeout_ms.
void reset_on_close(connection& c)
{
    std::error_code ec; // ignored: the connection is given up anyway
    c.socket.set_option(asio::socket_base::linger(true, 0), ec);
}

void close(connection& c)
{
    if (!c.client)
        return;
    if (c.call && !c.complete)
        reset_on_close(c);
    auto const client = std::move(c.client);
    c.client.reset();
    client->limited -= c.limited ? 1 : 0;
    if (c.call)
        client->open.erase(c.call->id);
    auto const it = client->idle.find(c.key);
    if (it != client->idle.end()) {
        std::erase_if(it->second, [&](auto const& n) { return n.get() == &c; });
        if (it->second.empty())
            client->idle.erase(it);
    }
    std::error_code ec; // ignored: the connection is given up anyway
    c.timer.cancel(ec);
    c.socket.close(ec);
}

bool is_closed_by_server(std::error_code ec)
{
    return ec == make_error(fault::premature_end) ||
           ec == asio::error::connection_reset ||
           ec == asio::error::broken_pipe;
}

void fail(connection_ptr const& c, std::error_code ec, std::string step)
{
    if (!c->client)
        return;
    if (!c->complete)
        reset_on_close(*c);
    if (auto const* const rule = rule_name(ec))
        ++c->client->refused_answers[rule];
    auto const t = std::move(c->call);
    if (t)
        c->client->open.erase(t->id);
    close(*c);
    if (!t || !t->call.on_done)
        return;
    http_result out;
    out.error = ec;
    out.step = std::move(step);
    out.status = t->status;
    out.may_have_run = t->sent_any;
    out.closed_by_server = t->sent_any && is_closed_by_server(ec);
    t->call.on_done(out);
}

void read_more(connection_ptr const& c);

void keep_idle(connection_ptr const& c)
{
    auto& list = c->client->idle[c->key];
    if (list.size() >= max_idle_per_key) {
        close(*c);
        return;
    }
    list.push_front(c);
    c->timer.expires_at(c->usable_until);
    c->timer.async_wait([c](auto ec) {
        if (!ec && c->client && !c->call)
            close(*c);
    });
    read_more(c);
}

clock::duration usable_idle_time(header_list const& headers)
{
    constexpr std::string_view field = "timeout=";
    auto const text = header_value(headers, "Keep-Alive");
    auto const at = text.find(field);
    if (at == text.npos)
        return max_idle_time;
    int seconds = 0;
    auto const from = text.data() + at + field.size();
    std::from_chars(from, text.data() + text.size(), seconds);
    auto const announced =
        std::chrono::milliseconds(std::chrono::seconds(seconds)) -
        keep_alive_margin;
    return std::clamp<clock::duration>(announced, 0ms, max_idle_time);
}

// Ends a call whose answer is complete. A server may answer before it has read
// the whole request body and then continue to read it, so the connection is
// free only when the whole request has been written.
void finish(connection_ptr const& c)
{
    if (c->writing || !c->complete || !c->call || !c->client)
        return;
    bool const keep = !c->is_last && c->answer->keeps_connection() &&
                      c->echoed_values.size() < max_calls_per_connection;
    auto const t = std::move(c->call);
    c->client->open.erase(t->id);
    c->timer.cancel();
    c->usable_until = clock::now() + usable_idle_time(c->answer->headers());
    if (keep && c->usable_until > clock::now())
        keep_idle(c);
    else
        close(*c);
}

void report_done(connection_ptr const& c)
{
    c->complete = true;
    auto const done = std::move(c->call->call.on_done);
    c->call->call.on_done = nullptr;
    http_result out;
    out.status = c->call->status;
    out.may_have_run = true;
    out.framed = c->answer->is_framed();
    finish(c);
    if (done)
        done(out);
}

std::error_code on_head(connection& c, int status, header_list const& headers)
{
    if (!c.call)
        return make_error(fault::given_up);
    auto& call = c.call->call;
    if (call.echoed_header &&
        header_value(headers, call.echoed_header->first) !=
            std::string_view(call.echoed_header->second))
        return make_error(fault::wrong_echo);
    c.call->status = status;
    bool const handled = !call.on_head || run_guarded("head of an answer", [&] {
        call.on_head(status, headers);
    });
    return handled ? std::error_code{} : make_error(fault::given_up);
}

std::error_code on_body(connection& c, std::string_view data)
{
    if (!c.call)
        return make_error(fault::given_up); // a callback has cancelled it
    c.body_bytes += data.size();
    if (c.body_bytes > c.call->call.max_body_bytes)
        return make_error(fault::too_long);
    auto const& on_data = c.call->call.on_data;
    bool const handled =
        !on_data || run_guarded("data of an answer", [&] { on_data(data); });
    return handled && c.call ? std::error_code{} : make_error(fault::given_up);
}

void on_received(connection_ptr const& c, std::size_t n)
{
    if (!c->call) {
        close(*c); // late or duplicate answer on an idle connection
        return;
    }
    if (c->complete) {
        fail(c, make_error(fault::unsolicited_bytes), "receive");
        return;
    }
    std::error_code ec;
    bool const extra = c->answer->read({c->buf.data(), n}, ec) != 0;
    if (!c->client || !c->call)
        return; // cancelled by a callback
    if (ec) {
        fail(c, ec, "receive");
        return;
    }
    if (!c->answer->is_complete()) {
        read_more(c);
        return;
    }
    c->is_last = extra;
    report_done(c);
    if (extra)
        close(*c);
    else if (c->client && c->call)
        read_more(c); // the rest of the request is still being written
}

// A socket reports its reset once, maybe to a write. A read then finds the end
// of the connection, as it does if the server has ended its side; in that case
// the write fails with a broken pipe.
bool was_reset(connection const& c)
{
    return c.send_error && c.send_error != asio::error::broken_pipe;
}

// The write has failed, or is about to, and its handler runs after that of the
// read.
bool ends_unclearly(connection& c)
{
    return c.writing && tcp_state(c.socket) == TCP_CLOSE;
}

void on_end(connection_ptr const& c, std::error_code ec)
{
    if (!c->call || c->complete) {
        close(*c);
        return;
    }
    if (ec == asio::error::eof && ends_unclearly(*c)) {
        c->end_awaits_send = true;
        return;
    }
    if (ec == asio::error::eof && was_reset(*c))
        ec = c->send_error;
    if (ec != asio::error::eof) {
        fail(c, ec, "receive");
        return;
    }
    c->answer->end(ec);
    if (!c->client || !c->call)
        return;
    if (ec) {
        fail(c, make_error(fault::premature_end), "receive");
        return;
    }
    report_done(c);
    close(*c);
}

void read_more(connection_ptr const& c)
{
    if (c->reading || !c->client || (c->call && c->call->paused))
        return;
    c->reading = true;
    c->socket.async_read_some(asio::buffer(c->buf),
                              [c](auto ec, std::size_t n) {
                                  c->reading = false;
                                  if (!c->client)
                                      return;
                                  if (ec)
                                      on_end(c, ec);
                                  else
                                      on_received(c, n);
                              });
}

void send(connection_ptr const& c)
{
    // Not by shared_ptr: the connection owns the reader.
    c->answer.emplace(
        answer_handlers{[it = c.get()](int status, auto const& headers) {
                            return on_head(*it, status, headers);
                        },
                        [it = c.get()](std::string_view data) {
                            return on_body(*it, data);
                        }},
        c->call->call.method == "HEAD");
    c->complete = false;
    c->send_error = {};
    c->end_awaits_send = false;
    c->body_bytes = 0;
    c->writing = true;
    c->call->sent_any = true;
    if (c->call->call.echoed_header)
        c->echoed_values.push_back(echo_hash(c->call->call));
    // The call may end before it is written.
    auto const head =
        std::make_shared<std::string>(std::move(c->call->head_bytes));
    auto const body = c->call->call.body;
    std::array<asio::const_buffer, 2> const bytes{asio::buffer(*head),
                                                  asio::buffer(body.get())};
    asio::async_write(c->socket, bytes, [c, head, body](auto ec, std::size_t) {
        c->writing = false;
        c->send_error = ec;
        if (!c->client)
            return;
        if (c->end_awaits_send)
            on_end(c, asio::error::eof);
        else if (!ec)
            finish(c);
        else if (c->complete)
            close(*c);
        // Otherwise an answer may still be readable; the read reports the end
        // of the connection.
    });
    read_more(c);
}

void start_timeout(connection_ptr const& c, std::chrono::milliseconds timeout,
                   char const* step)
{
    c->timer.expires_after(timeout);
    c->timer.async_wait([c, step](auto ec) {
        if (!ec && c->client && c->call)
            fail(c, make_error(fault::timed_out), step);
    });
}

void set_options(tcp::socket& socket)
{
    std::error_code ec; // ignored: nothing depends on these options
    socket.set_option(tcp::no_delay(true), ec);
    socket.set_option(
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
            unacknowledged_timeout_ms),
        ec);
}

void on_connected(connection_ptr const& c, std::error_code ec)
{
    if (!c->client || !c->call)
        return;
    if (ec) {
        fail(c, ec, "connect");
        return;
    }
    if (c->call->call.may_send && !c->call->call.may_send()) {
        fail(c, make_error(fault::withheld), "route");
        return;
    }
    c->connected = true;
    set_options(c->socket);
    c->timer.cancel();
    auto const total = c->call->call.total_timeout;
    if (total > 0ms)
        start_timeout(c, total, "timeout");
    send(c);
}

// Takes the newest idle connection that the call may use; null if there is
// none. Connections that the server has closed are no longer in the list, and
// expired ones are closed by their timers.
connection_ptr take_idle(http_client::impl& client, std::string const& key,
                         http_call const& call)
{
    auto const list = client.idle.find(key);
    if (list == client.idle.end())
        return nullptr;
    auto const it = std::ranges::find_if(list->second, [&](auto const& c) {
        bool const is_repeat =
            call.echoed_header &&
            std::ranges::find(c->echoed_values, echo_hash(call)) !=
                c->echoed_values.end();
        return !is_repeat && c->usable_until > clock::now();
    });
    if (it == list->second.end())
        return nullptr;
    auto out = *it;
    list->second.erase(it);
    if (list->second.empty())
        client.idle.erase(list);
    return out;
}

// Returns false if all limited connections are in use.
bool make_room(http_client::impl& client)
{
    if (client.limited < client.max_limited)
        return true;
    connection_ptr oldest;
    for (auto const& [key, list] : client.idle)
        for (auto const& c : list)
            if (c->limited &&
                (!oldest || c->usable_until < oldest->usable_until))
                oldest = c;
    if (oldest)
        close(*oldest);
    return oldest != nullptr;
}

} // namespace

http_client::http_client(asio::io_context& io, std::size_t max_limited)
    : impl_(std::make_shared<impl>(io, max_limited))
{
}

http_client::~http_client()
{
    std::vector<connection_ptr> all;
    for (auto const& [id, c] : impl_->open)
        all.push_back(c);
    for (auto const& [key, list] : impl_->idle)
        all.insert(all.end(), list.begin(), list.end());
    for (auto const& c : all)
        close(*c);
}

std::uint64_t http_client::start(http_call call)
{
    auto const id = impl_->next_id++;
    auto t = std::make_unique<transfer>();
    t->id = id;
    t->call = std::move(call);
    auto const to = parse_url(t->call.url);
    if (!to || !std::ranges::all_of(t->call.headers, is_sendable)) {
        auto const why = make_error(to ? fault::bad_header : fault::bad_url);
        asio::post(impl_->io, [why, done = std::move(t->call.on_done)] {
            if (done)
                done({why, "connect", 0, false});
        });
        return id;
    }
    t->head_bytes = serialize_head(t->call, *to);
    auto const key = to->authority + "/" + t->call.connection_group;
    auto c =
        t->call.fresh_connection ? nullptr : take_idle(*impl_, key, t->call);
    if (c) {
        c->timer.cancel();
        c->call = std::move(t);
        impl_->open[id] = c;
        if (c->call->call.total_timeout > 0ms)
            start_timeout(c, c->call->call.total_timeout, "timeout");
        send(c);
        return id;
    }
    if (t->call.limited && !make_room(*impl_)) {
        asio::post(impl_->io, [done = std::move(t->call.on_done)] {
            if (done)
                done({make_error(fault::no_connection_left), "send", 0, false});
        });
        return id;
    }
    c = std::make_shared<connection>(impl_, key, t->call.limited);
    c->call = std::move(t);
    impl_->open[id] = c;
    start_timeout(c, c->call->call.connect_timeout, "connect");
    c->socket.async_connect(to->address, [c](auto ec) { on_connected(c, ec); });
    return id;
}

std::size_t http_client::limited_connections() const
{
    return impl_->limited;
}

refusal_counts const& http_client::refused_answers() const
{
    return impl_->refused_answers;
}

void http_client::cancel(std::uint64_t id)
{
    auto const it = impl_->open.find(id);
    if (it == impl_->open.end())
        return;
    auto const c = it->second;
    impl_->open.erase(it);
    if (!c->complete)
        reset_on_close(*c);
    // The parser may be running a callback of this call, which must not be
    // destroyed before it returns.
    asio::post(impl_->io,
               [t = std::shared_ptr<transfer>(std::move(c->call))] {});
    close(*c);
}

void http_client::fail_calls(std::string const& connection_group)
{
    std::vector<connection_ptr> given_up;
    for (auto const& [id, c] : impl_->open)
        if (c->call && c->call->call.connection_group == connection_group)
            given_up.push_back(c);
    for (auto const& c : given_up)
        fail(c, asio::error::operation_aborted, "cancel");
}

void http_client::pause(std::uint64_t id)
{
    auto const it = impl_->open.find(id);
    if (it != impl_->open.end())
        it->second->call->paused = true;
}

void http_client::resume(std::uint64_t id)
{
    auto const it = impl_->open.find(id);
    if (it == impl_->open.end())
        return;
    it->second->call->paused = false;
    if (it->second->connected)
        read_more(it->second);
}

http_answer fetch(http_call call)
{
    asio::io_context io;
    http_client client(io);
    http_answer out;
    bool done = false;
    call.on_head = [&](int, header_list const& it) {
        out.headers = it;
    };
    call.on_data = [&](std::string_view it) {
        out.body += it;
    };
    call.on_done = [&](http_result const& it) {
        out.result = it;
        done = true;
    };
    client.start(std::move(call));
    while (!done && io.run_one() != 0) {
    }
    return out;
}

} // namespace papayahook::runtime
