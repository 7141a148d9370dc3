// Runners fail part of the orders that they have run, with 503 and without
// Not-Executed. Clients send an order again after a promise, as the pages say.
#include "rig.hpp"

#include <set>

using namespace rig;

int main()
{
    constexpr int orders = 60;
    constexpr int failing = 5; // two of five, the dose of srv_grey (.4)
    store log(own_ip(200));
    log.put("keyed.op", "config",
            json{{"version", 1},
                 {"routes",
                  {{{"name", "orders"},
                    {"host", "h"},
                    {"path_prefix", "/o/"},
                    {"route_type", "non_idempotent"},
                    {"timeout_ms", 2500},
                    {"service", "desk"},
                    {"attempts", 1},
                    {"priority", 0}}}},
                 {"services", {{{"name", "desk"}, {"max_conns", 96}}}},
                 {"tenants", {{{"name", "acme"}, {"api_keys", {"k1"}}}}}}
                .dump());
    std::mutex m;
    std::set<std::string> ran;           // ids of requests
    std::map<std::string, int> bookings; // by order
    int runs = 0;
    std::vector<std::unique_ptr<address>> runners;
    for (int n = 0; n < 3; ++n) {
        auto const name = "i-" + std::to_string(n + 1);
        bool const is_grey = n == 0 && with_trouble();
        auto at = std::make_unique<address>(address{own_ip(120 + n), 0});
        serve_on(*at, [&, name, is_grey](int fd) {
            reader in(fd);
            while (auto const it = in.read()) {
                auto const id = it->header("Request-Id");
                if (it->header("Expect-Instance") != name) {
                    send_all(fd, answer(421, "", "Request-Id: " + id + "\r\n"));
                    continue;
                }
                bool fails = false;
                {
                    std::scoped_lock const lock(m);
                    ran.insert(id);
                    bookings[it->body]++;
                    fails = is_grey && runs++ % failing < 2;
                }
                sleep_s(0.03);
                note("runner  %s runs %s for %s: %d", name.c_str(), id.c_str(),
                     it->body.c_str(), fails ? 503 : 200);
                send_all(fd, answer(fails ? 503 : 200,
                                    fails ? "the warehouse is late" : "booked",
                                    "Request-Id: " + id +
                                        "\r\nResponse-Seal: s-" + id + "\r\n"));
            }
        });
        log.beat(name, json{{"service", "desk"},
                            {"address", at->text()},
                            {"zone", "zone-a"},
                            {"version", "v1"},
                            {"slots", 6},
                            {"state", "ready"},
                            {"cold_left_ms", 0},
                            {"sequence", 1},
                            {"born", 1700000000000}});
        runners.push_back(std::move(at));
    }
    std::vector<node> nodes;
    for (int n = 0; n < 2; ++n) {
        nodes.push_back({"front-" + std::to_string(n + 1), own_ip(10 + n),
                         "zone-a", -1, true});
        write_settings(nodes.back(), log.at, log.at, "");
        start(nodes.back());
    }
    if (!wait_for(15, [&] { return is_ready(nodes[0]) && is_ready(nodes[1]); }))
        give_up("the nodes are not ready");
    int promised = 0;
    int answered = 0;
    for (int k = 0; k < orders; ++k) {
        auto const order = "order-" + std::to_string(k);
        for (int attempt = 1; attempt <= 2; ++attempt) {
            auto const id = order + "." + std::to_string(attempt);
            auto const it =
                ask(nodes[static_cast<std::size_t>(k + attempt) % 2].front(),
                    "POST /o/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                    "k1\r\nRequest-Id: " +
                        id + "\r\nDeadline-Ms: 2500\r\nContent-Length: " +
                        std::to_string(order.size()) + "\r\n\r\n" + order,
                    5);
            int const status = it ? it->status() : 0;
            answered += status != 0;
            bool const is_promise = status == 429 || status == 503 ||
                                    status == 408 || status == 421;
            std::scoped_lock const lock(m);
            if (is_promise && ran.contains(id)) {
                ++promised;
                note("client  %s gets %d (seal '%s'), and has run", id.c_str(),
                     status, it->header("Response-Seal").c_str());
            }
            if (!is_promise)
                break; // sent again only after a promise
        }
    }
    int twice = 0;
    for (auto const& [order, n] : bookings)
        twice += n > 1;
    note("script  %d orders, %d answers, %d requests answered 429 or 503 that "
         "have run, %d orders booked more than once",
         orders, answered, promised, twice);
    if (answered == 0)
        finish(2);
    if (promised > 0)
        note("script  BROKEN: REFUSED");
    finish(promised > 0 ? 1 : 0);
}
