// Evacuated zones get no new work: not by any kind of call, at no node, however
// the node learns of the order, and whatever fails meanwhile.
#include "support/fabric.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr auto in_force_after = 5'000ms; // bounds.evacuate_ms
constexpr std::size_t node_count = 78;
constexpr int endpoints_per_zone = 4;

struct zone_site
{
    fabric f;
    // Newest record of each key, as the store lists them.
    std::map<std::string, core::zone_evacuation> records;
    core::offset end = 0;
    std::set<std::size_t> denied; // nodes that the store turns away
    std::map<std::size_t, core::time_point> next_read;
    core::endpoints_listed entries; // of all endpoints
    core::config_snapshot config;
    std::map<std::string, int> calls; // by zone
    // Times at which each endpoint got calls, as counted there.
    std::map<std::string, std::vector<core::time_point>> ledger;
    std::chrono::milliseconds ask_period{250};
    std::map<std::string, core::refusal> refused;
    int asked = 0;
};

core::endpoint_entry entry_in(std::string const& zone, core::offset at,
                              std::string const& name)
{
    core::endpoint_entry e;
    e.at = at;
    e.name = name;
    e.present = true;
    e.value.name = name;
    e.value.pool = "model";
    e.value.zone = zone;
    e.value.incarnation = "1";
    e.value.kind = core::endpoint_kind::model_runner;
    return e;
}

core::endpoints_listed all_entries()
{
    core::endpoints_listed out;
    core::offset at = 0;
    for (std::string const zone : {"zone-0", "zone-1", "zone-2"})
        for (int i = 0; i < endpoints_per_zone; ++i) {
            at++;
            out.entries.push_back(
                entry_in(zone, at, zone + "/" + std::to_string(i)));
        }
    return out;
}

core::config_snapshot document()
{
    auto out = chat_configuration(100);
    auto& r = out.routes.front().value;
    r.resumable = true;
    r.max_attempts = 4;
    return out;
}

void evacuate(zone_site& w, std::string const& zone, bool active)
{
    w.records[zone] = {++w.end, zone, active};
}

// A read of the store: the list of all newest records. Endpoints come first, as
// the topics are read independently.
void read_store(zone_site& w, std::size_t i)
{
    if (w.f.now < w.next_read[i])
        return;
    w.next_read[i] = w.f.now + 800ms;
    if (w.denied.contains(i)) {
        give(w.f, i, core::log_reachable{false});
        return;
    }
    core::zones_evacuated list;
    for (auto const& [zone, it] : w.records)
        if (it.active)
            list.entries.push_back(it);
    list.complete_at = w.end;
    give(w.f, i, w.entries);
    give(w.f, i, list);
    give(w.f, i, core::config_published{w.config});
    give(w.f, i, core::log_reachable{true});
}

std::string zone_of(std::string const& endpoint)
{
    return endpoint.substr(0, endpoint.find('/'));
}

// Counts the calls by zone and ends each with an answer.
void answer_calls(zone_site& w)
{
    for (std::size_t i = 0; i < w.f.nodes.size(); ++i)
        for (auto const& it : std::exchange(w.f.others[i], {}))
            if (auto const* const d = std::get_if<core::dispatch>(&it)) {
                w.calls[zone_of(d->endpoint)]++;
                w.ledger[d->endpoint].push_back(w.f.now);
                give(w.f, i, core::answer_head{d->call});
                give(w.f, i, core::answer_chunk{d->call, 0, "x"});
                give(w.f, i, core::answer_end{d->call, 1});
            }
}

core::request_id ask(zone_site& w, std::size_t node)
{
    core::request_arrived e;
    e.id = "r" + std::to_string(w.asked++);
    e.route = "chat";
    e.via_model_path = true;
    e.prompt_tokens = 100;
    give(w.f, node, e);
    return e.id;
}

void run(zone_site& w, std::chrono::milliseconds time)
{
    for (auto t = 0ms; t < time; t += 50ms) {
        for (std::size_t i = 0; i < w.f.nodes.size(); ++i)
            if (w.f.running[i] && w.f.follows[i].registry)
                read_store(w, i);
        run(w.f, 50ms);
        if (t % w.ask_period == 0ms)
            for (std::size_t i = 0; i < w.f.nodes.size(); ++i)
                ask(w, i);
        answer_calls(w);
    }
}

