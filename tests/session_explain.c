/* Tests of medlarplankctl explain --logs: the lines of one request from collected log files. */
#include "suite.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#define LOG_LINE(time, host, pid, text)                                                            \
  "<30>2026-03-14T09:09:" time "Z " host " medlarplankd[" pid "]: " text "\n"

/* clang-format off */
static const char edge_1_log[] =
    LOG_LINE ("10.000", "edge-1", "7", "version version=18 before=3 routes=4 offset=2")
    LOG_LINE ("39.500", "edge-1", "7", "dependency_lost dependency=store stream=engines unheard_ms=1001")
    LOG_LINE ("40.100", "edge-1", "7", "place id=r-1 service=pool engine=i-5 rank=0 load=3")
    LOG_LINE ("40.200", "edge-1", "7", "place id=r-12 service=pool engine=i-6 rank=0 load=3")
    LOG_LINE ("41.300", "edge-1", "7", "hop_lost id=r-1 route=x outcome=may_have_run reason=cut hops=1")
    LOG_LINE ("41.301", "edge-1", "7", "end id=r-1 route=x outcome=failed reason=cut hops=1 ms=1201")
    "a line of something else\n";
static const char edge_2_log[] =
    LOG_LINE ("40.000", "edge-2", "9", "engine engine=i-5 state=gone offset=25 engines=16")
    LOG_LINE ("40.050", "edge-2", "9", "place id=r-2 service=pool engine=i-7 rank=1 load=0");
/* clang-format on */

/** struct tool_result - output and exit status of one run of the tool */
typedef struct
{
  char *out;
  char *err;
  int status;
} tool_result_t;

static tool_result_t
run_tool (const char *request, const char *logs, const char *option)
{
  g_autofree char *tool = g_build_filename (g_getenv ("MEDLARPLANK_BUILD"), "medlarplankctl", NULL);
  char *argv[] = { tool, "explain", (char *)request, "--logs", (char *)logs, (char *)option, NULL };
  tool_result_t result = { 0 };
  int wait_status = 0;

  CU_ASSERT (
      g_spawn_sync (NULL, argv, NULL, 0, NULL, NULL, &result.out, &result.err, &wait_status, NULL));
  result.status = wait_status >> 8;
  return result;
}

static void
tool_result_clear (tool_result_t *result)
{
  g_free (result->out);
  g_free (result->err);
}

static char *
write_logs (void)
{
  char *directory = g_dir_make_tmp ("medlarplank-explain-XXXXXX", NULL);
  g_autofree char *first = g_build_filename (directory, "edge-1.log", NULL);
  g_autofree char *second = g_build_filename (directory, "edge-2.log", NULL);

  CU_ASSERT (g_file_set_contents (first, edge_1_log, -1, NULL));
  CU_ASSERT (g_file_set_contents (second, edge_2_log, -1, NULL));
  return directory;
}

static void
remove_logs (char *directory)
{
  g_autofree char *first = g_build_filename (directory, "edge-1.log", NULL);
  g_autofree char *second = g_build_filename (directory, "edge-2.log", NULL);

  g_unlink (first);
  g_unlink (second);
  g_rmdir (directory);
  g_free (directory);
}

/*
 * Prints the lines of the request in order of time and the recent state changes of the same daemon,
 * but no lines of a request whose id has the same prefix, of another daemon, or from long before.
 */
static void
test_lines_of_a_request (void)
{
  char *directory = write_logs ();
  tool_result_t result = run_tool ("r-1", directory, NULL);

  CU_ASSERT_EQUAL (result.status, 0);
  CU_ASSERT_STRING_EQUAL (
      result.out,
      "09:09:39.500   edge-1 dependency_lost dependency=store stream=engines unheard_ms=1001\n"
      "09:09:40.100 * edge-1 place id=r-1 service=pool engine=i-5 rank=0 load=3\n"
      "09:09:41.300 * edge-1 hop_lost id=r-1 route=x outcome=may_have_run reason=cut hops=1\n"
      "09:09:41.301 * edge-1 end id=r-1 route=x outcome=failed reason=cut hops=1 ms=1201\n");
  tool_result_clear (&result);
  result = run_tool ("r-2", directory, "--json");
  CU_ASSERT_EQUAL (result.status, 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (result.out, "\"event\":\"engine\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (result.out, "\"of_request\":true"));
  tool_result_clear (&result);
  remove_logs (directory);
}

static void
test_unknown_request_and_unreadable_logs (void)
{
  char *directory = write_logs ();
  tool_result_t result = run_tool ("r-9", directory, NULL);

  CU_ASSERT_EQUAL (result.status, 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (result.err, "no line of the logs bears the request id \"r-9\""));
  CU_ASSERT_STRING_EQUAL (result.out, "");
  tool_result_clear (&result);
  result = run_tool ("r-1", "/nowhere/at-all", NULL);
  CU_ASSERT_EQUAL (result.status, 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (result.err, "can't be read: No such file"));
  tool_result_clear (&result);
  remove_logs (directory);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_lines_of_a_request),
                                       SUITE_TEST (test_unknown_request_and_unreadable_logs),
                                       CU_TEST_INFO_NULL };

  return suite_run ("explain", tests);
}
