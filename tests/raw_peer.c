#include "raw_peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEADLINE_S 5

address_t
raw_peer_loopback_address (void)
{
  address_t address = { "", 0 };
  unsigned pid = (unsigned)getpid ();

  g_snprintf (address.ip, sizeof address.ip, "127.%u.%u.1", (pid >> 8 & 0x7f) + 1, pid & 0xff);
  return address;
}

static struct sockaddr_in
sockaddr_of (const address_t *address)
{
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (address->port) };

  inet_pton (AF_INET, address->ip, &name.sin_addr);
  return name;
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  raw_peer_t *raw = context;
  char bytes[64 * 1024];
  ssize_t count = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);

  (void)what;
  if (count > 0)
    g_string_append_len (raw->received, bytes, count);
  else if (count < 0 && errno == EAGAIN)
    return;
  else
    {
      raw->reset = count < 0;
      raw->eof = true;
      event_del (raw->readable);
    }
}

static raw_peer_t *
raw_new (struct event_base *base, int fd, event_callback_fn readable, void *context)
{
  raw_peer_t *raw = g_new0 (raw_peer_t, 1);

  raw->base = base;
  raw->fd = fd;
  raw->received = g_string_new (NULL);
  raw->readable = event_new (base, fd, EV_READ | EV_PERSIST, readable, context ? context : raw);
  event_add (raw->readable, NULL);
  return raw;
}

raw_peer_t *
raw_peer_connect (struct event_base *base, const address_t *address)
{
  struct sockaddr_in name = sockaddr_of (address);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert (connect (fd, (struct sockaddr *)&name, sizeof name) == 0);
  return raw_new (base, fd, on_readable, NULL);
}

void
raw_peer_send (raw_peer_t *raw, const char *text)
{
  g_assert (send (raw->fd, text, strlen (text), MSG_NOSIGNAL) == (ssize_t)strlen (text));
}

void
raw_peer_close (raw_peer_t *raw, bool reset)
{
  struct linger linger = { 1, 0 };

  if (raw->fd < 0)
    return;
  event_del (raw->readable);
  if (reset)
    setsockopt (raw->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (raw->fd);
  raw->fd = -1;
}

void
raw_peer_free (raw_peer_t *raw)
{
  raw_peer_close (raw, false);
  event_free (raw->readable);
  g_string_free (raw->received, TRUE);
  g_free (raw);
}

static void
send_script (raw_server_t *server, raw_peer_t *raw)
{
  uint32_t last = server->script_count - 1;
  const char *script = server->scripts[MIN (server->request_count, last)];

  server->request_count++;
  if (script)
    raw_peer_send (raw, script);
  if (server->close_after || server->reset_after)
    raw_peer_close (raw, server->reset_after);
}

static void
on_server_readable (evutil_socket_t fd, short what, void *context)
{
  raw_server_t *server = context;

  for (guint i = 0; i < server->connections->len; i++)
    {
      raw_peer_t *raw = server->connections->pdata[i];
      const char *end;

      if (raw->fd != fd)
        continue;
      on_readable (fd, what, raw);
      if (raw->eof)
        return; /* a head that is kept is not another request */
      end = strstr (raw->received->str, "\r\n\r\n");
      if (!end)
        return;
      if (!server->keep_head)
        g_string_erase (raw->received, 0, end + 4 - raw->received->str);
      send_script (server, raw);
      return;
    }
}

static void
on_acceptable (evutil_socket_t fd, short what, void *context)
{
  raw_server_t *server = context;
  int conn_fd = accept (fd, NULL, NULL);
  raw_peer_t *raw;

  (void)what;
  if (conn_fd < 0)
    return;
  server->accepted++;
  raw = raw_new (server->base, conn_fd, on_server_readable, server);
  if (server->never_read)
    event_del (raw->readable);
  g_ptr_array_add (server->connections, raw);
}

raw_server_t *
raw_server_new (struct event_base *base, const char *const *scripts, uint32_t count)
{
  return raw_server_new_on (base, 0, scripts, count);
}

raw_server_t *
raw_server_new_on (struct event_base *base,
                   uint32_t host,
                   const char *const *scripts,
                   uint32_t count)
{
  raw_server_t *server = g_new0 (raw_server_t, 1);
  struct sockaddr_in name;
  socklen_t bytes = sizeof name;

  server->base = base;
  server->scripts = scripts;
  server->script_count = count;
  server->address = raw_peer_loopback_address ();
  if (host > 0)
    {
      *strrchr (server->address.ip, '.') = '\0';
      g_snprintf (server->address.ip + strlen (server->address.ip), 5, ".%u", host + 1);
    }
  server->connections = g_ptr_array_new_with_free_func ((GDestroyNotify)raw_peer_free);
  server->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  name = sockaddr_of (&server->address);
  g_assert (bind (server->fd, (struct sockaddr *)&name, sizeof name) == 0);
  g_assert (listen (server->fd, 64) == 0);
  g_assert (getsockname (server->fd, (struct sockaddr *)&name, &bytes) == 0);
  server->address.port = ntohs (name.sin_port);
  server->acceptable = event_new (base, server->fd, EV_READ | EV_PERSIST, on_acceptable, server);
  event_add (server->acceptable, NULL);
  return server;
}

void
raw_server_fill (raw_server_t *server)
{
  struct sockaddr_in name = sockaddr_of (&server->address);

  event_del (server->acceptable);
  g_assert (listen (server->fd, 0) == 0);
  for (size_t i = 0; i < G_N_ELEMENTS (server->backlog_fds); i++)
    {
      server->backlog_fds[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)!connect (server->backlog_fds[i], (struct sockaddr *)&name, sizeof name);
    }
}

void
raw_server_free (raw_server_t *server)
{
  event_free (server->acceptable);
  close (server->fd);
  for (size_t i = 0; i < G_N_ELEMENTS (server->backlog_fds); i++)
    if (server->backlog_fds[i] > 0)
      close (server->backlog_fds[i]);
  g_ptr_array_free (server->connections, TRUE);
  g_free (server);
}

static void
on_deadline (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  *(bool *)context = true;
}

static bool
run_loop (struct event_base *base,
          struct timeval limit,
          bool (*done) (void *context),
          void *context)
{
  bool expired = false;
  struct event *deadline = evtimer_new (base, on_deadline, &expired);

  event_add (deadline, &limit);
  while (!expired && !(done && done (context)))
    event_base_loop (base, EVLOOP_ONCE);
  event_free (deadline);
  return !expired;
}

bool
raw_peer_run_until (struct event_base *base, bool (*done) (void *context), void *context)
{
  return run_loop (base, (struct timeval){ DEADLINE_S, 0 }, done, context);
}

void
raw_peer_run_ms (struct event_base *base, uint32_t ms)
{
  run_loop (base, (struct timeval){ ms / 1000, ms % 1000 * 1000 }, NULL, NULL);
}
