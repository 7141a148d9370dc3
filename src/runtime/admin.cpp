// Admin listener: state, metrics, health and explanations of decisions.
#include "codec/json.hpp"
#include "runtime/arriving_requests.hpp"
#include "runtime/heap.hpp"
#include "runtime/metrics.hpp"
#include "runtime/node.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace papayahook::runtime {

namespace {

constexpr char const* json_type = "application/json";

void send_text(responder_ptr const& out, int status, char const* type,
               std::string body)
{
    out->send(status, {{"Content-Type", type}}, std::move(body));
}

// A node that has no link yet does not know where the answers of other nodes
// are held, so it waits for one. The wait is limited, because a node whose
// peers are all down must serve requests too.
constexpr std::chrono::seconds max_wait_for_peers{3};

bool knows_members(node const& n)
{
    auto const& peers = n.state.peers;
    bool const linked = std::ranges::any_of(
        peers, [](auto const& it) { return !it.second.node.empty(); });
    auto const age = time_since_boot() - n.boot_at_start;
    return linked || n.options.peers.empty() || age >= max_wait_for_peers;
}

bool is_ready(node const& n)
{
    return !n.state.leaving && n.state.config.applied != 0 && knows_members(n);
}

// The links are opened last, so the node may have none yet.
link_bytes link_bytes_of(node const& n)
{
    return n.links
               ? link_bytes{n.links->bytes_sent(), n.links->bytes_received()}
               : link_bytes{};
}

caller_use caller_use_of(node& n)
{
    auto const peers = n.links ? n.links->open_connections() : 0;
    auto const arriving = arriving_requests::of(n.io);
    caller_use out;
    out.connections = {
        {"callers", *n.open_callers, n.limits.callers},
        {"endpoints", n.client.limited_connections(), n.limits.endpoints},
        {"peers", peers, n.limits.peers}};
    out.memory = {{"arriving", arriving->bytes(), arriving->max_bytes},
                  {"unwritten", arriving->unwritten(), arriving->max_unwritten},
                  {"heap", heap_bytes(), arriving->max_heap}};
    std::ranges::transform(close_reason_names, arriving->closed,
                           std::back_inserter(out.closed),
                           [](char const* name, std::uint64_t count) {
                               return std::pair(name, count);
                           });
    return out;
}

std::string explain(core::node_state const& s, std::string const& subject)
{
    auto out = nlohmann::json::array();
    for (auto const& it : s.decisions)
        if (it.subject == subject)
            out.push_back({{"at_us", it.at.time_since_epoch().count()},
                           {"rule", it.rule},
                           {"detail", it.detail}});
    return codec::document_text(out, 2);
}

} // namespace

void on_admin_request(node& n, http_request const& in, responder_ptr const& out)
{
    auto const& s = n.state;
    if (in.method != "GET")
        send_text(out, 405, "text/plain", "GET is expected\n");
    else if (in.path == "/state")
        send_text(out, 200, json_type, codec::state_to_json(s));
    else if (in.path == "/metrics")
        send_text(out, 200, "text/plain; version=0.0.4",
                  metrics_text(s, link_bytes_of(n), caller_use_of(n),
                               n.platform_adapter
                                   ? n.platform_adapter->topics()
                                   : std::vector<topic_progress>{},
                               n.client.refused_answers()));
    else if (in.path == "/healthz")
        send_text(out, 200, "text/plain", "ok\n");
    else if (in.path == "/readyz")
        send_text(out, is_ready(n) ? 200 : 503, "text/plain",
                  is_ready(n) ? "ready\n" : "not ready\n");
    else if (in.path == "/explain")
        send_text(out, 200, json_type,
                  explain(s, query_value(in.query, "subject")));
    else
        send_text(out, 404, "text/plain", "no such path\n");
}

} // namespace papayahook::runtime
