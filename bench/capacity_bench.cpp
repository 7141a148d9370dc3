// Measures one node's core at its design size: memory, and cost per event.
//
//   capacity_bench memory        bytes of state per kind
//   capacity_bench time          microseconds per event
//   capacity_bench control N     N seconds of control events, for callgrind
#include "fixture.hpp"

#include <cstdio>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace {

using namespace papayahook;
using namespace papayahook::bench;
using steady = std::chrono::steady_clock;

constexpr int peers = 330;
constexpr int runners = 680;
constexpr int links = 6;
constexpr core::time_point start{std::chrono::hours(1)};

double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

core::member_news member(int i)
{
    return {"n" + std::to_string(i),         1'796'000'000'000'000, 1, true,
            "zone-" + std::to_string(i % 7), "10.0.0.1:8080"};
}

core::node_state large_node()
{
    auto s = make_node("n0", {.runners = runners, .zones = 7}, start);
    core::effects out;
    for (std::uint64_t link = 1; link <= links; ++link) {
        core::reduce(s, {start, core::peer_opened{link}}, out);
        core::hello it;
        it.node = "n" + std::to_string(link);
        it.incarnation = 1;
        core::reduce(s, {start, core::peer_received{link, it}}, out);
    }
    core::news all;
    for (int i = 7; i < peers; ++i)
        all.members.push_back(member(i));
    core::reduce(s, {start, core::peer_received{1, all}}, out);
    return s;
}

core::instance_list full_list()
{
    core::instance_list out;
    for (int i = 0; i < runners; ++i)
        out.instances.push_back({"r" + std::to_string(i), "1", false});
    return out;
}

// Feeds the events that a node's core handles in one idle second.
void control_second(core::node_state& s, core::time_point at, int second,
                    core::effects& out)
{
    constexpr int ticks = 20;
    constexpr int polls = 4;
    constexpr int list_every = 55; // 330 nodes, 6 reads per second
    for (int i = 0; i < ticks; ++i)
        core::reduce(s, {at + i * 50ms, core::tick{}}, out);
    for (std::uint64_t link = 1; link <= links; ++link)
        core::reduce(
            s,
            {at,
             core::peer_received{link, core::heartbeat{s.config.applied, 3}}},
            out);
    for (int i = 0; i < polls; ++i)
        core::reduce(s,
                     {at,
                      core::endpoint_report{
                          "r" + std::to_string((second * polls + i) % runners),
                          "1", false, 5, 0}},
                     out);
    if (second % list_every == 0)
        core::reduce(s, {at, full_list()}, out);
    out.clear();
}

template <class F>
double microseconds_each(int n, F act)
{
    auto const began = steady::now();
    for (int i = 0; i < n; ++i)
        act(i);
    std::chrono::duration<double, std::micro> const took =
        steady::now() - began;
    return took.count() / n;
}

void memory()
{
    auto const before = heap_bytes();
    auto s = large_node();
    auto const loaded = heap_bytes();
    std::printf("state of %d nodes and %d runners: %.0f kB\n", peers, runners,
                (loaded - before) / 1024);
    core::effects out;
    constexpr int requests = 1'000;
    constexpr int tokens = 300;
    for (int i = 0; i < requests; ++i) {
        core::reduce(s, {start, request("n0.1." + std::to_string(i))}, out);
        auto const call = s.next_call - 1;
        for (std::uint64_t t = 0; t < tokens; ++t)
            core::reduce(s, {start, core::answer_chunk{call, t, "token "}},
                         out);
        out.clear();
    }
    std::printf("one stream with %d tokens: %.1f kB\n", tokens,
                (heap_bytes() - loaded) / requests / 1024);
    auto const streams = heap_bytes();
    constexpr int claims = 10'000;
    core::log_read read;
    read.stream = "claims";
    read.start = 1;
    for (int i = 0; i < claims; ++i) {
        core::log_entry e;
        e.at = static_cast<core::offset>(i) + 1;
        e.written = start;
        core::claim_record rec;
        rec.key =
            "organisation:0123456789abcdef0123456789abcdef" + std::to_string(i);
        rec.request = "n7.1796000000000000.1234567";
        rec.body_digest = "0123456789abcdef0123456789abcdef";
        e.record = rec;
        read.entries = {e};
        read.end = e.at;
        core::reduce(s, {start, read}, out);
        out.clear();
    }
    read.entries.clear();
    std::printf("one claim without its answer: %.0f bytes\n",
                (heap_bytes() - streams) / claims);
}

void time_events()
{
    auto s = large_node();
    core::effects out;
    constexpr int n = 20'000;
    std::printf("tick: %.2f us\n", microseconds_each(n, [&](int i) {
                    core::reduce(s, {start + i * 50ms, core::tick{}}, out);
                    out.clear();
                }));
    auto const now = s.now;
    std::printf("heartbeat: %.2f us\n", microseconds_each(n, [&](int) {
                    core::reduce(
                        s, {now, core::peer_received{1, core::heartbeat{1, 3}}},
                        out);
                    out.clear();
                }));
    std::printf("news of a member: %.2f us\n", microseconds_each(n, [&](int i) {
                    auto it = member(7 + i % 300);
                    it.sequence = static_cast<std::uint64_t>(i) + 2;
                    core::news item;
                    item.members.push_back(it);
                    core::reduce(s, {now, core::peer_received{1, item}}, out);
                    out.clear();
                }));
    auto const list = full_list();
    std::printf("list of instances: %.2f us\n",
                microseconds_each(200, [&](int) {
                    core::reduce(s, {now, list}, out);
                    out.clear();
                }));
    std::printf(
        "request to dispatch: %.2f us\n", microseconds_each(2'000, [&](int i) {
            core::reduce(s, {now, request("n0.1." + std::to_string(i))}, out);
            out.clear();
        }));
    std::printf(
        "token: %.2f us\n", microseconds_each(n, [&](int i) {
            core::reduce(
                s,
                {now, core::answer_chunk{1, static_cast<std::uint64_t>(i),
                                         "token "}},
                out);
            out.clear();
        }));
}

void control(int seconds)
{
    auto s = large_node();
    core::effects out;
    for (int i = 0; i < seconds; ++i)
        control_second(s, start + std::chrono::seconds(i), i, out);
}

} // namespace

int main(int argc, char** argv)
{
    std::string const what = argc > 1 ? argv[1] : "";
    if (what == "memory")
        memory();
    else if (what == "time")
        time_events();
    else if (what == "control" && argc > 2)
        control(std::stoi(argv[2]));
    else
        return 2;
    return 0;
}
