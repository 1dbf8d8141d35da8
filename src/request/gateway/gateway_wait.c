/* The queues of requests that wait while all engines of their service are full. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"

static lin_room_t
measure_room (gwy_t *gwy, const gwy_service_t *service)
{
  return (lin_room_t){ .slots = engines_count_open_slots (gwy->options.engines, service->name,
                                                          gwy_now_us (gwy)),
                       .gateways = gwy->routers };
}

static uint32_t
compute_retry_ms (const gwy_call_t *call, uint64_t wait_us)
{
  uint64_t retry_us = lin_retry_us (call->service->queue, gwy_now_us (call->gwy), wait_us);

  return (uint32_t)MIN (retry_us / CLK_US_PER_MS, UINT32_MAX);
}

void
gwy_wait_push (gwy_call_t *call)
{
  lin_room_t room = measure_room (call->gwy, call->service);
  uint64_t wait_us;

  switch (
      lin_push (call->service->queue, gwy_now_us (call->gwy), &room, &call->queue_item, &wait_us))
    {
    case LIN_WAITS:
      cnt_add (call->gwy->waited, 1);
      gwy_call_log (call, "wait", "queued", VRD_REASON_OVER_BOUND);
      return;
    case LIN_TOO_LATE:
      gwy_call_give_up (call, VRD_REASON_DEADLINE, compute_retry_ms (call, wait_us));
      return;
    case LIN_FULL:
      gwy_call_give_up (call, VRD_REASON_QUEUE_FULL, compute_retry_ms (call, wait_us));
      return;
    }
}

void
gwy_wait_for_retry (gwy_call_t *call)
{
  uint64_t wait_us = gwy_call_retry_wait_us (call);

  if (!lin_push_behind (call->service->queue, gwy_now_us (call->gwy), &call->queue_item, wait_us))
    {
      gwy_call_give_up (call, VRD_REASON_OVER_BOUND, compute_retry_ms (call, wait_us));
      return;
    }
  cnt_add (call->gwy->waited, 1);
  gwy_call_log (call, "wait", "retry_due", VRD_REASON_OVER_BOUND);
}

void
gwy_wait_for_rest (gwy_call_t *call, uint64_t rest_us)
{
  if (!lin_push_behind (call->service->queue, gwy_now_us (call->gwy), &call->queue_item, rest_us))
    {
      gwy_call_give_up (call, VRD_REASON_OVER_BOUND, (uint32_t)(rest_us / CLK_US_PER_MS));
      return;
    }
  cnt_add (call->gwy->waited, 1);
  gwy_call_log (call, "wait", "engines_rest", VRD_REASON_OVER_BOUND);
}

void
gwy_wait_remove (gwy_call_t *call)
{
  lin_remove (call->service->queue, gwy_now_us (call->gwy), &call->queue_item);
}

void
gwy_wait_expire (gwy_service_t *service)
{
  gwy_call_t *call;

  while ((call = lin_expired (service->queue, gwy_now_us (service->gwy))))
    {
      lin_room_t room = measure_room (call->gwy, service);
      uint64_t wait_us = lin_wait_us (service->queue, &room, &call->queue_item);

      gwy_call_give_up (call, VRD_REASON_DEADLINE, compute_retry_ms (call, wait_us));
    }
}

/* Whether a queued request can leave the queue now: to be sent, or refused because no engine is
 * left to ask. Stores the choice of an engine in @context. */
static bool
may_start (void *owner, void *context)
{
  const gwy_call_t *call = owner;
  engine_choice_t *choice = context;

  if (call->course.retry_due && gwy_call_retry_wait_us (call) > 0)
    return false;
  *choice = gwy_call_choose (call);
  return choice->action != ENGINE_CHOICE_WAIT && choice->rest_us == 0;
}

void
gwy_wait_pump (gwy_service_t *service)
{
  engine_choice_t choice = { 0 };
  gwy_call_t *call;

  while ((call = lin_first (service->queue, may_start, &choice)))
    {
      if (choice.action == ENGINE_CHOICE_SEND)
        {
          gwy_hop_send (call, &choice);
          continue;
        }
      gwy_wait_remove (call);
      gwy_call_no_engine (call, &choice);
    }
}
