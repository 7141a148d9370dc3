// Stand-ins for the review's scripts: the platform's store and API, runners,
// clients, and the means to start real nodes. Everything listens on loopback
// addresses. Only the standard library and POSIX are used.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace stage {

using headers_t = std::vector<std::pair<std::string, std::string>>;

// ---- time and record -------------------------------------------------------

inline std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Start of the script; child processes inherit it.
inline std::int64_t start_ms()
{
    static std::int64_t const it = [] {
        if (char const* const text = std::getenv("STAGE_START_MS"))
            return static_cast<std::int64_t>(std::atoll(text));
        auto const now = wall_ms();
        setenv("STAGE_START_MS", std::to_string(now).c_str(), 1);
        return now;
    }();
    return it;
}

inline double seconds()
{
    return (wall_ms() - start_ms()) / 1000.0;
}

inline void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// One line of record.txt. Lines are appended whole, also by child processes.
__attribute__((format(printf, 1, 2))) inline void record(char const* form, ...)
{
    static int const fd = [] {
        char const* const path = std::getenv("STAGE_RECORD");
        return open(path ? path : "record.txt", O_WRONLY | O_CREAT | O_APPEND,
                    0644);
    }();
    char text[1024];
    int n = std::snprintf(text, sizeof text, "%8.3f s  ", seconds());
    va_list args;
    va_start(args, form);
    n += std::vsnprintf(text + n, sizeof text - n - 1, form, args);
    va_end(args);
    n = std::min<int>(n, sizeof text - 2);
    text[n++] = '\n';
    if (write(fd, text, n) < 0)
        std::perror("record");
}

inline bool has_trouble()
{
    char const* const it = std::getenv("TROUBLE");
    return it == nullptr || std::string(it) != "0";
}

constexpr int broken = 1, held = 0, could_not_run = 2;

// ---- sockets ---------------------------------------------------------------

inline sockaddr_in address_of(std::string const& ip, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

// An address of 127.0.0.0/8 that no other run of a script uses at the same
// time.
inline std::string loopback(int n)
{
    static int const base = static_cast<int>(getpid());
    return "127." + std::to_string(16 + base / 251 % 200) + "." +
           std::to_string(1 + base % 251) + "." + std::to_string(n);
}

inline int listen_at(std::string const& ip, int& port)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = address_of(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        listen(fd, 512) != 0) {
        std::perror(("listen " + ip).c_str());
        std::exit(could_not_run);
    }
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    return fd;
}

inline bool send_all(int fd, std::string const& text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        auto const n =
            send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

inline bool same_name(std::string const& a, std::string const& b)
{
    return strcasecmp(a.c_str(), b.c_str()) == 0;
}

inline std::string value_of(headers_t const& all, std::string const& name)
{
    for (auto const& [key, value] : all)
        if (same_name(key, name))
            return value;
    return {};
}

// ---- HTTP messages ---------------------------------------------------------

struct message
{
    std::string first; // request line or status line
    headers_t headers;
    std::string body;
    bool complete = false; // the whole body has come
    bool has_head = false;

    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        auto const a = first.find(' ');
        auto const b = first.find(' ', a + 1);
        return a == first.npos ? "" : first.substr(a + 1, b - a - 1);
    }
    int status() const
    {
        return first.size() > 9 ? std::atoi(first.c_str() + 9) : 0;
    }
    std::string query(std::string const& name) const
    {
        auto const text = target();
        auto at = text.find('?');
        while (at != text.npos) {
            auto const end = text.find('&', at + 1);
            auto const pair = text.substr(at + 1, end - at - 1);
            if (pair.rfind(name + "=", 0) == 0)
                return pair.substr(name.size() + 1);
            at = end;
        }
        return {};
    }
};

// Reads messages from one connection.
struct reader
{
    int fd = -1;
    std::string held;
    bool reset = false;         // the connection ended with an error
    std::int64_t until_ms = -1; // wall clock; give up reading then
    std::size_t chunk = 64 * 1024;
    int pause_ms = 0; // after each read: a slow link
    std::function<void(std::string const&)> on_bytes; // of the body

    bool more()
    {
        if (until_ms >= 0) {
            pollfd it{fd, POLLIN, 0};
            auto const left = until_ms - wall_ms();
            if (left <= 0 || poll(&it, 1, static_cast<int>(left)) <= 0)
                return false;
        }
        std::string buf(chunk, '\0');
        auto const n = recv(fd, buf.data(), buf.size(), 0);
        if (n < 0)
            reset = true;
        if (n <= 0)
            return false;
        held.append(buf.data(), static_cast<std::size_t>(n));
        if (pause_ms > 0)
            sleep_ms(pause_ms);
        return true;
    }

