#include "fleet_sim_private.h"

static fleet_sim_engine_t *
find_engine (const fleet_sim_t *sim, uint64_t hash)
{
  return g_hash_table_lookup (sim->engines_by_hash, &hash);
}

static bool
is_usable (uint64_t engine_hash, void *context)
{
  const fleet_sim_router_t *router = context;
  return !health_is_skipped (router->health, router->now_us, engine_hash);
}

static void
choose_by_rank (fleet_sim_t *sim,
                fleet_sim_router_t *router,
                const fleet_sim_call_t *call,
                candidates_t *chosen)
{
  const fleet_sim_view_t *view = router->daemon.view;
  const bool full = sim->options.policy == FLEET_SIM_POLICY_FULL;
  const candidates_query_t query = {
    .now_us = sim->now_us,
    .engines = view->engines,
    .details = view->details,
    .engine_count = view->count,
    .service_hash = sim->service_hash,
    .chat_hash = call->request.chat_hash,
    .has_chat = call->request.has_chat,
    .first_turn = call->session->turn == 0,
    .cache_lifetime_us = (uint64_t)sim->options.workload->cache_lifetime_s * CLOCK_US_PER_S,
    .samples = full ? &router->samples : NULL,
    .under_way = full ? router->in_flight : NULL,
    .tie = call->request.fingerprint >> 9,
    .is_usable = is_usable,
    .context = router,
  };
  router->now_us = sim->now_us;
  *chosen = candidates_choose (&query);
}

/* Moves or inserts @hash to the front; the last candidate is dropped if there are too many. */
static void
put_first (candidates_t *chosen, uint64_t hash)
{
  uint32_t at = 0;
  while (at < chosen->candidate_count && chosen->candidates[at] != hash)
    at++;
  if (at == chosen->candidate_count && at < FORWARDING_CANDIDATES_MAX)
    chosen->candidate_count++;
  at = MIN (at, FORWARDING_CANDIDATES_MAX - 1);
  for (; at > 0; at--)
    chosen->candidates[at] = chosen->candidates[at - 1];
  chosen->candidates[0] = hash;
}

static uint64_t
least_loaded_by_samples (fleet_sim_t *sim, const fleet_sim_router_t *router)
{
  uint64_t found = 0;
  uint32_t least = UINT32_MAX;
  const uint32_t from = random_below (&sim->random_events, MAX (router->samples.count, 1));
  for (uint32_t i = 0; i < router->samples.count; i++)
    {
      const load_sample_t *sample = &router->samples.samples[(from + i) % router->samples.count];
      if (sample->taken_us + LIMIT_LOAD_SAMPLE_AGE_US < sim->now_us ||
          sample->load + sample->waiting >= least ||
          !fleet_sim_view_has_engine (sample->engine_hash, router->daemon.view))
        continue;
      least = sample->load + sample->waiting;
      found = sample->engine_hash;
    }
  return found;
}

static uint64_t
least_loaded_by_truth (fleet_sim_t *sim)
{
  uint64_t found = 0;
  uint32_t least = UINT32_MAX;
  const uint32_t from = random_below (&sim->random_events, sim->engine_count);
  for (uint32_t i = 0; i < sim->engine_count; i++)
    {
      const fleet_sim_engine_t *engine = &sim->engines[(from + i) % sim->engine_count];
      if (!engine->present || engine->leaving || !engine->reachable)
        continue;
      const uint32_t load =
          admission_load (engine->admission) + admission_waiting (engine->admission);
      if (load >= least)
        continue;
      least = load;
      found = engine->hash;
    }
  return found;
}

static candidates_t
choose (fleet_sim_t *sim, fleet_sim_router_t *router, const fleet_sim_call_t *call)
{
  candidates_t chosen;
  uint64_t first = 0;
  choose_by_rank (sim, router, call, &chosen);
  const fleet_sim_view_t *view = router->daemon.view;
  switch (sim->options.policy)
    {
    case FLEET_SIM_POLICY_LEAST_LOADED:
      first = least_loaded_by_samples (sim, router);
      break;
    case FLEET_SIM_POLICY_ORACLE:
      first = least_loaded_by_truth (sim);
      break;
    case FLEET_SIM_POLICY_RANDOM:
      if (view->count > 0)
        first = view->engines[random_below (&sim->random_events, view->count)].hash;
      break;
    default:
      return chosen;
    }
  if (first != 0 && is_usable (first, router))
    put_first (&chosen, first);
  return chosen;
}

