/**
 * DOC: record_order
 *
 * How records of the store's streams are ordered by their values, for keyed_view. Needed when the
 * store has come back from a copy, where offsets don't tell which of two records is newer.
 */
#ifndef PROCESS_RECORD_ORDER_H
#define PROCESS_RECORD_ORDER_H

#include "request/policy/engines/engines.h"
#include "version/keyed_view.h"

#include <glib.h>

/**
 * struct record_order - parsers of the values; the context of both functions
 * @parse_version: returns the version of routing rules, 0 when they are invalid
 * @parse_engine: parses an entry of the engine registry; returns false when it is invalid
 */
typedef struct
{
  uint64_t (*parse_version) (const char *text, size_t text_bytes);
  bool (*parse_engine) (
      engine_entry_t *out, const char *id, const char *text, size_t text_bytes, GError **error);
} record_order_t;

/** record_order_compare_routing() - a keyed_view_compare_t of the stream of routing rules. Versions
 * only rise, whatever the store has; nothing tells which of two orders to drain is newer */
keyed_view_order_t record_order_compare_routing (const char *key,
                                                 const char *known,
                                                 size_t known_bytes,
                                                 const char *value,
                                                 size_t value_bytes,
                                                 void *context);
/** record_order_compare_engines() - a keyed_view_compare_t of the engine registry */
keyed_view_order_t record_order_compare_engines (const char *key,
                                                 const char *known,
                                                 size_t known_bytes,
                                                 const char *value,
                                                 size_t value_bytes,
                                                 void *context);

#endif
