// Splits a stream of server-sent events.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace papayahook::codec {

// Limit of an incomplete event. A server that sends more without ending the
// event does not send server-sent events.
inline constexpr std::size_t max_event_bytes = 1024UL * 1024;

struct stream_event
{
    // Including the blank line that ends the event, and those before it.
    std::string bytes;
    std::string id;        // value of the "id:" line; empty: the event has none
    bool has_data = false; // false: a comment, which no receiver counts
};
// State of one stream between calls of split_events().
struct event_splitter
{
    std::string held;      // bytes of the event that is still incomplete
    std::size_t line = 0;  // where its incomplete line begins
    bool in_event = false; // a line of it is not blank
    stream_event begun;    // what its complete lines state
};
// Appends `data` to the stream and returns the events that are now complete.
std::vector<stream_event> split_events(event_splitter& s,
                                       std::string_view data);

// Returns whether the stream has begun an event that is not complete.
bool holds_event(event_splitter const& s);

} // namespace papayahook::codec
