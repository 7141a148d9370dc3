// Hand-over: a leaving node passes on what it has accepted.
//
// Its callers' connections end with it, but not their answers: each request
// goes to a peer with all of the answer so far, the peer goes on with it, and
// the leaving node relays the rest for as long as it lives. After that the
// caller re-attaches at any node, which finds the holder by the successors
// that are known.
//
// Requests that may not be repeated stay: a call that may have run cannot be
// made again elsewhere.
#include "core/internal.hpp"

#include <algorithm>
#include <charconv>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr auto answer_patience = 700ms; // for a peer's word on an offer
constexpr auto round_pause = 1s;        // after no peer took a request
constexpr std::size_t max_successors = 1024;

bool has_ended(request_state const& r)
{
    return r.ended != time_point{};
}

bool may_move(node_state const& s, request_state const& r)
{
    if (r.phase == request_phase::handed_over || !r.taken_by.empty())
        return false;
    if (has_ended(r)) // someone may still ask for the answer
        return !r.caller_present && holds_answer(r);
    bool const due = s.now >= s.leaving_since + s.settings.hand_over_after;
    bool const paused =
        r.offered_at != time_point{} && s.now < r.offered_at + round_pause;
    return due && !paused && r.repeatable && holds_answer(r);
}

// The peer for a request: another zone first, for a whole zone may be leaving.
peer_state const* pick_successor(node_state const& s, request_state const& r)
{
    auto const fits = [&](peer_state const& p) {
        auto const it = s.members.find(p.node);
        return it != s.members.end() && it->second.up && !p.last.leaving &&
               std::ranges::find(r.declined, p.node) == r.declined.end();
    };
    auto const rank = [&](peer_state const& p) {
        return std::tuple(p.zone != s.settings.zone,
                          hash_of(s.settings.name + "/" + p.node), p.link);
    };
    peer_state const* best = nullptr;
    for (auto const& [link, p] : s.peers)
        if (fits(p) && (best == nullptr || rank(p) > rank(*best)))
            best = &p;
    return best;
}

hand_over offer_of(node_state const& s, request_state const& r)
{
    hand_over out;
    out.offer = r.offer;
    out.asked = r.asked;
    out.organisation = r.organisation;
    out.klass = r.klass;
    out.left = std::chrono::duration_cast<std::chrono::milliseconds>(
        r.deadline - s.now);
    out.endpoint = r.endpoint;
    out.version = r.chunks.empty() ? std::string{} : r.version;
    out.status = r.status;
    out.content_type = r.content_type;
    out.head_sent = r.head_sent;
#if !PAPAYAHOOK_MUTATION_HAND_OVER_WITHOUT_CHUNKS
    out.chunks = r.chunks;
#endif
    out.ended = has_ended(r);
    out.failure = r.failure;
    return out;
}

// False when no peer is left that might take it.
bool offer(node_state& s, request_state& r, effects& out)
{
    auto const* const p = pick_successor(s, r);
    if (p == nullptr)
        return false;
    successor_news const item{s.settings.name, s.settings.incarnation, p->node};
    if (learn_successor(s, item)) {
        news what;
        what.successors.push_back(item);
        spread(s, what, 0, out);
    }
    stop_call(s, r, out);
    r.phase = request_phase::handed_over;
    r.offer++;
    r.offered_to = p->link;
    r.offered_at = s.now;
    send_to_peer(s, p->link, offer_of(s, r), out);
    return true;
}

// Not taken, or no word: the next peer. After the last one this node goes on
// by itself for a while and then asks them all again.
void offer_elsewhere(node_state& s, request_state& r, effects& out)
{
    auto const p = s.peers.find(r.offered_to);
    if (p != s.peers.end())
        r.declined.push_back(p->second.node);
    r.offered_to = 0;
    if (offer(s, r, out))
        return;
    r.declined.clear();
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
    r.asked = e.asked;
    r.asked.keep = true; // its caller comes back for it
    r.organisation = e.organisation;
    r.klass = e.klass;
    r.caller_present = false;
    r.arrived = s.now;
    r.deadline = s.now + e.left;
    r.endpoint = e.endpoint;
    r.version = e.version;
    r.status = e.status;
    r.content_type = e.content_type;
    r.head_sent = e.head_sent;
    r.chunks = e.chunks;
    r.first_chunk_seen = !e.chunks.empty();
    r.failure = e.failure;
    r.offer = e.offer;
    s.counts.taken_over++;
    s.in_flight[r.organisation]++;
    auto& kept = s.requests[e.asked.id] = std::move(r);
    if (e.ended) {
        end_request(s, kept);
        return;
    }
    if (!kept.endpoint.empty())
        note_prefixes(s, kept);
    renew_deadline(s, kept);
    enqueue(s, kept, out);
}

