/* Unit tests of the choice of an engine by what is known of the engines that hold a part. */
#include "request/policy/placement/engine_choice.h"
#include "suite.h"

#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (engines_t, engines_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (part_holders_t, part_holders_free)

#define NOW_US (UINT64_C (100) * 1000 * 1000)
#define ENGINES 12
#define HALLS 3
#define PART 42
#define ALL_PARTS 4242
#define LONG_TOKENS 10512
#define SHORT_TOKENS 699

static engine_t *
put (engines_t *engines, uint32_t index, uint64_t born_ms)
{
  engine_entry_t entry = { .service = g_intern_static_string ("pool"),
                           .slots = 64,
                           .born_ms = born_ms,
                           .state = ENGINE_READY };

  g_snprintf (entry.id, sizeof entry.id, "e%u", index);
  g_snprintf (entry.data_center, sizeof entry.data_center, "hall-%u", index % HALLS);
  return engines_put (engines, NOW_US, &entry);
}

static engines_t *
make_engines (void)
{
  engines_t *engines = engines_new ();

  for (uint32_t i = 0; i < ENGINES; i++)
    put (engines, i, 1);
  engines_set_complete (engines);
  return engines;
}

static engine_choice_t
choose_for (const engines_t *engines,
            const part_holders_t *holders,
            const char *data_center,
            uint32_t tokens,
            uint64_t part)
{
  return engine_choice_make (engines_of_service (engines, g_intern_static_string ("pool")), NOW_US,
                             &(engine_choice_request_t){ .holders = holders,
                                                         .has_local_homes = true,
                                                         .shared_parts = ALL_PARTS,
                                                         .affinity = part,
                                                         .affinity_tokens = tokens,
                                                         .own_data_center = data_center });
}

static engine_choice_t
choose (const engines_t *engines, const part_holders_t *holders, const char *data_center)
{
  return choose_for (engines, holders, data_center, LONG_TOKENS, PART);
}

static void
hold (part_holders_t *holders, const engine_t *engine)
{
  part_holders_note_report (holders, NOW_US, PART, engine->hash, NOW_US);
  part_holders_note_report (holders, NOW_US, ALL_PARTS, engine->hash, NOW_US);
}

static void
load (engine_t *engine, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    engine_begin_request (engine, NOW_US);
}

static void
unload (const engines_t *engines)
{
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));

  for (guint i = 0; i < list->len; i++)
    {
      engine_t *engine = g_ptr_array_index (list, i);

      while (engine->own_requests > 0)
        engine_end_request (engine);
    }
}

static engine_t *
ranked (const engines_t *engines, uint32_t rank)
{
  engine_t *engine = choose (engines, NULL, "elsewhere").engine;

  for (; rank > 0; rank--)
    {
      load (engine, 40);
      engine = choose (engines, NULL, "elsewhere").engine;
    }
  unload (engines);
  return engine;
}

/* Guards against gateways that know nothing of a part sending it to different engines. */
static void
test_without_knowledge_rank_decides (void)
{
  g_autoptr (engines_t) engines = make_engines ();
  g_autoptr (part_holders_t) holders = part_holders_new (100);

  for (uint64_t part = 1; part <= 50; part++)
    {
      engine_choice_t by_rank = choose_for (engines, NULL, "hall-0", LONG_TOKENS, part);
      engine_choice_t choice = choose_for (engines, holders, "hall-1", LONG_TOKENS, part);

      CU_ASSERT_PTR_EQUAL (choice.engine, by_rank.engine);
      CU_ASSERT_PTR_EQUAL (choice.source, by_rank.source);
      CU_ASSERT (!choice.engine_holds && !choice.source_holds);
    }
}

/* Guards against memory moved again and again: while a home is over the bound its requests go to an
 * engine that has the part rather than to the next in rank, and to the home afterwards. */
static void
test_holder_is_preferred_to_a_new_home (void)
{
  g_autoptr (engines_t) engines = make_engines ();
  g_autoptr (part_holders_t) holders = part_holders_new (100);
  engine_t *home = ranked (engines, 0);
  engine_t *holder = ranked (engines, 4);

  hold (holders, holder);
  CU_ASSERT_PTR_EQUAL (choose (engines, holders, "elsewhere").engine, home);
  CU_ASSERT_PTR_EQUAL (choose (engines, holders, "elsewhere").source, holder);
  load (home, 20);
  CU_ASSERT_PTR_EQUAL (choose (engines, holders, "elsewhere").engine, holder);
  CU_ASSERT (choose (engines, holders, "elsewhere").engine_holds);
  CU_ASSERT_PTR_NULL (choose (engines, holders, "elsewhere").source);
  load (holder, 20);
  CU_ASSERT_PTR_EQUAL (choose (engines, holders, "elsewhere").engine, ranked (engines, 0));
  unload (engines);
}

