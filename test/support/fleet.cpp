#include "support/fleet.hpp"

#include "codec/config_file.hpp"
#include "codec/json.hpp"
#include "runtime/settings.hpp"
#include "support/client.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace papayahook::support {

namespace {

using namespace std::chrono_literals;

constexpr auto poll_period = 20ms;
constexpr auto start_limit = 20s;
constexpr auto command_limit = 30s;

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

void write_file(std::string const& path, std::string const& text)
{
    std::ofstream(path) << text;
}

std::string read_file(std::string const& path)
{
    std::ifstream in(path);
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
}

core::time_point wall_now()
{
    return std::chrono::time_point_cast<core::duration>(
        std::chrono::system_clock::now());
}

void start_platform(fleet& f, std::string const& kind,
                    std::string const& address,
                    std::vector<std::string> const& extra)
{
    std::vector<std::string> args{program("papayahook-fakes"), kind, "--listen",
                                  address};
    args.insert(args.end(), extra.begin(), extra.end());
    f.platform[kind] =
        std::make_unique<process>(args, f.folder + "/" + kind + ".log");
}

std::string endpoint_toml(core::endpoint const& e)
{
    return "[[endpoint]]\nname = \"" + e.name + "\"\nkind = \"" +
           core::to_string(e.kind) + "\"\npool = \"" + e.pool +
           "\"\naddress = \"" + e.address + "\"\nzone = \"" + e.zone +
           "\"\nversion = \"" + e.version +
           "\"\nslots = " + std::to_string(e.slots) + "\n";
}

core::endpoint make_endpoint(std::string const& name, core::endpoint_kind kind,
                             std::string const& pool,
                             std::string const& version, int slots)
{
    core::endpoint e;
    e.name = name;
    e.kind = kind;
    e.pool = pool;
    e.version = version;
    e.zone = "zone-a";
    e.slots = slots;
    e.address = loopback(free_port());
    return e;
}

std::string node_toml(fleet const& f, fleet_options const& o,
                      std::vector<std::array<std::string, 3>> const& addresses,
                      std::size_t self)
{
    std::string out = "[node]\nname = \"n" + std::to_string(self + 1) +
                      "\"\nzone = \"zone-" +
                      std::string(1, static_cast<char>('a' + self % 3)) +
                      "\"\n[listen]\ncaller = \"" + addresses[self][0] +
                      "\"\nadmin = \"" + addresses[self][1] + "\"\npeer = \"" +
                      addresses[self][2] + "\"\n[platform]\nlog = \"" + f.log +
                      "\"\ninstances = \"" + f.instances + "\"\n[timeouts]\n" +
                      o.timeouts + "\n[limits]\n" + o.limits + "\n";
    for (std::size_t i = 0; i < addresses.size(); ++i)
        if (i != self)
            out += "[[peer]]\nname = \"n" + std::to_string(i + 1) +
                   "\"\naddress = \"" + addresses[i][2] + "\"\n";
    return out;
}

void wait_for_http(std::string const& address, std::string const& path)
{
    if (!eventually(start_limit, [&] { return !get(address, path).empty(); }))
        throw std::runtime_error(address + " does not answer");
}

} // namespace

core::endpoint const& fleet::endpoint(std::string const& name) const
{
    auto const it =
        std::ranges::find(endpoint_records, name, &core::endpoint::name);
    if (it == endpoint_records.end())
        throw std::runtime_error("no endpoint " + name);
    return *it;
}

bool eventually(std::chrono::milliseconds limit,
                std::function<bool()> const& holds)
{
    auto const until = std::chrono::steady_clock::now() + limit;
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= until)
            return false;
        std::this_thread::sleep_for(poll_period);
    }
    return true;
}

void start_log(fleet& f, std::size_t retention)
{
    start_platform(f, "log", f.log, {"--retention", std::to_string(retention)});
    wait_for_http(f.log, "/counts");
}

void start_endpoint(fleet& f, core::endpoint const& e,
                    std::vector<std::string> const& extra)
{
    bool const model = e.kind == core::endpoint_kind::model_runner;
    std::vector<std::string> args{program("papayahook-fakes"),
                                  model ? "runner" : "orders",
                                  "--listen",
                                  e.address,
                                  "--name",
                                  e.name,
                                  "--slots",
                                  std::to_string(e.slots)};
    args.insert(args.end(), extra.begin(), extra.end());
    f.endpoints[e.name] =
        std::make_unique<process>(args, f.folder + "/" + e.name + ".log");
}

void start_node(fleet& f, node_process& n)
{
    n.run = std::make_unique<process>(
        std::vector<std::string>{program("papayahookd"), "--config",
                                 n.settings_file},
        f.folder + "/" + n.name + ".log");
}

bool wait_ready(fleet& f, std::chrono::milliseconds limit)
{
    return eventually(limit, [&] {
        return std::ranges::all_of(f.nodes, [](auto const& n) {
            return !n.run || get(n.admin, "/readyz") == "ready\n";
        });
    });
}

int ctl(fleet const& f, std::vector<std::string> const& args, std::string* out)
{
    std::vector<std::string> command{program("papayahookctl"), "--log", f.log};
    command.insert(command.end(), args.begin(), args.end());
    auto const file = make_folder("papayahook-ctl") + "/out";
    process run(command, file);
    int const code = run.wait(command_limit);
    if (out != nullptr)
        *out = read_file(file);
    std::filesystem::remove_all(std::filesystem::path(file).parent_path());
    return code;
}

