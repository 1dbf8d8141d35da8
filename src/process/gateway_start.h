/**
 * DOC: gateway_start
 *
 * Loads all streams of the platform's store when a gateway starts: chooses the peers that are asked
 * for a full copy, and starts reading the store when the policy (policy/start_ask) says so.
 */
#ifndef PROCESS_GATEWAY_START_H
#define PROCESS_GATEWAY_START_H

#include "base/clock.h"
#include "base/settings.h"
#include "request/policy/store/bootstrap.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct gateway_start_options - options of gateway_start_new()
 * @seed: of the random numbers that spread the requests of gateways which start together
 * @has_all_streams: returns whether all streams have been loaded, from the store or a peer
 * @is_store_down: returns whether reads of the store fail
 * @is_fetching: returns whether a fetch from a peer is in progress
 * @read_store: starts reading the store
 * @pick_peer: gets the control address of a peer in the gateway registry; returns false when none
 *   is known
 * @fetch_all: starts fetching a full copy from a peer
 */
typedef struct
{
  const clock_source_t *clock;
  const settings_t *settings;
  uint64_t seed;
  bool (*has_all_streams) (void *context);
  bool (*is_store_down) (void *context);
  bool (*is_fetching) (void *context);
  void (*read_store) (void *context);
  bool (*pick_peer) (address_t *control, void *context);
  void (*fetch_all) (const address_t *control, void *context);
  void *context;
} gateway_start_options_t;

typedef struct gateway_start gateway_start_t;

gateway_start_t *gateway_start_new (const gateway_start_options_t *options);
void gateway_start_free (gateway_start_t *start);
/** gateway_start_advance() - reads the store or asks a peer if that is due; to be called about
 * every 100 ms and after each fetch */
void gateway_start_advance (gateway_start_t *start);
/** gateway_start_fetch_applied() - a peer's full copy has been applied, which ends the start */
void gateway_start_fetch_applied (gateway_start_t *start);
/** gateway_start_fetch_failed() - the fetch brought no full copy; @referral is asked next, port 0
 * for none */
void gateway_start_fetch_failed (gateway_start_t *start,
                                 bootstrap_refusal_t refusal,
                                 const address_t *referral);
/** gateway_start_is_loading() - whether a stream has not been loaded yet */
bool gateway_start_is_loading (const gateway_start_t *start);

#endif
