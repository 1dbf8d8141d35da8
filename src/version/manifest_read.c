#include "version/manifest_read.h"
#include "request/policy/placement/rendezvous.h"
#include "version/json_reader.h"

#include <stdlib.h>
#include <string.h>

/* The characters allowed in the name of a daemon. An engine with any other name could never
 * register. */
#define HOST_NAME_CHARS "abcdefghijklmnopqrstuvwxyz0123456789.-"

static const json_reader_range_t WEIGHT = { 1, 1000000, 1000 };
static const json_reader_range_t QUEUE_LIMIT = { 1, LIMIT_QUEUED, LIMIT_QUEUED_PER_ACCOUNT };
static const json_reader_range_t PRIORITY = { 0, 9, 5 };
static const json_reader_range_t DEADLINE_MS = { 1, 3600 * 1000, 30 * 1000 };
static const json_reader_range_t EXPECTED_TOKENS = { 0, 1000000, 256 };
static const json_reader_range_t BOUND_PERCENT = { 100, 1000, 125 };
static const json_reader_range_t SLOTS = { 1, 4096, 8 };
static const json_reader_range_t CACHE_LIFETIME_MS = { 0, 24 * 3600 * 1000, 600 * 1000 };
static const json_reader_range_t PREFILL_TOKENS_S = { 1, 10000000, 8000 };
static const json_reader_range_t CLAIM_SHARDS = { 1, 64, 4 };

static const char *const DOCUMENT_KEYS[] = { "client_accounts", "classes", "services", "routes",
                                             NULL };
static const char *const ACCOUNT_KEYS[] = { "key_sha256", "weight", "queue_limit", NULL };
static const char *const CLASS_KEYS[] = { "priority", "deadline_ms", "expected_tokens", NULL };
static const char *const SERVICE_KEYS[] = {
  "kind",         "engines", "bound_percent", "slots", "cache_lifetime_ms", "prefill_tokens_s",
  "claim_shards", NULL
};
static const char *const ROUTE_KEYS[] = { "method", "path",       "model", "service",
                                          "class",  "idempotent", NULL };

static int
compare_names (const void *one, const void *other)
{
  return strcmp (*(const char *const *)one, *(const char *const *)other);
}

/* Return: the keys of @object in ascending order, terminated by NULL; the strings belong to
 * @object. */
static const char **
sorted_keys (json_t *object)
{
  const char **keys = g_new0 (const char *, json_object_size (object) + 1);
  size_t count = 0;
  const char *key;
  json_t *value;

  json_object_foreach (object, key, value)
    {
      keys[count++] = key;
    }
  qsort (keys, count, sizeof *keys, compare_names);
  return keys;
}

static bool
is_sha256_hex (const char *text)
{
  return strlen (text) == 64 && strspn (text, "0123456789abcdef") == 64;
}

static bool
read_account (manifest_t *manifest,
              manifest_account_t *account,
              const json_reader_t *reader,
              GError **error)
{
  const char *digest = NULL;
  const manifest_account_t *other;

  if (!json_reader_get_string (reader, "key_sha256", &digest, error) ||
      !json_reader_get_u32 (reader, "weight", WEIGHT, &account->weight, error) ||
      !json_reader_get_u32 (reader, "queue_limit", QUEUE_LIMIT, &account->queue_limit, error))
    return false;
  if (!is_sha256_hex (digest))
    return json_reader_fail (error, MANIFEST_ERROR_RANGE, reader->path, "key_sha256",
                             "is not a SHA-256 in 64 lower-case hex digits");
  g_strlcpy (account->key_digest, digest, sizeof account->key_digest);
  other = g_hash_table_lookup (manifest->account_by_digest, digest);
  if (other != NULL)
    return json_reader_fail (error, MANIFEST_ERROR_REFERENCE, reader->path, "key_sha256",
                             "client account \"%s\" has the same key", other->name);
  g_hash_table_insert (manifest->account_by_digest, account->key_digest, account);
  return true;
}

