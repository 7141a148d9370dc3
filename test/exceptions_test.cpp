// Tests that odd input ends no process and leaves none unable to serve.
#include "codec/json.hpp"
#include "platform/settings.hpp"
#include "platform/wire.hpp"
#include "runtime/logging.hpp"
#include "runtime/node.hpp"
#include "support/fleet.hpp"
#include "support/platform_nodes.hpp"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <random>
#include <sstream>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr char whole_settings[] = "node_name=n\nzone=z\nip=127.0.0.1\n"
                                  "listen.front=127.0.0.1:1\n"
                                  "listen.readiness=127.0.0.1:2\n"
                                  "internal_ports=7600,7615\n"
                                  "platform.address=127.0.0.1:3\n"
                                  "cloud_api.address=127.0.0.1:4\n"
                                  "cloud_api.duties=usage,autoscale\n"
                                  "limits.cpu_share=0.25\n"
                                  "limits.cores=1\n"
                                  "limits.memory_mb=260\n"
                                  "bounds.grace_s=8\n"
                                  "bounds.lease_ms=3000\n"
                                  "bounds.drain_ms=2000\n"
                                  "bounds.usage_window_s=5\n"
                                  "bounds.usage_late_s=10\n"
                                  "bounds.quota_overshoot=0.1\n"
                                  "bounds.quota_slack=110000\n"
                                  "bounds.quota_window_s=8\n"
                                  "bounds.retry_budget_ratio=0.2\n"
                                  "bounds.budget_slack=54\n";

constexpr std::array number_keys{
    "limits.cpu_share",       "limits.cores",
    "limits.memory_mb",       "bounds.grace_s",
    "bounds.lease_ms",        "bounds.drain_ms",
    "bounds.usage_window_s",  "bounds.usage_late_s",
    "bounds.quota_overshoot", "bounds.quota_slack",
    "bounds.quota_window_s",  "bounds.budget_slack",
    "internal_ports",         "bounds.retry_budget_ratio"};

constexpr std::array odd_numbers{"1e300",
                                 "-1e300",
                                 "1e30",
                                 "-1",
                                 "nan",
                                 "-nan",
                                 "inf",
                                 "-inf",
                                 "1e999",
                                 "99999999999999",
                                 "999999999999999999999999999",
                                 "abc",
                                 "0x10",
                                 "1,5",
                                 "--1",
                                 ".",
                                 "e",
                                 "\xff\xfe"};

std::vector<std::string> lines_of(std::string const& text)
{
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string it; std::getline(in, it);)
        out.push_back(it);
    return out;
}

// Returns the message of the settings_error; empty if there was none. Any other
// exception fails the test.
std::string error_of(std::string const& text)
{
    try {
        platform::parse_settings(text);
    }
    catch (platform::settings_error const& e) {
        return e.what();
    }
    return {};
}

std::string with(std::string const& key, std::string const& value)
{
    return std::string(whole_settings) + key + "=" + value + "\n";
}

int count_of(std::string const& text, std::string const& part)
{
    int out = 0;
    for (auto at = text.find(part); at != text.npos;
         at = text.find(part, at + 1))
        out++;
    return out;
}

// Replaces the value of a key in the settings file of a node.
std::string changed(std::string const& text, std::string const& key,
                    std::string const& value)
{
    std::string out;
    for (auto const& line : lines_of(text))
        if (!line.starts_with(key + "="))
            out += line + "\n";
    return out + key + "=" + value + "\n";
}

std::vector<std::string> unusable_settings(std::string const& good)
{
    return {changed(good, "internal_ports", "abc"),
            changed(good, "internal_ports", "99999999999999"),
            changed(good, "internal_ports", "65530,65545"),
            changed(good, "limits.memory_mb", "1e30"),
            changed(good, "limits.memory_mb", "-1"),
            changed(good, "bounds.grace_s", "1e300"),
            changed(good, "bounds.grace_s", "nan"),
            changed(good, "limits.cpu_share", "inf"),
            changed(good, "node_name", "\xff\xfe"),
            changed(good, "platform.address", "nowhere"),
            std::string(4096, '\0'),
            good.substr(0, 20),
            ""};
}

} // namespace

TEST_CASE("a setting that is out of range is reported by name")
{
    CHECK(error_of(whole_settings).empty());
    for (std::string const key : number_keys)
        for (std::string const value :
             {"1e300", "-1e300", "nan", "inf", "1e999",
              "999999999999999999999999999", "abc"}) {
            INFO(key << "=" << value);
            CHECK(error_of(with(key, value)).find(key) != std::string::npos);
        }
}

