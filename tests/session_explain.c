/* The story of a request from collected logs, as the tool tells it. */
#include "suite.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#define HEAD(time, host, pid) "<30>2026-03-14T09:09:" time "Z " host " medlarplankd[" pid "]: "

static const char one[] =
    HEAD ("10.000", "edge-1", "7") "version version=18 before=3 routes=4 offset=2\n" HEAD (
        "39.500",
        "edge-1",
        "7") "dependency_lost dependency=store stream=engines "
             "unheard_ms=1001\n" HEAD (
                 "40.100",
                 "edge-1",
                 "7") "place id=r-1 service=pool "
                      "engine=i-5 rank=0 "
                      "load=3\n" HEAD (
                          "40.200",
                          "edge-1",
                          "7") "place "
                               "id=r-12 "
                               "service="
                               "pool "
                               "engine="
                               "i-6 "
                               "rank=0 "
                               "load="
                               "3"
                               "\n" HEAD (
                                   "41.300",
                                   "edge-1",
                                   "7") "hop_lost id=r-1 route=x outcome=may_have_run reason=cut "
                                        "hops=1\n" HEAD ("41.301",
                                                         "edge-1",
                                                         "7") "end id=r-1 route=x outcome=failed "
                                                              "reason=cut hops=1 ms=1201\n"
                                                              "a line of something else\n";
static const char two[] =
    HEAD ("40.000", "edge-2", "9") "engine engine=i-5 state=gone offset=25 engines=16\n" HEAD (
        "40.050", "edge-2", "9") "place id=r-2 service=pool engine=i-7 rank=1 load=0\n";

/** struct run - what a run of the tool printed, and its exit status */
typedef struct
{
  char *out;
  char *err;
  int status;
} run_t;

static run_t
run_tool (const char *request, const char *logs, const char *more)
{
  g_autofree char *tool = g_build_filename (g_getenv ("MEDLARPLANK_BUILD"), "medlarplankctl", NULL);
  char *argv[] = { tool, "explain", (char *)request, "--logs", (char *)logs, (char *)more, NULL };
  run_t run = { 0 };
  int wait_status = 0;

  CU_ASSERT (
      g_spawn_sync (NULL, argv, NULL, 0, NULL, NULL, &run.out, &run.err, &wait_status, NULL));
  run.status = wait_status >> 8;
  return run;
}

static void
run_clear (run_t *run)
{
  g_free (run->out);
  g_free (run->err);
}

static char *
write_logs (void)
{
  char *folder = g_dir_make_tmp ("medlarplank-explain-XXXXXX", NULL);
  g_autofree char *first = g_build_filename (folder, "edge-1.log", NULL);
  g_autofree char *second = g_build_filename (folder, "edge-2.log", NULL);

  CU_ASSERT (g_file_set_contents (first, one, -1, NULL));
  CU_ASSERT (g_file_set_contents (second, two, -1, NULL));
  return folder;
}

static void
remove_logs (char *folder)
{
  g_autofree char *first = g_build_filename (folder, "edge-1.log", NULL);
  g_autofree char *second = g_build_filename (folder, "edge-2.log", NULL);

  g_unlink (first);
  g_unlink (second);
  g_rmdir (folder);
  g_free (folder);
}

/* The lines of the request in order, and what its own daemon had just come to believe; neither
 * another request whose id begins alike, nor what another daemon believed, nor what is long past.
 */
static void
test_story_of_a_request (void)
{
  char *folder = write_logs ();
  run_t run = run_tool ("r-1", folder, NULL);

  CU_ASSERT_EQUAL (run.status, 0);
  CU_ASSERT_STRING_EQUAL (
      run.out,
      "09:09:39.500   edge-1 dependency_lost dependency=store stream=engines unheard_ms=1001\n"
      "09:09:40.100 * edge-1 place id=r-1 service=pool engine=i-5 rank=0 load=3\n"
      "09:09:41.300 * edge-1 hop_lost id=r-1 route=x outcome=may_have_run reason=cut hops=1\n"
      "09:09:41.301 * edge-1 end id=r-1 route=x outcome=failed reason=cut hops=1 ms=1201\n");
  run_clear (&run);
  run = run_tool ("r-2", folder, "--json");
  CU_ASSERT_EQUAL (run.status, 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (run.out, "\"event\":\"engine\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (run.out, "\"of_request\":true"));
  run_clear (&run);
  remove_logs (folder);
}

static void
test_what_is_not_there_is_said (void)
{
  char *folder = write_logs ();
  run_t run = run_tool ("r-9", folder, NULL);

  CU_ASSERT_EQUAL (run.status, 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (run.err, "no line of the logs bears the request id \"r-9\""));
  CU_ASSERT_STRING_EQUAL (run.out, "");
  run_clear (&run);
  run = run_tool ("r-1", "/nowhere/at-all", NULL);
  CU_ASSERT_EQUAL (run.status, 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (run.err, "can't be read: No such file"));
  run_clear (&run);
  remove_logs (folder);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_story_of_a_request),
                                       SUITE_TEST (test_what_is_not_there_is_said),
                                       CU_TEST_INFO_NULL };

  return suite_run ("explain", tests);
}
