#include "version/manifest_sync.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

#define KEY "a fleet key of enough bytes"
#define KEY_DIGEST "08a6bd4bf2a6c5b8e6b2a0a8f7a4a7b7fb0ee6d29a4a7fcc1c6e0b7b1a2f3c4d"

static const char MANIFEST[] =
    "{\"client_accounts\":{\"east\":{\"key_sha256\":\"" KEY_DIGEST "\"}},"
    "\"classes\":{\"short\":{}},"
    "\"services\":{\"pool\":{\"kind\":\"model\",\"engines\":[\"e1\"]}},"
    "\"routes\":[{\"path\":\"/a\",\"service\":\"pool\",\"class\":\"short\"}]}";

static char *
write_answer (const char *nonce, char seal[ASL_SEAL_BYTES])
{
  man_t *man = man_parse (MANIFEST, strlen (MANIFEST), NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (man);
  man->version = 12;
  char *body = msy_write (KEY, nonce, man, 34, seal);
  man_unref (man);
  return body;
}

/* Return: the version read, 0 when the answer was not taken. */
static uint64_t
read_answer (const char *key, const char *nonce, const char *seal, const char *body)
{
  uint64_t next_offset = 0;
  GError *error = NULL;
  man_t *man = msy_read (key, nonce, seal, body, strlen (body), &next_offset, &error);
  if (man == NULL)
    {
      CU_ASSERT_PTR_NOT_NULL (error);
      g_clear_error (&error);
      return 0;
    }
  CU_ASSERT_EQUAL (next_offset, 34);
  uint64_t version = man->version;
  man_unref (man);
  return version;
}

static void
test_round_trip (void)
{
  char nonce[ASL_NONCE_BYTES];
  char other[ASL_NONCE_BYTES];
  char seal[ASL_SEAL_BYTES];
  asl_nonce (nonce);
  asl_nonce (other);
  CU_ASSERT_EQUAL (strlen (nonce), ASL_NONCE_BYTES - 1);
  CU_ASSERT_STRING_NOT_EQUAL (nonce, other);
  g_autofree char *body = write_answer (nonce, seal);
  CU_ASSERT_EQUAL (read_answer (KEY, nonce, seal, body), 12);
}

/* Somebody answers in place of a daemon: with a recorded answer of long ago, a changed one, or one
 * under a key of his own. Taking it would bring a version that was never in force, or is not any
 * more. */
static void
test_foreign_answers_are_refused (void)
{
  char nonce[ASL_NONCE_BYTES];
  char other[ASL_NONCE_BYTES];
  char seal[ASL_SEAL_BYTES];
  asl_nonce (nonce);
  asl_nonce (other);
  char *body = write_answer (nonce, seal);
  CU_ASSERT_EQUAL (read_answer (KEY, other, seal, body), 0);
  CU_ASSERT_EQUAL (read_answer ("another key of enough bytes", nonce, seal, body), 0);
  CU_ASSERT_EQUAL (read_answer (KEY, nonce, NULL, body), 0);
  CU_ASSERT_EQUAL (read_answer (KEY, nonce, "", body), 0);
  char *version = strstr (body, "12");
  version[0] = '9';
  CU_ASSERT_EQUAL (read_answer (KEY, nonce, seal, body), 0);
  g_free (body);
  body = write_answer (NULL, seal);
  CU_ASSERT_STRING_EQUAL (seal, "");
  CU_ASSERT_EQUAL (read_answer (KEY, nonce, seal, body), 0);
  g_free (body);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_round_trip),
    SUITE_TEST (test_foreign_answers_are_refused),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("manifest_sync", tests);
}
