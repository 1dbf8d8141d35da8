/* The clients: they send requests during all faults, over connections that are kept open. */
#include "soak.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>

#define GATEWAY_IP_OCTET 10
#define GATEWAY_PORT 8080
#define DEADLINE_MS G_STRINGIFY (SOAK_DEADLINE_MS)
#define SUBJECTS 8 /* second parts of prompts that end no upstream */
#define CLIENT_TIMEOUT_US (UINT64_C (4000) * 1000)

static const char *const paths[SOAK_KINDS] = { "/look/", "/book/", "/talk/", "/tell/" };

void
soak_request_free (gpointer data)
{
  soak_request_t *call = data;

  g_string_free (call->body, TRUE);
  g_free (call->id);
  g_free (call->path);
  g_free (call);
}

static uint64_t
retry_after_us (const char *seconds)
{
  return seconds ? (uint64_t)(g_ascii_strtod (seconds, NULL) * 1e6) : 0;
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  soak_request_t *call = context;
  const char *stamp = evhttp_find_header (headers, "X-Response-Stamp");

  call->status = status;
  call->retry_after_us = retry_after_us (evhttp_find_header (headers, "Retry-After"));
  g_strlcpy (call->stamp, stamp ? stamp : "", sizeof call->stamp);
  return true;
}

static void
on_data (struct evbuffer *data, void *context)
{
  soak_request_t *call = context;
  size_t bytes = evbuffer_get_length (data);

  g_string_append_len (call->body, (const char *)evbuffer_pullup (data, -1), (gssize)bytes);
  evbuffer_drain (data, bytes);
}

static void
on_end (const http_client_result_t *end, void *context)
{
  soak_request_t *call = context;

  call->complete = end->complete;
  call->ended_us = soak_now_us ();
  call->http_call = NULL;
}

const char *
soak_kind_path (uint32_t kind)
{
  return paths[kind];
}

/* Return: the id of the request that brought the first event of the stream */
static const char *
find_first_id (const soak_request_t *resumed)
{
  const char *id = NULL;

  for (; resumed; resumed = resumed->resumed)
    if (soak_count_events (resumed) > 0)
      id = resumed->id;
  return id;
}

static void
send_kept (soak_request_t *call, bool is_get, const http_client_header_t *headers, uint32_t count)
{
  GString *head = g_string_new (NULL);

  for (uint32_t i = 0; i < count; i++)
    g_string_append_printf (head, "%s: %s\r\n", headers[i].name, headers[i].value);
  soak_keeper_send (call, is_get ? "GET" : "POST", head->str);
  g_string_free (head, TRUE);
}

static void
send_pooled (soak_request_t *call, bool is_get, const http_client_header_t *headers, uint32_t count)
{
  address_t address = soak_address (call->soak, GATEWAY_IP_OCTET + call->gateway, GATEWAY_PORT);

  call->http_call = http_client_start_call (
      call->soak->http_client, &(http_client_options_t){ .address = &address,
                                                         .method = is_get ? "GET" : "POST",
                                                         .target = call->path,
                                                         .headers = headers,
                                                         .header_count = count,
                                                         .timeout_us = CLIENT_TIMEOUT_US,
                                                         .on_head = on_head,
                                                         .on_data = on_data,
                                                         .on_end = on_end,
                                                         .context = call });
}

static soak_request_t *
send_request (soak_t *soak,
              uint32_t gateway,
              uint32_t kind,
              uint32_t version,
              const char *path,
              const char *part,
              bool valid_key,
              const soak_request_t *resumed)
{
  soak_request_t *call = g_new0 (soak_request_t, 1);
  bool is_get = version > 1 || kind == SOAK_IDEMPOTENT;
  http_client_header_t headers[] = { { "Host", "h.example" },
                                     { "X-Request-Id", NULL },
                                     { "X-Key", valid_key ? "key-1" : "key-of-nobody" },
                                     { "X-Deadline-Ms", DEADLINE_MS },
                                     { "X-Prompt-Prefix", NULL },
                                     { "Last-Event-Id", NULL },
                                     { "Resumes", NULL } };
  uint32_t header_count = G_N_ELEMENTS (headers) - (resumed ? 0 : 2);
  g_autofree char *last_event = NULL;
  g_autofree char *prompt = NULL;

  call->soak = soak;
  call->id = g_strdup_printf ("s%" G_GUINT64_FORMAT "-%u", soak->seed, ++soak->next_id);
  call->gateway = gateway;
  call->incarnation = soak->start_counts[gateway];
  call->kind = version > 1 ? SOAK_IDEMPOTENT : kind;
  call->version = version;
  call->path = g_strdup (path);
  call->valid_key = valid_key;
  call->sent_us = soak_now_us ();
  call->body = g_string_new (NULL);
  call->resumed = resumed;
  call->first_event = resumed ? soak_last_event (resumed) + 1 : 1;
  last_event = g_strdup_printf ("%u", call->first_event - 1);
  prompt =
      part ? g_strdup_printf ("f1f1:800,%s:400,%x:20", part, soak->next_id)
           : g_strdup_printf ("f1f1:800,50b%u:400,%x:20", soak->next_id % SUBJECTS, soak->next_id);
  headers[1].value = call->id;
  headers[4].value = prompt;
  headers[5].value = last_event;
  headers[6].value = find_first_id (resumed);
  g_ptr_array_add (soak->calls, call);
  if (soak->silences.enabled)
    send_kept (call, is_get, headers, header_count);
  else
    send_pooled (call, is_get, headers, header_count);
  call->versions_serve = soak_versions_serve (soak);
  soak_note_stream (call);
  return call;
}

void
soak_send_request (soak_t *soak, uint32_t gateway, uint32_t kind, uint32_t version, bool valid_key)
{
  g_autofree char *path = version > 1 ? g_strdup_printf ("/v%u/", version) : g_strdup (paths[kind]);

  send_request (soak, gateway, kind, version, path, NULL, valid_key, NULL);
}

void
soak_send_to_path (
    soak_t *soak, uint32_t gateway, uint32_t kind, const char *path, const char *part)
{
  send_request (soak, gateway, kind, 0, path, part, true, NULL);
}

void
soak_send_resumption (soak_t *soak, uint32_t gateway, const soak_request_t *call)
{
  send_request (soak, gateway, call->kind, 0, call->path, NULL, true, call);
}

/* A resumption that is refused names the same event again; its own response holds none. */
void
soak_send_again (soak_t *soak, uint32_t gateway, soak_request_t *call)
{
  bool is_refused = call->status == 503;
  soak_request_t *next =
      send_request (soak, gateway, call->kind, 0, call->path, NULL, true, call->resumed);

  next->refusals = call->refusals + (is_refused ? 1 : 0);
  next->unreached = call->unreached + (is_refused ? 0 : 1);
  call->followed = true;
}

void
soak_send_random_request (soak_t *soak)
{
  uint32_t gateway = soak_random (soak, soak->gateway_count);
  uint32_t draw = soak_random (soak, 20);

  if (draw == 0)
    soak_send_request (soak, gateway, soak_random (soak, SOAK_KINDS), 0, false);
  else if (draw < 4 && soak->version > 1)
    soak_send_request (soak, gateway, SOAK_IDEMPOTENT, 2 + soak_random (soak, soak->version - 1),
                       true);
  else
    soak_send_request (soak, gateway, soak_random (soak, SOAK_KINDS), 0, true);
}
