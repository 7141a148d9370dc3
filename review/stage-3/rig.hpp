// Stand-ins of a small deployment on loopback addresses: the platform's store
// and API, runners, clients, and the processes of the system. Plain sockets and
// threads, no library.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rig {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;
using headers = std::vector<std::pair<std::string, std::string>>;

inline clock::time_point const started = clock::now();

inline double seconds_now()
{
    return std::chrono::duration<double>(clock::now() - started).count();
}

inline std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Lines of record.txt.
class record
{
public:
    explicit record(std::string const& path) : out_(path) {}
    void line(std::string const& text)
    {
        std::scoped_lock const lock(mutex_);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f ", seconds_now());
        out_ << at << text << '\n' << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

inline bool same_name(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x)) ==
                      std::tolower(static_cast<unsigned char>(y));
           });
}

struct message
{
    std::string first; // request line or status line
    std::string method;
    std::string target;
    int status = 0;
    headers fields;
    std::string body;

    std::string field(std::string_view name) const
    {
        for (auto const& [n, v] : fields)
            if (same_name(n, name))
                return v;
        return {};
    }
    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(std::string const& name) const
    {
        auto const mark = target.find('?');
        if (mark == std::string::npos)
            return {};
        std::istringstream all(target.substr(mark + 1));
        for (std::string pair; std::getline(all, pair, '&');)
            if (pair.rfind(name + "=", 0) == 0) {
                std::string out;
                auto const text = pair.substr(name.size() + 1);
                for (std::size_t n = 0; n < text.size(); ++n)
                    if (text[n] == '%' && n + 2 < text.size()) {
                        out += static_cast<char>(
                            std::stoi(text.substr(n + 1, 2), nullptr, 16));
                        n += 2;
                    }
                    else {
                        out += text[n];
                    }
                return out;
            }
        return {};
    }
};

// A connected socket with a read buffer.
class channel
{
public:
    explicit channel(int fd = -1) : fd_(fd)
    {
        int const one = 1;
        if (fd >= 0)
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    channel(channel&& it) noexcept
        : fd_(std::exchange(it.fd_, -1)), held_(std::move(it.held_))
    {
    }
    channel& operator=(channel&& it) noexcept
    {
        close();
        fd_ = std::exchange(it.fd_, -1);
        held_ = std::move(it.held_);
        return *this;
    }
    ~channel() { close(); }

    int fd() const { return fd_; }
    bool is_open() const { return fd_ >= 0; }
    void close()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }
    void reset()
    {
        linger const it{1, 0};
        if (fd_ >= 0)
            setsockopt(fd_, SOL_SOCKET, SO_LINGER, &it, sizeof it);
        close();
    }
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            auto const n =
                ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }
    // Returns false at the end of the connection, or when the time is over.
    bool fill(std::chrono::milliseconds limit = 60'000ms)
    {
        pollfd it{fd_, POLLIN, 0};
        if (::poll(&it, 1, static_cast<int>(limit.count())) != 1) {
            timed_out_ = true;
            return false;
        }
        char buf[16384];
        auto const n = ::recv(fd_, buf, sizeof buf, 0);
        was_reset_ = n < 0;
        if (n <= 0)
            return false;
        held_.append(buf, static_cast<std::size_t>(n));
        return true;
    }
    bool timed_out() const { return timed_out_; }
    bool was_reset() const { return was_reset_; }
    std::string& held() { return held_; }

    std::optional<std::string> line(clock::time_point until)
    {
        for (;;) {
            auto const end = held_.find('\n');
            if (end != std::string::npos) {
                auto out = held_.substr(0, end);
                held_.erase(0, end + 1);
                if (!out.empty() && out.back() == '\r')
                    out.pop_back();
                return out;
            }
            if (!fill(left(until)))
                return std::nullopt;
        }
    }
    std::optional<std::string> take(std::size_t n, clock::time_point until)
    {
        while (held_.size() < n)
            if (!fill(left(until)))
                return std::nullopt;
        auto out = held_.substr(0, n);
        held_.erase(0, n);
        return out;
    }

    static std::chrono::milliseconds left(clock::time_point until)
    {
        return std::max(0ms,
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            until - clock::now()));
    }

