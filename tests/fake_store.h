/**
 * DOC: fake_store
 *
 * A store with keyed streams in memory behind the callbacks of connection/platform.h. Several
 * gateways may share the records, each by a front of its own that can be made to fail. Answers come
 * on the next turn of the event loop.
 */
#ifndef TESTS_FAKE_STORE_H
#define TESTS_FAKE_STORE_H

#include "connection/platform.h"

typedef struct fks fks_t;

/**
 * struct fks_front - what one gateway calls
 * @down: calls fail
 * @expired: the next read is told that its records are no longer kept
 * @calls: made so far
 */
typedef struct
{
  plt_t plt;
  fks_t *store;
  bool down;
  bool expired;
  uint32_t calls;
  GQueue pending; /* calls that wait */
} fks_front_t;

fks_t *fks_new (struct event_base *base);
void fks_free (fks_t *store);
/** fks_front() - freed with the gateway that uses it, by plt_t.free() */
fks_front_t *fks_front (fks_t *store);
/** fks_put() - a record; @value NULL drops the key. Reads that wait are answered */
void fks_put (fks_t *store, const char *stream, const char *key, const char *value);
/** fks_value() - the newest value of @key, or NULL */
const char *fks_value (const fks_t *store, const char *stream, const char *key);

#endif
