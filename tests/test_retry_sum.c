/* Unit tests of the sum of the retries of all gateways, simulated in virtual time: it must stay
 * within the configured limit whatever each gateway knows of the others. */
#include "request/policy/retries/retry_plan.h"
#include "request/policy/retries/retry_budget.h"
#include "tests/suite.h"

#include <glib.h>
#include <string.h>

#define S_US (UINT64_C (1000) * 1000)
#define TICK_US (S_US / 10)
#define WINDOW_TICKS 100
#define TICKS 600
#define GATEWAYS_MAX 770
#define WAITING_MAX 64   /* retries that wait for a free slot at one gateway */
#define WAIT_TICKS 60    /* between free slots, while retries have to wait */
#define REQUESTS_PER_S 5 /* mean at each gateway */

/**
 * struct member - a gateway of the fleet
 * @known: other gateways in the registry as this one has read it
 * @alive: other gateways that this one hears
 */
typedef struct
{
  retry_budget_t retry_budget;
  uint32_t known;
  uint32_t alive;
  bool lists; /* it has read the registry since its start */
  retry_plan_t calls[WAITING_MAX];
  uint32_t waiting;
} member_t;

/**
 * struct fleet - gateways that send all retries that they may
 * @requests: requests of clients in each tick, of all gateways
 * @retries: retries in each tick, of all gateways
 */
typedef struct
{
  member_t members[GATEWAYS_MAX];
  uint32_t count;
  retry_budget_options_t options;
  GRand *rand;
  bool uneven; /* one gateway in eight gets most of the requests */
  bool waits;  /* retries wait for a free slot for seconds */
  uint32_t requests[TICKS];
  uint32_t retries[TICKS];
} fleet_t;

typedef void (*event_fn) (fleet_t *fleet, uint32_t tick);

static uint64_t
at_us (uint32_t tick)
{
  return 1000 * S_US + tick * TICK_US;
}

/* Return: slack as operators configure it, which grows with the fleet */
static uint32_t
slack_for (uint32_t gateways)
{
  return 44 + gateways * 26 / 10;
}

static void
restart (member_t *member, uint32_t tick)
{
  retry_budget_init (&member->retry_budget, at_us (tick));
  member->lists = false;
  member->known = 0;
  member->alive = 0;
}

static void
join (fleet_t *fleet, uint32_t count)
{
  fleet->count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      fleet->members[i].lists = true;
      fleet->members[i].known = count - 1;
      fleet->members[i].alive = count - 1;
    }
}

static fleet_t *
fleet_new (uint32_t count)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);

  fleet->options = (retry_budget_options_t){ .ratio_milli = 200,
                                             .slack = slack_for (count),
                                             .window_us = 10 * S_US };
  fleet->rand = g_rand_new_with_seed (count);
  join (fleet, count);
  return fleet;
}

static void
fleet_free (fleet_t *fleet)
{
  g_rand_free (fleet->rand);
  g_free (fleet);
}

static uint32_t
sharers_of (const member_t *member)
{
  return retry_budget_sharers (member->lists, member->known, member->alive);
}

/* Return: requests that arrive in one tick at the gateway with this index */
static uint32_t
arrivals_at (fleet_t *fleet, uint32_t index)
{
  uint32_t per_s = REQUESTS_PER_S;

  if (fleet->uneven)
    per_s = index % 8 == 0 ? REQUESTS_PER_S * 6 : 1;
  return (uint32_t)g_rand_int_range (fleet->rand, 0, 20) < per_s * 2 ? 1 : 0;
}

/* Sends waiting retries that the budget allows. All of them find free slots at the same time, as
 * after the restart of an engine. */
static void
send_waiting (fleet_t *fleet, member_t *member, uint32_t tick)
{
  bool has_free_slots = !fleet->waits || tick % WAIT_TICKS == 0;
  uint32_t left = 0;

  for (uint32_t i = 0; i < member->waiting; i++)
    {
      retry_plan_t *retry_plan = &member->calls[i];

      if (!has_free_slots || retry_budget_wait_us (&member->retry_budget, &fleet->options,
                                                   at_us (tick), sharers_of (member)))
        {
          member->calls[left++] = *retry_plan;
          continue;
        }
      if (retry_plan_note_send (retry_plan))
        retry_budget_count_retry (&member->retry_budget, &fleet->options, at_us (tick));
      fleet->retries[tick]++;
    }
  member->waiting = left;
}

/** struct chance - the gateway and time for which may_retry() is called */
typedef struct
{
  fleet_t *fleet;
  member_t *member;
  uint32_t tick;
} chance_t;

static bool
may_retry (void *context)
{
  const chance_t *chance = context;

  return retry_budget_wait_us (&chance->member->retry_budget, &chance->fleet->options,
                               at_us (chance->tick), sharers_of (chance->member)) == 0;
}

/* Adds failed requests until the budget allows no further retry or the limit of waiting ones is
 * reached. */
static void
add_retries (fleet_t *fleet, member_t *member, uint32_t tick)
{
  chance_t chance = { fleet, member, tick };

  while (member->waiting < WAITING_MAX)
    {
      retry_plan_t retry_plan;

      retry_plan_init (&retry_plan, &(retry_plan_rules_t){ .idempotent = true, .max_runs = 4 });
      if (retry_plan_next (&retry_plan, RETRY_PLAN_OUTCOME_FAILED, S_US, may_retry, &chance) !=
          RETRY_PLAN_STEP_RESEND)
        return;
      member->calls[member->waiting++] = retry_plan;
      if (!fleet->waits)
        send_waiting (fleet, member, tick);
    }
}

