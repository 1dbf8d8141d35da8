#include "request/policy/attempt.h"

#include <glib.h>
#include <string.h>

#define RETRY_AFTER_DEFAULT_MS 1000
#define RETRY_MILLI 1000

/* What follows a rejection or failure. */
typedef enum
{
  REACTION_NEXT_ENGINE, /* another engine may serve the request */
  REACTION_RETRY_LATER, /* no engine can serve it now, but the client may retry */
  REACTION_FINAL        /* retrying doesn't help */
} reaction_t;

static reaction_t
reaction_to (const att_t *att, vrd_reason_t reason)
{
  switch (reason)
    {
    case VRD_REASON_QUEUE_FULL:
    case VRD_REASON_DEADLINE:
    case VRD_REASON_ACCOUNT_SHARE:
      /* Applies to one engine only, unless it was the last one to try. */
      return att->waited ? REACTION_RETRY_LATER : REACTION_NEXT_ENGINE;
    case VRD_REASON_LOG_DOWN:
      return REACTION_RETRY_LATER;
    case VRD_REASON_SUSPECT:
    case VRD_REASON_CLAIMED:
    case VRD_REASON_KEY_REUSED:
    case VRD_REASON_KEY_TOO_OLD:
      return REACTION_FINAL;
    default:
      return REACTION_NEXT_ENGINE;
    }
}

static bool
was_tried (const att_t *att, uint64_t engine_hash)
{
  for (uint32_t i = 0; i < att->tried_count; i++)
    if (att->tried[i] == engine_hash)
      return true;
  return false;
}

/* insert_target() - inserts a target @place positions after the next one, but behind an engine that
 * is to be tried again: that one rejected the request only in favour of a better engine, so it
 * comes before the referrals of the latter */
static void
insert_target (att_t *att, uint32_t place, att_target_t target)
{
  uint32_t at = att->target_next + place;

  if (att->target_count == G_N_ELEMENTS (att->targets))
    return;
  while (at < att->target_count && att->targets[at].again)
    at++;
  memmove (&att->targets[at + 1], &att->targets[at],
           (att->target_count - at) * sizeof att->targets[0]);
  att->targets[at] = target;
  att->target_count++;
}

/* skip_tried() - advances to the next target that may be tried. Return: whether there is one */
static bool
skip_tried (att_t *att)
{
  while (att->target_next < att->target_count)
    {
      const att_target_t *target = &att->targets[att->target_next];

      if (target->again || !was_tried (att, target->engine_hash))
        return true;
      att->target_next++;
    }
  return false;
}

/* has_target_after_next() - Return: whether another engine could be tried after the next target */
static bool
has_target_after_next (const att_t *att)
{
  uint64_t next = att->targets[att->target_next].engine_hash;

  for (uint32_t i = att->target_next + 1; i < att->target_count; i++)
    {
      const att_target_t *target = &att->targets[i];

      if (target->engine_hash != next && !was_tried (att, target->engine_hash))
        return true;
    }
  return false;
}

static att_step_t
give_up (const att_t *att, vrd_t verdict, vrd_reason_t reason)
{
  att_step_t step = { .action = ATT_GIVE_UP, .verdict = verdict, .reason = reason };

  /* The verdict is about the whole request: if an earlier attempt may have been executed, it isn't
   * "not run", whatever the last attempt's verdict. */
  if (att->may_have_run && verdict == VRD_NOT_RUN)
    step.verdict = VRD_MAY_HAVE_RUN;
  if (reaction_to (att, reason) == REACTION_FINAL)
    return step;
  if (step.verdict != VRD_NOT_RUN && !att->idempotent)
    return step;
  step.retry_after_ms = att->retry_after_ms != 0 ? att->retry_after_ms : RETRY_AFTER_DEFAULT_MS;
  return step;
}

static att_step_t
send_to (att_t *att, uint64_t engine_hash, bool may_wait, bool referred)
{
  g_assert (att->hops < att->hop_limit);
  att->hops++;
  att->tried[att->tried_count++] = engine_hash;
  att->last_engine = engine_hash;
  att->last_referred = referred;
  att->waited = may_wait;
  return (att_step_t){
    .action = ATT_SEND, .engine_hash = engine_hash, .may_wait = may_wait, .referred = referred
  };
}

/* next_step() - tries the next target; the last attempt goes to the first engine that was above its
 * bound, whose sidecar may now queue the request, or rejects it with a retry time */
