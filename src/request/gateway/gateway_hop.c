/* One send of a request to an engine, and what came of it. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"

#include <event2/http.h>
#include <string.h>
#include <xxhash.h>

#define STATUS_FAILURE 500
#define EVENT_STREAM "text/event-stream"

static bool
is_event_stream (const struct evkeyvalq *headers)
{
  const char *type = evhttp_find_header (headers, "Content-Type");

  return type && g_ascii_strncasecmp (type, EVENT_STREAM, strlen (EVENT_STREAM)) == 0;
}

static void
let_go (gwy_call_t *call)
{
  egn_t *engine = call->engine;

  call->out = NULL;
  call->engine = NULL;
  if (!engine)
    return;
  egn_end (engine);
  call->service->under_way--;
}

void
gwy_hop_drop (gwy_call_t *call)
{
  if (!call->out)
    return;
  hcl_cancel (call->out);
  call->rly.from = NULL; /* the relay would pause what no longer exists */
  let_go (call);
}

/* Whether the head lets the answer be passed on as a stream of events. */
static bool
may_go_on (const gwy_call_t *call, int status, const struct evkeyvalq *headers)
{
  return status == 200 && is_event_stream (headers) && !call->answer.not_run;
}

static uint64_t
warm_key (const gwy_call_t *call, const egn_t *engine)
{
  return call->shared_parts ^ engine->hash;
}

static void
pass_on_load (const gwy_call_t *call, uint64_t now_us)
{
  const gwy_t *gwy = call->gwy;
  lnw_item_t item = { .engine_hash = call->engine->hash,
                      .load = call->answer.load.running + call->answer.load.waiting,
                      .told_us = now_us };

  if (lnw_is_news (item.load, call->service->mean_milli, SPR_OVERLOAD_FACTOR,
                   SPR_OVERLOAD_MORE_MILLI))
    gwy->options.high_load (&item, gwy->options.context);
}

static void
note_load (gwy_call_t *call, uint64_t now_us)
{
  const egn_load_t *load = &call->answer.load;

  egn_told (call->engine, now_us, load);
  gau_told (&call->service->load, now_us, load->running + load->waiting,
            egn_slots (call->engine, 0), call->service->under_way);
  pass_on_load (call, now_us);
}

/* Each answer says it again: the first one is worth a line that is always written. */
static void
note_own_word (const gwy_call_t *call, uint64_t now_us)
{
  const fmt_answer_t *answer = &call->answer;
  bool is_news = answer->leaving && egs_leaves (call->gwy->options.engines, now_us, call->engine);

  if (!answer->leaving && answer->rest_ms == 0)
    return;
  if (answer->rest_ms > 0)
    egs_rests (call->gwy->options.engines, now_us, call->engine,
               (uint64_t)answer->rest_ms * CLK_US_PER_MS);
  log_event (is_news ? LOG_LEVEL_NOTICE : LOG_LEVEL_INFO, "engine_says", "id", call->id, "engine",
             call->engine->entry.id, "leaving", answer->leaving ? "yes" : "no", "rest_ms",
             LOG_U64 (answer->rest_ms), NULL);
}

static void
note_answer (gwy_call_t *call, int status)
{
  uint64_t now_us = gwy_now_us (call->gwy);

  call->headed_us = now_us;
  call->heard_us = now_us;
  call->events_before = call->evs.count;
  call->engine->heard_us = now_us;
  if (!call->answer.not_run)
    lin_note_head (call->service->line, now_us - call->sent_us);
  if (status == 200)
    prv_answered (call->gwy->warm, now_us, warm_key (call, call->engine));
  lat_add (call->service->heads, now_us - call->sent_us);
  if (call->answer.idle_ms > 0)
    call->engine->idle_ms = call->answer.idle_ms;
  note_own_word (call, now_us);
  if (call->answer.has_load)
    note_load (call, now_us);
  egn_worked (call->engine, now_us, status >= STATUS_FAILURE && !call->answer.not_run);
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  gwy_call_t *call = context;

  call->gwy->options.format->answer (&call->answer, status, headers,
                                     call->id[0] != '\0' ? call->id : NULL);
  if (call->answer.crossed)
    return false;
  call->headed = true;
  note_answer (call, status);
  call->rly.from = call->out;
  if (call->resuming)
    return may_go_on (call, status, headers) || call->answer.not_run;
  if (call->answer.not_run)
    return true;
  call->status = status;
  call->streaming = is_event_stream (headers) && status == 200;
  call->failure_held = false;
  rly_head (&call->rly, call->out, status, headers);
  call->rly.events = false; /* nothing is added to an engine's events */
  /* A failure is held back, as another engine may do better; and what has no length until its end
   * is known to have come whole. */
  if (!call->streaming &&
      (status >= STATUS_FAILURE || !evhttp_find_header (headers, "Content-Length")))
    call->rly.holding = true;
  return true;
}

