#include "runtime/logging.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <poll.h>
#include <unistd.h>

namespace papayahook::runtime {

namespace {

// Lines for standard output are buffered, so that they never block the event
// loop. Lines that exceed the buffer or the rate limit are counted and dropped.
constexpr std::size_t max_buffered_bytes = 256 * 1024;
constexpr int max_lines_per_second = 400; // per event number
// A write of this size does not block once poll() reports POLLOUT.
constexpr std::size_t max_write_bytes = 4096;

struct line_buffer
{
    std::string unwritten;
    std::map<int, int> lines; // in the current second, by event number
    std::map<int, std::uint64_t> dropped; // not yet reported, by event number
    std::chrono::steady_clock::time_point second_start{};
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
    if (too_often || full)
        output.dropped[number]++;
    return !too_often && !full;
}

void add_line(std::string const& line)
{
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    output.unwritten += std::to_string(now.count()) + " " + line + "\n";
}

void report_dropped()
{
    for (auto const& [number, n] : output.dropped)
        add_line("event=" + std::to_string(events::lines_dropped) +
                 " subject=\"" + std::to_string(number) + "\" detail=\"" +
                 std::to_string(n) + " lines left out\"");
    output.dropped.clear();
}

} // namespace

void flush_log()
{
    if (output.unwritten.size() < max_buffered_bytes / 2)
        report_dropped();
    std::size_t done = 0;
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    while (done < output.unwritten.size() && poll(&out, 1, 0) == 1) {
        auto const n =
            write(STDOUT_FILENO, output.unwritten.data() + done,
                  std::min(max_write_bytes, output.unwritten.size() - done));
        if (n <= 0)
            break;
        done += static_cast<std::size_t>(n);
    }
    output.unwritten.erase(0, done);
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
    else if (admit_line(it.number, line.size()))
        add_line(line);
}

} // namespace papayahook::runtime
