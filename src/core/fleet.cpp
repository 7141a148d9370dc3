// Fleet plan: how many endpoints of which kind a pool has in each availability
// zone. The holder of the duties orders them from the work that all nodes see.
//
// Reclaimable endpoints are cheap and a zone of them may go at once. So there
// are enough of both kinds together that the work fits without one zone, and
// enough of the lasting kind that it fits, more tightly, without any
// reclaimable one. When so many of these are lost that the work fits no more,
// lasting ones are ordered until they are to be had again.
#include "core/internal.hpp"

#include <algorithm>
#include <cmath>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Parts of an endpoint's time that are planned to be used: without one zone,
// while lost endpoints are being replaced, and when all reclaimable ones go.
constexpr double planned_fill = 0.45;
constexpr double replaced_fill = 0.7;
constexpr double tight_fill = 0.7;
// Slots may be fuller than an endpoint's time: calls share its steps at little
// cost, while prompts wait for one another.
constexpr double slots_to_time = 1.5;
constexpr auto work_period = 500ms; // of one sample of the moving mean
constexpr double work_step = 0.1;
constexpr auto plan_period = 500ms;
constexpr auto watch_first = 3s;   // work seen for so long before any order
constexpr auto lower_after = 6s;   // fewer for so long before fewer are ordered
constexpr auto ask_again = 2s;     // after a refusal or no answer
constexpr auto repeat_after = 20s; // an order that should stand
// After a refusal of reclaimable endpoints those that are left are not relied
// on: a platform that takes some back may take more.
constexpr auto scarce_for = 10s;
constexpr double scarce_fill = 0.5;
constexpr double scarce_trust = 0.5; // part of them that is counted

struct present
{
    int lasting = 0;
    int reclaimable = 0;
};

std::map<std::string, present> count_present(node_state const& s, pool const& p)
{
    std::map<std::string, present> out;
    for (auto const& [name, it] : s.config.endpoints) {
        auto const& e = it.value;
        if (e.pool != p.name)
            continue;
        auto& zone = out[e.zone];
        if (!is_leaving(s, e))
            (e.reclaimable ? zone.reclaimable : zone.lasting)++;
    }
    return out;
}

// Endpoints that the calls and prompts of all nodes would keep busy.
double work_of(node_state const& s, std::string const& pool)
{
    auto const own = s.work.find(pool);
    auto sum = own == s.work.end() ? pool_work{} : own->second.mean;
    for (auto const& [link, p] : s.peers) {
        auto const it = p.last.work.find(pool);
        if (it == p.last.work.end())
            continue;
        sum.reading += it->second.reading;
        sum.writing += it->second.writing;
    }
    return std::max(sum.reading, sum.writing / slots_to_time);
}

double own_writing(node_state const& s, std::string const& pool)
{
    double out = 0;
    for (auto const& [name, known] : s.endpoints) {
        auto const it = s.config.endpoints.find(name);
        if (it != s.config.endpoints.end() && it->second.value.pool == pool)
            out += static_cast<double>(known.in_flight) /
                   std::max(1, it->second.value.slots);
    }
    return out;
}

int at_least(double it)
{
    return static_cast<int>(std::ceil(it - 1e-6));
}

void order(node_state& s, std::string const& pool_name, std::string const& zone,
           bool reclaimable, int wanted, int now_there, effects& out)
{
    auto& it = s.orders[{pool_name, zone, reclaimable}];
    int const standing = it.told < 0 ? now_there : it.told;
    if (wanted >= standing)
        it.lower_since = {};
    else if (it.lower_since == time_point{})
        it.lower_since = s.now;
    bool const lower =
        wanted < standing && s.now >= it.lower_since + duration(lower_after);
    bool const lost = it.told > 0 && now_there < it.told &&
                      s.now >= it.told_at + duration(repeat_after);
    bool const due = wanted > standing || lower || lost;
    if (!due || s.now < it.not_before)
        return;
    it.asked = wanted;
    it.not_before = s.now + duration(ask_again);
    note(out, events::endpoints_ordered, pool_name, zone,
         std::string(reclaimable ? "reclaimable" : "lasting") + ", wanted " +
             std::to_string(wanted) + ", there " + std::to_string(now_there) +
             ", work " + std::to_string(work_of(s, pool_name)) +
             " endpoints at " + std::to_string(prefill_us(s, pool_name)) +
             " us a token, fencing " + std::to_string(s.duties.fencing));
    out.push_back(order_endpoints{s.duties.fencing, pool_name, zone,
                                  reclaimable, wanted});
}

