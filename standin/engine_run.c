#define _GNU_SOURCE /* memmem */

#include "engine.h"

#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#define MAX_CATCH_UP_STEPS 256 /* steps run in a row after a delay of the process */

static void
free_ended_stream (gpointer data)
{
  standin_engine_ended_stream_t *ended = data;
  g_free (ended->id);
  g_free (ended);
}

static void
remember_ended_stream (const standin_engine_run_t *run)
{
  GQueue *ended_streams = &run->engine->ended_streams;
  if (!run->stream || run->id == NULL)
    return;
  standin_engine_ended_stream_t *ended = g_new0 (standin_engine_ended_stream_t, 1);
  ended->id = g_strdup (run->id);
  ended->body_hash = run->body_hash;
  ended->target_tokens = run->job.target_tokens;
  g_queue_push_head (ended_streams, ended);
  while (g_queue_get_length (ended_streams) > STANDIN_ENGINE_MAX_ENDED_STREAMS)
    free_ended_stream (g_queue_pop_tail (ended_streams));
}

static void
run_free (standin_engine_run_t *run)
{
  if (run->id != NULL && g_hash_table_lookup (run->engine->active_runs, run->id) == run)
    g_hash_table_remove (run->engine->active_runs, run->id);
  if (run->start_timer != NULL)
    event_free (run->start_timer);
  g_free (run->id);
  g_free (run->method);
  g_free (run->path);
  g_string_free (run->prompt, TRUE);
  g_string_free (run->text, TRUE);
  g_free (run);
}

/* Ends a run whose call has been answered or aborted, or whose caller has disconnected. */
static void
finish_run (standin_engine_run_t *run, run_record_state_t state)
{
  standin_engine_t *engine = run->engine;
  run_record_end (engine->record, run->serial, state);
  remember_ended_stream (run);
  g_free (engine->previous_id);
  engine->previous_id = g_strdup (run->id);
  engine->previous_body_hash = run->body_hash;
  engine->served_count++;
  run_free (run);
}

static void
on_caller_disconnect (void *context)
{
  standin_engine_run_t *run = context;
  run->call = NULL;
  if (run->engine->options.plain)
    return; /* a plain service does not detect it and completes the run */
  if (run->in_batch)
    batch_remove_job (run->engine->batch, &run->job);
  finish_run (run, RUN_RECORD_CANCELLED);
}

static void
schedule_step (standin_engine_t *engine)
{
  uint64_t now_us = (uint64_t)g_get_monotonic_time ();
  uint64_t wait_us = engine->next_step_us > now_us ? engine->next_step_us - now_us : 0;
  struct timeval wait = { (time_t)(wait_us / G_USEC_PER_SEC),
                          (suseconds_t)(wait_us % G_USEC_PER_SEC) };
  event_add (engine->step_timer, &wait);
}

static void
submit_run (standin_engine_run_t *run)
{
  standin_engine_t *engine = run->engine;
  run->in_batch = true;
  batch_add_job (engine->batch, &run->job);
  if (engine->step_scheduled)
    return;
  engine->step_scheduled = true;
  engine->next_step_us = (uint64_t)g_get_monotonic_time () + engine->step_us;
  schedule_step (engine);
}

static void
on_start_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  submit_run (arg);
}

static standin_engine_fault_t
consume_fault (standin_engine_t *engine)
{
  standin_engine_fault_t none = { 0 };
  if (engine->fault.count == 0)
    return none;
  engine->fault.count--;
  return engine->fault;
}

static uint32_t
parse_priority (const http_call_t *call)
{
  const char *text = http_call_header (call, "X-Priority");
  guint64 priority;
  if (text == NULL || !g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT32, &priority, NULL))
    return 0;
  return (uint32_t)priority;
}

static standin_engine_run_t *
run_new (standin_engine_t *engine, http_call_t *call)
{
  size_t body_bytes;
  const char *body = http_call_body (call, &body_bytes);
  standin_engine_run_t *run = g_new0 (standin_engine_run_t, 1);
  run->engine = engine;
  run->call = call;
  run->id = g_strdup (http_call_header (call, "X-Request-Id"));
  run->method = g_strdup (http_call_method (call));
  run->path = g_strdup (http_call_path (call));
  run->body_hash = XXH64 (body, body_bytes, 0);
  run->prompt = g_string_new (NULL);
  run->text = g_string_new (NULL);
  run->job.priority = parse_priority (call);
  return run;
}

/* Identifies a request that must not run twice: by the fleet's hash of its key, or else by the key
 * of the caller. */
