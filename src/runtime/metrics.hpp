// Metrics of a node in the Prometheus text format.
#pragma once

#include "papayahook/papayahook.hpp"

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

std::string metrics_text(core::node_state const& s, link_bytes links,
                         std::vector<connection_use> const& connections);

} // namespace papayahook::runtime
