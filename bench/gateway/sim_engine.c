#include "sim_parts.h"

/* In a step a model engine makes one token for each request that it runs. */
#define STEP_US 3410             /* duration of a step, besides what requests add */
#define STEP_US_PER_REQUEST 97   /* that each running request adds to a step */
#define TOKENS_PER_EVENT 7       /* of a streamed response, so also steps per event */
#define PROMPT_TOKENS_PER_MS 112 /* that a model engine processes */
#define COPIED_TOKENS_PER_MS 560 /* that a model engine copies from another one */
#define REFUSAL_DELAY_US 1000    /* until the gateway learns that an engine refused a request */
#define SLOW_FACTOR 6            /* by which responses take longer under SIM_SLOW */

sim_engine_t *
sim_engine_new (sim_t *sim, uint32_t service, uint32_t index)
{
  const site_service_t *settings = &sim->site->services[service];
  sim_engine_t *engine = g_new0 (sim_engine_t, 1);
  engine_entry_t *entry = &engine->entry;

  engine->service = service;
  engine->index = index;
  engine->running = g_ptr_array_new ();
  engine->queue = g_ptr_array_new ();
  engine->cache = cache_model_new (sim->site->cache_tokens);
  g_snprintf (entry->id, sizeof entry->id, "%s-%u", settings->name, index);
  g_snprintf (entry->data_center, sizeof entry->data_center, "hall-%u",
              index % sim->site->data_centers);
  entry->service = g_intern_string (settings->name);
  entry->slots = settings->slots;
  entry->state = ENGINE_READY;
  return engine;
}

void
sim_engine_free (gpointer data)
{
  sim_engine_t *engine = data;

  g_ptr_array_free (engine->running, TRUE);
  g_ptr_array_free (engine->queue, TRUE);
  cache_model_free (engine->cache);
  g_free (engine);
}

static bool
is_cached_elsewhere (const sim_t *sim, const sim_engine_t *engine, const sim_request_t *request)
{
  for (guint i = 0; i < sim->engines->len; i++)
    {
      const sim_engine_t *other = g_ptr_array_index (sim->engines, i);

      if (other != engine && other->mode != ENGINE_DOWN &&
          cache_model_peek (other->cache, request->prefix) > 0)
        return true;
    }
  return false;
}

/* Return: the time that it takes to copy the missing shared part from the attempt's source; 0 when
 * there is nothing to copy or the source doesn't have it */
static uint64_t
copy_part (sim_t *sim, const sim_attempt_t *attempt)
{
  const sim_engine_t *engine = attempt->engine;
  const sim_engine_t *source = attempt->source;
  const sim_request_t *request = attempt->request;
  uint32_t tokens = request->kind->prefix_tokens;
  bool is_far;

  if (!source || source->mode == ENGINE_DOWN || request->prefix == 0 ||
      cache_model_peek (engine->cache, request->prefix) > 0 ||
      cache_model_peek (source->cache, request->prefix) == 0)
    return 0;
  is_far = !g_str_equal (source->entry.data_center, engine->entry.data_center);
  cache_model_put (engine->cache, request->prefix, tokens);
  if (sim->now_us >= sim->measured_from_us)
    sim->figures.copied_tokens += tokens;
  return (uint64_t)tokens * CLOCK_US_PER_MS / COPIED_TOKENS_PER_MS * (is_far ? 2 : 1);
}

/* Returns the time when the prompt is processed; the engine processes one prompt at a time. */
static uint64_t
process_prompt (sim_t *sim, sim_engine_t *engine, const sim_attempt_t *attempt)
{
  const sim_request_t *request = attempt->request;
  const site_kind_t *kind = request->kind;
  uint64_t copy_us = copy_part (sim, attempt);
  uint32_t cached = cache_model_use (engine->cache, request->prefix);
  uint32_t tokens = kind->own_tokens + kind->prefix_tokens - MIN (cached, kind->prefix_tokens);
  uint64_t start_us = MAX (sim->now_us + copy_us, engine->prompts_done_us);

  cache_model_put (engine->cache, request->prefix, kind->prefix_tokens);
  if (sim_has_copies (sim))
    cache_model_put (engine->cache, random_next (&sim->own_parts),
                     kind->own_tokens + kind->events * TOKENS_PER_EVENT);
  if (sim->now_us >= sim->measured_from_us)
    {
      sim->figures.read_tokens += tokens;
      if (cached < kind->prefix_tokens && is_cached_elsewhere (sim, engine, request))
        sim->figures.repeated_tokens += kind->prefix_tokens - cached;
      sim->figures.prompt_tokens += kind->own_tokens + kind->prefix_tokens;
    }
  engine->prompts_done_us = start_us + (uint64_t)tokens * CLOCK_US_PER_MS / PROMPT_TOKENS_PER_MS;
  return engine->prompts_done_us;
}

static uint64_t
step_us (const sim_engine_t *engine)
{
  return STEP_US + STEP_US_PER_REQUEST * (uint64_t)engine->running->len;
}

/* Return: duration of the work of a plain request that @engine starts now */
static double
plain_work_us (sim_t *sim, const sim_engine_t *engine, const site_kind_t *kind)
{
  const site_unevenness_t *uneven = &sim->site->unevenness;
  double work_us = random_lognormal (&sim->random, (double)kind->work_us, 0.5);

  if (uneven->long_milli > 0 && random_below (&sim->random, 1000) < uneven->long_milli)
    work_us *= uneven->long_factor;
  if (uneven->slow_milli > 0 && engine->index == SIM_SLOW_ENGINE)
    work_us *= uneven->slow_milli / 1000.0;
  if (uneven->crowded_milli > 0 && engine->index == SIM_CROWDED_ENGINE &&
      engine->running->len > uneven->crowded_above)
    work_us *= uneven->crowded_milli / 1000.0;
  return work_us;
}

