#include "version/routing.h"

#include <string.h>
#include <xxhash.h>

#define HOST_BYTES_MAX 256  /* with the terminating NUL */
#define PATH_BYTES_MAX 2048 /* with the terminating NUL */

/**
 * struct rte - a routing table
 * @routes: lookup key ("host/prefix/") -> rte_route_t, with a reference
 * @sources: source_hash -> rte_route_t in @routes
 * @accounts: name -> rte_account_t
 * @keys: API key -> rte_account_t in @accounts
 * @services: interned name -> rte_service_t
 * @keys_required: routes that are not public need an API key
 */
struct rte
{
  gint refs;
  uint64_t version;
  GHashTable *routes;
  GHashTable *sources;
  GHashTable *accounts;
  GHashTable *keys;
  GHashTable *services;
  rte_limits_t limits;
  bool keys_required;
};

GQuark
rte_error_quark (void)
{
  return g_quark_from_static_string ("routing-error-quark");
}

static void
account_free (gpointer data)
{
  rte_account_t *account = data;

  g_free (account->name);
  g_strfreev (account->regions);
  g_free (account);
}

static void
route_unref (gpointer data)
{
  rte_route_unref (data);
}

rte_t *
rte_new (uint64_t version)
{
  rte_t *rte = g_new0 (rte_t, 1);

  rte->refs = 1;
  rte->version = version;
  rte->routes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, route_unref);
  rte->sources = g_hash_table_new (g_int64_hash, g_int64_equal);
  rte->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, account_free);
  rte->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  rte->services = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return rte;
}

rte_t *
rte_ref (rte_t *rte)
{
  g_atomic_int_inc (&rte->refs);
  return rte;
}

void
rte_unref (rte_t *rte)
{
  if (!g_atomic_int_dec_and_test (&rte->refs))
    return;
  g_hash_table_destroy (rte->sources);
  g_hash_table_destroy (rte->routes);
  g_hash_table_destroy (rte->keys);
  g_hash_table_destroy (rte->accounts);
  g_hash_table_destroy (rte->services);
  g_free (rte);
}

rte_route_t *
rte_route_new (const char *name, const char *host, const char *path_prefix)
{
  rte_route_t *route = g_new0 (rte_route_t, 1);

  route->name = g_strdup (name);
  route->host = g_ascii_strdown (host, -1);
  route->path_prefix = g_strdup (path_prefix);
  route->targets = g_array_new (FALSE, TRUE, sizeof (rte_target_t));
  route->lookup_key = g_strconcat (route->host, path_prefix, NULL);
  route->refs = 1;
  return route;
}

void
rte_route_target (rte_route_t *route, const char *service, uint32_t weight)
{
  rte_target_t target = { .service = g_intern_string (service), .weight = weight };

  g_array_append_val (route->targets, target);
}

void
rte_route_unref (rte_route_t *route)
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
weight_sum (const rte_route_t *route)
{
  uint64_t sum = 0;

  for (guint i = 0; i < route->targets->len; i++)
    sum += g_array_index (route->targets, rte_target_t, i).weight;
  return sum;
}

static const char *
route_error (const rte_route_t *route)
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
insert_route (rte_t *rte, rte_route_t *route)
{
  g_hash_table_insert (rte->routes, route->lookup_key, route);
  if (route->source_hash != 0)
    g_hash_table_insert (rte->sources, &route->source_hash, route);
}

bool
rte_add_route (rte_t *rte, rte_route_t *route, GError **error)
{
  const char *reason = route_error (route);

  if (!reason && g_hash_table_contains (rte->routes, route->lookup_key))
    reason = "has the host and prefix of another";
  if (!reason)
    {
      insert_route (rte, route);
      return true;
    }
  g_set_error (error, RTE_ERROR, RTE_ERROR_ROUTE, "route \"%s\" %s", route->name, reason);
  rte_route_unref (route);
  return false;
}

bool
rte_reuse_route (rte_t *rte, const rte_t *before, uint64_t source_hash)
{
  rte_route_t *route = g_hash_table_lookup (before->sources, &source_hash);

  if (!route || g_hash_table_contains (rte->routes, route->lookup_key))
    return false;
  g_atomic_int_inc (&route->refs);
  insert_route (rte, route);
  return true;
}

bool
rte_add_account (rte_t *rte,
                 const rte_account_t *account,
                 const char *const *keys,
                 uint32_t key_count,
                 GError **error)
{
  rte_account_t *copy;

  if (g_hash_table_contains (rte->accounts, account->name))
    {
      g_set_error (error, RTE_ERROR, RTE_ERROR_ACCOUNT, "client account \"%s\" is defined twice",
                   account->name);
      return false;
    }
  copy = g_memdup2 (account, sizeof *account);
  copy->name = g_strdup (account->name);
  copy->regions = g_strdupv (account->regions);
  copy->hash = XXH64 (copy->name, strlen (copy->name), 0);
  g_hash_table_insert (rte->accounts, copy->name, copy);
  for (uint32_t i = 0; i < key_count; i++)
    if (!g_hash_table_insert (rte->keys, g_strdup (keys[i]), copy))
      {
        g_set_error (error, RTE_ERROR, RTE_ERROR_ACCOUNT,
                     "an API key of client account \"%s\" is already in use", account->name);
        return false;
      }
  return true;
}

void
rte_add_service (rte_t *rte, const rte_service_t *service)
{
  g_hash_table_insert (rte->services, (gpointer)service->name,
                       g_memdup2 (service, sizeof *service));
}

const rte_service_t *
rte_service (const rte_t *rte, const char *name)
{
  return g_hash_table_lookup (rte->services, name);
}

void
rte_set_limits (rte_t *rte, const rte_limits_t *limits)
{
  rte->limits = *limits;
}

void
rte_require_keys (rte_t *rte)
{
  rte->keys_required = true;
}

uint64_t
rte_version (const rte_t *rte)
{
  return rte->version;
}

uint32_t
rte_route_count (const rte_t *rte)
{
  return g_hash_table_size (rte->routes);
}

const rte_limits_t *
rte_limits (const rte_t *rte)
{
  return &rte->limits;
}

bool
rte_needs_key (const rte_t *rte, const rte_route_t *route)
{
  return rte->keys_required && !route->is_public;
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
const rte_route_t *
rte_find (const rte_t *rte, const char *host, const char *target)
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
      const rte_route_t *route;

      if (target[length - 1] != '/')
        continue;
      lookup_key[host_bytes + length] = '\0';
      route = g_hash_table_lookup (rte->routes, lookup_key);
      if (route)
        return route;
    }
  return NULL;
}

const rte_account_t *
rte_account (const rte_t *rte, const char *key)
{
  return g_hash_table_lookup (rte->keys, key);
}

const char *
rte_target (const rte_route_t *route, uint64_t selector)
{
  uint64_t sum = weight_sum (route);
  uint64_t remainder;

  g_assert (sum > 0);
  remainder = selector % sum;
  for (guint i = 0; i < route->targets->len; i++)
    {
      const rte_target_t *target = &g_array_index (route->targets, rte_target_t, i);

      if (remainder < target->weight)
        return target->service;
      remainder -= target->weight;
    }
  g_assert_not_reached ();
}
