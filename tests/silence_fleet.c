#include "silence_fleet.h"

#include "base/clock.h"
#include "request/policy/placement/engine_choice.h"
#include "request/policy/retries/hop_move.h"
#include "request/policy/retries/hop_timeout.h"
#include "request/policy/retries/retry_budget.h"
#include "request/policy/retries/retry_plan.h"

#include <glib.h>
#include <string.h>

#define MS UINT64_C (1000)
#define TICK_US (25 * MS)
#define CHECK_TICKS 4 /* between two searches for silent attempts, as in a gateway */
#define MOVE_RETRY_US (200 * MS)
#define START_US (UINT64_C (1000) * CLOCK_US_PER_S)
/* The gateways have been running for longer than a window of the budget. */
#define WINDOW_US (UINT64_C (10) * CLOCK_US_PER_S)
#define RATIO_MILLI 200
#define WARM_TICKS 40                    /* before the fault */
#define FAULT_TICKS 120                  /* from its begin on requests arrive for so long */
#define DEADLINE_US (8 * CLOCK_US_PER_S) /* of every request */
#define END_TICKS (WARM_TICKS + FAULT_TICKS + 360)
#define WORK_LOOKUP 2  /* ticks until the answer */
#define WORK_STREAM 40 /* ticks, with an event in each */
#define GAP_US (30 * MS)
#define USUAL_US (50 * MS)
#define SLOTS 32
#define ATTEMPTS 2
#define LEFT_MAX 4 /* engines that a request left and that are remembered */
#define SILENCE_MIN_US (600 * MS)
#define SILENCE_MAX_US (2000 * MS)
#define TURN_US (500 * MS)

/** struct true_engine - the state of an engine itself */
typedef struct
{
  uint64_t silent_from_us;
  uint64_t silent_to_us;
  uint32_t running;
} true_engine_t;

/** struct request - a request; @engine: of the current attempt, -1 for none */
typedef struct
{
  bool is_stream;
  bool begun;
  int32_t engine;
  engine_t *known;
  uint32_t work;
  uint64_t sent_us;
  uint64_t last_byte_us;
  uint64_t deadline_us;
  uint64_t checked_us;
  uint64_t left_engines[LEFT_MAX];
  uint64_t left_us[LEFT_MAX];
  uint32_t moved;
  uint64_t tried[SILENCE_FLEET_ATTEMPTS_MAX + 1];
  uint32_t tried_count;
  retry_plan_t plan;
  uint32_t gateway;
} request_t;

typedef struct
{
  engines_t *engines;
  uint32_t first;      /* engine of its view */
  GPtrArray *requests; /* those in hand */
  retry_budget_t budget;
} member_t;

typedef struct
{
  silence_fleet_options_t options;
  silence_fleet_result_t result;
  retry_budget_options_t budget;
  GRand *random;
  uint64_t now_us;
  uint32_t view;
  true_engine_t *engines;
  member_t *members;
  uint32_t arrivals[END_TICKS];
  uint32_t retries[END_TICKS];
} fleet_t;

static uint32_t
tick_of (const fleet_t *fleet)
{
  return (uint32_t)((fleet->now_us - START_US) / TICK_US);
}

static bool
is_silent (const fleet_t *fleet, uint32_t engine)
{
  const true_engine_t *actual = &fleet->engines[engine];

  return fleet->now_us >= actual->silent_from_us && fleet->now_us < actual->silent_to_us;
}

static const GPtrArray *
list_of (const member_t *member)
{
  return engines_of_service (member->engines, g_intern_static_string ("pool"));
}

static engine_choice_t
choose (const fleet_t *fleet, const request_t *request, bool only_sound)
{
  const member_t *member = &fleet->members[request->gateway];
  uint64_t excluded[SILENCE_FLEET_ATTEMPTS_MAX + 1 + LEFT_MAX];
  uint32_t count = request->tried_count;

  memcpy (excluded, request->tried, count * sizeof excluded[0]);
  for (uint32_t i = 0; i < LEFT_MAX; i++)
    {
      const engine_t *left = engines_find_by_hash (member->engines, request->left_engines[i]);

      if (left && left->last_byte_us <= request->left_us[i])
        excluded[count++] = request->left_engines[i];
    }
  return engine_choice_make (
      list_of (member), fleet->now_us,
      &(engine_choice_request_t){
          .own_data_center = "hall-1",
          .tried = excluded,
          .tried_count = count,
          .gateway_hash = request->gateway + 1,
          .gateways = MAX (fleet->options.gateways * fleet->view / fleet->options.engines, 1U),
          .known_gateways = fleet->options.gateways,
          .slot_time_us = WORK_STREAM * TICK_US,
          .usual_head_us = USUAL_US,
          .repeatable = retry_plan_may_move (&request->plan, request->begun),
          .only_sound = only_sound });
}

