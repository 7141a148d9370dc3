// Tests of the life of a process, from its start to its end, against signals
// and against what it finds on its machine.
#include "platform/wire.hpp"
#include "runtime/http_server.hpp"
#include "support/client.hpp"
#include "support/fleet.hpp"
#include "support/plain_client.hpp"
#include "support/platform_fake.hpp"
#include "support/platform_nodes.hpp"

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>
#include <sys/stat.h>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

struct timed_signal
{
    std::chrono::milliseconds at{}; // from the first one
    int number = 0;
};

void send_signals(process& to, std::vector<timed_signal> const& all)
{
    std::chrono::milliseconds passed{0};
    for (auto const& it : all) {
        std::this_thread::sleep_for(it.at - passed);
        passed = it.at;
        to.signal(it.number);
    }
}

// All routes of the platform lead to a runner that takes its time.
void use_slow_runner(small_platform& p, std::size_t padding = 0)
{
    p.fake.add_runner({"i-2", "slow", "v1", false, 900ms, 300ms, padding});
    p.fake.put(platform::wire::operator_topic,
               platform::wire::configuration_key, R"({"routes":[
{"name":"p","host":"h","path_prefix":"/p/","route_type":"non_idempotent",
 "timeout_ms":30000,"service":"slow","attempts":1},
{"name":"s","host":"h","path_prefix":"/s/","route_type":"streaming",
 "timeout_ms":30000,"service":"slow","attempts":1}],
"services":[{"name":"slow"}],
"tenants":[{"name":"acme","api_keys":["k1"]}]})");
    std::this_thread::sleep_for(2s); // until the records are read
}

std::string const whole_stream =
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

} // namespace

TEST_CASE("signals in series cut no request and leave the exit status 0")
{
    using series = std::vector<timed_signal>;
    auto const signals =
        GENERATE(series{{0ms, SIGTERM}, {600ms, SIGTERM}},
                 series{{0ms, SIGTERM}, {100ms, SIGINT}, {300ms, SIGTERM}},
                 series{{0ms, SIGINT}, {100ms, SIGINT}, {200ms, SIGHUP}},
                 series{{0ms, SIGUSR1},
                        {0ms, SIGHUP},
                        {100ms, SIGTERM},
                        {200ms, SIGUSR1},
                        {300ms, SIGUSR2},
                        {400ms, SIGHUP},
                        {500ms, SIGINT},
                        {600ms, SIGTERM}});
    constexpr auto first_signal = 1'000ms;
    small_platform p;
    use_slow_runner(p);
    auto& node = p.nodes[0];
    std::vector<call_plan> plans;
    for (int n = 0; n < 48; ++n) {
        auto it = request(node, n % 3 == 0 ? "/s/x" : "/p/x",
                          "id-" + std::to_string(n));
        it.start = n * 50ms;
        plans.push_back(it);
    }
    std::thread sender([&] {
        std::this_thread::sleep_for(first_signal);
        send_signals(*node.run, signals);
    });
    auto const answers = run_calls(plans);
    sender.join();
    CHECK(node.run->wait(10s) == 0);
    for (std::size_t i = 0; i < plans.size(); ++i) {
        CAPTURE(plans[i].path, plans[i].start.count(), answers[i].body);
        CHECK_FALSE(answers[i].broken);
        CHECK(answers[i].status == 200);
        if (plans[i].path == "/s/x")
            CHECK(answers[i].body == whole_stream);
        else
            CHECK(answers[i].body == "answer to id-" + std::to_string(i));
    }
    auto const log = read_file(node.log);
    for (auto const& it : signals)
        CHECK(log.find(std::string("SIG") + sigabbrev_np(it.number)) !=
              log.npos);
}

namespace {

constexpr auto signals_of_operators =
    std::array{SIGHUP, SIGTERM, SIGINT, SIGUSR1, SIGUSR2};

// Blocks the signals in this thread, as a supervisor may, which its children
// inherit.
class blocked_signals
{
public:
    blocked_signals() { pthread_sigmask(SIG_BLOCK, &all(), &before_); }
    blocked_signals(blocked_signals const&) = delete;
    blocked_signals& operator=(blocked_signals const&) = delete;
    ~blocked_signals() { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }

private:
    static sigset_t const& all()
    {
        static sigset_t out;
        sigemptyset(&out);
        for (int const it : signals_of_operators)
            sigaddset(&out, it);
        return out;
    }

