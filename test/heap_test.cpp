// Tests of the account of all that a process allocates, and of what a server
// does when it is used up.
#include "runtime/arriving_requests.hpp"
#include "runtime/heap.hpp"
#include "runtime/http_server.hpp"
#include "runtime/settings.hpp"
#include "support/client.hpp"
#include "support/processes.hpp"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

constexpr std::size_t megabyte = 1'000'000;

// A server that may allocate some megabytes more than at first.
struct heap_server
{
    explicit heap_server(std::size_t answer_bytes = 2)
    {
        options.port = free_port();
        options.write_timeout = 60s;
        options.max_intake_heap_bytes = runtime::heap_bytes() + 8 * megabyte;
        options.max_heap_bytes = runtime::heap_bytes() + 16 * megabyte;
        server.emplace(io, options, [answer_bytes](auto const&, auto out) {
            out->send(200, {}, std::string(answer_bytes, 'x'));
        });
    }

    tcp::socket call(std::string const& text)
    {
        tcp::socket out(callers);
        out.open(tcp::v4());
        out.set_option(asio::socket_base::receive_buffer_size(4'096));
        out.connect(endpoint_of("127.0.0.1:" + std::to_string(options.port)));
        asio::write(out, asio::buffer(text));
        return out;
    }

    void run(std::chrono::milliseconds time = 100ms)
    {
        io.restart();
        io.run_for(time);
    }

    // Returns the beginning of what a caller has received; empty: nothing.
    std::string received(tcp::socket& by)
    {
        std::array<char, 12> buf{};
        std::error_code ec;
        by.non_blocking(true);
        return {buf.data(), by.read_some(asio::buffer(buf), ec)};
    }

    asio::io_context io;
    asio::io_context callers;
    runtime::http_server_options options;
    std::optional<runtime::http_server> server;
};

std::string const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
std::string const refused = "HTTP/1.1 503";
std::string const answered = "HTTP/1.1 200";

} // namespace

// asio and C libraries do not allocate by operator new.
TEST_CASE("every block of the heap counts until it is freed, whoever took it")
{
    constexpr std::size_t small = 1'000;
    constexpr std::size_t n = 4'000;
    auto const bytes_now = [] {
        std::this_thread::sleep_for(10ms); // the newest sample
        return runtime::heap_bytes();
    };
    auto const before = bytes_now();
    {
        std::vector<std::unique_ptr<char[]>> const blocks = [] {
            std::vector<std::unique_ptr<char[]>> out(n);
            for (auto& it : out)
                it = std::make_unique<char[]>(small);
            return out;
        }();
        std::unique_ptr<void, decltype(&std::free)> const of_c(
            std::malloc(megabyte), &std::free);
        std::unique_ptr<void, decltype(&std::free)> const aligned(
            std::aligned_alloc(64, 64 * n), &std::free);
        auto const least = n * small + megabyte + 64 * n;
        CHECK(bytes_now() >= before + least);
        CHECK(bytes_now() < before + least + least / 4);
        CHECK(runtime::heap_excess(before) == runtime::heap_bytes() - before);
    }
    CHECK(bytes_now() < before + n * small / 20);
}

// A settings file that is read while it is written may name less.
TEST_CASE("a process takes requests in, whatever memory its settings name")
{
    constexpr std::size_t most = 260;
    for (std::size_t mb = 1; mb <= most; ++mb) {
        runtime::settings it;
        runtime::divide_memory(it, mb * megabyte);
        CHECK(it.max_intake_heap_bytes >= 24 * megabyte);
        CHECK(it.max_heap_bytes >= it.max_intake_heap_bytes);
    }
}

// What it is that has used up the memory does not matter.
TEST_CASE("callers are refused while the heap is used up, and served after")
{
    heap_server s;
    auto const arriving = s.call(request.substr(0, 10));
    s.run();
    auto ballast = std::make_optional<std::string>(9 * megabyte, 'x');
    auto late = s.call(request);
    s.run();
    CHECK(s.received(late) == refused);
    ballast.reset();
    auto later = s.call(request);
    s.run();
    CHECK(s.received(later) == answered);
}

TEST_CASE("a request that arrives while the heap is used up is refused")
{
    heap_server s;
    auto head = "GET /x HTTP/1.1\r\nHost: h\r\nX: " + std::string(2'000, 'x');
    auto caller = s.call(head);
    s.run();
    CHECK(s.received(caller).empty());
    std::string const ballast(9 * megabyte, 'x');
    asio::write(caller, asio::buffer(head.substr(head.size() - 100)));
    s.run();
    CHECK(s.received(caller) == refused);
}

TEST_CASE("an answer that nobody reads ends when the heap is used up")
{
    heap_server s(4 * megabyte);
    auto const closed = [&s] {
        return runtime::arriving_requests::of(s.io)->closed.at(
            static_cast<std::size_t>(runtime::close_reason::answer_memory));
    };
    auto const silent = s.call(request);
    auto other = s.call(request.substr(0, 10));
    s.run();
    std::this_thread::sleep_for(1'100ms); // it counts as not read by then
    std::string const ballast(14 * megabyte, 'x');
    asio::write(other, asio::buffer(request.substr(10)));
    s.run();
    CHECK(closed() == 1);
    CHECK(s.received(other) == answered);
}
