/**
 * DOC: restart_claims
 *
 * Engines whose entries state a later start than before. Another writer may have left such an
 * entry, so the requests in hand at the process before are given up only when that process has not
 * written its entry again in time. A pure state machine.
 */
#ifndef REQUEST_POLICY_ENGINES_RESTART_CLAIMS_H
#define REQUEST_POLICY_ENGINES_RESTART_CLAIMS_H

#include <stdbool.h>
#include <stdint.h>

/* Renewals that the process before has time for: one may be due just now, the next one is late. */
#define RESTART_CLAIM_RENEWALS 2

typedef struct restart_claims restart_claims_t;

/**
 * struct restart_claim - a restart that an entry states
 * @hash: hash of the engine's process before
 * @made_us: when the entry was read
 * @due_us: when the process before counts as lost
 */
typedef struct
{
  uint64_t hash;
  uint64_t made_us;
  uint64_t due_us;
} restart_claim_t;

restart_claims_t *restart_claims_new (void);
void restart_claims_free (restart_claims_t *claims);
/** restart_claims_add() - the process @hash is said to have been replaced; no change when that was
 * said before. @renewal_us: interval at which engines renew their entries */
void
restart_claims_add (restart_claims_t *claims, uint64_t now_us, uint64_t hash, uint64_t renewal_us);
/** restart_claims_refute() - the process @hash has written its entry again */
void restart_claims_refute (restart_claims_t *claims, uint64_t hash);
/** restart_claims_take_due() - removes one claim whose time is over. Return: false when there is
 * none (left) */
bool restart_claims_take_due (restart_claims_t *claims, uint64_t now_us, restart_claim_t *claim);

#endif
