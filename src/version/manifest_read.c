#include "version/manifest_read.h"
#include "request/policy/place.h"
#include "version/manifest_check.h"

#include <stdlib.h>
#include <string.h>

/* The characters allowed in the name of a daemon. An engine with any other name could never
 * register. */
#define HOST_NAME_CHARS "abcdefghijklmnopqrstuvwxyz0123456789.-"

static const mck_range_t WEIGHT = { 1, 1000000, 1000 };
static const mck_range_t QUEUE_LIMIT = { 1, LIM_QUEUE_TOTAL, LIM_QUEUE_PER_ACCOUNT };
static const mck_range_t PRIORITY = { 0, 9, 5 };
static const mck_range_t DEADLINE_MS = { 1, 3600 * 1000, 30 * 1000 };
static const mck_range_t EXPECTED_TOKENS = { 0, 1000000, 256 };
static const mck_range_t BOUND_PERCENT = { 100, 1000, 125 };
static const mck_range_t SLOTS = { 1, 4096, 8 };
static const mck_range_t CACHE_LIFETIME_MS = { 0, 24 * 3600 * 1000, 600 * 1000 };
static const mck_range_t PREFILL_TOKENS_S = { 1, 10000000, 8000 };
static const mck_range_t CLAIM_SHARDS = { 1, 64, 4 };

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
read_account (man_t *manifest, man_account_t *account, const mck_t *mck, GError **error)
{
  const char *digest = NULL;
  const man_account_t *other;

  if (!mck_text (mck, "key_sha256", &digest, error) ||
      !mck_u32 (mck, "weight", WEIGHT, &account->weight, error) ||
      !mck_u32 (mck, "queue_limit", QUEUE_LIMIT, &account->queue_limit, error))
    return false;
  if (!is_sha256_hex (digest))
    return mck_fail (error, MAN_ERROR_RANGE, mck->path, "key_sha256",
                     "is not a SHA-256 in 64 lower-case hex digits");
  g_strlcpy (account->key_digest, digest, sizeof account->key_digest);
  other = g_hash_table_lookup (manifest->account_by_digest, digest);
  if (other != NULL)
    return mck_fail (error, MAN_ERROR_REFERENCE, mck->path, "key_sha256",
                     "client account \"%s\" has the same key", other->name);
  g_hash_table_insert (manifest->account_by_digest, account->key_digest, account);
  return true;
}

static bool
read_accounts (man_t *manifest, json_t *object, GError **error)
{
  g_autofree const char **keys = sorted_keys (object);

  manifest->accounts = g_new0 (man_account_t, json_object_size (object));
  for (const char **key = keys; *key != NULL; key++)
    {
      man_account_t *account = &manifest->accounts[manifest->account_count++];
      mck_t mck = { 0 };
      bool ok;

      ok = mck_name (*key, "client_accounts", *key, error) &&
           mck_enter (&mck, json_object_get (object, *key), "client_accounts", *key, ACCOUNT_KEYS,
                      error) &&
           read_account (manifest, account, &mck, error);
      mck_leave (&mck);
      if (!ok)
        return false;
      g_strlcpy (account->name, *key, sizeof account->name);
      account->hash = rendezvous_hash_name (*key);
    }
  return true;
}

static bool
read_class (man_class_t *class, const mck_t *mck, GError **error)
{
  return mck_u32 (mck, "priority", PRIORITY, &class->priority, error) &&
         mck_u32 (mck, "deadline_ms", DEADLINE_MS, &class->deadline_ms, error) &&
         mck_u32 (mck, "expected_tokens", EXPECTED_TOKENS, &class->expected_tokens, error);
}

static bool
read_classes (man_t *manifest, json_t *object, GError **error)
{
  g_autofree const char **keys = sorted_keys (object);

  manifest->classes = g_new0 (man_class_t, json_object_size (object));
  for (const char **key = keys; *key != NULL; key++)
    {
      man_class_t *class = &manifest->classes[manifest->class_count++];
      mck_t mck = { 0 };
      bool ok;

      ok = mck_name (*key, "classes", *key, error) &&
           mck_enter (&mck, json_object_get (object, *key), "classes", *key, CLASS_KEYS, error) &&
           read_class (class, &mck, error);
      mck_leave (&mck);
      if (!ok)
        return false;
      g_strlcpy (class->name, *key, sizeof class->name);
    }
  return true;
}

