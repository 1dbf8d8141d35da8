/**
 * DOC: gateway_rig
 *
 * Gateways as whole processes, but on one event loop with a store in memory, and engines and
 * callers that send exactly the bytes they are told.
 */
#ifndef TESTS_GATEWAY_RIG_H
#define TESTS_GATEWAY_RIG_H

#include "fake_store.h"
#include "process/gateway_process.h"
#include "raw_peer.h"

#define GRG_GATEWAYS 5
#define GRG_ENGINES 3
#define GRG_SLOTS 8   /* of each engine */
#define GRG_PORT 7310 /* of the first gateway's control listener; the exchange has the next */

/** struct grg_gateway - @front: what it calls of the store; @address: where callers connect */
typedef struct
{
  set_t set;
  cnt_set_t *counters;
  fks_front_t *front;
  gwp_t *gwp;
  set_address_t address;
} grg_gateway_t;

/**
 * struct grg - the rig
 * @clk: runs; a test may pause it
 * @seeded: the first gateway is named to all
 * @starts: of gateways
 * @engines: that were made; all of the service "pool", with ids "e0", "e1", ...
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

/** grg_new() - @gateways that are ready, without engines; routes /look/ (idempotent, two attempts),
 * /book/ (non-idempotent), /talk/ (stream, resumable, two attempts) and /tell/ (stream), all with
 * the key "key-1" of account "alpha" and a timeout of two seconds */
grg_t *grg_new (uint32_t gateways);
/** grg_new_seeded() - likewise; all but the first ask that one at their start */
grg_t *grg_new_seeded (uint32_t gateways, bool first_start);
/** grg_restart() - a gateway ends, and starts again with the settings that it has now */
void grg_restart (grg_t *grg, uint32_t index);
void grg_free (grg_t *grg);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (grg_t, grg_free)
/** grg_settle() - the first gateway is one that started more than a window of its retries ago */
void grg_settle (grg_t *grg);
/** grg_engine() - one more engine, which answers by @scripts, and wait until it is known */
raw_server_t *grg_engine (grg_t *grg, const char *const *scripts, uint32_t count);
/** grg_engine_in() - likewise, in another data centre than "hall-1", which is in the region
 * "north"; "hall-2" is in "south", "hall-3" in "west" */
raw_server_t *
grg_engine_in (grg_t *grg, const char *data_center, const char *const *scripts, uint32_t count);
/** grg_register() - the entry of an engine in the store */
void grg_register (grg_t *grg, uint32_t engine, const char *state);
/** grg_register_in() - likewise, in another data centre than "hall-1" */
void grg_register_in (grg_t *grg, uint32_t engine, const char *data_center, const char *state);
/** grg_wait() - turn the loop until the first gateway's counter has a value. Return: false after
 * five seconds */
bool grg_wait (grg_t *grg, const char *counter, uint64_t value);
uint64_t grg_counter (const grg_t *grg, uint32_t gateway, const char *name);
/** grg_send() - a request of "key-1" with the id "r1" to a gateway; @more is further header lines
 */
raw_t *
grg_send (grg_t *grg, uint32_t gateway, const char *method, const char *path, const char *more);
/** grg_ask() - send and wait until the answer is whole or its connection has ended; to be freed by
 * raw_free() */
raw_t *grg_ask (grg_t *grg, const char *method, const char *path, const char *more);
/** grg_requests() - heads that all engines got */
uint32_t grg_requests (const grg_t *grg);
/** grg_config() - write a configuration into the store; @routes is more of them, or "" */
void grg_config (grg_t *grg, uint32_t version, const char *routes);

#endif
