#include "support/runners.hpp"

#include <algorithm>
#include <utility>

namespace papayahook::support {

namespace {

using namespace std::chrono_literals;

constexpr auto step_time = 50ms;
constexpr auto first_chunk_after = 100ms;
constexpr auto end_after = 300ms;
constexpr auto away_time = 4s;
constexpr int tokens_per_part = 100;

std::string incarnation_of(runner_site const& s, std::string const& name)
{
    return std::to_string(s.runners.at(name).incarnation);
}

core::endpoint_entry entry_of(runner_site const& s, std::string const& name)
{
    static core::offset at = 1;
    core::endpoint_entry out;
    out.at = at++;
    out.name = name;
    out.present = true;
    out.value.name = name;
    out.value.pool = "lm";
    out.value.kind = core::endpoint_kind::model_runner;
    out.value.address = "10.0.0.1:80";
    out.value.zone = "zone-0";
    out.value.incarnation = incarnation_of(s, name);
    out.value.slots = 64;
    return out;
}

core::config_snapshot chat_configuration(int max_attempts)
{
    core::config_snapshot out;
    out.applied = 1;
    out.lists_endpoints = false;
    core::organisation org;
    org.name = "acme";
    org.key_digests = {"key"};
    out.organisations.push_back({org, 1});
    core::route chat;
    chat.name = "chat";
    chat.pool = "lm";
    chat.resumable = true;
    chat.streams = true;
    chat.max_attempts = max_attempts;
    chat.deadline = 4s;
    chat.deadline_covers_body = true;
    out.routes.push_back({chat, 1});
    return out;
}

bool has_ending_part(runner_site const& s, core::request_id const& id)
{
    return std::ranges::any_of(s.requests.at(id).parts, [&](auto part) {
        return s.ending_parts.contains(part);
    });
}

void answer_checks(runner_site& s)
{
    std::vector<runner_site::open_check> due;
    std::ranges::copy_if(s.checks, std::back_inserter(due),
                         [&](auto const& it) { return it.due <= s.f.now; });
    std::erase_if(s.checks, [&](auto const& it) { return it.due <= s.f.now; });
    for (auto const& it : due)
        give(s.f, it.node,
             core::endpoint_checked{it.what.endpoint, it.what.incarnation,
                                    s.runners.at(it.what.endpoint).back_at >
                                        s.f.now});
}

// Effects that the fabric leaves to others.
struct effect_sink
{
    runner_site& s;
    std::size_t node;

