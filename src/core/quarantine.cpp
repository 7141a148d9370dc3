// Quarantine of prompt parts that end the endpoints that answer them.
//
// When an endpoint closes the connection of a call, the node checks whether the
// endpoint still accepts connections: one that is merely full, or restarts a
// connection, does. If it has ended, the shared parts of the prompt come under
// suspicion, once for each incarnation of an endpoint. An answer to any prompt
// with the part clears it: a part that ends endpoints ends each one. A part
// that stays under suspicion at several incarnations is quarantined: no request
// with it is sent to an endpoint. Suspicions, quarantines and clearances are
// flooded, because each node sees only its own calls.
#include "core/internal.hpp"

#include <algorithm>
#include <array>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Ended incarnations after which a part is quarantined, if every other part was
// at fewer of them by two.
constexpr std::ptrdiff_t ends_for_quarantine = 3;
// Ended incarnations after which it is quarantined in any case.
constexpr std::ptrdiff_t ends_for_certainty = 5;
// Endpoints that end within this time may share a cause, such as a reclaimed
// zone or a lost link, and count once, unless the call to the later one began
// after the end of the other.
constexpr auto common_cause_time = 250ms;
// An endpoint that has been answering for this time is not ended by the prompt.
constexpr auto harmless_after = 1s;
// For this time after an answer to it, a part is not suspected.
constexpr auto clearance_time = 30s;
// Time before each request that is sent in spite of a quarantine, to find out
// whether it still holds.
constexpr std::array<std::chrono::milliseconds, 2> probe_delays{30s, 300s};
// Suspicions, and quarantines that no request has met, are dropped after this
// time.
constexpr auto part_retention = 10min;
constexpr std::chrono::seconds announcement_period{60};
constexpr auto clearance_news_period = 1s;
constexpr auto maintenance_period = 1s;
constexpr std::size_t max_known_parts = 4096;
constexpr std::size_t max_ends_per_part = 16;
constexpr std::size_t max_suspicions = 256;
// Time after which an endpoint whose check has no result is taken for alive.
constexpr auto check_timeout = 5s;

std::ptrdiff_t count_ends(part_state const& p)
{
    return std::ranges::count_if(p.ends, &part_end::counts);
}

bool has_end(part_state const& p, std::uint64_t incarnation)
{
    return std::ranges::find(p.ends, incarnation, &part_end::incarnation) !=
           p.ends.end();
}

// Counts the endpoints of which is not known yet whether they have ended under
// the part.
std::ptrdiff_t count_checks(node_state const& s, std::uint64_t part)
{
    return std::ranges::count_if(s.endpoint_suspicions, [&](auto const& it) {
        return std::ranges::any_of(it.second.calls, [&](auto const& call) {
            return std::ranges::find(call.parts, part) != call.parts.end();
        });
    });
}

bool is_cleared(node_state const& s, part_state const& p)
{
    return p.answered_at != time_point{} &&
           s.now < p.answered_at + clearance_time;
}

time_point last_known_at(part_state const& p)
{
    return std::max({p.answered_at, p.ended_at, p.requested_at});
}

// Drops the older half of the parts, quarantined ones last.
void drop_oldest_parts(node_state& s)
{
    std::vector<std::tuple<bool, time_point, std::uint64_t>> order;
    for (auto const& [part, p] : s.parts)
        order.emplace_back(p.quarantined, last_known_at(p), part);
    auto const middle =
        order.begin() + static_cast<std::ptrdiff_t>(order.size() / 2);
    std::ranges::nth_element(order, middle);
    std::for_each(order.begin(), middle,
                  [&](auto const& it) { s.parts.erase(std::get<2>(it)); });
}

part_state& state_of(node_state& s, std::uint64_t part)
{
    if (s.parts.size() >= max_known_parts && !s.parts.contains(part))
        drop_oldest_parts(s);
    return s.parts[part];
}

void flood_part(node_state& s, part_news const& it, effects& out)
{
    news item;
    item.parts.push_back(it);
    flood_news(s, item, 0, out);
}

part_news quarantine_news(std::uint64_t part, part_state const& p)
{
    part_news out;
    out.part = part;
    out.status = part_status::quarantined;
    out.probes = p.probes;
    return out;
}

std::uint64_t incarnation_key(std::string const& endpoint,
                              std::string const& incarnation)
{
    return hash_of(endpoint + "/" + incarnation);
}

bool contains_part(request_state const& r, std::uint64_t part)
{
    auto const& parts = r.request.shared_parts;
    return std::ranges::find(parts, part) != parts.end();
}