private:
    int fd_;
    std::string held_;
    bool timed_out_ = false;
    bool was_reset_ = false;
};

inline std::optional<std::string> read_chunks(channel& c,
                                              clock::time_point until)
{
    std::string out;
    for (;;) {
        auto const size = c.line(until);
        if (!size)
            return std::nullopt;
        auto const n = std::stoul(*size, nullptr, 16);
        if (n == 0) {
            while (auto const trailer = c.line(until))
                if (trailer->empty())
                    return out;
            return std::nullopt;
        }
        auto const data = c.take(n, until);
        if (!data || !c.take(2, until))
            return std::nullopt;
        out += *data;
    }
}

inline bool read_head(channel& c, message& out, clock::time_point until)
{
    auto const first = c.line(until);
    if (!first)
        return false;
    out.first = *first;
    for (;;) {
        auto const it = c.line(until);
        if (!it)
            return false;
        if (it->empty())
            return true;
        auto const colon = it->find(':');
        if (colon == std::string::npos)
            return false;
        auto value = it->substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        out.fields.emplace_back(it->substr(0, colon), value);
    }
}

inline std::optional<message> read_request(channel& c)
{
    auto const until = clock::now() + 120s;
    message out;
    if (!read_head(c, out, until))
        return std::nullopt;
    std::istringstream in(out.first);
    in >> out.method >> out.target;
    if (same_name(out.field("Transfer-Encoding"), "chunked")) {
        auto body = read_chunks(c, until);
        if (!body)
            return std::nullopt;
        out.body = std::move(*body);
    }
    else if (auto const n = out.field("Content-Length"); !n.empty()) {
        auto body = c.take(std::stoul(n), until);
        if (!body)
            return std::nullopt;
        out.body = std::move(*body);
    }
    return out;
}

inline std::string answer_bytes(int status, headers const& extra,
                                std::string const& body)
{
    std::string out =
        "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK" : " X") +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (auto const& [name, value] : extra)
        out += name + ": " + value + "\r\n";
    return out + "\r\n" + body;
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

inline bool is_free(int port)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM, 0);
    int const one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto const at = loopback(port);
    bool const out =
        ::bind(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at) == 0;
    ::close(fd);
    return out;
}

// The first of `n` free ports in a row, below those that the kernel hands out.
inline int free_ports(int n)
{
    static int next = 10'000 + static_cast<int>(::getpid()) % 180 * 100;
    for (int tries = 0; tries < 20'000; ++tries) {
        int const first = next;
        next = next + n > 31'000 ? 10'000 : next + n;
        bool all = first + n < 32'000;
        for (int port = first; all && port < first + n; ++port)
            all = is_free(port);
        if (all)
            return first;
    }
    throw std::runtime_error("no free ports");
}

// Serves each connection on a thread of its own. The handler writes the answer
// and returns whether the connection goes on.
class server
{
public:
    using handler = std::function<bool(channel&, message const&)>;

    explicit server(handler it, int port = free_ports(1))
        : port_(port), handler_(std::move(it))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const one = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        auto const at = loopback(port_);
        if (::bind(fd_, reinterpret_cast<sockaddr const*>(&at), sizeof at) !=
                0 ||
            ::listen(fd_, 1024) != 0)
            throw std::runtime_error("cannot listen");
        std::thread([this] { accept(); }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    // Later connections are refused.
    void stop()
    {
        stopped_ = true;
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
    }

private:
    void accept()
    {
        while (!stopped_) {
            int const fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                std::this_thread::sleep_for(10ms);
                continue;
            }
            std::thread([this, fd] {
                channel c(fd);
                while (auto const in = read_request(c))
                    if (!handler_(c, *in))
                        break;
            }).detach();
        }
    }

