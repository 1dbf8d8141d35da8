#include "connection/exchange.h"

#include "connection/endpoint.h"
#include "base/limits.h"
#include "base/log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/util.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PENDING_CALLS 16
#define READS_PER_EVENT_MAX 64
#define DISCARD_READS_MAX 4096
#define BUDGET_LOG_INTERVAL_US (UINT64_C (10) * CLOCK_US_PER_S)

/** pending_call_t - a call that has not been answered; a free slot when @open is false */
typedef struct
{
  bool open;
  uint32_t xid;
  endpoint_t peer;
} pending_call_t;

/** counters_t - counters of the control traffic */
typedef struct
{
  counter_t *bytes_sent;
  counter_t *bytes_received;
  counter_t *sent;
  counter_t *received;
  counter_t *bad_auth;
  counter_t *broken;
  counter_t *unasked;
  counter_t *over_budget;
  counter_t *send_failed;
} counters_t;

struct exchange
{
  exchange_options_t options;
  char *fleet_key;
  evutil_socket_t socket;
  struct event *readable;
  struct event *timer;
  GRand *rand;
  uint32_t next_xid;
  pending_call_t calls[PENDING_CALLS];
  uint32_t next_call;
  byte_budget_t budget;
  uint64_t emptied_us; /* when the socket is known to have had nothing to read */
  uint64_t held_back;  /* datagrams not sent for lack of budget since @held_back_logged_us */
  uint64_t held_back_logged_us;
  counters_t counts;
};

static void
note_held_back (exchange_t *exchange)
{
  uint64_t now_us = clock_now_us (exchange->options.clock);
  exchange->held_back++;
  counter_add (exchange->counts.over_budget, 1);
  if (exchange->held_back_logged_us != 0 &&
      now_us - exchange->held_back_logged_us < BUDGET_LOG_INTERVAL_US)
    return;
  log_event (LOG_LEVEL_WARNING, "control_budget_reached", "budget_bytes_s",
             LOG_U64 (exchange->options.budget_bytes), "datagrams_held_back",
             LOG_U64 (exchange->held_back), NULL);
  exchange->held_back_logged_us = now_us;
  exchange->held_back = 0;
}

static bool
take_budget (exchange_t *exchange, uint32_t bytes, bool may_overdraw)
{
  uint64_t now_us = clock_now_us (exchange->options.clock);
  if (may_overdraw ? byte_budget_overdraw (&exchange->budget, now_us, bytes)
                   : byte_budget_take (&exchange->budget, now_us, bytes))
    return true;
  note_held_back (exchange);
  return false;
}

static bool
send_bytes (exchange_t *exchange,
            const char *bytes,
            size_t count,
            const endpoint_t *peer,
            bool may_overdraw)
{
  uint32_t on_wire_bytes = (uint32_t)count + BYTE_BUDGET_UDP_HEADER_BYTES;
  if (!take_budget (exchange, on_wire_bytes, may_overdraw))
    return false;
  ssize_t sent = sendto (exchange->socket, bytes, count, 0, (const struct sockaddr *)&peer->address,
                         peer->bytes);
  if (sent < 0)
    {
      counter_add (exchange->counts.send_failed, 1);
      return false;
    }
  counter_add (exchange->counts.sent, 1);
  counter_add (exchange->counts.bytes_sent, on_wire_bytes);
  return true;
}

static bool
send_message (
    exchange_t *exchange, uint32_t xid, bool is_reply, const xch_word *to, const endpoint_t *peer)
{
  xch_sample samples[XCH_SAMPLES] = { 0 };
  xch_word words[XCH_WORDS] = { 0 };
  xch_mark marks[XCH_MARKS] = { 0 };
  xch_message message = { 0 };
  message.samples.samples_val = samples;
  message.words.words_val = words;
  message.marks.marks_val = marks;
  exchange->options.fill_message (&message, to, exchange->options.context);
  char datagram[LIMIT_DATAGRAM_BYTES];
  size_t bytes =
      datagram_encode (datagram, sizeof datagram, exchange->fleet_key, xid, is_reply, &message);
  g_assert (bytes != 0); /* a message with all arrays full fits into a datagram */
  return send_bytes (exchange, datagram, bytes, peer, false);
}

