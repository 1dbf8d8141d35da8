#include "request/policy/store/restoration.h"

#include <glib.h>

#define US_PER_MS 1000

restoration_limits_t
restoration_engine_limits (uint32_t renewal_ms)
{
  return (restoration_limits_t){ .missing_us = RESTORATION_MISSING_ENGINE_US,
                                 .held_us = (uint64_t)renewal_ms * US_PER_MS *
                                            RESTORATION_HELD_ENGINE_RENEWALS };
}

restoration_limits_t
restoration_other_limits (void)
{
  return (restoration_limits_t){ .missing_us = RESTORATION_OTHER_US,
                                 .held_us = RESTORATION_OTHER_US };
}

restoration_limits_t
restoration_routing_limits (uint32_t center_drain_ms)
{
  restoration_limits_t limits = restoration_other_limits ();
  uint64_t drain_us = (uint64_t)center_drain_ms * US_PER_MS * RESTORATION_HELD_DRAIN_PERCENT / 100;

  limits.held_drain_us = MIN (limits.held_us, drain_us);
  return limits;
}

bool
restoration_note_listing (restoration_t *restoration,
                          uint64_t now_us,
                          uint64_t era,
                          const restoration_limits_t *limits)
{
  bool listed_before = restoration->listed;

  restoration->listed = true;
  if (era <= restoration->era)
    return false;
  restoration->era = era;
  restoration->drop_missing_us = now_us + limits->missing_us;
  restoration->apply_held_us = now_us + limits->held_us;
  restoration->apply_drains_us = limits->held_drain_us > 0 ? now_us + limits->held_drain_us : 0;
  return listed_before;
}

bool
restoration_is_pending (const restoration_t *restoration)
{
  return restoration->drop_missing_us != 0 || restoration->apply_held_us != 0 ||
         restoration->apply_drains_us != 0;
}

static bool
take_due (uint64_t *due_us, uint64_t now_us)
{
  if (*due_us == 0 || now_us < *due_us)
    return false;
  *due_us = 0;
  return true;
}

bool
restoration_take_drop_due (restoration_t *restoration, uint64_t now_us)
{
  return take_due (&restoration->drop_missing_us, now_us);
}

bool
restoration_take_apply_due (restoration_t *restoration, uint64_t now_us)
{
  return take_due (&restoration->apply_held_us, now_us);
}

bool
restoration_take_drains_due (restoration_t *restoration, uint64_t now_us)
{
  return take_due (&restoration->apply_drains_us, now_us);
}

static int
compare_numbers (uint64_t known, uint64_t number)
{
  return number < known ? -1 : number > known;
}

int
restoration_compare_entries (const engine_entry_t *known, const engine_entry_t *entry)
{
  int by_start = compare_numbers (known->born_ms, entry->born_ms);

  if (by_start != 0)
    return by_start;
  if (known->renewal != 0 && entry->renewal != 0 && known->renewal != entry->renewal)
    return compare_numbers (known->renewal, entry->renewal);
  return compare_numbers (known->state, entry->state);
}
