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
 * waits return at once, and driver_finish() stops all processes.
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
 * DRIVER_PORT - Port of the HTTP listener and of the exchange of every process, which differ in
 * their IP addresses; gateways use the three ports after it as well.
 */
#define DRIVER_PORT 8080
/** DRIVER_WAIT_LIMIT_MS - Default deadline of a wait; a condition normally holds long before. */
#define DRIVER_WAIT_LIMIT_MS 15000
/** DRIVER_MAX_HOSTS - Capacity of the arrays of hosts and of routers. */
#define DRIVER_MAX_HOSTS 32
#define DRIVER_FLEET_KEY "fleet-key-of-the-sessions"

typedef struct driver driver_t;
typedef struct driver_call driver_call_t;
typedef struct driver_proxy driver_proxy_t;

/** enum driver_role_t - The program that a process runs. */
typedef enum
{
  DRIVER_PLATFORM,
  DRIVER_ENGINE,
  DRIVER_SIDECAR,
  DRIVER_ROUTER,
  DRIVER_CTL, /* medlarplankctl */
  DRIVER_UPSTREAM,
  DRIVER_GATEWAY
} driver_role_t;

/**
 * struct driver_process - A child process.
 * @ip: Loopback address that it listens on, in dotted notation.
 * @log_path: File that receives its standard output and standard error.
 * @record_path: File in which an engine or upstream records its runs, else NULL.
 * @pid: 0 while the process is not running.
 * @status: Wait status of the last exit, from waitpid().
 * @is_paused: Whether it is stopped by SIGSTOP.
 * @max_runs: Upper limit of the runs that its record may hold, set by
 *   driver_host_forbid_new_runs(); -1 is no limit.
 */
typedef struct
{
  driver_t *driver;
  driver_role_t role;
  char *name;
  char *ip;
  char *log_path;
  char *record_path;
  GPtrArray *argv;
  pid_t pid;
  int status;
  bool is_paused;
  int64_t max_runs;
} driver_process_t;

/**
 * struct driver_host - An engine with its sidecar and the proxies around them.
 * @hop: Proxy between routers and sidecar, or NULL.
 * @upstream: Proxy between sidecar and engine, or NULL.
 * @log: Proxy between sidecar and platform, or NULL.
 * @state: State of the host in the platform's host list; NULL leaves it out of the list.
 * @is_plain: Whether it belongs to the plain service claims-portal instead of the model service
 *   medlar-pool.
 */
typedef struct
{
  driver_process_t *engine;
  driver_process_t *sidecar;
  driver_proxy_t *hop;
  driver_proxy_t *upstream;
  driver_proxy_t *log;
  const char *state;
  bool is_plain;
} driver_host_t;

/**
 * struct driver_fleet - The processes that driver_start() starts, and their flags.
 * @model_hosts: Number of hosts of the model service medlar-pool.
 * @plain_hosts: Number of hosts of the plain service claims-portal.
 * @routers: Number of routers.
 * @engine_flags: Additional flags of all engines, separated by blanks, or NULL.
 * @platform_flags: Likewise, of the stand-in platform.
 * @daemon_flags: Likewise, of all sidecars and routers.
 * @use_proxies: Put a proxy in front of each sidecar, of each engine, and between each sidecar and
 *   the platform.
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
} driver_fleet_t;

/**
 * struct driver - A session: the fleet, the calls made so far, and the transcript.
 * @name: Name of the golden file without its suffix.
 * @dir: Temporary directory for logs, records and other files, removed by driver_finish().
 * @network: First three bytes of all IP addresses of the session, as "127.A.B".
 * @next_ip: Last byte of the IP address that was handed out last.
 * @processes: All child processes, as driver_process_t.
 * @calls: All calls, as driver_call_t.
 * @proxies: All proxies, as driver_proxy_t.
 * @transcript: Lines of the transcript, as driver_transcript_line_t.
 * @run_counts: Number of runs that the engines recorded, by body hash and by request id.
 * @counted_record_bytes: Total size of the record files when @run_counts was computed.
 * @failed: Whether driver_fail() was called.
 * @first_failure: Its first message, printed once more after the logs; NULL for none.
 */
struct driver
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
  driver_fleet_t fleet;
  driver_process_t *platform;
  driver_host_t hosts[DRIVER_MAX_HOSTS];
  uint32_t host_count;
  driver_process_t *routers[DRIVER_MAX_HOSTS];
  uint32_t router_count;
  bool failed;
  char *first_failure;
};

