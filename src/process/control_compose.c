#include "process/control_private.h"

/* Part of the byte budget that is reserved for reading the host list and the log, by whether the
 * daemon follows them. */
#define FOLLOW_BYTES_S 400
#define RECHECK_BYTES_S 100
#define MESSAGES_PER_INTERVAL 2 /* one call, and on average one reply */
/* Size of a message without samples, with headers and an occasional state report. */
#define MESSAGE_BASE_BYTES 200
#define SAMPLE_BYTES 32

static xch_word
encode_report (const membership_report_t *report)
{
  xch_word out = {
    .host_hash = report->host_hash,
    .incarnation = report->incarnation,
    .sequence = report->sequence,
    .state = report->state,
  };
  return out;
}

static void
put_sample (xch_message *message, uint64_t now_us, const load_sample_t *sample)
{
  xch_sample *out = &message->samples.samples_val[message->samples.samples_len++];
  out->engine_hash = sample->engine_hash;
  out->service_hash = sample->service_hash;
  out->load = sample->load;
  out->waiting = sample->waiting;
  out->cost = sample->cost;
  out->age_ms = (uint32_t)((now_us - MIN (now_us, sample->taken_us)) / CLOCK_US_PER_MS);
}

/* The number of samples in a message, such that the regular traffic stays within nine tenths of the
 * byte budget. Fewer samples are better than a message that is held back. */
static uint32_t
samples_per_message (const control_t *ctrl)
{
  const settings_t *settings = &ctrl->daemon->settings;
  uint32_t platform_bytes = ctrl->peers.is_follower ? FOLLOW_BYTES_S : RECHECK_BYTES_S;
  uint64_t budget_bytes = MAX (settings->control_budget_bytes, platform_bytes) - platform_bytes;
  uint64_t interval_bytes = budget_bytes * settings->exchange_interval_ms / 1000 * 9 / 10;
  uint64_t message_bytes = interval_bytes / MESSAGES_PER_INTERVAL;
  if (message_bytes < MESSAGE_BASE_BYTES + SAMPLE_BYTES)
    return 1;
  return (uint32_t)MIN ((message_bytes - MESSAGE_BASE_BYTES) / SAMPLE_BYTES, XCH_SAMPLES);
}

static void
put_samples_of (xch_message *message, uint64_t now_us, load_samples_t *table, uint32_t limit)
{
  load_sample_t picked[XCH_SAMPLES];
  if (message->samples.samples_len >= limit)
    return;
  uint32_t count = load_samples_pick (table, now_us, picked, limit - message->samples.samples_len);
  for (uint32_t i = 0; i < count; i++)
    put_sample (message, now_us, &picked[i]);
}

static load_samples_t *
random_table (control_t *ctrl)
{
  guint count = g_hash_table_size (ctrl->talk.samples);
  if (count == 0)
    return NULL;
  gint32 skip = g_rand_int_range (ctrl->rand, 0, (gint32)count);
  GHashTableIter iter;
  gpointer table;
  g_hash_table_iter_init (&iter, ctrl->talk.samples);
  while (g_hash_table_iter_next (&iter, NULL, &table))
    {
      if (skip-- == 0)
        break;
    }
  return table;
}

static bool
has_fresh_own_sample (const control_t *ctrl, uint64_t now_us)
{
  const control_exchange_t *exchange = &ctrl->talk;
  return exchange->has_own_sample &&
         exchange->own_sample.taken_us + LIMIT_LOAD_SAMPLE_AGE_US >= now_us;
}

/* The service of a host that is a sidecar, NULL for others. */
static const manifest_service_t *
service_of_host (const control_t *ctrl, uint64_t host_hash)
{
  const manifest_t *manifest = replay_manifest (ctrl->manifest.replay);
  if (manifest == NULL || ctrl->peers.members == NULL)
    return NULL;
  const membership_host_t *host = membership_find_by_hash (ctrl->peers.members, host_hash);
  return host != NULL && !host->is_router ? manifest_service_of_engine (manifest, host->name)
                                          : NULL;
}

/* Routers need the samples of all services. A sidecar gives three quarters of @room to its own
 * service and a quarter to a random other one; a router picks two services at random. */
static void
put_samples_of_two_services (control_t *ctrl, xch_message *message, uint64_t now_us, uint32_t room)
{
  load_samples_t *first = NULL;
  if (has_fresh_own_sample (ctrl, now_us))
    first = control_exchange_find_samples (ctrl, ctrl->talk.own_sample.service_hash);
  else
    first = random_table (ctrl);
  if (first == NULL)
    return;
  load_samples_t *second = random_table (ctrl);
  put_samples_of (message, now_us, first, second == first ? room : room - room / 4);
  if (second != first)
    put_samples_of (message, now_us, second, room);
}

