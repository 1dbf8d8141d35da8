/**
 * DOC: retry_plan
 *
 * Decides what follows each outcome of a request that a gateway sends to engines directly. A pure
 * state machine.
 *
 * The request goes to another engine if the previous one certainly did not execute it, or if it may
 * be repeated: it is idempotent, or its response is a stream that can be resumed. The route limits
 * how many engines may execute it. Where another engine has a copy of the run's cache, the run goes
 * on there: it is the same run, so that holds for every request.
 */
#ifndef REQUEST_POLICY_RETRIES_RETRY_PLAN_H
#define REQUEST_POLICY_RETRIES_RETRY_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/* Engines that may reject a request without executing it before it fails. Each attempt uses the
 * retry budget of all requests, and after three rejections the gateway's view of the service must
 * be out of date. Rejections by full engines don't count: those have a free slot again within the
 * time of a request. */
#define RETRY_PLAN_REJECTIONS_MAX 3
/* Rejections by full engines before the request fails. A request that is larger than the memory of
 * an engine is rejected as such by each, and would use up the retries of all other requests. */
#define RETRY_PLAN_FULL_MAX 5
/* Failed connections before the request fails. They put no load on engines, so they don't use the
 * retry budget, and each shows this gateway that an engine is down: after the loss of a data centre
 * several fail in a row. */
#define RETRY_PLAN_UNSENT_MAX 10
/* Times that a run may go on from a copy. A request that ends each engine that runs it would
 * otherwise end as many as have copies. */
#define RETRY_PLAN_COPIES_MAX 2
#define RETRY_PLAN_MIN_TIME_US (20 * 1000) /* with less time left no engine can answer */

/** enum retry_plan_outcome - how an attempt at an engine ended */
typedef enum
{
  RETRY_PLAN_OUTCOME_NOT_RUN,  /* certainly not executed */
  RETRY_PLAN_OUTCOME_FULL,     /* certainly not executed: the engine had no free slot */
  RETRY_PLAN_OUTCOME_UNSENT,   /* certainly not executed: the connection to the engine failed */
  RETRY_PLAN_OUTCOME_UNKNOWN,  /* sent, but no usable response arrived */
  RETRY_PLAN_OUTCOME_FAILED,   /* the engine responded with an error of its own */
  RETRY_PLAN_OUTCOME_BROKE_OFF /* the response broke off after a part of it went to the client */
} retry_plan_outcome_t;

/** enum retry_plan_step - what to do after an attempt */
typedef enum
{
  RETRY_PLAN_STEP_RESEND, /* send the whole request to another engine */
  RETRY_PLAN_STEP_RESUME, /* send it to another engine, to continue after the last complete event */
  RETRY_PLAN_STEP_CONTINUE, /* send it to the engine with the copy of the run's cache */
  RETRY_PLAN_STEP_WAIT,     /* as RETRY_PLAN_STEP_RESEND or RETRY_PLAN_STEP_RESUME, once the retry
                               budget allows it */
  RETRY_PLAN_STEP_PASS_ON,  /* pass the engine's error response to the client */
  RETRY_PLAN_STEP_REJECT,   /* answer 503: no engine executed the request */
  RETRY_PLAN_STEP_FAIL,     /* answer 502: an engine may have executed the request */
  RETRY_PLAN_STEP_CUT_OFF   /* close the client's connection within the response */
} retry_plan_step_t;

/**
 * struct retry_plan_rules - what the route allows
 * @idempotent: the request may be executed more than once
 * @resumable: the response is a stream that another engine can continue
 * @max_runs: maximum number of engines that may execute the request
 */
typedef struct
{
  bool idempotent;
  bool resumable;
  uint32_t max_runs;
} retry_plan_rules_t;

/**
 * struct retry_plan - state of one request
 * @rules: what its route allows
 * @ran: engines that executed it or may have
 * @rejected: engines that certainly didn't execute it, other than those counted below
 * @rejected_full: rejections by full engines
 * @unsent: failed connections
 * @continued: times that the run went on from a copy
 * @lost: outcome of the attempt before the current one, which goes on from a copy
 * @has_copy: another engine has a copy of the current run's cache
 * @is_continuing: the current attempt goes on from a copy
 * @retry_due: the next attempt is a retry that the retry budget hasn't counted yet
 * @was_given_up: an attempt was given up although its engine might still have answered
 */
typedef struct
{
  retry_plan_rules_t rules;
  uint32_t ran;
  uint32_t rejected;
  uint32_t rejected_full;
  uint32_t unsent;
  uint32_t continued;
  retry_plan_outcome_t lost;
  bool has_copy;
  bool is_continuing;
  bool retry_due;
  bool was_given_up;
} retry_plan_t;

/** retry_plan_init() - starts a request, copying @rules */
void retry_plan_init (retry_plan_t *retry_plan, const retry_plan_rules_t *rules);
/**
 * retry_plan_may_move() - whether the request may go to another engine if its current or next one
 * doesn't respond
 *
 * @begun: a part of a response went to the client
 */
bool retry_plan_may_move (const retry_plan_t *retry_plan, bool begun);
/** retry_plan_may_rerun() - likewise, whether or not another engine has a copy of the run's cache
 */
bool retry_plan_may_rerun (const retry_plan_t *retry_plan, bool begun);
/** retry_plan_may_continue() - whether the run may go on from a copy of its cache */
bool retry_plan_may_continue (const retry_plan_t *retry_plan);
/** retry_plan_continue() - the run goes on from its copy, as it may, while the engine before still
 * has the request; @outcome: of the attempt there, once it is ended. To go back to that engine, the
 * caller takes the plan of before */
void retry_plan_continue (retry_plan_t *retry_plan, retry_plan_outcome_t outcome);
/** retry_plan_set_copy() - another engine has a copy of the current run's cache, or none has one */
void retry_plan_set_copy (retry_plan_t *retry_plan, bool has_copy);
/** retry_plan_note_given_up() - the current attempt is given up although its engine might still
 * answer. From now on the request waits for another engine rather than fail while it may run */
void retry_plan_note_given_up (retry_plan_t *retry_plan);
/** retry_plan_forbid_rerun() - the request must not run again after the current attempt, not even
 * from a copy */
void retry_plan_forbid_rerun (retry_plan_t *retry_plan);
/**
 * retry_plan_next() - decides what to do after an attempt ended with @outcome
 *
 * When an engine refuses to go on from a copy, it has none, and what follows is decided by the
 * outcome of the attempt before.
 *
 * @left_us: time until the client's deadline or the route's timeout, whichever is earlier
 * @may_retry: Return: whether the retry budget allows a retry now; called only if that matters
 * @context: argument of @may_retry
 */
retry_plan_step_t retry_plan_next (retry_plan_t *retry_plan,
                                   retry_plan_outcome_t outcome,
                                   uint64_t left_us,
                                   bool (*may_retry) (void *context),
                                   void *context);
/**
 * retry_plan_note_send() - records that the request is sent to an engine now
 *
 * A retry may wait for seconds after retry_plan_next() until an engine has a free slot. It then
 * belongs to a later window of the retry budget, so it is counted when it is sent.
 *
 * Return: whether it is a retry that the budget has to count now
 */
bool retry_plan_note_send (retry_plan_t *retry_plan);

#endif
