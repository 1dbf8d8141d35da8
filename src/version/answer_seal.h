/**
 * DOC: answer_seal
 *
 * Seals answers between daemons under the fleet key: HMAC-SHA256 over what kind of answer it is, a
 * nonce that the asker sent, and the body. Neither a stranger nor somebody who recorded an old
 * answer can make the asker take it.
 */
#ifndef VERSION_ANSWER_SEAL_H
#define VERSION_ANSWER_SEAL_H

#include <stdbool.h>
#include <stddef.h>

#define ASL_NONCE_HEADER "X-Medlarplank-Nonce"
#define ASL_SEAL_HEADER "X-Medlarplank-Answer-Seal"
#define ASL_NONCE_BYTES 33 /* with the final NUL */
#define ASL_SEAL_BYTES 65  /* with the final NUL */

/** asl_nonce() - a fresh nonce for a request */
void asl_nonce (char out[ASL_NONCE_BYTES]);
/** asl_make() - the seal, in lower-case hex; @kind of answer, a constant */
void asl_make (const char *fleet_key,
               const char *kind,
               const char *nonce,
               const char *body,
               size_t body_bytes,
               char out[ASL_SEAL_BYTES]);
/** asl_same() - whether two seals are equal; takes as long for one that is almost right */
bool asl_same (const char *given, const char right[ASL_SEAL_BYTES]);

#endif
