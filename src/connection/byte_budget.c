#include "connection/byte_budget.h"

#include "base/clock.h"
#include "base/limits.h"

#include <glib.h>

#define REFILL_MAX_US (UINT64_C (10) * CLOCK_US_PER_S) /* after this time any bucket is full */

static int64_t
capacity_bytes (const byte_budget_t *byte_budget)
{
  return MAX (byte_budget->rate_bytes, LIMIT_DATAGRAM_BYTES + BYTE_BUDGET_UDP_HEADER_BYTES);
}

static void
refill (byte_budget_t *byte_budget, uint64_t now_us)
{
  uint64_t elapsed_us = MIN (now_us - byte_budget->filled_us, REFILL_MAX_US);
  int64_t added_bytes = (int64_t)(elapsed_us * byte_budget->rate_bytes / CLOCK_US_PER_S);
  if (added_bytes == 0)
    return; /* keep filled_us, or frequent calls would lose the fraction of a byte each time */
  byte_budget->tokens_bytes =
      MIN (byte_budget->tokens_bytes + added_bytes, capacity_bytes (byte_budget));
  byte_budget->filled_us = now_us;
}

void
byte_budget_init (byte_budget_t *byte_budget, uint32_t rate_bytes, uint64_t now_us)
{
  byte_budget->rate_bytes = rate_bytes;
  byte_budget->tokens_bytes = capacity_bytes (byte_budget);
  byte_budget->filled_us = now_us;
}

bool
byte_budget_has (byte_budget_t *byte_budget, uint64_t now_us, uint32_t bytes)
{
  refill (byte_budget, now_us);
  return byte_budget->tokens_bytes >= (int64_t)bytes;
}

bool
byte_budget_take (byte_budget_t *byte_budget, uint64_t now_us, uint32_t bytes)
{
  if (!byte_budget_has (byte_budget, now_us, bytes))
    return false;
  byte_budget->tokens_bytes -= bytes;
  return true;
}

bool
byte_budget_overdraw (byte_budget_t *byte_budget, uint64_t now_us, uint32_t bytes)
{
  refill (byte_budget, now_us);
  if (byte_budget->tokens_bytes - (int64_t)bytes < -(int64_t)byte_budget->rate_bytes)
    return false;
  byte_budget->tokens_bytes -= bytes;
  return true;
}

void
byte_budget_charge (byte_budget_t *byte_budget, uint64_t now_us, uint32_t bytes)
{
  refill (byte_budget, now_us);
  byte_budget->tokens_bytes =
      MAX (byte_budget->tokens_bytes - bytes, -(int64_t)byte_budget->rate_bytes);
}