/** struct driver_test - A test of a session program. */
typedef struct
{
  const char *name;
  void (*run) (void);
} driver_test_t;

/** driver_main() - Run all tests of a program. Return: The exit status, 0 if none failed. */
int driver_main (const char *suite, const driver_test_t *tests, uint32_t count);

/** driver_new() - Create a session whose transcript is compared with tests/golden/@name.txt. */
driver_t *driver_new (const char *name);
/** driver_start_platform() - Start the stand-in platform alone and wait until it answers. */
void driver_start_platform (driver_t *driver);
/** driver_start() - Start a fleet; wait until all daemons are ready with manifest version 1 in
 * force.
 */
void driver_start (driver_t *driver, const driver_fleet_t *fleet);
/**
 * driver_finish() - Stop all processes, check the invariants and the transcript, and free the
 * session.
 *
 * After a failure it prints the end of each log. The files stay if MEDLARPLANK_KEEP is set.
 */
void driver_finish (driver_t *driver);

/** driver_fail() - Print a message and mark the session and the running test as failed. */
void driver_fail (driver_t *driver, const char *format, ...) G_GNUC_PRINTF (2, 3);
/** driver_condition_t - Whether the condition that a wait is for holds. */
typedef bool (*driver_condition_t) (void *context);
/**
 * driver_wait_until() - Run the event loop until @met returns true.
 * @limit_ms: Time after which the session fails.
 * @what: Names the condition in the failure message.
 * Return: False if the session has failed.
 */
bool driver_wait_until (
    driver_t *driver, uint32_t limit_ms, const char *what, driver_condition_t met, void *context);
/** driver_run_loop() - Run the event loop for @wait_ms, for instance to see that something does not
 * happen.
 */
void driver_run_loop (driver_t *driver, uint32_t wait_ms);

/* Processes */

