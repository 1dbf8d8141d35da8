/**
 * DOC: driver
 *
 * Drives a whole fleet of real processes over loopback: the stand-in platform, engines, sidecars
 * and routers, each on an IP of its own derived from the test's process id. Sessions send requests
 * as callers do, bring about faults, and end in a transcript that is compared with a golden file.
 *
 * Nothing sleeps: all waiting is for a condition with a deadline, while the event loop runs. When
 * something fails, the session fails, later waits return at once, and drv_finish() cleans up.
 */
#ifndef TESTS_DRIVER_H
#define TESTS_DRIVER_H

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define DRV_PORT 8080
#define DRV_WAIT_MS 15000 /* the deadline of a wait that should be over at once */
#define DRV_HOSTS 32
#define DRV_FLEET_KEY "fleet-key-of-the-sessions"

typedef struct drv drv_t;
typedef struct drv_call drv_call_t;
typedef struct drv_forward drv_forward_t;

typedef enum
{
  DRV_PLATFORM,
  DRV_ENGINE,
  DRV_SIDECAR,
  DRV_ROUTER,
  DRV_TOOL,
  DRV_UPSTREAM,
  DRV_GATEWAY
} drv_role_t;

/**
 * struct drv_process - one program
 * @pid: 0 while it does not run
 * @status: of waitpid(), once it ended
 * @paused: by SIGSTOP
 * @leaving_runs: what had begun on an engine when its grace after leaving was over; -1 is unknown
 */
typedef struct
{
  drv_t *drv;
  drv_role_t role;
  char *name;
  char *ip;
  char *log_path;
  char *record_path;
  GPtrArray *argv;
  pid_t pid;
  int status;
  bool paused;
  int64_t leaving_runs;
} drv_process_t;

/** struct drv_host - an upstream: its engine, its sidecar and the hop towards it */
typedef struct
{
  drv_process_t *engine;
  drv_process_t *sidecar;
  drv_forward_t *hop;      /* between routers and sidecar, or NULL */
  drv_forward_t *upstream; /* between sidecar and engine, or NULL */
  drv_forward_t *log;      /* between sidecar and platform, or NULL */
  const char *state;       /* in the platform's list; NULL is not listed */
  bool plain;
} drv_host_t;

/**
 * struct drv_fleet - what drv_start() starts
 * @models, @plains: engines of the services medlar-pool and claims-portal
 * @engine_flags, @daemon_flags: more flags, separated by blanks, or NULL
 * @forwards: put forwarders into the hops, before the engines and before the sidecars' log
 * @manifest: JSON merge patch on the sessions' manifest, or NULL
 */
typedef struct
{
  uint32_t models;
  uint32_t plains;
  uint32_t routers;
  const char *engine_flags;
  const char *platform_flags;
  const char *daemon_flags;
  bool forwards;
  const char *manifest;
} drv_fleet_t;

struct drv
{
  char *name;
  char *dir;
  char *net; /* "127.A.B" */
  uint32_t next_ip;
  struct event_base *base;
  GPtrArray *processes; /* drv_process_t */
  GPtrArray *calls;     /* drv_call_t */
  GPtrArray *forwards;  /* drv_forward_t */
  GPtrArray *lines;     /* of the transcript: drv_line_t */
  GHashTable *runs;     /* what the records tell: hash of the body, or id -> how often it began */
  uint64_t runs_bytes;  /* of the records that @runs was made from */
  drv_fleet_t fleet;
  drv_process_t *platform;
  drv_host_t hosts[DRV_HOSTS];
  uint32_t host_count;
  drv_process_t *routers[DRV_HOSTS];
  uint32_t router_count;
  bool failed;
};

/** struct drv_test - a session of a program */
typedef struct
{
  const char *name;
  void (*run) (void);
} drv_test_t;

/** drv_main() - run all sessions of a program. Return: its exit status */
int drv_main (const char *suite, const drv_test_t *tests, uint32_t count);

/** drv_new() - @name is that of the golden file */
drv_t *drv_new (const char *name);
/** drv_start_platform() - the stand-in platform alone */
void drv_start_platform (drv_t *drv);
/** drv_start() - the fleet, with version 1 of its manifest in force and all daemons ready */
void drv_start (drv_t *drv, const drv_fleet_t *fleet);
/** drv_finish() - stops all, checks what must always hold and the golden file, frees all */
void drv_finish (drv_t *drv);

