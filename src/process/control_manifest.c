#include "process/control_private.h"

#include "base/log.h"

#include <string.h>

#define SOURCE "manifest"
#define READ_MAX_RECORDS 200
#define LONG_POLL_MS 3000
/* Daemons that aren't followers read the log when a peer has a higher version, and at this
 * interval. */
#define RECHECK_US (30 * CLOCK_US_PER_S)
#define RETRY_US (250 * CLOCK_US_PER_MS)
#define NO_PROGRESS_WAIT_US (1 * CLOCK_US_PER_S)
/* A daemon that has been behind a peer for this long fetches the manifest from the peer: the
 * shorter delay applies while the log is down, the longer one while it is only slow, as the log
 * brings a patch of some hundred bytes instead of the whole manifest. */
#define FETCH_AFTER_LOG_DOWN_US (500 * CLOCK_US_PER_MS)
#define FETCH_AFTER_LOG_SLOW_US (1500 * CLOCK_US_PER_MS)
/* Calls that a follower makes when it reads a new version: one for each 64 peers, up to 4. With
 * more, thousands of daemons would read the log at once. In a small fleet most daemons are
 * followers, and calls would only use up the byte budgets. */
#define VERSION_CALLS_MAX 4
#define PEERS_PER_VERSION_CALL 64
#define CHECKPOINT_RECORDS 64
/* Until a follower appends a version that the log lost, and until it does so again. */
#define RESTORE_WAIT_MIN_S 0.1
#define RESTORE_WAIT_MAX_S 1
#define RESTORE_AGAIN_US (2 * CLOCK_US_PER_S)
#define CHECKPOINT_MAX_WAIT_S 10
#define CHECKPOINTS_PER_RETENTION 4

static const char *
verdict_name (replay_verdict_t verdict)
{
  switch (verdict)
    {
    case REPLAY_ACCEPTED:
      return "accepted";
    case REPLAY_STALE_BASE:
      return "stale_base";
    case REPLAY_INVALID:
      return "invalid";
    case REPLAY_REPEATED:
      return "repeated";
    case REPLAY_CHECKPOINT_USED:
      return "checkpoint_used";
    case REPLAY_CHECKPOINT_SEEN:
      return "checkpoint_seen";
    case REPLAY_RESTORED:
      return "restored";
    case REPLAY_RESTORE_SEEN:
      return "restore_seen";
    case REPLAY_SKIPPED:
      break;
    }
  return "skipped";
}

static void
log_verdict (const replay_result_t *result, position_t position)
{
  bool quiet = result->verdict == REPLAY_SKIPPED || result->verdict == REPLAY_CHECKPOINT_SEEN ||
               result->verdict == REPLAY_RESTORE_SEEN;
  log_event (quiet ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO, "manifest_record", "verdict",
             verdict_name (result->verdict), "offset", LOG_U64 (position.offset), "era",
             LOG_U64 (position.era), "id", result->id, "version", LOG_U64 (result->version),
             "reason", result->reason[0] != '\0' ? result->reason : NULL, NULL);
}

static void
apply_record (control_t *ctrl, const platform_record_t *record)
{
  control_manifest_t *manifest = &ctrl->manifest;
  replay_result_t result =
      replay_apply (manifest->replay, record->position, record->data, record->data_bytes);
  log_verdict (&result, record->position);
  if (result.verdict == REPLAY_CHECKPOINT_SEEN || result.verdict == REPLAY_CHECKPOINT_USED)
    manifest->checkpoint_seen_us = control_now_us (ctrl);
  if (result.verdict == REPLAY_STALE_BASE || result.verdict == REPLAY_INVALID)
    control_count_event (ctrl, "medlarplank_manifest_refused_total",
                         "Records of the manifest stream that were refused");
}

/* Return: the delay until the next read. */
static uint64_t
next_read_wait_us (control_t *ctrl, const platform_read_t *read, position_t next_before)
{
  position_t next = replay_next (ctrl->manifest.replay);
  if (position_is_before (next, read->end))
    return position_equal (next, next_before) ? NO_PROGRESS_WAIT_US : 0;
  if (ctrl->peers.is_follower)
    return 0;
  return control_add_jitter (ctrl, RECHECK_US);
}

/* The log came back from a copy: the reader begins anew, and keeps the version in force. Without a
 * new era, an end before the reader's position is an error of the platform. */
