// The operator publishes some versions of the configuration in quick
// succession. The store is away for a moment and comes back from a copy that is
// older than these; the newest version is written again. Later versions drop a
// key and move a route.
#include "rig.hpp"

using namespace rig;

namespace {

constexpr auto away = 1'000ms;
constexpr int storm_versions = 8; // within 2 s
constexpr auto storm_gap = 250ms;
constexpr auto config_ms = 2'000ms;
constexpr auto stable_window = 3'000ms;
constexpr auto outer_ms = 5'000ms;

// `service`: of the route; `keys`: of the tenant.
std::string configuration(int version, std::string const& service,
                          std::string const& keys, int timeout_ms)
{
    return "{\"version\":" + std::to_string(version) +
           R"(,"routes":[{"name":"lookup","host":"h.example",)"
           R"("path_prefix":"/lookup/","route_type":"idempotent",)"
           R"("timeout_ms":)" +
           std::to_string(timeout_ms) +
           R"(,"target_latency_ms":150,"priority":2,"service":")" + service +
           R"(","attempts":2,"public":false}],"services":[)"
           R"({"name":"desk-a","health_path":"/health","max_conns":96},)"
           R"({"name":"desk-b","health_path":"/health","max_conns":96}],)"
           R"("limits":{"header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"acme","api_keys":[)" +
           keys + R"(],"priority":1}]})";
}

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
    std::mutex mutex;
    std::map<std::string, std::string> ran; // service, by request
    auto const serves = [&](std::string const& service) {
        return [&, service](channel& c, message const& in) {
            auto const id = in.field("Request-Id");
            {
                std::scoped_lock const lock(mutex);
                ran[id] = service;
            }
            return c.send(answer_bytes(
                200, {{"Request-Id", id}, {"Response-Seal", "seal-" + service}},
                "from " + service));
        };
    };
    std::string const both = R"("key-1","key-2")";
    s.put("keyed.op", "config", configuration(1, "desk-a", both, 2'500));
    runner a(s, "i-a", "desk-a", serves("desk-a"));
    runner b(s, "i-b", "desk-b", serves("desk-b"));

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
    std::this_thread::sleep_for(5s);

    // Returns the number of requests that are handled as only an older version
    // allows.
    int number = 0;
    auto const probe = [&](bool key_is_dropped, std::string const& service) {
        int wrong = 0;
        for (auto const& it : nodes)
            for (auto const* const key : {"key-1", "key-2"}) {
                auto const id = "c-" + std::to_string(++number);
                auto const got =
                    call(it.front,
                         request("GET", "/lookup/x", id, 2'000, {}, {}, key),
                         3'000ms);
                std::string by;
                {
                    std::scoped_lock const lock(mutex);
                    by = ran.contains(id) ? ran.at(id) : "none";
                }
                bool const dropped =
                    key_is_dropped && key == std::string("key-2");
                bool const is_wrong =
                    by != "none" && (dropped || by != service);
                wrong += is_wrong ? 1 : 0;
                out.line(
                    id + " with " + key + " to " + it.name + ": status " +
                    std::to_string(got.in.status) + ", run by " + by +
                    (is_wrong ? "  <- as only an older version allows" : ""));
            }
        return wrong;
    };

    auto const copy = clock::now() - 200ms;
    for (int n = 0; n < storm_versions; ++n) {
        s.put("keyed.op", "config",
              configuration(2 + n, "desk-a", both, 2'500 + 10 * n));
        std::this_thread::sleep_for(storm_gap);
    }
    out.line("versions 2 to " + std::to_string(1 + storm_versions) +
             " were acknowledged; keyed.op ends at " +
             std::to_string(s.end_of("keyed.op")));
    std::this_thread::sleep_for(500ms);
    if (trouble) {
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
            clock::now() - copy);
        s.drill(away, copy);
        out.line(
            "the store was away for 1 s and is back from a copy that was " +
            std::to_string(age.count()) + " ms old; version " +
            std::to_string(1 + storm_versions) +
            " was written again, keyed.op ends at " +
            std::to_string(s.end_of("keyed.op")));
    }
    else {
        std::this_thread::sleep_for(away);
    }
    std::this_thread::sleep_for(stable_window + outer_ms);
    if (probe(false, "desk-a") != 0) {
        out.line("the first version is not served");
        leave(cannot_run);
    }

    // Planned work, in a calm that is longer than all windows of the rules.
    s.put("keyed.op", "config",
          configuration(20, "desk-b", R"("key-1")", 2'500));
    out.line("version 20 was acknowledged: the route goes to desk-b, key-2 is "
             "dropped");
    int wrong = 0;
    std::this_thread::sleep_for(config_ms + 1s);
    for (int n = 0; n < 6; ++n) {
        wrong += probe(true, "desk-b");
        std::this_thread::sleep_for(2s);
    }
    s.put("keyed.op", "config",
          configuration(23, "desk-b", R"("key-1")", 2'510));
    out.line("version 23 was acknowledged: the same with another timeout");
    std::this_thread::sleep_for(config_ms + 1s);
    for (int n = 0; n < 3; ++n) {
        wrong += probe(true, "desk-b");
        std::this_thread::sleep_for(2s);
    }
    out.line("CONFIG: " + std::to_string(wrong) +
             " requests later than config_ms + 1 s were handled as only an "
             "older version allows");
    leave(wrong == 0 ? held : broken);
}
