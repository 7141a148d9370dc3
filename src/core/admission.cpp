// Admission control: caller keys, limits, quotas and deadlines, and the fair
// queues in front of the pools.
#include "core/internal.hpp"

#include <algorithm>
#include <array>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Entries per queue and drain that are skipped because no endpoint can take
// them. The bound keeps a full pool from costing a scan of its whole queue at
// every event.
constexpr int queue_lookahead = 8;

// Longer bodies leave a share of the memory to those up to this length.
constexpr std::size_t max_short_body = 128UL * 1024;
constexpr double long_body_share = 0.75;

constexpr int unknown_key = 401;
constexpr int unknown_route = 404;

bool is_long(request_arrived const& e)
{
    return e.body_bytes > max_short_body;
}

void refuse_arrival(request_arrived const& e, refusal why, node_state& s,
                    effects& out)
{
    s.counts.refused_not_run++;
    // What the configuration in force does not have, another version may.
    auto const config = why.status == unknown_key || why.status == unknown_route
                            ? describe_config(s)
                            : std::string{};
    emit_log_event(out, events::request_refused, e.id, why.peer,
                   std::string(to_string(why.failed_step)) + ": " + why.detail +
                       (config.empty() ? "" : "; configuration " + config));
    out.push_back(refuse{e.id, std::move(why)});
}

// Returns why the body of a request cannot be held, or nullopt if it can.
std::optional<refusal> check_memory(node_state const& s,
                                    request_arrived const& e)
{
    auto const max = s.settings.max_request_bytes;
    auto const max_long = is_long(e)
                              ? static_cast<std::size_t>(
                                    long_body_share * static_cast<double>(max))
                              : max;
    if (e.body_bytes > max_long)
        return refusal{413,
                       outcome::not_run,
                       step::admit,
                       "",
                       "the body is longer than this node can hold",
                       0ms};
    bool const fits =
        s.request_bytes + e.body_bytes <= max &&
        (!is_long(e) || s.long_request_bytes + e.body_bytes <= max_long);
    if (fits)
        return std::nullopt;
    return refusal{503,
                   outcome::not_run,
                   step::admit,
                   "",
                   "open requests take the memory that this node has for them",
                   short_retry_after};
}

// Returns why a request is refused, or nullopt if it is admitted. An admitted
// request is charged to the quota of its organisation.
std::optional<refusal> check_admission(node_state& s, request_arrived const& e)
{
    auto const make_refusal = [](int status, step where, std::string detail,
                                 std::chrono::milliseconds retry_after = 0ms) {
        return refusal{status, outcome::not_run,  where,
                       "",     std::move(detail), retry_after};
    };
    if (s.leaving && s.now >= s.leaving_since + s.settings.drain_accept_time)
        return make_refusal(503, step::shutdown, "this node is leaving",
                            short_retry_after);
    if (s.config.applied == 0)
        return make_refusal(503, step::admit, "no configuration read yet",
                            short_retry_after);
    auto const org = s.config.organisation_by_key.find(e.key_digest);
    auto const known_route = s.config.routes.find(e.route);
    bool const is_open = known_route != s.config.routes.end() &&
                         known_route->second.value.anonymous;
    if (org == s.config.organisation_by_key.end() && !is_open)
        return make_refusal(unknown_key, step::authenticate,
                            "unknown caller key");
    if (known_route == s.config.routes.end())
        return make_refusal(unknown_route, step::admit, "no such route");
    // Before the quota: it is not charged for what gets no call.
    if (auto why = check_quarantine(s, e, false))
        return why;
    if (auto why = check_memory(s, e))
        return why;
    if (org == s.config.organisation_by_key.end())
        return std::nullopt;
    auto const& limits = s.config.organisations.at(org->second).value;
    if (s.in_flight[org->second] >= limits.max_in_flight)
        return make_refusal(429, step::admit,
                            "the organisation's limit is reached",
                            short_retry_after);
    auto const& target_route = s.config.routes.at(e.route).value;
    auto const& queue = s.queues[target_route.pool][org->second];
    if (queue.size() >= static_cast<std::size_t>(s.settings.max_queue))
        return make_refusal(503, step::queue, "the queue is full",
                            short_retry_after);
    if (auto const wait = charge_quota(s, limits, e))
        return make_refusal(429, step::admit, describe_quota(s, limits, e),
                            *wait);
    return std::nullopt;
}

