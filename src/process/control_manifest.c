#include "process/control_private.h"

#include "base/log.h"

#include <string.h>

#define SOURCE "manifest"
#define READ_RECORDS 200
#define TAIL_WAIT_MS 3000
/* Daemons that do not follow the log read it when a peer has a higher version, and this often. */
#define RECHECK_US (30 * CLK_US_PER_S)
#define RETRY_US (250 * CLK_US_PER_MS)
#define STUCK_US (1 * CLK_US_PER_S)
/* Behind a peer for this long: take the version from the peer. A log that is only slow gets longer,
 * as it brings a patch of some hundred bytes where a peer brings the whole manifest. */
#define BEHIND_OUT_US (500 * CLK_US_PER_MS)
#define BEHIND_SLOW_US (1500 * CLK_US_PER_MS)
/* By those that follow the log. If all told others at once, thousands would read it at once. In a
 * small fleet most follow it, and would only use up each other's budget. */
#define TELLS_OF_VERSION 4
#define PEERS_PER_TELL 64
#define CHECKPOINT_RECORDS 64
#define CHECKPOINT_WAIT_S 10
#define CHECKPOINTS_PER_RETENTION 4

static const char *
verdict_name (rep_verdict_t verdict)
{
  switch (verdict)
    {
    case REP_ACCEPTED:
      return "accepted";
    case REP_STALE_BASE:
      return "stale_base";
    case REP_INVALID:
      return "invalid";
    case REP_REPEATED:
      return "repeated";
    case REP_CHECKPOINT_USED:
      return "checkpoint_used";
    case REP_CHECKPOINT_SEEN:
      return "checkpoint_seen";
    case REP_SKIPPED:
      break;
    }
  return "skipped";
}

static void
log_judgement (const rep_judgement_t *judgement, uint64_t offset)
{
  bool quiet = judgement->verdict == REP_SKIPPED || judgement->verdict == REP_CHECKPOINT_SEEN;
  log_event (quiet ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO, "manifest_record", "verdict",
             verdict_name (judgement->verdict), "offset", LOG_U64 (offset), "id", judgement->id,
             "version", LOG_U64 (judgement->version), "reason",
             judgement->reason[0] != '\0' ? judgement->reason : NULL, NULL);
}

static void
feed (ctrl_t *ctrl, const plt_record_t *record)
{
  ctrl_manifest_t *manifest = &ctrl->manifest;
  rep_judgement_t judgement =
      rep_feed (manifest->rep, record->offset, record->data, record->data_bytes);
  log_judgement (&judgement, record->offset);
  if (judgement.verdict == REP_CHECKPOINT_SEEN || judgement.verdict == REP_CHECKPOINT_USED)
    manifest->checkpoint_us = ctrl_now_us (ctrl);
  if (judgement.verdict == REP_STALE_BASE || judgement.verdict == REP_INVALID)
    ctrl_count (ctrl, "medlarplank_manifest_refused_total",
                "Records of the manifest stream that were refused");
}

/* Return: when to read again. */
static uint64_t
wait_after (ctrl_t *ctrl, const plt_read_t *read, uint64_t next_before)
{
  uint64_t next_offset = rep_next_offset (ctrl->manifest.rep);
  if (next_offset < read->end_offset)
    return next_offset != next_before ? 0 : STUCK_US;
  if (ctrl->peers.tails)
    return 0;
  return ctrl_jitter (ctrl, RECHECK_US);
}

static void
take_records (ctrl_t *ctrl, const plt_read_t *read, uint64_t started_us)
{
  rep_t *rep = ctrl->manifest.rep;
  uint64_t next_before = rep_next_offset (rep);
  if (read->end_offset < next_before)
    log_event (LOG_LEVEL_ERROR, "log_went_back", "end", LOG_U64 (read->end_offset), "read_to",
               LOG_U64 (next_before), NULL);
  rep_begin (rep, read->first_offset);
  rep_note_end (rep, read->end_offset);
  for (uint32_t i = 0; i < read->record_count; i++)
    feed (ctrl, &read->records[i]);
  uint64_t wait_us = wait_after (ctrl, read, next_before);
  ctrl_source_worked (ctrl, &ctrl->manifest.source, SOURCE, wait_us);
  ctrl_manifest_flush (ctrl);
  if (rep_next_offset (rep) >= read->end_offset)
    ctrl_fresh_heard_log (ctrl, started_us, true);
}

