// Tests that odd input ends no process and leaves none unable to serve.
#include "codec/json.hpp"
#include "platform/settings.hpp"
#include "platform/wire.hpp"
#include "support/fleet.hpp"
#include "support/platform_nodes.hpp"

#include <array>
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

TEST_CASE("a node whose settings cannot be used says so and ends with 2")
{
    platform_fake fake;
    auto n = make_node("n1", fake, free_port());
    auto const good = read_file(n.settings);
    for (auto const& text : unusable_settings(good)) {
        INFO(text);
        n.run.reset();
        std::ofstream(n.settings) << text;
        std::ofstream(n.log).close();
        start(n);
        CHECK(n.run->wait(20s) == 2);
        CHECK(read_file(n.log).find(n.settings) != std::string::npos);
    }
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
