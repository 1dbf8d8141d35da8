/**
 * DOC: outage
 *
 * When the platform's store was out last: decided once for the store, by all that heard it, own
 * reads and peers alike. A pure state machine.
 *
 * While the store is out engines can't renew their entries, so entries lapse whose engines live.
 * Those that are found dropped after an outage are kept until the engines had time to come back;
 * without an outage what was dropped is gone. So neither may an outage be overlooked, nor one be
 * made of a moment in which one stream of one gateway heard nothing.
 *
 * Word of a moment at which the store was heard may come late, by a peer: one inside what looked
 * like an outage makes it shorter, or shows that there was none. What is decided doesn't depend on
 * the order in which word comes.
 */
#ifndef REQUEST_POLICY_OUTAGE_H
#define REQUEST_POLICY_OUTAGE_H

#include <stdint.h>

/* Entries lapse after three renewals that the store did not take; the last one it took may be as
 * much as one interval before the outage. Engines renew about that often, so an eighth less counts.
 */
#define OTG_LEAST_PART 8

/**
 * struct otg - zeroed to begin with
 * @heard_us: the latest moment at which the store was heard
 * @from_us, @until_us: the last span in which it was not, for as long as an outage takes; 0 for
 * none
 */
typedef struct
{
  uint64_t heard_us;
  uint64_t from_us;
  uint64_t until_us;
} otg_t;

/** otg_least_us() - the shortest outage in which entries lapse that are renewed every @renewal_ms
 */
uint64_t otg_least_us (uint32_t renewal_ms);
/** otg_heard() - the store was heard at @at_us; @least_us as of otg_least_us() */
void otg_heard (otg_t *otg, uint64_t at_us, uint64_t least_us);
/** otg_until_us() - the end of the last outage, now while it lasts; 0 for none. A peer's copy of
 * the registry may come before any word that the store is back */
uint64_t otg_until_us (const otg_t *otg, uint64_t now_us, uint64_t least_us);

#endif
