// Callers that do not behave: crowds of connections that send without end, stop
// halfway or do not read. Guards against a process that ends, that takes more
// memory or descriptors than its limits, or that serves nobody else any more.
#include "platform/wire.hpp"
#include "support/fleet.hpp"
#include "support/platform_nodes.hpp"
#include "support/raw_runners.hpp"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;
using asio::ip::tcp;
using clock_type = std::chrono::steady_clock;
namespace wire = platform::wire;

namespace {

constexpr std::size_t megabyte = 1'000'000;
// Limits of the node; the bounds of the tests are these, too.
constexpr std::size_t memory_mb = 40;
constexpr std::size_t max_fds = 200; // 53 of them for callers, 5 for probes
constexpr int crowd_size = 60;
constexpr int probe_crowd_size = 10;
constexpr auto max_push_time = 1'000ms;
constexpr auto quiet_time = 300ms; // a crowd that sends nothing more has ended
constexpr auto answer_limit = 10s;

constexpr char const* routes = R"({"version":1,"routes":[
{"name":"p","host":"h","path_prefix":"/p/","route_type":"idempotent",
 "timeout_ms":5000,"service":"app","attempts":1},
{"name":"s","host":"h","path_prefix":"/s/","route_type":"streaming",
 "timeout_ms":5000,"service":"app","attempts":1},
{"name":"long","host":"h","path_prefix":"/long/","route_type":"idempotent",
 "timeout_ms":5000,"service":"long","attempts":1},
{"name":"flood","host":"h","path_prefix":"/flood/","route_type":"streaming",
 "timeout_ms":5000,"service":"flood","attempts":1}],
"services":[{"name":"app","health_path":"/health"},{"name":"long"},
 {"name":"flood"}],
"tenants":[{"name":"acme","api_keys":["k1"]}]})";

// What one connection sends: a beginning, then a text over and over.
struct script
{
    std::string head;
    std::string unit;
    std::size_t bytes = 0; // of all, at most
    std::size_t piece = 64 * 1024;
    std::chrono::milliseconds pause{0}; // between pieces
    bool reads = true;
    bool half_closes = false;
};

struct member
{
    tcp::socket socket;
    script const* what = nullptr;
    std::size_t sent = 0;
    bool open = true;
    clock_type::time_point next{};
};

std::string repeated(std::string_view unit, std::size_t bytes)
{
    std::string out;
    while (out.size() < bytes)
        out += unit;
    return out;
}

struct crowd_part
{
    std::string address;
    script what;
    int size = crowd_size;
};

// Connections that follow scripts. All send in turn.
class crowd
{
public:
    explicit crowd(std::vector<crowd_part> parts) : parts_(std::move(parts))
    {
        for (auto& it : parts_) {
            if (!it.what.unit.empty())
                it.what.unit = repeated(it.what.unit, it.what.piece);
            for (int n = 0; n < it.size; ++n)
                connect(it);
        }
    }

    // Sends until nothing more is sent, but no longer than `max_push_time`.
    void push()
    {
        auto const until = clock_type::now() + max_push_time;
        auto last = clock_type::now();
        while (clock_type::now() < until &&
               clock_type::now() < last + quiet_time) {
            std::size_t n = 0;
            for (auto& it : members_)
                n += step(it);
            if (n != 0)
                last = clock_type::now();
            else
                std::this_thread::sleep_for(1ms);
        }
    }

private:
    void connect(crowd_part const& to)
    {
        tcp::socket s(io_);
        s.open(tcp::v4());
        std::error_code ec; // "in progress", and refusals, are expected
        if (!to.what.reads)
            s.set_option(asio::socket_base::receive_buffer_size(4096), ec);
        s.set_option(tcp::no_delay(true), ec);
        s.non_blocking(true);
        s.connect(endpoint_of(to.address), ec);
        members_.push_back({std::move(s), &to.what});
    }

    static std::string_view next_piece(member const& it)
    {
        auto const& s = *it.what;
        if (it.sent < s.head.size())
            return std::string_view(s.head).substr(it.sent);
        auto const after = it.sent - s.head.size();
        if (s.unit.empty() || after >= s.bytes)
            return {};
        auto out = std::string_view(s.unit);
        out.remove_prefix(after % out.size());
        return out.substr(0, s.bytes - after);
    }

