#include "sim_parts.h"

#include "request/policy/patience.h"

#include <xxhash.h>

#define TICK_US (25 * CLK_US_PER_MS)
#define WATCH_TICKS 4
#define FULL_MILLI 900 /* as GWY_FULL_MILLI */
#define RETRY_MIN_US (100 * CLK_US_PER_MS)
#define RETRY_MAX_US (8000 * CLK_US_PER_MS)

static bool
is_plain (const sim_t *sim)
{
  return sim->options.policy > SIM_PATIENT;
}

sim_gateway_t *
sim_gateway_new (sim_t *sim, uint32_t index)
{
  sim_gateway_t *gateway = g_new0 (sim_gateway_t, 1);

  gateway->index = index;
  gateway->engines = egs_new ();
  gateway->requests = g_ptr_array_new ();
  for (uint32_t i = 0; i < SIT_SERVICES; i++)
    gateway->lines[i] = lin_new ();
  for (guint i = 0; i < sim->engines->len; i++)
    {
      const sim_engine_t *engine = g_ptr_array_index (sim->engines, i);

      egs_put (gateway->engines, sim->now_us, &engine->entry);
    }
  egs_set_complete (gateway->engines);
  evt_add (&sim->events, sim->now_us + TICK_US + rnd_below (&sim->dice, TICK_US), EVENT_TICK, index,
           NULL);
  return gateway;
}

void
sim_gateway_free (gpointer data)
{
  sim_gateway_t *gateway = data;

  for (uint32_t i = 0; i < SIT_SERVICES; i++)
    lin_free (gateway->lines[i]);
  egs_free (gateway->engines);
  g_ptr_array_free (gateway->requests, TRUE);
  g_free (gateway);
}

static lin_t *
line_of (const sim_request_t *request)
{
  return request->gateway->lines[request->kind->service];
}

static uint64_t
left_us (const sim_t *sim, const sim_request_t *request)
{
  uint64_t deadline_us = request->line.deadline_us;

  return deadline_us > sim->now_us ? deadline_us - sim->now_us : 0;
}

static void
refuse (sim_t *sim, sim_request_t *request, uint64_t wait_us)
{
  uint64_t back_us = sim->now_us + CLAMP (wait_us, RETRY_MIN_US, RETRY_MAX_US);

  if (request->begun || request->crs.ran > 0)
    {
      sim_finish (sim, request, SIM_FAILED);
      return;
    }
  if (request->returned || back_us >= request->line.deadline_us)
    {
      sim_finish (sim, request, SIM_REFUSED);
      return;
    }
  request->returned = true;
  evt_add (&sim->events, back_us, EVENT_RETURN, 0, request);
}

static bool
was_tried (const sim_request_t *request, const egn_t *egn)
{
  for (uint32_t i = 0; i < request->tried_count; i++)
    if (request->tried[i] == egn->hash)
      return true;
  return false;
}

static uint64_t
plain_rank (sim_t *sim, const sim_request_t *request, const egn_t *egn)
{
  uint64_t dice = rnd_next (&sim->dice) >> 16;

  if (sim->options.policy == SIM_LEAST)
    return ((UINT64_C (1) << 62) - ((uint64_t)egn->own << 48)) + dice;
  if (sim->options.policy == SIM_HASH && request->part != 0)
    return XXH64 (&egn->hash, sizeof egn->hash, request->part);
  return dice;
}

/* The best by its rank among the open ones that it has not been sent to. */
static spr_choice_t
plain_choice (sim_t *sim, const sim_request_t *request, const GPtrArray *engines)
{
  spr_choice_t choice = { .action = SPR_NONE };
  uint64_t best = 0;

  for (guint i = 0; i < engines->len; i++)
    {
      egn_t *egn = g_ptr_array_index (engines, i);
      uint64_t rank = plain_rank (sim, request, egn);

      if (!egn_is_open (egn) || was_tried (request, egn) || (choice.engine && rank <= best))
        continue;
      choice = (spr_choice_t){ .action = SPR_SEND, .engine = egn };
      best = rank;
    }
  return choice;
}

static const char *
service_of (const sim_t *sim, const sim_request_t *request)
{
  return g_intern_string (sim->site->services[request->kind->service].name);
}

