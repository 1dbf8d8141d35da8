/**
 * DOC: admission_private
 *
 * Internal interface between the files of the admission control: admission.c has the state machine,
 * admission_bound.c the bound and the estimates of waits, admission_cached.c the referrals to the
 * engine that has a chat's context in its cache, admission_refuse.c the other decisions to reject.
 */
#ifndef REQUEST_POLICY_ADMIT_PRIVATE_H
#define REQUEST_POLICY_ADMIT_PRIVATE_H

#include "request/policy/admit.h"

#include "request/policy/drain.h"
#include "request/policy/drift.h"
#include "request/policy/refer.h"

#define MILLI 1000

/* struct adm - state of one engine
 * @options: present options
 * @queue: waiting requests
 * @directory: engine on which each chat was served last
 * @suspects: requests suspected of crashes
 * @mean: load samples of the service's engines
 * @completions: measured completion rate of the engine
 * @drift: recent change of the mean load, for the margin of the bound
 * @joined_us: when the engine joined, 0 if unknown
 * @last_account: client account of the last request
 * @account_changed_us: when a request last had another account than the one before it
 * @rng: state of the random generator
 * @load: running requests
 * @cost: sum of their estimated durations, in milliseconds
 * @leaving, @stale, @engine_down: reasons to admit nothing
 */
struct adm
{
  adm_options_t options;
  fq_t *queue;
  dir_t *directory;
  sus_t *suspects;
  load_samples_t mean;
  drn_t completions;
  load_drift_t drift;
  uint64_t joined_us;
  uint64_t last_account;
  uint64_t account_changed_us;
  uint64_t rng;
  uint32_t load;
  uint64_t cost;
  bool leaving;
  bool stale;
  bool engine_down;
};

/** adm_bound_now() - computes the bound for a decision, and records the mean for the drift. Return:
 * thousandths of a request */
uint64_t adm_bound_now (adm_t *adm, uint64_t now_us);
/** adm_limit_milli() - Return: the lower of the bound and the slots that the account may use, in
 * thousandths of a request */
uint64_t
adm_limit_milli (const adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli);
/** adm_fits() - Return: whether the load with one more request is within the limit */
bool adm_fits (const adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli);
/** adm_cold_start_us() - Return: cost of serving the request where its context isn't cached */
uint64_t adm_cold_start_us (const adm_t *adm, const adm_request_t *request);
/** adm_length_us() - Return: expected duration of the request at the engine */
uint64_t adm_length_us (const adm_t *adm, const adm_request_t *request);
/** adm_ends_needed() - Return: requests that have to complete before one more is within @limit,
 * which is in thousandths of a request */
uint64_t adm_ends_needed (uint32_t load, uint64_t limit);
/** adm_wait_us() - Return: expected time until @item starts if it is queued here */
uint64_t
adm_wait_us (const adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli);
/** adm_wait_there_us() - Return: expected wait at another engine, from its load sample */
uint64_t adm_wait_there_us (const adm_t *adm, const load_sample_t *remote, uint64_t limit);

/** adm_refer_to_warm() - checks whether the request should go where its context is cached. Return:
 * whether it is rejected, with @decision */
bool adm_refer_to_warm (adm_t *adm,
                        uint64_t now_us,
                        const adm_request_t *request,
                        uint64_t bound_milli,
                        adm_decision_t *decision);
/** adm_note_warm() - records that the context of the request's chat is in this engine's cache */
void adm_note_warm (adm_t *adm, uint64_t now_us, const adm_request_t *request);

/** adm_decide() - Return: a decision without referrals and retry time */
adm_decision_t
adm_decide (const adm_t *adm, adm_action_t action, vrd_reason_t reason, uint64_t bound_milli);
/** adm_point_to_room() - adds referrals to engines whose load with one more request is within
 * @limit */
void adm_point_to_room (adm_t *adm, uint64_t now_us, uint64_t limit, adm_decision_t *decision);
/** adm_refuse_closed() - Return: decision to reject while the engine admits nothing */
adm_decision_t
adm_refuse_closed (adm_t *adm, uint64_t now_us, vrd_reason_t reason, uint64_t bound_milli);
/** adm_refuse_suspect() - checks whether the request is suspected of crashing engines. Return:
 * whether it is rejected, with @decision: here only, or on all engines */
bool adm_refuse_suspect (adm_t *adm,
                         uint64_t now_us,
                         const adm_request_t *request,
                         uint64_t bound_milli,
                         adm_decision_t *decision);
/** adm_refuse_over_bound() - Return: decision to reject with the referrals of
 * @with_referrals, and a retry time from the expected @wait_us */
adm_decision_t
adm_refuse_over_bound (adm_t *adm, uint64_t wait_us, const adm_decision_t *with_referrals);
/** adm_refuse_to_wait() - Return: decision to reject without referrals, as a slot is expected to be
 * free only in @after_us */
adm_decision_t
adm_refuse_to_wait (adm_t *adm, vrd_reason_t reason, uint64_t after_us, uint64_t bound_milli);

#endif
