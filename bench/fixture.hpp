// Shared by the benches of the core: a configured reducer and events.
#pragma once

#include "papayahook/papayahook.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace papayahook::bench {

using namespace std::chrono_literals;

struct size
{
    int runners = 20;
    int zones = 3;
    int slots = 16;
    std::string new_version; // empty: all runners serve "v1"
    int new_runners = 0;
};

inline core::log_entry entry(core::offset at, core::time_point written,
                             core::config_body body, core::offset replaces = 0)
{
    core::config_record rec;
    rec.id = std::to_string(at);
    rec.replaces = replaces;
    rec.body = std::move(body);
    core::log_entry out;
    out.at = at;
    out.written = written;
    out.record = std::move(rec);
    return out;
}

inline core::endpoint runner(int i, size const& z)
{
    core::endpoint e;
    e.name = "r" + std::to_string(i);
    e.kind = core::endpoint_kind::model_runner;
    e.pool = "lm";
    e.address = "127.0.0.1:1";
    e.zone = "zone-" + std::to_string(i % z.zones);
    bool const is_new = i >= z.runners;
    e.version = is_new ? z.new_version : "v1";
    e.slots = z.slots;
    e.incarnation = "1";
    return e;
}

// Returns a node with organisation "acme" (key digest "key"), route "chat" and
// pool "lm".
inline core::node_state make_node(std::string const& name, size const& z,
                                  core::time_point now)
{
    core::node_state s;
    s.settings.name = name;
    s.settings.zone = "zone-0";
    s.settings.incarnation = 1;
    core::log_read read;
    read.stream = "config";
    read.start = 1;
    core::organisation org;
    org.name = "acme";
    org.key_digests = {"key"};
    org.max_in_flight = 1'000'000;
    read.entries.push_back(entry(1, now, org));
    core::route route;
    route.name = "chat";
    route.pool = "lm";
    route.version = "v1";
    route.progress_timeout = 60s; // benches send few chunks
    read.entries.push_back(entry(2, now, route));
    for (int i = 0; i < z.runners + z.new_runners; ++i)
        read.entries.push_back(
            entry(read.entries.size() + 1, now, runner(i, z)));
    read.end = read.entries.size();
    core::effects out;
    core::reduce(s, {now, core::log_reachable{true}}, out);
    core::reduce(s, {now, read}, out);
    return s;
}

inline core::request_arrived request(std::string id)
{
    core::request_arrived it;
    it.id = std::move(id);
    it.key_digest = "key";
    it.route = "chat";
    it.model = true;
    it.prompt_tokens = 200;
    return it;
}

} // namespace papayahook::bench
