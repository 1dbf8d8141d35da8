#include "version/manifest.h"
#include "version/json_reader.h"
#include "version/manifest_read.h"

#include <stdlib.h>
#include <string.h>

GQuark
manifest_error_quark (void)
{
  return g_quark_from_static_string ("manifest-error-quark");
}

/* Serializes @json in canonical form: compact, keys sorted. Fails when the text exceeds the size
 * limit of a manifest. */
static char *
dump_canonical (const json_t *json, size_t *text_bytes, GError **error)
{
  size_t flags = JSON_SORT_KEYS | JSON_COMPACT;
  char *text;

  *text_bytes = json_dumpb (json, NULL, 0, flags);
  if (*text_bytes == 0 || *text_bytes > LIMIT_MANIFEST_BYTES)
    {
      json_reader_fail (error, MANIFEST_ERROR_SYNTAX, "", NULL, "is larger than %d bytes",
                        LIMIT_MANIFEST_BYTES);
      return NULL;
    }
  text = g_malloc (*text_bytes);
  json_dumpb (json, text, *text_bytes, flags);
  return text;
}

static bool
set_digest (manifest_t *manifest, GError **error)
{
  size_t text_bytes;
  g_autofree char *text = dump_canonical (manifest->json, &text_bytes, error);
  g_autofree char *hex = NULL;

  if (text == NULL)
    return false;
  hex = g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *)text, text_bytes);
  g_strlcpy (manifest->digest, hex, sizeof manifest->digest);
  return true;
}

/* Applies a JSON merge patch (RFC 7386): null removes a member, objects are merged, any other value
 * replaces the old one. Return: a new reference. */
static json_t *
merge_patch (const json_t *target, const json_t *patch)
{
  const char *key;
  json_t *value;
  json_t *merged;

  if (!json_is_object (patch))
    return json_deep_copy (patch);
  merged = json_is_object (target) ? json_copy ((json_t *)target) : json_object ();
  json_object_foreach ((json_t *)patch, key, value)
    {
      if (json_is_null (value))
        json_object_del (merged, key);
      else
        json_object_set_new (merged, key, merge_patch (json_object_get (target, key), value));
    }
  return merged;
}

/* Binary search in @table, which is sorted by name; each item begins with its name. */
static const void *
find_by_name (const char *name, const void *table, uint32_t count, size_t item_bytes)
{
  const char *items = table;
  uint32_t low = 0;
  uint32_t high = count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      const char *item = items + middle * item_bytes;
      int order = strcmp (name, item);

      if (order == 0)
        return item;
      if (order < 0)
        high = middle;
      else
        low = middle + 1;
    }
  return NULL;
}

static bool
route_matches (const manifest_route_t *route,
               const char *method,
               const char *path,
               const char *model)
{
  size_t length = strlen (route->path);

  if (route->method[0] != '\0' && strcmp (route->method, method) != 0)
    return false;
  if (route->model[0] != '\0' && (model == NULL || strcmp (route->model, model) != 0))
    return false;
  if (route->path[length - 1] == '*')
    return strncmp (route->path, path, length - 1) == 0;
  return strcmp (route->path, path) == 0;
}

static void
free_tables (manifest_t *manifest)
{
  for (uint32_t i = 0; i < manifest->service_count; i++)
    g_free (manifest->services[i].engines);
  g_free (manifest->accounts);
  g_free (manifest->services);
  g_free (manifest->classes);
  g_free (manifest->routes);
  g_clear_pointer (&manifest->account_by_digest, g_hash_table_unref);
  g_clear_pointer (&manifest->service_by_engine, g_hash_table_unref);
}

manifest_t *
manifest_from_json (json_t *json, GError **error)
{
  manifest_t *manifest;

  if (!json_reader_check_depth (json, LIMIT_MANIFEST_DEPTH))
    {
      json_reader_fail (error, MANIFEST_ERROR_SYNTAX, "", NULL, "is nested deeper than %d",
                        LIMIT_MANIFEST_DEPTH);
      return NULL;
    }
  manifest = g_new0 (manifest_t, 1);
  g_atomic_ref_count_init (&manifest->refs);
  manifest->json = json_incref (json);
  manifest->account_by_digest = g_hash_table_new (g_str_hash, g_str_equal);
  manifest->service_by_engine = g_hash_table_new (g_str_hash, g_str_equal);
  if (!manifest_read_tables (manifest, error) || !set_digest (manifest, error))
    g_clear_pointer (&manifest, manifest_unref);
  return manifest;
}

