/* Blocking sockets, HTTP/1.1 messages and a record file, for the stand-ins of these cases. */
#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define NET_HEADERS 64

/**
 * struct net_reader - bytes read from a socket that are not taken yet
 * @fd: the socket
 * @at_end: the peer has closed it, or it failed
 */
typedef struct
{
  int fd;
  char *bytes;
  size_t used;
  size_t size;
  bool at_end;
} net_reader_t;

/** struct net_head - first line and headers of a message, in one block of memory */
typedef struct
{
  char *text;
  char *line;
  const char *names[NET_HEADERS];
  const char *values[NET_HEADERS];
  int count;
} net_head_t;

uint64_t net_now_ms (void);
uint64_t net_unix_ms (void);
void net_sleep_ms (uint64_t ms);

/* @address: "IP:PORT" of the loopback range; anything else ends the program with status 2 */
int net_listen (const char *address);
/* Return: a connected socket, -1 on failure */
int net_connect (const char *address, uint32_t timeout_ms);
bool net_write (int fd, const void *bytes, size_t count);
bool net_printf (int fd, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

void net_reader_init (net_reader_t *reader, int fd);
void net_reader_clear (net_reader_t *reader);
/* Return: false at the end of the connection or after @timeout_ms; 0: no limit */
bool net_read_more (net_reader_t *reader, uint32_t timeout_ms);
bool net_read_head (net_reader_t *reader, net_head_t *head, uint32_t timeout_ms);
void net_head_clear (net_head_t *head);
const char *net_header (const net_head_t *head, const char *name);
int net_status (const net_head_t *head);
/* Takes @count bytes. Return: the bytes with a final NUL, to be freed; NULL if they don't come */
char *net_take (net_reader_t *reader, size_t count, uint32_t timeout_ms);
/* Takes a line without its end. Return: to be freed; NULL if none comes */
char *net_take_line (net_reader_t *reader, uint32_t timeout_ms);
/* Reads a body by its length, its chunks or to the end of the connection.
 * @whole: whether it is complete. Return: the bytes with a final NUL, to be freed */
char *net_read_body (net_reader_t *reader,
                     const net_head_t *head,
                     uint32_t timeout_ms,
                     size_t *count,
                     bool *whole);

/* Calls the platform's store once. Return: the status, 0 without an answer */
int net_store_put (
    const char *store, const char *topic, const char *key, const char *value, uint32_t timeout_ms);

void net_record_open (const char *path);
/* One line with the time, written at once. */
void net_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

#endif
