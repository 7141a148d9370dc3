#include "runtime/http_server.hpp"

#include "codec/text.hpp"
#include "runtime/accept_loop.hpp"
#include "runtime/arriving_requests.hpp"
#include "runtime/guard.hpp"
#include "runtime/heap.hpp"
#include "runtime/logging.hpp"
#include "runtime/refused_connection.hpp"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <cctype>
#include <list>
#include <optional>
#include <restinio/all.hpp>

namespace papayahook::runtime {

namespace {

using asio::ip::tcp;

// With fewer requests open, RESTinio continues to read, so that a closed
// connection is noticed at once and not at the next write.
constexpr std::size_t max_pipelined_requests = 4;
// Practically no limit: the core enforces deadlines, and progress_rules what
// callers must do.
constexpr std::chrono::hours no_time_limit{24};
constexpr std::chrono::milliseconds progress_check_period{250};
constexpr std::chrono::seconds min_log_interval{1};
constexpr std::size_t read_buffer_bytes = 8 * 1024;
// The kernel would take megabytes of answers that a caller does not read, so
// that requests sent ahead would go on being served.
constexpr int send_buffer_bytes = 64 * 1024;

// Reports connections that are closed.
struct state_listener
{
    std::function<void(std::uint64_t)> on_close;

    void state_changed(restinio::connection_state::notice_t const& n)
    {
        using namespace restinio::connection_state;
        if (on_close && std::holds_alternative<closed_t>(n.cause()))
            on_close(n.connection_id());
    }
};

// Counts a connection until its descriptor is closed.
std::shared_ptr<void> count_open(std::shared_ptr<std::size_t> const& n)
{
    ++*n;
    return {nullptr, [n](void*) {
                --*n;
            }};
}

struct traits : restinio::default_single_thread_traits_t
{
    using connection_state_listener_t = state_listener;
    using stream_socket_t = counted_socket;
    // RESTinio's limiter counts a connection that is reset before it is
    // accepted for ever.
    static constexpr bool use_connection_count_limiter = false;
};

using settings = restinio::server_settings_t<traits>;
using connection_settings = restinio::impl::connection_settings_t<traits>;
using connection_factory = restinio::impl::connection_factory_t<traits>;

using write_counter = std::shared_ptr<std::size_t>;

// Counts a write until the returned object and its copies are destroyed, which
// is the case after the write, or when its connection is closed. A write
// without a body has a head or an end.
std::shared_ptr<void> count_write(write_counter const& n,
                                  request_reader_ptr const& connection,
                                  std::size_t bytes = 0)
{
    auto held = connection ? connection->all->hold_answer(connection, bytes + 1)
                           : std::shared_ptr<void>{};
    if (n)
        *n += bytes + 1;
    return {nullptr, [n, bytes, held = std::move(held)](void*) {
                if (n)
                    *n -= bytes + 1;
            }};
}

// Counts an answer that has begun until the result and its copies are
// destroyed.
std::shared_ptr<void> count_begun(request_reader_ptr const& connection)
{
    if (!connection)
        return {};
    ++connection->begun;
    return {nullptr, [connection](void*) {
                --connection->begun;
            }};
}

using parser_context = restinio::impl::http_parser_ctx_t;

parser_context& context_of(http_parser* it)
{
    return *static_cast<parser_context*>(it->data);
}

// Counts what the parser keeps of the request that arrives.
void count_kept(std::size_t bytes)
{
    if (auto* const it = arriving_requests::current)
        it->arrive(bytes);
}

// Returns an error of the parser if the fields of a head, or of a trailer, are
// longer than allowed.
int count_field_bytes(parser_context const& in, std::size_t bytes)
{
    auto* const it = arriving_requests::current;
    if (it == nullptr)
        return 0;
    it->head_bytes += bytes;
    return it->head_bytes > in.m_limits.max_field_value_size() ? -1 : 0;
}

// http_parser, as Debian builds it, allows blanks in names and some control
// bytes in URLs. Passed on, they would mean something else to another reader.
int on_url(http_parser* it, char const* at, std::size_t n)
{
    if (!codec::is_visible({at, n}))
        return -1;
    count_kept(n);
    return restinio::impl::restinio_url_cb(it, at, n);
}

// Nobody reads trailers, so they are not kept.
int on_field_name(http_parser* it, char const* at, std::size_t n)
{
    auto const& in = context_of(it);
    if (!codec::is_visible({at, n}) || count_field_bytes(in, n) != 0)
        return -1;
    if (in.m_leading_headers_completed)
        return 0;
    count_kept(n);
    return restinio::impl::restinio_header_field_cb(it, at, n);
}

int on_field_value(http_parser* it, char const* at, std::size_t n)
{
    auto const& in = context_of(it);
    if (count_field_bytes(in, n) != 0)
        return -1;
    if (in.m_leading_headers_completed)
        return 0;
    // The list of fields grows by doubling.
    bool const is_first_part = !in.m_last_was_value;
    count_kept(n +
               (is_first_part ? 2 * sizeof(restinio::http_header_field_t) : 0));
    return restinio::impl::restinio_header_value_cb(it, at, n);
}

// The header may be ignored (RFC 9110, 7.8). RESTinio does not handle a request
// that arrives before the answer to one with it.
void ignore_upgrade(http_parser& it)
{
    if (it.method != HTTP_CONNECT)
        it.upgrade = 0;
}

int on_head_end(http_parser* it)
{
    count_kept(0);
    if (auto* const r = arriving_requests::current) {
        r->head_bytes = 0;
        r->head_read = true;
    }
    ignore_upgrade(*it);
    return restinio::impl::restinio_headers_complete_cb(it);
}

int on_body(http_parser* it, char const* at, std::size_t n)
{
    count_kept(n);
    return restinio::impl::restinio_body_cb(it, at, n);
}

// RESTinio keeps a record of each chunk, which for chunks of one byte takes
// many times the memory of the body. Nobody reads these records.
int on_chunk(http_parser*)
{
    return 0;
}

http_parser_settings parser_settings()
{
    auto out =
        restinio::impl::create_parser_settings<traits::http_methods_mapper_t>();
    out.on_url = on_url;
    out.on_header_field = on_field_name;
    out.on_header_value = on_field_value;
    out.on_headers_complete = on_head_end;
    out.on_body = on_body;
    out.on_chunk_header = on_chunk;
    return out;
}

class responder final : public http_responder
{
public:
    responder(restinio::request_handle_t request, write_counter unwritten,
              std::shared_ptr<void> open)
        : request_(std::move(request)), unwritten_(std::move(unwritten)),
          open_(std::move(open))
    {
        if (auto* const it = arriving_requests::current)
            counted_in_ = it->shared_from_this();
    }

