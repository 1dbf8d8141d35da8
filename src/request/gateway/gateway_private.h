/**
 * DOC: gateway_private
 *
 * Shared by the files of the gateway's data task: gateway.c (the task), gateway_accept.c (a
 * caller's request is judged), gateway_call.c (its course), gateway_hop.c (the exchange with an
 * engine), gateway_wait.c (requests that wait for room).
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

#define GWY_TRIED 8
#define GWY_IDLE_CONNECTIONS 64
#define GWY_IDLE_TIMEOUT_MS 10000
/* An engine accepts in a few milliseconds. One that is dark does not answer at all, and a first
 * packet that is lost is sent again after a second: another engine is nearer than that. */
#define GWY_CONNECT_MS 250
/* A request that must not be repeated goes over a kept connection only while the engine surely
 * keeps it: one that it closes at the same moment leaves open whether it ran. */
#define GWY_FRESH_US (1000 * 1000)
#define GWY_FRESH_DIVISOR 4 /* of the idle time that the engine states */
/* A retry sooner than this finds the same queue. */
#define GWY_RETRY_MIN_MS 100
#define GWY_RETRY_MAX_MS 8000
/* All engines' data centres are drained: that takes operators seconds at the least. */
#define GWY_RETRY_DRAINED_MS 2000
#define GWY_SUSPECTS 256
#define GWY_SUSPECT_US (UINT64_C (60) * CLK_US_PER_S) /* its caller has sent it again by then */
/* A status check that many callers send alike runs at whichever engines crash, and after two would
 * be refused to all of them. What was served moments ago did not crash them; what does crash each
 * engine is not served meanwhile, and after this time is marked again. */
#define GWY_PROVEN 4096
#define GWY_PROVEN_US (UINT64_C (10) * CLK_US_PER_S)
#define GWY_WARM 4096       /* prompts of which an engine is known to have the shared parts */
#define GWY_FULL_MILLI 900  /* of the slots in use: requests queue at some of the engines */
#define GWY_WATCH_TICKS 4   /* of those below between two looks at hops that bring nothing */
#define GWY_WAIT_TICK_MS 25 /* waiting requests are looked at this often besides all events */
/* Routes of which the usual times are known; of two in one place the later is kept. */
/* Of accounts, and of routes, that are told apart: engines know ten ranks in all. */
#define GWY_PRIORITIES 3
#define GWY_ROUTES 256
#define GWY_RUN_GAIN 16   /* of the smoothing of a route's runs: about the last sixteen count */
#define GWY_HISTOGRAMS 64 /* services with histograms of their own; all further ones share one */

/**
 * struct gwy_service - what the gateway keeps of a service
 * @name: interned
 * @line: requests that wait for room
 * @load: of its engines
 * @under_way: requests of this gateway there
 * @mean_milli: load of its engines as of the last choice, in thousandths
 * @waits, @heads, @answers, @failures: from arrival to the first send, from a send to the head of
 * its answer, from arrival to a whole answer and to a refusal or failure
 */
typedef struct
{
  gwy_t *gwy;
  const char *name;
  lin_t *line;
  gau_t load;
  uint64_t under_way;
  uint32_t mean_milli;
  rsh_t retries;
  lat_t *waits;
  lat_t *heads;
  lat_t *answers;
  lat_t *failures;
} gwy_service_t;

/**
 * struct gwy_usual - what is usual on the route of that hash
 * @event, @answer: time of an event of a stream, and of a plain answer
 * @first_ask: time that its callers have
 * @run_us: that a request keeps its slot, smoothed; 0 before the first
 */
typedef struct
{
  uint64_t route_hash;
  pac_t event;
  pac_t answer;
  fas_t first_ask;
  uint64_t run_us;
} gwy_usual_t;

struct gwy
{
  gwy_options_t options;
  uint64_t name_hash; /* of this gateway */
  hsv_t *front;
  hcl_t *upstreams;
  rte_t *table;
  bool certain;
  bool stopping; /* no connections are taken any more */
  uint64_t started_us;
  uint32_t routers;
  uint32_t known_routers;
  GHashTable *services; /* interned name -> gwy_service_t */
  GHashTable *calls;
  cwt_t crashes;
  sus_t *suspects;
  prv_t *proven; /* requests that were served lately */
  prv_t *warm;   /* shared parts that an engine read lately */
  gwy_usual_t usual[GWY_ROUTES];
  uint32_t ticks;
  struct event *tick;
  uint64_t next_number;
  cnt_t *answered;
  cnt_t *refused;
  cnt_t *failed;
  cnt_t *retried;
  cnt_t *resumed;
  cnt_t *gone;
  cnt_t *waited;
};

/**
 * struct gwy_call - a caller's request
 * @in: NULL once the caller has gone
 * @out: the hop under way, or NULL
 * @request: borrows from the headers of @in
 * @line: of @service's line
 * @engine: of the hop under way, or NULL
 * @answer: of the last hop's head, when @headed
 * @affinity, @shared_parts: hashes of the part that it is placed by, and of all parts it shares
 * @affinity_tokens: of the part that it is placed by
 * @streaming: the answer is a stream of events
 * @sent_us, @headed_us, @heard_us: of the last hop: the send, the head, the last byte; 0 before
 * @events_before: whole events that had come before its head
 * @held_up: its caller took the answer slowly
 * @failure_held: an engine's own failure is held whole, in case no other engine does better
 */
