/* Unit tests of the choice of the engine to which a gateway sends a request. */
#include "base/clock.h"
#include "request/policy/placement/engine_choice.h"
#include "request/policy/retries/retry_budget.h"
#include "suite.h"

#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (engines_t, engines_free)

#define NOW_US (UINT64_C (100) * 1000 * 1000)
#define HERE "hall-1"

static engine_t *
put (engines_t *engines, const char *id, engine_state_t state)
{
  engine_entry_t entry = { .service = g_intern_static_string ("pool"), .slots = 8, .state = state };

  g_strlcpy (entry.id, id, sizeof entry.id);
  g_strlcpy (entry.data_center, HERE, sizeof entry.data_center);
  return engines_put (engines, NOW_US, &entry);
}

static engines_t *
make_engines (uint32_t count)
{
  engines_t *engines = engines_new ();

  for (uint32_t i = 0; i < count; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "e%u", i);
      put (engines, id, ENGINE_READY);
    }
  engines_set_complete (engines);
  return engines;
}

static engine_choice_t
choose_at (const engines_t *engines, uint64_t now_us, uint64_t affinity)
{
  return engine_choice_make (
      engines_of_service (engines, g_intern_static_string ("pool")), now_us,
      &(engine_choice_request_t){ .affinity = affinity, .own_data_center = HERE });
}

static engine_choice_t
choose (const engines_t *engines, uint64_t affinity)
{
  return choose_at (engines, NOW_US, affinity);
}

static void
load (engine_t *engine, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    engine_begin_request (engine, NOW_US);
}

static void
unload (engines_t *engines, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char id[16];
      engine_t *engine;

      g_snprintf (id, sizeof id, "e%u", i);
      engine = engines_find (engines, id);
      while (engine && engine->own_requests > 0)
        engine_end_request (engine);
    }
}

static engine_t *
put_start (engines_t *engines, const char *id, uint64_t born_ms, engine_state_t state)
{
  engine_entry_t entry = {
    .service = g_intern_static_string ("pool"), .born_ms = born_ms, .slots = 8, .state = state
  };

  g_strlcpy (entry.id, id, sizeof entry.id);
  g_strlcpy (entry.data_center, HERE, sizeof entry.data_center);
  return engines_put (engines, NOW_US, &entry);
}

/* Guards against an engine that restarted under its id being treated as the process before it,
 * whose load and failures don't apply and whose last request still has a reference. */
static void
test_restarted_engine_is_a_new_one (void)
{
  g_autoptr (engines_t) engines = make_engines (3);
  engine_t *before = put_start (engines, "e0", 7, ENGINE_READY);
  uint64_t hash = before->hash;
  engine_t *after;

  load (before, 1);
  engine_note_load (before, NOW_US, &(engine_load_t){ .running = 8, .slots = 8 });
  for (uint32_t i = 0; i < ENGINE_EJECTION_FAILURES; i++)
    engine_note_failure (before, NOW_US);
  engine_note_latency (before, NOW_US, 9000);
  after = put_start (engines, "e0", 8, ENGINE_READY);
  CU_ASSERT (after != before && after->hash != hash);
  CU_ASSERT_EQUAL (after->rank_hash, before->rank_hash);
  CU_ASSERT_EQUAL (engine_estimate_load (after, NOW_US, 0), 0);
  CU_ASSERT (!engine_is_ejected (after, NOW_US, false));
  CU_ASSERT_EQUAL (engine_latency_ratio_milli (after, NOW_US), 1000);
  CU_ASSERT_EQUAL (engine_error_rate_milli (after, NOW_US), 0);
  CU_ASSERT_EQUAL (after->joined_us, NOW_US);
  CU_ASSERT_EQUAL (engines_count (engines), 3);
  engine_end_request (before);
}

/* Guards against a delayed entry of an engine's earlier process, which was leaving, stopping the
 * requests to the new one. */
static void
test_late_entry_of_an_older_start_changes_nothing (void)
{
  g_autoptr (engines_t) engines = make_engines (1);
  engine_t *engine = put_start (engines, "e0", 8, ENGINE_READY);

  CU_ASSERT_PTR_EQUAL (put_start (engines, "e0", 7, ENGINE_LEAVING), engine);
  CU_ASSERT (engine_is_open (engine));
  CU_ASSERT_PTR_EQUAL (put_start (engines, "e0", 8, ENGINE_LEAVING), engine);
  CU_ASSERT (!engine_is_open (engine));
}

/* Guards against one entry with a later start, left by another writer, that keeps an engine out. */
static void
test_engine_takes_its_entry_back_from_another_writer (void)
{
  static const uint64_t starts[] = { 8, 9000000000000000, INT64_MAX };
  static const engine_state_t states[] = { ENGINE_READY, ENGINE_LEAVING };

  for (uint32_t i = 0; i < G_N_ELEMENTS (starts) * G_N_ELEMENTS (states); i++)
    {
      g_autoptr (engines_t) engines = make_engines (1);
      uint64_t hash = put_start (engines, "e0", 7, ENGINE_READY)->hash;
      engine_t *engine;

      put_start (engines, "e0", 7, ENGINE_READY);
      put_start (engines, "e0", starts[i / 2], states[i % 2]);
      engine = put_start (engines, "e0", 7, ENGINE_READY);
      CU_ASSERT (engine->hash == hash && engine_is_open (engine));
      put_start (engines, "e0", starts[i / 2], ENGINE_READY);
      put_start (engines, "e0", 7, ENGINE_LEAVING);
      engine = put_start (engines, "e0", 7, ENGINE_LEAVING);
      CU_ASSERT (engine->hash == hash && !engine_is_open (engine));
    }
}

/* Guards against a leaving engine that gets requests again by a delayed entry of an earlier start.
 */
static void
test_renewed_start_outlasts_a_delayed_entry (void)
{
  g_autoptr (engines_t) engines = make_engines (1);
  engine_t *engine;

  put_start (engines, "e0", 8, ENGINE_READY);
  engine = put_start (engines, "e0", 8, ENGINE_LEAVING);
  CU_ASSERT_PTR_EQUAL (put_start (engines, "e0", 7, ENGINE_READY), engine);
  CU_ASSERT (!engine_is_open (engine));
  CU_ASSERT_PTR_EQUAL (put_start (engines, "e0", 8, ENGINE_LEAVING), engine);
  CU_ASSERT_PTR_EQUAL (put_start (engines, "e0", 7, ENGINE_READY), engine);
  CU_ASSERT (!engine_is_open (engine));
}

static void
test_shared_part_has_one_home (void)
{
  g_autoptr (engines_t) engines = make_engines (6);
  uint32_t homes[6] = { 0 };

  for (uint64_t affinity = 1; affinity <= 600; affinity++)
    {
      engine_choice_t first = choose (engines, affinity);

      CU_ASSERT_EQUAL (first.action, ENGINE_CHOICE_SEND);
      CU_ASSERT_EQUAL (first.rank, 0);
      CU_ASSERT (first.source && first.source != first.engine);
      CU_ASSERT_PTR_EQUAL (choose (engines, affinity).engine, first.engine);
      homes[atoi (first.engine->entry.id + 1)]++;
    }
  for (uint32_t i = 0; i < 6; i++)
    CU_ASSERT (homes[i] > 60 && homes[i] < 140);
}

