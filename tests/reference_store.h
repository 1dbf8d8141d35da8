/**
 * DOC: reference_store
 *
 * The records of a keyed stream with the offsets that the store gave them, to answer calls to the
 * platform as of any offset, and the engines that a gateway uses according to its copy of them.
 */
#ifndef TESTS_REFERENCE_STORE_H
#define TESTS_REFERENCE_STORE_H

#include "connection/platform.h"
#include "request/policy/engines/engines.h"

/** struct reference_item - a record; @at_us: when it was written, if the test needs that */
typedef struct
{
  char key[16];
  char *value;
  uint64_t at_us;
} reference_item_t;

/**
 * struct reference_call - a call to the platform that the test answers; both callbacks are NULL for
 * none
 * @from: first offset of a read, which asks for at most @max records
 * @after: last key of the previous page of a list, empty for the first page
 */
typedef struct
{
  uint64_t from;
  uint32_t max;
  char after[8];
  platform_read_done_t read_done;
  platform_newest_done_t newest_done;
  void *context;
} reference_call_t;

/** reference_item_free() - for a GPtrArray of records */
void reference_item_free (gpointer data);
/** reference_put() - appends a record; a NULL @value removes the key */
void reference_put (GPtrArray *store, const char *key, const char *value);
/** reference_newest() - Return: offset of the newest record of @key before @end, -1 when there is
 * none */
int64_t reference_newest (const GPtrArray *store, const char *key, uint64_t end);
/** reference_answer() - answers @call as of the time when @end was the end of the stream, with at
 * most @page records */
void reference_answer (const GPtrArray *store,
                       const reference_call_t *call,
                       uint64_t end,
                       uint32_t page);
/** reference_run_timers() - runs what is due at once on @base */
void reference_run_timers (struct event_base *base);

/** reference_format_entry() - the entry of a ready engine at @port; free with g_free() */
char *reference_format_entry (uint32_t port);
/** reference_apply_entry() - applies a record of the registry to @engines; a NULL @value removes
 * the engine */
void reference_apply_entry (
    engines_t *engines, uint64_t now_us, const char *key, const char *value, size_t value_bytes);
/** reference_gets_requests() - whether a request would be sent to engine @id when all others have
 * failed it */
bool reference_gets_requests (const engines_t *engines, uint64_t now_us, const char *id);

#endif