    // An answer that cannot be sent closes its connection: its caller must not
    // wait.
    void send(int status, header_list const& headers, std::string body) override
    {
        keep_connection();
        try {
            send_whole(status, headers, std::move(body));
            connection_.reset();
        }
        catch (...) {
            close();
            throw;
        }
    }

    void start(int status, header_list const& headers) override
    {
        keep_connection();
        try {
            send_head(status, headers);
        }
        catch (...) {
            stream_.reset();
            close();
            throw;
        }
    }

    void close_after_answer() override { closes_ = true; }

    void write(std::string data, written on_written) override
    {
        if (!stream_)
            return;
        auto counted = count_write(unwritten_, counted_in_, data.size());
        stream_->append_chunk(std::move(data));
        stream_->flush([on_written = std::move(on_written),
                        counted = std::move(counted)](auto const& ec) {
            if (on_written)
                on_written(ec);
        });
    }

    void finish() override
    {
        if (!stream_)
            return;
        stream_->done([counted = count_write(unwritten_, counted_in_),
                       open = std::move(open_),
                       begun = std::move(begun_)](auto const&) {});
        stream_.reset();
    }

    // An empty final write that closes the connection: the terminating chunk of
    // the body is missing, which every client reports as a broken answer.
    void abort() override
    {
        if (!stream_)
            return;
        close();
        stream_.reset();
    }

private:
    void send_whole(int status, header_list const& headers, std::string body)
    {
        auto response = request_->create_response(status_line(status));
        for (auto const& [name, value] : headers)
            response.append_header(name, value);
        if (closes_)
            response.connection_close();
        auto counted = count_write(unwritten_, counted_in_, body.size());
        response.set_body(std::move(body));
        response.done([counted = std::move(counted), open = std::move(open_),
                       begun = std::move(begun_)](auto const&) {});
    }

