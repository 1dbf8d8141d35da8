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
#include "request/policy/start_ask.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct gsa_options - options of gsa_new()
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
  const clk_t *clk;
  const set_t *set;
  uint64_t seed;
  bool (*has_all_streams) (void *context);
  bool (*is_store_down) (void *context);
  bool (*is_fetching) (void *context);
  void (*read_store) (void *context);
  bool (*pick_peer) (set_address_t *control, void *context);
  void (*fetch_all) (const set_address_t *control, void *context);
  void *context;
} gsa_options_t;

typedef struct gsa gsa_t;

gsa_t *gsa_new (const gsa_options_t *options);
void gsa_free (gsa_t *start);
/** gsa_turn() - reads the store or asks a peer if that is due; to be called about every 100 ms and
 * after each fetch */
void gsa_turn (gsa_t *start);
/** gsa_answered() - a peer's full copy has been applied, which ends the start */
void gsa_answered (gsa_t *start);
/** gsa_refused() - the fetch brought no full copy; @referral is asked next, port 0 for none */
void gsa_refused (gsa_t *start, bootstrap_refusal_t refusal, const set_address_t *referral);
/** gsa_is_starting() - whether a stream has not been loaded yet */
bool gsa_is_starting (const gsa_t *start);

#endif
