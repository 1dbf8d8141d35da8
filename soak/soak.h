/**
 * DOC: soak
 *
 * A randomized fault-injection test. It runs the real programs as separate processes on loopback,
 * injects faults from outside them by signals, by TCP proxies and through the stand-in platform
 * store, and sends requests all the while. At the end it checks the guarantees of the gateway
 * against what clients received and what upstreams recorded. All random choices follow from the
 * seed.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include "connection/http_client.h"
#include "base/settings.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define SOAK_GATEWAYS 3 /* unless the command line says otherwise */
#define SOAK_GATEWAYS_MAX 50
/* the first SOAK_STREAM_UPSTREAMS send event streams, the others plain responses */
#define SOAK_UPSTREAMS 5
#define SOAK_STREAM_UPSTREAMS 3
#define SOAK_UPSTREAMS_MAX 9 /* with those of the services that routes are moved to */
#define SOAK_EVENTS 6        /* events of one stream */
/* No request may begin on an upstream later than this after the upstream announced its leaving;
 * also the gateways' limits for a version to be in force and for a drain. */
#define SOAK_DRAIN_MS 1500
#define SOAK_GRACE_MS 4000 /* time that a gateway has to stop after SIGTERM */
/* Likewise beside silences: gateways accept for 2.5 s after SIGTERM, and what comes then may take
 * its deadline. */
#define SOAK_LONG_GRACE_MS 6000
#define SOAK_DEADLINE_MS 2400 /* of each request */
/* A gateway has a request so long after it was sent, at most. */
#define SOAK_ARRIVAL_US (UINT64_C (100) * 1000)
#define SOAK_SETTLE_MS 3000 /* time limits are checked only this long after the last fault */

typedef struct soak soak_t;

/**
 * struct soak_process - a program that the test runs, and starts again after it has ended
 * @soak: the test that it belongs to
 * @name: name in the output and of the log file
 * @argv: command line
 * @log_path: file that receives standard output and standard error
 * @pid: process id, 0 while it does not run
 * @resume_at_us: time to send SIGCONT to the process, which was paused by SIGSTOP; 0 if it was not
 * @start_at_us: time to start it again; 0 while it runs or is to stay down
 * @stop_sent_us: time of the first SIGTERM, valid when @stopping
 * @stopping: SIGTERM was sent, and the process must exit with status 0
 * @killed: SIGKILL was sent, so the exit status is not checked
 * @was_paused: SIGSTOP was sent since it was started, so its time to stop is not checked
 * @may_crash: it ends with %EXIT_FAILURE when a request makes it
 */
typedef struct
{
  soak_t *soak;
  char *name;
  GPtrArray *argv;
  char *log_path;
  pid_t pid;
  uint64_t resume_at_us;
  uint64_t start_at_us;
  uint64_t stop_sent_us;
  bool stopping;
  bool killed;
  bool was_paused;
  bool may_crash;
} soak_process_t;

/** What a proxy does with its connections. */
typedef enum
{
  SOAK_PROXY_PASS,
  SOAK_PROXY_DELAY,   /* forwards bytes with a delay */
  SOAK_PROXY_RESET,   /* resets open and new connections */
  SOAK_PROXY_ONE_WAY, /* forwards nothing towards the client */
  SOAK_PROXY_BLOCK,   /* forwards nothing and keeps connections open */
  SOAK_PROXY_MODES,   /* number of modes that are drawn with the other faults */
  SOAK_PROXY_FLOOD,   /* bytes without end in place of those towards the client */
  SOAK_PROXY_GARBLE   /* changes what it forwards towards the client */
} soak_proxy_mode_t;

typedef struct soak_proxy soak_proxy_t;

