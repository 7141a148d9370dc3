// Boost.Beast's parser is strict where http_parser, as Debian builds it, is
// not: names of fields, line ends and chunks. It takes more than the grammar
// has at statuses, codings and folded lines, which are checked here.
#include "runtime/answer_reader.hpp"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>

namespace papayahook::runtime {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::iequals;

constexpr std::uint32_t max_head_bytes = 80 * 1024;
// A server that sends more 1xx responses is assumed never to answer.
constexpr int max_interim_responses = 16;
constexpr int first_status = 100;
constexpr int switching_protocols = 101;
constexpr int first_final_status = 200; // lower ones are interim responses
constexpr int last_status = 599;
constexpr int http_1_0 = 10;

class rule_category_type final : public std::error_category
{
public:
    char const* name() const noexcept override { return "answer"; }
    std::string message(int code) const override
    {
        auto const rule = static_cast<std::size_t>(code) - 1;
        return std::string("the bytes received are no HTTP answer: ") +
               answer_rule_names.at(rule);
    }
};

rule_category_type const& rule_category()
{
    static rule_category_type const out;
    return out;
}

std::string_view view(boost::beast::string_view it)
{
    return {it.data(), it.size()};
}

answer_rule rule_of(error_code ec)
{
    switch (static_cast<http::error>(ec.value())) {
    case http::error::bad_field:
        return answer_rule::field_name;
    case http::error::bad_value:
    case http::error::bad_obs_fold:
        return answer_rule::field_value;
    case http::error::bad_line_ending:
        return answer_rule::line_end;
    case http::error::bad_content_length:
    case http::error::bad_transfer_encoding:
    case http::error::body_limit:
        return answer_rule::framing;
    case http::error::bad_chunk:
    case http::error::bad_chunk_extension:
        return answer_rule::chunk;
    case http::error::header_limit:
        return answer_rule::size;
    case http::error::partial_message:
        return answer_rule::end;
    default:
        return answer_rule::status_line;
    }
}

} // namespace

std::error_code make_error_code(answer_rule it)
{
    return {static_cast<int>(it) + 1, rule_category()};
}

char const* rule_name(std::error_code ec)
{
    return ec.category() == rule_category()
               ? answer_rule_names.at(static_cast<std::size_t>(ec.value()) - 1)
               : nullptr;
}

// Beast calls these functions, whose names it sets.
struct answer_reader::parser final : http::basic_parser<false>
{
    explicit parser(answer_handlers const& it) : handlers(it)
    {
        eager(true);
        header_limit(max_head_bytes);
        // Boost 1.74 refuses every length if there is no limit.
        body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    void refuse(std::error_code why, error_code& ec)
    {
        refused = why;
        if (why)
            ec = http::error::end_of_stream; // any error ends the read
    }

    void on_request_impl(http::verb, boost::beast::string_view,
                         boost::beast::string_view, int, error_code&) override
    {
    }

    void on_response_impl(int code, boost::beast::string_view, int version,
                          error_code& ec) override
    {
        status = code;
        is_http_1_0 = version == http_1_0;
        if (code < first_status || code > last_status ||
            code == switching_protocols)
            refuse(answer_rule::status, ec);
    }

    // The value of a folded line is in a buffer of the parser, or behind the
    // line's end.
    bool is_folded(std::string_view name, std::string_view value) const
    {
        auto const* const from = name.data() + name.size();
        auto const* const to = value.data();
        bool const is_received =
            std::less_equal<>{}(from, to) &&
            std::less_equal<>{}(to, input.data() + input.size());
        return !is_received || std::find(from, to, '\n') != to;
    }

    void on_field_impl(http::field field, boost::beast::string_view name,
                       boost::beast::string_view value, error_code& ec) override
    {
        auto const text = view(value);
        if (is_folded(view(name), text))
            return refuse(answer_rule::field_value, ec);
        bool const is_length = field == http::field::content_length;
        bool const is_one_number =
            !std::exchange(has_length, has_length || is_length) &&
            !text.empty() && text.find_first_not_of("0123456789") == text.npos;
        bool const is_coding = field == http::field::transfer_encoding;
        if ((is_length && !is_one_number) ||
            (is_coding && (is_http_1_0 || !iequals(value, "chunked"))))
            return refuse(answer_rule::framing, ec);
        if (!has_head) // trailers are not passed on
            headers.emplace_back(view(name), text);
    }

    void on_header_impl(error_code& ec) override
    {
        has_head = true;
        if (status >= first_final_status && handlers.on_head)
            refuse(handlers.on_head(status, headers), ec);
    }

    void on_body_init_impl(boost::optional<std::uint64_t> const&,
                           error_code&) override
    {
    }

    std::size_t on_body_impl(boost::beast::string_view data,
                             error_code& ec) override
    {
        if (handlers.on_body)
            refuse(handlers.on_body(view(data)), ec);
        return data.size();
    }

    void on_chunk_header_impl(std::uint64_t, boost::beast::string_view,
                              error_code&) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t,
                                   boost::beast::string_view data,
                                   error_code& ec) override
    {
        return on_body_impl(data, ec);
    }

    void on_finish_impl(error_code&) override {}

    answer_handlers const& handlers;
    std::string_view input; // being parsed
    std::error_code refused;
    header_list headers;
    int status = 0;
    bool is_http_1_0 = false;
    bool has_length = false;
    bool has_head = false;
};

answer_reader::answer_reader(answer_handlers it, bool bodiless)
    : handlers_(std::move(it)), bodiless_(bodiless)
{
    renew();
}

answer_reader::~answer_reader() = default;

void answer_reader::renew()
{
    parser_ = std::make_unique<parser>(handlers_);
    parser_->skip(bodiless_);
}

// Returns whether another message follows.
bool answer_reader::end_message(std::error_code& ec)
{
    complete_ = parser_->status >= first_final_status;
    if (complete_)
        return false;
    if (++interim_ > max_interim_responses)
        ec = answer_rule::interim;
    else
        renew();
    return !ec;
}

std::size_t answer_reader::read(std::string_view bytes, std::error_code& ec)
{
    ec = {};
    held_ += bytes;
    std::string_view rest = held_;
    while (!rest.empty()) {
        error_code failure;
        parser_->input = rest;
        rest.remove_prefix(parser_->put({rest.data(), rest.size()}, failure));
        if (failure == http::error::need_more)
            break;
        if (failure) {
            ec = parser_->refused ? parser_->refused
                                  : make_error_code(rule_of(failure));
            return 0;
        }
        if (parser_->is_done() && !end_message(ec))
            return ec ? 0 : rest.size();
    }
    held_.erase(0, held_.size() - rest.size());
    if (held_.size() > max_head_bytes)
        ec = answer_rule::size;
    return 0;
}

void answer_reader::end(std::error_code& ec)
{
    ec = {};
    error_code failure = http::error::partial_message;
    if (parser_->has_head && held_.empty())
        parser_->put_eof(failure);
    complete_ = !failure;
    if (failure)
        ec = make_error_code(rule_of(failure));
}

bool answer_reader::is_framed() const
{
    return !parser_->need_eof();
}

bool answer_reader::keeps_connection() const
{
    return parser_->keep_alive();
}

header_list const& answer_reader::headers() const
{
    return parser_->headers;
}

} // namespace papayahook::runtime
