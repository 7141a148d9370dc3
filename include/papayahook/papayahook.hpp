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
// which they happened, and carry out the effects in order. The core reads no
// clock, does no I/O and draws no random numbers; all of that comes in as
// events. Thread safety: none; one thread owns a node_state.
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
using call_id = std::uint64_t;  // number of a call of this node, from 1
using offset = std::uint64_t;   // position in a stream of the log, from 1

// Rises by one each time the platform's store comes back from an older copy.
// Records written since that copy are gone, and their offsets are given out
// again. 0: not stated.
using store_era = std::uint64_t;
inline constexpr store_era max_store_era = 1U << 20;

// Time from a return in which the store's other writers write again what its
// copy lacks. Until then a complete list of a topic may lack it.
inline constexpr std::chrono::seconds rewrite_time{10};

// Bits of an offset in a place.
inline constexpr int era_shift = 32;

// Returns the place of a record of the store's topics, from 1: its offset,
// which begins at 0, below the number of returns. In the first era, and if the
// store states none, it depends on the offset alone.
constexpr offset place_in(store_era era, offset at)
{
    return (era > 1 ? (era - 1) << era_shift : 0) + at + 1;
}

// Returns whether the store gave out both places without a return in between,
// so that the higher one is the later one.
constexpr bool same_era(offset a, offset b)
{
    return a >> era_shift == b >> era_shift;
}

enum class endpoint_kind
{
    model_runner,  // streams tokens; can continue after given tokens
    plain_service, // any HTTP service
};

// Urgency of a request, most urgent first.
enum class priority_class
{
    order, // an action that must not run twice; its caller waits
    chat,  // a stream that a person reads while it is produced
    check, // an answer whose caller waits for all of it
    job,   // batch work, such as overnight runs
};

// ---------------------------------------------------------------------------
// [2] Outcomes, refusals and errors
// ---------------------------------------------------------------------------

// What is known about the execution of a request that got no complete answer.
enum class outcome
{
    not_run,         // no endpoint ran it, and none will run this request
    outcome_unknown, // an endpoint may have run it
};

// Where a failure occurred. Every refusal carries one; log events of refusals
// and of failed calls name it in their detail.
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
    int status = 503; // HTTP status sent to the caller
    // Never guessed; see docs/REFUSALS.md.
    outcome known_outcome = outcome::not_run;
    step failed_step = step::admit;          // step that failed
    std::string peer;                        // endpoint or node; may be empty
    std::string detail;                      // one sentence for a person
    std::chrono::milliseconds retry_after{}; // zero: not sent
};

// ---------------------------------------------------------------------------
// [3] Configuration records
// ---------------------------------------------------------------------------

struct organisation
{
    std::string name;
    std::vector<std::string> key_digests; // SHA-256 of the bearer keys, hex
    double weight = 1.0;                  // relative share under contention
    int max_in_flight = 1000;             // open requests per node
    std::optional<priority_class> klass;  // replaces the class of the route
    double quota_rate = 0;      // units per second, over all nodes; 0: no quota
    double quota_burst = 0;     // units, over all nodes
    bool counts_tokens = false; // true: a unit is a token; false: a request
    int default_tokens = 1;     // tokens charged to a request that states none
};

// How many endpoints of a pool may be ordered, and what they cost. Times and
// costs are decoded and passed on, but not yet used by any decision.
struct pool_scaling
{
    int min_per_zone = 0; // per availability zone, reclaimable or not
    int max_per_zone = 0; // per availability zone, reclaimable or not
    std::chrono::milliseconds boot_time{};   // time until an endpoint is ready
    double reclaimable_price = 1;            // fraction of the full price
    std::map<std::string, double> zone_cost; // per endpoint and second, by zone
};

struct pool
{
    std::string name;
    std::string health_path; // not yet used
    // Per endpoint, over all nodes; 0: no limit. Not yet used.
    int max_connections = 0;
    // KV cache of a model runner, in tokens. Not yet used.
    std::int64_t memory_tokens = 0;
    std::optional<pool_scaling> scaling;
    // How long an endpoint is cold after its start. Not yet used: the entries
    // of endpoints state how long each is cold.
    std::chrono::milliseconds cold_time{};
    // Requests per second that a cold endpoint can handle; 0: no limit.
    double cold_rate = 0;
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
    std::vector<std::string> schema_versions; // empty: accepts any record
    int slots = 16;                           // calls that run concurrently
    bool checks_fencing = false; // rejects old fencing tokens; not yet used
    std::string incarnation;  // differs for each instance at the same address
    bool reclaimable = false; // on an instance that may be reclaimed
};