/**
 * struct soak_request - a client's request and its result
 * @soak: the test that it belongs to
 * @id: request id
 * @gateway: index of the gateway that it was sent to
 * @incarnation: number of starts of that gateway when the request was sent
 * @kind: kind of request, SOAK_IDEMPOTENT and so on
 * @version: version of the configuration that added its route, 0 for a route of the first version
 * @sent_us: time when it was sent
 * @written_us: time when its last part was sent; 0 where parts are not told apart
 * @ended_us: time when it ended
 * @status: HTTP status of the response, 0 when none arrived
 * @complete: the whole response arrived
 * @path: path that it was sent to
 * @valid_key: it was sent with an API key that exists
 * @stamp: name of the upstream that answered, from the response header X-Response-Stamp; else empty
 * @body: body of the response as far as it arrived
 * @http_call: the call in flight, NULL when it has ended
 * @resumed: the request whose stream this one resumes, or NULL
 * @first_event: id of the event that it is to begin with
 * @leaves: its client leaves in the middle of the stream
 * @resume_after_us: time from its end until the client resumes the stream, 0 when not drawn yet
 * @retry_after_us: time after which a refusal says that the client may come again, 0 when it says
 *   none
 * @refusals: refusals that its client has followed up before it, since the last event
 * @unreached: likewise, attempts without a response
 * @followed: its client followed up its refusal, or that it had no response, by another attempt
 * @versions_serve: upstreams of all versions served when it was sent
 * @idle_us: time for which its kept connection was idle before, 0 for a new one
 * @end: how it ended, when it was sent on a kept connection
 */
typedef struct soak_request soak_request_t;

/** How a request on a kept connection ended. */
typedef enum
{
  SOAK_END_NONE,        /* it has not ended, or was sent on no such connection */
  SOAK_END_ANSWERED,    /* by a whole response */
  SOAK_END_UNCONNECTED, /* no connection was made */
  SOAK_END_CLOSED,      /* by an orderly close once the gateway had read all of it */
  SOAK_END_RESET,       /* by a reset, or before it was sent whole */
  SOAK_END_TIMEOUT      /* its client gave up */
} soak_end_t;

struct soak_request
{
  soak_t *soak;
  char *id;
  uint32_t gateway;
  uint32_t incarnation;
  uint32_t kind;
  uint32_t version;
  uint64_t sent_us;
  uint64_t written_us;
  uint64_t ended_us;
  char *path;
  int status;
  bool complete;
  bool valid_key;
  char stamp[64];
  GString *body;
  http_client_call_t *http_call;
  const soak_request_t *resumed;
  uint32_t first_event;
  bool leaves;
  uint64_t resume_after_us;
  uint64_t retry_after_us;
  uint32_t refusals;
  uint32_t unreached;
  bool followed;
  bool versions_serve;
  uint64_t idle_us;
  soak_end_t end;
};

/** Kinds of requests. Each has a route of its own. */
enum
{
  SOAK_IDEMPOTENT,       /* idempotent */
  SOAK_NON_IDEMPOTENT,   /* non-idempotent */
  SOAK_RESUMABLE_STREAM, /* a stream that may be resumed */
  SOAK_STREAM,           /* a stream that may not be resumed */
  SOAK_KINDS
};

#define SOAK_CRASH_TEXT "ends-upstreams"
#define SOAK_CRASHERS_MAX 4
#define SOAK_CRASH_PARTS 2

/**
 * struct soak_crasher - a request that ends each upstream that runs it, or requests with a part of
 * their prompts that does
 * @kind: SOAK_IDEMPOTENT and so on
 * @path: of the request; of requests with a part, no two of which are alike, how it begins
 * @part: NULL for a request
 * @sent: requests with the part
 * @next_us: when a caller sends it next
 * @until_us: until when callers send it
 */
typedef struct
{
  uint32_t kind;
  char *path;
  const char *part;
  uint32_t sent;
  uint64_t next_us;
  uint64_t until_us;
} soak_crasher_t;

/** soak_crash_parts - these parts */
extern const char *const soak_crash_parts[SOAK_CRASH_PARTS];

/**
 * struct soak_floods - upstreams and stores that send bytes without end
 * @rand: random generator of these; the other ones draw the same without them
 * @next_us: when the next one begins; 0 for never
 */
