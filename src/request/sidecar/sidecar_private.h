/**
 * DOC: sidecar_private
 *
 * Declarations shared by the files of the sidecar's data task: sidecar.c (set-up, configuration and
 * load reports), sidecar_accept.c (reads a router's request), sidecar_call.c (admission, queueing
 * and the outcome of a request), sidecar_engine.c (the HTTP exchange with the engine),
 * sidecar_probe.c (engine health checks and crash detection), sidecar_claim.c (claims of
 * idempotency keys), sidecar_orders.c (sealed requests of other daemons), sidecar_leave.c
 * (hand-over of the directory when the host leaves).
 *
 * The home of a chat is the engine that ranks first for it. The directory of a sidecar records
 * which chats its engine served recently, and which engine served a chat whose home is this one.
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

/* Idle keep-alive connections to the engine */
#define SDC_IDLE_CONNECTIONS 64
#define SDC_IDLE_TIMEOUT_MS 30000
/* Period of the queue check. Events that free capacity check the queue at once. */
#define SDC_TICK_MS 50
/* An engine that sends no data of an answer for this long has the request cancelled. */
#define SDC_STALL_US (60 * 1000 * 1000)
/* Health checks of the engine; the delay between two doubles from MIN to MAX while they fail. */
#define SDC_PROBE_TIMEOUT_US (1000 * 1000)
#define SDC_PROBE_MIN_MS 50
#define SDC_PROBE_MAX_MS 2000
/* An engine that closes this many health checks in a row without an answer counts as crashed. */
#define SDC_PROBE_CUTS 3
/* Hand-over of the directory when leaving: entries of one request, and the number of requests */
#define SDC_BATCH_ENTRIES 512
#define SDC_BATCHES 32
#define SDC_NOTES_COUNTER "medlarplank_directory_notes_total"

/**
 * enum sdc_state - state of a request at its sidecar
 * @SDC_ARRIVED: read, admission has not decided yet
 * @SDC_WAITING: in the admission queue
 * @SDC_CLAIMING: admitted, and the claim of its idempotency key is pending
 * @SDC_RUNNING: admitted and sent to the engine
 * @SDC_CUT: the engine's answer broke off; a health check decides whether the engine crashed
 */
typedef enum
{
  SDC_ARRIVED,
  SDC_WAITING,
  SDC_CLAIMING,
  SDC_RUNNING,
  SDC_CUT
} sdc_state_t;

/**
 * struct sidecar - the data task of a sidecar
 * @service: the service of the own engine in the version in force, which @ops holds; NULL if none
 * @other_engines: live engines of the service except the own one
 * @calls: the requests here, attempt id -> sdc_call_t
 * @suspect_calls: number of requests here that are marked as having crashed another engine
 * @engine_up: the last health check of the engine succeeded
 * @directory_handed_over: the hand-over has started since this host began to leave
 * @leaving_since_us: when this host began to leave, 0 while it does not
 * @probe: the health check under way, or NULL
 * @probe_started_us: when the latest health check was started
 * @probe_disconnects: health checks in a row whose connection closed without an answer
 * @probe_delay_ms: delay before the next health check while the engine is down
 * @tick_timer: checks the queue and whether the load has to be reported
 * @report_timer: reports the load once in each exchange interval
 * @reported_sample: the load that was reported last
 * @dispatched: counter of requests sent to the engine
 * @waited: counter of requests that were queued
 * @crashes: counter of engine crashes
 * @directory_notes: counter of chats that other daemons reported as served elsewhere
 * @refusals: counters of requests refused or failed, by reason
 * @load: gauge of requests that the engine runs
 * @waiting: gauge of requests in the queue
 * @bound_milli: gauge of the load bound, in thousandths of a request
 */
struct sidecar
{
  dmn_t *daemon;
  struct event_base *base;
  data_task_t *ops;
  hcl_t *http_client;
  admission_t *admission;
  hst_t *history;
  uint64_t own_hash;
  const man_service_t *service;
  rendezvous_engine_t *other_engines;
  uint32_t other_engine_count;
  GHashTable *calls;
  uint32_t suspect_calls;
  bool engine_up;
  bool directory_handed_over;
  uint64_t leaving_since_us;
  hcl_call_t *probe;
  uint64_t probe_started_us;
  uint32_t probe_disconnects;
  uint32_t probe_delay_ms;
  struct event *probe_timer;
  struct event *tick_timer;
  struct event *report_timer;
  load_sample_t reported_sample;
  char incarnation_text[24];
  cnt_t *dispatched;
  cnt_t *waited;
  cnt_t *crashes;
  cnt_t *directory_notes;
  cnt_t *refusals[VERDICT_REASON_COUNT];
  cnt_t *load;
  cnt_t *waiting;
  cnt_t *bound_milli;
};

/**
 * struct sdc_call - one attempt of a request, as sent by a router
 * @request: the input of admission; first, so that admission's pointers convert to the call
 * @inbound: the router's HTTP request; NULL once it is answered or the router has disconnected
 * @outbound: the HTTP exchange with the engine, or NULL
 * @manifest: the version in force when the request arrived, held until the call is freed
 * @arrived_us: when the request was read
 * @deadline_us: when an answer has to begin
 * @suspect: the request is marked as having crashed another engine
 * @claim_open: a claim was requested, and its end or release has not been reported yet
 * @answer_mismatch: the engine answered with the id of another request
 * @timeout_reported: the router was told of the timeout while the engine goes on
 * @interrupted_us: when the engine's answer broke off
 * @head_received: the status line and headers of the engine's answer have arrived
 * @timer: the deadline, and later a stalled answer
 */
