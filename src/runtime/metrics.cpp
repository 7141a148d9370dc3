#include "runtime/metrics.hpp"

#include "runtime/logging.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <numeric>
#include <sstream>
#include <utility>

namespace papayahook::runtime {

namespace {

using label = std::pair<std::string_view, std::string_view>;

struct metric_family
{
    std::string name;
    std::string head;
    std::ostringstream samples;
};

// Families in the order of their first samples. Nothing is escaped: texts and
// labels are constants of this program.
using registry = std::vector<metric_family>;

metric_family& family(registry& r, char const* name, char const* help,
                      char const* type)
{
    auto const it = std::ranges::find(r, name, &metric_family::name);
    if (it != r.end())
        return *it;
    auto& out = r.emplace_back();
    out.name = name;
    out.head = "# HELP " + out.name + " " + help + "\n# TYPE " + out.name +
               " " + type + "\n";
    out.samples.precision(std::numeric_limits<double>::max_digits10 - 1);
    return out;
}

void add_sample(metric_family& out, std::string_view suffix, double value,
                label const& by = {})
{
    out.samples << out.name << suffix;
    if (!by.first.empty())
        out.samples << '{' << by.first << "=\"" << by.second << "\"}";
    out.samples << ' ' << value << '\n';
}

void counter(registry& r, char const* name, char const* help,
             std::uint64_t value, label const& by = {})
{
    add_sample(family(r, name, help, "counter"), "", static_cast<double>(value),
               by);
}

void gauge(registry& r, char const* name, char const* help, double value,
           label const& by = {})
{
    add_sample(family(r, name, help, "gauge"), "", value, by);
}

void histogram(registry& r, char const* name, char const* help,
               core::latency_histogram const& it)
{
    using seconds = std::chrono::duration<double>;
    auto& out = family(r, name, help, "histogram");
    auto const total =
        std::accumulate(it.counts.begin(), it.counts.end(), std::uint64_t{});
    add_sample(out, "_count", static_cast<double>(total));
    add_sample(out, "_sum", seconds(it.sum).count());
    std::uint64_t below = 0;
    for (std::size_t n = 0; n < core::latency_bounds.size(); ++n) {
        std::ostringstream bound;
        bound << seconds(core::latency_bounds[n]).count();
        below += it.counts[n];
        add_sample(out, "_bucket", static_cast<double>(below),
                   {"le", bound.view()});
    }
    add_sample(out, "_bucket", static_cast<double>(total), {"le", "+Inf"});
}

std::string text_of(registry const& all)
{
    std::string out;
    for (auto const& it : all)
        out.append(it.head).append(it.samples.view());
    return out;
}

void add_quarantine(registry& r, core::node_state const& s)
{
    counter(r, "papayahook_quarantines_total",
            "Parts of prompts that were quarantined", s.counts.quarantines);
    counter(r, "papayahook_quarantine_refusals_total",
            "Requests refused because of a quarantined part",
            s.counts.refused_quarantined);
    gauge(r, "papayahook_quarantined_parts", "Parts that get no calls now",
          static_cast<double>(core::quarantined_parts(s).size()));
}

void add_connections(registry& r, caller_use const& callers)
{
    for (auto const& [reason, n] : callers.closed)
        counter(r, "papayahook_closed_connections_total",
                "Connections of callers that the node closed", n,
                {"reason", reason});
    for (auto const& it : callers.memory) {
        gauge(r, "papayahook_caller_memory_bytes",
              "Memory that connections of callers take, by kind",
              static_cast<double>(it.bytes), {"kind", it.kind});
        gauge(r, "papayahook_caller_memory_limit",
              "Memory beyond which connections of callers are closed",
              static_cast<double>(it.limit), {"kind", it.kind});
    }
    for (auto const& it : callers.connections) {
        gauge(r, "papayahook_open_connections", "Open connections by kind",
              static_cast<double>(it.open), {"kind", it.kind});
        gauge(r, "papayahook_connection_limit",
              "Connections of a kind that the descriptors allow",
              static_cast<double>(it.limit), {"kind", it.kind});
    }
}

void add_peer_traffic(registry& r, core::node_state const& s, link_bytes links)
{
    counter(r, "papayahook_peer_messages_total", "Messages sent to peers",
            s.counts.peer_messages);
    counter(r, "papayahook_peer_bytes_total", "Bytes on links to peers",
            links.sent, {"direction", "sent"});
    counter(r, "papayahook_peer_bytes_total", "Bytes on links to peers",
            links.received, {"direction", "received"});
}

void add_request_memory(registry& r, core::node_state const& s)
{
    gauge(r, "papayahook_request_bytes", "Bytes of the bodies of open requests",
          static_cast<double>(s.request_bytes));
    gauge(r, "papayahook_max_request_bytes",
          "Bytes beyond which requests are refused",
          static_cast<double>(s.settings.max_request_bytes));
}

// Reads that go on, or have ended, although none of them fails show in these.
void add_topics(registry& r, core::time_point now,
                std::vector<topic_progress> const& topics)
{
    for (auto const& it : topics) {
        label const by{"topic", it.topic};
        counter(r, "papayahook_topic_reads_total",
                "Reads of a topic of the store", it.reads, by);
        counter(r, "papayahook_topic_page_reads_total",
                "Reads of pages of a topic's newest records", it.pages, by);
        counter(r, "papayahook_topic_stalls_total",
                "Reads of a topic that succeeded and did not go on", it.stalls,
                by);
        gauge(r, "papayahook_topic_offset", "Offset of the next read",
              static_cast<double>(it.next), by);
        if (it.followed)
            gauge(r, "papayahook_topic_age_seconds",
                  "Time since a topic that is read was known completely",
                  std::chrono::duration<double>(now -
                                                std::max(it.as_of, it.since))
                      .count(),
                  by);
    }
}

void add_refused_answers(registry& r, refusal_counts const& all)
{
    for (auto const& [rule, n] : all)
        counter(r, "papayahook_refused_answers_total",
                "Answers received that the grammar does not allow, by rule", n,
                {"rule", rule});
}

// What gets no calls, or few.
void add_restrictions(registry& r, core::node_state const& s)
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

void add_store(registry& r, core::node_state const& s)
{
    gauge(r, "papayahook_log_reachable", "1 when the log answers",
          s.log_reachable ? 1 : 0);
    if (s.store_as_of != core::time_point{})
        gauge(r, "papayahook_store_age_seconds",
              "Age of the data of the platform's store that this node knows",
              std::chrono::duration<double>(s.now - s.store_as_of).count());
    gauge(r, "papayahook_call_data_age_max_seconds",
          "Age of the oldest data of the platform's store with which a call "
          "began, since the start",
          std::chrono::duration<double>(s.max_call_data_age).count());
    // Nodes whose figures differ for longer than a configuration takes to reach
    // them are behind.
    if (s.config.version != 0) {
        gauge(r, "papayahook_config_version",
              "Version of the operator's document in force",
              static_cast<double>(s.config.version));
        gauge(r, "papayahook_config_in_force_seconds",
              "Time since the operator's document came into force",
              std::chrono::duration<double>(s.now - s.config.in_force_since)
                  .count());
    }
    gauge(r, "papayahook_usable_endpoints",
          "Endpoints that the registry's entries allow to use",
          static_cast<double>(core::usable_endpoints(s)));
    gauge(r, "papayahook_fencing_token",
          "Token of this node's calls for all nodes; 0: it holds no lease",
          static_cast<double>(s.duties.fencing));
    gauge(r, "papayahook_store_era", "Era of the platform's store; 0: unknown",
          static_cast<double>(s.era));
    counter(r, "papayahook_store_returns_total",
            "Returns of the platform's store from an older copy",
            s.counts.store_returns);
}

} // namespace

std::string metrics_text(core::node_state const& s, link_bytes links,
                         caller_use const& callers,
                         std::vector<topic_progress> const& topics,
                         refusal_counts const& refused_answers)
{
    registry r;
    add_connections(r, callers);
    add_topics(r, s.now, topics);
    add_refused_answers(r, refused_answers);
    auto const& n = s.counts;
    counter(r, "papayahook_requests_total", "Requests received", n.requests);
    counter(r, "papayahook_answers_total", "Whole answers", n.answered);
    counter(r, "papayahook_refusals_total", "Requests without an answer",
            n.refused_not_run, {"outcome", "not_run"});
    counter(r, "papayahook_refusals_total", "Requests without an answer",
            n.refused_unknown, {"outcome", "outcome_unknown"});
    add_restrictions(r, s);
    counter(r, "papayahook_broken_answers_total",
            "Answers that ended in an error event", n.failed_answers);
    counter(r, "papayahook_dispatches_total", "Calls to endpoints",
            n.dispatches);
    counter(r, "papayahook_retries_total", "Calls after a failed one",
            n.retries);
    counter(r, "papayahook_withheld_calls_total",
            "Calls that were not sent, as their endpoint had left meanwhile",
            n.withheld_calls);
    counter(r, "papayahook_resumed_streams_total",
            "Streams that went on at another endpoint", n.resumed_streams);
    counter(r, "papayahook_recomputed_tokens_total",
            "Tokens computed again for resumed streams", n.tokens_recomputed);
    counter(r, "papayahook_handed_over_requests_total",
            "Requests that passed between a leaving node and a peer",
            n.handed_over, {"direction", "out"});
    counter(r, "papayahook_handed_over_requests_total",
            "Requests that passed between a leaving node and a peer",
            n.taken_over, {"direction", "in"});
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
    add_store(r, s);
    gauge(r, "papayahook_leaving", "1 when the node is leaving",
          s.leaving ? 1 : 0);
    gauge(r, "papayahook_peer_links", "Open links",
          static_cast<double>(s.peers.size()));
    return text_of(r);
}

} // namespace papayahook::runtime
