#include "request/router/router_private.h"

#include "base/log.h"

#include <event2/http.h>
#include <string.h>

static void
set_timer (rtr_call_t *call, uint64_t delay_us)
{
  struct timeval delay = { .tv_sec = (time_t)(delay_us / CLK_US_PER_S),
                           .tv_usec = (suseconds_t)(delay_us % CLK_US_PER_S) };

  event_add (call->timer, &delay);
}

/* set_hop_timer() - for the deadline, or before that to see whether the host is frozen */
static void
set_hop_timer (rtr_call_t *call)
{
  uint64_t now_us = ops_now_us (call->rtr->ops);
  uint64_t end_us = call->deadline_us + RTR_DEADLINE_GRACE_US;

  set_timer (call, now_us < end_us ? MIN (end_us - now_us, RTR_QUIET_US) : 0);
}

static uint32_t
parse_u32 (const char *text)
{
  guint64 value;

  if (text == NULL || !g_ascii_string_to_unsigned (text, 10, 0, UINT32_MAX, &value, NULL))
    return 0;
  return (uint32_t)value;
}

static uint64_t
parse_u64 (const char *text)
{
  guint64 value;

  if (text == NULL || !g_ascii_string_to_unsigned (text, 10, 0, UINT64_MAX, &value, NULL))
    return 0;
  return value;
}

/* read_referrals() - those that this router would ask at all */
static void
read_referrals (rtr_call_t *call, const char *names)
{
  rtr_answer_t *answer = &call->answer;
  const rtr_t *rtr = call->rtr;
  g_auto (GStrv) parts = names != NULL ? g_strsplit (names, ",", LIM_REFERRALS + 1) : NULL;

  for (uint32_t i = 0; parts != NULL && parts[i] != NULL && i < LIM_REFERRALS; i++)
    {
      uint64_t hash = plc_hash_name (g_strstrip (parts[i]));

      if (rtr_host (rtr, hash) == NULL || hlt_skipped (rtr->hlt, ops_now_us (rtr->ops), hash))
        continue;
      answer->referrals[answer->referral_count++] = hash;
    }
}

/* is_full() - the engine had no room for it */
static bool
is_full (vrd_reason_t reason)
{
  return reason == VRD_REASON_OVER_BOUND || reason == VRD_REASON_DEADLINE ||
         reason == VRD_REASON_QUEUE_FULL || reason == VRD_REASON_ACCOUNT_SHARE;
}

/* learn_load() - of the engine that answered, for the hops to come */
static void
learn_load (rtr_call_t *call, const char *text)
{
  rtr_t *rtr = call->rtr;
  rtr_loads_t *loads = g_hash_table_lookup (rtr->loads, &call->service->hash);
  uint64_t now_us = ops_now_us (rtr->ops);
  hop_sample_t load;

  if (loads == NULL)
    return;
  if (is_full (call->answer.reason))
    loads->refused_us = now_us;
  if (!hop_load_read (text, &load))
    {
      mean_forget (&loads->table, call->att.last_engine); /* it takes no work now */
      return;
    }
  mean_add (&loads->table, &(mean_sample_t){ .engine_hash = call->att.last_engine,
                                             .service_hash = call->service->hash,
                                             .load = load.load,
                                             .waiting = load.waiting,
                                             .cost = load.cost,
                                             .taken_us = now_us });
}

static void
read_answer (rtr_call_t *call, int status, struct evkeyvalq *headers)
{
  const char *reason = evhttp_find_header (headers, HOP_REASON_HEADER);
  rtr_answer_t *answer = &call->answer;

  answer->came = true;
  rtr_watch_heard (call->rtr, call->att.last_engine);
  answer->status = status;
  answer->verdict = vrd_parse (evhttp_find_header (headers, VRD_HEADER));
  answer->from_engine = answer->verdict == VRD_RAN && reason == NULL;
  answer->reason = reason != NULL ? vrd_reason_parse (reason) : VRD_REASON_NONE;
  answer->retry_after_ms = parse_u32 (evhttp_find_header (headers, HOP_RETRY_AFTER_HEADER));
  learn_load (call, evhttp_find_header (headers, HOP_LOAD_HEADER));
  read_referrals (call, evhttp_find_header (headers, HOP_TRY_HEADER));
  rtr_learn_incarnation (call->rtr, call->att.last_engine,
                         parse_u64 (evhttp_find_header (headers, HOP_INCARNATION_HEADER)));
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  rtr_call_t *call = context;
  const char *engine = evhttp_find_header (headers, HOP_ENGINE_HEADER);

  read_answer (call, status, headers);
  hlt_success (call->rtr->hlt, call->att.last_engine);
  if (!call->answer.from_engine)
    return true;
  rly_head (&call->rly, call->out, status, headers);
  rly_add_header (&call->rly, FLT_REQUEST_HEADER, call->request_text);
  rly_add_header (&call->rly, VRD_HEADER, vrd_name (VRD_RAN));
  if (engine != NULL)
    rly_add_header (&call->rly, HOP_ENGINE_HEADER, engine);
  set_timer (call, RTR_STALL_US);
  return true;
}

