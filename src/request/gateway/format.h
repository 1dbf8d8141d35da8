/**
 * DOC: format
 *
 * How callers and engines write what a router must know of a request: an interface that an adapter
 * fills in. The rest of the program sees these types only, never a header's name.
 */
#ifndef REQUEST_GATEWAY_FORMAT_H
#define REQUEST_GATEWAY_FORMAT_H

#include "connection/http_client.h"
#include "request/policy/engines.h"

#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

#define FMT_PARTS 16 /* parts of a prompt that are looked at */
#define FMT_ID_BYTES 128
#define FMT_REST_MOST_MS (24 * 3600 * 1000) /* a longer rest is a slip */

/** struct fmt_part - a part of a prompt; equal hashes are the same tokens */
typedef struct
{
  uint64_t hash;
  uint32_t tokens;
} fmt_part_t;

/**
 * struct fmt_request - what a caller says of its request; texts are borrowed from the headers
 * @id: of this try of the caller's, NULL when it gives none
 * @key: secret of its client account, NULL when it gives none
 * @deadline_ms: how long the caller waits; 0 is not said
 * @prompt_tokens, @output_tokens: of a model request; the output is the most it may have
 * @parts: of the prompt in order; the last one is the request's or its chat's own
 * @resumes: the caller goes on with a stream after event @last_event
 */
typedef struct
{
  const char *id;
  const char *key;
  uint32_t deadline_ms;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  fmt_part_t parts[FMT_PARTS];
  uint32_t part_count;
  bool resumes;
  uint64_t last_event;
} fmt_request_t;

/**
 * struct fmt_hop - what the router tells an engine
 * @engine_id: another engine at the same address must refuse the request
 * @account: NULL on a route that needs no key
 * @left_ms: of the caller's time
 * @priority: 0 is first
 * @cache_source: engine from whose cache it should copy what it lacks of the prompt, or NULL
 * @resumes: go on with the stream after event @last_event
 */
typedef struct
{
  const char *engine_id;
  const char *account;
  const set_address_t *cache_source;
  uint32_t left_ms;
  uint32_t priority;
  bool resumes;
  uint64_t last_event;
} fmt_hop_t;

/**
 * struct fmt_answer - what an engine's answer says of itself
 * @crossed: it answers another request
 * @not_run: the engine states that it did not run the request
 * @is_other: it is another engine than the one expected
 * @genuine: it bears the engine's signature
 * @idle_ms: how long the engine keeps an idle connection; 0 is not said
 * @leaving: the engine that was expected says that it leaves
 * @rest_ms: it refused the request and wants no more for so long; 0 is not said
 */
typedef struct
{
  bool crossed;
  bool not_run;
  bool is_other;
  bool genuine;
  bool has_load;
  egn_load_t load;
  uint32_t idle_ms;
  bool leaving;
  uint32_t rest_ms;
} fmt_answer_t;

/** struct fmt_text - room for values that fmt_t.write() makes */
typedef struct
{
  char left_ms[16];
  char last_event[24];
  char priority[12];
  char cache_source[64];
} fmt_text_t;

/**
 * struct fmt - a format
 * @read: Return: NULL, or what is wrong with the request, for its caller
 * @write: adds the headers of the request to an engine to @out, of hcl_header_t: the router's, and
 * those of the caller that pass on
 * @answer: @id is that of the request
 * @passes_back: whether an answer's header goes to the caller
 */
typedef struct
{
  const char *(*read) (fmt_request_t *out, const struct evkeyvalq *headers);
  void (*write) (const fmt_hop_t *hop,
                 const struct evkeyvalq *headers,
                 GArray *out,
                 fmt_text_t *text);
  void (*answer) (fmt_answer_t *out, int status, const struct evkeyvalq *headers, const char *id);
  bool (*passes_back) (const char *name);
} fmt_t;

#endif
