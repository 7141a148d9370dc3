#include "runtime/logging.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <poll.h>
#include <unistd.h>

namespace papayahook::runtime {

namespace {

// Lines for standard output wait here and never hold up the loop. What does
// not fit, or comes too often, is counted and left out.
constexpr std::size_t most_waiting_bytes = 256 * 1024;
constexpr int most_lines_a_second = 400; // of one event number
constexpr std::size_t safe_write = 4096; // never blocks once poll() agrees

struct line_buffer
{
    std::string waiting;
    std::map<int, int> lines;             // of this second, by event number
    std::map<int, std::uint64_t> dropped; // not yet told, by event number
    std::chrono::steady_clock::time_point second{};
};

line_buffer output;

log_writer other_writer; // in place of standard output

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

bool fits(int number, std::size_t bytes)
{
    auto const now = std::chrono::steady_clock::now();
    if (now >= output.second + std::chrono::seconds(1)) {
        output.second = now;
        output.lines.clear();
    }
    bool const often = ++output.lines[number] > most_lines_a_second;
    bool const full = output.waiting.size() + bytes > most_waiting_bytes;
    if (often || full)
        output.dropped[number]++;
    return !often && !full;
}

void add_line(std::string const& line)
{
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    output.waiting += std::to_string(now.count()) + " " + line + "\n";
}

void tell_dropped()
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
    if (output.waiting.size() < most_waiting_bytes / 2)
        tell_dropped();
    std::size_t done = 0;
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    while (done < output.waiting.size() && poll(&out, 1, 0) == 1) {
        auto const n =
            write(STDOUT_FILENO, output.waiting.data() + done,
                  std::min(safe_write, output.waiting.size() - done));
        if (n <= 0)
            break;
        done += static_cast<std::size_t>(n);
    }
    output.waiting.erase(0, done);
}

void log_to(log_writer it)
{
    other_writer = std::move(it);
}

void write_log(core::log_event const& it)
{
    std::string line =
        "event=" + std::to_string(it.number) + " subject=" + quoted(it.subject);
    if (!it.peer.empty())
        line += " peer=" + quoted(it.peer);
    if (!it.detail.empty())
        line += " detail=" + quoted(it.detail);
    if (other_writer)
        other_writer(it.number, line);
    else if (fits(it.number, line.size()))
        add_line(line);
}

} // namespace papayahook::runtime
