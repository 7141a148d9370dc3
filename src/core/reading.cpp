// Who reads the platform's store. Few nodes read for all; the others take the
// news from them, and with it how old the store's word is that stands behind
// it. A node to whom that word has grown old reads for itself, one node more
// with each step of time, so that readers which are dead, cut off, frozen or
// turned away are replaced without anyone deciding so, and a store that is
// down is not asked by all at once.
#include "core/internal.hpp"

namespace papayahook::core {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t readers = 2;      // while all is well
constexpr auto reader_step = 60ms;      // of age, for each rank
constexpr auto linked_lately = 1'000ms; // else a node is on its own
constexpr auto back_after = 2'500ms;    // without a word: the store was away

bool has_company(node_state const& s)
{
    return std::ranges::any_of(s.peers, [&](auto const& it) {
        return it.second.heard + duration(linked_lately) > s.now;
    });
}

bool reads_registry(node_state const& s)
{
    if (s.rank < readers)
        return true;
    auto const age = s.now - s.store_as_of;
    auto const limit = duration(s.settings.store_word_age);
    if (!has_company(s))
        return age >= limit;
    auto const steps = static_cast<int>(s.rank - readers);
    // One that has begun goes on until somebody else is ahead of it again.
    auto const held = s.follows.registry ? limit / 2 : limit;
    return age >= held + steps * duration(reader_step);
}

} // namespace

bool may_hold_duties(node_state const& s)
{
    return s.settings.store_word_age == 0ms || s.follows.duties;
}

void learn_store_age(node_state& s, std::chrono::milliseconds age, effects& out)
{
    auto const as_of = s.now - duration(age);
    if (as_of <= s.store_as_of)
        return;
    bool const was_away = s.store_as_of != time_point{} &&
                          s.store_as_of + duration(back_after) < as_of &&
                          s.config.applied != 0;
    s.store_as_of = as_of;
    if (!was_away)
        return;
    s.log_back_at = s.now;
    note(out, events::log_back, "log", "", "its word had grown old");
}

void tend_store(node_state& s, effects& out)
{
    if (s.settings.store_word_age == 0ms)
        return;
    if (s.store_as_of == time_point{})
        s.store_as_of = s.now;
    follow_store next;
    // The list of nodes comes first: it tells whether others read.
    bool const listed = s.listed_nodes != 0;
    next.registry = listed && reads_registry(s);
    next.duties = !listed || s.rank < readers || s.duties.fencing != 0;
    bool const same =
        next.registry == s.follows.registry && next.duties == s.follows.duties;
    if (same)
        return;
    if (next.duties && !s.follows.duties)
        s.duties.read_once = false; // the lease may have moved since
    s.follows = next;
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
        s.now - s.store_as_of);
    note(out, events::store_followed, s.settings.name, "",
         std::string(next.registry ? "registry" : "") +
             (next.duties ? " duties" : "") + ", rank " +
             std::to_string(s.rank) + ", word " + std::to_string(age.count()) +
             " ms old");
    out.push_back(next);
}

} // namespace papayahook::core
