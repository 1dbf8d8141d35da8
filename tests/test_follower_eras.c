/* Unit tests of a follower whose stream comes back from a copy, with responses in any order. No
 * sockets; the clock is paused. */
#include "base/log.h"
#include "connection/stream_follower.h"
#include "raw_peer.h"
#include "reference_store.h"
#include "suite.h"

#include <string.h>

#define START_US (UINT64_C (100) * CLOCK_US_PER_S)
#define PACE_MS 1000
#define CALLS_MAX 16

/** struct recorded_call - a call of the follower */
typedef struct
{
  uint64_t from;
  bool first_page;
  platform_read_done_t read_done;
  platform_newest_done_t newest_done;
  void *context;
} recorded_call_t;

/** struct fixture - a follower and its platform; @platform is first for the cast */
typedef struct
{
  platform_t platform;
  recorded_call_t calls[CALLS_MAX];
  uint32_t call_count;
  struct event_base *base;
  clock_source_t clock;
  counter_registry_t *counters;
  keyed_view_t *view;
  stream_follower_t *follower;
} fixture_t;

static recorded_call_t *
add_call (platform_t *platform, void *context)
{
  fixture_t *fixture = (fixture_t *)platform;

  g_assert (fixture->call_count < CALLS_MAX);
  fixture->calls[fixture->call_count].context = context;
  return &fixture->calls[fixture->call_count++];
}

static void
record_read (platform_t *platform,
             const char *stream,
             uint64_t from_offset,
             uint32_t max_records,
             uint32_t wait_ms,
             platform_read_done_t done,
             void *context)
{
  recorded_call_t *call = add_call (platform, context);

  (void)stream;
  (void)max_records;
  (void)wait_ms;
  call->from = from_offset;
  call->read_done = done;
}

static void
record_newest (platform_t *platform,
               const char *stream,
               const char *after_key,
               platform_newest_done_t done,
               void *context)
{
  recorded_call_t *call = add_call (platform, context);

  (void)stream;
  call->first_page = after_key == NULL;
  call->newest_done = done;
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

static fixture_t *
fixture_new (void)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);

  fixture->platform = (platform_t){ .read = record_read, .newest = record_newest };
  fixture->base = event_base_new ();
  clock_init_paused (&fixture->clock, START_US);
  fixture->counters = counter_registry_new ();
  fixture->view = keyed_view_new (ignore_change, NULL, NULL, NULL);
  fixture->follower =
      stream_follower_new (&(stream_follower_options_t){ .base = fixture->base,
                                                         .clock = &fixture->clock,
                                                         .counters = fixture->counters,
                                                         .platform = &fixture->platform,
                                                         .stream = PLATFORM_STREAM_ENGINES,
                                                         .view = fixture->view,
                                                         .wait_ms = 25000,
                                                         .pace_ms = PACE_MS,
                                                         .on_event = ignore_state });
  reference_run_timers (fixture->base);
  return fixture;
}

static void
fixture_free (fixture_t *fixture)
{
  stream_follower_free (fixture->follower);
  keyed_view_free (fixture->view);
  counter_registry_free (fixture->counters);
  event_base_free (fixture->base);
  g_free (fixture);
}

/* Lets the follower start what is due after @wait_ms. libevent's timers take the real time, so they
 * are started anew. */
static void
pass_time (fixture_t *fixture, uint32_t wait_ms)
{
  clock_advance (&fixture->clock, (uint64_t)wait_ms * CLOCK_US_PER_MS);
  stream_follower_suspend (fixture->follower);
  stream_follower_resume (fixture->follower);
  reference_run_timers (fixture->base);
}

static recorded_call_t *
last_call (fixture_t *fixture)
{
  return &fixture->calls[fixture->call_count - 1];
}

