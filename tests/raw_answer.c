#include "raw_answer.h"

#include <string.h>

/* Reads chunks. Return: whether the last one came, with nothing after it */
static bool
read_chunks (const char *text, GString *body)
{
  for (;;)
    {
      char *end;
      size_t bytes = (size_t)g_ascii_strtoull (text, &end, 16);

      if (end == text || !g_str_has_prefix (end, "\r\n") || strlen (end) < bytes + 4)
        return false;
      text = end + 2;
      g_string_append_len (body, text, (gssize)bytes);
      text += bytes + 2;
      if (bytes == 0)
        return *text == '\0';
    }
}

bool
raw_answer_read (const char *text, GString *body)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = strstr (text, "\r\nContent-Length: ");

  if (!end)
    return false;
  if (length && length < end)
    {
      g_string_append (body, end + 4);
      return body->len == g_ascii_strtoull (length + strlen ("\r\nContent-Length: "), NULL, 10);
    }
  return read_chunks (end + 4, body);
}
