/**
 * DOC: session_versions
 *
 * Streams beside upstreams of two software versions of one service, with real processes. What the
 * versions write doesn't fit together, so each stream may hold events of one only, whoever resumes
 * it: its gateway, when the upstream ends, or its caller, at any gateway. Each event names the
 * version that wrote it.
 */
#include "driver.h"

#include <CUnit/Basic.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define VERSIONS 2
#define VERSIONS_MAX 3 /* the last one joins in one test */
#define UPSTREAMS_PER_VERSION 2
#define UPSTREAMS (VERSIONS * UPSTREAMS_PER_VERSION)
#define STREAMS 12
#define EVENTS 24
#define EVENT_MS 40
#define EVENTS_FIRST 6  /* events of each stream before something happens */
#define RESUMED_MIN 6   /* of all streams, half must go on where a new one would begin */
#define REFUSED_MS 1000 /* what can't go on is refused within this time */

/**
 * struct stream - A stream of a caller, which may take several requests.
 * @id: Id of its first request.
 * @call: The latest request.
 * @gateway: Index of the gateway that it was sent to.
 * @version: Version of its first event, empty before that.
 * @last_event: Id of the last whole event.
 * @events_read: Events of the latest request that were applied.
 * @mixed: It holds events of two versions.
 * @broken: An event is missing or comes twice.
 */
typedef struct
{
  char id[32];
  driver_call_t *call;
  uint32_t gateway;
  char version[16];
  uint64_t last_event;
  uint32_t events_read;
  bool mixed;
  bool broken;
} stream_t;

/**
 * struct fleet - The processes of the session.
 * @upstreams: By version.
 * @proxy: Between the last gateway and the store, or NULL.
 * @uses_proxy: There is to be one.
 */
typedef struct
{
  driver_t *driver;
  driver_process_t *gateways[GATEWAYS];
  driver_process_t *upstreams[VERSIONS_MAX][UPSTREAMS_PER_VERSION];
  stream_t streams[STREAMS];
  uint32_t next_id;
  driver_proxy_t *proxy;
  bool uses_proxy;
} fleet_t;

static const char *const versions[VERSIONS_MAX] = { "v1", "v2", "v3" };

static const char config[] =
    "{\"version\":1,\"routes\":[{\"name\":\"talk\",\"host\":\"fleet\",\"path_prefix\":\"/talk/\","
    "\"kind\":\"stream\",\"timeout_ms\":8000,\"attempts\":2,\"service\":\"pool\",\"resumable\":"
    "true}],\"tenants\":[{\"name\":\"alpha\",\"api_keys\":[\"key-1\"]}]}";

static void
start_version (fleet_t *fleet, uint32_t version)
{
  for (uint32_t i = 0; i < UPSTREAMS_PER_VERSION; i++)
    {
      g_autofree char *name = g_strdup_printf ("upstream-%s-%u", versions[version], i);

      fleet->upstreams[version][i] = driver_start_upstream (
          fleet->driver, &(driver_upstream_t){ .name = name,
                                               .streams = true,
                                               .work_ms = EVENT_MS,
                                               .events = EVENTS,
                                               .software_version = versions[version] });
    }
}

/** struct wait - What a gateway's log must hold, besides that it has heard the other gateways. */
typedef struct
{
  const fleet_t *fleet;
  uint32_t gateway;
  uint32_t engines;
  uint32_t starts;
} wait_t;

static bool
has_engines (void *context)
{
  const wait_t *wait = context;
  const driver_process_t *gateway = wait->fleet->gateways[wait->gateway];

  if (driver_process_count_log_lines (gateway, ": peer_heard ", NULL) < GATEWAYS - 1)
    return false;
  return driver_process_count_log_lines (gateway, ": engine ", "state=ready") >= wait->engines &&
         driver_process_count_log_lines (gateway, ": ready ", NULL) >= wait->starts;
}

