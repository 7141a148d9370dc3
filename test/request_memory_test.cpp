// Memory of requests: real node processes on a fake platform.
#include "platform/wire.hpp"
#include "support/fleet.hpp"
#include "support/platform_nodes.hpp"
#include "support/raw_runners.hpp"
#include "support/world.hpp"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <fstream>

using namespace papayahook;
using namespace std::chrono_literals;
using support::call_plan;

namespace {

// Route /o/: orders, which run at most once.
constexpr char const* orders = R"({"version":1,"routes":[
{"name":"o","host":"h","path_prefix":"/o/","route_type":"non_idempotent",
 "timeout_ms":20000,"service":"app","attempts":1}],
"services":[{"name":"app","health_path":"/health"}],
"tenants":[{"name":"acme","api_keys":["k1"]}]})";

constexpr std::size_t megabyte = 1'000'000;
constexpr std::size_t long_body = 4'190'000; // max_body_bytes is 4,194,304

// A node with `memory_mb` whose three runners take `run_time` for an order.
struct order_platform
{
    order_platform(int memory_mb, std::chrono::milliseconds run_time)
    {
        using namespace support;
        fake.put(platform::wire::operator_topic,
                 platform::wire::configuration_key, orders);
        for (auto const* const name : {"i-1", "i-2", "i-3"})
            fake.add_runner({name, "app", "v1", false, run_time});
        node = settings_of_node("n1", fake, free_ports(internal_ports));
        std::ofstream(node.settings, std::ios::app)
            << "limits.memory_mb=" << memory_mb << '\n';
        start(node);
        REQUIRE(eventually(10s, [&] { return is_ready(node); }));
    }

    std::size_t resident()
    {
        return support::usage_of(node.run->id()).resident_bytes;
    }
    std::size_t peak() { return support::usage_of(node.run->id()).peak_bytes; }

    support::platform_fake fake;
    support::platform_node node;
};

call_plan order(order_platform const& p, int number, std::size_t bytes)
{
    auto out = support::request(p.node, "/o/x", "id-" + std::to_string(number));
    out.method = "POST";
    out.body.assign(bytes, 'x');
    return out;
}

struct order_counts
{
    std::ptrdiff_t ran = 0; // as the runners saw it
    std::ptrdiff_t answered = 0;
    std::ptrdiff_t refused = 0;
};

order_counts count_orders(order_platform& p,
                          std::vector<support::call_outcome> const& answers)
{
    order_counts out;
    for (auto const& [version, n] : p.fake.run_counts())
        out.ran += n;
    auto const status = &support::call_outcome::status;
    out.answered = std::ranges::count(answers, 200, status);
    out.refused = std::ranges::count(answers, 503, status);
    return out;
}

std::vector<call_plan> orders_of(order_platform const& p, int users,
                                 std::size_t bytes)
{
    std::vector<call_plan> out;
    for (int n = 0; n < users; ++n) {
        out.push_back(order(p, n, bytes));
        out.back().start = n * 50ms;
    }
    return out;
}

// Routes /s/ (streams) and /r/ (resumable streams) to service "raw", /p/ to
// "app".
constexpr char const* streams = R"({"version":1,"routes":[
{"name":"s","host":"h","path_prefix":"/s/","route_type":"streaming",
 "timeout_ms":20000,"service":"raw","attempts":1},
{"name":"r","host":"h","path_prefix":"/r/","route_type":"streaming",
 "resumable":true,"timeout_ms":20000,"service":"raw","attempts":2},
{"name":"w","host":"h","path_prefix":"/w/","route_type":"idempotent",
 "timeout_ms":20000,"service":"raw","attempts":1},
{"name":"p","host":"h","path_prefix":"/p/","route_type":"idempotent",
 "timeout_ms":20000,"service":"app","attempts":2}],
"services":[{"name":"app","health_path":"/health"},{"name":"raw"}],
"tenants":[{"name":"acme","api_keys":["k1"]}]})";

