// Runs a node inside any program; papayahookd is a thin main() around it.
#pragma once

#include <string>

namespace papayahook {

// Runs a node until SIGTERM or SIGINT has arrived and the last answer has
// ended. Returns the exit code: 0, 1 after a second signal, or 2 if the node
// cannot listen. Throws codec::config_error for an invalid settings file.
int run_node(std::string const& settings_file);

} // namespace papayahook