static void
on_data (struct evbuffer *data, void *context)
{
  rtr_call_t *call = context;

  if (!call->answer.from_engine)
    {
      evbuffer_drain (data, evbuffer_get_length (data));
      return;
    }
  rly_data (&call->rly, data);
  if (call->rly.begun && !call->att.answer_begun)
    att_answer_begun (&call->att);
  set_timer (call, RTR_STALL_US);
}

/* lost() - the hop broke off, and what that leaves known */
static att_outcome_t
lost (rtr_call_t *call, vrd_t verdict, vrd_reason_t reason)
{
  const rtr_answer_t *answer = &call->answer;

  /* The engine's answer had begun to come: it was passed on, so there is nothing to revoke. */
  if (answer->from_engine)
    return (att_outcome_t){ .verdict = VRD_RAN, .reason = reason };
  hlt_failure (call->rtr->hlt, ops_now_us (call->rtr->ops), call->att.last_engine);
  return (att_outcome_t){ .verdict = verdict, .reason = reason, .lost = verdict != VRD_NOT_RUN };
}

static att_outcome_t
refusal (const rtr_call_t *call)
{
  const rtr_answer_t *answer = &call->answer;

  return (att_outcome_t){ .verdict = answer->verdict,
                          .reason = answer->reason,
                          .retry_after_ms = answer->retry_after_ms,
                          .referrals = answer->referrals,
                          .referral_count = answer->referral_count };
}

static void
on_end (const hcl_end_t *end, void *context)
{
  rtr_call_t *call = context;
  att_outcome_t outcome;

  uwy_end (call->rtr->uwy, call->att.last_engine);
  call->out = NULL;
  call->rly.from = NULL;
  event_del (call->timer);
  if (call->answer.came && !call->answer.from_engine)
    outcome = refusal (call); /* all that counts is in the head */
  else if (end->whole)
    outcome = (att_outcome_t){ .answered = true, .verdict = VRD_RAN };
  else
    outcome = lost (call, end->verdict, end->reason);
  rtr_call_ended (call, &outcome);
}

void
rtr_hop_drop (rtr_call_t *call)
{
  if (call->out != NULL)
    {
      hcl_cancel (call->out);
      uwy_end (call->rtr->uwy, call->att.last_engine);
    }
  call->out = NULL;
  call->rly.from = NULL;
  if (call->timer != NULL)
    event_del (call->timer);
}

void
rtr_hop_timer (evutil_socket_t fd, short what, void *context)
{
  rtr_call_t *call = context;
  att_outcome_t outcome;

  (void)fd;
  (void)what;
  if (call->out == NULL)
    return;
  if (!call->answer.came && ops_now_us (call->rtr->ops) < call->deadline_us + RTR_DEADLINE_GRACE_US)
    {
      rtr_watch_quiet (call);
      set_hop_timer (call);
      return;
    }
  /* A slow caller takes an answer in its own time; whether it takes any is the listener's watch. */
  if (call->rly.begun && rly_held_up (&call->rly))
    {
      set_timer (call, RTR_STALL_US);
      return;
    }
  /* The sidecar may still hold the request in its queue, or in a socket's buffer if it is frozen;
   * nobody waits for the answer any more. */
  if (!call->answer.came)
    rtr_revoke_unheard (call);
  outcome = lost (call, VRD_MAY_HAVE_RUN, VRD_REASON_TIMEOUT);
  rtr_hop_drop (call);
  rtr_call_ended (call, &outcome);
}