// A stream of `bytes` that consist of `unit`, and end with a whole event.
std::string stream_of(std::string const& unit, std::size_t bytes)
{
    std::string body;
    while (body.size() + unit.size() <= bytes)
        body += unit;
    body += "data: end\n\n";
    return "HTTP/1.1 200 OK\r\n" + std::string(platform::wire::request_id) +
           ": {id}\r\nContent-Type: text/event-stream\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr std::size_t long_stream = 16'000'000;

// A node of 260 MB whose callers get streams, one after each path, beside
// ordinary requests.
struct stream_platform
{
    stream_platform(std::string const& unit)
        : raw(fake, "raw", {"raw-1"},
              std::vector(3, stream_of(unit, long_stream)))
    {
        fake.put(platform::wire::operator_topic,
                 platform::wire::configuration_key, streams);
        fake.add_runner({"i-1", "app"});
        node = support::settings_of_node("n1", fake, support::free_port());
        std::ofstream(node.settings, std::ios::app) << "limits.memory_mb=260\n";
        support::start(node);
        REQUIRE(support::eventually(10s, [&] { return is_ready(node); }));
    }

    // Returns the answers to the streams, then those to ten others.
    std::vector<support::call_outcome>
    answers_to(std::vector<std::string> const& paths)
    {
        std::vector<call_plan> plans;
        plans.reserve(paths.size() + 10);
        for (auto const& it : paths)
            plans.push_back(support::request(
                node, it, "s-" + std::to_string(plans.size())));
        for (int n = 0; n < 10; ++n) {
            plans.push_back(
                support::request(node, "/p/x", "p-" + std::to_string(n)));
            plans.back().start = n * 200ms;
        }
        return support::run_calls(plans);
    }

    void check_node(std::vector<support::call_outcome> const& answers)
    {
        auto const peak = support::usage_of(node.run->id()).peak_bytes;
        CAPTURE(peak / megabyte);
        CHECK(node.run->runs());
        CHECK(peak < 260 * megabyte);
        CHECK(std::all_of(answers.end() - 10, answers.end(),
                          [](auto const& it) { return it.status == 200; }));
    }

    support::platform_fake fake;
    support::raw_runners raw;
    support::platform_node node;
};

// Returns why a chat with a body of this length is refused, if it is.
std::optional<core::refusal> ask(core::node_state& s, std::string const& id,
                                 std::size_t bytes)
{
    core::request_arrived asked;
    asked.id = id;
    asked.key_digest = "key";
    asked.route = "chat";
    asked.body_bytes = bytes;
    core::effects out;
    core::reduce(s, {s.now, asked}, out);
    for (auto const& it : out)
        if (auto const* const no = std::get_if<core::refuse>(&it))
            return no->why;
    return std::nullopt;
}

// A node that has 1 MB for requests.
support::world small_node()
{
    auto w = support::make_world(1);
    w.nodes[0].settings.max_request_bytes = megabyte;
    support::configure(w);
    return w;
}

} // namespace

