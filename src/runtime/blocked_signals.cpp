#include "runtime/blocked_signals.hpp"

namespace papayahook::runtime {

sigset_t all_handled() noexcept
{
    sigset_t out;
    sigemptyset(&out);
    for (int const it : handled_signals)
        sigaddset(&out, it);
    return out;
}

void block_signals() noexcept
{
    auto const all = all_handled();
    pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

bool is_stop_pending() noexcept
{
    sigset_t pending;
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 ||
           sigismember(&pending, SIGINT) == 1;
}

} // namespace papayahook::runtime
