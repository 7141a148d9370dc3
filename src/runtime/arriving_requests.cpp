#include "runtime/arriving_requests.hpp"

#include "runtime/heap.hpp"
#include "runtime/logging.hpp"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <cerrno>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <tuple>
#include <utility>

namespace papayahook::runtime {

namespace {

using namespace std::chrono_literals;
using clock = request_reader::clock;

// A caller that has just come, waits between two requests or reads in steps is
// not closed for a new one before this time.
constexpr auto min_pause = 1'000ms;

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

// Bytes times milliseconds: a caller that sends or reads at full speed holds
// much for a short time.
double burden(std::size_t bytes, clock::duration time)
{
    return static_cast<double>(bytes) *
           std::chrono::duration<double, std::milli>(time).count();
}

int event_of(close_reason it)
{
    switch (it) {
    case close_reason::arriving_memory:
        return events::arriving_request_closed;
    case close_reason::slow_head:
        return events::slow_head_closed;
    case close_reason::slow_body:
        return events::slow_body_closed;
    case close_reason::slow_reader:
        return events::slow_reader_closed;
    case close_reason::answer_memory:
        return events::unread_answer_closed;
    case close_reason::idle:
        return events::idle_connection_closed;
    case close_reason::room:
        break;
    }
    return events::connection_replaced;
}

constexpr auto first_look = 25ms;
constexpr auto longest_pause = 200ms;
// Of a stream, the next event is waited for this long.
constexpr auto longest_doubt = 350ms;
// Every status line begins with it.
constexpr std::string_view http_version = "HTTP/1.1 ";

// Lives as long as its timer is pending.
class caller_watch : public std::enable_shared_from_this<caller_watch>
{
public:
    caller_watch(request_reader_ptr it, std::function<void()> end)
        : reader_(std::move(it)), timer_(reader_->socket->get_executor()),
          end_(std::move(end)), answer_(std::make_shared<held_read>())
    {
        reader_->held = answer_;
    }

    // Also after each write.
    void look()
    {
        if (!end_)
            return;
        if (is_over()) {
            timer_.cancel();
            std::exchange(end_, nullptr)();
            return;
        }
        if (has_ended_input())
            send_early();
        answer_->run = [it = weak_from_this()] {
            if (auto const watch = it.lock())
                watch->look();
        };
    }

    void wait()
    {
        if (!end_)
            return;
        timer_.expires_after(pause_);
        pause_ = std::min<clock::duration>(2 * pause_, longest_pause);
        timer_.async_wait([it = shared_from_this()](auto ec) {
            if (ec)
                return;
            it->look();
            it->wait();
        });
    }

private:
    bool is_over() const
    {
        auto const& r = *reader_;
        bool const is_answered = r.open_request.expired() && r.writes == 0;
        return is_answered || r.is_cut() || r.socket == nullptr ||
               !r.socket->is_open() || cannot_send_ ||
               tcp_state(*r.socket) == TCP_CLOSE || is_silent();
    }

    // Within an answer nothing can be sent but its rest.
    bool is_silent() const
    {
        auto const& r = *reader_;
        return r.input_ended && r.begun != 0 && !r.sent_since_end &&
               r.writes == 0 && !has_undelivered_bytes(*r.socket) &&
               clock::now() >= ended_ + longest_doubt;
    }

    bool has_ended_input()
    {
        auto& r = *reader_;
        if (!r.input_ended && tcp_state(*r.socket) == TCP_CLOSE_WAIT) {
            r.input_ended = true;
            ended_ = clock::now();
        }
        return r.input_ended;
    }

    // The machine of a closed connection resets it when it receives anything.
    // Unlike an interim response, the beginning of what comes next is expected
    // by every caller. One byte at a time: it may close between two of them.
    void send_early()
    {
        auto& r = *reader_;
        if (r.begun != 0 || r.writes != 0 || has_undelivered_bytes(*r.socket))
            return;
        r.sent_early += send_now(http_version.substr(r.sent_early, 1));
        r.sent_since_end |= r.sent_early != 0;
    }

