/**
 * DOC: patience
 *
 * When a request that may be repeated is given up at an engine that brings nothing, so that another
 * one gets it in time. A pure function.
 *
 * Silence of one request alone may be a long queue; silence of all requests on an engine is not,
 * since an engine that works brings some token every few milliseconds.
 */
#ifndef REQUEST_POLICY_PATIENCE_H
#define REQUEST_POLICY_PATIENCE_H

#include <stdbool.h>
#include <stdint.h>

/* No engine is silent for so long when it works, but for the reading of long prompts: 112 tokens a
 * millisecond are usual, and another one may be read before. */
#define PTC_SILENT_US (UINT64_C (500) * 1000)
#define PTC_TOKEN_US 25
/* A request whose head is later than so many times the usual, and this, is lost where others of the
 * same engine are served. */
#define PTC_LATE_FACTOR 8
#define PTC_LATE_US (UINT64_C (1000) * 1000)
/* Of a request with little time: whose answer was lost on the way is to be sent again while there
 * is time for an answer, also when the second one is lost. A status check has a second and takes 25
 * ms. */
#define PTC_LATE_PART 4
/* Between events of a stream: so many times the pause that is still on time. */
#define PTC_GAP_FACTOR 3

/* Where all engines are full a less urgent request waits there behind others: it is lost only after
 * so many times as long. In 3.5 times the usual traffic 5,400 of 74,000 requests were given up and
 * sent again, which an engine of the same service then had to do. */
#define PTC_FULL_FACTOR 4

/**
 * struct ptc - a hop
 * @sent_us: when it was sent
 * @heard_us: when a byte of it came last, 0 when none has
 * @engine_heard_us: when a byte of any request came from its engine, 0 when none has
 * @prompt_tokens: that the engine may have to read
 * @usual_us: from a send to the head, usually
 * @time_us: from its send to its deadline
 * @gap_us: of a stream: the longest pause that is on time; 0 when it is not known
 * @full: the engines of its service are full
 */
typedef struct
{
  uint64_t sent_us;
  uint64_t heard_us;
  uint64_t engine_heard_us;
  uint64_t prompt_tokens;
  uint64_t usual_us;
  uint64_t time_us;
  uint64_t gap_us;
  bool full;
} ptc_t;

/** ptc_is_lost() - whether to give the hop up */
bool ptc_is_lost (const ptc_t *ptc, uint64_t now_us);

#endif
