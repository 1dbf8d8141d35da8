/* Unit tests of engines of several software versions in one service: which of them a stream may go
 * on at, and what a gateway concludes from the versions that it has seen. */
#include "request/policy/engine_choice.h"
#include "suite.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC (engines_t, engines_free)

#define S_US (UINT64_C (1000) * 1000)
#define NOW_US (100 * S_US)
#define SLOTS 8

static engine_t *
put (engines_t *engines, uint64_t now_us, const char *id, uint64_t software_hash)
{
  engine_entry_t entry = { .service = g_intern_static_string ("pool"),
                           .slots = SLOTS,
                           .software_hash = software_hash,
                           .state = ENGINE_READY };

  g_strlcpy (entry.id, id, sizeof entry.id);
  g_strlcpy (entry.data_center, "hall-1", sizeof entry.data_center);
  return engines_put (engines, now_us, &entry);
}

static engine_choice_t
choose (const engines_t *engines, uint64_t version, uint64_t affinity)
{
  return engine_choice_make (engines_of_service (engines, g_intern_static_string ("pool")), NOW_US,
                             &(engine_choice_request_t){ .affinity = affinity,
                                                         .own_data_center = "hall-1",
                                                         .version = version });
}

/* Guards against a stream that goes on at an engine of another version, because that has less load
 * or caches its prompt. */
static void
test_stream_stays_at_its_version (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  const engine_t *first = put (engines, NOW_US, "e0", 1);
  engine_t *second = put (engines, NOW_US, "e1", 2);

  engines_set_complete (engines);
  for (uint32_t i = 0; i < SLOTS - 1; i++)
    engine_begin_request (second, NOW_US);
  for (uint64_t affinity = 0; affinity < 50; affinity++)
    {
      CU_ASSERT_PTR_EQUAL (choose (engines, second->version, affinity).engine, second);
      CU_ASSERT_PTR_EQUAL (choose (engines, first->version, affinity).engine, first);
    }
  while (second->own_requests > 0)
    engine_end_request (second);
}

/* Guards against a stream that waits, or goes elsewhere, when no engine of its version is left. */
static void
test_stream_of_a_lost_version_has_no_engine (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  uint64_t version = put (engines, NOW_US, "e1", 2)->version;

  put (engines, NOW_US, "e0", 1);
  engines_remove (engines, NOW_US, "e1");
  CU_ASSERT_EQUAL (choose (engines, version, 0).action, ENGINE_CHOICE_NONE);
  CU_ASSERT_EQUAL (choose (engines, 0, 0).action, ENGINE_CHOICE_SEND);
}

/* Guards against a version of one service being taken for that of another. */
static void
test_versions_are_of_a_service (void)
{
  g_autoptr (engines_t) engines = engines_new ();
  engine_entry_t entry = { .id = "e9",
                           .service = g_intern_static_string ("ledger"),
                           .software_hash = 1,
                           .state = ENGINE_READY };

  CU_ASSERT_NOT_EQUAL (put (engines, NOW_US, "e0", 1)->version,
                       engines_put (engines, NOW_US, &entry)->version);
  CU_ASSERT_EQUAL (put (engines, NOW_US, "e1", 1)->version,
                   put (engines, NOW_US, "e2", 1)->version);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    SUITE_TEST (test_stream_stays_at_its_version),
    SUITE_TEST (test_stream_of_a_lost_version_has_no_engine),
    SUITE_TEST (test_versions_are_of_a_service),
    CU_TEST_INFO_NULL,
  };

  return suite_run ("software_versions", tests);
}
