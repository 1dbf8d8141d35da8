#include "request/router/target.h"
#include "suite.h"

#include <glib.h>

static void
takes_plain_paths (void)
{
  static const char *const PLAIN[] = {
    "/",
    "/v1/chat/completions",
    "/v1/",
    "/v1?next=/a//../b;c%2f",
    "/doc/a%20b",
    "/doc/%E1%84%80",
    "/doc/100%25",
    "/doc/a:b@c,d=e+f!",
    "/.well-known/x",
    "/a..b/...",
  };

  for (guint i = 0; i < G_N_ELEMENTS (PLAIN); i++)
    CU_ASSERT_TRUE (tgt_is_plain (PLAIN[i]));
}

static void
refuses_what_an_engine_may_read_otherwise (void)
{
  static const char *const OTHER[] = {
    "*",          "//book",      "/look//book",    "/look/../book", "/look/..",      "/./book",
    "/look/.",    "/look%2fbk",  "/look/%2e%2e/b", "/look/%2E/b",   "/%62ook",       "/book;a=b",
    "/look/%3bx", "/look\\book", "/look%5cbook",   "/book#look",    "/book%00.look", "/book%0a",
    "/book%7f",   "/book%",      "/book%4",        "/book%zz",      "/book?x#y",
  };

  for (guint i = 0; i < G_N_ELEMENTS (OTHER); i++)
    CU_ASSERT_FALSE (tgt_is_plain (OTHER[i]));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "takes plain paths", takes_plain_paths },
    { "refuses what an engine may read otherwise", refuses_what_an_engine_may_read_otherwise },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("target", tests);
}
