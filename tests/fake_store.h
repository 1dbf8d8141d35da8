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

typedef struct fks fks_t;

/**
 * struct fks_front - one gateway's client of the store
 * @plt: the callbacks; must be the first field
 * @down: all calls fail
 * @expired: the next read fails because its records are no longer kept
 * @calls: number of calls so far
 * @pending: calls without an answer yet
 */
typedef struct
{
  plt_t plt;
  fks_t *store;
  bool down;
  bool expired;
  uint32_t calls;
  GQueue pending;
} fks_front_t;

fks_t *fks_new (struct event_base *base);
void fks_free (fks_t *store);
/** fks_front() - adds a client; the gateway that uses it frees it by plt_t.free() */
fks_front_t *fks_front (fks_t *store);
/** fks_put() - appends a record, and answers reads that wait for one; a NULL @value removes the
 * key */
void fks_put (fks_t *store, const char *stream, const char *key, const char *value);
/** fks_value() - the newest value of @key; NULL when it has none */
const char *fks_value (const fks_t *store, const char *stream, const char *key);

#endif