static void
start_call (exchange_t *exchange, const address_t *address)
{
  endpoint_t peer;
  if (!endpoint_from_address (&peer, address))
    return;
  uint32_t xid = exchange->next_xid++;
  if (!send_message (exchange, xid, false, NULL, &peer))
    return;
  pending_call_t *slot = &exchange->calls[exchange->next_call++ % PENDING_CALLS];
  slot->open = true;
  slot->xid = xid;
  slot->peer = peer;
}

static bool
close_call (exchange_t *exchange, uint32_t xid, const endpoint_t *peer)
{
  for (uint32_t i = 0; i < PENDING_CALLS; i++)
    {
      pending_call_t *slot = &exchange->calls[i];
      if (!slot->open || slot->xid != xid || !endpoint_equal (&slot->peer, peer))
        continue;
      slot->open = false;
      return true;
    }
  return false;
}

static void
handle_message (exchange_t *exchange,
                uint32_t xid,
                bool is_reply,
                const xch_message *message,
                const endpoint_t *peer)
{
  if (is_reply && !close_call (exchange, xid, peer))
    {
      counter_add (exchange->counts.unasked, 1);
      return;
    }
  bool answer = exchange->options.on_message (message, is_reply, exchange->options.context);
  if (answer && !is_reply)
    send_message (exchange, xid, true, &message->sender, peer);
}

static void
count_bad (exchange_t *exchange, datagram_outcome_t outcome)
{
  counter_add (outcome == DATAGRAM_BAD_AUTH ? exchange->counts.bad_auth : exchange->counts.broken,
               1);
}

static void
handle_origins (exchange_t *exchange, const char *datagram, size_t bytes)
{
  xch_origins_message message;
  datagram_outcome_t outcome =
      datagram_decode_origins (datagram, bytes, exchange->fleet_key, &message);
  if (outcome != DATAGRAM_OK)
    {
      count_bad (exchange, outcome);
      return;
    }
  if (exchange->options.on_origins)
    exchange->options.on_origins (&message, exchange->options.context);
  datagram_free_origins (&message);
}

static void
handle_parts (exchange_t *exchange, const char *datagram, size_t bytes)
{
  xch_parts_message message;
  datagram_outcome_t outcome =
      datagram_decode_parts (datagram, bytes, exchange->fleet_key, &message);
  if (outcome != DATAGRAM_OK)
    {
      count_bad (exchange, outcome);
      return;
    }
  if (exchange->options.on_parts)
    exchange->options.on_parts (&message, exchange->options.context);
  datagram_free_parts (&message);
}

static void
handle_datagram (exchange_t *exchange, const char *datagram, size_t bytes, const endpoint_t *peer)
{
  counter_add (exchange->counts.received, 1);
  counter_add (exchange->counts.bytes_received, bytes + BYTE_BUDGET_UDP_HEADER_BYTES);
  if (datagram_is_origins (datagram, bytes))
    {
      handle_origins (exchange, datagram, bytes);
      return;
    }
  if (datagram_is_parts (datagram, bytes))
    {
      handle_parts (exchange, datagram, bytes);
      return;
    }
  uint32_t xid = 0;
  bool is_reply = false;
  xch_message message;
  datagram_outcome_t outcome =
      datagram_decode (datagram, bytes, exchange->fleet_key, &xid, &is_reply, &message);
  if (outcome != DATAGRAM_OK)
    {
      count_bad (exchange, outcome);
      return;
    }
  handle_message (exchange, xid, is_reply, &message, peer);
  datagram_free_message (&message);
}

/* Reads one byte more than the maximum, so that an oversized datagram is detected. */
static ssize_t
receive (exchange_t *exchange, char datagram[LIMIT_DATAGRAM_BYTES + 1], endpoint_t *peer)
{
  peer->bytes = sizeof peer->address;
  return recvfrom (exchange->socket, datagram, LIMIT_DATAGRAM_BYTES + 1, 0,
                   (struct sockaddr *)&peer->address, &peer->bytes);
}

