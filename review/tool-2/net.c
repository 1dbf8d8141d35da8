#define _GNU_SOURCE
#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CANNOT_RUN 2

static int record_fd = -1;

static uint64_t
clock_ms (clockid_t id)
{
  struct timespec at;

  clock_gettime (id, &at);
  return (uint64_t)at.tv_sec * 1000 + (uint64_t)at.tv_nsec / 1000000;
}

uint64_t
net_now_ms (void)
{
  return clock_ms (CLOCK_MONOTONIC);
}

uint64_t
net_unix_ms (void)
{
  return clock_ms (CLOCK_REALTIME);
}

void
net_sleep_ms (uint64_t ms)
{
  struct timespec wait = { (time_t)(ms / 1000), (long)(ms % 1000) * 1000000 };

  while (nanosleep (&wait, &wait) < 0 && errno == EINTR)
    continue;
}

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char ip[32] = "";
  unsigned port = 0;

  if (strncmp (text, "127.", 4) != 0 || sscanf (text, "%31[0-9.]:%u", ip, &port) != 2 ||
      inet_pton (AF_INET, ip, &address.sin_addr) != 1 || port == 0 || port > 65535)
    {
      fprintf (stderr, "%s is no loopback address with a port\n", text);
      exit (CANNOT_RUN);
    }
  address.sin_port = htons ((uint16_t)port);
  return address;
}

int
net_listen (const char *text)
{
  struct sockaddr_in address = parse_address (text);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int yes = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) < 0 || listen (fd, 512) < 0)
    {
      fprintf (stderr, "cannot listen on %s: %s\n", text, strerror (errno));
      exit (CANNOT_RUN);
    }
  return fd;
}

int
net_connect (const char *text, uint32_t timeout_ms)
{
  struct sockaddr_in address = parse_address (text);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct pollfd wait = { fd, POLLOUT, 0 };
  int error = 0;
  int yes = 1;
  socklen_t bytes = sizeof error;

  if (connect (fd, (struct sockaddr *)&address, sizeof address) < 0 &&
      (errno != EINPROGRESS || poll (&wait, 1, (int)timeout_ms) <= 0 ||
       getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &bytes) < 0 || error != 0))
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, 0);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return fd;
}