static void
wait_engines (const fleet_t *fleet, uint32_t engines)
{
  for (uint32_t i = 0; i < GATEWAYS; i++)
    {
      wait_t wait = { fleet, i, engines, 1 };

      driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "engines", has_engines, &wait);
    }
}

static driver_process_t *
start_gateway (fleet_t *fleet, uint32_t index)
{
  const char *platform = fleet->driver->platform->ip;
  bool uses_proxy = fleet->uses_proxy && index == GATEWAYS - 1;
  g_autofree char *name = g_strdup_printf ("gateway%u", index);

  if (uses_proxy)
    fleet->proxy = driver_proxy_new (fleet->driver, platform);
  return driver_start_gateway_through (
      fleet->driver, name, uses_proxy ? driver_proxy_ip (fleet->proxy) : platform, 250, 7000);
}

/* Starts the gateways; those of the second version start if @both. */
static void
start_fleet (fleet_t *fleet, bool both)
{
  driver_start_platform (fleet->driver);
  driver_write_record (fleet->driver, "config", config);
  start_version (fleet, 0);
  if (both)
    start_version (fleet, 1);
  for (uint32_t i = 0; i < GATEWAYS; i++)
    fleet->gateways[i] = start_gateway (fleet, i);
  wait_engines (fleet, both ? UPSTREAMS : UPSTREAMS_PER_VERSION);
}

static void
apply_event (stream_t *stream, const char *event)
{
  const char *data = strstr (event, "data: ");
  g_auto (GStrv) words = g_strsplit (data ? data : "", " ", 4);
  uint64_t id = g_ascii_strtoull (event + strlen ("id: "), NULL, 10);

  if (g_strv_length (words) != 4 || id != stream->last_event + 1)
    {
      stream->broken = true;
      return;
    }
  if (stream->version[0] == '\0')
    g_strlcpy (stream->version, words[3], sizeof stream->version);
  stream->mixed = stream->mixed || strcmp (stream->version, words[3]) != 0;
  stream->last_event = id;
}

/* Applies the new whole events of the latest request to the stream. */
static void
read_events (stream_t *stream)
{
  g_auto (GStrv) events = g_strsplit (stream->call->body->str, "\n\n", -1);
  uint32_t count = g_strv_length (events);

  if (stream->call->status != 200)
    return;
  for (; stream->events_read + 1 < count; stream->events_read++)
    apply_event (stream, events[stream->events_read]);
}

static bool
is_complete (const stream_t *stream)
{
  return stream->call->status == 200 && stream->call->outcome == DRIVER_OUTCOME_COMPLETE &&
         stream->last_event == EVENTS && !stream->broken;
}

static void
send_stream (fleet_t *fleet, stream_t *stream, uint32_t gateway, const char *more)
{
  g_autofree char *id = g_strdup_printf ("stream%u", ++fleet->next_id);
  g_autofree char *path = g_strdup_printf ("/talk/%s", stream->id[0] ? stream->id : id);
  g_autofree char *headers = g_strdup_printf ("X-Request-Id: %s\r\nX-Key: key-1\r\n"
                                              "X-Deadline-Ms: 7000\r\n%s",
                                              id, more);

  if (stream->id[0] == '\0')
    g_strlcpy (stream->id, id, sizeof stream->id);
  stream->gateway = gateway;
  stream->events_read = 0;
  stream->call =
      driver_send_http (fleet->driver, fleet->gateways[gateway]->ip, "POST", path, headers, "");
}

static bool
all_have_begun (void *context)
{
  fleet_t *fleet = context;

  for (uint32_t i = 0; i < STREAMS; i++)
    {
      stream_t *stream = &fleet->streams[i];

      read_events (stream);
      if (stream->last_event < EVENTS_FIRST)
        return false;
    }
  return true;
}

/* Begins all streams, in turn at @gateways gateways from the first on, and waits until each has its
 * first events. */
