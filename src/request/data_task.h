/**
 * DOC: data_task
 *
 * The common part of the data tasks of routers and sidecars: the listener, the paths for operators,
 * the manifest and list of hosts in force, the detection of pauses, and the graceful stop. All
 * other calls go to the role's callbacks.
 *
 *   GET  /livez                     200 while the event loop turns
 *   GET  /readyz                    200 when requests may be sent here
 *   GET  /metrics                   counters
 *   GET  /medlarplank/status        state of this daemon as JSON
 *   GET  /medlarplank/manifest      manifest in force, for daemons with an older one (sealed)
 *   GET  /medlarplank/explain?request=ID  recent decisions on a request (sealed, or with the key of
 *                                   the client account that sent the request)
 *   POST /medlarplank/drain         stop gracefully and leave the fleet (sealed)
 */
#ifndef REQUEST_DATA_TASK_H
#define REQUEST_DATA_TASK_H

#include "connection/http_server.h"
#include "base/daemon.h"
#include "request/messages.h"
#include "request/decision.h"

#include <jansson.h>

#define DATA_TASK_ADMIN_PREFIX "/medlarplank/"
/* A host that stops keeps its listener open for this long, so that daemons that don't know of the
 * stop yet get a response and not a refused connection. */
#define DATA_TASK_LINGER_MS 1000
/* Estimated size of a sealed call without its body, or of its response. */
#define DATA_TASK_CALL_OVERHEAD_BYTES 300

/**
 * struct data_task_options - options of data_task_new()
 * @daemon: settings, clock, counters and mailboxes of the daemon; borrowed
 * @on_call: handles a request whose path is not one for operators
 * @on_sealed: handles a call below DATA_TASK_ADMIN_PREFIX whose path is not handled here, after its
 *   seal was checked. Return: whether it responded
 * @ready: whether the role is ready; version, members, pause and stop are checked here
 * @in_flight: number of requests, besides the listener's calls, that a graceful stop waits for
 * @status: adds the role's fields to the status document
 * @changed: called when the version or the members were replaced, or staleness changed
 * @stopping: called once, when a graceful stop begins
 * @context: passed to all callbacks
 */
typedef struct
{
  daemon_t *daemon;
  struct event_base *base;
  void (*on_call) (http_server_call_t *call, void *context);
  bool (*on_sealed) (http_server_call_t *call, const char *path, void *context);
  bool (*ready) (void *context);
  uint32_t (*in_flight) (void *context);
  void (*status) (json_t *status, void *context);
  void (*changed) (void *context);
  void (*stopping) (void *context);
  void *context;
} data_task_options_t;

typedef struct data_task data_task_t;

data_task_t *data_task_new (const data_task_options_t *options, GError **error);
void data_task_free (data_task_t *data_task);
/** data_task_handle_message() - handles a message of the control task. Return: false if it is for
 * the role */
bool data_task_handle_message (data_task_t *data_task, mailbox_message_t *message);

/** data_task_manifest() - the manifest in force, borrowed; NULL before the first one */
manifest_t *data_task_manifest (const data_task_t *data_task);
/** data_task_members() - the list of hosts in force, borrowed; NULL before the first one */
membership_snapshot_t *data_task_members (const data_task_t *data_task);
decision_ring_t *data_task_decisions (data_task_t *data_task);
uint64_t data_task_now_us (const data_task_t *data_task);
/** data_task_is_stale() - whether the process was paused and has not yet received everything that
 * it missed; no new work may start then. The result holds for the current event only. */
bool data_task_is_stale (data_task_t *data_task);
/** data_task_is_draining() - whether a graceful stop began */
bool data_task_is_draining (const data_task_t *data_task);
/** data_task_takes_requests() - whether requests of callers are still taken; in a stop they are
 * until %DATA_TASK_LINGER_MS after its begin */
bool data_task_takes_requests (const data_task_t *data_task);
/** data_task_count_control_bytes() - adds an estimate of control traffic that the data task sent
 * (hints, revokes, probes, loads) to the counter of the control task. Its budget doesn't limit this
 * traffic
 */
void data_task_count_control_bytes (data_task_t *data_task, uint32_t bytes);
/** data_task_find_account() - the client account whose key the call carries, or NULL */
const manifest_account_t *data_task_find_account (const data_task_t *data_task,
                                                  http_server_call_t *call);

#endif
