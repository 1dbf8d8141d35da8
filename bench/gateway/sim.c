#include "sim_parts.h"

#define SURGING_ACCOUNT 7 /* index of the account that surges; not one of the large accounts */
#define LARGE_ACCOUNTS 4
#define LARGE_ACCOUNTS_SHARE 0.5 /* of all requests, for the large accounts together */
#define HOT_PREFIX_SHARE 0.4     /* of the requests of the first kind, under SIM_HOT_PART */
#define BURST_FACTOR 3.0
#define FEW_ENGINES_FACTOR 2.0
#define OVERLOAD_FACTOR 7.0
#define SURGING_ACCOUNT_SHARE 0.6   /* of all requests, while that account surges */
#define REMAINING_ENGINES_DIVISOR 2 /* one engine in so many, rounded down, does not leave */
#define FAULTY_ENGINES_DIVISOR 4    /* one engine in so many, rounded up, has the fault */
#define RETRY_WINDOW_US (10 * (uint64_t)CLOCK_US_PER_S)

static const char *const policy_names[] = { "full", "uncharged", "patient", "copies",   "directory",
                                            "hash", "least",     "random",  "unshared", "ideal" };
static const char *const fault_names[] = { "steady",   "burst", "hot_part", "hot_account",
                                           "grey",     "slow",  "mute",     "crash",
                                           "overload", "few",   "crowds" };

const char *
sim_policy_name (sim_policy_t policy)
{
  return policy_names[policy];
}

const char *
sim_fault_name (sim_fault_t fault)
{
  return fault_names[fault];
}

bool
sim_has_copies (const sim_t *sim)
{
  return sim->options.policy == SIM_COPIES || sim->options.policy == SIM_DIRECTORY;
}

static uint64_t
fault_end_us (const sim_t *sim)
{
  return sim->options.fault_us > 0 ? SIM_FAULT_BEGIN_US + sim->options.fault_us : SIM_FAULT_END_US;
}

static double
traffic_factor (const sim_t *sim)
{
  if (!sim->faulty)
    return 1.0;
  if (sim->options.surge_factor > 0)
    return 1.0 + (sim->options.surge_factor - 1) * LARGE_ACCOUNTS_SHARE / LARGE_ACCOUNTS;
  if (sim->options.traffic_milli > 0)
    return sim->options.traffic_milli / 1000.0;
  if (sim->options.fault == SIM_BURST)
    return BURST_FACTOR;
  if (sim->options.fault == SIM_OVERLOAD)
    return OVERLOAD_FACTOR;
  return sim->options.fault == SIM_FEW || sim->options.fault == SIM_HOT_ACCOUNT ? FEW_ENGINES_FACTOR
                                                                                : 1.0;
}

static uint32_t
arrival_group_size (const sim_t *sim)
{
  return sim->faulty && sim->options.fault == SIM_CROWDS ? SIM_CROWD_SIZE : 1;
}

static void
schedule_arrivals (sim_t *sim, uint32_t kind)
{
  double rate_s = sim->site->kinds[kind].rate_s * traffic_factor (sim) / arrival_group_size (sim);

  if (rate_s <= 0)
    return;
  event_queue_add (&sim->events,
                   sim->now_us + 1 +
                       (uint64_t)random_exponential (&sim->random, CLOCK_US_PER_S / rate_s),
                   EVENT_ARRIVAL, kind, NULL);
}

static bool
has_surging_account (const sim_t *sim)
{
  return sim->options.fault == SIM_HOT_ACCOUNT || sim->options.fault == SIM_OVERLOAD;
}

static uint32_t
draw_account (sim_t *sim)
{
  uint32_t small_accounts = sim->site->accounts - LARGE_ACCOUNTS;

  if (sim->faulty && has_surging_account (sim) &&
      random_unit (&sim->random) < SURGING_ACCOUNT_SHARE)
    return SURGING_ACCOUNT;
  if (sim->faulty && sim->options.surge_factor > 0 &&
      random_unit (&sim->random) < 1 - 1 / traffic_factor (sim))
    return 0;
  if (random_unit (&sim->random) < LARGE_ACCOUNTS_SHARE)
    return random_below (&sim->random, LARGE_ACCOUNTS);
  return LARGE_ACCOUNTS + random_below (&sim->random, small_accounts);
}

