// Repeated calls of one kind to a server whose answers may be late.
#pragma once

#include "runtime/http_client.hpp"

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>

namespace papayahook::runtime {

class hedged_calls
{
public:
    using handler =
        std::function<void(http_result const& result, std::string const& body)>;

    hedged_calls(asio::io_context& io, http_client& client);
    ~hedged_calls();
    hedged_calls(hedged_calls const&) = delete;
    hedged_calls& operator=(hedged_calls const&) = delete;

    // The server may take the time `wait` by request. Without an answer in
    // `wait` and `slack`, or longer if answers have been late, `done` receives
    // a time-out. It is called again if the answer comes later, unless that of
    // another call came first.
    void start(http_call call, std::chrono::milliseconds wait,
               std::chrono::milliseconds slack, handler done);
    // No handler of an earlier call is called.
    void forget();

private:
    struct attempt;
    using attempt_ptr = std::shared_ptr<attempt>;
    void on_done(attempt_ptr const& it, http_result const& result);
    void on_late(attempt& it);

    asio::io_context& io_;
    http_client& client_;
    std::list<attempt_ptr> open_; // oldest first
    std::chrono::steady_clock::duration lateness_{};
};

} // namespace papayahook::runtime
