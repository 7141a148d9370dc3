// Tests of the ways in which a caller's connection can end, with a caller that
// knows nothing but answers.
#include "platform/wire.hpp"
#include "support/fleet.hpp"
#include "support/plain_client.hpp"
#include "support/platform_fake.hpp"
#include "support/platform_nodes.hpp"
#include "support/raw_runners.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

// Routes that repeat nothing, to raw runners and to one that takes its time.
void put_routes(small_platform& p)
{
    p.fake.add_runner({"i-2", "slow", "v1", false, 900ms, 300ms});
    p.fake.put(platform::wire::operator_topic,
               platform::wire::configuration_key, R"({"routes":[
{"name":"p","host":"h","path_prefix":"/p/","route_type":"non_idempotent",
 "timeout_ms":30000,"service":"slow","attempts":1},
{"name":"s","host":"h","path_prefix":"/s/","route_type":"streaming",
 "timeout_ms":30000,"service":"slow","attempts":1},
{"name":"raw","host":"h","path_prefix":"/raw/","route_type":"streaming",
 "timeout_ms":30000,"service":"raw","attempts":1}],
"services":[{"name":"slow"},{"name":"raw"}],
"tenants":[{"name":"acme","api_keys":["k1"]}]})");
}

std::string request_text(std::string const& path, std::string const& id,
                         std::string const& fields = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1" +
           "\r\n" + std::string(platform::wire::request_id) + ": " + id +
           "\r\n" + fields + "\r\n";
}

constexpr char const* broken_stream =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Request-Id: {id}\r\nResponse-Seal: one\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
    "f\r\nid: 1\ndata: a\n\n\r\n<close>";
constexpr char const* small_answer =
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: one\r\n"
    "Content-Length: 5\r\n\r\nwhole";

void check_answer(plain_answer const& it, std::string const& body)
{
    CAPTURE(it.head);
    CHECK(it.fault == "");
    CHECK(it.status == 200);
    CHECK(it.body == body);
}

std::string const whole_stream =
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

} // namespace

// The end of a broken answer is the end of its connection, and of the answers
// to all that was sent ahead.
TEST_CASE("a request behind a stream that breaks off is not run")
{
    small_platform p;
    put_routes(p);
    raw_runners raw(p.fake, "raw", {"i-7", "i-8"},
                    {broken_stream, small_answer, small_answer});
    std::this_thread::sleep_for(2s); // until the records are read
    plain_client it(p.nodes[0].front);
    it.send(request_text("/raw/x", "one") + request_text("/raw/x", "two"));
    auto const answer = it.read(5s);
    CAPTURE(answer.head, answer.body, answer.fault);
    CHECK(answer.fault.starts_with(incomplete_answer));
    std::this_thread::sleep_for(500ms);
    CHECK(raw.requests() == 1);
}

TEST_CASE("a request that waits behind another keeps its own deadline")
{
    small_platform p;
    put_routes(p);
    raw_runners raw(p.fake, "raw", {"i-7", "i-8"}, {small_answer});
    std::this_thread::sleep_for(2s); // until the records are read
    plain_client it(p.nodes[0].front);
    bool const in_time = GENERATE(true, false);
    CAPTURE(in_time);
    it.send(request_text("/p/x", "one") +
            request_text("/raw/x", "two",
                         std::string(platform::wire::deadline) +
                             (in_time ? ": 5000\r\n" : ": 500\r\n")));
    check_answer(it.read(5s), "answer to one");
    auto const second = it.read(5s);
    if (in_time)
        check_answer(second, "whole");
    else {
        CHECK(second.fault == "");
        CHECK(second.status == 503);
    }
    CHECK(raw.requests() == (in_time ? 1 : 0));
}

TEST_CASE("requests sent ahead are all answered, in their order")
{
    bool const stops = GENERATE(false, true);
    bool const ends_sending = GENERATE(false, true);
    CAPTURE(stops, ends_sending);
    small_platform p;
    put_routes(p);
    std::this_thread::sleep_for(2s); // until the records are read
    auto& node = p.nodes[0];
    plain_client it(node.front);
    it.send(request_text("/p/x", "one") + request_text("/s/x", "two") +
            request_text("/p/x", "three"));
    if (ends_sending)
        it.end_sending();
    std::this_thread::sleep_for(300ms);
    if (stops)
        node.run->signal(SIGTERM);
    check_answer(it.read(5s), "answer to one");
    check_answer(it.read(5s), whole_stream);
    check_answer(it.read(5s), "answer to three");
    if (stops || ends_sending)
        CHECK(it.ends(2s));
    if (stops)
        CHECK(node.run->wait(10s) == 0);
}

TEST_CASE("an answer is sent though its caller sends no request behind its own")
{
    auto const follows =
        GENERATE(std::string("no request\r\n\r\n"),
                 std::string("XX yy\r\n\r\n"), std::string("\x16\x03\x01"));
    bool const streams = GENERATE(false, true);
    bool const ends_sending = GENERATE(false, true);
    CAPTURE(follows, streams, ends_sending);
    small_platform p;
    put_routes(p);
    std::this_thread::sleep_for(2s); // until the records are read
    plain_client it(p.nodes[0].front);
    it.send(request_text(streams ? "/s/x" : "/p/x", "one"));
    std::this_thread::sleep_for(200ms);
    it.send(follows);
    if (ends_sending)
        it.end_sending();
    check_answer(it.read(5s), streams ? whole_stream : "answer to one");
    CHECK(it.ends(2s));
}

TEST_CASE("a request behind one with Connection: close is not run")
{
    bool const at_once = GENERATE(true, false);
    CAPTURE(at_once);
    small_platform p;
    put_routes(p);
    raw_runners raw(p.fake, "raw", {"i-7", "i-8"}, {small_answer});
    std::this_thread::sleep_for(2s); // until the records are read
    plain_client it(p.nodes[0].front);
    it.send(request_text("/p/x", "one", "Connection: close\r\n") +
            (at_once ? request_text("/raw/x", "two") : ""));
    std::this_thread::sleep_for(200ms);
    if (!at_once)
        it.send(request_text("/raw/x", "two"));
    check_answer(it.read(5s), "answer to one");
    CHECK(it.ends(2s));
    CHECK(raw.requests() == 0);
}
