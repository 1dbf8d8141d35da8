#include "path_fleet.h"
#include "raw_peer.h"

#include <CUnit/Basic.h>
#include <string.h>

static bool
saw_next (void *context)
{
  const raw_t *raw = context;

  return raw->eof || strstr (raw->got->str, "ran:next") != NULL;
}

/* The answer to HEAD tells the length that a GET would bring, and has no body; what follows on the
 * connection is the next answer. A length of 0 would be a statement of the fleet's own making. */
static void
relays_the_length_of_a_head_answer (void)
{
  pfl_t fleet;
  raw_t *raw;

  pfl_init (&fleet);
  raw = raw_connect (fleet.base, &fleet.hosts[PFL_SIDECARS].http);
  raw_send (raw, "HEAD /look HTTP/1.1\r\nX-Api-Key: " PFL_KEY "\r\n\r\n"
                 "POST /look HTTP/1.1\r\nX-Api-Key: " PFL_KEY "\r\nContent-Length: 4\r\n\r\nnext");
  CU_ASSERT_TRUE (pfl_until (&fleet, saw_next, raw));
  CU_ASSERT_TRUE (g_str_has_prefix (raw->got->str, "HTTP/1.1 200 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "Content-Length: 4\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "\r\n\r\nHTTP/1.1 200 "));
  CU_ASSERT_PTR_NULL (strstr (raw->got->str, "Content-Length: 0\r\n"));
  raw_free (raw);
  pfl_clear (&fleet);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "relays the length of a HEAD answer", relays_the_length_of_a_head_answer }, CU_TEST_INFO_NULL
  };
  CU_SuiteInfo suites[] = { { "path answers", NULL, NULL, NULL, NULL, tests }, CU_SUITE_INFO_NULL };

  log_init ("test-path-answers", "test", LOG_LEVEL_DEBUG);
  CU_initialize_registry ();
  CU_register_suites (suites);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  int failures = (int)CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures != 0;
}