typedef struct
{
  admission_request_t request;
  sdc_t *sidecar;
  sdc_state_t state;
  hsv_call_t *inbound;
  hcl_call_t *outbound;
  man_t *manifest;
  hop_t hop;
  relay_t relay;
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
  bool claim_open;
  bool answer_mismatch;
  bool timeout_reported;
  uint64_t interrupted_us;
  bool head_received;
  struct event *timer;
} sdc_call_t;

/** sdc_accept() - handles a request that is not for an operations path */
void sdc_accept (hsv_call_t *inbound, void *context);

/** sdc_identify() - adds the headers that every answer of a sidecar carries */
void sdc_identify (const sdc_t *sidecar, hsv_call_t *inbound, const char *attempt_text);
/**
 * sdc_load_text() - formats the own load as the value of HOP_LOAD_HEADER
 *
 * Return: false, with @out unset, while no requests are accepted here
 */
bool sdc_load_text (const sdc_t *sidecar, char out[48]);
/**
 * sdc_takes_work() - whether requests are accepted here
 *
 * Not without a service or a running engine, not while the host leaves, and not after a pause of
 * the process until the control task has fresh data again.
 */
bool sdc_takes_work (const sdc_t *sidecar);
/** sdc_call_offer() - dispatches, queues or refuses a request that was just read */
void sdc_call_offer (sdc_call_t *call);
/**
 * sdc_call_refuse() - refuses a request as not run, and frees the call
 *
 * The call must not be queued or admitted.
 */
void sdc_call_refuse (sdc_call_t *call, const admission_decision_t *decision);
/**
 * sdc_call_fail() - answers that the request may have run, and frees the call
 *
 * An answer that has begun is broken off. To be called after admission_finish().
 */
void sdc_call_fail (sdc_call_t *call, verdict_reason_t reason);
/**
 * sdc_call_unheard() - answers that the request may have run, and leaves it running
 *
 * The engine is not interrupted; its answer will be discarded.
 */
void sdc_call_unheard (sdc_call_t *call, verdict_reason_t reason);
/** sdc_call_answered() - ends a call whose answer is complete; to be called after
 * admission_finish() */
void sdc_call_answered (sdc_call_t *call);
/**
 * sdc_call_give_back() - refuses an admitted request that was not sent to the engine
 * @verdict: what the router is told of the request; the attempt itself is recorded as not run
 */
void sdc_call_give_back (sdc_call_t *call, verdict_reason_t reason, verdict_t verdict);
void sdc_call_free (sdc_call_t *call);
/**
 * sdc_call_drop() - cancels a request whose answer nobody waits for
 *
 * A non-idempotent request that runs is left to finish.
 *
 * Return: whether the attempt ran, as far as this is known
 */
verdict_t sdc_call_drop (sdc_call_t *call);
/** sdc_call_note() - records a decision in the log and for /medlarplank/explain */
void sdc_call_note (const sdc_call_t *call,
                    const char *action,
                    verdict_t verdict,
                    verdict_reason_t reason);
/** sdc_closed() - why no request of the call's service may start here now, or VERDICT_REASON_NONE
 */
verdict_reason_t sdc_closed (const sdc_call_t *call);
/** sdc_left_lately() - whether this host began to leave less than LIM_LEAVING_GRACE_US ago */
bool sdc_left_lately (const sdc_t *sidecar);
/** sdc_pump() - refuses and dispatches queued requests as far as their deadlines and the load allow
 */
void sdc_pump (sdc_t *sidecar);

/** sdc_engine_start() - sends an admitted request to the engine */
void sdc_engine_start (sdc_call_t *call);
/** sdc_engine_timer() - libevent callback for the timer of a running call */
void sdc_engine_timer (evutil_socket_t fd, short what, void *context);

/** sdc_probe_now() - starts a health check of the engine unless one is under way */
void sdc_probe_now (sdc_t *sidecar);
/** sdc_probe_timer() - libevent callback for the delay between two health checks */
void sdc_probe_timer (evutil_socket_t fd, short what, void *context);

/** sdc_claim_start() - requests the claim of an admitted request's idempotency key */
void sdc_claim_start (sdc_call_t *call);
/** sdc_claim_result() - starts or refuses the request that waits for this claim */
void sdc_claim_result (sdc_t *sidecar, const claim_result_t *result);
/**
 * sdc_claim_end() - reports how the claimed attempt ended; does nothing without an open claim
 * @ran: whether the engine ran the request; if not, the claim is released
 * @status: HTTP status of the engine's answer
 */
void sdc_claim_end (sdc_call_t *call, bool ran, uint32_t status);

/** sdc_order() - handles a sealed request of another daemon. Return: whether it was answered */
bool sdc_order (hsv_call_t *inbound, const char *path, void *context);

/**
 * sdc_leave() - sends the directory to the sidecars that are the next homes of its chats
 *
 * Entries that name the own engine are left out. Does nothing when
 * that was done since the host began to leave, or no other engine is live.
 */
void sdc_leave (sdc_t *sidecar);

#endif
