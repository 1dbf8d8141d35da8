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

frm_t
frm_of (const struct evkeyvalq *headers)
{
  const struct evkeyval *header;
  bool invalid = false;
  int length_count = 0;
  int encoding_count = 0;

  for (header = headers->tqh_first; header; header = header->next.tqe_next)
    {
      /* libevent keeps the space in the name of "Content-Length : 5"; other parsers drop it */
      invalid |= !frm_name_ok (header->key);
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
    return FRM_BROKEN;
  if (encoding_count)
    return FRM_CHUNKED;
  return length_count ? FRM_LENGTH : FRM_NONE;
}

uint64_t
frm_length (const struct evkeyvalq *headers)
{
  const struct evkeyval *header;

  for (header = headers->tqh_first; header; header = header->next.tqe_next)
    if (evutil_ascii_strcasecmp (header->key, "Content-Length") == 0)
      return g_ascii_strtoull (header->value, NULL, 10);
  return 0;
}

bool
frm_name_ok (const char *name)
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
frm_value_ok (const char *value)
{
  for (; *value; value++)
    if ((g_ascii_iscntrl (*value) && *value != '\t'))
      return false;
  return true;
}

bool
frm_target_ok (const char *target)
{
  if (*target != '/')
    return false;
  for (; *target; target++)
    if (!g_ascii_isgraph (*target))
      return false;
  return true;
}
