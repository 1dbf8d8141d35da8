/*
 * Gateways that lose some of them beside engines of two software versions, in virtual time: how
 * many of their streams go on at the others, at which version, and how many bytes that takes.
 * Decisions and the byte budget are those of the product; the exchange, clients and engines are
 * simulated.
 */
#include "base/clock.h"
#include "connection/byte_budget.h"
#include "request/policy/origin_batches.h"
#include "request/policy/origin_keepers.h"
#include "request/policy/resumption.h"
#include "request/policy/software_versions.h"
#include "request/policy/stream_origins.h"
#include "suite.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define MS_US UINT64_C (1000)
#define S_US (1000 * MS_US)
#define START_US (UINT64_C (1000) * S_US)
#define STEP_US (10 * MS_US)
#define WARM_US (12 * S_US)
#define TELL_US (100 * MS_US)
#define LIMIT 16384
#define LOST_MESSAGES_PERCENT 2
#define BUDGET_BYTES 4000
/* Other messages of a gateway, with replies. */
#define REGULAR_US (500 * MS_US)
#define REGULAR_BYTES 600
/* IP, UDP and RPC headers with the HMAC, the sender and three counts; then per stream or question.
 */
#define MESSAGE_BYTES (28 + 72 + 8 + 12)
#define ORIGIN_BYTES 20
#define QUESTION_BYTES 16
#define ORIGINS_MAX 24
#define QUESTIONS_MAX 16
#define BATCH_MAX 256
#define VERSIONS 2

/** struct stream - of a client */
typedef struct
{
  uint64_t id;
  uint64_t version;
  uint64_t ends_us;
} stream_t;

/**
 * struct gateway - a gateway
 * @hash: of its name; the lower half is its index
 * @begun: streams that are to begin, with the fraction of the next one
 * @sent: bytes that it sent for streams
 */
typedef struct
{
  uint64_t hash;
  stream_origins_t *origins;
  origin_batches_t *batches;
  byte_budget_t budget;
  GArray *streams; /* stream_t */
  uint64_t tell_us;
  uint64_t regular_us;
  double begun;
  uint64_t sent;
  bool is_lost;
} gateway_t;

/** struct message - that arrives in the next step */
typedef struct
{
  uint32_t to;
  stream_origin_t origin;
} message_t;

/**
 * struct play - one play
 * @lost_count: gateways that are lost together
 * @streams_per_s: that begin at each gateway
 * @duration_us: mean of a stream
 */
typedef struct
{
  uint32_t count;
  uint32_t lost_count;
  double streams_per_s;
  uint64_t duration_us;
  gateway_t *gateways;
  uint64_t *hashes;
  GArray *messages;
  GRand *rand;
  uint64_t now_us;
  uint64_t next_stream;
  uint32_t right;
  uint32_t wrong;
  uint32_t refused;
} play_t;

static uint32_t
draw (play_t *play, uint32_t below)
{
  return (uint32_t)g_rand_int_range (play->rand, 0, (gint32)below);
}

/* Return: whether the message arrives */
static bool
send_bytes (play_t *play, uint32_t from, uint32_t bytes, bool is_urgent)
{
  gateway_t *gateway = &play->gateways[from];

  if (!(is_urgent ? byte_budget_overdraw (&gateway->budget, play->now_us, bytes)
                  : byte_budget_take (&gateway->budget, play->now_us, bytes)))
    return false;
  gateway->sent += bytes;
  return draw (play, 100) >= LOST_MESSAGES_PERCENT;
}

static uint64_t
version_of (uint64_t stream)
{
  return 1 + stream % VERSIONS;
}

static void
begin_streams (play_t *play, gateway_t *gateway)
{
  gateway->begun += play->streams_per_s * STEP_US / S_US;
  for (; gateway->begun >= 1; gateway->begun--)
    {
      uint64_t duration_us = play->duration_us / 2 + draw (play, (uint32_t)play->duration_us);
      stream_t stream = { .id = ++play->next_stream,
                          .version = version_of (play->next_stream),
                          .ends_us = play->now_us + duration_us };

      g_array_append_val (gateway->streams, stream);
      stream_origins_add (gateway->origins, play->now_us,
                          &(stream_origin_t){ .stream = stream.id,
                                              .version = stream.version,
                                              .expires_us = play->now_us + 15 * S_US });
      stream_origins_tell (gateway->origins, stream.id);
    }
}

