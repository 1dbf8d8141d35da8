/* The queues of requests that wait while all engines of their service are full. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"

static wait_queue_capacity_t
measure_room (gateway_task_t *gateway, const gateway_service_t *service)
{
  return (wait_queue_capacity_t){ .slots = engines_count_open_slots (gateway->options.engines,
                                                                     service->name,
                                                                     gateway_now_us (gateway)),
                                  .gateways = gateway->routers };
}

static uint32_t
compute_retry_ms (const gateway_call_t *call, uint64_t wait_us)
{
  uint64_t retry_us =
      wait_queue_retry_us (call->service->queue, gateway_now_us (call->gateway), wait_us);

  return (uint32_t)MIN (retry_us / CLOCK_US_PER_MS, UINT32_MAX);
}

void
gateway_queue_push (gateway_call_t *call)
{
  wait_queue_capacity_t capacity = measure_room (call->gateway, call->service);
  uint64_t wait_us;

  switch (wait_queue_push (call->service->queue, gateway_now_us (call->gateway), &capacity,
                           &call->queue_item, &wait_us))
    {
    case WAIT_QUEUE_QUEUED:
      counter_add (call->gateway->waited, 1);
      gateway_call_log (call, "wait", "queued", VERDICT_REASON_OVER_BOUND);
      return;
    case WAIT_QUEUE_TOO_LATE:
      gateway_call_fail (call, VERDICT_REASON_DEADLINE, compute_retry_ms (call, wait_us));
      return;
    case WAIT_QUEUE_FULL:
      gateway_call_fail (call, VERDICT_REASON_QUEUE_FULL, compute_retry_ms (call, wait_us));
      return;
    }
}

void
gateway_queue_for_retry (gateway_call_t *call)
{
  uint64_t wait_us = gateway_call_retry_wait_us (call);

  if (!wait_queue_push_delayed (call->service->queue, gateway_now_us (call->gateway),
                                &call->queue_item, wait_us))
    {
      gateway_call_fail (call, VERDICT_REASON_OVER_BOUND, compute_retry_ms (call, wait_us));
      return;
    }
  counter_add (call->gateway->waited, 1);
  gateway_call_log (call, "wait", "retry_due", VERDICT_REASON_OVER_BOUND);
}

void
gateway_queue_for_backoff (gateway_call_t *call, uint64_t rest_us)
{
  if (!wait_queue_push_delayed (call->service->queue, gateway_now_us (call->gateway),
                                &call->queue_item, rest_us))
    {
      gateway_call_fail (call, VERDICT_REASON_OVER_BOUND, (uint32_t)(rest_us / CLOCK_US_PER_MS));
      return;
    }
  counter_add (call->gateway->waited, 1);
  gateway_call_log (call, "wait", "engines_rest", VERDICT_REASON_OVER_BOUND);
}

bool
gateway_queue_for_trial (gateway_call_t *call)
{
  if (!wait_queue_push_delayed (call->service->queue, gateway_now_us (call->gateway),
                                &call->queue_item, 0))
    return false;
  counter_add (call->gateway->waited, 1);
  gateway_call_log (call, "wait", "part_on_trial", VERDICT_REASON_SUSPECT);
  return true;
}

void
gateway_queue_remove (gateway_call_t *call)
{
  wait_queue_remove (call->service->queue, gateway_now_us (call->gateway), &call->queue_item);
}

void
gateway_queue_expire (gateway_service_t *service)
{
  gateway_call_t *call;

  while ((call = wait_queue_pop_expired (service->queue, gateway_now_us (service->gateway))))
    {
      wait_queue_capacity_t capacity = measure_room (call->gateway, service);
      uint64_t wait_us = wait_queue_wait_us (service->queue, &capacity, &call->queue_item);

      gateway_call_fail (call, VERDICT_REASON_DEADLINE, compute_retry_ms (call, wait_us));
    }
}

/* Whether a queued request can leave the queue now: to be sent, or refused because no engine is
 * left to ask. Stores the choice of an engine in @context. */
static bool
may_start (void *owner, void *context)
{
  const gateway_call_t *call = owner;
  engine_choice_t *choice = context;

  if (call->course.retry_due && gateway_call_retry_wait_us (call) > 0)
    return false;
  if (gateway_suspect_must_wait (call))
    return false;
  *choice = gateway_call_choose_engine (call);
  return choice->action != ENGINE_CHOICE_WAIT && choice->backoff_us == 0;
}

void
gateway_queue_dispatch (gateway_service_t *service)
{
  engine_choice_t choice = { 0 };
  gateway_call_t *call;

  while ((call = wait_queue_first (service->queue, may_start, &choice)))
    {
      if (gateway_suspect_stop (call))
        continue;
      if (choice.action == ENGINE_CHOICE_SEND)
        {
          gateway_hop_send (call, &choice);
          continue;
        }
      gateway_queue_remove (call);
      gateway_call_fail_no_engine (call, &choice);
    }
}
