// Seeded soak of papayahook-node as real processes. docs/PROOFS.md has the
// table of what a caller may see and what a process may do.
#include "platform/wire.hpp"
#include "soak/plain_http.hpp"
#include "soak/runners.hpp"
#include "support/processes.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <numeric>
#include <optional>
#include <poll.h>
#include <random>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace papayahook;
using namespace papayahook::soak;
using namespace std::chrono_literals;
namespace wire = platform::wire;

namespace {

using std::chrono::milliseconds;
using time_point = clock::time_point;
using lock_t = std::scoped_lock<std::recursive_mutex>;

// Bounds of the platform, and of the soak itself.
constexpr auto grace = 8s;
constexpr auto stable_window = 3s;
constexpr auto ready_limit = 10s;
constexpr auto work_ends = 6'667ms; // the last sixth of the grace begins
constexpr auto sent_late = 3s;      // after a SIGTERM
constexpr auto loss_slack = 1s;     // 200 ms, and what a busy machine adds
constexpr auto end_slack = 1s;      // of a process, for the same reason
constexpr auto answer_limit = 5s;   // of a new connection: 3 s and slack
constexpr auto caller_patience = 20s;
constexpr auto disrupted_for = 10s;
constexpr int node_count = 3;
constexpr int caller_count = 48;
constexpr std::size_t memory_limit_mb = 160;
constexpr std::size_t extra_descriptors = 40; // kept to runners and peers
constexpr std::size_t extra_memory_mb = 64;
constexpr std::size_t shown_faults = 12;

struct dice
{
    std::mt19937_64 engine;
    int below(int n)
    {
        return static_cast<int>(engine() % static_cast<std::uint64_t>(n));
    }
    bool chance(int percent) { return below(100) < percent; }
    milliseconds upto(int ms) { return milliseconds(below(ms + 1)); }
};

// What each run draws beside the times of its actions.
struct traits
{
    bool few_descriptors = false;
    bool large_bodies = false;
    bool kills = false;   // at all nodes but the first
    bool freezes = false; // the same
};

enum class reader
{
    reads,
    waits,
    gone
};

// One process of a node.
struct life
{
    pid_t pid = 0;
    int number = 0;
    time_point started;
    std::optional<time_point> ended;
    int status = 0;                    // exit code, or 128 + signal
    std::optional<time_point> stopped; // first SIGTERM or SIGINT
    bool killed = false;
    time_point thawed;
    milliseconds frozen{0}; // in sum
    bool ready = false;
    bool late = false; // not ready in time, reported
    std::atomic<reader> output{reader::reads};
    bool has_pipe = false;
    std::thread pump;
};

struct node
{
    std::string name;
    std::string front;
    std::string readiness;
    std::uint16_t ports = 0;
    std::string folder;
    std::string settings; // the good text
    bool planned_only = false;
    std::deque<life> lives;
    std::vector<std::pair<time_point, time_point>> disruptions;
    std::size_t descriptors = 0; // when it was ready first
    std::size_t memory = 0;
};

struct request
{
    wish asked;
    int node = 0;
    bool kept = false;   // the connection had carried an answer
    bool second = false; // sent together with the one before
    time_point began;
    time_point sent; // wholly, and what came before it was answered
    time_point ended;
    bool whole = false;       // wholly sent
    bool left = false;        // the caller went away
    bool after_close = false; // the answer before announced the close
    message answer;
    bool over = false;
};

struct world
{
    std::uint64_t seed = 0;
    traits drawn;
    std::recursive_mutex mutex;
    time_point start = clock::now();
    std::string folder;
    std::unique_ptr<support::platform_fake> fake;
    std::unique_ptr<runners> app;
    std::unique_ptr<runners> models;
    std::deque<node> nodes;
    std::deque<request> requests;
    std::vector<std::string> timeline;
    std::vector<std::string> faults;
    std::atomic<bool> calm{false};    // no more disruptions
    std::atomic<bool> closing{false}; // callers leave
    std::atomic<bool> over{false};
    std::atomic<int> leave_now{0};
    int config_version = 0;
};

std::string text(char const* format, ...)
{
    char buf[512];
    va_list list;
    va_start(list, format);
    std::vsnprintf(buf, sizeof buf, format, list);
    va_end(list);
    return buf;
}

double at(world const& w, time_point t)
{
    return std::chrono::duration<double>(t - w.start).count();
}

void note(world& w, std::string const& what)
{
    lock_t const lock(w.mutex);
    w.timeline.push_back(text("%8.3f ", at(w, clock::now())) + what);
}

void fault(world& w, std::string const& what)
{
    lock_t const lock(w.mutex);
    w.faults.push_back(what);
    note(w, "FAULT " + what);
}

std::string name_of(node const& n, life const& l)
{
    return n.name + "." + std::to_string(l.number);
}

// Processes

void write_text(std::string const& path, std::string const& content)
{
    std::ofstream(path) << content;
}

std::string good_settings(world const& w, node const& n)
{
    return "node_name=" + n.name + "\nzone=zone-a\nip=127.0.0.1" +
           "\nlisten.front=" + n.front + "\nlisten.readiness=" + n.readiness +
           "\ninternal_ports=" + std::to_string(n.ports) + "," +
           std::to_string(n.ports + 15) +
           "\nplatform.address=" + w.fake->store_address +
           "\ncloud_api.address=" + w.fake->api_address +
           "\ncloud_api.duties=usage\nbounds.usage_window_s=1"
           "\nbounds.usage_late_s=2\nbounds.grace_s=" +
           std::to_string(grace.count()) +
           "\nlimits.max_fds=" + (w.drawn.few_descriptors ? "280" : "4100") +
           "\nlimits.memory_mb=" + std::to_string(memory_limit_mb) + "\n";
}

// Copies what a process writes to its log, as long as its reader reads.
void pump(int fd, std::string const& log, std::atomic<reader>& mode)
{
    std::ofstream out(log, std::ios::app);
    std::vector<char> buf(4096);
    for (;;) {
        if (mode == reader::gone)
            break;
        if (mode == reader::waits) {
            std::this_thread::sleep_for(10ms);
            continue;
        }
        pollfd it{fd, POLLIN, 0};
        if (::poll(&it, 1, 10) != 1)
            continue;
        auto const n = ::read(fd, buf.data(), buf.size());
        if (n <= 0)
            break;
        out.write(buf.data(), n);
    }
    ::close(fd);
}

[[noreturn]] void become_node(int out, rlim_t descriptors, char const* program,
                              char* const* environment)
{
    if (descriptors > 0) {
        rlimit const it{descriptors, descriptors};
        ::setrlimit(RLIMIT_NOFILE, &it);
    }
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    char* const args[] = {const_cast<char*>(program), nullptr};
    ::execve(program, args, environment);
    ::_exit(127);
}

std::string node_program()
{
    auto const* const it = std::getenv("PAPAYAHOOK_SOAK_NODE");
    return it != nullptr ? it : support::program("papayahook-node");
}

// Returns once the program is the node's: a signal from then on reaches it and
// not the soak's own copy.
life& start(world& w, node& n, bool with_pipe)
{
    lock_t const lock(w.mutex);
    write_text(n.folder + "/settings", n.settings);
    auto& it = n.lives.emplace_back();
    it.number = static_cast<int>(n.lives.size());
    auto const log = n.folder + "/log-" + std::to_string(it.number);
    auto const program = node_program();
    auto const variable = "PAPAYAHOOK_SETTINGS=" + n.folder + "/settings";
    char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
    int out[2] = {-1, -1};
    if (with_pipe) {
        if (::pipe2(out, O_CLOEXEC) != 0)
            throw std::runtime_error("no pipe");
        ::fcntl(out[1], F_SETPIPE_SZ, 4096);
    }
    else {
        out[1] = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                        0644);
    }
    int started[2];
    if (::pipe2(started, O_CLOEXEC) != 0)
        throw std::runtime_error("no pipe");
    rlim_t const descriptors = w.drawn.few_descriptors ? 280 : 0;
    it.pid = ::fork();
    if (it.pid == 0)
        become_node(out[1], descriptors, program.c_str(), environment);
    ::close(started[1]);
    ::close(out[1]);
    char c = 0;
    [[maybe_unused]] auto const ignored = ::read(started[0], &c, 1);
    ::close(started[0]);
    it.started = it.thawed = clock::now();
    if (it.pid < 0)
        throw std::runtime_error("cannot start " + program);
    it.has_pipe = with_pipe;
    if (with_pipe)
        it.pump =
            std::thread([fd = out[0], log, &it] { pump(fd, log, it.output); });
    note(w, "start " + name_of(n, it) + " pid " + std::to_string(it.pid) +
                (with_pipe ? " with a pipe" : ""));
    return it;
}

