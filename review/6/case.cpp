// A configuration removes a route while streams run on it, and their runner
// hangs. Each caller must have its final answer at the route's `timeout_ms`.
#include "stage.hpp"

using namespace stage;

namespace {

constexpr int timeout_ms = 3'000;
constexpr int slack_ms = 500; // of the rule
constexpr int patience_ms = 8'000; // of a caller: eight times the pause
constexpr int callers = 12;

std::string configuration(int version, bool with_streams)
{
    std::string const streams =
        R"(,{"name":"r-2","host":"ficu95.example","path_prefix":"/lohu930/",)"
        R"("route_type":"streaming","timeout_ms":3000,)"
        R"("target_latency_ms":800,"priority":1,"service":"wuno96b",)"
        R"("attempts":1,"public":false,"sticky":false,"resumable":false,)"
        R"("gap_target_ms":1000})";
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-1","host":"ficu95.example",)"
           R"("path_prefix":"/cufi504/","route_type":"idempotent",)"
           R"("timeout_ms":2500,"target_latency_ms":150,"priority":2,)"
           R"("service":"wuno96b","attempts":2,"public":false,)"
           R"("sticky":false})" +
           (with_streams ? streams : "") +
           R"(],"services":[{"name":"wuno96b",)"
           R"("health_path":"/health","max_conns":96,"protocol":"h1",)"
           R"("tls":false}],"limits":{"header_bytes":16384,)"
           R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000},"tenants":[{"name":"hule930",)"
           R"("api_keys":["key-1"],"unit":"token_count",)"
           R"("plain_tokens":200}]})";
}

} // namespace

int main()
{
    start_ms();
    store s;
    s.open(loopback(1));
    cloud_api api;
    api.open(loopback(2));
    s.put("keyed.op", "config", configuration(7, true));
    server servers[2] = {{"i-7f3a91c2", loopback(11), "wuno96b"},
                         {"i-02d9e6b4", loopback(12), "wuno96b"}};
    for (auto& it : servers) {
        it.run = [&it](int fd, message const&, std::string const& id) {
            record("server %s runs %s, sends one event and hangs",
                   it.name.c_str(), id.c_str());
            send_all(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                             "\r\nResponse-Seal: seal-of-" + it.name +
                             "\r\nContent-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "11\r\nid: 1\ndata: one\n\n\r\n");
            char c;
            while (recv(fd, &c, 1, 0) > 0) {
            }
            record("server %s: the connection of %s was closed",
                   it.name.c_str(), id.c_str());
            return false;
        };
        it.open();
    }
    start_beats(s, {&servers[0], &servers[1]});
    node nodes[2] = {{"front-1", loopback(21)}, {"front-2", loopback(22)}};
    std::vector<node*> const all{&nodes[0], &nodes[1]};
    if (!start_all(all, s, api))
        finish(all, could_not_run);

    struct outcome
    {
        std::string id;
        std::int64_t after_ms = -1; // end of the answer; -1: none came
    };
    std::vector<outcome> outcomes(callers);
    std::vector<std::thread> clients;
    for (std::size_t n = 0; n < outcomes.size(); ++n)
        clients.emplace_back([&, n] {
            auto& out = outcomes[n];
            out.id = new_id();
            int const fd = connect_to(nodes[n % 2].ip, node::front);
            auto const sent = wall_ms();
            record("client sends %s to %s", out.id.c_str(),
                   nodes[n % 2].name.c_str());
            send_all(fd, request_text("POST", "ficu95.example", "/lohu930/2f",
                                      out.id, 3'000, {}, "{}"));
            reader in;
            in.fd = fd;
            in.until_ms = sent + patience_ms;
            auto const it = in.read(true);
            if (wall_ms() < sent + patience_ms)
                out.after_ms = wall_ms() - sent;
            close(fd);
        });
    sleep_ms(1'000);
    if (has_trouble()) {
        record("version 9 is acknowledged: it has no route r-2");
        s.put("keyed.op", "config", configuration(9, false));
    }
    for (auto& it : clients)
        it.join();

    int unanswered = 0;
    for (auto const& it : outcomes) {
        bool const late =
            it.after_ms < 0 || it.after_ms > timeout_ms + slack_ms;
        unanswered += late ? 1 : 0;
        if (it.after_ms < 0)
            record("client %s left after %d ms without an end of its answer",
                   it.id.c_str(), patience_ms);
        else
            record("the answer of client %s ended after %lld ms",
                   it.id.c_str(), static_cast<long long>(it.after_ms));
    }
    record("%d of %d without a final answer %d ms after the route's time",
           unanswered, callers, slack_ms);
    bool const is_broken = unanswered >= 8 && 4 * unanswered > callers;
    finish(all, is_broken ? broken : held);
}
