#include "request/router/chat_body.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* too_deep() - jansson recurses for each level, so a body of brackets could use up the stack */
static bool
too_deep (const char *body, size_t body_bytes)
{
  uint32_t depth = 0;
  bool in_string = false;

  for (size_t i = 0; i < body_bytes; i++)
    {
      char c = body[i];

      if (in_string)
        {
          if (c == '\\')
            i++;
          else if (c == '"')
            in_string = false;
        }
      else if (c == '"')
        in_string = true;
      else if ((c == '[' || c == '{') && ++depth > CBD_DEPTH)
        return true;
      else if ((c == ']' || c == '}') && depth > 0)
        depth--;
    }
  return false;
}

static bool
has_role (const json_t *message, const char *role)
{
  const char *given = json_string_value (json_object_get (message, "role"));

  return given != NULL && strcmp (given, role) == 0;
}

/* take_opening() - up to and with the first user message: the part of a chat that stays the same
 * however long it grows */
static void
take_opening (cbd_t *cbd, const json_t *messages)
{
  GString *text = g_string_new (NULL);
  size_t index;
  json_t *message;

  json_array_foreach (messages, index, message)
    {
      char *part = json_dumps (json_object_get (message, "content"),
                               JSON_ENCODE_ANY | JSON_COMPACT | JSON_SORT_KEYS);

      if (part != NULL)
        g_string_append (text, part);
      g_string_append_c (text, '\n');
      free (part);
      if (has_role (message, "user"))
        break;
    }
  cbd->opening_bytes = (uint32_t)text->len;
  cbd->opening = g_string_free (text, FALSE);
}

static bool
holds_answer (const json_t *messages)
{
  size_t index;
  json_t *message;

  json_array_foreach (messages, index, message)
    {
      if (has_role (message, "assistant"))
        return true;
    }
  return false;
}

static const char *
take_all (cbd_t *cbd, const json_t *json)
{
  const char *model = json_string_value (json_object_get (json, "model"));
  const json_t *messages = json_object_get (json, "messages");
  const json_t *max_tokens = json_object_get (json, "max_tokens");

  if (!json_is_object (json))
    return "the body is not a JSON object";
  if (model == NULL || g_strlcpy (cbd->model, model, sizeof cbd->model) >= sizeof cbd->model)
    return "\"model\" is missing, not a string or too long";
  if (!json_is_array (messages) || json_array_size (messages) == 0)
    return "\"messages\" is missing, not an array or empty";
  if (json_is_integer (max_tokens))
    cbd->max_tokens = (uint32_t)CLAMP (json_integer_value (max_tokens), 0, INT32_MAX);
  take_opening (cbd, messages);
  cbd->returning = holds_answer (messages);
  return NULL;
}

const char *
cbd_parse (cbd_t *cbd, const char *body, size_t body_bytes)
{
  json_error_t error;
  json_t *json;
  const char *fault;

  memset (cbd, 0, sizeof *cbd);
  if (too_deep (body, body_bytes))
    return "the body is nested too deeply";
  json = json_loadb (body, body_bytes, JSON_REJECT_DUPLICATES, &error);
  if (json == NULL)
    return "the body is not valid JSON";
  fault = take_all (cbd, json);
  json_decref (json);
  return fault;
}

void
cbd_clear (cbd_t *cbd)
{
  g_free (cbd->opening);
  cbd->opening = NULL;
}
