#include "request/policy/retries/first_attempt.h"

#define MILLI 1000
#define US_PER_MS 1000

uint64_t
first_attempt_age_us (first_attempt_t *route, uint64_t now_us, uint32_t left_ms)
{
  if (left_ms == 0)
    return 0;
  if (left_ms >= route->longest_ms || now_us >= route->seen_us + FIRST_ATTEMPT_FORGET_US)
    *route = (first_attempt_t){ .longest_ms = left_ms, .seen_us = now_us };
  if ((uint64_t)left_ms * MILLI >= (uint64_t)route->longest_ms * FIRST_ATTEMPT_SHARE_MILLI)
    return 0;
  return (uint64_t)(route->longest_ms - left_ms) * US_PER_MS;
}
