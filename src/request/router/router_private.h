/**
 * DOC: router_private
 *
 * Declarations shared by the files of the router's data task: router.c (set-up and configuration),
 * router_candidates.c (engine pools and candidates), router_accept.c (reads and validates a
 * caller's request), router_call.c (the steps of a request up to its end), router_hop.c (the HTTP
 * exchange with one sidecar), router_host_probe.c (health checks of hosts that have not answered
 * for a while), router_notify.c (revokes and cache hints to sidecars).
 *
 * A hop is one exchange with one sidecar. Each hop of a request is an attempt with an id of its
 * own, by which the router can revoke it.
 */
#ifndef REQUEST_ROUTER_ROUTER_PRIVATE_H
#define REQUEST_ROUTER_ROUTER_PRIVATE_H

#include "connection/byte_budget.h"
#include "connection/http_client.h"
#include "base/daemon.h"
#include "request/router/router.h"
#include "request/policy/retries/forwarding.h"
#include "request/policy/placement/candidates.h"
#include "request/policy/engines/health.h"
#include "request/hop.h"
#include "request/data_task.h"
#include "request/policy/placement/rendezvous.h"
#include "request/policy/suspects/recent_answers.h"
#include "request/relay.h"
#include "request/policy/suspects/suspect.h"

#include <event2/event.h>

#define ROUTER_IDLE_CONNECTIONS 64   /* idle keep-alive connections to each sidecar */
#define ROUTER_IDLE_TIMEOUT_MS 20000 /* shorter than the idle timeout of a sidecar's listener */
#define ROUTER_REVOKE_TIMEOUT_US (1000 * 1000)
/* Timeout of notifications whose answer is ignored */
#define ROUTER_NOTIFY_TIMEOUT_US (1000 * 1000)
/* How long past the deadline the router waits for a sidecar. At the deadline the sidecar itself
 * answers, and it knows whether the request ran. */
#define ROUTER_DEADLINE_GRACE_US (250 * 1000)
/* After this long without an answer the router checks whether the host runs at all. A frozen host
 * keeps its sockets open, and would delay each request up to its deadline. */
#define ROUTER_HOST_PROBE_DELAY_US (500 * 1000)
#define ROUTER_HOST_PROBE_TIMEOUT_US (500 * 1000)
/* A host that was heard of within this time takes the request of a silent one without being asked:
 * since that one was asked. */
#define ROUTER_HOST_HEARD_US ROUTER_HOST_PROBE_TIMEOUT_US
/* The outcome of a hop to a host that can't be asked */
#define ROUTER_UNKNOWN_HOST                                                                        \
  ((const forwarding_outcome_t){ .verdict = VERDICT_NOT_RUN, .reason = VERDICT_REASON_CONNECT })
/* An answer that sends no data for this long is cancelled. */
#define ROUTER_STALL_TIMEOUT_US (60 * 1000 * 1000)
/* Requests that were answered recently, and for how long that counts */
#define ROUTER_ANSWERED_ENTRIES 4096
#define ROUTER_ANSWERED_TTL_US (2 * 1000 * 1000)
/* How long a request is remembered to have crashed an engine */
#define ROUTER_SUSPECT_TTL_US (30 * 60 * (uint64_t)CLOCK_US_PER_S)
/* For this long after an engine refused a request for lack of capacity, first hops carry load
 * samples, too: the mean load is changing. */
#define ROUTER_BURST_US (100 * 1000)
/* Hints that were sent to the homes of chats, and how long one is not sent again */
#define ROUTER_HINT_ENTRIES 8192
#define ROUTER_HINT_TTL_US (60 * 1000 * 1000)

/**
 * struct router_engines - engines of a service, in the form that candidates_choose() takes
 * @details: more about the engine at the same index of @engines
 */
typedef struct
{
  rendezvous_engine_t *engines;
  candidates_engine_t *details;
  uint32_t count;
} router_engines_t;

/**
 * struct router_pool - the engines of one service, for one version and one list of members
 * @own_region: those in the router's region
 * @other_regions: those in other regions, used when the own region has too few
 * @hashes: name hashes of all of them, for health_most_are_down()
 */
typedef struct
{
  router_engines_t own_region;
  router_engines_t other_regions;
  uint64_t *hashes;
} router_pool_t;

/**
 * struct router_loads - load samples of one service
 * @capacity_refused_us: when an engine last refused a request for lack of capacity
 */
typedef struct
{
  load_samples_t table;
  uint64_t capacity_refused_us;
} router_loads_t;

