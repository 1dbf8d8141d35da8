/* The sum of the retries of all gateways, in virtual time, whatever each of them knows. */
#include "request/policy/course.h"
#include "request/policy/retry_share.h"
#include "tests/suite.h"

#include <glib.h>
#include <string.h>

#define S_US (UINT64_C (1000) * 1000)
#define TICK_US (S_US / 10)
#define WINDOW_TICKS 100
#define TICKS 600
#define GATEWAYS_MOST 770
#define WAITING_MOST 64
#define WAIT_TICKS 60
#define REQUESTS_PER_S 5 /* at a gateway, on the average */

/** struct member - a gateway of the fleet: what it knows of the others */
typedef struct
{
  rsh_t rsh;
  uint32_t known;
  uint32_t alive;
  bool lists; /* it has read the registry since its start */
  crs_t calls[WAITING_MOST];
  uint32_t waiting;
} member_t;

/** struct fleet - gateways whose every request wants a retry; counts of each tick */
typedef struct
{
  member_t members[GATEWAYS_MOST];
  uint32_t count;
  rsh_options_t options;
  GRand *rand;
  bool uneven;
  bool waits; /* retries find no room for seconds */
  uint32_t requests[TICKS];
  uint32_t retries[TICKS];
} fleet_t;

typedef void (*event_fn) (fleet_t *fleet, uint32_t tick);

static uint64_t
at_us (uint32_t tick)
{
  return 1000 * S_US + tick * TICK_US;
}

/* As operators set it: it grows with the fleet. */
static uint32_t
slack_of (uint32_t gateways)
{
  return 44 + gateways * 26 / 10;
}

static void
restart (member_t *member, uint32_t tick)
{
  rsh_init (&member->rsh, at_us (tick));
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

  fleet->options =
      (rsh_options_t){ .ratio_milli = 200, .slack = slack_of (count), .window_us = 10 * S_US };
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
  return rsh_sharers (member->lists, member->known, member->alive);
}

static uint32_t
requests_of (fleet_t *fleet, uint32_t index)
{
  uint32_t per_s = REQUESTS_PER_S;

  if (fleet->uneven)
    per_s = index % 8 == 0 ? REQUESTS_PER_S * 6 : 1;
  return (uint32_t)g_rand_int_range (fleet->rand, 0, 20) < per_s * 2 ? 1 : 0;
}

/* Room comes for all that wait at once, as it does when an engine is back. */
static void
send_due (fleet_t *fleet, member_t *member, uint32_t tick)
{
  bool has_room = !fleet->waits || tick % WAIT_TICKS == 0;
  uint32_t left = 0;

  for (uint32_t i = 0; i < member->waiting; i++)
    {
      crs_t *crs = &member->calls[i];

      if (!has_room ||
          rsh_wait_us (&member->rsh, &fleet->options, at_us (tick), sharers_of (member)))
        {
          member->calls[left++] = *crs;
          continue;
        }
      if (crs_sends (crs))
        rsh_spend (&member->rsh, &fleet->options, at_us (tick));
      fleet->retries[tick]++;
    }
  member->waiting = left;
}

/** struct chance - whom a retry is asked of */
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

  return rsh_wait_us (&chance->member->rsh, &chance->fleet->options, at_us (chance->tick),
                      sharers_of (chance->member)) == 0;
}

/* Requests that failed are retried as far as it is allowed now, or a few wait for room instead. */
static void
decide (fleet_t *fleet, member_t *member, uint32_t tick)
{
  chance_t chance = { fleet, member, tick };

  while (member->waiting < WAITING_MOST)
    {
      crs_t crs;

      crs_init (&crs, &(crs_rules_t){ .idempotent = true, .attempts = 4 });
      if (crs_next (&crs, CRS_FAILED, S_US, may_retry, &chance) != CRS_AGAIN)
        return;
      member->calls[member->waiting++] = crs;
      if (!fleet->waits)
        send_due (fleet, member, tick);
    }
}

