#include "request/share.h"

#include <glib.h>

typedef struct
{
  uint64_t hash;
  uint64_t seen_us;
  uint32_t weight;
  uint32_t running;
  GList link; /* in shr.oldest_first */
} shr_account_t;

struct shr
{
  GHashTable *accounts; /* hash -> shr_account_t */
  GQueue oldest_first;
  uint64_t weight_sum;
};

static shr_account_t *
find (const shr_t *shr, uint64_t hash)
{
  return g_hash_table_lookup (shr->accounts, &hash);
}

static void
drop_idle (shr_t *shr, uint64_t now_us)
{
  for (;;)
    {
      shr_account_t *oldest = g_queue_peek_head (&shr->oldest_first);
      if (oldest == NULL || oldest->seen_us + SHR_WINDOW_US >= now_us)
        return;
      g_queue_unlink (&shr->oldest_first, &oldest->link);
      if (oldest->running > 0)
        {
          /* What still runs counts: it stays, as if just seen. */
          oldest->seen_us = now_us;
          g_queue_push_tail_link (&shr->oldest_first, &oldest->link);
          continue;
        }
      shr->weight_sum -= oldest->weight;
      g_hash_table_remove (shr->accounts, &oldest->hash);
    }
}

shr_t *
shr_new (void)
{
  shr_t *shr = g_new0 (shr_t, 1);
  shr->accounts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&shr->oldest_first);
  return shr;
}

void
shr_free (shr_t *shr)
{
  if (shr == NULL)
    return;
  g_hash_table_destroy (shr->accounts);
  g_free (shr);
}

void
shr_seen (shr_t *shr, uint64_t now_us, uint64_t account_hash, uint32_t weight)
{
  drop_idle (shr, now_us);
  shr_account_t *account = find (shr, account_hash);
  if (account == NULL)
    {
      account = g_new0 (shr_account_t, 1);
      account->hash = account_hash;
      account->link.data = account;
      g_hash_table_insert (shr->accounts, &account->hash, account);
    }
  else
    g_queue_unlink (&shr->oldest_first, &account->link);
  g_queue_push_tail_link (&shr->oldest_first, &account->link);
  shr->weight_sum += weight;
  shr->weight_sum -= account->weight;
  account->weight = weight;
  account->seen_us = now_us;
}

void
shr_started (shr_t *shr, uint64_t account_hash)
{
  shr_account_t *account = find (shr, account_hash);
  if (account != NULL)
    account->running++;
}

void
shr_finished (shr_t *shr, uint64_t account_hash)
{
  shr_account_t *account = find (shr, account_hash);
  if (account != NULL && account->running > 0)
    account->running--;
}

bool
shr_is_over (const shr_t *shr, uint64_t account_hash, uint32_t slots)
{
  const shr_account_t *account = find (shr, account_hash);
  if (account == NULL || shr->weight_sum == 0)
    return false;
  return (uint64_t)(account->running + 1) * shr->weight_sum > (uint64_t)slots * account->weight;
}

uint32_t
shr_account_count (const shr_t *shr)
{
  return g_hash_table_size (shr->accounts);
}
