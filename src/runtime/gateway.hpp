// Passes requests of HTTP callers on to endpoints and their answers back, byte
// for byte. How both sides write what they say is told by a dialect.
#pragma once

#include "codec/event_stream.hpp"
#include "runtime/node.hpp"

namespace papayahook::runtime {

// The answer to a request that gets none from a runner.
struct own_answer
{
    int status = 503;
    runtime::header_list headers;
    std::string body;
};
// Translates between headers and the core's types; decides nothing.
struct dialect
{
    std::string request_id; // header with the caller's id of a request
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
    std::function<own_answer(std::string const& request_id,
                             core::refusal const& why)>
        refusal_answer;
};

// A caller's side of a request.
struct open_caller
{
    std::string request_id; // as the caller sent it
    http_request asked;
    responder_ptr out;
    bool streams = false; // else the answer is sent whole
    bool started = false; // the head is on the wire
    bool flush_posted = false;
    int status = 200;
    header_list headers;
    std::string pending;                   // bytes not yet written
    std::uint64_t next_index = 0;          // of the chunk after `pending`
    std::optional<std::string> last_event; // id of the newest event passed on
};

// An endpoint's side of a call.
struct gateway_call
{
    std::uint64_t transfer = 0; // id in the client
    core::request_id request;
    core::answer_head head;
    bool streams = false;
    bool head_given = false;
    codec::event_splitter events;
    std::string body;             // of an answer that is no stream
    std::uint64_t next_index = 0; // of the next chunk
};

class gateway
{
public:
    explicit gateway(dialect it) : dialect_(std::move(it)) {}

    // Listens for callers, and for who asks whether the node is ready.
    void open(node& n, address const& front, address const& readiness,
              address const& metrics);
    // False: the effect is none of a caller's or of a call's.
    bool perform(node& n, core::effect const& it);

private:
    // gateway_callers.cpp
    void on_request(node& n, http_request in, responder_ptr out);
    void on_readiness(node& n, responder_ptr const& out);
    void on_caller_closed(node& n, std::uint64_t connection);
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

    dialect dialect_;
    std::unique_ptr<http_server> front_;
    std::unique_ptr<http_server> readiness_;
    std::unique_ptr<http_server> metrics_;
    std::map<core::request_id, open_caller> callers_;
    std::map<std::uint64_t, core::request_id> by_connection_;
    std::map<core::call_id, gateway_call> calls_;
    std::uint64_t next_request_ = 1;
};

} // namespace papayahook::runtime
