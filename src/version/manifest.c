#include "version/manifest.h"
#include "version/manifest_check.h"
#include "version/manifest_read.h"

#include <stdlib.h>
#include <string.h>

GQuark
man_error_quark (void)
{
  return g_quark_from_static_string ("man-error-quark");
}

/* As json_dumps() in the canonical form, but no longer than a manifest may be. */
static char *
canonical (const json_t *json, size_t *text_bytes, GError **error)
{
  size_t flags = JSON_SORT_KEYS | JSON_COMPACT;
  char *text;

  *text_bytes = json_dumpb (json, NULL, 0, flags);
  if (*text_bytes == 0 || *text_bytes > LIM_MANIFEST_BYTES)
    {
      mck_fail (error, MAN_ERROR_SYNTAX, "", NULL, "is larger than %d bytes", LIM_MANIFEST_BYTES);
      return NULL;
    }
  text = g_malloc (*text_bytes);
  json_dumpb (json, text, *text_bytes, flags);
  return text;
}

static bool
digest (man_t *man, GError **error)
{
  size_t text_bytes;
  g_autofree char *text = canonical (man->json, &text_bytes, error);
  g_autofree char *hex = NULL;

  if (text == NULL)
    return false;
  hex = g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *)text, text_bytes);
  g_strlcpy (man->digest, hex, sizeof man->digest);
  return true;
}

/* RFC 7386: null takes a member away, objects are merged, all else replaces. New reference. */
static json_t *
merge (const json_t *target, const json_t *patch)
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
        json_object_set_new (merged, key, merge (json_object_get (target, key), value));
    }
  return merged;
}

static const void *
find_named (const char *name, const void *table, uint32_t count, size_t item_bytes)
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
matches (const man_route_t *route, const char *method, const char *path, const char *model)
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
free_tables (man_t *man)
{
  for (uint32_t at = 0; at < man->service_count; at++)
    g_free (man->services[at].engines);
  g_free (man->accounts);
  g_free (man->services);
  g_free (man->classes);
  g_free (man->routes);
  g_clear_pointer (&man->account_by_digest, g_hash_table_unref);
  g_clear_pointer (&man->service_by_engine, g_hash_table_unref);
}

man_t *
man_from_json (json_t *json, GError **error)
{
  man_t *man;

  if (!mck_depth (json, LIM_MANIFEST_DEPTH))
    {
      mck_fail (error, MAN_ERROR_SYNTAX, "", NULL, "is nested deeper than %d", LIM_MANIFEST_DEPTH);
      return NULL;
    }
  man = g_new0 (man_t, 1);
  g_atomic_ref_count_init (&man->refs);
  man->json = json_incref (json);
  man->account_by_digest = g_hash_table_new (g_str_hash, g_str_equal);
  man->service_by_engine = g_hash_table_new (g_str_hash, g_str_equal);
  if (!mrd_read (man, error) || !digest (man, error))
    g_clear_pointer (&man, man_unref);
  return man;
}

man_t *
man_parse (const char *text, size_t text_bytes, GError **error)
{
  json_error_t fault;
  json_t *json;
  man_t *man;

  if (text_bytes > LIM_MANIFEST_BYTES)
    {
      mck_fail (error, MAN_ERROR_SYNTAX, "", NULL, "is larger than %d bytes", LIM_MANIFEST_BYTES);
      return NULL;
    }
  json = json_loadb (text, text_bytes, JSON_REJECT_DUPLICATES, &fault);
  if (json == NULL)
    {
      g_set_error (error, MAN_ERROR, MAN_ERROR_SYNTAX, "line %d, column %d: %s", fault.line,
                   fault.column, fault.text);
      return NULL;
    }
  man = man_from_json (json, error);
  json_decref (json);
  return man;
}

man_t *
man_patch (const man_t *base, const json_t *patch, GError **error)
{
  json_t *json;
  man_t *man;

  if (!json_is_object (patch) || !mck_depth (patch, LIM_MANIFEST_DEPTH))
    {
      mck_fail (error, MAN_ERROR_SYNTAX, "patch", NULL,
                "is not an object that is nested at most %d deep", LIM_MANIFEST_DEPTH);
      return NULL;
    }
  json = merge (base->json, patch);
  man = man_from_json (json, error);
  json_decref (json);
  return man;
}

bool
man_may_follow (const man_t *man, const man_t *next, GError **error)
{
  for (uint32_t i = 0; i < next->service_count; i++)
    {
      const man_service_t *after = &next->services[i];
      const man_service_t *before = man_service_named (man, after->name);
      if (before == NULL || before->claim_shards == after->claim_shards)
        continue;
      g_set_error (error, MAN_ERROR, MAN_ERROR_RANGE,
                   "services.%s.claim_shards: is %u and cannot become %u: keys that are remembered "
                   "would be forgotten",
                   after->name, before->claim_shards, after->claim_shards);
      return false;
    }
  return true;
}

man_t *
man_ref (man_t *man)
{
  g_atomic_ref_count_inc (&man->refs);
  return man;
}

void
man_unref (man_t *man)
{
  if (!g_atomic_ref_count_dec (&man->refs))
    return;
  free_tables (man);
  json_decref (man->json);
  g_free (man);
}

const man_account_t *
man_account_for_key (const man_t *man, const char *key)
{
  g_autofree char *hex = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);

  return g_hash_table_lookup (man->account_by_digest, hex);
}

const man_account_t *
man_account_named (const man_t *man, const char *name)
{
  G_STATIC_ASSERT (offsetof (man_account_t, name) == 0);
  return find_named (name, man->accounts, man->account_count, sizeof *man->accounts);
}

const man_service_t *
man_service_named (const man_t *man, const char *name)
{
  G_STATIC_ASSERT (offsetof (man_service_t, name) == 0);
  return find_named (name, man->services, man->service_count, sizeof *man->services);
}

const man_service_t *
man_service_of_engine (const man_t *man, const char *engine)
{
  return g_hash_table_lookup (man->service_by_engine, engine);
}

const man_class_t *
man_class_named (const man_t *man, const char *name)
{
  G_STATIC_ASSERT (offsetof (man_class_t, name) == 0);
  return find_named (name, man->classes, man->class_count, sizeof *man->classes);
}

const man_route_t *
man_route_for (const man_t *man, const char *method, const char *path, const char *model)
{
  for (uint32_t at = 0; at < man->route_count; at++)
    if (matches (&man->routes[at], method, path, model))
      return &man->routes[at];
  return NULL;
}