static void
play (fleet_t *fleet, event_fn event)
{
  for (uint32_t tick = 0; tick < TICKS; tick++)
    {
      if (event)
        event (fleet, tick);
      for (uint32_t i = 0; i < fleet->count; i++)
        {
          member_t *member = &fleet->members[i];

          for (uint32_t n = requests_of (fleet, i); n > 0; n--)
            {
              rsh_request (&member->rsh, &fleet->options, at_us (tick));
              fleet->requests[tick]++;
            }
          decide (fleet, member, tick);
          send_due (fleet, member, tick);
        }
    }
}

static uint32_t
sum_from (const uint32_t *counts, uint32_t from)
{
  uint32_t total = 0;

  for (uint32_t tick = from; tick < from + WINDOW_TICKS; tick++)
    total += counts[tick];
  return total;
}

/* Return: retries of the fullest window, in thousandths of what the operators allow there */
static uint32_t
worst_milli (const fleet_t *fleet)
{
  uint32_t worst = 0;

  for (uint32_t from = WINDOW_TICKS; from + WINDOW_TICKS <= TICKS; from++)
    {
      uint32_t requests = sum_from (fleet->requests, from);

      requests = MAX (requests, sum_from (fleet->requests, from - WINDOW_TICKS));
      requests = MAX (requests, sum_from (fleet->requests, from - WINDOW_TICKS / 2));
      worst =
          MAX (worst, sum_from (fleet->retries, from) * 1000 /
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
      play (fleet, event);
      worst = worst_milli (fleet);
      if (worst > 1000 || worst < least_milli)
        g_print ("%u gateways: %u of 1000\n", sizes[i], worst);
      CU_ASSERT (worst <= 1000);
      CU_ASSERT (worst >= least_milli);
      fleet_free (fleet);
    }
}

static void
test_retries_that_are_allowed_are_used (void)
{
  check_sum (NULL, false, false, 600);
}

static void
test_uneven_connections (void)
{
  check_sum (NULL, true, false, 0);
}

/* Guards against retries that wait for room being counted seconds before they are sent. */
static void
test_retries_that_wait_for_room (void)
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

/* Guards against a gateway that spends as if it were alone until it has read the registry, and once
 * more after each start. */
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
      fleet->members[i] = (member_t){ .rsh = fleet->members[i].rsh,
                                      .lists = true,
                                      .known = fleet->count - 1,
                                      .alive = fleet->count / 2 };
}

/* Guards against what a gateway spent being forgotten with each start, by halves in turn. */
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

/* Guards against two halves of a cut fleet that both take all of the slack. */
static void
test_fleet_split_in_halves (void)
{
  check_sum (split, false, false, 0);
}

static void
deafen (fleet_t *fleet, uint32_t tick)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    fleet->members[i].alive = tick >= 200 && tick < 400 ? 0 : fleet->count - 1;
}

/* Guards against gateways that hear nobody and take the share of those they do not hear. */
static void
test_all_are_deaf (void)
{
  check_sum (deafen, false, false, 0);
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

/* Guards against gateways that have joined taking a share beside those that do not know them. */
static void
test_fleet_doubles_and_nobody_has_heard (void)
{
  check_sum (join_many, false, false, 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_retries_that_are_allowed_are_used),
    SUITE_TEST (test_uneven_connections),
    SUITE_TEST (test_retries_that_wait_for_room),
    SUITE_TEST (test_all_restart_twice_in_a_window),
    SUITE_TEST (test_halves_restart_in_turn),
    SUITE_TEST (test_fleet_split_in_halves),
    SUITE_TEST (test_all_are_deaf),
    SUITE_TEST (test_fleet_doubles_and_nobody_has_heard),
    CU_TEST_INFO_NULL,
  };

  return suite_run ("retry_sum", tests);
}
