#include "runtime/settings.hpp"

#include "codec/toml_reader.hpp"
#include "runtime/http_server.hpp"

#include <algorithm>
#include <array>
#include <asio/ip/address.hpp>
#include <charconv>
#include <fstream>
#include <sstream>
#include <sys/resource.h>

namespace papayahook::runtime {

std::optional<address> parse_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == text.npos)
        return std::nullopt;
    address out;
    out.ip = text.substr(0, colon);
    asio::error_code ec;
    asio::ip::make_address(out.ip, ec);
    auto const* const last = text.data() + text.size();
    auto const [end, port_ec] =
        std::from_chars(text.data() + colon + 1, last, out.port);
    bool const valid =
        !ec && port_ec == std::errc{} && end == last && out.port != 0;
    return valid ? std::optional(out) : std::nullopt;
}

namespace {

using codec::table_reader;
using namespace std::chrono_literals;

constexpr std::size_t min_key_bytes = 16;

address read_address(table_reader& it, std::string_view key)
{
    auto const out = parse_address(it.required_text(key));
    if (!out)
        it.fail(key, "\"IP:PORT\" with a numeric address is expected");
    return out.value_or(address{});
}

// Returns an empty table if an optional one is missing.
table_reader optional_table(table_reader& top, std::string const& file,
                            std::string_view name)
{
    static toml::table const empty;
    auto it = top.table(name);
    return it ? *it : table_reader(file, empty, std::string(name));
}

template <class T>
void read_count(table_reader& it, std::string_view key, T& value,
                std::int64_t max)
{
    value = static_cast<T>(
        it.integer(key, static_cast<std::int64_t>(value), 1, max));
}

template <class Duration>
void read_time(table_reader& it, std::string_view key, Duration& value,
               std::chrono::hours max)
{
    auto const ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(value);
    value = std::chrono::duration_cast<Duration>(
        it.milliseconds(key, ms, 1ms, max));
}

void read_node(table_reader it, settings& out)
{
    out.core.name = it.required_text("name");
    out.core.zone = it.required_text("zone");
    if (out.core.name.find_first_of("./ ") != std::string::npos)
        it.fail("name", "a name without dots, slashes and spaces is expected");
    it.finish();
}

void read_listen(table_reader it, settings& out)
{
    out.caller = read_address(it, "caller");
    out.admin = read_address(it, "admin");
    out.peer = read_address(it, "peer");
    out.core.caller_address = out.caller.text();
    it.finish();
}

void read_platform(table_reader it, settings& out)
{
    out.log_address = read_address(it, "log").text();
    if (!it.text("instances", "").empty())
        out.instances_address = read_address(it, "instances").text();
    it.finish();
}

void read_limits(table_reader it, settings& out)
{
    constexpr std::int64_t million = 1'000'000;
    constexpr std::int64_t gigabyte = 1LL << 30;
    read_count(it, "max_queue", out.core.max_queue, million);
    read_count(it, "max_backlog", out.core.max_backlog, million);
    read_count(it, "max_attempts", out.core.max_attempts, 100);
    out.core.retry_budget =
        it.number("retry_budget", out.core.retry_budget, 0, 1);
    read_count(it, "claim_batch", out.core.claim_batch, 10'000);
    read_count(it, "append_budget", out.core.append_budget, 100'000);
    read_count(it, "max_shared_body", out.core.max_shared_body, gigabyte);
    read_count(it, "max_shared_bytes", out.core.max_shared_bytes, gigabyte);
    read_count(it, "max_request_bytes", out.core.max_request_bytes, gigabyte);
    read_count(it, "max_body_bytes", out.max_body_bytes, gigabyte);
    read_count(it, "max_header_bytes", out.max_header_bytes, million);
    read_count(it, "max_header_count", out.max_header_count, 10'000);
    read_count(it, "min_caller_rate", out.min_caller_rate, million);
    read_count(it, "max_connections", out.max_connections, million);
    read_count(it, "max_peer_message_bytes", out.max_peer_message_bytes,
               gigabyte);
    read_count(it, "checkpoint_every", out.core.checkpoint_every, million);
    out.polls_per_second =
        it.number("polls_per_second", out.polls_per_second, 0.1, 1000);
    constexpr std::int64_t max_megabytes = 1'000'000;
    auto const mb = it.integer("memory_mb", 0, 0, max_megabytes);
    if (mb != 0)
        divide_memory(out, static_cast<std::size_t>(mb * million));
    it.finish();
}

void read_timeouts(table_reader it, settings& out)
{
    read_time(it, "first_token_target_ms", out.core.first_token_target, 1h);
    read_time(it, "service_wait_ms", out.core.service_wait, 1h);
    read_time(it, "hop_cost_ms", out.core.hop_cost, 1h);
    read_time(it, "endpoint_pause_ms", out.core.endpoint_pause, 1h);
    read_time(it, "report_horizon_ms", out.core.report_horizon, 1h);
    read_time(it, "heartbeat_period_ms", out.core.heartbeat_period, 1h);
    read_time(it, "peer_timeout_ms", out.core.peer_timeout, 1h);
    read_time(it, "stage_time_ms", out.core.stage_time, 24h);
    read_time(it, "move_margin_ms", out.core.move_margin, 24h);
    read_time(it, "answer_linger_ms", out.core.answer_linger, 24h);
    read_time(it, "hand_over_after_ms", out.core.hand_over_after, 24h);
    read_time(it, "outcome_linger_ms", out.core.outcome_linger, 1h);
    read_time(it, "append_retry_ms", out.core.append_retry, 1h);
    read_time(it, "claim_horizon_s", out.core.claim_horizon, 24h * 30);
    read_time(it, "checkpoint_period_s", out.core.checkpoint_period, 24h);
    read_time(it, "header_timeout_ms", out.header_timeout, 24h);
    read_time(it, "idle_timeout_ms", out.idle_timeout, 24h);
    read_time(it, "write_timeout_ms", out.write_timeout, 24h);
    read_time(it, "connect_timeout_ms", out.connect_timeout, 1h);
    read_time(it, "log_timeout_ms", out.log_timeout, 1h);
    read_time(it, "log_poll_ms", out.log_poll, 1h);
    read_time(it, "list_period_ms", out.list_period, 1h);
    it.finish();
}

std::string read_key_file(table_reader& it, std::string const& key,
                          std::string const& path)
{
    std::ifstream in(path);
    std::string line;
    std::getline(in, line);
    if (line.size() < min_key_bytes)
        it.fail(key, "a file whose first line has at least 16 characters is "
                     "expected");
    return line;
}

void read_security(table_reader it, settings& out)
{
    for (auto const& path : it.texts("peer_key_files"))
        out.peer_keys.push_back(read_key_file(it, "peer_key_files", path));
    it.finish();
}

void read_logging(table_reader it, settings& out)
{
    constexpr std::array levels{"error", "warn", "info", "debug"};
    out.log_level = it.text("level", out.log_level);
    if (std::ranges::find(levels, out.log_level) == levels.end())
        it.fail("level", "error, warn, info or debug is expected");
    out.log_file = it.text("file", "");
    out.record_file = it.text("record_events", "");
    it.finish();
}

// For files, timers, the event loop and the log. The platform keeps as many for
// files.
constexpr std::size_t max_file_descriptors = 200;
constexpr std::size_t file_share = 4; // at most one in so many
// For peers, probes, the store and checks of endpoints, which must work while
// callers use all that is theirs. A hub of 300 nodes has a link to each, and
// links that are being replaced.
constexpr std::size_t max_reserve = 600;
constexpr std::size_t peer_percentage = 60;  // of the reserve
constexpr std::size_t probe_percentage = 10; // of the reserve, per listener
constexpr std::size_t reserve_share = 3;
constexpr std::size_t min_probes = 3; // a probe, a scrape and an operator
// A caller keeps its connection while its request waits for an endpoint and
// between requests, so more callers than calls are connected.
constexpr std::size_t endpoint_percentage = 40;

// Percentages of the memory of a process. The shares add up to more than the
// heap may take, as they are rarely used up at the same time.
constexpr std::size_t heap_percentage = 80;
constexpr std::size_t intake_heap_percentage = 70;
constexpr std::size_t arriving_percentage = 10;
constexpr std::size_t request_percentage = 20;
// Taken twice, for answers that are held and for those that are on their way.
constexpr std::size_t answer_percentage = 25;
constexpr std::size_t min_answer_percentage = 10;
// For the process itself, the connections and copies; where the memory is
// small, the answers get less. With less, nothing could be taken in.
constexpr std::size_t own_bytes = 24'000'000;
// Answers that callers do not read leave the rest to those that arrive.
constexpr std::size_t unwritten_percentage = 60;

std::size_t descriptors_at_start()
{
    rlimit it{};
    getrlimit(RLIMIT_NOFILE, &it); // cannot fail for this resource
    return it.rlim_cur;
}

} // namespace

connection_limits limits_of(settings const& it)
{
    auto const all = it.max_fds != 0 ? it.max_fds : descriptors_at_start();
    auto const files = std::min(max_file_descriptors, all / file_share);
    auto const reserve = std::min(max_reserve, (all - files) / reserve_share);
    auto const rest = all - files - reserve;
    connection_limits out;
    out.endpoints = rest * endpoint_percentage / 100;
    out.callers = std::min(it.max_connections,
                           (rest - out.endpoints) * connections_per_refusal /
                               (connections_per_refusal + 1));
    out.peers = reserve * peer_percentage / 100;
    out.probes = std::max(min_probes, reserve * probe_percentage / 100);
    return out;
}

void divide_memory(settings& it, std::size_t bytes)
{
    auto const share = [bytes](std::size_t percentage) {
        return bytes / 100 * percentage;
    };
    it.max_heap_bytes = std::max(share(heap_percentage), own_bytes);
    it.max_intake_heap_bytes =
        std::max(share(intake_heap_percentage), own_bytes);
    it.max_arriving_bytes = share(arriving_percentage);
    it.core.max_request_bytes = share(request_percentage);
    auto const rest = bytes - it.max_arriving_bytes - it.core.max_request_bytes;
    it.max_answer_bytes =
        std::clamp((rest - std::min(rest, own_bytes)) / 2,
                   share(min_answer_percentage), share(answer_percentage));
    it.core.max_held_bytes = it.max_answer_bytes;
}

std::size_t max_unwritten_bytes(settings const& it)
{
    return it.max_answer_bytes / 100 * unwritten_percentage;
}

settings read_settings(std::string const& file)
{
    auto const parsed = codec::parse_toml(file);
    table_reader top(file, parsed, "");
    settings out;
    read_node(optional_table(top, file, "node"), out);
    read_listen(optional_table(top, file, "listen"), out);
    read_platform(optional_table(top, file, "platform"), out);
    read_limits(optional_table(top, file, "limits"), out);
    read_timeouts(optional_table(top, file, "timeouts"), out);
    read_security(optional_table(top, file, "security"), out);
    read_logging(optional_table(top, file, "logging"), out);
    for (auto& it : top.tables("peer")) {
        peer_setting peer;
        peer.name = it.required_text("name");
        peer.address = read_address(it, "address").text();
        it.finish();
        if (peer.name == out.core.name)
            it.fail("name", "a node cannot be its own peer");
        out.peers.push_back(std::move(peer));
    }
    top.finish();
    return out;
}

std::string show_settings(settings const& it)
{
    std::ostringstream out;
    auto const ms = [](auto const& value) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(value)
            .count();
    };
    out << "[node]\nname = \"" << it.core.name << "\"\nzone = \""
        << it.core.zone << "\"\n\n[listen]\ncaller = \"" << it.caller.text()
        << "\"\nadmin = \"" << it.admin.text() << "\"\npeer = \""
        << it.peer.text() << "\"\n\n[platform]\nlog = \"" << it.log_address
        << "\"\n";
    if (!it.instances_address.empty())
        out << "instances = \"" << it.instances_address << "\"\n";
    out << "\n[limits]\nmax_queue = " << it.core.max_queue
        << "\nmax_backlog = " << it.core.max_backlog
        << "\nmax_attempts = " << it.core.max_attempts
        << "\nretry_budget = " << it.core.retry_budget
        << "\nclaim_batch = " << it.core.claim_batch
        << "\nappend_budget = " << it.core.append_budget
        << "\nmax_shared_body = " << it.core.max_shared_body
        << "\nmax_shared_bytes = " << it.core.max_shared_bytes
        << "\nmax_request_bytes = " << it.core.max_request_bytes
        << "\nmax_body_bytes = " << it.max_body_bytes
        << "\nmax_header_bytes = " << it.max_header_bytes
        << "\nmax_header_count = " << it.max_header_count
        << "\nmin_caller_rate = " << it.min_caller_rate
        << "\nmax_connections = " << it.max_connections
        << "\nmax_peer_message_bytes = " << it.max_peer_message_bytes
        << "\ncheckpoint_every = " << it.core.checkpoint_every
        << "\npolls_per_second = " << it.polls_per_second
        << "\n\n[timeouts]\nhop_cost_ms = " << ms(it.core.hop_cost)
        << "\nfirst_token_target_ms = " << ms(it.core.first_token_target)
        << "\nservice_wait_ms = " << ms(it.core.service_wait)
        << "\nendpoint_pause_ms = " << ms(it.core.endpoint_pause)
        << "\nreport_horizon_ms = " << ms(it.core.report_horizon)
        << "\nheartbeat_period_ms = " << ms(it.core.heartbeat_period)
        << "\npeer_timeout_ms = " << ms(it.core.peer_timeout)
        << "\nstage_time_ms = " << ms(it.core.stage_time)
        << "\nmove_margin_ms = " << ms(it.core.move_margin)
        << "\nanswer_linger_ms = " << ms(it.core.answer_linger)
        << "\nhand_over_after_ms = " << ms(it.core.hand_over_after)
        << "\noutcome_linger_ms = " << ms(it.core.outcome_linger)
        << "\nappend_retry_ms = " << ms(it.core.append_retry)
        << "\nclaim_horizon_s = " << ms(it.core.claim_horizon) / 1000
        << "\ncheckpoint_period_s = " << ms(it.core.checkpoint_period) / 1000
        << "\nheader_timeout_ms = " << ms(it.header_timeout)
        << "\nidle_timeout_ms = " << ms(it.idle_timeout)
        << "\nwrite_timeout_ms = " << ms(it.write_timeout)
        << "\nconnect_timeout_ms = " << ms(it.connect_timeout)
        << "\nlog_timeout_ms = " << ms(it.log_timeout)
        << "\nlog_poll_ms = " << ms(it.log_poll)
        << "\nlist_period_ms = " << ms(it.list_period)
        << "\n\n[logging]\nlevel = \"" << it.log_level << "\"\n";
    for (auto const& peer : it.peers)
        out << "\n[[peer]]\nname = \"" << peer.name << "\"\naddress = \""
            << peer.address << "\"\n";
    return out.str();
}

} // namespace papayahook::runtime