static void
on_readable (evutil_socket_t socket, short what, void *context)
{
  exchange_t *exchange = context;
  (void)socket;
  (void)what;
  /* Bounded, so that a flood of datagrams does not delay the other events of the task. */
  for (uint32_t i = 0; i < READS_PER_EVENT_MAX; i++)
    {
      char datagram[LIMIT_DATAGRAM_BYTES + 1];
      endpoint_t peer;
      uint64_t at_us = clock_now_us (exchange->options.clock);
      ssize_t bytes = receive (exchange, datagram, &peer);
      if (bytes < 0)
        {
          exchange->emptied_us = at_us;
          return;
        }
      handle_datagram (exchange, datagram, (size_t)bytes, &peer);
    }
}

void
exchange_poll (exchange_t *exchange)
{
  on_readable (exchange->socket, EV_READ, exchange);
}

uint64_t
exchange_waited_us (const exchange_t *exchange)
{
  return clock_now_us (exchange->options.clock) - exchange->emptied_us;
}

/* Waits 3/4 to 5/4 of the interval, so that daemons that started together don't stay in phase. */
static void
arm_timer (exchange_t *exchange)
{
  uint64_t interval_us = (uint64_t)exchange->options.interval_ms * CLOCK_US_PER_MS;
  uint64_t wait_us =
      (uint64_t)((double)interval_us * g_rand_double_range (exchange->rand, 0.75, 1.25));
  struct timeval wait = { (time_t)(wait_us / CLOCK_US_PER_S),
                          (suseconds_t)(wait_us % CLOCK_US_PER_S) };
  event_add (exchange->timer, &wait);
}

static void
on_timer (evutil_socket_t socket, short what, void *context)
{
  exchange_t *exchange = context;
  (void)socket;
  (void)what;
  address_t peer;
  if (exchange->options.choose_peer (&peer, exchange->options.context))
    start_call (exchange, &peer);
  arm_timer (exchange);
}

static bool
open_socket (exchange_t *exchange, GError **error)
{
  endpoint_t listen;
  if (!endpoint_from_address (&listen, &exchange->options.listen))
    {
      g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
                   "the exchange address is not an IP number");
      return false;
    }
  exchange->socket =
      socket (listen.address.ss_family, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (exchange->socket >= 0 &&
      bind (exchange->socket, (struct sockaddr *)&listen.address, listen.bytes) == 0)
    return true;
  int code = errno;
  g_set_error (error, G_FILE_ERROR, g_file_error_from_errno (code),
               "cannot bind the exchange socket to %s:%u: %s", exchange->options.listen.ip,
               exchange->options.listen.port, g_strerror (code));
  return false;
}

static void
get_counters (counters_t *counts, counter_registry_t *registry)
{
  counts->bytes_sent =
      counter_get (registry, "medlarplank_control_bytes_sent_total",
                   "Bytes of control traffic sent, with headers; requests to the platform "
                   "and for manifests by estimate");
  counts->bytes_received = counter_get (registry, "medlarplank_control_bytes_received_total",
                                        "Bytes of the exchange received, headers included");
  counts->sent = counter_get (registry, "medlarplank_control_datagrams_sent_total",
                              "Datagrams of the exchange sent");
  counts->received = counter_get (registry, "medlarplank_control_datagrams_received_total",
                                  "Datagrams of the exchange received");
  counts->bad_auth = counter_get (registry, "medlarplank_control_bad_auth_total",
                                  "Datagrams dropped as their HMAC did not fit");
  counts->broken = counter_get (registry, "medlarplank_control_broken_total",
                                "Datagrams dropped as they could not be read");
  counts->unasked = counter_get (registry, "medlarplank_control_unasked_total",
                                 "Replies dropped as no call of ours was open");
  counts->over_budget = counter_get (registry, "medlarplank_control_over_budget_total",
                                     "Datagrams not sent as the byte budget was used up");
  counts->send_failed = counter_get (registry, "medlarplank_control_send_failed_total",
                                     "Datagrams that the system did not send");
}

