/**
 * DOC: http_call
 *
 * HTTP server helpers of the stand-ins, on top of evhttp: a listener, requests that are answered
 * asynchronously, streamed answers, and notification when a caller disconnects. Functions that end
 * a call free it.
 */
#ifndef STANDIN_HTTP_CALL_H
#define STANDIN_HTTP_CALL_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HTTP_CALL_MAX_BODY_BYTES (16 * 1024 * 1024)
#define HTTP_CALL_MAX_HEADER_BYTES (64 * 1024)

typedef struct http_call http_call_t; /* a request that has not been answered completely */

/** http_call_base_new() - a new event base with millisecond-precise timers */
struct event_base *http_call_base_new (void);

/**
 * http_call_listen() - starts an HTTP server on @address, IP:PORT
 * @on_call: handles each request; must end the call, now or later
 *
 * Return: the server, or NULL on failure, which is reported on standard error
 */
struct evhttp *http_call_listen (struct event_base *base,
                                 const char *address,
                                 void (*on_call) (http_call_t *call, void *context),
                                 void *context);

/** http_call_method() - the request method, or "OTHER" */
const char *http_call_method (const http_call_t *call);
/** http_call_path() - the path without the query; valid until the call ends */
const char *http_call_path (const http_call_t *call);
/** http_call_query() - value of a query parameter, or NULL; valid until the call ends */
const char *http_call_query (const http_call_t *call, const char *name);
/** http_call_query_u64() - a numeric query parameter; @default_value if it is missing or invalid */
uint64_t http_call_query_u64 (const http_call_t *call, const char *name, uint64_t default_value);
/** http_call_header() - value of a request header, or NULL; valid until the call ends */
const char *http_call_header (const http_call_t *call, const char *name);
/** http_call_body() - the request body, not null-terminated; valid until the call ends */
const char *http_call_body (http_call_t *call, size_t *body_bytes);
/** http_call_parse_json() - the body parsed as JSON, a new reference; NULL if it is not valid JSON
 */
json_t *http_call_parse_json (http_call_t *call);
/** http_call_matches() - whether the request has this method and path */
bool http_call_matches (const http_call_t *call, const char *method, const char *path);

/** http_call_on_disconnect() - sets a callback for a closed connection; the call is freed after it
 * returns */
void
http_call_on_disconnect (http_call_t *call, void (*on_disconnect) (void *context), void *context);

/** http_call_add_header() - adds a response header */
void http_call_add_header (http_call_t *call, const char *name, const char *value);
/** http_call_reply_json() - sends a complete answer; takes over @json, which may be NULL; ends the
 * call */
void http_call_reply_json (http_call_t *call, int status, json_t *json);
/** http_call_reply_bytes() - sends a complete answer with any body; ends the call */
void http_call_reply_bytes (http_call_t *call, int status, const void *bytes, size_t count);
/** http_call_begin_stream() - starts an event stream with status 200 */
void http_call_begin_stream (http_call_t *call);
/** http_call_send_part() - sends one part of the stream */
void http_call_send_part (http_call_t *call, const char *text);
/** http_call_end_stream() - completes the stream; ends the call */
void http_call_end_stream (http_call_t *call);
/** http_call_abort() - closes the connection without completing the answer, on the next loop
 * iteration; ends the call */
void http_call_abort (http_call_t *call);
/**
 * http_call_reply_broken() - sends an answer that is incomplete or has no declared length, then
 * closes the connection; ends the call
 * @id: value of the header X-Request-Id
 * @with_length: sends Content-Length but only half of the body; otherwise sends the full body with
 *   neither Content-Length nor chunked encoding
 */
void http_call_reply_broken (http_call_t *call, const char *id, const char *text, bool with_length);

#endif