typedef struct
{
  GRand *rand;
  uint64_t next_us;
} soak_floods_t;

/**
 * struct soak_garble - upstreams that put other bytes into their streams
 * @rand: random generator of these; the other ones draw the same without them
 * @next_us: when the next one begins; 0 for never
 * @in_streams: how often bytes were put into the stream of a response
 * @between_chunks: how often where no chunk holds them
 */
typedef struct
{
  GRand *rand;
  uint64_t next_us;
  uint32_t in_streams;
  uint32_t between_chunks;
} soak_garble_t;

/**
 * struct soak_odd - another writer that leaves odd records in the store
 * @enabled: there is one
 * @rand: random generator of it; the other ones draw the same without it
 * @next_us: when the next record is written; 0 for never
 */
typedef struct
{
  bool enabled;
  GRand *rand;
  uint64_t next_us;
  struct platform_client *client;
} soak_odd_t;

/**
 * struct soak_herd - most new connections of a time
 * @rand: random generator of these; the other ones draw the same without them
 * @gateway: to which they go until @until_us
 * @send_us: when the next request is sent
 * @next_us: when the next herd begins; 0 for never
 */
typedef struct
{
  GRand *rand;
  uint32_t gateway;
  uint64_t until_us;
  uint64_t send_us;
  uint64_t next_us;
} soak_herd_t;

/**
 * struct soak_loss - the next loss of a gateway
 * @kill_us: when it is killed, 0 for not at all
 * @repeats: it is killed once more while it starts
 * @awaited_start: number of the start after which that is; 0 for none
 */
typedef struct
{
  uint64_t kill_us;
  bool repeats;
  uint32_t awaited_start;
} soak_loss_t;

/**
 * struct soak_losses - losses of all gateways
 * @enabled: there are some
 * @rand: random generator of these; the other ones draw the same without them
 * @next_us: when the next round of losses begins; 0 for never
 * @send_us: when the next stream is sent
 * @began_us: time of the first round
 * @ended_us: time of the end of all
 * @upstream_lost_us: when an upstream of streams was last not there
 */
typedef struct
{
  bool enabled;
  GRand *rand;
  uint64_t next_us;
  uint64_t send_us;
  uint64_t began_us;
  uint64_t ended_us;
  uint64_t upstream_lost_us;
  soak_loss_t gateways[SOAK_GATEWAYS_MAX];
} soak_losses_t;

/**
 * struct soak_config - the parts of a configuration that change
 * @timeout_ms: of the route of each kind of requests
 * @aim_ms: likewise, its target latency
 * @attempts: likewise
 * @moved_percent: likewise, weight of the other service
 * @written_us: time when it was sent to the store
 * @fillers: number of routes that no client uses
 * @keys: set of the API keys that no client uses, a bit each
 * @idle_timeout_ms: 0 when no limits are stated
 */
typedef struct
{
  uint32_t timeout_ms[SOAK_KINDS];
  uint32_t aim_ms[SOAK_KINDS];
  uint32_t attempts[SOAK_KINDS];
  uint32_t moved_percent[SOAK_KINDS];
  uint64_t written_us;
  uint32_t fillers;
  uint32_t keys;
  uint32_t max_body_bytes;
  uint32_t max_header_bytes;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
} soak_config_t;

/** Ends of requests that are counted beside silences. */
typedef enum
{
  SOAK_COUNT_ANSWERED,
  SOAK_COUNT_REFUSED,
  SOAK_COUNT_GIVEN_UP,    /* by 502 or 504 or cut, once their time had passed */
  SOAK_COUNT_UNREAD,      /* reset by a gateway that was being stopped and hadn't read it */
  SOAK_COUNT_UNCONNECTED, /* no gateway was there */
  SOAK_COUNT_KILLED,      /* its gateway was killed, or at the end of its grace */
  SOAK_COUNT_BROKEN,      /* in a way that is not allowed */
  SOAK_COUNTS
} soak_count_t;