    std::size_t step(member& it)
    {
        if (!it.open || clock_type::now() < it.next)
            return 0;
        std::error_code ec;
        if (it.what->reads)
            it.open = discard(it);
        auto const out = next_piece(it).substr(0, it.what->piece);
        if (out.empty() || !it.open) {
            if (it.what->half_closes)
                it.socket.shutdown(tcp::socket::shutdown_send, ec);
            return 0;
        }
        auto const n = it.socket.write_some(asio::buffer(out), ec);
        if (ec && ec != asio::error::would_block &&
            ec != asio::error::not_connected)
            it.open = false;
        it.sent += n;
        it.next = clock_type::now() + it.what->pause;
        return n;
    }

    bool discard(member& it)
    {
        std::error_code ec;
        while (it.socket.read_some(asio::buffer(buf_), ec) != 0) {
        }
        return ec == asio::error::would_block ||
               ec == asio::error::not_connected;
    }

    asio::io_context io_;
    std::vector<crowd_part> parts_;
    std::vector<member> members_;
    std::array<char, 64 * 1024> buf_{};
};

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

std::size_t open_descriptors(pid_t pid)
{
    namespace fs = std::filesystem;
    std::error_code ec; // the process may have ended
    fs::directory_iterator it("/proc/" + std::to_string(pid) + "/fd", ec);
    return static_cast<std::size_t>(std::distance(fs::begin(it), fs::end(it)));
}

std::string head_of(std::string const& method, std::string const& path,
                    std::string const& fields = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + wire::request_id +
           ": hostile\r\nAuthorization: Bearer k1\r\n" + fields;
}

std::string post_of_length(std::string const& path, std::size_t bytes)
{
    return head_of("POST", path,
                   "Content-Length: " + std::to_string(bytes) + "\r\n\r\n");
}

std::string post_of_chunks(std::string const& path)
{
    return head_of("POST", path, "Transfer-Encoding: chunked\r\n\r\n");
}

// A node with few descriptors and little memory.
struct small_node
{
    explicit small_node(std::string const& limits =
                            "limits.memory_mb=" + std::to_string(memory_mb) +
                            "\nlimits.max_fds=" + std::to_string(max_fds))
    {
        fake.put(wire::operator_topic, wire::configuration_key, routes);
        fake.add_runner({"i-1", "app"});
        auto const ports = free_ports(internal_ports);
        peer = "127.0.0.1:" + std::to_string(ports);
        node = settings_of_node("n1", fake, ports);
        std::ofstream(node.settings, std::ios::app) << limits << '\n';
        start(node);
        REQUIRE(eventually(20s, [&] { return is_ready(node); }));
    }

    // Checks what holds while a crowd is there.
    void check()
    {
        CHECK(node.run->runs());
        auto const peak = usage_of(node.run->id()).peak_bytes;
        CAPTURE(peak);
        CHECK(peak < memory_mb * megabyte);
        CHECK(open_descriptors(node.run->id()) < max_fds);
        CHECK(eventually(answer_limit, [&] {
            auto it = request(node, "/p/x", "ordinary");
            it.timeout = 2s;
            return run_call(it).status == 200;
        }));
        CHECK(eventually(answer_limit, [&] { return is_ready(node); }));
        CHECK(eventually(answer_limit, [&] {
            return !get(node.metrics, "/metrics").empty();
        }));
        CHECK(node.run->runs());
    }

    void meet(std::vector<crowd_part> const& parts)
    {
        auto const& it = parts.front().what;
        CAPTURE(parts.size(), parts.front().address, it.head.substr(0, 60),
                it.unit.substr(0, 20));
        crowd c(parts);
        c.push();
        check();
    }

    void meet_at(std::string const& address, script const& it)
    {
        meet({{address, it}});
    }

    // At a served path, one without a route, and the ports for the platform.
    template <class Make>
    void meet_everywhere(Make make)
    {
        meet({{node.front, make("/p/x")},
              {node.front, make("/none")},
              {node.readiness, make("/v1/readiness"), probe_crowd_size},
              {node.metrics, make("/metrics"), probe_crowd_size}});
    }

    platform_fake fake;
    platform_node node;
    std::string peer;
};

constexpr std::size_t long_body = 4'190'000; // max_body_bytes is 4,194,304

} // namespace