static bool
read_accounts (manifest_t *manifest, json_t *object, GError **error)
{
  g_autofree const char **keys = sorted_keys (object);

  manifest->accounts = g_new0 (manifest_account_t, json_object_size (object));
  for (const char **key = keys; *key != NULL; key++)
    {
      manifest_account_t *account = &manifest->accounts[manifest->account_count++];
      json_reader_t reader = { 0 };
      bool ok;

      ok = json_reader_check_name (*key, "client_accounts", *key, error) &&
           json_reader_init (&reader, json_object_get (object, *key), "client_accounts", *key,
                             ACCOUNT_KEYS, error) &&
           read_account (manifest, account, &reader, error);
      json_reader_clear (&reader);
      if (!ok)
        return false;
      g_strlcpy (account->name, *key, sizeof account->name);
      account->hash = rendezvous_hash_name (*key);
    }
  return true;
}

static bool
read_class (manifest_class_t *class, const json_reader_t *reader, GError **error)
{
  return json_reader_get_u32 (reader, "priority", PRIORITY, &class->priority, error) &&
         json_reader_get_u32 (reader, "deadline_ms", DEADLINE_MS, &class->deadline_ms, error) &&
         json_reader_get_u32 (reader, "expected_tokens", EXPECTED_TOKENS, &class->expected_tokens,
                              error);
}

static bool
read_classes (manifest_t *manifest, json_t *object, GError **error)
{
  g_autofree const char **keys = sorted_keys (object);

  manifest->classes = g_new0 (manifest_class_t, json_object_size (object));
  for (const char **key = keys; *key != NULL; key++)
    {
      manifest_class_t *class = &manifest->classes[manifest->class_count++];
      json_reader_t reader = { 0 };
      bool ok;

      ok = json_reader_check_name (*key, "classes", *key, error) &&
           json_reader_init (&reader, json_object_get (object, *key), "classes", *key, CLASS_KEYS,
                             error) &&
           read_class (class, &reader, error);
      json_reader_clear (&reader);
      if (!ok)
        return false;
      g_strlcpy (class->name, *key, sizeof class->name);
    }
  return true;
}

static bool
read_kind (manifest_service_t *service, const json_reader_t *reader, GError **error)
{
  const char *kind = NULL;

  if (!json_reader_get_string (reader, "kind", &kind, error))
    return false;
  if (strcmp (kind, "model") == 0)
    service->kind = MANIFEST_KIND_MODEL;
  else if (strcmp (kind, "plain") == 0)
    service->kind = MANIFEST_KIND_PLAIN;
  else
    return json_reader_fail (error, MANIFEST_ERROR_RANGE, reader->path, "kind",
                             "is neither \"model\" nor \"plain\"");
  return true;
}

static bool
read_engine (manifest_t *manifest,
             manifest_service_t *service,
             const json_reader_t *reader,
             const json_t *json,
             GError **error)
{
  const manifest_service_t *other;
  g_autofree char *item_key = g_strdup_printf ("engines[%u]", service->engine_count);
  const char *name = json_string_value (json);
  char *stored = service->engines[service->engine_count];

  if (name == NULL)
    return json_reader_fail (error, MANIFEST_ERROR_TYPE, reader->path, item_key, "is not a string");
  if (!json_reader_check_name (name, reader->path, item_key, error))
    return false;
  if (name[strspn (name, HOST_NAME_CHARS)] != '\0')
    return json_reader_fail (error, MANIFEST_ERROR_RANGE, reader->path, item_key,
                             "no host can be named \"%s\": hosts have a-z, 0-9, '.' and '-'", name);
  other = g_hash_table_lookup (manifest->service_by_engine, name);
  if (other != NULL)
    return json_reader_fail (error, MANIFEST_ERROR_REFERENCE, reader->path, item_key,
                             "engine \"%s\" is already listed in service \"%s\"", name,
                             other->name);
  g_strlcpy (stored, name, LIMIT_NAME_BYTES);
  g_hash_table_insert (manifest->service_by_engine, stored, service);
  service->engine_count++;
  return true;
}

