/*
 * The ideal that decisions at plain services are compared with: all gateways have one queue, which
 * knows the state of all engines without delay. A request takes the slot in which it ends first;
 * one that can still be on time goes before those that can't, in order of arrival.
 */
#include "sim_parts.h"

/* Work after which nearly all requests have ended, relative to the median. */
#define IDEAL_LONG_WORK_FACTOR 3

bool
sim_ideal_applies (const sim_t *sim, const sim_request_t *request)
{
  return sim->options.policy == SIM_IDEAL && request->kind->service != SITE_MODEL_SERVICE;
}

/* Return: duration of work that @engine would begin now, in thousandths of the usual */
static uint32_t
duration_milli (const sim_t *sim, const sim_engine_t *engine)
{
  const site_unevenness_t *uneven = &sim->site->unevenness;
  uint32_t milli = 1000;

  if (uneven->slow_milli > 0 && engine->index == SIM_SLOW_ENGINE)
    milli = uneven->slow_milli;
  if (uneven->crowded_milli > 0 && engine->index == SIM_CROWDED_ENGINE &&
      engine->running->len + 1 > uneven->crowded_above)
    milli = uneven->crowded_milli;
  return milli;
}

static sim_engine_t *
find_free (const sim_t *sim, const sim_request_t *request)
{
  sim_engine_t *best = NULL;

  for (guint i = 0; i < sim->engines->len; i++)
    {
      sim_engine_t *engine = g_ptr_array_index (sim->engines, i);

      if (engine->service != request->kind->service || engine->entry.state != ENGINE_READY ||
          engine->mode != ENGINE_HEALTHY || engine->running->len >= engine->entry.slots)
        continue;
      if (!best || duration_milli (sim, engine) < duration_milli (sim, best) ||
          (duration_milli (sim, engine) == duration_milli (sim, best) &&
           engine->running->len < best->running->len))
        best = engine;
    }
  return best;
}

static bool
can_be_on_time (const sim_t *sim, const sim_request_t *request)
{
  return sim->now_us + IDEAL_LONG_WORK_FACTOR * request->kind->work_us <
         request->arrived_us + request->kind->aim_us;
}

static guint
first_index (const sim_t *sim)
{
  for (guint i = 0; i < sim->ideal_queue->len; i++)
    if (can_be_on_time (sim, g_ptr_array_index (sim->ideal_queue, i)))
      return i;
  return 0;
}

void
sim_ideal_dispatch (sim_t *sim)
{
  while (sim->ideal_queue->len > 0)
    {
      guint index = first_index (sim);
      sim_request_t *request = g_ptr_array_index (sim->ideal_queue, index);
      sim_engine_t *engine = find_free (sim, request);

      if (!engine)
        return;
      g_ptr_array_remove_index (sim->ideal_queue, index);
      sim_send_request (sim, request, engines_find (request->gateway->engines, engine->entry.id));
    }
}

void
sim_ideal_place (sim_t *sim, sim_request_t *request)
{
  g_ptr_array_add (sim->ideal_queue, request);
  sim_ideal_dispatch (sim);
}
