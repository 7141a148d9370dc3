// Writes log lines with log4cplus, to a file or to standard error.
#pragma once

#include "runtime/logging.hpp"
#include "runtime/settings.hpp"

namespace papayahook::daemon {

// Destroying the last copy of the writer shuts log4cplus down. Programs that
// link log4cplus run four more threads from their start.
runtime::log_writer open_appender(runtime::settings const& it);

} // namespace papayahook::daemon
