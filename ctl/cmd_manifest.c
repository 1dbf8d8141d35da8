#include "ctl.h"
#include "manifest_reader.h"

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
  manifest_t *manifest;

  if (!g_file_get_contents (file, &text, &text_bytes, &error))
    return ctl_report (CTL_USAGE, "%s", error->message);
  manifest = manifest_parse (text, text_bytes, &error);
  if (manifest == NULL)
    return ctl_report (CTL_USAGE, "%s: %s", file, error->message);
  if ((ctl->options.given & CTL_OPTION_JSON) != 0)
    printf ("{\"digest\":\"%s\"}\n", manifest->digest);
  else
    printf ("%s: %u client accounts, %u services, %u classes, %u routes, digest %s\n", file,
            manifest->account_count, manifest->service_count, manifest->class_count,
            manifest->route_count, manifest->digest);
  manifest_unref (manifest);
  return CTL_OK;
}

static void
print_version (const replay_t *replay)
{
  const manifest_t *manifest = replay_manifest (replay);

  printf ("version %" PRIu64 " digest %s%s%s\n", manifest->version, manifest->digest,
          replay_publisher (replay)[0] != '\0' ? " by " : "", replay_publisher (replay));
}

static json_t *
manifest_to_json (const replay_t *replay, bool with_manifest)
{
  const manifest_t *manifest = replay_manifest (replay);
  json_t *json = json_pack ("{sI ss ss}", "version", (json_int_t)manifest->version, "digest",
                            manifest->digest, "by", replay_publisher (replay));

  if (with_manifest)
    json_object_set (json, "manifest", manifest->json);
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
print_manifest (const ctl_t *ctl, const replay_t *replay)
{
  bool only_version = (ctl->options.given & CTL_OPTION_VERSION) != 0;

  if ((ctl->options.given & CTL_OPTION_JSON) != 0)
    {
      json_t *json = manifest_to_json (replay, !only_version);

      print_json (json, JSON_COMPACT);
      json_decref (json);
    }
  else if (only_version)
    print_version (replay);
  else
    print_json (replay_manifest (replay)->json, JSON_INDENT (2));
}

ctl_exit_t
cmd_manifest_show (ctl_t *ctl, const char *unused)
{
  manifest_reader_t reader;
  ctl_exit_t code;

  (void)unused;
  manifest_reader_init (&reader, ctl);
  code = manifest_reader_catch_up (&reader);
  if (code == CTL_OK && replay_is_unpublished (reader.replay))
    code = ctl_report (CTL_FAILED, "no manifest was published yet");
  else if (code == CTL_OK)
    print_manifest (ctl, reader.replay);
  manifest_reader_clear (&reader);
  return code;
}

static const char *
verdict_text (replay_verdict_t verdict)
{
  static const char *const VERDICT_TEXTS[] = {
    [REPLAY_ACCEPTED] = "accepted",
    [REPLAY_STALE_BASE] = "lost",
    [REPLAY_INVALID] = "invalid",
    [REPLAY_REPEATED] = "repeated",
    [REPLAY_CHECKPOINT_USED] = "checkpoint used",
    [REPLAY_CHECKPOINT_SEEN] = "checkpoint",
    [REPLAY_SKIPPED] = "skipped",
  };

  return VERDICT_TEXTS[verdict];
}

/* The reason can quote text from the record, which any writer may have appended, so it is escaped.
 */
static void
print_result (const replay_result_t *result, uint64_t offset, void *context)
{
  const ctl_t *ctl = context;
  g_autofree char *reason = g_strescape (result->reason, NULL);

  if ((ctl->options.given & CTL_OPTION_JSON) != 0)
    {
      json_t *json = json_pack ("{sI ss ss sI ss}", "offset", (json_int_t)offset, "verdict",
                                verdict_text (result->verdict), "id", result->id, "version",
                                (json_int_t)result->version, "reason", reason);

      print_json (json, JSON_COMPACT);
      json_decref (json);
    }
  else
    printf ("offset %" PRIu64 " %s version %" PRIu64 "%s%s%s%s\n", offset,
            verdict_text (result->verdict), result->version, result->id[0] != '\0' ? " id " : "",
            result->id, reason[0] != '\0' ? ": " : "", reason);
  fflush (stdout);
}

static void
watch_records (manifest_reader_t *reader)
{
  ctl_t *ctl = reader->ctl;
  bool answered = true;

  if (!replay_is_unpublished (reader->replay))
    print_version (reader->replay);
  fflush (stdout);
  reader->on_result = print_result;
  reader->context = ctl;
  while (ctl_remaining_ms (ctl) > 0)
    {
      bool was_answered = answered;

      answered =
          manifest_reader_read (reader, MIN (WATCH_WAIT_MS, ctl_remaining_ms (ctl))) == PLATFORM_OK;
      if (was_answered && !answered)
        ctl_report (CTL_OK, "the platform does not answer; the manifest in force stays in force");
      if (!answered)
        ctl_pause (ctl, WATCH_RETRY_MS);
    }
}

ctl_exit_t
cmd_manifest_watch (ctl_t *ctl, const char *unused)
{
  manifest_reader_t reader;
  ctl_exit_t code;

  (void)unused;
  manifest_reader_init (&reader, ctl);
  code = manifest_reader_catch_up (&reader);
  if ((ctl->options.given & CTL_OPTION_TIMEOUT) == 0)
    ctl->deadline_us = UINT64_MAX;
  if (code == CTL_OK)
    watch_records (&reader);
  manifest_reader_clear (&reader);
  return code;
}
