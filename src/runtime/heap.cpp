// Counts in operator new and delete, so that nothing that is kept can be left
// out, however it came about.
#include "runtime/heap.hpp"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace papayahook::runtime {

namespace {

// Of malloc, for each block.
constexpr std::size_t block_header_bytes = sizeof(std::size_t);
constexpr std::size_t min_trimmed_bytes = 16UL * 1024 * 1024;

std::atomic<std::size_t> allocated{0};

std::size_t size_of_block(void* block)
{
    return malloc_usable_size(block) + block_header_bytes;
}

// Requests a block until there is one, or the new-handler gives up.
template <class Request>
void* allocate(Request const& request)
{
    for (;;) {
        if (void* const block = request()) {
            allocated.fetch_add(size_of_block(block),
                                std::memory_order_relaxed);
            return block;
        }
        auto* const make_room = std::get_new_handler();
        if (make_room == nullptr)
            throw std::bad_alloc();
        make_room();
    }
}

void release(void* block) noexcept
{
    if (block == nullptr)
        return;
    allocated.fetch_sub(size_of_block(block), std::memory_order_relaxed);
    std::free(block);
}

} // namespace

std::size_t heap_bytes()
{
    return allocated.load(std::memory_order_relaxed);
}

std::size_t heap_excess(std::size_t max_bytes)
{
    auto const n = heap_bytes();
    return n - std::min(n, max_bytes);
}

// malloc keeps pages below a block that is still in use.
void trim_heap()
{
    static std::size_t most = 0; // since the last time
    auto const n = heap_bytes();
    most = std::max(most, n);
    if (most - n < min_trimmed_bytes)
        return;
    malloc_trim(0);
    most = n;
}

} // namespace papayahook::runtime

// The other forms of the standard library call these.
void* operator new(std::size_t size)
{
    return papayahook::runtime::allocate(
        [size] { return std::malloc(std::max<std::size_t>(size, 1)); });
}

void* operator new(std::size_t size, std::align_val_t alignment)
{
    auto const step = static_cast<std::size_t>(alignment);
    auto const rounded = (std::max<std::size_t>(size, 1) + step - 1) & -step;
    return papayahook::runtime::allocate(
        [step, rounded] { return std::aligned_alloc(step, rounded); });
}

void operator delete(void* block) noexcept
{
    papayahook::runtime::release(block);
}

void operator delete(void* block, std::size_t) noexcept
{
    papayahook::runtime::release(block);
}

void operator delete(void* block, std::align_val_t) noexcept
{
    papayahook::runtime::release(block);
}

void operator delete(void* block, std::size_t, std::align_val_t) noexcept
{
    papayahook::runtime::release(block);
}
