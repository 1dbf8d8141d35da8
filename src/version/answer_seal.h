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

#define ANSWER_SEAL_NONCE_HEADER "X-Medlarplank-Nonce"
#define ANSWER_SEAL_HEADER "X-Medlarplank-Answer-Seal"
#define ANSWER_SEAL_NONCE_BYTES 33 /* hex digits and the terminating NUL */
#define ANSWER_SEAL_BYTES 65       /* hex digits and the terminating NUL */

/** answer_seal_make_nonce() - generate a random nonce for a request */
void answer_seal_make_nonce (char out[ANSWER_SEAL_NONCE_BYTES]);
/**
 * answer_seal_compute() - compute the seal of a response, in lower-case hex
 * @kind: constant that identifies the kind of response
 * @nonce: from the request
 */
void answer_seal_compute (const char *fleet_key,
                          const char *kind,
                          const char *nonce,
                          const char *body,
                          size_t body_bytes,
                          char out[ANSWER_SEAL_BYTES]);
/** answer_seal_equal() - compare two seals in constant time, so that timing does not reveal how
 * many characters of a guessed seal are correct */
bool answer_seal_equal (const char *received, const char expected[ANSWER_SEAL_BYTES]);

#endif
