// A roll-out is completed, and the runners of the old version stop. All
// processes of the system are killed; meanwhile the store is away and comes
// back from a copy that is older than the end of the roll-out. Counts which
// requests are served later than recovery_s after the machines are back.
#include "rig.hpp"

using namespace rig;

namespace {

constexpr auto away = 1'000ms;
constexpr auto copy_age = 4'000ms;
constexpr auto down = 1'100ms; // from the kill to the new start
constexpr auto recovery = 12s;
constexpr auto watched = 15s;
constexpr auto call_gap = 60ms; // of each of three clients
constexpr char const* configuration =
    R"({"version":1,"routes":[{"name":"lookup","host":"h.example",)"
    R"("path_prefix":"/lookup/","route_type":"idempotent","timeout_ms":1200,)"
    R"("target_latency_ms":150,"priority":2,"service":"desk","attempts":2,)"
    R"("public":false}],"services":[{"name":"desk","health_path":"/health",)"
    R"("max_conns":96}],"limits":{"header_bytes":16384,)"
    R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"tenants":[{"name":"acme",)"
    R"("api_keys":["key-1"],"priority":1}]})";

struct outcome
{
    clock::time_point sent;
    int status = 0;
};

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    record out(argc > 1 ? argv[1] : "record.txt");
    temporary_folder const files;
    bool const trouble = has_trouble();
    out.line(trouble ? "with the drill" : "without the drill");

    store s;
    server api([](channel& c, message const&) {
        return c.send(answer_bytes(200, {}, ""));
    });
    s.put("keyed.op", "config", configuration);
    auto const serves = [](std::string const& id) {
        return [id](channel& c, message const& in) {
            std::this_thread::sleep_for(20ms);
            return c.send(answer_bytes(200,
                                       {{"Request-Id", in.field("Request-Id")},
                                        {"Response-Seal", "seal-" + id}},
                                       "from " + id));
        };
    };
    std::vector<std::unique_ptr<runner>> all;
    auto const add = [&](std::string const& id, std::string const& version) {
        all.push_back(
            std::make_unique<runner>(s, id, "desk", serves(id), version));
    };
    add("i-1", "v1");
    add("i-2", "v1");

    std::list<node> nodes;
    for (auto const* const name : {"n1", "n2", "n3"}) {
        nodes.push_back(
            make_node(name, files.path, s.address(), api.address()));
        start(nodes.back());
    }
    auto const leave = [&](int result) {
        finish(out, nodes, files, result);
    };
    auto const are_ready = [&] {
        return std::all_of(nodes.begin(), nodes.end(), is_ready);
    };
    if (!eventually(15s, are_ready)) {
        out.line("the nodes are not ready");
        leave(cannot_run);
    }
    out.line("all nodes are ready");

    std::mutex mutex;
    std::vector<outcome> outcomes;
    for (auto const& it : nodes)
        std::thread([&, port = it.front, name = it.name] {
            for (int n = 0;; ++n) {
                auto const sent = clock::now();
                std::thread([&, port, sent, id = name + std::to_string(n)] {
                    auto const got = call(
                        port, request("GET", "/lookup/x", id, 1'200), 1'500ms);
                    std::scoped_lock const lock(mutex);
                    outcomes.push_back({sent, got.whole ? got.in.status : 0});
                }).detach();
                std::this_thread::sleep_for(call_gap);
            }
        }).detach();
    auto const share = [&](clock::time_point from, clock::time_point to) {
        std::scoped_lock const lock(mutex);
        std::map<int, int> n;
        int sum = 0;
        for (auto const& it : outcomes)
            if (it.sent >= from && it.sent < to) {
                n[it.status]++;
                sum++;
            }
        std::string text;
        for (auto const& [status, count] : n)
            text += " " + std::to_string(count) + " with status " +
                    std::to_string(status) + ",";
        out.line("of " + std::to_string(sum) + " requests:" + text);
        return sum == 0 ? 0.0 : static_cast<double>(n[200]) / sum;
    };
    auto const status = [&] {
        return s.newest_value("keyed.status", "rollout/desk");
    };
    std::this_thread::sleep_for(6s);

    add("i-3", "v2");
    add("i-4", "v2");
    s.put("keyed.op", "rollout/desk",
          R"({"service":"desk","target":"v2","duration_s":12})");
    auto const ordered = clock::now();
    out.line("a roll-out to v2 is ordered, duration 12 s");
    if (!eventually(14s, [&] {
            return status().find("completed") != std::string::npos;
        })) {
        out.line("it is not completed: " + status());
        leave(cannot_run);
    }
    out.line("status/rollout/desk: " + status() + "; the runners of v1 stop");
    all[0]->exit();
    all[1]->exit();
    auto const before = share(ordered, clock::now() - 200ms);
    std::this_thread::sleep_for(300ms);

    for (auto const& it : nodes)
        send_signal(it, SIGKILL);
    out.line("all processes are killed");
    auto const killed = clock::now();
    if (trouble) {
        s.drill(away, killed - copy_age);
        out.line("the store was away for 1 s and is back from a copy that was "
                 "4 s old");
    }
    for (auto& it : nodes)
        wait_ended(it, 5s);
    std::this_thread::sleep_until(killed + down);
    for (auto& it : nodes)
        start(it);
    if (!eventually(10s, are_ready)) {
        out.line("the nodes are not ready again");
        leave(cannot_run);
    }
    auto const back = clock::now();
    out.line("all nodes are ready again");
    std::this_thread::sleep_until(back + recovery + watched + 2s);
    auto const after = share(back + recovery, back + recovery + watched);
    out.line("status/rollout/desk: " + status());
    out.line("RECOVER: a share of " + std::to_string(before) +
             " was served before, and " + std::to_string(after) +
             " of what was sent later than 12 s after the machines were back");
    leave(before >= 0.25 && after < 0.25 ? broken : held);
}
