#include "cache_events.h"

#include <glib.h>
#include <inttypes.h>

typedef struct
{
  uint64_t happened_us;
  uint64_t block;
  bool stored;
  bool lost;
} cev_event_t;

struct cev
{
  uint64_t late_us;
  uint32_t gap_percent;
  GRand *rand;
  cev_event_t events[CEV_LIMIT_EVENTS]; /* a ring by offset */
  uint64_t next_offset;
};

static json_t *
event_json (const cev_event_t *event, uint64_t offset)
{
  char block[17];
  g_snprintf (block, sizeof block, "%016" PRIx64, event->block);
  return json_pack ("{s:I, s:s, s:s}", "offset", (json_int_t)offset, "block", block, "kind",
                    event->stored ? "stored" : "removed");
}

cev_t *
cev_new (uint64_t late_us, uint32_t gap_percent, uint32_t seed)
{
  cev_t *cev = g_new0 (cev_t, 1);
  cev->late_us = late_us;
  cev->gap_percent = gap_percent;
  cev->rand = g_rand_new_with_seed (seed);
  return cev;
}

void
cev_free (cev_t *cev)
{
  if (cev == NULL)
    return;
  g_rand_free (cev->rand);
  g_free (cev);
}

void
cev_add (cev_t *cev, uint64_t now_us, uint64_t block, bool stored)
{
  cev_event_t *event = &cev->events[cev->next_offset++ % CEV_LIMIT_EVENTS];
  event->happened_us = now_us;
  event->block = block;
  event->stored = stored;
  event->lost = (uint32_t)g_rand_int_range (cev->rand, 0, 100) < cev->gap_percent;
}

json_t *
cev_list (const cev_t *cev, uint64_t now_us, uint64_t from)
{
  json_t *events = json_array ();
  uint64_t held = MIN (cev->next_offset, CEV_LIMIT_EVENTS);
  uint64_t offset = MAX (from, cev->next_offset - held);
  for (; offset < cev->next_offset; offset++)
    {
      const cev_event_t *event = &cev->events[offset % CEV_LIMIT_EVENTS];
      if (event->happened_us + cev->late_us > now_us)
        break;
      if (!event->lost)
        json_array_append_new (events, event_json (event, offset));
    }
  return json_pack ("{s:I, s:o}", "next", (json_int_t)offset, "events", events);
}
