// A caller that knows of HTTP what PROTOCOL.md names: a status line, fields and
// a body with a length or in chunks, one answer for each request.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <string>

namespace papayahook::support {

struct plain_answer
{
    int status = 0;
    std::string head; // status line and fields
    std::string body;
    std::string fault; // empty: the answer is whole
};

inline constexpr auto incomplete_answer = "incomplete";

// Takes an answer from the beginning of what was received, unless it is broken.
plain_answer take_answer(std::string& received);

class plain_client
{
public:
    explicit plain_client(std::string const& address);

    void send(std::string const& bytes);
    void end_sending();
    void close();
    plain_answer read(std::chrono::milliseconds limit);
    // Whether the connection ends without anything further.
    bool ends(std::chrono::milliseconds limit);

private:
    // Returns false at the end of the connection, and of the time.
    bool receive(std::chrono::steady_clock::time_point until);

    asio::io_context io_;
    asio::ip::tcp::socket socket_{io_};
    std::string received_;
    std::string end_; // how the connection ended
};

} // namespace papayahook::support
