#include "version/manifest.h"
#include "suite.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (manifest_t, manifest_unref)

#define KEY_A "08a6bd4bf2a6c5b8e6b2a0a8f7a4a7b7fb0ee6d29a4a7fcc1c6e0b7b1a2f3c4d"
#define KEY_B "18a6bd4bf2a6c5b8e6b2a0a8f7a4a7b7fb0ee6d29a4a7fcc1c6e0b7b1a2f3c4d"

static const char VALID_MANIFEST[] =
    "{\"client_accounts\":{\"east\":{\"key_sha256\":\"" KEY_A "\",\"weight\":4000},"
    "\"west\":{\"key_sha256\":\"" KEY_B "\"}},"
    "\"classes\":{\"short\":{\"priority\":0,\"deadline_ms\":2000},\"long\":{}},"
    "\"services\":{\"pool\":{\"kind\":\"model\",\"engines\":[\"e1\",\"e2\"]},"
    "\"desk\":{\"kind\":\"plain\",\"engines\":[\"p1\"],\"bound_percent\":150}},"
    "\"routes\":[{\"method\":\"POST\",\"path\":\"/v1/chat/completions\",\"model\":\"m\","
    "\"service\":\"pool\",\"class\":\"long\",\"idempotent\":true},"
    "{\"path\":\"/desk/*\",\"service\":\"desk\",\"class\":\"short\"}]}";

static manifest_t *
parse_valid_manifest (void)
{
  GError *error = NULL;
  manifest_t *manifest = manifest_parse (VALID_MANIFEST, strlen (VALID_MANIFEST), &error);

  if (manifest == NULL)
    g_error ("%s", error->message);
  return manifest;
}

static void
expect_error (manifest_t *manifest, GError *error, manifest_error_t code, const char *message)
{
  CU_ASSERT_PTR_NULL (manifest);
  CU_ASSERT_PTR_NOT_NULL_FATAL (error);
  CU_ASSERT_TRUE (g_error_matches (error, MANIFEST_ERROR, code));
  if (strcmp (error->message, message) != 0)
    printf ("\n  got:  %s\n  want: %s\n", error->message, message);
  CU_ASSERT_STRING_EQUAL (error->message, message);
  g_clear_error (&error);
  g_clear_pointer (&manifest, manifest_unref);
}

/* Expects an error when @patch_text is applied to the valid manifest. */
static void
expect_patch_error (const char *patch_text, manifest_error_t code, const char *message)
{
  GError *error = NULL;
  g_autoptr (manifest_t) base = parse_valid_manifest ();
  json_auto_t *patch = json_loads (patch_text, 0, NULL);
  manifest_t *manifest = manifest_patch (base, patch, &error);

  expect_error (manifest, error, code, message);
}

static void
expect_parse_error (const char *text, manifest_error_t code, const char *message)
{
  GError *error = NULL;
  manifest_t *manifest = manifest_parse (text, strlen (text), &error);

  expect_error (manifest, error, code, message);
}

