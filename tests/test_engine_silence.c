/* Unit tests of what a gateway makes of an engine that is silent for a while and goes on. */
#include "base/clock.h"
#include "request/policy/placement/engine_choice.h"
#include "suite.h"

#define START_US (UINT64_C (100) * CLOCK_US_PER_S)
#define USUAL_US (UINT64_C (50) * CLOCK_US_PER_MS) /* from a request to the head of its answer */
#define LIMIT_US (UINT64_C (500) * CLOCK_US_PER_MS)
#define SILENCE_MAX_US (UINT64_C (2) * CLOCK_US_PER_S)
#define IN_HAND 8

static engine_t *
put (engines_t *engines, const char *id)
{
  engine_entry_t entry = { .service = g_intern_static_string ("pool"),
                           .slots = 2 * IN_HAND,
                           .state = ENGINE_READY };

  g_strlcpy (entry.id, id, sizeof entry.id);
  g_strlcpy (entry.data_center, "hall-1", sizeof entry.data_center);
  return engines_put (engines, START_US, &entry);
}

static void
send (engine_t *engine, uint64_t now_us, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    engine_begin_request (engine, now_us);
}

/* Requests leave the engine, as it is silent. */
static void
leave (engine_t *engine, uint64_t now_us, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      engine_note_silence (engine, now_us);
      engine_end_request_at (engine, now_us);
    }
}

/* A byte of any answer comes. */
static void
speak (engine_t *engine, uint64_t now_us)
{
  engine_note_byte (engine, now_us);
}

/* An engine stays until its last request has ended. */
static void
end_requests (engines_t *engines)
{
  const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));

  for (guint i = 0; i < list->len; i++)
    {
      engine_t *engine = g_ptr_array_index (list, i);

      while (engine->own_requests > 0)
        engine_end_request_at (engine, START_US);
    }
}

