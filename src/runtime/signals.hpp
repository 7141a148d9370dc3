// Reads the signals that a process blocks.
#pragma once

#include "runtime/blocked_signals.hpp"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <functional>

namespace papayahook::runtime {

// Reads blocked signals on an event loop. Signals of one kind that come within
// a short pause count as one; none is lost without one of its kind being read.
class signal_reader
{
public:
    using handler = std::function<void(int number)>;

    // Throws std::system_error if no descriptor is left.
    explicit signal_reader(asio::io_context& io);
    // Calls `on_signal` for each signal read; what it throws is logged.
    void start(handler on_signal);

private:
    void wait();
    void read();

    asio::posix::stream_descriptor signals_;
    asio::steady_timer pause_;
    handler on_signal_;
};

} // namespace papayahook::runtime
