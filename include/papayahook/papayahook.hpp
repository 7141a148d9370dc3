// papayahook: serving on reclaimable instances. The one public header.
//
// Index of sections
//   [1] Time and names
//   [2] Outcomes, refusals and errors
//   [3] Configuration records   what operators publish on the log
//   [4] Messages between nodes
//   [5] Settings of the core
//   [6] Events                  all that can happen to a node
//   [7] Effects                 all that a node can ask its runtime to do
//   [8] State                   all that a node knows
//   [9] reduce()                event in, effects out
//
// Usage: keep one node_state, call reduce() for every event in the order in
// which they happened, carry out the effects in order. Nothing in here reads
// a clock, does I/O or draws random numbers; all of that enters as events.
// Thread safety: none; one thread owns a node_state.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace papayahook::core {

// ---------------------------------------------------------------------------
// [1] Time and names
// ---------------------------------------------------------------------------

using duration = std::chrono::microseconds;
using time_point = std::chrono::time_point<std::chrono::system_clock, duration>;

using request_id = std::string; // "<node>.<incarnation>.<number>"
using call_id = std::uint64_t;  // one attempt of a request at an endpoint
using offset = std::uint64_t;   // position in a stream of the log, from 1

enum class endpoint_kind
{
    model_runner,  // streams tokens, can continue from a given token
    plain_service, // any HTTP service
};

enum class priority_class
{
    order, // not repeatable, someone waits
    chat,  // someone reads along
    check, // someone waits for the whole
    job,   // overnight
};

// ---------------------------------------------------------------------------
// [2] Outcomes, refusals and errors
// ---------------------------------------------------------------------------

// What is known of a request that got no whole answer.
enum class outcome
{
    not_run,         // no endpoint ran it, and none will for this request
    outcome_unknown, // an endpoint may have run it
};

// Where a failure arose. Every refusal and log event carries one.
enum class step
{
    authenticate,
    admit,
    queue,
    claim,
    route,
    connect,
    send,
    receive,
    answer,
    shutdown,
};

struct refusal
{
    int status = 503;                // HTTP status for the caller
    outcome what = outcome::not_run; // never guessed: see docs/REFUSALS.md
    step where = step::admit;        // step that failed
    std::string peer;                // endpoint or node; may be empty
    std::string detail;              // one sentence for a person
    std::chrono::milliseconds retry_after{}; // zero: do not say
};

// ---------------------------------------------------------------------------
// [3] Configuration records
// ---------------------------------------------------------------------------

struct organisation
{
    std::string name;
    std::vector<std::string> key_digests; // SHA-256 of the bearer keys, hex
    double weight = 1.0;                  // share under contention
    int max_in_flight = 1000;             // per node
    std::optional<priority_class> klass;  // goes before the route's
    double quota_rate = 0;      // units a second, all nodes together; 0: none
    double quota_burst = 0;     // units
    bool counts_tokens = false; // a unit is a token; else a request
    int plain_tokens = 1;       // of a request that names no tokens
};

// How many endpoints of a pool may be ordered, and what they cost.
struct pool_scaling
{
    int least = 0; // per availability zone, both kinds together
    int most = 0;
    std::chrono::milliseconds boot{};
    double reclaimable_price = 1;            // of the price of the others
    std::map<std::string, double> zone_cost; // a second of one endpoint
};

struct pool
{
    std::string name;
    std::string health_path;
    int max_connections = 0;        // per endpoint, all nodes together; 0: any
    std::int64_t memory_tokens = 0; // of a model runner
    std::optional<pool_scaling> scaling;
};

struct weighted_pool
{
    std::string pool;
    double weight = 1;
};

struct endpoint
{
    std::string name;
    endpoint_kind kind = endpoint_kind::plain_service;
    std::string pool;                         // routes name a pool
    std::string address;                      // "ip:port"
    std::string zone;                         // availability zone
    std::string version;                      // of the model or service
    std::vector<std::string> schema_versions; // empty: takes any record
    int slots = 16;                           // requests run at once
    bool checks_fencing = false;              // refuses old fencing numbers
    std::string incarnation;                  // new one: same address is new
    bool reclaimable = false;
};

