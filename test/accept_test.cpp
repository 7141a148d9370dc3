// Tests that listeners go on accepting after errors, and that no kind of
// connection takes the descriptors of another.
#include "platform/wire.hpp"
#include "runtime/accept_loop.hpp"
#include "runtime/http_client.hpp"
#include "runtime/http_server.hpp"
#include "runtime/settings.hpp"
#include "support/fleet.hpp"
#include "support/platform_nodes.hpp"

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <span>
#include <thread>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;
using asio::ip::tcp;
namespace wire = platform::wire;

namespace {

using sockets = std::vector<tcp::socket>;

constexpr int few_descriptors = 80;
// Of a core, while descriptors are short.
constexpr double max_processor_share = 0.5;

tcp::socket connected(asio::io_context& io, std::string const& address)
{
    tcp::socket out(io);
    out.connect(endpoint_of(address));
    return out;
}

// Connects without waiting, because a full queue of the listener takes no more.
sockets connect_many(asio::io_context& io, std::string const& address, int n)
{
    sockets out;
    for (int i = 0; i < n; ++i) {
        tcp::socket it(io);
        it.open(tcp::v4());
        it.non_blocking(true);
        std::error_code ec; // "in progress" is expected
        it.connect(endpoint_of(address), ec);
        out.push_back(std::move(it));
    }
    return out;
}

void reset(sockets& all)
{
    for (auto& it : all) {
        std::error_code ec; // may have failed to connect
        it.set_option(asio::socket_base::linger(true, 0), ec);
        it.close(ec);
    }
    all.clear();
}

std::string read_some(tcp::socket& from)
{
    std::array<char, 4096> buf{};
    return {buf.data(), from.read_some(asio::buffer(buf))};
}

std::string read_all(tcp::socket& from)
{
    std::string out;
    std::array<char, 4096> buf{};
    for (std::error_code ec; !ec;) {
        auto const n = from.read_some(asio::buffer(buf), ec);
        out.append(buf.data(), n);
    }
    return out;
}

// A fake platform with one runner, and one node with few descriptors.
struct limited_platform
{
    limited_platform()
    {
        fake.put(wire::operator_topic, wire::configuration_key, configuration);
        fake.add_runner({"i-1", "app"});
        auto const ports = free_ports(internal_ports);
        peer_address = "127.0.0.1:" + std::to_string(ports);
        node = settings_of_node("n1", fake, ports);
        auto const fds = std::to_string(few_descriptors);
        std::ofstream(node.settings, std::ios::app)
            << "limits.max_fds=" << fds << '\n';
        setenv("PAPAYAHOOK_SETTINGS", node.settings.c_str(), 1);
        node.run = std::make_unique<process>(
            std::vector<std::string>{"/bin/sh", "-c",
                                     "ulimit -n " + fds + " && exec \"$0\"",
                                     program("papayahook-node")},
            node.log);
        REQUIRE(eventually(20s, [&] { return is_ready(node); }));
    }

    // Returns how many of ten requests are answered.
    int answered(std::string const& name)
    {
        int out = 0;
        for (int i = 0; i < 10; ++i) {
            auto it = request(node, "/p/x", name + "-" + std::to_string(i));
            it.timeout = 5s;
            out += run_call(it).status == 200 ? 1 : 0;
        }
        return out;
    }

    // Processor time that the node uses from now on, as a share of a core.
    double processor_share(std::chrono::milliseconds time) const
    {
        auto const before = usage_of(node.run->id()).cpu;
        std::this_thread::sleep_for(time);
        return (usage_of(node.run->id()).cpu - before) / (1.0 * time);
    }

    platform_fake fake;
    platform_node node;
    std::string peer_address;
};

struct small_server
{
    explicit small_server(std::size_t max_connections)
    {
        runtime::http_server_options options;
        options.port = free_port();
        options.max_connections = max_connections;
        address = "127.0.0.1:" + std::to_string(options.port);
        server = std::make_unique<runtime::http_server>(
            io, options,
            [](auto const&, auto const& out) { out->send(200, {}, "ok"); });
    }

    ~small_server()
    {
        io.stop();
        if (thread.joinable())
            thread.join();
    }

