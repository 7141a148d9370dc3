// Fake of a model runner: batch slots, prefix cache, streamed tokens.
//
//   POST /v1/completions, /v1/chat/completions: server-sent events, one token
//        each, with "token_index"; "resume_tokens" continues an answer. Each
//        token contains its request and index, so that tests detect a mix-up.
//   POST /fault {"fail_rate", "slow_factor", "slow_above", "silent_after",
//                "die_after", "refuse", "pause", "leaving"}
//   GET  /load, /counts
#include "fakes/common.hpp"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <set>
#include <sstream>

namespace papayahook::fakes {

namespace {

constexpr std::size_t max_cached_words = 200'000;
constexpr int default_tokens = 16;

struct generation
{
    std::string request;
    std::uint64_t next = 0;
    std::uint64_t end = 0;
    int uncached = 0;
    bool crashes = false; // see runner_options::crash_on
    responder_ptr out;
    bool gone = false;
};

using generation_ptr = std::shared_ptr<generation>;

struct model_runner
{
    model_runner(asio::io_context& ctx, runner_options const& it)
        : io(ctx), options(it)
    {
    }

    asio::io_context& io;
    runner_options options;
    std::deque<generation_ptr> waiting;
    int running = 0;
    std::set<std::string> cached; // text of each cached prompt prefix
    std::size_t cached_words = 0;
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;
    std::uint64_t prefilled = 0; // tokens not found in the cache
    double fail_rate = 0;
    double slow_factor = 1;
    int slow_above = 0;    // slow only while more requests than this run
    int silent_after = -1; // tokens; then stalls with the connection open
    int die_after = -1;    // tokens; then the process exits
    bool refuse = false;
    std::string pause; // seconds, sent with refusals; empty: none
    bool leaving = false;
};

void start_next(model_runner& m);

std::chrono::microseconds scaled(model_runner const& m,
                                 std::chrono::microseconds it)
{
    bool const slow = m.running > m.slow_above;
    double const factor = slow ? m.slow_factor : 1;
    return std::chrono::microseconds(
        static_cast<long>(static_cast<double>(it.count()) * factor));
}

void set_faults(model_runner& m, json const& body)
{
    m.fail_rate = body.value("fail_rate", m.fail_rate);
    m.slow_factor = body.value("slow_factor", m.slow_factor);
    m.slow_above = body.value("slow_above", m.slow_above);
    m.silent_after = body.value("silent_after", m.silent_after);
    m.die_after = body.value("die_after", m.die_after);
    m.refuse = body.value("refuse", m.refuse);
    m.pause = body.value("pause", m.pause);
    m.leaving = body.value("leaving", m.leaving);
}

// Returns the number of words after the longest cached prefix. Caches all
// prefixes that end at a multiple of 16 words.
int prefill(model_runner& m, std::string const& prompt)
{
    constexpr int block = 16;
    std::istringstream words(prompt);
    std::string word;
    std::string prefix;
    int n = 0;
    int hit = 0;
    if (m.cached_words > max_cached_words) {
        m.cached.clear();
        m.cached_words = 0;
    }
    while (words >> word) {
        prefix += word + ' ';
        if (++n % block != 0)
            continue;
        bool const known = m.cached.contains(prefix);
        if (known)
            hit = n;
        else if (m.cached.insert(prefix).second)
            m.cached_words += block;
    }
    return n - hit;
}

void end_generation(model_runner& m, generation_ptr const& g, bool whole)
{
    if (whole)
        g->out->write("data: [DONE]\n\n", nullptr);
    g->out->finish();
    m.running--;
    start_next(m);
}

void next_token(model_runner& m, generation_ptr const& g)
{
    if (g->gone) {
        m.running--;
        start_next(m);
        return;
    }
    if (g->next >= g->end) {
        end_generation(m, g, true);
        return;
    }
    if (m.silent_after >= 0 &&
        g->next >= static_cast<std::uint64_t>(m.silent_after))
        return; // keeps its slot and sends nothing
    if (g->crashes && m.options.crash_time > std::chrono::milliseconds(0)) {
        g->out->abort();
        after(m.io, m.options.crash_time, [] { std::_Exit(1); });
        return;
    }
    if (g->crashes)
        std::_Exit(1);
    if (m.die_after >= 0 && g->next >= static_cast<std::uint64_t>(m.die_after))
        std::_Exit(1);
    json const line{
        {"token_index", g->next},
        {"choices",
         {{{"text", g->request + "#" + std::to_string(g->next) + " "}}}}};
    g->out->write("data: " + line.dump() + "\n\n",
                  [g](std::error_code ec) { g->gone = g->gone || ec; });
    g->next++;
    m.tokens++;
    after(m.io, scaled(m, m.options.token_gap), [&m, g] { next_token(m, g); });
}

void start_next(model_runner& m)
{
    while (m.running < m.options.slots && !m.waiting.empty()) {
        auto const g = m.waiting.front();
        m.waiting.pop_front();
        m.running++;
        auto const wait =
            scaled(m, m.options.first_token +
                          g->uncached * m.options.prefill_per_token);
        after(m.io, wait, [&m, g] { next_token(m, g); });
    }
}

std::string prompt_of(json const& body)
{
    if (!body.contains("messages"))
        return body.value("prompt", "");
    std::string out;
    for (auto const& it : body.at("messages"))
        out += it.value("role", "") + ": " + it.value("content", "") + "\n";
    return out;
}

void on_generate(model_runner& m, http_request const& in,
                 responder_ptr const& out)
{
    m.requests++;
    runtime::header_list headers;
    if (m.leaving)
        headers.emplace_back("X-Leaving", "1");
    if (m.refuse) {
        headers.emplace_back("X-Not-Run", "1");
        if (!m.pause.empty())
            headers.emplace_back("Retry-After", m.pause);
        send_json(out, 503, {{"error", "not run"}}, headers);
        return;
    }
    auto const share = [&](std::uint64_t n) {
        return static_cast<std::uint64_t>(static_cast<double>(n) * m.fail_rate);
    };
    if (share(m.requests) != share(m.requests - 1)) {
        send_json(out, 500, {{"error", "failed"}}, headers);
        return;
    }
    auto const body = parse_body(in);
    auto const resumed = body.value("resume_tokens", json::array()).size();
    auto g = std::make_shared<generation>();
    g->request = body.value("request_id", "");
    g->next = resumed;
    g->end =
        static_cast<std::uint64_t>(body.value("max_tokens", default_tokens));
    auto const prompt = prompt_of(body);
    g->uncached = prefill(m, prompt) + static_cast<int>(resumed);
    auto const& mark = m.options.crash_on;
    g->crashes = !mark.empty() && prompt.find(mark) != prompt.npos;
    m.prefilled += static_cast<std::uint64_t>(g->uncached);
    g->out = out;
    headers.emplace_back("Content-Type", "text/event-stream");
    out->start(200, headers);
    m.waiting.push_back(std::move(g));
    start_next(m);
}

} // namespace

void run_runner(asio::io_context& io, runner_options const& options)
{
    model_runner m(io, options);
    serve(io, options.listen,
          [&m](http_request const& in, responder_ptr const& out) {
              if (in.path == "/fault") {
                  set_faults(m, parse_body(in));
                  send_json(out, 200, json::object());
              }
              else if (in.path == "/load") {
                  send_json(out, 200,
                            {{"running", m.running},
                             {"waiting", m.waiting.size()},
                             {"leaving", m.leaving}});
              }
              else if (in.path == "/counts") {
                  send_json(out, 200,
                            {{"requests", m.requests},
                             {"tokens", m.tokens},
                             {"prefilled", m.prefilled}});
              }
              else {
                  on_generate(m, in, out);
              }
          });
}

} // namespace papayahook::fakes
