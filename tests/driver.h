/**
 * DOC: driver
 *
 * Test driver for sessions: runs a fleet of real processes (stand-in platform, engines, sidecars,
 * routers, gateways) over loopback, sends requests as callers do, injects faults, and compares the
 * transcript of the session with a golden file. Each process listens on an IP address of its own,
 * derived from the process id of the test, so that test programs can run in parallel.
 *
 * There are no fixed sleeps for expected events: each wait runs the event loop until a condition
 * holds or a deadline passes. After the first failure the session is marked as failed, further
 * waits return at once, and drv_finish() stops all processes.
 */
#ifndef TESTS_DRIVER_H
#define TESTS_DRIVER_H

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * DRV_PORT - Port of the HTTP listener and of the exchange of every process, which differ in their
 * IP addresses; gateways use the three ports after it as well.
 */
#define DRV_PORT 8080
/** DRV_WAIT_MS - Default deadline of a wait; a condition normally holds long before. */
#define DRV_WAIT_MS 15000
/** DRV_HOSTS - Capacity of the arrays of hosts and of routers. */
#define DRV_HOSTS 32
#define DRV_FLEET_KEY "fleet-key-of-the-sessions"

typedef struct drv drv_t;
typedef struct drv_call drv_call_t;
typedef struct drv_forward drv_forward_t;

/** enum drv_role_t - The program that a process runs. */
typedef enum
{
  DRV_PLATFORM,
  DRV_ENGINE,
  DRV_SIDECAR,
  DRV_ROUTER,
  DRV_TOOL, /* medlarplankctl */
  DRV_UPSTREAM,
  DRV_GATEWAY
} drv_role_t;

/**
 * struct drv_process - A child process.
 * @ip: Loopback address that it listens on, in dotted notation.
 * @log_path: File that receives its standard output and standard error.
 * @record_path: File in which an engine or upstream records its runs, else NULL.
 * @pid: 0 while the process is not running.
 * @status: Wait status of the last exit, from waitpid().
 * @is_paused: Whether it is stopped by SIGSTOP.
 * @max_runs: Upper limit of the runs that its record may hold, set by drv_left(); -1 is no limit.
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
  bool is_paused;
  int64_t max_runs;
} drv_process_t;

/**
 * struct drv_host - An engine with its sidecar and the proxies around them.
 * @hop: Proxy between routers and sidecar, or NULL.
 * @upstream: Proxy between sidecar and engine, or NULL.
 * @log: Proxy between sidecar and platform, or NULL.
 * @state: State of the host in the platform's host list; NULL leaves it out of the list.
 * @is_plain: Whether it belongs to the plain service claims-portal instead of the model service
 * medlar-pool.
 */
typedef struct
{
  drv_process_t *engine;
  drv_process_t *sidecar;
  drv_forward_t *hop;
  drv_forward_t *upstream;
  drv_forward_t *log;
  const char *state;
  bool is_plain;
} drv_host_t;

/**
 * struct drv_fleet - The processes that drv_start() starts, and their flags.
 * @model_hosts: Number of hosts of the model service medlar-pool.
 * @plain_hosts: Number of hosts of the plain service claims-portal.
 * @routers: Number of routers.
 * @engine_flags: Additional flags of all engines, separated by blanks, or NULL.
 * @platform_flags: Likewise, of the stand-in platform.
 * @daemon_flags: Likewise, of all sidecars and routers.
 * @use_proxies: Put a proxy in front of each sidecar, of each engine, and between each sidecar and
 * the platform.
 * @manifest: Not evaluated.
 */
typedef struct
{
  uint32_t model_hosts;
  uint32_t plain_hosts;
  uint32_t routers;
  const char *engine_flags;
  const char *platform_flags;
  const char *daemon_flags;
  bool use_proxies;
  const char *manifest;
} drv_fleet_t;

/**
 * struct drv - A session: the fleet, the calls made so far, and the transcript.
 * @name: Name of the golden file without its suffix.
 * @dir: Temporary directory for logs, records and other files, removed by drv_finish().
 * @network: First three bytes of all IP addresses of the session, as "127.A.B".
 * @next_ip: Last byte of the IP address that was handed out last.
 * @processes: All child processes, as drv_process_t.
 * @calls: All calls, as drv_call_t.
 * @proxies: All proxies, as drv_forward_t.
 * @transcript: Lines of the transcript, as drv_line_t.
 * @run_counts: Number of runs that the engines recorded, by body hash and by request id.
 * @counted_record_bytes: Total size of the record files when @run_counts was computed.
 * @failed: Whether drv_fail() was called.
 */