static void
end_streams (play_t *play, gateway_t *gateway)
{
  for (guint i = gateway->streams->len; i > 0; i--)
    {
      const stream_t *stream = &g_array_index (gateway->streams, stream_t, i - 1);

      if (play->now_us < stream->ends_us)
        continue;
      stream_origins_end (gateway->origins, stream->id);
      g_array_remove_index_fast (gateway->streams, i - 1);
    }
}

static void
fill_batches (play_t *play, gateway_t *gateway)
{
  stream_origin_t origin;

  while (play->count > 1 && stream_origins_take (gateway->origins, play->now_us, &origin))
    {
      uint32_t keepers[ORIGIN_KEEPERS_MAX];
      uint32_t kept =
          origin_keepers_of (play->hashes, play->count, gateway->hash, origin.stream, keepers);

      for (uint32_t i = 0; i < kept; i++)
        origin_batches_add (gateway->batches, play->hashes[keepers[i]], origin.stream);
    }
}

static void
send_batch (play_t *play, uint32_t from, uint32_t to, const uint64_t *streams, uint32_t count)
{
  message_t message = { .to = to };
  guint before = play->messages->len;

  for (uint32_t i = 0; i < count; i++)
    if (stream_origins_get_open (play->gateways[from].origins, play->now_us, streams[i],
                                 &message.origin))
      g_array_append_val (play->messages, message);
  if (play->messages->len > before &&
      !send_bytes (play, from, MESSAGE_BYTES + ORIGIN_BYTES * (play->messages->len - before),
                   false))
    g_array_set_size (play->messages, before);
}

/* As long as three quarters of the budget are left, like the product. */
static void
tell (play_t *play, uint32_t from)
{
  gateway_t *gateway = &play->gateways[from];
  uint64_t streams[ORIGINS_MAX];
  uint64_t hash;
  uint32_t count;

  fill_batches (play, gateway);
  while (byte_budget_has (&gateway->budget, play->now_us, BUDGET_BYTES / 4 * 3) &&
         (count = origin_batches_take (gateway->batches, &hash, streams, ORIGINS_MAX)) > 0)
    send_batch (play, from, (uint32_t)hash, streams, count);
}

static void
deliver (play_t *play)
{
  GArray *messages = play->messages;

  play->messages = g_array_new (FALSE, FALSE, sizeof (message_t));
  for (guint i = 0; i < messages->len; i++)
    {
      const message_t *message = &g_array_index (messages, message_t, i);
      const gateway_t *gateway = &play->gateways[message->to];

      if (!gateway->is_lost)
        stream_origins_add (gateway->origins, play->now_us, &message->origin);
    }
  g_array_free (messages, TRUE);
}

static void
step (play_t *play)
{
  play->now_us += STEP_US;
  deliver (play);
  for (uint32_t i = 0; i < play->count; i++)
    {
      gateway_t *gateway = &play->gateways[i];

      if (gateway->is_lost)
        continue;
      begin_streams (play, gateway);
      end_streams (play, gateway);
      if (play->now_us >= gateway->regular_us)
        {
          byte_budget_take (&gateway->budget, play->now_us, REGULAR_BYTES);
          gateway->regular_us += REGULAR_US;
        }
      if (play->now_us < gateway->tell_us)
        continue;
      gateway->tell_us += TELL_US;
      tell (play, i);
    }
}

/** struct question - a stream that @asker looks for; @view: of its request */
typedef struct
{
  uint32_t asker;
  stream_t stream;
  resumption_view_t view;
  bool decided;
} question_t;

/** struct exchange - questions from one gateway to another in one step */
typedef struct
{
  uint32_t from;
  uint32_t to;
  GPtrArray *questions;
} exchange_t;

static exchange_t *
find_exchange (GArray *exchanges, uint32_t from, uint32_t to)
{
  exchange_t exchange = { .from = from, .to = to };

  for (guint i = 0; i < exchanges->len; i++)
    {
      exchange_t *known = &g_array_index (exchanges, exchange_t, i);

      if (known->from == from && known->to == to && known->questions->len < QUESTIONS_MAX)
        return known;
    }
  exchange.questions = g_ptr_array_new ();
  g_array_append_val (exchanges, exchange);
  return &g_array_index (exchanges, exchange_t, exchanges->len - 1);
}

