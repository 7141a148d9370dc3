#include "codec/event_stream.hpp"

#include "codec/text.hpp"

#include <utility>

namespace papayahook::codec {

namespace {

std::string_view without_cr(std::string_view line)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

void read_line(std::string_view line, stream_event& it)
{
    it.has_data = it.has_data || line.starts_with("data");
    if (line.starts_with("id:"))
        it.id = trim(line.substr(3));
}

} // namespace

// A blank line ends an event only if one has begun: an event for each would
// take many times its bytes.
std::vector<stream_event> split_events(event_splitter& s, std::string_view data)
{
    std::vector<stream_event> out;
    auto const searched = s.held.size();
    s.held += data;
    std::size_t begin = 0;
    stream_event it;
    std::swap(it, s.begun);
    for (auto end = s.held.find('\n', searched); end != s.held.npos;
         end = s.held.find('\n', s.line)) {
        auto const line =
            without_cr(std::string_view(s.held).substr(s.line, end - s.line));
        s.line = end + 1;
        s.in_event = s.in_event || !line.empty();
        read_line(trim(line), it);
        if (!line.empty() || !s.in_event)
            continue;
        it.bytes = s.held.substr(begin, s.line - begin);
        out.push_back(std::exchange(it, {}));
        s.in_event = false;
        begin = s.line;
    }
    std::swap(it, s.begun);
    s.held.erase(0, begin);
    s.line -= begin;
    return out;
}

bool holds_event(event_splitter const& s)
{
    return s.held.find_first_not_of("\r\n") != s.held.npos;
}

} // namespace papayahook::codec
