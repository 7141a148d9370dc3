// Numbered log events with key=value fields. Lines go to standard output, by
// a bounded buffer that never blocks, unless another writer takes them.
#pragma once

#include "papayahook/papayahook.hpp"

#include <functional>

namespace papayahook::runtime {

// Events of the runtime itself; those of the core are in core/internal.hpp.
// Catalogue: docs/EVENTS.md, checked against both in CI.
namespace events {
inline constexpr int node_started = 101;
inline constexpr int node_stopped = 103;
inline constexpr int lines_dropped = 104;
inline constexpr int settings_reloaded = 105;
inline constexpr int settings_kept = 106;
inline constexpr int entry_skipped = 207;
inline constexpr int store_failed = 305;
inline constexpr int api_failed = 804;
inline constexpr int bad_peer_message = 611;
inline constexpr int peer_proof_wrong = 612;
inline constexpr int log_answer_unreadable = 311;
} // namespace events

using log_writer = std::function<void(int number, std::string const& line)>;
// Empty: standard output.
void log_to(log_writer it);
// Hands over what waits for standard output, as far as that takes it now.
void flush_log();

// level: by the hundreds in docs/EVENTS.md; most are "info".
void write_log(core::log_event const& it);

} // namespace papayahook::runtime
