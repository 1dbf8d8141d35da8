/**
 * DOC: keyed_store
 *
 * Keyed topics of the stand-in platform, with the calls that the users' platform offers: POST
 * /log-append, GET /log-read and GET /log-newest. Each topic has one partition. Engine entries
 * expire unless they are renewed; a renewal with an unchanged value adds no record. After
 * keyed_store_restore() the topics are those of the last copy, and offsets are given out again.
 */
#ifndef STANDIN_KEYED_STORE_H
#define STANDIN_KEYED_STORE_H

#include "platform.h"

#define KEYED_STORE_MAX_RECORD_BYTES (1024 * 1024)
#define KEYED_STORE_PAGE_ITEMS 500 /* items in one answer to GET /log-newest */
/* Default lifetime of an engine entry, over three heartbeats of a stand-in upstream */
#define KEYED_STORE_ENTRY_TTL_MS 1500

typedef struct keyed_store keyed_store_t;

/** keyed_store_new() - an empty store, which is never freed */
keyed_store_t *keyed_store_new (standin_platform_t *platform);
/** keyed_store_handle_call() - handles a call. Return: false, with the call untouched, for any
 * other path */
bool keyed_store_handle_call (keyed_store_t *keyed_store, http_call_t *call);
/** keyed_store_copy() - makes the copy that keyed_store_restore() returns to */
void keyed_store_copy (keyed_store_t *keyed_store);
/** keyed_store_restore() - drops all records since the last copy; entries of engines live on as if
 * renewed now */
void keyed_store_restore (keyed_store_t *keyed_store);
/** keyed_store_abort_waiters() - closes the connections of all waiting reads, when the store goes
 * down */
void keyed_store_abort_waiters (keyed_store_t *keyed_store);

#endif
