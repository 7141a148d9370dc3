// Tests of the HTTP client against a server that sends arbitrary bytes at
// arbitrary times.
#include "runtime/http_client.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <thread>

using namespace papayahook::runtime;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

// Accepts connections and answers the n-th request on each of them with the
// n-th script. An empty script closes the connection and "reset" resets it.
// After a script that ends with "close" or "cut", the connection is closed or
// reset. A final "<close>" closes it and is not sent.
struct scripted_server
{
    scripted_server(asio::io_context& it, std::vector<std::string> answers,
                    std::size_t min_bytes = 0)
        : io(it), scripts(std::move(answers)), min_request_bytes(min_bytes),
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
            connections++;
            sockets.push_back(std::make_shared<tcp::socket>(std::move(s)));
            read(sockets.back(), 0, std::make_shared<std::string>());
            accept();
        });
    }

    // Reads up to the end of the request's head, or `min_request_bytes` if set.
    void read(std::shared_ptr<tcp::socket> s, std::size_t n,
              std::shared_ptr<std::string> got)
    {
        auto buf = std::make_shared<std::array<char, 4096>>();
        s->async_read_some(asio::buffer(*buf), [=, this](auto ec, auto size) {
            if (ec) {
                end_of_last = ec;
                return;
            }
            got->append(buf->data(), size);
            received.append(buf->data(), size);
            bool const complete = min_request_bytes != 0
                                      ? got->size() >= min_request_bytes
                                      : got->find("\r\n\r\n") != got->npos;
            if (!complete || n >= scripts.size()) {
                read(s, n, got);
                return;
            }
            got->clear();
            answer(s, n);
        });
    }

    void answer(std::shared_ptr<tcp::socket> s, std::size_t n)
    {
        // Shared because a handler that owned the text would copy it at each
        // write.
        constexpr std::string_view mark = "<close>";
        bool const is_marked = scripts[n].ends_with(mark);
        auto const script = std::make_shared<std::string const>(
            scripts[n], 0, scripts[n].size() - (is_marked ? mark.size() : 0));
        if ((script->empty() && !is_marked) || *script == "reset") {
            if (!script->empty())
                s->set_option(asio::socket_base::linger(true, 0));
            s->close();
            return;
        }
        asio::async_write(*s, asio::buffer(*script), [=, this](auto ec, auto) {
            if (is_marked || script->ends_with("close"))
                s->close();
            else if (script->ends_with("cut")) {
                s->set_option(asio::socket_base::linger(true, 0));
                s->close();
            }
            else if (!ec)
                read(s, n + 1, std::make_shared<std::string>());
        });
    }

    asio::io_context& io;
    std::vector<std::string> scripts;
    std::size_t min_request_bytes = 0;
    tcp::acceptor acceptor;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    std::string received;
    std::error_code end_of_last; // of the connection that ended last
    int connections = 0;
};

struct call_result
{
    http_result result;
    std::string body;
    bool done = false;
};

void run_for(asio::io_context& io, std::chrono::milliseconds time)
{
    io.restart();
    io.run_for(time);
}

call_result call(asio::io_context& io, http_client& client,
                 std::string const& url, std::string const& id = "",
                 std::string body = "")
{
    auto out = std::make_shared<call_result>();
    http_call it;
    it.method = "POST";
    it.url = url;
    it.body = std::move(body);
    if (!id.empty())
        it.echoed_header = {"Request-Id", id};
    it.on_data = [out](std::string_view data) {
        out->body += data;
    };
    it.on_done = [out](http_result const& result) {
        out->result = result;
        out->done = true;
    };
    client.start(std::move(it));
    for (int i = 0; i < 200 && !out->done; ++i)
        run_for(io, 5ms);
    return *out;
}

std::string const ok_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("a connection is reused after a complete answer")
{
    asio::io_context io;
    http_client client(io);
    scripted_server p(io, {ok_answer, ok_answer});
    CHECK(call(io, client, p.url()).body == "ok");
    CHECK(call(io, client, p.url()).body == "ok");
    CHECK(p.connections == 1);
}

