/**
 * DOC: admit
 *
 * The authority beside the engine: what a sidecar does with each request that reaches it. It
 * alone sees every request of its engine, so it alone admits, queues, refuses and counts. A pure
 * state machine without I/O.
 *
 * The bound: a request is dispatched only if the load after it stays within
 * max(c x (mean - margin), mean + 1), with the mean sampled, and in the second term rounded to the
 * nearest request when that is more. An engine at or below the mean always has room, so there is
 * always room somewhere in the service. The slots of the engine bound it too, whichever is lower.
 *
 * Over the bound a request waits here when that is expected to take less time than a cold start
 * elsewhere, when nobody else is known to have room, or when its router has nobody left to ask;
 * otherwise it is refused with the names of engines that have room. A request that cannot start
 * before its deadline by the measured drain rate is refused at once.
 *
 * After each event (offer, finish, cancel, a fresh sample, a timer) the owner calls adm_reject()
 * and then adm_next(), each until NULL.
 */
#ifndef REQUEST_POLICY_ADMIT_H
#define REQUEST_POLICY_ADMIT_H

#include "base/clock.h"
#include "base/limits.h"
#include "request/policy/directory.h"
#include "request/policy/fairq.h"
#include "request/policy/mean.h"
#include "request/policy/suspect.h"
#include "request/policy/verdict.h"

#include <stdbool.h>
#include <stdint.h>

#define ADM_RESERVE_DIVISOR 8 /* one slot in so many is kept for accounts that had less */
#define ADM_CREDIT_MS 2000 /* of the whole engine: what an account that had less may take first */
#define ADM_ALONE_US (60 * (uint64_t)CLK_US_PER_S) /* one account alone may have all slots */
#define ADM_COLD_WEIGHT 2                          /* a cold start, against waiting for as long */
#define ADM_WARM_LIFETIMES 2 /* for which the directory and a new engine refer on */
#define ADM_SUSPECT_LIFETIME_US (30 * 60 * (uint64_t)CLK_US_PER_S)
#define ADM_TOKEN_US 30000 /* between two tokens, until the length of requests is measured */
#define ADM_RETRY_MIN_MS 100
#define ADM_RETRY_MAX_MS (60 * 1000)

/** enum adm_policy - all but the first are baselines of the benchmark */
typedef enum
{
  ADM_POLICY_FULL,
  ADM_POLICY_NO_REFERRAL, /* bounded load, no directory and no referral */
  ADM_POLICY_OPEN /* admits always up to the slots: plain rendezvous, least loaded, random */
} adm_policy_t;

/**
 * struct adm_options - made from the settings and the version in force
 * @slots: requests that the engine runs at once
 * @bound_percent: c in hundredths
 * @engine_count: engines of the service, as listed
 * @is_live: whether an engine is in use by the members known here; NULL for all. Keeps referrals
 *   away from engines that left
 */
typedef struct
{
  uint64_t engine_hash;
  uint64_t service_hash;
  uint32_t slots;
  uint32_t bound_percent;
  uint32_t engine_count;
  uint32_t prefill_tokens_s;
  uint64_t cache_lifetime_us;
  uint64_t seed;
  adm_policy_t policy;
  bool (*is_live) (uint64_t engine_hash, void *context);
  void *context;
} adm_options_t;

/**
 * struct adm_request - what the decision looks at
 * @home_hash: first candidate of the chat by the router's view; equal to the own engine at home
 * @former_hash: the candidate that was home before the own engine joined, 0 when none or when this
 *   is the first message of the chat, which is warm nowhere
 * @may_wait: the last sidecar asked may queue; an earlier one refuses instead, unless waiting is
 *   cheaper than a cold start elsewhere
 * @referred: sent here by another sidecar's referral: it is not referred on for warmth
 * @prompt_tokens, @output_tokens: estimated
 */
typedef struct
{
  fq_item_t
      item; /* account, weight, priority, limit, deadline: by the caller; cost: by adm_offer() */
  uint64_t chat_hash;
  uint64_t fingerprint;
  uint64_t home_hash;
  uint64_t former_hash;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  bool may_wait;
  bool referred;
  bool has_chat;
  /* owned by the state machine */
  uint64_t dispatched_us;
  bool running;
} adm_request_t;

typedef enum
{
  ADM_DISPATCH,
  ADM_WAIT,
  ADM_REFUSE
} adm_action_t;

/**
 * struct adm_decision - what to do, and why
 * @referrals: hashes of engines to try instead, best first
 * @retry_after_ms: for a refusal, when there should be room, from the measured drain rate
 */
typedef struct
{
  adm_action_t action;
  vrd_reason_t reason;
  uint64_t referrals[LIM_REFERRALS];
  uint32_t referral_count;
  uint32_t retry_after_ms;
  uint32_t load;
  uint64_t bound_milli;
} adm_decision_t;

typedef struct adm adm_t;

adm_t *adm_new (const adm_options_t *options);
void adm_free (adm_t *adm);
/** adm_configure() - a new version is in force; what runs goes on */
void adm_configure (adm_t *adm, const adm_options_t *options);
void adm_set_leaving (adm_t *adm, bool leaving);
/** adm_set_stale() - the daemon has just woken from a pause: nothing is admitted until it is fresh
 */
void adm_set_stale (adm_t *adm, bool stale);
/** adm_set_engine_up() - whether the engine answers */
void adm_set_engine_up (adm_t *adm, bool up);
/** adm_set_joined() - when the engine joined, for referral to the former home while it is new */
void adm_set_joined (adm_t *adm, uint64_t joined_us);

/** adm_offer() - a request arrived; on ADM_WAIT it must stay valid until popped or cancelled */
adm_decision_t adm_offer (adm_t *adm, uint64_t now_us, adm_request_t *request);
/** adm_next() - the next waiting request that may be dispatched now, or NULL */
adm_request_t *adm_next (adm_t *adm, uint64_t now_us);
/** adm_reject() - a waiting request that must be refused now, or NULL; call until NULL */
adm_request_t *adm_reject (adm_t *adm, uint64_t now_us, adm_decision_t *decision);
/** adm_finish() - a dispatched request ended, in whatever way; @warm when the engine now holds its
 * prefix */
void adm_finish (adm_t *adm, uint64_t now_us, adm_request_t *request, bool warm);
/** adm_cancel() - a waiting request is no longer wanted */
void adm_cancel (adm_t *adm, adm_request_t *request);
/** adm_crashed() - the engine crashed while it ran @request */
void adm_crashed (adm_t *adm, uint64_t now_us, const adm_request_t *request);
/** adm_lost() - a router tells that @engine_hash crashed: it no longer counts in the mean */
void adm_lost (adm_t *adm, uint64_t engine_hash);
/** adm_served_elsewhere() - a router tells the home where its chat was served */
void adm_served_elsewhere (adm_t *adm, uint64_t now_us, uint64_t chat_hash, uint64_t engine_hash);

mean_sample_t adm_sample (const adm_t *adm, uint64_t now_us);
mean_table_t *adm_mean (adm_t *adm);
sus_t *adm_suspects (adm_t *adm);
dir_t *adm_directory (adm_t *adm);
uint32_t adm_load (const adm_t *adm);
uint32_t adm_waiting (const adm_t *adm);
/** adm_bound_milli() - the bound at this moment, in thousandths of a request */
uint64_t adm_bound_milli (const adm_t *adm, uint64_t now_us);

#endif