static void
simulate (fleet_t *fleet, event_fn event)
{
  for (uint32_t tick = 0; tick < TICKS; tick++)
    {
      if (event)
        event (fleet, tick);
      for (uint32_t i = 0; i < fleet->count; i++)
        {
          member_t *member = &fleet->members[i];

          for (uint32_t n = arrivals_at (fleet, i); n > 0; n--)
            {
              retry_budget_count_request (&member->retry_budget, &fleet->options, at_us (tick));
              fleet->requests[tick]++;
            }
          add_retries (fleet, member, tick);
          send_waiting (fleet, member, tick);
        }
    }
}

static uint32_t
window_sum (const uint32_t *counts, uint32_t from)
{
  uint32_t total = 0;

  for (uint32_t tick = from; tick < from + WINDOW_TICKS; tick++)
    total += counts[tick];
  return total;
}

/* Return: largest ratio of retries to the limit in any window, in thousandths */
static uint32_t
max_use_milli (const fleet_t *fleet)
{
  uint32_t worst = 0;

  for (uint32_t from = WINDOW_TICKS; from + WINDOW_TICKS <= TICKS; from++)
    {
      uint32_t requests = window_sum (fleet->requests, from);

      requests = MAX (requests, window_sum (fleet->requests, from - WINDOW_TICKS));
      requests = MAX (requests, window_sum (fleet->requests, from - WINDOW_TICKS / 2));
      worst =
          MAX (worst, window_sum (fleet->retries, from) * 1000 /
                          (requests * fleet->options.ratio_milli / 1000 + fleet->options.slack));
    }
  return worst;
}

static void
check_sum (event_fn event, bool uneven, bool waits, uint32_t least_milli)
{
  static const uint32_t sizes[] = { 4, 5, 22, 103, 385 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      fleet_t *fleet = fleet_new (sizes[i]);
      uint32_t worst;

      fleet->uneven = uneven;
      fleet->waits = waits;
      simulate (fleet, event);
      worst = max_use_milli (fleet);
      if (worst > 1000 || worst < least_milli)
        g_print ("%u gateways: %u of 1000\n", sizes[i], worst);
      CU_ASSERT (worst <= 1000);
      CU_ASSERT (worst >= least_milli);
      fleet_free (fleet);
    }
}

/* Guards against a share that is far below the limit, so that allowed retries are not sent. */
static void
test_allowed_retries_are_used (void)
{
  check_sum (NULL, false, false, 600);
}

static void
test_uneven_connections (void)
{
  check_sum (NULL, true, false, 0);
}

/* Guards against retries that are counted seconds before they are sent, since they wait for a free
 * slot. */
static void
test_retries_that_wait_for_slots (void)
{
  check_sum (NULL, false, true, 0);
}

static void
restart_all_twice (fleet_t *fleet, uint32_t tick)
{
  if (tick == 250 || tick == 290)
    for (uint32_t i = 0; i < fleet->count; i++)
      restart (&fleet->members[i], tick);
  if (tick == 260 || tick == 300)
    join (fleet, fleet->count);
}

/* Guards against gateways that use the whole slack until they have read the registry, again after
 * each start. */
static void
test_all_restart_twice_in_a_window (void)
{
  check_sum (restart_all_twice, false, false, 0);
}

static void
restart_half_each_two_seconds (fleet_t *fleet, uint32_t tick)
{
  if (tick < 200 || tick > 400)
    return;
  for (uint32_t i = 0; i < fleet->count; i++)
    if (tick % 20 == 0 && i % 2 == tick / 20 % 2)
      restart (&fleet->members[i], tick);
    else if (tick % 20 == 5)
      fleet->members[i] = (member_t){ .retry_budget = fleet->members[i].retry_budget,
                                      .lists = true,
                                      .known = fleet->count - 1,
                                      .alive = fleet->count / 2 };
}

/* Guards against the share being available again after each restart, while halves of the fleet
 * restart in turn. */
static void
test_halves_restart_in_turn (void)
{
  check_sum (restart_half_each_two_seconds, false, false, 0);
}

static void
split (fleet_t *fleet, uint32_t tick)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    fleet->members[i].alive = tick >= 200 && tick < 400 ? fleet->count / 2 - 1 : fleet->count - 1;
}

/* Guards against two halves of a partitioned fleet that use the whole slack each. */
static void
test_fleet_split_in_halves (void)
{
  check_sum (split, false, false, 0);
}

static void
isolate_all (fleet_t *fleet, uint32_t tick)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    fleet->members[i].alive = tick >= 200 && tick < 400 ? 0 : fleet->count - 1;
}

/* Guards against gateways that use the share of others since they receive nothing from them. */
static void
test_all_are_isolated (void)
{
  check_sum (isolate_all, false, false, 0);
}

static void
join_many (fleet_t *fleet, uint32_t tick)
{
  uint32_t before = fleet->count;

  if (tick != 250)
    return;
  for (uint32_t i = before; i < before * 2; i++)
    restart (&fleet->members[i], tick);
  fleet->count = before * 2;
}

/* Guards against new gateways that use a share while the others don't know of them yet. */
static void
test_fleet_doubles_before_others_know (void)
{
  check_sum (join_many, false, false, 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_allowed_retries_are_used),
    SUITE_TEST (test_uneven_connections),
    SUITE_TEST (test_retries_that_wait_for_slots),
    SUITE_TEST (test_all_restart_twice_in_a_window),
    SUITE_TEST (test_halves_restart_in_turn),
    SUITE_TEST (test_fleet_split_in_halves),
    SUITE_TEST (test_all_are_isolated),
    SUITE_TEST (test_fleet_doubles_before_others_know),
    CU_TEST_INFO_NULL,
  };

  return suite_run ("retry_sum", tests);
}
