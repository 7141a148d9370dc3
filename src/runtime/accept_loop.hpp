// Listener that accepts connections until it is closed; no error ends it.
// Compiled as C++17, too.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace papayahook::runtime {

class accept_loop
{
public:
    using handler = std::function<void(asio::ip::tcp::socket)>;

    // Throws std::system_error when the address cannot be bound.
    accept_loop(asio::io_context& io, asio::ip::tcp::endpoint const& at,
                handler on_accepted);
    ~accept_loop();

    // Accepts the connections that already wait, then stops listening.
    void close();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace papayahook::runtime
