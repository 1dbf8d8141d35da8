/**
 * DOC: share
 *
 * What each client account has running at one engine, against its weighted share of the slots.
 * The accounts seen within %SHR_WINDOW_US divide the slots among them.
 */
#ifndef REQUEST_SHARE_H
#define REQUEST_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#define SHR_WINDOW_US (60 * 1000 * 1000)

typedef struct shr shr_t;

shr_t *shr_new (void);
void shr_free (shr_t *shr);
/** shr_seen() - a request of the account arrived */
void shr_seen (shr_t *shr, uint64_t now_us, uint64_t account_hash, uint32_t weight);
void shr_started (shr_t *shr, uint64_t account_hash);
void shr_finished (shr_t *shr, uint64_t account_hash);
/** shr_is_over() - whether one more request takes the account over its share of @slots */
bool shr_is_over (const shr_t *shr, uint64_t account_hash, uint32_t slots);
uint32_t shr_account_count (const shr_t *shr);

#endif
