#include "cache_events.h"

#include <glib.h>
#include <inttypes.h>

typedef struct
{
  uint64_t occurred_us;
  uint64_t block;
  bool stored;
  bool lost;
} cache_event_t;

struct cache_events
{
  uint64_t publish_delay_us;
  uint32_t loss_percent;
  GRand *rand;
  cache_event_t events[CACHE_EVENTS_CAPACITY]; /* ring buffer, indexed by offset */
  uint64_t next_offset;
};

static json_t *
event_json (const cache_event_t *event, uint64_t offset)
{
  char block[17];
  g_snprintf (block, sizeof block, "%016" PRIx64, event->block);
  return json_pack ("{s:I, s:s, s:s}", "offset", (json_int_t)offset, "block", block, "kind",
                    event->stored ? "stored" : "removed");
}

cache_events_t *
cache_events_new (uint64_t publish_delay_us, uint32_t loss_percent, uint32_t seed)
{
  cache_events_t *cache_events = g_new0 (cache_events_t, 1);
  cache_events->publish_delay_us = publish_delay_us;
  cache_events->loss_percent = loss_percent;
  cache_events->rand = g_rand_new_with_seed (seed);
  return cache_events;
}

void
cache_events_free (cache_events_t *cache_events)
{
  if (cache_events == NULL)
    return;
  g_rand_free (cache_events->rand);
  g_free (cache_events);
}

void
cache_events_add (cache_events_t *cache_events, uint64_t now_us, uint64_t block, bool stored)
{
  cache_event_t *event = &cache_events->events[cache_events->next_offset++ % CACHE_EVENTS_CAPACITY];
  event->occurred_us = now_us;
  event->block = block;
  event->stored = stored;
  event->lost =
      (uint32_t)g_rand_int_range (cache_events->rand, 0, 100) < cache_events->loss_percent;
}

json_t *
cache_events_to_json (const cache_events_t *cache_events, uint64_t now_us, uint64_t from)
{
  json_t *events = json_array ();
  uint64_t retained_count = MIN (cache_events->next_offset, CACHE_EVENTS_CAPACITY);
  uint64_t offset = MAX (from, cache_events->next_offset - retained_count);
  for (; offset < cache_events->next_offset; offset++)
    {
      const cache_event_t *event = &cache_events->events[offset % CACHE_EVENTS_CAPACITY];
      if (event->occurred_us + cache_events->publish_delay_us > now_us)
        break;
      if (!event->lost)
        json_array_append_new (events, event_json (event, offset));
    }
  return json_pack ("{s:I, s:o}", "next", (json_int_t)offset, "events", events);
}
