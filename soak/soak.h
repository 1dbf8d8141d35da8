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

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define SOK_GATEWAYS 3
#define SOK_UPSTREAMS 5 /* the first SOK_STREAMS send event streams, the others plain responses */
#define SOK_STREAMS 3
#define SOK_EVENTS 6 /* events of one stream */
/* No request may begin on an upstream later than this after the upstream announced its leaving;
 * also the gateways' limits for a version to be in force and for a drain. */
#define SOK_DRAIN_MS 1500
#define SOK_GRACE_MS 4000 /* time that a gateway has to stop after SIGTERM */
#define SOK_CALM_MS 3000  /* time limits are checked only this long after the last fault */

typedef struct sok sok_t;

/**
 * struct sok_process - a program that the test runs, and starts again after it has ended
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
 */
typedef struct
{
  sok_t *soak;
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
} sok_process_t;

/** What a proxy does with its connections. */
typedef enum
{
  SOK_PASS,
  SOK_DELAY,   /* forwards bytes with a delay */
  SOK_RESET,   /* resets open and new connections */
  SOK_ONE_WAY, /* forwards nothing towards the client */
  SOK_SILENT,  /* forwards nothing and keeps connections open */
  SOK_MODES    /* number of modes */
} sok_mode_t;

typedef struct sok_proxy sok_proxy_t;

/**
 * struct sok_call - a client's request and its result
 * @soak: the test that it belongs to
 * @id: request id
 * @gateway: index of the gateway that it was sent to
 * @incarnation: number of starts of that gateway when the request was sent
 * @kind: kind of request, SOK_LOOK and so on
 * @version: version of the configuration that added its route, 0 for a route of the first version
 * @sent_us: time when it was sent
 * @ended_us: time when it ended
 * @status: HTTP status of the response, 0 when none arrived
 * @complete: the whole response arrived
 * @valid_key: it was sent with an API key that exists
 * @stamp: name of the upstream that answered, from the response header X-Response-Stamp; else empty
 * @body: body of the response as far as it arrived
 * @http_call: the call in flight, NULL when it has ended
 */
typedef struct
{
  sok_t *soak;
  char *id;
  uint32_t gateway;
  uint32_t incarnation;
  uint32_t kind;
  uint32_t version;
  uint64_t sent_us;
  uint64_t ended_us;
  int status;
  bool complete;
  bool valid_key;
  char stamp[64];
  GString *body;
  http_client_call_t *http_call;
} sok_call_t;

/** Kinds of requests. Each has a route of its own. */
enum
{
  SOK_LOOK, /* idempotent */
  SOK_BOOK, /* non-idempotent */
  SOK_TALK, /* a stream that may be resumed */
  SOK_TELL, /* a stream that may not be resumed */
  SOK_KINDS
};

/**
 * struct sok - state of one run of the test
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
 * @store: the stand-in platform
 * @gateways: the gateway processes
 * @upstreams: the upstream processes
 * @start_counts: how often each gateway was started
 * @store_proxies: proxies between each gateway and the store
 * @upstream_proxies: proxies between all gateways and each upstream
 * @calls: all requests that were sent, sok_call_t
 * @disturbances: periods of faults, sok_span_t
 * @next_id: number of the newest request
 * @version: version of the newest configuration
 * @acked_version: newest version that the store acknowledged
 * @failures: number of violations found
 */
struct sok
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
  sok_process_t *store;
  sok_process_t *gateways[SOK_GATEWAYS];
  sok_process_t *upstreams[SOK_UPSTREAMS];
  uint32_t start_counts[SOK_GATEWAYS];
  sok_proxy_t *store_proxies[SOK_GATEWAYS];
  sok_proxy_t *upstream_proxies[SOK_UPSTREAMS];
  GPtrArray *calls;
  GArray *disturbances;
  uint32_t next_id;
  uint32_t version;
  uint32_t acked_version;
  uint32_t failures;
};

/** struct sok_span - a period with a fault; @from_us: its begin; @to_us: its end */
typedef struct
{
  uint64_t from_us;
  uint64_t to_us;
} sok_span_t;

/** sok_now_us() - get the monotonic time */
uint64_t sok_now_us (void);
/** sok_fail() - print and count a violation of a guarantee */
void sok_fail (sok_t *soak, const char *format, ...) G_GNUC_PRINTF (2, 3);
/** sok_log() - print a line on standard output */
void sok_log (sok_t *soak, const char *format, ...) G_GNUC_PRINTF (2, 3);
/** sok_random() - draw a number. Return: 0 to @below - 1 */
uint32_t sok_random (sok_t *soak, uint32_t below);
/** sok_address() - get the run's address whose last number is @last */
address_t sok_address (const sok_t *soak, uint32_t last, uint16_t port);
/** sok_turn() - run the event loop for @ms, with regular checks of processes and faults */
void sok_turn (sok_t *soak, uint32_t ms);

/* soak_fleet.c */
/** sok_fleet_start() - start all programs and wait until every gateway serves streams */
void sok_fleet_start (sok_t *soak);
/** sok_fleet_stop() - kill all programs and free their state */
void sok_fleet_stop (sok_t *soak);
/** sok_process_signal() - send a signal, and note what it means for the checks of the exit */
void sok_process_signal (sok_process_t *process, int number);
/** sok_processes_look() - reap, restart and resume processes whose time has come */
void sok_processes_look (sok_t *soak);
/** sok_each() - call @visit for each process that faults may be injected into */
void sok_each (sok_t *soak, void (*visit) (sok_process_t *process));
/** sok_publish() - publish the next version of the configuration, which adds a route */
void sok_publish (sok_t *soak);
/** sok_store_admin() - send a request to the administrative interface of the stand-in store */
void sok_store_admin (sok_t *soak, const char *target, const char *body);

/* soak_proxy.c */
/** sok_proxy_new() - start a proxy that listens on @listen and connects to @target */
sok_proxy_t *
sok_proxy_new (struct event_base *base, const address_t *listen, const address_t *target);
void sok_proxy_free (sok_proxy_t *proxy);
/** sok_proxy_set() - change what the proxy does with its connections */
void sok_proxy_set (sok_proxy_t *proxy, sok_mode_t mode);

/* soak_faults.c */
/** sok_fault() - inject a random fault, which ends by itself, or publish a new version */
void sok_fault (sok_t *soak);
/**
 * sok_faults_look() - end the fault of the store when its time has come
 *
 * Must be called outside of the event loop, since the call to the store runs the loop itself.
 */
void sok_faults_look (sok_t *soak);
/** sok_heal() - end all faults */
void sok_heal (sok_t *soak);

/* soak_client.c */
/** sok_ask() - send a request. @version: above 1, use that version's route in place of @kind's */
void sok_ask (sok_t *soak, uint32_t gateway, uint32_t kind, uint32_t version, bool valid_key);
/** sok_ask_some() - send a request of a random kind to a random gateway */
void sok_ask_some (sok_t *soak);
/** sok_call_free() - free a sok_call_t */
void sok_call_free (gpointer data);

/* soak_check.c */
/** sok_check() - check all guarantees, after all faults have ended */
void sok_check (sok_t *soak);

#endif