TEST_CASE("a surplus answer is not taken for the answer of the next request")
{
    asio::io_context io;
    http_client client(io);
    std::string const surplus =
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
    SECTION("sent together with the first")
    {
        scripted_server p(io, {ok_answer + surplus, ok_answer});
        CHECK(call(io, client, p.url()).body == "ok");
        CHECK(call(io, client, p.url()).body == "ok");
        CHECK(p.connections == 2);
    }
    SECTION("sent later, while the connection is idle")
    {
        scripted_server p(io, {ok_answer, ok_answer});
        CHECK(call(io, client, p.url()).body == "ok");
        asio::write(*p.sockets[0], asio::buffer(surplus));
        run_for(io, 20ms);
        CHECK(call(io, client, p.url()).body == "ok");
        CHECK(p.connections == 2);
    }
    SECTION(
        "sent in place of the next answer, with the id of the first request")
    {
        std::string const other = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                                  "Content-Length: 2\r\n\r\nok";
        scripted_server p(io, {other, other});
        CHECK(call(io, client, p.url(), "a").body == "ok");
        auto const it = call(io, client, p.url(), "b");
        CHECK(it.result.error);
        CHECK(it.result.may_have_run);
        CHECK(it.body.empty());
    }
}

TEST_CASE("an answer without a length ends when its connection is closed")
{
    asio::io_context io;
    http_client client(io);
    std::string const head = "HTTP/1.1 200 OK\r\n\r\n";
    SECTION("closed: complete")
    {
        scripted_server p(io, {head + "body close"});
        auto const it = call(io, client, p.url());
        CHECK_FALSE(it.result.error);
        CHECK(it.body == "body close");
    }
    SECTION("reset: incomplete")
    {
        scripted_server p(io, {head + "body cut"});
        CHECK(call(io, client, p.url()).result.error);
    }
}

TEST_CASE("a truncated or malformed answer is reported as an error")
{
    asio::io_context io;
    http_client client(io);
    for (std::string const script :
         {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf close",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe close",
          "no answer at all\r\n\r\n close", "HTTP/1.1 200 O close",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: "
          "chunked\r\n\r\n close"}) {
        INFO(script);
        scripted_server p(io, {script});
        auto const it = call(io, client, p.url());
        CHECK(it.result.error);
        CHECK(it.result.may_have_run);
    }
}

TEST_CASE("a request is not resent when its reused connection is closed")
{
    asio::io_context io;
    http_client client(io);
    scripted_server p(io, {ok_answer, ""});
    CHECK(call(io, client, p.url()).body == "ok");
    auto const it = call(io, client, p.url());
    CHECK(it.result.error);
    CHECK(it.result.may_have_run);
    CHECK(p.connections == 1);
}

TEST_CASE("an answer may arrive before the request has been sent completely")
{
    asio::io_context io;
    http_client client(io);
    std::string const body(8'000'000, 'b');
    scripted_server p(io, {ok_answer}, 100);
    CHECK(call(io, client, p.url(), "", body).body == "ok");
    // The rest of the body is still to be sent on that connection. The server
    // must not take another request for it.
    auto const next = "NEXT" + std::string(200, 'n');
    call(io, client, p.url(), "", next);
    auto const at = p.received.find("NEXT");
    REQUIRE(at != p.received.npos);
    bool const in_order = p.connections == 2 || at > body.size();
    CHECK(in_order);
}

TEST_CASE("a call whose connection is refused is reported as not sent")
{
    asio::io_context io;
    http_client client(io);
    std::string url;
    {
        scripted_server p(io, {});
        url = p.url();
    }
    auto const it = call(io, client, url);
    CHECK(it.result.step == "connect");
    CHECK_FALSE(it.result.may_have_run);
}

