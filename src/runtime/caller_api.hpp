// HTTP interface for callers: converts requests to events and answers to HTTP.
// Stateless.
#pragma once

#include "papayahook/papayahook.hpp"
#include "runtime/http_server.hpp"

#include <variant>

namespace papayahook::runtime {

// Format of an answer.
enum class answer_form
{
    plain,             // bytes of the service, unchanged
    chat_stream,       // server-sent events that end with [DONE]
    chat_whole,        // one JSON document
    completion_stream, // like chat_stream, for /v1/completions
    completion_whole,  // like chat_whole, for /v1/completions
};

struct parsed_request
{
    core::request_arrived event;
    answer_form form = answer_form::plain;
    std::string path; // plain services only: path and query after the route
};

struct bad_request
{
    int status = 400;
    std::string detail;
};

// Parses a caller's request; `id` becomes the request id.
std::variant<parsed_request, bad_request>
parse_request(http_request const& in, core::request_id const& id);

// SHA-256 of the caller's bearer key, or of an empty key if none was sent.
std::string caller_key_digest(header_list const& headers);

// True if the caller asks for 202 and the request id instead of the answer
// ("Prefer: respond-async", RFC 7240) and fetches the answer later.
bool prefers_async(http_request const& in);

bool is_stream(answer_form form);

// Body of the call to a model runner: the caller's document with streaming
// enabled and the tokens that the answer already has.
std::string runner_body(std::string const& caller_body,
                        core::request_id const& id,
                        std::vector<std::string> const& resume);

// Server-sent event with one token.
std::string token_event(answer_form form, core::request_id const& id,
                        std::uint64_t index, std::string const& token);
std::string end_event();
std::string error_event(core::request_id const& id, core::refusal const& why);

// JSON document of a complete answer.
std::string whole_answer(answer_form form, core::request_id const& id,
                         std::vector<std::string> const& tokens);

std::string problem_document(core::request_id const& id,
                             core::refusal const& why);
header_list problem_headers(core::request_id const& id,
                            core::refusal const& why);

// A token or the end mark from a line of a runner's event stream.
struct runner_token
{
    std::optional<std::uint64_t> index;
    std::string text;
    bool done = false;
};
// Returns nullopt for any other line.
std::optional<runner_token> parse_runner_line(std::string_view line);

} // namespace papayahook::runtime