/**
 * struct soak_silences - sound upstreams that are silent for some time, beside changes of the
 * configuration and planned stops of gateways
 * @enabled: there are some, and no other faults are drawn
 * @rand: random generator of these; the other ones draw the same without them
 * @client_rand: likewise, of clients with kept connections
 * @next_us: when the next round begins; 0 for never
 * @send_us: when the next request is sent
 * @began_us: time of the first round
 * @plan: what is still to come of the rounds, step_t
 * @stops: signals that end gateways, stop_t
 * @read_ids: ids of the requests in the logs of the gateways, read at the end
 * @counts: requests that ended in each way that is printed
 * @connections: kept connections of the clients, connection_t
 */
typedef struct
{
  bool enabled;
  GRand *rand;
  GRand *client_rand;
  uint64_t next_us;
  uint64_t send_us;
  uint64_t began_us;
  GArray *plan;
  GArray *stops;
  GHashTable *read_ids;
  uint32_t counts[SOAK_COUNTS];
  GPtrArray *connections;
} soak_silences_t;

/** What happens next to the store, in a restoration from a copy. */
typedef enum
{
  SOAK_RESTORATION_COPY,   /* a copy is made */
  SOAK_RESTORATION_LEAVE,  /* the store goes away */
  SOAK_RESTORATION_RETURN, /* it comes back from the copy */
  SOAK_RESTORATION_REWRITE /* the operator writes the newest configuration again */
} soak_restoration_step_t;

/**
 * struct soak - state of one run of the test
 * @base: event loop
 * @rand: random generator, from the seed
 * @http_client: HTTP client of the test's requests
 * @dir: directory of logs and records
 * @ip_prefix: first three numbers of the run's addresses, "127.A.B"
 * @build: directory of the programs
 * @seed: seed of all random choices
 * @started_us: time when the run began
 * @until_us: not used
 * @store_heals_us: time to end the fault of the store, 0 while it has none
 * @restorations: the store comes back from copies
 * @restoration_rand: random generator of these; @rand draws the same without them
 * @restoration_step: what happens to the store at @restoration_us
 * @crashes: requests come that end upstreams
 * @crash_rand: random generator of these; @rand draws the same without them
 * @crashers: these requests, @crasher_count of them so far; the next begins at @next_crasher_us
 * @part_rand: random generator of requests with parts that end upstreams; @crash_rand draws the
 * same without them
 * @part_crashers: likewise for these requests, @part_crasher_count, @next_part_crasher_us
 * @herd: requests of which most go to one gateway
 * @floods: upstreams and stores that send bytes without end
 * @garble: upstreams that put other bytes into their streams
 * @odd: another writer that leaves odd records in the store
 * @losses: all gateways are lost, in rounds
 * @silences: upstreams that are silent for some time
 * @config: the newest configuration
 * @configs: those that were written, by version
 * @versions: upstreams of streams have two software versions, and clients resume streams
 * @clients_leave: clients leave some streams
 * @resume_rand: random generator of these clients; @rand draws the same without them
 * @open_streams: streams that may be resumed, soak_request_t
 * @store: the stand-in platform
 * @gateways: the gateway processes
 * @upstreams: the upstream processes, @upstream_count of them
 * @start_counts: how often each gateway was started
 * @store_proxies: proxies between each gateway and the store
 * @upstream_proxies: proxies between all gateways and each upstream
 * @calls: all requests that were sent, soak_request_t
 * @disturbances: periods of faults, soak_period_t
 * @next_id: number of the newest request
 * @version: version of the newest configuration
 * @acked_version: newest version that the store acknowledged
 * @acked_us: when it acknowledged each version, by version
 * @failures: number of violations found
 */
