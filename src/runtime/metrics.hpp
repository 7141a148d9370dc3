// Metrics of a node in the Prometheus text format.
#pragma once

#include "papayahook/papayahook.hpp"

namespace papayahook::runtime {

struct link_bytes
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

std::string metrics_text(core::node_state const& s, link_bytes links);

} // namespace papayahook::runtime