static void
begin_streams (fleet_t *fleet, uint32_t gateways)
{
  memset (fleet->streams, 0, sizeof fleet->streams);
  for (uint32_t i = 0; i < STREAMS; i++)
    send_stream (fleet, &fleet->streams[i], i % gateways, "");
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "the first events", all_have_begun,
                     fleet);
}

static void
end_streams (fleet_t *fleet)
{
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      driver_call_wait (fleet->streams[i].call);
      read_events (&fleet->streams[i]);
    }
}

/* The caller closes its connection, if that is still open, and resumes the stream. */
static void
resume_stream (fleet_t *fleet, stream_t *stream, uint32_t gateway)
{
  g_autofree char *more = NULL;

  driver_call_cancel (stream->call);
  read_events (stream);
  more = g_strdup_printf ("Last-Event-Id: %" G_GUINT64_FORMAT "\r\nResumes: %s\r\n",
                          stream->last_event, stream->id);
  send_stream (fleet, stream, gateway, more);
}

/* All callers resume what is not complete, each at a gateway other than @except; the last one
 * first, since gateways that choose in turn would choose alike in the same order. */
static uint32_t
resume_streams (fleet_t *fleet, uint32_t except)
{
  uint32_t resumed = 0;

  for (uint32_t i = STREAMS; i > 0; i--)
    {
      stream_t *stream = &fleet->streams[i - 1];
      uint32_t gateway = (stream->gateway + 1) % GATEWAYS;

      read_events (stream);
      if (is_complete (stream))
        continue;
      resume_stream (fleet, stream, gateway == except ? (gateway + 1) % GATEWAYS : gateway);
      resumed++;
    }
  end_streams (fleet);
  return resumed;
}

static uint32_t
count_mixed (const fleet_t *fleet)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < STREAMS; i++)
    count += fleet->streams[i].mixed ? 1 : 0;
  return count;
}

static uint32_t
count_broken (const fleet_t *fleet)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < STREAMS; i++)
    count += fleet->streams[i].broken ? 1 : 0;
  return count;
}

static uint32_t
count_complete (const fleet_t *fleet, const char *version)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < STREAMS; i++)
    count += is_complete (&fleet->streams[i]) &&
                     (!version || strcmp (fleet->streams[i].version, version) == 0)
                 ? 1
                 : 0;
  return count;
}

static uint32_t
count_of_version (const fleet_t *fleet, const char *version)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < STREAMS; i++)
    count += strcmp (fleet->streams[i].version, version) == 0 ? 1 : 0;
  return count;
}

static bool
both_versions_serve (void *context)
{
  fleet_t *fleet = context;

  begin_streams (fleet, GATEWAYS);
  end_streams (fleet);
  return count_of_version (fleet, "v1") > 0 && count_of_version (fleet, "v2") > 0;
}

/* A version that a gateway saw appear at its start takes streams after a moment. */
static void
start_both_versions (fleet_t *fleet)
{
  start_fleet (fleet, true);
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "streams at both versions",
                     both_versions_serve, fleet);
}

static void
check_streams (const fleet_t *fleet, uint32_t complete_min)
{
  CU_ASSERT_EQUAL (count_mixed (fleet), 0);
  CU_ASSERT_EQUAL (count_broken (fleet), 0);
  CU_ASSERT (count_complete (fleet, NULL) >= complete_min);
}

static void
finish (const fleet_t *fleet)
{
  driver_transcript_add (
      fleet->driver,
      "streams with events of two versions: %u, with events that are missing or come twice: %u",
      count_mixed (fleet), count_broken (fleet));
  driver_finish (fleet->driver);
}

/* Guards against streams that the gateway resumes, within the answer, at another version. */
static void
test_upstream_ends (void)
{
  fleet_t fleet = { .driver = driver_new ("versions") };

  start_both_versions (&fleet);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      driver_process_t *upstream = fleet.upstreams[i % VERSIONS][i / VERSIONS];

      begin_streams (&fleet, GATEWAYS);
      CU_ASSERT (count_of_version (&fleet, "v1") > 0 && count_of_version (&fleet, "v2") > 0);
      driver_process_kill (upstream);
      end_streams (&fleet);
      check_streams (&fleet, STREAMS);
      driver_process_start (upstream);
      wait_engines (&fleet, UPSTREAMS + 1 + i);
    }
  finish (&fleet);
}