/*
 * Guards against a popular prompt part overloading its home. The home gets requests up to the
 * bound; the next in rank gets the rest, and copies the part from the home instead of reading it
 * again.
 */
static void
test_hot_part_spills_at_the_bound (void)
{
  g_autoptr (engines_t) engines = make_engines (6);
  engine_t *home = choose (engines, 42).engine;
  engine_t *home_source = choose (engines, 42).source;
  engine_choice_t spill;

  while (choose (engines, 42).engine == home)
    engine_begin_request (home, NOW_US);
  spill = choose (engines, 42);
  CU_ASSERT (home->own_requests <= 2 * ENGINE_CHOICE_MARGIN_EXTRA_MILLI / 1000 + 1);
  CU_ASSERT_EQUAL (spill.rank, 1);
  CU_ASSERT_PTR_EQUAL (spill.source, home);
  CU_ASSERT_PTR_EQUAL (spill.engine, home_source);
  unload (engines, 6);
}

/*
 * Guards against an engine that joins reading the parts it ranks first for anew, although their
 * former home has them. The former home is the copy source for a while, also when it takes no new
 * requests; later the next in rank is.
 */
static void
test_new_home_copies_from_the_former (void)
{
  g_autoptr (engines_t) engines = make_engines (3);
  engine_t *former = choose (engines, 7).engine;
  engine_t *joined = NULL;
  engine_choice_t later;
  char id[16];

  for (uint32_t i = 0; choose (engines, 7).engine == former; i++)
    {
      g_snprintf (id, sizeof id, "n%u", i);
      joined = put (engines, id, ENGINE_READY);
    }
  CU_ASSERT_PTR_EQUAL (choose (engines, 7).engine, joined);
  CU_ASSERT_PTR_EQUAL (choose (engines, 7).source, former);
  put (engines, former->entry.id, ENGINE_LEAVING);
  CU_ASSERT_PTR_EQUAL (choose (engines, 7).source, former);
  engines_remove (engines, NOW_US, former->entry.id);
  CU_ASSERT_PTR_NOT_EQUAL (choose (engines, 7).source, former);
  later = choose_at (engines, NOW_US + ENGINE_CHOICE_NEW_US, 7);
  CU_ASSERT (later.engine == joined && later.source && later.source != former);
  CU_ASSERT_PTR_NOT_EQUAL (later.source, joined);
}

static void
test_leaving_engine_gets_no_requests (void)
{
  g_autoptr (engines_t) engines = make_engines (2);

  put (engines, "e0", ENGINE_LEAVING);
  for (uint64_t affinity = 0; affinity < 50; affinity++)
    CU_ASSERT_STRING_EQUAL (choose (engines, affinity).engine->entry.id, "e1");
  put (engines, "e1", ENGINE_LEAVING);
  CU_ASSERT_EQUAL (choose (engines, 1).action, ENGINE_CHOICE_NONE);
}

static void
test_request_waits_while_engines_are_full (void)
{
  g_autoptr (engines_t) engines = make_engines (2);

  load (engines_find (engines, "e0"), 8);
  load (engines_find (engines, "e1"), 8);
  CU_ASSERT_EQUAL (choose (engines, 1).action, ENGINE_CHOICE_WAIT);
  engine_end_request (engines_find (engines, "e0"));
  CU_ASSERT_STRING_EQUAL (choose (engines, 1).engine->entry.id, "e0");
  unload (engines, 2);
}

/* Requests of other gateways count as the engine reported them, with a weight that falls with age.
 */
static void
test_reported_load_counts_and_ages (void)
{
  g_autoptr (engines_t) engines = make_engines (2);
  engine_t *busy = engines_find (engines, "e0");

  engine_note_load (busy, NOW_US, &(engine_load_t){ .running = 6, .waiting = 2, .slots = 8 });
  CU_ASSERT_EQUAL (engine_estimate_load (busy, NOW_US, 0), 8);
  CU_ASSERT_STRING_EQUAL (choose (engines, 0).engine->entry.id, "e1");
  CU_ASSERT_EQUAL (engine_estimate_load (busy, NOW_US + ENGINE_REPORT_HALF_LIFE_US, 0), 4);
  CU_ASSERT_EQUAL (engine_estimate_load (busy, NOW_US + 100 * ENGINE_REPORT_HALF_LIFE_US, 0), 0);
}

/* Guards against late requests because they are sent to a host on which work currently takes three
 * times as long, and against an old report of a slowdown keeping requests away. */
static void
test_reported_slowdown_counts_and_decays (void)
{
  g_autoptr (engines_t) engines = make_engines (2);
  engine_t *slow = engines_find (engines, "e0");
  engine_load_t told = { .running = 1, .slots = 8, .slowdown_percent = 300 };

  engine_note_load (slow, NOW_US, &told);
  told.running = 2;
  told.slowdown_percent = 100;
  engine_note_load (engines_find (engines, "e1"), NOW_US, &told);
  CU_ASSERT_STRING_EQUAL (choose (engines, 0).engine->entry.id, "e1");
  CU_ASSERT_EQUAL (engine_slowdown_percent (slow, NOW_US), 300);
  CU_ASSERT_EQUAL (engine_slowdown_percent (slow, NOW_US + ENGINE_SLOWDOWN_HALF_LIFE_US), 200);
  CU_ASSERT_EQUAL (engine_slowdown_percent (slow, NOW_US + 40 * ENGINE_SLOWDOWN_HALF_LIFE_US),
                   ENGINE_SLOWDOWN_NONE_PERCENT);
  CU_ASSERT_STRING_EQUAL (
      choose_at (engines, NOW_US + 4 * ENGINE_SLOWDOWN_HALF_LIFE_US, 0).engine->entry.id, "e0");
  told.slowdown_percent = 0;
  engine_note_load (slow, NOW_US, &told);
  CU_ASSERT_EQUAL (engine_slowdown_percent (slow, NOW_US), 300);
}

/*
 * An engine refuses connections. After two consecutive failures it is ejected and gets a single
 * probe when the ejection ends; once it answers it gets requests as before.
 */
static void
test_failing_engine_is_ejected (void)
{
  g_autoptr (engines_t) engines = make_engines (3);
  engine_t *ejected = choose (engines, 9).engine;

  engine_note_failure (ejected, NOW_US);
  engine_note_failure (ejected, NOW_US);
  CU_ASSERT_PTR_NOT_EQUAL (choose (engines, 9).engine, ejected);
  CU_ASSERT (!engine_is_ejected (ejected, NOW_US + ENGINE_EJECTION_MIN_US, true));
  engine_note_probe (ejected, NOW_US + ENGINE_EJECTION_MIN_US);
  CU_ASSERT (engine_is_ejected (ejected, NOW_US + ENGINE_EJECTION_MIN_US + 1, true));
  for (uint32_t i = 0; i < 20; i++)
    engine_note_answer (ejected, NOW_US, false);
  CU_ASSERT_PTR_EQUAL (choose (engines, 9).engine, ejected);
}

