/**
 * DOC: exchange
 *
 * The UDP socket of the control task: starts one message every interval to a random peer, answers
 * those of others, and keeps what it sends under the byte budget. What to say and what to make of
 * what was heard is left to callbacks.
 *
 * Only an authentic call that its hearer finds worth it is answered, by one datagram of at most
 * %LIM_DATAGRAM_BYTES; a reply is never answered and counts only for a call that is still open, at
 * the address that was called.
 */
#ifndef CONNECTION_EXCHANGE_H
#define CONNECTION_EXCHANGE_H

#include "connection/budget.h"
#include "connection/wire.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/settings.h"

#include <event2/event.h>
#include <glib.h>

/**
 * struct exc_options - options of exc_new()
 * @seed: for xids and the jitter of the interval
 * @fill: fill in an outgoing message, whose arrays have room for the .x file's bounds; @to is what
 *   the peer said of itself when this is a reply, else NULL
 * @heard: an authentic message; a reply was sent after the call that it answers. Return: whether a
 *   call is worth an answer, false for one that was sent before what is known of its sender
 * @pick: choose whom to send to. Return: false when there is nobody
 */
typedef struct
{
  struct event_base *base;
  const clk_t *clk;
  cnt_set_t *counters;
  set_address_t listen;
  const char *fleet_key;
  uint32_t interval_ms;
  uint32_t budget_bytes;
  uint64_t seed;
  void (*fill) (xch_message *message, const xch_word *to, void *context);
  bool (*heard) (const xch_message *message, bool is_reply, void *context);
  bool (*pick) (set_address_t *peer, void *context);
  void *context;
} exc_options_t;

typedef struct exc exc_t;

exc_t *exc_new (const exc_options_t *options, GError **error);
void exc_free (exc_t *exc);
/** exc_now() - send a message at once to @peer, within the budget (a leaving host tells others) */
void exc_now (exc_t *exc, const set_address_t *peer);
/** exc_flush() - drop what waits in the socket and the calls still open: after a pause, datagrams
 * that came during it are old, and so are the ages in them */
void exc_flush (exc_t *exc);
/** exc_charge() - other control traffic, which shares the byte budget */
void exc_charge (exc_t *exc, uint32_t bytes);
/** exc_has_spare() - whether three quarters of a second's budget are left, so that a message beyond
 * the usual ones holds none of them back */
bool exc_has_spare (exc_t *exc);
/** exc_address() - where it listens; for a port that the system chose */
set_address_t exc_address (const exc_t *exc);

#endif
