/**
 * DOC: digest
 *
 * Digests of requests that client accounts could otherwise make collide: an account must not be
 * able to craft a body or key that is taken for another's. Short forms of SHA-256.
 */
#ifndef REQUEST_POLICY_DIGEST_H
#define REQUEST_POLICY_DIGEST_H

#include <stddef.h>
#include <stdint.h>

/** dgs_body() - of method, target and body; the same at router and sidecar */
uint64_t dgs_body (const char *method, const char *target, const void *body, size_t body_bytes);
/** dgs_fingerprint() - what marks of crashes are kept under */
uint64_t dgs_fingerprint (const char *account, uint64_t body_hash);
/** dgs_key() - an idempotency key within its account; never zero */
void dgs_key (const char *account, const char *key, uint64_t out[2]);

#endif