    bool line(std::string& out)
    {
        std::size_t at;
        while ((at = held.find("\r\n")) == held.npos)
            if (!more())
                return false;
        out = held.substr(0, at);
        held.erase(0, at + 2);
        return true;
    }

    bool take(std::size_t n, std::string& out)
    {
        while (n > 0) {
            if (held.empty() && !more())
                return false;
            auto const part = held.substr(0, std::min(n, held.size()));
            held.erase(0, part.size());
            n -= part.size();
            out += part;
            if (on_bytes)
                on_bytes(part);
        }
        return true;
    }

    // is_answer: without a length, the body ends with the connection.
    message read(bool is_answer)
    {
        message out;
        if (!line(out.first))
            return out;
        for (std::string text; line(text) && !text.empty();) {
            auto const colon = text.find(':');
            auto from = colon + 1;
            while (from < text.size() && text[from] == ' ')
                from++;
            out.headers.emplace_back(text.substr(0, colon), text.substr(from));
        }
        out.has_head = true;
        auto const length = value_of(out.headers, "Content-Length");
        auto const coding = value_of(out.headers, "Transfer-Encoding");
        if (same_name(coding, "chunked")) {
            for (std::string size; line(size);) {
                auto const n = std::strtoul(size.c_str(), nullptr, 16);
                std::string end;
                if (!take(n, out.body) || !line(end))
                    return out;
                if (n == 0) {
                    out.complete = true;
                    return out;
                }
            }
            return out;
        }
        if (!length.empty())
            out.complete =
                take(std::strtoul(length.c_str(), nullptr, 10), out.body);
        else if (!is_answer)
            out.complete = true;
        else {
            while (more()) {
            }
            out.body = std::exchange(held, {});
            out.complete = !reset;
        }
        return out;
    }
};

inline std::string answer_text(int status, headers_t const& headers,
                               std::string const& body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (auto const& [name, value] : headers)
        out += name + ": " + value + "\r\n";
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

// Serves each connection on a thread of its own. `serve` gets each request and
// the socket; it returns whether the connection stays open.
using serve_t = std::function<bool(int fd, message const& in)>;

inline void serve_connections(int listener, serve_t serve)
{
    std::thread([listener, serve = std::move(serve)] {
        for (;;) {
            int const fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            int const on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([fd, serve] {
                reader in;
                in.fd = fd;
                for (;;) {
                    auto const it = in.read(false);
                    if (!it.complete || !serve(fd, it))
                        break;
                }
                close(fd);
            }).detach();
        }
    }).detach();
}

// ---- the platform's store and API ------------------------------------------

inline std::string base64(std::string const& text)
{
    constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < text.size(); n += 3) {
        std::uint32_t bits = 0;
        for (std::size_t i = 0; i < 3; ++i)
            bits = bits << 8 | (n + i < text.size()
                                    ? static_cast<unsigned char>(text[n + i])
                                    : 0u);
        for (std::size_t i = 0; i < 4; ++i)
            out +=
                n + i > text.size() ? '=' : digits[bits >> (18 - 6 * i) & 63];
    }
    return out;
}

inline std::string big_endian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(value >> shift & 0xff);
    return out;
}

struct store
{
    struct entry
    {
        std::string key;
        std::string value;
    };
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::vector<entry>> topics;
    std::string ip;
    int port = 0;

    void open(std::string const& at)
    {
        ip = at;
        int const fd = listen_at(ip, port);
        serve_connections(fd, [this](int fd, message const& in) {
            sleep_ms(4); // the time that the pages give for an answer
            return serve(fd, in);
        });
    }

    std::string address() const { return ip + ":" + std::to_string(port); }

    // The store as one machine reaches it; it may turn that machine away.
    struct door
    {
        std::string ip;
        int port = 0;
        std::atomic<bool> turns_away = false;
        std::atomic<int> registry_reads = 0;
        std::mutex mutex;
        std::set<int> open_connections;
        std::string address() const { return ip + ":" + std::to_string(port); }
    };

    void open(door& it, std::string const& at)
    {
        it.ip = at;
        int const fd = listen_at(it.ip, it.port);
        serve_connections(fd, [this, &it](int fd, message const& in) {
            {
                std::scoped_lock const lock(it.mutex);
                it.open_connections.insert(fd);
            }
            sleep_ms(4);
            if (in.query("topic") == "keyed.op")
                it.registry_reads++;
            bool const goes_on = it.turns_away
                                     ? send_all(fd, answer_text(429, {}, ""))
                                     : serve(fd, in);
            if (!goes_on) {
                std::scoped_lock const lock(it.mutex);
                it.open_connections.erase(fd);
            }
            return goes_on;
        });
    }

