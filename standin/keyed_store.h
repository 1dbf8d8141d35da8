/**
 * DOC: keyed_store
 *
 * Keyed topics of the stand-in platform, by the calls that the users' platform publishes:
 * POST /log-append, GET /log-read and GET /log-newest, one partition a topic. Entries of engines
 * lapse when they are not renewed; a renewal that changes nothing but "seq" adds no record.
 */
#ifndef STANDIN_KEYED_STORE_H
#define STANDIN_KEYED_STORE_H

#include "platform.h"

#define KST_LIMIT_RECORD_BYTES (1024 * 1024)
#define KST_LIMIT_PAGE 500
#define KST_LAPSE_MS 1500 /* three heartbeats of a stand-in upstream */

typedef struct kst kst_t;

kst_t *kst_new (spl_t *platform);
/** kst_call() - Return: false when the call is for another path */
bool kst_call (kst_t *kst, sht_call_t *call);
/** kst_cut_waiters() - the store went down */
void kst_cut_waiters (kst_t *kst);

#endif
