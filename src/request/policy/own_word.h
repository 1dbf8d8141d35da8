/**
 * DOC: own_word
 *
 * What engines said of themselves in their answers to this router: that they leave, or want rest. A
 * pure state machine.
 *
 * The registry hears of it late or never, and not at all while the platform's store is out; and it
 * may drop an engine's entry and have it back. So what a start of an engine said stands, whatever
 * its entry says.
 */
#ifndef REQUEST_POLICY_OWN_WORD_H
#define REQUEST_POLICY_OWN_WORD_H

#include <stdbool.h>
#include <stdint.h>

/* An engine that leaves has ended by then. */
#define OWW_KEPT_US (UINT64_C (600) * 1000 * 1000)
#define OWW_MOST 4096 /* engines; the word that is oldest gives way */

/**
 * struct oww_word - of one start of an engine
 * @said_us: when it said something last
 * @rest_until_us: it wants no requests until then; 0 when it never said so
 */
typedef struct
{
  uint64_t said_us;
  uint64_t rest_until_us;
  bool leaving;
} oww_word_t;

typedef struct oww oww_t;

oww_t *oww_new (void);
void oww_free (oww_t *oww);
/** oww_leaves() - the engine of @engine_hash, of its id and its start, says that it leaves. Return:
 * whether that is news */
bool oww_leaves (oww_t *oww, uint64_t now_us, uint64_t engine_hash);
/** oww_rests() - it refused a request and wants none for @rest_us. Return: until when; a shorter
 * rest ends none that was longer */
uint64_t oww_rests (oww_t *oww, uint64_t now_us, uint64_t engine_hash, uint64_t rest_us);
/** oww_get() - what it said; all zero when nothing */
oww_word_t oww_get (const oww_t *oww, uint64_t engine_hash);

#endif
