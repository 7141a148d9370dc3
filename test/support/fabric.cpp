#include "support/fabric.hpp"

#include <algorithm>
#include <charconv>

namespace papayahook::support {

namespace {

using namespace std::chrono_literals;

constexpr int small_capacity = 12;
constexpr int large_capacity = 50;

std::string name_of(std::size_t i)
{
    return "n" + std::to_string(i);
}

std::size_t index_of(std::string const& name)
{
    return static_cast<std::size_t>(std::stoul(name.substr(1)));
}

core::nodes_listed list_of(fabric const& f)
{
    core::nodes_listed out;
    for (auto const& it : f.nodes) {
        core::member_news node;
        node.node = it.settings.name;
        node.zone = it.settings.zone;
        node.peer_address = it.settings.peer_address;
        node.capacity = it.settings.capacity;
        out.nodes.push_back(node);
    }
    return out;
}

bool is_active(fabric const& f, std::size_t i)
{
    return f.running[i] && !f.frozen.contains(i);
}

void dial(fabric& f, std::size_t from, std::string const& name)
{
    auto const to = index_of(name);
    bool const fails = !f.running[to] || f.cut.contains(to) ||
                       f.cut.contains(from) || f.frozen.contains(to);
    if (fails) {
        give(f, from, core::dial_failed{name});
        return;
    }
    auto const link = f.next_link++;
    f.links[link] = {from, to};
    give(f, from, core::peer_opened{link});
    give(f, to, core::peer_opened{link});
}

void close(fabric& f, std::uint64_t link)
{
    auto const it = f.links.extract(link);
    if (it.empty())
        return;
    // Messages that were sent before the close arrive before it.
    for (auto const end : {it.mapped().a, it.mapped().b}) {
        std::vector<core::peer_message> undelivered;
        for (auto& it : f.messages)
            if (it.to == end && it.link == link)
                undelivered.push_back(it.message);
        std::erase_if(f.messages, [&](auto const& it) {
            return it.to == end && it.link == link;
        });
        if (!is_active(f, end) || f.cut.contains(end))
            continue;
        for (auto& message : undelivered)
            give(f, end, core::peer_received{link, std::move(message)});
        give(f, end, core::peer_closed{link});
    }
}

} // namespace

fabric make_fabric(std::size_t nodes, std::size_t zones, std::size_t large)
{
    fabric f;
    f.nodes.resize(nodes);
    f.running.assign(nodes, true);
    f.follows.resize(nodes);
    f.others.resize(nodes);
    for (std::size_t i = 0; i < nodes; ++i) {
        auto& s = f.nodes[i].settings;
        s.name = name_of(i);
        s.zone = "zone-" + std::to_string(i % zones);
        s.incarnation = 1;
        s.peer_address = s.name;
        s.capacity = i < large ? large_capacity : small_capacity;
        s.heartbeat_period = 250ms;
        s.peer_timeout = 2s;
        s.hub_timeout = 1s;
        s.duties_enabled = true;
        s.hand_over_enabled = false;
    }
    auto const list = list_of(f);
    for (std::size_t i = 0; i < nodes; ++i)
        give(f, i, list);
    return f;
}

void give(fabric& f, std::size_t node, decltype(core::event::body) what)
{
    if (!is_active(f, node))
        return;
    core::effects out;
    core::reduce(f.nodes[node], {f.now, std::move(what)}, out);
    for (auto& it : out) {
        if (auto* const m = std::get_if<core::send_peer>(&it)) {
            f.messages_sent++;
            if (auto const* const n = std::get_if<core::news>(&m->message))
                f.entries_sent += n->members.size() + n->endpoints.size();
            auto const link = f.links.find(m->link);
            if (link == f.links.end() || f.cut.contains(node))
                continue;
            auto const to =
                link->second.a == node ? link->second.b : link->second.a;
            auto const delay = f.delays.find(to);
            auto const due =
                f.now + (delay == f.delays.end() ? 0ms : delay->second);
            f.messages.push_back({to, m->link, std::move(m->message), due});
        }
        else if (auto const* const d = std::get_if<core::dial_peer>(&it))
            dial(f, node, d->node);
        else if (auto const* const c = std::get_if<core::close_peer>(&it))
            close(f, c->link);
        else if (auto const* const s = std::get_if<core::follow_store>(&it))
            f.follows[node] = *s;
        else
            f.others[node].push_back(std::move(it));
    }
}

void deliver(fabric& f)
{
    auto const states_no_era = [&](std::uint64_t link) {
        auto const& ends = f.links.at(link);
        return f.without_eras.contains(ends.a) ||
               f.without_eras.contains(ends.b);
    };
    std::deque<fabric_message> delayed;
    while (!f.messages.empty()) {
        auto it = std::move(f.messages.front());
        f.messages.pop_front();
        if (it.due > f.now || f.frozen.contains(it.to))
            delayed.push_back(std::move(it));
        else if (f.links.contains(it.link) && !f.cut.contains(it.to)) {
            auto* const beat = std::get_if<core::heartbeat>(&it.message);
            if (beat != nullptr && states_no_era(it.link))
                beat->era = 0;
            give(f, it.to, core::peer_received{it.link, std::move(it.message)});
        }
    }
    f.messages = std::move(delayed);
}

void run(fabric& f, std::chrono::milliseconds time)
{
    for (auto t = 0ms; t < time; t += 50ms) {
        f.now += 50ms;
        for (std::size_t i = 0; i < f.nodes.size(); ++i)
            give(f, i, core::tick{});
        deliver(f);
    }
}

void kill(fabric& f, std::size_t node)
{
    f.running[node] = false;
    std::vector<std::uint64_t> own_links;
    for (auto const& [link, it] : f.links)
        if (it.a == node || it.b == node)
            own_links.push_back(link);
    for (auto const link : own_links)
        close(f, link);
}

void restart(fabric& f, std::size_t node)
{
    auto settings = f.nodes[node].settings;
    settings.incarnation++;
    f.nodes[node] = {};
    f.nodes[node].settings = settings;
    f.running[node] = true;
    give(f, node, list_of(f));
}

std::set<std::size_t> linked_with(fabric const& f, std::size_t node)
{
    std::set<std::size_t> out;
    for (auto const& [link, p] : f.nodes[node].peers)
        if (!p.node.empty())
            out.insert(index_of(p.node));
    return out;
}

std::optional<int> reach(fabric const& f)
{
    std::map<std::size_t, int> hops{{0, 0}};
    std::deque<std::size_t> open{0};
    int farthest = 0;
    while (!open.empty()) {
        auto const at = open.front();
        open.pop_front();
        farthest = std::max(farthest, hops[at]);
        for (auto const next : linked_with(f, at))
            if (hops.emplace(next, hops[at] + 1).second)
                open.push_back(next);
    }
    if (hops.size() != f.nodes.size())
        return std::nullopt;
    return farthest;
}

core::config_snapshot chat_configuration(core::offset applied)
{
    core::config_snapshot out;
    out.applied = applied;
    out.lists_endpoints = false;
    core::route r;
    r.name = "chat";
    r.pool = "model";
    r.anonymous = true;
    out.routes.push_back({r, applied});
    return out;
}

} // namespace papayahook::support
