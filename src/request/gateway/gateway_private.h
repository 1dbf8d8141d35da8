/**
 * DOC: gateway_private
 *
 * Types and functions shared by the files of the gateway's data task: gateway.c (the task),
 * gateway_accept.c (checks of a client's request), gateway_call.c (its steps and its end),
 * gateway_hop.c (one send to an engine), gateway_queue.c (requests queued while engines are full).
 */
#ifndef REQUEST_GATEWAY_GATEWAY_PRIVATE_H
#define REQUEST_GATEWAY_GATEWAY_PRIVATE_H

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "base/latency.h"
#include "request/policy/course.h"
#include "request/policy/crash_watch.h"
#include "request/gateway/event_split.h"
#include "request/fault.h"
#include "request/gateway/gateway.h"
#include "request/policy/first_ask.h"
#include "request/policy/line.h"
#include "request/policy/load_gauge.h"
#include "request/policy/pace.h"
#include "request/policy/patience.h"
#include "request/policy/proven.h"
#include "request/relay.h"
#include "request/policy/spread.h"

#define GWY_TRIED 8             /* engines of one request that are remembered and not asked again */
#define GWY_IDLE_CONNECTIONS 64 /* idle connections to engines that are kept */
#define GWY_IDLE_TIMEOUT_MS 10000
/* An engine accepts a connection within milliseconds. An unreachable one doesn't respond at all,
 * and a lost SYN is sent again only after a second: by then another engine could have responded. */
#define GWY_CONNECT_MS 250
/* A request that must not be repeated reuses an idle connection only while the engine certainly
 * keeps it open: if the engine closed it at that moment, nobody could tell whether the request ran.
 */
#define GWY_FRESH_US (1000 * 1000)
#define GWY_FRESH_DIVISOR 4 /* reuse within this part of the idle time that the engine states */
/* Bounds of Retry-After. A retry sooner than the minimum would find the same queue. */
#define GWY_RETRY_MIN_MS 100
#define GWY_RETRY_MAX_MS 8000
/* Retry-After while the data centres of all engines are drained: operators need seconds to change
 * that. */
#define GWY_RETRY_DRAINED_MS 2000
#define GWY_SUSPECTS 256
#define GWY_SUSPECT_US (UINT64_C (60) * CLK_US_PER_S) /* its client has sent it again by then */
/* Many clients send the same status check, so one of them is likely to run at any engine that
 * crashes. After two such crashes the check would be refused to all clients as one that crashes
 * engines. A request that was served within this time is therefore not marked. One that really
 * crashes every engine isn't served meanwhile, and is marked again after this time. */
#define GWY_PROVEN 4096
#define GWY_PROVEN_US (UINT64_C (10) * CLK_US_PER_S)
#define GWY_WARM 4096       /* pairs of prompt and engine whose cache has the shared parts */
#define GWY_FULL_MILLI 900  /* share of slots in use, in thousandths, from which requests queue */
#define GWY_WATCH_TICKS 4   /* ticks between two searches for hops whose engine is silent */
#define GWY_WAIT_TICK_MS 25 /* queued requests are checked this often, and after all events */
/* Levels of priority of an account, and of a route. Engines distinguish ten in all, so the pairs of
 * both must be no more than that. */
#define GWY_PRIORITIES 3
/* Slots of a table of route statistics; of two routes with the same slot the later is kept. */
#define GWY_ROUTES 256
#define GWY_RUN_GAIN 16   /* smoothing of a route's run times: about the last sixteen count */
#define GWY_HISTOGRAMS 64 /* services with histograms of their own; all further ones share one */

/**
 * struct gwy_service - state of one service
 * @name: interned string
 * @queue: requests that wait while all engines are full
 * @load_gauge: load of all its engines together
 * @in_flight: requests of this gateway at its engines
 * @mean_milli: mean load of its engines at the last choice, in thousandths of a request
 * @retries: this gateway's share of the retry budget
 * @wait_histogram: times from arrival to the first send
 * @head_histogram: times from a send to the head of its response
 * @answer_histogram: times from arrival to the end of the response
 * @failure_histogram: times from arrival to a refusal or failure
 */
typedef struct
{
  gwy_t *gwy;
  const char *name;
  wait_queue_t *queue;
  load_gauge_t load_gauge;
  uint64_t in_flight;
  uint32_t mean_milli;
  retry_budget_t retries;
  lat_t *wait_histogram;
  lat_t *head_histogram;
  lat_t *answer_histogram;
  lat_t *failure_histogram;
} gwy_service_t;

