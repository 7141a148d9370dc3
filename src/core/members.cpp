// Members: links with heartbeats, news by flooding, duties by hash.
#include "core/internal.hpp"

#include <algorithm>

namespace papayahook::core {

namespace {

constexpr std::size_t small_fleet = 8; // up to here every pair is linked

member_news& self_entry(node_state& s)
{
    auto& it = s.members[s.settings.name];
    it.node = s.settings.name;
    it.incarnation = s.settings.incarnation;
    it.zone = s.settings.zone;
    it.caller_address = s.settings.caller_address;
    it.up = !s.leaving;
    return it;
}

heartbeat own_heartbeat(node_state& s)
{
    heartbeat out;
    out.config = s.config.applied;
    out.in_flight = static_cast<int>(s.calls.size());
    out.leaving = s.leaving;
    tell_quotas(s, out);
    for (auto const& [name, it] : s.endpoints)
        if (it.in_flight > 0)
            out.calls[name] = {it.in_flight, it.tokens};
    out.work = own_work(s);
    out.usage = own_usage(s);
    return out;
}

bool is_empty(news const& it)
{
    return it.leaving.empty() && it.vetoes.empty() && it.members.empty() &&
           it.counts.empty() && it.successors.empty() && it.endpoints.empty();
}

// All that a peer which was away may have missed.
news all_news(node_state& s)
{
    news out;
    self_entry(s);
    out.leaving.assign(s.known_leaving.begin(), s.known_leaving.end());
    for (auto const& [move, why] : s.vetoes)
        out.vetoes.push_back({move.first, move.second, why});
    for (auto const& [name, it] : s.members)
        out.members.push_back(it);
    out.counts = own_counts(s);
    out.successors.assign(s.successors.begin(), s.successors.end());
    out.endpoints = all_entries(s);
    return out;
}

bool supersedes(member_news const& a, member_news const& b)
{
    if (a.incarnation != b.incarnation)
        return a.incarnation > b.incarnation;
    return a.sequence > b.sequence;
}

// Takes in what is newer than known; a member's own "down" is refuted.
bool learn_member(node_state& s, member_news const& e, effects& out)
{
    auto& known = s.members[e.node];
    if (e.node == s.settings.name) {
        bool const false_word = e.incarnation == s.settings.incarnation &&
                                !e.up && !s.leaving &&
                                e.sequence >= known.sequence;
        if (!false_word)
            return false;
        known.sequence = e.sequence + 1;
        news item;
        item.members.push_back(self_entry(s));
        spread(s, item, 0, out);
        return false;
    }
    if (!known.node.empty() && !supersedes(e, known))
        return false;
    bool const changed = known.up != e.up || known.node.empty();
    known = e;
    if (changed)
        note(out, events::member_changed, e.node, "", e.up ? "up" : "down");
    return true;
}

void on_hello(node_state& s, peer_state& p, hello const& e, effects& out)
{
    if (e.protocol != protocol_version) {
        note(out, events::peer_refused, e.node, "",
             "protocol " + std::to_string(e.protocol));
        out.push_back(close_peer{p.link});
        return;
    }
    p.node = e.node;
    p.incarnation = e.incarnation;
    p.zone = e.zone;
    p.caller_address = e.caller_address;
    note(out, events::peer_up, e.node, e.zone, "");
    auto const known = s.members[e.node];
    member_news up{e.node, e.incarnation, 0, true, e.zone, e.caller_address};
    if (known.incarnation == e.incarnation)
        up.sequence = known.sequence + (known.up ? 0 : 1);
    if (learn_member(s, up, out)) {
        news item;
        item.members.push_back(up);
        spread(s, item, p.link, out);
    }
}

void on_heartbeat(node_state& s, peer_state& p, heartbeat const& e,
                  effects& out)
{
    learn_spending(s, p, e);
    replace_load(s, p.last, e);
    p.last = e;
    learn_usage(s, p, e.usage);
    if (e.config > s.config.applied)
        send_to_peer(s, p.link, config_request{s.config.applied + 1}, out);
}

void on_news(node_state& s, peer_state const& p, news const& e, effects& out)
{
    news fresh;
    for (auto const& it : e.endpoints)
        learn_endpoint(s, it, out); // spreads what is new itself
    for (auto const& it : e.leaving)
        learn_leaving(s, it, out);
    for (auto const& it : e.vetoes)
        learn_veto(s, it, out);
    std::ranges::copy_if(
        e.members, std::back_inserter(fresh.members),
        [&](auto const& it) { return learn_member(s, it, out); });
    std::ranges::copy_if(e.counts, std::back_inserter(fresh.counts),
                         [&](auto const& it) { return learn_counts(s, it); });
    std::ranges::copy_if(
        e.successors, std::back_inserter(fresh.successors),
        [&](auto const& it) { return learn_successor(s, it); });
    spread(s, fresh, p.link, out);
}

void on_config_request(node_state& s, peer_state const& p,
                       config_request const& e, effects& out)
{
    auto const& held = s.config.entries;
    if (s.config.applied < e.from)
        return;
    bool const whole = !held.empty() && held.front().at <= e.from;
    if (!whole) {
        send_to_peer(s, p.link, take_snapshot(s.config), out);
        return;
    }
    config_records reply;
    std::ranges::copy_if(held, std::back_inserter(reply.entries),
                         [&](auto const& it) { return it.at >= e.from; });
    send_to_peer(s, p.link, std::move(reply), out);
}

void lose_peer(node_state& s, std::uint64_t link, std::string const& why,
               effects& out)
{
    auto const it = s.peers.find(link);
    if (it == s.peers.end())
        return;
    auto const p = it->second;
    replace_load(s, p.last, {});
    s.peers.erase(it);
    on_offer_lost(s, link, out);
    if (p.node.empty())
        return;
    note(out, events::peer_down, p.node, "", why);
    bool const other_link = std::ranges::any_of(
        s.peers, [&](auto const& n) { return n.second.node == p.node; });
    if (other_link)
        return;
    auto down = s.members[p.node];
    if (down.incarnation != p.incarnation || !down.up)
        return;
    down.up = false;
    down.sequence++;
    if (learn_member(s, down, out)) {
        news item;
        item.members.push_back(down);
        spread(s, item, 0, out);
    }
}

} // namespace

std::vector<std::string> links_to_dial(std::string const& self,
                                       std::vector<std::string> const& names,
                                       int degree)
{
    std::vector<std::string> out;
    if (names.size() <= small_fleet) {
        // One of each pair dials.
        std::ranges::copy_if(names, std::back_inserter(out),
                             [&](auto const& it) { return it > self; });
        return out;
    }
    // Successors on rings of different order: a random regular graph.
    for (int ring = 0; ring < degree / 2; ++ring) {
        auto const salt = std::to_string(ring) + "/";
        auto const place = [&](std::string const& it) {
            return std::pair(hash_of(salt + it), it);
        };
        auto sorted = names;
        sorted.push_back(self);
        std::ranges::sort(sorted, {}, place);
        auto const here = std::ranges::find(sorted, self);
        auto const next = std::next(here);
        auto const& pick = next == sorted.end() ? sorted.front() : *next;
        if (pick != self && std::ranges::find(out, pick) == out.end())
            out.push_back(pick);
    }
    return out;
}

std::ptrdiff_t live_members(node_state const& s)
{
    return std::ranges::count_if(s.members,
                                 [](auto const& it) { return it.second.up; });
}

int duty_rank(node_state const& s, std::string const& duty)
{
    auto const own = hash_of(duty + "/" + s.settings.name);
    return static_cast<int>(
        std::ranges::count_if(s.members, [&](auto const& it) {
            return it.second.up && it.first != s.settings.name &&
                   hash_of(duty + "/" + it.first) > own;
        }));
}

void send_to_peer(node_state& s, std::uint64_t link, peer_message message,
                  effects& out)
{
    s.counts.peer_messages++;
    out.push_back(send_peer{link, std::move(message)});
}

void spread(node_state& s, news const& what, std::uint64_t except, effects& out)
{
    if (is_empty(what))
        return;
    for (auto const& [link, p] : s.peers)
        if (link != except && !p.node.empty())
            send_to_peer(s, link, what, out);
}

void on_peer_opened(node_state& s, peer_opened const& e, effects& out)
{
    auto& p = s.peers[e.link];
    p.link = e.link;
    p.heard = s.now;
    send_to_peer(s, e.link,
                 hello{protocol_version, s.settings.name,
                       s.settings.incarnation, s.settings.zone,
                       s.settings.caller_address, s.settings.hello_proof},
                 out);
    send_to_peer(s, e.link, own_heartbeat(s), out);
    send_to_peer(s, e.link, all_news(s), out);
    if (auto moves = all_pool_moves(s); !moves.moves.empty())
        send_to_peer(s, e.link, std::move(moves), out);
}

void on_peer_message(node_state& s, peer_received const& e, effects& out)
{
    auto const it = s.peers.find(e.link);
    if (it == s.peers.end())
        return;
    auto& p = it->second;
    p.heard = s.now;
    bool const is_hello = std::holds_alternative<hello>(e.message);
    if (p.node.empty() && !is_hello)
        return; // nothing counts before the hello
    std::visit(
        overloaded{
            [&](hello const& m) { on_hello(s, p, m, out); },
            [&](heartbeat const& m) { on_heartbeat(s, p, m, out); },
            [&](news const& m) { on_news(s, p, m, out); },
            [&](config_request const& m) { on_config_request(s, p, m, out); },
            [&](config_records const& m) { apply_entries(s, m.entries, out); },
            [&](config_snapshot const& m) { on_snapshot(s, m, out); },
            [&](hand_over const& m) { on_hand_over(s, p, m, out); },
            [&](hand_over_answer const& m) {
                on_hand_over_answer(s, p, m, out);
            },
            [&](pool_moves const& m) { learn_pool_moves(s, m, out); },
        },
        e.message);
}

void on_peer_closed(node_state& s, peer_closed const& e, effects& out)
{
    lose_peer(s, e.link, "link closed", out);
}

void send_heartbeats(node_state& s, effects& out)
{
    if (s.now < s.heartbeat_at + s.settings.heartbeat_period)
        return;
    s.heartbeat_at = s.now;
    self_entry(s);
    auto const beat = own_heartbeat(s);
    for (auto const& [link, p] : s.peers)
        if (!p.node.empty())
            send_to_peer(s, link, beat, out);
    news counts;
    counts.counts = own_counts(s);
    spread(s, counts, 0, out);
}

// A link may look open long after the other end is gone.
void check_peers(node_state& s, effects& out)
{
    std::vector<std::uint64_t> silent;
    for (auto const& [link, p] : s.peers)
        if (p.heard + s.settings.peer_timeout <= s.now)
            silent.push_back(link);
    for (auto const link : silent) {
        out.push_back(close_peer{link});
        lose_peer(s, link, "no heartbeat in time", out);
    }
}

} // namespace papayahook::core
