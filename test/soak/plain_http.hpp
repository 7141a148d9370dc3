// Blocking HTTP/1.1 callers on sockets of their own, so that nothing of the
// product judges itself.
#pragma once

#include <chrono>
#include <string>

namespace papayahook::soak {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Why a read or a message ended.
enum class ending
{
    complete,
    closed,
    reset,
    timed_out
};
char const* text_of(ending it);

// A connection. It reads `piece` bytes at most and then pauses.
class line
{
public:
    // Not open if the connection is refused or takes longer than `limit`.
    line(std::string const& address, milliseconds limit,
         int receive_buffer = 0);
    line(line&& other) noexcept;
    ~line();

    bool open() const { return fd_ >= 0; }
    void close();
    void reset();     // closes with a reset
    void end_input(); // sends no more, reads on
    bool send(std::string_view text);
    // Receives until `size` bytes, or the mark, have come.
    ending fill(std::size_t size);
    ending fill_to(std::string_view mark);
    std::string take(std::size_t size);

    clock::time_point until; // of sending and receiving
    std::size_t piece = 65536;
    milliseconds pause{0};
    std::string buf; // received

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
int status_of(message const& it);
// Reads an answer as a client does that knows PROTOCOL.md alone: the first
// status line is that of its answer, so an interim response is one, too. An
// answer without a length ends with its connection.
message read_answer(line& from);
// Sends one request on a connection of its own.
message ask(std::string const& address, std::string const& bytes,
            milliseconds limit);

} // namespace papayahook::soak
