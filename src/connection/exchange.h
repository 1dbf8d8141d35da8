/**
 * DOC: exchange
 *
 * The UDP socket of the control task: calls a random peer once per interval, replies to calls of
 * others, and keeps what it sends within the byte budget. Callbacks provide the content of outgoing
 * messages and process received ones.
 *
 * Only an authenticated call that the callback accepts is answered, by one datagram of at most
 * %LIMIT_DATAGRAM_BYTES. A reply is never answered; it is accepted only for an outstanding call and
 * from the address that was called.
 */
#ifndef CONNECTION_EXCHANGE_H
#define CONNECTION_EXCHANGE_H

#include "connection/byte_budget.h"
#include "connection/datagram.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/settings.h"

#include <event2/event.h>
#include <glib.h>

/**
 * struct exchange_options - options of exchange_new()
 * @interval_ms: mean time between two calls; each one varies by a quarter
 * @budget_bytes: bytes per second that may be sent, UDP and IP headers included
 * @seed: for xids and the jitter of the interval
 * @fill_message: fills in an outgoing message, whose arrays have the sizes of src/proto/exchange.x;
 *   @to is the sender entry of the call when this is a reply, otherwise NULL
 * @on_message: processes an authenticated message; a reply was sent after the call that it answers.
 *   Return: whether to answer a call; false for one that is older than what is known of its
 *   sender
 * @on_origins: processes an authenticated call about streams; NULL ignores them
 * @on_parts: processes an authenticated call about engines that hold parts; NULL ignores them
 * @choose_peer: chooses the peer to call. Return: false when there is none
 */
typedef struct
{
  struct event_base *base;
  const clock_source_t *clock;
  counter_registry_t *counters;
  address_t listen;
  const char *fleet_key;
  uint32_t interval_ms;
  uint32_t budget_bytes;
  uint64_t seed;
  void (*fill_message) (xch_message *message, const xch_word *to, void *context);
  bool (*on_message) (const xch_message *message, bool is_reply, void *context);
  void (*on_origins) (const xch_origins_message *message, void *context);
  void (*on_parts) (const xch_parts_message *message, void *context);
  bool (*choose_peer) (address_t *peer, void *context);
  void *context;
} exchange_options_t;

typedef struct exchange exchange_t;

/** exchange_new() - open the socket and start calling. Return: NULL with @error set when the
 * address can't be bound */
exchange_t *exchange_new (const exchange_options_t *options, GError **error);
void exchange_free (exchange_t *exchange);
/** exchange_send_now() - call @peer at once, within the budget; a leaving host announces itself
 * this way */
void exchange_send_now (exchange_t *exchange, const address_t *peer);
/** exchange_send_origins() - send a call about streams, within the budget. @is_urgent: a client
 * waits for it, so it may take the budget of the next second too. Return: whether it was sent */
bool exchange_send_origins (exchange_t *exchange,
                            const address_t *peer,
                            bool is_urgent,
                            xch_origins_message *message);
/** exchange_send_parts() - send a call about engines that hold parts, within the budget. Return:
 * whether it was sent */
bool exchange_send_parts (exchange_t *exchange, const address_t *peer, xch_parts_message *message);
/** exchange_discard_pending() - discard received datagrams that have not been read and all
 * outstanding calls. Used after the process was suspended: what arrived meanwhile is outdated, and
 * so are the ages in it */
void exchange_discard_pending (exchange_t *exchange);
/** exchange_poll() - handle what has come. Called regularly, it bounds exchange_waited_us() */
void exchange_poll (exchange_t *exchange);
/** exchange_waited_us() - the longest time that a datagram that is being handled may have waited in
 * the socket: much after the process stood still, so ages in it are that much higher */
uint64_t exchange_waited_us (const exchange_t *exchange);
/** exchange_charge_budget() - charge @bytes of other control traffic to the budget, which it shares
 */
void exchange_charge_budget (exchange_t *exchange, uint32_t bytes);
/** exchange_has_spare_budget() - whether three quarters of a second's budget are left, so that an
 * additional message delays none of the regular ones */
bool exchange_has_spare_budget (exchange_t *exchange);
/** exchange_address() - the bound address, with the port that the kernel chose for port 0 */
address_t exchange_address (const exchange_t *exchange);

#endif
