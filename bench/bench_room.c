/**
 * DOC: bench_room
 *
 * Simulates a plain service with few slots behind 9 to 385 gateways, at a steady load, in a burst
 * and while one account surges, with and without the shared estimate of the room at its engines and
 * with an ideal queue. Prints a line for each. See docs/design/shared-room.md.
 */
#include "gateway/room_site.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 2
#define SEC_US (UINT64_C (1000) * 1000)

typedef struct
{
  const char *name;
  uint32_t load_milli;
  uint32_t traffic_milli;
  uint32_t surge_factor;
  uint64_t fault_us;
} load_t;

static double
worst_account (const sim_figures_t *figures, uint32_t from)
{
  double worst = 1;

  for (uint32_t i = from; i < SIM_ACCOUNTS_MAX; i++)
    if (figures->accounts[i].requests > 0)
      worst = MIN (worst, room_site_credit (&figures->accounts[i]));
  return worst;
}

static void
run (uint32_t gateways, const load_t *load, sim_policy_t policy, uint64_t seed)
{
  site_t site = room_site_make (gateways, load->load_milli);
  sim_figures_t figures = sim_run (&(sim_options_t){ .site = &site,
                                                     .policy = policy,
                                                     .seed = seed,
                                                     .traffic_milli = load->traffic_milli,
                                                     .surge_factor = load->surge_factor,
                                                     .fault_us = load->fault_us });
  const sim_count_t *during = &figures.during;
  double all = MAX (during->requests, 1U);

  printf ("%u\t%s\t%s\t%llu\t%u\t%.4f\t%.4f\t%.4f\t%.4f\t%u\t%.3f\t%.3f\t%llu\t%lld\t%.4f\n",
          gateways, load->name, sim_policy_name (policy), (unsigned long long)seed,
          during->requests, room_site_credit (during), during->late / all, during->refused / all,
          during->failed / all, during->waited_late, worst_account (&figures, 0),
          worst_account (&figures, 1), (unsigned long long)figures.plain_overloaded,
          (long long)figures.retries_over_budget, room_site_credit (&figures.after));
  fflush (stdout);
}

static bool
is_selected (const char *name, int argc, char **argv, int argument)
{
  return argc <= argument || strcmp (name, argv[argument]) == 0;
}

int
main (int argc, char **argv)
{
  static const uint32_t sizes[] = { 9, 26, 103, 385 };
  static const load_t loads[] = { { "0.75", 750, 0, 0, 0 },
                                  { "0.8", 800, 0, 0, 0 },
                                  { "0.9", 900, 0, 0, 0 },
                                  { "0.9_of_24", 1041, 0, 0, 0 }, /* with the slow ones full */
                                  { "0.9+burst", 900, 3500, 0, 3 * SEC_US },
                                  { "0.9+account", 900, 0, 8, 0 } };
  static const sim_policy_t policies[] = { SIM_UNSHARED, SIM_FULL, SIM_IDEAL };
  uint32_t seeds = argc > 1 ? (uint32_t)strtoul (argv[1], NULL, 10) : SEEDS;

  printf ("gateways\tload\tpolicy\tseed\trequests\tcredit\tlate\trefused\tfailed\twaited_late\t"
          "worst_account\tworst_other\tover_bound\tretries_beyond\tcredit_after\n");
  /* Options: the number of seeds, and the one load and policy to run. */
  for (uint32_t size = 0; size < G_N_ELEMENTS (sizes); size++)
    for (uint32_t load = 0; load < G_N_ELEMENTS (loads); load++)
      for (uint32_t policy = 0; policy < G_N_ELEMENTS (policies); policy++)
        for (uint32_t seed = 1; seed <= seeds && is_selected (loads[load].name, argc, argv, 2) &&
                                is_selected (sim_policy_name (policies[policy]), argc, argv, 3);
             seed++)
          run (sizes[size], &loads[load], policies[policy], seed);
  return 0;
}
