#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

double
now_s (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

int64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char ip[64] = "";
  const char *colon = strrchr (text, ':');

  if (!colon || (size_t)(colon - text) >= sizeof ip)
    {
      fprintf (stderr, "\"%s\" is not IP:PORT\n", text);
      exit (2);
    }
  memcpy (ip, text, (size_t)(colon - text));
  inet_pton (AF_INET, ip, &address.sin_addr);
  address.sin_port = htons ((uint16_t)atoi (colon + 1));
  return address;
}

int
net_listen (const char *text)
{
  struct sockaddr_in address = parse_address (text);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) < 0 || listen (fd, 1024) < 0)
    {
      perror (text);
      exit (2);
    }
  return fd;
}

int
net_connect (const char *text, int timeout_ms)
{
  struct sockaddr_in address = parse_address (text);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct pollfd poll_fd = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t size = sizeof error;
  int one = 1;

  if (fd < 0)
    return -1;
  if (connect (fd, (struct sockaddr *)&address, sizeof address) < 0 &&
      (errno != EINPROGRESS || poll (&poll_fd, 1, timeout_ms) <= 0 ||
       getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0 || error != 0))
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  net_set_timeout (fd, 30000);
  return fd;
}

void
net_set_timeout (int fd, int timeout_ms)
{
  struct timeval limit = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

bool
net_write (int fd, const void *bytes, size_t count)
{
  const char *at = bytes;

  while (count > 0)
    {
      ssize_t sent = send (fd, at, count, MSG_NOSIGNAL);

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
  char text[HEAD_MAX];
  va_list arguments;
  int length;

  va_start (arguments, format);
  length = vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  return length >= 0 && (size_t)length < sizeof text && net_write (fd, text, (size_t)length);
}

void
reader_init (reader_t *reader, int fd)
{
  reader->fd = fd;
  reader->used = 0;
  reader->have = 0;
}

static bool
fill (reader_t *reader)
{
  ssize_t got = recv (reader->fd, reader->buffer, sizeof reader->buffer, 0);

  reader->used = 0;
  reader->have = got > 0 ? (size_t)got : 0;
  return got > 0;
}

bool
reader_bytes (reader_t *reader, char *out, size_t count)
{
  while (count > 0)
    {
      size_t part = reader->have - reader->used;

      if (part == 0 && !fill (reader))
        return false;
      part = reader->have - reader->used < count ? reader->have - reader->used : count;
      if (out)
        {
          memcpy (out, reader->buffer + reader->used, part);
          out += part;
        }
      reader->used += part;
      count -= part;
    }
  return true;
}

bool
reader_line (reader_t *reader, char *line, size_t size)
{
  size_t length = 0;
  char c;

  while (reader_bytes (reader, &c, 1))
    {
      if (c == '\n')
        {
          if (length > 0 && line[length - 1] == '\r')
            length--;
          line[length] = '\0';
          return true;
        }
      if (length + 1 >= size)
        return false;
      line[length++] = c;
    }
  return false;
}

bool
reader_head (reader_t *reader, message_t *message)
{
  size_t length = 0;

  message->body = NULL;
  message->body_bytes = 0;
  message->head[0] = '\0';
  while (length + 4 < sizeof message->head)
    {
      char *line = message->head + length;

      if (!reader_line (reader, line, sizeof message->head - length - 2))
        return false;
      if (line[0] == '\0')
        return length > 0;
      length += strlen (line);
      strcpy (message->head + length, "\n");
      length++;
    }
  return false;
}

bool
header_get (const char *head, const char *name, char *out, size_t size)
{
  size_t name_bytes = strlen (name);
  const char *line = strchr (head, '\n');

  while (line && line[1] != '\0')
    {
      const char *value = line + 1 + name_bytes;
      size_t bytes;

      line++;
      if (strncasecmp (line, name, name_bytes) == 0 && *value == ':')
        {
          value += 1 + strspn (value + 1, " \t");
          bytes = strcspn (value, "\n");
          snprintf (out, size, "%.*s", (int)bytes, value);
          return true;
        }
      line = strchr (line, '\n');
    }
  return false;
}

static bool
append (message_t *message, reader_t *reader, size_t count)
{
  message->body = realloc (message->body, message->body_bytes + count + 1);
  if (!reader_bytes (reader, message->body + message->body_bytes, count))
    return false;
  message->body_bytes += count;
  message->body[message->body_bytes] = '\0';
  return true;
}

bool
reader_message (reader_t *reader, message_t *message)
{
  char value[64];
  char line[256];

  if (!reader_head (reader, message))
    return false;
  if (header_get (message->head, "Content-Length", value, sizeof value))
    return append (message, reader, strtoul (value, NULL, 10));
  if (!header_get (message->head, "Transfer-Encoding", value, sizeof value))
    return true;
  while (reader_line (reader, line, sizeof line))
    {
      size_t chunk = strtoul (line, NULL, 16);

      if (chunk > 0 && !append (message, reader, chunk))
        return false;
      if (!reader_line (reader, line, sizeof line))
        return false;
      if (chunk == 0)
        return true;
    }
  return false;
}

void
message_clear (message_t *message)
{
  free (message->body);
  message->body = NULL;
}

int
store_put (const char *store, const char *topic, const char *key, const char *value)
{
  int fd = net_connect (store, 1000);
  size_t key_bytes = strlen (key);
  size_t value_bytes = strlen (value);
  uint32_t length = (uint32_t)(1 + key_bytes + value_bytes);
  unsigned char start[5] = { (unsigned char)(length >> 24), (unsigned char)(length >> 16),
                             (unsigned char)(length >> 8), (unsigned char)length,
                             (unsigned char)key_bytes };
  reader_t *reader = malloc (sizeof *reader);
  message_t *answer = malloc (sizeof *answer);
  int status = 0;

  answer->body = NULL;
  if (fd >= 0)
    {
      net_set_timeout (fd, 2000);
      reader_init (reader, fd);
      if (net_printf (fd,
                      "POST /log-append?topic=%s&part=0 HTTP/1.1\r\nHost: store\r\n"
                      "Content-Length: %u\r\n\r\n",
                      topic, length + 4) &&
          net_write (fd, start, sizeof start) && net_write (fd, key, key_bytes) &&
          net_write (fd, value, value_bytes) && reader_message (reader, answer))
        sscanf (answer->head, "HTTP/1.1 %d", &status);
      close (fd);
    }
  message_clear (answer);
  free (answer);
  free (reader);
  return status;
}
