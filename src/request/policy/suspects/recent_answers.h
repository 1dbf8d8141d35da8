/**
 * DOC: recent_answers
 *
 * Fingerprints of requests that engines answered recently. Requests are usually placed by their
 * fingerprint, so that one that crashes engines reaches the same two engines, which know it from
 * the first crash. But then an identical status check that is sent over and over would load two
 * engines and leave the others idle. A request that was just answered does not crash every engine
 * that runs it, so it may be sent to any.
 *
 * Entries are kept briefly, because engines may change: a router that has not seen a crash would
 * send a repeated request to a third engine until it receives the other routers' crash marks.
 *
 * A direct-mapped table: of two fingerprints with the same index the later one is kept.
 */
#ifndef REQUEST_POLICY_SUSPECTS_RECENT_ANSWERS_H
#define REQUEST_POLICY_SUSPECTS_RECENT_ANSWERS_H

#include <stdbool.h>
#include <stdint.h>

/** struct recent_answers - the table of fingerprints */
typedef struct recent_answers recent_answers_t;

/** recent_answers_new() - a table with @entries places, which keeps a fingerprint for @lifetime_us
 */
recent_answers_t *recent_answers_new (uint32_t entries, uint64_t lifetime_us);
/** recent_answers_free() - NULL is allowed */
void recent_answers_free (recent_answers_t *answers);
/** recent_answers_add() - records that an engine answered the request with @fingerprint */
void recent_answers_add (recent_answers_t *answers, uint64_t now_us, uint64_t fingerprint);
/** recent_answers_remove() - removes @fingerprint, whose request is suspected of a crash after all
 */
void recent_answers_remove (recent_answers_t *answers, uint64_t fingerprint);
/** recent_answers_contain() - whether the request with @fingerprint was answered within the
 * lifetime */
bool
recent_answers_contain (const recent_answers_t *answers, uint64_t now_us, uint64_t fingerprint);
/** recent_answers_contain_within() - likewise, within @within_us, which is at most the lifetime */
bool recent_answers_contain_within (const recent_answers_t *answers,
                                    uint64_t now_us,
                                    uint64_t fingerprint,
                                    uint64_t within_us);

#endif
