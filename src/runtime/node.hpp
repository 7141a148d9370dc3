// A running node: the state of the core and the I/O that carries out its
// effects.
#pragma once

#include "runtime/caller_api.hpp"
#include "runtime/http_client.hpp"
#include "runtime/http_server.hpp"
#include "runtime/peer_links.hpp"
#include "runtime/settings.hpp"
#include "runtime/signals.hpp"
#include "runtime/topic_reader.hpp"

#include <asio/steady_timer.hpp>
#include <deque>
#include <fstream>
#include <vector>

namespace papayahook::runtime {

struct node;

// Connects a node to the callers, endpoints and log of another platform, in
// place of the built-in interfaces. Only translates; the core decides.
class adapter
{
public:
    virtual ~adapter() = default;
    // Opens the listeners that are not open yet. Throws std::system_error.
    virtual void open(node& n) = 0;
    virtual void start(node& n) = 0;  // starts reading; all listeners are open
    virtual void reload(node& n) = 0; // the settings may have changed
    // Returns false if the node is to carry out the effect itself.
    virtual bool perform(node& n, core::effect const& effect) = 0;
    virtual std::vector<topic_progress> topics() const { return {}; }
};

// The caller's side of a request. Outlives the caller's connection as long as
// a caller can re-attach to the answer.
struct open_request
{
    http_request request; // kept for retries
    std::string key_digest;
    answer_form form = answer_form::plain;
    std::string path;
    responder_ptr out; // null when no caller is attached
    std::uint64_t connection_id = 0;
    int status = 0; // 0: no head received yet
    std::string content_type;
    bool streaming = false; // the head has been sent
    bool flush_posted = false;
    std::vector<std::string> pending; // chunks not yet written
    std::uint64_t next_index = 0; // index of the chunk that follows `pending`
    // Id of the transfer that fetches the rest from a peer; 0: none.
    std::uint64_t relay_transfer = 0;
};

// The endpoint's side of a call.
struct open_call
{
    std::uint64_t transfer = 0; // id of the transfer in http_client
    bool model = false;
    std::string partial_line;     // incomplete event line of a runner
    std::uint64_t next_index = 0; // index of the next chunk
    bool done_seen = false;       // the runner's end mark was received
    bool raw = false;             // the body is passed on unchanged
};

struct node
{
    node(settings it, std::unique_ptr<runtime::adapter> adapter);

