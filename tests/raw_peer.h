/**
 * DOC: raw_peer
 *
 * Peers of HTTP that send exactly the bytes they are told, however wrong, and note what comes.
 */
#ifndef TESTS_RAW_PEER_H
#define TESTS_RAW_PEER_H

#include "base/settings.h"

#include <event2/event.h>
#include <glib.h>

/** struct raw - one connection of either side */
typedef struct
{
  struct event_base *base;
  struct event *readable;
  int fd;
  GString *got;
  bool eof;
  bool reset;
  bool deaf; /* leave what comes in the socket */
} raw_t;

/** struct raw_server - answers each request head that it sees by the next script, and the last one
 * over again; a NULL script answers nothing */
typedef struct
{
  struct event_base *base;
  struct event *acceptable;
  int fd;
  set_address_t address;
  const char *const *scripts;
  uint32_t script_count;
  uint32_t answered;
  bool close_after; /* close once a script is written */
  bool reset_after; /* close by a reset once a script is written */
  bool deaf;        /* read nothing */
  bool keep_head;   /* leave the head in got */
  GPtrArray *conns; /* raw_t */
  uint32_t accepted;
  int fillers[4];
} raw_server_t;

/** raw_address() - a loopback address of this process alone, port 0 */
set_address_t raw_address (void);
raw_t *raw_connect (struct event_base *base, const set_address_t *address);
void raw_send (raw_t *raw, const char *text);
/** raw_close() - with @reset the peer sees a reset instead of the end of file */
void raw_close (raw_t *raw, bool reset);
void raw_free (raw_t *raw);

raw_server_t *raw_server_new (struct event_base *base, const char *const *scripts, uint32_t count);
/** raw_server_fill() - take no connections any more; those that come now never come about */
void raw_server_fill (raw_server_t *server);
void raw_server_free (raw_server_t *server);

/** raw_run_until() - run the loop until @done says so. Return: false after five seconds */
bool raw_run_until (struct event_base *base, bool (*done) (void *context), void *context);
/** raw_run_ms() - run the loop for a time, to see that nothing happens */
void raw_run_ms (struct event_base *base, uint32_t ms);

#endif
