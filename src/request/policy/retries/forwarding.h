/**
 * DOC: forwarding
 *
 * Forwards one request to engines through their sidecars: decides which engine to try, what follows
 * each outcome and when to give up. A pure state machine: the caller sends the request and reports
 * the outcome.
 *
 * A request that isn't idempotent goes to another engine only after VERDICT_NOT_RUN. An idempotent
 * one may be retried until the first byte of a response went to the client, within the retry budget
 * of the router. All client accounts share the budget, and each has a reserve that no other one
 * uses.
 */
#ifndef REQUEST_POLICY_RETRIES_FORWARDING_H
#define REQUEST_POLICY_RETRIES_FORWARDING_H

#include "base/limits.h"
#include "request/policy/retries/verdict.h"

#include <stdbool.h>
#include <stdint.h>

#define FORWARDING_BUDGET_MAX_MILLI 10000 /* capacity of the budget: ten retries */
#define FORWARDING_BUDGET_GAIN_MILLI 100  /* a tenth of a retry for each successful request */
#define FORWARDING_RESERVE_MAX_MILLI 1000 /* reserve of a client account: one retry */
/* client accounts whose reserve may be used at the same time */
#define FORWARDING_RESERVES_MAX 256

/**
 * struct forwarding_reserve - reserve of a client account that has used it
 * @account_hash: the client account
 * @tokens_milli: what is left, in thousandths of a retry
 */
typedef struct
{
  uint64_t account_hash;
  uint64_t tokens_milli;
} forwarding_reserve_t;

/**
 * struct forwarding_budget - retry budget of one router
 * @tokens_milli: token bucket shared by all client accounts, in thousandths of a retry; successful
 *   requests fill it
 * @reserves: used when the bucket is empty; an account without an entry has its whole reserve
 * @reserve_count: entries used in @reserves
 */
typedef struct
{
  uint64_t tokens_milli;
  forwarding_reserve_t reserves[FORWARDING_RESERVES_MAX];
  uint32_t reserve_count;
} forwarding_budget_t;

/** forwarding_budget_init() - starts with a full budget */
void forwarding_budget_init (forwarding_budget_t *budget);
/** forwarding_budget_refill() - refills the budget and the account's reserve after a successful
 * request;
 * @account_hash: 0 if the request has no account, which has no reserve */
void forwarding_budget_refill (forwarding_budget_t *budget, uint64_t account_hash);
/** forwarding_budget_take() - takes one retry from the budget or the account's reserve. Return:
 * false if both are empty */
bool forwarding_budget_take (forwarding_budget_t *budget, uint64_t account_hash);

/**
 * struct forwarding_options - options of one request
 * @idempotent: it may be executed more than once
 * @account_hash: its client account, for the reserve of retries
 * @deadline_us: deadline of its client
 * @candidates: hashes of the engines to try, best first; copied
 * @candidate_count: number of @candidates
 * @crashed: array of %LIMIT_SUSPECT_CRASHES hashes of engines that crashed on this request before,
 *   0 for an unused entry; NULL if there are none
 */
typedef struct
{
  bool idempotent;
  uint64_t account_hash;
  uint64_t deadline_us;
  const uint64_t *candidates;
  uint32_t candidate_count;
  const uint64_t *crashed;
} forwarding_options_t;

/** enum forwarding_action - what the router has to do next */
typedef enum
{
  FORWARDING_SEND,    /* send the request to @engine_hash, with @may_wait and @referred */
  FORWARDING_REVOKE,  /* ask the sidecar of @engine_hash to never execute the last attempt */
  FORWARDING_GIVE_UP, /* send an error response with @verdict, @reason and @retry_after_ms */
  FORWARDING_DONE     /* nothing: the engine's response is forwarded */
} forwarding_action_t;

/**
 * struct forwarding_step - next step of the router
 * @action: what to do; the other fields are used as described there
 * @engine_hash: the engine
 * @may_wait: whether the sidecar may queue the request
 * @referred: whether a sidecar named the engine
 * @verdict: whether the request may have been executed
 * @reason: why it failed
 * @retry_after_ms: when the client should retry, 0 if retrying doesn't help
 */
typedef struct
{
  forwarding_action_t action;
  uint64_t engine_hash;
  bool may_wait;
  bool referred;
  verdict_t verdict;
  verdict_reason_t reason;
  uint32_t retry_after_ms;
} forwarding_step_t;