    sigset_t before_{};
};

std::uint16_t port_of(std::string const& address)
{
    return static_cast<std::uint16_t>(
        std::stoi(address.substr(address.find(':') + 1)));
}

// A node of either program with its settings.
struct starting_node
{
    explicit starting_node(bool daemon) : is_daemon(daemon)
    {
        if (!daemon) {
            n = settings_of_node("n1", fake, free_ports(internal_ports));
            read_at_start = n.settings;
            auto const metrics = port_of(n.metrics);
            ports = {port_of(n.front), port_of(n.readiness), metrics,
                     static_cast<std::uint16_t>(metrics - 14)};
            return;
        }
        auto const folder = make_folder("papayahookd");
        n.name = "n1";
        n.settings = folder + "/settings";
        n.log = folder + "/log";
        read_at_start = folder + "/key";
        std::ofstream(read_at_start) << "a key of peers, long enough\n";
        auto const listen = [this](char const* name) {
            ports.push_back(free_port());
            return std::string(name) +
                   " = \"127.0.0.1:" + std::to_string(ports.back()) + "\"\n";
        };
        std::ofstream(n.settings)
            << "[node]\nname = \"n1\"\nzone = \"zone-a\"\n[listen]\n"
            << listen("caller") << listen("admin") << listen("peer")
            << "[platform]\nlog = \"" << fake.store_address
            << "\"\ninstances = \"" << fake.store_address
            << "\"\n[security]\npeer_key_files = [\"" << read_at_start
            << "\"]\n";
    }

    void start()
    {
        if (!is_daemon)
            support::start(n);
        else
            n.run = std::make_unique<process>(
                std::vector<std::string>{program("papayahookd"), "--config",
                                         n.settings},
                n.log);
    }

    bool has_logged(std::string const& text) const
    {
        return read_file(n.log).find(text) != std::string::npos;
    }

    bool is_daemon;
    platform_fake fake;
    platform_node n;
    std::vector<std::uint16_t> ports; // that it listens on
    std::string read_at_start; // a file that is read before the loop runs
};

bool ends_process(int number)
{
    return number == SIGTERM || number == SIGINT;
}

// Signals that the kernel holds back or passes to a handler.
bool handles_signals(process const& it)
{
    std::istringstream in(
        read_file("/proc/" + std::to_string(it.id()) + "/status"));
    std::uint64_t handled = 0;
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("SigBlk:") || line.starts_with("SigCgt:"))
            handled |=
                std::stoull(line.substr(line.find(':') + 1), nullptr, 16);
    return std::ranges::all_of(signals_of_operators, [&](int number) {
        return (handled >> (number - 1) & 1) != 0;
    });
}

void check_signal_taken(starting_node& it, int number)
{
    CAPTURE(it.is_daemon, number);
    if (ends_process(number)) {
        CHECK(it.n.run->wait(10s) == 0);
        return;
    }
    CHECK(eventually(10s, [&] {
        return it.has_logged("event=101") &&
               it.has_logged(std::string("SIG") + sigabbrev_np(number));
    }));
    CHECK(it.n.run->runs());
}

} // namespace

TEST_CASE("a signal before the event loop runs is handled by it")
{
    bool const daemon = GENERATE(false, true);
    auto const number = GENERATE(from_range(signals_of_operators));
    starting_node it(daemon);
    auto const file = it.read_at_start;
    auto const text = read_file(file);
    std::filesystem::remove(file);
    REQUIRE(mkfifo(file.c_str(), 0600) == 0);
    it.start();
    std::ofstream pipe(file); // opens once the process reads it
    for (int i = 0; i < 3; ++i)
        it.n.run->signal(number);
    std::this_thread::sleep_for(20ms);
    REQUIRE(it.n.run->runs());
    std::filesystem::remove(file);
    std::ofstream(file) << text;
    pipe << text;
    pipe.close();
    check_signal_taken(it, number);
    CHECK(it.has_logged("event=101") != ends_process(number));
}

TEST_CASE("a signal at any moment of a start does not end the process by its "
          "default action")
{
    bool const daemon = GENERATE(false, true);
    bool const inherits_mask = GENERATE(false, true);
    auto const number = GENERATE(from_range(signals_of_operators));
    std::vector<std::unique_ptr<starting_node>> all;
    for (auto const delay : {0ms, 1ms, 3ms, 5ms, 10ms, 30ms}) {
        auto& it = *all.emplace_back(std::make_unique<starting_node>(daemon));
        if (inherits_mask) {
            blocked_signals const mask;
            it.start();
        }
        else {
            it.start();
            while (it.n.run->runs() && !handles_signals(*it.n.run)) {
            }
        }
        std::this_thread::sleep_for(delay);
        it.n.run->signal(number);
        it.n.run->signal(SIGHUP);
        it.n.run->signal(number);
    }
    CAPTURE(inherits_mask);
    for (auto const& it : all)
        check_signal_taken(*it, number);
}

