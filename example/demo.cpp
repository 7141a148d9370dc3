// Runs the main workload on both customers' sample settings, with faults.
//
// Starts fakes and nodes as separate processes, sends requests, injects faults
// and prints one line for each guarantee. Exits with 1 if one does not hold.
#include "support/client.hpp"
#include "support/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

struct customer
{
    std::string name;
    std::string folder;
    std::string key;
    std::string check_route;
    std::string order_route;
    std::string killed_runner_name; // killed during its streams
    std::string bad_prefix; // name prefix of the runners with the bad version
};

struct line
{
    std::string asked;
    std::string seen;
    bool holds = false;
};

std::string address(fleet& f, std::size_t i)
{
    return f.node(i % f.nodes.size()).caller;
}

// Plans chats at a steady rate, spread over all nodes.
std::vector<call_plan> steady(fleet& f, customer const& c,
                              std::string const& route, int n, int per_second,
                              int tokens)
{
    std::vector<call_plan> out;
    for (int i = 0; i < n; ++i) {
        auto it = completion(
            address(f, static_cast<std::size_t>(i)), c.key, route,
            "you are a helpful clerk number " + std::to_string(i % 7), tokens,
            true);
        it.start = i * 1000ms / per_second;
        out.push_back(std::move(it));
    }
    return out;
}

line count_whole(std::string asked, std::vector<call_outcome> const& all,
                 int tokens)
{
    auto const whole = std::ranges::count_if(
        all, [&](auto const& it) { return stream_fault(it, tokens).empty(); });
    return {std::move(asked),
            std::to_string(whole) + " of " + std::to_string(all.size()) +
                " whole",
            whole == static_cast<long>(all.size())};
}

line stream_chats(fleet& f, customer const& c)
{
    return count_whole("120 streamed chats",
                       run_calls(steady(f, c, "chat", 120, 120, 24)), 24);
}

line long_checks(fleet& f, customer const& c)
{
    std::string text = "check against the standard:";
    for (int i = 0; i < 400; ++i)
        text += " clause" + std::to_string(i);
    std::vector<call_plan> plans;
    for (std::size_t i = 0; i < 12; ++i)
        plans.push_back(
            completion(address(f, i), c.key, c.check_route, text, 60, true));
    return count_whole("12 long checks", run_calls(plans), 60);
}

line quote_jobs(fleet& f, customer const& c)
{
    int whole = 0;
    constexpr int jobs = 6;
    for (int i = 0; i < jobs; ++i) {
        auto plan = completion(address(f, static_cast<std::size_t>(i)), c.key,
                               "quotes", "draft a quote", 100, false);
        plan.headers.emplace_back("Prefer", "respond-async");
        auto const accepted = run_call(plan);
        call_plan fetch;
        fetch.method = "GET";
        fetch.address = address(f, static_cast<std::size_t>(i) + 1);
        fetch.path = "/v1/requests/" + accepted.request_id;
        fetch.key = c.key;
        auto const got = run_call(fetch);
        auto const last = accepted.request_id + "#99 ";
        bool const right = accepted.status == 202 && got.status == 200 &&
                           got.body.find(last) != std::string::npos;
        whole += right ? 1 : 0;
    }
    return {"6 quote jobs, fetched at another node",
            std::to_string(whole) + " of 6 whole", whole == jobs};
}

line doubled_orders(fleet& f, customer const& c)
{
    std::vector<call_plan> plans;
    constexpr int orders = 20;
    for (int i = 0; i < orders; ++i)
        for (std::size_t tap = 0; tap < 2; ++tap)
            plans.push_back(order(address(f, static_cast<std::size_t>(i) + tap),
                                  c.key, c.order_route,
                                  "kit-" + std::to_string(i),
                                  "tap-" + c.name + std::to_string(i)));
    auto const got = run_calls(plans);
    int once = 0;
    for (int i = 0; i < orders; ++i)
        once += times_run(f, "kit-" + std::to_string(i)) == 1 ? 1 : 0;
    auto const answered = std::ranges::count(got, 200, &call_outcome::status);
    return {"20 orders, each sent twice through two nodes",
            std::to_string(once) + " run once, " + std::to_string(answered) +
                " of 40 answered",
            once == orders && answered == 2 * orders};
}

line killed_runner(fleet& f, customer const& c)
{
    std::thread reclaim([&f, &c] {
        std::this_thread::sleep_for(400ms);
        f.endpoints.at(c.killed_runner_name)->signal(SIGKILL);
    });
    auto const got = run_calls(steady(f, c, "chat", 200, 400, 120));
    reclaim.join();
    return count_whole("200 streams, a runner reclaimed under them", got, 120);
}

