#include "request/policy/queueing/body_room.h"

#include <glib.h>

#define SHORT_PART 4 /* the last quarter of the limit is for those that are to become whole */
#define SMALL_PART 8 /* at most so much of the limit is a small request */

uint64_t
body_room_small_bytes (uint64_t limit_bytes)
{
  return MIN (BODY_ROOM_SMALL_BYTES, limit_bytes / SMALL_PART);
}

bool
body_room_is_short (uint64_t limit_bytes, uint64_t held_bytes)
{
  return held_bytes > limit_bytes - limit_bytes / SHORT_PART;
}

void
body_room_init (body_room_t *room, uint64_t limit_bytes, uint64_t held_bytes, uint64_t whole_bytes)
{
  *room = (body_room_t){ .is_short = body_room_is_short (limit_bytes, held_bytes),
                         .left_bytes = limit_bytes - MIN (held_bytes, limit_bytes),
                         .whole_bytes = whole_bytes,
                         .small_bytes = body_room_small_bytes (limit_bytes) };
}

bool
body_room_may_read (body_room_t *room, uint64_t length_bytes, uint64_t held_bytes)
{
  uint64_t needed_bytes = length_bytes - MIN (held_bytes, length_bytes);
  bool goes_on = !room->has_first && room->whole_bytes < length_bytes;

  if (!room->is_short || length_bytes <= room->small_bytes)
    return true;
  room->has_first = true;
  room->must_wait = room->must_wait || (!goes_on && needed_bytes > room->left_bytes);
  if (room->must_wait)
    return false;
  room->left_bytes -= MIN (needed_bytes, room->left_bytes);
  return true;
}
