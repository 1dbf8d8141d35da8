/**
 * DOC: sim_parts
 *
 * Private declarations of the simulation, shared by sim.c (clients, faults and results),
 * sim_engine.c (engines) and sim_gateway.c (the attempts of a request at engines).
 */
#ifndef BENCH_GATEWAY_SIM_PARTS_H
#define BENCH_GATEWAY_SIM_PARTS_H

#include "../cache_model.h"
#include "../event_queue.h"
#include "../random.h"
#include "base/clock.h"
#include "request/policy/directory/part_holders.h"
#include "request/policy/directory/part_news.h"
#include "request/policy/retries/retry_plan.h"
#include "request/policy/queueing/wait_queue.h"
#include "request/policy/load/load_gauge.h"
#include "request/policy/load/median_latency.h"
#include "request/policy/suspects/recent_answers.h"
#include "request/policy/placement/engine_choice.h"
#include "request/policy/room/room_choice.h"
#include "sim.h"

#include <glib.h>

#define SIM_SLOW_ENGINE 1    /* engine of the plain service that is always slower */
#define SIM_CROWDED_ENGINE 2 /* engine of the plain service that slows down when crowded */
#define SIM_TRIED_MAX 8      /* engines that a request remembers to have been sent to */

/**
 * enum sim_event_kind - kinds of events, with the event fields that they use
 * @EVENT_ARRIVAL: clients send requests of the kind with index @number
 * @EVENT_CLIENT_RETRY: the client of the rejected request @data sends it again
 * @EVENT_DEADLINE: the deadline of the request @data
 * @EVENT_RESPONSE_HEAD: the engine sends the response head of the attempt @data
 * @EVENT_RESPONSE_END: the engine sends the end of the response of the attempt @data
 * @EVENT_REFUSED: the gateway learns that the engine refused the attempt @data
 * @EVENT_TICK: periodic work of the gateway with index @number
 * @EVENT_FAULT_BEGINS: the fault of the run begins
 * @EVENT_FAULT_ENDS: the fault of the run ends
 */
typedef enum
{
  EVENT_ARRIVAL,
  EVENT_CLIENT_RETRY,
  EVENT_DEADLINE,
  EVENT_RESPONSE_HEAD,
  EVENT_RESPONSE_END,
  EVENT_REFUSED,
  EVENT_TICK,
  EVENT_FAULT_BEGINS,
  EVENT_FAULT_ENDS
} sim_event_kind_t;

/**
 * enum sim_engine_mode - how an engine behaves
 * @ENGINE_HEALTHY: without a fault
 * @ENGINE_FLAKY: fails half of its requests
 * @ENGINE_SLOW: takes several times as long
 * @ENGINE_UNRESPONSIVE: accepts requests and never answers
 * @ENGINE_DOWN: refuses connections
 */
typedef enum
{
  ENGINE_HEALTHY,
  ENGINE_FLAKY,
  ENGINE_SLOW,
  ENGINE_UNRESPONSIVE,
  ENGINE_DOWN
} sim_engine_mode_t;

typedef struct sim_attempt sim_attempt_t;

/**
 * struct sim_engine - the actual state of an engine
 * @entry: its entry in the directory of engines
 * @service: index of its service
 * @index: its number within the service
 * @running: sim_attempt_t that it runs
 * @queue: sim_attempt_t that wait for one of its slots, the next to start first
 * @prompts_done_us: when it has processed all prompts that it has accepted so far
 * @cache: prompt prefixes that it holds
 */
typedef struct
{
  engine_entry_t entry;
  uint32_t service;
  uint32_t index;
  sim_engine_mode_t mode;
  GPtrArray *running;
  GPtrArray *queue;
  uint64_t prompts_done_us;
  cache_model_t *cache;
} sim_engine_t;

/**
 * struct sim_known_load - load of a service's engines, as one gateway knows it
 * @gauge: from the loads that responses report
 * @in_flight: attempts of this gateway that have not ended
 */
typedef struct
{
  load_gauge_t gauge;
  uint64_t in_flight;
} sim_known_load_t;

