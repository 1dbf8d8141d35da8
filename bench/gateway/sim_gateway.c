#include "sim_parts.h"

#include "request/policy/retries/hop_timeout.h"

#include <xxhash.h>

#define TICK_US (25 * CLOCK_US_PER_MS)
#define CACHE_WARM_ENTRIES 4096
#define PARTS_MAX 4096
/* As in the product: items that wait, those of one message, and ticks between two messages. */
#define NEWS_MAX 512
#define NEWS_PER_MESSAGE 32
#define NEWS_TICKS 20
#define LOST_NEWS_SHARE 0.05  /* of the messages between gateways */
#define TIMEOUT_CHECK_TICKS 4 /* ticks between two checks for attempts without a response */
/* Of the slots of a service in use, in thousandths, from which it counts as full; equal to
 * GATEWAY_NEARLY_FULL_MILLI. */
#define FULL_MILLI 900
/* Bounds of the time after which a client sends a rejected request again. */
#define CLIENT_RETRY_MIN_US (100 * CLOCK_US_PER_MS)
#define CLIENT_RETRY_MAX_US (8000 * CLOCK_US_PER_MS)

static bool
is_baseline (const sim_t *sim)
{
  return sim->options.policy > SIM_DIRECTORY && sim->options.policy != SIM_UNSHARED;
}

sim_gateway_t *
sim_gateway_new (sim_t *sim, uint32_t index)
{
  sim_gateway_t *gateway = g_new0 (sim_gateway_t, 1);

  gateway->index = index;
  g_snprintf (gateway->data_center, sizeof gateway->data_center, "hall-%u",
              index % sim->site->data_centers);
  gateway->cache_warm = recent_answers_new (CACHE_WARM_ENTRIES, PART_HOLDERS_CERTAIN_US);
  if (sim->options.policy == SIM_DIRECTORY)
    {
      gateway->holders = part_holders_new (PARTS_MAX);
      gateway->news = part_news_new (NEWS_MAX);
    }
  gateway->engines = engines_new ();
  gateway->requests = g_ptr_array_new ();
  for (uint32_t i = 0; i < SITE_SERVICES; i++)
    gateway->queues[i] = wait_queue_new ();
  for (guint i = 0; i < sim->engines->len; i++)
    {
      const sim_engine_t *engine = g_ptr_array_index (sim->engines, i);

      engines_put (gateway->engines, sim->now_us, &engine->entry);
    }
  engines_set_complete (gateway->engines);
  event_queue_add (&sim->events, sim->now_us + TICK_US + random_below (&sim->random, TICK_US),
                   EVENT_TICK, index, NULL);
  return gateway;
}

void
sim_gateway_free (gpointer data)
{
  sim_gateway_t *gateway = data;

  for (uint32_t i = 0; i < SITE_SERVICES; i++)
    wait_queue_free (gateway->queues[i]);
  engines_free (gateway->engines);
  part_holders_free (gateway->holders);
  part_news_free (gateway->news);
  recent_answers_free (gateway->cache_warm);
  g_ptr_array_free (gateway->requests, TRUE);
  g_free (gateway);
}

static wait_queue_t *
queue_of (const sim_request_t *request)
{
  return request->gateway->queues[request->kind->service];
}

static uint64_t
remaining_us (const sim_t *sim, const sim_request_t *request)
{
  uint64_t deadline_us = request->queue_item.deadline_us;

  return deadline_us > sim->now_us ? deadline_us - sim->now_us : 0;
}

/* Rejects the request. The client sends it again once, after wait_us, if there is time left. */
static void
reject (sim_t *sim, sim_request_t *request, uint64_t wait_us)
{
  uint64_t retry_at_us = sim->now_us + CLAMP (wait_us, CLIENT_RETRY_MIN_US, CLIENT_RETRY_MAX_US);

  if (request->begun || request->retry_plan.ran > 0)
    {
      sim_finish_request (sim, request, SIM_FAILED);
      return;
    }
  if (request->returned || retry_at_us >= request->queue_item.deadline_us)
    {
      sim_finish_request (sim, request, SIM_REFUSED);
      return;
    }
  request->returned = true;
  event_queue_add (&sim->events, retry_at_us, EVENT_CLIENT_RETRY, 0, request);
}

