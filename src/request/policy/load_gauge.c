#include "request/policy/load_gauge.h"

#include <glib.h>

#define MILLI 1000

static uint64_t
smooth (uint64_t before, uint64_t sample)
{
  return (before * (GAU_GAIN - 1) + sample) / GAU_GAIN;
}

static bool
is_known (const gau_t *gau, uint64_t now_us)
{
  return gau->told_us != 0 && now_us < gau->told_us + GAU_FORGET_US;
}

void
gau_told (gau_t *gau, uint64_t now_us, uint32_t requests, uint32_t slots, uint64_t own)
{
  uint64_t told_milli;

  if (slots == 0)
    return;
  told_milli = (uint64_t)requests * MILLI / slots;
  if (!is_known (gau, now_us))
    *gau = (gau_t){ .told_milli = told_milli, .own_milli = own * MILLI };
  gau->told_milli = smooth (gau->told_milli, told_milli);
  gau->own_milli = smooth (gau->own_milli, own * MILLI);
  gau->told_us = now_us;
}

/* With a few requests of its own a gateway sees no trend in them. */
static uint64_t
growth_milli (const gau_t *gau, uint64_t own)
{
  uint64_t then_milli = gau->own_milli + GAU_OWN_LEAST * MILLI;
  uint64_t now_milli = (own + GAU_OWN_LEAST) * MILLI;

  return MAX (now_milli, then_milli) * MILLI / then_milli;
}

uint32_t
gau_told_milli (const gau_t *gau, uint64_t now_us)
{
  return is_known (gau, now_us) ? (uint32_t)MIN (gau->told_milli, UINT32_MAX) : 0;
}

bool
gau_is_surge (const gau_t *gau, uint64_t now_us, uint64_t own)
{
  uint64_t grown_milli = growth_milli (gau, own);

  if (!is_known (gau, now_us) || grown_milli < GAU_SURGE_MILLI)
    return false;
  return gau->told_milli * grown_milli / MILLI >= MILLI;
}