typedef struct
{
  gwy_t *gwy;
  hsv_call_t *in;
  hcl_call_t *out;
  rte_t *table;
  const rte_route_t *route;
  const rte_account_t *account;
  gwy_service_t *service;
  fmt_request_t request;
  char id[FMT_ID_BYTES];
  lin_item_t line;
  crs_t crs;
  evs_t evs;
  rly_t rly;
  char *body;
  size_t body_bytes;
  egn_t *engine;
  uint64_t tried[GWY_TRIED];
  uint32_t tried_count;
  uint32_t hops;
  uint64_t affinity;
  uint32_t affinity_tokens;
  uint64_t shared_parts;
  fmt_answer_t answer;
  int status;
  bool headed;
  bool streaming;
  bool resuming;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t sent_us;
  uint64_t headed_us;
  uint64_t heard_us;
  uint64_t events_before;
  bool held_up;
  bool failure_held;
  struct event *timer;
} gwy_call_t;

gwy_service_t *gwy_service (gwy_t *gwy, const char *name);
/** gwy_usual() - what is usual on @route */
gwy_usual_t *gwy_usual (gwy_t *gwy, const rte_route_t *route);
uint64_t gwy_now_us (const gwy_t *gwy);
/** gwy_served() - an engine answered the request of @fingerprint: it is no suspect, here and at
 * peers */
void gwy_served (gwy_t *gwy, uint64_t fingerprint);

/** gwy_accept() - a caller's request came */
void gwy_accept (hsv_call_t *in, void *context);

/** gwy_call_new() - the request was judged fit */
gwy_call_t *gwy_call_new (gwy_t *gwy,
                          hsv_call_t *in,
                          const rte_route_t *route,
                          const rte_account_t *account,
                          const fmt_request_t *request);
void gwy_call_free (gwy_call_t *call);
/** gwy_call_fingerprint() - what suspects are known by, at all gateways; while its caller is there
 */
uint64_t gwy_call_fingerprint (const gwy_call_t *call);
/** gwy_call_place() - send it to an engine, let it wait, or refuse it */
void gwy_call_place (gwy_call_t *call);
/** gwy_call_choose() - whom it would go to now */
spr_choice_t gwy_call_choose (const gwy_call_t *call);
/** gwy_call_outcome() - the hop ended so; on to the next step */
void gwy_call_outcome (gwy_call_t *call, crs_outcome_t outcome, vrd_reason_t reason);
/** gwy_call_retry_wait_us() - until the retry budget has one if no request comes meanwhile; 0 for
 * now */
uint64_t gwy_call_retry_wait_us (const gwy_call_t *call);
/** gwy_call_whole() - the answer is whole; frees the call */
void gwy_call_whole (gwy_call_t *call);
/** gwy_call_give_up() - it goes no further: 503 if it ran nowhere, else that it may have run; frees
 * the call */
void gwy_call_give_up (gwy_call_t *call, vrd_reason_t reason, uint32_t retry_after_ms);
/** gwy_call_no_engine() - @choice found none to ask; frees the call */
void gwy_call_no_engine (gwy_call_t *call, const spr_choice_t *choice);
/** gwy_call_log() - one line of a decision on the request */
void
gwy_call_log (const gwy_call_t *call, const char *event, const char *outcome, vrd_reason_t reason);
/** gwy_call_log_failure() - likewise, of what its caller will hear as a refusal or failure */
void gwy_call_log_failure (const gwy_call_t *call,
                           const char *event,
                           const char *outcome,
                           vrd_reason_t reason);

/** gwy_hop_send() - send the request to the engine of @choice, whose source may be left out */
void gwy_hop_send (gwy_call_t *call, spr_choice_t *choice);
/** gwy_hop_watch() - give the hop up if it brings nothing and the request may go elsewhere */
void gwy_hop_watch (gwy_call_t *call);
/** gwy_hop_restarted() - give the hop up if it is to the engine @hash, which has gone */
void gwy_hop_restarted (gwy_call_t *call, uint64_t hash);
/** gwy_hop_drop() - end the hop under way, if any, without an outcome */
void gwy_hop_drop (gwy_call_t *call);

/** gwy_wait_push() - all engines are full: let it wait, or refuse it */
void gwy_wait_push (gwy_call_t *call);
/** gwy_wait_for_retry() - a full engine refused it and no retry is left: let it wait for one, or
 * refuse it */
void gwy_wait_for_retry (gwy_call_t *call);
/** gwy_wait_for_rest() - all engines that are left want rest, one of them for @rest_us: let it
 * wait, or refuse it */
void gwy_wait_for_rest (gwy_call_t *call, uint64_t rest_us);
/** gwy_wait_remove() - it waits no longer */
void gwy_wait_remove (gwy_call_t *call);
/** gwy_wait_pump() - send what waits for @service as far as there is room */
void gwy_wait_pump (gwy_service_t *service);
/** gwy_wait_expire() - refuse those of @service that wait in vain; frees them */
void gwy_wait_expire (gwy_service_t *service);

#endif