    std::size_t send_now(std::string_view it)
    {
        auto const n = ::send(reader_->socket->native_handle(), it.data(),
                              it.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        cannot_send_ = n < 0 && errno != EAGAIN;
        return n < 0 ? 0 : static_cast<std::size_t>(n);
    }

    request_reader_ptr reader_;
    asio::steady_timer timer_;
    clock::duration pause_ = first_look;
    clock::time_point ended_ = clock::now(); // of the input
    std::function<void()> end_;
    std::shared_ptr<held_read> answer_;
    bool cannot_send_ = false;
};

// Other methods are read when no answer is awaited.
bool begins_request(std::string_view it)
{
    constexpr std::string_view line_ends = "\r\n";
    constexpr std::array<std::string_view, 9> methods{
        "GET ",     "HEAD ",    "POST ",  "PUT ",  "DELETE ",
        "CONNECT ", "OPTIONS ", "TRACE ", "PATCH "};
    it.remove_prefix(std::min(it.find_first_not_of(line_ends), it.size()));
    return std::ranges::any_of(methods, [it](auto method) {
        auto const n = std::min(it.size(), method.size());
        return it.substr(0, n) == method.substr(0, n);
    });
}

// How readily a connection makes place for a new one, and since when it could;
// 0: not at all.
std::pair<int, clock::duration> place_rank(request_reader const& it,
                                           clock::time_point now)
{
    auto const after_pause = [now](int rank, clock::time_point since) {
        return now >= since + min_pause ? std::pair(rank, now - since)
                                        : std::pair(0, clock::duration{});
    };
    if (it.open_request.expired())
        return it.served ? after_pause(2, now - it.idle_time(now))
                         : after_pause(3, it.created);
    if (it.sends_ahead)
        return after_pause(1, it.ahead_since);
    return it.out.active ? after_pause(1, it.out.progress)
                         : std::pair(0, clock::duration{});
}

} // namespace

void watch_caller(request_reader_ptr const& it, std::function<void()> end)
{
    auto const out = std::make_shared<caller_watch>(it, std::move(end));
    out->look();
    out->wait();
}

thread_local request_reader* arriving_requests::current = nullptr;

void byte_flow::start(clock::time_point now)
{
    if (active)
        return;
    active = true;
    bytes = 0;
    window = progress = now;
}

void byte_flow::add(std::size_t n, clock::time_point now)
{
    bytes += n;
    if (n != 0)
        progress = now;
}

bool byte_flow::is_slow(std::chrono::milliseconds time, std::size_t min_rate,
                        clock::time_point now)
{
    if (!active || now < window + time)
        return false;
    auto const least = static_cast<double>(min_rate) *
                       std::chrono::duration<double>(now - window).count();
    bool const slow =
        now >= progress + time || static_cast<double>(bytes) < least;
    window = now;
    bytes = 0;
    return slow;
}

std::shared_ptr<arriving_requests>
arriving_requests::of(asio::execution_context& context)
{
    return asio::use_service<arriving_service>(context).all;
}

request_reader::request_reader(std::shared_ptr<arriving_requests> it,
                               std::shared_ptr<progress_rules const> of)
    : all(std::move(it)), rules(std::move(of))
{
    in.progress = out.progress = created;
    all->readers_.insert(this);
}

request_reader::~request_reader()
{
    all->readers_.erase(this);
    all->bytes_ -= bytes;
    all->freed_soon_ -= freed_soon;
}

clock::duration request_reader::idle_time(clock::time_point now) const
{
    return now - std::max(in.progress, out.progress);
}

bool request_reader::is_cut() const
{
    return given_up && (!finishes || open_request.expired());
}

bool request_reader::is_idle() const
{
    return !in.active && open_request.expired();
}

void request_reader::arrive(std::size_t taken)
{
    if (!in.active) {
        began = clock::now();
        in.start(began);
    }
    bytes += taken;
    all->bytes_ += taken;
}

void arriving_requests::release(request_reader& it)
{
    bytes_ -= std::exchange(it.bytes, 0);
}

std::size_t arriving_requests::lasting_excess(std::size_t max_heap_bytes) const
{
    auto const excess = heap_excess(max_heap_bytes);
    return excess - std::min(excess, freed_soon_);
}

void arriving_requests::make_arriving_room()
{
    auto const now = clock::now();
    // A connection without an open request loses nothing that was accepted.
    auto const rank = [now](auto const* n) {
        return std::tuple(!n->given_up && n->bytes != 0,
                          n->open_request.expired(),
                          burden(n->bytes, now - n->began));
    };
    for (auto excess = lasting_excess(max_intake_heap);
         excess != 0 || bytes_ > max_bytes;) {
        if (readers_.empty())
            return;
        auto* const largest = *std::ranges::max_element(readers_, {}, rank);
        if (largest->given_up || largest->bytes == 0)
            return;
        excess -= std::min(excess, largest->bytes);
        give_up(*largest, close_reason::arriving_memory);
    }
}

std::shared_ptr<void>
arriving_requests::hold_answer(request_reader_ptr const& it, std::size_t bytes)
{
    it->unwritten += bytes;
    unwritten_ += bytes;
    auto const now = clock::now();
    auto const rank = [&](auto const* n) {
        // What is read steadily is bounded where answers are buffered.
        bool const is_read =
            !n->out.active || now < n->out.progress + min_pause;
        return n == it.get() || n->given_up || is_read
                   ? 0
                   : burden(n->unwritten, now - n->out.progress);
    };
    // Closing a connection frees what it holds later.
    for (auto over = std::max(unwritten_ - std::min(unwritten_, max_unwritten),
                              lasting_excess(max_heap));
         over != 0;) {
        auto* const largest = *std::ranges::max_element(readers_, {}, rank);
        if (rank(largest) <= 0)
            break;
        over -= std::min(over, largest->unwritten);
        give_up(*largest, close_reason::answer_memory);
    }
    return {nullptr, [it, bytes](void*) {
                it->unwritten -= bytes;
                it->all->unwritten_ -= bytes;
            }};
}

bool arriving_requests::make_place(progress_rules const& of,
                                   std::size_t max_closing)
{
    auto const now = clock::now();
    auto const is_closing = [&](auto const* it) {
        return it->rules.get() == &of && it->given_up && it->socket != nullptr;
    };
    auto const rank = [&](auto const* it) {
        bool const may_close =
            it->rules.get() == &of && !it->given_up && it->socket != nullptr;
        return may_close ? place_rank(*it, now)
                         : std::pair(0, clock::duration{});
    };
    if (readers_.empty() || static_cast<std::size_t>(std::ranges::count_if(
                                readers_, is_closing)) > max_closing)
        return false;
    auto* const it = *std::ranges::max_element(readers_, {}, rank);
    if (rank(it).first == 0)
        return false;
    give_up(*it, close_reason::room);
    return true;
}

void arriving_requests::close_slow(progress_rules const& of)
{
    auto const now = clock::now();
    for (auto* const it : readers_) {
        if (it->rules.get() != &of || it->socket == nullptr)
            continue;
        if (it->given_up) {
            if (it->finishes && it->is_cut())
                it->stop.emit(asio::cancellation_type::terminal);
            continue;
        }
        if (it->out.is_slow(of.write_timeout, of.min_rate, now))
            give_up(*it, close_reason::slow_reader);
        else if (!it->open_request.expired())
            continue; // its answer is not ready
        else if (it->in.active && !it->head_read &&
                 now >= it->began + of.header_timeout)
            give_up(*it, close_reason::slow_head);
        else if (it->in.is_slow(of.idle_timeout, of.min_rate, now))
            give_up(*it, close_reason::slow_body);
        else if (it->is_idle() && it->idle_time(now) >= of.idle_timeout)
            give_up(*it, close_reason::idle);
    }
}

// A connection that makes place with requests open is closed when these are
// answered, and with it those that its caller has sent beyond them.
// RESTinio frees what it holds when it closes the connection, which it does on
// an error of the read or write. The read that is cancelled is answered 503;
// that connections make place, or are idle, is no answer to a request.
void arriving_requests::give_up(request_reader& it, close_reason why)
{
    write_log({event_of(why), "", "",
               std::to_string(it.bytes) + " of " + std::to_string(bytes_) +
                   " bytes that arrive, " + std::to_string(it.unwritten) +
                   " of " + std::to_string(unwritten_) + " not yet written"});
    ++closed.at(static_cast<std::size_t>(why));
    it.given_up = true;
    it.freed_soon = it.bytes + it.unwritten;
    freed_soon_ += it.freed_soon;
    release(it);
    it.told_why = it.open_request.expired() && it.writes == 0 &&
                  it.sent_early == 0 && why != close_reason::room &&
                  why != close_reason::idle;
    it.finishes = why == close_reason::room && !it.open_request.expired();
    std::error_code ec; // it may be closed
    if (it.told_why)
        it.stop.emit(asio::cancellation_type::terminal);
    else if (it.socket != nullptr && !it.finishes)
        it.socket->end_both_ways(ec);
}

void arriving_requests::end_answers()
{
    for (auto* const it : readers_)
        if (it->socket != nullptr && it->socket->is_open() &&
            has_undelivered_bytes(*it->socket))
            it->socket->close();
}

bool arriving_requests::ignores()
{
    if (current == nullptr || !current->has_last)
        return false;
    end_arrival(*current);
    return true;
}

void arriving_requests::end_arrival(request_reader& it)
{
    release(it);
    it.head_bytes = 0;
    it.head_read = it.in.active = false;
}

std::shared_ptr<void> arriving_requests::complete(bool is_last)
{
    if (current == nullptr)
        return {};
    auto& it = *current;
    end_arrival(it);
    it.served = true;
    it.has_last = is_last;
    bool const ahead = !it.open_request.expired();
    if (ahead && !it.sends_ahead)
        it.ahead_since = clock::now();
    it.sends_ahead = ahead;
    // One for all of them: the newest may be answered first.
    auto out = it.open_request.lock();
    if (!out)
        out = std::make_shared<char>();
    it.open_request = out;
    return out;
}

// The loop has ended. A request that asio has read by then gets no answer,
// which its caller can tell from a reset alone. With an answer on its way, a
// reset could destroy that.
void counted_socket::end_unhandled()
{
    reader_->socket = nullptr;
    bool const has_sent = reader_->served || reader_->sent_early != 0;
    if (!is_open() || has_sent)
        return;
    std::error_code ec; // ignored: the connection ends anyway
    set_option(asio::socket_base::linger(true, 0), ec);
    asio::ip::tcp::socket::close(ec); // the destructor would not reset it
}

void counted_socket::prepare()
{
    if (!reader_)
        reader_ = std::make_shared<request_reader>(
            arriving_requests::of(
                asio::query(get_executor(), asio::execution::context)),
            rules_);
    reader_->socket = this;
}

// The connection stays with RESTinio, which closes it without its socket.
void counted_socket::refuse(request_reader& r)
{
    constexpr std::string_view why = "the request arrives too slowly, or "
                                     "there is no room for it\n";
    if (r.rules && r.rules->refuse)
        r.rules->refuse(std::move(*this), why);
    else
        refuse_connection(std::move(*this), why);
}

void counted_socket::on_received(request_reader& r, std::size_t n)
{
    auto const now = clock::now();
    r.arrive(0);
    r.in.add(n, now);
}

void counted_socket::note_error(request_reader& r, std::error_code ec)
{
    if (!r.failed && ec != asio::error::operation_aborted)
        r.failed = ec;
}

// A connection that RESTinio has closed holds nothing.
void counted_socket::after_read(request_reader& r)
{
    if (r.socket == nullptr || !r.socket->is_open())
        r.all->release(r);
    r.all->make_arriving_room();
}

std::shared_ptr<held_read> counted_socket::before_write(request_reader& r)
{
    ++r.writes;
    r.sent_since_end |= r.input_ended;
    r.out.start(clock::now());
    auto out = r.held.lock();
    if (!out) {
        out = std::make_shared<held_read>();
        r.held = out;
    }
    return out;
}

// Bytes of a request are taken at once: its caller may read the answer before
// it only when it has sent all. A connection that is reset ends the write by an
// error of its own.
bool counted_socket::waits(request_reader const& r, std::error_code ec,
                           std::string_view in)
{
    bool const is_request = !ec && (r.in.active || begins_request(in));
    return r.writes != 0 && !r.is_cut() && !is_request &&
           ec != asio::error::operation_aborted;
}

std::size_t counted_socket::take_sent_early(request_reader& r)
{
    return std::exchange(r.sent_early, 0);
}

// RESTinio closes the connection at the end of the input, and at bytes that are
// no request.
bool counted_socket::may_still_read(request_reader const& r, std::error_code ec,
                                    std::string_view in)
{
    bool const ends =
        ec == asio::error::eof ||
        (!ec && (r.given_up || (!r.in.active && !begins_request(in))));
    return ends && !r.is_cut() && !r.open_request.expired() &&
           r.socket != nullptr && r.socket->is_open();
}

void counted_socket::deliver(held_read& it)
{
    if (auto const run = std::exchange(it.run, nullptr))
        run();
}

} // namespace papayahook::runtime
