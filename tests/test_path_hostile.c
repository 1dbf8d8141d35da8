#include "path_fleet.h"
#include "raw_peer.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

static bool
answered (void *context)
{
  const raw_t *raw = context;

  return raw->eof || strstr (raw->got->str, "\r\n\r\n") != NULL;
}

/* send_raw() - Return: the status of the answer, 0 when the connection was closed without one */
static int
send_raw (pfl_t *fleet, const char *text)
{
  raw_t *raw = raw_connect (fleet->base, &fleet->hosts[PFL_SIDECARS].http);
  int status = 0;

  raw_send (raw, text);
  CU_ASSERT_TRUE (pfl_until (fleet, answered, raw));
  sscanf (raw->got->str, "HTTP/1.1 %d", &status);
  raw_free (raw);
  return status;
}

static uint64_t
hops (const pfl_t *fleet)
{
  return cnt_value (cnt_get (fleet->router.dmn.counters, "medlarplank_hops_total", ""));
}

/* A caller sends a header with a control character, which the router cannot pass on. It took that
 * for sidecars that could not be reached: after two such requests no host looked alive any more, to
 * the requests of all client accounts. The listener refuses it instead. */
static void
a_control_character_blames_no_host (void)
{
  static const char *const VALUES[] = { "\x01", "a\x7f", "a\x1b[0m" };
  g_autoptr (pfl_t) fleet = pfl_new ();

  uint64_t before = hops (fleet);
  for (uint32_t i = 0; i < G_N_ELEMENTS (VALUES); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "GET /look HTTP/1.1\r\nHost: h\r\nX-Api-Key: " PFL_KEY "\r\nX-Note: %s\r\n\r\n",
          VALUES[i]);

      CU_ASSERT_EQUAL (send_raw (fleet, text), 400);
    }
  CU_ASSERT_EQUAL (hops (fleet), before);
  CU_ASSERT_EQUAL (pfl_runs (fleet), 0);
}

/* A caller's headers are just within the router's limits, in the tightest form. What the router
 * adds must still fit the sidecar's, or each such request would look like a sidecar that breaks
 * off. */
static void
the_largest_headers_blame_no_host (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  g_autoptr (GString) text = g_string_new ("GET /look HTTP/1.1\r\nX-Api-Key:" PFL_KEY "\r\n");

  for (uint32_t i = 0; i < 9; i++)
    {
      g_string_append_printf (text, "X%u:", i);
      for (uint32_t at = 0; at < 7200; at++)
        g_string_append_c (text, 'v');
      g_string_append (text, "\r\n");
    }
  g_string_append (text, "\r\n");
  CU_ASSERT_EQUAL (send_raw (fleet, text->str), 200);
  CU_ASSERT_EQUAL (pfl_runs (fleet), 1);
}

/* The booking's route says that it runs once, the lookups' wildcard that it may be repeated. A path
 * that the engine would tidy up into the booking's must not be taken for a lookup. */
static void
a_disguised_booking_reaches_no_engine (void)
{
  static const char *const TARGETS[] = { "/look/../book", "/look/%2e%2e/book", "/look//book",
                                         "/look;/book", "/look%2f..%2fbook" };
  g_autoptr (pfl_t) fleet = pfl_new ();

  for (uint32_t i = 0; i < G_N_ELEMENTS (TARGETS); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "GET %s HTTP/1.1\r\nHost: h\r\nX-Api-Key: " PFL_KEY "\r\n\r\n", TARGETS[i]);

      CU_ASSERT_EQUAL (send_raw (fleet, text), 400);
    }
  CU_ASSERT_EQUAL (pfl_runs (fleet), 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "a control character blames no host", a_control_character_blames_no_host },
    { "the largest headers blame no host", the_largest_headers_blame_no_host },
    { "a disguised booking reaches no engine", a_disguised_booking_reaches_no_engine },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path-hostile", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path hostile", tests);
}
