// Applies what an external registry publishes: the configuration as one
// document, and endpoints as single entries. Both have an order of their own,
// so that it does not matter from where they arrive.
//
// Entries are ordered by their places. When the store has come back from an
// older copy, places say nothing: a copy of an old record has a new one. Across
// a return, entries are ordered by what the endpoint itself states, so that an
// endpoint that was drained or removed stays so while its newest entries are
// not written again yet.
#include "core/internal.hpp"

#include <algorithm>
#include <compare>
#include <tuple>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// An endpoint that has ended is removed when this node has no call in flight
// there and no delayed entry can refer to it any more.
constexpr auto forget_delay = 30s;
constexpr char store_source[] = "store";

bool has_same_content(endpoint_entry const& a, endpoint_entry const& b)
{
    auto const key = [](endpoint_entry const& it) {
        auto const& e = it.value;
        return std::tie(it.present, it.draining, e.pool, e.address, e.zone,
                        e.version, e.slots, e.incarnation, e.reclaimable);
    };
    return key(a) == key(b);
}

// While the registry is unreachable, its entries may expire for endpoints that
// still serve. Live endpoints are listed again soon after it responds again. A
// peer's entry that arrives meanwhile shows that it responds.
time_point usable_until(node_state& s, endpoint_state const& known)
{
    if (is_store_away(s, s.now))
        s.log_restored_at = s.now;
    auto const grace_end =
        s.log_restored_at + duration(s.settings.relist_grace);
    bool const may_be_relisted =
        s.log_restored_at != time_point{} && s.now < grace_end;
    return may_be_relisted && !known.entry.draining ? grace_end : s.now;
}

char const* state_of(endpoint_entry const& e)
{
    return !e.present ? "dropped" : e.draining ? "draining" : "ready";
}

// How long ago this node called the endpoint.
std::string describe_last_call(node_state const& s, endpoint_state const& known)
{
    if (known.called_at == time_point{})
        return "no call";
    return "last call " + milliseconds_text(s.now - known.called_at) + " ago";
}

void report_entry(node_state const& s, endpoint_state const& known,
                  effects& out)
{
    auto const& e = known.entry;
    emit_log_event(out, events::endpoint_listed, e.name, e.value.address,
                   std::string(state_of(e)) + ", offset " +
                       std::to_string(e.at) + ", version " + e.value.version +
                       ", zone " + e.value.zone + ", pool " + e.value.pool +
                       ", sequence " + std::to_string(e.sequence) + ", from " +
                       known.source + ", era " + std::to_string(s.era) + ", " +
                       describe_store_age(s) + ", " +
                       describe_last_call(s, known));
}

} // namespace

std::string match_route(configuration const& c, std::string_view host,
                        std::string_view path)
{
    auto const found = c.routes_by_host.find(std::string(host));
    if (found == c.routes_by_host.end())
        return {};
    // Sorted by descending length of the prefix.
    auto const it = std::ranges::find_if(found->second, [&](auto const& name) {
        return path.starts_with(c.routes.at(name).value.path_prefix);
    });
    return it == found->second.end() ? std::string{} : *it;
}

void index_routes(configuration& c)
{
    c.routes_by_host.clear();
    for (auto const& [name, it] : c.routes)
        if (!it.value.host.empty())
            c.routes_by_host[it.value.host].push_back(name);
    for (auto& [host, names] : c.routes_by_host)
        std::ranges::stable_sort(names, std::greater{}, [&](auto const& name) {
            return c.routes.at(name).value.path_prefix.size();
        });
}

void on_config_published(node_state& s, config_published const& e, effects& out)
{
    on_snapshot(s, e.snapshot, store_source, out);
}

void refuse_withdrawn(node_state& s, effects& out)
{
    auto const withdrawn = requests_where(s, [&](auto const& r) {
        auto const route = s.config.routes.find(r.request.route);
        bool const known =
            route != s.config.routes.end() &&
            (r.organisation.empty() ||
             s.config.organisation_by_key.contains(r.request.key_digest));
        return r.phase == request_phase::queued && r.attempts == 0 && !known;
    });
    for (auto const& id : withdrawn) {
        auto& r = s.requests.at(id);
        if (r.phase == request_phase::queued)
            refuse_request(s, r,
                           {503, outcome::not_run, step::queue, "",
                            "its route or key was taken out of force while "
                            "it waited",
                            0s},
                           out);
    }
}