static void
check_refusals (const fleet_t *fleet, const char *version)
{
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      const stream_t *stream = &fleet->streams[i];

      if (strcmp (stream->version, version) != 0)
        continue;
      CU_ASSERT_EQUAL (stream->call->status, 503);
      CU_ASSERT_PTR_NOT_NULL (driver_call_header (stream->call, "retry-after"));
      CU_ASSERT (stream->call->ended_us - stream->call->sent_us < REFUSED_MS * 1000);
    }
}

/* Guards against streams of a version that has no upstream left going on at another one. */
static void
test_version_ends (void)
{
  fleet_t fleet = { .driver = driver_new ("versions") };

  start_both_versions (&fleet);
  begin_streams (&fleet, GATEWAYS);
  for (uint32_t i = 0; i < UPSTREAMS_PER_VERSION; i++)
    driver_process_kill (fleet.upstreams[1][i]);
  end_streams (&fleet);
  CU_ASSERT_EQUAL (count_complete (&fleet, "v1"), count_of_version (&fleet, "v1"));
  CU_ASSERT (count_of_version (&fleet, "v2") > 0);
  resume_streams (&fleet, GATEWAYS);
  CU_ASSERT_EQUAL (count_mixed (&fleet), 0);
  check_refusals (&fleet, "v2");
  finish (&fleet);
}

/* Guards against streams that change versions when their callers resume them at another gateway. */
static void
test_other_gateway (void)
{
  fleet_t fleet = { .driver = driver_new ("versions") };

  start_both_versions (&fleet);
  begin_streams (&fleet, GATEWAYS);
  CU_ASSERT_EQUAL (resume_streams (&fleet, GATEWAYS), STREAMS);
  check_streams (&fleet, RESUMED_MIN);
  finish (&fleet);
}

/* Guards against streams that change versions, or are lost, when their gateway is killed. */
static void
test_gateway_killed (void)
{
  fleet_t fleet = { .driver = driver_new ("versions") };

  start_both_versions (&fleet);
  begin_streams (&fleet, 1);
  driver_process_kill (fleet.gateways[0]);
  CU_ASSERT_EQUAL (resume_streams (&fleet, 0), STREAMS);
  check_streams (&fleet, RESUMED_MIN);
  finish (&fleet);
}

static void
wait_started (fleet_t *fleet, uint32_t gateway, uint32_t starts)
{
  wait_t wait = { fleet, gateway, 0, starts };

  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "a gateway that is ready", has_engines,
                     &wait);
}

/* Guards against streams that change versions, or are lost, while gateways are restarted in turn.
 */
static void
test_restarted_in_turn (void)
{
  fleet_t fleet = { .driver = driver_new ("versions") };

  start_both_versions (&fleet);
  for (uint32_t i = 0; i < GATEWAYS; i++)
    {
      begin_streams (&fleet, GATEWAYS);
      driver_process_kill (fleet.gateways[i]);
      driver_process_start (fleet.gateways[i]);
      resume_streams (&fleet, i);
      check_streams (&fleet, RESUMED_MIN);
      wait_started (&fleet, i, 2);
    }
  finish (&fleet);
}

/* Guards against streams that go on at any version when no gateway is left that knows theirs. */
static void
test_restarted_at_once (void)
{
  fleet_t fleet = { .driver = driver_new ("versions") };

  start_both_versions (&fleet);
  begin_streams (&fleet, GATEWAYS);
  for (uint32_t i = 0; i < GATEWAYS; i++)
    driver_process_kill (fleet.gateways[i]);
  for (uint32_t i = 0; i < GATEWAYS; i++)
    driver_process_start (fleet.gateways[i]);
  for (uint32_t i = 0; i < GATEWAYS; i++)
    wait_started (&fleet, i, 2);
  resume_streams (&fleet, GATEWAYS);
  CU_ASSERT_EQUAL (count_mixed (&fleet), 0);
  finish (&fleet);
}

