// Who reads the platform's store: few, and at once others when these fail.
#include "support/fabric.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr auto word_age = 1'200ms; // of drain_ms = 2,000
constexpr auto drain = 2'000ms;

// Nodes with a store that answers those who may ask it.
struct store_world
{
    fabric f;
    std::set<std::size_t> turned_away;
    bool down = false;
    int calls = 0;
    core::offset entry_at = 0; // of the newest entry in the store
    std::map<std::size_t, core::time_point> next_read;
};

bool is_answered(store_world const& w, std::size_t i)
{
    return !w.down && !w.turned_away.contains(i);
}

void read_store(store_world& w, std::size_t i)
{
    auto& next = w.next_read[i];
    if (w.f.now < next)
        return;
    w.calls++;
    bool const ok = is_answered(w, i);
    next = w.f.now + (ok ? 800ms : 600ms);
    give(w.f, i, core::log_reachable{ok});
    if (!ok || w.entry_at == 0)
        return;
    core::endpoints_listed list;
    core::endpoint_entry e;
    e.at = w.entry_at;
    e.name = "e1";
    e.present = true;
    e.draining = w.entry_at > 1;
    e.what.name = "e1";
    list.entries.push_back(e);
    give(w.f, i, list);
}

void run(store_world& w, std::chrono::milliseconds time)
{
    for (auto t = 0ms; t < time; t += 50ms) {
        for (std::size_t i = 0; i < w.f.nodes.size(); ++i)
            if (w.f.running[i] && !w.f.frozen.contains(i) &&
                w.f.follows[i].registry)
                read_store(w, i);
        run(w.f, 50ms);
    }
}

store_world make_store(std::size_t nodes)
{
    store_world w;
    w.f = make_fabric(nodes, 3, nodes / 20);
    for (auto& it : w.f.nodes)
        it.settings.store_word_age = word_age;
    run(w, 6s);
    return w;
}

std::vector<std::size_t> readers(store_world const& w)
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < w.f.nodes.size(); ++i)
        if (w.f.running[i] && w.f.follows[i].registry)
            out.push_back(i);
    return out;
}

// Nodes that do not know the newest entry; those in `but` do not count.
std::size_t behind(store_world const& w, std::set<std::size_t> const& but = {})
{
    std::size_t out = 0;
    for (std::size_t i = 0; i < w.f.nodes.size(); ++i) {
        auto const& known = w.f.nodes[i].endpoints;
        auto const it = known.find("e1");
        bool const knows =
            it != known.end() && it->second.entry.at == w.entry_at;
        out += w.f.running[i] && !but.contains(i) && !knows ? 1 : 0;
    }
    return out;
}

} // namespace

TEST_CASE("two nodes of many read the store, and all know what it says")
{
    for (auto const count : {7, 100, 295}) {
        auto w = make_store(static_cast<std::size_t>(count));
        CHECK(readers(w).size() == 2);
        w.calls = 0;
        run(w, 10s);
        CHECK(w.calls <= 2 * 10 * 2);
        w.entry_at = 2;
        run(w, 1s);
        CHECK(behind(w) == 0);
    }
}

TEST_CASE(
    "readers that are killed, frozen, cut off or turned away are replaced")
{
    for (int fault = 0; fault < 4; ++fault) {
        CAPTURE(fault);
        auto w = make_store(60);
        std::set<std::size_t> hit;
        for (auto const i : readers(w)) {
            hit.insert(i);
            if (fault == 0)
                kill(w.f, i);
            if (fault == 1)
                w.f.frozen.insert(i);
            if (fault == 2)
                w.f.cut.insert(i);
            if (fault == 3)
                w.turned_away.insert(i);
        }
        // The store turns the readers that are cut off away as well.
        if (fault == 2)
            w.turned_away = hit;
        w.entry_at = 2;
        run(w, drain);
        CHECK(behind(w, hit) == 0);
    }
}

TEST_CASE(
    "a third of the nodes turned away, readers first, know what others do")
{
    auto w = make_store(60);
    std::ranges::copy(readers(w),
                      std::inserter(w.turned_away, w.turned_away.end()));
    for (std::size_t i = 0; i < 60 && w.turned_away.size() < 20; i += 2)
        w.turned_away.insert(i);
    w.entry_at = 2;
    run(w, drain);
    CHECK(behind(w) == 0);
}

TEST_CASE("a node without company reads for itself")
{
    auto w = make_store(60);
    std::size_t lone = 59;
    while (w.f.follows[lone].registry)
        lone--;
    w.f.cut.insert(lone);
    w.entry_at = 2;
    run(w, drain + 500ms);
    CHECK(behind(w) == 0);
}

TEST_CASE("a store that is down is not asked by all at once")
{
    auto w = make_store(295);
    w.down = true;
    w.calls = 0;
    run(w, 10s);
    CHECK(w.calls / 10 < 160); // of 16,000 a second that it allows
    w.down = false;
    w.entry_at = 2;
    run(w, 2s);
    CHECK(behind(w) == 0);
    run(w, 2s);
    CHECK(readers(w).size() <= 4);
}

TEST_CASE("a whole list drops what it leaves out, if that is older")
{
    auto w = make_store(3);
    core::endpoints_listed list;
    for (core::offset at = 1; at <= 3; ++at) {
        core::endpoint_entry e;
        e.at = at;
        e.name = "e" + std::to_string(at);
        e.present = true;
        e.what.name = e.name;
        list.entries.push_back(e);
    }
    give(w.f, 0, list);
    list.entries.erase(list.entries.begin(), list.entries.begin() + 2);
    list.whole_at = 3; // e3 came while the list was read
    give(w.f, 0, list);
    run(w, 200ms);
    for (auto const& it : w.f.nodes) {
        CHECK_FALSE(it.endpoints.at("e1").entry.present);
        CHECK_FALSE(it.endpoints.at("e2").entry.present);
        CHECK(it.endpoints.at("e3").entry.present);
    }
}
