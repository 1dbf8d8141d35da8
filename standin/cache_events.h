/**
 * DOC: cache_events
 *
 * Prefix cache events of the stand-in engine, published after a delay and with random losses, as
 * real engines do. Lost events have offsets too, so a reader can detect the gap.
 */
#ifndef STANDIN_CACHE_EVENTS_H
#define STANDIN_CACHE_EVENTS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define CACHE_EVENTS_CAPACITY 4096 /* older events are overwritten */

typedef struct cache_events cache_events_t;

/**
 * cache_events_new() - an empty sequence of events
 * @publish_delay_us: events become readable this long after they occur
 * @loss_percent: share of the events that are never published, chosen at random from @seed
 */
cache_events_t *cache_events_new (uint64_t publish_delay_us, uint32_t loss_percent, uint32_t seed);
/** cache_events_free() - accepts NULL */
void cache_events_free (cache_events_t *cache_events);
/** cache_events_add() - records that the cache stored @block, or removed it if @stored is false */
void cache_events_add (cache_events_t *cache_events, uint64_t now_us, uint64_t block, bool stored);
/**
 * cache_events_to_json() - the published events from offset @from on
 *
 * Return: {"next":N,"events":[{"offset","block","kind"}]}; the caller owns it
 */
json_t *cache_events_to_json (const cache_events_t *cache_events, uint64_t now_us, uint64_t from);

#endif
