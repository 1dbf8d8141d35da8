/**
 * DOC: settings
 *
 * Settings of a daemon, read from command-line flags (--name VALUE) and environment variables
 * (MEDLARPLANK_NAME). A flag takes precedence over the environment. All settings are checked at
 * start. They are declared in settings_table.c; a test compares docs/settings.md with that table.
 */
#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include "base/limits.h"
#include "base/log.h"
#include "base/region_map.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PROGRAM_VERSION "0.1.0"
#define SETTINGS_SEEDS_MAX 8 /* most addresses in the setting "seeds" */

typedef enum
{
  SETTINGS_ROLE_ROUTER,
  SETTINGS_ROLE_SIDECAR,
  SETTINGS_ROLE_GATEWAY /* a router that calls engines itself, without sidecars */
} settings_role_t;

/**
 * struct address - an IP address and a port; host names are not supported
 * @ip: in the form of inet_ntop(), so that equal addresses compare equal
 * @port: 0 if the address is not set
 */
typedef struct
{
  char ip[46];
  uint16_t port;
} address_t;

/**
 * struct settings - settings of a daemon
 * @role: what kind of daemon this process is
 * @name: host name in the platform's host list; a sidecar uses the name of its engine
 * @data_center: data centre of the host
 * @region: region of the data centre
 * @regions: gateway only: the regions of all data centres
 * @listen: HTTP listener for callers (router, gateway) or for routers (sidecar)
 * @exchange: UDP address for messages between daemons
 * @platform: address of the platform's log and host list
 * @engine: sidecar only: the engine on the same host
 * @ready_listen: gateway only: HTTP listener for readiness checks by the load balancer
 * @control_listen: gateway only: HTTP listener for metrics and for requests of other gateways
 * @seeds: gateway only: control addresses of other gateways, some of which may be down
 * @seed_count: number of @seeds
 * @first_start: gateway only: the whole fleet is being started for the first time, so that this
 *   gateway waits for peers before it reads the platform
 * @shared_room: gateway only: decides for plain services with few slots by what all gateways share
 * @retry_ratio_milli: gateway only: retries allowed per thousand requests of a service, by all
 *   gateways together
 * @retry_slack_milli: gateway only: thousandths of retries allowed per window in addition, by all
 *   gateways together
 * @retry_window_ms: gateway only: length of the window in which retries are counted
 * @version_ms: gateway only: time within which a new configuration version must be in force
 * @renewal_ms: gateway only: interval at which engines renew their registry entries
 * @drain_ms: gateway only: time within which a leaving engine must receive no more requests
 * @center_drain_ms: gateway only: likewise for the engines of a data centre that is drained
 * @stream_backups: gateway only: the caches of streams are copied to other engines where engines
 *   were lost lately
 * @local_part_homes: gateway only: small or popular parts have homes in each data centre
 * @part_directory: gateway only: engines are chosen by the prompt parts they are known to hold
 * @grace_ms: gateway only: time from a stop signal until the process is killed
 * @fleet_key: shared secret of all daemons, at least 16 bytes
 * @log_level: less severe lines are not logged
 * @body_limit_bytes: largest body of a request
 * @header_limit_bytes: largest request line and headers of a request
 * @header_limit_count: most headers of a request
 * @connection_limit: most open connections to the HTTP listener
 * @memory_mb: memory that the process may take, in MiB
 * @file_limit: most open files of the process, 0 for what the system allows
 * @idle_timeout_ms: a connection without a request is closed after this time
 * @exchange_interval_ms: between two messages that a daemon initiates
 * @list_interval_ms: between two reads of the platform's host list
 * @control_budget_bytes: bytes per second that a daemon may send as control traffic
 * @claim_horizon_s: how long an idempotency key is remembered
 * @log_retention_s: how long the platform's log keeps a record
 */
typedef struct
{
  settings_role_t role;
  char name[LIMIT_NAME_BYTES];
  char data_center[LIMIT_NAME_BYTES];
  char region[LIMIT_NAME_BYTES];
  region_map_t regions;
  address_t listen;
  address_t exchange;
  address_t platform;
  address_t engine;
  address_t ready_listen;
  address_t control_listen;
  address_t seeds[SETTINGS_SEEDS_MAX];
  uint32_t seed_count;
  bool first_start;
  bool shared_room;
  uint32_t retry_ratio_milli;
  uint32_t retry_slack_milli;
  uint32_t retry_window_ms;
  uint32_t version_ms;
  uint32_t renewal_ms;
  uint32_t drain_ms;
  uint32_t center_drain_ms;
  bool stream_backups;
  bool part_directory;
  bool local_part_homes;
  uint32_t grace_ms;
  char fleet_key[128];
  log_level_t log_level;
  uint32_t body_limit_bytes;
  uint32_t header_limit_bytes;
  uint32_t header_limit_count;
  uint32_t connection_limit;
  uint32_t file_limit;
  uint32_t memory_mb;
  uint32_t idle_timeout_ms;
  uint32_t exchange_interval_ms;
  uint32_t list_interval_ms;
  uint32_t control_budget_bytes;
  uint32_t claim_horizon_s;
  uint32_t log_retention_s;
} settings_t;

typedef enum
{
  SETTINGS_RUN,          /* the settings are valid: run the daemon */
  SETTINGS_EXIT_SUCCESS, /* --help, --version or --check-settings is done: exit with status 0 */
  SETTINGS_EXIT_USAGE    /* a setting is invalid: print @error and exit with status 2 */
} settings_outcome_t;

/**
 * settings_load() - read the settings from flags and environment, and check them
 * @settings: filled in
 * @argc: number of arguments, including the program name
 * @argv: arguments; getopt_long() keeps pointers into it
 * @environ_get: looks up an environment variable; getenv() in the daemon
 * @error: set for SETTINGS_EXIT_USAGE, to the setting, its value and the allowed values
 */
settings_outcome_t settings_load (settings_t *settings,
                                  int argc,
                                  char **argv,
                                  const char *(*environ_get) (const char *name),
                                  GError **error);

/** address_parse() - parse "IP:PORT" or "[IPv6]:PORT". Return: false with @error if it is
 * neither */
bool address_parse (const char *text, address_t *address, GError **error);
/** address_to_text() - format as address_parse() reads it, or "" if not set. Return: the text,
 * to be freed with g_free() */
char *address_to_text (const address_t *address);

/** settings_held_bytes() - the part of the memory that is for requests */
uint64_t settings_held_bytes (const settings_t *settings);

#endif
