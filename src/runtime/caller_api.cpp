#include "runtime/caller_api.hpp"

#include "codec/json.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

namespace papayahook::runtime {

namespace {

using nlohmann::json;

constexpr std::string_view route_prefix = "/v1/routes/";
constexpr std::size_t max_key_length = 255;
constexpr std::int64_t max_deadline_ms = 48LL * 3600 * 1000;

std::optional<std::int64_t> parse_integer(std::string_view text)
{
    std::int64_t out = 0;
    auto const [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), out);
    bool const whole = ec == std::errc{} && end == text.data() + text.size();
    return whole ? std::optional(out) : std::nullopt;
}

std::optional<core::priority_class> parse_class(std::string_view text)
{
    for (auto const it :
         {core::priority_class::order, core::priority_class::chat,
          core::priority_class::check, core::priority_class::job})
        if (text == core::to_string(it))
            return it;
    return std::nullopt;
}

// Reads the headers that any request may have. Returns an error text, or an
// empty string on success.
std::string read_headers(http_request const& in, core::request_arrived& out)
{
    out.key_digest = caller_key_digest(in.headers);
    out.idempotency_key = header_value(in.headers, "Idempotency-Key");
    if (out.idempotency_key.size() > max_key_length)
        return "Idempotency-Key: at most 255 characters are expected";
    out.schema_version = header_value(in.headers, "X-Schema-Version");
    out.run_without_caller =
        header_value(in.headers, "X-Keep-Answer") == "1" || prefers_async(in);
    auto const klass = header_value(in.headers, "X-Priority-Class");
    if (!klass.empty()) {
        out.klass = parse_class(klass);
        if (!out.klass)
            return "X-Priority-Class: order, chat, check or job is expected";
    }
    auto const deadline = header_value(in.headers, "X-Deadline-Ms");
    if (!deadline.empty()) {
        auto const ms = parse_integer(deadline);
        if (!ms || *ms < 1 || *ms > max_deadline_ms)
            return "X-Deadline-Ms: milliseconds from 1 are expected";
        out.deadline = std::chrono::milliseconds(*ms);
    }
    return {};
}

std::string content_text(json const& content)
{
    if (content.is_string())
        return content.get<std::string>();
    return content.is_null() ? std::string{} : content.dump();
}

std::string prompt_of(json const& body, bool chat)
{
    if (!chat)
        return content_text(body.at("prompt"));
    std::string out;
    for (auto const& it : body.at("messages"))
        out += it.at("role").get<std::string>() + ": " +
               content_text(it.at("content")) + "\n";
    return out;
}

// Counts words as tokens and computes a chained hash for each full block of
// tokens, so that equal hashes mean equal prefixes. The whole prompt is the one
// part of it that other requests may have.
void measure_prompt(std::string const& prompt, core::request_arrived& out)
{
    std::istringstream words(prompt);
    std::string word;
    std::string block;
    std::uint64_t chain = 0;
    while (words >> word) {
        block += word + ' ';
        if (++out.prompt_tokens % core::prefix_block_tokens != 0)
            continue;
        chain = core::hash_of(std::to_string(chain) + block);
        out.prefix_blocks.push_back(chain);
        block.clear();
    }
    out.shared_parts = {core::hash_of(prompt)};
}

std::variant<parsed_request, bad_request>
parse_model_request(http_request const& in, parsed_request out, bool chat)
{
    if (in.method != "POST")
        return bad_request{405, "POST is expected"};
    auto const body = json::parse(in.body.get(), nullptr, false);
    if (!body.is_object())
        return bad_request{400, "the body is not a JSON object"};
    try {
        out.event.via_model_path = true;
        out.event.route = body.at("model").get<std::string>();
        measure_prompt(prompt_of(body, chat), out.event);
        bool const stream = body.value("stream", false);
        out.form =
            chat ? (stream ? answer_form::chat_stream : answer_form::chat_whole)
                 : (stream ? answer_form::completion_stream
                           : answer_form::completion_whole);
    }
    catch (json::exception const& e) {
        return bad_request{400,
                           std::string("the body lacks a field: ") + e.what()};
    }
    return out;
}

bool is_chat(answer_form form)
{
    return form == answer_form::chat_stream || form == answer_form::chat_whole;
}

} // namespace

