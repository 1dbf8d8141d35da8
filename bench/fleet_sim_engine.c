#include "fleet_sim_private.h"

/** struct completion - data of the event that ends a request; no @call after its engine's crash */
typedef struct
{
  fleet_sim_call_t *call;
} completion_t;

static void
move_true_load (fleet_sim_t *sim, uint32_t before, uint32_t after)
{
  fleet_sim_loads_t *loads = &sim->loads;
  g_assert (after < loads->load_limit);
  loads->engines_with_load[before]--;
  loads->engines_with_load[after]++;
  loads->sum = loads->sum - before + after;
  loads->max = MAX (loads->max, after);
  while (loads->max > 0 && loads->engines_with_load[loads->max] == 0)
    loads->max--;
}

static admission_policy_t
admission_policy_for (fleet_sim_policy_t policy)
{
  if (policy == FLEET_SIM_POLICY_FULL)
    return ADMISSION_POLICY_FULL;
  return policy == FLEET_SIM_POLICY_BOUNDED ? ADMISSION_POLICY_NO_REFERRAL
                                            : ADMISSION_POLICY_SLOTS_ONLY;
}

static uint32_t
bound_percent (const fleet_sim_t *sim)
{
  const uint32_t set = sim->options.bound_percent;
  return set != 0 ? set : sim->options.workload->bound_percent;
}

static admission_options_t
make_admission_options (fleet_sim_t *sim, fleet_sim_engine_t *engine)
{
  const workload_t *workload = sim->options.workload;
  return (admission_options_t){ .engine_hash = engine->hash,
                                .service_hash = sim->service_hash,
                                .slots = workload->slots,
                                .bound_percent = bound_percent (sim),
                                .engine_count = engine->daemon.view->count,
                                .prefill_tokens_s = workload->prefill_tokens_s,
                                .cache_lifetime_us =
                                    (uint64_t)workload->cache_lifetime_s * CLOCK_US_PER_S,
                                .seed = sim->options.seed * 977 + engine->index,
                                .policy = admission_policy_for (sim->options.policy),
                                .is_live = fleet_sim_view_has_engine,
                                .context = engine->daemon.view };
}

static void
record_load (fleet_sim_t *sim, const fleet_sim_engine_t *engine)
{
  const fleet_sim_loads_t *loads = &sim->loads;
  if (!fleet_sim_is_measured (sim) || loads->count == 0)
    return;
  const double mean = (double)loads->sum / loads->count;
  const double bound = MAX (mean * bound_percent (sim) / 100.0, mean + 1.0);
  const double load = admission_load (engine->admission);
  figures_t *figures = sim->figures;
  figures->dispatches++;
  figures->load_sum += mean;
  figures_add_sample (&figures->skew, loads->max / mean);
  if (load <= bound + 1e-9 || !engine->counted)
    return;
  figures->over_bound++;
  figures->over_slack += load > bound + 1.0;
  figures_add_sample (&figures->excess, load - bound);
}

static void
record_wait (fleet_sim_t *sim, const fleet_sim_call_t *call)
{
  if (!fleet_sim_is_measured (sim))
    return;
  figures_t *figures = sim->figures;
  const workload_session_t *session = call->session;
  const double wait_ms = (double)(sim->now_us - call->arrived_us) / 1000.0;
  const double first_ms = (double)(call->first_token_us - call->arrived_us) / 1000.0;
  if (session->account == sim->options.workload->surging_account)
    return;
  figures_add_sample (&figures->quiet_wait, wait_ms);
  figures_add_sample (&figures->quiet_first, first_ms);
  if (call->request.item.priority != 0)
    return;
  figures_add_sample (&figures->short_wait, wait_ms);
  figures_add_sample (&figures->short_first, first_ms);
}

static void
record_cache_use (fleet_sim_t *sim,
                  const fleet_sim_engine_t *engine,
                  const workload_session_t *session,
                  uint32_t found)
{
  figures_t *figures = sim->figures;
  if (!fleet_sim_is_measured (sim) || session->turn == 0)
    return;
  const fleet_sim_engine_t *last = &sim->engines[session->last_engine];
  const uint32_t missed = session->context_tokens - found;
  figures->prefix_tokens += session->context_tokens;
  figures->cached_tokens += found;
  if (!last->present || last->incarnation != session->last_incarnation)
    figures->gone_tokens += missed;
  else if (last != engine && cache_model_peek (last->cache, session->chat_hash) > 0)
    figures->moved_tokens += missed;
  else
    figures->evicted_tokens += missed;
}

