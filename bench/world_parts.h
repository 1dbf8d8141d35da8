/**
 * DOC: world_parts
 *
 * Internals of the simulation, shared by its source files.
 */
#ifndef BENCH_WORLD_PARTS_H
#define BENCH_WORLD_PARTS_H

#include "random.h"
#include "world.h"

#include "request/hop.h"

/* Mean time between two gossip messages of a daemon. */
#define WLD_EXCHANGE_US (250 * 1000)
/* Membership reports that a daemon passes on, and how long it does so. */
#define WLD_WORDS 4
#define WLD_WORD_AGE_US (5 * CLOCK_US_PER_S)
/* The engines are spread evenly over these data centres. */
#define WLD_CENTERS 3

typedef struct wld wld_t;
typedef struct wld_engine wld_engine_t;
typedef struct wld_flight wld_flight_t;

/**
 * struct wld_view - the host list as a group of daemons knows it
 * @engines, @details: the live engines, @count of each
 * @live_hashes: set of the hashes of the live engines
 * @lag_us: delay of changes of the platform's list until this view
 */
typedef struct
{
  membership_t *members;
  rendezvous_engine_t *engines;
  candidates_engine_t *details;
  uint32_t count;
  GHashTable *live_hashes;
  uint64_t lag_us;
  wld_t *sim;
} wld_view_t;

/**
 * struct wld_daemon - state of a daemon for gossip
 * @mean: load samples that it has received
 * @engine: its engine; NULL for a router
 * @reports, @reports_heard_us: ring of the latest membership reports that it passes on, and when it
 *   received them
 * @next_report: index of the oldest one
 */
typedef struct
{
  wld_view_t *view;
  load_samples_t *mean;
  wld_engine_t *engine;
  membership_report_t reports[WLD_WORDS];
  uint64_t reports_heard_us[WLD_WORDS];
  uint32_t next_report;
} wld_daemon_t;

/**
 * struct wld_router - a router
 * @samples: load samples from gossip and from answers
 * @in_flight: its own requests at each engine
 * @now_us: the time for a callback of candidates_choose()
 */
typedef struct
{
  wld_daemon_t daemon;
  load_samples_t samples;
  health_t *health;
  forwarding_budget_t budget;
  in_flight_counts_t *in_flight;
  uint64_t now_us;
} wld_router_t;

/**
 * struct wld_engine - an engine with its sidecar
 * @hash: hash of its name
 * @running: requests that it runs, of wld_flight_t
 * @incarnation: number of its starts
 * @sequence: number of its latest membership report in this incarnation
 * @present: whether it is started
 * @reachable: whether any daemon can reach it
 * @blocked_for_routers: routers can't send requests to it, while its gossip arrives
 * @counted: whether its load is part of the true mean
 */
struct wld_engine
{
  wld_daemon_t daemon;
  char name[LIMIT_NAME_BYTES];
  uint64_t hash;
  uint32_t index;
  admission_t *admission;
  cch_t *cache;
  GQueue running;
  uint64_t incarnation;
  uint32_t sequence;
  bool present;
  bool reachable;
  bool blocked_for_routers;
  bool leaving;
  bool counted;
};

/**
 * struct wld_flight - a client's request, over all its attempts
 * @request: its state in admission; the first field, so that a pointer to it is one to the call
 * @engine: the engine that runs it, or ran it last
 * @arrived_us: when the client sent it
 * @first_token_us: when its first output token comes; 0 until an engine has started it
 * @hops: attempts so far
 * @completion: data of the event that ends it on its engine
 * @link: its place in the engine's @running
 */
struct wld_flight
{
  admission_request_t request;
  forwarding_t forwarding;
  wkl_session_t *session;
  wkl_turn_t turn;
  wld_router_t *router;
  wld_engine_t *engine;
  uint64_t arrived_us;
  uint64_t first_token_us;
  uint32_t hops;
  void *completion;
  GList link;
};

/**
 * struct wld_true - true loads of all engines that are counted
 * @engines_with_load: number of engines for each load below @load_limit
 * @count: number of engines
 * @max, @sum: maximum and sum of the loads
 */
typedef struct
{
  uint32_t *engines_with_load;
  uint32_t load_limit;
  uint32_t count;
  uint32_t max;
  uint64_t sum;
} wld_true_t;

/**
 * struct wld - the state of a run
 * @end_us: end of the measurement; after it no requests arrive
 * @random_sessions, @random_surge, @random_events: states of the random streams of the ordinary
 *   sessions, of a surge's sessions, and of everything else
 * @engines: all engines, including those that join later
 */