struct route
{
    std::string name;
    std::string pool;
    std::string version; // back-end version in force
    priority_class klass = priority_class::chat;
    bool repeatable = true; // false: runs at most once
    std::chrono::milliseconds deadline{30'000};
    std::chrono::milliseconds progress_timeout{2'000}; // quiet: failed
    bool whole_deadline = false;        // the deadline covers the last byte too
    std::string host;                   // with `path_prefix`: see match_route()
    std::string path_prefix;            // begins and ends with a slash
    std::vector<weighted_pool> splits;  // empty: all go to `pool`
    bool open = false;                  // needs no key
    bool streams = false;               // answers with server-sent events
    bool resumable = false;             // a stream may go on elsewhere
    int max_attempts = 0;               // calls of a request; 0: any
    std::chrono::milliseconds target{}; // to the first byte; zero: none
    bool stops_with_caller = false; // else orders and jobs go on without one
};

// Moves a route from its version to another by a deadline.
struct version_move
{
    std::string name;
    std::string route;
    std::string to;
    time_point deadline{};
    double canary_share = 0.02;     // until the version has shown itself
    int min_samples = 30;           // answers per stage before a verdict
    double max_bad_excess = 0.1;    // share of bad answers over the old one's
    double max_latency_ratio = 2.0; // slower than this x the old mean: bad
};

enum class move_end
{
    finished,
    taken_back,
};

// Written by nodes: a move goes on a stage, or ends.
struct move_step
{
    std::string move;
    int stage = 0;               // index into stage_shares
    std::optional<move_end> end; // set: the move ends here
    std::string reason;
    std::string node;
};

template <class T>
struct revisioned
{
    T value;
    offset revision = 0; // offset of the record in force
};

struct move_snapshot
{
    version_move spec;
    std::string from;
    int stage = 0;
    std::optional<move_end> end;
    std::string reason;
    offset started = 0;
    offset revision = 0;
    time_point stage_since{};
};

// All that is in force up to `applied`. Written by nodes before the log's
// retention takes records that still hold; also sent to peers that start
// while the log is down.
struct config_snapshot
{
    offset applied = 0;
    bool lists_endpoints = true; // false: these come one by one, as entries
    std::vector<pool> pools;
    std::vector<revisioned<organisation>> organisations;
    std::vector<revisioned<endpoint>> endpoints;
    std::vector<revisioned<route>> routes;
    std::vector<move_snapshot> moves;
};

using config_body = std::variant<organisation, endpoint, route, version_move,
                                 move_step, config_snapshot>;

// A record of the "config" stream. `replaces` is the revision it follows:
// the offset of the record now in force under the same kind and name, 0 for
// none. The first record by offset that follows the revision in force wins.
struct config_record
{
    std::string id; // unique; settles a lost append answer
    offset replaces = 0;
    bool remove = false; // takes the name out of force
    config_body body;
};

// What a registry says of one endpoint. The highest offset of a name holds.
struct endpoint_entry
{
    offset at = 0;
    std::string name;
    bool present = false;  // false: the registry dropped it
    bool draining = false; // takes no new work
    endpoint what;
};

// Requests of an organisation that began to run in a window of wall-clock
// time, by (window, organisation).
using usage_counts =
    std::map<std::int64_t, std::map<std::string, std::uint64_t>>;

// Moves a pool's traffic to another version by a deadline. What is known of it
// only grows: its stage, then its end. A higher order takes its place.
struct pool_move
{
    offset order = 0; // at which the operator's order stands
    std::string pool;
    std::string to; // version
    time_point deadline{};
    int stage = 0; // 0: a small share goes to the version, 1: all
    std::optional<move_end> end;
    std::string reason;
};

struct usage_report
{
    std::int64_t window = 0;
    std::map<std::string, std::uint64_t> counts; // by organisation
};

// A record of the "duties" stream. It renews its writer's lease; an intent
// stands there before its call, so that a successor repeats the same one.
struct duty_record
{
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t fencing = 0; // offset at which the holder took the lease
    bool release = false;      // the holder gives the lease up
    std::optional<usage_report> intent;
    std::optional<pool_move> move; // goes on a stage, or ends
};

struct duty_entry
{
    offset at = 0;
    duty_record record;
};

// A record of the "claims" stream: the right to run one request that is not
// repeatable, or what became of it.
enum class claim_kind
{
    claim,    // first by offset wins; only its writer ever dispatches
    answered, // the whole answer, shared with later callers of the key
    released, // proved not run: the next claim of the key may win
    unknown,  // may have run, answer lost: final
};

struct claim_record
{
    claim_kind kind = claim_kind::claim;
    std::string key;     // digest of organisation, route and idempotency key
    std::string request; // request id of the claim
    std::string body_digest; // same key with another body is refused
    int status = 0;          // answered: HTTP status
    std::string content_type;
    std::string body;
};

struct log_entry
{
    offset at = 0;
    time_point written{}; // stamped by the log
    std::string id;
    std::variant<config_record, claim_record> record;
};

// ---------------------------------------------------------------------------
// [4] Messages between nodes
// ---------------------------------------------------------------------------

inline constexpr int protocol_version = 3;

struct hello
{
    int protocol = protocol_version;
    std::string node;
    std::uint64_t incarnation = 0;
    std::string zone;
    std::string caller_address; // where callers' requests can be re-attached
    std::string peer_address;   // where other nodes dial it
    int capacity = 0;           // processor time, in 1/100 of a core
    std::string proof;          // keyed digest over the fields above
};

struct endpoint_load
{
    int calls = 0;  // in flight
    int tokens = 0; // of prompts, until the first token of each
};

// Loads by endpoint_key() of the endpoint's name; ascending, none is empty.
using endpoint_loads = std::vector<std::pair<std::uint32_t, endpoint_load>>;

// What a pool has to do, in endpoints.
struct pool_work
{
    double reading = 0; // kept busy by prompts
    double writing = 0; // whose slots are taken by calls
};

// Figures are sums over `nodes` nodes. Which ones, and whether `spent` and
// `usage` are totals or what has come since the last one, depends on how the
// two nodes stand to one another: see src/core/sums.cpp.
struct heartbeat
{
    offset config = 0; // highest offset applied
    int in_flight = 0;
    bool leaving = false;
    bool under = false;           // the sender takes the receiver for its hub
    bool parting = false;         // the sender closes this link and goes on
    std::size_t nodes = 1;        // 0: the figures below say nothing
    std::size_t listed_nodes = 0; // known from the registry
    std::chrono::milliseconds store_age{}; // of the registry's newest word
    std::map<std::string, double> demand;  // units a second, by organisation
    std::map<std::string, double> spent;   // units, likewise
    std::map<std::string, pool_work> work; // by pool
    endpoint_loads calls;
    usage_counts usage; // newest windows
};

// Spreads by flooding, each item once: a node relays what it did not know.
struct endpoint_leaving
{
    std::string endpoint;
    std::string incarnation;
    auto operator<=>(endpoint_leaving const&) const = default;
};

struct version_veto
{
    std::string move;
    offset started = 0; // revision of the move's own record
    std::string reason;
};

// Up or down by the word of a neighbour; a member refutes its own "down"
// with a higher sequence number.
struct member_news
{
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool up = false;
    std::string zone;
    std::string caller_address;
    std::string peer_address;
    int capacity = 0; // as in hello
};

// Cumulative counts of one node for one version under a move.
struct version_counts
{
    std::uint64_t answers = 0; // ended calls, whole or failed
    std::uint64_t failed = 0;
    std::uint64_t slow = 0; // first chunk late against the old version's mean
};

struct move_counts
{
    std::string move;
    std::string node;
    std::uint64_t incarnation = 0;
    offset started = 0;
    int stage = 0;
    version_counts from;
    version_counts to;
};

// A leaving node hands its requests over to `successor`, which may leave and
// name another one in turn.
struct successor_news
{
    std::string node;
    std::uint64_t incarnation = 0;
    std::string successor;
    bool operator==(successor_news const&) const = default;
};

struct news
{
    std::vector<endpoint_leaving> leaving;
    std::vector<version_veto> vetoes;
    std::vector<member_news> members;
    std::vector<move_counts> counts;
    std::vector<successor_news> successors;
    std::vector<endpoint_entry> endpoints;
};

// A caller's request as the core sees it.
struct request_arrived
{
    request_id id;
    std::string key_digest; // SHA-256 of the caller's bearer key
    std::string route;
    bool model = false;          // asked through a model path
    bool keep = false;           // goes on when the caller has gone
    std::string idempotency_key; // empty: none sent
    std::string body_digest;
    std::string schema_version; // empty: any
    std::optional<priority_class> klass;
    std::optional<std::chrono::milliseconds> deadline; // from now
    int prompt_tokens = 0;
    int answer_tokens = 0;                    // at most; 0: not known
    std::vector<std::uint64_t> prefix_blocks; // chained hashes of the prompt
    std::vector<int> block_tokens; // of each; empty: prefix_block_tokens each
};

// The same request as its caller sent it, without the key. The core does not
// read it; the runtime of the sending node fills it in.
struct caller_message
{
    std::string method;
    std::string path;
    std::string query;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

// A request that a leaving node passes on, with all of its answer so far.
struct hand_over
{
    int offer = 0; // grows with each offer of the request; the newest holds
    request_arrived asked;
    caller_message message;
    std::string organisation;
    priority_class klass = priority_class::chat;
    std::chrono::milliseconds left{}; // to its deadline
    std::string endpoint;             // where it ran: holds its prefix
    std::string version;              // fixed by the first chunk
    int status = 0;
    std::string content_type;
    bool head_sent = false;
    std::vector<std::string> chunks; // in order from 0
    bool ended = false;              // the answer is whole, or has failed
    std::optional<refusal> failure;
};

struct hand_over_answer
{
    request_id id;
    int offer = 0;
    bool taken = false;
};

struct config_request
{
    offset from = 0;
};

struct config_records
{
    std::vector<log_entry> entries;
};

// Spreads like news: each node passes on what it did not know.
struct pool_moves
{
    std::vector<pool_move> moves;
};

using peer_message =
    std::variant<hello, heartbeat, news, config_request, config_records,
                 config_snapshot, hand_over, hand_over_answer, pool_moves>;

// ---------------------------------------------------------------------------
// [5] Settings of the core
// ---------------------------------------------------------------------------

struct node_settings
{
    std::string name;
    std::string zone;
    std::uint64_t incarnation = 0; // grows with every start
    std::string caller_address;
    std::string peer_address; // where other nodes dial this one
    int capacity = 0;         // processor time, in 1/100 of a core
    std::string hello_proof;

    int max_queue = 2000;          // of one organisation before one pool
    std::size_t max_backlog = 256; // chunks held for a slow caller, then pause
    int max_attempts = 4;          // dispatches of one request
    double retry_budget = 0.2;     // retries per first dispatch, per pool
    double retry_burst = 20;       // retries that may come at once, per pool
    // Nodes that share retry_burst, if not more are known; 0: each has its own.
    int retry_sharers = 0;
    int claim_batch = 256;   // claim records per append
    int append_budget = 300; // appends of claims a second, all nodes together
    std::chrono::milliseconds outcome_linger{100};   // outcomes wait for claims
    std::size_t max_shared_body = 16 * 1024;         // answer kept on the log
    std::size_t max_shared_bytes = 16 * 1024 * 1024; // of all such answers
    std::chrono::milliseconds first_token_target{520}; // of 95 in 100 requests
    std::chrono::milliseconds service_wait{1'000};     // in a standing queue
    std::chrono::milliseconds hop_cost{2}; // endpoint in another zone
    std::chrono::microseconds prefill_per_token{100}; // until it is learned
    std::chrono::milliseconds endpoint_pause{1'000};  // after failures
    std::chrono::milliseconds report_horizon{6'000};  // older load: ignored
    std::chrono::milliseconds heartbeat_period{1'000};
    std::chrono::milliseconds peer_timeout{3'500};
    // A hub that is silent for so long is left for another one.
    std::chrono::milliseconds hub_timeout{2'500};
    // Reads the registry for all nodes, or by itself when their word is older
    // than this; zero: never.
    std::chrono::milliseconds store_word_age{0};
    std::chrono::milliseconds stage_time{3'000};     // shortest stay in a stage
    std::chrono::milliseconds move_margin{2'000};    // taken back this early
    std::chrono::milliseconds answer_linger{30'000}; // kept for re-attach
    std::chrono::milliseconds hand_over_after{1'000}; // of a leaving node
    bool hands_over = true; // false: requests end where they came in
    // A leaving node takes requests until callers know that it leaves, and
    // cuts what is left at the end of its time.
    std::chrono::milliseconds accept_while_leaving{0};
    std::chrono::milliseconds leave_within{3'600'000};
    std::chrono::milliseconds exit_linger{500}; // for the last bytes to leave
    double quota_overshoot = 0; // part of the rate that may be spent beyond
    double quota_slack = 0;     // units likewise
    std::chrono::milliseconds quota_window{1'000}; // in which both hold
    bool holds_duties = false;                     // takes part in the lease
    bool plans_fleet = false; // orders endpoints while it holds the lease
    std::chrono::milliseconds lease{3'000}; // no two holders within it
    std::chrono::milliseconds usage_window{5'000};
    std::chrono::milliseconds usage_delay{2'500}; // for counts to come in
    // Of a registry that was out of reach: dropped entries may come back.
    std::chrono::milliseconds relist_grace{2'000};
    std::chrono::seconds claim_horizon{86'400}; // at most the retention
    std::chrono::milliseconds append_retry{200};
    std::uint64_t checkpoint_every = 256; // config records
    std::chrono::seconds checkpoint_period{3'600};
};

// ---------------------------------------------------------------------------
// [6] Events
// ---------------------------------------------------------------------------

struct caller_gone
{
    request_id id;
};

// The runtime has handed the bytes below `index` to the caller's socket.
struct caller_drained
{
    request_id id;
    std::uint64_t index = 0;
};

// A caller asks again for an answer, from a given chunk on.
struct reattach
{
    request_id id;
    std::uint64_t from = 0;
};

struct answer_head
{
    call_id call = 0;
    int status = 200;
    std::string content_type;
    bool not_run = false; // the endpoint says that it did not run it
    bool leaving = false; // the endpoint says that it is leaving
    std::vector<std::pair<std::string, std::string>> headers; // others
};

// For a model runner one token with its index; else one piece of the body.
struct answer_chunk
{
    call_id call = 0;
    std::uint64_t index = 0;
    std::string data;
};

struct answer_end
{
    call_id call = 0;
    std::uint64_t chunks = 0; // total; fewer held: the answer is cut short
};

struct call_failed
{
    call_id call = 0;
    step where = step::connect;
    bool may_have_run = false;
    std::string detail;
};

struct log_read
{
    std::string stream; // "config" or "claims"
    offset start = 0;   // oldest offset that the log still holds
    offset end = 0;     // highest offset at the time of the read
    std::vector<log_entry> entries;
};

struct append_done
{
    std::uint64_t append = 0;
    bool ok = false;
    bool in_doubt = false; // may stand on the log all the same
};

struct log_reachable
{
    bool reachable = false;
};

struct peer_opened
{
    std::uint64_t link = 0;
};

struct peer_received
{
    std::uint64_t link = 0;
    peer_message message;
};

struct peer_closed
{
    std::uint64_t link = 0;
};

struct endpoint_report
{
    std::string endpoint;
    std::string incarnation;
    bool leaving = false;
    int running = 0;
    int waiting = 0;
};

struct listed_instance
{
    std::string endpoint;
    std::string incarnation;
    bool leaving = false;
};

// The platform's list of live and leaving instances; lags.
struct instance_list
{
    std::vector<listed_instance> instances;
};

// The runtime no longer relays the answer of a request that was handed over.
struct relay_ended
{
    request_id id;
};

// The configuration in force as one document; endpoints come as entries.
struct config_published
{
    config_snapshot what;
};

// Entries of the registry as they were read.
struct endpoints_listed
{
    std::vector<endpoint_entry> entries;
    // Set: these are all that it held at this offset; others were dropped.
    std::optional<offset> whole_at;
};

// Nodes that the registry or the settings name, whether or not they are up.
struct nodes_listed
{
    std::vector<member_news> nodes;
};

// A link that was to be dialled did not come about.
struct dial_failed
{
    std::string node;
};

struct duties_read
{
    offset end = 0; // offset of the next record
    std::vector<duty_entry> entries;
};

struct duty_append_done
{
    bool ok = false; // false: nothing is known; the stream will tell
};

struct endpoints_ordered
{
    std::string pool;
    std::string zone;
    bool reclaimable = false;
    int count = 0;
    bool ok = false;
    std::string why; // of a refusal
};

struct usage_reported
{
    std::int64_t window = 0;
    bool ok = false;
};

// An operator's order to move a pool to a version.
struct pool_move_ordered
{
    offset at = 0;
    std::string pool;
    std::string to;
    std::chrono::milliseconds within{}; // from now
};

struct pool_move_reported
{
    pool_move what;
    bool ok = false;
};

// The node's settings have changed; who it is stays as it was at the start.
struct settings_changed
{
    node_settings what;
};

struct shutdown_requested
{
};

struct tick
{
};

struct event
{
    time_point at{};
    std::variant<request_arrived, caller_gone, caller_drained, reattach,
                 answer_head, answer_chunk, answer_end, call_failed, log_read,
                 append_done, log_reachable, peer_opened, peer_received,
                 peer_closed, endpoint_report, instance_list, relay_ended,
                 config_published, endpoints_listed, nodes_listed, dial_failed,
                 duties_read, duty_append_done, usage_reported,
                 endpoints_ordered, pool_move_ordered, pool_move_reported,
                 settings_changed, shutdown_requested, tick>
        what;
};

// ---------------------------------------------------------------------------
// [7] Effects
// ---------------------------------------------------------------------------

struct refuse
{
    request_id id;
    refusal why;
};

struct dispatch
{
    request_id id;
    call_id call = 0;
    std::string endpoint;
    std::string address;
    endpoint_kind kind = endpoint_kind::plain_service;
    std::string version;
    std::string incarnation;  // of the endpoint
    std::string organisation; // of the caller
    priority_class klass = priority_class::chat;
    std::vector<std::string> resume_chunks; // tokens that the caller has
    bool fresh_connection = false; // true: must not go out on a reused one
    std::chrono::milliseconds timeout{};
};

struct cancel_call
{
    call_id call = 0;
};

struct pause_call
{
    call_id call = 0;
};

struct resume_call
{
    call_id call = 0;
};

struct send_head
{
    request_id id;
    int status = 200;
    std::string content_type;
    std::vector<std::pair<std::string, std::string>> headers;
};

struct send_chunk
{
    request_id id;
    std::uint64_t index = 0;
    std::string data;
};

struct finish_answer
{
    request_id id;
};

// The head was sent, the rest cannot be had: a typed error event, no end mark.
struct fail_answer
{
    request_id id;
    refusal why;
};

// Fetches the rest of a request that was handed over, for its caller here.
struct relay
{
    request_id id;
    std::string address; // of the node that took it
    std::uint64_t from = 0;
};

struct append
{
    std::uint64_t append = 0;
    std::string stream;
    std::string id; // same id on a retry
    std::vector<std::variant<config_record, claim_record>> records;
};

struct send_peer
{
    std::uint64_t link = 0;
    peer_message message;
};

struct close_peer
{
    std::uint64_t link = 0;
};

struct dial_peer
{
    std::string node;
    std::string address;
};

// What this node reads of the platform's store from now on.
struct follow_store
{
    bool registry = false; // configuration and endpoints
    bool duties = false;   // the "duties" stream and the list of nodes
};

// Appends to the "duties" stream if that still ends at `at`.
struct append_duty
{
    offset at = 0;
    duty_record record;
};

struct order_endpoints
{
    std::uint64_t fencing = 0;
    std::string pool;
    std::string zone;
    bool reclaimable = false;
    int count = 0; // of this kind in this availability zone
};

struct report_usage
{
    std::uint64_t fencing = 0;
    usage_report what;
};

// Tells the operator how a move of a pool stands.
struct report_pool_move
{
    pool_move what;
};

// A numbered event for the log; catalogue in docs/EVENTS.md.
struct log_event
{
    int number = 0;
    std::string subject; // request, move, endpoint, node
    std::string peer;
    std::string detail;
};

// A tick is due at this time, between the regular ones.
struct wake
{
    time_point at{};
};

struct exit_process
{
};

using effect =
    std::variant<refuse, dispatch, cancel_call, pause_call, resume_call,
                 send_head, send_chunk, finish_answer, fail_answer, relay,
                 append, send_peer, close_peer, dial_peer, follow_store,
                 append_duty, report_usage, order_endpoints, report_pool_move,
                 log_event, wake, exit_process>;
using effects = std::vector<effect>;

// ---------------------------------------------------------------------------
// [8] State
// ---------------------------------------------------------------------------

struct record_verdict
{
    std::string id;
    offset at = 0;
    bool accepted = false;
    std::string reason; // of a refusal; names the record that won
};

// A move as the log tells it, and what nodes measured under it.
struct move_state
{
    version_move spec;
    std::string pool; // set: of all its requests, not of one route
    std::string from; // of a pool: empty until the end, all but spec.to
    int stage = 0;
    std::optional<move_end> end;
    std::string reason;
    bool vetoed = false;         // stops the new version's share at once
    time_point step_due_since{}; // a step has been due here since then
    time_point step_asked_at{};  // last append of a step by this node
    offset started = 0;          // offset of the move's own record
    offset revision = 0;         // of the last record, steps included
    time_point stage_since{};
    version_counts own_from; // of the whole move, this node
    version_counts own_to;   // of this stage, this node
    double baseline_us = 0;  // moving mean of the old version's first token
    std::map<std::string, move_counts> others; // by node
    std::uint64_t offered = 0; // requests of the route seen in this stage
    std::uint64_t sent_to = 0; // of these, to the new version
    bool recorded = false;     // of a pool: stands on the "duties" stream
    int reports_left = 0;      // likewise: to the operator, of its state
    time_point report_at{};    // not before
};

struct configuration
{
    offset applied = 0;
    std::map<std::string, revisioned<organisation>> organisations;
    std::map<std::string, revisioned<endpoint>> endpoints;
    std::map<std::string, revisioned<route>> routes;
    std::map<std::string, move_state> moves;
    std::map<std::string, std::string> organisation_by_key;
    std::deque<record_verdict> verdicts; // newest last, bounded
    bool lists_endpoints = true;         // see config_snapshot
    std::map<std::string, pool> pools;
    std::map<std::string, std::vector<std::string>> routes_by_host;
    std::deque<log_entry> entries; // newest, for peers that lag
    offset checkpoint = 0;         // highest `applied` of a checkpoint seen
    time_point checkpoint_at{};
};

struct endpoint_state
{
    int in_flight = 0; // own calls
    int tokens = 0;    // own, of prompts whose first token is to come
    int reported = 0;  // running + waiting by its own report
    int own_at_report = 0;
    time_point reported_at{};
    int failures = 0; // in a row
    time_point paused_until{};
    std::string leaving_incarnation; // no new work for this incarnation
    bool leaving_any = false;        // leaving and its incarnation is not known
    double first_token_us = 0;       // moving average
    std::set<std::uint64_t> prefixes;
    std::deque<std::uint64_t> prefix_order; // oldest first
    endpoint_entry entry;                   // newest of the registry
    time_point gone_at{};                   // not listed: in use until then
};

// How many calls of a pool's version this node keeps open. Found from the
// answers alone: nodes share the runners without knowing of one another.
struct concurrency_limit
{
    int in_flight = 0;    // own calls
    double limit = 0;     // 0: none
    int seen = 0;         // first tokens since judged_at
    double late = 0;      // moving share of first tokens that were late
    bool reached = false; // a request waited for the limit since judged_at
    time_point judged_at{};
};

enum class request_phase
{
    queued,
    claiming,  // own claim not yet read back
    following, // another request holds the claim of the key
    calling,
    answering, // the caller has the head
    handed_over,
    done,
};

struct request_state
{
    request_arrived asked;
    std::string organisation;
    priority_class klass = priority_class::chat;
    bool repeatable = true;
    request_phase phase = request_phase::queued;
    time_point arrived{};
    time_point deadline{};
    double tag = 0; // fair queueing
    std::string claim_key;
    call_id call = 0; // 0: none open
    std::string endpoint;
    std::string pool;        // asked for, then of the endpoint
    std::string version;     // fixed by the first chunk
    std::string move;        // counted for this move
    bool counts_new = false; // sent to the move's new version
    bool slow = false;       // first chunk late against the old version
    int attempts = 0;
    bool may_have_run = false;
    bool caller_present = true;
    time_point call_started{};
    int prefill_tokens = 0; // of the open call, until its first token
    int prefill_ahead = 0;  // at the endpoint when the call began
    time_point progress_at{};
    int status = 0;
    std::string content_type;
    std::vector<std::pair<std::string, std::string>> headers;
    bool head_sent = false;
    bool first_chunk_seen = false;
    bool paused = false;
    std::vector<std::string> chunks;            // in order from 0
    std::map<std::uint64_t, std::string> early; // ahead of a gap
    std::uint64_t sent = 0;                     // chunks handed to the runtime
    std::uint64_t drained = 0;                  // chunks on the caller's socket
    std::optional<std::uint64_t> total;
    std::optional<refusal> failure;
    std::vector<std::string> tried; // endpoints that failed this request
    time_point ended{};
    int offer = 0;                     // newest hand-over made or taken
    std::uint64_t offered_to = 0;      // link; 0: no offer is open
    time_point offered_at{};           // newest offer, or end of a round
    std::vector<std::string> declined; // nodes that did not take it this round
    std::string taken_by;              // node that goes on with it
};

struct claim_state
{
    offset at = 0;
    std::string request; // holder
    std::string body_digest;
    time_point written{};
    claim_kind kind = claim_kind::claim;
    int status = 0;
    std::string content_type;
    std::string body;
    std::vector<request_id> followers; // requests here that wait for it
};

// An append not yet known to stand on the log; repeated with the same id.
struct pending_append
{
    append what;
    bool in_flight = true;
    time_point retry_at{};
};

struct once_state
{
    offset applied = 0;
    bool caught_up = false;       // read to the end since this node started
    time_point known_since{};     // older claims may have left the log unseen
    std::size_t shared_bytes = 0; // of bodies in claims
    std::map<std::string, claim_state> claims;
    std::deque<std::pair<time_point, std::string>> by_age;
    std::vector<claim_record> batch; // waits for the append in flight
    std::uint64_t append_open = 0;   // 0: none in flight
    time_point flushed_at{};         // last append of this node
    time_point outcomes_since{};     // oldest outcome in the batch
};

struct peer_state
{
    std::uint64_t link = 0;
    std::string node; // empty until its hello
    std::uint64_t incarnation = 0;
    std::string zone;
    std::string caller_address;
    time_point opened{}; // its hello came
    time_point heard{};
    bool closing = false; // by this node, which needs it no more
    heartbeat last;
    std::map<std::string, double> spending; // units a second, by organisation
    time_point spending_at{};               // newest word on that
    // Newest totals that the peer told; empty: it tells what is new instead.
    std::optional<std::map<std::string, double>> spent_totals;
    std::map<std::string, double> handed; // units that came from below
};

// A node that this one wants a link with, or has failed to reach.
struct dial_state
{
    time_point wanted_since{};
    time_point tried_at{};   // time_point{}: no try is open
    time_point not_before{}; // of the next one
};

// Units that an organisation may still spend here.
struct quota_state
{
    double left = 0;        // units of the own share
    double common = 0;      // units that all nodes together may still spend
    double spent = 0;       // units told to the other hubs since the start
    double fresh = 0;       // units since then, of this node and those below
    double seen = 0;        // units of all nodes, as far as was heard here
    double untold = 0;      // of these, from `common`, since the last heartbeat
    double share = 0;       // of the organisation's rate
    double demand = 0;      // units a second, moving mean
    double told_demand = 0; // as the peers know it
    double asked = 0;       // since counted_at
    time_point filled_at{};
    time_point counted_at{};
};

// The lease on the duties, and what its holder does.
struct duty_state
{
    bool read_once = false;
    offset end = 0;            // of the stream
    duty_record newest;        // holder empty: none yet
    time_point newest_seen{};  // when it was read here
    std::uint64_t fencing = 0; // of the own lease; 0: none
    time_point held_until{};   // of the own lease
    time_point asked_at{};     // newest append; time_point{}: none open
    time_point append_sent{};
    usage_counts own;   // of this node and those below, told to other hubs
    usage_counts fresh; // since then
    std::map<std::string, usage_counts> others;   // by node
    std::map<std::int64_t, usage_report> intents; // not known to be reported
    std::int64_t reported_to = 0;                 // windows below are reported
    std::int64_t reporting = 0;                   // call in flight; 0: none
    time_point report_at{};                       // not before
};

// Times to the first token over tokens to read: a straight line through the
// newest ones. What does not depend on the prompt falls into its offset.
struct prefill_fit
{
    double weight = 0; // of the samples, decaying
    double tokens = 0; // weighted sums
    double us = 0;
    double tokens_squared = 0;
    double tokens_us = 0;
};

// Endpoint time that requests of a pool ask for.
struct work_rate
{
    pool_work mean;     // moving
    double seconds = 0; // of reading since counted_at
    time_point counted_at{};
};

// An order of endpoints of one kind in one availability zone.
struct order_state
{
    int asked = -1; // by the newest call
    int told = -1;  // accepted; -1: nothing was ordered yet
    time_point told_at{};
    time_point not_before{};  // of the next call
    time_point lower_since{}; // fewer would do since then
};

// Why something was decided; a bounded ring, printed by papayahookctl explain.
struct decision
{
    time_point at{};
    std::string subject;
    std::string rule;
    std::string detail;
};

struct totals
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t refused_unknown = 0;
    std::uint64_t failed_answers = 0;
    std::uint64_t dispatches = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumed_streams = 0;
    std::uint64_t tokens_recomputed = 0;
    std::uint64_t appends = 0;
    std::uint64_t claims = 0;
    std::uint64_t peer_messages = 0;
    std::uint64_t handed_over = 0; // requests that a peer took
    std::uint64_t taken_over = 0;  // requests taken from leaving peers
};

// Upper ends of the buckets of histograms; one more bucket takes the rest.
inline constexpr std::array<std::chrono::milliseconds, 12> latency_bounds{
    std::chrono::milliseconds(5),     std::chrono::milliseconds(10),
    std::chrono::milliseconds(20),    std::chrono::milliseconds(50),
    std::chrono::milliseconds(100),   std::chrono::milliseconds(200),
    std::chrono::milliseconds(300),   std::chrono::milliseconds(500),
    std::chrono::milliseconds(800),   std::chrono::milliseconds(1'500),
    std::chrono::milliseconds(5'000), std::chrono::milliseconds(15'000)};

struct latency_histogram
{
    std::array<std::uint64_t, latency_bounds.size() + 1> counts{};
    duration sum{};
};

// Of callers' requests, from their arrival here.
struct latencies
{
    latency_histogram sent;        // to the first call
    latency_histogram first_chunk; // to the first byte of the answer
    latency_histogram whole;       // to the last one
};

// Waiting requests of one organisation by priority class, then fair tag.
using request_queue = std::set<std::tuple<priority_class, double, request_id>>;
using organisation_queues = std::map<std::string, request_queue>;

struct node_state
{
    node_settings settings;
    time_point now{};
    bool leaving = false;
    time_point leaving_since{};
    time_point last_ended{}; // of the requests of callers here
    bool log_reachable = false;
    configuration config;
    once_state once;
    std::map<std::string, endpoint_state> endpoints;
    std::unordered_map<request_id, request_state> requests;
    std::unordered_map<call_id, request_id> calls;
    std::map<std::string, organisation_queues> queues; // by pool
    std::map<std::string, time_point> queue_empty;  // by pool: last seen empty
    std::map<std::string, time_point> queue_joined; // by pool: newest entry
    std::map<std::pair<std::string, std::string>, concurrency_limit>
        limits;                                      // by pool and version
    std::map<std::uint64_t, pending_append> appends; // by number
    std::map<std::string, member_news> members;      // by node, self included
    std::map<std::string, double> fair_tag;          // by organisation
    double fair_now = 0;
    std::map<std::string, int> in_flight;       // by organisation
    std::map<std::string, double> retry_tokens; // by pool
    std::map<std::string, quota_state> quotas;  // by organisation
    std::size_t listed_nodes = 0; // in the registry, this one included
    std::uint64_t hub = 0; // link to the node above; 0: this one is a hub
    std::size_t rank = 0;  // among live nodes, for what a few do for all
    time_point links_planned_at{};
    time_point config_asked_at{};            // of a peer
    std::map<std::string, dial_state> dials; // by node
    std::unordered_map<std::uint32_t, endpoint_load>
        told; // by all peers together, by endpoint_key()
    // Moving mean of it, for many nodes: what is told there is older than most
    // calls last.
    std::unordered_map<std::uint32_t, double> told_mean;
    time_point store_as_of{}; // the registry's newest word that is known here
    follow_store follows;     // what is read of it now
    duty_state duties;
    std::map<std::string, work_rate> work; // of this node, by pool
    time_point work_since{};               // the first of it
    // By pool, zone and whether they are reclaimable.
    std::map<std::tuple<std::string, std::string, bool>, order_state> orders;
    time_point planned_at{};
    std::map<std::string, time_point> refused_at; // reclaimable ones, by pool
    time_point log_back_at{}; // the log answers again since then
    std::map<std::uint64_t, peer_state> peers; // by link
    std::set<endpoint_leaving> known_leaving;
    std::map<std::pair<std::string, offset>, std::string> vetoes;
    std::deque<successor_news> successors;    // newest last, bounded
    std::map<std::string, double> prefill_us; // a token, by pool; learned
    std::map<std::string, prefill_fit> prefill_fits; // likewise
    std::deque<decision> decisions;
    time_point heartbeat_at{};
    call_id next_call = 1;
    std::uint64_t next_append = 1;
    totals counts;
    latencies times;
};

// ---------------------------------------------------------------------------
// [9] reduce()
// ---------------------------------------------------------------------------

// Applies one event and appends what has to be done about it to `out`.
// Never throws for any event; unknown ids are ignored.
void reduce(node_state& state, event const& what, effects& out);

// Shares of the route that a move gives its new version, stage by stage; the
// first is the move's canary_share.
inline constexpr double stage_shares[] = {0.02, 0.1, 0.5, 0.9};
inline constexpr int last_stage = 3;

// Applies one entry of the "config" stream; also used by papayahookctl to
// tell whether a record was accepted. Returns the verdict.
record_verdict apply_config(configuration& config, log_entry const& entry);

// Installs a snapshot that is newer than what is applied; false otherwise.
bool install_snapshot(configuration& config, config_snapshot const& snapshot);
config_snapshot take_snapshot(configuration const& config);

// The oldest checkpoint in a read that closes the gap before its start;
// nullptr when there is none.
config_snapshot const* closing_checkpoint(log_read const& read);

// How many of so many nodes are hubs. Each hub keeps a link with each other
// one; each other node keeps one, with a hub of its zone if there is one.
std::size_t hub_count(std::size_t nodes);

// The key of an endpoint in a heartbeat.
std::uint32_t endpoint_key(std::string_view endpoint);

// The route of a host whose path prefix is the longest that begins the path;
// empty when none matches.
std::string match_route(configuration const& config, std::string_view host,
                        std::string_view path);

// Caller addresses of the nodes that may hold a request's answer, the
// likeliest first: the one that its id names, then those that took it over.
std::vector<std::string> holders_of(node_state const& state,
                                    request_id const& id);

// Members that are up by what this node knows, itself included.
std::ptrdiff_t live_members(node_state const& state);

// Tokens of a prompt that one entry of prefix_blocks stands for.
inline constexpr int prefix_block_tokens = 16;

std::uint64_t hash_of(std::string_view text);
std::string digest_of(std::string_view text); // 128 bits, hexadecimal

// Name of a record within its kind, and its kind ("route", "endpoint"...).
std::string record_name(config_body const& body);
std::string record_kind(config_body const& body);

// Revision now in force under the record's kind and name; 0 for none.
offset revision_in_force(configuration const& config, config_body const& body);

// Empty when the record is sound by itself, else what is wrong with it.
std::string check_record(config_body const& body);

// Short names for dumps, metrics and problem documents.
char const* to_string(outcome it);
char const* to_string(step it);
char const* to_string(endpoint_kind it);
char const* to_string(priority_class it);
char const* to_string(move_end it);
char const* to_string(claim_kind it);
char const* to_string(request_phase it);

} // namespace papayahook::core
