// Memory of requests that are still being read. RESTinio collects the body of a
// request on each connection before anything can refuse it.
#pragma once

#include "runtime/refused_connection.hpp"

#include <asio/bind_cancellation_slot.hpp>
#include <asio/bind_executor.hpp>
#include <asio/cancellation_signal.hpp>
#include <asio/execution_context.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <limits>
#include <memory>
#include <set>

namespace papayahook::runtime {

class arriving_requests;
class counted_socket;

// What a connection has received since its last whole request.
struct request_reader
{
    explicit request_reader(std::shared_ptr<arriving_requests> it);
    ~request_reader();
    request_reader(request_reader const&) = delete;
    request_reader& operator=(request_reader const&) = delete;

    std::shared_ptr<arriving_requests> all;
    std::size_t bytes = 0;
    bool given_up = false;
    std::weak_ptr<void> open_request; // expired: none of the connection is open
    asio::cancellation_signal stop;   // of the pending read
    counted_socket* socket = nullptr;
};
using request_reader_ptr = std::shared_ptr<request_reader>;

// The readers of all connections of an io_context. Connections that outlive the
// io_context share it.
class arriving_requests
{
public:
    static std::shared_ptr<arriving_requests>
    of(asio::execution_context& context);

    // Beyond this sum the connection with the most bytes is closed.
    std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t bytes() const { return bytes_; }

    // Counts bytes that were read, and gives up readers that are too many.
    void add(request_reader& it, std::size_t bytes);
    // The connection whose read is being handled has a whole request, which is
    // open until the result and its copies are destroyed.
    std::shared_ptr<void> complete();

    // Closes the connections whose last answer is still on its way.
    void end_answers();

    request_reader* current = nullptr; // its read is being handled

private:
    friend struct request_reader;

    void give_up(request_reader& it);

    std::set<request_reader*> readers_;
    std::size_t bytes_ = 0;
};

// A socket whose reads are counted, and which is closed gracefully.
class counted_socket : public asio::ip::tcp::socket
{
public:
    using asio::ip::tcp::socket::basic_stream_socket;
    counted_socket(asio::ip::tcp::socket&& it)
        : asio::ip::tcp::socket(std::move(it))
    {
    }

    // `it` is released when the descriptor is closed.
    void hold(std::shared_ptr<void> it) { held_ = std::move(it); }

    // RESTinio ends a connection with these two. After a shutdown of the
    // receiving side, bytes that arrive reset the connection.
    void shutdown(shutdown_type, std::error_code&) {}
    void close()
    {
        if (!is_open())
            return;
        std::error_code ec; // ignored: nothing is pending then
        cancel(ec);
        close_gracefully(std::move(*this), std::move(held_));
    }

    template <class Buffers, class Handler>
    void async_read_some(Buffers const& to, Handler handler)
    {
        if (!reader_) {
            reader_ = std::make_shared<request_reader>(arriving_requests::of(
                asio::query(get_executor(), asio::execution::context)));
            reader_->socket = this;
        }
        auto const executor =
            asio::get_associated_executor(handler, get_executor());
        auto on_read = [this, r = reader_, handler = std::move(handler)](
                           std::error_code ec, std::size_t n) mutable {
            if (!ec)
                r->all->add(*r, n);
            if (r->given_up) {
                ec = asio::error::no_buffer_space;
                if (r->open_request.expired())
                    refuse_connection(std::move(*this),
                                      "too many requests arriving\n",
                                      std::move(held_));
            }
            r->all->current = r.get();
            handler(ec, ec ? 0 : n);
            r->all->current = nullptr;
        };
        asio::ip::tcp::socket::async_read_some(
            to, asio::bind_cancellation_slot(
                    reader_->stop.slot(),
                    asio::bind_executor(executor, std::move(on_read))));
    }

private:
    // Set by the first read: RESTinio moves a socket before, and uses the one
    // it has moved from again.
    request_reader_ptr reader_;
    std::shared_ptr<void> held_;
};

} // namespace papayahook::runtime
