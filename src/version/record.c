#include "version/record.h"

#include <string.h>

/* A manifest of maximum size plus the other members of its record. */
#define RECORD_BYTES_MAX (LIM_MANIFEST_BYTES + 4096)
/* Every JSON library represents integers up to here exactly; many store them as doubles. */
#define INTEGER_MAX (INT64_C (1) << 53)

static const char *const PUBLISH_KEYS[] = { "kind", "id", "base", "by", "manifest", "patch", NULL };
static const char *const CHECKPOINT_KEYS[] = { "kind", "version", "as_of", "by", "manifest", NULL };

static bool
fail (rec_t *rec, const char *error_text)
{
  g_strlcpy (rec->error, error_text, sizeof rec->error);
  return false;
}

static bool
has_only_keys (rec_t *rec, const char *const *allowed)
{
  const char *key;
  json_t *value;

  json_object_foreach (rec->json, key, value)
    {
      if (!g_strv_contains (allowed, key))
        return fail (rec, "the record has an unknown key");
    }
  return true;
}

static bool
read_integer (rec_t *rec, const char *key, uint64_t *number)
{
  const json_t *json = json_object_get (rec->json, key);
  json_int_t value = json_integer_value (json);

  if (!json_is_integer (json) || value < 0 || value > INTEGER_MAX)
    {
      g_snprintf (rec->error, sizeof rec->error, "%s: is not an integer in 0..2^53", key);
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
  return strlen (text) < LIM_NAME_BYTES;
}

static bool
read_name (rec_t *rec, const char *key, bool required, char *out)
{
  const json_t *json = json_object_get (rec->json, key);
  const char *text = json_string_value (json);

  if (json == NULL && !required)
    return true;
  if (text == NULL || !is_printable_name (text) || (required && text[0] == '\0'))
    {
      g_snprintf (rec->error, sizeof rec->error,
                  "%s: is not printable ASCII text of at most %d bytes", key, LIM_NAME_BYTES - 1);
      return false;
    }
  g_strlcpy (out, text, LIM_NAME_BYTES);
  return true;
}

static bool
read_publish (rec_t *rec)
{
  if (!has_only_keys (rec, PUBLISH_KEYS) || !read_name (rec, "id", true, rec->id) ||
      !read_integer (rec, "base", &rec->version) || !read_name (rec, "by", false, rec->publisher))
    return false;
  rec->manifest = json_object_get (rec->json, "manifest");
  rec->patch = json_object_get (rec->json, "patch");
  if ((rec->manifest == NULL) == (rec->patch == NULL))
    return fail (rec, "the record must have exactly one of manifest and patch");
  rec->kind = REC_PUBLISH;
  return true;
}

static bool
read_checkpoint (rec_t *rec)
{
  if (!has_only_keys (rec, CHECKPOINT_KEYS) || !read_integer (rec, "version", &rec->version) ||
      !read_integer (rec, "as_of", &rec->as_of) || !read_name (rec, "by", false, rec->publisher))
    return false;
  rec->manifest = json_object_get (rec->json, "manifest");
  if (rec->manifest == NULL)
    return fail (rec, "manifest: is missing");
  rec->kind = REC_CHECKPOINT;
  return true;
}

void
rec_read (rec_t *rec, const char *data, size_t data_bytes)
{
  json_error_t json_error;
  const char *kind;

  *rec = (rec_t){ 0 };
  if (data_bytes > RECORD_BYTES_MAX)
    {
      fail (rec, "the record is too large");
      return;
    }
  rec->json = json_loadb (data, data_bytes, JSON_REJECT_DUPLICATES, &json_error);
  kind = json_string_value (json_object_get (rec->json, "kind"));
  if (rec->json == NULL)
    fail (rec, json_error.text);
  else if (g_strcmp0 (kind, "publish") == 0)
    read_publish (rec);
  else if (g_strcmp0 (kind, "checkpoint") == 0)
    read_checkpoint (rec);
  else
    fail (rec, "kind: is neither \"publish\" nor \"checkpoint\"");
}

void
rec_clear (rec_t *rec)
{
  json_decref (rec->json);
  *rec = (rec_t){ 0 };
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
rec_publish (const char *id,
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
rec_checkpoint (uint64_t version, uint64_t as_of, const char *publisher, const json_t *manifest)
{
  return dump_and_unref (json_pack ("{ss sI sI ss sO}", "kind", "checkpoint", "version",
                                    (json_int_t)version, "as_of", (json_int_t)as_of, "by",
                                    publisher, "manifest", manifest));
}