static bool
was_tried (const sim_request_t *request, const engine_t *egn)
{
  for (uint32_t i = 0; i < request->tried_count; i++)
    if (request->tried[i] == egn->hash)
      return true;
  return false;
}

static uint64_t
baseline_rank (sim_t *sim, const sim_request_t *request, const engine_t *egn)
{
  uint64_t random_rank = random_next (&sim->random) >> 16;

  if (sim->options.policy == SIM_LEAST || sim->options.policy == SIM_IDEAL)
    return ((UINT64_C (1) << 62) - ((uint64_t)egn->own_requests << 48)) + random_rank;
  if (sim->options.policy == SIM_HASH && request->prefix != 0)
    return XXH64 (&egn->hash, sizeof egn->hash, request->prefix);
  return random_rank;
}

/* Returns the available engine of the highest rank that the request was not sent to before. */
static engine_choice_t
baseline_choice (sim_t *sim, const sim_request_t *request, const GPtrArray *engines)
{
  engine_choice_t choice = { .action = ENGINE_CHOICE_NONE };
  uint64_t best_rank = 0;

  for (guint i = 0; i < engines->len; i++)
    {
      engine_t *egn = g_ptr_array_index (engines, i);
      uint64_t rank = baseline_rank (sim, request, egn);

      if (!engine_is_open (egn) || was_tried (request, egn) || (choice.engine && rank <= best_rank))
        continue;
      choice = (engine_choice_t){ .action = ENGINE_CHOICE_SEND, .engine = egn };
      best_rank = rank;
    }
  return choice;
}

static const char *
service_name (const sim_t *sim, const sim_request_t *request)
{
  return g_intern_string (sim->site->services[request->kind->service].name);
}

static sim_known_load_t *
load_of (const sim_request_t *request)
{
  return &request->gateway->loads[request->kind->service];
}

/* Returns the load of the service as responses reported it, or 0 if the policy does not use it. */
static uint32_t
reported_load_milli (const sim_t *sim, const sim_request_t *request)
{
  bool uses_gauge = sim->options.policy != SIM_PATIENT;

  return uses_gauge ? load_gauge_utilization_milli (&load_of (request)->gauge, sim->now_us) : 0;
}

static bool
is_surge (const sim_t *sim, const sim_request_t *request)
{
  const sim_known_load_t *load = load_of (request);

  return sim->options.policy != SIM_PATIENT &&
         load_gauge_is_surge (&load->gauge, sim->now_us, load->in_flight);
}

static uint32_t
room_draw (const sim_request_t *request)
{
  uint64_t seed[] = { request->queue_item.arrived_us, request->account, request->gateway->index };

  return (uint32_t)(XXH64 (seed, sizeof seed, 0) % 1000);
}

/* Whether the requests of the service wait in the engines' queues, by room_choice.c. */
static bool
has_shared_room (const sim_t *sim, const sim_request_t *request)
{
  return sim->options.policy == SIM_FULL &&
         room_choice_is_scarce (engines_count_open_slots (request->gateway->engines,
                                                          service_name (sim, request), sim->now_us),
                                sim->site->services[request->kind->service].engines,
                                sim->site->gateways);
}

static engine_choice_t
choose_engine (sim_t *sim, const sim_request_t *request)
{
  const GPtrArray *engines =
      engines_of_service (request->gateway->engines, service_name (sim, request));

  if (is_baseline (sim))
    return baseline_choice (sim, request, engines);
  return engine_choice_make (
      engines, sim->now_us,
      &(engine_choice_request_t){
          .holders = request->gateway->holders,
          .has_local_homes = true,
          .shared_parts = request->prefix,
          .affinity = request->prefix,
          .affinity_tokens = request->kind->prefix_tokens,
          .own_data_center = request->gateway->data_center,
          .repeatable = retry_plan_may_move (&request->retry_plan, request->begun),
          .gateways = sim->site->gateways,
          .gateway_hash = request->gateway->index,
          .slot_time_us = wait_queue_run_us (queue_of (request)),
          .usual_head_us = wait_queue_head_us (queue_of (request)),
          .surge = is_surge (sim, request),
          .utilization_milli = reported_load_milli (sim, request),
          .shared_room = sim->options.policy == SIM_FULL,
          .room_account = request->queue_item.fair_entry.account_hash,
          .room_draw = room_draw (request),
          .target_us = request->queue_item.target_us,
          .past_deadline = request->queue_item.waiting && request->queue_item.is_late,
          .tried = request->tried,
          .tried_count = request->tried_count });
}

