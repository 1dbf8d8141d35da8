/**
 * DOC: http_bench
 *
 * Fixture for tests of the HTTP server: a server whose calls stay pending until the test answers
 * them, and clients that send raw bytes to it.
 */
#ifndef TESTS_HTTP_BENCH_H
#define TESTS_HTTP_BENCH_H

#include "connection/http_server.h"
#include "raw_peer.h"

#define HBN_BODY_LIMIT_BYTES 1000
#define HBN_HEADER_LIMIT_BYTES 2000
#define HBN_CONNECTION_LIMIT 3
#define HBN_COMING_LIMIT_BYTES 8000
#define HBN_NO_TIMEOUT_MS (60 * 1000) /* longer than any test */

/**
 * hbn_t - a server and its clients
 * @waiting: pending calls, in the order of their arrival
 * @clients: all clients, of raw_t
 * @calls: number of calls so far
 * @disconnects: number of calls whose client has disconnected
 * @writable_count: number of callbacks of hsv_on_room()
 * @reply_at_once: answer each call within on_call, with its target as the body
 */
typedef struct
{
  struct event_base *base;
  cnt_set_t *counters;
  hsv_t *hsv;
  set_address_t address;
  GPtrArray *waiting;
  GPtrArray *clients;
  uint32_t calls;
  uint32_t disconnects;
  uint32_t writable_count;
  bool reply_at_once;
} hbn_t;

/** hbn_new() - create a server with timeouts that are longer than any test */
hbn_t *hbn_new (void);
/** hbn_new_timeouts() - create a server with the given timeouts */
hbn_t *hbn_new_timeouts (uint32_t idle_timeout_ms, uint32_t request_timeout_ms);
void hbn_free (hbn_t *fixture);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (hbn_t, hbn_free)
/** hbn_counted() - the value of a counter */
uint64_t hbn_counted (hbn_t *fixture, const char *name);
/** hbn_refused() - number of requests that the server rejected for @reason */
uint64_t hbn_refused (hbn_t *fixture, const char *reason);
/** hbn_call_at() - the pending call number @index, in the order of arrival */
hsv_call_t *hbn_call_at (hbn_t *fixture, guint index);

/* Conditions for raw_run_until(). The context of hbn_ended() is a raw_t, of the others the fixture.
 */
bool hbn_ended (void *context);
bool hbn_one_waits (void *context);
bool hbn_two_wait (void *context);
bool hbn_one_connected (void *context);
bool hbn_one_gone (void *context);
bool hbn_not_busy (void *context);
/** hbn_run_until_sees() - run the event loop until @raw has received @text; fails the test
 * otherwise */
void hbn_run_until_sees (hbn_t *fixture, raw_t *raw, const char *text);
/** hbn_ask() - connect a client and send @request; hbn_free() frees the client */
raw_t *hbn_ask (hbn_t *fixture, const char *request);
/** hbn_ask_waiting() - like hbn_ask(), and run the event loop until one call is pending */
raw_t *hbn_ask_waiting (hbn_t *fixture, const char *request);
/** hbn_check_absent() - check that @raw has not received @text */
void hbn_check_absent (const raw_t *raw, const char *text);
/** hbn_part() - like hsv_part(), for a string */
bool hbn_part (hsv_call_t *call, const char *text);

#endif
