#include "request/router/request_target.h"
#include "suite.h"

#include <glib.h>

static void
accepts_unambiguous_paths (void)
{
  static const char *const UNAMBIGUOUS[] = {
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

  for (guint i = 0; i < G_N_ELEMENTS (UNAMBIGUOUS); i++)
    CU_ASSERT_TRUE (request_target_is_unambiguous (UNAMBIGUOUS[i]));
}

static void
refuses_ambiguous_paths (void)
{
  static const char *const AMBIGUOUS[] = {
    "*",          "//book",      "/look//book",    "/look/../book", "/look/..",      "/./book",
    "/look/.",    "/look%2fbk",  "/look/%2e%2e/b", "/look/%2E/b",   "/%62ook",       "/book;a=b",
    "/look/%3bx", "/look\\book", "/look%5cbook",   "/book#look",    "/book%00.look", "/book%0a",
    "/book%7f",   "/book%",      "/book%4",        "/book%zz",      "/book?x#y",
  };

  for (guint i = 0; i < G_N_ELEMENTS (AMBIGUOUS); i++)
    CU_ASSERT_FALSE (request_target_is_unambiguous (AMBIGUOUS[i]));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "accepts unambiguous paths", accepts_unambiguous_paths },
    { "refuses ambiguous paths", refuses_ambiguous_paths },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("target", tests);
}
