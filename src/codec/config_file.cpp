#include "codec/config_file.hpp"

namespace papayahook::codec {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t max_slots = 4096;
constexpr std::int64_t max_in_flight = 1'000'000;
constexpr double max_weight = 1000;

core::organisation read_organisation(table_reader& it)
{
    core::organisation out;
    out.name = it.required_text("name");
    out.key_digests = it.texts("key_digests");
    out.weight = it.number("weight", out.weight, 0.001, max_weight);
    out.max_in_flight = static_cast<int>(
        it.integer("max_in_flight", out.max_in_flight, 1, max_in_flight));
    return out;
}

core::endpoint read_endpoint(table_reader& it)
{
    core::endpoint out;
    out.name = it.required_text("name");
    auto const kind = it.required_text("kind");
    if (kind == "model_runner")
        out.kind = core::endpoint_kind::model_runner;
    else if (kind != "plain_service")
        it.fail("kind", "\"model_runner\" or \"plain_service\" is expected");
    out.pool = it.required_text("pool");
    out.address = it.required_text("address");
    out.zone = it.required_text("zone");
    out.version = it.required_text("version");
    out.schema_versions = it.texts("schema_versions");
    out.slots = static_cast<int>(it.integer("slots", out.slots, 1, max_slots));
    out.checks_fencing = it.flag("checks_fencing", out.checks_fencing);
    out.incarnation = it.text("incarnation", "");
    return out;
}

core::priority_class read_class(table_reader& it)
{
    auto const name = it.text("class", "chat");
    for (auto const klass :
         {core::priority_class::order, core::priority_class::chat,
          core::priority_class::check, core::priority_class::job})
        if (name == core::to_string(klass))
            return klass;
    it.fail("class", "order, chat, check or job is expected");
}

core::route read_route(table_reader& it)
{
    core::route out;
    out.name = it.required_text("name");
    out.pool = it.required_text("pool");
    out.version = it.required_text("version");
    out.klass = read_class(it);
    out.repeatable = it.flag("repeatable", out.repeatable);
    out.deadline = it.milliseconds("deadline_ms", out.deadline, 1ms, 48h);
    out.progress_timeout =
        it.milliseconds("progress_timeout_ms", out.progress_timeout, 10ms, 24h);
    return out;
}

core::version_move read_move(table_reader& it, core::time_point now)
{
    core::version_move out;
    out.name = it.required_text("name");
    out.route = it.required_text("route");
    out.to = it.required_text("to");
    constexpr std::int64_t max_deadline_in_s = 90 * 24 * 3600;
    auto const in = it.integer("deadline_in_s", 0, 0, max_deadline_in_s);
    auto const at = it.integer("deadline_unix_s", 0, 0,
                               std::numeric_limits<std::int32_t>::max());
    if ((in == 0) == (at == 0))
        it.fail("deadline_in_s", "this or deadline_unix_s is expected");
    out.deadline = in != 0 ? now + std::chrono::seconds(in)
                           : core::time_point(std::chrono::seconds(at));
    out.canary_share = it.number("canary_share", out.canary_share, 0.0001,
                                 core::stage_shares[0]);
    out.min_samples = static_cast<int>(
        it.integer("min_samples", out.min_samples, 1, 1'000'000));
    out.max_bad_excess =
        it.number("max_bad_excess", out.max_bad_excess, 0.001, 0.9);
    out.max_latency_ratio =
        it.number("max_latency_ratio", out.max_latency_ratio, 1.05, 100);
    return out;
}

template <class Read>
void read_all(table_reader& top, std::string_view key,
              std::vector<core::config_body>& out, Read read)
{
    for (auto& it : top.tables(key)) {
        core::config_body body = read(it);
        it.finish();
        if (auto const why = core::check_record(body); !why.empty())
            it.fail(core::record_name(body), why);
        out.push_back(std::move(body));
    }
}

} // namespace

std::vector<core::config_body> read_config_file(std::string const& file,
                                                core::time_point now)
{
    auto const parsed = parse_toml(file);
    table_reader top(file, parsed, "");
    std::vector<core::config_body> out;
    read_all(top, "organisation", out, read_organisation);
    read_all(top, "endpoint", out, read_endpoint);
    read_all(top, "route", out, read_route);
    read_all(top, "move", out,
             [now](table_reader& it) { return read_move(it, now); });
    top.finish();
    return out;
}

} // namespace papayahook::codec
