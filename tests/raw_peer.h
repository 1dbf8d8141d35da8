/**
 * DOC: raw_peer
 *
 * TCP clients and servers for tests of HTTP code. They send exactly the bytes that a test gives
 * them, valid or not, and record what they receive.
 */
#ifndef TESTS_RAW_PEER_H
#define TESTS_RAW_PEER_H

#include "base/settings.h"

#include <event2/event.h>
#include <glib.h>

/**
 * raw_peer_t - a connection, made by raw_peer_connect() or accepted by a raw_server_t
 * @received: bytes received
 * @eof: the peer has closed or reset the connection
 * @reset: the peer has reset it
 */
typedef struct
{
  struct event_base *base;
  struct event *readable;
  int fd;
  GString *received;
  bool eof;
  bool reset;
} raw_peer_t;

/**
 * raw_server_t - a server that sends one script for each request head
 * @scripts: sent in turn, the last one repeatedly; nothing is sent for a NULL script
 * @request_count: number of request heads so far
 * @close_after: close the connection after each script
 * @reset_after: reset the connection after each script
 * @never_read: leave received bytes in the socket
 * @keep_head: don't remove the request head from @received of the connection
 * @connections: all accepted connections, of raw_peer_t
 * @accepted: number of accepted connections
 * @backlog_fds: connections that fill the kernel's queue, see raw_server_fill()
 */
typedef struct
{
  struct event_base *base;
  struct event *acceptable;
  int fd;
  address_t address;
  const char *const *scripts;
  uint32_t script_count;
  uint32_t request_count;
  bool close_after;
  bool reset_after;
  bool never_read;
  bool keep_head;
  GPtrArray *connections;
  uint32_t accepted;
  int backlog_fds[4];
} raw_server_t;

/** raw_peer_loopback_address() - a loopback address that only this process uses, with port 0 */
address_t raw_peer_loopback_address (void);
/** raw_peer_connect() - connect to @address */
raw_peer_t *raw_peer_connect (struct event_base *base, const address_t *address);
/** raw_peer_send() - send @text; blocks until the kernel has taken all of it */
void raw_peer_send (raw_peer_t *raw, const char *text);
/** raw_peer_close() - close the connection, with @reset by a reset instead of an end of file */
void raw_peer_close (raw_peer_t *raw, bool reset);
/** raw_peer_free() - close and free a connection */
void raw_peer_free (raw_peer_t *raw);

/** raw_server_new() - start a server on a free port of raw_peer_loopback_address() */
raw_server_t *raw_server_new (struct event_base *base, const char *const *scripts, uint32_t count);
/** raw_server_new_on() - likewise, on another host: @host up to 200 is another address, 0 is that
 * of raw_server_new() */
raw_server_t *raw_server_new_on (struct event_base *base,
                                 uint32_t host,
                                 const char *const *scripts,
                                 uint32_t count);
/** raw_server_fill() - stop accepting and fill the kernel's queue, so that further connections are
 * never established */
void raw_server_fill (raw_server_t *server);
/** raw_server_free() - stop the server and close its connections */
void raw_server_free (raw_server_t *server);

/** raw_peer_run_until() - run the event loop until @done returns true. Return: false after five
 * seconds
 */
bool raw_peer_run_until (struct event_base *base, bool (*done) (void *context), void *context);
/** raw_peer_run_ms() - run the event loop for @ms, to check that something does not happen */
void raw_peer_run_ms (struct event_base *base, uint32_t ms);

#endif
