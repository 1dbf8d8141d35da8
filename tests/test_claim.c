/**
 * DOC: test_claim
 *
 * Claims of idempotency keys: first with a single reader, then with several readers of one log
 * under seeded random faults.
 */
#include "base/clock.h"
#include "request/policy/claims/claim.h"
#include "request/policy/claims/claim_keys.h"
#include "suite.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define HORIZON_US (200 * (uint64_t)CLOCK_US_PER_S)
#define RETENTION_US (400 * (uint64_t)CLOCK_US_PER_S)
#define WALL_BASE_MS UINT64_C (1700000000000)
#define EXPIRY_US (2 * (uint64_t)CLOCK_US_PER_S)

G_DEFINE_AUTOPTR_CLEANUP_FUNC (claim_keys_t, claim_keys_free)

/* A position in a log that never came back from a copy. */
static position_t
at (uint64_t offset)
{
  return (position_t){ .offset = offset };
}

static const claim_key_t key_a = { { 1, 2 }, 3 };
static const claim_key_t key_b = { { 5, 5 }, 5 };

/** struct single - a single reader and the end of its log */
typedef struct
{
  claim_stream_t *claim_stream;
  uint64_t now_us;
  uint64_t offset;
} single_t;

static uint64_t
wall_ms (const single_t *single)
{
  return WALL_BASE_MS + single->now_us / CLOCK_US_PER_MS;
}

static single_t
single_init (void)
{
  single_t single = { .claim_stream = claim_new (HORIZON_US), .now_us = 1000 };
  claim_set_first (single.claim_stream, at (0));
  return single;
}

static void
single_clear (single_t *single)
{
  claim_free (single->claim_stream);
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (single_t, single_clear)

static void
request_claim (single_t *single, uint64_t id, const claim_key_t *key)
{
  uint64_t claim_id[2] = { 7, id };
  claim_request (single->claim_stream, single->now_us, claim_id, key, single->now_us + EXPIRY_US,
                 NULL);
}

static char *
next_batch (single_t *single)
{
  return claim_next_batch (single->claim_stream, single->now_us, wall_ms (single));
}

static void
apply_record (single_t *single, const char *text)
{
  claim_apply_record (single->claim_stream, single->now_us, wall_ms (single), at (single->offset++),
                      text, strlen (text));
}

/* Waits until an append is due, lets it succeed and reads it back. */
static void
append_and_read (single_t *single)
{
  CU_ASSERT_NOT_EQUAL_FATAL (claim_append_due_us (single->claim_stream), UINT64_MAX);
  single->now_us = MAX (single->now_us, claim_append_due_us (single->claim_stream));
  g_autofree char *text = next_batch (single);
  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  claim_append_succeeded (single->claim_stream, single->now_us);
  apply_record (single, text);
}

static claim_verdict_t
next_verdict (single_t *single)
{
  claim_result_t result;
  return claim_take_result (single->claim_stream, single->now_us, &result) ? result.verdict
                                                                           : CLAIM_PENDING;
}

/* Claims the key and checks the result. */
static void
check_claim (single_t *single, uint64_t id, const claim_key_t *key, claim_verdict_t verdict)
{
  request_claim (single, id, key);
  append_and_read (single);
  CU_ASSERT_EQUAL (next_verdict (single), verdict);
}

static void
test_first_claim_is_granted (void)
{
  g_auto (single_t) single = single_init ();
  claim_key_t other_body = { { 1, 2 }, 4 };
  request_claim (&single, 1, &key_a);
  request_claim (&single, 2, &key_a);
  request_claim (&single, 3, &other_body);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_PENDING);
  append_and_read (&single);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_GRANTED);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_HELD);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_KEY_REUSED);
  CU_ASSERT_FALSE (claim_has_work (single.claim_stream));
}

static void
test_done_and_released (void)
{
  g_auto (single_t) single = single_init ();
  claim_result_t result;
  uint64_t first[2] = { 7, 1 };
  uint64_t second[2] = { 7, 2 };
  check_claim (&single, 1, &key_a, CLAIM_GRANTED);
  claim_release (single.claim_stream, first, &key_a);
  append_and_read (&single);
  check_claim (&single, 2, &key_a, CLAIM_GRANTED);
  claim_finish (single.claim_stream, second, &key_a, 201);
  claim_release (single.claim_stream, second,
                 &key_a); /* must not free the key, as the request ran */
  append_and_read (&single);
  request_claim (&single, 3, &key_a);
  CU_ASSERT_TRUE_FATAL (claim_take_result (single.claim_stream, single.now_us, &result));
  CU_ASSERT_EQUAL (result.verdict, CLAIM_DONE);
  CU_ASSERT_EQUAL (result.status, 201);
}