static void
on_read (const plt_read_t *read, void *context)
{
  ctrl_op_t *op = context;
  ctrl_t *ctrl = op->ctrl;
  uint64_t started_us = op->started_us;
  if (!ctrl_op_end (op))
    return;
  bool worked = read->outcome == PLT_OK;
  ctrl_claims_note_log (ctrl, worked);
  if (worked)
    {
      take_records (ctrl, read, started_us);
    }
  else
    {
      ctrl_source_failed (ctrl, &ctrl->manifest.source, SOURCE, RETRY_US);
      ctrl_fresh_heard_log (ctrl, started_us, false);
    }
  ctrl_gauge (ctrl, "medlarplank_log_up", "Whether the last reading of the log worked", worked);
}

/* The first read after a start or a pause does not wait, as the daemon is stale until it ends. */
static void
read_on (ctrl_t *ctrl)
{
  ctrl_source_t *source = &ctrl->manifest.source;
  if (source->op != NULL || ctrl_now_us (ctrl) < source->due_us)
    return;
  bool may_wait = ctrl->peers.tails && ctrl->fresh.log_ok && !source->down;
  source->op = ctrl_op_new (ctrl);
  exc_charge (ctrl->exc, CTRL_READ_BYTES);
  ctrl->plt->read (ctrl->plt, REP_STREAM, rep_next_offset (ctrl->manifest.rep), READ_RECORDS,
                   may_wait ? TAIL_WAIT_MS : 0, on_read, source->op);
}

static const mem_host_t *
find_teller (ctrl_t *ctrl)
{
  if (ctrl->peers.members == NULL)
    return NULL;
  const mem_host_t *host = mem_find_hash (ctrl->peers.members, ctrl->manifest.heard_from);
  return host != NULL ? host : ctrl_peer_any (ctrl);
}

/* A daemon that lost track of the log, as it was behind for longer than records are retained, or
 * that has found no checkpoint it may trust, takes the state of a peer too. */
static void
catch_up_from_peer (ctrl_t *ctrl)
{
  ctrl_manifest_t *manifest = &ctrl->manifest;
  uint64_t now_us = ctrl_now_us (ctrl);
  uint64_t patience_us = manifest->source.down ? BEHIND_OUT_US : BEHIND_SLOW_US;
  bool behind = manifest->behind_since_us != 0 && now_us - manifest->behind_since_us >= patience_us;
  bool lost = !rep_ready (manifest->rep) && (manifest->source.down || ctrl->fresh.log_ok);
  bool unknown = lost && (manifest->heard_version != 0 || ctrl_manifest_version (ctrl) != 0);
  if (!behind && !unknown)
    return;
  const mem_host_t *host = find_teller (ctrl);
  if (host != NULL)
    ctrl_fetch_start (ctrl, host);
}

static void
on_checkpoint (plt_outcome_t outcome, uint64_t offset, void *context)
{
  ctrl_op_t *op = context;
  ctrl_t *ctrl = op->ctrl;
  bool wanted = ctrl_op_end (op);
  if (!wanted)
    return;
  ctrl_manifest_t *manifest = &ctrl->manifest;
  manifest->checkpoint_op = NULL;
  g_clear_pointer (&manifest->checkpoint, g_free);
  log_event (LOG_LEVEL_INFO, "checkpoint", "outcome", outcome == PLT_OK ? "appended" : "failed",
             "offset", LOG_U64 (offset), "version", LOG_U64 (ctrl_manifest_version (ctrl)), NULL);
  if (outcome == PLT_OK)
    ctrl_count (ctrl, "medlarplank_checkpoints_total", "Checkpoints of the manifest appended");
}

static bool
checkpoint_wanted (ctrl_t *ctrl)
{
  const ctrl_manifest_t *manifest = &ctrl->manifest;
  if (!ctrl->peers.tails || manifest->source.down || !rep_ready (manifest->rep))
    return false;
  if (rep_checkpoint_due (manifest->rep, CHECKPOINT_RECORDS))
    return true;
  uint64_t retention_us = (uint64_t)ctrl->dmn->set.log_retention_s * CLK_US_PER_S;
  uint64_t age_us = ctrl_now_us (ctrl) - manifest->checkpoint_us;
  return age_us > retention_us / CHECKPOINTS_PER_RETENTION;
}

