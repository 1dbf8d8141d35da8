#include "connection/budget.h"

#include "base/clock.h"
#include "base/limits.h"

#include <glib.h>

#define REFILL_MAX_US (UINT64_C (10) * CLK_US_PER_S) /* after this time any bucket is full */

static int64_t
capacity_bytes (const bdg_t *bdg)
{
  return MAX (bdg->rate_bytes, LIM_DATAGRAM_BYTES + BDG_HEADER_BYTES);
}

static void
refill (bdg_t *bdg, uint64_t now_us)
{
  uint64_t elapsed_us = MIN (now_us - bdg->filled_us, REFILL_MAX_US);
  int64_t added_bytes = (int64_t)(elapsed_us * bdg->rate_bytes / CLK_US_PER_S);
  if (added_bytes == 0)
    return; /* keep filled_us, or frequent calls would lose the fraction of a byte each time */
  bdg->tokens_bytes = MIN (bdg->tokens_bytes + added_bytes, capacity_bytes (bdg));
  bdg->filled_us = now_us;
}

void
bdg_init (bdg_t *bdg, uint32_t rate_bytes, uint64_t now_us)
{
  bdg->rate_bytes = rate_bytes;
  bdg->tokens_bytes = capacity_bytes (bdg);
  bdg->filled_us = now_us;
}

bool
bdg_has (bdg_t *bdg, uint64_t now_us, uint32_t bytes)
{
  refill (bdg, now_us);
  return bdg->tokens_bytes >= (int64_t)bytes;
}

bool
bdg_take (bdg_t *bdg, uint64_t now_us, uint32_t bytes)
{
  if (!bdg_has (bdg, now_us, bytes))
    return false;
  bdg->tokens_bytes -= bytes;
  return true;
}

void
bdg_charge (bdg_t *bdg, uint64_t now_us, uint32_t bytes)
{
  refill (bdg, now_us);
  bdg->tokens_bytes = MAX (bdg->tokens_bytes - bytes, -(int64_t)bdg->rate_bytes);
}
