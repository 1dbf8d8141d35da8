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
#define BUDGET_LOG_INTERVAL_US (UINT64_C (10) * CLK_US_PER_S)

/** pending_call_t - a call that has not been answered; a free slot when @open is false */
typedef struct
{
  bool open;
  uint32_t xid;
  edp_t peer;
} pending_call_t;

/** counters_t - counters of the control traffic */
typedef struct
{
  cnt_t *bytes_sent;
  cnt_t *bytes_received;
  cnt_t *sent;
  cnt_t *received;
  cnt_t *bad_auth;
  cnt_t *broken;
  cnt_t *unasked;
  cnt_t *over_budget;
  cnt_t *send_failed;
} counters_t;

struct exc
{
  exc_options_t options;
  char *fleet_key;
  evutil_socket_t socket;
  struct event *readable;
  struct event *timer;
  GRand *rand;
  uint32_t next_xid;
  pending_call_t calls[PENDING_CALLS];
  uint32_t next_call;
  bdg_t budget;
  uint64_t held_back; /* datagrams not sent for lack of budget since @held_back_logged_us */
  uint64_t held_back_logged_us;
  counters_t counts;
};

static void
note_held_back (exc_t *exc)
{
  uint64_t now_us = clk_now_us (exc->options.clk);
  exc->held_back++;
  cnt_add (exc->counts.over_budget, 1);
  if (exc->held_back_logged_us != 0 && now_us - exc->held_back_logged_us < BUDGET_LOG_INTERVAL_US)
    return;
  log_event (LOG_LEVEL_WARNING, "control_budget_reached", "budget_bytes_s",
             LOG_U64 (exc->options.budget_bytes), "datagrams_held_back", LOG_U64 (exc->held_back),
             NULL);
  exc->held_back_logged_us = now_us;
  exc->held_back = 0;
}

static bool
take_budget (exc_t *exc, uint32_t bytes)
{
  if (bdg_take (&exc->budget, clk_now_us (exc->options.clk), bytes))
    return true;
  note_held_back (exc);
  return false;
}

static bool
send_bytes (exc_t *exc, const char *bytes, size_t count, const edp_t *peer)
{
  uint32_t on_wire_bytes = (uint32_t)count + BDG_HEADER_BYTES;
  if (!take_budget (exc, on_wire_bytes))
    return false;
  ssize_t sent =
      sendto (exc->socket, bytes, count, 0, (const struct sockaddr *)&peer->address, peer->bytes);
  if (sent < 0)
    {
      cnt_add (exc->counts.send_failed, 1);
      return false;
    }
  cnt_add (exc->counts.sent, 1);
  cnt_add (exc->counts.bytes_sent, on_wire_bytes);
  return true;
}

static bool
send_message (exc_t *exc, uint32_t xid, bool is_reply, const xch_word *to, const edp_t *peer)
{
  xch_sample samples[XCH_SAMPLES] = { 0 };
  xch_word words[XCH_WORDS] = { 0 };
  xch_mark marks[XCH_MARKS] = { 0 };
  xch_message message = { 0 };
  message.samples.samples_val = samples;
  message.words.words_val = words;
  message.marks.marks_val = marks;
  exc->options.fill (&message, to, exc->options.context);
  char datagram[LIM_DATAGRAM_BYTES];
  size_t bytes = wir_encode (datagram, sizeof datagram, exc->fleet_key, xid, is_reply, &message);
  g_assert (bytes != 0); /* a message with all arrays full fits into a datagram */
  return send_bytes (exc, datagram, bytes, peer);
}

static void
start_call (exc_t *exc, const set_address_t *address)
{
  edp_t peer;
  if (!edp_make (&peer, address))
    return;
  uint32_t xid = exc->next_xid++;
  if (!send_message (exc, xid, false, NULL, &peer))
    return;
  pending_call_t *slot = &exc->calls[exc->next_call++ % PENDING_CALLS];
  slot->open = true;
  slot->xid = xid;
  slot->peer = peer;
}