static bool
read_kind (man_service_t *service, const mck_t *mck, GError **error)
{
  const char *kind = NULL;

  if (!mck_text (mck, "kind", &kind, error))
    return false;
  if (strcmp (kind, "model") == 0)
    service->kind = MAN_KIND_MODEL;
  else if (strcmp (kind, "plain") == 0)
    service->kind = MAN_KIND_PLAIN;
  else
    return mck_fail (error, MAN_ERROR_RANGE, mck->path, "kind",
                     "is neither \"model\" nor \"plain\"");
  return true;
}

static bool
read_engine (
    man_t *manifest, man_service_t *service, const mck_t *mck, const json_t *json, GError **error)
{
  const man_service_t *other;
  g_autofree char *item_key = g_strdup_printf ("engines[%u]", service->engine_count);
  const char *name = json_string_value (json);
  char *stored = service->engines[service->engine_count];

  if (name == NULL)
    return mck_fail (error, MAN_ERROR_TYPE, mck->path, item_key, "is not a string");
  if (!mck_name (name, mck->path, item_key, error))
    return false;
  if (name[strspn (name, HOST_NAME_CHARS)] != '\0')
    return mck_fail (error, MAN_ERROR_RANGE, mck->path, item_key,
                     "no host can be named \"%s\": hosts have a-z, 0-9, '.' and '-'", name);
  other = g_hash_table_lookup (manifest->service_by_engine, name);
  if (other != NULL)
    return mck_fail (error, MAN_ERROR_REFERENCE, mck->path, item_key,
                     "engine \"%s\" is already listed in service \"%s\"", name, other->name);
  g_strlcpy (stored, name, LIM_NAME_BYTES);
  g_hash_table_insert (manifest->service_by_engine, stored, service);
  service->engine_count++;
  return true;
}

static bool
read_engines (man_t *manifest, man_service_t *service, const mck_t *mck, GError **error)
{
  json_t *list;
  json_t *item;
  size_t index;

  if (!mck_items (mck, "engines", &list, error))
    return false;
  service->engines = g_malloc0_n (json_array_size (list), LIM_NAME_BYTES);
  json_array_foreach (list, index, item)
    {
      if (!read_engine (manifest, service, mck, item, error))
        return false;
    }
  return true;
}

static bool
read_service (man_t *manifest, man_service_t *service, const mck_t *mck, GError **error)
{
  return read_kind (service, mck, error) && read_engines (manifest, service, mck, error) &&
         mck_u32 (mck, "bound_percent", BOUND_PERCENT, &service->bound_percent, error) &&
         mck_u32 (mck, "slots", SLOTS, &service->slots, error) &&
         mck_u32 (mck, "cache_lifetime_ms", CACHE_LIFETIME_MS, &service->cache_lifetime_ms,
                  error) &&
         mck_u32 (mck, "prefill_tokens_s", PREFILL_TOKENS_S, &service->prefill_tokens_s, error) &&
         mck_u32 (mck, "claim_shards", CLAIM_SHARDS, &service->claim_shards, error);
}

static bool
read_services (man_t *manifest, json_t *object, GError **error)
{
  g_autofree const char **keys = sorted_keys (object);

  manifest->services = g_new0 (man_service_t, json_object_size (object));
  for (const char **key = keys; *key != NULL; key++)
    {
      man_service_t *service = &manifest->services[manifest->service_count++];
      mck_t mck = { 0 };
      bool ok;

      g_strlcpy (service->name, *key, sizeof service->name);
      service->hash = rendezvous_hash_name (*key);
      ok =
          mck_name (*key, "services", *key, error) &&
          mck_enter (&mck, json_object_get (object, *key), "services", *key, SERVICE_KEYS, error) &&
          read_service (manifest, service, &mck, error);
      mck_leave (&mck);
      if (!ok)
        return false;
    }
  return true;
}

static bool
check_method (const man_route_t *route, const mck_t *mck, GError **error)
{
  for (const char *c = route->method; *c != '\0'; c++)
    if (!g_ascii_isupper (*c))
      return mck_fail (error, MAN_ERROR_RANGE, mck->path, "method", "is not in upper-case letters");
  return true;
}

