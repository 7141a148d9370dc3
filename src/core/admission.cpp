// Admission: organisation, limits, deadline; fair queues before the pools.
#include "core/internal.hpp"

#include <algorithm>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Entries tried behind one that no endpoint can take now; a bound keeps a
// full pool from costing a walk of its whole queue at every event.
constexpr int queue_lookahead = 8;
constexpr auto retry_soon = 1s;

void refuse_arrival(request_arrived const& e, refusal why, node_state& s,
                    effects& out)
{
    s.counts.refused_not_run++;
    note(out, events::request_refused, e.id, why.peer,
         std::string(to_string(why.where)) + ": " + why.detail);
    out.push_back(refuse{e.id, std::move(why)});
}

// The reason why a request may not enter; nullopt when it may.
std::optional<refusal> admission_error(node_state& s, request_arrived const& e)
{
    auto const refusal_of = [](int status, step where, std::string detail,
                               std::chrono::milliseconds retry = 0ms) {
        return refusal{status, outcome::not_run,  where,
                       "",     std::move(detail), retry};
    };
    if (s.leaving && s.now >= s.leaving_since + s.settings.accept_while_leaving)
        return refusal_of(503, step::shutdown, "this node is leaving",
                          retry_soon);
    if (s.config.applied == 0)
        return refusal_of(503, step::admit, "no configuration read yet",
                          retry_soon);
    auto const org = s.config.organisation_by_key.find(e.key_digest);
    auto const found = s.config.routes.find(e.route);
    bool const open =
        found != s.config.routes.end() && found->second.value.open;
    if (org == s.config.organisation_by_key.end() && !open)
        return refusal_of(401, step::authenticate, "unknown caller key");
    if (found == s.config.routes.end())
        return refusal_of(404, step::admit, "no such route");
    if (org == s.config.organisation_by_key.end())
        return std::nullopt;
    auto const& limits = s.config.organisations.at(org->second).value;
    if (s.in_flight[org->second] >= limits.max_in_flight)
        return refusal_of(429, step::admit,
                          "the organisation's limit is reached", retry_soon);
    auto const& it = s.config.routes.at(e.route).value;
    auto const& queue = s.queues[it.pool][org->second];
    if (queue.size() >= static_cast<std::size_t>(s.settings.max_queue))
        return refusal_of(503, step::queue, "the queue is full", retry_soon);
    if (auto const wait = charge_quota(s, limits, e))
        return refusal_of(429, step::admit, describe_quota(s, limits, e),
                          *wait);
    return std::nullopt;
}

// What no endpoint has room for now: version, schema, and whether the
// organisation is within its share. The next request need not look again.
using full_set = std::set<std::tuple<std::string, std::string, bool>>;

// Starts the request when an endpoint has room for it.
bool try_start(node_state& s, request_state& r, bool in_share, full_set& full,
               effects& out)
{
    auto const& it = s.config.routes.at(r.asked.route).value;
    auto const version = pick_version(s, r, it);
    std::tuple const wanted{version, r.asked.schema_version, in_share};
    if (full.contains(wanted))
        return false;
    auto const endpoint = has_room(s, pool_of(s, r), version, in_share)
                              ? choose_endpoint(s, r, version, in_share)
                              : std::string{};
    if (endpoint.empty()) {
        full.insert(wanted);
        return false;
    }
    start_call(s, r, endpoint, version, out);
    return true;
}

// Where a drain has come to in the queue of one organisation.
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

// Tries the request at the cursor and moves it on.
void drain_next(node_state& s, queue_cursor& c, full_set& full, effects& out)
{
    auto const it = c.next++;
    auto const [klass, tag, id] = *it;
    auto* const r = find_request(s, id);
    // One whose time is over gets its refusal with the next tick; started
    // now it would be cut off at once, and nobody could say that it has not
    // run.
    bool const waits = r != nullptr && r->phase == request_phase::queued &&
                       r->deadline > s.now &&
                       s.config.routes.contains(r->asked.route);
    if (!waits) {
        c.queue->erase(it);
    }
    else if (try_start(s, *r, c.in_share, full, out)) {
        s.fair_now = std::max(s.fair_now, tag);
        c.queue->erase(it);
    }
    else {
        c.skipped++;
    }
}

// Organisations within their share come first, whatever the class: a flood of
// one's chats must not hold up another one's checks.
void drain_pool(node_state& s, organisation_queues& queues, effects& out)
{
    std::vector<queue_cursor> cursors;
    for (auto& [name, queue] : queues)
        if (!queue.empty())
            cursors.push_back({&queue, queue.begin(), is_in_share(s, name), 0});
    full_set full;
    while (!cursors.empty()) {
        auto const c = std::ranges::min_element(cursors, comes_before);
        drain_next(s, *c, full, out);
        bool const over =
            c->next == c->queue->end() || c->skipped >= queue_lookahead;
        if (over)
            cursors.erase(c);
    }
}

} // namespace

std::string pool_of(node_state const& s, request_state const& r)
{
    if (!r.pool.empty())
        return r.pool;
    auto const it = s.config.routes.find(r.asked.route);
    return it == s.config.routes.end() ? std::string{} : it->second.value.pool;
}

