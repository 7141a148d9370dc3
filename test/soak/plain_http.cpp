#include "soak/plain_http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace papayahook::soak {

namespace {

using namespace std::chrono_literals;

bool wait_for(int fd, short events, clock::time_point until)
{
    auto const left = std::chrono::ceil<milliseconds>(until - clock::now());
    pollfd it{fd, events, 0};
    return ::poll(&it, 1, static_cast<int>(std::max(0ms, left).count())) == 1;
}

// Whether the other side closes with bytes unread, which it may announce with
// an ordinary end first.
bool reset_follows(int fd)
{
    pollfd it{fd, 0, 0};
    int error = 0;
    socklen_t size = sizeof error;
    return ::poll(&it, 1, 20) == 1 &&
           ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
           error != 0;
}

// Moves what has come of `size` bytes to the body.
ending read_bytes(line& from, std::size_t size, std::string& body)
{
    auto const it = from.fill(size);
    body += from.take(std::min(size, from.buf.size()));
    return it;
}

ending read_chunks(line& from, std::string& body)
{
    for (;;) {
        if (auto const it = from.fill_to("\r\n"); it != ending::complete)
            return it;
        auto const text = from.take(from.buf.find("\r\n") + 2);
        if (std::isxdigit(static_cast<unsigned char>(text.front())) == 0)
            return ending::reset; // bytes that are no chunk
        auto const size = std::strtoul(text.c_str(), nullptr, 16);
        if (auto const it = read_bytes(from, size, body);
            it != ending::complete)
            return it;
        if (auto const it = from.fill(2); it != ending::complete)
            return it;
        if (from.take(2) != "\r\n")
            return ending::reset;
        if (size == 0)
            return ending::complete;
    }
}

} // namespace

char const* text_of(ending it)
{
    constexpr char const* names[] = {"complete", "closed", "reset",
                                     "timed out"};
    return names[static_cast<int>(it)];
}

line::line(std::string const& address, milliseconds limit, int receive_buffer)
    : until(clock::now() + limit),
      fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
{
    auto const colon = address.find(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(
        static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    if (receive_buffer > 0)
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    if (::connect(fd_, reinterpret_cast<sockaddr const*>(&to), sizeof to) == 0)
        return;
    int error = errno;
    socklen_t size = sizeof error;
    if (error != EINPROGRESS || !wait_for(fd_, POLLOUT, until) ||
        ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0)
        close();
}

line::line(line&& other) noexcept
    : until(other.until), piece(other.piece), pause(other.pause),
      buf(std::move(other.buf)), fd_(std::exchange(other.fd_, -1))
{
}

line::~line()
{
    close();
}

void line::close()
{
    if (fd_ >= 0)
        ::close(std::exchange(fd_, -1));
}

void line::reset()
{
    linger const now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

void line::end_input()
{
    ::shutdown(fd_, SHUT_WR);
}

bool line::send(std::string_view text)
{
    while (!text.empty()) {
        if (!wait_for(fd_, POLLOUT, until))
            return false;
        auto const n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN && errno != EINTR)
            return false;
        text.remove_prefix(n > 0 ? static_cast<std::size_t>(n) : 0);
    }
    return true;
}

ending line::fill(std::size_t size)
{
    while (buf.size() < size) {
        if (!wait_for(fd_, POLLIN, until))
            return ending::timed_out;
        auto const at = buf.size();
        buf.resize(at + piece);
        auto const n = ::recv(fd_, buf.data() + at, piece, 0);
        buf.resize(at + (n > 0 ? static_cast<std::size_t>(n) : 0));
        if (n == 0)
            return reset_follows(fd_) ? ending::reset : ending::closed;
        if (n < 0 && errno != EAGAIN && errno != EINTR)
            return ending::reset;
        std::this_thread::sleep_for(pause);
    }
    return ending::complete;
}

ending line::fill_to(std::string_view mark)
{
    while (buf.find(mark) == std::string::npos)
        if (auto const it = fill(buf.size() + 1); it != ending::complete)
            return it;
    return ending::complete;
}

std::string line::take(std::size_t size)
{
    auto out = buf.substr(0, size);
    buf.erase(0, size);
    return out;
}

std::string field(std::string const& head, std::string const& name)
{
    for (auto at = head.find("\r\n"); at != head.npos;
         at = head.find("\r\n", at + 2)) {
        auto const* const from = head.c_str() + at + 2;
        if (::strncasecmp(from, (name + ":").c_str(), name.size() + 1) != 0)
            continue;
        auto const value = head.find_first_not_of(' ', at + name.size() + 3);
        return head.substr(value, head.find('\r', value) - value);
    }
    return {};
}

int status_of(message const& it)
{
    return it.head.starts_with("HTTP/1.1 ") ? std::atoi(it.head.c_str() + 9)
                                            : 0;
}

message read_answer(line& from)
{
    message out;
    out.end = from.fill_to("\r\n\r\n");
    if (out.end != ending::complete)
        return out;
    out.head = from.take(from.buf.find("\r\n\r\n") + 4);
    auto const length = field(out.head, "Content-Length");
    if (!field(out.head, "Transfer-Encoding").empty())
        out.end = read_chunks(from, out.body);
    else if (!length.empty())
        out.end = read_bytes(from, std::stoul(length), out.body);
    else {
        while (out.end == ending::complete)
            out.end = from.fill(from.buf.size() + 1);
        out.body = std::exchange(from.buf, {});
        out.end = out.end == ending::closed ? ending::complete : out.end;
    }
    return out;
}

message ask(std::string const& address, std::string const& bytes,
            milliseconds limit)
{
    line to(address, limit);
    return to.open() && to.send(bytes) ? read_answer(to) : message{};
}

} // namespace papayahook::soak
