// Forwards requests of HTTP callers to endpoints, and the answers back, byte
// for byte. A protocol_codec defines the headers and the node's own answers.
#pragma once

#include "codec/event_stream.hpp"
#include "runtime/node.hpp"

#include <chrono>
#include <deque>
#include <optional>

namespace papayahook::runtime {

// Answer that the node generates for a request that gets none from a runner.
struct generated_answer
{
    int status = 503;
    runtime::header_list headers;
    std::string body;
};

// Converts between headers and the types of the core. Makes no decisions.
struct protocol_codec
{
    std::string request_id; // name of the header with the caller's id
    std::function<core::request_arrived(http_request const& in,
                                        core::request_id const& id,
                                        core::configuration const& config)>
        decode_request;
    std::function<header_list(http_request const& in,
                              core::dispatch const& call,
                              std::optional<std::string> const& last_event)>
        call_headers;
    std::function<core::answer_head(core::call_id call, int status,
                                    header_list const& headers)>
        decode_head;
    std::function<generated_answer(std::string const& request_id,
                                   core::refusal const& why)>
        refusal_answer;
};

// The caller's side of a request.
struct open_caller
{
    std::string request_id; // id sent by the caller
    http_request request;
    responder_ptr out;
    bool streams = false; // false: the answer is sent whole
    bool started = false; // the head has been sent
    bool flush_posted = false;
    int status = 200;
    header_list headers;
    std::string pending;          // bytes not yet written
    std::uint64_t next_index = 0; // index of the chunk that follows `pending`
};

// A request that arrived before the answer to the one before it was complete.
struct waiting_request
{
    core::request_id id;
    http_request request;
    responder_ptr out;
    std::chrono::steady_clock::time_point arrived{};
};

// A connection of a caller. Its requests are served one after the other: what a
// caller has sent ahead has not run if the answer before it breaks off.
struct caller_connection
{
    std::optional<core::request_id> open;
    std::deque<waiting_request> waiting;
    core::request_id newest;
    bool broke_off = false; // the answer to `open` did
    // An answer has announced that the connection closes after it.
    bool closes = false;
};

// The endpoint's side of a call.
struct gateway_call
{
    std::uint64_t transfer = 0; // id of the transfer in http_client
    core::request_id request;
    core::answer_head head;
    bool streams = false;
    bool head_reported = false; // the core has received the head
    codec::event_splitter events;
    std::string body;             // body of an answer that is not streamed
    std::uint64_t next_index = 0; // index of the next chunk
    bool has_position = true;     // see core::answer_chunk
    // Hashes of the ids of the events that the caller has, in ascending order,
    // and the newest of the ids, in a call that continues them.
    std::vector<std::uint64_t> passed_ids;
    std::optional<std::string> last_id;
};

class gateway
{
public:
    explicit gateway(protocol_codec it) : codec_(std::move(it)) {}

    // Opens the listeners for callers, readiness probes and metrics that are
    // not open yet. Throws std::system_error, but not for metrics, which are
    // tried again later.
    void open(node& n, address const& front, address const& readiness,
              address const& metrics);
    // Returns false if the effect concerns neither a caller nor a call.
    bool perform(node& n, core::effect const& effect);

private:
    // gateway_callers.cpp
    void open_metrics(node& n, address const& at);
    void on_request(node& n, http_request in, responder_ptr out);
    bool has_memory_for(node const& n, http_request const& in) const;
    void begin(node& n, waiting_request it);
    void begin_next(node& n, std::uint64_t connection);
    void refuse_for_memory(node& n, waiting_request const& it,
                           std::string const& detail);
    void refuse_now(node& n, waiting_request const& it,
                    generated_answer answer);
    void on_readiness(node& n, responder_ptr const& out);
    void on_caller_closed(node& n, std::uint64_t connection,
                          std::string const& why);
    void announce_close(node& n, core::request_id const& id,
                        std::uint64_t connection, http_responder& out);
    std::optional<open_caller> take_caller(node& n, core::request_id const& id);
    void flush(node& n, core::request_id const& id);
    void post_flush(node& n, core::request_id const& id, open_caller& c);
    void carry_out(node& n, core::refuse const& it);
    void carry_out(node& n, core::send_head const& it);
    void carry_out(node& n, core::send_chunk const& it);
    void carry_out(node& n, core::finish_answer const& it);
    void carry_out(node& n, core::fail_answer const& it);

    // gateway_calls.cpp
    void carry_out(node& n, core::dispatch const& it);
    void carry_out(node& n, core::cancel_call const& it);
    void carry_out(node& n, core::pause_call const& it);
    void carry_out(node& n, core::resume_call const& it);
    void on_call_head(core::call_id call, int status,
                      header_list const& headers);
    void on_call_data(node& n, core::call_id call, std::string_view data);
    void on_call_done(node& n, core::call_id call, http_result const& result);
    // Gives up the call with the most buffered bytes if the node gets more than
    // it may buffer. Returns false if `call` itself was given up.
    bool make_room(node& n, core::call_id call, std::size_t bytes);
    void fail_call(node& n, core::call_id call, std::string why);
    std::optional<gateway_call> take_call(core::call_id call);

    protocol_codec codec_;
    std::unique_ptr<http_server> front_;
    std::unique_ptr<http_server> readiness_;
    std::unique_ptr<http_server> metrics_;
    bool has_begun_metrics_ = false; // is open, or tried until it is
    std::map<core::request_id, open_caller> callers_;
    std::map<std::uint64_t, caller_connection> connections_;
    std::map<core::call_id, gateway_call> calls_;
    std::size_t buffered_ = 0; // bytes in `calls_`
    std::size_t waiting_ = 0;  // bytes of requests in `connections_`
    std::uint64_t next_request_ = 1;
};

} // namespace papayahook::runtime
