// Reads HTTP/1.1 answers. Accepts only what the grammar of RFC 9112 allows, as
// a receiver that guesses would take bytes for an answer that are none.
#pragma once

#include "runtime/http_server.hpp"

#include <array>
#include <functional>
#include <memory>

namespace papayahook::runtime {

// What a refused answer breaks.
enum class answer_rule
{
    status_line,
    status,      // 100 to 599, but not 101
    field_name,  // a token and a colon
    field_value, // no control bytes, no folded lines
    line_end,    // CR LF
    framing,     // one length, or the coding "chunked"
    chunk,
    size, // of the head, a trailer or a chunk's extensions
    interim,
    end // the connection ended before the answer
};
inline constexpr std::array answer_rule_names{
    "status line", "status", "field name", "field value",     "line end",
    "framing",     "chunks", "size",       "interim answers", "end"};

std::error_code make_error_code(answer_rule it);
// The rule that an error is about; null if it is none.
char const* rule_name(std::error_code ec);

struct answer_handlers
{
    // Called once, for the head of the final answer. An error ends the read.
    std::function<std::error_code(int status, header_list const&)> on_head;
    std::function<std::error_code(std::string_view data)> on_body;
};

class answer_reader
{
public:
    // `bodiless`: the request was a HEAD, whose answer has no body.
    answer_reader(answer_handlers it, bool bodiless);
    ~answer_reader();
    answer_reader(answer_reader const&) = delete;
    answer_reader& operator=(answer_reader const&) = delete;

    // Returns the number of bytes that follow the end of the answer.
    std::size_t read(std::string_view bytes, std::error_code& ec);
    // The connection has ended, without a reset.
    void end(std::error_code& ec);

    bool is_complete() const { return complete_; }
    // Whether a length or chunks tell the end of the answer. The three are to
    // be asked of a complete answer.
    bool is_framed() const;
    bool keeps_connection() const;
    header_list const& headers() const;

private:
    struct parser;
    void renew();
    bool end_message(std::error_code& ec);

    answer_handlers handlers_;
    bool bodiless_;
    std::unique_ptr<parser> parser_;
    std::string held_; // received and not yet used
    int interim_ = 0;  // 1xx responses
    bool complete_ = false;
};

} // namespace papayahook::runtime

template <>
struct std::is_error_code_enum<papayahook::runtime::answer_rule>
    : std::true_type
{
};
