#include "version/record.h"

#include <string.h>

/* Room for the other members of a record around its manifest. */
#define RECORD_BYTES (LIM_MANIFEST_BYTES + 4096)
/* The largest whole number that every JSON library keeps exact. */
#define NUMBER_MAX (INT64_C (1) << 53)

static const char *const PUBLISH_KEYS[] = { "kind", "id", "base", "by", "manifest", "patch", NULL };
static const char *const CHECKPOINT_KEYS[] = { "kind", "version", "as_of", "by", "manifest", NULL };

static bool
fail (rec_t *rec, const char *fault)
{
  g_strlcpy (rec->fault, fault, sizeof rec->fault);
  return false;
}

static bool
known_keys (rec_t *rec, const char *const *known)
{
  const char *key;
  json_t *value;

  json_object_foreach (rec->json, key, value)
    {
      if (!g_strv_contains (known, key))
        return fail (rec, "the record has a key that is not known");
    }
  return true;
}

static bool
read_number (rec_t *rec, const char *key, uint64_t *number)
{
  const json_t *json = json_object_get (rec->json, key);
  json_int_t value = json_integer_value (json);

  if (!json_is_integer (json) || value < 0 || value > NUMBER_MAX)
    {
      g_snprintf (rec->fault, sizeof rec->fault, "%s: is not a whole number in 0..2^53", key);
      return false;
    }
  *number = (uint64_t)value;
  return true;
}

static bool
is_word (const char *text)
{
  for (const char *at = text; *at != '\0'; at++)
    if (!g_ascii_isprint (*at))
      return false;
  return strlen (text) < LIM_NAME_BYTES;
}

static bool
read_word (rec_t *rec, const char *key, bool required, char *out)
{
  const json_t *json = json_object_get (rec->json, key);
  const char *text = json_string_value (json);

  if (json == NULL && !required)
    return true;
  if (text == NULL || !is_word (text) || (required && text[0] == '\0'))
    {
      g_snprintf (rec->fault, sizeof rec->fault, "%s: is not a word of at most %d bytes", key,
                  LIM_NAME_BYTES - 1);
      return false;
    }
  g_strlcpy (out, text, LIM_NAME_BYTES);
  return true;
}

static bool
read_publish (rec_t *rec)
{
  if (!known_keys (rec, PUBLISH_KEYS) || !read_word (rec, "id", true, rec->id) ||
      !read_number (rec, "base", &rec->number) || !read_word (rec, "by", false, rec->by))
    return false;
  rec->manifest = json_object_get (rec->json, "manifest");
  rec->patch = json_object_get (rec->json, "patch");
  if ((rec->manifest == NULL) == (rec->patch == NULL))
    return fail (rec, "the record has not just one of manifest and patch");
  rec->kind = REC_PUBLISH;
  return true;
}

static bool
read_checkpoint (rec_t *rec)
{
  if (!known_keys (rec, CHECKPOINT_KEYS) || !read_number (rec, "version", &rec->number) ||
      !read_number (rec, "as_of", &rec->as_of) || !read_word (rec, "by", false, rec->by))
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
  json_error_t error;
  const char *kind;

  *rec = (rec_t){ 0 };
  if (data_bytes > RECORD_BYTES)
    {
      fail (rec, "the record is too large");
      return;
    }
  rec->json = json_loadb (data, data_bytes, JSON_REJECT_DUPLICATES, &error);
  kind = json_string_value (json_object_get (rec->json, "kind"));
  if (rec->json == NULL)
    fail (rec, error.text);
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
dump (json_t *record)
{
  size_t flags = JSON_COMPACT | JSON_SORT_KEYS;
  size_t text_bytes = json_dumpb (record, NULL, 0, flags);
  char *text = g_malloc0 (text_bytes + 1);

  json_dumpb (record, text, text_bytes, flags);
  json_decref (record);
  return text;
}

char *
rec_publish (
    const char *id, uint64_t base, const char *by, const json_t *manifest, const json_t *patch)
{
  g_assert ((manifest == NULL) != (patch == NULL));
  return dump (json_pack ("{ss ss sI ss sO}", "kind", "publish", "id", id, "base", (json_int_t)base,
                          "by", by, manifest != NULL ? "manifest" : "patch",
                          manifest != NULL ? manifest : patch));
}

char *
rec_checkpoint (uint64_t version, uint64_t as_of, const char *by, const json_t *manifest)
{
  return dump (json_pack ("{ss sI sI ss sO}", "kind", "checkpoint", "version", (json_int_t)version,
                          "as_of", (json_int_t)as_of, "by", by, "manifest", manifest));
}
