/**
 * DOC: own_word
 *
 * Starts of engines that said of themselves, in an answer to this router, that they leave. A pure
 * state machine.
 *
 * The registry hears of it late, and not at all while the platform's store is out; and it may drop
 * an engine's entry and have it back. So what the engine said stands until that start of it is long
 * over, whatever its entry says.
 */
#ifndef REQUEST_POLICY_OWN_WORD_H
#define REQUEST_POLICY_OWN_WORD_H

#include <stdbool.h>
#include <stdint.h>

/* An engine that leaves has ended by then. */
#define OWW_KEPT_US (UINT64_C (600) * 1000 * 1000)
#define OWW_MOST 4096

typedef struct oww oww_t;

oww_t *oww_new (void);
void oww_free (oww_t *oww);
/** oww_add() - the engine of @engine_hash, of its id and its start, said that it leaves. Return:
 * whether it is news */
bool oww_add (oww_t *oww, uint64_t now_us, uint64_t engine_hash);
/** oww_has() - whether it said so */
bool oww_has (const oww_t *oww, uint64_t engine_hash);

#endif
