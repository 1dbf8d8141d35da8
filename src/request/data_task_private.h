/**
 * DOC: data_task_private
 *
 * State shared by data_task.c (start, stop and messages) and data_task_serve.c (the HTTP paths of
 * operators).
 */
#ifndef REQUEST_DATA_TASK_PRIVATE_H
#define REQUEST_DATA_TASK_PRIVATE_H

#include "base/pause.h"
#include "request/data_task.h"

#include <event2/event.h>

/**
 * struct data_task - state of one data task
 * @http_server: the listener
 * @manifest: manifest in force, or NULL before the first one
 * @man_next: position in the manifest stream after the record of @manifest
 * @members: list of hosts in force, or NULL before the first one
 * @pause: whether the task woke from a pause and its knowledge may be out of date
 * @draining: a graceful stop began
 * @listening: the listener accepts connections
 * @drained: the control task was told that nothing is in flight any more
 * @linger_until_us: time at which a graceful stop closes the listener
 * @tick: checks for pauses; @drain_poll checks whether a graceful stop has finished
 */
struct data_task
{
  data_task_options_t options;
  http_server_t *http_server;
  manifest_t *manifest;
  position_t man_next;
  membership_snapshot_t *members;
  decision_ring_t *decisions;
  pause_detector_t pause;
  bool draining;
  bool listening;
  bool drained;
  uint64_t linger_until_us;
  struct event *tick;
  struct event *drain_poll;
  counter_t *control_bytes;
};

/** data_task_serve() - handles one call to the listener */
void data_task_serve (http_server_call_t *call, void *context);

#endif