zone_site make_site(std::size_t nodes = node_count)
{
    zone_site w;
    w.entries = all_entries();
    w.config = document();
    w.f = make_fabric(nodes, 3, nodes / 20);
    for (auto& it : w.f.nodes)
        it.settings.max_store_age = 1'200ms;
    run(w, 6s);
    REQUIRE(w.calls.size() == 3);
    w.calls.clear();
    return w;
}

std::vector<std::size_t> readers(zone_site const& w)
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < w.f.nodes.size(); ++i)
        if (w.f.running[i] && w.f.follows[i].registry)
            out.push_back(i);
    return out;
}

void restart_process(zone_site& w, std::size_t i)
{
    kill(w.f, i);
    w.next_read.erase(i);
    w.f.follows[i] = {};
    restart(w.f, i);
}

// One node that knows all endpoints and the configuration.
zone_site make_node()
{
    zone_site w;
    w.f = make_fabric(1, 1);
    give(w.f, 0, all_entries());
    give(w.f, 0, core::config_published{document()});
    return w;
}

void learn(zone_site& w, std::string const& zone, bool active)
{
    give(w.f, 0, core::zones_evacuated{{{++w.end, zone, active}}, {}});
}

std::vector<core::dispatch> take_calls(zone_site& w)
{
    std::vector<core::dispatch> out;
    for (auto const& it : std::exchange(w.f.others[0], {})) {
        if (auto const* const d = std::get_if<core::dispatch>(&it))
            out.push_back(*d);
        if (auto const* const r = std::get_if<core::refuse>(&it))
            w.refused[r->id] = r->why;
        if (auto const* const r = std::get_if<core::fail_answer>(&it))
            w.refused[r->id] = r->why;
    }
    return out;
}

core::dispatch take_call(zone_site& w)
{
    auto const all = take_calls(w);
    REQUIRE(all.size() == 1);
    return all[0];
}

} // namespace

TEST_CASE("an evacuation holds at all nodes though the store turns a third of "
          "them away and its readers are killed")
{
    auto w = make_site();
    for (std::size_t i = 0; w.denied.size() < node_count / 3; i += 2)
        w.denied.insert(i);
    evacuate(w, "zone-1", true);
    run(w, 100ms);
    for (auto const i : readers(w))
        kill(w.f, i);
    run(w, in_force_after - 100ms);
    w.calls.clear();
    run(w, 3s);
    CHECK(w.calls["zone-1"] == 0);
    CHECK(w.calls["zone-0"] > 100);
    evacuate(w, "zone-1", false);
    run(w, in_force_after);
    w.calls.clear();
    run(w, 2s);
    CHECK(w.calls["zone-1"] > 100);
}

TEST_CASE("a node that restarts while the store is away keeps an evacuation")
{
    auto w = make_site();
    evacuate(w, "zone-2", true);
    run(w, in_force_after);
    for (std::size_t i = 0; i < node_count; ++i)
        w.denied.insert(i);
    w.calls.clear();
    for (std::size_t i = 0; i < node_count; i += 6) {
        restart_process(w, i);
        run(w, 300ms);
    }
    run(w, 3s);
    CHECK(w.calls["zone-2"] == 0);
    CHECK(w.calls["zone-0"] > 100);
    // Restarted nodes serve again.
    CHECK(w.f.nodes[0].counts.dispatches > 0);
}

TEST_CASE("an evacuation holds when all nodes restart at once")
{
    auto w = make_site();
    evacuate(w, "zone-2", true);
    run(w, in_force_after);
    w.calls.clear();
    for (std::size_t i = 0; i < node_count; ++i)
        kill(w.f, i);
    for (std::size_t i = 0; i < node_count; ++i)
        restart_process(w, i);
    run(w, 8s);
    CHECK(w.calls["zone-2"] == 0);
    CHECK(w.calls["zone-0"] > 100);
}

TEST_CASE("evacuations overlap, and one is taken back before it is everywhere")
{
    auto w = make_site();
    evacuate(w, "zone-0", true);
    run(w, 300ms);
    evacuate(w, "zone-1", true);
    run(w, 200ms);
    evacuate(w, "zone-1", false);
    run(w, in_force_after);
    w.calls.clear();
    run(w, 2s);
    CHECK(w.calls["zone-0"] == 0);
    CHECK(w.calls["zone-1"] > 100);
    evacuate(w, "zone-2", true);
    evacuate(w, "zone-0", false);
    run(w, in_force_after);
    w.calls.clear();
    run(w, 2s);
    CHECK(w.calls["zone-2"] == 0);
    CHECK(w.calls["zone-0"] > 100);
}