exchange_t *
exchange_new (const exchange_options_t *options, GError **error)
{
  exchange_t *exchange = g_new0 (exchange_t, 1);
  exchange->options = *options;
  exchange->fleet_key = g_strdup (options->fleet_key);
  exchange->socket = -1;
  exchange->emptied_us = clock_now_us (options->clock);
  exchange->rand = g_rand_new_with_seed ((guint32)(options->seed ^ (options->seed >> 32)));
  exchange->next_xid = g_rand_int (exchange->rand);
  byte_budget_init (&exchange->budget, options->budget_bytes, clock_now_us (options->clock));
  get_counters (&exchange->counts, options->counters);
  if (!open_socket (exchange, error))
    {
      exchange_free (exchange);
      return NULL;
    }
  exchange->readable =
      event_new (options->base, exchange->socket, EV_READ | EV_PERSIST, on_readable, exchange);
  exchange->timer = evtimer_new (options->base, on_timer, exchange);
  event_add (exchange->readable, NULL);
  arm_timer (exchange);
  return exchange;
}

void
exchange_free (exchange_t *exchange)
{
  if (exchange == NULL)
    return;
  if (exchange->readable != NULL)
    event_free (exchange->readable);
  if (exchange->timer != NULL)
    event_free (exchange->timer);
  if (exchange->socket >= 0)
    close (exchange->socket);
  g_rand_free (exchange->rand);
  g_free (exchange->fleet_key);
  g_free (exchange);
}

void
exchange_send_now (exchange_t *exchange, const address_t *peer)
{
  start_call (exchange, peer);
}

bool
exchange_send_origins (exchange_t *exchange,
                       const address_t *address,
                       bool is_urgent,
                       xch_origins_message *message)
{
  char datagram[LIMIT_DATAGRAM_BYTES];
  endpoint_t peer;
  if (!endpoint_from_address (&peer, address))
    return false;
  size_t bytes = datagram_encode_origins (datagram, sizeof datagram, exchange->fleet_key,
                                          exchange->next_xid++, message);
  g_assert (bytes != 0); /* a message with all arrays full fits into a datagram */
  return send_bytes (exchange, datagram, bytes, &peer, is_urgent);
}

bool
exchange_send_parts (exchange_t *exchange, const address_t *address, xch_parts_message *message)
{
  char datagram[LIMIT_DATAGRAM_BYTES];
  endpoint_t peer;
  if (!endpoint_from_address (&peer, address))
    return false;
  size_t bytes = datagram_encode_parts (datagram, sizeof datagram, exchange->fleet_key,
                                        exchange->next_xid++, message);
  g_assert (bytes != 0); /* a message with all arrays full fits into a datagram */
  return send_bytes (exchange, datagram, bytes, &peer, false);
}

void
exchange_discard_pending (exchange_t *exchange)
{
  char datagram[LIMIT_DATAGRAM_BYTES + 1];
  endpoint_t peer;
  /* Bounded in case of a flood; the limit is more than a socket buffer holds. */
  for (uint32_t i = 0; i < DISCARD_READS_MAX && receive (exchange, datagram, &peer) >= 0; i++)
    counter_add (exchange->counts.received, 1);
  memset (exchange->calls, 0, sizeof exchange->calls);
}

void
exchange_charge_budget (exchange_t *exchange, uint32_t bytes)
{
  byte_budget_charge (&exchange->budget, clock_now_us (exchange->options.clock), bytes);
  counter_add (exchange->counts.bytes_sent, bytes);
}

bool
exchange_has_spare_budget (exchange_t *exchange)
{
  return byte_budget_has (&exchange->budget, clock_now_us (exchange->options.clock),
                          exchange->options.budget_bytes / 4 * 3);
}

address_t
exchange_address (const exchange_t *exchange)
{
  endpoint_t endpoint = { .bytes = sizeof endpoint.address };
  address_t none = { 0 };
  if (getsockname (exchange->socket, (struct sockaddr *)&endpoint.address, &endpoint.bytes) != 0)
    return none;
  return endpoint_to_address (&endpoint);
}