/* Returns the identity of a shared prefix; the square makes some prefixes more popular. */
static uint64_t
draw_prefix (sim_t *sim, const site_kind_t *kind)
{
  uint32_t kind_index = (uint32_t)(kind - sim->site->kinds);
  double position = random_unit (&sim->random);

  if (kind->prefixes == 0)
    return 0;
  if (kind_index == 0 && sim->faulty && sim->options.fault == SIM_HOT_PART &&
      random_unit (&sim->random) < HOT_PREFIX_SHARE)
    position = 0;
  return kind_index * UINT64_C (1000) + 1 + (uint64_t)(position * position * kind->prefixes);
}

/* Prepares the request for a try of its client, the first or a repeated one. */
static void
init_try (sim_t *sim, sim_request_t *request)
{
  bool no_target = sim->options.policy == SIM_PATIENT;

  request->queue_item =
      (wait_queue_item_t){ .priority = request->kind->priority,
                           .arrived_us = sim->now_us,
                           .target_us = no_target ? 0 : request->arrived_us + request->kind->aim_us,
                           .deadline_us = request->arrived_us + request->kind->deadline_us,
                           .is_retry = request->returned,
                           .fair_entry = { .account_hash = request->account + 1,
                                           .owner = request } };
  retry_plan_init (&request->retry_plan,
                   &(retry_plan_rules_t){ .idempotent = request->kind->kind == ROUTING_IDEMPOTENT,
                                          .resumable = request->kind->resumable,
                                          .max_runs = request->kind->attempts });
  request->tried_count = 0;
  request->attempt_count = 0;
  retry_budget_count_request (&request->gateway->retries[request->kind->service],
                              &sim->site->retries, sim->now_us);
  g_array_append_val (sim->request_times[request->kind->service], sim->now_us);
}

static uint32_t
draw_gateway (sim_t *sim)
{
  double position;

  if (!sim->site->unevenness.gateways)
    return random_below (&sim->random, sim->site->gateways);
  position = random_unit (&sim->random);
  return (uint32_t)(position * position * sim->site->gateways);
}

static void
add_request (sim_t *sim, uint32_t kind)
{
  sim_request_t *request = g_new0 (sim_request_t, 1);

  request->kind = &sim->site->kinds[kind];
  request->gateway = g_ptr_array_index (sim->gateways, draw_gateway (sim));
  request->account = draw_account (sim);
  request->prefix = draw_prefix (sim, request->kind);
  request->arrived_us = sim->now_us;
  init_try (sim, request);
  g_ptr_array_add (sim->requests, request);
  g_ptr_array_add (request->gateway->requests, request);
  event_queue_add (&sim->events, request->queue_item.deadline_us, EVENT_DEADLINE, 0, request);
  sim_place_request (sim, request);
}

static void
handle_arrivals (sim_t *sim, uint32_t kind)
{
  schedule_arrivals (sim, kind);
  for (uint32_t i = 0; i < arrival_group_size (sim); i++)
    add_request (sim, kind);
}

static void
count_answer (const sim_t *sim,
              sim_count_t *total,
              const sim_request_t *request,
              sim_result_t answer)
{
  uint64_t half_us = request->kind->deadline_us / 2;
  bool on_time = request->head_us <= request->arrived_us + request->kind->aim_us;

  total->requests++;
  total->on_time += answer == SIM_SERVED && on_time ? 1 : 0;
  total->late += answer == SIM_SERVED && !on_time ? 1 : 0;
  total->refused += answer == SIM_REFUSED ? 1 : 0;
  total->failed += answer == SIM_FAILED ? 1 : 0;
  total->waited_late +=
      answer == SIM_SERVED && !on_time &&
              request->head_us - request->waited_us <= request->arrived_us + request->kind->aim_us
          ? 1
          : 0;
  total->late_refusals +=
      answer == SIM_REFUSED && sim->now_us > request->queue_item.arrived_us + half_us ? 1 : 0;
}

