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
#ifndef REQUEST_OPS_H
#define REQUEST_OPS_H

#include "connection/http_server.h"
#include "base/daemon.h"
#include "request/messages.h"
#include "request/decision.h"

#include <jansson.h>

#define OPS_PREFIX "/medlarplank/"
/* A host that stops keeps its listener open for this long, so that daemons that don't know of the
 * stop yet get a response and not a refused connection. */
#define OPS_LINGER_MS 1000
/* Estimated size of a sealed call without its body, or of its response. */
#define OPS_CALL_BYTES 300

/**
 * struct ops_options - options of ops_new()
 * @dmn: settings, clock, counters and mailboxes of the daemon; borrowed
 * @on_call: handles a request whose path is not one for operators
 * @on_sealed: handles a call below OPS_PREFIX whose path is not handled here, after its seal was
 * checked. Return: whether it responded
 * @ready: whether the role is ready; version, members, pause and stop are checked here
 * @in_flight: number of requests, besides the listener's calls, that a graceful stop waits for
 * @status: adds the role's fields to the status document
 * @changed: called when the version or the members were replaced, or staleness changed
 * @stopping: called once, when a graceful stop begins
 * @context: passed to all callbacks
 */
typedef struct
{
  dmn_t *dmn;
  struct event_base *base;
  void (*on_call) (hsv_call_t *call, void *context);
  bool (*on_sealed) (hsv_call_t *call, const char *path, void *context);
  bool (*ready) (void *context);
  uint32_t (*in_flight) (void *context);
  void (*status) (json_t *status, void *context);
  void (*changed) (void *context);
  void (*stopping) (void *context);
  void *context;
} ops_options_t;

typedef struct data_task ops_t;

ops_t *ops_new (const ops_options_t *options, GError **error);
void ops_free (ops_t *data_task);
/** ops_message() - handles a message of the control task. Return: false if it is for the role */
bool ops_message (ops_t *data_task, mbx_message_t *message);

/** ops_man() - the manifest in force, borrowed; NULL before the first one */
man_t *ops_man (const ops_t *data_task);
/** ops_members() - the list of hosts in force, borrowed; NULL before the first one */
membership_snapshot_t *ops_members (const ops_t *data_task);
dcn_ring_t *ops_decisions (ops_t *data_task);
uint64_t ops_now_us (const ops_t *data_task);
/** ops_stale() - whether the process was paused and has not yet received everything that it missed;
 * no new work may start then. The result holds for the current event only. */
bool ops_stale (ops_t *data_task);
/** ops_draining() - whether a graceful stop began */
bool ops_draining (const ops_t *data_task);
/** ops_count_control() - adds an estimate of control traffic that the data task sent (hints,
 * revokes, probes, loads) to the counter of the control task. Its budget doesn't limit this traffic
 */
void ops_count_control (ops_t *data_task, uint32_t bytes);
/** ops_account() - the client account whose key the call carries, or NULL */
const man_account_t *ops_account (const ops_t *data_task, hsv_call_t *call);

#endif