TEST_CASE("settings of any bytes are read or refused as settings")
{
    std::mt19937 random(20261205);
    auto const below = [&](std::size_t n) {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
    };
    auto const lines = lines_of(whole_settings);
    int refused = 0;
    for (int n = 0; n < 20'000; ++n) {
        std::string text = whole_settings;
        if (below(2) == 0) {
            auto const& line = lines[below(lines.size())];
            text += line.substr(0, line.find('=') + 1) +
                    odd_numbers[below(odd_numbers.size())] + "\n";
        }
        for (auto changes = below(6); changes > 0 && !text.empty(); --changes) {
            auto const at = below(text.size());
            if (below(8) == 0)
                text.erase(at);
            else if (below(2) == 0)
                text.erase(at, below(20));
            else
                text[at] = static_cast<char>(below(256));
        }
        INFO(text);
        REQUIRE_NOTHROW(refused += error_of(text).empty() ? 0 : 1);
    }
    CHECK(refused > 0);
    CHECK(refused < 20'000);
}

TEST_CASE("a settings file that cannot be used changes nothing at run time")
{
    small_platform p;
    auto& n = p.nodes[0];
    auto const good = read_file(n.settings);
    int kept = 0;
    for (auto const& text : unusable_settings(good)) {
        INFO(text);
        std::ofstream(n.settings) << text;
        n.run->signal(SIGHUP);
        ++kept;
        CHECK(eventually(10s, [&] {
            return count_of(read_file(n.log), "event=106") >= kept;
        }));
        REQUIRE(n.run->runs());
        REQUIRE(
            run_call(request(n, "/p/x", "id-" + std::to_string(kept))).status ==
            200);
    }
    std::ofstream(n.settings) << changed(good, "bounds.grace_s", "7");
    CHECK(eventually(10s, [&] {
        return read_file(n.log).find("event=105") != std::string::npos;
    }));
}

TEST_CASE("a node whose settings cannot be used says so and waits for others")
{
    platform_fake fake;
    auto n = make_node("n1", fake, free_ports(internal_ports));
    auto const good = read_file(n.settings);
    for (auto const& text : unusable_settings(good)) {
        INFO(text);
        n.run.reset();
        std::ofstream(n.settings) << text;
        std::ofstream(n.log).close();
        start(n);
        CHECK(eventually(20s, [&] {
            auto const log = read_file(n.log);
            return log.find("event=111") != log.npos &&
                   log.find(n.settings) != log.npos;
        }));
        CHECK(n.run->runs());
        n.run->signal(SIGTERM);
        CHECK(n.run->wait(2s) == 0);
    }
}

namespace {

// Throws when it carries out the effect of the type `T`; keeps all others.
template <class T>
struct throwing_adapter final : runtime::adapter
{
    explicit throwing_adapter(core::effects& out) : seen(out) {}
    void open(runtime::node&) override {}
    void start(runtime::node&) override {}
    void reload(runtime::node&) override {}
    bool perform(runtime::node&, core::effect const& it) override
    {
        seen.push_back(it);
        if (std::holds_alternative<T>(it))
            throw std::runtime_error("cannot be carried out");
        return true;
    }

    core::effects& seen;
};

template <class T>
std::ptrdiff_t count_of(core::effects const& all)
{
    return std::ranges::count_if(
        all, [](auto const& it) { return std::holds_alternative<T>(it); });
}

core::request_arrived some_request(std::string const& id)
{
    core::request_arrived out;
    out.id = id;
    out.route = "r";
    out.deadline = 3s;
    return out;
}

void configure(runtime::node& n)
{
    core::config_snapshot config;
    config.applied = 1;
    core::route route;
    route.name = "r";
    route.pool = "p";
    route.anonymous = true;
    route.repeatable = true;
    route.max_attempts = 2;
    route.deadline = 3s;
    config.routes.push_back({route, 1});
    core::pool pool;
    pool.name = "p";
    config.pools.push_back(pool);
    core::endpoint endpoint;
    endpoint.name = "e";
    endpoint.pool = "p";
    endpoint.address = "127.0.0.1:9";
    endpoint.slots = 4;
    config.lists_endpoints = false;
    runtime::handle(n, core::config_published{config});
    core::endpoints_listed list;
    core::endpoint_entry entry;
    entry.at = 1;
    entry.name = "e";
    entry.value = endpoint;
    entry.present = true;
    list.entries.push_back(entry);
    runtime::handle(n, list);
}

struct log_capture
{
    log_capture()
    {
        runtime::set_log_writer([this](int number, std::string const& line) {
            numbers.push_back(number);
            text += line + "\n";
        });
    }
    ~log_capture() { runtime::set_log_writer({}); }

    std::vector<int> numbers;
    std::string text;
};

// Runs a node whose event loop it disturbs.
struct disturbing_adapter final : runtime::adapter
{
    using action = std::function<void(runtime::node&)>;
    disturbing_adapter(action at_start, action at_reload)
        : on_start(std::move(at_start)), on_reload(std::move(at_reload))
    {
    }
    void open(runtime::node&) override {}
    void start(runtime::node& n) override { on_start(n); }
    void reload(runtime::node& n) override { on_reload(n); }
    bool perform(runtime::node&, core::effect const& it) override
    {
        return !std::holds_alternative<core::exit_process>(it) &&
               !std::holds_alternative<core::log_event>(it);
    }

    action on_start;
    action on_reload;
};

int run_disturbed(disturbing_adapter::action at_start,
                  disturbing_adapter::action at_reload = nullptr)
{
    runtime::settings it;
    it.core.name = "n";
    it.core.drain_timeout = 1s;
    it.core.drain_accept_time = 0ms;
    it.peer = {"127.0.0.1", free_port()};
    return runtime::run_node(
        it, std::make_unique<disturbing_adapter>(std::move(at_start),
                                                 std::move(at_reload)));
}

} // namespace

TEST_CASE("an effect that throws leaves a node able to handle events")
{
    log_capture log;
    core::effects seen;
    runtime::node n({}, std::make_unique<throwing_adapter<core::refuse>>(seen));
    CHECK_NOTHROW(runtime::handle(n, some_request("1")));
    CHECK_NOTHROW(runtime::handle(n, some_request("2")));
    CHECK(count_of<core::refuse>(seen) == 2);
    CHECK(log.text.find("event=109") != std::string::npos);
    CHECK(log.text.find("cannot be carried out") != std::string::npos);
}

TEST_CASE("a call that could not be started fails and its request ends")
{
    log_capture log;
    core::effects seen;
    runtime::node n({},
                    std::make_unique<throwing_adapter<core::dispatch>>(seen));
    configure(n);
    CHECK_NOTHROW(runtime::handle(n, some_request("1")));
    REQUIRE(count_of<core::dispatch>(seen) > 0);
    CHECK(eventually(10s, [&] {
        runtime::handle(n, core::tick{});
        return count_of<core::refuse>(seen) == 1;
    }));
}

TEST_CASE("a log line that throws keeps the effects that follow it")
{
    core::effects seen;
    runtime::node n({},
                    std::make_unique<throwing_adapter<core::log_event>>(seen));
    configure(n);
    CHECK_NOTHROW(runtime::handle(n, some_request("1")));
    CHECK(count_of<core::dispatch>(seen) == 1);
}

TEST_CASE("a handler that throws does not end the event loop")
{
    log_capture log;
    bool went_on = false;
    int result = -1;
    CHECK_NOTHROW(result = run_disturbed([&](runtime::node& n) {
                      asio::post(n.io, [] { throw std::runtime_error("odd"); });
                      asio::post(n.io, [] { throw 1; });
                      runtime::run_after(n, 1ms, [] {
                          throw std::out_of_range("in a timer");
                      });
                      runtime::run_after(n, 300ms, [&] {
                          went_on = true;
                          n.io.stop();
                      });
                  }));
    CHECK(went_on);
    CHECK(result == 0);
    CHECK(std::ranges::count(log.numbers, 109) == 3);
    CHECK(log.text.find("in a timer") != std::string::npos);
}

TEST_CASE("a reload that throws keeps the node and its signals")
{
    log_capture log;
    int reloads = 0;
    CHECK_NOTHROW(run_disturbed(
        [&](runtime::node& n) {
            for (auto const delay : {1ms, 300ms})
                runtime::run_after(n, delay, [] { raise(SIGHUP); });
            runtime::run_after(n, 900ms, [&n] { n.io.stop(); });
        },
        [&](runtime::node&) {
            ++reloads;
            throw std::runtime_error("cannot reload");
        }));
    CHECK(reloads == 2);
}

TEST_CASE("a node whose state may be half changed drains and exits with 3")
{
    log_capture log;
    int result = -1;
    CHECK_NOTHROW(result = run_disturbed([&](runtime::node& n) {
                      configure(n);
                      n.state.config.organisation_by_key["key"] = "missing";
                      auto request = some_request("1");
                      request.key_digest = "key";
                      runtime::run_after(n, 1ms, [&n, request] {
                          runtime::handle(n, request);
                      });
                      runtime::run_after(n, 10s, [&n] { n.io.stop(); });
                  }));
    CHECK(result == 3);
    CHECK(std::ranges::count(log.numbers, 102) == 1);
    CHECK(log.text.find("event=109") != std::string::npos);
}

TEST_CASE("text that is not UTF-8 is encoded and stops no handler")
{
    std::string const odd = "\xff\xfe\x80";
    core::duty_record duty;
    duty.holder = odd;
    CHECK_NOTHROW(codec::duty_to_json(duty));
    core::append append;
    append.id = odd;
    CHECK_NOTHROW(codec::append_to_json(append));
    core::node_settings settings;
    settings.name = odd;
    CHECK_NOTHROW(codec::settings_to_line(settings));
    core::configuration config;
    config.routes[odd].value.name = odd;
    CHECK_NOTHROW(codec::config_to_json(config));
}

namespace {

std::string random_bytes(std::mt19937& random, std::size_t n)
{
    std::string out;
    std::uniform_int_distribution<int> byte(0, 255);
    while (out.size() < n)
        out += static_cast<char>(byte(random));
    return out;
}

std::vector<std::string> odd_documents(std::mt19937& random)
{
    std::vector<std::string> out{
        "",
        "null",
        "[]",
        "{}",
        "1e400",
        "\xff\xfe",
        std::string(20'000, '['),
        R"({"version":1e300,"routes":{},"services":7,"tenants":"x"})",
        R"({"routes":[{"name":"\u0000","host":[],"path_prefix":{}}]})",
        R"({"name":[],"peer_address":7,"capacity":1e300})",
        R"({"name":"x","peer_address":"no address","zone":"\u0000"})",
        R"({"service":"app","target":"v2","duration_s":1e300})",
        R"({"service":"app","address":"x","zone":"z","state":"ready"})",
        R"({"holder":"x","incarnation":-1,"fencing":1e300})"};
    for (std::size_t n : {1, 10, 100, 1'000})
        out.push_back(random_bytes(random, n));
    return out;
}

// Sends bytes to a port and closes the connection.
void send_bytes(std::string const& address, std::string const& bytes)
{
    asio::io_context io;
    asio::ip::tcp::socket s(io);
    asio::error_code ignored; // the other side may refuse the bytes
    s.connect(endpoint_of(address), ignored);
    asio::write(s, asio::buffer(bytes), ignored);
}

} // namespace

TEST_CASE("odd input of the store, callers and peers stops no node")
{
    small_platform p;
    auto& n = p.nodes[0];
    std::mt19937 random(39);
    auto const documents = odd_documents(random);
    for (auto const& topic :
         {platform::wire::operator_topic, platform::wire::endpoint_topic,
          platform::wire::own_topic})
        for (auto const& value : documents)
            for (std::string const key :
                 {"node/x", "duty/x", "intent/x", "move/x", "rollout/app",
                  "\xff\xfe", "i-9"})
                p.fake.put(topic, key, value);
    auto const at = runtime::parse_address(n.metrics);
    auto const peer_port = at->port - 14;
    for (auto const& address : {n.front, n.readiness, n.metrics,
                                "127.0.0.1:" + std::to_string(peer_port)})
        for (auto const& bytes : documents) {
            send_bytes(address, bytes);
            std::string text = "GET /";
            text.append(bytes).append(" HTTP/1.1\r\nHost: h\r\n");
            text.append(platform::wire::request_id).append(": ");
            text.append(bytes).append("\r\n\r\n");
            send_bytes(address, text);
        }
    auto odd = request(n, "/p/x", "\xff\xfe");
    run_call(odd);
    odd = request(n, "/p/\xff", "id-1", "\xff");
    run_call(odd);
    std::this_thread::sleep_for(1s);
    CHECK(run_call(request(n, "/p/x", "last")).status == 200);
    for (std::string const path : {"/state", "/metrics", "/explain?subject=x"})
        CHECK_FALSE(get(n.metrics, path).empty());
    CHECK(n.run->runs());
    CHECK(read_file(n.log).find("event=109") == std::string::npos);
}

TEST_CASE("odd headers of a runner stop no node and every caller gets an end")
{
    small_platform p;
    auto& n = p.nodes[0];
    runtime::header_list const odd_headers[] = {
        {{"X-Odd", "\xff\xfe"}},
        {{"Content-Type", std::string(8'000, 'x')}},
        {{"Retry-After", "1e300"}},
        {{"Transfer-Encoding", "odd"}},
        {{"X Odd", "name with a space"}},
        {{"Connection", "close, x-odd"}}};
    for (auto const& headers : odd_headers)
        for (int const status : {200, 204, 299, 404, 500, 599, 999}) {
            p.fake.set_answer("i-1", status, headers);
            auto it = request(n, "/p/x", "odd");
            it.timeout = 10s;
            auto const got = run_call(it);
            INFO(status << ' ' << headers[0].first);
            CHECK(got.took < 9s);
        }
    CHECK(n.run->runs());
    CHECK_FALSE(get(n.metrics, "/state").empty());
}
