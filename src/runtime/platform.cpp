// Client of the platform's log and of its list of instances.
#include "codec/json.hpp"
#include "runtime/logging.hpp"
#include "runtime/node.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace papayahook::runtime {

namespace {

using namespace std::chrono_literals;

constexpr int failures_until_unreachable = 2; // consecutive reads
constexpr auto read_retry_delay = 200ms;
constexpr int max_read_entries = 1024;

void report_log_answer(node& n, bool ok)
{
    n.log_failures = ok ? 0 : n.log_failures + 1;
    if (ok || n.log_failures >= failures_until_unreachable)
        handle(n, core::log_reachable{ok});
}

void on_read(node& n, std::string const& stream, http_result const& result,
             std::string const& body)
{
    bool const answered = !result.error && result.status == 200;
    auto delay = answered ? 0ms : read_retry_delay;
    if (answered) {
        try {
            handle(n, codec::read_from_json(stream, body));
            report_log_answer(n, true);
        }
        catch (std::invalid_argument const& e) {
            write_log({events::log_answer_unreadable, stream, "log", e.what()});
            delay = read_retry_delay;
            report_log_answer(n, false);
        }
    }
    else {
        report_log_answer(n, false);
    }
    after(n, delay, [&n, stream] { read_log(n, stream); });
}

void on_instance_list(node& n, http_result const& result,
                      std::string const& body)
{
    auto const j = nlohmann::json::parse(body, nullptr, false);
    if (result.error || result.status != 200 || !j.is_object())
        return;
    core::instance_list list;
    try {
        for (auto const& it : j.at("instances"))
            list.instances.push_back({it.at("endpoint"),
                                      it.value("incarnation", ""),
                                      it.value("leaving", false)});
    }
    catch (nlohmann::json::exception const&) {
        return;
    }
    handle(n, std::move(list));
}

// The list grows with the fleet. All nodes together read it only as often as a
// few nodes would, and exchange what they find.
std::chrono::milliseconds instance_list_period(node const& n)
{
    constexpr std::ptrdiff_t readers_at_full_rate = 6;
    auto const live = core::live_members(n.state);
    return n.set.list_period * std::max(readers_at_full_rate, live) /
           readers_at_full_rate;
}

std::shared_ptr<std::string> collect_body(http_call& call)
{
    auto body = std::make_shared<std::string>();
    call.on_data = [body](std::string_view data) {
        *body += data;
    };
    return body;
}

} // namespace

void read_log(node& n, std::string const& stream)
{
    bool const config = stream == "config";
    auto const applied = config ? n.state.config.applied : n.state.once.applied;
    // A read waits for new entries only in normal operation. The first read
    // does not wait, because a new node takes no claims before it knows the end
    // of the stream. Nor does the first read after an outage, because the log
    // would count as unreachable until something is written.
    bool const at_end = config ? applied != 0 : n.state.once.caught_up;
    bool const wait = at_end && n.state.log_reachable;
    http_call call;
    call.url = "http://" + n.set.log_address + "/streams/" + stream +
               "/read?from=" + std::to_string(applied + 1) +
               "&max=" + std::to_string(max_read_entries) +
               "&wait_ms=" + std::to_string(wait ? n.set.log_poll.count() : 0);
    call.connect_timeout = n.set.connect_timeout;
    call.total_timeout = n.set.log_poll + n.set.log_timeout;
    auto const body = collect_body(call);
    call.on_done = [&n, stream, body](http_result const& result) {
        on_read(n, stream, result, *body);
    };
    n.client.start(std::move(call));
}

void perform(node& n, core::append const& it)
{
    http_call call;
    call.method = "POST";
    call.url =
        "http://" + n.set.log_address + "/streams/" + it.stream + "/append";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = codec::append_to_json(it);
    call.connect_timeout = n.set.connect_timeout;
    call.total_timeout = n.set.log_timeout;
    auto const number = it.append;
    call.on_done = [&n, number](http_result const& result) {
        bool const ok = !result.error && result.status == 200;
        // 429 and 503: the log reports that it has stored nothing.
        bool const refused = result.status == 429 || result.status == 503;
        bool const in_doubt = !ok && result.may_have_run && !refused;
        handle(n, core::append_done{number, ok, in_doubt});
    };
    n.client.start(std::move(call));
}

void read_instances(node& n)
{
    if (n.set.instances_address.empty())
        return;
    http_call call;
    call.url = "http://" + n.set.instances_address + "/instances";
    call.connect_timeout = n.set.connect_timeout;
    call.total_timeout = n.set.log_timeout;
    auto const body = collect_body(call);
    call.on_done = [&n, body](http_result const& result) {
        on_instance_list(n, result, *body);
        after(n, instance_list_period(n), [&n] { read_instances(n); });
    };
    n.client.start(std::move(call));
}

} // namespace papayahook::runtime
