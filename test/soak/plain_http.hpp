// Blocking HTTP/1.1 on sockets, with a deadline on every read. Callers and
// runners of the soak use it, so that nothing of the product judges itself.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace papayahook::soak {

using clock = std::chrono::steady_clock;

// Why a read or a message ended.
enum class ending
{
    complete,
    closed,
    reset,
    timed_out
};
char const* text_of(ending it);

class line
{
public:
    explicit line(int fd = -1) : fd_(fd) {}
    line(line&& other) noexcept;
    line& operator=(line&& other) noexcept;
    ~line();

    bool open() const { return fd_ >= 0; }
    int fd() const { return fd_; }
    void close();
    void reset(); // closes with a reset
    bool send(std::string_view text, clock::time_point until);
    // Receives at most `size` bytes behind `buf`.
    ending receive(clock::time_point until, std::size_t size = 65536);
    std::string buf;

private:
    int fd_ = -1;
};

struct message
{
    std::string head;
    std::string body; // what has come of it
    ending end = ending::closed;
};

// Returns the first value of a header; empty when absent.
std::string field(std::string const& head, std::string const& name);
int status_of(std::string const& head);
std::string query_of(std::string const& head, std::string const& name);

// Pauses between reads of a slow reader: `pause` after each `size` bytes.
struct reading
{
    std::chrono::milliseconds pause{0};
    std::size_t size = 65536;
};

// Reads one message; an answer without a length ends with its connection.
message read_message(line& from, clock::time_point until, bool is_answer,
                     reading const& pace = {});

// Throws std::runtime_error.
int listen_on_loopback(std::uint16_t port);
// Returns a line that is not open if the connection is refused.
line connect_to(std::string const& address, std::chrono::milliseconds limit,
                int receive_buffer = 0);
// Returns the status of a GET; 0 without a complete answer.
int status_at(std::string const& address, std::string const& path,
              std::chrono::milliseconds limit);

} // namespace papayahook::soak
