// Settings of papayahookd, read from one TOML file.
#pragma once

#include "papayahook/papayahook.hpp"

namespace papayahook::runtime {

struct address
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0; // 0: none

    std::string text() const { return ip + ":" + std::to_string(port); }
};

// By number; empty where the text is none.
std::optional<address> address_of(std::string const& text);

struct peer_setting
{
    std::string name;
    std::string address; // "ip:port" of its peer listener
};

struct settings
{
    core::node_settings core;           // decisions: limits and timeouts
    address caller;                     // requests of callers
    address admin;                      // state, metrics, health
    address peer;                       // links of other nodes
    std::vector<peer_setting> peers;    // without this node
    std::string log_address;            // platform's log, "ip:port"
    std::string instances_address;      // platform's list; empty: none
    std::vector<std::string> peer_keys; // first proves, all are accepted
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_header_count = 64;
    std::size_t max_connections = 4096;
    std::size_t max_peer_message_bytes = 16 * 1024 * 1024;
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::milliseconds write_timeout{30'000};
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds log_timeout{2'000}; // one append
    std::chrono::milliseconds log_poll{5'000};    // one waiting read
    std::chrono::milliseconds list_period{1'000};
    double polls_per_second = 4; // load reports asked of endpoints
    std::string log_level = "info";
    std::string log_file;    // empty: standard error; "-": standard output
    std::string record_file; // events as JSON lines; empty: none
};

// Throws codec::config_error naming file, line and key.
settings read_settings(std::string const& file);

// What is in force, as TOML with all defaults filled in; without keys.
std::string show_settings(settings const& it);

} // namespace papayahook::runtime
