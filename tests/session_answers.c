/**
 * DOC: session_answers
 *
 * Engines whose responses are late, belong to another request, or are incomplete; callers that
 * close their connection; and requests that crash engines.
 */
#include "driver.h"

#include <string.h>

static void
set_engine_fault (driver_host_t *host, const char *fault)
{
  json_t *json = driver_parse_json (fault);
  char *text = json_dumps (json, JSON_COMPACT);
  json_decref (driver_admin_call (host->engine, "POST", "/fault", text));
  json_decref (json);
  free (text);
}

static void
run_request (driver_t *driver, const driver_request_t *request)
{
  driver_call_t *call = driver_send_request (driver, request);
  driver_call_wait (call);
  driver_transcript_add_call (call);
}

static bool
has_record_state (const driver_host_t *host, const char *state)
{
  g_autofree char *text = NULL;
  return g_file_get_contents (host->engine->record_path, &text, NULL, NULL) &&
         strstr (text, state) != NULL;
}

static bool
is_cancelled (void *context)
{
  return has_record_state (context, "\"cancelled\"");
}

static bool
is_done (void *context)
{
  return has_record_state (context, "\"done\"");
}

/* Responses that arrive late, belong to another request, have no length, or are truncated. The
 * caller gets an error that says that the request may have run, and the next caller gets its own
 * response.
 */
static void
test_faulty_responses (void)
{
  driver_t *driver = driver_new ("answers");
  driver_fleet_t fleet = { .model_hosts = 1, .plain_hosts = 1, .routers = 1 };
  driver_start (driver, &fleet);
  driver_host_t *model = &driver->hosts[0];
  driver_host_t *plain = &driver->hosts[1];
  run_request (driver, &(driver_request_t){ .name = "first", .kind = DRIVER_BOOKING });
  set_engine_fault (plain, "{'late_ms': 2000}");
  run_request (driver,
               &(driver_request_t){ .name = "late", .kind = DRIVER_BOOKING, .deadline_ms = 700 });
  run_request (driver, &(driver_request_t){ .name = "after the late one", .kind = DRIVER_BOOKING });
  set_engine_fault (plain, "{'cross_ids': true}");
  run_request (driver, &(driver_request_t){ .name = "crossed", .kind = DRIVER_BOOKING });
  set_engine_fault (plain, "{'no_length': true}");
  run_request (driver, &(driver_request_t){ .name = "without a length", .kind = DRIVER_BOOKING });
  run_request (driver, &(driver_request_t){ .name = "after these", .kind = DRIVER_BOOKING });
  set_engine_fault (model, "{'cut_after_tokens': 5}");
  run_request (driver,
               &(driver_request_t){ .name = "cut in mid-stream", .stream = true, .tokens = 50 });
  set_engine_fault (model, "{'cut_after_tokens': 5}");
  run_request (driver, &(driver_request_t){ .name = "tag, cut", .kind = DRIVER_TAG, .tokens = 50 });
  run_request (driver, &(driver_request_t){ .name = "last", .stream = true, .tokens = 50 });
  driver_finish (driver);
}

/* A caller closes its connection during a stream: the engine is told to cancel the request. A tag
 * is not idempotent and runs to its end instead, as a cancelled one would be of unknown outcome. */
static void
test_caller_gone (void)
{
  driver_t *driver = driver_new ("caller_gone");
  driver_fleet_t fleet = { .model_hosts = 1, .plain_hosts = 1, .routers = 1 };
  driver_start (driver, &fleet);
  driver_request_t chat = { .name = "chat", .stream = true, .tokens = 2000 };
  driver_call_t *call = driver_send_request (driver, &chat);
  driver_call_wait_body (call);
  driver_call_cancel (call);
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "the engine to cancel the chat", is_cancelled,
                     &driver->hosts[0]);
  driver_transcript_add_call (call);
  driver_request_t tag = { .name = "tag", .kind = DRIVER_TAG, .stream = true, .tokens = 100 };
  call = driver_send_request (driver, &tag);
  driver_call_wait_body (call);
  driver_call_cancel (call);
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "the end of the tag", is_done,
                     &driver->hosts[0]);
  driver_transcript_add_call (call);
  driver_finish (driver);
}

/* A chat crashes each engine that runs it, and its caller sends it repeatedly through both routers.
 * It may crash at most two engines; after that the caller is told not to retry. */
static void
test_crashing_request (void)
{
  driver_t *driver = driver_new ("poison");
  driver_fleet_t fleet = {
    .model_hosts = 4, .plain_hosts = 1, .routers = 2, .engine_flags = "--crash-on=POISON"
  };
  driver_start (driver, &fleet);
  driver_call_t *last = NULL;
  for (uint32_t i = 0; i < 6; i++)
    {
      g_autofree char *name = g_strdup_printf ("sending %u", i);
      driver_request_t request = {
        .name = name, .same_body_as = "POISON", .chat = "bad", .router = i % 2
      };
      last = driver_send_request (driver, &request);
      driver_call_wait (last);
    }
  driver_transcript_add_call (last);
  uint32_t crashed = 0;
  for (uint32_t i = 0; i < driver->host_count; i++)
    crashed += driver_process_reap (driver->hosts[i].engine) ? 1 : 0;
  driver_transcript_add (driver, "engines lost: %u", crashed);
  run_request (driver, &(driver_request_t){ .name = "another chat", .chat = "good" });
  driver_finish (driver);
}

int
main (void)
{
  static const driver_test_t tests[] = { { "late, mismatched and truncated responses",
                                           test_faulty_responses },
                                         { "the caller closes its connection", test_caller_gone },
                                         { "requests that crash engines", test_crashing_request } };
  return driver_main ("answers", tests, G_N_ELEMENTS (tests));
}
