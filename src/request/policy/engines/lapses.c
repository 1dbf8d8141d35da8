#include "request/policy/engines/lapses.h"

#include <glib.h>

/** struct lapses - @due_us: engine id -> when the engine is dropped */
struct lapses
{
  GHashTable *due_us;
};

lapses_t *
lapses_new (void)
{
  lapses_t *lapses = g_new0 (lapses_t, 1);

  lapses->due_us = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return lapses;
}

void
lapses_free (lapses_t *lapses)
{
  g_hash_table_destroy (lapses->due_us);
  g_free (lapses);
}

/*
 * Each engine has a time of its own. With one time for all, each further missing entry extended the
 * time of the earlier ones: an engine got a request 4.3 s after it left, where 4 s were allowed.
 */
void
lapses_add (lapses_t *lapses, const char *id, uint64_t due_us)
{
  if (!g_hash_table_contains (lapses->due_us, id))
    g_hash_table_insert (lapses->due_us, g_strdup (id), g_memdup2 (&due_us, sizeof due_us));
}

void
lapses_remove (lapses_t *lapses, const char *id)
{
  g_hash_table_remove (lapses->due_us, id);
}

uint32_t
lapses_count (const lapses_t *lapses)
{
  return g_hash_table_size (lapses->due_us);
}

char *
lapses_take_due (lapses_t *lapses, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer id;
  gpointer due_us;

  g_hash_table_iter_init (&iter, lapses->due_us);
  while (g_hash_table_iter_next (&iter, &id, &due_us))
    if (now_us >= *(const uint64_t *)due_us)
      {
        char *taken = g_strdup (id);

        g_hash_table_iter_remove (&iter);
        return taken;
      }
  return NULL;
}
