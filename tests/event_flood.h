/**
 * DOC: event_flood
 *
 * An engine that sends events with rising ids without end on each stream and is sound elsewhere,
 * and callers that read them, in threads of their own, so that their processor time can be told
 * from that of the gateway between them.
 */
#ifndef TESTS_EVENT_FLOOD_H
#define TESTS_EVENT_FLOOD_H

#include "base/settings.h"

typedef struct event_flood event_flood_t;

/** event_flood_new() - start the engine; @is_chunked: many events a chunk, else the stream ends
 * with its connection */
event_flood_t *event_flood_new (bool is_chunked, address_t *address);
/** event_flood_call() - start a caller that sends @request to @gateway and reads the response */
void event_flood_call (event_flood_t *flood, const address_t *gateway, const char *request);
/** event_flood_upload() - start a caller that sends @head to @gateway and then bytes without end,
 * on one connection after another */
void event_flood_upload (event_flood_t *flood, const address_t *gateway, const char *head);
/** event_flood_uploads() - number of connections of such callers that the gateway has ended */
uint32_t event_flood_uploads (event_flood_t *flood);
/** event_flood_reading() - number of callers that have read more than @bytes */
uint32_t event_flood_reading (event_flood_t *flood, uint64_t bytes);
/** event_flood_read_bytes() - what all callers have read */
uint64_t event_flood_read_bytes (event_flood_t *flood);
/** event_flood_free() - close all connections and end the threads */
void event_flood_free (event_flood_t *flood);

#endif