static sim_engine_t *
find_engine (const sim_t *sim, const engine_t *egn)
{
  for (guint i = 0; i < sim->engines->len; i++)
    {
      sim_engine_t *engine = g_ptr_array_index (sim->engines, i);

      if (g_str_equal (engine->entry.id, egn->entry.id))
        return engine;
    }
  g_assert_not_reached ();
}

static void
leave_queue (sim_t *sim, sim_request_t *request)
{
  if (sim->options.policy == SIM_UNCHARGED)
    wait_queue_remove (queue_of (request), sim->now_us, &request->queue_item);
  else
    wait_queue_start (queue_of (request), sim->now_us, &request->queue_item);
}

static uint64_t
retry_wait_us (const sim_t *sim, const sim_request_t *request)
{
  return retry_budget_wait_us (&request->gateway->retries[request->kind->service],
                               &sim->site->retries, sim->now_us, sim->site->gateways);
}

static void
spend_retry (const sim_t *sim, sim_request_t *request)
{
  if (retry_plan_note_send (&request->retry_plan))
    retry_budget_count_retry (&request->gateway->retries[request->kind->service],
                              &sim->site->retries, sim->now_us);
}

/* Return: the engine that the request's part is copied from, or NULL; none is named to an engine
 * that answered a request for the part a short time ago */
static sim_engine_t *
copy_source (const sim_t *sim, const sim_request_t *request, const engine_choice_t *choice)
{
  if (!sim_has_copies (sim) || !choice->source ||
      recent_answers_contain (request->gateway->cache_warm, sim->now_us,
                              request->prefix ^ choice->engine->hash))
    return NULL;
  return find_engine (sim, choice->source);
}

static void
count_remote (sim_t *sim, const sim_request_t *request, const engine_t *egn)
{
  if (request->kind->service != SITE_MODEL_SERVICE || sim->now_us < sim->measured_from_us ||
      g_str_equal (egn->entry.data_center, request->gateway->data_center))
    return;
  sim->figures.remote_sends++;
  sim->figures.remote_tokens += request->kind->prefix_tokens + request->kind->own_tokens;
}

static void
send_request (sim_t *sim, sim_request_t *request, const engine_choice_t *choice)
{
  engine_t *egn = choice->engine;
  sim_attempt_t *attempt = g_new0 (sim_attempt_t, 1);

  leave_queue (sim, request);
  spend_retry (sim, request);
  *attempt = (sim_attempt_t){ .request = request,
                              .engine = find_engine (sim, egn),
                              .known_engine = egn,
                              .source = copy_source (sim, request, choice),
                              .sent_us = sim->now_us };
  g_ptr_array_add (sim->attempts, attempt);
  request->attempt = attempt;
  request->tried[request->tried_count % SIM_TRIED_MAX] = egn->hash;
  request->tried_count = MIN (request->tried_count + 1, SIM_TRIED_MAX);
  sim->figures.sends++;
  count_remote (sim, request, egn);
  if (request->attempt_count++ > request->retry_plan.unsent)
    g_array_append_val (sim->retry_times[request->kind->service], sim->now_us);
  engine_begin_request (egn, sim->now_us);
  load_of (request)->in_flight++;
  engine_note_probe (egn, sim->now_us);
  sim_engine_accept (sim, attempt);
}

void
sim_send_request (sim_t *sim, sim_request_t *request, engine_t *egn)
{
  engine_choice_t choice = { .action = ENGINE_CHOICE_SEND, .engine = egn };

  send_request (sim, request, &choice);
}

static wait_queue_capacity_t
queue_capacity (const sim_t *sim, const sim_request_t *request)
{
  return (wait_queue_capacity_t){
    .slots = engines_count_open_slots (request->gateway->engines, service_name (sim, request),
                                       sim->now_us),
    .gateways = has_shared_room (sim, request) ? 1 : sim->site->gateways
  };
}

