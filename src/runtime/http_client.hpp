// HTTP calls by libcurl's multi interface, driven by an Asio loop of ours.
#pragma once

#include "runtime/http_server.hpp"

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
    std::string url;
    header_list headers;
    std::string body;
    std::chrono::milliseconds connect_timeout{1'000};
    std::chrono::milliseconds total_timeout{0}; // zero: none
    // Do not reuse an idle connection. Pitfall: on a reused one that dies
    // without an answer libcurl sends the request again by itself, POST too.
    bool fresh_connection = false;
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

private:
    struct impl;
    std::unique_ptr<impl> impl_;
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
