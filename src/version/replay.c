#include "version/replay.h"
#include "version/judged.h"
#include "version/record.h"

#include <string.h>

/*
 * @man: in force after all records before @next_offset when @known; else what was in force before
 *   the gap, or NULL
 * @by: who published it, "" when that is not known
 * @known: whether records can be judged: what was in force at @next_offset is known
 * @current: whether all records were judged that were there when the reader began; latched until
 *   the next gap
 * @catch_up_offset: @current is set when @next_offset reaches it
 * @first_offset: first retained, as told last
 * @covered_offset: as_of + 1 of the newest checkpoint: where a reader that trusts it goes on
 * @uncovered: publishes read since that checkpoint
 */
struct rep
{
  man_t *man;
  char by[LIM_NAME_BYTES];
  uint64_t next_offset;
  bool known;
  bool current;
  uint64_t catch_up_offset;
  uint64_t first_offset;
  uint64_t covered_offset;
  uint64_t uncovered;
  jdg_t *judged;
};

static uint64_t
in_force (const rep_t *rep)
{
  return rep->man != NULL ? rep->man->version : 0;
}

/* The only place where the version in force changes. */
static void
put_in_force (rep_t *rep, man_t *man, const char *by)
{
  g_assert (man->version >= in_force (rep));
  g_clear_pointer (&rep->man, man_unref);
  rep->man = man;
  g_strlcpy (rep->by, by, sizeof rep->by);
}

static void
see_if_current (rep_t *rep)
{
  if (rep->known && rep->next_offset >= rep->catch_up_offset)
    rep->current = true;
}

static void
lose_track (rep_t *rep)
{
  rep->known = false;
  rep->current = false;
}

/* Go on from a state that someone else told: records from @next_offset on are judged (again). */
static void
restart (rep_t *rep, man_t *man, const char *by, uint64_t next_offset)
{
  put_in_force (rep, man, by);
  rep->catch_up_offset = MAX (rep->catch_up_offset, rep->next_offset);
  rep->next_offset = next_offset;
  rep->known = true;
  rep->current = false;
  see_if_current (rep);
}

static void
give_reason (rep_judgement_t *judgement, rep_verdict_t verdict, const char *reason)
{
  judgement->verdict = verdict;
  g_strlcpy (judgement->reason, reason, sizeof judgement->reason);
}

static void
lost_race (const rep_t *rep, rep_judgement_t *judgement)
{
  judgement->verdict = REP_STALE_BASE;
  if (rep->by[0] != '\0')
    g_snprintf (judgement->reason, sizeof judgement->reason,
                "version %" G_GUINT64_FORMAT " by %s is in force; rebase", in_force (rep), rep->by);
  else
    g_snprintf (judgement->reason, sizeof judgement->reason,
                "version %" G_GUINT64_FORMAT " is in force; rebase", in_force (rep));
}

static void
explain_repeat (const jdg_entry_t *earlier, rep_judgement_t *judgement)
{
  judgement->verdict = REP_REPEATED;
  if (earlier->accepted)
    g_snprintf (judgement->reason, sizeof judgement->reason,
                "it was accepted before as version %" G_GUINT64_FORMAT, earlier->version);
  else
    g_snprintf (judgement->reason, sizeof judgement->reason, "it was refused before");
}

static man_t *
published (const rep_t *rep, const rec_t *rec, GError **error)
{
  if (rec->manifest != NULL)
    return man_from_json (rec->manifest, error);
  if (rep->man != NULL)
    return man_patch (rep->man, rec->patch, error);
  g_set_error (error, MAN_ERROR, MAN_ERROR_REFERENCE, "patch: there is no manifest to patch");
  return NULL;
}

static void
judge_contents (rep_t *rep, const rec_t *rec, rep_judgement_t *judgement)
{
  g_autoptr (GError) error = NULL;
  man_t *man = published (rep, rec, &error);

  if (man != NULL && rep->man != NULL && !man_may_follow (rep->man, man, &error))
    g_clear_pointer (&man, man_unref);
  if (man == NULL)
    {
      give_reason (judgement, REP_INVALID, error->message);
      return;
    }
  man->version = rec->number + 1;
  put_in_force (rep, man, rec->by);
  judgement->verdict = REP_ACCEPTED;
}

/*
 * The base alone decides whether a publish counts. A repeat has the base of the first, which is
 * not in force any more if the first was accepted, so it cannot count twice; the memory of ids
 * only words the refusal. If that memory decided, a reader that started at a checkpoint and
 * remembers fewer ids could come to another verdict.
 */
static void
judge_publish (rep_t *rep, const rec_t *rec, rep_judgement_t *judgement)
{
  const jdg_entry_t *earlier = jdg_find (rep->judged, rec->id);

  g_strlcpy (judgement->id, rec->id, sizeof judgement->id);
  rep->uncovered++;
  if (!rep->known)
    {
      give_reason (judgement, REP_SKIPPED, "what was in force before it is not known");
      return;
    }
  if (rec->number == in_force (rep))
    judge_contents (rep, rec, judgement);
  else
    lost_race (rep, judgement);
  if (judgement->verdict != REP_ACCEPTED && earlier != NULL)
    explain_repeat (earlier, judgement);
  jdg_add (rep->judged, rec->id, judgement->verdict == REP_ACCEPTED, in_force (rep));
}