std::variant<parsed_request, bad_request>
parse_request(http_request const& in, core::request_id const& id)
{
    parsed_request out;
    out.event.id = id;
    out.event.body_bytes = in.memory;
    if (auto const why = read_headers(in, out.event); !why.empty())
        return bad_request{400, why};
    out.event.body_digest =
        core::digest_of(in.method + "\n" + in.path + "\n" + in.body.get());
    if (in.path == "/v1/chat/completions")
        return parse_model_request(in, std::move(out), true);
    if (in.path == "/v1/completions")
        return parse_model_request(in, std::move(out), false);
    if (!in.path.starts_with(route_prefix))
        return bad_request{404, "no such path"};
    auto const rest = in.path.substr(route_prefix.size());
    auto const slash = rest.find('/');
    out.event.route = rest.substr(0, slash);
    out.path = slash == rest.npos ? "/" : rest.substr(slash);
    if (!in.query.empty())
        out.path += "?" + in.query;
    return out;
}

std::string caller_key_digest(header_list const& headers)
{
    constexpr std::string_view scheme = "Bearer ";
    auto const value = header_value(headers, "Authorization");
    bool const bearer = value.starts_with(scheme);
    return codec::sha256(bearer ? std::string(value.substr(scheme.size()))
                                : std::string{});
}

bool prefers_async(http_request const& in)
{
    return header_value(in.headers, "Prefer").find("respond-async") !=
           std::string_view::npos;
}

bool is_stream(answer_form form)
{
    return form == answer_form::chat_stream ||
           form == answer_form::completion_stream;
}

std::string runner_body(std::string const& caller_body,
                        core::request_id const& id,
                        std::vector<std::string> const& resume)
{
    auto body = json::parse(caller_body, nullptr, false);
    if (!body.is_object())
        return caller_body;
    body["stream"] = true;
    body["request_id"] = id;
    if (!resume.empty())
        body["resume_tokens"] = resume;
    return codec::document_text(body);
}

std::string token_event(answer_form form, core::request_id const& id,
                        std::uint64_t index, std::string const& token)
{
    bool const chat = is_chat(form);
    json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (chat)
        choice["delta"] = {{"content", token}};
    else
        choice["text"] = token;
    json const out{
        {"id", id},
        {"object", chat ? "chat.completion.chunk" : "text_completion"},
        {"token_index", index},
        {"choices", json::array({choice})}};
    return "data: " + codec::document_text(out) + "\n\n";
}

std::string end_event()
{
    return "data: [DONE]\n\n";
}

std::string error_event(core::request_id const& id, core::refusal const& why)
{
    return "event: error\ndata: " + problem_document(id, why) + "\n\n";
}

std::string whole_answer(answer_form form, core::request_id const& id,
                         std::vector<std::string> const& tokens)
{
    std::string text;
    for (auto const& it : tokens)
        text += it;
    bool const chat = is_chat(form);
    json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    json const out{{"id", id},
                   {"object", chat ? "chat.completion" : "text_completion"},
                   {"choices", json::array({choice})},
                   {"usage", {{"completion_tokens", tokens.size()}}}};
    return codec::document_text(out);
}

std::string problem_document(core::request_id const& id,
                             core::refusal const& why)
{
    json out{{"type", "about:blank"},
             {"title", why.detail},
             {"status", why.status},
             {"request_id", id},
             {"outcome", core::to_string(why.known_outcome)},
             {"step", core::to_string(why.failed_step)}};
    if (!why.peer.empty())
        out["peer"] = why.peer;
    return codec::document_text(out);
}

header_list problem_headers(core::request_id const& id,
                            core::refusal const& why)
{
    header_list out{{"Content-Type", "application/problem+json"},
                    {"X-Request-Id", id}};
    if (why.retry_after.count() > 0)
        out.emplace_back("Retry-After",
                         std::to_string(std::chrono::ceil<std::chrono::seconds>(
                                            why.retry_after)
                                            .count()));
    return out;
}

std::optional<runner_token> parse_runner_line(std::string_view line)
{
    constexpr std::string_view prefix = "data: ";
    if (!line.starts_with(prefix))
        return std::nullopt;
    auto const data = line.substr(prefix.size());
    runner_token out;
    if (data == "[DONE]") {
        out.done = true;
        return out;
    }
    auto const body = json::parse(data, nullptr, false);
    if (!body.is_object() || !body.contains("choices"))
        return std::nullopt;
    try {
        auto const& choice = body.at("choices").at(0);
        out.text = choice.contains("delta")
                       ? choice.at("delta").value("content", "")
                       : choice.value("text", "");
        if (body.contains("token_index"))
            out.index = body.at("token_index").get<std::uint64_t>();
    }
    catch (json::exception const&) {
        return std::nullopt;
    }
    return out;
}

} // namespace papayahook::runtime