static void
wait_in_queue (sim_t *sim, sim_request_t *request)
{
  wait_queue_capacity_t capacity = queue_capacity (sim, request);
  uint64_t wait_us;

  if (wait_queue_push (queue_of (request), sim->now_us, &capacity, &request->queue_item,
                       &wait_us) != WAIT_QUEUE_QUEUED)
    reject (sim, request, wait_queue_retry_us (queue_of (request), sim->now_us, wait_us));
}

void
sim_place_request (sim_t *sim, sim_request_t *request)
{
  engine_choice_t choice;

  if (sim_ideal_applies (sim, request))
    {
      sim_ideal_place (sim, request);
      return;
    }
  if (has_shared_room (sim, request) && request->attempt_count == 0)
    engines_note_room_request (request->gateway->engines, service_name (sim, request), sim->now_us,
                               request->queue_item.fair_entry.account_hash);
  else if (wait_queue_count_in_time (queue_of (request)) > 0 && request->attempt_count == 0)
    {
      wait_in_queue (sim, request);
      return;
    }
  choice = choose_engine (sim, request);
  if (choice.action == ENGINE_CHOICE_SEND)
    send_request (sim, request, &choice);
  else if (choice.action == ENGINE_CHOICE_WAIT)
    wait_in_queue (sim, request);
  else
    reject (sim, request, CLIENT_RETRY_MIN_US);
}

/** struct start_context - context of may_start(); @choice: for the request of its latest call */
typedef struct
{
  sim_t *sim;
  engine_choice_t choice;
} start_context_t;

static bool
may_start (void *owner, void *context)
{
  const sim_request_t *request = owner;
  start_context_t *start = context;

  if (request->retry_plan.retry_due && retry_wait_us (start->sim, request) > 0)
    return false;
  start->choice = choose_engine (start->sim, request);
  return start->choice.action != ENGINE_CHOICE_WAIT;
}

static void
start_waiting (sim_t *sim, wait_queue_t *queue)
{
  start_context_t context = { .sim = sim };
  sim_request_t *request;

  while ((request = wait_queue_first (queue, may_start, &context)))
    {
      if (context.choice.action == ENGINE_CHOICE_SEND)
        {
          send_request (sim, request, &context.choice);
          continue;
        }
      wait_queue_remove (queue, sim->now_us, &request->queue_item);
      reject (sim, request, CLIENT_RETRY_MIN_US);
    }
}

/** struct retry_context - context of may_retry() */
typedef struct
{
  sim_t *sim;
  sim_request_t *request;
} retry_context_t;

static bool
may_retry (void *context)
{
  const retry_context_t *retry = context;

  return is_baseline (retry->sim) || retry_wait_us (retry->sim, retry->request) == 0;
}

static void
count_early_refusal (sim_t *sim, const sim_request_t *request)
{
  if (remaining_us (sim, request) > request->kind->deadline_us / 2)
    sim->figures.early_refusals++;
}

/* Takes the next step after an attempt that failed with the outcome. */
static void
continue_request (sim_t *sim, sim_request_t *request, retry_plan_outcome_t outcome)
{
  retry_context_t context = { sim, request };
  uint64_t wait_us = retry_wait_us (sim, request);

  switch (retry_plan_next (&request->retry_plan, outcome, remaining_us (sim, request), may_retry,
                           &context))
    {
    case RETRY_PLAN_STEP_RESEND:
    case RETRY_PLAN_STEP_RESUME:
    case RETRY_PLAN_STEP_CONTINUE: /* no engine of the simulation has copies */
      sim_place_request (sim, request);
      return;
    case RETRY_PLAN_STEP_WAIT:
      if (wait_queue_push_delayed (queue_of (request), sim->now_us, &request->queue_item, wait_us))
        return;
      count_early_refusal (sim, request);
      reject (sim, request, wait_us);
      return;
    case RETRY_PLAN_STEP_REJECT:
      count_early_refusal (sim, request);
      reject (sim, request, CLIENT_RETRY_MIN_US);
      return;
    case RETRY_PLAN_STEP_PASS_ON:
    case RETRY_PLAN_STEP_FAIL:
    case RETRY_PLAN_STEP_CUT_OFF:
      sim_finish_request (sim, request, SIM_FAILED);
      return;
    }
}

/* Separates the attempt, which has ended or was abandoned, from its request. The caller removes it
 * from the engine, unless the engine never ran it. */
