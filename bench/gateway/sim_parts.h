/**
 * DOC: sim_parts
 *
 * Shared by the files of the simulation: sim.c (callers, faults and figures), sim_engine.c,
 * sim_gateway.c (the course of a request).
 */
#ifndef BENCH_GATEWAY_SIM_PARTS_H
#define BENCH_GATEWAY_SIM_PARTS_H

#include "../cache.h"
#include "../events.h"
#include "../random.h"
#include "base/clock.h"
#include "request/policy/course.h"
#include "request/policy/line.h"
#include "request/policy/load_gauge.h"
#include "request/policy/pace.h"
#include "request/policy/spread.h"
#include "sim.h"

#include <glib.h>

#define SIM_TRIED 8

typedef enum
{
  EVENT_ARRIVE, /* of kind @number */
  EVENT_RETURN, /* a refused caller comes back: the request in @data */
  EVENT_DEADLINE,
  EVENT_HEAD, /* of the send in @data */
  EVENT_END,
  EVENT_REFUSED,
  EVENT_TICK, /* of gateway @number */
  EVENT_FAULT_BEGINS,
  EVENT_FAULT_ENDS
} sim_event_t;

typedef enum
{
  ENGINE_SOUND,
  ENGINE_GREY,
  ENGINE_SLOW,
  ENGINE_MUTE,
  ENGINE_DOWN
} sim_mode_t;

typedef struct sim_send sim_send_t;

/**
 * struct sim_engine - an engine as it is
 * @sends: that it runs, of sim_send_t
 * @queue: that wait for one of its slots, likewise, the next one first
 * @read_free_us: when the prompts that it has to read are read
 */
typedef struct
{
  egn_entry_t entry;
  uint32_t service;
  uint32_t index;
  sim_mode_t mode;
  GPtrArray *sends;
  GPtrArray *queue;
  uint64_t read_free_us;
  cch_t *cache;
} sim_engine_t;

/** struct sim_load - of a service's engines, as a gateway knows it; @own: its sends there */
typedef struct
{
  gau_t gauge;
  uint64_t own;
} sim_load_t;

/** struct sim_gateway - one gateway and its view; @requests: those not over */
typedef struct
{
  uint32_t index;
  egs_t *engines;
  lin_t *lines[SIT_SERVICES];
  sim_load_t loads[SIT_SERVICES];
  rsh_t retries[SIT_SERVICES];
  pac_t paces[SIT_KINDS];
  GPtrArray *requests;
} sim_gateway_t;

/** struct sim_request - of a caller, over all its tries */
typedef struct
{
  const sit_kind_t *kind;
  sim_gateway_t *gateway;
  uint32_t account;
  uint64_t part;
  uint64_t arrived_us;
  lin_item_t line;
  crs_t crs;
  sim_send_t *send;
  uint64_t tried[SIM_TRIED];
  uint32_t tried_count;
  uint32_t hops;
  bool begun;
  bool returned;
  bool over;
  uint64_t head_us; /* of the first answer, 0 before */
} sim_request_t;

/**
 * struct sim_send - of a request to an engine
 * @request: NULL once given up
 * @egn: in the gateway's view
 * @begun_load: of its engine, when it began to run there
 * @reached: the engine took the connection
 */
struct sim_send
{
  sim_request_t *request;
  sim_engine_t *engine;
  egn_t *egn;
  uint64_t sent_us;
  uint64_t heard_us;
  egn_load_t begun_load;
  bool over;
  bool reached;
};

typedef struct
{
  sim_options_t options;
  sit_t part;
  const sit_t *site; /* @part */
  uint64_t now_us;
  uint64_t dice;
  evt_queue_t events;
  GPtrArray *engines; /* of sim_engine_t, all services */
  GPtrArray *gateways;
  GPtrArray *requests;
  GPtrArray *sends;
  GArray *retry_times[SIT_SERVICES]; /* of uint64_t, in order */
  GArray *request_times[SIT_SERVICES];
  GArray *peaks; /* of uint32_t */
  bool faulty;
  sim_figures_t figures;
} sim_t;

sim_engine_t *sim_engine_new (sim_t *sim, uint32_t service, uint32_t index);
void sim_engine_free (gpointer engine);
/** sim_engine_take() - a send arrives there: it runs, or what comes of it is planned */
void sim_engine_take (sim_t *sim, sim_send_t *send);
/** sim_engine_drop() - the send ended or was given up */
void sim_engine_drop (sim_t *sim, sim_send_t *send);
uint32_t sim_engine_load (const sim_engine_t *engine);
/** sim_engine_told() - as its answers tell it now */
egn_load_t sim_engine_told (const sim_engine_t *engine);
/** sim_engine_set_mode() - a fault begins or ends */
void sim_engine_set_mode (sim_t *sim, sim_engine_t *engine, sim_mode_t mode);

sim_gateway_t *sim_gateway_new (sim_t *sim, uint32_t index);
void sim_gateway_free (gpointer gateway);
/** sim_place() - send the request on, let it wait or refuse it */
void sim_place (sim_t *sim, sim_request_t *request);
void sim_on_head (sim_t *sim, sim_send_t *send);
/** sim_on_end() - @outcome counts only where the answer is not whole */
void sim_on_end (sim_t *sim, sim_send_t *send, bool whole, crs_outcome_t outcome);
/** sim_on_refused() - the engine did not run it: it was full, or took no connection */
void sim_on_refused (sim_t *sim, sim_send_t *send);
void sim_on_deadline (sim_t *sim, sim_request_t *request);
void sim_on_tick (sim_t *sim, sim_gateway_t *gateway);

typedef enum
{
  SIM_SERVED,
  SIM_REFUSED,
  SIM_FAILED
} sim_answer_t;

/** sim_finish() - the caller has its answer */
void sim_finish (sim_t *sim, sim_request_t *request, sim_answer_t answer);

#endif