/* The log takes the record but its answer is lost. The claim is found by reading, so it is granted
 * and not appended a second time. */
static void
test_lost_answer (void)
{
  g_auto (single_t) single = single_init ();
  request_claim (&single, 1, &key_a);
  g_autofree char *text = next_batch (&single);
  claim_append_lost (single.claim_stream, single.now_us);
  single.now_us += CLOCK_US_PER_S / 2;
  CU_ASSERT_PTR_NULL (next_batch (&single));
  apply_record (&single, text);
  claim_read_to_end (single.claim_stream, single.now_us, at (single.offset));
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_GRANTED);
  CU_ASSERT_PTR_NULL (next_batch (&single));
  CU_ASSERT_FALSE (claim_has_work (single.claim_stream));
}

/* The record is read back before its append counts as lost. That shows that the log works, so the
 * next claim must not be refused. */
static void
test_read_back_before_loss (void)
{
  g_auto (single_t) single = single_init ();
  request_claim (&single, 1, &key_a);
  g_autofree char *text = next_batch (&single);
  apply_record (&single, text);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_GRANTED);
  claim_append_lost (single.claim_stream, single.now_us);
  CU_ASSERT_FALSE (claim_has_work (single.claim_stream));
  check_claim (&single, 2, &key_b, CLAIM_GRANTED);
}

/* The append had no effect. It is repeated with the same claim id, but only when a read that began
 * after the loss doesn't show it; the first read may have begun earlier. */
static void
test_lost_append (void)
{
  g_auto (single_t) single = single_init ();
  request_claim (&single, 1, &key_a);
  g_free (next_batch (&single));
  claim_append_lost (single.claim_stream, single.now_us);
  single.now_us += CLOCK_US_PER_S / 2;
  claim_read_to_end (single.claim_stream, single.now_us, at (single.offset));
  CU_ASSERT_PTR_NULL (next_batch (&single));
  claim_read_to_end (single.claim_stream, single.now_us, at (single.offset));
  append_and_read (&single);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_GRANTED);
}

/* An append seems lost and is repeated, its claim is released, and then the first copy reaches the
 * log. If that took the key nobody would release it, and a resend would be told that the request
 * may have run. */
static void
test_late_copy_of_released_claim_is_void (void)
{
  g_auto (single_t) single = single_init ();
  uint64_t claim_id[2] = { 7, 1 };
  request_claim (&single, 1, &key_a);
  g_autofree char *late = next_batch (&single);
  claim_append_lost (single.claim_stream, single.now_us);
  single.now_us += CLOCK_US_PER_S / 2;
  claim_read_to_end (single.claim_stream, single.now_us, at (single.offset));
  claim_read_to_end (single.claim_stream, single.now_us, at (single.offset));
  append_and_read (&single);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_GRANTED);
  claim_release (single.claim_stream, claim_id, &key_a);
  append_and_read (&single);
  apply_record (&single, late);
  check_claim (&single, 2, &key_a, CLAIM_GRANTED);
}

/* The log is unavailable. New claims are refused at once and not at their deadline. The claim that
 * was sent is released so that a resend may run, and that release shows when the log is back. */
static void
test_log_down (void)
{
  g_auto (single_t) single = single_init ();
  request_claim (&single, 1, &key_a);
  g_autofree char *late = next_batch (&single);
  request_claim (&single, 2, &key_b); /* queued behind the append in flight */
  claim_append_lost (single.claim_stream, single.now_us);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_LOG_DOWN);
  request_claim (&single, 3, &key_b);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_LOG_DOWN);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_PENDING);
  single.now_us += CLOCK_US_PER_S;
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_LOG_DOWN);
  request_claim (&single, 4,
                 &key_a); /* refused at once too: the release of the first claim tries the log */
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_LOG_DOWN);
  claim_read_to_end (single.claim_stream, single.now_us, at (single.offset));
  claim_read_to_end (single.claim_stream, single.now_us, at (single.offset));
  append_and_read (&single);
  check_claim (&single, 5, &key_a, CLAIM_GRANTED);
  apply_record (&single, late);
  check_claim (&single, 6, &key_b, CLAIM_GRANTED);
}

