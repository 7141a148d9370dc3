// Measures real processes on loopback, with fakes.
//
//   process_bench fleet N     control cost per node of N idle nodes
//   process_bench streams N   N parallel streams, through a node and direct
//   process_bench plain       short plain calls per second through one node
//   process_bench orders N    orders and appends per second, latency
//   process_bench reclaim N   N streams and N jobs on a node that is reclaimed
#include "support/client.hpp"
#include "support/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>
#include <thread>

namespace {

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

double metric(std::string const& text, std::string const& name)
{
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
        if (line.starts_with(name + " "))
            return std::stod(line.substr(name.size() + 1));
    return 0;
}

double percentile(std::vector<double> all, double share)
{
    if (all.empty())
        return 0;
    std::ranges::sort(all);
    auto const at =
        static_cast<std::size_t>(share * static_cast<double>(all.size() - 1));
    return all[at];
}

struct reading
{
    double cpu_ms = 0;
    double resident_mb = 0;
    double bytes_sent = 0;
    double bytes_received = 0;
};

reading read_node(node_process const& n)
{
    constexpr double megabyte = 1024 * 1024;
    auto const used = usage_of(n.run->id());
    auto const text = get(n.admin, "/metrics");
    std::string const name = "papayahook_peer_bytes_total";
    return {static_cast<double>(used.cpu.count()),
            static_cast<double>(used.resident_bytes) / megabyte,
            metric(text, name + "{direction=\"sent\"}"),
            metric(text, name + "{direction=\"received\"}")};
}

void measure_fleet(int nodes)
{
    constexpr auto settle = 5s;
    constexpr auto period = 10s;
    fleet_options options;
    options.nodes = nodes;
    auto f = start_fleet(options);
    std::this_thread::sleep_for(settle);
    std::vector<reading> before;
    for (auto const& n : f.nodes)
        before.push_back(read_node(n));
    std::this_thread::sleep_for(period);
    reading sum;
    double worst_bytes = 0;
    for (std::size_t i = 0; i < f.nodes.size(); ++i) {
        auto const now = read_node(f.nodes[i]);
        sum.cpu_ms += now.cpu_ms - before[i].cpu_ms;
        sum.resident_mb += now.resident_mb;
        auto const sent = now.bytes_sent - before[i].bytes_sent;
        auto const received = now.bytes_received - before[i].bytes_received;
        sum.bytes_sent += sent;
        sum.bytes_received += received;
        worst_bytes = std::max(worst_bytes, sent + received);
    }
    double const seconds = std::chrono::duration<double>(period).count();
    // Time until all nodes know of a leaving endpoint that one node reads from
    // the list.
    auto const began = std::chrono::steady_clock::now();
    post(f.instances, "/set",
         R"({"endpoint": "r1", "incarnation": "", "leaving": true})");
    eventually(20s, [&] {
        return std::ranges::all_of(f.nodes, [](auto const& n) {
            return get(n.admin, "/state").find("\"leaving_endpoints\": []") ==
                   std::string::npos;
        });
    });
    auto const news = std::chrono::steady_clock::now() - began;
    std::printf("fleet of %d: CPU %.3f %% of a core, resident %.1f MB, peer "
                "bytes/s %.0f sent %.0f received, worst node %.0f; leaving "
                "known everywhere after %.2f s\n",
                nodes, sum.cpu_ms / nodes / seconds / 10,
                sum.resident_mb / nodes, sum.bytes_sent / nodes / seconds,
                sum.bytes_received / nodes / seconds, worst_bytes / seconds,
                std::chrono::duration<double>(news).count());
}

struct latency
{
    std::vector<double> first;
    std::vector<double> total;
};

latency run_streams(std::string const& address, int n, bool direct)
{
    std::vector<call_plan> plans;
    for (int i = 0; i < n; ++i) {
        plans.push_back(
            completion(address, test_key, "chat", "hello", 50, true));
        plans.back().start = std::chrono::milliseconds(i * 1000 / n);
    }
    latency out;
    for (auto const& it : run_calls(plans)) {
        if (it.status != 200)
            std::cout << (direct ? "direct" : "node")
                      << " failed: " << it.status << '\n';
        out.first.push_back(static_cast<double>(it.first_byte.count()) / 1e3);
        out.total.push_back(static_cast<double>(it.took.count()) / 1e3);
    }
    return out;
}

void measure_streams(int n)
{
    fleet_options options;
    options.nodes = 1;
    options.runners = 1;
    options.slots = 2 * n;
    options.token_gap_us = 71'000;
    auto f = start_fleet(options);
    run_streams(f.node(0).caller, 50, false);
    auto const direct = run_streams(f.endpoint("r1").address, n, true);
    auto const before = usage_of(f.node(0).run->id());
    auto const node = run_streams(f.node(0).caller, n, false);
    auto const after = usage_of(f.node(0).run->id());
    auto const added = [](std::vector<double> const& a,
                          std::vector<double> const& b, double share) {
        return percentile(a, share) - percentile(b, share);
    };
    std::printf("%d streams of 50 tokens: first token direct p50 %.2f ms p99 "
                "%.2f, node p50 %.2f p99 %.2f, added p50 %.2f p99 %.2f; whole "
                "added p50 %.2f p99 %.2f; CPU %.1f us a token, resident %.1f "
                "MB\n",
                n, percentile(direct.first, 0.5),
                percentile(direct.first, 0.99), percentile(node.first, 0.5),
                percentile(node.first, 0.99),
                added(node.first, direct.first, 0.5),
                added(node.first, direct.first, 0.99),
                added(node.total, direct.total, 0.5),
                added(node.total, direct.total, 0.99),
                static_cast<double>((after.cpu - before.cpu).count()) * 1000 /
                    (n * 50.0),
                static_cast<double>(after.resident_bytes) / 1048576);
}

void measure_plain()
{
    constexpr int callers = 64;
    constexpr int rounds = 150;
    fleet_options options;
    options.nodes = 1;
    options.desks = 3;
    options.work_ms = 0;
    options.slots = 256;
    options.routes = "[[route]]\nname = \"stock\"\npool = \"desk\"\nversion = "
                     "\"v1\"\n";
    auto f = start_fleet(options);
    auto const before = usage_of(f.node(0).run->id());
    auto const began = std::chrono::steady_clock::now();
    int answered = 0;
    std::vector<std::thread> threads;
    std::vector<int> counts(4);
    for (std::size_t t = 0; t < counts.size(); ++t)
        threads.emplace_back([&, t] {
            for (int i = 0; i < rounds; ++i) {
                std::vector<call_plan> plans(
                    callers / counts.size(),
                    order(f.node(0).caller, test_key, "stock", "x", ""));
                counts[t] += static_cast<int>(std::ranges::count(
                    run_calls(plans), 200, &call_outcome::status));
            }
        });
    for (auto& it : threads)
        it.join();
    answered = std::accumulate(counts.begin(), counts.end(), 0);
    std::chrono::duration<double> const took =
        std::chrono::steady_clock::now() - began;
    auto const cpu = usage_of(f.node(0).run->id()).cpu - before.cpu;
    std::printf("plain calls: %d answered, %.0f a second, %.0f a second of "
                "the node's CPU time\n",
                answered, answered / took.count(),
                answered / (static_cast<double>(cpu.count()) / 1000));
}

void measure_orders(int per_second)
{
    constexpr int seconds = 5;
    fleet_options options;
    options.nodes = 6;
    options.desks = 3;
    options.slots = 256;
    auto f = start_fleet(options);
    auto const appends = [&] {
        return nlohmann::json::parse(get(f.log, "/counts"))
            .at("appends")
            .get<double>();
    };
    auto const before = appends();
    std::vector<call_plan> plans;
    for (int i = 0; i < per_second * seconds; ++i) {
        auto const name = "o" + std::to_string(i);
        plans.push_back(order(f.node(static_cast<std::size_t>(i) % 6).caller,
                              test_key, "orders", name, name));
        plans.back().start = i * 1000ms / per_second;
    }
    std::vector<double> took;
    int whole = 0;
    for (auto const& it : run_calls(plans)) {
        whole += it.status == 200 ? 1 : 0;
        took.push_back(static_cast<double>(it.took.count()) / 1e3);
    }
    std::printf("%d orders a second through 6 nodes: %d of %zu answered, %.0f "
                "appends a second, latency p50 %.1f ms p99 %.1f ms (an order "
                "takes 5 ms)\n",
                per_second, whole, plans.size(), (appends() - before) / seconds,
                percentile(took, 0.5), percentile(took, 0.99));
}

// Kills a node after two seconds of notice; callers fetch the rest elsewhere.
void measure_reclaim(int n)
{
    constexpr int tokens = 500;
    constexpr auto notice = 2s;
    fleet_options options;
    options.runners = 4;
    options.slots = 2 * n;
    auto f = start_fleet(options);
    auto& node = f.node(0);
    auto plan = completion(node.caller, test_key, "chat", "x", tokens, true);
    std::vector<call_plan> streams(static_cast<std::size_t>(n), plan);
    plan.headers.emplace_back("Prefer", "respond-async");
    auto const jobs =
        run_calls(std::vector<call_plan>(static_cast<std::size_t>(n), plan));
    double handed_over = 0;
    std::thread reclaim([&] {
        std::this_thread::sleep_for(500ms);
        node.run->signal(SIGTERM);
        std::this_thread::sleep_for(notice);
        handed_over = metric(get(node.admin, "/metrics"),
                             "papayahook_handed_over_requests_total"
                             "{direction=\"out\"}");
        node.run->signal(SIGKILL);
    });
    auto const got = run_calls(streams);
    reclaim.join();
    int whole = 0;
    std::vector<double> gaps;
    for (auto const& it : got) {
        auto const held = tokens_in(it);
        auto const rest =
            fetch_rest(f.node(1).caller, test_key, it.request_id, held);
        whole += stream_fault(rest, tokens, held).empty() ? 1 : 0;
        gaps.push_back(static_cast<double>(it.longest_gap.count()) / 1e3);
    }
    int fetched = 0;
    for (auto const& it : jobs) {
        auto const answer =
            fetch_rest(f.node(2).caller, test_key, it.request_id, 0);
        fetched += stream_fault(answer, tokens).empty() ? 1 : 0;
    }
    double recomputed = 0;
    for (auto const i : {1, 2})
        recomputed +=
            metric(get(f.node(static_cast<std::size_t>(i)).admin, "/metrics"),
                   "papayahook_recomputed_tokens_total");
    std::printf("reclaim with 2 s of notice: %.0f requests handed over; "
                "streams whole %d of %d, jobs %d of %d; longest gap at a "
                "caller before the kill p50 %.0f ms max %.0f (tokens every "
                "10 ms); %.0f tokens recomputed of %d\n",
                handed_over, whole, n, fetched, n, percentile(gaps, 0.5),
                percentile(gaps, 1), recomputed, 2 * n * tokens);
}

int run(std::vector<std::string> const& args)
{
    int const n = args.size() > 1 ? std::stoi(args[1]) : 0;
    if (args.empty())
        return 2;
    if (args[0] == "fleet")
        measure_fleet(n);
    else if (args[0] == "streams")
        measure_streams(n);
    else if (args[0] == "plain")
        measure_plain();
    else if (args[0] == "orders")
        measure_orders(n);
    else if (args[0] == "reclaim")
        measure_reclaim(n);
    else
        return 2;
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    // Catching unwinds the stack, which stops the processes of the fleet.
    try {
        return run({argv + 1, argv + argc});
    }
    catch (std::exception const& e) {
        std::cerr << "process_bench: " << e.what() << '\n';
        return 1;
    }
}
