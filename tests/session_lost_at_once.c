/**
 * DOC: session_lost_at_once
 *
 * All upstreams of one software version are killed at one moment while streams run at both versions
 * of a service, with real processes. All prompts share their first part. The streams of the other
 * version, which their callers take up again at other gateways, go on.
 */
#include "driver.h"

#include <CUnit/Basic.h>
#include <signal.h>
#include <string.h>

#define GATEWAYS 3
#define VERSIONS 2
#define UPSTREAMS_PER_VERSION 4
#define UPSTREAMS (VERSIONS * UPSTREAMS_PER_VERSION)
#define STREAMS 72
#define EVENTS 120
#define EVENT_MS 40
/* Events of each stream before the upstreams are killed: more than show its parts for sound. */
#define EVENTS_FIRST 82
#define ROUNDS 4
#define TRIES 3

/** struct stream - a stream of a caller; @call: its latest request */
typedef struct
{
  char id[32];
  driver_call_t *call;
  uint32_t gateway;
} stream_t;

/** struct fleet - the processes of the session, upstreams by version */
typedef struct
{
  driver_t *driver;
  driver_process_t *gateways[GATEWAYS];
  driver_process_t *upstreams[VERSIONS][UPSTREAMS_PER_VERSION];
  stream_t streams[STREAMS];
  uint32_t next_id;
  uint32_t registered;
} fleet_t;

static const char *const versions[VERSIONS] = { "v1", "v2" };

static const char config[] =
    "{\"version\":1,\"routes\":[{\"name\":\"talk\",\"host\":\"fleet\",\"path_prefix\":\"/talk/\","
    "\"kind\":\"stream\",\"timeout_ms\":8000,\"attempts\":2,\"service\":\"pool\",\"resumable\":"
    "true}],\"tenants\":[{\"name\":\"alpha\",\"api_keys\":[\"key-1\"]}]}";

static bool
all_registered (void *context)
{
  const fleet_t *fleet = context;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    if (driver_process_count_log_lines (fleet->gateways[i], ": peer_heard ", NULL) < GATEWAYS - 1 ||
        driver_process_count_log_lines (fleet->gateways[i], ": engine ", "state=ready") <
            fleet->registered ||
        driver_process_count_log_lines (fleet->gateways[i], ": ready ", NULL) == 0)
      return false;
  return true;
}

static void
wait_upstreams (fleet_t *fleet, uint32_t added)
{
  fleet->registered += added;
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "upstreams at all gateways",
                     all_registered, fleet);
}

static void
start_fleet (fleet_t *fleet)
{
  driver_start_platform (fleet->driver);
  driver_write_record (fleet->driver, "config", config);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      uint32_t version = i % VERSIONS;
      g_autofree char *name = g_strdup_printf ("upstream-%s-%u", versions[version], i / VERSIONS);

      fleet->upstreams[version][i / VERSIONS] = driver_start_upstream (
          fleet->driver, &(driver_upstream_t){ .name = name,
                                               .streams = true,
                                               .work_ms = EVENT_MS,
                                               .events = EVENTS,
                                               .slots = STREAMS,
                                               .software_version = versions[version] });
    }
  for (uint32_t i = 0; i < GATEWAYS; i++)
    {
      g_autofree char *name = g_strdup_printf ("gateway%u", i);

      fleet->gateways[i] = driver_start_gateway (fleet->driver, name, 250, 7000);
    }
  wait_upstreams (fleet, UPSTREAMS);
}

static void
send_stream (fleet_t *fleet, stream_t *stream, uint32_t gateway, const char *more)
{
  uint32_t number = ++fleet->next_id;
  g_autofree char *id = g_strdup_printf ("stream%u", number);
  g_autofree char *path = g_strdup_printf ("/talk/%s", stream->id[0] ? stream->id : id);
  g_autofree char *headers =
      g_strdup_printf ("X-Request-Id: %s\r\nX-Key: key-1\r\nX-Deadline-Ms: 7000\r\n"
                       "X-Token-Count: 1300,20\r\nX-Prompt-Prefix: f1f1:800,%x:400,%x:100\r\n%s",
                       id, 0x50b0 + number % 20, 0x10000000 + number, more);

  if (stream->id[0] == '\0')
    g_strlcpy (stream->id, id, sizeof stream->id);
  stream->gateway = gateway;
  stream->call =
      driver_send_http (fleet->driver, fleet->gateways[gateway]->ip, "POST", path, headers, "");
}

static uint32_t
count_events (const stream_t *stream)
{
  const char *body = stream->call->status == 200 ? stream->call->body->str : "";
  uint32_t count = 0;

  while ((body = strstr (body, "\n\n")))
    {
      body += strlen ("\n\n");
      count++;
    }
  return count;
}

static bool
has_begun (const stream_t *stream, uint32_t version)
{
  g_autofree char *last = g_strdup_printf (" %s\n\n", versions[version]);

  return stream->call->status == 200 && strstr (stream->call->body->str, last) != NULL;
}

