#include "request/policy/room/room_engine.h"

#include <glib.h>
#include <stdbool.h>

#define MILLI 1000
#define ATTRACTION_SCALE UINT64_C (1000000000)

/* The first samples count fully, so that a new engine's load is known after one report. */
static uint32_t
smooth (uint32_t previous, uint32_t sample, uint32_t samples, uint32_t smoothing)
{
  uint32_t divisor = MIN (samples + 1, smoothing);

  return (uint32_t)(((uint64_t)previous * (divisor - 1) + sample) / divisor);
}

void
room_engine_note_report (room_engine_t *room, const room_engine_report_t *report)
{
  uint32_t others_milli = MIN (report->others, UINT32_MAX / MILLI) * MILLI;

  room->others_milli =
      smooth (room->others_milli, others_milli, room->reports, ROOM_ENGINE_LOAD_SMOOTHING);
  room->reports = MIN (room->reports + 1, ROOM_ENGINE_LOAD_SMOOTHING);
  room->running = report->running;
  room->waiting = report->waiting;
  if (report->slots > 0)
    room->slots = report->slots;
}

static uint32_t
duration_or_usual (uint32_t duration_milli, uint32_t usual_milli)
{
  return duration_milli > 0 ? duration_milli : usual_milli;
}

void
room_engine_note_duration (room_engine_t *room, uint32_t ratio_milli)
{
  uint32_t partly_milli = duration_or_usual (room->partly_milli, MILLI);
  uint32_t fully_milli = duration_or_usual (room->fully_milli, partly_milli);
  uint32_t sample_milli = MIN (ratio_milli, ROOM_ENGINE_DURATION_MAX_MILLI);

  if (room->slots == 0)
    return;
  sample_milli =
      (uint32_t)((uint64_t)sample_milli * room->slots / ((uint64_t)room->slots + room->waiting));
  if (room->running >= room->slots)
    room->fully_milli =
        smooth (fully_milli, sample_milli, ROOM_ENGINE_DURATION_ASSUMED + room->fully_samples++,
                ROOM_ENGINE_DURATION_SMOOTHING);
  else
    room->partly_milli =
        smooth (partly_milli, sample_milli, ROOM_ENGINE_DURATION_ASSUMED + room->partly_samples++,
                ROOM_ENGINE_DURATION_SMOOTHING);
}

/* Whether the last slot slows the others down by more than it adds. The engine then does most with
 * that slot free, and a request there delays all others besides itself. */
static bool
is_crowded_by_last_slot (uint32_t slots, uint64_t partly_milli, uint64_t fully_milli)
{
  return slots > 1 && fully_milli * (slots - 1) > partly_milli * slots;
}

uint64_t
room_engine_expect_milli (const room_engine_t *room, uint64_t load_milli, uint32_t slots)
{
  uint64_t partly_milli = duration_or_usual (room->partly_milli, MILLI);
  uint64_t fully_milli = duration_or_usual (room->fully_milli, (uint32_t)partly_milli);
  uint64_t slots_milli = (uint64_t)MAX (slots, 1U) * MILLI;
  uint64_t after_milli = load_milli + MILLI;

  if (after_milli < slots_milli)
    return partly_milli;
  fully_milli = MAX (partly_milli, fully_milli);
  if (is_crowded_by_last_slot (slots, partly_milli, fully_milli))
    fully_milli = fully_milli * fully_milli / partly_milli;
  return fully_milli * MAX (after_milli, slots_milli) / slots_milli;
}

/* Requests arrive at random, so an engine that slows down with its last slot is kept well below it.
 */
static uint32_t
usable_slots (const room_engine_t *room, uint32_t slots)
{
  uint64_t partly_milli = duration_or_usual (room->partly_milli, MILLI);
  uint64_t fully_milli = duration_or_usual (room->fully_milli, (uint32_t)partly_milli);
  bool is_crowded = is_crowded_by_last_slot (slots, partly_milli, fully_milli);

  return is_crowded ? slots - slots / ROOM_ENGINE_CROWDED_DIVISOR : slots;
}

uint64_t
room_engine_attraction (const room_engine_t *room, uint64_t load_milli, uint32_t slots)
{
  uint64_t expected_milli = room_engine_expect_milli (room, load_milli, slots);

  return 1 +
         usable_slots (room, slots) * ATTRACTION_SCALE / MAX (expected_milli * expected_milli, 1U);
}
