#include "request/policy/load/load_gauge.h"

#include <glib.h>

#define MILLI 1000

static uint64_t
smooth (uint64_t previous, uint64_t sample)
{
  return (previous * (LOAD_GAUGE_SMOOTHING - 1) + sample) / LOAD_GAUGE_SMOOTHING;
}

static bool
has_report (const load_gauge_t *gauge, uint64_t now_us)
{
  return gauge->reported_us != 0 && now_us < gauge->reported_us + LOAD_GAUGE_AGE_MAX_US;
}

void
load_gauge_add (
    load_gauge_t *gauge, uint64_t now_us, uint32_t requests, uint32_t slots, uint64_t own)
{
  uint64_t sample_milli;

  if (slots == 0)
    return;
  sample_milli = MIN ((uint64_t)requests * MILLI / slots, LOAD_GAUGE_REPORT_MAX_MILLI);
  if (!has_report (gauge, now_us))
    *gauge = (load_gauge_t){ .utilization_milli = sample_milli, .own_milli = own * MILLI };
  gauge->utilization_milli = smooth (gauge->utilization_milli, sample_milli);
  gauge->own_milli = smooth (gauge->own_milli, own * MILLI);
  gauge->reported_us = now_us;
}

/* LOAD_GAUGE_OWN_OFFSET keeps changes of a few requests from looking like growth. */
static uint64_t
growth_milli (const load_gauge_t *gauge, uint64_t own)
{
  uint64_t reported_milli = gauge->own_milli + LOAD_GAUGE_OWN_OFFSET * MILLI;
  uint64_t now_milli = (own + LOAD_GAUGE_OWN_OFFSET) * MILLI;

  return MAX (now_milli, reported_milli) * MILLI / reported_milli;
}

uint32_t
load_gauge_utilization_milli (const load_gauge_t *gauge, uint64_t now_us)
{
  return has_report (gauge, now_us) ? (uint32_t)MIN (gauge->utilization_milli, UINT32_MAX) : 0;
}

bool
load_gauge_is_surge (const load_gauge_t *gauge, uint64_t now_us, uint64_t own)
{
  uint64_t current_growth_milli = growth_milli (gauge, own);

  if (!has_report (gauge, now_us) || current_growth_milli < LOAD_GAUGE_SURGE_MILLI)
    return false;
  return gauge->utilization_milli * current_growth_milli / MILLI >= MILLI;
}
