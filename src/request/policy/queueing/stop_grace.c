#include "request/policy/queueing/stop_grace.h"

#include <glib.h>

stop_grace_t
stop_grace_begin (uint64_t now_us, uint64_t grace_us)
{
  uint64_t end_us = now_us + grace_us - MIN (grace_us, STOP_GRACE_END_MARGIN_US);

  return (stop_grace_t){ .accept_until_us = MIN (now_us + STOP_GRACE_ACCEPT_US, end_us),
                         .end_us = end_us,
                         .exit_us = now_us + grace_us - MIN (grace_us, STOP_GRACE_EXIT_MARGIN_US) };
}

bool
stop_grace_is_stopping (const stop_grace_t *stop_grace)
{
  return stop_grace->exit_us != 0;
}

bool
stop_grace_may_begin (const stop_grace_t *stop_grace,
                      uint64_t now_us,
                      uint64_t usual_us,
                      uint64_t deadline_us)
{
  return !stop_grace_is_stopping (stop_grace) ||
         MIN (now_us + usual_us, deadline_us) <= stop_grace->end_us;
}