/* A sidecar always sends the load of its own engine, which it knows best. The remaining samples are
 * those that the receiver uses: a sidecar uses those of its own service only. */
static void
fill_samples (control_t *ctrl, xch_message *message, uint64_t now_us, uint64_t host_hash)
{
  uint32_t room = samples_per_message (ctrl);
  if (has_fresh_own_sample (ctrl, now_us))
    put_sample (message, now_us, &ctrl->talk.own_sample);
  const manifest_service_t *service = service_of_host (ctrl, host_hash);
  load_samples_t *table =
      service != NULL ? control_exchange_find_samples (ctrl, service->hash) : NULL;
  if (table != NULL)
    put_samples_of (message, now_us, table, room);
  else
    put_samples_of_two_services (ctrl, message, now_us, room);
}

/*
 * What the receiver may not know about itself: that it leaves according to the host list or to a
 * later incarnation. It may have been paused, it may read an outdated copy of the list, or the list
 * may be unreachable by now.
 *
 * Return: false when there is nothing to report
 */
static bool
report_on_receiver (const control_t *ctrl,
                    uint64_t host_hash,
                    uint64_t incarnation,
                    membership_report_t *out)
{
  membership_report_t last;
  switch (membership_find_leave (ctrl->membership, host_hash, incarnation))
    {
    case MEMBERSHIP_LEAVE_INCARNATION:
      *out = (membership_report_t){ host_hash, incarnation, 0, MEMBERSHIP_LEAVING };
      return true;
    case MEMBERSHIP_LEAVE_LISTED:
      *out = (membership_report_t){ host_hash, CONTROL_ANY_INCARNATION, 0, MEMBERSHIP_LEAVING };
      return true;
    case MEMBERSHIP_LEAVE_NONE:
      break;
    }
  if (!membership_last_report (ctrl->membership, host_hash, &last) ||
      last.incarnation <= incarnation)
    return false;
  *out = last;
  return true;
}

/* In a call the report on the receiver is about its last known incarnation; in a reply, about the
 * one that called. */
static void
fill_reports (control_t *ctrl, xch_message *message, const xch_word *to)
{
  membership_report_t reports[XCH_WORDS];
  uint32_t count = 0;
  membership_report_t last = { 0 };
  uint64_t receiver_hash = to != NULL ? to->host_hash : ctrl->talk.callee_hash;
  if (to != NULL)
    last.incarnation = to->incarnation;
  else
    membership_last_report (ctrl->membership, receiver_hash, &last);
  if (report_on_receiver (ctrl, receiver_hash, last.incarnation, &reports[0]))
    count = 1;
  count += gossip_take_reports (&ctrl->talk.gossip, reports + count, XCH_WORDS - count);
  for (uint32_t i = 0; i < count; i++)
    message->words.words_val[i] = encode_report (&reports[i]);
  message->words.words_len = count;
}

static void
fill_marks (control_t *ctrl, xch_message *message, uint64_t now_us)
{
  suspect_mark_t marks[XCH_MARKS];
  uint32_t count = gossip_take_marks (&ctrl->talk.gossip, now_us, marks, XCH_MARKS);
  for (uint32_t i = 0; i < count; i++)
    {
      xch_mark *out = &message->marks.marks_val[i];
      out->fingerprint = marks[i].fingerprint;
      out->engines[0] = marks[i].engines[0];
      out->engines[1] = marks[i].engines[1];
      out->age_ms = marks[i].age_ms;
    }
  message->marks.marks_len = count;
}

membership_report_t
control_exchange_next_own_report (control_t *ctrl)
{
  membership_report_t report = {
    .host_hash = ctrl->own_hash,
    .incarnation = ctrl->daemon->incarnation,
    .sequence = ++ctrl->talk.sequence,
    .state = ctrl->stop.leaving ? MEMBERSHIP_LEAVING : MEMBERSHIP_LIVE,
  };
  return report;
}

load_samples_t *
control_exchange_find_samples (const control_t *ctrl, uint64_t service_hash)
{
  return g_hash_table_lookup (ctrl->talk.samples, &service_hash);
}

void
control_exchange_compose (xch_message *message, const xch_word *to, void *context)
{
  control_t *ctrl = context;
  uint64_t now_us = control_now_us (ctrl);
  membership_report_t own = control_exchange_next_own_report (ctrl);
  message->sender = encode_report (&own);
  message->manifest_version = control_manifest_version (ctrl);
  message->manifest_offset = replay_next (ctrl->manifest.replay).offset;
  message->list_revision = ctrl->list.revision;
  message->routers_offset = control_claims_era (ctrl);
  fill_samples (ctrl, message, now_us, to != NULL ? to->host_hash : ctrl->talk.callee_hash);
  fill_reports (ctrl, message, to);
  fill_marks (ctrl, message, now_us);
}
