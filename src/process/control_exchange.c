#include "process/control_private.h"

#include "base/log.h"
#include "request/policy/placement/rendezvous.h"

/* A message with news triggers calls to this many peers at once. The news then reaches most of the
 * fleet within a few round trips instead of a few exchange intervals. */
#define NEWS_FANOUT 2
#define CONFLICT_LOG_INTERVAL_US (10 * CLOCK_US_PER_S)

/* Return: false when the state is not a valid one. */
static bool
decode_report (const xch_word *report, membership_report_t *out)
{
  if (report->state > MEMBERSHIP_GONE)
    return false;
  out->host_hash = report->host_hash;
  out->incarnation = report->incarnation;
  out->sequence = report->sequence;
  out->state = report->state;
  return true;
}

/* Either two processes run under this host's name, or the clock went back between two starts of it:
 * then the later process has the lower incarnation, and peers ignore its messages. Only an operator
 * can resolve this. */
static void
report_name_conflict (control_t *ctrl, uint64_t other_incarnation)
{
  uint64_t now_us = control_now_us (ctrl);
  control_count_event (ctrl, "medlarplank_incarnation_conflicts_total",
                       "Times a later incarnation of this host's own name was heard");
  if (ctrl->conflict_logged_us != 0 && now_us - ctrl->conflict_logged_us < CONFLICT_LOG_INTERVAL_US)
    return;
  ctrl->conflict_logged_us = now_us;
  log_event (LOG_LEVEL_ERROR, "higher_incarnation_of_own_name", "own",
             LOG_U64 (ctrl->daemon->incarnation), "heard", LOG_U64 (other_incarnation), NULL);
}

static void
apply_report_on_self (control_t *ctrl, const membership_report_t *report, uint64_t list_revision)
{
  if (report->incarnation == CONTROL_ANY_INCARNATION)
    {
      if (report->state == MEMBERSHIP_LEAVING)
        control_list_note_own_leaving (ctrl, list_revision);
    }
  else if (report->incarnation > ctrl->daemon->incarnation)
    report_name_conflict (ctrl, report->incarnation);
  else if (report->incarnation == ctrl->daemon->incarnation && report->state != MEMBERSHIP_LIVE)
    control_stop_start_leaving (ctrl, "peer");
}

/* Return: whether the report is to be passed on. A live host that only this daemon had not heard
 * of, because it has just started, is no news to others; passing that on would repeat the reports
 * of all hosts for minutes. */
static bool
apply_report (control_t *ctrl, const membership_report_t *report)
{
  membership_report_t last;
  bool known = membership_last_report (ctrl->membership, report->host_hash, &last);
  bool changed = membership_apply_report (ctrl->membership, control_now_us (ctrl), report);
  bool news = changed && (known || report->state != MEMBERSHIP_LIVE);
  if (news)
    gossip_add_report (&ctrl->talk.gossip, report);
  return news;
}

static bool
receive_report (control_t *ctrl, const xch_word *received, uint64_t list_revision)
{
  membership_report_t report;
  if (!decode_report (received, &report))
    return false;
  if (report.host_hash != ctrl->own_hash)
    return apply_report (ctrl, &report);
  apply_report_on_self (ctrl, &report, list_revision);
  return false;
}

/* Return: false when the sample is too old, of an unknown service or host, or of the own engine. */
static bool
accept_sample (control_t *ctrl, uint64_t now_us, const xch_sample *received, load_sample_t *out)
{
  uint64_t age_us = (uint64_t)received->age_ms * CLOCK_US_PER_MS;
  load_samples_t *table = control_exchange_find_samples (ctrl, received->service_hash);
  if (age_us > LIMIT_LOAD_SAMPLE_AGE_US || age_us > now_us || table == NULL ||
      received->engine_hash == ctrl->own_hash ||
      membership_find_by_hash (ctrl->peers.members, received->engine_hash) == NULL)
    return false;
  out->engine_hash = received->engine_hash;
  out->service_hash = received->service_hash;
  out->load = received->load;
  out->waiting = received->waiting;
  out->cost = received->cost;
  out->taken_us = now_us - age_us;
  load_samples_add (table, out);
  return true;
}