struct drv
{
  char *name;
  char *dir;
  char *network;
  uint32_t next_ip;
  struct event_base *base;
  GPtrArray *processes;
  GPtrArray *calls;
  GPtrArray *proxies;
  GPtrArray *transcript;
  GHashTable *run_counts;
  uint64_t counted_record_bytes;
  drv_fleet_t fleet;
  drv_process_t *platform;
  drv_host_t hosts[DRV_HOSTS];
  uint32_t host_count;
  drv_process_t *routers[DRV_HOSTS];
  uint32_t router_count;
  bool failed;
};

/** struct drv_test - A test of a session program. */
typedef struct
{
  const char *name;
  void (*run) (void);
} drv_test_t;

/** drv_main() - Run all tests of a program. Return: The exit status, 0 if none failed. */
int drv_main (const char *suite, const drv_test_t *tests, uint32_t count);

/** drv_new() - Create a session whose transcript is compared with tests/golden/@name.txt. */
drv_t *drv_new (const char *name);
/** drv_start_platform() - Start the stand-in platform alone and wait until it answers. */
void drv_start_platform (drv_t *drv);
/** drv_start() - Start a fleet; wait until all daemons are ready with manifest version 1 in force.
 */
void drv_start (drv_t *drv, const drv_fleet_t *fleet);
/**
 * drv_finish() - Stop all processes, check the invariants and the transcript, and free the session.
 *
 * After a failure it prints the end of each log. The files stay if MEDLARPLANK_KEEP is set.
 */
void drv_finish (drv_t *drv);

/** drv_fail() - Print a message and mark the session and the running test as failed. */
void drv_fail (drv_t *drv, const char *format, ...) G_GNUC_PRINTF (2, 3);
/** drv_met_t - Whether the condition that a wait is for holds. */
typedef bool (*drv_met_t) (void *context);
/**
 * drv_until() - Run the event loop until @met returns true.
 * @limit_ms: Time after which the session fails.
 * @what: Names the condition in the failure message.
 * Return: False if the session has failed.
 */
bool drv_until (drv_t *drv, uint32_t limit_ms, const char *what, drv_met_t met, void *context);
/** drv_for() - Run the event loop for @wait_ms, for instance to see that something does not happen.
 */
void drv_for (drv_t *drv, uint32_t wait_ms);

/* Processes */

/** drv_next_ip() - Allocate an unused IP address. Return: Its text, owned by the caller. */
char *drv_next_ip (drv_t *drv);
/** drv_process_new() - Prepare a process; @flags are separated by blanks, or NULL. */
drv_process_t *drv_process_new (drv_t *drv, drv_role_t role, const char *name, const char *flags);
/** drv_process_flag() - Append one command-line argument. */
void drv_process_flag (drv_process_t *process, const char *format, ...) G_GNUC_PRINTF (2, 3);
void drv_process_start (drv_process_t *process);
/** drv_signal() - Send a signal; for SIGSTOP, wait until all threads have stopped. */
void drv_signal (drv_process_t *process, int number);
/** drv_kill() - Send SIGKILL and wait for the exit. */
void drv_kill (drv_process_t *process);
/** drv_ended() - Wait for the exit. Return: The exit status, -1 if a signal ended the process. */
int drv_ended (drv_process_t *process);
/** drv_reap() - Poll for the exit without blocking. Return: Whether the process has ended. */
bool drv_reap (drv_process_t *process);
void drv_process_free (drv_process_t *process);
/** drv_ready() - Wait until the status of a daemon reports that it is ready. */
void drv_ready (drv_process_t *process);
/** drv_logged() - Count the lines of its log that contain both texts; @second may be NULL. */
uint32_t drv_logged (const drv_process_t *process, const char *first, const char *second);

/** drv_tool() - Start medlarplankctl with @flags; drv_ended() returns its exit status. */
drv_process_t *drv_tool (drv_t *drv, const char *flags);
/** drv_file() - Write a file into the temporary directory. Return: Its path, owned by the caller.
 */
char *drv_file (drv_t *drv, const char *name, const char *text);

/* The stand-in platform and the manifest */

/** drv_admin() - Call a process over HTTP; the session fails if the status is not 200. Return: The
 * body as JSON, owned by the caller. */
json_t *
drv_admin (drv_process_t *process, const char *method, const char *target, const char *body);
/** drv_fault() - Inject a fault into the platform, given as JSON for drv_quoted(). */
void drv_fault (drv_t *drv, const char *fault);
/** drv_list() - Send the states of all hosts and routers to the platform's host list. */
void drv_list (drv_t *drv);
/**
 * drv_publish() - Append a publish record to the manifest stream.
 * @id: Identifies the record.
 * @base: Version that the record is based on.
 * @patch: JSON merge patch for drv_quoted(), or NULL for the complete manifest of the session.
 */
