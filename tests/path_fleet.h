/**
 * DOC: path_fleet
 *
 * A router, sidecars and fake engines on one event loop, for tests of a request's whole path. The
 * control tasks are played by the test: it says what version and members are known and grants
 * claims by a table in memory.
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

#define PFL_PART_BYTES 65536
#define PFL_LONG_BYTES (64 * PFL_PART_BYTES)

/** enum pfl_mode - what a fake engine does with a request */
typedef enum
{
  PFL_ANSWER,
  PFL_HANG,     /* holds it until pfl_release() */
  PFL_CUT,      /* closes the connection without an answer */
  PFL_CUT_LATE, /* closes it in the middle of a stream */
  PFL_LONG,     /* streams PFL_LONG_BYTES as fast as they are taken */
  PFL_CROSSED,  /* answers under another request's id */
  PFL_CRASH     /* its listener goes, with all connections */
} pfl_mode_t;

typedef struct pfl pfl_t;

/** struct pfl_daemon - a daemon whose control task is played here */
typedef struct
{
  pfl_t *fleet;
  dmn_t dmn;
  rtr_t *rtr;
  sdc_t *sdc;
  bool drained;
} pfl_daemon_t;

/** struct pfl_engine - @run_count: requests that reached it */
typedef struct
{
  pfl_t *fleet;
  set_address_t address;
  hsv_t *hsv;
  pfl_mode_t mode;
  GPtrArray *held; /* hsv_call_t that hang */
  uint32_t run_count;
  uint32_t gone_count;
  bool saw_secret; /* a header reached it that must not */
  struct event *crash;
  struct event *cutter;
  hsv_call_t *cut;
  hsv_call_t *streamed;
  uint32_t streamed_bytes;
} pfl_engine_t;

struct pfl
{
  struct event_base *base;
  man_t *man;
  mem_snapshot_t members;
  mem_host_t hosts[PFL_SIDECARS + 1];
  pfl_daemon_t router;
  pfl_daemon_t sidecars[PFL_SIDECARS];
  pfl_engine_t engines[PFL_SIDECARS];
  hcl_t *hcl;
  cnt_set_t *counters; /* of the fakes */
  GHashTable *claims;  /* key hash -> state of the claim */
  bool log_down;
  bool log_slow; /* claims are held until pfl_judge() */
  msg_claim_t held_claim;
  pfl_daemon_t *held_by; /* whose claim is held, or NULL */
  uint32_t marks;
};

/** struct pfl_request - what a caller sends; NULL fields are left out */
typedef struct
{
  const char *path;
  const char *body;
  const char *key; /* of the account; PFL_KEY when NULL */
  const char *chat;
  const char *klass;
  const char *idempotency_key;
  const char *deadline_ms;
} pfl_request_t;

/** struct pfl_answer - what the caller sees; @done when it ended */
typedef struct
{
  bool done;
  bool stop_reading; /* once something of the body has come */
  hcl_end_t end;
  int status;
  char verdict[32];
  char engine[LIM_NAME_BYTES];
  char request[40];
  char retry_after[16];
  GString *body;
  hcl_call_t *call;
} pfl_answer_t;

/** pfl_address() - a loopback address of this process; hosts have 1 to 4, engines 100 to 102 */
set_address_t pfl_address (uint32_t last);
pfl_t *pfl_new (void);
void pfl_free (pfl_t *fleet);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (pfl_t, pfl_free)
/** pfl_until() - turn the loop until @done says so. Return: false after ten seconds */
bool pfl_until (pfl_t *fleet, bool (*done) (void *context), void *context);
void pfl_send (pfl_t *fleet, const pfl_request_t *request, pfl_answer_t *answer);
/** pfl_ask() - send and wait for the end; pfl_answer_clear() afterwards */
void pfl_ask (pfl_t *fleet, const pfl_request_t *request, pfl_answer_t *answer);
/** pfl_ask_engine() - send and wait. Return: index of the engine that the answer names */
uint32_t pfl_ask_engine (pfl_t *fleet, const pfl_request_t *request);
void pfl_answer_clear (pfl_answer_t *answer);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (pfl_answer_t, pfl_answer_clear)
/** pfl_done() - condition of pfl_until(): the answer in @context has ended */
bool pfl_done (void *context);
/** pfl_flag() - a message of a daemon's control task */
void pfl_flag (pfl_daemon_t *daemon, msg_kind_t kind, bool on);
/** pfl_engine_named() - index of the engine, from the header of an answer */
uint32_t pfl_engine_named (const pfl_answer_t *answer);
/** pfl_set_state() - of a sidecar's host, told to all */
void pfl_set_state (pfl_t *fleet, uint32_t host, mem_state_t state);
uint32_t pfl_runs (const pfl_t *fleet);
/** pfl_set_all() - the mode of all engines */
void pfl_set_all (pfl_t *fleet, pfl_mode_t mode);
/** pfl_release() - answer what hangs at an engine */
void pfl_release (pfl_engine_t *engine);
/** pfl_judge() - answer the claim that is held, and hold none any more */
void pfl_judge (pfl_t *fleet);
/** pfl_set_man() - another version is in force, told to all; takes the reference */
void pfl_set_man (pfl_t *fleet, man_t *man);
/** pfl_black_hole() - a socket whose connections nobody serves, as of a frozen process */
evutil_socket_t pfl_black_hole (set_address_t *address);
/** pfl_crash() - an engine, with all that hangs there */
void pfl_crash (pfl_engine_t *engine);
/** pfl_start_engine() - again after a crash */
void pfl_start_engine (pfl_engine_t *engine);

#endif
