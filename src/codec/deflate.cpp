#include "codec/deflate.hpp"

#include <algorithm>
#include <stdexcept>
#include <zlib.h>

namespace papayahook::codec {

namespace {

// Of zlib's first byte: the method "deflate" and a window of 32 KB.
constexpr char first_byte = 0x78;
// What it gains beyond is not worth the processor time of small nodes.
constexpr int level = 1;
constexpr std::size_t first_size = 64 * 1024;

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
    return bytes.starts_with(first_byte);
}

std::string deflate(std::string const& bytes)
{
    auto size = compressBound(bytes.size());
    std::string out(size, '\0');
    if (compress2(bytes_of(out), &size, bytes_of(bytes), bytes.size(), level) !=
        Z_OK)
        throw std::runtime_error("deflate: out of memory");
    out.resize(size);
    return out;
}

std::string inflate(std::string const& bytes, std::size_t limit)
{
    std::string out;
    auto room = std::min(first_size, limit);
    for (;;) {
        out.resize(room);
        uLongf size = room;
        auto const found =
            uncompress(bytes_of(out), &size, bytes_of(bytes), bytes.size());
        if (found == Z_OK) {
            out.resize(size);
            return out;
        }
        if (found != Z_BUF_ERROR || room == limit)
            throw std::runtime_error("inflate: bytes that cannot be read");
        room = std::min(room * 4, limit);
    }
}

} // namespace papayahook::codec
