#include "codec/text.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <openssl/evp.h>
#include <stdexcept>

namespace papayahook::codec {

std::string_view trim(std::string_view it)
{
    while (!it.empty() && it.front() == ' ')
        it.remove_prefix(1);
    while (!it.empty() && it.back() == ' ')
        it.remove_suffix(1);
    return it;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> out;
    while (!text.empty()) {
        auto const end = std::min(text.find(separator), text.size());
        out.push_back(trim(text.substr(0, end)));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return out;
}

std::optional<std::chrono::milliseconds>
parse_seconds(std::string_view text, std::chrono::milliseconds max)
{
    using seconds = std::chrono::duration<double>;
    double value = 0;
    auto const last = text.data() + text.size();
    auto const [end, ec] = std::from_chars(text.data(), last, value);
    if (ec != std::errc{} || end != last || !(value > 0) || std::isinf(value))
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::min<seconds>(seconds(value), max));
}

bool is_visible(std::string_view text)
{
    return std::ranges::none_of(
        text, [](unsigned char it) { return it <= ' ' || it == 0x7f; });
}

std::string percent_encoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view kept = "-._~";
    std::string out;
    for (unsigned char const it : text) {
        bool const is_alphanumeric = (it >= '0' && it <= '9') ||
                                     (it >= 'A' && it <= 'Z') ||
                                     (it >= 'a' && it <= 'z');
        if (is_alphanumeric || kept.find(static_cast<char>(it)) != kept.npos)
            out += static_cast<char>(it);
        else
            (out += '%').append({digits[it >> 4U], digits[it & 0xfU]});
    }
    return out;
}

std::optional<std::string> percent_decoded(std::string_view text)
{
    constexpr std::size_t digits = 2;
    std::string out;
    while (!text.empty()) {
        if (text.front() != '%') {
            out += text.front();
            text.remove_prefix(1);
            continue;
        }
        auto const code =
            parse_number<std::uint8_t>(text.substr(1, digits), 16);
        if (!code || text.size() < 1 + digits)
            return std::nullopt;
        out += static_cast<char>(*code);
        text.remove_prefix(1 + digits);
    }
    return out;
}

std::string read_text(std::string const& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

std::string decode_base64(std::string const& text)
{
    std::string out(text.size(), '\0');
    int const n =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<unsigned char const*>(text.data()),
                        static_cast<int>(text.size()));
    if (n < 0)
        throw std::invalid_argument("value: base64 is expected");
    auto const padding =
        std::min<std::ptrdiff_t>(2, std::ranges::count(text, '='));
    out.resize(static_cast<std::size_t>(n) - static_cast<std::size_t>(padding));
    return out;
}

} // namespace papayahook::codec
