#include "request/policy/placement/chat_directory.h"

#include <glib.h>

#define BUCKET_ENTRIES 8 /* searched one by one */

struct chat_directory
{
  chat_directory_entry_t *entries;
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

static chat_directory_entry_t *
bucket_of (const chat_directory_t *directory, uint64_t chat_hash)
{
  const uint32_t bucket = (uint32_t)(chat_hash >> 32) & directory->bucket_mask;
  return &directory->entries[(size_t)bucket * BUCKET_ENTRIES];
}

static chat_directory_entry_t *
find (const chat_directory_t *directory, uint64_t chat_hash)
{
  chat_directory_entry_t *bucket = bucket_of (directory, chat_hash);
  for (uint32_t i = 0; i < BUCKET_ENTRIES; i++)
    if (bucket[i].chat_hash == chat_hash)
      return &bucket[i];
  return NULL;
}

/* Return: the entry of the chat's bucket to be replaced, an unused one if there is one */
static chat_directory_entry_t *
replaceable_entry (const chat_directory_t *directory, uint64_t chat_hash)
{
  chat_directory_entry_t *bucket = bucket_of (directory, chat_hash);
  chat_directory_entry_t *chosen = &bucket[0];
  for (uint32_t i = 0; i < BUCKET_ENTRIES; i++)
    {
      if (bucket[i].chat_hash == 0)
        return &bucket[i];
      if (bucket[i].served_us < chosen->served_us)
        chosen = &bucket[i];
    }
  return chosen;
}

chat_directory_t *
chat_directory_new (uint32_t entry_limit)
{
  chat_directory_t *directory = g_new0 (chat_directory_t, 1);
  const uint32_t buckets = bucket_count_for (entry_limit);
  directory->entries = g_new0 (chat_directory_entry_t, (size_t)buckets * BUCKET_ENTRIES);
  directory->bucket_mask = buckets - 1;
  return directory;
}

void
chat_directory_free (chat_directory_t *directory)
{
  if (directory == NULL)
    return;
  g_free (directory->entries);
  g_free (directory);
}

void
chat_directory_put (chat_directory_t *directory,
                    uint64_t now_us,
                    uint64_t chat_hash,
                    uint64_t engine_hash)
{
  if (chat_hash == 0)
    return;
  chat_directory_entry_t *entry = find (directory, chat_hash);
  if (entry == NULL)
    entry = replaceable_entry (directory, chat_hash);
  if (entry->chat_hash == 0)
    directory->count++;
  *entry = (chat_directory_entry_t){ .chat_hash = chat_hash,
                                     .engine_hash = engine_hash,
                                     .served_us = now_us };
}

bool
chat_directory_get (const chat_directory_t *directory,
                    uint64_t now_us,
                    uint64_t lifetime_us,
                    uint64_t chat_hash,
                    chat_directory_entry_t *out)
{
  if (chat_hash == 0)
    return false;
  const chat_directory_entry_t *entry = find (directory, chat_hash);
  if (entry == NULL)
    return false;
  /* The sum "served_us + lifetime_us" would overflow for an infinite lifetime. */
  if (now_us > entry->served_us && now_us - entry->served_us > lifetime_us)
    return false;
  *out = *entry;
  return true;
}

void
chat_directory_forget (chat_directory_t *directory, uint64_t chat_hash)
{
  if (chat_hash == 0)
    return;
  chat_directory_entry_t *entry = find (directory, chat_hash);
  if (entry == NULL)
    return;
  *entry = (chat_directory_entry_t){ 0 };
  directory->count--;
}

void
chat_directory_for_each (const chat_directory_t *directory,
                         void (*visit) (const chat_directory_entry_t *entry, void *context),
                         void *context)
{
  const size_t limit = ((size_t)directory->bucket_mask + 1) * BUCKET_ENTRIES;
  for (size_t i = 0; i < limit; i++)
    if (directory->entries[i].chat_hash != 0)
      visit (&directory->entries[i], context);
}

uint32_t
chat_directory_count (const chat_directory_t *directory)
{
  return directory->count;
}