static const char *
get_idempotency_key (const http_call_t *call)
{
  const char *hash = http_call_header (call, "X-Idempotency-Hash");
  return hash != NULL ? hash : http_call_header (call, "Idempotency-Key");
}

static void
record_begin (standin_engine_run_t *run)
{
  run_record_run_t run_info = { .id = run->id,
                                .account = http_call_header (run->call, "X-Account"),
                                .key = get_idempotency_key (run->call),
                                .body_hash = run->body_hash };
  run->serial = run_record_begin (run->engine->record, &run_info);
}

static void
crash_on_match (const standin_engine_run_t *run)
{
  const char *text = run->engine->options.crash_on;
  size_t body_bytes;
  const char *body = http_call_body (run->call, &body_bytes);
  if (text != NULL && memmem (body, body_bytes, text, strlen (text)) != NULL)
    _exit (1);
}

static void
start_run (standin_engine_run_t *run)
{
  standin_engine_t *engine = run->engine;
  run->fault = consume_fault (engine);
  record_begin (run);
  crash_on_match (run);
  http_call_on_disconnect (run->call, on_caller_disconnect, run);
  if (run->id != NULL)
    g_hash_table_replace (engine->active_runs, run->id, run);
  if (run->fault.freeze_us > 0)
    g_usleep (run->fault.freeze_us); /* blocks the only thread of the process */
  if (run->fault.start_delay_us == 0)
    {
      submit_run (run);
      return;
    }
  struct timeval start_timer = { (time_t)(run->fault.start_delay_us / G_USEC_PER_SEC),
                                 (suseconds_t)(run->fault.start_delay_us % G_USEC_PER_SEC) };
  run->start_timer = evtimer_new (engine->base, on_start_timer, run);
  event_add (run->start_timer, &start_timer);
}

static bool
refuse_when_full (standin_engine_t *engine, http_call_t *call)
{
  if (batch_waiting_count (engine->batch) < STANDIN_ENGINE_MAX_WAITING)
    return false;
  standin_engine_answer_error (engine, call, 503, "too many waiting requests");
  return true;
}

/* Builds the prompt from all messages in order, as a model would receive it. */
static bool
parse_messages (json_t *body, GString *prompt)
{
  json_t *messages = json_object_get (body, "messages");
  size_t i;
  json_t *message;
  if (!json_is_array (messages))
    return false;
  json_array_foreach (messages, i, message)
    {
      const char *role = json_string_value (json_object_get (message, "role"));
      const char *content = json_string_value (json_object_get (message, "content"));
      if (role == NULL || content == NULL)
        return false;
      g_string_append_printf (prompt, "%s\n", role);
      g_string_append (prompt, content);
      g_string_append_c (prompt, '\n');
    }
  return true;
}

static bool
parse_max_tokens (json_t *body, uint32_t *tokens)
{
  json_t *max_tokens = json_object_get (body, "max_tokens");
  *tokens = STANDIN_ENGINE_DEFAULT_OUTPUT_TOKENS;
  if (max_tokens == NULL)
    return true;
  json_int_t value = json_integer_value (max_tokens);
  if (value < 1 || value > STANDIN_ENGINE_MAX_OUTPUT_TOKENS)
    return false;
  *tokens = (uint32_t)value;
  return true;
}

static bool
parse_chat (standin_engine_run_t *run)
{
  json_t *body = http_call_parse_json (run->call);
  bool valid = body != NULL && parse_messages (body, run->prompt) &&
               parse_max_tokens (body, &run->job.target_tokens);
  run->stream = json_is_true (json_object_get (body, "stream"));
  run->prompt_tokens = prefix_cache_count_tokens (run->prompt->len);
  json_decref (body);
  return valid;
}

static void
on_job_start (batch_job_t *job, void *context)
{
  standin_engine_run_t *run = (standin_engine_run_t *)job;
  standin_engine_t *engine = context;
  if (engine->options.plain || run->first_token > 0)
    return;
  run->cached_tokens = prefix_cache_lookup (engine->cache, run->prompt->str, run->prompt->len);
  job->prefill_tokens = run->prompt_tokens - run->cached_tokens;
}

static bool
on_job_token (batch_job_t *job, void *context)
{
  standin_engine_run_t *run = (standin_engine_run_t *)job;
  standin_engine_t *engine = context;
  if (job->generated_tokens == run->first_token + 1)
    prefix_cache_store (engine->cache, run->prompt->str, run->prompt->len);
  if (run->call != NULL)
    standin_engine_answer_token (run);
  return run->fault.cut_after_tokens == 0 || job->generated_tokens < run->fault.cut_after_tokens;
}

