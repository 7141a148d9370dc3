// Tests of calls whose answers may be late, against a server that is.
#include "runtime/hedged_calls.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>

using namespace papayahook::runtime;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

using delays = std::vector<std::chrono::milliseconds>;

// Answers the n-th request on any connection after the n-th delay, with n.
struct late_server
{
    late_server(asio::io_context& it, delays all)
        : io(it), after(std::move(all)),
          acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
    }

    std::string url() const
    {
        return "http://127.0.0.1:" +
               std::to_string(acceptor.local_endpoint().port()) + "/x";
    }

    void accept()
    {
        acceptor.async_accept([this](auto ec, tcp::socket s) {
            if (ec)
                return;
            ++open;
            read(*sockets.emplace_back(
                std::make_unique<tcp::socket>(std::move(s))));
            accept();
        });
    }

    void read(tcp::socket& s)
    {
        auto const buf = std::make_shared<std::array<char, 4096>>();
        s.async_read_some(asio::buffer(*buf), [=, this, &s](auto ec, auto) {
            (void)buf;
            if (ec)
                return;
            auto const n = seen++;
            watch(s);
            auto& timer = *timers.emplace_back(
                std::make_unique<asio::steady_timer>(io, after.at(n)));
            timer.async_wait([=, this, &s](auto) { answer(s, n); });
        });
    }

    // Requests come only after their answer, so this ends with a connection
    // that is given up.
    void watch(tcp::socket& s)
    {
        s.async_wait(tcp::socket::wait_read, [=, this, &s](auto) {
            std::error_code ec;
            open -= s.available(ec) == 0 ? 1 : 0;
        });
    }

    void answer(tcp::socket& s, std::size_t n)
    {
        auto const text = std::make_shared<std::string>(
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(n));
        asio::async_write(s, asio::buffer(*text), [=, this, &s](auto ec, auto) {
            (void)text;
            if (!ec)
                read(s);
        });
    }

    asio::io_context& io;
    delays after;
    tcp::acceptor acceptor;
    std::size_t seen = 0;
    int open = 0; // connections
    std::vector<std::unique_ptr<tcp::socket>> sockets;
    std::vector<std::unique_ptr<asio::steady_timer>> timers;
};

struct hedged_run
{
    explicit hedged_run(delays all) : server(io, std::move(all)) {}

    // A call that is late is followed by another one.
    void start(int more)
    {
        http_call call;
        call.url = server.url();
        calls.start(std::move(call), 0ms, 100ms,
                    [this, more](auto const& result, auto const& body) {
                        outcomes.push_back(result.error ? result.step : body);
                        if (result.error && more > 0)
                            start(more - 1);
                    });
    }

    std::string all_outcomes() const
    {
        std::string out;
        for (auto const& it : outcomes)
            out += (out.empty() ? "" : " ") + it;
        return out;
    }

    asio::io_context io;
    late_server server;
    http_client client{io};
    hedged_calls calls{io, client};
    std::vector<std::string> outcomes;
};

using texts = std::vector<std::string>;

} // namespace

TEST_CASE("a late answer is taken if no other one came first")
{
    auto const [all, outcomes] = GENERATE(table<delays, std::string>(
        {{delays{20ms, 20ms}, "0"},
         {delays{300ms, 600ms}, "timeout timeout 0"},
         {delays{600ms, 20ms}, "timeout 1"},
         {delays{300ms, 300ms}, "timeout timeout 0"}}));
    hedged_run r(all);
    r.start(1);
    r.io.run_for(1s);
    CHECK(r.all_outcomes() == outcomes);
}

TEST_CASE("a call to a server that has been late is awaited for longer")
{
    hedged_run r({300ms, 400ms});
    r.start(0);
    r.io.run_for(500ms);
    r.start(0);
    r.io.run_for(1s);
    CHECK(r.outcomes == texts{"timeout", "0", "1"});
}

TEST_CASE("calls to a silent server are few, and report nothing once forgotten")
{
    constexpr std::size_t calls = 8;
    hedged_run r(delays(calls, 10min));
    r.start(calls - 1);
    r.io.run_for(1500ms);
    CHECK(r.outcomes == texts(calls, "timeout"));
    CHECK(r.server.open <= 3);
    r.calls.forget();
    r.io.run_for(300ms);
    CHECK(r.outcomes.size() == calls);
    CHECK(r.server.open == 0);
}
