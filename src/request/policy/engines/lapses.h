/**
 * DOC: lapses
 *
 * Engines whose entries went missing in a way that may be due to an outage of the platform's store.
 * Each is kept for a time of its own, in which a live engine writes its entry again. A pure state
 * machine.
 */
#ifndef REQUEST_POLICY_ENGINES_LAPSES_H
#define REQUEST_POLICY_ENGINES_LAPSES_H

#include <stdint.h>

typedef struct lapses lapses_t;

lapses_t *lapses_new (void);
void lapses_free (lapses_t *lapses);
/** lapses_add() - the entry of engine @id is missing; the engine is dropped at @due_us unless the
 * entry returns. No change for an engine that was added before */
void lapses_add (lapses_t *lapses, const char *id, uint64_t due_us);
/** lapses_remove() - the engine's entry is back, or the engine is known to have left */
void lapses_remove (lapses_t *lapses, const char *id);
uint32_t lapses_count (const lapses_t *lapses);
/** lapses_take_due() - removes one engine whose time is over. Return: its id, to be freed by
 * g_free(); NULL when there is none (left) */
char *lapses_take_due (lapses_t *lapses, uint64_t now_us);

#endif
