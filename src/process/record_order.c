#include "process/record_order.h"

#include "connection/platform.h"
#include "request/policy/store/restoration.h"
#include "version/version_order.h"

#include <string.h>

keyed_view_order_t
record_order_compare_routing (const char *key,
                              const char *known,
                              size_t known_bytes,
                              const char *value,
                              size_t value_bytes,
                              void *context)
{
  const record_order_t *order = context;
  uint64_t version;
  uint64_t known_version;

  if (strcmp (key, PLATFORM_KEY_CONFIG) != 0)
    return KEYED_VIEW_UNORDERED;
  version = order->parse_version (value, value_bytes);
  known_version = order->parse_version (known, known_bytes);
  if (version == known_version)
    return KEYED_VIEW_SAME_AGE;
  if (version != 0 && version_order_is_leap (version, known_version))
    return KEYED_VIEW_UNORDERED;
  return version < known_version ? KEYED_VIEW_OLDER : KEYED_VIEW_NEWER;
}

keyed_view_order_t
record_order_compare_engines (const char *key,
                              const char *known,
                              size_t known_bytes,
                              const char *value,
                              size_t value_bytes,
                              void *context)
{
  const record_order_t *order = context;
  engine_entry_t entry;
  engine_entry_t known_entry;
  int by_entry;

  if (!order->parse_engine (&entry, key, value, value_bytes, NULL) ||
      !order->parse_engine (&known_entry, key, known, known_bytes, NULL))
    return KEYED_VIEW_UNORDERED;
  by_entry = restoration_compare_entries (&known_entry, &entry);
  if (by_entry == 0)
    return KEYED_VIEW_SAME_AGE;
  /* the known one may be of another writer, whose numbers the engine never reaches */
  return by_entry < 0 ? KEYED_VIEW_PERHAPS_OLDER : KEYED_VIEW_NEWER;
}