static sim_load_t *
load_of (const sim_request_t *request)
{
  return &request->gateway->loads[request->kind->service];
}

static uint32_t
told_milli (const sim_t *sim, const sim_request_t *request)
{
  bool known = sim->options.policy != SIM_PATIENT;

  return known ? gau_told_milli (&load_of (request)->gauge, sim->now_us) : 0;
}

static bool
is_surge (const sim_t *sim, const sim_request_t *request)
{
  const sim_load_t *load = load_of (request);

  return sim->options.policy != SIM_PATIENT && gau_is_surge (&load->gauge, sim->now_us, load->own);
}

static spr_choice_t
choose (sim_t *sim, const sim_request_t *request)
{
  const GPtrArray *engines = egs_list (request->gateway->engines, service_of (sim, request));
  char data_center[16];

  if (is_plain (sim))
    return plain_choice (sim, request, engines);
  g_snprintf (data_center, sizeof data_center, "hall-%u",
              request->gateway->index % sim->site->data_centers);
  return spr_choose (engines, sim->now_us,
                     &(spr_request_t){ .affinity = request->part,
                                       .affinity_tokens = request->kind->shared_tokens,
                                       .data_center = data_center,
                                       .repeatable = crs_may_leave (&request->crs, request->begun),
                                       .gateways = sim->site->gateways,
                                       .gateway_hash = request->gateway->index,
                                       .run_us = lin_run_us (line_of (request)),
                                       .head_us = lin_head_us (line_of (request)),
                                       .surge = is_surge (sim, request),
                                       .told_milli = told_milli (sim, request),
                                       .late = request->line.waiting && request->line.late,
                                       .tried = request->tried,
                                       .tried_count = request->tried_count });
}

static sim_engine_t *
engine_of (const sim_t *sim, const egn_t *egn)
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
start (sim_t *sim, sim_request_t *request)
{
  if (sim->options.policy == SIM_UNCHARGED)
    lin_remove (line_of (request), sim->now_us, &request->line);
  else
    lin_start (line_of (request), sim->now_us, &request->line);
}

static uint64_t
retry_wait_us (const sim_t *sim, const sim_request_t *request)
{
  return rsh_wait_us (&request->gateway->retries[request->kind->service], &sim->site->retries,
                      sim->now_us, sim->site->gateways);
}

static void
note_retry (const sim_t *sim, sim_request_t *request)
{
  if (crs_sends (&request->crs))
    rsh_spend (&request->gateway->retries[request->kind->service], &sim->site->retries,
               sim->now_us);
}

static void
send_to (sim_t *sim, sim_request_t *request, egn_t *egn)
{
  sim_send_t *sent = g_new0 (sim_send_t, 1);

  start (sim, request);
  note_retry (sim, request);
  *sent = (sim_send_t){
    .request = request, .engine = engine_of (sim, egn), .egn = egn, .sent_us = sim->now_us
  };
  g_ptr_array_add (sim->sends, sent);
  request->send = sent;
  request->tried[request->tried_count % SIM_TRIED] = egn->hash;
  request->tried_count = MIN (request->tried_count + 1, SIM_TRIED);
  sim->figures.sends++;
  if (request->hops++ > request->crs.unsent)
    g_array_append_val (sim->retry_times[request->kind->service], sim->now_us);
  egn_begin (egn, sim->now_us);
  load_of (request)->own++;
  egn_probe (egn, sim->now_us);
  sim_engine_take (sim, sent);
}

static lin_room_t
room_of (const sim_t *sim, const sim_request_t *request)
{
  return (lin_room_t){ .slots = egs_open_slots (request->gateway->engines,
                                                service_of (sim, request), sim->now_us),
                       .gateways = sim->site->gateways };
}

static void
keep_waiting (sim_t *sim, sim_request_t *request)
{
  lin_room_t room = room_of (sim, request);
  uint64_t wait_us;

  if (lin_push (line_of (request), sim->now_us, &room, &request->line, &wait_us) != LIN_WAITS)
    refuse (sim, request, lin_retry_us (line_of (request), sim->now_us, wait_us));
}

