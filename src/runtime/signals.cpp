#include "runtime/signals.hpp"

namespace papayahook::runtime {

namespace {

void change_mask(int how) noexcept
{
    sigset_t all;
    sigemptyset(&all);
    for (int const it : handled_signals)
        sigaddset(&all, it);
    pthread_sigmask(how, &all, nullptr);
}

} // namespace

void block_signals() noexcept
{
    change_mask(SIG_BLOCK);
}

void unblock_signals() noexcept
{
    change_mask(SIG_UNBLOCK);
}

bool is_stop_pending() noexcept
{
    sigset_t pending;
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 ||
           sigismember(&pending, SIGINT) == 1;
}

} // namespace papayahook::runtime
