/**
 * DOC: keyed_store
 *
 * Keyed topics of the stand-in platform, with the calls that the users' platform offers: POST
 * /log-append, GET /log-read and GET /log-newest. Each topic has one partition. Engine entries
 * expire unless they are renewed; a renewal with an unchanged value adds no record.
 */
#ifndef STANDIN_KEYED_STORE_H
#define STANDIN_KEYED_STORE_H

#include "platform.h"

#define KST_LIMIT_RECORD_BYTES (1024 * 1024)
#define KST_LIMIT_PAGE 500 /* items in one answer to GET /log-newest */
#define KST_LAPSE_MS 1500  /* over three heartbeats of a stand-in upstream */

typedef struct keyed_store kst_t;

/** kst_new() - an empty store, which is never freed */
kst_t *kst_new (spl_t *platform);
/** kst_call() - handles a call. Return: false, with the call untouched, for any other path */
bool kst_call (kst_t *keyed_store, sht_call_t *call);
/** kst_cut_waiters() - closes the connections of all waiting reads, when the store goes down */
void kst_cut_waiters (kst_t *keyed_store);

#endif