TEST_CASE("signals that come while a process ends leave its status 0")
{
    bool const daemon = GENERATE(false, true);
    starting_node it(daemon);
    it.start();
    REQUIRE(eventually(10s, [&] { return it.has_logged("event=101"); }));
    it.n.run->signal(SIGTERM);
    auto const until = std::chrono::steady_clock::now() + 10s;
    std::size_t sent = 0;
    while (it.n.run->runs() && std::chrono::steady_clock::now() < until)
        it.n.run->signal(
            signals_of_operators.at(sent++ % signals_of_operators.size()));
    CHECK(it.n.run->wait(0ms) == 0);
}

TEST_CASE("requests are answered while signals come without a pause")
{
    small_platform p;
    std::this_thread::sleep_for(2s); // until the records are read
    auto& node = p.nodes[0];
    std::atomic<bool> ended = false;
    std::thread sender([&] {
        for (std::size_t sent = 0; !ended; ++sent)
            node.run->signal(sent % 2 == 0 ? SIGUSR1 : SIGHUP);
    });
    std::vector<call_plan> plans;
    for (int n = 0; n < 20; ++n) {
        auto it = request(node, "/p/x", "id-" + std::to_string(n));
        it.start = n * 50ms;
        plans.push_back(it);
    }
    auto const answers = run_calls(plans);
    ended = true;
    sender.join();
    CHECK(std::ranges::all_of(answers, [](auto const& it) {
        return !it.broken && it.status == 200;
    }));
    CHECK(read_file(node.log).size() < 1'000'000); // lines are bounded
}

TEST_CASE("metrics are read while a node waits for the address of its links")
{
    platform_fake fake;
    auto const port = free_ports(internal_ports);
    asio::io_context io;
    asio::ip::tcp::acceptor taken(io, {asio::ip::address_v4::loopback(), port},
                                  true);
    ::fcntl(taken.native_handle(), F_SETFD, FD_CLOEXEC);
    auto const n = make_node("n1", fake, port);
    CHECK(eventually(10s, [&] {
        return get(n.metrics, "/metrics").find("papayahook_open_connections") !=
               std::string::npos;
    }));
    CHECK(n.run->runs());
    taken.close();
    CHECK(eventually(10s, [&] {
        return read_file(n.log).find("event=101 ") != std::string::npos;
    }));
}

TEST_CASE("a process whose addresses are taken waits until they are free")
{
    namespace wire = platform::wire;
    bool const daemon = GENERATE(false, true);
    auto const which = GENERATE(0U, 1U, 2U, 3U);
    starting_node it(daemon);
    if (which >= it.ports.size())
        return;
    // A node on a platform serves without its metrics.
    bool const serves = !daemon && which == 2;
    CAPTURE(daemon, which);
    asio::io_context io;
    asio::ip::tcp::acceptor other(
        io, {asio::ip::address_v4::loopback(), it.ports[which]});
    fcntl(other.native_handle(), F_SETFD, FD_CLOEXEC);
    it.start();
    auto const address = "127.0.0.1:" + std::to_string(it.ports[which]);
    CHECK(eventually(10s, [&] {
        return it.has_logged("event=108") && it.has_logged(address);
    }));
    std::this_thread::sleep_for(500ms);
    CHECK(it.n.run->runs());
    CHECK(it.has_logged("event=101") == serves);
    CHECK(it.fake.newest(wire::own_topic, wire::node_key + it.n.name).empty() ==
          !serves);
    SECTION("they become free")
    {
        other.close();
        if (serves)
            CHECK(eventually(10s, [&] {
                return get(address, "/metrics").find("papayahook_") !=
                       std::string::npos;
            }));
        CHECK(eventually(10s, [&] { return it.has_logged("event=101"); }));
        if (!daemon)
            CHECK(eventually(10s, [&] {
                return !it.fake
                            .newest(wire::own_topic, wire::node_key + it.n.name)
                            .empty();
            }));
    }
    SECTION("a stop comes first")
    {
        it.n.run->signal(SIGTERM);
        CHECK(it.n.run->wait(5s) == 0);
        CHECK(it.has_logged("event=101") == serves);
    }
}

namespace {

void replace_in_file(std::string const& file, std::string const& what,
                     std::string const& by)
{
    auto text = read_file(file);
    for (auto at = text.find(what); at != text.npos;
         at = text.find(what, at + by.size()))
        text.replace(at, what.size(), by);
    std::ofstream(file) << text;
}

} // namespace

TEST_CASE("a process waits for an address that its machine does not have yet")
{
    bool const daemon = GENERATE(false, true);
    starting_node it(daemon);
    auto const at = ":" + std::to_string(it.ports[0]);
    replace_in_file(it.n.settings, "127.0.0.1" + at, "192.0.2.1" + at);
    it.start();
    CHECK(eventually(10s, [&] {
        return it.has_logged("event=108") && it.has_logged("192.0.2.1" + at);
    }));
    CHECK(it.n.run->runs());
    it.n.run->signal(SIGINT);
    CHECK(it.n.run->wait(5s) == 0);
}

