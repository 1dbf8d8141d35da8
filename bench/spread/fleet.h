/**
 * DOC: fleet
 *
 * Simulates thousands of daemons in one process and in virtual time, to measure how fast
 * information propagates between them. Each daemon runs the product's control task
 * (src/process/control*.c); the UDP socket, the platform and the download of a manifest over HTTP
 * are replaced by fakes. Datagrams have a fixed delay and a fixed loss rate, hosts can stop, and a
 * region can be partitioned from the others; no other property of a network is modelled.
 *
 * A member table of 4,580 hosts takes 2.5 MB per daemon, too much for 4,580 daemons in one process.
 * So all daemons share one snapshot of the members, and the table of each daemon has only the few
 * hosts that the benchmark watches. A daemon treats statements about any other host as new each
 * time that it receives them, does not forward them, and never rebuilds its snapshot.
 */
#ifndef BENCH_SPREAD_FLEET_H
#define BENCH_SPREAD_FLEET_H

#include "../event_queue.h"
#include "connection/byte_budget.h"
#include "process/control_private.h"

#define FLEET_DATA_CENTERS 12
#define FLEET_REGIONS 4 /* data centre i is in region i modulo this */
#define FLEET_SERVICES 3

/**
 * struct fleet_options - options of fleet_sim_new()
 * @engines: number of sidecars, each with an engine; assigned to the data centres and services by
 *   round robin
 * @routers: number of routers, assigned to the data centres likewise
 * @lost_percent: share of datagrams that are lost
 * @interval_ms: mean time between two exchanges that a daemon starts
 * @budget_bytes: bytes per second that a daemon may send
 * @watched: number of sidecars, from the first on, that each daemon has in its member table
 * @seed: of the random numbers; runs with equal options are identical
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
} fleet_options_t;

typedef struct flt flt_t;

/**
 * struct fleet_node - one daemon
 * @daemon: must be the first member: the fakes cast a pointer to it to the node
 * @ctrl: its control task
 * @index: its number in the fleet; sidecars come before routers
 * @service: index of the service of its engine; not used for a router
 * @stopped: it handles no event and receives nothing any more
 * @received_us: when it first had the information that fleet_wait_for() names, 0 before
 * @sent: datagrams sent
 * @sent_bytes: bytes of these datagrams, with headers
 * @load_factor: average load of its engine, relative to that of all engines
 * @load_phase: phase of the load's periodic variation, in periods
 * @load_period_us: period of that variation
 */
typedef struct
{
  daemon_t daemon;
  flt_t *flt;
  control_t *ctrl;
  uint32_t index;
  uint32_t data_center;
  uint32_t service;
  bool stopped;
  uint64_t received_us;
  uint64_t sent;
  uint64_t sent_bytes;
  double load_factor;
  double load_phase;
  double load_period_us;
} fleet_node_t;

/**
 * struct fleet_counts - totals of all daemons since the start of the fleet
 * @datagrams: datagrams sent, including lost ones
 * @exchange_bytes: bytes of these datagrams, with headers
 * @charged_bytes: estimated bytes of requests to the platform and to peers
 * @over_budget: datagrams not sent because the daemon's bandwidth budget was used up
 * @list_reads: requests for the list of hosts
 * @log_reads: requests for records of a log of the platform
 * @fetches: downloads of a manifest from a peer
 */
typedef struct
{
  uint64_t datagrams;
  uint64_t exchange_bytes;
  uint64_t charged_bytes;
  uint64_t over_budget;
  uint64_t list_reads;
  uint64_t log_reads;
  uint64_t fetches;
} fleet_counts_t;

/**
 * struct flt - the fleet
 * @platform: must be the first member: the fake platform casts a pointer to it to the fleet
 * @base: event loop of the control tasks; the simulation drives it
 * @counters: shared by all daemons
 * @mailbox: receives and drops messages to the data tasks
 * @empty_members: an empty member table, which takes the changes of list reads
 * @nodes: the daemons
 * @count: number of @nodes
 * @now_us: virtual time
 * @random: state of the random numbers
 * @events: what happens next
 * @manifest: the manifest in force at the end of the log
 * @log_end: offset after the last record of the log
 * @members: snapshot of the hosts that the platform lists
 * @listed: the list of hosts, by index of the node
 * @list_revision: revision of that list
 * @cut_region: region partitioned from the others and from the platform, or -1
 * @ramp_us: when loads begin to rise to twice their level, 0 for never
 * @counts: totals of all daemons
 * @has_received: whether a node has the information that is waited for; NULL when nothing is
 * @context: of @has_received
 */
