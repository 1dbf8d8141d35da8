#include "request/policy/load/in_flight.h"

#include <glib.h>

typedef struct
{
  uint64_t engine_hash;
  uint32_t count;
} entry_t;

struct in_flight_counts
{
  GHashTable *entries; /* engine hash -> entry_t; only engines with a count above 0 */
};

in_flight_counts_t *
in_flight_new (void)
{
  in_flight_counts_t *in_flight_counts = g_new0 (in_flight_counts_t, 1);

  in_flight_counts->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return in_flight_counts;
}

void
in_flight_free (in_flight_counts_t *in_flight_counts)
{
  if (in_flight_counts == NULL)
    return;
  g_hash_table_destroy (in_flight_counts->entries);
  g_free (in_flight_counts);
}

void
in_flight_begin (in_flight_counts_t *in_flight_counts, uint64_t engine_hash)
{
  entry_t *entry = g_hash_table_lookup (in_flight_counts->entries, &engine_hash);

  if (entry == NULL)
    {
      entry = g_new0 (entry_t, 1);
      entry->engine_hash = engine_hash;
      g_hash_table_insert (in_flight_counts->entries, &entry->engine_hash, entry);
    }
  entry->count++;
}

void
in_flight_end (in_flight_counts_t *in_flight_counts, uint64_t engine_hash)
{
  entry_t *entry = g_hash_table_lookup (in_flight_counts->entries, &engine_hash);

  g_assert (entry != NULL);
  if (--entry->count == 0)
    g_hash_table_remove (in_flight_counts->entries, &engine_hash);
}

uint32_t
in_flight_count (const in_flight_counts_t *in_flight_counts, uint64_t engine_hash)
{
  const entry_t *entry = g_hash_table_lookup (in_flight_counts->entries, &engine_hash);

  return entry != NULL ? entry->count : 0;
}