    int port_;
    int fd_ = -1;
    std::atomic<bool> stopped_{false};
    handler handler_;
};

inline channel connect_to(int port)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const at = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0) {
        ::close(fd);
        return channel();
    }
    return channel(fd);
}

struct answer
{
    bool whole = false; // a complete answer was read
    bool reset = false;
    message in;
};

inline answer read_answer(channel& c, std::chrono::milliseconds limit)
{
    auto const until = clock::now() + limit;
    answer out;
    auto& m = out.in;
    if (!read_head(c, m, until)) {
        out.reset = c.was_reset();
        return out;
    }
    if (m.first.size() > 12)
        m.status = std::atoi(m.first.substr(9, 3).c_str());
    if (same_name(m.field("Transfer-Encoding"), "chunked")) {
        auto body = read_chunks(c, until);
        out.whole = body.has_value();
        m.body = body.value_or("");
    }
    else if (auto const n = m.field("Content-Length"); !n.empty()) {
        auto body = c.take(std::stoul(n), until);
        out.whole = body.has_value();
        m.body = body.value_or("");
    }
    out.reset = c.was_reset();
    return out;
}

inline answer call(int port, std::string const& bytes,
                   std::chrono::milliseconds limit)
{
    auto c = connect_to(port);
    if (!c.is_open() || !c.send(bytes))
        return {};
    return read_answer(c, limit);
}