static bool
close_call (exc_t *exc, uint32_t xid, const edp_t *peer)
{
  for (uint32_t i = 0; i < PENDING_CALLS; i++)
    {
      pending_call_t *slot = &exc->calls[i];
      if (!slot->open || slot->xid != xid || !edp_same (&slot->peer, peer))
        continue;
      slot->open = false;
      return true;
    }
  return false;
}

static void
handle_message (
    exc_t *exc, uint32_t xid, bool is_reply, const xch_message *message, const edp_t *peer)
{
  if (is_reply && !close_call (exc, xid, peer))
    {
      cnt_add (exc->counts.unasked, 1);
      return;
    }
  bool answer = exc->options.heard (message, is_reply, exc->options.context);
  if (answer && !is_reply)
    send_message (exc, xid, true, &message->sender, peer);
}

static void
handle_datagram (exc_t *exc, const char *datagram, size_t bytes, const edp_t *peer)
{
  cnt_add (exc->counts.received, 1);
  cnt_add (exc->counts.bytes_received, bytes + BDG_HEADER_BYTES);
  uint32_t xid = 0;
  bool is_reply = false;
  xch_message message;
  wir_outcome_t outcome = wir_decode (datagram, bytes, exc->fleet_key, &xid, &is_reply, &message);
  switch (outcome)
    {
    case WIR_OK:
      handle_message (exc, xid, is_reply, &message, peer);
      wir_free (&message);
      break;
    case WIR_BAD_AUTH:
      cnt_add (exc->counts.bad_auth, 1);
      break;
    case WIR_BROKEN:
    case WIR_TOO_LARGE:
      cnt_add (exc->counts.broken, 1);
      break;
    }
}

/* Reads one byte more than the maximum, so that an oversized datagram is detected. */
static ssize_t
receive (exc_t *exc, char datagram[LIM_DATAGRAM_BYTES + 1], edp_t *peer)
{
  peer->bytes = sizeof peer->address;
  return recvfrom (exc->socket, datagram, LIM_DATAGRAM_BYTES + 1, 0,
                   (struct sockaddr *)&peer->address, &peer->bytes);
}

static void
on_readable (evutil_socket_t socket, short what, void *context)
{
  exc_t *exc = context;
  (void)socket;
  (void)what;
  /* Bounded, so that a flood of datagrams does not delay the other events of the task. */
  for (uint32_t i = 0; i < READS_PER_EVENT_MAX; i++)
    {
      char datagram[LIM_DATAGRAM_BYTES + 1];
      edp_t peer;
      ssize_t bytes = receive (exc, datagram, &peer);
      if (bytes < 0)
        return;
      handle_datagram (exc, datagram, (size_t)bytes, &peer);
    }
}

/* Waits 3/4 to 5/4 of the interval, so that daemons that started together don't stay in phase. */
static void
arm_timer (exc_t *exc)
{
  uint64_t interval_us = (uint64_t)exc->options.interval_ms * CLK_US_PER_MS;
  uint64_t wait_us = (uint64_t)((double)interval_us * g_rand_double_range (exc->rand, 0.75, 1.25));
  struct timeval wait = { (time_t)(wait_us / CLK_US_PER_S), (suseconds_t)(wait_us % CLK_US_PER_S) };
  event_add (exc->timer, &wait);
}

static void
on_timer (evutil_socket_t socket, short what, void *context)
{
  exc_t *exc = context;
  (void)socket;
  (void)what;
  set_address_t peer;
  if (exc->options.pick (&peer, exc->options.context))
    start_call (exc, &peer);
  arm_timer (exc);
}

static bool
open_socket (exc_t *exc, GError **error)
{
  edp_t listen;
  if (!edp_make (&listen, &exc->options.listen))
    {
      g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
                   "the exchange address is not an IP number");
      return false;
    }
  exc->socket = socket (listen.address.ss_family, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (exc->socket >= 0 && bind (exc->socket, (struct sockaddr *)&listen.address, listen.bytes) == 0)
    return true;
  int code = errno;
  g_set_error (error, G_FILE_ERROR, g_file_error_from_errno (code),
               "cannot bind the exchange socket to %s:%u: %s", exc->options.listen.ip,
               exc->options.listen.port, g_strerror (code));
  return false;
}

