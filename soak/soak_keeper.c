/* Clients with kept connections. They send at any moment at which a caller may by the idle timeout
 * in force, and find out of a connection that ends whether the gateway had read the request. */
#define _GNU_SOURCE /* SOCK_NONBLOCK */
#include "soak.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define GATEWAY_IP_OCTET 10
#define GATEWAY_PORT 8080
#define CLIENT_TIMEOUT_MS 8000
#define IDLE_TIMEOUT_MS 60000 /* of a gateway when the configuration states none */
#define NEW_CONNECTION_PERCENT 12
#define BODY_MAX_BYTES 4000
#define SPLIT_PERCENT 25 /* of requests that are sent in several parts */
#define PARTS_MAX 3
#define PAUSE_MIN_MS 20 /* between two of them */
#define PAUSE_SPREAD_MS 180

/**
 * struct connection - a connection to a gateway, with one request at a time
 * @call: the request, NULL while the connection is idle
 * @request: its bytes, @sent_bytes of which are sent; those up to @part_bytes are due
 * @response: bytes of the response that were received
 * @body_at: where its body, or the next chunk of it, begins; 0 before its head has come
 * @body_bytes: length of the body; -1 in chunks, -2 until the connection ends
 * @closes: the response says that it is the last one
 */
typedef struct
{
  soak_t *soak;
  uint32_t gateway;
  uint32_t incarnation;
  int fd;
  struct event *readable;
  struct event *writable;
  struct event *timer;
  soak_request_t *call;
  GString *request;
  gsize sent_bytes;
  gsize part_bytes;
  GString *response;
  gsize body_at;
  gint64 body_bytes;
  bool closes;
  uint64_t idle_since_us;
} connection_t;

static uint32_t
draw (soak_t *soak, uint32_t below)
{
  return (uint32_t)g_rand_int_range (soak->silences.client_rand, 0, (gint32)below);
}

static void
connection_free (connection_t *connection)
{
  event_free (connection->readable);
  event_free (connection->writable);
  event_free (connection->timer);
  close (connection->fd);
  g_string_free (connection->request, TRUE);
  g_string_free (connection->response, TRUE);
  g_free (connection);
}

static void
discard (connection_t *connection)
{
  g_ptr_array_remove_fast (connection->soak->silences.connections, connection);
  connection_free (connection);
}

static void
end_call (connection_t *connection, soak_end_t end)
{
  soak_request_t *call = connection->call;

  connection->call = NULL;
  call->end = end;
  call->complete = end == SOAK_END_ANSWERED;
  call->ended_us = soak_now_us ();
  event_del (connection->timer);
}

/* The request was read when the gateway's kernel has acknowledged all of it and the connection was
 * closed in order: unread bytes make it a reset. */
static soak_end_t
find_end (const connection_t *connection, ssize_t received)
{
  struct tcp_info info = { 0 };
  socklen_t info_bytes = sizeof info;
  bool is_whole = connection->sent_bytes == connection->request->len;

  if (connection->sent_bytes == 0)
    return SOAK_END_UNCONNECTED;
  getsockopt (connection->fd, IPPROTO_TCP, TCP_INFO, &info, &info_bytes);
  return received == 0 && is_whole && info.tcpi_state == TCP_CLOSE_WAIT && info.tcpi_unacked == 0
             ? SOAK_END_CLOSED
             : SOAK_END_RESET;
}

/* Return: whether the head is whole */
static bool
read_head (connection_t *connection)
{
  soak_request_t *call = connection->call;
  const char *end = strstr (connection->response->str, "\r\n\r\n");

  if (!end)
    return false;
  g_autofree char *head =
      g_strndup (connection->response->str, (gsize)(end - connection->response->str));
  g_auto (GStrv) lines = g_strsplit (head, "\r\n", -1);
  connection->body_at = strlen (head) + strlen ("\r\n\r\n");
  connection->body_bytes = -2;
  call->status = lines[0] && strlen (lines[0]) > 9 ? (int)strtol (lines[0] + 9, NULL, 10) : 0;
  for (char **line = lines + 1; *line; line++)
    {
      char *value = strchr (*line, ':');

      if (!value)
        continue;
      *value++ = '\0';
      g_strstrip (value);
      if (g_ascii_strcasecmp (*line, "Content-Length") == 0)
        connection->body_bytes = g_ascii_strtoll (value, NULL, 10);
      else if (g_ascii_strcasecmp (*line, "Transfer-Encoding") == 0)
        connection->body_bytes = -1;
      else if (g_ascii_strcasecmp (*line, "Connection") == 0)
        connection->closes = g_ascii_strcasecmp (value, "close") == 0;
      else if (g_ascii_strcasecmp (*line, "Retry-After") == 0)
        call->retry_after_us = (uint64_t)(g_ascii_strtod (value, NULL) * 1e6);
      else if (g_ascii_strcasecmp (*line, "X-Response-Stamp") == 0)
        g_strlcpy (call->stamp, value, sizeof call->stamp);
    }
  return true;
}