// Whether the process handles the signal in some way of its own.
bool handles(pid_t pid, int signal)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::uint64_t mask = 0;
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("SigCgt:") || line.starts_with("SigIgn:") ||
            line.starts_with("SigBlk:"))
            mask |= std::stoull(line.substr(7), nullptr, 16);
    return (mask >> (signal - 1) & 1U) != 0;
}

void send_signal(world& w, node& n, life& it, int number)
{
    lock_t const lock(w.mutex);
    if (it.ended)
        return;
    note(w, text("%s to %s, %.1f ms after its start%s", ::strsignal(number),
                 name_of(n, it).c_str(),
                 std::chrono::duration<double, std::milli>(clock::now() -
                                                           it.started)
                     .count(),
                 handles(it.pid, number) ? "" : ", which it does not handle"));
    auto const now = clock::now();
    if ((number == SIGTERM || number == SIGINT) && !it.stopped)
        it.stopped = now;
    if (number == SIGKILL) {
        it.killed = true;
        n.disruptions.emplace_back(now, now);
    }
    ::kill(it.pid, number);
}

void freeze(world& w, node& n, life& it, milliseconds span)
{
    std::size_t at = 0;
    {
        lock_t const lock(w.mutex);
        at = n.disruptions.size();
        n.disruptions.emplace_back(clock::now(), time_point::max());
        send_signal(w, n, it, SIGSTOP);
    }
    std::this_thread::sleep_for(span);
    lock_t const lock(w.mutex);
    send_signal(w, n, it, SIGCONT);
    it.thawed = n.disruptions[at].second = clock::now();
    it.frozen +=
        std::chrono::ceil<milliseconds>(it.thawed - n.disruptions[at].first);
}

