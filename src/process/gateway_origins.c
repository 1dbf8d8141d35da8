#include "process/gateway_origins.h"

#include "request/policy/streams/origin_batches.h"
#include "request/policy/streams/origin_keepers.h"
#include "request/policy/engines/software_versions.h"

#include <string.h>

/** struct message - a message with storage for its arrays; @indexes: of @questions among those that
 * wait to be sent */
typedef struct
{
  xch_origins_message xdr;
  xch_origin origins[XCH_ORIGINS];
  xch_question questions[XCH_QUESTIONS];
  xch_unknown unknown[XCH_QUESTIONS];
  uint32_t indexes[XCH_QUESTIONS];
} message_t;

/**
 * struct gateway_origins - see the header
 * @tell_timer: sends what is due
 * @ask_timer: sends the questions in the next turn of the event loop
 * @batches: streams that are due, by the gateway that is to be origins
 * @questions: that wait to be sent
 */
struct gateway_origins
{
  gateway_origins_options_t options;
  struct event *tell_timer;
  struct event *ask_timer;
  origin_batches_t *batches;
  xch_question questions[GATEWAY_ORIGINS_QUESTIONS_MAX];
  uint32_t question_count;
  counter_t *told_count;
  counter_t *asked_count;
  counter_t *unknown_count;
  counter_t *unsent_count;
  counter_t *held_count;
};

static uint64_t
now_us (const gateway_origins_t *origins)
{
  return clock_now_us (origins->options.clock);
}

static message_t *
message_new (const gateway_origins_t *origins)
{
  message_t *message = g_new0 (message_t, 1);

  message->xdr.sender_hash = gateway_peers_own_hash (origins->options.peers);
  message->xdr.origins.origins_val = message->origins;
  message->xdr.questions.questions_val = message->questions;
  message->xdr.unknown.unknown_val = message->unknown;
  return message;
}

static void
start_tell_timer (gateway_origins_t *origins, uint32_t wait_ms)
{
  event_add (origins->tell_timer, &(struct timeval){ 0, (suseconds_t)wait_ms * 1000 });
}

static void
add_origin (message_t *message, const stream_origin_t *origin, uint64_t at_us)
{
  uint64_t ttl_us =
      MIN (origin->expires_us - MIN (at_us, origin->expires_us), SOFTWARE_VERSIONS_LIFETIME_US);

  message->origins[message->xdr.origins.origins_len++] =
      (xch_origin){ .stream = origin->stream,
                    .software_version = origin->version,
                    .ttl_ms = (uint32_t)(ttl_us / CLOCK_US_PER_MS) };
}

/* Moves what is due into the batches of the gateways that keep it. */
static void
fill_batches (gateway_origins_t *origins)
{
  g_autoptr (GArray) hashes = gateway_peers_get_hashes (origins->options.peers);
  const uint64_t *gateways = (const uint64_t *)(const void *)hashes->data;
  uint64_t own_hash = gateway_peers_own_hash (origins->options.peers);
  stream_origin_t origin;

  while (hashes->len > 1 && stream_origins_take (origins->options.table, now_us (origins), &origin))
    {
      uint32_t keepers[ORIGIN_KEEPERS_MAX];
      uint32_t count = origin_keepers_of (gateways, hashes->len, own_hash, origin.stream, keepers);

      for (uint32_t i = 0; i < count; i++)
        origin_batches_add (origins->batches, gateways[keepers[i]], origin.stream);
    }
}

static void
send_batch (gateway_origins_t *origins, uint64_t gateway, const uint64_t *streams, uint32_t count)
{
  g_autofree message_t *message = message_new (origins);
  stream_origin_t origin;

  for (uint32_t i = 0; i < count; i++)
    if (stream_origins_get_open (origins->options.table, now_us (origins), streams[i], &origin))
      add_origin (message, &origin, now_us (origins));
  if (message->xdr.origins.origins_len > 0 &&
      gateway_peers_send_origins (origins->options.peers, gateway, false, &message->xdr))
    counter_add (origins->told_count, message->xdr.origins.origins_len);
}

