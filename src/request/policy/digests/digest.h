/**
 * DOC: digest
 *
 * Digests of requests that no client account can make collide: an account must not be able to craft
 * a body or an idempotency key that is taken for another account's. They are SHA-256, shortened to
 * 64 or 128 bits.
 */
#ifndef REQUEST_POLICY_DIGESTS_DIGEST_H
#define REQUEST_POLICY_DIGESTS_DIGEST_H

#include <stddef.h>
#include <stdint.h>

/** digest_request() - digest of method, target and body; routers and sidecars compute the same */
uint64_t
digest_request (const char *method, const char *target, const void *body, size_t body_bytes);
/** digest_fingerprint() - digest of account and body, under which suspect.h keeps a request's
 * crashes;
 * @body_hash is the result of digest_request() */
uint64_t digest_fingerprint (const char *account, uint64_t body_hash);
/** digest_idempotency_key() - digest of an account's idempotency key; @out is never all zero */
void digest_idempotency_key (const char *account, const char *key, uint64_t out[2]);

#endif
