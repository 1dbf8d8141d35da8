/**
 * DOC: session_answers
 *
 * Engines whose responses are late, belong to another request, or are incomplete; callers that
 * close their connection; and requests that crash engines.
 */
#include "driver.h"

#include <string.h>

static void
set_engine_fault (drv_host_t *host, const char *fault)
{
  json_t *json = drv_quoted (fault);
  char *text = json_dumps (json, JSON_COMPACT);
  json_decref (drv_admin (host->engine, "POST", "/fault", text));
  json_decref (json);
  free (text);
}

static void
run_request (drv_t *drv, const drv_ask_t *request)
{
  drv_call_t *call = drv_ask (drv, request);
  drv_answered (call);
  drv_tell (call);
}

static bool
has_record_state (const drv_host_t *host, const char *state)
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
  drv_t *drv = drv_new ("answers");
  drv_fleet_t fleet = { .model_hosts = 1, .plain_hosts = 1, .routers = 1 };
  drv_start (drv, &fleet);
  drv_host_t *model = &drv->hosts[0];
  drv_host_t *plain = &drv->hosts[1];
  run_request (drv, &(drv_ask_t){ .name = "first", .kind = DRV_BOOKING });
  set_engine_fault (plain, "{'late_ms': 2000}");
  run_request (drv, &(drv_ask_t){ .name = "late", .kind = DRV_BOOKING, .deadline_ms = 700 });
  run_request (drv, &(drv_ask_t){ .name = "after the late one", .kind = DRV_BOOKING });
  set_engine_fault (plain, "{'cross_ids': true}");
  run_request (drv, &(drv_ask_t){ .name = "crossed", .kind = DRV_BOOKING });
  set_engine_fault (plain, "{'no_length': true}");
  run_request (drv, &(drv_ask_t){ .name = "without a length", .kind = DRV_BOOKING });
  run_request (drv, &(drv_ask_t){ .name = "after these", .kind = DRV_BOOKING });
  set_engine_fault (model, "{'cut_after_tokens': 5}");
  run_request (drv, &(drv_ask_t){ .name = "cut in mid-stream", .stream = true, .tokens = 50 });
  set_engine_fault (model, "{'cut_after_tokens': 5}");
  run_request (drv, &(drv_ask_t){ .name = "tag, cut", .kind = DRV_TAG, .tokens = 50 });
  run_request (drv, &(drv_ask_t){ .name = "last", .stream = true, .tokens = 50 });
  drv_finish (drv);
}

/* A caller closes its connection during a stream: the engine is told to cancel the request. A tag
 * is not idempotent and runs to its end instead, as a cancelled one would be of unknown outcome. */
static void
test_caller_gone (void)
{
  drv_t *drv = drv_new ("caller_gone");
  drv_fleet_t fleet = { .model_hosts = 1, .plain_hosts = 1, .routers = 1 };
  drv_start (drv, &fleet);
  drv_ask_t chat = { .name = "chat", .stream = true, .tokens = 2000 };
  drv_call_t *call = drv_ask (drv, &chat);
  drv_begun (call);
  drv_hang_up (call);
  drv_until (drv, DRV_WAIT_MS, "the engine to cancel the chat", is_cancelled, &drv->hosts[0]);
  drv_tell (call);
  drv_ask_t tag = { .name = "tag", .kind = DRV_TAG, .stream = true, .tokens = 100 };
  call = drv_ask (drv, &tag);
  drv_begun (call);
  drv_hang_up (call);
  drv_until (drv, DRV_WAIT_MS, "the end of the tag", is_done, &drv->hosts[0]);
  drv_tell (call);
  drv_finish (drv);
}

/* A chat crashes each engine that runs it, and its caller sends it repeatedly through both routers.
 * It may crash at most two engines; after that the caller is told not to retry. */
static void
test_crashing_request (void)
{
  drv_t *drv = drv_new ("poison");
  drv_fleet_t fleet = {
    .model_hosts = 4, .plain_hosts = 1, .routers = 2, .engine_flags = "--crash-on=POISON"
  };
  drv_start (drv, &fleet);
  drv_call_t *last = NULL;
  for (uint32_t i = 0; i < 6; i++)
    {
      g_autofree char *name = g_strdup_printf ("sending %u", i);
      drv_ask_t request = {
        .name = name, .same_body_as = "POISON", .chat = "bad", .router = i % 2
      };
      last = drv_ask (drv, &request);
      drv_answered (last);
    }
  drv_tell (last);
  uint32_t crashed = 0;
  for (uint32_t i = 0; i < drv->host_count; i++)
    crashed += drv_reap (drv->hosts[i].engine) ? 1 : 0;
  drv_say (drv, "engines lost: %u", crashed);
  run_request (drv, &(drv_ask_t){ .name = "another chat", .chat = "good" });
  drv_finish (drv);
}

int
main (void)
{
  static const drv_test_t tests[] = { { "late, mismatched and truncated responses",
                                        test_faulty_responses },
                                      { "the caller closes its connection", test_caller_gone },
                                      { "requests that crash engines", test_crashing_request } };
  return drv_main ("answers", tests, G_N_ELEMENTS (tests));
}
