#include "request/policy/retries/forwarding.h"

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
reaction_to (const forwarding_t *forwarding, verdict_reason_t reason)
{
  switch (reason)
    {
    case VERDICT_REASON_QUEUE_FULL:
    case VERDICT_REASON_DEADLINE:
    case VERDICT_REASON_ACCOUNT_SHARE:
      /* Applies to one engine only, unless it was the last one to try. */
      return forwarding->may_have_queued ? REACTION_RETRY_LATER : REACTION_NEXT_ENGINE;
    case VERDICT_REASON_LOG_DOWN:
      return REACTION_RETRY_LATER;
    case VERDICT_REASON_SUSPECT:
    case VERDICT_REASON_CLAIMED:
    case VERDICT_REASON_KEY_REUSED:
    case VERDICT_REASON_KEY_TOO_OLD:
      return REACTION_FINAL;
    default:
      return REACTION_NEXT_ENGINE;
    }
}

static bool
was_tried (const forwarding_t *forwarding, uint64_t engine_hash)
{
  for (uint32_t i = 0; i < forwarding->tried_count; i++)
    if (forwarding->tried[i] == engine_hash)
      return true;
  return false;
}

/* insert_target() - inserts a target @place positions after the next one, but behind an engine that
 * is to be tried again: that one rejected the request only in favour of a better engine, so it
 * comes before the referrals of the latter */
static void
insert_target (forwarding_t *forwarding, uint32_t place, forwarding_target_t target)
{
  uint32_t at = forwarding->target_next + place;

  if (forwarding->target_count == G_N_ELEMENTS (forwarding->targets))
    return;
  while (at < forwarding->target_count && forwarding->targets[at].may_repeat)
    at++;
  memmove (&forwarding->targets[at + 1], &forwarding->targets[at],
           (forwarding->target_count - at) * sizeof forwarding->targets[0]);
  forwarding->targets[at] = target;
  forwarding->target_count++;
}

/* skip_tried() - advances to the next target that may be tried. Return: whether there is one */
static bool
skip_tried (forwarding_t *forwarding)
{
  while (forwarding->target_next < forwarding->target_count)
    {
      const forwarding_target_t *target = &forwarding->targets[forwarding->target_next];

      if (target->may_repeat || !was_tried (forwarding, target->engine_hash))
        return true;
      forwarding->target_next++;
    }
  return false;
}

/* has_target_after_next() - Return: whether another engine could be tried after the next target */
static bool
has_target_after_next (const forwarding_t *forwarding)
{
  uint64_t next = forwarding->targets[forwarding->target_next].engine_hash;

  for (uint32_t i = forwarding->target_next + 1; i < forwarding->target_count; i++)
    {
      const forwarding_target_t *target = &forwarding->targets[i];

      if (target->engine_hash != next && !was_tried (forwarding, target->engine_hash))
        return true;
    }
  return false;
}

static forwarding_step_t
give_up (const forwarding_t *forwarding, verdict_t verdict, verdict_reason_t reason)
{
  forwarding_step_t step = { .action = FORWARDING_GIVE_UP, .verdict = verdict, .reason = reason };

  /* The verdict is about the whole request: if an earlier attempt may have been executed, it isn't
   * "not run", whatever the last attempt's verdict. */
  if (forwarding->may_have_run && verdict == VERDICT_NOT_RUN)
    step.verdict = VERDICT_MAY_HAVE_RUN;
  if (reaction_to (forwarding, reason) == REACTION_FINAL)
    return step;
  if (step.verdict != VERDICT_NOT_RUN && !forwarding->idempotent)
    return step;
  step.retry_after_ms =
      forwarding->retry_after_ms != 0 ? forwarding->retry_after_ms : RETRY_AFTER_DEFAULT_MS;
  return step;
}

static forwarding_step_t
send_to (forwarding_t *forwarding, uint64_t engine_hash, bool may_wait, bool referred)
{
  g_assert (forwarding->hops < forwarding->hop_limit);
  forwarding->hops++;
  forwarding->tried[forwarding->tried_count++] = engine_hash;
  forwarding->last_engine = engine_hash;
  forwarding->last_referred = referred;
  forwarding->may_have_queued = may_wait;
  return (forwarding_step_t){ .action = FORWARDING_SEND,
                              .engine_hash = engine_hash,
                              .may_wait = may_wait,
                              .referred = referred };
}

/* next_step() - tries the next target; the last attempt goes to the first engine that was above its
 * bound, whose sidecar may now queue the request, or rejects it with a retry time */
