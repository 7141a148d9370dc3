#include "runtime/http_server.hpp"

#include "codec/text.hpp"

#include <algorithm>
#include <cctype>
#include <optional>
#include <restinio/all.hpp>

namespace papayahook::runtime {

namespace {

// With two pipelined requests RESTinio continues to read while an answer is
// open, so that a closed connection is noticed at once and not at the next
// write.
constexpr std::size_t max_pipelined_requests = 2;
// Practically no limit: the core enforces deadlines.
constexpr std::chrono::hours handler_time_limit{24};
constexpr std::size_t read_buffer_bytes = 8 * 1024;

struct close_listener
{
    std::function<void(std::uint64_t)> on_close;

    void state_changed(restinio::connection_state::notice_t const& n)
    {
        bool const closed =
            std::holds_alternative<restinio::connection_state::closed_t>(
                n.cause());
        if (closed && on_close)
            on_close(n.connection_id());
    }
};

struct traits : restinio::default_single_thread_traits_t
{
    using connection_state_listener_t = close_listener;
    static constexpr bool use_connection_count_limiter = true;
};

using server = restinio::http_server_t<traits>;

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
    responder(restinio::request_handle_t request, write_counter unwritten)
        : request_(std::move(request)), unwritten_(std::move(unwritten))
    {
    }

    void send(int status, header_list const& headers, std::string body) override
    {
        auto response = request_->create_response(status_line(status));
        for (auto const& [name, value] : headers)
            response.append_header(name, value);
        if (closes_)
            response.connection_close();
        auto counted = count_write(unwritten_, body.size());
        response.set_body(std::move(body));
        response.done([counted = std::move(counted)](auto const&) {});
    }

    void start(int status, header_list const& headers) override
    {
        connection_ = restinio::impl::access_req_connection(*request_);
        stream_.emplace(request_->create_response<restinio::chunked_output_t>(
            status_line(status)));
        for (auto const& [name, value] : headers)
            stream_->append_header(name, value);
        if (closes_)
            stream_->connection_close();
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
        stream_->done([counted = count_write(unwritten_)](auto const&) {});
        stream_.reset();
    }

    // An empty final write that closes the connection: the terminating chunk of
    // the body is missing, which every client reports as a broken answer.
    void abort() override
    {
        if (!stream_)
            return;
        restinio::response_output_flags_t const flags{
            restinio::response_parts_attr_t::final_parts,
            restinio::response_connection_attr_t::connection_close};
        restinio::writable_items_container_t no_items;
        connection_->write_response_parts(
            request_->request_id(), flags,
            restinio::write_group_t{std::move(no_items)});
        stream_.reset();
    }

private:
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
    bool closes_ = false;
};

http_request convert(restinio::request_t const& in)
{
    http_request out;
    out.method = in.header().method().c_str();
    out.path = std::string(in.header().path());
    out.query = std::string(in.header().query());
    out.target = in.header().request_target();
    out.body = in.body();
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
    std::unique_ptr<server> srv;
};

http_server::http_server(asio::io_context& io,
                         http_server_options const& options, handler on_request)
    : impl_(std::make_unique<impl>())
{
    auto listener = std::make_shared<close_listener>();
    listener->on_close = options.on_close;
    auto limits = restinio::incoming_http_msg_limits_t{}
                      .max_url_size(options.max_header_bytes)
                      .max_field_name_size(options.max_header_bytes)
                      .max_field_value_size(options.max_header_bytes)
                      .max_field_count(options.max_header_count)
                      .max_body_size(options.max_body_bytes);
    restinio::server_settings_t<traits> settings;
    settings.address(options.address)
        .port(options.port)
        .max_pipelined_requests(max_pipelined_requests)
        .buffer_size(read_buffer_bytes)
        .handle_request_timeout(handler_time_limit)
        .read_next_http_message_timelimit(options.idle_timeout)
        .write_http_response_timelimit(options.write_timeout)
        .max_parallel_connections(options.max_connections)
        .incoming_http_msg_limits(limits)
        .connection_state_listener(listener)
        .acceptor_options_setter([](restinio::acceptor_options_t& it) {
            it.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        })
        .socket_options_setter([](restinio::socket_options_t& it) {
            it.set_option(asio::ip::tcp::no_delay(true));
        })
        .request_handler([on_request = std::move(on_request),
                          unwritten = options.unwritten](auto request) {
            auto in = convert(*request);
            auto out =
                std::make_shared<responder>(std::move(request), unwritten);
            on_request(std::move(in), std::move(out));
            return restinio::request_accepted();
        });
    impl_->srv = std::make_unique<server>(restinio::external_io_context(io),
                                          std::move(settings));
    impl_->srv->open_sync();
}

http_server::~http_server() = default;

void http_server::stop()
{
    impl_->srv->close_sync();
}

} // namespace papayahook::runtime
