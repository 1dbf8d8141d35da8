#include "request/event_text.h"

#include <glib.h>
#include <string.h>

#define END_BYTES_MAX 3 /* of what ends an event: LF, CR, LF */

/** struct field - a line of an event; one without a colon has an empty name */
typedef struct
{
  const char *name;
  size_t name_bytes;
  const char *value;
  size_t value_bytes;
} field_t;

const char *
event_fault_to_string (event_fault_t fault)
{
  static const char *const names[EVENT_FAULT_COUNT] = {
    [EVENT_FAULT_NONE] = "none",
    [EVENT_FAULT_OVERSIZED] = "oversized",
    [EVENT_FAULT_MALFORMED] = "malformed",
    [EVENT_FAULT_NO_ID] = "no_id",
    [EVENT_FAULT_BAD_ID] = "bad_id",
    [EVENT_FAULT_NO_DATA] = "no_data",
    [EVENT_FAULT_OUT_OF_ORDER] = "out_of_order",
    [EVENT_FAULT_NO_STREAM] = "no_stream",
    [EVENT_FAULT_UNFINISHED] = "unfinished",
  };

  return names[fault < EVENT_FAULT_COUNT ? fault : EVENT_FAULT_NONE];
}

size_t
event_text_find_end (const char *text, size_t bytes, size_t searched)
{
  const char *at = text + (searched > END_BYTES_MAX ? searched - END_BYTES_MAX : 0);
  const char *end = text + bytes;

  while ((at = memchr (at, '\n', (size_t)(end - at))))
    {
      const char *next = at + 1;

      if (next < end && *next == '\r')
        next++;
      if (next < end && *next == '\n')
        return (size_t)(next + 1 - text);
      at++;
    }
  return 0;
}

/* Return: length of the line without what ends it */
static size_t
line_bytes (const char *line, const char *line_end)
{
  size_t bytes = (size_t)(line_end - line);

  return bytes > 0 && line[bytes - 1] == '\r' ? bytes - 1 : bytes;
}

size_t
event_text_find_start (const char *text, size_t bytes)
{
  size_t at = 0;

  while (at < bytes &&
         (text[at] == '\n' || (text[at] == '\r' && at + 1 < bytes && text[at + 1] == '\n')))
    at += text[at] == '\r' ? 2 : 1;
  return at;
}

/* The format is UTF-8. A CR elsewhere would end a line for readers that take it for a line's end.
 */
static bool
is_text (const char *text, size_t bytes)
{
  for (size_t i = 0; i < bytes; i++)
    {
      unsigned char c = (unsigned char)text[i];

      if (c == '\r' ? i + 1 == bytes || text[i + 1] != '\n' : (c < ' ' && c != '\n' && c != '\t'))
        return false;
    }
  return g_utf8_validate_len (text, bytes, NULL);
}

static field_t
split_line (const char *line, size_t bytes)
{
  const char *colon = memchr (line, ':', bytes);
  field_t field = { .name = line };

  if (!colon)
    return field;
  field.name_bytes = (size_t)(colon - line);
  field.value = colon + 1;
  field.value_bytes = bytes - field.name_bytes - 1;
  if (field.value_bytes > 0 && *field.value == ' ')
    {
      field.value++;
      field.value_bytes--;
    }
  return field;
}

static bool
is_named (const field_t *field, const char *name)
{
  return field->name_bytes == strlen (name) && memcmp (field->name, name, field->name_bytes) == 0;
}

static bool
read_number (const field_t *field, uint64_t *number)
{
  uint64_t value = 0;

  for (size_t i = 0; i < field->value_bytes; i++)
    {
      uint64_t digit = (uint64_t)(unsigned char)field->value[i] - '0';

      if (digit > 9 || value > (UINT64_MAX - digit) / 10)
        return false;
      value = value * 10 + digit;
    }
  *number = value;
  return field->value_bytes > 0;
}

/* Whether the line is a comment, or the time after which a client may connect again. */
static bool
is_no_event_line (const char *line, size_t bytes)
{
  field_t field = split_line (line, bytes);
  uint64_t wait_ms;

  return bytes == 0 || *line == ':' ||
         (is_named (&field, "retry") && read_number (&field, &wait_ms));
}

bool
event_text_is_no_event (const char *text, size_t bytes)
{
  const char *end = text + bytes;
  const char *line = text;

  while (line < end)
    {
      const char *line_end = memchr (line, '\n', (size_t)(end - line));

      if (!is_no_event_line (line, line_bytes (line, line_end ? line_end : end)))
        return false;
      line = line_end ? line_end + 1 : end;
    }
  return true;
}

static event_fault_t
read_field (const field_t *field, event_text_t *event)
{
  uint64_t number;

  if (is_named (field, "id"))
    {
      if (event->has_id)
        return EVENT_FAULT_MALFORMED;
      event->has_id = true;
      return read_number (field, &event->id) ? EVENT_FAULT_NONE : EVENT_FAULT_BAD_ID;
    }
  if (is_named (field, "data"))
    {
      if (event->data_lines++ > 0)
        return EVENT_FAULT_NONE;
      event->data = field->value;
      event->data_bytes = field->value_bytes;
      return EVENT_FAULT_NONE;
    }
  if (is_named (field, "event") || (is_named (field, "retry") && read_number (field, &number)))
    return EVENT_FAULT_NONE;
  return EVENT_FAULT_MALFORMED;
}

event_fault_t
event_text_read (const char *text, size_t bytes, const char *first_field, event_text_t *event)
{
  const char *end = text + bytes;
  event_fault_t fault = EVENT_FAULT_NONE;

  *event = (event_text_t){ .has_id = false };
  if (!is_text (text, bytes))
    return EVENT_FAULT_MALFORMED;
  for (const char *line = text; line < end && fault == EVENT_FAULT_NONE;)
    {
      const char *line_end = memchr (line, '\n', (size_t)(end - line));
      size_t count = line_bytes (line, line_end ? line_end : end);
      field_t field = split_line (line, count);
      uint64_t number;

      if (count > 0 && !(line == text && first_field && is_named (&field, first_field) &&
                         read_number (&field, &number)))
        fault = read_field (&field, event);
      line = line_end ? line_end + 1 : end;
    }
  return fault;
}
