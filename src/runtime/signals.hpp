// Signals that a node handles. They are blocked, and so stay pending, while
// there is nobody to handle them: before the event loop and after it.
#pragma once

#include <array>
#include <csignal>

namespace papayahook::runtime {

inline constexpr std::array handled_signals{SIGHUP, SIGTERM, SIGINT, SIGUSR1,
                                            SIGUSR2};

// Of the calling thread and the threads that it starts.
void block_signals() noexcept;
void unblock_signals() noexcept;
// SIGTERM or SIGINT came while they were blocked.
bool is_stop_pending() noexcept;

} // namespace papayahook::runtime
