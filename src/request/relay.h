/**
 * DOC: relay
 *
 * An answer on its way from a call of the HTTP client to a call of the listener. A short answer of
 * declared length is held back until it is whole, so that one that breaks off can still become an
 * error or another attempt; a longer one is streamed, and never ended properly when it was cut.
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

#define RLY_HELD_LIMIT_BYTES (64 * 1024)

/**
 * struct rly - embedded in the call that owns it
 * @to: NULL when nobody listens any more: the answer is then read and dropped
 * @from: the call that is read; NULL when it ended
 * @held: body of an answer that is held back
 * @passes_back: which headers go on; hdr_passes_back() unless the owner sets another
 * @holding: the answer waits until it is whole; an owner may set it after rly_head()
 * @begun: the first byte went to @to
 * @events: it is an event stream
 * @between: an event has just ended there
 * @full: @to has to take more before @from is read on
 * @was_full: so it was since rly_held_up() was asked last
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
  bool was_full;
  bool events;
  bool between;
} rly_t;

void rly_init (rly_t *rly, hsv_call_t *to);
void rly_clear (rly_t *rly);
/** rly_head() - the head of an answer came from @from; what a former attempt held is dropped */
void rly_head (rly_t *rly, hcl_call_t *from, int status, struct evkeyvalq *headers);
/** rly_add_header() - a header of the fleet's own, after rly_head() */
void rly_add_header (rly_t *rly, const char *name, const char *value);
/** rly_data() - drains @data */
void rly_data (rly_t *rly, struct evbuffer *data);
/** rly_whole() - the answer is whole; ends the listener's call */
void rly_whole (rly_t *rly);
/** rly_cut() - a begun answer broke off: the connection is cut, in an event stream after an error
 * event; ends the listener's call */
void rly_cut (rly_t *rly, const flt_t *fault);
/** rly_held_up() - whether the listener held the answer up since this was last asked: that nothing
 * came of it meanwhile is no fault of the sender's */
bool rly_held_up (rly_t *rly);
/** rly_gone() - the listener's call ended by itself */
void rly_gone (rly_t *rly);

#endif