static bool
read_engines (manifest_t *manifest,
              manifest_service_t *service,
              const json_reader_t *reader,
              GError **error)
{
  json_t *list;
  json_t *item;
  size_t index;

  if (!json_reader_get_array (reader, "engines", &list, error))
    return false;
  service->engines = g_malloc0_n (json_array_size (list), LIMIT_NAME_BYTES);
  json_array_foreach (list, index, item)
    {
      if (!read_engine (manifest, service, reader, item, error))
        return false;
    }
  return true;
}

static bool
read_service (manifest_t *manifest,
              manifest_service_t *service,
              const json_reader_t *reader,
              GError **error)
{
  return read_kind (service, reader, error) && read_engines (manifest, service, reader, error) &&
         json_reader_get_u32 (reader, "bound_percent", BOUND_PERCENT, &service->bound_percent,
                              error) &&
         json_reader_get_u32 (reader, "slots", SLOTS, &service->slots, error) &&
         json_reader_get_u32 (reader, "cache_lifetime_ms", CACHE_LIFETIME_MS,
                              &service->cache_lifetime_ms, error) &&
         json_reader_get_u32 (reader, "prefill_tokens_s", PREFILL_TOKENS_S,
                              &service->prefill_tokens_s, error) &&
         json_reader_get_u32 (reader, "claim_shards", CLAIM_SHARDS, &service->claim_shards, error);
}

static bool
read_services (manifest_t *manifest, json_t *object, GError **error)
{
  g_autofree const char **keys = sorted_keys (object);

  manifest->services = g_new0 (manifest_service_t, json_object_size (object));
  for (const char **key = keys; *key != NULL; key++)
    {
      manifest_service_t *service = &manifest->services[manifest->service_count++];
      json_reader_t reader = { 0 };
      bool ok;

      g_strlcpy (service->name, *key, sizeof service->name);
      service->hash = rendezvous_hash_name (*key);
      ok = json_reader_check_name (*key, "services", *key, error) &&
           json_reader_init (&reader, json_object_get (object, *key), "services", *key,
                             SERVICE_KEYS, error) &&
           read_service (manifest, service, &reader, error);
      json_reader_clear (&reader);
      if (!ok)
        return false;
    }
  return true;
}

static bool
check_method (const manifest_route_t *route, const json_reader_t *reader, GError **error)
{
  for (const char *c = route->method; *c != '\0'; c++)
    if (!g_ascii_isupper (*c))
      return json_reader_fail (error, MANIFEST_ERROR_RANGE, reader->path, "method",
                               "is not in upper-case letters");
  return true;
}

static bool
check_path (const manifest_route_t *route, const json_reader_t *reader, GError **error)
{
  const char *star = strchr (route->path, '*');

  if (route->path[0] != '/')
    return json_reader_fail (error, MANIFEST_ERROR_RANGE, reader->path, "path",
                             "does not start with '/'");
  if (star != NULL && star[1] != '\0')
    return json_reader_fail (error, MANIFEST_ERROR_RANGE, reader->path, "path",
                             "has a '*' before its end");
  for (const char *c = route->path; *c != '\0'; c++)
    if (!g_ascii_isgraph (*c) || *c == '?' || *c == '#')
      return json_reader_fail (error, MANIFEST_ERROR_RANGE, reader->path, "path",
                               "has a character that is not allowed in a path");
  return true;
}

static bool
covers_path (const char *pattern, const char *path)
{
  size_t length = strlen (pattern);

  if (pattern[length - 1] == '*')
    return strncmp (pattern, path, length - 1) == 0;
  return strcmp (pattern, path) == 0;
}

/* Whether @early matches every request that @late matches. */
static bool
covers_route (const manifest_route_t *early, const manifest_route_t *late)
{
  return (early->method[0] == '\0' || strcmp (early->method, late->method) == 0) &&
         (early->model[0] == '\0' || strcmp (early->model, late->model) == 0) &&
         covers_path (early->path, late->path);
}

