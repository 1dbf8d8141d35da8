#include "base/log_flusher.h"

#include "base/log.h"

#include <glib.h>

struct log_flusher
{
  struct event *timer;
};

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  (void)context;
  log_flush ();
}

static void
on_line_buffered (void *context)
{
  log_flusher_t *log_flusher = context;

  event_add (log_flusher->timer, &(struct timeval){ 0, LOG_FLUSH_DELAY_MS * 1000 });
}

log_flusher_t *
log_flusher_new (struct event_base *base)
{
  log_flusher_t *log_flusher = g_new0 (log_flusher_t, 1);

  log_flusher->timer = evtimer_new (base, on_timer, log_flusher);
  log_set_buffering_callback (on_line_buffered, log_flusher);
  return log_flusher;
}

void
log_flusher_free (log_flusher_t *log_flusher)
{
  log_set_buffering_callback (NULL, NULL);
  event_free (log_flusher->timer);
  g_free (log_flusher);
}
