// Signals that a node handles. They are blocked for the whole life of a
// process, and so stay pending until its event loop reads them.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <functional>

namespace papayahook::runtime {

inline constexpr std::array handled_signals{SIGHUP, SIGTERM, SIGINT, SIGUSR1,
                                            SIGUSR2};

// Of the calling thread and the threads that it starts.
void block_signals() noexcept;
// SIGTERM or SIGINT came and has not been read.
bool is_stop_pending() noexcept;

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
