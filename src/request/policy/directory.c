#include "request/policy/directory.h"

#include <glib.h>

#define DIR_WAYS 8 /* entries of a bucket, looked through one by one */

struct dir
{
  dir_entry_t *entries; /* chat_hash 0 is empty */
  uint32_t bucket_mask;
  uint32_t count;
};

static uint32_t
bucket_count_for (uint32_t entry_limit)
{
  uint32_t buckets = 1;
  while (buckets * DIR_WAYS < entry_limit)
    buckets *= 2;
  return buckets;
}

static dir_entry_t *
bucket_of (const dir_t *dir, uint64_t chat_hash)
{
  const uint32_t bucket = (uint32_t)(chat_hash >> 32) & dir->bucket_mask;
  return &dir->entries[(size_t)bucket * DIR_WAYS];
}

static dir_entry_t *
find (const dir_t *dir, uint64_t chat_hash)
{
  dir_entry_t *bucket = bucket_of (dir, chat_hash);
  for (uint32_t i = 0; i < DIR_WAYS; i++)
    if (bucket[i].chat_hash == chat_hash)
      return &bucket[i];
  return NULL;
}

/* Empty ones have served_us 0, so they are taken before any other. */
static dir_entry_t *
oldest (const dir_t *dir, uint64_t chat_hash)
{
  dir_entry_t *bucket = bucket_of (dir, chat_hash);
  dir_entry_t *chosen = &bucket[0];
  for (uint32_t i = 0; i < DIR_WAYS; i++)
    {
      if (bucket[i].chat_hash == 0)
        return &bucket[i];
      if (bucket[i].served_us < chosen->served_us)
        chosen = &bucket[i];
    }
  return chosen;
}

dir_t *
dir_new (uint32_t entry_limit)
{
  dir_t *dir = g_new0 (dir_t, 1);
  const uint32_t buckets = bucket_count_for (entry_limit);
  dir->entries = g_new0 (dir_entry_t, (size_t)buckets * DIR_WAYS);
  dir->bucket_mask = buckets - 1;
  return dir;
}

void
dir_free (dir_t *dir)
{
  if (dir == NULL)
    return;
  g_free (dir->entries);
  g_free (dir);
}

void
dir_put (dir_t *dir, uint64_t now_us, uint64_t chat_hash, uint64_t engine_hash)
{
  if (chat_hash == 0)
    return;
  dir_entry_t *entry = find (dir, chat_hash);
  if (entry == NULL)
    entry = oldest (dir, chat_hash);
  if (entry->chat_hash == 0)
    dir->count++;
  *entry = (dir_entry_t){ .chat_hash = chat_hash, .engine_hash = engine_hash, .served_us = now_us };
}

bool
dir_get (
    const dir_t *dir, uint64_t now_us, uint64_t lifetime_us, uint64_t chat_hash, dir_entry_t *out)
{
  if (chat_hash == 0)
    return false;
  const dir_entry_t *entry = find (dir, chat_hash);
  if (entry == NULL)
    return false;
  /* Not "served_us + lifetime_us": that wraps for a lifetime without end. */
  if (now_us > entry->served_us && now_us - entry->served_us > lifetime_us)
    return false;
  *out = *entry;
  return true;
}

void
dir_forget (dir_t *dir, uint64_t chat_hash)
{
  if (chat_hash == 0)
    return;
  dir_entry_t *entry = find (dir, chat_hash);
  if (entry == NULL)
    return;
  *entry = (dir_entry_t){ 0 };
  dir->count--;
}

void
dir_each (const dir_t *dir, void (*visit) (const dir_entry_t *entry, void *context), void *context)
{
  const size_t limit = ((size_t)dir->bucket_mask + 1) * DIR_WAYS;
  for (size_t i = 0; i < limit; i++)
    if (dir->entries[i].chat_hash != 0)
      visit (&dir->entries[i], context);
}

uint32_t
dir_count (const dir_t *dir)
{
  return dir->count;
}
