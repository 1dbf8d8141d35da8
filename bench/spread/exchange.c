#include "fleet.h"

#include "../random.h"
#include "connection/exchange.h"

#include <string.h>

#define NETWORK_DELAY_US (2 * CLK_US_PER_MS)
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

struct exc
{
  exc_options_t options;
  flt_node_t *node;
  bdg_t budget;
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
  char out[LIM_DATAGRAM_BYTES];
  xch_message message = { 0 };
  size_t bytes = wir_encode (out, sizeof out, key, 1, false, &message);
  return (uint32_t)bytes - body_bytes (&message) + BDG_HEADER_BYTES;
}

static bool
is_partitioned (const flt_t *fleet, const flt_node_t *a, const flt_node_t *b)
{
  int32_t region_a = (int32_t)(a->data_center % FLT_REGIONS);
  int32_t region_b = (int32_t)(b->data_center % FLT_REGIONS);
  return region_a != region_b && (region_a == fleet->cut_region || region_b == fleet->cut_region);
}

static void
deliver (exc_t *exc, flt_node_t *to, datagram_t *datagram)
{
  flt_t *fleet = exc->node->flt;
  bool lost = rnd_below (&fleet->random, 100) < fleet->options.lost_percent;
  if (lost || to->stopped || is_partitioned (fleet, exc->node, to))
    {
      g_free (datagram);
      return;
    }
  evt_add (&fleet->events, fleet->now_us + NETWORK_DELAY_US, FLT_DATAGRAM, to->index, datagram);
}

static void
send_message (exc_t *exc, flt_node_t *to, bool is_reply, const xch_word *requester)
{
  flt_t *fleet = exc->node->flt;
  datagram_t *datagram = g_new0 (datagram_t, 1);
  datagram->from = exc->node->index;
  datagram->is_reply = is_reply;
  datagram->message.samples.samples_val = datagram->samples;
  datagram->message.words.words_val = datagram->words;
  datagram->message.marks.marks_val = datagram->marks;
  exc->options.fill (&datagram->message, requester, exc->options.context);
  uint32_t bytes = body_bytes (&datagram->message) + exc->overhead_bytes;
  if (!bdg_take (&exc->budget, fleet->now_us, bytes))
    {
      fleet->counts.over_budget++;
      g_free (datagram);
      return;
    }
  exc->node->sent++;
  exc->node->sent_bytes += bytes;
  fleet->counts.datagrams++;
  fleet->counts.exchange_bytes += bytes;
  deliver (exc, to, datagram);
}

static void
send_request (exc_t *exc, const set_address_t *address)
{
  flt_t *fleet = exc->node->flt;
  send_message (exc, &fleet->nodes[address->port - PORT_BASE], false, NULL);
}

exc_t *
exc_new (const exc_options_t *options, GError **error)
{
  const control_t *ctrl = options->context;
  exc_t *exc = g_new0 (exc_t, 1);
  (void)error;
  exc->options = *options;
  exc->node = (flt_node_t *)ctrl->dmn;
  bdg_init (&exc->budget, options->budget_bytes, exc->node->flt->now_us);
  exc->overhead_bytes = measure_overhead (options->fleet_key);
  return exc;
}

void
exc_free (exc_t *exc)
{
  g_free (exc);
}

void
exc_now (exc_t *exc, const set_address_t *peer)
{
  send_request (exc, peer);
}

void
exc_flush (exc_t *exc)
{
  (void)exc;
}

void
exc_charge (exc_t *exc, uint32_t bytes)
{
  bdg_charge (&exc->budget, exc->node->flt->now_us, bytes);
  exc->node->flt->counts.charged_bytes += bytes;
}

bool
exc_has_spare (exc_t *exc)
{
  return bdg_has (&exc->budget, exc->node->flt->now_us, exc->options.budget_bytes / 4 * 3);
}

set_address_t
exc_address (const exc_t *exc)
{
  return exc->options.listen;
}

void
flt_exchange_timer (flt_node_t *node)
{
  exc_t *exc = node->ctrl->exc;
  set_address_t peer;
  if (exc->options.pick (&peer, exc->options.context))
    send_request (exc, &peer);
}

void
flt_exchange_datagram (flt_node_t *node, void *data)
{
  datagram_t *datagram = data;
  exc_t *exc = node->ctrl->exc;
  bool wants_reply =
      exc->options.heard (&datagram->message, datagram->is_reply, exc->options.context);
  if (wants_reply && !datagram->is_reply)
    send_message (exc, &node->flt->nodes[datagram->from], true, &datagram->message.sender);
  g_free (datagram);
}
