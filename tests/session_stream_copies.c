/**
 * DOC: session_stream_copies
 *
 * Streams that can't be resumed, with real processes: upstreams are killed while they write them.
 * Once a loss was observed, the streams go on from the copies of their runs' caches; where the copy
 * is lost too, they are cut and never run twice. What ran is read from the records of the
 * upstreams.
 */
#include "driver.h"

#include <CUnit/Basic.h>
#include <string.h>

#define UPSTREAMS 8 /* so many that the streams of one fit within the load bound of the others */
#define STREAMS 12
#define EVENTS 60
#define EVENT_MS 20
#define SEEN_EVENTS 3 /* events of each stream that have come before its upstream is killed */

static const char config[] =
    "{\"version\":1,\"routes\":[{\"name\":\"tell\",\"host\":\"fleet\",\"path_prefix\":\"/tell/\","
    "\"kind\":\"stream\",\"timeout_ms\":8000,\"attempts\":1,\"service\":\"pool\"}],"
    "\"services\":[{\"name\":\"pool\",\"engine\":{\"kv_token_bytes\":163840,"
    "\"link_mbps\":740000,\"backups\":true,\"handle_s\":5}}],"
    "\"tenants\":[{\"name\":\"alpha\",\"api_keys\":[\"key-1\"]}]}";

/** struct scene - The processes, and the streams of callers. */
typedef struct
{
  driver_t *driver;
  driver_process_t *gateway;
  driver_process_t *upstreams[UPSTREAMS];
  driver_call_t *calls[STREAMS];
} scene_t;

static bool
knows_upstreams (void *context)
{
  const scene_t *scene = context;

  return driver_process_count_log_lines (scene->gateway, ": engine ", "state=ready") >= UPSTREAMS &&
         driver_process_count_log_lines (scene->gateway, ": ready ", NULL) > 0;
}

static void
start (scene_t *scene, const char *name)
{
  *scene = (scene_t){ .driver = driver_new (name) };
  driver_start_platform (scene->driver);
  driver_write_record (scene->driver, "config", config);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      g_autofree char *upstream = g_strdup_printf ("upstream%u", i);

      scene->upstreams[i] = driver_start_upstream (
          scene->driver,
          &(driver_upstream_t){
              .name = upstream, .streams = true, .work_ms = EVENT_MS, .events = EVENTS });
    }
  scene->gateway = driver_start_gateway (scene->driver, "gateway0", 500, 4000);
  driver_wait_until (scene->driver, DRIVER_WAIT_LIMIT_MS, "upstreams", knows_upstreams, scene);
}

static driver_call_t *
send_stream (const scene_t *scene, const char *id)
{
  g_autofree char *path = g_strdup_printf ("/tell/%s", id);
  g_autofree char *headers = g_strdup_printf ("X-Request-Id: %s\r\nX-Key: key-1\r\n"
                                              "X-Deadline-Ms: 8000\r\nX-Token-Count: 829,60\r\n",
                                              id);

  return driver_send_http (scene->driver, scene->gateway->ip, "POST", path, headers, "");
}

/* Return: The events of a stream, which must have the numbers from 1 on. */
static uint32_t
count_events (const driver_call_t *call)
{
  uint32_t count = 0;

  for (const char *at = call->body->str; (at = strstr (at, "id: ")); at++)
    {
      CU_ASSERT_EQUAL (g_ascii_strtoull (at + strlen ("id: "), NULL, 10), count + 1);
      count++;
    }
  return count;
}

static bool
are_under_way (void *context)
{
  const scene_t *scene = context;

  for (uint32_t i = 0; i < STREAMS; i++)
    if (!scene->calls[i]->has_head || count_events (scene->calls[i]) < SEEN_EVENTS)
      return false;
  return true;
}

/* Return: How often the upstream began to run a request. */
static uint32_t
count_begins (const driver_process_t *upstream, const char *id)
{
  g_autofree char *text = NULL;
  g_autofree char *word = g_strdup_printf (" %s ", id);
  g_auto (GStrv) lines = NULL;
  uint32_t count = 0;

  if (!g_file_get_contents (upstream->record_path, &text, NULL, NULL))
    return 0;
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line; line++)
    count += g_str_has_prefix (*line, "begin ") && strstr (*line, word) ? 1 : 0;
  return count;
}

