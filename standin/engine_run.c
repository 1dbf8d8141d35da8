#define _GNU_SOURCE /* memmem */

#include "engine.h"

#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#define CATCH_UP_STEPS 256 /* steps made at once after the process was held up */

static void
ended_free (gpointer data)
{
  sen_ended_t *ended = data;
  g_free (ended->id);
  g_free (ended);
}

static void
remember (const sen_run_t *run)
{
  GQueue *remembered = &run->engine->remembered;
  if (!run->stream || run->id == NULL)
    return;
  sen_ended_t *ended = g_new0 (sen_ended_t, 1);
  ended->id = g_strdup (run->id);
  ended->body_hash = run->body_hash;
  ended->wanted_tokens = run->job.wanted_tokens;
  g_queue_push_head (remembered, ended);
  while (g_queue_get_length (remembered) > SEN_LIMIT_REMEMBERED)
    ended_free (g_queue_pop_tail (remembered));
}

static void
run_free (sen_run_t *run)
{
  if (run->id != NULL && g_hash_table_lookup (run->engine->active, run->id) == run)
    g_hash_table_remove (run->engine->active, run->id);
  if (run->late != NULL)
    event_free (run->late);
  g_free (run->id);
  g_free (run->method);
  g_free (run->path);
  g_string_free (run->prompt, TRUE);
  g_string_free (run->text, TRUE);
  g_free (run);
}

/* The run is over and its call has been answered, cut, or has gone. */
static void
run_over (sen_run_t *run, erc_state_t state)
{
  sen_t *engine = run->engine;
  erc_end (engine->record, run->serial, state);
  remember (run);
  g_free (engine->last_id);
  engine->last_id = g_strdup (run->id);
  engine->last_body_hash = run->body_hash;
  engine->served++;
  run_free (run);
}

static void
caller_gone (void *context)
{
  sen_run_t *run = context;
  run->call = NULL;
  if (run->engine->options.plain)
    return; /* a plain service doesn't notice, and goes on */
  if (run->in_batch)
    bat_remove (run->engine->batch, &run->job);
  run_over (run, ERC_CANCELLED);
}

static void
schedule_step (sen_t *engine)
{
  uint64_t now_us = (uint64_t)g_get_monotonic_time ();
  uint64_t wait_us = engine->next_step_us > now_us ? engine->next_step_us - now_us : 0;
  struct timeval wait = { (time_t)(wait_us / G_USEC_PER_SEC),
                          (suseconds_t)(wait_us % G_USEC_PER_SEC) };
  event_add (engine->step_timer, &wait);
}

static void
run_submit (sen_run_t *run)
{
  sen_t *engine = run->engine;
  run->in_batch = true;
  bat_add (engine->batch, &run->job);
  if (engine->stepping)
    return;
  engine->stepping = true;
  engine->next_step_us = (uint64_t)g_get_monotonic_time () + engine->step_us;
  schedule_step (engine);
}

static void
run_submit_late (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  run_submit (arg);
}

static sen_fault_t
take_fault (sen_t *engine)
{
  sen_fault_t none = { 0 };
  if (engine->fault.count == 0)
    return none;
  engine->fault.count--;
  return engine->fault;
}

static uint32_t
priority_of (const sht_call_t *call)
{
  const char *text = sht_header (call, "X-Priority");
  guint64 priority;
  if (text == NULL || !g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT32, &priority, NULL))
    return 0;
  return (uint32_t)priority;
}

static sen_run_t *
run_new (sen_t *engine, sht_call_t *call)
{
  size_t body_bytes;
  const char *body = sht_body (call, &body_bytes);
  sen_run_t *run = g_new0 (sen_run_t, 1);
  run->engine = engine;
  run->call = call;
  run->id = g_strdup (sht_header (call, "X-Request-Id"));
  run->method = g_strdup (sht_method (call));
  run->path = g_strdup (sht_path (call));
  run->body_hash = XXH64 (body, body_bytes, 0);
  run->prompt = g_string_new (NULL);
  run->text = g_string_new (NULL);
  run->job.priority = priority_of (call);
  return run;
}

