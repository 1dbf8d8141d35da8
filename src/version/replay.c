#include "version/replay.h"
#include "version/publish_history.h"
#include "version/manifest_record.h"

#include <string.h>

/*
 * @manifest: when @has_state, the version in force by the log after all records before @next;
 *   otherwise the version in force before the gap, or NULL
 * @publisher: who published @manifest; "" when unknown
 * @kept: the version in force, of an era before, while the log has an older one; else NULL
 * @kept_publisher: who published @kept
 * @next: position of the next record to process
 * @has_state: the version in force at @next is known, so that publishes can be decided
 * @caught_up: all records that existed when the reader started have been processed; stays set until
 *   the next gap
 * @catch_up: @caught_up is set when @next reaches this position
 * @first: first position that the log retained at the last read
 * @end: end of the log at the last read
 * @checkpoint_end: as_of + 1 of the newest checkpoint: where a reader that uses it continues
 * @publishes_since_checkpoint: publishes read after the newest checkpoint
 * @history: outcome of recent publishes
 */
struct replay
{
  manifest_t *manifest;
  char publisher[LIMIT_NAME_BYTES];
  manifest_t *kept;
  char kept_publisher[LIMIT_NAME_BYTES];
  position_t next;
  bool has_state;
  bool caught_up;
  position_t catch_up;
  position_t first;
  position_t end;
  position_t checkpoint_end;
  uint64_t publishes_since_checkpoint;
  publish_history_t *history;
};

static uint64_t
current_version (const replay_t *replay)
{
  return replay->manifest != NULL ? replay->manifest->version : 0;
}

static uint64_t
replay_version (const replay_t *replay)
{
  return replay->kept != NULL ? replay->kept->version : current_version (replay);
}

/* Replaces the version by the log; nothing else may set it. */
static void
set_manifest (replay_t *replay, manifest_t *manifest, const char *publisher)
{
  g_assert (manifest->version >= current_version (replay));
  g_clear_pointer (&replay->manifest, manifest_unref);
  replay->manifest = manifest;
  g_strlcpy (replay->publisher, publisher, sizeof replay->publisher);
  if (replay->kept != NULL && manifest->version >= replay->kept->version)
    g_clear_pointer (&replay->kept, manifest_unref);
}

static manifest_t *
in_force (const replay_t *replay)
{
  return replay->kept != NULL ? replay->kept : replay->manifest;
}

/* The versions of the log before the copy stay in force until the log has them, or later ones. */
static void
begin_era (replay_t *replay, position_t first)
{
  if (replay->kept == NULL)
    {
      replay->kept = g_steal_pointer (&replay->manifest);
      g_strlcpy (replay->kept_publisher, replay->publisher, sizeof replay->kept_publisher);
    }
  g_clear_pointer (&replay->manifest, manifest_unref);
  replay->publisher[0] = '\0';
  replay->next = replay->first = replay->end = replay->catch_up = first;
  replay->checkpoint_end = (position_t){ .era = first.era };
  replay->publishes_since_checkpoint = 0;
  replay->has_state = first.offset == 0;
}

static void
update_caught_up (replay_t *replay)
{
  if (replay->has_state && !position_is_before (replay->next, replay->catch_up))
    replay->caught_up = true;
}

static void
enter_gap (replay_t *replay)
{
  replay->has_state = false;
  replay->caught_up = false;
}

/* Continues from the state of a checkpoint or a peer. Records from @next on are processed,
 * some of them for a second time. */
static void
resume_from (replay_t *replay, manifest_t *manifest, const char *publisher, position_t next)
{
  set_manifest (replay, manifest, publisher);
  replay->catch_up = position_later (replay->catch_up, replay->next);
  replay->next = next;
  replay->has_state = true;
  replay->caught_up = false;
  update_caught_up (replay);
}

static void
set_verdict (replay_result_t *result, replay_verdict_t verdict, const char *reason)
{
  result->verdict = verdict;
  g_strlcpy (result->reason, reason, sizeof result->reason);
}

static void
reject_stale_base (const replay_t *replay, replay_result_t *result)
{
  result->verdict = REPLAY_STALE_BASE;
  if (replay->publisher[0] != '\0')
    g_snprintf (result->reason, sizeof result->reason,
                "version %" G_GUINT64_FORMAT " by %s is in force; rebase", current_version (replay),
                replay->publisher);
  else
    g_snprintf (result->reason, sizeof result->reason,
                "version %" G_GUINT64_FORMAT " is in force; rebase", current_version (replay));
}

static void
reject_repeated (const publish_history_entry_t *earlier, replay_result_t *result)
{
  result->verdict = REPLAY_REPEATED;
  if (earlier->accepted)
    g_snprintf (result->reason, sizeof result->reason,
                "it was accepted before as version %" G_GUINT64_FORMAT, earlier->version);
  else
    g_snprintf (result->reason, sizeof result->reason, "it was refused before");
}

