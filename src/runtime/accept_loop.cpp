#include "runtime/accept_loop.hpp"

#include "runtime/logging.hpp"

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <cerrno>

namespace papayahook::runtime {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;
using clock = std::chrono::steady_clock;

// After an error that lasts, such as a lack of descriptors, an accept that is
// repeated at once would fail at once.
constexpr auto pause_after_error = 100ms;
constexpr auto min_log_interval = 1'000ms;
// Connections that the queue of a listener holds; Linux adds one.
constexpr int max_waiting = asio::socket_base::max_listen_connections + 1;

// Errors of one connection, which accept(2) passes on.
bool is_of_one_connection(std::error_code ec)
{
    constexpr std::array errors{
        ECONNABORTED, ECONNRESET, EPROTO,      ENOPROTOOPT, EHOSTDOWN, ENONET,
        EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH, ENETDOWN,    ETIMEDOUT};
    return ec.category() == asio::error::get_system_category() &&
           std::ranges::find(errors, ec.value()) != errors.end();
}

std::string text_of(tcp::endpoint const& at)
{
    return at.address().to_string() + ":" + std::to_string(at.port());
}

// Throws std::system_error that names the address.
tcp::acceptor listen(asio::io_context& io, tcp::endpoint const& at)
{
    try {
        return {io, at, true};
    }
    catch (std::system_error const& e) {
        throw std::system_error(e.code(), text_of(at));
    }
}

} // namespace

struct accept_loop::impl : std::enable_shared_from_this<impl>
{
    impl(asio::io_context& io, tcp::endpoint const& at, handler it)
        : acceptor(listen(io, at)), pause(io), on_accepted(std::move(it)),
          name(text_of(acceptor.local_endpoint()))
    {
        acceptor.non_blocking(true);
    }

    void accept()
    {
        if (!acceptor.is_open())
            return;
        acceptor.async_accept(
            [self = shared_from_this()](auto ec, tcp::socket it) {
                self->on_accept(ec, std::move(it));
            });
    }

    // A connection may have been accepted before the listener was closed.
    void on_accept(std::error_code ec, tcp::socket it)
    {
        if (ec && acceptor.is_open())
            log(ec);
        if (!ec || is_of_one_connection(ec))
            accept();
        else
            accept_after_pause();
        if (!ec && on_accepted)
            on_accepted(std::move(it));
    }

    void accept_after_pause()
    {
        if (!acceptor.is_open())
            return;
        pause.expires_after(pause_after_error);
        pause.async_wait([self = shared_from_this()](auto ec) {
            if (!ec)
                self->accept();
        });
    }

    void log(std::error_code ec)
    {
        unlogged++;
        auto const now = clock::now();
        if (now < logged_at + min_log_interval)
            return;
        logged_at = now;
        write_log({events::accept_failed, name, "",
                   ec.message() + ", errors: " +
                       std::to_string(std::exchange(unlogged, 0))});
    }

    tcp::acceptor acceptor;
    asio::steady_timer pause;
    handler on_accepted;
    std::string name;
    clock::time_point logged_at = clock::now() - min_log_interval;
    std::uint64_t unlogged = 0;
};

accept_loop::accept_loop(asio::io_context& io, tcp::endpoint const& at,
                         handler on_accepted)
    : impl_(std::make_shared<impl>(io, at, std::move(on_accepted)))
{
    impl_->accept();
}

accept_loop::~accept_loop()
{
    std::error_code ec; // ignored: the listener is given up anyway
    impl_->on_accepted = nullptr;
    impl_->acceptor.close(ec);
    impl_->pause.cancel();
}

void accept_loop::close()
{
    auto& it = *impl_;
    if (!it.acceptor.is_open())
        return;
    std::error_code ec;
    for (int n = 0; n < max_waiting && (!ec || is_of_one_connection(ec)); ++n) {
        tcp::socket socket(it.acceptor.get_executor());
        it.acceptor.accept(socket, ec);
        if (!ec)
            it.on_accepted(std::move(socket));
    }
    // The error is ignored: the listener is given up anyway.
    it.acceptor.close(ec);
    it.pause.cancel();
}

} // namespace papayahook::runtime
