#include "request/policy/load/request_history.h"

static uint32_t
remembered (const request_history_t *history)
{
  return history->count < REQUEST_HISTORY_MAX ? (uint32_t)history->count : REQUEST_HISTORY_MAX;
}

/* A change whose time was not known came before the next one whose time is. */
static void
date_unknown (request_history_t *history, uint64_t at_us)
{
  uint32_t count = remembered (history);

  for (uint32_t back = 1; back <= count; back++)
    {
      uint32_t slot = (uint32_t)((history->count - back) % REQUEST_HISTORY_MAX);

      if (history->at_us[slot] != REQUEST_HISTORY_UNKNOWN_US)
        return;
      history->at_us[slot] = at_us;
    }
}

void
request_history_add (request_history_t *history, uint64_t at_us, uint32_t before)
{
  uint32_t slot = (uint32_t)(history->count % REQUEST_HISTORY_MAX);

  if (at_us != REQUEST_HISTORY_UNKNOWN_US)
    date_unknown (history, at_us);
  history->at_us[slot] = at_us;
  history->before[slot] = before;
  history->count++;
}

uint32_t
request_history_at (const request_history_t *history, uint64_t at_us, uint32_t now_count)
{
  uint32_t number = now_count;
  uint32_t count = remembered (history);

  for (uint32_t back = 1; back <= count; back++)
    {
      uint32_t slot = (uint32_t)((history->count - back) % REQUEST_HISTORY_MAX);

      if (history->at_us[slot] <= at_us)
        break;
      number = history->before[slot];
    }
  return number;
}
