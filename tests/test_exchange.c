#include "connection/exchange.h"
#include "connection/datagram.h"
#include "base/clock.h"
#include "base/limits.h"
#include "suite.h"

#include <glib.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define KEY "sixteen bytes or more"
#define FUZZ_ROUNDS 20000
#define DEADLINE_S 5
#define CALL_HMAC_AT 40 /* offset of the HMAC: ten 32-bit units of the header come first */
/* Header with HMAC, and a message without array elements: the sender, four offsets, an age and
 * three element counts. */
#define EMPTY_REPLY_BYTES (56 + 72)

/** full_message_t - a message with every array at its maximum length */
typedef struct
{
  xch_message message;
  xch_sample samples[XCH_SAMPLES];
  xch_word words[XCH_WORDS];
  xch_mark marks[XCH_MARKS];
} full_message_t;

static void
full_message_init (full_message_t *full)
{
  memset (full, 0, sizeof *full);
  full->message.sender.host_hash = UINT64_MAX;
  full->message.sender.sequence = 9;
  full->message.manifest_version = 7;
  full->message.samples.samples_val = full->samples;
  full->message.samples.samples_len = XCH_SAMPLES;
  full->message.words.words_val = full->words;
  full->message.words.words_len = XCH_WORDS;
  full->message.marks.marks_val = full->marks;
  full->message.marks.marks_len = XCH_MARKS;
  full->samples[7].load = 77;
  full->words[3].incarnation = UINT64_C (1) << 40;
  full->marks[1].engines[1] = 3;
}

static size_t
encode_full (char out[LIMIT_DATAGRAM_BYTES], bool is_reply)
{
  full_message_t full;
  full_message_init (&full);
  return datagram_encode (out, LIMIT_DATAGRAM_BYTES, KEY, 0xfeedf00d, is_reply, &full.message);
}

static datagram_outcome_t
decode (const char *datagram, size_t bytes, const char *key)
{
  uint32_t xid;
  bool is_reply;
  xch_message message;
  datagram_outcome_t outcome = datagram_decode (datagram, bytes, key, &xid, &is_reply, &message);
  if (outcome == DATAGRAM_OK)
    datagram_free_message (&message);
  else
    CU_ASSERT_PTR_NULL (message.samples.samples_val);
  return outcome;
}

static void
check_round_trip (bool sent_reply)
{
  char datagram[LIMIT_DATAGRAM_BYTES];
  size_t bytes = encode_full (datagram, sent_reply);
  CU_ASSERT_TRUE (bytes > 0 && bytes < 600);
  uint32_t xid = 0;
  bool is_reply = !sent_reply;
  xch_message message;
  CU_ASSERT_EQUAL (datagram_decode (datagram, bytes, KEY, &xid, &is_reply, &message), DATAGRAM_OK);
  CU_ASSERT_EQUAL (xid, 0xfeedf00d);
  CU_ASSERT_EQUAL (is_reply, sent_reply);
  CU_ASSERT_EQUAL (message.sender.host_hash, UINT64_MAX);
  CU_ASSERT_EQUAL (message.manifest_version, 7);
  CU_ASSERT_EQUAL (message.samples.samples_len, XCH_SAMPLES);
  CU_ASSERT_EQUAL (message.samples.samples_val[7].load, 77);
  CU_ASSERT_EQUAL (message.words.words_val[3].incarnation, UINT64_C (1) << 40);
  CU_ASSERT_EQUAL (message.marks.marks_val[1].engines[1], 3);
  datagram_free_message (&message);
}

static void
test_round_trip (void)
{
  check_round_trip (false);
  check_round_trip (true);
}

/** full_origins_t - a message about streams with every array at its maximum length */
typedef struct
{
  xch_origins_message message;
  xch_origin origins[XCH_ORIGINS];
  xch_question questions[XCH_QUESTIONS];
  xch_unknown unknown[XCH_QUESTIONS];
} full_origins_t;

