#include "host_list.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  uint64_t changed_us;
  json_t *host; /* the host after the change; "state" is "gone" if it was removed */
} change_t;

struct host_list
{
  uint64_t lag_us;
  json_t *current; /* name -> host, without removed hosts */
  json_t *base;    /* the list at @base_revision */
  uint64_t base_revision;
  GPtrArray *changes;           /* change_t; change i created revision base_revision + i + 1 */
  GHashTable *frozen_revisions; /* reader -> uint64_t revision, owned */
};

static const char *const required_keys[] = { "name", "role",     "data_center", "region",
                                             "http", "exchange", "state" };

static void
change_free (gpointer data)
{
  change_t *change = data;
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
is_valid_host (const json_t *host)
{
  for (size_t i = 0; i < G_N_ELEMENTS (required_keys); i++)
    if (host_text (host, required_keys[i]) == NULL)
      return false;
  return true;
}

static void
apply_change (json_t *list, json_t *host)
{
  if (is_gone (host))
    json_object_del (list, host_text (host, "name"));
  else
    json_object_set (list, host_text (host, "name"), host);
}

static uint64_t
newest_revision (const host_list_t *host_list)
{
  return host_list->base_revision + host_list->changes->len;
}

static void
merge_oldest_change (host_list_t *host_list)
{
  change_t *change = g_ptr_array_index (host_list->changes, 0);
  apply_change (host_list->base, change->host);
  host_list->base_revision++;
  g_ptr_array_remove_index (host_list->changes, 0);
}

static void
add_change (host_list_t *host_list, uint64_t now_us, json_t *host)
{
  change_t *change = g_new0 (change_t, 1);
  change->changed_us = now_us;
  change->host = json_deep_copy (host);
  apply_change (host_list->current, change->host);
  g_ptr_array_add (host_list->changes, change);
  if (host_list->changes->len > HOST_LIST_MAX_CHANGES)
    merge_oldest_change (host_list);
}

static void
update_host (host_list_t *host_list, uint64_t now_us, json_t *host)
{
  json_t *existing = json_object_get (host_list->current, host_text (host, "name"));
  bool unchanged = existing == NULL ? is_gone (host) : json_equal (existing, host) == 1;
  if (!unchanged)
    add_change (host_list, now_us, host);
}

static void
remove_other_hosts (host_list_t *host_list, uint64_t now_us, const json_t *names)
{
  const char *name;
  json_t *host;
  json_t *previous = json_copy (host_list->current);
  json_object_foreach (previous, name, host)
    {
      if (json_object_get (names, name) != NULL)
        continue;
      json_t *removed = json_deep_copy (host);
      json_object_set_new (removed, "state", json_string ("gone"));
      add_change (host_list, now_us, removed);
      json_decref (removed);
    }
  json_decref (previous);
}

/* Return: the newest revision that is at least as old as the lag and not newer than the revision at
 * which the view of the reader is frozen */
static uint64_t
visible_revision (const host_list_t *host_list, uint64_t now_us, const char *reader)
{
  uint64_t revision = newest_revision (host_list);
  while (revision > host_list->base_revision)
    {
      const change_t *change =
          g_ptr_array_index (host_list->changes, revision - host_list->base_revision - 1);
      if (change->changed_us + host_list->lag_us <= now_us)
        break;
      revision--;
    }
  const uint64_t *reader_revision =
      reader == NULL ? NULL : g_hash_table_lookup (host_list->frozen_revisions, reader);
  const uint64_t *all_readers_revision = g_hash_table_lookup (host_list->frozen_revisions, "");
  if (reader_revision != NULL)
    revision = MIN (revision, *reader_revision);
  if (all_readers_revision != NULL)
    revision = MIN (revision, *all_readers_revision);
  return MAX (revision, host_list->base_revision);
}

static json_t *
take_values (json_t *list)
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
hosts_at_revision (const host_list_t *host_list, uint64_t revision)
{
  json_t *list = json_copy (host_list->base);
  for (uint64_t at = host_list->base_revision; at < revision; at++)
    {
      change_t *change = g_ptr_array_index (host_list->changes, at - host_list->base_revision);
      apply_change (list, change->host);
    }
  return take_values (list);
}

static json_t *
hosts_changed_since (const host_list_t *host_list, uint64_t since, uint64_t revision)
{
  json_t *list = json_object ();
  for (uint64_t at = since; at < revision; at++)
    {
      change_t *change = g_ptr_array_index (host_list->changes, at - host_list->base_revision);
      json_object_set (list, host_text (change->host, "name"), change->host);
    }
  return take_values (list);
}

host_list_t *
host_list_new (uint64_t lag_us)
{
  host_list_t *host_list = g_new0 (host_list_t, 1);
  host_list->lag_us = lag_us;
  host_list->current = json_object ();
  host_list->base = json_object ();
  host_list->changes = g_ptr_array_new_with_free_func (change_free);
  host_list->frozen_revisions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return host_list;
}

void
host_list_free (host_list_t *host_list)
{
  if (host_list == NULL)
    return;
  json_decref (host_list->current);
  json_decref (host_list->base);
  g_ptr_array_free (host_list->changes, TRUE);
  g_hash_table_destroy (host_list->frozen_revisions);
  g_free (host_list);
}

bool
host_list_set (host_list_t *host_list, uint64_t now_us, const json_t *hosts, bool replace_all)
{
  size_t i;
  json_t *host;
  if (!json_is_array (hosts) || json_array_size (hosts) > HOST_LIST_MAX_HOSTS)
    return false;
  json_array_foreach (hosts, i, host)
    {
      if (!is_valid_host (host))
        return false;
    }
  if (replace_all)
    {
      json_t *names = json_object ();
      json_array_foreach (hosts, i, host)
        {
          json_object_set_new (names, host_text (host, "name"), json_true ());
        }
      remove_other_hosts (host_list, now_us, names);
      json_decref (names);
    }
  json_array_foreach (hosts, i, host)
    {
      update_host (host_list, now_us, host);
    }
  return true;
}

bool
host_list_freeze (host_list_t *host_list, uint64_t now_us, const char *reader, bool frozen)
{
  if (!frozen)
    {
      g_hash_table_remove (host_list->frozen_revisions, reader);
      return true;
    }
  if (g_hash_table_size (host_list->frozen_revisions) >= HOST_LIST_MAX_FROZEN_READERS)
    return false;
  uint64_t revision = visible_revision (host_list, now_us, reader);
  g_hash_table_insert (host_list->frozen_revisions, g_strdup (reader),
                       g_memdup2 (&revision, sizeof revision));
  return true;
}

json_t *
host_list_view (const host_list_t *host_list, uint64_t now_us, const char *reader, uint64_t since)
{
  uint64_t revision = visible_revision (host_list, now_us, reader);
  /* a reader with a newer revision got it from another platform process: send the full list */
  bool full = since < MAX (host_list->base_revision, 1) || since > revision;
  json_t *hosts = full ? hosts_at_revision (host_list, revision)
                       : hosts_changed_since (host_list, since, revision);
  return json_pack ("{s:I, s:b, s:o}", "revision", (json_int_t)revision, "full", full, "hosts",
                    hosts);
}
