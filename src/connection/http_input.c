#include "connection/http_input.h"

#include "connection/http_framing.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define ENCODING_NAME "Transfer-Encoding"
#define LENGTH_NAME "Content-Length"

void
http_input_init (http_input_t *input, const http_input_limits_t *limits)
{
  *input = (http_input_t){ .limits = *limits };
}

static void
set_over (http_input_t *input)
{
  input->state = HTTP_INPUT_OVER;
}

static bool
is_refused (const http_input_t *input)
{
  return input->state == HTTP_INPUT_OVER || input->state == HTTP_INPUT_INVALID;
}

static bool
is_empty_line (const http_input_t *input)
{
  return input->line[0] == '\0';
}

static bool
is_chunk_line (const http_input_t *input)
{
  return input->state == HTTP_INPUT_CHUNK_LINE || input->state == HTTP_INPUT_CHUNK_END;
}

/* "Transfer-Encoding: ..." */
static bool
has_name (const char *line, const char *name)
{
  size_t bytes = strlen (name);

  return g_ascii_strncasecmp (line, name, bytes) == 0 && line[bytes] == ':';
}

/* "HTTP/1.1 200 OK"; evhttp reads "2000" and "200OK" as a status too */
static bool
is_status_line (const char *line)
{
  static const char pattern[] = "HTTP/1.D DDD";

  for (size_t i = 0; i < sizeof pattern - 1; i++)
    if (pattern[i] == 'D' ? !g_ascii_isdigit (line[i]) : line[i] != pattern[i])
      return false;
  return line[sizeof pattern - 1] == '\0' || line[sizeof pattern - 1] == ' ';
}

/* "HTTP/1.1 100 Continue" */
static bool
is_interim (const char *line)
{
  const char *status = strchr (line, ' ');

  return status && strncmp (line, "HTTP/", 5) == 0 && http_framing_is_interim (atoi (status));
}

static void
end_head (http_input_t *input)
{
  input->head_started = false;
  if (!input->interim)
    {
      input->state = input->chunked ? HTTP_INPUT_CHUNK_LINE : HTTP_INPUT_REST;
      return;
    }
  input->state = HTTP_INPUT_FIRST_LINE;
  if (++input->interim_heads > LIMIT_HTTP_INTERIM_HEADS)
    set_over (input);
}

/* Stricter than evhttp, which takes " " and "-0" for the size of the last chunk */
static bool
is_valid_size_line (const char *line)
{
  size_t digits = strspn (line, "0123456789abcdefABCDEF");

  return digits > 0 && (line[digits] == '\0' || strchr ("; \t", line[digits]));
}

static void
end_chunk_line (http_input_t *input)
{
  gint64 bytes = g_ascii_strtoll (input->line, NULL, 16);

  if (!is_valid_size_line (input->line))
    {
      input->state = HTTP_INPUT_INVALID;
      return;
    }
  if (input->limits.chunk_bytes && (uint64_t)bytes > input->limits.chunk_bytes)
    {
      set_over (input);
      return;
    }
  input->chunks++;
  input->left_bytes = (uint64_t)bytes;
  input->state = bytes == 0 ? HTTP_INPUT_TRAILER : HTTP_INPUT_CHUNK_DATA;
  if (input->limits.free_chunks &&
      input->chunks > input->limits.free_chunks + input->data_bytes / LIMIT_HTTP_CHUNK_MEAN_BYTES)
    set_over (input);
}

