/**
 * DOC: router_private
 *
 * Shared by the files of the router's data task: router.c (the task), router_place.c (candidates),
 * router_accept.c (a caller's request is read and judged), router_call.c (its course), router_hop.c
 * (one exchange with one sidecar), router_watch.c (whether a quiet host is frozen), router_tell.c
 * (what sidecars are told besides).
 */
#ifndef REQUEST_ROUTER_ROUTER_PRIVATE_H
#define REQUEST_ROUTER_ROUTER_PRIVATE_H

#include "connection/budget.h"
#include "connection/http_client.h"
#include "base/daemon.h"
#include "request/router/router.h"
#include "request/policy/attempt.h"
#include "request/policy/choose.h"
#include "request/policy/health.h"
#include "request/hop.h"
#include "request/ops.h"
#include "request/policy/place.h"
#include "request/policy/proven.h"
#include "request/relay.h"
#include "request/policy/suspect.h"

#include <event2/event.h>

#define RTR_IDLE_CONNECTIONS 64   /* kept for each sidecar */
#define RTR_IDLE_TIMEOUT_MS 20000 /* below what a sidecar keeps an idle connection for */
#define RTR_REVOKE_TIMEOUT_US (1000 * 1000)
#define RTR_TELL_TIMEOUT_US (1000 * 1000)
/* A sidecar says itself that the deadline passed, and what became of the request; the router's own
 * timer is for when it says nothing. */
#define RTR_DEADLINE_GRACE_US (250 * 1000)
/* A request that has brought no answer for this long makes the router ask whether its host runs at
 * all: a frozen one keeps its sockets, and would hold each request until its deadline. */
#define RTR_QUIET_US (500 * 1000)
#define RTR_PROBE_TIMEOUT_US (500 * 1000)
/* An answer that brings nothing for this long is given up. */
#define RTR_STALL_US (60 * 1000 * 1000)
#define RTR_PROVEN_ENTRIES 4096
#define RTR_PROVEN_US (2 * 1000 * 1000)
#define RTR_SUSPECT_US (30 * 60 * (uint64_t)CLK_US_PER_S)
/* For this long after an engine had no room, first hops carry loads too: the mean is moving. */
#define RTR_BURST_US (100 * 1000)
#define RTR_TOLD_ENTRIES 8192
#define RTR_TOLD_US (60 * 1000 * 1000)

/** struct rtr_engines - some engines of a service, as chs_choose() takes them */
typedef struct
{
  plc_engine_t *engines;
  chs_engine_t *details;
  uint32_t count;
} rtr_engines_t;

/**
 * struct rtr_pool - the engines of one service; for one version and one list of members
 * @near: in the router's region
 * @far: in others, asked when the region has too few
 * @hashes: of all, for the judgement of their health as a whole
 */
typedef struct
{
  rtr_engines_t near;
  rtr_engines_t far;
  uint64_t *hashes;
} rtr_pool_t;

/** struct rtr_loads - loads heard of in one service; @refused_us: when one had no room */
typedef struct
{
  mean_table_t table;
  uint64_t refused_us;
} rtr_loads_t;

/** struct rtr_told - which engine a chat's home was told of last */
typedef struct
{
  uint64_t chat_hash;
  uint64_t engine_hash;
  uint64_t told_us;
} rtr_told_t;

typedef struct rtr_watch rtr_watch_t;

/** struct rtr - the data task of a router */
struct rtr
{
  dmn_t *dmn;
  struct event_base *base;
  ops_t *ops;
  hcl_t *hcl;
  hlt_t *hlt;
  att_budget_t budget;
  rtr_pool_t *pools; /* by service index of the version in force */
  uint32_t pool_count;
  GHashTable *loads;        /* service hash -> rtr_loads_t */
  GHashTable *incarnations; /* engine hash -> uint64_t, the newest heard */
  GHashTable *watches;      /* host hash -> rtr_watch_t */
  rtr_told_t *told;
  bdg_t news_budget; /* of the loads that ride on hops, and of hints to homes */
  prv_t *prv;
  sus_t *suspects; /* as seen from here, before the sidecars told one another */
  uwy_t *uwy;
  GQueue calls;
  uint64_t id_high;
  uint64_t id_low;
  cnt_t *hops;
  cnt_t *retries;
  cnt_t *revokes;
  cnt_t *probes;
  cnt_t *told_count;
  cnt_t *ends[VRD_RAN + 1];         /* requests, by verdict */
  cnt_t *reasons[VRD_REASON_COUNT]; /* hops that brought no answer, by reason */
};

