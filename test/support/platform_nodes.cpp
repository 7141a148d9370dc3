#include "support/platform_nodes.hpp"

#include "platform/wire.hpp"
#include "support/fleet.hpp"

#include <cmath>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace papayahook::support {

using namespace std::chrono_literals;
namespace wire = platform::wire;

std::string read_file(std::string const& file)
{
    std::ifstream in(file);
    return {std::istreambuf_iterator<char>(in), {}};
}

void write_settings(platform_node const& n, platform_fake const& p,
                    std::uint16_t ports, std::chrono::seconds grace)
{
    std::ofstream(n.settings)
        << "node_name=" << n.name << "\nzone=zone-a\nip=127.0.0.1"
        << "\nlisten.front=" << n.front << "\nlisten.readiness=" << n.readiness
        << "\ninternal_ports=" << ports << ',' << ports + internal_ports - 1
        << "\nplatform.address=" << p.store_address
        << "\ncloud_api.address=" << p.api_address
        << "\ncloud_api.duties=usage\nbounds.usage_window_s=1"
        << "\nbounds.usage_late_s=2\nbounds.grace_s=" << grace.count()
        << "\nlimits.memory_mb=160\n";
}

void start(platform_node& n)
{
    setenv("PAPAYAHOOK_SETTINGS", n.settings.c_str(), 1);
    n.run = std::make_unique<process>(
        std::vector<std::string>{program("papayahook-node")}, n.log);
}

platform_node settings_of_node(std::string const& name, platform_fake const& p,
                               std::uint16_t ports, std::chrono::seconds grace)
{
    platform_node n;
    auto const folder = make_folder("platform-" + name);
    n.name = name;
    n.front = "127.0.0.1:" + std::to_string(free_port());
    n.readiness = "127.0.0.1:" + std::to_string(free_port());
    n.metrics = "127.0.0.1:" + std::to_string(ports + 14);
    n.settings = folder + "/settings";
    n.log = folder + "/log";
    write_settings(n, p, ports, grace);
    return n;
}

platform_node make_node(std::string const& name, platform_fake const& p,
                        std::uint16_t ports, std::chrono::seconds grace)
{
    auto n = settings_of_node(name, p, ports, grace);
    start(n);
    return n;
}

call_plan request(platform_node const& n, std::string const& path,
                  std::string const& id, std::string const& key)
{
    call_plan it;
    it.method = "GET";
    it.address = n.front;
    it.path = path;
    it.key = key;
    it.headers = {{"Host", "h"}, {wire::request_id, id}};
    return it;
}

bool is_ready(platform_node const& n)
{
    call_plan it;
    it.method = "GET";
    it.address = n.readiness;
    it.path = "/v1/readiness";
    return run_call(it).status == 200;
}

double gauge_of(platform_node const& n, std::string const& name)
{
    auto const text = get(n.metrics, "/metrics");
    auto const at = text.find("\n" + name + " ");
    return at == text.npos ? std::nan("")
                           : std::stod(text.substr(at + name.size() + 2));
}

small_platform::small_platform()
{
    fake.put(wire::operator_topic, wire::configuration_key, configuration);
    fake.add_runner({"i-1", "app"});
    for (auto const* const name : {"n1", "n2"})
        nodes.push_back(make_node(name, fake, free_ports(internal_ports)));
    if (!eventually(10s,
                    [&] { return is_ready(nodes[0]) && is_ready(nodes[1]); }))
        throw std::runtime_error("the nodes are not ready in time");
}

} // namespace papayahook::support
