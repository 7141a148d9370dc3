#include "ctl/log_view.hpp"

#include "codec/json.hpp"
#include "runtime/http_client.hpp"

#include <algorithm>
#include <random>
#include <thread>

namespace papayahook::ctl {

namespace {

using namespace std::chrono_literals;

constexpr auto call_timeout = 5s;
constexpr int max_append_attempts = 20;
constexpr auto append_retry_delay = 250ms;

std::string unique_id()
{
    std::random_device source;
    std::string out = "operator";
    for (int i = 0; i < 4; ++i)
        out += "-" + std::to_string(source());
    return out;
}

// Returns whether the revision in force already equals the record.
bool is_unchanged(core::configuration const& now, core::config_body const& body)
{
    auto const snapshot = core::take_snapshot(now);
    auto const to_line = [](auto const& value) {
        core::append it;
        core::config_record rec;
        rec.body = value;
        it.records.push_back(rec);
        return codec::append_to_json(it);
    };
    auto const wanted =
        std::visit([&](auto const& it) { return to_line(it); }, body);
    auto const contains_body = [&](auto const& list) {
        return std::ranges::any_of(
            list, [&](auto const& it) { return to_line(it.value) == wanted; });
    };
    return contains_body(snapshot.organisations) ||
           contains_body(snapshot.endpoints) || contains_body(snapshot.routes);
}

bool try_append(log_view const& view, core::append const& it)
{
    runtime::http_call call;
    call.method = "POST";
    call.url = "http://" + view.address + "/streams/config/append";
    call.body = codec::append_to_json(it);
    call.total_timeout = call_timeout;
    auto const answer = runtime::fetch(std::move(call));
    return !answer.result.error && answer.result.status == 200;
}

bool has_record(log_view const& view, std::string const& id)
{
    return std::ranges::any_of(view.entries, [&](auto const& it) {
        auto const* const rec = std::get_if<core::config_record>(&it.record);
        return rec != nullptr && rec->id == id;
    });
}

// Retries the append until the log confirms it or holds the record `id`. A
// retry is safe: a second copy follows a revision that the first copy has
// replaced, so every reader refuses it.
void append_until_seen(log_view& view, core::append const& it,
                       std::string const& id)
{
    for (int i = 0; i < max_append_attempts; ++i) {
        if (i != 0)
            std::this_thread::sleep_for(append_retry_delay);
        bool const answered = try_append(view, it);
        try {
            refresh(view);
        }
        catch (std::runtime_error const&) {
            if (i + 1 == max_append_attempts)
                throw;
            continue;
        }
        if (answered || has_record(view, id))
            return;
    }
    throw std::runtime_error("the log took no append");
}

core::record_verdict verdict_of(log_view const& view, std::string const& id)
{
    // The verdict of the first copy applies: later copies are refused.
    auto const it =
        std::ranges::find(view.config.verdicts, id, &core::record_verdict::id);
    return it == view.config.verdicts.end()
               ? core::record_verdict{id, 0, false, "verdict not found"}
               : *it;
}

} // namespace

void refresh(log_view& view)
{
    for (;;) {
        runtime::http_call call;
        call.url = "http://" + view.address + "/streams/config/read?from=" +
                   std::to_string(view.config.applied + 1) + "&max=1024";
        call.total_timeout = call_timeout;
        auto const answer = runtime::fetch(std::move(call));
        if (answer.result.error || answer.result.status != 200)
            throw std::runtime_error("the log at " + view.address +
                                     " does not answer");
        auto const read = codec::read_from_json("config", answer.body);
        auto const* const snapshot = read.start > view.config.applied + 1
                                         ? core::closing_checkpoint(read)
                                         : nullptr;
        if (snapshot != nullptr)
            core::install_snapshot(view.config, *snapshot);
        for (auto const& it : read.entries) {
            if (it.at != view.config.applied + 1)
                continue;
            core::apply_config(view.config, it);
            view.entries.push_back(it);
        }
        if (view.config.applied >= read.end || read.entries.empty())
            return;
    }
}

std::vector<publish_result>
publish(log_view& view, std::vector<core::config_body> const& bodies,
        bool remove)
{
    refresh(view);
    std::vector<publish_result> out;
    std::vector<std::string> ids;
    core::append all;
    all.stream = "config";
    for (auto const& body : bodies) {
        publish_result result;
        result.name = core::record_kind(body) + "/" + core::record_name(body);
        result.unchanged = !remove && is_unchanged(view.config, body);
        result.accepted = result.unchanged;
        core::config_record rec;
        rec.id = unique_id();
        rec.replaces = core::revision_in_force(view.config, body);
        rec.remove = remove;
        rec.body = body;
        ids.push_back(result.unchanged ? "" : rec.id);
        if (!result.unchanged)
            all.records.emplace_back(std::move(rec));
        out.push_back(std::move(result));
    }
    if (all.records.empty())
        return out;
    all.id = unique_id();
    auto const first =
        std::ranges::find_if(ids, [](auto const& it) { return !it.empty(); });
    append_until_seen(view, all, *first);
    for (std::size_t i = 0; i < out.size(); ++i) {
        if (ids[i].empty())
            continue;
        auto const verdict = verdict_of(view, ids[i]);
        out[i].accepted = verdict.accepted;
        out[i].reason = verdict.reason;
        out[i].at = verdict.at;
    }
    return out;
}

} // namespace papayahook::ctl
