#include "runtime/signals.hpp"

#include "runtime/guard.hpp"

#include <chrono>
#include <sys/signalfd.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace papayahook::runtime {

namespace {

constexpr auto pause_between_reads = std::chrono::milliseconds(10);

int open_signals()
{
    auto const all = all_handled();
    int const out = ::signalfd(-1, &all, SFD_NONBLOCK | SFD_CLOEXEC);
    if (out < 0)
        throw std::system_error(errno, std::generic_category(), "signalfd");
    return out;
}

} // namespace

signal_reader::signal_reader(asio::io_context& io)
    : signals_(io, open_signals()), pause_(io)
{
}

void signal_reader::start(handler on_signal)
{
    on_signal_ = std::move(on_signal);
    wait();
}

void signal_reader::wait()
{
    signals_.async_wait(asio::posix::stream_descriptor::wait_read,
                        [this](auto ec) {
                            if (!ec)
                                read();
                        });
}

// Reads once and then pauses: a sender that never pauses must not keep the loop
// from its other work. asio::signal_set reads until nothing is left.
void signal_reader::read()
{
    pause_.expires_after(pause_between_reads);
    pause_.async_wait([this](auto ec) {
        if (!ec)
            wait();
    });
    std::array<signalfd_siginfo, handled_signals.size()> buf{};
    auto const n = ::read(signals_.native_handle(), buf.data(), sizeof buf);
    if (n < 0)
        return; // EAGAIN: nothing is pending
    auto const end = buf.begin() + n / static_cast<ssize_t>(sizeof buf[0]);
    for (auto it = buf.begin(); it != end; ++it)
        run_guarded("signal",
                    [&] { on_signal_(static_cast<int>(it->ssi_signo)); });
}

} // namespace papayahook::runtime