static void
answer_list (const recorded_call_t *call, position_t end, const char *key, bool more)
{
  platform_record_t record = {
    .position = { end.era, end.offset - 1 }, .key = key, .data = "x", .data_bytes = 1
  };

  CU_ASSERT_PTR_NOT_NULL_FATAL (call->newest_done);
  call->newest_done (
      &(platform_newest_t){
          .outcome = PLATFORM_OK, .end = end, .records = &record, .record_count = 1, .more = more },
      call->context);
}

/* A read that brings @key at the offset that it asked for. */
static void
answer_read (const recorded_call_t *call, uint64_t era, const char *key)
{
  platform_record_t record = {
    .position = { era, call->from }, .key = key, .data = "x", .data_bytes = 1
  };
  position_t next = { era, call->from + 1 };

  CU_ASSERT_PTR_NOT_NULL_FATAL (call->read_done);
  call->read_done (&(platform_read_t){ .outcome = PLATFORM_OK,
                                       .next = next,
                                       .end = next,
                                       .records = &record,
                                       .record_count = 1 },
                   call->context);
}

static void
answer_expired (const recorded_call_t *call, uint64_t era)
{
  CU_ASSERT_PTR_NOT_NULL_FATAL (call->read_done);
  call->read_done (&(platform_read_t){ .outcome = PLATFORM_EXPIRED, .end.era = era },
                   call->context);
}

static bool
has_key (const fixture_t *fixture, const char *key)
{
  size_t bytes;
  position_t position;

  return keyed_view_get (fixture->view, key, &bytes, &position) != NULL;
}

static bool
is_at (const fixture_t *fixture, uint64_t era, uint64_t offset)
{
  return position_equal (stream_follower_next (fixture->follower), (position_t){ era, offset });
}

/* Returns a follower that has listed five records of era 1 and waits for the next one. */
static fixture_t *
fixture_listed (void)
{
  fixture_t *fixture = fixture_new ();

  answer_list (last_call (fixture), (position_t){ 1, 5 }, "a", false);
  pass_time (fixture, PACE_MS);
  CU_ASSERT_PTR_NOT_NULL_FATAL (last_call (fixture)->read_done);
  return fixture;
}

/* Guards against a follower that reads on at an offset that the store gave out again: it would miss
 * all records before it. */
static void
test_read_from_an_era_before_brings_no_records (void)
{
  fixture_t *fixture = fixture_listed ();

  answer_read (last_call (fixture), 2, "middle");
  CU_ASSERT (!has_key (fixture, "middle"));
  pass_time (fixture, PACE_MS);
  CU_ASSERT (last_call (fixture)->first_page);
  answer_list (last_call (fixture), (position_t){ 2, 6 }, "b", false);
  CU_ASSERT (is_at (fixture, 2, 6));
  CU_ASSERT (has_key (fixture, "b"));
  fixture_free (fixture);
}

/* Guards against reads that ask for a position beyond the end without end, and against a follower
 * that stays at it. */
static void
test_follower_goes_back_with_the_stream (void)
{
  fixture_t *fixture = fixture_listed ();

  answer_expired (last_call (fixture), 2);
  pass_time (fixture, PACE_MS);
  answer_list (last_call (fixture), (position_t){ 2, 3 }, "a", false);
  CU_ASSERT (is_at (fixture, 2, 3));
  pass_time (fixture, PACE_MS);
  CU_ASSERT_EQUAL (last_call (fixture)->from, 3);
  answer_read (last_call (fixture), 2, "c");
  CU_ASSERT (has_key (fixture, "c"));
  fixture_free (fixture);
}

/* Guards against two halves of different registries that count as one: a key of the first half may
 * no longer exist. */
static void
test_pages_of_two_eras_are_no_listing (void)
{
  fixture_t *fixture = fixture_new ();

  answer_list (last_call (fixture), (position_t){ 1, 5 }, "a", true);
  pass_time (fixture, 0);
  CU_ASSERT (!last_call (fixture)->first_page);
  answer_list (last_call (fixture), (position_t){ 2, 4 }, "b", false);
  CU_ASSERT (!stream_follower_has_listed (fixture->follower));
  pass_time (fixture, PACE_MS);
  CU_ASSERT (last_call (fixture)->first_page);
  answer_list (last_call (fixture), (position_t){ 2, 4 }, "b", false);
  CU_ASSERT (is_at (fixture, 2, 4));
  fixture_free (fixture);
}

