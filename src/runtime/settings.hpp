// Settings of papayahookd, read from one TOML file.
#pragma once

#include "papayahook/papayahook.hpp"

namespace papayahook::runtime {

struct address
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0; // 0: none

    bool operator==(address const&) const = default;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

// Parses "ip:port" with a numeric address; nullopt if the text is invalid.
std::optional<address> parse_address(std::string const& text);

struct peer_setting
{
    std::string name;
    std::string address; // "ip:port" of its peer listener
};

struct settings
{
    core::node_settings core;        // limits and timeouts for decisions
    address caller;                  // listener for requests of callers
    address admin;                   // listener for state, metrics and health
    address peer;                    // listener for links of other nodes
    std::vector<peer_setting> peers; // the other nodes
    std::string log_address;         // log of the platform, "ip:port"
    std::string instances_address;   // instance list, "ip:port"; empty: none
    std::vector<std::string> peer_keys; // the first signs, any is accepted
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    std::size_t max_header_bytes = 16 * 1024;
    // Of all that the process allocates: beyond the first, no requests and
    // connections are taken; beyond the second, answers are given up, too.
    std::size_t max_intake_heap_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t max_heap_bytes = std::numeric_limits<std::size_t>::max();
    // Bytes of all answers that are buffered or not yet written. Beyond it the
    // largest answer that is still arriving is given up.
    std::size_t max_answer_bytes = 64UL * 1024 * 1024;
    // Memory of all requests that are still arriving.
    std::size_t max_arriving_bytes = 64UL * 1024 * 1024;
    // As many as the shortest fields, "a:" and a line end, that fit a head.
    std::size_t max_header_count = 4096;
    std::size_t min_caller_rate = 512;  // see http_server_options::min_rate
    std::size_t max_connections = 4096; // of callers; see max_fds, too
    // Descriptors that the process may open; 0: its limit at the start.
    std::size_t max_fds = 0;
    std::size_t max_peer_message_bytes = 16 * 1024 * 1024;
    std::chrono::milliseconds header_timeout{5'000};
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::milliseconds write_timeout{30'000};
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds log_timeout{2'000}; // per append or list read
    std::chrono::milliseconds log_poll{5'000};    // longest wait of a log read
    std::chrono::milliseconds list_period{1'000}; // between instance list reads
    double polls_per_second = 4;                  // load requests to endpoints
    std::string log_level = "info";
    std::string log_file;    // empty: standard error; "-": standard output
    std::string record_file; // events as JSON lines; empty: none
};

// Connections of each kind that the descriptors of a process are divided into.
struct connection_limits
{
    std::size_t callers = 0;
    std::size_t endpoints = 0;
    std::size_t peers = 0;  // that dial this node
    std::size_t probes = 0; // of the readiness port, and of the admin port
};

connection_limits limits_of(settings const& it);

// Divides the memory of a process, like its descriptors, into shares for what
// callers make it hold.
void divide_memory(settings& it, std::size_t bytes);
// Of max_answer_bytes, for answers that callers have not read.
std::size_t max_unwritten_bytes(settings const& it);

// Reads the settings. Throws codec::config_error with file, line and key.
settings read_settings(std::string const& file);

// Returns the settings in force as TOML, with defaults but without keys.
std::string show_settings(settings const& it);

} // namespace papayahook::runtime