static uint32_t
count_streams (const driver_process_t *upstream)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < STREAMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("stream-%u", i);

      count += count_begins (upstream, id);
    }
  return count;
}

static driver_process_t *
find_busiest (const scene_t *scene)
{
  driver_process_t *busiest = NULL;

  for (uint32_t i = 0; i < UPSTREAMS; i++)
    if (scene->upstreams[i]->pid > 0 &&
        (!busiest || count_streams (scene->upstreams[i]) > count_streams (busiest)))
      busiest = scene->upstreams[i];
  return busiest;
}

static bool
has_begun (void *context)
{
  return strstr (((const driver_call_t *)context)->body->str, "id: 1\n") != NULL;
}

/* Kills an upstream in mid-stream: nothing was lost before, so its stream has no copy. A whole
 * stream before it shows how long runs take, and gives the gateway a retry budget. */
static void
observe_loss (scene_t *scene)
{
  driver_call_t *call = send_stream (scene, "whole");

  driver_call_wait (call);
  call = send_stream (scene, "first");
  driver_wait_until (scene->driver, DRIVER_WAIT_LIMIT_MS, "first event", has_begun, call);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    if (count_begins (scene->upstreams[i], "first") > 0)
      driver_process_kill (scene->upstreams[i]);
  driver_call_wait (call);
  CU_ASSERT_NOT_EQUAL (call->outcome, DRIVER_OUTCOME_COMPLETE);
  CU_ASSERT_EQUAL (driver_process_count_log_lines (scene->gateway, ": backup ", NULL), 0);
}

static void
begin_streams (scene_t *scene)
{
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("stream-%u", i);

      scene->calls[i] = send_stream (scene, id);
    }
  driver_wait_until (scene->driver, DRIVER_WAIT_LIMIT_MS, "streams", are_under_way, scene);
}

/* Return: Streams that came whole. */
static uint32_t
finish_streams (scene_t *scene)
{
  uint32_t whole = 0;

  for (uint32_t i = 0; i < STREAMS; i++)
    {
      driver_call_wait (scene->calls[i]);
      if (scene->calls[i]->outcome == DRIVER_OUTCOME_COMPLETE)
        {
          CU_ASSERT_EQUAL (count_events (scene->calls[i]), EVENTS);
          whole++;
        }
    }
  return whole;
}

static uint32_t
count_all_begins (const scene_t *scene)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < UPSTREAMS; i++)
    count += count_streams (scene->upstreams[i]);
  return count;
}

/* Guards against streams that end with their upstream although their run is copied to another one.
 */
static void
test_streams_go_on (void)
{
  scene_t scene;
  uint32_t lost;

  start (&scene, "stream_copies");
  observe_loss (&scene);
  begin_streams (&scene);
  driver_process_kill (find_busiest (&scene));
  CU_ASSERT_EQUAL (finish_streams (&scene), STREAMS);
  lost = count_all_begins (&scene) - STREAMS;
  CU_ASSERT (lost > 0);
  CU_ASSERT_EQUAL (driver_process_count_log_lines (scene.gateway, ": retry ", "outcome=from_copy"),
                   lost);
  driver_transcript_add (scene.driver, "streams of a killed upstream go on from their copies");
  driver_finish (scene.driver);
}

/* Guards against a second run of a stream whose upstream and copy are both lost. */
static void
test_lost_copies (void)
{
  scene_t scene;
  driver_process_t *upstream;

  start (&scene, "stream_copies_lost");
  observe_loss (&scene);
  begin_streams (&scene);
  while ((upstream = find_busiest (&scene)))
    driver_process_kill (upstream);
  CU_ASSERT_EQUAL (finish_streams (&scene), 0);
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("stream-%u", i);
      uint32_t begins = 0;

      for (uint32_t j = 0; j < UPSTREAMS; j++)
        begins += count_begins (scene.upstreams[j], id);
      CU_ASSERT (begins >= 1 && begins <= 3);
      CU_ASSERT (count_events (scene.calls[i]) < EVENTS);
    }
  driver_transcript_add (scene.driver, "streams that lost their copy too are cut, none runs twice");
  driver_finish (scene.driver);
}

int
main (void)
{
  static const driver_test_t tests[] = {
    { "streams of a killed upstream go on", test_streams_go_on },
    { "streams whose copy is lost too", test_lost_copies },
  };

  return driver_main ("stream_copies", tests, G_N_ELEMENTS (tests));
}
