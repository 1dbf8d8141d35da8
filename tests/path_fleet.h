/**
 * DOC: path_fleet
 *
 * A router, sidecars and fake engines on one event loop, for tests of the whole path of a request.
 * The test replaces the control tasks of these daemons: it sets the version and the members that
 * they have, and decides claims from a table in memory.
 */
#ifndef TESTS_PATH_FLEET_H
#define TESTS_PATH_FLEET_H

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "base/daemon.h"
#include "request/router/router.h"
#include "request/sidecar/sidecar.h"
#include "request/messages.h"

#define PFL_SIDECARS 3
#define PFL_KEY "the key of the first account"
#define PFL_FLEET_KEY "a fleet key of the tests"

/* The answer of PFL_LONG, and the parts in which it is sent */
#define PFL_PART_BYTES 65536
#define PFL_LONG_BYTES (64 * PFL_PART_BYTES)

/**
 * enum pfl_mode - what a fake engine does with a request
 * @PFL_ANSWER: answers with 200 and the body of the request
 * @PFL_HANG: holds the request until pfl_release()
 * @PFL_CUT: closes the connection without an answer
 * @PFL_CUT_LATE: closes the connection after the first event of a stream
 * @PFL_LONG: streams PFL_LONG_BYTES as fast as they are read
 * @PFL_CROSSED: answers with the id of another request
 * @PFL_CRASH: closes its listener and all connections
 */
typedef enum
{
  PFL_ANSWER,
  PFL_HANG,
  PFL_CUT,
  PFL_CUT_LATE,
  PFL_LONG,
  PFL_CROSSED,
  PFL_CRASH
} pfl_mode_t;

typedef struct pfl pfl_t;

/**
 * struct pfl_daemon - a router or a sidecar; the test replaces its control task
 * @router_task: data task of a router, else NULL
 * @sidecar_task: data task of a sidecar, else NULL
 * @drained: the data task has reported that all its requests ended after a drain
 */
typedef struct
{
  pfl_t *testbed;
  dmn_t daemon;
  rtr_t *router_task;
  sdc_t *sidecar_task;
  bool drained;
} pfl_daemon_t;

/**
 * struct pfl_engine - a fake engine
 * @server: NULL after a crash
 * @held_requests: hsv_call_t that PFL_HANG holds
 * @request_count: requests received, health checks not included
 * @cancelled_count: held requests that their sidecar cancelled
 * @received_secret_header: a request carried a header that is not meant for engines
 * @crash_timer: crashes the engine after the current event
 * @disconnect_timer: closes the connection of @disconnect_call
 * @long_call: the request that PFL_LONG answers
 * @long_answer_bytes: bytes of that answer so far
 */
typedef struct
{
  pfl_t *testbed;
  set_address_t address;
  hsv_t *server;
  pfl_mode_t mode;
  GPtrArray *held_requests;
  uint32_t request_count;
  uint32_t cancelled_count;
  bool received_secret_header;
  struct event *crash_timer;
  struct event *disconnect_timer;
  hsv_call_t *disconnect_call;
  hsv_call_t *long_call;
  uint32_t long_answer_bytes;
} pfl_engine_t;

/**
 * struct pfl - the daemons and engines of one test
 * @members: the member list that all daemons get, over @hosts
 * @hosts: the sidecars' hosts, then the router's
 * @http_client: sends the callers' requests
 * @counters: counters of the fake engines' HTTP servers
 * @claims: key hash -> claim_verdict_t that the next claim of the key gets
 * @log_down: claims are refused as if the log could not be reached
 * @hold_claims: a claim is held until pfl_judge()
 * @held_claim_node: the sidecar whose claim is held, or NULL
 * @crash_mark_count: crash marks that sidecars reported
 */
struct pfl
{
  struct event_base *base;
  man_t *manifest;
  membership_snapshot_t members;
  membership_host_t hosts[PFL_SIDECARS + 1];
  pfl_daemon_t router;
  pfl_daemon_t sidecars[PFL_SIDECARS];
  pfl_engine_t engines[PFL_SIDECARS];
  hcl_t *http_client;
  cnt_set_t *counters;
  GHashTable *claims;
  bool log_down;
  bool hold_claims;
  message_claim_t held_claim;
  pfl_daemon_t *held_claim_node;
  uint32_t crash_mark_count;
};

