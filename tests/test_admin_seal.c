#include "connection/admin_seal.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

#define KEY "a key of the whole fleet"
#define NOW_S 1800000000

static bool
drain (const char *key, const char *host, uint64_t time_s, const char *seal)
{
  return admin_seal_check (key, ADMIN_SEAL_DRAIN, host, time_s, NOW_S, seal);
}

static void
test_known_value (void)
{
  g_autofree char *seal = admin_seal_make ("key", "drain", "h", 1);
  g_autofree char *expected =
      g_compute_hmac_for_string (G_CHECKSUM_SHA256, (const guchar *)"key", 3, "drain\nh\n1", -1);

  CU_ASSERT_STRING_EQUAL (seal, expected);
}

static void
test_seal_covers_every_field (void)
{
  g_autofree char *seal = admin_seal_make (KEY, ADMIN_SEAL_DRAIN, "h1", NOW_S);
  g_autofree char *upper = g_ascii_strup (seal, -1);
  g_autofree char *cut = g_strndup (seal, 63);

  CU_ASSERT_TRUE (drain (KEY, "h1", NOW_S, seal));
  CU_ASSERT_FALSE (drain (KEY, "h2", NOW_S, seal));
  CU_ASSERT_FALSE (drain ("another key of a fleet", "h1", NOW_S, seal));
  CU_ASSERT_FALSE (drain (KEY, "h1", NOW_S + 1, seal));
  CU_ASSERT_FALSE (admin_seal_check (KEY, "start", "h1", NOW_S, NOW_S, seal));
  CU_ASSERT_FALSE (drain (KEY, "h1", NOW_S, upper));
  CU_ASSERT_FALSE (drain (KEY, "h1", NOW_S, cut));
  CU_ASSERT_FALSE (drain (KEY, "h1", NOW_S, ""));
  CU_ASSERT_FALSE (drain (KEY, "h1", NOW_S, NULL));
  for (size_t i = 0; i < strlen (seal); i++)
    {
      g_autofree char *other = g_strdup (seal);

      other[i] = other[i] == '0' ? '1' : '0';
      CU_ASSERT_FALSE (drain (KEY, "h1", NOW_S, other));
    }
}

/*
 * Guards against a captured command that is replayed much later, after the host was replaced by
 * another one of the same name: its time is outside of the window, so the new host ignores it.
 */
static void
test_replayed_command_expires (void)
{
  static const int64_t TIMES_S[] = { -61, -60, 60, 61 };
  static const bool ACCEPTED[] = { false, true, true, false };

  for (size_t i = 0; i < G_N_ELEMENTS (TIMES_S); i++)
    {
      uint64_t time_s = (uint64_t)(NOW_S + TIMES_S[i]);
      g_autofree char *seal = admin_seal_make (KEY, ADMIN_SEAL_DRAIN, "h1", time_s);

      CU_ASSERT_EQUAL (drain (KEY, "h1", time_s, seal), ACCEPTED[i]);
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_known_value),
    SUITE_TEST (test_seal_covers_every_field),
    SUITE_TEST (test_replayed_command_expires),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("admin seal", tests);
}
