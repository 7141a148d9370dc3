// Event loop of a node: passes events to the core and carries out the effects.
#include "runtime/node.hpp"

#include "codec/json.hpp"
#include "runtime/arriving_requests.hpp"
#include "runtime/guard.hpp"
#include "runtime/heap.hpp"
#include "runtime/logging.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <cerrno>
#include <iostream>
#include <utility>

namespace papayahook::runtime {

namespace {

using namespace std::chrono_literals;

constexpr auto tick_period = 50ms;
constexpr auto listen_retry = 250ms;
constexpr auto awaited_log_period = 1s;

std::string make_proof(node const& n, core::hello const& it)
{
    return n.options.peer_keys.empty()
               ? std::string{}
               : codec::hello_proof(n.options.peer_keys.front(), it);
}

bool is_proof_valid(node const& n, core::hello const& it)
{
    return n.options.peer_keys.empty() ||
           std::ranges::any_of(n.options.peer_keys, [&](auto const& key) {
               return codec::hello_proof(key, it) == it.proof;
           });
}

// Encodes a snapshot once: all nodes under a hub ask it for the same
// configuration at the same time.
std::string const& encoded_snapshot(node& n, core::config_snapshot const& it)
{
    if (n.snapshot_bytes.empty() || n.snapshot_offset != it.applied) {
        n.snapshot_bytes = codec::message_to_cbor(it);
        n.snapshot_offset = it.applied;
    }
    return n.snapshot_bytes;
}

void perform(node& n, core::send_peer const& it)
{
    if (auto const* const snapshot =
            std::get_if<core::config_snapshot>(&it.message);
        snapshot != nullptr) {
        n.links->send(it.link, encoded_snapshot(n, *snapshot));
        return;
    }

    auto message = it.message;
    if (auto* const hello = std::get_if<core::hello>(&message))
        hello->proof = make_proof(n, *hello);
    auto* const offer = std::get_if<core::hand_over>(&message);
    if (offer != nullptr)
        offer->message = caller_message_of(n, offer->request.id);
    auto const bytes = codec::message_to_cbor(message);
    // Peers do not accept a message of this size. The offer counts as declined,
    // and the core continues the request on this node.
    if (offer != nullptr && bytes.size() > n.options.max_peer_message_bytes)
        handle(n, core::peer_received{
                      it.link, core::hand_over_answer{offer->request.id,
                                                      offer->offer, false}});
    else
        n.links->send(it.link, bytes);
}

void perform(node& n, core::close_peer const& it)
{
    n.links->close(it.link);
}

void perform(node&, core::log_event const& it)
{
    write_log(it);
}

void perform(node& n, core::wake const& it)
{
    if (n.wake_at && *n.wake_at <= it.at)
        return;
    n.wake_at = it.at;
    auto const delay =
        std::chrono::ceil<std::chrono::milliseconds>(it.at - now(n));
    run_after(n, std::max(delay, std::chrono::milliseconds(0)),
              [&n, at = it.at] {
                  if (n.wake_at != at)
                      return; // replaced by an earlier tick
                  n.wake_at.reset();
                  handle(n, core::tick{});
              });
}

// Duties and their stream need an adapter; without one, the settings do not
// enable them.
void perform(node&, core::append_duty const&) {}
void perform(node&, core::report_usage const&) {}
void perform(node&, core::order_endpoints const&) {}
void perform(node&, core::cancel_duty_calls const&) {}
void perform(node&, core::report_pool_move const&) {}

// Callers may still be reading their answers. Asked for again with every tick.
// A caller that connects now would be refused, and its connection takes time to
// end, so that a stream of them would keep the process for all of its drain
// time. Those that wait in the queues have until the next tick, also when the
// drain time is over: asio may have read their requests already.
void perform(node& n, core::exit_process const&)
{
    auto const& s = n.state;
    bool const has_time =
        s.now < s.leaving_since + core::duration(s.settings.drain_timeout);
    bool const listened = !std::exchange(n.has_stopped_listening, true);
    if (listened)
        std::ranges::for_each(n.listeners, &http_server::stop);
    if (listened)
        return;
    if (*n.unwritten == 0)
        arriving_requests::of(n.io)->end_answers();
    bool const has_answers = *n.unwritten != 0 || ending_connections(n.io) != 0;
    if (!has_answers || !has_time)
        n.io.stop();
}

void on_peer_bytes(node& n, link_id link, std::string const& bytes)
{
    core::peer_message message;
    try {
        message = codec::message_from_cbor(bytes);
    }
    catch (std::invalid_argument const& e) {
        write_log(
            {events::bad_peer_message, std::to_string(link), "", e.what()});
        n.links->close(link);
        return;
    }
    auto const* const hello = std::get_if<core::hello>(&message);
    if (hello != nullptr && !is_proof_valid(n, *hello)) {
        write_log({events::peer_proof_wrong, hello->node, "", ""});
        n.links->close(link);
        return;
    }
    auto const accept = [&] {
        if (auto const* const offer = std::get_if<core::hand_over>(&message))
            add_handed_over_request(n, *offer);
        handle(n, core::peer_received{link, std::move(message)});
    };
    if (!run_guarded("peer message", accept))
        n.links->close(link);
    else if (hello != nullptr)
        n.links->accept_messages(link);
}

void perform(node& n, core::dial_peer const& it)
{
    n.pending_dials[n.links->connect(it.address)] = it.node;
}

// Only an adapter carries out these effects.
void perform(node&, core::follow_store const&) {}
void perform(node&, core::announce_node const&) {}

void on_link_closed(node& n, link_id link)
{
    // The core does not know links that have not opened.
    auto const pending = n.pending_dials.extract(link);
    if (pending.empty())
        handle(n, core::peer_closed{link});
    else
        handle(n, core::dial_failed{pending.mapped()});
}

core::nodes_listed nodes_in_settings(node const& n)
{
    core::nodes_listed out;
    for (auto const& it : n.options.peers) {
        core::member_news peer;
        peer.node = it.name;
        peer.peer_address = it.address;
        out.nodes.push_back(std::move(peer));
    }
    return out;
}

void tick(node& n)
{
    run_guarded("tick", [&n] {
        handle(n, core::tick{});
        erase_ended_requests(n);
        trim_heap();
        flush_log();
    });
    n.tick_timer.expires_after(tick_period);
    n.tick_timer.async_wait([&n](auto ec) {
        if (!ec)
            tick(n);
    });
}

// What an end of the process at this moment would cut off.
std::string describe_open(node const& n)
{
    auto const open =
        std::ranges::count_if(n.state.requests, [](auto const& it) {
            return it.second.phase != core::request_phase::done;
        });
    return std::to_string(open) + " requests open, " +
           std::to_string(*n.unwritten) + " bytes not written";
}

// No signal, however often it comes, cuts short what an earlier one began.
void on_signal(node& n, int number)
{
    int const seen = ++n.signals_seen[number];
    write_log({events::signal_received, n.options.core.name, "",
               "SIG" + std::string(sigabbrev_np(number)) + ", number " +
                   std::to_string(seen) + "; " + describe_open(n)});
    if (number == SIGHUP && n.platform_adapter && n.has_started)
        run_guarded("reload", [&n] { n.platform_adapter->reload(n); });
    if (number == SIGTERM || number == SIGINT) {
        handle(n, core::shutdown_requested{});
        if (!n.has_started)
            n.io.stop(); // it has accepted nothing
    }
}

std::string describe_signals(node const& n)
{
    std::string out;
    for (auto const& [number, seen] : n.signals_seen)
        out += ", " + std::to_string(seen) + " SIG" + sigabbrev_np(number);
    return out;
}

std::system_error listen_error(std::string const& name, address const& at,
                               std::system_error const& why)
{
    return {why.code(), "cannot listen, " + name + " " + at.text()};
}

void open_builtin_interfaces(node& n)
{
    auto options = listener_options(n);
    options.address = n.options.admin.ip;
    options.port = n.options.admin.port;
    if (!n.admin)
        n.admin =
            listen(n, "admin", options, [&n](auto const& in, auto const& out) {
                on_admin_request(n, in, out);
            });
    options = caller_listener_options(n);
    options.address = n.options.caller.ip;
    options.port = n.options.caller.port;
    options.on_close = [&n](auto id) {
        asio::post(n.io, [&n, id] { on_caller_closed(n, id); });
    };
    if (!n.callers)
        n.callers = listen(n, "caller", options, [&n](auto in, auto out) {
            on_caller_request(n, std::move(in), std::move(out));
        });
}

void open_links(node& n)
{
    link_handlers handlers;
    handlers.on_open = [&n](link_id it, bool) {
        n.pending_dials.erase(it);
        handle(n, core::peer_opened{it});
    };
    handlers.on_message = [&n](link_id it, std::string const& bytes) {
        on_peer_bytes(n, it, bytes);
    };
    handlers.on_close = [&n](link_id it, std::string const&) {
        on_link_closed(n, it);
    };
    try {
        n.links = std::make_unique<peer_links>(
            n.io, n.options.peer.ip, n.options.peer.port,
            n.options.max_peer_message_bytes, n.limits.peers,
            std::move(handlers));
    }
    catch (std::system_error const& e) {
        throw listen_error("peer", n.options.peer, e);
    }
}

} // namespace

node::node(settings it, std::unique_ptr<runtime::adapter> adapter)
    : options(std::move(it)), limits(limits_of(options)),
      wall_at_start(std::chrono::system_clock::now()),
      boot_at_start(time_since_boot()), client(io, limits.endpoints),
      platform_adapter(std::move(adapter)), signals(io), tick_timer(io)
{
    options.core.peer_address = options.peer.text();
    state.settings = options.core;
    state.settings.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            wall_at_start.time_since_epoch())
            .count());
}

