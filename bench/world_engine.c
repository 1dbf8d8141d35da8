#include "world_parts.h"

/** struct completion - data of the event that ends a request; no @call after its engine's crash */
typedef struct
{
  wld_flight_t *call;
} completion_t;

static void
move_true_load (wld_t *sim, uint32_t before, uint32_t after)
{
  wld_true_t *loads = &sim->loads;
  g_assert (after < loads->load_limit);
  loads->engines_with_load[before]--;
  loads->engines_with_load[after]++;
  loads->sum = loads->sum - before + after;
  loads->max = MAX (loads->max, after);
  while (loads->max > 0 && loads->engines_with_load[loads->max] == 0)
    loads->max--;
}

static admission_policy_t
admission_policy_for (wld_policy_t policy)
{
  if (policy == WLD_FULL)
    return ADMISSION_POLICY_FULL;
  return policy == WLD_BOUNDED ? ADMISSION_POLICY_NO_REFERRAL : ADMISSION_POLICY_SLOTS_ONLY;
}

static uint32_t
bound_percent (const wld_t *sim)
{
  const uint32_t set = sim->options.bound_percent;
  return set != 0 ? set : sim->options.workload->bound_percent;
}

static admission_options_t
make_admission_options (wld_t *sim, wld_engine_t *engine)
{
  const wkl_t *workload = sim->options.workload;
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
                                .is_live = lst_is_live,
                                .context = engine->daemon.view };
}

static void
record_load (wld_t *sim, const wld_engine_t *engine)
{
  const wld_true_t *loads = &sim->loads;
  if (!wld_measured (sim) || loads->count == 0)
    return;
  const double mean = (double)loads->sum / loads->count;
  const double bound = MAX (mean * bound_percent (sim) / 100.0, mean + 1.0);
  const double load = admission_load (engine->admission);
  fig_t *figures = sim->figures;
  figures->dispatches++;
  figures->load_sum += mean;
  fig_add (&figures->skew, loads->max / mean);
  if (load <= bound + 1e-9 || !engine->counted)
    return;
  figures->over_bound++;
  figures->over_slack += load > bound + 1.0;
  fig_add (&figures->excess, load - bound);
}

static void
record_wait (wld_t *sim, const wld_flight_t *call)
{
  if (!wld_measured (sim))
    return;
  fig_t *figures = sim->figures;
  const wkl_session_t *session = call->session;
  const double wait_ms = (double)(sim->now_us - call->arrived_us) / 1000.0;
  const double first_ms = (double)(call->first_token_us - call->arrived_us) / 1000.0;
  if (session->account == sim->options.workload->surging_account)
    return;
  fig_add (&figures->quiet_wait, wait_ms);
  fig_add (&figures->quiet_first, first_ms);
  if (call->request.item.priority != 0)
    return;
  fig_add (&figures->short_wait, wait_ms);
  fig_add (&figures->short_first, first_ms);
}

static void
record_cache_use (wld_t *sim,
                  const wld_engine_t *engine,
                  const wkl_session_t *session,
                  uint32_t found)
{
  fig_t *figures = sim->figures;
  if (!wld_measured (sim) || session->turn == 0)
    return;
  const wld_engine_t *last = &sim->engines[session->last_engine];
  const uint32_t missed = session->context_tokens - found;
  figures->prefix_tokens += session->context_tokens;
  figures->cached_tokens += found;
  if (!last->present || last->incarnation != session->last_incarnation)
    figures->gone_tokens += missed;
  else if (last != engine && cch_peek (last->cache, session->chat_hash) > 0)
    figures->moved_tokens += missed;
  else
    figures->evicted_tokens += missed;
}

static uint32_t
use_cache (wld_t *sim, wld_engine_t *engine, const wld_flight_t *call)
{
  const wkl_session_t *session = call->session;
  if (!call->request.has_chat)
    return 0;
  const uint32_t cached = cch_get (engine->cache, session->chat_hash);
  const uint32_t found = MIN (cached, session->context_tokens);
  record_cache_use (sim, engine, session, found);
  cch_put (engine->cache, session->chat_hash, call->turn.prompt_tokens);
  return found;
}

static void
start_request (wld_t *sim, wld_engine_t *engine, wld_flight_t *call)
{
  const wkl_t *workload = sim->options.workload;
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
  evt_add (&sim->events, sim->now_us + prefill_us + decode_us, EVT_FINISH, 0, completion);
  record_load (sim, engine);
  record_wait (sim, call);
}

static void
stop_if_drained (wld_t *sim, wld_engine_t *engine)
{
  if (!engine->leaving || admission_load (engine->admission) > 0)
    return;
  lst_change (sim, engine, MEMBERSHIP_GONE);
  eng_close (sim, engine);
}

