#include "platform_hosts.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  uint64_t at_us;
  json_t *host; /* the host as it became; "state" is "gone" when it went */
} phl_change_t;

struct phl
{
  uint64_t lag_us;
  json_t *truth; /* name -> host, those that are gone left out */
  json_t *base;  /* the list at @base_revision */
  uint64_t base_revision;
  GPtrArray *changes; /* phl_change_t; change i made revision base_revision + i + 1 */
  GHashTable *held;   /* reader -> uint64_t revision, owned */
};

static const char *const host_keys[] = { "name", "role",     "data_center", "region",
                                         "http", "exchange", "state" };

static void
change_free (gpointer data)
{
  phl_change_t *change = data;
  json_decref (change->host);
  g_free (change);
}

static const char *
host_text (const json_t *host, const char *key)
{
  return json_string_value (json_object_get (host, key));
}

static bool
is_gone (const json_t *host)
{
  return strcmp (host_text (host, "state"), "gone") == 0;
}

static bool
host_ok (const json_t *host)
{
  for (size_t i = 0; i < G_N_ELEMENTS (host_keys); i++)
    if (host_text (host, host_keys[i]) == NULL)
      return false;
  return true;
}

static void
apply (json_t *list, json_t *host)
{
  if (is_gone (host))
    json_object_del (list, host_text (host, "name"));
  else
    json_object_set (list, host_text (host, "name"), host);
}

static uint64_t
newest (const phl_t *phl)
{
  return phl->base_revision + phl->changes->len;
}

static void
fold_oldest (phl_t *phl)
{
  phl_change_t *change = g_ptr_array_index (phl->changes, 0);
  apply (phl->base, change->host);
  phl->base_revision++;
  g_ptr_array_remove_index (phl->changes, 0);
}

static void
add_change (phl_t *phl, uint64_t now_us, json_t *host)
{
  phl_change_t *change = g_new0 (phl_change_t, 1);
  change->at_us = now_us;
  change->host = json_deep_copy (host);
  apply (phl->truth, change->host);
  g_ptr_array_add (phl->changes, change);
  if (phl->changes->len > PHL_LIMIT_CHANGES)
    fold_oldest (phl);
}

static void
set_host (phl_t *phl, uint64_t now_us, json_t *host)
{
  json_t *known = json_object_get (phl->truth, host_text (host, "name"));
  bool same = known == NULL ? is_gone (host) : json_equal (known, host) == 1;
  if (!same)
    add_change (phl, now_us, host);
}

static void
set_others_gone (phl_t *phl, uint64_t now_us, const json_t *names)
{
  const char *name;
  json_t *host;
  json_t *before = json_copy (phl->truth);
  json_object_foreach (before, name, host)
    {
      if (json_object_get (names, name) != NULL)
        continue;
      json_t *gone = json_deep_copy (host);
      json_object_set_new (gone, "state", json_string ("gone"));
      add_change (phl, now_us, gone);
      json_decref (gone);
    }
  json_decref (before);
}

/* The newest revision that is older than the lag, and not beyond where the reader is held. */
static uint64_t
visible (const phl_t *phl, uint64_t now_us, const char *reader)
{
  uint64_t revision = newest (phl);
  while (revision > phl->base_revision)
    {
      const phl_change_t *change =
          g_ptr_array_index (phl->changes, revision - phl->base_revision - 1);
      if (change->at_us + phl->lag_us <= now_us)
        break;
      revision--;
    }
  const uint64_t *held = reader == NULL ? NULL : g_hash_table_lookup (phl->held, reader);
  const uint64_t *all_held = g_hash_table_lookup (phl->held, "");
  if (held != NULL)
    revision = MIN (revision, *held);
  if (all_held != NULL)
    revision = MIN (revision, *all_held);
  return MAX (revision, phl->base_revision);
}

static json_t *
values_of (json_t *list)
{
  json_t *values = json_array ();
  const char *name;
  json_t *host;
  json_object_foreach (list, name, host)
    {
      json_array_append (values, host);
    }
  json_decref (list);
  return values;
}

static json_t *
whole_list (const phl_t *phl, uint64_t revision)
{
  json_t *list = json_copy (phl->base);
  for (uint64_t at = phl->base_revision; at < revision; at++)
    {
      phl_change_t *change = g_ptr_array_index (phl->changes, at - phl->base_revision);
      apply (list, change->host);
    }
  return values_of (list);
}

static json_t *
changed_since (const phl_t *phl, uint64_t since, uint64_t revision)
{
  json_t *list = json_object ();
  for (uint64_t at = since; at < revision; at++)
    {
      phl_change_t *change = g_ptr_array_index (phl->changes, at - phl->base_revision);
      json_object_set (list, host_text (change->host, "name"), change->host);
    }
  return values_of (list);
}

phl_t *
phl_new (uint64_t lag_us)
{
  phl_t *phl = g_new0 (phl_t, 1);
  phl->lag_us = lag_us;
  phl->truth = json_object ();
  phl->base = json_object ();
  phl->changes = g_ptr_array_new_with_free_func (change_free);
  phl->held = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return phl;
}

void
phl_free (phl_t *phl)
{
  if (phl == NULL)
    return;
  json_decref (phl->truth);
  json_decref (phl->base);
  g_ptr_array_free (phl->changes, TRUE);
  g_hash_table_destroy (phl->held);
  g_free (phl);
}

bool
phl_set (phl_t *phl, uint64_t now_us, const json_t *hosts, bool whole)
{
  size_t i;
  json_t *host;
  if (!json_is_array (hosts) || json_array_size (hosts) > PHL_LIMIT_HOSTS)
    return false;
  json_array_foreach (hosts, i, host)
    {
      if (!host_ok (host))
        return false;
    }
  if (whole)
    {
      json_t *names = json_object ();
      json_array_foreach (hosts, i, host)
        {
          json_object_set_new (names, host_text (host, "name"), json_true ());
        }
      set_others_gone (phl, now_us, names);
      json_decref (names);
    }
  json_array_foreach (hosts, i, host)
    {
      set_host (phl, now_us, host);
    }
  return true;
}

bool
phl_hold (phl_t *phl, uint64_t now_us, const char *reader, bool held)
{
  if (!held)
    {
      g_hash_table_remove (phl->held, reader);
      return true;
    }
  if (g_hash_table_size (phl->held) >= PHL_LIMIT_HELD)
    return false;
  uint64_t revision = visible (phl, now_us, reader);
  g_hash_table_insert (phl->held, g_strdup (reader), g_memdup2 (&revision, sizeof revision));
  return true;
}

json_t *
phl_view (const phl_t *phl, uint64_t now_us, const char *reader, uint64_t since)
{
  uint64_t revision = visible (phl, now_us, reader);
  /* a reader that knows more than there is has known another platform: it gets the whole */
  bool full = since < MAX (phl->base_revision, 1) || since > revision;
  json_t *hosts = full ? whole_list (phl, revision) : changed_since (phl, since, revision);
  return json_pack ("{s:I, s:b, s:o}", "revision", (json_int_t)revision, "full", full, "hosts",
                    hosts);
}