/** struct rtr_answer - what a sidecar's answer said in its head */
typedef struct
{
  bool came;
  bool from_engine;
  int status;
  vrd_t verdict;
  vrd_reason_t reason;
  uint32_t retry_after_ms;
  uint64_t referrals[LIM_REFERRALS];
  uint32_t referral_count;
} rtr_answer_t;

/**
 * struct rtr_call - a caller's request
 * @in: NULL once it is answered or its caller has gone
 * @out: the hop under way, or NULL
 * @aside: a revoke under way, or NULL
 */
typedef struct
{
  rtr_t *rtr;
  GList link;
  hsv_call_t *in;
  hcl_call_t *out;
  hcl_call_t *aside;
  man_t *man;
  const man_account_t *account;
  const man_service_t *service;
  const man_class_t *klass;
  hop_t hop;
  chs_t place;
  att_t att;
  rly_t rly;
  rtr_answer_t answer;
  char *method;
  char *target;
  char *body;
  size_t body_bytes;
  hcl_header_t *headers;
  uint32_t header_count;
  uint64_t place_hash;
  uint64_t request_id[2];
  char attempt_text[33];
  char request_text[33];
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t sent_us;
  uint64_t sent_incarnation; /* of the sidecar asked last, 0 when not known */
  set_address_t sent_to;     /* where the last hop went, whatever the list says by now */
  vrd_t revoke_verdict;
  bool timed_out;
  bool gone;
  struct event *timer;
} rtr_call_t;

/** rtr_place_rebuild() - version or members were replaced */
void rtr_place_rebuild (rtr_t *rtr);
void rtr_place_clear (rtr_t *rtr);
/** rtr_place_find() - whom to ask, into @call->place */
void rtr_place_find (rtr_call_t *call, bool first_turn);
/** rtr_place_samples() - loads were heard of */
void rtr_place_samples (rtr_t *rtr, const msg_samples_t *samples);
/** rtr_host() - a host that may be asked, or NULL */
const mem_host_t *rtr_host (const rtr_t *rtr, uint64_t engine_hash);

/** rtr_accept() - a caller's request came: judge it, and start it or refuse it */
void rtr_accept (hsv_call_t *in, void *context);
/** rtr_call_start() - the request was judged fit */
void rtr_call_start (rtr_call_t *call);
void rtr_call_free (rtr_call_t *call);
/** rtr_call_gone() - the caller went away */
void rtr_call_gone (void *context);
/** rtr_call_step() - do what the course says next */
void rtr_call_step (rtr_call_t *call, att_step_t step);
/** rtr_call_ended() - a hop ended; on to the next step */
void rtr_call_ended (rtr_call_t *call, const att_outcome_t *outcome);
/** rtr_call_note() - log and keep a decision */
void rtr_call_note (
    rtr_call_t *call, const char *action, uint64_t engine_hash, vrd_t verdict, vrd_reason_t reason);
/** rtr_call_fault() - the error that the caller would see */
flt_t rtr_call_fault (const rtr_call_t *call, vrd_t verdict, vrd_reason_t reason);

/** rtr_hop_send() - send the request to a host */
void rtr_hop_send (rtr_call_t *call, const mem_host_t *host);
/** rtr_hop_timer() - the timer of a call: the deadline, and later a stalled answer */
void rtr_hop_timer (evutil_socket_t fd, short what, void *context);
/** rtr_hop_drop() - end the hop under way, if any, without an outcome */
void rtr_hop_drop (rtr_call_t *call);
/** rtr_watch_heard() - an answer came from the host: it is not frozen */
void rtr_watch_heard (rtr_t *rtr, uint64_t host_hash);
/** rtr_watch_quiet() - no answer has come for a while: see whether the host runs. If not, all
 * idempotent requests that wait for it go elsewhere */
void rtr_watch_quiet (rtr_call_t *call);
void rtr_watch_free (rtr_watch_t *watch);
/** rtr_revoke() - bar the last attempt at the sidecar that had it */
void rtr_revoke (rtr_call_t *call, const mem_host_t *host);
/** rtr_revoke_unheard() - as rtr_revoke(), but nobody waits for the answer */
void rtr_revoke_unheard (rtr_call_t *call);
/** rtr_tell_served() - tell a chat's home where it was served, if that is not what it knows */
void rtr_tell_served (rtr_call_t *call, uint64_t engine_hash);
uint64_t rtr_incarnation (const rtr_t *rtr, uint64_t engine_hash);
void rtr_learn_incarnation (rtr_t *rtr, uint64_t engine_hash, uint64_t incarnation);

#endif