static void
note_era (control_t *ctrl, const platform_read_t *read)
{
  position_t next = replay_next (ctrl->manifest.replay);
  if (read->end.era > next.era)
    {
      log_event (LOG_LEVEL_WARNING, "log_restored", "era", LOG_U64 (read->end.era), "before",
                 LOG_U64 (next.era), "end", LOG_U64 (read->end.offset), "read_to",
                 LOG_U64 (next.offset), "version", LOG_U64 (control_manifest_version (ctrl)), NULL);
      control_count_event (ctrl, "medlarplank_log_restorations_total",
                           "Times that the log came back from a copy");
      ctrl->manifest.restore_due_us =
          control_now_us (ctrl) +
          (uint64_t)(g_rand_double_range (ctrl->rand, RESTORE_WAIT_MIN_S, RESTORE_WAIT_MAX_S) *
                     CLOCK_US_PER_S);
      control_claims_note_era (ctrl, read->end.era);
    }
  else if (position_is_before (read->end, next) && read->end.era == next.era)
    log_event (LOG_LEVEL_ERROR, "log_went_back", "end", LOG_U64 (read->end.offset), "read_to",
               LOG_U64 (next.offset), NULL);
}

static void
apply_records (control_t *ctrl, const platform_read_t *read, uint64_t started_us)
{
  replay_t *replay = ctrl->manifest.replay;
  position_t next_before = replay_next (replay);
  note_era (ctrl, read);
  replay_set_first (replay, read->first);
  replay_set_end (replay, read->end);
  for (uint32_t i = 0; i < read->record_count; i++)
    apply_record (ctrl, &read->records[i]);
  uint64_t wait_us = next_read_wait_us (ctrl, read, next_before);
  control_poll_succeeded (ctrl, &ctrl->manifest.poll, SOURCE, wait_us);
  control_manifest_send_if_changed (ctrl);
  if (!position_is_before (replay_next (replay), read->end))
    control_freshness_note_log_read (ctrl, started_us, true);
}

static void
on_read (const platform_read_t *read, void *context)
{
  control_call_t *call = context;
  control_t *ctrl = call->ctrl;
  uint64_t started_us = call->started_us;
  if (!control_call_end (call))
    return;
  bool worked = read->outcome == PLATFORM_OK;
  control_claims_note_log_read (ctrl, worked);
  if (worked)
    {
      apply_records (ctrl, read, started_us);
    }
  else
    {
      control_poll_failed (ctrl, &ctrl->manifest.poll, SOURCE, RETRY_US);
      control_freshness_note_log_read (ctrl, started_us, false);
    }
  control_set_gauge (ctrl, "medlarplank_log_up", "Whether the last reading of the log worked",
                     worked);
}

/* The first read after a start or a pause returns at once, as the daemon is stale until then. */
static void
start_read (control_t *ctrl)
{
  control_poll_t *poll = &ctrl->manifest.poll;
  if (poll->call != NULL || control_now_us (ctrl) < poll->due_us)
    return;
  bool may_wait = ctrl->peers.is_follower && ctrl->freshness.log_ok && !poll->down;
  poll->call = control_call_new (ctrl);
  exchange_charge_budget (ctrl->exchange, CONTROL_LOG_READ_BYTES);
  ctrl->platform->read (ctrl->platform, REPLAY_STREAM, replay_next (ctrl->manifest.replay).offset,
                        READ_MAX_RECORDS, may_wait ? LONG_POLL_MS : 0, on_read, poll->call);
}

static const membership_host_t *
find_fetch_peer (control_t *ctrl)
{
  if (ctrl->peers.members == NULL)
    return NULL;
  const membership_host_t *host =
      membership_find_by_hash (ctrl->peers.members, ctrl->manifest.source_hash);
  return host != NULL ? host : control_pick_any_peer (ctrl);
}

/* A daemon also fetches from a peer when it can't follow the log: it was behind for longer than
 * records are retained, or has found no checkpoint that it may trust. */
static void
catch_up_from_peer (control_t *ctrl)
{
  control_manifest_t *manifest = &ctrl->manifest;
  uint64_t now_us = control_now_us (ctrl);
  uint64_t fetch_after_us = manifest->poll.down ? FETCH_AFTER_LOG_DOWN_US : FETCH_AFTER_LOG_SLOW_US;
  bool behind = manifest->behind_since_us != 0 &&
                manifest->source_version > control_manifest_version (ctrl) &&
                now_us - manifest->behind_since_us >= fetch_after_us;
  bool out_of_sync =
      !replay_is_ready (manifest->replay) && (manifest->poll.down || ctrl->freshness.log_ok);
  bool needs_state =
      out_of_sync && (manifest->peer_version != 0 || control_manifest_version (ctrl) != 0);
  if (!behind && !needs_state)
    return;
  const membership_host_t *host = find_fetch_peer (ctrl);
  if (host != NULL)
    control_fetch_start (ctrl, host);
}