/**
 * struct sim_gateway - a gateway and what it knows
 * @index: its number
 * @engines: its view of all engines
 * @queues: by service, the requests that wait for an engine
 * @loads: by service
 * @retries: by service, its share of the retry budget
 * @paces: by kind of request, the usual duration
 * @data_center: its own
 * @holders: engines that it knows to hold parts; NULL unless the policy is %SIM_DIRECTORY
 * @news: what it has yet to tell other gateways of them; likewise
 * @ticks: since the start
 * @cache_warm: parts and engines that answered lately, as in the product
 * @requests: its sim_request_t that are not over
 */
typedef struct
{
  uint32_t index;
  char data_center[16];
  part_holders_t *holders;
  part_news_t *news;
  uint32_t ticks;
  recent_answers_t *cache_warm;
  engines_t *engines;
  wait_queue_t *queues[SITE_SERVICES];
  sim_known_load_t loads[SITE_SERVICES];
  retry_budget_t retries[SITE_SERVICES];
  median_latency_t paces[SITE_KINDS];
  GPtrArray *requests;
} sim_gateway_t;

/**
 * struct sim_request - a request of a client, from its arrival until it is over
 * @account: index of the client account
 * @prefix: identifies its shared prompt prefix, 0 for none
 * @arrived_us: when the client sent it for the first time
 * @queue_item: its item in the gateway's queue; with the arrival and deadline of the client's
 *   latest try
 * @retry_plan: which attempts are still allowed
 * @attempt: the attempt in progress, or NULL
 * @tried: hashes of the engines that it was sent to in the client's latest try
 * @tried_count: entries of @tried
 * @attempt_count: attempts in the client's latest try
 * @begun: a part of a streamed response has reached the client
 * @returned: the client was rejected once and has sent it again, or will
 * @over: the client has its final answer
 * @head_us: when the first response head arrived, 0 before
 * @waited_us: from the arrival until the engine began to run it
 */
typedef struct
{
  const site_kind_t *kind;
  sim_gateway_t *gateway;
  uint32_t account;
  uint64_t prefix;
  uint64_t arrived_us;
  wait_queue_item_t queue_item;
  retry_plan_t retry_plan;
  sim_attempt_t *attempt;
  uint64_t tried[SIM_TRIED_MAX];
  uint32_t tried_count;
  uint32_t attempt_count;
  bool begun;
  bool returned;
  bool over;
  uint64_t head_us;
  uint64_t waited_us;
} sim_request_t;

/**
 * struct sim_attempt - an attempt: one transmission of a request to an engine
 * @request: NULL once the attempt is over
 * @engine: the engine itself
 * @known_engine: the engine in the gateway's view
 * @source: the engine to copy the shared part from, or NULL
 * @sent_us: when the gateway sent it
 * @heard_us: when the response head arrived, 0 before
 * @begun_us: when the engine began to run it
 * @begun_load: load of the engine when it began to run the attempt
 * @over: it has ended or was abandoned; events of it that are still queued have no effect
 * @reached: the engine accepted the connection
 */
struct sim_attempt
{
  sim_request_t *request;
  sim_engine_t *engine;
  engine_t *known_engine;
  sim_engine_t *source;
  uint64_t sent_us;
  uint64_t heard_us;
  uint64_t begun_us;
  engine_load_t begun_load;
  bool over;
  bool reached;
};

/**
 * struct sim - a run
 * @scaled_site: the site of the options after division by the scale divisor
 * @site: points to @scaled_site
 * @measured_from_us: requests that arrive earlier are not counted
 * @arrivals_end_us: no request arrives later
 * @now_us: virtual time
 * @random: state of the random numbers
 * @own_parts: likewise, for the identities of the parts that one request alone has
 * @events: what happens next
 * @engines: sim_engine_t of all services
 * @gateways: all sim_gateway_t
 * @requests: all sim_request_t, also those that are over
 * @attempts: all sim_attempt_t, also those that are over
 * @retry_times: by service, when retries were sent: uint64_t in ascending order
 * @request_times: by service, when clients sent requests, likewise
 * @relative_loads: uint32_t, what the median of sim_figures.relative_load_milli is taken of
 * @ideal_queue: sim_request_t that wait under SIM_IDEAL, in order of arrival
 * @faulty: the fault has begun and has not ended
 */