static bool
check_path (const man_route_t *route, const mck_t *mck, GError **error)
{
  const char *star = strchr (route->path, '*');

  if (route->path[0] != '/')
    return mck_fail (error, MAN_ERROR_RANGE, mck->path, "path", "does not start with '/'");
  if (star != NULL && star[1] != '\0')
    return mck_fail (error, MAN_ERROR_RANGE, mck->path, "path", "has a '*' before its end");
  for (const char *c = route->path; *c != '\0'; c++)
    if (!g_ascii_isgraph (*c) || *c == '?' || *c == '#')
      return mck_fail (error, MAN_ERROR_RANGE, mck->path, "path",
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
covers_route (const man_route_t *early, const man_route_t *late)
{
  return (early->method[0] == '\0' || strcmp (early->method, late->method) == 0) &&
         (early->model[0] == '\0' || strcmp (early->model, late->model) == 0) &&
         covers_path (early->path, late->path);
}

static bool
check_reachable (const man_t *manifest, const man_route_t *route, const mck_t *mck, GError **error)
{
  for (const man_route_t *early = manifest->routes; early < route; early++)
    if (covers_route (early, route))
      return mck_fail (error, MAN_ERROR_REFERENCE, mck->path, NULL,
                       "never matches: routes[%d] matches the same requests first",
                       (int)(early - manifest->routes));
  return true;
}

static bool
read_references (const man_t *manifest, man_route_t *route, const mck_t *mck, GError **error)
{
  char name[LIM_NAME_BYTES];
  const man_service_t *service;
  const man_class_t *class;

  if (!mck_copy (mck, "service", true, name, sizeof name, error))
    return false;
  service = man_service_named (manifest, name);
  if (service == NULL)
    return mck_fail (error, MAN_ERROR_REFERENCE, mck->path, "service", "no service is named \"%s\"",
                     name);
  if (!mck_copy (mck, "class", true, name, sizeof name, error))
    return false;
  class = man_class_named (manifest, name);
  if (class == NULL)
    return mck_fail (error, MAN_ERROR_REFERENCE, mck->path, "class", "no class is named \"%s\"",
                     name);
  route->service_index = (uint32_t)(service - manifest->services);
  route->class_index = (uint32_t)(class - manifest->classes);
  return true;
}

static bool
read_route (const man_t *manifest, man_route_t *route, const mck_t *mck, GError **error)
{
  return mck_copy (mck, "method", false, route->method, sizeof route->method, error) &&
         check_method (route, mck, error) &&
         mck_copy (mck, "path", true, route->path, sizeof route->path, error) &&
         check_path (route, mck, error) &&
         mck_copy (mck, "model", false, route->model, sizeof route->model, error) &&
         mck_bool (mck, "idempotent", &route->idempotent, error) &&
         read_references (manifest, route, mck, error) &&
         check_reachable (manifest, route, mck, error);
}

static bool
read_routes (man_t *manifest, json_t *list, GError **error)
{
  json_t *item;
  size_t index;

  if (json_array_size (list) > LIM_MANIFEST_ROUTES)
    return mck_fail (error, MAN_ERROR_RANGE, "routes", NULL, "has more than %d items",
                     LIM_MANIFEST_ROUTES);
  manifest->routes = g_new0 (man_route_t, json_array_size (list));
  json_array_foreach (list, index, item)
    {
      man_route_t *route = &manifest->routes[manifest->route_count++];
      mck_t mck = { 0 };
      bool ok = mck_enter_item (&mck, item, "routes", index, ROUTE_KEYS, error) &&
                read_route (manifest, route, &mck, error);

      mck_leave (&mck);
      if (!ok)
        return false;
    }
  return true;
}

bool
mrd_read (man_t *manifest, GError **error)
{
  mck_t mck = { 0 };
  json_t *accounts;
  json_t *classes;
  json_t *services;
  json_t *routes;
  bool ok;

  ok = mck_enter (&mck, manifest->json, "", NULL, DOCUMENT_KEYS, error) &&
       mck_members (&mck, "client_accounts", &accounts, error) &&
       mck_members (&mck, "classes", &classes, error) &&
       mck_members (&mck, "services", &services, error) &&
       mck_items (&mck, "routes", &routes, error) && read_accounts (manifest, accounts, error) &&
       read_classes (manifest, classes, error) && read_services (manifest, services, error) &&
       read_routes (manifest, routes, error);
  mck_leave (&mck);
  return ok;
}