std::chrono::nanoseconds time_since_boot()
{
    timespec it{};
    clock_gettime(CLOCK_BOOTTIME, &it); // cannot fail for this clock
    return std::chrono::seconds(it.tv_sec) +
           std::chrono::nanoseconds(it.tv_nsec);
}

// The wall clock at the start plus the time elapsed since, including suspend.
// A later step of the wall clock does not move deadlines, and a lease expires
// on a machine that was suspended.
core::time_point now(node const& n)
{
    auto const elapsed = time_since_boot() - n.boot_at_start;
    return std::chrono::time_point_cast<core::duration>(
        n.wall_at_start +
        std::chrono::duration_cast<std::chrono::system_clock::duration>(
            elapsed));
}

http_server_options listener_options(node const& n)
{
    auto const& it = n.options;
    http_server_options out;
    out.max_body_bytes = it.max_body_bytes;
    out.max_arriving_bytes = it.max_arriving_bytes;
    out.max_unwritten_bytes = max_unwritten_bytes(it);
    out.header_timeout = it.header_timeout;
    out.min_rate = it.min_caller_rate;
    out.max_header_bytes = it.max_header_bytes;
    out.max_header_count = it.max_header_count;
    out.max_connections = n.limits.probes;
    out.unwritten = n.unwritten;
    out.idle_timeout = it.idle_timeout;
    out.write_timeout = it.write_timeout;
    return out;
}

