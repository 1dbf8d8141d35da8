/**
 * DOC: version_search
 *
 * Finds the version at which a stream of any gateway began, by the tables of shares and the lists
 * of open streams. A pure function.
 */
#ifndef REQUEST_POLICY_STREAMS_VERSION_SEARCH_H
#define REQUEST_POLICY_STREAMS_VERSION_SEARCH_H

#include "request/policy/streams/stream_lists.h"
#include "request/policy/streams/version_shares.h"

/**
 * struct version_search - the result
 * @version: 0 when it is not certain
 * @has_table: the service has a table of shares
 * @needs_lists: @version is 0, and later lists may tell
 * @is_reading: the store is being read, which takes some milliseconds
 * @basis: what the result is based on, for the log
 * @tables: number of tables; likewise
 * @lists: gateways whose list was read; likewise
 * @floor: see stream_lists_floor(); likewise
 */
typedef struct
{
  uint64_t version;
  bool has_table;
  bool needs_lists;
  bool is_reading;
  const char *basis;
  uint32_t tables;
  uint32_t lists;
  uint64_t floor;
} version_search_t;

/**
 * struct version_search_view - what is known
 * @history: tables of the service
 * @lists: lists of all gateways; NULL while they were not read
 * @are_lists_read: they were read since the search began
 * @is_history_read: likewise the history, so no stream that is looked for began by a table that it
 *   only announces
 * @gateways: names of all gateways in the registry
 */
typedef struct
{
  const version_history_t *history;
  const stream_lists_t *lists;
  bool are_lists_read;
  bool is_history_read;
  const GPtrArray *gateways;
  const char *service;
} version_search_view_t;

/** version_search_find() - @stream: 0 for one that its client doesn't name, which has no version of
 * its own: that is certain only while the tables have no other one */
version_search_t version_search_find (const version_search_view_t *view, uint64_t stream);

#endif
