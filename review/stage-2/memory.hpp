// A node with a limit of memory, as the platform enforces it, and ordinary
// clients that keep connections and send orders to a sound runner.
#pragma once

#include "rig.hpp"

namespace rig {

// limits.memory_mb=260, read as MiB, which is the larger.
constexpr long memory_limit_kb = 260L * 1024;

inline long memory_kb(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("VmRSS:"))
            return std::atol(line.c_str() + 6);
    return 0;
}

class guarded_node
{
public:
    guarded_node() : log(own_ip(200))
    {
        log.put("keyed.op", "config", configuration());
        add_runner("i-desk", "desk", false, [this](int fd) { desk(fd); });
    }

    store log;
    node self{"front-1", own_ip(10), "zone-a"};

    // `models`: a model runner.
    void add_runner(std::string const& name, std::string const& service,
                    bool models, std::function<void(int)> serve)
    {
        auto at = std::make_unique<address>(
            address{own_ip(120 + static_cast<int>(runners_.size())), 0});
        serve_on(*at, std::move(serve));
        json entry{{"service", service},   {"address", at->text()},
                   {"zone", "zone-a"},     {"version", "v1"},
                   {"slots", 64},          {"state", "ready"},
                   {"cold_left_ms", 0},    {"sequence", 1},
                   {"born", 1700000000000}};
        if (models)
            entry["models"] = {{{"name", "m"}, {"version", 1}}};
        log.beat(name, entry);
        runners_.push_back(std::move(at));
    }

    void run()
    {
        write_settings(self, log.at, log.at, "");
        start(self);
        if (!wait_for(15, [&] { return is_ready(self); }))
            give_up("the node is not ready");
        note("platform the node is ready, %ld kB", memory_kb(self.pid));
        for (int n = 0; n < clients; ++n)
            std::thread([this, n] { order_again_and_again(n); }).detach();
        // In touch: its process has run for stable_window_ms (3 s).
        sleep_s(6);
        note("platform the node is in touch");
    }

    // The platform kills a process that exceeds its memory. Returns whether it
    // did.
    bool watch_memory(double for_s)
    {
        auto const until = now_s() + for_s;
        double next_note = 0;
        while (now_s() < until) {
            auto const kb = memory_kb(self.pid);
            most_kb = std::max(most_kb, kb);
            if (kb > memory_limit_kb) {
                note("platform the node has %ld kB, more than its %ld kB: "
                     "killed",
                     kb, memory_limit_kb);
                kill(self.pid, SIGKILL);
                sleep_s(0.5);
                return true;
            }
            if (now_s() >= next_note) {
                note("platform the node has %ld kB", kb);
                next_note = now_s() + 1;
            }
            sleep_s(0.02);
        }
        note("platform most memory: %ld kB", most_kb);
        return false;
    }

    // Orders that were passed on to the sound runner from a kept connection
    // which was then closed without an answer.
    int lost() const { return lost_; }
    int answered() const { return answered_; }

    long most_kb = 0;
    std::atomic<bool> is_over{false}; // what ends now is the script's doing

private:
    static constexpr int clients = 16;

    static std::string configuration()
    {
        json const route{{"host", "h"},       {"attempts", 1},
                         {"public", false},   {"target_latency_ms", 500},
                         {"priority", 0},     {"sticky", false},
                         {"resumable", false}};
        auto orders = route;
        orders.update({{"name", "orders"},
                       {"path_prefix", "/o/"},
                       {"route_type", "non_idempotent"},
                       {"timeout_ms", 2500},
                       {"service", "desk"}});
        auto chat = route;
        chat.update({{"name", "chat"},
                     {"path_prefix", "/m/"},
                     {"route_type", "streaming"},
                     {"timeout_ms", 15000},
                     {"gap_target_ms", 300},
                     {"service", "model"}});
        return json{{"version", 1},
                    {"routes", {orders, chat}},
                    {"services",
                     {{{"name", "desk"}, {"max_conns", 96}},
                      {{"name", "model"}, {"max_conns", 360}}}},
                    {"limits",
                     {{"header_bytes", 16384},
                      {"max_body_bytes", 4194304},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}}},
                    {"tenants",
                     {{{"name", "acme"}, {"api_keys", {"k0"}}},
                      {{"name", "bolt"}, {"api_keys", {"k1"}}},
                      {{"name", "cask"}, {"api_keys", {"k2"}}}}}}
            .dump();
    }

    // A sound runner: 100 to 280 ms for an order.
    void desk(int fd)
    {
        reader in(fd);
        while (auto const it = in.read()) {
            auto const id = it->header("Request-Id");
            {
                std::scoped_lock const lock(mutex_);
                passed_on_.insert({id, now_s()});
            }
            // The client's number stands behind the first letter of the id.
            sleep_s(0.1 + 0.012 * std::atoi(id.c_str() + 1));
            if (!send_all(fd, answer(200, "booked " + id,
                                     "Request-Id: " + id +
                                         "\r\nResponse-Seal: s\r\n")))
                return;
        }
    }

    void order_again_and_again(int client)
    {
        int const fd = connect_to(self.front());
        if (fd < 0)
            return;
        reader in(fd);
        for (int n = 0;; ++n) {
            auto const id =
                "o" + std::to_string(client) + "-" + std::to_string(n);
            send_all(fd, "POST /o/x HTTP/1.1\r\nHost: h\r\nAuthorization: "
                         "Bearer k0\r\nRequest-Id: " +
                             id +
                             "\r\nDeadline-Ms: 2500\r\nContent-Length: "
                             "2\r\n\r\n{}");
            auto const it = in.read();
            if (it && it->complete) {
                ++answered_;
                if (it->status() != 200)
                    note("client  order %s: %d", id.c_str(), it->status());
                sleep_s(0.02);
                continue;
            }
            if (is_over)
                break;
            std::scoped_lock const lock(mutex_);
            bool const ran = passed_on_.contains(id);
            note("client  order %s: the connection ends without an answer, %s",
                 id.c_str(),
                 ran ? "passed on to the sound runner" : "not passed on");
            lost_ += ran && n > 0 ? 1 : 0;
            break;
        }
        close(fd);
    }

    std::vector<std::unique_ptr<address>> runners_;
    std::mutex mutex_;
    std::map<std::string, double> passed_on_; // by id of the request
    std::atomic<int> lost_{0};
    std::atomic<int> answered_{0};
};

// LOST allows three.
inline void judge(guarded_node& n, bool was_killed)
{
    note("script  orders answered: %d, passed on and cut without an answer: %d",
         n.answered(), n.lost());
    if (was_killed && n.lost() > 3) {
        note("script  BROKEN: the process exceeded its memory, and more than "
             "three requests from kept connections got no answer");
        finish(1);
    }
    n.is_over = true;
    note("script  held");
    finish(was_killed || n.answered() == 0 ? 2 : 0);
}

} // namespace rig