static void
pass_events (gwy_call_t *call, struct evbuffer *data)
{
  struct evbuffer *whole = evbuffer_new ();

  evs_feed (&call->evs, data, whole);
  if (evbuffer_get_length (whole) > 0)
    rly_data (&call->rly, whole);
  evbuffer_free (whole);
}

static void
on_data (struct evbuffer *data, void *context)
{
  gwy_call_t *call = context;

  call->heard_us = gwy_now_us (call->gwy);
  if (call->engine)
    call->engine->heard_us = call->heard_us;
  if (!call->in || call->answer.not_run)
    evbuffer_drain (data, evbuffer_get_length (data));
  else if (call->streaming)
    pass_events (call, data);
  else
    rly_data (&call->rly, data);
}

/* Of each route its own: what is usual on one is slow on another of the same service. */
static pac_t *
pace_of (const gwy_call_t *call)
{
  gwy_usual_t *usual = gwy_usual (call->gwy, call->route);

  return call->streaming ? &usual->event : &usual->answer;
}

static void
note_run (gwy_call_t *call, uint64_t run_us)
{
  gwy_usual_t *usual = gwy_usual (call->gwy, call->route);

  if (usual->run_us == 0)
    usual->run_us = run_us;
  usual->run_us = (usual->run_us * (GWY_RUN_GAIN - 1) + run_us) / GWY_RUN_GAIN;
  lin_note_run (call->service->line, &call->line, run_us);
}

/* An answer that its caller takes slowly says nothing of the engine; and an event has a time only
 * after another one. */
static void
note_pace (gwy_call_t *call, uint64_t now_us)
{
  uint64_t events = call->evs.count - call->events_before;
  uint64_t took_us;

  if (rly_held_up (&call->rly) || call->held_up || (call->streaming && events < 2))
    return;
  took_us = call->streaming ? (now_us - call->headed_us) / (events - 1) : now_us - call->sent_us;
  egn_paced (call->engine, now_us, pac_sample (pace_of (call), took_us));
}

/* A refusal takes a millisecond: were it measured, a service whose engines refuse many would seem
 * to free its slots at once, and requests would wait for them in vain. */
static void
measure (gwy_call_t *call)
{
  uint64_t now_us = gwy_now_us (call->gwy);

  if (call->answer.not_run)
    return;
  note_run (call, now_us - call->sent_us);
  if (call->status < STATUS_FAILURE)
    note_pace (call, now_us);
}

/*
 * Engines that crashed are back under other ids before their entries lapse. Were the old ones asked
 * on, each refusal would cost a retry, and a request that met three of them would be refused while
 * others were free.
 */
static void
note_refused (gwy_call_t *call, egn_t *engine)
{
  if (call->answer.is_other)
    egn_displaced (engine);
  if (call->answer.is_other || call->tried_count == 0)
    return;
  /* Left out for good, a request whose service has one engine would be refused though it could wait
   * for milliseconds. */
  egn_full (engine, gwy_now_us (call->gwy));
  call->tried_count--;
}

static void
end_refused (gwy_call_t *call)
{
  if (call->answer.is_other)
    gwy_call_outcome (call, CRS_NOT_RUN, VRD_REASON_NO_ENGINE);
  else
    gwy_call_outcome (call, CRS_FULL, VRD_REASON_OVER_BOUND);
}

static bool
is_unsent (const hcl_end_t *end)
{
  return end->verdict == VRD_NOT_RUN && end->reason == VRD_REASON_CONNECT;
}

static void
end_whole (gwy_call_t *call)
{
  if (call->answer.not_run)
    end_refused (call);
  else if (call->streaming && !evs_is_between (&call->evs))
    gwy_call_outcome (call, call->rly.begun ? CRS_BROKE : CRS_UNKNOWN, VRD_REASON_CUT);
  else if (call->status >= STATUS_FAILURE && call->in)
    gwy_call_outcome (call, CRS_FAILED, VRD_REASON_NONE);
  else
    gwy_call_whole (call);
}

