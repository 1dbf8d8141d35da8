/**
 * DOC: sidecar_private
 *
 * Declarations shared by the files of the sidecar's data task: sidecar.c (set-up, configuration and
 * load reports), sidecar_accept.c (reads a router's request), sidecar_call.c (admission, queueing
 * and the outcome of a request), sidecar_engine.c (the HTTP exchange with the engine),
 * sidecar_probe.c (engine health checks and crash detection), sidecar_claim.c (claims of
 * idempotency keys), sidecar_peer_requests.c (sealed requests of other daemons), sidecar_handover.c
 * (hand-over of the directory when the host leaves).
 *
 * The home of a chat is the engine that ranks first for it. The directory of a sidecar records
 * which chats its engine served recently, and which engine served a chat whose home is this one.
 */
#ifndef REQUEST_SIDECAR_SIDECAR_PRIVATE_H
#define REQUEST_SIDECAR_SIDECAR_PRIVATE_H

#include "connection/http_client.h"
#include "base/daemon.h"
#include "request/event_splitter.h"
#include "request/sidecar/chat_events.h"
#include "request/sidecar/sidecar.h"
#include "request/policy/queueing/admission.h"
#include "request/sidecar/history.h"
#include "request/hop.h"
#include "request/data_task.h"
#include "request/policy/placement/rendezvous.h"
#include "request/relay.h"

#include <event2/event.h>

/* Idle keep-alive connections to the engine */
#define SIDECAR_IDLE_CONNECTIONS 64
#define SIDECAR_IDLE_TIMEOUT_MS 30000
/* Period of the queue check. Events that free capacity check the queue at once. */
#define SIDECAR_QUEUE_CHECK_MS 50
/* An engine that sends no data of an answer for this long has the request cancelled. */
#define SIDECAR_STALL_TIMEOUT_US (60 * 1000 * 1000)
/* Health checks of the engine; the delay between two doubles from MIN to MAX while they fail. */
#define SIDECAR_PROBE_TIMEOUT_US (1000 * 1000)
#define SIDECAR_PROBE_MIN_MS 50
#define SIDECAR_PROBE_MAX_MS 2000
/* An engine that closes this many health checks in a row without an answer counts as crashed. */
#define SIDECAR_PROBE_MAX_DISCONNECTS 3
/* Hand-over of the directory when leaving: entries of one request, and the number of requests */
#define SIDECAR_HANDOVER_BATCH_ENTRIES 512
#define SIDECAR_HANDOVER_MAX_BATCHES 32
#define SIDECAR_DIRECTORY_NOTES_COUNTER "medlarplank_directory_notes_total"

/**
 * enum sidecar_call_state - state of a request at its sidecar
 * @SIDECAR_CALL_ARRIVED: read, admission has not decided yet
 * @SIDECAR_CALL_QUEUED: in the admission queue
 * @SIDECAR_CALL_CLAIMING: admitted, and the claim of its idempotency key is pending
 * @SIDECAR_CALL_RUNNING: admitted and sent to the engine
 * @SIDECAR_CALL_INTERRUPTED: the engine's answer broke off; a health check decides whether the
 *   engine crashed
 */
typedef enum
{
  SIDECAR_CALL_ARRIVED,
  SIDECAR_CALL_QUEUED,
  SIDECAR_CALL_CLAIMING,
  SIDECAR_CALL_RUNNING,
  SIDECAR_CALL_INTERRUPTED
} sidecar_call_state_t;

/**
 * struct sidecar - the data task of a sidecar
 * @service: the service of the own engine in the version in force, which @data_task holds; NULL if
 *   none
 * @other_engines: live engines of the service except the own one
 * @calls: the requests here, attempt id -> sidecar_call_t
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
  daemon_t *daemon;
  struct event_base *base;
  data_task_t *data_task;
  http_client_t *http_client;
  admission_t *admission;
  history_t *history;
  uint64_t own_hash;
  const manifest_service_t *service;
  rendezvous_engine_t *other_engines;
  uint32_t other_engine_count;
  GHashTable *calls;
  uint32_t suspect_calls;
  bool engine_up;
  bool directory_handed_over;
  uint64_t leaving_since_us;
  http_client_call_t *probe;
  uint64_t probe_started_us;
  uint32_t probe_disconnects;
  uint32_t probe_delay_ms;
  struct event *probe_timer;
  struct event *tick_timer;
  struct event *report_timer;
  load_sample_t reported_sample;
  char incarnation_text[24];
  counter_t *dispatched;
  counter_t *waited;
  counter_t *crashes;
  counter_t *directory_notes;
  counter_t *refusals[VERDICT_REASON_COUNT];
  counter_t *load;
  counter_t *waiting;
  counter_t *bound_milli;
};

/**
 * struct sidecar_call - one attempt of a request, as sent by a router
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
 * @is_event_stream: the engine's answer is a stream of events
 * @splitter: its events, checked by @events
 * @timer: the deadline, and later a stalled answer
 */
typedef struct
{
  admission_request_t request;
  sidecar_t *sidecar;
  sidecar_call_state_t state;
  http_server_call_t *inbound;
  http_client_call_t *outbound;
  manifest_t *manifest;
  hop_t hop;
  relay_t relay;
  char *method;
  char *target;
  char *body;
  size_t body_bytes;
  http_client_header_t *headers;
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
  bool is_event_stream;
  event_splitter_t splitter;
  chat_events_t events;
  struct event *timer;
} sidecar_call_t;