/* Guards against streams that are lost or change versions as a second version appears. */
static void
test_version_appears (void)
{
  fleet_t fleet = { .driver = driver_new ("versions") };

  start_fleet (&fleet, false);
  begin_streams (&fleet, GATEWAYS);
  start_version (&fleet, 1);
  wait_engines (&fleet, UPSTREAMS);
  resume_streams (&fleet, GATEWAYS);
  check_streams (&fleet, RESUMED_MIN);
  CU_ASSERT_EQUAL (count_of_version (&fleet, "v1"), STREAMS);
  finish (&fleet);
}

/* Guards against streams that go on behind their last event, which the caller has already. */
static void
test_resumed_at_its_end (void)
{
  fleet_t fleet = { .driver = driver_new ("versions") };

  start_fleet (&fleet, false);
  begin_streams (&fleet, GATEWAYS);
  end_streams (&fleet);
  CU_ASSERT_EQUAL (count_complete (&fleet, NULL), STREAMS);
  for (uint32_t i = 0; i < STREAMS; i++)
    resume_stream (&fleet, &fleet.streams[i], fleet.streams[i].gateway);
  end_streams (&fleet);
  for (uint32_t i = 0; i < STREAMS; i++)
    CU_ASSERT_EQUAL (fleet.streams[i].call->body->len, 0);
  CU_ASSERT_EQUAL (count_complete (&fleet, NULL), STREAMS);
  finish (&fleet);
}

/* Guards against streams that a gateway resumes by what it knew before it stood still. */
static void
test_paused_gateway (void)
{
  fleet_t fleet = { .driver = driver_new ("versions") };

  start_fleet (&fleet, false);
  driver_process_signal (fleet.gateways[2], SIGSTOP);
  start_version (&fleet, 1);
  for (uint32_t i = 0; i < GATEWAYS - 1; i++)
    {
      wait_t wait = { &fleet, i, UPSTREAMS, 1 };

      driver_wait_until (fleet.driver, DRIVER_WAIT_LIMIT_MS, "engines", has_engines, &wait);
    }
  driver_process_signal (fleet.gateways[2], SIGCONT);
  driver_wait_until (fleet.driver, DRIVER_WAIT_LIMIT_MS, "streams at the second version",
                     both_versions_serve, &fleet);
  driver_process_signal (fleet.gateways[2], SIGSTOP);
  begin_streams (&fleet, 2);
  for (uint32_t i = 0; i < STREAMS; i++)
    resume_stream (&fleet, &fleet.streams[i], 2);
  driver_process_signal (fleet.gateways[2], SIGCONT);
  end_streams (&fleet);
  CU_ASSERT_EQUAL (count_mixed (&fleet), 0);
  finish (&fleet);
}

static void
signal_others (const fleet_t *fleet, int number)
{
  for (uint32_t i = 0; i < GATEWAYS - 1; i++)
    driver_process_signal (fleet->gateways[i], number);
}

/** struct join - Waits until streams of the other gateways begin at a version. */
typedef struct
{
  fleet_t *fleet;
  const char *version;
} join_t;

static bool
has_joined (void *context)
{
  const join_t *join = context;

  begin_streams (join->fleet, GATEWAYS - 1);
  end_streams (join->fleet);
  return count_of_version (join->fleet, join->version) > 0;
}

static bool
go_on_at_last (void *context)
{
  fleet_t *fleet = context;

  for (uint32_t i = 0; i < STREAMS; i++)
    if (!is_complete (&fleet->streams[i]))
      resume_stream (fleet, &fleet->streams[i], GATEWAYS - 1);
  end_streams (fleet);
  return count_mixed (fleet) > 0 || count_complete (fleet, NULL) >= RESUMED_MIN;
}

