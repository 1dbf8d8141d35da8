/* Requests, and parts of their prompts, under which engines end: losses, and who may be sent. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"

#include <string.h>
#include <xxhash.h>

#define STATUS_SUCCESS_MIN 200
#define STATUS_SUCCESS_MAX 299
#define LOGGED_PARTS 16

static uint64_t
hash_text (uint64_t hash, const char *text)
{
  return XXH64 (text, strlen (text) + 1, hash);
}

static uint64_t
hash_body (struct evbuffer *body, uint64_t seed)
{
  int count = evbuffer_peek (body, -1, NULL, NULL, 0);
  g_autofree struct evbuffer_iovec *parts = g_new0 (struct evbuffer_iovec, (gsize)count);
  XXH64_state_t *state = XXH64_createState ();
  uint64_t hash;

  XXH64_reset (state, seed);
  evbuffer_peek (body, -1, NULL, parts, count);
  for (int i = 0; i < count; i++)
    XXH64_update (state, parts[i].iov_base, parts[i].iov_len);
  hash = XXH64_digest (state);
  XXH64_freeState (state);
  return hash;
}

/* Computed for each request, so the hash has to be cheap. Its seed is the fleet key, a secret that
 * all gateways share, so that no client can craft a request with the hash of another one. */
static uint64_t
hash_request (const gateway_call_t *call, uint64_t seed)
{
  uint64_t hash = hash_text (seed, call->account ? call->account->name : "");

  hash = hash_text (hash, http_server_method (call->client));
  hash = hash_text (hash, http_server_target (call->client));
  return hash_body (call->body, hash);
}

/* A part ends the engines of a service whoever sends it. */
static uint64_t
hash_part (const gateway_call_t *call, uint64_t seed, uint64_t part)
{
  return XXH64 (&part, sizeof part, hash_text (seed, call->service->name));
}

void
gateway_suspect_init (gateway_call_t *call)
{
  uint64_t seed = hash_text (0, call->gateway->options.settings->fleet_key);

  call->subjects = g_new (crash_subject_t, MAX (call->request.part_count, 1U));
  call->subjects[0] = (crash_subject_t){ hash_request (call, seed), CRASH_SUBJECT_REQUEST };
  call->subject_count = 1;
  for (uint32_t i = 0; i + 1 < call->request.part_count; i++)
    call->subjects[call->subject_count++] =
        (crash_subject_t){ hash_part (call, seed, call->request.parts[i].hash),
                           CRASH_SUBJECT_PART };
}

static bool
is_subject_on_trial (const gateway_call_t *call, uint32_t index)
{
  return crash_record_count_crashes (call->gateway->options.crashes,
                                     call->subjects[index].fingerprint) >=
         CRASH_RECORD_TRIAL_CRASHES;
}

bool
gateway_suspect_is_on_trial (const gateway_call_t *call)
{
  for (uint32_t i = 0; i < call->subject_count; i++)
    if (is_subject_on_trial (call, i))
      return true;
  return false;
}

uint32_t
gateway_suspect_exclude_trials (const gateway_call_t *call, uint64_t *excluded, uint32_t count)
{
  GHashTableIter iter;
  gpointer key;

  if (crash_record_is_empty (call->gateway->options.crashes))
    return count;
  g_hash_table_iter_init (&iter, call->gateway->calls);
  while (count < GATEWAY_EXCLUDED_MAX && g_hash_table_iter_next (&iter, &key, NULL))
    {
      const gateway_call_t *other = key;

      if (other != call && other->upstream && gateway_suspect_is_on_trial (other))
        excluded[count++] = other->engine->hash;
    }
  return count;
}

static bool
has_subject (const gateway_call_t *call, uint64_t fingerprint)
{
  for (uint32_t i = 0; i < call->subject_count; i++)
    if (call->subjects[i].fingerprint == fingerprint)
      return true;
  return false;
}

static bool
is_other_running (const gateway_call_t *call, uint64_t fingerprint)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, call->gateway->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const gateway_call_t *other = key;

      if (other != call && other->upstream && has_subject (other, fingerprint))
        return true;
    }
  return false;
}

static const char *
kind_to_string (crash_subject_kind_t kind)
{
  return kind == CRASH_SUBJECT_PART ? "part" : "request";
}

