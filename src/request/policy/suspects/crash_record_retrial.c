/* When a refused part is tried again, and by which of all gateways. */
#include "request/policy/suspects/crash_record_private.h"

#include "base/clock.h"

#define CLAIM_STEPS_MAX 32 /* after which all gateways may claim */

static uint64_t
last_loss_us (const entry_t *entry)
{
  return MAX (entry->changed_us, entry->has_later ? entry->later.lost_us : 0);
}

static bool
has_retrials (const entry_t *entry)
{
  return entry && is_final (entry) && entry->kind == CRASH_SUBJECT_PART;
}

static uint64_t
due_us (const entry_t *entry)
{
  uint64_t last_us = last_loss_us (entry);
  uint64_t wait_us = (last_us - entry->final_us) * CRASH_RECORD_RETRIAL_FACTOR;
  uint64_t claimed_us = entry->claim.at_us ? entry->claim.at_us + CRASH_RECORD_RETRIAL_MIN_US : 0;

  return MAX (last_us + CLAMP (wait_us, CRASH_RECORD_RETRIAL_MIN_US, CRASH_RECORD_RETRIAL_MAX_US),
              claimed_us);
}

bool
crash_record_is_retrial_due (const crash_record_t *record, uint64_t now_us, uint64_t fingerprint)
{
  const entry_t *entry = find_entry (record, fingerprint);

  return has_retrials (entry) && now_us >= due_us (entry);
}

/* It is over when an engine has broken off under the part since. */
bool
crash_record_has_claim (const entry_t *entry, uint64_t now_us)
{
  return entry->claim.at_us != 0 && now_us < entry->claim.at_us + CRASH_RECORD_CLAIM_US &&
         last_loss_us (entry) <= entry->claim.at_us;
}

static bool
is_settled (const entry_t *entry, uint64_t now_us)
{
  return now_us >= entry->claim.at_us + CRASH_RECORD_CLAIM_SETTLE_US;
}

/* Were all gateways to claim at once, their claims would exceed the budget of their messages. */
static bool
may_claim (const crash_record_candidate_t *candidate, uint64_t waited_us)
{
  uint64_t steps = MIN (waited_us / CRASH_RECORD_CLAIM_STEP_US, CLAIM_STEPS_MAX);
  uint64_t rank = crash_record_rank_owner (candidate->fingerprint, candidate->gateway_hash);
  uint64_t claimants = UINT64_C (1) << steps;

  return claimants >= candidate->gateways || rank < UINT64_MAX / candidate->gateways * claimants;
}

crash_record_claim_t
crash_record_claim_retrial (crash_record_t *record,
                            uint64_t now_us,
                            const crash_record_candidate_t *candidate)
{
  entry_t *entry = find_entry (record, candidate->fingerprint);
  uint64_t from_us;

  if (!has_retrials (entry))
    return CRASH_RECORD_CLAIM_NONE;
  if (crash_record_has_claim (entry, now_us))
    return entry->claim.own_request == candidate->request && is_settled (entry, now_us)
               ? CRASH_RECORD_CLAIM_SEND
               : CRASH_RECORD_CLAIM_WAIT;
  from_us = due_us (entry) + candidate->others * CRASH_RECORD_RETRIAL_MIN_US;
  if (now_us < from_us || !may_claim (candidate, now_us - from_us))
    return CRASH_RECORD_CLAIM_NONE;
  entry->claim = (claim_t){ .at_us = now_us,
                            .request = (uint32_t)candidate->request,
                            .own_request = candidate->request };
  crash_record_announce (record, entry, CRASH_RECORD_CLAIM_SENDS);
  return CRASH_RECORD_CLAIM_WAIT;
}

/* An own claim that has settled stands: its request is on its way. */
static bool
gives_way (const entry_t *entry, uint64_t now_us, const crash_mark_t *mark)
{
  if (!crash_record_has_claim (entry, now_us))
    return true;
  if (entry->claim.own_request != 0 && is_settled (entry, now_us))
    return false;
  return mark->request < entry->claim.request;
}

bool
crash_record_merge_claim (crash_record_t *record,
                          uint64_t now_us,
                          entry_t *entry,
                          const crash_mark_t *mark)
{
  uint64_t age_us = (uint64_t)mark->sent_age_ms * CLOCK_US_PER_MS;

  if (!mark->claimed || !has_retrials (entry) || age_us >= CRASH_RECORD_CLAIM_US ||
      !gives_way (entry, now_us, mark))
    return false;
  entry->claim = (claim_t){ .at_us = now_us - MIN (age_us, now_us), .request = mark->request };
  crash_record_announce (record, entry, CRASH_RECORD_CLAIM_SENDS);
  return true;
}
