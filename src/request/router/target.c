#include "request/router/target.h"

#include <glib.h>
#include <string.h>

#define ESCAPE_BYTES 3 /* "%2F" */

/* RFC 3986, 2.3: an escape of one of these may be undone by any reader */
static bool
is_unreserved (int letter)
{
  return g_ascii_isalnum (letter) || (letter != '\0' && strchr ("-._~", letter) != NULL);
}

static bool
escape_ok (const char *escape)
{
  int high = g_ascii_xdigit_value (escape[1]);
  int low = high < 0 ? -1 : g_ascii_xdigit_value (escape[2]);
  int letter = high * 16 + low;

  if (low < 0 || letter < ' ' || letter == 0x7f)
    return false;
  return !is_unreserved (letter) && strchr ("/\\;", letter) == NULL;
}

static bool
segment_ok (const char *segment, size_t bytes)
{
  const char *end = segment + bytes;

  if ((bytes == 1 && segment[0] == '.') || (bytes == 2 && memcmp (segment, "..", 2) == 0))
    return false;
  for (const char *at = segment; at < end; at++)
    {
      if (*at == '\\' || *at == ';')
        return false;
      if (*at == '%' && (end - at < ESCAPE_BYTES || !escape_ok (at)))
        return false;
    }
  return true;
}

bool
tgt_is_plain (const char *target)
{
  const char *end = target + strcspn (target, "?");
  const char *segment = target;

  if (*target != '/' || strchr (target, '#') != NULL)
    return false;
  while (segment < end)
    {
      size_t bytes = strcspn (++segment, "/?");

      /* only the last one may be empty: "/v1/" */
      if (!segment_ok (segment, bytes) || (bytes == 0 && segment < end))
        return false;
      segment += bytes;
    }
  return true;
}
