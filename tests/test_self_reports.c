/* Unit tests of what engines state about themselves in their answers: that they are leaving, or
 * want no requests for a time. */
#include "platform/request_format.h"
#include "request/policy/engines/engines.h"
#include "request/policy/engines/self_reports.h"
#include "suite.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <sys/queue.h>

#define NOW_US (UINT64_C (1000) * 1000 * 1000)

static format_response_t
answer_with (int status, const char *name, const char *value)
{
  struct evkeyvalq headers;
  format_response_t out = { 0 };

  TAILQ_INIT (&headers);
  evhttp_add_header (&headers, "X-Request-Id", "r1");
  evhttp_add_header (&headers, name, value);
  request_format_get ()->read_response (&out, status, &headers, &(format_asked_t){ .id = "r1" });
  evhttp_clear_headers (&headers);
  return out;
}

static void
test_leaving_is_read (void)
{
  CU_ASSERT_TRUE (answer_with (200, "Server-Leaving", "1").leaving);
  CU_ASSERT_TRUE (answer_with (503, "server-leaving", "1").leaving);
  CU_ASSERT_FALSE (answer_with (200, "Server-Leaving", "0").leaving);
  CU_ASSERT_FALSE (answer_with (200, "Server-Leaving", "").leaving);
}

/* Guards against an engine losing its requests because of a statement of another one at its
 * address. */
static void
test_statement_of_another_engine_is_ignored (void)
{
  CU_ASSERT_FALSE (answer_with (421, "Server-Leaving", "1").leaving);
}

static void
test_backoff_is_read (void)
{
  CU_ASSERT_EQUAL (answer_with (503, "Retry-After", "3").backoff_ms, 3000);
  CU_ASSERT_EQUAL (answer_with (503, "Retry-After", "0.25").backoff_ms, 250);
  CU_ASSERT_EQUAL (answer_with (429, "Retry-After", "3").backoff_ms, 0);
  CU_ASSERT_EQUAL (answer_with (200, "Retry-After", "3").backoff_ms, 0);
}

/* Guards against an engine that gets no requests for years because of a malformed header. */
static void
test_malformed_backoff_is_ignored (void)
{
  static const char *const texts[] = { "",    "x",   "-3",
                                       "3x",  "3 s", "Thu, 01 Jan 1970 00:00:00 GMT",
                                       "1e9", "nan", "99999999",
                                       "3,5", "+3" };

  for (uint32_t i = 0; i < G_N_ELEMENTS (texts); i++)
    CU_ASSERT_EQUAL (answer_with (503, "Retry-After", texts[i]).backoff_ms, 0);
}

static void
test_statements_are_not_passed_to_callers (void)
{
  CU_ASSERT_FALSE (request_format_get ()->is_returned ("Server-Leaving"));
  CU_ASSERT_TRUE (request_format_get ()->is_returned ("X-Response-Stamp"));
}

/* Guards against requests to an engine that is leaving because its entry was removed and added
 * again. */
static void
test_statement_outlives_the_entry (void)
{
  engines_t *engines = engines_new ();
  engine_entry_t entry = { .id = "e0", .born_ms = 5, .service = g_intern_static_string ("pool") };
  engine_t *engine = engines_put (engines, NOW_US, &entry);

  CU_ASSERT_TRUE (engines_note_leaving (engines, NOW_US, engine));
  CU_ASSERT_FALSE (engines_note_leaving (engines, NOW_US, engine));
  CU_ASSERT_FALSE (engine_is_open (engines_put (engines, NOW_US, &entry)));
  engines_remove (engines, NOW_US, "e0");
  CU_ASSERT_FALSE (engine_is_open (engines_put (engines, NOW_US, &entry)));
  entry.born_ms = 6;
  CU_ASSERT_TRUE (engine_is_open (engines_put (engines, NOW_US, &entry)));
  engines_free (engines);
}

static void
test_statements_are_limited_and_expire (void)
{
  self_reports_t *reports = self_reports_new ();

  for (uint64_t i = 1; i <= SELF_REPORTS_MAX + 1; i++)
    CU_ASSERT_TRUE (self_reports_set_leaving (reports, NOW_US + i, i));
  CU_ASSERT_FALSE (self_reports_get (reports, 1).leaving);
  CU_ASSERT_TRUE (self_reports_get (reports, 2).leaving &&
                  self_reports_get (reports, SELF_REPORTS_MAX + 1).leaving);
  CU_ASSERT_TRUE (self_reports_set_leaving (
      reports, NOW_US + SELF_REPORTS_MAX + 1 + SELF_REPORTS_KEPT_US, 9999));
  CU_ASSERT_FALSE (self_reports_get (reports, 2).leaving);
  self_reports_free (reports);
}

/* Guards against a longer backoff being ended by a shorter one, or by an entry that is added again.
 */
static void
test_longest_backoff_counts (void)
{
  engines_t *engines = engines_new ();
  engine_entry_t entry = { .id = "e0", .service = g_intern_static_string ("pool") };
  engine_t *engine = engines_put (engines, NOW_US, &entry);

  engines_note_backoff (engines, NOW_US, engine, 3000);
  engines_note_backoff (engines, NOW_US + 100, engine, 100);
  CU_ASSERT_TRUE (engine_is_backing_off (engine, NOW_US + 2999));
  CU_ASSERT_FALSE (engine_is_backing_off (engine, NOW_US + 3000));
  CU_ASSERT_TRUE (engine_is_open (engine));
  engines_remove (engines, NOW_US, "e0");
  CU_ASSERT_TRUE (
      engine_is_backing_off (engines_put (engines, NOW_US + 200, &entry), NOW_US + 2999));
  engines_free (engines);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_leaving_is_read),
    SUITE_TEST (test_statement_of_another_engine_is_ignored),
    SUITE_TEST (test_backoff_is_read),
    SUITE_TEST (test_malformed_backoff_is_ignored),
    SUITE_TEST (test_statements_are_not_passed_to_callers),
    SUITE_TEST (test_statement_outlives_the_entry),
    SUITE_TEST (test_statements_are_limited_and_expire),
    SUITE_TEST (test_longest_backoff_counts),
    CU_TEST_INFO_NULL,
  };

  return suite_run ("self_reports", tests);
}
