/* What engines say of themselves in their answers: that they leave, or want rest. */
#include "platform/request_format.h"
#include "suite.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <sys/queue.h>

static fmt_answer_t
answer_with (int status, const char *name, const char *value)
{
  struct evkeyvalq headers;
  fmt_answer_t out = { 0 };

  TAILQ_INIT (&headers);
  evhttp_add_header (&headers, "X-Request-Id", "r1");
  evhttp_add_header (&headers, name, value);
  prf_format ()->answer (&out, status, &headers, "r1");
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

/* Guards against an engine being left alone for the word of another one at its address. */
static void
test_word_of_another_engine_is_not_its_own (void)
{
  CU_ASSERT_FALSE (answer_with (421, "Server-Leaving", "1").leaving);
}

static void
test_rest_is_read (void)
{
  CU_ASSERT_EQUAL (answer_with (503, "Retry-After", "3").rest_ms, 3000);
  CU_ASSERT_EQUAL (answer_with (503, "Retry-After", "0.25").rest_ms, 250);
  CU_ASSERT_EQUAL (answer_with (429, "Retry-After", "3").rest_ms, 0);
  CU_ASSERT_EQUAL (answer_with (200, "Retry-After", "3").rest_ms, 0);
}

/* Guards against an engine that gets nothing for years by a slip. */
static void
test_unsound_rest_says_nothing (void)
{
  static const char *const texts[] = { "",    "x",   "-3",
                                       "3x",  "3 s", "Thu, 01 Jan 1970 00:00:00 GMT",
                                       "1e9", "nan", "99999999",
                                       "3,5", "+3" };

  for (uint32_t i = 0; i < G_N_ELEMENTS (texts); i++)
    CU_ASSERT_EQUAL (answer_with (503, "Retry-After", texts[i]).rest_ms, 0);
}

static void
test_callers_do_not_hear_it (void)
{
  CU_ASSERT_FALSE (prf_format ()->passes_back ("Server-Leaving"));
  CU_ASSERT_TRUE (prf_format ()->passes_back ("X-Response-Stamp"));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_leaving_is_read),
    SUITE_TEST (test_word_of_another_engine_is_not_its_own),
    SUITE_TEST (test_rest_is_read),
    SUITE_TEST (test_unsound_rest_says_nothing),
    SUITE_TEST (test_callers_do_not_hear_it),
    CU_TEST_INFO_NULL,
  };

  return suite_run ("own_word", tests);
}
