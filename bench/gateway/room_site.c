#include "room_site.h"

#include "base/clock.h"

#include <glib.h>
#include <math.h>

#define MS(n) ((n) * (uint64_t)CLOCK_US_PER_MS)
#define WORK_MS 15
#define WORK_SPREAD 0.5 /* of the logarithm of the work, as in sim_engine.c */
#define LONG_MILLI 10   /* requests, in thousandths, that take longer */
#define LONG_FACTOR 5
#define READ_SHARE 0.19 /* of the requests that may be repeated */
#define LATE_CREDIT 0.1

static double
mean_work_s (void)
{
  double usual_s = WORK_MS / 1000.0 * exp (WORK_SPREAD * WORK_SPREAD / 2);

  return usual_s * (1 + LONG_MILLI / 1000.0 * (LONG_FACTOR - 1));
}

site_t
room_site_make (uint32_t gateways, uint32_t load_milli)
{
  double rate_s = ROOM_SITE_CAPACITY_MILLI / 1000.0 * load_milli / 1000.0 / mean_work_s ();
  site_kind_t book = { .name = "slot-book",
                       .service = 1,
                       .kind = ROUTING_NON_IDEMPOTENT,
                       .attempts = 1,
                       .priority = 2,
                       .rate_s = rate_s * (1 - READ_SHARE),
                       .work_us = MS (WORK_MS),
                       .aim_us = MS (120),
                       .deadline_us = MS (1000) };
  site_kind_t read = book;

  read.name = "slot-read";
  read.kind = ROUTING_IDEMPOTENT;
  read.attempts = 2;
  read.rate_s = rate_s * READ_SHARE;
  return (site_t){
    .name = "slots",
    .gateways = gateways,
    .data_centers = 4,
    .accounts = 24,
    .services = { { "models", 1, 1, 0, false }, { "slots", 4, 6, 24, false } },
    .kinds = { book, read },
    .retries = { .ratio_milli = 200, .slack = 92, .window_us = MS (10000) },
    .unevenness = { .slow_milli = 1600,
                    .crowded_milli = 2000,
                    .crowded_above = 5,
                    .long_milli = LONG_MILLI,
                    .long_factor = LONG_FACTOR,
                    .gateways = true },
  };
}

double
room_site_credit (const sim_count_t *count)
{
  return (count->on_time + LATE_CREDIT * count->late) / MAX (count->requests, 1U);
}
