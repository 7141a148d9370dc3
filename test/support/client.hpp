// HTTP callers for tests, benchmarks and the demo.
#pragma once

#include "runtime/http_client.hpp"

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <vector>

namespace papayahook::support {

struct call_plan
{
    std::string address; // "ip:port" of a node's caller port
    std::string method = "POST";
    std::string path;
    std::string key; // bearer key
    std::string body;
    runtime::header_list headers;
    std::chrono::milliseconds start{0}; // delay from the start of the batch
    std::chrono::milliseconds timeout{30'000};
    std::size_t cut_after = 0; // body bytes until disconnect; 0: never
};

struct call_outcome
{
    int status = 0;
    bool broken = false; // no complete HTTP answer
    std::string body;
    std::string request_id;
    std::string outcome; // from a problem document
    std::chrono::microseconds first_byte{};
    std::chrono::microseconds longest_gap{}; // between pieces of the body
    std::chrono::microseconds took{};
};

// Runs all calls concurrently. The results are in the order of the plans.
std::vector<call_outcome> run_calls(std::vector<call_plan> const& plans);
call_outcome run_call(call_plan const& plan);

call_plan completion(std::string const& address, std::string const& key,
                     std::string const& route, std::string const& prompt,
                     int tokens, bool stream);
call_plan order(std::string const& address, std::string const& key,
                std::string const& route, std::string const& name,
                std::string const& idempotency_key);

// Returns an empty text if a streamed answer is complete: all tokens of this
// request from `from` on, in order, then the end mark. Otherwise describes the
// error.
std::string stream_fault(call_outcome const& it, int tokens, int from = 0);
// Counts the tokens of a stream, which may be incomplete.
int tokens_in(call_outcome const& it);

// Gets the answer of a request from a node, starting at token `from`.
call_outcome fetch_rest(std::string const& address, std::string const& key,
                        std::string const& id, int from);

// Of "ip:port".
asio::ip::tcp::endpoint endpoint_of(std::string const& address);

// POSTs a JSON document, e.g. to the fault port of a fake. Throws
// std::runtime_error if the status is not 200.
void post(std::string const& address, std::string const& path,
          std::string const& body);
std::string get(std::string const& address, std::string const& path);

} // namespace papayahook::support