TEST_CASE("the record with the highest offset decides, in any order of arrival")
{
    auto w = make_node();
    auto const is_active = [&] {
        return w.f.nodes[0].evacuations.at("zone-0").entry.active;
    };
    give(w.f, 0, core::zones_evacuated{{{5, "zone-0", true}}, {}});
    CHECK(is_active());
    give(w.f, 0, core::zones_evacuated{{{4, "zone-0", false}}, {}});
    CHECK(is_active());
    // A list that was read before the record was written
    give(w.f, 0, core::zones_evacuated{{}, 5});
    CHECK(is_active());
    give(w.f, 0, core::zones_evacuated{{}, 6});
    CHECK_FALSE(is_active());
    give(w.f, 0, core::zones_evacuated{{{5, "zone-0", true}}, {}});
    CHECK_FALSE(is_active());
    give(w.f, 0, core::zones_evacuated{{{7, "zone-0", true}}, {}});
    CHECK(is_active());
}

TEST_CASE("retried, resumed and held calls avoid an evacuated zone, and those "
          "that run there finish")
{
    auto w = make_node();
    ask(w, 0);
    auto call = take_call(w);
    auto const zone = zone_of(call.endpoint);
    learn(w, zone, true);
    give(w.f, 0, core::answer_head{call.call, 200, "text/event-stream"});
    int const fault = GENERATE(0, 1, 2, 3);
    CAPTURE(fault);
    if (fault == 0) {
        give(w.f, 0, core::answer_chunk{call.call, 0, "x"});
        give(w.f, 0, core::answer_end{call.call, 1});
        CHECK(w.f.nodes[0].counts.answered == 1);
        return;
    }
    if (fault == 2) // the rest of the stream comes from another endpoint
        give(w.f, 0, core::answer_chunk{call.call, 0, "x"});
    for (int retries = 0; retries < 2; ++retries) {
        core::call_failed failed;
        failed.call = call.call;
        failed.failed_step =
            fault == 1 ? core::step::connect : core::step::receive;
        failed.may_have_run = fault != 1;
        failed.closed_by_endpoint = fault == 3;
        take_calls(w);
        give(w.f, 0, failed);
        run(w.f, 200ms);
        call = take_call(w);
        CHECK(zone_of(call.endpoint) != zone);
    }
}

TEST_CASE("queued requests leave for other zones, or are refused as not run")
{
    auto w = make_node();
    bool const others_serve = GENERATE(true, false);
    CAPTURE(others_serve);
    auto list = all_entries();
    for (auto& it : list.entries) {
        it.at += 100;
        it.value.slots = 1;
        it.draining = it.value.zone != "zone-0";
    }
    give(w.f, 0, list);
    std::vector<core::request_id> ids;
    for (int i = 0; i < 2 * endpoints_per_zone; ++i)
        ids.push_back(ask(w, 0));
    auto const running = take_calls(w);
    REQUIRE(running.size() == endpoints_per_zone);
    if (others_serve)
        for (auto& it : list.entries) {
            it.at += 100;
            it.draining = false;
            it.value.slots = it.value.zone == "zone-0" ? 1 : 0;
        }
    give(w.f, 0, list);
    learn(w, "zone-0", true);
    CHECK(take_calls(w).empty());
    for (auto const& it : running) {
        give(w.f, 0, core::answer_chunk{it.call, 0, "x"});
        give(w.f, 0, core::answer_end{it.call, 1});
    }
    run(w.f, 100ms);
    CHECK(take_calls(w).empty());
    CHECK(w.refused.size() == (others_serve ? 0 : endpoints_per_zone));
    for (auto const& [id, why] : w.refused)
        CHECK(why.known_outcome == core::outcome::not_run);
    if (!others_serve) {
        auto const late = ask(w, 0);
        take_calls(w);
        CHECK(w.refused.at(late).status == 503);
        return;
    }
    for (auto& it : list.entries) {
        it.at += 100;
        it.value.slots = 1;
    }
    give(w.f, 0, list);
    auto const calls = take_calls(w);
    CHECK(calls.size() == endpoints_per_zone);
    CHECK(std::ranges::none_of(calls, [](auto const& it) {
        return zone_of(it.endpoint) == "zone-0";
    }));
}

