// Many users come at once and send long requests, within the limits of the
// configuration, to one node. The node must stay within the memory that the
// platform grants it; the platform kills a process that exceeds it.
#include "stage.hpp"

using namespace stage;

namespace {

constexpr double granted_mib = 260; // limits.memory_mb of the settings
constexpr std::size_t body_bytes = 4'190'000; // max_body_bytes is 4,194,304
constexpr int work_ms = 2'000;
// Time between two users, so that the node's link (1,000 Mbit/s) never fills.
constexpr int between_users_ms = 50;

std::mutex ran_mutex;
std::set<std::string> ran; // requests that a server has begun to run

constexpr int slots = 6; // of a server; what comes beyond them waits

struct places
{
    std::mutex mutex;
    std::condition_variable changed;
    int taken = 0;
};

bool run_order(server const& it, places& p, int fd, message const& in,
               std::string const& id)
{
    std::unique_lock lock(p.mutex);
    p.changed.wait(lock, [&] { return p.taken < slots; });
    p.taken++;
    lock.unlock();
    {
        std::scoped_lock const also(ran_mutex);
        ran.insert(id);
    }
    record("server %s runs %s, %zu bytes", it.name.c_str(), id.c_str(),
           in.body.size());
    sleep_ms(in.body.size() > 1000 ? work_ms : 20);
    lock.lock();
    p.taken--;
    p.changed.notify_one();
    lock.unlock();
    return send_all(fd, answer_text(200, it.head(id), "booked " + id));
}

constexpr char const* configuration =
    R"({"version":7,"routes":[{"name":"r-1","host":"ficu95.example",)"
    R"("path_prefix":"/puxa403/","route_type":"non_idempotent",)"
    R"("timeout_ms":8000,"target_latency_ms":300,"priority":2,)"
    R"("service":"wuno96b","attempts":1,"public":false,"sticky":false}],)"
    R"("services":[{"name":"wuno96b","health_path":"/health","max_conns":100,)"
    R"("protocol":"h1","tls":false}],"limits":{"header_bytes":16384,)"
    R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"tenants":[{"name":"hule930",)"
    R"("api_keys":["key-1"],"priority":1,"unit":"token_count",)"
    R"("plain_tokens":200}]})";

struct outcome
{
    std::string id;
    int warm_status = 0;
    message answer;
};

} // namespace

int main()
{
    start_ms();
    // Usual traffic: `usual` users at a time. In the burst, 1.7 times as many.
    constexpr int usual = 16;
    constexpr double burst = 1.7;
    int const users =
        has_trouble() ? static_cast<int>(usual * burst) : usual;

    store s;
    s.open(loopback(1));
    cloud_api api;
    api.open(loopback(2));
    s.put("keyed.op", "config", configuration);
    places of_server[3];
    server servers[3];
    for (int n = 0; n < 3; ++n) {
        auto& it = servers[n];
        it.name = "i-7f3a91c" + std::to_string(n);
        it.ip = loopback(11 + n);
        it.service = "wuno96b";
        it.slots = slots;
        it.run = [&it, &p = of_server[n]](int fd, message const& in,
                                          std::string const& id) {
            return run_order(it, p, fd, in, id);
        };
        it.open();
    }
    start_beats(s, {&servers[0], &servers[1], &servers[2]});
    node nodes[2] = {{"front-1", loopback(21)}, {"front-2", loopback(22)}};
    std::vector<node*> const all{&nodes[0], &nodes[1]};
    if (!start_all(all, s, api))
        finish(all, could_not_run);

    std::atomic<bool> done = false;
    std::atomic<bool> killed = false;
    double peak = 0;
    std::thread platform([&] {
        for (; !done && !killed; sleep_ms(2)) {
            peak = std::max(peak, nodes[0].memory_mib());
            if (peak > granted_mib) {
                record("front-1 holds %.0f MiB, %.0f are granted", peak,
                       granted_mib);
                nodes[0].signal(SIGKILL);
                killed = true;
            }
        }
    });
    record("front-1 holds %.1f MiB before the traffic; %d users come at once",
           nodes[0].memory_mib(), users);
    std::vector<outcome> outcomes(users);
    std::vector<std::thread> clients;
    for (int n = 0; n < users; ++n)
        clients.emplace_back([&, n] {
            auto& out = outcomes[n];
            int const fd = connect_to(nodes[0].ip, node::front);
            reader in;
            in.fd = fd;
            in.until_ms = wall_ms() + 10'000;
            send_all(fd, request_text("POST", "ficu95.example", "/puxa403/2f",
                                      new_id(), 2500, {}, "warm"));
            out.warm_status = in.read(true).status();
            sleep_ms(1000 + n * between_users_ms);
            out.id = new_id();
            record("client sends %s, %zu bytes", out.id.c_str(), body_bytes);
            send_all(fd, request_text("POST", "ficu95.example", "/puxa403/2f",
                                      out.id, 8000, {},
                                      std::string(body_bytes, 'x')));
            out.answer = in.read(true);
            close(fd);
        });
    for (auto& it : clients)
        it.join();
    done = true;
    platform.join();

    int answered = 0, ended = 0, passed_on = 0;
    for (auto const& it : outcomes) {
        bool const complete = it.answer.complete;
        (complete ? answered : ended)++;
        passed_on += !complete && ran.contains(it.id) ? 1 : 0;
        record("client got %s: %s, status %d (its first request on the "
               "connection: %d)",
               it.id.c_str(),
               complete ? "an answer" : "the end of the connection",
               it.answer.status(), it.warm_status);
    }
    record("peak of front-1: %.0f MiB; %d answered, %d ended without an answer, "
           "%d of these run by a server",
           peak, answered, ended, passed_on);
    // LOST: more than three that were passed on to a sound runner.
    bool const lost = passed_on > 3;
    if (!lost && answered != users)
        finish(all, could_not_run);
    finish(all, lost ? broken : held);
}
