// Fake of the platform's log: streams of records with offsets and bounded
// retention.
//
//   POST /streams/S/append {"id", "records": [...]} -> {"first", "end"}
//   GET  /streams/S/read?from=N&max=M&wait_ms=W
//        -> {"start", "end", "records": [{"offset", "time_ms", "id", "data"}]}
//   POST /fault {"down", "slow_ms", "lose_answers", "stale_by", "retain"}
//   GET  /counts -> {"appends": count}
#include "fakes/common.hpp"

#include <algorithm>
#include <deque>
#include <map>

namespace papayahook::fakes {

namespace {

using namespace std::chrono_literals;

constexpr auto poll_interval = 5ms; // of a read that waits

struct entry
{
    std::int64_t time_ms = 0;
    std::string id;
    json data;
};

struct stream
{
    std::uint64_t start = 1; // offset of the oldest entry
    std::deque<entry> entries;

    std::uint64_t end() const { return start + entries.size() - 1; }
};

struct log_service
{
    asio::io_context& io;
    std::size_t retention;
    std::map<std::string, stream> streams;
    bool down = false;
    std::chrono::milliseconds slow{0};
    int lose_answers = 0;       // next appends stored without an answer
    std::uint64_t stale_by = 0; // newest entries that reads omit
    std::uint64_t appends = 0;
};

std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void retain(stream& s, std::size_t max_entries)
{
    while (s.entries.size() > max_entries) {
        s.entries.pop_front();
        s.start++;
    }
}

void append(log_service& l, std::string const& name, http_request const& in,
            responder_ptr const& out)
{
    auto const body = parse_body(in);
    if (!body.contains("records") || !body.at("records").is_array()) {
        send_json(out, 400, {{"error", "records are expected"}});
        return;
    }
    auto& s = l.streams[name];
    l.appends++;
    auto const first = s.end() + 1;
    for (auto const& it : body.at("records"))
        s.entries.push_back({wall_ms(), body.value("id", ""), it});
    retain(s, l.retention);
    if (l.lose_answers > 0) {
        l.lose_answers--;
        drop(out);
        return;
    }
    send_json(out, 200, {{"first", first}, {"end", s.end()}});
}

void answer_read(log_service& l, std::string const& name, std::uint64_t from,
                 std::uint64_t max_entries, responder_ptr const& out)
{
    auto const& s = l.streams[name];
    auto const end = s.end() - std::min(l.stale_by, s.end());
    json records = json::array();
    auto const first = std::max(from, s.start);
    for (auto at = first; at <= end && at < first + max_entries; ++at) {
        auto const& it = s.entries[at - s.start];
        records.push_back({{"offset", at},
                           {"time_ms", it.time_ms},
                           {"id", it.id},
                           {"data", it.data}});
    }
    send_json(out, 200,
              {{"start", s.start}, {"end", end}, {"records", records}});
}

void read_when_ready(log_service& l, std::string const& name,
                     std::uint64_t from, std::uint64_t max_entries,
                     std::chrono::steady_clock::time_point until,
                     responder_ptr const& out)
{
    if (l.down) {
        send_json(out, 503, {{"error", "down"}});
        return;
    }
    auto const& s = l.streams[name];
    bool const has_entries = s.end() >= from + l.stale_by;
    if (has_entries || std::chrono::steady_clock::now() >= until) {
        answer_read(l, name, from, max_entries, out);
        return;
    }
    after(l.io, poll_interval, [&l, name, from, max_entries, until, out] {
        read_when_ready(l, name, from, max_entries, until, out);
    });
}

std::uint64_t query_number(http_request const& in, char const* name,
                           std::uint64_t fallback)
{
    auto const text = runtime::query_value(in.query, name);
    return text.empty() ? fallback : std::stoull(text);
}

void set_faults(log_service& l, json const& body)
{
    l.down = body.value("down", l.down);
    l.slow = std::chrono::milliseconds(
        body.value("slow_ms", static_cast<long>(l.slow.count())));
    l.lose_answers = body.value("lose_answers", l.lose_answers);
    l.stale_by = body.value("stale_by", l.stale_by);
    if (!body.contains("retain"))
        return;
    l.retention = body.at("retain").get<std::size_t>();
    for (auto& [name, s] : l.streams)
        retain(s, l.retention);
}

void on_stream(log_service& l, http_request const& in, responder_ptr const& out)
{
    constexpr std::string_view prefix = "/streams/";
    auto const rest = in.path.substr(prefix.size());
    auto const slash = rest.find('/');
    auto const name = rest.substr(0, slash);
    auto const action = slash == rest.npos ? "" : rest.substr(slash + 1);
    if (l.down)
        send_json(out, 503, {{"error", "down"}});
    else if (action == "append")
        append(l, name, in, out);
    else if (action == "read")
        read_when_ready(
            l, name, std::max<std::uint64_t>(1, query_number(in, "from", 1)),
            query_number(in, "max", 1000),
            std::chrono::steady_clock::now() +
                std::chrono::milliseconds(query_number(in, "wait_ms", 0)),
            out);
    else
        send_json(out, 404, {{"error", "append or read is expected"}});
}

} // namespace

void run_log(asio::io_context& io, log_options const& options)
{
    log_service l{io, options.retention, {}, false, 0ms, 0, 0, 0};
    serve(io, options.listen, [&l](http_request in, responder_ptr const& out) {
        if (in.path == "/fault") {
            set_faults(l, parse_body(in));
            send_json(out, 200, json::object());
        }
        else if (in.path == "/counts") {
            send_json(out, 200, {{"appends", l.appends}});
        }
        else if (in.path.starts_with("/streams/")) {
            after(l.io, l.slow,
                  [&l, in = std::move(in), out] { on_stream(l, in, out); });
        }
        else {
            send_json(out, 404, {{"error", "no such path"}});
        }
    });
}

} // namespace papayahook::fakes
