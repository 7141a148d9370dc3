// Seeded soak of nodes as real processes while the platform's store is in
// trouble of every kind, alone and joined with restarts, kills and freezes of
// nodes, in the middle of configurations and leaving runners in series. The
// bounds are those of RULES.md, with the settings of omaruru-flags.
#include "platform/wire.hpp"
#include "soak/changes.hpp"
#include "soak/draw.hpp"
#include "soak/registered_runners.hpp"
#include "support/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

using namespace papayahook;
using namespace papayahook::soak;
using namespace std::chrono_literals;
namespace wire = platform::wire;
using support::eventually;
using support::store_state;

namespace {

using time_point = clock::time_point;
using guard = std::scoped_lock<std::recursive_mutex>;

// Bounds of the platform (bounds.* of the settings).
constexpr auto stable_window = 3s;
constexpr auto config_limit = 2s;
constexpr auto outer_limit = 5s; // more while the store rejects some nodes
constexpr auto rollback_slack = 250ms;
constexpr auto drain_limit = 2s;
constexpr auto lease = 3s;
constexpr auto grace = 8s;
constexpr auto ready_limit = 12s;
constexpr auto usage_window = 5s;
constexpr auto usage_late = 10s;

constexpr int ended_by_sigterm = 128 + SIGTERM;
constexpr auto loading_time = 100ms;
constexpr auto caller_patience = 2'500ms;
constexpr auto caller_pause = 25ms; // longer beyond `usual_nodes`
constexpr int usual_nodes = 7;      // more are not restarted in turn
constexpr int callers_per_node = 2;
// A thread that sleeps a little is this late only if the machine stands still.
constexpr auto least_stall = 150ms;
constexpr int rounds = 3;
constexpr int runners_per_service = 4;
constexpr int shown_of_a_rule = 4;
constexpr int fewest_judged = 100; // for a share
constexpr int fewest_handled = 1'000;
constexpr int fewest_reports = 3;
constexpr char const* zones[] = {"omaruru-a", "karibib-b", "usakos-c"};

// Spans of time, some of which may be open. Any thread may add to them.
class spans
{
public:
    std::size_t begin()
    {
        std::scoped_lock const lock(mutex_);
        all_.emplace_back(clock::now(), time_point::max());
        return all_.size() - 1;
    }
    void end(std::size_t n)
    {
        std::scoped_lock const lock(mutex_);
        all_[n].second = clock::now();
    }
    void add(time_point from, time_point to)
    {
        std::scoped_lock const lock(mutex_);
        all_.emplace_back(from, to);
    }
    bool overlap(time_point from, time_point to) const
    {
        std::scoped_lock const lock(mutex_);
        return std::ranges::any_of(all_, [&](auto const& it) {
            return it.first <= to && it.second >= from;
        });
    }

private:
    mutable std::mutex mutex_;
    std::vector<std::pair<time_point, time_point>> all_;
};

struct node
{
    std::string name;
    std::string front;
    std::string readiness;
    std::string folder;
    std::string settings; // path
    std::string text;     // of the settings
    std::string program;
    support::store_door* door = nullptr;
    std::unique_ptr<proxy> to_store;
    std::unique_ptr<support::process> run;
    std::vector<time_point> starts;
    spans disruptions;         // of its process or its links
    bool is_told = false;      // to stop, or killed
    std::recursive_mutex busy; // one disruption of its process at a time
};

struct change
{
    time_point sent;
    time_point acknowledged;
};

struct request
{
    probe asked;
    std::string id;
    node const* to = nullptr;
    time_point sent;
    time_point ended;
    int status = 0;
};

struct world
{
    std::uint64_t seed = 0;
    std::recursive_mutex mutex;
    time_point start = clock::now();
    std::string folder;
    support::platform_fake fake;
    std::unique_ptr<registered_runners> runners;
    std::deque<node> nodes;
    std::deque<request> requests;
    std::deque<change> changes; // by version, from 1
    std::vector<std::string> timeline;
    std::vector<std::string> faults;
    spans store_down;    // for all, or its answers are slow or lost
    spans store_rejects; // some nodes, or has lost old records
    spans stalls;        // of the machine
    milliseconds caller_pause{0};
    std::atomic<int> returns{0};
    std::atomic<int> rests{0}; // troubles during which the operator waits
    std::atomic<bool> in_trouble{false};
    std::atomic<bool> closing{false};
    std::atomic<bool> over{false};
};

double at(world const& w, time_point t)
{
    return t == time_point::max()
               ? -1
               : std::chrono::duration<double>(t - w.start).count();
}

template <class... Parts>
void note(world& w, Parts const&... parts)
{
    guard const lock(w.mutex);
    w.timeline.push_back(text(at(w, clock::now()), ' ', parts...));
}

template <class... Parts>
void fault(world& w, Parts const&... parts)
{
    guard const lock(w.mutex);
    w.faults.push_back(text(parts...));
}

bool store_accepts(world& w)
{
    auto const state = w.fake.store.load();
    return !w.fake.is_away() && w.rests == 0 && state != store_state::silent &&
           state != store_state::refuses && state != store_state::too_many;
}

// Processes

void start(world& w, node& n)
{
    guard const lock(w.mutex);
    std::ofstream(n.settings) << n.text;
    ::setenv("PAPAYAHOOK_SETTINGS", n.settings.c_str(), 1);
    n.starts.push_back(clock::now());
    n.is_told = false;
    n.run = std::make_unique<support::process>(
        std::vector<std::string>{n.program},
        text(n.folder, "/log-", n.starts.size()));
    auto const now = clock::now();
    n.disruptions.add(now, now);
    note(w, "start ", n.name, ", process ", n.run->id());
}

// The platform starts a process that has ended once more.
void restart(world& w, node& n, milliseconds after)
{
    std::this_thread::sleep_for(after);
    if (auto const* const next = std::getenv("PAPAYAHOOK_SOAK_NEXT_NODE"))
        n.program = next;
    n.text = n.text.substr(0, n.text.find("bootstrap=")) + "bootstrap=false\n";
    start(w, n);
}

void signal_node(world& w, node& n, int number)
{
    guard const lock(w.mutex);
    note(w, "SIG", ::sigabbrev_np(number), " to ", n.name);
    auto const now = clock::now();
    n.disruptions.add(now, now);
    n.is_told = n.is_told || number == SIGTERM || number == SIGKILL;
    n.run->signal(number);
}

void kill_node(world& w, node& n, milliseconds down)
{
    guard const one(n.busy);
    auto const span = n.disruptions.begin();
    signal_node(w, n, SIGKILL);
    n.run->wait(5s);
    restart(w, n, down);
    n.disruptions.end(span);
}

void stop_node(world& w, node& n)
{
    guard const one(n.busy);
    auto const span = n.disruptions.begin();
    signal_node(w, n, SIGTERM);
    auto const age = clock::now() - n.starts.back();
    auto const code = n.run->wait(grace);
    // A signal may come before any code of the program runs.
    if (code > 0 && !(code == ended_by_sigterm && age < loading_time))
        fault(w, "ENDED: ", n.name, " ended with ", code);
    if (code < 0) {
        fault(w, "ENDED: ", n.name, " is still there after its grace");
        signal_node(w, n, SIGKILL);
        n.run->wait(5s);
    }
    restart(w, n, 100ms);
    n.disruptions.end(span);
}

void freeze_node(world& w, node& n, milliseconds span)
{
    guard const one(n.busy);
    auto const number = n.disruptions.begin();
    signal_node(w, n, SIGSTOP);
    std::this_thread::sleep_for(span);
    signal_node(w, n, SIGCONT);
    n.disruptions.end(number);
}

// The node that has made the newest call for all.
node& holder_of(world& w)
{
    auto const calls = w.fake.api_calls();
    auto const it = std::ranges::find_if(w.nodes, [&](auto const& n) {
        return !calls.empty() && n.name == calls.back().holder;
    });
    return it == w.nodes.end() ? w.nodes.front() : *it;
}

void watch_processes(world& w)
{
    for (auto ticked = clock::now(); !w.over;) {
        std::this_thread::sleep_for(5ms);
        guard const lock(w.mutex);
        auto const now = clock::now();
        if (now - ticked >= least_stall) {
            w.stalls.add(ticked, now);
            note(w, "the machine stood still, from ", at(w, ticked));
        }
        ticked = now;
        for (auto& n : w.nodes)
            if (n.run && !n.is_told && !n.run->runs()) {
                fault(w, "FAULT: ", n.name, " ended by itself, with ",
                      n.run->wait(0ms));
                n.is_told = true;
                n.disruptions.add(now, now);
                restart(w, n, 0ms);
            }
    }
}

bool says_ready(node const& n)
{
    return status_of(ask(n.readiness,
                         "GET /v1/readiness HTTP/1.1\r\nHost: h\r\n"
                         "Connection: close\r\n\r\n",
                         500ms)) == 200;
}

// Troubles of the store

void hold_store(world& w, store_state state, char const* name,
                milliseconds span)
{
    note(w, "the store is ", name, " for ", span.count(), " ms");
    bool const is_soft = state == store_state::forgetful;
    auto& kind = is_soft ? w.store_rejects : w.store_down;
    auto const number = kind.begin();
    w.fake.store = state;
    std::this_thread::sleep_for(span);
    w.fake.store = store_state::good;
    note(w, "the store is good");
    kind.end(number);
}

void be_absent(world& w, milliseconds span)
{
    note(w, "the store is absent for ", span.count(), " ms");
    auto const number = w.store_down.begin();
    ++w.rests;
    for (auto& n : w.nodes)
        n.to_store->listen(false);
    std::this_thread::sleep_for(span);
    for (auto& n : w.nodes)
        n.to_store->listen(true);
    --w.rests;
    note(w, "the store is back");
    w.store_down.end(number);
}

void trouble_all(world& w, dice& d)
{
    auto const span = 1s + d.upto(4'000ms);
    struct kind
    {
        store_state state;
        char const* name;
    };
    constexpr kind kinds[] = {{store_state::silent, "silent"},
                              {store_state::refuses, "refusing (503)"},
                              {store_state::too_many, "refusing (429)"},
                              {store_state::slow, "slow"},
                              {store_state::loses, "losing answers"},
                              {store_state::late, "losing answers, late"},
                              {store_state::forgetful, "forgetful (410)"}};
    auto const drawn = d.below(std::size(kinds) + 1);
    w.runners->entries_lapse = d.chance(50);
    if (drawn == std::size(kinds))
        be_absent(w, span);
    else
        hold_store(w, kinds[drawn].state, kinds[drawn].name, span);
    w.runners->entries_lapse = false;
}

// The store turns some nodes away and serves the others.
void reject_some(world& w, dice& d)
{
    constexpr store_state states[] = {
        store_state::refuses, store_state::too_many, store_state::silent};
    auto const drawn = d.below(4); // the last: reset
    auto const span = 2s + d.upto(7'000ms);
    std::vector<node*> chosen;
    for (auto& n : w.nodes)
        if (chosen.size() + 1 < w.nodes.size() && d.chance(50))
            chosen.push_back(&n);
    std::string names;
    std::vector<std::size_t> numbers{w.store_rejects.begin()};
    bool const has_path = drawn < 2;
    for (auto* const n : chosen) {
        names += " " + n->name;
        if (!has_path)
            numbers.push_back(n->disruptions.begin());
    }
    char const* const how[] = {"503", "429", "silence", "resets"};
    note(w, "the store turns away for ", span.count(), " ms, with ", how[drawn],
         ":", names);
    for (auto* const n : chosen)
        if (drawn < 3)
            n->door->state = states[drawn];
        else
            n->to_store->listen(false);
    std::this_thread::sleep_for(span);
    for (auto* const n : chosen)
        if (drawn < 3)
            n->door->state = store_state::good;
        else
            n->to_store->listen(true);
    note(w, "the store turns nobody away");
    w.store_rejects.end(numbers[0]);
    for (std::size_t i = 1; i < numbers.size(); ++i)
        chosen[i - 1]->disruptions.end(numbers[i]);
}

// A node is cut off from the store, one way, or its connections go silent.
void cut_one(world& w, dice& d)
{
    auto& n = d.chance(40) ? holder_of(w)
                           : w.nodes[static_cast<std::size_t>(
                                 d.below(static_cast<int>(w.nodes.size())))];
    auto const span = 500ms + d.upto(5'000ms);
    int const drawn = d.below(4);
    char const* const how[] = {"late", "cut there", "cut back", "silent"};
    note(w, n.name, "'s way to the store: ", how[drawn], " for ", span.count(),
         " ms");
    auto const number = n.disruptions.begin();
    if (drawn == 3)
        n.to_store->break_off(true);
    else
        n.to_store->now = static_cast<harm>(drawn + 1);
    std::this_thread::sleep_for(span);
    n.to_store->now = harm::none;
    note(w, n.name, "'s way to the store is good");
    n.disruptions.end(number);
}

// The store comes back from an older copy, now and then twice within a second.
void drill(world& w, dice& d)
{
    auto const number = w.store_down.begin();
    auto back = clock::now();
    auto until = back;
    for (int left = d.chance(30) ? 2 : 1; left > 0; --left) {
        support::store_drill it;
        it.copy_age = 1s + d.upto(9'000ms);
        it.away = d.upto(d.chance(50) ? 100ms : 3'000ms);
        it.rewritten_after = d.upto(d.chance(50) ? 0ms : 3'000ms);
        it.only_newest = d.chance(50);
        note(w, "the store is away for ", it.away.count(),
             " ms and comes back from a copy of ", it.copy_age.count(),
             " ms, the rest ", it.rewritten_after.count(), " ms later");
        w.fake.begin(it);
        ++w.returns;
        back = std::max(back, clock::now() + it.away);
        until = std::max(until, back + it.rewritten_after);
        if (left > 1)
            std::this_thread::sleep_for(d.upto(1'000ms));
    }
    std::this_thread::sleep_until(back + 100ms);
    w.store_down.end(number);
    std::this_thread::sleep_until(until + 100ms);
    note(w, "the store is whole again");
}

// Disruptions of nodes

void roll(world& w, dice& d)
{
    auto const gap = d.upto(1'500ms);
    auto const first = d.below(static_cast<int>(w.nodes.size()));
    auto const most = std::min(usual_nodes, static_cast<int>(w.nodes.size()));
    auto const count = 1 + d.below(most - 1);
    for (int i = 0; i < count; ++i) {
        stop_node(
            w, w.nodes[static_cast<std::size_t>(first + i) % w.nodes.size()]);
        std::this_thread::sleep_for(gap);
    }
}

void strike_some(world& w, dice& d, int percent, bool freeze)
{
    std::vector<std::thread> others;
    for (auto& n : w.nodes)
        if (d.chance(percent)) {
            auto const span =
                freeze ? 300ms + d.upto(4'000ms) : d.upto(3'500ms);
            others.emplace_back([&w, &n, span, freeze] {
                freeze ? freeze_node(w, n, span) : kill_node(w, n, span);
            });
        }
    for (auto& it : others)
        it.join();
}

void disrupt_nodes(world& w, dice& d)
{
    std::this_thread::sleep_for(d.upto(2'500ms));
    switch (d.below(6)) {
    case 0:
        return roll(w, d);
    case 1:
        return kill_node(w, holder_of(w), d.upto(3'500ms));
    case 2:
        return strike_some(w, d, 30, false);
    case 3:
        note(w, "all nodes are killed");
        return strike_some(w, d, 100, false);
    case 4:
        return freeze_node(w, holder_of(w), 300ms + d.upto(4'000ms));
    default:
        return strike_some(w, d, 30, true);
    }
}

// The operator and the runners

void publish(world& w)
{
    guard const lock(w.mutex);
    if (!store_accepts(w))
        return;
    auto& it = w.changes.emplace_back();
    it.sent = clock::now();
    auto const version = static_cast<int>(w.changes.size());
    w.fake.put(wire::operator_topic, wire::configuration_key,
               configuration_text(version));
    it.acknowledged = clock::now();
    note(w, "version ", version, " (", stated_version(version), ")");
}

void operate(world& w, dice d)
{
    auto next_runner = clock::now() + 500ms;
    while (!w.closing) {
        std::this_thread::sleep_for(330ms + d.upto(w.in_trouble ? 0ms : 600ms));
        if (!d.chance(10))
            publish(w);
        if (clock::now() < next_runner)
            continue;
        next_runner = clock::now() + 600ms + d.upto(1'500ms);
        auto const* const service = d.chance(50) ? "app" : "desk";
        if (d.chance(15))
            w.runners->crash(service);
        else
            w.runners->replace(service, d.chance(70), d.upto(4'000ms));
    }
}

// Callers

probe draw_probe(world& w, dice& d)
{
    guard const lock(w.mutex);
    auto const newest = static_cast<int>(w.changes.size());
    probe out;
    out.kind = "mmak"[d.below(4)];
    if (out.kind != 'm')
        out.number = std::max(1, newest - d.below(2 * lifetime));
    return out;
}

void call(world& w, node& n, int number, dice d)
{
    for (int count = 0; !w.closing;) {
        line to(n.front, 300ms);
        if (!to.open())
            std::this_thread::sleep_for(50ms);
        for (bool usable = to.open(); usable && !w.closing;) {
            request it;
            it.asked = draw_probe(w, d);
            it.id = text(n.name, '-', number, '-', ++count);
            it.to = &n;
            to.until = clock::now() + caller_patience;
            it.sent = clock::now();
            usable = to.send(bytes_of(it.asked, it.id));
            auto const answer = usable ? read_answer(to) : message{};
            it.ended = clock::now();
            usable = answer.end == ending::complete && !answer.head.empty() &&
                     !field(answer.head, "Connection").starts_with("close");
            it.status = answer.end == ending::complete ? status_of(answer) : 0;
            {
                guard const lock(w.mutex);
                w.requests.push_back(std::move(it));
            }
            std::this_thread::sleep_for(w.caller_pause);
        }
    }
}

// Judgement

struct judgement
{
    std::map<std::string, int> judged; // requests or calls, by rule
    std::map<std::string, int> broken;
    std::map<node const*, std::pair<int, int>> served; // of all, by node
    // Longest time to the last request at a runner that leaves.
    clock::duration leaving_in_use{};
    std::string leaving_used_by;
};

template <class... Parts>
void broken(world& w, judgement& all, std::string const& rule,
            Parts const&... parts)
{
    if (++all.broken[rule] <= shown_of_a_rule)
        fault(w, rule, ": ", parts...);
}

bool runs_undisturbed(world const& w, node const& n, time_point from,
                      time_point to)
{
    return !n.disruptions.overlap(from - stable_window, to) &&
           !w.stalls.overlap(from - stable_window, to);
}

bool is_stable(world const& w, time_point from, time_point to)
{
    return !w.store_down.overlap(from - stable_window, to) &&
           !w.store_rejects.overlap(from - stable_window, to);
}

// RULES.md, In touch.
bool in_touch(world const& w, node const& n, time_point from, time_point to)
{
    return runs_undisturbed(w, n, from, to) && is_stable(w, from, to);
}

// The oldest version that may be in force when a request is sent; 0: any.
int oldest_allowed(world const& w, request const& r)
{
    if (!runs_undisturbed(w, *r.to, r.sent, r.ended))
        return 0;
    bool const stable = is_stable(w, r.sent, r.ended);
    int out = 0;
    for (int version = 1; version <= static_cast<int>(w.changes.size());
         ++version) {
        auto const acknowledged =
            w.changes[static_cast<std::size_t>(version - 1)].acknowledged;
        bool const in_time = acknowledged + config_limit < r.sent;
        bool const in_outer_time =
            acknowledged + config_limit + outer_limit < r.sent &&
            !w.store_down.overlap(acknowledged - stable_window, r.ended);
        if (stable ? in_time : in_outer_time)
            out = version;
    }
    return out;
}

int newest_sent(world const& w, time_point until)
{
    return static_cast<int>(std::ranges::count_if(
        w.changes, [&](change const& it) { return it.sent <= until; }));
}

std::string handled(request const& r, std::vector<arrival> const& runs)
{
    if (r.status == 200 && !runs.empty())
        return runs.back().service;
    return r.status == 404 || r.status == 401 ? std::to_string(r.status) : "";
}

std::string describe(world const& w, request const& r)
{
    return text(r.asked.kind, r.asked.number, " ", r.id, " sent ",
                at(w, r.sent), " ended ", at(w, r.ended), " status ", r.status);
}

void judge_configuration(world& w, judgement& all, request const& r,
                         std::string const& how)
{
    auto const first = oldest_allowed(w, r);
    if (first == 0)
        return;
    all.judged["CONFIG"]++;
    auto const last = std::max(first, newest_sent(w, r.ended));
    for (int version = first; version <= last; ++version)
        if (handling_of(r.asked, version) == how)
            return;
    broken(w, all, "CONFIG", "handled (", how, ") as no version from ", first,
           " (acknowledged at ",
           at(w, w.changes[static_cast<std::size_t>(first - 1)].acknowledged),
           ") to ", last, " allows: ", describe(w, r));
}

// In one process, nothing is handled as older versions allow than the one whose
// effect a runner saw before.
void judge_order(world& w, judgement& all,
                 std::map<std::string, std::vector<arrival>> const& runs)
{
    struct sight
    {
        time_point at;
        int version;
    };
    std::map<node const*, std::vector<sight>> seen; // of its present process
    std::vector<request const*> sorted;
    for (auto const& r : w.requests)
        sorted.push_back(&r);
    std::ranges::sort(sorted, {}, &request::sent);
    std::map<node const*, std::size_t> process;
    for (auto const* const r : sorted) {
        auto const& n = *r->to;
        auto const number = static_cast<std::size_t>(
            std::ranges::upper_bound(n.starts, r->sent) - n.starts.begin());
        if (process[&n] != number)
            seen[&n].clear();
        process[&n] = number;
        auto const found = runs.find(r->id);
        auto const how = handled(
            *r, found == runs.end() ? std::vector<arrival>{} : found->second);
        if (how.empty())
            continue;
        auto const last = newest_sent(w, r->ended);
        int least = 0;
        int most = 0;
        for (int version = 1; version <= last; ++version)
            if (handling_of(r->asked, version) == how) {
                least = least == 0 ? version : least;
                most = version;
            }
        int highest = 0;
        for (auto const& it : seen[&n])
            if (it.at + rollback_slack < r->sent)
                highest = std::max(highest, it.version);
        all.judged["ORDER"]++;
        if (most != 0 && most < highest &&
            runs_undisturbed(w, n, r->sent, r->ended))
            broken(w, all, "REGRESS", "handled (", how, ") as versions up to ",
                   most, " allow, after ", highest,
                   " was seen: ", describe(w, *r));
        if (r->status == 200)
            seen[&n].push_back({found->second.back().at, least});
    }
}

void judge_draining(world& w, judgement& all, request const& r,
                    std::vector<arrival> const& runs,
                    std::map<std::string, runner_history> const& history)
{
    for (auto const& it : runs) {
        auto const& runner = history.at(it.runner);
        bool const bound = runner.leaving < it.at &&
                           is_stable(w, runner.leaving, runner.leaving) &&
                           in_touch(w, *r.to, r.sent, it.at);
        if (!bound)
            continue;
        all.judged["DRAIN"]++;
        auto const late = it.at - runner.leaving;
        if (late > all.leaving_in_use) {
            all.leaving_in_use = late;
            all.leaving_used_by = r.to->name;
        }
        if (it.at > runner.leaving + drain_limit)
            broken(w, all, "DRAIN", "reached ", it.runner, " ",
                   std::chrono::duration<double>(late).count(),
                   " s after its leaving was acknowledged at ",
                   at(w, runner.leaving), ": ", describe(w, r));
    }
}

bool counts(world& w, support::api_call const& it)
{
    auto const n = std::ranges::find(w.nodes, it.holder, &node::name);
    return n != w.nodes.end() && in_touch(w, *n, it.at, it.at);
}

void judge_duties(world& w, judgement& all)
{
    std::uint64_t highest = 0;
    std::string highest_holder;
    std::map<std::string, std::string> holder_of_token;
    std::map<std::int64_t, std::pair<nlohmann::json, std::string>> windows;
    std::vector<std::pair<std::string, time_point>> acts;
    for (auto const& it : w.fake.api_calls()) {
        auto const who =
            text(it.holder, " at ", at(w, it.at), " with token ", it.fencing);
        if (it.path == wire::usage) {
            auto const body = nlohmann::json::parse(it.body);
            auto const [known, is_new] = windows.try_emplace(
                body.at("window_id"), body.at("counts"), who);
            all.judged["ONE"]++;
            if (!is_new && known->second.first != body.at("counts"))
                broken(w, all, "ONE", "window ", known->first,
                       " reported with other counts by ", who, ", before by ",
                       known->second.second);
        }
        auto const token = std::stoull(it.fencing);
        auto const [holder, is_new] =
            holder_of_token.emplace(it.fencing, it.holder);
        if (!is_new && holder->second != it.holder)
            broken(w, all, "ONE", "the token of ", holder->second,
                   " is that of ", who);
        if (!counts(w, it))
            continue;
        if (token < highest)
            broken(w, all, "ONE", "a lower token than ", highest, " of ",
                   highest_holder, ": ", who);
        if (token >= highest) {
            highest = token;
            highest_holder = it.holder;
        }
        bool other_between = false;
        for (auto act = acts.rbegin();
             act != acts.rend() && act->second + lease > it.at; ++act) {
            other_between = other_between || act->first != it.holder;
            if (other_between && act->first == it.holder) {
                broken(w, all, "ONE",
                       "acted, another did, and acted again: ", who);
                break;
            }
        }
        acts.emplace_back(it.holder, it.at);
    }
}

// Nodes in touch serve what all versions that may be in force allow.
void judge_service(world& w, judgement& all, request const& r)
{
    if (!in_touch(w, *r.to, r.sent, r.ended) || r.asked.kind != 'm')
        return;
    all.judged["SERVED"]++;
    auto& [served, asked] = all.served[r.to];
    asked++;
    served += r.status == 200 ? 1 : 0;
}

void judge(world& w)
{
    judgement all;
    auto const runs = w.runners->arrivals();
    std::map<std::string, runner_history> history;
    for (auto const& it : w.runners->history())
        history[it.id] = it;
    std::vector<arrival> const none;
    for (auto const& r : w.requests) {
        auto const found = runs.find(r.id);
        auto const& its = found == runs.end() ? none : found->second;
        auto const how = handled(r, its);
        if (!how.empty())
            judge_configuration(w, all, r, how);
        judge_draining(w, all, r, its, history);
        judge_service(w, all, r);
    }
    judge_order(w, all, runs);
    judge_duties(w, all);
    for (auto const& [n, it] : all.served) {
        auto const [served, asked] = it;
        all.broken["not served"] += asked - served;
        if (asked >= fewest_judged && served * 4 < asked * 3)
            fault(w, "SERVED: ", n->name, ", in touch, served ", served, " of ",
                  asked);
    }
    if (all.judged["CONFIG"] < fewest_handled)
        fault(w, "JUDGED: CONFIG ", all.judged["CONFIG"]);
    if (all.judged["ONE"] < fewest_reports)
        fault(w, "JUDGED: reports of usage ", all.judged["ONE"]);
    std::cout << "seed " << w.seed << ": "
              << (w.faults.empty() ? "ok" : "FAILED") << ", "
              << w.requests.size() << " requests, " << w.changes.size()
              << " versions, " << history.size() << " runners, " << w.returns
              << " returns; judged:";
    for (auto const& [rule, n] : all.judged)
        std::cout << ' ' << rule << ' ' << n;
    std::cout << "; broken:";
    for (auto const& [rule, n] : all.broken)
        std::cout << ' ' << rule << ' ' << n;
    std::cout << "; leaving runners in use for "
              << std::chrono::duration<double>(all.leaving_in_use).count()
              << " s by " << all.leaving_used_by << std::endl;
}

// One run

void make_world(world& w, dice d)
{
    w.folder = support::make_folder(text("store-soak-", w.seed));
    w.fake.max_page_items = d.chance(50) ? 500 : 1 + d.below(5);
    w.runners = std::make_unique<registered_runners>(
        w.fake, [&w] { return store_accepts(w); });
    for (auto const* const service : {"app", "desk"})
        for (int left = runners_per_service; left > 0; --left)
            w.runners->add(service);
    publish(w);
    auto const* const chosen = std::getenv("PAPAYAHOOK_SOAK_NODE");
    auto const* const next = std::getenv("PAPAYAHOOK_SOAK_NEXT_NODE");
    auto const program =
        chosen != nullptr ? chosen : support::program("papayahook-node");
    auto const drawn = static_cast<std::uint64_t>(6 + d.below(2));
    auto const count =
        static_cast<int>(number_from("PAPAYAHOOK_SOAK_NODES", drawn));
    w.caller_pause = std::max<milliseconds>(caller_pause,
                                            caller_pause * count / usual_nodes);
    for (int i = 0; i < count; ++i) {
        auto& n = w.nodes.emplace_back();
        n.name = text("front-", zones[i % 3], '-', i / 3 + 1);
        n.program = next != nullptr && d.chance(50) ? next : program;
        n.front = text("127.0.0.1:", support::free_port());
        n.readiness = text("127.0.0.1:", support::free_port());
        n.folder = w.folder + "/" + n.name;
        std::filesystem::create_directories(n.folder);
        n.settings = n.folder + "/settings";
        n.door = &w.fake.open_door();
        n.to_store = std::make_unique<proxy>(n.door->address);
        int const ports = support::free_ports(16);
        n.text = text(
            "node_name=", n.name, "\nzone=", zones[i % 3],
            "\nregion=erongo\nip=127.0.0.1\nlisten.front=", n.front,
            "\nlisten.readiness=", n.readiness, "\ninternal_ports=", ports, ',',
            ports + 15, "\nplatform.address=", n.to_store->address,
            "\ncloud_api.address=", w.fake.api_address,
            "\ncloud_api.duties=usage\nheartbeat_ms=1200",
            "\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260",
            "\nlimits.max_fds=4100\nbounds.drain_ms=2000\nbounds.grace_s=",
            grace.count(), "\nbounds.config_ms=2000\nbounds.lease_ms=3000",
            "\nbounds.usage_window_s=", usage_window.count(),
            "\nbounds.usage_late_s=", usage_late.count(),
            "\nbounds.retry_budget_ratio=0.2\nbounds.budget_slack=52",
            "\nbounds.quota_overshoot=0.1\nbounds.quota_slack=110000",
            "\nbounds.quota_window_s=8\nbounds.recovery_s=12",
            "\nbootstrap=true\n");
    }
}

void join(std::vector<std::thread>& all)
{
    for (auto& it : all)
        it.join();
    all.clear();
}

// Troubles that overlap, and after them the calm in which all bounds hold.
void play_round(world& w, int round)
{
    std::vector<std::thread> others;
    auto stream = 100 * (static_cast<std::uint64_t>(round) + 1);
    dice d(w.seed, stream);
    auto const add = [&](int percent, auto const& action) {
        dice own(w.seed, ++stream);
        if (d.chance(percent))
            others.emplace_back([&w, own, action]() mutable {
                std::this_thread::sleep_for(own.upto(1'500ms));
                action(w, own);
            });
    };
    w.in_trouble = true;
    add(50, trouble_all);
    add(55, drill);
    add(40, reject_some);
    add(30, cut_one);
    add(60, disrupt_nodes);
    add(25, disrupt_nodes);
    join(others);
    w.in_trouble = false;
    note(w, "calm");
    std::this_thread::sleep_for(stable_window + 4s);
}

bool soak_once(std::uint64_t seed)
{
    world w;
    w.seed = seed;
    make_world(w, dice(seed, 1));
    for (auto& n : w.nodes)
        start(w, n);
    std::vector<std::thread> others;
    others.emplace_back([&w] { watch_processes(w); });
    for (auto const& n : w.nodes)
        if (!eventually(ready_limit, [&] { return says_ready(n); }))
            fault(w, "START: ", n.name, " is not ready");
    others.emplace_back([&w, seed] { operate(w, dice(seed, 2)); });
    std::uint64_t stream = 10;
    for (auto& n : w.nodes)
        for (int i = 0; i < callers_per_node; ++i)
            others.emplace_back(
                [&w, &n, i, d = dice(seed, ++stream)] { call(w, n, i, d); });
    std::this_thread::sleep_for(stable_window + 1s);
    for (int round = 0; round < rounds; ++round)
        play_round(w, round);
    for (auto const& n : w.nodes)
        if (!eventually(ready_limit, [&] { return says_ready(n); }))
            fault(w, "RECOVER: ", n.name, " is not ready");
    w.closing = true;
    w.over = true;
    join(others);
    for (auto& n : w.nodes)
        n.run->signal(SIGKILL);
    judge(w);
    if (w.faults.empty()) {
        std::filesystem::remove_all(w.folder);
        return true;
    }
    std::cout << "logs in " << w.folder << '\n';
    for (auto const& it : w.faults)
        std::cout << it << '\n';
    std::cout << "timeline of seed " << seed << '\n';
    for (auto const& it : w.timeline)
        std::cout << it << '\n';
    std::cout << std::flush;
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t first = 1;
    std::uint64_t last = 2;
    std::istringstream value(argc == 3 ? argv[2] : "");
    bool const chosen =
        argc == 3 && argv[1] == std::string("--seeds") && value >> first;
    if (chosen)
        last = value.ignore() && value >> last ? last : first;
    else if (argc != 1) {
        std::cerr << "usage: test_store_soak [--seeds A-B]\n";
        return 2;
    }
    int failed = 0;
    for (auto seed = first; seed <= last; ++seed)
        failed += soak_once(seed) ? 0 : 1;
    std::cout << failed << " of " << last - first + 1 << " seeds failed\n";
    return failed == 0 ? 0 : 1;
}