/* wants_samples() - first hops carry none as a rule: most requests need no second, and the bytes
 * would be for nothing. But when one was just refused over the bound, the mean may have risen. What
 * was refused for another reason, as a surging account's share, says nothing of the mean. */
static bool
wants_samples (const rtr_call_t *call, const rtr_loads_t *loads, uint64_t now_us)
{
  return (call->att.hops > 1 && call->att.last_reason == VRD_REASON_OVER_BOUND) ||
         now_us < loads->refused_us + RTR_BURST_US;
}

static void
fill_samples (rtr_call_t *call, uint64_t now_us)
{
  rtr_loads_t *loads = g_hash_table_lookup (call->rtr->loads, &call->service->hash);
  mean_sample_t picked[HOP_SAMPLES] = { 0 };
  hop_t *hop = &call->hop;

  hop->sample_count = 0;
  if (loads != NULL && wants_samples (call, loads, now_us))
    hop->sample_count = mean_pick (&loads->table, now_us, picked, HOP_SAMPLES);
  /* Under an overload every request takes four hops: without a limit their loads would be a hundred
   * times all other control traffic. The exchange tells the loads as well, only later. */
  if (!bdg_take (&call->rtr->news_budget, now_us, hop->sample_count * HOP_SAMPLE_BYTES))
    hop->sample_count = 0;
  ops_count_control (call->rtr->ops, hop->sample_count * HOP_SAMPLE_BYTES);
  for (uint32_t i = 0; i < hop->sample_count; i++)
    hop->samples[i] =
        (hop_sample_t){ .engine_hash = picked[i].engine_hash,
                        .load = picked[i].load,
                        .waiting = picked[i].waiting,
                        .cost = picked[i].cost,
                        .age_ms = (uint32_t)((now_us - picked[i].taken_us) / CLK_US_PER_MS) };
}

static void
fill_attempt (rtr_call_t *call, uint64_t now_us)
{
  hop_t *hop = &call->hop;
  uint64_t left_us = call->deadline_us > now_us ? call->deadline_us - now_us : 0;

  hop->attempt[0] = call->request_id[0];
  hop->attempt[1] = call->request_id[1] | call->att.hops;
  hop_attempt_text (hop->attempt, call->attempt_text);
  hop->deadline_ms = (uint32_t)MAX (left_us / CLK_US_PER_MS, 1);
  memcpy (hop->crashed, call->att.crashed, sizeof hop->crashed);
  fill_samples (call, now_us);
}

void
rtr_hop_send (rtr_call_t *call, const mem_host_t *host)
{
  rtr_t *rtr = call->rtr;
  uint64_t now_us = ops_now_us (rtr->ops);
  g_autofree hcl_header_t *headers = g_new (hcl_header_t, call->header_count + HOP_HEADERS);
  hop_header_t hop_headers[HOP_HEADERS];
  hcl_options_t options = { .address = &host->http,
                            .method = call->method,
                            .target = call->target,
                            .headers = headers,
                            .body = call->body,
                            .body_bytes = call->body_bytes,
                            .check_name = HOP_ATTEMPT_HEADER,
                            .check_value = call->attempt_text,
                            .on_head = on_head,
                            .on_data = on_data,
                            .on_end = on_end,
                            .context = call };
  uint32_t hop_count;

  fill_attempt (call, now_us);
  hop_count = hop_write (&call->hop, rtr->dmn->set.fleet_key, hop_headers);
  memcpy (headers, call->headers, call->header_count * sizeof headers[0]);
  for (uint32_t i = 0; i < hop_count; i++)
    headers[call->header_count + i] =
        (hcl_header_t){ .name = hop_headers[i].name, .value = hop_headers[i].value };
  options.header_count = call->header_count + hop_count;
  memset (&call->answer, 0, sizeof call->answer);
  call->sent_us = now_us;
  call->sent_to = host->http;
  call->sent_incarnation = rtr_incarnation (rtr, host->hash);
  hlt_usable (rtr->hlt, now_us, host->hash); /* this may be its one probe */
  cnt_add (rtr->hops, 1);
  set_hop_timer (call);
  uwy_begin (rtr->uwy, host->hash);
  call->out = hcl_start (rtr->hcl, &options);
}