static size_t
encode_full_origins (char out[LIMIT_DATAGRAM_BYTES])
{
  full_origins_t full;
  memset (&full, 0, sizeof full);
  full.message.sender_hash = 5;
  full.message.origins.origins_val = full.origins;
  full.message.origins.origins_len = XCH_ORIGINS;
  full.message.questions.questions_val = full.questions;
  full.message.questions.questions_len = XCH_QUESTIONS;
  full.message.unknown.unknown_val = full.unknown;
  full.message.unknown.unknown_len = XCH_QUESTIONS;
  full.origins[XCH_ORIGINS - 1].software_version = UINT64_MAX;
  full.questions[XCH_QUESTIONS - 1].service_hash = 77;
  full.unknown[XCH_QUESTIONS - 1].has_watched = 1;
  return datagram_encode_origins (out, LIMIT_DATAGRAM_BYTES, KEY, 1, &full.message);
}

static datagram_outcome_t
decode_origins (const char *datagram, size_t bytes)
{
  xch_origins_message message;
  datagram_outcome_t outcome = datagram_decode_origins (datagram, bytes, KEY, &message);
  if (outcome == DATAGRAM_OK)
    datagram_free_origins (&message);
  else
    CU_ASSERT_PTR_NULL (message.origins.origins_val);
  return outcome;
}

static void
test_origins_round_trip (void)
{
  char datagram[LIMIT_DATAGRAM_BYTES];
  size_t bytes = encode_full_origins (datagram);
  xch_origins_message message;
  CU_ASSERT_TRUE (bytes > 0 && bytes + BYTE_BUDGET_UDP_HEADER_BYTES <= LIMIT_DATAGRAM_BYTES);
  CU_ASSERT_TRUE (datagram_is_origins (datagram, bytes));
  CU_ASSERT_EQUAL (datagram_decode_origins (datagram, bytes, KEY, &message), DATAGRAM_OK);
  CU_ASSERT_EQUAL (message.sender_hash, 5);
  CU_ASSERT_EQUAL (message.origins.origins_val[XCH_ORIGINS - 1].software_version, UINT64_MAX);
  CU_ASSERT_EQUAL (message.questions.questions_val[XCH_QUESTIONS - 1].service_hash, 77);
  CU_ASSERT_EQUAL (message.unknown.unknown_val[XCH_QUESTIONS - 1].has_watched, 1);
  datagram_free_origins (&message);
}

/* Guards against a message about streams that no gateway sent, and against one kind of message read
 * as the other. */
static void
test_origins_are_authenticated (void)
{
  char datagram[LIMIT_DATAGRAM_BYTES];
  char other[LIMIT_DATAGRAM_BYTES];
  size_t bytes = encode_full_origins (datagram);
  size_t other_bytes = encode_full (other, false);
  for (size_t bit = 0; bit < bytes * 8; bit++)
    {
      datagram[bit / 8] ^= (char)(1 << (bit % 8));
      CU_ASSERT_NOT_EQUAL (decode_origins (datagram, bytes), DATAGRAM_OK);
      datagram[bit / 8] ^= (char)(1 << (bit % 8));
    }
  for (size_t cut = 0; cut < bytes; cut++)
    CU_ASSERT_NOT_EQUAL (decode_origins (datagram, cut), DATAGRAM_OK);
  CU_ASSERT_EQUAL (decode (datagram, bytes, KEY), DATAGRAM_MALFORMED);
  CU_ASSERT_FALSE (datagram_is_origins (other, other_bytes));
  CU_ASSERT_EQUAL (decode_origins (other, other_bytes), DATAGRAM_MALFORMED);
}

static size_t
encode_full_parts (char out[LIMIT_DATAGRAM_BYTES])
{
  xch_part parts[XCH_PARTS] = { 0 };
  xch_parts_message message = { .sender_hash = 5,
                                .parts = { .parts_len = XCH_PARTS, .parts_val = parts } };
  parts[XCH_PARTS - 1] = (xch_part){ .part = UINT64_MAX, .engine_hash = 7, .age_ms = 9 };
  return datagram_encode_parts (out, LIMIT_DATAGRAM_BYTES, KEY, 1, &message);
}

static datagram_outcome_t
decode_parts (const char *datagram, size_t bytes)
{
  xch_parts_message message;
  datagram_outcome_t outcome = datagram_decode_parts (datagram, bytes, KEY, &message);
  if (outcome == DATAGRAM_OK)
    datagram_free_parts (&message);
  else
    CU_ASSERT_PTR_NULL (message.parts.parts_val);
  return outcome;
}