static void
test_tables_are_read (void)
{
  g_autoptr (manifest_t) manifest = parse_valid_manifest ();
  const manifest_account_t *east = manifest_find_account (manifest, "east");
  const manifest_service_t *pool = manifest_find_service (manifest, "pool");
  const manifest_service_t *desk = manifest_service_of_engine (manifest, "p1");

  CU_ASSERT_EQUAL (manifest->version, 0);
  CU_ASSERT_EQUAL (east->weight, 4000);
  CU_ASSERT_EQUAL (east->queue_limit, LIMIT_QUEUED_PER_ACCOUNT);
  CU_ASSERT_EQUAL (manifest_find_account (manifest, "west")->weight, 1000);
  CU_ASSERT_EQUAL (pool->kind, MANIFEST_KIND_MODEL);
  CU_ASSERT_EQUAL (pool->engine_count, 2);
  CU_ASSERT_STRING_EQUAL (pool->engines[1], "e2");
  CU_ASSERT_EQUAL (pool->bound_percent, 125);
  CU_ASSERT_EQUAL (pool->slots, 8);
  CU_ASSERT_EQUAL (pool->cache_lifetime_ms, 600000);
  CU_ASSERT_EQUAL (pool->prefill_tokens_s, 8000);
  CU_ASSERT_EQUAL (pool->claim_shards, 4);
  CU_ASSERT_EQUAL (manifest_find_class (manifest, "long")->priority, 5);
  CU_ASSERT_EQUAL (manifest_find_class (manifest, "long")->deadline_ms, 30000);
  CU_ASSERT_EQUAL (manifest_find_class (manifest, "long")->expected_tokens, 256);
  CU_ASSERT_STRING_EQUAL (desk->name, "desk");
  CU_ASSERT_EQUAL (desk->kind, MANIFEST_KIND_PLAIN);
  CU_ASSERT_EQUAL (desk->bound_percent, 150);
  CU_ASSERT_EQUAL (manifest_find_class (manifest, "short")->priority, 0);
  CU_ASSERT_PTR_NULL (manifest_find_class (manifest, "shorter"));
  CU_ASSERT_PTR_NULL (manifest_find_service (manifest, ""));
  CU_ASSERT_PTR_NULL (manifest_service_of_engine (manifest, "e3"));
}

static void
test_account_by_key (void)
{
  g_autoptr (manifest_t) base = parse_valid_manifest ();
  g_autofree char *hex = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "secret", -1);
  json_auto_t *patch = json_pack ("{s{s{ss}}}", "client_accounts", "north", "key_sha256", hex);
  g_autoptr (manifest_t) manifest = manifest_patch (base, patch, NULL);

  CU_ASSERT_STRING_EQUAL (manifest_account_for_key (manifest, "secret")->name, "north");
  CU_ASSERT_PTR_NULL (manifest_account_for_key (manifest, "secret "));
  CU_ASSERT_PTR_NULL (manifest_account_for_key (manifest, ""));
  CU_ASSERT_PTR_NULL (manifest_account_for_key (manifest, hex));
  CU_ASSERT_PTR_NULL (manifest_account_for_key (base, "secret"));
}

