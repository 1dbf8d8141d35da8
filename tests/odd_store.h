/**
 * DOC: odd_store
 *
 * A store over HTTP with one topic whose records a test sets byte by byte, and a reader of it: the
 * adapter of the platform, a follower and its view.
 */
#ifndef TESTS_ODD_STORE_H
#define TESTS_ODD_STORE_H

#include "connection/stream_follower.h"

typedef struct odd_store odd_store_t;

/**
 * struct odd_reader - a reader of the store
 * @view: what it knows
 */
typedef struct
{
  odd_store_t *store;
  const char *stream;
  platform_t *platform;
  clock_source_t clock;
  counter_registry_t *counters;
  keyed_view_t *view;
  stream_follower_t *follower;
} odd_reader_t;

/** odd_store_new() - a store without records, with @page_items keys a page */
odd_store_t *odd_store_new (uint32_t page_items);
void odd_store_free (odd_store_t *store);
/** odd_store_base() - the event loop that the store runs on */
struct event_base *odd_store_base (const odd_store_t *store);
/** odd_store_put() - append a record; without @value_bytes it deletes the key */
void odd_store_put (
    odd_store_t *store, const char *key, size_t key_bytes, const char *value, size_t value_bytes);
/** odd_store_put_text() - likewise, of text; a NULL @value deletes the key */
void odd_store_put_text (odd_store_t *store, const char *key, const char *value);
/** odd_store_put_raw() - append a record whose content need not be a key and a value; lists lack it
 */
void odd_store_put_raw (odd_store_t *store, const char *bytes, size_t count);
/** odd_store_copy() - make the copy that odd_store_restore() returns to */
void odd_store_copy (odd_store_t *store);
/** odd_store_restore() - begin a new era with the records of the last copy */
void odd_store_restore (odd_store_t *store);

/** odd_reader_new() - begin to read @stream, which the store has under any name; @changed as of
 * keyed_view_new() */
odd_reader_t *
odd_reader_new (odd_store_t *store, const char *stream, keyed_view_visit_t changed, void *context);
void odd_reader_free (odd_reader_t *reader);
/** odd_reader_run() - run the event loop until the reader has all records. Return: false after five
 * seconds */
bool odd_reader_run (odd_reader_t *reader);
/** odd_reader_value() - the value of @key; "none" when it has none */
const char *odd_reader_value (const odd_reader_t *reader, const char *key);
/** odd_reader_failures() - number of calls that failed */
uint64_t odd_reader_failures (const odd_reader_t *reader);

#endif
