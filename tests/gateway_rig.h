/**
 * DOC: gateway_rig
 *
 * Runs complete gateways on one event loop, with a store in memory, and with engines and clients
 * that send exactly the bytes that a test gives them.
 */
#ifndef TESTS_GATEWAY_RIG_H
#define TESTS_GATEWAY_RIG_H

#include "fake_store.h"
#include "process/gateway_process.h"
#include "raw_peer.h"

#define GRG_GATEWAYS 5
#define GRG_ENGINES 3
#define GRG_SLOTS 8   /* requests that each engine runs at the same time */
#define GRG_PORT 7310 /* control port of the first gateway; its exchange port is the next one */

/**
 * struct grg_gateway - one gateway
 * @front: its connection to the store, which a test can make fail
 * @address: address of its listener for clients
 */
typedef struct
{
  set_t set;
  cnt_set_t *counters;
  fks_front_t *front;
  gwp_t *gwp;
  set_address_t address;
} grg_gateway_t;

/**
 * struct grg - the rig of one test
 * @clk: clock of all gateways; it runs, and a test may pause it
 * @seeded: the first gateway is a seed of all gateways
 * @starts: number of starts of gateways, which gives each its incarnation
 * @engines: engines of the service "pool", with the ids "e0", "e1", ...
 */
typedef struct
{
  struct event_base *base;
  clk_t clk;
  fks_t *store;
  grg_gateway_t gateways[GRG_GATEWAYS];
  uint32_t gateway_count;
  bool seeded;
  uint32_t starts;
  raw_server_t *engines[GRG_ENGINES];
  uint32_t engine_count;
} grg_t;

/** grg_new() - starts @gateways and waits until they are ready. There are no engines; the routes
 * are /look/ (idempotent, two attempts), /book/ (non-idempotent), /talk/ (stream, resumable, two
 * attempts) and /tell/ (stream), all with the key "key-1" of the client account "alpha" and a
 * timeout of two seconds */
grg_t *grg_new (uint32_t gateways);
/** grg_new_seeded() - likewise; all gateways but the first ask that one for its state at their
 * start */
grg_t *grg_new_seeded (uint32_t gateways, bool first_start);
/** grg_restart() - stops a gateway and starts it again with its present settings */
void grg_restart (grg_t *grg, uint32_t index);
void grg_free (grg_t *grg);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (grg_t, grg_free)
/** grg_settle() - restarts the first gateway with a short retry window, and waits until its first
 * window, in which it may send few retries, is over */
void grg_settle (grg_t *grg);
/** grg_engine() - adds an engine that responds with @scripts in turn, and waits until the first
 * gateway knows it */
raw_server_t *grg_engine (grg_t *grg, const char *const *scripts, uint32_t count);
/** grg_engine_in() - likewise, in a data centre other than "hall-1". "hall-1" is in the region
 * "north", "hall-2" in "south" and "hall-3" in "west" */
raw_server_t *
grg_engine_in (grg_t *grg, const char *data_center, const char *const *scripts, uint32_t count);
/** grg_register() - writes the entry of an engine into the store */
void grg_register (grg_t *grg, uint32_t engine, const char *state);
/** grg_register_in() - likewise, in a data centre other than "hall-1" */
void grg_register_in (grg_t *grg, uint32_t engine, const char *data_center, const char *state);
/** grg_wait() - runs the event loop until a counter of the first gateway has the value. Return:
 * false after five seconds */
bool grg_wait (grg_t *grg, const char *counter, uint64_t value);
/** grg_counter() - the value of a gateway's counter */
uint64_t grg_counter (const grg_t *grg, uint32_t gateway, const char *name);
/** grg_send() - sends a request with the key "key-1" and the id "r1" to a gateway; @more holds
 * further header lines */
raw_t *
grg_send (grg_t *grg, uint32_t gateway, const char *method, const char *path, const char *more);
/** grg_ask() - sends a request to the first gateway, and waits until the response is complete or
 * the connection has ended; freed with raw_free() */
raw_t *grg_ask (grg_t *grg, const char *method, const char *path, const char *more);
/** grg_requests() - number of requests that all engines received together */
uint32_t grg_requests (const grg_t *grg);
/** grg_config() - writes a configuration into the store; @routes holds further routes, each after a
 * comma, or "" */
void grg_config (grg_t *grg, uint32_t version, const char *routes);

#endif
