// Tests that no fault of a log's reader or file disturbs a node.
#include "support/fleet.hpp"
#include "support/platform_nodes.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace papayahook;
using namespace papayahook::support;
using namespace std::chrono_literals;

namespace {

// A pipe with a name, of which the test is the reader.
class reader
{
public:
    explicit reader(std::string path) : path_(std::move(path))
    {
        if (::mkfifo(path_.c_str(), 0600) != 0)
            throw std::runtime_error("cannot make " + path_);
        open();
    }
    ~reader() { leave(); }
    reader(reader const&) = delete;
    reader& operator=(reader const&) = delete;

    void open()
    {
        fd_ = ::open(path_.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    }
    void leave()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }
    // Returns all that has been read so far.
    std::string const& read()
    {
        char buf[4096];
        for (auto n = ::read(fd_, buf, sizeof buf); n > 0;
             n = ::read(fd_, buf, sizeof buf))
            text_.append(buf, static_cast<std::size_t>(n));
        return text_;
    }

private:
    std::string path_;
    std::string text_;
    int fd_ = -1;
};

// Sends requests that write more lines than the log's buffer holds.
void fill_log(platform_node const& n)
{
    constexpr int rounds = 8;
    constexpr int calls = 400;
    for (int round = 0; round < rounds; ++round) {
        std::vector<call_plan> plans;
        plans.reserve(calls);
        for (int i = 0; i < calls; ++i)
            plans.push_back(
                request(n, "/p/x", std::string(200, 'x') + std::to_string(i)));
        run_calls(plans);
    }
}

bool is_idle(process const& run)
{
    auto const before = usage_of(run.id()).cpu;
    std::this_thread::sleep_for(2s);
    return usage_of(run.id()).cpu - before < 1s;
}

void check_node(platform_node& n)
{
    fill_log(n);
    CHECK(eventually(5s, [&] {
        return gauge_of(n, "papayahook_log_lines_dropped_total") > 0;
    }));
    CHECK(is_idle(*n.run));
    REQUIRE(n.run->runs());
    CHECK(run_call(request(n, "/p/x", "last")).status == 200);
}

// Starts the node anew with another standard output.
void restart(platform_node& n, std::string const& output)
{
    n.run.reset();
    n.log = output;
    start(n);
    REQUIRE(eventually(20s, [&] { return is_ready(n); }));
}

struct daemon_output
{
    daemon_output()
    {
        fleet_options options;
        options.nodes = 1;
        f = start_fleet(options);
    }

    void restart(std::string const& output)
    {
        auto& n = f.nodes[0];
        n.run = nullptr;
        n.run = std::make_unique<process>(
            std::vector<std::string>{program("papayahookd"), "--config",
                                     n.settings_file},
            output);
        REQUIRE(wait_ready(f, 20s));
    }

    bool answers(int calls)
    {
        std::vector<call_plan> plans(static_cast<std::size_t>(calls),
                                     completion(f.nodes[0].caller, test_key,
                                                "chat", "a prompt", 2, false));
        auto const got = run_calls(plans);
        return std::ranges::all_of(
            got, [](auto const& it) { return it.status != 0; });
    }

    void set_logging(std::string const& lines)
    {
        std::ofstream(f.nodes[0].settings_file, std::ios::app)
            << "\n[logging]\n"
            << lines << '\n';
    }

    fleet f;
};

bool reports_dropped_lines(reader& it)
{
    return eventually(
        20s, [&] { return it.read().find("event=104") != std::string::npos; });
}

} // namespace

TEST_CASE("a reader of standard output that goes away ends no node")
{
    small_platform p;
    auto& n = p.nodes[0];
    auto const path = make_folder("output") + "/pipe";
    reader r(path);
    restart(n, path);
    r.leave();
    check_node(n);
    r.open();
    CHECK(reports_dropped_lines(r));
}

TEST_CASE("a reader of standard output that never reads blocks no node")
{
    small_platform p;
    auto& n = p.nodes[0];
    auto const path = make_folder("output") + "/pipe";
    reader r(path);
    restart(n, path);
    check_node(n);
    CHECK(reports_dropped_lines(r));
}

TEST_CASE("a full disk below standard output stops no node")
{
    small_platform p;
    restart(p.nodes[0], "/dev/full");
    check_node(p.nodes[0]);
}

TEST_CASE("a node without a standard output writes its log to no socket")
{
    small_platform p;
    auto& n = p.nodes[0];
    n.run.reset();
    setenv("PAPAYAHOOK_SETTINGS", n.settings.c_str(), 1);
    n.run = std::make_unique<process>(
        std::vector<std::string>{"/bin/sh", "-c",
                                 "exec " + program("papayahook-node") +
                                     " 0<&- 1>&- 2>&-"},
        n.log);
    REQUIRE(eventually(20s, [&] { return is_ready(n); }));
    for (auto const* const fd : {"0", "1", "2"})
        CHECK(std::filesystem::read_symlink(
                  "/proc/" + std::to_string(n.run->id()) + "/fd/" + fd) ==
              "/dev/null");
    check_node(n);
}

TEST_CASE("a reader of papayahookd's log that goes away ends no node")
{
    daemon_output d;
    d.set_logging("level = \"debug\"");
    auto const path = make_folder("output") + "/pipe";
    reader r(path);
    d.restart(path);
    CHECK(eventually(
        10s, [&] { return r.read().find("event=101") != std::string::npos; }));
    r.leave();
    CHECK(d.answers(200));
    REQUIRE(d.f.nodes[0].run->runs());
    r.open();
    auto const before = r.read().size();
    CHECK(eventually(10s, [&] {
        d.answers(5);
        return r.read().size() > before;
    }));
}

TEST_CASE("a reader of papayahookd's log that never reads blocks no node")
{
    daemon_output d;
    d.set_logging("level = \"debug\"");
    auto const path = make_folder("output") + "/pipe";
    reader r(path);
    d.restart(path);
    for (int n = 0; n < 10; ++n)
        CHECK(d.answers(200));
    CHECK(is_idle(*d.f.nodes[0].run));
    CHECK(eventually(20s, [&] {
        d.answers(5);
        return r.read().find("event=104") != std::string::npos;
    }));
}

TEST_CASE("a log file of papayahookd on a full disk stops no node")
{
    daemon_output d;
    d.set_logging("level = \"debug\"\nfile = \"/dev/full\"");
    d.restart(make_folder("output") + "/log");
    for (int n = 0; n < 10; ++n)
        CHECK(d.answers(200));
    CHECK(is_idle(*d.f.nodes[0].run));
    CHECK(get(d.f.nodes[0].admin, "/metrics")
              .find("papayahook_log_lines_dropped_total") != std::string::npos);
}
