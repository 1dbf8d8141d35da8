/**
 * DOC: exchange
 *
 * The UDP socket of the control task: starts one message every interval to a random peer, answers
 * those of others, and keeps what it sends under the byte budget. What to say and what to make of
 * what was heard is left to callbacks.
 */
#ifndef CONNECTION_EXCHANGE_H
#define CONNECTION_EXCHANGE_H

#include "connection/wire.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/settings.h"

#include <event2/event.h>
#include <glib.h>

/**
 * struct exc_options - options of exc_new()
 * @fill: fill in an outgoing message; its arrays have room for the .x file's bounds
 * @heard: a message that was authentic, from a peer
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
  void (*fill) (xch_message *message, void *context);
  void (*heard) (const xch_message *message, void *context);
  bool (*pick) (set_address_t *peer, void *context);
  void *context;
} exc_options_t;

typedef struct exc exc_t;

exc_t *exc_new (const exc_options_t *options, GError **error);
void exc_free (exc_t *exc);
/** exc_now() - send a message at once to @peer, within the budget (a leaving host tells others) */
void exc_now (exc_t *exc, const set_address_t *peer);

#endif
