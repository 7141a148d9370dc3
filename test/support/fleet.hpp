// A small fleet of separate processes: stand-ins, nodes, configuration.
#pragma once

#include "papayahook/papayahook.hpp"
#include "support/processes.hpp"

#include <functional>
#include <map>
#include <memory>

namespace papayahook::support {

struct node_process
{
    std::string name;
    std::string settings_file;
    std::string caller; // addresses
    std::string admin;
    std::unique_ptr<process> run;
};

struct fleet
{
    std::string folder; // logs and settings
    std::string log;    // address of the platform's log
    std::string instances;
    std::map<std::string, std::unique_ptr<process>> platform;
    std::map<std::string, std::unique_ptr<process>> endpoints; // by name
    std::vector<core::endpoint> endpoint_records;
    std::vector<node_process> nodes;

    node_process& node(std::size_t i) { return nodes.at(i); }
    core::endpoint const& endpoint(std::string const& name) const;
};

// Options of generated fleets.
struct fleet_options
{
    int nodes = 3;
    int runners = 2;     // of version "v1" in pool "lm"
    int new_runners = 0; // of version "v2"
    int desks = 1;       // order desks, version "v1" in pool "desk"
    int new_desks = 0;   // of version "v2"
    int slots = 16;
    int token_gap_us = 10'000;
    int work_ms = 5;      // of one order
    std::string timeouts; // lines for [timeouts]
    std::string limits;   // lines for [limits]
    std::string routes;   // further records
    std::size_t retention = 1'000'000;
    bool log_runs = true;
};

// Routes "chat" (runners) and "orders" (desks, not repeatable), organisation
// "acme" with key test_key. Waits until every node is ready.
inline constexpr char const* test_key = "acme-secret-key-0001";
fleet start_fleet(fleet_options const& options);

// Fleet of a folder under etc/: node-*.toml and config.toml.
fleet start_sample(std::string const& folder);

void start_endpoint(fleet& f, core::endpoint const& e,
                    std::vector<std::string> const& extra = {});
void start_node(fleet& f, node_process& n);
void start_log(fleet& f, std::size_t retention);
bool wait_ready(fleet& f, std::chrono::milliseconds limit);
// Runs papayahookctl against the fleet's log; output in `out`.
int ctl(fleet const& f, std::vector<std::string> const& words,
        std::string* out = nullptr);
void publish_text(fleet const& f, std::string const& toml);

// Calls `holds` until it is true or the limit has passed.
bool eventually(std::chrono::milliseconds limit,
                std::function<bool()> const& holds);

// Times that order desks ran an order, over all desks.
int times_run(fleet const& f, std::string const& order);

} // namespace papayahook::support
