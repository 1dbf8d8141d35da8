/**
 * DOC: soak
 *
 * A randomized fault soak: the real programs as separate processes on loopback, faults from outside
 * them by signals, loopback proxies and the stand-in store, callers that go on all the while, and a
 * check of the promises by what callers and upstreams saw. All that is random follows from the
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
#define SOK_UPSTREAMS 5 /* three of events, then two plain ones */
#define SOK_STREAMS 3
#define SOK_EVENTS 6
#define SOK_DRAIN_MS 1500 /* the bound on an upstream that leaves */
#define SOK_GRACE_MS 4000
#define SOK_CALM_MS 3000 /* without any fault for so long, bounds on time count */

typedef struct sok sok_t;

/**
 * struct sok_process - a program
 * @pid: 0 while it does not run
 * @paused_until_us: by SIGSTOP; 0 when it is not
 * @start_us: when to start it again; 0 when it runs or is to stay away
 * @stopping: it got SIGTERM, and must end with status 0
 * @killed: by SIGKILL, so its status does not count
 * @disturbed: paused since it was started
 */
typedef struct
{
  sok_t *sok;
  char *name;
  GPtrArray *argv;
  char *log_path;
  pid_t pid;
  uint64_t paused_until_us;
  uint64_t start_us;
  uint64_t stop_us;
  bool stopping;
  bool killed;
  bool disturbed;
} sok_process_t;

typedef enum
{
  SOK_PASS,
  SOK_DELAY,   /* bytes wait for a while */
  SOK_RESET,   /* connections are reset, open ones too */
  SOK_ONE_WAY, /* nothing comes back */
  SOK_SILENT,  /* nothing passes, and nothing breaks */
  SOK_MODES
} sok_mode_t;

typedef struct sok_proxy sok_proxy_t;

/** struct sok_call - a caller's request and what came of it */
typedef struct
{
  sok_t *sok;
  char *id;
  uint32_t gateway;
  uint32_t incarnation; /* of the gateway, counted by its starts */
  uint32_t kind;
  uint32_t version; /* of the configuration that has its route; 0 for the first */
  uint64_t sent_us;
  uint64_t ended_us;
  int status;
  bool whole;
  bool known_key;
  char stamp[64];
  GString *body;
  hcl_call_t *call;
} sok_call_t;

enum
{
  SOK_LOOK, /* idempotent */
  SOK_BOOK, /* non-idempotent */
  SOK_TALK, /* a stream that may be resumed */
  SOK_TELL, /* a stream that may not */
  SOK_KINDS
};

struct sok
{
  struct event_base *base;
  GRand *rand;
  hcl_t *hcl;
  char *dir;
  char *net; /* "127.A.B" */
  const char *build;
  uint64_t seed;
  uint64_t started_us;
  uint64_t until_us;
  uint64_t store_heals_us; /* 0 while it is up */
  sok_process_t *store;
  sok_process_t *gateways[SOK_GATEWAYS];
  sok_process_t *upstreams[SOK_UPSTREAMS];
  uint32_t starts[SOK_GATEWAYS];
  sok_proxy_t *store_proxies[SOK_GATEWAYS];
  sok_proxy_t *upstream_proxies[SOK_UPSTREAMS];
  GPtrArray *calls;     /* sok_call_t */
  GArray *disturbances; /* sok_span_t */
  uint32_t next_id;
  uint32_t version;
  uint32_t acked_version;
  uint32_t failures;
};

/** struct sok_span - a time in which something was disturbed */
typedef struct
{
  uint64_t from_us;
  uint64_t to_us;
} sok_span_t;

uint64_t sok_now_us (void);
/** sok_fail() - a promise is broken */
void sok_fail (sok_t *sok, const char *format, ...) G_GNUC_PRINTF (2, 3);
void sok_log (sok_t *sok, const char *format, ...) G_GNUC_PRINTF (2, 3);
uint32_t sok_random (sok_t *sok, uint32_t below);
set_address_t sok_address (const sok_t *sok, uint32_t last, uint16_t port);
/** sok_turn() - run the event loop for a while; processes are looked after meanwhile */
void sok_turn (sok_t *sok, uint32_t ms);

/* soak_fleet.c */
void sok_fleet_start (sok_t *sok);
void sok_fleet_stop (sok_t *sok);
void sok_process_signal (sok_process_t *process, int number);
/** sok_processes_look() - reap, start again and wake what is due */
void sok_processes_look (sok_t *sok);
/** sok_each() - all processes that faults may hit */
void sok_each (sok_t *sok, void (*visit) (sok_process_t *process));
/** sok_publish() - another version of the configuration, with a route of its own */
void sok_publish (sok_t *sok);
/** sok_store_admin() - a call to the stand-in store's own interface */
void sok_store_admin (sok_t *sok, const char *target, const char *body);

/* soak_proxy.c */
sok_proxy_t *
sok_proxy_new (struct event_base *base, const set_address_t *listen, const set_address_t *to);
void sok_proxy_free (sok_proxy_t *proxy);
void sok_proxy_set (sok_proxy_t *proxy, sok_mode_t mode);

/* soak_faults.c */
/** sok_fault() - one at random; heals by itself */
void sok_fault (sok_t *sok);
/** sok_faults_look() - end what can't be ended from within the event loop */
void sok_faults_look (sok_t *sok);
/** sok_heal() - all at once */
void sok_heal (sok_t *sok);

/* soak_client.c */
void sok_ask (sok_t *sok, uint32_t gateway, uint32_t kind, uint32_t version, bool known_key);
void sok_ask_some (sok_t *sok);
void sok_call_free (gpointer data);

/* soak_check.c */
/** sok_check() - all promises, after the end */
void sok_check (sok_t *sok);

#endif
