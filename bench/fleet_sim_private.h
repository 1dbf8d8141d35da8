/**
 * DOC: fleet_sim_private
 *
 * Internals of the simulation, shared by its source files.
 */
#ifndef BENCH_FLEET_SIM_PRIVATE_H
#define BENCH_FLEET_SIM_PRIVATE_H

#include "random.h"
#include "fleet_sim.h"

#include "request/hop.h"

/* Mean time between two gossip messages of a daemon. */
#define FLEET_SIM_GOSSIP_INTERVAL_US (250 * 1000)
/* Membership reports that a daemon passes on, and how long it does so. */
#define FLEET_SIM_REPORTS 4
#define FLEET_SIM_REPORT_MAX_AGE_US (5 * CLOCK_US_PER_S)
/* The engines are spread evenly over these data centres. */
#define FLEET_SIM_DATA_CENTERS 3

typedef struct fleet_sim fleet_sim_t;
typedef struct fleet_sim_engine fleet_sim_engine_t;
typedef struct fleet_sim_call fleet_sim_call_t;

/**
 * struct fleet_sim_view - the host list as a group of daemons knows it
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
  fleet_sim_t *sim;
} fleet_sim_view_t;

/**
 * struct fleet_sim_daemon - state of a daemon for gossip
 * @mean: load samples that it has received
 * @engine: its engine; NULL for a router
 * @reports, @reports_heard_us: ring of the latest membership reports that it passes on, and when it
 *   received them
 * @next_report: index of the oldest one
 */
typedef struct
{
  fleet_sim_view_t *view;
  load_samples_t *mean;
  fleet_sim_engine_t *engine;
  membership_report_t reports[FLEET_SIM_REPORTS];
  uint64_t reports_heard_us[FLEET_SIM_REPORTS];
  uint32_t next_report;
} fleet_sim_daemon_t;

/**
 * struct fleet_sim_router - a router
 * @samples: load samples from gossip and from answers
 * @in_flight: its own requests at each engine
 * @now_us: the time for a callback of candidates_choose()
 */
typedef struct
{
  fleet_sim_daemon_t daemon;
  load_samples_t samples;
  health_t *health;
  forwarding_budget_t budget;
  in_flight_counts_t *in_flight;
  uint64_t now_us;
} fleet_sim_router_t;

/**
 * struct fleet_sim_engine - an engine with its sidecar
 * @hash: hash of its name
 * @running: requests that it runs, of fleet_sim_call_t
 * @incarnation: number of its starts
 * @sequence: number of its latest membership report in this incarnation
 * @present: whether it is started
 * @reachable: whether any daemon can reach it
 * @blocked_for_routers: routers can't send requests to it, while its gossip arrives
 * @counted: whether its load is part of the true mean
 */
