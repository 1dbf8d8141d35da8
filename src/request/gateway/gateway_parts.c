/* What the gateway knows of the engines that hold shared parts of prompts. */
#include "request/gateway/gateway_private.h"

void
gateway_parts_init (gateway_task_t *gateway)
{
  counter_registry_t *registry = gateway->options.counters;

  if (gateway->options.settings->part_directory)
    gateway->holders = part_holders_new (GATEWAY_PARTS_MAX);
  gateway->parts_held =
      counter_get (registry, "medlarplank_parts_held_total",
                   "Requests sent to an engine that is known to hold their shared parts");
  gateway->parts_copied =
      counter_get (registry, "medlarplank_parts_copied_total",
                   "Requests whose shared parts are copied from an engine known to hold them");
  gateway->parts_guessed =
      counter_get (registry, "medlarplank_parts_guessed_total",
                   "Requests whose shared parts are copied from the engine that ranks best");
}

const part_holders_t *
gateway_parts_holders (const gateway_call_t *call)
{
  const routing_service_t *rules = routing_find_service (call->gateway->table, call->service->name);

  return rules && rules->engine.cache_token_bytes > 0 ? call->gateway->holders : NULL;
}

void
gateway_parts_note_choice (const gateway_call_t *call, const engine_choice_t *choice)
{
  if (!gateway_parts_holders (call) || call->shared_parts == 0)
    return;
  counter_add (call->gateway->parts_held, choice->engine_holds ? 1 : 0);
  if (choice->source)
    counter_add (choice->source_holds ? call->gateway->parts_copied : call->gateway->parts_guessed,
                 1);
}

/* A prompt of a single part shares nothing, and would only take the place of one that does. */
void
gateway_parts_note_answer (gateway_call_t *call)
{
  uint64_t now_us = gateway_now_us (call->gateway);
  part_holders_t *holders = call->gateway->holders;

  if (!gateway_parts_holders (call) || call->shared_parts == 0 || call->affinity == 0)
    return;
  part_holders_add (holders, now_us, call->shared_parts, call->engine->hash, now_us);
  part_holders_add (holders, now_us, call->affinity, call->engine->hash, now_us);
}