static uint64_t
budget_wait_us (fleet_t *fleet, const request_t *request)
{
  return retry_budget_wait_us (&fleet->members[request->gateway].budget, &fleet->budget,
                               fleet->now_us, fleet->options.gateways);
}

static uint64_t
draw_silence_us (fleet_t *fleet)
{
  return (uint64_t)g_rand_int_range (fleet->random, SILENCE_MIN_US, SILENCE_MAX_US + 1);
}

static void
follow (fleet_t *fleet, const request_t *request)
{
  true_engine_t *actual = &fleet->engines[request->engine];

  if (fleet->options.fault != SILENCE_FLEET_FOLLOWS || request->moved == 0 ||
      fleet->now_us < actual->silent_to_us + TURN_US)
    return;
  actual->silent_from_us = fleet->now_us;
  actual->silent_to_us = fleet->now_us + draw_silence_us (fleet);
}

static void
send_to (fleet_t *fleet, request_t *request, engine_t *known)
{
  member_t *member = &fleet->members[request->gateway];

  request->known = known;
  request->engine = (int32_t)g_ascii_strtoull (known->entry.id + 1, NULL, 10);
  request->tried[request->tried_count++ % G_N_ELEMENTS (request->tried)] = known->hash;
  request->tried_count = MIN (request->tried_count, (uint32_t)G_N_ELEMENTS (request->tried));
  request->sent_us = fleet->now_us;
  request->last_byte_us = 0;
  request->checked_us = 0;
  if (retry_plan_note_send (&request->plan))
    {
      retry_budget_count_retry (&member->budget, &fleet->budget, fleet->now_us);
      fleet->retries[tick_of (fleet)]++;
    }
  engine_begin_request (known, fleet->now_us);
  engine_note_probe (known, fleet->now_us);
  fleet->engines[request->engine].running++;
  follow (fleet, request);
}

static void
leave (fleet_t *fleet, request_t *request)
{
  fleet->engines[request->engine].running--;
  engine_end_request_at (request->known, fleet->now_us);
  request->engine = -1;
  request->known = NULL;
}

/* A request that waits is tried again in the next tick. */
static void
place (fleet_t *fleet, request_t *request)
{
  engine_choice_t choice;

  if (request->plan.retry_due && budget_wait_us (fleet, request) > 0)
    return;
  choice = choose (fleet, request, false);
  if (choice.action == ENGINE_CHOICE_SEND)
    send_to (fleet, request, choice.engine);
}

/** struct check - a request, as context of the product's questions */
typedef struct
{
  fleet_t *fleet;
  request_t *request;
} check_t;

static bool
may_retry (void *context)
{
  const check_t *check = context;

  return budget_wait_us (check->fleet, check->request) == 0;
}

static bool
has_successor (void *context)
{
  const check_t *check = context;

  check->request->checked_us = check->fleet->now_us;
  return choose (check->fleet, check->request, true).action == ENGINE_CHOICE_SEND;
}

static bool
has_expired (const request_t *request, uint64_t now_us)
{
  hop_timeout_t timeout = { .sent_us = request->sent_us,
                            .last_byte_us = request->last_byte_us,
                            .engine_last_byte_us = request->known->last_byte_us,
                            .usual_us = USUAL_US,
                            .time_limit_us = request->deadline_us - request->sent_us,
                            .gap_us = request->is_stream ? GAP_US : 0 };

  return hop_timeout_has_expired (&timeout, now_us);
}

static bool
may_leave (fleet_t *fleet, request_t *request)
{
  check_t check = { fleet, request };

  if (!retry_plan_may_move (&request->plan, request->begun))
    return false;
  if (fleet->options.leaves_at_once)
    return true;
  if (fleet->now_us < request->checked_us + MOVE_RETRY_US)
    return false;
  return hop_move_decide (&(hop_move_state_t){ .may_move = true,
                                               .left_us = request->deadline_us -
                                                          MIN (fleet->now_us, request->deadline_us),
                                               .usual_us = USUAL_US,
                                               .budget_wait_us = budget_wait_us (fleet, request),
                                               .has_successor = has_successor,
                                               .context = &check }) == HOP_MOVE_NOW;
}

