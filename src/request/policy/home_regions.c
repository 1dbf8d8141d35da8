#include "request/policy/home_regions.h"

bool
home_regions_bind (const home_regions_t *regions)
{
  return regions->route || regions->account;
}

static bool
is_in_list (const char *const *names, const char *region)
{
  return !names || (region && g_strv_contains (names, region));
}

bool
home_regions_allow (const home_regions_t *regions, const egn_t *engine)
{
  return is_in_list (regions->route, engine->entry.region) &&
         is_in_list (regions->account, engine->entry.region);
}

GPtrArray *
home_regions_engines (const home_regions_t *regions, const GPtrArray *engines)
{
  GPtrArray *allowed = g_ptr_array_new ();

  for (guint i = 0; i < engines->len; i++)
    if (home_regions_allow (regions, g_ptr_array_index (engines, i)))
      g_ptr_array_add (allowed, g_ptr_array_index (engines, i));
  return allowed;
}