static forwarding_step_t
next_step (forwarding_t *forwarding, uint64_t now_us)
{
  bool last_hop = forwarding->hops + 1 >= forwarding->hop_limit;

  if (now_us >= forwarding->deadline_us)
    return give_up (forwarding, VERDICT_NOT_RUN, VERDICT_REASON_DEADLINE);
  if (forwarding->hops >= forwarding->hop_limit)
    return give_up (forwarding, VERDICT_NOT_RUN, forwarding->last_reason);

  bool have_target = skip_tried (forwarding);

  if (forwarding->queue_engine != 0 && (last_hop || !have_target))
    {
      uint64_t engine_hash = forwarding->queue_engine;

      forwarding->queue_engine = 0;
      return send_to (forwarding, engine_hash, true, true);
    }
  if (!have_target)
    return give_up (forwarding, VERDICT_NOT_RUN, forwarding->last_reason);

  forwarding_target_t target = forwarding->targets[forwarding->target_next];
  bool may_wait =
      forwarding->queue_engine == 0 && (last_hop || !has_target_after_next (forwarding));

  forwarding->target_next++;
  return send_to (forwarding, target.engine_hash, may_wait, target.referred);
}

/* add_referrals() - tries the engines that the sidecar named next, as it knows best which ones have
 * free capacity or the chat's context in their cache */
static void
add_referrals (forwarding_t *forwarding, const forwarding_outcome_t *outcome)
{
  uint32_t count = MIN (outcome->referral_count, LIMIT_REFERRALS);

  for (uint32_t i = 0; i < count; i++)
    insert_target (forwarding, i,
                   (forwarding_target_t){ .engine_hash = outcome->referrals[i], .referred = true });
  if (outcome->reason == VERDICT_REASON_ELSEWHERE && !forwarding->last_referred)
    insert_target (forwarding, count,
                   (forwarding_target_t){ .engine_hash = forwarding->last_engine,
                                          .referred = true,
                                          .may_repeat = true });
}

static bool
is_unavailable (verdict_reason_t reason)
{
  return reason == VERDICT_REASON_LEAVING || reason == VERDICT_REASON_STALE ||
         reason == VERDICT_REASON_NO_ENGINE;
}

/* restart_targets() - allows to try all engines again but the last one, those that were above their
 * bound included. A request that was queued as its last resort would otherwise fail with 503 when
 * that host is stopped or lost, though all other engines work: clients would see each planned stop
 * and each host failure. */
static void
restart_targets (forwarding_t *forwarding)
{
  forwarding->hop_limit = MIN (forwarding->hops + LIMIT_HOPS, LIMIT_HOPS_EXTENDED);
  forwarding->tried[0] = forwarding->last_engine;
  forwarding->tried_count = 1;
  forwarding->target_next = 0;
  forwarding->queue_engine = 0;
}

static forwarding_step_t
handle_rejection (forwarding_t *forwarding, uint64_t now_us, const forwarding_outcome_t *outcome)
{
  if (outcome->retry_after_ms != 0 &&
      (forwarding->retry_after_ms == 0 || outcome->retry_after_ms < forwarding->retry_after_ms))
    forwarding->retry_after_ms = outcome->retry_after_ms;
  if (reaction_to (forwarding, outcome->reason) != REACTION_NEXT_ENGINE)
    return give_up (forwarding, VERDICT_NOT_RUN, outcome->reason);
  if (forwarding->may_have_queued && is_unavailable (outcome->reason))
    restart_targets (forwarding);
  if (outcome->reason == VERDICT_REASON_OVER_BOUND && forwarding->queue_engine == 0 &&
      !forwarding->may_have_queued)
    forwarding->queue_engine = forwarding->last_engine;
  add_referrals (forwarding, outcome);
  return next_step (forwarding, now_us);
}

/* note_broken() - counts a broken connection. A request may crash the sidecar or the host along
 * with the engine; then no sidecar reports the crash. Return: whether as many connections broke as
 * engines may crash on one request */
static bool
note_broken (forwarding_t *forwarding)
{
  if (forwarding->last_reason == VERDICT_REASON_CUT)
    forwarding->broken++;
  return forwarding->broken >= LIMIT_SUSPECT_CRASHES;
}

/* retry() - retries the request if allowed, after an attempt that may have been executed */
static forwarding_step_t
retry (forwarding_t *forwarding, uint64_t now_us, forwarding_budget_t *budget, verdict_t verdict)
{
  forwarding->may_have_run = true;
  if (!forwarding->idempotent || now_us >= forwarding->deadline_us ||
      !forwarding_budget_take (budget, forwarding->account_hash))
    return give_up (forwarding, verdict, forwarding->last_reason);
  forwarding->retries++;
  if (forwarding->may_have_queued)
    restart_targets (forwarding);
  return next_step (forwarding, now_us);
}

/* note_crash() - records a crash of the last engine. Return: whether the request has crashed the
 * maximum of engines */
static bool
note_crash (forwarding_t *forwarding, verdict_reason_t reason)
{
  if (reason != VERDICT_REASON_ENGINE_CRASHED && reason != VERDICT_REASON_SUSPECT_HERE)
    return false;
  for (uint32_t i = 0; i < forwarding->crashed_count; i++)
    if (forwarding->crashed[i] == forwarding->last_engine)
      return false;
  if (forwarding->crashed_count < LIMIT_SUSPECT_CRASHES)
    forwarding->crashed[forwarding->crashed_count++] = forwarding->last_engine;
  return forwarding->crashed_count == LIMIT_SUSPECT_CRASHES;
}

