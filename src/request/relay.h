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
#include "request/fault.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

#define RLY_HELD_LIMIT_BYTES (64 * 1024) /* longest response that is buffered */

/**
 * struct rly - state of one response; embedded in the call that owns it
 * @to: call of the listener; NULL when the client has gone: the response is then read and dropped
 * @from: call of the HTTP client; NULL when it has ended
 * @held: body of a response that is buffered
 * @passes_back: which headers are forwarded; hdr_passes_back() unless the owner sets another
 * @holding: the response is buffered until it is complete; the owner may set it after rly_head()
 * @begun: the first byte was sent to @to
 * @full: the send buffer of @to is full, and @from is paused
 * @was_blocked: @full was set since the last call of rly_held_up()
 * @events: the response is a stream of server-sent events
 * @at_event_end: the last byte that was forwarded ended an event
 */
typedef struct
{
  hsv_call_t *to;
  hcl_call_t *from;
  struct evbuffer *held;
  struct evkeyvalq headers;
  int status;
  bool (*passes_back) (const char *name);
  bool holding;
  bool begun;
  bool full;
  bool was_blocked;
  bool events;
  bool at_event_end;
} rly_t;

void rly_init (rly_t *rly, hsv_call_t *to);
void rly_clear (rly_t *rly);
/** rly_head() - starts a response, whose head came from @from; drops what an earlier attempt left
 * in the buffer */
void rly_head (rly_t *rly, hcl_call_t *from, int status, struct evkeyvalq *headers);
/** rly_add_header() - adds a header of the fleet itself to the response; after rly_head() */
void rly_add_header (rly_t *rly, const char *name, const char *value);
/** rly_data() - forwards, buffers or drops a part of the body; drains @data */
void rly_data (rly_t *rly, struct evbuffer *data);
/** rly_whole() - ends the listener's call with a complete response */
void rly_whole (rly_t *rly);
/** rly_cut() - ends the listener's call after a response that broke off when a part of it had been
 * sent: cuts the connection, in an event stream after an error event */
void rly_cut (rly_t *rly, const flt_t *fault);
/** rly_held_up() - whether a slow client blocked the response since the last call of this function:
 * a gap in the response is then not the sender's fault */
bool rly_held_up (rly_t *rly);
/** rly_gone() - the listener's call ended because the client has gone */
void rly_gone (rly_t *rly);

#endif
