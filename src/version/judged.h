/**
 * DOC: judged
 *
 * The publish ids judged last, with what became of them. Bounded: the oldest is forgotten first.
 * It only explains repeats to their operators and never decides, for readers that started at
 * different places remember different ids.
 */
#ifndef VERSION_JUDGED_H
#define VERSION_JUDGED_H

#include "base/limits.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct jdg jdg_t;

/** struct jdg_entry - @version: for an accepted publish, the version that it made */
typedef struct
{
  char id[LIM_NAME_BYTES];
  bool accepted;
  uint64_t version;
} jdg_entry_t;

jdg_t *jdg_new (uint32_t limit);
void jdg_free (jdg_t *jdg);
/** jdg_add() - remember @id; the first judgement of an id stands */
void jdg_add (jdg_t *jdg, const char *id, bool accepted, uint64_t version);
/** jdg_find() - the judgement of @id, or NULL; valid until the next jdg_add() */
const jdg_entry_t *jdg_find (const jdg_t *jdg, const char *id);

#endif
