// Child processes of tests and of the demo; ended by id when they go out of
// scope.
#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace papayahook::support {

class process
{
public:
    // Output goes to `log`. Throws std::runtime_error.
    process(std::vector<std::string> const& args, std::string const& log);
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    ~process();

    void signal(int number);
    // Exit code, 128 + signal, or -1 when it still runs after `limit`.
    int wait(std::chrono::milliseconds limit);
    bool runs();
    pid_t id() const { return pid_; }

private:
    pid_t pid_ = -1;
    int status_ = -1;
};

// Path of a program of this build.
std::string program(std::string const& name);

// A new folder for the logs and settings of a run.
std::string make_folder(std::string const& prefix);

// A port that is free now; each call another one.
std::uint16_t free_port();

// CPU time and resident memory of a process, from /proc.
struct usage
{
    std::chrono::milliseconds cpu{};
    std::size_t resident_bytes = 0;
};
usage usage_of(pid_t pid);

} // namespace papayahook::support
