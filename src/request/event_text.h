/**
 * DOC: event_text
 *
 * Reads one event of a stream of server-sent events, and tells an event from other bytes.
 */
#ifndef REQUEST_EVENT_TEXT_H
#define REQUEST_EVENT_TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * enum event_fault - why bytes are no event of a stream
 * @EVENT_FAULT_OVERSIZED: no event ends within the limit of the reader
 * @EVENT_FAULT_MALFORMED: a line that is no field of an event, or bytes that are no text
 * @EVENT_FAULT_NO_ID: an event without an id
 * @EVENT_FAULT_BAD_ID: an id that is not a decimal number
 * @EVENT_FAULT_NO_DATA: an event without data
 * @EVENT_FAULT_OUT_OF_ORDER: an event other than the next one of the stream
 * @EVENT_FAULT_NO_STREAM: a response that is no stream of events
 * @EVENT_FAULT_UNFINISHED: the response is complete, but its last event is not
 */
typedef enum
{
  EVENT_FAULT_NONE,
  EVENT_FAULT_OVERSIZED,
  EVENT_FAULT_MALFORMED,
  EVENT_FAULT_NO_ID,
  EVENT_FAULT_BAD_ID,
  EVENT_FAULT_NO_DATA,
  EVENT_FAULT_OUT_OF_ORDER,
  EVENT_FAULT_NO_STREAM,
  EVENT_FAULT_UNFINISHED,
  EVENT_FAULT_COUNT
} event_fault_t;

/**
 * struct event_text - one event
 * @id: valid when @has_id is set
 * @data: value of the first data field, without a final NUL; NULL if there is none
 * @data_bytes: its length
 * @data_lines: number of data fields
 */
typedef struct
{
  bool has_id;
  uint64_t id;
  const char *data;
  size_t data_bytes;
  uint32_t data_lines;
} event_text_t;

/** event_fault_to_string() - Return: name of the fault in logs */
const char *event_fault_to_string (event_fault_t fault);
/**
 * event_text_find_end() - finds the empty line that ends the first event
 *
 * @searched: so many bytes at the start are known not to hold the whole of an event's end
 *
 * Return: length of the event, with that line; 0 when it is not whole
 */
size_t event_text_find_end (const char *text, size_t bytes, size_t searched);
/** event_text_find_start() - Return: number of bytes before the next event, of whole empty lines */
size_t event_text_find_start (const char *text, size_t bytes);
/** event_text_is_no_event() - whether all lines are comments, or times after which a client may
 * connect again */
bool event_text_is_no_event (const char *text, size_t bytes);
/**
 * event_text_read() - reads a whole event
 *
 * Its lines end with LF or CR LF; it has the fields id, data, event and retry in any order, at most
 * one id, and no comments.
 *
 * @first_field: name of a field with a number that the first line may be, or NULL
 *
 * Return: %EVENT_FAULT_NONE, %EVENT_FAULT_MALFORMED or %EVENT_FAULT_BAD_ID
 */
event_fault_t
event_text_read (const char *text, size_t bytes, const char *first_field, event_text_t *event);

#endif