static att_step_t
next_step (att_t *att, uint64_t now_us)
{
  bool last_hop = att->hops + 1 >= att->hop_limit;

  if (now_us >= att->deadline_us)
    return give_up (att, VRD_NOT_RUN, VRD_REASON_DEADLINE);
  if (att->hops >= att->hop_limit)
    return give_up (att, VRD_NOT_RUN, att->last_reason);

  bool have_target = skip_tried (att);

  if (att->queue_engine != 0 && (last_hop || !have_target))
    {
      uint64_t engine_hash = att->queue_engine;

      att->queue_engine = 0;
      return send_to (att, engine_hash, true, true);
    }
  if (!have_target)
    return give_up (att, VRD_NOT_RUN, att->last_reason);

  att_target_t target = att->targets[att->target_next];
  bool may_wait = att->queue_engine == 0 && (last_hop || !has_target_after_next (att));

  att->target_next++;
  return send_to (att, target.engine_hash, may_wait, target.referred);
}

/* add_referrals() - tries the engines that the sidecar named next, as it knows best which ones have
 * free capacity or the chat's context in their cache */
static void
add_referrals (att_t *att, const att_outcome_t *outcome)
{
  uint32_t count = MIN (outcome->referral_count, LIM_REFERRALS);

  for (uint32_t i = 0; i < count; i++)
    insert_target (att, i,
                   (att_target_t){ .engine_hash = outcome->referrals[i], .referred = true });
  if (outcome->reason == VRD_REASON_ELSEWHERE && !att->last_referred)
    insert_target (
        att, count,
        (att_target_t){ .engine_hash = att->last_engine, .referred = true, .again = true });
}

static bool
is_unavailable (vrd_reason_t reason)
{
  return reason == VRD_REASON_LEAVING || reason == VRD_REASON_STALE ||
         reason == VRD_REASON_NO_ENGINE;
}

/* restart_targets() - allows to try all engines again but the last one, those that were above their
 * bound included. A request that was queued as its last resort would otherwise fail with 503 when
 * that host is stopped or lost, though all other engines work: clients would see each planned stop
 * and each host failure. */
static void
restart_targets (att_t *att)
{
  att->hop_limit = MIN (att->hops + LIM_HOPS, LIM_HOPS_MOST);
  att->tried[0] = att->last_engine;
  att->tried_count = 1;
  att->target_next = 0;
  att->queue_engine = 0;
}

static att_step_t
handle_rejection (att_t *att, uint64_t now_us, const att_outcome_t *outcome)
{
  if (outcome->retry_after_ms != 0 &&
      (att->retry_after_ms == 0 || outcome->retry_after_ms < att->retry_after_ms))
    att->retry_after_ms = outcome->retry_after_ms;
  if (reaction_to (att, outcome->reason) != REACTION_NEXT_ENGINE)
    return give_up (att, VRD_NOT_RUN, outcome->reason);
  if (att->waited && is_unavailable (outcome->reason))
    restart_targets (att);
  if (outcome->reason == VRD_REASON_OVER_BOUND && att->queue_engine == 0 && !att->waited)
    att->queue_engine = att->last_engine;
  add_referrals (att, outcome);
  return next_step (att, now_us);
}

/* note_broken() - counts a broken connection. A request may crash the sidecar or the host along
 * with the engine; then no sidecar reports the crash. Return: whether as many connections broke as
 * engines may crash on one request */
static bool
note_broken (att_t *att)
{
  if (att->last_reason == VRD_REASON_CUT)
    att->broken++;
  return att->broken >= LIM_SUSPECT_CRASHES;
}

/* retry() - retries the request if allowed, after an attempt that may have been executed */
static att_step_t
retry (att_t *att, uint64_t now_us, att_budget_t *budget, vrd_t verdict)
{
  att->may_have_run = true;
  if (!att->idempotent || now_us >= att->deadline_us ||
      !att_budget_take (budget, att->account_hash))
    return give_up (att, verdict, att->last_reason);
  att->retries++;
  if (att->waited)
    restart_targets (att);
  return next_step (att, now_us);
}

/* note_crash() - records a crash of the last engine. Return: whether the request has crashed the
 * maximum of engines */
static bool
note_crash (att_t *att, vrd_reason_t reason)
{
  if (reason != VRD_REASON_ENGINE_CRASHED && reason != VRD_REASON_SUSPECT_HERE)
    return false;
  for (uint32_t i = 0; i < att->crashed_count; i++)
    if (att->crashed[i] == att->last_engine)
      return false;
  if (att->crashed_count < LIM_SUSPECT_CRASHES)
    att->crashed[att->crashed_count++] = att->last_engine;
  return att->crashed_count == LIM_SUSPECT_CRASHES;
}

