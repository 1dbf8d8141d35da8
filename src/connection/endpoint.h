/**
 * DOC: endpoint
 *
 * Socket addresses of IPv4 and IPv6 made from the settings' addresses, and compared.
 */
#ifndef CONNECTION_ENDPOINT_H
#define CONNECTION_ENDPOINT_H

#include "base/settings.h"

#include <stdbool.h>
#include <sys/socket.h>

typedef struct
{
  struct sockaddr_storage address;
  socklen_t bytes;
} edp_t;

/** edp_make() - Return: false when @address has no IP number */
bool edp_make (edp_t *endpoint, const set_address_t *address);
bool edp_same (const edp_t *a, const edp_t *b);
set_address_t edp_address (const edp_t *endpoint);

#endif
