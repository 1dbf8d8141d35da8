/**
 * DOC: origin_batches
 *
 * Streams that a gateway has yet to tell other gateways of, by the gateway that is to be told. The
 * byte budget allows a few messages a second, so the one with most streams goes first. A state
 * machine without I/O.
 */
#ifndef REQUEST_POLICY_STREAMS_ORIGIN_BATCHES_H
#define REQUEST_POLICY_STREAMS_ORIGIN_BATCHES_H

#include <stdint.h>

typedef struct origin_batches origin_batches_t;

/** origin_batches_new() - @limit: streams for one gateway; more push the oldest out */
origin_batches_t *origin_batches_new (uint32_t limit);
void origin_batches_free (origin_batches_t *batches);
/** origin_batches_add() - the gateway with the hash @gateway is to be told of @stream */
void origin_batches_add (origin_batches_t *batches, uint64_t gateway, uint64_t stream);
/**
 * origin_batches_take() - gets the streams for the gateway that has most of them
 * @most: room in @streams; the latest are taken, and others stay
 *
 * Return: their number, 0 when there are none
 */
uint32_t origin_batches_take (origin_batches_t *batches,
                              uint64_t *gateway,
                              uint64_t *streams,
                              uint32_t most);
/** origin_batches_drop() - forgets what a gateway was to be told, as it has gone */
void origin_batches_drop (origin_batches_t *batches, uint64_t gateway);

#endif