void
sim_finish_request (sim_t *sim, sim_request_t *request, sim_result_t answer)
{
  sim_figures_t *figures = &sim->figures;

  g_assert (!request->over && !request->attempt && !request->queue_item.waiting);
  request->over = true;
  g_ptr_array_remove_fast (request->gateway->requests, request);
  if (request->arrived_us < sim->measured_from_us)
    return;
  count_answer (sim, &figures->all, request, answer);
  if (request->arrived_us >= SIM_RECOVERED_FROM_US)
    count_answer (sim, &figures->after, request, answer);
  if (request->arrived_us < SIM_FAULT_BEGIN_US || request->arrived_us >= fault_end_us (sim))
    return;
  count_answer (sim, &figures->during, request, answer);
  count_answer (sim, &figures->accounts[request->account % SIM_ACCOUNTS_MAX], request, answer);
  count_answer (sim, &figures->kinds[request->kind - sim->site->kinds], request, answer);
  if (request->account != SURGING_ACCOUNT && request->kind->service != SITE_MODEL_SERVICE)
    count_answer (sim, &figures->quiet, request, answer);
}

static sim_engine_mode_t
engine_mode (sim_fault_t fault)
{
  switch (fault)
    {
    case SIM_GREY:
      return ENGINE_FLAKY;
    case SIM_SLOW:
      return ENGINE_SLOW;
    case SIM_MUTE:
      return ENGINE_UNRESPONSIVE;
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
  return ENGINE_HEALTHY;
}

/* Whether the fault affects the engine: it affects the first engines of each service. */
static bool
is_affected (const sim_t *sim, const sim_engine_t *engine)
{
  uint32_t engine_count = sim->site->services[engine->service].engines;

  return engine->index < (engine_count + FAULTY_ENGINES_DIVISOR - 1) / FAULTY_ENGINES_DIVISOR;
}

static void
update_gateways (const sim_t *sim, const sim_engine_t *engine)
{
  for (guint i = 0; i < sim->gateways->len; i++)
    {
      sim_gateway_t *gateway = g_ptr_array_index (sim->gateways, i);

      engines_put (gateway->engines, sim->now_us, &engine->entry);
    }
}

static void
set_leaving (sim_t *sim, sim_engine_t *engine, bool leaving)
{
  uint32_t engine_count = sim->site->services[engine->service].engines;

  if (engine->index < engine_count / REMAINING_ENGINES_DIVISOR)
    return;
  engine->entry.state = leaving ? ENGINE_LEAVING : ENGINE_READY;
  update_gateways (sim, engine);
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
      else if (is_affected (sim, engine))
        sim_engine_set_mode (sim, engine, begins ? engine_mode (fault) : ENGINE_HEALTHY);
    }
}

static void
handle_client_retry (sim_t *sim, sim_request_t *request)
{
  if (request->over)
    return;
  init_try (sim, request);
  sim_place_request (sim, request);
}