namespace {

// Compares the starts that two entries of one endpoint state, in milliseconds
// without leading zeros; "0": not stated.
std::strong_ordering compare_starts(endpoint_entry const& a,
                                    endpoint_entry const& b)
{
    auto const& x = a.value.incarnation;
    auto const& y = b.value.incarnation;
    if (x.empty() || y.empty() || x == "0" || y == "0")
        return std::strong_ordering::equal;
    return std::tuple(x.size(), x) <=> std::tuple(y.size(), y);
}

// Compares two entries of one endpoint that the store gave out in different
// eras.
bool is_later_state(endpoint_entry const& e, endpoint_entry const& known)
{
    auto const start = compare_starts(e, known);
    if (start != 0)
        return start > 0;
    // Two removals that replaced each other would be told without end.
    if (!e.present && !known.present)
        return !e.missing && (known.missing || e.at > known.at);
    if (!e.present && e.missing)
        return e.at > known.at;
    // The store's own record of a removal states no sequence; a peer adds the
    // last one that it has read, which a node that read later ones may not
    // pass.
    if (!e.present)
        return e.at > known.at ||
               (!e.value.incarnation.empty() && e.sequence >= known.sequence);
    bool const have_sequences = e.sequence != 0 && known.sequence != 0;
    if (have_sequences && e.sequence != known.sequence)
        return e.sequence > known.sequence;
    if (have_sequences && !known.present && !known.missing)
        return false;
    return e.draining != known.draining ? e.draining : e.at > known.at;
}

bool is_later(endpoint_entry const& e, endpoint_entry const& known)
{
    // Its sender knows the endpoint from before the return only, and nothing of
    // its removal since.
    if (e.missing && known.at != 0 && !known.present)
        return false;
    bool const is_ordered = same_era(e.at, known.at) && !known.missing;
    if (known.at == 0 || is_ordered)
        return e.at > known.at;
    return is_later_state(e, known);
}

// Applies an entry. Returns whether its content differs from the known one.
bool learn_endpoint(node_state& s, endpoint_entry const& e,
                    std::string const& source, effects& out)
{
    auto& known = s.endpoints[e.name];
    if (!is_later(e, known.entry))
        return false;
    bool const changed =
        known.entry.at == 0 || !has_same_content(known.entry, e);
    bool const is_replaced =
        e.present && known.entry.at != 0 &&
        e.value.incarnation != known.entry.value.incarnation;
    if (is_replaced) {
        auto const calls = known.in_flight;
        known = {};
        known.in_flight = calls;
    }
    bool const turned_cold = learn_cold_time(s, known, e);
    // The entry of a dropped endpoint has no fields; the fields known before
    // describe it.
    auto const previous = known.entry;
    known.entry = e;
    known.source = source;
    if (!e.present) {
        known.entry.value = previous.value;
        known.entry.draining = previous.draining;
        known.entry.sequence = std::max(previous.sequence, e.sequence);
        // An entry of this era has been removed since.
        bool const may_be_copied =
            e.missing && !previous.draining && !same_era(previous.at, e.at);
        known.usable_until = may_be_copied
                                 ? s.now + duration(s.settings.relist_grace)
                                 : usable_until(s, known);
    }
    else {
        known.usable_until = {};
        auto& it = s.config.endpoints[e.name];
        it.value = e.value;
        it.revision = e.at;
    }
    if (changed)
        report_entry(s, known, out);
    return changed || turned_cold;
}

// Returns entries for endpoints that were dropped while this node was not
// reading: a complete list that is newer omits them.
std::vector<endpoint_entry> missing_entries(node_state const& s,
                                            endpoints_listed const& e)
{
    std::set<std::string> listed;
    for (auto const& it : e.entries)
        listed.insert(it.name);
    std::vector<endpoint_entry> out;
    for (auto const& [name, known] : s.endpoints) {
        bool const gone = known.entry.present &&
                          known.entry.at < *e.complete_at &&
                          !listed.contains(name);
        if (!gone)
            continue;
        endpoint_entry it;
        it.at = *e.complete_at;
        it.name = name;
        it.missing = !same_era(it.at, known.entry.at);
        out.push_back(std::move(it));
    }
    return out;
}

// An entry that was removed states, to nodes that may know an older one, what
// the endpoint had written until then.
endpoint_entry with_last_state(node_state const& s, endpoint_entry e)
{
    auto const& known = s.endpoints.at(e.name).entry;
    if (!e.present) {
        e.value.incarnation = known.value.incarnation;
        e.sequence = known.sequence;
    }
    return e;
}

} // namespace

void learn_endpoints(node_state& s, std::vector<endpoint_entry> const& e,
                     std::string const& source, effects& out)
{
    news item;
    for (auto const& it : e)
        if (learn_endpoint(s, it, source, out))
            item.endpoints.push_back(with_last_state(s, it));
    if (item.endpoints.empty())
        return;
    flood_news(s, item, 0, out);
    drain_queues(s, out);
}

void on_endpoints_listed(node_state& s, endpoints_listed const& e, effects& out)
{
    learn_endpoints(s, e.entries, store_source, out);
    if (e.complete_at)
        learn_endpoints(s, missing_entries(s, e), store_source, out);
}

std::string describe_entry(node_state const& s, endpoint_state const& known)
{
    if (known.entry.at == 0)
        return {};
    auto out = std::string(", entry ") + state_of(known.entry) + " at " +
               std::to_string(known.entry.at) + " from " + known.source;
    if (!known.entry.present) {
        out += ", in use for " + milliseconds_text(known.usable_until - s.now);
    }
    return out + ", " + describe_store_age(s);
}

bool is_out_of_use(node_state const& s, endpoint_state const& known)
{
    if (known.entry.at == 0)
        return false; // from the configuration, not from the registry
    bool const dropped = !known.entry.present && known.usable_until <= s.now;
    return dropped || known.entry.draining;
}

std::ptrdiff_t usable_endpoints(node_state const& s)
{
    return std::ranges::count_if(s.endpoints, [&](auto const& it) {
        return it.second.entry.at != 0 && !is_out_of_use(s, it.second);
    });
}

void forget_endpoints(node_state& s)
{
    std::erase_if(s.endpoints, [&](auto const& it) {
        auto const& [name, known] = it;
        bool const expired = known.entry.at != 0 && !known.entry.present &&
                             known.in_flight == 0 &&
                             known.usable_until + forget_delay <= s.now;
        if (expired)
            s.config.endpoints.erase(name);
        return expired;
    });
}

std::vector<endpoint_entry> all_endpoint_entries(node_state const& s)
{
    std::vector<endpoint_entry> out;
    for (auto const& [name, known] : s.endpoints)
        if (known.entry.at != 0) {
            out.push_back(known.entry);
            out.back().cold_left = cold_left(s, known);
        }
    return out;
}

} // namespace papayahook::core