/** sidecar_accept() - handles a request that is not for an operations path */
void sidecar_accept (http_server_call_t *inbound, void *context);

/** sidecar_add_headers() - adds the headers that every answer of a sidecar carries */
void sidecar_add_headers (const sidecar_t *sidecar,
                          http_server_call_t *inbound,
                          const char *attempt_text);
/**
 * sidecar_format_load() - formats the own load as the value of HOP_LOAD_HEADER
 *
 * Return: false, with @out unset, while no requests are accepted here
 */
bool sidecar_format_load (const sidecar_t *sidecar, char out[48]);
/**
 * sidecar_accepts_requests() - whether requests are accepted here
 *
 * Not without a service or a running engine, not while the host leaves, and not after a pause of
 * the process until the control task has fresh data again.
 */
bool sidecar_accepts_requests (const sidecar_t *sidecar);
/** sidecar_call_admit() - dispatches, queues or refuses a request that was just read */
void sidecar_call_admit (sidecar_call_t *call);
/**
 * sidecar_call_refuse() - refuses a request as not run, and frees the call
 *
 * The call must not be queued or admitted.
 */
void sidecar_call_refuse (sidecar_call_t *call, const admission_decision_t *decision);
/**
 * sidecar_call_fail() - answers that the request may have run, and frees the call
 *
 * An answer that has begun is broken off. To be called after admission_finish().
 */
void sidecar_call_fail (sidecar_call_t *call, verdict_reason_t reason);
/**
 * sidecar_call_answer_and_continue() - answers that the request may have run, and leaves it running
 *
 * The engine is not interrupted; its answer will be discarded.
 */
void sidecar_call_answer_and_continue (sidecar_call_t *call, verdict_reason_t reason);
/** sidecar_call_complete() - ends a call whose answer is complete; to be called after
 * admission_finish() */
void sidecar_call_complete (sidecar_call_t *call);
/**
 * sidecar_call_refuse_admitted() - refuses an admitted request that was not sent to the engine
 * @verdict: what the router is told of the request; the attempt itself is recorded as not run
 */
void
sidecar_call_refuse_admitted (sidecar_call_t *call, verdict_reason_t reason, verdict_t verdict);
void sidecar_call_free (sidecar_call_t *call);
/**
 * sidecar_call_cancel() - cancels a request whose answer nobody waits for
 *
 * A non-idempotent request that runs is left to finish.
 *
 * Return: whether the attempt ran, as far as this is known
 */
verdict_t sidecar_call_cancel (sidecar_call_t *call);
/** sidecar_call_log_decision() - records a decision in the log and for /medlarplank/explain */
void sidecar_call_log_decision (const sidecar_call_t *call,
                                const char *action,
                                verdict_t verdict,
                                verdict_reason_t reason);
/** sidecar_unavailable_reason() - why no request of the call's service may start here now, or
 * VERDICT_REASON_NONE
 */
verdict_reason_t sidecar_unavailable_reason (const sidecar_call_t *call);
/** sidecar_in_leaving_grace() - whether this host began to leave less than LIMIT_LEAVING_GRACE_US
 * ago
 */
bool sidecar_in_leaving_grace (const sidecar_t *sidecar);
/** sidecar_process_queue() - refuses and dispatches queued requests as far as their deadlines and
 * the load allow
 */
void sidecar_process_queue (sidecar_t *sidecar);

/** sidecar_engine_send() - sends an admitted request to the engine */
void sidecar_engine_send (sidecar_call_t *call);
/** sidecar_engine_on_timer() - libevent callback for the timer of a running call */
void sidecar_engine_on_timer (evutil_socket_t fd, short what, void *context);

/** sidecar_probe_start() - starts a health check of the engine unless one is under way */
void sidecar_probe_start (sidecar_t *sidecar);
/** sidecar_probe_on_timer() - libevent callback for the delay between two health checks */
void sidecar_probe_on_timer (evutil_socket_t fd, short what, void *context);

/** sidecar_claim_start() - requests the claim of an admitted request's idempotency key */
void sidecar_claim_start (sidecar_call_t *call);
/** sidecar_claim_handle_result() - starts or refuses the request that waits for this claim */
void sidecar_claim_handle_result (sidecar_t *sidecar, const claim_result_t *result);
/**
 * sidecar_claim_end() - reports how the claimed attempt ended; does nothing without an open claim
 * @ran: whether the engine ran the request; if not, the claim is released
 * @status: HTTP status of the engine's answer
 */
void sidecar_claim_end (sidecar_call_t *call, bool ran, uint32_t status);

/** sidecar_handle_peer_request() - handles a sealed request of another daemon. Return: whether it
 * was answered */
bool sidecar_handle_peer_request (http_server_call_t *inbound, const char *path, void *context);

/**
 * sidecar_hand_over_directory() - sends the directory to the sidecars that are the next homes of
 * its chats
 *
 * Entries that name the own engine are left out. Does nothing when
 * that was done since the host began to leave, or no other engine is live.
 */
void sidecar_hand_over_directory (sidecar_t *sidecar);

#endif