    void operator()(core::dispatch const& it)
    {
        s.requests.at(it.id).calls++;
        if (has_ending_part(s, it.id))
            s.ending_calls.push_back(s.f.now);
        auto const& r = s.runners.at(it.endpoint);
        bool const is_there = r.back_at <= s.f.now &&
                              it.incarnation == std::to_string(r.incarnation);
        if (is_there)
            s.calls.push_back({node, it, s.f.now});
        else
            give(s.f, node,
                 core::call_failed{it.call, core::step::connect, false,
                                   "Connection refused"});
    }
    void operator()(core::check_endpoint const& it)
    {
        s.checks.push_back({node, it, s.f.now + s.check_time});
        if (s.check_time == 0ms)
            answer_checks(s);
    }
    void operator()(core::cancel_call const& it)
    {
        std::erase_if(s.calls, [&](auto const& c) {
            return c.node == node && c.what.call == it.call;
        });
    }
    void operator()(core::refuse const& it)
    {
        s.requests.at(it.id).refused = it.why;
    }
    void operator()(core::fail_answer const& it)
    {
        s.requests.at(it.id).refused = it.why;
    }
    void operator()(core::finish_answer const& it)
    {
        s.requests.at(it.id).answered = true;
    }
    template <class T>
    void operator()(T const&)
    {
    }
};

void carry_out(runner_site& s)
{
    for (bool any = true; any;) {
        any = false;
        for (std::size_t i = 0; i < s.f.nodes.size(); ++i) {
            auto const effects = std::exchange(s.f.others[i], {});
            any = any || !effects.empty();
            for (auto const& it : effects)
                std::visit(effect_sink{s, i}, it);
        }
    }
}

void answer_calls(runner_site& s)
{
    for (auto const& call : std::vector(s.calls)) {
        auto const it = std::ranges::find_if(s.calls, [&](auto const& c) {
            return c.node == call.node && c.what.call == call.what.call;
        });
        if (it == s.calls.end())
            continue; // broken off meanwhile
        auto const age = s.f.now - it->started;
        auto const index = it->what.resume_chunks.size();
        if (age >= first_chunk_after && has_ending_part(s, it->what.id)) {
            end_runner(s, it->what.endpoint, away_time);
        }
        else if (age >= first_chunk_after && !it->answering) {
            it->answering = true;
            give(s.f, call.node,
                 core::answer_head{call.what.call, 200, "text/event-stream"});
            give(s.f, call.node,
                 core::answer_chunk{call.what.call, index, "a"});
        }
        else if (age >= end_after) {
            s.calls.erase(it);
            give(s.f, call.node,
                 core::answer_chunk{call.what.call, index + 1, "b"});
            give(s.f, call.node, core::answer_end{call.what.call, index + 2});
        }
    }
    carry_out(s);
}

void list_runner(runner_site& s, std::string const& name)
{
    auto const entry = entry_of(s, name);
    for (std::size_t i = 0; i < s.f.nodes.size(); ++i)
        give(s.f, i, core::endpoints_listed{{entry}, {}});
}

} // namespace

runner_site make_runner_site(std::size_t nodes, std::size_t runners,
                             unsigned seed, int max_attempts)
{
    runner_site s;
    s.random.seed(seed);
    s.f = make_fabric(nodes, 1, nodes);
    for (std::size_t i = 0; i < runners; ++i)
        s.runners["r" + std::to_string(i)] = {};
    run(s.f, 2s); // until all nodes are linked
    for (std::size_t i = 0; i < nodes; ++i)
        give(s.f, i, core::config_published{chat_configuration(max_attempts)});
    for (auto const& [name, it] : s.runners)
        list_runner(s, name);
    carry_out(s);
    return s;
}

core::request_id ask(runner_site& s, std::size_t node,
                     std::vector<std::uint64_t> const& parts)
{
    core::request_arrived it;
    it.id = "q" + std::to_string(s.next_request++);
    it.key_digest = "key";
    it.route = "chat";
    it.via_model_path = true;
    it.shared_parts = parts;
    std::uint64_t chain = 0;
    for (auto const part : parts) {
        chain = core::hash_of(std::to_string(chain) + std::to_string(part));
        it.prefix_blocks.push_back(chain);
        it.block_tokens.push_back(tokens_per_part);
    }
    it.prefix_blocks.push_back(core::hash_of(it.id));
    it.block_tokens.push_back(tokens_per_part);
    it.prompt_tokens =
        tokens_per_part * static_cast<int>(it.block_tokens.size());
    s.requests[it.id] = {node, parts, s.f.now};
    give(s.f, node, it);
    carry_out(s);
    return it.id;
}

void end_runner(runner_site& s, std::string name,
                std::chrono::milliseconds away)
{
    auto& r = s.runners.at(name);
    r.incarnation++;
    r.back_at = s.f.now + away;
    s.ends.push_back(s.f.now);
    auto const calls = s.calls;
    std::erase_if(s.calls,
                  [&](auto const& c) { return c.what.endpoint == name; });
    for (auto const& c : calls) {
        if (c.what.endpoint != name)
            continue;
        core::call_failed failed{c.what.call, core::step::receive, true,
                                 "the connection ended before the answer did"};
        failed.closed_by_endpoint = true;
        give(s.f, c.node, failed);
    }
    carry_out(s);
}

void run(runner_site& s, std::chrono::milliseconds time)
{
    for (auto t = 0ms; t < time; t += step_time) {
        auto const before = s.f.now;
        run(s.f, step_time);
        for (auto const& [name, it] : s.runners)
            if (it.back_at > before && it.back_at <= s.f.now)
                list_runner(s, name);
        answer_checks(s);
        carry_out(s);
        answer_calls(s);
    }
}

} // namespace papayahook::support