void plan_pool(node_state& s, pool const& p, effects& out)
{
    auto const zones = count_present(s, p);
    if (zones.empty() || !p.scaling)
        return;
    auto const& limits = *p.scaling;
    double const work = work_of(s, p.name);
    auto const n = static_cast<double>(zones.size());
    double const without_one = std::max(1.0, n - 1);
    int const in_zone =
        std::clamp(at_least(work / planned_fill / without_one),
                   std::max(1, limits.least), std::max(1, limits.most));
    int const lasting = std::clamp(at_least(work / tight_fill / n),
                                   std::max(1, limits.least), in_zone);
    int reclaimable = 0;
    for (auto const& [zone, there] : zones)
        reclaimable += there.reclaimable;
    auto const refused = s.refused_at.find(p.name);
    bool const scarce = refused != s.refused_at.end() &&
                        s.now < refused->second + duration(scarce_for);
    double const needed = scarce
                              ? work / scarce_fill - scarce_trust * reclaimable
                              : work / replaced_fill - reclaimable;
    int const kept = std::clamp(at_least(needed / n), lasting, in_zone);
    for (auto const& [zone, there] : zones) {
        int const cheap = in_zone - lasting;
        order(s, p.name, zone, true, cheap, there.reclaimable, out);
        int const standing =
            std::max(there.lasting, s.orders[{p.name, zone, false}].told);
        order(s, p.name, zone, false, scarce ? std::max(kept, standing) : kept,
              there.lasting, out);
    }
}

void sample_work(node_state const& s, std::string const& pool, work_rate& it)
{
    if (it.counted_at == time_point{})
        it.counted_at = s.now;
    auto const passed = s.now - it.counted_at;
    if (passed < duration(work_period))
        return;
    double const reading =
        it.seconds / std::chrono::duration<double>(passed).count();
    it.mean.reading += work_step * (reading - it.mean.reading);
    it.mean.writing += work_step * (own_writing(s, pool) - it.mean.writing);
    it.seconds = 0;
    it.counted_at = s.now;
}

} // namespace

void count_work(node_state& s, request_state const& r)
{
    constexpr double us = 1e-6;
    s.work[r.pool].seconds += us * r.prefill_tokens * prefill_us(s, r.pool);
    if (s.work_since == time_point{})
        s.work_since = s.now;
}

void count_unserved(node_state& s, request_state const& r)
{
    constexpr double us = 1e-6;
    if (!r.asked.block_tokens.empty())
        s.work[r.pool].seconds +=
            us * r.asked.block_tokens.back() * prefill_us(s, r.pool);
}

std::map<std::string, pool_work> own_work(node_state& s)
{
    std::map<std::string, pool_work> out;
    for (auto& [name, it] : s.work) {
        sample_work(s, name, it);
        out[name] = it.mean;
    }
    return out;
}

void plan_fleet(node_state& s, effects& out)
{
    bool const known = s.work_since != time_point{} &&
                       s.now >= s.work_since + duration(watch_first);
    if (!s.settings.plans_fleet || !known ||
        s.now < s.planned_at + duration(plan_period))
        return;
    s.planned_at = s.now;
    for (auto const& [name, it] : s.config.pools)
        plan_pool(s, it, out);
}

void on_ordered(node_state& s, endpoints_ordered const& e, effects& out)
{
    auto& it = s.orders[{e.pool, e.zone, e.reclaimable}];
    if (e.ok) {
        it.told = e.count;
        it.told_at = s.now;
        it.lower_since = {};
        it.not_before = s.now;
        return;
    }
    if (e.reclaimable)
        s.refused_at[e.pool] = s.now;
    note(out, events::order_refused, e.pool, e.zone, e.why);
}

} // namespace papayahook::core