line stopped_node(fleet& f, customer const& c)
{
    auto& last = f.nodes.back();
    std::vector<call_plan> plans;
    for (int i = 0; i < 50; ++i)
        plans.push_back(
            completion(last.caller, c.key, "chat", "hello", 150, true));
    std::thread stop([&last] {
        std::this_thread::sleep_for(300ms);
        last.run->signal(SIGTERM);
    });
    auto out = count_whole("50 streams, their node told to stop",
                           run_calls(plans), 150);
    stop.join();
    int const code = last.run->wait(10s);
    out.seen += ", exit " + std::to_string(code);
    out.holds = out.holds && code == 0;
    f.nodes.pop_back();
    return out;
}

std::uint64_t requests_at(fleet const& f, std::string const& prefix)
{
    std::uint64_t n = 0;
    for (auto const& e : f.endpoint_records)
        if (e.name.starts_with(prefix))
            n += nlohmann::json::parse(get(e.address, "/counts"))
                     .value("requests", std::uint64_t{0});
    return n;
}

// Moves one route to a good version and another to a bad one, both at once.
std::vector<line> version_moves(fleet& f, customer const& c)
{
    for (auto const& e : f.endpoint_records)
        if (e.name.starts_with(c.bad_prefix))
            post(e.address, "/fault", R"({"fail_rate": 0.3})");
    publish_text(f, "[[move]]\nname = \"chat-v2\"\nroute = \"chat\"\n"
                    "to = \"v2\"\ndeadline_in_s = 40\n"
                    "[[move]]\nname = \"quotes-v3\"\nroute = \"quotes\"\n"
                    "to = \"v3\"\ndeadline_in_s = 40\n");
    constexpr int tokens = 6;
    constexpr int seconds = 38;
    auto plans = steady(f, c, "chat", 240 * seconds, 240, tokens);
    auto const quotes = steady(f, c, "quotes", 80 * seconds, 80, tokens);
    plans.insert(plans.end(), quotes.begin(), quotes.end());
    auto const got = run_calls(plans);
    std::string good;
    std::string bad;
    ctl(f, {"watch", "move", "chat-v2"}, &good);
    ctl(f, {"watch", "move", "quotes-v3"}, &bad);
    auto const last_line = [](std::string const& text) {
        auto const end = text.find_last_not_of('\n');
        auto const begin = text.rfind('\n', end);
        return text.substr(begin + 1, end - begin);
    };
    auto const bad_requests = requests_at(f, c.bad_prefix);
    auto const quote_requests = quotes.size();
    std::vector<line> out;
    out.push_back({"good version on route chat, deadline 40 s", last_line(good),
                   good.find("finished") != good.npos});
    out.push_back({"bad version on route quotes", last_line(bad),
                   bad.find("taken_back") != bad.npos});
    out.push_back({"its share of the route: at most 2 in 100",
                   std::to_string(bad_requests) + " of " +
                       std::to_string(quote_requests) + " requests",
                   bad_requests * 50 <= quote_requests});
    out.push_back(count_whole("answers while both moves ran", got, tokens));
    return out;
}

std::vector<line> run_customer(customer const& c)
{
    auto f = start_sample(c.folder);
    std::vector<line> out;
    out.push_back(stream_chats(f, c));
    out.push_back(long_checks(f, c));
    out.push_back(quote_jobs(f, c));
    out.push_back(doubled_orders(f, c));
    out.push_back(killed_runner(f, c));
    std::ranges::move(version_moves(f, c), std::back_inserter(out));
    out.push_back(stopped_node(f, c));
    if (std::ranges::all_of(out, &line::holds))
        std::filesystem::remove_all(f.folder);
    else
        std::cout << "logs are kept in " << f.folder << '\n';
    return out;
}

void print(customer const& c, std::vector<line> const& lines)
{
    std::cout << '\n' << c.name << '\n';
    for (auto const& it : lines)
        std::cout << "  " << std::left << std::setw(48) << it.asked
                  << std::setw(5) << (it.holds ? "ok" : "FAIL") << it.seen
                  << '\n';
    std::cout << std::flush;
}

} // namespace

int main()
{
    std::vector<customer> const customers{
        {"Truot Viet Doors", "etc/truot-viet", "sample-key-hotel-purchasing",
         "panel-check", "orders", "papaya-lm-v1-1", "papaya-lm-v3"},
        {"Omaruru Flagworks Co-operative", "etc/omaruru",
         "sample-key-sewers-omaruru", "spec-check", "bookings",
         "pattern-model-v1-1", "pattern-model-v3"}};
    bool all = true;
    try {
        for (auto const& it : customers) {
            auto const lines = run_customer(it);
            print(it, lines);
            all = all && std::ranges::all_of(lines, &line::holds);
        }
    }
    catch (std::exception const& e) {
        std::cerr << "papayahook-demo: " << e.what() << '\n';
        return 1;
    }
    return all ? 0 : 1;
}
