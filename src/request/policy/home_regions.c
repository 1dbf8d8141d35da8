#include "request/policy/home_regions.h"

bool
home_regions_bind (const home_regions_t *homes)
{
  return homes->route || homes->account;
}

static bool
is_in (const char *const *regions, const char *region)
{
  return !regions || (region && g_strv_contains (regions, region));
}

bool
home_regions_allow (const home_regions_t *homes, const egn_t *egn)
{
  return is_in (homes->route, egn->entry.region) && is_in (homes->account, egn->entry.region);
}

GPtrArray *
home_regions_engines (const home_regions_t *homes, const GPtrArray *engines)
{
  GPtrArray *allowed = g_ptr_array_new ();

  for (guint i = 0; i < engines->len; i++)
    if (home_regions_allow (homes, g_ptr_array_index (engines, i)))
      g_ptr_array_add (allowed, g_ptr_array_index (engines, i));
  return allowed;
}
