/**
 * DOC: admit_private
 *
 * What the files of the admission share: admit.c has the state machine, admit_bound.c the bound
 * and the waits, admit_warm.c where a chat is warm, admit_refuse.c the refusals.
 */
#ifndef REQUEST_POLICY_ADMIT_PRIVATE_H
#define REQUEST_POLICY_ADMIT_PRIVATE_H

#include "request/policy/admit.h"

#include "request/policy/drain.h"
#include "request/policy/drift.h"
#include "request/policy/refer.h"

#define MILLI 1000

struct adm
{
  adm_options_t options;
  fq_t *queue;
  dir_t *directory;
  sus_t *suspects;
  mean_table_t mean;
  drn_t drain;
  dft_t drift;
  uint64_t joined_us;
  uint64_t last_account;
  uint64_t mixed_us; /* when a request last came of another account than the one before */
  uint64_t rng;
  uint32_t load;
  uint64_t cost;
  bool leaving;
  bool stale;
  bool engine_down;
};

/** adm_bound_now() - the bound for a decision; the estimate is noted for the drift */
uint64_t adm_bound_now (adm_t *adm, uint64_t now_us);
/** adm_limit_milli() - the lower of the bound and the slots that the account may have */
uint64_t
adm_limit_milli (const adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli);
/** adm_fits() - whether one more request stays within the limit */
bool adm_fits (const adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli);
/** adm_cold_start_us() - what it costs to serve the request where its context is not */
uint64_t adm_cold_start_us (const adm_t *adm, const adm_request_t *request);
/** adm_length_us() - how long it is expected to hold a slot */
uint64_t adm_length_us (const adm_t *adm, const adm_request_t *request);
/** adm_ends_needed() - requests that must end before one more is within @limit */
uint64_t adm_ends_needed (uint32_t load, uint64_t limit);
/** adm_wait_us() - expected before @item could start here */
uint64_t
adm_wait_us (const adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli);
/** adm_wait_there_us() - at another engine, by its sample */
uint64_t adm_wait_there_us (const adm_t *adm, const mean_sample_t *there, uint64_t limit);

/** adm_refer_to_warm() - whether the chat's context is elsewhere; @decision then says where */
bool adm_refer_to_warm (adm_t *adm,
                        uint64_t now_us,
                        const adm_request_t *request,
                        uint64_t bound_milli,
                        adm_decision_t *decision);
/** adm_note_warm() - the chat's context is here now */
void adm_note_warm (adm_t *adm, uint64_t now_us, const adm_request_t *request);

adm_decision_t
adm_decide (const adm_t *adm, adm_action_t action, vrd_reason_t reason, uint64_t bound_milli);
/** adm_point_to_room() - names engines that are below @limit with one request more */
void adm_point_to_room (adm_t *adm, uint64_t now_us, uint64_t limit, adm_decision_t *decision);
adm_decision_t
adm_refuse_closed (adm_t *adm, uint64_t now_us, vrd_reason_t reason, uint64_t bound_milli);
/** adm_refuse_suspect() - whether it must not run here, or nowhere; @decision then says which */
bool adm_refuse_suspect (adm_t *adm,
                         uint64_t now_us,
                         const adm_request_t *request,
                         uint64_t bound_milli,
                         adm_decision_t *decision);
/** adm_refuse_over_bound() - with the engines that @room names */
adm_decision_t adm_refuse_over_bound (adm_t *adm, uint64_t wait, const adm_decision_t *room);
/** adm_refuse_to_wait() - there should be room in @after_us */
adm_decision_t
adm_refuse_to_wait (adm_t *adm, vrd_reason_t reason, uint64_t after_us, uint64_t bound_milli);

#endif
