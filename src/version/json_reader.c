#include "version/json_reader.h"

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
json_reader_fail (GError **error,
                  manifest_error_t code,
                  const char *path,
                  const char *key,
                  const char *format,
                  ...)
{
  g_autofree char *location = join_path (path, key);
  g_autofree char *message = NULL;
  va_list args;

  va_start (args, format);
  message = g_strdup_vprintf (format, args);
  va_end (args);
  g_set_error (error, MANIFEST_ERROR, code, "%s: %s", location, message);
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
check_object (const json_reader_t *reader, const char *const *allowed, GError **error)
{
  const char *key;
  json_t *value;

  if (!json_is_object (reader->json))
    return json_reader_fail (error, MANIFEST_ERROR_TYPE, reader->path, NULL, "is not an object");
  json_object_foreach ((json_t *)reader->json, key, value)
    {
      if (!is_allowed (key, allowed))
        return json_reader_fail (error, MANIFEST_ERROR_UNKNOWN, reader->path, key,
                                 "is not a known key");
    }
  return true;
}

bool
json_reader_init (json_reader_t *reader,
                  const json_t *json,
                  const char *parent,
                  const char *key,
                  const char *const *allowed,
                  GError **error)
{
  reader->json = json;
  reader->path = key != NULL ? join_path (parent, key) : g_strdup (parent);
  return check_object (reader, allowed, error);
}

bool
json_reader_init_item (json_reader_t *reader,
                       const json_t *json,
                       const char *key,
                       size_t index,
                       const char *const *allowed,
                       GError **error)
{
  reader->json = json;
  reader->path = g_strdup_printf ("%s[%zu]", key, index);
  return check_object (reader, allowed, error);
}

void
json_reader_clear (json_reader_t *reader)
{
  g_clear_pointer (&reader->path, g_free);
}

bool
json_reader_get_u32 (const json_reader_t *reader,
                     const char *key,
                     json_reader_range_t range,
                     uint32_t *value,
                     GError **error)
{
  const json_t *json = json_object_get (reader->json, key);
  json_int_t number;

  *value = range.default_value;
  if (json == NULL)
    return true;
  if (!json_is_integer (json))
    return json_reader_fail (error, MANIFEST_ERROR_TYPE, reader->path, key,
                             "is not a whole number");
  number = json_integer_value (json);
  if (number < range.min || number > range.max)
    return json_reader_fail (error, MANIFEST_ERROR_RANGE, reader->path, key,
                             "%" JSON_INTEGER_FORMAT " is not in %u..%u", number, range.min,
                             range.max);
  *value = (uint32_t)number;
  return true;
}

bool
json_reader_get_bool (const json_reader_t *reader, const char *key, bool *value, GError **error)
{
  const json_t *json = json_object_get (reader->json, key);

  if (json == NULL)
    return true;
  if (!json_is_boolean (json))
    return json_reader_fail (error, MANIFEST_ERROR_TYPE, reader->path, key, "is not true or false");
  *value = json_is_true (json);
  return true;
}

bool
json_reader_get_string (const json_reader_t *reader,
                        const char *key,
                        const char **value,
                        GError **error)
{
  const json_t *json = json_object_get (reader->json, key);

  if (json == NULL)
    return json_reader_fail (error, MANIFEST_ERROR_MISSING, reader->path, key, "is missing");
  if (!json_is_string (json))
    return json_reader_fail (error, MANIFEST_ERROR_TYPE, reader->path, key, "is not a string");
  *value = json_string_value (json);
  return true;
}

bool
json_reader_copy_string (const json_reader_t *reader,
                         const char *key,
                         bool required,
                         char *out,
                         size_t out_bytes,
                         GError **error)
{
  const char *text = NULL;

  out[0] = '\0';
  if (!required && json_object_get (reader->json, key) == NULL)
    return true;
  if (!json_reader_get_string (reader, key, &text, error))
    return false;
  if (text[0] == '\0' || strlen (text) >= out_bytes)
    return json_reader_fail (error, MANIFEST_ERROR_RANGE, reader->path, key,
                             "is not 1..%zu bytes long", out_bytes - 1);
  g_strlcpy (out, text, out_bytes);
  return true;
}

bool
json_reader_get_object (const json_reader_t *reader,
                        const char *key,
                        json_t **value,
                        GError **error)
{
  *value = json_object_get (reader->json, key);
  if (*value == NULL)
    return json_reader_fail (error, MANIFEST_ERROR_MISSING, reader->path, key, "is missing");
  if (!json_is_object (*value))
    return json_reader_fail (error, MANIFEST_ERROR_TYPE, reader->path, key, "is not an object");
  if (json_object_size (*value) == 0)
    return json_reader_fail (error, MANIFEST_ERROR_RANGE, reader->path, key, "is empty");
  return true;
}

bool
json_reader_get_array (const json_reader_t *reader, const char *key, json_t **value, GError **error)
{
  *value = json_object_get (reader->json, key);
  if (*value == NULL)
    return json_reader_fail (error, MANIFEST_ERROR_MISSING, reader->path, key, "is missing");
  if (!json_is_array (*value))
    return json_reader_fail (error, MANIFEST_ERROR_TYPE, reader->path, key, "is not a list");
  if (json_array_size (*value) == 0)
    return json_reader_fail (error, MANIFEST_ERROR_RANGE, reader->path, key, "is empty");
  return true;
}

bool
json_reader_check_name (const char *name, const char *path, const char *key, GError **error)
{
  size_t length = strlen (name);

  if (length == 0 || length >= LIMIT_NAME_BYTES)
    return json_reader_fail (error, MANIFEST_ERROR_RANGE, path, key, "a name is 1..%d bytes long",
                             LIMIT_NAME_BYTES - 1);
  for (size_t i = 0; i < length; i++)
    {
      if (g_ascii_isalnum (name[i]) || (i > 0 && strchr ("._-", name[i]) != NULL))
        continue;
      return json_reader_fail (error, MANIFEST_ERROR_RANGE, path, key,
                               "a name has letters, digits, '.', '_' and '-' and starts with "
                               "a letter or digit");
    }
  return true;
}

bool
json_reader_check_depth (const json_t *json, uint32_t limit)
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
      if (!json_reader_check_depth (value, limit - 1))
        return false;
    }
  json_array_foreach (json, index, value)
    {
      if (!json_reader_check_depth (value, limit - 1))
        return false;
    }
  return true;
}