static void
get_counters (counters_t *counts, cnt_set_t *set)
{
  counts->bytes_sent =
      cnt_get (set, "medlarplank_control_bytes_sent_total",
               "Bytes of control traffic sent, with headers; requests to the platform "
               "and for manifests by estimate");
  counts->bytes_received = cnt_get (set, "medlarplank_control_bytes_received_total",
                                    "Bytes of the exchange received, headers included");
  counts->sent =
      cnt_get (set, "medlarplank_control_datagrams_sent_total", "Datagrams of the exchange sent");
  counts->received = cnt_get (set, "medlarplank_control_datagrams_received_total",
                              "Datagrams of the exchange received");
  counts->bad_auth = cnt_get (set, "medlarplank_control_bad_auth_total",
                              "Datagrams dropped as their HMAC did not fit");
  counts->broken = cnt_get (set, "medlarplank_control_broken_total",
                            "Datagrams dropped as they could not be read");
  counts->unasked = cnt_get (set, "medlarplank_control_unasked_total",
                             "Replies dropped as no call of ours was open");
  counts->over_budget = cnt_get (set, "medlarplank_control_over_budget_total",
                                 "Datagrams not sent as the byte budget was used up");
  counts->send_failed = cnt_get (set, "medlarplank_control_send_failed_total",
                                 "Datagrams that the system did not send");
}

exc_t *
exc_new (const exc_options_t *options, GError **error)
{
  exc_t *exc = g_new0 (exc_t, 1);
  exc->options = *options;
  exc->fleet_key = g_strdup (options->fleet_key);
  exc->socket = -1;
  exc->rand = g_rand_new_with_seed ((guint32)(options->seed ^ (options->seed >> 32)));
  exc->next_xid = g_rand_int (exc->rand);
  bdg_init (&exc->budget, options->budget_bytes, clk_now_us (options->clk));
  get_counters (&exc->counts, options->counters);
  if (!open_socket (exc, error))
    {
      exc_free (exc);
      return NULL;
    }
  exc->readable = event_new (options->base, exc->socket, EV_READ | EV_PERSIST, on_readable, exc);
  exc->timer = evtimer_new (options->base, on_timer, exc);
  event_add (exc->readable, NULL);
  arm_timer (exc);
  return exc;
}

void
exc_free (exc_t *exc)
{
  if (exc == NULL)
    return;
  if (exc->readable != NULL)
    event_free (exc->readable);
  if (exc->timer != NULL)
    event_free (exc->timer);
  if (exc->socket >= 0)
    close (exc->socket);
  g_rand_free (exc->rand);
  g_free (exc->fleet_key);
  g_free (exc);
}

void
exc_now (exc_t *exc, const set_address_t *peer)
{
  start_call (exc, peer);
}

void
exc_flush (exc_t *exc)
{
  char datagram[LIM_DATAGRAM_BYTES + 1];
  edp_t peer;
  /* Bounded in case of a flood; the limit is more than a socket buffer holds. */
  for (uint32_t i = 0; i < DISCARD_READS_MAX && receive (exc, datagram, &peer) >= 0; i++)
    cnt_add (exc->counts.received, 1);
  memset (exc->calls, 0, sizeof exc->calls);
}

void
exc_charge (exc_t *exc, uint32_t bytes)
{
  bdg_charge (&exc->budget, clk_now_us (exc->options.clk), bytes);
  cnt_add (exc->counts.bytes_sent, bytes);
}

bool
exc_has_spare (exc_t *exc)
{
  return bdg_has (&exc->budget, clk_now_us (exc->options.clk), exc->options.budget_bytes / 4 * 3);
}

set_address_t
exc_address (const exc_t *exc)
{
  edp_t endpoint = { .bytes = sizeof endpoint.address };
  set_address_t none = { 0 };
  if (getsockname (exc->socket, (struct sockaddr *)&endpoint.address, &endpoint.bytes) != 0)
    return none;
  return edp_address (&endpoint);
}
