/*
 * Tests all decisions of the gateway together, under the load and the faults of a site, by the
 * results that clients see, partly in comparison with simple baseline policies. The simulation in
 * bench/gateway has no network and no threads, and its random numbers are seeded, so each run is
 * the same.
 */
#include "bench/gateway/sim.h"
#include "suite.h"

#include <glib.h>

#define SEEDS 3 /* runs of a test whose results differ by a few thousandths between seeds */

static sim_figures_t
simulate_seed (const char *site, sim_fault_t fault, sim_policy_t policy, uint32_t seed)
{
  return sim_run (
      &(sim_options_t){ .site = site_find (site), .fault = fault, .policy = policy, .seed = seed });
}

static sim_figures_t
simulate (const char *site, sim_fault_t fault, sim_policy_t policy)
{
  return simulate_seed (site, fault, policy, 1);
}

static double
on_time (const sim_count_t *count)
{
  return (double)count->on_time / MAX (count->requests, 1U);
}

static double
unanswered (const sim_count_t *count)
{
  return (double)(count->refused + count->failed) / MAX (count->requests, 1U);
}

static double
processed_share (const sim_figures_t *figures)
{
  return (double)figures->read_tokens / (double)MAX (figures->prompt_tokens, 1U);
}

/* Without a fault all requests are answered in time, and engines process less than a third of the
 * prompt tokens that they process when the least loaded engine is chosen. */
static void
test_steady_load_finds_its_caches (void)
{
  sim_figures_t full = simulate ("tuul", SIM_STEADY, SIM_FULL);
  sim_figures_t least = simulate ("tuul", SIM_STEADY, SIM_LEAST);

  CU_ASSERT (on_time (&full.all) > 0.999);
  CU_ASSERT (processed_share (&full) < processed_share (&least) / 3);
  CU_ASSERT (full.overloaded_accepts * 100 < full.sends);
}

/*
 * 40% of the requests of one kind share one prompt prefix, and 28 gateways learn late what the
 * others send. If each sent all these requests to the first engine in the order of rendezvous
 * hashing, that engine would have several times the mean load.
 */
static void
test_hot_part_does_not_overload_its_home (void)
{
  sim_figures_t full = simulate ("jogak", SIM_HOT_PART, SIM_FULL);
  sim_figures_t hash = simulate ("jogak", SIM_HOT_PART, SIM_HASH);

  CU_ASSERT (full.overloaded_accepts * 50 < full.sends);
  CU_ASSERT (hash.overloaded_accepts > 8 * full.overloaded_accepts);
  CU_ASSERT (processed_share (&full) < 0.15);
}

/* Half of the model engines and two of three plain engines leave while traffic doubles. The
 * remaining plain engine needs 93% of its slots, which 22 gateways share, so no slot may be left
 * idle. */
static void
test_few_engines_are_used_to_the_full (void)
{
  sim_figures_t full = simulate ("tuul", SIM_FEW, SIM_FULL);
  sim_figures_t hash = simulate ("tuul", SIM_FEW, SIM_HASH);
  double on_time_sum = on_time (&full.during);

  for (uint32_t seed = 2; seed <= SEEDS; seed++)
    {
      sim_figures_t other = simulate_seed ("tuul", SIM_FEW, SIM_FULL, seed);

      on_time_sum += on_time (&other.during);
    }
  CU_ASSERT (on_time_sum / SEEDS > 0.97);
  CU_ASSERT (unanswered (&full.during) < 0.01);
  CU_ASSERT (unanswered (&full.during) < unanswered (&hash.during));
}

/*
 * As in the test before, and one account sends 60% of all requests, so plain engines get more than
 * they can run. Nearly all requests of the other accounts must be answered; when started requests
 * were not charged to their account, one in twenty of them was rejected with 503.
 */
static void
test_quiet_accounts_are_answered (void)
{
  sim_figures_t full = simulate ("jogak", SIM_HOT_ACCOUNT, SIM_FULL);
  sim_figures_t uncharged = simulate ("jogak", SIM_HOT_ACCOUNT, SIM_UNCHARGED);

  CU_ASSERT (unanswered (&full.quiet) < 0.01);
  CU_ASSERT (unanswered (&uncharged.quiet) > 0.02);
  CU_ASSERT (on_time (&full.quiet) > 0.5);
}

