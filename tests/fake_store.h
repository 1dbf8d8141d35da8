/**
 * DOC: fake_store
 *
 * An in-memory store with keyed streams that implements the callbacks of connection/platform.h.
 * Several gateways may share the records, each through a client of its own that can be made to
 * fail. Answers come in the next turn of the event loop; a read that waits for records is answered
 * when its time is over or a record is added.
 */
#ifndef TESTS_FAKE_STORE_H
#define TESTS_FAKE_STORE_H

#include "connection/platform.h"

typedef struct fake_store fake_store_t;

/**
 * struct fake_store_client - one gateway's client of the store
 * @platform: the callbacks; must be the first field
 * @down: all calls fail
 * @expired: the next read fails because its records are no longer kept
 * @calls: number of calls so far
 * @pending: calls without an answer yet
 */
typedef struct
{
  platform_t platform;
  fake_store_t *store;
  bool down;
  bool expired;
  uint32_t calls;
  GQueue pending;
} fake_store_client_t;

fake_store_t *fake_store_new (struct event_base *base);
void fake_store_free (fake_store_t *store);
/** fake_store_client() - adds a client; the gateway that uses it frees it by platform_t.free() */
fake_store_client_t *fake_store_client (fake_store_t *store);
/** fake_store_put() - appends a record, and answers reads that wait for one; a NULL @value removes
 * the key */
void fake_store_put (fake_store_t *store, const char *stream, const char *key, const char *value);
/** fake_store_copy() - makes the copy that fake_store_restore() returns to */
void fake_store_copy (fake_store_t *store);
/** fake_store_restore() - drops all records since the last copy, of which the store has an empty
 * one at first; begins a new era and answers the reads that wait */
void fake_store_restore (fake_store_t *store);
/** fake_store_count() - number of records of a stream */
uint32_t fake_store_count (const fake_store_t *store, const char *stream);
/** fake_store_value() - the newest value of @key; NULL when it has none */
const char *fake_store_value (const fake_store_t *store, const char *stream, const char *key);

#endif
