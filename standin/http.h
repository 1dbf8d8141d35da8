/**
 * DOC: http
 *
 * HTTP server helpers of the stand-ins, on top of evhttp: a listener, requests that are answered
 * asynchronously, streamed answers, and notification when a caller disconnects. Functions that end
 * a call free it.
 */
#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SHT_BODY_LIMIT_BYTES (16 * 1024 * 1024)
#define SHT_HEADER_LIMIT_BYTES (64 * 1024)

typedef struct sht_call sht_call_t; /* a request that has not been answered completely */

/** sht_base_new() - a new event base with millisecond-precise timers */
struct event_base *sht_base_new (void);

/**
 * sht_listen() - starts an HTTP server on @address, IP:PORT
 * @on_call: handles each request; must end the call, now or later
 *
 * Return: the server, or NULL on failure, which is reported on standard error
 */
struct evhttp *sht_listen (struct event_base *base,
                           const char *address,
                           void (*on_call) (sht_call_t *call, void *context),
                           void *context);

/** sht_method() - the request method, or "OTHER" */
const char *sht_method (const sht_call_t *call);
/** sht_path() - the path without the query; valid until the call ends */
const char *sht_path (const sht_call_t *call);
/** sht_query() - value of a query parameter, or NULL; valid until the call ends */
const char *sht_query (const sht_call_t *call, const char *name);
/** sht_query_u64() - a numeric query parameter; @default_value if it is missing or invalid */
uint64_t sht_query_u64 (const sht_call_t *call, const char *name, uint64_t default_value);
/** sht_header() - value of a request header, or NULL; valid until the call ends */
const char *sht_header (const sht_call_t *call, const char *name);
/** sht_body() - the request body, not null-terminated; valid until the call ends */
const char *sht_body (sht_call_t *call, size_t *body_bytes);
/** sht_json() - the body parsed as JSON, a new reference; NULL if it is not valid JSON */
json_t *sht_json (sht_call_t *call);
/** sht_is() - whether the request has this method and path */
bool sht_is (const sht_call_t *call, const char *method, const char *path);

/** sht_on_gone() - sets a callback for a closed connection; the call is freed after it returns */
void sht_on_gone (sht_call_t *call, void (*on_disconnect) (void *context), void *context);

/** sht_add_header() - adds a response header */
void sht_add_header (sht_call_t *call, const char *name, const char *value);
/** sht_reply() - sends a complete answer; takes over @json, which may be NULL; ends the call */
void sht_reply (sht_call_t *call, int status, json_t *json);
/** sht_reply_bytes() - sends a complete answer with any body; ends the call */
void sht_reply_bytes (sht_call_t *call, int status, const void *bytes, size_t count);
/** sht_begin_stream() - starts an event stream with status 200 */
void sht_begin_stream (sht_call_t *call);
/** sht_stream() - sends one part of the stream */
void sht_stream (sht_call_t *call, const char *text);
/** sht_end_stream() - completes the stream; ends the call */
void sht_end_stream (sht_call_t *call);
/** sht_cut() - closes the connection without completing the answer, on the next loop iteration;
 * ends the call */
void sht_cut (sht_call_t *call);
/**
 * sht_reply_broken() - sends an answer that is incomplete or has no declared length, then closes
 * the connection; ends the call
 * @id: value of the header X-Request-Id
 * @with_length: sends Content-Length but only half of the body; otherwise sends the full body with
 *   neither Content-Length nor chunked encoding
 */
void sht_reply_broken (sht_call_t *call, const char *id, const char *text, bool with_length);

#endif