static void
receive_samples (control_t *ctrl, const xch_message *message)
{
  uint64_t now_us = control_now_us (ctrl);
  message_load_samples_t *samples = message_new (MESSAGE_LOAD_SAMPLES);
  for (uint32_t i = 0; i < message->samples.samples_len; i++)
    {
      if (accept_sample (ctrl, now_us, &message->samples.samples_val[i],
                         &samples->samples[samples->count]))
        samples->count++;
    }
  if (samples->count > 0)
    control_send_to_data (ctrl, samples);
  else
    samples->head.free (&samples->head);
}

static bool
receive_marks (control_t *ctrl, const xch_message *message)
{
  message_crash_marks_t *marks = message_new (MESSAGE_CRASH_MARKS);
  for (uint32_t i = 0; i < message->marks.marks_len; i++)
    {
      const xch_mark *received = &message->marks.marks_val[i];
      suspect_mark_t mark = {
        .fingerprint = received->fingerprint,
        .engines = { received->engines[0], received->engines[1] },
        .age_ms = received->age_ms,
      };
      if (gossip_add_mark (&ctrl->talk.gossip, control_now_us (ctrl), &mark))
        marks->marks[marks->count++] = mark;
    }
  bool news = marks->count > 0;
  if (news)
    control_send_to_data (ctrl, marks);
  else
    marks->head.free (&marks->head);
  return news;
}

/* Only within the byte budget; when there is much news, the periodic messages carry it. */
static void
spread_news (control_t *ctrl)
{
  if (exchange_has_spare_budget (ctrl->exchange))
    control_exchange_call_random (ctrl, NEWS_FANOUT);
}

/* Whether the sender is a listed host and this is the newest message received from it. */
static bool
is_newer_message (control_t *ctrl, const membership_report_t *sender)
{
  if (ctrl->peers.members == NULL || sender->host_hash == ctrl->own_hash ||
      membership_find_by_hash (ctrl->peers.members, sender->host_hash) == NULL)
    {
      counter_add (ctrl->talk.unlisted, 1);
      return false;
    }
  membership_report_t last;
  if (!membership_last_report (ctrl->membership, sender->host_hash, &last))
    return true;
  bool newer = sender->incarnation > last.incarnation ||
               (sender->incarnation == last.incarnation && sender->sequence > last.sequence);
  if (!newer)
    counter_add (ctrl->talk.old_messages, 1);
  return newer;
}

static void
apply_message (control_t *ctrl, const membership_report_t *sender, const xch_message *message)
{
  ctrl->talk.last_received_us = control_now_us (ctrl);
  bool news = apply_report (ctrl, sender);
  for (uint32_t i = 0; i < message->words.words_len; i++)
    news = receive_report (ctrl, &message->words.words_val[i], message->list_revision) || news;
  control_members_send_if_due (ctrl);
  receive_samples (ctrl, message);
  news = receive_marks (ctrl, message) || news;
  control_manifest_note_version (ctrl, message->manifest_version, sender->host_hash);
  control_list_note_revision (ctrl, message->list_revision);
  control_claims_note_era (ctrl, message->routers_offset);
  if (news)
    spread_news (ctrl);
}

/* A message of an older incarnation is still answered: the reply tells that process that it was
 * replaced. */
static bool
is_older_incarnation (const control_t *ctrl, const membership_report_t *sender)
{
  membership_report_t last;
  return membership_last_report (ctrl->membership, sender->host_hash, &last) &&
         sender->incarnation < last.incarnation;
}

static uint64_t *
new_hash_key (uint64_t hash)
{
  uint64_t *key = g_new (uint64_t, 1);
  *key = hash;
  return key;
}

static gboolean
is_unknown_service (gpointer key, gpointer value, gpointer data)
{
  const manifest_t *manifest = data;
  (void)value;
  for (uint32_t i = 0; i < manifest->service_count; i++)
    {
      if (manifest->services[i].hash == *(const uint64_t *)key)
        return FALSE;
    }
  return TRUE;
}