    // From now on the machine's calls get 429, and its connections are closed.
    static void turn_away(door& it)
    {
        it.turns_away = true;
        std::scoped_lock const lock(it.mutex);
        for (int const fd : it.open_connections)
            shutdown(fd, SHUT_RDWR);
    }

    void put(std::string const& topic, std::string const& key,
             std::string const& value)
    {
        std::scoped_lock const lock(mutex);
        topics[topic].push_back({key, value});
        changed.notify_all();
    }

    std::string newest(std::string const& topic, std::string const& key)
    {
        std::scoped_lock const lock(mutex);
        std::string out;
        for (auto const& it : topics[topic])
            if (it.key == key)
                out = it.value;
        return out;
    }

    bool serve(int fd, message const& in)
    {
        auto const path = in.target().substr(0, in.target().find('?'));
        auto const topic = in.query("topic");
        if (path == "/v1/log-append")
            return append(fd, in, topic);
        if (path == "/v1/log-newest")
            return newest_of_all(fd, topic);
        if (path == "/v1/log-read")
            return read(fd, in, topic);
        return send_all(fd, answer_text(404, {}, ""));
    }

    bool append(int fd, message const& in, std::string const& topic)
    {
        std::unique_lock lock(mutex);
        auto& all = topics[topic];
        auto const json = headers_t{{"Content-Type", "application/json"}};
        auto const at = in.query("at");
        auto const end = [&] {
            return std::to_string(all.size());
        };
        if (!at.empty() && std::stoull(at) != all.size()) {
            auto const body = "{\"end\":" + end() + "}";
            lock.unlock();
            return send_all(fd, answer_text(412, json, body));
        }
        auto const first = end();
        std::string_view rest = in.body;
        while (rest.size() >= 5) {
            std::size_t n = 0;
            for (int i = 0; i < 4; ++i)
                n = n << 8 | static_cast<unsigned char>(rest[i]);
            auto const text = rest.substr(4, n);
            std::size_t const key = static_cast<unsigned char>(text[0]);
            all.push_back({std::string(text.substr(1, key)),
                           std::string(text.substr(1 + key))});
            rest.remove_prefix(4 + n);
        }
        changed.notify_all();
        auto const body = "{\"offset\":" + first + ",\"end\":" + end() + "}";
        lock.unlock();
        return send_all(fd, answer_text(200, json, body));
    }

    bool newest_of_all(int fd, std::string const& topic)
    {
        std::unique_lock lock(mutex);
        auto const& all = topics[topic];
        std::map<std::string, std::size_t> last;
        for (std::size_t n = 0; n < all.size(); ++n)
            last[all[n].key] = n;
        std::string items;
        for (auto const& [key, n] : last)
            if (!all[n].value.empty())
                items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" +
                         key + "\",\"value\":\"" + base64(all[n].value) +
                         "\",\"offset\":" + std::to_string(n) + "}";
        auto const body =
            "{\"items\":[" + items +
            "],\"has_more\":false,\"end\":" + std::to_string(all.size()) + "}";
        lock.unlock();
        return send_all(
            fd, answer_text(200, {{"Content-Type", "application/json"}}, body));
    }

    bool read(int fd, message const& in, std::string const& topic)
    {
        std::unique_lock lock(mutex);
        auto const from = std::stoull(in.query("from"));
        auto const wait = in.query("wait_ms");
        changed.wait_for(
            lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait)),
            [&] { return topics[topic].size() > from; });
        auto const& all = topics[topic];
        auto body = big_endian(all.size(), 8) + big_endian(0, 8);
        for (auto n = from; n < all.size(); ++n) {
            auto const& it = all[n];
            body += big_endian(1 + it.key.size() + it.value.size(), 4) +
                    static_cast<char>(it.key.size()) + it.key + it.value;
        }
        lock.unlock();
        return send_all(fd, answer_text(200, {}, body));
    }
};

// Accepts every call of the duties.
struct cloud_api
{
    struct call
    {
        std::int64_t at_ms = 0; // wall clock
        std::string holder;
        long fencing = 0;
        std::string path;
    };
    std::string ip;
    int port = 0;
    std::mutex mutex;
    std::vector<call> calls;

    std::vector<call> all_calls()
    {
        std::scoped_lock const lock(mutex);
        return calls;
    }