/* Return: whether the request is still in hand */
static bool
move (fleet_t *fleet, request_t *request)
{
  check_t check = { fleet, request };
  uint64_t quiet_us = fleet->now_us - MAX (request->sent_us, request->last_byte_us);
  uint64_t left_us = request->deadline_us - MIN (fleet->now_us, request->deadline_us);

  fleet->result.moved++;
  request->moved++;
  fleet->result.moved_most = MAX (fleet->result.moved_most, request->moved);
  if (fleet->engines[request->engine].silent_to_us == UINT64_MAX)
    fleet->result.leave_ms = MAX (fleet->result.leave_ms, (uint32_t)(quiet_us / MS));
  if (fleet->options.leaves_at_once)
    engine_note_failure (request->known, fleet->now_us);
  else
    {
      engine_note_silence (request->known, fleet->now_us);
      request->left_engines[request->moved % LEFT_MAX] = request->known->hash;
      request->left_us[request->moved % LEFT_MAX] = fleet->now_us;
      retry_plan_note_given_up (&request->plan);
    }
  leave (fleet, request);
  switch (retry_plan_next (
      &request->plan, request->begun ? RETRY_PLAN_OUTCOME_BROKE_OFF : RETRY_PLAN_OUTCOME_UNKNOWN,
      left_us, may_retry, &check))
    {
    case RETRY_PLAN_STEP_RESEND:
    case RETRY_PLAN_STEP_RESUME:
    case RETRY_PLAN_STEP_WAIT:
      place (fleet, request);
      return !fleet->options.leaves_at_once || request->engine >= 0;
    case RETRY_PLAN_STEP_CONTINUE:
    case RETRY_PLAN_STEP_PASS_ON:
    case RETRY_PLAN_STEP_REJECT:
    case RETRY_PLAN_STEP_FAIL:
    case RETRY_PLAN_STEP_CUT_OFF:
      break;
    }
  return false;
}

/* Return: whether the answer is whole */
static bool
work (fleet_t *fleet, request_t *request)
{
  if (is_silent (fleet, (uint32_t)request->engine))
    return false;
  request->work--;
  if (!request->is_stream && request->work > 0)
    return false;
  if (request->last_byte_us == 0)
    engine_note_answer (request->known, fleet->now_us, false);
  request->begun = true;
  request->last_byte_us = fleet->now_us;
  engine_note_byte (request->known, fleet->now_us);
  return request->work == 0;
}

static bool
is_out_of_attempts (const fleet_t *fleet, const request_t *request)
{
  return request->engine >= 0 && fleet->engines[request->engine].silent_to_us == UINT64_MAX &&
         request->plan.ran + 1 >= fleet->options.attempts;
}

/* Return: whether the request is still in hand after this tick */
static bool
step (fleet_t *fleet, request_t *request, bool checks)
{
  if (request->engine >= 0 && work (fleet, request))
    {
      leave (fleet, request);
      return false;
    }
  if (fleet->now_us >= request->deadline_us)
    {
      if (is_out_of_attempts (fleet, request))
        fleet->result.lost_at_dead++;
      if (request->tried_count > 0)
        fleet->result.lost++;
      else
        fleet->result.refused++;
      if (request->engine >= 0)
        leave (fleet, request);
      return false;
    }
  if (request->engine < 0)
    place (fleet, request);
  else if (checks && has_expired (request, fleet->now_us) && may_leave (fleet, request) &&
           !move (fleet, request))
    {
      fleet->result.lost++;
      return false;
    }
  return true;
}

static void
arrive (fleet_t *fleet, uint32_t gateway)
{
  member_t *member = &fleet->members[gateway];
  request_t *request = g_new0 (request_t, 1);

  request->is_stream = g_rand_boolean (fleet->random);
  request->work = request->is_stream ? WORK_STREAM : WORK_LOOKUP;
  request->engine = -1;
  request->gateway = gateway;
  request->deadline_us = fleet->now_us + DEADLINE_US;
  retry_plan_init (&request->plan, &(retry_plan_rules_t){ .idempotent = !request->is_stream,
                                                          .resumable = request->is_stream,
                                                          .max_runs = fleet->options.attempts });
  retry_budget_count_request (&member->budget, &fleet->budget, fleet->now_us);
  fleet->arrivals[tick_of (fleet)]++;
  fleet->result.requests++;
  g_ptr_array_add (member->requests, request);
  place (fleet, request);
}

static void
tick (fleet_t *fleet, uint32_t gateway)
{
  member_t *member = &fleet->members[gateway];
  uint32_t number = tick_of (fleet);
  double per_tick = fleet->options.per_s * (double)TICK_US / CLOCK_US_PER_S;

  for (guint i = 0; i < member->requests->len;)
    if (step (fleet, g_ptr_array_index (member->requests, i), number % CHECK_TICKS == 0))
      i++;
    else
      g_ptr_array_remove_index_fast (member->requests, i);
  if (number >= WARM_TICKS + FAULT_TICKS)
    return;
  for (; per_tick >= 1; per_tick--)
    arrive (fleet, gateway);
  if (g_rand_double (fleet->random) < per_tick)
    arrive (fleet, gateway);
}

