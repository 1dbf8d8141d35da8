/* Unit tests of the rate limit of gateways for engines in their cold start, and of engines that
 * return. */
#include "request/policy/engines/cold_start_limit.h"
#include "request/policy/engines/engines.h"
#include "request/policy/placement/engine_choice.h"
#include "suite.h"

#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (engines_t, engines_free)

#define SECOND_US (UINT64_C (1000) * 1000)
#define NOW_US (100 * SECOND_US)
/* Interval at which a gateway checks its waiting requests. */
#define STEP_US (UINT64_C (25) * 1000)
#define COLD_US (3 * SECOND_US)
#define PER_S 16       /* requests per second that a cold engine sustains */
#define BOUND_PER_S 29 /* 1.5 x PER_S + 5: above it engines crash */
#define ENGINES 20
#define GATEWAYS_MOST 880

/* Return: the maximum number of sends within one second */
static uint32_t
max_sends_per_second (const GArray *sent_us)
{
  uint32_t most = 0;
  guint from = 0;

  for (guint to = 0; to < sent_us->len; to++)
    {
      while (g_array_index (sent_us, uint64_t, to) - g_array_index (sent_us, uint64_t, from) >=
             SECOND_US)
        from++;
      most = MAX (most, to - from + 1);
    }
  return most;
}

/* Each gateway sends whenever it may, as in a burst, and notices the cold start @late_us later than
 * the gateway before. Return: the maximum number of sends within one second */
static uint32_t
simulate_burst (uint32_t gateways, uint64_t engine_hash, uint64_t late_us)
{
  g_autofree uint64_t *sent_us = g_new0 (uint64_t, gateways);
  g_autoptr (GArray) all = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (uint64_t at_us = NOW_US; at_us < NOW_US + COLD_US; at_us += STEP_US)
    for (uint32_t i = 0; i < gateways; i++)
      {
        cold_start_limit_t share = { .per_s = PER_S,
                                     .gateways = gateways,
                                     .gateway_hash = i + 1,
                                     .engine_hash = engine_hash,
                                     .since_us = NOW_US + i * late_us,
                                     .sent_us = sent_us[i] };

        if (!cold_start_limit_allows (&share, at_us))
          continue;
        sent_us[i] = at_us;
        g_array_append_val (all, at_us);
      }
  return max_sends_per_second (all);
}

/*
 * Guards against cold engines crashing, and losing their requests, because they get more than their
 * bound in a second: when all engines of a service return together in a burst, with one gateway to
 * hundreds, which notice the cold start together or one after the other.
 */
static void
test_cold_engines_stay_below_their_bound (void)
{
  static const uint32_t fleets[] = { 1, 4, 22, 103, GATEWAYS_MOST };

  for (size_t i = 0; i < G_N_ELEMENTS (fleets); i++)
    for (uint64_t engine = 1; engine <= ENGINES; engine++)
      {
        CU_ASSERT (simulate_burst (fleets[i], engine, 0) <= BOUND_PER_S);
        CU_ASSERT (simulate_burst (fleets[i], engine, 1000) <= BOUND_PER_S);
      }
}

/* Cold engines are not left idle: with few gateways they get a good part of the rate that they
 * sustain, with many at least one request in their first seconds. */
static void
test_cold_engines_are_warmed (void)
{
  for (uint64_t engine = 1; engine <= ENGINES; engine++)
    {
      CU_ASSERT (simulate_burst (4, engine, 0) >= PER_S * COLD_START_LIMIT_PERCENT / 100);
      CU_ASSERT (simulate_burst (22, engine, 0) >= PER_S / 4);
      CU_ASSERT (simulate_burst (103, engine, 0) >= 1);
    }
}

/* A gateway that does not know the number of gateways sends nothing to cold engines; without a
 * known rate there is no limit. */
static void
test_unknown_fleet_and_unknown_rate (void)
{
  cold_start_limit_t share = { .per_s = PER_S };

  CU_ASSERT (!cold_start_limit_allows (&share, NOW_US));
  share.per_s = 0;
  CU_ASSERT (cold_start_limit_allows (&share, NOW_US));
}

static engine_t *
put (engines_t *engines, uint64_t now_us, const char *id, const char *data_center, uint32_t cold_ms)
{
  engine_entry_t entry = { .service = g_intern_static_string ("pool"),
                           .slots = 8,
                           .state = ENGINE_READY,
                           .cold_ms = cold_ms };

  g_strlcpy (entry.id, id, sizeof entry.id);
  g_strlcpy (entry.data_center, data_center, sizeof entry.data_center);
  return engines_put (engines, now_us, &entry);
}

static engine_choice_t
choose (const engines_t *engines, uint64_t now_us, uint32_t known_gateways)
{
  return engine_choice_make (engines_of_service (engines, g_intern_static_string ("pool")), now_us,
                             &(engine_choice_request_t){ .own_data_center = "hall-1",
                                                         .gateways = 2,
                                                         .known_gateways = known_gateways,
                                                         .cold_per_s = PER_S,
                                                         .cold_start_us = COLD_US,
                                                         .drain_us = 5 * SECOND_US });
}

/*
 * While the only engines are cold, a request of a burst that may not be sent yet waits: it is
 * neither refused, as if there were no engines, nor sent.
 */