TEST_CASE("bodies just short of their end")
{
    small_node s;
    s.meet_everywhere([](std::string const& path) {
        return script{post_of_length(path, long_body), "x", long_body - 1};
    });
    s.meet_everywhere([](std::string const& path) {
        return script{post_of_length(path, long_body), "x", 400'000, 500};
    });
}

TEST_CASE("chunked bodies without an end")
{
    small_node s;
    s.meet_everywhere([](std::string const& path) {
        return script{post_of_chunks(path),
                      "400\r\n" + std::string(1024, 'x') + "\r\n", megabyte};
    });
}

TEST_CASE("bodies of chunks of one byte")
{
    small_node s;
    s.meet_everywhere([](std::string const& path) {
        return script{post_of_chunks(path), "1\r\nx\r\n", megabyte, 60'000};
    });
}

TEST_CASE("chunk extensions and trailers without an end")
{
    small_node s;
    s.meet_everywhere([](std::string const& path) {
        return script{post_of_chunks(path), "1;abcdefghijklm=n\r\nx\r\n",
                      megabyte};
    });
    s.meet_everywhere([](std::string const& path) {
        return script{post_of_chunks(path) + "1;", "a", megabyte};
    });
    s.meet_everywhere([](std::string const& path) {
        return script{post_of_chunks(path) + "1\r\nx\r\n0\r\n", "a:b\r\n",
                      megabyte};
    });
    s.meet_everywhere([](std::string const& path) {
        return script{post_of_chunks(path) + "1\r\nx\r\n0\r\na:", "b",
                      megabyte};
    });
}

TEST_CASE("bodies far over the limit")
{
    small_node s;
    s.meet_everywhere([](std::string const& path) {
        return script{post_of_length(path, 2'000 * megabyte), "x",
                      2 * megabyte};
    });
    s.meet_everywhere([](std::string const& path) {
        return script{post_of_chunks(path),
                      "4000\r\n" + std::string(0x4000, 'x') + "\r\n",
                      8 * megabyte};
    });
}

TEST_CASE("heads of many fields and heads without an end")
{
    small_node s;
    for (auto const* const unit :
         {"a:b\r\n", "a:\r\n", "a: bcdefghijklmnop\r\n"})
        s.meet_everywhere([&](std::string const& path) {
            return script{head_of("POST", path), unit, megabyte};
        });
    s.meet_everywhere([](std::string const& path) {
        return script{head_of("POST", path) + "a:", "b", megabyte};
    });
    s.meet_everywhere([](std::string const& path) {
        return script{"GET " + path + "?", "a", megabyte};
    });
    s.meet_everywhere([](std::string const& path) {
        return script{"", "\r\n", megabyte};
    });
}

TEST_CASE("requests sent ahead without reading the answers")
{
    small_node s;
    for (auto const* const path : {"/p/x", "/s/x", "/none"}) {
        s.meet_at(s.node.front, {"", head_of("GET", path) + "\r\n", megabyte,
                                 60'000, 0ms, false});
        s.meet_at(s.node.front,
                  {"", post_of_length(path, 20'000) + std::string(20'000, 'x'),
                   megabyte, 60'000, 0ms, false});
    }
    s.meet_at(s.node.readiness, {"", head_of("GET", "/v1/readiness") + "\r\n",
                                 megabyte, 60'000, 0ms, false});
    for (auto const* const path : {"/metrics", "/state"})
        s.meet_at(s.node.metrics, {"", head_of("GET", path) + "\r\n", megabyte,
                                   60'000, 0ms, false});
}

TEST_CASE("long answers that nobody reads")
{
    small_node s;
    std::string const body(megabyte, 'x');
    raw_runners const bodies(
        s.fake, "long", {"i-2"},
        std::vector<std::string>(
            100, "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body),
        core::endpoint_kind::plain_service);
    std::string events;
    for (int n = 1; n < 2'000; ++n)
        events += "id: " + std::to_string(n) +
                  "\ndata: " + std::string(1'000, 'x') + "\n\n";
    raw_runners const streams(
        s.fake, "flood", {"i-3"},
        std::vector<std::string>(100,
                                 "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
                                 "Content-Type: text/event-stream\r\n\r\n" +
                                     events + "<close>"));
    std::this_thread::sleep_for(500ms); // the node learns of the runners
    for (auto const* const path : {"/long/x", "/flood/x"})
        s.meet_at(s.node.front, {"", head_of("GET", path) + "\r\n", 2'000,
                                 60'000, 0ms, false});
}

TEST_CASE("slow senders")
{
    small_node s;
    s.meet_everywhere([](std::string const& path) {
        return script{"GET " + path, "a", 1'000, 1, 50ms};
    });
    s.meet_everywhere([](std::string const& path) {
        return script{post_of_length(path, 1'000), "a", 900, 1, 50ms};
    });
}

TEST_CASE("connections that send nothing, or a part of a request")
{
    small_node s;
    s.meet_everywhere([](std::string const&) { return script{}; });
    s.meet_everywhere(
        [](std::string const& path) { return script{head_of("GET", path)}; });
    s.meet_everywhere([](std::string const& path) {
        return script{post_of_length(path, 10) + "x"};
    });
}

TEST_CASE("connections whose sending side is closed")
{
    small_node s;
    for (auto const* const end : {"", "\r\n"})
        s.meet_everywhere([&](std::string const& path) {
            script out{head_of("GET", path) + end};
            out.reads = false;
            out.half_closes = true;
            return out;
        });
    s.meet_everywhere([](std::string const& path) {
        script out{post_of_length(path, long_body), "x", 50'000};
        out.half_closes = true;
        return out;
    });
}

TEST_CASE("crowds at the port for peers")
{
    small_node s;
    s.meet_at(s.peer, {});
    s.meet_at(s.peer, {head_of("GET", "/"), "a:b\r\n", megabyte});
    s.meet_at(s.peer, {post_of_length("/", 20 * megabyte), "x", 4 * megabyte});
    s.meet_at(s.peer,
              {post_of_chunks("/"), "400\r\n" + std::string(1024, 'x') + "\r\n",
               4 * megabyte});
    // A frame of 8 MB, which does not end.
    std::string const frame("\x82\xff\0\0\0\0\0\x80\0\0\0\0\0\0", 14);
    s.meet_at(s.peer, {"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
                       "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                       "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n" +
                           frame,
                       "x", 4 * megabyte});
}

// Guards against limits that a caller within the limits of the configuration
// reaches.
TEST_CASE("the largest legal requests are served by the smallest instance")
{
    small_node s("limits.memory_mb=120\nlimits.max_fds=3075\n"
                 "limits.cores=0.09");
    auto post = request(s.node, "/p/x", "largest");
    post.method = "POST";
    post.body.assign(4'194'304, 'x');
    CHECK(run_call(post).status == 200);

    std::string head = head_of("GET", "/p/x", "Connection: close\r\n");
    constexpr std::size_t max_head = 16'384;
    while (head.size() + 7 <= max_head)
        head += "a:b\r\n";
    head += "\r\n";
    asio::io_context io;
    tcp::socket caller(io);
    caller.connect(endpoint_of(s.node.front));
    asio::write(caller, asio::buffer(head));
    CHECK(read_all(caller).starts_with("HTTP/1.1 200 "));

    constexpr int events = 4'000;
    std::string stream;
    for (int n = 1; n <= events; ++n)
        stream += "id: " + std::to_string(n) +
                  "\ndata: " + std::string(1'000, 'x') + "\n\n";
    raw_runners const runners(
        s.fake, "flood", {"i-3"},
        {"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: " +
         std::to_string(stream.size()) +
         "\r\nContent-Type: text/event-stream\r\n\r\n" + stream});
    call_outcome answer;
    CHECK(eventually(answer_limit, [&] {
        answer = run_call(request(s.node, "/flood/x", "long"));
        return answer.status == 200;
    }));
    CHECK_FALSE(answer.broken);
    CHECK(answer.body.size() == stream.size());
}

TEST_CASE("crowds at a papayahookd")
{
    constexpr std::size_t max_body = 65'536;
    constexpr int connections = 100;
    // Beside what it needs without callers, 64 MB, each connection may hold a
    // request and its copy.
    constexpr std::size_t bound = 64 * megabyte + 2 * max_body * connections;
    fleet_options options;
    options.nodes = 1;
    options.limits = "max_body_bytes = " + std::to_string(max_body) +
                     "\nmax_connections = " + std::to_string(connections);
    auto f = start_fleet(options);
    auto& node = f.node(0);
    auto const meet = [&](script const& it) {
        CAPTURE(it.head.substr(0, 60), it.unit.substr(0, 20));
        crowd c({{node.caller, it, connections + 10}});
        c.push();
        CHECK(node.run->runs());
        auto const peak = usage_of(node.run->id()).peak_bytes;
        CAPTURE(peak);
        CHECK(peak < bound);
        CHECK(eventually(answer_limit, [&] {
            auto plan =
                completion(node.caller, test_key, "chat", "a b", 2, false);
            plan.timeout = 2s;
            return run_call(plan).status == 200;
        }));
        CHECK(get(node.admin, "/healthz") == "ok\n");
    };
    for (auto const* const path : {"/v1/chat/completions", "/none"}) {
        meet({post_of_length(path, max_body), "x", max_body - 1});
        meet({post_of_chunks(path), "1\r\nx\r\n", 6 * max_body - 100, 60'000});
        meet({head_of("GET", path), "a:b\r\n", megabyte});
        meet({head_of("GET", path)});
        meet({"", head_of("GET", path) + "\r\n", megabyte, 60'000, 0ms, false});
    }
}