/* The process is suspended between the append and its read, until after the claim's expiry. The
 * request must not run, and the key is released for a resend. */
static void
test_read_back_after_expiry (void)
{
  g_auto (single_t) single = single_init ();
  request_claim (&single, 1, &key_a);
  g_autofree char *text = next_batch (&single);
  claim_append_succeeded (single.claim_stream, single.now_us);
  single.now_us += EXPIRY_US;
  apply_record (&single, text);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_EXPIRED);
  check_claim (&single, 2, &key_a, CLAIM_GRANTED);
}

/* The log refuses an append because it gets too many. The client must not be told that its request
 * may have run, nor be refused before its deadline: the claim goes with the next append under the
 * same id, and without a release, since it never was in the log. */
static void
test_refused_append (void)
{
  g_auto (single_t) single = single_init ();
  request_claim (&single, 1, &key_a);
  g_autofree char *first = next_batch (&single);
  claim_append_refused (single.claim_stream, single.now_us);
  CU_ASSERT_PTR_NULL (next_batch (&single));
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_PENDING);
  single.now_us = claim_append_due_us (single.claim_stream);
  g_autofree char *second = next_batch (&single);
  CU_ASSERT_PTR_NOT_NULL_FATAL (second);
  CU_ASSERT_NSTRING_EQUAL (first, second, strcspn (first, "t")); /* except the time */
  claim_append_succeeded (single.claim_stream, single.now_us);
  apply_record (&single, second);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_GRANTED);
  CU_ASSERT_EQUAL (claim_append_due_us (single.claim_stream), UINT64_MAX);
}

/* The log refuses an append, and the next one is due after the deadline of some claims. Those are
 * refused at once and not at their deadline, also when they come later; the others wait. */
static void
test_refused_append_and_short_deadlines (void)
{
  g_auto (single_t) single = single_init ();
  uint64_t short_deadline[2] = { 7, 1 };
  uint64_t late_short_deadline[2] = { 7, 2 };
  claim_request (single.claim_stream, single.now_us, short_deadline, &key_a,
                 single.now_us + 50 * CLOCK_US_PER_MS, NULL);
  request_claim (&single, 3, &key_b);
  g_free (next_batch (&single));
  claim_append_refused (single.claim_stream, single.now_us);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_LOG_DOWN);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_PENDING);
  claim_request (single.claim_stream, single.now_us, late_short_deadline, &key_a,
                 single.now_us + 50 * CLOCK_US_PER_MS, NULL);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_LOG_DOWN);
  append_and_read (&single);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_GRANTED);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_PENDING);
}

/* The log keeps refusing appends. A pending claim is refused after a few attempts and later ones
 * at once, and the attempts become rarer. The first append that succeeds ends this. */
static void
test_refused_for_long (void)
{
  g_auto (single_t) single = single_init ();
  uint32_t tries = 0;
  request_claim (&single, 1, &key_a);
  while (next_verdict (&single) == CLAIM_PENDING)
    {
      single.now_us = claim_append_due_us (single.claim_stream);
      char *text = next_batch (&single);
      CU_ASSERT_PTR_NOT_NULL_FATAL (text);
      g_free (text);
      claim_append_refused (single.claim_stream, single.now_us);
      tries++;
    }
  CU_ASSERT_TRUE (tries <= 5);
  CU_ASSERT_TRUE (single.now_us < 3 * CLOCK_US_PER_S);
  tries = 0;
  for (uint32_t second = 0; second < 40; second++)
    {
      single.now_us += CLOCK_US_PER_S;
      request_claim (&single, 10 + second, &key_a);
      request_claim (&single, 100 + second, &key_a);
      char *text = next_batch (&single);
      if (text != NULL)
        {
          tries++;
          claim_append_refused (single.claim_stream, single.now_us);
        }
      g_free (text);
      CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_LOG_DOWN);
      CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_LOG_DOWN);
    }
  CU_ASSERT_TRUE (tries >= 5 && tries <= 15);
  single.now_us += 5 * CLOCK_US_PER_S;
  check_claim (&single, 3, &key_a, CLAIM_GRANTED);
  check_claim (&single, 4, &key_a, CLAIM_HELD);
}

