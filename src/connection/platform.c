#include "connection/platform.h"

#include "connection/platform_answer.h"
#include "connection/platform_client.h"

#include <event2/http.h>

#include <inttypes.h>
#include <string.h>

#define APPEND_ANSWER_LIMIT_BYTES 4096
#define READ_ANSWER_LIMIT_BYTES (4 * LIMIT_MANIFEST_BYTES)
#define HOSTS_ANSWER_LIMIT_BYTES (16 * 1024 * 1024)
#define CONTENT_TYPE "application/octet-stream"

/** struct platform_http - a platform over HTTP; @platform is first, so that a pointer to it can be
 * cast */
typedef struct
{
  platform_t platform;
  platform_client_t *platform_client;
} platform_http_t;

/** struct platform_call - parameters and callback of a pending call; one of the callbacks is set */
typedef struct
{
  uint64_t from;
  uint32_t max_records;
  platform_append_done_t appended;
  platform_read_done_t read_done;
  platform_hosts_done_t hosts_done;
  void *context;
} platform_call_t;

static bool
reports_no_effect (const platform_client_answer_t *answer)
{
  if (answer->status >= 400 && answer->status < 500)
    return true;
  return answer->status == 503 &&
         g_strcmp0 (evhttp_find_header (answer->headers, "X-Log-Effect"), "none") == 0;
}

/* An append of which nothing was sent had no effect. A read never has one, but PLATFORM_REFUSED for
 * it would make the caller believe that the platform is reachable. */
static platform_outcome_t
outcome_of (const platform_call_t *call, const platform_client_answer_t *answer)
{
  if (answer->status == 0)
    return answer->not_sent && call->appended != NULL ? PLATFORM_REFUSED : PLATFORM_UNKNOWN;
  if (reports_no_effect (answer))
    return PLATFORM_REFUSED;
  return answer->status == 200 ? PLATFORM_OK : PLATFORM_UNKNOWN;
}

static void
finish_append (platform_call_t *call,
               platform_outcome_t outcome,
               const char *text,
               size_t text_bytes)
{
  position_t position = { 0 };
  if (outcome == PLATFORM_OK && !platform_answer_parse_append (text, text_bytes, &position))
    outcome = PLATFORM_UNKNOWN;
  call->appended (outcome, outcome == PLATFORM_OK ? position : (position_t){ 0 }, call->context);
}

static void
finish_read (platform_call_t *call, platform_outcome_t outcome, const char *text, size_t text_bytes)
{
  platform_answer_read_t answer = { 0 };
  if (outcome == PLATFORM_OK &&
      !platform_answer_parse_read (&answer, text, text_bytes, call->from, call->max_records))
    outcome = PLATFORM_UNKNOWN;
  answer.read.outcome = outcome;
  call->read_done (&answer.read, call->context);
  platform_answer_read_clear (&answer);
}

static void
finish_hosts (platform_call_t *call,
              platform_outcome_t outcome,
              const char *text,
              size_t text_bytes)
{
  platform_hosts_t answer = { 0 };
  if (outcome == PLATFORM_OK && !platform_answer_parse_hosts (&answer, text, text_bytes))
    outcome = PLATFORM_UNKNOWN;
  answer.outcome = outcome;
  membership_list_entry_t *hosts = (membership_list_entry_t *)answer.hosts;
  call->hosts_done (&answer, call->context);
  g_free (hosts);
}

static void
on_call_done (const platform_client_answer_t *answer, void *context)
{
  platform_call_t *call = context;
  platform_outcome_t outcome = outcome_of (call, answer);
  if (call->appended != NULL)
    finish_append (call, outcome, answer->body, answer->body_bytes);
  else if (call->read_done != NULL)
    finish_read (call, outcome, answer->body, answer->body_bytes);
  else
    finish_hosts (call, outcome, answer->body, answer->body_bytes);
  g_free (call);
}

static void
start_call (platform_t *platform, platform_call_t *call, platform_client_request_t *request)
{
  request->done = on_call_done;
  request->on_dropped = g_free;
  request->context = call;
  platform_client_start (((platform_http_t *)platform)->platform_client, request);
}

static void
http_append (platform_t *platform,
             const char *stream,
             const char *data,
             size_t data_bytes,
             platform_append_done_t done,
             void *context)
{
  platform_call_t *call = g_new0 (platform_call_t, 1);
  g_autofree char *name = g_uri_escape_string (stream, NULL, FALSE);
  g_autofree char *target = g_strdup_printf ("/log/append?stream=%s", name);
  call->appended = done;
  call->context = context;
  start_call (platform, call,
              &(platform_client_request_t){ .method = "POST",
                                            .target = target,
                                            .body = data,
                                            .body_bytes = data_bytes,
                                            .content_type = CONTENT_TYPE,
                                            .timeout_ms = PLATFORM_TIMEOUT_MS,
                                            .answer_limit_bytes = APPEND_ANSWER_LIMIT_BYTES });
}

static void
http_read (platform_t *platform,
           const char *stream,
           uint64_t from_offset,
           uint32_t max_records,
           uint32_t wait_ms,
           platform_read_done_t done,
           void *context)
{
  platform_call_t *call = g_new0 (platform_call_t, 1);
  g_autofree char *name = g_uri_escape_string (stream, NULL, FALSE);
  g_autofree char *target =
      g_strdup_printf ("/log/read?stream=%s&from=%" PRIu64 "&max=%" PRIu32 "&wait_ms=%" PRIu32,
                       name, from_offset, max_records, wait_ms);
  call->read_done = done;
  call->context = context;
  call->from = from_offset;
  call->max_records = MIN (max_records, PLATFORM_ANSWER_RECORDS_LIMIT);
  start_call (platform, call,
              &(platform_client_request_t){ .method = "GET",
                                            .target = target,
                                            .timeout_ms = wait_ms + PLATFORM_TIMEOUT_MS,
                                            .answer_limit_bytes = READ_ANSWER_LIMIT_BYTES });
}

static void
http_hosts (platform_t *platform, uint64_t revision, platform_hosts_done_t done, void *context)
{
  platform_call_t *call = g_new0 (platform_call_t, 1);
  g_autofree char *target = g_strdup_printf ("/hosts?since=%" PRIu64, revision);
  call->hosts_done = done;
  call->context = context;
  start_call (platform, call,
              &(platform_client_request_t){ .method = "GET",
                                            .target = target,
                                            .timeout_ms = PLATFORM_TIMEOUT_MS,
                                            .answer_limit_bytes = HOSTS_ANSWER_LIMIT_BYTES });
}

static void
http_free (platform_t *platform)
{
  platform_http_t *self = (platform_http_t *)platform;
  platform_client_free (self->platform_client);
  g_free (self);
}

platform_t *
platform_http_new (struct event_base *base, const address_t *address, const char *reader_name)
{
  platform_http_t *self = g_new0 (platform_http_t, 1);
  self->platform.append = http_append;
  self->platform.read = http_read;
  self->platform.hosts = http_hosts;
  self->platform.free = http_free;
  self->platform_client = platform_client_new (base, address, reader_name);
  return &self->platform;
}
