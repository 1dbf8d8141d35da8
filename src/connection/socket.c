#include "connection/socket.h"
#include "base/limits.h"

#include <glib.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>

void
socket_set_options (int fd)
{
  int on = 1;
  int keepalive_idle_s = 1;
  int keepalive_interval_s = 1;
  int keepalive_probe_count = LIMIT_HTTP_DEAD_PEER_S - 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_idle_s, sizeof keepalive_idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s, sizeof keepalive_interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &keepalive_probe_count, sizeof keepalive_probe_count);
}

void
socket_set_client_options (int fd)
{
  int unacknowledged_ms = LIMIT_HTTP_DEAD_PEER_S * 1000;

  socket_set_options (fd);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms, sizeof unacknowledged_ms);
}

bool
socket_has_unacknowledged (int fd)
{
  int bytes = 0;

  return ioctl (fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

uint32_t
socket_file_limit (uint32_t limit)
{
  struct rlimit allowed;

  if (getrlimit (RLIMIT_NOFILE, &allowed) != 0 || allowed.rlim_cur > UINT32_MAX)
    return limit;
  return limit == 0 ? (uint32_t)allowed.rlim_cur : MIN (limit, (uint32_t)allowed.rlim_cur);
}

/* Connecting to AF_UNSPEC sends the reset at once, before libevent shuts the socket down. */
void
socket_reset (int fd)
{
  struct sockaddr no_address = { .sa_family = AF_UNSPEC };

  if (connect (fd, &no_address, sizeof no_address) < 0)
    return;
}
