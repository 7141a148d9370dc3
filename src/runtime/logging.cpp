#include "runtime/logging.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <map>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace papayahook::runtime {

namespace {

// Lines are buffered, so that they never block the event loop. Lines that
// exceed the buffer or the rate limit are counted and dropped.
constexpr std::size_t max_buffered_bytes = 256 * 1024;
constexpr int max_lines_per_second = 400; // per event number
// A write of this size does not block once poll() reports POLLOUT.
constexpr std::size_t max_write_bytes = 4096;

struct line_buffer
{
    std::string unwritten;
    std::map<int, int> lines; // in the current second, by event number
    std::map<int, std::uint64_t> dropped; // not yet reported, by event number
    std::uint64_t dropped_total = 0;
    std::chrono::steady_clock::time_point second_start{};
    int descriptor = STDOUT_FILENO;
};

line_buffer output;

log_writer log_line_writer; // empty: lines go to standard output

std::string quoted(std::string const& text)
{
    std::string out = "\"";
    for (char const c : text) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return out + "\"";
}

bool admit_line(int number, std::size_t bytes)
{
    auto const now = std::chrono::steady_clock::now();
    if (now >= output.second_start + std::chrono::seconds(1)) {
        output.second_start = now;
        output.lines.clear();
    }
    bool const too_often = ++output.lines[number] > max_lines_per_second;
    bool const full = output.unwritten.size() + bytes > max_buffered_bytes;
    if (too_often || full) {
        output.dropped[number]++;
        output.dropped_total++;
    }
    return !too_often && !full;
}

std::string with_time(std::string const& line)
{
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return std::to_string(now.count()) + " " + line + "\n";
}

void report_dropped()
{
    for (auto const& [number, n] : std::exchange(output.dropped, {}))
        write_log({events::lines_dropped, std::to_string(number), "",
                   std::to_string(n) + " lines left out"});
}

// Returns the number of bytes written; 0 if the file accepts none now.
std::size_t write_some(std::string_view bytes)
{
    auto const n = write(output.descriptor, bytes.data(),
                         std::min(max_write_bytes, bytes.size()));
    return n > 0 ? static_cast<std::size_t>(n) : 0;
}

} // namespace

void prepare_output()
{
    std::signal(SIGPIPE, SIG_IGN);
    // Read-only: what is written to a closed stream counts as not written.
    for (int const fd : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
        if (fcntl(fd, F_GETFD) == -1)
            open("/dev/null", O_RDONLY); // takes the lowest free descriptor
}

void set_log_descriptor(int fd)
{
    output.descriptor = fd;
}

void buffer_line(int number, std::string const& line)
{
    if (admit_line(number, line.size()))
        output.unwritten += line;
}

// A write that fails is tried again with the next flush: a reader may come, and
// a disk may have space again.
void flush_log()
{
    if (output.unwritten.size() < max_buffered_bytes / 2)
        report_dropped();
    std::size_t done = 0;
    pollfd out{output.descriptor, POLLOUT, 0};
    while (done < output.unwritten.size() && poll(&out, 1, 0) == 1) {
        auto const n =
            write_some(std::string_view(output.unwritten).substr(done));
        if (n == 0)
            break;
        done += n;
    }
    output.unwritten.erase(0, done);
}

std::uint64_t dropped_lines()
{
    return output.dropped_total;
}

void set_log_writer(log_writer it)
{
    log_line_writer = std::move(it);
}

void write_log(core::log_event const& it)
{
    std::string line =
        "event=" + std::to_string(it.number) + " subject=" + quoted(it.subject);
    if (!it.peer.empty())
        line += " peer=" + quoted(it.peer);
    if (!it.detail.empty())
        line += " detail=" + quoted(it.detail);
    if (log_line_writer)
        log_line_writer(it.number, line);
    else
        buffer_line(it.number, with_time(line));
}

} // namespace papayahook::runtime
