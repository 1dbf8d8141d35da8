#include "process/control_private.h"

#include "base/log.h"

#include <string.h>

#define MAX_OPEN_STREAMS 64
#define READ_MAX_RECORDS 500
#define READ_WAIT_MS 200 /* until an append of this daemon is readable */
#define RETRY_MIN_US (100 * CLOCK_US_PER_MS)
#define RETRY_MAX_US (2 * CLOCK_US_PER_S)
#define PROBE_MIN_US (500 * CLOCK_US_PER_MS)
#define PROBE_MAX_US (4 * CLOCK_US_PER_S)
#define PROBE_AFTER_CLAIM_US (10 * CLOCK_US_PER_S) /* no probes longer after a request */
#define STREAM_IDLE_US (UINT64_C (600) * CLOCK_US_PER_S)

/**
 * struct control_claims_stream - one claims stream
 * @claim_stream: replays the stream's records and holds its claims
 * @read_call, @append_call: the read and the append in flight, or NULL
 * @timer: fires when the next append is due, as the tick alone would delay claims beyond their
 *         append interval
 * @batch: text of the append in flight
 * @read_due_us: no read before this, after one failed
 * @backoff_us: current retry delay of reads, 0 while they succeed
 * @used_us: when a claim was last requested or ended
 * @read_era: era of the position that the last read asked for
 * @begun: the stream's first retained position is known, in its era
 */
struct control_claims_stream
{
  control_t *ctrl;
  char *name;
  claim_stream_t *claim_stream;
  control_call_t *read_call;
  control_call_t *append_call;
  struct event *timer;
  char *batch;
  uint64_t read_due_us;
  uint64_t backoff_us;
  uint64_t used_us;
  uint64_t read_era;
  bool begun;
};

static void advance_stream (control_claims_stream_t *stream);

static void
stream_free (gpointer data)
{
  control_claims_stream_t *stream = data;
  /* The results of calls in flight arrive after this and must not access the stream. */
  if (stream->read_call != NULL)
    stream->read_call->abandoned = true;
  if (stream->append_call != NULL)
    stream->append_call->abandoned = true;
  event_free (stream->timer);
  claim_free (stream->claim_stream);
  g_free (stream->batch);
  g_free (stream->name);
  g_free (stream);
}

static const char *
verdict_name (claim_verdict_t verdict)
{
  switch (verdict)
    {
    case CLAIM_GRANTED:
      return "granted";
    case CLAIM_HELD:
      return "held";
    case CLAIM_DONE:
      return "done";
    case CLAIM_KEY_REUSED:
      return "key_reused";
    case CLAIM_EXPIRED:
      return "too_late";
    case CLAIM_LOG_DOWN:
      return "log_down";
    case CLAIM_PENDING:
      break;
    }
  return "pending";
}

static void
send_result (control_t *ctrl, const char *stream, const claim_result_t *result)
{
  const char *verdict = verdict_name (result->verdict);
  char name[64];
  g_snprintf (name, sizeof name, "medlarplank_claims_total{verdict=\"%s\"}", verdict);
  control_count_event (ctrl, name, "Claims of idempotency keys answered");
  log_event (LOG_LEVEL_INFO, "claim", "verdict", verdict, "stream", stream, "claim_high",
             LOG_HEX (result->claim_id[0]), "claim_low", LOG_HEX (result->claim_id[1]), NULL);
  message_claim_result_t *message = message_new (MESSAGE_CLAIM_RESULT);
  message->result = *result;
  control_send_to_data (ctrl, message);
}

static void
send_results (control_claims_stream_t *stream)
{
  claim_result_t result;
  while (claim_take_result (stream->claim_stream, control_now_us (stream->ctrl), &result))
    send_result (stream->ctrl, stream->name, &result);
}

static void
apply_records (control_claims_stream_t *stream, const platform_read_t *read)
{
  uint64_t now_us = control_now_us (stream->ctrl);
  uint64_t wall_ms = clock_wall_ms (&stream->ctrl->daemon->clock);
  claim_stream_t *claim_stream = stream->claim_stream;
  control_claims_note_era (stream->ctrl, read->end.era);
  if (read->end.era != claim_next (claim_stream).era || read->end.era != stream->read_era)
    return; /* the records are not those that were asked for */
  if (!stream->begun || position_is_before (claim_next (claim_stream), read->first))
    claim_set_first (claim_stream, read->first);
  stream->begun = true;
  for (uint32_t i = 0; i < read->record_count; i++)
    {
      const platform_record_t *record = &read->records[i];
      claim_apply_record (claim_stream, now_us, wall_ms, record->position, record->data,
                          record->data_bytes);
    }
  if (!position_is_before (claim_next (claim_stream), read->end))
    claim_read_to_end (claim_stream, now_us, read->end);
}

