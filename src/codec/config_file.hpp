// Configuration records written by operators as TOML.
#pragma once

#include "codec/toml_reader.hpp"

namespace papayahook::codec {

// Records in the order in which they must be published. `now` resolves a
// move's "deadline_in_s". Throws config_error.
std::vector<core::config_body> read_config_file(std::string const& file,
                                                core::time_point now);

} // namespace papayahook::codec
