#include "manifest_reader.h"
#include "admin_call.h"

#define READ_RECORDS 256
#define RETRY_MS 200

typedef struct
{
  manifest_reader_t *reader;
  bool done;
} read_wait_t;

static void
apply_records (manifest_reader_t *reader, const platform_read_t *read)
{
  replay_set_first (reader->replay, read->first);
  replay_set_end (reader->replay, read->end);
  for (uint32_t i = 0; i < read->record_count; i++)
    {
      const platform_record_t *record = &read->records[i];
      replay_result_t result =
          replay_apply (reader->replay, record->position, record->data, record->data_bytes);

      if (reader->on_result != NULL)
        reader->on_result (&result, record->position.offset, reader->context);
    }
  reader->at_end = !position_is_before (replay_next (reader->replay), read->end);
}

static void
on_read (const platform_read_t *read, void *context)
{
  read_wait_t *wait = context;

  wait->reader->outcome = read->outcome;
  if (read->outcome == PLATFORM_OK)
    apply_records (wait->reader, read);
  wait->done = true;
}

void
manifest_reader_init (manifest_reader_t *reader, ctl_t *ctl)
{
  *reader = (manifest_reader_t){ .ctl = ctl, .replay = replay_new () };
}

void
manifest_reader_clear (manifest_reader_t *reader)
{
  g_clear_pointer (&reader->replay, replay_free);
}

platform_outcome_t
manifest_reader_read (manifest_reader_t *reader, uint32_t wait_ms)
{
  read_wait_t wait = { .reader = reader };
  platform_t *platform = reader->ctl->platform;

  reader->at_end = false;
  platform->read (platform, REPLAY_STREAM, replay_next (reader->replay).offset, READ_RECORDS,
                  wait_ms, on_read, &wait);
  ctl_run_until (reader->ctl, &wait.done);
  return reader->outcome;
}

static bool
adopt_reply (manifest_reader_t *reader, const json_t *answer)
{
  const json_t *offset = json_object_get (answer, "next_offset");
  const json_t *era = json_object_get (answer, "era");
  const json_t *version = json_object_get (answer, "version");
  manifest_t *manifest = manifest_from_json (json_object_get (answer, "manifest"), NULL);
  bool adopted;

  if (manifest == NULL)
    return false;
  manifest->version = (uint64_t)json_integer_value (version);
  adopted = replay_adopt (
      reader->replay, manifest,
      (position_t){ (uint64_t)json_integer_value (era), (uint64_t)json_integer_value (offset) });
  manifest_unref (manifest);
  return adopted;
}

/* Used when the oldest records were dropped from the stream and it holds no checkpoint yet. */
static bool
adopt_from_daemon (manifest_reader_t *reader)
{
  g_autofree char *body = NULL;
  json_t *answer;
  bool adopted;

  if ((reader->ctl->options.given & CTL_OPTION_DAEMON) == 0)
    return false;
  body = admin_call_fetch_manifest (reader->ctl, &reader->ctl->options.daemon);
  answer = body != NULL ? json_loads (body, JSON_REJECT_DUPLICATES, NULL) : NULL;
  adopted = answer != NULL && adopt_reply (reader, answer);
  json_decref (answer);
  return adopted;
}

static ctl_exit_t
read_to_end (manifest_reader_t *reader)
{
  do
    {
      if (manifest_reader_read (reader, 0) == PLATFORM_REFUSED)
        return ctl_report (CTL_FAILED, "the platform refused to read the manifest stream");
      if (reader->outcome == PLATFORM_UNKNOWN)
        ctl_pause (reader->ctl, RETRY_MS);
      if (reader->at_end)
        return CTL_OK;
    }
  while (ctl_remaining_ms (reader->ctl) > 0);
  if (reader->outcome == PLATFORM_UNKNOWN)
    return ctl_report (CTL_UNREACHABLE, "the platform does not answer");
  return ctl_report (CTL_FAILED, "the manifest stream was not read to its end in time");
}

ctl_exit_t
manifest_reader_catch_up (manifest_reader_t *reader)
{
  ctl_exit_t code = read_to_end (reader);

  if (code != CTL_OK || replay_is_ready (reader->replay) || replay_is_unpublished (reader->replay))
    return code;
  if (adopt_from_daemon (reader))
    {
      code = read_to_end (reader);
      if (code != CTL_OK || replay_is_ready (reader->replay))
        return code;
    }
  return ctl_report (CTL_FAILED,
                     "what is in force cannot be told from what the log still holds; wait for "
                     "a checkpoint, or name a daemon with --daemon");
}
