// Numbered log events with key=value fields. Lines go to standard output or
// another file through a bounded buffer that never blocks.
#pragma once

#include "papayahook/papayahook.hpp"

#include <functional>

namespace papayahook::runtime {

// Events of the runtime; those of the core are in core/internal.hpp. CI checks
// both against the catalogue in docs/EVENTS.md.
namespace events {
inline constexpr int node_started = 101;
inline constexpr int node_stopped = 103;
inline constexpr int lines_dropped = 104;
inline constexpr int settings_reloaded = 105;
inline constexpr int settings_kept = 106;
inline constexpr int signal_received = 107;
inline constexpr int address_awaited = 108;
inline constexpr int handler_failed = 109;
inline constexpr int accept_failed = 110;
inline constexpr int settings_awaited = 111;
inline constexpr int request_refused = 401;
inline constexpr int arriving_request_closed = 412;
inline constexpr int slow_head_closed = 413;
inline constexpr int slow_body_closed = 414;
inline constexpr int slow_reader_closed = 415;
inline constexpr int unread_answer_closed = 416;
inline constexpr int idle_connection_closed = 417;
inline constexpr int connection_replaced = 418;
inline constexpr int caller_ended = 419;
inline constexpr int callers_refused = 420;
inline constexpr int entry_skipped = 207;
inline constexpr int store_failed = 305;
inline constexpr int api_failed = 804;
inline constexpr int bad_peer_message = 611;
inline constexpr int peer_proof_wrong = 612;
inline constexpr int log_answer_unreadable = 311;
inline constexpr int topic_stalled = 312;
inline constexpr int store_era_unknown = 313;
} // namespace events

using log_writer = std::function<void(int number, std::string const& line)>;
// Sets the writer of all further lines; empty: standard output.
void set_log_writer(log_writer it);

// Makes the standard streams of the process safe to use: a reader that goes
// away sends no signal, and closed descriptors are not given to sockets. To be
// called first in main().
void prepare_output();
// Sets the file that buffered lines are written to, instead of standard output.
void set_log_descriptor(int fd);
// Buffers a whole line of an event, or counts it as dropped.
void buffer_line(int number, std::string const& line);
// Writes buffered lines, as far as the file accepts them without blocking.
void flush_log();
// Lines that were left out since the start.
std::uint64_t dropped_lines();

// docs/EVENTS.md lists the level of each hundred of event numbers; most events
// are "info".
void write_log(core::log_event const& it);

} // namespace papayahook::runtime
