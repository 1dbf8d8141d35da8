#include "site.h"

#include "base/clock.h"

#include <string.h>

#define MS(n) ((n) * (uint64_t)CLOCK_US_PER_MS)
#define RETRY_WINDOW_US (10 * (uint64_t)CLOCK_US_PER_S)

static const site_t builtin_sites[] = {
  { .name = "tuul",
    .gateways = 22,
    .data_centers = 3,
    .accounts = 24,
    .cache_tokens = 381811,
    .services = { { "medlar-pool", 40, 128, 512, false }, { "claims-portal", 3, 6, 24, false } },
    .kinds = { { "appeal-summary", 0, ROUTING_STREAM, true, 2, 1, 109, 38, 10512, 1300, 55, 0,
                 MS (800), MS (15000) },
               { "reply-draft", 0, ROUTING_STREAM, false, 1, 0, 161, 84, 699, 130, 42, 0, MS (500),
                 MS (12000) },
               { "elig-tag", 0, ROUTING_STREAM, true, 2, 2, 200, 105, 2041, 360, 3, 0, MS (500),
                 MS (3000) },
               { "status-check", 1, ROUTING_NON_IDEMPOTENT, false, 1, 2, 118, 0, 0, 0, 0, MS (15),
                 MS (120), MS (1000) },
               { "doc-lookup", 1, ROUTING_IDEMPOTENT, false, 2, 2, 47.1, 0, 0, 0, 0, MS (15),
                 MS (120), MS (1000) } },
    .retries = { .ratio_milli = 200, .slack = 84, .window_us = RETRY_WINDOW_US } },
  { .name = "jogak",
    .gateways = 28,
    .data_centers = 4,
    .accounts = 24,
    .cache_tokens = 393398,
    .services = { { "medlar-desk", 50, 96, 384, false }, { "bale-ledger", 4, 6, 24, false } },
    .kinds = { { "lot-regrade", 0, ROUTING_STREAM, true, 2, 1, 134, 38, 10512, 1300, 55, 0,
                 MS (800), MS (15000) },
               { "pattern-match", 0, ROUTING_STREAM, false, 1, 0, 190, 84, 699, 130, 42, 0,
                 MS (400), MS (12000) },
               { "colour-tag", 0, ROUTING_STREAM, true, 2, 2, 248, 105, 2041, 360, 3, 0, MS (500),
                 MS (3000) },
               { "stock-book", 1, ROUTING_NON_IDEMPOTENT, false, 1, 2, 143, 0, 0, 0, 0, MS (30),
                 MS (150), MS (2500) },
               { "price-quote", 1, ROUTING_IDEMPOTENT, false, 2, 2, 57.1, 0, 0, 0, 0, MS (30),
                 MS (150), MS (2500) } },
    .retries = { .ratio_milli = 200, .slack = 96, .window_us = RETRY_WINDOW_US } },
};

const site_t *
site_get (uint32_t index)
{
  return index < sizeof builtin_sites / sizeof builtin_sites[0] ? &builtin_sites[index] : NULL;
}

const site_t *
site_find (const char *name)
{
  const site_t *site;

  for (uint32_t i = 0; (site = site_get (i)); i++)
    if (strcmp (site->name, name) == 0)
      return site;
  return NULL;
}

double
site_rate_s (const site_t *site)
{
  double rate_s = 0;

  for (uint32_t i = 0; i < SITE_KINDS; i++)
    rate_s += site->kinds[i].rate_s;
  return rate_s;
}
