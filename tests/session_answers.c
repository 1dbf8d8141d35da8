/**
 * DOC: session_answers
 *
 * Engines that answer late, crossed, in part or not at all, callers that go away, and requests
 * that crash engines.
 */
#include "driver.h"

#include <string.h>

static void
engine_fault (drv_host_t *host, const char *fault)
{
  json_t *json = drv_quoted (fault);
  char *text = json_dumps (json, JSON_COMPACT);
  json_decref (drv_admin (host->engine, "POST", "/fault", text));
  json_decref (json);
  free (text);
}

static void
ask_and_tell (drv_t *drv, const drv_ask_t *ask)
{
  drv_call_t *call = drv_ask (drv, ask);
  drv_answered (call);
  drv_tell (call);
}

static bool
recorded (const drv_host_t *host, const char *state)
{
  g_autofree char *text = NULL;
  return g_file_get_contents (host->engine->record_path, &text, NULL, NULL) &&
         strstr (text, state) != NULL;
}

static bool
is_cancelled (void *context)
{
  return recorded (context, "\"cancelled\"");
}

static bool
is_done (void *context)
{
  return recorded (context, "\"done\"");
}

/* Answers that are late, another request's, or end without telling their length. The caller gets
 * an error that says that the request may have run, and the next caller its own answer. */
static void
test_wrong_answers (void)
{
  drv_t *drv = drv_new ("answers");
  drv_fleet_t fleet = { .model_hosts = 1, .plain_hosts = 1, .routers = 1 };
  drv_start (drv, &fleet);
  drv_host_t *model = &drv->hosts[0];
  drv_host_t *plain = &drv->hosts[1];
  ask_and_tell (drv, &(drv_ask_t){ .name = "first", .kind = DRV_BOOKING });
  engine_fault (plain, "{'late_ms': 2000}");
  ask_and_tell (drv, &(drv_ask_t){ .name = "late", .kind = DRV_BOOKING, .deadline_ms = 700 });
  ask_and_tell (drv, &(drv_ask_t){ .name = "after the late one", .kind = DRV_BOOKING });
  engine_fault (plain, "{'cross_ids': true}");
  ask_and_tell (drv, &(drv_ask_t){ .name = "crossed", .kind = DRV_BOOKING });
  engine_fault (plain, "{'no_length': true}");
  ask_and_tell (drv, &(drv_ask_t){ .name = "without a length", .kind = DRV_BOOKING });
  ask_and_tell (drv, &(drv_ask_t){ .name = "after these", .kind = DRV_BOOKING });
  engine_fault (model, "{'cut_after_tokens': 5}");
  ask_and_tell (drv, &(drv_ask_t){ .name = "cut in mid-stream", .stream = true, .tokens = 50 });
  engine_fault (model, "{'cut_after_tokens': 5}");
  ask_and_tell (drv, &(drv_ask_t){ .name = "tag, cut", .kind = DRV_TAG, .tokens = 50 });
  ask_and_tell (drv, &(drv_ask_t){ .name = "last", .stream = true, .tokens = 50 });
  drv_finish (drv);
}

/* A caller goes away in mid-stream: the engine is told to stop. With a tag, which may not be
 * repeated, it runs on to its end, or nobody could say what became of it. */
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
  drv_until (drv, DRV_WAIT_MS, "the engine to be told", is_cancelled, &drv->hosts[0]);
  drv_tell (call);
  drv_ask_t tag = { .name = "tag", .kind = DRV_TAG, .stream = true, .tokens = 100 };
  call = drv_ask (drv, &tag);
  drv_begun (call);
  drv_hang_up (call);
  drv_until (drv, DRV_WAIT_MS, "the end of the tag", is_done, &drv->hosts[0]);
  drv_tell (call);
  drv_finish (drv);
}

/* A chat crashes each engine that runs it, and its caller sends it again and again through both
 * routers. It may cost two engines, no more, and in the end the caller is told not to come back. */
static void
test_poison (void)
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
      drv_ask_t ask = { .name = name, .same_body_as = "POISON", .chat = "bad", .router = i % 2 };
      last = drv_ask (drv, &ask);
      drv_answered (last);
    }
  drv_tell (last);
  uint32_t crashed = 0;
  for (uint32_t i = 0; i < drv->host_count; i++)
    crashed += drv_reap (drv->hosts[i].engine) ? 1 : 0;
  drv_say (drv, "engines lost: %u", crashed);
  ask_and_tell (drv, &(drv_ask_t){ .name = "another chat", .chat = "good" });
  drv_finish (drv);
}

int
main (void)
{
  static const drv_test_t tests[] = { { "late, crossed and cut answers", test_wrong_answers },
                                      { "the caller goes away", test_caller_gone },
                                      { "requests that crash engines", test_poison } };
  return drv_main ("answers", tests, G_N_ELEMENTS (tests));
}
