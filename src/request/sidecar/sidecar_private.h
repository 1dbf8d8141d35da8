/**
 * DOC: sidecar_private
 *
 * Shared by the files of the sidecar's data task: sidecar.c (the task), sidecar_accept.c (a
 * router's request is read), sidecar_call.c (its course here), sidecar_engine.c (the exchange with
 * the engine), sidecar_probe.c (whether the engine is up, and who crashed it), sidecar_claim.c,
 * sidecar_orders.c (what other daemons tell), sidecar_leave.c (hand-over).
 */
#ifndef REQUEST_SIDECAR_SIDECAR_PRIVATE_H
#define REQUEST_SIDECAR_SIDECAR_PRIVATE_H

#include "connection/http_client.h"
#include "base/daemon.h"
#include "request/sidecar/sidecar.h"
#include "request/policy/admit.h"
#include "request/sidecar/history.h"
#include "request/hop.h"
#include "request/ops.h"
#include "request/policy/place.h"
#include "request/relay.h"

#include <event2/event.h>

#define SDC_IDLE_CONNECTIONS 64
#define SDC_IDLE_TIMEOUT_MS 30000
/* Waiting requests are looked at this often besides all events that make room. */
#define SDC_TICK_MS 50
/* An engine that brings nothing of an answer for this long has it taken away. */
#define SDC_STALL_US (60 * 1000 * 1000)
#define SDC_PROBE_TIMEOUT_US (1000 * 1000)
#define SDC_PROBE_MIN_MS 50
#define SDC_PROBE_MAX_MS 2000
/* An engine that closes so many probes in a row without an answer is as good as crashed. */
#define SDC_PROBE_CUTS 3
/* Hand-over of the directory when leaving */
#define SDC_BATCH_ENTRIES 512
#define SDC_BATCHES 32
#define SDC_NOTES_COUNTER "medlarplank_directory_notes_total"

/**
 * enum sdc_state - of a request at its sidecar
 * @SDC_CUT: the engine's answer broke off, and a probe tells whether it crashed
 */
typedef enum
{
  SDC_ARRIVED,
  SDC_WAITING,
  SDC_CLAIMING,
  SDC_RUNNING,
  SDC_CUT
} sdc_state_t;

/** struct sdc - the data task of a sidecar */
struct sdc
{
  dmn_t *dmn;
  struct event_base *base;
  ops_t *ops;
  hcl_t *hcl;
  adm_t *adm;
  hst_t *hst;
  uint64_t own_hash;
  const man_service_t *service; /* of the version in force, which ops holds */
  plc_engine_t *others;         /* live engines of the service but the own one */
  uint32_t other_count;
  GHashTable *calls; /* attempt -> sdc_call_t */
  uint32_t suspects; /* calls in flight here that crashed another engine */
  bool engine_up;
  bool handed_over;
  uint64_t left_us; /* when this host began to leave, 0 while it does not */
  hcl_call_t *probe;
  uint64_t probe_us; /* when it was started */
  uint32_t probe_cuts;
  uint32_t probe_delay_ms;
  struct event *probe_timer;
  struct event *tick;
  struct event *report;
  mean_sample_t reported;
  char incarnation_text[24];
  cnt_t *dispatched;
  cnt_t *waited;
  cnt_t *crashes;
  cnt_t *notes; /* chats that were served elsewhere, as told by others */
  cnt_t *refusals[VRD_REASON_COUNT];
  cnt_t *load;
  cnt_t *waiting;
  cnt_t *bound_milli;
};

/**
 * struct sdc_call - a request that a router sent here
 * @request: what admission looks at
 * @in: NULL once it is answered or its router has gone
 * @claimed: a claim was asked for, and neither its release nor its end was told yet
 */
