/**
 * DOC: shares_trust
 *
 * Decides whether a gateway may go by the tables of shares that it knows: not if one that it
 * doesn't know may be in force. Each table is announced before it is in force, and only a gateway
 * that is current puts one in force. A pure function.
 *
 * A gateway that isn't current may have lost the store alone, or the store is out for all. It is
 * out for most if most gateways are heard and none has had a later answer of the store than this
 * one.
 */
#ifndef REQUEST_POLICY_STREAMS_SHARES_TRUST_H
#define REQUEST_POLICY_STREAMS_SHARES_TRUST_H

#include <stdbool.h>
#include <stdint.h>

/** struct shares_trust - @outage_us: when the store was last known to be out for most; 0 for never
 */
typedef struct
{
  uint64_t outage_us;
} shares_trust_t;

/**
 * struct shares_trust_view - what the gateway knows
 * @is_current: its registries are current
 * @hears_most: most of the other gateways are heard
 * @current_as_of_us: time up to which its registries and tables are current, 0 for never
 * @peers_current_us: latest time up to which a peer's are, as far as told
 * @current_us: for how long a gateway counts as current
 */
typedef struct
{
  bool is_current;
  bool hears_most;
  uint64_t current_as_of_us;
  uint64_t peers_current_us;
  uint64_t current_us;
} shares_trust_view_t;

/** shares_trust_decide() - whether the known tables may be used now; called regularly, as it
 * remembers an outage for a while */
bool shares_trust_decide (shares_trust_t *trust, const shares_trust_view_t *view, uint64_t now_us);
/** shares_trust_knows_tables() - whether a gateway that is current knows all tables in force: its
 * registries may be current while nothing is heard of the tables. @tables_as_of_us: time up to
 * which it knows them, 0 for never */
bool shares_trust_knows_tables (uint64_t tables_as_of_us, uint64_t now_us);

#endif
