#include "flood_peer.h"

#include "raw_peer.h"

#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BLOCK_BYTES (64 * 1024)
#define POLL_MS 20

struct flood_peer
{
  flood_t flood;
  GThread *thread;
  int listen_fd;
  int fd;
  gint stop;
  gint over;
  GString *block;
  char received[4096];
  size_t received_bytes;
  guint64 sent_bytes;
};

static struct sockaddr_in
sockaddr_of (const address_t *address)
{
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (address->port) };

  inet_pton (AF_INET, address->ip, &name.sin_addr);
  return name;
}

static bool
is_stopped (flood_peer_t *peer)
{
  return g_atomic_int_get (&peer->stop);
}

static bool
wait_for (flood_peer_t *peer, int fd, short events)
{
  struct pollfd poll_fd = { .fd = fd, .events = events };

  while (!is_stopped (peer))
    if (poll (&poll_fd, 1, POLL_MS) > 0)
      return true;
  return false;
}

/* Return: whether all of it was taken */
static bool
send_all (flood_peer_t *peer, const char *bytes, size_t count)
{
  while (count > 0 && wait_for (peer, peer->fd, POLLOUT))
    {
      ssize_t sent = send (peer->fd, bytes, count, MSG_NOSIGNAL | MSG_DONTWAIT);

      if (sent < 0)
        return false;
      bytes += sent;
      count -= (size_t)sent;
      peer->sent_bytes += (guint64)sent;
    }
  return count == 0;
}

static void
read_text (flood_peer_t *peer)
{
  size_t room = sizeof peer->received - 1 - peer->received_bytes;
  ssize_t count;

  while (wait_for (peer, peer->fd, POLLIN))
    {
      count = recv (peer->fd, peer->received + peer->received_bytes, room, 0);
      if (count <= 0)
        return;
      peer->received_bytes += (size_t)count;
      room -= (size_t)count;
    }
}

/* The time between two bytes of a slow sender, or until the other side resets the connection. */
static void
await_pause (flood_peer_t *peer)
{
  struct pollfd poll_fd = { .fd = peer->fd };

  if (peer->flood.pause_ms > 0)
    poll (&poll_fd, 1, (int)peer->flood.pause_ms);
}

static void
flood_connection (flood_peer_t *peer)
{
  const char *begin = peer->flood.begin;
  bool sound = send_all (peer, begin, strlen (begin));

  while (sound && !is_stopped (peer))
    {
      sound = send_all (peer, peer->block->str, peer->block->len);
      await_pause (peer);
    }
  if (peer->listen_fd < 0)
    read_text (peer);
  close (peer->fd);
  if (!is_stopped (peer))
    g_atomic_int_set (&peer->over, 1);
}

static void
serve (flood_peer_t *peer)
{
  char request[4096];

  while (wait_for (peer, peer->listen_fd, POLLIN))
    {
      peer->fd = accept (peer->listen_fd, NULL, NULL);
      if (wait_for (peer, peer->fd, POLLIN) && recv (peer->fd, request, sizeof request, 0) > 0)
        flood_connection (peer);
      else
        close (peer->fd);
    }
}

static gpointer
run (gpointer data)
{
  flood_peer_t *peer = data;

  if (peer->listen_fd >= 0)
    serve (peer);
  else
    flood_connection (peer);
  return NULL;
}

static flood_peer_t *
peer_new (const flood_t *flood)
{
  flood_peer_t *peer = g_new0 (flood_peer_t, 1);

  peer->flood = *flood;
  peer->listen_fd = -1;
  peer->block = g_string_new (flood->unit);
  while (!flood->pause_ms && peer->block->len < BLOCK_BYTES)
    g_string_append (peer->block, flood->unit);
  return peer;
}

flood_peer_t *
flood_peer_listen (const flood_t *flood, address_t *address)
{
  flood_peer_t *peer = peer_new (flood);
  struct sockaddr_in name;
  socklen_t bytes = sizeof name;

  *address = raw_peer_loopback_address ();
  name = sockaddr_of (address);
  peer->listen_fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert (bind (peer->listen_fd, (struct sockaddr *)&name, sizeof name) == 0);
  g_assert (listen (peer->listen_fd, 16) == 0);
  g_assert (getsockname (peer->listen_fd, (struct sockaddr *)&name, &bytes) == 0);
  address->port = ntohs (name.sin_port);
  peer->thread = g_thread_new ("flood", run, peer);
  return peer;
}

flood_peer_t *
flood_peer_connect (const flood_t *flood, const address_t *address)
{
  flood_peer_t *peer = peer_new (flood);
  struct sockaddr_in name = sockaddr_of (address);

  peer->fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert (connect (peer->fd, (struct sockaddr *)&name, sizeof name) == 0);
  peer->thread = g_thread_new ("flood", run, peer);
  return peer;
}

uint64_t
flood_peer_sent_bytes (flood_peer_t *peer)
{
  return peer->sent_bytes;
}

bool
flood_peer_is_over (flood_peer_t *peer)
{
  return g_atomic_int_get (&peer->over);
}

const char *
flood_peer_text (flood_peer_t *peer)
{
  return peer->received;
}

void
flood_peer_free (flood_peer_t *peer)
{
  g_atomic_int_set (&peer->stop, 1);
  g_thread_join (peer->thread);
  if (peer->listen_fd >= 0)
    close (peer->listen_fd);
  g_string_free (peer->block, TRUE);
  g_free (peer);
}
