/**
 * DOC: server_fixture
 *
 * Fixture for tests of the HTTP server: a server whose calls stay pending until the test answers
 * them, and clients that send raw bytes to it.
 */
#ifndef TESTS_SERVER_FIXTURE_H
#define TESTS_SERVER_FIXTURE_H

#include "connection/http_server.h"
#include "raw_peer.h"

#define SERVER_FIXTURE_BODY_LIMIT_BYTES 1000
#define SERVER_FIXTURE_HEADER_LIMIT_BYTES 2000
#define SERVER_FIXTURE_CONNECTION_LIMIT 3
#define SERVER_FIXTURE_HERD_LIMIT 100 /* of a server that takes a few at a time */
#define SERVER_FIXTURE_INCOMPLETE_LIMIT_BYTES 8000
#define SERVER_FIXTURE_NO_TIMEOUT_MS (60 * 1000) /* longer than any test */

/**
 * server_fixture_t - a server and its clients
 * @waiting: pending calls, in the order of their arrival
 * @clients: all clients, of raw_peer_t
 * @calls: number of calls so far
 * @disconnects: number of calls whose client has disconnected
 * @writable_count: number of callbacks of http_server_on_writable()
 * @ends: number of ended connections that were told
 * @ended: the last one
 * @reply_at_once: answer each call within on_call, with its target as the body
 */
typedef struct
{
  struct event_base *base;
  counter_registry_t *counters;
  http_server_t *http_server;
  address_t address;
  GPtrArray *waiting;
  GPtrArray *clients;
  uint32_t calls;
  uint32_t disconnects;
  uint32_t writable_count;
  uint32_t ends;
  http_server_ended_t ended;
  bool reply_at_once;
} server_fixture_t;

/** server_fixture_new() - create a server with timeouts that are longer than any test */
server_fixture_t *server_fixture_new (void);
/** server_fixture_new_with_timeouts() - create a server with the given timeouts */
server_fixture_t *server_fixture_new_with_timeouts (uint32_t idle_timeout_ms,
                                                    uint32_t request_timeout_ms);
/** server_fixture_new_taking_few() - create a server that takes a few connections at a time */
server_fixture_t *server_fixture_new_taking_few (void);
/** server_fixture_new_with_incomplete_limit() - likewise, with that limit on requests that have
 * been received in part */
server_fixture_t *server_fixture_new_with_incomplete_limit (uint32_t limit_bytes);
/** server_fixture_new_with_file_limit() - likewise, with that limit on open files */
server_fixture_t *server_fixture_new_with_file_limit (uint32_t file_limit);
void server_fixture_free (server_fixture_t *fixture);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (server_fixture_t, server_fixture_free)
/** server_fixture_counter_value() - the value of a counter */
uint64_t server_fixture_counter_value (server_fixture_t *fixture, const char *name);
/** server_fixture_refused_count() - number of requests that the server rejected for @reason */
uint64_t server_fixture_refused_count (server_fixture_t *fixture, const char *reason);
/** server_fixture_call_at() - the pending call number @index, in the order of arrival */
http_server_call_t *server_fixture_call_at (server_fixture_t *fixture, guint index);

/* Conditions for raw_peer_run_until(). The context of server_fixture_connection_closed() is a
 * raw_peer_t, of the others the fixture.
 */
bool server_fixture_connection_closed (void *context);
bool server_fixture_one_waiting (void *context);
bool server_fixture_two_waiting (void *context);
bool server_fixture_one_connected (void *context);
bool server_fixture_one_disconnected (void *context);
bool server_fixture_is_idle (void *context);
/** server_fixture_run_until_received() - run the event loop until @raw has received @text; fails
 * the test otherwise */
void
server_fixture_run_until_received (server_fixture_t *fixture, raw_peer_t *raw, const char *text);
/** server_fixture_connect() - connect a client and send @request; server_fixture_free() frees the
 * client */
raw_peer_t *server_fixture_connect (server_fixture_t *fixture, const char *request);
/** server_fixture_connect_waiting() - like server_fixture_connect(), and run the event loop until
 * one call is pending */
raw_peer_t *server_fixture_connect_waiting (server_fixture_t *fixture, const char *request);
/** server_fixture_check_absent() - check that @raw has not received @text */
void server_fixture_check_absent (const raw_peer_t *raw, const char *text);
/** server_fixture_send_part() - like http_server_send_part(), for a string */
bool server_fixture_send_part (http_server_call_t *call, const char *text);

#endif