static void
handle_event (sim_t *sim, const event_queue_entry_t *event)
{
  sim_attempt_t *attempt = event->data;

  switch ((sim_event_kind_t)event->kind)
    {
    case EVENT_ARRIVAL:
      if (sim->now_us < sim->arrivals_end_us)
        handle_arrivals (sim, event->number);
      return;
    case EVENT_CLIENT_RETRY:
      handle_client_retry (sim, event->data);
      return;
    case EVENT_DEADLINE:
      sim_on_deadline (sim, event->data);
      return;
    case EVENT_RESPONSE_HEAD:
      sim_on_response_head (sim, attempt);
      return;
    case EVENT_RESPONSE_END:
      sim_on_response_end (sim, attempt, true, RETRY_PLAN_OUTCOME_UNKNOWN);
      return;
    case EVENT_REFUSED:
      sim_on_refused (sim, attempt);
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
init_run (sim_t *sim)
{
  event_queue_init (&sim->events);
  sim->engines = g_ptr_array_new_with_free_func (sim_engine_free);
  sim->gateways = g_ptr_array_new_with_free_func (sim_gateway_free);
  sim->requests = g_ptr_array_new_with_free_func (g_free);
  sim->attempts = g_ptr_array_new_with_free_func (g_free);
  sim->ideal_queue = g_ptr_array_new ();
  sim->relative_loads = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  for (uint32_t service = 0; service < SITE_SERVICES; service++)
    {
      sim->retry_times[service] = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      sim->request_times[service] = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      for (uint32_t i = 0; i < sim->site->services[service].engines; i++)
        g_ptr_array_add (sim->engines, sim_engine_new (sim, service, i));
    }
  for (uint32_t i = 0; i < sim->site->gateways; i++)
    g_ptr_array_add (sim->gateways, sim_gateway_new (sim, i));
  for (uint32_t kind = 0; kind < SITE_KINDS; kind++)
    schedule_arrivals (sim, kind);
  event_queue_add (&sim->events, SIM_FAULT_BEGIN_US, EVENT_FAULT_BEGINS, 0, NULL);
  event_queue_add (&sim->events, fault_end_us (sim), EVENT_FAULT_ENDS, 0, NULL);
}

/* Every request is over by its deadline, so none refers to an engine any more. */
static void
clear_run (sim_t *sim)
{
  g_ptr_array_free (sim->gateways, TRUE);
  g_ptr_array_free (sim->engines, TRUE);
  g_ptr_array_free (sim->requests, TRUE);
  g_ptr_array_free (sim->attempts, TRUE);
  g_ptr_array_free (sim->ideal_queue, TRUE);
  g_array_free (sim->relative_loads, TRUE);
  for (uint32_t service = 0; service < SITE_SERVICES; service++)
    {
      g_array_free (sim->retry_times[service], TRUE);
      g_array_free (sim->request_times[service], TRUE);
    }
  event_queue_clear (&sim->events);
}

/* Returns the largest excess of retries over the retry budget in any window, negative if there is
 * none. Both arrays hold times in ascending order. */
static int64_t
max_retry_excess (const sim_t *sim, const GArray *retries, const GArray *requests)
{
  int64_t max_excess = INT64_MIN;
  guint first_retry = 0;
  guint first_request = 0;
  guint end_request = 0;

  for (guint i = 0; i < retries->len; i++)
    {
      uint64_t at_us = g_array_index (retries, uint64_t, i);
      int64_t allowed;

      while (g_array_index (retries, uint64_t, first_retry) + RETRY_WINDOW_US < at_us)
        first_retry++;
      while (end_request < requests->len &&
             g_array_index (requests, uint64_t, end_request) <= at_us)
        end_request++;
      while (g_array_index (requests, uint64_t, first_request) + RETRY_WINDOW_US < at_us)
        first_request++;
      allowed = (int64_t)(end_request - first_request) * sim->site->retries.ratio_milli / 1000 +
                sim->site->retries.slack;
      max_excess = MAX (max_excess, (int64_t)(i - first_retry + 1) - allowed);
    }
  return max_excess == INT64_MIN ? -(int64_t)sim->site->retries.slack : max_excess;
}

static int
compare_u32 (const void *a, const void *b)
{
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;

  return left < right ? -1 : left > right;
}

static void
compute_figures (sim_t *sim)
{
  sim_figures_t *figures = &sim->figures;

  figures->retries_over_budget = INT64_MIN;
  for (uint32_t service = 0; service < SITE_SERVICES; service++)
    {
      figures->retries_over_budget =
          MAX (figures->retries_over_budget,
               max_retry_excess (sim, sim->retry_times[service], sim->request_times[service]));
    }
  g_array_sort (sim->relative_loads, compare_u32);
  if (sim->relative_loads->len > 0)
    figures->relative_load_milli =
        g_array_index (sim->relative_loads, uint32_t, sim->relative_loads->len / 2);
}

/* The number of plain engines stays: a site has only a few of them. */
static void
scale_down (site_t *site, uint32_t divisor)
{
  site->gateways = MAX (site->gateways / divisor, 1U);
  site->services[SITE_MODEL_SERVICE].engines =
      MAX (site->services[SITE_MODEL_SERVICE].engines / divisor, 1U);
  for (uint32_t i = 0; i < SITE_KINDS; i++)
    site->kinds[i].rate_s /= divisor;
}

sim_figures_t
sim_run (const sim_options_t *options)
{
  sim_t sim = { .options = *options,
                .scaled_site = *options->site,
                .random = options->seed * 2 + 1,
                .own_parts = options->seed };
  event_queue_entry_t event;

  scale_down (&sim.scaled_site, MAX (options->scale_divisor, 1U));
  if (options->gateways > 0)
    sim.scaled_site.gateways = options->gateways;
  sim.site = &sim.scaled_site;
  sim.arrivals_end_us =
      options->seconds > 0 ? (uint64_t)options->seconds * CLOCK_US_PER_S : SIM_ARRIVALS_END_US;
  sim.measured_from_us = options->seconds > 0 ? sim.arrivals_end_us / 2 : SIM_MEASURED_FROM_US;
  init_run (&sim);
  while (event_queue_pop (&sim.events, &event))
    {
      sim.now_us = event.at_us;
      handle_event (&sim, &event);
    }
  compute_figures (&sim);
  clear_run (&sim);
  return sim.figures;
}
