#include "connection/platform.h"

#include "connection/http_client.h"
#include "connection/platform_answer.h"

#include <event2/http.h>

#include <inttypes.h>
#include <string.h>

#define IDLE_CONNECTIONS 4
#define IDLE_TIMEOUT_MS 30000
#define APPEND_ANSWER_LIMIT_BYTES 4096
#define READ_ANSWER_LIMIT_BYTES (4 * LIM_MANIFEST_BYTES)
#define HOSTS_ANSWER_LIMIT_BYTES (16 * 1024 * 1024)
#define CONTENT_TYPE "application/octet-stream"

/** struct plt_http - @plt goes first, so that it can be cast */
typedef struct
{
  plt_t plt;
  hcl_t *hcl;
  set_address_t address;
  char reader_name[LIM_NAME_BYTES];
  GQueue calls; /* plt_call_t, not answered yet */
} plt_http_t;

typedef struct plt_call plt_call_t;
struct plt_call
{
  plt_http_t *owner;
  GList link; /* in owner.calls */
  hcl_call_t *call;
  char *target;
  char *body;
  struct evbuffer *answer;
  size_t answer_limit_bytes;
  bool refused; /* the platform's word that it took no effect */
  bool too_large;
  uint64_t from;
  uint32_t max_records;
  plt_appended_t appended;
  plt_read_done_t read_done;
  plt_hosts_done_t hosts_done;
  void *context;
};

static void
call_free (plt_call_t *call)
{
  g_queue_unlink (&call->owner->calls, &call->link);
  evbuffer_free (call->answer);
  g_free (call->target);
  g_free (call->body);
  g_free (call);
}

static bool
says_no_effect (int status, struct evkeyvalq *headers)
{
  if (status >= 400 && status < 500)
    return true;
  return status == 503 && g_strcmp0 (evhttp_find_header (headers, "X-Log-Effect"), "none") == 0;
}

static bool
head_came (int status, struct evkeyvalq *headers, void *context)
{
  plt_call_t *call = context;
  call->refused = says_no_effect (status, headers);
  return true;
}

static void
data_came (struct evbuffer *data, void *context)
{
  plt_call_t *call = context;
  size_t part_bytes = evbuffer_get_length (data);
  call->too_large =
      call->too_large || evbuffer_get_length (call->answer) + part_bytes > call->answer_limit_bytes;
  if (call->too_large)
    evbuffer_drain (data, part_bytes);
  else
    evbuffer_add_buffer (call->answer, data);
}

/* Nothing that left for the platform can have taken effect; a read has none anyway, and a caller
 * that hears PLT_REFUSED for it would think that the platform is up. */
static plt_outcome_t
outcome_of (const plt_call_t *call, const hcl_end_t *end)
{
  if (!end->whole)
    return end->verdict == VRD_NOT_RUN && call->appended != NULL ? PLT_REFUSED : PLT_UNKNOWN;
  if (call->refused)
    return PLT_REFUSED;
  return end->status == 200 && !call->too_large ? PLT_OK : PLT_UNKNOWN;
}

static void
end_append (plt_call_t *call, plt_outcome_t outcome, const char *text, size_t text_bytes)
{
  uint64_t offset = 0;
  if (outcome == PLT_OK && !pla_append (text, text_bytes, &offset))
    outcome = PLT_UNKNOWN;
  call->appended (outcome, outcome == PLT_OK ? offset : 0, call->context);
}

static void
end_read (plt_call_t *call, plt_outcome_t outcome, const char *text, size_t text_bytes)
{
  pla_read_t answer = { 0 };
  if (outcome == PLT_OK && !pla_read (&answer, text, text_bytes, call->from, call->max_records))
    outcome = PLT_UNKNOWN;
  answer.read.outcome = outcome;
  call->read_done (&answer.read, call->context);
  pla_read_clear (&answer);
}

static void
end_hosts (plt_call_t *call, plt_outcome_t outcome, const char *text, size_t text_bytes)
{
  plt_hosts_t answer = { 0 };
  if (outcome == PLT_OK && !pla_hosts (&answer, text, text_bytes))
    outcome = PLT_UNKNOWN;
  answer.outcome = outcome;
  mem_listed_t *hosts = (mem_listed_t *)answer.hosts;
  call->hosts_done (&answer, call->context);
  g_free (hosts);
}