/* When all engines of a service fail, it is more likely that this gateway has lost its network, so
 * it keeps sending. */
static void
test_ejections_of_all_engines_are_ignored (void)
{
  g_autoptr (engines_t) engines = make_engines (3);

  for (uint32_t i = 0; i < 3; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "e%u", i);
      engine_note_failure (engines_find (engines, id), NOW_US);
      engine_note_failure (engines_find (engines, id), NOW_US);
    }
  CU_ASSERT_EQUAL (choose (engines, 1).action, ENGINE_CHOICE_SEND);
}

static void
test_failing_answers_put_an_engine_last (void)
{
  g_autoptr (engines_t) engines = make_engines (3);
  engine_t *failing = choose (engines, 9).engine;

  for (uint32_t i = 0; i < 8; i++)
    engine_note_answer (failing, NOW_US, true);
  CU_ASSERT_PTR_NOT_EQUAL (choose (engines, 9).engine, failing);
  CU_ASSERT_EQUAL (choose (engines, 9).action, ENGINE_CHOICE_SEND);
}

/*
 * Guards against a few engines getting all requests after all engines failed half of theirs for
 * some seconds, as engines that are not called can't show that they work again. An error rate must
 * decay, and count only in comparison with the other engines'.
 */
static void
test_errors_of_all_engines_put_none_last (void)
{
  g_autoptr (engines_t) engines = make_engines (12);
  uint32_t got[12] = { 0 };

  for (uint32_t i = 0; i < 12; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "e%u", i);
      for (uint32_t k = 0; k < 8; k++)
        engine_note_answer (engines_find (engines, id), NOW_US, i > 3 || k % 2 == 0);
    }
  for (uint64_t affinity = 1; affinity <= 1200; affinity++)
    got[atoi (choose (engines, affinity).engine->entry.id + 1)]++;
  for (uint32_t i = 0; i < 12; i++)
    CU_ASSERT (got[i] > 40);
}

static void
test_error_rate_decays (void)
{
  g_autoptr (engines_t) engines = make_engines (3);
  engine_t *failing = choose (engines, 9).engine;

  for (uint32_t i = 0; i < 30; i++)
    engine_note_answer (failing, NOW_US, true);
  CU_ASSERT_PTR_NOT_EQUAL (choose (engines, 9).engine, failing);
  CU_ASSERT_PTR_EQUAL (choose_at (engines, NOW_US + 2 * ENGINE_ERROR_HALF_LIFE_US, 9).engine,
                       failing);
}

/* When all engines without errors are over the bound, one with errors is chosen rather than an
 * overloaded one, whose other requests would be delayed too. */
static void
test_degraded_engine_is_preferred_to_overloaded (void)
{
  g_autoptr (engines_t) engines = make_engines (4);

  for (uint32_t i = 0; i < 30; i++)
    engine_note_answer (engines_find (engines, "e0"), NOW_US, true);
  load (engines_find (engines, "e1"), 7);
  load (engines_find (engines, "e2"), 7);
  load (engines_find (engines, "e3"), 7);
  engine_entry_t idle = engines_find (engines, "e0")->entry;
  for (uint32_t i = 0; i < 8; i++)
    {
      g_snprintf (idle.id, sizeof idle.id, "x%u", i);
      idle.state = ENGINE_READY;
      engines_put (engines, NOW_US, &idle);
      for (uint32_t k = 0; k < 30; k++)
        engine_note_answer (engines_find (engines, idle.id), NOW_US, true);
    }
  CU_ASSERT_EQUAL (choose (engines, 0).load, 0);
  unload (engines, 4);
}

static void
test_tried_engines_are_left_out (void)
{
  g_autoptr (engines_t) engines = make_engines (2);
  uint64_t tried[2] = { engines_find (engines, "e0")->hash, engines_find (engines, "e1")->hash };
  engine_choice_request_t request = { .own_data_center = HERE, .tried = tried, .tried_count = 1 };
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));

  CU_ASSERT_STRING_EQUAL (engine_choice_make (list, NOW_US, &request).engine->entry.id, "e1");
  request.tried_count = 2;
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).action, ENGINE_CHOICE_NONE);
}

/* An engine that the registry removes is kept until its last request ends. */
static void
test_engine_outlives_its_entry (void)
{
  g_autoptr (engines_t) engines = make_engines (1);
  engine_t *engine = engines_find (engines, "e0");

  engine_begin_request (engine, NOW_US);
  engines_remove (engines, NOW_US, "e0");
  CU_ASSERT_EQUAL (engine->entry.state, ENGINE_GONE);
  CU_ASSERT_EQUAL (engines_count (engines), 0);
  engine_end_request (engine);
}

/*
 * Load test with 12 engines, 85 prompt parts of uneven popularity and 40 concurrent requests, far
 * from full, compared with hashing without a bound. The bound keeps each engine below the overload
 * limit of twice the mean plus three, and most requests still go to their part's home.
 */
static void
test_skewed_parts_stay_below_the_limit (void)
{
  g_autoptr (engines_t) engines = make_engines (12);
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);
  engine_t *under_way[40] = { NULL };
  uint32_t at_home = 0;
  uint32_t over = 0;
  uint32_t over_plain = 0;
  engine_t *plain[40] = { NULL };

  for (uint32_t i = 0; i < 4000; i++)
    {
      uint64_t affinity = 1 + (uint64_t)(85 * g_rand_double (rand) * g_rand_double (rand));
      engine_choice_t choice = choose (engines, affinity);
      uint32_t slot = i % 40;
      uint32_t same = 0;

      at_home += choice.rank == 0 ? 1 : 0;
      over += i >= 40 && choice.load > 2 * 40 / 12 + 3 ? 1 : 0;
      if (under_way[slot])
        engine_end_request (under_way[slot]);
      under_way[slot] = choice.engine;
      engine_begin_request (choice.engine, NOW_US);
      plain[slot] = NULL;
      for (uint32_t k = 0; k < 40; k++)
        same += plain[k] == choice.engine ? 1 : 0;
      plain[slot] = choice.rank == 0 ? choice.engine : choice.source;
      for (uint32_t k = 0; k < 40; k++)
        same += k != slot && plain[k] == plain[slot] ? 1 : 0;
      over_plain += i >= 40 && same > 2 * 40 / 12 + 3 ? 1 : 0;
    }
  CU_ASSERT_EQUAL (over, 0);
  CU_ASSERT (over_plain > 40);
  CU_ASSERT (at_home > 2800);
  for (uint32_t i = 0; i < 40; i++)
    engine_end_request (under_way[i]);
}

