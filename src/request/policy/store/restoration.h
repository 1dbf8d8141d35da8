/**
 * DOC: restoration
 *
 * What holds after the platform's store has come back from a copy some seconds old, in a new era of
 * its offsets. What operators, engines and gateways wrote since the copy is gone and is written
 * again within seconds. Until then nothing goes back: the view of each stream keeps what was known
 * (see version/keyed_view), and this module decides until when. Pure state machines and functions.
 */
#ifndef REQUEST_POLICY_STORE_RESTORATION_H
#define REQUEST_POLICY_STORE_RESTORATION_H

#include "request/policy/engines/engines.h"

#include <stdbool.h>
#include <stdint.h>

/* Engines that live write their entries again within two seconds of the store's return. */
#define RESTORATION_MISSING_ENGINE_US (UINT64_C (2500) * 1000)
/* An entry that its engine does not renew is removed by the platform after three intervals. */
#define RESTORATION_HELD_ENGINE_RENEWALS 4
/* For records of operators and gateways, which have no deadline to be written again. */
#define RESTORATION_OTHER_US (UINT64_C (10000) * 1000)
/* Part of the time to drain a data centre for which an order that the copy may have brought back is
 * held. A data centre that is drained for a moment too long costs less than one that is not. */
#define RESTORATION_HELD_DRAIN_PERCENT 50
/* Gateways that find their own entry missing write it at a random time within this. */
#define RESTORATION_REWRITE_SPREAD_US (UINT64_C (1000) * 1000)

/**
 * struct restoration_limits - how long a stream keeps what was known
 * @missing_us: keys that the new era does not have
 * @held_us: keys whose record in the new era may be older than the known one
 * @held_drain_us: likewise, for orders to drain a data centre; 0 where there are none
 */
typedef struct
{
  uint64_t missing_us;
  uint64_t held_us;
  uint64_t held_drain_us;
} restoration_limits_t;

/**
 * struct restoration - state of one stream; all zero at the start
 * @listed: the stream was listed before
 * @era: of its last complete listing
 * @drop_missing_us: when missing keys are dropped; 0 for never
 * @apply_held_us: when held records are applied; 0 for never
 * @apply_drains_us: when held orders to drain a data centre are applied; 0 for never
 */
typedef struct
{
  bool listed;
  uint64_t era;
  uint64_t drop_missing_us;
  uint64_t apply_held_us;
  uint64_t apply_drains_us;
} restoration_t;

/** restoration_engine_limits() - limits of the engine registry, whose entries are renewed each
 * @renewal_ms */
restoration_limits_t restoration_engine_limits (uint32_t renewal_ms);
/** restoration_other_limits() - limits of the gateway registry */
restoration_limits_t restoration_other_limits (void);
/** restoration_routing_limits() - limits of the routing rules, with the orders of operators to
 * drain a data centre within @center_drain_ms */
restoration_limits_t restoration_routing_limits (uint32_t center_drain_ms);
/** restoration_note_listing() - the stream was listed in @era. Return: whether it was listed before
 * in a lower era */
bool restoration_note_listing (restoration_t *restoration,
                               uint64_t now_us,
                               uint64_t era,
                               const restoration_limits_t *limits);
/** restoration_is_pending() - whether missing keys or held records may be kept */
bool restoration_is_pending (const restoration_t *restoration);
/** restoration_take_drop_due() - whether missing keys are to be dropped now; true once */
bool restoration_take_drop_due (restoration_t *restoration, uint64_t now_us);
/** restoration_take_apply_due() - whether held records are to be applied now; true once */
bool restoration_take_apply_due (restoration_t *restoration, uint64_t now_us);
/** restoration_take_drains_due() - likewise, held orders to drain a data centre */
bool restoration_take_drains_due (restoration_t *restoration, uint64_t now_us);
/**
 * restoration_compare_entries() - how @entry is related to the @known entry of the same engine
 *
 * By the start of the engine's process, then by the number of the entry's renewal. Where an entry
 * states none, one that leaves is newer than one that is ready, as engines don't return from that.
 *
 * Return: less than, equal to or greater than 0, as @entry is older, as old or newer
 */
int restoration_compare_entries (const engine_entry_t *known, const engine_entry_t *entry);

#endif
