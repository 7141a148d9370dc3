// One running node: the core's state and all that carries out its effects.
#pragma once

#include "runtime/caller_api.hpp"
#include "runtime/http_client.hpp"
#include "runtime/http_server.hpp"
#include "runtime/peer_links.hpp"
#include "runtime/settings.hpp"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <fstream>

namespace papayahook::runtime {

struct node;

// Meets callers, endpoints and the log in place of the product's own
// interfaces. Translates; what to do is decided in the core.
class adapter
{
public:
    virtual ~adapter() = default;
    virtual void start(node& n) = 0;  // opens listeners, begins to read
    virtual void reload(node& n) = 0; // the settings may have changed
    // False: the effect is carried out by the node itself.
    virtual bool perform(node& n, core::effect const& it) = 0;
};

// A caller's side of a request. Outlives the connection while the answer can
// be re-attached.
struct open_request
{
    http_request asked; // kept for retries
    std::string key_digest;
    answer_form form = answer_form::plain;
    std::string path;
    responder_ptr out; // empty when no caller is attached
    std::uint64_t connection_id = 0;
    int status = 0; // 0: no head yet
    std::string content_type;
    bool streaming = false; // the head is on the wire
    bool flush_posted = false;
    std::vector<std::string> pending; // chunks not yet written
    std::uint64_t next_index = 0;     // of the chunk after `pending`
    std::uint64_t relay = 0; // transfer that fetches the rest from a peer
};

// The endpoint's side of a call.
struct open_call
{
    std::uint64_t transfer = 0; // id in the client
    bool model = false;
    std::string line;             // incomplete event line of a runner
    std::uint64_t next_index = 0; // of the next chunk
    bool done_seen = false;       // the runner's end mark
    bool raw = false;             // body passed as it is
};

struct node
{
    node(settings it, std::unique_ptr<runtime::adapter> outside);

    settings set;
    asio::io_context io; // outlives all that uses it
    core::node_state state;
    std::chrono::system_clock::time_point wall_at_start;
    std::chrono::nanoseconds boot_at_start; // counts time asleep too
    http_client client;
    std::unique_ptr<runtime::adapter> outside; // empty: own interfaces
    std::unique_ptr<http_server> callers;
    std::unique_ptr<http_server> admin;
    std::unique_ptr<peer_links> links;
    asio::signal_set signals;
    asio::steady_timer ticker;
    std::deque<core::event> events; // waiting while one is being handled
    bool handling = false;
    std::optional<core::time_point> wake_at; // of the extra tick that waits
    int signals_seen = 0;
    std::uint64_t next_request = 1;
    std::map<core::request_id, open_request> requests;
    std::map<core::call_id, open_call> calls;
    core::offset snapshot_applied = 0; // of the configuration last sent whole
    std::string snapshot_bytes;
    std::map<link_id, std::string> dialled; // not open yet; by whose address
    std::size_t next_poll = 0;              // endpoint to ask for its load
    int log_failures = 0;                   // in a row
    std::ofstream record;
};

// node.cpp
// Runs until the node ends; returns the exit code.
int run_node(settings it, std::unique_ptr<adapter> outside);
// Time since the machine started, suspended time included.
std::chrono::nanoseconds time_since_boot();
core::time_point now(node const& n);
using event_body = decltype(core::event::what);
void handle(node& n, event_body what);
void after(node& n, std::chrono::milliseconds delay, std::function<void()> act);

// Limits of a listener by the settings; address and handlers are to be set.
http_server_options listener_options(settings const& it);

// Carries an effect out if `act` takes its type; else false.
template <class F>
bool carry_out_own(core::effect const& effect, F const& act)
{
    return std::visit(
        [&](auto const& it) {
            constexpr bool own = std::is_invocable_v<F, decltype(it)>;
            if constexpr (own)
                act(it);
            return own;
        },
        effect);
}

// callers.cpp
void on_caller_request(node& n, http_request in, responder_ptr out);
void on_caller_closed(node& n, std::uint64_t connection_id);
void forget_old_requests(node& n);
void perform(node& n, core::refuse const& it);
void perform(node& n, core::send_head const& it);
void perform(node& n, core::send_chunk const& it);
void perform(node& n, core::finish_answer const& it);
void perform(node& n, core::fail_answer const& it);
// What is written of an answer as it came, without events around it.
bool is_raw(open_request const& r);
void send_problem(responder_ptr const& out, core::request_id const& id,
                  core::refusal const& why);
// Puts the pending chunks on the wire; begins the stream with the first.
void flush_pending(node& n, core::request_id const& id, open_request& r);
// The request has no caller here any more.
void detach_caller(open_request& r);

// reattach.cpp
inline constexpr std::string_view requests_prefix = "/v1/requests/";
void on_reattach_request(node& n, http_request const& in,
                         responder_ptr const& out);
void perform(node& n, core::relay const& it);
// What the caller of a request sent, for the peer that takes it over.
core::caller_message message_of(node const& n, core::request_id const& id);
void take_message(node& n, core::hand_over const& it);

// endpoints.cpp
// Where a call failed, from http_result::step.
core::step step_of(std::string const& name);
void perform(node& n, core::dispatch const& it);
void perform(node& n, core::cancel_call const& it);
void perform(node& n, core::pause_call const& it);
void perform(node& n, core::resume_call const& it);
void poll_endpoints(node& n);

// platform.cpp
void perform(node& n, core::append const& it);
void read_log(node& n, std::string const& stream);
void read_instances(node& n);

// admin.cpp
void on_admin_request(node& n, http_request const& in,
                      responder_ptr const& out);

} // namespace papayahook::runtime
