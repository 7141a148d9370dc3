// Log lines by log4cplus, to a file or to standard error.
#pragma once

#include "runtime/logging.hpp"
#include "runtime/settings.hpp"

namespace papayahook::daemon {

// The library ends with the last copy of the writer. Programs that link it
// have four more threads from their start on.
runtime::log_writer open_appender(runtime::settings const& it);

} // namespace papayahook::daemon