/*
 * Guards against an engine that accepts requests and answers none. Nothing fails before the
 * deadlines and no load is reported, so more and more requests would go there. It is used last once
 * it has sent nothing for a while, gets a single request later, and is used again when it answers.
 */
static void
test_silent_engine_goes_last (void)
{
  g_autoptr (engines_t) engines = make_engines (3);
  engine_t *silent = choose (engines, 9).engine;
  uint64_t silent_us = NOW_US + ENGINE_SILENT_US;
  uint64_t probe_us = silent_us + ENGINE_SILENT_PROBE_US + ENGINE_UNREPEATABLE_PROBE_DELAY_US;

  engine_begin_request (silent, NOW_US);
  CU_ASSERT_PTR_EQUAL (choose_at (engines, silent_us - 1, 9).engine, silent);
  CU_ASSERT_PTR_NOT_EQUAL (choose_at (engines, silent_us, 9).engine, silent);
  CU_ASSERT_PTR_EQUAL (choose_at (engines, probe_us, 9).engine, silent);
  engine_begin_request (silent, probe_us);
  CU_ASSERT_PTR_NOT_EQUAL (choose_at (engines, probe_us + 1, 9).engine, silent);
  silent->last_byte_us = probe_us + 2;
  engine_end_request (silent);
  CU_ASSERT_PTR_EQUAL (choose_at (engines, probe_us + 3, 9).engine, silent);
  unload (engines, 3);
}

/* Where answers usually take two seconds to begin, an engine that has sent nothing for one second
 * is not silent, and still gets the prompts that it has cached. */
static void
test_silence_depends_on_usual_time (void)
{
  g_autoptr (engines_t) engines = make_engines (3);
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
  engine_choice_request_t request = { .affinity = 9,
                                      .own_data_center = HERE,
                                      .usual_head_us = 2 * CLOCK_US_PER_S };
  engine_t *home = choose (engines, 9).engine;

  engine_begin_request (home, NOW_US);
  CU_ASSERT_PTR_EQUAL (engine_choice_make (list, NOW_US + CLOCK_US_PER_S, &request).engine, home);
  CU_ASSERT_PTR_NOT_EQUAL (
      engine_choice_make (list, NOW_US + ENGINE_SILENT_FACTOR * request.usual_head_us, &request)
          .engine,
      home);
  unload (engines, 3);
}

/* When a probe of an ejected engine is due, only a request that can be repeated at another engine
 * serves as the probe; one that would be lost goes to a working engine. */
static void
test_probe_is_a_repeatable_request (void)
{
  g_autoptr (engines_t) engines = make_engines (3);
  engine_t *ejected = choose (engines, 9).engine;
  uint64_t due_us = NOW_US + ENGINE_EJECTION_MIN_US;
  engine_choice_request_t request = { .affinity = 9, .own_data_center = HERE };
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));

  engine_note_failure (ejected, NOW_US);
  engine_note_failure (ejected, NOW_US);
  ejected->error_rate_milli = 0;
  CU_ASSERT_PTR_NOT_EQUAL (engine_choice_make (list, due_us, &request).engine, ejected);
  request.repeatable = true;
  CU_ASSERT_PTR_EQUAL (engine_choice_make (list, due_us, &request).engine, ejected);
  request.repeatable = false;
  CU_ASSERT_PTR_EQUAL (
      engine_choice_make (list, due_us + ENGINE_UNREPEATABLE_PROBE_DELAY_US, &request).engine,
      ejected);
}

/* An engine that takes six times as long as the others is used last. It is called again once the
 * latency ratio has decayed, as nothing else shows whether it is still slow. */
static void
test_slow_engine_goes_last (void)
{
  g_autoptr (engines_t) engines = make_engines (3);
  engine_t *slow = choose (engines, 9).engine;

  engine_note_latency (slow, NOW_US, 1100);
  CU_ASSERT_PTR_EQUAL (choose (engines, 9).engine, slow);
  engine_note_latency (slow, NOW_US, 6000);
  CU_ASSERT_PTR_NOT_EQUAL (choose (engines, 9).engine, slow);
  CU_ASSERT_PTR_EQUAL (choose_at (engines, NOW_US + 2 * ENGINE_ERROR_HALF_LIFE_US, 9).engine, slow);
}

/*
 * Guards against 503 answers while slots are idle. With two of three engines lost, 22 gateways
 * share the six slots of the third, and each learns late that a slot is free. Each gateway
 * therefore keeps one more request there, which the engine queues, until the engine refuses one
 * because it is full.
 */
static void
test_each_gateway_keeps_its_share_of_few_slots (void)
{
  g_autoptr (engines_t) engines = make_engines (1);
  engine_t *engine = engines_find (engines, "e0");
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
  engine_choice_request_t request = { .own_data_center = HERE, .gateways = 22 };

  engine_note_load (engine, NOW_US, &(engine_load_t){ .running = 6, .waiting = 8, .slots = 6 });
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).action, ENGINE_CHOICE_SEND);
  load (engine, 2);
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).action, ENGINE_CHOICE_WAIT);
  engine_end_request (engine);
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).action, ENGINE_CHOICE_SEND);
  engine_note_full (engine, NOW_US);
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).action, ENGINE_CHOICE_WAIT);
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US + ENGINE_FULL_US, &request).action,
                   ENGINE_CHOICE_SEND);
  unload (engines, 1);
}

#define NEW_GATEWAYS 3
#define BURST 9
#define AGE_US (UINT64_C (1700) * 1000)

/* Guards against gateways without any load reports that send more than they may send again. */
static void
test_new_gateways_send_what_they_can_send_again (void)
{
  const retry_budget_options_t options = { .ratio_milli = 200,
                                           .slack = 60,
                                           .window_us = 10 * CLOCK_US_PER_S };
  const engine_choice_request_t request = {
    .own_data_center = HERE, .gateways = NEW_GATEWAYS, .slot_time_us = 50000, .usual_head_us = 50000
  };
  uint64_t may_send = 8;
  uint64_t sent = 0;

  for (uint32_t gateway = 0; gateway < NEW_GATEWAYS; gateway++)
    {
      g_autoptr (engines_t) engines = make_engines (1);
      const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
      retry_budget_t retries;

      retry_budget_init (&retries, NOW_US - AGE_US);
      for (uint32_t i = 0; i < BURST; i++)
        {
          engine_choice_t choice = engine_choice_make (list, NOW_US, &request);

          retry_budget_count_request (&retries, &options, NOW_US);
          if (choice.action != ENGINE_CHOICE_SEND)
            continue;
          engine_begin_request (choice.engine, NOW_US);
          sent++;
        }
      may_send += retry_budget_allowed_milli (&retries, &options, NOW_US, NEW_GATEWAYS) / 1000;
      unload (engines, 1);
    }
  CU_ASSERT (sent <= may_send);
}

