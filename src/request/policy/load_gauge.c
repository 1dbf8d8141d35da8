#include "request/policy/load_gauge.h"

#include <glib.h>

#define MILLI 1000

static uint64_t
smooth (uint64_t previous, uint64_t sample)
{
  return (previous * (GAU_GAIN - 1) + sample) / GAU_GAIN;
}

static bool
has_report (const gau_t *gauge, uint64_t now_us)
{
  return gauge->reported_us != 0 && now_us < gauge->reported_us + GAU_FORGET_US;
}

void
gau_told (gau_t *gauge, uint64_t now_us, uint32_t requests, uint32_t slots, uint64_t own)
{
  uint64_t sample_milli;

  if (slots == 0)
    return;
  sample_milli = (uint64_t)requests * MILLI / slots;
  if (!has_report (gauge, now_us))
    *gauge = (gau_t){ .utilization_milli = sample_milli, .own_milli = own * MILLI };
  gauge->utilization_milli = smooth (gauge->utilization_milli, sample_milli);
  gauge->own_milli = smooth (gauge->own_milli, own * MILLI);
  gauge->reported_us = now_us;
}

/* GAU_OWN_LEAST keeps changes of a few requests from looking like growth. */
static uint64_t
growth_milli (const gau_t *gauge, uint64_t own)
{
  uint64_t reported_milli = gauge->own_milli + GAU_OWN_LEAST * MILLI;
  uint64_t now_milli = (own + GAU_OWN_LEAST) * MILLI;

  return MAX (now_milli, reported_milli) * MILLI / reported_milli;
}

uint32_t
gau_told_milli (const gau_t *gauge, uint64_t now_us)
{
  return has_report (gauge, now_us) ? (uint32_t)MIN (gauge->utilization_milli, UINT32_MAX) : 0;
}

bool
gau_is_surge (const gau_t *gauge, uint64_t now_us, uint64_t own)
{
  uint64_t current_growth_milli = growth_milli (gauge, own);

  if (!has_report (gauge, now_us) || current_growth_milli < GAU_SURGE_MILLI)
    return false;
  return gauge->utilization_milli * current_growth_milli / MILLI >= MILLI;
}
