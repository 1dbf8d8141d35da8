#include "version/replay.h"
#include "version/judged.h"
#include "version/record.h"

#include <string.h>

/*
 * @manifest: when @has_state, the version in force after all records before @next_offset; otherwise
 *   the version in force before the gap, or NULL
 * @publisher: who published @manifest; "" when unknown
 * @next_offset: offset of the next record to process
 * @has_state: the version in force at @next_offset is known, so that publishes can be decided
 * @caught_up: all records that existed when the reader started have been processed; stays set until
 *   the next gap
 * @catch_up_offset: @caught_up is set when @next_offset reaches this offset
 * @first_offset: first offset that the log retained at the last read
 * @checkpoint_end: as_of + 1 of the newest checkpoint: where a reader that uses it continues
 * @publishes_since_checkpoint: publishes read after the newest checkpoint
 * @history: outcome of recent publishes
 */
struct rep
{
  man_t *manifest;
  char publisher[LIM_NAME_BYTES];
  uint64_t next_offset;
  bool has_state;
  bool caught_up;
  uint64_t catch_up_offset;
  uint64_t first_offset;
  uint64_t checkpoint_end;
  uint64_t publishes_since_checkpoint;
  jdg_t *history;
};

static uint64_t
current_version (const rep_t *rep)
{
  return rep->manifest != NULL ? rep->manifest->version : 0;
}

/* Replaces the version in force; nothing else may set it. */
static void
set_manifest (rep_t *rep, man_t *manifest, const char *publisher)
{
  g_assert (manifest->version >= current_version (rep));
  g_clear_pointer (&rep->manifest, man_unref);
  rep->manifest = manifest;
  g_strlcpy (rep->publisher, publisher, sizeof rep->publisher);
}

static void
update_caught_up (rep_t *rep)
{
  if (rep->has_state && rep->next_offset >= rep->catch_up_offset)
    rep->caught_up = true;
}

static void
enter_gap (rep_t *rep)
{
  rep->has_state = false;
  rep->caught_up = false;
}

/* Continues from the state of a checkpoint or a peer. Records from @next_offset on are processed,
 * some of them for a second time. */
static void
resume_from (rep_t *rep, man_t *manifest, const char *publisher, uint64_t next_offset)
{
  set_manifest (rep, manifest, publisher);
  rep->catch_up_offset = MAX (rep->catch_up_offset, rep->next_offset);
  rep->next_offset = next_offset;
  rep->has_state = true;
  rep->caught_up = false;
  update_caught_up (rep);
}

static void
set_verdict (rep_judgement_t *result, rep_verdict_t verdict, const char *reason)
{
  result->verdict = verdict;
  g_strlcpy (result->reason, reason, sizeof result->reason);
}

static void
reject_stale_base (const rep_t *rep, rep_judgement_t *result)
{
  result->verdict = REP_STALE_BASE;
  if (rep->publisher[0] != '\0')
    g_snprintf (result->reason, sizeof result->reason,
                "version %" G_GUINT64_FORMAT " by %s is in force; rebase", current_version (rep),
                rep->publisher);
  else
    g_snprintf (result->reason, sizeof result->reason,
                "version %" G_GUINT64_FORMAT " is in force; rebase", current_version (rep));
}

static void
reject_repeated (const jdg_entry_t *earlier, rep_judgement_t *result)
{
  result->verdict = REP_REPEATED;
  if (earlier->accepted)
    g_snprintf (result->reason, sizeof result->reason,
                "it was accepted before as version %" G_GUINT64_FORMAT, earlier->version);
  else
    g_snprintf (result->reason, sizeof result->reason, "it was refused before");
}

static man_t *
build_manifest (const rep_t *rep, const rec_t *rec, GError **error)
{
  if (rec->manifest != NULL)
    return man_from_json (rec->manifest, error);
  if (rep->manifest != NULL)
    return man_patch (rep->manifest, rec->patch, error);
  g_set_error (error, MAN_ERROR, MAN_ERROR_REFERENCE, "patch: there is no manifest to patch");
  return NULL;
}

static void
apply_publish (rep_t *rep, const rec_t *rec, rep_judgement_t *result)
{
  g_autoptr (GError) error = NULL;
  man_t *manifest = build_manifest (rep, rec, &error);

  if (manifest != NULL && rep->manifest != NULL &&
      !man_may_follow (rep->manifest, manifest, &error))
    g_clear_pointer (&manifest, man_unref);
  if (manifest == NULL)
    {
      set_verdict (result, REP_INVALID, error->message);
      return;
    }
  manifest->version = rec->version + 1;
  set_manifest (rep, manifest, rec->publisher);
  result->verdict = REP_ACCEPTED;
}

/*
 * Only the base and the contents decide whether a publish is accepted. A repeated publish has the
 * same base as the first one, which is no longer in force if the first was accepted, so it can't be
 * accepted twice. The history of ids only changes the wording of the rejection. If it took part in
 * the decision, a reader that started at a checkpoint, and so has a shorter history, could reach
 * another verdict.
 */
static void
process_publish (rep_t *rep, const rec_t *rec, rep_judgement_t *result)
{
  const jdg_entry_t *earlier = jdg_find (rep->history, rec->id);

  g_strlcpy (result->id, rec->id, sizeof result->id);
  rep->publishes_since_checkpoint++;
  if (!rep->has_state)
    {
      set_verdict (result, REP_SKIPPED, "the version in force before it is unknown");
      return;
    }
  if (rec->version == current_version (rep))
    apply_publish (rep, rec, result);
  else
    reject_stale_base (rep, result);
  if (result->verdict != REP_ACCEPTED && earlier != NULL)
    reject_repeated (earlier, result);
  jdg_add (rep->history, rec->id, result->verdict == REP_ACCEPTED, current_version (rep));
}