void check_end(world& w, node& n, life const& it)
{
    auto const who = name_of(n, it);
    note(w, who + " ended with " + std::to_string(it.status));
    if (it.killed && it.status == 128 + SIGKILL)
        return;
    if (!it.stopped) {
        fault(w, text("FAULT: %s ended by itself or by another signal, %d",
                      who.c_str(), it.status));
        return;
    }
    if (it.status != 0)
        fault(w, text("FAULT: %s was told to stop and ended with %d",
                      who.c_str(), it.status));
    if (*it.ended - *it.stopped > grace + end_slack + it.frozen)
        fault(w, text("FAULT: %s ended %.1f s after it was told to",
                      who.c_str(), at(w, *it.ended) - at(w, *it.stopped)));
}

void check_life(world& w, node& n, life& it)
{
    auto const now = clock::now();
    int status = 0;
    if (!it.ended && ::waitpid(it.pid, &status, WNOHANG) == it.pid) {
        it.ended = now;
        it.status =
            WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        check_end(w, n, it);
    }
    if (it.ended)
        return;
    if (it.stopped && now - *it.stopped > grace + 3 * end_slack + it.frozen &&
        !it.killed) {
        fault(w, "FAULT: " + name_of(n, it) + " does not end; killed");
        send_signal(w, n, it, SIGKILL);
    }
    auto since = std::max(it.started, it.thawed);
    if (it.number > 1) {
        auto const& before = n.lives[static_cast<std::size_t>(it.number) - 2];
        since = std::max(since, before.ended.value_or(now));
    }
    if (!it.ready && !it.stopped && !it.killed && !it.late &&
        now - since > ready_limit) {
        it.late = true;
        fault(w, "FAULT: " + name_of(n, it) + " is not ready in time");
    }
}

// Asks for readiness and sees processes end.
void watch(world& w)
{
    while (!w.over) {
        {
            lock_t const lock(w.mutex);
            for (auto& n : w.nodes)
                for (auto& it : n.lives)
                    check_life(w, n, it);
        }
        std::this_thread::sleep_for(5ms);
    }
}

void ask_readiness(world& w)
{
    while (!w.over) {
        for (auto& n : w.nodes) {
            life* it = nullptr;
            {
                lock_t const lock(w.mutex);
                if (!n.lives.empty())
                    it = &n.lives.back();
            }
            if (it == nullptr || it->ready)
                continue;
            if (status_at(n.readiness, "/v1/readiness", 300ms) == 200) {
                lock_t const lock(w.mutex);
                if (&n.lives.back() == it && !it->ended && !it->ready) {
                    it->ready = true;
                    note(w, name_of(n, *it) + " is ready");
                }
            }
        }
        std::this_thread::sleep_for(50ms);
    }
}

