#include "version/routing.h"

#include <string.h>
#include <xxhash.h>

#define HOST_BYTES_MAX 256  /* with the terminating NUL */
#define PATH_BYTES_MAX 2048 /* with the terminating NUL */

/**
 * struct routing - a routing table
 * @routes: lookup key ("host/prefix/") -> routing_route_t, with a reference
 * @sources: source_hash -> routing_route_t in @routes
 * @accounts: name -> routing_account_t
 * @keys: API key -> routing_account_t in @accounts
 * @services: interned name -> routing_service_t
 * @keys_required: routes that are not public need an API key
 */
struct routing
{
  gint refs;
  uint64_t version;
  GHashTable *routes;
  GHashTable *sources;
  GHashTable *accounts;
  GHashTable *keys;
  GHashTable *services;
  routing_limits_t limits;
  bool keys_required;
};

GQuark
routing_error_quark (void)
{
  return g_quark_from_static_string ("routing-error-quark");
}

static void
account_free (gpointer data)
{
  routing_account_t *account = data;

  g_free (account->name);
  g_strfreev (account->regions);
  g_free (account);
}

static void
route_unref (gpointer data)
{
  routing_route_unref (data);
}

routing_t *
routing_new (uint64_t version)
{
  routing_t *routing = g_new0 (routing_t, 1);

  routing->refs = 1;
  routing->version = version;
  routing->routes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, route_unref);
  routing->sources = g_hash_table_new (g_int64_hash, g_int64_equal);
  routing->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, account_free);
  routing->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  routing->services = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return routing;
}

routing_t *
routing_ref (routing_t *routing)
{
  g_atomic_int_inc (&routing->refs);
  return routing;
}

void
routing_unref (routing_t *routing)
{
  if (!g_atomic_int_dec_and_test (&routing->refs))
    return;
  g_hash_table_destroy (routing->sources);
  g_hash_table_destroy (routing->routes);
  g_hash_table_destroy (routing->keys);
  g_hash_table_destroy (routing->accounts);
  g_hash_table_destroy (routing->services);
  g_free (routing);
}

routing_route_t *
routing_route_new (const char *name, const char *host, const char *path_prefix)
{
  routing_route_t *route = g_new0 (routing_route_t, 1);

  route->name = g_strdup (name);
  route->host = g_ascii_strdown (host, -1);
  route->path_prefix = g_strdup (path_prefix);
  route->targets = g_array_new (FALSE, TRUE, sizeof (routing_target_t));
  route->lookup_key = g_strconcat (route->host, path_prefix, NULL);
  route->refs = 1;
  return route;
}

void
routing_route_add_target (routing_route_t *route, const char *service, uint32_t weight)
{
  routing_target_t target = { .service = g_intern_string (service), .weight = weight };

  g_array_append_val (route->targets, target);
}

void
routing_route_unref (routing_route_t *route)
{
  if (!g_atomic_int_dec_and_test (&route->refs))
    return;
  g_free (route->lookup_key);
  g_free (route->name);
  g_free (route->host);
  g_free (route->path_prefix);
  g_array_free (route->targets, TRUE);
  g_strfreev (route->regions);
  g_free (route);
}

static uint64_t
weight_sum (const routing_route_t *route)
{
  uint64_t sum = 0;

  for (guint i = 0; i < route->targets->len; i++)
    sum += g_array_index (route->targets, routing_target_t, i).weight;
  return sum;
}

static const char *
route_error (const routing_route_t *route)
{
  const char *prefix = route->path_prefix;

  if (route->host[0] == '\0' || strchr (route->host, '/') || strlen (route->host) >= HOST_BYTES_MAX)
    return "has an invalid host";
  if (prefix[0] != '/' || !g_str_has_suffix (prefix, "/") || strlen (prefix) >= PATH_BYTES_MAX)
    return "has a path prefix that does not begin and end with a slash";
  if (weight_sum (route) == 0)
    return "has no service with a weight above zero";
  if (route->timeout_ms == 0 || route->attempts == 0)
    return "has no timeout or no attempts";
  return NULL;
}

/* Takes over one reference to @route. */
static void
insert_route (routing_t *routing, routing_route_t *route)
{
  g_hash_table_insert (routing->routes, route->lookup_key, route);
  if (route->source_hash != 0)
    g_hash_table_insert (routing->sources, &route->source_hash, route);
}

bool
routing_add_route (routing_t *routing, routing_route_t *route, GError **error)
{
  const char *reason = route_error (route);

  if (!reason && g_hash_table_contains (routing->routes, route->lookup_key))
    reason = "has the host and prefix of another";
  if (!reason)
    {
      insert_route (routing, route);
      return true;
    }
  g_set_error (error, ROUTING_ERROR, ROUTING_ERROR_ROUTE, "route \"%s\" %s", route->name, reason);
  routing_route_unref (route);
  return false;
}