static void
end_broken (gwy_call_t *call, const hcl_end_t *end)
{
  bool refused = call->headed && call->answer.not_run;

  if (refused)
    end_refused (call);
  else if (end->verdict == VRD_NOT_RUN)
    gwy_call_outcome (call, is_unsent (end) ? CRS_UNSENT : CRS_NOT_RUN, end->reason);
  else if (call->rly.begun)
    gwy_call_outcome (call, CRS_BROKE, end->reason);
  else
    gwy_call_outcome (call, CRS_UNKNOWN, end->reason);
}

/* A connection that broke may be its engine's crash; one that is refused shows that it is down. */
static void
note_crash (gwy_call_t *call, const hcl_end_t *end)
{
  gwy_t *gwy = call->gwy;
  uint64_t now_us = gwy_now_us (gwy);

  if (is_unsent (end))
    cwt_down (&gwy->crashes, now_us, call->engine->hash);
  else if (end->reason == VRD_REASON_CUT && call->in && !call->answer.crossed)
    cwt_lost (&gwy->crashes, now_us, call->engine->hash, gwy_call_fingerprint (call));
}

static void
note_lost (gwy_call_t *call, const hcl_end_t *end)
{
  uint64_t now_us = gwy_now_us (call->gwy);

  if (is_unsent (end))
    egn_unreachable (call->engine, now_us);
  else
    egn_failed (call->engine, now_us);
}

static void
on_end (const hcl_end_t *end, void *context)
{
  gwy_call_t *call = context;
  gwy_service_t *service = call->service;

  call->rly.from = NULL;
  if (end->whole)
    measure (call);
  else if (!call->headed || !call->answer.not_run)
    note_lost (call, end);
  if (call->headed && call->answer.not_run)
    note_refused (call, call->engine);
  if (!end->whole)
    note_crash (call, end);
  if (!end->whole)
    gwy_call_log (call, "hop_lost", vrd_name (end->verdict), end->reason);
  let_go (call);
  if (end->whole)
    end_whole (call);
  else
    end_broken (call, end);
  gwy_wait_pump (service);
}

static void
lose (gwy_call_t *call, const char *why, vrd_reason_t reason)
{
  gwy_call_log (call, "hop_lost", why, reason);
  gwy_hop_drop (call);
  gwy_call_outcome (call, call->rly.begun ? CRS_BROKE : CRS_UNKNOWN, reason);
}

/*
 * An engine that went dark keeps its connections: nothing breaks and nothing comes. Its callers
 * would wait until their deadlines. The hop is closed first, so that the engine stops if it still
 * works.
 */
void
gwy_hop_watch (gwy_call_t *call)
{
  uint64_t now_us = gwy_now_us (call->gwy);
  ptc_t ptc = { .sent_us = call->sent_us,
                .heard_us = call->heard_us,
                .engine_heard_us = call->engine ? call->engine->heard_us : 0,
                .prompt_tokens = call->request.prompt_tokens,
                .usual_us = lin_head_us (call->service->line),
                .time_us = call->deadline_us - MIN (call->sent_us, call->deadline_us),
                .gap_us = (uint64_t)call->route->gap_ms * CLK_US_PER_MS,
                .full = gau_told_milli (&call->service->load, now_us) >= GWY_FULL_MILLI };

  if (!call->out || !call->in)
    return;
  if (rly_held_up (&call->rly))
    {
      call->held_up = true;
      return;
    }
  if (!crs_may_leave (&call->crs, call->rly.begun) || !ptc_is_lost (&ptc, now_us))
    return;
  egn_failed (call->engine, now_us);
  lose (call, "silent", VRD_REASON_TIMEOUT);
}

void
gwy_hop_restarted (gwy_call_t *call, uint64_t hash)
{
  if (call->out && call->engine->hash == hash)
    lose (call, "restarted", VRD_REASON_CUT);
}

/* Return: how long a kept connection may have been idle, 0 for no limit */
static uint64_t
idle_limit_us (const gwy_call_t *call)
{
  uint64_t stated_us = (uint64_t)call->engine->idle_ms * CLK_US_PER_MS / GWY_FRESH_DIVISOR;

  if (call->route->kind == RTE_IDEMPOTENT || call->crs.rules.resumable)
    return 0;
  return stated_us > 0 ? MIN (stated_us, GWY_FRESH_US) : GWY_FRESH_US;
}

