/**
 * DOC: testbed
 *
 * A router, sidecars and fake engines on one event loop, for tests of the whole path of a request.
 * The test replaces the control tasks of these daemons: it sets the version and the members that
 * they have, and decides claims from a table in memory.
 */
#ifndef TESTS_TESTBED_H
#define TESTS_TESTBED_H

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "base/daemon.h"
#include "request/router/router.h"
#include "request/sidecar/sidecar.h"
#include "request/messages.h"

#define TESTBED_SIDECARS 3
#define TESTBED_API_KEY "the key of the first account"
#define TESTBED_FLEET_KEY "a fleet key of the tests"

/* The answer of TESTBED_LONG_ANSWER, and the parts in which it is sent */
#define TESTBED_PART_BYTES 65536
#define TESTBED_LONG_ANSWER_BYTES (64 * TESTBED_PART_BYTES)

/**
 * enum testbed_mode - what a fake engine does with a request
 * @TESTBED_ANSWER: answers with 200 and the body of the request
 * @TESTBED_HOLD: holds the request until testbed_release()
 * @TESTBED_DISCONNECT: closes the connection without an answer
 * @TESTBED_DISCONNECT_MID_STREAM: closes the connection after the first event of a stream
 * @TESTBED_LONG_ANSWER: streams TESTBED_LONG_ANSWER_BYTES as fast as they are read
 * @TESTBED_WRONG_ID: answers with the id of another request
 * @TESTBED_CRASH: closes its listener and all connections
 */
typedef enum
{
  TESTBED_ANSWER,
  TESTBED_HOLD,
  TESTBED_DISCONNECT,
  TESTBED_DISCONNECT_MID_STREAM,
  TESTBED_LONG_ANSWER,
  TESTBED_WRONG_ID,
  TESTBED_CRASH
} testbed_mode_t;

typedef struct testbed testbed_t;

/**
 * struct testbed_node - a router or a sidecar; the test replaces its control task
 * @router_task: data task of a router, else NULL
 * @sidecar_task: data task of a sidecar, else NULL
 * @drained: the data task has reported that all its requests ended after a drain
 */
typedef struct
{
  testbed_t *testbed;
  daemon_t daemon;
  router_t *router_task;
  sidecar_t *sidecar_task;
  bool drained;
} testbed_node_t;

/**
 * struct testbed_engine - a fake engine
 * @server: NULL after a crash
 * @held_requests: http_server_call_t that TESTBED_HOLD holds
 * @request_count: requests received, health checks not included
 * @cancelled_count: held requests that their sidecar cancelled
 * @received_secret_header: a request carried a header that is not meant for engines
 * @crash_timer: crashes the engine after the current event
 * @disconnect_timer: closes the connection of @disconnect_call
 * @long_call: the request that TESTBED_LONG_ANSWER answers
 * @long_answer_bytes: bytes of that answer so far
 */
typedef struct
{
  testbed_t *testbed;
  address_t address;
  http_server_t *server;
  testbed_mode_t mode;
  GPtrArray *held_requests;
  uint32_t request_count;
  uint32_t cancelled_count;
  bool received_secret_header;
  struct event *crash_timer;
  struct event *disconnect_timer;
  http_server_call_t *disconnect_call;
  http_server_call_t *long_call;
  uint32_t long_answer_bytes;
} testbed_engine_t;

/**
 * struct testbed - the daemons and engines of one test
 * @members: the member list that all daemons get, over @hosts
 * @hosts: the sidecars' hosts, then the router's
 * @http_client: sends the callers' requests
 * @counters: counters of the fake engines' HTTP servers
 * @claims: key hash -> claim_verdict_t that the next claim of the key gets
 * @log_down: claims are refused as if the log could not be reached
 * @hold_claims: a claim is held until testbed_decide_claim()
 * @held_claim_node: the sidecar whose claim is held, or NULL
 * @crash_mark_count: crash marks that sidecars reported
 */
struct testbed
{
  struct event_base *base;
  manifest_t *manifest;
  membership_snapshot_t members;
  membership_host_t hosts[TESTBED_SIDECARS + 1];
  testbed_node_t router;
  testbed_node_t sidecars[TESTBED_SIDECARS];
  testbed_engine_t engines[TESTBED_SIDECARS];
  http_client_t *http_client;
  counter_registry_t *counters;
  GHashTable *claims;
  bool log_down;
  bool hold_claims;
  message_claim_t held_claim;
  testbed_node_t *held_claim_node;
  uint32_t crash_mark_count;
};

