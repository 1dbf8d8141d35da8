/**
 * DOC: directory
 *
 * What a sidecar remembers of chats: which it served lately, and where those whose home it is were
 * last served when that was elsewhere. A bounded hash table; the oldest entry of a full bucket
 * goes.
 */
#ifndef REQUEST_POLICY_DIRECTORY_H
#define REQUEST_POLICY_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint64_t chat_hash;
  uint64_t engine_hash;
  uint64_t served_us;
} dir_entry_t;

typedef struct dir dir_t;

dir_t *dir_new (uint32_t entry_limit);
void dir_free (dir_t *dir);
void dir_put (dir_t *dir, uint64_t now_us, uint64_t chat_hash, uint64_t engine_hash);
/** dir_get() - whether an entry not older than @lifetime_us stands */
bool dir_get (
    const dir_t *dir, uint64_t now_us, uint64_t lifetime_us, uint64_t chat_hash, dir_entry_t *out);
void dir_forget (dir_t *dir, uint64_t chat_hash);
/** dir_each() - all entries, for the hand-over of a leaving sidecar */
void
dir_each (const dir_t *dir, void (*visit) (const dir_entry_t *entry, void *context), void *context);
uint32_t dir_count (const dir_t *dir);

#endif
