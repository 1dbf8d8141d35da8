/**
 * DOC: relay
 *
 * Forwards a response from a call of the HTTP client to a call of the listener. A short response of
 * declared length is buffered until it is complete, so that if it breaks off the client can still
 * get an error or the response of another attempt. A longer one is streamed; if it breaks off, the
 * connection is cut, so that the client can't take the response for a complete one.
 */
#ifndef REQUEST_RELAY_H
#define REQUEST_RELAY_H

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "request/error_reply.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

#define RELAY_BUFFER_LIMIT_BYTES (64 * 1024) /* longest response that is buffered */
/* Likewise for a response that does not declare its length; more of it is streamed at the pace of
 * the client, since one without end must not take memory. */
#define RELAY_HELD_LIMIT_BYTES (512 * 1024)

/**
 * struct relay - state of one response; embedded in the call that owns it
 * @to: call of the listener; NULL when the client has gone: the response is then read and dropped
 * @from: call of the HTTP client; NULL when it has ended
 * @held_data: body of a response that is buffered
 * @is_returned: which headers are forwarded; header_is_returned() unless the owner sets another
 * @is_buffering: the response is buffered until it is complete; the owner may set it after
 *   relay_start()
 * @has_started: the first byte was sent to @to
 * @client_blocked: the send buffer of @to is full, and @from is paused
 * @was_blocked: @client_blocked was set since the last call of relay_was_blocked()
 * @is_event_stream: the response is a stream of server-sent events
 * @at_event_end: the last byte that was forwarded ended an event
 */
typedef struct
{
  http_server_call_t *to;
  http_client_call_t *from;
  struct evbuffer *held_data;
  struct evkeyvalq headers;
  int status;
  bool (*is_returned) (const char *name);
  bool is_buffering;
  bool has_started;
  bool client_blocked;
  bool was_blocked;
  bool is_event_stream;
  bool at_event_end;
} relay_t;

void relay_init (relay_t *relay, http_server_call_t *to);
void relay_clear (relay_t *relay);
/** relay_held_limit() - bytes of a response of no declared length that are buffered: fewer than
 * %RELAY_HELD_LIMIT_BYTES beside many others */
uint64_t relay_held_limit (const relay_t *relay);
/** relay_start() - starts a response, whose head came from @from; drops what an earlier attempt
 * left in the buffer */
void relay_start (relay_t *relay, http_client_call_t *from, int status, struct evkeyvalq *headers);
/** relay_add_header() - adds a header of the fleet itself to the response; after relay_start() */
void relay_add_header (relay_t *relay, const char *name, const char *value);
/** relay_forward() - forwards, buffers or drops a part of the body; drains @data */
void relay_forward (relay_t *relay, struct evbuffer *data);
/** relay_finish() - ends the listener's call with a complete response */
void relay_finish (relay_t *relay);
/** relay_abort() - ends the listener's call after a response that broke off when a part of it had
 * been sent: cuts the connection, in an event stream after an error event */
void relay_abort (relay_t *relay, const error_reply_t *fault);
/** relay_was_blocked() - whether a slow client blocked the response since the last call of this
 * function: a gap in the response is then not the sender's fault */
bool relay_was_blocked (relay_t *relay);
/** relay_client_gone() - the listener's call ended because the client has gone */
void relay_client_gone (relay_t *relay);

#endif
