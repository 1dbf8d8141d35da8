/*
 * Tests what callers get of plain services with few slots behind 9 to 385 gateways, near full load,
 * in a burst and while one account surges. Runs in virtual time, without a network.
 */
#include "bench/gateway/room_site.h"
#include "suite.h"

#include <glib.h>

#define SEEDS 2
#define LARGE_SEEDS 10 /* the credit differs by 0.01 between seeds */
#define BURST_MILLI 3500
#define BURST_US (UINT64_C (3000) * 1000)
#define SURGE_FACTOR 8
#define TARGET_CREDIT 0.92 /* asked for at 0.9 of the slots */

static const uint32_t sizes[] = { 9, 26, 103, 385 };

static sim_figures_t
simulate (uint32_t gateways, sim_options_t options)
{
  site_t site = room_site_make (gateways, 900);

  options.site = &site;
  return sim_run (&options);
}

static double
worst_account (const sim_figures_t *figures, uint32_t first)
{
  double worst = 1;

  for (uint32_t i = first; i < SIM_ACCOUNTS_MAX; i++)
    if (figures->accounts[i].requests > 0)
      worst = MIN (worst, room_site_credit (&figures->accounts[i]));
  return worst;
}

static void
check_target (uint32_t gateways, uint64_t seeds)
{
  double credit = 0;

  for (uint64_t seed = 1; seed <= seeds; seed++)
    {
      sim_figures_t figures = simulate (gateways, (sim_options_t){ .seed = seed });

      credit += room_site_credit (&figures.during) / (double)seeds;
      CU_ASSERT (figures.retries_over_budget <= 0);
      CU_ASSERT (worst_account (&figures, 0) > TARGET_CREDIT * TARGET_CREDIT);
    }
  CU_ASSERT (credit >= TARGET_CREDIT);
}

/* Guards against refusals and lateness while slots are free: when each gateway kept to its own
 * share of the slots, a fifth of the credit was lost with 385 gateways and 0.08 with 9. */
static void
test_few_slots_are_used_near_full_load (void)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (sizes) - 1; i++)
    check_target (sizes[i], SEEDS);
}

/* Guards against the same where each gateway sees one request in hundreds. */
static void
test_few_slots_are_used_by_hundreds_of_gateways (void)
{
  check_target (sizes[G_N_ELEMENTS (sizes) - 1], LARGE_SEEDS);
}

/* Guards against an account that gets nothing in a burst, and against a burst that is answered
 * late: with the setting off, the worst account got 0.02 of its credit with 9 gateways. */
static void
test_a_burst_starves_no_account (void)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      sim_options_t options = { .seed = 1, .traffic_milli = BURST_MILLI, .fault_us = BURST_US };
      sim_figures_t shared = simulate (sizes[i], options);
      sim_figures_t unshared;

      options.policy = SIM_UNSHARED;
      unshared = simulate (sizes[i], options);
      CU_ASSERT (room_site_credit (&shared.during) > room_site_credit (&unshared.during));
      CU_ASSERT (worst_account (&shared, 0) > room_site_credit (&shared.during) / 2);
      CU_ASSERT (shared.retries_over_budget <= 0);
    }
}

/* Guards against one account that crowds out the others: they get more than the mean of all, and it
 * gets no less than it gets without the surge. */
static void
test_a_surging_account_bears_the_cost (void)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      sim_options_t options = { .seed = 1, .surge_factor = SURGE_FACTOR };
      sim_figures_t figures = simulate (sizes[i], options);
      double all = room_site_credit (&figures.during);

      CU_ASSERT (worst_account (&figures, 1) > all);
      CU_ASSERT (room_site_credit (&figures.accounts[0]) * SURGE_FACTOR > 1);
      CU_ASSERT (figures.retries_over_budget <= 0);
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_few_slots_are_used_near_full_load),
                                       SUITE_TEST (test_few_slots_are_used_by_hundreds_of_gateways),
                                       SUITE_TEST (test_a_burst_starves_no_account),
                                       SUITE_TEST (test_a_surging_account_bears_the_cost),
                                       CU_TEST_INFO_NULL };

  return suite_run ("room_load", tests);
}
