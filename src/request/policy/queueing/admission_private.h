/**
 * DOC: admission_private
 *
 * Internal interface between the files of the admission control: admission.c has the state machine,
 * admission_bound.c the bound and the estimates of waits, admission_cached.c the referrals to the
 * engine that has a chat's context in its cache, admission_refuse.c the other decisions to reject.
 */
#ifndef REQUEST_POLICY_QUEUEING_ADMISSION_PRIVATE_H
#define REQUEST_POLICY_QUEUEING_ADMISSION_PRIVATE_H

#include "request/policy/queueing/admission.h"

#include "request/policy/load/completion_rate.h"
#include "request/policy/load/load_drift.h"
#include "request/policy/placement/referral.h"

#define MILLI 1000

/* struct admission - state of one engine
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
struct admission
{
  admission_options_t options;
  fair_queue_t *queue;
  chat_directory_t *directory;
  suspects_t *suspects;
  load_samples_t mean;
  completion_rate_t completions;
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

/** admission_update_bound() - computes the bound for a decision, and records the mean for the
 * drift. Return: thousandths of a request */
uint64_t admission_update_bound (admission_t *admission, uint64_t now_us);
/** admission_limit_milli() - Return: the lower of the bound and the slots that the account may use,
 * in thousandths of a request */
uint64_t admission_limit_milli (const admission_t *admission,
                                uint64_t now_us,
                                const fair_queue_item_t *item,
                                uint64_t bound_milli);
/** admission_fits() - Return: whether the load with one more request is within the limit */
bool admission_fits (const admission_t *admission,
                     uint64_t now_us,
                     const fair_queue_item_t *item,
                     uint64_t bound_milli);
/** admission_cold_start_us() - Return: cost of serving the request where its context isn't cached
 */
uint64_t admission_cold_start_us (const admission_t *admission, const admission_request_t *request);
/** admission_duration_us() - Return: expected duration of the request at the engine */
uint64_t admission_duration_us (const admission_t *admission, const admission_request_t *request);
/** admission_completions_needed() - Return: requests that have to complete before one more is
 * within @limit, which is in thousandths of a request */
uint64_t admission_completions_needed (uint32_t load, uint64_t limit);
/** admission_wait_us() - Return: expected time until @item starts if it is queued here */
uint64_t admission_wait_us (const admission_t *admission,
                            uint64_t now_us,
                            const fair_queue_item_t *item,
                            uint64_t bound_milli);
/** admission_remote_wait_us() - Return: expected wait at another engine, from its load sample */
uint64_t admission_remote_wait_us (const admission_t *admission,
                                   const load_sample_t *remote,
                                   uint64_t limit);

/** admission_refer_to_cached() - checks whether the request should go where its context is cached.
 * Return: whether it is rejected, with @decision */
bool admission_refer_to_cached (admission_t *admission,
                                uint64_t now_us,
                                const admission_request_t *request,
                                uint64_t bound_milli,
                                admission_decision_t *decision);
/** admission_note_cached() - records that the context of the request's chat is in this engine's
 * cache */
void
admission_note_cached (admission_t *admission, uint64_t now_us, const admission_request_t *request);

/** admission_make_decision() - Return: a decision without referrals and retry time */
admission_decision_t admission_make_decision (const admission_t *admission,
                                              admission_action_t action,
                                              verdict_reason_t reason,
                                              uint64_t bound_milli);
/** admission_add_referrals() - adds referrals to engines whose load with one more request is within
 * @limit */
void admission_add_referrals (admission_t *admission,
                              uint64_t now_us,
                              uint64_t limit,
                              admission_decision_t *decision);
/** admission_reject_closed() - Return: decision to reject while the engine admits nothing */
admission_decision_t admission_reject_closed (admission_t *admission,
                                              uint64_t now_us,
                                              verdict_reason_t reason,
                                              uint64_t bound_milli);
/** admission_reject_suspect() - checks whether the request is suspected of crashing engines.
 * Return: whether it is rejected, with @decision: here only, or on all engines */
bool admission_reject_suspect (admission_t *admission,
                               uint64_t now_us,
                               const admission_request_t *request,
                               uint64_t bound_milli,
                               admission_decision_t *decision);
/** admission_reject_over_bound() - Return: decision to reject with the referrals of
 * @with_referrals, and a retry time from the expected @wait_us */
admission_decision_t admission_reject_over_bound (admission_t *admission,
                                                  uint64_t wait_us,
                                                  const admission_decision_t *with_referrals);
/** admission_reject_until() - Return: decision to reject without referrals, as a slot is expected
 * to be free only in @after_us */
admission_decision_t admission_reject_until (admission_t *admission,
                                             verdict_reason_t reason,
                                             uint64_t after_us,
                                             uint64_t bound_milli);

#endif
