/**
 * DOC: format
 *
 * The interface between the gateway and the HTTP headers of clients and engines. An adapter for one
 * platform implements it; the rest of the program uses these types and knows no header names.
 */
#ifndef REQUEST_GATEWAY_FORMAT_H
#define REQUEST_GATEWAY_FORMAT_H

#include "connection/http_client.h"
#include "request/policy/engines/engines.h"

#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

#define FORMAT_ID_BYTES 128
#define FORMAT_BACKOFF_MAX_MS (24 * 3600 * 1000) /* a longer backoff is taken for a mistake */

/** struct format_prompt_part - a part of a prompt; parts with the same hash have the same tokens */
typedef struct
{
  uint64_t hash;
  uint32_t tokens;
} format_prompt_part_t;

/**
 * struct format_request - the headers of a client's request; texts are borrowed from the headers,
 * @parts is to be freed with g_free()
 * @id: id of this attempt of the client, or NULL
 * @key: API key of the client account, or NULL
 * @deadline_ms: how long the client waits; 0 when it doesn't say
 * @prompt_tokens: length of the prompt of a model request
 * @output_tokens: maximum length of the output of a model request
 * @parts: parts of the prompt in order, @part_count of them, NULL for none; the last one belongs to
 *   this request or its chat alone
 * @resumes: the client resumes a stream after the event with the id @last_event
 * @resumed_id: id of the attempt of the client whose response began that stream, or NULL
 */
typedef struct
{
  const char *id;
  const char *key;
  uint32_t deadline_ms;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  format_prompt_part_t *parts;
  uint32_t part_count;
  bool resumes;
  const char *resumed_id;
  uint64_t last_event;
} format_request_t;

/**
 * struct format_copy - the copy of a run's cache from which another engine continues the run
 * @address: of the engine that holds the copy, or of the engine that moved it there
 * @id: by which that engine knows the copy
 */
typedef struct
{
  address_t address;
  char id[FORMAT_ID_BYTES];
} format_copy_t;

/**
 * struct format_upstream_request - what the gateway tells an engine with a request
 * @engine_id: the engine that is meant; another one at the same address must refuse the request
 * @account: name of the client account; NULL on a route that needs no key
 * @cache_source: engine to copy missing parts of the prompt from, out of its cache; NULL for none
 * @backup: engine that receives a copy of the run's cache while it grows; NULL for none
 * @copy: copy of the run's cache to continue from; NULL for none
 * @left_ms: time left until the client's deadline
 * @priority: 0 is the most urgent
 * @resumes: resume the stream after the event with the id @last_event
 */
typedef struct
{
  const char *engine_id;
  const char *account;
  const address_t *cache_source;
  const address_t *backup;
  const format_copy_t *copy;
  uint32_t left_ms;
  uint32_t priority;
  bool resumes;
  uint64_t last_event;
} format_upstream_request_t;

/**
 * struct format_response - what the headers of an engine's response say
 * @is_for_other_request: the response belongs to another request, or nothing shows that it belongs
 *   to this one
 * @not_run: the engine states that it did not run the request
 * @is_other_engine: the response is from another engine than the one that the request named
 * @has_signature: the response carries the engine's signature
 * @has_load: @load is valid
 * @idle_ms: how long the engine keeps an idle connection open; 0 when it doesn't say
 * @leaving: the engine that the request named says that it leaves and takes no new requests
 * @backoff_ms: the engine refused the request and asks for no further ones for this time; 0 when it
 *   doesn't say
 */
typedef struct
{
  bool is_for_other_request;
  bool not_run;
  bool is_other_engine;
  bool has_signature;
  bool has_load;
  engine_load_t load;
  uint32_t idle_ms;
  bool leaving;
  uint32_t backoff_ms;
} format_response_t;

/**
 * struct format_asked - the request for which a response came
 * @id: its id, or NULL
 * @is_first: the first request on its connection, so the response can belong to no other one
 */
typedef struct
{
  const char *id;
  bool is_first;
} format_asked_t;

/** struct format_buffers - buffers for the header values that format_t.write() formats */
typedef struct
{
  char left_ms[16];
  char last_event[24];
  char priority[12];
  char cache_source[64];
  char backup[64];
  char copy[FORMAT_ID_BYTES + 64];
} format_buffers_t;

/**
 * struct format - the operations of an adapter
 * @read_request: parses a client's request headers. Return: NULL, or an error message for the
 *   client
 * @write_request: appends the request headers for an engine to @out, an array of
 *   http_client_header_t: those of the gateway, and the client's headers that are forwarded. @out
 *   borrows from @text and @headers
 * @read_response: parses an engine's response headers
 * @is_returned: whether a response header is forwarded to the client
 * @event_first_field: name of a field with a number that the first line of an event may be, or NULL
 */
typedef struct
{
  const char *(*read_request) (format_request_t *out, const struct evkeyvalq *headers);
  void (*write_request) (const format_upstream_request_t *hop,
                         const struct evkeyvalq *headers,
                         GArray *out,
                         format_buffers_t *text);
  void (*read_response) (format_response_t *out,
                         int status,
                         const struct evkeyvalq *headers,
                         const format_asked_t *asked);
  bool (*is_returned) (const char *name);
  const char *event_first_field;
} format_t;

#endif
