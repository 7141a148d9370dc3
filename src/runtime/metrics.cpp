#include "runtime/metrics.hpp"

#include "runtime/logging.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <iterator>

namespace papayahook::runtime {

namespace {

void counter(prometheus::Registry& registry, char const* name, char const* help,
             std::uint64_t value, prometheus::Labels const& labels = {})
{
    prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add(labels)
        .Increment(static_cast<double>(value));
}

void gauge(prometheus::Registry& registry, char const* name, char const* help,
           double value, prometheus::Labels const& labels = {})
{
    prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add(labels)
        .Set(value);
}

void histogram(prometheus::Registry& registry, char const* name,
               char const* help, core::latency_histogram const& it)
{
    using seconds = std::chrono::duration<double>;
    prometheus::Histogram::BucketBoundaries bounds;
    std::ranges::transform(core::latency_bounds, std::back_inserter(bounds),
                           [](auto at) { return seconds(at).count(); });
    std::vector<double> const counts(it.counts.begin(), it.counts.end());
    prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({}, bounds)
        .ObserveMultiple(counts, seconds(it.sum).count());
}

void add_quarantine(prometheus::Registry& r, core::node_state const& s)
{
    counter(r, "papayahook_quarantines_total",
            "Parts of prompts that were quarantined", s.counts.quarantines);
    counter(r, "papayahook_quarantine_refusals_total",
            "Requests refused because of a quarantined part",
            s.counts.refused_quarantined);
    gauge(r, "papayahook_quarantined_parts", "Parts that get no calls now",
          static_cast<double>(core::quarantined_parts(s).size()));
}

void add_connections(prometheus::Registry& r, caller_use const& callers)
{
    for (auto const& [reason, n] : callers.closed)
        counter(r, "papayahook_closed_connections_total",
                "Connections of callers that the node closed", n,
                {{"reason", reason}});
    for (auto const& it : callers.memory) {
        gauge(r, "papayahook_caller_memory_bytes",
              "Memory that connections of callers take, by kind",
              static_cast<double>(it.bytes), {{"kind", it.kind}});
        gauge(r, "papayahook_caller_memory_limit",
              "Memory beyond which connections of callers are closed",
              static_cast<double>(it.limit), {{"kind", it.kind}});
    }
    for (auto const& it : callers.connections) {
        gauge(r, "papayahook_open_connections", "Open connections by kind",
              static_cast<double>(it.open), {{"kind", it.kind}});
        gauge(r, "papayahook_connection_limit",
              "Connections of a kind that the descriptors allow",
              static_cast<double>(it.limit), {{"kind", it.kind}});
    }
}

void add_peer_traffic(prometheus::Registry& r, core::node_state const& s,
                      link_bytes links)
{
    counter(r, "papayahook_peer_messages_total", "Messages sent to peers",
            s.counts.peer_messages);
    counter(r, "papayahook_peer_bytes_total", "Bytes on links to peers",
            links.sent, {{"direction", "sent"}});
    counter(r, "papayahook_peer_bytes_total", "Bytes on links to peers",
            links.received, {{"direction", "received"}});
}

void add_request_memory(prometheus::Registry& r, core::node_state const& s)
{
    gauge(r, "papayahook_request_bytes", "Bytes of the bodies of open requests",
          static_cast<double>(s.request_bytes));
    gauge(r, "papayahook_max_request_bytes",
          "Bytes beyond which requests are refused",
          static_cast<double>(s.settings.max_request_bytes));
}

// What gets no calls, or few.
void add_restrictions(prometheus::Registry& r, core::node_state const& s)
{
    add_quarantine(r, s);
    auto const zones = std::ranges::count_if(
        s.evacuations, [](auto const& it) { return it.second.entry.active; });
    gauge(r, "papayahook_evacuated_zones",
          "Zones whose endpoints get no new work", static_cast<double>(zones));
    auto const cold = std::ranges::count_if(s.endpoints, [&](auto const& it) {
        return it.second.cold_until > s.now;
    });
    gauge(r, "papayahook_cold_endpoints",
          "Endpoints that state that they are cold", static_cast<double>(cold));
}

} // namespace

std::string metrics_text(core::node_state const& s, link_bytes links,
                         caller_use const& callers)
{
    prometheus::Registry r;
    add_connections(r, callers);
    auto const& n = s.counts;
    counter(r, "papayahook_requests_total", "Requests received", n.requests);
    counter(r, "papayahook_answers_total", "Whole answers", n.answered);
    counter(r, "papayahook_refusals_total", "Requests without an answer",
            n.refused_not_run, {{"outcome", "not_run"}});
    counter(r, "papayahook_refusals_total", "Requests without an answer",
            n.refused_unknown, {{"outcome", "outcome_unknown"}});
    add_restrictions(r, s);
    counter(r, "papayahook_broken_answers_total",
            "Answers that ended in an error event", n.failed_answers);
    counter(r, "papayahook_dispatches_total", "Calls to endpoints",
            n.dispatches);
    counter(r, "papayahook_retries_total", "Calls after a failed one",
            n.retries);
    counter(r, "papayahook_resumed_streams_total",
            "Streams that went on at another endpoint", n.resumed_streams);
    counter(r, "papayahook_recomputed_tokens_total",
            "Tokens computed again for resumed streams", n.tokens_recomputed);
    counter(r, "papayahook_handed_over_requests_total",
            "Requests that passed between a leaving node and a peer",
            n.handed_over, {{"direction", "out"}});
    counter(r, "papayahook_handed_over_requests_total",
            "Requests that passed between a leaving node and a peer",
            n.taken_over, {{"direction", "in"}});
    histogram(r, "papayahook_wait_seconds",
              "From a request's arrival to its first call",
              s.latency.first_call);
    histogram(r, "papayahook_first_byte_seconds",
              "From a request's arrival to the first byte of its answer",
              s.latency.first_chunk);
    histogram(r, "papayahook_answer_seconds",
              "From a request's arrival to its whole answer",
              s.latency.last_byte);
    counter(r, "papayahook_log_appends_total", "Appends to the log", n.appends);
    counter(r, "papayahook_claims_total", "Claims of idempotency keys",
            n.claims);
    add_peer_traffic(r, s, links);
    counter(r, "papayahook_log_lines_dropped_total",
            "Log lines that were left out", dropped_lines());
    gauge(r, "papayahook_config_offset", "Highest configuration offset",
          static_cast<double>(s.config.applied));
    gauge(r, "papayahook_open_calls", "Calls in flight",
          static_cast<double>(s.calls.size()));
    add_request_memory(r, s);
    gauge(r, "papayahook_log_reachable", "1 when the log answers",
          s.log_reachable ? 1 : 0);
    if (s.store_as_of != core::time_point{})
        gauge(r, "papayahook_store_age_seconds",
              "Age of the data of the platform's store that this node knows",
              std::chrono::duration<double>(s.now - s.store_as_of).count());
    gauge(r, "papayahook_leaving", "1 when the node is leaving",
          s.leaving ? 1 : 0);
    gauge(r, "papayahook_peer_links", "Open links",
          static_cast<double>(s.peers.size()));
    return prometheus::TextSerializer().Serialize(r.Collect());
}

} // namespace papayahook::runtime
