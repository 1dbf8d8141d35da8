/**
 * DOC: stream_follow
 *
 * Keeps a view up to date with a keyed stream of the platform. Lists the newest record of each key
 * first, then reads on from the end of that list; lists again when the records to be read are no
 * longer retained. Backs off while the platform fails. A resting follower reads only on request:
 * its owner learns from other hosts whether there are new records.
 */
#ifndef CONNECTION_STREAM_FOLLOW_H
#define CONNECTION_STREAM_FOLLOW_H

#include "base/clock.h"
#include "base/counters.h"
#include "connection/platform.h"
#include "version/keyed_view.h"

#include <event2/event.h>

/* Delay before a failed call is repeated, doubled at each failure. A single failure is often a lost
 * response, hence the short minimum; after several the platform is down for seconds, and at the
 * maximum the retries of a whole fleet stay far below the platform's request limit. */
#define SFL_BACKOFF_MIN_MS 100
#define SFL_BACKOFF_MAX_MS 800
#define SFL_PACE_MIN_MS 50 /* minimum time between the starts of two reads */

/* Bounds the time between two responses to the configured wait plus 1/SFL_SILENT_PART of it: a read
 * that starts late waits for less. It waits for SFL_WAIT_MIN_MS at least, since the store returns
 * no new record to a read that ends at once. */
#define SFL_SILENT_PART 4
#define SFL_WAIT_MIN_MS 100

typedef enum
{
  SFL_LISTED,  /* a list was completed: the view holds all that the platform had then */
  SFL_LOST,    /* a call failed after successful ones */
  SFL_REGAINED /* a call succeeded after failed ones */
} sfl_state_t;

/**
 * struct sfl_options - options of sfl_new()
 * @plt: must outlive the follower's calls; see sfl_free()
 * @stream: name of the stream; a static string
 * @wait_ms: how long a read may wait at the platform for a new record; 0 for not at all
 * @pace_ms: time between the starts of two reads when the first one returned records
 * @latest_only: only the newest record of each key matters. When more than one new record
 *   exists they are listed instead of read, so that a quick series of large records does not
 *   saturate the host's link
 * @held: no call starts before sfl_begin()
 * @seed: for the jitter of the backoff
 * @told: called with each event of sfl_state_t
 */
typedef struct
{
  struct event_base *base;
  const clk_t *clk;
  cnt_set_t *counters;
  plt_t *plt;
  const char *stream;
  keyed_view_t *view;
  uint32_t wait_ms;
  uint32_t pace_ms;
  bool latest_only;
  bool held;
  uint64_t seed;
  void (*told) (sfl_state_t state, void *context);
  void *context;
} sfl_options_t;

typedef struct sfl sfl_t;

/** sfl_new() - create a follower, which starts at once unless it is held */
sfl_t *sfl_new (const sfl_options_t *options);
/** sfl_hold() - start no further call until sfl_begin() */
void sfl_hold (sfl_t *sfl);
/** sfl_begin() - end a hold; no effect when not held */
void sfl_begin (sfl_t *sfl);
/** sfl_free() - free the follower. Only after the platform was freed, which drops its pending calls
 */
void sfl_free (sfl_t *sfl);
/** sfl_next() - the offset to read next; 0 until a list has been completed */
uint64_t sfl_next (const sfl_t *sfl);
/** sfl_advance() - note that the view has got all records before offset @next from a peer, so that
 * they need not be listed or read; ends a hold */
void sfl_advance (sfl_t *sfl, uint64_t next);
/** sfl_set_resting() - whether, after a completed list, no read starts by itself. A pending call is
 * not cancelled */
void sfl_set_resting (sfl_t *sfl, bool resting);
/** sfl_read_soon() - make a resting follower read once, as soon as pace and backoff allow */
void sfl_read_soon (sfl_t *sfl);
/** sfl_has_listed() - whether the view has been complete since the start: by a list or by
 * sfl_advance() */
bool sfl_has_listed (const sfl_t *sfl);
/** sfl_is_failing() - whether the last call failed */
bool sfl_is_failing (const sfl_t *sfl);
/** sfl_is_catching_up() - whether the records being applied were, as far as known, written while
 * this host could not reach the platform. Meant for the view's callback */
bool sfl_is_catching_up (const sfl_t *sfl);
/** sfl_tried_us() - time at which the last call started; 0 before the first */
uint64_t sfl_tried_us (const sfl_t *sfl);
/** sfl_heard_us() - time of the last successful response; 0 before the first */
uint64_t sfl_heard_us (const sfl_t *sfl);

#endif