static sim_request_t *
detach_attempt (sim_attempt_t *attempt)
{
  sim_request_t *request = attempt->request;

  attempt->over = true;
  attempt->request = NULL;
  request->attempt = NULL;
  load_of (request)->in_flight--;
  engine_end_request (attempt->known_engine);
  return request;
}

static void
note_parts (const sim_t *sim, const sim_attempt_t *attempt)
{
  sim_gateway_t *gateway = attempt->request->gateway;
  uint64_t part = attempt->request->prefix;
  uint64_t engine = attempt->known_engine->hash;

  recent_answers_add (gateway->cache_warm, sim->now_us, part ^ engine);
  if (gateway->holders && part_holders_note_answer (gateway->holders, sim->now_us, part, engine))
    part_news_add (gateway->news, part, engine, sim->now_us);
}

void
sim_on_response_head (sim_t *sim, sim_attempt_t *attempt)
{
  sim_request_t *request = attempt->request;
  sim_engine_t *engine = attempt->engine;
  engine_load_t reported;
  bool failed;

  if (attempt->over)
    return;
  failed = engine->mode == ENGINE_FLAKY && random_unit (&sim->random) < 0.5;
  attempt->heard_us = sim->now_us;
  attempt->known_engine->last_byte_us = sim->now_us;
  reported = sim->site->services[engine->service].reports_load_at_start
                 ? attempt->begun_load
                 : sim_engine_reported_load (engine);
  engine_note_load (attempt->known_engine, sim->now_us, &reported);
  load_gauge_add (&load_of (request)->gauge, sim->now_us, reported.running + reported.waiting,
                  reported.slots, load_of (request)->in_flight);
  engine_note_answer (attempt->known_engine, sim->now_us, failed);
  wait_queue_note_head (queue_of (request), sim->now_us - attempt->sent_us);
  if (failed)
    {
      sim_on_response_end (sim, attempt, false, RETRY_PLAN_OUTCOME_FAILED);
      return;
    }
  note_parts (sim, attempt);
  request->begun = request->kind->events > 0;
  if (request->head_us == 0)
    {
      request->head_us = sim->now_us;
      request->waited_us = attempt->begun_us - request->arrived_us;
    }
}

static void
record_duration (sim_t *sim, const sim_attempt_t *attempt)
{
  const site_kind_t *kind = attempt->request->kind;
  uint64_t duration_us = kind->events > 0 ? (sim->now_us - attempt->heard_us) / kind->events
                                          : sim->now_us - attempt->sent_us;

  engine_note_latency (
      attempt->known_engine, sim->now_us,
      median_latency_add (&attempt->request->gateway->paces[kind - sim->site->kinds], duration_us));
}

void
sim_on_response_end (sim_t *sim, sim_attempt_t *attempt, bool whole, retry_plan_outcome_t outcome)
{
  sim_request_t *request;
  wait_queue_t *queue;

  if (attempt->over)
    return;
  sim_engine_remove (sim, attempt);
  if (whole)
    record_duration (sim, attempt);
  if (whole)
    wait_queue_note_run (queue_of (attempt->request), &attempt->request->queue_item,
                         sim->now_us - attempt->sent_us);
  else if (outcome != RETRY_PLAN_OUTCOME_FAILED)
    engine_note_failure (attempt->known_engine, sim->now_us);
  request = detach_attempt (attempt);
  queue = queue_of (request);
  if (whole)
    sim_finish_request (sim, request, SIM_SERVED);
  else
    continue_request (sim, request, outcome);
  start_waiting (sim, queue);
  sim_ideal_dispatch (sim);
}

void
sim_on_refused (sim_t *sim, sim_attempt_t *attempt)
{
  sim_request_t *request;

  if (attempt->over)
    return;
  if (!attempt->reached)
    engine_note_failure (attempt->known_engine, sim->now_us);
  else if (!is_baseline (sim))
    {
      engine_note_full (attempt->known_engine, sim->now_us);
      attempt->request->tried_count--;
    }
  request = detach_attempt (attempt);
  continue_request (sim, request,
                    attempt->reached ? RETRY_PLAN_OUTCOME_FULL : RETRY_PLAN_OUTCOME_UNSENT);
}

