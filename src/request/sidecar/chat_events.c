#include "request/sidecar/chat_events.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#define LAST_DATA "[DONE]"

void
chat_events_clear (chat_events_t *events)
{
  g_free (events->id);
}

static bool
is_last (const event_text_t *event)
{
  return event->data_lines == 1 && event->data_bytes == strlen (LAST_DATA) &&
         memcmp (event->data, LAST_DATA, event->data_bytes) == 0;
}

/* Return: the JSON object that the event holds, or NULL */
static json_t *
read_object (const event_text_t *event)
{
  json_t *json =
      event->data_lines == 1 ? json_loadb (event->data, event->data_bytes, 0, NULL) : NULL;

  if (json_is_object (json))
    return json;
  json_decref (json);
  return NULL;
}

static bool
is_of_answer (chat_events_t *events, const json_t *object)
{
  const char *id = json_string_value (json_object_get (object, "id"));

  if (!id)
    return true;
  if (!events->id)
    events->id = g_strdup (id);
  return strcmp (events->id, id) == 0;
}

event_fault_t
chat_events_check (const event_text_t *event, void *context)
{
  chat_events_t *events = context;
  json_t *object;
  bool is_right;

  if (events->has_ended)
    return EVENT_FAULT_OUT_OF_ORDER;
  events->has_ended = is_last (event);
  if (events->has_ended)
    return EVENT_FAULT_NONE;
  object = read_object (event);
  if (!events->has_begun)
    events->is_chat = object != NULL;
  events->has_begun = true;
  is_right = events->is_chat == (object != NULL) && is_of_answer (events, object);
  json_decref (object);
  return is_right ? EVENT_FAULT_NONE : EVENT_FAULT_MALFORMED;
}
