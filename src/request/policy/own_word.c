#include "request/policy/own_word.h"

#include <glib.h>

/**
 * struct oww - engines that leave
 * @said: hash of an engine -> when it said so, in microseconds
 * @order: the same hashes, the oldest first
 */
struct oww
{
  GHashTable *said;
  GQueue order;
};

oww_t *
oww_new (void)
{
  oww_t *oww = g_new0 (oww_t, 1);

  oww->said = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&oww->order);
  return oww;
}

void
oww_free (oww_t *oww)
{
  g_hash_table_destroy (oww->said);
  g_queue_clear_full (&oww->order, g_free);
  g_free (oww);
}

static void
drop_oldest (oww_t *oww)
{
  uint64_t *hash = g_queue_pop_head (&oww->order);

  g_hash_table_remove (oww->said, hash);
  g_free (hash);
}

static bool
is_over (oww_t *oww, uint64_t now_us)
{
  const uint64_t *hash = g_queue_peek_head (&oww->order);
  const uint64_t *at_us = hash ? g_hash_table_lookup (oww->said, hash) : NULL;

  return at_us && now_us >= *at_us + OWW_KEPT_US;
}

bool
oww_add (oww_t *oww, uint64_t now_us, uint64_t engine_hash)
{
  uint64_t *hash;

  if (oww_has (oww, engine_hash))
    return false;
  while (is_over (oww, now_us) || g_queue_get_length (&oww->order) >= OWW_MOST)
    drop_oldest (oww);
  hash = g_memdup2 (&engine_hash, sizeof engine_hash);
  g_queue_push_tail (&oww->order, hash);
  g_hash_table_insert (oww->said, hash, g_memdup2 (&now_us, sizeof now_us));
  return true;
}

bool
oww_has (const oww_t *oww, uint64_t engine_hash)
{
  return g_hash_table_contains (oww->said, &engine_hash);
}