    settings options;
    connection_limits limits;
    asio::io_context io; // declared before its users, to outlive them
    core::node_state state;
    std::chrono::system_clock::time_point wall_at_start;
    std::chrono::nanoseconds boot_at_start; // includes time suspended
    http_client client;
    // Null: the node uses its built-in interfaces.
    std::unique_ptr<runtime::adapter> platform_adapter;
    // See http_server_options::unwritten; of all servers for callers.
    std::shared_ptr<std::size_t> unwritten = std::make_shared<std::size_t>(0);
    std::shared_ptr<std::size_t> open_callers =
        std::make_shared<std::size_t>(0); // connections
    std::unique_ptr<http_server> callers;
    std::unique_ptr<http_server> admin;
    std::unique_ptr<peer_links> links;
    signal_reader signals;
    asio::steady_timer tick_timer;
    std::deque<core::event> events; // queued while another one is handled
    bool handling = false;
    std::vector<http_server*> listeners; // as long as its loop runs
    bool has_started = false;            // its listeners are open
    bool has_stopped_listening = false;
    bool core_failed = false; // the state may be half changed
    int exit_status = 0;
    std::chrono::steady_clock::time_point address_awaited_at{}; // last line
    std::optional<core::time_point> wake_at; // time of the pending extra tick
    std::map<int, int> signals_seen;         // by signal number
    std::uint64_t next_request = 1;
    std::map<core::request_id, open_request> requests;
    std::map<core::call_id, open_call> calls;
    // Offset and CBOR encoding of the configuration snapshot sent last.
    core::offset snapshot_offset = 0;
    std::string snapshot_bytes;
    // Links that are not open yet, with the name of the dialled node.
    std::map<link_id, std::string> pending_dials;
    std::size_t next_poll = 0; // selects the endpoint to poll next
    int log_failures = 0;      // consecutive failed reads of the log
    std::ofstream recording;   // see settings::record_file
};

// node.cpp
// Runs a node until SIGTERM or SIGINT has drained it, which takes at most
// drain_timeout. Further signals neither hasten nor prolong that; only SIGQUIT
// and SIGKILL end a process at once. Returns the exit code: 2 when it cannot be
// started, 3 when the core has thrown, else 0.
int run_node(settings it, std::unique_ptr<adapter> platform_adapter);
// Time since boot, including time suspended.
std::chrono::nanoseconds time_since_boot();
// Opens a listener of this name. Throws std::system_error, which says the name
// and the address.
std::unique_ptr<http_server> listen(node& n, std::string const& name,
                                    http_server_options const& options,
                                    http_server::handler on_request);
core::time_point now(node const& n);
using event_body = decltype(core::event::body);
void handle(node& n, event_body what);
// Carries out an effect, by the adapter or by the node itself. May throw.
void perform_effect(node& n, core::effect const& effect);
void run_after(node& n, std::chrono::milliseconds delay,
               std::function<void()> act);
// Logs at most one line a second.
void log_awaited_address(node& n, std::string const& why);

// Listener limits from the settings; address and handlers are left unset.
http_server_options listener_options(node const& n);
// The same for the listeners of callers, which share their connections.
http_server_options caller_listener_options(node const& n);

// Calls `act` with the effect if it accepts the type; else returns false.
template <class F>
bool perform_if_callable(core::effect const& effect, F const& act)
{
    return std::visit(
        [&](auto const& it) {
            constexpr bool callable = std::is_invocable_v<F, decltype(it)>;
            if constexpr (callable)
                act(it);
            return callable;
        },
        effect);
}

// Starts a call of an endpoint and keeps its record, which has the member
// `transfer`. It is kept first: once the call is started, it may have run.
template <class Record>
void start_call(http_client& client, std::map<core::call_id, Record>& calls,
                core::call_id id, Record record, http_call call)
{
    auto const added = calls.emplace(id, std::move(record)).first;
    try {
        added->second.transfer = client.start(std::move(call));
    }
    catch (...) {
        calls.erase(added);
        throw;
    }
}

// failed_effects.cpp
void report_failed_effect(node& n, core::effect const& effect,
                          std::string const& why);

// callers.cpp
void on_caller_request(node& n, http_request in, responder_ptr out);
void on_caller_closed(node& n, std::uint64_t connection_id);
void erase_ended_requests(node& n);
void perform(node& n, core::refuse const& it);
void perform(node& n, core::send_head const& it);
void perform(node& n, core::send_chunk const& it);
void perform(node& n, core::finish_answer const& it);
void perform(node& n, core::fail_answer const& it);
// True if the answer is written unchanged, not as events or JSON.
bool is_raw(open_request const& r);
void send_problem(responder_ptr const& out, core::request_id const& id,
                  core::refusal const& why);
// Sends the head if it has not been sent yet, then the pending chunks.
void flush_pending(node& n, core::request_id const& id, open_request& r);
// Detaches the caller from a request and discards what was not written.
void detach_caller(open_request& r);

// reattach.cpp
inline constexpr std::string_view requests_prefix = "/v1/requests/";
void on_reattach_request(node& n, http_request const& in,
                         responder_ptr const& out);
void perform(node& n, core::relay const& it);
// Returns what the caller of a request sent, for the peer that takes it over.
core::caller_message caller_message_of(node const& n,
                                       core::request_id const& id);
void add_handed_over_request(node& n, core::hand_over const& it);

// endpoint_calls.cpp
// Step at which a call failed; `name` is http_result::step.
core::step step_of(std::string const& name);
void perform(node& n, core::dispatch const& it);
void perform(node& n, core::cancel_call const& it);
void perform(node& n, core::pause_call const& it);
void perform(node& n, core::resume_call const& it);
void perform(node& n, core::check_endpoint const& it);
void poll_endpoints(node& n);

// platform_client.cpp
void perform(node& n, core::append const& it);
void read_log(node& n, std::string const& stream);
void read_instances(node& n);

// admin.cpp
void on_admin_request(node& n, http_request const& in,
                      responder_ptr const& out);

} // namespace papayahook::runtime