void
control_exchange_init (control_t *ctrl)
{
  control_exchange_t *exchange = &ctrl->talk;
  gossip_init (&exchange->gossip);
  exchange->samples = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  exchange->old_messages =
      counter_get (ctrl->daemon->counters, "medlarplank_control_old_total",
                   "Messages dropped as a later one of their sender was heard before");
  exchange->unlisted = counter_get (ctrl->daemon->counters, "medlarplank_control_unlisted_total",
                                    "Messages dropped as their sender is not a listed host");
}

void
control_exchange_clear (control_t *ctrl)
{
  g_hash_table_destroy (ctrl->talk.samples);
}

bool
control_exchange_receive (const xch_message *message, bool is_reply, void *context)
{
  control_t *ctrl = context;
  membership_report_t sender;
  uint64_t woke_us = ctrl->freshness.pause.woke_us;
  control_freshness_check_pause (ctrl);
  /* It was in the socket buffer during the pause, so its age is unknown. */
  if (ctrl->freshness.pause.woke_us != woke_us || !decode_report (&message->sender, &sender))
    return false;
  if (!is_newer_message (ctrl, &sender))
    return is_older_incarnation (ctrl, &sender);
  apply_message (ctrl, &sender, message);
  if (is_reply)
    control_freshness_note_reply (ctrl, message->manifest_version);
  return true;
}

bool
control_exchange_pick_peer (address_t *peer, void *context)
{
  control_t *ctrl = context;
  control_freshness_check_pause (ctrl);
  const membership_host_t *host = control_pick_useful_peer (ctrl);
  if (host == NULL)
    return false;
  ctrl->talk.callee_hash = host->hash;
  *peer = host->exchange;
  return true;
}

void
control_exchange_call (control_t *ctrl, const membership_host_t *host)
{
  ctrl->talk.callee_hash = host->hash;
  exchange_send_now (ctrl->exchange, &host->exchange);
}

void
control_exchange_call_random (control_t *ctrl, uint32_t count)
{
  g_autoptr (GArray) peers = g_array_copy (ctrl->peers.all);
  count = MIN (count, peers->len);
  for (uint32_t i = 0; i < count; i++)
    {
      /* No peer twice: in a small fleet others would not be called. */
      guint at = (guint)g_rand_int_range (ctrl->rand, 0, (gint32)peers->len);
      uint32_t index = g_array_index (peers, uint32_t, at);
      g_array_remove_index_fast (peers, at);
      control_exchange_call (ctrl, &ctrl->peers.members->hosts[index]);
    }
}

void
control_exchange_apply_own_report (control_t *ctrl)
{
  membership_report_t report = control_exchange_next_own_report (ctrl);
  membership_apply_report (ctrl->membership, control_now_us (ctrl), &report);
  control_members_send_if_due (ctrl);
}

void
control_exchange_update_services (control_t *ctrl)
{
  manifest_t *manifest = replay_manifest (ctrl->manifest.replay);
  GHashTable *tables = ctrl->talk.samples;
  g_hash_table_foreach_remove (tables, is_unknown_service, manifest);
  for (uint32_t i = 0; i < manifest->service_count; i++)
    {
      uint64_t hash = manifest->services[i].hash;
      if (control_exchange_find_samples (ctrl, hash) != NULL)
        continue;
      load_samples_t *table = g_new (load_samples_t, 1);
      load_samples_init (table, hash ^ ctrl->own_hash);
      g_hash_table_insert (tables, new_hash_key (hash), table);
    }
}

void
control_exchange_set_own_sample (control_t *ctrl, const message_load_samples_t *message)
{
  if (message->count == 0)
    return;
  ctrl->talk.has_own_sample = true;
  ctrl->talk.own_sample = message->samples[0];
}

void
control_exchange_add_own_marks (control_t *ctrl, const message_crash_marks_t *message)
{
  bool news = false;
  for (uint32_t i = 0; i < message->count; i++)
    news = gossip_add_mark (&ctrl->talk.gossip, control_now_us (ctrl), &message->marks[i]) || news;
  if (news)
    spread_news (ctrl);
}
