#include "request/header_filter.h"

#include <glib.h>
#include <string.h>

/* Hop-by-hop headers (RFC 9110, 7.6.1), and headers that each connection writes itself. */
static const char *const CONNECTION_HEADERS[] = {
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Content-Length",
  "Host",
  "Expect",
};

/* The client's key must not reach an engine; the others are set by the fleet alone. */
static const char *const RESERVED_REQUEST_HEADERS[] = {
  "Authorization", "X-Api-Key", "X-Request-Id", "X-Priority", "X-Account",
};

/* Some engines obey these headers, and would run another method or path than the one that was
 * routed and authorized. */
static const char *const OVERRIDE_HEADERS[] = {
  "X-HTTP-Method-Override", "X-HTTP-Method", "X-Method-Override", "X-Original-URL", "X-Rewrite-URL",
};

static const char *const DROPPED_RESPONSE_HEADERS[] = {
  "X-Request-Id",
  "Date",
  "Server",
};

static bool
is_listed (const char *const *names, uint32_t count, const char *name)
{
  for (uint32_t i = 0; i < count; i++)
    if (g_ascii_strcasecmp (names[i], name) == 0)
      return true;
  return false;
}

static bool
is_connection_or_fleet_header (const char *name)
{
  return g_ascii_strncasecmp (name, HEADER_FLEET_PREFIX, strlen (HEADER_FLEET_PREFIX)) == 0 ||
         is_listed (CONNECTION_HEADERS, G_N_ELEMENTS (CONNECTION_HEADERS), name);
}

bool
header_is_hop_by_hop (const char *name)
{
  return g_ascii_strcasecmp (name, "Host") != 0 &&
         is_listed (CONNECTION_HEADERS, G_N_ELEMENTS (CONNECTION_HEADERS), name);
}

bool
header_is_forwarded (const char *name)
{
  return !is_connection_or_fleet_header (name) &&
         !is_listed (RESERVED_REQUEST_HEADERS, G_N_ELEMENTS (RESERVED_REQUEST_HEADERS), name) &&
         !is_listed (OVERRIDE_HEADERS, G_N_ELEMENTS (OVERRIDE_HEADERS), name);
}

bool
header_is_returned (const char *name)
{
  return !is_connection_or_fleet_header (name) &&
         !is_listed (DROPPED_RESPONSE_HEADERS, G_N_ELEMENTS (DROPPED_RESPONSE_HEADERS), name);
}

uint32_t
header_collect_forwarded (struct evkeyvalq *headers, http_client_header_t *out, uint32_t limit)
{
  const struct evkeyval *header;
  uint32_t count = 0;

  for (header = headers->tqh_first; header != NULL; header = header->next.tqe_next)
    if (count < limit && header_is_forwarded (header->key))
      out[count++] = (http_client_header_t){ .name = header->key, .value = header->value };
  return count;
}
