/* Unit tests of parsing the load that engines report in a header of their responses. */
#include "platform/request_format.h"
#include "suite.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <sys/queue.h>

#define LOAD_HEADER "X-Engine-Load"
#define FUZZ_ROUNDS 20000
#define FUZZ_HEADER_BYTES 40

static format_response_t
parse_load (const char *load)
{
  struct evkeyvalq headers;
  format_response_t out = { 0 };

  TAILQ_INIT (&headers);
  if (load)
    evhttp_add_header (&headers, LOAD_HEADER, load);
  request_format_get ()->read_response (&out, 200, &headers, &(format_asked_t){ .id = "r1" });
  evhttp_clear_headers (&headers);
  return out;
}

static void
test_effort_is_parsed (void)
{
  format_response_t out = parse_load ("3,1,8,250");

  CU_ASSERT (out.has_load);
  CU_ASSERT_EQUAL (out.load.running, 3);
  CU_ASSERT_EQUAL (out.load.waiting, 1);
  CU_ASSERT_EQUAL (out.load.slots, 8);
  CU_ASSERT_EQUAL (out.load.slowdown_percent, 250);
  CU_ASSERT_EQUAL (parse_load ("3,1,8,100,7").load.slowdown_percent, 100);
}

/* Guards against counts whose sum wraps around, by which a load without measure seems small. */
static void
test_load_without_measure_is_ignored (void)
{
  CU_ASSERT_FALSE (parse_load ("4294967295,1,8").has_load);
  CU_ASSERT_FALSE (parse_load ("1,4294967295,8").has_load);
  CU_ASSERT (parse_load ("2147483647,2147483647,8").has_load);
}

/* Guards against a load report that is ignored because its effort is missing or invalid, and
 * against an invalid effort that affects the choice of engines. */
static void
test_invalid_effort_is_ignored (void)
{
  static const char *const texts[] = { "3,1,8",      "3,1,8,",      "3,1,8,x",    "3,1,8,-5",
                                       "3,1,8,0",    "3,1,8,10001", "3,1,8,1e3",  "3,1,8,250x",
                                       "3,1,8 ,250", "3,1,8,1.5",   "3,1,8,,250", "3,1,8x,250" };

  for (uint32_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      format_response_t out = parse_load (texts[i]);

      CU_ASSERT (out.has_load);
      CU_ASSERT_EQUAL (out.load.running, 3);
      CU_ASSERT_EQUAL (out.load.slots, 8);
      CU_ASSERT_EQUAL (out.load.slowdown_percent, 0);
    }
}

/* Guards against a crash or an effort out of range, with random headers. */
static void
test_random_headers (void)
{
  static const char characters[] = "0123456789,,,,,.-+ex ";
  GRand *rand = g_rand_new_with_seed (5);

  CU_ASSERT (!parse_load (NULL).has_load);
  for (uint32_t i = 0; i < FUZZ_ROUNDS; i++)
    {
      char text[FUZZ_HEADER_BYTES + 1] = "";
      uint32_t length = (uint32_t)g_rand_int_range (rand, 0, FUZZ_HEADER_BYTES);

      for (uint32_t j = 0; j < length; j++)
        text[j] = characters[g_rand_int_range (rand, 0, sizeof characters - 1)];
      CU_ASSERT_FATAL (parse_load (text).load.slowdown_percent <= ENGINE_SLOWDOWN_MAX_PERCENT);
    }
  g_rand_free (rand);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_effort_is_parsed),
    SUITE_TEST (test_invalid_effort_is_ignored),
    SUITE_TEST (test_load_without_measure_is_ignored),
    SUITE_TEST (test_random_headers),
    CU_TEST_INFO_NULL,
  };

  return suite_run ("load_header", tests);
}
