// HTTP/1.1 server on an Asio loop of ours. RESTinio stays in the source file.
#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace papayahook::runtime {

using header_list = std::vector<std::pair<std::string, std::string>>;

// Names of headers are compared without case.
bool same_name(std::string_view a, std::string_view b);

// First value of a header, compared without case; empty when absent.
std::string_view header_value(header_list const& headers,
                              std::string_view name);

// Without what belongs to one connection, be it by name or by the word of its
// Connection header.
header_list end_to_end(header_list const& all);

// Value of a query parameter ("a=1&b=2"); empty when absent.
std::string query_value(std::string_view query, std::string_view name);

struct http_request
{
    std::string method;
    std::string path;   // without the query
    std::string query;  // without the question mark
    std::string target; // path and query as they were sent
    header_list headers;
    std::string body;
    std::uint64_t connection_id = 0; // see http_server_options::on_close
};

// One answer. Either send(), or start() + write()... + finish().
// Calls after the connection has gone are ignored.
class http_responder
{
public:
    using written = std::function<void(std::error_code)>;

    virtual ~http_responder() = default;
    virtual void send(int status, header_list const& headers,
                      std::string body) = 0;
    virtual void start(int status, header_list const& headers) = 0;
    virtual void write(std::string data, written on_written) = 0;
    virtual void finish() = 0;
    virtual void abort() = 0; // closes without the end mark
    // The answer says that its connection closes; call it before the head.
    virtual void close_after() = 0;
};

using responder_ptr = std::shared_ptr<http_responder>;

struct http_server_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    std::size_t max_header_bytes = 16 * 1024; // one field value or the URL
    std::size_t max_header_count = 64;
    std::size_t max_connections = 4096;
    std::chrono::milliseconds idle_timeout{60'000};  // between requests
    std::chrono::milliseconds write_timeout{30'000}; // one write
    std::function<void(std::uint64_t connection_id)> on_close;
};

class http_server
{
public:
    using handler = std::function<void(http_request, responder_ptr)>;

    // Throws std::system_error when the address cannot be bound.
    http_server(asio::io_context& io, http_server_options const& options,
                handler on_request);
    ~http_server();
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace papayahook::runtime