/*
 * A process that was paused may append a checkpoint of an old version. A checkpoint is valid only
 * as of its own offset, so it is used only if every record after that offset can still be read:
 * replaying them yields the version in force, however old the checkpoint is.
 */
static void
use_checkpoint (rep_t *rep, const rec_t *rec, rep_judgement_t *result)
{
  g_autoptr (GError) error = NULL;
  man_t *manifest;

  if (rec->as_of + 1 < rep->first_offset)
    {
      set_verdict (result, REP_CHECKPOINT_SEEN, "records after it are no longer retained");
      return;
    }
  manifest = man_from_json (rec->manifest, &error);
  if (manifest == NULL)
    {
      set_verdict (result, REP_INVALID, error->message);
      return;
    }
  manifest->version = rec->version;
  resume_from (rep, manifest, rec->publisher, rec->as_of + 1);
  result->verdict = REP_CHECKPOINT_USED;
}

/*
 * Whether a checkpoint is consistent with this log: it must describe an earlier offset, and
 * versions never decrease. After a gap, a checkpoint whose following records are lost can't be
 * checked against the own version.
 */
static bool
is_consistent (const rep_t *rep, const rec_t *rec, uint64_t offset)
{
  if (rec->version == 0 || rec->as_of >= offset)
    return false;
  if (rep->has_state)
    return rec->version <= current_version (rep);
  return rec->as_of + 1 < rep->first_offset || rec->version >= current_version (rep);
}

static void
process_checkpoint (rep_t *rep, const rec_t *rec, uint64_t offset, rep_judgement_t *result)
{
  if (!is_consistent (rep, rec, offset))
    {
      set_verdict (result, REP_INVALID, "the checkpoint contradicts the log");
      return;
    }
  if (rec->as_of + 1 > rep->checkpoint_end)
    {
      rep->checkpoint_end = rec->as_of + 1;
      rep->publishes_since_checkpoint = 0;
    }
  if (rep->has_state)
    result->verdict = REP_CHECKPOINT_SEEN;
  else
    use_checkpoint (rep, rec, result);
}

rep_t *
rep_new (void)
{
  rep_t *rep = g_new0 (rep_t, 1);

  rep->history = jdg_new (LIM_PUBLISH_IDS);
  return rep;
}

void
rep_free (rep_t *rep)
{
  if (rep == NULL)
    return;
  g_clear_pointer (&rep->manifest, man_unref);
  jdg_free (rep->history);
  g_free (rep);
}

void
rep_begin (rep_t *rep, uint64_t first_offset)
{
  rep->first_offset = first_offset;
  if (first_offset > rep->next_offset)
    {
      enter_gap (rep);
      rep->next_offset = first_offset;
    }
  else if (first_offset == 0 && rep->next_offset == 0)
    {
      rep->has_state = true;
    }
  update_caught_up (rep);
}

void
rep_note_end (rep_t *rep, uint64_t end_offset)
{
  if (rep_ready (rep))
    return;
  rep->caught_up = false;
  rep->catch_up_offset = MAX (rep->catch_up_offset, end_offset);
  update_caught_up (rep);
}

rep_judgement_t
rep_feed (rep_t *rep, uint64_t offset, const char *data, size_t data_bytes)
{
  rep_judgement_t result = { .verdict = REP_SKIPPED };
  rec_t rec;

  result.version = current_version (rep);
  if (offset != rep->next_offset)
    {
      set_verdict (&result, REP_SKIPPED, "it is not the next record in the log");
      return result;
    }
  rep->next_offset = offset + 1;
  rec_read (&rec, data, data_bytes);
  if (rec.kind == REC_PUBLISH)
    process_publish (rep, &rec, &result);
  else if (rec.kind == REC_CHECKPOINT)
    process_checkpoint (rep, &rec, offset, &result);
  else
    set_verdict (&result, REP_INVALID, rec.error);
  rec_clear (&rec);
  update_caught_up (rep);
  result.version = current_version (rep);
  return result;
}

bool
rep_adopt (rep_t *rep, man_t *manifest, uint64_t next_offset)
{
  bool is_newer =
      rep->has_state ? next_offset > rep->next_offset : next_offset >= rep->first_offset;

  if (!is_newer || next_offset == 0 || manifest->version == 0 ||
      manifest->version < current_version (rep))
    return false;
  resume_from (rep, man_ref (manifest), "", next_offset);
  return true;
}

bool
rep_ready (const rep_t *rep)
{
  return rep->caught_up && rep->manifest != NULL;
}

man_t *
rep_manifest (const rep_t *rep)
{
  return rep->manifest;
}

uint64_t
rep_next_offset (const rep_t *rep)
{
  return rep->next_offset;
}

bool
rep_unpublished (const rep_t *rep)
{
  return rep->has_state && rep->caught_up && rep->manifest == NULL;
}

const char *
rep_by (const rep_t *rep)
{
  return rep->publisher;
}

bool
rep_checkpoint_due (const rep_t *rep, uint64_t publishes_between)
{
  if (!rep_ready (rep))
    return false;
  return rep->publishes_since_checkpoint >= publishes_between ||
         rep->checkpoint_end < rep->first_offset;
}

char *
rep_checkpoint_record (const rep_t *rep)
{
  if (!rep_ready (rep))
    return NULL;
  g_assert (rep->next_offset > 0);
  return rec_checkpoint (rep->manifest->version, rep->next_offset - 1, rep->publisher,
                         rep->manifest->json);
}

char *
rep_publish_record (const char *id,
                    uint64_t base,
                    const char *publisher,
                    const json_t *manifest,
                    const json_t *patch)
{
  return rec_publish (id, base, publisher, manifest, patch);
}
