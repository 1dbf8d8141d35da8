/**
 * DOC: event_splitter
 *
 * Splits a stream of server-sent events into whole events and remembers the id of the last one.
 * Only whole events are forwarded, so a stream that breaks off can be resumed at another engine.
 */
#ifndef REQUEST_GATEWAY_EVENT_SPLITTER_H
#define REQUEST_GATEWAY_EVENT_SPLITTER_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

/* A longer event makes the stream invalid. An event without end takes twice this memory. */
#define EVENT_SPLITTER_LIMIT_BYTES (384 * 1024)

/**
 * struct splitter - state of one stream of events
 * @partial: what has come of an event that has not ended yet
 * @searched_bytes: of @partial, in which no event ends
 * @last_id: id of the last event that had one; valid when @has_id is set
 * @event_count: number of whole events that were forwarded
 * @resumed: the stream was resumed: events up to @last_id are dropped
 * @overflowed: an event exceeded %EVENT_SPLITTER_LIMIT_BYTES; nothing more is forwarded
 */
typedef struct
{
  struct evbuffer *partial;
  size_t searched_bytes;
  uint64_t last_id;
  uint64_t event_count;
  bool has_id;
  bool resumed;
  bool overflowed;
} event_splitter_t;

void event_splitter_init (event_splitter_t *splitter);
void event_splitter_clear (event_splitter_t *splitter);
/** event_splitter_feed() - appends @in, which it drains, to the stream, and moves the events that
 * are whole by now to @out */
void event_splitter_feed (event_splitter_t *splitter, struct evbuffer *in, struct evbuffer *out);
/** event_splitter_is_between() - whether the stream stands between two events, with no partial one
 */
bool event_splitter_is_between (const event_splitter_t *splitter);
/** event_splitter_restart() - prepares for a new stream from another engine: drops the partial
 * event */
void event_splitter_restart (event_splitter_t *splitter);
/** event_splitter_resume() - prepares for a stream that continues after @last_id: drops the partial
 * event, and events of the new stream that were forwarded already */
void event_splitter_resume (event_splitter_t *splitter);

#endif