static void
test_request_waits_for_a_cold_engine (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  uint64_t interval_us = cold_start_limit_interval_us (PER_S, 2);
  uint32_t sent = 0;

  put (engines, NOW_US, "e0", "hall-1", COLD_US / 1000);
  for (uint64_t at_us = NOW_US; at_us < NOW_US + SECOND_US; at_us += STEP_US)
    {
      engine_choice_t choice = choose (engines, at_us, 2);

      CU_ASSERT (choice.action != ENGINE_CHOICE_NONE);
      if (choice.action != ENGINE_CHOICE_SEND)
        continue;
      engine_begin_request (choice.engine, at_us);
      engine_end_request (choice.engine);
      sent++;
    }
  CU_ASSERT (sent >= 1 && sent <= 1 + SECOND_US / interval_us);
  CU_ASSERT_EQUAL (choose (engines, NOW_US + SECOND_US, 0).action, ENGINE_CHOICE_WAIT);
  CU_ASSERT_EQUAL (choose (engines, NOW_US + COLD_US, 0).action, ENGINE_CHOICE_SEND);
}

/*
 * Guards against engines crashing after the drain of their data centre ends. Their entries are from
 * before the drain and state no cold start, so a burst could be sent to them at once.
 */
static void
test_engines_are_cold_after_a_drain (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_t *engine = put (engines, NOW_US, "e0", "hall-1", 0);

  CU_ASSERT (!engine_is_cold (engine, NOW_US, COLD_US));
  engines_set_drained (engines, NOW_US, "hall-1", true);
  engines_set_drained (engines, NOW_US + SECOND_US, "hall-1", false);
  CU_ASSERT (engine_is_cold (engine, NOW_US + SECOND_US, COLD_US));
  put (engines, NOW_US + SECOND_US, "e0", "hall-1", 0);
  CU_ASSERT (engine_is_cold (engine, NOW_US + 2 * SECOND_US, COLD_US));
  CU_ASSERT (!engine_is_cold (engine, NOW_US + SECOND_US + COLD_US, COLD_US));
}

/* Guards against unlimited requests to an engine that has restarted: it refused connections, and
 * answers again before its entry states the new start. */
static void
test_engine_that_was_unreachable_is_cold (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_t *engine = put (engines, NOW_US, "e0", "hall-1", 0);

  engine_note_unreachable (engine, NOW_US);
  engine_note_answer (engine, NOW_US, false);
  CU_ASSERT (!engine_is_cold (engine, NOW_US, COLD_US));
  for (uint32_t i = 0; i < ENGINE_EJECTION_FAILURES; i++)
    engine_note_unreachable (engine, NOW_US);
  engine_note_answer (engine, NOW_US, false);
  CU_ASSERT (engine_is_cold (engine, NOW_US, COLD_US));
}

/*
 * Engines of a drained data centre get no requests, not even those that register later. When no
 * other engine is left, the choice says that this is because of a drain.
 */
static void
test_drained_engines_get_no_requests (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_t *other;

  put (engines, NOW_US, "e0", "hall-1", 0);
  other = put (engines, NOW_US, "e1", "hall-2", 0);
  CU_ASSERT (engines_set_drained (engines, NOW_US, "hall-1", true));
  CU_ASSERT (!engines_set_drained (engines, NOW_US, "hall-1", true));
  put (engines, NOW_US, "e2", "hall-1", 0);
  CU_ASSERT_PTR_EQUAL (choose (engines, NOW_US, 2).engine, other);
  CU_ASSERT_EQUAL (choose (engines, NOW_US, 2).candidates, 1);
  engines_set_drained (engines, NOW_US, "hall-2", true);
  CU_ASSERT_EQUAL (choose (engines, NOW_US, 2).action, ENGINE_CHOICE_NONE);
  CU_ASSERT (choose (engines, NOW_US, 2).drained);
  engines_set_drained (engines, NOW_US, "hall-1", false);
  CU_ASSERT_STRING_EQUAL (choose (engines, NOW_US + COLD_US, 2).engine->entry.data_center,
                          "hall-1");
}

/* Caches of a drained data centre are copied from for half of the time allowed for the drain. */
static void
test_drained_caches_are_copied_for_a_while (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_choice_request_t request = { .own_data_center = "hall-1",
                                      .affinity = 7,
                                      .drain_us = 4 * SECOND_US };
  const GPtrArray *list;

  put (engines, NOW_US, "e0", "hall-1", 0);
  put (engines, NOW_US, "e1", "hall-2", 0);
  list = engines_of_service (engines, g_intern_static_string ("pool"));
  engines_set_drained (engines, NOW_US, "hall-1", true);
  CU_ASSERT_PTR_EQUAL (engine_choice_make (list, NOW_US + SECOND_US, &request).source,
                       engines_find (engines, "e0"));
  CU_ASSERT_PTR_NULL (engine_choice_make (list, NOW_US + 2 * SECOND_US, &request).source);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_cold_engines_stay_below_their_bound),
                                       SUITE_TEST (test_cold_engines_are_warmed),
                                       SUITE_TEST (test_unknown_fleet_and_unknown_rate),
                                       SUITE_TEST (test_request_waits_for_a_cold_engine),
                                       SUITE_TEST (test_engines_are_cold_after_a_drain),
                                       SUITE_TEST (test_engine_that_was_unreachable_is_cold),
                                       SUITE_TEST (test_drained_engines_get_no_requests),
                                       SUITE_TEST (test_drained_caches_are_copied_for_a_while),
                                       CU_TEST_INFO_NULL };

  return suite_run ("cold_start_limit", tests);
}