/* Guards against a message about parts that loses entries, that no gateway sent, or that is read as
 * one of another kind. */
static void
test_parts_round_trip (void)
{
  char datagram[LIMIT_DATAGRAM_BYTES];
  char other[LIMIT_DATAGRAM_BYTES];
  size_t bytes = encode_full_parts (datagram);
  size_t other_bytes = encode_full_origins (other);
  xch_parts_message message;
  CU_ASSERT_TRUE (bytes > 0 && bytes + BYTE_BUDGET_UDP_HEADER_BYTES <= 800);
  CU_ASSERT_TRUE (datagram_is_parts (datagram, bytes) && !datagram_is_origins (datagram, bytes));
  CU_ASSERT_EQUAL (datagram_decode_parts (datagram, bytes, KEY, &message), DATAGRAM_OK);
  CU_ASSERT_EQUAL (message.parts.parts_len, XCH_PARTS);
  CU_ASSERT_EQUAL (message.parts.parts_val[XCH_PARTS - 1].part, UINT64_MAX);
  CU_ASSERT_EQUAL (message.parts.parts_val[XCH_PARTS - 1].age_ms, 9);
  datagram_free_parts (&message);
  for (size_t bit = 0; bit < bytes * 8; bit++)
    {
      datagram[bit / 8] ^= (char)(1 << (bit % 8));
      CU_ASSERT_NOT_EQUAL (decode_parts (datagram, bytes), DATAGRAM_OK);
      datagram[bit / 8] ^= (char)(1 << (bit % 8));
    }
  for (size_t cut = 0; cut < bytes; cut++)
    CU_ASSERT_NOT_EQUAL (decode_parts (datagram, cut), DATAGRAM_OK);
  CU_ASSERT_EQUAL (decode_parts (other, other_bytes), DATAGRAM_MALFORMED);
  CU_ASSERT_EQUAL (decode_origins (datagram, bytes), DATAGRAM_MALFORMED);
}

/* An attacker changes one bit of a datagram, be it of the direction or the xid, or truncates it.
 * Each such datagram must be dropped, or the receiver would act on data that no daemon sent. */
static void
test_hmac_covers_each_bit (void)
{
  for (uint32_t is_reply = 0; is_reply < 2; is_reply++)
    {
      char datagram[LIMIT_DATAGRAM_BYTES];
      size_t bytes = encode_full (datagram, is_reply != 0);
      for (size_t bit = 0; bit < bytes * 8; bit++)
        {
          datagram[bit / 8] ^= (char)(1 << (bit % 8));
          CU_ASSERT_NOT_EQUAL (decode (datagram, bytes, KEY), DATAGRAM_OK);
          datagram[bit / 8] ^= (char)(1 << (bit % 8));
        }
      for (size_t cut = 0; cut < bytes; cut++)
        CU_ASSERT_NOT_EQUAL (decode (datagram, cut, KEY), DATAGRAM_OK);
      CU_ASSERT_EQUAL (decode (datagram, bytes, KEY), DATAGRAM_OK);
    }
}

static void
test_wrong_key_and_sizes (void)
{
  char datagram[LIMIT_DATAGRAM_BYTES + 4] = { 0 };
  size_t bytes = encode_full (datagram, false);
  CU_ASSERT_EQUAL (decode (datagram, bytes, "another key of the size"), DATAGRAM_BAD_AUTH);
  CU_ASSERT_EQUAL (decode (datagram, sizeof datagram, KEY), DATAGRAM_TOO_LARGE);
  CU_ASSERT_EQUAL (decode (datagram, 0, KEY), DATAGRAM_MALFORMED);
  full_message_t full;
  full_message_init (&full);
  CU_ASSERT_EQUAL (datagram_encode (datagram, 100, KEY, 1, false, &full.message), 0);
  full.message.samples.samples_len = XCH_SAMPLES + 1;
  CU_ASSERT_EQUAL (datagram_encode (datagram, LIMIT_DATAGRAM_BYTES, KEY, 1, false, &full.message),
                   0);
}