static bool
check_reachable (const manifest_t *manifest,
                 const manifest_route_t *route,
                 const json_reader_t *reader,
                 GError **error)
{
  for (const manifest_route_t *early = manifest->routes; early < route; early++)
    if (covers_route (early, route))
      return json_reader_fail (error, MANIFEST_ERROR_REFERENCE, reader->path, NULL,
                               "never matches: routes[%d] matches the same requests first",
                               (int)(early - manifest->routes));
  return true;
}

static bool
read_references (const manifest_t *manifest,
                 manifest_route_t *route,
                 const json_reader_t *reader,
                 GError **error)
{
  char name[LIMIT_NAME_BYTES];
  const manifest_service_t *service;
  const manifest_class_t *class;

  if (!json_reader_copy_string (reader, "service", true, name, sizeof name, error))
    return false;
  service = manifest_find_service (manifest, name);
  if (service == NULL)
    return json_reader_fail (error, MANIFEST_ERROR_REFERENCE, reader->path, "service",
                             "no service is named \"%s\"", name);
  if (!json_reader_copy_string (reader, "class", true, name, sizeof name, error))
    return false;
  class = manifest_find_class (manifest, name);
  if (class == NULL)
    return json_reader_fail (error, MANIFEST_ERROR_REFERENCE, reader->path, "class",
                             "no class is named \"%s\"", name);
  route->service_index = (uint32_t)(service - manifest->services);
  route->class_index = (uint32_t)(class - manifest->classes);
  return true;
}

static bool
read_route (const manifest_t *manifest,
            manifest_route_t *route,
            const json_reader_t *reader,
            GError **error)
{
  return json_reader_copy_string (reader, "method", false, route->method, sizeof route->method,
                                  error) &&
         check_method (route, reader, error) &&
         json_reader_copy_string (reader, "path", true, route->path, sizeof route->path, error) &&
         check_path (route, reader, error) &&
         json_reader_copy_string (reader, "model", false, route->model, sizeof route->model,
                                  error) &&
         json_reader_get_bool (reader, "idempotent", &route->idempotent, error) &&
         read_references (manifest, route, reader, error) &&
         check_reachable (manifest, route, reader, error);
}

static bool
read_routes (manifest_t *manifest, json_t *list, GError **error)
{
  json_t *item;
  size_t index;

  if (json_array_size (list) > LIMIT_MANIFEST_ROUTES)
    return json_reader_fail (error, MANIFEST_ERROR_RANGE, "routes", NULL, "has more than %d items",
                             LIMIT_MANIFEST_ROUTES);
  manifest->routes = g_new0 (manifest_route_t, json_array_size (list));
  json_array_foreach (list, index, item)
    {
      manifest_route_t *route = &manifest->routes[manifest->route_count++];
      json_reader_t reader = { 0 };
      bool ok = json_reader_init_item (&reader, item, "routes", index, ROUTE_KEYS, error) &&
                read_route (manifest, route, &reader, error);

      json_reader_clear (&reader);
      if (!ok)
        return false;
    }
  return true;
}

bool
manifest_read_tables (manifest_t *manifest, GError **error)
{
  json_reader_t reader = { 0 };
  json_t *accounts;
  json_t *classes;
  json_t *services;
  json_t *routes;
  bool ok;

  ok = json_reader_init (&reader, manifest->json, "", NULL, DOCUMENT_KEYS, error) &&
       json_reader_get_object (&reader, "client_accounts", &accounts, error) &&
       json_reader_get_object (&reader, "classes", &classes, error) &&
       json_reader_get_object (&reader, "services", &services, error) &&
       json_reader_get_array (&reader, "routes", &routes, error) &&
       read_accounts (manifest, accounts, error) && read_classes (manifest, classes, error) &&
       read_services (manifest, services, error) && read_routes (manifest, routes, error);
  json_reader_clear (&reader);
  return ok;
}
