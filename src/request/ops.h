/**
 * DOC: ops
 *
 * What the data tasks of both roles share: the listener, the operators' paths on it, the version
 * and members in force, noticing a pause, and the graceful stop. The rest of the traffic goes to
 * the role by callback.
 *
 *   GET  /livez                     200 while the event loop turns
 *   GET  /readyz                    200 when requests may be sent here
 *   GET  /metrics                   counters
 *   GET  /medlarplank/status        what this daemon knows and does, as JSON
 *   GET  /medlarplank/manifest      the version in force, for daemons that are behind (sealed)
 *   GET  /medlarplank/explain?request=ID  recent decisions on a request (sealed, or the key of the
 *                                   client account whose request it was)
 *   POST /medlarplank/drain         leave (sealed)
 */
#ifndef REQUEST_OPS_H
#define REQUEST_OPS_H

#include "connection/http_server.h"
#include "base/daemon.h"
#include "request/messages.h"
#include "request/decision.h"

#include <jansson.h>

#define OPS_PREFIX "/medlarplank/"
/* A host that stops goes on listening for this long, so that those who have not heard of it yet
 * get an answer in place of a refused connection. */
#define OPS_LINGER_MS 1000
/* Estimate of a sealed call without its body, or of the answer to one. */
#define OPS_CALL_BYTES 300

/**
 * struct ops_options - of ops_new()
 * @on_call: a request that is not for an operators' path
 * @on_sealed: a sealed call below OPS_PREFIX that is not known here. Return: whether it was
 * answered
 * @ready: whether the role itself is ready; version, members, pause and stop are judged here
 * @in_flight: requests that a stop must wait for besides the listener's
 * @status: add to the status document
 * @changed: version or members were replaced, or the daemon became stale or fresh
 * @stopping: a graceful stop began; once
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

typedef struct ops ops_t;

ops_t *ops_new (const ops_options_t *options, GError **error);
void ops_free (ops_t *ops);
/** ops_message() - Return: whether the message was one of those handled here */
bool ops_message (ops_t *ops, mbx_message_t *message);

/** ops_man() - the version in force, borrowed, or NULL */
man_t *ops_man (const ops_t *ops);
/** ops_members() - borrowed, or NULL */
mem_snapshot_t *ops_members (const ops_t *ops);
dcn_ring_t *ops_decisions (ops_t *ops);
uint64_t ops_now_us (const ops_t *ops);
/** ops_stale() - whether the task woke from a pause and has not heard all again: no new work may
 * start. Ask in the same event in which it would start. */
bool ops_stale (ops_t *ops);
bool ops_draining (const ops_t *ops);
/** ops_count_control() - bytes that the data task sent for control, by estimate: hints, revokes,
 * probes, loads. Counted with those of the control task, but not held back by its budget */
void ops_count_control (ops_t *ops, uint32_t bytes);
/** ops_account() - the client account whose key came with the call, or NULL */
const man_account_t *ops_account (const ops_t *ops, hsv_call_t *call);

#endif