/* After a random wait, so that of all daemons that find one due mostly one appends it. */
static void
checkpoint_turn (ctrl_t *ctrl)
{
  ctrl_manifest_t *manifest = &ctrl->manifest;
  uint64_t now_us = ctrl_now_us (ctrl);
  if (manifest->checkpoint_op != NULL)
    return;
  if (!checkpoint_wanted (ctrl))
    {
      manifest->checkpoint_due_us = 0;
      return;
    }
  if (manifest->checkpoint_due_us == 0)
    {
      double wait_s = g_rand_double_range (ctrl->rand, 0.1, CHECKPOINT_WAIT_S);
      manifest->checkpoint_due_us = now_us + (uint64_t)(wait_s * CLK_US_PER_S);
    }
  if (now_us < manifest->checkpoint_due_us)
    return;
  /* Again no sooner than this, whether it worked or is still to be read. */
  manifest->checkpoint_due_us = now_us + 2 * CHECKPOINT_WAIT_S * CLK_US_PER_S;
  manifest->checkpoint = rep_checkpoint_record (manifest->rep);
  if (manifest->checkpoint == NULL)
    return;
  size_t bytes = strlen (manifest->checkpoint);
  manifest->checkpoint_op = ctrl_op_new (ctrl);
  exc_charge (ctrl->exc, (uint32_t)bytes + CTRL_REQUEST_BYTES);
  ctrl->plt->append (ctrl->plt, REP_STREAM, manifest->checkpoint, bytes, on_checkpoint,
                     manifest->checkpoint_op);
}

void
ctrl_manifest_init (ctrl_t *ctrl)
{
  ctrl->manifest.rep = rep_new ();
  ctrl->manifest.checkpoint_us = ctrl_now_us (ctrl);
}

void
ctrl_manifest_clear (ctrl_t *ctrl)
{
  g_free (ctrl->manifest.checkpoint);
  rep_free (ctrl->manifest.rep);
}

uint64_t
ctrl_manifest_version (const ctrl_t *ctrl)
{
  const man_t *man = rep_manifest (ctrl->manifest.rep);
  return man != NULL ? man->version : 0;
}

void
ctrl_manifest_flush (ctrl_t *ctrl)
{
  ctrl_manifest_t *manifest = &ctrl->manifest;
  uint64_t version = ctrl_manifest_version (ctrl);
  if (version >= manifest->heard_version)
    manifest->behind_since_us = 0;
  if (!rep_ready (manifest->rep) || version <= manifest->sent_version)
    return;
  man_t *man = rep_manifest (manifest->rep);
  log_event (LOG_LEVEL_NOTICE, "version_in_force", "version", LOG_U64 (version), "digest",
             man->digest, "before", LOG_U64 (manifest->sent_version), NULL);
  ctrl_gauge (ctrl, "medlarplank_manifest_version", "Version of the manifest in force here",
              version);
  manifest->sent_version = version;
  ctrl_peers_rebuild (ctrl);
  if (ctrl->peers.tails)
    ctrl_talk_tell (ctrl, MIN (TELLS_OF_VERSION, ctrl->peers.all->len / PEERS_PER_TELL));
  ctrl_talk_version (ctrl);
  msg_version_t *message = msg_new (MSG_VERSION);
  message->man = man_ref (man);
  message->next_offset = rep_next_offset (manifest->rep);
  ctrl_send (ctrl, message);
}

void
ctrl_manifest_heard (ctrl_t *ctrl, uint64_t version, uint64_t host_hash)
{
  ctrl_manifest_t *manifest = &ctrl->manifest;
  if (version <= ctrl_manifest_version (ctrl) || version < manifest->heard_version)
    return;
  manifest->heard_version = version;
  manifest->heard_from = host_hash;
  /* A log that was out is tried once before its back-off ends: after an outage that many had, it
   * brings a patch where a peer would bring each of them the whole manifest. */
  bool first = manifest->behind_since_us == 0;
  if (first)
    manifest->behind_since_us = ctrl_now_us (ctrl);
  if (first || !manifest->source.down)
    manifest->source.due_us = 0;
}

void
ctrl_manifest_turn (ctrl_t *ctrl)
{
  read_on (ctrl);
  catch_up_from_peer (ctrl);
  checkpoint_turn (ctrl);
}