refusal quarantine_refusal(std::uint64_t part, bool may_have_run)
{
    constexpr int unprocessable = 422;
    constexpr int bad_gateway = 502;
    return {may_have_run ? bad_gateway : unprocessable,
            outcome::not_run,
            step::admit,
            "",
            "endpoints end when they answer prompts with part " +
                part_text(part),
            0ms};
}

// Ends requests with the part. A call that has begun to answer goes on: if it
// completes, it clears the part.
void refuse_requests_with(node_state& s, std::uint64_t part, effects& out)
{
    auto const affected = requests_where(s, [&](auto const& r) {
        bool const waits = r.phase == request_phase::queued ||
                           r.phase == request_phase::claiming;
        bool const is_called = r.call != 0 && r.answering_since == time_point{};
        return contains_part(r, part) && (waits || is_called);
    });
    for (auto const& id : affected) {
        auto& r = s.requests.at(id);
        if (r.phase == request_phase::done)
            continue;
        s.counts.refused_quarantined++;
        bool const may_have_run = r.may_have_run || r.call != 0;
        refuse_request(s, r, quarantine_refusal(part, may_have_run), out);
    }
}

// Ends that the quarantined part explains are no evidence against others.
void drop_explained_ends(node_state& s, std::uint64_t part)
{
    auto const& ends = s.parts.at(part).ends;
    for (auto& [other, p] : s.parts)
        if (other != part)
            std::erase_if(p.ends, [&](auto const& it) {
                return std::ranges::find(ends, it.incarnation,
                                         &part_end::incarnation) != ends.end();
            });
}

void set_next_probe(node_state const& s, part_state& p)
{
    auto const n = static_cast<std::size_t>(p.probes);
    p.next_probe_at = n < probe_delays.size()
                          ? s.now + duration(probe_delays.at(n))
                          : time_point::max();
}

void quarantine(node_state& s, std::uint64_t part, std::string const& why,
                effects& out)
{
    auto& p = s.parts.at(part);
    p.quarantined = true;
    p.requested_at = s.now;
    p.announced_at = s.now;
    set_next_probe(s, p);
    s.counts.quarantines++;
    record_decision(s, part_text(part), "part.quarantine", why);
    emit_log_event(out, events::part_quarantined, part_text(part), "", why);
    drop_explained_ends(s, part);
    refuse_requests_with(s, part, out);
}

// Whether another part was at about as many of the same ends, so that it is
// open which of the two is the cause: the news of one more end may be on its
// way.
bool is_ambiguous(node_state const& s, std::uint64_t part)
{
    auto const& p = s.parts.at(part);
    auto const n = count_ends(p);
    return std::ranges::any_of(s.parts, [&](auto const& it) {
        auto const& [other, q] = it;
        return other != part && !q.quarantined && count_ends(q) + 1 >= n &&
               std::ranges::any_of(q.ends, [&](auto const& end) {
                   return has_end(p, end.incarnation);
               });
    });
}

void quarantine_if_proven(node_state& s, std::uint64_t part, effects& out)
{
    auto const& p = s.parts.at(part);
    auto const n = count_ends(p);
    bool const is_proven = n >= ends_for_certainty ||
                           (n >= ends_for_quarantine && !is_ambiguous(s, part));
    if (p.quarantined || !is_proven)
        return;
    flood_part(s, quarantine_news(part, p), out);
    quarantine(s, part,
               std::to_string(n) + " endpoints ended under it, none answered",
               out);
}

// Returns whether the end was not known. `ended`: when it came.
bool add_end(node_state& s, std::uint64_t part, std::uint64_t incarnation,
             time_point ended, bool independent, std::string const& source,
             effects& out)
{
    auto& p = state_of(s, part);
    if (has_end(p, incarnation) || p.ends.size() >= max_ends_per_part)
        return false;
    auto const distance =
        ended > p.ended_at ? ended - p.ended_at : p.ended_at - ended;
    bool const counts = independent || distance >= common_cause_time;
    p.ends.push_back({incarnation, counts});
    if (counts)
        p.ended_at = std::max(p.ended_at, ended);
    emit_log_event(out, events::part_suspected, part_text(part), source,
                   "ends that count: " + std::to_string(count_ends(p)));
    return true;
}

// Returns whether peers may not know it yet.
bool clear_part(node_state& s, std::uint64_t part, std::string const& source,
                effects& out)
{
    auto& p = state_of(s, part);
    bool const changes = p.quarantined || !p.ends.empty();
    bool const is_news =
        changes || s.now >= p.answered_at + clearance_news_period;
    if (p.quarantined)
        emit_log_event(out, events::part_released, part_text(part), source,
                       "a prompt with it was answered");
    p = {};
    p.answered_at = s.now;
    return is_news;
}

