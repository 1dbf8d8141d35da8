#include "request/policy/retries/retry_budget.h"

#include <glib.h>
#include <string.h>

#define BUCKET_COUNT (RETRY_BUDGET_BUCKETS + 1)
#define MILLI 1000

/* Clears the buckets between the current one and that of @now_us, which becomes the current one. */
static void
advance (retry_budget_t *retry_budget, const retry_budget_options_t *options, uint64_t now_us)
{
  uint64_t epoch = now_us / (options->window_us / RETRY_BUDGET_BUCKETS);

  if (epoch >= retry_budget->epoch + BUCKET_COUNT)
    {
      memset (retry_budget->requests, 0, sizeof retry_budget->requests);
      memset (retry_budget->retries, 0, sizeof retry_budget->retries);
      retry_budget->epoch = epoch;
    }
  while (retry_budget->epoch < epoch)
    {
      retry_budget->epoch++;
      retry_budget->requests[retry_budget->epoch % BUCKET_COUNT] = 0;
      retry_budget->retries[retry_budget->epoch % BUCKET_COUNT] = 0;
    }
}

static uint64_t
sum (const uint32_t *counts)
{
  uint64_t total = 0;

  for (uint32_t i = 0; i < BUCKET_COUNT; i++)
    total += counts[i];
  return total;
}

void
retry_budget_count_request (retry_budget_t *retry_budget,
                            const retry_budget_options_t *options,
                            uint64_t now_us)
{
  advance (retry_budget, options, now_us);
  retry_budget->requests[retry_budget->epoch % BUCKET_COUNT]++;
}

uint32_t
retry_budget_sharers (bool listed, uint32_t known, uint32_t alive)
{
  return listed ? 1 + MAX (known, alive) : 0;
}

void
retry_budget_init (retry_budget_t *retry_budget, uint64_t started_us)
{
  *retry_budget = (retry_budget_t){ .started_us = started_us };
}

uint32_t
retry_budget_retries (const retry_budget_t *retry_budget)
{
  return (uint32_t)sum (retry_budget->retries);
}

uint64_t
retry_budget_allowed_milli (const retry_budget_t *retry_budget,
                            const retry_budget_options_t *options,
                            uint64_t now_us,
                            uint32_t routers)
{
  uint64_t age_us = now_us - retry_budget->started_us;
  uint64_t counted_us = options->window_us / RETRY_BUDGET_BUCKETS * BUCKET_COUNT;
  uint64_t slack_milli = routers > 0 ? (uint64_t)options->slack * MILLI / routers : 0;
  uint64_t ratio_milli = sum (retry_budget->requests) * options->ratio_milli;

  if (age_us >= counted_us)
    return (ratio_milli + slack_milli) * RETRY_BUDGET_PART_MILLI / MILLI;
  slack_milli = slack_milli * MIN (age_us, options->window_us) / options->window_us;
  return (ratio_milli + slack_milli) * RETRY_BUDGET_FIRST_MILLI / MILLI;
}

/* Return: whether one more retry is within the limit */
static bool
is_allowed (const retry_budget_t *retry_budget,
            const retry_budget_options_t *options,
            uint64_t now_us,
            uint32_t routers)
{
  return (sum (retry_budget->retries) + 1) * MILLI <=
         retry_budget_allowed_milli (retry_budget, options, now_us, routers);
}

void
retry_budget_count_retry (retry_budget_t *retry_budget,
                          const retry_budget_options_t *options,
                          uint64_t now_us)
{
  advance (retry_budget, options, now_us);
  retry_budget->retries[retry_budget->epoch % BUCKET_COUNT]++;
}

uint64_t
retry_budget_wait_us (retry_budget_t *retry_budget,
                      const retry_budget_options_t *options,
                      uint64_t now_us,
                      uint32_t routers)
{
  uint64_t bucket_us = options->window_us / RETRY_BUDGET_BUCKETS;
  uint64_t at_us = now_us;
  retry_budget_t ahead;

  advance (retry_budget, options, now_us);
  ahead = *retry_budget;
  while (!is_allowed (&ahead, options, at_us, routers) &&
         ahead.epoch < retry_budget->epoch + BUCKET_COUNT)
    {
      at_us = (ahead.epoch + 1) * bucket_us;
      advance (&ahead, options, at_us);
    }
  return at_us - now_us;
}
