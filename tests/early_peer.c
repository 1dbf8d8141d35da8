#include "early_peer.h"

#include "raw_peer.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TICK_US 500
#define RECEIVE_BUFFER_BYTES 4096 /* an upload that is longer waits in the sender */

struct early_peer
{
  GMutex lock;
  GThread *thread;
  int fd;
  address_t address;
  early_peer_play_t play;
  uint32_t request_count;
  struct event *tick;
  GCond released;
  bool is_waiting;
  bool was_waiting;
  bool has_ended;
};

/* Return: false if the peer has left before its head was whole */
static bool
read_head (int fd)
{
  g_autoptr (GString) head = g_string_new (NULL);
  char byte;

  while (!g_str_has_suffix (head->str, "\r\n\r\n"))
    {
      if (recv (fd, &byte, 1, 0) != 1)
        return false;
      g_string_append_c (head, byte);
    }
  return true;
}

static void
end_connection (int fd, bool resets)
{
  struct linger linger = { 1, 0 };
  char bytes[4096];

  if (resets)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  else
    {
      shutdown (fd, SHUT_WR);
      while (recv (fd, bytes, sizeof bytes, 0) > 0)
        continue;
    }
  close (fd);
}

static void
wait_for_turn (early_peer_t *peer)
{
  g_mutex_lock (&peer->lock);
  peer->is_waiting = true;
  peer->was_waiting = false;
  while (peer->is_waiting && !peer->has_ended)
    g_cond_wait (&peer->released, &peer->lock);
  g_mutex_unlock (&peer->lock);
}

/* A connection goes on that has waited since the tick before: the loop has polled since then. */
static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  early_peer_t *peer = context;

  (void)fd;
  (void)what;
  g_mutex_lock (&peer->lock);
  if (peer->was_waiting)
    {
      peer->is_waiting = false;
      g_cond_signal (&peer->released);
    }
  peer->was_waiting = peer->is_waiting;
  g_mutex_unlock (&peer->lock);
}

static void
serve (early_peer_t *peer, int fd)
{
  early_peer_play_t play;

  if (!read_head (fd))
    {
      close (fd);
      return;
    }
  g_mutex_lock (&peer->lock);
  play = peer->play;
  peer->request_count++;
  g_mutex_unlock (&peer->lock);
  send (fd, play.text, strlen (play.text), MSG_NOSIGNAL);
  if (play.more)
    {
      if (play.waits)
        wait_for_turn (peer);
      send (fd, play.more, strlen (play.more), MSG_NOSIGNAL);
    }
  if (play.waits)
    wait_for_turn (peer);
  end_connection (fd, play.resets);
}

static void *
run (void *context)
{
  early_peer_t *peer = context;
  int fd;

  while ((fd = accept (peer->fd, NULL, NULL)) >= 0)
    serve (peer, fd);
  return NULL;
}

early_peer_t *
early_peer_new (struct event_base *base)
{
  static const struct timeval tick = { 0, TICK_US };
  static const int bytes = RECEIVE_BUFFER_BYTES;
  early_peer_t *peer = g_new0 (early_peer_t, 1);
  struct sockaddr_in name = { .sin_family = AF_INET };
  socklen_t name_bytes = sizeof name;

  g_mutex_init (&peer->lock);
  g_cond_init (&peer->released);
  peer->address = raw_peer_loopback_address ();
  inet_pton (AF_INET, peer->address.ip, &name.sin_addr);
  peer->fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert (setsockopt (peer->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) == 0);
  g_assert (bind (peer->fd, (struct sockaddr *)&name, sizeof name) == 0);
  g_assert (listen (peer->fd, 64) == 0);
  g_assert (getsockname (peer->fd, (struct sockaddr *)&name, &name_bytes) == 0);
  peer->address.port = ntohs (name.sin_port);
  peer->tick = event_new (base, -1, EV_PERSIST, on_tick, peer);
  event_add (peer->tick, &tick);
  peer->thread = g_thread_new ("early-peer", run, peer);
  return peer;
}

void
early_peer_free (early_peer_t *peer)
{
  event_free (peer->tick);
  g_mutex_lock (&peer->lock);
  peer->has_ended = true;
  g_cond_signal (&peer->released);
  g_mutex_unlock (&peer->lock);
  shutdown (peer->fd, SHUT_RDWR);
  g_thread_join (peer->thread);
  close (peer->fd);
  g_cond_clear (&peer->released);
  g_mutex_clear (&peer->lock);
  g_free (peer);
}

const address_t *
early_peer_address (const early_peer_t *peer)
{
  return &peer->address;
}

void
early_peer_set_play (early_peer_t *peer, const early_peer_play_t *play)
{
  g_mutex_lock (&peer->lock);
  peer->play = *play;
  g_mutex_unlock (&peer->lock);
}

uint32_t
early_peer_request_count (early_peer_t *peer)
{
  uint32_t count;

  g_mutex_lock (&peer->lock);
  count = peer->request_count;
  g_mutex_unlock (&peer->lock);
  return count;
}