typedef struct
{
  sim_options_t options;
  site_t scaled_site;
  const site_t *site;
  uint64_t measured_from_us;
  uint64_t arrivals_end_us;
  uint64_t now_us;
  uint64_t random;
  uint64_t own_parts;
  event_queue_t events;
  GPtrArray *engines;
  GPtrArray *gateways;
  GPtrArray *requests;
  GPtrArray *attempts;
  GArray *retry_times[SITE_SERVICES];
  GArray *request_times[SITE_SERVICES];
  GArray *relative_loads;
  GPtrArray *ideal_queue;
  bool faulty;
  sim_figures_t figures;
} sim_t;

/** sim_has_copies() - whether engines copy parts from each other */
bool sim_has_copies (const sim_t *sim);
sim_engine_t *sim_engine_new (sim_t *sim, uint32_t service, uint32_t index);
void sim_engine_free (gpointer engine);
/** sim_engine_accept() - @send arrives at its engine, which runs it, queues it or refuses it */
void sim_engine_accept (sim_t *sim, sim_attempt_t *send);
/** sim_engine_remove() - removes @send, which has ended or was abandoned, and starts the next one
 */
void sim_engine_remove (sim_t *sim, sim_attempt_t *send);
/** sim_engine_load() - attempts that run or wait at @engine */
uint32_t sim_engine_load (const sim_engine_t *engine);
/** sim_engine_reported_load() - the load that @engine would report in a response now */
engine_load_t sim_engine_reported_load (const sim_engine_t *engine);
/** sim_engine_set_mode() - changes the behaviour; %ENGINE_DOWN aborts all attempts at @engine */
void sim_engine_set_mode (sim_t *sim, sim_engine_t *engine, sim_engine_mode_t mode);

/** sim_ideal_applies() - whether @request is placed by sim_ideal_place() */
bool sim_ideal_applies (const sim_t *sim, const sim_request_t *request);
/** sim_ideal_place() - sends @request to the best free engine, or lets it wait for one */
void sim_ideal_place (sim_t *sim, sim_request_t *request);
/** sim_ideal_dispatch() - sends waiting requests to free engines */
void sim_ideal_dispatch (sim_t *sim);
/** sim_send_request() - sends @request to @egn, without a further decision */
void sim_send_request (sim_t *sim, sim_request_t *request, engine_t *egn);

sim_gateway_t *sim_gateway_new (sim_t *sim, uint32_t index);
void sim_gateway_free (gpointer gateway);
/** sim_place_request() - sends @request to an engine, queues it or rejects it */
void sim_place_request (sim_t *sim, sim_request_t *request);
/** sim_on_response_head() - the response head of @send arrives at the gateway */
void sim_on_response_head (sim_t *sim, sim_attempt_t *send);
/** sim_on_response_end() - the response of @send has ended: completely if @whole, else with
 * @outcome */
void
sim_on_response_end (sim_t *sim, sim_attempt_t *send, bool whole, retry_plan_outcome_t outcome);
/** sim_on_refused() - the engine of @send did not run it: it was full or not reachable */
void sim_on_refused (sim_t *sim, sim_attempt_t *send);
/** sim_on_deadline() - ends @request if it is not over */
void sim_on_deadline (sim_t *sim, sim_request_t *request);
/** sim_on_tick() - starts waiting requests, rejects those that waited too long, and abandons
 * attempts at engines that appear to be lost */
void sim_on_tick (sim_t *sim, sim_gateway_t *gateway);

/**
 * enum sim_result - how a request ends for its client
 * @SIM_SERVED: with a complete response
 * @SIM_REFUSED: rejected; no engine ran it
 * @SIM_FAILED: with an error, a truncated response or none
 */
typedef enum
{
  SIM_SERVED,
  SIM_REFUSED,
  SIM_FAILED
} sim_result_t;

/** sim_finish_request() - ends @request and counts its result */
void sim_finish_request (sim_t *sim, sim_request_t *request, sim_result_t answer);

#endif