static void
schedule_response (sim_t *sim, sim_attempt_t *attempt)
{
  sim_engine_t *engine = attempt->engine;
  const site_kind_t *kind = attempt->request->kind;
  uint32_t slowdown = engine->mode == ENGINE_SLOW ? SLOW_FACTOR : 1;
  uint64_t head_us;
  uint64_t end_us;

  if (kind->events == 0)
    {
      head_us = sim->now_us + slowdown * (uint64_t)plain_work_us (sim, engine, kind);
      end_us = head_us;
    }
  else
    {
      uint64_t prompt_us = process_prompt (sim, engine, attempt) - sim->now_us;
      uint64_t rest_us = step_us (engine) * TOKENS_PER_EVENT * kind->events;

      head_us = sim->now_us + slowdown * (prompt_us + step_us (engine) * TOKENS_PER_EVENT);
      end_us = head_us + slowdown * rest_us;
    }
  event_queue_add (&sim->events, head_us, EVENT_RESPONSE_HEAD, 0, attempt);
  event_queue_add (&sim->events, end_us, EVENT_RESPONSE_END, 0, attempt);
}

/* Records the load of an engine that has accepted a request, relative to the mean. */
static void
record_relative_load (sim_t *sim, const sim_engine_t *engine)
{
  uint32_t load = sim_engine_load (engine);
  uint64_t sum = 0;
  uint32_t ready_engines = 0;
  uint64_t relative_milli;

  uint32_t service = engine->service;
  bool over;

  if (sim->now_us < sim->measured_from_us)
    return;
  for (guint i = 0; i < sim->engines->len; i++)
    {
      const sim_engine_t *other = g_ptr_array_index (sim->engines, i);

      if (other->service != service || other->entry.state != ENGINE_READY)
        continue;
      sum += sim_engine_load (other);
      ready_engines++;
    }
  relative_milli = sum > 0 ? (uint64_t)load * 1000 * ready_engines / sum : 0;
  over = load * ready_engines > 2 * sum + 3 * ready_engines;
  if (service != SITE_MODEL_SERVICE)
    {
      sim->figures.plain_overloaded += over ? 1 : 0;
      return;
    }
  sim->figures.overloaded_accepts += over ? 1 : 0;
  g_array_append_vals (sim->relative_loads, &(uint32_t){ (uint32_t)relative_milli }, 1);
}

uint32_t
sim_engine_load (const sim_engine_t *engine)
{
  return engine->running->len + engine->queue->len;
}

engine_load_t
sim_engine_reported_load (const sim_engine_t *engine)
{
  return (engine_load_t){ .running = engine->running->len,
                          .waiting = engine->queue->len,
                          .slots = engine->entry.slots };
}

static void
start_attempt (sim_t *sim, sim_attempt_t *attempt)
{
  g_ptr_array_add (attempt->engine->running, attempt);
  attempt->begun_us = sim->now_us;
  attempt->begun_load = sim_engine_reported_load (attempt->engine);
  if (attempt->engine->mode != ENGINE_UNRESPONSIVE)
    schedule_response (sim, attempt);
}

/* Inserts by priority (0 is the most urgent), after those of the same priority. */
static void
insert_into_queue (sim_attempt_t *attempt)
{
  GPtrArray *queue = attempt->engine->queue;
  guint at = queue->len;

  while (at > 0)
    {
      const sim_attempt_t *previous = g_ptr_array_index (queue, at - 1);

      if (previous->request->kind->priority <= attempt->request->kind->priority)
        break;
      at--;
    }
  g_ptr_array_insert (queue, (gint)at, attempt);
}

void
sim_engine_accept (sim_t *sim, sim_attempt_t *attempt)
{
  sim_engine_t *engine = attempt->engine;
  uint32_t slots = engine->entry.slots;
  uint32_t queue_limit = sim->site->services[engine->service].queue_limit;

  attempt->reached = engine->mode != ENGINE_DOWN;
  if (!attempt->reached || (engine->running->len >= slots && engine->queue->len >= queue_limit))
    {
      event_queue_add (&sim->events, sim->now_us + REFUSAL_DELAY_US, EVENT_REFUSED, 0, attempt);
      return;
    }
  if (engine->running->len < slots)
    start_attempt (sim, attempt);
  else
    insert_into_queue (attempt);
  record_relative_load (sim, engine);
}

void
sim_engine_remove (sim_t *sim, sim_attempt_t *attempt)
{
  sim_engine_t *engine = attempt->engine;

  if (g_ptr_array_remove (engine->queue, attempt))
    return;
  g_ptr_array_remove_fast (engine->running, attempt);
  if (engine->queue->len > 0 && engine->mode != ENGINE_DOWN)
    start_attempt (sim, g_ptr_array_steal_index (engine->queue, 0));
}

static void
abort_all (sim_t *sim, sim_engine_t *engine)
{
  while (sim_engine_load (engine) > 0)
    {
      GPtrArray *list = engine->queue->len > 0 ? engine->queue : engine->running;
      sim_attempt_t *attempt = g_ptr_array_index (list, list->len - 1);
      bool begun = attempt->request && attempt->request->begun;

      sim_on_response_end (sim, attempt, false,
                           begun ? RETRY_PLAN_OUTCOME_BROKE_OFF : RETRY_PLAN_OUTCOME_UNKNOWN);
    }
}

void
sim_engine_set_mode (sim_t *sim, sim_engine_t *engine, sim_engine_mode_t mode)
{
  engine->mode = mode;
  if (mode == ENGINE_DOWN)
    abort_all (sim, engine);
}
