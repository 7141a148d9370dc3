// Evacuation of availability zones: from the operator's order until it is taken
// back, the zone's endpoints get no new work. Calls that run there finish.
//
// The orders are propagated like the endpoints' entries: each node that reads
// the registry floods them, and the first message on a new link has those that
// the peer lacks. Nodes that cannot read the registry, and nodes that start
// while it is unreachable, therefore know them as well.
#include "core/internal.hpp"

#include <algorithm>
#include <array>

namespace papayahook::core {

namespace {

void report(node_state& s, zone_evacuation const& e, effects& out)
{
    auto const detail = "offset " + std::to_string(e.at);
    record_decision(s, e.zone, e.active ? "zone.evacuated" : "zone.restored",
                    detail);
    emit_log_event(out,
                   e.active ? events::zone_evacuated : events::zone_restored,
                   e.zone, "", detail);
}

// Forgets since when too many endpoints are ordered: what was counted before or
// during an evacuation must not remove endpoints right after it.
void reset_surplus(node_state& s)
{
    for (auto& [key, it] : s.endpoint_orders)
        it.surplus_since = {};
}

// Whether an entry may be older than the known one, though its place is higher:
// it may have been in the copy from which the store came back, while the known
// one is not written again yet. Once all is, the topic is listed again.
bool may_be_copied(node_state const& s, zone_evacuation const& e,
                   zone_evacuation const& known)
{
    constexpr offset offsets = (offset{1} << era_shift) - 1;
    return is_settling(s) && !same_era(e.at, known.at) &&
           e.active != known.active && (e.at & offsets) <= (known.at & offsets);
}

// Applies an entry. Returns whether it is new here.
bool learn_evacuation(node_state& s, zone_evacuation const& e, effects& out)
{
    auto const known = s.evacuations.find(e.zone);
    if (known != s.evacuations.end() &&
        (e.at <= known->second.entry.at ||
         may_be_copied(s, e, known->second.entry)))
        return false;
    bool const was_active = is_evacuated(s, e.zone);
    auto& it = s.evacuations[e.zone];
    it.entry = e;
    if (e.active == was_active)
        return true;
    it.since = s.now;
    reset_surplus(s);
    report(s, e, out);
    return true;
}

// Returns entries for evacuations that ended while this node was not reading: a
// complete list that is newer omits them.
std::vector<zone_evacuation> ended_evacuations(node_state const& s,
                                               zones_evacuated const& e)
{
    std::vector<zone_evacuation> out;
    for (auto const& [zone, it] : s.evacuations) {
        bool const is_listed =
            std::ranges::find(e.entries, zone, &zone_evacuation::zone) !=
            e.entries.end();
        bool const may_be_missing =
            is_settling(s) && !same_era(it.entry.at, *e.complete_at);
        if (it.entry.active && !is_listed && !may_be_missing &&
            it.entry.at < *e.complete_at)
            out.push_back({*e.complete_at, zone, false});
    }
    return out;
}

bool is_any_evacuated(node_state const& s)
{
    return std::ranges::any_of(
        s.evacuations, [](auto const& it) { return it.second.entry.active; });
}

void refuse_evacuated(node_state& s, request_state& r, effects& out)
{
    refuse_request(s, r,
                   {503, outcome::not_run, step::queue, "",
                    "all its endpoints are in evacuated zones",
                    short_retry_after},
                   out);
}

} // namespace

bool is_evacuated(node_state const& s, std::string const& zone)
{
#if PAPAYAHOOK_MUTATION_KEEP_ZONES
    return false;
#endif
    auto const it = s.evacuations.find(zone);
    return it != s.evacuations.end() && it->second.entry.active;
}

void learn_evacuations(node_state& s, std::vector<zone_evacuation> const& e,
                       effects& out)
{
    news item;
    std::ranges::copy_if(
        e, std::back_inserter(item.evacuations),
        [&](auto const& it) { return learn_evacuation(s, it, out); });
    if (item.evacuations.empty())
        return;
    flood_news(s, item, 0, out);
    refuse_evacuated_requests(s, out);
    drain_queues(s, out);
}

void on_zones_evacuated(node_state& s, zones_evacuated const& e, effects& out)
{
    auto all = e.entries;
    if (e.complete_at)
        std::ranges::copy(ended_evacuations(s, e), std::back_inserter(all));
    learn_evacuations(s, all, out);
}

std::vector<zone_evacuation> all_evacuations(node_state const& s)
{
    std::vector<zone_evacuation> out;
    for (auto const& [zone, it] : s.evacuations)
        out.push_back(it.entry);
    return out;
}

void refuse_evacuated_requests(node_state& s, effects& out)
{
    if (!is_any_evacuated(s))
        return;
    // Requests with the same pool, route, version and schema version wait for
    // the same endpoints.
    std::map<std::array<std::string, 4>, bool> known;
    std::vector<request_id> waiting;
    for (auto const& [pool, queues] : s.queues)
        for (auto const& [name, queue] : queues)
            for (auto const& it : queue) {
                auto const* const r = find_request(s, std::get<request_id>(it));
                if (r == nullptr)
                    continue;
                auto const& asked = r->request;
                auto const [waits, is_new] = known.try_emplace(
                    {pool, asked.route, r->version, asked.schema_version});
                if (is_new)
                    waits->second = waits_for_evacuated_zone(s, *r);
                if (waits->second)
                    waiting.push_back(asked.id);
            }
    for (auto const& id : waiting) {
        auto* const r = find_request(s, id);
        // An earlier refusal in this loop may have let the request start.
        if (r != nullptr && r->phase == request_phase::queued)
            refuse_evacuated(s, *r, out);
    }
}

void refuse_if_evacuated(node_state& s, request_state& r, effects& out)
{
    if (is_any_evacuated(s) && waits_for_evacuated_zone(s, r))
        refuse_evacuated(s, r, out);
}

} // namespace papayahook::core