/**
 * struct router_hint - the last hint that the home of a chat got
 * @engine_hash: the engine that the hint named
 * @sent_us: when it was sent; 0 when it no longer holds
 */
typedef struct
{
  uint64_t chat_hash;
  uint64_t engine_hash;
  uint64_t sent_us;
} router_hint_t;

typedef struct router_host_probe router_host_probe_t;

/**
 * struct router - the data task of a router
 * @health: failures of hosts, as seen by this router's own requests
 * @retry_budget: retries that are allowed now
 * @pools: by index of the service in the version in force
 * @loads: service hash -> router_loads_t
 * @incarnations: engine hash -> uint64_t, the newest incarnation that was heard of
 * @host_probes: host hash -> router_host_probe_t
 * @served_hints: hash table of ROUTER_HINT_ENTRIES hints, one for each slot
 * @control_budget: bytes a second for load samples on hops and for hints
 * @answered_requests: fingerprints of requests that were answered recently
 * @suspects: requests that crashed engines as this router saw it, ahead of the marks that sidecars
 *   exchange
 * @requests_in_flight: this router's own requests at each engine
 * @calls: list of router_call_t
 * @request_id_high: upper half of all request ids
 * @request_id_low: lower half of the latest request id
 * @hops: counter of requests sent to sidecars
 * @retries: counter of requests sent again that may have run before
 * @revokes: counter of attempts revoked
 * @probes: counter of health checks of hosts
 * @served_hints_sent: counter of hints sent to the homes of chats
 * @ended: counters of callers' requests that ended, by verdict
 * @hop_failures: counters of hops without an answer of the engine, by reason
 */
struct router
{
  daemon_t *daemon;
  struct event_base *base;
  data_task_t *data_task;
  http_client_t *http_client;
  health_t *health;
  forwarding_budget_t retry_budget;
  router_pool_t *pools;
  uint32_t pool_count;
  GHashTable *loads;
  GHashTable *incarnations;
  GHashTable *host_probes;
  router_hint_t *served_hints;
  byte_budget_t control_budget;
  recent_answers_t *answered_requests;
  suspects_t *suspects;
  in_flight_counts_t *requests_in_flight;
  GQueue calls;
  uint64_t request_id_high;
  uint64_t request_id_low;
  counter_t *hops;
  counter_t *retries;
  counter_t *revokes;
  counter_t *probes;
  counter_t *served_hints_sent;
  counter_t *ended[VERDICT_RAN + 1];
  counter_t *hop_failures[VERDICT_REASON_COUNT];
};

/**
 * struct router_answer - status and headers of a sidecar's answer to the current hop
 * @received: status and headers have arrived
 * @from_engine: the engine's answer; otherwise a refusal of the sidecar
 * @referrals: hashes of the engines that the sidecar suggests instead
 */
typedef struct
{
  bool received;
  bool from_engine;
  int status;
  verdict_t verdict;
  verdict_reason_t reason;
  uint32_t retry_after_ms;
  uint64_t referrals[LIMIT_REFERRALS];
  uint32_t referral_count;
} router_answer_t;

/**
 * struct router_call - a caller's request
 * @inbound: the caller's HTTP request; NULL once it is answered or the caller has disconnected
 * @outbound: the HTTP exchange of the current hop, or NULL
 * @revoke_request: the revoke in flight whose answer decides the next step, or NULL
 * @manifest: the version in force when the request arrived, held until the call is freed
 * @placement: candidate engines and the homes of the chat
 * @attempts: decides the next step after each outcome
 * @answer: of the current hop
 * @placement_hash: what the candidates are chosen by
 * @request_id: the lowest byte is zero, and holds the number of the hop in an attempt id
 * @deadline_us: when an answer has to begin
 * @sent_us: when the last hop was sent
 * @sent_incarnation: known incarnation of the sidecar that the last hop went to, 0 when unknown
 * @sent_address: address that the last hop went to, which the member list may have replaced since
 * @revoke_verdict: what the sidecar answered to a revoke
 * @timed_out: not used
 * @avoids_silent_hosts: it leaves a silent host, and is sent to none of that kind
 * @caller_gone: the caller has disconnected
 * @timer: the deadline and the check for a frozen host, and later a stalled answer
 */
