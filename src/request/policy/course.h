/**
 * DOC: course
 *
 * What comes after each outcome of a request that a router sends to engines itself. A pure state
 * machine.
 *
 * Another engine is asked after a certainty that the one before did not run the request, or where
 * the request may be repeated: an idempotent one, or a stream that can be resumed. Never more
 * engines may run it than its route allows.
 */
#ifndef REQUEST_POLICY_COURSE_H
#define REQUEST_POLICY_COURSE_H

#include <stdbool.h>
#include <stdint.h>

/* Engines that refused a request with certainty, after which it is given up: each try costs the
 * retry budget that all share, and by then the view of the service is wrong. One that is full does
 * not count: it has a place again within the time of a request. */
#define CRS_REFUSALS 3
/* Of refusals by full engines: a request that is larger than an engine's memory is refused so by
 * each, and would use up the retries of all others. */
#define CRS_FULL_MOST 5
/* Connections that were not made. They load no engine, so they take nothing from the retry budget,
 * and each one tells this router which engine is down: after a data centre is lost several in a row
 * are. */
#define CRS_UNSENT_MOST 8
#define CRS_LEAST_US (20 * 1000) /* with less time left no engine can answer */

typedef enum
{
  CRS_NOT_RUN, /* certain */
  CRS_FULL,    /* certain: the engine had no place left */
  CRS_UNSENT,  /* certain: no connection to the engine was made */
  CRS_UNKNOWN, /* sent, and no answer that counts */
  CRS_FAILED,  /* the engine answered with a failure of its own */
  CRS_BROKE    /* the answer broke off after a part went to the caller */
} crs_outcome_t;

typedef enum
{
  CRS_AGAIN,  /* send the whole request to another engine */
  CRS_RESUME, /* send it to go on after the last whole event */
  CRS_WAIT,   /* as CRS_AGAIN, once the retry budget allows it */
  CRS_PASS,   /* pass the engine's own failure on */
  CRS_REFUSE, /* 503: it ran nowhere */
  CRS_FAIL,   /* 502: it may have run */
  CRS_CUT     /* break the begun answer off */
} crs_step_t;

/**
 * struct crs_rules - of the route
 * @idempotent: it may run more than once
 * @resumable: a stream that may go on elsewhere
 * @attempts: engines that may run it
 */
typedef struct
{
  bool idempotent;
  bool resumable;
  uint32_t attempts;
} crs_rules_t;

/**
 * struct crs - state of one request
 * @ran: engines that ran it or may have
 * @refused: that refused it with certainty for other reasons than those below
 * @full: refusals by engines that had no place left
 * @unsent: connections that were not made
 * @retry_due: the next send is a retry that the budget does not count yet
 */
typedef struct
{
  crs_rules_t rules;
  uint32_t ran;
  uint32_t refused;
  uint32_t full;
  uint32_t unsent;
  bool retry_due;
} crs_t;

void crs_init (crs_t *crs, const crs_rules_t *rules);
/** crs_may_leave() - whether the request may go on elsewhere if the engine that has it, or gets it
 * next, does not answer; @begun: a part of an answer went to the caller */
bool crs_may_leave (const crs_t *crs, bool begun);
/**
 * crs_next() - what follows @outcome
 * @left_us: until the caller's deadline or the route's timeout
 * @may_retry: whether the retry budget has one now; asked only when it matters
 */
crs_step_t crs_next (crs_t *crs,
                     crs_outcome_t outcome,
                     uint64_t left_us,
                     bool (*may_retry) (void *context),
                     void *context);
/**
 * crs_sends() - the request goes to an engine now
 *
 * A retry may wait for room for seconds after crs_next() and arrives in a later window, so it is
 * counted when it is sent.
 *
 * Return: whether it is a retry, which the budget counts from now on
 */
bool crs_sends (crs_t *crs);

#endif
