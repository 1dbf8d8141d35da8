/* Unit tests of a gateway's own entry in the registry, beside a store that comes back from a copy.
 * No sockets; the clock is paused. */
#include "process/own_entry.h"
#include "reference_store.h"
#include "request/policy/store/restoration.h"
#include "suite.h"

#include <string.h>

#define START_US (UINT64_C (100) * CLOCK_US_PER_S)
#define NAME "gateway-1"
#define VALUE "0 10.0.0.1:1 10.0.0.1:2"

/** struct fixture - an own entry and its registry; @platform is first for the cast */
typedef struct
{
  platform_t platform;
  platform_append_done_t put_done;
  void *put_context;
  platform_newest_done_t newest_done;
  void *newest_context;
  uint32_t puts;
  struct event_base *base;
  clock_source_t clock;
  counter_registry_t *counters;
  keyed_view_t *view;
  stream_follower_t *follower;
  own_entry_t *own_entry;
} fixture_t;

static void
record_put (platform_t *platform,
            const char *stream,
            const char *key,
            const char *data,
            size_t data_bytes,
            platform_append_done_t done,
            void *context)
{
  fixture_t *fixture = (fixture_t *)platform;

  CU_ASSERT_STRING_EQUAL (stream, PLATFORM_STREAM_ROUTERS);
  CU_ASSERT_STRING_EQUAL (key, NAME);
  CU_ASSERT_NSTRING_EQUAL (data, VALUE, data_bytes);
  fixture->puts++;
  fixture->put_done = done;
  fixture->put_context = context;
}

static void
record_newest (platform_t *platform,
               const char *stream,
               const char *after_key,
               platform_newest_done_t done,
               void *context)
{
  fixture_t *fixture = (fixture_t *)platform;

  (void)stream;
  (void)after_key;
  fixture->newest_done = done;
  fixture->newest_context = context;
}

static void
ignore_read (platform_t *platform,
             const char *stream,
             uint64_t from_offset,
             uint32_t max_records,
             uint32_t wait_ms,
             platform_read_done_t done,
             void *context)
{
  (void)platform;
  (void)stream;
  (void)from_offset;
  (void)max_records;
  (void)wait_ms;
  (void)done;
  (void)context;
}

static void
ignore_change (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  (void)key;
  (void)value;
  (void)value_bytes;
  (void)position;
  (void)context;
}

static void
ignore_state (stream_follower_state_t state, void *context)
{
  (void)state;
  (void)context;
}

/* Answers the list of the registry with the own entry, or with nothing. */
static void
list_registry (fixture_t *fixture, uint64_t era, bool has_entry)
{
  platform_record_t record = {
    .position.era = era, .key = NAME, .data = VALUE, .data_bytes = strlen (VALUE)
  };

  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->newest_done);
  fixture->newest_done (&(platform_newest_t){ .outcome = PLATFORM_OK,
                                              .records = &record,
                                              .record_count = has_entry ? 1 : 0,
                                              .end = { era, has_entry ? 1 : 0 } },
                        fixture->newest_context);
  fixture->newest_done = NULL;
}

/* Lets the registry be listed in a new era. */
static void
restore_registry (fixture_t *fixture, uint64_t era, bool has_entry)
{
  stream_follower_note_era (fixture->follower, era);
  stream_follower_suspend (fixture->follower);
  stream_follower_resume (fixture->follower);
  reference_run_timers (fixture->base);
  list_registry (fixture, era, has_entry);
  own_entry_check_again (fixture->own_entry);
}

static void
pass_time (fixture_t *fixture, uint64_t us)
{
  clock_advance (&fixture->clock, us);
  own_entry_write_if_due (fixture->own_entry);
}

static fixture_t *
fixture_new (uint64_t seed)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);

  fixture->platform =
      (platform_t){ .put = record_put, .newest = record_newest, .read = ignore_read };
  fixture->base = event_base_new ();
  clock_init_paused (&fixture->clock, START_US);
  fixture->counters = counter_registry_new ();
  fixture->view = keyed_view_new (ignore_change, NULL, NULL, NULL);
  fixture->follower =
      stream_follower_new (&(stream_follower_options_t){ .base = fixture->base,
                                                         .clock = &fixture->clock,
                                                         .counters = fixture->counters,
                                                         .platform = &fixture->platform,
                                                         .stream = PLATFORM_STREAM_ROUTERS,
                                                         .view = fixture->view,
                                                         .on_event = ignore_state });
  fixture->own_entry = own_entry_new (&(own_entry_options_t){ .clock = &fixture->clock,
                                                              .counters = fixture->counters,
                                                              .platform = &fixture->platform,
                                                              .name = NAME,
                                                              .value = VALUE,
                                                              .view = fixture->view,
                                                              .follower = fixture->follower,
                                                              .seed = seed });
  reference_run_timers (fixture->base);
  return fixture;
}

static void
fixture_free (fixture_t *fixture)
{
  own_entry_free (fixture->own_entry);
  stream_follower_free (fixture->follower);
  keyed_view_free (fixture->view);
  counter_registry_free (fixture->counters);
  event_base_free (fixture->base);
  g_free (fixture);
}

/* A restart writes nothing that the registry has, also after the store came back from a copy. */
static void
test_entry_that_the_registry_has_is_not_written (void)
{
  fixture_t *fixture = fixture_new (1);

  list_registry (fixture, 1, true);
  pass_time (fixture, 0);
  restore_registry (fixture, 2, true);
  pass_time (fixture, RESTORATION_REWRITE_SPREAD_US);
  pass_time (fixture, CLOCK_US_PER_S);
  CU_ASSERT_EQUAL (fixture->puts, 0);
  fixture_free (fixture);
}

