#include "request/policy/queueing/connection_room.h"

#include <glib.h>

#define SHORT_PART 8  /* the last eighth of a limit is short */
#define KEPT_PART 16  /* at most so much of the limit is kept free for a batch */
#define EASED_PART 32 /* a full server has room again when so much is left */
#define OTHER_PART 4  /* at most so much of the open files is for others than clients */

static uint32_t
files_left (const connection_limits_t *limits, const connection_counts_t *counts)
{
  uint64_t used = (uint64_t)counts->connections + counts->duplicates + counts->busy +
                  MIN (CONNECTION_ROOM_OTHER_FILES, limits->files / OTHER_PART);

  if (limits->files == 0)
    return UINT32_MAX;
  return (uint32_t)(limits->files - MIN (used, limits->files));
}

static uint32_t
connections_left (const connection_limits_t *limits, const connection_counts_t *counts)
{
  return limits->connections - MIN (counts->connections, limits->connections);
}

uint32_t
connection_room_left (const connection_limits_t *limits, const connection_counts_t *counts)
{
  return MIN (connections_left (limits, counts),
              files_left (limits, counts) / CONNECTION_ROOM_FILES);
}

uint32_t
connection_room_to_close (const connection_limits_t *limits, const connection_counts_t *counts)
{
  uint32_t kept = CLAMP (limits->connections / KEPT_PART, 1, CONNECTION_ROOM_BATCH);
  uint32_t left = connections_left (limits, counts);
  uint32_t kept_files = kept * CONNECTION_ROOM_FILES;
  uint32_t left_files = files_left (limits, counts);
  uint32_t for_connections = kept - MIN (left, kept);
  uint32_t for_files = kept_files - MIN (left_files, kept_files);

  return MAX (for_connections, for_files);
}

bool
connection_room_is_short (const connection_limits_t *limits, const connection_counts_t *counts)
{
  return connections_left (limits, counts) < limits->connections / SHORT_PART ||
         files_left (limits, counts) < limits->files / SHORT_PART;
}

bool
connection_room_review (connection_room_t *room,
                        uint64_t now_us,
                        const connection_limits_t *limits,
                        const connection_counts_t *counts,
                        uint64_t taken)
{
  uint32_t left = connection_room_left (limits, counts);
  uint32_t most = connection_room_left (limits, &(connection_counts_t){ 0 });
  bool was_full = room->is_full;

  if (left > 0)
    room->full_since_us = 0;
  else if (room->full_since_us == 0 || taken != room->taken)
    room->full_since_us = now_us;
  room->taken = taken;
  if (room->full_since_us != 0 && now_us >= room->full_since_us + CONNECTION_ROOM_FULL_US)
    room->is_full = true;
  else if (left >= MAX (most / EASED_PART, 1U))
    room->is_full = false;
  return room->is_full != was_full;
}