static void
log_suspect (const gateway_call_t *call, const crash_subject_t *subject, const char *outcome)
{
  uint32_t crashes =
      crash_record_count_crashes (call->gateway->options.crashes, subject->fingerprint);

  log_event (LOG_LEVEL_NOTICE, "suspect", "id", call->id, "fingerprint",
             LOG_HEX (subject->fingerprint), "of", kind_to_string (subject->kind), "outcome",
             outcome, "crashes", LOG_U64 (crashes), NULL);
}

/* Without Retry-After: another attempt would end one more engine, with all requests there. */
static void
reject (gateway_call_t *call)
{
  counter_add (call->gateway->refused, 1);
  gateway_call_log_failure (call, "refuse", "final", VERDICT_REASON_SUSPECT);
  error_reply_send (call->client, &(error_reply_t){ .reason = VERDICT_REASON_SUSPECT,
                                                    .verdict = VERDICT_NOT_RUN });
  gateway_call_free (call);
}

/** enum step - what becomes of a request as far as one subject is concerned */
typedef enum
{
  STEP_SEND,
  STEP_WAIT, /* what another request shows of the part decides */
  STEP_REFUSE
} step_t;

static crash_record_verdict_t
check_subject (const gateway_call_t *call, const crash_subject_t *subject)
{
  const gateway_task_t *gateway = call->gateway;

  return crash_record_check (gateway->options.crashes, gateway_now_us (gateway),
                             subject->fingerprint);
}

static uint32_t
count_refused (const gateway_call_t *call)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < call->subject_count; i++)
    count += check_subject (call, &call->subjects[i]) >= CRASH_RECORD_PENDING ? 1 : 0;
  return count;
}

static step_t
try_again (const gateway_call_t *call, const crash_subject_t *subject)
{
  gateway_task_t *gateway = call->gateway;
  uint64_t now_us = gateway_now_us (gateway);
  bool was_due =
      crash_record_is_retrial_due (gateway->options.crashes, now_us, subject->fingerprint);
  crash_record_claim_t claim = crash_record_claim_retrial (
      gateway->options.crashes, now_us,
      &(crash_record_candidate_t){ .fingerprint = subject->fingerprint,
                                   .request = call->subjects[0].fingerprint,
                                   .others = count_refused (call) - 1,
                                   .gateway_hash = gateway->name_hash,
                                   .gateways = gateway->known_routers });

  if (claim == CRASH_RECORD_CLAIM_NONE)
    return STEP_REFUSE;
  if (claim == CRASH_RECORD_CLAIM_WAIT)
    {
      if (was_due)
        gateway->options.on_crashes (gateway->options.context);
      return STEP_WAIT;
    }
  if (!is_other_running (call, subject->fingerprint))
    {
      counter_add (gateway->part_retrials, 1);
      log_suspect (call, subject, "tried_again");
    }
  return STEP_SEND;
}

static void
confirm (const gateway_call_t *call, const crash_subject_t *subject)
{
  crash_record_t *crashes = call->gateway->options.crashes;

  if (!crash_record_needs_confirmation (crashes, subject->fingerprint) ||
      !answered_parts_lack (&call->service->answered, subject->fingerprint))
    return;
  crash_record_confirm (crashes, subject->fingerprint);
  log_suspect (call, subject, "confirmed");
  call->gateway->options.on_crashes (call->gateway->options.context);
}

static step_t
decide (const gateway_call_t *call, const crash_subject_t *subject)
{
  bool is_part = subject->kind == CRASH_SUBJECT_PART;

  confirm (call, subject);
  switch (check_subject (call, subject))
    {
    case CRASH_RECORD_ALLOWED:
      return STEP_SEND;
    case CRASH_RECORD_ON_TRIAL:
      if (!is_other_running (call, subject->fingerprint))
        return STEP_SEND;
      return is_part ? STEP_WAIT : STEP_REFUSE;
    case CRASH_RECORD_PENDING:
    case CRASH_RECORD_REFUSED:
      return is_part ? try_again (call, subject) : STEP_REFUSE;
    }
  g_assert_not_reached ();
}

/* Return: the first subject for which the request may not be sent now; NULL if it may */
static const crash_subject_t *
find_obstacle (const gateway_call_t *call, step_t *step)
{
  for (uint32_t i = 0; i < call->subject_count; i++)
    {
      *step = decide (call, &call->subjects[i]);
      if (*step != STEP_SEND)
        return &call->subjects[i];
    }
  return NULL;
}

