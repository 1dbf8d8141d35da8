#include "request/headers.h"

#include <glib.h>
#include <string.h>

/* Headers of one connection (RFC 9110, 7.6.1), and those that the next one sets itself. */
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

/* A caller's key must not reach engines; the rest is for the fleet alone to tell an engine. */
static const char *const CALLER_HEADERS[] = {
  "Authorization", "X-Api-Key", "X-Request-Id", "X-Priority", "X-Account",
};

/* Some engines obey these, and would run another call than the one that was routed and judged. */
static const char *const OVERRIDE_HEADERS[] = {
  "X-HTTP-Method-Override", "X-HTTP-Method", "X-Method-Override", "X-Original-URL", "X-Rewrite-URL",
};

static const char *const ENGINE_HEADERS[] = {
  "X-Request-Id",
  "Date",
  "Server",
};

static bool
listed (const char *const *names, uint32_t count, const char *name)
{
  for (uint32_t i = 0; i < count; i++)
    if (g_ascii_strcasecmp (names[i], name) == 0)
      return true;
  return false;
}

static bool
stays (const char *name)
{
  return g_ascii_strncasecmp (name, HDR_FLEET_PREFIX, strlen (HDR_FLEET_PREFIX)) == 0 ||
         listed (CONNECTION_HEADERS, G_N_ELEMENTS (CONNECTION_HEADERS), name);
}

bool
hdr_is_of_connection (const char *name)
{
  return g_ascii_strcasecmp (name, "Host") != 0 &&
         listed (CONNECTION_HEADERS, G_N_ELEMENTS (CONNECTION_HEADERS), name);
}

bool
hdr_passes_on (const char *name)
{
  return !stays (name) && !listed (CALLER_HEADERS, G_N_ELEMENTS (CALLER_HEADERS), name) &&
         !listed (OVERRIDE_HEADERS, G_N_ELEMENTS (OVERRIDE_HEADERS), name);
}

bool
hdr_passes_back (const char *name)
{
  return !stays (name) && !listed (ENGINE_HEADERS, G_N_ELEMENTS (ENGINE_HEADERS), name);
}

uint32_t
hdr_collect (struct evkeyvalq *headers, hcl_header_t *out, uint32_t limit)
{
  const struct evkeyval *header;
  uint32_t count = 0;

  for (header = headers->tqh_first; header != NULL; header = header->next.tqe_next)
    if (count < limit && hdr_passes_on (header->key))
      out[count++] = (hcl_header_t){ .name = header->key, .value = header->value };
  return count;
}