void publish_text(fleet const& f, std::string const& toml)
{
    auto const file = f.folder + "/publish.toml";
    write_file(file, toml);
    std::string out;
    if (ctl(f, {"publish", file}, &out) != 0)
        throw std::runtime_error("publish failed: " + out);
}

int times_run(fleet const& f, std::string const& order)
{
    int n = 0;
    for (auto const& e : f.endpoint_records) {
        if (e.kind != core::endpoint_kind::plain_service)
            continue;
        auto const counts =
            nlohmann::json::parse(get(e.address, "/counts"), nullptr, false);
        if (counts.is_object())
            n += counts.value(order, 0);
    }
    return n;
}

fleet start_fleet(fleet_options const& o)
{
    fleet f;
    f.folder = make_folder("papayahook-fleet");
    f.log = loopback(free_port());
    f.instances = loopback(free_port());
    if (o.log_runs)
        start_log(f, o.retention);
    start_platform(f, "instances", f.instances, {});
    auto const add = [&](std::string const& name, core::endpoint_kind kind,
                         std::string const& pool, std::string const& version) {
        f.endpoint_records.push_back(
            make_endpoint(name, kind, pool, version, o.slots));
    };
    using kind = core::endpoint_kind;
    for (int i = 1; i <= o.runners; ++i)
        add("r" + std::to_string(i), kind::model_runner, "lm", "v1");
    for (int i = 1; i <= o.new_runners; ++i)
        add("s" + std::to_string(i), kind::model_runner, "lm", "v2");
    for (int i = 1; i <= o.desks; ++i)
        add("d" + std::to_string(i), kind::plain_service, "desk", "v1");
    for (int i = 1; i <= o.new_desks; ++i)
        add("e" + std::to_string(i), kind::plain_service, "desk", "v2");
    std::string config =
        "[[organisation]]\nname = \"acme\"\nkey_digests = [\"" +
        codec::sha256(test_key) + "\"]\n";
    for (auto const& e : f.endpoint_records) {
        start_endpoint(f, e,
                       {"--gap-us", std::to_string(o.token_gap_us), "--work-ms",
                        std::to_string(o.work_ms), "--crash-on", o.crash_on,
                        "--crash-ms", std::to_string(o.crash_ms)});
        config += endpoint_toml(e);
    }
    config += "[[route]]\nname = \"chat\"\npool = \"lm\"\nversion = \"v1\"\n"
              "[[route]]\nname = \"orders\"\npool = \"desk\"\n"
              "version = \"v1\"\nclass = \"order\"\nrepeatable = false\n"
              "deadline_ms = 5000\n" +
              o.routes;
    std::vector<std::array<std::string, 3>> addresses;
    for (int i = 0; i < o.nodes; ++i)
        addresses.push_back({loopback(free_port()), loopback(free_port()),
                             loopback(free_port())});
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        node_process n;
        n.name = "n" + std::to_string(i + 1);
        n.settings_file = f.folder + "/" + n.name + ".toml";
        n.caller = addresses[i][0];
        n.admin = addresses[i][1];
        write_file(n.settings_file, node_toml(f, o, addresses, i));
        start_node(f, n);
        f.nodes.push_back(std::move(n));
    }
    if (!o.log_runs)
        return f;
    publish_text(f, config);
    for (auto const& e : f.endpoint_records)
        wait_for_http(e.address, "/load");
    if (!wait_ready(f, start_limit))
        throw std::runtime_error("nodes are not ready in time; logs are in " +
                                 f.folder);
    return f;
}

fleet start_sample(std::string const& folder)
{
    fleet f;
    f.folder = make_folder("papayahook-sample");
    std::vector<std::string> files;
    for (auto const& it : std::filesystem::directory_iterator(folder))
        if (it.path().filename().string().starts_with("node-"))
            files.push_back(it.path().string());
    std::ranges::sort(files);
    for (auto const& file : files) {
        auto const it = runtime::read_settings(file);
        f.log = it.log_address;
        f.instances = it.instances_address;
        node_process n;
        n.name = it.core.name;
        n.settings_file = file;
        n.caller = it.caller.text();
        n.admin = it.admin.text();
        f.nodes.push_back(std::move(n));
    }
    start_log(f, 1'000'000);
    start_platform(f, "instances", f.instances, {});
    auto const config = folder + "/config.toml";
    for (auto const& body : codec::read_config_file(config, wall_now()))
        if (auto const* const e = std::get_if<core::endpoint>(&body))
            f.endpoint_records.push_back(*e);
    for (auto const& e : f.endpoint_records)
        start_endpoint(f, e, {"--gap-us", "5000"});
    for (auto& n : f.nodes)
        start_node(f, n);
    std::string out;
    if (ctl(f, {"publish", config}, &out) != 0)
        throw std::runtime_error("publish failed: " + out);
    for (auto const& e : f.endpoint_records)
        wait_for_http(e.address, "/load");
    if (!wait_ready(f, start_limit))
        throw std::runtime_error("nodes are not ready in time; logs are in " +
                                 f.folder);
    return f;
}

} // namespace papayahook::support
