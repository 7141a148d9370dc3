// Hand-over: a leaving node passes its accepted requests on to its peers.
//
// The connections of its callers end with the node, but not their answers: each
// request goes to a peer with the whole answer so far, the peer continues it,
// and the leaving node relays the rest as long as it runs. After that the
// caller re-attaches at any node, which finds the holder from the known
// successors.
//
// Requests that are not repeatable stay: a call that may have run must not be
// made again elsewhere.
#include "core/internal.hpp"

#include <algorithm>
#include <charconv>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr auto offer_timeout = 700ms;  // for a peer's answer to an offer
constexpr auto offer_round_pause = 1s; // after no peer took a request
constexpr std::size_t max_successors = 1024;

bool has_ended(request_state const& r)
{
    return r.ended_at != time_point{};
}

// Picks the peer for a request. Peers in other zones are preferred, because a
// whole zone may be leaving.
peer_state const* pick_peer(node_state const& s, request_state const& r)
{
    auto const is_eligible = [&](peer_state const& p) {
        auto const it = s.members.find(p.node);
        return it != s.members.end() && it->second.up &&
               !p.last_heartbeat.leaving &&
               std::ranges::find(r.declined_by, p.node) == r.declined_by.end();
    };
    auto const rank = [&](peer_state const& p) {
        return std::tuple(p.zone != s.settings.zone,
                          hash_of(s.settings.name + "/" + p.node), p.link);
    };
    peer_state const* best = nullptr;
    for (auto const& [link, p] : s.peers)
        if (is_eligible(p) && (best == nullptr || rank(p) > rank(*best)))
            best = &p;
    return best;
}

// Whether all peers have declined the request a short time ago.
bool is_between_rounds(node_state const& s, request_state const& r)
{
    return r.offered_at != time_point{} &&
           s.now < r.offered_at + offer_round_pause;
}

// Whether the caller may still re-attach for the answer, and no peer has it.
bool is_unfetched(request_state const& r)
{
    return has_ended(r) && !r.caller_present && holds_whole_answer(r) &&
           r.taken_by.empty();
}

bool can_hand_over(node_state const& s, request_state const& r)
{
    if (r.phase == request_phase::handed_over || !r.taken_by.empty())
        return false;
    if (has_ended(r))
        return is_unfetched(r);
    bool const due = s.now >= s.leaving_since + s.settings.hand_over_after;
    // A peer that was linked after the others declined is asked at once.
    bool const paused = is_between_rounds(s, r) && pick_peer(s, r) == nullptr;
    return due && !paused && r.repeatable && holds_whole_answer(r) &&
           can_be_continued(r);
}

hand_over make_offer(node_state const& s, request_state const& r)
{
    hand_over out;
    out.offer = r.offer_number;
    out.request = r.request;
    out.organisation = r.organisation;
    out.klass = r.klass;
    out.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        r.deadline - s.now);
    out.endpoint = r.endpoint;
    out.version = chunk_count(r) == 0 ? std::string{} : r.version;
    out.status = r.status;
    out.content_type = r.content_type;
    out.head_sent = r.head_sent;
#if !PAPAYAHOOK_MUTATION_HAND_OVER_WITHOUT_CHUNKS
    out.chunks.assign(r.chunks.begin(), r.chunks.end());
#endif
    out.ended = has_ended(r);
    out.failure = r.failure;
    return out;
}

// Offers the request to a peer. Returns false if no peer is left that may take
// it.
bool offer_request(node_state& s, request_state& r, effects& out)
{
    auto const* const p = pick_peer(s, r);
    if (p == nullptr)
        return false;
    successor_news const item{s.settings.name, s.settings.incarnation, p->node};
    if (learn_successor(s, item)) {
        news what;
        what.successors.push_back(item);
        flood_news(s, what, 0, out);
    }
    stop_call(s, r, out);
    r.phase = request_phase::handed_over;
    r.offer_number++;
    r.offered_to = p->link;
    r.offered_at = s.now;
    send_to_peer(s, p->link, make_offer(s, r), out);
    return true;
}

// Offers the request to the next peer after one has declined it or has not
// answered. After the last peer this node continues the request itself for a
// while and then asks all peers again.
void offer_to_next_peer(node_state& s, request_state& r, effects& out)
{
    auto const p = s.peers.find(r.offered_to);
    if (p != s.peers.end())
        r.declined_by.push_back(p->second.node);
    r.offered_to = 0;
    if (offer_request(s, r, out))
        return;
    r.offered_at = s.now;
    if (has_ended(r))
        r.phase = request_phase::done;
    else
        enqueue(s, r, out);
}

bool awaits_answer(request_state const& r)
{
    return r.phase == request_phase::handed_over && r.taken_by.empty();
}

void take_over(node_state& s, hand_over const& e, effects& out)
{
    request_state r;
    r.request = e.request;
    r.accepted_route = s.config.routes.at(e.request.route).value;
    // The caller re-attaches for the answer.
    r.request.run_without_caller = true;
    r.organisation = e.organisation;
    r.klass = e.klass;
    r.caller_present = false;
    r.arrived = s.now;
    r.deadline = s.now + e.time_left;
    r.endpoint = e.endpoint;
    r.version = e.version;
    r.status = e.status;
    r.content_type = e.content_type;
    r.head_sent = e.head_sent;
    for (auto const& it : e.chunks)
        hold_chunk(r, it);
    r.first_chunk_seen = !e.chunks.empty();
    r.failure = e.failure;
    r.offer_number = e.offer;
    s.counts.taken_over++;
    r.request.body_bytes = e.message.body.size() + memory_of(r.request);
    count_open(s, r);
    auto& stored = s.requests[e.request.id] = std::move(r);
    if (e.ended) {
        end_request(s, stored);
        return;
    }
    if (!stored.endpoint.empty())
        record_prefixes(s, stored);
    extend_deadline(s, stored);
    enqueue(s, stored, out);
}