TEST_CASE("a process whose address is wrong waits and says which one it is")
{
    auto const setting = GENERATE(
        std::pair<std::string, std::string>("ip", "nowhere"),
        std::pair<std::string, std::string>("listen.front", "nowhere:80"));
    auto const& key = setting.first;
    auto const& value = setting.second;
    starting_node it(false);
    auto const text = read_file(it.n.settings);
    auto const at = text.find("\n" + key + "=") + 1;
    std::ofstream(it.n.settings) << text.substr(0, at) << key << '=' << value
                                 << text.substr(text.find('\n', at));
    it.start();
    CHECK(eventually(10s, [&] {
        return it.has_logged(key + ": expected") && it.has_logged(value);
    }));
    CHECK(it.n.run->runs());
    std::ofstream(it.n.settings) << text;
    CHECK(eventually(10s, [&] { return it.has_logged("event=101"); }));
}

TEST_CASE("settings that are written while the node starts are used")
{
    starting_node it(false);
    auto const text = read_file(it.n.settings);
    bool const is_missing = GENERATE(false, true);
    if (is_missing)
        std::filesystem::remove(it.n.settings);
    else
        std::ofstream(it.n.settings) << text.substr(0, text.size() / 4);
    it.start();
    std::this_thread::sleep_for(700ms);
    REQUIRE(it.n.run->runs());
    SECTION("written")
    {
        std::ofstream(it.n.settings) << text;
        CHECK(eventually(10s, [&] { return it.has_logged("event=101"); }));
    }
    SECTION("written late")
    {
        std::this_thread::sleep_for(4s);
        REQUIRE(it.n.run->runs());
        CHECK(it.has_logged(it.n.settings));
        std::ofstream(it.n.settings) << text;
        CHECK(eventually(10s, [&] { return it.has_logged("event=101"); }));
    }
    SECTION("stopped")
    {
        it.n.run->signal(SIGTERM);
        CHECK(it.n.run->wait(10s) == 0);
    }
}

namespace {

int count_of(std::string const& text, std::string const& in)
{
    int n = 0;
    for (auto at = in.find(text); at != in.npos; at = in.find(text, at + 1))
        ++n;
    return n;
}

// Sends two requests at once and returns all bytes until the connection ends.
std::string answers_to_two_requests(platform_node const& n,
                                    std::string const& path)
{
    asio::io_context io;
    asio::ip::tcp::socket it(io);
    it.connect(endpoint_of(n.front));
    std::string requests;
    for (auto const* const id : {"one", "two"})
        requests += "GET " + path +
                    " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n" +
                    std::string(platform::wire::request_id) + ": " + id +
                    "\r\n\r\n";
    asio::write(it, asio::buffer(requests));
    std::string out;
    std::error_code ec; // the end of the connection is expected
    asio::read(it, asio::dynamic_buffer(out), ec);
    return out;
}

} // namespace

// The close that the first answer announced dropped the answer to the second.
TEST_CASE("both of two requests sent at once are answered by a stopping node")
{
    auto const path = GENERATE(std::string("/p/x"), std::string("/s/x"));
    small_platform p;
    use_slow_runner(p);
    auto& node = p.nodes[0];
    std::thread stopper([&] {
        std::this_thread::sleep_for(300ms);
        node.run->signal(SIGTERM);
    });
    auto const answers = answers_to_two_requests(node, path);
    stopper.join();
    CAPTURE(path, answers);
    auto const count = [&](std::string const& text) {
        return count_of(text, answers);
    };
    CHECK(count("HTTP/1.1 200") == 2);
    CHECK(count(path == "/p/x" ? "answer to " : "data: c") == 2);
    CHECK(count("Connection: close") == 1);
    CHECK(node.run->wait(10s) == 0);
}