bool
routing_reuse_route (routing_t *routing, const routing_t *before, uint64_t source_hash)
{
  routing_route_t *route = g_hash_table_lookup (before->sources, &source_hash);

  if (!route || g_hash_table_contains (routing->routes, route->lookup_key))
    return false;
  g_atomic_int_inc (&route->refs);
  insert_route (routing, route);
  return true;
}

bool
routing_add_account (routing_t *routing,
                     const routing_account_t *account,
                     const char *const *keys,
                     uint32_t key_count,
                     GError **error)
{
  routing_account_t *copy;

  if (g_hash_table_contains (routing->accounts, account->name))
    {
      g_set_error (error, ROUTING_ERROR, ROUTING_ERROR_ACCOUNT,
                   "client account \"%s\" is defined twice", account->name);
      return false;
    }
  copy = g_memdup2 (account, sizeof *account);
  copy->name = g_strdup (account->name);
  copy->regions = g_strdupv (account->regions);
  copy->hash = XXH64 (copy->name, strlen (copy->name), 0);
  g_hash_table_insert (routing->accounts, copy->name, copy);
  for (uint32_t i = 0; i < key_count; i++)
    if (!g_hash_table_insert (routing->keys, g_strdup (keys[i]), copy))
      {
        g_set_error (error, ROUTING_ERROR, ROUTING_ERROR_ACCOUNT,
                     "an API key of client account \"%s\" is already in use", account->name);
        return false;
      }
  return true;
}

void
routing_add_service (routing_t *routing, const routing_service_t *service)
{
  g_hash_table_insert (routing->services, (gpointer)service->name,
                       g_memdup2 (service, sizeof *service));
}

const routing_service_t *
routing_find_service (const routing_t *routing, const char *name)
{
  return g_hash_table_lookup (routing->services, name);
}

void
routing_set_limits (routing_t *routing, const routing_limits_t *limits)
{
  routing->limits = *limits;
}

void
routing_require_keys (routing_t *routing)
{
  routing->keys_required = true;
}

uint64_t
routing_version (const routing_t *routing)
{
  return routing->version;
}

uint32_t
routing_route_count (const routing_t *routing)
{
  return g_hash_table_size (routing->routes);
}

static bool
has_target (const routing_route_t *route, const char *service)
{
  for (guint i = 0; i < route->targets->len; i++)
    if (g_array_index (route->targets, routing_target_t, i).service == service)
      return true;
  return false;
}

uint32_t
routing_longest_stream_ms (const routing_t *routing, const char *service)
{
  const char *interned = g_intern_string (service);
  uint32_t longest_ms = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, routing->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const routing_route_t *route = value;

      if (route->kind == ROUTING_STREAM && route->resumable && has_target (route, interned))
        longest_ms = MAX (longest_ms, route->timeout_ms);
    }
  return longest_ms;
}

const routing_limits_t *
routing_limits (const routing_t *routing)
{
  return &routing->limits;
}

bool
routing_needs_key (const routing_t *routing, const routing_route_t *route)
{
  return routing->keys_required && !route->is_public;
}

/* Writes the host without its port to @out, in lower case. Return: its length; 0 when it is invalid
 * or too long. */
static size_t
normalize_host (const char *host, char *out)
{
  size_t bytes = host[0] == '[' ? strcspn (host, "]") + 1 : strcspn (host, ":");

  if (bytes == 0 || bytes >= HOST_BYTES_MAX || bytes > strlen (host))
    return 0;
  for (size_t i = 0; i < bytes; i++)
    out[i] = g_ascii_tolower (host[i]);
  return bytes;
}

/* Every prefix ends with a slash, so only the prefixes of the path that end with one are looked up,
 * the longest first. */
const routing_route_t *
routing_find_route (const routing_t *routing, const char *host, const char *target)
{
  char lookup_key[HOST_BYTES_MAX + PATH_BYTES_MAX];
  size_t host_bytes = host ? normalize_host (host, lookup_key) : 0;
  size_t path_bytes = strcspn (target, "?#");

  if (host_bytes == 0)
    return NULL;
  path_bytes = MIN (path_bytes, PATH_BYTES_MAX - 1);
  memcpy (lookup_key + host_bytes, target, path_bytes);
  for (size_t length = path_bytes; length > 0; length--)
    {
      const routing_route_t *route;

      if (target[length - 1] != '/')
        continue;
      lookup_key[host_bytes + length] = '\0';
      route = g_hash_table_lookup (routing->routes, lookup_key);
      if (route)
        return route;
    }
  return NULL;
}

const routing_account_t *
routing_find_account (const routing_t *routing, const char *key)
{
  return g_hash_table_lookup (routing->keys, key);
}

const char *
routing_route_choose_service (const routing_route_t *route, uint64_t selector)
{
  uint64_t sum = weight_sum (route);
  uint64_t remainder;

  g_assert (sum > 0);
  remainder = selector % sum;
  for (guint i = 0; i < route->targets->len; i++)
    {
      const routing_target_t *target = &g_array_index (route->targets, routing_target_t, i);

      if (remainder < target->weight)
        return target->service;
      remainder -= target->weight;
    }
  g_assert_not_reached ();
}