static void
on_checkpoint (platform_outcome_t outcome, position_t position, void *context)
{
  control_call_t *call = context;
  control_t *ctrl = call->ctrl;
  bool wanted = control_call_end (call);
  if (!wanted)
    return;
  control_manifest_t *manifest = &ctrl->manifest;
  manifest->checkpoint_call = NULL;
  g_clear_pointer (&manifest->checkpoint, g_free);
  log_event (LOG_LEVEL_INFO, "checkpoint", "outcome",
             outcome == PLATFORM_OK ? "appended" : "failed", "offset", LOG_U64 (position.offset),
             "version", LOG_U64 (control_manifest_version (ctrl)), NULL);
  if (outcome == PLATFORM_OK)
    control_count_event (ctrl, "medlarplank_checkpoints_total",
                         "Checkpoints of the manifest appended");
}

static void
on_restore (platform_outcome_t outcome, position_t position, void *context)
{
  control_call_t *call = context;
  control_t *ctrl = call->ctrl;
  if (!control_call_end (call))
    return;
  ctrl->manifest.restore_call = NULL;
  g_clear_pointer (&ctrl->manifest.restore, g_free);
  log_event (LOG_LEVEL_NOTICE, "version_restored", "outcome",
             outcome == PLATFORM_OK ? "appended" : "failed", "offset", LOG_U64 (position.offset),
             "era", LOG_U64 (position.era), "version", LOG_U64 (control_manifest_version (ctrl)),
             NULL);
}

/* Waits a random time, so that usually only one of the followers appends the version that the log
 * has lost. Another one does if it isn't read back in time. */
static void
append_restore_if_due (control_t *ctrl)
{
  control_manifest_t *manifest = &ctrl->manifest;
  uint64_t now_us = control_now_us (ctrl);
  if (!ctrl->peers.is_follower || manifest->poll.down || manifest->restore_call != NULL ||
      now_us < manifest->restore_due_us || !replay_restore_due (manifest->replay))
    return;
  manifest->restore_due_us = now_us + control_add_jitter (ctrl, RESTORE_AGAIN_US);
  manifest->restore = replay_format_restore (manifest->replay);
  size_t bytes = strlen (manifest->restore);
  manifest->restore_call = control_call_new (ctrl);
  exchange_charge_budget (ctrl->exchange, (uint32_t)bytes + CONTROL_REQUEST_BYTES);
  ctrl->platform->append (ctrl->platform, REPLAY_STREAM, manifest->restore, bytes, on_restore,
                          manifest->restore_call);
}

static bool
is_checkpoint_due (control_t *ctrl)
{
  const control_manifest_t *manifest = &ctrl->manifest;
  if (!ctrl->peers.is_follower || manifest->poll.down || !replay_is_ready (manifest->replay))
    return false;
  if (replay_checkpoint_due (manifest->replay, CHECKPOINT_RECORDS))
    return true;
  uint64_t retention_us = (uint64_t)ctrl->daemon->settings.log_retention_s * CLOCK_US_PER_S;
  uint64_t age_us = control_now_us (ctrl) - manifest->checkpoint_seen_us;
  return age_us > retention_us / CHECKPOINTS_PER_RETENTION;
}

/* Waits a random time, so that usually only one of the daemons that find a checkpoint due appends
 * it. */
