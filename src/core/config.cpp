// Folds the "config" stream into the configuration in force.
#include "core/internal.hpp"

#include <algorithm>

namespace papayahook::core {

namespace {

constexpr std::size_t max_kept_verdicts = 512;
constexpr std::size_t max_kept_entries = 2048;
constexpr std::size_t max_name_length = 128; // bytes

using reason = std::string; // why a record is refused; empty if accepted

template <class T>
reason put(std::map<std::string, revisioned<T>>& map, T const& value,
           config_record const& rec, offset at)
{
    if (rec.remove)
        map.erase(value.name);
    else
        map[value.name] = {value, at};
    return {};
}

void index_keys(configuration& c)
{
    c.organisation_by_key.clear();
    for (auto const& [name, it] : c.organisations)
        for (auto const& digest : it.value.key_digests)
            c.organisation_by_key[digest] = name;
}

reason apply_route(configuration& c, route const& it, config_record const& rec,
                   offset at)
{
    auto const* const move = open_move_of(c, it.name);
    if (move != nullptr && (rec.remove || it.version != move->from))
        return "move " + move->spec.name + " is open on the route";
    return put(c.routes, it, rec, at);
}

void end_move(configuration& c, move_state& m, move_end end,
              std::string const& why, offset at)
{
    m.end = end;
    m.reason = why;
    m.revision = at;
    auto const it = c.routes.find(m.spec.route);
    if (end != move_end::finished || it == c.routes.end())
        return;
    it->second.value.version = m.spec.to;
    it->second.revision = at; // records that replace the old one are refused
}

reason apply_move(configuration& c, version_move const& it,
                  config_record const& rec, log_entry const& entry)
{
    auto const known = c.moves.find(it.name);
    bool const open = known != c.moves.end() && !known->second.end;
    if (rec.remove && !open)
        return "the move is not open";
    if (rec.remove) {
        end_move(c, known->second, move_end::taken_back,
                 "taken back by an operator", entry.at);
        return {};
    }
    if (open)
        return "the move is open already";
    auto const route = c.routes.find(it.route);
    if (route == c.routes.end())
        return "no route " + it.route;
    if (route->second.value.version == it.to)
        return "the route has version " + it.to + " already";
    if (auto const* const other = open_move_of(c, it.route))
        return "move " + other->spec.name + " is open on the route";
    if (it.deadline <= entry.written)
        return "the deadline has passed";
    move_state m;
    m.spec = it;
    m.from = route->second.value.version;
    m.started = entry.at;
    m.revision = entry.at;
    m.stage_since = entry.written;
    c.moves[it.name] = std::move(m);
    return {};
}

reason apply_step(configuration& c, move_step const& it, log_entry const& entry)
{
    auto const known = c.moves.find(it.move);
    if (known == c.moves.end() || known->second.end)
        return "the move is not open";
    auto& m = known->second;
    if (it.end == move_end::taken_back) {
        end_move(c, m, move_end::taken_back, it.reason, entry.at);
        return {};
    }
    // The log's timestamp decides, so that all readers agree: a step that was
    // written too late has no effect.
    if (entry.written > m.spec.deadline)
        return "the deadline has passed";
    if (it.end) {
        end_move(c, m, *it.end, it.reason, entry.at);
        return {};
    }
    if (it.stage != m.stage + 1 || it.stage > last_stage)
        return "not the next stage";
    m.revision = entry.at;
    enter_stage(m, it.stage, entry.written);
    return {};
}

reason apply_record(configuration& c, log_entry const& entry)
{
    auto const* const rec = std::get_if<config_record>(&entry.record);
    if (rec == nullptr)
        return "not a configuration record";
    if (auto const* const it = std::get_if<config_snapshot>(&rec->body)) {
        c.checkpoint_applied = std::max(c.checkpoint_applied, it->applied);
        c.checkpoint_at = entry.written;
        return {};
    }
    if (auto why = check_record(rec->body); !why.empty())
        return why;
    auto const current = revision_in_force(c, rec->body);
#if PAPAYAHOOK_MUTATION_NO_CAS
    if (false)
#else
    if (rec->replaces != current)
#endif
        return "follows revision " + std::to_string(rec->replaces) +
               ", in force is " + std::to_string(current);
    return std::visit(
        overloaded{
            [&](organisation const& it) {
                auto why = put(c.organisations, it, *rec, entry.at);
                index_keys(c);
                return why;
            },
            [&](endpoint const& it) {
                return put(c.endpoints, it, *rec, entry.at);
            },
            [&](route const& it) { return apply_route(c, it, *rec, entry.at); },
            [&](version_move const& it) {
                return apply_move(c, it, *rec, entry);
            },
            [&](move_step const& it) { return apply_step(c, it, entry); },
            [&](config_snapshot const&) { return reason{}; },
        },
        rec->body);
}

template <class T>
offset revision_of(std::map<std::string, T> const& map, std::string const& name)
{
    auto const it = map.find(name);
    return it == map.end() ? 0 : it->second.revision;
}

void report_verdict(node_state& s, log_entry const& entry,
                    record_verdict const& verdict, effects& out)
{
    auto const& rec = std::get<config_record>(entry.record);
    auto const name = record_kind(rec.body) + "/" + record_name(rec.body);
    if (!verdict.accepted) {
        emit_log_event(out, events::config_refused, name, "log",
                       verdict.reason);
        return;
    }
    emit_log_event(out, events::config_in_force, name, "log",
                   std::to_string(entry.at));
    auto const* const step = std::get_if<move_step>(&rec.body);
    if (step == nullptr)
        return;
    if (step->end)
        emit_log_event(out, events::move_ended, step->move, step->node,
                       std::string(to_string(*step->end)) + ": " +
                           step->reason);
    else
        emit_log_event(out, events::move_stage, step->move, step->node,
                       std::to_string(step->stage));
    record_decision(s, step->move, "move.step", step->reason);
}

// A new incarnation under the same name starts with a clean state.
void reset_endpoint(node_state& s, config_record const& rec)
{
    auto const* const it = std::get_if<endpoint>(&rec.body);
    if (it == nullptr)
        return;
    auto& known = s.endpoints[it->name];
    endpoint_state clean;
    clean.in_flight = known.in_flight;
    known = std::move(clean);
}

} // namespace

move_state* open_move_of(configuration& c, std::string const& route)
{
    auto const it = std::ranges::find_if(c.moves, [&](auto const& m) {
        return m.second.spec.route == route && !m.second.end;
    });
    return it == c.moves.end() ? nullptr : &it->second;
}

std::string record_name(config_body const& body)
{
    return std::visit(
        overloaded{
            [](move_step const& it) { return it.move; },
            [](config_snapshot const&) { return std::string("checkpoint"); },
            [](auto const& it) { return it.name; },
        },
        body);
}

std::string record_kind(config_body const& body)
{
    constexpr char const* names[] = {"organisation", "endpoint",  "route",
                                     "move",         "move_step", "checkpoint"};
    return names[body.index()];
}

offset revision_in_force(configuration const& c, config_body const& body)
{
    return std::visit(
        overloaded{
            [&](organisation const& it) {
                return revision_of(c.organisations, it.name);
            },
            [&](endpoint const& it) {
                return revision_of(c.endpoints, it.name);
            },
            [&](route const& it) { return revision_of(c.routes, it.name); },
            [&](version_move const& it) {
                return revision_of(c.moves, it.name);
            },
            [&](move_step const& it) { return revision_of(c.moves, it.move); },
            [](config_snapshot const&) { return offset{0}; },
        },
        body);
}

std::string check_record(config_body const& body)
{
    auto const name = record_name(body);
    if (name.empty() || name.size() > max_name_length)
        return "name: 1 to 128 characters are expected";
    return std::visit(
        overloaded{
            [](organisation const& it) -> reason {
                if (it.weight <= 0)
                    return "weight: more than 0 is expected";
                if (it.max_in_flight < 1)
                    return "max_in_flight: at least 1 is expected";
                return {};
            },
            [](endpoint const& it) -> reason {
                if (it.pool.empty())
                    return "pool: a name is expected";
                if (it.address.find(':') == std::string::npos)
                    return "address: ip:port is expected";
                if (it.slots < 1)
                    return "slots: at least 1 is expected";
                return {};
            },
            [](route const& it) -> reason {
                if (it.pool.empty())
                    return "pool: a name is expected";
                if (it.deadline <= std::chrono::milliseconds(0))
                    return "deadline_ms: more than 0 is expected";
                if (it.progress_timeout <= std::chrono::milliseconds(0))
                    return "progress_timeout_ms: more than 0 is expected";
                return {};
            },
            [](version_move const& it) -> reason {
                if (it.to.empty())
                    return "to: a version is expected";
                if (it.canary_share <= 0 || it.canary_share > stage_shares[0])
                    return "canary_share: above 0, at most 0.02 is expected";
                if (it.min_samples < 1)
                    return "min_samples: at least 1 is expected";
                if (it.max_bad_excess <= 0 || it.max_bad_excess >= 1)
                    return "max_bad_excess: between 0 and 1 is expected";
                if (it.max_latency_ratio <= 1)
                    return "max_latency_ratio: more than 1 is expected";
                return {};
            },
            [](auto const&) -> reason { return {}; },
        },
        body);
}

record_verdict apply_config(configuration& c, log_entry const& entry)
{
    record_verdict verdict;
    verdict.at = entry.at;
    if (auto const* const rec = std::get_if<config_record>(&entry.record))
        verdict.id = rec->id;
    verdict.reason = apply_record(c, entry);
    verdict.accepted = verdict.reason.empty();
    c.applied = entry.at;
    c.verdicts.push_back(verdict);
    if (c.verdicts.size() > max_kept_verdicts)
        c.verdicts.pop_front();
    c.recent_entries.push_back(entry);
    if (c.recent_entries.size() > max_kept_entries)
        c.recent_entries.pop_front();
    return verdict;
}

config_snapshot take_snapshot(configuration const& c)
{
    config_snapshot out;
    out.applied = c.applied;
    out.version = c.version;
    out.lists_endpoints = c.lists_endpoints;
    for (auto const& [name, it] : c.pools)
        out.pools.push_back(it);
    for (auto const& [name, it] : c.organisations)
        out.organisations.push_back(it);
    for (auto const& [name, it] : c.routes)
        out.routes.push_back(it);
    if (!c.lists_endpoints)
        return out;
    for (auto const& [name, it] : c.endpoints)
        out.endpoints.push_back(it);
    for (auto const& [name, it] : c.moves)
        out.moves.push_back({it.spec, it.from, it.stage, it.end, it.reason,
                             it.started, it.revision, it.stage_since});
    return out;
}

// Versions of an operator's document only rise. Its offsets are given out again
// when the store comes back from an older copy.
bool is_newer(config_revision const& a, config_revision const& b)
{
    bool const have_versions = a.version != 0 && b.version != 0;
    return have_versions && a.version != b.version ? a.version > b.version
                                                   : a.at > b.at;
}

config_revision revision_of(configuration const& c)
{
    return {c.version, c.applied};
}

bool install_snapshot(configuration& c, config_snapshot const& snapshot)
{
    if (!is_newer({snapshot.version, snapshot.applied}, revision_of(c)))
        return false;
    configuration fresh;
    fresh.applied = snapshot.applied;
    fresh.version = snapshot.version;
    fresh.lists_endpoints = snapshot.lists_endpoints;
    for (auto const& it : snapshot.pools)
        fresh.pools[it.name] = it;
    if (!snapshot.lists_endpoints) {
        fresh.endpoints = std::move(c.endpoints);
        fresh.moves = std::move(c.moves);
    }
    fresh.checkpoint_applied = std::max(c.checkpoint_applied, snapshot.applied);
    fresh.verdicts = std::move(c.verdicts);
    for (auto const& it : snapshot.organisations)
        fresh.organisations[it.value.name] = it;
    for (auto const& it : snapshot.endpoints)
        fresh.endpoints[it.value.name] = it;
    for (auto const& it : snapshot.routes)
        fresh.routes[it.value.name] = it;
    for (auto const& it : snapshot.moves) {
        move_state m;
        m.spec = it.spec;
        m.from = it.from;
        m.stage = it.stage;
        m.end = it.end;
        m.reason = it.reason;
        m.started = it.started;
        m.revision = it.revision;
        m.stage_since = it.stage_since;
        fresh.moves[it.spec.name] = std::move(m);
    }
    index_keys(fresh);
    index_routes(fresh);
    c = std::move(fresh);
    return true;
}

config_snapshot const* checkpoint_for_gap(log_read const& e)
{
    for (auto const& entry : e.entries) {
        auto const* const rec = std::get_if<config_record>(&entry.record);
        if (rec == nullptr)
            continue;
        auto const* const it = std::get_if<config_snapshot>(&rec->body);
        if (it != nullptr && it->applied + 1 >= e.start)
            return it;
    }
    return nullptr;
}

void apply_entries(node_state& s, std::vector<log_entry> const& entries,
                   effects& out)
{
    bool changed = false;
    for (auto const& entry : entries) {
#if !PAPAYAHOOK_MUTATION_STEP_BACK
        if (entry.at <= s.config.applied)
            continue; // the applied offset never decreases
        if (entry.at != s.config.applied + 1)
            break; // a gap: the entries after it cannot be evaluated
#endif
        if (std::holds_alternative<config_record>(entry.record))
            reset_endpoint(s, std::get<config_record>(entry.record));
        auto const verdict = apply_config(s.config, entry);
        if (std::holds_alternative<config_record>(entry.record))
            report_verdict(s, entry, verdict, out);
        changed = true;
    }
    if (!changed)
        return;
    s.last_heartbeat_at = {}; // informs peers at once; some cannot read the log
    send_heartbeats(s, out);
    drain_queues(s, out);
}

std::string describe_config(node_state const& s)
{
    auto const& c = s.config;
    if (c.version == 0)
        return {};
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
        s.now - c.in_force_since);
    return "version " + std::to_string(c.version) + " for " +
           std::to_string(age.count()) + " ms, from " + c.source + ", era " +
           std::to_string(s.era);
}

