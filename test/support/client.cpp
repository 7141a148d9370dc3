#include "support/client.hpp"

#include "runtime/settings.hpp"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace papayahook::support {

namespace {

using nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::duration_cast;
using std::chrono::microseconds;

void start_call(runtime::http_client& client, call_plan const& plan,
                call_outcome& out, std::size_t& open_calls)
{
    auto const began = clock::now();
    auto id = std::make_shared<std::uint64_t>(0);
    runtime::http_call call;
    call.method = plan.method;
    call.url = "http://" + plan.address + plan.path;
    call.headers = plan.headers;
    call.headers.emplace_back("Authorization", "Bearer " + plan.key);
    call.body = plan.body;
    call.total_timeout = plan.timeout;
    call.on_head = [&out](int status, runtime::header_list const& headers) {
        out.status = status;
        out.request_id = runtime::header_value(headers, "X-Request-Id");
    };
    auto last_data = std::make_shared<clock::time_point>(began);
    call.on_data = [&, began, id, last_data](std::string_view data) {
        auto const gap = duration_cast<microseconds>(clock::now() - *last_data);
        *last_data = clock::now();
        if (out.body.empty())
            out.first_byte = gap;
        else
            out.longest_gap = std::max(out.longest_gap, gap);
        out.body += data;
        bool const cut =
            plan.cut_after != 0 && out.body.size() >= plan.cut_after;
        if (!cut || *id == 0)
            return;
        out.broken = true;
        client.cancel(std::exchange(*id, 0));
        open_calls--;
    };
    call.on_done = [&out, &open_calls, began](runtime::http_result const& it) {
        out.took = duration_cast<microseconds>(clock::now() - began);
        out.broken = static_cast<bool>(it.error);
        auto const problem = json::parse(out.body, nullptr, false);
        if (it.status >= 400 && problem.is_object())
            out.outcome = problem.value("outcome", "");
        open_calls--;
    };
    *id = client.start(std::move(call));
}

} // namespace

std::vector<call_outcome> run_calls(std::vector<call_plan> const& plans)
{
    asio::io_context io;
    runtime::http_client client(io);
    std::vector<call_outcome> out(plans.size());
    std::vector<asio::steady_timer> timers;
    std::size_t open_calls = plans.size();
    timers.reserve(plans.size());
    for (std::size_t i = 0; i < plans.size(); ++i) {
        timers.emplace_back(io, plans[i].start);
        timers.back().async_wait(
            [&, i](auto) { start_call(client, plans[i], out[i], open_calls); });
    }
    while (open_calls != 0 && io.run_one() != 0) {
    }
    return out;
}

call_outcome run_call(call_plan const& plan)
{
    return run_calls({plan})[0];
}

call_plan completion(std::string const& address, std::string const& key,
                     std::string const& route, std::string const& prompt,
                     int tokens, bool stream)
{
    call_plan out;
    out.address = address;
    out.path = "/v1/completions";
    out.key = key;
    out.body = json{
        {"model", route},
        {"prompt", prompt},
        {"max_tokens", tokens},
        {"stream",
         stream}}.dump();
    return out;
}

call_plan order(std::string const& address, std::string const& key,
                std::string const& route, std::string const& name,
                std::string const& idempotency_key)
{
    call_plan out;
    out.address = address;
    out.path = "/v1/routes/" + route + "/orders";
    out.key = key;
    out.body = json{{"order", name}}.dump();
    if (!idempotency_key.empty())
        out.headers = {{"Idempotency-Key", idempotency_key}};
    return out;
}

std::string stream_fault(call_outcome const& it, int tokens, int from)
{
    if (it.status != 200)
        return "status " + std::to_string(it.status) + ": " + it.body;
    if (it.broken)
        return "broken off";
    int next = from;
    bool ended = false;
    std::size_t at = 0;
    for (auto end = it.body.find("\n\n"); end != std::string::npos;
         end = it.body.find("\n\n", at)) {
        auto const line = it.body.substr(at, end - at);
        at = end + 2;
        if (line == "data: [DONE]") {
            ended = true;
            continue;
        }
        if (!line.starts_with("data: "))
            return "unexpected event: " + line;
        auto const token = json::parse(line.substr(6), nullptr, false);
        auto const text = token.at("choices").at(0).value("text", "");
        auto const expected = it.request_id + "#" + std::to_string(next) + " ";
        if (ended || text != expected)
            return "got '" + text + "', expected '" + expected + "'";
        next++;
    }
    if (next != tokens)
        return std::to_string(next) + " of " + std::to_string(tokens) +
               " tokens";
    return ended ? "" : "no end mark";
}

int tokens_in(call_outcome const& it)
{
    return static_cast<int>(std::ranges::count(it.body, '#'));
}

call_outcome fetch_rest(std::string const& address, std::string const& key,
                        std::string const& id, int from)
{
    call_plan plan;
    plan.method = "GET";
    plan.address = address;
    plan.path = "/v1/requests/" + id + "?from=" + std::to_string(from);
    plan.key = key;
    return run_call(plan);
}

asio::ip::tcp::endpoint endpoint_of(std::string const& address)
{
    auto const at = runtime::parse_address(address);
    return {asio::ip::make_address(at->ip), at->port};
}

void post(std::string const& address, std::string const& path,
          std::string const& body)
{
    runtime::http_call call;
    call.method = "POST";
    call.url = "http://" + address + path;
    call.body = body;
    call.total_timeout = std::chrono::seconds(5);
    auto const answer = runtime::fetch(std::move(call));
    if (answer.result.status != 200)
        throw std::runtime_error("POST " + address + path + " failed");
}

std::string get(std::string const& address, std::string const& path)
{
    runtime::http_call call;
    call.url = "http://" + address + path;
    call.total_timeout = std::chrono::seconds(5);
    return runtime::fetch(std::move(call)).body;
}

} // namespace papayahook::support
