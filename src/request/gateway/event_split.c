#define _GNU_SOURCE /* memmem */
#include "request/gateway/event_split.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

void
evs_init (evs_t *evs)
{
  *evs = (evs_t){ .partial = evbuffer_new () };
}

void
evs_clear (evs_t *evs)
{
  evbuffer_free (evs->partial);
}

/* Return: length of the first event, with the empty line that ends it; 0 when it is not whole */
static size_t
first_event_bytes (const char *text, size_t bytes)
{
  const char *at = text;
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
accept_event (evs_t *evs, const char *text, size_t bytes)
{
  uint64_t id;

  if (parse_event_id (text, bytes, &id))
    {
      if (evs->resumed && evs->has_id && id <= evs->last_id)
        return false;
      evs->last_id = id;
      evs->has_id = true;
    }
  evs->count++;
  return true;
}

void
evs_feed (evs_t *evs, struct evbuffer *in, struct evbuffer *out)
{
  evbuffer_add_buffer (evs->partial, in);
  while (!evs->broken)
    {
      size_t have = evbuffer_get_length (evs->partial);
      const char *text = have > 0 ? (const char *)evbuffer_pullup (evs->partial, -1) : "";
      size_t bytes = first_event_bytes (text, have);

      if (bytes == 0)
        {
          evs->broken = have > EVS_EVENT_LIMIT_BYTES;
          return;
        }
      if (accept_event (evs, text, bytes))
        evbuffer_remove_buffer (evs->partial, out, bytes);
      else
        evbuffer_drain (evs->partial, bytes);
    }
}

bool
evs_is_between (const evs_t *evs)
{
  return evbuffer_get_length (evs->partial) == 0;
}

void
evs_restart (evs_t *evs)
{
  evbuffer_drain (evs->partial, evbuffer_get_length (evs->partial));
  evs->broken = false;
}

void
evs_resume (evs_t *evs)
{
  evs_restart (evs);
  evs->resumed = true;
}
