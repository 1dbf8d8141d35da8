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
format_response (const char *nonce, char seal[ANSWER_SEAL_BYTES])
{
  manifest_t *manifest = manifest_parse (MANIFEST, strlen (MANIFEST), NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (manifest);
  manifest->version = 12;
  char *body = manifest_sync_format (KEY, nonce, manifest, (position_t){ .offset = 34 }, seal);
  manifest_unref (manifest);
  return body;
}

/* Return: the version in the response, 0 when it was rejected. */
static uint64_t
parse_response (const char *key, const char *nonce, const char *seal, const char *body)
{
  position_t next = { 0 };
  GError *error = NULL;
  manifest_t *manifest = manifest_sync_parse (key, nonce, seal, body, strlen (body), &next, &error);
  if (manifest == NULL)
    {
      CU_ASSERT_PTR_NOT_NULL (error);
      g_clear_error (&error);
      return 0;
    }
  CU_ASSERT (position_equal (next, (position_t){ .offset = 34 }));
  uint64_t version = manifest->version;
  manifest_unref (manifest);
  return version;
}

static void
test_round_trip (void)
{
  char nonce[ANSWER_SEAL_NONCE_BYTES];
  char other[ANSWER_SEAL_NONCE_BYTES];
  char seal[ANSWER_SEAL_BYTES];
  answer_seal_make_nonce (nonce);
  answer_seal_make_nonce (other);
  CU_ASSERT_EQUAL (strlen (nonce), ANSWER_SEAL_NONCE_BYTES - 1);
  CU_ASSERT_STRING_NOT_EQUAL (nonce, other);
  g_autofree char *body = format_response (nonce, seal);
  CU_ASSERT_EQUAL (parse_response (KEY, nonce, seal, body), 12);
}

/* An attacker sends a replayed response, a modified one, or one under another key. Accepting it
 * would bring a version into force that was never published or that was replaced. */
static void
test_forged_responses_are_rejected (void)
{
  char nonce[ANSWER_SEAL_NONCE_BYTES];
  char other[ANSWER_SEAL_NONCE_BYTES];
  char seal[ANSWER_SEAL_BYTES];
  answer_seal_make_nonce (nonce);
  answer_seal_make_nonce (other);
  char *body = format_response (nonce, seal);
  CU_ASSERT_EQUAL (parse_response (KEY, other, seal, body), 0);
  CU_ASSERT_EQUAL (parse_response ("another key of enough bytes", nonce, seal, body), 0);
  CU_ASSERT_EQUAL (parse_response (KEY, nonce, NULL, body), 0);
  CU_ASSERT_EQUAL (parse_response (KEY, nonce, "", body), 0);
  char *version = strstr (body, "12");
  version[0] = '9';
  CU_ASSERT_EQUAL (parse_response (KEY, nonce, seal, body), 0);
  g_free (body);
  body = format_response (NULL, seal);
  CU_ASSERT_STRING_EQUAL (seal, "");
  CU_ASSERT_EQUAL (parse_response (KEY, nonce, seal, body), 0);
  g_free (body);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_round_trip),
    SUITE_TEST (test_forged_responses_are_rejected),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("manifest_sync", tests);
}