// Version, schema version and `in_share` of requests for which this drain has
// found no endpoint; requests with the same values are not tried again.
using unplaceable_set = std::set<std::tuple<std::string, std::string, bool>>;

// Starts the request if an endpoint can take it; returns whether it did.
bool try_start(node_state& s, request_state& r, bool in_share,
               unplaceable_set& unplaceable, effects& out)
{
    auto const version = pick_version(s, r, route_of(s, r));
    std::tuple const key{version, r.request.schema_version, in_share};
    if (unplaceable.contains(key))
        return false;
    auto const endpoint = limit_allows_call(s, pool_of(s, r), version, in_share)
                              ? choose_endpoint(s, r, version, in_share)
                              : std::string{};
    if (endpoint.empty()) {
        unplaceable.insert(key);
        return false;
    }
    start_call(s, r, endpoint, version, out);
    return true;
}

// Position of a drain in the queue of one organisation.
struct queue_cursor
{
    request_queue* queue = nullptr;
    request_queue::iterator next;
    bool in_share = false;
    int skipped = 0;
};

bool comes_before(queue_cursor const& a, queue_cursor const& b)
{
#if !PAPAYAHOOK_MUTATION_CLASS_BEFORE_SHARE
    if (a.in_share != b.in_share)
        return a.in_share;
#endif
    return *a.next < *b.next;
}

// Tries to start the request at the cursor and advances the cursor.
void drain_next(node_state& s, queue_cursor& c, unplaceable_set& unplaceable,
                effects& out)
{
    auto const it = c.next++;
    auto const [klass, tag, id] = *it;
    auto* const r = find_request(s, id);
    // A request past its deadline is refused at the next tick. Started now, it
    // would be cancelled at once, and it would no longer be known that it has
    // not run.
    bool const can_start =
        r != nullptr && r->phase == request_phase::queued &&
        r->deadline > s.now &&
        (r->attempts > 0 || s.config.routes.contains(r->request.route));
    if (!can_start) {
        c.queue->erase(it);
    }
    else if (try_start(s, *r, c.in_share, unplaceable, out)) {
        s.virtual_time = std::max(s.virtual_time, tag);
        c.queue->erase(it);
    }
    else {
        c.skipped++;
    }
}

// Serves organisations within their share first, whatever the priority class:
// a flood of chats from one organisation must not delay checks of another.
void drain_pool(node_state& s, organisation_queues& queues, effects& out)
{
    if (!may_rely_on_registry(s, s.now))
        return;
    std::vector<queue_cursor> cursors;
    for (auto& [name, queue] : queues)
        if (!queue.empty())
            cursors.push_back(
                {&queue, queue.begin(), is_within_fair_share(s, name), 0});
    unplaceable_set unplaceable;
    while (!cursors.empty()) {
        auto const c = std::ranges::min_element(cursors, comes_before);
        drain_next(s, *c, unplaceable, out);
        bool const done =
            c->next == c->queue->end() || c->skipped >= queue_lookahead;
        if (done)
            cursors.erase(c);
    }
}

} // namespace

void count_open(node_state& s, request_state const& r)
{
    s.in_flight[r.organisation]++;
    s.request_bytes += r.request.body_bytes;
    s.long_request_bytes += is_long(r.request) ? r.request.body_bytes : 0;
}

void count_closed(node_state& s, request_state const& r)
{
    s.in_flight[r.organisation]--;
    s.request_bytes -= r.request.body_bytes;
    s.long_request_bytes -= is_long(r.request) ? r.request.body_bytes : 0;
}

route const& route_of(node_state const& s, request_state const& r)
{
    auto const it = s.config.routes.find(r.request.route);
    return it == s.config.routes.end() ? r.accepted_route : it->second.value;
}

std::string pool_of(node_state const& s, request_state const& r)
{
    return r.pool.empty() ? route_of(s, r).pool : r.pool;
}

