/* Streams without end that are read: those of one engine took the whole time of a gateway, and new
 * callers were turned away for as long as they lasted. */
#define _GNU_SOURCE /* RUSAGE_THREAD */
#include "base/limits.h"
#include "connection/read_pace.h"
#include "event_flood.h"
#include "gateway_rig.h"
#include "suite.h"

#include <signal.h>
#include <string.h>
#include <sys/resource.h>

#define SECOND_US UINT64_C (1000000)
#define STREAMS 24
#define NEW_CALLERS 100
#define EVENT_LINES 3
#define EVENT_BYTES_MAX 32
#define READ_COST_MAX_BYTES (UINT64_C (2) * 1024 * 1024)
#define STREAM_REQUEST                                                                             \
  "POST /talk/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Key: key-1\r\n"                \
  "Content-Length: 0\r\n\r\n"

static uint64_t
cpu_us (void)
{
  struct rusage usage;

  getrusage (RUSAGE_THREAD, &usage);
  return (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * SECOND_US +
         (uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

static void
register_flood (gateway_rig_t *rig, const address_t *flood_address)
{
  g_autofree char *address = address_to_text (flood_address);
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"pool\",\"addr\":\"%s\",\"zone\":"
      "\"hall-1\",\"version\":\"\",\"cold_left_ms\":0,\"seq\":1,\"slots\":64,\"state\":\"ready\"}",
      address);

  fake_store_put (rig->store, PLATFORM_STREAM_ENGINES, "flood", text);
  CU_ASSERT_TRUE_FATAL (gateway_rig_wait_counter (rig, "medlarplank_engines", 1));
}

static bool
are_all_read (void *context)
{
  return event_flood_reading (context, 0) == STREAMS;
}

/** struct measured - processor time and elapsed time; the start of both until measure_end() */
typedef struct
{
  uint64_t used_us;
  uint64_t took_us;
} measured_t;

static measured_t
measure_begin (void)
{
  return (measured_t){ cpu_us (), (uint64_t)g_get_monotonic_time () };
}

static void
measure_end (measured_t *measured, const char *name)
{
  measured->used_us = cpu_us () - measured->used_us;
  measured->took_us = (uint64_t)g_get_monotonic_time () - measured->took_us;
  if (g_getenv ("ENDLESS_PRINT"))
    printf ("\n    %s: processor time %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT " us", name,
            measured->used_us, measured->took_us);
  CU_ASSERT_TRUE (measured->used_us < measured->took_us / 2);
}

static void
serve_new_callers (gateway_rig_t *rig)
{
  for (int i = 0; i < NEW_CALLERS; i++)
    {
      raw_peer_t *raw = gateway_rig_fetch (rig, "GET", "/look/", "");

      CU_ASSERT_TRUE (g_str_has_prefix (raw->received->str, "HTTP/1.1 200"));
      raw_peer_free (raw);
      raw_peer_run_ms (rig->base, 10);
    }
}

/* What @streams may cost in a time: each its burst and one read beyond it */
static uint64_t
cost_bound (uint32_t streams, uint64_t took_us)
{
  return streams * (LIMIT_HTTP_READ_BURST_BYTES + READ_COST_MAX_BYTES) +
         (LIMIT_HTTP_READ_SHARED_BYTES_PER_S +
          (uint64_t)streams * LIMIT_HTTP_READ_RESERVE_BYTES_PER_S) *
             took_us / SECOND_US;
}

/* New callers are served beside the streams, which leave half of the processor time */
static void
call_beside_streams (bool is_chunked)
{
  g_autoptr (gateway_rig_t) rig = gateway_rig_new (1);
  address_t address;
  event_flood_t *flood = event_flood_new (is_chunked, &address);
  measured_t measured = measure_begin ();
  uint64_t lines;

  register_flood (rig, &address);
  for (int i = 0; i < STREAMS; i++)
    event_flood_call (flood, &rig->gateways[0].address, STREAM_REQUEST);
  CU_ASSERT_TRUE (raw_peer_run_until (rig->base, are_all_read, flood));
  serve_new_callers (rig);
  measure_end (&measured, is_chunked ? "streams in chunks" : "streams until close");
  lines = EVENT_LINES * event_flood_read_bytes (flood) / EVENT_BYTES_MAX;
  CU_ASSERT_TRUE (lines * LIMIT_HTTP_EVENT_LINE_COST_BYTES <=
                  cost_bound (STREAMS, measured.took_us));
  event_flood_free (flood);
}

static void
test_new_callers_beside_endless_streams (void)
{
  call_beside_streams (true);
  call_beside_streams (false);
}

static bool
has_uploads (void *context)
{
  return event_flood_uploads (context) >= STREAMS;
}

static void
call_beside_uploads (const char *name, const char *head)
{
  g_autoptr (gateway_rig_t) rig = gateway_rig_new (1);
  address_t address;
  event_flood_t *flood = event_flood_new (true, &address);
  measured_t measured = measure_begin ();

  register_flood (rig, &address);
  for (int i = 0; i < STREAMS; i++)
    event_flood_upload (flood, &rig->gateways[0].address, head);
  CU_ASSERT_TRUE (raw_peer_run_until (rig->base, has_uploads, flood));
  serve_new_callers (rig);
  measure_end (&measured, name);
  if (g_getenv ("ENDLESS_PRINT"))
    printf (", %u uploads", event_flood_uploads (flood));
  event_flood_free (flood);
}

/* Callers that send bodies without end, each on one connection after another */
static void
test_new_callers_beside_endless_requests (void)
{
  static const char begin[] = "POST /talk/ HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\n";
  g_autofree char *length = g_strconcat (begin, "Content-Length: 999999999\r\n\r\n", NULL);
  g_autofree char *chunk =
      g_strconcat (begin, "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", NULL);

  call_beside_uploads ("bodies with a length", length);
  call_beside_uploads ("bodies in a chunk", chunk);
}

/* Whatever the number of connections and how much each asks for, all of them together read no more
 * than the shared rate beside what each has of its own */
static void
play_heavy (uint32_t count, uint64_t asked_bytes_per_s)
{
  const uint64_t step_us = 1000;
  const uint64_t seconds = 10;
  read_share_t share = { 0 };
  read_pace_t *paces = g_new0 (read_pace_t, count);
  uint64_t *free_us = g_new0 (uint64_t, count);
  uint64_t *read_bytes = g_new0 (uint64_t, count);
  uint64_t all_bytes = 0;
  uint64_t least = UINT64_MAX;
  uint64_t most = 0;

  for (uint32_t i = 0; i < count; i++)
    read_pace_init (&paces[i], 0);
  for (uint64_t now_us = 0; now_us < seconds * SECOND_US; now_us += step_us)
    for (uint32_t i = 0; i < count; i++)
      {
        uint64_t bytes = asked_bytes_per_s * step_us / SECOND_US;

        if (now_us < free_us[i])
          continue;
        free_us[i] = now_us + read_pace_spend (&paces[i], &share, now_us, bytes);
        read_bytes[i] += bytes;
      }
  for (uint32_t i = 0; i < count; i++)
    {
      all_bytes += read_bytes[i];
      least = MIN (least, read_bytes[i]);
      most = MAX (most, read_bytes[i]);
      read_pace_leave (&paces[i], &share);
    }
  if (g_getenv ("ENDLESS_PRINT"))
    printf ("\n    %u of %" G_GUINT64_FORMAT " KB/s: %" G_GUINT64_FORMAT " KB/s in all", count,
            asked_bytes_per_s / 1024, all_bytes / seconds / 1024);
  CU_ASSERT_EQUAL (share.heavy_count, 0);
  CU_ASSERT_TRUE (all_bytes <= seconds * LIMIT_HTTP_READ_SHARED_BYTES_PER_S +
                                   count * (2 * (uint64_t)LIMIT_HTTP_READ_BURST_BYTES +
                                            seconds * LIMIT_HTTP_READ_RESERVE_BYTES_PER_S));
  CU_ASSERT_TRUE (most <= least + 2 * (uint64_t)LIMIT_HTTP_READ_BURST_BYTES);
  g_free (paces);
  g_free (free_us);
  g_free (read_bytes);
}

static void
test_shared_rate (void)
{
  for (uint32_t count = 1; count <= 256; count *= 2)
    for (uint64_t rate = 1024 * 1024; rate <= UINT64_C (256) * 1024 * 1024; rate *= 2)
      play_heavy (count, rate);
}

/* A stream of tokens never waits, even beside many that send without end */
static void
test_light_beside_heavy (void)
{
  read_share_t share = { .heavy_count = 1000 };
  read_pace_t pace;

  read_pace_init (&pace, 0);
  for (uint64_t now_us = 0; now_us < 60 * SECOND_US; now_us += 20000)
    CU_ASSERT_EQUAL_FATAL (read_pace_spend (&pace, &share, now_us, 4096), 0);
  CU_ASSERT_EQUAL (share.heavy_count, 1000);
}

/* A large response goes at the full rate of a connection while no other needs it */
static void
test_large_alone (void)
{
  read_share_t share = { 0 };
  read_pace_t pace;
  uint64_t now_us = 0;

  read_pace_init (&pace, 0);
  for (uint64_t bytes = 0; bytes < UINT64_C (64) * 1024 * 1024; bytes += 16384)
    now_us += read_pace_spend (&pace, &share, now_us, 16384);
  CU_ASSERT_TRUE (now_us <= 4 * SECOND_US);
  CU_ASSERT_EQUAL (share.heavy_count, 1);
  CU_ASSERT_EQUAL (read_pace_spend (&pace, &share, now_us + SECOND_US, 1), 0);
  CU_ASSERT_EQUAL (share.heavy_count, 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "shared rate", test_shared_rate },
    { "light beside heavy", test_light_beside_heavy },
    { "large alone", test_large_alone },
    { "new callers beside endless streams", test_new_callers_beside_endless_streams },
    { "new callers beside endless requests", test_new_callers_beside_endless_requests },
    CU_TEST_INFO_NULL,
  };

  signal (SIGPIPE, SIG_IGN);
  return suite_run ("stream_flood", tests);
}