struct flt
{
  platform_t platform;
  fleet_options_t options;
  struct event_base *base;
  counter_registry_t *counters;
  mailbox_t *mailbox;
  membership_t *empty_members;
  fleet_node_t *nodes;
  uint32_t count;
  uint64_t now_us;
  uint64_t random;
  event_queue_t events;
  manifest_t *manifest;
  uint64_t log_end;
  membership_snapshot_t *members;
  membership_list_entry_t *listed;
  uint64_t list_revision;
  int32_t cut_region;
  uint64_t ramp_us;
  fleet_counts_t counts;
  bool (*has_received) (const fleet_node_t *node, void *context);
  void *context;
};

/**
 * enum fleet_event - kinds of events; each concerns one node
 * @FLEET_EVENT_EXCHANGE: the node starts an exchange with a peer
 * @FLEET_EVENT_TICK: periodic work of the control task
 * @FLEET_EVENT_DATAGRAM: a datagram arrives at the node
 * @FLEET_EVENT_LOG_READ: the platform's answer to a read of the log arrives
 * @FLEET_EVENT_HOST_LIST: the platform's answer with the list of hosts arrives
 * @FLEET_EVENT_FETCH: a manifest from a peer arrives
 */
typedef enum
{
  FLEET_EVENT_EXCHANGE,
  FLEET_EVENT_TICK,
  FLEET_EVENT_DATAGRAM,
  FLEET_EVENT_LOG_READ,
  FLEET_EVENT_HOST_LIST,
  FLEET_EVENT_FETCH
} fleet_event_t;

/** fleet_sim_new() - Return: a fleet whose daemons all run, with a platform that lists all hosts
 * and has one version of the manifest */
flt_t *fleet_sim_new (const fleet_options_t *options);
void fleet_sim_free (flt_t *fleet);
/** fleet_run() - advances virtual time by @span_us; with @until_received it stops as soon as all
 * running daemons have the information that fleet_wait_for() names */
void fleet_run (flt_t *fleet, uint64_t span_us, bool until_received);
/** fleet_wait_for() - sets the information to wait for and resets @received_us of all nodes;
 * @has_received is asked after each event of a node */
void fleet_wait_for (flt_t *fleet,
                     bool (*has_received) (const fleet_node_t *node, void *context),
                     void *context);
/** fleet_publish_version() - publishes another version of the manifest: appends it to the
 * platform's log */
void fleet_publish_version (flt_t *fleet);
/** fleet_list_hosts() - sets the state of all hosts of @data_center, or of all hosts if it is -1,
 * in the platform's list, and publishes a new revision of the list */
void fleet_list_hosts (flt_t *fleet, int32_t data_center, membership_state_t state);
/** fleet_stop_data_center() - stops all daemons of @data_center without notice to the others */
void fleet_stop_data_center (flt_t *fleet, uint32_t data_center);
/** fleet_node_load() - Return: the load of the engine of @node now, in running requests */
double fleet_node_load (const fleet_node_t *node);
/** fleet_set_clock() - sets the clock of @node to virtual time; to be called before any call into
 * it */
void fleet_set_clock (fleet_node_t *node);

/* The fake of connection/exchange.h */
/** fleet_start_exchange() - handles %FLEET_EVENT_EXCHANGE */
void fleet_start_exchange (fleet_node_t *node);
/** fleet_receive_datagram() - handles %FLEET_EVENT_DATAGRAM; frees @data */
void fleet_receive_datagram (fleet_node_t *node, void *data);
void fleet_drop_datagram (void *data);

/* The fake of connection/platform.h and of downloads from a peer */
/** fleet_platform_init() - sets the operations of the fake platform */
void fleet_platform_init (flt_t *fleet);
/** fleet_platform_answer_read() - handles %FLEET_EVENT_LOG_READ; frees @data, or keeps it while the
 * read waits */
void fleet_platform_answer_read (fleet_node_t *node, void *data);
/** fleet_platform_answer_hosts() - handles %FLEET_EVENT_HOST_LIST; frees @data */
void fleet_platform_answer_hosts (fleet_node_t *node, void *data);
/** fleet_end_fetch() - handles %FLEET_EVENT_FETCH; frees @data */
void fleet_end_fetch (fleet_node_t *node, void *data);

#endif
