// Text helpers that several decoders share.
#pragma once

#include <charconv>
#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayahook::codec {

// Removes spaces at both ends.
std::string_view trim(std::string_view it);

// Returns the trimmed parts between separators; none for an empty text.
std::vector<std::string_view> split(std::string_view text, char separator);

// Returns nullopt unless the whole text is a number that T can hold.
template <std::integral T>
std::optional<T> parse_number(std::string_view text, int base = 10)
{
    T out{};
    auto const* const last = text.data() + text.size();
    auto const [end, ec] = std::from_chars(text.data(), last, out, base);
    bool const valid = ec == std::errc{} && end == last;
    return valid ? std::optional(out) : std::nullopt;
}

// Converts a number of seconds, rounded up; values above `max` to `max`.
// Returns nullopt unless the text is a positive, finite number.
std::optional<std::chrono::milliseconds>
parse_seconds(std::string_view text, std::chrono::milliseconds max);

// Whether a text has neither blanks nor control bytes.
bool is_visible(std::string_view text);

// Encodes a text as part of a URL's path or query: all bytes but letters,
// digits and "-._~" as "%XX".
std::string percent_encoded(std::string_view text);

// Decodes part of a URL. Returns nullopt if an escape is malformed.
std::optional<std::string> percent_decoded(std::string_view text);

// Returns the contents of a file; empty if there is no such file.
std::string read_text(std::string const& path);

// Throws std::invalid_argument if `text` is not base64.
std::string decode_base64(std::string const& text);

} // namespace papayahook::codec
