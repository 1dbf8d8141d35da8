/**
 * DOC: home_regions
 *
 * Which engines a request may reach that operators bind to regions, by its route or by its client
 * account. Where both are bound, both bind. Pure functions.
 */
#ifndef REQUEST_POLICY_HOME_REGIONS_H
#define REQUEST_POLICY_HOME_REGIONS_H

#include "request/policy/engines.h"

/** struct home_regions - names of regions, each list ended by NULL; a list that is NULL binds to
 * none */
typedef struct
{
  const char *const *route;
  const char *const *account;
} home_regions_t;

bool home_regions_bind (const home_regions_t *homes);
/** home_regions_allow() - an engine whose region is not known is in none */
bool home_regions_allow (const home_regions_t *homes, const egn_t *egn);
/** home_regions_engines() - those of @engines, of egn_t, that are allowed; freed by
 * g_ptr_array_unref() */
GPtrArray *home_regions_engines (const home_regions_t *homes, const GPtrArray *engines);

#endif
