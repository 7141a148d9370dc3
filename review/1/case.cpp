// A runner of a plain service is killed while it answers streams that may be
// resumed. Each stream must come whole or must be seen to have broken off.
#include "stage.hpp"

using namespace stage;

namespace {

constexpr int pieces = 20;
constexpr int pause_ms = 100;
constexpr int runners = 4; // one of them is killed: a share of 0.25

std::string piece(int n)
{
    return "id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) +
           "\n\n";
}

std::string chunk(std::string const& text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

// A process of its own, so that it can be killed.
int run_server(std::string const& ip, int port, std::string const& name)
{
    serve_connections(listen_at(ip, port), [&](int fd, message const& in) {
        auto const id = value_of(in.headers, "Request-Id");
        if (value_of(in.headers, "Expect-Instance") != name)
            return send_all(
                fd, answer_text(
                        421, {{"Request-Id", id}, {"Instance-Id", name}}, ""));
        auto const last = value_of(in.headers, "Last-Event-Id");
        int const from = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        record("server %s runs %s from piece %d (Last-Event-Id: %s)",
               name.c_str(), id.c_str(), from,
               last.empty() ? "none" : last.c_str());
        bool open = send_all(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                                     "\r\nResponse-Seal: seal-of-" + name +
                                     "\r\nContent-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n");
        for (int n = from; open && n <= pieces; ++n) {
            sleep_ms(pause_ms);
            open = send_all(fd, chunk(piece(n)));
        }
        return open && send_all(fd, "0\r\n\r\n");
    });
    for (;;)
        pause();
}

struct server_process : server
{
    pid_t pid = -1;
};

void start(server_process& it)
{
    close(listen_at(it.ip, it.port)); // a free port
    auto const port = std::to_string(it.port);
    it.pid = fork();
    if (it.pid == 0) {
        execl("/proc/self/exe", "case", "server", it.ip.c_str(), port.c_str(),
              it.name.c_str(), nullptr);
        _exit(127);
    }
}

constexpr char const* configuration =
    R"({"version":7,"routes":[{"name":"r-r26tta8","host":"ficu95.example",)"
    R"("path_prefix":"/lohu930/","route_type":"streaming","timeout_ms":6000,)"
    R"("target_latency_ms":800,"priority":1,"service":"wuno96b","attempts":2,)"
    R"("public":false,"sticky":false,"resumable":true,"gap_target_ms":300}],)"
    R"("services":[{"name":"wuno96b","health_path":"/health","max_conns":96,)"
    R"("protocol":"h1","tls":false}],"limits":{"header_bytes":16384,)"
    R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"tenants":[{"name":"hule930",)"
    R"("api_keys":["key-1"],"priority":1,"unit":"token_count",)"
    R"("plain_tokens":200}]})";

struct outcome
{
    message answer;
    std::string id;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc == 5 && std::string(argv[1]) == "server")
        return run_server(argv[2], std::atoi(argv[3]), argv[4]);
    start_ms();
    std::string whole;
    for (int n = 1; n <= pieces; ++n)
        whole += piece(n);

    server_process servers[runners];
    std::vector<server*> beating;
    for (int n = 0; n < runners; ++n) {
        servers[n].name = "i-7f3a91c" + std::to_string(n);
        servers[n].ip = loopback(11 + n);
        servers[n].service = "wuno96b";
        start(servers[n]);
        beating.push_back(&servers[n]);
    }
    store s;
    s.open(loopback(1));
    cloud_api api;
    api.open(loopback(2));
    s.put("keyed.op", "config", configuration);
    start_beats(s, beating);
    node nodes[2] = {{"front-1", loopback(21)}, {"front-2", loopback(22)}};
    std::vector<node*> const all{&nodes[0], &nodes[1]};
    auto const end_servers = [&] {
        for (auto& it : servers) {
            kill(it.pid, SIGKILL);
            waitpid(it.pid, nullptr, 0);
        }
    };
    if (!start_all(all, s, api)) {
        end_servers();
        finish(all, could_not_run);
    }

    std::vector<outcome> outcomes(16);
    std::vector<std::thread> clients;
    for (std::size_t n = 0; n < outcomes.size(); ++n)
        clients.emplace_back([&, n] {
            auto& out = outcomes[n];
            out.id = new_id();
            int const fd = connect_to(nodes[n % 2].ip, node::front);
            record("client sends %s to %s", out.id.c_str(),
                   nodes[n % 2].name.c_str());
            send_all(fd, request_text("POST", "ficu95.example", "/lohu930/2f",
                                      out.id, 6000, {}, "{\"q\":1}"));
            reader in;
            in.fd = fd;
            in.until_ms = wall_ms() + 8000;
            out.answer = in.read(true);
            close(fd);
        });
    sleep_ms(1050);
    if (has_trouble()) {
        record("server %s crashes (SIGKILL)", servers[0].name.c_str());
        servers[0].present = false;
        kill(servers[0].pid, SIGKILL);
    }
    for (auto& it : clients)
        it.join();

    int wrong = 0, good = 0, seen_broken = 0;
    for (auto const& it : outcomes) {
        bool const ends_as_complete =
            it.answer.complete && it.answer.status() == 200;
        bool const is_whole = it.answer.body == whole;
        auto const at = it.answer.body.rfind("id: ");
        record(
            "client got %s: status %d, %s, last event '%s', %s", it.id.c_str(),
            it.answer.status(),
            it.answer.complete ? "ends as complete" : "broken off",
            at == std::string::npos
                ? ""
                : it.answer.body.substr(at, it.answer.body.find('\n', at) - at)
                      .c_str(),
            is_whole ? "whole" : "not whole");
        if (ends_as_complete && !is_whole)
            wrong++;
        else if (ends_as_complete)
            good++;
        else
            seen_broken++;
    }
    record("%d whole, %d seen to have broken off, %d end as complete before "
           "their last piece",
           good, seen_broken, wrong);
    end_servers();
    int const passed = static_cast<int>(outcomes.size());
    if (!has_trouble() && good != passed)
        finish(all, wrong > 0 ? broken : could_not_run);
    finish(all, wrong > 0 ? broken : held);
}
