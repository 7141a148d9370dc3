// Text helpers that several decoders share.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace papayahook::codec {

// Removes spaces at both ends.
std::string_view trim(std::string_view it);

// Returns the trimmed parts between separators; none for an empty text.
std::vector<std::string_view> split(std::string_view text, char separator);

// Returns the contents of a file; empty if there is no such file.
std::string read_text(std::string const& path);

// Throws std::invalid_argument if `text` is not base64.
std::string decode_base64(std::string const& text);

} // namespace papayahook::codec