struct fleet_sim_engine
{
  fleet_sim_daemon_t daemon;
  char name[LIMIT_NAME_BYTES];
  uint64_t hash;
  uint32_t index;
  admission_t *admission;
  cache_model_t *cache;
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
 * struct fleet_sim_call - a client's request, over all its attempts
 * @request: its state in admission; the first field, so that a pointer to it is one to the call
 * @engine: the engine that runs it, or ran it last
 * @arrived_us: when the client sent it
 * @first_token_us: when its first output token comes; 0 until an engine has started it
 * @hops: attempts so far
 * @completion: data of the event that ends it on its engine
 * @link: its place in the engine's @running
 */
struct fleet_sim_call
{
  admission_request_t request;
  forwarding_t forwarding;
  workload_session_t *session;
  workload_turn_t turn;
  fleet_sim_router_t *router;
  fleet_sim_engine_t *engine;
  uint64_t arrived_us;
  uint64_t first_token_us;
  uint32_t hops;
  void *completion;
  GList link;
};

/**
 * struct fleet_sim_loads - true loads of all engines that are counted
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
} fleet_sim_loads_t;

/**
 * struct fleet_sim - the state of a run
 * @end_us: end of the measurement; after it no requests arrive
 * @random_sessions, @random_surge, @random_events: states of the random streams of the ordinary
 *   sessions, of a surge's sessions, and of everything else
 * @engines: all engines, including those that join later
 */
struct fleet_sim
{
  fleet_sim_options_t options;
  figures_t *figures;
  event_queue_t events;
  uint64_t now_us;
  uint64_t end_us;
  uint64_t service_hash;
  uint64_t account_hash[WORKLOAD_ACCOUNTS];
  uint64_t random_sessions;
  uint64_t random_surge;
  uint64_t random_events;
  fleet_sim_engine_t *engines;
  uint32_t engine_count;
  fleet_sim_router_t *routers;
  fleet_sim_view_t *views;
  uint32_t view_count;
  GHashTable *engines_by_hash;
  fleet_sim_loads_t loads;
  bool surging;
};

/** enum fleet_sim_event_kind - what happens at an event */
typedef enum
{
  FLEET_SIM_EVENT_SESSION,       /* a session arrives */
  FLEET_SIM_EVENT_SURGE_SESSION, /* a session of a surge arrives */
  FLEET_SIM_EVENT_NEXT_TURN,     /* the next turn of a session */
  FLEET_SIM_EVENT_COMPLETION,    /* an engine has completed a request */
  FLEET_SIM_EVENT_GOSSIP,        /* a daemon sends a gossip message */
  FLEET_SIM_EVENT_FAULT,         /* an action of the fault */
  FLEET_SIM_EVENT_LIST_CHANGE    /* a change of the host list arrives at a view */
} fleet_sim_event_kind_t;

/** fleet_sim_is_measured() - whether the current time is within the measurement */
static inline bool
fleet_sim_is_measured (const fleet_sim_t *sim)
{
  return sim->now_us >= sim->options.warm_up_us && sim->now_us < sim->end_us;
}

/* fleet_sim_engine.c */
/** fleet_sim_engine_start() - starts an engine with an empty cache; @joined: while the fleet runs
 */
void fleet_sim_engine_start (fleet_sim_t *sim, fleet_sim_engine_t *engine, bool joined);
/** fleet_sim_engine_configure() - applies the number of live engines that its view has */
void fleet_sim_engine_configure (fleet_sim_t *sim, fleet_sim_engine_t *engine);
/** fleet_sim_engine_stop() - stops an engine that runs no requests */
void fleet_sim_engine_stop (fleet_sim_t *sim, fleet_sim_engine_t *engine);
/** fleet_sim_engine_drain() - starts to drain an engine, which stops when its requests have ended
 */
void fleet_sim_engine_drain (fleet_sim_t *sim, fleet_sim_engine_t *engine);
/** fleet_sim_engine_crash() - stops an engine at once; its requests are lost */
void fleet_sim_engine_crash (fleet_sim_t *sim, fleet_sim_engine_t *engine);
/** fleet_sim_engine_offer() - Return: whether the engine runs or queues the request; else @decision
 * says why */
bool fleet_sim_engine_offer (fleet_sim_t *sim,
                             fleet_sim_engine_t *engine,
                             fleet_sim_call_t *call,
                             admission_decision_t *decision);
/** fleet_sim_engine_complete() - ends a request, unless its engine has crashed; @completion is
 * freed */
void fleet_sim_engine_complete (fleet_sim_t *sim, void *completion);
/** fleet_sim_engine_run_queue() - rejects and starts queued requests, as is due after each event of
 * an admission_t */
void fleet_sim_engine_run_queue (fleet_sim_t *sim, fleet_sim_engine_t *engine);
/** fleet_sim_engine_set_counted() - adds an engine to the true mean or removes it */
void fleet_sim_engine_set_counted (fleet_sim_t *sim, fleet_sim_engine_t *engine, bool counted);

/* fleet_sim_router.c */
void fleet_sim_router_init (fleet_sim_t *sim, fleet_sim_router_t *router, uint32_t index);
void fleet_sim_router_clear (fleet_sim_router_t *router);
/** fleet_sim_router_send() - sends the next request of @session */
void
fleet_sim_router_send (fleet_sim_t *sim, fleet_sim_router_t *router, workload_session_t *session);
/** fleet_sim_router_handle_refusal() - an engine has rejected a request that it had queued */
void fleet_sim_router_handle_refusal (fleet_sim_t *sim,
                                      fleet_sim_call_t *call,
                                      const admission_decision_t *decision);
/** fleet_sim_router_handle_loss() - the engine of a request has crashed */
void fleet_sim_router_handle_loss (fleet_sim_t *sim, fleet_sim_call_t *call);
/** fleet_sim_router_handle_answer() - a request has its whole answer */
void fleet_sim_router_handle_answer (fleet_sim_t *sim, fleet_sim_call_t *call);

/* fleet_sim_gossip.c */
void fleet_sim_view_init (fleet_sim_t *sim, fleet_sim_view_t *view);
void fleet_sim_view_clear (fleet_sim_view_t *view);
/** fleet_sim_change_list() - changes the platform's list, which arrives at each view after the
 * view's lag */
void fleet_sim_change_list (fleet_sim_t *sim,
                            const fleet_sim_engine_t *engine,
                            membership_state_t state);
/** fleet_sim_view_apply_change() - applies a change of the list to a view; frees @change */
void fleet_sim_view_apply_change (fleet_sim_t *sim, fleet_sim_view_t *view, void *change);
/** fleet_sim_receive_report() - a daemon receives a membership report */
void fleet_sim_receive_report (fleet_sim_t *sim,
                               fleet_sim_daemon_t *daemon,
                               const membership_report_t *report);
/** fleet_sim_view_rebuild() - updates the engines of a view after a change of its members */
void fleet_sim_view_rebuild (fleet_sim_t *sim, fleet_sim_view_t *view);
/** fleet_sim_view_has_engine() - whether an engine is live in @view, a fleet_sim_view_t */
bool fleet_sim_view_has_engine (uint64_t engine_hash, void *view);
/** fleet_sim_exchange_gossip() - a gossip message of daemon @number to a random one, and the reply
 */
void fleet_sim_exchange_gossip (fleet_sim_t *sim, uint32_t number);
/** fleet_sim_daemon_at() - the daemon @number; sidecars come before routers */
fleet_sim_daemon_t *fleet_sim_daemon_at (fleet_sim_t *sim, uint32_t number);
uint32_t fleet_sim_daemon_count (const fleet_sim_t *sim);
/** fleet_sim_send_gossip() - sends membership reports and load samples, if both daemons are
 * reachable */
void fleet_sim_send_gossip (fleet_sim_t *sim, fleet_sim_daemon_t *from, fleet_sim_daemon_t *to);

/* fleet_sim_fault.c */
/** fleet_sim_schedule_fault() - schedules the actions of the run's fault */
void fleet_sim_schedule_fault (fleet_sim_t *sim);
/** fleet_sim_run_fault_action() - runs an action of the fault; @engine may be NULL where it
 * concerns none */
void fleet_sim_run_fault_action (fleet_sim_t *sim, uint32_t action, fleet_sim_engine_t *engine);
/** fleet_sim_start_session() - starts a session, and schedules the arrival of the next one */
void fleet_sim_start_session (fleet_sim_t *sim, bool of_surge);

#endif