/* Guards against gateways that each send all their requests to a full engine as soon as it reports
 * one free slot. */
static void
test_refusals_reduce_the_window (void)
{
  g_autoptr (engines_t) engines = make_engines (1);
  engine_t *engine = engines_find (engines, "e0");
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
  const engine_load_t one_free = { .running = 15, .slots = 16 };
  engine_choice_request_t request = {
    .own_data_center = HERE, .gateways = 2, .slot_time_us = 3000, .usual_head_us = 3000
  };

  load (engine, 10);
  for (uint32_t i = 0; i < 2; i++)
    {
      engine_note_full (engine, NOW_US);
      engine_end_request (engine);
    }
  engine_note_load (engine, NOW_US, &one_free);
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).action, ENGINE_CHOICE_WAIT);
  engine_end_request (engine);
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).action, ENGINE_CHOICE_SEND);
  engine_begin_request (engine, NOW_US);
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).action, ENGINE_CHOICE_WAIT);
  for (uint32_t i = 0; i < 9; i++)
    engine_note_answer (engine, NOW_US, false);
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).action, ENGINE_CHOICE_SEND);
  unload (engines, 1);
}

/*
 * After an overload some engines have not been called since they reported that they were full; the
 * others report that they are nearly idle. The old reports must neither raise the bound of the
 * others, which would then get all requests, nor keep requests away from the first for long.
 */
static void
test_old_reports_neither_raise_the_bound_nor_persist (void)
{
  g_autoptr (engines_t) engines = make_engines (6);
  const engine_load_t full = { .running = 100, .slots = 128 };
  const engine_load_t idle = { .running = 4, .slots = 128 };
  uint64_t later_us = NOW_US + 4 * ENGINE_REPORT_HALF_LIFE_US;
  uint32_t at_old_report = 0;

  for (uint32_t i = 0; i < 6; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "e%u", i);
      engine_note_load (engines_find (engines, id), i < 3 ? NOW_US : later_us,
                        i < 3 ? &full : &idle);
    }
  CU_ASSERT (choose_at (engines, later_us, 1).mean_milli < 12000);
  for (uint64_t affinity = 1; affinity <= 60; affinity++)
    at_old_report +=
        choose_at (engines, later_us + 2 * ENGINE_REPORT_HALF_LIFE_US, affinity).engine->hash ==
                engines_find (engines, "e0")->hash
            ? 1
            : 0;
  CU_ASSERT (at_old_report > 0);
}

/* Guards against an engine without a recent report being taken for empty: each gateway in turn
 * would send it requests beyond the bound. It is assumed to have the usual load. */
static void
test_unknown_load_is_assumed_usual (void)
{
  g_autoptr (engines_t) engines = make_engines (8);
  engine_t *unknown = engines_find (engines, "e0");

  for (uint32_t i = 1; i < 8; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "e%u", i);
      engine_note_load (engines_find (engines, id), NOW_US,
                        &(engine_load_t){ .running = 10, .slots = 128 });
    }
  for (uint64_t affinity = 0; affinity <= 100; affinity++)
    CU_ASSERT (choose (engines, affinity).engine != unknown ||
               choose (engines, affinity).load >= 9);
}

/* Return: how many of 100 prompts go to the first @expired of twelve engines, whose entries expired
 */
static uint32_t
count_sent_to_expired (uint32_t expired)
{
  g_autoptr (engines_t) engines = make_engines (12);
  uint32_t count = 0;

  for (uint32_t i = 0; i < expired; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "e%u", i);
      engines_note_expired (engines, id);
    }
  for (uint64_t affinity = 1; affinity <= 100; affinity++)
    count += choose (engines, affinity).engine->entry_expired ? 1 : 0;
  return count;
}

/* Guards against requests to an engine that left while nobody could read the store, and against a
 * service losing all its engines because their entries expired in an outage of the store. */
static void
test_expired_engines_are_used_when_many_expired (void)
{
  CU_ASSERT_EQUAL (count_sent_to_expired (1), 0);
  CU_ASSERT_EQUAL (count_sent_to_expired (4), 0);
  CU_ASSERT (count_sent_to_expired (5) > 20);
  CU_ASSERT_EQUAL (count_sent_to_expired (12), 100);
}

/* Return: how many of 100 gateways send a prompt with a part of @tokens to its first home */
static uint32_t
count_at_first_home (uint32_t gateways, uint32_t tokens)
{
  g_autoptr (engines_t) engines = make_engines (12);
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
  engine_choice_request_t request = { .affinity = 9,
                                      .own_data_center = HERE,
                                      .gateways = gateways };
  engine_t *home = engine_choice_make (list, NOW_US, &request).engine;
  uint32_t count = 0;

  request.affinity_tokens = tokens;
  for (uint64_t i = 0; i < 100; i++)
    {
      request.gateway_hash = i * i + 7;
      count += engine_choice_make (list, NOW_US, &request).engine == home ? 1 : 0;
    }
  return count;
}

/*
 * Guards against a hundred gateways that start together all sending a popular part to its home: it
 * would have several times the mean load before any gateway gets a report. If the part is small,
 * half of them begin at its second home. Gateways with a share of one slot or more at each engine
 * get reports often enough.
 */
static void
test_small_parts_have_two_homes_where_reports_are_rare (void)
{
  uint32_t many = count_at_first_home (100, ENGINE_CHOICE_SMALL_PART_TOKENS);

  CU_ASSERT (many >= 30 && many <= 70);
  CU_ASSERT_EQUAL (count_at_first_home (100, ENGINE_CHOICE_SMALL_PART_TOKENS + 1), 100);
  CU_ASSERT_EQUAL (count_at_first_home (4, ENGINE_CHOICE_SMALL_PART_TOKENS), 100);
  CU_ASSERT_EQUAL (count_at_first_home (100, 0), 100);
}

#define PART_GATEWAYS 40

/* Return: how many of 40 gateways send a prompt with a part to its first home, after each has sent
 * 20 of them in ten seconds and all engines have the same load */
static uint32_t
count_at_home_of_part (uint32_t gateways)
{
  uint32_t count = 0;

  for (uint64_t i = 0; i < PART_GATEWAYS; i++)
    {
      g_autoptr (engines_t) engines = make_engines (12);
      const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
      engine_choice_request_t request = { .affinity = 9,
                                          .affinity_tokens = ENGINE_CHOICE_SMALL_PART_TOKENS + 1,
                                          .own_data_center = HERE,
                                          .gateways = gateways,
                                          .gateway_hash = i * i + 7,
                                          .slot_time_us = CLOCK_US_PER_S };
      uint64_t now_us = NOW_US;

      for (uint32_t sent = 0; sent < 20; sent++, now_us += CLOCK_US_PER_S / 2)
        engine_choice_make (list, now_us, &request);
      for (guint k = 0; k < list->len; k++)
        engine_note_load (g_ptr_array_index (list, k), now_us,
                          &(engine_load_t){ .running = 10, .slots = 64 });
      count += engine_choice_make (list, now_us, &request).rank == 0 ? 1 : 0;
    }
  return count;
}