void
sim_place (sim_t *sim, sim_request_t *request)
{
  spr_choice_t choice;

  if (lin_count_in_time (line_of (request)) > 0 && request->hops == 0)
    {
      keep_waiting (sim, request);
      return;
    }
  choice = choose (sim, request);
  if (choice.action == SPR_SEND)
    send_to (sim, request, choice.engine);
  else if (choice.action == SPR_WAIT)
    keep_waiting (sim, request);
  else
    refuse (sim, request, RETRY_MIN_US);
}

/** struct pick - context of may_start(); @choice: for the request that it was asked for last */
typedef struct
{
  sim_t *sim;
  spr_choice_t choice;
} pick_t;

static bool
may_start (void *owner, void *context)
{
  const sim_request_t *request = owner;
  pick_t *pick = context;

  if (request->crs.retry_due && retry_wait_us (pick->sim, request) > 0)
    return false;
  pick->choice = choose (pick->sim, request);
  return pick->choice.action != SPR_WAIT;
}

static void
pump (sim_t *sim, lin_t *line)
{
  pick_t pick = { .sim = sim };
  sim_request_t *request;

  while ((request = lin_first (line, may_start, &pick)))
    {
      if (pick.choice.action == SPR_SEND)
        {
          send_to (sim, request, pick.choice.engine);
          continue;
        }
      lin_remove (line, sim->now_us, &request->line);
      refuse (sim, request, RETRY_MIN_US);
    }
}

/** struct asking - context of may_retry() */
typedef struct
{
  sim_t *sim;
  sim_request_t *request;
} asking_t;

static bool
may_retry (void *context)
{
  const asking_t *asking = context;

  return is_plain (asking->sim) || retry_wait_us (asking->sim, asking->request) == 0;
}

static void
note_early (sim_t *sim, const sim_request_t *request)
{
  if (left_us (sim, request) > request->kind->deadline_us / 2)
    sim->figures.early_refusals++;
}

static void
go_on (sim_t *sim, sim_request_t *request, crs_outcome_t outcome)
{
  asking_t asking = { sim, request };
  uint64_t wait_us = retry_wait_us (sim, request);

  switch (crs_next (&request->crs, outcome, left_us (sim, request), may_retry, &asking))
    {
    case CRS_AGAIN:
    case CRS_RESUME:
      sim_place (sim, request);
      return;
    case CRS_WAIT:
      if (lin_push_behind (line_of (request), sim->now_us, &request->line, wait_us))
        return;
      note_early (sim, request);
      refuse (sim, request, wait_us);
      return;
    case CRS_REFUSE:
      note_early (sim, request);
      refuse (sim, request, RETRY_MIN_US);
      return;
    case CRS_PASS:
    case CRS_FAIL:
    case CRS_CUT:
      sim_finish (sim, request, SIM_FAILED);
      return;
    }
}

/* The send is over for its request; it may run on at its engine, which never happens here. */
static sim_request_t *
let_go (sim_send_t *send)
{
  sim_request_t *request = send->request;

  send->over = true;
  send->request = NULL;
  request->send = NULL;
  load_of (request)->own--;
  egn_end (send->egn);
  return request;
}

void
sim_on_head (sim_t *sim, sim_send_t *send)
{
  sim_request_t *request = send->request;
  sim_engine_t *engine = send->engine;
  egn_load_t told;
  bool failed;

  if (send->over)
    return;
  failed = engine->mode == ENGINE_GREY && rnd_unit (&sim->dice) < 0.5;
  send->heard_us = sim->now_us;
  send->egn->heard_us = sim->now_us;
  told = sim->site->services[engine->service].tells_begin ? send->begun_load
                                                          : sim_engine_told (engine);
  egn_told (send->egn, sim->now_us, &told);
  gau_told (&load_of (request)->gauge, sim->now_us, told.running + told.waiting, told.slots,
            load_of (request)->own);
  egn_worked (send->egn, sim->now_us, failed);
  lin_note_head (line_of (request), sim->now_us - send->sent_us);
  if (failed)
    {
      sim_on_end (sim, send, false, CRS_FAILED);
      return;
    }
  request->begun = request->kind->events > 0;
  if (request->head_us == 0)
    request->head_us = sim->now_us;
}