static void
mark_streams_down (control_t *ctrl)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ctrl->claims.streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    claim_read_failed (((control_claims_stream_t *)value)->claim_stream, control_now_us (ctrl));
}

static void
set_log_available (control_t *ctrl, bool works)
{
  control_claims_t *claims = &ctrl->claims;
  if (claims->down == !works)
    return;
  claims->down = !works;
  claims->probe_wait_us = PROBE_MIN_US;
  claims->probe_us = control_now_us (ctrl) + control_add_jitter (ctrl, PROBE_MIN_US);
  if (!works)
    mark_streams_down (ctrl);
  log_event (works ? LOG_LEVEL_NOTICE : LOG_LEVEL_WARNING, works ? "platform_back" : "platform_out",
             "source", "claims", NULL);
}

static void
on_read (const platform_read_t *read, void *context)
{
  control_call_t *call = context;
  control_t *ctrl = call->ctrl;
  control_claims_stream_t *stream = call->stream;
  if (!control_call_end (call))
    return;
  stream->read_call = NULL;
  set_log_available (ctrl, read->outcome == PLATFORM_OK);
  if (read->outcome == PLATFORM_OK)
    {
      stream->backoff_us = 0;
      apply_records (stream, read);
    }
  else
    {
      stream->backoff_us = CLAMP (stream->backoff_us * 2, RETRY_MIN_US, RETRY_MAX_US);
      stream->read_due_us = control_now_us (ctrl) + control_add_jitter (ctrl, stream->backoff_us);
    }
  send_results (stream);
  advance_stream (stream);
}

static void
count_append (control_t *ctrl, platform_outcome_t outcome)
{
  static const char *const outcomes[] = { "taken", "refused", "unknown" };
  char name[64];
  g_assert ((size_t)outcome < G_N_ELEMENTS (outcomes));
  g_snprintf (name, sizeof name, "medlarplank_claim_appends_total{outcome=\"%s\"}",
              outcomes[outcome]);
  control_count_event (ctrl, name, "Appends to claims streams");
}

static void
on_append (platform_outcome_t outcome, position_t position, void *context)
{
  control_call_t *call = context;
  control_t *ctrl = call->ctrl;
  control_claims_stream_t *stream = call->stream;
  if (!control_call_end (call))
    return;
  stream->append_call = NULL;
  g_clear_pointer (&stream->batch, g_free);
  switch (outcome)
    {
    case PLATFORM_OK:
      claim_append_succeeded (stream->claim_stream, control_now_us (ctrl));
      control_claims_note_era (ctrl, position.era);
      break;
    case PLATFORM_REFUSED:
      claim_append_refused (stream->claim_stream, control_now_us (ctrl));
      break;
    case PLATFORM_UNKNOWN:
    case PLATFORM_EXPIRED: /* occurs for reads only */
      claim_append_lost (stream->claim_stream, control_now_us (ctrl));
      break;
    }
  count_append (ctrl, outcome);
  send_results (stream);
  advance_stream (stream);
}

static void
start_append (control_claims_stream_t *stream)
{
  control_t *ctrl = stream->ctrl;
  uint64_t now_us = control_now_us (ctrl);
  if (stream->append_call != NULL)
    return;
  stream->batch =
      claim_next_batch (stream->claim_stream, now_us, clock_wall_ms (&ctrl->daemon->clock));
  if (stream->batch == NULL)
    return;
  stream->append_call = control_call_new (ctrl);
  stream->append_call->stream = stream;
  ctrl->platform->append (ctrl->platform, stream->name, stream->batch, strlen (stream->batch),
                          on_append, stream->append_call);
}

static void
start_read (control_claims_stream_t *stream)
{
  control_t *ctrl = stream->ctrl;
  if (stream->read_call != NULL || control_now_us (ctrl) < stream->read_due_us)
    return;
  if (!claim_needs_read (stream->claim_stream))
    return;
  stream->read_call = control_call_new (ctrl);
  stream->read_call->stream = stream;
  /* The first read of a stream returns at once, as no claim can be granted before it. */
  stream->read_era = claim_next (stream->claim_stream).era;
  ctrl->platform->read (ctrl->platform, stream->name, claim_next (stream->claim_stream).offset,
                        READ_MAX_RECORDS, stream->begun ? READ_WAIT_MS : 0, on_read,
                        stream->read_call);
}