/* Random bytes, and valid datagrams with some bytes and the length changed, from a fixed seed. None
 * may be accepted, and under the sanitizers none may cause an access out of bounds or a leak. */
static void
test_fuzz_decode (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (20261202);
  for (uint32_t round = 0; round < FUZZ_ROUNDS; round++)
    {
      char datagram[LIMIT_DATAGRAM_BYTES];
      size_t bytes = encode_full (datagram, g_rand_boolean (rand));
      bool random = round % 2 == 0;
      uint32_t changes = random ? LIMIT_DATAGRAM_BYTES : (uint32_t)g_rand_int_range (rand, 1, 12);
      for (uint32_t i = 0; i < changes; i++)
        {
          size_t at = random ? i : (size_t)g_rand_int_range (rand, 0, (gint32)bytes);
          datagram[at] = (char)(datagram[at] + g_rand_int_range (rand, 1, 255));
        }
      if (g_rand_boolean (rand))
        bytes = (size_t)g_rand_int_range (rand, 0, LIMIT_DATAGRAM_BYTES + 1);
      CU_ASSERT_NOT_EQUAL (decode (datagram, bytes, KEY), DATAGRAM_OK);
    }
}

/* Recomputes the HMAC of a call, as a daemon with the key would. */
static void
sign_call (char *datagram, size_t bytes)
{
  char *hmac_at = datagram + CALL_HMAC_AT;
  gsize hmac_bytes = DATAGRAM_HMAC_BYTES;
  memset (hmac_at, 0, DATAGRAM_HMAC_BYTES);
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)KEY, strlen (KEY));
  g_hmac_update (hmac, (const guchar *)datagram, (gssize)bytes);
  g_hmac_get_digest (hmac, (guint8 *)hmac_at, &hmac_bytes);
  g_hmac_unref (hmac);
}

/* A daemon of another version, or a faulty one, has the key and sends invalid bodies: too many
 * array elements, truncated, or with trailing bytes. They must be dropped as malformed, without an
 * access out of bounds or a leak. */
static void
test_fuzz_signed_bodies (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (20261203);
  uint32_t broken = 0;
  for (uint32_t round = 0; round < FUZZ_ROUNDS; round++)
    {
      char datagram[LIMIT_DATAGRAM_BYTES] = { 0 };
      size_t bytes = encode_full (datagram, false);
      size_t body_at = CALL_HMAC_AT + DATAGRAM_HMAC_BYTES;
      for (uint32_t i = 0; i < 4; i++)
        datagram[g_rand_int_range (rand, (gint32)body_at, (gint32)bytes)] ^= (char)round;
      if (round % 2 == 0)
        bytes = 4 * (size_t)g_rand_int_range (rand, (gint32)body_at / 4, LIMIT_DATAGRAM_BYTES / 4);
      sign_call (datagram, bytes);
      datagram_outcome_t outcome = decode (datagram, bytes, KEY);
      CU_ASSERT_TRUE (outcome == DATAGRAM_OK || outcome == DATAGRAM_MALFORMED);
      broken += outcome == DATAGRAM_MALFORMED;
    }
  CU_ASSERT_TRUE (broken > FUZZ_ROUNDS / 3 && broken < FUZZ_ROUNDS);
}

/** node_t - one daemon that takes part in the exchange */
typedef struct
{
  exchange_t *exchange;
  counter_registry_t *counters;
  clock_source_t clock;
  uint32_t calls;
  uint32_t replies;
  bool answers;
  bool has_peer;
  address_t peer;
} node_t;

static void
node_fill (xch_message *message, const xch_word *to, void *context)
{
  (void)context;
  message->sender.sequence = to != NULL ? to->sequence + 1 : 1;
}

static bool
node_heard (const xch_message *message, bool is_reply, void *context)
{
  node_t *node = context;
  if (is_reply)
    {
      CU_ASSERT_EQUAL (message->sender.sequence, 2);
      node->replies++;
    }
  else
    {
      node->calls++;
    }
  return node->answers;
}

static bool
node_pick (address_t *peer, void *context)
{
  node_t *node = context;
  *peer = node->peer;
  return node->has_peer;
}

