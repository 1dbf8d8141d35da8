/**
 * DOC: answer_seal
 *
 * Authenticates responses between daemons with an HMAC-SHA256 under the fleet key. The HMAC, called
 * seal, covers the kind of response, a nonce from the request, and the body. The nonce prevents
 * replay of a recorded response, and the kind prevents use of one response as another.
 */
#ifndef VERSION_ANSWER_SEAL_H
#define VERSION_ANSWER_SEAL_H

#include <stdbool.h>
#include <stddef.h>

#define ASL_NONCE_HEADER "X-Medlarplank-Nonce"
#define ASL_SEAL_HEADER "X-Medlarplank-Answer-Seal"
#define ASL_NONCE_BYTES 33 /* hex digits and the terminating NUL */
#define ASL_SEAL_BYTES 65  /* hex digits and the terminating NUL */

/** asl_nonce() - generate a random nonce for a request */
void asl_nonce (char out[ASL_NONCE_BYTES]);
/**
 * asl_make() - compute the seal of a response, in lower-case hex
 * @kind: constant that identifies the kind of response
 * @nonce: from the request
 */
void asl_make (const char *fleet_key,
               const char *kind,
               const char *nonce,
               const char *body,
               size_t body_bytes,
               char out[ASL_SEAL_BYTES]);
/** asl_same() - compare two seals in constant time, so that timing does not reveal how many
 * characters of a guessed seal are correct */
bool asl_same (const char *received, const char expected[ASL_SEAL_BYTES]);

#endif
