/**
 * DOC: chat_directory
 *
 * Which engine served a chat last, as one sidecar knows it: for the chats that it served lately,
 * and for those that hash to it but were last served by another engine. A hash table of fixed size;
 * when a bucket is full, its oldest entry is replaced.
 */
#ifndef REQUEST_POLICY_PLACEMENT_CHAT_DIRECTORY_H
#define REQUEST_POLICY_PLACEMENT_CHAT_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct chat_directory_entry - one chat
 * @chat_hash: 0 for an unused entry
 * @engine_hash: the engine that served the chat last
 * @served_us: when it did
 */
typedef struct
{
  uint64_t chat_hash;
  uint64_t engine_hash;
  uint64_t served_us;
} chat_directory_entry_t;

typedef struct chat_directory chat_directory_t;

/** chat_directory_new() - Return: an empty directory for at least @entry_limit chats */
chat_directory_t *chat_directory_new (uint32_t entry_limit);
void chat_directory_free (chat_directory_t *directory);
/** chat_directory_put() - @engine_hash served the chat at @now_us; a @chat_hash of 0 is ignored */
void chat_directory_put (chat_directory_t *directory,
                         uint64_t now_us,
                         uint64_t chat_hash,
                         uint64_t engine_hash);
/** chat_directory_get() - gets the entry of a chat. Return: false when there is none, or one older
 * than
 * @lifetime_us */
bool chat_directory_get (const chat_directory_t *directory,
                         uint64_t now_us,
                         uint64_t lifetime_us,
                         uint64_t chat_hash,
                         chat_directory_entry_t *out);
void chat_directory_forget (chat_directory_t *directory, uint64_t chat_hash);
/** chat_directory_for_each() - calls @visit for each entry; a leaving sidecar so hands its entries
 * over */
void chat_directory_for_each (const chat_directory_t *directory,
                              void (*visit) (const chat_directory_entry_t *entry, void *context),
                              void *context);
/** chat_directory_count() - Return: number of chats in the directory */
uint32_t chat_directory_count (const chat_directory_t *directory);

#endif
