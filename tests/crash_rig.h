/**
 * DOC: crash_rig
 *
 * Real gateways before stand-in upstreams that end under some requests and start again after a
 * moment. Half of the upstreams answer with event streams, in the service "pool", the others
 * plainly, in the service "ledger". What the upstreams ran is read from their records.
 */
#ifndef TESTS_CRASH_RIG_H
#define TESTS_CRASH_RIG_H

#include "driver.h"

#define CRASH_RIG_GATEWAYS 3
#define CRASH_RIG_UPSTREAMS 10
#define CRASH_RIG_STREAM_UPSTREAMS 5 /* the first upstreams, which answer with event streams */

/**
 * struct crash_rig_options - Options of crash_rig_start().
 * @crash_on: As in driver_upstream_t.
 * @crash_parts: Likewise.
 * @stream_events: Events of a stream; 0 is five.
 * @restart_ms: Time after which an upstream that has ended starts again.
 */
typedef struct
{
  const char *crash_on;
  const char *const *crash_parts;
  uint32_t stream_events;
  uint32_t restart_ms;
} crash_rig_options_t;

/**
 * struct crash_rig - The processes.
 * @restart_at_us: When to start an upstream that has ended; 0 while it runs.
 */
typedef struct
{
  driver_t *driver;
  crash_rig_options_t options;
  driver_process_t *gateways[CRASH_RIG_GATEWAYS];
  driver_process_t *upstreams[CRASH_RIG_UPSTREAMS];
  gint64 restart_at_us[CRASH_RIG_UPSTREAMS];
} crash_rig_t;

/** struct crash_rig_record - A line of the record of an upstream. */
typedef struct
{
  gint64 time_ms;
  char id[64];
} crash_rig_record_t;

/** crash_rig_start() - Start all processes; wait until all gateways know all upstreams. */
void crash_rig_start (crash_rig_t *rig, driver_t *driver, const crash_rig_options_t *options);
/** crash_rig_restart_upstreams() - Start each upstream that has ended again once it is time, as the
 * platform's supervisor does. */
void crash_rig_restart_upstreams (crash_rig_t *rig);
/** crash_rig_all_run() - Start upstreams as above. Return: Whether all run. */
bool crash_rig_all_run (crash_rig_t *rig);
/**
 * crash_rig_collect() - Collect records, in the order of their times.
 * @what: First field of the record.
 * @prefix: Beginning of the request id.
 * @outcome: Last field; any when it is NULL.
 * Return: Array of crash_rig_record_t, owned by the caller.
 */
GArray *crash_rig_collect (const crash_rig_t *rig,
                           const char *what,
                           const char *prefix,
                           const char *outcome);

#endif