static void
end_turn (fleet_sim_t *sim, fleet_sim_call_t *call, bool served)
{
  workload_session_t *session = call->session;
  const workload_turn_t *turn = &call->turn;
  if (served)
    session->context_tokens = turn->prompt_tokens + turn->output_tokens;
  session->turn++;
  if (turn->returns && sim->now_us < sim->end_us)
    event_queue_add (&sim->events, sim->now_us + turn->pause_us, FLEET_SIM_EVENT_NEXT_TURN, 0,
                     session);
  else
    g_free (session);
  g_free (call);
}

static void
record_end (fleet_sim_t *sim, const fleet_sim_call_t *call, bool served)
{
  if (!fleet_sim_is_measured (sim))
    return;
  figures_t *figures = sim->figures;
  const bool quiet = call->session->account != sim->options.workload->surging_account;
  figures->requests++;
  figures->hops += call->hops;
  figures->refused += !served;
  figures->quiet_requests += quiet;
  figures->quiet_refused += quiet && !served;
}

static void
fail_call (fleet_sim_t *sim, fleet_sim_call_t *call, const forwarding_step_t *step)
{
  record_end (sim, call, false);
  if (fleet_sim_is_measured (sim) && step->verdict != VERDICT_NOT_RUN)
    sim->figures->may_have_run++;
  end_turn (sim, call, false);
}

static forwarding_outcome_t
refusal_outcome (const admission_decision_t *decision)
{
  return (forwarding_outcome_t){ .verdict = VERDICT_NOT_RUN,
                                 .reason = decision->reason,
                                 .retry_after_ms = decision->retry_after_ms,
                                 .referrals = decision->referrals,
                                 .referral_count = decision->referral_count };
}

/* A router attaches load samples to each request that it sends to an engine. */
static void
attach_samples (fleet_sim_t *sim, fleet_sim_router_t *router, fleet_sim_engine_t *engine)
{
  load_sample_t samples[HOP_SAMPLES_MAX];
  const uint32_t count =
      load_samples_pick (&router->samples, sim->now_us, samples, HOP_SAMPLES_MAX);
  for (uint32_t i = 0; i < count; i++)
    if (samples[i].engine_hash != engine->hash)
      load_samples_add (engine->daemon.mean, &samples[i]);
}

/* Each answer and refusal carries the load of its engine. */
static void
learn_load (fleet_sim_t *sim, fleet_sim_router_t *router, const fleet_sim_engine_t *engine)
{
  const load_sample_t sample = admission_sample (engine->admission, sim->now_us);
  if (engine->leaving)
    load_samples_forget (&router->samples, engine->hash);
  else
    load_samples_add (&router->samples, &sample);
}

/* Return: whether the engine runs or queues the request; else @step is the next step */
static bool
send_attempt (fleet_sim_t *sim, fleet_sim_call_t *call, forwarding_step_t *step)
{
  fleet_sim_router_t *router = call->router;
  fleet_sim_engine_t *engine = find_engine (sim, step->engine_hash);
  admission_decision_t decision;
  forwarding_outcome_t outcome = { .verdict = VERDICT_NOT_RUN, .reason = VERDICT_REASON_CONNECT };
  call->hops++;
  if (engine->present && engine->reachable && !engine->blocked_for_routers)
    {
      health_record_success (router->health, engine->hash);
      call->request.may_wait = step->may_wait;
      call->request.referred = step->referred;
      attach_samples (sim, router, engine);
      in_flight_begin (router->in_flight, engine->hash);
      if (fleet_sim_engine_offer (sim, engine, call, &decision))
        return true;
      in_flight_end (router->in_flight, engine->hash);
      learn_load (sim, router, engine);
      outcome = refusal_outcome (&decision);
    }
  else
    health_record_failure (router->health, sim->now_us, engine->hash);
  *step = forwarding_attempt_ended (&call->forwarding, sim->now_us, &router->budget, &outcome);
  return false;
}

static void
run_attempts (fleet_sim_t *sim, fleet_sim_call_t *call, forwarding_step_t step)
{
  for (;;)
    switch (step.action)
      {
      case FORWARDING_SEND:
        if (send_attempt (sim, call, &step))
          return;
        break;
      case FORWARDING_REVOKE:
        step = forwarding_revoked (&call->forwarding, sim->now_us, &call->router->budget,
                                   VERDICT_MAY_HAVE_RUN);
        break;
      default:
        fail_call (sim, call, &step);
        return;
      }
}