/** driver_next_ip() - Allocate an unused IP address. Return: Its text, owned by the caller. */
char *driver_next_ip (driver_t *driver);
/** driver_process_new() - Prepare a process; @flags are separated by blanks, or NULL. */
driver_process_t *
driver_process_new (driver_t *driver, driver_role_t role, const char *name, const char *flags);
/** driver_process_add_flag() - Append one command-line argument. */
void driver_process_add_flag (driver_process_t *process, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
void driver_process_start (driver_process_t *process);
/** driver_process_signal() - Send a signal; for SIGSTOP, wait until all threads have stopped. */
void driver_process_signal (driver_process_t *process, int number);
/** driver_process_kill() - Send SIGKILL and wait for the exit. */
void driver_process_kill (driver_process_t *process);
/** driver_process_wait_exit() - Wait for the exit. Return: The exit status, -1 if a signal ended
 * the process. */
int driver_process_wait_exit (driver_process_t *process);
/** driver_process_reap() - Poll for the exit without blocking. Return: Whether the process has
 * ended. */
bool driver_process_reap (driver_process_t *process);
void driver_process_free (driver_process_t *process);
/** driver_process_wait_ready() - Wait until the status of a daemon reports that it is ready. */
void driver_process_wait_ready (driver_process_t *process);
/** driver_process_count_log_lines() - Count the lines of its log that contain both texts; @second
 * may be NULL. */
uint32_t driver_process_count_log_lines (const driver_process_t *process,
                                         const char *first,
                                         const char *second);

/** driver_start_ctl() - Start medlarplankctl with @flags; driver_process_wait_exit() returns its
 * exit status. */
driver_process_t *driver_start_ctl (driver_t *driver, const char *flags);
/** driver_write_file() - Write a file into the temporary directory. Return: Its path, owned by the
 * caller.
 */
char *driver_write_file (driver_t *driver, const char *name, const char *text);

/* The stand-in platform and the manifest */

/** driver_admin_call() - Call a process over HTTP; the session fails if the status is not 200.
 * Return: The body as JSON, owned by the caller. */
json_t *driver_admin_call (driver_process_t *process,
                           const char *method,
                           const char *target,
                           const char *body);
/** driver_set_fault() - Inject a fault into the platform, given as JSON for driver_parse_json(). */
void driver_set_fault (driver_t *driver, const char *fault);
/** driver_update_host_list() - Send the states of all hosts and routers to the platform's host
 * list. */
void driver_update_host_list (driver_t *driver);
/**
 * driver_publish_manifest() - Append a publish record to the manifest stream.
 * @id: Identifies the record.
 * @base: Version that the record is based on.
 * @patch: JSON merge patch for driver_parse_json(), or NULL for the complete manifest of the
 *   session.
 */
void driver_publish_manifest (driver_t *driver, const char *id, uint64_t base, const char *patch);
/** driver_wait_log_record() - Wait until a record of the platform's log stream @stream contains
 * @text. */
void driver_wait_log_record (driver_t *driver, const char *stream, const char *text);
/** driver_wait_version() - Wait until @version is in force at all running sidecars and routers. */
void driver_wait_version (driver_t *driver, uint64_t version);
/** driver_process_version() - Return: The manifest version in force at a daemon, 0 if it does not
 * answer. */
uint64_t driver_process_version (driver_process_t *process);
/** driver_parse_json() - Parse JSON in which ' stands for the double quote; abort on a syntax
 * error. */
json_t *driver_parse_json (const char *text);
/** driver_build_manifest() - Return: The complete manifest of the session as JSON text. */
char *driver_build_manifest (const driver_t *driver);

/* Gateways and what they use */

/**
 * struct driver_upstream - A stand-in upstream; each has a record of its own.
 * @streams: Whether it answers with streams of five events, in the service "pool", or plainly, in
 *   the service "ledger".
 * @service: Another service than these, or NULL.
 * @crash_on: Text in the path of requests that end it, or NULL.
 * @crash_parts: Parts of the prompts of requests that end it, ending in NULL; NULL for none.
 * @software_version: Version that its entry and its events state, or NULL.
 * @events: Events of a stream; 0 is five.
 * @slots: Requests that it runs at once; 0 is 16.
 * @backlog: Connections that may wait until it accepts them; 0 is the usual number.
 * @drain_ms: How long it serves after it has reported that it leaves; 0 is the usual time.
 * @token_us: Time of a token, of which an event holds eight, in place of @work_ms; 0 for none.
 * @token_us_per_run: More of it for each request that runs.
 */
typedef struct
{
  const char *name;
  const char *service;
  bool streams;
  uint32_t work_ms;
  const char *crash_on;
  const char *const *crash_parts;
  const char *software_version;
  uint32_t events;
  uint32_t slots;
  uint32_t backlog;
  uint32_t drain_ms;
  uint32_t token_us;
  uint32_t token_us_per_run;
} driver_upstream_t;

/** driver_start_upstream() - Start a stand-in upstream that registers in the platform's store. */
driver_process_t *driver_start_upstream (driver_t *driver, const driver_upstream_t *upstream);
/** driver_start_gateway() - Start a gateway. */
driver_process_t *driver_start_gateway (driver_t *driver,
                                        const char *name,
                                        uint32_t exchange_interval_ms,
                                        uint32_t control_budget_bytes);
/** driver_start_gateway_through() - Start a gateway that reaches the platform's store at @store_ip,
 * for instance a proxy. */
driver_process_t *driver_start_gateway_through (driver_t *driver,
                                                const char *name,
                                                const char *store_ip,
                                                uint32_t exchange_interval_ms,
                                                uint32_t control_budget_bytes);
/** driver_write_record() - Write an operator's record to the platform's store; an empty @value
 * removes the key. */
void driver_write_record (driver_t *driver, const char *key, const char *value);

/* Callers */

/** enum driver_request_kind_t - The four routes of the manifest. */
typedef enum
{
  DRIVER_CHAT,   /* model service, idempotent */
  DRIVER_TAG,    /* model service, non-idempotent */
  DRIVER_LOOKUP, /* plain service, idempotent */
  DRIVER_BOOKING /* plain service, non-idempotent */
} driver_request_kind_t;

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
  driver_request_kind_t kind;
  uint32_t router;
  const char *account;
  const char *chat;
  const char *key;
  const char *text;
  const char *authorization;
  uint32_t tokens;
  uint32_t deadline_ms;
  bool stream;
} driver_request_t;

