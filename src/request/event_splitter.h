/**
 * DOC: event_splitter
 *
 * Splits a stream of server-sent events into whole events and remembers the id of the last one.
 * Only whole events that follow each other are forwarded: their ids are decimal numbers, from 1 and
 * each one higher than the last, or the owner decides which may follow. So a stream that breaks
 * off, or in which other bytes come, can be resumed at another engine. Empty lines, comments and
 * times to reconnect between events are dropped, and so is a byte order mark before the first.
 */
#ifndef REQUEST_EVENT_SPLITTER_H
#define REQUEST_EVENT_SPLITTER_H

#include "request/event_text.h"

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

/* A longer event makes the stream invalid, and so do as many bytes between two events. An event
 * without end takes twice this memory. */
#define EVENT_SPLITTER_LIMIT_BYTES (384 * 1024)
#define EVENT_SPLITTER_SAMPLE_BYTES 32 /* of what is no event, for the log */

/**
 * struct splitter - state of one stream of events
 * @check: whether an event without a number may follow; NULL for a stream of numbered events
 * @context: argument of @check
 * @first_field: name of a field with a number that the first line of an event may be, or NULL
 * @partial: what has come of an event that has not ended yet
 * @has_begun: something other than a byte order mark has come of the current response
 * @searched_bytes: of @partial, in which no event ends
 * @skipped_bytes: dropped since the last event
 * @start_id: id of the last event that the client already has when the request comes, or 0
 * @last_id: id of the last event that was forwarded, or @start_id
 * @response_id: id of the last event of the current response, or 0
 * @event_count: number of whole events that were forwarded
 * @fault: why nothing more is forwarded
 * @sample: start of the first line of what is no event of the stream, when @fault is set
 */
typedef struct
{
  event_fault_t (*check) (const event_text_t *event, void *context);
  void *context;
  const char *first_field;
  struct evbuffer *partial;
  bool has_begun;
  size_t searched_bytes;
  size_t skipped_bytes;
  uint64_t start_id;
  uint64_t last_id;
  uint64_t response_id;
  uint64_t event_count;
  event_fault_t fault;
  char sample[EVENT_SPLITTER_SAMPLE_BYTES + 1];
} event_splitter_t;

/** event_splitter_init() - starts a stream that goes on after the event @start_id, or 0 */
void event_splitter_init (event_splitter_t *splitter, const char *first_field, uint64_t start_id);
/** event_splitter_init_unnumbered() - starts a stream whose events @check accepts in turn */
void event_splitter_init_unnumbered (event_splitter_t *splitter,
                                     event_fault_t (*check) (const event_text_t *event,
                                                             void *context),
                                     void *context);
void event_splitter_clear (event_splitter_t *splitter);
/** event_splitter_feed() - appends @in, which it drains, to the stream, and moves the events that
 * are whole by now to @out */
void event_splitter_feed (event_splitter_t *splitter, struct evbuffer *in, struct evbuffer *out);
/** event_splitter_reject() - the response is no stream of events; @type: its content type, or NULL
 */
void event_splitter_reject (event_splitter_t *splitter, const char *type);
/** event_splitter_finish() - the response is complete, so an event that isn't is a fault */
void event_splitter_finish (event_splitter_t *splitter);
/** event_splitter_is_between() - whether the stream stands between two events, with no partial one
 */
bool event_splitter_is_between (const event_splitter_t *splitter);
/** event_splitter_restart() - prepares for a new response in place of the one before, of which the
 * client has got nothing */
void event_splitter_restart (event_splitter_t *splitter);
/** event_splitter_resume() - prepares for a response that continues after @last_id: drops the
 * partial event, and events of the new response that were forwarded already */
void event_splitter_resume (event_splitter_t *splitter);

#endif
