/**
 * DOC: region_filter
 *
 * Restriction of a request to regions, which operators set for its route or for its client account.
 * When both are restricted, an engine must be allowed by both. Pure functions.
 */
#ifndef REQUEST_POLICY_ENGINES_REGION_FILTER_H
#define REQUEST_POLICY_ENGINES_REGION_FILTER_H

#include "request/policy/engines/engines.h"

/**
 * struct region_filter - names of the allowed regions, in lists that end with NULL
 * @route: of the request's route; NULL when it is not restricted
 * @account: of its client account; NULL when it is not restricted
 */
typedef struct
{
  const char *const *route;
  const char *const *account;
} region_filter_t;

/** region_filter_is_active() - whether there is any restriction */
bool region_filter_is_active (const region_filter_t *regions);
/** region_filter_allows() - whether a request may reach @engine; an engine whose region is unknown
 * is in none */
bool region_filter_allows (const region_filter_t *regions, const engine_t *engine);
/** region_filter_apply() - the allowed ones of @engines, an array of engine_t. Return: a new array,
 * to be freed with g_ptr_array_unref() */
GPtrArray *region_filter_apply (const region_filter_t *regions, const GPtrArray *engines);

#endif
