#include "soak/plain_http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace papayahook::soak {

namespace {

using namespace std::chrono_literals;

bool wait_for(int fd, short events, clock::time_point until)
{
    auto const left =
        std::chrono::ceil<std::chrono::milliseconds>(until - clock::now());
    pollfd it{fd, events, 0};
    return ::poll(&it, 1, static_cast<int>(std::max(0ms, left).count())) == 1;
}

sockaddr_in address_of(std::string const& ip, std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

bool same_letters(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

// Fills `buf` up to `size` bytes.
ending fill(line& from, std::size_t size, clock::time_point until,
            reading const& pace)
{
    while (from.buf.size() < size) {
        if (auto const it = from.receive(until, pace.size);
            it != ending::complete)
            return it;
        if (pace.pause > 0ms)
            std::this_thread::sleep_for(pace.pause);
    }
    return ending::complete;
}

ending fill_to(line& from, std::string const& mark, clock::time_point until,
               reading const& pace)
{
    while (from.buf.find(mark) == std::string::npos)
        if (auto const it = fill(from, from.buf.size() + 1, until, pace);
            it != ending::complete)
            return it;
    return ending::complete;
}

std::string take(std::string& buf, std::size_t size)
{
    auto out = buf.substr(0, size);
    buf.erase(0, size);
    return out;
}

// Moves what has come of `size` bytes to the body.
ending read_bytes(line& from, std::size_t size, clock::time_point until,
                  reading const& pace, std::string& body)
{
    auto const it = fill(from, size, until, pace);
    body += take(from.buf, std::min(size, from.buf.size()));
    return it;
}

ending read_chunks(line& from, clock::time_point until, reading const& pace,
                   std::string& body)
{
    for (;;) {
        if (auto const it = fill_to(from, "\r\n", until, pace);
            it != ending::complete)
            return it;
        auto const text = take(from.buf, from.buf.find("\r\n") + 2);
        auto const size = std::strtoul(text.c_str(), nullptr, 16);
        if (auto const it = read_bytes(from, size, until, pace, body);
            it != ending::complete)
            return it;
        if (auto const it = fill(from, 2, until, pace); it != ending::complete)
            return it;
        if (take(from.buf, 2) != "\r\n")
            return ending::reset; // bytes that are no chunk
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

line::line(line&& other) noexcept
    : buf(std::move(other.buf)), fd_(std::exchange(other.fd_, -1))
{
}

line& line::operator=(line&& other) noexcept
{
    std::swap(fd_, other.fd_);
    std::swap(buf, other.buf);
    return *this;
}

line::~line()
{
    close();
}

void line::close()
{
    if (fd_ >= 0)
        ::close(std::exchange(fd_, -1));
    buf.clear();
}

void line::reset()
{
    linger const now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

bool line::send(std::string_view text, clock::time_point until)
{
    while (!text.empty()) {
        if (!wait_for(fd_, POLLOUT, until))
            return false;
        auto const n =
            ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && errno != EAGAIN && errno != EINTR)
            return false;
        text.remove_prefix(n > 0 ? static_cast<std::size_t>(n) : 0);
    }
    return true;
}

ending line::receive(clock::time_point until, std::size_t size)
{
    if (!wait_for(fd_, POLLIN, until))
        return ending::timed_out;
    auto const at = buf.size();
    buf.resize(at + size);
    auto const n = ::recv(fd_, buf.data() + at, size, MSG_DONTWAIT);
    buf.resize(at + (n > 0 ? static_cast<std::size_t>(n) : 0));
    if (n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR)))
        return ending::complete;
    return n == 0 ? ending::closed : ending::reset;
}

std::string field(std::string const& head, std::string const& name)
{
    for (std::size_t at = head.find("\r\n"); at != head.npos;) {
        auto const from = at + 2;
        auto const to = head.find("\r\n", from);
        auto const colon = head.find(':', from);
        if (to == head.npos || colon > to)
            return {};
        if (same_letters({head.data() + from, colon - from}, name)) {
            auto const value = head.find_first_not_of(' ', colon + 1);
            return head.substr(value, to - std::min(to, value));
        }
        at = to;
    }
    return {};
}

int status_of(std::string const& head)
{
    return head.starts_with("HTTP/1.1 ") ? std::atoi(head.c_str() + 9) : 0;
}

std::string query_of(std::string const& head, std::string const& name)
{
    auto const target = head.substr(0, head.find(" HTTP/1.1\r\n"));
    for (auto const* const mark : {"?", "&"})
        if (auto const at = target.find(mark + name + "="); at != target.npos) {
            auto const from = at + name.size() + 2;
            return target.substr(from, target.find('&', from) - from);
        }
    return {};
}

message read_message(line& from, clock::time_point until, bool is_answer,
                     reading const& pace)
{
    message out;
    out.end = fill_to(from, "\r\n\r\n", until, pace);
    if (out.end != ending::complete)
        return out;
    out.head = take(from.buf, from.buf.find("\r\n\r\n") + 4);
    if (auto const code = status_of(out.head);
        is_answer && code >= 100 && code < 200)
        return read_message(from, until, is_answer, pace);
    auto const length = field(out.head, "Content-Length");
    if (same_letters(field(out.head, "Transfer-Encoding"), "chunked"))
        out.end = read_chunks(from, until, pace, out.body);
    else if (!length.empty())
        out.end = read_bytes(from, std::stoul(length), until, pace, out.body);
    else if (is_answer) {
        while (out.end == ending::complete)
            out.end = fill(from, from.buf.size() + 1, until, pace);
        out.body = std::exchange(from.buf, {});
        if (out.end == ending::closed)
            out.end = ending::complete;
    }
    return out;
}

int listen_on_loopback(std::uint16_t port)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const at = address_of("127.0.0.1", port);
    if (::bind(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0 ||
        ::listen(fd, 512) != 0)
        throw std::runtime_error("cannot listen");
    return fd;
}

line connect_to(std::string const& address, std::chrono::milliseconds limit,
                int receive_buffer)
{
    auto const colon = address.find(':');
    auto const to = address_of(
        address.substr(0, colon),
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    line out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (receive_buffer > 0)
        ::setsockopt(out.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    if (::connect(out.fd(), reinterpret_cast<sockaddr const*>(&to),
                  sizeof to) == 0)
        return out;
    int error = errno;
    socklen_t size = sizeof error;
    if (error != EINPROGRESS ||
        !wait_for(out.fd(), POLLOUT, clock::now() + limit) ||
        ::getsockopt(out.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0)
        out.close();
    return out;
}

int status_at(std::string const& address, std::string const& path,
              std::chrono::milliseconds limit)
{
    auto const until = clock::now() + limit;
    auto to = connect_to(address, limit);
    if (!to.open() || !to.send("GET " + path + " HTTP/1.1\r\nHost: " + address +
                                   "\r\nConnection: close\r\n\r\n",
                               until))
        return 0;
    auto const it = read_message(to, until, true);
    return it.end == ending::complete ? status_of(it.head) : 0;
}

} // namespace papayahook::soak