http_server_options caller_listener_options(node const& n)
{
    auto out = listener_options(n);
    out.max_connections = n.limits.callers;
    out.open_connections = n.open_callers;
    out.max_intake_heap_bytes = n.options.max_intake_heap_bytes;
    out.max_heap_bytes = n.options.max_heap_bytes;
    return out;
}

std::unique_ptr<http_server> listen(node& n, std::string const& name,
                                    http_server_options const& options,
                                    http_server::handler on_request)
{
    try {
        auto out =
            std::make_unique<http_server>(n.io, options, std::move(on_request));
        n.listeners.push_back(out.get());
        return out;
    }
    catch (std::system_error const& e) {
        throw listen_error(name, {options.address, options.port}, e);
    }
}

void log_awaited_address(node& n, std::string const& why)
{
    auto const at = std::chrono::steady_clock::now();
    if (at < n.address_awaited_at + awaited_log_period)
        return;
    n.address_awaited_at = at;
    write_log({events::address_awaited, n.options.core.name, "", why});
    flush_log();
}

void run_after(node& n, std::chrono::milliseconds delay,
               std::function<void()> act)
{
    auto timer = std::make_shared<asio::steady_timer>(n.io, delay);
    timer->async_wait([timer, act = std::move(act)](auto ec) {
        if (!ec)
            act();
    });
}

void perform_effect(node& n, core::effect const& effect)
{
    if (n.platform_adapter == nullptr ||
        !n.platform_adapter->perform(n, effect))
        std::visit([&n](auto const& e) { perform(n, e); }, effect);
}