struct soak
{
  struct event_base *base;
  GRand *rand;
  http_client_t *http_client;
  char *dir;
  char *ip_prefix;
  const char *build;
  uint64_t seed;
  uint64_t started_us;
  uint64_t until_us;
  uint64_t store_heals_us;
  bool restorations;
  GRand *restoration_rand;
  soak_restoration_step_t restoration_step;
  uint64_t restoration_us;
  bool crashes;
  GRand *crash_rand;
  soak_crasher_t crashers[SOAK_CRASHERS_MAX];
  uint32_t crasher_count;
  uint64_t next_crasher_us;
  GRand *part_rand;
  soak_crasher_t part_crashers[SOAK_CRASH_PARTS];
  uint32_t part_crasher_count;
  uint64_t next_part_crasher_us;
  soak_herd_t herd;
  soak_floods_t floods;
  soak_garble_t garble;
  soak_odd_t odd;
  soak_losses_t losses;
  soak_silences_t silences;
  soak_config_t config;
  GArray *configs;
  bool versions;
  bool clients_leave;
  GRand *resume_rand;
  GPtrArray *open_streams;
  soak_process_t *store;
  uint32_t gateway_count;
  soak_process_t *gateways[SOAK_GATEWAYS_MAX];
  uint32_t upstream_count;
  soak_process_t *upstreams[SOAK_UPSTREAMS_MAX];
  uint32_t start_counts[SOAK_GATEWAYS_MAX];
  soak_proxy_t *store_proxies[SOAK_GATEWAYS_MAX];
  soak_proxy_t *upstream_proxies[SOAK_UPSTREAMS_MAX];
  GPtrArray *calls;
  GArray *disturbances;
  uint32_t next_id;
  uint32_t version;
  uint32_t acked_version;
  GArray *acked_us;
  uint32_t failures;
};

/** struct soak_period - a period with a fault; @from_us: its begin; @to_us: its end */
typedef struct
{
  uint64_t from_us;
  uint64_t to_us;
} soak_period_t;

/** soak_now_us() - get the monotonic time */
uint64_t soak_now_us (void);
/** soak_fail() - print and count a violation of a guarantee */
void soak_fail (soak_t *soak, const char *format, ...) G_GNUC_PRINTF (2, 3);
/** soak_log() - print a line on standard output */
void soak_log (soak_t *soak, const char *format, ...) G_GNUC_PRINTF (2, 3);
/** soak_random() - draw a number. Return: 0 to @below - 1 */
uint32_t soak_random (soak_t *soak, uint32_t below);
#define SOAK_ROUTERS_TOPIC "keyed.medlarplank-routers"
/** soak_store_address() - address of the store */
address_t soak_store_address (const soak_t *soak);
/** soak_address() - get the run's address whose last number is @last */
address_t soak_address (const soak_t *soak, uint32_t last, uint16_t port);
/** soak_run_loop() - run the event loop for @ms, with regular checks of processes and faults */
void soak_run_loop (soak_t *soak, uint32_t ms);

/* soak_fleet.c */
/** soak_fleet_start() - start all programs and wait until every gateway serves streams */
void soak_fleet_start (soak_t *soak);
/** soak_fleet_stop() - kill all programs and free their state */
void soak_fleet_stop (soak_t *soak);
/** soak_process_signal() - send a signal, and note what it means for the checks of the exit */
void soak_process_signal (soak_process_t *process, int number);
/** soak_poll_processes() - reap, restart and resume processes whose time has come */
void soak_poll_processes (soak_t *soak);
/** soak_has_logged() - whether the running process has written a line of its log, as gateways do
 * once they handle signals */
bool soak_has_logged (const soak_process_t *process);
/** soak_grace_ms() - the time that a gateway has to stop after SIGTERM */
uint32_t soak_grace_ms (const soak_t *soak);
/** soak_for_each_process() - call @visit for each process that faults may be injected into */
void soak_for_each_process (soak_t *soak, void (*visit) (soak_process_t *process));
/** soak_publish() - publish the next version of the configuration, which adds a route */
void soak_publish (soak_t *soak);
/** soak_publish_again() - write the newest configuration again. Return: false when the store does
 * not acknowledge it */
bool soak_publish_again (soak_t *soak);
/** soak_has_entry() - whether the store has the entry of a gateway */
bool soak_has_entry (soak_t *soak, uint32_t gateway);
/** soak_call_store_admin() - send a request to the administrative interface of the stand-in store
 */
