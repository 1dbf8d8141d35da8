/**
 * DOC: suspect
 *
 * Requests whose engine crashed, by fingerprint (account and body digest). At most
 * %LIM_SUSPECT_CRASHES engines are lost to one request, however often it is sent.
 */
#ifndef REQUEST_POLICY_SUSPECT_H
#define REQUEST_POLICY_SUSPECT_H

#include "base/limits.h"

#include <stdbool.h>
#include <stdint.h>

/** struct sus_mark - what spreads with the exchange */
typedef struct
{
  uint64_t fingerprint;
  uint64_t engines[LIM_SUSPECT_CRASHES]; /* hashes of those that it crashed; 0 is empty */
  uint32_t age_ms;
} sus_mark_t;

typedef enum
{
  SUS_CLEAR,    /* run it */
  SUS_NOT_HERE, /* this engine crashed on it: another one may try */
  SUS_FINAL     /* it has crashed as many as it may */
} sus_verdict_t;

typedef struct sus sus_t;

sus_t *sus_new (uint32_t limit, uint64_t lifetime_us);
void sus_free (sus_t *sus);
sus_verdict_t sus_check (sus_t *sus, uint64_t now_us, uint64_t fingerprint, uint64_t engine_hash);
/** sus_add() - @engine_hash crashed while it ran @fingerprint. Return: whether this was new */
bool sus_add (sus_t *sus, uint64_t now_us, uint64_t fingerprint, uint64_t engine_hash);
/** sus_merge() - a mark heard from a peer, also that it is cleared. Return: whether it told
 * anything new */
bool sus_merge (sus_t *sus, uint64_t now_us, const sus_mark_t *mark);
bool sus_get (const sus_t *sus, uint64_t now_us, uint64_t fingerprint, sus_mark_t *out);
/** sus_clear() - @fingerprint was served: it crashes no engine. Return: whether it was marked */
bool sus_clear (sus_t *sus, uint64_t fingerprint);
/** sus_is_cleared() - whether @mark tells that its request was served, as it names no engine */
bool sus_is_cleared (const sus_mark_t *mark);
uint32_t sus_count (const sus_t *sus);
/** sus_recent() - up to @want marks to pass on, newest first */
uint32_t sus_recent (const sus_t *sus, uint64_t now_us, sus_mark_t *out, uint32_t want);

#endif