/**
 * struct pfl_request - a caller's request; headers whose field is NULL are left out
 * @body: NULL for a GET, else a POST
 * @api_key: of the client account; PFL_KEY when NULL
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
} pfl_request_t;

/**
 * struct pfl_answer - what the caller gets
 * @done: the exchange has ended, as told by @end
 * @stop_reading: set by the test: read no more once a part of the body has come
 * @call: the exchange under way, NULL once it has ended
 */
typedef struct
{
  bool done;
  bool stop_reading;
  hcl_end_t end;
  int status;
  char verdict[32];
  char engine[LIM_NAME_BYTES];
  char request_id[40];
  char retry_after[16];
  GString *body;
  hcl_call_t *call;
} pfl_answer_t;

/**
 * pfl_address() - a loopback address that only this process uses
 * @last: last byte of the address; hosts have 1 to 4, engines 100 to 102
 */
set_address_t pfl_address (uint32_t last);
/** pfl_new() - starts all daemons and engines, and waits until the router serves requests */
pfl_t *pfl_new (void);
void pfl_free (pfl_t *testbed);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (pfl_t, pfl_free)
/** pfl_until() - runs the event loop until @done returns true. Return: false after ten seconds */
bool pfl_until (pfl_t *testbed, bool (*done) (void *context), void *context);
/** pfl_send() - sends a request to the router without waiting; @answer is filled as it arrives */
void pfl_send (pfl_t *testbed, const pfl_request_t *request, pfl_answer_t *answer);
/** pfl_ask() - sends a request and waits for the end; call pfl_answer_clear() afterwards */
void pfl_ask (pfl_t *testbed, const pfl_request_t *request, pfl_answer_t *answer);
/** pfl_ask_engine() - sends a request and waits. Return: index of the engine that answered */
uint32_t pfl_ask_engine (pfl_t *testbed, const pfl_request_t *request);
/** pfl_answer_clear() - cancels the exchange if it is under way, and frees the body */
void pfl_answer_clear (pfl_answer_t *answer);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (pfl_answer_t, pfl_answer_clear)
/** pfl_done() - condition for pfl_until(): the pfl_answer_t in @context is done */
bool pfl_done (void *context);
/** pfl_flag() - sends a message_flag_t to a daemon's data task, as its control task would */
void pfl_flag (pfl_daemon_t *node, message_kind_t kind, bool on);
/** pfl_engine_named() - index of the engine that the answer's header names */
uint32_t pfl_engine_named (const pfl_answer_t *answer);
/** pfl_set_state() - changes the state of a host, and sends the members to all daemons */
void pfl_set_state (pfl_t *testbed, uint32_t host, membership_state_t state);
/** pfl_runs() - requests that the engines received in total */
uint32_t pfl_runs (const pfl_t *testbed);
/** pfl_set_all() - sets the mode of all engines */
void pfl_set_all (pfl_t *testbed, pfl_mode_t mode);
/** pfl_release() - answers all requests that an engine holds */
void pfl_release (pfl_engine_t *engine);
/** pfl_judge() - decides the claim that is held, and holds no further ones */
void pfl_judge (pfl_t *testbed);
/** pfl_set_man() - puts another version in force at all daemons; takes over the reference */
void pfl_set_man (pfl_t *testbed, man_t *manifest);
/**
 * pfl_black_hole() - opens a socket that accepts connections and never answers, like that of a
 * frozen process
 *
 * Return: the socket, for the caller to close; @address is set
 */
evutil_socket_t pfl_black_hole (set_address_t *address);
/** pfl_crash() - closes an engine's listener and all its connections */
void pfl_crash (pfl_engine_t *engine);
/** pfl_start_engine() - starts an engine, also again after a crash */
void pfl_start_engine (pfl_engine_t *engine);

#endif