/**
 * enum driver_outcome_t - How a call ended, from the view of the caller.
 * @DRIVER_OUTCOME_PENDING: It has not ended yet.
 * @DRIVER_OUTCOME_COMPLETE: The response is complete, whatever its status.
 * @DRIVER_OUTCOME_TRUNCATED: The connection was closed after the response header, before the end of
 *   the body.
 * @DRIVER_OUTCOME_NO_RESPONSE: The connection failed or was closed before the end of the response
 *   header.
 * @DRIVER_OUTCOME_CANCELLED: The caller closed the connection.
 */
typedef enum
{
  DRIVER_OUTCOME_PENDING,
  DRIVER_OUTCOME_COMPLETE,
  DRIVER_OUTCOME_TRUNCATED,
  DRIVER_OUTCOME_NO_RESPONSE,
  DRIVER_OUTCOME_CANCELLED
} driver_outcome_t;

/**
 * struct driver_call - A request that was sent, and its response.
 * @name: Name in the transcript; NULL for internal calls, which the invariants skip.
 * @sent_body: Body of the request.
 * @status: HTTP status of the response, 0 before its header is complete.
 * @headers: Header fields of the response, names in lower case.
 * @body: Body of the response, decoded if it is chunked.
 * @sent_us: Monotonic time of the request.
 * @head_us: Monotonic time at which the response header was complete.
 * @ended_us: Monotonic time at which the call ended.
 * @remaining_bytes: Bytes that are missing from the body or, if it is chunked, from the current
 *   chunk; -1 if the response has no Content-Length.
 * @in_chunk: Whether the parser is within a chunk or before the line break that closes it.
 * @has_last_chunk: Whether just the line break that ends a chunked body is missing.
 * @is_kept: Whether the connection stays open after a complete response, for driver_send_next();
 *   may be set as soon as the request is sent.
 * @is_connected: Whether the connection was established.
 * @is_reset: Whether the peer reset it instead of closing it.
 */
struct driver_call
{
  driver_t *driver;
  char *name;
  char *key;
  char *account;
  char *sent_body;
  uint32_t router;
  driver_request_kind_t kind;
  bool is_streamed;
  uint32_t tokens;
  driver_outcome_t outcome;
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
  bool has_last_chunk;
  bool is_kept;
  bool is_connected;
  bool is_reset;
};

/** driver_send_request() - Send a request to a router and return at once. */
driver_call_t *driver_send_request (driver_t *driver, const driver_request_t *request);
/**
 * driver_send_http() - Send any HTTP request to DRIVER_PORT of @ip, or to the port that follows it
 * after a colon, and return at once.
 * @headers: Complete header lines, each ending in CRLF, or NULL.
 * @body: Text, or NULL for an empty body.
 */
driver_call_t *driver_send_http (driver_t *driver,
                                 const char *ip,
                                 const char *method,
                                 const char *target,
                                 const char *headers,
                                 const char *body);
/** driver_send_http_bytes() - Like driver_send_http(), with a body that may contain any bytes. */
driver_call_t *driver_send_http_bytes (driver_t *driver,
                                       const char *ip,
                                       const char *method,
                                       const char *target,
                                       const char *headers,
                                       const char *body,
                                       size_t body_bytes);
/** driver_call_is_connected() - Return: Whether the call is complete, and its connection was kept
 * and is still open. */
bool driver_call_is_connected (const driver_call_t *call);
/** driver_send_next() - Send a request without a body on the connection of such a call, which is
 * kept again. */
driver_call_t *driver_send_next (driver_call_t *before,
                                 const char *method,
                                 const char *target,
                                 const char *headers);
void driver_call_free (driver_call_t *call);
/** driver_call_wait() - Wait until the call has ended. */
void driver_call_wait (driver_call_t *call);
/** driver_wait_all_calls() - Wait until all calls of the session have ended. */
void driver_wait_all_calls (driver_t *driver);
/** driver_call_wait_body() - Wait until the first bytes of the response body have arrived or the
 * call has ended.
 */
void driver_call_wait_body (driver_call_t *call);
/** driver_call_cancel() - Close the caller's connection if the call has not ended. */
void driver_call_cancel (driver_call_t *call);
/** driver_call_header() - Return: A response header field, or NULL; @name is in lower case. */
const char *driver_call_header (const driver_call_t *call, const char *name);
/** driver_call_verdict() - Return: The header field X-Medlarplank-Verdict of the response, "" if
 * absent. */
const char *driver_call_verdict (const driver_call_t *call);
/** driver_call_error_code() - Return: The error code in the response body, "" if absent, owned by
 * the caller.
 */
