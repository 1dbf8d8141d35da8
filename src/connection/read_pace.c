#include "connection/read_pace.h"

#include "base/clock.h"
#include "base/limits.h"

#include <glib.h>

void
read_pace_init (read_pace_t *pace, uint64_t now_us)
{
  *pace = (read_pace_t){ .tokens_bytes = LIMIT_HTTP_READ_BURST_BYTES, .filled_us = now_us };
}

uint64_t
read_pace_rate (const read_pace_t *pace, const read_share_t *share)
{
  uint64_t rate = LIMIT_HTTP_READ_SHARED_BYTES_PER_S / MAX (share->heavy_count, 1);

  if (!pace->is_heavy && pace->tokens_bytes >= 0)
    return LIMIT_HTTP_READ_RESERVE_BYTES_PER_S;
  return CLAMP (rate, LIMIT_HTTP_READ_RESERVE_BYTES_PER_S, LIMIT_HTTP_READ_BYTES_PER_S);
}

static void
set_heavy (read_pace_t *pace, read_share_t *share, bool is_heavy)
{
  if (pace->is_heavy && !is_heavy)
    share->heavy_count--;
  else if (!pace->is_heavy && is_heavy)
    share->heavy_count++;
  pace->is_heavy = is_heavy;
}

static void
refill (read_pace_t *pace, read_share_t *share, uint64_t now_us)
{
  uint64_t passed_us = MIN (now_us - pace->filled_us, CLOCK_US_PER_S);

  pace->tokens_bytes += (int64_t)(passed_us * read_pace_rate (pace, share) / CLOCK_US_PER_S);
  pace->tokens_bytes = MIN (pace->tokens_bytes, LIMIT_HTTP_READ_BURST_BYTES);
  pace->filled_us = now_us;
  if (pace->tokens_bytes >= LIMIT_HTTP_READ_BURST_BYTES / 2)
    set_heavy (pace, share, false);
}

static uint64_t
debt_us (const read_pace_t *pace, const read_share_t *share)
{
  uint64_t rate = read_pace_rate (pace, share);

  if (pace->tokens_bytes >= 0)
    return 0;
  return ((uint64_t)-pace->tokens_bytes * CLOCK_US_PER_S + rate - 1) / rate;
}

uint64_t
read_pace_spend (read_pace_t *pace, read_share_t *share, uint64_t now_us, uint64_t cost_bytes)
{
  refill (pace, share, now_us);
  pace->tokens_bytes -= (int64_t)cost_bytes;
  if (pace->tokens_bytes < 0)
    set_heavy (pace, share, true);
  return debt_us (pace, share);
}

uint64_t
read_pace_wait_us (read_pace_t *pace, read_share_t *share, uint64_t now_us)
{
  refill (pace, share, now_us);
  return debt_us (pace, share);
}

void
read_pace_leave (read_pace_t *pace, read_share_t *share)
{
  set_heavy (pace, share, false);
}
