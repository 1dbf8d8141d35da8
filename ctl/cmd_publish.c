#include "ask.h"
#include "ctl.h"
#include "follow.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/*
 * struct publish - one publish
 * @patch: the document is a merge patch
 * @document: what is published, as it came
 * @man: what it makes of the version in force
 * @id: of the record, never used twice
 * @judgement: the first one of @id, valid when @judged
 */
typedef struct
{
  ctl_t *ctl;
  fol_t fol;
  bool patch;
  json_t *document;
  man_t *man;
  uint64_t base;
  char *id;
  bool judged;
  rep_judgement_t judgement;
} publish_t;

#define FOLLOW_WAIT_MS 1000
#define RETRY_MS 200

static ctl_exit_t
load (publish_t *publish, const char *file)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  gsize text_bytes;
  json_error_t fault;

  if (!g_file_get_contents (file, &text, &text_bytes, &error))
    return ctl_complain (CTL_USAGE, "%s", error->message);
  if (text_bytes > LIM_MANIFEST_BYTES)
    return ctl_complain (CTL_USAGE, "%s: is larger than %d bytes", file, LIM_MANIFEST_BYTES);
  publish->document = json_loadb (text, text_bytes, JSON_REJECT_DUPLICATES, &fault);
  if (publish->document == NULL)
    return ctl_complain (CTL_USAGE, "%s: line %d, column %d: %s", file, fault.line, fault.column,
                         fault.text);
  return CTL_OK;
}

static ctl_exit_t
check (publish_t *publish, const char *file)
{
  g_autoptr (GError) error = NULL;
  man_t *before = rep_manifest (publish->fol.rep);

  if (publish->patch && before == NULL)
    return ctl_complain (CTL_USAGE, "%s: there is no manifest to patch", file);
  if (publish->patch)
    publish->man = man_patch (before, publish->document, &error);
  else
    publish->man = man_from_json (publish->document, &error);
  if (publish->man == NULL)
    return ctl_complain (CTL_USAGE, "%s: %s", file, error->message);
  return CTL_OK;
}

static ctl_exit_t
lost_race (const publish_t *publish)
{
  const rep_t *rep = publish->fol.rep;
  const man_t *man = rep_manifest (rep);
  const char *by = rep_by (rep);

  return ctl_complain (CTL_LOST_RACE, "version %" PRIu64 "%s%s is in force; rebase",
                       man != NULL ? man->version : 0, by[0] != '\0' ? " by " : "", by);
}

static ctl_exit_t
choose_base (publish_t *publish)
{
  const opt_t *opt = &publish->ctl->opt;
  const man_t *man = rep_manifest (publish->fol.rep);
  uint64_t in_force = man != NULL ? man->version : 0;

  publish->base = (opt->given & OPT_BASE) != 0 ? opt->base : in_force;
  if (publish->base < in_force)
    return lost_race (publish);
  if (publish->base > in_force)
    return ctl_complain (CTL_USAGE, "--base: %" PRIu64 " is not in force yet, %" PRIu64 " is",
                         publish->base, in_force);
  return CTL_OK;
}

static ctl_exit_t
check_follows (const publish_t *publish, const char *file)
{
  g_autoptr (GError) error = NULL;
  const man_t *before = rep_manifest (publish->fol.rep);

  if (before == NULL || man_may_follow (before, publish->man, &error))
    return CTL_OK;
  return ctl_complain (CTL_USAGE, "%s: %s", file, error->message);
}

static uint32_t
count_missing (const man_t *man, const GArray *hosts)
{
  uint32_t missing = 0;

  for (uint32_t at = 0; at < man->service_count; at++)
    for (uint32_t engine = 0; engine < man->services[at].engine_count; engine++)
      {
        const char *name = man->services[at].engines[engine];
        const mem_listed_t *host = ask_host_named (hosts, name);

        if (host != NULL && !host->router && host->state != MEM_GONE)
          continue;
        ctl_complain (CTL_OK, "services.%s.engines[%u]: the platform lists no engine host \"%s\"",
                      man->services[at].name, engine, name);
        missing++;
      }
  return missing;
}

static ctl_exit_t
check_hosts (const publish_t *publish)
{
  const opt_t *opt = &publish->ctl->opt;
  plt_outcome_t outcome;
  GArray *hosts;
  uint32_t missing = 0;

  if (!opt->hosts_check)
    return CTL_OK;
  hosts = ask_hosts (publish->ctl, &outcome);
  if (outcome == PLT_OK)
    missing = count_missing (publish->man, hosts);
  g_array_free (hosts, TRUE);
  if (outcome != PLT_OK)
    return ctl_complain (CTL_UNREACHABLE,
                         "the platform's list of hosts can't be had; nothing was published "
                         "(--hosts-check=no goes without it)");
  if (missing > 0 && (opt->given & OPT_ALLOW_MISSING) == 0)
    return ctl_complain (CTL_USAGE, "nothing was published; see --allow-missing-engines");
  return CTL_OK;
}

