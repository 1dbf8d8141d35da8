#include "ctl.h"
#include "follow.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define WATCH_WAIT_MS 1000
#define WATCH_RETRY_MS 1000

ctl_exit_t
cmd_manifest_check (ctl_t *ctl, const char *file)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  gsize text_bytes;
  man_t *man;

  if (!g_file_get_contents (file, &text, &text_bytes, &error))
    return ctl_complain (CTL_USAGE, "%s", error->message);
  man = man_parse (text, text_bytes, &error);
  if (man == NULL)
    return ctl_complain (CTL_USAGE, "%s: %s", file, error->message);
  if ((ctl->opt.given & OPT_JSON) != 0)
    printf ("{\"digest\":\"%s\"}\n", man->digest);
  else
    printf ("%s: %u client accounts, %u services, %u classes, %u routes, digest %s\n", file,
            man->account_count, man->service_count, man->class_count, man->route_count,
            man->digest);
  man_unref (man);
  return CTL_OK;
}

static void
print_version (const rep_t *rep)
{
  const man_t *man = rep_manifest (rep);

  printf ("version %" PRIu64 " digest %s%s%s\n", man->version, man->digest,
          rep_by (rep)[0] != '\0' ? " by " : "", rep_by (rep));
}

static json_t *
described (const rep_t *rep, bool whole)
{
  const man_t *man = rep_manifest (rep);
  json_t *json = json_pack ("{sI ss ss}", "version", (json_int_t)man->version, "digest",
                            man->digest, "by", rep_by (rep));

  if (whole)
    json_object_set (json, "manifest", man->json);
  return json;
}

static void
print_json (json_t *json, size_t flags)
{
  char *text = json_dumps (json, flags);

  puts (text);
  free (text);
}

static void
show (const ctl_t *ctl, const rep_t *rep)
{
  bool only_version = (ctl->opt.given & OPT_VERSION) != 0;

  if ((ctl->opt.given & OPT_JSON) != 0)
    {
      json_t *json = described (rep, !only_version);

      print_json (json, JSON_COMPACT);
      json_decref (json);
    }
  else if (only_version)
    print_version (rep);
  else
    print_json (rep_manifest (rep)->json, JSON_INDENT (2));
}

ctl_exit_t
cmd_manifest_show (ctl_t *ctl, const char *unused)
{
  fol_t fol;
  ctl_exit_t code;

  (void)unused;
  fol_start (&fol, ctl);
  code = fol_catch_up (&fol);
  if (code == CTL_OK && rep_unpublished (fol.rep))
    code = ctl_complain (CTL_FAILED, "no manifest was published yet");
  else if (code == CTL_OK)
    show (ctl, fol.rep);
  fol_end (&fol);
  return code;
}

static const char *
verdict_word (rep_verdict_t verdict)
{
  static const char *const WORDS[] = {
    [REP_ACCEPTED] = "accepted",
    [REP_STALE_BASE] = "lost",
    [REP_INVALID] = "invalid",
    [REP_REPEATED] = "repeated",
    [REP_CHECKPOINT_USED] = "checkpoint used",
    [REP_CHECKPOINT_SEEN] = "checkpoint",
    [REP_SKIPPED] = "skipped",
  };

  return WORDS[verdict];
}

/* The id and the reason can hold text of whoever appended: it is escaped. */
static void
print_judgement (const rep_judgement_t *judgement, uint64_t offset, void *context)
{
  const ctl_t *ctl = context;
  g_autofree char *reason = g_strescape (judgement->reason, NULL);

  if ((ctl->opt.given & OPT_JSON) != 0)
    {
      json_t *json = json_pack ("{sI ss ss sI ss}", "offset", (json_int_t)offset, "verdict",
                                verdict_word (judgement->verdict), "id", judgement->id, "version",
                                (json_int_t)judgement->version, "reason", reason);

      print_json (json, JSON_COMPACT);
      json_decref (json);
    }
  else
    printf ("offset %" PRIu64 " %s version %" PRIu64 "%s%s%s%s\n", offset,
            verdict_word (judgement->verdict), judgement->version,
            judgement->id[0] != '\0' ? " id " : "", judgement->id, reason[0] != '\0' ? ": " : "",
            reason);
  fflush (stdout);
}

static void
watch (fol_t *fol)
{
  ctl_t *ctl = fol->ctl;
  bool answered = true;

  if (!rep_unpublished (fol->rep))
    print_version (fol->rep);
  fflush (stdout);
  fol->judged = print_judgement;
  fol->context = ctl;
  while (ctl_left_ms (ctl) > 0)
    {
      bool before = answered;

      answered = fol_read (fol, MIN (WATCH_WAIT_MS, ctl_left_ms (ctl))) == PLT_OK;
      if (before && !answered)
        ctl_complain (CTL_OK, "the platform does not answer; what is in force stays in force");
      if (!answered)
        ctl_pause (ctl, WATCH_RETRY_MS);
    }
}

ctl_exit_t
cmd_manifest_watch (ctl_t *ctl, const char *unused)
{
  fol_t fol;
  ctl_exit_t code;

  (void)unused;
  fol_start (&fol, ctl);
  code = fol_catch_up (&fol);
  if ((ctl->opt.given & OPT_TIMEOUT) == 0)
    ctl->deadline_us = UINT64_MAX;
  if (code == CTL_OK)
    watch (&fol);
  fol_end (&fol);
  return code;
}
