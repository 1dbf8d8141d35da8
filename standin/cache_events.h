/**
 * DOC: cache_events
 *
 * Cache events of the stand-in engine as engines publish them: late, and with gaps. An offset is
 * given to each event, those that are lost included, so a reader can see the gap.
 */
#ifndef STANDIN_CACHE_EVENTS_H
#define STANDIN_CACHE_EVENTS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define CEV_LIMIT_EVENTS 4096

typedef struct cev cev_t;

/** cev_new() - events are published @late_us after they happen; @gap_percent of them are lost */
cev_t *cev_new (uint64_t late_us, uint32_t gap_percent, uint32_t seed);
void cev_free (cev_t *cev);
void cev_add (cev_t *cev, uint64_t now_us, uint64_t block, bool stored);
/** cev_list() - {"next":N,"events":[{"offset","block","kind"}]} from offset @from on */
json_t *cev_list (const cev_t *cev, uint64_t now_us, uint64_t from);

#endif