/* Return: false when nothing is due */
static bool
send_next (gateway_origins_t *origins)
{
  uint64_t streams[XCH_ORIGINS];
  uint64_t gateway;
  uint32_t count = origin_batches_take (origins->batches, &gateway, streams, XCH_ORIGINS);

  if (count == 0)
    return false;
  if (gateway_peers_is_alive (origins->options.peers, gateway))
    send_batch (origins, gateway, streams, count);
  else
    origin_batches_drop (origins->batches, gateway);
  return true;
}

static void
on_tell_timer (evutil_socket_t fd, short what, void *context)
{
  gateway_origins_t *origins = context;
  bool has_more = true;

  (void)fd;
  (void)what;
  fill_batches (origins);
  while (has_more && gateway_peers_has_spare_budget (origins->options.peers))
    has_more = send_next (origins);
  if (has_more)
    {
      counter_add (origins->held_count, 1);
      start_tell_timer (origins, GATEWAY_ORIGINS_TELL_MS);
    }
  else
    gateway_origins_tell (origins, false);
}

/** struct asked - to how many gateways a question goes; @sent: to how many of these it was sent */
typedef struct
{
  uint32_t keepers;
  uint32_t sent;
} asked_t;

static void
add_question (gateway_origins_t *origins, message_t **message, uint32_t index)
{
  u_int *count;

  if (!*message)
    *message = message_new (origins);
  count = &(*message)->xdr.questions.questions_len;
  if (*count == XCH_QUESTIONS)
    return;
  (*message)->indexes[*count] = index;
  (*message)->questions[(*count)++] = origins->questions[index];
}

static void
send_questions (gateway_origins_t *origins, uint64_t gateway, message_t *message, asked_t *asked)
{
  if (!gateway_peers_send_origins (origins->options.peers, gateway, true, &message->xdr))
    {
      counter_add (origins->unsent_count, message->xdr.questions.questions_len);
      return;
    }
  for (uint32_t i = 0; i < message->xdr.questions.questions_len; i++)
    asked[message->indexes[i]].sent++;
}

/* Questions for the same gateway go in one message. */
static void
ask_gateways (gateway_origins_t *origins, const uint64_t *gateways, uint32_t count)
{
  g_autofree message_t **messages = g_new0 (message_t *, count);
  g_autofree uint32_t *keepers = g_new (uint32_t, count);
  uint64_t own_hash = gateway_peers_own_hash (origins->options.peers);
  asked_t asked[GATEWAY_ORIGINS_QUESTIONS_MAX] = { 0 };

  for (uint32_t i = 0; i < origins->question_count; i++)
    {
      asked[i].keepers =
          origin_keepers_of_any (gateways, count, own_hash, origins->questions[i].stream, keepers);
      for (uint32_t j = 0; j < asked[i].keepers; j++)
        add_question (origins, &messages[keepers[j]], i);
    }
  for (uint32_t i = 0; i < count; i++)
    if (messages[i])
      {
        send_questions (origins, gateways[i], messages[i], asked);
        g_free (messages[i]);
      }
  for (uint32_t i = 0; i < origins->question_count; i++)
    origins->options.on_asked (origins->questions[i].stream, asked[i].keepers, asked[i].sent,
                               origins->options.context);
}

static void
on_ask_timer (evutil_socket_t fd, short what, void *context)
{
  gateway_origins_t *origins = context;
  g_autoptr (GArray) hashes = gateway_peers_get_hashes (origins->options.peers);

  (void)fd;
  (void)what;
  ask_gateways (origins, (const uint64_t *)(const void *)hashes->data, hashes->len);
  origins->question_count = 0;
}

