/**
 * DOC: http_server
 *
 * The HTTP listener of a task over evhttp: limits on what a caller can grow, one exchange a
 * request, answers whole or streamed, and notice when the caller goes away.
 */
#ifndef CONNECTION_HTTP_SERVER_H
#define CONNECTION_HTTP_SERVER_H

#include "process/counters.h"
#include "process/settings.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct hsv hsv_t;           /* a listener */
typedef struct hsv_call hsv_call_t; /* a request that is not answered yet */

/**
 * struct hsv_options - options of hsv_new()
 * @on_call: a whole request within the limits; it must be answered once, now or later
 */
typedef struct
{
  struct event_base *base;
  cnt_set_t *counters;
  set_address_t listen;
  uint32_t body_limit_bytes;
  uint32_t header_limit_bytes;
  uint32_t header_limit_count;
  uint32_t connection_limit;
  uint32_t idle_timeout_ms;
  void (*on_call) (hsv_call_t *call, void *context);
  void *context;
} hsv_options_t;

hsv_t *hsv_new (const hsv_options_t *options, GError **error);
void hsv_free (hsv_t *hsv);
/** hsv_stop() - stop listening; answers from now on say "Connection: close" */
void hsv_stop (hsv_t *hsv);
/** hsv_busy() - calls that are not answered yet, or whose answer has not left whole */
uint32_t hsv_busy (const hsv_t *hsv);

const char *hsv_method (const hsv_call_t *call);
/** hsv_path() - path without the query */
const char *hsv_path (const hsv_call_t *call);
/** hsv_target() - as it came, path and query */
const char *hsv_target (const hsv_call_t *call);
/** hsv_query() - value of a query parameter, or NULL; valid until the call ends */
const char *hsv_query (hsv_call_t *call, const char *name);
const char *hsv_header (const hsv_call_t *call, const char *name);
struct evkeyvalq *hsv_headers (const hsv_call_t *call);
/** hsv_body() - the whole body; not NUL-terminated; valid until the call is answered */
const char *hsv_body (hsv_call_t *call, size_t *body_bytes);

/** hsv_on_gone() - the caller closed its connection before the answer was whole. The call is then
 * freed after @gone returns and must not be answered. */
void hsv_on_gone (hsv_call_t *call, void (*gone) (void *context), void *context);
/** hsv_on_room() - for streams: called when more than half of the queued bytes have left */
void hsv_on_room (hsv_call_t *call, void (*room) (void *context), void *context);

/** hsv_add_header() - a header of the answer; one with CR, LF or NUL is left out and counted */
void hsv_add_header (hsv_call_t *call, const char *name, const char *value);
/** hsv_reply() - the whole answer; ends the call */
void hsv_reply (hsv_call_t *call, int status, const void *body, size_t body_bytes);
/** hsv_reply_text() - as hsv_reply() with a content type */
void hsv_reply_text (hsv_call_t *call, int status, const char *content_type, const char *text);
/** hsv_begin() - start an answer of unknown length (chunked) */
void hsv_begin (hsv_call_t *call, int status);
/** hsv_part() - a part of it; drains @data. Return: false when the queued bytes are over the limit:
 * wait for hsv_on_room() */
bool hsv_part (hsv_call_t *call, struct evbuffer *data);
/** hsv_end() - the answer is whole; ends the call */
void hsv_end (hsv_call_t *call);
/** hsv_abort() - cut the connection so that the caller cannot take the part for the whole */
void hsv_abort (hsv_call_t *call);

#define HSV_QUEUED_LIMIT_BYTES (256 * 1024)

#endif
