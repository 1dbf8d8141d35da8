#include "connection/http_framing.h"

#include <event2/util.h>
#include <glib.h>
#include <string.h>

#define LENGTH_DIGITS 18 /* any number of so many digits fits an int64_t */

static bool
is_valid_length (const char *value)
{
  size_t digits = strspn (value, "0123456789");

  return digits > 0 && digits <= LENGTH_DIGITS && value[digits] == '\0';
}

http_framing_t
http_framing_detect (const struct evkeyvalq *headers)
{
  const struct evkeyval *header;
  bool invalid = false;
  int length_count = 0;
  int encoding_count = 0;

  for (header = headers->tqh_first; header; header = header->next.tqe_next)
    {
      /* libevent keeps the space in the name of "Content-Length : 5"; other parsers drop it */
      invalid |= !http_framing_is_valid_name (header->key);
      if (evutil_ascii_strcasecmp (header->key, "Content-Length") == 0)
        {
          length_count++;
          invalid |= !is_valid_length (header->value);
        }
      else if (evutil_ascii_strcasecmp (header->key, "Transfer-Encoding") == 0)
        {
          encoding_count++;
          invalid |= evutil_ascii_strcasecmp (header->value, "chunked") != 0;
        }
    }
  if (invalid || length_count + encoding_count > 1)
    return HTTP_FRAMING_INVALID;
  if (encoding_count)
    return HTTP_FRAMING_CHUNKED;
  return length_count ? HTTP_FRAMING_LENGTH : HTTP_FRAMING_NONE;
}

uint64_t
http_framing_content_length (const struct evkeyvalq *headers)
{
  const struct evkeyval *header;

  for (header = headers->tqh_first; header; header = header->next.tqe_next)
    if (evutil_ascii_strcasecmp (header->key, "Content-Length") == 0)
      return g_ascii_strtoull (header->value, NULL, 10);
  return 0;
}

bool
http_framing_is_interim (int status)
{
  return status >= 100 && status < 200 && status != 101;
}

bool
http_framing_is_valid_name (const char *name)
{
  static const char punctuation[] = "!#$%&'*+-.^_`|~";

  if (*name == '\0')
    return false;
  for (; *name; name++)
    if (!g_ascii_isalnum (*name) && !strchr (punctuation, *name))
      return false;
  return true;
}

bool
http_framing_is_valid_value (const char *value)
{
  for (; *value; value++)
    if ((g_ascii_iscntrl (*value) && *value != '\t'))
      return false;
  return true;
}

bool
http_framing_is_valid_target (const char *target)
{
  if (*target != '/')
    return false;
  for (; *target; target++)
    if (!g_ascii_isgraph (*target))
      return false;
  return true;
}
