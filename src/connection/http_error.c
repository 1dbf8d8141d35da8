#include "connection/http_error.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>

static json_t *
string_or_null (const char *text)
{
  char *valid;
  json_t *json;

  if (!text)
    return json_null ();
  valid = g_utf8_make_valid (text, -1);
  json = json_string (valid);
  g_free (valid);
  return json;
}

char *
http_error_body (const char *message, const char *type, const char *code, const char *verdict)
{
  json_t *error = json_object ();
  json_t *root = json_object ();
  char *dumped;
  char *body;

  json_object_set_new (error, "message", string_or_null (message));
  json_object_set_new (error, "type", string_or_null (type));
  json_object_set_new (error, "code", string_or_null (code));
  if (verdict)
    json_object_set_new (error, "verdict", string_or_null (verdict));
  json_object_set_new (root, "error", error);
  dumped = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  body = g_strdup (dumped);
  free (dumped);
  return body;
}
