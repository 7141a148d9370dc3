// Converts the types of the public header to and from JSON and CBOR.
#pragma once

#include "papayahook/papayahook.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <system_error>

namespace papayahook::codec {

// Text of a document, with replacement characters for bytes that are not UTF-8.
// Without `indent` it is one line.
std::string document_text(nlohmann::json const& it, int indent = -1);

// The *_to_line() functions write one line of JSON. The parsing functions of
// this header throw std::invalid_argument with the cause of the error; they
// ignore unknown fields, and missing fields that are not required keep their
// defaults.
std::string event_to_line(core::event const& it);
core::event event_from_line(std::string const& line);
std::string effect_to_line(core::effect const& it);
std::string_view effect_name(core::effect const& it);

std::string message_to_cbor(core::peer_message const& it);
core::peer_message message_from_cbor(std::string const& bytes);

// Records in the format of the log: {"id", "data"} and
// {"offset", "time_ms", "id", "data"}.
std::string append_to_json(core::append const& it);
core::log_read read_from_json(std::string const& stream,
                              std::string const& text);

// Records of the "duties" stream.
std::string duty_to_json(core::duty_record const& it);
core::duty_record duty_from_json(std::string const& text);

std::string settings_to_line(core::node_settings const& it);
core::node_settings settings_from_line(std::string const& line);

// Complete state of a node as indented JSON, without keys and bodies.
std::string state_to_json(core::node_state const& it);
std::string config_to_json(core::configuration const& it);

// Digests in hexadecimal: sha256() is SHA-256, keyed_digest() and hello_proof()
// are HMAC-SHA-256.
std::string sha256(std::string const& text);
std::string keyed_digest(std::string const& key, std::string const& text);
std::string hello_proof(std::string const& key, core::hello const& it);

} // namespace papayahook::codec