/*
 * Where the parts were just read there is nothing to copy; and a source that has gone dark since
 * makes the request wait.
 */
static void
leave_out_source (const gwy_call_t *call, spr_choice_t *choice)
{
  if (prv_has (call->gwy->warm, gwy_now_us (call->gwy), warm_key (call, choice->engine)))
    choice->source = NULL;
}

/* An account's priority goes before the route's, which orders requests of alike accounts. */
static uint32_t
priority_of (const gwy_call_t *call)
{
  uint32_t own = call->route->priority;
  uint32_t first = call->account && call->account->has_priority ? call->account->priority : own;

  return MIN (first, GWY_PRIORITIES - 1) * GWY_PRIORITIES + MIN (own, GWY_PRIORITIES - 1);
}

static void
begin_hop (gwy_call_t *call, const spr_choice_t *choice)
{
  uint64_t now_us = gwy_now_us (call->gwy);

  call->engine = choice->engine;
  call->tried[call->tried_count % GWY_TRIED] = choice->engine->hash;
  call->tried_count = MIN (call->tried_count + 1, GWY_TRIED);
  call->hops++;
  if (crs_sends (&call->crs))
    rsh_spend (&call->service->retries, &call->gwy->options.retries, now_us);
  call->sent_us = now_us;
  call->headed = false;
  call->held_up = false;
  call->heard_us = 0;
  memset (&call->answer, 0, sizeof call->answer);
  lin_start (call->service->line, now_us, &call->line);
  egn_begin (choice->engine, now_us);
  call->service->under_way++;
  egn_probe (choice->engine, now_us);
}

static void
log_place (const gwy_call_t *call, const spr_choice_t *choice)
{
  const egn_t *engine = choice->engine;
  bool of_peer = engine->news_us > engine->told_us;
  uint64_t told_us = MAX (engine->told_us, engine->news_us);
  uint64_t age_ms = (call->sent_us - MIN (told_us, call->sent_us)) / CLK_US_PER_MS;

  log_event (LOG_LEVEL_INFO, "place", "id", call->id, "service", call->service->name, "engine",
             engine->entry.id, "rank", LOG_U64 (choice->rank), "cache_source",
             choice->source ? choice->source->entry.id : NULL, "load", LOG_U64 (choice->load),
             "mean_milli", LOG_U64 (choice->mean_milli), "load_age_ms",
             told_us ? LOG_U64 (age_ms) : NULL, "load_from",
             told_us ? (of_peer ? "peer" : "engine") : NULL, "candidates",
             LOG_U64 (choice->candidates), "waited_ms",
             LOG_U64 ((call->sent_us - call->arrived_us) / CLK_US_PER_MS), NULL);
}

void
gwy_hop_send (gwy_call_t *call, spr_choice_t *choice)
{
  g_autoptr (GArray) headers = g_array_new (FALSE, FALSE, sizeof (hcl_header_t));
  fmt_text_t text;
  fmt_hop_t hop;

  leave_out_source (call, choice);
  call->service->mean_milli = choice->mean_milli;
  hop = (fmt_hop_t){ .engine_id = choice->engine->entry.id,
                     .account = call->account ? call->account->name : NULL,
                     .cache_source = choice->source ? &choice->source->entry.address : NULL,
                     .priority = priority_of (call),
                     .resumes = call->resuming,
                     .last_event = call->evs.last_id };
  begin_hop (call, choice);
  if (call->hops == 1)
    lat_add (call->service->waits, call->sent_us - call->arrived_us);
  log_place (call, choice);
  hop.left_ms =
      (uint32_t)((call->deadline_us - MIN (call->sent_us, call->deadline_us)) / CLK_US_PER_MS);
  call->gwy->options.format->write (&hop, hsv_headers (call->in), headers, &text);
  call->out = hcl_start (call->gwy->upstreams,
                         &(hcl_options_t){ .address = &choice->engine->entry.address,
                                           .method = hsv_method (call->in),
                                           .target = hsv_target (call->in),
                                           .headers = (const hcl_header_t *)headers->data,
                                           .header_count = headers->len,
                                           .body = call->body,
                                           .body_bytes = call->body_bytes,
                                           .until_close = true,
                                           .idle_limit_us = idle_limit_us (call),
                                           .on_head = on_head,
                                           .on_data = on_data,
                                           .on_end = on_end,
                                           .context = call });
}