static void
add_questions (play_t *play, question_t *question, GArray *exchanges)
{
  g_autofree uint32_t *keepers = g_new (uint32_t, play->count);
  uint32_t found =
      origin_keepers_of_any (play->hashes, play->count, play->gateways[question->asker].hash,
                             question->stream.id, keepers);

  for (uint32_t i = 0; i < found; i++)
    g_ptr_array_add (find_exchange (exchanges, question->asker, keepers[i])->questions, question);
}

/* The answers are there in the next step. */
static void
play_exchange (play_t *play, const exchange_t *exchange)
{
  const gateway_t *keeper = &play->gateways[exchange->to];

  if (!send_bytes (play, exchange->from, MESSAGE_BYTES + QUESTION_BYTES * exchange->questions->len,
                   true) ||
      keeper->is_lost ||
      !send_bytes (play, exchange->to, MESSAGE_BYTES + ORIGIN_BYTES * exchange->questions->len,
                   true))
    return;
  for (guint i = 0; i < exchange->questions->len; i++)
    {
      question_t *question = g_ptr_array_index (exchange->questions, i);
      uint64_t known = stream_origins_find (keeper->origins, play->now_us, question->stream.id);

      if (known != 0)
        question->view.known = known;
    }
}

static void
decide (play_t *play, question_t *question, GArray *exchanges)
{
  resumption_t decision = resumption_decide (&question->view, play->now_us);

  if (decision.step == RESUMPTION_ASK)
    {
      question->view.asked_us = play->now_us;
      add_questions (play, question, exchanges);
      return;
    }
  if (decision.step == RESUMPTION_WAIT)
    return;
  question->decided = true;
  if (decision.step == RESUMPTION_REFUSE)
    play->refused++;
  else if (decision.version == question->stream.version)
    play->right++;
  else
    play->wrong++;
}

static void
play_questions (play_t *play, GArray *questions)
{
  GArray *exchanges = g_array_new (FALSE, FALSE, sizeof (exchange_t));

  for (guint i = 0; i < questions->len; i++)
    {
      question_t *question = &g_array_index (questions, question_t, i);

      if (!question->decided)
        decide (play, question, exchanges);
    }
  for (guint i = 0; i < exchanges->len; i++)
    {
      exchange_t *exchange = &g_array_index (exchanges, exchange_t, i);

      play_exchange (play, exchange);
      g_ptr_array_unref (exchange->questions);
    }
  g_array_free (exchanges, TRUE);
}

static void
add_question (play_t *play, uint32_t asker, const stream_t *stream, GArray *questions)
{
  question_t question = { .asker = asker,
                          .stream = *stream,
                          .view = { .known = stream_origins_find (play->gateways[asker].origins,
                                                                  play->now_us, stream->id),
                                    .is_current = true,
                                    .has_watched = true,
                                    .is_named = true,
                                    .is_alone = play->count == 1,
                                    .started_us = play->now_us } };

  g_array_append_val (questions, question);
}

static uint32_t
running_gateway (play_t *play)
{
  uint32_t index = draw (play, play->count);

  for (uint32_t i = 0; i < play->count && play->gateways[index].is_lost; i++)
    index = (index + 1) % play->count;
  return index;
}

static void
add_questions_of (play_t *play, const gateway_t *lost, GArray *questions)
{
  for (guint i = 0; i < lost->streams->len; i++)
    add_question (play, running_gateway (play), &g_array_index (lost->streams, stream_t, i),
                  questions);
}

/* The only gateway is restarted in place of being lost. */
static void
kill_gateways (play_t *play)
{
  uint32_t first = draw (play, play->count);

  for (uint32_t i = 0; i < play->lost_count; i++)
    play->gateways[(first + i) % play->count].is_lost = play->count > 1;
  if (play->count > 1)
    return;
  stream_origins_free (play->gateways[0].origins);
  play->gateways[0].origins = stream_origins_new (LIMIT);
}

/* Gateways are killed together; their clients resume their streams at others at once. */
static void
lose_gateways (play_t *play)
{
  GArray *questions = g_array_new (FALSE, FALSE, sizeof (question_t));

  kill_gateways (play);
  for (uint32_t i = 0; i < play->count; i++)
    if (play->gateways[i].is_lost || play->count == 1)
      add_questions_of (play, &play->gateways[i], questions);
  for (uint64_t waited_us = 0; waited_us <= RESUMPTION_TIMEOUT_US + STEP_US; waited_us += STEP_US)
    {
      play_questions (play, questions);
      step (play);
    }
  g_array_free (questions, TRUE);
}

