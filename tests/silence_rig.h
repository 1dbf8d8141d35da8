/**
 * DOC: silence_rig
 *
 * Real gateways before stand-in upstreams that fall silent and go on: their processes are stopped
 * and continued. Streams go to the service "pool", lookups and bookings to "ledger"; a changed
 * configuration may send them to the upstreams of "pool2" and "ledger2" as well.
 */
#ifndef TESTS_SILENCE_RIG_H
#define TESTS_SILENCE_RIG_H

#include "driver.h"

#define SILENCE_RIG_GATEWAYS 2
#define SILENCE_RIG_UPSTREAMS 7
/* bit sets of upstreams */
#define SILENCE_RIG_STREAMS 0x27U
#define SILENCE_RIG_LOOKUPS 0x58U
#define SILENCE_RIG_ALL 0x7fU

#define SILENCE_RIG_EVENTS 40
#define SILENCE_RIG_EVENT_MS 30
#define SILENCE_RIG_LOOKUP_MS 200
/** SILENCE_RIG_ROUTE_MS - Least timeout of a route in all configurations. */
#define SILENCE_RIG_ROUTE_MS 4600
#define SILENCE_RIG_IDLE_MS 3000 /* idle timeout of connections, at first */

/** enum silence_rig_part - Parts of the configuration that a version may change. */
typedef enum
{
  SILENCE_RIG_NOTHING,
  SILENCE_RIG_TIMEOUT,
  SILENCE_RIG_SERVICE,
  SILENCE_RIG_WEIGHTS,
  SILENCE_RIG_FEWER_ATTEMPTS,
  SILENCE_RIG_MORE_ATTEMPTS,
  SILENCE_RIG_AIM,
  SILENCE_RIG_GAP,
  SILENCE_RIG_TENANTS,
  SILENCE_RIG_IDLE_TIMEOUT,
  SILENCE_RIG_HEADER_TIMEOUT,
  SILENCE_RIG_SIZES,
  SILENCE_RIG_PARTS
} silence_rig_part_t;

/**
 * struct silence_rig - The processes.
 * @fillers: Connections that fill the backlog of a silent upstream, as descriptors; NULL for none.
 * @version: Newest version of the configuration.
 */
typedef struct
{
  driver_t *driver;
  driver_process_t *gateways[SILENCE_RIG_GATEWAYS];
  driver_process_t *upstreams[SILENCE_RIG_UPSTREAMS];
  GArray *fillers[SILENCE_RIG_UPSTREAMS];
  uint32_t version;
} silence_rig_t;

/**
 * silence_rig_start() - Start all processes; wait until the gateways know each other and all
 * upstreams.
 * @entry_ttl_ms: Time after which the store drops the entry of an upstream that does not renew it.
 */
void silence_rig_start (silence_rig_t *rig, driver_t *driver, uint32_t entry_ttl_ms);
/** silence_rig_publish() - Publish a version that differs from the first one in one part, and in
 * the idle timeout of connections. */
void silence_rig_publish (silence_rig_t *rig, silence_rig_part_t part, uint32_t idle_ms);
/** silence_rig_signal() - Send a signal to the upstreams of a bit set. */
void silence_rig_signal (silence_rig_t *rig, uint32_t set, int number);
/** silence_rig_darken() - Let the silent upstreams of a bit set take no connections, until
 * silence_rig_lighten(). */
void silence_rig_darken (silence_rig_t *rig, uint32_t set);
void silence_rig_lighten (silence_rig_t *rig, uint32_t set);
/** silence_rig_stop_upstreams() - Stop all upstreams in order, so that none runs anything later. */
void silence_rig_stop_upstreams (silence_rig_t *rig);
/** silence_rig_count_runs() - Count from the records of the upstreams how often each request began.
 * Return: Table of request ids, owned by the caller. */
GHashTable *silence_rig_count_runs (const silence_rig_t *rig);

#endif
