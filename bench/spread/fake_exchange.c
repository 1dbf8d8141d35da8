#include "fleet.h"

#include "../random.h"
#include "connection/exchange.h"

#include <string.h>

#define NETWORK_DELAY_US (2 * CLOCK_US_PER_MS)
#define PORT_BASE 1000 /* the port of a node is this plus its index */

/** struct datagram - a datagram that is being delivered; @from: index of the sender */
typedef struct
{
  uint32_t from;
  bool is_reply;
  xch_message message;
  xch_sample samples[XCH_SAMPLES];
  xch_word words[XCH_WORDS];
  xch_mark marks[XCH_MARKS];
} datagram_t;

struct exchange
{
  exchange_options_t options;
  fleet_node_t *node;
  byte_budget_t budget;
  uint32_t overhead_bytes; /* of a datagram without its XDR body */
};

static uint32_t
body_bytes (xch_message *message)
{
  return (uint32_t)xdr_sizeof ((xdrproc_t)xdr_xch_message, message);
}

/* Returns the bytes that the product's codec and the network headers add to the body. */
static uint32_t
measure_overhead (const char *key)
{
  char out[LIMIT_DATAGRAM_BYTES];
  xch_message message = { 0 };
  size_t bytes = datagram_encode (out, sizeof out, key, 1, false, &message);
  return (uint32_t)bytes - body_bytes (&message) + BYTE_BUDGET_UDP_HEADER_BYTES;
}

static bool
is_partitioned (const flt_t *fleet, const fleet_node_t *a, const fleet_node_t *b)
{
  int32_t region_a = (int32_t)(a->data_center % FLEET_REGIONS);
  int32_t region_b = (int32_t)(b->data_center % FLEET_REGIONS);
  return region_a != region_b && (region_a == fleet->cut_region || region_b == fleet->cut_region);
}

static void
deliver (exchange_t *exchange, fleet_node_t *to, datagram_t *datagram)
{
  flt_t *fleet = exchange->node->flt;
  bool lost = random_below (&fleet->random, 100) < fleet->options.lost_percent;
  if (lost || to->stopped || is_partitioned (fleet, exchange->node, to))
    {
      g_free (datagram);
      return;
    }
  event_queue_add (&fleet->events, fleet->now_us + NETWORK_DELAY_US, FLEET_EVENT_DATAGRAM,
                   to->index, datagram);
}

static void
send_message (exchange_t *exchange, fleet_node_t *to, bool is_reply, const xch_word *requester)
{
  flt_t *fleet = exchange->node->flt;
  datagram_t *datagram = g_new0 (datagram_t, 1);
  datagram->from = exchange->node->index;
  datagram->is_reply = is_reply;
  datagram->message.samples.samples_val = datagram->samples;
  datagram->message.words.words_val = datagram->words;
  datagram->message.marks.marks_val = datagram->marks;
  exchange->options.fill_message (&datagram->message, requester, exchange->options.context);
  uint32_t bytes = body_bytes (&datagram->message) + exchange->overhead_bytes;
  if (!byte_budget_take (&exchange->budget, fleet->now_us, bytes))
    {
      fleet->counts.over_budget++;
      g_free (datagram);
      return;
    }
  exchange->node->sent++;
  exchange->node->sent_bytes += bytes;
  fleet->counts.datagrams++;
  fleet->counts.exchange_bytes += bytes;
  deliver (exchange, to, datagram);
}

static void
send_request (exchange_t *exchange, const address_t *address)
{
  flt_t *fleet = exchange->node->flt;
  send_message (exchange, &fleet->nodes[address->port - PORT_BASE], false, NULL);
}

exchange_t *
exchange_new (const exchange_options_t *options, GError **error)
{
  const control_t *ctrl = options->context;
  exchange_t *exchange = g_new0 (exchange_t, 1);
  (void)error;
  exchange->options = *options;
  exchange->node = (fleet_node_t *)ctrl->daemon;
  byte_budget_init (&exchange->budget, options->budget_bytes, exchange->node->flt->now_us);
  exchange->overhead_bytes = measure_overhead (options->fleet_key);
  return exchange;
}

void
exchange_free (exchange_t *exchange)
{
  g_free (exchange);
}

void
exchange_send_now (exchange_t *exchange, const address_t *peer)
{
  send_request (exchange, peer);
}

void
exchange_poll (exchange_t *exchange)
{
  (void)exchange;
}

uint64_t
exchange_waited_us (const exchange_t *exchange)
{
  (void)exchange;
  return 0;
}

void
exchange_discard_pending (exchange_t *exchange)
{
  (void)exchange;
}

void
exchange_charge_budget (exchange_t *exchange, uint32_t bytes)
{
  byte_budget_charge (&exchange->budget, exchange->node->flt->now_us, bytes);
  exchange->node->flt->counts.charged_bytes += bytes;
}

bool
exchange_send_origins (exchange_t *exchange,
                       const address_t *peer,
                       bool is_urgent,
                       xch_origins_message *message)
{
  (void)exchange;
  (void)peer;
  (void)is_urgent;
  (void)message;
  return true;
}

bool
exchange_send_parts (exchange_t *exchange, const address_t *peer, xch_parts_message *message)
{
  (void)exchange;
  (void)peer;
  (void)message;
  return true;
}

bool
exchange_has_spare_budget (exchange_t *exchange)
{
  return byte_budget_has (&exchange->budget, exchange->node->flt->now_us,
                          exchange->options.budget_bytes / 4 * 3);
}

address_t
exchange_address (const exchange_t *exchange)
{
  return exchange->options.listen;
}

void
fleet_start_exchange (fleet_node_t *node)
{
  exchange_t *exchange = node->ctrl->exchange;
  address_t peer;
  if (exchange->options.choose_peer (&peer, exchange->options.context))
    send_request (exchange, &peer);
}

void
fleet_receive_datagram (fleet_node_t *node, void *data)
{
  datagram_t *datagram = data;
  exchange_t *exchange = node->ctrl->exchange;
  bool wants_reply = exchange->options.on_message (&datagram->message, datagram->is_reply,
                                                   exchange->options.context);
  if (wants_reply && !datagram->is_reply)
    send_message (exchange, &node->flt->nodes[datagram->from], true, &datagram->message.sender);
  g_free (datagram);
}