/* Guards against all gateways filling the home of a popular part before one of them gets a report
 * of its load. Few gateways get reports often enough. */
static void
test_popular_parts_have_several_homes (void)
{
  uint32_t popular = count_at_home_of_part (PART_GATEWAYS);

  CU_ASSERT (popular >= 1 && popular <= PART_GATEWAYS / 4);
  CU_ASSERT_EQUAL (count_at_home_of_part (2), PART_GATEWAYS);
}

/* Guards against a cap on the homes of a hot part: with many engines each of a dozen homes got
 * several times the mean. */
static void
test_hot_part_has_as_many_homes_as_it_needs (void)
{
  bool used[100] = { false };
  uint32_t homes = 0;

  for (uint64_t i = 0; i < 200; i++)
    {
      g_autoptr (engines_t) engines = make_engines (100);
      const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
      engine_choice_request_t request = { .affinity = 9,
                                          .affinity_tokens = ENGINE_CHOICE_SMALL_PART_TOKENS + 1,
                                          .own_data_center = HERE,
                                          .gateways = 103,
                                          .gateway_hash = i * i + 7,
                                          .slot_time_us = CLOCK_US_PER_S };

      for (guint k = 0; k < list->len; k++)
        engine_note_load (g_ptr_array_index (list, k), NOW_US + 10 * CLOCK_US_PER_S,
                          &(engine_load_t){ .running = 10, .slots = 64 });
      for (uint32_t sent = 0; sent < 40; sent++)
        engine_choice_make (list, NOW_US + sent * CLOCK_US_PER_S / 4, &request);
      used[atoi (
          engine_choice_make (list, NOW_US + 10 * CLOCK_US_PER_S, &request).engine->entry.id + 1)] =
          true;
    }
  for (uint32_t i = 0; i < 100; i++)
    homes += used[i] ? 1 : 0;
  CU_ASSERT (homes > 40);
}

/* Requests for other parts, beside which that of @like is not popular. */
static void
choose_other_parts (const GPtrArray *list, const engine_choice_request_t *like)
{
  engine_choice_request_t request = *like;

  for (uint64_t i = 1; i <= 20; i++)
    {
      request.affinity = like->affinity + i;
      engine_choice_make (list, NOW_US, &request);
    }
}

/* Return: the load of other gateways at the home of a part up to which it gets requests, where each
 * engine has a load of 10 */
static uint32_t
home_limit (bool is_mean_told)
{
  g_autoptr (engines_t) engines = make_engines (12);
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
  engine_choice_request_t request = { .affinity = 9,
                                      .affinity_tokens = ENGINE_CHOICE_SMALL_PART_TOKENS + 1,
                                      .own_data_center = HERE,
                                      .gateways = 6 };
  engine_t *home = engine_choice_make (list, NOW_US, &request).engine;
  uint32_t limit = 10;

  for (uint64_t i = 1; is_mean_told && i < 6; i++)
    engines_note_fleet_requests (
        engines, NOW_US,
        &(fleet_requests_told_t){ engines_hash_service ("pool"), { i, 24, NOW_US } });
  for (; limit < 60; limit++)
    {
      for (guint k = 0; k < list->len; k++)
        engine_note_load (
            g_ptr_array_index (list, k), NOW_US,
            &(engine_load_t){ .running = g_ptr_array_index (list, k) == home ? limit : 10,
                              .slots = 128 });
      choose_other_parts (list, &request);
      if (engine_choice_make (list, NOW_US, &request).engine != home)
        break;
    }
  return limit;
}

/* Guards against prompts that are read anew at other engines although it is known that their home
 * is below the overload limit; where that is not known, the bound stays lower. */
static void
test_single_home_has_a_wider_margin_where_the_mean_is_known (void)
{
  /* with the margin of ENGINE_CHOICE_FEW_GATEWAYS it gets requests up to a load of 18.6 */
  uint32_t told = home_limit (true);

  CU_ASSERT (told > 18);
  CU_ASSERT (told < 2 * 10 + 3);
  CU_ASSERT (home_limit (false) <= told);
}

/* Guards against a mean of the engines that this gateway heard, of which the busy ones are heard
 * more often: with it the bound of all rose while one part was popular. */
static void
test_told_requests_make_the_mean (void)
{
  g_autoptr (engines_t) engines = make_engines (12);
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
  engine_choice_request_t request = { .own_data_center = HERE, .gateways = 4 };

  engine_note_load (g_ptr_array_index (list, 0), NOW_US,
                    &(engine_load_t){ .running = 30, .slots = 64 });
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).mean_milli, 30000);
  for (uint64_t i = 1; i < 4; i++)
    engines_note_fleet_requests (
        engines, NOW_US,
        &(fleet_requests_told_t){ engines_hash_service ("pool"), { i, 20, NOW_US } });
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).mean_milli, 5000);
  CU_ASSERT_EQUAL (
      engine_choice_make (list, NOW_US + FLEET_REQUESTS_AGE_MAX_US, &request).mean_milli, 30000);
}

/* Guards against the requests at all engines being divided by those of some regions. */
static void
test_told_requests_are_no_mean_of_some_regions (void)
{
  static const char *const regions[] = { "north", NULL };
  g_autoptr (engines_t) engines = make_engines (12);
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
  engine_choice_request_t request = { .own_data_center = HERE,
                                      .gateways = 4,
                                      .region_filter = { .route = regions } };

  for (uint32_t i = 0; i < 4; i++)
    {
      engine_t *engine = g_ptr_array_index (list, i);

      engine->entry.region = g_intern_static_string ("north");
      engine_note_load (engine, NOW_US, &(engine_load_t){ .running = 8, .slots = 64 });
    }
  for (uint64_t i = 1; i < 4; i++)
    engines_note_fleet_requests (
        engines, NOW_US,
        &(fleet_requests_told_t){ engines_hash_service ("pool"), { i, 20, NOW_US } });
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).mean_milli, 8000);
}

/* A home far over the mean hands over to the next in rank at a lower load with 22 gateways than
 * with 4, and with nearly full engines than with idle ones. */
static void
test_margin_falls_with_gateways_and_rises_with_free_slots (void)
{
  const uint32_t gateways[] = { 4, 22, 4 };
  const uint32_t loads[] = { 10, 10, 100 };
  uint32_t margins[3] = { 0 };

  for (uint32_t i = 0; i < 3; i++)
    {
      g_autoptr (engines_t) engines = make_engines (12);
      const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
      engine_choice_request_t request = { .affinity = 9,
                                          .own_data_center = HERE,
                                          .gateways = gateways[i] };
      engine_t *home = engine_choice_make (list, NOW_US, &request).engine;

      for (guint k = 0; k < list->len; k++)
        engine_note_load (g_ptr_array_index (list, k), NOW_US,
                          &(engine_load_t){ .running = loads[i], .slots = 128 });
      while (engine_choice_make (list, NOW_US, &request).engine == home)
        engine_begin_request (home, NOW_US);
      margins[i] = home->own_requests * 1000 / loads[i];
      unload (engines, 12);
    }
  CU_ASSERT (margins[1] > 0 && margins[1] < margins[0]);
  CU_ASSERT (margins[2] > 0 && margins[2] < margins[0] / 2);
}

