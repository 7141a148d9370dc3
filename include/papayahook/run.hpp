// Running a node inside any program; papayahookd is a thin main over this.
#pragma once

#include <string>

namespace papayahook {

// Runs until SIGTERM and until the last answer has ended. Returns the exit
// code. Throws codec::config_error for a bad settings file.
int run_node(std::string const& settings_file);

} // namespace papayahook