/* Return: whether the last one was read */
static bool
read_chunks (connection_t *connection)
{
  GString *response = connection->response;

  for (;;)
    {
      const char *begin = response->str + connection->body_at;
      const char *line_end = strstr (begin, "\r\n");
      gsize bytes = line_end ? (gsize)strtoul (begin, NULL, 16) : 0;
      gsize data_at = line_end ? (gsize)(line_end + 2 - response->str) : 0;

      if (!line_end || data_at + bytes + 2 > response->len)
        return false;
      if (bytes == 0)
        return true;
      g_string_append_len (connection->call->body, response->str + data_at, (gssize)bytes);
      connection->body_at = data_at + bytes + 2;
    }
}

/* Return: whether the whole response was read */
static bool
read_response (connection_t *connection)
{
  GString *response = connection->response;

  if (connection->body_at == 0 && !read_head (connection))
    return false;
  if (connection->body_bytes == -1)
    return read_chunks (connection);
  if (connection->body_bytes < 0 ||
      response->len < connection->body_at + (gsize)connection->body_bytes)
    return false;
  g_string_append_len (connection->call->body, response->str + connection->body_at,
                       (gssize)connection->body_bytes);
  return true;
}

static void
keep_or_discard (connection_t *connection)
{
  bool closes = connection->closes;

  end_call (connection, SOAK_END_ANSWERED);
  if (closes)
    {
      discard (connection);
      return;
    }
  connection->idle_since_us = soak_now_us ();
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  connection_t *connection = context;
  char bytes[16384];
  ssize_t received = recv (fd, bytes, sizeof bytes, 0);

  (void)what;
  if (received < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (received > 0 && connection->call)
    {
      g_string_append_len (connection->response, bytes, received);
      if (read_response (connection))
        keep_or_discard (connection);
      return;
    }
  if (connection->call)
    end_call (connection, find_end (connection, received));
  discard (connection);
}

static void
wait_ms (connection_t *connection, uint32_t ms)
{
  struct timeval wait = { ms / 1000, ms % 1000 * 1000 };

  event_add (connection->timer, &wait);
}

/* The next part of the request, after which the last wait is for the response. */
static void
schedule_part (connection_t *connection)
{
  if (connection->sent_bytes == connection->request->len)
    wait_ms (connection, CLIENT_TIMEOUT_MS);
  else
    wait_ms (connection, PAUSE_MIN_MS + draw (connection->soak, PAUSE_SPREAD_MS));
}

static void
on_writable (evutil_socket_t fd, short what, void *context)
{
  connection_t *connection = context;
  gsize due_bytes = connection->part_bytes - connection->sent_bytes;
  ssize_t sent =
      send (fd, connection->request->str + connection->sent_bytes, due_bytes, MSG_NOSIGNAL);

  (void)what;
  if (sent < 0 && errno != EAGAIN && errno != EINTR)
    {
      end_call (connection, find_end (connection, -1));
      discard (connection);
      return;
    }
  connection->sent_bytes += sent > 0 ? (gsize)sent : 0;
  if (connection->call && connection->sent_bytes == connection->request->len)
    connection->call->written_us = soak_now_us ();
  if (connection->sent_bytes < connection->part_bytes)
    event_add (connection->writable, NULL);
  else
    schedule_part (connection);
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  connection_t *connection = context;
  gsize left_bytes = connection->request->len - connection->sent_bytes;

  (void)fd;
  (void)what;
  if (left_bytes == 0)
    {
      end_call (connection, SOAK_END_TIMEOUT);
      discard (connection);
      return;
    }
  connection->part_bytes += MIN (left_bytes, connection->request->len / PARTS_MAX + 1);
  event_add (connection->writable, NULL);
}

static connection_t *
connection_new (soak_t *soak, uint32_t gateway)
{
  connection_t *connection = g_new0 (connection_t, 1);
  address_t address = soak_address (soak, GATEWAY_IP_OCTET + gateway, GATEWAY_PORT);
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (address.port) };
  int one = 1;

  evutil_inet_pton (AF_INET, address.ip, &to.sin_addr);
  connection->soak = soak;
  connection->gateway = gateway;
  connection->incarnation = soak->start_counts[gateway];
  connection->request = g_string_new (NULL);
  connection->response = g_string_new (NULL);
  connection->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  g_assert (connection->fd >= 0);
  setsockopt (connection->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (connection->fd, (struct sockaddr *)&to, sizeof to) < 0 && errno != EINPROGRESS)
    soak_log (soak, "gateway-%u: no connection: %s", gateway, g_strerror (errno));
  connection->readable =
      event_new (soak->base, connection->fd, EV_READ | EV_PERSIST, on_readable, connection);
  connection->writable = event_new (soak->base, connection->fd, EV_WRITE, on_writable, connection);
  connection->timer = evtimer_new (soak->base, on_timer, connection);
  event_add (connection->readable, NULL);
  g_ptr_array_add (soak->silences.connections, connection);
  return connection;
}