static att_reserve_t *
find_reserve (att_budget_t *budget, uint64_t account_hash)
{
  for (uint32_t i = 0; i < budget->reserve_count; i++)
    if (budget->reserves[i].account_hash == account_hash)
      return &budget->reserves[i];
  return NULL;
}

/* When a host is lost, all requests that waited there are retried at once. Most of them may be of
 * one surging account and use up the budget, so each account has one retry that no other one can
 * use. */
static bool
take_reserve (att_budget_t *budget, uint64_t account_hash)
{
  att_reserve_t *reserve = find_reserve (budget, account_hash);

  if (account_hash == 0 || (reserve == NULL && budget->reserve_count == ATT_RESERVES))
    return false;
  if (reserve == NULL)
    {
      reserve = &budget->reserves[budget->reserve_count++];
      *reserve = (att_reserve_t){ account_hash, ATT_RESERVE_MAX_MILLI };
    }
  if (reserve->tokens_milli < RETRY_MILLI)
    return false;
  reserve->tokens_milli -= RETRY_MILLI;
  return true;
}

void
att_budget_init (att_budget_t *budget)
{
  memset (budget, 0, sizeof *budget);
  budget->tokens_milli = ATT_BUDGET_MAX_MILLI;
}

void
att_budget_success (att_budget_t *budget, uint64_t account_hash)
{
  att_reserve_t *reserve = find_reserve (budget, account_hash);

  budget->tokens_milli = MIN (budget->tokens_milli + ATT_BUDGET_GAIN_MILLI, ATT_BUDGET_MAX_MILLI);
  if (reserve == NULL)
    return;
  reserve->tokens_milli += ATT_BUDGET_GAIN_MILLI;
  if (reserve->tokens_milli >= ATT_RESERVE_MAX_MILLI)
    *reserve = budget->reserves[--budget->reserve_count];
}

bool
att_budget_take (att_budget_t *budget, uint64_t account_hash)
{
  if (budget->tokens_milli < RETRY_MILLI)
    return take_reserve (budget, account_hash);
  budget->tokens_milli -= RETRY_MILLI;
  return true;
}

att_step_t
att_begin (att_t *att, uint64_t now_us, const att_options_t *options)
{
  memset (att, 0, sizeof *att);
  att->idempotent = options->idempotent;
  att->account_hash = options->account_hash;
  att->deadline_us = options->deadline_us;
  att->last_reason = VRD_REASON_NO_ENGINE;
  att->hop_limit = LIM_HOPS;
  att->target_count = MIN (options->candidate_count, ATT_CANDIDATES);
  for (uint32_t i = 0; i < att->target_count; i++)
    att->targets[i].engine_hash = options->candidates[i];
  for (uint32_t i = 0; options->crashed != NULL && i < LIM_SUSPECT_CRASHES; i++)
    if (options->crashed[i] != 0)
      att->crashed[att->crashed_count++] = options->crashed[i];
  return next_step (att, now_us);
}

void
att_answer_begun (att_t *att)
{
  att->answer_begun = true;
}

att_step_t
att_ended (att_t *att, uint64_t now_us, att_budget_t *budget, const att_outcome_t *outcome)
{
  if (outcome->answered)
    {
      att_budget_success (budget, att->account_hash);
      return (att_step_t){ .action = ATT_DONE, .verdict = VRD_RAN };
    }
  att->last_reason = outcome->reason;
  if (att->answer_begun)
    return give_up (att, MAX (outcome->verdict, VRD_MAY_HAVE_RUN), outcome->reason);
  /* Two sidecars may each know of one crash and not yet of the other. Only the router that tried
   * both can count two crashes before the request crashes a third engine. */
  if (note_crash (att, outcome->reason))
    return give_up (att, outcome->verdict, VRD_REASON_SUSPECT);
  if (outcome->verdict == VRD_NOT_RUN)
    return handle_rejection (att, now_us, outcome);
  if (reaction_to (att, outcome->reason) != REACTION_NEXT_ENGINE)
    return give_up (att, outcome->verdict, outcome->reason);
  if (outcome->lost && now_us < att->deadline_us)
    return (att_step_t){ .action = ATT_REVOKE, .engine_hash = att->last_engine };
  return retry (att, now_us, budget, outcome->verdict);
}

att_step_t
att_revoked (att_t *att, uint64_t now_us, att_budget_t *budget, vrd_t verdict)
{
  if (verdict == VRD_NOT_RUN && att->waited)
    restart_targets (att);
  if (verdict == VRD_NOT_RUN)
    return next_step (att, now_us);
  if (note_broken (att))
    return give_up (att, verdict, att->last_reason);
  return retry (att, now_us, budget, verdict);
}
