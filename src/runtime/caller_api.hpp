// Callers' interface: HTTP requests to events, answers to HTTP. No state.
#pragma once

#include "papayahook/papayahook.hpp"
#include "runtime/http_server.hpp"

#include <variant>

namespace papayahook::runtime {

// How an answer is written.
enum class answer_form
{
    plain,             // bytes of the service as they are
    chat_stream,       // server-sent events, ends in [DONE]
    chat_whole,        // one JSON document
    completion_stream, // as above for /v1/completions
    completion_whole,
};

struct parsed_request
{
    core::request_arrived event;
    answer_form form = answer_form::plain;
    std::string path; // for a plain service: what follows the route
};

struct bad_request
{
    int status = 400;
    std::string detail;
};

// `id` becomes the request id.
std::variant<parsed_request, bad_request>
parse_request(http_request const& in, core::request_id const& id);

// Digest of the caller's bearer key; that of an empty key when none was sent.
std::string caller_key_digest(header_list const& headers);

// The caller asks for 202 and the request's id instead of the answer
// ("Prefer: respond-async", RFC 7240); it fetches the answer later.
bool wants_id_only(http_request const& in);

bool is_stream(answer_form form);

// Body of the call to a model runner: the caller's document, streamed, with
// the tokens that the answer already has.
std::string runner_body(std::string const& caller_body,
                        core::request_id const& id,
                        std::vector<std::string> const& resume);

// One server-sent event with a token.
std::string token_event(answer_form form, core::request_id const& id,
                        std::uint64_t index, std::string const& token);
std::string end_event();
std::string error_event(core::request_id const& id, core::refusal const& why);

// Whole JSON document of an answer.
std::string whole_answer(answer_form form, core::request_id const& id,
                         std::vector<std::string> const& tokens);

std::string problem_document(core::request_id const& id,
                             core::refusal const& why);
header_list problem_headers(core::request_id const& id,
                            core::refusal const& why);

// A token in a runner's event line; nullopt for other lines.
struct runner_token
{
    std::optional<std::uint64_t> index;
    std::string text;
    bool done = false;
};
std::optional<runner_token> parse_runner_line(std::string_view line);

} // namespace papayahook::runtime