static sim_figures_t
simulate_long (sim_policy_t policy)
{
  return sim_run (&(sim_options_t){ .site = site_find ("tuul"),
                                    .fault = SIM_STEADY,
                                    .policy = policy,
                                    .seconds = 300,
                                    .seed = 1 });
}

/* Guards against long parts being copied to further engines although some have them, and against
 * requests to other data centres for parts that could be kept in each; without more prompts read or
 * more engines overloaded than by rank alone. */
static void
test_known_holders_save_copies_and_distance (void)
{
  sim_figures_t by_rank = simulate_long (SIM_COPIES);
  sim_figures_t known = simulate_long (SIM_DIRECTORY);

  CU_ASSERT (known.copied_tokens * 2 < by_rank.copied_tokens);
  CU_ASSERT (known.remote_sends * 3 < by_rank.remote_sends);
  CU_ASSERT (known.remote_tokens * 3 < by_rank.remote_tokens);
  CU_ASSERT (known.overloaded_accepts < by_rank.overloaded_accepts);
  CU_ASSERT (known.read_tokens * 50 < by_rank.read_tokens * 51);
  CU_ASSERT (known.all.on_time * 1000 >= known.all.requests * 999);
}

/* A quarter of the engines accepts requests and never answers them. */
static void
test_unresponsive_engines_cost_little (void)
{
  sim_figures_t full = simulate ("tuul", SIM_MUTE, SIM_FULL);
  sim_figures_t random = simulate ("tuul", SIM_MUTE, SIM_RANDOM);

  CU_ASSERT (unanswered (&full.during) < 0.05);
  CU_ASSERT (unanswered (&random.during) > 3 * unanswered (&full.during));
}

static void
test_slow_engines_cost_little (void)
{
  sim_figures_t full = simulate ("jogak", SIM_SLOW, SIM_FULL);
  sim_figures_t hash = simulate ("jogak", SIM_SLOW, SIM_HASH);

  CU_ASSERT (on_time (&full.during) > 0.955);
  CU_ASSERT (1 - on_time (&full.during) < 0.7 * (1 - on_time (&hash.during)));
}

/* Under every fault all gateways together stay within the operator's retry budget, although each
 * gateway knows only its own retries. Without the budget, retries overload the remaining engines.
 */
static void
test_retries_stay_within_the_allowance (void)
{
  for (int fault = 0; fault < SIM_FAULTS; fault++)
    {
      sim_figures_t full = simulate ("jogak", (sim_fault_t)fault, SIM_FULL);

      CU_ASSERT (full.retries_over_budget <= 0);
    }
  CU_ASSERT (simulate ("jogak", SIM_FEW, SIM_LEAST).retries_over_budget > 0);
}

/* Requests that can't be served are rejected early: hardly any rejection comes when more than half
 * of the deadline has passed. */
static void
test_refusals_come_early (void)
{
  sim_figures_t full = simulate ("jogak", SIM_HOT_ACCOUNT, SIM_FULL);

  CU_ASSERT (full.during.refused > 0);
  CU_ASSERT (full.during.late_refusals * 100 < full.during.requests);
}

/*
 * Seven times the traffic for ten seconds, of which one account sends 60%. If all requests wait in
 * one queue until their deadline, most are answered late or not at all. Immediate rejections leave
 * the slots to requests that can be answered in time.
 */
static void
test_an_overload_is_answered_in_time (void)
{
  sim_figures_t full = simulate ("jogak", SIM_OVERLOAD, SIM_FULL);
  sim_figures_t patient = simulate ("jogak", SIM_OVERLOAD, SIM_PATIENT);

  CU_ASSERT (on_time (&full.during) > 1.1 * on_time (&patient.during));
  CU_ASSERT (full.during.failed * 3 < patient.during.failed);
  CU_ASSERT (full.during.late_refusals * 30 < full.during.requests);
  CU_ASSERT (patient.during.late_refusals * 10 > patient.during.requests);
  CU_ASSERT (unanswered (&full.quiet) < 0.03);
}