/**
 * struct testbed_request - a caller's request; headers whose field is NULL are left out
 * @body: NULL for a GET, else a POST
 * @api_key: of the client account; TESTBED_API_KEY when NULL
 */
typedef struct
{
  const char *path;
  const char *body;
  const char *api_key;
  const char *chat;
  const char *class_name;
  const char *idempotency_key;
  const char *deadline_ms;
} testbed_request_t;

/**
 * struct testbed_answer - what the caller gets
 * @done: the exchange has ended, as told by @end
 * @stop_reading: set by the test: read no more once a part of the body has come
 * @call: the exchange under way, NULL once it has ended
 */
typedef struct
{
  bool done;
  bool stop_reading;
  http_client_result_t end;
  int status;
  char verdict[32];
  char engine[LIMIT_NAME_BYTES];
  char request_id[40];
  char retry_after[16];
  GString *body;
  http_client_call_t *call;
} testbed_answer_t;

/**
 * testbed_address() - a loopback address that only this process uses
 * @last: last byte of the address; hosts have 1 to 4, engines 100 to 102
 */
address_t testbed_address (uint32_t last);
/** testbed_new() - starts all daemons and engines, and waits until the router serves requests */
testbed_t *testbed_new (void);
void testbed_free (testbed_t *testbed);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (testbed_t, testbed_free)
/** testbed_wait_until() - runs the event loop until @done returns true. Return: false after ten
 * seconds */
bool testbed_wait_until (testbed_t *testbed, bool (*done) (void *context), void *context);
/** testbed_send() - sends a request to the router without waiting; @answer is filled as it arrives
 */
void testbed_send (testbed_t *testbed, const testbed_request_t *request, testbed_answer_t *answer);
/** testbed_ask() - sends a request and waits for the end; call testbed_answer_clear() afterwards */
void testbed_ask (testbed_t *testbed, const testbed_request_t *request, testbed_answer_t *answer);
/** testbed_ask_engine() - sends a request and waits. Return: index of the engine that answered */
uint32_t testbed_ask_engine (testbed_t *testbed, const testbed_request_t *request);
/** testbed_answer_clear() - cancels the exchange if it is under way, and frees the body */
void testbed_answer_clear (testbed_answer_t *answer);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (testbed_answer_t, testbed_answer_clear)
/** testbed_is_done() - condition for testbed_wait_until(): the testbed_answer_t in @context is done
 */
bool testbed_is_done (void *context);
/** testbed_send_flag() - sends a message_flag_t to a daemon's data task, as its control task would
 */
void testbed_send_flag (testbed_node_t *node, message_kind_t kind, bool on);
/** testbed_engine_index() - index of the engine that the answer's header names */
uint32_t testbed_engine_index (const testbed_answer_t *answer);
/** testbed_set_host_state() - changes the state of a host, and sends the members to all daemons */
void testbed_set_host_state (testbed_t *testbed, uint32_t host, membership_state_t state);
/** testbed_count_received() - requests that the engines received in total */
uint32_t testbed_count_received (const testbed_t *testbed);
/** testbed_set_mode() - sets the mode of all engines */
void testbed_set_mode (testbed_t *testbed, testbed_mode_t mode);
/** testbed_release() - answers all requests that an engine holds */
void testbed_release (testbed_engine_t *engine);
/** testbed_decide_claim() - decides the claim that is held, and holds no further ones */
void testbed_decide_claim (testbed_t *testbed);
/** testbed_set_manifest() - puts another version in force at all daemons; takes over the reference
 */
void testbed_set_manifest (testbed_t *testbed, manifest_t *manifest);
/**
 * testbed_open_black_hole() - opens a socket that accepts connections and never answers, like that
 * of a frozen process
 *
 * Return: the socket, for the caller to close; @address is set
 */
evutil_socket_t testbed_open_black_hole (address_t *address);
/** testbed_crash() - closes an engine's listener and all its connections */
void testbed_crash (testbed_engine_t *engine);
/** testbed_start_engine() - starts an engine, also again after a crash */
void testbed_start_engine (testbed_engine_t *engine);

#endif
