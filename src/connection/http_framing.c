#include "connection/http_framing.h"

#include <event2/util.h>
#include <glib.h>
#include <string.h>

#define LENGTH_DIGITS 18 /* what fits an int64_t whatever the digits are */

static bool
length_ok (const char *value)
{
  size_t digits = strspn (value, "0123456789");

  return digits > 0 && digits <= LENGTH_DIGITS && value[digits] == '\0';
}

frm_t
frm_of (const struct evkeyvalq *headers)
{
  const struct evkeyval *header;
  bool broken = false;
  int lengths = 0;
  int encodings = 0;

  for (header = headers->tqh_first; header; header = header->next.tqe_next)
    {
      /* the library keeps the space of "Content-Length : 5"; other readers drop it */
      broken |= !frm_name_ok (header->key);
      if (evutil_ascii_strcasecmp (header->key, "Content-Length") == 0)
        {
          lengths++;
          broken |= !length_ok (header->value);
        }
      else if (evutil_ascii_strcasecmp (header->key, "Transfer-Encoding") == 0)
        {
          encodings++;
          broken |= evutil_ascii_strcasecmp (header->value, "chunked") != 0;
        }
    }
  if (broken || lengths + encodings > 1)
    return FRM_BROKEN;
  if (encodings)
    return FRM_CHUNKED;
  return lengths ? FRM_LENGTH : FRM_NONE;
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
  static const char marks[] = "!#$%&'*+-.^_`|~";

  if (*name == '\0')
    return false;
  for (; *name; name++)
    if (!g_ascii_isalnum (*name) && !strchr (marks, *name))
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