namespace {

// Lets as many endpoints run as were ordered.
void start_ordered(zone_site& w, core::order_endpoints const& o)
{
    static core::offset at = 1'000;
    constexpr int most = 40;
    for (int i = 0; i < most; ++i) {
        auto const* const kind = o.reclaimable ? "/spare" : "/";
        auto e = entry_in(o.zone, ++at, o.zone + kind + std::to_string(i));
        e.value.reclaimable = o.reclaimable;
        e.draining = i >= o.count;
        give(w.f, 0, core::endpoints_listed{{e}, {}});
    }
}

// Orders of endpoints by zone, in order, while prompts keep `busy` endpoints
// occupied.
std::map<std::string, std::vector<int>>
plan_orders(zone_site& w, std::chrono::milliseconds time)
{
    std::map<std::string, std::vector<int>> out;
    static std::uint64_t end = 0;
    for (auto t = 0ms; t < time; t += 50ms) {
        w.f.now += 50ms;
        if (t % 250ms == 0ms)
            give(w.f, 0, core::caller_gone{ask(w, 0)});
        give(w.f, 0, core::tick{});
        for (auto const& it : std::exchange(w.f.others[0], {})) {
            if (auto const* const a = std::get_if<core::append_duty>(&it)) {
                core::duties_read read;
                read.entries.push_back({end++, a->record});
                read.end = end;
                give(w.f, 0, read);
            }
            if (auto const* const o = std::get_if<core::order_endpoints>(&it)) {
                out[o->zone].push_back(o->count);
                start_ordered(w, *o);
                give(w.f, 0,
                     core::endpoints_ordered{o->pool, o->zone, o->reclaimable,
                                             o->count, true, ""});
            }
        }
    }
    return out;
}

} // namespace

TEST_CASE("the fleet plan replaces an evacuated zone's endpoints elsewhere and "
          "orders nothing there")
{
    auto w = make_node();
    auto doc = document();
    doc.applied = 101;
    core::pool p;
    p.name = "model";
    p.scaling = core::pool_scaling{1, 40, 4s, 1, {}};
    doc.pools.push_back(p);
    give(w.f, 0, core::config_published{doc});
    auto& settings = w.f.nodes[0].settings;
    settings.fleet_planning_enabled = true;
    settings.prefill_per_token = 10ms; // a second per prompt
    give(w.f, 0, core::duties_read{});
    plan_orders(w, 40s);
    auto const before =
        w.f.nodes[0].endpoint_orders.at({"model", "zone-0", false});
    learn(w, "zone-1", true);
    auto const during = plan_orders(w, 20s);
    CHECK_FALSE(during.contains("zone-1"));
    REQUIRE(during.contains("zone-0"));
    CHECK(during.contains("zone-2"));
    CHECK(std::ranges::max(during.at("zone-0")) > before.accepted);
    learn(w, "zone-1", false);
    // Nothing is removed at once.
    auto const after = plan_orders(w, 5s);
    CHECK(after.empty());
}

namespace {

constexpr double cold_rate = 10;
// bounds.cold_overshoot and bounds.cold_slack
constexpr int max_cold_calls = static_cast<int>(cold_rate * 1.5) + 5;

// Writes new entries of the endpoints of a zone, or of all.
void write_entries(zone_site& w, std::string const& zone,
                   std::chrono::milliseconds cold_left)
{
    static core::offset at = 10'000;
    for (auto& it : w.entries.entries)
        if (zone.empty() || it.value.zone == zone) {
            it.at = ++at;
            it.cold_left = cold_left;
        }
}

// Runs while endpoints are cold; they write their entries once per second.
void run_cold(zone_site& w, std::string const& zone,
              std::chrono::milliseconds& cold_left,
              std::chrono::milliseconds time)
{
    for (auto t = 0ms; t < time; t += 1s) {
        write_entries(w, zone, cold_left);
        run(w, 1s);
        cold_left -= 1s;
    }
}

zone_site make_cold_site()
{
    auto w = make_site(60);
    w.config.applied++;
    core::pool p;
    p.name = "model";
    p.cold_rate = cold_rate;
    w.config.pools.push_back(p);
    w.config.routes[0].value.deadline = 2s;
    w.ask_period = 100ms;
    run(w, 2s);
    return w;
}

// Returns the most calls that an endpoint of the zone got in any second.
int most_calls(zone_site const& w, std::string const& zone)
{
    std::ptrdiff_t out = 0;
    for (auto const& [endpoint, times] : w.ledger)
        for (auto it = times.begin(); it != times.end(); ++it) {
            auto const end = std::ranges::find_if(
                it, times.end(), [&](auto at) { return at >= *it + 1s; });
            if (zone.empty() || zone_of(endpoint) == zone)
                out = std::max(out, end - it);
        }
    return static_cast<int>(out);
}

std::size_t sender_of(zone_site const& w, std::string const& endpoint)
{
    auto const& known = w.f.nodes[0].endpoints.at(endpoint);
    return std::stoul(known.cold_sender.substr(1));
}

} // namespace