static void
call_ended (const hcl_end_t *end, void *context)
{
  plt_call_t *call = context;
  plt_outcome_t outcome = outcome_of (call, end);
  size_t text_bytes = evbuffer_get_length (call->answer);
  const char *text = text_bytes == 0 ? "" : (const char *)evbuffer_pullup (call->answer, -1);
  call->call = NULL;
  if (call->appended != NULL)
    end_append (call, outcome, text, text_bytes);
  else if (call->read_done != NULL)
    end_read (call, outcome, text, text_bytes);
  else
    end_hosts (call, outcome, text, text_bytes);
  call_free (call);
}

static plt_call_t *
call_new (plt_t *plt, size_t answer_limit_bytes, void *context)
{
  plt_http_t *owner = (plt_http_t *)plt;
  plt_call_t *call = g_new0 (plt_call_t, 1);
  call->owner = owner;
  call->answer = evbuffer_new ();
  call->answer_limit_bytes = answer_limit_bytes;
  call->context = context;
  call->link.data = call;
  g_queue_push_tail_link (&owner->calls, &call->link);
  return call;
}

static void
call_start (plt_call_t *call, const char *method, size_t body_bytes, uint32_t wait_ms)
{
  plt_http_t *owner = call->owner;
  hcl_header_t headers[2];
  uint32_t header_count = 0;
  if (owner->reader_name[0] != '\0')
    headers[header_count++] = (hcl_header_t){ "X-Reader", owner->reader_name };
  if (call->appended != NULL)
    headers[header_count++] = (hcl_header_t){ "Content-Type", CONTENT_TYPE };
  hcl_options_t options = { .address = &owner->address,
                            .method = method,
                            .target = call->target,
                            .headers = headers,
                            .header_count = header_count,
                            .body = call->body,
                            .body_bytes = body_bytes,
                            .timeout_us = ((uint64_t)wait_ms + PLT_TIMEOUT_MS) * CLK_US_PER_MS,
                            .answer_limit_bytes = (uint32_t)call->answer_limit_bytes,
                            .on_head = head_came,
                            .on_data = data_came,
                            .on_end = call_ended,
                            .context = call };
  call->call = hcl_start (owner->hcl, &options);
}

static void
http_append (plt_t *plt,
             const char *stream,
             const char *data,
             size_t data_bytes,
             plt_appended_t done,
             void *context)
{
  plt_call_t *call = call_new (plt, APPEND_ANSWER_LIMIT_BYTES, context);
  g_autofree char *name = g_uri_escape_string (stream, NULL, FALSE);
  call->appended = done;
  call->target = g_strdup_printf ("/log/append?stream=%s", name);
  call->body = g_memdup2 (data, data_bytes);
  call_start (call, "POST", data_bytes, 0);
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
  plt_call_t *call = call_new (plt, READ_ANSWER_LIMIT_BYTES, context);
  g_autofree char *name = g_uri_escape_string (stream, NULL, FALSE);
  call->read_done = done;
  call->from = from_offset;
  call->max_records = MIN (max_records, PLA_RECORDS_LIMIT);
  call->target =
      g_strdup_printf ("/log/read?stream=%s&from=%" PRIu64 "&max=%" PRIu32 "&wait_ms=%" PRIu32,
                       name, from_offset, max_records, wait_ms);
  call_start (call, "GET", 0, wait_ms);
}

static void
http_hosts (plt_t *plt, uint64_t revision, plt_hosts_done_t done, void *context)
{
  plt_call_t *call = call_new (plt, HOSTS_ANSWER_LIMIT_BYTES, context);
  call->hosts_done = done;
  call->target = g_strdup_printf ("/hosts?since=%" PRIu64, revision);
  call_start (call, "GET", 0, 0);
}

static void
http_free (plt_t *plt)
{
  plt_http_t *own = (plt_http_t *)plt;
  while (!g_queue_is_empty (&own->calls))
    {
      plt_call_t *call = g_queue_peek_head (&own->calls);
      if (call->call != NULL)
        hcl_cancel (call->call);
      call_free (call);
    }
  hcl_free (own->hcl);
  g_free (own);
}

plt_t *
plt_http_new (struct event_base *base, const set_address_t *address, const char *reader_name)
{
  plt_http_t *own = g_new0 (plt_http_t, 1);
  own->plt.append = http_append;
  own->plt.read = http_read;
  own->plt.hosts = http_hosts;
  own->plt.free = http_free;
  own->hcl = hcl_new (base, IDLE_CONNECTIONS, IDLE_TIMEOUT_MS);
  own->address = *address;
  if (reader_name != NULL)
    g_strlcpy (own->reader_name, reader_name, sizeof own->reader_name);
  g_queue_init (&own->calls);
  return &own->plt;
}
