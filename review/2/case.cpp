// Two machines are restarted in turn, first the one that holds the duties, and
// its process is killed while it drains. Holders must not act in the order A,
// B, A inside `lease_ms`.
#include "stage.hpp"

using namespace stage;

namespace {

constexpr int lease_ms = 3'000;
constexpr int gap_ms = 1'000;         // between the two stops
constexpr int killed_after_ms = 400;  // after its SIGTERM
constexpr int restart_delay_ms = 100; // of the platform
constexpr int machines = 3;

constexpr char const* configuration =
    R"({"version":7,"routes":[{"name":"r-1","host":"ficu95.example",)"
    R"("path_prefix":"/cufi504/","route_type":"idempotent",)"
    R"("timeout_ms":2500,"target_latency_ms":150,"priority":2,)"
    R"("service":"wuno96b","attempts":2,"public":false,"sticky":false}],)"
    R"("services":[{"name":"wuno96b","health_path":"/health","max_conns":96,)"
    R"("protocol":"h1","tls":false}],"limits":{"header_bytes":16384,)"
    R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"tenants":[{"name":"hule930",)"
    R"("api_keys":["key-1"],"unit":"token_count","plain_tokens":200}]})";

} // namespace

int main()
{
    start_ms();
    store s;
    s.open(loopback(1));
    cloud_api api;
    api.open(loopback(2));
    s.put("keyed.op", "config", configuration);
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
    char const* const names[machines] = {
        "front-karibib-b-1", "front-karibib-b-2", "front-karibib-b-3"};
    node nodes[machines];
    std::vector<node*> all;
    for (int n = 0; n < machines; ++n) {
        nodes[n].name = names[n];
        nodes[n].ip = loopback(21 + n);
        all.push_back(&nodes[n]);
    }
    // All machines start within 0.3 s, in any order.
    for (auto* const it : all) {
        it->write_settings(s.address(), api);
        it->start();
        sleep_ms(it == all.front() ? 250 : 0);
    }
    for (auto* const it : all)
        if (!wait_until(15'000, [&] { return is_ready(*it); }))
            finish(all, could_not_run);
    sleep_ms(10'000); // the traffic starts 10 s after the machines
    auto const node_of = [&](std::string const& name) -> node* {
        for (auto* const it : all)
            if (it->name == name)
                return it;
        return nullptr;
    };

    // Begin right after a call of the holder.
    auto const before = api.all_calls().size();
    if (!wait_until(20'000, [&] { return api.all_calls().size() > before; }))
        finish(all, could_not_run);
    auto const first_call = api.all_calls().back();
    node* const a = node_of(first_call.holder);
    if (a == nullptr)
        finish(all, could_not_run);
    sleep_ms(100);
    a->signal(SIGTERM);
    auto const stopped = wall_ms();
    std::thread platform([&] {
        if (has_trouble()) {
            sleep_ms(killed_after_ms);
            record("the process of %s is killed", a->name.c_str());
            a->signal(SIGKILL);
        }
        a->wait(8'000);
        sleep_ms(restart_delay_ms);
        a->write_settings(s.address(), api, false);
        a->start();
    });
    node* b = nullptr;
    wait_until(2 * gap_ms, [&] {
        auto const last = api.all_calls().back();
        b = last.holder != a->name ? node_of(last.holder) : nullptr;
        return b != nullptr;
    });
    if (b == nullptr) {
        record("no other holder has acted within %d ms", 2 * gap_ms);
        platform.join();
        finish(all, could_not_run);
    }
    sleep_ms(std::max<std::int64_t>(100, stopped + gap_ms - wall_ms()));
    b->signal(SIGTERM);
    sleep_ms(5'000);
    platform.join();

    // Every A, B, A among the calls, whatever the subject of B's call.
    auto const calls = api.all_calls();
    int found = 0;
    for (std::size_t i = 0; i < calls.size(); ++i)
        for (std::size_t k = i + 2; k < calls.size(); ++k) {
            if (calls[k].at_ms - calls[i].at_ms >= lease_ms ||
                calls[k].holder != calls[i].holder ||
                calls[k].path != calls[i].path)
                continue;
            for (std::size_t j = i + 1; j < k; ++j)
                if (calls[j].holder != calls[i].holder &&
                    calls[j].path == calls[i].path) {
                    found++;
                    record(
                        "%s acts, then %s %lld ms later, then %s again, "
                        "%lld ms after its first call",
                        calls[i].holder.c_str(), calls[j].holder.c_str(),
                        static_cast<long long>(calls[j].at_ms - calls[i].at_ms),
                        calls[k].holder.c_str(),
                        static_cast<long long>(calls[k].at_ms -
                                               calls[i].at_ms));
                    break;
                }
        }
    record("%d times A, B, A inside %d ms", found, lease_ms);
    finish(all, found > 0 ? broken : held);
}