TEST_CASE("cold endpoints of a zone get few calls, whichever nodes fail")
{
    auto w = make_cold_site();
    CHECK(most_calls(w, "zone-1") > max_cold_calls);
    auto left = 30'000ms;
    run_cold(w, "zone-1", left, 2s); // until all nodes know
    w.ledger.clear();
    w.calls.clear();
    int const fault = GENERATE(0, 1, 2, 3);
    CAPTURE(fault);
    if (fault == 1) // the senders are killed
        for (int i = 0; i < endpoints_per_zone; ++i)
            kill(w.f, sender_of(w, "zone-1/" + std::to_string(i)));
    if (fault == 2) // a third of the nodes is cut off, each alone
        for (std::size_t i = 1; i < 60; i += 3) {
            w.f.cut.insert(i);
            w.denied.insert(i);
        }
    run_cold(w, "zone-1", left, 4s);
    if (fault == 3) // the senders restart
        for (int i = 0; i < endpoints_per_zone; ++i)
            restart_process(w, sender_of(w, "zone-1/" + std::to_string(i)));
    run_cold(w, "zone-1", left, 5s);
    CHECK(most_calls(w, "zone-1") <= max_cold_calls);
    CHECK(w.calls["zone-1"] > 9);
    write_entries(w, "zone-1", 0ms);
    w.ledger.clear();
    run(w, left + 3s);
    CHECK(most_calls(w, "zone-1") > max_cold_calls);
}

TEST_CASE("when all endpoints are cold at once, calls beyond their rate wait "
          "or are refused")
{
    auto w = make_cold_site();
    auto left = 20'000ms;
    run_cold(w, "", left, 2s);
    w.ledger.clear();
    run_cold(w, "", left, 6s);
    CHECK(w.ledger.size() == 3 * endpoints_per_zone);
    CHECK(most_calls(w, "") <= max_cold_calls);
    std::uint64_t refused = 0;
    for (auto const& it : w.f.nodes) {
        refused += it.counts.refused_not_run;
        CHECK(it.counts.refused_unknown == 0);
    }
    CHECK(refused > 100);
}

