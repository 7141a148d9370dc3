// The store is away for a moment and comes back from a copy some seconds old,
// while the nodes are restarted one after the other. Watches the calls that the
// holder of the duties makes to the platform's API.
#include "rig.hpp"

using namespace rig;

namespace {

constexpr auto away = 1'000ms;
constexpr auto excused_after = 5s; // after the drill; stable_window_ms is 3,000
constexpr std::int64_t window_ms = 5'000;
constexpr char const* configuration =
    R"({"version":1,"routes":[{"name":"lookup","host":"h.example",)"
    R"("path_prefix":"/lookup/","route_type":"idempotent","timeout_ms":2500,)"
    R"("target_latency_ms":150,"priority":2,"service":"desk","attempts":2,)"
    R"("public":false}],"services":[{"name":"desk","health_path":"/health",)"
    R"("max_conns":96}],"limits":{"header_bytes":16384,)"
    R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"tenants":[{"name":"acme",)"
    R"("api_keys":["key-1"],"priority":1}]})";

struct duty_call
{
    clock::time_point at;
    std::string path;
    std::string holder;
    std::uint64_t token = 0;
    std::string body;
};

struct state
{
    std::mutex mutex;
    std::vector<duty_call> calls;
};

// Waits for the given time of the window in which the nodes count requests.
void wait_for_window_time(std::int64_t ms)
{
    while (wall_ms() % window_ms / 20 != ms / 20)
        std::this_thread::sleep_for(2ms);
}

std::optional<duty_call> last_call(state& s)
{
    std::scoped_lock const lock(s.mutex);
    return s.calls.empty() ? std::nullopt : std::optional(s.calls.back());
}

std::string text_after(std::string const& text, std::string const& mark)
{
    auto const at = text.find(mark);
    return at == text.npos ? "" : text.substr(at + mark.size());
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
    state all;
    server api([&](channel& c, message const& in) {
        duty_call it{clock::now(), in.path(), in.field("Duty-Holder"),
                     std::stoull("0" + in.field("Fencing-Token")), in.body};
        {
            std::scoped_lock const lock(all.mutex);
            all.calls.push_back(it);
        }
        out.line("API call " + it.path + ", holder " + it.holder + ", token " +
                 std::to_string(it.token) + ", " + it.body);
        return c.send(answer_bytes(200, {}, ""));
    });
    s.put("keyed.op", "config", configuration);
    runner r(s, "i-1", "desk", [](channel& c, message const& in) {
        return c.send(answer_bytes(200,
                                   {{"Request-Id", in.field("Request-Id")},
                                    {"Response-Seal", "seal-i-1"}},
                                   "ok"));
    });

    std::list<node> nodes;
    for (auto const* const name : {"n1", "n2", "n3"}) {
        nodes.push_back(
            make_node(name, files.path, s.address(), api.address()));
        start(nodes.back());
    }
    auto const named = [&](std::string const& name) -> node& {
        return *std::find_if(nodes.begin(), nodes.end(),
                             [&](auto& it) { return it.name == name; });
    };
    std::atomic<bool> stop{false};
    std::thread clients([&] {
        for (int n = 0; !stop; ++n) {
            for (auto const& it : nodes)
                call(it.front,
                     request("GET", "/lookup/x",
                             "c" + std::to_string(n) + it.name, 1'000),
                     1'000ms);
            std::this_thread::sleep_for(50ms);
        }
    });
    auto const leave = [&](int result) {
        stop = true;
        clients.join();
        finish(out, nodes, files, result);
    };
    auto const restart = [&](node& n) {
        out.line("SIGTERM to " + n.name);
        send_signal(n, SIGTERM);
        if (!wait_ended(n, 8s))
            end(n);
        out.line(n.name + " has ended, and starts again");
        std::this_thread::sleep_for(300ms);
        start(n);
    };

    if (!eventually(15s, [&] {
            return std::all_of(nodes.begin(), nodes.end(), is_ready);
        })) {
        out.line("the nodes are not ready");
        leave(cannot_run);
    }
    out.line("all nodes are ready");
    if (!eventually(25s, [&] { return last_call(all).has_value(); })) {
        out.line("no node reports usage");
        leave(cannot_run);
    }

    // The nodes are stopped and started in turn, the holder first.
    wait_for_window_time(800);
    auto const first = last_call(all)->holder;
    auto const copy = clock::now() - 2'500ms;
    std::thread first_restart([&] { restart(named(first)); });
    bool const moved =
        eventually(15s, [&] { return last_call(all)->holder != first; });
    if (!moved) {
        out.line("no other node took the duties over");
        first_restart.join();
        leave(cannot_run);
    }
    auto const second = last_call(all)->holder;
    auto back = clock::now();
    if (trouble) {
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
            clock::now() - copy);
        out.line("the store is away for 1 s; its topic keyed.papayahook ends "
                 "at " +
                 std::to_string(s.end_of("keyed.papayahook")));
        auto const gone = s.drill(away, copy);
        back = clock::now();
        out.line("the store is back from a copy that was " +
                 std::to_string(age.count()) + " ms old; " +
                 std::to_string(gone) +
                 " records of the system are gone, keyed.papayahook ends at " +
                 std::to_string(s.end_of("keyed.papayahook")));
    }
    else {
        std::this_thread::sleep_for(away);
        back = clock::now();
    }
    first_restart.join();
    std::this_thread::sleep_for(3s);
    std::string third;
    for (auto const& it : nodes)
        if (it.name != first && it.name != second)
            third = it.name;
    restart(named(third));
    std::this_thread::sleep_for(3s);
    restart(named(second));
    std::this_thread::sleep_for(25s);

    // ONE, as the pages have it. Calls during the drill and shortly after don't
    // count.
    std::scoped_lock const lock(all.mutex);
    int result = held;
    std::uint64_t highest = 0;
    std::map<std::uint64_t, std::string> holders;
    std::map<std::string, std::string> reports;
    std::size_t late_calls = 0;
    for (auto const& it : all.calls) {
        bool const counts = it.at < back - away || it.at > back + excused_after;
        if (it.path != "/usage" || !counts)
            continue;
        late_calls += it.at > back + excused_after ? 1 : 0;
        if (it.token < highest) {
            out.line("ONE: " + it.holder + " sends token " +
                     std::to_string(it.token) + " after token " +
                     std::to_string(highest));
            result = broken;
        }
        highest = std::max(highest, it.token);
        auto const [known, is_new] = holders.emplace(it.token, it.holder);
        if (!is_new && known->second != it.holder) {
            out.line("ONE: " + known->second + " and " + it.holder +
                     " send the same token " + std::to_string(it.token));
            result = broken;
        }
        auto const window = text_after(it.body, "\"window_id\":")
                                .substr(0, std::string("353445120").size());
        auto const counts_text = text_after(it.body, "\"counts\":");
        auto const [report, first_report] =
            reports.emplace(window, counts_text);
        if (!first_report && report->second != counts_text) {
            out.line("ONE: two reports for window " + window + ": " +
                     report->second + " and " + counts_text);
            result = broken;
        }
    }
    out.line("usage calls later than 5 s after the drill: " +
             std::to_string(late_calls));
    leave(result);
}