static void
test_first_matching_route_wins (void)
{
  g_autoptr (manifest_t) manifest = parse_valid_manifest ();
  const manifest_route_t *chat =
      manifest_find_route (manifest, "POST", "/v1/chat/completions", "m");
  const manifest_route_t *desk = manifest_find_route (manifest, "GET", "/desk/lots/7", NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (chat);
  CU_ASSERT_TRUE (chat->idempotent);
  CU_ASSERT_STRING_EQUAL (manifest->classes[chat->class_index].name, "long");
  CU_ASSERT_PTR_NOT_NULL_FATAL (desk);
  CU_ASSERT_FALSE (desk->idempotent);
  CU_ASSERT_STRING_EQUAL (manifest->services[desk->service_index].name, "desk");
  CU_ASSERT_PTR_NULL (manifest_find_route (manifest, "GET", "/v1/chat/completions", "m"));
  CU_ASSERT_PTR_NULL (manifest_find_route (manifest, "POST", "/v1/chat/completions", "other"));
  CU_ASSERT_PTR_NULL (manifest_find_route (manifest, "POST", "/v1/chat/completions", NULL));
  CU_ASSERT_PTR_NULL (manifest_find_route (manifest, "GET", "/desk", NULL));
}

static void
test_errors_have_paths (void)
{
  expect_patch_error ("{\"services\":{\"pool\":{\"bound_percent\":90}}}", MANIFEST_ERROR_RANGE,
                      "services.pool.bound_percent: 90 is not in 100..1000");
  expect_patch_error ("{\"services\":{\"pool\":{\"slots\":2.5}}}", MANIFEST_ERROR_TYPE,
                      "services.pool.slots: is not a whole number");
  expect_patch_error ("{\"services\":{\"pool\":{\"slot\":2}}}", MANIFEST_ERROR_UNKNOWN,
                      "services.pool.slot: is not a known key");
  expect_patch_error ("{\"services\":{\"pool\":{\"kind\":null}}}", MANIFEST_ERROR_MISSING,
                      "services.pool.kind: is missing");
  expect_patch_error ("{\"services\":{\"pool\":{\"kind\":\"odd\"}}}", MANIFEST_ERROR_RANGE,
                      "services.pool.kind: is neither \"model\" nor \"plain\"");
  expect_patch_error ("{\"services\":{\"pool\":[]}}", MANIFEST_ERROR_TYPE,
                      "services.pool: is not an object");
  expect_patch_error ("{\"services\":{\"pool\":{\"engines\":[]}}}", MANIFEST_ERROR_RANGE,
                      "services.pool.engines: is empty");
  expect_patch_error (
      "{\"services\":{\"pool\":{\"engines\":[\"E_1\"]}}}", MANIFEST_ERROR_RANGE,
      "services.pool.engines[0]: no host can be named \"E_1\": hosts have a-z, 0-9, "
      "'.' and '-'");
  expect_patch_error ("{\"services\":{\"pool\":{\"engines\":[\"e1\",3]}}}", MANIFEST_ERROR_TYPE,
                      "services.pool.engines[1]: is not a string");
  expect_patch_error ("{\"classes\":{\"short\":{\"priority\":10}}}", MANIFEST_ERROR_RANGE,
                      "classes.short.priority: 10 is not in 0..9");
  expect_patch_error ("{\"client_accounts\":{\"east\":{\"weight\":-9223372036854775808}}}",
                      MANIFEST_ERROR_RANGE,
                      "client_accounts.east.weight: -9223372036854775808 is not in 1..1000000");
  expect_patch_error (
      "{\"client_accounts\":{\"east\":{\"key_sha256\":\"AB\"}}}", MANIFEST_ERROR_RANGE,
      "client_accounts.east.key_sha256: is not a SHA-256 in 64 lower-case hex digits");
  expect_patch_error (
      "{\"client_accounts\":{\"a b\":{}}}", MANIFEST_ERROR_RANGE,
      "client_accounts.a b: a name has letters, digits, '.', '_' and '-' and starts "
      "with a letter or digit");
  expect_patch_error ("{\"x\\ny\":1}", MANIFEST_ERROR_UNKNOWN, "x\\ny: is not a known key");
  expect_patch_error ("{\"routes\":null}", MANIFEST_ERROR_MISSING, "routes: is missing");
  expect_patch_error ("{\"classes\":null}", MANIFEST_ERROR_MISSING, "classes: is missing");
  expect_patch_error ("{\"routes\":[]}", MANIFEST_ERROR_RANGE, "routes: is empty");
  expect_patch_error ("[]", MANIFEST_ERROR_SYNTAX,
                      "patch: is not an object that is nested at most 16 deep");
  expect_parse_error ("[3]", MANIFEST_ERROR_TYPE, "document: is not an object");
}

static void
test_route_errors (void)
{
  expect_patch_error ("{\"routes\":[{\"path\":\"/\",\"service\":\"x\",\"class\":\"short\"}]}",
                      MANIFEST_ERROR_REFERENCE, "routes[0].service: no service is named \"x\"");
  expect_patch_error ("{\"routes\":[{\"path\":\"/\",\"service\":\"desk\",\"class\":\"x\"}]}",
                      MANIFEST_ERROR_REFERENCE, "routes[0].class: no class is named \"x\"");
  expect_patch_error ("{\"routes\":[{\"path\":\"v1\",\"service\":\"desk\",\"class\":\"long\"}]}",
                      MANIFEST_ERROR_RANGE, "routes[0].path: does not start with '/'");
  expect_patch_error ("{\"routes\":[{\"path\":\"/*/a\",\"service\":\"desk\",\"class\":\"long\"}]}",
                      MANIFEST_ERROR_RANGE, "routes[0].path: has a '*' before its end");
  expect_patch_error ("{\"routes\":[{\"path\":\"/a\",\"method\":\"get\"}]}", MANIFEST_ERROR_RANGE,
                      "routes[0].method: is not in upper-case letters");
  expect_patch_error ("{\"routes\":[{\"path\":\"/a\",\"idempotent\":1}]}", MANIFEST_ERROR_TYPE,
                      "routes[0].idempotent: is not true or false");
  expect_patch_error (
      "{\"routes\":[{\"path\":\"/a*\",\"service\":\"desk\",\"class\":\"long\"},"
      "{\"path\":\"/ab\",\"model\":\"m\",\"service\":\"pool\",\"class\":\"long\"}]}",
      MANIFEST_ERROR_REFERENCE,
      "routes[1]: never matches: routes[0] matches the same requests first");
}

/*
 * An engine in two services would be subject to two load bounds at once, and two accounts with the
 * same key would share a queue and see each other's chats. Both manifests must be rejected before
 * they can come into force.
 */
static void
test_duplicates_are_rejected (void)
{
  expect_patch_error (
      "{\"services\":{\"desk\":{\"engines\":[\"p1\",\"p1\"]}}}", MANIFEST_ERROR_REFERENCE,
      "services.desk.engines[1]: engine \"p1\" is already listed in service \"desk\"");
  expect_patch_error (
      "{\"services\":{\"pool\":{\"engines\":[\"e1\",\"p1\"]}}}", MANIFEST_ERROR_REFERENCE,
      "services.pool.engines[1]: engine \"p1\" is already listed in service \"desk\"");
  expect_patch_error ("{\"client_accounts\":{\"west\":{\"key_sha256\":\"" KEY_A "\"}}}",
                      MANIFEST_ERROR_REFERENCE,
                      "client_accounts.west.key_sha256: client account \"east\" has the same key");
}

static void
test_syntax (void)
{
  g_autofree char *deep = g_strnfill (1000, '[');
  GError *error = NULL;
  manifest_t *manifest = manifest_parse ("{\"routes\":1,\"routes\":2}", 23, &error);

  CU_ASSERT_PTR_NULL (manifest);
  CU_ASSERT_TRUE (g_error_matches (error, MANIFEST_ERROR, MANIFEST_ERROR_SYNTAX));
  CU_ASSERT_PTR_NOT_NULL (strstr (error->message, "duplicate"));
  CU_ASSERT_PTR_NOT_NULL (strstr (error->message, "routes"));
  g_clear_error (&error);
  manifest = manifest_parse (deep, 1000, &error);
  CU_ASSERT_PTR_NULL (manifest);
  CU_ASSERT_TRUE (g_error_matches (error, MANIFEST_ERROR, MANIFEST_ERROR_SYNTAX));
  g_clear_error (&error);
  expect_parse_error ("[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]", MANIFEST_ERROR_SYNTAX,
                      "document: is nested deeper than 16");
}

static void
test_too_large (void)
{
  size_t text_bytes = LIMIT_MANIFEST_BYTES + 1;
  g_autofree char *text = g_strnfill (text_bytes, ' ');
  GError *error = NULL;
  manifest_t *manifest = manifest_parse (text, text_bytes, &error);

  expect_error (manifest, error, MANIFEST_ERROR_SYNTAX, "document: is larger than 8388608 bytes");
}

static void
test_digest_ignores_formatting (void)
{
  g_autoptr (manifest_t) manifest = parse_valid_manifest ();
  g_autofree char *spaced = json_dumps (manifest->json, JSON_INDENT (2) | JSON_SORT_KEYS);
  g_autoptr (manifest_t) same = manifest_parse (spaced, strlen (spaced), NULL);
  json_auto_t *patch = json_loads ("{\"classes\":{\"long\":{\"priority\":7}}}", 0, NULL);
  g_autoptr (manifest_t) other = manifest_patch (manifest, patch, NULL);

  CU_ASSERT_STRING_EQUAL (manifest->digest, same->digest);
  CU_ASSERT_STRING_NOT_EQUAL (manifest->digest, other->digest);
}

/* Applies each rule of RFC 7386 to a manifest; the examples of the RFC need arbitrary documents. */
static void
test_patch (void)
{
  g_autoptr (manifest_t) base = parse_valid_manifest ();
  json_auto_t *patch = json_loads ("{\"client_accounts\":{\"west\":null,\"none\":null},"
                                   "\"services\":{\"pool\":{\"engines\":[\"e9\"],\"slots\":3}}}",
                                   0, NULL);
  g_autoptr (manifest_t) manifest = manifest_patch (base, patch, NULL);
  const manifest_service_t *pool = manifest_find_service (manifest, "pool");

  CU_ASSERT_EQUAL (manifest->account_count, 1);
  CU_ASSERT_EQUAL (pool->engine_count, 1);
  CU_ASSERT_STRING_EQUAL (pool->engines[0], "e9");
  CU_ASSERT_EQUAL (pool->slots, 3);
  CU_ASSERT_EQUAL (pool->kind, MANIFEST_KIND_MODEL);
  CU_ASSERT_EQUAL (base->account_count, 2);
  CU_ASSERT_EQUAL (json_object_size (json_object_get (base->json, "client_accounts")), 2);
}

static bool
is_accepted (const char *section, const char *member, const char *key, int64_t value)
{
  manifest_t *base = parse_valid_manifest ();
  json_t *patch = json_pack ("{s{s{sI}}}", section, member, key, (json_int_t)value);
  manifest_t *manifest = manifest_patch (base, patch, NULL);
  bool accepted = manifest != NULL;

  g_clear_pointer (&manifest, manifest_unref);
  json_decref (patch);
  manifest_unref (base);
  return accepted;
}

/* Checks that the limits in a table row such as "| `services.NAME.slots` | 1 to 4096 | 8 | ..." are
 * accepted and the values just beyond them rejected. */
static bool
check_range_row (const char *row)
{
  static const char *const MEMBERS[][2] = { { "client_accounts", "east" },
                                            { "classes", "long" },
                                            { "services", "pool" } };
  char section[32];
  char key[32];
  int64_t min;
  int64_t max;

  if (sscanf (row, "| `%31[a-z_].NAME.%31[a-z_]` | %" SCNd64 " to %" SCNd64 " |", section, key,
              &min, &max) != 4)
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (MEMBERS); i++)
    {
      if (strcmp (section, MEMBERS[i][0]) != 0)
        continue;
      CU_ASSERT_TRUE (is_accepted (section, MEMBERS[i][1], key, min));
      CU_ASSERT_TRUE (is_accepted (section, MEMBERS[i][1], key, max));
      CU_ASSERT_FALSE (is_accepted (section, MEMBERS[i][1], key, min - 1));
      CU_ASSERT_FALSE (is_accepted (section, MEMBERS[i][1], key, max + 1));
    }
  return true;
}

