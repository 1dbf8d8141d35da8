/**
 * DOC: publish_history
 *
 * The outcome of the most recent publishes, by publish id. The history is bounded: the oldest entry
 * is overwritten first. It only serves to explain the rejection of a repeated publish and must
 * never influence whether a publish is accepted, because readers that started at different offsets
 * hold different histories.
 */
#ifndef VERSION_PUBLISH_HISTORY_H
#define VERSION_PUBLISH_HISTORY_H

#include "base/limits.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct history publish_history_t;

/**
 * struct publish_history_entry - the outcome of one publish
 * @id: publish id
 * @accepted: whether the publish came into force
 * @version: version in force after it; of an accepted publish, the one that it created
 */
typedef struct
{
  char id[LIMIT_NAME_BYTES];
  bool accepted;
  uint64_t version;
} publish_history_entry_t;

/** publish_history_new() - an empty history of at most @limit entries */
publish_history_t *publish_history_new (uint32_t limit);
void publish_history_free (publish_history_t *history);
/** publish_history_add() - record the outcome of @id; has no effect when the history already holds
 * @id */
void
publish_history_add (publish_history_t *history, const char *id, bool accepted, uint64_t version);
/** publish_history_find() - the entry of @id, or NULL; valid until the next publish_history_add()
 */
const publish_history_entry_t *publish_history_find (const publish_history_t *history,
                                                     const char *id);

#endif