namespace {

constexpr int core_failed_status = 3;

// An effect that throws must not take the other effects of its event with it.
void carry_out(node& n, core::effect const& effect)
{
    std::string why;
    try {
        perform_effect(n, effect);
        return;
    }
    catch (...) {
        why = describe_exception();
        log_exception(codec::effect_name(effect));
    }
    run_guarded("failed effect", [&] { report_failed_effect(n, effect, why); });
}

// The state may be half changed, so the node ends as after SIGTERM, to be
// started anew. If even that does not end it, the loop is stopped.
void leave_after_failure(node& n)
{
    if (std::exchange(n.core_failed, true))
        return;
    n.events.push_back({now(n), core::shutdown_requested{}});
    run_after(n, n.state.settings.drain_timeout, [&n] { n.io.stop(); });
}

// What the core has decided before it threw is carried out: the state says that
// it was.
core::effects reduce_guarded(node& n, core::event const& it)
{
    core::effects out;
    auto const reduce = [&] {
        if (n.recording.is_open())
            n.recording << codec::event_to_line(it) << '\n';
        core::reduce(n.state, it, out);
    };
    if (!run_guarded("core", reduce))
        leave_after_failure(n);
    return out;
}

struct handling_scope
{
    explicit handling_scope(bool& it) : flag(it) { flag = true; }
    ~handling_scope() { flag = false; }
    handling_scope(handling_scope const&) = delete;
    handling_scope& operator=(handling_scope const&) = delete;

    bool& flag;
};

} // namespace

// An effect may cause the next event while it is carried out; that event is
// queued until the current one is done.
void handle(node& n, event_body what)
{
    n.events.push_back({now(n), std::move(what)});
    if (n.handling)
        return;
    handling_scope const scope(n.handling);
    while (!n.events.empty()) {
        auto const it = std::move(n.events.front());
        n.events.pop_front();
        for (auto const& effect : reduce_guarded(n, it))
            carry_out(n, effect);
    }
}

} // namespace papayahook::runtime

namespace papayahook::runtime {

namespace {

void start_builtin_interfaces(node& n)
{
    read_log(n, "config");
    read_log(n, "claims");
    read_instances(n);
    poll_endpoints(n);
    handle(n, nodes_in_settings(n));
}

void start(node& n)
{
    if (n.platform_adapter)
        n.platform_adapter->start(n);
    else
        start_builtin_interfaces(n);
    n.has_started = true;
    if (n.platform_adapter && n.signals_seen.contains(SIGHUP))
        n.platform_adapter->reload(n);
    write_log({events::node_started, n.options.core.name, "",
               "caller " + n.options.core.caller_address + " admin " +
                   n.options.admin.text() + " peer " + n.options.peer.text()});
    tick(n);
}

// The links come last: peers take a node that they reach for one that runs.
void open_listeners(node& n)
{
    if (n.platform_adapter)
        n.platform_adapter->open(n);
    else
        open_builtin_interfaces(n);
    if (!n.links)
        open_links(n);
}

// A process that still drains holds its addresses, and those of a machine may
// come later than its processes.
bool may_become_free(std::error_code const& ec)
{
    // Asio's category has no mapping to std::errc.
    return ec.value() == EADDRINUSE || ec.value() == EADDRNOTAVAIL;
}

void fail_start(node& n, char const* why)
{
    std::cerr << why << '\n';
    n.exit_status = 2;
    n.io.stop();
}

void start_when_listening(node& n)
{
    try {
        open_listeners(n);
        start(n);
    }
    catch (std::system_error const& e) {
        if (n.has_started || !may_become_free(e.code())) {
            fail_start(n, e.what());
            return;
        }
        log_awaited_address(n, e.what());
        run_after(n, listen_retry, [&n] { start_when_listening(n); });
    }
    catch (std::exception const& e) {
        fail_start(n, e.what());
    }
}

} // namespace

int run_node(settings it, std::unique_ptr<adapter> platform_adapter)
{
    int result = 0;
    try {
        block_signals();
        node n(std::move(it), std::move(platform_adapter));
        if (!n.options.record_file.empty()) {
            n.recording.open(n.options.record_file);
            n.recording << codec::settings_to_line(n.state.settings) << '\n';
        }
        n.signals.start([&n](int number) { on_signal(n, number); });
        n.io.poll(); // handles the signals that came before
        if (!n.state.leaving)
            start_when_listening(n);
        run_loop(n.io);
        write_log({events::node_stopped, n.options.core.name, "",
                   describe_open(n) + describe_signals(n)});
        result = n.core_failed ? core_failed_status : n.exit_status;
    }
    catch (std::system_error const& e) {
        std::cerr << e.what() << '\n';
        result = 2;
    }
    catch (...) {
        log_exception("start");
        std::cerr << "start: " << describe_exception() << '\n';
        result = 2;
    }
    flush_log();
    return result;
}

} // namespace papayahook::runtime