/* Guards against a holder over the load bound getting requests because it has their part. */
static void
test_holders_keep_the_bound (void)
{
  g_autoptr (engines_t) engines = make_engines ();
  g_autoptr (part_holders_t) holders = part_holders_new (100);
  engine_t *home = ranked (engines, 0);
  engine_t *holder = ranked (engines, 4);
  engine_t *next = ranked (engines, 1);

  hold (holders, holder);
  load (home, 20);
  load (holder, 20);
  CU_ASSERT_PTR_EQUAL (choose (engines, holders, "elsewhere").engine, next);
  unload (engines);
}

/* Guards against copies of unused parts from engines that rank well and don't have them: the source
 * is a holder, of the own data centre first. */
static void
test_source_is_a_near_holder (void)
{
  g_autoptr (engines_t) engines = make_engines ();
  g_autoptr (part_holders_t) holders = part_holders_new (100);

  for (uint32_t rank = 1; rank < ENGINES; rank++)
    hold (holders, ranked (engines, rank));
  for (uint32_t hall = 0; hall < HALLS; hall++)
    {
      g_autofree char *name = g_strdup_printf ("hall-%u", hall);
      engine_choice_t choice = choose (engines, holders, name);

      CU_ASSERT (choice.source_holds || choice.engine_holds);
      CU_ASSERT_STRING_EQUAL (choice.source ? choice.source->entry.data_center
                                            : choice.engine->entry.data_center,
                              name);
    }
}

/* Guards against requests that wait for a copy from an engine that fails. */
static void
test_failing_holder_is_no_source (void)
{
  g_autoptr (engines_t) engines = make_engines ();
  g_autoptr (part_holders_t) holders = part_holders_new (100);
  engine_t *failing = ranked (engines, 4);
  engine_t *sound = ranked (engines, 6);

  hold (holders, failing);
  hold (holders, sound);
  CU_ASSERT_PTR_EQUAL (choose (engines, holders, "elsewhere").source, failing);
  for (uint32_t i = 0; i < 8; i++)
    engine_note_answer (failing, NOW_US, true);
  CU_ASSERT_PTR_EQUAL (choose (engines, holders, "elsewhere").source, sound);
}

/* Guards against an ended engine, or one whose data centre was drained, counting as a holder: its
 * cache is empty. */
static void
test_restart_and_drain_empty_caches (void)
{
  g_autoptr (engines_t) engines = make_engines ();
  g_autoptr (part_holders_t) holders = part_holders_new (100);
  engine_t *home = ranked (engines, 0);
  engine_t *holder = ranked (engines, 4);
  uint32_t index = (uint32_t)atoi (holder->entry.id + 1);

  hold (holders, holder);
  load (home, 20);
  CU_ASSERT_PTR_EQUAL (choose (engines, holders, "elsewhere").engine, holder);
  engines_set_drained (engines, NOW_US, holder->entry.data_center, true);
  CU_ASSERT_PTR_NOT_EQUAL (choose (engines, holders, "elsewhere").engine, holder);
  engines_set_drained (engines, NOW_US + 1, holder->entry.data_center, false);
  CU_ASSERT (!choose (engines, holders, "elsewhere").engine_holds);
  hold (holders, put (engines, (index + 1) % ENGINES, 1));
  unload (engines);
  engines_set_complete (engines);
  put (engines, (index + 1) % ENGINES, 2);
  CU_ASSERT (!choose (engines, holders, "elsewhere").engine_holds);
  CU_ASSERT (!choose (engines, holders, "elsewhere").source_holds);
}

/* Guards against requests and answers crossing between data centres for a part that each of them
 * can keep: a short part has a home in each, a long one does not. The first request for a part goes
 * to the common home, or each data centre would read it. */
static void
test_short_parts_stay_in_the_data_center (void)
{
  g_autoptr (engines_t) engines = make_engines ();
  g_autoptr (part_holders_t) holders = part_holders_new (100);
  uint32_t local = 0;

  for (uint64_t part = 1; part <= 200; part++)
    {
      engine_t *far = choose_for (engines, holders, "hall-1", LONG_TOKENS, part).engine;
      engine_t *home;

      CU_ASSERT_PTR_EQUAL (choose_for (engines, holders, "hall-1", SHORT_TOKENS, part).engine, far);
      part_holders_note_report (holders, NOW_US, part, far->hash, NOW_US);
      home = choose_for (engines, holders, "hall-1", SHORT_TOKENS, part).engine;

      CU_ASSERT_STRING_EQUAL (home->entry.data_center, "hall-1");
      CU_ASSERT_PTR_EQUAL (choose_for (engines, holders, "hall-1", SHORT_TOKENS, part).engine,
                           home);
      local += strcmp (far->entry.data_center, "hall-1") == 0 ? 1 : 0;
    }
  CU_ASSERT (local > 40 && local < 100);
}

/* Guards against a data centre whose engines are over the bound reading its parts at one engine
 * after the other: the requests go to the home of all gateways, which has the part. */