    void open(std::string const& at)
    {
        ip = at;
        int const fd = listen_at(ip, port);
        serve_connections(fd, [this](int fd, message const& in) {
            auto const holder = value_of(in.headers, "Duty-Holder");
            auto const fencing = value_of(in.headers, "Fencing-Token");
            record("api call %s of %s, fencing %s, %s", in.target().c_str(),
                   holder.c_str(), fencing.c_str(), in.body.c_str());
            {
                std::scoped_lock const lock(mutex);
                calls.push_back({wall_ms(), holder, std::atol(fencing.c_str()),
                                 in.target()});
            }
            return send_all(fd, answer_text(200, {}, ""));
        });
    }
    std::string address() const { return ip + ":" + std::to_string(port); }
};

// ---- runners ---------------------------------------------------------------

// A runner of a plain service. `run` gets the requests that are meant for it.
struct server
{
    using run_t =
        std::function<bool(int fd, message const& in, std::string const& id)>;
    std::string name;
    std::string ip;
    std::string service;
    run_t run;
    int slots = 16;
    std::string version = "v1";
    int port = 0;
    std::atomic<bool> present = true; // in the store's list

    headers_t head(std::string const& id) const
    {
        return {{"Request-Id", id}, {"Response-Seal", "seal-of-" + name}};
    }

    void open()
    {
        serve_connections(listen_at(ip, port), [this](int fd,
                                                      message const& in) {
            auto const id = value_of(in.headers, "Request-Id");
            if (value_of(in.headers, "Expect-Instance") == name)
                return run(fd, in, id);
            return send_all(
                fd, answer_text(
                        421, {{"Request-Id", id}, {"Instance-Id", name}}, ""));
        });
    }

    std::string entry(int sequence) const
    {
        return "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" +
               std::to_string(port) + "\",\"zone\":\"zone-a\",\"version\":\"" +
               version + "\",\"slots\":" + std::to_string(slots) +
               ",\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":" +
               std::to_string(sequence) +
               ",\"born\":" + std::to_string(start_ms()) + "}";
    }
};

// Writes the runners' entries to the store, one per heartbeat, from now on.
inline void start_beats(store& s, std::vector<server*> servers)
{
    std::thread([&s, servers = std::move(servers)] {
        for (int n = 1;; ++n, sleep_ms(1200))
            for (auto* const it : servers)
                if (it->present)
                    s.put("keyed.servers", it->name, it->entry(n));
    }).detach();
}

// ---- nodes -----------------------------------------------------------------

// Folder of this run, below the system's folder for temporary files.
inline std::string const& folder()
{
    static std::string const it = [] {
        std::string text =
            std::string(getenv("TMPDIR") ? getenv("TMPDIR") : "/tmp") +
            "/papayahook-review-XXXXXX";
        if (mkdtemp(text.data()) == nullptr)
            std::exit(could_not_run);
        return text;
    }();
    return it;
}

struct node
{
    std::string name;
    std::string ip;
    pid_t pid = -1;
    static constexpr int front = 8221, readiness = 8224;

    std::string settings() const { return folder() + "/" + name + ".conf"; }

    void write_settings(std::string const& store_address, cloud_api const& api,
                        bool first_start = true) const
    {
        std::FILE* const f = std::fopen(settings().c_str(), "w");
        std::fprintf(
            f,
            "node_name=%s\nrole=node\nmachine_class=front\nserves=front\n"
            "ip=%s\nzone=zone-a\nregion=r\nzones.zone-a=r\n"
            "listen.front=%s:%d\nlisten.readiness=%s:%d\n"
            "internal_ports=7600,7615\nseeds=\nbootstrap=%s\n"
            "fault_counted=false\nlimits.cpu_share=0.25\nlimits.cores=1\n"
            "limits.memory_mb=260\nlimits.max_fds=4100\n"
            "limits.link_mbps=1000.0\nlimits.disk_mb=0\n"
            "discovery=platform\nentry=vip\nheartbeat_ms=1200\n"
            "contracts=base,drain,config,cost,retry,recover,engine,stream,"
            "tenants,quota,leader,rollout,platform\n"
            "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\n"
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
            "bounds.pass_ms=120\nbounds.reuse_window_s=8.6\n"
            "platform.address=%s\nplatform.form=log\n"
            "cloud_api.address=%s\ncloud_api.duties=usage,autoscale\n",
            name.c_str(), ip.c_str(), ip.c_str(), front, ip.c_str(), readiness,
            first_start ? "true" : "false", store_address.c_str(),
            api.address().c_str());
        std::fclose(f);
    }