static uint32_t
use_cache (fleet_sim_t *sim, fleet_sim_engine_t *engine, const fleet_sim_call_t *call)
{
  const workload_session_t *session = call->session;
  if (!call->request.has_chat)
    return 0;
  const uint32_t cached = cache_model_use (engine->cache, session->chat_hash);
  const uint32_t found = MIN (cached, session->context_tokens);
  record_cache_use (sim, engine, session, found);
  cache_model_put (engine->cache, session->chat_hash, call->turn.prompt_tokens);
  return found;
}

static void
start_request (fleet_sim_t *sim, fleet_sim_engine_t *engine, fleet_sim_call_t *call)
{
  const workload_t *workload = sim->options.workload;
  const uint32_t load = admission_load (engine->admission);
  if (engine->counted)
    move_true_load (sim, load - 1, load);
  const uint32_t found = use_cache (sim, engine, call);
  const uint64_t prefill_us =
      (uint64_t)(call->turn.prompt_tokens - found) * CLOCK_US_PER_S / workload->prefill_tokens_s;
  const uint64_t decode_us = (uint64_t)call->turn.output_tokens * workload->token_us;
  call->engine = engine;
  call->first_token_us = sim->now_us + prefill_us + workload->token_us;
  call->link = (GList){ .data = call };
  g_queue_push_tail_link (&engine->running, &call->link);
  completion_t *completion = g_new0 (completion_t, 1);
  completion->call = call;
  call->completion = completion;
  event_queue_add (&sim->events, sim->now_us + prefill_us + decode_us, FLEET_SIM_EVENT_COMPLETION,
                   0, completion);
  record_load (sim, engine);
  record_wait (sim, call);
}

static void
stop_if_drained (fleet_sim_t *sim, fleet_sim_engine_t *engine)
{
  if (!engine->leaving || admission_load (engine->admission) > 0)
    return;
  fleet_sim_change_list (sim, engine, MEMBERSHIP_GONE);
  fleet_sim_engine_stop (sim, engine);
}

static void
hand_over (const chat_directory_entry_t *entry, void *context)
{
  fleet_sim_engine_t *engine = context;
  const fleet_sim_view_t *view = engine->daemon.view;
  fleet_sim_t *sim = view->sim;
  uint32_t order[2];
  const uint32_t found =
      rendezvous_rank (view->engines, view->count, sim->service_hash, entry->chat_hash, order, 2);
  for (uint32_t i = 0; i < found; i++)
    {
      fleet_sim_engine_t *next =
          g_hash_table_lookup (sim->engines_by_hash, &view->engines[order[i]].hash);
      if (next == engine)
        continue;
      if (next->present && entry->engine_hash != engine->hash && entry->engine_hash != next->hash)
        chat_directory_put (admission_directory (next->admission), entry->served_us,
                            entry->chat_hash, entry->engine_hash);
      return;
    }
}

void
fleet_sim_engine_set_counted (fleet_sim_t *sim, fleet_sim_engine_t *engine, bool counted)
{
  if (engine->counted == counted)
    return;
  fleet_sim_loads_t *loads = &sim->loads;
  const uint32_t load = admission_load (engine->admission);
  if (!counted)
    move_true_load (sim, load, 0);
  loads->engines_with_load[0] += counted ? 1 : -1;
  loads->count += counted ? 1 : -1;
  engine->counted = counted;
  if (counted && load > 0)
    move_true_load (sim, 0, load);
}

void
fleet_sim_engine_start (fleet_sim_t *sim, fleet_sim_engine_t *engine, bool joined)
{
  const admission_options_t options = make_admission_options (sim, engine);
  engine->admission = admission_new (&options);
  engine->cache = cache_model_new (sim->options.workload->cache_tokens);
  engine->daemon.mean = admission_mean (engine->admission);
  engine->incarnation++;
  engine->sequence = 1;
  engine->present = true;
  engine->reachable = true;
  engine->leaving = false;
  if (joined)
    admission_set_joined (engine->admission, sim->now_us);
  fleet_sim_engine_set_counted (sim, engine, true);
}

void
fleet_sim_engine_configure (fleet_sim_t *sim, fleet_sim_engine_t *engine)
{
  const admission_options_t options = make_admission_options (sim, engine);
  admission_configure (engine->admission, &options);
}

