#include "version/manifest_record.h"

#include <string.h>

/* A manifest of maximum size plus the other members of its record. */
#define RECORD_BYTES_MAX (LIMIT_MANIFEST_BYTES + 4096)
/* Every JSON library represents integers up to here exactly; many store them as doubles. */
#define INTEGER_MAX (INT64_C (1) << 53)
/* The publishes that follow need versions too. */
#define RESTORED_VERSION_MAX (INTEGER_MAX / 2)

static const char *const PUBLISH_KEYS[] = { "kind", "id", "base", "by", "manifest", "patch", NULL };
static const char *const CHECKPOINT_KEYS[] = { "kind", "version", "as_of", "by", "manifest", NULL };

static const char *const RESTORE_KEYS[] = { "kind", "version", "by", "manifest", NULL };

static bool
fail (manifest_record_t *record, const char *error_text)
{
  g_strlcpy (record->error, error_text, sizeof record->error);
  return false;
}

static bool
has_only_keys (manifest_record_t *record, const char *const *allowed)
{
  const char *key;
  json_t *value;

  json_object_foreach (record->json, key, value)
    {
      if (!g_strv_contains (allowed, key))
        return fail (record, "the record has an unknown key");
    }
  return true;
}

static bool
read_integer (manifest_record_t *record, const char *key, uint64_t *number)
{
  const json_t *json = json_object_get (record->json, key);
  json_int_t value = json_integer_value (json);

  if (!json_is_integer (json) || value < 0 || value > INTEGER_MAX)
    {
      g_snprintf (record->error, sizeof record->error, "%s: is not an integer in 0..2^53", key);
      return false;
    }
  *number = (uint64_t)value;
  return true;
}

static bool
is_printable_name (const char *text)
{
  for (const char *c = text; *c != '\0'; c++)
    if (!g_ascii_isprint (*c))
      return false;
  return strlen (text) < LIMIT_NAME_BYTES;
}

static bool
read_name (manifest_record_t *record, const char *key, bool required, char *out)
{
  const json_t *json = json_object_get (record->json, key);
  const char *text = json_string_value (json);

  if (json == NULL && !required)
    return true;
  if (text == NULL || !is_printable_name (text) || (required && text[0] == '\0'))
    {
      g_snprintf (record->error, sizeof record->error,
                  "%s: is not printable ASCII text of at most %d bytes", key, LIMIT_NAME_BYTES - 1);
      return false;
    }
  g_strlcpy (out, text, LIMIT_NAME_BYTES);
  return true;
}

static bool
read_publish (manifest_record_t *record)
{
  if (!has_only_keys (record, PUBLISH_KEYS) || !read_name (record, "id", true, record->id) ||
      !read_integer (record, "base", &record->version) ||
      !read_name (record, "by", false, record->publisher))
    return false;
  record->manifest = json_object_get (record->json, "manifest");
  record->patch = json_object_get (record->json, "patch");
  if ((record->manifest == NULL) == (record->patch == NULL))
    return fail (record, "the record must have exactly one of manifest and patch");
  record->kind = MANIFEST_RECORD_PUBLISH;
  return true;
}

static bool
read_checkpoint (manifest_record_t *record)
{
  if (!has_only_keys (record, CHECKPOINT_KEYS) ||
      !read_integer (record, "version", &record->version) ||
      !read_integer (record, "as_of", &record->as_of) ||
      !read_name (record, "by", false, record->publisher))
    return false;
  record->manifest = json_object_get (record->json, "manifest");
  if (record->manifest == NULL)
    return fail (record, "manifest: is missing");
  record->kind = MANIFEST_RECORD_CHECKPOINT;
  return true;
}

static bool
read_restore (manifest_record_t *record)
{
  if (!has_only_keys (record, RESTORE_KEYS) ||
      !read_integer (record, "version", &record->version) ||
      !read_name (record, "by", false, record->publisher))
    return false;
  if (record->version > RESTORED_VERSION_MAX)
    return fail (record, "version: is larger than 2^52");
  record->manifest = json_object_get (record->json, "manifest");
  if (record->manifest == NULL)
    return fail (record, "manifest: is missing");
  record->kind = MANIFEST_RECORD_RESTORE;
  return true;
}

void
manifest_record_parse (manifest_record_t *record, const char *data, size_t data_bytes)
{
  json_error_t json_error;
  const char *kind;

  *record = (manifest_record_t){ 0 };
  if (data_bytes > RECORD_BYTES_MAX)
    {
      fail (record, "the record is too large");
      return;
    }
  record->json = json_loadb (data, data_bytes, JSON_REJECT_DUPLICATES, &json_error);
  kind = json_string_value (json_object_get (record->json, "kind"));
  if (record->json == NULL)
    fail (record, json_error.text);
  else if (g_strcmp0 (kind, "publish") == 0)
    read_publish (record);
  else if (g_strcmp0 (kind, "checkpoint") == 0)
    read_checkpoint (record);
  else if (g_strcmp0 (kind, "restore") == 0)
    read_restore (record);
  else
    fail (record, "kind: is neither \"publish\" nor \"checkpoint\" nor \"restore\"");
}

void
manifest_record_clear (manifest_record_t *record)
{
  json_decref (record->json);
  *record = (manifest_record_t){ 0 };
}

static char *
dump_and_unref (json_t *record)
{
  size_t flags = JSON_COMPACT | JSON_SORT_KEYS;
  size_t text_bytes = json_dumpb (record, NULL, 0, flags);
  char *text = g_malloc0 (text_bytes + 1);

  json_dumpb (record, text, text_bytes, flags);
  json_decref (record);
  return text;
}

char *
manifest_record_format_publish (const char *id,
                                uint64_t base,
                                const char *publisher,
                                const json_t *manifest,
                                const json_t *patch)
{
  g_assert ((manifest == NULL) != (patch == NULL));
  return dump_and_unref (json_pack (
      "{ss ss sI ss sO}", "kind", "publish", "id", id, "base", (json_int_t)base, "by", publisher,
      manifest != NULL ? "manifest" : "patch", manifest != NULL ? manifest : patch));
}

char *
manifest_record_format_checkpoint (uint64_t version,
                                   uint64_t as_of,
                                   const char *publisher,
                                   const json_t *manifest)
{
  return dump_and_unref (json_pack ("{ss sI sI ss sO}", "kind", "checkpoint", "version",
                                    (json_int_t)version, "as_of", (json_int_t)as_of, "by",
                                    publisher, "manifest", manifest));
}

char *
manifest_record_format_restore (uint64_t version, const char *publisher, const json_t *manifest)
{
  return dump_and_unref (json_pack ("{ss sI ss sO}", "kind", "restore", "version",
                                    (json_int_t)version, "by", publisher, "manifest", manifest));
}
