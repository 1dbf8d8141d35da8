/**
 * DOC: event_split
 *
 * Splits a stream of server-sent events into whole events and notes the id of the last one. What is
 * passed on is never half an event, so a stream that breaks off can go on elsewhere.
 */
#ifndef REQUEST_GATEWAY_EVENT_SPLIT_H
#define REQUEST_GATEWAY_EVENT_SPLIT_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

#define EVS_EVENT_LIMIT_BYTES (1024 * 1024) /* a longer one counts as broken */

/**
 * struct evs - a stream
 * @partial: of an event that has not ended
 * @last_id: of the last whole event, when @has_id
 * @count: whole events passed on
 * @broken: an event was over the limit
 */
typedef struct
{
  struct evbuffer *partial;
  uint64_t last_id;
  uint64_t count;
  bool has_id;
  bool resumed;
  bool broken;
} evs_t;

void evs_init (evs_t *evs);
void evs_clear (evs_t *evs);
/** evs_feed() - moves the whole events of @in, with what was left before, to @out; drains @in */
void evs_feed (evs_t *evs, struct evbuffer *in, struct evbuffer *out);
/** evs_is_between() - no event has begun that has not ended */
bool evs_is_between (const evs_t *evs);
/** evs_restart() - the stream begins anew at another engine: half an event of the one before is
 * dropped */
void evs_restart (evs_t *evs);
/** evs_resume() - the stream goes on after @last_id: half an event is dropped, and events that came
 * already are left out */
void evs_resume (evs_t *evs);

#endif
