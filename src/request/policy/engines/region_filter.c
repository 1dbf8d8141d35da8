#include "request/policy/engines/region_filter.h"

bool
region_filter_is_active (const region_filter_t *regions)
{
  return regions->route || regions->account;
}

static bool
is_in_list (const char *const *names, const char *region)
{
  return !names || (region && g_strv_contains (names, region));
}

bool
region_filter_allows (const region_filter_t *regions, const engine_t *engine)
{
  return is_in_list (regions->route, engine->entry.region) &&
         is_in_list (regions->account, engine->entry.region);
}

GPtrArray *
region_filter_apply (const region_filter_t *regions, const GPtrArray *engines)
{
  GPtrArray *allowed = g_ptr_array_new ();

  for (guint i = 0; i < engines->len; i++)
    if (region_filter_allows (regions, g_ptr_array_index (engines, i)))
      g_ptr_array_add (allowed, g_ptr_array_index (engines, i));
  return allowed;
}