// Tells the peers that a part they suspect was answered here of late.
void refute(node_state& s, std::uint64_t part, effects& out)
{
    auto& p = s.parts.at(part);
    if (s.now < p.announced_at + clearance_news_period)
        return;
    p.announced_at = s.now;
    flood_part(s, {part, part_status::cleared}, out);
}

bool is_probe_due(node_state const& s, std::uint64_t part)
{
    return s.now >= s.parts.at(part).next_probe_at &&
           duty_rank(s, "part/" + part_text(part)) == 0;
}

void start_probe(node_state& s, request_state const& r, std::uint64_t part,
                 effects& out)
{
    auto& p = s.parts.at(part);
    p.probes++;
    set_next_probe(s, p);
    emit_log_event(out, events::part_probed, part_text(part), r.request.id,
                   "probe " + std::to_string(p.probes));
    flood_part(s, quarantine_news(part, p), out);
}

bool is_quarantined(node_state const& s, std::uint64_t part)
{
    auto const it = s.parts.find(part);
    return it != s.parts.end() && it->second.quarantined;
}

bool learn_quarantine(node_state& s, part_news const& e,
                      std::string const& source, effects& out)
{
    auto& p = state_of(s, e.part);
    if (is_cleared(s, p)) {
        refute(s, e.part, out);
        return false;
    }
    if (!p.quarantined) {
        p.probes = e.probes;
        quarantine(s, e.part, "reported by " + source, out);
        return true;
    }
    bool const has_new_probe = e.probes > p.probes;
    bool const is_due = s.now >= p.announced_at + announcement_period / 2;
    if (has_new_probe) {
        p.probes = e.probes;
        set_next_probe(s, p);
    }
    if (is_due) {
        p.announced_at = s.now;
        p.requested_at = s.now;
    }
    return has_new_probe || is_due;
}

bool learn_suspicion(node_state& s, part_news const& e,
                     std::string const& source, effects& out)
{
    if (is_cleared(s, state_of(s, e.part))) {
        refute(s, e.part, out);
        return false;
    }
    if (!add_end(s, e.part, e.incarnation, s.now - duration(e.age),
                 e.independent, source, out))
        return false;
    quarantine_if_proven(s, e.part, out);
    return true;
}

} // namespace

std::optional<refusal> check_quarantine(node_state& s, request_arrived const& e,
                                        bool may_have_run)
{
    auto const it = std::ranges::find_if(e.shared_parts, [&](auto part) {
        return is_quarantined(s, part) && !is_probe_due(s, part);
    });
    if (it == e.shared_parts.end())
        return std::nullopt;
    s.parts.at(*it).requested_at = s.now;
    s.counts.refused_quarantined++;
    return quarantine_refusal(*it, may_have_run);
}

bool refuse_if_quarantined(node_state& s, request_state& r, effects& out)
{
    if (auto why = check_quarantine(s, r.request, r.may_have_run)) {
        refuse_request(s, r, std::move(*why), out);
        return true;
    }
    for (auto const part : r.request.shared_parts)
        if (is_quarantined(s, part))
            start_probe(s, r, part, out);
    return false;
}

void suspect_endpoint(node_state& s, request_state const& r, effects& out)
{
#if PAPAYAHOOK_MUTATION_NO_QUARANTINE
    return;
#endif
    bool const is_harmless =
        r.answering_since != time_point{} &&
        s.now >= r.answering_since + duration(harmless_after);
    bool const has_suspect =
        std::ranges::any_of(r.request.shared_parts, [&](auto part) {
            return !is_cleared(s, state_of(s, part));
        });
    auto const e = s.config.endpoints.find(r.endpoint);
    // An endpoint that leaves ends anyway.
    bool const leaves =
        e != s.config.endpoints.end() && is_leaving(s, e->second.value);
    if (is_harmless || !has_suspect || leaves)
        return;
    auto const key = incarnation_key(r.endpoint, r.incarnation);
    bool const is_full = s.endpoint_suspicions.size() >= max_suspicions;
    if (is_full && !s.endpoint_suspicions.contains(key))
        return;
    auto& suspicion = s.endpoint_suspicions[key];
    suspicion.calls.push_back({r.request.shared_parts, r.call_started, s.now});
    if (suspicion.since != time_point{})
        return; // the check is under way
    suspicion.endpoint = r.endpoint;
    suspicion.since = s.now;
    bool const is_current = e != s.config.endpoints.end() &&
                            e->second.value.incarnation == r.incarnation;
    if (is_current)
        out.push_back(
            check_endpoint{r.endpoint, r.incarnation, e->second.value.address});
    else
        on_endpoint_checked(s, {r.endpoint, r.incarnation, true}, out);
}

