// Membership: peer links with heartbeats, flooding of news, and assignment of
// duties by hash.
#include "core/internal.hpp"

#include <algorithm>
#include <utility>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Minimum time between two requests for the configuration. All peers announce a
// new configuration at once, and several may follow in quick succession. One
// reply is enough, because the newest one contains everything.
constexpr auto config_request_interval = 200ms;

member_news& refresh_self_entry(node_state& s)
{
    auto& it = s.members[s.settings.name];
    it.node = s.settings.name;
    it.incarnation = s.settings.incarnation;
    it.zone = s.settings.zone;
    it.caller_address = s.settings.caller_address;
    it.peer_address = s.settings.peer_address;
    it.capacity = s.settings.capacity;
    it.up = !s.leaving;
    return it;
}

bool is_empty(news const& it)
{
    return it.leaving.empty() && it.vetoes.empty() && it.members.empty() &&
           it.counts.empty() && it.successors.empty() && it.endpoints.empty() &&
           it.parts.empty() && it.evacuations.empty();
}

// Members of incarnation 0 are only listed by the registry; a peer that has
// read the list knows them.
news member_entries(node_state& s, bool peer_has_list)
{
    news out;
    refresh_self_entry(s);
    for (auto const& [name, it] : s.members)
        if (it.incarnation != 0 || !peer_has_list)
            out.members.push_back(it);
    return out;
}

news endpoint_entries(node_state const& s)
{
    news out;
    out.leaving.assign(s.known_leaving.begin(), s.known_leaving.end());
    out.endpoints = all_endpoint_entries(s);
    out.evacuations = all_evacuations(s);
    return out;
}

// News that is seldom there, and small.
news other_news(node_state const& s)
{
    news out;
    for (auto const& [move, why] : s.vetoes)
        out.vetoes.push_back({move.first, move.second, why});
    out.counts = own_counts(s);
    out.successors.assign(s.successors.begin(), s.successors.end());
    out.parts = quarantined_parts(s);
    return out;
}

// Sends what the peer may have missed while it was not linked. After the loss
// of a hub most of its nodes know the same, and lists of hundreds of entries
// would keep a small hub busy for tens of milliseconds a node.
void inform_peer(node_state& s, peer_state& p, heartbeat const& first,
                 effects& out)
{
    if (std::exchange(p.is_informed, true))
        return;
    auto const own = digest_news(s);
    auto const known = first.known.value_or(news_digests{});
    auto const send = [&](news item) {
        if (!is_empty(item))
            send_to_peer(s, p.link, std::move(item), out);
    };
    if (known.members != own.members)
        send(member_entries(s, first.listed_nodes >= s.listed_nodes));
    if (known.endpoints != own.endpoints)
        send(endpoint_entries(s));
    send(other_news(s));
}

bool supersedes(member_news const& a, member_news const& b)
{
    if (a.incarnation != b.incarnation)
        return a.incarnation > b.incarnation;
    return a.sequence > b.sequence;
}

// Applies an entry that is newer than the known one and refutes a report that
// this node is down. Returns whether the entry is worth relaying.
bool learn_member(node_state& s, member_news const& e, effects& out)
{
    auto& known = s.members[e.node];
    if (e.node == s.settings.name) {
        bool const is_false_report = e.incarnation == s.settings.incarnation &&
                                     !e.up && !s.leaving &&
                                     e.sequence >= known.sequence;
        if (!is_false_report)
            return false;
        known.sequence = e.sequence + 1;
        news item;
        item.members.push_back(refresh_self_entry(s));
        flood_news(s, item, 0, out);
        return false;
    }
    if (!known.node.empty() && !supersedes(e, known))
        return false;
    bool const changed = known.up != e.up || known.node.empty();
    // A node from the registry's list is assumed to be up; an entry that only
    // confirms this is not relayed.
    bool const worth_relaying = changed || known.incarnation != 0 ||
                                known.caller_address != e.caller_address;
    known = e;
    if (changed) {
        s.links_planned_at = {};
        emit_log_event(out, events::member_changed, e.node, "",
                       e.up ? "up" : "down");
    }
    return worth_relaying;
}