inline std::string base64(std::string const& text)
{
    constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < text.size(); n += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (n + k < text.size()
                                    ? static_cast<unsigned char>(text[n + k])
                                    : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out +=
                n + k <= text.size() ? digits[bits >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

// The platform's store: keyed topics with one partition. A drill takes it away
// for a moment and brings it back from a copy some seconds old: what was
// appended since is gone, offsets go back, and the era rises by one.
class store
{
public:
    store()
        : server_([this](channel& c, message const& in) { return on(c, in); })
    {
    }
    std::string address() const { return server_.address(); }

    void put(std::string const& topic, std::string const& key,
             std::string const& value)
    {
        std::scoped_lock const lock(mutex_);
        add(topic, std::string(1, static_cast<char>(key.size())) + key + value);
    }
    // Returns the newest value of a key; empty if there is none.
    std::string newest_value(std::string const& topic, std::string const& key)
    {
        std::scoped_lock const lock(mutex_);
        auto const& all = topics_[topic];
        auto const it =
            std::find_if(all.rbegin(), all.rend(),
                         [&](auto const& n) { return key_of(n.bytes) == key; });
        return it == all.rend() ? "" : it->bytes.substr(1 + key.size());
    }
    std::size_t end_of(std::string const& topic)
    {
        std::scoped_lock const lock(mutex_);
        return topics_[topic].size();
    }
    // What the operator and the runners wrote is written again: of each key the
    // newest value, since an older one would take the newer one back. What the
    // system wrote is gone. Returns how many of its records are.
    std::size_t drill(std::chrono::milliseconds away, clock::time_point copy)
    {
        {
            std::scoped_lock const lock(mutex_);
            away_ = true;
            changed_.notify_all();
        }
        std::this_thread::sleep_for(away);
        std::scoped_lock const lock(mutex_);
        std::size_t gone = 0;
        for (auto& [name, all] : topics_) {
            auto const first = std::find_if(
                all.begin(), all.end(), [&](auto& it) { return it.at > copy; });
            std::vector<entry> lost(first, all.end());
            all.erase(first, all.end());
            if (name != "keyed.op" && name != "keyed.servers") {
                gone += lost.size();
                continue;
            }
            std::map<std::string, std::string> newest;
            for (auto const& it : lost)
                newest[key_of(it.bytes)] = it.bytes;
            for (auto const& [key, bytes] : newest)
                all.push_back({bytes, clock::now()});
        }
        ++era_;
        away_ = false;
        changed_.notify_all();
        return gone;
    }

private:
    struct entry
    {
        std::string bytes; // length of the key, key, value
        clock::time_point at;
    };

    static std::string key_of(std::string const& bytes)
    {
        return bytes.substr(1, static_cast<unsigned char>(bytes[0]));
    }
    void add(std::string const& topic, std::string bytes)
    {
        topics_[topic].push_back({std::move(bytes), clock::now()});
        changed_.notify_all();
    }
    bool reply(channel& c, int status, std::string const& body,
               char const* type = "application/json")
    {
        return c.send(answer_bytes(
            status,
            {{"Content-Type", type}, {"Store-Era", std::to_string(era_)}},
            body));
    }
    static std::string number(std::uint64_t it, int bytes)
    {
        std::string out;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            out += static_cast<char>(it >> shift & 0xff);
        return out;
    }
    bool on(channel& c, message const& in)
    {
        std::unique_lock lock(mutex_);
        if (away_)
            return false; // the connection ends without an answer
        if (in.path() == "/v1/log-append")
            return append(c, in);
        if (in.path() == "/v1/log-newest")
            return newest(c, in);
        if (in.path() == "/v1/log-read")
            return read(c, in, lock);
        return reply(c, 404, "{}");
    }
    bool append(channel& c, message const& in)
    {
        auto const topic = in.query("topic");
        auto& all = topics_[topic];
        auto const at = in.query("at");
        auto const end = [&] {
            return std::to_string(all.size());
        };
        if (!at.empty() && std::stoul(at) != all.size())
            return reply(c, 412, "{\"end\":" + end() + "}");
        auto const first = all.size();
        for (std::string_view rest = in.body; rest.size() >= 4;) {
            std::size_t n = 0;
            for (int k = 0; k < 4; ++k)
                n = n << 8 | static_cast<unsigned char>(rest[k]);
            add(topic, std::string(rest.substr(4, n)));
            rest.remove_prefix(std::min(rest.size(), 4 + n));
        }
        return reply(c, 200,
                     "{\"offset\":" + std::to_string(first) +
                         ",\"end\":" + end() + "}");
    }
    bool newest(channel& c, message const& in)
    {
        auto const& all = topics_[in.query("topic")];
        std::map<std::string, std::size_t> offsets;
        for (std::size_t n = 0; n < all.size(); ++n) {
            offsets[key_of(all[n].bytes)] = n;
        }
        std::string items;
        for (auto const& [key, n] : offsets) {
            auto const value = all[n].bytes.substr(1 + key.size());
            if (value.empty() || key <= in.query("after"))
                continue;
            items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key) +
                     "\",\"value\":\"" + base64(value) +
                     "\",\"offset\":" + std::to_string(n) + "}";
        }
        return reply(c, 200,
                     "{\"items\":[" + items + "],\"has_more\":false,\"end\":" +
                         std::to_string(all.size()) + "}");
    }
    bool read(channel& c, message const& in, std::unique_lock<std::mutex>& lock)
    {
        auto const& all = topics_[in.query("topic")];
        auto const from = std::stoul(in.query("from"));
        auto const wait = in.query("wait_ms");
        auto const until =
            clock::now() +
            std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait));
        auto const era = era_;
        changed_.wait_until(lock, until, [&] {
            return away_ || era != era_ || from < all.size();
        });
        if (away_ || era != era_)
            return false; // the connection ends without an answer
        if (from > all.size())
            return reply(c, 410, "{\"first\":0}");
        auto body = number(all.size(), 8) + number(0, 8);
        for (auto n = from; n < all.size(); ++n)
            body += number(all[n].bytes.size(), 4) + all[n].bytes;
        return reply(c, 200, body, "application/octet-stream");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<entry>> topics_;
    bool away_ = false;
    int era_ = 1;
    server server_;
};

// A runner of a plain service. `on` writes the answer to a request that is
// meant for it; the stand-in answers 421 to the others.
class runner
{
public:
    runner(store& s, std::string id, std::string service, server::handler on,
           std::string version = "v1", int slots = 16)
        : store_(s), id_(std::move(id)), service_(std::move(service)),
          version_(std::move(version)), slots_(slots),
          server_([this, on](channel& c, message const& in) {
              if (in.field("Expect-Instance") != id_ && in.path() != "/health")
                  return c.send(answer_bytes(
                      421, {{"Request-Id", in.field("Request-Id")}}, ""));
              return on(c, in);
          })
    {
        std::thread([this] {
            while (!ended_) {
                beat();
                std::this_thread::sleep_for(1'200ms);
            }
        }).detach();
    }
    std::string const& id() const { return id_; }
    bool is_leaving() const { return leaving_; }
    bool has_ended() const { return ended_; }
    // Reports that it drains.
    void leave()
    {
        leaving_ = true;
        beat();
    }
    // Exits: what it works on is broken off.
    void exit()
    {
        ended_ = true;
        server_.stop();
        std::scoped_lock const lock(mutex_);
        store_.put("keyed.servers", id_, "");
    }
    void beat()
    {
        std::scoped_lock const lock(mutex_);
        if (ended_)
            return;
        store_.put(
            "keyed.servers", id_,
            "{\"service\":\"" + service_ + "\",\"address\":\"" +
                server_.address() + "\",\"zone\":\"zone-a\",\"version\":\"" +
                version_ + "\",\"slots\":" + std::to_string(slots_) +
                ",\"state\":\"" + (leaving_ ? "draining" : "ready") +
                "\",\"cold_left_ms\":0,\"born\":" + std::to_string(born_) +
                ",\"sequence\":" + std::to_string(++sequence_) + "}");
    }

private:
    store& store_;
    std::string id_;
    std::string service_;
    std::string version_;
    int slots_;
    std::mutex mutex_;
    std::int64_t born_ = wall_ms();
    int sequence_ = 0;
    std::atomic<bool> leaving_{false};
    std::atomic<bool> ended_{false};
    server server_;
};

// A process of the system, started with the command of the deploy file.
struct node
{
    std::string name;
    int front = 0;
    int readiness = 0;
    int internal = 0; // the first of 16 ports
    std::string folder;
    std::string settings; // extra lines
    pid_t pid = 0;
    bool has_started = false;

    std::string settings_file() const { return folder + "/settings"; }
};

inline std::string program()
{
    auto const* const it = std::getenv("NODE_PROGRAM");
    return it != nullptr ? it : "target/papayahook-node";
}

inline node make_node(std::string const& name, std::string const& folder,
                      std::string const& store, std::string const& api,
                      std::string const& zone = "zone-a",
                      std::string const& extra = {})
{
    node n;
    n.name = name;
    n.front = free_ports(1);
    n.readiness = free_ports(1);
    n.internal = free_ports(16);
    n.folder = folder + "/" + name;
    ::mkdir(n.folder.c_str(), 0755);
    std::ofstream(n.settings_file())
        << "node_name=" << name
        << "\nrole=node\nmachine_class=front\nserves=front\nip=127.0.0.1"
        << "\nzone=" << zone << "\nregion=region-a"
        << "\nlisten.front=127.0.0.1:" << n.front
        << "\nlisten.readiness=127.0.0.1:" << n.readiness
        << "\ninternal_ports=" << n.internal << ',' << n.internal + 15
        << "\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1"
        << "\nlimits.memory_mb=260\nlimits.max_fds=4100"
        << "\nheartbeat_ms=1200\nbounds.stable_window_ms=3000"
        << "\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.config_ms=2000"
        << "\nbounds.retry_budget_ratio=0.2\nbounds.budget_slack=52"
        << "\nbounds.quota_window_s=8\nbounds.quota_overshoot=0.1"
        << "\nbounds.quota_slack=110000\nbounds.fencing_required=false"
        << "\nbounds.lease_ms=3000\nbounds.thaw_ms=300"
        << "\nbounds.usage_window_s=5\nbounds.usage_late_s=10"
        << "\nplatform.address=" << store
        << "\nplatform.form=log\nplatform.keep_s=300"
        << "\ncloud_api.address=" << api
        << "\ncloud_api.rate_per_s=50\ncloud_api.duties=usage,autoscale"
        << "\ncloud_api.duty_per_s=50\n"
        << extra;
    return n;
}

// The whole system starts for the first time once: later settings say so.
inline void end_bootstrap(node const& n)
{
    constexpr std::string_view first = "bootstrap=true";
    std::ifstream in(n.settings_file());
    std::string text((std::istreambuf_iterator<char>(in)), {});
    in.close();
    if (auto const at = text.find(first); at != std::string::npos)
        text.replace(at, first.size(), "bootstrap=false");
    std::ofstream(n.settings_file()) << text;
}

inline void start(node& n)
{
    if (std::exchange(n.has_started, true))
        end_bootstrap(n);
    auto const log = n.folder + "/log";
    auto const exe = program();
    auto const settings = "PAPAYAHOOK_SETTINGS=" + n.settings_file();
    n.pid = ::fork();
    if (n.pid != 0)
        return;
    int const fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    for (int other = 3; other < 4096; ++other)
        ::close(other);
    char const* const args[] = {exe.c_str(), nullptr};
    char const* const path = std::getenv("PATH");
    auto const path_text = std::string("PATH=") + (path ? path : "");
    char const* const env[] = {settings.c_str(), path_text.c_str(), nullptr};
    ::execve(exe.c_str(), const_cast<char**>(args), const_cast<char**>(env));
    ::_exit(127);
}

inline void send_signal(node const& n, int number)
{
    if (n.pid > 0)
        ::kill(n.pid, number);
}

// Returns whether the process has ended.
inline bool has_ended(node& n)
{
    if (n.pid <= 0)
        return true;
    int status = 0;
    if (::waitpid(n.pid, &status, WNOHANG) != n.pid)
        return false;
    n.pid = 0;
    return true;
}

inline bool wait_ended(node& n, std::chrono::milliseconds limit)
{
    auto const until = clock::now() + limit;
    while (!has_ended(n) && clock::now() < until)
        std::this_thread::sleep_for(10ms);
    return n.pid == 0;
}

inline void end(node& n)
{
    send_signal(n, SIGCONT);
    send_signal(n, SIGKILL);
    wait_ended(n, 5s);
}

inline bool is_ready(node const& n)
{
    return call(n.readiness, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
                1'000ms)
               .in.status == 200;
}

inline bool eventually(std::chrono::milliseconds limit,
                       std::function<bool()> const& holds)
{
    auto const until = clock::now() + limit;
    while (clock::now() < until) {
        if (holds())
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return holds();
}

inline std::string request(std::string const& method, std::string const& path,
                           std::string const& id, int deadline_ms,
                           std::string const& body = {},
                           std::string const& extra = {},
                           std::string const& key = "key-1")
{
    auto out = method + " " + path +
               " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
               "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
               "\r\nAuthorization: Bearer " + key + "\r\n" + extra;
    if (method != "GET")
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

// Holds the settings and the logs of the nodes.
struct temporary_folder
{
    temporary_folder()
    {
        if (::mkdtemp(path.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
    }
    void remove() const
    {
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(path, ignored);
    }
    std::string path =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
};

inline bool has_trouble()
{
    auto const* const it = std::getenv("TROUBLE");
    return it == nullptr || std::string(it) != "0";
}

constexpr int broken = 1;
constexpr int held = 0;
constexpr int cannot_run = 2;

// Ends the nodes and this process. Threads of stand-ins may still run.
[[noreturn]] inline void finish(record& out, std::list<node>& nodes,
                                temporary_folder const& files, int result)
{
    for (auto& it : nodes)
        end(it);
    files.remove();
    out.line("result " + std::to_string(result));
    std::_Exit(result);
}

} // namespace rig
