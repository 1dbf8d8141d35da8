/* Unit tests of how an engine that was silent is used again. */
#include "request/policy/engines/engines.h"
#include "suite.h"

#include <glib.h>

#define NOW_US (UINT64_C (1000) * 1000 * 1000)
#define MS UINT64_C (1000)
#define REQUESTS 30

static engines_t *
make_engines (engine_t **engine)
{
  engines_t *engines = engines_new ();

  *engine = engines_put (engines, NOW_US - 60000 * MS,
                         &(engine_entry_t){ .id = "e1",
                                            .service = "pool",
                                            .data_center = "dc-a",
                                            .software_version = "1",
                                            .state = ENGINE_READY,
                                            .slots = 128 });
  return engines;
}

/* Guards against an engine that is kept out for seconds because many requests were given up in one
 * silence. */
static void
test_one_silence_is_one_failure (void)
{
  engine_t *engine;
  engines_t *engines = make_engines (&engine);

  for (uint32_t i = 0; i < REQUESTS; i++)
    engine_note_silence (engine, NOW_US + i * MS);
  CU_ASSERT_TRUE (engine_is_ejected (engine, NOW_US + REQUESTS * MS, true));
  CU_ASSERT_FALSE (
      engine_is_ejected (engine, NOW_US + ENGINE_EJECTION_MIN_US + REQUESTS * MS, true));
  engines_free (engines);
}

/* Guards against a dead engine that takes as many requests as a sound one. */
static void
test_further_silences_eject_for_longer (void)
{
  engine_t *engine;
  engines_t *engines = make_engines (&engine);
  uint64_t at_us = NOW_US;
  uint64_t last_us = 0;

  engine_note_silence (engine, at_us);
  for (uint32_t i = 0; i < 6; i++)
    {
      uint64_t ejection_us;

      engine_note_silence (engine, at_us);
      ejection_us = engine->ejected_until_us - at_us;
      CU_ASSERT_TRUE (ejection_us > last_us || ejection_us == ENGINE_EJECTION_MAX_US);
      last_us = ejection_us;
      at_us = engine->ejected_until_us;
    }
  CU_ASSERT_EQUAL (last_us, ENGINE_EJECTION_MAX_US);
  engines_free (engines);
}

/* Guards against an engine that is kept out although it sends again. */
static void
test_byte_ends_the_ejection (void)
{
  engine_t *engine;
  engines_t *engines = make_engines (&engine);

  engine_note_silence (engine, NOW_US);
  engine_note_silence (engine, NOW_US);
  engine_note_byte (engine, NOW_US + 100 * MS);
  CU_ASSERT_FALSE (engine_is_ejected (engine, NOW_US + 100 * MS, false));
  CU_ASSERT_EQUAL (engine->last_byte_us, NOW_US + 100 * MS);
  engines_free (engines);
}

/* Guards against an engine that fails its requests and is used as it still sends bytes. */
static void
test_byte_excuses_no_failures (void)
{
  engine_t *engine;
  engines_t *engines = make_engines (&engine);

  engine_note_failure (engine, NOW_US);
  engine_note_failure (engine, NOW_US);
  engine_note_byte (engine, NOW_US + 100 * MS);
  CU_ASSERT_TRUE (engine_is_ejected (engine, NOW_US + 100 * MS, true));
  engines_free (engines);
}

/* Guards against a move to an engine whose streams are silent too, though nothing was sent there
 * since. */
static void
test_quiet_streams_are_seen (void)
{
  engine_t *engine;
  engines_t *engines = make_engines (&engine);

  engine_begin_request (engine, NOW_US);
  engine_note_byte (engine, NOW_US + 50 * MS);
  CU_ASSERT_FALSE (engine_is_quiet (engine, NOW_US + 50 * MS + ENGINE_SILENT_US - 1, 20 * MS));
  CU_ASSERT_TRUE (engine_is_quiet (engine, NOW_US + 50 * MS + ENGINE_SILENT_US, 20 * MS));
  engine_end_request (engine);
  CU_ASSERT_FALSE (engine_is_quiet (engine, NOW_US + 5000 * MS, 20 * MS));
  engines_free (engines);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_one_silence_is_one_failure),
                                       SUITE_TEST (test_further_silences_eject_for_longer),
                                       SUITE_TEST (test_byte_ends_the_ejection),
                                       SUITE_TEST (test_byte_excuses_no_failures),
                                       SUITE_TEST (test_quiet_streams_are_seen),
                                       CU_TEST_INFO_NULL };

  return suite_run ("silent_engine", tests);
}
