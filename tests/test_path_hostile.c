#include "testbed.h"
#include "raw_peer.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

static bool
answered (void *context)
{
  const raw_peer_t *raw = context;

  return raw->eof || strstr (raw->received->str, "\r\n\r\n") != NULL;
}

/* send_raw() - sends bytes to the router. Return: the status of the answer, 0 when the connection
 * was closed without one */
static int
send_raw (testbed_t *testbed, const char *text)
{
  raw_peer_t *raw = raw_peer_connect (testbed->base, &testbed->hosts[TESTBED_SIDECARS].http);
  int status = 0;

  raw_peer_send (raw, text);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, answered, raw));
  sscanf (raw->received->str, "HTTP/1.1 %d", &status);
  raw_peer_free (raw);
  return status;
}

static uint64_t
count_hops (const testbed_t *testbed)
{
  return counter_value (
      counter_get (testbed->router.daemon.counters, "medlarplank_hops_total", ""));
}

/* A caller sends a header with a control character, which the router's HTTP client cannot send. The
 * router took this for a connection failure of the sidecars, and after two such requests skipped
 * all hosts, for all client accounts. The listener must refuse the request instead. */
static void
a_control_character_does_not_mark_hosts_as_failed (void)
{
  static const char *const VALUES[] = { "\x01", "a\x7f", "a\x1b[0m" };
  g_autoptr (testbed_t) testbed = testbed_new ();

  uint64_t before = count_hops (testbed);
  for (uint32_t i = 0; i < G_N_ELEMENTS (VALUES); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "GET /look HTTP/1.1\r\nHost: h\r\nX-Api-Key: " TESTBED_API_KEY "\r\nX-Note: %s\r\n\r\n",
          VALUES[i]);

      CU_ASSERT_EQUAL (send_raw (testbed, text), 400);
    }
  CU_ASSERT_EQUAL (count_hops (testbed), before);
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 0);
}

/* A caller's headers are just within the router's limits, in their most compact form. With the
 * headers that the router adds they must still fit the limits of the sidecar. Otherwise each such
 * request would look like a sidecar that closes the connection. */
static void
the_largest_headers_do_not_mark_hosts_as_failed (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  g_autoptr (GString) text =
      g_string_new ("GET /look HTTP/1.1\r\nX-Api-Key:" TESTBED_API_KEY "\r\n");

  for (uint32_t i = 0; i < 9; i++)
    {
      g_string_append_printf (text, "X%u:", i);
      for (uint32_t at = 0; at < 7200; at++)
        g_string_append_c (text, 'v');
      g_string_append (text, "\r\n");
    }
  g_string_append (text, "\r\n");
  CU_ASSERT_EQUAL (send_raw (testbed, text->str), 200);
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 1);
}

/* "/book" is not idempotent, and the wildcard route "/look*" is. A path that matches the wildcard,
 * but that an engine would normalise to "/book", must be refused, or the router could repeat it. */
static void
an_ambiguous_path_reaches_no_engine (void)
{
  static const char *const TARGETS[] = { "/look/../book", "/look/%2e%2e/book", "/look//book",
                                         "/look;/book", "/look%2f..%2fbook" };
  g_autoptr (testbed_t) testbed = testbed_new ();

  for (uint32_t i = 0; i < G_N_ELEMENTS (TARGETS); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "GET %s HTTP/1.1\r\nHost: h\r\nX-Api-Key: " TESTBED_API_KEY "\r\n\r\n", TARGETS[i]);

      CU_ASSERT_EQUAL (send_raw (testbed, text), 400);
    }
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "a control character does not mark hosts as failed",
      a_control_character_does_not_mark_hosts_as_failed },
    { "the largest headers do not mark hosts as failed",
      the_largest_headers_do_not_mark_hosts_as_failed },
    { "an ambiguous path reaches no engine", an_ambiguous_path_reaches_no_engine },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path-hostile", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path hostile", tests);
}
