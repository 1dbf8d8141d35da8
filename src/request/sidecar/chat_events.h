/**
 * DOC: chat_events
 *
 * Which events may follow each other in the stream of one answer of an engine. Those of a chat hold
 * a JSON object each, with the id of the answer or without one, and end with "[DONE]"; of other
 * streams no more is known than that they are events.
 */
#ifndef REQUEST_SIDECAR_CHAT_EVENTS_H
#define REQUEST_SIDECAR_CHAT_EVENTS_H

#include "request/event_text.h"

/**
 * struct chat_events - state of one stream; zero at its start
 * @id: id of the answer, NULL if none has come
 * @has_begun: an event has come, which decides @is_chat
 * @is_chat: the events hold JSON objects
 * @has_ended: "[DONE]" has come
 */
typedef struct
{
  char *id;
  bool has_begun;
  bool is_chat;
  bool has_ended;
} chat_events_t;

void chat_events_clear (chat_events_t *events);
/** chat_events_check() - takes the next event; @context: the chat_events_t. Return:
 * %EVENT_FAULT_NONE if it may follow */
event_fault_t chat_events_check (const event_text_t *event, void *context);

#endif
