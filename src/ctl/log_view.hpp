// Reads and publishes configuration through the platform's log, for programs.
#pragma once

#include "papayahook/papayahook.hpp"

#include <functional>

namespace papayahook::ctl {

struct log_view
{
    std::string address; // "ip:port" of the log
    core::configuration config;
    std::vector<core::log_entry> entries; // all records the log still holds
};

// Reads to the end of the log. Throws std::runtime_error if the log does not
// answer.
void refresh(log_view& view);

struct publish_result
{
    std::string name; // "kind/name"
    bool accepted = false;
    bool unchanged = false;
    std::string reason;
    core::offset at = 0;
};

// Publishes the records in one append and waits for their verdicts. If the
// answer to the append is lost, searches the log for the ids of the records.
// Throws std::runtime_error if the log does not answer or accepts no append.
std::vector<publish_result>
publish(log_view& view, std::vector<core::config_body> const& bodies,
        bool remove);

} // namespace papayahook::ctl