static void
test_documented_ranges (void)
{
  const char *source_dir = g_getenv ("MEDLARPLANK_SOURCE");
  g_autofree char *path =
      g_build_filename (source_dir != NULL ? source_dir : ".", "docs", "manifest.md", NULL);
  g_autofree char *text = NULL;
  g_auto (GStrv) rows = NULL;
  uint32_t checked = 0;

  CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &text, NULL, NULL));
  rows = g_strsplit (text, "\n", -1);
  for (char **row = rows; *row != NULL; row++)
    checked += check_range_row (*row);
  CU_ASSERT_EQUAL (checked, 10);
}

static void
test_reference_counting (void)
{
  manifest_t *manifest = parse_valid_manifest ();

  CU_ASSERT_PTR_EQUAL (manifest_ref (manifest), manifest);
  manifest_unref (manifest);
  CU_ASSERT_EQUAL (manifest->account_count, 2);
  manifest_unref (manifest);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_tables_are_read),
    SUITE_TEST (test_account_by_key),
    SUITE_TEST (test_first_matching_route_wins),
    SUITE_TEST (test_errors_have_paths),
    SUITE_TEST (test_route_errors),
    SUITE_TEST (test_duplicates_are_rejected),
    SUITE_TEST (test_syntax),
    SUITE_TEST (test_too_large),
    SUITE_TEST (test_digest_ignores_formatting),
    SUITE_TEST (test_patch),
    SUITE_TEST (test_documented_ranges),
    SUITE_TEST (test_reference_counting),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("manifest", tests);
}
