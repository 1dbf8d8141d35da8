/**
 * DOC: stream_origins
 *
 * At which software version streams began, as a gateway knows it: of its own streams, and of those
 * that other gateways told it of, so that a stream goes on at its version wherever its client
 * resumes it. A state machine without I/O.
 */
#ifndef REQUEST_POLICY_STREAMS_STREAM_ORIGINS_H
#define REQUEST_POLICY_STREAMS_STREAM_ORIGINS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct stream_origin - the version at which a stream began
 * @stream: hash of the client account and of the id of the attempt that began the stream
 * @version: as engine_t.version
 * @service: its service, interned; NULL for one that another gateway told of
 * @expires_us: until when its client may resume it
 */
typedef struct
{
  uint64_t stream;
  uint64_t version;
  const char *service;
  uint64_t expires_us;
} stream_origin_t;

/* Time in which a client gets what was sent to it, or resumes the stream. */
#define STREAM_ORIGINS_TAIL_US (UINT64_C (2000) * 1000)

typedef struct stream_origins stream_origins_t;

/** stream_origins_new() - remembers @limit streams at most, the latest ones */
stream_origins_t *stream_origins_new (uint32_t limit);
void stream_origins_free (stream_origins_t *origins);
/** stream_origins_add() - remembers a stream. The version of a stream never changes: what is told
 * later of one that is known only extends its time */
void stream_origins_add (stream_origins_t *origins, uint64_t now_us, const stream_origin_t *origin);
/** stream_origins_get() - gets what is known of a stream. Return: false when it is unknown */
bool stream_origins_get (const stream_origins_t *origins,
                         uint64_t now_us,
                         uint64_t stream,
                         stream_origin_t *out);
/** stream_origins_find() - the version at which a stream began, 0 when it is unknown */
uint64_t stream_origins_find (const stream_origins_t *origins, uint64_t now_us, uint64_t stream);
/** stream_origins_tell() - a stream that is known is to be told to other gateways, once */
void stream_origins_tell (stream_origins_t *origins, uint64_t stream);
/** stream_origins_forget() - the stream has not begun after all */
void stream_origins_forget (stream_origins_t *origins, uint64_t stream);
/** stream_origins_end() - the whole stream was sent to its client, so it need not be told any more
 */
void stream_origins_end (stream_origins_t *origins, uint64_t now_us, uint64_t stream);
/** stream_origins_get_open() - gets what is known of a stream that has not ended. Return: false
 * when it is unknown or has */
bool stream_origins_get_open (const stream_origins_t *origins,
                              uint64_t now_us,
                              uint64_t stream,
                              stream_origin_t *out);
/** stream_origins_take() - gets the next stream that is to be told. Return: false when there is
 * none
 */
bool stream_origins_take (stream_origins_t *origins, uint64_t now_us, stream_origin_t *out);
/** stream_origins_has_due() - whether there is one */
bool stream_origins_has_due (const stream_origins_t *origins);
/** stream_origins_visit_open() - calls @visit for each stream that its client may still resume */
void stream_origins_visit_open (const stream_origins_t *origins,
                                uint64_t now_us,
                                void (*visit) (const stream_origin_t *origin, void *context),
                                void *context);
/** stream_origins_has_dropped() - whether a stream that its client may still resume was forgotten,
 * as there were too many */
bool stream_origins_has_dropped (const stream_origins_t *origins, uint64_t now_us);
/** stream_origins_count() - number of streams that are remembered */
uint32_t stream_origins_count (const stream_origins_t *origins);

#endif