/* A read fails: claims that aren't sent yet are refused at once, although no append has failed. */
static void
test_reading_fails (void)
{
  g_auto (single_t) single = single_init ();
  check_claim (&single, 1, &key_a, CLAIM_GRANTED);
  request_claim (&single, 2, &key_b); /* queued until the interval is over */
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_PENDING);
  claim_read_failed (single.claim_stream, single.now_us);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_LOG_DOWN);
  single.now_us += CLOCK_US_PER_S;
  CU_ASSERT_PTR_NULL (next_batch (&single));
}

static bool
batch_has (single_t *single, const char *kind)
{
  char *text = next_batch (single);
  bool found = text != NULL && strstr (text, kind) != NULL;
  if (text != NULL)
    {
      claim_append_succeeded (single->claim_stream, single->now_us);
      apply_record (single, text);
    }
  g_free (text);
  return found;
}

/* Done entries would double the number of appends, so a done entry waits for the next claim, though
 * not for long: until it is in the log, a resend at another sidecar is told that the request may
 * have run instead of that it ran, and for good if this process ends. A release does not wait,
 * because the client is told that it may resend. */
static void
test_done_entry_shares_an_append (void)
{
  g_auto (single_t) single = single_init ();
  uint64_t first[2] = { 7, 1 };
  uint64_t second[2] = { 7, 2 };
  check_claim (&single, 1, &key_a, CLAIM_GRANTED);
  single.now_us += CLOCK_US_PER_S / 5;
  claim_finish (single.claim_stream, first, &key_a, 200);
  CU_ASSERT_TRUE (claim_has_work (single.claim_stream));
  CU_ASSERT_FALSE (claim_needs_read (single.claim_stream));
  CU_ASSERT_FALSE (batch_has (&single, "\"d\""));
  request_claim (&single, 2, &key_b);
  CU_ASSERT_TRUE (batch_has (&single, "\"d\""));
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_GRANTED);
  single.now_us += CLOCK_US_PER_S / 5;
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_PENDING);
  claim_finish (single.claim_stream, second, &key_b, 200);
  CU_ASSERT_FALSE (batch_has (&single, "\"d\""));
  single.now_us += 2 * CLOCK_US_PER_S;
  CU_ASSERT_TRUE (batch_has (&single, "\"d\""));
  request_claim (&single, 3, &(claim_key_t){ { 6, 6 }, 6 });
  single.now_us += CLOCK_US_PER_S / 5;
  append_and_read (&single);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_GRANTED);
  single.now_us += CLOCK_US_PER_S / 5;
  claim_release (single.claim_stream, (uint64_t[]){ 7, 3 }, &(claim_key_t){ { 6, 6 }, 6 });
  CU_ASSERT_TRUE (batch_has (&single, "\"r\""));
}

