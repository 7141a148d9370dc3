// Connections that end on this side: refusals of connections whose request is
// not read, and those whose last answer was sent.
#pragma once

#include <asio/execution_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string_view>

namespace papayahook::runtime {

// Longest time for which a connection ends, for a peer that reads slowly what
// the kernel holds: at most a few megabytes.
inline constexpr std::chrono::seconds delivery_time{10};

// A connection that is answered 503 and closed, by its peer or after a second.
class refused_connection
{
public:
    virtual ~refused_connection() = default;
    virtual void close() = 0; // at once
};

// `why` is the body of the answer. The result expires with the connection,
// which releases `held`.
std::weak_ptr<refused_connection>
refuse_connection(asio::ip::tcp::socket it, std::string_view why,
                  std::shared_ptr<void> held = {});

// Ends a connection without a reset, so that its peer receives all that was
// sent: shuts the sending side down, discards what arrives, and closes it when
// its peer has closed, or after a limit of time or bytes. Releases `held` then.
void close_gracefully(asio::ip::tcp::socket it, std::shared_ptr<void> held);

// Some of what was written has not reached the peer's machine.
bool has_undelivered_bytes(asio::ip::tcp::socket& it);
// TCP_CLOSE: the connection was reset; TCP_CLOSE_WAIT: the other side has ended
// its output. Not known counts as reset.
int tcp_state(asio::ip::tcp::socket& it);

// Number of connections that still end.
std::size_t ending_connections(asio::execution_context& context);

} // namespace papayahook::runtime
