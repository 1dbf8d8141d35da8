#include "request/policy/retry_share.h"

#include <glib.h>
#include <string.h>

#define BUCKET_COUNT (RSH_BUCKETS + 1)
#define MILLI 1000

/* Clears the buckets between the current one and that of @now_us, which becomes the current one. */
static void
advance (rsh_t *rsh, const rsh_options_t *options, uint64_t now_us)
{
  uint64_t epoch = now_us / (options->window_us / RSH_BUCKETS);

  if (epoch >= rsh->epoch + BUCKET_COUNT)
    {
      memset (rsh->requests, 0, sizeof rsh->requests);
      memset (rsh->retries, 0, sizeof rsh->retries);
      rsh->epoch = epoch;
    }
  while (rsh->epoch < epoch)
    {
      rsh->epoch++;
      rsh->requests[rsh->epoch % BUCKET_COUNT] = 0;
      rsh->retries[rsh->epoch % BUCKET_COUNT] = 0;
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
rsh_request (rsh_t *rsh, const rsh_options_t *options, uint64_t now_us)
{
  advance (rsh, options, now_us);
  rsh->requests[rsh->epoch % BUCKET_COUNT]++;
}

uint32_t
rsh_sharers (bool listed, uint32_t known, uint32_t alive)
{
  return listed ? 1 + MAX (known, alive) : 0;
}

void
rsh_init (rsh_t *rsh, uint64_t started_us)
{
  *rsh = (rsh_t){ .started_us = started_us };
}

uint32_t
rsh_spent (const rsh_t *rsh)
{
  return (uint32_t)sum (rsh->retries);
}

uint64_t
rsh_allowed_milli (const rsh_t *rsh,
                   const rsh_options_t *options,
                   uint64_t now_us,
                   uint32_t routers)
{
  uint64_t age_us = now_us - rsh->started_us;
  uint64_t counted_us = options->window_us / RSH_BUCKETS * BUCKET_COUNT;
  uint64_t slack_milli = routers > 0 ? (uint64_t)options->slack * MILLI / routers : 0;
  uint64_t ratio_milli = sum (rsh->requests) * options->ratio_milli;

  if (age_us >= counted_us)
    return (ratio_milli + slack_milli) * RSH_PART_MILLI / MILLI;
  slack_milli = slack_milli * MIN (age_us, options->window_us) / options->window_us;
  return (ratio_milli + slack_milli) * RSH_FIRST_MILLI / MILLI;
}

/* Return: whether one more retry is within the limit */
static bool
is_allowed (const rsh_t *rsh, const rsh_options_t *options, uint64_t now_us, uint32_t routers)
{
  return (sum (rsh->retries) + 1) * MILLI <= rsh_allowed_milli (rsh, options, now_us, routers);
}

void
rsh_spend (rsh_t *rsh, const rsh_options_t *options, uint64_t now_us)
{
  advance (rsh, options, now_us);
  rsh->retries[rsh->epoch % BUCKET_COUNT]++;
}

uint64_t
rsh_wait_us (rsh_t *rsh, const rsh_options_t *options, uint64_t now_us, uint32_t routers)
{
  uint64_t bucket_us = options->window_us / RSH_BUCKETS;
  uint64_t at_us = now_us;
  rsh_t ahead;

  advance (rsh, options, now_us);
  ahead = *rsh;
  while (!is_allowed (&ahead, options, at_us, routers) && ahead.epoch < rsh->epoch + BUCKET_COUNT)
    {
      at_us = (ahead.epoch + 1) * bucket_us;
      advance (&ahead, options, at_us);
    }
  return at_us - now_us;
}
