// Server-sent events as they come off a connection.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace papayahook::codec {

// A server that sends more without ending an event sends no events.
inline constexpr std::size_t max_event_bytes = 1024UL * 1024;

// Cuts a stream's bytes into whole events.
struct event_splitter
{
    std::string held; // of the event that is not yet whole
};
struct stream_event
{
    std::string bytes; // with the blank line that ends it
    std::string id;    // empty: none
};
std::vector<stream_event> split_events(event_splitter& s,
                                       std::string_view data);

} // namespace papayahook::codec
