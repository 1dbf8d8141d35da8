/**
 * DOC: attempt
 *
 * A router's course through one request: whom to ask, what each outcome means, when to give up.
 * A pure state machine: the caller does the sending and tells what came of it.
 *
 * Non-idempotent requests go to another engine only after VRD_NOT_RUN. Idempotent ones may be
 * tried again until the first byte of an answer went to the caller, within the retry budget. That
 * is shared by all client accounts, but for a reserve of each, which no other account can use up.
 */
#ifndef REQUEST_POLICY_ATTEMPT_H
#define REQUEST_POLICY_ATTEMPT_H

#include "base/limits.h"
#include "request/policy/verdict.h"

#include <stdbool.h>
#include <stdint.h>

#define ATT_BUDGET_MAX_MILLI 10000 /* ten retries at once at most */
#define ATT_BUDGET_GAIN_MILLI 100  /* a tenth of a retry for each success */
#define ATT_RESERVE_MAX_MILLI 1000 /* one retry for each client account */
#define ATT_RESERVES 256           /* client accounts that may be short of theirs at once */

/** struct att_reserve - of a client account that has taken from it */
typedef struct
{
  uint64_t account_hash;
  uint64_t tokens_milli;
} att_reserve_t;

/**
 * struct att_budget - retries of one router
 * @tokens_milli: token bucket of all client accounts: a fraction of recent successes
 * @reserves: for when that is empty; an account that is not among them has its whole reserve
 */
typedef struct
{
  uint64_t tokens_milli;
  att_reserve_t reserves[ATT_RESERVES];
  uint32_t reserve_count;
} att_budget_t;

void att_budget_init (att_budget_t *budget);
/** att_budget_success() - @account_hash 0 is none, which has no reserve either */
void att_budget_success (att_budget_t *budget, uint64_t account_hash);
bool att_budget_take (att_budget_t *budget, uint64_t account_hash);

/**
 * struct att_options - of one request
 * @account_hash: client account, for its reserve of retries
 * @candidates: engine hashes, best first; copied
 * @crashed: %LIM_SUSPECT_CRASHES engines known to have crashed on this request before, 0 is empty;
 *   or NULL
 */
typedef struct
{
  bool idempotent;
  uint64_t account_hash;
  uint64_t deadline_us;
  const uint64_t *candidates;
  uint32_t candidate_count;
  const uint64_t *crashed;
} att_options_t;

typedef enum
{
  ATT_SEND,    /* to @engine_hash; @may_wait and @referred go along */
  ATT_REVOKE,  /* ask @engine_hash to bar the last attempt id */
  ATT_GIVE_UP, /* answer the caller now: @verdict, @reason, @retry_after_ms */
  ATT_DONE     /* the answer was or is being relayed */
} att_action_t;

typedef struct
{
  att_action_t action;
  uint64_t engine_hash;
  bool may_wait;
  bool referred;
  vrd_t verdict;
  vrd_reason_t reason;
  uint32_t retry_after_ms; /* 0: do not come back */
} att_step_t;

#define ATT_CANDIDATES 8

/** struct att_target - @again: may be asked though it was asked before */
typedef struct
{
  uint64_t engine_hash;
  bool referred;
  bool again;
} att_target_t;

/** struct att - state of one request; no memory of its own */
typedef struct
{
  bool idempotent;
  bool answer_begun;
  bool waited;       /* the last sidecar asked had leave to queue: nobody is asked after it */
  bool may_have_run; /* an earlier attempt may have run, so the request is never "not run" again */
  uint64_t account_hash;
  uint64_t deadline_us;
  att_target_t targets[ATT_CANDIDATES + LIM_HOPS_MOST * (LIM_REFERRALS + 1)];
  uint32_t target_count;
  uint32_t target_next;
  uint64_t asked[LIM_HOPS_MOST + 2];
  uint32_t asked_count;
  uint64_t waiting_host; /* first that refused as over its bound: asked again, with leave to wait */
  uint64_t crashed[LIM_SUSPECT_CRASHES]; /* engines known to have crashed on this request */
  uint32_t crashed_count;
  uint32_t broken; /* sidecars that broke off and could not say that it did not run */
  uint64_t last_engine;
  bool last_referred;
  uint32_t hops;
  uint32_t hop_limit;
  uint32_t retries;
  uint32_t retry_after_ms;
  vrd_reason_t last_reason;
} att_t;

/**
 * struct att_outcome - how a send ended
 * @answered: a final answer of the engine; it is relayed
 * @lost: the hop itself failed, so @verdict is the router's own guess and a revoke can better it
 */
typedef struct
{
  bool answered;
  bool lost;
  vrd_t verdict;
  vrd_reason_t reason;
  uint32_t retry_after_ms;
  const uint64_t *referrals;
  uint32_t referral_count;
} att_outcome_t;

att_step_t att_begin (att_t *att, uint64_t now_us, const att_options_t *options);
/** att_answer_begun() - the first byte of the answer went to the caller: no other engine is tried
 */
void att_answer_begun (att_t *att);
att_step_t
att_ended (att_t *att, uint64_t now_us, att_budget_t *budget, const att_outcome_t *outcome);
/** att_revoked() - the answer to a revoke; VRD_MAY_HAVE_RUN also when none came */
att_step_t att_revoked (att_t *att, uint64_t now_us, att_budget_t *budget, vrd_t verdict);

#endif
