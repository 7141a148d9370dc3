// Nodes of papayahook-node as separate processes on a fake platform.
#pragma once

#include "support/client.hpp"
#include "support/platform_fake.hpp"
#include "support/processes.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace papayahook::support {

// Routes /p/ (idempotent) and /s/ (streams) to service "app", /raw/ and /raw-3/
// (resumable streams) to service "raw". Key "k1" belongs to organisation
// "acme".
inline constexpr char const* configuration = R"({"version":1,"routes":[
{"name":"r","host":"h","path_prefix":"/p/","route_type":"idempotent",
 "timeout_ms":3000,"service":"app","attempts":1},
{"name":"s","host":"h","path_prefix":"/s/","route_type":"streaming",
 "timeout_ms":3000,"service":"app","attempts":1},
{"name":"raw","host":"h","path_prefix":"/raw/","route_type":"streaming",
 "resumable":true,"timeout_ms":3000,"service":"raw","attempts":2},
{"name":"raw-3","host":"h","path_prefix":"/raw-3/","route_type":"streaming",
 "resumable":true,"timeout_ms":3000,"service":"raw","attempts":3}],
"services":[{"name":"app","health_path":"/health"},{"name":"raw"}],
"tenants":[{"name":"acme","api_keys":["k1"]}]})";

struct platform_node
{
    std::string name;
    std::string front;     // address of the caller port
    std::string readiness; // address of the readiness port
    std::string metrics;   // address of the metrics port
    std::string settings;  // path of the settings file
    std::string log;       // path of the log file
    std::unique_ptr<process> run;
};

// The ports of a node for its own use, in a row; its metrics have one of them.
inline constexpr int internal_ports = 16;

std::string read_file(std::string const& file);

// Writes the settings file of a node. `ports` is the first of its internal
// ports.
void write_settings(platform_node const& n, platform_fake const& p,
                    std::uint16_t ports,
                    std::chrono::seconds grace = std::chrono::seconds(8));
// Starts the node's process with its settings file and log file.
void start(platform_node& n);
// A node that has settings and does not run yet. `ports` is the first of
// internal_ports that are free.
platform_node
settings_of_node(std::string const& name, platform_fake const& p,
                 std::uint16_t ports,
                 std::chrono::seconds grace = std::chrono::seconds(8));
platform_node make_node(std::string const& name, platform_fake const& p,
                        std::uint16_t ports,
                        std::chrono::seconds grace = std::chrono::seconds(8));

call_plan request(platform_node const& n, std::string const& path,
                  std::string const& id, std::string const& key = "k1");
bool is_ready(platform_node const& n);
// Returns the value of a metric without labels; NaN if the node has none.
double gauge_of(platform_node const& n, std::string const& name);

// A fake platform with one runner, and two nodes that are ready. Throws
// std::runtime_error if they are not ready in time.
struct small_platform
{
    small_platform();

    platform_fake fake;
    std::vector<platform_node> nodes;
};

} // namespace papayahook::support