    void send_head(int status, header_list const& headers)
    {
        stream_.emplace(request_->create_response<restinio::chunked_output_t>(
            status_line(status)));
        for (auto const& [name, value] : headers)
            stream_->append_header(name, value);
        if (closes_)
            stream_->connection_close();
    }

    // The first answer takes the connection out of the request.
    void keep_connection()
    {
        auto const& it = restinio::impl::access_req_connection(*request_);
        if (it)
            connection_ = it;
        begun_ = count_begun(counted_in_);
    }

    void close()
    {
        if (!connection_)
            return;
        restinio::response_output_flags_t const flags{
            restinio::response_parts_attr_t::final_parts,
            restinio::response_connection_attr_t::connection_close};
        restinio::writable_items_container_t no_items;
        connection_->write_response_parts(
            request_->request_id(), flags,
            restinio::write_group_t{std::move(no_items)});
    }

    using stream = restinio::response_builder_t<restinio::chunked_output_t>;

    static restinio::http_status_line_t status_line(int status)
    {
        auto const code = static_cast<std::uint16_t>(status);
        return {restinio::http_status_code_t{code},
                status < 300 ? "OK" : "Error"};
    }

    restinio::request_handle_t request_;
    write_counter unwritten_;
    request_reader_ptr counted_in_;
    restinio::impl::connection_handle_t connection_; // while streaming
    std::optional<stream> stream_;
    std::shared_ptr<void> open_;  // see arriving_requests::complete()
    std::shared_ptr<void> begun_; // from its head on
    bool closes_ = false;
};

// The body stays in the request object, which RESTinio does not change.
http_request convert(restinio::request_handle_t const& request)
{
    auto const& in = *request;
    http_request out;
    out.method = in.header().method().c_str();
    out.path = std::string(in.header().path());
    out.query = std::string(in.header().query());
    out.target = in.header().request_target();
    out.body =
        shared_text(std::shared_ptr<std::string const>(request, &in.body()));
    out.connection_id = in.connection_id();
    // RESTinio holds the head as well until the answer is sent.
    std::size_t head =
        2 * (sizeof out + out.method.size()) + 4 * out.target.size();
    in.header().for_each_field([&](auto const& field) {
        out.headers.emplace_back(field.name(), field.value());
        head += 2 * (field.name().size() + field.value().size() + sizeof field +
                     sizeof out.headers.back());
    });
    out.memory = out.body.size() + head;
    return out;
}

// Of all servers of an event loop; one without a limit of the heap leaves that
// of the others.
void set_limits(arriving_requests& out, http_server_options const& it)
{
    out.max_bytes = it.max_arriving_bytes;
    out.max_unwritten = it.max_unwritten_bytes;
    out.max_intake_heap =
        std::min(out.max_intake_heap, it.max_intake_heap_bytes);
    out.max_heap = std::min(out.max_heap, it.max_heap_bytes);
}

char lower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

} // namespace

bool same_name(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, {}, lower, lower);
}

std::string_view header_value(header_list const& headers, std::string_view name)
{
    auto const it = std::ranges::find_if(headers, [&](auto const& header) {
        return same_name(header.first, name);
    });
    return it == headers.end() ? std::string_view{} : it->second;
}

