#include "codec/event_stream.hpp"

#include "codec/text.hpp"

namespace papayahook::codec {

std::vector<stream_event> split_events(event_splitter& s, std::string_view data)
{
    std::vector<stream_event> out;
    s.held += data;
    std::size_t begin = 0;
    for (;;) {
        auto const lf = s.held.find("\n\n", begin);
        auto const crlf = s.held.find("\r\n\r\n", begin);
        if (lf == s.held.npos && crlf == s.held.npos)
            break;
        auto const end = lf < crlf ? lf + 2 : crlf + 4;
        stream_event it;
        it.bytes = s.held.substr(begin, end - begin);
        for (auto line : split(it.bytes, '\n')) {
            it.has_data = it.has_data || line.starts_with("data");
            if (line.starts_with("id:")) {
                line = trim(line.substr(3));
                if (!line.empty() && line.back() == '\r')
                    line.remove_suffix(1);
                it.id = line;
            }
        }
        out.push_back(std::move(it));
        begin = end;
    }
    s.held.erase(0, begin);
    return out;
}

bool holds_event(event_splitter const& s)
{
    return s.held.find_first_not_of("\r\n") != s.held.npos;
}

} // namespace papayahook::codec