typedef struct
{
  router_t *router;
  GList link;
  http_server_call_t *inbound;
  http_client_call_t *outbound;
  http_client_call_t *revoke_request;
  manifest_t *manifest;
  const manifest_account_t *account;
  const manifest_service_t *service;
  const manifest_class_t *request_class;
  hop_t hop;
  candidates_t placement;
  forwarding_t attempts;
  relay_t relay;
  router_answer_t answer;
  char *method;
  char *target;
  char *body;
  size_t body_bytes;
  http_client_header_t *headers;
  uint32_t header_count;
  uint64_t placement_hash;
  uint64_t request_id[2];
  char attempt_text[33];
  char request_text[33];
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t sent_us;
  uint64_t sent_incarnation;
  address_t sent_address;
  verdict_t revoke_verdict;
  bool timed_out;
  bool avoids_silent_hosts;
  bool caller_gone;
  struct event *timer;
} router_call_t;

/** router_pools_rebuild() - rebuilds the pools after a change of the version or the members */
void router_pools_rebuild (router_t *router);
/** router_pools_clear() - frees the pools */
void router_pools_clear (router_t *router);
/**
 * router_find_candidates() - fills @call->placement with the candidates of a request
 * @first_turn: the request is the first message of its chat
 */
void router_find_candidates (router_call_t *call, bool first_turn);
/** router_merge_samples() - merges load samples that the control task received */
void router_merge_samples (router_t *router, const message_load_samples_t *message);
/** router_find_host() - the live sidecar host with this hash, or NULL */
const membership_host_t *router_find_host (const router_t *router, uint64_t engine_hash);

/** router_accept() - validates a caller's request, and starts or refuses it */
void router_accept (http_server_call_t *inbound, void *context);
/** router_call_start() - takes the first step of a validated request */
void router_call_start (router_call_t *call);
void router_call_free (router_call_t *call);
/** router_call_on_disconnect() - the caller disconnected */
void router_call_on_disconnect (void *context);
/** router_call_take_step() - carries out @step and those that follow; may free the call */
void router_call_take_step (router_call_t *call, forwarding_step_t step);
/** router_call_handle_outcome() - takes the next step after the outcome of a hop; may free the call
 */
void router_call_handle_outcome (router_call_t *call, const forwarding_outcome_t *outcome);
/** router_call_log_decision() - records a decision in the log and for /medlarplank/explain */
void router_call_log_decision (router_call_t *call,
                               const char *action,
                               uint64_t engine_hash,
                               verdict_t verdict,
                               verdict_reason_t reason);
/** router_call_fault() - the error answer for the caller */
error_reply_t
router_call_fault (const router_call_t *call, verdict_t verdict, verdict_reason_t reason);

/** router_hop_send() - sends the request to the sidecar of a host */
void router_hop_send (router_call_t *call, const membership_host_t *host);
/** router_hop_on_timer() - libevent callback for the timer of a call */
void router_hop_on_timer (evutil_socket_t fd, short what, void *context);
/** router_hop_cancel() - cancels the current hop, if any, without an outcome */
void router_hop_cancel (router_call_t *call);
/** router_host_probe_record_answer() - records that the host answered, so it is not frozen */
void router_host_probe_record_answer (router_t *router, uint64_t host_hash);
/**
 * router_host_probe_check() - checks a host that has not answered the request for a while
 *
 * No check is made when the host answered another request recently or a check is under way. If the
 * check times out, the idempotent requests that wait for the host leave it as far as the retry
 * budget allows it and another host is there that has been heard of; the others stay.
 */
void router_host_probe_check (router_call_t *call);
/** router_host_probe_is_silent() - whether the host did not answer its last health check */
bool router_host_probe_is_silent (const router_t *router, uint64_t host_hash);
void router_host_probe_free (router_host_probe_t *host_probe);
/** router_revoke() - revokes the last attempt at its sidecar; the answer decides the next step */
void router_revoke (router_call_t *call, const membership_host_t *host);
/** router_revoke_and_forget() - revokes the last attempt and ignores the answer */
void router_revoke_and_forget (router_call_t *call);
/**
 * router_send_served_hint() - sends a hint that an engine other than the chat's home served the
 * chat
 *
 * The home is the engine that ranks first for the chat; with the hint, its sidecar refers the next
 * request of the chat to the engine that has the context in its cache. Nothing is sent when the
 * home served the chat itself, when it got the same hint recently, or when the control budget is
 * used up.
 */
void router_send_served_hint (router_call_t *call, uint64_t engine_hash);
/** router_known_incarnation() - the newest known incarnation of a sidecar, 0 when unknown */
uint64_t router_known_incarnation (const router_t *router, uint64_t engine_hash);
/** router_record_incarnation() - records an incarnation; a newer one resets the health of the host
 */
void router_record_incarnation (router_t *router, uint64_t engine_hash, uint64_t incarnation);

#endif
