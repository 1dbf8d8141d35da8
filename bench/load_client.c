#include "load_client.h"

#include "request/hop.h"
#include "request/policy/retries/verdict.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

struct load_client
{
  struct event_base *base;
  GHashTable *idle; /* "IP:PORT" -> GQueue of evhttp_connection */
};

typedef struct
{
  load_client_t *owner;
  struct evhttp_connection *connection;
  struct evhttp_request *request; /* NULL after evhttp has freed it */
  struct event *timer;            /* the timeout; after the request, the deferred callback */
  char *endpoint;
  load_client_done_t done;
  void *context;
  GString *body;
  load_client_answer_t answer;
  bool keep_alive;
  char *verdict;
  char *engine;
} load_client_call_t;

static void
queue_free (gpointer data)
{
  GQueue *queue = data;
  while (!g_queue_is_empty (queue))
    evhttp_connection_free (g_queue_pop_head (queue));
  g_queue_free (queue);
}

static GQueue *
idle_connections (load_client_t *client, const char *endpoint)
{
  GQueue *queue = g_hash_table_lookup (client->idle, endpoint);
  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (client->idle, g_strdup (endpoint), queue);
    }
  return queue;
}

static struct evhttp_connection *
take_connection (load_client_t *client, const char *endpoint, const address_t *address)
{
  struct evhttp_connection *connection = g_queue_pop_head (idle_connections (client, endpoint));
  if (connection != NULL)
    return connection;
  return evhttp_connection_base_new (client->base, NULL, address->ip, address->port);
}

static void
call_free (load_client_call_t *call)
{
  event_free (call->timer);
  g_string_free (call->body, TRUE);
  g_free (call->endpoint);
  g_free (call->verdict);
  g_free (call->engine);
  g_free (call);
}

static void
call_end (load_client_call_t *call)
{
  call->answer.body = call->body;
  call->answer.verdict = call->verdict;
  call->answer.engine = call->engine;
  if (call->keep_alive)
    g_queue_push_head (idle_connections (call->owner, call->endpoint), call->connection);
  else
    evhttp_connection_free (call->connection);
  call->done (&call->answer, call->context);
  call_free (call);
}

/* Runs when the request times out, or in the event loop's next iteration after it has ended. */
static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  load_client_call_t *call = arg;
  (void)fd;
  (void)what;
  if (call->request != NULL)
    {
      evhttp_cancel_request (call->request);
      call->request = NULL;
      call->answer.failure = "timeout";
      call->answer.end_us = (uint64_t)g_get_monotonic_time ();
    }
  call_end (call);
}

static void
end_deferred (load_client_call_t *call)
{
  static const struct timeval no_delay = { 0, 0 };
  call->request = NULL;
  event_add (call->timer, &no_delay);
}

static char *
copy_header (struct evkeyvalq *headers, const char *name)
{
  return g_strdup (evhttp_find_header (headers, name));
}

static bool
has_declared_length (struct evkeyvalq *headers)
{
  return evhttp_find_header (headers, "Content-Length") != NULL ||
         evhttp_find_header (headers, "Transfer-Encoding") != NULL;
}

static void
read_headers (load_client_call_t *call, struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  const char *connection = evhttp_find_header (headers, "Connection");
  call->answer.status = evhttp_request_get_response_code (request);
  call->verdict = copy_header (headers, VERDICT_HEADER);
  call->engine = copy_header (headers, HOP_ENGINE_HEADER);
  if (call->engine == NULL)
    call->engine = copy_header (headers, "X-Engine");
  call->keep_alive = connection == NULL || g_ascii_strcasecmp (connection, "close") != 0;
  if (has_declared_length (headers))
    return;
  call->answer.failure = "no_length";
  call->keep_alive = false;
}

static void
on_body_part (struct evhttp_request *request, void *arg)
{
  load_client_call_t *call = arg;
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t part_bytes = evbuffer_get_length (input);
  if (call->answer.first_us == 0)
    call->answer.first_us = (uint64_t)g_get_monotonic_time ();
  g_string_append_len (call->body, (const char *)evbuffer_pullup (input, -1), (gssize)part_bytes);
}

static void
on_request_done (struct evhttp_request *request, void *arg)
{
  load_client_call_t *call = arg;
  call->answer.end_us = (uint64_t)g_get_monotonic_time ();
  if (request == NULL)
    call->answer.failure = "cut";
  else if (evhttp_request_get_response_code (request) == 0)
    call->answer.failure = "connect";
  else
    read_headers (call, request);
  if (call->answer.first_us == 0)
    call->answer.first_us = call->answer.end_us;
  end_deferred (call);
}

static void
add_headers (struct evhttp_request *request, const load_client_request_t *options)
{
  struct evkeyvalq *out = evhttp_request_get_output_headers (request);
  evhttp_add_header (out, "Host", options->address->ip);
  for (const load_client_header_t *header = options->headers; header->name != NULL; header++)
    if (header->value != NULL)
      evhttp_add_header (out, header->name, header->value);
}

/* Nagle's algorithm would hold back the end of a long body until a delayed acknowledgement. */
static void
disable_nagle (struct evhttp_connection *connection)
{
  int fd = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));
  int on = 1;
  if (fd >= 0)
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

load_client_t *
load_client_new (struct event_base *base)
{
  load_client_t *client = g_new0 (load_client_t, 1);
  client->base = base;
  client->idle = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, queue_free);
  return client;
}

void
load_client_free (load_client_t *client)
{
  if (client == NULL)
    return;
  g_hash_table_destroy (client->idle);
  g_free (client);
}

void
load_client_send (load_client_t *client, const load_client_request_t *options)
{
  load_client_call_t *call = g_new0 (load_client_call_t, 1);
  struct timeval timeout = { (time_t)(options->timeout_ms / 1000),
                             (suseconds_t)(options->timeout_ms % 1000 * 1000) };
  enum evhttp_cmd_type command =
      strcmp (options->method, "GET") == 0 ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
  call->owner = client;
  call->done = options->done;
  call->context = options->context;
  call->body = g_string_new (NULL);
  call->endpoint = g_strdup_printf ("%s:%u", options->address->ip, options->address->port);
  call->connection = take_connection (client, call->endpoint, options->address);
  call->timer = evtimer_new (client->base, on_timer, call);
  call->request = evhttp_request_new (on_request_done, call);
  evhttp_request_set_chunked_cb (call->request, on_body_part);
  add_headers (call->request, options);
  if (command == EVHTTP_REQ_POST)
    evbuffer_add (evhttp_request_get_output_buffer (call->request), options->body->str,
                  options->body->len);
  event_add (call->timer, &timeout);
  struct evhttp_request *request = call->request;
  if (evhttp_make_request (call->connection, request, command, options->target) != 0 &&
      call->answer.failure == NULL)
    {
      call->answer.failure = "connect";
      end_deferred (call);
      return;
    }
  disable_nagle (call->connection);
}
