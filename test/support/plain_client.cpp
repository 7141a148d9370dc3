#include "support/plain_client.hpp"

#include "support/client.hpp"

#include <algorithm>
#include <array>
#include <asio/write.hpp>
#include <cctype>
#include <charconv>
#include <optional>
#include <poll.h>
#include <string_view>

namespace papayahook::support {

namespace {

constexpr std::string_view line_end = "\r\n";

std::optional<std::string_view> take_line(std::string_view& in)
{
    auto const at = in.find(line_end);
    if (at == in.npos)
        return std::nullopt;
    auto const out = in.substr(0, at);
    in.remove_prefix(at + line_end.size());
    return out;
}

std::optional<std::size_t> number(std::string_view it, int base)
{
    std::size_t out = 0;
    auto const [end, ec] =
        std::from_chars(it.data(), it.data() + it.size(), out, base);
    return ec == std::errc() && end == it.data() + it.size()
               ? std::optional(out)
               : std::nullopt;
}

std::string field(std::string_view head, std::string_view name)
{
    auto const lower = [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    };
    while (auto const it = take_line(head)) {
        auto const colon = std::min(it->find(':'), it->size());
        if (!std::ranges::equal(it->substr(0, colon), name, {}, lower, lower))
            continue;
        auto const value = it->substr(std::min(colon + 1, it->size()));
        return std::string(
            value.substr(std::min(value.find_first_not_of(' '), value.size())));
    }
    return {};
}

char const* take_chunks(std::string_view& in, std::string& body)
{
    for (;;) {
        auto const line = take_line(in);
        if (!line)
            return incomplete_answer;
        auto const n = number(*line, 16);
        if (!n)
            return "no size of a chunk";
        if (in.size() < *n + line_end.size())
            return incomplete_answer;
        body += in.substr(0, *n);
        in.remove_prefix(*n);
        if (!in.starts_with(line_end))
            return "no end of a chunk";
        in.remove_prefix(line_end.size());
        if (*n == 0)
            return "";
    }
}

char const* take_body(std::string_view& in, plain_answer& out)
{
    if (field(out.head, "Transfer-Encoding") == "chunked")
        return take_chunks(in, out.body);
    auto const n = number(field(out.head, "Content-Length"), 10);
    if (!n)
        return "no length";
    out.body = in.substr(0, *n);
    if (in.size() < *n)
        return incomplete_answer;
    in.remove_prefix(*n);
    return "";
}

} // namespace

plain_answer take_answer(std::string& received)
{
    constexpr std::string_view version = "HTTP/1.1 ";
    plain_answer out;
    std::string_view in = received;
    auto const end = in.find("\r\n\r\n");
    if (end == in.npos) {
        out.fault = incomplete_answer;
        return out;
    }
    out.head = in.substr(0, end + line_end.size());
    in.remove_prefix(end + 2 * line_end.size());
    auto const digits = std::string_view(out.head).substr(
        std::min(version.size(), out.head.size()), 3);
    auto const status = number(digits, 10);
    if (!out.head.starts_with(version) || !status || *status < 200)
        out.fault = "no final status: " + out.head;
    else {
        out.status = static_cast<int>(*status);
        out.fault = take_body(in, out);
    }
    if (out.fault.empty())
        received = std::string(in);
    return out;
}

plain_client::plain_client(std::string const& address)
{
    socket_.connect(endpoint_of(address));
}

void plain_client::send(std::string const& bytes)
{
    asio::write(socket_, asio::buffer(bytes));
}

void plain_client::end_sending()
{
    socket_.shutdown(asio::socket_base::shutdown_send);
}

void plain_client::close()
{
    socket_.close();
}

bool plain_client::receive(std::chrono::steady_clock::time_point until)
{
    auto const left = std::chrono::ceil<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
    pollfd it{socket_.native_handle(), POLLIN, 0};
    if (!end_.empty() || left.count() <= 0 ||
        ::poll(&it, 1, static_cast<int>(left.count())) <= 0)
        return false;
    std::array<char, 16'384> buf{};
    std::error_code ec;
    received_.append(buf.data(), socket_.read_some(asio::buffer(buf), ec));
    if (ec)
        end_ = ec.message();
    return !ec;
}

plain_answer plain_client::read(std::chrono::milliseconds limit)
{
    auto const until = std::chrono::steady_clock::now() + limit;
    for (;;) {
        auto out = take_answer(received_);
        if (out.fault != incomplete_answer)
            return out;
        if (!receive(until)) {
            out.fault += ", " + (end_.empty() ? "no end" : end_) + ": " +
                         received_.substr(0, 200);
            return out;
        }
    }
}

bool plain_client::ends(std::chrono::milliseconds limit)
{
    auto const until = std::chrono::steady_clock::now() + limit;
    while (receive(until))
        ;
    return received_.empty() && !end_.empty();
}

} // namespace papayahook::support
