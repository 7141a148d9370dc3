// The store is away for a moment and comes back from a copy some seconds old.
// Later, in calm, a runner drains as planned. Orders that come more than
// drain_ms after the store has accepted its report must not reach it.
#include "rig.hpp"

using namespace rig;

namespace {

constexpr auto away = 1'000ms;
constexpr auto copy_age = 8'000ms;
constexpr auto stable_window = 3'000ms;
constexpr auto drain_ms = 2'000ms;
constexpr auto serves_on = 1'000ms; // the runner serves on for so long
constexpr auto work = 400ms;
constexpr int orders_per_node = 6;
constexpr char const* configuration =
    R"({"version":1,"routes":[{"name":"order","host":"h.example",)"
    R"("path_prefix":"/order/","route_type":"non_idempotent",)"
    R"("timeout_ms":2500,"target_latency_ms":1000,"priority":2,)"
    R"("service":"desk","attempts":1,"public":false}],"services":[)"
    R"({"name":"desk","health_path":"/health","max_conns":96}],"limits":{)"
    R"("header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{)"
    R"("name":"acme","api_keys":["key-1"],"priority":1}]})";

struct run
{
    std::string runner;
    clock::time_point began;
    bool completed = false;
};

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    record out(argc > 1 ? argv[1] : "record.txt");
    temporary_folder const files;
    bool const trouble = has_trouble();
    out.line(trouble ? "with the disruption" : "without the disruption");

    store s;
    server api([](channel& c, message const&) {
        return c.send(answer_bytes(200, {}, ""));
    });
    s.put("keyed.op", "config", configuration);
    std::mutex mutex;
    std::map<std::string, run> runs;
    std::map<std::string, std::unique_ptr<runner>> desks;
    for (std::string const id : {"i-1", "i-2", "i-3"})
        desks[id] = std::make_unique<runner>(
            s, id, "desk", [&, id](channel& c, message const& in) {
                auto const order = in.field("Request-Id");
                {
                    std::scoped_lock const lock(mutex);
                    runs[order] = {id, clock::now()};
                }
                std::this_thread::sleep_for(work);
                std::scoped_lock const lock(mutex);
                auto const& self = *desks.at(id);
                if (self.has_ended())
                    return false; // it has exited: no answer
                runs[order].completed = true;
                headers extra{{"Request-Id", order},
                              {"Response-Seal", "seal-" + id}};
                if (self.is_leaving())
                    extra.emplace_back("Server-Leaving", "1");
                return c.send(answer_bytes(200, extra, "booked " + order));
            });

    std::list<node> nodes;
    for (auto const* const name : {"n1", "n2", "n3"}) {
        nodes.push_back(
            make_node(name, files.path, s.address(), api.address()));
        start(nodes.back());
    }
    auto const leave = [&](int result) {
        finish(out, nodes, files, result);
    };
    if (!eventually(15s, [&] {
            return std::all_of(nodes.begin(), nodes.end(), is_ready);
        })) {
        out.line("the nodes are not ready");
        leave(cannot_run);
    }
    out.line("all nodes are ready");

    std::map<std::string, int> statuses;
    // Sends orders to all nodes at once.
    auto const send_orders = [&](std::string const& prefix) {
        std::vector<std::thread> all;
        for (auto const& it : nodes)
            for (int n = 0; n < orders_per_node; ++n)
                all.emplace_back([&, n] {
                    auto const id = prefix + it.name + "-" + std::to_string(n);
                    auto const got =
                        call(it.front,
                             request("POST", "/order/x", id, 2'500, "cloth"),
                             3'500ms);
                    std::scoped_lock const lock(mutex);
                    statuses[id] = got.in.status;
                    auto const by = runs.contains(id) ? runs.at(id).runner
                                                      : std::string("none");
                    out.line("order " + id + " to " + it.name + ": status " +
                             std::to_string(got.in.status) + ", run by " + by);
                });
        for (auto& it : all)
            it.join();
    };
    send_orders("first-");
    std::this_thread::sleep_for(copy_age + 2s);
    if (trouble) {
        auto const before = s.end_of("keyed.servers");
        s.drill(away, clock::now() - copy_age);
        out.line("the store was away for 1 s and is back from a copy that was "
                 "8 s old; keyed.servers ended at " +
                 std::to_string(before) + " and ends at " +
                 std::to_string(s.end_of("keyed.servers")));
    }
    else {
        std::this_thread::sleep_for(away);
    }
    std::this_thread::sleep_for(stable_window + 200ms);
    auto& leaving = *desks.at("i-1");
    leaving.leave();
    auto const acknowledged = clock::now();
    out.line("the store has accepted that i-1 drains");
    std::this_thread::sleep_for(drain_ms + 700ms);
    std::thread orders([&] { send_orders("late-"); });
    std::this_thread::sleep_for(serves_on - 700ms);
    {
        std::scoped_lock const lock(mutex);
        leaving.exit();
    }
    out.line("i-1 has exited");
    orders.join();

    std::scoped_lock const lock(mutex);
    int late = 0;
    int lost = 0;
    for (auto const& [id, it] : runs) {
        bool const is_late =
            it.runner == "i-1" && it.began > acknowledged + drain_ms;
        late += is_late ? 1 : 0;
        lost += is_late && !it.completed && statuses[id] != 200 ? 1 : 0;
    }
    out.line("DRAIN: " + std::to_string(late) +
             " orders reached i-1 later than drain_ms after the "
             "acknowledgement; " +
             std::to_string(lost) + " of them were broken off and lost");
    leave(late == 0 ? held : broken);
}