// A new link of a node replaces its older ones.
void drop_older_links(node_state& s, peer_state const& p, hello const& e,
                      effects& out)
{
    std::vector<std::uint64_t> older;
    for (auto const& [link, it] : s.peers)
        if (it.node == e.node && link != p.link)
            older.push_back(link);
    for (auto const link : older) {
        remove_figures(s, s.peers.at(link));
        on_offer_link_closed(s, link, out);
        s.peers.erase(link);
        if (s.hub_link == link)
            s.hub_link = 0;
        out.push_back(close_peer{link});
    }
}

void on_hello(node_state& s, peer_state& p, hello const& e, effects& out)
{
    if (e.protocol != protocol_version) {
        emit_log_event(out, events::peer_refused, e.node, "",
                       "protocol " + std::to_string(e.protocol));
        out.push_back(close_peer{p.link});
        return;
    }
    drop_older_links(s, p, e, out);
    p.node = e.node;
    p.incarnation = e.incarnation;
    p.zone = e.zone;
    p.caller_address = e.caller_address;
    on_link_established(s, p);
    emit_log_event(out, events::peer_up, e.node, e.zone, "");
    auto const known = s.members[e.node];
    member_news up{e.node,           e.incarnation,  0,         true, e.zone,
                   e.caller_address, e.peer_address, e.capacity};
    if (known.incarnation == e.incarnation)
        up.sequence = known.sequence + (known.up ? 0 : 1);
    if (learn_member(s, up, out)) {
        news item;
        item.members.push_back(up);
        flood_news(s, item, p.link, out);
    }
    send_first_heartbeat(s, p, out);
    if (auto moves = all_pool_moves(s); !moves.moves.empty())
        send_to_peer(s, p.link, std::move(moves), out);
}

// Returns how long a heartbeat waited on its way: in the sender's buffers, on a
// slow link, or in the buffers of this node while it was busy or frozen.
duration waiting_time(node_state const& s, peer_state& p, heartbeat const& e)
{
    if (e.sent_at == time_point{})
        return {};
    // The peer wrote it after it had read what it echoes, or this node's hello.
    auto const earliest =
        e.echoed_at == time_point{} ? p.opened_at : e.echoed_at;
    auto const difference = earliest - e.sent_at;
    p.clock_difference =
        std::max(p.clock_difference.value_or(difference), difference);
    return s.now - e.sent_at - *p.clock_difference;
}

bool has_newer_config(node_state const& s, heartbeat const& e)
{
    return is_newer({e.config_version, e.config}, revision_of(s.config));
}

// The same configuration, written again after a return of the store, has a new
// place only.
void learn_config_place(node_state& s, heartbeat const& e)
{
    bool const is_same = e.config_version != 0 &&
                         e.config_version == s.config.version &&
                         !same_era(e.config, s.config.applied);
    if (!is_same || e.config < s.config.applied)
        return;
    s.config.applied = e.config;
    s.config.checkpoint_applied = e.config;
}

// Whether this node has all the registry state for which the heartbeat states
// an age. The configuration is fetched on request. The endpoints' entries are
// sent on a link before the first heartbeat that echoes one of this node, and
// later ones as they become known. Nodes that are not selected to read a
// registry have no such state, and only relay the age.
bool has_all_data_of(node_state const& s, heartbeat const& e)
{
    return s.settings.max_store_age == 0ms ||
           (!has_newer_config(s, e) && e.echoed_at != time_point{});
}

// Whether the age that the heartbeat states is that of data of this era. A node
// that states none may have been reading on, with success and beyond its end, a
// log that has come back from an older copy.
bool states_age_in_era(node_state const& s, heartbeat const& e)
{
    return s.era == 0 || e.era == s.era;
}

void on_heartbeat(node_state& s, peer_state& p, heartbeat const& e,
                  effects& out)
{
    learn_era(s, e.era, out);
    inform_peer(s, p, e, out);
    replace_figures(s, p, e);
    learn_config_place(s, e);
    auto const waited =
        std::chrono::ceil<std::chrono::milliseconds>(waiting_time(s, p, e));
    if (has_all_data_of(s, e)) {
        auto const age = e.store_age + waited;
        states_age_in_era(s, e) ? update_store_age(s, age, out)
                                : learn_store_reached(s, age, out);
    }
    bool const requested_recently =
        s.now < s.config_requested_at + duration(config_request_interval);
    if (!has_newer_config(s, e) || requested_recently)
        return;
    s.config_requested_at = s.now;
    send_to_peer(s, p.link,
                 config_request{s.config.applied + 1, s.config.version}, out);
}