static fleet_sim_call_t *
make_call (fleet_sim_t *sim, fleet_sim_router_t *router, workload_session_t *session)
{
  const workload_class_t *class = &sim->options.workload->classes[session->class_index];
  fleet_sim_call_t *call = g_new0 (fleet_sim_call_t, 1);
  admission_request_t *request = &call->request;
  call->router = router;
  call->session = session;
  call->arrived_us = sim->now_us;
  call->turn = workload_draw_turn (sim->options.workload, session);
  request->item =
      (fair_queue_item_t){ .account_hash = sim->account_hash[session->account],
                           .weight = sim->options.workload->account_weights[session->account],
                           .priority = class->priority,
                           .cost = call->turn.prompt_tokens + call->turn.output_tokens,
                           .queue_limit = LIMIT_QUEUED_PER_ACCOUNT,
                           .deadline_us =
                               sim->now_us + (uint64_t) class->deadline_ms * CLOCK_US_PER_MS };
  request->chat_hash = session->chat_hash;
  request->fingerprint = session->chat_hash + session->turn;
  request->has_chat = class->return_share > 0;
  request->prompt_tokens = call->turn.prompt_tokens;
  request->output_tokens = call->turn.output_tokens;
  return call;
}

void
fleet_sim_router_init (fleet_sim_t *sim, fleet_sim_router_t *router, uint32_t index)
{
  router->health = health_new ();
  router->in_flight = in_flight_new ();
  router->daemon.mean = &router->samples;
  router->daemon.view = &sim->views[(sim->engine_count + index) % sim->view_count];
  load_samples_init (&router->samples, sim->options.seed * 31 + index);
  forwarding_budget_init (&router->budget);
}

void
fleet_sim_router_clear (fleet_sim_router_t *router)
{
  health_free (router->health);
  in_flight_free (router->in_flight);
}

void
fleet_sim_router_send (fleet_sim_t *sim, fleet_sim_router_t *router, workload_session_t *session)
{
  fleet_sim_call_t *call = make_call (sim, router, session);
  const workload_class_t *class = &sim->options.workload->classes[session->class_index];
  const candidates_t chosen = choose (sim, router, call);
  call->request.home_hash = chosen.home_hash;
  call->request.former_home_hash = chosen.former_home_hash;
  const forwarding_options_t options = { .idempotent = class->idempotent,
                                         .deadline_us = call->request.item.deadline_us,
                                         .candidates = chosen.candidates,
                                         .candidate_count = chosen.candidate_count };
  run_attempts (sim, call, forwarding_begin (&call->forwarding, sim->now_us, &options));
}

void
fleet_sim_router_handle_refusal (fleet_sim_t *sim,
                                 fleet_sim_call_t *call,
                                 const admission_decision_t *decision)
{
  const forwarding_outcome_t outcome = refusal_outcome (decision);
  if (fleet_sim_is_measured (sim))
    sim->figures->refusals[decision->reason]++;
  in_flight_end (call->router->in_flight, call->forwarding.last_engine);
  run_attempts (
      sim, call,
      forwarding_attempt_ended (&call->forwarding, sim->now_us, &call->router->budget, &outcome));
}

void
fleet_sim_router_handle_loss (fleet_sim_t *sim, fleet_sim_call_t *call)
{
  const forwarding_outcome_t outcome = { .connection_lost = true,
                                         .verdict = VERDICT_MAY_HAVE_RUN,
                                         .reason = VERDICT_REASON_CUT };
  in_flight_end (call->router->in_flight, call->forwarding.last_engine);
  if (call->first_token_us != 0 && call->first_token_us <= sim->now_us)
    forwarding_response_begun (&call->forwarding);
  run_attempts (
      sim, call,
      forwarding_attempt_ended (&call->forwarding, sim->now_us, &call->router->budget, &outcome));
}

void
fleet_sim_router_handle_answer (fleet_sim_t *sim, fleet_sim_call_t *call)
{
  const forwarding_outcome_t outcome = { .answered = true, .verdict = VERDICT_RAN };
  in_flight_end (call->router->in_flight, call->forwarding.last_engine);
  forwarding_attempt_ended (&call->forwarding, sim->now_us, &call->router->budget, &outcome);
  learn_load (sim, call->router, call->engine);
  const admission_request_t *request = &call->request;
  fleet_sim_engine_t *home = find_engine (sim, request->home_hash);
  const bool home_must_know = sim->options.policy == FLEET_SIM_POLICY_FULL && request->has_chat &&
                              home != call->engine && home->present && home->reachable;
  if (home_must_know)
    admission_note_served_elsewhere (home->admission, sim->now_us, request->chat_hash,
                                     call->engine->hash);
  record_end (sim, call, true);
  end_turn (sim, call, true);
}
