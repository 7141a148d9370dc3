// Stand-ins of the platform for the cases of this review: the store, the API,
// runners, clients, and links between a node and the platform. Blocking
// sockets, one thread per connection, loopback addresses only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using json = nlohmann::json;
using clock = std::chrono::steady_clock;

inline clock::time_point const began = clock::now();

inline double now_s()
{
    return std::chrono::duration<double>(clock::now() - began).count();
}

inline void sleep_s(double it)
{
    if (it > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(it));
}

// Written to record.txt and to standard output.
inline void note(char const* format, ...) __attribute__((format(printf, 1, 2)));
inline void note(char const* format, ...)
{
    static std::mutex m;
    static FILE* const file = std::fopen(std::getenv("RECORD"), "w");
    std::scoped_lock const lock(m);
    char text[4096];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    for (auto* const out : {file, stdout})
        if (out != nullptr) {
            std::fprintf(out, "%9.3f %s\n", now_s(), text);
            std::fflush(out);
        }
}

struct address
{
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

// Addresses of this run, so that two runs do not share ports.
inline std::string own_ip(int n)
{
    auto const pid = static_cast<int>(getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + "." +
           std::to_string(1 + pid % 250) + "." + std::to_string(n);
}

inline sockaddr_in to_sockaddr(address const& it)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(it.port));
    inet_pton(AF_INET, it.ip.c_str(), &out.sin_addr);
    return out;
}

inline int listen_on(address& at)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto it = to_sockaddr(at);
    if (bind(fd, reinterpret_cast<sockaddr*>(&it), sizeof it) != 0 ||
        listen(fd, 512) != 0) {
        std::perror(("listen " + at.text()).c_str());
        std::_Exit(2);
    }
    socklen_t size = sizeof it;
    getsockname(fd, reinterpret_cast<sockaddr*>(&it), &size);
    at.port = ntohs(it.sin_port);
    return fd;
}

