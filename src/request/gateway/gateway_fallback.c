/* The hop to a silent engine that stays open while the request is tried at the engine that was to
 * have the copy of its run. Only that engine knows whether it has one: if not, the run goes on
 * where it is. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"

#include <string.h>

static void
save_call (gateway_fallback_t *fallback, const gateway_call_t *call)
{
  fallback->upstream = call->upstream;
  fallback->engine = call->engine;
  fallback->is_broken = false;
  fallback->copy_engine = call->copy_engine;
  fallback->copy = call->copy;
  fallback->course = call->course;
  fallback->splitter = call->splitter;
  fallback->belief = call->belief;
  memcpy (fallback->tried, call->tried, sizeof fallback->tried);
  fallback->tried_count = call->tried_count;
  fallback->response = call->response;
  fallback->has_head = call->has_head;
  fallback->is_framed = call->is_framed;
  fallback->resuming = call->resuming;
  fallback->is_written_long = call->is_written_long;
  fallback->is_refusal_unproven = call->is_refusal_unproven;
  fallback->has_continued = call->has_continued;
  fallback->sent_us = call->sent_us;
  fallback->head_us = call->head_us;
  fallback->first_data_us = call->first_data_us;
  fallback->last_byte_us = call->last_byte_us;
  fallback->events_before_head = call->events_before_head;
  fallback->dropped_bytes = call->dropped_bytes;
}

static void
restore_call (gateway_call_t *call, const gateway_fallback_t *fallback)
{
  call->upstream = fallback->upstream;
  call->engine = fallback->engine;
  call->copy_engine = fallback->copy_engine;
  call->copy = fallback->copy;
  call->course = fallback->course;
  call->splitter = fallback->splitter;
  call->belief = fallback->belief;
  memcpy (call->tried, fallback->tried, sizeof call->tried);
  call->tried_count = fallback->tried_count;
  call->response = fallback->response;
  call->has_head = fallback->has_head;
  call->is_framed = fallback->is_framed;
  call->resuming = fallback->resuming;
  call->is_written_long = fallback->is_written_long;
  call->is_refusal_unproven = fallback->is_refusal_unproven;
  call->has_continued = fallback->has_continued;
  call->sent_us = fallback->sent_us;
  call->head_us = fallback->head_us;
  call->first_data_us = fallback->first_data_us;
  call->last_byte_us = fallback->last_byte_us;
  call->events_before_head = fallback->events_before_head;
  call->dropped_bytes = fallback->dropped_bytes;
}

/* The other engine gets a splitter of its own: a part of an event that has come stays with the
 * fallback. */
static void
copy_splitter (gateway_call_t *call)
{
  const event_splitter_t *before = &call->fallback.splitter;

  event_splitter_init (&call->splitter, before->first_field, before->start_id);
  call->splitter.last_id = before->last_id;
  call->splitter.event_count = before->event_count;
}

bool
gateway_fallback_keep (gateway_call_t *call)
{
  g_assert (!call->fallback.engine);
  if (http_client_has_ended (call->upstream))
    return false;
  save_call (&call->fallback, call);
  copy_splitter (call);
  call->hop_contexts[call->hop_index].is_fallback = true;
  call->hop_index = 1 - call->hop_index;
  call->relay.from = NULL;
  call->upstream = NULL;
  call->engine = NULL;
  http_client_set_paused (call->fallback.upstream, true);
  return true;
}

static void
resume (gateway_call_t *call)
{
  event_splitter_clear (&call->splitter);
  restore_call (call, &call->fallback);
  call->fallback = (gateway_fallback_t){ 0 };
  call->move_checked_us = gateway_now_us (call->gateway);
  call->hop_index = 1 - call->hop_index;
  call->hop_contexts[call->hop_index].is_fallback = false;
  call->relay.from = call->has_head ? call->upstream : NULL;
  http_client_set_paused (call->upstream, call->relay.client_blocked);
}

bool
gateway_fallback_use (gateway_call_t *call, bool has_copy)
{
  g_assert (call->fallback.engine && !call->upstream);
  if (!call->fallback.upstream || call->fallback.is_broken)
    {
      gateway_fallback_drop (call);
      return false;
    }
  resume (call);
  retry_plan_set_copy (&call->course, has_copy);
  return true;
}

void
gateway_fallback_cancel (gateway_call_t *call)
{
  gateway_fallback_t *fallback = &call->fallback;

  if (!fallback->engine)
    return;
  if (fallback->upstream)
    http_client_cancel_call (fallback->upstream);
  event_splitter_clear (&fallback->splitter);
  gateway_hop_release (call, fallback->engine);
  *fallback = (gateway_fallback_t){ 0 };
}

void
gateway_fallback_drop (gateway_call_t *call)
{
  uint64_t now_us = gateway_now_us (call->gateway);
  engine_t *engine = call->fallback.engine;

  if (!engine)
    return;
  log_event (LOG_LEVEL_INFO, "hop_lost", "id", call->id, "engine", engine->entry.id, "outcome",
             "silent", "reason", verdict_reason_to_string (VERDICT_REASON_TIMEOUT), "hops",
             LOG_U64 (call->hops), NULL);
  gateway_copies_note_break (call, engine);
  engine_note_silence (engine, now_us);
  gateway_hop_note_left (call, engine, now_us);
  retry_plan_note_given_up (&call->course);
  gateway_fallback_cancel (call);
}

void
gateway_fallback_note_end (gateway_call_t *call)
{
  gateway_copies_note_break (call, call->fallback.engine);
  engine_note_failure (call->fallback.engine, gateway_now_us (call->gateway));
  call->fallback.upstream = NULL;
  gateway_fallback_cancel (call);
}

/* The current hop has a head only if that refuses the request. A connection that is not made yet
 * has a limit of its own. */
void
gateway_fallback_check (gateway_call_t *call, uint64_t now_us)
{
  if (!call->fallback.engine || now_us < call->sent_us + GATEWAY_FALLBACK_US ||
      http_client_has_ended (call->upstream) || !http_client_may_have_sent (call->upstream))
    return;
  if (!call->has_head)
    {
      gateway_fallback_drop (call);
      return;
    }
  gateway_hop_cancel_current (call);
  if (!gateway_fallback_use (call, false))
    gateway_call_hop_ended (call, RETRY_PLAN_OUTCOME_NOT_RUN, VERDICT_REASON_NO_ENGINE);
}