void on_snapshot(node_state& s, config_snapshot const& e,
                 std::string const& source, effects& out)
{
    if (!install_snapshot(s.config, e))
        return;
    s.config.source = source;
    s.config.in_force_since = s.now;
    emit_log_event(out, events::snapshot_installed, "config", source,
                   std::to_string(e.applied) +
                       (e.version == 0
                            ? std::string{}
                            : ", version " + std::to_string(e.version) +
                                  ", era " + std::to_string(s.era)));
    refuse_withdrawn(s, out);
    init_quotas(s);
    s.last_heartbeat_at = {};
    send_heartbeats(s, out);
    drain_queues(s, out);
}

void on_config_read(node_state& s, log_read const& e, effects& out)
{
    if (e.start > s.config.applied + 1) {
        if (auto const* const it = checkpoint_for_gap(e))
            on_snapshot(s, *it, "log", out);
        else
            emit_log_event(out, events::config_gap, "config", "log",
                           std::to_string(s.config.applied) + " to " +
                               std::to_string(e.start));
    }
    apply_entries(s, e.entries, out);
}

// Writes a copy of the configuration in force to the log, so that retention
// cannot remove it. Duplicate checkpoints are harmless.
void write_checkpoint(node_state& s, effects& out)
{
    auto& c = s.config;
    bool const many_records =
        c.applied >= c.checkpoint_applied + s.settings.checkpoint_every;
    bool const is_old =
        c.checkpoint_at + s.settings.checkpoint_period <= s.now &&
        c.checkpoint_at != time_point{};
    if (c.checkpoint_at == time_point{})
        c.checkpoint_at = s.now;
    bool const due = c.applied != 0 && (many_records || is_old);
    if (!due || !s.log_reachable || duty_rank(s, "checkpoint") != 0)
        return;
    c.checkpoint_applied = c.applied;
    c.checkpoint_at = s.now;
    emit_log_event(out, events::checkpoint_asked, "config", "log",
                   std::to_string(c.applied));
    config_record rec;
    rec.body = take_snapshot(c);
    rec.id = next_record_id(s);
    append_records(s, "config", {std::move(rec)}, out);
}

} // namespace papayahook::core