/* Each resumption is answered: refused, or it goes on. */
static void
check_answers (const fleet_t *fleet)
{
  uint32_t refused = 0;
  uint32_t gone_on = 0;

  for (uint32_t i = 0; i < STREAMS; i++)
    {
      refused += fleet->streams[i].call->status == 503 ? 1 : 0;
      gone_on += fleet->streams[i].call->status == 200 ? 1 : 0;
    }
  printf ("\n  of v1 %u, v2 %u, v3 %u; refused %u, gone on %u\n", count_of_version (fleet, "v1"),
          count_of_version (fleet, "v2"), count_of_version (fleet, "v3"), refused, gone_on);
  CU_ASSERT_EQUAL (refused + gone_on, STREAMS);
  CU_ASSERT_EQUAL (count_mixed (fleet), 0);
}

/* The last gateway stands still, cut off from the store, while two versions join one after the
 * other. As it goes on, callers resume streams there that began at the others, which are silent. */
static void
check_cut_off (driver_proxy_mode_t store)
{
  fleet_t fleet = { .driver = driver_new ("versions"), .uses_proxy = true };
  driver_process_t *last;

  start_fleet (&fleet, false);
  last = fleet.gateways[GATEWAYS - 1];
  driver_process_signal (last, SIGSTOP);
  driver_proxy_set_mode (fleet.proxy, DRIVER_PROXY_HOLD_RESPONSE, NULL, 0);
  for (uint32_t i = 1; i < VERSIONS_MAX; i++)
    {
      join_t join = { &fleet, versions[i] };

      start_version (&fleet, i);
      driver_wait_until (fleet.driver, DRIVER_WAIT_LIMIT_MS, "streams at a version that joins",
                         has_joined, &join);
    }
  begin_streams (&fleet, GATEWAYS - 1);
  CU_ASSERT (count_of_version (&fleet, "v1") < STREAMS);
  signal_others (&fleet, SIGSTOP);
  driver_proxy_set_mode (fleet.proxy, store, NULL, 0);
  for (uint32_t i = 0; i < STREAMS; i++)
    resume_stream (&fleet, &fleet.streams[i], GATEWAYS - 1);
  driver_process_signal (last, SIGCONT);
  end_streams (&fleet);
  check_answers (&fleet);
  signal_others (&fleet, SIGCONT);
  driver_proxy_set_mode (fleet.proxy, DRIVER_PROXY_PASS, NULL, 0);
  driver_wait_until (fleet.driver, DRIVER_WAIT_LIMIT_MS, "streams that go on", go_on_at_last,
                     &fleet);
  CU_ASSERT_EQUAL (count_broken (&fleet), 0);
  finish (&fleet);
}

/* Guards against streams that go on at the only version that a gateway knew before it was cut off.
 */
static void
test_gateway_cut_off (void)
{
  check_cut_off (DRIVER_PROXY_HOLD_RESPONSE);
}

/* Guards against streams that change versions at a gateway that alone reaches the store. */
static void
test_gateway_alone (void)
{
  check_cut_off (DRIVER_PROXY_PASS);
}

int
main (void)
{
  static const driver_test_t tests[] = {
    { "an upstream ends under its streams", test_upstream_ends },
    { "the last upstreams of a version end", test_version_ends },
    { "callers resume at another gateway", test_other_gateway },
    { "a gateway is killed and callers resume at the others", test_gateway_killed },
    { "gateways are restarted in turn", test_restarted_in_turn },
    { "all gateways are restarted at once", test_restarted_at_once },
    { "callers resume at the end of their streams", test_resumed_at_its_end },
    { "a second version appears beside streams", test_version_appears },
    { "callers resume at a gateway that stood still", test_paused_gateway },
    { "callers resume at a gateway that stood still and is cut off as versions join",
      test_gateway_cut_off },
    { "callers resume at a gateway that stood still and alone reaches the store as versions join",
      test_gateway_alone }
  };

  return driver_main ("versions", tests, G_N_ELEMENTS (tests));
}