static void
node_init (node_t *node, struct event_base *base, const char *key, uint32_t budget_bytes)
{
  memset (node, 0, sizeof *node);
  node->answers = true;
  node->counters = counter_registry_new ();
  clock_init_paused (&node->clock, CLOCK_US_PER_S);
  exchange_options_t options = {
    .base = base,
    .clock = &node->clock,
    .counters = node->counters,
    .listen = { "127.0.0.1", 0 },
    .fleet_key = key,
    .interval_ms = 10,
    .budget_bytes = budget_bytes,
    .seed = 1,
    .fill_message = node_fill,
    .on_message = node_heard,
    .choose_peer = node_pick,
    .context = node,
  };
  node->exchange = exchange_new (&options, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (node->exchange);
}

static void
node_clear (node_t *node)
{
  exchange_free (node->exchange);
  counter_registry_free (node->counters);
}

static uint64_t
node_counter (const node_t *node, const char *name)
{
  return counter_value (counter_get (node->counters, name, ""));
}

/* Runs the event loop until counter @name of @node has reached @value. */
static void
run_until (struct event_base *base, const node_t *node, const char *name, uint64_t value)
{
  gint64 end_us = g_get_monotonic_time () + DEADLINE_S * G_USEC_PER_SEC;
  while (node_counter (node, name) < value && g_get_monotonic_time () < end_us)
    event_base_loop (base, EVLOOP_ONCE);
  CU_ASSERT_TRUE (node_counter (node, name) >= value);
}

/* Runs the event loop long enough that all received datagrams have been processed. */
static void
run_pending_events (struct event_base *base)
{
  for (uint32_t i = 0; i < 5; i++)
    event_base_loop (base, EVLOOP_ONCE);
}

#define RECEIVED "medlarplank_control_datagrams_received_total"
#define SENT "medlarplank_control_datagrams_sent_total"

static void
test_call_is_answered (void)
{
  struct event_base *base = event_base_new ();
  node_t a;
  node_t b;
  node_init (&a, base, KEY, 10000);
  node_init (&b, base, KEY, 10000);
  a.has_peer = true;
  a.peer = exchange_address (b.exchange);
  run_until (base, &a, RECEIVED, 3);
  CU_ASSERT_TRUE (b.calls >= 3);
  CU_ASSERT_TRUE (a.replies >= 3);
  CU_ASSERT_EQUAL (a.calls + b.replies, 0);
  CU_ASSERT_EQUAL (node_counter (&a, "medlarplank_control_bytes_received_total"),
                   node_counter (&a, RECEIVED) *
                       (EMPTY_REPLY_BYTES + BYTE_BUDGET_UDP_HEADER_BYTES));
  node_clear (&a);
  node_clear (&b);
  event_base_free (base);
}

/* A host without the fleet key sends calls. If the daemon answered, it could be abused to send
 * traffic to whatever source address the calls are forged with. */
static void
test_only_authentic_calls_are_answered (void)
{
  struct event_base *base = event_base_new ();
  node_t a;
  node_t b;
  node_init (&a, base, "the key of another fleet", 10000);
  node_init (&b, base, KEY, 10000);
  address_t to = exchange_address (b.exchange);
  exchange_send_now (a.exchange, &to);
  run_until (base, &b, RECEIVED, 1);
  CU_ASSERT_EQUAL (node_counter (&b, "medlarplank_control_bad_auth_total"), 1);
  CU_ASSERT_EQUAL (b.calls, 0);
  CU_ASSERT_EQUAL (node_counter (&b, SENT), 0);
  node_clear (&a);
  node_clear (&b);
  event_base_free (base);
}

/* An attacker captures a call and its reply and replays them. The callback finds the call outdated,
 * so it is not answered; the reply matches no outstanding call, so it is not passed on. */
static void
test_replays_are_dropped (void)
{
  struct event_base *base = event_base_new ();
  node_t node;
  node_init (&node, base, KEY, 10000);
  node.answers = false;
  address_t address = exchange_address (node.exchange);
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (address.port) };
  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int sender = socket (AF_INET, SOCK_DGRAM, 0);
  for (uint32_t i = 0; i < 4; i++)
    {
      char datagram[LIMIT_DATAGRAM_BYTES];
      size_t bytes = encode_full (datagram, i % 2 != 0);
      ssize_t sent = sendto (sender, datagram, bytes, 0, (const struct sockaddr *)&to, sizeof to);
      CU_ASSERT_EQUAL (sent, (ssize_t)bytes);
    }
  run_until (base, &node, RECEIVED, 4);
  CU_ASSERT_EQUAL (node.calls, 2);
  CU_ASSERT_EQUAL (node.replies, 0);
  CU_ASSERT_EQUAL (node_counter (&node, "medlarplank_control_unasked_total"), 2);
  CU_ASSERT_EQUAL (node_counter (&node, SENT), 0);
  close (sender);
  node_clear (&node);
  event_base_free (base);
}

