/* The queues of requests that wait while all engines of their service are full. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"
#include "request/policy/room/room_choice.h"

#include <xxhash.h>

#define MILLI 1000
#define ROOM_LOG_INTERVAL_US CLOCK_US_PER_S /* between two lines on the room of a service */

static uint64_t
count_slots (const gateway_service_t *service)
{
  return engines_count_open_slots (service->gateway->options.engines, service->name,
                                   gateway_now_us (service->gateway));
}

static bool
has_shared_room (const gateway_service_t *service)
{
  const gateway_task_t *gateway = service->gateway;
  const GPtrArray *engines = engines_of_service (gateway->options.engines, service->name);

  return gateway->options.settings->shared_room && !service->has_streams &&
         room_choice_is_scarce (count_slots (service), engines->len, gateway->routers);
}

/* Requests that wait for room in the queues that all gateways share need no share of the slots. */
static wait_queue_capacity_t
measure_room (gateway_task_t *gateway, const gateway_service_t *service)
{
  return (wait_queue_capacity_t){ .slots = count_slots (service),
                                  .gateways = has_shared_room (service) ? 1 : gateway->routers };
}

uint32_t
gateway_queue_room_draw (const gateway_call_t *call)
{
  uint64_t seed[] = { call->arrived_us, call->gateway->name_hash,
                      call->queue_item.fair_entry.account_hash };

  return (uint32_t)(XXH64 (seed, sizeof seed, 0) % MILLI);
}

bool
gateway_queue_note_shared_room (const gateway_call_t *call)
{
  const gateway_service_t *service = call->service;

  if (call->affinity != 0 || !has_shared_room (service))
    return false;
  if (call->hops == 0)
    engines_note_room_request (call->gateway->options.engines, service->name,
                               gateway_now_us (call->gateway),
                               call->queue_item.fair_entry.account_hash);
  return true;
}

/* At most one line in a second for each service. */
static void
log_room (gateway_service_t *service)
{
  uint64_t now_us = gateway_now_us (service->gateway);
  uint32_t milli = engines_room_share_milli (service->gateway->options.engines, service->name);
  bool held = milli < MILLI;

  if (held == service->room_held || now_us < service->room_logged_us + ROOM_LOG_INTERVAL_US ||
      !has_shared_room (service))
    return;
  service->room_held = held;
  service->room_logged_us = now_us;
  log_event (LOG_LEVEL_INFO, "room", "service", service->name, "outcome", held ? "held" : "open",
             "share_milli", LOG_U64 (milli), NULL);
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

  if (call->course.was_given_up)
    {
      gateway_queue_given_up (call);
      return;
    }
  switch (wait_queue_push (call->service->queue, gateway_now_us (call->gateway), &capacity,
                           &call->queue_item, &wait_us))
    {
    case WAIT_QUEUE_QUEUED:
      counter_add (call->gateway->waited, 1);
      counter_add (call->gateway->room_waited,
                   call->affinity == 0 && has_shared_room (call->service) ? 1 : 0);
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

  if (call->course.was_given_up)
    {
      gateway_queue_given_up (call);
      return;
    }
  if (!wait_queue_push_delayed (call->service->queue, gateway_now_us (call->gateway),
                                &call->queue_item, wait_us))
    {
      gateway_call_fail (call, VERDICT_REASON_OVER_BOUND, compute_retry_ms (call, wait_us));
      return;
    }
  counter_add (call->gateway->waited, 1);
  gateway_call_log (call, "wait", "retry_due", VERDICT_REASON_OVER_BOUND);
}

/* Of the engines that it tried one may be free again. */
void
gateway_queue_given_up (gateway_call_t *call)
{
  call->tried_count = 0;
  call->is_moving = false;
  if (!wait_queue_push_held (call->service->queue, gateway_now_us (call->gateway),
                             &call->queue_item))
    {
      gateway_call_fail (call, VERDICT_REASON_QUEUE_FULL, GATEWAY_RETRY_MIN_MS);
      return;
    }
  counter_add (call->gateway->waited, 1);
  gateway_call_log (call, "wait", "given_up", VERDICT_REASON_OVER_BOUND);
}

void
gateway_queue_unsent (gateway_call_t *call)
{
  call->tried_count = 0;
  if (!wait_queue_push_delayed (call->service->queue, gateway_now_us (call->gateway),
                                &call->queue_item, 0))
    {
      gateway_call_fail (call, VERDICT_REASON_CONNECT, GATEWAY_RETRY_MIN_MS);
      return;
    }
  counter_add (call->gateway->waited, 1);
  gateway_call_log (call, "wait", "unsent", VERDICT_REASON_CONNECT);
}

void
gateway_queue_for_backoff (gateway_call_t *call, uint64_t rest_us)
{
  if (call->course.was_given_up)
    {
      gateway_queue_given_up (call);
      return;
    }
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

  log_room (service);
  while ((call = wait_queue_pop_expired (service->queue, gateway_now_us (service->gateway))))
    {
      wait_queue_capacity_t capacity = measure_room (call->gateway, service);
      uint64_t wait_us = wait_queue_wait_us (service->queue, &capacity, &call->queue_item);

      gateway_call_fail (call, VERDICT_REASON_DEADLINE, compute_retry_ms (call, wait_us));
    }
}

static bool
may_go_on (gateway_call_t *call, engine_choice_t *choice)
{
  uint64_t now_us = gateway_now_us (call->gateway);

  if (now_us < call->move_checked_us + GATEWAY_HELD_RETRY_US)
    return false;
  *choice = gateway_call_choose_engine (call);
  if (choice->action == ENGINE_CHOICE_SEND)
    return true;
  call->move_checked_us = now_us;
  return false;
}

/* A connection that is refused fails at once; without a pause all attempts would be spent in a
 * moment. */
static bool
was_just_unsent (const gateway_call_t *call)
{
  return call->course.unsent > 0 &&
         gateway_now_us (call->gateway) <
             call->sent_us + GATEWAY_CONNECT_TIMEOUT_MS * CLOCK_US_PER_MS;
}

/* Whether a queued request can leave the queue now: to be sent, or refused because no engine is
 * left to ask. Stores the choice of an engine in @context. */
static bool
may_start (void *owner, void *context)
{
  gateway_call_t *call = owner;
  engine_choice_t *choice = context;

  if (!gateway_call_may_begin (call))
    return true;
  if (call->course.retry_due && gateway_call_retry_wait_us (call) > 0)
    return false;
  if (gateway_suspect_must_wait (call))
    return false;
  if (was_just_unsent (call))
    return false;
  if (call->course.was_given_up)
    return may_go_on (call, choice);
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
      if (!gateway_call_may_begin (call))
        {
          gateway_call_refuse_late (call);
          continue;
        }
      if (gateway_suspect_stop (call))
        continue;
      if (choice.action == ENGINE_CHOICE_SEND)
        {
          gateway_hop_send (call, &choice);
          continue;
        }
      gateway_queue_remove (call);
      gateway_call_end_unplaced (call, &choice);
    }
}
