// The store turns two of six machines away, those that read it for all, while
// three others are restarted in turn. The sixth is calm all the while: it must
// have a new configuration in force `config_ms` after its acknowledgement.
#include "stage.hpp"

using namespace stage;

namespace {

constexpr int config_ms = 2'000;
constexpr int gap_ms = 1'000; // between two stops of the rolling restart
constexpr int machines = 6;

std::string configuration(int version, bool with_second_key)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-1","host":"ficu95.example",)"
           R"("path_prefix":"/cufi504/","route_type":"idempotent",)"
           R"("timeout_ms":2500,"target_latency_ms":150,"priority":2,)"
           R"("service":"wuno96b","attempts":2,"public":false,)"
           R"("sticky":false}],"services":[{"name":"wuno96b",)"
           R"("health_path":"/health","max_conns":96,"protocol":"h1",)"
           R"("tls":false}],"limits":{"header_bytes":16384,)"
           R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000},"tenants":[{"name":"hule930",)"
           R"("api_keys":["key-1"],"unit":"token_count","plain_tokens":200},)"
           R"({"name":"fida11","api_keys":[)" +
           (with_second_key ? R"("key-2")" : "") +
           R"(],"unit":"token_count","plain_tokens":200}]})";
}

int ask(node const& n, std::string const& key)
{
    int const fd = connect_to(n.ip, node::front);
    if (fd < 0)
        return 0;
    auto text = request_text("GET", "ficu95.example", "/cufi504/fi50/2f",
                             new_id(), 2500);
    text.replace(text.find("key-1"), 5, key);
    send_all(fd, text);
    reader in;
    in.fd = fd;
    in.until_ms = wall_ms() + 2500;
    auto const out = in.read(true);
    close(fd);
    return out.complete ? out.status() : 0;
}

} // namespace

int main()
{
    start_ms();
    store s;
    s.put("keyed.op", "config", configuration(7, true));
    cloud_api api;
    api.open(loopback(2));
    server servers[2] = {{"i-7f3a91c2", loopback(11), "wuno96b"},
                         {"i-02d9e6b4", loopback(12), "wuno96b"}};
    for (auto& it : servers) {
        it.run = [&it](int fd, message const&, std::string const& id) {
            sleep_ms(20);
            return send_all(fd, answer_text(200, it.head(id), "found"));
        };
        it.open();
    }
    start_beats(s, {&servers[0], &servers[1]});

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
    for (auto* const it : all)
        if (!wait_until(15'000, [&] { return is_ready(*it); }))
            finish(all, could_not_run);
    sleep_ms(10'000); // the traffic starts 10 s after the machines

    // Who reads the registry for all?
    for (auto& it : doors)
        it.registry_reads = 0;
    sleep_ms(3'000);
    std::vector<int> readers, others;
    for (int n = 0; n < machines; ++n) {
        record("%s has sent %d reads of the operator's topic in 3 s", names[n],
               doors[n].registry_reads.load());
        (doors[n].registry_reads > 1 ? readers : others).push_back(n);
    }
    if (readers.size() != 2)
        finish(all, could_not_run);
    int const calm = others.back();
    others.pop_back();
    record("calm: %s; key-2 is answered %d there", names[calm],
           ask(nodes[calm], "key-2"));

    // The rolling restart: one machine each second, started again at its end.
    std::vector<std::thread> restarts;
    for (std::size_t k = 0; k < others.size(); ++k)
        restarts.emplace_back([&, k] {
            auto& it = nodes[others[k]];
            sleep_ms(static_cast<int>(k) * gap_ms);
            it.signal(SIGTERM);
            it.wait(8'000);
            it.write_settings(doors[others[k]].address(), api, false);
            it.start();
        });
    sleep_ms(2'600); // the first one ends after some 3 s
    if (has_trouble())
        for (int const n : readers) {
            record("the store turns %s away (429)", names[n]);
            store::turn_away(doors[n]);
        }
    sleep_ms(100);
    s.put("keyed.op", "config", configuration(9, false));
    auto const acked = wall_ms();
    record("version 9 is acknowledged: it holds key-2 no more");

    int late_successes = 0;
    while (wall_ms() < acked + 6'000) {
        auto const sent = wall_ms();
        int const status = ask(nodes[calm], "key-2");
        bool const is_late = sent > acked + config_ms;
        record("client with key-2 at %s, %lld ms after the acknowledgement: %d",
               names[calm], static_cast<long long>(sent - acked), status);
        if (is_late && status == 200)
            late_successes++;
        sleep_ms(100);
    }
    for (auto& it : restarts)
        it.join();
    record("%d requests with the removed key were answered 200 later than "
           "%d ms after the acknowledgement",
           late_successes, config_ms);
    finish(all, late_successes > 0 ? broken : held);
}
