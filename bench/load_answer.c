#include "load_answer.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define EVENT_PREFIX "data: "
#define STREAM_END "[DONE]"

static void
read_usage (load_answer_t *result, const json_t *json)
{
  const json_t *usage = json_object_get (json, "usage");
  if (usage == NULL)
    return;
  result->prompt_tokens = (uint64_t)json_integer_value (json_object_get (usage, "prompt_tokens"));
  result->completion_tokens =
      (uint64_t)json_integer_value (json_object_get (usage, "completion_tokens"));
  result->cached_tokens = (uint64_t)json_integer_value (json_object_get (usage, "cached_tokens"));
}

static const char *
first_choice_content (const json_t *json, const char *part)
{
  const json_t *choice = json_array_get (json_object_get (json, "choices"), 0);
  return json_string_value (json_object_get (json_object_get (choice, part), "content"));
}

static bool
read_event (load_answer_t *result, const char *line, GString *text)
{
  json_t *json = json_loads (line, 0, NULL);
  const char *content = first_choice_content (json, "delta");
  bool is_valid = json != NULL && json_object_get (json, "error") == NULL;
  if (content != NULL)
    g_string_append (text, content);
  read_usage (result, json);
  json_decref (json);
  return is_valid;
}

static bool
read_stream (load_answer_t *result, const GString *answer, GString *text)
{
  g_auto (GStrv) lines = g_strsplit (answer->str, "\n", 0);
  bool done = false;
  for (char **line = lines; *line != NULL; line++)
    {
      if (!g_str_has_prefix (*line, EVENT_PREFIX))
        continue;
      const char *event = *line + strlen (EVENT_PREFIX);
      if (strcmp (event, STREAM_END) == 0)
        done = true;
      else if (!read_event (result, event, text))
        return false;
    }
  return done;
}

static bool
read_whole (load_answer_t *result, load_answer_kind_t kind, const GString *answer, GString *text)
{
  json_t *json = json_loadb (answer->str, answer->len, 0, NULL);
  const char *found = kind == LOAD_ANSWER_CHAT
                          ? first_choice_content (json, "message")
                          : json_string_value (json_object_get (json, "body_hash"));
  bool is_valid = found != NULL;
  if (is_valid)
    g_string_append (text, found);
  read_usage (result, json);
  json_decref (json);
  return is_valid;
}

char *
load_answer_error_code (const GString *answer)
{
  json_t *json = json_loadb (answer->str, answer->len, 0, NULL);
  const json_t *error = json_object_get (json, "error");
  char *code = g_strdup (json_string_value (json_object_get (error, "code")));
  json_decref (json);
  return code;
}

load_answer_t
load_answer_parse (load_answer_kind_t kind, const GString *answer, uint64_t body_hash)
{
  load_answer_t result = { .verdict = LOAD_ANSWER_MALFORMED };
  GString *text = g_string_new (NULL);
  char expected_prefix[64];
  if (kind == LOAD_ANSWER_PLAIN)
    g_snprintf (expected_prefix, sizeof expected_prefix, "%016" PRIx64, body_hash);
  else
    g_snprintf (expected_prefix, sizeof expected_prefix, "answer to %016" PRIx64 " ", body_hash);
  bool is_valid = kind == LOAD_ANSWER_STREAM ? read_stream (&result, answer, text)
                                             : read_whole (&result, kind, answer, text);
  if (is_valid)
    result.verdict =
        g_str_has_prefix (text->str, expected_prefix) ? LOAD_ANSWER_MATCHES : LOAD_ANSWER_MISMATCH;
  result.text = g_string_free (text, FALSE);
  return result;
}