inline int connect_to(address const& at)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto it = to_sockaddr(at);
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(fd, reinterpret_cast<sockaddr*>(&it), sizeof it) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline bool send_all(int fd, std::string_view it)
{
    while (!it.empty()) {
        auto const n = send(fd, it.data(), it.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        it.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

// Calls `serve` with each connection, in a thread of its own.
inline void serve_on(address& at, std::function<void(int fd)> serve)
{
    int const fd = listen_on(at);
    std::thread([fd, serve] {
        for (;;) {
            int const it = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (it < 0)
                continue;
            int const on = 1;
            setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([it, serve] {
                serve(it);
                close(it);
            }).detach();
        }
    }).detach();
}

struct message
{
    std::string first; // line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false; // its length or its last chunk has come

    std::string header(std::string const& name) const
    {
        for (auto const& [n, v] : headers)
            if (strcasecmp(n.c_str(), name.c_str()) == 0)
                return v;
        return {};
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        auto const a = first.find(' ');
        return first.substr(a + 1, first.find(' ', a + 1) - a - 1);
    }
    std::string path() const
    {
        auto const t = target();
        return t.substr(0, t.find('?'));
    }
    std::string query(std::string const& name) const
    {
        auto t = target();
        auto const q = t.find('?');
        std::string rest = q == t.npos ? "" : "&" + t.substr(q + 1);
        auto const at = rest.find("&" + name + "=");
        if (at == rest.npos)
            return {};
        auto const from = at + name.size() + 2;
        return rest.substr(from, rest.find('&', from) - from);
    }
    int status() const
    {
        return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9);
    }
};

// Reads messages of HTTP/1.1 from a socket.
class reader
{
public:
    explicit reader(int fd) : fd_(fd) {}

    bool fill()
    {
        char buf[16384];
        auto const n = recv(fd_, buf, sizeof buf, 0);
        if (n <= 0)
            return false;
        held_.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    // Returns nothing if the connection ended before a head.
    std::optional<message> read_head()
    {
        std::size_t end = 0;
        while ((end = held_.find("\r\n\r\n")) == held_.npos)
            if (!fill())
                return std::nullopt;
        message out;
        std::size_t at = held_.find("\r\n");
        out.first = held_.substr(0, at);
        while (at < end) {
            at += 2;
            auto const next = held_.find("\r\n", at);
            auto const line = held_.substr(at, next - at);
            auto const colon = line.find(':');
            auto const value = line.find_first_not_of(' ', colon + 1);
            out.headers.emplace_back(line.substr(0, colon),
                                     value == line.npos ? ""
                                                        : line.substr(value));
            at = next;
        }
        held_.erase(0, end + 4);
        return out;
    }

    void read_body(message& it)
    {
        if (strcasecmp(it.header("Transfer-Encoding").c_str(), "chunked") ==
            0) {
            for (;;) {
                std::size_t eol = 0;
                while ((eol = held_.find("\r\n")) == held_.npos)
                    if (!fill())
                        return;
                auto const n = std::strtoul(held_.c_str(), nullptr, 16);
                while (held_.size() < eol + 2 + n + 2)
                    if (!fill())
                        return;
                it.body += held_.substr(eol + 2, n);
                held_.erase(0, eol + 2 + n + 2);
                if (n == 0)
                    break;
            }
            it.complete = true;
            return;
        }
        auto const length = it.header("Content-Length");
        std::size_t const n =
            length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
        while (held_.size() < n)
            if (!fill())
                return;
        it.body = held_.substr(0, n);
        held_.erase(0, n);
        it.complete = true;
    }

    std::optional<message> read()
    {
        auto out = read_head();
        if (out)
            read_body(*out);
        return out;
    }

private:
    int fd_;
    std::string held_;
};

inline std::string answer(int status, std::string const& body,
                          std::string const& headers = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------------------
// The platform's store: a log of topics with one partition each.
// ---------------------------------------------------------------------------

class store
{
public:
    explicit store(std::string const& ip) : at{ip, 0}
    {
        serve_on(at, [this](int fd) { serve(fd); });
    }

    address at;
    // Called with each record that a node appends, outside the lock.
    std::function<void(std::string const& topic, std::string const& key,
                       std::string const& value)>
        on_append;

    void put(std::string const& topic, std::string const& key,
             std::string const& value)
    {
        std::scoped_lock const lock(mutex_);
        topics_[topic].push_back({key, value});
        changed_.notify_all();
    }

    // A runner registers itself, and writes its entry again and again.
    void beat(std::string const& name, json entry)
    {
        constexpr double heartbeat_s = 1.2;
        put("keyed.servers", name, entry.dump());
        std::thread([this, name, entry]() mutable {
            for (int n = 2;; ++n) {
                sleep_s(heartbeat_s);
                entry["sequence"] = n;
                put("keyed.servers", name, entry.dump());
            }
        }).detach();
    }

private:
    struct record
    {
        std::string key;
        std::string value;
    };

    static std::string big_endian(std::uint64_t value, int bytes)
    {
        std::string out;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            out += static_cast<char>(value >> shift & 0xff);
        return out;
    }

    static std::string base64(std::string const& in)
    {
        constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
                                  "stuvwxyz0123456789+/";
        std::string out;
        for (std::size_t n = 0; n < in.size(); n += 3) {
            std::uint32_t v = 0;
            for (std::size_t k = 0; k < 3; ++k)
                v = v << 8 |
                    (n + k < in.size() ? static_cast<unsigned char>(in[n + k])
                                       : 0U);
            for (std::size_t k = 0; k < 4; ++k)
                out +=
                    n + k <= in.size() ? digits[v >> (18 - 6 * k) & 63] : '=';
        }
        return out;
    }

    void serve(int fd)
    {
        reader in(fd);
        while (auto const it = in.read()) {
            if (!it->complete || !send_all(fd, handle(*it)))
                return;
        }
    }

    std::string handle(message const& it)
    {
        auto const topic = it.query("topic");
        if (it.path() == "/v1/log-append")
            return append(it, topic);
        if (it.path() == "/v1/log-newest")
            return newest(topic);
        if (it.path() == "/v1/log-read")
            return read(it, topic);
        return answer(404, "");
    }

    // All or nothing. The nodes append to their own topics alone.
    std::string append(message const& it, std::string const& topic)
    {
        if (topic == "keyed.op" || topic == "keyed.servers")
            return answer(403, "");
        std::vector<record> fresh;
        for (std::size_t at = 0; at + 4 <= it.body.size();) {
            std::size_t n = 0;
            for (int k = 0; k < 4; ++k)
                n = n << 8 | static_cast<unsigned char>(it.body[at + k]);
            auto const raw = it.body.substr(at + 4, n);
            at += 4 + n;
            auto const key = static_cast<unsigned char>(raw.at(0));
            fresh.push_back({raw.substr(1, key), raw.substr(1 + key)});
        }
        std::size_t first = 0;
        {
            std::scoped_lock const lock(mutex_);
            auto& all = topics_[topic];
            auto const at = it.query("at");
            if (!at.empty() && std::stoul(at) != all.size())
                return answer(412, json{{"end", all.size()}}.dump(),
                              "Content-Type: application/json\r\n");
            first = all.size();
            all.insert(all.end(), fresh.begin(), fresh.end());
            changed_.notify_all();
        }
        if (on_append)
            for (auto const& r : fresh)
                on_append(topic, r.key, r.value);
        return answer(
            200, json{{"offset", first}, {"end", first + fresh.size()}}.dump(),
            "Content-Type: application/json\r\n");
    }

    std::string newest(std::string const& topic)
    {
        std::scoped_lock const lock(mutex_);
        auto const& all = topics_[topic];
        std::map<std::string, std::size_t> last;
        for (std::size_t n = 0; n < all.size(); ++n)
            last[all[n].key] = n;
        json items = json::array();
        for (auto const& [key, n] : last)
            if (!all[n].value.empty())
                items.push_back({{"key", key},
                                 {"value", base64(all[n].value)},
                                 {"offset", n}});
        return answer(
            200,
            json{{"items", items}, {"has_more", false}, {"end", all.size()}}
                .dump(),
            "Content-Type: application/json\r\n");
    }

    std::string read(message const& it, std::string const& topic)
    {
        std::unique_lock lock(mutex_);
        auto const from = std::stoul(it.query("from"));
        auto const wait_ms = it.query("wait_ms");
        auto& all = topics_[topic];
        changed_.wait_for(
            lock,
            std::chrono::milliseconds(wait_ms.empty() ? 0 : std::stoi(wait_ms)),
            [&] { return all.size() > from; });
        auto body = big_endian(all.size(), 8) + big_endian(0, 8);
        for (auto n = from; n < all.size(); ++n) {
            auto const& r = all[n];
            body += big_endian(1 + r.key.size() + r.value.size(), 4) +
                    static_cast<char>(r.key.size()) + r.key + r.value;
        }
        return answer(200, body);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<record>> topics_;
};

// ---------------------------------------------------------------------------
// The platform's API. It records each call when it has arrived whole.
// ---------------------------------------------------------------------------

struct duty_call
{
    double at = 0;
    std::string path;
    std::string holder;
    long token = 0;
    std::string subject; // of the duty
    json body;
};

class cloud_api
{
public:
    explicit cloud_api(std::string const& ip) : at{ip, 0}
    {
        serve_on(at, [this](int fd) {
            reader in(fd);
            while (auto const it = in.read()) {
                if (!it->complete)
                    return;
                auto const status = record(*it);
                if (!send_all(fd, answer(status, "")))
                    return;
            }
        });
    }

    address at;
    bool none_available = false; // spot runners: 409
    std::function<void(duty_call const&)> on_call;

    std::vector<duty_call> calls()
    {
        std::scoped_lock const lock(mutex_);
        return calls_;
    }

private:
    int record(message const& it)
    {
        duty_call c;
        c.at = now_s();
        c.path = it.path();
        c.holder = it.header("Duty-Holder");
        c.token = std::atol(it.header("Fencing-Token").c_str());
        c.body = json::parse(it.body, nullptr, false);
        if (c.path == "/scale")
            c.subject = "/scale " + c.body.value("service", "") + " " +
                        c.body.value("zone", "");
        else
            c.subject = c.path; // all windows form one subject
        bool const spot = c.body.value("spot", false);
        int const status = spot && none_available ? 409 : 200;
        {
            std::scoped_lock const lock(mutex_);
            calls_.push_back(c);
        }
        note("api     %-6s %s token %ld from %s: %d", c.path.c_str(),
             it.body.c_str(), c.token, c.holder.c_str(), status);
        if (on_call)
            on_call(c);
        return status;
    }

    std::mutex mutex_;
    std::vector<duty_call> calls_;
};

// ---------------------------------------------------------------------------
// The link between a node and one address of the platform.
//
// It can be cut: what either side sends meanwhile is lost and sent again by
// TCP, 0.2, 0.6, 1.4 and 3.0 s after it was sent first (Linux: first time-out
// 200 ms, doubled each time). The first of these after the end of the cut
// arrives. A connection whose bytes are not acknowledged within 4 s is given
// up; nodes set TCP_USER_TIMEOUT to that. Connections that are opened during a
// cut never come about.
// ---------------------------------------------------------------------------

class link
{
public:
    link(std::string const& ip, address to) : at{ip, 0}, to_(std::move(to))
    {
        serve_on(at, [this](int fd) { serve(fd); });
    }

    address at;

    void cut() { cut_until_ = 1e9; }
    void heal() { cut_until_ = now_s(); }
    bool is_cut() const { return now_s() < cut_until_; }
    // The opening packet of the next connections is lost: TCP sends it again
    // after a second.
    std::atomic<int> lose_openings{0};
    std::atomic<int> opened{0}; // connections

private:
    void serve(int from_node)
    {
        ++opened;
        if (is_cut()) {
            // Its opening packet is lost. What was sent to it never arrives.
            while (is_cut())
                sleep_s(0.01);
            reset(from_node);
            return;
        }
        if (lose_openings > 0 && lose_openings-- > 0) {
            note("link    an opening packet is lost, 1 s");
            sleep_s(1.0);
        }
        int const to = connect_to(to_);
        if (to < 0)
            return;
        std::thread back([this, from_node, to] { pump(to, from_node); });
        pump(from_node, to);
        back.join();
        close(to);
    }

    static void reset(int fd)
    {
        linger const it{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &it, sizeof it);
    }

    // Passes on bytes in their order until the end of the connection.
    void pump(int from, int to)
    {
        char buf[65536];
        for (;;) {
            auto const n = recv(from, buf, sizeof buf, 0);
            if (!pass(now_s()) || n <= 0 ||
                !send_all(to, {buf, static_cast<std::size_t>(n)}))
                break;
        }
        shutdown(to, SHUT_WR);
    }

    // Waits until what was sent at `sent` arrives. Returns false if it never
    // does.
    bool pass(double sent)
    {
        if (!is_cut())
            return true;
        for (double const after : {0.2, 0.6, 1.4, 3.0}) {
            sleep_s(sent + after - now_s());
            if (!is_cut())
                return true;
        }
        return false;
    }

    address to_;
    std::atomic<double> cut_until_{0};
};

// ---------------------------------------------------------------------------
// Nodes, started by the command of the deploy file with a settings file of the
// platform's format.
// ---------------------------------------------------------------------------

inline std::filesystem::path folder()
{
    static std::filesystem::path const it = [] {
        auto const text = std::filesystem::temp_directory_path() /
                          ("review-" + std::to_string(getpid()));
        std::filesystem::create_directories(text);
        return text;
    }();
    return it;
}

struct node
{
    std::string name;
    std::string ip;
    std::string zone;
    pid_t pid = -1;
    bool first_start = true;

    address front() const { return {ip, 8221}; }
    address readiness() const { return {ip, 8224}; }
};

inline std::vector<std::string> const zones{"zone-a", "zone-b", "zone-c"};

inline void write_settings(node const& n, address const& store_at,
                           address const& api_at, std::string const& duties)
{
    std::ofstream out(folder() / (n.name + ".conf"));
    out << "node_name=" << n.name << "\nrole=node\nmachine_class=front\n"
        << "serves=front\nip=" << n.ip << "\nzone=" << n.zone
        << "\nregion=r\nlisten.front=" << n.front().text()
        << "\nlisten.readiness=" << n.readiness().text()
        << "\ninternal_ports=7600,7615\nbootstrap="
        << (n.first_start ? "true" : "false")
        << "\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
           "limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
           "discovery=platform\nentry=vip\nheartbeat_ms=1200\n"
           "bounds.stable_window_ms=3000\nbounds.ack_ms=4000\n"
           "bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
           "bounds.loss_slack_ms=200\nbounds.config_ms=2000\n"
           "bounds.rollback_slack_ms=250\nbounds.outer_ms=5000\n"
           "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
           "bounds.budget_slack=52\nbounds.quota_window_s=8\n"
           "bounds.quota_overshoot=0.1\nbounds.quota_slack=110000\n"
           "bounds.fencing_required=false\nbounds.lease_ms=3000\n"
           "bounds.thaw_ms=300\nbounds.usage_window_s=5\n"
           "bounds.usage_tolerance=0.05\nbounds.usage_late_s=10\n"
           "bounds.exposure_share=0.1\nbounds.exposure_slack=50\n"
           "bounds.rollback_ms=5000\nbounds.recovery_s=12\n"
           "bounds.pass_ms=120\nplatform.address="
        << store_at.text()
        << "\nplatform.form=log\nplatform.writes_per_s=400\n"
           "platform.reads_per_s=2000\nplatform.record_bytes=262144\n"
           "platform.call_bytes=2097152\nplatform.keep_s=300\n"
        << "cloud_api.address=" << api_at.text()
        << "\ncloud_api.rate_per_s=50.0\ncloud_api.duties=" << duties
        << "\ncloud_api.duty_per_s=50.0\n";
}

inline std::vector<pid_t>& started()
{
    static std::vector<pid_t> it;
    return it;
}

inline void start(node& n)
{
    auto const settings = (folder() / (n.name + ".conf")).string();
    auto const log = (folder() / (n.name + ".log")).string();
    auto const program = std::string(std::getenv("NODE"));
    n.pid = fork();
    if (n.pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // it does not outlive the script
        int const fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, 1);
        dup2(fd, 2);
        setenv("PAPAYAHOOK_SETTINGS", settings.c_str(), 1);
        execl(program.c_str(), program.c_str(), nullptr);
        std::_Exit(127);
    }
    started().push_back(n.pid);
    note("script  %s starts, process %d", n.name.c_str(),
         static_cast<int>(n.pid));
}

// Returns the exit status as waitpid() gives it; nothing while it runs.
inline std::optional<int> ended(node const& n)
{
    int status = 0;
    return waitpid(n.pid, &status, WNOHANG) == n.pid ? std::optional(status)
                                                     : std::nullopt;
}

// Ends what this script started, and exits.
[[noreturn]] inline void finish(int status)
{
    for (auto const pid : started())
        kill(pid, SIGKILL);
    for (auto const pid : started())
        waitpid(pid, nullptr, 0);
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder());
    else
        note("script  logs are in %s", folder().c_str());
    note("script  exits with %d", status);
    std::_Exit(status);
}

[[noreturn]] inline void give_up(char const* why)
{
    note("script  cannot run: %s", why);
    finish(2);
}

inline bool is_ready(node const& n)
{
    int const fd = connect_to(n.readiness());
    if (fd < 0)
        return false;
    send_all(fd, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    reader in(fd);
    auto const it = in.read();
    close(fd);
    return it && it->status() == 200;
}

inline bool wait_for(double limit_s, std::function<bool()> const& is_met)
{
    auto const until = now_s() + limit_s;
    while (now_s() < until) {
        if (is_met())
            return true;
        sleep_s(0.02);
    }
    return is_met();
}

inline bool with_trouble()
{
    auto const* const it = std::getenv("TROUBLE");
    return it == nullptr || std::string(it) != "0";
}

// Sends one request on a connection of its own and reads the whole answer.
inline std::optional<message> ask(address const& at, std::string const& text,
                                  double limit_s = 10)
{
    int const fd = connect_to(at);
    if (fd < 0)
        return std::nullopt;
    timeval const limit{static_cast<time_t>(limit_s), 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    send_all(fd, text);
    reader in(fd);
    auto out = in.read();
    close(fd);
    return out;
}

} // namespace rig
