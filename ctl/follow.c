#include "follow.h"
#include "ask.h"

#define READ_RECORDS 256
#define RETRY_MS 200

typedef struct
{
  fol_t *fol;
  bool done;
} pending_t;

static void
feed (fol_t *fol, const plt_read_t *read)
{
  rep_begin (fol->rep, read->first_offset);
  rep_note_end (fol->rep, read->end_offset);
  for (uint32_t at = 0; at < read->record_count; at++)
    {
      const plt_record_t *record = &read->records[at];
      rep_judgement_t judgement =
          rep_feed (fol->rep, record->offset, record->data, record->data_bytes);

      if (fol->judged != NULL)
        fol->judged (&judgement, record->offset, fol->context);
    }
  fol->at_end = rep_next_offset (fol->rep) >= read->end_offset;
}

static void
on_read (const plt_read_t *read, void *context)
{
  pending_t *pending = context;

  pending->fol->outcome = read->outcome;
  if (read->outcome == PLT_OK)
    feed (pending->fol, read);
  pending->done = true;
}

void
fol_start (fol_t *fol, ctl_t *ctl)
{
  *fol = (fol_t){ .ctl = ctl, .rep = rep_new () };
}

void
fol_end (fol_t *fol)
{
  g_clear_pointer (&fol->rep, rep_free);
}

plt_outcome_t
fol_read (fol_t *fol, uint32_t wait_ms)
{
  pending_t pending = { .fol = fol };
  plt_t *plt = fol->ctl->plt;

  fol->at_end = false;
  plt->read (plt, REP_STREAM, rep_next_offset (fol->rep), READ_RECORDS, wait_ms, on_read, &pending);
  ctl_run_until (fol->ctl, &pending.done);
  return fol->outcome;
}

static bool
adopt (fol_t *fol, const json_t *answer)
{
  const json_t *offset = json_object_get (answer, "next_offset");
  const json_t *version = json_object_get (answer, "version");
  man_t *man = man_from_json (json_object_get (answer, "manifest"), NULL);
  bool adopted;

  if (man == NULL)
    return false;
  man->version = (uint64_t)json_integer_value (version);
  adopted = rep_adopt (fol->rep, man, (uint64_t)json_integer_value (offset));
  man_unref (man);
  return adopted;
}

/* For when the log's oldest records are gone and no checkpoint stands in for them yet. */
static bool
ask_daemon (fol_t *fol)
{
  g_autofree char *body = NULL;
  json_t *answer;
  bool adopted;

  if ((fol->ctl->opt.given & OPT_DAEMON) == 0)
    return false;
  body = ask_manifest (fol->ctl, &fol->ctl->opt.daemon);
  answer = body != NULL ? json_loads (body, JSON_REJECT_DUPLICATES, NULL) : NULL;
  adopted = answer != NULL && adopt (fol, answer);
  json_decref (answer);
  return adopted;
}

static ctl_exit_t
read_to_end (fol_t *fol)
{
  do
    {
      if (fol_read (fol, 0) == PLT_REFUSED)
        return ctl_complain (CTL_FAILED, "the platform refused to read the manifest stream");
      if (fol->outcome == PLT_UNKNOWN)
        ctl_pause (fol->ctl, RETRY_MS);
      if (fol->at_end)
        return CTL_OK;
    }
  while (ctl_left_ms (fol->ctl) > 0);
  if (fol->outcome == PLT_UNKNOWN)
    return ctl_complain (CTL_UNREACHABLE, "the platform does not answer");
  return ctl_complain (CTL_FAILED, "the log was not read to its end in time");
}

ctl_exit_t
fol_catch_up (fol_t *fol)
{
  ctl_exit_t code = read_to_end (fol);

  if (code != CTL_OK || rep_ready (fol->rep) || rep_unpublished (fol->rep))
    return code;
  if (ask_daemon (fol))
    {
      code = read_to_end (fol);
      if (code != CTL_OK || rep_ready (fol->rep))
        return code;
    }
  return ctl_complain (CTL_FAILED,
                       "what is in force cannot be told from what the log still holds; wait for "
                       "a checkpoint, or name a daemon with --daemon");
}
