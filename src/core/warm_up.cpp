// Warm-up: an endpoint that is cold, as after its start, handles few requests
// per second, and all nodes together must not send it more.
//
// One node sends to a cold endpoint, selected by rendezvous hashing over the
// live members, and the others send it nothing. While views of the members
// differ, two nodes may send; the rate of each is low enough for two.
#include "core/internal.hpp"

#include <algorithm>

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

// Fraction of the allowed rate that one node uses. Two nodes stay below it.
constexpr double sender_share = 0.4;
// Calls that may be sent at once: one, and those of this part of a second.
constexpr double burst_seconds = 0.1;
// An entry states the time left as of when it was written, and arrives later by
// a time that varies. Ends that differ by less are the same.
constexpr auto end_tolerance = 1'000ms;
// A node that takes over from another one waits until that one has learned it.
constexpr auto takeover_delay = 1'000ms;
constexpr auto choice_period = 100ms;
constexpr double us_per_second = 1e6;
constexpr double max_wait_seconds = 3'600;

bool is_cold_now(node_state const& s, endpoint_state const& it)
{
    return it.cold_until != time_point{} &&
           s.now < it.cold_until + duration(end_tolerance);
}

// Calls per second that this node may send a cold endpoint of the pool; 0: no
// limit.
double sender_rate(node_state const& s, std::string const& pool)
{
    auto const it = s.config.pools.find(pool);
    return it == s.config.pools.end()
               ? 0
               : sender_share * s.settings.cold_overshoot *
                     it->second.cold_rate;
}

double budget_now(node_state const& s, endpoint_state const& it, double rate)
{
    auto const passed = std::max(duration(0), s.now - it.cold_budget_at);
    return std::min(1 + burst_seconds * rate,
                    it.cold_budget +
                        rate * std::chrono::duration<double>(passed).count());
}

// A node that sees most members as down may itself be cut off: it then sends
// only if it is the first of all members, so that of several parts of a divided
// fleet at most two send.
std::string choose_sender(node_state const& s, std::string const& endpoint)
{
    auto const live = static_cast<std::size_t>(live_members(s));
    bool const sees_most = 2 * live > s.members.size();
    std::pair<std::uint64_t, std::string> best;
    auto const offer = [&](std::string const& node) {
        best = std::max(best, {hash_of(endpoint + "/" + node), node});
    };
    for (auto const& [name, it] : s.members)
        if (name != s.settings.name && (it.up || !sees_most))
            offer(name);
    if (!s.leaving)
        offer(s.settings.name);
    return best.second;
}

void update_sender(node_state& s, std::string const& endpoint,
                   endpoint_state& it)
{
    auto sender = choose_sender(s, endpoint);
    if (sender == it.cold_sender)
        return;
    bool const takes_over = !it.cold_sender.empty();
    it.cold_sender = std::move(sender);
    it.cold_budget = 0;
    it.cold_budget_at =
        s.now + (takes_over ? duration(takeover_delay) : duration(0));
}

endpoint_state const* cold_state(node_state const& s, endpoint const& e)
{
    auto const it = s.endpoints.find(e.name);
    bool const limited = it != s.endpoints.end() &&
                         is_cold_now(s, it->second) &&
                         sender_rate(s, e.pool) > 0;
    return limited ? &it->second : nullptr;
}

} // namespace

bool is_cold(node_state const& s, endpoint const& e)
{
    return cold_state(s, e) != nullptr;
}

time_point warm_up_allows_from(node_state const& s, endpoint const& e)
{
#if PAPAYAHOOK_MUTATION_NO_WARM_UP
    return {};
#endif
    auto const* const it = cold_state(s, e);
    if (it == nullptr)
        return {};
    if (it->cold_sender != s.settings.name)
        return it->cold_until + duration(end_tolerance);
    auto const rate = sender_rate(s, e.pool);
    double const missing = 1 - budget_now(s, *it, rate);
    if (missing <= 0)
        return {};
    double const seconds = std::min(max_wait_seconds, missing / rate);
    return std::max(s.now, it->cold_budget_at) +
           duration(static_cast<std::int64_t>(seconds * us_per_second) + 1);
}

bool warm_up_allows_call(node_state const& s, endpoint const& e)
{
    return warm_up_allows_from(s, e) <= s.now;
}

void count_cold_call(node_state& s, request_state& r, endpoint const& e)
{
    r.on_cold_endpoint = is_cold(s, e);
    if (!r.on_cold_endpoint)
        return;
    auto& it = s.endpoints[e.name];
    it.cold_budget = budget_now(s, it, sender_rate(s, e.pool)) - 1;
    it.cold_budget_at = s.now;
}

bool learn_cold_time(node_state& s, endpoint_state& known,
                     endpoint_entry const& e)
{
    if (!e.present)
        return false;
    if (e.cold_left <= 0ms) {
        known.cold_until = {};
        return false; // to peers it stays cold until the time that they know
    }
    auto const end = s.now + duration(std::min<std::chrono::milliseconds>(
                                 e.cold_left, max_endpoint_pause));
    if (known.cold_until != time_point{} &&
        end <= known.cold_until + duration(end_tolerance))
        return false;
    if (!is_cold_now(s, known)) {
        known.cold_sender.clear();
        update_sender(s, e.name, known);
    }
    known.cold_until = end;
    return true;
}

std::chrono::milliseconds cold_left(node_state const& s,
                                    endpoint_state const& known)
{
    if (!is_cold_now(s, known))
        return 0ms;
    return std::max(1ms, std::chrono::ceil<std::chrono::milliseconds>(
                             known.cold_until - s.now));
}

bool is_any_cold(node_state const& s)
{
    return std::ranges::any_of(
        s.endpoints, [&](auto const& it) { return is_cold_now(s, it.second); });
}

void choose_cold_senders(node_state& s)
{
    if (s.now < s.cold_senders_at + duration(choice_period))
        return;
    s.cold_senders_at = s.now;
    for (auto& [name, it] : s.endpoints)
        if (is_cold_now(s, it))
            update_sender(s, name, it);
}

} // namespace papayahook::core
