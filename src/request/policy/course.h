/**
 * DOC: retry_plan
 *
 * Decides what follows each outcome of a request that a gateway sends to engines directly. A pure
 * state machine.
 *
 * The request goes to another engine if the previous one certainly did not execute it, or if it may
 * be repeated: it is idempotent, or its response is a stream that can be resumed. The route limits
 * how many engines may execute it.
 */
#ifndef REQUEST_POLICY_COURSE_H
#define REQUEST_POLICY_COURSE_H

#include <stdbool.h>
#include <stdint.h>

/* Engines that may reject a request without executing it before it fails. Each attempt uses the
 * retry budget of all requests, and after three rejections the gateway's view of the service must
 * be out of date. Rejections by full engines don't count: those have a free slot again within the
 * time of a request. */
#define CRS_REFUSALS 3
/* Rejections by full engines before the request fails. A request that is larger than the memory of
 * an engine is rejected as such by each, and would use up the retries of all other requests. */
#define CRS_FULL_MOST 5
/* Failed connections before the request fails. They put no load on engines, so they don't use the
 * retry budget, and each shows this gateway that an engine is down: after the loss of a data centre
 * several fail in a row. */
#define CRS_UNSENT_MOST 8
#define CRS_LEAST_US (20 * 1000) /* with less time left no engine can answer */

/** enum crs_outcome - how an attempt at an engine ended */
typedef enum
{
  CRS_NOT_RUN, /* certainly not executed */
  CRS_FULL,    /* certainly not executed: the engine had no free slot */
  CRS_UNSENT,  /* certainly not executed: the connection to the engine failed */
  CRS_UNKNOWN, /* sent, but no usable response arrived */
  CRS_FAILED,  /* the engine responded with an error of its own */
  CRS_BROKE    /* the response broke off after a part of it went to the client */
} crs_outcome_t;

/** enum crs_step - what to do after an attempt */
typedef enum
{
  CRS_AGAIN,  /* send the whole request to another engine */
  CRS_RESUME, /* send it to another engine, to continue after the last complete event */
  CRS_WAIT,   /* as CRS_AGAIN, once the retry budget allows it */
  CRS_PASS,   /* pass the engine's error response to the client */
  CRS_REFUSE, /* answer 503: no engine executed the request */
  CRS_FAIL,   /* answer 502: an engine may have executed the request */
  CRS_CUT     /* close the client's connection within the response */
} crs_step_t;

/**
 * struct crs_rules - what the route allows
 * @idempotent: the request may be executed more than once
 * @resumable: the response is a stream that another engine can continue
 * @attempts: maximum number of engines that may execute the request
 */
typedef struct
{
  bool idempotent;
  bool resumable;
  uint32_t attempts;
} crs_rules_t;

/**
 * struct crs - state of one request
 * @rules: what its route allows
 * @ran: engines that executed it or may have
 * @refused: engines that certainly didn't execute it, other than those counted below
 * @full: rejections by full engines
 * @unsent: failed connections
 * @retry_due: the next attempt is a retry that the retry budget hasn't counted yet
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

/** crs_init() - starts a request, copying @rules */
void crs_init (crs_t *crs, const crs_rules_t *rules);
/**
 * crs_may_leave() - whether the request may go to another engine if its current or next one doesn't
 * respond
 *
 * @begun: a part of a response went to the client
 */
bool crs_may_leave (const crs_t *crs, bool begun);
/**
 * crs_next() - decides what to do after an attempt ended with @outcome
 *
 * @left_us: time until the client's deadline or the route's timeout, whichever is earlier
 * @may_retry: Return: whether the retry budget allows a retry now; called only if that matters
 * @context: argument of @may_retry
 */
crs_step_t crs_next (crs_t *crs,
                     crs_outcome_t outcome,
                     uint64_t left_us,
                     bool (*may_retry) (void *context),
                     void *context);
/**
 * crs_sends() - records that the request is sent to an engine now
 *
 * A retry may wait for seconds after crs_next() until an engine has a free slot. It then belongs to
 * a later window of the retry budget, so it is counted when it is sent.
 *
 * Return: whether it is a retry that the budget has to count now
 */
bool crs_sends (crs_t *crs);

#endif