void
fleet_sim_engine_stop (fleet_sim_t *sim, fleet_sim_engine_t *engine)
{
  fleet_sim_engine_set_counted (sim, engine, false);
  admission_free (engine->admission);
  cache_model_free (engine->cache);
  engine->admission = NULL;
  engine->cache = NULL;
  engine->daemon.mean = NULL;
  engine->present = false;
}

void
fleet_sim_engine_drain (fleet_sim_t *sim, fleet_sim_engine_t *engine)
{
  engine->leaving = true;
  engine->sequence++;
  fleet_sim_engine_set_counted (sim, engine, false);
  admission_set_leaving (engine->admission, true);
  fleet_sim_change_list (sim, engine, MEMBERSHIP_LEAVING);
  const uint32_t daemons = fleet_sim_daemon_count (sim);
  for (uint32_t i = 0; i < 3; i++)
    fleet_sim_send_gossip (sim, &engine->daemon,
                           fleet_sim_daemon_at (sim, random_below (&sim->random_events, daemons)));
  if (sim->options.policy == FLEET_SIM_POLICY_FULL)
    chat_directory_for_each (admission_directory (engine->admission), hand_over, engine);
  fleet_sim_engine_run_queue (sim, engine);
  stop_if_drained (sim, engine);
}

void
fleet_sim_engine_crash (fleet_sim_t *sim, fleet_sim_engine_t *engine)
{
  GQueue lost = G_QUEUE_INIT;
  admission_decision_t decision;
  fleet_sim_call_t *call;
  /* Queued requests are lost as well: nothing is left to confirm that they didn't run. */
  admission_set_engine_up (engine->admission, false);
  admission_request_t *waiting;
  while ((waiting = admission_next_rejected (engine->admission, sim->now_us, &decision)) != NULL)
    g_queue_push_tail (&lost, waiting);
  while ((call = g_queue_peek_head (&engine->running)) != NULL)
    {
      g_queue_unlink (&engine->running, &call->link);
      ((completion_t *)call->completion)->call = NULL;
      g_queue_push_tail (&lost, &call->request);
    }
  fleet_sim_engine_stop (sim, engine);
  admission_request_t *request;
  while ((request = g_queue_pop_head (&lost)) != NULL)
    fleet_sim_router_handle_loss (sim, (fleet_sim_call_t *)request);
}

bool
fleet_sim_engine_offer (fleet_sim_t *sim,
                        fleet_sim_engine_t *engine,
                        fleet_sim_call_t *call,
                        admission_decision_t *decision)
{
  *decision = admission_offer (engine->admission, sim->now_us, &call->request);
  switch (decision->action)
    {
    case ADMISSION_DISPATCH:
      start_request (sim, engine, call);
      return true;
    case ADMISSION_WAIT:
      fleet_sim_engine_run_queue (sim, engine);
      return true;
    default:
      if (fleet_sim_is_measured (sim))
        sim->figures->refusals[decision->reason]++;
      return false;
    }
}

void
fleet_sim_engine_complete (fleet_sim_t *sim, void *data)
{
  completion_t *completion = data;
  fleet_sim_call_t *call = completion->call;
  g_free (completion);
  if (call == NULL)
    return;
  fleet_sim_engine_t *engine = call->engine;
  const uint32_t load = admission_load (engine->admission);
  const uint32_t tokens = call->turn.prompt_tokens + call->turn.output_tokens;
  call->session->last_engine = engine->index;
  call->session->last_incarnation = engine->incarnation;
  if (call->request.has_chat)
    cache_model_put (engine->cache, call->session->chat_hash, tokens);
  g_queue_unlink (&engine->running, &call->link);
  admission_finish (engine->admission, sim->now_us, &call->request, true);
  if (engine->counted)
    move_true_load (sim, load, load - 1);
  fleet_sim_router_handle_answer (sim, call);
  fleet_sim_engine_run_queue (sim, engine);
  stop_if_drained (sim, engine);
}

void
fleet_sim_engine_run_queue (fleet_sim_t *sim, fleet_sim_engine_t *engine)
{
  admission_decision_t decision;
  admission_request_t *request;
  while ((request = admission_next_rejected (engine->admission, sim->now_us, &decision)) != NULL)
    fleet_sim_router_handle_refusal (sim, (fleet_sim_call_t *)request, &decision);
  while ((request = admission_next (engine->admission, sim->now_us)) != NULL)
    start_request (sim, engine, (fleet_sim_call_t *)request);
}
