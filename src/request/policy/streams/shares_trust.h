/**
 * DOC: shares_trust
 *
 * Whether a gateway that is not current may still tell the versions of streams by the tables of
 * shares that it has. While the store is out for all nobody can put another table in force. One
 * gateway alone can't tell an outage from its own lost connection; most of them can, and so can one
 * that is the only one. A state machine without I/O.
 */
#ifndef REQUEST_POLICY_STREAMS_SHARES_TRUST_H
#define REQUEST_POLICY_STREAMS_SHARES_TRUST_H

#include <stdbool.h>
#include <stdint.h>

/** struct shares_trust - initialized with zeros; @current_us: when this gateway was current last;
 * @outage_us: when the store was known last to be out for all, 0 for never */
typedef struct
{
  uint64_t current_us;
  uint64_t outage_us;
} shares_trust_t;

/**
 * struct shares_trust_view - what a gateway knows
 * @is_current: it, or a peer with the same records, reached the store lately
 * @known: other gateways in the registry
 * @heard: those of them that were heard lately, none of which reached the store
 * @stranger_store_us: when a gateway that is not in the registry here reached the store, as it said
 *   itself; 0 for never. It may have written a table since
 */
typedef struct
{
  bool is_current;
  uint32_t known;
  uint32_t heard;
  uint64_t stranger_store_us;
} shares_trust_view_t;

/** shares_trust_update() - takes what is known at @now_us, at least every second. Return: whether
 * no table is in force that this gateway doesn't know */
bool shares_trust_update (shares_trust_t *trust, const shares_trust_view_t *view, uint64_t now_us);

#endif