static void
refuse (gateway_call_t *call, const crash_subject_t *subject, crash_record_verdict_t verdict)
{
  static const char *const outcomes[] = { [CRASH_RECORD_ON_TRIAL] = "copy_on_trial",
                                          [CRASH_RECORD_PENDING] = "pending",
                                          [CRASH_RECORD_REFUSED] = "refused" };
  bool is_part = subject->kind == CRASH_SUBJECT_PART;
  bool is_refused = verdict == CRASH_RECORD_REFUSED;

  counter_add (call->gateway->suspect_refused, 1);
  counter_add (call->gateway->part_refused, is_part ? 1 : 0);
  log_suspect (call, subject, outcomes[verdict]);
  if (call->queue_item.waiting)
    gateway_queue_remove (call);
  if (is_refused && !is_part && call->course.ran == 0 && !call->relay.has_started)
    reject (call);
  else
    gateway_call_fail (call, VERDICT_REASON_SUSPECT,
                       is_refused ? GATEWAY_RETRY_PART_MS : GATEWAY_RETRY_SUSPECT_MS);
}

static bool
may_wait (const gateway_call_t *call)
{
  if (call->held_us != 0)
    return gateway_now_us (call->gateway) < call->held_us + GATEWAY_HELD_US;
  return call->gateway->held_count < GATEWAY_HELD_MAX;
}

/* Return: whether it waits in the queue of its service */
static bool
hold (gateway_call_t *call, const crash_subject_t *subject)
{
  if (!may_wait (call) || (!call->queue_item.waiting && !gateway_queue_for_trial (call)))
    return false;
  if (call->held_us == 0)
    {
      call->held_us = gateway_now_us (call->gateway);
      call->gateway->held_count++;
      log_suspect (call, subject, "waits");
    }
  return true;
}

void
gateway_suspect_leave (gateway_call_t *call)
{
  if (call->held_us != 0)
    call->gateway->held_count--;
  call->held_us = 0;
}

bool
gateway_suspect_must_wait (const gateway_call_t *call)
{
  step_t step;

  return call->held_us != 0 && may_wait (call) && find_obstacle (call, &step) && step == STEP_WAIT;
}

bool
gateway_suspect_stop (gateway_call_t *call)
{
  step_t step;
  const crash_subject_t *obstacle = find_obstacle (call, &step);

  if (obstacle && step == STEP_WAIT && hold (call, obstacle))
    return true;
  gateway_suspect_leave (call);
  if (!obstacle)
    return false;
  refuse (call, obstacle, check_subject (call, obstacle));
  return true;
}

/* Return: for how long the engine had worked on the request when it broke off */
static uint64_t
compute_run_us (const gateway_call_t *call, uint64_t now_us)
{
  return call->has_head ? MAX (now_us - call->head_us, 1) : 0;
}

static const char *
outcome_to_string (crash_record_outcome_t outcome)
{
  static const char *const names[] = {
    [CRASH_RECORD_COUNTED] = "counted", [CRASH_RECORD_TOGETHER] = "together",
    [CRASH_RECORD_SERVED] = "served",   [CRASH_RECORD_PLANNED] = "planned",
    [CRASH_RECORD_DOWN] = "down",       [CRASH_RECORD_KNOWN] = "known",
  };

  return names[outcome];
}

/* The parts of the prompt but the last one, which belongs to the request or its chat alone, as far
 * as a line of the log holds them. Return: the text, owned by the caller; NULL when there are none
 */
static char *
write_shared_parts (const format_request_t *request)
{
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i + 1 < request->part_count && i < LOGGED_PARTS; i++)
    g_string_append_printf (text, "%s%016" G_GINT64_MODIFIER "x", i > 0 ? "," : "",
                            request->parts[i].hash);
  return g_string_free (text, text->len == 0);
}

