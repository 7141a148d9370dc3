#include "support/processes.hpp"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

extern char** environ;

namespace papayahook::support {

namespace {

using namespace std::chrono_literals;

constexpr auto poll_period = 5ms;
constexpr auto kill_limit = 2s;
constexpr int still_running = -1;

int exit_code(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

// The byte at offset N stands for port N. The folder is the same for processes
// with another TMPDIR.
int open_reservations()
{
    auto const path = "/tmp/papayahook-ports-" + std::to_string(::getuid());
    int const fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (fd < 0)
        throw std::runtime_error("cannot open " + path);
    return fd;
}

bool set_lock(std::uint16_t port, int type)
{
    static int const fd = open_reservations();
    struct flock lock = {};
    lock.l_type = static_cast<short>(type);
    lock.l_whence = SEEK_SET;
    lock.l_start = port;
    lock.l_len = 1;
    return ::fcntl(fd, F_SETLK, &lock) == 0;
}

std::deque<std::uint16_t> reserved; // oldest first

void release(std::uint16_t port)
{
    std::erase(reserved, port);
    set_lock(port, F_UNLCK);
}

// Reserves the port for this process and its children, until it ends or has
// reserved max_reserved others. Returns false if another process has it.
bool reserve(std::uint16_t port)
{
    constexpr std::size_t max_reserved = 2'000;
    if (!set_lock(port, F_WRLCK))
        return false;
    reserved.push_back(port);
    if (reserved.size() > max_reserved)
        release(reserved.front());
    return true;
}

bool can_bind(std::uint16_t port)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    bool const bound =
        ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
    ::close(fd);
    return bound;
}

} // namespace

process::process(std::vector<std::string> const& args, std::string const& log)
{
    std::vector<char*> argv;
    for (auto const& it : args)
        argv.push_back(const_cast<char*>(it.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The stand-ins' sockets are not to live on in the process.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    int const error =
        posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + args.at(0));
}

process::process(process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), status_(other.status_)
{
}

process& process::operator=(process&& other) noexcept
{
    std::swap(pid_, other.pid_);
    std::swap(status_, other.status_);
    return *this;
}

process::~process()
{
    if (!runs())
        return;
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    wait(kill_limit);
}

void process::signal(int number)
{
    if (runs())
        ::kill(pid_, number);
}

bool process::runs()
{
    return pid_ > 0 && wait(0ms) == still_running;
}

int process::wait(std::chrono::milliseconds limit)
{
    if (pid_ <= 0 || status_ >= 0)
        return status_;
    auto const until = std::chrono::steady_clock::now() + limit;
    for (;;) {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            status_ = exit_code(status);
            return status_;
        }
        if (std::chrono::steady_clock::now() >= until)
            return still_running;
        std::this_thread::sleep_for(poll_period);
    }
}

std::string program(std::string const& name)
{
    return std::string(PAPAYAHOOK_BIN_DIR) + "/" + name;
}

std::string make_folder(std::string const& prefix)
{
    auto pattern =
        (std::filesystem::temp_directory_path() / (prefix + "-XXXXXX"))
            .string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot make " + pattern);
    return pattern;
}

// The ports are below the range that the system uses for outgoing connections,
// and above those of etc/. Each process starts its search at another port.
std::uint16_t free_port()
{
    constexpr int first_port = 20'000;
    constexpr int port_count = 12'000;
    static int next = ::getpid() * 97;
    for (int i = 0; i < port_count; ++i) {
        auto const port =
            static_cast<std::uint16_t>(first_port + next++ % port_count);
        if (reserve(port) && can_bind(port))
            return port;
    }
    throw std::runtime_error("no free port");
}

std::uint16_t free_ports(int n)
{
    auto first = free_port();
    for (int last = first; last - first + 1 < n;) {
        auto const it = free_port();
        if (it != last + 1) {
            // Another process draws here as well. What is kept without need
            // would push out ports that are in use.
            for (int port = first; port <= last; ++port)
                release(static_cast<std::uint16_t>(port));
            first = it;
        }
        last = it;
    }
    return first;
}

usage usage_of(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(in, text);
    auto const close = text.rfind(')');
    if (close == text.npos)
        return {};
    std::istringstream fields(text.substr(close + 2));
    std::vector<std::string> all;
    for (std::string it; fields >> it;)
        all.push_back(it);
    // Fields 14, 15 and 24 of /proc/PID/stat, see proc(5). `all` starts at
    // field 3.
    auto const ticks = std::stol(all.at(11)) + std::stol(all.at(12));
    auto const pages = std::stol(all.at(21));
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::size_t peak_kb = 0;
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmHWM:"))
            peak_kb = std::stoul(line.substr(line.find(':') + 1));
    return {std::chrono::milliseconds(ticks * 1000 / ::sysconf(_SC_CLK_TCK)),
            static_cast<std::size_t>(pages * ::sysconf(_SC_PAGESIZE)),
            peak_kb * 1024};
}

} // namespace papayahook::support
