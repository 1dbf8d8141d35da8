#include "sim_parts.h"

#define LOUD 7 /* the account that surges; neither a large one nor the smallest */
#define LARGE_ACCOUNTS 4
#define LARGE_SHARE 0.5 /* of all requests, of these together */
#define HOT_SHARE 0.4
#define BURST 3.0
#define FEW_BURST 2.0
#define OVERLOAD 7.0
#define LOUD_SHARE 0.6 /* of all requests, while one account surges */
#define KEPT_SHARE 2   /* one in so many engines stays when many leave */
#define FAULTY_SHARE 4
#define WINDOW_US (10 * (uint64_t)CLK_US_PER_S)

static const char *const policies[] = { "full", "uncharged", "patient", "hash", "least", "random" };
static const char *const faults[] = { "steady", "burst", "hot_part", "hot_account", "grey",  "slow",
                                      "mute",   "crash", "overload", "few",         "crowds" };

const char *
sim_policy_name (sim_policy_t policy)
{
  return policies[policy];
}

const char *
sim_fault_name (sim_fault_t fault)
{
  return faults[fault];
}

static double
growth (const sim_t *sim)
{
  if (!sim->faulty)
    return 1.0;
  if (sim->options.fault == SIM_BURST)
    return BURST;
  if (sim->options.fault == SIM_OVERLOAD)
    return OVERLOAD;
  return sim->options.fault == SIM_FEW || sim->options.fault == SIM_HOT_ACCOUNT ? FEW_BURST : 1.0;
}

static uint32_t
crowd (const sim_t *sim)
{
  return sim->faulty && sim->options.fault == SIM_CROWDS ? SIM_CROWD : 1;
}

static void
plan_arrival (sim_t *sim, uint32_t kind)
{
  double rate_s = sim->site->kinds[kind].rate_s * growth (sim) / crowd (sim);

  if (rate_s <= 0)
    return;
  evt_add (&sim->events,
           sim->now_us + 1 + (uint64_t)rnd_exponential (&sim->dice, CLK_US_PER_S / rate_s),
           EVENT_ARRIVE, kind, NULL);
}

static bool
has_loud_account (const sim_t *sim)
{
  return sim->options.fault == SIM_HOT_ACCOUNT || sim->options.fault == SIM_OVERLOAD;
}

static uint32_t
draw_account (sim_t *sim)
{
  uint32_t small = sim->site->accounts - LARGE_ACCOUNTS;

  if (sim->faulty && has_loud_account (sim) && rnd_unit (&sim->dice) < LOUD_SHARE)
    return LOUD;
  if (rnd_unit (&sim->dice) < LARGE_SHARE)
    return rnd_below (&sim->dice, LARGE_ACCOUNTS);
  return LARGE_ACCOUNTS + rnd_below (&sim->dice, small);
}

/* Parts are asked for with a slight skew. */
static uint64_t
draw_part (sim_t *sim, const sit_kind_t *kind)
{
  uint32_t kind_index = (uint32_t)(kind - sim->site->kinds);
  double place = rnd_unit (&sim->dice);

  if (kind->parts == 0)
    return 0;
  if (kind_index == 0 && sim->faulty && sim->options.fault == SIM_HOT_PART &&
      rnd_unit (&sim->dice) < HOT_SHARE)
    place = 0;
  return kind_index * UINT64_C (1000) + 1 + (uint64_t)(place * place * kind->parts);
}

static void
open_line (sim_t *sim, sim_request_t *request)
{
  bool patient = sim->options.policy == SIM_PATIENT;

  request->line =
      (lin_item_t){ .priority = request->kind->priority,
                    .arrived_us = sim->now_us,
                    .in_time_us = patient ? 0 : request->arrived_us + request->kind->aim_us,
                    .deadline_us = request->arrived_us + request->kind->deadline_us,
                    .returns = request->returned,
                    .fair = { .account_hash = request->account + 1, .owner = request } };
  crs_init (&request->crs, &(crs_rules_t){ .idempotent = request->kind->kind == RTE_IDEMPOTENT,
                                           .resumable = request->kind->resumable,
                                           .attempts = request->kind->attempts });
  request->tried_count = 0;
  request->hops = 0;
  rsh_request (&request->gateway->retries[request->kind->service], &sim->site->retries,
               sim->now_us);
  g_array_append_val (sim->request_times[request->kind->service], sim->now_us);
}

static void
arrive (sim_t *sim, uint32_t kind)
{
  sim_request_t *request = g_new0 (sim_request_t, 1);

  request->kind = &sim->site->kinds[kind];
  request->gateway = g_ptr_array_index (sim->gateways, rnd_below (&sim->dice, sim->site->gateways));
  request->account = draw_account (sim);
  request->part = draw_part (sim, request->kind);
  request->arrived_us = sim->now_us;
  open_line (sim, request);
  g_ptr_array_add (sim->requests, request);
  g_ptr_array_add (request->gateway->requests, request);
  evt_add (&sim->events, request->line.deadline_us, EVENT_DEADLINE, 0, request);
  sim_place (sim, request);
}