TEST_CASE("a cancelled call resets its connection and reports nothing")
{
    asio::io_context io;
    http_client client(io);
    scripted_server p(io, {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"});
    bool done = false;
    std::uint64_t id = 0;
    http_call it;
    it.url = p.url();
    it.on_data = [&](std::string_view) {
        client.cancel(id); // from the call's own callback
    };
    it.on_done = [&](http_result const&) {
        done = true;
    };
    id = client.start(std::move(it));
    run_for(io, 50ms);
    CHECK_FALSE(done);
    CHECK(p.connections == 1);
    CHECK(p.end_of_last == asio::error::connection_reset);
}

// The kernel would go on sending what the server has not received.
TEST_CASE("nothing of a call arrives after it was given up")
{
    enum class end
    {
        cancelled,
        group_failed,
        timed_out,
        client_destroyed
    };
    auto const how = GENERATE(end::cancelled, end::group_failed, end::timed_out,
                              end::client_destroyed);
    constexpr std::size_t body_bytes = 32UL * 1024 * 1024;
    asio::io_context io;
    auto client = std::make_unique<http_client>(io);
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    std::optional<http_result> result;
    http_call it;
    it.method = "POST";
    it.url =
        "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) +
        "/x";
    it.body = std::string(body_bytes, 'x');
    it.connection_group = "group";
    it.total_timeout = how == end::timed_out ? 50ms : 5'000ms;
    it.on_done = [&](http_result const& done) {
        result = done;
    };
    auto const id = client->start(std::move(it));
    auto server = acceptor.accept();
    run_for(io, 100ms); // what is sent fills the buffers
    client->fail_calls("another group");
    switch (how) {
    case end::cancelled:
        client->cancel(id);
        break;
    case end::group_failed:
        client->fail_calls("group");
        break;
    case end::timed_out:
        break;
    case end::client_destroyed:
        client.reset();
    }
    run_for(io, 10ms);
    bool const is_told = how == end::group_failed || how == end::timed_out;
    REQUIRE(result.has_value() == is_told);
    if (is_told) {
        CHECK(result->error);
        CHECK(result->may_have_run);
        CHECK(result->step == (how == end::timed_out ? "timeout" : "cancel"));
    }
    std::vector<char> received(body_bytes);
    std::error_code ec;
    auto const n = asio::read(server, asio::buffer(received), ec);
    CHECK(n < body_bytes);
    CHECK(ec == asio::error::connection_reset);
}

TEST_CASE("an endless answer is aborted, whichever part of it is endless")
{
    asio::io_context io;
    http_client client(io);
    std::string const head = "HTTP/1.1 200 OK\r\n";
    std::string const field = "X-Filler: 0123456789012345678901234567890\r\n";
    std::string script;
    SECTION("in a head")
    {
        script = head;
        for (int i = 0; i < 100'000; ++i)
            script += field;
    }
    SECTION("in a line of a head")
    {
        script = head + "X-Filler: " + std::string(4'000'000, 'x');
    }
    SECTION("in interim answers")
    {
        for (int i = 0; i < 100'000; ++i)
            script += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    SECTION("in a body without a length")
    {
        script = head + "\r\n" + std::string(20'000'000, 'x');
    }
    SECTION("in the size of a chunk")
    {
        script = head + "Transfer-Encoding: chunked\r\n\r\n1;" +
                 std::string(4'000'000, 'x');
    }
    scripted_server p(io, {script, ok_answer});
    auto const it = call(io, client, p.url());
    CHECK(it.done);
    CHECK(it.result.error);
    CHECK(it.result.step == "receive");
    CHECK(it.result.may_have_run);
    // The client continues on a new connection.
    p.scripts = {ok_answer};
    CHECK(call(io, client, p.url()).body == "ok");
    CHECK(p.connections == 2);
}

// The limits of one answer counted what earlier answers on the connection had.
TEST_CASE("limits of an answer count for each call on a kept connection")
{
    asio::io_context io;
    http_client client(io);
    std::string script;
    SECTION("interim answers")
    {
        for (int i = 0; i < 10; ++i)
            script += "HTTP/1.1 102 Processing\r\n\r\n";
        script += ok_answer;
    }
    SECTION("bytes of the body")
    {
        std::string const body(10'000'000, 'x');
        script = "HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    scripted_server p(io, {script, script, script});
    for (int i = 0; i < 3; ++i)
        CHECK_FALSE(call(io, client, p.url()).result.error);
    CHECK(p.connections == 1);
}

// A head that breaks off must not pass for an answer with an empty body.
TEST_CASE("an answer that breaks off inside its head is no answer")
{
    asio::io_context io;
    std::string const length = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                               "Content-Length: 2\r\n\r\n";
    std::string const no_length =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
    std::string const interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (auto const& head :
         {length, no_length, interim + length, interim + no_length})
        for (std::size_t n = 0; n < head.size(); ++n)
            for (bool const kept : {false, true}) {
                CAPTURE(head, n, kept);
                auto const cut = head.substr(0, n) + "<close>";
                std::vector<std::string> scripts{cut};
                if (kept)
                    scripts.insert(scripts.begin(), ok_answer);
                http_client client(io);
                scripted_server p(io, scripts);
                if (kept)
                    REQUIRE(call(io, client, p.url()).body == "ok");
                auto const it = call(io, client, p.url());
                CHECK(it.done);
                CHECK(it.result.error);
                CHECK(it.result.may_have_run);
            }
}

TEST_CASE("an answer that is written twice is not taken for the answer to a "
          "later call with the same id")
{
    asio::io_context io;
    auto const refusal = [](std::string const& id) {
        return "HTTP/1.1 503 Full\r\nRequest-Id: " + id +
               "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    };
    scripted_server server(
        io, {refusal("a"),
             "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 0\r\n\r\n",
             refusal("a")});
    http_client client(io);
    CHECK(call(io, client, server.url(), "a").result.status == 503);
    CHECK(call(io, client, server.url(), "b").result.status == 200);
    CHECK(server.connections == 1); // it was kept
    call(io, client, server.url(), "a");
    CHECK(server.connections == 2);
}

// The write took the error of the reset, and the read that followed took the
// end of the connection for that of the answer.
TEST_CASE("an answer without a length that is reset within the upload is not "
          "complete")
{
    auto const* const head =
        GENERATE("HTTP/1.1 200 OK\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                 "HTTP/1.0 200 OK\r\n\r\n");
    auto const part = head + std::string("part");
    std::string const body(2'500'000, 'b');
    constexpr int calls = 200;
    asio::io_context io;
    http_client client(io);
    // On a thread of its own, so that the reset meets the upload anywhere.
    asio::io_context server_io;
    tcp::acceptor acceptor(server_io, {asio::ip::make_address("127.0.0.1"), 0});
    std::thread server([&] {
        for (int n = 0; n < calls; ++n) {
            auto s = acceptor.accept();
            std::array<char, 4096> buf{};
            s.read_some(asio::buffer(buf));
            asio::write(s, asio::buffer(part));
            std::this_thread::sleep_for(n % 29 * 250us);
            s.set_option(asio::socket_base::linger(true, 0));
            s.close(); // the destructor would not reset
        }
    });
    auto const url =
        "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) +
        "/x";
    int complete = 0;
    int closed_by_server = 0;
    for (int n = 0; n < calls; ++n) {
        auto const it = call(io, client, url, "", body);
        complete += it.result.error ? 0 : 1;
        closed_by_server += it.result.closed_by_server ? 1 : 0;
    }
    server.join();
    CHECK(complete == 0);
    CHECK(closed_by_server == calls);
}

TEST_CASE("an answer without a length may end before the upload has")
{
    asio::io_context io;
    http_client client(io);
    std::string const body(8'000'000, 'b');
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    acceptor.async_accept([&](auto ec, tcp::socket s) {
        REQUIRE_FALSE(ec);
        auto const socket = std::make_shared<tcp::socket>(std::move(s));
        auto const text =
            std::make_shared<std::string>("HTTP/1.1 200 OK\r\n\r\nwhole");
        asio::async_write(*socket, asio::buffer(*text),
                          [socket, text](auto, auto) {
                              socket->shutdown(tcp::socket::shutdown_send);
                          });
        // Open until the call has ended.
        auto const timer = std::make_shared<asio::steady_timer>(io, 300ms);
        timer->async_wait([timer, socket](auto) {});
    });
    auto const it = call(
        io, client,
        "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) +
            "/x",
        "", body);
    CHECK_FALSE(it.result.error);
    CHECK_FALSE(it.result.framed);
    CHECK(it.body == "whole");
}

// A key of the operator's wrote a line of the head of another call.
TEST_CASE("no text from outside adds a line to the head of a request")
{
    asio::io_context io;
    http_client client(io);
    scripted_server p(io, {ok_answer});
    http_call it;
    it.url = p.url();
    SECTION("in the URL")
    {
        it.url += GENERATE("\r\nA: b", "\n", " x", "\x7f");
    }
    SECTION("in a value")
    {
        it.headers = {{"A", GENERATE("b\r\nC: d", "b\n", "b\r", "b\x01")}};
    }
    SECTION("in a name")
    {
        it.headers = {{GENERATE("A\r\nB", "A B", "A:", ""), "c"}};
    }
    std::optional<http_result> result;
    it.on_done = [&](http_result const& done) {
        result = done;
    };
    client.start(std::move(it));
    run_for(io, 50ms);
    REQUIRE(result);
    CHECK(result->error);
    CHECK_FALSE(result->may_have_run);
    CHECK(p.received.empty());
}

namespace {

std::string const odd_heads[] = {
    // status lines
    "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nok",
    "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 -20 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "http/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
    // names of fields
    "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n Content-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length\t: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding : "
    "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nA\x01z: c\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nA\x7fz: c\r\nContent-Length: 2\r\n\r\nok",
    std::string("HTTP/1.1 200 OK\r\nA\0z: c\r\nContent-Length: 2\r\n\r\nok",
                48),
    "HTTP/1.1 200 OK\r\n: c\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nA\xc3\xb1: c\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nA(b): c\r\nContent-Length: 2\r\n\r\nok",
    // values of fields
    "HTTP/1.1 200 OK\r\nA: b\x01\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nA: b\rc\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nA:\r\n Content-Length: 1\r\nContent-Length: "
    "2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nA:\r\n \r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\t3\r\n\r\nok",
    // framing
    "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, "
    "chunked\r\n\r\n2\r\nok\r\n0\r\n"
    "\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok<close>",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    // chunks and trailers
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokXX0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\n\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2 "
    "x\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
    "chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
    "chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
    "A b: c\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
    "Content-Length: 2\r\n\r\n",
    // interim answers
    "HTTP/1.1 000 Early\r\nContent-Length: 3\r\n\r\nbad"
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nbad"
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 100 Continue\r\nA b: c\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
};

} // namespace

// Most of these came to the caller as a whole answer.
TEST_CASE("what the grammar of an answer does not allow is refused")
{
    auto const script =
        GENERATE(from_range(std::begin(odd_heads), std::end(odd_heads)));
    CAPTURE(script);
    asio::io_context io;
    http_client client(io);
    scripted_server p(io, {script});
    http_call it;
    it.url = p.url();
    it.total_timeout = 300ms;
    std::optional<http_result> result;
    std::string body;
    it.on_data = [&](std::string_view data) {
        body += data;
    };
    it.on_done = [&](http_result const& done) {
        result = done;
    };
    client.start(std::move(it));
    for (int n = 0; n < 100 && !result; ++n)
        run_for(io, 5ms);
    REQUIRE(result);
    CHECK(result->error);
    CHECK(result->step == "receive");
    CHECK(result->may_have_run);
    CHECK(body.find("bad") == body.npos);
}

TEST_CASE("what the grammar of an answer allows is read, in pieces of any size")
{
    std::string const script = GENERATE(
        "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontent-length:2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: \t 2 \t\r\nA:\r\nB: "
        "\xc3\xb1\t\"\r\n"
        "\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
        "Chunked\r\n\r\n1;a=b;c=\"d\"\r\no"
        "\r\n01\r\nk\r\n0\r\nA: b\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 599 Odd\r\n!#$%&'*+-.^_`|~9: b\r\n\r\nok<close>",
        "HTTP/1.0 200 OK\r\n\r\nok<close>");
    CAPTURE(script);
    asio::io_context io;
    http_client client(io);
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    std::string const mark = "<close>";
    bool const closes = script.ends_with(mark);
    auto const text =
        script.substr(0, script.size() - (closes ? mark.size() : 0));
    std::size_t const piece = GENERATE(1, 7, 1'000);
    std::array<char, 4096> request{};
    std::optional<tcp::socket> server;
    acceptor.async_accept([&](auto, tcp::socket s) {
        server.emplace(std::move(s));
        server->set_option(tcp::no_delay(true));
        // What is left unread would cause a reset.
        server->async_read_some(asio::buffer(request), [&](auto, auto) {
            for (std::size_t n = 0; n < text.size(); n += piece)
                asio::write(*server, asio::buffer(text.substr(n, piece)));
            if (closes)
                server->close();
        });
    });
    auto const it = call(
        io, client,
        "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) +
            "/x");
    CHECK(it.result.error.message() == std::error_code{}.message());
    CHECK(it.body == "ok");
    CHECK(it.result.framed == !closes);
}

TEST_CASE("an answer that has no body is complete with its head")
{
    auto const* const status = GENERATE("204 None", "304 Same");
    asio::io_context io;
    http_client client(io);
    scripted_server p(io, {"HTTP/1.1 " + std::string(status) +
                               "\r\nContent-Length: 5\r\n\r\n",
                           ok_answer});
    auto const it = call(io, client, p.url());
    CHECK_FALSE(it.result.error);
    CHECK(it.body.empty());
    CHECK(call(io, client, p.url()).body == "ok");
    CHECK(p.connections == 1);
}

// Issue 71: an endpoint had left while the connection was being opened.
TEST_CASE("a call that may no longer be sent once its connection is open is "
          "not sent")
{
    asio::io_context io;
    scripted_server server(io,
                           {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
    http_client client(io);
    for (bool const may_send : {false, true}) {
        std::optional<http_result> result;
        http_call call;
        call.url = server.url();
        call.may_send = [&] {
            return may_send;
        };
        call.on_done = [&](http_result const& it) {
            result = it;
        };
        client.start(std::move(call));
        while (!result)
            io.run_one();
        CHECK(server.received.empty() == !may_send);
        CHECK(static_cast<bool>(result->error) == !may_send);
        CHECK(result->may_have_run == may_send);
        CHECK((may_send || result->step == "route"));
    }
}
