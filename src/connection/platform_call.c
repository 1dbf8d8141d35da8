#include "connection/platform_call.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <glib.h>
#include <sys/queue.h>

#define IDLE_CONNECTIONS_MAX 4
#define IDLE_TIMEOUT_MS 30000

struct pcl
{
  hcl_t *hcl;
  set_address_t address;
  char reader_name[LIM_NAME_BYTES];
  GQueue calls; /* pending calls, of call_t */
};

typedef struct
{
  pcl_t *pcl;
  GList link; /* in pcl.calls */
  hcl_call_t *call;
  char *target;
  char *body;
  struct evkeyvalq headers;
  struct evbuffer *answer;
  size_t answer_limit_bytes;
  bool too_large;
  pcl_done_t done;
  void (*dropped) (void *context);
  void *context;
} call_t;

static void
call_free (call_t *call)
{
  g_queue_unlink (&call->pcl->calls, &call->link);
  evhttp_clear_headers (&call->headers);
  evbuffer_free (call->answer);
  g_free (call->target);
  g_free (call->body);
  g_free (call);
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  call_t *call = context;
  const struct evkeyval *header;

  (void)status;
  for (header = headers->tqh_first; header; header = header->next.tqe_next)
    evhttp_add_header (&call->headers, header->key, header->value);
  return true;
}

static void
on_data (struct evbuffer *data, void *context)
{
  call_t *call = context;
  size_t part_bytes = evbuffer_get_length (data);

  call->too_large =
      call->too_large || evbuffer_get_length (call->answer) + part_bytes > call->answer_limit_bytes;
  if (call->too_large)
    evbuffer_drain (data, part_bytes);
  else
    evbuffer_add_buffer (call->answer, data);
}

static void
on_end (const hcl_end_t *end, void *context)
{
  call_t *call = context;
  bool complete = end->whole && !call->too_large;
  size_t body_bytes = complete ? evbuffer_get_length (call->answer) : 0;
  pcl_answer_t answer = { .status = complete ? end->status : 0,
                          .not_sent = !end->whole && end->verdict == VERDICT_NOT_RUN,
                          .headers = &call->headers,
                          .body = "",
                          .body_bytes = body_bytes };

  if (body_bytes > 0)
    answer.body = (const char *)evbuffer_pullup (call->answer, -1);
  call->call = NULL;
  call->done (&answer, call->context);
  call_free (call);
}

void
pcl_start (pcl_t *pcl, const pcl_request_t *request)
{
  call_t *call = g_new0 (call_t, 1);
  hcl_header_t headers[2];
  uint32_t header_count = 0;

  call->pcl = pcl;
  call->target = g_strdup (request->target);
  call->body = request->body_bytes > 0 ? g_memdup2 (request->body, request->body_bytes) : NULL;
  TAILQ_INIT (&call->headers);
  call->answer = evbuffer_new ();
  call->answer_limit_bytes = request->answer_limit_bytes;
  call->done = request->done;
  call->dropped = request->dropped;
  call->context = request->context;
  call->link.data = call;
  g_queue_push_tail_link (&pcl->calls, &call->link);
  if (pcl->reader_name[0] != '\0')
    headers[header_count++] = (hcl_header_t){ "X-Reader", pcl->reader_name };
  if (request->content_type)
    headers[header_count++] = (hcl_header_t){ "Content-Type", request->content_type };
  call->call = hcl_start (
      pcl->hcl, &(hcl_options_t){ .address = &pcl->address,
                                  .method = request->method,
                                  .target = call->target,
                                  .headers = headers,
                                  .header_count = header_count,
                                  .body = call->body,
                                  .body_bytes = request->body_bytes,
                                  .timeout_us = (uint64_t)request->timeout_ms * CLK_US_PER_MS,
                                  .answer_limit_bytes = (uint32_t)request->answer_limit_bytes,
                                  .on_head = on_head,
                                  .on_data = on_data,
                                  .on_end = on_end,
                                  .context = call });
}

pcl_t *
pcl_new (struct event_base *base, const set_address_t *address, const char *reader_name)
{
  pcl_t *pcl = g_new0 (pcl_t, 1);

  pcl->hcl = hcl_new (base, IDLE_CONNECTIONS_MAX, IDLE_TIMEOUT_MS);
  pcl->address = *address;
  if (reader_name)
    g_strlcpy (pcl->reader_name, reader_name, sizeof pcl->reader_name);
  g_queue_init (&pcl->calls);
  return pcl;
}

void
pcl_free (pcl_t *pcl)
{
  while (!g_queue_is_empty (&pcl->calls))
    {
      call_t *call = g_queue_peek_head (&pcl->calls);

      if (call->call)
        hcl_cancel (call->call);
      call->dropped (call->context);
      call_free (call);
    }
  hcl_free (pcl->hcl);
  g_free (pcl);
}