void drv_fail (drv_t *drv, const char *format, ...) G_GNUC_PRINTF (2, 3);
typedef bool (*drv_met_t) (void *context);
/** drv_until() - run the event loop until @met; @what is for the message when it is not */
bool drv_until (drv_t *drv, uint32_t limit_ms, const char *what, drv_met_t met, void *context);
/** drv_for() - run the event loop for that long, for what must not happen meanwhile */
void drv_for (drv_t *drv, uint32_t wait_ms);

/* processes */
char *drv_next_ip (drv_t *drv);
drv_process_t *drv_process_new (drv_t *drv, drv_role_t role, const char *name, const char *flags);
void drv_process_flag (drv_process_t *process, const char *format, ...) G_GNUC_PRINTF (2, 3);
void drv_process_start (drv_process_t *process);
void drv_signal (drv_process_t *process, int number);
/** drv_kill() - kill -9, and wait for the end */
void drv_kill (drv_process_t *process);
/** drv_ended() - wait for its end. Return: exit status, -1 when a signal ended it */
int drv_ended (drv_process_t *process);
bool drv_reap (drv_process_t *process);
void drv_process_free (drv_process_t *process);
/** drv_ready() - wait until the daemon says that it is ready */
void drv_ready (drv_process_t *process);
/** drv_logged() - how many lines of its log hold both texts; @second may be NULL */
uint32_t drv_logged (const drv_process_t *process, const char *first, const char *second);

/** drv_tool() - start medlarplankctl; wait for its status by drv_ended() */
drv_process_t *drv_tool (drv_t *drv, const char *flags);
/** drv_file() - a file of that name in the session's directory, removed at the end. Return: path */
char *drv_file (drv_t *drv, const char *name, const char *text);

/* the platform */
/** drv_admin() - a call to a stand-in; it must be answered 200. Return: the body */
json_t *
drv_admin (drv_process_t *process, const char *method, const char *target, const char *body);
/** drv_fault() - a fault of the platform, as JSON in which ' stands for the double quote */
void drv_fault (drv_t *drv, const char *fault);
/** drv_list() - tell the platform's list the state of all hosts */
void drv_list (drv_t *drv);
/** drv_publish() - append a publish record to the log; @patch as in drv_fault() */
void drv_publish (drv_t *drv, const char *id, uint64_t base, const char *patch);
/** drv_in_log() - wait until a record of the stream contains @text */
void drv_in_log (drv_t *drv, const char *stream, const char *text);
/** drv_in_force() - wait until all daemons that run have the version in force */
void drv_in_force (drv_t *drv, uint64_t version);
/** drv_version() - the version in force at one daemon, 0 when it doesn't say */
uint64_t drv_version (drv_process_t *process);
json_t *drv_quoted (const char *text);
char *drv_manifest (const drv_t *drv);

/* callers */
typedef enum
{
  DRV_CHAT,   /* model, idempotent */
  DRV_TAG,    /* model, non-idempotent */
  DRV_LOOKUP, /* plain, idempotent */
  DRV_BOOKING /* plain, non-idempotent */
} drv_kind_t;

/**
 * struct drv_ask - one request of a caller
 * @name: in the transcript, and in the body, which so is like no other
 * @same_as: the body of the request of that name, for resends; or NULL
 * @account: "alpha" or "beta"; NULL is alpha
 * @key: Idempotency-Key or NULL
 * @text: what the chat says; NULL for a short text
 * @authorization: in place of the account's
 * @deadline_ms: 0 is that of the class
 */
typedef struct
{
  const char *name;
  const char *same_as;
  drv_kind_t kind;
  uint32_t router;
  const char *account;
  const char *chat;
  const char *key;
  const char *text;
  const char *authorization;
  uint32_t tokens;
  uint32_t deadline_ms;
  bool stream;
} drv_ask_t;

typedef enum
{
  DRV_WAITING,
  DRV_WHOLE,
  DRV_CUT,       /* an answer that is not whole */
  DRV_NO_ANSWER, /* the connection ended before a head */
  DRV_HUNG_UP    /* by the caller */
} drv_end_t;

