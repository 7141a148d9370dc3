#include "codec/text.hpp"

#include <algorithm>

namespace papayahook::codec {

std::string_view trim(std::string_view it)
{
    while (!it.empty() && it.front() == ' ')
        it.remove_prefix(1);
    while (!it.empty() && it.back() == ' ')
        it.remove_suffix(1);
    return it;
}

std::vector<std::string_view> split(std::string_view text, char at)
{
    std::vector<std::string_view> out;
    while (!text.empty()) {
        auto const end = std::min(text.find(at), text.size());
        out.push_back(trim(text.substr(0, end)));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return out;
}

} // namespace papayahook::codec
