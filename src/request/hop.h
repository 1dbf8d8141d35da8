/**
 * DOC: hop
 *
 * What a router tells a sidecar along with a request, in one HTTP header, and what comes back. The
 * header is sealed with an HMAC under the fleet key, so that nobody else on the network can hand
 * work to an engine past the limits of the client accounts. It is one header and not one for each
 * field, as reading and searching many costs more than all that a sidecar decides.
 *
 * A refusal is 503 (or 409 for claims, 422 for final ones) with VRD_HEADER, HOP_REASON_HEADER,
 * HOP_TRY_HEADER (host names, comma-separated) and Retry-After; its body is the caller's error.
 */
#ifndef REQUEST_HOP_H
#define REQUEST_HOP_H

#include "base/limits.h"

#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

#define HOP_ATTEMPT_HEADER "X-Medlarplank-Attempt" /* echoed by the sidecar on every answer */
#define HOP_HEADER "X-Medlarplank-Hop"             /* all of hop_t, fields between semicolons */
#define HOP_SEAL_HEADER "X-Medlarplank-Seal"       /* of HOP_HEADER */
#define HOP_REASON_HEADER "X-Medlarplank-Reason"
#define HOP_TRY_HEADER "X-Medlarplank-Try"
#define HOP_ENGINE_HEADER "X-Medlarplank-Engine"           /* which engine answered */
#define HOP_INCARNATION_HEADER "X-Medlarplank-Incarnation" /* of the sidecar */
#define HOP_RETRY_AFTER_HEADER "X-Medlarplank-Retry-After-Ms"
#define HOP_LOAD_HEADER "X-Medlarplank-Load" /* of the engine that answers: LOAD/WAITING/COST */
#define HOP_CACHED_HEADER "X-Cached-Tokens"  /* from the engine: prompt tokens found cached */
#define HOP_PRIORITY_HEADER "X-Priority"     /* to the engine */
#define HOP_ACCOUNT_HEADER "X-Account"       /* to the engine: name of the client account */
#define HOP_REQUEST_HEADER "X-Request-Id"    /* to the engine, echoed by it: the attempt id */

#define HOP_REVOKE_PATH "/medlarplank/revoke" /* POST ?attempt=ID -> VRD_HEADER */
#define HOP_SERVED_PATH "/medlarplank/served" /* POST ?chat=HEX&engine=HEX: told to the home */
#define HOP_DIRECTORY_PATH "/medlarplank/directory" /* POST: hand-over of a leaving sidecar */

#define HOP_SAMPLES 6
#define HOP_SAMPLE_BYTES 36 /* of one in the header, as a rule */
/** struct hop_sample - load of one engine, as the router heard it */
typedef struct
{
  uint64_t engine_hash;
  uint32_t load;
  uint32_t waiting;
  uint32_t cost;
  uint32_t age_ms;
} hop_sample_t;

/**
 * struct hop - one request on its way to a sidecar
 * @deadline_ms: that remain, to the first byte; relative, as hosts' clocks differ
 * @key_hash: of the idempotency key with the account; zero without a key
 * @body_hash: of method, target and body, so that a seal fits no other request
 * @crashed: engines that the router knows to have crashed on this request; 0 is empty. Told to the
 *   next sidecar, which then need not wait for the mark to reach it by the exchange.
 * @samples: loads that the router heard of lately, of the same service. By the exchange alone a
 *   sidecar learns of a sudden rise of the mean only after seconds, and refuses meanwhile what its
 *   engine could take; those that were just refused elsewhere bring the news with them.
 */
typedef struct
{
  uint64_t attempt[2];
  char service[LIM_NAME_BYTES];
  char account[LIM_NAME_BYTES];
  char class_name[LIM_NAME_BYTES];
  uint64_t chat_hash;
  uint64_t home_hash;
  uint64_t former_hash;
  uint64_t fingerprint;
  uint64_t key_hash[2];
  uint64_t body_hash;
  uint64_t crashed[LIM_SUSPECT_CRASHES];
  uint64_t version;
  hop_sample_t samples[HOP_SAMPLES];
  uint32_t sample_count;
  uint32_t deadline_ms;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  bool has_chat;
  bool may_wait;
  bool referred;
  bool idempotent;
} hop_t;

#define HOP_HEADERS 2
#define HOP_HEADERS_BYTES 4096 /* of both, names, values and framing */
#define HOP_VALUE_BYTES 1024
typedef struct
{
  char name[40];
  char value[HOP_VALUE_BYTES];
} hop_header_t;

/** hop_write() - the headers of @hop, seal included. Return: how many of @out were filled */
uint32_t hop_write (const hop_t *hop, const char *fleet_key, hop_header_t out[HOP_HEADERS]);
typedef enum
{
  HOP_OK,
  HOP_BROKEN,
  HOP_BAD_SEAL
} hop_outcome_t;
hop_outcome_t hop_read (hop_t *hop, const char *fleet_key, struct evkeyvalq *headers);
/** hop_load_write() - the value of HOP_LOAD_HEADER */
void hop_load_write (const hop_sample_t *sample, char out[48]);
/** hop_load_read() - all but the engine and the age. Return: false for a broken or missing value */
bool hop_load_read (const char *text, hop_sample_t *sample);
void hop_attempt_text (const uint64_t attempt[2], char out[33]);
bool hop_attempt_parse (const char *text, uint64_t attempt[2]);
/** hop_attempt_hash() - with hop_attempt_equal(), for a GHashTable keyed by uint64_t[2] */
unsigned int hop_attempt_hash (const void *attempt);
int hop_attempt_equal (const void *left, const void *right);

#endif
