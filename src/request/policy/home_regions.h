/**
 * DOC: region_filter
 *
 * Restriction of a request to regions, which operators set for its route or for its client account.
 * When both are restricted, an engine must be allowed by both. Pure functions.
 */
#ifndef REQUEST_POLICY_HOME_REGIONS_H
#define REQUEST_POLICY_HOME_REGIONS_H

#include "request/policy/engines.h"

/**
 * struct region_filter - names of the allowed regions, in lists that end with NULL
 * @route: of the request's route; NULL when it is not restricted
 * @account: of its client account; NULL when it is not restricted
 */
typedef struct
{
  const char *const *route;
  const char *const *account;
} home_regions_t;

/** home_regions_bind() - whether there is any restriction */
bool home_regions_bind (const home_regions_t *regions);
/** home_regions_allow() - whether a request may reach @engine; an engine whose region is unknown is
 * in none */
bool home_regions_allow (const home_regions_t *regions, const egn_t *engine);
/** home_regions_engines() - the allowed ones of @engines, an array of egn_t. Return: a new array,
 * to be freed with g_ptr_array_unref() */
GPtrArray *home_regions_engines (const home_regions_t *regions, const GPtrArray *engines);

#endif
