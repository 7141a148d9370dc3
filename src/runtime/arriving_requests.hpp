// Connections of callers: the memory that each takes, and whether it makes
// progress. RESTinio collects a request on each connection before anything can
// refuse it, and keeps answers until their caller has read them.
#pragma once

#include "runtime/refused_connection.hpp"

#include <algorithm>
#include <array>
#include <asio/bind_cancellation_slot.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/cancellation_signal.hpp>
#include <asio/execution_context.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace papayahook::runtime {

class arriving_requests;
class counted_socket;

// Why a connection was closed before its caller closed it.
enum class close_reason
{
    arriving_memory, // requests that arrive take too much
    slow_head,
    slow_body,
    slow_reader,   // an answer is not read
    answer_memory, // answers that are not read take too much
    idle,
    room, // for a new connection
};
inline constexpr std::array close_reason_names{
    "arriving_memory", "slow_head", "slow_body", "slow_reader",
    "answer_memory",   "idle",      "room"};

// What a listener asks of its connections.
struct progress_rules
{
    std::chrono::milliseconds header_timeout{5'000}; // of a whole head
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::milliseconds write_timeout{30'000}; // without progress
    std::size_t min_rate = 512; // bytes a second, of bodies and answers
    // Answers 503 and closes; a refused connection takes a descriptor.
    std::function<void(asio::ip::tcp::socket, std::string_view)> refuse;
};

// Bytes that pass in one direction while the other side is to move them.
struct byte_flow
{
    using clock = std::chrono::steady_clock;

    bool active = false;
    std::size_t bytes = 0; // since `window`
    clock::time_point window{};
    clock::time_point progress{};

    void start(clock::time_point now);
    void add(std::size_t n, clock::time_point now);
    // Whether nothing has moved for `time`, or less than the rate over it.
    bool is_slow(std::chrono::milliseconds time, std::size_t min_rate,
                 clock::time_point now);
};

// Owned by what a completed read waits for. RESTinio closes the connection at
// the end of the input, or at bytes that are no request, and with it drops what
// it has not written.
struct held_read
{
    std::function<void()> run;
};

// A connection of a caller.
struct request_reader : std::enable_shared_from_this<request_reader>
{
    using clock = std::chrono::steady_clock;

    request_reader(std::shared_ptr<arriving_requests> it,
                   std::shared_ptr<progress_rules const> of);
    ~request_reader();
    request_reader(request_reader const&) = delete;
    request_reader& operator=(request_reader const&) = delete;

    // Notes that a request arrives, which has taken this memory.
    void arrive(std::size_t taken);
    // Neither is a request arriving, nor one open.
    bool is_idle() const;
    clock::duration idle_time(clock::time_point now) const;
    // It is given up, and no answer is awaited that is still to be sent.
    bool is_cut() const;

    std::shared_ptr<arriving_requests> all;
    std::shared_ptr<progress_rules const> rules; // null: none
    counted_socket* socket = nullptr;            // while it exists
    bool given_up = false;
    bool finishes = false;  // it is given up once its answers are written
    std::error_code failed; // the first error of a read or write
    bool told_why = false;  // a connection that is given up is answered 503
    bool served = false;    // it has sent a whole request
    bool has_last = false;  // the connection closes after the newest one
    // It sends requests before it has the answers to earlier ones, since then.
    bool sends_ahead = false;
    clock::time_point ahead_since{};
    clock::time_point created = clock::now();
    std::weak_ptr<void> open_request; // expired: none of the connection is open
    asio::cancellation_signal stop;   // of the pending read

    // Of the request that arrives.
    std::size_t bytes = 0;      // memory that it takes
    std::size_t freed_soon = 0; // what the connection held when it was given up
    std::size_t head_bytes = 0;
    bool head_read = false;
    clock::time_point began{};
    byte_flow in;

    // Of the answers.
    std::size_t unwritten = 0;
    byte_flow out;
    int writes = 0; // pending
    int begun = 0;  // answers whose head was sent, until their last byte is
    // Of the status line, sent before the answer that it begins.
    std::size_t sent_early = 0;
    bool input_ended = false;
    bool sent_since_end = false; // of the input
    std::weak_ptr<held_read> held;
};
using request_reader_ptr = std::shared_ptr<request_reader>;

// The connections of all servers of an io_context, which they may outlive.
class arriving_requests
{
public:
    static std::shared_ptr<arriving_requests>
    of(asio::execution_context& context);

    // Beyond this sum the connection that holds the most for the longest time
    // is closed.
    std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t max_unwritten = std::numeric_limits<std::size_t>::max();
    // Of the heap as a whole, for requests that arrive and for answers. Beyond
    // it connections are closed by the same rules.
    std::size_t max_intake_heap = std::numeric_limits<std::size_t>::max();
    std::size_t max_heap = std::numeric_limits<std::size_t>::max();
    std::size_t bytes() const { return bytes_; }
    std::size_t unwritten() const { return unwritten_; }
    std::array<std::uint64_t, close_reason_names.size()> closed{};

    // The memory of the request that arrives is free.
    void release(request_reader& it);
    // Gives up requests that are too many.
    void make_arriving_room();
    // Counts an answer until the result and its copies are destroyed.
    std::shared_ptr<void> hold_answer(request_reader_ptr const& it,
                                      std::size_t bytes);
    // Closes the connection of a listener that has been without progress for
    // the longest time. Returns false if there is none.
    bool make_place(progress_rules const& of, std::size_t max_closing);
    // Closes the connections of a listener that break its rules.
    void close_slow(progress_rules const& of);
    // The connection whose read is being handled has a whole request, which is
    // open until the result and its copies are destroyed.
    // `is_last`: the connection closes after its answer.
    std::shared_ptr<void> complete(bool is_last);
    // The connection whose read is being handled has a request that follows the
    // last one, which gets no answer.
    bool ignores();

    // Closes the connections whose last answer is still on its way.
    void end_answers();

    // The connection whose read or write is being handled on this thread.
    static thread_local request_reader* current;

private:
    friend struct request_reader;

    void give_up(request_reader& it, close_reason why);
    void end_arrival(request_reader& it);
    // Returns by how much the heap will exceed a limit.
    std::size_t lasting_excess(std::size_t max_heap_bytes) const;

    std::set<request_reader*> readers_;
    std::size_t bytes_ = 0;
    std::size_t unwritten_ = 0;
    std::size_t freed_soon_ = 0; // of connections that were given up
};

// The caller has ended its input, or sent no request, while it waits for an
// answer. Calls `end` once the answer is written, or the caller turns out to
// have closed its connection.
void watch_caller(request_reader_ptr const& it, std::function<void()> end);

// A socket whose reads and writes are counted, and which is closed gracefully.
class counted_socket : public asio::ip::tcp::socket
{
public:
    using asio::ip::tcp::socket::basic_stream_socket;
    counted_socket(asio::ip::tcp::socket&& it,
                   std::shared_ptr<progress_rules const> rules = {})
        : asio::ip::tcp::socket(std::move(it)), rules_(std::move(rules))
    {
    }
    counted_socket(counted_socket&&) = default;
    counted_socket& operator=(counted_socket&&) = default;
    ~counted_socket()
    {
        if (reader_)
            end_unhandled();
    }

    // `it` is released when the descriptor is closed.
    void hold(std::shared_ptr<void> it) { held_ = std::move(it); }

    // RESTinio ends a connection with these two. After a shutdown of the
    // receiving side, bytes that arrive reset the connection.
    void shutdown(shutdown_type, std::error_code&) {}
    // Fails the pending read and write.
    void end_both_ways(std::error_code& ec)
    {
        asio::ip::tcp::socket::shutdown(shutdown_both, ec);
    }
    void close()
    {
        if (!is_open())
            return;
        std::error_code ec; // ignored: the connection ends anyway
        cancel(ec);
        // A caller that breaks the rules must not keep the descriptor.
        if (reader_ && reader_->given_up && !reader_->finishes) {
            asio::ip::tcp::socket::close(ec);
            held_.reset();
            return;
        }
        close_gracefully(std::move(*this), std::move(held_));
    }

    template <class Buffers, class Handler>
    void async_read_some(Buffers const& to, Handler handler)
    {
        prepare();
        auto const executor =
            asio::get_associated_executor(handler, get_executor());
        auto on_read =
            [this, r = reader_,
             at = static_cast<char const*>(asio::mutable_buffer(to).data()),
             handler = std::move(handler)](std::error_code ec,
                                           std::size_t n) mutable {
                receive(r, ec, {at, n}, handler);
            };
        asio::ip::tcp::socket::async_read_some(
            to, asio::bind_cancellation_slot(
                    reader_->stop.slot(),
                    asio::bind_executor(executor, std::move(on_read))));
    }

    // A handler taken by value could be moved before the buffers, which it
    // owns, are read from it.
    template <class Buffers, class Handler>
    void async_write_some(Buffers const& from, Handler&& handler)
    {
        prepare();
        auto const executor =
            asio::get_associated_executor(handler, get_executor());
        auto on_written = [this, r = reader_, held = before_write(*reader_),
                           handler = std::forward<Handler>(handler)](
                              std::error_code ec, std::size_t n) mutable {
            r->out.add(n, request_reader::clock::now());
            --r->writes;
            if (!is_open())
                ec = asio::error::operation_aborted;
            note_error(*r, ec);
            arriving_requests::current = r.get();
            handler(ec, n);
            arriving_requests::current = nullptr;
            r->out.active = r->writes != 0;
            if (r->writes == 0)
                deliver(*held);
        };
        if (auto const early = take_sent_early(*reader_); early != 0)
            asio::ip::tcp::socket::async_write_some(
                without_first(from, early),
                asio::bind_executor(
                    executor, [early, on_written = std::move(on_written)](
                                  std::error_code ec, std::size_t n) mutable {
                        on_written(ec, ec ? n : n + early);
                    }));
        else
            asio::ip::tcp::socket::async_write_some(
                from, asio::bind_executor(executor, std::move(on_written)));
    }

private:
    template <class Buffers>
    static std::vector<asio::const_buffer> without_first(Buffers const& from,
                                                         std::size_t n)
    {
        std::vector<asio::const_buffer> out(asio::buffer_sequence_begin(from),
                                            asio::buffer_sequence_end(from));
        for (auto& it : out) {
            auto const skipped = std::min(n, it.size());
            it += skipped;
            n -= skipped;
        }
        return out;
    }

    template <class Handler>
    void receive(request_reader_ptr const& r, std::error_code ec,
                 std::string_view in, Handler const& handler)
    {
        if (auto const it = waits(*r, ec, in) ? r->held.lock() : nullptr)
            it->run = [this, r, ec, in, handler] {
                receive(r, ec, in, handler);
            };
        else if (may_still_read(*r, ec, in))
            watch_caller(r, [this, r, ec, in, handler] {
                finish_read(*r, ec, in.size(), handler);
            });
        else
            finish_read(*r, ec, in.size(), handler);
    }

    template <class Handler>
    void finish_read(request_reader& r, std::error_code ec, std::size_t n,
                     Handler handler)
    {
        // RESTinio counts a connection that fails after it was closed as closed
        // twice.
        if (!is_open())
            ec = asio::error::operation_aborted;
        else if (r.given_up) {
            ec = asio::error::no_buffer_space;
            if (r.told_why)
                refuse(r);
        }
        note_error(r, ec);
        if (!ec)
            on_received(r, n);
        arriving_requests::current = &r;
        handler(ec, ec ? 0 : n);
        arriving_requests::current = nullptr;
        after_read(r);
    }

    void end_unhandled();
    void prepare();
    void refuse(request_reader& r);
    static void on_received(request_reader& r, std::size_t n);
    static void note_error(request_reader& r, std::error_code ec);
    static void after_read(request_reader& r);
    static std::shared_ptr<held_read> before_write(request_reader& r);
    static std::size_t take_sent_early(request_reader& r);
    static bool waits(request_reader const& r, std::error_code ec,
                      std::string_view in);
    static bool may_still_read(request_reader const& r, std::error_code ec,
                               std::string_view in);
    static void deliver(held_read& it);

    std::shared_ptr<progress_rules const> rules_;
    // Set by the first read: RESTinio moves a socket before, and uses the one
    // it has moved from again.
    request_reader_ptr reader_;
    std::shared_ptr<void> held_;
};

} // namespace papayahook::runtime
