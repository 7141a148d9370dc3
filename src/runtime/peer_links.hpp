// WebSocket links between nodes. Compiled as C++17. Only the source file
// includes websocketpp.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace papayahook::runtime {

using link_id = std::uint64_t;

struct link_handlers
{
    std::function<void(link_id, bool outgoing)> on_open;
    std::function<void(link_id, std::string const& message)> on_message;
    std::function<void(link_id, std::string const& reason)> on_close;
};

class peer_links
{
public:
    // Throws std::system_error when the address cannot be bound.
    peer_links(asio::io_context& io, std::string const& address,
               std::uint16_t port, std::size_t max_message_bytes,
               std::size_t max_incoming, link_handlers handlers);
    ~peer_links();

    link_id connect(std::string const& address); // "ip:port"
    // Messages of a link that was accepted are short until this is called.
    void accept_messages(link_id link);
    void send(link_id link, std::string const& message);
    void close(link_id link);
    std::size_t open_connections() const;
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace papayahook::runtime
