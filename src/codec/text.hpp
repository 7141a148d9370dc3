// Small cuts of text that several decoders need.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace papayahook::codec {

// Without blanks at both ends.
std::string_view trim(std::string_view it);

// The trimmed pieces between separators; none for an empty text.
std::vector<std::string_view> split(std::string_view text, char at);

// Of a file; empty: there is none.
std::string read_text(std::string const& path);

// Throws std::invalid_argument for what is no base64.
std::string decode_base64(std::string const& text);

} // namespace papayahook::codec
