/* The queues of requests that wait while all engines of their service are full. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"

static wait_queue_capacity_t
measure_room (gwy_t *gwy, const gwy_service_t *service)
{
  return (wait_queue_capacity_t){ .slots = engines_count_open_slots (
                                      gwy->options.engines, service->name, gwy_now_us (gwy)),
                                  .gateways = gwy->routers };
}

static uint32_t
compute_retry_ms (const gwy_call_t *call, uint64_t wait_us)
{
  uint64_t retry_us = wait_queue_retry_us (call->service->queue, gwy_now_us (call->gwy), wait_us);

  return (uint32_t)MIN (retry_us / CLK_US_PER_MS, UINT32_MAX);
}

void
gwy_wait_push (gwy_call_t *call)
{
  wait_queue_capacity_t room = measure_room (call->gwy, call->service);
  uint64_t wait_us;

  switch (wait_queue_push (call->service->queue, gwy_now_us (call->gwy), &room, &call->queue_item,
                           &wait_us))
    {
    case WAIT_QUEUE_QUEUED:
      cnt_add (call->gwy->waited, 1);
      gwy_call_log (call, "wait", "queued", VERDICT_REASON_OVER_BOUND);
      return;
    case WAIT_QUEUE_TOO_LATE:
      gwy_call_give_up (call, VERDICT_REASON_DEADLINE, compute_retry_ms (call, wait_us));
      return;
    case WAIT_QUEUE_FULL:
      gwy_call_give_up (call, VERDICT_REASON_QUEUE_FULL, compute_retry_ms (call, wait_us));
      return;
    }
}

void
gwy_wait_for_retry (gwy_call_t *call)
{
  uint64_t wait_us = gwy_call_retry_wait_us (call);

  if (!wait_queue_push_delayed (call->service->queue, gwy_now_us (call->gwy), &call->queue_item,
                                wait_us))
    {
      gwy_call_give_up (call, VERDICT_REASON_OVER_BOUND, compute_retry_ms (call, wait_us));
      return;
    }
  cnt_add (call->gwy->waited, 1);
  gwy_call_log (call, "wait", "retry_due", VERDICT_REASON_OVER_BOUND);
}

void
gwy_wait_for_rest (gwy_call_t *call, uint64_t rest_us)
{
  if (!wait_queue_push_delayed (call->service->queue, gwy_now_us (call->gwy), &call->queue_item,
                                rest_us))
    {
      gwy_call_give_up (call, VERDICT_REASON_OVER_BOUND, (uint32_t)(rest_us / CLK_US_PER_MS));
      return;
    }
  cnt_add (call->gwy->waited, 1);
  gwy_call_log (call, "wait", "engines_rest", VERDICT_REASON_OVER_BOUND);
}

void
gwy_wait_remove (gwy_call_t *call)
{
  wait_queue_remove (call->service->queue, gwy_now_us (call->gwy), &call->queue_item);
}

void
gwy_wait_expire (gwy_service_t *service)
{
  gwy_call_t *call;

  while ((call = wait_queue_pop_expired (service->queue, gwy_now_us (service->gwy))))
    {
      wait_queue_capacity_t room = measure_room (call->gwy, service);
      uint64_t wait_us = wait_queue_wait_us (service->queue, &room, &call->queue_item);

      gwy_call_give_up (call, VERDICT_REASON_DEADLINE, compute_retry_ms (call, wait_us));
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

  while ((call = wait_queue_first (service->queue, may_start, &choice)))
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