static void
update_timer (control_claims_stream_t *stream)
{
  uint64_t now_us = control_now_us (stream->ctrl);
  uint64_t due_us = claim_append_due_us (stream->claim_stream);
  if (due_us == UINT64_MAX || due_us <= now_us)
    {
      event_del (stream->timer);
      return;
    }
  struct timeval wait = { (time_t)((due_us - now_us) / CLOCK_US_PER_S),
                          (suseconds_t)((due_us - now_us) % CLOCK_US_PER_S) };
  event_add (stream->timer, &wait);
}

/* A stream has at most one append and one read in flight; claims that arrive meanwhile go with the
 * next append. */
static void
advance_stream (control_claims_stream_t *stream)
{
  start_append (stream);
  start_read (stream);
  update_timer (stream);
}

static void
on_timer (evutil_socket_t socket, short what, void *context)
{
  control_claims_stream_t *stream = context;
  (void)socket;
  (void)what;
  control_freshness_check_pause (stream->ctrl);
  send_results (stream);
  advance_stream (stream);
}

static bool
is_idle (const control_claims_stream_t *stream, uint64_t idle_us)
{
  uint64_t now_us = control_now_us (stream->ctrl);
  return stream->read_call == NULL && stream->append_call == NULL &&
         !claim_has_work (stream->claim_stream) && now_us - stream->used_us >= idle_us;
}

static gboolean
close_if_idle (gpointer key, gpointer value, gpointer data)
{
  const control_claims_stream_t *stream = value;
  (void)key;
  (void)data;
  if (!is_idle (stream, STREAM_IDLE_US))
    return FALSE;
  log_event (LOG_LEVEL_INFO, "claims_closed", "stream", stream->name, NULL);
  return TRUE;
}

static control_claims_stream_t *
find_longest_idle (const control_t *ctrl)
{
  control_claims_stream_t *oldest = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ctrl->claims.streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      control_claims_stream_t *stream = value;
      if (is_idle (stream, 0) && (oldest == NULL || stream->used_us < oldest->used_us))
        oldest = stream;
    }
  return oldest;
}

static bool
evict_idle_stream (control_t *ctrl)
{
  if (g_hash_table_size (ctrl->claims.streams) < MAX_OPEN_STREAMS)
    return true;
  control_claims_stream_t *oldest = find_longest_idle (ctrl);
  if (oldest == NULL)
    return false;
  g_hash_table_remove (ctrl->claims.streams, oldest->name);
  return true;
}

/* Return: NULL when the limit of open streams is reached and all are busy. */
static control_claims_stream_t *
open_stream (control_t *ctrl, const char *name)
{
  control_claims_stream_t *stream = g_hash_table_lookup (ctrl->claims.streams, name);
  if (stream == NULL && evict_idle_stream (ctrl))
    {
      stream = g_new0 (control_claims_stream_t, 1);
      stream->ctrl = ctrl;
      stream->name = g_strdup (name);
      stream->timer = evtimer_new (ctrl->base, on_timer, stream);
      stream->claim_stream =
          claim_new ((uint64_t)ctrl->daemon->settings.claim_horizon_s * CLOCK_US_PER_S);
      claim_begin_era (stream->claim_stream, control_now_us (ctrl), ctrl->claims.era);
      g_hash_table_insert (ctrl->claims.streams, stream->name, stream);
      log_event (LOG_LEVEL_INFO, "claims_opened", "stream", name, NULL);
    }
  if (stream != NULL)
    stream->used_us = control_now_us (ctrl);
  return stream;
}

static void
on_probe (const platform_read_t *read, void *context)
{
  control_call_t *call = context;
  control_t *ctrl = call->ctrl;
  if (!control_call_end (call))
    return;
  ctrl->claims.probe_call = NULL;
  set_log_available (ctrl, read->outcome == PLATFORM_OK);
}

/* While the log is down claims are refused without a call, so none of them would notice its
 * recovery. Only daemons with recent claim requests probe the log, at a growing interval, so that a
 * recovering log isn't flooded with probes. */