/* What names a call that may not be repeated: the fleet's hash, or else the caller's own key. */
static const char *
key_of (const sht_call_t *call)
{
  const char *hash = sht_header (call, "X-Idempotency-Hash");
  return hash != NULL ? hash : sht_header (call, "Idempotency-Key");
}

static void
record_begin (sen_run_t *run)
{
  erc_run_t begun = { .id = run->id,
                      .account = sht_header (run->call, "X-Account"),
                      .key = key_of (run->call),
                      .body_hash = run->body_hash };
  run->serial = erc_begin (run->engine->record, &begun);
}

static void
crash_if_asked (const sen_run_t *run)
{
  const char *text = run->engine->options.crash_on;
  size_t body_bytes;
  const char *body = sht_body (run->call, &body_bytes);
  if (text != NULL && memmem (body, body_bytes, text, strlen (text)) != NULL)
    _exit (1);
}

static void
run_begin (sen_run_t *run)
{
  sen_t *engine = run->engine;
  run->fault = take_fault (engine);
  record_begin (run);
  crash_if_asked (run);
  sht_on_gone (run->call, caller_gone, run);
  if (run->id != NULL)
    g_hash_table_replace (engine->active, run->id, run);
  if (run->fault.freeze_us > 0)
    g_usleep (run->fault.freeze_us); /* the one thread: nothing of this process moves */
  if (run->fault.late_us == 0)
    {
      run_submit (run);
      return;
    }
  struct timeval late = { (time_t)(run->fault.late_us / G_USEC_PER_SEC),
                          (suseconds_t)(run->fault.late_us % G_USEC_PER_SEC) };
  run->late = evtimer_new (engine->base, run_submit_late, run);
  event_add (run->late, &late);
}

static bool
full (sen_t *engine, sht_call_t *call)
{
  if (bat_waiting (engine->batch) < SEN_LIMIT_WAITING)
    return false;
  sen_answer_error (engine, call, 503, "too many waiting requests");
  return true;
}

/* The prompt: all messages in order, as the model would see them. */
static bool
read_messages (json_t *body, GString *prompt)
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
read_output_tokens (json_t *body, uint32_t *tokens)
{
  json_t *max_tokens = json_object_get (body, "max_tokens");
  *tokens = SEN_DEFAULT_OUTPUT_TOKENS;
  if (max_tokens == NULL)
    return true;
  json_int_t value = json_integer_value (max_tokens);
  if (value < 1 || value > SEN_LIMIT_OUTPUT_TOKENS)
    return false;
  *tokens = (uint32_t)value;
  return true;
}

static bool
read_chat (sen_run_t *run)
{
  json_t *body = sht_json (run->call);
  bool good = body != NULL && read_messages (body, run->prompt) &&
              read_output_tokens (body, &run->job.wanted_tokens);
  run->stream = json_is_true (json_object_get (body, "stream"));
  run->prompt_tokens = pfx_tokens_in (run->prompt->len);
  json_decref (body);
  return good;
}

static void
job_start (bat_job_t *job, void *context)
{
  sen_run_t *run = (sen_run_t *)job;
  sen_t *engine = context;
  if (engine->options.plain || run->first_token > 0)
    return;
  run->cached_tokens = pfx_lookup (engine->cache, run->prompt->str, run->prompt->len);
  job->prefill_tokens = run->prompt_tokens - run->cached_tokens;
}

static bool
job_token (bat_job_t *job, void *context)
{
  sen_run_t *run = (sen_run_t *)job;
  sen_t *engine = context;
  if (job->made_tokens == run->first_token + 1)
    pfx_store (engine->cache, run->prompt->str, run->prompt->len);
  if (run->call != NULL)
    sen_answer_token (run);
  return run->fault.cut_after_tokens == 0 || job->made_tokens < run->fault.cut_after_tokens;
}

