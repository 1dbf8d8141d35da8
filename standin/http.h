/**
 * DOC: http
 *
 * What both stand-ins need of evhttp: a listener, requests that are answered later, streams, and
 * notice of a caller that went away.
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

typedef struct sht_call sht_call_t; /* a request that is not answered yet */

/** sht_base_new() - an event base whose timers are precise to a millisecond */
struct event_base *sht_base_new (void);

/** sht_listen() - Return: the listener, or NULL after a line on standard error */
struct evhttp *sht_listen (struct event_base *base,
                           const char *address,
                           void (*on_call) (sht_call_t *call, void *context),
                           void *context);

const char *sht_method (const sht_call_t *call);
const char *sht_path (const sht_call_t *call);
/** sht_query() - value of a query parameter or NULL; valid until the call ends */
const char *sht_query (const sht_call_t *call, const char *name);
uint64_t sht_query_u64 (const sht_call_t *call, const char *name, uint64_t otherwise);
const char *sht_header (const sht_call_t *call, const char *name);
const char *sht_body (sht_call_t *call, size_t *body_bytes);
/** sht_json() - the body as JSON, a new reference, or NULL */
json_t *sht_json (sht_call_t *call);
bool sht_is (const sht_call_t *call, const char *method, const char *path);

/** sht_on_gone() - the caller closed its connection; the call is freed after @gone returns */
void sht_on_gone (sht_call_t *call, void (*gone) (void *context), void *context);

void sht_add_header (sht_call_t *call, const char *name, const char *value);
/** sht_reply() - the whole answer; takes the reference of @json, which may be NULL; ends the call
 */
void sht_reply (sht_call_t *call, int status, json_t *json);
/** sht_reply_bytes() - the whole answer, of any bytes; ends the call */
void sht_reply_bytes (sht_call_t *call, int status, const void *bytes, size_t count);
void sht_begin_stream (sht_call_t *call);
void sht_stream (sht_call_t *call, const char *text);
void sht_end_stream (sht_call_t *call);
/** sht_cut() - close the connection as it stands, soon; ends the call */
void sht_cut (sht_call_t *call);
/**
 * sht_reply_broken() - an answer that is not whole, then close; ends the call
 * @declared: with a length, of which half comes; else all of it with neither length nor chunks
 */
void sht_reply_broken (sht_call_t *call, const char *id, const char *text, bool declared);

#endif