manifest_t *
manifest_parse (const char *text, size_t text_bytes, GError **error)
{
  json_error_t json_error;
  json_t *json;
  manifest_t *manifest;

  if (text_bytes > LIMIT_MANIFEST_BYTES)
    {
      json_reader_fail (error, MANIFEST_ERROR_SYNTAX, "", NULL, "is larger than %d bytes",
                        LIMIT_MANIFEST_BYTES);
      return NULL;
    }
  json = json_loadb (text, text_bytes, JSON_REJECT_DUPLICATES, &json_error);
  if (json == NULL)
    {
      g_set_error (error, MANIFEST_ERROR, MANIFEST_ERROR_SYNTAX, "line %d, column %d: %s",
                   json_error.line, json_error.column, json_error.text);
      return NULL;
    }
  manifest = manifest_from_json (json, error);
  json_decref (json);
  return manifest;
}

manifest_t *
manifest_patch (const manifest_t *base, const json_t *patch, GError **error)
{
  json_t *json;
  manifest_t *manifest;

  if (!json_is_object (patch) || !json_reader_check_depth (patch, LIMIT_MANIFEST_DEPTH))
    {
      json_reader_fail (error, MANIFEST_ERROR_SYNTAX, "patch", NULL,
                        "is not an object that is nested at most %d deep", LIMIT_MANIFEST_DEPTH);
      return NULL;
    }
  json = merge_patch (base->json, patch);
  manifest = manifest_from_json (json, error);
  json_decref (json);
  return manifest;
}

bool
manifest_may_follow (const manifest_t *manifest, const manifest_t *next, GError **error)
{
  for (uint32_t i = 0; i < next->service_count; i++)
    {
      const manifest_service_t *after = &next->services[i];
      const manifest_service_t *before = manifest_find_service (manifest, after->name);
      if (before == NULL || before->claim_shards == after->claim_shards)
        continue;
      g_set_error (error, MANIFEST_ERROR, MANIFEST_ERROR_RANGE,
                   "services.%s.claim_shards: is %u and cannot become %u: existing claims of "
                   "idempotency keys would no longer be found",
                   after->name, before->claim_shards, after->claim_shards);
      return false;
    }
  return true;
}

manifest_t *
manifest_ref (manifest_t *manifest)
{
  g_atomic_ref_count_inc (&manifest->refs);
  return manifest;
}

void
manifest_unref (manifest_t *manifest)
{
  if (!g_atomic_ref_count_dec (&manifest->refs))
    return;
  free_tables (manifest);
  json_decref (manifest->json);
  g_free (manifest);
}

const manifest_account_t *
manifest_account_for_key (const manifest_t *manifest, const char *key)
{
  g_autofree char *hex = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);

  return g_hash_table_lookup (manifest->account_by_digest, hex);
}

const manifest_account_t *
manifest_find_account (const manifest_t *manifest, const char *name)
{
  G_STATIC_ASSERT (offsetof (manifest_account_t, name) == 0);
  return find_by_name (name, manifest->accounts, manifest->account_count,
                       sizeof *manifest->accounts);
}

const manifest_service_t *
manifest_find_service (const manifest_t *manifest, const char *name)
{
  G_STATIC_ASSERT (offsetof (manifest_service_t, name) == 0);
  return find_by_name (name, manifest->services, manifest->service_count,
                       sizeof *manifest->services);
}

const manifest_service_t *
manifest_service_of_engine (const manifest_t *manifest, const char *engine)
{
  return g_hash_table_lookup (manifest->service_by_engine, engine);
}

const manifest_class_t *
manifest_find_class (const manifest_t *manifest, const char *name)
{
  G_STATIC_ASSERT (offsetof (manifest_class_t, name) == 0);
  return find_by_name (name, manifest->classes, manifest->class_count, sizeof *manifest->classes);
}

const manifest_route_t *
manifest_find_route (const manifest_t *manifest,
                     const char *method,
                     const char *path,
                     const char *model)
{
  for (uint32_t i = 0; i < manifest->route_count; i++)
    if (route_matches (&manifest->routes[i], method, path, model))
      return &manifest->routes[i];
  return NULL;
}
