#include "connection/platform_client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <glib.h>
#include <sys/queue.h>

#define IDLE_CONNECTIONS_MAX 4
#define IDLE_TIMEOUT_MS 30000

struct platform_client
{
  http_client_t *http_client;
  address_t address;
  char reader_name[LIMIT_NAME_BYTES];
  GQueue calls; /* pending calls, of call_t */
};

typedef struct
{
  platform_client_t *platform_client;
  GList link; /* in platform_client.calls */
  http_client_call_t *call;
  char *target;
  char *body;
  struct evkeyvalq headers;
  struct evbuffer *answer;
  size_t answer_limit_bytes;
  bool too_large;
  platform_client_done_t done;
  void (*dropped) (void *context);
  void *context;
} call_t;

static void
call_free (call_t *call)
{
  g_queue_unlink (&call->platform_client->calls, &call->link);
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
    http_client_keep_data (call->answer, data);
}

static void
on_end (const http_client_result_t *end, void *context)
{
  call_t *call = context;
  bool complete = end->complete && !call->too_large;
  size_t body_bytes = complete ? evbuffer_get_length (call->answer) : 0;
  platform_client_answer_t answer = { .status = complete ? end->status : 0,
                                      .not_sent = !end->complete && end->verdict == VERDICT_NOT_RUN,
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
platform_client_start (platform_client_t *platform_client, const platform_client_request_t *request)
{
  call_t *call = g_new0 (call_t, 1);
  http_client_header_t headers[2];
  uint32_t header_count = 0;

  call->platform_client = platform_client;
  call->target = g_strdup (request->target);
  call->body = request->body_bytes > 0 ? g_memdup2 (request->body, request->body_bytes) : NULL;
  TAILQ_INIT (&call->headers);
  call->answer = evbuffer_new ();
  call->answer_limit_bytes = request->answer_limit_bytes;
  call->done = request->done;
  call->dropped = request->on_dropped;
  call->context = request->context;
  call->link.data = call;
  g_queue_push_tail_link (&platform_client->calls, &call->link);
  if (platform_client->reader_name[0] != '\0')
    headers[header_count++] = (http_client_header_t){ "X-Reader", platform_client->reader_name };
  if (request->content_type)
    headers[header_count++] = (http_client_header_t){ "Content-Type", request->content_type };
  call->call = http_client_start_call (
      platform_client->http_client,
      &(http_client_options_t){ .address = &platform_client->address,
                                .method = request->method,
                                .target = call->target,
                                .headers = headers,
                                .header_count = header_count,
                                .body = call->body,
                                .body_bytes = request->body_bytes,
                                .timeout_us = (uint64_t)request->timeout_ms * CLOCK_US_PER_MS,
                                .answer_limit_bytes = (uint32_t)request->answer_limit_bytes,
                                .on_head = on_head,
                                .on_data = on_data,
                                .on_end = on_end,
                                .context = call });
}

platform_client_t *
platform_client_new (struct event_base *base, const address_t *address, const char *reader_name)
{
  platform_client_t *platform_client = g_new0 (platform_client_t, 1);

  platform_client->http_client = http_client_new (base, IDLE_CONNECTIONS_MAX, IDLE_TIMEOUT_MS);
  platform_client->address = *address;
  if (reader_name)
    g_strlcpy (platform_client->reader_name, reader_name, sizeof platform_client->reader_name);
  g_queue_init (&platform_client->calls);
  return platform_client;
}

void
platform_client_free (platform_client_t *platform_client)
{
  while (!g_queue_is_empty (&platform_client->calls))
    {
      call_t *call = g_queue_peek_head (&platform_client->calls);

      if (call->call)
        http_client_cancel_call (call->call);
      call->dropped (call->context);
      call_free (call);
    }
  http_client_free (platform_client->http_client);
  g_free (platform_client);
}