static manifest_t *
build_manifest (const replay_t *replay, const manifest_record_t *record, GError **error)
{
  if (record->manifest != NULL)
    return manifest_from_json (record->manifest, error);
  if (replay->manifest != NULL)
    return manifest_patch (replay->manifest, record->patch, error);
  g_set_error (error, MANIFEST_ERROR, MANIFEST_ERROR_REFERENCE,
               "patch: there is no manifest to patch");
  return NULL;
}

static void
apply_publish (replay_t *replay, const manifest_record_t *record, replay_result_t *result)
{
  g_autoptr (GError) error = NULL;
  manifest_t *manifest = build_manifest (replay, record, &error);

  if (manifest != NULL && replay->manifest != NULL &&
      !manifest_may_follow (replay->manifest, manifest, &error))
    g_clear_pointer (&manifest, manifest_unref);
  if (manifest == NULL)
    {
      set_verdict (result, REPLAY_INVALID, error->message);
      return;
    }
  manifest->version = record->version + 1;
  set_manifest (replay, manifest, record->publisher);
  result->verdict = REPLAY_ACCEPTED;
}

/*
 * Only the base and the contents decide whether a publish is accepted. A repeated publish has the
 * same base as the first one, which is no longer in force if the first was accepted, so it can't be
 * accepted twice. The history of ids only changes the wording of the rejection. If it took part in
 * the decision, a reader that started at a checkpoint, and so has a shorter history, could reach
 * another verdict.
 */
static void
process_publish (replay_t *replay, const manifest_record_t *record, replay_result_t *result)
{
  const publish_history_entry_t *earlier = publish_history_find (replay->history, record->id);

  g_strlcpy (result->id, record->id, sizeof result->id);
  replay->publishes_since_checkpoint++;
  if (!replay->has_state)
    {
      set_verdict (result, REPLAY_SKIPPED, "the version in force before it is unknown");
      return;
    }
  if (record->version == current_version (replay))
    apply_publish (replay, record, result);
  else
    reject_stale_base (replay, result);
  if (result->verdict != REPLAY_ACCEPTED && earlier != NULL)
    reject_repeated (earlier, result);
  publish_history_add (replay->history, record->id, result->verdict == REPLAY_ACCEPTED,
                       current_version (replay));
}

/* The position after the record at @offset of this era. */
static position_t
after_record (const replay_t *replay, uint64_t offset)
{
  return (position_t){ replay->next.era, offset + 1 };
}

/*
 * A process that was paused may append a checkpoint of an old version. A checkpoint is valid only
 * as of its own offset, so it is used only if every record after that offset can still be read:
 * replaying them yields the version in force, however old the checkpoint is.
 */
static void
use_checkpoint (replay_t *replay, const manifest_record_t *record, replay_result_t *result)
{
  g_autoptr (GError) error = NULL;
  manifest_t *manifest;

  position_t next = after_record (replay, record->as_of);

  if (position_is_before (next, replay->first))
    {
      set_verdict (result, REPLAY_CHECKPOINT_SEEN, "records after it are no longer retained");
      return;
    }
  manifest = manifest_from_json (record->manifest, &error);
  if (manifest == NULL)
    {
      set_verdict (result, REPLAY_INVALID, error->message);
      return;
    }
  manifest->version = record->version;
  resume_from (replay, manifest, record->publisher, next);
  result->verdict = REPLAY_CHECKPOINT_USED;
}

/*
 * Whether a checkpoint is consistent with this log: it must describe an earlier offset, and
 * versions never decrease. After a gap, a checkpoint whose following records are lost can't be
 * checked against the own version.
 */
static bool
is_consistent (const replay_t *replay, const manifest_record_t *record, position_t position)
{
  if (record->version == 0 || record->as_of >= position.offset)
    return false;
  if (replay->has_state)
    return record->version <= current_version (replay);
  return position_is_before (after_record (replay, record->as_of), replay->first) ||
         record->version >= current_version (replay);
}

static void
process_checkpoint (replay_t *replay,
                    const manifest_record_t *record,
                    position_t position,
                    replay_result_t *result)
{
  position_t end = after_record (replay, record->as_of);

  if (!is_consistent (replay, record, position))
    {
      set_verdict (result, REPLAY_INVALID, "the checkpoint contradicts the log");
      return;
    }
  if (position_is_before (replay->checkpoint_end, end))
    {
      replay->checkpoint_end = end;
      replay->publishes_since_checkpoint = 0;
    }
  if (replay->has_state)
    result->verdict = REPLAY_CHECKPOINT_SEEN;
  else
    use_checkpoint (replay, record, result);
}

/*
 * Restores a version that the log lost when it came back from a copy. Readers that know the log's
 * state decide alike, as for a publish. Without the state, whether the log has a higher version is
 * unknown.
 */
static void
process_restore (replay_t *replay, const manifest_record_t *record, replay_result_t *result)
{
  g_autoptr (GError) error = NULL;
  manifest_t *manifest;

  if (!replay->has_state || record->version <= current_version (replay))
    {
      set_verdict (result, REPLAY_RESTORE_SEEN, "the log has that version or a later one");
      return;
    }
  manifest = manifest_from_json (record->manifest, &error);
  if (manifest == NULL)
    {
      set_verdict (result, REPLAY_INVALID, error->message);
      return;
    }
  manifest->version = record->version;
  set_manifest (replay, manifest, record->publisher);
  result->verdict = REPLAY_RESTORED;
}