static void
probe_log (control_t *ctrl)
{
  control_claims_t *claims = &ctrl->claims;
  uint64_t now_us = control_now_us (ctrl);
  if (!claims->down || claims->probe_call != NULL || now_us < claims->probe_us)
    return;
  if (claims->requested_us == 0 || now_us - claims->requested_us > PROBE_AFTER_CLAIM_US)
    return;
  claims->probe_wait_us = MIN (claims->probe_wait_us * 2, PROBE_MAX_US);
  claims->probe_us = now_us + control_add_jitter (ctrl, claims->probe_wait_us);
  claims->probe_call = control_call_new (ctrl);
  exchange_charge_budget (ctrl->exchange, CONTROL_REQUEST_BYTES);
  uint64_t from_offset = replay_next (ctrl->manifest.replay).offset;
  ctrl->platform->read (ctrl->platform, REPLAY_STREAM, from_offset, 1, 0, on_probe,
                        claims->probe_call);
}

static void
refuse_claim (control_t *ctrl, const message_claim_t *message)
{
  claim_result_t result = {
    .claim_id = { message->claim_id[0], message->claim_id[1] },
    .verdict = CLAIM_LOG_DOWN,
    .owner = message->owner,
  };
  send_result (ctrl, message->stream, &result);
}

static void
update_gauges (control_t *ctrl)
{
  uint64_t keys = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ctrl->claims.streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    keys += claim_key_count (((const control_claims_stream_t *)value)->claim_stream);
  control_set_gauge (ctrl, "medlarplank_claim_keys", "Idempotency keys remembered", keys);
  control_set_gauge (ctrl, "medlarplank_claim_streams", "Claims streams open",
                     g_hash_table_size (ctrl->claims.streams));
}

void
control_claims_init (control_t *ctrl)
{
  ctrl->claims.streams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, stream_free);
}

void
control_claims_clear (control_t *ctrl)
{
  g_hash_table_destroy (ctrl->claims.streams);
}

void
control_claims_tick (control_t *ctrl)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ctrl->claims.streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      send_results (value);
      advance_stream (value);
    }
  g_hash_table_foreach_remove (ctrl->claims.streams, close_if_idle, NULL);
  probe_log (ctrl);
  update_gauges (ctrl);
}

void
control_claims_note_era (control_t *ctrl, uint64_t era)
{
  GHashTableIter iter;
  gpointer value;
  if (era <= ctrl->claims.era)
    return;
  log_event (LOG_LEVEL_WARNING, "claims_restored", "era", LOG_U64 (era), "before",
             LOG_U64 (ctrl->claims.era), "streams",
             LOG_U64 (g_hash_table_size (ctrl->claims.streams)), NULL);
  ctrl->claims.era = era;
  ctrl->claims.pause_until_us = control_now_us (ctrl) + CLAIM_ERA_PAUSE_US;
  ctrl->manifest.poll.due_us = 0;
  g_hash_table_iter_init (&iter, ctrl->claims.streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      control_claims_stream_t *stream = value;
      claim_begin_era (stream->claim_stream, control_now_us (ctrl), era);
      stream->begun = false;
    }
}

uint64_t
control_claims_era (const control_t *ctrl)
{
  return ctrl->claims.era;
}

void
control_claims_note_log_read (control_t *ctrl, bool works)
{
  set_log_available (ctrl, works);
}

void
control_claims_request (control_t *ctrl, const message_claim_t *message)
{
  ctrl->claims.requested_us = control_now_us (ctrl);
  bool paused = control_now_us (ctrl) < ctrl->claims.pause_until_us;
  control_claims_stream_t *stream =
      ctrl->claims.down || paused ? NULL : open_stream (ctrl, message->stream);
  if (stream == NULL)
    {
      refuse_claim (ctrl, message);
      return;
    }
  claim_request (stream->claim_stream, control_now_us (ctrl), message->claim_id, &message->key,
                 message->expiry_us, message->owner);
  send_results (stream);
  advance_stream (stream);
}

void
control_claims_finish (control_t *ctrl, const message_claim_end_t *message)
{
  control_claims_stream_t *stream = open_stream (ctrl, message->stream);
  if (stream == NULL)
    return; /* the key stays claimed; repeated requests are told that it may have run */
  if (message->ran)
    claim_finish (stream->claim_stream, message->claim_id, &message->key, message->status);
  else
    claim_release (stream->claim_stream, message->claim_id, &message->key);
  advance_stream (stream);
}

bool
control_claims_is_idle (const control_t *ctrl)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ctrl->claims.streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const control_claims_stream_t *stream = value;
      if (stream->append_call != NULL || claim_has_work (stream->claim_stream))
        return false;
    }
  return true;
}