gateway_origins_t *
gateway_origins_new (const gateway_origins_options_t *options)
{
  gateway_origins_t *origins = g_new0 (gateway_origins_t, 1);

  origins->options = *options;
  origins->batches = origin_batches_new (GATEWAY_ORIGINS_BATCH_MAX);
  origins->tell_timer = evtimer_new (options->base, on_tell_timer, origins);
  origins->ask_timer = evtimer_new (options->base, on_ask_timer, origins);
  origins->told_count = counter_get (options->counters, "medlarplank_origins_told_total",
                                     "Software versions of streams origins to other gateways");
  origins->asked_count = counter_get (options->counters, "medlarplank_origins_asked_total",
                                      "Questions to other gateways for the version of a stream");
  origins->unknown_count = counter_get (options->counters, "medlarplank_origins_unknown_total",
                                        "Questions of other gateways for streams not known here");
  origins->unsent_count =
      counter_get (options->counters, "medlarplank_origins_unsent_total",
                   "Questions and answers about streams not sent, mostly for lack of byte budget");
  origins->held_count = counter_get (options->counters, "medlarplank_origins_held_total",
                                     "Times that streams waited for byte budget to be told");
  return origins;
}

void
gateway_origins_free (gateway_origins_t *origins)
{
  event_free (origins->tell_timer);
  event_free (origins->ask_timer);
  origin_batches_free (origins->batches);
  g_free (origins);
}

void
gateway_origins_tell (gateway_origins_t *origins, bool at_once)
{
  if (!stream_origins_has_due (origins->options.table))
    return;
  if (at_once || !event_pending (origins->tell_timer, EV_TIMEOUT, NULL))
    start_tell_timer (origins, at_once ? 0 : GATEWAY_ORIGINS_TELL_MS);
}

void
gateway_origins_ask (gateway_origins_t *origins, uint64_t stream, uint64_t service_hash)
{
  counter_add (origins->asked_count, 1);
  if (origins->question_count < GATEWAY_ORIGINS_QUESTIONS_MAX)
    origins->questions[origins->question_count++] =
        (xch_question){ .stream = stream, .service_hash = service_hash };
  if (!event_pending (origins->ask_timer, EV_TIMEOUT, NULL))
    event_add (origins->ask_timer, &(struct timeval){ 0, 0 });
}

static void
take_origins (gateway_origins_t *origins, const xch_origins_message *message)
{
  for (uint32_t i = 0; i < message->origins.origins_len; i++)
    {
      const xch_origin *origin = &message->origins.origins_val[i];
      uint64_t ttl_us =
          MIN ((uint64_t)origin->ttl_ms * CLOCK_US_PER_MS, SOFTWARE_VERSIONS_LIFETIME_US);

      stream_origins_add (origins->options.table, now_us (origins),
                          &(stream_origin_t){ .stream = origin->stream,
                                              .version = origin->software_version,
                                              .expires_us = now_us (origins) + ttl_us });
    }
  if (message->origins.origins_len > 0)
    origins->options.on_known (origins->options.context);
}

static void
take_unknown (gateway_origins_t *origins, const xch_origins_message *message)
{
  for (uint32_t i = 0; i < message->unknown.unknown_len; i++)
    origins->options.on_unknown (message->unknown.unknown_val[i].stream, message->sender_hash,
                                 origins->options.context);
}

static void
answer_question (gateway_origins_t *origins, message_t *answer, const xch_question *question)
{
  stream_origin_t origin;

  if (stream_origins_get (origins->options.table, now_us (origins), question->stream, &origin))
    {
      add_origin (answer, &origin, now_us (origins));
      return;
    }
  counter_add (origins->unknown_count, 1);
  answer->unknown[answer->xdr.unknown.unknown_len++] = (xch_unknown){ .stream = question->stream };
}

void
gateway_origins_receive (gateway_origins_t *origins, const xch_origins_message *message)
{
  g_autofree message_t *answer = NULL;

  take_origins (origins, message);
  take_unknown (origins, message);
  if (message->questions.questions_len == 0)
    return;
  answer = message_new (origins);
  for (uint32_t i = 0; i < message->questions.questions_len; i++)
    answer_question (origins, answer, &message->questions.questions_val[i]);
  if (!gateway_peers_send_origins (origins->options.peers, message->sender_hash, true,
                                   &answer->xdr))
    counter_add (origins->unsent_count, message->questions.questions_len);
}
