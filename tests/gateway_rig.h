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

#define GATEWAY_RIG_GATEWAYS_MAX 5
#define GATEWAY_RIG_ENGINES_MAX 3
#define GATEWAY_RIG_SLOTS 8 /* requests that each engine runs at the same time */
/* control port of the first gateway; its exchange port is the next one */
#define GATEWAY_RIG_PORT 7310

/**
 * struct gateway_rig_gateway - one gateway
 * @front: its connection to the store, which a test can make fail
 * @address: address of its listener for clients
 */
typedef struct
{
  settings_t settings;
  counter_registry_t *counters;
  fake_store_client_t *front;
  gateway_process_t *gateway_process;
  address_t address;
} gateway_rig_gateway_t;

/**
 * struct rig - the rig of one test
 * @clock: clock of all gateways; it runs, and a test may pause it
 * @seeded: the first gateway is a seed of all gateways
 * @starts: number of starts of gateways, which gives each its incarnation
 * @engines: engines of the service "pool", with the ids "e0", "e1", ..., each on a host of its own
 */
typedef struct
{
  struct event_base *base;
  clock_source_t clock;
  fake_store_t *store;
  gateway_rig_gateway_t gateways[GATEWAY_RIG_GATEWAYS_MAX];
  uint32_t gateway_count;
  bool seeded;
  uint32_t starts;
  raw_server_t *engines[GATEWAY_RIG_ENGINES_MAX];
  uint32_t engine_count;
} gateway_rig_t;

/** gateway_rig_new() - starts @gateways and waits until they are ready. There are no engines; the
 * routes are /look/ (idempotent, two attempts), /book/ (non-idempotent), /talk/ (stream, resumable,
 * two attempts) and /tell/ (stream), all with the key "key-1" of the client account "alpha" and a
 * timeout of two seconds */
gateway_rig_t *gateway_rig_new (uint32_t gateways);
/** gateway_rig_new_seeded() - likewise; all gateways but the first ask that one for its state at
 * their start */
gateway_rig_t *gateway_rig_new_seeded (uint32_t gateways, bool first_start);
/** gateway_rig_restart() - stops a gateway and starts it again with its present settings */
void gateway_rig_restart (gateway_rig_t *rig, uint32_t index);
void gateway_rig_free (gateway_rig_t *rig);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (gateway_rig_t, gateway_rig_free)
/** gateway_rig_skip_retry_window() - restarts the first gateway with a short retry window, and
 * waits until its first window, in which it may send few retries, is over */
void gateway_rig_skip_retry_window (gateway_rig_t *rig);
/** gateway_rig_add_engine() - adds an engine that responds with @scripts in turn, and waits until
 * the first gateway knows it */
raw_server_t *
gateway_rig_add_engine (gateway_rig_t *rig, const char *const *scripts, uint32_t count);
/** gateway_rig_add_engine_in() - likewise, in a data centre other than "hall-1". "hall-1" is in the
 * region "north", "hall-2" in "south" and "hall-3" in "west" */
raw_server_t *gateway_rig_add_engine_in (gateway_rig_t *rig,
                                         const char *data_center,
                                         const char *const *scripts,
                                         uint32_t count);
/** gateway_rig_register() - writes the entry of an engine into the store */
void gateway_rig_register (gateway_rig_t *rig, uint32_t engine, const char *state);
/** gateway_rig_register_in() - likewise, in a data centre other than "hall-1" */
void gateway_rig_register_in (gateway_rig_t *rig,
                              uint32_t engine,
                              const char *data_center,
                              const char *state);
/** gateway_rig_wait_counter() - runs the event loop until a counter of the first gateway has the
 * value. Return: false after five seconds */
bool gateway_rig_wait_counter (gateway_rig_t *rig, const char *counter, uint64_t value);
/** gateway_rig_counter() - the value of a gateway's counter */
uint64_t gateway_rig_counter (const gateway_rig_t *rig, uint32_t gateway, const char *name);
/** gateway_rig_send() - sends a request with the key "key-1" and the id "r1" to a gateway; @more
 * holds further header lines */
raw_peer_t *gateway_rig_send (
    gateway_rig_t *rig, uint32_t gateway, const char *method, const char *path, const char *more);
/** gateway_rig_fetch() - sends a request to the first gateway, and waits until the response is
 * complete or the connection has ended; freed with raw_peer_free() */
raw_peer_t *
gateway_rig_fetch (gateway_rig_t *rig, const char *method, const char *path, const char *more);
/** gateway_rig_request_count() - number of requests that all engines received together */
uint32_t gateway_rig_request_count (const gateway_rig_t *rig);
/** gateway_rig_publish_config() - writes a configuration into the store; @routes holds further
 * routes, each after a comma, or "" */
void gateway_rig_publish_config (gateway_rig_t *rig, uint32_t version, const char *routes);
/** gateway_rig_publish_engine() - likewise, without further routes; @engine holds what the engines
 * of "pool" can do, as members of a JSON object */
void gateway_rig_publish_engine (gateway_rig_t *rig, uint32_t version, const char *engine);

#endif