static void
end_line (http_input_t *input)
{
  size_t kept = MIN (input->line_bytes, LIMIT_HTTP_CHUNK_LINE_BYTES);

  input->lines++;
  if (!is_chunk_line (input) && ++input->head_lines > input->limits.head_lines &&
      input->limits.head_lines)
    {
      set_over (input);
      return;
    }
  if (kept > 0 && input->line[kept - 1] == '\r')
    kept--;
  input->line[kept] = '\0';
  switch (input->state)
    {
    case HTTP_INPUT_FIRST_LINE:
      input->interim = is_interim (input->line);
      input->chunked = false;
      input->declared_bytes = 0;
      input->state = input->limits.is_response && !is_status_line (input->line)
                         ? HTTP_INPUT_INVALID
                         : HTTP_INPUT_HEADERS;
      break;
    case HTTP_INPUT_HEADERS:
      if (is_empty_line (input))
        end_head (input);
      else if (has_name (input->line, ENCODING_NAME))
        input->chunked = true;
      else if (has_name (input->line, LENGTH_NAME))
        input->declared_bytes = g_ascii_strtoull (input->line + strlen (LENGTH_NAME) + 1, NULL, 10);
      break;
    case HTTP_INPUT_CHUNK_LINE:
      end_chunk_line (input);
      break;
    case HTTP_INPUT_CHUNK_END:
      input->state = is_empty_line (input) ? HTTP_INPUT_CHUNK_LINE : HTTP_INPUT_INVALID;
      break;
    case HTTP_INPUT_TRAILER:
      if (is_empty_line (input))
        input->state = HTTP_INPUT_REST;
      break;
    default:
      g_assert_not_reached ();
    }
  input->line_bytes = 0;
}

/* Adds bytes of the current line, without its end. Return: false when a limit is exceeded */
static bool
add_to_line (http_input_t *input, const char *bytes, size_t count)
{
  bool outside_head = is_chunk_line (input);

  if (input->line_bytes < LIMIT_HTTP_CHUNK_LINE_BYTES)
    memcpy (input->line + input->line_bytes, bytes,
            MIN (count, LIMIT_HTTP_CHUNK_LINE_BYTES - input->line_bytes));
  input->line_bytes += count;
  if (!outside_head)
    input->head_bytes += count + 1;
  if (outside_head && input->line_bytes > LIMIT_HTTP_CHUNK_LINE_BYTES)
    return false;
  return outside_head || !input->limits.head_bytes || input->head_bytes <= input->limits.head_bytes;
}

/* Return: the number of bytes taken */
static size_t
read_data (http_input_t *input, size_t count)
{
  size_t taken = (size_t)MIN ((uint64_t)count, input->left_bytes);

  input->left_bytes -= taken;
  input->data_bytes += taken;
  if (input->left_bytes == 0)
    input->state = HTTP_INPUT_CHUNK_END;
  return taken;
}

/* Return: the number of bytes taken */
static size_t
read_line (http_input_t *input, const char *bytes, size_t count)
{
  const char *end = memchr (bytes, '\n', count);
  size_t length = end ? (size_t)(end - bytes) : count;

  if (input->state == HTTP_INPUT_FIRST_LINE)
    input->head_started = true;
  if (memchr (bytes, '\0', length))
    input->state = HTTP_INPUT_INVALID;
  else if (!add_to_line (input, bytes, length))
    set_over (input);
  else if (end)
    end_line (input);
  return length + (end != NULL);
}

bool
http_input_read (http_input_t *input, const char *bytes, size_t count)
{
  while (count > 0 && !is_refused (input) && input->state != HTTP_INPUT_REST)
    {
      size_t taken = input->state == HTTP_INPUT_CHUNK_DATA ? read_data (input, count)
                                                           : read_line (input, bytes, count);

      bytes += taken;
      count -= taken;
    }
  return !is_refused (input);
}

bool
http_input_read_last (http_input_t *input, struct evbuffer *buffer, size_t count)
{
  struct evbuffer_ptr start;
  struct evbuffer_iovec part;

  while (count > 0)
    {
      evbuffer_ptr_set (buffer, &start, evbuffer_get_length (buffer) - count, EVBUFFER_PTR_SET);
      if (evbuffer_peek (buffer, (ev_ssize_t)count, &start, &part, 1) < 1)
        return false;
      part.iov_len = MIN (part.iov_len, count);
      if (!http_input_read (input, part.iov_base, part.iov_len))
        return false;
      count -= part.iov_len;
    }
  return !is_refused (input);
}
