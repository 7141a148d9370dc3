// The memory that a process has allocated, whatever for.
#pragma once

#include <cstddef>

namespace papayahook::runtime {

// Returns the bytes of all blocks of malloc that are in use, as of some
// milliseconds ago at most.
std::size_t heap_bytes();

// Returns by how much the heap exceeds a limit; 0: it does not.
std::size_t heap_excess(std::size_t max_bytes);

// Gives pages that are no longer in use back to the kernel, once a large part
// of the heap has been freed since the last time.
void trim_heap();

} // namespace papayahook::runtime