replay_t *
replay_new (void)
{
  replay_t *replay = g_new0 (replay_t, 1);

  replay->history = publish_history_new (LIMIT_PUBLISH_IDS);
  return replay;
}

void
replay_free (replay_t *replay)
{
  if (replay == NULL)
    return;
  g_clear_pointer (&replay->manifest, manifest_unref);
  g_clear_pointer (&replay->kept, manifest_unref);
  publish_history_free (replay->history);
  g_free (replay);
}

void
replay_set_first (replay_t *replay, position_t first)
{
  if (first.era < replay->next.era)
    return;
  if (first.era > replay->next.era)
    begin_era (replay, first);
  replay->first = first;
  if (position_is_before (replay->next, first))
    {
      enter_gap (replay);
      replay->next = first;
    }
  else if (first.offset == 0 && replay->next.offset == 0)
    {
      replay->has_state = true;
    }
  update_caught_up (replay);
}

void
replay_set_end (replay_t *replay, position_t end)
{
  if (end.era != replay->next.era)
    return;
  replay->end = end;
  if (replay_is_ready (replay))
    return;
  replay->caught_up = false;
  replay->catch_up = position_later (replay->catch_up, end);
  update_caught_up (replay);
}

replay_result_t
replay_apply (replay_t *replay, position_t position, const char *data, size_t data_bytes)
{
  replay_result_t result = { .verdict = REPLAY_SKIPPED };
  manifest_record_t record;

  result.version = replay_version (replay);
  if (!position_equal (position, replay->next))
    {
      set_verdict (&result, REPLAY_SKIPPED, "it is not the next record in the log");
      return result;
    }
  replay->next = after_record (replay, position.offset);
  manifest_record_parse (&record, data, data_bytes);
  if (record.kind == MANIFEST_RECORD_PUBLISH)
    process_publish (replay, &record, &result);
  else if (record.kind == MANIFEST_RECORD_CHECKPOINT)
    process_checkpoint (replay, &record, position, &result);
  else if (record.kind == MANIFEST_RECORD_RESTORE)
    process_restore (replay, &record, &result);
  else
    set_verdict (&result, REPLAY_INVALID, record.error);
  manifest_record_clear (&record);
  update_caught_up (replay);
  result.version = replay_version (replay);
  return result;
}

bool
replay_adopt (replay_t *replay, manifest_t *manifest, position_t next)
{
  bool is_newer = replay->has_state ? position_is_before (replay->next, next)
                                    : !position_is_before (next, replay->first);

  if (!is_newer || next.offset == 0 || manifest->version == 0 ||
      manifest->version < replay_version (replay))
    return false;
  if (next.era > replay->next.era)
    begin_era (replay, next);
  resume_from (replay, manifest_ref (manifest), "", next);
  return true;
}

bool
replay_is_ready (const replay_t *replay)
{
  return replay->caught_up && in_force (replay) != NULL;
}

manifest_t *
replay_manifest (const replay_t *replay)
{
  return in_force (replay);
}

position_t
replay_next (const replay_t *replay)
{
  return replay->next;
}

bool
replay_is_confirmed (const replay_t *replay)
{
  return replay->kept == NULL && replay->has_state;
}

bool
replay_restore_due (const replay_t *replay)
{
  return replay->kept != NULL && replay->has_state &&
         !position_is_before (replay->next, replay->end);
}

char *
replay_format_restore (const replay_t *replay)
{
  g_assert (replay->kept != NULL);
  return manifest_record_format_restore (replay->kept->version, replay->kept_publisher,
                                         replay->kept->json);
}

bool
replay_is_unpublished (const replay_t *replay)
{
  return replay->has_state && replay->caught_up && in_force (replay) == NULL;
}

const char *
replay_publisher (const replay_t *replay)
{
  return replay->kept != NULL ? replay->kept_publisher : replay->publisher;
}

bool
replay_checkpoint_due (const replay_t *replay, uint64_t publishes_between)
{
  if (!replay_is_ready (replay) || !replay_is_confirmed (replay))
    return false;
  return replay->publishes_since_checkpoint >= publishes_between ||
         position_is_before (replay->checkpoint_end, replay->first);
}

char *
replay_format_checkpoint (const replay_t *replay)
{
  if (!replay_is_ready (replay) || !replay_is_confirmed (replay))
    return NULL;
  g_assert (replay->next.offset > 0);
  return manifest_record_format_checkpoint (replay->manifest->version, replay->next.offset - 1,
                                            replay->publisher, replay->manifest->json);
}

char *
replay_format_publish (const char *id,
                       uint64_t base,
                       const char *publisher,
                       const json_t *manifest,
                       const json_t *patch)
{
  return manifest_record_format_publish (id, base, publisher, manifest, patch);
}
