#include "admin_call.h"
#include "ctl.h"
#include "manifest_reader.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/*
 * struct publish - state of one publish
 * @patch: whether the document is a merge patch
 * @document: the document from the file, unchanged
 * @manifest: the manifest that results from applying the document
 * @base: version that the document is based on
 * @id: unique id of the record
 * @has_result: whether the record was read back from the stream
 * @result: result of the first record with this @id, valid when @has_result
 */
typedef struct
{
  ctl_t *ctl;
  manifest_reader_t reader;
  bool patch;
  json_t *document;
  manifest_t *manifest;
  uint64_t base;
  char *id;
  bool has_result;
  replay_result_t result;
} publish_t;

#define FOLLOW_WAIT_MS 1000
#define RETRY_MS 200

static ctl_exit_t
load_document (publish_t *publish, const char *file)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  gsize text_bytes;
  json_error_t parse_error;

  if (!g_file_get_contents (file, &text, &text_bytes, &error))
    return ctl_report (CTL_USAGE, "%s", error->message);
  if (text_bytes > LIMIT_MANIFEST_BYTES)
    return ctl_report (CTL_USAGE, "%s: is larger than the limit of %d bytes", file,
                       LIMIT_MANIFEST_BYTES);
  publish->document = json_loadb (text, text_bytes, JSON_REJECT_DUPLICATES, &parse_error);
  if (publish->document == NULL)
    return ctl_report (CTL_USAGE, "%s: line %d, column %d: %s", file, parse_error.line,
                       parse_error.column, parse_error.text);
  return CTL_OK;
}

static ctl_exit_t
build_manifest (publish_t *publish, const char *file)
{
  g_autoptr (GError) error = NULL;
  manifest_t *current = replay_manifest (publish->reader.replay);

  if (publish->patch && current == NULL)
    return ctl_report (CTL_USAGE, "%s: there is no manifest to patch", file);
  if (publish->patch)
    publish->manifest = manifest_patch (current, publish->document, &error);
  else
    publish->manifest = manifest_from_json (publish->document, &error);
  if (publish->manifest == NULL)
    return ctl_report (CTL_USAGE, "%s: %s", file, error->message);
  return CTL_OK;
}

static ctl_exit_t
report_conflict (const publish_t *publish)
{
  const replay_t *replay = publish->reader.replay;
  const manifest_t *manifest = replay_manifest (replay);
  const char *by = replay_publisher (replay);

  return ctl_report (CTL_CONFLICT, "version %" PRIu64 "%s%s is in force; rebase",
                     manifest != NULL ? manifest->version : 0, by[0] != '\0' ? " by " : "", by);
}

static ctl_exit_t
choose_base (publish_t *publish)
{
  const ctl_options_t *options = &publish->ctl->options;
  const manifest_t *manifest = replay_manifest (publish->reader.replay);
  uint64_t in_force = manifest != NULL ? manifest->version : 0;

  publish->base = (options->given & CTL_OPTION_BASE) != 0 ? options->base : in_force;
  if (publish->base < in_force)
    return report_conflict (publish);
  if (publish->base > in_force)
    return ctl_report (CTL_USAGE, "--base: %" PRIu64 " is not in force yet, %" PRIu64 " is",
                       publish->base, in_force);
  return CTL_OK;
}

static ctl_exit_t
check_transition (const publish_t *publish, const char *file)
{
  g_autoptr (GError) error = NULL;
  const manifest_t *current = replay_manifest (publish->reader.replay);

  if (current == NULL || manifest_may_follow (current, publish->manifest, &error))
    return CTL_OK;
  return ctl_report (CTL_USAGE, "%s: %s", file, error->message);
}

static uint32_t
count_missing_engines (const manifest_t *manifest, const GArray *hosts)
{
  uint32_t missing = 0;

  for (uint32_t i = 0; i < manifest->service_count; i++)
    for (uint32_t engine = 0; engine < manifest->services[i].engine_count; engine++)
      {
        const char *name = manifest->services[i].engines[engine];
        const membership_list_entry_t *host = host_list_find (hosts, name);

        if (host != NULL && !host->is_router && host->state != MEMBERSHIP_GONE)
          continue;
        ctl_report (CTL_OK, "services.%s.engines[%u]: the platform lists no engine host \"%s\"",
                    manifest->services[i].name, engine, name);
        missing++;
      }
  return missing;
}

static ctl_exit_t
check_engines_listed (const publish_t *publish)
{
  const ctl_options_t *options = &publish->ctl->options;
  platform_outcome_t outcome;
  GArray *hosts;
  uint32_t missing = 0;

  if (!options->hosts_check)
    return CTL_OK;
  hosts = host_list_fetch (publish->ctl, &outcome);
  if (outcome == PLATFORM_OK)
    missing = count_missing_engines (publish->manifest, hosts);
  g_array_free (hosts, TRUE);
  if (outcome != PLATFORM_OK)
    return ctl_report (CTL_UNREACHABLE,
                       "the platform's list of hosts can't be had; nothing was published "
                       "(--hosts-check=no goes without it)");
  if (missing > 0 && (options->given & CTL_OPTION_ALLOW_MISSING) == 0)
    return ctl_report (CTL_USAGE, "nothing was published; see --allow-missing-engines");
  return CTL_OK;
}

