/**
 * DOC: suspect
 *
 * Requests during which an engine crashed, by fingerprint (see digest_fingerprint() in digest.h).
 * At most %LIMIT_SUSPECT_CRASHES engines are lost to one request, however often it is sent. Daemons
 * tell each other these crashes as marks.
 */
#ifndef REQUEST_POLICY_SUSPECTS_SUSPECT_H
#define REQUEST_POLICY_SUSPECTS_SUSPECT_H

#include "base/limits.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct suspect_mark - the crashes of one request, as daemons tell them to each other
 * @engines: hashes of the engines that crashed; 0 for an unused slot. All 0 means that the request
 *   was served and is not suspect any more
 * @age_ms: time since the last crash, or since the request was served
 */
typedef struct
{
  uint64_t fingerprint;
  uint64_t engines[LIMIT_SUSPECT_CRASHES];
  uint32_t age_ms;
} suspect_mark_t;

/** enum suspect_verdict - whether a request may run on an engine */
typedef enum
{
  SUSPECT_ALLOWED,      /* it may run */
  SUSPECT_OTHER_ENGINE, /* this engine crashed during it: another engine may try */
  SUSPECT_REFUSED       /* it has crashed as many engines as it may: none may try */
} suspect_verdict_t;

typedef struct suspects suspects_t;

/**
 * suspect_new() - Return: an empty set
 * @limit: the most fingerprints that are kept; the one with the oldest crash is dropped for another
 * @lifetime_us: a fingerprint is dropped this long after its last crash
 */
suspects_t *suspect_new (uint32_t limit, uint64_t lifetime_us);
void suspect_free (suspects_t *suspects);
/** suspect_check() - whether the request @fingerprint may run on the engine @engine_hash */
suspect_verdict_t
suspect_check (suspects_t *suspects, uint64_t now_us, uint64_t fingerprint, uint64_t engine_hash);
/** suspect_add_crash() - the engine @engine_hash crashed during the request. Return: whether this
 * was new */
bool suspect_add_crash (suspects_t *suspects,
                        uint64_t now_us,
                        uint64_t fingerprint,
                        uint64_t engine_hash);
/** suspect_merge_mark() - applies a mark of a peer; one without engines clears the request, unless
 * an engine crashed later. Return: whether it changed anything */
bool suspect_merge_mark (suspects_t *suspects, uint64_t now_us, const suspect_mark_t *mark);
/** suspect_get_mark() - gets the mark of a request. Return: false when it is not suspect */
bool suspect_get_mark (const suspects_t *suspects,
                       uint64_t now_us,
                       uint64_t fingerprint,
                       suspect_mark_t *out);
/** suspect_mark_is_cleared() - whether @mark names no engine, which says that its request was
 * served */
bool suspect_mark_is_cleared (const suspect_mark_t *mark);
/** suspect_count() - Return: number of fingerprints, of which some may have expired
 */
uint32_t suspect_count (const suspects_t *suspects);
/** suspect_recent_marks() - gets up to @want marks, latest crash first. Return: their number
 */
uint32_t suspect_recent_marks (const suspects_t *suspects,
                               uint64_t now_us,
                               suspect_mark_t *out,
                               uint32_t want);

#endif
