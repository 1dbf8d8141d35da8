/* Unit tests of stream_follow: when reads start, and how long they wait at the platform. */
#include "connection/stream_follower.h"
#include "raw_peer.h"
#include "suite.h"

#include <string.h>

#define WAIT_MS 1000
/* longer than a test lasts, so a read that waits for it is missed */
#define LONG_PACE_MS (60 * 1000)
#define RECORDED_CALLS 8

/** store_t - fake platform that records calls, which the test answers; @platform is first for the
 * cast
 */
typedef struct
{
  platform_t platform;
  uint32_t reads;
  uint32_t lists;
  uint64_t from[RECORDED_CALLS];
  uint32_t wait_ms[RECORDED_CALLS];
  platform_read_done_t read_done;
  platform_newest_done_t newest_done;
  void *context;
} store_t;

/** fixture_t - a follower and its platform */
typedef struct
{
  struct event_base *base;
  clock_source_t clock;
  counter_registry_t *counters;
  store_t store;
  keyed_view_t *view;
  stream_follower_t *follower;
} fixture_t;

static void
on_read (platform_t *platform,
         const char *stream,
         uint64_t from_offset,
         uint32_t max_records,
         uint32_t wait_ms,
         platform_read_done_t done,
         void *context)
{
  store_t *store = (store_t *)platform;

  (void)stream;
  (void)max_records;
  g_assert (store->reads < RECORDED_CALLS);
  store->from[store->reads] = from_offset;
  store->wait_ms[store->reads] = wait_ms;
  store->reads++;
  store->read_done = done;
  store->context = context;
}

static void
on_newest (platform_t *platform,
           const char *stream,
           const char *after_key,
           platform_newest_done_t done,
           void *context)
{
  store_t *store = (store_t *)platform;

  (void)stream;
  (void)after_key;
  store->lists++;
  store->newest_done = done;
  store->context = context;
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

static bool
has_listed_once (void *context)
{
  return ((const fixture_t *)context)->store.newest_done != NULL;
}

/* Returns a follower that has just listed a stream of @end_offset records. */
static fixture_t *
fixture_new (uint32_t pace_ms, uint64_t end_offset, bool resting)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);

  fixture->base = event_base_new ();
  clock_init_running (&fixture->clock);
  fixture->store.platform = (platform_t){ .read = on_read, .newest = on_newest };
  fixture->counters = counter_registry_new ();
  fixture->view = keyed_view_new (ignore_change, fixture, NULL, NULL);
  fixture->follower =
      stream_follower_new (&(stream_follower_options_t){ .base = fixture->base,
                                                         .clock = &fixture->clock,
                                                         .counters = fixture->counters,
                                                         .platform = &fixture->store.platform,
                                                         .stream = PLATFORM_STREAM_ROUTING,
                                                         .view = fixture->view,
                                                         .wait_ms = WAIT_MS,
                                                         .pace_ms = pace_ms,
                                                         .latest_only = true,
                                                         .on_event = ignore_state });
  stream_follower_set_on_demand (fixture->follower, resting);
  CU_ASSERT (raw_peer_run_until (fixture->base, has_listed_once, fixture));
  fixture->store.newest_done (
      &(platform_newest_t){ .outcome = PLATFORM_OK, .end.offset = end_offset },
      fixture->store.context);
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

static bool
has_read_once (void *context)
{
  return ((const fixture_t *)context)->store.reads >= 1;
}

static bool
has_read_twice (void *context)
{
  return ((const fixture_t *)context)->store.reads >= 2;
}

static void
answer_read (fixture_t *fixture, const platform_read_t *read)
{
  fixture->store.read_done (read, fixture->store.context);
}

/*
 * The store fails for eight seconds, and a version is published a second after it has recovered. If
 * a read that starts during the outage waited for records, the gateway would get no response until
 * that wait is over and would serve its clients by the old version until then.
 */
static void
test_read_in_an_outage_does_not_wait (void)
{
  fixture_t *fixture = fixture_new (STREAM_FOLLOWER_READ_INTERVAL_MIN_MS, 5, false);

  CU_ASSERT (raw_peer_run_until (fixture->base, has_read_once, fixture));
  CU_ASSERT_EQUAL (fixture->store.wait_ms[0], WAIT_MS);
  answer_read (fixture, &(platform_read_t){ .outcome = PLATFORM_UNKNOWN });
  CU_ASSERT (raw_peer_run_until (fixture->base, has_read_twice, fixture));
  CU_ASSERT_EQUAL (fixture->store.wait_ms[1], 0);
  fixture_free (fixture);
}

static bool
has_listed_twice (void *context)
{
  return ((const fixture_t *)context)->store.lists >= 2;
}

static uint64_t
offset_of (const fixture_t *fixture, const char *key)
{
  size_t bytes;
  position_t position;

  return keyed_view_get (fixture->view, key, &bytes, &position) ? position.offset : 0;
}

/*
 * Versions were published and a data centre was drained while this gateway did not read. Its read
 * returns the first record, and the end offset shows that there are newer ones. The newest of each
 * key must be listed at once: a pace later, the gateway would go on using a version that it knows
 * to be outdated. Reading only the last record would miss the drain before it.
 */