TEST_CASE("requests that a node cannot hold are refused before they are sent")
{
    auto w = small_node();
    auto& s = w.nodes[0];
    CHECK_FALSE(ask(s, "a", 400'000));
    auto const calls = s.calls.size();
    auto const why = ask(s, "b", 400'000);
    REQUIRE(why);
    CHECK(why->status == 503);
    CHECK(why->known_outcome == core::outcome::not_run);
    CHECK(why->retry_after > 0ms);
    CHECK(s.calls.size() == calls);
    CHECK(s.request_bytes == 400'000);
    support::give(w, 0, core::caller_gone{"a"});
    CHECK(s.request_bytes == 0);
    CHECK_FALSE(ask(s, "c", 400'000));
}

TEST_CASE("a request that a node can never hold is refused for good")
{
    auto w = small_node();
    auto const why = ask(w.nodes[0], "a", 900'000);
    REQUIRE(why);
    CHECK(why->status == 413);
    CHECK(why->known_outcome == core::outcome::not_run);
    CHECK(why->retry_after == 0ms);
    CHECK(w.nodes[0].request_bytes == 0);
}

TEST_CASE("short requests are served beside long ones, and are bounded too")
{
    auto w = small_node();
    auto& s = w.nodes[0];
    CHECK_FALSE(ask(s, "long 1", 400'000));
    CHECK_FALSE(ask(s, "long 2", 300'000));
    CHECK(ask(s, "long 3", 200'000));
    CHECK_FALSE(ask(s, "short 1", 100'000));
    CHECK_FALSE(ask(s, "short 2", 100'000));
    CHECK_FALSE(ask(s, "short 3", 100'000));
    CHECK(ask(s, "short 4", 1));
    CHECK_FALSE(ask(s, "empty", 0));
    CHECK(s.request_bytes == megabyte);
}

TEST_CASE("a request in flight is held in memory once")
{
    order_platform p(260, 3s);
    constexpr int users = 6;
    auto const before = p.resident();
    auto const answers = support::run_calls(orders_of(p, users, long_body));
    CHECK(std::ranges::all_of(answers,
                              [](auto const& it) { return it.status == 200; }));
    auto const taken = p.peak() - before;
    CAPTURE(before, taken);
    // Once, and the copy that is made while a body grows.
    CHECK(taken < 2 * users * long_body);
}

TEST_CASE("more long orders than a node can hold do not end it")
{
    constexpr int users = 60;
    order_platform p(160, 4s);
    auto plans = orders_of(p, users, long_body);
    for (int n = 0; n < 10; ++n) {
        plans.push_back(order(p, users + n, 10'000));
        plans.back().start = n * 300ms;
    }
    auto const answers = support::run_calls(plans);
    auto const n = count_orders(p, answers);
    CAPTURE(p.peak() / megabyte, n.ran, n.answered, n.refused);
    CHECK(p.node.run->runs());
    CHECK(p.peak() < 160 * megabyte);
    CHECK(n.answered == n.ran);
    CHECK(n.answered + n.refused == users + 10);
    CHECK(std::all_of(answers.begin() + users, answers.end(),
                      [](auto const& it) { return it.status == 200; }));
    CHECK(support::gauge_of(p.node, "papayahook_request_bytes") == 0);
    CHECK(support::gauge_of(p.node, "papayahook_max_request_bytes") ==
          0.2 * 160 * megabyte);
}

TEST_CASE("long orders of many users do not take a node over its memory")
{
    constexpr int users = 27;
    order_platform p(260, 2s);
    auto const answers = support::run_calls(orders_of(p, users, long_body));
    auto const n = count_orders(p, answers);
    CAPTURE(p.peak() / megabyte, n.ran, n.answered, n.refused);
    CHECK(p.node.run->runs());
    CHECK(p.peak() < 260 * megabyte);
    CHECK(n.answered == n.ran);
    CHECK(n.answered + n.refused == users);
    CHECK(n.answered > 0);
}

TEST_CASE("requests whose last byte is held back do not end a node")
{
    constexpr int callers = 60;
    order_platform p(160, 50ms);
    asio::io_context io;
    using asio::ip::tcp;
    auto const at = p.node.front.find(':');
    tcp::endpoint const to(
        asio::ip::make_address(p.node.front.substr(0, at)),
        static_cast<std::uint16_t>(std::stoi(p.node.front.substr(at + 1))));
    std::string const head =
        "POST /o/x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
        std::to_string(long_body) + "\r\n\r\n";
    std::string const all_but_one(long_body - 1, 'x');
    std::vector<tcp::socket> sockets;
    for (int n = 0; n < callers; ++n) {
        auto& it = sockets.emplace_back(io);
        it.connect(to);
        std::error_code ec; // its request may be refused meanwhile
        asio::write(it, asio::buffer(head), ec);
        asio::write(it, asio::buffer(all_but_one), ec);
    }
    CHECK(support::eventually(10s, [&] {
        return support::run_call(order(p, 1, 10'000)).status == 200;
    }));
    CAPTURE(p.peak() / megabyte);
    CHECK(p.node.run->runs());
    CHECK(p.peak() < 160 * megabyte);
    // The first ones were given up: they were told so.
    std::array<char, 64> buf{};
    std::error_code ec;
    auto const n = sockets.front().read_some(asio::buffer(buf), ec);
    CHECK(std::string(buf.data(), n).starts_with("HTTP/1.1 503 "));
}

TEST_CASE("line ends without end in the body of a stream do not end a node")
{
    stream_platform p("\n");
    p.check_node(p.answers_to({"/s/1"}));
    stream_platform resumable("\n");
    resumable.check_node(resumable.answers_to({"/r/1"}));
}

TEST_CASE("long streams of small events are passed on whole in bounded memory")
{
    auto const paths = GENERATE(
        std::vector<std::string>{"/s/1"}, std::vector<std::string>{"/r/1"},
        std::vector<std::string>{"/s/1", "/r/1", "/r/2"});
    stream_platform p(":\n\n");
    auto const answers = p.answers_to(paths);
    p.check_node(answers);
    for (std::size_t n = 0; n < paths.size(); ++n) {
        CHECK(answers[n].status == 200);
        CHECK(answers[n].body.size() > long_stream - 20);
        CHECK(answers[n].body.ends_with("data: end\n\n"));
    }
}

TEST_CASE("requests of very many prompt parts do not end a node")
{
    constexpr int users = 900;
    constexpr int parts = 2'500;
    order_platform p(64, 3s);
    std::string list;
    for (int n = 0; n < parts; ++n)
        list += "a:1,";
    std::vector<call_plan> plans;
    for (int n = 0; n < users; ++n) {
        plans.push_back(order(p, n, 10));
        plans.back().headers.emplace_back(platform::wire::prefix, list);
        plans.back().start = 100ms;
    }
    for (int n = 0; n < 10; ++n)
        plans.push_back(order(p, users + n, 10));
    auto const answers = support::run_calls(plans);
    auto const n = count_orders(p, answers);
    CAPTURE(p.peak() / megabyte, n.ran, n.answered, n.refused);
    CHECK(p.node.run->runs());
    CHECK(p.peak() < 64 * megabyte);
    CHECK(n.answered == n.ran);
    CHECK(std::all_of(answers.begin() + users, answers.end(),
                      [](auto const& it) { return it.status == 200; }));
}

// The call was paused after some events, and nothing resumed it.
TEST_CASE("events on a route that does not stream are answered whole")
{
    stream_platform p("data: x\n\n");
    auto const answers = p.answers_to({"/w/1"});
    p.check_node(answers);
    CHECK(answers[0].status == 200);
    CHECK(answers[0].body.size() > long_stream - 20);
    CHECK(answers[0].body.ends_with("data: end\n\n"));
}
