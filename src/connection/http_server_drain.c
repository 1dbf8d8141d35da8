/*
 * Lingering close. Closing a socket with unread input sends a reset, which can make the client lose
 * the response that says why its request was rejected. The remaining input is therefore read and
 * discarded first, within limits on bytes and time.
 */
#include "connection/http_server_internal.h"

#include <errno.h>
#include <sys/socket.h>

/**
 * struct http_server_drain - a socket whose input is discarded
 * @timer: closes the socket after %LIMIT_HTTP_DRAIN_MS
 * @resume: reads again after a pause
 * @pace: limits what is read
 * @read_bytes: discarded so far
 */
struct http_server_drain
{
  http_server_t *http_server;
  evutil_socket_t fd;
  struct event *readable;
  struct event *timer;
  struct event *resume;
  read_pace_t pace;
  uint64_t read_bytes;
};

void
http_server_drain_free (http_server_drain_t *drain)
{
  g_hash_table_remove (drain->http_server->drains, drain);
  event_free (drain->readable);
  event_free (drain->timer);
  event_free (drain->resume);
  read_pace_leave (&drain->pace, &drain->http_server->drain_share);
  evutil_closesocket (drain->fd);
  g_free (drain);
}

static uint64_t
monotonic_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

static void
resume_after (http_server_drain_t *drain, uint64_t wait_us)
{
  struct timeval wait = { (time_t)(wait_us / CLOCK_US_PER_S),
                          (suseconds_t)(wait_us % CLOCK_US_PER_S) };

  event_del (drain->readable);
  event_add (drain->resume, &wait);
}

static void
on_resume (evutil_socket_t fd, short what, void *context)
{
  http_server_drain_t *drain = context;
  uint64_t wait_us =
      read_pace_wait_us (&drain->pace, &drain->http_server->drain_share, monotonic_us ());

  (void)fd;
  (void)what;
  if (wait_us > 0)
    resume_after (drain, wait_us);
  else
    event_add (drain->readable, NULL);
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  http_server_drain_t *drain = context;
  char bytes[16 * 1024];
  ssize_t count = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);
  uint64_t wait_us;

  (void)what;
  if (count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (count <= 0 || drain->read_bytes + (uint64_t)count > LIMIT_HTTP_DRAIN_BYTES)
    {
      http_server_drain_free (drain);
      return;
    }
  drain->read_bytes += (uint64_t)count;
  wait_us = read_pace_spend (&drain->pace, &drain->http_server->drain_share, monotonic_us (),
                             (uint64_t)count);
  if (wait_us > 0)
    resume_after (drain, wait_us);
}

static void
on_timeout (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  http_server_drain_free (context);
}

void
http_server_drain_start (http_server_t *http_server, evutil_socket_t fd)
{
  struct event_base *base = http_server->options.base;
  struct timeval limit = { LIMIT_HTTP_DRAIN_MS / 1000, 0 };
  http_server_drain_t *drain;

  if (g_hash_table_size (http_server->drains) >= LIMIT_HTTP_DRAINS)
    {
      evutil_closesocket (fd);
      return;
    }
  drain = g_new0 (http_server_drain_t, 1);
  drain->http_server = http_server;
  drain->fd = fd;
  drain->readable = event_new (base, fd, EV_READ | EV_PERSIST, on_readable, drain);
  drain->timer = evtimer_new (base, on_timeout, drain);
  drain->resume = evtimer_new (base, on_resume, drain);
  read_pace_init (&drain->pace, monotonic_us ());
  event_add (drain->readable, NULL);
  event_add (drain->timer, &limit);
  g_hash_table_add (http_server->drains, drain);
}