struct wld
{
  wld_options_t options;
  fig_t *figures;
  evt_queue_t events;
  uint64_t now_us;
  uint64_t end_us;
  uint64_t service_hash;
  uint64_t account_hash[WKL_ACCOUNTS];
  uint64_t random_sessions;
  uint64_t random_surge;
  uint64_t random_events;
  wld_engine_t *engines;
  uint32_t engine_count;
  wld_router_t *routers;
  wld_view_t *views;
  uint32_t view_count;
  GHashTable *engines_by_hash;
  wld_true_t loads;
  bool surging;
};

/** enum evt_kind - what happens at an event */
typedef enum
{
  EVT_SESSION,       /* a session arrives */
  EVT_SURGE_SESSION, /* a session of a surge arrives */
  EVT_RETURN,        /* the next turn of a session */
  EVT_FINISH,        /* an engine has completed a request */
  EVT_EXCHANGE,      /* a daemon sends a gossip message */
  EVT_FAULT,         /* an action of the fault */
  EVT_LIST           /* a change of the host list arrives at a view */
} evt_kind_t;

/** wld_measured() - whether the current time is within the measurement */
static inline bool
wld_measured (const wld_t *sim)
{
  return sim->now_us >= sim->options.warm_up_us && sim->now_us < sim->end_us;
}

/* world_engine.c */
/** eng_open() - starts an engine with an empty cache; @joined: while the fleet runs */
void eng_open (wld_t *sim, wld_engine_t *engine, bool joined);
/** eng_configure() - applies the number of live engines that its view has */
void eng_configure (wld_t *sim, wld_engine_t *engine);
/** eng_close() - stops an engine that runs no requests */
void eng_close (wld_t *sim, wld_engine_t *engine);
/** eng_leave() - starts to drain an engine, which stops when its requests have ended */
void eng_leave (wld_t *sim, wld_engine_t *engine);
/** eng_crash() - stops an engine at once; its requests are lost */
void eng_crash (wld_t *sim, wld_engine_t *engine);
/** eng_offer() - Return: whether the engine runs or queues the request; else @decision says why */
bool
eng_offer (wld_t *sim, wld_engine_t *engine, wld_flight_t *call, admission_decision_t *decision);
/** eng_finish() - ends a request, unless its engine has crashed; @completion is freed */
void eng_finish (wld_t *sim, void *completion);
/** eng_pump() - rejects and starts queued requests, as is due after each event of an admission_t */
void eng_pump (wld_t *sim, wld_engine_t *engine);
/** eng_count() - adds an engine to the true mean or removes it */
void eng_count (wld_t *sim, wld_engine_t *engine, bool counted);

/* world_router.c */
void rtr_open (wld_t *sim, wld_router_t *router, uint32_t index);
void rtr_close (wld_router_t *router);
/** rtr_begin() - sends the next request of @session */
void rtr_begin (wld_t *sim, wld_router_t *router, wkl_session_t *session);
/** rtr_refused() - an engine has rejected a request that it had queued */
void rtr_refused (wld_t *sim, wld_flight_t *call, const admission_decision_t *decision);
/** rtr_lost() - the engine of a request has crashed */
void rtr_lost (wld_t *sim, wld_flight_t *call);
/** rtr_answered() - a request has its whole answer */
void rtr_answered (wld_t *sim, wld_flight_t *call);

/* world_list.c */
void lst_open (wld_t *sim, wld_view_t *view);
void lst_close (wld_view_t *view);
/** lst_change() - changes the platform's list, which arrives at each view after the view's lag */
void lst_change (wld_t *sim, const wld_engine_t *engine, membership_state_t state);
/** lst_arrive() - applies a change of the list to a view; frees @change */
void lst_arrive (wld_t *sim, wld_view_t *view, void *change);
/** lst_hear() - a daemon receives a membership report */
void lst_hear (wld_t *sim, wld_daemon_t *daemon, const membership_report_t *report);
/** lst_rebuild() - updates the engines of a view after a change of its members */
void lst_rebuild (wld_t *sim, wld_view_t *view);
/** lst_is_live() - whether an engine is live in @view, a wld_view_t */
bool lst_is_live (uint64_t engine_hash, void *view);
/** lst_exchange() - a gossip message of daemon @number to a random one, and the reply */
void lst_exchange (wld_t *sim, uint32_t number);
/** lst_daemon() - the daemon @number; sidecars come before routers */
wld_daemon_t *lst_daemon (wld_t *sim, uint32_t number);
uint32_t lst_daemon_count (const wld_t *sim);
/** lst_tell() - sends membership reports and load samples, if both daemons are reachable */
void lst_tell (wld_t *sim, wld_daemon_t *from, wld_daemon_t *to);

/* world_fault.c */
/** flt_plan() - schedules the actions of the run's fault */
void flt_plan (wld_t *sim);
/** flt_happen() - runs an action of the fault; @engine may be NULL where it concerns none */
void flt_happen (wld_t *sim, uint32_t action, wld_engine_t *engine);
/** flt_session() - starts a session, and schedules the arrival of the next one */
void flt_session (wld_t *sim, bool of_surge);

#endif
