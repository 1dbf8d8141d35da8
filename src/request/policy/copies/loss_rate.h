/**
 * DOC: loss_rate
 *
 * Estimates how likely a run is lost because its engine ends: from engines of the service that
 * ended, broke off or failed lately, from those that leave or have joined (a release), and from
 * what the engine itself did. A state machine without I/O; the caller passes the time.
 */
#ifndef REQUEST_POLICY_COPIES_LOSS_RATE_H
#define REQUEST_POLICY_COPIES_LOSS_RATE_H

#include "request/policy/engines/engines.h"

/* Losses are forgotten after this time; their weight falls linearly until then. */
#define LOSS_RATE_WINDOW_US (UINT64_C (10) * 1000 * 1000)
/* Losses of a service that are kept; a further one replaces the oldest. */
#define LOSS_RATE_EVENTS_MAX 64
/* Interval of loss_rate_review(): it reads all engines of the service. */
#define LOSS_RATE_REVIEW_US (UINT64_C (200) * 1000)
/* Chance that an engine which broke off once, a moment ago, does so again while a run is there. */
#define LOSS_RATE_BREAK_PPM 150000
#define LOSS_RATE_MAX_PPM 900000
/* Divisor: one engine in 4 that a release replaces cuts off a run that did not end in time. */
#define LOSS_RATE_RELEASE_DIVISOR 4
/* A data centre is in doubt from this share of its engines on, in thousandths, if at least so many
 * were lost: a single one says nothing about the others. */
#define LOSS_RATE_DOUBT_MILLI 200
#define LOSS_RATE_DOUBT_ENGINES 2

typedef struct loss_rate loss_rate_t;

/**
 * struct loss_rate_estimate - the chance that a run is lost, and what it is based on
 * @chance_ppm: in millionths
 * @own_ppm: from what the engine itself did
 * @lost: engines of the service that were lost in the window
 * @changing: engines that leave, or joined in the window while others left
 * @engines: engines of the service
 * @is_center_in_doubt: many engines of its data centre were lost
 */
typedef struct
{
  uint32_t chance_ppm;
  uint32_t own_ppm;
  uint32_t lost;
  uint32_t changing;
  uint32_t engines;
  bool is_center_in_doubt;
} loss_rate_estimate_t;

loss_rate_t *loss_rate_new (void);
void loss_rate_free (loss_rate_t *rate);
/** loss_rate_note_break() - records that @engine broke off a request, was silent or unreachable */
void loss_rate_note_break (loss_rate_t *rate, uint64_t now_us, const engine_t *engine);
/** loss_rate_is_review_due() - whether %LOSS_RATE_REVIEW_US have passed since the last review */
bool loss_rate_is_review_due (const loss_rate_t *rate, uint64_t now_us);
/** loss_rate_review() - compares the engines of the service, an array of engine_t, with those of
 * the last review: one that has gone without having announced it was lost */
void loss_rate_review (loss_rate_t *rate, uint64_t now_us, const GPtrArray *engines);
/** loss_rate_estimate() - the chance that a run of @run_us at @engine is lost */
loss_rate_estimate_t loss_rate_estimate (const loss_rate_t *rate,
                                         uint64_t now_us,
                                         const engine_t *engine,
                                         uint64_t run_us);

#endif