header_list end_to_end_headers(header_list const& all)
{
    constexpr std::string_view hop_by_hop[] = {"Connection",
                                               "Keep-Alive",
                                               "Content-Length",
                                               "Transfer-Encoding",
                                               "TE",
                                               "Trailer",
                                               "Upgrade",
                                               "Expect",
                                               "Proxy-Connection",
                                               "Proxy-Authorization"};
    auto const listed = codec::split(header_value(all, "Connection"), ',');
    auto const is_one_of = [](auto const& names, std::string_view name) {
        return std::ranges::any_of(
            names, [&](auto const& it) { return same_name(it, name); });
    };
    header_list out;
    std::ranges::copy_if(all, std::back_inserter(out), [&](auto const& it) {
        return !is_one_of(hop_by_hop, it.first) && !is_one_of(listed, it.first);
    });
    return out;
}

std::string query_value(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        auto const pair = query.substr(0, query.find('&'));
        auto const eq = pair.find('=');
        if (pair.substr(0, eq) == name && eq != pair.npos)
            return codec::percent_decoded(pair.substr(eq + 1))
                .value_or(std::string{});
        if (pair.size() == query.size())
            break;
        query.remove_prefix(pair.size() + 1);
    }
    return {};
}

std::string end_of_connection()
{
    auto const* const it = arriving_requests::current;
    if (it == nullptr)
        return "closed here";
    if (it->given_up)
        return "given up";
    if (it->failed == asio::error::eof)
        return it->sent_since_end ? "its caller ended its input, then closed"
                                  : "its caller ended its input";
    return it->failed ? it->failed.message()
                      : "its caller sent no request, or its answer was the "
                        "last";
}

struct http_server::impl
{
    void on_accepted(tcp::socket socket);
    void refuse_caller(tcp::socket socket, std::string_view why);
    void log_refusal();
    void check_progress();

    explicit impl(asio::io_context& io)
        : arriving(arriving_requests::of(io)), progress_timer(io)
    {
    }

    std::shared_ptr<arriving_requests> arriving;
    std::shared_ptr<progress_rules> rules = std::make_shared<progress_rules>();
    asio::steady_timer progress_timer;
    bool stopped = false;
    std::size_t max_connections = 0;
    std::size_t max_intake_heap = 0;
    std::shared_ptr<std::size_t> open; // connections
    std::shared_ptr<state_listener> listener =
        std::make_shared<state_listener>();
    std::unique_ptr<connection_factory> factory;
    std::list<std::weak_ptr<refused_connection>> refused; // oldest first
    std::size_t unlogged = 0; // callers that were refused since the last line
    std::chrono::steady_clock::time_point logged_at{};
    std::optional<accept_loop> acceptor;
};

void http_server::impl::on_accepted(tcp::socket socket)
{
    std::error_code ec;
    auto const caller = socket.remote_endpoint(ec);
    if (ec)
        return; // reset meanwhile
    bool const has_place =
        *open < max_connections && heap_excess(max_intake_heap) == 0;
    if (!has_place && !arriving->make_place(
                          *rules, max_connections / connections_per_refusal)) {
        log_refusal();
        refuse_caller(std::move(socket), "too many connections\n");
        return;
    }
    // Errors are ignored: without the options it works, too.
    socket.set_option(tcp::no_delay(true), ec);
    socket.set_option(asio::socket_base::send_buffer_size(send_buffer_bytes),
                      ec);
    counted_socket it(std::move(socket), rules);
    it.hold(count_open(open));
    factory->create_new_connection(std::move(it), caller, {nullptr})->init();
}