static bool
is_affected (const fleet_t *fleet, uint32_t engine)
{
  switch (fleet->options.fault)
    {
    case SILENCE_FLEET_ONE:
    case SILENCE_FLEET_FOLLOWS:
    case SILENCE_FLEET_DEAD:
      return engine % SILENCE_FLEET_VIEW == 0;
    case SILENCE_FLEET_SOME:
      return engine % 3 == 0;
    case SILENCE_FLEET_ALL:
    case SILENCE_FLEET_IN_TURN:
      break;
    }
  return true;
}

static void
set_silence (fleet_t *fleet, uint32_t engine)
{
  true_engine_t *actual = &fleet->engines[engine];
  uint64_t lasts_us = draw_silence_us (fleet);

  if (!is_affected (fleet, engine))
    return;
  actual->silent_from_us = START_US + WARM_TICKS * TICK_US;
  if (fleet->options.fault == SILENCE_FLEET_IN_TURN)
    actual->silent_from_us += engine % (SILENCE_FLEET_VIEW / 2) * TURN_US;
  if (fleet->options.fault == SILENCE_FLEET_ONE)
    lasts_us = SILENCE_MAX_US;
  actual->silent_to_us =
      fleet->options.fault == SILENCE_FLEET_DEAD ? UINT64_MAX : actual->silent_from_us + lasts_us;
}

static void
init_member (fleet_t *fleet, uint32_t gateway)
{
  member_t *member = &fleet->members[gateway];
  uint64_t first = (uint64_t)gateway * fleet->options.engines / fleet->options.gateways;

  member->engines = engines_new ();
  member->requests = g_ptr_array_new_with_free_func (g_free);
  retry_budget_init (&member->budget, START_US - 2 * WINDOW_US);
  for (uint32_t i = 0; i < fleet->view; i++)
    {
      engine_entry_t entry = { .service = g_intern_static_string ("pool"),
                               .slots = SLOTS,
                               .state = ENGINE_READY };

      g_snprintf (entry.id, sizeof entry.id, "e%u",
                  (uint32_t)((first + i) % fleet->options.engines));
      g_strlcpy (entry.data_center, "hall-1", sizeof entry.data_center);
      engines_put (member->engines, START_US - 2 * WINDOW_US, &entry);
    }
  engines_set_complete (member->engines);
}

static void
clear_member (member_t *member)
{
  g_assert (member->requests->len == 0);
  g_ptr_array_free (member->requests, TRUE);
  engines_free (member->engines);
}

static uint64_t
sum (const uint32_t *counts, int64_t from, int64_t to)
{
  uint64_t total = 0;

  for (int64_t i = MAX (from, 0); i < MIN (to, END_TICKS); i++)
    total += counts[i];
  return total;
}

/* A window is allowed a share of the requests in it, in the one before it, or in the one half a
 * window before it, whichever has most. */
static int64_t
compute_excess (const fleet_t *fleet)
{
  const int64_t window = WINDOW_US / TICK_US;
  int64_t worst = INT64_MIN;

  for (int64_t end = 1; end <= END_TICKS; end++)
    {
      uint64_t requests = 0;
      int64_t allowed;

      for (int64_t before = 0; before <= window; before += window / 2)
        requests = MAX (requests, sum (fleet->arrivals, end - before - window, end - before));
      allowed = (int64_t)(requests * RATIO_MILLI / 1000) + fleet->options.slack;
      worst = MAX (worst, (int64_t)sum (fleet->retries, end - window, end) - allowed);
    }
  return worst;
}

silence_fleet_result_t
silence_fleet_play (const silence_fleet_options_t *options)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);
  silence_fleet_result_t result;

  fleet->options = *options;
  if (options->attempts == 0)
    fleet->options.attempts = ATTEMPTS;
  fleet->random = g_rand_new_with_seed (options->seed);
  fleet->now_us = START_US;
  fleet->view = MIN (options->engines, (uint32_t)SILENCE_FLEET_VIEW);
  fleet->budget = (retry_budget_options_t){ .ratio_milli = RATIO_MILLI,
                                            .slack = options->slack,
                                            .window_us = WINDOW_US };
  fleet->engines = g_new0 (true_engine_t, options->engines);
  fleet->members = g_new0 (member_t, options->gateways);
  for (uint32_t i = 0; i < options->engines; i++)
    set_silence (fleet, i);
  for (uint32_t i = 0; i < options->gateways; i++)
    init_member (fleet, i);
  for (uint32_t i = 0; i < END_TICKS; i++, fleet->now_us += TICK_US)
    for (uint32_t gateway = 0; gateway < options->gateways; gateway++)
      tick (fleet, gateway);
  fleet->result.over_budget = compute_excess (fleet);
  result = fleet->result;
  for (uint32_t i = 0; i < options->gateways; i++)
    clear_member (&fleet->members[i]);
  g_rand_free (fleet->random);
  g_free (fleet->members);
  g_free (fleet->engines);
  g_free (fleet);
  return result;
}
