/**
 * DOC: session_path
 *
 * Requests of all kinds through a fleet without faults, and requests that are refused because of an
 * error of the caller.
 */
#include "driver.h"

#define BODY_LIMIT_BYTES 65536

/* The second request of a chat, through another router, goes to the engine that answered the first
 * and finds its prompt in the cache. */
static void
send_chat_twice (drv_t *drv)
{
  g_autofree char *history = g_strnfill (4000, 'h');
  drv_ask_t request = { .name = "chat comes", .chat = "c1", .text = history };
  drv_call_t *first = drv_ask (drv, &request);
  drv_answered (first);
  request.name = "chat returns by the other router";
  request.router = 1;
  drv_call_t *second = drv_ask (drv, &request);
  drv_answered (second);
  drv_tell (first);
  drv_tell (second);
  const char *cached = drv_header (second, "x-cached-tokens");
  drv_say (drv, "  same engine: %s",
           g_strcmp0 (drv_header (first, "x-medlarplank-engine"),
                      drv_header (second, "x-medlarplank-engine")) == 0
               ? "yes"
               : "no");
  drv_say (drv, "  prompt cached: %s",
           cached != NULL && g_ascii_strtoull (cached, NULL, 10) > 900 ? "yes" : "no");
}

static void
send_invalid_requests (drv_t *drv)
{
  g_autofree char *large = g_strnfill (BODY_LIMIT_BYTES, 'x');
  drv_ask_t requests[] = {
    { .name = "no such key", .authorization = "Bearer nobody" },
    { .name = "a body that is too large", .text = large },
  };
  for (uint32_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      drv_call_t *call = drv_ask (drv, &requests[i]);
      drv_answered (call);
      drv_tell (call);
    }
  drv_call_t *broken = drv_send (drv, drv->routers[0]->ip, "POST", "/v1/chat/completions",
                                 "Authorization: Bearer key-alpha\r\n", "{\"model\":");
  broken->name = g_strdup ("a body that is no JSON");
  drv_answered (broken);
  drv_tell (broken);
}

static void
test_path (void)
{
  drv_t *drv = drv_new ("path");
  drv_fleet_t fleet = {
    .model_hosts = 3, .plain_hosts = 2, .routers = 2, .daemon_flags = "--body-limit-bytes=65536"
  };
  drv_start (drv, &fleet);
  drv_ask_t requests[] = {
    { .name = "plain chat" },
    { .name = "streamed chat", .stream = true, .tokens = 20 },
    { .name = "tag", .kind = DRV_TAG },
    { .name = "tag with a key", .kind = DRV_TAG, .key = "t1" },
    { .name = "lookup", .kind = DRV_LOOKUP, .account = "beta" },
    { .name = "booking", .kind = DRV_BOOKING },
    { .name = "booking with a key", .kind = DRV_BOOKING, .key = "b1" },
    { .name = "its resend",
      .same_body_as = "booking with a key",
      .kind = DRV_BOOKING,
      .key = "b1" },
    { .name = "the same key, another body", .kind = DRV_BOOKING, .key = "b1" },
    { .name = "the same key, another account",
      .kind = DRV_BOOKING,
      .key = "b1",
      .account = "beta" },
  };
  for (uint32_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      drv_call_t *call = drv_ask (drv, &requests[i]);
      drv_answered (call);
      drv_tell (call);
    }
  send_chat_twice (drv);
  send_invalid_requests (drv);
  drv_finish (drv);
}

int
main (void)
{
  static const drv_test_t tests[] = { { "requests without faults", test_path } };
  return drv_main ("path", tests, G_N_ELEMENTS (tests));
}
