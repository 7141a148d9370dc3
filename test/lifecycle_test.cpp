// Tests of the life of a process, from its start to its end, against signals
// and against what it finds on its machine.
#include "platform/wire.hpp"
#include "support/client.hpp"
#include "support/fleet.hpp"
#include "support/platform_fake.hpp"
#include "support/platform_nodes.hpp"

#include <catch2/catch.hpp>
#include <csignal>

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
    p.fake.add_runner({"i-2", "slow", "v1", false, 900ms, 300ms});
    p.fake.put(platform::wire::operator_topic,
               platform::wire::configuration_key, R"({"routes":[
{"name":"p","host":"h","path_prefix":"/p/","route_type":"non_idempotent",
 "timeout_ms":30000,"service":"slow","attempts":1},
{"name":"s","host":"h","path_prefix":"/s/","route_type":"streaming",
 "timeout_ms":30000,"service":"slow","attempts":1}],
"services":[{"name":"slow"}],
"tenants":[{"name":"acme","api_keys":["k1"]}]})");
    std::this_thread::sleep_for(2s); // until the records are read
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