static void
start_play (play_t *play, uint32_t seed)
{
  play->rand = g_rand_new_with_seed (seed);
  play->now_us = START_US;
  play->messages = g_array_new (FALSE, FALSE, sizeof (message_t));
  play->gateways = g_new0 (gateway_t, play->count);
  play->hashes = g_new (uint64_t, play->count);
  for (uint32_t i = 0; i < play->count; i++)
    {
      gateway_t *gateway = &play->gateways[i];

      gateway->hash = ((uint64_t)g_rand_int (play->rand) << 32) | i;
      play->hashes[i] = gateway->hash;
      gateway->batches = origin_batches_new (BATCH_MAX);
      gateway->origins = stream_origins_new (LIMIT);
      gateway->streams = g_array_new (FALSE, FALSE, sizeof (stream_t));
      gateway->tell_us = START_US + draw (play, TELL_US);
      gateway->regular_us = START_US + draw (play, REGULAR_US);
      byte_budget_init (&gateway->budget, BUDGET_BYTES, START_US);
    }
}

static void
end_play (play_t *play)
{
  for (uint32_t i = 0; i < play->count; i++)
    {
      stream_origins_free (play->gateways[i].origins);
      origin_batches_free (play->gateways[i].batches);
      g_array_free (play->gateways[i].streams, TRUE);
    }
  g_free (play->gateways);
  g_free (play->hashes);
  g_array_free (play->messages, TRUE);
  g_rand_free (play->rand);
}

/* Half of the streams must go on, as the users' rule has it. */
static void
check_play (
    uint32_t count, uint32_t lost_count, double streams_per_s, uint64_t duration_ms, uint32_t seed)
{
  play_t play = { .count = count,
                  .lost_count = lost_count,
                  .streams_per_s = streams_per_s,
                  .duration_us = duration_ms * MS_US };
  uint64_t sent = 0;

  start_play (&play, seed);
  while (play.now_us < START_US + WARM_US)
    step (&play);
  for (uint32_t i = 0; i < count; i++)
    sent += play.gateways[i].sent;
  lose_gateways (&play);
  printf (
      "%u of %u gateways, %.0f streams/s of %u ms: %u went on, %u refused, %u at another version; "
      "%u bytes/s a gateway\n",
      lost_count, count, streams_per_s, (unsigned)duration_ms, play.right, play.refused, play.wrong,
      (unsigned)(sent * S_US / WARM_US / count));
  CU_ASSERT_EQUAL (play.wrong, 0);
  if (count > 1)
    CU_ASSERT (play.right >= play.refused);
  CU_ASSERT (sent * S_US / WARM_US / count <= BUDGET_BYTES);
  end_play (&play);
}

static void
test_single_gateway (void)
{
  check_play (1, 1, 22, 1000, 1);
}

/* Guards against streams that are lost with their gateway, or go on at another version. */
static void
test_5_gateways (void)
{
  check_play (5, 1, 22, 1000, 1);
  check_play (5, 1, 39, 2000, 2);
  check_play (5, 1, 39, 10000, 3);
}

static void
test_15_gateways (void)
{
  check_play (15, 1, 22, 1000, 1);
  check_play (15, 1, 39, 2000, 2);
  check_play (15, 1, 39, 10000, 3);
}

/* Guards against keepers that are lost together with the gateway whose streams they keep. */
static void
test_half_of_the_gateways (void)
{
  check_play (5, 3, 22, 1000, 4);
  check_play (15, 8, 22, 1000, 5);
}

static void
test_385_gateways (void)
{
  check_play (385, 1, 39, 2000, 2);
}

static void
test_880_gateways (void)
{
  check_play (880, 1, 39, 10000, 3);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_single_gateway),
                                       SUITE_TEST (test_5_gateways),
                                       SUITE_TEST (test_15_gateways),
                                       SUITE_TEST (test_half_of_the_gateways),
                                       SUITE_TEST (test_385_gateways),
                                       SUITE_TEST (test_880_gateways),
                                       CU_TEST_INFO_NULL };

  return suite_run ("origin_fleet", tests);
}
