#include "connection/socket.h"
#include "base/limits.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

void
sck_tune (int fd)
{
  int on = 1;
  int probe_after_s = 1;
  int probe_every_s = 1;
  int probes = LIM_HTTP_DEAD_PEER_S - 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_after_s, sizeof probe_after_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_every_s, sizeof probe_every_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void
sck_tune_client (int fd)
{
  int unacknowledged_ms = LIM_HTTP_DEAD_PEER_S * 1000;

  sck_tune (fd);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms, sizeof unacknowledged_ms);
}