// Ends this node's work on a request. One that had ended already is only marked
// as done.
void settle_request(node_state& s, request_state& r)
{
    if (has_ended(r))
        r.phase = request_phase::done;
    else
        end_request(s, r);
}

// Ends a request taken from an earlier offer. The leaving node did not receive
// the answer to that offer in time and continued the request itself; its newer
// offer replaces the older one.
void end_older_offer(node_state& s, request_state& r, effects& out)
{
    stop_call(s, r, out);
    settle_request(s, r);
}

} // namespace

bool waits_for_peer(node_state const& s)
{
    auto const end = s.leaving_since + duration(s.settings.hand_over_after) +
                     duration(offer_round_pause);
    return s.settings.hand_over_enabled && s.now < end &&
           std::ranges::any_of(s.requests, [](auto const& it) {
               return is_unfetched(it.second);
           });
}

void hand_over_requests(node_state& s, effects& out)
{
#if PAPAYAHOOK_MUTATION_NO_HAND_OVER
    return;
#endif
    if (!s.leaving)
        return;
    for (auto const& id : requests_where(
             s, [&](auto const& r) { return can_hand_over(s, r); })) {
        auto& r = s.requests.at(id);
        if (!is_between_rounds(s, r))
            r.declined_by.clear();
        offer_request(s, r, out);
    }
    for (auto const& id : requests_where(s, [&](auto const& r) {
             return awaits_answer(r) && r.offered_at + offer_timeout <= s.now;
         }))
        offer_to_next_peer(s, s.requests.at(id), out);
}

void on_hand_over(node_state& s, peer_state const& p, hand_over const& e,
                  effects& out)
{
    auto* const existing = find_request(s, e.request.id);
    bool const known = existing != nullptr && existing->offer_number >= e.offer;
    bool const accepts =
        !s.leaving && s.config.routes.contains(e.request.route);
    send_to_peer(s, p.link,
                 hand_over_answer{e.request.id, e.offer, known || accepts},
                 out);
    if (known || !accepts)
        return;
    record_decision(s, e.request.id, "hand_over.take", p.node);
    emit_log_event(out, events::taken_over, e.request.id, p.node,
                   std::to_string(e.chunks.size()) + " chunks");
    if (existing != nullptr)
        end_older_offer(s, *existing, out);
    take_over(s, e, out);
}

void on_hand_over_answer(node_state& s, peer_state const& p,
                         hand_over_answer const& e, effects& out)
{
    auto* const r = find_request(s, e.id);
    bool const awaited =
        r != nullptr && awaits_answer(*r) && r->offer_number == e.offer;
    if (!awaited)
        return;
    if (!e.accepted) {
        offer_to_next_peer(s, *r, out);
        return;
    }
    r->taken_by = p.node;
    s.counts.handed_over++;
    record_decision(s, e.id, "hand_over.give", p.node);
    emit_log_event(out, events::handed_over, e.id, p.node,
                   std::to_string(chunk_count(*r)) + " chunks");
    if (r->caller_present)
        out.push_back(relay{e.id, p.caller_address, r->sent_chunks});
    else
        on_relay_ended(s, {e.id});
}

void on_relay_ended(node_state& s, relay_ended const& e)
{
    auto* const r = find_request(s, e.id);
    bool const was_taken = r != nullptr &&
                           r->phase == request_phase::handed_over &&
                           !r->taken_by.empty();
    if (!was_taken)
        return;
    settle_request(s, *r);
}

void on_offer_link_closed(node_state& s, std::uint64_t link, effects& out)
{
    for (auto const& id : requests_where(s, [&](auto const& r) {
             return awaits_answer(r) && r.offered_to == link;
         }))
        offer_to_next_peer(s, s.requests.at(id), out);
}

bool learn_successor(node_state& s, successor_news const& e)
{
    if (std::ranges::find(s.successors, e) != s.successors.end())
        return false;
    s.successors.push_back(e);
    if (s.successors.size() > max_successors)
        s.successors.pop_front();
    return true;
}

std::vector<std::string> holders_of(node_state const& s, request_id const& id)
{
    auto const dot = id.find('.');
    auto const name = id.substr(0, dot);
    std::uint64_t incarnation = 0;
    if (dot != id.npos)
        std::from_chars(id.data() + dot + 1, id.data() + id.size(),
                        incarnation);
    std::vector<std::string> names;
    auto const add_successors = [&](auto const& matches) {
        for (auto it = s.successors.rbegin(); it != s.successors.rend(); ++it)
            if (matches(*it) &&
                std::ranges::find(names, it->successor) == names.end())
                names.push_back(it->successor);
    };
    auto const origin = s.members.find(name);
    bool const origin_is_up = origin != s.members.end() && origin->second.up &&
                              origin->second.incarnation == incarnation;
    if (origin_is_up)
        names.push_back(name);
    add_successors([&](auto const& it) {
        return it.node == name && it.incarnation == incarnation;
    });
    for (std::size_t i = origin_is_up ? 1 : 0; i < names.size(); ++i)
        add_successors([&](auto const& it) { return it.node == names[i]; });
    std::vector<std::string> out;
    for (auto const& it : names) {
        auto const member = s.members.find(it);
        bool const is_other_node =
            it != s.settings.name && member != s.members.end();
        if (is_other_node && member->second.up)
            out.push_back(member->second.caller_address);
    }
    return out;
}

} // namespace papayahook::core