bool eventually(std::chrono::milliseconds limit,
                std::function<bool()> const& holds)
{
    auto const until = clock::now() + limit;
    while (!holds()) {
        if (clock::now() > until)
            return false;
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

bool has_ended(world& w, life const& it)
{
    lock_t const lock(w.mutex);
    return it.ended.has_value();
}

// Disruptions

void early_signals(world& w, node& n, life& it, dice& d)
{
    for (int left = 1 + d.below(3); left > 0; --left) {
        std::this_thread::sleep_for(d.upto(30));
        int const numbers[] = {SIGHUP, SIGHUP, SIGUSR1, SIGTERM, SIGHUP};
        send_signal(w, n, it, numbers[d.below(5)]);
    }
}

void start_again(world& w, node& n, dice& d)
{
    if (n.lives.size() > 1) { // at most two at once
        auto const& before = n.lives[n.lives.size() - 2];
        eventually(30s, [&] { return has_ended(w, before); });
    }
    auto& it = start(w, n, d.chance(40));
    if (d.chance(40))
        early_signals(w, n, it, d);
}

void stop_in_series(world& w, node& n, life& it, dice& d)
{
    bool const at_once = d.chance(50);
    if (d.chance(40))
        w.leave_now = 1 + d.below(3);
    send_signal(w, n, it, d.chance(75) ? SIGTERM : SIGINT);
    for (int left = d.below(4); left > 0; --left) {
        std::this_thread::sleep_for(d.upto(at_once ? 40 : 600));
        int const numbers[] = {SIGTERM, SIGHUP, SIGTERM, SIGUSR1, SIGINT};
        send_signal(w, n, it, numbers[d.below(5)]);
    }
    if (!at_once)
        eventually(30s, [&] { return has_ended(w, it); });
    start_again(w, n, d);
}

void change_settings(world& w, node& n, life& it, dice& d)
{
    {
        lock_t const lock(w.mutex);
        if (!it.ready) // a start with bad settings may fail
            return;
    }
    auto const path = n.folder + "/settings";
    char const* const odd[] = {
        "internal_ports=abc",      "internal_ports=1",
        "internal_ports=99999,-1", "bounds.grace_s=99999999999999999999",
        "limits.memory_mb=x",      "listen.front=127.0.0.1:x",
        "platform.address=",       "limits.max_fds=1e9"};
    std::string content = n.settings;
    std::string what = "good";
    switch (d.below(4)) {
    case 0:
        content.resize(static_cast<std::size_t>(
            d.below(static_cast<int>(content.size()))));
        what = "cut at " + std::to_string(content.size());
        break;
    case 1:
    case 2:
        what = odd[d.below(8)];
        content += what + "\n";
        break;
    default:
        break;
    }
    note(w, n.name + " settings: " + what);
    write_text(path, content);
    if (d.chance(60))
        send_signal(w, n, it, SIGHUP);
    std::this_thread::sleep_for(d.upto(800));
    write_text(path, n.settings);
    if (d.chance(40))
        send_signal(w, n, it, SIGHUP);
}

// Connections that bring no request: reset before they are accepted, after
// half a head, or kept open for a while.
void useless_connections(world& w, node& n, dice& d)
{
    int const count = w.drawn.few_descriptors ? 300 : 60;
    bool const resets = d.chance(60);
    note(w, text("%d connections without a request to %s, %s", count,
                 n.name.c_str(), resets ? "reset" : "kept open"));
    std::vector<line> all;
    for (int i = 0; i < count; ++i) {
        auto it = connect_to(n.front, 100ms);
        if (!it.open())
            break;
        if (d.chance(30))
            it.send("POST /i/x HTTP/1.1\r\nHo", clock::now() + 100ms);
        if (resets)
            it.reset();
        else
            all.push_back(std::move(it));
    }
    std::this_thread::sleep_for(resets ? 0ms : d.upto(2'000));
    for (auto& it : all)
        if (d.chance(50))
            it.reset();
}

void disrupt_once(world& w, node& n, life& it, dice& d)
{
    bool const kills = w.drawn.kills && !n.planned_only;
    bool const freezes = w.drawn.freezes && !n.planned_only;
    switch (d.below(8)) {
    case 0:
        for (int left = 1 + d.below(5); left > 0; --left) {
            send_signal(w, n, it, SIGHUP);
            std::this_thread::sleep_for(d.upto(20));
        }
        break;
    case 1:
        for (int left = 1 + d.below(3); left > 0; --left)
            send_signal(w, n, it, SIGUSR1);
        break;
    case 2:
    case 3:
        stop_in_series(w, n, it, d);
        break;
    case 4:
        if (kills) {
            send_signal(w, n, it, SIGKILL);
            start_again(w, n, d);
        }
        else {
            stop_in_series(w, n, it, d);
        }
        break;
    case 5:
        if (freezes) {
            if (d.chance(20))
                send_signal(w, n, it, SIGTERM);
            freeze(w, n, it, 300ms + d.upto(1'200));
        }
        break;
    case 6:
        change_settings(w, n, it, d);
        break;
    default:
        if (it.has_pipe && d.chance(50)) {
            it.output = d.chance(50) ? reader::gone : reader::waits;
            note(w, name_of(n, it) + "'s output is " +
                        (it.output == reader::gone ? "closed" : "not read"));
        }
        else {
            useless_connections(w, n, d);
        }
    }
}

void disrupt(world& w, node& n, dice d)
{
    while (!w.calm) {
        auto& it = n.lives.back();
        if (has_ended(w, it))
            start_again(w, n, d);
        else
            disrupt_once(w, n, it, d);
        std::this_thread::sleep_for(d.chance(40) ? d.upto(50) : d.upto(2'000));
    }
    if (has_ended(w, n.lives.back()) || n.lives.back().stopped)
        start(w, n, false);
}

void publish(world& w)
{
    lock_t const lock(w.mutex);
    auto const version = std::to_string(++w.config_version);
    auto const route = [](std::string const& name, std::string const& type,
                          std::string const& service) {
        return R"({"name":")" + name + R"(","host":"h","path_prefix":"/)" +
               name + R"(/","timeout_ms":6000,"attempts":2,)" + type +
               R"("service":")" + service + R"("})";
    };
    w.fake->put(
        wire::operator_topic, wire::configuration_key,
        R"({"version":)" + version + R"(,"routes":[)" +
            route("i", R"("route_type":"idempotent",)", "app") + "," +
            route("o", R"("route_type":"non_idempotent",)", "app") + "," +
            route("s", R"("route_type":"streaming",)", "app") + "," +
            route("r", R"("route_type":"streaming","resumable":true,)", "app") +
            "," +
            route("m", R"("route_type":"streaming","resumable":true,)", "lm") +
            "," +
            route("more" + version, R"("route_type":"idempotent",)", "app") +
            R"(],"services":[{"name":"app","health_path":"/health"},)"
            R"({"name":"lm"}],"tenants":[{"name":"acme","api_keys":["k1"]}]})");
    note(w, "configuration " + version);
}

// Configurations and runners that leave.
void operate(world& w, dice d)
{
    while (!w.calm) {
        if (int const wanted = w.leave_now.exchange(0);
            wanted > 0 || d.chance(10)) {
            bool const of_models = d.chance(30);
            auto const number =
                static_cast<std::size_t>(d.below(of_models ? 2 : 3));
            int const how = wanted > 0 ? wanted : 1 + d.below(3);
            note(w, text("runner %s-%zu leaves%s%s", of_models ? "lm" : "app",
                         number, (how & 1) != 0 ? " by header" : "",
                         (how & 2) != 0 ? " by entry" : ""));
            (of_models ? w.models : w.app)
                ->leave(number, (how & 1) != 0, (how & 2) != 0, 2'500ms);
        }
        else if (d.chance(10)) {
            for (int left = 1 + d.below(4); left > 0; --left) {
                publish(w);
                std::this_thread::sleep_for(d.upto(300));
            }
        }
        std::this_thread::sleep_for(50ms);
    }
}

// Callers

wish draw_wish(world const& w, std::string id, dice& d)
{
    wish out;
    constexpr std::string_view kinds = "iiiiiiiioooosssrrrmm";
    out.kind = kinds[static_cast<std::size_t>(
        d.below(static_cast<int>(kinds.size())))];
    out.id = std::move(id);
    if (streams(out)) {
        out.size = static_cast<std::size_t>(3 + d.below(20));
        out.work = d.upto(80);
        if (out.kind != 's' && d.chance(30))
            out.after = 1 + d.below(2);
        return out;
    }
    out.size = static_cast<std::size_t>(d.below(d.chance(5) ? 300'000 : 500));
    out.work = d.upto(d.chance(12) ? 2'500 : 60);
    bool const large = d.chance(w.drawn.large_bodies ? 30 : 4);
    out.body = static_cast<std::size_t>(d.below(large ? 1'000'000 : 300));
    return out;
}

std::string bytes_of(wish const& it, bool in_chunks)
{
    auto out = "POST " + path_of(it) + " HTTP/1.1\r\nHost: h\r\n" +
               wire::request_id + ": " + it.id + "\r\n" + wire::key + ": " +
               wire::key_scheme + "k1\r\n";
    if (it.after > 0)
        out += std::string(wire::last_event) + ": " + std::to_string(it.after) +
               "\r\n";
    auto const body = pattern(it.id, it.body);
    if (!in_chunks || body.empty())
        return out + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    return out + "Transfer-Encoding: chunked\r\n\r\n" +
           text("%zx\r\n", body.size()) + body + "\r\n0\r\n\r\n";
}

request& new_request(world& w, int caller, int node, int count, dice& d)
{
    lock_t const lock(w.mutex);
    auto& out = w.requests.emplace_back();
    out.asked =
        draw_wish(w,
                  text("%llx-%d-%d", static_cast<unsigned long long>(w.seed),
                       caller, count),
                  d);
    out.node = node;
    out.began = clock::now();
    return out;
}

// Sends one request or two at once and reads the answers. Returns whether the
// connection can be used again.
bool exchange(world& w, line& to, std::vector<request*> const& batch, dice& d,
              reading const& pace)
{
    auto const until = clock::now() + caller_patience;
    bool whole = true;
    for (auto* const it : batch) {
        whole = whole && to.send(bytes_of(it->asked, d.chance(10)), until);
        it->whole = whole;
        it->sent = clock::now();
    }
    bool usable = true;
    if (d.chance(2)) { // the caller leaves
        std::this_thread::sleep_for(d.upto(300));
        for (auto* const it : batch)
            it->left = true;
        usable = false;
        d.chance(50) ? to.reset() : to.close();
    }
    bool closes = false;
    for (auto* const it : batch) {
        it->after_close = closes;
        it->sent =
            std::max(it->sent, it == batch.front() ? it->sent : clock::now());
        if (usable)
            it->answer = read_message(to, until, true, pace);
        usable = usable && it->answer.end == ending::complete;
        closes = closes || field(it->answer.head, "Connection") == "close";
        lock_t const lock(w.mutex);
        it->ended = clock::now();
        it->over = true;
    }
    return usable && !closes;
}

void call(world& w, int number, dice d)
{
    int count = 0;
    while (!w.closing) {
        int const target = d.below(node_count);
        auto const& n = w.nodes[static_cast<std::size_t>(target)];
        bool const slow = d.chance(8);
        auto to = connect_to(n.front, 1s, slow ? 4096 : 0);
        if (!to.open()) {
            std::this_thread::sleep_for(20ms + d.upto(60));
            continue;
        }
        reading const pace = slow ? reading{5ms, 4096} : reading{};
        bool kept = false;
        for (bool usable = true; usable && !w.closing; kept = true) {
            std::vector<request*> batch;
            for (int left = d.chance(10) ? 2 : 1; left > 0; --left) {
                batch.push_back(&new_request(w, number, target, ++count, d));
                batch.back()->kept = kept || batch.size() > 1;
                batch.back()->second = batch.size() > 1;
            }
            usable = exchange(w, to, batch, d, pace) && !d.chance(3);
            std::this_thread::sleep_for(d.upto(250));
        }
        if (to.open() && d.chance(30))
            to.reset();
    }
}

// Judgement

bool disturbed(node const& n, time_point from, time_point to)
{
    return std::ranges::any_of(n.disruptions, [&](auto const& it) {
        return it.second >= from - stable_window && it.first <= to;
    });
}

// The runner was still at work in the last sixth of the grace.
bool grace_explains(node const& n, request const& r,
                    std::vector<run> const& runs)
{
    return std::ranges::any_of(n.lives, [&](life const& it) {
        return it.stopped && r.ended >= *it.stopped + work_ends &&
               r.began <= *it.stopped + sent_late &&
               std::ranges::any_of(runs, [&](run const& x) {
                   return !x.ends || x.ended >= *it.stopped + work_ends;
               });
    });
}

std::string fault_of(node const& n, request const& r,
                     std::vector<run> const& runs)
{
    auto const& a = r.answer;
    bool const once = r.asked.kind == 'o' || r.asked.kind == 's';
    int const status = status_of(a.head);
    if (once && runs.size() > 1)
        return "TWICE: ran " + std::to_string(runs.size()) + " times";
    if (r.left)
        return {};
    bool const complete = a.end == ending::complete;
    if (status != 0 && field(a.head, wire::request_id) != r.asked.id &&
        (status == 200 || !field(a.head, wire::request_id).empty()))
        return "MIXED: the answer is of " + field(a.head, wire::request_id);
    auto const due = answer_to(r.asked);
    if (status == 200 && complete && a.body != due)
        return text("MIXED: complete with %zu bytes that are not its %zu",
                    a.body.size(), due.size());
    if (status == 200 && !due.starts_with(a.body))
        return "ORDER: what has come of the answer is not its beginning";
    bool const promised =
        status == 503 || status == 429 || status == 421 || status == 408;
    if (promised && !runs.empty())
        return "REFUSED: " + std::to_string(status) + " but it ran";
    if (complete)
        return status == 200 || promised || status == 502 || status == 504
                   ? ""
                   : "DENIED: " + std::to_string(status);
    if (disturbed(n, r.began, r.ended))
        return {};
    if (a.end == ending::timed_out)
        return "LOST: no answer in time";
    if (!runs.empty())
        return grace_explains(n, r, runs)
                   ? ""
                   : std::string("LOST: ran, and its connection was ") +
                         text_of(a.end);
    if (r.whole && r.kept && !r.after_close && r.ended - r.sent > loss_slack)
        return text("LOST: %s %.2f s after it was sent, without an answer",
                    text_of(a.end),
                    std::chrono::duration<double>(r.ended - r.sent).count());
    return {};
}

std::string history_of(world const& w, request const& r,
                       std::vector<run> const& runs)
{
    auto const& a = r.answer;
    auto out =
        text("  %s to %s (%s%s%s): /%c/ of %zu, work %lld ms, body %zu, "
             "after %d; began %.3f, sent %.3f, ended %.3f %s with "
             "status %d and %zu bytes",
             r.asked.id.c_str(),
             w.nodes[static_cast<std::size_t>(r.node)].name.c_str(),
             r.kept ? "kept" : "new", r.second ? ", second" : "",
             r.whole ? "" : ", not wholly sent", r.asked.kind, r.asked.size,
             static_cast<long long>(r.asked.work.count()), r.asked.body,
             r.asked.after, at(w, r.began), at(w, r.sent), at(w, r.ended),
             text_of(a.end), status_of(a.head), a.body.size());
    for (auto const& it : runs)
        out += text("\n    run by %s from %.3f to %.3f%s", it.runner.c_str(),
                    at(w, it.began), it.ends ? at(w, it.ended) : 0.0,
                    it.written ? "" : ", not wholly written");
    if (!a.head.empty() && status_of(a.head) != 200)
        out += "\n    " + a.body.substr(0, 200);
    return out;
}

// Returns a line on what the callers saw.
std::string judge(world& w)
{
    auto all = w.app->runs();
    all.merge(w.models->runs());
    for (auto* const it : {w.app.get(), w.models.get()})
        for (auto const& x : it->faults())
            fault(w, x);
    std::map<std::string, int> counts;
    std::map<std::string, int> shown;
    std::size_t known = 0;
    for (auto const& r : w.requests) {
        auto const ran = all.find(r.asked.id);
        auto const runs = ran == all.end() ? std::vector<run>{} : ran->second;
        known += runs.empty() ? 0 : 1;
        bool const complete = r.answer.end == ending::complete;
        counts[r.left     ? "left"
               : complete ? std::to_string(status_of(r.answer.head))
                          : text_of(r.answer.end)]++;
        auto const& n = w.nodes[static_cast<std::size_t>(r.node)];
        auto const it = fault_of(n, r, runs);
        if (it.empty())
            continue;
        auto const rule = it.substr(0, it.find(':'));
        w.faults.push_back(
            ++shown[rule] > 5 ? it : it + "\n" + history_of(w, r, runs));
    }
    if (known != all.size())
        fault(w, "UNASKED: runners ran requests that no caller sent");
    std::string out = std::to_string(w.requests.size()) + " requests:";
    for (auto const& [what, n] : counts)
        out += " " + what + " " + std::to_string(n);
    return out;
}

std::size_t descriptors_of(pid_t pid)
{
    std::error_code ec;
    std::filesystem::directory_iterator const it(
        "/proc/" + std::to_string(pid) + "/fd", ec);
    return ec ? 0
              : static_cast<std::size_t>(
                    std::distance(it, std::filesystem::directory_iterator()));
}

// After the disruptions: each node is ready and answers on new connections.
void check_recovered(world& w)
{
    for (auto& n : w.nodes) {
        auto& it = n.lives.back();
        if (!eventually(ready_limit + grace + end_slack,
                        [&] {
                            lock_t const lock(w.mutex);
                            return it.ready || it.ended;
                        }) ||
            has_ended(w, it)) {
            fault(w, "RECOVER: " + name_of(n, it) + " is not there");
            continue;
        }
        for (int i = 0; i < 5; ++i) {
            wish asked;
            asked.id =
                text("%llx-last-%s-%d", static_cast<unsigned long long>(w.seed),
                     n.name.c_str(), i);
            auto const until = clock::now() + answer_limit;
            auto to = connect_to(n.front, answer_limit);
            {
                lock_t const lock(w.mutex);
                auto& r = w.requests.emplace_back();
                r.asked = asked;
                r.left = true; // judged here
            }
            if (to.open())
                to.send(bytes_of(asked, false), until);
            auto const a =
                to.open() ? read_message(to, until, true) : message{};
            if (a.end != ending::complete || status_of(a.head) != 200)
                fault(w, text("RECOVER: %s: a new connection %s, status %d",
                              name_of(n, it).c_str(), text_of(a.end),
                              status_of(a.head)));
        }
    }
}

// Without callers: descriptors and memory are near to where they were.
void check_resources(world& w)
{
    for (auto& n : w.nodes) {
        auto& it = n.lives.back();
        if (has_ended(w, it))
            continue;
        eventually(5s, [&] {
            return descriptors_of(it.pid) <= n.descriptors + extra_descriptors;
        });
        auto const fds = descriptors_of(it.pid);
        auto const used = support::usage_of(it.pid);
        note(w, text("%s: %zu descriptors (%zu at first), %zu MB (%zu), "
                     "peak %zu MB",
                     name_of(n, it).c_str(), fds, n.descriptors,
                     used.resident_bytes >> 20U, n.memory >> 20U,
                     used.peak_bytes >> 20U));
        if (fds > n.descriptors + extra_descriptors)
            fault(w, text("FAULT: %s keeps %zu descriptors, %zu at first",
                          name_of(n, it).c_str(), fds, n.descriptors));
        if (used.resident_bytes > n.memory + (extra_memory_mb << 20U) ||
            used.peak_bytes > memory_limit_mb << 20U)
            fault(w, text("FAULT: %s uses %zu MB, %zu at first, peak %zu",
                          name_of(n, it).c_str(), used.resident_bytes >> 20U,
                          n.memory >> 20U, used.peak_bytes >> 20U));
    }
}

void make_world(world& w)
{
    dice d{std::mt19937_64(w.seed * 7919)};
    w.drawn = {d.chance(25), d.chance(30), d.chance(70), d.chance(70)};
    w.folder = support::make_folder("soak-" + std::to_string(w.seed));
    w.fake = std::make_unique<support::platform_fake>();
    w.app = std::make_unique<runners>(*w.fake, "app", 3, false);
    w.models = std::make_unique<runners>(*w.fake, "lm", 2, true);
    publish(w);
    for (int i = 0; i < node_count; ++i) {
        auto& n = w.nodes.emplace_back();
        n.name = "n" + std::to_string(i + 1);
        n.front = "127.0.0.1:" + std::to_string(support::free_port());
        n.readiness = "127.0.0.1:" + std::to_string(support::free_port());
        for (int left = 16; left > 0; --left) // a range of its own
            n.ports = support::free_port();
        n.ports = static_cast<std::uint16_t>(n.ports - 15);
        n.folder = w.folder + "/" + n.name;
        n.planned_only = i == 0;
        std::filesystem::create_directory(n.folder);
        n.settings = good_settings(w, n);
    }
    for (auto& n : w.nodes)
        start(w, n, d.chance(40));
}

void settle_first(world& w)
{
    for (auto& n : w.nodes) {
        auto& it = n.lives.back();
        eventually(ready_limit + 1s, [&] {
            lock_t const lock(w.mutex);
            return it.ready || it.ended;
        });
        n.descriptors = descriptors_of(it.pid);
        n.memory = support::usage_of(it.pid).resident_bytes;
    }
}

// Tells all processes to stop and waits for their ends.
void end_nodes(world& w)
{
    for (auto& n : w.nodes)
        for (auto& it : n.lives)
            if (!has_ended(w, it) && !it.stopped)
                send_signal(w, n, it, SIGTERM);
    for (auto& n : w.nodes)
        for (auto& it : n.lives)
            eventually(grace + 10s, [&] { return has_ended(w, it); });
}

// Returns whether the run showed no fault.
bool soak_once(std::uint64_t seed)
{
    world w;
    w.seed = seed;
    make_world(w);
    std::thread watcher([&] { watch(w); });
    std::thread asker([&] { ask_readiness(w); });
    settle_first(w);
    unsigned n_dice = 0;
    auto const seeded = [&] {
        return dice{std::mt19937_64(seed * 1'000'003 + ++n_dice)};
    };
    std::vector<std::thread> callers;
    for (int i = 0; i < caller_count; ++i)
        callers.emplace_back([&w, i, d = seeded()] { call(w, i, d); });
    std::vector<std::thread> others;
    for (auto& n : w.nodes)
        others.emplace_back([&w, &n, d = seeded()] { disrupt(w, n, d); });
    others.emplace_back([&w, d = seeded()] { operate(w, d); });
    std::this_thread::sleep_for(disrupted_for);
    w.calm = true;
    for (auto& it : others)
        it.join();
    check_recovered(w);
    w.closing = true;
    for (auto& it : callers)
        it.join();
    check_resources(w);
    end_nodes(w);
    w.over = true;
    watcher.join();
    asker.join();
    for (auto& n : w.nodes)
        for (auto& it : n.lives) {
            it.output = reader::gone;
            if (it.pump.joinable())
                it.pump.join();
        }
    auto const seen = judge(w);
    std::cout << "seed " << seed << ": " << (w.faults.empty() ? "ok" : "FAILED")
              << ", " << seen
              << (w.drawn.few_descriptors ? ", few descriptors" : "")
              << (w.drawn.large_bodies ? ", large bodies" : "")
              << (w.drawn.kills ? ", kills" : "")
              << (w.drawn.freezes ? ", freezes" : "") << std::endl;
    if (w.faults.empty()) {
        std::filesystem::remove_all(w.folder);
        return true;
    }
    std::cout << w.faults.size() << " faults, logs in " << w.folder << '\n';
    for (std::size_t n = 0; n < std::min(shown_faults, w.faults.size()); ++n)
        std::cout << w.faults[n] << '\n';
    write_text(w.folder + "/faults",
               std::accumulate(w.faults.begin(), w.faults.end(), std::string(),
                               [](auto const& sum, auto const& it) {
                                   return sum + it + "\n";
                               }));
    std::cout << "timeline of seed " << seed << '\n';
    for (auto const& it : w.timeline)
        std::cout << it << '\n';
    std::cout << std::flush;
    return false;
}

std::uint64_t number_from(char const* name, std::uint64_t otherwise)
{
    auto const* const it = std::getenv(name);
    return it != nullptr ? std::stoull(it) : otherwise;
}

} // namespace

int main(int argc, char** argv)
{
    auto first = number_from("PAPAYAHOOK_SOAK_SEED", 1);
    auto last = first + number_from("PAPAYAHOOK_SOAK_RUNS", 4) - 1;
    if (argc == 3 && std::string(argv[1]) == "--seeds") {
        std::string const range = argv[2];
        auto const dash = range.find('-');
        first = last = std::stoull(range);
        if (dash != range.npos)
            last = std::stoull(range.substr(dash + 1));
    }
    else if (argc != 1) {
        std::cerr << "usage: test_soak [--seeds A-B]\n";
        return 2;
    }
    int failed = 0;
    for (auto seed = first; seed <= last; ++seed)
        failed += soak_once(seed) ? 0 : 1;
    std::cout << failed << " of " << last - first + 1 << " seeds failed\n";
    return failed == 0 ? 0 : 1;
}
