// HTTP/1.1 calls on an Asio loop of ours. One request at a time on each
// connection; nothing is ever sent a second time by this client.
#pragma once

#include "runtime/http_server.hpp"

#include <optional>

namespace papayahook::runtime {

// What became of a call. may_have_run is false only where no byte of the
// request can have left this process on an established connection.
struct http_result
{
    std::error_code error;     // set when the exchange did not complete
    std::string step;          // "connect", "send", "receive", "timeout"
    int status = 0;            // 0 when no head was received
    bool may_have_run = false; // a byte may have reached the other side
};

struct http_call
{
    std::string method = "GET";
    std::string url; // "http://ip:port/path?query"; no names are looked up
    header_list headers;
    std::string body;
    std::string peer; // calls share connections with the same address and peer
    // An answer without this header and value belongs to another call.
    std::optional<std::pair<std::string, std::string>> echo;
    std::chrono::milliseconds connect_timeout{1'000};
    std::chrono::milliseconds total_timeout{0}; // zero: none
    bool fresh_connection = false;              // do not reuse an idle one
    // Of the answer. A head is bounded by the parser.
    std::size_t max_body_bytes = 16UL * 1024 * 1024;
    std::function<void(int status, header_list const&)> on_head;
    std::function<void(std::string_view)> on_data;
    std::function<void(http_result const&)> on_done; // exactly once
};

class http_client
{
public:
    explicit http_client(asio::io_context& io);
    ~http_client();

    std::uint64_t start(http_call call);
    void cancel(std::uint64_t id); // on_done is not called any more
    void pause(std::uint64_t id);  // stop reading: back-pressure
    void resume(std::uint64_t id);

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

// Whole answer of a blocking call; for command-line programs and tests.
struct http_answer
{
    http_result result;
    header_list headers;
    std::string body;
};
http_answer fetch(http_call call);

} // namespace papayahook::runtime