static void
store_answer_in_cache (standin_engine_run_t *run)
{
  if (run->engine->options.plain || run->first_token > 0)
    return;
  g_string_append_printf (run->prompt, "assistant\n%s\n", run->text->str);
  prefix_cache_store (run->engine->cache, run->prompt->str, run->prompt->len);
}

static void
on_job_end (batch_job_t *job, bool completed, void *context)
{
  standin_engine_run_t *run = (standin_engine_run_t *)job;
  (void)context;
  run->in_batch = false;
  if (completed)
    store_answer_in_cache (run);
  if (run->call != NULL && completed)
    standin_engine_complete_answer (run);
  else if (run->call != NULL)
    standin_engine_abort_answer (run);
  finish_run (run, completed ? RUN_RECORD_DONE : RUN_RECORD_CANCELLED);
}

batch_t *
standin_engine_create_batch (standin_engine_t *engine)
{
  batch_options_t options = { .slots = engine->options.slots,
                              .prefill_millitokens_per_step =
                                  engine->options.prefill_tokens_s * engine->step_us / 1000,
                              .on_start = on_job_start,
                              .on_token = on_job_token,
                              .on_end = on_job_end,
                              .context = engine };
  return batch_create (&options);
}

void
standin_engine_on_step (evutil_socket_t fd, short what, void *arg)
{
  standin_engine_t *engine = arg;
  uint64_t now_us = (uint64_t)g_get_monotonic_time ();
  uint32_t steps = 0;
  (void)fd;
  (void)what;
  while (engine->next_step_us <= now_us && steps++ < MAX_CATCH_UP_STEPS)
    {
      batch_step (engine->batch);
      engine->next_step_us += engine->step_us;
    }
  if (engine->next_step_us <= now_us)
    engine->next_step_us = now_us + engine->step_us;
  engine->step_scheduled =
      batch_running_count (engine->batch) > 0 || batch_waiting_count (engine->batch) > 0;
  if (engine->step_scheduled)
    schedule_step (engine);
}

void
standin_engine_run_chat (standin_engine_t *engine, http_call_t *call)
{
  if (refuse_when_full (engine, call))
    return;
  standin_engine_run_t *run = run_new (engine, call);
  if (parse_chat (run))
    {
      start_run (run);
      return;
    }
  run_free (run);
  standin_engine_answer_error (engine, call, 400,
                               "not a chat: messages with role and content, max_tokens");
}

void
standin_engine_run_plain (standin_engine_t *engine, http_call_t *call)
{
  if (refuse_when_full (engine, call))
    return;
  standin_engine_run_t *run = run_new (engine, call);
  run->job.target_tokens = (uint32_t)MAX (1, engine->options.service_us / engine->step_us);
  start_run (run);
}

static const standin_engine_ended_stream_t *
find_ended_stream (const standin_engine_t *engine, const char *id)
{
  for (GList *item = engine->ended_streams.head; item != NULL; item = item->next)
    {
      const standin_engine_ended_stream_t *ended = item->data;
      if (strcmp (ended->id, id) == 0)
        return ended;
    }
  return NULL;
}

void
standin_engine_resume_stream (standin_engine_t *engine, http_call_t *call)
{
  const char *id = http_call_query (call, "id");
  uint64_t from = http_call_query_u64 (call, "from", 0);
  const standin_engine_ended_stream_t *ended = id == NULL ? NULL : find_ended_stream (engine, id);
  if (ended == NULL || from >= ended->target_tokens)
    {
      standin_engine_answer_error (engine, call, 404, "no such stream, or nothing left of it");
      return;
    }
  if (refuse_when_full (engine, call))
    return;
  standin_engine_run_t *run = run_new (engine, call);
  g_free (run->id);
  run->id = g_strdup (id);
  run->body_hash = ended->body_hash;
  run->stream = true;
  run->first_token = (uint32_t)from;
  run->job.generated_tokens = (uint32_t)from;
  run->job.target_tokens = ended->target_tokens;
  start_run (run);
}

bool
standin_engine_cancel_run (standin_engine_t *engine, const char *id)
{
  standin_engine_run_t *run = g_hash_table_lookup (engine->active_runs, id);
  if (run == NULL)
    return false;
  if (run->in_batch)
    batch_remove_job (engine->batch, &run->job);
  if (run->call != NULL)
    http_call_abort (run->call);
  finish_run (run, RUN_RECORD_CANCELLED);
  return true;
}