#define FLEET_ENGINES 40
#define FLEET_LOAD 11 /* requests at each engine in use */
#define FLEET_IDLE 13

/* Fills the home of a part until the part goes elsewhere. Return: requests at the home */
static uint32_t
fill_home_at (const GPtrArray *list, uint64_t now_us)
{
  engine_choice_request_t request = { .affinity = 9, .own_data_center = HERE, .gateways = 22 };
  engine_t *home = engine_choice_make (list, now_us, &request).engine;

  while (engine_choice_make (list, now_us, &request).engine == home)
    engine_begin_request (home, now_us);
  return engine_estimate_load (home, now_us, 0);
}

static uint32_t
fill_home (const GPtrArray *list)
{
  return fill_home_at (list, NOW_US);
}

static void
report_all_loads (const GPtrArray *list, uint64_t now_us)
{
  for (guint k = 0; k < list->len; k++)
    engine_note_load (g_ptr_array_index (list, k), now_us,
                      &(engine_load_t){ .running = FLEET_LOAD, .slots = 128 });
}

#define LATER_US (NOW_US + 10 * ENGINE_CHOICE_IDLE_US)

/* Guards against requests to overloaded engines during a drain, which lasts as long as operators
 * want. A third of the engines is idle, so the overload limit, twice the mean of the service plus
 * three, is 17 requests, while the others have 11 on average. If 22 gateways kept a part at its
 * home up to their usual bound, 17, they would exceed the limit before they learn of each other's
 * requests. */
static void
test_idle_engines_narrow_the_bound (void)
{
  uint32_t service_mean = (FLEET_ENGINES - FLEET_IDLE) * FLEET_LOAD / FLEET_ENGINES;
  g_autoptr (engines_t) engines = make_engines (FLEET_ENGINES);
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
  uint32_t usual;
  uint32_t narrowed;

  report_all_loads (list, NOW_US);
  usual = fill_home (list);
  unload (engines, FLEET_ENGINES);
  for (guint k = 0; k < FLEET_IDLE; k++)
    g_strlcpy (((engine_t *)g_ptr_array_index (list, k))->entry.data_center, "hall-2",
               LIMIT_NAME_BYTES);
  engines_set_drained (engines, NOW_US, "hall-2", true);
  narrowed = fill_home (list);
  CU_ASSERT (usual >= FLEET_LOAD * 14 / 10);
  CU_ASSERT (narrowed > FLEET_LOAD);
  CU_ASSERT (narrowed <= (FLEET_LOAD + 2 * service_mean + 3) / 2);
  unload (engines, FLEET_ENGINES);
  report_all_loads (list, LATER_US);
  CU_ASSERT_EQUAL (fill_home_at (list, LATER_US), narrowed);
  unload (engines, FLEET_ENGINES);
  engines_set_drained (engines, LATER_US, "hall-2", false);
  CU_ASSERT_EQUAL (fill_home_at (list, LATER_US), narrowed);
  unload (engines, FLEET_ENGINES);
  report_all_loads (list, LATER_US);
  CU_ASSERT_EQUAL (fill_home_at (list, LATER_US), usual);
  unload (engines, FLEET_ENGINES);
}

#define BUSY_ENGINES 20
#define JOINED_ENGINES 15
#define PARTS 200

/* Engines with a mean load of @busy of 24 slots, and others that have just joined. */
static engines_t *
make_engines_that_join (uint32_t busy)
{
  engines_t *engines = make_engines (BUSY_ENGINES);
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));

  for (guint k = 0; k < list->len; k++)
    engine_note_load (g_ptr_array_index (list, k), NOW_US,
                      &(engine_load_t){ .running = busy - 2 + k % 5, .slots = 24 });
  for (uint32_t i = 0; i < JOINED_ENGINES; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "joined%u", i);
      put (engines, id, ENGINE_READY)->entry.slots = 24;
    }
  return engines;
}

/* Guards against idle engines that count twice, in the mean and in the limit made of it: while a
 * data centre returned, the engines with the load were all over their bound. */
static void
test_told_requests_are_divided_by_the_engines_in_use (void)
{
  g_autoptr (engines_t) engines = make_engines_that_join (10);
  engine_choice_request_t request = { .own_data_center = HERE, .gateways = 4 };

  for (uint64_t i = 1; i < 4; i++)
    engines_note_fleet_requests (
        engines, NOW_US,
        &(fleet_requests_told_t){ engines_hash_service ("pool"), { i, 100, NOW_US } });
  CU_ASSERT_EQUAL (
      engine_choice_make (engines_of_service (engines, g_intern_static_string ("pool")), NOW_US,
                          &request)
          .mean_milli,
      300 * 1000 / BUSY_ENGINES);
}

static engine_t *
choose_by (const engines_t *engines, uint32_t gateways, uint64_t gateway_hash, uint64_t part)
{
  engine_choice_request_t request = {
    .affinity = part, .own_data_center = HERE, .gateways = gateways, .gateway_hash = gateway_hash
  };

  return engine_choice_make (engines_of_service (engines, g_intern_static_string ("pool")), NOW_US,
                             &request)
      .engine;
}

/* Return: how many of PARTS choices go to engines that have just joined */
static uint32_t
count_sent_to_joined (uint32_t busy)
{
  g_autoptr (engines_t) engines = make_engines_that_join (busy);
  uint32_t joined = 0;

  for (uint64_t part = 1; part <= PARTS; part++)
    {
      const engine_t *engine = choose_by (engines, 103, part, part);

      joined += engine && engine->reported_us == 0 ? 1 : 0;
    }
  return joined;
}

/* Guards against engines that join during a burst staying idle while the older ones are
 * overloaded. */
static void
test_engines_that_join_take_their_share (void)
{
  uint32_t share = PARTS * JOINED_ENGINES / (BUSY_ENGINES + JOINED_ENGINES);

  CU_ASSERT (count_sent_to_joined (4) > share / 3);
  CU_ASSERT (count_sent_to_joined (14) > share / 3);
  CU_ASSERT (count_sent_to_joined (20) > share / 3);
}

/* Guards against many gateways all sending to an engine that has joined before any of them gets a
 * load report of it. */
