// HTTP/1.1 client on a given asio::io_context. A connection carries one request
// at a time, and the client never sends a request twice. The connection of a
// call that is given up is reset.
#pragma once

#include "runtime/http_server.hpp"

#include <limits>
#include <map>
#include <optional>

namespace papayahook::runtime {

// Result of a call. may_have_run is false only if no byte of the request can
// have left this process on an established connection.
struct http_result
{
    std::error_code error; // set when the exchange did not complete
    // "connect", "send" (there was no connection left for it), "receive",
    // "timeout" or "cancel"
    std::string step;
    int status = 0;                // 0 when no head was received
    bool may_have_run = false;     // a byte may have reached the server
    bool closed_by_server = false; // it ended or reset the connection
    // False: only the end of the connection marked the end of the answer.
    bool framed = true;
};

struct http_call
{
    std::string method = "GET";
    std::string url; // "http://ip:port/path?query"; no name resolution
    header_list headers;
    shared_text body;
    // Calls with the same address and group share connections.
    std::string connection_group;
    // Name and value of a header that the server repeats in its answer. An
    // answer without it belongs to another call.
    std::optional<std::pair<std::string, std::string>> echoed_header;
    std::chrono::milliseconds connect_timeout{1'000};
    std::chrono::milliseconds total_timeout{0}; // zero: no limit
    bool fresh_connection = false; // true: no idle connection is reused
    bool limited = false;          // its connection counts towards max_limited
    // Limit of the answer's body. The parser limits the head.
    std::size_t max_body_bytes = 16UL * 1024 * 1024;
    // May be empty. Asked when a new connection is open; false: the request is
    // not sent, and the call fails at step "route".
    std::function<bool()> may_send;
    std::function<void(int status, header_list const&)> on_head;
    std::function<void(std::string_view)> on_data;
    std::function<void(http_result const&)> on_done; // called exactly once
};

// Answers that were refused, by the rule that they broke.
using refusal_counts = std::map<std::string_view, std::uint64_t>;

class http_client
{
public:
    // Calls that are `limited` fail if they need one more open connection than
    // `max_limited`, idle ones apart.
    explicit http_client(
        asio::io_context& io,
        std::size_t max_limited = std::numeric_limits<std::size_t>::max());
    ~http_client();

    std::uint64_t start(http_call call);
    void cancel(std::uint64_t id); // on_done will not be called
    // Gives up the open calls of a connection group; on_done tells so.
    void fail_calls(std::string const& connection_group);
    void pause(std::uint64_t id); // stops reading, for back-pressure
    void resume(std::uint64_t id);
    std::size_t limited_connections() const;
    refusal_counts const& refused_answers() const;

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

// Answer of a blocking call, for command-line programs and tests.
struct http_answer
{
    http_result result;
    header_list headers;
    std::string body;
};
http_answer fetch(http_call call);

} // namespace papayahook::runtime