/* Guards against a page from before the store went away that ends the listing of the new era. */
static void
test_late_page_of_an_era_before_is_ignored (void)
{
  fixture_t *fixture = fixture_new ();
  recorded_call_t *late = last_call (fixture);

  stream_follower_note_era (fixture->follower, 2);
  answer_list (late, (position_t){ 1, 5 }, "a", false);
  CU_ASSERT (!stream_follower_has_listed (fixture->follower));
  pass_time (fixture, PACE_MS);
  answer_list (last_call (fixture), (position_t){ 2, 2 }, "a", false);
  CU_ASSERT (is_at (fixture, 2, 2));
  fixture_free (fixture);
}

/* Guards against a gateway that learns nothing for 25 s, as its read waits at a store that is gone;
 * the response may come late. */
static void
test_waiting_read_is_abandoned (void)
{
  fixture_t *fixture = fixture_listed ();
  recorded_call_t *waiting = last_call (fixture);

  stream_follower_note_era (fixture->follower, 2);
  reference_run_timers (fixture->base);
  CU_ASSERT (last_call (fixture)->first_page);
  answer_list (last_call (fixture), (position_t){ 2, 3 }, "a", false);
  answer_read (waiting, 1, "late");
  CU_ASSERT (!has_key (fixture, "late"));
  CU_ASSERT (is_at (fixture, 2, 3));
  fixture_free (fixture);
}

/* Guards against a response of a store that states no era before its first restoration, and that
 * comes after a peer has told of it. */
static void
test_late_response_without_an_era_is_of_its_call (void)
{
  fixture_t *fixture = fixture_new ();
  recorded_call_t *waiting;

  answer_list (last_call (fixture), (position_t){ 0, 5 }, "a", false);
  pass_time (fixture, PACE_MS);
  waiting = last_call (fixture);
  stream_follower_advance (fixture->follower, (position_t){ 1, 3 });
  reference_run_timers (fixture->base);
  answer_read (waiting, 0, "late");
  CU_ASSERT (!has_key (fixture, "late"));
  CU_ASSERT (is_at (fixture, 1, 3));
  CU_ASSERT_EQUAL (last_call (fixture)->from, 3);
  fixture_free (fixture);
}

static bool
has_three_calls (void *context)
{
  return ((const fixture_t *)context)->call_count >= 3;
}

/* Guards against 20 calls a second to a store that rejects the position which it has just listed.
 */
static void
test_rejected_position_is_listed_slowly (void)
{
  fixture_t *fixture = fixture_listed ();

  CU_ASSERT_EQUAL_FATAL (fixture->call_count, 2);
  answer_expired (last_call (fixture), 1);
  raw_peer_run_ms (fixture->base, 4 * STREAM_FOLLOWER_READ_INTERVAL_MIN_MS);
  CU_ASSERT_EQUAL (fixture->call_count, 2);
  CU_ASSERT (raw_peer_run_until (fixture->base, has_three_calls, fixture));
  CU_ASSERT (last_call (fixture)->first_page);
  fixture_free (fixture);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_read_from_an_era_before_brings_no_records),
                                       SUITE_TEST (test_follower_goes_back_with_the_stream),
                                       SUITE_TEST (test_pages_of_two_eras_are_no_listing),
                                       SUITE_TEST (test_late_page_of_an_era_before_is_ignored),
                                       SUITE_TEST (test_waiting_read_is_abandoned),
                                       SUITE_TEST (
                                           test_late_response_without_an_era_is_of_its_call),
                                       SUITE_TEST (test_rejected_position_is_listed_slowly),
                                       CU_TEST_INFO_NULL };

  log_init ("test-follower-eras", "test", LOG_LEVEL_DEBUG);
  return suite_run ("follower of several eras", tests);
}