static void
on_judged (const rep_judgement_t *judgement, uint64_t offset, void *context)
{
  publish_t *publish = context;

  (void)offset;
  if (publish->id == NULL || publish->judged || judgement->verdict == REP_SKIPPED ||
      strcmp (judgement->id, publish->id) != 0)
    return;
  publish->judged = true;
  publish->judgement = *judgement;
}

typedef struct
{
  plt_outcome_t outcome;
  bool done;
} appended_t;

static void
on_appended (plt_outcome_t outcome, uint64_t offset, void *context)
{
  appended_t *appended = context;

  (void)offset;
  appended->outcome = outcome;
  appended->done = true;
}

static plt_outcome_t
append (publish_t *publish)
{
  plt_t *plt = publish->ctl->plt;
  g_autofree char *record = rep_publish_record (publish->id, publish->base, publish->ctl->opt.by,
                                                publish->patch ? NULL : publish->document,
                                                publish->patch ? publish->document : NULL);
  appended_t appended = { 0 };

  plt->append (plt, REP_STREAM, record, strlen (record), on_appended, &appended);
  ctl_run_until (publish->ctl, &appended.done);
  return appended.outcome;
}

/*
 * An append without an answer may take effect at any later time. It is looked for by its id, and
 * never made again: whoever appends blindly cannot tell its own record from that of another who
 * won in between.
 */
static void
await_judgement (publish_t *publish)
{
  while (!publish->judged && ctl_left_ms (publish->ctl) > 0)
    {
      uint32_t wait_ms = MIN (FOLLOW_WAIT_MS, ctl_left_ms (publish->ctl));

      if (fol_read (&publish->fol, wait_ms) != PLT_OK)
        ctl_pause (publish->ctl, RETRY_MS);
    }
}

static void
print_accepted (const publish_t *publish)
{
  if ((publish->ctl->opt.given & OPT_JSON) != 0)
    printf ("{\"id\":\"%s\",\"version\":%" PRIu64 ",\"digest\":\"%s\"}\n", publish->id,
            publish->judgement.version, publish->man->digest);
  else
    printf ("version %" PRIu64 " is in force\n", publish->judgement.version);
}

static ctl_exit_t
tell_judgement (const publish_t *publish)
{
  if (!publish->judged)
    return ctl_complain (CTL_UNREACHABLE,
                         "it is not known whether publish %s took effect; look with "
                         "\"manifest show\" before you publish again",
                         publish->id);
  switch (publish->judgement.verdict)
    {
    case REP_ACCEPTED:
      print_accepted (publish);
      return CTL_OK;
    case REP_STALE_BASE:
      return ctl_complain (CTL_LOST_RACE, "%s", publish->judgement.reason);
    default:
      return ctl_complain (CTL_FAILED, "refused: %s", publish->judgement.reason);
    }
}

static ctl_exit_t
prepare (publish_t *publish, const char *file)
{
  ctl_exit_t code = load (publish, file);

  if (code == CTL_OK && !publish->patch)
    code = check (publish, file);
  if (code == CTL_OK)
    code = fol_catch_up (&publish->fol);
  if (code == CTL_OK)
    code = choose_base (publish);
  if (code == CTL_OK && publish->patch)
    code = check (publish, file);
  if (code == CTL_OK)
    code = check_follows (publish, file);
  if (code == CTL_OK)
    code = check_hosts (publish);
  return code;
}

static ctl_exit_t
run (publish_t *publish, const char *file)
{
  ctl_exit_t code = prepare (publish, file);

  if (code != CTL_OK)
    return code;
  publish->id = g_uuid_string_random ();
  if (append (publish) == PLT_REFUSED)
    return ctl_complain (CTL_FAILED, "the platform did not take the record; nothing was published");
  await_judgement (publish);
  return tell_judgement (publish);
}

ctl_exit_t
cmd_manifest_publish (ctl_t *ctl, const char *file)
{
  publish_t publish = { .ctl = ctl, .patch = (ctl->opt.given & OPT_PATCH) != 0 };
  ctl_exit_t code;

  fol_start (&publish.fol, ctl);
  publish.fol.judged = on_judged;
  publish.fol.context = &publish;
  code = run (&publish, file);
  fol_end (&publish.fol);
  g_clear_pointer (&publish.man, man_unref);
  json_decref (publish.document);
  g_free (publish.id);
  return code;
}
