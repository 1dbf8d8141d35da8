#define _GNU_SOURCE /* memmem */
#include "request/gateway/event_splitter.h"

#include "connection/http_client.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define END_BYTES_MAX 3 /* of what ends an event: LF, CR, LF */

void
event_splitter_init (event_splitter_t *splitter)
{
  *splitter = (event_splitter_t){ .partial = evbuffer_new () };
}

void
event_splitter_clear (event_splitter_t *splitter)
{
  evbuffer_free (splitter->partial);
}

/* Return: length of the first event, with the empty line that ends it; 0 when it is not whole. The
 * first @searched bytes have no event's end, but may have the start of it. */
static size_t
first_event_bytes (const char *text, size_t bytes, size_t searched)
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

/* Return: whether the event has an id, which must be a decimal number */
static bool
parse_event_id (const char *text, size_t bytes, uint64_t *id)
{
  const char *line = text;
  const char *end = text + bytes;

  while (line < end)
    {
      const char *stop = memchr (line, '\n', (size_t)(end - line));
      size_t line_bytes = (size_t)((stop ? stop : end) - line);

      if (line_bytes > 3 && memcmp (line, "id:", 3) == 0)
        {
          char digits[24] = "";
          char *rest;

          memcpy (digits, line + 3, MIN (line_bytes - 3, sizeof digits - 1));
          *id = strtoull (digits, &rest, 10);
          return rest != digits;
        }
      line = stop ? stop + 1 : end;
    }
  return false;
}

/* Records the event. Return: false if it was forwarded before, from the stream that broke off. */
static bool
accept_event (event_splitter_t *splitter, const char *text, size_t bytes)
{
  uint64_t id;

  if (parse_event_id (text, bytes, &id))
    {
      if (splitter->resumed && splitter->has_id && id <= splitter->last_id)
        return false;
      splitter->last_id = id;
      splitter->has_id = true;
    }
  splitter->event_count++;
  return true;
}

void
event_splitter_feed (event_splitter_t *splitter, struct evbuffer *in, struct evbuffer *out)
{
  http_client_keep_data (splitter->partial, in);
  while (!splitter->overflowed)
    {
      size_t have = evbuffer_get_length (splitter->partial);
      const char *text = have > 0 ? (const char *)evbuffer_pullup (splitter->partial, -1) : "";
      size_t bytes = first_event_bytes (text, have, splitter->searched_bytes);

      if (bytes == 0)
        {
          splitter->searched_bytes = have;
          splitter->overflowed = have > EVENT_SPLITTER_LIMIT_BYTES;
          return;
        }
      splitter->searched_bytes = 0;
      if (accept_event (splitter, text, bytes))
        evbuffer_remove_buffer (splitter->partial, out, bytes);
      else
        evbuffer_drain (splitter->partial, bytes);
    }
}

bool
event_splitter_is_between (const event_splitter_t *splitter)
{
  return evbuffer_get_length (splitter->partial) == 0;
}

void
event_splitter_restart (event_splitter_t *splitter)
{
  evbuffer_drain (splitter->partial, evbuffer_get_length (splitter->partial));
  splitter->searched_bytes = 0;
  splitter->overflowed = false;
}

void
event_splitter_resume (event_splitter_t *splitter)
{
  event_splitter_restart (splitter);
  splitter->resumed = true;
}