/*
 * A checkpoint of a process that was paused for long tells an old version. It is true as of its
 * own offset only, so it is used only by a reader that can judge every publish after that offset:
 * those bring it to the version in force, whatever the checkpoint's age.
 */
static void
use_checkpoint (rep_t *rep, const rec_t *rec, rep_judgement_t *judgement)
{
  g_autoptr (GError) error = NULL;
  man_t *man;

  if (rec->as_of + 1 < rep->first_offset)
    {
      give_reason (judgement, REP_CHECKPOINT_SEEN, "records after it are no longer retained");
      return;
    }
  man = man_from_json (rec->manifest, &error);
  if (man == NULL)
    {
      give_reason (judgement, REP_INVALID, error->message);
      return;
    }
  man->version = rec->number;
  restart (rep, man, rec->by, rec->as_of + 1);
  judgement->verdict = REP_CHECKPOINT_USED;
}

/*
 * Whether what a checkpoint tells can be true of this log: it tells of the past only, and versions
 * do not go back. A reader that lost track knows too little of a checkpoint from before its gap.
 */
static bool
is_possible (const rep_t *rep, const rec_t *rec, uint64_t offset)
{
  if (rec->number == 0 || rec->as_of >= offset)
    return false;
  if (rep->known)
    return rec->number <= in_force (rep);
  return rec->as_of + 1 < rep->first_offset || rec->number >= in_force (rep);
}

static void
judge_checkpoint (rep_t *rep, const rec_t *rec, uint64_t offset, rep_judgement_t *judgement)
{
  if (!is_possible (rep, rec, offset))
    {
      give_reason (judgement, REP_INVALID, "the checkpoint contradicts the log");
      return;
    }
  if (rec->as_of + 1 > rep->covered_offset)
    {
      rep->covered_offset = rec->as_of + 1;
      rep->uncovered = 0;
    }
  if (rep->known)
    judgement->verdict = REP_CHECKPOINT_SEEN;
  else
    use_checkpoint (rep, rec, judgement);
}

rep_t *
rep_new (void)
{
  rep_t *rep = g_new0 (rep_t, 1);

  rep->judged = jdg_new (LIM_PUBLISH_IDS);
  return rep;
}

void
rep_free (rep_t *rep)
{
  if (rep == NULL)
    return;
  g_clear_pointer (&rep->man, man_unref);
  jdg_free (rep->judged);
  g_free (rep);
}

void
rep_begin (rep_t *rep, uint64_t first_offset)
{
  rep->first_offset = first_offset;
  if (first_offset > rep->next_offset)
    {
      lose_track (rep);
      rep->next_offset = first_offset;
    }
  else if (first_offset == 0 && rep->next_offset == 0)
    {
      rep->known = true;
    }
  see_if_current (rep);
}

void
rep_note_end (rep_t *rep, uint64_t end_offset)
{
  if (rep_ready (rep))
    return;
  rep->current = false;
  rep->catch_up_offset = MAX (rep->catch_up_offset, end_offset);
  see_if_current (rep);
}

rep_judgement_t
rep_feed (rep_t *rep, uint64_t offset, const char *data, size_t data_bytes)
{
  rep_judgement_t judgement = { .verdict = REP_SKIPPED };
  rec_t rec;

  judgement.version = in_force (rep);
  if (offset != rep->next_offset)
    {
      give_reason (&judgement, REP_SKIPPED, "it is not the next record");
      return judgement;
    }
  rep->next_offset = offset + 1;
  rec_read (&rec, data, data_bytes);
  if (rec.kind == REC_PUBLISH)
    judge_publish (rep, &rec, &judgement);
  else if (rec.kind == REC_CHECKPOINT)
    judge_checkpoint (rep, &rec, offset, &judgement);
  else
    give_reason (&judgement, REP_INVALID, rec.fault);
  rec_clear (&rec);
  see_if_current (rep);
  judgement.version = in_force (rep);
  return judgement;
}

bool
rep_adopt (rep_t *rep, man_t *man, uint64_t next_offset)
{
  bool brings_news = rep->known ? next_offset > rep->next_offset : next_offset >= rep->first_offset;

  if (!brings_news || next_offset == 0 || man->version == 0 || man->version < in_force (rep))
    return false;
  restart (rep, man_ref (man), "", next_offset);
  return true;
}

bool
rep_ready (const rep_t *rep)
{
  return rep->current && rep->man != NULL;
}

man_t *
rep_manifest (const rep_t *rep)
{
  return rep->man;
}

uint64_t
rep_next_offset (const rep_t *rep)
{
  return rep->next_offset;
}

bool
rep_unpublished (const rep_t *rep)
{
  return rep->known && rep->current && rep->man == NULL;
}

const char *
rep_by (const rep_t *rep)
{
  return rep->by;
}

bool
rep_checkpoint_due (const rep_t *rep, uint64_t records_between)
{
  if (!rep_ready (rep))
    return false;
  return rep->uncovered >= records_between || rep->covered_offset < rep->first_offset;
}

char *
rep_checkpoint_record (const rep_t *rep)
{
  if (!rep_ready (rep))
    return NULL;
  g_assert (rep->next_offset > 0);
  return rec_checkpoint (rep->man->version, rep->next_offset - 1, rep->by, rep->man->json);
}

char *
rep_publish_record (
    const char *id, uint64_t base, const char *by, const json_t *manifest, const json_t *patch)
{
  return rec_publish (id, base, by, manifest, patch);
}
