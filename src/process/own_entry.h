/**
 * DOC: own_entry
 *
 * Keeps this gateway's entry in the gateway registry, by which the other gateways find it. The
 * entry is the same at each start, so it is written only when the registry lacks it: at the first
 * start, when the store has come back from a copy without it, and when another writer has replaced
 * it.
 */
#ifndef PROCESS_OWN_ENTRY_H
#define PROCESS_OWN_ENTRY_H

#include "base/clock.h"
#include "base/counters.h"
#include "connection/platform.h"
#include "connection/stream_follower.h"
#include "version/keyed_view.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct own_entry_options - options of own_entry_new()
 * @name: key of the entry
 * @value: the entry; copied
 * @view: the gateway registry
 * @follower: reads the gateway registry
 * @seed: spreads the writes of gateways whose entries were lost together
 */
typedef struct
{
  const clock_source_t *clock;
  counter_registry_t *counters;
  platform_t *platform;
  const char *name;
  const char *value;
  const keyed_view_t *view;
  stream_follower_t *follower;
  uint64_t seed;
} own_entry_options_t;

typedef struct own_entry own_entry_t;

own_entry_t *own_entry_new (const own_entry_options_t *options);
/** own_entry_free() - accepts NULL; only after the platform was freed, which drops a pending write
 */
void own_entry_free (own_entry_t *own_entry);
/** own_entry_write_if_due() - writes the entry if the registry lacks it; to be called about every
 * 100 ms */
void own_entry_write_if_due (own_entry_t *own_entry);
/** own_entry_is_new() - whether the registry had no entry of this name at the start. False until it
 * was read */
bool own_entry_is_new (const own_entry_t *own_entry);
/** own_entry_check_again() - the registry came back from a copy, and may have lost the entry. All
 * gateways learn that at the same time, so each writes at a random time */
void own_entry_check_again (own_entry_t *own_entry);

#endif
