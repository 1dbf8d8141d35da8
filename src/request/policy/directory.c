#include "request/policy/directory.h"

#include <glib.h>

#define BUCKET_ENTRIES 8 /* searched one by one */

struct chat_directory
{
  dir_entry_t *entries;
  uint32_t bucket_mask;
  uint32_t count;
};

static uint32_t
bucket_count_for (uint32_t entry_limit)
{
  uint32_t buckets = 1;
  while (buckets * BUCKET_ENTRIES < entry_limit)
    buckets *= 2;
  return buckets;
}

static dir_entry_t *
bucket_of (const dir_t *directory, uint64_t chat_hash)
{
  const uint32_t bucket = (uint32_t)(chat_hash >> 32) & directory->bucket_mask;
  return &directory->entries[(size_t)bucket * BUCKET_ENTRIES];
}

static dir_entry_t *
find (const dir_t *directory, uint64_t chat_hash)
{
  dir_entry_t *bucket = bucket_of (directory, chat_hash);
  for (uint32_t i = 0; i < BUCKET_ENTRIES; i++)
    if (bucket[i].chat_hash == chat_hash)
      return &bucket[i];
  return NULL;
}

/* Return: the entry of the chat's bucket to be replaced, an unused one if there is one */
static dir_entry_t *
replaceable_entry (const dir_t *directory, uint64_t chat_hash)
{
  dir_entry_t *bucket = bucket_of (directory, chat_hash);
  dir_entry_t *chosen = &bucket[0];
  for (uint32_t i = 0; i < BUCKET_ENTRIES; i++)
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
  dir_t *directory = g_new0 (dir_t, 1);
  const uint32_t buckets = bucket_count_for (entry_limit);
  directory->entries = g_new0 (dir_entry_t, (size_t)buckets * BUCKET_ENTRIES);
  directory->bucket_mask = buckets - 1;
  return directory;
}

void
dir_free (dir_t *directory)
{
  if (directory == NULL)
    return;
  g_free (directory->entries);
  g_free (directory);
}

void
dir_put (dir_t *directory, uint64_t now_us, uint64_t chat_hash, uint64_t engine_hash)
{
  if (chat_hash == 0)
    return;
  dir_entry_t *entry = find (directory, chat_hash);
  if (entry == NULL)
    entry = replaceable_entry (directory, chat_hash);
  if (entry->chat_hash == 0)
    directory->count++;
  *entry = (dir_entry_t){ .chat_hash = chat_hash, .engine_hash = engine_hash, .served_us = now_us };
}

bool
dir_get (const dir_t *directory,
         uint64_t now_us,
         uint64_t lifetime_us,
         uint64_t chat_hash,
         dir_entry_t *out)
{
  if (chat_hash == 0)
    return false;
  const dir_entry_t *entry = find (directory, chat_hash);
  if (entry == NULL)
    return false;
  /* The sum "served_us + lifetime_us" would overflow for an infinite lifetime. */
  if (now_us > entry->served_us && now_us - entry->served_us > lifetime_us)
    return false;
  *out = *entry;
  return true;
}

void
dir_forget (dir_t *directory, uint64_t chat_hash)
{
  if (chat_hash == 0)
    return;
  dir_entry_t *entry = find (directory, chat_hash);
  if (entry == NULL)
    return;
  *entry = (dir_entry_t){ 0 };
  directory->count--;
}

void
dir_each (const dir_t *directory,
          void (*visit) (const dir_entry_t *entry, void *context),
          void *context)
{
  const size_t limit = ((size_t)directory->bucket_mask + 1) * BUCKET_ENTRIES;
  for (size_t i = 0; i < limit; i++)
    if (directory->entries[i].chat_hash != 0)
      visit (&directory->entries[i], context);
}

uint32_t
dir_count (const dir_t *directory)
{
  return directory->count;
}
