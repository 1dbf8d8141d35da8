#include "request/policy/queueing/answer_room.h"

#include <glib.h>

uint64_t
answer_room_bytes (uint64_t limit_bytes, uint32_t answers)
{
  if (limit_bytes == 0 || answers == 0)
    return ANSWER_ROOM_MOST_BYTES;
  return CLAMP (limit_bytes / answers, ANSWER_ROOM_LEAST_BYTES, ANSWER_ROOM_MOST_BYTES);
}