void
sim_on_deadline (sim_t *sim, sim_request_t *request)
{
  sim_attempt_t *attempt = request->attempt;
  bool was_waiting = request->queue_item.waiting;

  if (request->over)
    return;
  wait_queue_remove (queue_of (request), sim->now_us, &request->queue_item);
  if (attempt)
    {
      sim_engine_remove (sim, attempt);
      detach_attempt (attempt);
    }
  was_waiting = g_ptr_array_remove (sim->ideal_queue, request) || was_waiting;
  sim_finish_request (sim, request, was_waiting ? SIM_REFUSED : SIM_FAILED);
}

static void
check_timeout (sim_t *sim, sim_request_t *request)
{
  sim_attempt_t *attempt = request->attempt;
  hop_timeout_t timeout;

  if (!attempt || is_baseline (sim))
    return;
  timeout =
      (hop_timeout_t){ .sent_us = attempt->sent_us,
                       .last_byte_us = attempt->heard_us,
                       .engine_last_byte_us = attempt->known_engine->last_byte_us,
                       .prompt_tokens = request->kind->own_tokens + request->kind->prefix_tokens,
                       .usual_us = wait_queue_head_us (queue_of (request)),
                       .time_limit_us = request->queue_item.deadline_us - attempt->sent_us,
                       .engines_full = reported_load_milli (sim, request) >= FULL_MILLI };

  /* A simulated engine that has begun a response always finishes it, except in a crash, which ends
   * the attempt by itself: so only attempts without a response head can time out. */
  if (attempt->heard_us != 0 || !retry_plan_may_move (&request->retry_plan, request->begun) ||
      !hop_timeout_has_expired (&timeout, sim->now_us))
    return;
  engine_note_failure (attempt->known_engine, sim->now_us);
  sim_engine_remove (sim, attempt);
  detach_attempt (attempt);
  continue_request (sim, request, RETRY_PLAN_OUTCOME_UNKNOWN);
}

static void
reject_expired (sim_t *sim, wait_queue_t *queue)
{
  sim_request_t *request;

  while ((request = wait_queue_pop_expired (queue, sim->now_us)))
    {
      wait_queue_capacity_t capacity = queue_capacity (sim, request);
      uint64_t wait_us = wait_queue_wait_us (queue, &capacity, &request->queue_item);

      reject (sim, request, wait_queue_retry_us (queue, sim->now_us, wait_us));
    }
}

/* Tells a random gateway of engines that hold parts. */
static void
tell_parts (sim_t *sim, sim_gateway_t *gateway)
{
  part_news_item_t items[NEWS_PER_MESSAGE];
  uint32_t count = part_news_take (gateway->news, items, NEWS_PER_MESSAGE);
  sim_gateway_t *peer =
      g_ptr_array_index (sim->gateways, random_below (&sim->random, sim->site->gateways));

  if (peer == gateway || random_unit (&sim->random) < LOST_NEWS_SHARE)
    return;
  sim->figures.told_parts += count;
  for (uint32_t i = 0; i < count; i++)
    if (part_holders_note_report (peer->holders, sim->now_us, items[i].part, items[i].engine,
                                  items[i].known_us))
      part_news_add (peer->news, items[i].part, items[i].engine, items[i].known_us);
}

void
sim_on_tick (sim_t *sim, sim_gateway_t *gateway)
{
  uint64_t tick = sim->now_us / TICK_US;

  for (uint32_t i = 0; i < SITE_SERVICES; i++)
    {
      start_waiting (sim, gateway->queues[i]);
      reject_expired (sim, gateway->queues[i]);
    }
  /* A request that ends during the loop is replaced by the last one, which is then checked in the
   * next round. */
  for (guint i = 0; tick % TIMEOUT_CHECK_TICKS == 0 && i < gateway->requests->len; i++)
    check_timeout (sim, g_ptr_array_index (gateway->requests, i));
  if (gateway->news && ++gateway->ticks % NEWS_TICKS == 0 && part_news_count (gateway->news) > 0)
    tell_parts (sim, gateway);
  if (sim->now_us < sim->arrivals_end_us + 20 * (uint64_t)CLOCK_US_PER_S)
    event_queue_add (&sim->events, sim->now_us + TICK_US, EVENT_TICK, gateway->index, NULL);
}
