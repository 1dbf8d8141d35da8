#include "base/log_flusher.h"

#include "base/log.h"

#include <glib.h>

struct lfl
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
  lfl_t *lfl = context;

  event_add (lfl->timer, &(struct timeval){ 0, LOG_HOLD_MS * 1000 });
}

lfl_t *
lfl_new (struct event_base *base)
{
  lfl_t *lfl = g_new0 (lfl_t, 1);

  lfl->timer = evtimer_new (base, on_timer, lfl);
  log_on_held (on_line_buffered, lfl);
  return lfl;
}

void
lfl_free (lfl_t *lfl)
{
  log_on_held (NULL, NULL);
  event_free (lfl->timer);
  g_free (lfl);
}