    // The command of the deploy file, in the repository's root.
    void start()
    {
        char const* const program = "target/papayahook-node";
        if (access(program, X_OK) != 0) {
            std::fprintf(stderr, "%s is missing: run the build\n", program);
            std::exit(could_not_run);
        }
        auto const log = folder() + "/" + name + ".log";
        auto const variable = "PAPAYAHOOK_SETTINGS=" + settings();
        pid = fork();
        if (pid == 0) {
            int const fd =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            char* const args[] = {const_cast<char*>(program), nullptr};
            std::string path = "PATH=/usr/bin:/bin";
            char* const env[] = {path.data(),
                                 const_cast<char*>(variable.c_str()), nullptr};
            execve(program, args, env);
            _exit(127);
        }
        record("platform starts %s, process %d, at %s", name.c_str(),
               static_cast<int>(pid), ip.c_str());
    }

    void signal(int number) const
    {
        record("platform sends signal %d to %s", number, name.c_str());
        if (pid > 0)
            kill(pid, number);
    }

    // Exit status, or -1 if the process still runs after the time.
    int wait(std::int64_t ms)
    {
        auto const until = wall_ms() + ms;
        int status = 0;
        while (pid > 0) {
            if (waitpid(pid, &status, WNOHANG) == pid) {
                pid = -1;
                record("%s has ended: %s %d", name.c_str(),
                       WIFSIGNALED(status) ? "signal" : "exit",
                       WIFSIGNALED(status) ? WTERMSIG(status)
                                           : WEXITSTATUS(status));
                return status;
            }
            if (wall_ms() >= until)
                return -1;
            sleep_ms(10);
        }
        return status;
    }

    double memory_mib() const
    {
        std::FILE* const f = std::fopen(
            ("/proc/" + std::to_string(pid) + "/status").c_str(), "r");
        if (f == nullptr)
            return 0;
        char text[256];
        double out = 0;
        while (std::fgets(text, sizeof text, f))
            if (std::strncmp(text, "VmRSS:", 6) == 0)
                out = std::atof(text + 6) / 1024;
        std::fclose(f);
        return out;
    }
};

// ---- clients ---------------------------------------------------------------

inline int connect_to(std::string const& ip, int port, int receive_buffer = 0)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof receive_buffer);
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto const at = address_of(ip, port);
    if (connect(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline std::string new_id()
{
    static std::atomic<unsigned> next{1};
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x",
                  static_cast<unsigned>(start_ms()), next++);
    return text;
}

inline std::string
request_text(std::string const& method, std::string const& host,
             std::string const& target, std::string const& id, int deadline_ms,
             headers_t const& extra = {}, std::string const& body = {})
{
    auto out = method + " " + target + " HTTP/1.1\r\nHost: " + host +
               "\r\nRequest-Id: " + id +
               "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
               "\r\nAuthorization: Bearer key-1\r\n";
    for (auto const& [name, value] : extra)
        out += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST")
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

inline bool is_ready(node const& n)
{
    int const fd = connect_to(n.ip, node::readiness);
    if (fd < 0)
        return false;
    send_all(fd, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    reader in;
    in.fd = fd;
    in.until_ms = wall_ms() + 1000;
    auto const status = in.read(true).status();
    close(fd);
    return status == 200;
}

inline bool wait_until(std::int64_t ms, std::function<bool()> const& holds)
{
    for (auto const until = wall_ms() + ms; wall_ms() < until; sleep_ms(50))
        if (holds())
            return true;
    return false;
}

// Starts the nodes and waits until they are ready and the traffic may start.
inline bool start_all(std::vector<node*> const& nodes, store const& s,
                      cloud_api const& api)
{
    for (auto* const it : nodes) {
        it->write_settings(s.address(), api);
        it->start();
    }
    for (auto* const it : nodes)
        if (!wait_until(15'000, [&] { return is_ready(*it); }))
            return false;
    sleep_ms(10'000); // the traffic starts 10 s after the machines
    return true;
}

// Ends all nodes, removes the folder, and ends the script with this status.
[[noreturn]] inline void finish(std::vector<node*> const& nodes, int result)
{
    for (auto* const n : nodes)
        if (n->pid > 0) {
            n->signal(SIGKILL);
            n->wait(2000);
        }
    if (std::getenv("STAGE_KEEP") == nullptr &&
        std::system(("rm -rf '" + folder() + "'").c_str()) != 0)
        std::perror("rm");
    record("result: %s", result == broken ? "the rule was broken"
                         : result == held ? "the rule held"
                                          : "could not run");
    // The threads of the stand-ins still run.
    _exit(result);
}

} // namespace stage
