// Fakes of the services around papayahook. Each implements only the behaviour
// and the faults that tests need.
#pragma once

#include "runtime/http_server.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace papayahook::fakes {

using nlohmann::json;
using runtime::http_request;
using runtime::responder_ptr;

struct listen_address
{
    std::string ip;
    std::uint16_t port = 0;
};

struct runner_options
{
    listen_address listen;
    std::string name;
    int slots = 16;
    std::chrono::milliseconds first_token{20};
    std::chrono::microseconds token_gap{10'000};
    std::chrono::microseconds prefill_per_token{100};
    // The process exits when it begins to answer a prompt with this text.
    std::string crash_on;
    // Time from the end of its connections to the end of the process.
    std::chrono::milliseconds crash_time{0};
};

struct orders_options
{
    listen_address listen;
    std::chrono::milliseconds work{5};
};

struct log_options
{
    listen_address listen;
    std::size_t retention = 1'000'000; // entries kept per stream
};

// Each serves until the process is killed.
void run_runner(asio::io_context& io, runner_options const& options);
void run_orders(asio::io_context& io, orders_options const& options);
void run_log(asio::io_context& io, log_options const& options);
void run_instances(asio::io_context& io, listen_address const& listen);

// Serves requests with `handler` until the process is killed.
void serve(asio::io_context& io, listen_address const& listen,
           runtime::http_server::handler handler);

void after(asio::io_context& io, std::chrono::microseconds delay,
           std::function<void()> act);
void send_json(responder_ptr const& out, int status, json const& body,
               runtime::header_list extra = {});
json parse_body(http_request const& in); // empty if not an object
// Aborts the connection without a whole answer.
void drop(responder_ptr const& out);

} // namespace papayahook::fakes