// One pool by weight; the same for a request wherever it is asked.
std::string split_pool(route const& it, request_id const& id)
{
    if (it.splits.empty())
        return it.pool;
    double total = 0;
    for (auto const& n : it.splits)
        total += n.weight;
    constexpr double steps = 1'000'000;
    double left =
        static_cast<double>(hash_of(id) % static_cast<std::uint64_t>(steps)) /
        steps * total;
    for (auto const& n : it.splits) {
        left -= n.weight;
        if (left < 0)
            return n.pool;
    }
    return it.splits.back().pool;
}

void on_request(node_state& s, request_arrived const& e, effects& out)
{
    s.counts.requests++;
    if (s.requests.contains(e.id))
        return;
    if (auto why = admission_error(s, e)) {
        refuse_arrival(e, std::move(*why), s, out);
        return;
    }
    auto const& it = s.config.routes.at(e.route).value;
    request_state r;
    r.asked = e;
    auto const org = s.config.organisation_by_key.find(e.key_digest);
    if (org != s.config.organisation_by_key.end()) {
        r.organisation = org->second;
        auto const& rank = s.config.organisations.at(org->second).value.klass;
        r.klass = e.klass.value_or(rank.value_or(it.klass));
    }
    else {
        r.klass = e.klass.value_or(it.klass);
    }
    r.pool = split_pool(it, e.id);
    r.repeatable = it.repeatable && e.idempotency_key.empty();
    r.arrived = s.now;
    r.deadline =
        s.now + std::min(e.deadline.value_or(it.deadline), it.deadline);
    s.in_flight[r.organisation]++;
    auto& kept = s.requests[e.id] = std::move(r);
    if (!kept.repeatable && !e.idempotency_key.empty())
        start_claim(s, kept, out);
    else
        enqueue(s, kept, out);
}

// Start-time fair queueing: a request's tag is its organisation's virtual
// time, which advances by the request's cost over the organisation's weight.
void enqueue(node_state& s, request_state& r, effects& out)
{
    auto const org = s.config.organisations.find(r.organisation);
    double const weight =
        org == s.config.organisations.end() ? 1.0 : org->second.value.weight;
    if (r.attempts == 0) {
        auto& tag = s.fair_tag[r.organisation];
        r.tag = std::max(s.fair_now, tag);
        tag = r.tag + (1.0 + r.asked.prompt_tokens / 1000.0) / weight;
    }
    r.phase = request_phase::queued;
    auto& queues = s.queues[pool_of(s, r)];
    queues[r.organisation].emplace(r.klass, r.tag, r.asked.id);
    if (r.attempts == 0)
        s.queue_joined[pool_of(s, r)] = s.now;
    drain_pool(s, queues, out);
}

void leave_queue(node_state& s, request_state const& r)
{
    auto const it = s.queues.find(pool_of(s, r));
    if (it != s.queues.end())
        it->second[r.organisation].erase({r.klass, r.tag, r.asked.id});
}

void drain_queues(node_state& s, effects& out)
{
    for (auto& [pool, queues] : s.queues)
        drain_pool(s, queues, out);
}

// Refuses what has waited in vain: the caller learns it while it can still go
// elsewhere, and what is answered at all is answered in time.
void shed_waiting(node_state& s, effects& out)
{
    note_empty_queues(s);
    std::vector<request_id> late;
    for (auto const& [pool, queues] : s.queues) {
        if (!queue_stands(s, pool))
            continue;
        for (auto const& [name, queue] : queues) {
            auto const longest = longest_wait(s, name);
            std::ranges::for_each(queue, [&](auto const& it) {
                auto const& id = std::get<request_id>(it);
                auto const* const r = find_request(s, id);
                if (r != nullptr && has_waited(s, *r, longest))
                    late.push_back(id);
            });
        }
    }
    for (auto const& id : late) {
        auto& r = s.requests.at(id);
        // A refusal before this one may have made room for it.
        if (r.phase != request_phase::queued)
            continue;
        count_unserved(s, r);
        refuse_request(s, r,
                       {503, outcome::not_run, step::queue, "",
                        "no endpoint had room in time", retry_soon},
                       out);
    }
}

void expire_requests(node_state& s, effects& out)
{
    auto const late = requests_where(s, [&](auto const& r) {
        bool const answers = r.phase == request_phase::answering;
        auto const it = s.config.routes.find(r.asked.route);
        bool const whole =
            it != s.config.routes.end() && it->second.value.whole_deadline;
        bool const waits = (!answers || whole) &&
                           r.phase != request_phase::handed_over &&
                           r.phase != request_phase::done;
        return waits && r.deadline <= s.now;
    });
    for (auto const& id : late) {
        auto& r = s.requests.at(id);
        refusal why{504,        outcome::not_run,          step::queue,
                    r.endpoint, "the deadline has passed", 0s};
        if (r.phase == request_phase::claiming)
            why.where = step::claim;
        if (r.phase == request_phase::following)
            why = {504,
                   outcome::outcome_unknown,
                   step::claim,
                   "",
                   "another request with this key has not ended",
                   0s};
        if (r.phase == request_phase::calling)
            why.where = step::receive;
        refuse_request(s, r, why, out);
    }
}

} // namespace papayahook::core
