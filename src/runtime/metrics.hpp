// Metrics of a node in the Prometheus text format.
#pragma once

#include "papayahook/papayahook.hpp"
#include "runtime/http_client.hpp"
#include "runtime/topic_reader.hpp"

namespace papayahook::runtime {

struct link_bytes
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

struct connection_use
{
    char const* kind = "";
    std::size_t open = 0;
    std::size_t limit = 0;
};

struct memory_use
{
    char const* kind = "";
    std::size_t bytes = 0;
    std::size_t limit = 0;
};

// What the connections of callers take, and those that were closed.
struct caller_use
{
    std::vector<connection_use> connections;
    std::vector<memory_use> memory;
    std::vector<std::pair<char const*, std::uint64_t>> closed; // by reason
};

std::string metrics_text(core::node_state const& s, link_bytes links,
                         caller_use const& callers,
                         std::vector<topic_progress> const& topics,
                         refusal_counts const& refused_answers);

} // namespace papayahook::runtime