// Picks one pool by weight. The choice depends on the request id, so that it is
// the same on every node.
std::string pick_weighted_pool(route const& it, request_id const& id)
{
    if (it.splits.empty())
        return it.pool;
    double total = 0;
    for (auto const& n : it.splits)
        total += n.weight;
    constexpr double steps = 1'000'000;
    double remaining =
        static_cast<double>(hash_of(id) % static_cast<std::uint64_t>(steps)) /
        steps * total;
    for (auto const& n : it.splits) {
        remaining -= n.weight;
        if (remaining < 0)
            return n.pool;
    }
    return it.splits.back().pool;
}

void reserve_parts(request_arrived& it, std::size_t parts)
{
    it.prefix_blocks.reserve(parts);
    it.block_tokens.reserve(parts);
    it.shared_parts.reserve(parts);
}

std::size_t memory_of(request_arrived const& it)
{
    auto const bytes = [](auto const& list) {
        return list.size() * sizeof(list.front());
    };
    return sizeof(request_state) + it.id.size() + it.key_digest.size() +
           bytes(it.prefix_blocks) + bytes(it.block_tokens) +
           bytes(it.shared_parts);
}

void on_request_arrived(node_state& s, request_arrived const& e, effects& out)
{
    s.counts.requests++;
    if (s.requests.contains(e.id))
        return;
    if (auto why = check_admission(s, e)) {
        refuse_arrival(e, std::move(*why), s, out);
        return;
    }
    auto const& it = s.config.routes.at(e.route).value;
    request_state r;
    r.request = e;
    r.accepted_route = it;
    auto const org = s.config.organisation_by_key.find(e.key_digest);
    if (org != s.config.organisation_by_key.end()) {
        r.organisation = org->second;
        auto const& org_class =
            s.config.organisations.at(org->second).value.klass;
        r.klass = e.klass.value_or(org_class.value_or(it.klass));
    }
    else {
        r.klass = e.klass.value_or(it.klass);
    }
    r.pool = pick_weighted_pool(it, e.id);
    r.repeatable = it.repeatable && e.idempotency_key.empty();
    r.arrived = s.now;
    r.deadline =
        s.now + std::min(e.deadline.value_or(it.deadline), it.deadline);
    count_open(s, r);
    auto& stored = s.requests[e.id] = std::move(r);
    if (!stored.repeatable && !e.idempotency_key.empty())
        start_claim(s, stored, out);
    else
        enqueue(s, stored, out);
}

namespace {

// Refuses a request that waits for endpoints which all pause beyond its
// deadline, so that its caller need not wait for it.
void refuse_if_lost(node_state& s, request_state& r,
                    std::chrono::milliseconds pause, effects& out)
{
    bool const is_lost = r.phase == request_phase::queued && pause > 0ms &&
                         r.deadline <= s.now + duration(pause);
    if (is_lost)
        refuse_request(s, r,
                       {503, outcome::not_run, step::queue, "",
                        "all endpoints pause beyond the deadline", pause},
                       out);
}

} // namespace

// Start-time fair queueing: a request's tag is its organisation's virtual
// time, which advances by the request's cost divided by the organisation's
// weight.
void enqueue(node_state& s, request_state& r, effects& out)
{
    if (refuse_if_quarantined(s, r, out))
        return;
    auto const org = s.config.organisations.find(r.organisation);
    double const weight =
        org == s.config.organisations.end() ? 1.0 : org->second.value.weight;
    if (r.attempts == 0) {
        auto& tag = s.finish_tags[r.organisation];
        r.start_tag = std::max(s.virtual_time, tag);
        tag = r.start_tag + (1.0 + r.request.prompt_tokens / 1000.0) / weight;
    }
    r.phase = request_phase::queued;
    auto& queues = s.queues[pool_of(s, r)];
    queues[r.organisation].emplace(r.klass, r.start_tag, r.request.id);
    if (r.attempts == 0)
        s.queue_joined_at[pool_of(s, r)] = s.now;
    drain_pool(s, queues, out);
    if (r.phase == request_phase::queued)
        refuse_if_evacuated(s, r, out);
    if (r.phase == request_phase::queued)
        refuse_if_lost(s, r, time_until_unpaused(s, r), out);
}

