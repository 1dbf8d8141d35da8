#include "request/policy/own_word.h"

#include <glib.h>

/** struct oww - @words: hash of an engine -> oww_word_t */
struct oww
{
  GHashTable *words;
};

oww_t *
oww_new (void)
{
  oww_t *oww = g_new0 (oww_t, 1);

  oww->words = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return oww;
}

void
oww_free (oww_t *oww)
{
  g_hash_table_destroy (oww->words);
  g_free (oww);
}

static gboolean
is_over (gpointer key, gpointer value, gpointer context)
{
  const oww_word_t *word = value;
  const uint64_t *now_us = context;

  (void)key;
  return *now_us >= MAX (word->said_us + OWW_KEPT_US, word->rest_until_us);
}

static void
drop_oldest (oww_t *oww)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  gpointer oldest = NULL;
  uint64_t oldest_us = UINT64_MAX;

  g_hash_table_iter_init (&iter, oww->words);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((oww_word_t *)value)->said_us < oldest_us)
      {
        oldest = key;
        oldest_us = ((oww_word_t *)value)->said_us;
      }
  g_hash_table_remove (oww->words, oldest);
}

static oww_word_t *
word_of (oww_t *oww, uint64_t now_us, uint64_t engine_hash)
{
  oww_word_t *word = g_hash_table_lookup (oww->words, &engine_hash);

  if (word)
    return word;
  g_hash_table_foreach_remove (oww->words, is_over, &now_us);
  if (g_hash_table_size (oww->words) >= OWW_MOST)
    drop_oldest (oww);
  word = g_new0 (oww_word_t, 1);
  g_hash_table_insert (oww->words, g_memdup2 (&engine_hash, sizeof engine_hash), word);
  return word;
}

bool
oww_leaves (oww_t *oww, uint64_t now_us, uint64_t engine_hash)
{
  oww_word_t *word = word_of (oww, now_us, engine_hash);
  bool is_news = !word->leaving;

  word->said_us = now_us;
  word->leaving = true;
  return is_news;
}

uint64_t
oww_rests (oww_t *oww, uint64_t now_us, uint64_t engine_hash, uint64_t rest_us)
{
  oww_word_t *word = word_of (oww, now_us, engine_hash);

  word->said_us = now_us;
  word->rest_until_us = MAX (word->rest_until_us, now_us + rest_us);
  return word->rest_until_us;
}

oww_word_t
oww_get (const oww_t *oww, uint64_t engine_hash)
{
  const oww_word_t *word = g_hash_table_lookup (oww->words, &engine_hash);

  return word ? *word : (oww_word_t){ 0 };
}