#define FORWARDING_CANDIDATES_MAX 8 /* maximum number of candidates used */

/**
 * struct forwarding_target - an engine to try
 * @engine_hash: the engine
 * @referred: a sidecar named it
 * @may_repeat: it may be tried though it was tried before
 */
typedef struct
{
  uint64_t engine_hash;
  bool referred;
  bool may_repeat;
} forwarding_target_t;

/**
 * struct forwarding - state of one request; it owns no memory
 * @idempotent: the request may be executed more than once
 * @response_begun: the first byte of a response went to the client
 * @may_have_queued: the last sidecar was allowed to queue the request, since no other engine was
 *   left
 * @may_have_run: an earlier attempt may have been executed, so the verdict is never VERDICT_NOT_RUN
 * @account_hash: client account
 * @deadline_us: deadline of the client
 * @targets: engines to try; those of the candidates and those referred to
 * @target_count: number of @targets
 * @target_next: index of the next one
 * @tried: engines that were tried
 * @tried_count: number of @tried
 * @queue_engine: first engine that rejected the request as above its bound, 0 if none; as a last
 *   resort it is tried again and may queue the request
 * @crashed: engines that crashed on this request
 * @crashed_count: number of @crashed
 * @broken: sidecars whose connection broke and that didn't confirm that the request wasn't executed
 * @last_engine: engine of the last attempt
 * @last_referred: whether a sidecar named it
 * @hops: attempts so far
 * @hop_limit: maximum of @hops
 * @retries: attempts that used the retry budget
 * @retry_after_ms: smallest retry time of all rejections, 0 if none
 * @last_reason: reason of the last rejection or failure
 */
typedef struct
{
  bool idempotent;
  bool response_begun;
  bool may_have_queued;
  bool may_have_run;
  uint64_t account_hash;
  uint64_t deadline_us;
  forwarding_target_t
      targets[FORWARDING_CANDIDATES_MAX + LIMIT_HOPS_EXTENDED * (LIMIT_REFERRALS + 1)];
  uint32_t target_count;
  uint32_t target_next;
  uint64_t tried[LIMIT_HOPS_EXTENDED + 2];
  uint32_t tried_count;
  uint64_t queue_engine;
  uint64_t crashed[LIMIT_SUSPECT_CRASHES];
  uint32_t crashed_count;
  uint32_t broken;
  uint64_t last_engine;
  bool last_referred;
  uint32_t hops;
  uint32_t hop_limit;
  uint32_t retries;
  uint32_t retry_after_ms;
  verdict_reason_t last_reason;
} forwarding_t;

/**
 * struct forwarding_outcome - how an attempt ended
 * @answered: the engine sent a complete response, which is forwarded
 * @connection_lost: the connection to the sidecar failed; @verdict is then an assumption of the
 *   router, and a revoke may show that the request wasn't executed
 * @verdict: whether the request may have been executed
 * @reason: why it was rejected or failed
 * @retry_after_ms: retry time from the sidecar, 0 if none
 * @referrals: hashes of the engines that the sidecar named, best first
 * @referral_count: number of @referrals
 */
typedef struct
{
  bool answered;
  bool connection_lost;
  verdict_t verdict;
  verdict_reason_t reason;
  uint32_t retry_after_ms;
  const uint64_t *referrals;
  uint32_t referral_count;
} forwarding_outcome_t;

/** forwarding_begin() - initializes the state of a request. Return: the first step */
forwarding_step_t
forwarding_begin (forwarding_t *forwarding, uint64_t now_us, const forwarding_options_t *options);
/** forwarding_response_begun() - records that the first byte of a response went to the client,
 * after which no other engine is tried */
void forwarding_response_begun (forwarding_t *forwarding);
/** forwarding_attempt_ended() - reports the outcome of an FORWARDING_SEND. Return: the next step */
forwarding_step_t forwarding_attempt_ended (forwarding_t *forwarding,
                                            uint64_t now_us,
                                            forwarding_budget_t *budget,
                                            const forwarding_outcome_t *outcome);
/** forwarding_revoked() - reports the response to an FORWARDING_REVOKE; @verdict:
 * VERDICT_MAY_HAVE_RUN if none came. Return: the next step */
forwarding_step_t forwarding_revoked (forwarding_t *forwarding,
                                      uint64_t now_us,
                                      forwarding_budget_t *budget,
                                      verdict_t verdict);

#endif