void soak_call_store_admin (soak_t *soak, const char *target, const char *body);

/* soak_config.c */
/** soak_config_init() - the configuration of a run without changes of it */
void soak_config_init (soak_config_t *config);
/** soak_config_format() - the record of a configuration. Return: to be freed */
char *soak_config_format (const soak_config_t *config, uint32_t version);
/** soak_config_change() - change some part of it. Return: what, for the output, to be freed */
char *soak_config_change (soak_config_t *config, GRand *rand);
/** soak_config_least() - call @get for each configuration that may be in force at some gateway
 * between two times. Return: the least value */
uint64_t soak_config_least (const soak_t *soak,
                            uint64_t from_us,
                            uint64_t to_us,
                            uint64_t (*get) (const soak_config_t *config, uint32_t kind),
                            uint32_t kind);

/* soak_keeper.c */
/** soak_keeper_send() - send @call on a kept connection. @head: the header fields, each with its
 * line break */
void soak_keeper_send (soak_request_t *call, const char *method, const char *head);
/** soak_keeper_free() - close all kept connections */
void soak_keeper_free (soak_t *soak);

/* soak_silences.c */
/** soak_silences_init() - prepare their state */
void soak_silences_init (soak_t *soak);
/** soak_begin_silences() - begin with rounds of silences */
void soak_begin_silences (soak_t *soak);
/** soak_end_silences() - begin no more of them, nor signals or changes */
void soak_end_silences (soak_t *soak);
/** soak_poll_silences() - do what is due; must be called like soak_poll_store_fault() */
void soak_poll_silences (soak_t *soak);
/** soak_note_stop() - a signal that ends a gateway is sent to it */
void soak_note_stop (soak_t *soak, const soak_process_t *process, int number);
/** soak_check_end() - check how a request ended beside silences. @executions: how often upstreams
 * began to execute it */
void soak_check_end (const soak_request_t *call, uint32_t executions);
/** soak_log_ends() - print how many requests ended in which way */
void soak_log_ends (soak_t *soak);

/* soak_proxy.c */
/** soak_proxy_new() - start a proxy that listens on @listen and connects to @target */
soak_proxy_t *
soak_proxy_new (struct event_base *base, const address_t *listen, const address_t *target);
void soak_proxy_free (soak_proxy_t *proxy);
/** soak_proxy_set_mode() - change what the proxy does with its connections */
void soak_proxy_set_mode (soak_proxy_t *proxy, soak_proxy_mode_t mode);
/** soak_proxy_set_garble() - chooses who moves, with %SOAK_PROXY_GARBLE, what comes from the target
 * to what is sent to the client */
void
soak_proxy_set_garble (soak_proxy_t *proxy,
                       void (*garble) (struct evbuffer *data, struct evbuffer *out, void *context),
                       void *context);

/* soak_faults.c */
/** soak_inject_fault() - inject a random fault, which ends by itself, or publish a new version */
void soak_inject_fault (soak_t *soak);
/**
 * soak_poll_store_fault() - end the fault of the store when its time has come
 *
 * Must be called outside of the event loop, since the call to the store runs the loop itself.
 */
void soak_poll_store_fault (soak_t *soak);
/** soak_poll_restoration() - make the store come back from copies when the time has come; must be
 * called like soak_poll_store_fault() */
void soak_poll_restoration (soak_t *soak);
/** soak_record_disturbance() - time limits are not checked for so long from now on */
void soak_record_disturbance (soak_t *soak, uint32_t ms);
/** soak_end_faults() - end all faults */
void soak_end_faults (soak_t *soak);

/* soak_client.c */
/** soak_send_request() - send a request. @version: above 1, use that version's route in place of
 * @kind's */
void
soak_send_request (soak_t *soak, uint32_t gateway, uint32_t kind, uint32_t version, bool valid_key);
/** soak_send_to_path() - send a request with a valid key to @path, which is below the path of
 * @kind.
 * @part: second part of its prompt; NULL for any that ends no upstream */
