/**
 * DOC: crash_sim
 *
 * Gateways that tell each other of crashes, in virtual time. The records and what is told to whom
 * are the product's; messages, the byte budget and the clock are simulated. What else happens, a
 * test schedules itself.
 */
#ifndef TESTS_CRASH_SIM_H
#define TESTS_CRASH_SIM_H

#include "request/policy/suspects/crash_record.h"

#include <glib.h>

#define CRASH_SIM_START_US (UINT64_C (1000) * 1000 * 1000)

typedef struct crash_sim crash_sim_t;

/** crash_sim_handler_t - handles an event; @data is freed by g_free() after it */
typedef void (*crash_sim_handler_t) (crash_sim_t *sim, void *data);

/**
 * struct crash_sim_options - options of crash_sim_new()
 * @record_limit: as in crash_record_options_t
 * @get_engine: likewise; gets @context
 * @context: of the test
 */
typedef struct
{
  uint32_t gateways;
  uint32_t seed;
  uint32_t record_limit;
  crash_record_engine_t (*get_engine) (uint64_t engine_hash, void *context);
  void *context;
} crash_sim_options_t;

crash_sim_t *crash_sim_new (const crash_sim_options_t *options);
void crash_sim_free (crash_sim_t *sim);
void *crash_sim_context (const crash_sim_t *sim);
uint64_t crash_sim_now_us (const crash_sim_t *sim);
uint32_t crash_sim_gateways (const crash_sim_t *sim);
/** crash_sim_draw() - a number from @from up to, but not including, @to */
uint32_t crash_sim_draw (crash_sim_t *sim, uint32_t from, uint32_t to);
crash_record_t *crash_sim_record (const crash_sim_t *sim, uint32_t gateway);
/** crash_sim_schedule() - calls @handler after @wait_us */
void
crash_sim_schedule (crash_sim_t *sim, uint64_t wait_us, crash_sim_handler_t handler, void *data);
/** crash_sim_run() - handles the events of the next @span_us */
void crash_sim_run (crash_sim_t *sim, uint64_t span_us);
/** crash_sim_tell() - sends the marks of a gateway that are due */
void crash_sim_tell (crash_sim_t *sim, uint32_t gateway);
/** crash_sim_restart() - the gateway forgets all */
void crash_sim_restart (crash_sim_t *sim, uint32_t gateway);

#endif