static void
free_engines (engines_t *engines)
{
  end_requests (engines);
  engines_free (engines);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (engines_t, free_engines)

static engine_choice_t
choose (const engines_t *engines, uint64_t now_us, const uint64_t *tried, uint32_t tried_count)
{
  return engine_choice_make (engines_of_service (engines, g_intern_static_string ("pool")), now_us,
                             &(engine_choice_request_t){ .own_data_center = "hall-1",
                                                         .usual_head_us = USUAL_US,
                                                         .repeatable = true,
                                                         .tried = tried,
                                                         .tried_count = tried_count });
}

static bool
is_silent (const engine_t *engine, uint64_t now_us)
{
  return engine_is_silent (engine, now_us, USUAL_US, true);
}

/* Guards against an engine that speaks again still counting as silent. */
static void
test_engine_that_speaks_is_not_silent (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_t *engine = put (engines, "e0");

  send (engine, START_US, IN_HAND);
  CU_ASSERT_FALSE (is_silent (engine, START_US + ENGINE_SILENT_US - 1));
  CU_ASSERT_TRUE (is_silent (engine, START_US + ENGINE_SILENT_US));
  CU_ASSERT_TRUE (is_silent (engine, START_US + SILENCE_MAX_US));
  speak (engine, START_US + SILENCE_MAX_US);
  CU_ASSERT_FALSE (is_silent (engine, START_US + SILENCE_MAX_US));
}

/* Guards against a probe of a dead host at each request of the gateway. */
static void
test_silent_engine_is_probed_once_in_an_interval (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_t *engine = put (engines, "e0");
  uint64_t probe_us = START_US + ENGINE_SILENT_US + ENGINE_SILENT_PROBE_US;

  send (engine, START_US, 1);
  CU_ASSERT_TRUE (is_silent (engine, probe_us - 1));
  CU_ASSERT_FALSE (is_silent (engine, probe_us));
  send (engine, probe_us, 1);
  CU_ASSERT_TRUE (is_silent (engine, probe_us + 1));
}

/* Guards against an engine that speaks to one request being kept out for those that left it. */
static void
test_engine_that_speaks_is_used_at_once (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_t *engine = put (engines, "e0");

  put (engines, "e1");
  put (engines, "e2");
  send (engine, START_US, IN_HAND + 1);
  leave (engine, START_US + LIMIT_US, IN_HAND);
  speak (engine, START_US + 2 * LIMIT_US);
  CU_ASSERT_FALSE (engine_is_ejected (engine, START_US + 2 * LIMIT_US, true));
  CU_ASSERT_FALSE (engine_is_ejected (engine, START_US + 2 * LIMIT_US, false));
}

/* Guards against an engine kept out for 4 s for one silence, as each request that left counts. */
static void
test_one_silence_counts_once (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_t *engine = put (engines, "e0");

  send (engine, START_US, IN_HAND);
  leave (engine, START_US + LIMIT_US, IN_HAND);
  CU_ASSERT_FALSE (engine_is_ejected (engine, START_US + SILENCE_MAX_US, true));
}

/* Guards against error rates of silences by which a sound engine gets no requests. */
static void
test_engine_that_speaks_has_no_errors (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_t *engine = put (engines, "e0");
  engine_t *other = put (engines, "e1");
  engine_choice_t choice;

  send (other, START_US, 1);
  speak (other, START_US + 1);
  send (engine, START_US, IN_HAND + 1);
  leave (engine, START_US + LIMIT_US, IN_HAND);
  speak (engine, START_US + 2 * LIMIT_US);
  engine_end_request_at (engine, START_US + 2 * LIMIT_US);
  choice = choose (engines, START_US + 2 * LIMIT_US, NULL, 0);
  CU_ASSERT_EQUAL (choice.action, ENGINE_CHOICE_SEND);
  CU_ASSERT_PTR_EQUAL (choice.engine, engine);
}

/* Guards against a service without engines where all were silent at once and go on. */
static void
test_all_engines_speak_after_a_silence (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_t *all[] = { put (engines, "e0"), put (engines, "e1"), put (engines, "e2") };

  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    {
      send (all[i], START_US, IN_HAND);
      leave (all[i], START_US + LIMIT_US, IN_HAND);
    }
  CU_ASSERT_EQUAL (choose (engines, START_US + LIMIT_US, NULL, 0).action, ENGINE_CHOICE_SEND);
  CU_ASSERT_EQUAL (choose (engines, START_US + SILENCE_MAX_US, NULL, 0).action, ENGINE_CHOICE_SEND);
}

/* Guards against a request that finds no engine left, as one of two others was silent lately. */
static void
test_engine_that_was_silent_takes_requests_of_another (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_t *both[] = { put (engines, "e0"), put (engines, "e1") };
  uint64_t tried[] = { both[1]->hash };
  engine_choice_t choice;

  send (both[0], START_US, IN_HAND + 1);
  leave (both[0], START_US + LIMIT_US, IN_HAND);
  speak (both[0], START_US + 2 * LIMIT_US);
  send (both[1], START_US + LIMIT_US, 1);
  choice = choose (engines, START_US + 2 * LIMIT_US, tried, 1);
  CU_ASSERT_EQUAL (choice.action, ENGINE_CHOICE_SEND);
  CU_ASSERT_PTR_EQUAL (choice.engine, both[0]);
}

/* Guards against a dead host that gets requests though others are free. */
static void
test_dead_engine_is_avoided (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_t *engine = put (engines, "e0");
  engine_t *other = put (engines, "e1");

  send (engine, START_US, 1);
  send (other, START_US, 2);
  speak (other, START_US + LIMIT_US);
  CU_ASSERT_PTR_EQUAL (choose (engines, START_US + LIMIT_US, NULL, 0).engine, other);
}

/* Guards against an engine that counts as sound by a late byte of a stream, though it has refused
 * connections or broken off requests since it fell silent. */
static void
test_byte_ends_no_ejection_for_breaks (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_t *engine = put (engines, "e0");
  uint64_t now_us = START_US + LIMIT_US;

  send (engine, START_US, 2);
  leave (engine, now_us, 1);
  for (uint32_t i = 0; i < 4; i++)
    engine_note_failure (engine, now_us + i);
  speak (engine, now_us + CLOCK_US_PER_MS);
  CU_ASSERT (engine_is_ejected (engine, now_us + 2 * CLOCK_US_PER_MS, true));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_engine_that_speaks_is_not_silent),
    SUITE_TEST (test_silent_engine_is_probed_once_in_an_interval),
    SUITE_TEST (test_engine_that_speaks_is_used_at_once),
    SUITE_TEST (test_one_silence_counts_once),
    SUITE_TEST (test_engine_that_speaks_has_no_errors),
    SUITE_TEST (test_all_engines_speak_after_a_silence),
    SUITE_TEST (test_engine_that_was_silent_takes_requests_of_another),
    SUITE_TEST (test_dead_engine_is_avoided),
    SUITE_TEST (test_byte_ends_no_ejection_for_breaks),
    CU_TEST_INFO_NULL
  };

  return suite_run ("engine silence", tests);
}
