// Asks malloc, so that nothing that is kept can be left out, however it came
// about: asio and C libraries do not allocate by operator new.
#include "runtime/heap.hpp"

#include <algorithm>
#include <chrono>
#include <malloc.h>

namespace papayahook::runtime {

namespace {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

// malloc walks its lists of free blocks for an answer.
constexpr auto sample_period = 5ms;
constexpr std::size_t min_trimmed_bytes = 16UL * 1024 * 1024;

struct sample
{
    clock::time_point at{};
    std::size_t bytes = 0;
};

} // namespace

std::size_t heap_bytes()
{
    static thread_local sample newest;
    auto const now = clock::now();
    if (now >= newest.at + sample_period) {
        auto const all = mallinfo2();
        newest = {now, all.uordblks + all.hblkhd};
    }
    return newest.bytes;
}

std::size_t heap_excess(std::size_t max_bytes)
{
    auto const n = heap_bytes();
    return n - std::min(n, max_bytes);
}

// malloc keeps pages below a block that is still in use.
void trim_heap()
{
    static thread_local std::size_t most = 0; // since the last time
    auto const n = heap_bytes();
    most = std::max(most, n);
    if (most - n < min_trimmed_bytes)
        return;
    malloc_trim(0);
    most = n;
}

} // namespace papayahook::runtime
