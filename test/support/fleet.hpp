// A small fleet of separate processes: fakes of the platform and endpoints,
// and nodes with their configuration.
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
    std::string caller; // address of the caller port
    std::string admin;  // address of the admin port
    std::unique_ptr<process> run;
};

struct fleet
{
    std::string folder;    // holds logs and settings
    std::string log;       // address of the platform's log
    std::string instances; // address of the instance list
    std::map<std::string, std::unique_ptr<process>> platform;
    std::map<std::string, std::unique_ptr<process>> endpoints; // by name
    std::vector<core::endpoint> endpoint_records;
    std::vector<node_process> nodes;

    node_process& node(std::size_t i) { return nodes.at(i); }
    core::endpoint const& endpoint(std::string const& name) const;
};

// Options of a generated fleet.
struct fleet_options
{
    int nodes = 3;
    int runners = 2;     // of version "v1" in pool "lm"
    int new_runners = 0; // of version "v2"
    int desks = 1;       // services for orders, version "v1" in pool "desk"
    int new_desks = 0;   // of version "v2"
    int slots = 16;
    int token_gap_us = 10'000;
    int work_ms = 5;      // time to run an order
    std::string timeouts; // lines of the [timeouts] section
    std::string limits;   // lines of the [limits] section
    std::string routes;   // TOML of additional records
    std::string crash_on; // runners exit on prompts with this text
    // Time from the end of a runner's connections to its exit.
    int crash_ms = 0;
    std::size_t retention = 1'000'000;
    bool log_runs = true;
};

// Starts a fleet with the routes "chat" (runners) and "orders" (desks, not
// repeatable) and the organisation "acme", whose key is test_key. Waits until
// all nodes are ready. Throws std::runtime_error.
inline constexpr char const* test_key = "acme-secret-key-0001";
fleet start_fleet(fleet_options const& options);

// Starts the fleet of a folder under etc/, which holds node-*.toml and
// config.toml. Throws std::runtime_error.
fleet start_sample(std::string const& folder);

void start_endpoint(fleet& f, core::endpoint const& e,
                    std::vector<std::string> const& extra = {});
void start_node(fleet& f, node_process& n);
void start_log(fleet& f, std::size_t retention);
bool wait_ready(fleet& f, std::chrono::milliseconds limit);
// Runs papayahookctl with the fleet's log. Returns the exit code and stores
// the output in `out`.
int ctl(fleet const& f, std::vector<std::string> const& args,
        std::string* out = nullptr);
void publish_text(fleet const& f, std::string const& toml);

// Calls `holds` until it returns true or the limit has passed. Returns whether
// it returned true.
bool eventually(std::chrono::milliseconds limit,
                std::function<bool()> const& holds);

// Returns how often an order was run, over all desks.
int times_run(fleet const& f, std::string const& order);

} // namespace papayahook::support
