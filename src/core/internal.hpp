// Functions that the core's sources share; not part of the public header.
#pragma once

#include "papayahook/papayahook.hpp"

#include <algorithm>

namespace papayahook::core {

// Combines several lambdas into one visitor of a variant.
template <class... F>
struct overloaded : F...
{
    using F::operator()...;
};
template <class... F>
overloaded(F...) -> overloaded<F...>;

// Retry-After of refusals whose cause may end at any moment.
inline constexpr std::chrono::seconds short_retry_after{1};

// admission.cpp: admission of requests and fair queues before the pools
// Count what an open request takes, until it ends.
void count_open(node_state& s, request_state const& r);
void count_closed(node_state& s, request_state const& r);
void on_request_arrived(node_state& s, request_arrived const& e, effects& out);
void enqueue(node_state& s, request_state& r, effects& out);
void drain_queues(node_state& s, effects& out);
void remove_from_queue(node_state& s, request_state const& r);
// Returns the route in force, or the one that the request was accepted under if
// it was removed since.
route const& route_of(node_state const& s, request_state const& r);
std::string pool_of(node_state const& s, request_state const& r);
// Refuses queued requests that wait for endpoints which all pause beyond the
// request's deadline.
void refuse_paused_requests(node_state& s, effects& out);
std::string pick_weighted_pool(route const& it, request_id const& id);
void expire_requests(node_state& s, effects& out);
void shed_queued_requests(node_state& s, effects& out);

// routing.cpp: choice of an endpoint
// Returns whether an endpoint gets no new work: it leaves, or its zone is
// evacuated.
bool is_leaving(node_state const& s, endpoint const& e);
// Returns whether endpoints that may serve the request exist, but only in
// evacuated zones.
bool waits_for_evacuated_zone(node_state const& s, request_state const& r);
std::string choose_endpoint(node_state& s, request_state const& r,
                            std::string const& version, bool in_share);
// Returns the prefill time of a prompt token in microseconds, learned from
// answers or else taken from the settings.
double prefill_us_per_token(node_state const& s, std::string const& pool);
void begin_prefill(node_state& s, request_state& r, endpoint const& e);
void end_prefill(node_state& s, request_state& r, bool answered);
// Returns how long all endpoints that may serve the request pause; zero if one
// does not.
std::chrono::milliseconds time_until_unpaused(node_state const& s,
                                              request_state const& r);
// Returns whether an endpoint serves these that this node may call now as far
// as its warm-up allows.
bool has_endpoint(node_state const& s, std::string const& pool,
                  std::string const& version, std::string const& schema);
void record_prefixes(node_state& s, request_state const& r);
void on_endpoint_report(node_state& s, endpoint_report const& e, effects& out);
void on_instance_list(node_state& s, instance_list const& e, effects& out);
bool learn_leaving(node_state& s, endpoint_leaving const& e, effects& out);

// limits.cpp: limits of calls in flight and of the time in a queue

// Fraction of a node's limit and of an endpoint's slots that is reserved for
// organisations within their share.
inline constexpr double fair_share_reserve = 0.25;
bool limit_allows_call(node_state& s, std::string const& pool,
                       std::string const& version, bool in_share);
// Returns whether an organisation has at most its weighted share of the open
// requests.
bool is_within_fair_share(node_state const& s, std::string const& organisation);
void sample_first_token_latency(node_state& s, request_state const& r,
                                duration first_token);
void adjust_limits(node_state& s);
void record_empty_queues(node_state& s);
// Returns whether a pool has a standing queue: one that has not been empty for
// longer than a burst lasts.
bool is_standing_queue(node_state const& s, std::string const& pool);
// Longest wait in a standing queue, for requests to models and to plain
// services.
struct wait_limits
{
    duration model{};
    duration service{};
};
wait_limits max_queue_wait(node_state const& s,
                           std::string const& organisation);
bool exceeds_queue_wait(node_state const& s, request_state const& r,
                        wait_limits const& longest);

// streams.cpp: calls of a request, from dispatch to the last byte
void start_call(node_state& s, request_state& r, std::string const& endpoint,
                std::string const& version, effects& out);
void on_answer_head(node_state& s, answer_head const& e, effects& out);
void on_answer_chunk(node_state& s, answer_chunk const& e, effects& out);
void on_answer_end(node_state& s, answer_end const& e, effects& out);
void on_call_failed(node_state& s, call_failed const& e, effects& out);
void on_caller_gone(node_state& s, caller_gone const& e, effects& out);
void on_caller_drained(node_state& s, caller_drained const& e, effects& out);
void on_reattach(node_state& s, reattach const& e, effects& out);
void refuse_request(node_state& s, request_state& r, refusal why, effects& out);
void send_stored_answer(node_state& s, request_state& r,
                        claim_state const& claim, effects& out);
void check_progress_timeouts(node_state& s, effects& out);
// Sends the endpoint no calls of this node for this time.
void pause_endpoint(node_state& s, std::string const& endpoint,
                    std::chrono::milliseconds pause, std::string why,
                    effects& out);
// Handles the failures for which nothing is left to wait for.
void release_held_failures(node_state& s, effects& out);
// Appends a chunk to those that are held, and counts its memory.
void hold_chunk(request_state& r, std::string data);
// Keeps the memory of the answers that are held below its limit.
void limit_held_answers(node_state& s, effects& out);
// Returns whether the answer so far is held from its first chunk on.
bool holds_whole_answer(request_state const& r);
// Returns whether endpoints of this kind continue a stream that another one
// began.
bool resumes_streams(node_state const& s, request_state const& r,
                     endpoint_kind kind);
// Returns whether another call may produce the rest of the answer.
bool can_be_continued(request_state const& r);
// Cancels the open call and removes the request from its queue.
void stop_call(node_state& s, request_state& r, effects& out);
void end_request(node_state& s, request_state& r);
void extend_deadline(node_state const& s, request_state& r);

// quarantine.cpp: parts of prompts that end endpoints
// Returns why a request may not be sent to an endpoint; nullopt if it may.
std::optional<refusal> check_quarantine(node_state& s, request_arrived const& e,
                                        bool may_have_run);
// Refuses a request that may not be sent to an endpoint and returns whether it
// did. A request that may be sent probes the quarantined parts that it has.
bool refuse_if_quarantined(node_state& s, request_state& r, effects& out);
// Handles an open call that the endpoint broke off.
void suspect_endpoint(node_state& s, request_state const& r, effects& out);
void on_endpoint_checked(node_state& s, endpoint_checked const& e,
                         effects& out);
// Returns whether a check under way may prove that a part of the prompt ends
// endpoints.
bool awaits_quarantine(node_state const& s, request_state const& r);
// Handles a whole answer, or each chunk of one.
void clear_parts(node_state& s, request_state const& r, effects& out);
void clear_parts_if_harmless(node_state& s, request_state const& r,
                             effects& out);
// Returns whether peers may not know it yet. `source`: the node that sent it.
bool learn_part(node_state& s, part_news const& e, std::string const& source,
                effects& out);
void maintain_parts(node_state& s, effects& out);

// claims.cpp: claims of requests that run at most once
void start_claim(node_state& s, request_state& r, effects& out);
void record_outcome(node_state& s, request_state& r, claim_kind kind,
                    effects& out);
void apply_claim(node_state& s, log_entry const& entry, effects& out);
void drop_unsent_claim(node_state& s, request_state const& r);
void flush_claims(node_state& s, effects& out);
void expire_claims(node_state& s);
void on_claims_read(node_state& s, log_read const& e, effects& out);

// registry.cpp and store_readers.cpp: configuration and endpoints from a
// registry
void index_routes(configuration& c);
void on_config_published(node_state& s, config_published const& e,
                         effects& out);
// Refuses queued requests whose route or key is no longer in force.
void refuse_withdrawn(node_state& s, effects& out);
void on_endpoints_listed(node_state& s, endpoints_listed const& e,
                         effects& out);
// Applies registry entries and floods those that are new. `source`: "store", or
// the peer that sent them.
void learn_endpoints(node_state& s, std::vector<endpoint_entry> const& e,
                     std::string const& source, effects& out);
// Describes the entry by which a call was sent to the endpoint, for a list;
// empty if it has none.
std::string describe_entry(node_state const& s, endpoint_state const& known);
// Returns the age of the registry state known here, at most unknown_store_age.
std::chrono::milliseconds store_age(node_state const& s);
// Applies the age of the registry state that a peer or the store reported.
void update_store_age(node_state& s, std::chrono::milliseconds age,
                      effects& out);
// Applies the age of data that count only as a sign of a store that answers.
void learn_store_reached(node_state& s, std::chrono::milliseconds age,
                         effects& out);
// Returns whether the store did not answer any node until then.
bool is_store_away(node_state const& s, time_point until);
// Applies the era that an answer of the store or a peer states.
void learn_era(node_state& s, store_era era, effects& out);
// Returns whether other writers may still have to write again what they wrote
// before the store came back.
bool is_settling(node_state const& s);
// Returns whether this node reads the stream that holds the lease.
bool can_hold_lease(node_state const& s);
// Returns whether this node may begin calls by what it knows of the endpoints:
// not while newer data may exist that its own read has yet to find.
bool may_rely_on_registry(node_state const& s, time_point at);
// Age of the registry's data here; a node that starts counts from its start.
duration registry_age(node_state const& s);
std::string describe_store_age(node_state const& s);
// Reports how the first read since this node began to read the registry ended.
void report_registry_read(node_state& s, bool succeeded, effects& out);
// Decides what this node reads of the store.
void plan_store_reads(node_state& s, effects& out);
// Returns whether an endpoint was listed and must get no more work.
bool is_out_of_use(node_state const& s, endpoint_state const& known);
void forget_endpoints(node_state& s);
std::vector<endpoint_entry> all_endpoint_entries(node_state const& s);

// evacuation.cpp: availability zones whose endpoints get no new work
bool is_evacuated(node_state const& s, std::string const& zone);
void on_zones_evacuated(node_state& s, zones_evacuated const& e, effects& out);
// Applies entries and floods those that are new.
void learn_evacuations(node_state& s, std::vector<zone_evacuation> const& e,
                       effects& out);
std::vector<zone_evacuation> all_evacuations(node_state const& s);
// Refuses queued requests that only endpoints in evacuated zones may serve.
void refuse_evacuated_requests(node_state& s, effects& out);
void refuse_if_evacuated(node_state& s, request_state& r, effects& out);

// warm_up.cpp: bounded rate of calls to cold endpoints
bool is_cold(node_state const& s, endpoint const& e);
// Returns whether this node may send the endpoint a call as far as its warm-up
// allows.
bool warm_up_allows_call(node_state const& s, endpoint const& e);
// Returns from when on it may; the past if it may now.
time_point warm_up_allows_from(node_state const& s, endpoint const& e);
void count_cold_call(node_state& s, request_state& r, endpoint const& e);
// Applies the cold time of an entry. Returns whether peers must know it.
bool learn_cold_time(node_state& s, endpoint_state& known,
                     endpoint_entry const& e);
std::chrono::milliseconds cold_left(node_state const& s,
                                    endpoint_state const& known);
bool is_any_cold(node_state const& s);
void choose_cold_senders(node_state& s);

// quota.cpp: quotas of organisations
double quota_cost(organisation const& org, request_arrived const& e);
std::optional<std::chrono::milliseconds>
charge_quota(node_state& s, organisation const& org, request_arrived const& e);
// Describes the balances that decided the last charge of an organisation.
std::string describe_quota(node_state const& s, organisation const& org,
                           request_arrived const& e);
void init_quotas(node_state& s);
void publish_demand(node_state& s, heartbeat& out);
void apply_peer_spending(node_state& s, peer_state& p, heartbeat const& e);

// duties.cpp: calls that one node makes for all, under a lease
void on_duties_read(node_state& s, duties_read const& e, effects& out);
// Called when the store has come back: what was read of it may be gone.
void forget_duty_stream(node_state& s);
void on_duty_append_done(node_state& s, duty_append_done const& e);
void on_usage_reported(node_state& s, usage_reported const& e, effects& out);
// Returns whether the holder may call the platform now, and counts the call as
// open. If not, the lease is renewed first.
bool begins_duty_call(node_state& s);
void run_duties(node_state& s, effects& out);
void count_usage(node_state& s, std::string const& organisation);
usage_counts subtree_usage(node_state& s);
void learn_usage(node_state& s, peer_state const& p, heartbeat const& e);

// fleet.cpp: orders of endpoints, by the holder of the lease
void count_work(node_state& s, request_state const& r);
std::map<std::string, pool_work> own_work(node_state& s);
// Counts the prefill work of a request that no endpoint had room for. Only the
// last block of its prompt counts; the prefix is assumed to be cached.
void count_unserved(node_state& s, request_state const& r);
void plan_fleet(node_state& s, effects& out);
void on_endpoints_ordered(node_state& s, endpoints_ordered const& e,
                          effects& out);

// config.cpp: the "config" stream and snapshots
move_state* open_move_of(configuration& c, std::string const& route);
void on_config_read(node_state& s, log_read const& e, effects& out);
void apply_entries(node_state& s, std::vector<log_entry> const& entries,
                   effects& out);
void on_snapshot(node_state& s, config_snapshot const& e,
                 std::string const& source, effects& out);
// Describes the operator's document in force; empty if there is none.
std::string describe_config(node_state const& s);
void write_checkpoint(node_state& s, effects& out);

// moves.cpp: version moves of routes
std::string pick_version(node_state& s, request_state& r, route const& it);
void count_dispatch(node_state& s, request_state const& r);
void count_answer(node_state& s, request_state const& r, bool bad);
void record_first_token(node_state& s, request_state const& r,
                        duration first_token);
bool is_slow(node_state const& s, request_state const& r, duration first_token);
void evaluate_moves(node_state& s, effects& out);
bool learn_veto(node_state& s, version_veto const& e, effects& out);
bool learn_counts(node_state& s, move_counts const& e);
std::vector<move_counts> own_counts(node_state const& s);

enum class verdict
{
    undecided,
    good,
    bad,
};
verdict assess_versions(move_state const& m);
// Returns the counts of all nodes for both versions as text.
std::string describe_evidence(move_state const& m);
// Vetoes the move if its counts are bad, and applies vetoes of other nodes.
void check_veto(node_state& s, move_state& m, effects& out);
version_counts total_counts(move_state const& m, bool new_version);
void enter_stage(move_state& m, int stage, time_point now);

// pool_moves.cpp: moves of whole pools, stepped by the holder of the lease
move_state* open_pool_move(node_state& s, std::string const& pool);
// Returns whether the place is or was that of the move's order.
bool is_order_of(move_state const& m, offset place);
void look_for_rivals(node_state const& s, move_state& m);
// Returns whether a pool has had no other version than the move's for a time.
bool has_no_rival(node_state const& s, move_state const& m);
// Called when the store has come back: the steps may be gone from it.
void forget_recorded_moves(node_state& s);
// Returns whether the version gets only those requests that a move sends to it.
bool is_withheld(node_state const& s, std::string const& pool,
                 std::string const& version);
void on_pool_move_ordered(node_state& s, pool_move_ordered const& e,
                          effects& out);
void learn_pool_move(node_state& s, pool_move const& e, effects& out);
void learn_recorded_pool_move(node_state& s, pool_move const& e, effects& out);
void on_pool_move_reported(node_state& s, pool_move_reported const& e);
void learn_pool_moves(node_state& s, pool_moves const& e, effects& out);
pool_moves all_pool_moves(node_state const& s);
// Returns the step that is due and not yet on the "duties" stream.
std::optional<pool_move> due_pool_step(node_state& s);
void report_pool_moves(node_state& s, effects& out);

// members.cpp: links to peers and news
void on_peer_opened(node_state& s, peer_opened const& e, effects& out);
void on_peer_message(node_state& s, peer_received const& e, effects& out);
void on_peer_closed(node_state& s, peer_closed const& e, effects& out);
void check_peers(node_state& s, effects& out);
void send_to_peer(node_state& s, std::uint64_t link, peer_message message,
                  effects& out);
news_digests digest_news(node_state const& s);
void flood_news(node_state& s, news const& what, std::uint64_t except,
                effects& out);
// Returns the position of this node for a duty among the live members; the node
// at position 0 performs it.
int duty_rank(node_state const& s, std::string const& duty);

// links.cpp: choice of the nodes to link with
void plan_links(node_state& s, effects& out);
void on_nodes_listed(node_state& s, nodes_listed const& e);
void on_dial_failed(node_state& s, dial_failed const& e);
// Handles the arrival of a peer's hello.
void on_link_established(node_state& s, peer_state& p);

// aggregation.cpp: aggregates over all nodes
void send_heartbeats(node_state& s, effects& out);
// Sends the first heartbeat on a link; it has no aggregates.
void send_first_heartbeat(node_state& s, peer_state const& p, effects& out);
// Sends the last heartbeat on a link that this node closes.
void send_last_heartbeat(node_state& s, peer_state const& p, effects& out);
// Replaces a peer's figures by those of its newest heartbeat.
void replace_figures(node_state& s, peer_state& p, heartbeat e);
void remove_figures(node_state& s, peer_state const& p);
void add_usage(usage_counts& to, usage_counts const& from);
// Returns the load of an endpoint from all other nodes, as far as reported.
endpoint_load remote_load(node_state const& s, std::string const& endpoint);
// Returns the moving average of the other nodes' calls at an endpoint.
double mean_remote_calls(node_state const& s, std::string const& endpoint);
// Returns whether the figures of at least three quarters of the live nodes are
// known here.
bool covers_most_nodes(node_state const& s);
// Returns the number of nodes that a peer's figures cover.
std::size_t nodes_covered(node_state const& s, peer_state const& p);

// handover.cpp: hand-over of a leaving node's requests
void hand_over_requests(node_state& s, effects& out);
// Whether a leaving node holds answers for which a peer may still be linked.
bool waits_for_peer(node_state const& s);
void on_hand_over(node_state& s, peer_state const& p, hand_over const& e,
                  effects& out);
void on_hand_over_answer(node_state& s, peer_state const& p,
                         hand_over_answer const& e, effects& out);
void on_relay_ended(node_state& s, relay_ended const& e);
void on_offer_link_closed(node_state& s, std::uint64_t link, effects& out);
bool learn_successor(node_state& s, successor_news const& e);

// reduce.cpp: dispatch of events, and shared helpers
request_state* find_request(node_state& s, request_id const& id);
// Returns the ids of the requests that match, sorted, so that the order is the
// same on every run and replay.
template <class F>
std::vector<request_id> requests_where(node_state const& s, F matches)
{
    std::vector<request_id> out;
    for (auto const& [id, r] : s.requests)
        if (matches(r))
            out.push_back(id);
    std::ranges::sort(out);
    return out;
}
request_state* request_of_call(node_state& s, call_id call);
void record_latency(latency_histogram& it, duration passed);
void emit_log_event(effects& out, int number, std::string subject,
                    std::string peer, std::string detail);
std::string milliseconds_text(duration d);
// Returns the identity of a part of a prompt as hexadecimal digits.
std::string part_text(std::uint64_t part);
void record_decision(node_state& s, std::string subject, std::string rule,
                     std::string detail);
std::uint64_t
append_records(node_state& s, std::string stream,
               std::vector<std::variant<config_record, claim_record>> records,
               effects& out);
std::string next_record_id(node_state& s);

// Numbers of log events. docs/EVENTS.md lists them; CI checks the list.
namespace events {
inline constexpr int node_leaving = 102;
inline constexpr int config_in_force = 201;
inline constexpr int config_refused = 202;
inline constexpr int config_gap = 203;
inline constexpr int snapshot_installed = 204;
inline constexpr int checkpoint_asked = 205;
inline constexpr int endpoint_listed = 206;
inline constexpr int zone_evacuated = 211;
inline constexpr int zone_restored = 212;
inline constexpr int log_lost = 301;
inline constexpr int log_back = 302;
inline constexpr int append_in_doubt = 303;
inline constexpr int claims_gap = 304;
inline constexpr int request_refused = 401;
inline constexpr int call_failed = 402;
inline constexpr int request_retried = 403;
inline constexpr int answer_failed = 404;
inline constexpr int connection_silent = 405;
inline constexpr int outcome_unknown = 406;
inline constexpr int request_sent = 407;
inline constexpr int request_answered = 408;
inline constexpr int caller_left = 409;
inline constexpr int call_broken_off = 410;
inline constexpr int answer_not_held = 411;
inline constexpr int call_withheld = 421;
inline constexpr int endpoint_leaving = 501;
inline constexpr int endpoint_paused = 502;
inline constexpr int handed_over = 503;
inline constexpr int taken_over = 504;
inline constexpr int header_ignored = 505;
inline constexpr int part_suspected = 506;
inline constexpr int part_quarantined = 507;
inline constexpr int part_released = 508;
inline constexpr int part_probed = 509;
inline constexpr int peer_up = 601;
inline constexpr int peer_down = 602;
inline constexpr int peer_refused = 603;
inline constexpr int member_changed = 604;
inline constexpr int hub_chosen = 605;
inline constexpr int store_followed = 306;
inline constexpr int registry_read = 308;
inline constexpr int store_returned = 307;
inline constexpr int move_stage = 701;
inline constexpr int move_vetoed = 702;
inline constexpr int move_ended = 703;
inline constexpr int lease_taken = 801;
inline constexpr int lease_lost = 802;
inline constexpr int usage_reported = 803;
inline constexpr int endpoints_ordered = 805;
inline constexpr int order_refused = 806;
inline constexpr int usage_sent = 807;
} // namespace events

} // namespace papayahook::core
