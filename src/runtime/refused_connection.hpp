// Refusals of connections whose request is not read.
#pragma once

#include <asio/ip/tcp.hpp>
#include <memory>
#include <string_view>

namespace papayahook::runtime {

// A connection that is answered 503 and closed, by its peer or after a second.
class refused_connection
{
public:
    virtual ~refused_connection() = default;
    virtual void close() = 0; // at once
};

// `why` is the body of the answer. The result expires with the connection.
std::weak_ptr<refused_connection> refuse_connection(asio::ip::tcp::socket it,
                                                    std::string_view why);

} // namespace papayahook::runtime