static void
note_pace (sim_t *sim, const sim_send_t *send)
{
  const sit_kind_t *kind = send->request->kind;
  uint64_t took_us = kind->events > 0 ? (sim->now_us - send->heard_us) / kind->events
                                      : sim->now_us - send->sent_us;

  egn_paced (send->egn, sim->now_us,
             pac_sample (&send->request->gateway->paces[kind - sim->site->kinds], took_us));
}

void
sim_on_end (sim_t *sim, sim_send_t *send, bool whole, crs_outcome_t outcome)
{
  sim_request_t *request;
  lin_t *line;

  if (send->over)
    return;
  sim_engine_drop (sim, send);
  if (whole)
    note_pace (sim, send);
  if (whole)
    lin_note_run (line_of (send->request), &send->request->line, sim->now_us - send->sent_us);
  else if (outcome != CRS_FAILED)
    egn_failed (send->egn, sim->now_us);
  request = let_go (send);
  line = line_of (request);
  if (whole)
    sim_finish (sim, request, SIM_SERVED);
  else
    go_on (sim, request, outcome);
  pump (sim, line);
}

void
sim_on_refused (sim_t *sim, sim_send_t *send)
{
  sim_request_t *request;

  if (send->over)
    return;
  if (!send->reached)
    egn_failed (send->egn, sim->now_us);
  else if (!is_plain (sim))
    {
      egn_full (send->egn, sim->now_us);
      send->request->tried_count--;
    }
  request = let_go (send);
  go_on (sim, request, send->reached ? CRS_FULL : CRS_UNSENT);
}

void
sim_on_deadline (sim_t *sim, sim_request_t *request)
{
  sim_send_t *send = request->send;
  bool waiting = request->line.waiting;

  if (request->over)
    return;
  lin_remove (line_of (request), sim->now_us, &request->line);
  if (send)
    {
      sim_engine_drop (sim, send);
      let_go (send);
    }
  sim_finish (sim, request, waiting ? SIM_REFUSED : SIM_FAILED);
}

static void
watch_send (sim_t *sim, sim_request_t *request)
{
  sim_send_t *send = request->send;
  ptc_t ptc;

  if (!send || is_plain (sim))
    return;
  ptc = (ptc_t){ .sent_us = send->sent_us,
                 .heard_us = send->heard_us,
                 .engine_heard_us = send->egn->heard_us,
                 .prompt_tokens = request->kind->own_tokens + request->kind->shared_tokens,
                 .usual_us = lin_head_us (line_of (request)),
                 .time_us = request->line.deadline_us - send->sent_us,
                 .full = told_milli (sim, request) >= FULL_MILLI };

  /* An engine that has begun an answer here ends it, but for a crash, which breaks it. */
  if (send->heard_us != 0 || !crs_may_leave (&request->crs, request->begun) ||
      !ptc_is_lost (&ptc, sim->now_us))
    return;
  egn_failed (send->egn, sim->now_us);
  sim_engine_drop (sim, send);
  let_go (send);
  go_on (sim, request, CRS_UNKNOWN);
}

static void
expire (sim_t *sim, lin_t *line)
{
  sim_request_t *request;

  while ((request = lin_expired (line, sim->now_us)))
    {
      lin_room_t room = room_of (sim, request);
      uint64_t wait_us = lin_wait_us (line, &room, &request->line);

      refuse (sim, request, lin_retry_us (line, sim->now_us, wait_us));
    }
}

void
sim_on_tick (sim_t *sim, sim_gateway_t *gateway)
{
  uint64_t tick = sim->now_us / TICK_US;

  for (uint32_t i = 0; i < SIT_SERVICES; i++)
    {
      pump (sim, gateway->lines[i]);
      expire (sim, gateway->lines[i]);
    }
  /* One that ends meanwhile changes places with the last, which is looked at the next time. */
  for (guint i = 0; tick % WATCH_TICKS == 0 && i < gateway->requests->len; i++)
    watch_send (sim, g_ptr_array_index (gateway->requests, i));
  if (sim->now_us < SIM_END_US + 20 * (uint64_t)CLK_US_PER_S)
    evt_add (&sim->events, sim->now_us + TICK_US, EVENT_TICK, gateway->index, NULL);
}
