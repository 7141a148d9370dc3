#include "runtime/refused_connection.hpp"

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/ioctl.h>
#include <utility>

namespace papayahook::runtime {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;
using clock = std::chrono::steady_clock;

// A connection that is closed with unread bytes is reset, which may destroy the
// answer on its way, so its peer gets this time to read it and to close.
constexpr auto closing_time = 1'000ms;
constexpr auto check_period = 100ms;
// Two requests with the largest body: those may have crossed the close.
constexpr std::size_t max_discarded_bytes = 8 * 1024 * 1024;

struct ending_service : asio::execution_context::service
{
    using key_type = ending_service;
    static asio::execution_context::id id;

    explicit ending_service(asio::execution_context& it) : service(it) {}
    void shutdown() override {}

    // Connections may outlive the context.
    std::shared_ptr<std::size_t> const count = std::make_shared<std::size_t>(0);
};

asio::execution_context::id ending_service::id;

std::string answer_text(std::string_view why)
{
    return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
           "Connection: close\r\nContent-Type: text/plain\r\n"
           "Content-Length: " +
           std::to_string(why.size()) + "\r\n\r\n" + std::string(why);
}

// Lives as long as its operations are pending.
class connection final : public refused_connection,
                         public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket it, std::string answer, std::shared_ptr<void> held)
        : socket_(std::move(it)), timer_(socket_.get_executor()),
          answer_(std::move(answer)), held_(std::move(held)),
          count_(
              asio::use_service<ending_service>(
                  asio::query(socket_.get_executor(), asio::execution::context))
                  .count)
    {
        ++*count_;
    }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    ~connection() override { --*count_; }

    void start()
    {
        std::error_code ec; // ignored: the first read fails as well
        socket_.non_blocking(true, ec);
        if (answer_.empty()) {
            close_at_ = clock::now() + delivery_time;
            end_output();
            if (!discard_some()) {
                close();
                return;
            }
        }
        else {
            close_at_ = clock::now() + closing_time;
            asio::async_write(socket_, asio::buffer(answer_),
                              [it = shared_from_this()](auto failed, auto) {
                                  if (!failed)
                                      it->end_output();
                              });
        }
        wait_for_end();
        discard_input();
    }

    void close() override
    {
        std::error_code ec; // ignored: the connection is given up anyway
        timer_.cancel();
        socket_.close(ec);
        held_.reset();
    }

private:
    void end_output()
    {
        std::error_code ignored; // the connection ends anyway
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }

    void wait_for_end()
    {
        timer_.expires_after(check_period);
        timer_.async_wait([it = shared_from_this()](auto ec) {
            if (ec)
                return;
            it->shorten_wait();
            if (clock::now() >= it->close_at_)
                it->close();
            else
                it->wait_for_end();
        });
    }

    void shorten_wait()
    {
        if (!std::exchange(delivered_, !has_undelivered_bytes(socket_)) &&
            delivered_)
            close_at_ = std::min(close_at_, clock::now() + closing_time);
    }

    void discard_input()
    {
        socket_.async_wait(tcp::socket::wait_read,
                           [it = shared_from_this()](auto ec) {
                               if (ec || !it->discard_some())
                                   it->close();
                               else
                                   it->discard_input();
                           });
    }

    // Returns false when the connection has ended.
    bool discard_some()
    {
        std::array<char, 4 * 1024> unread{};
        std::error_code ec;
        discarded_ += socket_.read_some(asio::buffer(unread), ec);
        return discarded_ <= max_discarded_bytes &&
               (!ec || ec == asio::error::would_block);
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    clock::time_point close_at_{};
    bool delivered_ = false;
    std::string const answer_;
    std::size_t discarded_ = 0;
    std::shared_ptr<void> held_;
    std::shared_ptr<std::size_t> count_;
};

} // namespace

std::weak_ptr<refused_connection> refuse_connection(tcp::socket it,
                                                    std::string_view why,
                                                    std::shared_ptr<void> held)
{
    auto const out = std::make_shared<connection>(
        std::move(it), answer_text(why), std::move(held));
    out->start();
    return out;
}

void close_gracefully(tcp::socket it, std::shared_ptr<void> held)
{
    std::make_shared<connection>(std::move(it), std::string(), std::move(held))
        ->start();
}

bool has_undelivered_bytes(tcp::socket& it)
{
    int n = 0;
    return ::ioctl(it.native_handle(), SIOCOUTQ, &n) == 0 && n > 0;
}

int tcp_state(tcp::socket& it)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    bool const known = ::getsockopt(it.native_handle(), IPPROTO_TCP, TCP_INFO,
                                    &info, &size) == 0 &&
                       info.tcpi_state != 0;
    return known ? int{info.tcpi_state} : int{TCP_CLOSE};
}

std::size_t ending_connections(asio::execution_context& context)
{
    return *asio::use_service<ending_service>(context).count;
}

} // namespace papayahook::runtime
