/**
 * DOC: proven
 *
 * Requests that engines answered lately, by fingerprint. A request is usually placed by its
 * fingerprint, so that one that crashes engines always meets the two that know it. The same status
 * check sent over and over would then load two engines and leave all others idle. What was answered
 * a moment ago is not a request that crashes each engine that runs it, so it may go anywhere.
 *
 * Only briefly, as the engines may change: a router that has not seen the crash would then send a
 * resend to a third engine, until the marks of the others reach it.
 *
 * A direct-mapped table: of two fingerprints in one place the later is kept.
 */
#ifndef REQUEST_POLICY_PROVEN_H
#define REQUEST_POLICY_PROVEN_H

#include <stdbool.h>
#include <stdint.h>

typedef struct prv prv_t;

prv_t *prv_new (uint32_t entries, uint64_t lifetime_us);
void prv_free (prv_t *prv);
/** prv_answered() - an engine answered the request */
void prv_answered (prv_t *prv, uint64_t now_us, uint64_t fingerprint);
/** prv_forget() - the request is suspected of a crash after all */
void prv_forget (prv_t *prv, uint64_t fingerprint);
bool prv_has (const prv_t *prv, uint64_t now_us, uint64_t fingerprint);

#endif