static forwarding_reserve_t *
find_reserve (forwarding_budget_t *budget, uint64_t account_hash)
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
take_reserve (forwarding_budget_t *budget, uint64_t account_hash)
{
  forwarding_reserve_t *reserve = find_reserve (budget, account_hash);

  if (account_hash == 0 || (reserve == NULL && budget->reserve_count == FORWARDING_RESERVES_MAX))
    return false;
  if (reserve == NULL)
    {
      reserve = &budget->reserves[budget->reserve_count++];
      *reserve = (forwarding_reserve_t){ account_hash, FORWARDING_RESERVE_MAX_MILLI };
    }
  if (reserve->tokens_milli < RETRY_MILLI)
    return false;
  reserve->tokens_milli -= RETRY_MILLI;
  return true;
}

void
forwarding_budget_init (forwarding_budget_t *budget)
{
  memset (budget, 0, sizeof *budget);
  budget->tokens_milli = FORWARDING_BUDGET_MAX_MILLI;
}

void
forwarding_budget_refill (forwarding_budget_t *budget, uint64_t account_hash)
{
  forwarding_reserve_t *reserve = find_reserve (budget, account_hash);

  budget->tokens_milli =
      MIN (budget->tokens_milli + FORWARDING_BUDGET_GAIN_MILLI, FORWARDING_BUDGET_MAX_MILLI);
  if (reserve == NULL)
    return;
  reserve->tokens_milli += FORWARDING_BUDGET_GAIN_MILLI;
  if (reserve->tokens_milli >= FORWARDING_RESERVE_MAX_MILLI)
    *reserve = budget->reserves[--budget->reserve_count];
}

bool
forwarding_budget_take (forwarding_budget_t *budget, uint64_t account_hash)
{
  if (budget->tokens_milli < RETRY_MILLI)
    return take_reserve (budget, account_hash);
  budget->tokens_milli -= RETRY_MILLI;
  return true;
}

forwarding_step_t
forwarding_begin (forwarding_t *forwarding, uint64_t now_us, const forwarding_options_t *options)
{
  memset (forwarding, 0, sizeof *forwarding);
  forwarding->idempotent = options->idempotent;
  forwarding->account_hash = options->account_hash;
  forwarding->deadline_us = options->deadline_us;
  forwarding->last_reason = VERDICT_REASON_NO_ENGINE;
  forwarding->hop_limit = LIMIT_HOPS;
  forwarding->target_count = MIN (options->candidate_count, FORWARDING_CANDIDATES_MAX);
  for (uint32_t i = 0; i < forwarding->target_count; i++)
    forwarding->targets[i].engine_hash = options->candidates[i];
  for (uint32_t i = 0; options->crashed != NULL && i < LIMIT_SUSPECT_CRASHES; i++)
    if (options->crashed[i] != 0)
      forwarding->crashed[forwarding->crashed_count++] = options->crashed[i];
  return next_step (forwarding, now_us);
}

void
forwarding_response_begun (forwarding_t *forwarding)
{
  forwarding->response_begun = true;
}

forwarding_step_t
forwarding_attempt_ended (forwarding_t *forwarding,
                          uint64_t now_us,
                          forwarding_budget_t *budget,
                          const forwarding_outcome_t *outcome)
{
  if (outcome->answered)
    {
      forwarding_budget_refill (budget, forwarding->account_hash);
      return (forwarding_step_t){ .action = FORWARDING_DONE, .verdict = VERDICT_RAN };
    }
  forwarding->last_reason = outcome->reason;
  if (forwarding->response_begun)
    return give_up (forwarding, MAX (outcome->verdict, VERDICT_MAY_HAVE_RUN), outcome->reason);
  /* Two sidecars may each know of one crash and not yet of the other. Only the router that tried
   * both can count two crashes before the request crashes a third engine. */
  if (note_crash (forwarding, outcome->reason))
    return give_up (forwarding, outcome->verdict, VERDICT_REASON_SUSPECT);
  if (outcome->verdict == VERDICT_NOT_RUN)
    return handle_rejection (forwarding, now_us, outcome);
  if (reaction_to (forwarding, outcome->reason) != REACTION_NEXT_ENGINE)
    return give_up (forwarding, outcome->verdict, outcome->reason);
  if (outcome->connection_lost && now_us < forwarding->deadline_us)
    return (forwarding_step_t){ .action = FORWARDING_REVOKE,
                                .engine_hash = forwarding->last_engine };
  return retry (forwarding, now_us, budget, outcome->verdict);
}

forwarding_step_t
forwarding_revoked (forwarding_t *forwarding,
                    uint64_t now_us,
                    forwarding_budget_t *budget,
                    verdict_t verdict)
{
  if (verdict == VERDICT_NOT_RUN && forwarding->may_have_queued)
    restart_targets (forwarding);
  if (verdict == VERDICT_NOT_RUN)
    return next_step (forwarding, now_us);
  if (note_broken (forwarding))
    return give_up (forwarding, verdict, forwarding->last_reason);
  return retry (forwarding, now_us, budget, verdict);
}