static void
arrive_together (sim_t *sim, uint32_t kind)
{
  plan_arrival (sim, kind);
  for (uint32_t i = 0; i < crowd (sim); i++)
    arrive (sim, kind);
}

static void
count (const sim_t *sim, sim_count_t *to, const sim_request_t *request, sim_answer_t answer)
{
  uint64_t half_us = request->kind->deadline_us / 2;
  bool on_time = request->head_us <= request->arrived_us + request->kind->aim_us;

  to->requests++;
  to->on_time += answer == SIM_SERVED && on_time ? 1 : 0;
  to->late += answer == SIM_SERVED && !on_time ? 1 : 0;
  to->refused += answer == SIM_REFUSED ? 1 : 0;
  to->failed += answer == SIM_FAILED ? 1 : 0;
  to->late_refusals +=
      answer == SIM_REFUSED && sim->now_us > request->line.arrived_us + half_us ? 1 : 0;
}

void
sim_finish (sim_t *sim, sim_request_t *request, sim_answer_t answer)
{
  sim_figures_t *figures = &sim->figures;

  g_assert (!request->over && !request->send && !request->line.waiting);
  request->over = true;
  g_ptr_array_remove_fast (request->gateway->requests, request);
  if (request->arrived_us < SIM_MEASURED_FROM_US)
    return;
  count (sim, &figures->all, request, answer);
  if (request->arrived_us >= SIM_SETTLED_US)
    count (sim, &figures->after, request, answer);
  if (request->arrived_us < SIM_FROM_US || request->arrived_us >= SIM_TO_US)
    return;
  count (sim, &figures->during, request, answer);
  count (sim, &figures->kinds[request->kind - sim->site->kinds], request, answer);
  if (request->account != LOUD && request->kind->service != SIT_MODEL)
    count (sim, &figures->quiet, request, answer);
}

static sim_mode_t
mode_of (sim_fault_t fault)
{
  switch (fault)
    {
    case SIM_GREY:
      return ENGINE_GREY;
    case SIM_SLOW:
      return ENGINE_SLOW;
    case SIM_MUTE:
      return ENGINE_MUTE;
    case SIM_CRASH:
      return ENGINE_DOWN;
    case SIM_STEADY:
    case SIM_BURST:
    case SIM_HOT_PART:
    case SIM_HOT_ACCOUNT:
    case SIM_OVERLOAD:
    case SIM_FEW:
    case SIM_CROWDS:
    case SIM_FAULTS:
      break;
    }
  return ENGINE_SOUND;
}

/* Whether the fault has the engine; the first of each service are as good as any. */
static bool
is_hit (const sim_t *sim, const sim_engine_t *engine)
{
  uint32_t of = sim->site->services[engine->service].engines;

  return engine->index < (of + FAULTY_SHARE - 1) / FAULTY_SHARE;
}

static void
tell_gateways (const sim_t *sim, const sim_engine_t *engine)
{
  for (guint i = 0; i < sim->gateways->len; i++)
    {
      sim_gateway_t *gateway = g_ptr_array_index (sim->gateways, i);

      egs_put (gateway->engines, sim->now_us, &engine->entry);
    }
}

static void
set_leaving (sim_t *sim, sim_engine_t *engine, bool leaving)
{
  uint32_t of = sim->site->services[engine->service].engines;

  if (engine->index < of / KEPT_SHARE)
    return;
  engine->entry.state = leaving ? EGN_LEAVING : EGN_READY;
  tell_gateways (sim, engine);
}

static void
set_fault (sim_t *sim, bool begins)
{
  sim_fault_t fault = sim->options.fault;

  sim->faulty = begins;
  for (guint i = 0; i < sim->engines->len; i++)
    {
      sim_engine_t *engine = g_ptr_array_index (sim->engines, i);

      if (fault == SIM_FEW || fault == SIM_HOT_ACCOUNT)
        set_leaving (sim, engine, begins);
      else if (is_hit (sim, engine))
        sim_engine_set_mode (sim, engine, begins ? mode_of (fault) : ENGINE_SOUND);
    }
}

static void
come_back (sim_t *sim, sim_request_t *request)
{
  if (request->over)
    return;
  open_line (sim, request);
  sim_place (sim, request);
}

static void
handle (sim_t *sim, const evt_t *event)
{
  sim_send_t *send = event->data;

  switch ((sim_event_t)event->kind)
    {
    case EVENT_ARRIVE:
      if (sim->now_us < SIM_END_US)
        arrive_together (sim, event->number);
      return;
    case EVENT_RETURN:
      come_back (sim, event->data);
      return;
    case EVENT_DEADLINE:
      sim_on_deadline (sim, event->data);
      return;
    case EVENT_HEAD:
      sim_on_head (sim, send);
      return;
    case EVENT_END:
      sim_on_end (sim, send, true, CRS_UNKNOWN);
      return;
    case EVENT_REFUSED:
      sim_on_refused (sim, send);
      return;
    case EVENT_TICK:
      sim_on_tick (sim, g_ptr_array_index (sim->gateways, event->number));
      return;
    case EVENT_FAULT_BEGINS:
      set_fault (sim, true);
      return;
    case EVENT_FAULT_ENDS:
      set_fault (sim, false);
      return;
    }
}

