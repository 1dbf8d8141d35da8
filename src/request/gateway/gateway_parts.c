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

/* A prompt of a single part shares nothing, and would only take the place of one that does. The
 * hash of all shared parts is told, as it names what can be copied; in a chat it changes with each
 * turn, so then that of the longest part is. */
void
gateway_parts_note_answer (gateway_call_t *call)
{
  const gateway_options_t *options = &call->gateway->options;
  uint64_t now_us = gateway_now_us (call->gateway);
  part_holders_t *holders = call->gateway->holders;
  uint64_t engine = call->engine->hash;
  bool tells_all;
  bool tells_longest;

  if (!gateway_parts_holders (call) || call->shared_parts == 0 || call->affinity == 0)
    return;
  tells_all = part_holders_note_answer (holders, now_us, call->shared_parts, engine);
  tells_longest = part_holders_note_answer (holders, now_us, call->affinity, engine);
  if (!options->on_part || call->affinity_tokens < GATEWAY_PARTS_TOLD_TOKENS)
    return;
  if (tells_all)
    options->on_part (call->shared_parts, engine, options->context);
  else if (tells_longest)
    options->on_part (call->affinity, engine, options->context);
}

/* An engine that is not known here has ended, or is new; passing it on could keep reports of ended
 * engines under way. */
bool
gateway_note_peer_part (gateway_task_t *gateway, uint64_t part, uint64_t engine, uint64_t known_us)
{
  uint64_t now_us = gateway_now_us (gateway);

  return gateway->holders && engines_find_by_hash (gateway->options.engines, engine) &&
         part_holders_note_report (gateway->holders, now_us, part, engine, known_us);
}
