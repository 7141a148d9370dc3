#include "runtime/hedged_calls.hpp"

#include <algorithm>
#include <asio/error.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace papayahook::runtime {

namespace {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

constexpr std::size_t max_open = 3;
constexpr auto max_lateness = 10'000ms;
constexpr auto max_slack = 5'000ms;
constexpr int first_server_error = 500;

} // namespace

struct hedged_calls::attempt
{
    explicit attempt(asio::io_context& io) : timer(io) {}

    asio::steady_timer timer;
    std::uint64_t transfer = 0;
    clock::time_point due; // without any lateness
    std::string body;
    handler done;
    bool is_late = false;
    bool has_ended = false;
};

hedged_calls::hedged_calls(asio::io_context& io, http_client& client)
    : io_(io), client_(client)
{
}

hedged_calls::~hedged_calls()
{
    forget();
}

void hedged_calls::start(http_call call, std::chrono::milliseconds wait,
                         std::chrono::milliseconds slack, handler done)
{
    if (open_.size() == max_open) {
        client_.cancel(open_.front()->transfer);
        open_.front()->has_ended = true;
        open_.pop_front();
    }
    auto const it = std::make_shared<attempt>(io_);
    it->due = clock::now() + wait;
    it->done = std::move(done);
    call.total_timeout = wait + max_lateness;
    call.on_data = [it](std::string_view data) {
        it->body += data;
    };
    call.on_done = [this, it](http_result const& result) {
        on_done(it, result);
    };
    auto const learned = std::min<clock::duration>(2 * lateness_, max_slack);
    it->timer.expires_at(it->due + std::max<clock::duration>(slack, learned));
    it->timer.async_wait([this, it](auto ec) {
        if (!ec && !it->has_ended)
            on_late(*it);
    });
    open_.push_back(it);
    it->transfer = client_.start(std::move(call));
}

void hedged_calls::on_late(attempt& it)
{
    it.is_late = true;
    http_result result;
    result.error = asio::error::timed_out;
    result.step = "timeout";
    it.done(result, {});
}

void hedged_calls::on_done(attempt_ptr const& it, http_result const& result)
{
    it->has_ended = true;
    it->timer.cancel();
    open_.remove(it);
    bool const answered = !result.error && result.status < first_server_error;
    if (answered) {
        auto const late = clock::now() - it->due;
        lateness_ = std::max(late, lateness_ / 2);
        forget();
    }
    // That it failed has been reported.
    if (answered || !it->is_late)
        it->done(result, it->body);
}

void hedged_calls::forget()
{
    for (auto const& it : open_) {
        it->has_ended = true;
        it->timer.cancel();
        client_.cancel(it->transfer);
    }
    open_.clear();
}

} // namespace papayahook::runtime