static void
build (sim_t *sim)
{
  evt_init (&sim->events);
  sim->engines = g_ptr_array_new_with_free_func (sim_engine_free);
  sim->gateways = g_ptr_array_new_with_free_func (sim_gateway_free);
  sim->requests = g_ptr_array_new_with_free_func (g_free);
  sim->sends = g_ptr_array_new_with_free_func (g_free);
  sim->peaks = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  for (uint32_t service = 0; service < SIT_SERVICES; service++)
    {
      sim->retry_times[service] = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      sim->request_times[service] = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      for (uint32_t i = 0; i < sim->site->services[service].engines; i++)
        g_ptr_array_add (sim->engines, sim_engine_new (sim, service, i));
    }
  for (uint32_t i = 0; i < sim->site->gateways; i++)
    g_ptr_array_add (sim->gateways, sim_gateway_new (sim, i));
  for (uint32_t kind = 0; kind < SIT_KINDS; kind++)
    plan_arrival (sim, kind);
  evt_add (&sim->events, SIM_FROM_US, EVENT_FAULT_BEGINS, 0, NULL);
  evt_add (&sim->events, SIM_TO_US, EVENT_FAULT_ENDS, 0, NULL);
}

/* What is under way at the end: all of it is over by its deadline, so nothing holds an engine. */
static void
clear (sim_t *sim)
{
  g_ptr_array_free (sim->gateways, TRUE);
  g_ptr_array_free (sim->engines, TRUE);
  g_ptr_array_free (sim->requests, TRUE);
  g_ptr_array_free (sim->sends, TRUE);
  g_array_free (sim->peaks, TRUE);
  for (uint32_t service = 0; service < SIT_SERVICES; service++)
    {
      g_array_free (sim->retry_times[service], TRUE);
      g_array_free (sim->request_times[service], TRUE);
    }
  evt_clear (&sim->events);
}

static int64_t
beyond_allowance (const sim_t *sim, const GArray *retries, const GArray *requests)
{
  int64_t most = INT64_MIN;
  guint first_retry = 0;
  guint first_request = 0;
  guint end_request = 0;

  for (guint i = 0; i < retries->len; i++)
    {
      uint64_t at_us = g_array_index (retries, uint64_t, i);
      int64_t allowed;

      while (g_array_index (retries, uint64_t, first_retry) + WINDOW_US < at_us)
        first_retry++;
      while (end_request < requests->len &&
             g_array_index (requests, uint64_t, end_request) <= at_us)
        end_request++;
      while (g_array_index (requests, uint64_t, first_request) + WINDOW_US < at_us)
        first_request++;
      allowed = (int64_t)(end_request - first_request) * sim->site->retries.ratio_milli / 1000 +
                sim->site->retries.slack;
      most = MAX (most, (int64_t)(i - first_retry + 1) - allowed);
    }
  return most == INT64_MIN ? -(int64_t)sim->site->retries.slack : most;
}

static int
compare_u32 (const void *a, const void *b)
{
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;

  return left < right ? -1 : left > right;
}

static void
sum_up (sim_t *sim)
{
  sim_figures_t *figures = &sim->figures;

  figures->retries_most = INT64_MIN;
  for (uint32_t service = 0; service < SIT_SERVICES; service++)
    {
      figures->retries_most =
          MAX (figures->retries_most,
               beyond_allowance (sim, sim->retry_times[service], sim->request_times[service]));
    }
  g_array_sort (sim->peaks, compare_u32);
  if (sim->peaks->len > 0)
    figures->peak_milli = g_array_index (sim->peaks, uint32_t, sim->peaks->len / 2);
}

/* A small fleet has as many plain engines all the same. */
static void
shrink (sit_t *site, uint32_t part)
{
  site->gateways = MAX (site->gateways / part, 1U);
  site->services[SIT_MODEL].engines = MAX (site->services[SIT_MODEL].engines / part, 1U);
  for (uint32_t i = 0; i < SIT_KINDS; i++)
    site->kinds[i].rate_s /= part;
}

sim_figures_t
sim_run (const sim_options_t *options)
{
  sim_t sim = { .options = *options, .part = *options->site, .dice = options->seed * 2 + 1 };
  evt_t event;

  shrink (&sim.part, MAX (options->part, 1U));
  sim.site = &sim.part;
  build (&sim);
  while (evt_take (&sim.events, &event))
    {
      sim.now_us = event.at_us;
      handle (&sim, &event);
    }
  sum_up (&sim);
  clear (&sim);
  return sim.figures;
}