static bool
all_have_begun (void *context)
{
  const fleet_t *fleet = context;

  for (uint32_t i = 0; i < STREAMS; i++)
    if (count_events (&fleet->streams[i]) < EVENTS_FIRST)
      return false;
  return true;
}

static void
begin_streams (fleet_t *fleet)
{
  memset (fleet->streams, 0, sizeof fleet->streams);
  for (uint32_t i = 0; i < STREAMS; i++)
    send_stream (fleet, &fleet->streams[i], i % GATEWAYS, "");
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "the first events", all_have_begun,
                     fleet);
}

/* A request without a prompt, which shows that not all requests have the first part. */
static void
answer_without_prompt (fleet_t *fleet)
{
  for (uint32_t i = 0; i < GATEWAYS; i++)
    driver_send_http (fleet->driver, fleet->gateways[i]->ip, "POST", "/talk/plain",
                      "X-Request-Id: plain\r\nX-Key: key-1\r\nX-Deadline-Ms: 7000\r\n", "");
  driver_wait_all_calls (fleet->driver);
}

static bool
both_versions_serve (void *context)
{
  fleet_t *fleet = context;
  uint32_t counts[VERSIONS] = { 0 };

  begin_streams (fleet);
  driver_wait_all_calls (fleet->driver);
  for (uint32_t i = 0; i < STREAMS; i++)
    for (uint32_t version = 0; version < VERSIONS; version++)
      counts[version] += has_begun (&fleet->streams[i], version) ? 1 : 0;
  answer_without_prompt (fleet);
  return counts[0] >= STREAMS / 4 && counts[1] >= STREAMS / 4;
}

static uint32_t
count_lines (const fleet_t *fleet, const char *what, const char *field)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    count += driver_process_count_log_lines (fleet->gateways[i], what, field);
  return count;
}

/* The callers of the first version's streams close their connections and resume at other gateways.
 */
static void
resume_streams (fleet_t *fleet, uint32_t *resumed, uint32_t *served)
{
  bool is_waiting[STREAMS] = { false };

  for (uint32_t i = 0; i < STREAMS; i++)
    is_waiting[i] = has_begun (&fleet->streams[i], 0);
  for (uint32_t try = 0; try < TRIES; try++)
    {
      for (uint32_t i = 0; i < STREAMS; i++)
        {
          stream_t *stream = &fleet->streams[i];
          g_autofree char *more = NULL;

          if (!is_waiting[i])
            continue;
          *resumed += try == 0 ? 1 : 0;
          if (try == 0)
            driver_call_cancel (stream->call);
          more = g_strdup_printf ("Last-Event-Id: %u\r\nResumes: %s\r\n",
                                  try == 0 ? count_events (stream) : EVENTS_FIRST, stream->id);
          send_stream (fleet, stream, (stream->gateway + 1) % GATEWAYS, more);
        }
      driver_wait_all_calls (fleet->driver);
      for (uint32_t i = 0; i < STREAMS; i++)
        if (is_waiting[i] && fleet->streams[i].call->status == 200)
          {
            is_waiting[i] = false;
            *served += 1;
          }
    }
}

/* Guards against sound streams that are refused for a part that all share, as upstreams that were
 * killed at one moment seem to have ended under it one after the other. */
static void
test_version_is_killed (void)
{
  fleet_t fleet = { .driver = driver_new ("lost_at_once") };

  start_fleet (&fleet);
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      uint32_t resumed = 0;
      uint32_t served = 0;

      driver_wait_until (fleet.driver, 4 * DRIVER_WAIT_LIMIT_MS, "streams at both versions",
                         both_versions_serve, &fleet);
      begin_streams (&fleet);
      for (uint32_t i = 0; i < UPSTREAMS_PER_VERSION; i++)
        driver_process_signal (fleet.upstreams[1][i], SIGKILL);
      resume_streams (&fleet, &resumed, &served);
      printf ("round %u: %u of %u resumed streams go on, parts blamed twice: %u\n", round, served,
              resumed, count_lines (&fleet, ": part_loss ", NULL));
      fflush (stdout);
      CU_ASSERT (resumed > 0);
      for (uint32_t i = 0; i < UPSTREAMS_PER_VERSION; i++)
        {
          driver_process_kill (fleet.upstreams[1][i]);
          driver_process_start (fleet.upstreams[1][i]);
        }
      wait_upstreams (&fleet, UPSTREAMS_PER_VERSION);
    }
  CU_ASSERT_EQUAL (count_lines (&fleet, ": part_loss ", NULL), 0);
  CU_ASSERT_EQUAL (count_lines (&fleet, ": refuse ", "reason=suspect"), 0);
  driver_transcript_add (fleet.driver, "no part is blamed, and no stream refused for one");
  driver_finish (fleet.driver);
}

int
main (void)
{
  static const driver_test_t tests[] = { { "all upstreams of a version are killed at one moment",
                                           test_version_is_killed } };

  return driver_main ("lost_at_once", tests, G_N_ELEMENTS (tests));
}