    // Until then, callers wait in the queue of the listener.
    void run()
    {
        thread = std::thread([this] { io.run(); });
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work{
        io.get_executor()};
    std::string address;
    std::vector<runtime::responder_ptr> held;
    std::unique_ptr<runtime::http_server> server;
    std::thread thread;
};

void send_request(tcp::socket& to)
{
    asio::write(to, asio::buffer(std::string_view(
                        "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
}

bool gets_bytes(tcp::socket& caller)
{
    return eventually(5s, [&] { return caller.available() != 0; });
}

bool is_answered(tcp::socket& caller)
{
    send_request(caller);
    return gets_bytes(caller);
}

// Results of limited calls, in the order in which they end.
struct limited_calls
{
    explicit limited_calls(std::size_t max) : client(io, max) {}

    void start(std::string const& address, std::string const& path)
    {
        runtime::http_call call;
        call.url = "http://" + address + path;
        call.connection_group = path;
        call.limited = true;
        call.on_done = [this](auto const& it) {
            ended.push_back(it);
        };
        client.start(std::move(call));
    }

    bool ends(std::size_t n)
    {
        return eventually(5s, [&] {
            io.restart();
            io.run_for(10ms);
            return ended.size() >= n;
        });
    }

    asio::io_context io;
    std::vector<runtime::http_result> ended;
    runtime::http_client client;
};

} // namespace

TEST_CASE("callers that reset their connection before it is accepted do not "
          "use up the places of a listener")
{
    small_server s(4);
    asio::io_context callers;
    for (int i = 0; i < 8; ++i) {
        sockets one;
        one.push_back(connected(callers, s.address));
        reset(one);
    }
    s.run();
    auto caller = connected(callers, s.address);
    CHECK(is_answered(caller));
}

TEST_CASE("callers that reset their connection before it is accepted do not "
          "end the listener of a process")
{
    constexpr int rounds = 14;
    constexpr int callers_per_round = 320;
    limited_platform p;
    asio::io_context io;
    for (int i = 0; i < rounds; ++i) {
        p.node.run->signal(SIGSTOP);
        auto all = connect_many(io, p.node.front, callers_per_round);
        std::this_thread::sleep_for(50ms);
        reset(all);
        p.node.run->signal(SIGCONT);
        std::this_thread::sleep_for(50ms);
    }
    CHECK(p.answered("after") == 10);
}

TEST_CASE("callers that used up all descriptors and left do not end the "
          "listener of a process")
{
    limited_platform p;
    asio::io_context io;
    auto callers = connect_many(io, p.node.front, 300);
    CHECK(p.processor_share(2s) < max_processor_share);
    callers.clear();
    CHECK(eventually(10s, [&] { return p.answered("after") == 10; }));
}

TEST_CASE("callers beyond the limit of a listener are refused at once, until "
          "others leave")
{
    small_server s(2);
    asio::io_context callers;
    sockets all;
    for (int i = 0; i < 40; ++i)
        all.push_back(connected(callers, s.address));
    s.run();
    for (auto& it : std::span(all).subspan(2)) {
        auto const answer = read_all(it);
        CHECK(answer.starts_with("HTTP/1.1 503 "));
        CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
        CHECK(answer.ends_with("\r\n\r\ntoo many connections\n"));
    }
    CHECK(is_answered(all[0]));
    CHECK(is_answered(all[1]));
    all[0].close();
    CHECK(eventually(5s, [&] {
        auto caller = connected(callers, s.address);
        send_request(caller);
        return gets_bytes(caller) &&
               !read_some(caller).starts_with("HTTP/1.1 503 ");
    }));
}

TEST_CASE("a caller that waits in the queue of a listener is answered after "
          "the listener has stopped")
{
    small_server s(8);
    asio::io_context callers;
    sockets all;
    for (int i = 0; i < 5; ++i) {
        all.push_back(connected(callers, s.address));
        send_request(all.back());
    }
    s.server->stop();
    s.run();
    for (auto& it : all)
        CHECK(gets_bytes(it));
    tcp::socket late(callers);
    std::error_code ec;
    late.connect(endpoint_of(s.address), ec);
    CHECK(ec == asio::error::connection_refused);
}

// Its caller waits for an answer, or takes the end of the connection for one.
TEST_CASE("a request that was read but not handled when the loop ended is "
          "reset")
{
    asio::io_context callers;
    sockets all;
    {
        small_server s(8);
        for (int i = 0; i < 5; ++i) {
            all.push_back(connected(callers, s.address));
            send_request(all.back());
        }
        s.server->stop();
    }
    for (auto& it : all) {
        std::array<char, 64> buf{};
        std::error_code ec;
        it.read_some(asio::buffer(buf), ec);
        CHECK(ec == asio::error::connection_reset);
    }
}

TEST_CASE("a listener that stops takes no more callers than its queue holds")
{
    constexpr int most = asio::socket_base::max_listen_connections + 1;
    asio::io_context io;
    auto const address = "127.0.0.1:" + std::to_string(free_port());
    int taken = 0;
    auto const call = [&] {
        sockets one;
        one.push_back(connected(io, address));
        reset(one);
    };
    runtime::accept_loop it(io, endpoint_of(address), [&](auto) {
        if (++taken <= most)
            call(); // there is always one more
    });
    call();
    it.close();
    CHECK(taken > 0);
    CHECK(taken <= most);
}

TEST_CASE("connections to the peer port beside used up descriptors do not "
          "use a core")
{
    limited_platform p;
    asio::io_context io;
    auto const callers = connect_many(io, p.node.front, 300);
    auto const peers = connect_many(io, p.peer_address, 40);
    CHECK(p.processor_share(2s) < max_processor_share);
}

TEST_CASE("readiness, metrics and the store are reached while callers use up "
          "their descriptors")
{
    limited_platform p;
    asio::io_context io;
    auto callers = connect_many(io, p.node.front, 300);
    int failed = 0;
    for (int i = 0; i < 20; ++i) {
        failed += is_ready(p.node) ? 0 : 1;
        failed += gauge_of(p.node, "papayahook_store_age_seconds") < 5 ? 0 : 1;
        std::this_thread::sleep_for(200ms);
    }
    CHECK(failed == 0);
    callers.clear();
    CHECK(eventually(10s, [&] { return p.answered("after") == 10; }));
}

TEST_CASE("a call for which no connection is left fails at once as not sent")
{
    small_server s(8);
    s.run();
    limited_calls c(2);
    for (int i = 0; i < 3; ++i)
        c.start(s.address, "/hold");
    REQUIRE(c.ends(1));
    CHECK(c.ended[0].error);
    CHECK(c.ended[0].step == "send");
    CHECK(!c.ended[0].may_have_run);
    CHECK(c.client.limited_connections() == 2);
}

TEST_CASE("an idle connection is closed when another call needs its place")
{
    small_server s(8);
    s.run();
    limited_calls c(1);
    c.start(s.address, "/a");
    REQUIRE(c.ends(1));
    c.start(s.address, "/b");
    REQUIRE(c.ends(2));
    CHECK(c.ended[1].status == 200);
    CHECK(c.client.limited_connections() == 1);
}

TEST_CASE("requests beyond the connections to endpoints are refused, and the "
          "endpoint is not blamed")
{
    limited_platform p;
    for (int i = 2; i < 10; ++i)
        p.fake.add_runner({"i-" + std::to_string(i), "raw", "v1", false, 1s});
    REQUIRE(eventually(10s, [&] {
        return run_call(request(p.node, "/raw/x", "first")).status == 200;
    }));
    auto const limit = [&](char const* kind) {
        return gauge_of(p.node, "papayahook_connection_limit{kind=\"" +
                                    std::string(kind) + "\"}");
    };
    CHECK(limit("endpoints") >= 8);
    CHECK(limit("callers") > limit("endpoints"));
    CHECK(limit("callers") + limit("endpoints") + limit("peers") <
          few_descriptors);
    std::vector<call_plan> plans;
    for (int i = 0; i < static_cast<int>(limit("callers")); ++i)
        plans.push_back(request(p.node, "/raw/x", "id-" + std::to_string(i)));
    auto const outcomes = run_calls(plans);
    auto const count = [&](int status) {
        return std::ranges::count(outcomes, status, &call_outcome::status);
    };
    CHECK(count(200) >= static_cast<long>(limit("endpoints")));
    CHECK(count(503) > 0);
    CHECK(count(200) + count(503) == std::ssize(outcomes));
    CHECK(run_call(request(p.node, "/raw/x", "last")).status == 200);
}