void remove_from_queue(node_state& s, request_state const& r)
{
    auto const it = s.queues.find(pool_of(s, r));
    if (it != s.queues.end())
        it->second[r.organisation].erase({r.klass, r.start_tag, r.request.id});
}

void drain_queues(node_state& s, effects& out)
{
    for (auto& [pool, queues] : s.queues)
        drain_pool(s, queues, out);
}

// Refuses requests that have waited too long in a standing queue: their callers
// learn it early enough to go elsewhere, and the requests that are answered are
// answered in time.
void shed_queued_requests(node_state& s, effects& out)
{
    record_empty_queues(s);
    std::vector<request_id> overdue;
    for (auto const& [pool, queues] : s.queues) {
        if (!is_standing_queue(s, pool))
            continue;
        for (auto const& [name, queue] : queues) {
            auto const longest = max_queue_wait(s, name);
            std::ranges::for_each(queue, [&](auto const& it) {
                auto const& id = std::get<request_id>(it);
                auto const* const r = find_request(s, id);
                if (r != nullptr && exceeds_queue_wait(s, *r, longest))
                    overdue.push_back(id);
            });
        }
    }
    for (auto const& id : overdue) {
        auto& r = s.requests.at(id);
        // An earlier refusal in this loop may have let the request start.
        if (r.phase != request_phase::queued)
            continue;
        count_unserved(s, r);
        refuse_request(s, r,
                       {503, outcome::not_run, step::queue, "",
                        "no endpoint had room in time",
                        std::max<std::chrono::milliseconds>(
                            short_retry_after, time_until_unpaused(s, r))},
                       out);
    }
}

void refuse_paused_requests(node_state& s, effects& out)
{
    bool const any_pauses = std::ranges::any_of(
        s.endpoints, [&](auto& it) { return it.second.paused_until > s.now; });
    if (!any_pauses && !is_any_cold(s))
        return;
    // Requests with the same pool, route, version and schema version wait for
    // the same endpoints.
    std::map<std::array<std::string, 4>, std::chrono::milliseconds> pauses;
    std::vector<std::pair<request_id, std::chrono::milliseconds>> waiting;
    for (auto const& [pool, queues] : s.queues)
        for (auto const& [name, queue] : queues)
            for (auto const& it : queue) {
                auto const* const r = find_request(s, std::get<request_id>(it));
                if (r == nullptr)
                    continue;
                auto const& asked = r->request;
                auto const [pause, is_new] = pauses.try_emplace(
                    {pool, asked.route, r->version, asked.schema_version});
                if (is_new)
                    pause->second = time_until_unpaused(s, *r);
                waiting.emplace_back(asked.id, pause->second);
            }
    for (auto const& [id, pause] : waiting)
        if (auto* const r = find_request(s, id))
            refuse_if_lost(s, *r, pause, out);
}

void expire_requests(node_state& s, effects& out)
{
    auto const expired = requests_where(s, [&](auto const& r) {
        bool const answering = r.phase == request_phase::answering;
        bool const covers_whole_answer = route_of(s, r).deadline_covers_body;
        bool const deadline_applies = (!answering || covers_whole_answer) &&
                                      r.phase != request_phase::handed_over &&
                                      r.phase != request_phase::done;
        return deadline_applies && r.deadline <= s.now;
    });
    for (auto const& id : expired) {
        auto& r = s.requests.at(id);
        refusal why{504,        outcome::not_run,          step::queue,
                    r.endpoint, "the deadline has passed", 0s};
        if (r.phase == request_phase::claiming)
            why.failed_step = step::claim;
        if (r.phase == request_phase::following)
            why = {504,
                   outcome::outcome_unknown,
                   step::claim,
                   "",
                   "another request with this key has not ended",
                   0s};
        if (r.phase == request_phase::calling)
            why.failed_step = step::receive;
        refuse_request(s, r, why, out);
    }
}

} // namespace papayahook::core
