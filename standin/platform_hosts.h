/**
 * DOC: platform_hosts
 *
 * The host list of the stand-in platform. Tests set the current state; readers see it after a lag.
 * A reader whose view is frozen sees no later changes.
 */
#ifndef STANDIN_PLATFORM_HOSTS_H
#define STANDIN_PLATFORM_HOSTS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define PHL_LIMIT_HOSTS 16384
#define PHL_LIMIT_CHANGES 65536 /* older changes are merged into the base list */
#define PHL_LIMIT_HELD 4096     /* readers whose view is frozen */

typedef struct host_list phl_t;

/** phl_new() - an empty list; readers see changes after @lag_us */
phl_t *phl_new (uint64_t lag_us);
/** phl_free() - accepts NULL */
void phl_free (phl_t *host_list);
/**
 * phl_set() - sets the current state
 * @now_us: time of the change, on the monotonic clock
 * @hosts: array of hosts, in the format of GET /hosts
 * @replace_all: remove all hosts that are not in @hosts; otherwise they stay as they are
 *
 * Return: false, with nothing changed, if @hosts has another format or too many hosts
 */
bool phl_set (phl_t *host_list, uint64_t now_us, const json_t *hosts, bool replace_all);
/**
 * phl_hold() - freezes the view of a reader, or lets it follow the list again
 * @reader: name of the reader; "" is all readers
 * @frozen: freeze at the revision that is visible now
 *
 * Return: false if too many views are frozen
 */
bool phl_hold (phl_t *host_list, uint64_t now_us, const char *reader, bool frozen);
/**
 * phl_view() - the list as a reader sees it
 * @reader: name of the reader, or NULL
 * @since: the revision that the reader has; only hosts that changed after it are returned, if these
 *   changes are still known
 *
 * Return: {"revision","full","hosts"}; the caller owns it
 */
json_t *phl_view (const phl_t *host_list, uint64_t now_us, const char *reader, uint64_t since);

#endif