namespace {

constexpr std::size_t long_answer = 1'000'000;
// More than the kernel takes at once from a process.
constexpr std::size_t longest_answer = 3'900'000;

// A caller with a small window that reads slowly, so that the end of a long
// answer is still with the node's kernel when the node has written it.
struct slow_caller
{
    explicit slow_caller(platform_node const& n)
    {
        socket.open(asio::ip::tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(4'096));
        socket.connect(endpoint_of(n.front));
    }

    void send(char const* id, std::string const& path = "/p/x")
    {
        send_bytes("GET " + path +
                   " HTTP/1.1\r\nHost: h\r\n"
                   "Authorization: Bearer k1\r\n" +
                   std::string(platform::wire::request_id) + ": " + id +
                   "\r\n\r\n");
    }

    void send_bytes(std::string const& it)
    {
        asio::write(socket, asio::buffer(it));
    }

    bool is_answered()
    {
        return eventually(10s, [&] { return socket.available() != 0; });
    }

    // Returns how the connection ended.
    std::error_code read_all()
    {
        std::array<char, 16'384> buf{};
        for (std::error_code ec;;) {
            answer.append(buf.data(), socket.read_some(asio::buffer(buf), ec));
            if (ec)
                return ec;
            std::this_thread::sleep_for(10ms);
        }
    }

    // The answer is the only one.
    bool is_whole(std::size_t length = long_answer) const
    {
        auto const head = answer.find("\r\n\r\n");
        return answer.starts_with("HTTP/1.1 200") && head != answer.npos &&
               answer.substr(head + 4) ==
                   "answer to one" + std::string(length, '.');
    }

    asio::io_context io;
    asio::ip::tcp::socket socket{io};
    std::string answer;
};

// `follows` is sent once the answer has begun; empty: the end of the input.
void check_whole_answer(bool stops, std::string const& follows,
                        std::size_t length)
{
    small_platform p;
    use_slow_runner(p, length);
    auto& node = p.nodes[0];
    slow_caller caller(node);
    caller.send("one");
    std::this_thread::sleep_for(300ms);
    if (stops)
        node.run->signal(SIGTERM);
    REQUIRE(caller.is_answered());
    if (follows == "request")
        caller.send("two");
    else if (!follows.empty())
        caller.send_bytes(follows);
    else
        caller.socket.shutdown(asio::socket_base::shutdown_send);
    auto const ec = caller.read_all();
    CAPTURE(stops, follows, ec.message(), caller.answer.size());
    CHECK(ec == asio::error::eof);
    CHECK(caller.is_whole(length));
    if (stops)
        CHECK(node.run->wait(10s) == 0);
}

} // namespace

// A connection that is closed with unread bytes is reset, and the reset
// discards what its caller has not received yet.
TEST_CASE("an answer arrives whole though its caller sends more than is read")
{
    auto const [stops, follows] = GENERATE(table<bool, std::string>(
        {{true, "request"}, {true, "no request\r\n\r\n"}, {true, ""}}));
    check_whole_answer(stops, follows, long_answer);
}

// By itself RESTinio closes at once and drops what it has not written.
TEST_CASE("an answer arrives whole though its caller ends its input or sends "
          "no request while it is written")
{
    auto const follows =
        GENERATE(std::string("no request\r\n\r\n"), std::string());
    check_whole_answer(false, follows, longest_answer);
}

// The wait for callers is bounded.
TEST_CASE("callers that never close do not keep a process from its end")
{
    bool const reads = GENERATE(true, false);
    small_platform p;
    use_slow_runner(p, long_answer);
    auto& node = p.nodes[0];
    slow_caller caller(node);
    caller.send("one");
    std::this_thread::sleep_for(300ms);
    node.run->signal(SIGTERM);
    REQUIRE(caller.is_answered());
    caller.send("two");
    if (reads)
        caller.read_all();
    // Without a read, until the drain time of these settings is over.
    CHECK(node.run->wait(reads ? 3s : 10s) == 0);
}

namespace {

// A server of this process with one caller.
struct own_server
{
    explicit own_server(runtime::http_server::handler on_request,
                        std::chrono::milliseconds timeout = 300ms,
                        std::size_t max_unwritten = 64'000'000,
                        std::size_t max_connections = 4'096)
    {
        options.max_connections = max_connections;
        options.max_unwritten_bytes = max_unwritten;
        options.port = free_port();
        options.idle_timeout = options.write_timeout = timeout;
        options.open_connections = open;
        options.on_close = [this](auto) {
            closed = true;
        };
        server.emplace(io, options, std::move(on_request));
        caller.open(asio::ip::tcp::v4());
        caller.set_option(asio::socket_base::receive_buffer_size(4'096));
        caller.connect(
            endpoint_of("127.0.0.1:" + std::to_string(options.port)));
    }

    void send(std::string const& it) { asio::write(caller, asio::buffer(it)); }

    // Returns all bytes until the connection ends; empty if it is reset.
    std::string read_all()
    {
        std::string out;
        std::error_code ec;
        asio::read(caller, asio::dynamic_buffer(out), ec);
        return ec == asio::error::eof ? out : std::string();
    }

    // Serves until the condition holds, but no longer than `limit`.
    template <class Condition>
    bool serve_until(std::chrono::milliseconds limit, Condition const& holds)
    {
        auto const end = std::chrono::steady_clock::now() + limit;
        while (!holds() && std::chrono::steady_clock::now() < end)
            io.run_one_for(10ms);
        return holds();
    }

    bool has_open(std::size_t n)
    {
        return serve_until(5s, [&] { return *open == n; });
    }

    asio::io_context io;
    std::shared_ptr<std::size_t> open = std::make_shared<std::size_t>(0);
    bool closed = false;
    runtime::http_server_options options;
    std::optional<runtime::http_server> server;
    asio::ip::tcp::socket caller{io};
};

std::string const small_request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

// Counting a connection as closed does not close it.
TEST_CASE("a connection that is given up ends without a move of its caller")
{
    own_server s([](auto const&, auto const& out) {
        out->send(200, {}, std::string(longest_answer, '.'));
    });
    REQUIRE(s.has_open(1));
    bool const is_idle = GENERATE(true, false);
    CAPTURE(is_idle);
    if (!is_idle)
        s.send(small_request);
    CHECK(s.has_open(0));
}

TEST_CASE("an answer that is read steadily is not closed for want of memory")
{
    own_server s(
        [](auto const&, auto const& out) {
            out->send(200, {}, std::string(longest_answer, '.'));
        },
        10s, longest_answer / 4);
    s.send(small_request);
    std::size_t received = 0;
    std::atomic<bool> read{false};
    std::thread reader([&] {
        std::vector<char> buf(32'000);
        std::error_code ec;
        while (!ec && received < longest_answer) {
            received += s.caller.read_some(asio::buffer(buf), ec);
            std::this_thread::sleep_for(2ms);
        }
        read = true;
    });
    s.serve_until(50ms, [] { return false; });
    asio::ip::tcp::socket other(s.io);
    other.connect(endpoint_of("127.0.0.1:" + std::to_string(s.options.port)));
    asio::write(other, asio::buffer(small_request));
    s.serve_until(10s, [&] { return read.load(); });
    s.caller.shutdown(asio::socket_base::shutdown_both);
    reader.join();
    CHECK(received >= longest_answer);
}

// Held input must not keep a caller from sending what it sends before it reads.
TEST_CASE("a caller that reads only when it has sent two requests is answered")
{
    std::string const body(1'000'000, 'b');
    int requests = 0;
    own_server s(
        [&](auto const&, auto const& out) {
            ++requests;
            out->send(200, {}, std::string(longest_answer, '.'));
        },
        10s);
    std::thread sender([&] {
        s.send(small_request);
        std::this_thread::sleep_for(200ms);
        s.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    CHECK(s.serve_until(5s, [&] { return requests == 2; }));
    s.caller.close();
    sender.join();
}

namespace {

constexpr auto max_time_to_notice = 500ms; // GONE

// Checks what a caller that knows nothing but answers gets.
void check_only_answer(std::string bytes, std::string const& body)
{
    CAPTURE(bytes);
    auto const it = take_answer(bytes);
    CHECK(it.fault == "");
    CHECK(it.status == 200);
    CHECK(it.body == body);
    CHECK(bytes.empty());
}

void answer_whole(runtime::http_responder& out, bool streams)
{
    if (!streams) {
        out.send(200, {}, "whole");
        return;
    }
    out.start(200, {});
    out.write("whole", nullptr);
    out.finish();
}

} // namespace

TEST_CASE("a caller that ends its input while it waits is answered, one that "
          "closes is noticed")
{
    std::vector<runtime::responder_ptr> waiting;
    own_server s([&](auto const&, auto const& out) { waiting.push_back(out); });
    s.send(small_request);
    REQUIRE(s.serve_until(5s, [&] { return !waiting.empty(); }));
    SECTION("closes")
    {
        s.caller.close();
        CHECK(s.serve_until(max_time_to_notice, [&] { return s.closed; }));
    }
    SECTION("ends its input")
    {
        s.caller.shutdown(asio::socket_base::shutdown_send);
        CHECK_FALSE(s.serve_until(1s, [&] { return s.closed; }));
        bool const streams = GENERATE(false, true);
        answer_whole(*waiting[0], streams);
        waiting.clear();
        REQUIRE(s.has_open(0));
        check_only_answer(s.read_all(), "whole");
    }
    SECTION("ends its input, then closes")
    {
        s.caller.shutdown(asio::socket_base::shutdown_send);
        s.serve_until(300ms, [&] { return s.closed; });
        s.caller.close();
        waiting[0]->start(200, {});
        waiting[0]->write("event", nullptr);
        CHECK(s.serve_until(max_time_to_notice, [&] { return s.closed; }));
    }
    SECTION("ends its input, reads, then closes")
    {
        s.caller.shutdown(asio::socket_base::shutdown_send);
        s.serve_until(100ms, [&] { return s.closed; });
        std::array<char, 100> buf{};
        CHECK(s.caller.read_some(asio::buffer(buf)) < 9);
        s.caller.close();
        CHECK(s.serve_until(max_time_to_notice, [&] { return s.closed; }));
    }
    SECTION("ends its input, and gets no answer")
    {
        s.caller.shutdown(asio::socket_base::shutdown_send);
        s.serve_until(300ms, [&] { return s.closed; });
        waiting.clear();
    }
    CHECK(s.has_open(0));
}

TEST_CASE("a caller of HTTP/1.0 is answered though its input ends, and noticed "
          "when it closes")
{
    std::vector<runtime::responder_ptr> waiting;
    own_server s([&](auto const&, auto const& out) { waiting.push_back(out); });
    s.send("GET /x HTTP/1.0\r\n\r\n");
    REQUIRE(s.serve_until(5s, [&] { return !waiting.empty(); }));
    bool const closes = GENERATE(false, true);
    if (closes) {
        s.caller.close();
        CHECK(s.serve_until(max_time_to_notice, [&] { return s.closed; }));
        CHECK(s.has_open(0));
        return;
    }
    s.caller.shutdown(asio::socket_base::shutdown_send);
    CHECK_FALSE(s.serve_until(1s, [&] { return s.closed; }));
    answer_whole(*waiting[0], false);
    waiting.clear();
    CHECK(s.has_open(0));
    check_only_answer(s.read_all(), "whole");
}

TEST_CASE("both of two requests are answered though their caller ends its "
          "input")
{
    std::vector<runtime::responder_ptr> waiting;
    own_server s([&](auto const&, auto const& out) { waiting.push_back(out); });
    s.send(small_request + small_request);
    REQUIRE(s.serve_until(5s, [&] { return waiting.size() == 2; }));
    s.caller.shutdown(asio::socket_base::shutdown_send);
    bool const in_order = GENERATE(true, false);
    for (std::size_t const i : {in_order ? 0 : 1, in_order ? 1 : 0}) {
        answer_whole(*waiting[i], false);
        s.serve_until(300ms, [&] { return s.closed; });
    }
    waiting.clear();
    REQUIRE(s.has_open(0));
    auto answers = s.read_all();
    CAPTURE(answers);
    for (int i = 0; i < 2; ++i) {
        auto const it = take_answer(answers);
        CHECK(it.fault == "");
        CHECK(it.status == 200);
        CHECK(it.body == "whole");
    }
    CHECK(answers.empty());
}

TEST_CASE("a caller that ends its input within its stream gets all of it, one "
          "that closes is noticed")
{
    std::vector<runtime::responder_ptr> waiting;
    own_server s([&](auto const&, auto const& out) { waiting.push_back(out); });
    s.send(small_request);
    REQUIRE(s.serve_until(5s, [&] { return !waiting.empty(); }));
    waiting[0]->start(200, {});
    waiting[0]->write("1", nullptr);
    s.serve_until(200ms, [&] { return s.closed; });
    bool const closes = GENERATE(false, true);
    CAPTURE(closes);
    if (closes)
        s.caller.close();
    else
        s.caller.shutdown(asio::socket_base::shutdown_send);
    if (closes) {
        CHECK(s.serve_until(max_time_to_notice, [&] { return s.closed; }));
        CHECK(s.has_open(0));
        return;
    }
    // The first event after the end of the input shows that the caller reads.
    auto const pause = GENERATE(100ms, 1'000ms);
    CAPTURE(pause.count());
    for (auto const* const it : {"2", "3", "4"}) {
        bool const is_first = *it == '2';
        s.serve_until(is_first ? 100ms : pause, [&] { return s.closed; });
        waiting[0]->write(it, nullptr);
    }
    waiting[0]->finish();
    waiting.clear();
    CHECK(s.has_open(0));
    check_only_answer(s.read_all(), "1234");
}

TEST_CASE("a stream that breaks off does not seem whole to a caller that has "
          "ended its input")
{
    std::vector<runtime::responder_ptr> waiting;
    own_server s([&](auto const&, auto const& out) { waiting.push_back(out); });
    s.send(small_request);
    REQUIRE(s.serve_until(5s, [&] { return !waiting.empty(); }));
    waiting[0]->start(200, {});
    waiting[0]->write("1", nullptr);
    s.serve_until(200ms, [&] { return s.closed; });
    s.caller.shutdown(asio::socket_base::shutdown_send);
    s.serve_until(500ms, [&] { return s.closed; });
    waiting[0]->abort();
    waiting.clear();
    CHECK(s.has_open(0));
    auto bytes = s.read_all();
    CAPTURE(bytes);
    CHECK_FALSE(bytes.ends_with("0"));
    CHECK(take_answer(bytes).fault == incomplete_answer);
}

TEST_CASE("requests that are open are answered though their connection makes "
          "place")
{
    std::vector<runtime::responder_ptr> waiting;
    own_server s([&](auto const&, auto const& out) { waiting.push_back(out); },
                 10s, 64'000'000, 1);
    s.send(small_request + small_request);
    REQUIRE(s.serve_until(5s, [&] { return waiting.size() == 2; }));
    s.serve_until(1'200ms, [&] { return s.closed; });
    asio::ip::tcp::socket other(s.io);
    other.connect(endpoint_of("127.0.0.1:" + std::to_string(s.options.port)));
    s.serve_until(300ms, [&] { return s.closed; });
    bool const sends_more = GENERATE(true, false);
    CAPTURE(sends_more);
    if (sends_more)
        s.send(small_request);
    s.serve_until(300ms, [&] { return s.closed; });
    for (auto const& it : waiting)
        answer_whole(*it, false);
    waiting.clear();
    CHECK(s.serve_until(2s, [&] { return s.closed; }));
    s.serve_until(300ms, [] { return false; });
    auto answers = s.read_all();
    CAPTURE(answers);
    for (int i = 0; i < 2; ++i)
        CHECK(take_answer(answers).body == "whole");
    CHECK(answers.empty());
}

// RESTinio reads nothing behind a request to upgrade.
TEST_CASE("a request that follows one with an Upgrade header is answered")
{
    std::vector<runtime::responder_ptr> waiting;
    own_server s([&](auto const&, auto const& out) { waiting.push_back(out); });
    bool const has_body = GENERATE(false, true);
    CAPTURE(has_body);
    s.send("POST /x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\n"
           "Upgrade: h2c\r\nContent-Length: " +
           std::string(has_body ? "4\r\n\r\nbody" : "0\r\n\r\n"));
    REQUIRE(s.serve_until(5s, [&] { return waiting.size() == 1; }));
    s.send(small_request);
    s.serve_until(100ms, [&] { return s.closed; });
    answer_whole(*waiting[0], false);
    CHECK(s.serve_until(5s, [&] { return waiting.size() == 2; }));
    CHECK_FALSE(s.closed);
}

TEST_CASE("a caller that closes with two requests open is noticed")
{
    std::vector<runtime::responder_ptr> waiting;
    own_server s([&](auto const&, auto const& out) { waiting.push_back(out); });
    s.send(small_request + small_request);
    REQUIRE(s.serve_until(5s, [&] { return waiting.size() == 2; }));
    s.caller.close();
    CHECK(s.serve_until(max_time_to_notice, [&] { return s.closed; }));
}

// The end of the input does not tell whether the caller has gone.
TEST_CASE("a caller that ends its input while it waits gets its whole answer")
{
    auto const path = GENERATE(std::string("/p/x"), std::string("/s/x"));
    bool const stops = GENERATE(false, true);
    small_platform p;
    use_slow_runner(p);
    auto& node = p.nodes[0];
    slow_caller caller(node);
    caller.send("one", path);
    std::this_thread::sleep_for(200ms);
    caller.socket.shutdown(asio::socket_base::shutdown_send);
    std::this_thread::sleep_for(100ms);
    if (stops)
        node.run->signal(SIGTERM);
    auto const ec = caller.read_all();
    CAPTURE(path, stops, ec.message(), caller.answer);
    CHECK(ec == asio::error::eof);
    check_only_answer(caller.answer,
                      path == "/p/x" ? "answer to one" : whole_stream);
    if (stops)
        CHECK(node.run->wait(10s) == 0);
}

// The end of its input could be that of its sending side alone.
TEST_CASE("a call ends soon after its caller has closed")
{
    bool const resets = GENERATE(false, true);
    CAPTURE(resets);
    small_platform p;
    asio::io_context io;
    asio::ip::tcp::acceptor runner(
        io, endpoint_of("127.0.0.1:" + std::to_string(free_port())));
    p.fake.put(platform::wire::endpoint_topic, "i-3",
               R"({"service":"raw","address":"127.0.0.1:)" +
                   std::to_string(runner.local_endpoint().port()) +
                   R"(","zone":"zone-a","version":"v1","slots":16,)"
                   R"("state":"ready","sequence":1,"born":1})");
    std::this_thread::sleep_for(2s); // until the records are read
    slow_caller caller(p.nodes[0]);
    caller.send("one", "/raw/x");
    auto call = runner.accept();
    std::string request;
    std::error_code ec;
    asio::read_until(call, asio::dynamic_buffer(request), "\r\n\r\n", ec);
    REQUIRE_FALSE(ec);
    if (resets)
        caller.socket.set_option(asio::socket_base::linger(true, 0));
    caller.socket.close();
    auto const closed_at = std::chrono::steady_clock::now();
    asio::read(call, asio::dynamic_buffer(request), ec); // until it ends
    CHECK(std::chrono::steady_clock::now() - closed_at < max_time_to_notice);
    auto const* const why = resets ? "reset by peer" : "then closed";
    CHECK(eventually(5s, [&] {
        auto const log = read_file(p.nodes[0].log);
        auto const at = log.find("event=419");
        return at != log.npos && log.find(why, at) < log.find('\n', at);
    }));
}