struct route
{
    std::string name;
    std::string pool;
    std::string version; // back-end version in force
    priority_class klass = priority_class::chat;
    bool repeatable = true;                     // false: runs at most once
    std::chrono::milliseconds deadline{30'000}; // until the first byte
    // A call without progress for this time has failed. A request that is not
    // repeatable waits at least until its deadline.
    std::chrono::milliseconds progress_timeout{2'000};
    bool deadline_covers_body = false; // true: `deadline` is for the last byte
    std::string host;        // matched with `path_prefix`: match_route()
    std::string path_prefix; // begins and ends with a slash
    std::vector<weighted_pool> splits; // empty: all requests go to `pool`
    bool anonymous = false;            // accepts callers without a key
    bool streams = false;              // answers with server-sent events
    bool resumable = false; // a stream may continue at another endpoint
    int max_attempts = 0;   // calls per request; 0: node_settings decides
    // Until the first byte; zero: none. Not yet used.
    std::chrono::milliseconds first_byte_target{};
    // False: jobs, and other requests that are not repeatable and already sent
    // or claimed, continue after their caller has disconnected.
    bool cancel_on_disconnect = false;
};

// Moves a route from its version to another by a deadline.
struct version_move
{
    std::string name;
    std::string route;
    std::string to;
    time_point deadline{};
    double canary_share = 0.02;  // share of stage 0, until it is shown good
    int min_samples = 30;        // answers per stage before a good verdict
    double max_bad_excess = 0.1; // share of bad answers above the old version's
    // An answer is also bad if its first token takes longer than this factor
    // times the mean of the old version.
    double max_latency_ratio = 2.0;
};

enum class move_end
{
    finished,
    taken_back,
};

// Record by which a node advances a move to its next stage or ends it.
struct move_step
{
    std::string move;
    int stage = 0;               // index into stage_shares
    std::optional<move_end> end; // set: the move ends with this record
    std::string reason;
    std::string node; // node that wrote the record
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
    offset started = 0;  // offset of the move's own record
    offset revision = 0; // offset of its newest record, steps included
    time_point stage_since{};
};

// What a configuration is ordered by.
struct config_revision
{
    // Rises with each change by the operator, also across returns of the
    // store; 0: not stated.
    std::uint64_t version = 0;
    offset at = 0;
};

// Configuration in force up to the offset `applied`. Nodes write snapshots
// before the retention of the log deletes records that are still in force, and
// send them to peers that start while the log is unavailable.
struct config_snapshot
{
    offset applied = 0;
    std::uint64_t version = 0;   // see config_revision
    bool lists_endpoints = true; // false: endpoints arrive as endpoint_entry
    std::vector<pool> pools;
    std::vector<revisioned<organisation>> organisations;
    std::vector<revisioned<endpoint>> endpoints;
    std::vector<revisioned<route>> routes;
    std::vector<move_snapshot> moves;
};

using config_body = std::variant<organisation, endpoint, route, version_move,
                                 move_step, config_snapshot>;

// A record of the "config" stream. `replaces` is the revision on which the
// record is based: the offset of the record in force under the same kind and
// name, 0 for none. Of all records based on the revision in force, the first
// by offset takes effect; the others are refused.
struct config_record
{
    std::string id; // unique; identifies the record when an append is in doubt
    offset replaces = 0;
    bool remove = false; // true: removes the name
    config_body body;
};

// State of one endpoint in the registry. For each name the entry with the
// highest place is in force; across a return of the store, the one that the
// endpoint wrote last.
struct endpoint_entry
{
    offset at = 0; // see place_in()
    std::string name;
    bool present = false;  // false: removed from the registry
    bool draining = false; // accepts no new work
    endpoint value;        // not set in an entry that was removed
    // Rises with each write of the endpoint's incarnation; 0: not stated.
    std::uint64_t sequence = 0;
    // Removed because the store has come back without it.
    bool missing = false;
    // How much longer it is cold, as of the arrival of the entry.
    std::chrono::milliseconds cold_left{};
};

// Whether an availability zone is evacuated. For each zone the entry with the
// highest place is in force.
struct zone_evacuation
{
    offset at = 0; // see place_in()
    std::string zone;
    bool active = false;
    bool operator==(zone_evacuation const&) const = default;
};

// Requests of each organisation that began to run, by (window, organisation).
// The number of a window is the wall-clock time since the epoch divided by
// node_settings::usage_window.
using usage_counts =
    std::map<std::int64_t, std::map<std::string, std::uint64_t>>;

// Moves the traffic of a pool to another version by a deadline. A move only
// advances: to its next stage, then to its end. An order with a higher place
// replaces it; across a return of the store, one with another version.
struct pool_move
{
    offset order = 0; // place of the operator's order, see place_in()
    std::string pool;
    std::string to; // version
    time_point deadline{};
    int stage = 0; // 0: the version gets a small share; 1: all requests
    std::optional<move_end> end;
    std::string reason;
};

struct usage_report
{
    std::int64_t window = 0;                     // see usage_counts
    std::map<std::string, std::uint64_t> counts; // by organisation
};

// A holder of the lease that may have made calls a short time ago.
struct recent_holder
{
    std::string holder;
    std::chrono::milliseconds idle_for{}; // since its last possible call
};

// A record of the "duties" stream. Each record renews its writer's lease. An
// intent is written before its call is made, so that a later holder of the
// lease repeats the identical call.
struct duty_record
{
    std::string holder;
    std::uint64_t incarnation = 0;
    // Fencing token: the place of the record that took the lease; 0 in that
    // record.
    std::uint64_t fencing = 0;
    bool release = false;               // true: the holder gives up the lease
    std::optional<usage_report> intent; // report that is about to be sent
    std::optional<pool_move> move;      // order, new stage or end of a move
    // Earlier holders, the writer's own instance included, as of the record.
    std::vector<recent_holder> earlier_holders;
    // Highest era that the writer knew. Read in another one, a record says
    // nothing about the lease. 0: not stated.
    store_era era = 0;
    // Windows below it have been reported, or never will be; 0: not stated.
    std::int64_t next_window = 0;
};

struct duty_entry
{
    offset at = 0; // in the "duties" stream, from 0
    duty_record record;
};

// Kind of a record of the "claims" stream: the right to run one request that
// is not repeatable, or the outcome of that request.
enum class claim_kind
{
    claim,    // the first by offset wins; only its writer ever dispatches
    answered, // the complete answer, shared with later callers of the key
    released, // proven not run; the next claim of the key may win
    unknown,  // may have run, and its answer is lost; final
};

struct claim_record
{
    claim_kind kind = claim_kind::claim;
    // "<organisation>:<digest of route and idempotency key>"
    std::string key;
    std::string request;     // id of the request that holds the claim
    std::string body_digest; // the same key with another body is refused
    int status = 0; // HTTP status if answered; 0: the answer is not stored
    std::string content_type;
    std::string body;
};

struct log_entry
{
    offset at = 0;
    time_point written{}; // time stamped by the log
    std::string id;
    std::variant<config_record, claim_record> record;
};

// ---------------------------------------------------------------------------
// [4] Messages between nodes
// ---------------------------------------------------------------------------

// Peers with another protocol version are refused.
inline constexpr int protocol_version = 3;

struct hello
{
    int protocol = protocol_version;
    std::string node;
    std::uint64_t incarnation = 0;
    std::string zone;
    std::string caller_address; // where callers can re-attach to requests
    std::string peer_address;   // where other nodes dial this node
    int capacity = 0;           // processor time, in 1/100 of a core
    std::string proof; // keyed digest of all fields above except `capacity`
};

struct endpoint_load
{
    int calls = 0;  // in flight
    int tokens = 0; // prompt tokens of calls whose first token is pending
};

// Loads by endpoint_key() of the endpoint's name, in ascending order. Entries
// without calls and tokens are left out.
using endpoint_loads = std::vector<std::pair<std::uint32_t, endpoint_load>>;

// Work of a pool, as a number of endpoints.
struct pool_work
{
    double prefill = 0; // endpoints that prompts keep busy
    double decode = 0;  // endpoints whose slots are occupied by calls
};

// Hashes of what a node knows. A node sends a new peer only what differs.
struct news_digests
{
    std::uint64_t members = 0;
    // Their entries, which are leaving, and the zones evacuated.
    std::uint64_t endpoints = 0;
};

// `demand`, `spent`, `work`, `calls` and `usage` are aggregates over `nodes`
// nodes. Which nodes these are, and whether `spent` and `usage` are totals or
// increments since the last heartbeat, depends on whether the sender and the
// receiver are hubs or in the subtree of a hub; see src/core/aggregation.cpp.
struct heartbeat
{
    offset config = 0; // offset of the configuration applied by the sender
    std::uint64_t config_version = 0; // see config_revision
    int in_flight = 0;                // calls of the sender
    bool leaving = false;             // the sender is shutting down
    bool receiver_is_hub = false;     // the sender uses the receiver as its hub
    bool closing_link = false; // the sender closes this link but keeps running
    std::size_t nodes = 1;     // 0: the message has no aggregates
    std::size_t listed_nodes = 0; // nodes listed by the registry
    // Age of the sender's registry state, which is complete as of then.
    std::chrono::milliseconds store_age{};
    store_era era = 0;    // highest era that the sender knows
    time_point sent_at{}; // by the sender's clock; time_point{}: not stated
    // Newest `sent_at` of the receiver that the sender has read; time_point{}:
    // not stated.
    time_point echoed_at{};
    std::optional<news_digests> known;     // in the first heartbeat on a link
    std::map<std::string, double> demand;  // units per second, by organisation
    std::map<std::string, double> spent;   // units, by organisation
    std::map<std::string, pool_work> work; // by pool
    endpoint_loads calls;
    usage_counts usage; // newest windows only
};

// Stated by a node that has no registry state yet.
inline constexpr std::chrono::milliseconds unknown_store_age =
    std::chrono::hours(24);

// Propagated by flooding: a node forwards each item once, when it is new to it.
struct endpoint_leaving
{
    std::string endpoint;
    std::string incarnation;
    auto operator<=>(endpoint_leaving const&) const = default;
};

struct version_veto
{
    std::string move;
    offset started = 0; // offset of the move's own record or order
    std::string reason;
};

// State of a member as its peers report it. A member that is wrongly reported
// as down refutes that with a higher sequence number.
struct member_news
{
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool up = false;
    std::string zone;
    std::string caller_address;
    std::string peer_address;
    int capacity = 0; // processor time, in 1/100 of a core
};

// Cumulative counts of one node for one version under a move.
struct version_counts
{
    std::uint64_t answers = 0; // ended calls, complete or failed
    std::uint64_t failed = 0;
    std::uint64_t slow = 0; // first chunk late against the old version's mean
};

struct move_counts
{
    std::string move;
    std::string node;
    std::uint64_t incarnation = 0;
    offset started = 0; // offset of the move's own record or order
    int stage = 0;
    version_counts from;
    version_counts to;
};

// A leaving node hands its requests over to `successor`, which may leave as
// well and name another successor.
struct successor_news
{
    std::string node;
    std::uint64_t incarnation = 0;
    std::string successor;
    bool operator==(successor_news const&) const = default;
};

enum class part_status
{
    suspected,   // an endpoint ended while it had a prompt with the part
    quarantined, // no request with the part is sent to an endpoint
    cleared,     // a prompt with the part was answered
};

// What a node has found out about a part of prompts.
struct part_news
{
    std::uint64_t part = 0; // see request_arrived::shared_parts
    part_status status = part_status::suspected;
    std::uint64_t incarnation = 0; // suspected: hash of the one that ended
    // Suspected: the call began after another endpoint had ended under the
    // part.
    bool independent = false;
    std::chrono::milliseconds age{0}; // suspected: time since the end
    int probes = 0; // quarantined: requests sent nevertheless so far
};

struct news
{
    std::vector<endpoint_leaving> leaving;
    std::vector<version_veto> vetoes;
    std::vector<member_news> members;
    std::vector<move_counts> counts;
    std::vector<successor_news> successors;
    std::vector<endpoint_entry> endpoints;
    std::vector<part_news> parts;
    std::vector<zone_evacuation> evacuations;
};

// A caller's request as the core sees it.
struct request_arrived
{
    request_id id;
    std::string key_digest; // SHA-256 of the caller's bearer key, hex
    std::string route;
    bool via_model_path = false; // sent to a model path or a resumable route
    // Continues after its caller has disconnected.
    bool run_without_caller = false;
    std::string idempotency_key; // empty: none sent
    std::string body_digest;
    std::string schema_version; // empty: any
    // Empty: the class of the organisation, else that of the route.
    std::optional<priority_class> klass;
    // Time from now, at most the route's deadline; empty: that deadline.
    std::optional<std::chrono::milliseconds> deadline;
    int prompt_tokens = 0;
    int max_answer_tokens = 0;                // upper bound; 0: not known
    std::vector<std::uint64_t> prefix_blocks; // chained hashes of the prompt
    // Tokens of each block; empty: prefix_block_tokens in each.
    std::vector<int> block_tokens;
    // Identities of the parts of the prompt that other requests may have as
    // well. Unlike a block, a part is the same wherever it stands.
    std::vector<std::uint64_t> shared_parts;
    // Memory that the request takes until its end, of this event as well.
    std::size_t body_bytes = 0;
};

// The original HTTP request without the caller's key. The core does not read
// it; the runtime of the sending node fills it in.
struct caller_message
{
    std::string method;
    std::string path;
    std::string query;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

// A request that a leaving node hands over, with all of its answer so far.
struct hand_over
{
    int offer = 0; // increases with each offer of the request; highest wins
    request_arrived request;
    caller_message message;
    std::string organisation;
    priority_class klass = priority_class::chat;
    std::chrono::milliseconds time_left{}; // time left until its deadline
    std::string endpoint; // ran it last and has its prefix cached
    std::string version;  // fixed by the first chunk
    int status = 0;
    std::string content_type;
    bool head_sent = false;
    std::vector<std::string> chunks; // in order from 0
    bool ended = false;              // the answer is complete or has failed
    std::optional<refusal> failure;
};

struct hand_over_answer
{
    request_id id;
    int offer = 0;
    bool accepted = false; // true: the sender continues the request
};

struct config_request
{
    offset from = 0;           // first offset wanted
    std::uint64_t version = 0; // of the sender's configuration
};

struct config_records
{
    std::vector<log_entry> entries;
};

// Propagated by flooding, like news: a node forwards what is new to it.
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
    std::uint64_t incarnation = 0; // increases with every start
    std::string caller_address;
    std::string peer_address; // where other nodes dial this node
    int capacity = 0;         // processor time, in 1/100 of a core
    std::string hello_proof;  // see hello::proof

    int max_queue = 2000; // waiting requests per organisation and pool
    // Chunks buffered for a slow caller before its call is paused.
    std::size_t max_backlog = 256;
    // Bytes buffered for a slow caller before its call is paused.
    std::size_t max_backlog_bytes = 1024 * 1024;
    // Bytes of all answers that are held to be continued or sent again. Beyond
    // it the largest ones are only passed on.
    std::size_t max_held_bytes = 64UL * 1024 * 1024;
    // Bytes of the bodies of all open requests. What does not fit is refused.
    std::size_t max_request_bytes = 64UL * 1024 * 1024;
    int max_attempts = 4; // calls per request, if the route sets no limit
    // Plain services continue a stream after the last event that the caller
    // has, as model runners do after the last token.
    bool resumes_plain_streams = false;
    double retry_budget = 0.2; // retries per first call, per pool
    double retry_burst = 20;   // retries that may be made at once, per pool
    // Least number of nodes that share retry_burst, even when fewer are known;
    // 0: each node has a retry_burst of its own.
    int retry_burst_nodes = 0;
    int claim_batch = 256;   // claim records per append
    int append_budget = 300; // claim appends per second, over all nodes
    // How long outcomes wait to share an append with claims.
    std::chrono::milliseconds outcome_linger{100};
    // Bytes of an answer up to which it is stored on the log.
    std::size_t max_shared_body = 16 * 1024;
    // Bytes of all stored answers that a node holds in memory.
    std::size_t max_shared_bytes = 16 * 1024 * 1024;
    // Time to the first token that 95 of 100 requests must meet.
    std::chrono::milliseconds first_token_target{520};
    // Longest wait of a request to a plain service in a standing queue.
    std::chrono::milliseconds service_wait{1'000};
    // Cost of an endpoint in another zone.
    std::chrono::milliseconds hop_cost{2};
    // Time per prompt token, assumed until a value is learned from answers.
    std::chrono::microseconds prefill_per_token{100};
    // How long an endpoint gets no calls after failures.
    std::chrono::milliseconds endpoint_pause{1'000};
    // Age from which a load report is ignored.
    std::chrono::milliseconds report_horizon{6'000};
    std::chrono::milliseconds heartbeat_period{1'000};
    // Silence after which a link is closed.
    std::chrono::milliseconds peer_timeout{3'500};
    // A node replaces a hub that has been silent for this time.
    std::chrono::milliseconds hub_timeout{2'500};
    // Staleness of the registry state at which a node reads the registry
    // itself, beside the few nodes that read it for all; zero: nodes are not
    // selected to read it. A node begins no call with data that are one and a
    // half times as old, unless its own reads fail. The rest up to five thirds,
    // after which a change must be in force, is for the call's way.
    std::chrono::milliseconds max_store_age{0};
    // The store counts as stable when it has answered for this long. All nodes
    // have read it by then, also those whose own reads had failed.
    std::chrono::milliseconds stable_window{3'000};
    std::chrono::milliseconds stage_time{3'000}; // shortest stage of a move
    // A move of a route that has not finished is taken back this long before
    // its deadline.
    std::chrono::milliseconds move_margin{2'000};
    // How long an ended answer is kept for callers that re-attach.
    std::chrono::milliseconds answer_linger{30'000};
    // How long a leaving node runs requests before it hands them over.
    std::chrono::milliseconds hand_over_after{1'000};
    // False: requests end at the node they came to.
    bool hand_over_enabled = true;
    // A leaving node accepts requests for this time, until callers know that it
    // leaves, and drops those that are open after `drain_timeout`.
    std::chrono::milliseconds drain_accept_time{0};
    std::chrono::milliseconds drain_timeout{3'600'000};
    // How long a node waits before its exit for the last bytes to be written.
    std::chrono::milliseconds exit_linger{500};
    double quota_overshoot = 0; // fraction by which a quota may be exceeded
    double quota_slack = 0;     // units by which it may be exceeded in addition
    // Window in which quota_overshoot and quota_slack apply.
    std::chrono::milliseconds quota_window{1'000};
    // All nodes together send a cold endpoint at most its pool's cold_rate
    // times `cold_overshoot` plus `cold_slack` requests in any second.
    double cold_overshoot = 1.5;
    double cold_slack = 5;
    bool duties_enabled = false; // competes for the lease on the duties
    // Orders endpoints while it holds the lease.
    bool fleet_planning_enabled = false;
    // Length of the lease. Its holder stops before this time has passed without
    // renewal, and another node takes an unreleased lease only later, so that
    // there are never two holders.
    std::chrono::milliseconds lease{3'000};
    std::chrono::milliseconds usage_window{5'000};
    // How long a report waits for the counts of other nodes.
    std::chrono::milliseconds usage_delay{2'500};
    // Time after the registry becomes reachable again during which removed
    // entries may reappear; their endpoints stay in use.
    std::chrono::milliseconds relist_grace{2'000};
    // Age at which claims expire; at most the retention of the log.
    std::chrono::seconds claim_horizon{86'400};
    std::chrono::milliseconds append_retry{200}; // delay after a failed append
    // Config records between two checkpoints.
    std::uint64_t checkpoint_every = 256;
    // Longest time between two checkpoints.
    std::chrono::seconds checkpoint_period{3'600};
};

// ---------------------------------------------------------------------------
// [6] Events
// ---------------------------------------------------------------------------

struct caller_gone
{
    request_id id;
};

// The runtime has written all chunks below `index` to the caller's socket.
struct caller_drained
{
    request_id id;
    std::uint64_t index = 0;
};

// A caller requests an answer again, from the chunk `from` on.
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
    bool not_run = false; // the endpoint states that it did not run the request
    bool leaving = false; // the endpoint states that it is leaving
    // All headers that are passed on except the content type.
    std::vector<std::pair<std::string, std::string>> headers;
    // How long the endpoint wants no requests of this node; zero: not stated.
    std::chrono::milliseconds pause{0};
    // Name of a header about leaving or a pause that was ignored because it is
    // malformed; empty: none.
    std::string malformed_header;
};

// Longest pause that an endpoint can ask for.
inline constexpr std::chrono::hours max_endpoint_pause{1};

// One token with its index from a model runner, or one piece of another body.
struct answer_chunk
{
    call_id call = 0;
    std::uint64_t index = 0;
    std::string data;
    // False: the endpoint's stream has no position behind this chunk from which
    // another endpoint could continue.
    bool has_position = true;
};

struct answer_end
{
    call_id call = 0;
    // Total, with those that a resumed call began with; with fewer, the answer
    // is truncated.
    std::uint64_t chunks = 0;
    // False: only the end of the connection marks the end of the answer.
    bool framed = true;
};

struct call_failed
{
    call_id call = 0;
    step failed_step = step::connect;
    bool may_have_run = false;
    std::string detail;
    // The endpoint's side closed or reset the connection during the call.
    bool closed_by_endpoint = false;
    int status = 0; // of the answer's head; 0: none was received
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
    bool in_doubt = false; // failed, but may have taken effect
};

struct log_reachable
{
    bool reachable = false;
    std::chrono::milliseconds data_age{
        0}; // age of the oldest data read from it
};

// The era that an answer of the platform's store states.
struct store_era_seen
{
    store_era era = 0;
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

// Live and leaving instances as the platform lists them. The list lags.
struct instance_list
{
    std::vector<listed_instance> instances;
};

// The runtime no longer relays the answer of a request that was handed over.
struct relay_ended
{
    request_id id;
};

// The configuration in force as one document. Endpoints arrive as entries.
struct config_published
{
    config_snapshot snapshot;
};

// Entries as read from the registry.
struct endpoints_listed
{
    std::vector<endpoint_entry> entries;
    // Set: `entries` is all that the registry had at this offset; endpoints
    // that are not in it have been removed.
    std::optional<offset> complete_at;
};

// Evacuations as read from the registry.
struct zones_evacuated
{
    std::vector<zone_evacuation> entries;
    // Set: `entries` is all that the registry had at this offset; evacuations
    // that are not in it have ended.
    std::optional<offset> complete_at;
};

// Nodes named by the registry or the settings, whether or not they are up.
struct nodes_listed
{
    std::vector<member_news> nodes;
};

// A link that dial_peer asked for could not be established.
struct dial_failed
{
    std::string node;
};

struct duties_read
{
    offset end = 0;    // offset of the next record
    store_era era = 0; // in which it was read; 0: not stated
    std::vector<duty_entry> entries;
};

struct duty_append_done
{
    bool ok = false; // false: unknown until the stream is read
};

struct endpoints_ordered
{
    std::string pool;
    std::string zone;
    bool reclaimable = false;
    int count = 0;
    bool ok = false;
    std::string reason; // reason of a refusal
};

struct usage_reported
{
    std::int64_t window = 0;
    bool ok = false;
};

// Result of check_endpoint.
struct endpoint_checked
{
    std::string endpoint;
    std::string incarnation;
    bool refuses = false; // its address refuses connections
};

// An operator's order to move a pool to a version.
struct pool_move_ordered
{
    offset at = 0;
    std::string pool;
    std::string to;
    std::chrono::milliseconds within{}; // time from now to the deadline
};

struct pool_move_reported
{
    pool_move move;
    bool ok = false;
};

// The settings of the node have changed. Its name, zone, incarnation,
// addresses, capacity and hello_proof stay as they were at the start.
struct settings_changed
{
    node_settings settings;
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
                 append_done, log_reachable, store_era_seen, peer_opened,
                 peer_received, peer_closed, endpoint_report, instance_list,
                 relay_ended, config_published, endpoints_listed,
                 zones_evacuated, nodes_listed, dial_failed, duties_read,
                 duty_append_done, usage_reported, endpoints_ordered,
                 endpoint_checked, pool_move_ordered, pool_move_reported,
                 settings_changed, shutdown_requested, tick>
        body;
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
    // The answer so far, which the endpoint continues; empty: it begins anew.
    std::vector<std::string> resume_chunks;
    bool fresh_connection = false; // true: must not use a pooled connection
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

// The head was sent and the rest is not available: ends the answer with a typed
// error event and without an end mark.
struct fail_answer
{
    request_id id;
    refusal why;
};

// Fetches the rest of a request that was handed over, for its caller here.
struct relay
{
    request_id id;
    std::string address; // caller address of the node that took it over
    std::uint64_t from = 0;
};

struct append
{
    std::uint64_t append = 0;
    std::string stream;
    std::string id; // the same for every retry
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

// Selects what this node reads of the platform's store from now on.
struct follow_store
{
    bool registry = false; // configuration and endpoints
    bool duties = false;   // the "duties" stream and the list of nodes
};

// Appends to the "duties" stream if that still ends at offset `at`.
struct append_duty
{
    offset at = 0;
    duty_record record;
    std::size_t copies = 1; // of the record, all or none
};

struct order_endpoints
{
    std::uint64_t fencing = 0;
    std::string pool;
    std::string zone;
    bool reclaimable = false;
    int count = 0; // endpoints wanted, of this kind in this availability zone
};

struct report_usage
{
    std::uint64_t fencing = 0;
    usage_report report;
};

// Gives up the open calls of order_endpoints and report_usage, which fail.
// What the platform has not received of them by now, it never receives.
struct cancel_duty_calls
{
};

// Reports the state of a pool move to the operator.
struct report_pool_move
{
    pool_move move;
};

// Finds out whether the endpoint's address accepts connections. No request is
// sent. Answered by endpoint_checked.
struct check_endpoint
{
    std::string endpoint;
    std::string incarnation;
    std::string address;
};

// A numbered event for the log; docs/EVENTS.md lists them.
struct log_event
{
    int number = 0;
    std::string subject; // request, move, endpoint or node
    std::string peer;
    std::string detail;
};

// Requests a tick at this time, in addition to the regular ones.
struct wake
{
    time_point at{};
};

// Writes the record by which other nodes find this one to the store again.
struct announce_node
{
};

struct exit_process
{
};

using effect =
    std::variant<refuse, dispatch, cancel_call, pause_call, resume_call,
                 send_head, send_chunk, finish_answer, fail_answer, relay,
                 append, send_peer, close_peer, dial_peer, follow_store,
                 append_duty, report_usage, order_endpoints, cancel_duty_calls,
                 report_pool_move, check_endpoint, announce_node, log_event,
                 wake, exit_process>;
using effects = std::vector<effect>;

// ---------------------------------------------------------------------------
// [8] State
// ---------------------------------------------------------------------------

struct record_verdict
{
    std::string id;
    offset at = 0;
    bool accepted = false;
    std::string reason; // reason of a refusal; names the record in force
};

// State of a move according to the log, and what nodes measured under it.
struct move_state
{
    version_move spec;
    std::string pool; // set: the move covers a pool, not one route
    // Old version. In a pool move it is empty until the end, and all versions
    // except spec.to are old.
    std::string from;
    int stage = 0;
    std::optional<move_end> end;
    std::string reason;
    bool vetoed = false;           // sets the new version's share to zero
    time_point step_due_since{};   // when this node first found a step due
    time_point step_appended_at{}; // last append of a step by this node
    offset started = 0;            // offset of the move's own record or order
    offset revision = 0; // offset of its newest record, steps included
    time_point stage_since{};
    version_counts own_old; // old version, whole move, this node
    version_counts own_new; // new version, this stage, this node
    // Moving average of the old version's time to the first token.
    double baseline_first_token_us = 0;
    std::map<std::string, move_counts> remote_counts; // by node
    // Requests of the route or pool in this stage.
    std::uint64_t stage_requests = 0;
    std::uint64_t sent_to_new = 0; // calls to the new version in this stage
    bool recorded = false;         // pool move: is on the "duties" stream
    // Pool move: places of the same order before returns of the store.
    std::vector<offset> former_places;
    // Pool move: versions of earlier orders, by place.
    std::map<offset, std::string> earlier_orders;
    time_point rival_seen_at{}; // pool move: newest endpoint of another version
    int reports_left = 0;       // pool move: reports still due to the operator
    // Pool move: earliest time of the next report.
    time_point report_not_before{};
};

struct configuration
{
    offset applied = 0;
    std::uint64_t version = 0; // see config_revision
    std::map<std::string, revisioned<organisation>> organisations;
    std::map<std::string, revisioned<endpoint>> endpoints;
    std::map<std::string, revisioned<route>> routes;
    std::map<std::string, move_state> moves;
    std::map<std::string, std::string> organisation_by_key;
    std::deque<record_verdict> verdicts; // newest last, bounded
    bool lists_endpoints = true;         // see config_snapshot
    std::map<std::string, pool> pools;
    std::map<std::string, std::vector<std::string>> routes_by_host;
    std::deque<log_entry> recent_entries; // newest ones, for peers that lag
    offset checkpoint_applied = 0; // highest `applied` of known checkpoints
    time_point checkpoint_at{};
    std::string source; // of the document in force: "store", or a peer
    time_point in_force_since{};
};

struct endpoint_state
{
    int in_flight = 0; // calls of this node
    // Prompt tokens of own calls before their first token.
    int prefill_tokens = 0;
    int reported = 0; // running and waiting calls in its newest report
    int in_flight_at_report = 0; // in_flight when that report arrived
    time_point reported_at{};
    int failures = 0; // consecutive
    // No calls before: it failed, or it asked for a pause.
    time_point paused_until{};
    std::string leaving_incarnation; // incarnation that gets no new work
    // Leaving, with an unknown incarnation.
    bool leaving_unknown_incarnation = false;
    double first_token_us = 0; // moving average
    // Blocks of prompts that it is assumed to have cached.
    std::set<std::uint64_t> prefixes;
    std::deque<std::uint64_t> prefix_order; // oldest first
    endpoint_entry entry;                   // newest entry of the registry
    std::string source;                     // of `entry`: "store", or a peer
    time_point usable_until{}; // no longer listed, but in use until then
    time_point cold_until{};   // by the entries; time_point{}: not cold
    std::string cold_sender;   // the one node that sends to it while it is cold
    double cold_budget = 0;    // calls that this node may send it
    time_point cold_budget_at{}; // when `cold_budget` was counted
    time_point called_at{};      // begin of this node's newest call
};

struct evacuation_state
{
    zone_evacuation entry; // newest entry of the registry
    time_point since{};    // when this node learned that it began or ended
};

// An incarnation of an endpoint that ended under a prompt.
struct part_end
{
    std::uint64_t incarnation = 0; // hash of its name and incarnation
    bool counts = false;           // false: others ended at the same time
};

// A call that its endpoint broke off.
struct broken_call
{
    std::vector<std::uint64_t> parts; // that the prompt shares
    time_point started{};
    time_point broken{};
};

// Calls that an incarnation broke off, until it is known whether it has ended.
struct endpoint_suspicion
{
    std::string endpoint;
    std::vector<broken_call> calls;
    time_point since{};
};

// A failed call whose request is not sent again yet: it may turn out that its
// prompt ended the endpoint.
struct held_failure
{
    call_failed what;
    time_point since{};
};

// What is known of a part that several prompts have.
struct part_state
{
    time_point answered_at{}; // newest answer to a prompt with it
    // Incarnations that ended under it since its last answer.
    std::vector<part_end> ends;
    time_point ended_at{}; // newest end that counts
    bool quarantined = false;
    int probes = 0; // requests sent in spite of the quarantine, by any node
    time_point next_probe_at{};
    time_point requested_at{}; // newest request that the quarantine refused
    time_point announced_at{}; // newest news of it from or to this node
};

// How many calls this node keeps in flight at one version of a pool. Each node
// adjusts its limit by its own answers, because nodes share the runners without
// coordination.
struct concurrency_limit
{
    int in_flight = 0;    // calls of this node
    double limit = 0;     // calls; 0: no limit
    int first_tokens = 0; // first tokens since judged_at
    double late_mean = 0; // moving average of the share of late first tokens
    bool reached = false; // a request had to wait since judged_at
    time_point judged_at{};
};

enum class request_phase
{
    queued,
    claiming,  // its own claim has not been read back from the log
    following, // another request holds the claim of its key
    calling,
    answering, // the caller has the head
    handed_over,
    done,
};

struct request_state
{
    request_arrived request;
    route accepted_route; // at admission; see route_of()
    std::string organisation;
    priority_class klass = priority_class::chat;
    bool repeatable = true;
    request_phase phase = request_phase::queued;
    time_point arrived{};
    time_point deadline{};
    double start_tag = 0; // start tag of fair queueing
    std::string claim_key;
    call_id call = 0; // open call; 0: none
    std::string endpoint;
    std::string incarnation;     // of the endpoint when it was called
    std::string pool;            // requested pool, then the endpoint's pool
    std::string version;         // fixed by the first chunk
    std::string move;            // move whose counts it is part of
    bool on_new_version = false; // its call goes to the move's new version
    // First chunk late against the old version's mean.
    bool first_chunk_slow = false;
    int attempts = 0;              // calls made
    int failed_connects = 0;       // calls for which no connection was made
    bool on_cold_endpoint = false; // its call began while the endpoint was cold
    bool may_have_run = false;
    bool caller_present = true;
    time_point call_started{};
    // Arrival of the first chunk of the open call; time_point{}: none yet.
    time_point answering_since{};
    int prefill_tokens = 0; // of the open call, until its first token
    int prefill_ahead = 0;  // tokens pending at the endpoint at call_started
    time_point progress_at{};
    int status = 0;
    std::string content_type;
    std::vector<std::pair<std::string, std::string>> headers;
    bool head_sent = false;
    bool first_chunk_seen = false;
    bool endpoint_resumes = false; // its endpoint's kind continues streams
    bool has_position = true;      // see answer_chunk::has_position
    bool paused = false;
    std::deque<std::string> chunks;   // in order; earlier ones were dropped
    std::uint64_t dropped_chunks = 0; // index of the first in `chunks`
    std::size_t held_bytes = 0;       // memory of `chunks`: memory_of()
    bool passes_on_only = false;      // its sent chunks are not held
    std::size_t undrained_bytes = 0;  // sent and not yet written; upper bound
    // Chunks behind a gap, by index.
    std::map<std::uint64_t, std::string> early_chunks;
    std::size_t early_bytes = 0;      // memory of `early_chunks`
    std::uint64_t sent_chunks = 0;    // chunks passed to the runtime
    std::uint64_t drained_chunks = 0; // chunks written to the caller's socket
    std::optional<std::uint64_t> total_chunks; // chunks of the complete answer
    bool framed = true;                        // see answer_end::framed
    std::optional<refusal> failure;
    // Endpoints that failed this request.
    std::vector<std::string> failed_endpoints;
    time_point ended_at{};
    int offer_number = 0;         // number of the newest offer made or accepted
    std::uint64_t offered_to = 0; // link of the open offer; 0: none
    time_point offered_at{};      // newest offer, or end of a round of offers
    std::vector<std::string> declined_by; // nodes that refused it in this round
    std::string taken_by;                 // node that continues the request
};

// Chunks that this node has received.
inline std::uint64_t chunk_count(request_state const& r)
{
    return r.dropped_chunks + r.chunks.size();
}

struct claim_state
{
    offset at = 0;       // offset of the claim
    std::string request; // id of the request that holds the claim
    std::string body_digest;
    time_point written{};
    claim_kind kind = claim_kind::claim;
    int status = 0; // HTTP status if answered; 0: the answer is not held
    std::string content_type;
    std::string body;
    std::vector<request_id> followers; // requests of this node that wait for it
};

// An append that is not known to be on the log. A retry has the same id.
struct pending_append
{
    append request;
    bool in_flight = true;
    time_point retry_at{};
};

struct claim_log_state
{
    offset applied = 0;
    bool caught_up = false;       // read to the end since this node started
    time_point complete_since{};  // older claims may have left the log unread
    std::size_t shared_bytes = 0; // bodies held in `claims`
    std::map<std::string, claim_state> claims; // by key
    std::deque<std::pair<time_point, std::string>> by_age;
    std::vector<claim_record> batch; // records for the next append
    std::uint64_t open_append = 0;   // append in flight; 0: none
    time_point flushed_at{};         // last append of this node
    time_point oldest_outcome_at{};  // when `batch` got its oldest outcome
};

struct peer_state
{
    std::uint64_t link = 0;
    std::string node; // empty until its hello arrives
    std::uint64_t incarnation = 0;
    std::string zone;
    std::string caller_address;
    time_point hello_at{};   // arrival of its hello
    time_point heard_at{};   // arrival of its newest message
    duration not_running{0}; // time since then in which this node did not run
    // This node closes the link, which it no longer needs, and does not report
    // the peer as down.
    bool closing = false;
    heartbeat last_heartbeat;
    time_point opened_at{}; // when this node sent its hello
    // Lower bound of the difference of this node's clock to the peer's.
    std::optional<duration> clock_difference;
    bool is_informed = false; // was sent what it did not know
    // Units per second, by organisation.
    std::map<std::string, double> spend_rates;
    time_point spend_rates_at{}; // arrival of the newest report of spending
    // Newest totals that the peer reported; empty: it reports increments.
    std::optional<std::map<std::string, double>> spent_totals;
    // Units that a peer in this node's subtree reported, by organisation.
    std::map<std::string, double> subtree_spent;
};

// A node that this node wants a link with, or that it failed to reach.
struct dial_state
{
    time_point wanted_since{};
    time_point tried_at{};   // start of the open attempt; time_point{}: none
    time_point not_before{}; // earliest time of the next attempt
};

// Quota of one organisation: token buckets and accounts of this node.
struct quota_state
{
    double share_balance = 0;   // units left of this node's own share
    double common_balance = 0;  // units that all nodes together may still spend
    double published_spent = 0; // total units reported to the other hubs
    // Units of this node and its subtree, not yet reported.
    double unpublished_spent = 0;
    double total_spent = 0; // units spent by all nodes, as far as known here
    // Units drawn from `common_balance` since the last heartbeat.
    double unreported = 0;
    double share = 0;  // this node's fraction of the organisation's rate
    double demand = 0; // units per second, moving average
    double published_demand = 0; // `demand` as last reported to the peers
    double requested = 0;        // units requested since sampled_at
    time_point refilled_at{};
    time_point sampled_at{};
};

// The lease on the duties, and what its holder does.
struct duty_state
{
    bool has_read_stream = false; // read since this node follows the stream
    offset stream_end = 0;        // offset of the next record of the stream
    offset lost_end = 0;          // highest `stream_end` of earlier eras
    duty_record newest_record;    // of this era; empty holder: no record yet
    time_point newest_read_at{};  // when this node read `newest_record`
    // Last possible call of each recent holder, by instance.
    std::map<std::string, time_point> last_calls;
    std::uint64_t fencing = 0;   // token of the own lease; 0: not held
    time_point held_until{};     // end of the own lease
    time_point last_append_at{}; // newest append; the own lease counts from it
    time_point open_append_at{}; // open append; time_point{}: none
    // Usage of this node and its subtree that was reported to the other hubs.
    usage_counts subtree_totals;
    usage_counts unpublished_usage; // usage of the same nodes, not yet reported
    std::map<std::string, usage_counts> hub_usage; // by "<node>/<incarnation>"
    // Reports not known to have been received, by window.
    std::map<std::int64_t, usage_report> intents;
    std::int64_t next_window = 0;   // windows below it are reported
    std::int64_t open_report = 0;   // window of the call in flight; 0: none
    int open_calls = 0;             // calls to the platform under the lease
    bool wants_renewal = false;     // a call waits for it
    time_point report_not_before{}; // earliest time of the next call
};

// Linear regression of the time to the first token over the prompt tokens,
// from the newest samples. Time that does not depend on the prompt goes into
// the intercept.
struct prefill_fit
{
    double weight = 0;         // sum of the sample weights, which decay
    double tokens = 0;         // weighted sum
    double us = 0;             // weighted sum
    double tokens_squared = 0; // weighted sum
    double tokens_us = 0;      // weighted sum
};

// Endpoint time that the requests of a pool need.
struct work_rate
{
    pool_work mean_work;        // moving average
    double prefill_seconds = 0; // prefill time needed since sampled_at
    time_point sampled_at{};
};

// An order of endpoints of one kind in one availability zone.
struct order_state
{
    int requested = -1; // count in the newest call; -1: none yet
    int accepted = -1;  // count in the newest accepted call; -1: none yet
    time_point accepted_at{};
    time_point not_before{};    // earliest time of the next call
    time_point surplus_since{}; // since when fewer endpoints are enough
};

// Why something was decided. Kept in a bounded ring; papayahookctl explain
// prints it.
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
    std::uint64_t handed_over = 0; // requests that a peer took over
    std::uint64_t taken_over = 0;  // requests taken over from leaving peers
    std::uint64_t quarantines = 0; // parts of prompts, each time
    std::uint64_t refused_quarantined = 0; // requests with such a part
    std::uint64_t store_returns = 0;       // of the store from an older copy
    // Calls whose endpoint was found to leave before they were sent.
    std::uint64_t withheld_calls = 0;
};

// Upper bounds of the histogram buckets. One more bucket counts larger values.
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

// Latencies of callers' requests, from their arrival at this node.
struct latencies
{
    latency_histogram first_call;  // until the first call
    latency_histogram first_chunk; // until the first chunk of the answer
    latency_histogram last_byte;   // until the answer is complete
};

// Waiting requests of one organisation, by priority class, then by fair tag.
using request_queue = std::set<std::tuple<priority_class, double, request_id>>;
using organisation_queues = std::map<std::string, request_queue>;

struct node_state
{
    node_settings settings;
    time_point now{};
    time_point ticked_at{}; // newest tick
    bool leaving = false;
    time_point leaving_since{};
    time_point last_ended_at{}; // when a caller's request last ended here
    bool log_reachable = false;
    configuration config;
    claim_log_state claim_log;
    std::map<std::string, endpoint_state> endpoints;
    std::map<std::string, evacuation_state> evacuations; // by zone
    std::unordered_map<request_id, request_state> requests;
    std::unordered_map<call_id, request_id> calls;
    std::map<std::string, organisation_queues> queues; // by pool
    // By pool; last seen empty.
    std::map<std::string, time_point> queue_empty_at;
    std::map<std::string, time_point> queue_joined_at; // by pool; newest entry
    std::map<std::pair<std::string, std::string>, concurrency_limit>
        limits;                                      // by pool and version
    std::map<std::uint64_t, pending_append> appends; // by number
    std::map<std::string, member_news> members;      // by node, self included
    std::map<std::string, double> finish_tags;       // by organisation
    double virtual_time = 0;              // virtual time of fair queueing
    std::map<std::string, int> in_flight; // by organisation
    // Bytes of the bodies of open requests: of all, and of the long ones.
    std::size_t request_bytes = 0;
    std::size_t long_request_bytes = 0;
    std::map<std::string, double> retry_tokens; // by pool
    std::map<std::string, quota_state> quotas;  // by organisation
    std::size_t listed_nodes = 0; // in the registry, this one included
    // Link to this node's hub; 0: this node is a hub or has none.
    std::uint64_t hub_link = 0;
    // Position among live nodes, from 0. The first few do work for all.
    std::size_t rank = 0;
    time_point links_planned_at{};
    time_point config_requested_at{};        // last config_request to a peer
    std::map<std::string, dial_state> dials; // by node
    // Endpoint loads from all other nodes together, by endpoint_key().
    std::unordered_map<std::uint32_t, endpoint_load> remote_loads;
    // Moving average of the calls in `remote_loads`. It is used when there are
    // many nodes, because their reports are then older than most calls last.
    std::unordered_map<std::uint32_t, double> remote_call_means;
    // The registry state known here is complete as of then; time_point{}: none
    // is known.
    time_point store_as_of{};
    // Newest time at which some node is known to have reached the store, in
    // whatever era its data are.
    time_point store_reached_at{};
    time_point awaits_store_since{}; // start of this node
    time_point store_failed_at{};    // this node's newest failed read of it
    follow_store store_reads;        // what this node reads of the store now
    duration max_call_data_age{};    // oldest registry state a call began with
    time_point registry_tried_at{};  // first own read of data that are stale
    // Begin of the registry's reads, until one has ended.
    std::optional<time_point> registry_read_begun;
    store_era era = 0;        // highest era of the store known here
    time_point era_seen_at{}; // when this node learned of it
    duty_state duties;
    std::map<std::string, work_rate> work; // of this node, by pool
    time_point work_since{};               // when `work` was first counted
    // By pool, zone and whether the endpoints are reclaimable.
    std::map<std::tuple<std::string, std::string, bool>, order_state>
        endpoint_orders;
    time_point cold_senders_at{};  // last choice of cold_sender
    time_point fleet_planned_at{}; // last plan of the fleet
    // Last refused order of reclaimable endpoints, by pool.
    std::map<std::string, time_point> reclaimable_refused_at;
    time_point log_restored_at{}; // when the log became reachable again
    std::map<std::uint64_t, peer_state> peers; // by link
    std::set<endpoint_leaving> known_leaving;
    // By identity; see request_arrived::shared_parts. Bounded.
    std::unordered_map<std::uint64_t, part_state> parts;
    time_point parts_maintained_at{};
    // By the hash of the endpoint's name and incarnation. Bounded.
    std::map<std::uint64_t, endpoint_suspicion> endpoint_suspicions;
    std::vector<held_failure> held_failures;
    // Reasons, by move and the offset of its own record or order.
    std::map<std::pair<std::string, offset>, std::string> vetoes;
    std::deque<successor_news> successors; // newest last, bounded
    // Learned microseconds per prompt token, by pool.
    std::map<std::string, double> prefill_us_per_token;
    std::map<std::string, prefill_fit> prefill_fits; // by pool
    std::deque<decision> decisions;
    time_point last_heartbeat_at{};
    call_id next_call = 1;
    std::uint64_t next_append = 1;
    totals counts;
    latencies latency;
};

// ---------------------------------------------------------------------------
// [9] reduce()
// ---------------------------------------------------------------------------

// Applies one event and appends the effects to carry out to `out`. Never throws
// for any event; unknown ids are ignored.
void reduce(node_state& state, event const& e, effects& out);

// Shares of the route's requests that a move gives its new version, by stage.
// Stage 0 uses the move's canary_share, which is at most the first value.
inline constexpr double stage_shares[] = {0.02, 0.1, 0.5, 0.9};
inline constexpr int last_stage = 3;

// Applies one entry of the "config" stream and returns the verdict.
// papayahookctl also uses it to tell whether a record was accepted.
record_verdict apply_config(configuration& config, log_entry const& entry);

// Returns whether a configuration replaces another one: by its version, which
// an operator's document states, else by its offset.
bool is_newer(config_revision const& a, config_revision const& b);
config_revision revision_of(configuration const& config);

// Installs a snapshot that is newer than the configuration. Returns false and
// changes nothing if the snapshot is not newer.
bool install_snapshot(configuration& config, config_snapshot const& snapshot);
config_snapshot take_snapshot(configuration const& config);

// Returns the oldest checkpoint in a read that covers the gap before the start
// of the read, nullptr if there is none.
config_snapshot const* checkpoint_for_gap(log_read const& read);

// Returns how many of `nodes` nodes are hubs. Hubs are linked with one another;
// each other node has one link, to a hub of its zone if there is one.
std::size_t hub_count(std::size_t nodes);

// Returns the key of an endpoint in heartbeats: a 32-bit hash of its name.
std::uint32_t endpoint_key(std::string_view endpoint);

// Returns the name of the route of `host` with the longest path prefix that
// `path` starts with, empty if none matches.
std::string match_route(configuration const& config, std::string_view host,
                        std::string_view path);

// Returns the caller addresses of the other live nodes that may hold a
// request's answer, most likely first: the node named in the id, then the nodes
// that took the request over.
std::vector<std::string> holders_of(node_state const& state,
                                    request_id const& id);

// Returns whether a call that has begun may be sent at that time, by what the
// node has learned since: its endpoint may have begun to leave.
bool may_send_call(node_state const& state, call_id call, time_point at);

// Returns the number of endpoints that the registry's entries allow to use.
std::ptrdiff_t usable_endpoints(node_state const& s);
// Returns the parts of prompts that get no calls.
std::vector<part_news> quarantined_parts(node_state const& state);

// Returns the number of members that this node knows as up, itself included.
std::ptrdiff_t live_members(node_state const& state);

// Prompt tokens per entry of request_arrived::prefix_blocks, unless its
// block_tokens say otherwise.
inline constexpr int prefix_block_tokens = 16;

// Returns the memory of what an event of a request was decoded into.
std::size_t memory_of(request_arrived const& it);
// Makes room for the parts of its prompt, and no more.
void reserve_parts(request_arrived& it, std::size_t parts);

std::uint64_t hash_of(std::string_view text);
std::string digest_of(std::string_view text); // 128 bits, hexadecimal

// Returns the name of a record within its kind.
std::string record_name(config_body const& body);
// Returns the kind of a record: "route", "endpoint" and so on.
std::string record_kind(config_body const& body);

// Returns the revision in force under the record's kind and name; 0 for none.
offset revision_in_force(configuration const& config, config_body const& body);

// Checks a record by itself. Returns what is wrong with it, empty if nothing.
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
