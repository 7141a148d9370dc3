// HTTP/1.1 server on a given asio::io_context. Only the source file includes
// RESTinio.
#pragma once

#include "runtime/shared_text.hpp"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace papayahook::runtime {

using header_list = std::vector<std::pair<std::string, std::string>>;

// Compares header names case-insensitively.
bool same_name(std::string_view a, std::string_view b);

// Returns the first value of a header; empty when absent. The name is compared
// case-insensitively.
std::string_view header_value(header_list const& headers,
                              std::string_view name);

// Returns the headers without the hop-by-hop headers, which are known by name
// or listed in the Connection header.
header_list end_to_end_headers(header_list const& all);

// Decoded value of a query parameter ("a=1&b=2"); empty when absent, or when
// an escape is malformed.
std::string query_value(std::string_view query, std::string_view name);

struct http_request
{
    std::string method;
    std::string path;   // without the query
    std::string query;  // without the question mark
    std::string target; // path and query as received
    header_list headers;
    shared_text body;
    std::size_t memory = 0;          // of the body and the head
    std::uint64_t connection_id = 0; // see http_server_options::on_close
};

// Sends one answer: either send(), or start(), write()... and finish().
// Calls are ignored once the connection is closed.
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
    virtual void abort() = 0; // closes without the final chunk
    // Announces in the answer that the connection closes after it. To be called
    // before the head is sent.
    virtual void close_after_answer() = 0;
};

using responder_ptr = std::shared_ptr<http_responder>;

// Beyond max_connections divided by this, the oldest refused one is closed.
inline constexpr std::size_t connections_per_refusal = 8;

struct http_server_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    // Of the names and values of a head, of those of a trailer, and of a URL.
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_header_count = 4096;
    std::size_t max_connections = 4096; // further ones are refused with 503
    std::chrono::milliseconds header_timeout{5'000}; // for a whole head
    // Between requests, and between bytes of a body.
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::milliseconds write_timeout{30'000}; // without progress
    // Bytes a second at which a body must arrive, over the idle timeout, and an
    // answer must be read, over the write timeout.
    std::size_t min_rate = 512;
    std::function<void(std::uint64_t connection_id)> on_close;
    // May be empty. Counts the bytes of answers that are not yet written;
    // several servers may share it.
    std::shared_ptr<std::size_t> unwritten;
    // May be empty. Counts the open connections; several servers that share it
    // share max_connections.
    std::shared_ptr<std::size_t> open_connections;
    // Memory of requests that are still arriving, and bytes of answers that
    // their callers have not read, at all servers of the same io_context.
    // Beyond them the connection that holds the most for the longest time is
    // closed.
    std::size_t max_arriving_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t max_unwritten_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t max_intake_heap_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t max_heap_bytes = std::numeric_limits<std::size_t>::max();
};

// Why the connection ends whose end is being reported to on_close.
std::string end_of_connection();

class http_server
{
public:
    using handler = std::function<void(http_request, responder_ptr)>;

    // Throws std::system_error when the address cannot be bound.
    http_server(asio::io_context& io, http_server_options const& options,
                handler on_request);
    ~http_server();
    // Accepts the connections that already wait, then stops listening. Open
    // connections live on.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace papayahook::runtime
