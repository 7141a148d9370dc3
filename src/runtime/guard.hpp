// Exceptions of handlers become log events. docs/design/exceptions.md lists
// what each kind of handler may throw and what follows.
#pragma once

#include <asio/io_context.hpp>
#include <string>
#include <string_view>

namespace papayahook::runtime {

// Describes the exception that is being handled.
std::string describe_exception();
// Logs the exception that is being handled; `handler` names what threw it.
void log_exception(std::string_view handler) noexcept;

// Calls `act` and logs what it throws. Returns whether it threw nothing.
template <class F>
bool run_guarded(std::string_view handler, F&& act) noexcept
{
    try {
        act();
        return true;
    }
    catch (...) {
        log_exception(handler);
        return false;
    }
}

// Runs the event loop until it is stopped, also after handlers that throw.
void run_loop(asio::io_context& io);

} // namespace papayahook::runtime