static void
append_checkpoint_if_due (control_t *ctrl)
{
  control_manifest_t *manifest = &ctrl->manifest;
  uint64_t now_us = control_now_us (ctrl);
  if (manifest->checkpoint_call != NULL)
    return;
  if (!is_checkpoint_due (ctrl))
    {
      manifest->checkpoint_due_us = 0;
      return;
    }
  if (manifest->checkpoint_due_us == 0)
    {
      double wait_s = g_rand_double_range (ctrl->rand, 0.1, CHECKPOINT_MAX_WAIT_S);
      manifest->checkpoint_due_us = now_us + (uint64_t)(wait_s * CLOCK_US_PER_S);
    }
  if (now_us < manifest->checkpoint_due_us)
    return;
  /* No other checkpoint before this, even if the append fails or the checkpoint is not read back
   * yet. */
  manifest->checkpoint_due_us = now_us + 2 * CHECKPOINT_MAX_WAIT_S * CLOCK_US_PER_S;
  manifest->checkpoint = replay_format_checkpoint (manifest->replay);
  if (manifest->checkpoint == NULL)
    return;
  size_t bytes = strlen (manifest->checkpoint);
  manifest->checkpoint_call = control_call_new (ctrl);
  exchange_charge_budget (ctrl->exchange, (uint32_t)bytes + CONTROL_REQUEST_BYTES);
  ctrl->platform->append (ctrl->platform, REPLAY_STREAM, manifest->checkpoint, bytes, on_checkpoint,
                          manifest->checkpoint_call);
}

void
control_manifest_init (control_t *ctrl)
{
  ctrl->manifest.replay = replay_new ();
  ctrl->manifest.checkpoint_seen_us = control_now_us (ctrl);
}

void
control_manifest_clear (control_t *ctrl)
{
  g_free (ctrl->manifest.checkpoint);
  g_free (ctrl->manifest.restore);
  replay_free (ctrl->manifest.replay);
}

uint64_t
control_manifest_version (const control_t *ctrl)
{
  const manifest_t *manifest = replay_manifest (ctrl->manifest.replay);
  return manifest != NULL ? manifest->version : 0;
}

void
control_manifest_send_if_changed (control_t *ctrl)
{
  control_manifest_t *manifest = &ctrl->manifest;
  uint64_t version = control_manifest_version (ctrl);
  if (version >= manifest->peer_version)
    manifest->behind_since_us = 0;
  if (!replay_is_ready (manifest->replay) || version < manifest->sent_version)
    return;
  manifest_t *man = replay_manifest (manifest->replay);
  position_t next = replay_next (manifest->replay);
  bool same = version == manifest->sent_version && strcmp (man->digest, manifest->sent_digest) == 0;
  if (same && (next.era == manifest->sent_era || !replay_is_confirmed (manifest->replay)))
    return;
  manifest->sent_era = replay_is_confirmed (manifest->replay) ? next.era : manifest->sent_era;
  g_strlcpy (manifest->sent_digest, man->digest, sizeof manifest->sent_digest);
  log_event (LOG_LEVEL_NOTICE, "version_in_force", "version", LOG_U64 (version), "digest",
             man->digest, "before", LOG_U64 (manifest->sent_version), NULL);
  control_set_gauge (ctrl, "medlarplank_manifest_version", "Version of the manifest in force here",
                     version);
  manifest->sent_version = version;
  control_peers_rebuild (ctrl);
  if (ctrl->peers.is_follower)
    control_exchange_call_random (
        ctrl, MIN (VERSION_CALLS_MAX, ctrl->peers.all->len / PEERS_PER_VERSION_CALL));
  control_exchange_update_services (ctrl);
  message_version_t *message = message_new (MESSAGE_VERSION);
  message->manifest = manifest_ref (man);
  message->next = next;
  control_send_to_data (ctrl, message);
}

void
control_manifest_note_version (control_t *ctrl, uint64_t version, uint64_t host_hash)
{
  control_manifest_t *manifest = &ctrl->manifest;
  if (host_hash == manifest->source_hash)
    manifest->source_version = version;
  if (version <= control_manifest_version (ctrl))
    return;
  /* The host with the highest version may have been killed: once it was tried, an older version
   * that is newer than here will do, or none would come into force while the log is down. */
  if (version >= manifest->peer_version || manifest->source_tried)
    {
      manifest->source_hash = host_hash;
      manifest->source_version = version;
      manifest->source_tried = false;
    }
  if (version < manifest->peer_version)
    return;
  manifest->peer_version = version;
  /* A log that was down is read once before its back-off ends: after an outage for many daemons it
   * brings each a patch, where peers would send each the whole manifest. */
  bool first = manifest->behind_since_us == 0;
  if (first)
    manifest->behind_since_us = control_now_us (ctrl);
  if (first || !manifest->poll.down)
    manifest->poll.due_us = 0;
}

void
control_manifest_tick (control_t *ctrl)
{
  start_read (ctrl);
  catch_up_from_peer (ctrl);
  append_checkpoint_if_due (ctrl);
  append_restore_if_due (ctrl);
}
