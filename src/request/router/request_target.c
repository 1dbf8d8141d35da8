#include "request/router/request_target.h"

#include <glib.h>
#include <string.h>

#define ESCAPE_BYTES 3 /* "%2F" */

/* is_unreserved() - RFC 3986, section 2.3: any reader may decode an escape of these characters */
static bool
is_unreserved (int decoded)
{
  return g_ascii_isalnum (decoded) || (decoded != '\0' && strchr ("-._~", decoded) != NULL);
}

static bool
is_safe_escape (const char *escape)
{
  int high = g_ascii_xdigit_value (escape[1]);
  int low = high < 0 ? -1 : g_ascii_xdigit_value (escape[2]);
  int decoded = high * 16 + low;

  if (low < 0 || decoded < ' ' || decoded == 0x7f)
    return false;
  return !is_unreserved (decoded) && strchr ("/\\;", decoded) == NULL;
}

static bool
is_safe_segment (const char *segment, size_t bytes)
{
  const char *end = segment + bytes;

  if ((bytes == 1 && segment[0] == '.') || (bytes == 2 && memcmp (segment, "..", 2) == 0))
    return false;
  for (const char *cursor = segment; cursor < end; cursor++)
    {
      if (*cursor == '\\' || *cursor == ';')
        return false;
      if (*cursor == '%' && (end - cursor < ESCAPE_BYTES || !is_safe_escape (cursor)))
        return false;
    }
  return true;
}

bool
request_target_is_unambiguous (const char *target)
{
  const char *end = target + strcspn (target, "?");
  const char *segment = target;

  if (*target != '/' || strchr (target, '#') != NULL)
    return false;
  while (segment < end)
    {
      size_t bytes = strcspn (++segment, "/?");

      /* Only the last segment may be empty, as in "/v1/". */
      if (!is_safe_segment (segment, bytes) || (bytes == 0 && segment < end))
        return false;
      segment += bytes;
    }
  return true;
}
