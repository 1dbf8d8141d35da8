#include "version/manifest.h"
#include "suite.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (manifest_t, manifest_unref)

static manifest_t *
load (const char *name)
{
  const char *source_dir = getenv ("MEDLARPLANK_SOURCE");
  g_autofree char *path =
      g_strdup_printf ("%s/examples/%s.json", source_dir != NULL ? source_dir : ".", name);
  g_autofree char *text = NULL;
  gsize text_bytes;
  GError *error = NULL;
  manifest_t *manifest = NULL;

  if (g_file_get_contents (path, &text, &text_bytes, &error))
    manifest = manifest_parse (text, text_bytes, &error);
  if (manifest == NULL)
    printf ("%s: %s\n", path, error->message);
  CU_ASSERT_PTR_NOT_NULL_FATAL (manifest);
  return manifest;
}

static void
expect_demo_keys (const manifest_t *manifest)
{
  CU_ASSERT_EQUAL (manifest->account_count, 10);
  for (uint32_t i = 0; i < manifest->account_count; i++)
    {
      g_autofree char *key = g_strconcat ("demo-", manifest->accounts[i].name, NULL);

      CU_ASSERT_PTR_EQUAL (manifest_account_for_key (manifest, key), &manifest->accounts[i]);
    }
}

static void
expect_service (const manifest_t *manifest,
                const char *name,
                manifest_kind_t kind,
                uint32_t engines)
{
  const manifest_service_t *service = manifest_find_service (manifest, name);

  CU_ASSERT_PTR_NOT_NULL_FATAL (service);
  CU_ASSERT_EQUAL (service->kind, kind);
  CU_ASSERT_EQUAL (service->engine_count, engines);
}

static void
expect_class (const manifest_t *manifest,
              const char *method,
              const char *path,
              const char *model,
              const char *class,
              bool idempotent)
{
  const manifest_route_t *route = manifest_find_route (manifest, method, path, model);

  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  CU_ASSERT_STRING_EQUAL (manifest->classes[route->class_index].name, class);
  CU_ASSERT_EQUAL (route->idempotent, idempotent);
}

static void
test_tuul (void)
{
  g_autoptr (manifest_t) manifest = load ("tuul");
  const char *chat = "/v1/chat/completions";

  expect_demo_keys (manifest);
  expect_service (manifest, "medlar-pool", MANIFEST_KIND_MODEL, 12);
  expect_service (manifest, "claims-portal", MANIFEST_KIND_PLAIN, 3);
  expect_class (manifest, "POST", chat, "claims-7b", "draft-reply", true);
  expect_class (manifest, "POST", chat, "claims-7b-appeals", "appeal-summary", true);
  expect_class (manifest, "POST", chat, "claims-7b-tags", "eligibility-tag", false);
  expect_class (manifest, "GET", "/portal/status/7", NULL, "status-check", true);
  expect_class (manifest, "GET", "/portal/documents/7", NULL, "document-lookup", true);
}

static void
test_jogak (void)
{
  g_autoptr (manifest_t) manifest = load ("jogak");
  const char *chat = "/v1/chat/completions";

  expect_demo_keys (manifest);
  expect_service (manifest, "medlar-desk", MANIFEST_KIND_MODEL, 12);
  expect_service (manifest, "bale-ledger", MANIFEST_KIND_PLAIN, 3);
  expect_class (manifest, "POST", chat, "desk-13b", "pattern-question", true);
  expect_class (manifest, "POST", chat, "desk-13b-lots", "lot-history", true);
  expect_class (manifest, "POST", chat, "desk-13b-tags", "colour-tag", true);
  expect_class (manifest, "POST", "/ledger/bookings", NULL, "booking", false);
  expect_class (manifest, "GET", "/ledger/bookings", NULL, "ledger-read", true);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_tuul),
    SUITE_TEST (test_jogak),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("examples", tests);
}