static void
cache_answer (sen_run_t *run)
{
  if (run->engine->options.plain || run->first_token > 0)
    return;
  g_string_append_printf (run->prompt, "assistant\n%s\n", run->text->str);
  pfx_store (run->engine->cache, run->prompt->str, run->prompt->len);
}

static void
job_end (bat_job_t *job, bool whole, void *context)
{
  sen_run_t *run = (sen_run_t *)job;
  (void)context;
  run->in_batch = false;
  if (whole)
    cache_answer (run);
  if (run->call != NULL && whole)
    sen_answer_whole (run);
  else if (run->call != NULL)
    sen_answer_cut (run);
  run_over (run, whole ? ERC_DONE : ERC_CANCELLED);
}

bat_t *
sen_batch_new (sen_t *engine)
{
  bat_options_t options = { .slots = engine->options.slots,
                            .prefill_per_step =
                                engine->options.prefill_tokens_s * engine->step_us / 1000,
                            .on_start = job_start,
                            .on_token = job_token,
                            .on_end = job_end,
                            .context = engine };
  return bat_new (&options);
}

void
sen_step (evutil_socket_t fd, short what, void *arg)
{
  sen_t *engine = arg;
  uint64_t now_us = (uint64_t)g_get_monotonic_time ();
  uint32_t steps = 0;
  (void)fd;
  (void)what;
  while (engine->next_step_us <= now_us && steps++ < CATCH_UP_STEPS)
    {
      bat_step (engine->batch);
      engine->next_step_us += engine->step_us;
    }
  if (engine->next_step_us <= now_us)
    engine->next_step_us = now_us + engine->step_us;
  engine->stepping = bat_running (engine->batch) > 0 || bat_waiting (engine->batch) > 0;
  if (engine->stepping)
    schedule_step (engine);
}

void
sen_run_chat (sen_t *engine, sht_call_t *call)
{
  if (full (engine, call))
    return;
  sen_run_t *run = run_new (engine, call);
  if (read_chat (run))
    {
      run_begin (run);
      return;
    }
  run_free (run);
  sen_answer_error (engine, call, 400, "not a chat: messages with role and content, max_tokens");
}

void
sen_run_plain (sen_t *engine, sht_call_t *call)
{
  if (full (engine, call))
    return;
  sen_run_t *run = run_new (engine, call);
  run->job.wanted_tokens = (uint32_t)MAX (1, engine->options.service_us / engine->step_us);
  run_begin (run);
}

static const sen_ended_t *
find_ended (const sen_t *engine, const char *id)
{
  for (GList *item = engine->remembered.head; item != NULL; item = item->next)
    {
      const sen_ended_t *ended = item->data;
      if (strcmp (ended->id, id) == 0)
        return ended;
    }
  return NULL;
}

void
sen_run_resume (sen_t *engine, sht_call_t *call)
{
  const char *id = sht_query (call, "id");
  uint64_t from = sht_query_u64 (call, "from", 0);
  const sen_ended_t *ended = id == NULL ? NULL : find_ended (engine, id);
  if (ended == NULL || from >= ended->wanted_tokens)
    {
      sen_answer_error (engine, call, 404, "no such stream, or nothing left of it");
      return;
    }
  if (full (engine, call))
    return;
  sen_run_t *run = run_new (engine, call);
  g_free (run->id);
  run->id = g_strdup (id);
  run->body_hash = ended->body_hash;
  run->stream = true;
  run->first_token = (uint32_t)from;
  run->job.made_tokens = (uint32_t)from;
  run->job.wanted_tokens = ended->wanted_tokens;
  run_begin (run);
}

bool
sen_run_cancel (sen_t *engine, const char *id)
{
  sen_run_t *run = g_hash_table_lookup (engine->active, id);
  if (run == NULL)
    return false;
  if (run->in_batch)
    bat_remove (engine->batch, &run->job);
  if (run->call != NULL)
    sht_cut (run->call);
  run_over (run, ERC_CANCELLED);
  return true;
}
