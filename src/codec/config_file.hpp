// Reads configuration records that operators write as TOML.
#pragma once

#include "codec/toml_reader.hpp"

namespace papayahook::codec {

// Returns the records in the order in which they must be published. `now` is
// the time from which a move's "deadline_in_s" counts. Throws config_error.
std::vector<core::config_body> read_config_file(std::string const& file,
                                                core::time_point now);

} // namespace papayahook::codec