/* Guards against a gateway that counts as registered by a write which the store has lost. */
static void
test_write_of_an_era_before_does_not_count (void)
{
  fixture_t *fixture = fixture_new (1);

  list_registry (fixture, 1, false);
  pass_time (fixture, 0);
  CU_ASSERT_EQUAL_FATAL (fixture->puts, 1);
  restore_registry (fixture, 2, false);
  fixture->put_done (PLATFORM_OK, (position_t){ 1, 7 }, fixture->put_context);
  pass_time (fixture, RESTORATION_REWRITE_SPREAD_US);
  CU_ASSERT_EQUAL (fixture->puts, 2);
  fixture->put_done (PLATFORM_OK, (position_t){ 2, 0 }, fixture->put_context);
  pass_time (fixture, CLOCK_US_PER_S);
  CU_ASSERT_EQUAL (fixture->puts, 2);
  fixture_free (fixture);
}

/* Likewise for a store that states no era before it came back for the first time. */
static void
test_late_write_without_an_era_does_not_count (void)
{
  fixture_t *fixture = fixture_new (1);

  list_registry (fixture, 0, false);
  pass_time (fixture, 0);
  restore_registry (fixture, 1, false);
  fixture->put_done (PLATFORM_OK, (position_t){ 0, 7 }, fixture->put_context);
  pass_time (fixture, RESTORATION_REWRITE_SPREAD_US);
  CU_ASSERT_EQUAL (fixture->puts, 2);
  fixture_free (fixture);
}

static void
read_record (fixture_t *fixture, uint64_t offset, const char *value)
{
  keyed_view_apply (fixture->view, (position_t){ 1, offset }, NAME, value,
                    value ? strlen (value) : 0);
  stream_follower_advance (fixture->follower, (position_t){ 1, offset + 1 });
}

/* Guards against a gateway that stays lost to the others since another writer wrote under its name.
 */
static void
test_entry_of_another_writer_is_replaced (void)
{
  static const char *const odd_values[] = { "[[[[", "0 10.0.0.1:70000 10.0.0.1:2", NULL };
  fixture_t *fixture = fixture_new (1);
  uint64_t offset = 7;

  list_registry (fixture, 1, false);
  pass_time (fixture, 0);
  CU_ASSERT_EQUAL_FATAL (fixture->puts, 1);
  for (uint32_t i = 0; i < G_N_ELEMENTS (odd_values); i++, offset += 2)
    {
      fixture->put_done (PLATFORM_OK, (position_t){ 1, offset }, fixture->put_context);
      pass_time (fixture, RESTORATION_REWRITE_SPREAD_US);
      CU_ASSERT_EQUAL (fixture->puts, i + 1);
      read_record (fixture, offset, VALUE);
      pass_time (fixture, RESTORATION_REWRITE_SPREAD_US);
      CU_ASSERT_EQUAL (fixture->puts, i + 1);
      read_record (fixture, offset + 1, odd_values[i]);
      pass_time (fixture, 0);
      pass_time (fixture, RESTORATION_REWRITE_SPREAD_US);
      CU_ASSERT_EQUAL_FATAL (fixture->puts, i + 2);
    }
  fixture_free (fixture);
}

/* Likewise where the registry had the entry at the start. */
static void
test_listed_entry_is_replaced_when_another_writer_changes_it (void)
{
  fixture_t *fixture = fixture_new (1);

  list_registry (fixture, 1, true);
  pass_time (fixture, 0);
  read_record (fixture, 3, "7");
  pass_time (fixture, 0);
  pass_time (fixture, RESTORATION_REWRITE_SPREAD_US);
  CU_ASSERT_EQUAL (fixture->puts, 1);
  fixture_free (fixture);
}

#define GATEWAYS 880
#define SLOTS 10

/* Guards against 880 writes at the same moment. */
static void
test_gateways_write_at_different_times (void)
{
  uint32_t writes[SLOTS] = { 0 };
  uint32_t total = 0;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    {
      fixture_t *fixture = fixture_new (i);

      list_registry (fixture, 1, true);
      pass_time (fixture, 0);
      restore_registry (fixture, 2, false);
      for (uint32_t slot = 0; slot < SLOTS; slot++)
        {
          uint32_t before = fixture->puts;

          pass_time (fixture, RESTORATION_REWRITE_SPREAD_US / SLOTS);
          writes[slot] += fixture->puts - before;
        }
      total += fixture->puts;
      fixture_free (fixture);
    }
  CU_ASSERT_EQUAL (total, GATEWAYS);
  for (uint32_t slot = 0; slot < SLOTS; slot++)
    CU_ASSERT (writes[slot] < 2 * GATEWAYS / SLOTS);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_entry_that_the_registry_has_is_not_written),
    SUITE_TEST (test_write_of_an_era_before_does_not_count),
    SUITE_TEST (test_late_write_without_an_era_does_not_count),
    SUITE_TEST (test_entry_of_another_writer_is_replaced),
    SUITE_TEST (test_listed_entry_is_replaced_when_another_writer_changes_it),
    SUITE_TEST (test_gateways_write_at_different_times),
    CU_TEST_INFO_NULL
  };

  return suite_run ("own entry", tests);
}