static uint64_t
idle_timeout_us (const soak_config_t *config, uint32_t kind)
{
  (void)kind;
  return (uint64_t)(config->idle_timeout_ms > 0 ? config->idle_timeout_ms : IDLE_TIMEOUT_MS) * 1000;
}

static bool
is_open (const connection_t *connection)
{
  char byte;

  return recv (connection->fd, &byte, 1, MSG_PEEK) < 0 && errno == EAGAIN;
}

/* Clients use a connection until it has been idle for four fifths of the idle timeout. Those that
 * were idle for longest come first. */
static connection_t *
find_kept (soak_t *soak, uint32_t gateway)
{
  GPtrArray *connections = soak->silences.connections;
  connection_t *found = NULL;

  for (guint i = connections->len; i > 0; i--)
    {
      connection_t *connection = g_ptr_array_index (connections, i - 1);
      uint64_t now_us = soak_now_us ();
      uint64_t least_us;

      if (connection->call || connection->gateway != gateway)
        continue;
      least_us =
          soak_config_least (soak, connection->idle_since_us, now_us, idle_timeout_us, 0) * 4 / 5;
      if (now_us - connection->idle_since_us > least_us || !is_open (connection))
        discard (connection);
      else if (!found || connection->idle_since_us < found->idle_since_us)
        found = connection;
    }
  return found;
}

static void
write_request (connection_t *connection, const char *method, const char *head)
{
  bool has_body = strcmp (method, "GET") != 0;
  uint32_t body_bytes = has_body ? draw (connection->soak, BODY_MAX_BYTES) : 0;

  g_string_printf (connection->request, "%s %s HTTP/1.1\r\n%s", method, connection->call->path,
                   head);
  if (has_body)
    g_string_append_printf (connection->request, "Content-Length: %u\r\n", body_bytes);
  g_string_append (connection->request, "\r\n");
  for (uint32_t i = 0; i < body_bytes; i++)
    g_string_append_c (connection->request, 'x');
}

void
soak_keeper_send (soak_request_t *call, const char *method, const char *head)
{
  soak_t *soak = call->soak;
  bool is_new = draw (soak, 100) < NEW_CONNECTION_PERCENT;
  bool is_split = draw (soak, 100) < SPLIT_PERCENT && soak->silences.began_us > 0;
  connection_t *connection = find_kept (soak, call->gateway);

  if (is_new || !connection)
    connection = connection_new (soak, call->gateway);
  else
    call->idle_us = soak_now_us () - connection->idle_since_us;
  call->incarnation = connection->incarnation;
  connection->call = call;
  connection->sent_bytes = 0;
  connection->body_at = 0;
  connection->closes = false;
  g_string_truncate (connection->response, 0);
  write_request (connection, method, head);
  connection->part_bytes =
      is_split ? connection->request->len / PARTS_MAX + 1 : connection->request->len;
  if (call->idle_us > 0)
    on_writable (connection->fd, 0, connection);
  else
    event_add (connection->writable, NULL);
}

void
soak_keeper_free (soak_t *soak)
{
  GPtrArray *connections = soak->silences.connections;

  while (connections->len > 0)
    discard (g_ptr_array_index (connections, connections->len - 1));
}