bool awaits_quarantine(node_state const& s, request_state const& r)
{
    return std::ranges::any_of(r.request.shared_parts, [&](auto part) {
        auto const it = s.parts.find(part);
        if (it == s.parts.end() || is_cleared(s, it->second))
            return false;
        auto const checks = count_checks(s, part);
        return checks > 0 &&
               count_ends(it->second) + checks >= ends_for_quarantine;
    });
}

namespace {

// Adds the end of an endpoint to the parts of the calls that it broke off.
void add_ends(node_state& s, endpoint_checked const& e, std::uint64_t key,
              std::vector<broken_call> const& calls, effects& out)
{
    for (auto const& call : calls)
        for (auto const part : call.parts) {
            auto const& p = state_of(s, part);
            bool const independent = !p.ends.empty() &&
                                     call.started >= p.ended_at &&
                                     call.broken > call.started;
            bool const is_news =
                !is_cleared(s, p) && add_end(s, part, key, call.broken,
                                             independent, e.endpoint, out);
            if (!is_news)
                continue;
            // Rounded down, the end would seem to follow the start of a call
            // that was made because of it.
            auto const age = std::chrono::ceil<std::chrono::milliseconds>(
                s.now - call.broken);
            flood_part(s, {part, part_status::suspected, key, independent, age},
                       out);
            quarantine_if_proven(s, part, out);
        }
}

} // namespace

void on_endpoint_checked(node_state& s, endpoint_checked const& e, effects& out)
{
    auto const key = incarnation_key(e.endpoint, e.incarnation);
    auto const node = s.endpoint_suspicions.extract(key);
    if (!node.empty() && e.refuses) {
        auto const at = s.config.endpoints.find(e.endpoint);
        bool const is_current = at != s.config.endpoints.end() &&
                                at->second.value.incarnation == e.incarnation;
        if (is_current)
            pause_endpoint(s, e.endpoint, s.settings.endpoint_pause,
                           "it has ended", out);
        add_ends(s, e, key, node.mapped().calls, out);
    }
    release_held_failures(s, out);
}

void clear_parts(node_state& s, request_state const& r, effects& out)
{
    for (auto const part : r.request.shared_parts) {
        auto const known = s.parts.find(part);
        bool const is_suspected =
            known != s.parts.end() &&
            (known->second.quarantined || !known->second.ends.empty());
        if (is_suspected) {
            clear_part(s, part, r.request.id, out);
            flood_part(s, {part, part_status::cleared}, out);
        }
        else {
            state_of(s, part).answered_at = s.now;
        }
    }
}

void clear_parts_if_harmless(node_state& s, request_state const& r,
                             effects& out)
{
    if (s.now >= r.answering_since + duration(harmless_after))
        clear_parts(s, r, out);
}

bool learn_part(node_state& s, part_news const& e, std::string const& source,
                effects& out)
{
    switch (e.status) {
    case part_status::suspected:
        return learn_suspicion(s, e, source, out);
    case part_status::quarantined:
        return learn_quarantine(s, e, source, out);
    case part_status::cleared:
        return clear_part(s, e.part, source, out);
    }
    return false;
}

std::vector<part_news> quarantined_parts(node_state const& s)
{
    std::vector<part_news> out;
    for (auto const& [part, p] : s.parts)
        if (p.quarantined)
            out.push_back(quarantine_news(part, p));
    return out;
}

void maintain_parts(node_state& s, effects& out)
{
    if (s.now < s.parts_maintained_at + maintenance_period)
        return;
    s.parts_maintained_at = s.now;
    std::erase_if(s.parts, [&](auto const& it) {
        return last_known_at(it.second) + part_retention <= s.now;
    });
    std::erase_if(s.endpoint_suspicions, [&](auto const& it) {
        return it.second.since + check_timeout <= s.now;
    });
    news item;
    for (auto& [part, p] : s.parts) {
        bool const is_due = p.quarantined && p.requested_at > p.announced_at &&
                            s.now >= p.announced_at + announcement_period;
        if (!is_due)
            continue;
        p.announced_at = s.now;
        item.parts.push_back(quarantine_news(part, p));
    }
    flood_news(s, item, 0, out);
}

} // namespace papayahook::core
