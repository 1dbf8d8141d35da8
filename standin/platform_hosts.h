/**
 * DOC: platform_hosts
 *
 * The host list of the stand-in platform. The true state comes from the test; readers see it after
 * a lag, and a reader whose view is held sees none of the later changes.
 */
#ifndef STANDIN_PLATFORM_HOSTS_H
#define STANDIN_PLATFORM_HOSTS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define PHL_LIMIT_HOSTS 16384
#define PHL_LIMIT_CHANGES 65536 /* beyond it the oldest are folded into the base list */
#define PHL_LIMIT_HELD 4096     /* readers whose view is held */

typedef struct phl phl_t;

phl_t *phl_new (uint64_t lag_us);
void phl_free (phl_t *phl);
/**
 * phl_set() - the true state
 * @hosts: array of hosts as GET /hosts tells them
 * @whole: hosts that are not in it are gone
 *
 * Return: false, and nothing changed, when @hosts is not such an array
 */
bool phl_set (phl_t *phl, uint64_t now_us, const json_t *hosts, bool whole);
/** phl_hold() - from now on @reader ("" is everybody) sees the list as it stands, or again moving
 */
bool phl_hold (phl_t *phl, uint64_t now_us, const char *reader, bool held);
/** phl_view() - {"revision","full","hosts"} as @reader (may be NULL) sees it, since a revision */
json_t *phl_view (const phl_t *phl, uint64_t now_us, const char *reader, uint64_t since);

#endif
