// Placement of requests by many nodes, whose load figures are some tenths of a
// second old, on endpoints with few slots each.
#include "support/fabric.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <utility>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr int slots = 12;
constexpr int queue_capacity = 25; // per endpoint, in addition to its slots

struct open_call
{
    core::time_point ends{};
    std::size_t node = 0;
    core::call_id call = 0;
    std::string endpoint;
};

struct placement
{
    fabric f;
    std::vector<open_call> calls;
    std::map<std::string, int> open; // calls in flight by endpoint
    int requests = 0;
    int sent = 0;
    int crowded = 0; // sent to an endpoint whose slots were all taken
    int shed = 0;    // sent to an endpoint whose queue was full as well
    std::mt19937 random{20261204};
};

placement make_placement(std::size_t nodes, int endpoints)
{
    placement p;
    p.f = make_fabric(nodes, 5, nodes / 20);
    run(p.f, 4s);
    core::config_snapshot doc;
    doc.applied = 100;
    doc.lists_endpoints = false;
    core::route route;
    route.name = "chat";
    route.pool = "model";
    route.open = true;
    doc.routes.push_back({route, 1});
    core::endpoints_listed list;
    for (int i = 0; i < endpoints; ++i) {
        core::endpoint_entry e;
        e.at = static_cast<core::offset>(i + 1);
        e.name = "e" + std::to_string(i);
        e.present = true;
        e.what.name = e.name;
        e.what.pool = "model";
        e.what.zone = "zone-" + std::to_string(i % 5);
        e.what.kind = core::endpoint_kind::model_runner;
        e.what.slots = slots;
        list.entries.push_back(e);
    }
    for (std::size_t i = 0; i < nodes; ++i) {
        p.f.nodes[i].settings.prefill_per_token = 20us;
        give(p.f, i, core::config_published{doc});
        give(p.f, i, list);
    }
    deliver(p.f);
    run(p.f, 1s);
    return p;
}

// Sends first tokens at once: these tests look only at where calls are open.
void begin_calls(placement& p)
{
    for (std::size_t node = 0; node < p.f.nodes.size(); ++node) {
        auto const effects = std::exchange(p.f.others[node], {});
        for (auto const& it : effects) {
            auto const* const d = std::get_if<core::dispatch>(&it);
            if (d == nullptr)
                continue;
            p.sent++;
            auto const open = p.open[d->endpoint]++;
            p.crowded += open >= slots ? 1 : 0;
            p.shed += open >= slots + queue_capacity ? 1 : 0;
            p.calls.push_back({p.f.now + 300ms, node, d->call, d->endpoint});
            give(p.f, node,
                 core::answer_head{d->call, 200, "text/event-stream"});
            give(p.f, node, core::answer_chunk{d->call, 0, "x"});
        }
    }
}

// `prefixes` is the number of distinct prompt prefixes; all are equally
// frequent.
void send_request(placement& p, int prefixes)
{
    auto const node = p.random() % p.f.nodes.size();
    core::request_arrived e;
    e.id = "r" + std::to_string(p.requests++);
    e.route = "chat";
    e.model = true;
    e.prompt_tokens = 3'000;
    e.prefix_blocks = {1, 100 + p.random() % static_cast<unsigned>(prefixes),
                       1'000'000ULL + static_cast<unsigned>(p.requests)};
    e.block_tokens = {500, 500, 2'000};
    give(p.f, node, e);
    begin_calls(p);
}

void end_calls(placement& p)
{
    auto const is_over = [&](auto const& it) {
        return it.ends <= p.f.now;
    };
    std::vector<open_call> ended;
    std::ranges::copy_if(p.calls, std::back_inserter(ended), is_over);
    std::erase_if(p.calls, is_over);
    for (auto const& it : ended) {
        p.open[it.endpoint]--;
        give(p.f, it.node,
             core::answer_head{it.call, 200, "text/event-stream"});
        give(p.f, it.node, core::answer_chunk{it.call, 0, "x"});
        give(p.f, it.node, core::answer_end{it.call, 1});
    }
}

// Keeps half of all slots busy on average.
void run_load(placement& p, std::chrono::milliseconds time, int endpoints,
              int prefixes)
{
    double due = 0;
    double const per_step = 0.5 * slots * endpoints / 0.3 * 0.05;
    for (auto t = 0ms; t < time; t += 50ms) {
        end_calls(p);
        for (due += per_step; due >= 1; due -= 1)
            send_request(p, prefixes);
        run(p.f, 50ms);
        begin_calls(p);
    }
}

} // namespace

TEST_CASE("many nodes do not overload an endpoint that all of them see idle")
{
    constexpr int endpoints = 40;
    auto p = make_placement(100, endpoints);
    run_load(p, 2s, endpoints, 400);
    p.sent = 0;
    p.crowded = 0;
    run_load(p, 4s, endpoints, 400);
    CHECK(p.sent > 1'000);
    CHECK(p.crowded * 20 <= p.sent); // 95 % must start in time
    CHECK(p.shed == 0);
}

TEST_CASE("a frequent prompt prefix does not overload its home endpoint")
{
    constexpr int endpoints = 40;
    auto p = make_placement(100, endpoints);
    run_load(p, 2s, endpoints, 8);
    p.sent = 0;
    p.shed = 0;
    run_load(p, 4s, endpoints, 8);
    CHECK(p.shed * 100 <= p.sent);
}