void http_server::impl::log_refusal()
{
    unlogged++;
    auto const now = std::chrono::steady_clock::now();
    if (now < logged_at + min_log_interval)
        return;
    logged_at = now;
    write_log({events::callers_refused, "", "",
               std::to_string(std::exchange(unlogged, 0)) + " callers; " +
                   std::to_string(*open) + " of " +
                   std::to_string(max_connections) + " connections, heap of " +
                   std::to_string(heap_bytes()) + " bytes, at most " +
                   std::to_string(max_intake_heap)});
}

void http_server::impl::refuse_caller(tcp::socket socket, std::string_view why)
{
    std::erase_if(refused, [](auto const& it) { return it.expired(); });
    if (refused.size() > max_connections / connections_per_refusal) {
        if (auto const oldest = refused.front().lock())
            oldest->close();
        refused.pop_front();
    }
    refused.push_back(refuse_connection(std::move(socket), why));
}

void http_server::impl::check_progress()
{
    arriving->close_slow(*rules);
    if (stopped && *open == 0)
        return;
    progress_timer.expires_after(progress_check_period);
    progress_timer.async_wait([this](auto ec) {
        if (!ec)
            check_progress();
    });
}

http_server::http_server(asio::io_context& io,
                         http_server_options const& options, handler on_request)
    : impl_(std::make_unique<impl>(io))
{
    auto const arriving = impl_->arriving;
    set_limits(*arriving, options);
    impl_->max_intake_heap = options.max_intake_heap_bytes;
    auto& rules = *impl_->rules;
    rules.header_timeout = options.header_timeout;
    rules.idle_timeout = options.idle_timeout;
    rules.write_timeout = options.write_timeout;
    rules.min_rate = options.min_rate;
    rules.refuse = [it = impl_.get()](auto socket, auto why) {
        it->refuse_caller(std::move(socket), why);
    };
    impl_->max_connections = options.max_connections;
    impl_->listener->on_close = options.on_close;
    impl_->open = options.open_connections ? options.open_connections
                                           : std::make_shared<std::size_t>(0);
    auto limits = restinio::incoming_http_msg_limits_t{}
                      .max_url_size(options.max_header_bytes)
                      .max_field_name_size(options.max_header_bytes)
                      .max_field_value_size(options.max_header_bytes)
                      .max_field_count(options.max_header_count)
                      .max_body_size(options.max_body_bytes);
    settings set;
    set.max_pipelined_requests(max_pipelined_requests)
        .buffer_size(read_buffer_bytes)
        .handle_request_timeout(no_time_limit)
        .read_next_http_message_timelimit(no_time_limit)
        .write_http_response_timelimit(no_time_limit)
        .incoming_http_msg_limits(limits)
        .connection_state_listener(impl_->listener)
        .request_handler([on_request = std::move(on_request), arriving,
                          unwritten = options.unwritten](auto request) {
            if (arriving->ignores())
                return restinio::request_accepted();
            bool const is_last = !request->header().should_keep_alive();
            auto in = convert(request);
            auto out = std::make_shared<responder>(
                std::move(request), unwritten, arriving->complete(is_last));
            // RESTinio would close the connection without a word.
            if (!run_guarded("request",
                             [&] { on_request(std::move(in), out); }))
                run_guarded("answer to a failed request", [&] {
                    out->close_after_answer();
                    out->send(500, {}, "the request could not be read\n");
                });
            return restinio::request_accepted();
        });
    auto const timers = set.timer_factory()->create(io);
    timers->start();
    impl_->factory = std::make_unique<connection_factory>(
        std::make_shared<connection_settings>(set, parser_settings(), timers),
        set.socket_options_setter());
    impl_->acceptor.emplace(
        io,
        tcp::endpoint(asio::ip::make_address(options.address), options.port),
        [it = impl_.get()](auto socket) {
            it->on_accepted(std::move(socket));
        });
    impl_->check_progress();
}

// Connections may outlive the server.
http_server::~http_server()
{
    impl_->rules->refuse = nullptr;
}

void http_server::stop()
{
    impl_->stopped = true;
    impl_->acceptor->close();
}

} // namespace papayahook::runtime
