/**
 * DOC: read_pace
 *
 * Divides the reading of one event loop among its connections. Each has a burst and a reserve of
 * its own, which is far more than a stream of tokens needs. Connections that have used these up
 * share a common rate evenly, so that no peer, however many connections it has, takes the time of
 * the others. Pure functions.
 */
#ifndef CONNECTION_READ_PACE_H
#define CONNECTION_READ_PACE_H

#include <stdbool.h>
#include <stdint.h>

/** struct read_share - what the connections of one event loop share; @heavy_count: those that have
 * used up their burst and reserve */
typedef struct
{
  uint32_t heavy_count;
} read_share_t;

/**
 * struct read_pace - of one connection
 * @tokens_bytes: may be read at once; below 0 while the connection must wait
 * @filled_us: time up to which tokens have been added
 * @is_heavy: counted in the share
 */
typedef struct
{
  int64_t tokens_bytes;
  uint64_t filled_us;
  bool is_heavy;
} read_pace_t;

/** read_pace_init() - a full burst */
void read_pace_init (read_pace_t *pace, uint64_t now_us);
/** read_pace_spend() - take the cost of what was read. Return: the time until more may be read */
uint64_t
read_pace_spend (read_pace_t *pace, read_share_t *share, uint64_t now_us, uint64_t cost_bytes);
/** read_pace_wait_us() - the time until more may be read; 0 when it may now */
uint64_t read_pace_wait_us (read_pace_t *pace, read_share_t *share, uint64_t now_us);
/** read_pace_leave() - the connection reads nothing for now and leaves its share to the others */
void read_pace_leave (read_pace_t *pace, read_share_t *share);
/** read_pace_rate() - bytes a second of a connection */
uint64_t read_pace_rate (const read_pace_t *pace, const read_share_t *share);

#endif