static void
test_full_data_center_uses_the_common_home (void)
{
  g_autoptr (engines_t) engines = make_engines ();
  g_autoptr (part_holders_t) holders = part_holders_new (100);
  uint32_t common = 0;

  for (uint64_t part = 1; part <= 50; part++)
    {
      engine_t *by_rank = choose_for (engines, NULL, "elsewhere", SHORT_TOKENS, part).engine;
      engine_t *home;

      part_holders_note_report (holders, NOW_US, part, by_rank->hash, NOW_US);
      home = choose_for (engines, holders, "hall-1", SHORT_TOKENS, part).engine;
      if (home == by_rank)
        continue;
      load (home, 20);
      CU_ASSERT_PTR_EQUAL (choose_for (engines, holders, "hall-1", SHORT_TOKENS, part).engine,
                           by_rank);
      unload (engines);
      common++;
    }
  CU_ASSERT (common > 20);
}

static engine_choice_t
choose_shared (const engines_t *engines,
               const part_holders_t *holders,
               uint64_t gateway,
               uint32_t gateways)
{
  return engine_choice_make (engines_of_service (engines, g_intern_static_string ("pool")), NOW_US,
                             &(engine_choice_request_t){ .holders = holders,
                                                         .has_local_homes = true,
                                                         .shared_parts = ALL_PARTS,
                                                         .affinity = PART,
                                                         .affinity_tokens = LONG_TOKENS,
                                                         .gateways = gateways,
                                                         .gateway_hash = gateway,
                                                         .own_data_center = "elsewhere" });
}

/* Requests for other parts, beside which PART is not popular. */
static void
choose_others (const engines_t *engines)
{
  for (uint64_t part = PART + 1; part < PART + 40; part++)
    choose_for (engines, NULL, "elsewhere", LONG_TOKENS, part);
}

/* Guards against a copy of a long part because its only holder is a request over its bound, and
 * against that going on up to the overload limit. */
static void
test_long_part_waits_for_a_busy_holder (void)
{
  g_autoptr (engines_t) engines = make_engines ();
  g_autoptr (part_holders_t) holders = part_holders_new (100);
  engine_t *home = choose_shared (engines, NULL, 1, 12).engine;
  uint32_t by_rank = 0;
  uint32_t by_holder = 0;

  hold (holders, home);
  for (uint32_t i = 0; i < ENGINES; i++)
    load (put (engines, i, 1), 6);
  for (uint32_t i = 0; i < 12; i++)
    {
      choose_others (engines);
      by_rank += choose_shared (engines, NULL, 1, 12).engine == home ? 1 : 0;
      by_holder += choose_shared (engines, holders, 1, 12).engine == home ? 1 : 0;
      load (home, 1);
    }
  CU_ASSERT (by_rank > 0 && by_holder > by_rank);
  CU_ASSERT (6 + by_holder < 2 * 6 + 3);
  unload (engines);
}

/* Guards against gateways that estimate the homes of a popular part differently having it copied to
 * each: engines that have it serve, spread over all of them, while they are half of the homes. */
static void
test_popular_part_is_spread_over_holders (void)
{
  g_autoptr (engines_t) engines = make_engines ();
  g_autoptr (part_holders_t) holders = part_holders_new (100);
  uint32_t unknown = 0;

  for (uint32_t i = 0; i < ENGINES; i++)
    load (put (engines, i, 1), 2);
  for (uint32_t i = 0; i < 200; i++)
    choose_shared (engines, NULL, 1, 31);
  hold (holders, put (engines, 3, 1));
  for (uint64_t gateway = 1; gateway <= 31; gateway++)
    unknown += choose_shared (engines, holders, gateway, 31).engine_holds ? 0 : 1;
  CU_ASSERT (unknown > 20);
  for (uint32_t i = 0; i < ENGINES / 2; i++)
    hold (holders, put (engines, i, 1));
  for (uint64_t gateway = 1; gateway <= 31; gateway++)
    CU_ASSERT (choose_shared (engines, holders, gateway, 31).engine_holds);
  CU_ASSERT_PTR_NOT_EQUAL (choose_shared (engines, holders, 1, 31).engine,
                           choose_shared (engines, holders, 3, 31).engine);
  unload (engines);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_without_knowledge_rank_decides),
                                       SUITE_TEST (test_holder_is_preferred_to_a_new_home),
                                       SUITE_TEST (test_holders_keep_the_bound),
                                       SUITE_TEST (test_source_is_a_near_holder),
                                       SUITE_TEST (test_failing_holder_is_no_source),
                                       SUITE_TEST (test_restart_and_drain_empty_caches),
                                       SUITE_TEST (test_short_parts_stay_in_the_data_center),
                                       SUITE_TEST (test_full_data_center_uses_the_common_home),
                                       SUITE_TEST (test_long_part_waits_for_a_busy_holder),
                                       SUITE_TEST (test_popular_part_is_spread_over_holders),
                                       CU_TEST_INFO_NULL };

  return suite_run ("part_choice", tests);
}