static void
test_half_of_the_gateways_use_a_joined_engine_first (void)
{
  g_autoptr (engines_t) engines = make_engines_that_join (4);
  const engine_t *home = NULL;
  uint64_t part = 0;
  uint32_t few = 0;
  uint32_t many = 0;

  while (!home || home->reported_us != 0)
    home = choose_by (engines, 1, 0, ++part);
  for (uint64_t gateway = 1; gateway <= PARTS; gateway++)
    {
      few += choose_by (engines, 22, gateway, part) == home ? 1 : 0;
      many += choose_by (engines, 103, gateway, part) == home ? 1 : 0;
    }
  CU_ASSERT_EQUAL (few, PARTS);
  CU_ASSERT (many > PARTS / 3 && many < PARTS * 2 / 3);
}

/* Four gateways get recent reports of all engines. A part stays at its home until that has nearly
 * twice the mean, and leaves it before the overload limit of twice the mean plus three. */
static void
test_few_gateways_keep_parts_at_home (void)
{
  g_autoptr (engines_t) engines = make_engines (12);
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
  engine_choice_request_t request = { .affinity = 9, .own_data_center = HERE, .gateways = 4 };
  engine_t *home = engine_choice_make (list, NOW_US, &request).engine;
  uint32_t mean;

  for (guint k = 0; k < list->len; k++)
    engine_note_load (g_ptr_array_index (list, k), NOW_US,
                      &(engine_load_t){ .running = 6, .slots = 128 });
  while (engine_choice_make (list, NOW_US, &request).engine == home)
    engine_begin_request (home, NOW_US);
  mean = (11 * 6 + 6 + home->own_requests) / 12;
  CU_ASSERT (6 + home->own_requests >= 2 * mean);
  CU_ASSERT (6 + home->own_requests <= 2 * mean + 3);
  unload (engines, 12);
}

/*
 * Guards against engines spending an overload on reading prompts that others have cached. At three
 * and a half times the usual traffic nearly all slots are taken. If each request took any free
 * slot, its whole prompt would be read there, and fewer than half would be answered. A request
 * waits for the first ranks of its part, and goes to one of them as soon as that has a free slot.
 */
static void
test_crowded_parts_keep_to_the_first_ranks (void)
{
  g_autoptr (engines_t) engines = make_engines (12);
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
  engine_choice_request_t request = { .affinity = 9, .own_data_center = HERE, .gateways = 22 };
  engine_t *few[ENGINE_CHOICE_HOMES_MAX];
  engine_t *far = NULL;

  for (uint32_t i = 0; i < ENGINE_CHOICE_HOMES_MAX; i++)
    {
      request.tried = (uint64_t[]){ i > 0 ? few[0]->hash : 0, i > 1 ? few[1]->hash : 0 };
      request.tried_count = i;
      few[i] = engine_choice_make (list, NOW_US, &request).engine;
    }
  request.tried_count = 0;
  for (guint k = 0; k < list->len; k++)
    {
      engine_t *engine = g_ptr_array_index (list, k);
      bool is_few = engine == few[0] || engine == few[1] || engine == few[2];

      engine_note_load (engine, NOW_US, &(engine_load_t){ .running = 8, .slots = 8 });
      if (!is_few)
        far = engine;
    }
  for (uint32_t i = 0; i < ENGINE_CHOICE_HOMES_MAX; i++)
    load (few[i], 2); /* as many as this gateway may keep in an engine's queue */
  CU_ASSERT_PTR_NOT_NULL_FATAL (far);
  engine_note_load (far, NOW_US, &(engine_load_t){ .running = 7, .slots = 8 });
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).action, ENGINE_CHOICE_WAIT);
  engine_note_load (few[2], NOW_US, &(engine_load_t){ .running = 7, .slots = 8 });
  CU_ASSERT_PTR_EQUAL (engine_choice_make (list, NOW_US, &request).engine, few[2]);
  request.affinity = 0;
  CU_ASSERT_EQUAL (engine_choice_make (list, NOW_US, &request).action, ENGINE_CHOICE_SEND);
  unload (engines, 12);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_restarted_engine_is_a_new_one),
    SUITE_TEST (test_late_entry_of_an_older_start_changes_nothing),
    SUITE_TEST (test_engine_takes_its_entry_back_from_another_writer),
    SUITE_TEST (test_renewed_start_outlasts_a_delayed_entry),
    SUITE_TEST (test_shared_part_has_one_home),
    SUITE_TEST (test_hot_part_spills_at_the_bound),
    SUITE_TEST (test_new_home_copies_from_the_former),
    SUITE_TEST (test_leaving_engine_gets_no_requests),
    SUITE_TEST (test_request_waits_while_engines_are_full),
    SUITE_TEST (test_reported_load_counts_and_ages),
    SUITE_TEST (test_reported_slowdown_counts_and_decays),
    SUITE_TEST (test_failing_engine_is_ejected),
    SUITE_TEST (test_ejections_of_all_engines_are_ignored),
    SUITE_TEST (test_failing_answers_put_an_engine_last),
    SUITE_TEST (test_errors_of_all_engines_put_none_last),
    SUITE_TEST (test_error_rate_decays),
    SUITE_TEST (test_degraded_engine_is_preferred_to_overloaded),
    SUITE_TEST (test_idle_engines_narrow_the_bound),
    SUITE_TEST (test_engines_that_join_take_their_share),
    SUITE_TEST (test_told_requests_are_divided_by_the_engines_in_use),
    SUITE_TEST (test_half_of_the_gateways_use_a_joined_engine_first),
    SUITE_TEST (test_tried_engines_are_left_out),
    SUITE_TEST (test_engine_outlives_its_entry),
    SUITE_TEST (test_skewed_parts_stay_below_the_limit),
    SUITE_TEST (test_silent_engine_goes_last),
    SUITE_TEST (test_silence_depends_on_usual_time),
    SUITE_TEST (test_probe_is_a_repeatable_request),
    SUITE_TEST (test_slow_engine_goes_last),
    SUITE_TEST (test_each_gateway_keeps_its_share_of_few_slots),
    SUITE_TEST (test_new_gateways_send_what_they_can_send_again),
    SUITE_TEST (test_refusals_reduce_the_window),
    SUITE_TEST (test_old_reports_neither_raise_the_bound_nor_persist),
    SUITE_TEST (test_unknown_load_is_assumed_usual),
    SUITE_TEST (test_expired_engines_are_used_when_many_expired),
    SUITE_TEST (test_small_parts_have_two_homes_where_reports_are_rare),
    SUITE_TEST (test_popular_parts_have_several_homes),
    SUITE_TEST (test_hot_part_has_as_many_homes_as_it_needs),
    SUITE_TEST (test_single_home_has_a_wider_margin_where_the_mean_is_known),
    SUITE_TEST (test_told_requests_make_the_mean),
    SUITE_TEST (test_told_requests_are_no_mean_of_some_regions),
    SUITE_TEST (test_margin_falls_with_gateways_and_rises_with_free_slots),
    SUITE_TEST (test_few_gateways_keep_parts_at_home),
    SUITE_TEST (test_crowded_parts_keep_to_the_first_ranks),
    CU_TEST_INFO_NULL
  };

  return suite_run ("engine_choice", tests);
}