void drv_publish (drv_t *drv, const char *id, uint64_t base, const char *patch);
/** drv_in_log() - Wait until a record of the platform's log stream @stream contains @text. */
void drv_in_log (drv_t *drv, const char *stream, const char *text);
/** drv_in_force() - Wait until @version is in force at all running sidecars and routers. */
void drv_in_force (drv_t *drv, uint64_t version);
/** drv_version() - Return: The manifest version in force at a daemon, 0 if it does not answer. */
uint64_t drv_version (drv_process_t *process);
/** drv_quoted() - Parse JSON in which ' stands for the double quote; abort on a syntax error. */
json_t *drv_quoted (const char *text);
/** drv_manifest() - Return: The complete manifest of the session as JSON text. */
char *drv_manifest (const drv_t *drv);

/* Callers */

/** enum drv_kind_t - The four routes of the manifest. */
typedef enum
{
  DRV_CHAT,   /* model service, idempotent */
  DRV_TAG,    /* model service, non-idempotent */
  DRV_LOOKUP, /* plain service, idempotent */
  DRV_BOOKING /* plain service, non-idempotent */
} drv_kind_t;

/**
 * struct driver_request - A request of a caller.
 * @name: Name in the transcript; also part of the body, which makes the body unique.
 * @same_body_as: Name of an earlier request whose body is sent again, or NULL.
 * @router: Index of the router that receives the request.
 * @account: "alpha" or "beta"; NULL is "alpha".
 * @chat: Value of X-Chat-Id, or NULL.
 * @key: Value of Idempotency-Key, or NULL.
 * @text: Text of the request, or NULL for a short one.
 * @authorization: Replaces the Authorization value of the account, or NULL.
 * @tokens: Length of the answer in tokens; 0 is 4.
 * @deadline_ms: Value of X-Deadline-Ms; 0 leaves the deadline to the request class.
 * @stream: Whether the answer is requested as an event stream.
 */
