/* Tests of whole gateways beside a store that comes back from a copy some seconds old: offsets go
 * back and are given out again, and records since the copy are gone. */
#include "base/log.h"
#include "gateway_rig.h"
#include "suite.h"

#include <CUnit/Basic.h>

#define VERSION_GAUGE "medlarplank_version"
#define GATEWAYS 4

/** version_wait_t - context of all_have_version() */
typedef struct
{
  const gateway_rig_t *rig;
  uint64_t version;
} version_wait_t;

static bool
all_have_version (void *context)
{
  const version_wait_t *wait = context;

  for (uint32_t i = 0; i < wait->rig->gateway_count; i++)
    if (gateway_rig_counter (wait->rig, i, VERSION_GAUGE) != wait->version)
      return false;
  return true;
}

static bool
reach_version (gateway_rig_t *rig, uint64_t version)
{
  version_wait_t wait = { rig, version };

  return raw_peer_run_until (rig->base, all_have_version, &wait);
}

static void
publish (gateway_rig_t *rig, uint32_t first, uint32_t last)
{
  for (uint32_t version = first; version <= last; version++)
    gateway_rig_publish_config (rig, version, "");
}

/* A version at an offset that an older version had before the store went back is not taken for the
 * older one. */
static void
test_version_after_a_restored_store_is_in_force (void)
{
  g_autoptr (gateway_rig_t) rig = gateway_rig_new (GATEWAYS);

  publish (rig, 2, 3);
  fake_store_copy (rig->store);
  publish (rig, 4, 7);
  CU_ASSERT_TRUE_FATAL (reach_version (rig, 7));
  fake_store_restore (rig->store);
  publish (rig, 7, 8);
  CU_ASSERT_TRUE (reach_version (rig, 8));
}

/* Nor is it passed over when the store has given out all the offsets again before the next read. */
static void
test_version_behind_offsets_given_out_again_is_in_force (void)
{
  g_autoptr (gateway_rig_t) rig = gateway_rig_new (GATEWAYS);

  publish (rig, 2, 2);
  fake_store_copy (rig->store);
  publish (rig, 3, 4);
  CU_ASSERT_TRUE_FATAL (reach_version (rig, 4));
  fake_store_restore (rig->store);
  publish (rig, 4, 5);
  fake_store_put (rig->store, PLATFORM_STREAM_ROUTING, "drain/hall-9", "x");
  fake_store_put (rig->store, PLATFORM_STREAM_ROUTING, "drain/hall-9", NULL);
  CU_ASSERT_TRUE (reach_version (rig, 5));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_version_after_a_restored_store_is_in_force),
    SUITE_TEST (test_version_behind_offsets_given_out_again_is_in_force), CU_TEST_INFO_NULL
  };

  log_init ("test-store-restored", "test", LOG_LEVEL_DEBUG);
  return suite_run ("store restored from a copy", tests);
}
