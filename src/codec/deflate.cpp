#include "codec/deflate.hpp"

#include <algorithm>
#include <stdexcept>
#include <zlib.h>

namespace papayahook::codec {

namespace {

// First byte of zlib data: method "deflate" with a window of 32 KB.
constexpr char zlib_first_byte = 0x78;
// Higher levels save too little for the processor time that they take on small
// nodes.
constexpr int compression_level = 1;
constexpr std::size_t initial_output_bytes = 64 * 1024;

Bytef const* bytes_of(std::string const& it)
{
    return reinterpret_cast<Bytef const*>(it.data());
}

Bytef* bytes_of(std::string& it)
{
    return reinterpret_cast<Bytef*>(it.data());
}

} // namespace

bool is_deflated(std::string const& bytes)
{
    return bytes.starts_with(zlib_first_byte);
}

std::string deflate(std::string const& bytes)
{
    auto size = compressBound(bytes.size());
    std::string out(size, '\0');
    if (compress2(bytes_of(out), &size, bytes_of(bytes), bytes.size(),
                  compression_level) != Z_OK)
        throw std::runtime_error("deflate: out of memory");
    out.resize(size);
    return out;
}

std::string inflate(std::string const& bytes, std::size_t limit)
{
    std::string out;
    auto capacity = std::min(initial_output_bytes, limit);
    for (;;) {
        out.resize(capacity);
        uLongf size = capacity;
        auto const result =
            uncompress(bytes_of(out), &size, bytes_of(bytes), bytes.size());
        if (result == Z_OK) {
            out.resize(size);
            return out;
        }
        if (result != Z_BUF_ERROR || capacity == limit)
            throw std::runtime_error(
                "inflate: data is invalid or exceeds the size limit");
        capacity = std::min(capacity * 4, limit);
    }
}

} // namespace papayahook::codec
