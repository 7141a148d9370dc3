#include "runtime/refused_connection.hpp"

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <string>
#include <utility>

namespace papayahook::runtime {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

// A connection that is closed with unread bytes is reset, which may destroy the
// answer on its way, so its peer gets this time to read it and to close.
constexpr auto refusal_time = 1'000ms;

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
    connection(tcp::socket it, std::string_view why)
        : socket_(std::move(it)), timer_(socket_.get_executor()),
          answer_(answer_text(why))
    {
    }

    void start()
    {
        timer_.expires_after(refusal_time);
        timer_.async_wait([it = shared_from_this()](auto ec) {
            if (!ec)
                it->close();
        });
        asio::async_write(
            socket_, asio::buffer(answer_),
            [it = shared_from_this()](auto ec, auto) {
                std::error_code ignored; // the connection ends anyway
                if (!ec)
                    it->socket_.shutdown(tcp::socket::shutdown_send, ignored);
            });
        discard_input();
    }

    void close() override
    {
        std::error_code ec; // ignored: the connection is given up anyway
        timer_.cancel();
        socket_.close(ec);
    }

private:
    void discard_input()
    {
        socket_.async_read_some(asio::buffer(unread_),
                                [it = shared_from_this()](auto ec, auto) {
                                    if (ec)
                                        it->close();
                                    else
                                        it->discard_input();
                                });
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    std::string const answer_;
    std::array<char, 4 * 1024> unread_{};
};

} // namespace

std::weak_ptr<refused_connection> refuse_connection(tcp::socket it,
                                                    std::string_view why)
{
    auto const out = std::make_shared<connection>(std::move(it), why);
    out->start();
    return out;
}

} // namespace papayahook::runtime
