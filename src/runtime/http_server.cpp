#include "runtime/http_server.hpp"

#include "codec/text.hpp"
#include "runtime/accept_loop.hpp"
#include "runtime/arriving_requests.hpp"
#include "runtime/guard.hpp"
#include "runtime/refused_connection.hpp"

#include <algorithm>
#include <cctype>
#include <list>
#include <optional>
#include <restinio/all.hpp>

namespace papayahook::runtime {

namespace {

using asio::ip::tcp;

// With two pipelined requests RESTinio continues to read while an answer is
// open, so that a closed connection is noticed at once and not at the next
// write.
constexpr std::size_t max_pipelined_requests = 2;
// Practically no limit: the core enforces deadlines.
constexpr std::chrono::hours handler_time_limit{24};
constexpr std::size_t read_buffer_bytes = 8 * 1024;

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
std::shared_ptr<void> count_write(write_counter const& n, std::size_t bytes = 0)
{
    if (!n)
        return {};
    *n += bytes + 1;
    return {nullptr, [n, bytes](void*) {
                *n -= bytes + 1;
            }};
}

class responder final : public http_responder
{
public:
    responder(restinio::request_handle_t request, write_counter unwritten,
              std::shared_ptr<void> open)
        : request_(std::move(request)), unwritten_(std::move(unwritten)),
          open_(std::move(open))
    {
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
        auto counted = count_write(unwritten_, data.size());
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
        stream_->done(
            [counted = count_write(unwritten_), open = open_](auto const&) {});
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
        auto counted = count_write(unwritten_, body.size());
        response.set_body(std::move(body));
        response.done(
            [counted = std::move(counted), open = open_](auto const&) {});
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
    restinio::impl::connection_handle_t connection_; // while streaming
    std::optional<stream> stream_;
    std::shared_ptr<void> open_; // see arriving_requests::complete()
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
    in.header().for_each_field([&](auto const& field) {
        out.headers.emplace_back(field.name(), field.value());
    });
    return out;
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
            return std::string(pair.substr(eq + 1));
        if (pair.size() == query.size())
            break;
        query.remove_prefix(pair.size() + 1);
    }
    return {};
}

struct http_server::impl
{
    void on_accepted(tcp::socket socket);
    void refuse_caller(tcp::socket socket);

    std::size_t max_connections = 0;
    std::shared_ptr<std::size_t> open; // connections
    std::shared_ptr<state_listener> listener =
        std::make_shared<state_listener>();
    std::unique_ptr<connection_factory> factory;
    std::list<std::weak_ptr<refused_connection>> refused; // oldest first
    std::optional<accept_loop> acceptor;
};

void http_server::impl::on_accepted(tcp::socket socket)
{
    std::error_code ec;
    auto const caller = socket.remote_endpoint(ec);
    if (ec)
        return; // reset meanwhile
    if (*open >= max_connections) {
        refuse_caller(std::move(socket));
        return;
    }
    socket.set_option(tcp::no_delay(true), ec); // ignored: only a speed-up
    counted_socket it(std::move(socket));
    it.hold(count_open(open));
    factory->create_new_connection(std::move(it), caller, {nullptr})->init();
}

void http_server::impl::refuse_caller(tcp::socket socket)
{
    std::erase_if(refused, [](auto const& it) { return it.expired(); });
    if (refused.size() > max_connections / connections_per_refusal) {
        if (auto const oldest = refused.front().lock())
            oldest->close();
        refused.pop_front();
    }
    refused.push_back(
        refuse_connection(std::move(socket), "too many connections\n"));
}

http_server::http_server(asio::io_context& io,
                         http_server_options const& options, handler on_request)
    : impl_(std::make_unique<impl>())
{
    auto const arriving = arriving_requests::of(io);
    arriving->max_bytes = options.max_arriving_bytes;
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
        .handle_request_timeout(handler_time_limit)
        .read_next_http_message_timelimit(options.idle_timeout)
        .write_http_response_timelimit(options.write_timeout)
        .incoming_http_msg_limits(limits)
        .connection_state_listener(impl_->listener)
        .request_handler([on_request = std::move(on_request), arriving,
                          unwritten = options.unwritten](auto request) {
            auto in = convert(request);
            auto out = std::make_shared<responder>(
                std::move(request), unwritten, arriving->complete());
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
        std::make_shared<connection_settings>(
            set,
            restinio::impl::create_parser_settings<
                traits::http_methods_mapper_t>(),
            timers),
        set.socket_options_setter());
    impl_->acceptor.emplace(
        io,
        tcp::endpoint(asio::ip::make_address(options.address), options.port),
        [it = impl_.get()](auto socket) {
            it->on_accepted(std::move(socket));
        });
}

http_server::~http_server() = default;

void http_server::stop()
{
    impl_->acceptor->close();
}

} // namespace papayahook::runtime
