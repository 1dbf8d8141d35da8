#include "connection/platform.h"

#include "connection/platform_answer.h"
#include "connection/platform_call.h"

#include <event2/http.h>

#include <inttypes.h>
#include <string.h>

#define APPEND_ANSWER_LIMIT_BYTES 4096
#define READ_ANSWER_LIMIT_BYTES (4 * LIM_MANIFEST_BYTES)
#define HOSTS_ANSWER_LIMIT_BYTES (16 * 1024 * 1024)
#define CONTENT_TYPE "application/octet-stream"

/** struct plt_http - a platform over HTTP; @plt is first, so that a pointer to it can be cast */
typedef struct
{
  plt_t plt;
  pcl_t *pcl;
} plt_http_t;

/** struct plt_call - parameters and callback of a pending call; one of the callbacks is set */
typedef struct
{
  uint64_t from;
  uint32_t max_records;
  plt_appended_t appended;
  plt_read_done_t read_done;
  plt_hosts_done_t hosts_done;
  void *context;
} plt_call_t;

static bool
reports_no_effect (const pcl_answer_t *answer)
{
  if (answer->status >= 400 && answer->status < 500)
    return true;
  return answer->status == 503 &&
         g_strcmp0 (evhttp_find_header (answer->headers, "X-Log-Effect"), "none") == 0;
}

/* An append of which nothing was sent had no effect. A read never has one, but PLT_REFUSED for it
 * would make the caller believe that the platform is reachable. */
static plt_outcome_t
outcome_of (const plt_call_t *call, const pcl_answer_t *answer)
{
  if (answer->status == 0)
    return answer->not_sent && call->appended != NULL ? PLT_REFUSED : PLT_UNKNOWN;
  if (reports_no_effect (answer))
    return PLT_REFUSED;
  return answer->status == 200 ? PLT_OK : PLT_UNKNOWN;
}

static void
finish_append (plt_call_t *call, plt_outcome_t outcome, const char *text, size_t text_bytes)
{
  uint64_t offset = 0;
  if (outcome == PLT_OK && !pla_append (text, text_bytes, &offset))
    outcome = PLT_UNKNOWN;
  call->appended (outcome, outcome == PLT_OK ? offset : 0, call->context);
}

static void
finish_read (plt_call_t *call, plt_outcome_t outcome, const char *text, size_t text_bytes)
{
  pla_read_t answer = { 0 };
  if (outcome == PLT_OK && !pla_read (&answer, text, text_bytes, call->from, call->max_records))
    outcome = PLT_UNKNOWN;
  answer.read.outcome = outcome;
  call->read_done (&answer.read, call->context);
  pla_read_clear (&answer);
}

static void
finish_hosts (plt_call_t *call, plt_outcome_t outcome, const char *text, size_t text_bytes)
{
  plt_hosts_t answer = { 0 };
  if (outcome == PLT_OK && !pla_hosts (&answer, text, text_bytes))
    outcome = PLT_UNKNOWN;
  answer.outcome = outcome;
  membership_list_entry_t *hosts = (membership_list_entry_t *)answer.hosts;
  call->hosts_done (&answer, call->context);
  g_free (hosts);
}

static void
on_call_done (const pcl_answer_t *answer, void *context)
{
  plt_call_t *call = context;
  plt_outcome_t outcome = outcome_of (call, answer);
  if (call->appended != NULL)
    finish_append (call, outcome, answer->body, answer->body_bytes);
  else if (call->read_done != NULL)
    finish_read (call, outcome, answer->body, answer->body_bytes);
  else
    finish_hosts (call, outcome, answer->body, answer->body_bytes);
  g_free (call);
}

static void
start_call (plt_t *plt, plt_call_t *call, pcl_request_t *request)
{
  request->done = on_call_done;
  request->dropped = g_free;
  request->context = call;
  pcl_start (((plt_http_t *)plt)->pcl, request);
}

static void
http_append (plt_t *plt,
             const char *stream,
             const char *data,
             size_t data_bytes,
             plt_appended_t done,
             void *context)
{
  plt_call_t *call = g_new0 (plt_call_t, 1);
  g_autofree char *name = g_uri_escape_string (stream, NULL, FALSE);
  g_autofree char *target = g_strdup_printf ("/log/append?stream=%s", name);
  call->appended = done;
  call->context = context;
  start_call (plt, call,
              &(pcl_request_t){ .method = "POST",
                                .target = target,
                                .body = data,
                                .body_bytes = data_bytes,
                                .content_type = CONTENT_TYPE,
                                .timeout_ms = PLT_TIMEOUT_MS,
                                .answer_limit_bytes = APPEND_ANSWER_LIMIT_BYTES });
}

static void
http_read (plt_t *plt,
           const char *stream,
           uint64_t from_offset,
           uint32_t max_records,
           uint32_t wait_ms,
           plt_read_done_t done,
           void *context)
{
  plt_call_t *call = g_new0 (plt_call_t, 1);
  g_autofree char *name = g_uri_escape_string (stream, NULL, FALSE);
  g_autofree char *target =
      g_strdup_printf ("/log/read?stream=%s&from=%" PRIu64 "&max=%" PRIu32 "&wait_ms=%" PRIu32,
                       name, from_offset, max_records, wait_ms);
  call->read_done = done;
  call->context = context;
  call->from = from_offset;
  call->max_records = MIN (max_records, PLA_RECORDS_LIMIT);
  start_call (plt, call,
              &(pcl_request_t){ .method = "GET",
                                .target = target,
                                .timeout_ms = wait_ms + PLT_TIMEOUT_MS,
                                .answer_limit_bytes = READ_ANSWER_LIMIT_BYTES });
}

static void
http_hosts (plt_t *plt, uint64_t revision, plt_hosts_done_t done, void *context)
{
  plt_call_t *call = g_new0 (plt_call_t, 1);
  g_autofree char *target = g_strdup_printf ("/hosts?since=%" PRIu64, revision);
  call->hosts_done = done;
  call->context = context;
  start_call (plt, call,
              &(pcl_request_t){ .method = "GET",
                                .target = target,
                                .timeout_ms = PLT_TIMEOUT_MS,
                                .answer_limit_bytes = HOSTS_ANSWER_LIMIT_BYTES });
}

static void
http_free (plt_t *plt)
{
  plt_http_t *self = (plt_http_t *)plt;
  pcl_free (self->pcl);
  g_free (self);
}

plt_t *
plt_http_new (struct event_base *base, const set_address_t *address, const char *reader_name)
{
  plt_http_t *self = g_new0 (plt_http_t, 1);
  self->plt.append = http_append;
  self->plt.read = http_read;
  self->plt.hosts = http_hosts;
  self->plt.free = http_free;
  self->pcl = pcl_new (base, address, reader_name);
  return &self->plt;
}