TEST_CASE("an endpoint is cold from its first entry, and again later, without "
          "news of each decrease")
{
    auto w = make_cold_site();
    auto e = entry_in("zone-1", 50'000, "zone-1/new");
    e.cold_left = 6s;
    w.entries.entries.push_back(e);
    w.ledger.clear();
    run(w, 4s);
    CHECK(w.ledger["zone-1/new"].size() > 4);
    CHECK(most_calls(w, "zone-1") > max_cold_calls); // the others
    std::erase_if(w.ledger,
                  [](auto const& it) { return it.first != "zone-1/new"; });
    CHECK(most_calls(w, "zone-1") <= max_cold_calls);
    w.f.entries_sent = 0;
    for (int i = 1; i < 5; ++i) {
        w.entries.entries.back().at++;
        w.entries.entries.back().cold_left = 2'000ms - i * 500ms;
        run(w, 500ms);
    }
    CHECK(w.f.entries_sent == 0);
    run(w, 3s);
    w.entries.entries.back().at++;
    w.entries.entries.back().cold_left = 5s;
    run(w, 2s);
    CHECK(w.f.entries_sent > 0);
    for (auto const& it : w.f.nodes)
        CHECK(it.endpoints.at("zone-1/new").cold_until > it.now);
}

TEST_CASE("a slow answer of a cold endpoint lowers no limit")
{
    bool const is_cold = GENERATE(true, false);
    auto w = make_node();
    auto doc = document();
    doc.applied = 101;
    core::pool p;
    p.name = "model";
    p.cold_rate = is_cold ? cold_rate : 0;
    doc.pools.push_back(p);
    give(w.f, 0, core::config_published{doc});
    auto list = all_entries();
    for (auto& it : list.entries) {
        it.at += 100;
        it.cold_left = 60s;
    }
    give(w.f, 0, list);
    w.f.now += 1s;
    ask(w, 0);
    auto const call = take_call(w);
    w.f.now += 1s;
    give(w.f, 0, core::answer_chunk{call.call, 0, "x"});
    auto const& limits = w.f.nodes[0].limits;
    CHECK((limits.at({"model", ""}).late_mean > 0) == !is_cold);
}

TEST_CASE("a version whose endpoints are cold is not slow, and its requests go "
          "to the old one beyond the rate")
{
    bool const is_cold = GENERATE(true, false);
    auto w = make_node();
    auto doc = document();
    doc.applied = 101;
    core::pool p;
    p.name = "model";
    p.cold_rate = is_cold ? cold_rate : 0;
    doc.pools.push_back(p);
    doc.routes[0].value.version = "v1";
    give(w.f, 0, core::config_published{doc});
    auto list = all_entries();
    for (auto& it : list.entries) {
        bool const is_new = it.value.zone == "zone-0";
        it.at += 100;
        it.value.slots = 1'000;
        it.value.version = is_new ? "v2" : "v1";
        it.cold_left = is_new ? 60s : 0s;
    }
    give(w.f, 0, list);
    core::move_state m;
    m.spec.name = "m";
    m.spec.route = "chat";
    m.spec.to = "v2";
    m.spec.deadline = w.f.now + 1h;
    m.from = "v1";
    m.stage = core::last_stage;
    m.started = 1;
    m.baseline_first_token_us = 1'000;
    w.f.nodes[0].config.moves["m"] = m;
    w.f.now += 1s;
    for (int i = 0; i < 100; ++i)
        ask(w, 0);
    auto const calls = take_calls(w);
    CHECK(calls.size() == 100);
    auto const to_new =
        std::ranges::count(calls, "v2", &core::dispatch::version);
    CHECK(to_new > 0);
    CHECK((to_new <= max_cold_calls) == is_cold);
    w.f.now += 1s;
    for (auto const& it : calls) {
        if (it.version != "v2")
            continue; // the old version's mean stays as it is
        give(w.f, 0, core::answer_chunk{it.call, 0, "x"});
        give(w.f, 0, core::answer_end{it.call, 1});
    }
    auto const& counts = w.f.nodes[0].config.moves.at("m").own_new;
    CHECK(counts.answers > 0);
    CHECK((counts.slow > 0) == !is_cold);
}

// The orders state nothing but their places, which a return of the store gives
// out again.
TEST_CASE("an evacuation holds while the store, back from an older copy, does "
          "not have it yet")
{
    core::node_state s;
    auto now = core::time_point(std::chrono::hours(1));
    auto const tell = [&](decltype(core::event::body) what) {
        core::effects out;
        core::reduce(s, {now, std::move(what)}, out);
    };
    bool const active = GENERATE(true, false);
    CAPTURE(active);
    auto const is_active = [&] {
        return s.evacuations.at("z").entry.active;
    };
    using core::place_in;
    tell(core::store_era_seen{1});
    tell(core::zones_evacuated{{{place_in(1, 5), "z", !active}}, {}});
    tell(core::zones_evacuated{{{place_in(1, 9), "z", active}}, {}});
    tell(core::store_era_seen{2});
    core::zones_evacuated copy;
    if (!active)
        copy.entries.push_back({place_in(2, 5), "z", true});
    copy.complete_at = place_in(2, 7);
    tell(copy);
    CHECK(is_active() == active);
    SECTION("it is written again")
    {
        tell(core::zones_evacuated{{{place_in(2, 7), "z", active}}, {}});
        CHECK(is_active() == active);
        tell(core::zones_evacuated{{{place_in(2, 8), "z", !active}}, {}});
        CHECK(is_active() != active);
    }
    SECTION("it is not: the topic's next listing decides")
    {
        now += 11s;
        tell(copy);
        CHECK(is_active() != active);
    }
}
