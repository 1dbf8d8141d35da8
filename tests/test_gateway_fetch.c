/* Unit tests of the answers to other gateways that ask for the records they lack. */
#include "process/gateway_fetch.h"
#include "server_fixture.h"
#include "suite.h"

#include <string.h>

#define VALUE_BYTES 2000
#define UPDATE_MAX_BYTES 1000

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
ignore_result (const gateway_fetch_result_t *result, void *context)
{
  (void)result;
  (void)context;
}

/* A requester first declines large updates and then, as it can't read the store, wants them. */
static void
test_any_size_is_sent_after_an_update_was_too_large (void)
{
  static const char *const targets[] = { VIEW_SHARE_PATH "?routing=0",
                                         VIEW_SHARE_PATH "?routing=0&any_size=1" };
  static const char *const expected[] = { "\"large\":true", "\"records\":[[" };
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  clock_source_t clock;
  keyed_view_t *view = keyed_view_new (ignore_change, NULL, NULL, NULL);
  char value[VALUE_BYTES + 1];
  view_share_stream_t stream = {
    .name = "routing", .view = view, .next.offset = 1, .max_value_bytes = UPDATE_MAX_BYTES
  };
  gateway_fetch_responder_t state = { .settled = true, .complete = true };
  address_t control = fixture->address;
  gateway_fetch_t *fetch;

  clock_init_running (&clock);
  memset (value, 'x', VALUE_BYTES);
  value[VALUE_BYTES] = '\0';
  keyed_view_apply (view, (position_t){ 0 }, "config", value, VALUE_BYTES);
  fetch = gateway_fetch_new (&(gateway_fetch_options_t){ .base = fixture->base,
                                                         .clock = &clock,
                                                         .fleet_key = "a key of the fleet",
                                                         .control_address = &control,
                                                         .on_finished = ignore_result });
  for (uint32_t i = 0; i < G_N_ELEMENTS (targets); i++)
    {
      g_autofree char *request = g_strdup_printf (
          "GET %s HTTP/1.1\r\nHost: a\r\n" ANSWER_SEAL_NONCE_HEADER ": n\r\n\r\n", targets[i]);
      raw_peer_t *client = server_fixture_connect_waiting (fixture, request);
      http_server_call_t *call = server_fixture_call_at (fixture, 0);

      g_ptr_array_remove_index (fixture->waiting, 0);
      CU_ASSERT (gateway_fetch_handle_request (fetch, call, &stream, 1, &state));
      server_fixture_run_until_received (fixture, client, expected[i]);
    }
  gateway_fetch_free (fetch);
  keyed_view_free (view);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_any_size_is_sent_after_an_update_was_too_large),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("gateway_fetch", tests);
}
