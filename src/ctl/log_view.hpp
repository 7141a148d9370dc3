// The configuration as the platform's log tells it, read by a program.
#pragma once

#include "papayahook/papayahook.hpp"

#include <functional>

namespace papayahook::ctl {

struct log_view
{
    std::string address; // "ip:port" of the log
    core::configuration config;
    std::vector<core::log_entry> entries; // all that the log still holds
};

// Reads to the end of the log; throws std::runtime_error when it is down.
void refresh(log_view& view);

struct publish_result
{
    std::string name; // "kind/name"
    bool accepted = false;
    bool unchanged = false;
    std::string reason;
    core::offset at = 0;
};

// Appends the records in one append and waits for the verdicts. A lost
// answer is settled by looking for the records' ids on the log.
std::vector<publish_result>
publish(log_view& view, std::vector<core::config_body> const& bodies,
        bool remove);

} // namespace papayahook::ctl