struct drv_call
{
  drv_t *drv;
  char *name;
  char *key;
  char *account;
  char *sent_body;
  uint32_t router;
  drv_kind_t kind;
  bool streamed;
  uint32_t tokens;
  drv_end_t end;
  int status;
  GHashTable *headers; /* names in lower case */
  GString *body;
  uint64_t sent_us;
  uint64_t head_us; /* when the head of the answer came */
  uint64_t ended_us;
  /* of the parser */
  struct bufferevent *bev;
  bool has_head;
  bool chunked;
  int64_t left; /* of the body or the chunk; -1: not declared */
  bool in_chunk;
};

drv_call_t *drv_ask (drv_t *drv, const drv_ask_t *ask);
/** drv_send() - any request; @headers are whole lines, each with CRLF */
drv_call_t *drv_send (drv_t *drv,
                      const char *ip,
                      const char *method,
                      const char *target,
                      const char *headers,
                      const char *body);
/** drv_send_bytes() - as drv_send(), with a body of any bytes */
drv_call_t *drv_send_bytes (drv_t *drv,
                            const char *ip,
                            const char *method,
                            const char *target,
                            const char *headers,
                            const char *body,
                            size_t body_bytes);
void drv_call_free (drv_call_t *call);
/** drv_answered() - wait until the call ended */
void drv_answered (drv_call_t *call);
void drv_all_answered (drv_t *drv);
/** drv_begun() - wait until some of the body's answer came */
void drv_begun (drv_call_t *call);
void drv_hang_up (drv_call_t *call);
const char *drv_header (const drv_call_t *call, const char *name);
/** drv_verdict() - of the answer, "" when it tells none */
const char *drv_verdict (const drv_call_t *call);
/** drv_reason() - the code of the error, "" when it is none */
char *drv_reason (const drv_call_t *call);
/** drv_explain() - print what the call of request @id was answered, for the one who traces a
 * failure
 */
void drv_explain (const drv_call_t *call, const char *id);
/** drv_own_answer() - whether it is the whole answer to this request */
bool drv_own_answer (const drv_call_t *call);

/* a hop that can be cut */
typedef enum
{
  DRV_PASS,
  DRV_CLOSED,     /* nobody listens */
  DRV_CUT_DURING, /* after a part of the request has been passed on */
  DRV_CUT_AFTER,  /* the request is passed on, and nothing of the answer */
  DRV_CUT_ANSWER, /* in the midst of the answer */
  DRV_HOLD        /* the answer, or its cut, is held until the mode changes */
} drv_mode_t;

drv_forward_t *drv_forward_new (drv_t *drv, const char *target_ip);
void drv_forward_free (drv_forward_t *forward);
const char *drv_forward_ip (const drv_forward_t *forward);
/**
 * drv_forward_set() - what happens to requests from now on
 * @match: only to requests whose first bytes contain it; NULL is all
 * @count: to that many, then they pass again; 0 is all
 */
void drv_forward_set (drv_forward_t *forward, drv_mode_t mode, const char *match, uint32_t count);
/** drv_forward_cut() - cut all connections that are open now */
void drv_forward_cut (drv_forward_t *forward);
/** drv_forward_hits() - requests that a mode other than DRV_PASS was applied to */
uint32_t drv_forward_hits (const drv_forward_t *forward);

/* the transcript */
/** struct drv_line - text, and the call whose outcome is added at the end, or NULL */
typedef struct
{
  char *text;
  const drv_call_t *call;
} drv_line_t;

/** drv_say() - a line */
void drv_say (drv_t *drv, const char *format, ...) G_GNUC_PRINTF (2, 3);
/** drv_tell() - what the caller got and on how many engines its body began to run; the line is
 * made at the end, when that is known */
void drv_tell (drv_call_t *call);
/** drv_runs() - how often the body of @call has begun to run on all engines */
uint32_t drv_runs (const drv_call_t *call);
/** drv_request_ran() - whether an attempt of the request of this id began on an engine */
bool drv_request_ran (drv_t *drv, const char *request);
/** drv_check_promises() - what must hold after any session, over calls, records and logs */
void drv_check_promises (drv_t *drv);
/** drv_compare() - the transcript with the golden file */
void drv_compare (drv_t *drv);
/** drv_begun_on() - the lines of an engine's record that tell of a beginning, a new array */
json_t *drv_begun_on (const drv_process_t *engine);
/** drv_runs_on() - all that has begun on one engine */
uint32_t drv_runs_on (const drv_process_t *engine);
/** drv_left() - from now on nothing new may begin on that host's engine */
void drv_left (drv_host_t *host);

#endif
