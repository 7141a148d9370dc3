#include "runtime/guard.hpp"

#include "runtime/logging.hpp"

#include <exception>

namespace papayahook::runtime {

std::string describe_exception()
{
    try {
        throw;
    }
    catch (std::exception const& e) {
        return e.what();
    }
    catch (...) {
        return "an exception of an unknown type";
    }
}

void log_exception(std::string_view handler) noexcept
{
    try {
        write_log({events::handler_failed, std::string(handler), "",
                   describe_exception()});
    }
    catch (...) {
        // No memory for the line: the failure is not logged.
    }
}

void run_loop(asio::io_context& io)
{
    while (!run_guarded("event loop", [&io] { io.run(); })) {
    }
}

} // namespace papayahook::runtime