// The request has no more to do here; an answer that had ended stays so.
void settle_request(node_state& s, request_state& r)
{
    if (has_ended(r))
        r.phase = request_phase::done;
    else
        end_request(s, r);
}

// An offer whose answer did not reach the leaving node in time has been gone
// on with there: a newer one takes its place.
void give_up_older(node_state& s, request_state& r, effects& out)
{
    stop_call(s, r, out);
    settle_request(s, r);
}

} // namespace

void hand_over_requests(node_state& s, effects& out)
{
#if PAPAYAHOOK_MUTATION_NO_HAND_OVER
    return;
#endif
    if (!s.leaving)
        return;
    for (auto const& id :
         requests_where(s, [&](auto const& r) { return may_move(s, r); }))
        offer(s, s.requests.at(id), out);
    for (auto const& id : requests_where(s, [&](auto const& r) {
             return awaits_answer(r) && r.offered_at + answer_patience <= s.now;
         }))
        offer_elsewhere(s, s.requests.at(id), out);
}

void on_hand_over(node_state& s, peer_state const& p, hand_over const& e,
                  effects& out)
{
    auto* const held = find_request(s, e.asked.id);
    bool const known = held != nullptr && held->offer >= e.offer;
    bool const takes = !s.leaving && s.config.routes.contains(e.asked.route);
    send_to_peer(s, p.link,
                 hand_over_answer{e.asked.id, e.offer, known || takes}, out);
    if (known || !takes)
        return;
    remember(s, e.asked.id, "hand_over.take", p.node);
    note(out, events::taken_over, e.asked.id, p.node,
         std::to_string(e.chunks.size()) + " chunks");
    if (held != nullptr)
        give_up_older(s, *held, out);
    take_over(s, e, out);
}

void on_hand_over_answer(node_state& s, peer_state const& p,
                         hand_over_answer const& e, effects& out)
{
    auto* const r = find_request(s, e.id);
    bool const awaited =
        r != nullptr && awaits_answer(*r) && r->offer == e.offer;
    if (!awaited)
        return;
    if (!e.taken) {
        offer_elsewhere(s, *r, out);
        return;
    }
    r->taken_by = p.node;
    s.counts.handed_over++;
    remember(s, e.id, "hand_over.give", p.node);
    note(out, events::handed_over, e.id, p.node,
         std::to_string(r->chunks.size()) + " chunks");
    if (r->caller_present)
        out.push_back(relay{e.id, p.caller_address, r->sent});
    else
        on_relay_ended(s, {e.id});
}

void on_relay_ended(node_state& s, relay_ended const& e)
{
    auto* const r = find_request(s, e.id);
    bool const over = r != nullptr && r->phase == request_phase::handed_over &&
                      !r->taken_by.empty();
    if (!over)
        return;
    settle_request(s, *r);
}

void on_offer_lost(node_state& s, std::uint64_t link, effects& out)
{
    for (auto const& id : requests_where(s, [&](auto const& r) {
             return awaits_answer(r) && r.offered_to == link;
         }))
        offer_elsewhere(s, s.requests.at(id), out);
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
    auto const asked = s.members.find(name);
    bool const lives = asked != s.members.end() && asked->second.up &&
                       asked->second.incarnation == incarnation;
    if (lives)
        names.push_back(name);
    add_successors([&](auto const& it) {
        return it.node == name && it.incarnation == incarnation;
    });
    for (std::size_t i = lives ? 1 : 0; i < names.size(); ++i)
        add_successors([&](auto const& it) { return it.node == names[i]; });
    std::vector<std::string> out;
    for (auto const& it : names) {
        auto const member = s.members.find(it);
        bool const other = it != s.settings.name && member != s.members.end();
        if (other && member->second.up)
            out.push_back(member->second.caller_address);
    }
    return out;
}

} // namespace papayahook::core