void on_news(node_state& s, peer_state const& p, news const& e, effects& out)
{
    news fresh;
    // Both flood new entries themselves. An endpoint in an evacuated zone must
    // not become known before its evacuation.
    learn_evacuations(s, e.evacuations, out);
    learn_endpoints(s, e.endpoints, p.node, out);
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
    std::ranges::copy_if(
        e.parts, std::back_inserter(fresh.parts),
        [&](auto const& it) { return learn_part(s, it, p.node, out); });
    flood_news(s, fresh, p.link, out);
}

void on_config_request(node_state& s, peer_state const& p,
                       config_request const& e, effects& out)
{
    auto const& entries = s.config.recent_entries;
    config_revision const known{e.version, std::max<offset>(e.from, 1) - 1};
    if (!is_newer(revision_of(s.config), known))
        return;
    bool const is_complete = !entries.empty() && entries.front().at <= e.from;
    if (!is_complete) {
        send_to_peer(s, p.link, take_snapshot(s.config), out);
        return;
    }
    config_records reply;
    std::ranges::copy_if(entries, std::back_inserter(reply.entries),
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
    remove_figures(s, p);
    s.peers.erase(it);
    s.links_planned_at = {};
    if (s.hub_link == link)
        s.hub_link = 0;
    on_offer_link_closed(s, link, out);
    if (p.node.empty())
        return;
    emit_log_event(out, events::peer_down, p.node, "", why);
    if (p.closing || p.last_heartbeat.closing_link)
        return;
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
        flood_news(s, item, 0, out);
    }
}

} // namespace

// The sums do not depend on the order of the entries.
news_digests digest_news(node_state const& s)
{
    auto const add = [](std::uint64_t& sum, auto const&... fields) {
        std::string text;
        ((text += fields, text += '/'), ...);
        sum += hash_of(text);
    };
    using std::to_string;
    news_digests out;
    for (auto const& [name, it] : s.members)
        add(out.members, name, it.peer_address, to_string(it.up));
    for (auto const& [name, it] : s.endpoints)
        if (it.entry.at != 0)
            add(out.endpoints, name, to_string(it.entry.at));
    for (auto const& it : s.known_leaving)
        add(out.endpoints, it.endpoint, it.incarnation);
    for (auto const& [zone, it] : s.evacuations)
        add(out.endpoints, zone, to_string(it.entry.at));
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

void flood_news(node_state& s, news const& what, std::uint64_t except,
                effects& out)
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
    p.heard_at = s.now;
    p.not_running = {};
    p.opened_at = s.now;
    auto const& own = s.settings;
    send_to_peer(s, e.link,
                 hello{protocol_version, own.name, own.incarnation, own.zone,
                       own.caller_address, own.peer_address, own.capacity,
                       own.hello_proof},
                 out);
}

void on_peer_message(node_state& s, peer_received const& e, effects& out)
{
    auto const it = s.peers.find(e.link);
    if (it == s.peers.end())
        return;
    auto& p = it->second;
    p.heard_at = s.now;
    p.not_running = {};
    bool const is_hello = std::holds_alternative<hello>(e.message);
    if (p.node.empty() && !is_hello)
        return; // messages before the hello are ignored
    std::visit(
        overloaded{
            [&](hello const& m) { on_hello(s, p, m, out); },
            [&](heartbeat const& m) { on_heartbeat(s, p, m, out); },
            [&](news const& m) { on_news(s, p, m, out); },
            [&](config_request const& m) { on_config_request(s, p, m, out); },
            [&](config_records const& m) { apply_entries(s, m.entries, out); },
            [&](config_snapshot const& m) { on_snapshot(s, m, p.node, out); },
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

// Closes silent links: a link may look open long after the other end is gone.
void check_peers(node_state& s, effects& out)
{
    std::vector<std::uint64_t> silent;
    for (auto const& [link, p] : s.peers)
        if (p.heard_at + p.not_running + s.settings.peer_timeout <= s.now)
            silent.push_back(link);
    // If all peers are silent at once, this node itself was stalled or
    // disconnected; none of them is reported as down.
    bool const was_stalled =
        silent.size() > 1 && silent.size() == s.peers.size();
    for (auto const link : silent) {
        s.peers.at(link).closing |= was_stalled;
        out.push_back(close_peer{link});
        lose_peer(s, link, "no heartbeat in time", out);
    }
}

} // namespace papayahook::core
