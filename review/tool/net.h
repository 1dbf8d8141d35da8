/* What the stand-ins of the review share: sockets, lines of HTTP, records of keyed topics. */
#ifndef REVIEW_TOOL_NET_H
#define REVIEW_TOOL_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HEAD_MAX 16384

/** struct message - a request or a response that was read
 * @head: its first line and headers, ended by NUL
 * @body_bytes: bytes of the body that were read
 */
typedef struct
{
  char head[HEAD_MAX];
  char *body;
  size_t body_bytes;
} message_t;

/** struct reader - a connection and what was read from it and not used yet */
typedef struct
{
  int fd;
  char buffer[65536];
  size_t used;
  size_t have;
} reader_t;

double now_s (void);
int64_t now_ms (void);
int net_listen (const char *address);
/* Return: -1 when there is no connection within @timeout_ms */
int net_connect (const char *address, int timeout_ms);
void net_set_timeout (int fd, int timeout_ms);
bool net_write (int fd, const void *bytes, size_t count);
bool net_printf (int fd, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
void reader_init (reader_t *reader, int fd);
/* Reads a head. Return: false at the end of the connection, or after its time limit */
bool reader_head (reader_t *reader, message_t *message);
bool reader_line (reader_t *reader, char *line, size_t size);
bool reader_bytes (reader_t *reader, char *out, size_t count);
/* Reads a head and a body with a length or in chunks. Return: false if it is not whole */
bool reader_message (reader_t *reader, message_t *message);
void message_clear (message_t *message);
/* Return: whether there is such a header; its value in @out */
bool header_get (const char *head, const char *name, char *out, size_t size);
/* Appends a record to partition 0 of a keyed topic. Return: the status, 0 without an answer */
int store_put (const char *store, const char *topic, const char *key, const char *value);

#endif
