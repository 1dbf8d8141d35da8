/**
 * DOC: suspect
 *
 * Requests during which an engine crashed, by fingerprint (see digest_fingerprint() in digest.h).
 * At most %LIM_SUSPECT_CRASHES engines are lost to one request, however often it is sent. Daemons
 * tell each other these crashes as marks.
 */
#ifndef REQUEST_POLICY_SUSPECT_H
#define REQUEST_POLICY_SUSPECT_H

#include "base/limits.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct sus_mark - the crashes of one request, as daemons tell them to each other
 * @engines: hashes of the engines that crashed; 0 for an unused slot. All 0 means that the request
 *   was served and is not suspect any more
 * @age_ms: time since the last crash
 */
typedef struct
{
  uint64_t fingerprint;
  uint64_t engines[LIM_SUSPECT_CRASHES];
  uint32_t age_ms;
} sus_mark_t;

/** enum suspect_verdict - whether a request may run on an engine */
typedef enum
{
  SUS_CLEAR,    /* it may run */
  SUS_NOT_HERE, /* this engine crashed during it: another engine may try */
  SUS_FINAL     /* it has crashed as many engines as it may: none may try */
} sus_verdict_t;

typedef struct sus sus_t;

/**
 * sus_new() - Return: an empty set
 * @limit: the most fingerprints that are kept; the one with the oldest crash is dropped for another
 * @lifetime_us: a fingerprint is dropped this long after its last crash
 */
sus_t *sus_new (uint32_t limit, uint64_t lifetime_us);
void sus_free (sus_t *sus);
/** sus_check() - whether the request @fingerprint may run on the engine @engine_hash */
sus_verdict_t sus_check (sus_t *sus, uint64_t now_us, uint64_t fingerprint, uint64_t engine_hash);
/** sus_add() - the engine @engine_hash crashed during the request. Return: whether this was new */
bool sus_add (sus_t *sus, uint64_t now_us, uint64_t fingerprint, uint64_t engine_hash);
/** sus_merge() - applies a mark of a peer; one without engines clears the request. Return: whether
 * it changed anything */
bool sus_merge (sus_t *sus, uint64_t now_us, const sus_mark_t *mark);
/** sus_get() - gets the mark of a request. Return: false when it is not suspect */
bool sus_get (const sus_t *sus, uint64_t now_us, uint64_t fingerprint, sus_mark_t *out);
/** sus_clear() - the request was served, so it crashes no engine. Return: whether it was suspect */
bool sus_clear (sus_t *sus, uint64_t fingerprint);
/** sus_is_cleared() - whether @mark names no engine, which says that its request was served */
bool sus_is_cleared (const sus_mark_t *mark);
/** sus_count() - Return: number of fingerprints, of which some may have expired
 */
uint32_t sus_count (const sus_t *sus);
/** sus_recent() - gets up to @want marks, latest crash first. Return: their number
 */
uint32_t sus_recent (const sus_t *sus, uint64_t now_us, sus_mark_t *out, uint32_t want);

#endif