/**
 * struct gwy_usual - usual times on one route
 * @route_hash: hash of the name of the route
 * @event_pace: time from one event of a stream to the next
 * @answer_pace: time of a response that is not a stream
 * @first_ask: recognizes requests that a client sends again after a refusal
 * @run_us: time for which a request keeps its slot, smoothed; 0 before the first
 */
typedef struct
{
  uint64_t route_hash;
  median_latency_t event_pace;
  median_latency_t answer_pace;
  first_attempt_t first_ask;
  uint64_t run_us;
} gwy_usual_t;

struct gwy
{
  gwy_options_t options;
  uint64_t name_hash; /* of the name of this gateway */
  hsv_t *listener;
  hcl_t *upstreams; /* connections to engines */
  rte_t *table;
  bool config_current; /* @table is known to be the newest version */
  bool stopping;       /* no connections and requests are accepted any more */
  uint64_t started_us;
  uint32_t routers;       /* see gwy_set_routers() */
  uint32_t known_routers; /* likewise, also those not heard from lately */
  GHashTable *services;   /* interned name -> gwy_service_t */
  GHashTable *calls;      /* set of gwy_call_t */
  crash_watch_t crashes;
  suspects_t *suspects;         /* requests that are suspected of crashing engines */
  recent_answers_t *served;     /* fingerprints of requests that were served lately */
  recent_answers_t *cache_warm; /* prompts and engines that read their shared parts lately */
  gwy_usual_t route_stats[GWY_ROUTES];
  uint32_t ticks;
  struct event *tick_timer;
  uint64_t next_call_number;
  cnt_t *answered;
  cnt_t *refused;
  cnt_t *failed;
  cnt_t *retried;
  cnt_t *resumed;
  cnt_t *gone;
  cnt_t *waited;
};

/**
 * struct gwy_call - a client's request, from its arrival to the end of its response
 * @client: call of the listener; NULL once the client has gone
 * @upstream: call of the HTTP client for the current hop, or NULL
 * @table: routing table by which the request is handled
 * @account: NULL on a route that needs no key
 * @request: parsed headers of the request; borrows from @client
 * @queue_item: entry in the queue of @service
 * @course: decides what follows the outcome of a hop
 * @engine: engine of the current hop, or NULL
 * @tried: hashes of engines that are not asked again
 * @hops: sends to engines so far
 * @affinity: hash of the prompt part by which an engine is chosen; 0 for none
 * @affinity_tokens: length of that part
 * @shared_parts: hash of all prompt parts that other requests may share
 * @response: parsed headers of the last hop's response; valid when @has_head is set
 * @status: HTTP status of the response that is forwarded
 * @streaming: the response is a stream of events
 * @resuming: the current hop resumes a stream
 * @sent_us: time at which the last hop was sent
 * @head_us: time at which the head of its response came
 * @last_byte_us: time at which the last byte of its response came; 0 before the first
 * @events_before_head: whole events of the stream that had come before this head
 * @client_was_slow: the client read the response of the last hop slowly
 * @failure_buffered: the error response of an engine is buffered, to be forwarded if no other
 *   engine serves the request
 * @timer: fires at the deadline
 */
typedef struct
{
  gwy_t *gwy;
  hsv_call_t *client;
  hcl_call_t *upstream;
  rte_t *table;
  const rte_route_t *route;
  const rte_account_t *account;
  gwy_service_t *service;
  fmt_request_t request;
  char id[FMT_ID_BYTES];
  wait_queue_item_t queue_item;
  retry_plan_t course;
  evs_t evs;
  rly_t rly;
  char *body;
  size_t body_bytes;
  engine_t *engine;
  uint64_t tried[GWY_TRIED];
  uint32_t tried_count;
  uint32_t hops;
  uint64_t affinity;
  uint32_t affinity_tokens;
  uint64_t shared_parts;
  fmt_answer_t response;
  int status;
  bool has_head;
  bool streaming;
  bool resuming;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t sent_us;
  uint64_t head_us;
  uint64_t last_byte_us;
  uint64_t events_before_head;
  bool client_was_slow;
  bool failure_buffered;
  struct event *timer;
} gwy_call_t;

