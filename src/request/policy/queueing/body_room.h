/**
 * DOC: body_room
 *
 * Decides which bodies of requests are read on, so that all requests of a server take no more than
 * its memory for them. Near the limit those that began first are read, as far as all of what they
 * still need fits; those that began later wait, unread, until others have been answered. So some
 * always become whole, in place of many that all stay incomplete.
 *
 * A pure decision.
 */
#ifndef REQUEST_POLICY_QUEUEING_BODY_ROOM_H
#define REQUEST_POLICY_QUEUEING_BODY_ROOM_H

#include <stdbool.h>
#include <stdint.h>

#define BODY_ROOM_SMALL_BYTES (16 * 1024) /* of a request that never waits, and is not evicted */

/**
 * struct body_room - the bodies that have been looked at, oldest first
 * @is_short: the limit is near
 * @left_bytes: room for those that come next
 * @must_wait: one has to wait, so all long ones after it do
 * @has_first: a long one was seen
 * @whole_bytes: of whole requests; while these are many, room will come from their answers, and
 *   otherwise the first long one is read on even without room
 * @small_bytes: %BODY_ROOM_SMALL_BYTES, less where the limit is small
 */
typedef struct
{
  bool is_short;
  uint64_t left_bytes;
  bool must_wait;
  bool has_first;
  uint64_t whole_bytes;
  uint64_t small_bytes;
} body_room_t;

/** body_room_small_bytes() - a request up to this length never waits, and is not evicted */
uint64_t body_room_small_bytes (uint64_t limit_bytes);
/** body_room_is_short() - whether bodies have to wait. @held_bytes: of all requests */
bool body_room_is_short (uint64_t limit_bytes, uint64_t held_bytes);
/** body_room_init() - begin to look at the bodies. @held_bytes: of all requests; @whole_bytes: of
 * those that are whole */
void
body_room_init (body_room_t *room, uint64_t limit_bytes, uint64_t held_bytes, uint64_t whole_bytes);
/** body_room_may_read() - whether the next one, by age, is read on. @length_bytes: of the whole
 * request; @held_bytes: what was received of it */
bool body_room_may_read (body_room_t *room, uint64_t length_bytes, uint64_t held_bytes);

#endif
