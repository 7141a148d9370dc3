#include "runtime/arriving_requests.hpp"

#include "runtime/logging.hpp"

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <string_view>

namespace papayahook::runtime {

namespace {

using namespace std::chrono_literals;

// A connection that is closed with unread bytes is reset, which may destroy the
// answer on its way, so the caller gets this time to read it and to close.
constexpr auto refusal_time = 1'000ms;
constexpr std::string_view refusal =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    "Connection: close\r\nContent-Type: text/plain\r\n"
    "Content-Length: 27\r\n\r\ntoo many requests arriving\n";

struct refused_sender
{
    explicit refused_sender(asio::ip::tcp::socket it)
        : socket(std::move(it)), timer(socket.get_executor())
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 8 * 1024> unread{};
};
using refused_sender_ptr = std::shared_ptr<refused_sender>;

void close(refused_sender& it)
{
    std::error_code ec; // ignored: the connection is given up anyway
    it.timer.cancel(ec);
    it.socket.close(ec);
}

void discard_input(refused_sender_ptr const& it)
{
    it->socket.async_read_some(asio::buffer(it->unread), [it](auto ec, auto) {
        if (ec)
            close(*it);
        else
            discard_input(it);
    });
}

} // namespace

void refuse_rest(asio::ip::tcp::socket socket)
{
    auto const it = std::make_shared<refused_sender>(std::move(socket));
    it->timer.expires_after(refusal_time);
    it->timer.async_wait([it](auto) { close(*it); });
    asio::async_write(it->socket, asio::buffer(refusal), [it](auto ec, auto) {
        if (ec)
            close(*it);
    });
    discard_input(it);
}

namespace {

struct arriving_service : asio::execution_context::service
{
    using key_type = arriving_service;
    static asio::execution_context::id id;

    explicit arriving_service(asio::execution_context& it) : service(it) {}
    void shutdown() override {}

    std::shared_ptr<arriving_requests> const all =
        std::make_shared<arriving_requests>();
};

asio::execution_context::id arriving_service::id;

} // namespace

std::shared_ptr<arriving_requests>
arriving_requests::of(asio::execution_context& context)
{
    return asio::use_service<arriving_service>(context).all;
}

request_reader::request_reader(std::shared_ptr<arriving_requests> it)
    : all(std::move(it))
{
    all->readers_.insert(this);
}

request_reader::~request_reader()
{
    all->readers_.erase(this);
    all->bytes_ -= bytes;
}

void arriving_requests::add(request_reader& it, std::size_t bytes)
{
    it.bytes += bytes;
    bytes_ += bytes;
    // A connection without an open request loses nothing that was accepted.
    auto const rank = [](auto const* n) {
        return std::tuple(!n->given_up && n->bytes != 0,
                          n->open_request.expired(), n->bytes);
    };
    while (bytes_ > max_bytes) {
        auto* const largest = *std::ranges::max_element(readers_, {}, rank);
        if (largest->given_up || largest->bytes == 0)
            return;
        give_up(*largest);
    }
}

// RESTinio frees what it has read when it closes the connection, which it does
// on an error of the read.
void arriving_requests::give_up(request_reader& it)
{
    write_log({events::arriving_request_closed, "", "",
               std::to_string(it.bytes) + " of " + std::to_string(bytes_) +
                   " bytes that arrive"});
    it.given_up = true;
    bytes_ -= std::exchange(it.bytes, 0);
    it.stop.emit(asio::cancellation_type::terminal);
}

std::shared_ptr<void> arriving_requests::complete()
{
    if (current == nullptr)
        return {};
    bytes_ -= std::exchange(current->bytes, 0);
    auto out = std::make_shared<char>();
    current->open_request = out;
    return out;
}

} // namespace papayahook::runtime