char *driver_call_error_code (const driver_call_t *call);
/** driver_call_print() - Print the response to the request @id to standard output, for debugging.
 */
void driver_call_print (const driver_call_t *call, const char *id);
/** driver_call_is_correct() - Return: Whether the response is complete, has status 200 and answers
 * this request. */
bool driver_call_is_correct (const driver_call_t *call);

/* Proxies that inject connection faults */

/**
 * enum driver_proxy_mode_t - What a proxy does to a request or to its response.
 * @DRIVER_PROXY_PASS: Pass both on.
 * @DRIVER_PROXY_CLOSED: Do not listen.
 * @DRIVER_PROXY_CUT_REQUEST: Close the connection after passing on a part of the request.
 * @DRIVER_PROXY_DROP_RESPONSE: Pass the request on, and close the connection when its response
 *   arrives.
 * @DRIVER_PROXY_CUT_RESPONSE: Close the connection after passing on a part of the response.
 * @DRIVER_PROXY_HOLD_RESPONSE: Hold back the response, or the end of its connection, until the mode
 *   changes.
 */
typedef enum
{
  DRIVER_PROXY_PASS,
  DRIVER_PROXY_CLOSED,
  DRIVER_PROXY_CUT_REQUEST,
  DRIVER_PROXY_DROP_RESPONSE,
  DRIVER_PROXY_CUT_RESPONSE,
  DRIVER_PROXY_HOLD_RESPONSE
} driver_proxy_mode_t;

/** driver_proxy_new() - Listen on a new IP address and forward its connections to @target_ip. */
driver_proxy_t *driver_proxy_new (driver_t *driver, const char *target_ip);
void driver_proxy_free (driver_proxy_t *proxy);
const char *driver_proxy_ip (const driver_proxy_t *proxy);
/**
 * driver_proxy_set_mode() - Set the mode of further requests and release held responses.
 * @match: Apply the mode only to requests whose first bytes contain it; NULL is all.
 * @count: Number of requests to apply the mode to before DRIVER_PROXY_PASS is restored; 0 is all.
 */
void driver_proxy_set_mode (driver_proxy_t *proxy,
                            driver_proxy_mode_t mode,
                            const char *match,
                            uint32_t count);
/** driver_proxy_close_connections() - Close all open connections. */
void driver_proxy_close_connections (driver_proxy_t *proxy);
/** driver_proxy_hits() - Return: The number of requests that a mode other than DRIVER_PROXY_PASS
 * was applied to. */
uint32_t driver_proxy_hits (const driver_proxy_t *proxy);

/* Transcript, engine records and invariants */

/** struct driver_transcript_line - A line of the transcript; the outcome of @call is appended at
 * the end of the session, unless @call is NULL. */
typedef struct
{
  char *text;
  const driver_call_t *call;
} driver_transcript_line_t;

/** driver_transcript_add() - Add a line of text to the transcript. */
void driver_transcript_add (driver_t *driver, const char *format, ...) G_GNUC_PRINTF (2, 3);
/**
 * driver_transcript_add_call() - Add a line with the result of a call and the number of times its
 * body ran.
 *
 * The line is formatted at the end of the session, when no further run can begin.
 */
void driver_transcript_add_call (driver_call_t *call);
/** driver_call_run_count() - Return: How many times the body of @call began to run, over all
 * engines. */
uint32_t driver_call_run_count (const driver_call_t *call);
/** driver_request_has_run() - Return: Whether any attempt of the request id @request began on an
 * engine.
 */
bool driver_request_has_run (driver_t *driver, const char *request);
/** driver_check_invariants() - Check the invariants of every session over its calls, engine records
 * and logs. */
void driver_check_invariants (driver_t *driver);
/** driver_transcript_compare() - Compare the transcript with the golden file. */
void driver_transcript_compare (driver_t *driver);
/** driver_engine_begun_records() - Return: The entries with state "begun" of an engine's record, as
 * a new array.
 */
json_t *driver_engine_begun_records (const driver_process_t *engine);
/** driver_engine_run_count() - Return: How many runs began on an engine. */
uint32_t driver_engine_run_count (const driver_process_t *engine);
/** driver_host_forbid_new_runs() - Let driver_finish() fail if any run begins on the host's engine
 * after this call. */
void driver_host_forbid_new_runs (driver_host_t *host);

#endif
