#include "ctl.h"

#include <stdio.h>

ctl_exit_t
ctl_report (ctl_exit_t code, const char *format, ...)
{
  va_list args;

  fputs ("medlarplankctl: ", stderr);
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
  return code;
}

uint32_t
ctl_remaining_ms (const ctl_t *ctl)
{
  uint64_t now_us = clock_now_us (&ctl->clock);

  if (now_us >= ctl->deadline_us)
    return 0;
  return (uint32_t)((ctl->deadline_us - now_us) / CLOCK_US_PER_MS);
}

void
ctl_run_until (ctl_t *ctl, const bool *done)
{
  while (!*done && event_base_loop (ctl->base, EVLOOP_ONCE) == 0)
    continue;
  g_assert (*done);
}

static void
on_pause_timeout (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  *(bool *)context = true;
}

void
ctl_pause (ctl_t *ctl, uint32_t pause_ms)
{
  uint32_t wait_ms = MIN (pause_ms, ctl_remaining_ms (ctl));
  struct timeval wait = { .tv_sec = wait_ms / 1000, .tv_usec = (wait_ms % 1000) * 1000 };
  bool over = false;

  event_base_once (ctl->base, -1, EV_TIMEOUT, on_pause_timeout, &over, &wait);
  ctl_run_until (ctl, &over);
}
