// Signals that a node handles. They are blocked for the whole life of a
// process, and so stay pending until its event loop reads them.
#pragma once

#include <array>
#include <csignal>

namespace papayahook::runtime {

inline constexpr std::array handled_signals{SIGHUP, SIGTERM, SIGINT, SIGUSR1,
                                            SIGUSR2};

sigset_t all_handled() noexcept;
// Of the calling thread and the threads that it starts.
void block_signals() noexcept;
// SIGTERM or SIGINT came and has not been read.
bool is_stop_pending() noexcept;

} // namespace papayahook::runtime
