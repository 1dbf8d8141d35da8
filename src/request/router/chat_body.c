#include "request/router/chat_body.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* is_nested_too_deeply() - jansson recurses once for each level, so a body of nested brackets could
 * overflow the stack */
static bool
is_nested_too_deeply (const char *body, size_t body_bytes)
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
      else if ((c == '[' || c == '{') && ++depth > CHAT_BODY_MAX_DEPTH)
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

/* read_opening() - collects the messages up to and including the first user message, which stay the
 * same in all later requests of the chat */
static void
read_opening (chat_body_t *chat, const json_t *messages)
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
  chat->opening_bytes = (uint32_t)text->len;
  chat->opening = g_string_free (text, FALSE);
}

static bool
has_assistant_message (const json_t *messages)
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
read_fields (chat_body_t *chat, const json_t *json)
{
  const char *model = json_string_value (json_object_get (json, "model"));
  const json_t *messages = json_object_get (json, "messages");
  const json_t *max_tokens = json_object_get (json, "max_tokens");

  if (!json_is_object (json))
    return "the body is not a JSON object";
  if (model == NULL || g_strlcpy (chat->model, model, sizeof chat->model) >= sizeof chat->model)
    return "\"model\" is missing, not a string or too long";
  if (!json_is_array (messages) || json_array_size (messages) == 0)
    return "\"messages\" is missing, not an array or empty";
  if (json_is_integer (max_tokens))
    chat->max_tokens = (uint32_t)CLAMP (json_integer_value (max_tokens), 0, INT32_MAX);
  read_opening (chat, messages);
  chat->returning = has_assistant_message (messages);
  return NULL;
}

const char *
chat_body_parse (chat_body_t *chat, const char *body, size_t body_bytes)
{
  json_error_t error;
  json_t *json;
  const char *fault;

  memset (chat, 0, sizeof *chat);
  if (is_nested_too_deeply (body, body_bytes))
    return "the body is nested too deeply";
  json = json_loadb (body, body_bytes, JSON_REJECT_DUPLICATES, &error);
  if (json == NULL)
    return "the body is not valid JSON";
  fault = read_fields (chat, json);
  json_decref (json);
  return fault;
}

void
chat_body_clear (chat_body_t *chat)
{
  g_free (chat->opening);
  chat->opening = NULL;
}
