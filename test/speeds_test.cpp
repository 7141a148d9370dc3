// Uneven speeds of 0.6 : 1 : 1.6 and uneven prompts, up to 39,600 tokens, at 91
// nodes and 96 runners at a fifth of their capacity, with load figures that are
// 0.25 to 0.75 s old: prompts are on time nearly as often as with exact
// knowledge.
#include "support/fabric.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <random>
#include <utility>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodes = 91;
constexpr int endpoints = 96;
constexpr int zones = 3;
constexpr int slots = 16;
constexpr double us_per_token = 12.2;
constexpr double noise_factor = 2.5;
constexpr double noise_share = 0.15;
constexpr auto noise_period = 600ms;
constexpr auto step = 5ms; // of the replay

struct kind
{
    std::string name;
    double per_second = 0;
    int shared = 0; // tokens of the prefix
    int own = 0;    // mean of the tokens behind it
    int events = 0;
    std::chrono::milliseconds target{};
    int prefixes = 0;
};

std::vector<kind> const kinds{{"draft", 353, 6'300, 2'890, 7, 500ms, 24},
                              {"review", 219, 568, 1'800, 3, 400ms, 24},
                              {"chat", 75.6, 172, 543, 40, 300ms, 24}};

struct runner
{
    double slowness = 1; // relative to speed 1
    bool crashed = false;
    core::duration noise_phase{};
    core::time_point read_until{}; // of its queue of prompts
    std::set<std::uint64_t> prefixes;
    int calls = 0;
};

struct stream
{
    std::size_t node = 0;
    core::call_id call = 0;
    std::size_t runner = 0;
    std::size_t kind = 0;
    core::time_point arrived{};
    core::time_point next{}; // event
    int tokens = 0;          // of the prompt
    std::uint64_t sent = 0;
};

struct site
{
    fabric f;
    std::vector<runner> runners;
    std::map<core::request_id, std::pair<core::request_arrived, std::size_t>>
        asked;
    std::map<core::request_id, core::time_point> arrivals;
    std::vector<stream> streams;
    std::mt19937_64 random{20261206};
    bool exact = false; // runners are chosen with exact knowledge
    int requests = 0;
    double on_time = 0;
    double answered = 0;
    std::array<double, 3> kind_on_time{};
    std::array<double, 3> kind_answered{};
    double long_on_time = 0; // prompts of more than 16,000 tokens
    double long_answered = 0;
};

core::endpoint_entry entry_of(std::size_t i, int incarnation)
{
    core::endpoint_entry e;
    e.at = static_cast<core::offset>(1'000 * incarnation) + i + 1;
    e.name = "e" + std::to_string(i);
    e.present = true;
    e.value.name = e.name;
    e.value.pool = "model";
    e.value.zone = "zone-" + std::to_string(i % zones);
    e.value.kind = core::endpoint_kind::model_runner;
    e.value.slots = slots;
    e.value.incarnation = "i" + std::to_string(incarnation);
    return e;
}

site make_site()
{
    site w;
    w.f = make_fabric(nodes, zones, 8);
    run(w.f, 4s);
    core::config_snapshot doc;
    doc.applied = 100;
    doc.lists_endpoints = false;
    for (auto const& it : kinds) {
        core::route route;
        route.name = it.name;
        route.pool = "model";
        route.anonymous = true;
        route.first_byte_target = it.target;
        doc.routes.push_back({route, 1});
    }
    core::endpoints_listed list;
    for (std::size_t i = 0; i < endpoints; ++i) {
        list.entries.push_back(entry_of(i, 1));
        runner r;
        r.slowness = std::array{1 / 0.6, 1.0, 1 / 1.6}[i / zones % 3];
        r.noise_phase = std::chrono::milliseconds(w.random() % 4'000);
        w.runners.push_back(r);
    }
    for (std::size_t i = 0; i < nodes; ++i) {
        w.f.nodes[i].settings.prefill_per_token = 25us;
        give(w.f, i, core::config_published{doc});
        give(w.f, i, list);
    }
    deliver(w.f);
    run(w.f, 1s);
    return w;
}

double factor(site const& w, runner const& r)
{
    auto const cycle = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(noise_period) / noise_share);
    auto const at = (w.f.now.time_since_epoch() + r.noise_phase) % cycle;
    return r.slowness * (at < noise_period ? noise_factor : 1);
}

core::duration read_time(site const& w, runner const& r,
                         core::request_arrived const& e)
{
    int cached = 0;
    for (std::size_t i = 0; i + 1 < e.prefix_blocks.size(); ++i)
        cached +=
            r.prefixes.contains(e.prefix_blocks[i]) ? e.block_tokens[i] : 0;
    return std::chrono::microseconds(
        std::llround((e.prompt_tokens - cached) * us_per_token * factor(w, r)));
}

core::duration event_time(site const& w, runner const& r)
{
    double const step_us = 3'740 + 60 * r.calls;
    return std::chrono::microseconds(std::llround(7 * step_us * factor(w, r)));
}

// Reads prompts one after another, then sends events.
void begin(site& w, std::size_t node, core::call_id call,
           core::request_id const& id, std::size_t at)
{
    auto& r = w.runners[at];
    auto const& [e, kind] = w.asked.at(id);
    auto const reads = read_time(w, r, e);
    r.read_until = std::max(r.read_until, w.f.now) + reads;
    r.prefixes.insert(e.prefix_blocks.begin(),
                      std::prev(e.prefix_blocks.end()));
    r.calls++;
    w.streams.push_back({node, call, at, kind, w.arrivals.at(id),
                         r.read_until + event_time(w, r), e.prompt_tokens, 0});
}

void carry_out(site& w, std::size_t node)
{
    for (auto const& it : std::exchange(w.f.others[node], {})) {
        auto const* const d = std::get_if<core::dispatch>(&it);
        if (d == nullptr)
            continue;
        auto const at = std::stoul(d->endpoint.substr(1));
        if (w.runners[at].crashed)
            give(w.f, node,
                 core::call_failed{d->call, core::step::connect, false, "x"});
        else
            begin(w, node, d->call, d->id, at);
    }
}

void count_first(site& w, stream const& it)
{
    bool const good = w.f.now <= it.arrived + kinds[it.kind].target;
    w.answered++;
    w.on_time += good ? 1 : 0;
    w.kind_answered[it.kind]++;
    w.kind_on_time[it.kind] += good ? 1 : 0;
    w.long_answered += it.tokens > 16'000 ? 1 : 0;
    w.long_on_time += it.tokens > 16'000 && good ? 1 : 0;
}

// With exact knowledge: the earliest first token.
void begin_exactly(site& w, core::request_id const& id)
{
    auto const& e = w.asked.at(id).first;
    std::size_t best = 0;
    core::time_point earliest = core::time_point::max();
    for (std::size_t i = 0; i < w.runners.size(); ++i) {
        auto const& r = w.runners[i];
        auto const first = std::max(r.read_until, w.f.now) +
                           read_time(w, r, e) + event_time(w, r);
        if (first < earliest)
            earliest = first, best = i;
    }
    begin(w, 0, 0, id, best);
}

void send_request(site& w)
{
    std::discrete_distribution<std::size_t> pick{
        kinds[0].per_second, kinds[1].per_second, kinds[2].per_second};
    auto const k = pick(w.random);
    auto const& it = kinds[k];
    std::lognormal_distribution<> size(std::log(it.own) - 0.5, 1);
    core::request_arrived e;
    e.id = "r" + std::to_string(w.requests++);
    e.route = it.name;
    e.via_model_path = true;
    int const own = std::min(39'600 - it.shared,
                             std::max(20, static_cast<int>(size(w.random))));
    e.prompt_tokens = it.shared + own;
    e.prefix_blocks = {1'000 * (k + 1) +
                           w.random() % static_cast<unsigned>(it.prefixes),
                       1'000'000ULL + static_cast<unsigned>(w.requests)};
    e.block_tokens = {it.shared, own};
    w.asked[e.id] = {e, k};
    w.arrivals[e.id] = w.f.now;
    if (w.exact) {
        begin_exactly(w, e.id);
        return;
    }
    auto const node = w.random() % nodes;
    give(w.f, node, e);
    carry_out(w, node);
}

void send_event(site& w, stream& it)
{
    auto const id = it.node;
    if (it.sent == 0)
        count_first(w, it);
    it.next = w.f.now + event_time(w, w.runners[it.runner]);
    auto const index = it.sent++;
    bool const ends =
        it.sent == static_cast<std::uint64_t>(kinds[it.kind].events);
    w.runners[it.runner].calls -= ends ? 1 : 0;
    if (it.call == 0)
        return;
    if (index == 0)
        give(w.f, id, core::answer_head{it.call, 200, "text/event-stream"});
    give(w.f, id, core::answer_chunk{it.call, index, "x"});
    if (ends)
        give(w.f, id, core::answer_end{it.call, it.sent});
    carry_out(w, id);
}

void run_load(site& w, std::chrono::milliseconds time)
{
    double due = 0;
    for (auto t = 0ms; t < time; t += step) {
        w.f.now += step;
        for (due += 0.6476 * static_cast<double>(step.count()); due >= 1; --due)
            send_request(w);
        auto const now = w.f.now;
        std::ranges::sort(w.streams, {}, &stream::next);
        for (std::size_t i = 0;
             i < w.streams.size() && w.streams[i].next <= now; ++i) {
            w.f.now = w.streams[i].next;
            send_event(w, w.streams[i]);
        }
        w.f.now = now;
        std::erase_if(w.streams, [](auto const& it) {
            return it.sent >= static_cast<std::uint64_t>(kinds[it.kind].events);
        });
        if (t % 50ms == 0ms) {
            w.f.now -= 50ms;
            run(w.f, 50ms);
            for (std::size_t i = 0; i < nodes; ++i)
                carry_out(w, i);
        }
    }
}

double share_on_time(site& w, std::chrono::milliseconds time)
{
    w.on_time = w.answered = 0;
    run_load(w, time);
    return w.on_time / w.answered;
}

// Greatest quotient of a learned and the true slowness, over the nodes.
double worst_error(site const& w)
{
    double mean = 0;
    for (auto const& it : w.runners)
        mean += it.slowness / endpoints;
    double out = 1;
    for (auto const& s : w.f.nodes)
        for (auto const& it : core::endpoint_speeds(s)) {
            auto const& r = w.runners[std::stoul(it.endpoint.substr(1))];
            double const error = it.slowness / (r.slowness / mean);
            out = std::max({out, error, 1 / error});
        }
    return out;
}

core::endpoint_speed speed_at(site const& w, std::size_t node,
                              std::string const& endpoint)
{
    auto const all = core::endpoint_speeds(w.f.nodes[node]);
    return *std::ranges::find(all, endpoint, &core::endpoint_speed::endpoint);
}

} // namespace

TEST_CASE("uneven speeds are learned by all nodes and used")
{
    auto best = make_site();
    best.exact = true;
    CHECK(share_on_time(best, 5s) >= 0.99);
    auto w = make_site();
    run_load(w, 5s);
    CHECK(worst_error(w) <= 1.2);
    for (auto const& it : w.f.nodes) {
        CHECK(it.prefill_us_per_token.at("model") > 12);
        CHECK(it.prefill_us_per_token.at("model") < 20);
    }
    w.f.speed_figures_sent = 0;
    CHECK(share_on_time(w, 6s) >= 0.975);
    // A figure takes at most 12 bytes; 1 KB a second at each node.
    CHECK(w.f.speed_figures_sent * 12 <= 1'000 * nodes * 6);
}

TEST_CASE("an endpoint that turns slow gets fewer prompts, and none of the "
          "speed of its earlier incarnation is kept")
{
    auto w = make_site();
    run_load(w, 4s);
    auto const before = speed_at(w, 50, "e4").slowness;
    w.runners[4].slowness *= 4;
    run_load(w, 8s);
    CHECK(speed_at(w, 50, "e4").slowness >= 2.5 * before);
    w.runners[4].crashed = true;
    run_load(w, 500ms);
    w.runners[4] = {};
    w.runners[4].slowness = 0.5;
    for (std::size_t i = 0; i < nodes; ++i)
        give(w.f, i, core::endpoints_listed{{entry_of(4, 2)}, {}});
    CHECK(speed_at(w, 50, "e4").slowness == 1);
    run_load(w, 5s);
    CHECK(speed_at(w, 50, "e4").slowness < 0.7);
}

// The endpoints were drawn from the request's id alone, so that each attempt
// met the same ones.
TEST_CASE("a retry goes to no endpoint that failed the request")
{
    auto w = make_site();
    constexpr std::size_t node = 50;
    w.f.nodes[node].settings.retry_budget = 10;
    for (int i = 0; i < 100; ++i) {
        core::request_arrived e;
        e.id = "retry" + std::to_string(i);
        e.route = "review";
        e.prompt_tokens = 3'000;
        e.prefix_blocks = {1, 2};
        e.block_tokens = {1'000, 2'000};
        give(w.f, node, e);
        std::set<std::string> used;
        int attempts = 0;
        for (;;) {
            auto const effects = std::exchange(w.f.others[node], {});
            auto const it = std::ranges::find_if(effects, [](auto const& n) {
                return std::holds_alternative<core::dispatch>(n);
            });
            if (it == effects.end())
                break;
            auto const& d = std::get<core::dispatch>(*it);
            attempts++;
            used.insert(d.endpoint);
            w.f.nodes[node].endpoints[d.endpoint].failures = 0; // no pause
            give(w.f, node,
                 core::call_failed{d.call, core::step::receive, true, "x"});
        }
        CHECK(attempts == 4);
        CHECK(used.size() == 4);
    }
}

TEST_CASE("absurd samples of a peer change no speed beyond bounds")
{
    auto w = make_site();
    run_load(w, 5s);
    core::heartbeat e;
    e.receiver_is_hub = true;
    constexpr auto huge = std::numeric_limits<std::int32_t>::max();
    for (auto const& [key, it] : w.f.nodes[0].speeds.samples)
        for (auto const us : {0, -1, huge, huge - 1})
            for (auto const kind : {0, 1, -1, huge})
                e.speed_samples.push_back({key.first, kind, us});
    for (std::uint32_t key = 0; key < 20'000; ++key)
        e.speed_samples.push_back({key, 0, 1});
    e.speeds = e.speed_samples;
    for (std::size_t i = 0; i < nodes; ++i)
        for (auto const& [link, p] : std::map(w.f.nodes[i].peers))
            give(w.f, i, core::peer_received{link, e});
    run_load(w, 1s);
    for (auto const& s : w.f.nodes) {
        CHECK(s.speeds.samples.size() <= 4'096);
        CHECK(s.speeds.learned.size() <= 4'096);
    }
    CHECK(worst_error(w) <= 1.3);
    CHECK(share_on_time(w, 3s) >= 0.95);
}