static void
test_series_is_listed_at_once (void)
{
  static const platform_record_t record = {
    .position.offset = 5, .key = "config", .data = "{}", .data_bytes = 2
  };
  static const platform_record_t listed[] = {
    { .position.offset = 8, .key = "config", .data = "{}", .data_bytes = 2 },
    { .position.offset = 6, .key = "drain/hall-1", .data = "x", .data_bytes = 1 },
  };
  fixture_t *fixture = fixture_new (LONG_PACE_MS, 5, false);

  CU_ASSERT (raw_peer_run_until (fixture->base, has_read_once, fixture));
  answer_read (fixture, &(platform_read_t){ .outcome = PLATFORM_OK,
                                            .next.offset = 6,
                                            .end.offset = 9,
                                            .records = &record,
                                            .record_count = 1 });
  CU_ASSERT (raw_peer_run_until (fixture->base, has_listed_twice, fixture));
  fixture->store.newest_done (&(platform_newest_t){ .outcome = PLATFORM_OK,
                                                    .end.offset = 9,
                                                    .records = listed,
                                                    .record_count = G_N_ELEMENTS (listed) },
                              fixture->store.context);
  CU_ASSERT_EQUAL (offset_of (fixture, "config"), 8);
  CU_ASSERT_EQUAL (offset_of (fixture, "drain/hall-1"), 6);
  CU_ASSERT (
      position_equal (stream_follower_next (fixture->follower), (position_t){ .offset = 9 }));
  CU_ASSERT_EQUAL (fixture->store.reads, 1);
  fixture_free (fixture);
}

/* A resting follower does not read by itself. On request it reads once, without a wait; when it no
 * longer rests, its reads wait for records again. */
static void
test_resting_reads_on_request (void)
{
  fixture_t *fixture = fixture_new (STREAM_FOLLOWER_READ_INTERVAL_MIN_MS, 5, true);

  raw_peer_run_ms (fixture->base, 4 * STREAM_FOLLOWER_READ_INTERVAL_MIN_MS);
  CU_ASSERT_EQUAL (fixture->store.reads, 0);
  stream_follower_read_soon (fixture->follower);
  CU_ASSERT (raw_peer_run_until (fixture->base, has_read_once, fixture));
  CU_ASSERT_EQUAL (fixture->store.wait_ms[0], 0);
  answer_read (fixture,
               &(platform_read_t){ .outcome = PLATFORM_OK, .next.offset = 5, .end.offset = 5 });
  raw_peer_run_ms (fixture->base, 4 * STREAM_FOLLOWER_READ_INTERVAL_MIN_MS);
  CU_ASSERT_EQUAL (fixture->store.reads, 1);
  stream_follower_set_on_demand (fixture->follower, false);
  CU_ASSERT (raw_peer_run_until (fixture->base, has_read_twice, fixture));
  CU_ASSERT_EQUAL (fixture->store.wait_ms[1], WAIT_MS);
  fixture_free (fixture);
}

/*
 * A read returns records, and the next one starts a pace later. With the full wait, the follower
 * would have no response for a pace and a wait: longer than the other hosts rest without news of
 * the store, so a hundred of them would read at the same time.
 */
static void
test_read_after_records_waits_less (void)
{
  static const platform_record_t record = {
    .position.offset = 5, .key = "config", .data = "{}", .data_bytes = 2
  };
  fixture_t *fixture = fixture_new (STREAM_FOLLOWER_READ_INTERVAL_MIN_MS, 5, false);

  CU_ASSERT (raw_peer_run_until (fixture->base, has_read_once, fixture));
  answer_read (fixture, &(platform_read_t){ .outcome = PLATFORM_OK,
                                            .next.offset = 6,
                                            .end.offset = 6,
                                            .records = &record,
                                            .record_count = 1 });
  clock_init_paused (&fixture->clock,
                     clock_now_us (&fixture->clock) + (uint64_t)WAIT_MS * CLOCK_US_PER_MS);
  CU_ASSERT (raw_peer_run_until (fixture->base, has_read_twice, fixture));
  CU_ASSERT_EQUAL (fixture->store.wait_ms[0], WAIT_MS);
  CU_ASSERT_EQUAL (fixture->store.wait_ms[1], MAX (WAIT_MS / STREAM_FOLLOWER_WAIT_MARGIN_DIVISOR,
                                                   STREAM_FOLLOWER_WAIT_MIN_MS));
  fixture_free (fixture);
}

/* A requested read fails and the owner requests another one at once: the backoff still applies. */
static void
test_resting_keeps_its_backoff (void)
{
  fixture_t *fixture = fixture_new (STREAM_FOLLOWER_READ_INTERVAL_MIN_MS, 5, true);

  stream_follower_read_soon (fixture->follower);
  CU_ASSERT (raw_peer_run_until (fixture->base, has_read_once, fixture));
  answer_read (fixture, &(platform_read_t){ .outcome = PLATFORM_REFUSED });
  for (uint32_t i = 0; i < 3; i++)
    stream_follower_read_soon (fixture->follower);
  raw_peer_run_ms (fixture->base, STREAM_FOLLOWER_BACKOFF_MIN_MS / 2);
  CU_ASSERT_EQUAL (fixture->store.reads, 1);
  CU_ASSERT (raw_peer_run_until (fixture->base, has_read_twice, fixture));
  fixture_free (fixture);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_read_in_an_outage_does_not_wait), SUITE_TEST (test_series_is_listed_at_once),
    SUITE_TEST (test_resting_reads_on_request),        SUITE_TEST (test_resting_keeps_its_backoff),
    SUITE_TEST (test_read_after_records_waits_less),   CU_TEST_INFO_NULL
  };

  return suite_run ("stream_follow", tests);
}
