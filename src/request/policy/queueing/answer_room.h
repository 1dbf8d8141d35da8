/**
 * DOC: answer_room
 *
 * Decides how many bytes of an answer wait for a client that reads slowly, before its upstream is
 * not read on: fewer as there are more answers, so that all together stay within their memory.
 *
 * A pure decision.
 */
#ifndef REQUEST_POLICY_QUEUEING_ANSWER_ROOM_H
#define REQUEST_POLICY_QUEUEING_ANSWER_ROOM_H

#include <stdint.h>

#define ANSWER_ROOM_MOST_BYTES (256 * 1024) /* for one answer */
#define ANSWER_ROOM_LEAST_BYTES (16 * 1024)

/** answer_room_bytes() - bytes that may wait for one of @answers clients. @limit_bytes: for all of
 * them, 0 for no limit */
uint64_t answer_room_bytes (uint64_t limit_bytes, uint32_t answers);

#endif
