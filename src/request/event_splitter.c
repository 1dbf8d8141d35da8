#include "request/event_splitter.h"

#include "connection/http_client.h"

#include <glib.h>
#include <string.h>

#define BYTE_ORDER_MARK "\xef\xbb\xbf"

void
event_splitter_init (event_splitter_t *splitter, const char *first_field, uint64_t start_id)
{
  *splitter = (event_splitter_t){ .first_field = first_field,
                                  .partial = evbuffer_new (),
                                  .start_id = start_id,
                                  .last_id = start_id };
}

void
event_splitter_init_unnumbered (event_splitter_t *splitter,
                                event_fault_t (*check) (const event_text_t *event, void *context),
                                void *context)
{
  *splitter = (event_splitter_t){ .check = check, .context = context, .partial = evbuffer_new () };
}

void
event_splitter_clear (event_splitter_t *splitter)
{
  evbuffer_free (splitter->partial);
}

static void
drain (struct evbuffer *buffer)
{
  evbuffer_drain (buffer, evbuffer_get_length (buffer));
}

/* The rest of an event may be content that doesn't belong into a log. */
static void
take_sample (event_splitter_t *splitter)
{
  ev_ssize_t bytes =
      evbuffer_copyout (splitter->partial, splitter->sample, EVENT_SPLITTER_SAMPLE_BYTES);
  ev_ssize_t i;

  for (i = 0; i < bytes && splitter->sample[i] != '\n'; i++)
    if (splitter->sample[i] == '\0')
      splitter->sample[i] = '?';
  splitter->sample[i] = '\0';
}

static void
fail (event_splitter_t *splitter, event_fault_t fault)
{
  take_sample (splitter);
  splitter->fault = fault;
  drain (splitter->partial);
}

/* An engine that resumes a stream may repeat events that were forwarded before, and has to go on
 * from there. */
static bool
is_next (const event_splitter_t *splitter, uint64_t id)
{
  if (id == 0)
    return false;
  return splitter->response_id == 0 ? id - 1 <= splitter->last_id : id - 1 == splitter->response_id;
}

static event_fault_t
check_number (const event_splitter_t *splitter, const event_text_t *event)
{
  if (!event->has_id)
    return EVENT_FAULT_NO_ID;
  return is_next (splitter, event->id) ? EVENT_FAULT_NONE : EVENT_FAULT_OUT_OF_ORDER;
}

static event_fault_t
check_event (const event_splitter_t *splitter, const char *text, size_t bytes, event_text_t *event)
{
  event_fault_t fault = event_text_read (text, bytes, splitter->first_field, event);

  if (fault != EVENT_FAULT_NONE)
    return fault;
  if (event->data_lines == 0)
    return event->has_id || splitter->check ? EVENT_FAULT_NO_DATA : EVENT_FAULT_NO_ID;
  return splitter->check ? splitter->check (event, splitter->context)
                         : check_number (splitter, event);
}

static void
skip (event_splitter_t *splitter, size_t bytes)
{
  evbuffer_drain (splitter->partial, bytes);
  splitter->searched_bytes = 0;
  splitter->skipped_bytes += bytes;
}

/* Forwards or drops the first event, or finds that it is none. */
static void
take_event (event_splitter_t *splitter, const char *text, size_t bytes, struct evbuffer *out)
{
  event_text_t event;
  event_fault_t fault;

  if (event_text_is_no_event (text, bytes))
    {
      skip (splitter, bytes);
      return;
    }
  fault = check_event (splitter, text, bytes, &event);
  if (fault != EVENT_FAULT_NONE)
    {
      fail (splitter, fault);
      return;
    }
  splitter->searched_bytes = 0;
  splitter->skipped_bytes = 0;
  if (!splitter->check)
    {
      splitter->response_id = event.id;
      if (event.id <= splitter->last_id)
        {
          evbuffer_drain (splitter->partial, bytes);
          return;
        }
      splitter->last_id = event.id;
    }
  splitter->event_count++;
  evbuffer_remove_buffer (splitter->partial, out, bytes);
}

static void
skip_byte_order_mark (event_splitter_t *splitter)
{
  char start[sizeof BYTE_ORDER_MARK - 1];
  size_t have = MIN (evbuffer_get_length (splitter->partial), sizeof start);

  if (splitter->has_begun)
    return;
  evbuffer_copyout (splitter->partial, start, have);
  if (memcmp (start, BYTE_ORDER_MARK, have) != 0)
    splitter->has_begun = true;
  else if (have == sizeof start)
    {
      splitter->has_begun = true;
      evbuffer_drain (splitter->partial, have);
      splitter->searched_bytes = 0;
    }
}

static void
skip_between (event_splitter_t *splitter)
{
  size_t have = evbuffer_get_length (splitter->partial);
  size_t bytes;

  if (have == 0)
    return;
  bytes = event_text_find_start ((const char *)evbuffer_pullup (splitter->partial, -1), have);
  if (bytes > 0)
    skip (splitter, bytes);
}

void
event_splitter_feed (event_splitter_t *splitter, struct evbuffer *in, struct evbuffer *out)
{
  http_client_keep_data (splitter->partial, in);
  if (splitter->fault != EVENT_FAULT_NONE)
    drain (splitter->partial);
  while (splitter->fault == EVENT_FAULT_NONE)
    {
      const char *text;
      size_t have;
      size_t bytes;

      skip_byte_order_mark (splitter);
      skip_between (splitter);
      have = evbuffer_get_length (splitter->partial);
      text = have > 0 ? (const char *)evbuffer_pullup (splitter->partial, -1) : "";
      bytes = event_text_find_end (text, have, splitter->searched_bytes);
      if (bytes > 0)
        {
          take_event (splitter, text, bytes, out);
          continue;
        }
      splitter->searched_bytes = have;
      if (have > EVENT_SPLITTER_LIMIT_BYTES || splitter->skipped_bytes > EVENT_SPLITTER_LIMIT_BYTES)
        fail (splitter, EVENT_FAULT_OVERSIZED);
      return;
    }
}

void
event_splitter_reject (event_splitter_t *splitter, const char *type)
{
  fail (splitter, EVENT_FAULT_NO_STREAM);
  g_strlcpy (splitter->sample, type ? type : "", sizeof splitter->sample);
}

void
event_splitter_finish (event_splitter_t *splitter)
{
  if (splitter->fault == EVENT_FAULT_NONE && !event_splitter_is_between (splitter))
    fail (splitter, EVENT_FAULT_UNFINISHED);
}

bool
event_splitter_is_between (const event_splitter_t *splitter)
{
  return evbuffer_get_length (splitter->partial) == 0;
}

void
event_splitter_resume (event_splitter_t *splitter)
{
  drain (splitter->partial);
  splitter->has_begun = false;
  splitter->searched_bytes = 0;
  splitter->skipped_bytes = 0;
  splitter->response_id = 0;
  splitter->fault = EVENT_FAULT_NONE;
}

void
event_splitter_restart (event_splitter_t *splitter)
{
  event_splitter_resume (splitter);
  splitter->last_id = splitter->start_id;
  splitter->event_count = 0;
}
