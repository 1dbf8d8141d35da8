/**
 * DOC: fleet
 *
 * Thousands of control tasks in one process and in virtual time, for the bench of how news spread.
 * Each is the daemon's own control task (src/process/control*.c); the fakes here stand in for its
 * UDP socket, the platform and the fetch of a manifest over HTTP. Datagrams take a fixed time, a
 * fixed share of them is lost, hosts can stop and regions can be cut apart; nothing else of a
 * network is modelled.
 *
 * A table of 4,580 hosts takes 2.5 MB in each daemon, too much for 4,580 of them in one process.
 * So all daemons of the fleet share one snapshot of the members, and each keeps words only of the
 * few hosts that the bench watches. Words of the others count as news each time, are not passed on,
 * and no daemon rebuilds its snapshot.
 */
#ifndef BENCH_SPREAD_FLEET_H
#define BENCH_SPREAD_FLEET_H

#include "../events.h"
#include "connection/budget.h"
#include "process/control_private.h"

#define FLT_DATA_CENTERS 12
#define FLT_REGIONS 4
#define FLT_SERVICES 3

/**
 * struct flt_options - options of flt_new()
 * @engines: sidecars, spread over the data centres and services in turn
 * @lost_percent: of datagrams
 * @watched: of how many sidecars, from the first on, each daemon keeps the words
 */
typedef struct
{
  uint32_t engines;
  uint32_t routers;
  uint32_t lost_percent;
  uint32_t interval_ms;
  uint32_t budget_bytes;
  uint32_t watched;
  uint64_t seed;
} flt_options_t;

typedef struct flt flt_t;

/**
 * struct flt_node - one daemon
 * @dmn: goes first, so that the fake exchange finds the node
 * @heard_us: when it first had what the bench waits for, 0 before
 * @sent, @sent_bytes: datagrams
 * @bias, @phase, @period_us: of the load of its engine over time
 */
typedef struct
{
  dmn_t dmn;
  flt_t *flt;
  ctrl_t *ctrl;
  uint32_t index;
  uint32_t data_center;
  uint32_t service;
  bool stopped;
  uint64_t heard_us;
  uint64_t sent;
  uint64_t sent_bytes;
  double bias;
  double phase;
  double period_us;
} flt_node_t;

/** struct flt_counts - of all daemons together */
typedef struct
{
  uint64_t datagrams;
  uint64_t exchange_bytes;
  uint64_t charged_bytes;
  uint64_t held_back;
  uint64_t list_reads;
  uint64_t log_reads;
  uint64_t fetches;
} flt_counts_t;

/**
 * struct flt - the fleet
 * @plt: goes first, so that the fake platform finds the fleet
 * @man: in force at the end of the log, @log_end
 * @members: what the platform's list says
 * @has_heard: what the bench waits for; NULL for nothing
 * @cut_region: the region that is cut off from the others and the platform, or -1
 * @ramp_us: from when on loads rise, 0 for never
 */
struct flt
{
  plt_t plt;
  flt_options_t options;
  struct event_base *base;
  cnt_set_t *counters;
  mbx_t *mailbox;
  mem_t *dummy;
  flt_node_t *nodes;
  uint32_t count;
  uint64_t now_us;
  uint64_t random;
  evt_queue_t events;
  man_t *man;
  uint64_t log_end;
  mem_snapshot_t *members;
  mem_listed_t *listed;
  uint64_t list_revision;
  int32_t cut_region;
  uint64_t ramp_us;
  flt_counts_t counts;
  bool (*has_heard) (const flt_node_t *node, void *context);
  void *context;
};

typedef enum
{
  FLT_TIMER,
  FLT_TICK,
  FLT_DATAGRAM,
  FLT_READ,
  FLT_HOSTS,
  FLT_FETCH
} flt_event_t;

/** flt_new() - a fleet whose daemons have heard all, under version 1 */
flt_t *flt_new (const flt_options_t *options);
void flt_free (flt_t *flt);
/** flt_run() - for @span_us, or until all that run have heard when @until_heard */
void flt_run (flt_t *flt, uint64_t span_us, bool until_heard);
/** flt_wait_for() - from now on; what was heard before does not count */
void
flt_wait_for (flt_t *flt, bool (*has_heard) (const flt_node_t *node, void *context), void *context);
/** flt_publish() - append another version to the log */
void flt_publish (flt_t *flt);
/** flt_list() - put hosts [@first, @end) of one data centre, or -1 for all, on the list as @state
 */
void flt_list (flt_t *flt, int32_t data_center, mem_state_t state);
/** flt_stop() - the daemons of a data centre stop, without a word */
void flt_stop (flt_t *flt, uint32_t data_center);
double flt_load (const flt_node_t *node);
/** flt_enter() - before any call into a daemon */
void flt_enter (flt_node_t *node);

/* exchange.c, the fake of connection/exchange.h */
void flt_exchange_timer (flt_node_t *node);
void flt_exchange_datagram (flt_node_t *node, void *data);
void flt_exchange_drop (void *data);

/* platform.c, the fake of connection/platform.h and of the fetch from a peer */
void flt_platform_init (flt_t *flt);
void flt_platform_read (flt_node_t *node, void *data);
void flt_platform_hosts (flt_node_t *node, void *data);
void flt_fetch_end (flt_node_t *node, void *data);

#endif
