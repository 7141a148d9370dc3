// Compresses large messages between nodes (zlib format, RFC 1950).
#pragma once

#include <cstddef>
#include <string>

namespace papayahook::codec {

bool is_deflated(std::string const& bytes);
std::string deflate(std::string const& bytes);
// Throws std::runtime_error if `bytes` is not valid zlib data or would inflate
// to more than `limit` bytes.
std::string inflate(std::string const& bytes, std::size_t limit);

} // namespace papayahook::codec