/** gwy_service() - the state of a service, made when it is not there yet; @name is interned */
gwy_service_t *gwy_service (gwy_t *gwy, const char *name);
/** gwy_usual() - the statistics of a route */
gwy_usual_t *gwy_usual (gwy_t *gwy, const rte_route_t *route);
uint64_t gwy_now_us (const gwy_t *gwy);
/** gwy_served() - an engine served the request with this fingerprint: clears it of the suspicion of
 * crashing engines, here and at the other gateways */
void gwy_served (gwy_t *gwy, uint64_t fingerprint);

/** gwy_accept() - checks a client's request, and rejects it or starts a call */
void gwy_accept (hsv_call_t *client, void *context);

/** gwy_call_new() - a call for a request that was accepted; starts its deadline timer */
gwy_call_t *gwy_call_new (gwy_t *gwy,
                          hsv_call_t *client,
                          const rte_route_t *route,
                          const rte_account_t *account,
                          const fmt_request_t *request);
void gwy_call_free (gwy_call_t *call);
/** gwy_call_fingerprint() - hash by which all gateways know a request that crashes engines; valid
 * only while the client is connected */
uint64_t gwy_call_fingerprint (const gwy_call_t *call);
/** gwy_call_place() - sends the request to an engine, queues it, or refuses it */
void gwy_call_place (gwy_call_t *call);
/** gwy_call_choose() - the engine to which the request would be sent now */
engine_choice_t gwy_call_choose (const gwy_call_t *call);
/** gwy_call_outcome() - a hop ended with @outcome; takes the next step, which may free the call */
void gwy_call_outcome (gwy_call_t *call, retry_plan_outcome_t outcome, verdict_reason_t reason);
/** gwy_call_retry_wait_us() - time until the retry budget allows a retry if no request comes
 * meanwhile; 0 if it allows one now */
uint64_t gwy_call_retry_wait_us (const gwy_call_t *call);
/** gwy_call_whole() - ends the call with a complete response; frees it */
void gwy_call_whole (gwy_call_t *call);
/** gwy_call_give_up() - ends the call without another hop: by 503 if the request ran nowhere,
 * otherwise by an error which says that it may have run; frees it */
void gwy_call_give_up (gwy_call_t *call, verdict_reason_t reason, uint32_t retry_after_ms);
/** gwy_call_no_engine() - ends the call because @choice found no engine to ask; frees it */
void gwy_call_no_engine (gwy_call_t *call, const engine_choice_t *choice);
/** gwy_call_log() - logs one decision on the request */
void gwy_call_log (const gwy_call_t *call,
                   const char *event,
                   const char *outcome,
                   verdict_reason_t reason);
/** gwy_call_log_failure() - likewise, for a refusal or failure that the client gets; the line is
 * written before the response */
void gwy_call_log_failure (const gwy_call_t *call,
                           const char *event,
                           const char *outcome,
                           verdict_reason_t reason);

/** gwy_hop_send() - sends the request to the engine of @choice; clears its cache source where none
 * is needed */
void gwy_hop_send (gwy_call_t *call, engine_choice_t *choice);
/** gwy_hop_watch() - gives the current hop up if its engine is silent for too long and the request
 * may go to another one */
void gwy_hop_watch (gwy_call_t *call);
/** gwy_hop_restarted() - gives the current hop up if it went to the engine @hash, which has gone */
void gwy_hop_restarted (gwy_call_t *call, uint64_t hash);
/** gwy_hop_drop() - cancels the current hop, if any, without an outcome */
void gwy_hop_drop (gwy_call_t *call);

/** gwy_wait_push() - all engines are full: queues the request, or refuses it */
void gwy_wait_push (gwy_call_t *call);
/** gwy_wait_for_retry() - a full engine refused the request and the retry budget is used up: queues
 * it until a retry is allowed, or refuses it */
void gwy_wait_for_retry (gwy_call_t *call);
/** gwy_wait_for_rest() - all engines that are left asked for no requests for a time, which ends
 * first after @rest_us: queues the request until then, or refuses it */
void gwy_wait_for_rest (gwy_call_t *call, uint64_t rest_us);
/** gwy_wait_remove() - takes the request out of the queue, if it is queued */
void gwy_wait_remove (gwy_call_t *call);
/** gwy_wait_pump() - sends queued requests of @service as far as its engines have room */
void gwy_wait_pump (gwy_service_t *service);
/** gwy_wait_expire() - refuses the queued requests of @service that can't start in time; frees them
 */
void gwy_wait_expire (gwy_service_t *service);

#endif