typedef struct
{
  adm_request_t request;
  sdc_t *sdc;
  sdc_state_t state;
  hsv_call_t *in;
  hcl_call_t *out;
  man_t *man;
  hop_t hop;
  rly_t rly;
  char *method;
  char *target;
  char *body;
  size_t body_bytes;
  hcl_header_t *headers;
  uint32_t header_count;
  char attempt_text[33];
  uint64_t arrived_us;
  uint64_t deadline_us;
  bool suspect;
  bool claimed;
  bool crossed;
  bool late;
  uint64_t cut_us;
  bool head_came;
  struct event *timer;
} sdc_call_t;

/** sdc_accept() - a call that is not for an operators' path */
void sdc_accept (hsv_call_t *in, void *context);

/** sdc_identify() - the headers that every answer of a sidecar carries */
void sdc_identify (const sdc_t *sdc, hsv_call_t *in, const char *attempt_text);
/** sdc_load_text() - the own load, for HOP_LOAD_HEADER. Return: false while no work is taken here
 */
bool sdc_load_text (const sdc_t *sdc, char out[48]);
/** sdc_takes_work() - not without an engine, when leaving or after a pause */
bool sdc_takes_work (const sdc_t *sdc);
/** sdc_call_offer() - the request was read: admit, queue or refuse it */
void sdc_call_offer (sdc_call_t *call);
/** sdc_call_refuse() - answer with a certain refusal and free the call; not while it waits or runs
 */
void sdc_call_refuse (sdc_call_t *call, const adm_decision_t *decision);
/** sdc_call_fail() - answer that it may have run, or break the answer off, and free the call; after
 * adm_finish() */
void sdc_call_fail (sdc_call_t *call, vrd_reason_t reason);
/** sdc_call_unheard() - its router hears that it may have run; the engine goes on with it */
void sdc_call_unheard (sdc_call_t *call, vrd_reason_t reason);
/** sdc_call_answered() - the engine's answer is whole; after adm_finish() */
void sdc_call_answered (sdc_call_t *call);
/** sdc_call_give_back() - admitted but not passed to the engine: refuse as not run */
void sdc_call_give_back (sdc_call_t *call, vrd_reason_t reason, vrd_t verdict);
void sdc_call_free (sdc_call_t *call);
/** sdc_call_drop() - nobody waits for it any more: take it back as far as that is possible. Return:
 * what became of it */
vrd_t sdc_call_drop (sdc_call_t *call);
void sdc_call_note (const sdc_call_t *call, const char *action, vrd_t verdict, vrd_reason_t reason);
/** sdc_closed() - why no work of the call's service may start here now, or VRD_REASON_NONE */
vrd_reason_t sdc_closed (const sdc_call_t *call);
/** sdc_left_lately() - whether the only reason of sdc_closed() is leaving, since a moment ago */
bool sdc_left_lately (const sdc_t *sdc);
/** sdc_pump() - refuse and dispatch waiting requests as far as they go now */
void sdc_pump (sdc_t *sdc);

/** sdc_engine_start() - pass an admitted request to the engine */
void sdc_engine_start (sdc_call_t *call);
/** sdc_engine_timer() - timer of a running call */
void sdc_engine_timer (evutil_socket_t fd, short what, void *context);

/** sdc_probe_now() - find out whether the engine is up */
void sdc_probe_now (sdc_t *sdc);
void sdc_probe_timer (evutil_socket_t fd, short what, void *context);

/** sdc_claim_start() - claim the key of an admitted request before it runs */
void sdc_claim_start (sdc_call_t *call);
void sdc_claim_result (sdc_t *sdc, const clm_result_t *result);
/** sdc_claim_end() - tell how the claimed attempt ended; no-op without a claim */
void sdc_claim_end (sdc_call_t *call, bool ran, uint32_t status);

/** sdc_order() - a sealed call of another daemon. Return: whether it was answered */
bool sdc_order (hsv_call_t *in, const char *path, void *context);

/** sdc_leave() - hand the directory over to the next homes of its chats */
void sdc_leave (sdc_t *sdc);

#endif
