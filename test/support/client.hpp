// Callers of tests and of the demo.
#pragma once

#include "runtime/http_client.hpp"

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
    std::chrono::milliseconds start{0}; // after the first call of the batch
    std::chrono::milliseconds timeout{30'000};
    std::size_t cut_after = 0; // bytes; then the caller goes away
};

struct call_outcome
{
    int status = 0;
    bool broken = false; // no whole HTTP answer
    std::string body;
    std::string request_id;
    std::string outcome; // of a problem document
    std::chrono::microseconds first_byte{};
    std::chrono::microseconds longest_gap{}; // between pieces of the body
    std::chrono::microseconds took{};
};

// Runs all calls side by side; results in the order of the plans.
std::vector<call_outcome> run_calls(std::vector<call_plan> const& plans);
call_outcome run_call(call_plan const& plan);

call_plan completion(std::string const& address, std::string const& key,
                     std::string const& route, std::string const& prompt,
                     int tokens, bool stream);
call_plan order(std::string const& address, std::string const& key,
                std::string const& route, std::string const& name,
                std::string const& idempotency_key);

// Empty when a streamed answer is whole: every token from `from` on, in
// order, of this request, then the end mark. Else what is wrong.
std::string stream_fault(call_outcome const& it, int tokens, int from = 0);
int tokens_in(call_outcome const& it); // of a stream, however it ended

// Asks a node for the answer of a request from a token on.
call_outcome fetch_rest(std::string const& address, std::string const& key,
                        std::string const& id, int from);

// POSTs a JSON document, e.g. to a stand-in's fault port.
void post(std::string const& address, std::string const& path,
          std::string const& body);
std::string get(std::string const& address, std::string const& path);

} // namespace papayahook::support
