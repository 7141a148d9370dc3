// Large messages between nodes, smaller on the wire (zlib's format, RFC 1950).
#pragma once

#include <cstddef>
#include <string>

namespace papayahook::codec {

bool is_deflated(std::string const& bytes);
std::string deflate(std::string const& bytes);
// Throws std::runtime_error for other bytes, and for what would be longer
// than `limit`.
std::string inflate(std::string const& bytes, std::size_t limit);

} // namespace papayahook::codec
