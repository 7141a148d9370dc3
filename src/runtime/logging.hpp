// Numbered log events with key=value fields, by log4cplus.
#pragma once

#include "runtime/settings.hpp"

namespace papayahook::runtime {

// Events of the runtime itself; those of the core are in core/internal.hpp.
// Catalogue: docs/EVENTS.md, checked against both in CI.
namespace events {
inline constexpr int node_started = 101;
inline constexpr int node_stopped = 103;
inline constexpr int bad_peer_message = 611;
inline constexpr int peer_proof_wrong = 612;
inline constexpr int log_answer_unreadable = 311;
} // namespace events

void start_logging(settings const& it);
void stop_logging();

// level: by the hundreds in docs/EVENTS.md; most are "info".
void write_log(core::log_event const& it);

} // namespace papayahook::runtime
