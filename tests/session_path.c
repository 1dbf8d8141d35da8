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
send_chat_twice (driver_t *driver)
{
  g_autofree char *history = g_strnfill (4000, 'h');
  driver_request_t request = { .name = "chat comes", .chat = "c1", .text = history };
  driver_call_t *first = driver_send_request (driver, &request);
  driver_call_wait (first);
  request.name = "chat returns by the other router";
  request.router = 1;
  driver_call_t *second = driver_send_request (driver, &request);
  driver_call_wait (second);
  driver_transcript_add_call (first);
  driver_transcript_add_call (second);
  const char *cached = driver_call_header (second, "x-cached-tokens");
  driver_transcript_add (driver, "  same engine: %s",
                         g_strcmp0 (driver_call_header (first, "x-medlarplank-engine"),
                                    driver_call_header (second, "x-medlarplank-engine")) == 0
                             ? "yes"
                             : "no");
  driver_transcript_add (driver, "  prompt cached: %s",
                         cached != NULL && g_ascii_strtoull (cached, NULL, 10) > 900 ? "yes"
                                                                                     : "no");
}

static void
send_invalid_requests (driver_t *driver)
{
  g_autofree char *large = g_strnfill (BODY_LIMIT_BYTES, 'x');
  driver_request_t requests[] = {
    { .name = "no such key", .authorization = "Bearer nobody" },
    { .name = "a body that is too large", .text = large },
  };
  for (uint32_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      driver_call_t *call = driver_send_request (driver, &requests[i]);
      driver_call_wait (call);
      driver_transcript_add_call (call);
    }
  driver_call_t *broken =
      driver_send_http (driver, driver->routers[0]->ip, "POST", "/v1/chat/completions",
                        "Authorization: Bearer key-alpha\r\n", "{\"model\":");
  broken->name = g_strdup ("a body that is no JSON");
  driver_call_wait (broken);
  driver_transcript_add_call (broken);
}

static void
test_path (void)
{
  driver_t *driver = driver_new ("path");
  driver_fleet_t fleet = {
    .model_hosts = 3, .plain_hosts = 2, .routers = 2, .daemon_flags = "--body-limit-bytes=65536"
  };
  driver_start (driver, &fleet);
  driver_request_t requests[] = {
    { .name = "plain chat" },
    { .name = "streamed chat", .stream = true, .tokens = 20 },
    { .name = "tag", .kind = DRIVER_TAG },
    { .name = "tag with a key", .kind = DRIVER_TAG, .key = "t1" },
    { .name = "lookup", .kind = DRIVER_LOOKUP, .account = "beta" },
    { .name = "booking", .kind = DRIVER_BOOKING },
    { .name = "booking with a key", .kind = DRIVER_BOOKING, .key = "b1" },
    { .name = "its resend",
      .same_body_as = "booking with a key",
      .kind = DRIVER_BOOKING,
      .key = "b1" },
    { .name = "the same key, another body", .kind = DRIVER_BOOKING, .key = "b1" },
    { .name = "the same key, another account",
      .kind = DRIVER_BOOKING,
      .key = "b1",
      .account = "beta" },
  };
  for (uint32_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      driver_call_t *call = driver_send_request (driver, &requests[i]);
      driver_call_wait (call);
      driver_transcript_add_call (call);
    }
  send_chat_twice (driver);
  send_invalid_requests (driver);
  driver_finish (driver);
}

int
main (void)
{
  static const driver_test_t tests[] = { { "requests without faults", test_path } };
  return driver_main ("path", tests, G_N_ELEMENTS (tests));
}