/* Two seconds after the end of an overload, requests are served as before it. */
static void
test_an_overload_leaves_nothing_behind (void)
{
  sim_figures_t full = simulate ("tuul", SIM_OVERLOAD, SIM_FULL);

  CU_ASSERT (full.after.requests > 1000);
  CU_ASSERT (on_time (&full.after) > 0.97);
}

/* No kind of request has a much smaller share of unanswered requests than a more urgent kind. The
 * kinds of site tuul in order of priority: the second, the first, the third. */
static void
test_the_urgent_come_first_in_an_overload (void)
{
  sim_figures_t full = simulate ("tuul", SIM_OVERLOAD, SIM_FULL);
  const sim_count_t *kinds = full.kinds;

  CU_ASSERT (unanswered (&kinds[1]) < unanswered (&kinds[0]) + 0.05);
  CU_ASSERT (unanswered (&kinds[1]) < unanswered (&kinds[2]) + 0.05);
  CU_ASSERT (unanswered (&kinds[0]) < unanswered (&kinds[2]) + 0.05);
}

/** struct one_engine - a service of one engine, and its requests that take @work_us each */
typedef struct
{
  uint32_t gateways;
  site_service_t service;
  double rate_s;
  uint64_t work_us;
} one_engine_t;

static sim_figures_t
simulate_one_engine (const one_engine_t *setup, uint64_t seed)
{
  site_t site = { .gateways = setup->gateways,
                  .data_centers = 3,
                  .accounts = 10,
                  .services = { { "models", 1, 1, 0, false }, setup->service },
                  .kinds = { { .name = "look-up",
                               .service = 1,
                               .kind = ROUTING_IDEMPOTENT,
                               .attempts = 2,
                               .rate_s = setup->rate_s,
                               .work_us = setup->work_us,
                               .aim_us = 300 * 1000,
                               .deadline_us = 4000 * 1000 } },
                  .retries = { .ratio_milli = 200, .slack = 1000, .window_us = 10 * 1000 * 1000 } };

  return sim_run (
      &(sim_options_t){ .site = &site, .fault = SIM_CROWDS, .policy = SIM_FULL, .seed = seed });
}

/* Guards against rejections of requests that have time and retries left: gateways asked the only
 * engine, which was full, three times within some milliseconds and then gave up. */
static void
test_a_full_engine_is_waited_for (void)
{
  static const one_engine_t sizes[] = { { 2, { "ledger", 1, 16, 0, true }, 200, 3000 },
                                        { 22, { "portal", 1, 6, 6, true }, 50, 60 * 1000 },
                                        { 103, { "portal", 1, 30, 15, true }, 250, 60 * 1000 } };

  for (uint32_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
      {
        sim_figures_t figures = simulate_one_engine (&sizes[i], seed);

        CU_ASSERT (figures.all.requests > 1000);
        CU_ASSERT (figures.sends > figures.all.requests);
        CU_ASSERT_EQUAL (figures.early_refusals, 0);
      }
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_steady_load_finds_its_caches),
                                       SUITE_TEST (test_hot_part_does_not_overload_its_home),
                                       SUITE_TEST (test_few_engines_are_used_to_the_full),
                                       SUITE_TEST (test_quiet_accounts_are_answered),
                                       SUITE_TEST (test_known_holders_save_copies_and_distance),
                                       SUITE_TEST (test_unresponsive_engines_cost_little),
                                       SUITE_TEST (test_slow_engines_cost_little),
                                       SUITE_TEST (test_retries_stay_within_the_allowance),
                                       SUITE_TEST (test_refusals_come_early),
                                       SUITE_TEST (test_an_overload_is_answered_in_time),
                                       SUITE_TEST (test_an_overload_leaves_nothing_behind),
                                       SUITE_TEST (test_the_urgent_come_first_in_an_overload),
                                       SUITE_TEST (test_a_full_engine_is_waited_for),
                                       CU_TEST_INFO_NULL };

  return suite_run ("gateway_load", tests);
}
