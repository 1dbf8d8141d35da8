#include "connection/endpoint.h"

#include <arpa/inet.h>
#include <event2/util.h>
#include <string.h>

bool
endpoint_from_address (endpoint_t *endpoint, const address_t *address)
{
  memset (endpoint, 0, sizeof *endpoint);
  struct sockaddr_in *v4 = (struct sockaddr_in *)&endpoint->address;
  if (evutil_inet_pton (AF_INET, address->ip, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (address->port);
      endpoint->bytes = sizeof *v4;
      return true;
    }
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&endpoint->address;
  if (evutil_inet_pton (AF_INET6, address->ip, &v6->sin6_addr) != 1)
    return false;
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons (address->port);
  endpoint->bytes = sizeof *v6;
  return true;
}

bool
endpoint_equal (const endpoint_t *a, const endpoint_t *b)
{
  if (a->address.ss_family != b->address.ss_family)
    return false;
  if (a->address.ss_family == AF_INET)
    {
      const struct sockaddr_in *x = (const struct sockaddr_in *)&a->address;
      const struct sockaddr_in *y = (const struct sockaddr_in *)&b->address;
      return x->sin_port == y->sin_port && x->sin_addr.s_addr == y->sin_addr.s_addr;
    }
  const struct sockaddr_in6 *x = (const struct sockaddr_in6 *)&a->address;
  const struct sockaddr_in6 *y = (const struct sockaddr_in6 *)&b->address;
  return x->sin6_port == y->sin6_port &&
         memcmp (&x->sin6_addr, &y->sin6_addr, sizeof x->sin6_addr) == 0;
}

address_t
endpoint_to_address (const endpoint_t *endpoint)
{
  address_t address = { 0 };
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)&endpoint->address;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)&endpoint->address;
  bool is_v4 = endpoint->address.ss_family == AF_INET;
  const void *ip = is_v4 ? (const void *)&v4->sin_addr : (const void *)&v6->sin6_addr;
  evutil_inet_ntop (endpoint->address.ss_family, ip, address.ip, sizeof address.ip);
  address.port = ntohs (is_v4 ? v4->sin_port : v6->sin6_port);
  return address;
}