static void
test_broken_records (void)
{
  g_auto (single_t) single = single_init ();
  static const char *const malformed[] = {
    "", "{}", "[1]", "[{\"c\":\"zz\"}]", "[[[", "[{\"c\":1,\"k\":2,\"b\":3,\"t\":-4}]", "\xff"
  };
  for (uint32_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    apply_record (&single, malformed[i]);
  CU_ASSERT_EQUAL (claim_malformed_count (single.claim_stream), G_N_ELEMENTS (malformed));
  check_claim (&single, 1, &key_a, CLAIM_GRANTED);
}

/* Keys are forgotten a horizon after their claim, and their memory is freed. */
static void
test_memory_is_bounded (void)
{
  g_auto (single_t) single = single_init ();
  uint64_t most_bytes = 0;
  for (uint32_t i = 0; i < 40000; i++)
    {
      claim_key_t key = { { i, 9 }, 1 };
      check_claim (&single, i, &key, CLAIM_GRANTED);
      single.now_us += HORIZON_US / 1000;
      most_bytes = MAX (most_bytes, claim_memory_bytes (single.claim_stream));
    }
  CU_ASSERT_TRUE (claim_key_count (single.claim_stream) <= 4000);
  CU_ASSERT_TRUE (most_bytes <= 1500 * 24); /* 1,000 keys within the horizon */
  claim_key_t oldest = { { 0, 9 }, 1 };
  check_claim (&single, 1, &oldest, CLAIM_GRANTED);
}

/* ---- several readers over one log ---- */

#define READERS 3
#define KEYS 7
#define KEY_PERIOD_US (30 * (uint64_t)CLOCK_US_PER_S)
#define DELAYED_MAX 16

/** struct grant - a granted claim whose request has not run yet; @run_us: when it runs */
typedef struct
{
  uint64_t claim_id[2];
  uint32_t key;
  uint64_t run_us;
  uint64_t expiry_us;
} grant_t;

typedef struct
{
  claim_stream_t *claim_stream;
  GArray *grants;
  char *append; /* in flight */
  uint64_t append_due_us;
  bool read_sent;
  uint64_t read_end;
  uint64_t read_first;
  uint64_t paused_until_us;
  int64_t skew_ms;
} reader_t;

typedef struct
{
  char *text;
  uint64_t due_us;
} delayed_t;

typedef struct
{
  uint64_t at_us;
  char *text;
} logged_t;

/**
 * struct simulation - several readers of one log
 * @faults: whether there are random faults
 * @first: first offset that the log still has
 * @delayed: records that reach the log later
 * @repeated_runs: requests that ran although their key had run within the horizon; must stay 0
 */
typedef struct
{
  GRand *rand;
  bool faults;
  uint64_t now_us;
  GArray *log; /* logged_t; offset is the index */
  uint64_t first;
  delayed_t delayed[DELAYED_MAX];
  uint32_t delayed_count;
  reader_t readers[READERS];
  uint64_t next_id;
  uint64_t last_run_us[KEYS]; /* 0: never */
  uint32_t requested;
  uint32_t decided;
  uint32_t runs;
  uint32_t repeated_runs;
} simulation_t;

static bool
chance (simulation_t *simulation, uint32_t percent)
{
  return g_rand_int_range (simulation->rand, 0, 100) < (gint32)percent;
}

static uint64_t
random_us (simulation_t *simulation, uint64_t us)
{
  return (uint64_t)g_rand_double_range (simulation->rand, 0, (double)us);
}

static uint64_t
reader_wall_ms (const simulation_t *simulation, const reader_t *reader)
{
  return (uint64_t)((int64_t)(WALL_BASE_MS + simulation->now_us / CLOCK_US_PER_MS) +
                    reader->skew_ms);
}

static void
reader_start (simulation_t *simulation, reader_t *reader)
{
  memset (reader, 0, sizeof *reader);
  reader->claim_stream = claim_new (HORIZON_US);
  reader->grants = g_array_new (FALSE, FALSE, sizeof (grant_t));
  reader->skew_ms =
      simulation->faults ? (int64_t)random_us (simulation, 4 * CLOCK_US_PER_MS) - 2000 : 0;
}

static void
reader_stop (reader_t *reader)
{
  claim_free (reader->claim_stream);
  g_array_free (reader->grants, TRUE);
  g_free (reader->append);
}

static void
append_to_log (simulation_t *simulation, const char *text)
{
  logged_t logged = { simulation->now_us, g_strdup (text) };
  g_array_append_val (simulation->log, logged);
}

static void
append_later (simulation_t *simulation, const char *text)
{
  if (simulation->delayed_count == DELAYED_MAX)
    return;
  simulation->delayed[simulation->delayed_count++] =
      (delayed_t){ g_strdup (text),
                   simulation->now_us + random_us (simulation, 30 * CLOCK_US_PER_S) };
}

static void
step_log (simulation_t *simulation)
{
  for (uint32_t i = simulation->delayed_count; i-- > 0;)
    if (simulation->now_us >= simulation->delayed[i].due_us)
      {
        append_to_log (simulation, simulation->delayed[i].text);
        g_free (simulation->delayed[i].text);
        simulation->delayed[i] = simulation->delayed[--simulation->delayed_count];
      }
  while (simulation->first < simulation->log->len &&
         g_array_index (simulation->log, logged_t, simulation->first).at_us + RETENTION_US <
             simulation->now_us)
    simulation->first++;
}

static void
step_request (simulation_t *simulation, reader_t *reader)
{
  /* Each key is claimed during two periods and again when it is about to be forgotten. */
  uint64_t period = simulation->now_us / KEY_PERIOD_US + (chance (simulation, 50) ? 1 : 0);
  uint32_t key = (uint32_t)(period % KEYS);
  claim_key_t claim_key = { { key, 77 }, 5 };
  uint64_t claim_id[2] = { 1, simulation->next_id++ };
  uint64_t expiry_us = simulation->now_us + EXPIRY_US;
  claim_request (reader->claim_stream, simulation->now_us, claim_id, &claim_key, expiry_us,
                 GUINT_TO_POINTER (key));
  simulation->requested++;
}

static void
step_append (simulation_t *simulation, reader_t *reader)
{
  if (reader->append == NULL)
    {
      reader->append = claim_next_batch (reader->claim_stream, simulation->now_us,
                                         reader_wall_ms (simulation, reader));
      reader->append_due_us = simulation->now_us + random_us (simulation, CLOCK_US_PER_S / 10);
      return;
    }
  if (simulation->now_us < reader->append_due_us)
    return;
  if (simulation->faults && chance (simulation, 20))
    {
      claim_append_refused (reader->claim_stream, simulation->now_us);
      g_clear_pointer (&reader->append, g_free);
      return;
    }
  bool lost = simulation->faults && chance (simulation, 30);
  if (!lost || chance (simulation, 40))
    append_to_log (simulation, reader->append);
  else if (chance (simulation, 50))
    append_later (simulation, reader->append);
  if (lost)
    claim_append_lost (reader->claim_stream, simulation->now_us);
  else
    claim_append_succeeded (reader->claim_stream, simulation->now_us);
  g_clear_pointer (&reader->append, g_free);
}

/* A read notes the log's end when it is sent, and brings the records when it is answered. */
static void
step_read (simulation_t *simulation, reader_t *reader)
{
  if (!reader->read_sent)
    {
      reader->read_sent = true;
      reader->read_first = simulation->first;
      reader->read_end = simulation->log->len;
      return;
    }
  reader->read_sent = false;
  if (simulation->faults && chance (simulation, 20))
    return;
  claim_set_first (reader->claim_stream, at (reader->read_first));
  uint64_t wall = reader_wall_ms (simulation, reader);
  for (uint64_t offset = claim_next (reader->claim_stream).offset; offset < reader->read_end;
       offset++)
    {
      if (simulation->faults && chance (simulation, 5))
        return; /* a page that ends early */
      const char *text = g_array_index (simulation->log, logged_t, offset).text;
      claim_apply_record (reader->claim_stream, simulation->now_us, wall, at (offset), text,
                          strlen (text));
    }
  claim_read_to_end (reader->claim_stream, simulation->now_us, at (reader->read_end));
}

static void
run_request (simulation_t *simulation, reader_t *reader, const grant_t *grant)
{
  claim_key_t claim_key = { { grant->key, 77 }, 5 };
  if (simulation->now_us >= grant->expiry_us)
    {
      claim_release (reader->claim_stream, grant->claim_id, &claim_key);
      return;
    }
  uint64_t last_us = simulation->last_run_us[grant->key];
  uint64_t slack_us =
      EXPIRY_US + 5 * (uint64_t)CLOCK_US_PER_S; /* expiry, and clocks that differ by 4 s */
  if (last_us != 0 && simulation->now_us < last_us + HORIZON_US - slack_us)
    simulation->repeated_runs++;
  simulation->last_run_us[grant->key] = simulation->now_us;
  simulation->runs++;
  if (chance (simulation, 70))
    claim_finish (reader->claim_stream, grant->claim_id, &claim_key, 200);
}

static void
step_results (simulation_t *simulation, reader_t *reader)
{
  claim_result_t result;
  while (claim_take_result (reader->claim_stream, simulation->now_us, &result))
    {
      simulation->decided++;
      if (result.verdict != CLAIM_GRANTED)
        continue;
      grant_t grant = { { result.claim_id[0], result.claim_id[1] },
                        GPOINTER_TO_UINT (result.owner),
                        simulation->now_us +
                            random_us (simulation, simulation->faults ? 3 * CLOCK_US_PER_S : 1000),
                        simulation->now_us + CLOCK_US_PER_S };
      claim_key_t claim_key = { { grant.key, 77 }, 5 };
      if (simulation->faults && chance (simulation, 30))
        claim_release (reader->claim_stream, grant.claim_id,
                       &claim_key); /* the engine refused the request, so it did not run */
      else
        g_array_append_val (reader->grants, grant);
    }
  for (guint i = reader->grants->len; i-- > 0;)
    {
      grant_t grant = g_array_index (reader->grants, grant_t, i);
      if (simulation->now_us < grant.run_us)
        continue;
      run_request (simulation, reader, &grant);
      g_array_remove_index_fast (reader->grants, i);
    }
}

static void
step_reader (simulation_t *simulation, reader_t *reader)
{
  if (simulation->now_us < reader->paused_until_us)
    return;
  if (simulation->faults && chance (simulation, 1) && chance (simulation, 30))
    {
      bool long_pause = chance (simulation, 5);
      reader->paused_until_us =
          simulation->now_us +
          random_us (simulation, long_pause ? 2 * RETENTION_US : 10 * CLOCK_US_PER_S);
      return;
    }
  if (simulation->faults && chance (simulation, 1) && chance (simulation, 10))
    {
      if (reader->append != NULL)
        append_later (simulation, reader->append);
      reader_stop (reader);
      reader_start (simulation, reader);
      return;
    }
  if (chance (simulation, 10))
    step_request (simulation, reader);
  step_append (simulation, reader);
  step_read (simulation, reader);
  step_results (simulation, reader);
}

static void
simulation_run (simulation_t *simulation, uint32_t seed, bool faults, uint32_t steps)
{
  memset (simulation, 0, sizeof *simulation);
  simulation->rand = g_rand_new_with_seed (seed);
  simulation->faults = faults;
  simulation->now_us = CLOCK_US_PER_S;
  simulation->log = g_array_new (FALSE, FALSE, sizeof (logged_t));
  for (uint32_t i = 0; i < READERS; i++)
    reader_start (simulation, &simulation->readers[i]);
  for (uint32_t step = 0; step < steps; step++)
    {
      simulation->now_us +=
          random_us (simulation, faults ? CLOCK_US_PER_S / 10 : 2 * CLOCK_US_PER_MS);
      step_log (simulation);
      step_reader (simulation,
                   &simulation->readers[g_rand_int_range (simulation->rand, 0, READERS)]);
    }
}

static void
simulation_free (simulation_t *simulation)
{
  for (uint32_t i = 0; i < READERS; i++)
    reader_stop (&simulation->readers[i]);
  for (guint i = 0; i < simulation->log->len; i++)
    g_free (g_array_index (simulation->log, logged_t, i).text);
  for (uint32_t i = 0; i < simulation->delayed_count; i++)
    g_free (simulation->delayed[i].text);
  g_array_free (simulation->log, TRUE);
  g_rand_free (simulation->rand);
}

/* Guards against a request that runs twice. Faults: clocks that differ, appends that are refused,
 * lost, answered late or reach the log much later, reads that end early, pauses longer than expiry
 * and retention, restarts. */
static void
test_key_runs_at_most_once (void)
{
  uint64_t runs = 0;
  for (uint32_t seed = 0; seed < 100; seed++)
    {
      simulation_t simulation;
      simulation_run (&simulation, seed, true, 20000);
      runs += simulation.runs;
      if (simulation.repeated_runs != 0)
        printf ("seed %" PRIu32 ": %" PRIu32 " repeated runs\n", seed, simulation.repeated_runs);
      CU_ASSERT_EQUAL (simulation.repeated_runs, 0);
      simulation_free (&simulation);
    }
  printf ("%" PRIu64 " runs\n", runs);
  CU_ASSERT_TRUE (runs > 1000);
}

/* Without faults each claim gets a result and each key runs. */
static void
test_every_claim_gets_a_result (void)
{
  for (uint32_t seed = 0; seed < 20; seed++)
    {
      simulation_t simulation;
      simulation_run (&simulation, seed, false, 3000);
      for (uint32_t i = 0; i < 80 * READERS; /* longer than a done entry is deferred */ i++)
        {
          reader_t *reader = &simulation.readers[i % READERS];
          simulation.now_us += CLOCK_US_PER_S / 100;
          step_append (&simulation, reader);
          step_read (&simulation, reader);
          step_results (&simulation, reader);
        }
      CU_ASSERT_EQUAL (simulation.decided, simulation.requested);
      CU_ASSERT_EQUAL (simulation.runs, 2);
      for (uint32_t i = 0; i < READERS; i++)
        CU_ASSERT_FALSE (claim_has_work (simulation.readers[i].claim_stream));
      simulation_free (&simulation);
    }
}

/* Guards against a request that runs twice, as the log came back from a copy without its claim: a
 * daemon that starts then knows the key only if the claim is appended again. */
static void
test_outcomes_are_appended_again_in_a_new_era (void)
{
  g_auto (single_t) single = single_init ();
  g_autoptr (claim_keys_t) starting = claim_keys_new (HORIZON_US / CLOCK_US_PER_S);
  uint64_t malformed = 0;
  uint64_t first[2] = { 7, 1 };
  uint64_t third[2] = { 7, 3 };
  claim_key_t key_c = { { 8, 8 }, 8 };
  claim_entry_t plain = { .claim_id = { 9, 9 }, .key = key_a, .wall_ms = wall_ms (&single) };
  claim_entry_t resend = { .claim_id = { 9, 10 }, .key = key_a, .wall_ms = wall_ms (&single) };

  check_claim (&single, 1, &key_a, CLAIM_GRANTED);
  check_claim (&single, 2, &key_b, CLAIM_GRANTED);
  check_claim (&single, 3, &key_c, CLAIM_GRANTED);
  claim_finish (single.claim_stream, first, &key_a, 201);
  claim_release (single.claim_stream, third, &key_c);
  append_and_read (&single);
  claim_begin_era (single.claim_stream, single.now_us, 1);
  CU_ASSERT (position_equal (claim_next (single.claim_stream), (position_t){ .era = 1 }));
  single.now_us = MAX (single.now_us, claim_append_due_us (single.claim_stream));
  g_autofree char *text = next_batch (&single);
  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  g_autoptr (GArray) entries = claim_record_parse (text, strlen (text), &malformed);
  claim_keys_set_wall_clock (starting, wall_ms (&single));
  CU_ASSERT_EQUAL (claim_keys_claim (starting, &plain).verdict, CLAIM_GRANTED);
  for (guint i = 0; i < entries->len; i++)
    {
      const claim_entry_t *entry = &g_array_index (entries, claim_entry_t, i);

      if (entry->kind == CLAIM_ENTRY_CLAIM)
        claim_keys_claim (starting, entry);
      else if (entry->kind == CLAIM_ENTRY_DONE)
        claim_keys_finish (starting, entry);
      else
        claim_keys_release (starting, entry);
    }
  CU_ASSERT_EQUAL (entries->len, 4);
  CU_ASSERT_EQUAL (claim_keys_claim (starting, &resend).verdict, CLAIM_DONE);
  resend.key = key_b;
  CU_ASSERT_EQUAL (claim_keys_claim (starting, &resend).verdict, CLAIM_HELD);
  resend.key = key_c;
  CU_ASSERT_EQUAL (claim_keys_claim (starting, &resend).verdict, CLAIM_GRANTED);
}

/* Guards against a claim that waits to its deadline for a record that is gone. Its request did not
 * run, and its claim must not hold the key if it is in the log after all. */
static void
test_claims_without_a_result_are_given_up_in_a_new_era (void)
{
  g_auto (single_t) single = single_init ();
  request_claim (&single, 1, &key_a);
  g_autofree char *text = next_batch (&single);
  claim_append_succeeded (single.claim_stream, single.now_us);
  claim_begin_era (single.claim_stream, single.now_us, 1);
  CU_ASSERT_EQUAL (next_verdict (&single), CLAIM_LOG_DOWN);
  apply_record (&single, text); /* a late response of the era before */
  CU_ASSERT (position_equal (claim_next (single.claim_stream), (position_t){ .era = 1 }));
  single.now_us = MAX (single.now_us, claim_append_due_us (single.claim_stream));
  g_autofree char *release = next_batch (&single);
  CU_ASSERT_PTR_NOT_NULL_FATAL (release);
  CU_ASSERT_PTR_NOT_NULL (strstr (release, "\"r\""));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "the first claim of a key is granted", test_first_claim_is_granted },
    { "outcomes are appended again in a new era", test_outcomes_are_appended_again_in_a_new_era },
    { "claims without a result are given up in a new era",
      test_claims_without_a_result_are_given_up_in_a_new_era },
    { "done keys and released keys", test_done_and_released },
    { "a lost answer is looked up", test_lost_answer },
    { "read back before its answer is lost", test_read_back_before_loss },
    { "a lost append is repeated", test_lost_append },
    { "a late copy of a released claim is void", test_late_copy_of_released_claim_is_void },
    { "the log is down", test_log_down },
    { "read back after expiry", test_read_back_after_expiry },
    { "a refused append is repeated", test_refused_append },
    { "a refused append and short deadlines", test_refused_append_and_short_deadlines },
    { "appends refused for long", test_refused_for_long },
    { "reading fails", test_reading_fails },
    { "a done entry shares an append", test_done_entry_shares_an_append },
    { "malformed records are skipped", test_broken_records },
    { "memory is bounded", test_memory_is_bounded },
    { "a key runs at most once under faults", test_key_runs_at_most_once },
    { "every claim gets a result without faults", test_every_claim_gets_a_result },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("claim", tests);
}