static void
on_result (const replay_result_t *result, uint64_t offset, void *context)
{
  publish_t *publish = context;

  (void)offset;
  if (publish->id == NULL || publish->has_result || result->verdict == REPLAY_SKIPPED ||
      strcmp (result->id, publish->id) != 0)
    return;
  publish->has_result = true;
  publish->result = *result;
}

typedef struct
{
  platform_outcome_t outcome;
  bool done;
} append_wait_t;

static void
on_appended (platform_outcome_t outcome, position_t position, void *context)
{
  append_wait_t *appended = context;

  (void)position;
  appended->outcome = outcome;
  appended->done = true;
}

static platform_outcome_t
append_record (publish_t *publish)
{
  platform_t *platform = publish->ctl->platform;
  g_autofree char *record = replay_format_publish (
      publish->id, publish->base, publish->ctl->options.by,
      publish->patch ? NULL : publish->document, publish->patch ? publish->document : NULL);
  append_wait_t appended = { 0 };

  platform->append (platform, REPLAY_STREAM, record, strlen (record), on_appended, &appended);
  ctl_run_until (publish->ctl, &appended.done);
  return appended.outcome;
}

/*
 * An append whose response was lost may still take effect at any later time. The record is looked
 * for in the stream by its id and never appended again: after a second append the tool could not
 * tell its own record from that of another publisher who came first.
 */
static void
wait_for_result (publish_t *publish)
{
  while (!publish->has_result && ctl_remaining_ms (publish->ctl) > 0)
    {
      uint32_t wait_ms = MIN (FOLLOW_WAIT_MS, ctl_remaining_ms (publish->ctl));

      if (manifest_reader_read (&publish->reader, wait_ms) != PLATFORM_OK)
        ctl_pause (publish->ctl, RETRY_MS);
    }
}

static void
print_accepted (const publish_t *publish)
{
  if ((publish->ctl->options.given & CTL_OPTION_JSON) != 0)
    printf ("{\"id\":\"%s\",\"version\":%" PRIu64 ",\"digest\":\"%s\"}\n", publish->id,
            publish->result.version, publish->manifest->digest);
  else
    printf ("version %" PRIu64 " is in force\n", publish->result.version);
}

static ctl_exit_t
report_result (const publish_t *publish)
{
  if (!publish->has_result)
    return ctl_report (CTL_UNREACHABLE,
                       "it is not known whether publish %s took effect; look with "
                       "\"manifest show\" before you publish again",
                       publish->id);
  switch (publish->result.verdict)
    {
    case REPLAY_ACCEPTED:
      print_accepted (publish);
      return CTL_OK;
    case REPLAY_STALE_BASE:
      return ctl_report (CTL_CONFLICT, "%s", publish->result.reason);
    default:
      return ctl_report (CTL_FAILED, "the manifest was rejected: %s", publish->result.reason);
    }
}

static ctl_exit_t
prepare (publish_t *publish, const char *file)
{
  ctl_exit_t code = load_document (publish, file);

  if (code == CTL_OK && !publish->patch)
    code = build_manifest (publish, file);
  if (code == CTL_OK)
    code = manifest_reader_catch_up (&publish->reader);
  if (code == CTL_OK)
    code = choose_base (publish);
  if (code == CTL_OK && publish->patch)
    code = build_manifest (publish, file);
  if (code == CTL_OK)
    code = check_transition (publish, file);
  if (code == CTL_OK)
    code = check_engines_listed (publish);
  return code;
}

static ctl_exit_t
publish_file (publish_t *publish, const char *file)
{
  ctl_exit_t code = prepare (publish, file);

  if (code != CTL_OK)
    return code;
  publish->id = g_uuid_string_random ();
  if (append_record (publish) == PLATFORM_REFUSED)
    return ctl_report (CTL_FAILED, "the platform did not take the record; nothing was published");
  wait_for_result (publish);
  return report_result (publish);
}

ctl_exit_t
cmd_manifest_publish (ctl_t *ctl, const char *file)
{
  publish_t publish = { .ctl = ctl, .patch = (ctl->options.given & CTL_OPTION_PATCH) != 0 };
  ctl_exit_t code;

  manifest_reader_init (&publish.reader, ctl);
  publish.reader.on_result = on_result;
  publish.reader.context = &publish;
  code = publish_file (&publish, file);
  manifest_reader_clear (&publish.reader);
  g_clear_pointer (&publish.manifest, manifest_unref);
  json_decref (publish.document);
  g_free (publish.id);
  return code;
}
