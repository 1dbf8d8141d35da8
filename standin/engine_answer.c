#include "engine.h"

#include <inttypes.h>
#include <string.h>

/* Token 0 identifies the request and the engine, so that an answer of one token can be verified. */
static char *
token_text (const standin_engine_run_t *run, uint32_t index)
{
  if (index > 0)
    return g_strdup_printf (" w%" PRIu32, index);
  uint64_t hash = run->fault.repeat_previous ? run->engine->previous_body_hash : run->body_hash;
  return g_strdup_printf ("answer to %016" PRIx64 " by %s", hash, run->engine->options.name);
}

static const char *
response_id (const standin_engine_run_t *run)
{
  if (!run->fault.repeat_previous)
    return run->id;
  return run->engine->previous_id == NULL ? "crossed" : run->engine->previous_id;
}

static void
add_headers (const standin_engine_run_t *run)
{
  char cached[16];
  g_snprintf (cached, sizeof cached, "%" PRIu32, run->cached_tokens);
  if (response_id (run) != NULL)
    http_call_add_header (run->call, "X-Request-Id", response_id (run));
  http_call_add_header (run->call, "X-Engine", run->engine->options.name);
  if (!run->engine->options.plain)
    http_call_add_header (run->call, "X-Cached-Tokens", cached);
}

static json_t *
usage_json (const standin_engine_run_t *run)
{
  return json_pack ("{s:I, s:I, s:I}", "prompt_tokens", (json_int_t)run->prompt_tokens,
                    "completion_tokens", (json_int_t)run->job.generated_tokens, "cached_tokens",
                    (json_int_t)run->cached_tokens);
}

static json_t *
chat_answer_json (const standin_engine_run_t *run)
{
  const char *id = response_id (run);
  return json_pack ("{s:s, s:s, s:s, s:[{s:i, s:{s:s, s:s}, s:s}], s:o}", "id",
                    id == NULL ? "" : id, "object", "chat.completion", "model",
                    run->engine->options.name, "choices", "index", 0, "message", "role",
                    "assistant", "content", run->text->str, "finish_reason", "stop", "usage",
                    usage_json (run));
}

static json_t *
plain_answer_json (const standin_engine_run_t *run)
{
  char hash[17];
  uint64_t body_hash =
      run->fault.repeat_previous ? run->engine->previous_body_hash : run->body_hash;
  g_snprintf (hash, sizeof hash, "%016" PRIx64, body_hash);
  return json_pack ("{s:s, s:s, s:s, s:s, s:I}", "path", run->path, "method", run->method,
                    "body_hash", hash, "by", run->engine->options.name, "serial",
                    (json_int_t)run->serial);
}

static void
send_event (const standin_engine_run_t *run, json_t *event)
{
  char *text = json_dumps (event, JSON_COMPACT);
  g_autofree char *line = g_strdup_printf ("data: %s\n\n", text);
  http_call_send_part (run->call, line);
  free (text);
  json_decref (event);
}

static void
stream_token (standin_engine_run_t *run, const char *token)
{
  if (!run->headers_sent)
    {
      add_headers (run);
      http_call_begin_stream (run->call);
      run->headers_sent = true;
    }
  const char *id = response_id (run);
  send_event (run, json_pack ("{s:s, s:s, s:[{s:i, s:{s:s}}]}", "id", id == NULL ? "" : id,
                              "object", "chat.completion.chunk", "choices", "index", 0, "delta",
                              "content", token));
}

static json_t *
answer_json (const standin_engine_run_t *run)
{
  return run->engine->options.plain ? plain_answer_json (run) : chat_answer_json (run);
}

static void
send_broken_answer (const standin_engine_run_t *run, bool with_length)
{
  json_t *answer = answer_json (run);
  char *text = json_dumps (answer, JSON_COMPACT);
  const char *id = response_id (run);
  http_call_reply_broken (run->call, id == NULL ? "" : id, text, with_length);
  free (text);
  json_decref (answer);
}

void
standin_engine_answer_token (standin_engine_run_t *run)
{
  if (run->engine->options.plain)
    return;
  g_autofree char *token = token_text (run, run->job.generated_tokens - 1);
  g_string_append (run->text, token);
  if (run->stream && !run->fault.omit_length)
    stream_token (run, token);
}

void
standin_engine_complete_answer (standin_engine_run_t *run)
{
  http_call_t *call = run->call;
  if (run->headers_sent)
    {
      send_event (run, json_pack ("{s:[], s:o}", "choices", "usage", usage_json (run)));
      http_call_send_part (call, "data: [DONE]\n\n");
      http_call_end_stream (call);
      return;
    }
  if (run->fault.omit_length)
    {
      send_broken_answer (run, false);
      return;
    }
  add_headers (run);
  http_call_reply_json (call, 200, answer_json (run));
}

void
standin_engine_abort_answer (standin_engine_run_t *run)
{
  if (run->headers_sent)
    http_call_abort (run->call);
  else
    send_broken_answer (run, true);
}

void
standin_engine_answer_json (standin_engine_t *engine, http_call_t *call, int status, json_t *json)
{
  const char *id = http_call_header (call, "X-Request-Id");
  if (id != NULL)
    http_call_add_header (call, "X-Request-Id", id);
  http_call_add_header (call, "X-Engine", engine->options.name);
  http_call_reply_json (call, status, json);
}

void
standin_engine_answer_error (standin_engine_t *engine,
                             http_call_t *call,
                             int status,
                             const char *message)
{
  standin_engine_answer_json (engine, call, status,
                              json_pack ("{s:{s:s}}", "error", "message", message));
}