/* A daemon has more to send than its rate allows. It must stay within the budget and continue to
 * send as the budget refills. */
static void
test_budget_holds (void)
{
  struct event_base *base = event_base_new ();
  node_t a;
  node_init (&a, base, KEY, 2000);
  address_t own_address = exchange_address (a.exchange);
  for (uint32_t i = 0; i < 50; i++)
    exchange_send_now (a.exchange, &own_address);
  uint64_t first_bytes = node_counter (&a, "medlarplank_control_bytes_sent_total");
  CU_ASSERT_TRUE (first_bytes > 1700 && first_bytes <= 2000);
  CU_ASSERT_EQUAL (
      node_counter (&a, "medlarplank_control_over_budget_total") + node_counter (&a, SENT), 50);
  for (uint32_t i = 0; i < 100; i++)
    {
      clock_advance (&a.clock, CLOCK_US_PER_S / 10);
      for (uint32_t j = 0; j < 10; j++)
        exchange_send_now (a.exchange, &own_address);
    }
  uint64_t bytes = node_counter (&a, "medlarplank_control_bytes_sent_total");
  CU_ASSERT_TRUE (bytes > 20000 && bytes <= 22000);
  exchange_charge_budget (a.exchange, 50000);
  clock_advance (&a.clock, CLOCK_US_PER_S);
  uint64_t sent = node_counter (&a, SENT);
  exchange_send_now (a.exchange, &own_address);
  CU_ASSERT_EQUAL (node_counter (&a, SENT), sent);
  node_clear (&a);
  event_base_free (base);
}

/* A daemon is suspended while a call, and a reply to its own call, wait in its socket. When it
 * resumes it must not process them: their content dates from before the suspension. */
static void
test_flush_discards_waiting_datagrams (void)
{
  struct event_base *base = event_base_new ();
  node_t a;
  node_t b;
  node_init (&a, base, KEY, 10000);
  node_init (&b, base, KEY, 10000);
  address_t to_a = exchange_address (a.exchange);
  address_t to_b = exchange_address (b.exchange);
  exchange_send_now (a.exchange, &to_b);
  exchange_send_now (b.exchange, &to_a);
  exchange_discard_pending (a.exchange);
  CU_ASSERT_EQUAL (node_counter (&a, RECEIVED), 1);
  run_until (base, &a, RECEIVED, 2);
  run_pending_events (base);
  CU_ASSERT_EQUAL (a.calls + a.replies, 0);
  CU_ASSERT_EQUAL (node_counter (&a, "medlarplank_control_unasked_total"), 1);
  node_clear (&a);
  node_clear (&b);
  event_base_free (base);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_round_trip),
    SUITE_TEST (test_origins_round_trip),
    SUITE_TEST (test_origins_are_authenticated),
    SUITE_TEST (test_parts_round_trip),
    SUITE_TEST (test_hmac_covers_each_bit),
    SUITE_TEST (test_wrong_key_and_sizes),
    SUITE_TEST (test_fuzz_decode),
    SUITE_TEST (test_fuzz_signed_bodies),
    SUITE_TEST (test_call_is_answered),
    SUITE_TEST (test_only_authentic_calls_are_answered),
    SUITE_TEST (test_replays_are_dropped),
    SUITE_TEST (test_budget_holds),
    SUITE_TEST (test_flush_discards_waiting_datagrams),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("exchange", tests);
}
