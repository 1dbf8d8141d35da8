/**
 * DOC: store_outage
 *
 * When the last outage of the platform's store was: decided once for the whole store, from the
 * answers that this gateway's reads got and from those that its peers got. A pure state machine.
 *
 * During an outage engines can't renew their entries in the store, so the entries of live engines
 * lapse. An entry that is found missing after an outage is kept until its engine has had time to
 * write it again; one that is found missing without an outage is dropped at once. So an outage must
 * not be missed, and a moment in which one stream of one gateway got no answer must not be taken
 * for one.
 *
 * A peer may report an answer of the store late. A moment inside what looked like an outage
 * shortens it or shows that there was none. The result doesn't depend on the order of the reports.
 */
#ifndef REQUEST_POLICY_STORE_STORE_OUTAGE_H
#define REQUEST_POLICY_STORE_STORE_OUTAGE_H

#include <stdint.h>

/*
 * Entries lapse after three renewals that the store did not take, and the last one that it took may
 * be up to one interval older than the outage: so after two intervals without an answer. Engines
 * don't renew at exact intervals, so a span that is shorter by this part counts too.
 */
#define STORE_OUTAGE_TOLERANCE_DIVISOR 8

/**
 * struct store_outage - all zero at the start
 * @last_contact_us: the latest moment at which the store answered
 * @begin_us: begin of the last outage; 0 for none
 * @end_us: end of the last outage; 0 for none
 */
typedef struct
{
  uint64_t last_contact_us;
  uint64_t begin_us;
  uint64_t end_us;
} store_outage_t;

/** store_outage_min_us() - the shortest outage in which entries lapse that are renewed each
 * @renewal_ms */
uint64_t store_outage_min_us (uint32_t renewal_ms);
/** store_outage_record_contact() - the store answered at @at_us; @least_us is the result of
 * store_outage_min_us() */
void store_outage_record_contact (store_outage_t *store_outage, uint64_t at_us, uint64_t least_us);
/**
 * store_outage_end_us() - Return: the end of the last outage, @now_us during one, 0 for none
 *
 * An outage counts while it lasts: a peer's copy of the registry may come before any report that
 * the store is back.
 */
uint64_t
store_outage_end_us (const store_outage_t *store_outage, uint64_t now_us, uint64_t least_us);

#endif
