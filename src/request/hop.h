/**
 * DOC: hop
 *
 * The header with which a router passes a request to a sidecar, and the headers of the sidecar's
 * response. The request header is sealed with an HMAC under the fleet key, so that no other client
 * on the network can bypass the limits of client accounts. All fields share one header, because
 * reading and searching many headers costs more than everything that a sidecar decides.
 *
 * A refusal is 503 (409 for claims, 422 for final ones) with VERDICT_HEADER, HOP_REASON_HEADER,
 * HOP_ALTERNATIVES_HEADER (host names, comma-separated) and Retry-After; its body is the error
 * response for the client.
 */
#ifndef REQUEST_HOP_H
#define REQUEST_HOP_H

#include "base/limits.h"

#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

/* on every response of a sidecar: attempt id */
#define HOP_ATTEMPT_HEADER "X-Medlarplank-Attempt"
#define HOP_HEADER "X-Medlarplank-Hop"       /* all of hop_t, separated by semicolons */
#define HOP_SEAL_HEADER "X-Medlarplank-Seal" /* HMAC of HOP_HEADER */
#define HOP_REASON_HEADER "X-Medlarplank-Reason"
#define HOP_ALTERNATIVES_HEADER "X-Medlarplank-Try"
#define HOP_ENGINE_HEADER "X-Medlarplank-Engine"           /* the engine that responded */
#define HOP_INCARNATION_HEADER "X-Medlarplank-Incarnation" /* of the sidecar process */
#define HOP_RETRY_AFTER_HEADER "X-Medlarplank-Retry-After-Ms"
#define HOP_LOAD_HEADER "X-Medlarplank-Load" /* of the engine that responded: LOAD/WAITING/COST */
/* from the engine: prompt tokens found in its cache */
#define HOP_CACHED_TOKENS_HEADER "X-Cached-Tokens"
#define HOP_PRIORITY_HEADER "X-Priority"  /* to the engine */
#define HOP_ACCOUNT_HEADER "X-Account"    /* to the engine: name of the client account */
#define HOP_REQUEST_HEADER "X-Request-Id" /* to the engine, which echoes it: the attempt id */

#define HOP_REVOKE_PATH "/medlarplank/revoke" /* POST ?attempt=ID; responds with VERDICT_HEADER */
/* POST ?chat=HEX&engine=HEX: tells the chat's home who served it */
#define HOP_SERVED_PATH "/medlarplank/served"
#define HOP_DIRECTORY_PATH "/medlarplank/directory" /* POST: hand-over of a leaving sidecar */

#define HOP_SAMPLES_MAX 6
/* of one sample in the header, typically; used for traffic estimates */
#define HOP_SAMPLE_TYPICAL_BYTES 36
/**
 * struct hop_sample - load of one engine, as the router last heard it
 * @load: requests that the engine runs
 * @waiting: requests that wait for it
 * @cost: milliseconds of a slot that its requests are expected to take
 * @age_ms: time since the engine had this load
 */
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
 * @home_hash: first candidate for the chat by the router's view
 * @former_home_hash: first candidate for the chat before the present one joined; 0 for none
 * @fingerprint: digest by which requests that crash engines are known
 * @key_hash: of the idempotency key and the account; zero without a key
 * @body_hash: of method, target and body, so that a seal is valid for this request only
 * @crashed: engines that the router knows to have crashed on this request; 0 is empty. They go to
 *   the next sidecar with the request, which need not wait until the exchange brings the mark.
 * @version: manifest version by which the router decided
 * @samples: recent loads of engines of the same service. By the exchange alone a sidecar learns of
 *   a sudden rise of the mean load only after seconds, and meanwhile refuses requests that its
 *   engine could run; requests that were just refused elsewhere bring the newer loads with them.
 * @deadline_ms: time left until the first byte of the response; relative, as the clocks of hosts
 *   differ
 * @has_chat: @chat_hash is valid
 * @may_wait: the sidecar may queue the request rather than refuse it
 * @referred: another sidecar named this one as an alternative
 * @idempotent: the request may run more than once
 */
typedef struct
{
  uint64_t attempt[2];
  char service[LIMIT_NAME_BYTES];
  char account[LIMIT_NAME_BYTES];
  char class_name[LIMIT_NAME_BYTES];
  uint64_t chat_hash;
  uint64_t home_hash;
  uint64_t former_home_hash;
  uint64_t fingerprint;
  uint64_t key_hash[2];
  uint64_t body_hash;
  uint64_t crashed[LIMIT_SUSPECT_CRASHES];
  uint64_t version;
  hop_sample_t samples[HOP_SAMPLES_MAX];
  uint32_t sample_count;
  uint32_t deadline_ms;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  bool has_chat;
  bool may_wait;
  bool referred;
  bool idempotent;
} hop_t;

#define HOP_HEADER_COUNT 2         /* HOP_HEADER and HOP_SEAL_HEADER */
#define HOP_HEADERS_MAX_BYTES 4096 /* limit for both, with names, values and framing */
#define HOP_VALUE_BYTES 1024
typedef struct
{
  char name[40];
  char value[HOP_VALUE_BYTES];
} hop_header_t;

/** hop_write() - writes the headers of @hop, with the seal. Return: the number of headers in @out
 */
uint32_t hop_write (const hop_t *hop, const char *fleet_key, hop_header_t out[HOP_HEADER_COUNT]);
typedef enum
{
  HOP_OK,
  HOP_MALFORMED, /* sealed by this fleet, but not readable by this version */
  HOP_BAD_SEAL   /* header or seal missing, or sealed with another key */
} hop_read_result_t;
/** hop_read() - checks the seal and parses the headers into @hop, which is valid after HOP_OK */
hop_read_result_t hop_read (hop_t *hop, const char *fleet_key, struct evkeyvalq *headers);
/** hop_format_load() - writes the value of HOP_LOAD_HEADER */
void hop_format_load (const hop_sample_t *sample, char out[48]);
/** hop_parse_load() - parses HOP_LOAD_HEADER into all fields but the engine and the age. Return:
 * false for a malformed or missing value */
bool hop_parse_load (const char *text, hop_sample_t *sample);
/** hop_format_attempt() - writes an attempt id as 32 hexadecimal digits */
void hop_format_attempt (const uint64_t attempt[2], char out[33]);
/** hop_parse_attempt() - reads an attempt id. Return: false if @text is not 32 hexadecimal digits
 */
bool hop_parse_attempt (const char *text, uint64_t attempt[2]);
/** hop_hash_attempt() - with hop_equal_attempt(), for a GHashTable whose keys are attempt ids */
unsigned int hop_hash_attempt (const void *attempt);
int hop_equal_attempt (const void *left, const void *right);

#endif
