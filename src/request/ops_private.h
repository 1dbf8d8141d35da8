/**
 * DOC: ops_private
 *
 * The state of ops, shared by ops.c (the task's life) and ops_serve.c (the operators' paths).
 */
#ifndef REQUEST_OPS_PRIVATE_H
#define REQUEST_OPS_PRIVATE_H

#include "base/pause.h"
#include "request/ops.h"

#include <event2/event.h>

/**
 * struct ops - what the data tasks of both roles share
 * @linger_until_us: when a stop closes the listener
 */
struct ops
{
  ops_options_t options;
  hsv_t *hsv;
  man_t *man;
  uint64_t man_next_offset;
  mem_snapshot_t *members;
  dcn_ring_t *decisions;
  pse_t pse;
  bool draining;
  bool listening;
  bool drained;
  uint64_t linger_until_us;
  struct event *tick;
  struct event *drain_poll;
  cnt_t *control_bytes;
};

/** ops_serve() - a call came to the listener */
void ops_serve (hsv_call_t *call, void *context);

#endif