static void
log_loss (const gateway_call_t *call,
          const crash_record_loss_t *loss,
          crash_record_outcome_t outcome)
{
  g_autofree char *parts = write_shared_parts (&call->request);
  uint64_t now_us = gateway_now_us (call->gateway);
  uint32_t crashes = crash_record_count_crashes (call->gateway->options.crashes, loss->fingerprint);
  bool is_trial = outcome == CRASH_RECORD_COUNTED && crashes >= CRASH_RECORD_TRIAL_CRASHES;

  log_event (is_trial ? LOG_LEVEL_WARNING : LOG_LEVEL_INFO, "loss", "id", call->id, "fingerprint",
             LOG_HEX (loss->fingerprint), "engine", call->engine->entry.id, "engine_hash",
             LOG_HEX (loss->engine_hash), "outcome", outcome_to_string (outcome), "crashes",
             LOG_U64 (crashes), "sent_ms_ago", LOG_U64 ((now_us - loss->sent_us) / CLOCK_US_PER_MS),
             "ran_ms", LOG_U64 (loss->ran_us / CLOCK_US_PER_MS), "parts", parts, NULL);
}

/* @part: as in the line of the request's loss. The first crash of a part says nothing yet. */
static void
log_part_loss (const gateway_call_t *call,
               const crash_record_loss_t *loss,
               crash_record_outcome_t outcome,
               uint64_t part)
{
  uint32_t crashes = crash_record_count_crashes (call->gateway->options.crashes, loss->fingerprint);

  if (outcome == CRASH_RECORD_COUNTED && crashes >= CRASH_RECORD_TRIAL_CRASHES)
    log_event (LOG_LEVEL_WARNING, "part_loss", "id", call->id, "part", LOG_HEX (part),
               "fingerprint", LOG_HEX (loss->fingerprint), "engine", call->engine->entry.id,
               "crashes", LOG_U64 (crashes), NULL);
}

void
gateway_suspect_record_loss (const gateway_call_t *call)
{
  gateway_task_t *gateway = call->gateway;
  uint64_t now_us = gateway_now_us (gateway);
  uint64_t service_hash = hash_text (0, call->service->name);

  for (uint32_t i = 0; i < call->subject_count; i++)
    {
      crash_record_loss_t loss = { .fingerprint = call->subjects[i].fingerprint,
                                   .kind = call->subjects[i].kind,
                                   .request = call->subjects[0].fingerprint,
                                   .engine_hash = call->engine->hash,
                                   .sent_us = call->sent_us,
                                   .service_hash = service_hash,
                                   .engines_in_use = call->service->engines_in_use,
                                   .ran_us = compute_run_us (call, now_us) };
      crash_record_outcome_t outcome =
          crash_record_add_loss (gateway->options.crashes, now_us, &loss);

      if (i == 0)
        log_loss (call, &loss, outcome);
      else
        log_part_loss (call, &loss, outcome, call->request.parts[i - 1].hash);
    }
  engine_note_break (call->engine, now_us);
  counter_add (gateway->losses, 1);
  gateway->options.on_crashes (gateway->options.context);
}

static void
note_served (const gateway_call_t *call, const crash_subject_t *subject)
{
  gateway_task_t *gateway = call->gateway;

  if (crash_record_note_served (gateway->options.crashes, gateway_now_us (gateway),
                                subject->fingerprint))
    log_event (LOG_LEVEL_INFO, "cleared", "id", call->id, "fingerprint",
               LOG_HEX (subject->fingerprint), "of", kind_to_string (subject->kind), NULL);
}

static void
note_parts_served (const gateway_call_t *call)
{
  answered_parts_add (&call->service->answered, call->subjects, call->subject_count);
  for (uint32_t i = 1; i < call->subject_count; i++)
    note_served (call, &call->subjects[i]);
}

static bool
is_success (const gateway_call_t *call)
{
  return call->status >= STATUS_SUCCESS_MIN && call->status <= STATUS_SUCCESS_MAX;
}

static bool
was_written_long (const gateway_call_t *call, uint64_t now_us)
{
  return call->first_data_us != 0 && now_us >= call->first_data_us + CRASH_RECORD_PART_WRITTEN_US;
}

void
gateway_suspect_note_data (gateway_call_t *call)
{
  uint64_t now_us = gateway_now_us (call->gateway);

  if (!is_success (call))
    return;
  if (call->first_data_us == 0)
    call->first_data_us = now_us;
  else if (!call->is_written_long && was_written_long (call, now_us))
    {
      call->is_written_long = true;
      note_parts_served (call);
    }
}

/* The end of a response without a length may be that of its engine. */
void
gateway_suspect_note_complete (const gateway_call_t *call)
{
  note_served (call, &call->subjects[0]);
  if (is_success (call) && call->is_framed)
    note_parts_served (call);
}
