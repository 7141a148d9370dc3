// Replays of the load of a pool over time, without a network: what the fleet
// plan orders, what that costs, and which work finds too few endpoints.
#include "support/world.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <numbers>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

constexpr auto step = 50ms;
constexpr auto boot_time = 4s;
constexpr double price = 0.22;
// Work that has to wait longer misses its target.
constexpr double longest_wait = 0.3;
// Of the cost of the plan with constant utilisations in the same replay.
constexpr double most_of_earlier_cost = 0.6;
std::map<std::string, double> const zone_costs{
    {"zone-a", 0.85}, {"zone-b", 1}, {"zone-c", 1.25}};

using load_at = std::function<double(std::chrono::milliseconds)>;

// The platform's fleet and the node that orders it.
struct replay
{
    struct owned
    {
        core::endpoint_entry entry;
        core::time_point ready_at;
        bool listed = false;
    };

    explicit replay(int lasting)
    {
        core::config_snapshot c;
        c.applied = 101;
        c.lists_endpoints = false;
        core::route r;
        r.name = "r";
        r.pool = "model";
        r.first_byte_target = 500ms;
        c.routes.push_back({r, 101});
        core::pool p;
        p.name = "model";
        p.scaling = core::pool_scaling{1, 48, boot_time, price, zone_costs};
        c.pools.push_back(p);
        give(w, 0, core::config_published{c});
        auto& s = w.nodes[0];
        s.settings.fleet_planning_enabled = true;
        s.settings.duties_enabled = true;
        s.work_since = w.now;
        s.prefill_us_per_token["model"] = 15;
        give(w, 0, core::duties_read{});
        for (int i = 0; i < lasting; ++i)
            add(std::next(zone_costs.begin(), i % 3)->first, false, 0s);
    }

    int count(std::string const& zone, bool reclaimable) const
    {
        return static_cast<int>(std::ranges::count_if(all, [&](auto& it) {
            return it.entry.value.zone == zone &&
                   it.entry.value.reclaimable == reclaimable;
        }));
    }

    void add(std::string const& zone, bool reclaimable,
             std::chrono::milliseconds boot)
    {
        ++offset;
        auto it = support::listed(offset, "e" + std::to_string(offset));
        it.value.zone = zone;
        it.value.reclaimable = reclaimable;
        all.push_back({it, w.now + core::duration(boot)});
    }

    void remove(std::vector<owned>::iterator it)
    {
        core::endpoint_entry gone;
        gone.at = ++offset;
        gone.name = it->entry.name;
        if (it->listed)
            give(w, 0, core::endpoints_listed{{gone}, {}});
        all.erase(it);
    }

    // Without notice; none are to be had for 13 s.
    void reclaim(std::string const& zone)
    {
        refused_until = w.now + core::duration(13s);
        for (auto it = all.begin(); it != all.end();)
            if (it->entry.value.zone == zone && it->entry.value.reclaimable)
                remove(it);
            else
                ++it;
    }

    void carry_out(core::order_endpoints const& o)
    {
        ++orders;
        auto const has = count(o.zone, o.reclaimable);
        bool const ok =
            !o.reclaimable || o.count <= has || w.now >= refused_until;
        for (int i = has; ok && i < o.count; ++i)
            add(o.zone, o.reclaimable, boot_time);
        for (int i = has; ok && i > o.count; --i) {
            auto const last = std::ranges::find_if(
                all.rbegin(), all.rend(), [&](auto const& it) {
                    return it.entry.value.zone == o.zone &&
                           it.entry.value.reclaimable == o.reclaimable;
                });
            remove(std::next(last).base());
            ++given_back;
        }
        give(w, 0,
             core::endpoints_ordered{o.pool, o.zone, o.reclaimable, o.count, ok,
                                     ""});
    }

    void tick()
    {
        core::effects out;
        core::reduce(w.nodes[0], {w.now, core::tick{}}, out);
        for (auto const& it : out) {
            if (auto const* const a = std::get_if<core::append_duty>(&it)) {
                core::duties_read read;
                read.entries.push_back({duties_end++, a->record});
                read.end = duties_end;
                give(w, 0, read);
            }
            if (auto const* const o = std::get_if<core::order_endpoints>(&it))
                carry_out(*o);
        }
    }

    void list_ready()
    {
        for (auto& it : all)
            if (!it.listed && it.ready_at <= w.now) {
                it.listed = true;
                give(w, 0, core::endpoints_listed{{it.entry}, {}});
            }
    }

    void run(std::chrono::milliseconds time, load_at const& load)
    {
        constexpr double dt = std::chrono::duration<double>(step).count();
        for (auto const end = at + time; at < end; at += step) {
            w.now += step;
            list_ready();
            double const arrives = load(at) * dt;
            w.nodes[0].work["model"].prefill_seconds += arrives;
            tick();
            auto const capacity = static_cast<double>(
                std::ranges::count(all, true, &owned::listed));
            waiting = std::max(0.0, waiting + arrives - capacity * dt);
            if (waiting > longest_wait * capacity) {
                unserved += waiting - longest_wait * capacity;
                waiting = longest_wait * capacity;
            }
            for (auto const& it : all)
                cost += dt * zone_costs.at(it.entry.value.zone) *
                        (it.entry.value.reclaimable ? price : 1);
        }
    }

    world w = make_world(1);
    std::vector<owned> all;
    std::chrono::milliseconds at{0};
    core::time_point refused_until{};
    core::offset offset = 200;
    std::uint64_t duties_end = 0;
    int orders = 0;
    int given_back = 0;
    double waiting = 0;  // endpoint-seconds
    double unserved = 0; // endpoint-seconds
    double cost = 0;     // endpoint-seconds at the price of a lasting one
};

double wave(std::chrono::milliseconds at)
{
    return 19 * (1 + 0.3 * std::sin(2 * std::numbers::pi * at / 40.0s));
}

// 1.7 times the load for 3 s in every 25 s.
double wave_and_bursts(std::chrono::milliseconds at)
{
    return wave(at) * (at > 20s && at % 25s < 3s ? 1.7 : 1);
}

} // namespace

TEST_CASE("fleet plan: all reclaimable endpoints of a zone are lost")
{
    replay r(89);
    r.run(60s, wave);
    for (auto const& [zone, cost] : zone_costs) {
        auto const before = r.unserved;
        auto const cost_before = r.cost;
        r.reclaim(zone);
        r.run(13s, wave);
        CAPTURE(zone, r.cost - cost_before);
        CHECK(r.unserved - before == 0);
        r.run(47s, wave);
    }
    CAPTURE(r.cost);
    CHECK(r.cost < most_of_earlier_cost * 9'710);
}

TEST_CASE("fleet plan: a wave of load with bursts shorter than a boot")
{
    replay r(89);
    r.run(180s, wave_and_bursts);
    CAPTURE(r.cost);
    CHECK(r.unserved == 0);
    CHECK(r.cost < most_of_earlier_cost * 7'943);
}

TEST_CASE("fleet plan: a quiet day gives endpoints back and does not flap")
{
    replay r(89);
    auto const load = [](auto at) {
        return 19 + std::sin(at / 700.0ms);
    };
    r.run(60s, load);
    auto const orders = r.orders;
    auto const given_back = r.given_back;
    r.run(120s, load);
    CAPTURE(r.cost, r.orders);
    CHECK(r.unserved == 0);
    CHECK(r.cost < most_of_earlier_cost * 7'343);
    CHECK(r.orders - orders <= 6);
    CHECK(r.given_back - given_back <= 3);
}
