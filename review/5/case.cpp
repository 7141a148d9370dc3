// A runner leaves without reporting `draining`; at the same moment the two
// nodes that read the store for all lose power. The other nodes must send it
// nothing later than `drain_ms` after its entry was removed.
#include "stage.hpp"

#include <fstream>

using namespace stage;

namespace {

constexpr int drain_ms = 2'000;
constexpr int served_on_ms = 2'900; // drain_ms "and a little longer"
constexpr int dark_ms = 2'000;      // of the power loss
constexpr int work_ms = 250;
constexpr int machines = 6;
constexpr int runners = 8; // one of them leaves: a share of 0.125
constexpr int callers = 240;

// A runner in a process of its own. Notes the arrival of each request.
int run_server(std::string const& ip, int port, std::string const& name,
               std::string const& arrivals)
{
    static std::mutex mutex;
    server it{name, ip, "wuno96b"};
    it.port = port;
    it.run = [&](int fd, message const&, std::string const& id) {
        {
            std::scoped_lock const lock(mutex);
            std::ofstream(arrivals, std::ios::app)
                << wall_ms() << ' ' << id << std::endl;
        }
        sleep_ms(work_ms);
        return send_all(fd, answer_text(200, it.head(id), "booked " + id));
    };
    it.open();
    for (;;)
        pause();
}

constexpr char const* configuration =
    R"({"version":7,"routes":[{"name":"r-1","host":"ficu95.example",)"
    R"("path_prefix":"/puxa403/","route_type":"non_idempotent",)"
    R"("timeout_ms":2500,"target_latency_ms":600,"priority":2,)"
    R"("service":"wuno96b","attempts":1,"public":false,"sticky":false}],)"
    R"("services":[{"name":"wuno96b","health_path":"/health","max_conns":96,)"
    R"("protocol":"h1","tls":false}],"limits":{"header_bytes":16384,)"
    R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"tenants":[{"name":"hule930",)"
    R"("api_keys":["key-1"],"unit":"token_count","plain_tokens":200}]})";

struct server_process : server
{
    pid_t pid = -1;
    std::string arrivals;
};

void start(server_process& it)
{
    close(listen_at(it.ip, it.port)); // a free port
    auto const port = std::to_string(it.port);
    it.pid = fork();
    if (it.pid == 0) {
        execl("/proc/self/exe", "case", "server", it.ip.c_str(), port.c_str(),
              it.name.c_str(), it.arrivals.c_str(), nullptr);
        _exit(127);
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc == 6 && std::string(argv[1]) == "server")
        return run_server(argv[2], std::atoi(argv[3]), argv[4], argv[5]);
    start_ms();
    server_process servers[runners];
    std::vector<server*> beating;
    for (int n = 0; n < runners; ++n) {
        auto& it = servers[n];
        it.name = "i-7f3a91c" + std::to_string(n);
        it.ip = loopback(11 + n);
        it.service = "wuno96b";
        it.slots = 32;
        it.arrivals = folder() + "/" + it.name;
        start(it);
        beating.push_back(&it);
    }
    auto& leaver = servers[0];
    store s;
    cloud_api api;
    api.open(loopback(2));
    s.put("keyed.op", "config", configuration);
    start_beats(s, beating);
    // The names of the machines in the site file.
    char const* const names[machines] = {
        "front-karibib-b-1", "front-karibib-b-2", "front-karibib-b-3",
        "front-omaruru-a-1", "front-omaruru-a-2", "front-usakos-c-1"};
    store::door doors[machines];
    node nodes[machines];
    std::vector<node*> all;
    for (int n = 0; n < machines; ++n) {
        s.open(doors[n], loopback(31 + n));
        nodes[n].name = names[n];
        nodes[n].ip = loopback(21 + n);
        nodes[n].write_settings(doors[n].address(), api);
        nodes[n].start();
        all.push_back(&nodes[n]);
    }
    auto const end_servers = [&] {
        for (auto& it : servers)
            if (it.pid > 0) {
                kill(it.pid, SIGKILL);
                waitpid(it.pid, nullptr, 0);
                it.pid = -1;
            }
    };
    for (auto* const it : all)
        if (!wait_until(15'000, [&] { return is_ready(*it); })) {
            end_servers();
            finish(all, could_not_run);
        }
    sleep_ms(10'000); // the traffic starts 10 s after the machines
    for (auto& it : doors)
        it.registry_reads = 0;
    sleep_ms(3'000);
    std::vector<int> readers, calm;
    for (int n = 0; n < machines; ++n)
        (doors[n].registry_reads > 1 ? readers : calm).push_back(n);
    if (readers.size() != 2) {
        record("%zu nodes read the store, not 2", readers.size());
        end_servers();
        finish(all, could_not_run);
    }
    for (int const n : readers)
        record("%s reads the store for all", names[n]);

    struct outcome
    {
        int node = 0;
        int status = 0;
    };
    std::mutex mutex;
    std::map<std::string, outcome> outcomes; // by request
    std::atomic<bool> done = false;
    std::vector<std::thread> clients;
    for (int k = 0; k < callers; ++k)
        clients.emplace_back([&, k] {
            int const n = calm[static_cast<std::size_t>(k) % calm.size()];
            for (int turn = 0; !done; ++turn) {
                sleep_ms((37 * k + 61 * turn) % 100); // spread in time
                auto const id = new_id();
                int const fd = connect_to(nodes[n].ip, node::front);
                send_all(fd, request_text("POST", "ficu95.example",
                                          "/puxa403/2f", id, 2500, {}, "{}"));
                reader in;
                in.fd = fd;
                in.until_ms = wall_ms() + 3'000;
                auto const it = in.read(true);
                close(fd);
                std::scoped_lock const lock(mutex);
                outcomes[id] = {n, it.complete ? it.status() : 0};
            }
        });
    sleep_ms(2'000);
    leaver.present = false;
    s.put("keyed.servers", leaver.name, "");
    auto const acked = wall_ms();
    record("the store has removed the entry of %s", leaver.name.c_str());
    std::thread platform([&] {
        if (!has_trouble())
            return;
        sleep_ms(20);
        for (int const n : readers) {
            record("%s loses power", names[n]);
            kill(nodes[n].pid, SIGSTOP); // silent, as a machine without power
        }
        sleep_ms(dark_ms);
        for (int const n : readers) {
            nodes[n].signal(SIGKILL);
            nodes[n].wait(1'000);
            nodes[n].write_settings(doors[n].address(), api, false);
            nodes[n].start();
        }
    });
    sleep_ms(acked + served_on_ms - wall_ms());
    record("%s exits", leaver.name.c_str());
    kill(leaver.pid, SIGKILL);
    waitpid(leaver.pid, nullptr, 0);
    leaver.pid = -1;
    sleep_ms(1'500);
    done = true;
    for (auto& it : clients)
        it.join();
    platform.join();

    int late = 0, lost = 0;
    std::ifstream arrivals(leaver.arrivals);
    std::int64_t at = 0;
    for (std::string id; arrivals >> at >> id;) {
        if (at <= acked + drain_ms)
            continue;
        late++;
        auto const& it = outcomes[id];
        lost += it.status != 200 ? 1 : 0;
        record("request %s of %s reaches %s %lld ms after the acknowledgement; "
               "its client gets %d",
               id.c_str(), names[it.node], leaver.name.c_str(),
               static_cast<long long>(at - acked), it.status);
    }
    record("%d requests reached the runner later than %d ms after the "
           "acknowledgement; %d of these orders were lost under it",
           late, drain_ms, lost);
    end_servers();
    finish(all, late > 0 ? broken : held);
}