static void
hand_over (const chat_directory_entry_t *entry, void *context)
{
  wld_engine_t *engine = context;
  const wld_view_t *view = engine->daemon.view;
  wld_t *sim = view->sim;
  uint32_t order[2];
  const uint32_t found =
      rendezvous_rank (view->engines, view->count, sim->service_hash, entry->chat_hash, order, 2);
  for (uint32_t i = 0; i < found; i++)
    {
      wld_engine_t *next =
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
eng_count (wld_t *sim, wld_engine_t *engine, bool counted)
{
  if (engine->counted == counted)
    return;
  wld_true_t *loads = &sim->loads;
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
eng_open (wld_t *sim, wld_engine_t *engine, bool joined)
{
  const admission_options_t options = make_admission_options (sim, engine);
  engine->admission = admission_new (&options);
  engine->cache = cch_new (sim->options.workload->cache_tokens);
  engine->daemon.mean = admission_mean (engine->admission);
  engine->incarnation++;
  engine->sequence = 1;
  engine->present = true;
  engine->reachable = true;
  engine->leaving = false;
  if (joined)
    admission_set_joined (engine->admission, sim->now_us);
  eng_count (sim, engine, true);
}

void
eng_configure (wld_t *sim, wld_engine_t *engine)
{
  const admission_options_t options = make_admission_options (sim, engine);
  admission_configure (engine->admission, &options);
}

void
eng_close (wld_t *sim, wld_engine_t *engine)
{
  eng_count (sim, engine, false);
  admission_free (engine->admission);
  cch_free (engine->cache);
  engine->admission = NULL;
  engine->cache = NULL;
  engine->daemon.mean = NULL;
  engine->present = false;
}

void
eng_leave (wld_t *sim, wld_engine_t *engine)
{
  engine->leaving = true;
  engine->sequence++;
  eng_count (sim, engine, false);
  admission_set_leaving (engine->admission, true);
  lst_change (sim, engine, MEMBERSHIP_LEAVING);
  const uint32_t daemons = lst_daemon_count (sim);
  for (uint32_t i = 0; i < 3; i++)
    lst_tell (sim, &engine->daemon, lst_daemon (sim, rnd_below (&sim->random_events, daemons)));
  if (sim->options.policy == WLD_FULL)
    chat_directory_for_each (admission_directory (engine->admission), hand_over, engine);
  eng_pump (sim, engine);
  stop_if_drained (sim, engine);
}

void
eng_crash (wld_t *sim, wld_engine_t *engine)
{
  GQueue lost = G_QUEUE_INIT;
  admission_decision_t decision;
  wld_flight_t *call;
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
  eng_close (sim, engine);
  admission_request_t *request;
  while ((request = g_queue_pop_head (&lost)) != NULL)
    rtr_lost (sim, (wld_flight_t *)request);
}

bool
eng_offer (wld_t *sim, wld_engine_t *engine, wld_flight_t *call, admission_decision_t *decision)
{
  *decision = admission_offer (engine->admission, sim->now_us, &call->request);
  switch (decision->action)
    {
    case ADMISSION_DISPATCH:
      start_request (sim, engine, call);
      return true;
    case ADMISSION_WAIT:
      eng_pump (sim, engine);
      return true;
    default:
      if (wld_measured (sim))
        sim->figures->refusals[decision->reason]++;
      return false;
    }
}

void
eng_finish (wld_t *sim, void *data)
{
  completion_t *completion = data;
  wld_flight_t *call = completion->call;
  g_free (completion);
  if (call == NULL)
    return;
  wld_engine_t *engine = call->engine;
  const uint32_t load = admission_load (engine->admission);
  const uint32_t tokens = call->turn.prompt_tokens + call->turn.output_tokens;
  call->session->last_engine = engine->index;
  call->session->last_incarnation = engine->incarnation;
  if (call->request.has_chat)
    cch_put (engine->cache, call->session->chat_hash, tokens);
  g_queue_unlink (&engine->running, &call->link);
  admission_finish (engine->admission, sim->now_us, &call->request, true);
  if (engine->counted)
    move_true_load (sim, load, load - 1);
  rtr_answered (sim, call);
  eng_pump (sim, engine);
  stop_if_drained (sim, engine);
}

void
eng_pump (wld_t *sim, wld_engine_t *engine)
{
  admission_decision_t decision;
  admission_request_t *request;
  while ((request = admission_next_rejected (engine->admission, sim->now_us, &decision)) != NULL)
    rtr_refused (sim, (wld_flight_t *)request, &decision);
  while ((request = admission_next (engine->admission, sim->now_us)) != NULL)
    start_request (sim, engine, (wld_flight_t *)request);
}