bool
net_write (int fd, const void *bytes, size_t count)
{
  const char *at = bytes;

  while (count > 0)
    {
      ssize_t sent = send (fd, at, count, MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      at += sent;
      count -= (size_t)sent;
    }
  return true;
}

bool
net_printf (int fd, const char *format, ...)
{
  char *text = NULL;
  va_list list;
  bool sent;
  int count;

  va_start (list, format);
  count = vasprintf (&text, format, list);
  va_end (list);
  sent = count >= 0 && net_write (fd, text, (size_t)count);
  free (text);
  return sent;
}

void
net_reader_init (net_reader_t *reader, int fd)
{
  *reader = (net_reader_t){ .fd = fd };
}

void
net_reader_clear (net_reader_t *reader)
{
  free (reader->bytes);
  reader->bytes = NULL;
}

bool
net_read_more (net_reader_t *reader, uint32_t timeout_ms)
{
  struct pollfd wait = { reader->fd, POLLIN, 0 };
  ssize_t count;

  if (reader->at_end || poll (&wait, 1, timeout_ms > 0 ? (int)timeout_ms : -1) <= 0)
    return false;
  if (reader->size - reader->used < 65536)
    {
      reader->size = reader->size * 2 + 131072;
      reader->bytes = realloc (reader->bytes, reader->size);
    }
  count = recv (reader->fd, reader->bytes + reader->used, reader->size - reader->used, 0);
  if (count <= 0)
    {
      reader->at_end = true;
      return false;
    }
  reader->used += (size_t)count;
  return true;
}

static char *
take (net_reader_t *reader, size_t count)
{
  char *text = malloc (count + 1);

  memcpy (text, reader->bytes, count);
  text[count] = '\0';
  reader->used -= count;
  memmove (reader->bytes, reader->bytes + count, reader->used);
  return text;
}

/* Return: time that is left of @timeout_ms since @from_ms; 0 when none is */
static uint32_t
left_of (uint64_t from_ms, uint32_t timeout_ms)
{
  uint64_t passed_ms = net_now_ms () - from_ms;

  return passed_ms < timeout_ms ? (uint32_t)(timeout_ms - passed_ms) : 0;
}

static bool
read_before (net_reader_t *reader, uint64_t from_ms, uint32_t timeout_ms)
{
  uint32_t left_ms = left_of (from_ms, timeout_ms);

  if (timeout_ms > 0 && left_ms == 0)
    return false;
  return net_read_more (reader, left_ms);
}

char *
net_take (net_reader_t *reader, size_t count, uint32_t timeout_ms)
{
  uint64_t from_ms = net_now_ms ();

  while (reader->used < count)
    if (!read_before (reader, from_ms, timeout_ms))
      return NULL;
  return take (reader, count);
}

char *
net_take_line (net_reader_t *reader, uint32_t timeout_ms)
{
  uint64_t from_ms = net_now_ms ();
  char *end;
  char *line;
  size_t length;

  while (!(end = reader->used > 0 ? memchr (reader->bytes, '\n', reader->used) : NULL))
    if (!read_before (reader, from_ms, timeout_ms))
      return NULL;
  length = (size_t)(end - reader->bytes);
  line = take (reader, length + 1);
  line[length] = '\0';
  if (length > 0 && line[length - 1] == '\r')
    line[length - 1] = '\0';
  return line;
}

bool
net_read_head (net_reader_t *reader, net_head_t *head, uint32_t timeout_ms)
{
  uint64_t from_ms = net_now_ms ();
  char *end = NULL;
  char *at;

  *head = (net_head_t){ 0 };
  while (!(end = reader->used > 0 ? memmem (reader->bytes, reader->used, "\r\n\r\n", 4) : NULL))
    if (!read_before (reader, from_ms, timeout_ms))
      return false;
  head->text = take (reader, (size_t)(end - reader->bytes) + 4);
  head->line = head->text;
  at = strstr (head->text, "\r\n");
  while (at && at[2] != '\r' && head->count < NET_HEADERS)
    {
      char *name = at + 2;
      char *colon = strchr (name, ':');

      *at = '\0';
      at = strstr (name, "\r\n");
      if (!colon || !at || colon > at)
        break;
      *colon = '\0';
      head->names[head->count] = name;
      head->values[head->count++] = colon + 1 + strspn (colon + 1, " \t");
    }
  if (at)
    *at = '\0';
  return true;
}

void
net_head_clear (net_head_t *head)
{
  free (head->text);
  head->text = NULL;
}

const char *
net_header (const net_head_t *head, const char *name)
{
  for (int i = 0; i < head->count; i++)
    if (strcasecmp (head->names[i], name) == 0)
      return head->values[i];
  return NULL;
}

int
net_status (const net_head_t *head)
{
  const char *space = strchr (head->line, ' ');

  return space ? atoi (space + 1) : 0;
}

static void
append (char **body, size_t *count, char *part, size_t bytes)
{
  *body = realloc (*body, *count + bytes + 1);
  memcpy (*body + *count, part, bytes);
  *count += bytes;
  (*body)[*count] = '\0';
  free (part);
}

static bool
read_chunks (
    net_reader_t *reader, uint64_t from_ms, uint32_t timeout_ms, char **body, size_t *count)
{
  while (true)
    {
      uint32_t left_ms = left_of (from_ms, timeout_ms);
      char *line = left_ms > 0 ? net_take_line (reader, left_ms) : NULL;
      size_t bytes = line ? strtoul (line, NULL, 16) : 0;
      char *part = line ? net_take (reader, bytes + 2, left_ms) : NULL;

      free (line);
      if (!part)
        return false;
      append (body, count, part, bytes);
      if (bytes == 0)
        return true;
    }
}

char *
net_read_body (net_reader_t *reader,
               const net_head_t *head,
               uint32_t timeout_ms,
               size_t *count,
               bool *whole)
{
  const char *length = net_header (head, "Content-Length");
  const char *encoding = net_header (head, "Transfer-Encoding");
  uint64_t from_ms = net_now_ms ();
  char *body = calloc (1, 1);

  *count = 0;
  *whole = true;
  if (encoding && strcasecmp (encoding, "chunked") == 0)
    *whole = read_chunks (reader, from_ms, timeout_ms, &body, count);
  else if (length)
    {
      size_t bytes = strtoul (length, NULL, 10);
      char *part = net_take (reader, bytes, timeout_ms);

      *whole = part != NULL;
      if (part)
        append (&body, count, part, bytes);
    }
  else if (strncmp (head->line, "HTTP/", 5) == 0)
    {
      while (read_before (reader, from_ms, timeout_ms))
        continue;
      *whole = reader->at_end;
      append (&body, count, take (reader, reader->used), reader->used);
    }
  return body;
}

int
net_store_put (
    const char *store, const char *topic, const char *key, const char *value, uint32_t timeout_ms)
{
  size_t key_bytes = strlen (key);
  size_t value_bytes = strlen (value);
  uint32_t bytes = (uint32_t)(1 + key_bytes + value_bytes);
  unsigned char start[5] = { (unsigned char)(bytes >> 24), (unsigned char)(bytes >> 16),
                             (unsigned char)(bytes >> 8), (unsigned char)bytes,
                             (unsigned char)key_bytes };
  int fd = net_connect (store, timeout_ms);
  net_reader_t reader;
  net_head_t head;
  int status = 0;

  if (fd < 0)
    return 0;
  net_reader_init (&reader, fd);
  if (net_printf (fd,
                  "POST /log-append?topic=%s&part=0 HTTP/1.1\r\nHost: store\r\n"
                  "Content-Length: %u\r\nConnection: close\r\n\r\n",
                  topic, bytes + 4) &&
      net_write (fd, start, 5) && net_write (fd, key, key_bytes) &&
      net_write (fd, value, value_bytes) && net_read_head (&reader, &head, timeout_ms))
    {
      status = net_status (&head);
      net_head_clear (&head);
    }
  net_reader_clear (&reader);
  close (fd);
  return status;
}

void
net_record_open (const char *path)
{
  record_fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (record_fd < 0)
    {
      fprintf (stderr, "cannot write %s\n", path);
      exit (CANNOT_RUN);
    }
}

void
net_record (const char *format, ...)
{
  char line[1024];
  int start = snprintf (line, sizeof line, "%llu ", (unsigned long long)net_now_ms ());
  va_list list;
  int count;

  va_start (list, format);
  count = vsnprintf (line + start, sizeof line - (size_t)start - 1, format, list);
  va_end (list);
  count = start + (count < (int)sizeof line - start - 2 ? count : (int)sizeof line - start - 2);
  line[count++] = '\n';
  if (write (record_fd, line, (size_t)count) < 0)
    perror ("record");
}
