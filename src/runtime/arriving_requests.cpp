#include "runtime/arriving_requests.hpp"

#include "runtime/logging.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace papayahook::runtime {

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

void arriving_requests::end_answers()
{
    for (auto* const it : readers_)
        if (it->socket->is_open() && has_undelivered_bytes(*it->socket))
            it->socket->close();
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