void soak_send_to_path (
    soak_t *soak, uint32_t gateway, uint32_t kind, const char *path, const char *part);
/** soak_send_resumption() - send a request that resumes the stream of @call after its last event */
void soak_send_resumption (soak_t *soak, uint32_t gateway, const soak_request_t *call);
/** soak_send_again() - follow up @call, which was refused or had no response, by the same request
 */
void soak_send_again (soak_t *soak, uint32_t gateway, soak_request_t *call);
/** soak_kind_path() - path of the requests of a kind */
const char *soak_kind_path (uint32_t kind);
/** soak_send_random_request() - send a request of a random kind to a random gateway */
void soak_send_random_request (soak_t *soak);
/** soak_request_free() - free a soak_request_t */
void soak_request_free (gpointer data);

/* soak_crash.c */
/** soak_poll_floods() - begins a flood that is due, and checks the memory of the gateways */
void soak_poll_floods (soak_t *soak);
/** soak_fault_link() - puts a proxy into a mode for some time */
void soak_fault_link (soak_t *soak, soak_proxy_t *proxy, soak_proxy_mode_t mode, uint32_t ms);
/** soak_proxy_set_flood() - chooses what %SOAK_PROXY_FLOOD sends */
void soak_proxy_set_flood (soak_proxy_t *proxy, const char *begin, const char *unit);
/** soak_poll_herd() - sends the requests of a herd that are due */
void soak_poll_herd (soak_t *soak);
/** soak_poll_crashers() - send requests that end upstreams when their time has come */
void soak_poll_crashers (soak_t *soak);
/** soak_check_crashers() - check that these requests are sent to upstreams no more, after all
 * faults have ended */
void soak_check_crashers (soak_t *soak);

/* soak_garble.c */
/** soak_begin_garble() - begin to put bytes into streams */
void soak_begin_garble (soak_t *soak);
/** soak_end_garble() - begin no more of it, and print how often it was done */
void soak_end_garble (soak_t *soak);
/** soak_poll_garble() - begin it at an upstream when its time has come */
void soak_poll_garble (soak_t *soak);

/* soak_odd.c */
/** soak_begin_odd() - begin to write odd records into the store, if there are any */
void soak_begin_odd (soak_t *soak);
/** soak_end_odd() - write no more */
void soak_end_odd (soak_t *soak);
/** soak_poll_odd() - write one when its time has come */
void soak_poll_odd (soak_t *soak);

/* soak_losses.c */
/** soak_begin_losses() - begin to kill all gateways in rounds */
void soak_begin_losses (soak_t *soak);
/** soak_end_losses() - kill no more */
void soak_end_losses (soak_t *soak);
/** soak_poll_losses() - kill gateways when their time has come */
void soak_poll_losses (soak_t *soak);
/** soak_versions_serve() - whether upstreams of all versions have served for long enough */
bool soak_versions_serve (const soak_t *soak);
/** soak_check_losses() - check that streams went on after the losses as often as the users demand
 */
void soak_check_losses (soak_t *soak);

/* soak_resume.c */
/** soak_note_stream() - a request for a stream was sent; its client may leave and resume it */
void soak_note_stream (soak_request_t *call);
/** soak_poll_streams() - let clients leave streams and resume them when their time has come */
void soak_poll_streams (soak_t *soak);
/** soak_count_events() - number of whole events of the response */
uint32_t soak_count_events (const soak_request_t *call);
/** soak_last_event() - id of the last of them, of the stream before the response when there is none
 */
uint32_t soak_last_event (const soak_request_t *call);
/** soak_stream_version() - software version of the first event of the whole stream, to be freed */
char *soak_stream_version (const soak_request_t *call);
/** soak_check_streams() - check that streams that clients resume go on, after all faults have ended
 */
void soak_check_streams (soak_t *soak);

/* soak_check.c */
/** soak_check() - check all guarantees, after all faults have ended */
void soak_check (soak_t *soak);

#endif
