/**
 * DOC: lapses
 *
 * Engines whose entries went while the store could not be read, perhaps only since it was out: each
 * is kept for a while of its own, in which it is back if it lives. A pure state machine.
 */
#ifndef REQUEST_POLICY_LAPSES_H
#define REQUEST_POLICY_LAPSES_H

#include <stdint.h>

typedef struct lapses lapses_t;

lapses_t *lapses_new (void);
void lapses_free (lapses_t *lapses);
/** lapses_add() - the entry of @id went; it is gone at @due_us. Where it lapsed before, that stands
 */
void lapses_add (lapses_t *lapses, const char *id, uint64_t due_us);
/** lapses_remove() - it is back, or known to be gone */
void lapses_remove (lapses_t *lapses, const char *id);
uint32_t lapses_count (const lapses_t *lapses);
/** lapses_take_due() - Return: an id that is gone by now, freed by g_free(), or NULL; to be called
 * until then */
char *lapses_take_due (lapses_t *lapses, uint64_t now_us);

#endif
