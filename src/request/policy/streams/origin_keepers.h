/**
 * DOC: origin_keepers
 *
 * Which gateways keep what another one knows of its streams (see stream_origins.h), in case that it
 * is lost. Pure functions of the gateways in the registry, so all gateways come to the same result.
 *
 * A gateway tells of its streams only gateways of its own group, so that a message carries several
 * streams; one who looks for a stream, not knowing where it began, asks in each group the gateway
 * that keeps it by rendezvous hashing. Large groups make messages small and many, small ones make
 * many questions.
 */
#ifndef REQUEST_POLICY_STREAMS_ORIGIN_KEEPERS_H
#define REQUEST_POLICY_STREAMS_ORIGIN_KEEPERS_H

#include <stdint.h>

#define ORIGIN_KEEPERS_GROUP_MAX 64 /* gateways of a group, on average */
/* Gateways that keep a stream where there is one group; where there are more, one does. */
#define ORIGIN_KEEPERS_MAX 2

/** origin_keepers_groups() - the number of groups of @count gateways */
uint32_t origin_keepers_groups (uint32_t count);
/**
 * origin_keepers_of() - the gateways that keep a stream
 * @gateways: hashes of the names of all gateways
 * @beginner: hash of the one at which the stream began
 * @out: their indexes in @gateways
 *
 * Return: their number
 */
uint32_t origin_keepers_of (const uint64_t *gateways,
                            uint32_t count,
                            uint64_t beginner,
                            uint64_t stream,
                            uint32_t out[ORIGIN_KEEPERS_MAX]);
/**
 * origin_keepers_of_any() - the gateways that may keep a stream, wherever it began
 * @self: hash of the gateway that looks for it, which is left out
 * @out: their indexes, room for @count
 *
 * Return: their number
 */
uint32_t origin_keepers_of_any (
    const uint64_t *gateways, uint32_t count, uint64_t self, uint64_t stream, uint32_t *out);

#endif
