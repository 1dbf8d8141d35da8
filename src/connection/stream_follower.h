/**
 * DOC: stream_follower
 *
 * Keeps a view up to date with a keyed stream of the platform. Lists the newest record of each key
 * first, then reads on from the end of that list; lists again when the records to be read are no
 * longer retained, or when the platform has come back from a copy. Backs off while the platform
 * fails. A resting follower reads only on request: its owner learns from other hosts whether there
 * are new records.
 */
#ifndef CONNECTION_STREAM_FOLLOWER_H
#define CONNECTION_STREAM_FOLLOWER_H

#include "base/clock.h"
#include "base/counters.h"
#include "connection/platform.h"
#include "version/keyed_view.h"

#include <event2/event.h>

/* Delay before a failed call is repeated, doubled at each failure. A single failure is often a lost
 * response, hence the short minimum; after several the platform is down for seconds, and at the
 * maximum the retries of a whole fleet stay far below the platform's request limit. */
#define STREAM_FOLLOWER_BACKOFF_MIN_MS 100
#define STREAM_FOLLOWER_BACKOFF_MAX_MS 800
#define STREAM_FOLLOWER_READ_INTERVAL_MIN_MS 50 /* minimum time between the starts of two reads */

/* Bounds the time between two responses to the configured wait plus
 * 1/STREAM_FOLLOWER_WAIT_MARGIN_DIVISOR of it: a read that starts late waits for less. It waits for
 * STREAM_FOLLOWER_WAIT_MIN_MS at least, since the store returns no new record to a read that ends
 * at once. */
#define STREAM_FOLLOWER_WAIT_MARGIN_DIVISOR 4
#define STREAM_FOLLOWER_WAIT_MIN_MS 100

/* Value of a record in the view that is larger than the stream's records may be. */
#define STREAM_FOLLOWER_TOO_LARGE "(too large)"

typedef enum
{
  STREAM_FOLLOWER_LISTED,  /* a list was completed: the view holds all that the platform had then */
  STREAM_FOLLOWER_LOST,    /* a call failed after successful ones */
  STREAM_FOLLOWER_REGAINED /* a call succeeded after failed ones */
} stream_follower_state_t;

/**
 * struct stream_follower_options - options of stream_follower_new()
 * @platform: must outlive the follower's calls; see stream_follower_free()
 * @stream: name of the stream; a static string
 * @wait_ms: how long a read may wait at the platform for a new record; 0 for not at all
 * @pace_ms: time between the starts of two reads when the first one returned records
 * @latest_only: only the newest record of each key matters. When more than one new record
 *   exists they are listed instead of read, so that a quick series of large records does not
 *   saturate the host's link
 * @value_bytes_max: size of the largest value that the view gets; 0 for no limit
 * @start_suspended: no call starts before stream_follower_resume()
 * @seed: for the jitter of the backoff
 * @on_event: called with each event of stream_follower_state_t
 */
typedef struct
{
  struct event_base *base;
  const clock_source_t *clock;
  counter_registry_t *counters;
  platform_t *platform;
  const char *stream;
  keyed_view_t *view;
  uint32_t wait_ms;
  uint32_t pace_ms;
  bool latest_only;
  uint32_t value_bytes_max;
  bool start_suspended;
  uint64_t seed;
  void (*on_event) (stream_follower_state_t state, void *context);
  void *context;
} stream_follower_options_t;

typedef struct follower stream_follower_t;

/** stream_follower_new() - create a follower, which starts at once unless it is held */
stream_follower_t *stream_follower_new (const stream_follower_options_t *options);
/** stream_follower_suspend() - start no further call until stream_follower_resume() */
void stream_follower_suspend (stream_follower_t *follower);
/** stream_follower_resume() - end a hold; no effect when not held */
void stream_follower_resume (stream_follower_t *follower);
/** stream_follower_free() - free the follower. Only after the platform was freed, which drops its
 * pending calls
 */
void stream_follower_free (stream_follower_t *follower);
/** stream_follower_next() - the position to read next; all zero until a list has been completed */
position_t stream_follower_next (const stream_follower_t *follower);
/** stream_follower_advance() - note that the view has got all records before @next from a peer, so
 * that they need not be listed or read; ends a hold */
void stream_follower_advance (stream_follower_t *follower, position_t next);
/** stream_follower_note_era() - the platform stated @era in another response; lists the stream
 * again if it is higher than before */
void stream_follower_note_era (stream_follower_t *follower, uint64_t era);
/** stream_follower_era() - highest era that the platform stated in a response to this follower, or
 * that is known from stream_follower_note_era() and stream_follower_advance() */
uint64_t stream_follower_era (const stream_follower_t *follower);
/** stream_follower_set_on_demand() - whether, after a completed list, no read starts by itself. A
 * pending call is not cancelled */
void stream_follower_set_on_demand (stream_follower_t *follower, bool on_demand);
/** stream_follower_read_soon() - make a resting follower read once, as soon as pace and backoff
 * allow */
void stream_follower_read_soon (stream_follower_t *follower);
/** stream_follower_has_listed() - whether the view has been complete since the start: by a list or
 * by stream_follower_advance() */
bool stream_follower_has_listed (const stream_follower_t *follower);
/** stream_follower_is_failing() - whether the last call failed */
bool stream_follower_is_failing (const stream_follower_t *follower);
/** stream_follower_is_catching_up() - whether the records being applied were, as far as known,
 * written while this host could not reach the platform. Meant for the view's callback */
bool stream_follower_is_catching_up (const stream_follower_t *follower);
/** stream_follower_last_call_us() - time at which the last call started; 0 before the first */
uint64_t stream_follower_last_call_us (const stream_follower_t *follower);
/** stream_follower_last_answer_us() - time of the last successful response; 0 before the first */
uint64_t stream_follower_last_answer_us (const stream_follower_t *follower);
/** stream_follower_current_as_of_us() - time of the last response after which the view had all that
 * the platform had then; 0 for never. A response that brings only a part does not count */
uint64_t stream_follower_current_as_of_us (const stream_follower_t *follower);

#endif