typedef struct
{
  const char *name;
  const char *same_body_as;
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

/**
 * enum drv_end_t - How a call ended, from the view of the caller.
 * @DRV_WAITING: It has not ended yet.
 * @DRV_WHOLE: The response is complete, whatever its status.
 * @DRV_CUT: The connection was closed after the response header, before the end of the body.
 * @DRV_NO_ANSWER: The connection failed or was closed before the end of the response header.
 * @DRV_HUNG_UP: The caller closed the connection.
 */
typedef enum
{
  DRV_WAITING,
  DRV_WHOLE,
  DRV_CUT,
  DRV_NO_ANSWER,
  DRV_HUNG_UP
} drv_end_t;

/**
 * struct drv_call - A request that was sent, and its response.
 * @name: Name in the transcript; NULL for internal calls, which the invariants skip.
 * @sent_body: Body of the request.
 * @status: HTTP status of the response, 0 before its header is complete.
 * @headers: Header fields of the response, names in lower case.
 * @body: Body of the response, decoded if it is chunked.
 * @sent_us: Monotonic time of the request.
 * @head_us: Monotonic time at which the response header was complete.
 * @ended_us: Monotonic time at which the call ended.
 * @remaining_bytes: Bytes that are missing from the body or, if it is chunked, from the current
 * chunk; -1 if the response has no Content-Length.
 * @in_chunk: Whether the parser is within a chunk or before the line break that closes it.
 */
struct drv_call
{
  drv_t *drv;
  char *name;
  char *key;
  char *account;
  char *sent_body;
  uint32_t router;
  drv_kind_t kind;
  bool is_streamed;
  uint32_t tokens;
  drv_end_t outcome;
  int status;
  GHashTable *headers;
  GString *body;
  uint64_t sent_us;
  uint64_t head_us;
  uint64_t ended_us;
  struct bufferevent *bev;
  bool has_head;
  bool chunked;
  int64_t remaining_bytes;
  bool in_chunk;
};

/** drv_ask() - Send a request to a router and return at once. */
drv_call_t *drv_ask (drv_t *drv, const drv_ask_t *request);
/**
 * drv_send() - Send any HTTP request to DRV_PORT of @ip and return at once.
 * @headers: Complete header lines, each ending in CRLF, or NULL.
 * @body: Text, or NULL for an empty body.
 */
drv_call_t *drv_send (drv_t *drv,
                      const char *ip,
                      const char *method,
                      const char *target,
                      const char *headers,
                      const char *body);
/** drv_send_bytes() - Like drv_send(), with a body that may contain any bytes. */
drv_call_t *drv_send_bytes (drv_t *drv,
                            const char *ip,
                            const char *method,
                            const char *target,
                            const char *headers,
                            const char *body,
                            size_t body_bytes);
void drv_call_free (drv_call_t *call);
/** drv_answered() - Wait until the call has ended. */
void drv_answered (drv_call_t *call);
/** drv_all_answered() - Wait until all calls of the session have ended. */
void drv_all_answered (drv_t *drv);
/** drv_begun() - Wait until the first bytes of the response body have arrived or the call has
 * ended.
 */
void drv_begun (drv_call_t *call);
/** drv_hang_up() - Close the caller's connection if the call has not ended. */
void drv_hang_up (drv_call_t *call);
/** drv_header() - Return: A response header field, or NULL; @name is in lower case. */
const char *drv_header (const drv_call_t *call, const char *name);
/** drv_verdict() - Return: The header field X-Medlarplank-Verdict of the response, "" if absent. */
const char *drv_verdict (const drv_call_t *call);
/** drv_reason() - Return: The error code in the response body, "" if absent, owned by the caller.
 */
char *drv_reason (const drv_call_t *call);
/** drv_explain() - Print the response to the request @id to standard output, for debugging. */
void drv_explain (const drv_call_t *call, const char *id);
/** drv_own_answer() - Return: Whether the response is complete, has status 200 and answers this
 * request. */
bool drv_own_answer (const drv_call_t *call);

/* Proxies that inject connection faults */

/**
 * enum drv_mode_t - What a proxy does to a request or to its response.
 * @DRV_PASS: Pass both on.
 * @DRV_CLOSED: Do not listen.
 * @DRV_CUT_DURING: Close the connection after passing on a part of the request.
 * @DRV_CUT_AFTER: Pass the request on, and close the connection when its response arrives.
 * @DRV_CUT_ANSWER: Close the connection after passing on a part of the response.
 * @DRV_HOLD: Hold back the response, or the end of its connection, until the mode changes.
 */
typedef enum
{
  DRV_PASS,
  DRV_CLOSED,
  DRV_CUT_DURING,
  DRV_CUT_AFTER,
  DRV_CUT_ANSWER,
  DRV_HOLD
} drv_mode_t;

/** drv_forward_new() - Listen on a new IP address and forward its connections to @target_ip. */
drv_forward_t *drv_forward_new (drv_t *drv, const char *target_ip);
void drv_forward_free (drv_forward_t *proxy);
const char *drv_forward_ip (const drv_forward_t *proxy);
/**
 * drv_forward_set() - Set the mode of further requests and release held responses.
 * @match: Apply the mode only to requests whose first bytes contain it; NULL is all.
 * @count: Number of requests to apply the mode to before DRV_PASS is restored; 0 is all.
 */
void drv_forward_set (drv_forward_t *proxy, drv_mode_t mode, const char *match, uint32_t count);
/** drv_forward_cut() - Close all open connections. */
void drv_forward_cut (drv_forward_t *proxy);
/** drv_forward_hits() - Return: The number of requests that a mode other than DRV_PASS was applied
 * to. */
uint32_t drv_forward_hits (const drv_forward_t *proxy);

/* Transcript, engine records and invariants */

/** struct drv_line - A line of the transcript; the outcome of @call is appended at the end of the
 * session, unless @call is NULL. */
typedef struct
{
  char *text;
  const drv_call_t *call;
} drv_line_t;

/** drv_say() - Add a line of text to the transcript. */
void drv_say (drv_t *drv, const char *format, ...) G_GNUC_PRINTF (2, 3);
/**
 * drv_tell() - Add a line with the result of a call and the number of times its body ran.
 *
 * The line is formatted at the end of the session, when no further run can begin.
 */
void drv_tell (drv_call_t *call);
/** drv_runs() - Return: How many times the body of @call began to run, over all engines. */
uint32_t drv_runs (const drv_call_t *call);
/** drv_request_ran() - Return: Whether any attempt of the request id @request began on an engine.
 */
bool drv_request_ran (drv_t *drv, const char *request);
/** drv_check_promises() - Check the invariants of every session over its calls, engine records and
 * logs. */
void drv_check_promises (drv_t *drv);
/** drv_compare() - Compare the transcript with the golden file. */
void drv_compare (drv_t *drv);
/** drv_begun_on() - Return: The entries with state "begun" of an engine's record, as a new array.
 */
json_t *drv_begun_on (const drv_process_t *engine);
/** drv_runs_on() - Return: How many runs began on an engine. */
uint32_t drv_runs_on (const drv_process_t *engine);
/** drv_left() - Let drv_finish() fail if any run begins on the host's engine after this call. */
void drv_left (drv_host_t *host);

#endif
