#include "version/manifest_check.h"

#include <string.h>

#define QUOTED_CHARS_MAX 80 /* of text from the document in an error message */

/* Truncates and escapes text from the document for an error message. */
static char *
quote (const char *text)
{
  g_autofree char *part =
      g_utf8_substring (text, 0, MIN (g_utf8_strlen (text, -1), QUOTED_CHARS_MAX));

  return g_strescape (part, NULL);
}

static char *
join_path (const char *path, const char *key)
{
  g_autofree char *quoted = key != NULL ? quote (key) : NULL;

  if (quoted == NULL)
    return g_strdup (path[0] != '\0' ? path : "document");
  return path[0] != '\0' ? g_strdup_printf ("%s.%s", path, quoted) : g_steal_pointer (&quoted);
}

bool
mck_fail (
    GError **error, man_error_t code, const char *path, const char *key, const char *format, ...)
{
  g_autofree char *location = join_path (path, key);
  g_autofree char *message = NULL;
  va_list args;

  va_start (args, format);
  message = g_strdup_vprintf (format, args);
  va_end (args);
  g_set_error (error, MAN_ERROR, code, "%s: %s", location, message);
  return false;
}

static bool
is_allowed (const char *key, const char *const *allowed)
{
  for (; *allowed != NULL; allowed++)
    if (strcmp (key, *allowed) == 0)
      return true;
  return false;
}

static bool
check_object (const mck_t *mck, const char *const *allowed, GError **error)
{
  const char *key;
  json_t *value;

  if (!json_is_object (mck->json))
    return mck_fail (error, MAN_ERROR_TYPE, mck->path, NULL, "is not an object");
  json_object_foreach ((json_t *)mck->json, key, value)
    {
      if (!is_allowed (key, allowed))
        return mck_fail (error, MAN_ERROR_UNKNOWN, mck->path, key, "is not a known key");
    }
  return true;
}

bool
mck_enter (mck_t *mck,
           const json_t *json,
           const char *parent,
           const char *key,
           const char *const *allowed,
           GError **error)
{
  mck->json = json;
  mck->path = key != NULL ? join_path (parent, key) : g_strdup (parent);
  return check_object (mck, allowed, error);
}

bool
mck_enter_item (mck_t *mck,
                const json_t *json,
                const char *key,
                size_t index,
                const char *const *allowed,
                GError **error)
{
  mck->json = json;
  mck->path = g_strdup_printf ("%s[%zu]", key, index);
  return check_object (mck, allowed, error);
}

void
mck_leave (mck_t *mck)
{
  g_clear_pointer (&mck->path, g_free);
}

bool
mck_u32 (const mck_t *mck, const char *key, mck_range_t range, uint32_t *value, GError **error)
{
  const json_t *json = json_object_get (mck->json, key);
  json_int_t number;

  *value = range.default_value;
  if (json == NULL)
    return true;
  if (!json_is_integer (json))
    return mck_fail (error, MAN_ERROR_TYPE, mck->path, key, "is not a whole number");
  number = json_integer_value (json);
  if (number < range.min || number > range.max)
    return mck_fail (error, MAN_ERROR_RANGE, mck->path, key,
                     "%" JSON_INTEGER_FORMAT " is not in %u..%u", number, range.min, range.max);
  *value = (uint32_t)number;
  return true;
}

bool
mck_bool (const mck_t *mck, const char *key, bool *value, GError **error)
{
  const json_t *json = json_object_get (mck->json, key);

  if (json == NULL)
    return true;
  if (!json_is_boolean (json))
    return mck_fail (error, MAN_ERROR_TYPE, mck->path, key, "is not true or false");
  *value = json_is_true (json);
  return true;
}

bool
mck_text (const mck_t *mck, const char *key, const char **value, GError **error)
{
  const json_t *json = json_object_get (mck->json, key);

  if (json == NULL)
    return mck_fail (error, MAN_ERROR_MISSING, mck->path, key, "is missing");
  if (!json_is_string (json))
    return mck_fail (error, MAN_ERROR_TYPE, mck->path, key, "is not a string");
  *value = json_string_value (json);
  return true;
}

bool
mck_copy (
    const mck_t *mck, const char *key, bool required, char *out, size_t out_bytes, GError **error)
{
  const char *text = NULL;

  out[0] = '\0';
  if (!required && json_object_get (mck->json, key) == NULL)
    return true;
  if (!mck_text (mck, key, &text, error))
    return false;
  if (text[0] == '\0' || strlen (text) >= out_bytes)
    return mck_fail (error, MAN_ERROR_RANGE, mck->path, key, "is not 1..%zu bytes long",
                     out_bytes - 1);
  g_strlcpy (out, text, out_bytes);
  return true;
}

bool
mck_members (const mck_t *mck, const char *key, json_t **value, GError **error)
{
  *value = json_object_get (mck->json, key);
  if (*value == NULL)
    return mck_fail (error, MAN_ERROR_MISSING, mck->path, key, "is missing");
  if (!json_is_object (*value))
    return mck_fail (error, MAN_ERROR_TYPE, mck->path, key, "is not an object");
  if (json_object_size (*value) == 0)
    return mck_fail (error, MAN_ERROR_RANGE, mck->path, key, "is empty");
  return true;
}

bool
mck_items (const mck_t *mck, const char *key, json_t **value, GError **error)
{
  *value = json_object_get (mck->json, key);
  if (*value == NULL)
    return mck_fail (error, MAN_ERROR_MISSING, mck->path, key, "is missing");
  if (!json_is_array (*value))
    return mck_fail (error, MAN_ERROR_TYPE, mck->path, key, "is not a list");
  if (json_array_size (*value) == 0)
    return mck_fail (error, MAN_ERROR_RANGE, mck->path, key, "is empty");
  return true;
}

bool
mck_name (const char *name, const char *path, const char *key, GError **error)
{
  size_t length = strlen (name);

  if (length == 0 || length >= LIM_NAME_BYTES)
    return mck_fail (error, MAN_ERROR_RANGE, path, key, "a name is 1..%d bytes long",
                     LIM_NAME_BYTES - 1);
  for (size_t i = 0; i < length; i++)
    {
      if (g_ascii_isalnum (name[i]) || (i > 0 && strchr ("._-", name[i]) != NULL))
        continue;
      return mck_fail (error, MAN_ERROR_RANGE, path, key,
                       "a name has letters, digits, '.', '_' and '-' and starts with "
                       "a letter or digit");
    }
  return true;
}

bool
mck_depth (const json_t *json, uint32_t limit)
{
  const char *key;
  json_t *value;
  size_t index;

  if (!json_is_object (json) && !json_is_array (json))
    return true;
  if (limit == 0)
    return false;
  json_object_foreach ((json_t *)json, key, value)
    {
      if (!mck_depth (value, limit - 1))
        return false;
    }
  json_array_foreach (json, index, value)
    {
      if (!mck_depth (value, limit - 1))
        return false;
    }
  return true;
}
