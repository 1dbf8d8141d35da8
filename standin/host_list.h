/**
 * DOC: host_list
 *
 * The host list of the stand-in platform. Tests set the current state; readers see it after a lag.
 * A reader whose view is frozen sees no later changes.
 */
#ifndef STANDIN_HOST_LIST_H
#define STANDIN_HOST_LIST_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define HOST_LIST_MAX_HOSTS 16384
#define HOST_LIST_MAX_CHANGES 65536       /* older changes are merged into the base list */
#define HOST_LIST_MAX_FROZEN_READERS 4096 /* readers whose view is frozen */

typedef struct host_list host_list_t;

/** host_list_new() - an empty list; readers see changes after @lag_us */
host_list_t *host_list_new (uint64_t lag_us);
/** host_list_free() - accepts NULL */
void host_list_free (host_list_t *host_list);
/**
 * host_list_set() - sets the current state
 * @now_us: time of the change, on the monotonic clock
 * @hosts: array of hosts, in the format of GET /hosts
 * @replace_all: remove all hosts that are not in @hosts; otherwise they stay as they are
 *
 * Return: false, with nothing changed, if @hosts has another format or too many hosts
 */
bool host_list_set (host_list_t *host_list, uint64_t now_us, const json_t *hosts, bool replace_all);
/**
 * host_list_freeze() - freezes the view of a reader, or lets it follow the list again
 * @reader: name of the reader; "" is all readers
 * @frozen: freeze at the revision that is visible now
 *
 * Return: false if too many views are frozen
 */
bool host_list_freeze (host_list_t *host_list, uint64_t now_us, const char *reader, bool frozen);
/**
 * host_list_view() - the list as a reader sees it
 * @reader: name of the reader, or NULL
 * @since: the revision that the reader has; only hosts that changed after it are returned, if these
 *   changes are still known
 *
 * Return: {"revision","full","hosts"}; the caller owns it
 */
json_t *
host_list_view (const host_list_t *host_list, uint64_t now_us, const char *reader, uint64_t since);

#endif
